//! The node: the one owner of the decision module. Events go in, actions become I/O; nothing is decided here.

mod attempts;
mod cluster;
mod lists;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use brassrouter::settings::Site;
use brassrouter::{
    Action, CacheLookup, Effect, Event, ListKind, Micros, Policy, RequestId, ServerId, Status,
};
use mothpier_membership::admin_drain::AdminDrains;
use mothpier_net::Net;
use mothpier_slots::{Pool, slot_of};
use tokio::sync::{mpsc, oneshot, watch};

use self::attempts::load;
use crate::clock::Clock;
use crate::discovery::ServerNumbers;
use crate::event_log::{Event as Logged, EventLog};
use crate::guards::Invariant;
use crate::membership::Membership;
use crate::messages::{
    AdminCommand, Answer, AttemptId, ClientEvent, Command, DiscoveryRequest, ListUpdate, NodeInput,
    ResourceCounts, ServerList,
};
use crate::metrics::{Metrics, RefusalReason};
use crate::origin::{self, Origins};
use crate::peers::Peers;
use crate::phase::ServingPhase;
use crate::servers::Servers;
use crate::slot_map_fetcher::SlotMapFetcher;
use crate::start_times::StartTimes;
use crate::{Mutation, mutation_active};

/// A request that is refused within this time of its coming was turned away at once.
const AT_ONCE: Duration = Duration::from_millis(5);

/// An input that takes the node longer than this is told in the event log: a drain's slack on sockets is three times that.
const HELD_UP: Duration = Duration::from_millis(15);

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

/// What the node takes in next.
enum Turn {
    Order(AdminCommand),
    Input(NodeInput),
    /// A wake-up is due.
    Timer,
}

impl Turn {
    /// As figures and the event log name it.
    fn name(&self) -> &'static str {
        match self {
            Turn::Order(_) => "order",
            Turn::Timer => "timer",
            Turn::Input(NodeInput::Client(ClientEvent::Asked { .. })) => "request",
            Turn::Input(NodeInput::Client(ClientEvent::Gone(_))) => "client_gone",
            Turn::Input(NodeInput::Server { .. }) => "server",
            Turn::Input(NodeInput::Origin { .. } | NodeInput::OriginBegan { .. }) => "origin",
            Turn::Input(NodeInput::Discovery(_) | NodeInput::Names(_)) => "list",
            Turn::Input(NodeInput::Peer { .. }) => "peer",
            Turn::Input(NodeInput::Topology { .. }) => "topology",
            Turn::Input(NodeInput::ResourceCounts(_) | NodeInput::AnswerDeadline(_)) => "control",
        }
    }
}

/// The parts that the node drives.
pub struct Parts<N: Net> {
    /// Where the servers form a cluster: what is known of it, and who asks.
    pub cluster: Option<(Pool, SlotMapFetcher<N>)>,
    pub servers: Servers<N>,
    pub origins: Origins<N>,
    pub peers: Option<Rc<Peers<N>>>,
    /// Where there are more sources of boxes than the list.
    pub membership: Option<Membership>,
    pub wanted: watch::Sender<DiscoveryRequest>,
    pub phase: Rc<ServingPhase>,
    /// Where retries and broken rules are counted.
    pub figures: Rc<Metrics>,
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
    numbers: ServerNumbers,
    start_times: StartTimes,
    /// Who is out by hand, before anything is made of the list.
    hand: AdminDrains,
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
        let origin = site.policy.origin_kind.and_then(|k| site.kinds.get(usize::from(k)).cloned());
        let start_times = StartTimes::new(site.policy.warm_up);
        Node {
            hand: AdminDrains::new(origin),
            lists: 0,
            net,
            policy: Policy::new(site.policy.clone(), seed),
            site,
            clock,
            parts,
            numbers: ServerNumbers::default(),
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
        known: Option<ServerList>,
        mut inputs: mpsc::Receiver<NodeInput>,
        mut orders: mpsc::Receiver<AdminCommand>,
    ) {
        let known = known.unwrap_or(ServerList { revision: 0, complete: true, members: Vec::new() });
        self.heard_list(known, ListKind::Cached);
        self.settle();
        self.plan_refresh();
        loop {
            let next = self.due.peek().map(|Reverse((time, _))| *time);
            let idle = self.net.now() + Duration::from_secs(3600);
            let turn = tokio::select! {
                biased;
                // Staff wait behind nothing that clients ask.
                Some(order) = orders.recv() => Turn::Order(order),
                input = inputs.recv() => match input {
                    Some(input) => Turn::Input(input),
                    None => return,
                },
                () = self.net.sleep_until(next.unwrap_or(idle)) => Turn::Timer,
            };
            let (name, began) = (turn.name(), self.net.now());
            match turn {
                Turn::Order(order) => self.order(order),
                Turn::Input(input) => self.input(input),
                Turn::Timer => {}
            }
            self.fire();
            self.settle();
            self.note_turn(name, self.net.since(began));
        }
    }

    /// Counts how long a turn took, and logs one that held others up.
    fn note_turn(&self, input: &'static str, took: Duration) {
        self.parts.figures.turn(input, took);
        if took >= HELD_UP {
            self.log_event(&Logged::HeldUp { input, took_ms: took.as_millis() as u64 });
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

    fn input(&mut self, input: NodeInput) {
        match input {
            // Who asked has gone: nothing is begun for it.
            NodeInput::Client(ClientEvent::Asked { answer, .. }) if answer.is_closed() => {}
            NodeInput::Client(ClientEvent::Asked { mut request, command, answer, read }) => {
                let waited = self.net.since(read);
                self.parts.figures.queued(waited);
                request.time_left = request.time_left.saturating_sub(waited.as_micros() as Micros);
                if mutation_active(Mutation::TimeLeftGrows) {
                    request.time_left += 1_000_000;
                }
                let ends = self.net.now() + Duration::from_micros(request.time_left);
                let slot = self.parts.cluster.is_some().then(|| slot_of(&command.key));
                request.slot = slot;
                let command = command.into();
                let effect = self.site.policy.classes[request.class].effect;
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
            NodeInput::Client(ClientEvent::Gone(id)) => self.gone(id),
            NodeInput::AnswerDeadline(at) => {
                self.open.values_mut().for_each(|open| open.ends = open.ends.min(at));
                let left = at.saturating_duration_since(self.net.now()).as_micros() as Micros;
                self.events.push_back(Event::AnswerDeadline(self.clock.now() + left));
            }
            NodeInput::Server { server, number, event } => {
                for (attempt, ended) in self.parts.servers.event(server, number, event) {
                    self.server_ended(attempt, ended);
                }
            }
            NodeInput::OriginBegan { attempt, value } => self.began(attempt, value),
            NodeInput::Origin { attempt, ended } => {
                let load = load(&self.site, &ended.load);
                self.end(attempt, ended.status, CacheLookup::None, load, Some(ended.value));
            }
            NodeInput::Discovery(ListUpdate::List(_))
                if mutation_active(Mutation::ListHeardOnce) && self.lists > 1 => {}
            NodeInput::Discovery(ListUpdate::List(list)) => {
                self.parts.phase.listed();
                let kind = if list.complete { ListKind::Full } else { ListKind::Delta };
                self.heard_list(list, kind);
                if kind == ListKind::Full {
                    self.start_times.listed();
                }
            }
            NodeInput::Discovery(ListUpdate::Failed) => {
                if let Some(membership) = &self.parts.membership {
                    membership.list_out();
                }
                // Only one that asks is told so; what is pushed goes on by itself.
                if self.site.policy.pull_discovery {
                    self.parts.wanted.send_modify(|w| w.watch = false);
                    self.events.push_back(Event::ServerList { kind: ListKind::Failed, servers: Vec::new() });
                }
            }
            NodeInput::ResourceCounts(asked) => {
                let _ = asked.send(ResourceCounts {
                    open: self.open.len(),
                    flights: self.flights.len(),
                    pools: self.parts.servers.len() + self.parts.origins.len(),
                    servers: self.numbers.len(),
                    ..ResourceCounts::default()
                });
            }
            NodeInput::Topology { server, heard } => self.topology(server, heard),
            NodeInput::Names(view) => {
                if let Some(membership) = &self.parts.membership {
                    membership.names(self.clock.now() / 1000, &view);
                    self.view_boxes(ListKind::Delta);
                }
            }
            NodeInput::Peer { bytes, .. } if Membership::is_message(&bytes) => {
                if let Some(membership) = &self.parts.membership {
                    membership.heard(self.clock.now() / 1000, &bytes);
                    self.view_boxes(ListKind::Delta);
                }
            }
            NodeInput::Peer { from, bytes } => self.events.push_back(Event::PeerMessage { from, bytes }),
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, server, timeout: give_up_after, asking } => {
                self.send(request, server, give_up_after, asking)
            }
            Action::Refuse { request, retry_after } => {
                let wait = retry_after.min(self.site.max_retry_after).div_ceil(1000);
                let wait = if mutation_active(Mutation::BareRefusal) { 0 } else { wait };
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
            Action::SendToPeer { to, bytes } => {
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
            if mutation_active(Mutation::LostAnswer) && request.is_multiple_of(100) {
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

    fn wake(&mut self, after: Duration, due: Due) {
        self.due.push(Reverse((self.net.now() + after, due)));
    }

    /// A rule was found broken: it is counted, and told in a log that no flood of them fills.
    fn violated(&self, invariant: Invariant, request: RequestId) {
        if self.parts.figures.violated(invariant) {
            self.net.log(format_args!("invariant {} is broken by request {request}", invariant.name()));
        }
    }
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

#[cfg(test)]
mod tests;
