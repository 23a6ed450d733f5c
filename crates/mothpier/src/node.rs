//! The node's event loop, the only owner of the policy. Feeds inputs to the policy as events and carries out
//! its actions as I/O; it takes no decisions of its own.

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

/// A request refused without an attempt within this time of its arrival counts as shed, a later one as
/// waited.
const IMMEDIATE_REFUSAL_LIMIT: Duration = Duration::from_millis(5);

/// Turns of the event loop that take at least this long are logged. The time allowed on sockets for a drain
/// to take effect is three times as long.
const SLOW_TURN_THRESHOLD: Duration = Duration::from_millis(15);

/// A request that has not had its final answer.
struct OpenRequest {
    command: Rc<Command>,
    answer: oneshot::Sender<Answer>,
    received_at: Instant,
    /// When the final answer is due.
    deadline: Instant,
    /// Attempts made so far.
    attempts: u16,
    /// Attempts that may have run on a server, or may still run.
    may_have_run: u32,
    /// Status of the attempt that ended last.
    last_status: Option<Status>,
    effect: Effect,
    /// Attempts without an outcome.
    outstanding: Vec<AttemptId>,
    /// Hash slot of the key; `None` if the servers do not form a cluster.
    slot: Option<u16>,
    /// Server named by a `MOVED` redirect. The move is recorded in the slot map once that server accepts the
    /// request.
    moved_to: Option<ServerId>,
}

/// An attempt or probe without an outcome. It may outlive its request.
struct InFlightAttempt<N: Net> {
    /// The request and the number of the attempt; `None` for a probe.
    attempt: Option<(RequestId, u16)>,
    server: ServerId,
    sent_at: Instant,
    /// The HTTP call, if the server is the origin.
    call: Option<origin::Call<N>>,
    /// Whether it is preceded by `ASKING`.
    asking: bool,
    /// Whether its value is being streamed to the client. Its outcome has been reported to the policy, and it
    /// no longer times out.
    streaming: bool,
}

/// A scheduled wake-up of the event loop.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Wakeup {
    /// A timer of the policy, with its token.
    Timer(u32),
    AttemptTimeout(AttemptId),
    /// Slot maps are to be requested from servers of the cluster.
    SlotMapRefresh,
    /// A record of a membership source expires, or gossip is to be sent.
    MembershipUpdate,
}

/// What one turn of the event loop handles.
enum LoopEvent {
    Admin(AdminCommand),
    Input(NodeInput),
    /// At least one wake-up is due.
    Timer,
}

impl LoopEvent {
    /// Name of the event in metrics and in the event log.
    fn name(&self) -> &'static str {
        match self {
            LoopEvent::Admin(_) => "order",
            LoopEvent::Timer => "timer",
            LoopEvent::Input(NodeInput::Client(ClientEvent::Request { .. })) => "request",
            LoopEvent::Input(NodeInput::Client(ClientEvent::Disconnected(_))) => "client_gone",
            LoopEvent::Input(NodeInput::Server { .. }) => "server",
            LoopEvent::Input(NodeInput::Origin { .. } | NodeInput::OriginAnswerStarted { .. }) => "origin",
            LoopEvent::Input(NodeInput::Discovery(_) | NodeInput::DnsView(_)) => "list",
            LoopEvent::Input(NodeInput::Peer { .. }) => "peer",
            LoopEvent::Input(NodeInput::SlotMap { .. }) => "topology",
            LoopEvent::Input(NodeInput::ResourceCounts(_) | NodeInput::AnswerDeadline(_)) => "control",
        }
    }
}

/// The components that the node drives.
pub struct Parts<N: Net> {
    /// State of the slot map and its fetcher, if the servers form a cluster.
    pub cluster: Option<(Pool, SlotMapFetcher<N>)>,
    pub servers: Servers<N>,
    pub origins: Origins<N>,
    pub peers: Option<Rc<Peers<N>>>,
    /// Present if there are more sources of servers than the list.
    pub membership: Option<Membership>,
    pub discovery_requests: watch::Sender<DiscoveryRequest>,
    pub phase: Rc<ServingPhase>,
    pub metrics: Rc<Metrics>,
    pub event_log: Rc<EventLog>,
}

/// The event loop and the state of requests and attempts.
pub struct Node<N: Net> {
    net: N,
    policy: Policy,
    site: Site,
    clock: Clock<N>,
    parts: Parts<N>,
    numbers: ServerNumbers,
    start_times: StartTimes,
    /// Servers drained by operators or the fleet, applied before a list reaches the policy.
    admin_drains: AdminDrains,
    /// Incremented with every list or change of the list.
    list_version: u64,
    origin_ids: HashSet<ServerId>,
    open_requests: HashMap<RequestId, OpenRequest>,
    in_flight: HashMap<AttemptId, InFlightAttempt<N>>,
    last_attempt: AttemptId,
    wakeups: BinaryHeap<Reverse<(Instant, Wakeup)>>,
    /// Time of the earliest scheduled slot map refresh.
    slot_map_refresh_at: Option<Instant>,
    /// Time of the earliest scheduled membership update.
    membership_update_at: Option<Instant>,
    /// When a redirect that was not followed was last logged.
    redirect_logged_at: Option<Instant>,
    /// Events for the policy, including those caused by its own actions, in order.
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

impl<N: Net> Node<N> {
    pub fn new(net: N, site: Site, seed: u64, clock: Clock<N>, parts: Parts<N>) -> Self {
        let origin = site.policy.origin_kind.and_then(|k| site.kinds.get(usize::from(k)).cloned());
        let start_times = StartTimes::new(site.policy.warm_up);
        Node {
            admin_drains: AdminDrains::new(origin),
            list_version: 0,
            net,
            policy: Policy::new(site.policy.clone(), seed),
            site,
            clock,
            parts,
            numbers: ServerNumbers::default(),
            start_times,
            origin_ids: HashSet::new(),
            open_requests: HashMap::new(),
            in_flight: HashMap::new(),
            last_attempt: 0,
            wakeups: BinaryHeap::new(),
            slot_map_refresh_at: None,
            membership_update_at: None,
            redirect_logged_at: None,
            events: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Runs until all senders of inputs are dropped.
    pub async fn run(
        mut self,
        cached_list: Option<ServerList>,
        mut inputs: mpsc::Receiver<NodeInput>,
        mut admin_commands: mpsc::Receiver<AdminCommand>,
    ) {
        let cached_list =
            cached_list.unwrap_or(ServerList { revision: 0, complete: true, members: Vec::new() });
        self.receive_list(cached_list, ListKind::Cached);
        self.process_events();
        self.schedule_slot_map_refresh();
        loop {
            let next = self.wakeups.peek().map(|Reverse((time, _))| *time);
            let idle = self.net.now() + Duration::from_secs(3600);
            let loop_event = tokio::select! {
                biased;
                // Commands of operators go before client requests.
                Some(admin_command) = admin_commands.recv() => LoopEvent::Admin(admin_command),
                input = inputs.recv() => match input {
                    Some(input) => LoopEvent::Input(input),
                    None => return,
                },
                () = self.net.sleep_until(next.unwrap_or(idle)) => LoopEvent::Timer,
            };
            let (name, started) = (loop_event.name(), self.net.now());
            match loop_event {
                LoopEvent::Admin(admin_command) => self.handle_admin_command(admin_command),
                LoopEvent::Input(input) => self.handle_input(input),
                LoopEvent::Timer => {}
            }
            self.run_due_wakeups();
            self.process_events();
            self.record_turn(name, self.net.since(started));
        }
    }

    /// Records the duration of a turn, and logs it if it delayed other inputs.
    fn record_turn(&self, input: &'static str, elapsed: Duration) {
        self.parts.metrics.observe_turn(input, elapsed);
        if elapsed >= SLOW_TURN_THRESHOLD {
            self.log_event(&Logged::HeldUp { input, took_ms: elapsed.as_millis() as u64 });
        }
    }

    /// Handles all wake-ups that are due.
    fn run_due_wakeups(&mut self) {
        let now = self.net.now();
        while self.wakeups.peek().is_some_and(|Reverse((time, _))| *time <= now) {
            match self.wakeups.pop() {
                Some(Reverse((_, Wakeup::Timer(token)))) => self.events.push_back(Event::Timer(token)),
                Some(Reverse((_, Wakeup::AttemptTimeout(id)))) => self.give_up(id, Status::TimedOut),
                Some(Reverse((_, Wakeup::SlotMapRefresh))) => self.refresh_slot_maps(),
                Some(Reverse((_, Wakeup::MembershipUpdate))) => {
                    self.membership_update_at = None;
                    self.update_membership(ListKind::Delta);
                }
                None => {}
            }
            self.process_events();
        }
    }

    /// Passes pending events to the policy and executes its actions until no events are left.
    fn process_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.policy.handle(self.clock.now(), event, &mut actions);
            actions.drain(..).for_each(|action| self.execute(action));
            self.actions = actions;
        }
    }

    /// Handles an input: updates the state and queues events for the policy.
    fn handle_input(&mut self, input: NodeInput) {
        match input {
            // The client has disconnected: no attempt is made.
            NodeInput::Client(ClientEvent::Request { answer, .. }) if answer.is_closed() => {}
            NodeInput::Client(ClientEvent::Request { mut request, command, answer, read }) => {
                let waited = self.net.since(read);
                self.parts.metrics.observe_queue_time(waited);
                request.time_left = request.time_left.saturating_sub(waited.as_micros() as Micros);
                if mutation_active(Mutation::TimeLeftGrows) {
                    request.time_left += 1_000_000;
                }
                let deadline = self.net.now() + Duration::from_micros(request.time_left);
                let slot = self.parts.cluster.is_some().then(|| slot_of(&command.key));
                request.slot = slot;
                let command = command.into();
                let effect = self.site.policy.classes[request.class].effect;
                let open = OpenRequest {
                    command,
                    answer,
                    received_at: self.net.now(),
                    deadline,
                    attempts: 0,
                    may_have_run: 0,
                    last_status: None,
                    effect,
                    outstanding: Vec::new(),
                    slot,
                    moved_to: None,
                };
                self.open_requests.insert(request.id, open);
                self.events.push_back(Event::Request(request));
            }
            NodeInput::Client(ClientEvent::Disconnected(id)) => self.client_gone(id),
            NodeInput::AnswerDeadline(at) => {
                self.open_requests.values_mut().for_each(|open| open.deadline = open.deadline.min(at));
                let left = at.saturating_duration_since(self.net.now()).as_micros() as Micros;
                self.events.push_back(Event::AnswerDeadline(self.clock.now() + left));
            }
            NodeInput::Server { server, connection, event } => {
                for (attempt, ended) in self.parts.servers.event(server, connection, event) {
                    self.handle_server_result(attempt, ended);
                }
            }
            NodeInput::OriginAnswerStarted { attempt, value } => self.start_streaming(attempt, value),
            NodeInput::Origin { attempt, ended } => {
                let load = load(&self.site, &ended.load);
                self.end_attempt(attempt, ended.status, CacheLookup::None, load, Some(ended.value));
            }
            NodeInput::Discovery(ListUpdate::List(_))
                if mutation_active(Mutation::ListHeardOnce) && self.list_version > 1 => {}
            NodeInput::Discovery(ListUpdate::List(list)) => {
                self.parts.phase.list_received();
                let kind = if list.complete { ListKind::Full } else { ListKind::Delta };
                self.receive_list(list, kind);
                if kind == ListKind::Full {
                    self.start_times.complete_list_applied();
                }
            }
            NodeInput::Discovery(ListUpdate::Failed) => {
                if let Some(membership) = &self.parts.membership {
                    membership.mark_list_unreachable();
                }
                // The policy learns of failures only if it pulls the list; a pushed list resumes by itself.
                if self.site.policy.pull_discovery {
                    self.parts.discovery_requests.send_modify(|w| w.watch = false);
                    self.events.push_back(Event::ServerList { kind: ListKind::Failed, servers: Vec::new() });
                }
            }
            NodeInput::ResourceCounts(reply) => {
                let _ = reply.send(ResourceCounts {
                    open: self.open_requests.len(),
                    in_flight: self.in_flight.len(),
                    pools: self.parts.servers.len() + self.parts.origins.len(),
                    servers: self.numbers.len(),
                    ..ResourceCounts::default()
                });
            }
            NodeInput::SlotMap { server, view } => self.receive_slot_map(server, view),
            NodeInput::DnsView(view) => {
                if let Some(membership) = &self.parts.membership {
                    membership.apply_dns(self.clock.now() / 1000, &view);
                    self.update_membership(ListKind::Delta);
                }
            }
            NodeInput::Peer { bytes, .. } if Membership::is_message(&bytes) => {
                if let Some(membership) = &self.parts.membership {
                    membership.receive(self.clock.now() / 1000, &bytes);
                    self.update_membership(ListKind::Delta);
                }
            }
            NodeInput::Peer { from, bytes } => self.events.push_back(Event::PeerMessage { from, bytes }),
        }
    }

    /// Executes an action of the policy.
    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, server, timeout, asking } => self.send(request, server, timeout, asking),
            Action::Refuse { request, retry_after } => {
                let wait_ms = retry_after.min(self.site.max_retry_after).div_ceil(1000);
                let wait_ms = if mutation_active(Mutation::BareRefusal) { 0 } else { wait_ms };
                self.record_refusal(request, wait_ms);
                self.answer(request, Answer::Busy(wait_ms));
            }
            Action::Fail(request) => {
                if let Some(open) = self.open_requests.get(&request) {
                    let last = open.last_status.map_or("unknown", status_name);
                    self.log_event(&Logged::Failed {
                        request: &open.command.id_text(),
                        attempts: open.attempts,
                        last,
                    });
                }
                self.answer(request, Answer::Failed);
            }
            Action::Cancel { request, attempt } => {
                let target = Some((request, attempt));
                if let Some(id) = self.in_flight.iter().find(|(_, f)| f.attempt == target).map(|(id, _)| *id)
                {
                    self.give_up(id, Status::Cancelled);
                }
            }
            Action::Timer { after, token } => {
                self.schedule(Duration::from_micros(after), Wakeup::Timer(token))
            }
            Action::Subscribe(on) => self.parts.discovery_requests.send_modify(|w| {
                w.watch = on;
                w.calls += u32::from(on);
            }),
            Action::FetchList => self.parts.discovery_requests.send_modify(|w| w.calls += 1),
            Action::Probe(server) => self.probe(server),
            Action::CloseIdle(server) if self.origin_ids.contains(&server) => {
                self.parts.origins.close_idle(server)
            }
            Action::CloseIdle(server) => self.parts.servers.close_idle(server),
            Action::SendToPeer { to, bytes } => {
                if let Some(peers) = &self.parts.peers {
                    peers.send(to, &bytes);
                }
            }
            Action::Log(text) => self.net.log(text),
            Action::Fault(text) => self.net.log(format_args!("internal error in the policy: {text}")),
        }
    }

    /// Sends the final answer of a request and withdraws its unsent attempts.
    fn answer(&mut self, request: RequestId, answer: Answer) {
        if let Some(open) = self.open_requests.remove(&request) {
            if mutation_active(Mutation::LostAnswer) && request.is_multiple_of(100) {
                return std::mem::forget(open);
            }
            self.withdraw(&open.outstanding);
            self.record_run(&open);
            // The client may have disconnected in the meantime.
            let _ = open.answer.send(answer);
        }
    }

    /// Keeps the id of a finished request from being used again, if the request may have run and must not run twice.
    fn record_run(&self, open: &OpenRequest) {
        let still_out = open.outstanding.iter().filter(|id| self.in_flight.contains_key(id)).count();
        let ended = (open.may_have_run as usize).saturating_sub(open.outstanding.len());
        if open.effect == Effect::Unsafe && ended + still_out > 0 {
            open.command.claim.record_run(self.net.now());
        }
    }

    /// Counts and logs a refusal with its reason.
    fn record_refusal(&self, request: RequestId, retry_after_ms: u64) {
        let Some(open) = self.open_requests.get(&request) else { return };
        let reason = match open.attempts {
            0 if self.net.since(open.received_at) < IMMEDIATE_REFUSAL_LIMIT => RefusalReason::Shed,
            0 => RefusalReason::Waited,
            _ => RefusalReason::Attempts,
        };
        self.parts.metrics.count_refusal(reason);
        let (request, attempts) = (open.command.id_text(), open.attempts);
        self.log_event(&Logged::Refused { request: &request, reason, attempts, retry_after_ms });
    }

    fn log_event(&self, event: &Logged) {
        if let Some(line) = self.parts.event_log.format_line(self.net.now(), event) {
            self.net.log(line);
        }
    }

    /// Schedules a wake-up after a delay.
    fn schedule(&mut self, after: Duration, wakeup: Wakeup) {
        self.wakeups.push(Reverse((self.net.now() + after, wakeup)));
    }

    /// Counts a violated invariant and logs it, at a limited rate.
    fn violated(&self, invariant: Invariant, request: RequestId) {
        if self.parts.metrics.count_violation(invariant) {
            self.net.log(format_args!("invariant {} violated by request {request}", invariant.name()));
        }
    }
}

/// Name of a status in metrics and in the event log.
fn status_name(status: Status) -> &'static str {
    match status {
        Status::Served => "served",
        Status::Miss => "miss",
        Status::Error => "error",
        Status::Rejected => "full",
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
