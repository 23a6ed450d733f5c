//! The node: the one owner of the decision module. Events go in, actions become I/O; nothing is decided here.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use brassrouter::settings::Site;
use brassrouter::{
    Action, Condition, Effect, Event, ListKind, Load, LoadField, Micros, Note, Outcome, Policy, RequestId,
    ServerId, SlotRange, Status,
};
use bytes::Bytes;
use mothpier_membership::Line;
use mothpier_membership::hand::{Hand, Refused};
use mothpier_net::Net;
use mothpier_slots::pool::Word;
use mothpier_slots::table::Held;
use mothpier_slots::{Pool, slot_of};
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock::Clock;
use crate::discovery::Numbers;
use crate::event_log::{Event as Logged, EventLog};
use crate::figures::{Figures, RefusalReason};
use crate::guards::{self, Invariant};
use crate::membership::{self, Membership};
use crate::messages::{
    Answer, AttemptId, Census, ClientEvent, Command, Heard, Input, List, Order, Passing, UNREADABLE, Wanted,
};
use crate::origin::{self, Origins};
use crate::peers::Peers;
use crate::phase::Phase;
use crate::servers::{self, Ended, Payload, Servers};
use crate::start_times::StartTimes;
use crate::time_budget::TimeBudget;
use crate::topology::Asker;
use crate::{Plant, planted, resp};

/// A request that is refused within this time of its coming was turned away at once.
const AT_ONCE: Duration = Duration::from_millis(5);

/// A probe without answer after this time has failed.
const PROBE_WAIT: Duration = Duration::from_millis(250);

/// The largest figures of a load report that can be meant: of cores in use, and of the rest (a minute in
/// milliseconds).
const MOST_LOAD: (f32, f32) = (8.0, 60_000.0);

/// What boxes of a cluster answer that should not be is logged at most so often: a box that does it does it always.
const SAID: Duration = Duration::from_secs(1);

/// A request without its final answer.
struct Open {
    command: Rc<Command>,
    answer: oneshot::Sender<Answer>,
    asked: Instant,
    ends: Instant,
    attempts: u16,
    /// Attempts that may have run, or may yet.
    may_have_run: u32,
    /// How the last one ended.
    last: Option<Status>,
    effect: Effect,
    /// Those without outcome.
    out: Vec<AttemptId>,
    /// The slot of its key, where the servers form a cluster.
    slot: Option<u16>,
    /// A server to which the slot moved for good, as another one said: it is so once this one takes the request.
    moved: Option<ServerId>,
}

/// An attempt or a probe without outcome; it may outlive its request.
struct Flight<N: Net> {
    /// The request and the attempt's number; `None` for a probe.
    attempt: Option<(RequestId, u16)>,
    server: ServerId,
    sent: Instant,
    /// Of one at the origin.
    call: Option<origin::Call<N>>,
    /// Sent behind `ASKING`.
    asking: bool,
    /// Its answer has begun to be passed on: the decisions know of its end already, and its time is up no more.
    began: bool,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u32),
    GiveUp(AttemptId),
    /// Servers of a cluster are to be asked for their slot map.
    Refresh,
    /// Something that a source of boxes said ends, or is to be told on.
    Sources,
}

/// The parts that the node drives.
pub struct Parts<N: Net> {
    /// Where the servers form a cluster: what is known of it, and who asks.
    pub cluster: Option<(Pool, Asker<N>)>,
    pub servers: Servers<N>,
    pub origins: Origins<N>,
    pub peers: Option<Rc<Peers<N>>>,
    /// Where there are more sources of boxes than the list.
    pub membership: Option<Membership>,
    pub wanted: watch::Sender<Wanted>,
    pub phase: Rc<Phase>,
    /// Where retries and broken rules are counted.
    pub figures: Rc<Figures>,
    /// Where what befalls requests is logged.
    pub event_log: Rc<EventLog>,
}

/// The node.
pub struct Node<N: Net> {
    net: N,
    policy: Policy,
    site: Site,
    clock: Clock<N>,
    parts: Parts<N>,
    numbers: Numbers,
    start_times: StartTimes,
    /// Who is out by hand, before anything is made of the list.
    hand: Hand,
    /// How many lists and changes of it have come.
    lists: u64,
    origin_ids: HashSet<ServerId>,
    open: HashMap<RequestId, Open>,
    flights: HashMap<AttemptId, Flight<N>>,
    last_attempt: AttemptId,
    due: BinaryHeap<Reverse<(Instant, Due)>>,
    /// When the wake-up for the next refresh is set.
    refresh_at: Option<Instant>,
    /// When the wake-up for the sources is set.
    sources_at: Option<Instant>,
    /// When a server's word was last logged.
    said_at: Option<Instant>,
    /// Events that actions gave rise to: they come after the actions before them.
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

impl<N: Net> Node<N> {
    pub fn new(net: N, site: Site, seed: u64, clock: Clock<N>, parts: Parts<N>) -> Self {
        let origin = site.decisions.origin_kind.and_then(|k| site.kinds.get(usize::from(k)).cloned());
        let start_times = StartTimes::new(site.decisions.warm_up);
        Node {
            hand: Hand::new(origin),
            lists: 0,
            net,
            policy: Policy::new(site.decisions.clone(), seed),
            site,
            clock,
            parts,
            numbers: Numbers::default(),
            start_times,
            origin_ids: HashSet::new(),
            open: HashMap::new(),
            flights: HashMap::new(),
            last_attempt: 0,
            due: BinaryHeap::new(),
            refresh_at: None,
            sources_at: None,
            said_at: None,
            events: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Runs until every sender of inputs is gone.
    pub async fn run(
        mut self,
        known: Option<List>,
        mut inputs: mpsc::Receiver<Input>,
        mut orders: mpsc::Receiver<Order>,
    ) {
        let known = known.unwrap_or(List { revision: 0, complete: true, members: Vec::new() });
        self.heard_list(known, ListKind::Cached);
        self.settle();
        self.plan_refresh();
        loop {
            let next = self.due.peek().map(|Reverse((time, _))| *time);
            let idle = self.net.now() + Duration::from_secs(3600);
            tokio::select! {
                biased;
                // Staff wait behind nothing that clients ask.
                Some(order) = orders.recv() => self.order(order),
                input = inputs.recv() => match input {
                    Some(input) => self.input(input),
                    None => return,
                },
                () = self.net.sleep_until(next.unwrap_or(idle)) => {}
            }
            self.fire();
            self.settle();
        }
    }

    fn fire(&mut self) {
        let now = self.net.now();
        while self.due.peek().is_some_and(|Reverse((time, _))| *time <= now) {
            match self.due.pop() {
                Some(Reverse((_, Due::Timer(token)))) => self.events.push_back(Event::Timer(token)),
                Some(Reverse((_, Due::GiveUp(id)))) => self.give_up(id, Status::TimedOut),
                Some(Reverse((_, Due::Refresh))) => self.refresh(),
                Some(Reverse((_, Due::Sources))) => {
                    self.sources_at = None;
                    self.view_boxes(ListKind::Delta);
                }
                None => {}
            }
            self.settle();
        }
    }

    /// Hands all events to the module and carries out what it wants.
    fn settle(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.policy.handle(self.clock.now(), event, &mut actions);
            actions.drain(..).for_each(|action| self.act(action));
            self.actions = actions;
        }
    }

    fn input(&mut self, input: Input) {
        match input {
            // Who asked has gone: nothing is begun for it.
            Input::Client(ClientEvent::Asked { answer, .. }) if answer.is_closed() => {}
            Input::Client(ClientEvent::Asked { mut request, command, answer, read }) => {
                let waited = self.net.since(read).as_micros() as Micros;
                request.time_left = request.time_left.saturating_sub(waited);
                if planted(Plant::TimeLeftGrows) {
                    request.time_left += 1_000_000;
                }
                let ends = self.net.now() + Duration::from_micros(request.time_left);
                let slot = self.parts.cluster.is_some().then(|| slot_of(&command.key));
                request.slot = slot;
                let command = command.into();
                let effect = self.site.decisions.classes[request.class].effect;
                let open = Open {
                    command,
                    answer,
                    asked: self.net.now(),
                    ends,
                    attempts: 0,
                    may_have_run: 0,
                    last: None,
                    effect,
                    out: Vec::new(),
                    slot,
                    moved: None,
                };
                self.open.insert(request.id, open);
                self.events.push_back(Event::Request(request));
            }
            Input::Client(ClientEvent::Gone(id)) => self.gone(id),
            Input::AnswersBy(at) => {
                self.open.values_mut().for_each(|open| open.ends = open.ends.min(at));
                let left = at.saturating_duration_since(self.net.now()).as_micros() as Micros;
                self.events.push_back(Event::AnswersBy(self.clock.now() + left));
            }
            Input::Server { server, number, event } => {
                for (attempt, ended) in self.parts.servers.event(server, number, event) {
                    self.server_ended(attempt, ended);
                }
            }
            Input::OriginBegan { attempt, value } => self.began(attempt, value),
            Input::Origin { attempt, ended } => {
                let load = load(&self.site, &ended.load);
                self.end(attempt, ended.status, Note::None, load, Some(ended.value));
            }
            Input::Discovery(Heard::List(_)) if planted(Plant::ListHeardOnce) && self.lists > 1 => {}
            Input::Discovery(Heard::List(list)) => {
                self.parts.phase.listed();
                let kind = if list.complete { ListKind::Full } else { ListKind::Delta };
                self.heard_list(list, kind);
                if kind == ListKind::Full {
                    self.start_times.listed();
                }
            }
            Input::Discovery(Heard::Failed) => {
                if let Some(membership) = &self.parts.membership {
                    membership.list_out();
                }
                // Only one that asks is told so; what is pushed goes on by itself.
                if self.site.decisions.ask_discovery {
                    self.parts.wanted.send_modify(|w| w.watch = false);
                    self.events.push_back(Event::ServerList { kind: ListKind::Failed, servers: Vec::new() });
                }
            }
            Input::Census(asked) => {
                let _ = asked.send(Census {
                    open: self.open.len(),
                    flights: self.flights.len(),
                    pools: self.parts.servers.len() + self.parts.origins.len(),
                    servers: self.numbers.len(),
                    ..Census::default()
                });
            }
            Input::Topology { server, heard } => self.topology(server, heard),
            Input::Names(view) => {
                if let Some(membership) = &self.parts.membership {
                    membership.names(self.clock.now() / 1000, &view);
                    self.view_boxes(ListKind::Delta);
                }
            }
            Input::Peer { bytes, .. } if Membership::is_message(&bytes) => {
                if let Some(membership) = &self.parts.membership {
                    membership.heard(self.clock.now() / 1000, &bytes);
                    self.view_boxes(ListKind::Delta);
                }
            }
            Input::Peer { from, bytes } => self.events.push_back(Event::PeerMessage { from, bytes }),
        }
    }

    /// Takes the list: as it is, or as one source of boxes among others.
    fn heard_list(&mut self, mut list: List, kind: ListKind) {
        list.members.retain(|m| {
            if m.phase == UNREADABLE {
                let net = &self.net;
                net.log(format_args!("the list's line of {:?} can't be read: nothing new goes there", m.id));
            }
            !m.id.is_empty()
        });
        match &self.parts.membership {
            None => self.list(list, kind),
            Some(membership) => {
                membership.list(self.clock.now() / 1000, list);
                // What is made of it are always changes, but for the first time.
                self.view_boxes(if kind == ListKind::Cached { kind } else { ListKind::Delta });
            }
        }
    }

    /// Takes over what the sources of boxes together say, tells other nodes what they are to be told, and sets the next
    /// wake-up.
    fn view_boxes(&mut self, kind: ListKind) {
        let now = self.clock.now() / 1000;
        let Some(membership) = &self.parts.membership else { return };
        let (list, renamed) = membership.changes(now);
        for (old, new) in renamed {
            let (old, new) = (self.numbers.of(&old), self.numbers.of(&new));
            self.parts.servers.renamed(old, new);
        }
        if let (Some(peers), Some(message)) = (&self.parts.peers, membership.tell(now)) {
            peers.tell_all(self.site.decisions.me as usize, &message);
        }
        let due = membership.due(now);
        if kind != ListKind::Delta || !list.members.is_empty() {
            self.list(list, kind);
        }
        let Some(due) = due else { return };
        let at = self.net.now() + Duration::from_millis(due.saturating_sub(now).max(1));
        if self.sources_at.is_none_or(|set| at < set) {
            self.sources_at = Some(at);
            self.due.push(Reverse((at, Due::Sources)));
        }
    }

    /// Carries out what staff want; they are told when it is so.
    fn order(&mut self, order: Order) {
        match order {
            Order::Hand { id, out, tell } => {
                let done = self.by_hand(&id, out);
                let _ = tell.send(done);
            }
            Order::Out(out) => {
                let lines = self.hand.take_over(self.clock.now() / 1000, &out);
                self.changed(lines);
            }
            Order::Drained { out, tell } => {
                let lines = self.hand.agree(self.clock.now() / 1000, &out);
                self.changed(lines);
                let _ = tell.send(());
            }
            Order::Ready { held, tell } => {
                let ready = || self.hand.ready().cloned().collect();
                let _ = tell.send((self.lists != held).then(|| (self.lists, ready())));
            }
            Order::Part(part) => {
                self.events.push_back(Event::Part(part));
                self.settle();
            }
            Order::List { held, tell } => {
                let members = || self.hand.listed().cloned().map(membership::member).collect();
                let list = || List { revision: 0, complete: true, members: members() };
                let _ = tell.send((self.lists != held).then(|| (self.lists, list())));
            }
            Order::States(tell) => {
                let avoided: HashSet<ServerId> = self.policy.avoided().collect();
                let numbers = &mut self.numbers;
                let mut out = |id: &str, takes: bool| !takes || avoided.contains(&numbers.of(id));
                let states = self.hand.members().fold((0, 0), |(members, unavailable), (id, takes)| {
                    (members + 1, unavailable + usize::from(out(id, takes)))
                });
                let _ = tell.send(states);
            }
        }
    }

    fn by_hand(&mut self, id: &str, out: bool) -> Result<bool, Refused> {
        let now = self.clock.now() / 1000;
        let line = if out { self.hand.exclude(now, id) } else { self.hand.include(now, id) }?;
        let changed = line.is_some();
        self.changed(line);
        Ok(changed)
    }

    /// Takes in lines that changed by the hand alone; it is so when this returns.
    fn changed(&mut self, lines: impl IntoIterator<Item = Line>) {
        let members: Vec<_> = lines.into_iter().map(membership::member).collect();
        if !members.is_empty() {
            self.take(List { revision: 0, complete: false, members }, ListKind::Delta);
            self.settle();
        }
    }

    /// Takes over what the sources say, but for what the hand says otherwise.
    fn list(&mut self, list: List, kind: ListKind) {
        let whole = kind != ListKind::Delta;
        // A watch that ends with no change is no new list: what follows the number would be told the old one again.
        if whole || !list.members.is_empty() {
            self.lists += 1;
        }
        let lines = list.members.into_iter().map(membership::line).collect();
        if whole && planted(Plant::HandForgotten) {
            let origin = std::mem::take(&mut self.hand);
            self.hand = origin.emptied();
        }
        let lines = self.hand.list(whole, lines);
        self.take(List { members: lines.into_iter().map(membership::member).collect(), ..list }, kind);
    }

    fn take(&mut self, mut list: List, kind: ListKind) {
        let mut lines = self.numbers.lines(&self.net, &mut list, &self.site);
        self.start_times.place(self.clock.now(), lines.iter_mut().map(|(line, _)| line));
        let named: HashSet<ServerId> = lines.iter().map(|(line, _)| line.id).collect();
        let gone = lines.iter().map(|(line, _)| line).filter(|line| line.condition == Condition::Gone);
        let gone: HashSet<ServerId> = gone.map(|line| line.id).collect();
        let mut unsent = Vec::new();
        for (line, address) in &lines {
            let ready = line.condition == Condition::Ready;
            let origin = Some(line.kind) == self.site.decisions.origin_kind;
            if line.condition == Condition::Gone && self.origin_ids.remove(&line.id) {
                self.parts.origins.gone(line.id);
            } else if origin && line.condition != Condition::Gone {
                self.origin_ids.insert(line.id);
                self.parts.origins.listed(line.id, *address, ready);
            } else {
                unsent.extend(self.parts.servers.listed(line.id, *address, ready));
            }
        }
        if kind != ListKind::Delta {
            unsent.extend(self.parts.servers.unlisted(&|id| named.contains(&id)));
            for id in self.origin_ids.extract_if(|id| !named.contains(id)) {
                self.parts.origins.gone(id);
            }
        }
        match kind {
            ListKind::Delta => self.forget(|id| gone.contains(&id)),
            _ => self.forget(|id| !named.contains(&id) || gone.contains(&id)),
        }
        let servers = lines.into_iter().map(|(line, _)| line).collect();
        self.events.push_back(Event::ServerList { kind, servers });
        let servers = &self.parts.servers;
        if let Some((pool, _)) = &mut self.parts.cluster
            && pool.relist(&|address| servers.at(address))
        {
            let ranges = slot_ranges(pool.ranges());
            self.events.push_back(Event::Slots { whole: true, ranges });
        }
        let left = match &self.parts.cluster {
            Some((_, asker)) => asker.leave(&|id| self.parts.servers.is_ready(id)),
            None => Vec::new(),
        };
        left.into_iter().for_each(|server| self.topology(server, None));
        for attempt in unsent {
            self.end(attempt, Status::NotSent, Note::None, Load::default(), None);
        }
    }

    /// Ids are ever new: nothing is kept of servers that have left.
    fn forget(&mut self, left: impl Fn(ServerId) -> bool) {
        self.numbers.forget(&left);
        self.start_times.forget(&left);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, server, give_up_after, asking } => {
                self.send(request, server, give_up_after, asking)
            }
            Action::Refuse { request, retry_after } => {
                let wait = retry_after.min(self.site.max_retry_after).div_ceil(1000);
                let wait = if planted(Plant::BareRefusal) { 0 } else { wait };
                self.note_refusal(request, wait);
                self.answer(request, Answer::Busy(wait));
            }
            Action::Fail(request) => {
                if let Some(open) = self.open.get(&request) {
                    let last = open.last.map_or("unknown", status_name);
                    self.log_event(&Logged::Failed {
                        request: &open.command.id_text(),
                        attempts: open.attempts,
                        last,
                    });
                }
                self.answer(request, Answer::Failed);
            }
            Action::Cancel { request, attempt } => {
                let wanted = Some((request, attempt));
                if let Some(id) = self.flights.iter().find(|(_, f)| f.attempt == wanted).map(|(id, _)| *id) {
                    self.give_up(id, Status::Cancelled);
                }
            }
            Action::Timer { after, token } => self.wake(Duration::from_micros(after), Due::Timer(token)),
            Action::Subscribe(on) => self.parts.wanted.send_modify(|w| {
                w.watch = on;
                w.calls += u32::from(on);
            }),
            Action::FetchList => self.parts.wanted.send_modify(|w| w.calls += 1),
            Action::Probe(server) => self.probe(server),
            Action::CloseIdle(server) if self.origin_ids.contains(&server) => {
                self.parts.origins.close_idle(server)
            }
            Action::CloseIdle(server) => self.parts.servers.close_idle(server),
            Action::Tell { to, bytes } => {
                if let Some(peers) = &self.parts.peers {
                    peers.tell(to, &bytes);
                }
            }
            Action::Log(text) => self.net.log(text),
            Action::Fault(text) => self.net.log(format_args!("the decision module failed: {text}")),
        }
    }

    fn answer(&mut self, request: RequestId, answer: Answer) {
        if let Some(open) = self.open.remove(&request) {
            if planted(Plant::LostAnswer) && request.is_multiple_of(100) {
                return std::mem::forget(open);
            }
            // A client that has just gone needs none.
            let _ = open.answer.send(answer);
            self.withdraw(open.out);
        }
    }

    /// Counts a refusal by its reason, and logs it.
    fn note_refusal(&self, request: RequestId, retry_after_ms: u64) {
        let Some(open) = self.open.get(&request) else { return };
        let reason = match open.attempts {
            0 if self.net.since(open.asked) < AT_ONCE => RefusalReason::Shed,
            0 => RefusalReason::Waited,
            _ => RefusalReason::Attempts,
        };
        self.parts.figures.refused(reason);
        let (request, attempts) = (open.command.id_text(), open.attempts);
        self.log_event(&Logged::Refused { request: &request, reason, attempts, retry_after_ms });
    }

    fn log_event(&self, event: &Logged) {
        if let Some(line) = self.parts.event_log.line(self.net.now(), event) {
            self.net.log(line);
        }
    }

    /// Takes back those attempts of a request that is over which have not begun to be written: nothing more is sent
    /// for it. What has begun goes on, or the connection would be lost to all that it carries.
    fn withdraw(&mut self, attempts: Vec<AttemptId>) {
        if planted(Plant::SentAfterAnswer) {
            return;
        }
        for id in attempts {
            let Some(flight) = self.flights.get_mut(&id) else { continue };
            let unsent = match flight.call.take_if(|call| !call.begun()) {
                Some(call) => !call.give_up(),
                None => flight.call.is_none() && self.parts.servers.withdraw(flight.server, id),
            };
            if unsent {
                self.end(id, Status::NotSent, Note::None, Load::default(), None);
            }
        }
    }

    /// Nobody waits for a request any more.
    fn gone(&mut self, request: RequestId) {
        if let Some(open) = self.open.remove(&request) {
            let (id, attempts) = (open.command.id_text(), open.attempts);
            self.log_event(&Logged::ClientGone { request: &id, attempts });
            self.events.push_back(Event::ClientGone(request));
            self.withdraw(open.out);
        }
    }

    fn wake(&mut self, after: Duration, due: Due) {
        self.due.push(Reverse((self.net.now() + after, due)));
    }

    fn send(&mut self, request: RequestId, server: ServerId, give_up_after: Micros, asking: bool) {
        self.last_attempt += 1;
        let (id, sent) = (self.last_attempt, self.net.now());
        let Some(open) = self.open.get_mut(&request) else {
            return self.violated(Invariant::SendAfterEnd, request);
        };
        let number = open.attempts;
        let most = self.site.decisions.max_attempts;
        let (may_have_run, effect) = (open.may_have_run, open.effect);
        let attempt = guards::Attempt { made: number.into(), most, may_have_run, effect };
        let allowed = guards::may_send(&attempt);
        if number > 0 && allowed.is_ok() {
            let after = if open.out.is_empty() { open.last.map_or("unknown", status_name) } else { "copy" };
            self.parts.figures.retry(after);
            let request = open.command.id_text();
            let event = Logged::Retried { request: &request, attempt: number, after, server };
            if let Some(line) = self.parts.event_log.line(sent, &event) {
                self.net.log(line);
            }
        }
        open.attempts += 1;
        open.may_have_run += 1;
        open.out.push(id);
        let (command, left) = (open.command.clone(), open.ends.saturating_duration_since(sent));
        let wait = if give_up_after == 0 { left } else { left.min(Duration::from_micros(give_up_after)) };
        let flight =
            Flight { attempt: Some((request, number)), server, sent, call: None, asking, began: false };
        self.flights.insert(id, flight);
        // The word that a client has gone comes behind all that others ask; that it no longer waits is known at once.
        let gone = open_is_left(&self.open, request) && !planted(Plant::SentAfterLeft);
        if gone {
            self.gone(request);
        }
        if let Err(invariant) = allowed {
            self.violated(invariant, request);
        }
        if gone || allowed.is_err() || wait.is_zero() {
            return self.end(id, Status::NotSent, Note::None, Load::default(), None);
        }
        let budget = TimeBudget { command, deadline: sent + wait };
        let out = if self.origin_ids.contains(&server) {
            let call = self.parts.origins.call(server, id, budget);
            let out = call.is_some();
            self.flights.entry(id).and_modify(|f| f.call = call);
            out
        } else {
            let payload = Payload::Request(budget);
            self.parts.servers.send(server, servers::Command { attempt: id, payload, asking })
        };
        if out && planted(Plant::LostGiveUp) {
            return;
        }
        if out {
            self.wake(wait, Due::GiveUp(id));
        } else {
            self.end(id, Status::ConnectFailed, Note::None, Load::default(), None);
        }
    }

    /// A rule was found broken: it is counted, and told in a log that no flood of them fills.
    fn violated(&self, invariant: Invariant, request: RequestId) {
        if self.parts.figures.violated(invariant) {
            self.net.log(format_args!("invariant {} is broken by request {request}", invariant.name()));
        }
    }

    fn probe(&mut self, server: ServerId) {
        self.last_attempt += 1;
        let (id, sent) = (self.last_attempt, self.net.now());
        let origin = self.origin_ids.contains(&server);
        let call = if origin { self.parts.origins.probe(server, id) } else { None };
        let bytes = resp::command(["INFO".into(), "load".into()]);
        let command = servers::Command { attempt: id, payload: Payload::Probe(bytes), asking: false };
        let out = call.is_some() || (!origin && self.parts.servers.send(server, command));
        self.flights.insert(id, Flight { attempt: None, server, sent, call, asking: false, began: false });
        if out {
            self.wake(PROBE_WAIT, Due::GiveUp(id));
        } else {
            self.end(id, Status::ConnectFailed, Note::None, Load::default(), None);
        }
    }

    /// Stops waiting for an attempt. One that was never written whole can't have run.
    fn give_up(&mut self, id: AttemptId, status: Status) {
        let Some(flight) = self.flights.get_mut(&id).filter(|f| !f.began) else { return };
        let (server, call) = (flight.server, flight.call.take());
        let written = match call {
            Some(call) => call.give_up(),
            None => self.parts.servers.give_up(server, id),
        };
        let written = written && !planted(Plant::UnsentByGuess);
        let status = if written { status } else { Status::NotSent };
        self.end(id, status, Note::None, Load::default(), None);
    }

    /// Reads a cache server's answer as the protocol's table of outcomes says.
    fn server_ended(&mut self, attempt: AttemptId, ended: Ended) {
        let frame = match ended {
            Ended::Reset => {
                let asked = self.flights.get(&attempt).is_some_and(|f| f.asking);
                let never = asked && planted(Plant::AskNeverRan);
                let status = if never { Status::ConnectFailed } else { Status::Reset };
                return self.end(attempt, status, Note::None, Load::default(), None);
            }
            Ended::NotConnected => {
                return self.end(attempt, Status::ConnectFailed, Note::None, Load::default(), None);
            }
            // It has run, whatever it was that came back.
            Ended::Spoilt => return self.end(attempt, Status::Error, Note::None, Load::default(), None),
            Ended::Began(value) => return self.began(attempt, value),
            Ended::Answered(frame) => frame,
        };
        match frame {
            BytesFrame::Array(parts) => {
                let mut parts = parts.into_iter();
                let value = match parts.next() {
                    Some(BytesFrame::BulkString(value)) => Some(value),
                    _ => None,
                };
                let note = match text(parts.next()).as_deref() {
                    Some("hit") => Note::Hit,
                    Some("miss") => Note::Miss,
                    Some("pending") => Note::MissBeingFetched,
                    _ => Note::None,
                };
                let load = text(parts.next()).map(|l| load(&self.site, &l)).unwrap_or_default();
                let status = if value.is_some() { Status::Served } else { Status::Miss };
                self.end(attempt, status, note, load, value);
            }
            // From a node of the tier; from a server only to a probe: servers.rs lets nothing else through.
            BytesFrame::BulkString(value)
                if self.flights.get(&attempt).is_some_and(|f| f.attempt.is_some()) =>
            {
                self.end(attempt, Status::Served, Note::None, Load::default(), Some(value));
            }
            BytesFrame::BulkString(report) => {
                let load = load(&self.site, &String::from_utf8_lossy(&report));
                self.end(attempt, Status::Served, Note::None, load, None);
            }
            BytesFrame::Error(line) => {
                if let Some(status) = self.cluster_said(attempt, &line) {
                    return self.end(attempt, status, Note::None, Load::default(), None);
                }
                let load = line.rsplit(' ').next().map(|l| load(&self.site, l)).unwrap_or_default();
                let busy = line.split(' ').next() == Some("BUSY");
                if !busy && !line.starts_with("ERR failed") {
                    self.net.log(format_args!("a cache server answers {:?}", line));
                }
                self.end(attempt, if busy { Status::Full } else { Status::Error }, Note::None, load, None);
            }
            _ => self.end(attempt, Status::Error, Note::None, Load::default(), None),
        }
    }

    /// Reads what a server of a cluster answers in place of a value; `None` for what any server may answer, and for an
    /// attempt that nobody waits for: what comes late moves nothing.
    fn cluster_said(&mut self, attempt: AttemptId, line: &str) -> Option<Status> {
        let (pool, _) = self.parts.cluster.as_mut()?;
        let flight = self.flights.get(&attempt)?;
        let (request, _) = flight.attempt?;
        let from = self.parts.servers.address(flight.server)?;
        let mut open = self.open.get_mut(&request);
        let slot = open.as_ref().and_then(|o| o.slot);
        let servers = &self.parts.servers;
        let word = pool.said(self.clock.now() / 1000, line, slot, from, &|address| servers.at(address))?;
        let status = match &word {
            Word::Redirected { to, ask } => {
                if let Some(open) = &mut open {
                    open.moved = to.filter(|_| !ask);
                }
                Status::Redirected { to: *to, ask: *ask }
            }
            Word::TurnedAway(_) => Status::Full,
            // Nothing that can't be read proves that it has not run.
            Word::Unreadable(_) | Word::OtherSlot(_) => Status::Error,
        };
        let odd = match &word {
            Word::Unreadable(why) => Some(why.to_string()),
            Word::OtherSlot(slot) => Some(format!("it is of slot {slot}, which was not asked for")),
            Word::Redirected { to: None, .. } => Some("no server of the list takes requests there".into()),
            Word::Redirected { .. } | Word::TurnedAway(_) => None,
        };
        let now = self.net.now();
        if let Some(odd) = odd.filter(|_| self.said_at.is_none_or(|at| now >= at + SAID)) {
            self.said_at = Some(now);
            self.net.log(format_args!("a cache server at {from} answers {line:.80?}, not followed: {odd}"));
        }
        if let Word::Redirected { to: Some(to), .. } = word
            && planted(Plant::RedirectIsNews)
        {
            self.believe(to);
        }
        self.plan_refresh();
        Some(status)
    }

    /// A planted mistake: a server is taken for ready because another one named it.
    fn believe(&mut self, to: ServerId) {
        let address = self.parts.servers.address(to);
        self.parts.servers.listed(to, address, true);
        let line = brassrouter::ServerLine { id: to, ..brassrouter::ServerLine::default() };
        self.events.push_back(Event::ServerList { kind: ListKind::Delta, servers: vec![line] });
    }

    /// Sets the wake-up for the next refresh, unless one stands that comes as soon.
    fn plan_refresh(&mut self) {
        let Some((pool, _)) = &self.parts.cluster else { return };
        let Some(due) = pool.due() else { return };
        let left = (due * 1000).saturating_sub(self.clock.now());
        let at = self.net.now() + Duration::from_micros(left);
        if self.refresh_at.is_none_or(|set| at < set) {
            self.refresh_at = Some(at);
            self.due.push(Reverse((at, Due::Refresh)));
        }
    }

    /// Asks servers for their slot map, if it is time.
    fn refresh(&mut self) {
        self.refresh_at = None;
        let Some((pool, asker)) = &mut self.parts.cluster else { return };
        let servers = &self.parts.servers;
        for server in pool.begin(self.clock.now() / 1000, &servers.ready()) {
            if let Some(address) = servers.address(server) {
                asker.ask(server, address);
            }
        }
        self.plan_refresh();
    }

    /// What a server said of the slot map, or that it said nothing of use.
    fn topology(&mut self, server: ServerId, mut heard: Option<mothpier_slots::table::Heard>) {
        let Some((pool, asker)) = &mut self.parts.cluster else { return };
        asker.ended(server);
        if let Some((_, view)) = heard.as_mut().filter(|_| planted(Plant::StaleMapWins)) {
            view.epoch = u64::MAX - view.epoch;
        }
        let servers = &self.parts.servers;
        let merged = pool.answered(self.clock.now() / 1000, server, heard, &|address| servers.at(address));
        if let Some(merged) = merged {
            if merged.stale {
                self.net.log("no slot map from any cache server asked, or an older one: the one held stays");
            } else {
                let ranges = slot_ranges(pool.ranges());
                self.events.push_back(Event::Slots { whole: true, ranges });
            }
        }
        self.plan_refresh();
    }

    /// The answer to an attempt has begun with a value too large to be held. If it is the first for its request it is the
    /// answer, from here on the client's alone: no other is made, and its time is not up while the rest comes. What nobody
    /// waits for is not taken.
    fn began(&mut self, id: AttemptId, value: Passing) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        flight.began = true;
        let (server, took) = (flight.server, self.net.since(flight.sent).as_micros() as Micros);
        let Some((request, attempt)) = flight.attempt else { return };
        let over = !self.open.contains_key(&request);
        if !over {
            self.answer(request, Answer::Passing(value));
        }
        let (status, note, load) = (Status::Served, Note::None, Load::default());
        let outcome = Outcome { request, attempt, server, status, over, note, took, load };
        self.events.push_back(Event::Outcome(outcome));
    }

    /// The end of an attempt or probe, whatever brought it; the first value served is the request's answer.
    fn end(&mut self, id: AttemptId, status: Status, note: Note, load: Load, value: Option<Bytes>) {
        let may_have_run = matches!(status, Status::Reset | Status::TimedOut | Status::Error);
        let status = if may_have_run && planted(Plant::RepeatsUnsafe) { Status::NotSent } else { status };
        let Some(flight) = self.flights.remove(&id).filter(|f| !f.began) else { return };
        if let Some((pool, _)) = &mut self.parts.cluster
            && matches!(status, Status::Served | Status::Miss)
            && let Some(open) = flight.attempt.and_then(|(request, _)| self.open.get(&request))
            && let Some(slot) = open.slot.filter(|_| open.moved == Some(flight.server))
            && let Some(held) = pool.moved(slot, flight.server)
        {
            let ranges = slot_ranges(vec![held]);
            self.events.push_back(Event::Slots { whole: false, ranges });
        }
        let (server, took) = (flight.server, self.net.since(flight.sent).as_micros() as Micros);
        let Some((request, attempt)) = flight.attempt else {
            return self.events.push_back(Event::Probed { server, ok: status == Status::Served, took, load });
        };
        if let Some(open) = self.open.get_mut(&request) {
            open.last = Some(status);
            open.out.retain(|out| *out != id);
            open.may_have_run -= u32::from(status.proves_not_run());
        }
        if status == Status::Served {
            self.answer(request, value.map_or(Answer::Failed, Answer::Value));
        }
        let over = !self.open.contains_key(&request);
        self.events.push_back(Event::Outcome(Outcome {
            request,
            attempt,
            server,
            status,
            over,
            note,
            took,
            load,
        }));
    }
}

/// Whether the client of a request has let go of its answer.
fn open_is_left(open: &HashMap<RequestId, Open>, request: RequestId) -> bool {
    open.get(&request).is_some_and(|open| open.answer.is_closed())
}

/// How an attempt ended, as figures name it.
fn status_name(status: Status) -> &'static str {
    match status {
        Status::Served => "served",
        Status::Miss => "miss",
        Status::Error => "error",
        Status::Full => "full",
        Status::TimedOut => "timed_out",
        Status::ConnectFailed => "connect_failed",
        Status::Reset => "reset",
        Status::Cancelled => "cancelled",
        Status::NotSent => "not_sent",
        Status::Redirected { .. } => "redirected",
    }
}

fn slot_ranges(held: Vec<Held>) -> Vec<SlotRange> {
    held.into_iter().map(|h| SlotRange { first: h.first, last: h.last, servers: h.boxes }).collect()
}

/// A load report: names and values, in the order that the settings give.
fn load(site: &Site, report: &str) -> Load {
    let mut load = Load::default();
    for (name, field) in site.load_fields.iter().zip(&site.decisions.load_fields).take(load.values.len()) {
        let most = if *field == LoadField::Busy { MOST_LOAD.0 } else { MOST_LOAD.1 };
        let value = report.split(',').filter_map(|p| p.trim().split_once('=')).find(|(n, _)| n == name);
        // Reports come spoilt, too: a figure that no load can have must not reach the module's averages.
        let value = value.and_then(|(_, v)| v.parse::<f32>().ok()).filter(|v| (0.0..=most).contains(v));
        let Some(value) = value else { return Load::default() };
        load.values[usize::from(load.count)] = value;
        load.count += 1;
    }
    load
}

fn text(frame: Option<BytesFrame>) -> Option<String> {
    match frame {
        Some(BytesFrame::BulkString(b) | BytesFrame::SimpleString(b)) => {
            Some(String::from_utf8_lossy(&b).into_owned())
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests;
