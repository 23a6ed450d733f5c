//! The interface between a node and the decision module: settings, events and actions.
//!
//! Times are microseconds of the node's own clock, which starts at an arbitrary value and never goes back.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
/// Identifies a client request at this balancer; never reused.
pub type RequestId = u64;
/// Identifies a server (or the origin); unchanged when its process restarts.
pub type ServerId = u32;
/// The key of a request; 0 if it has none.
pub type Key = u64;

/// What a node tells the module once, at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of balancers that share the fleet.
    pub balancers: u32,
    /// Index of this balancer among them, from 0.
    pub own_index: u32,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; empty in a deployment without tenants.
    pub tenants: Vec<Tenant>,
    /// Whether the server list has to be requested (by subscription or as a whole); otherwise discovery
    /// pushes it.
    pub pull_discovery: bool,
    /// Time after which a balancer without a subscription is taken to know of a change.
    pub change_notice_limit: Micros,
    /// Machine kind of the origin in the server list; `None` if servers fetch missing values themselves.
    pub origin_kind: Option<u16>,
    /// Whether the weights in the server list state the servers' capacities.
    pub weights_are_capacities: bool,
    /// The values in a load report, in their order.
    pub load_fields: Vec<LoadField>,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be outstanding at once.
    pub may_duplicate: bool,
    /// Whether an attempt may be cancelled.
    pub may_cancel: bool,
    /// Whether balancers may send each other messages.
    pub may_message_peers: bool,
    /// Time after which an unfinished connection attempt fails.
    pub connect_timeout: Micros,
    /// Minimum time between two calls of the module.
    pub tick: Micros,
    /// Share of its capacity that a server has at least when it starts.
    pub cold_share: f64,
    /// Time after its start by which a server is warm.
    pub warm_up: Micros,
    /// Load that crashes a cold server, as a multiple of its present capacity.
    pub crash_load_multiple: f64,
    /// Duration of such a load after which the server crashes.
    pub crash_after: Micros,
    /// Time within which idle connections to a draining server must be closed; `None` if there is no such
    /// rule.
    pub drain_close_limit: Option<Micros>,
    /// What the origin accepts from all balancers together, if that is stated; otherwise each balancer limits
    /// itself.
    pub origin_limits: Option<OriginLimits>,
    /// Rate of attempts at a cold server, as a multiple of a warm server's rate times the share of its
    /// capacity that the cold server has so far.
    pub cold_rate_multiple: f64,
    /// What each request adds to the retry budget; with 0, requests are retried only after attempts that cost
    /// the server no work.
    pub retry_budget_per_request: f64,
}

/// What the origin accepts from all balancers together. One balancer's share may be less than one call;
/// balancers then take turns, which follow from their indexes and the shared clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OriginLimits {
    /// Maximum number of outstanding calls.
    pub max_outstanding: f64,
    /// Maximum calls per second; infinite if no rate is stated.
    pub max_calls_per_s: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancers: 1,
            own_index: 0,
            classes: vec![Class::default()],
            tenants: Vec::new(),
            pull_discovery: false,
            change_notice_limit: 10_000_000,
            origin_kind: None,
            weights_are_capacities: false,
            load_fields: Vec::new(),
            max_attempts: 3,
            may_duplicate: true,
            may_cancel: false,
            may_message_peers: false,
            connect_timeout: 250_000,
            tick: 1_000,
            cold_share: 0.25,
            warm_up: 10_000_000,
            crash_load_multiple: 3.0,
            crash_after: 2_000_000,
            drain_close_limit: None,
            origin_limits: None,
            cold_rate_multiple: 1.5,
            retry_budget_per_request: 0.2,
        }
    }
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub target_latency: Micros,
    /// Time after which the client gives up.
    pub deadline: Micros,
    /// Worth of one request.
    pub worth: f64,
    /// Share of the worth that an answer after the target latency still earns.
    pub late_worth: f64,
    /// Effect of repeating a request of this class.
    pub effect: Effect,
    /// The zones whose cache servers it may be sent to; `None` for all.
    pub only_zones: Option<Vec<u8>>,
    /// The machine kinds that it may be sent to, besides the origin; `None` for all.
    pub only_kinds: Option<Vec<u16>>,
    /// The servers that it may be sent to, besides the origin; `None` for all.
    pub only_servers: Option<Vec<ServerId>>,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            target_latency: 250_000,
            deadline: 1_000_000,
            worth: 1.0,
            late_worth: 0.0,
            effect: Effect::Safe,
            only_zones: None,
            only_kinds: None,
            only_servers: None,
        }
    }
}

/// Effect of repeating a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// None: it may be sent any number of times.
    Safe,
    /// The servers of one scope drop repeats for a time after the first attempt.
    Keyed {
        /// Which servers drop a repeat.
        scope: DedupScope,
        /// How long they drop it, counted from when the earliest attempt that may have run was sent.
        window: Micros,
    },
    /// The effect happens again.
    Unsafe,
}

/// The cache servers that share a record of the keyed requests they have seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All cache servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A tenant and its quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests per second within the quota, over all balancers together.
    pub quota_per_s: f64,
}

/// The meaning of a value in a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadField {
    /// Requests in progress.
    InFlight,
    /// Requests waiting.
    Queued,
    /// Share of CPU in use.
    Busy,
    /// Recent service time, in milliseconds.
    ServiceMs,
    /// Requests served per second.
    Rate,
    /// Errors per second.
    ErrorRate,
    /// A value that this module does not use.
    Other,
}

/// A load report: values in the order of [`Settings::load_fields`].
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Number of elements of `values` in use.
    pub count: u8,
    /// The values.
    pub values: [f32; 4],
}

impl Load {
    /// Returns the value of the `wanted` field, if the site's reports have it and this report includes it.
    pub fn value(&self, fields: &[LoadField], wanted: LoadField) -> Option<f64> {
        let index =
            fields.iter().position(|f| *f == wanted).filter(|index| *index < usize::from(self.count))?;
        self.values.get(index).map(|v| f64::from(*v)).filter(|v| v.is_finite())
    }
}

/// An entry of the server list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: u8,
    /// Its cell, a small group of servers that share a record of keyed requests.
    pub cell: u16,
    /// Its machine kind.
    pub kind: u16,
    /// Its weight.
    pub weight: f32,
    /// When its process last started; 0 for long ago.
    pub started: Micros,
    /// Whether it is ready, draining or gone.
    pub condition: Condition,
}

impl Default for ServerEntry {
    fn default() -> Self {
        ServerEntry { id: 0, zone: 0, cell: 0, kind: 0, weight: 1.0, started: 0, condition: Condition::Ready }
    }
}

/// Condition of a server as the list states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// It serves requests.
    Ready,
    /// It finishes its outstanding requests; nothing new may be sent to it.
    Draining,
    /// It is gone.
    Gone,
}

/// Consecutive slots that are held by the same servers of a cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRange {
    /// The first slot.
    pub first: u16,
    /// The last slot, below 16,384.
    pub last: u16,
    /// The owner, then the replicas that may be read from.
    pub servers: Vec<ServerId>,
}

/// How a server list relates to the current one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// The complete list; a server that it lacks is gone.
    Full,
    /// The list saved before a restart: complete, but perhaps outdated.
    Cached,
    /// Changed entries only.
    Delta,
    /// A call to discovery failed or the subscription was lost; the current list stays in effect.
    Failed,
}

/// A client's request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of its class in [`Settings::classes`].
    pub class: usize,
    /// Index of its tenant in [`Settings::tenants`]; 0 if there are none.
    pub tenant: usize,
    /// Its key; 0 for none.
    pub key: Key,
    /// Whether it is a write (and goes to the origin).
    pub write: bool,
    /// Whether the client marked it as a repeat of an earlier request.
    pub repeat: bool,
    /// Time until the client gives up on this request.
    pub time_left: Micros,
    /// Expected work, if known.
    pub cost: Option<Micros>,
    /// Size of the value in bytes; 0 if unknown.
    pub size: f32,
    /// The slot of its key, if the cache servers form a cluster.
    pub slot: Option<u16>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The server answered the request.
    Served,
    /// The server has no value for this key; the request did not run.
    Miss,
    /// The server reported an error; the request may have run.
    Error,
    /// Rejected before it was processed; it did not run.
    Rejected,
    /// Not answered in time; it may have run or may still be running.
    TimedOut,
    /// No connection was made; it did not run.
    ConnectFailed,
    /// The connection was lost; it may have run.
    Reset,
    /// Cancelled by this balancer; it may have run.
    Cancelled,
    /// Never sent, because the request had ended or had no attempts left; it did not run.
    NotSent,
    /// The server named another one for the key's slot; it did not run.
    Redirected {
        /// The server named; `None` if the list has none at that address.
        to: Option<ServerId>,
        /// Whether the redirection holds for this attempt alone, which must announce itself with `ASKING`:
        /// the slot is being migrated.
        ask: bool,
    },
}

impl Status {
    /// Whether this status proves that the attempt did not run.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            Status::Miss
                | Status::Rejected
                | Status::ConnectFailed
                | Status::NotSent
                | Status::Redirected { .. }
        )
    }
}

/// What a server's answer says about the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CacheLookup {
    /// Nothing.
    #[default]
    None,
    /// The value was cached.
    Hit,
    /// The value was not cached.
    Miss,
    /// The value was not cached, and another request is fetching it.
    MissFetchPending,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Its request.
    pub request: RequestId,
    /// Index of the attempt within its request, from 0, in the order of sending.
    pub attempt: u16,
    /// The server it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub status: Status,
    /// Whether the request has its final answer, by this outcome or an earlier one.
    pub request_finished: bool,
    /// What the server's answer says about the key.
    pub lookup: CacheLookup,
    /// Time from sending until this outcome.
    pub elapsed: Micros,
    /// The server's load report, if the answer carried one.
    pub load: Load,
}

/// An event at this balancer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The server list, or a change of it.
    ServerList {
        /// How it relates to the current list.
        kind: ListKind,
        /// Its entries.
        servers: Vec<ServerEntry>,
    },
    /// Share of the balancer that this process has from now on: during a hand-over, two processes serve.
    ProcessShare(f64),
    /// The process ends: every final answer is due by this time.
    AnswerDeadline(Micros),
    /// Which servers hold which slots, if the cache servers form a cluster.
    SlotMap {
        /// Whether the map is complete, so that slots it does not name have no holder; otherwise they are
        /// unchanged.
        complete: bool,
        /// Ranges in ascending order, without overlap.
        ranges: Vec<SlotRange>,
    },
    /// A client's request arrived; it is due one final answer.
    Request(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// A streamed answer started; the node finishes it.
    AnswerStarted {
        /// Its request.
        request: RequestId,
        /// The attempt that is being answered.
        attempt: u16,
    },
    /// The client left, or the request ended otherwise; no final answer is due any more.
    ClientGone(RequestId),
    /// A timer set by [`Action::Timer`] fired.
    Timer(u32),
    /// A probe ended.
    ProbeFinished {
        /// The server probed.
        server: ServerId,
        /// Whether its answer was good.
        ok: bool,
        /// Time from sending until this outcome.
        elapsed: Micros,
        /// The server's load report, if the answer carried one.
        load: Load,
    },
    /// A message from another balancer.
    PeerMessage {
        /// Index of the sender.
        from: u32,
        /// Its bytes.
        bytes: Vec<u8>,
    },
}

/// An action for the node to perform, in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a server.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Time after which to give up the attempt; 0 for the client's own limit.
        timeout: Micros,
        /// Announce the attempt as part of a slot migration (`ASKING`), in the same write.
        asking: bool,
    },
    /// Final answer: refused; a retry is safe.
    Refuse {
        /// The request.
        request: RequestId,
        /// Time for which the client should wait before a retry; 0 for no hint.
        retry_after: Micros,
    },
    /// Final answer: failed; whether the request ran is unknown.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Deliver [`Event::Timer`] after a delay.
    Timer {
        /// The delay from now.
        after: Micros,
        /// Returned with the event.
        token: u32,
    },
    /// Subscribe to changes of the server list, or cancel the subscription.
    Subscribe(bool),
    /// Request the complete server list once.
    FetchList,
    /// Probe a server.
    Probe(ServerId),
    /// Close the idle connections to a server.
    CloseIdle(ServerId),
    /// Send at most 256 bytes to one balancer, or to all.
    SendToPeer {
        /// Index of the balancer; `None` for all peers.
        to: Option<u32>,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// A line for the log.
    Log(String),
    /// The module cannot continue.
    Fault(String),
}
