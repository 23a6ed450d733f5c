//! The types through which a node and the decision module speak: settings, events, actions.
//!
//! Times are microseconds of the node's own clock, which may start anywhere and only advances.

/// A point in time or a span, in microseconds.
pub type Micros = u64;
/// Names one client request at this balancer; never used twice.
pub type RequestId = u64;
/// Names a server (or the origin); stays the same over restarts of its process.
pub type ServerId = u32;
/// The subject of a request; 0 means that it names none.
pub type Key = u64;

/// What a node is told once, at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How many balancers share the fleet.
    pub balancers: u32,
    /// The number of this balancer among them, from 0.
    pub own_index: u32,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; empty where a deployment has none.
    pub tenants: Vec<Tenant>,
    /// Whether the server list must be asked for (subscription or whole list) or comes by itself.
    pub pull_discovery: bool,
    /// Without a subscription, the balancer counts as told of changes this long after they happened.
    pub change_notice_limit: Micros,
    /// Machine kind of the origin in the server list; `None` where servers fetch for themselves.
    pub origin_kind: Option<u16>,
    /// Whether weights in the list tell the size of a server.
    pub weights_are_sizes: bool,
    /// The figures that load reports carry, in their order.
    pub load_fields: Vec<LoadField>,
    /// Attempts that one request may make.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be out at once.
    pub may_duplicate: bool,
    /// Whether an attempt may be cancelled.
    pub may_cancel: bool,
    /// Whether balancers may send each other messages.
    pub may_message_peers: bool,
    /// A connection that is not made within this time fails.
    pub connect_timeout: Micros,
    /// Shortest time between two calls of the module.
    pub tick: Micros,
    /// A server starts with at least this part of its capacity.
    pub cold_share: f64,
    /// A started server is warm after this time at the latest.
    pub warm_up: Micros,
    /// A cold server falls over when sent more than this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall_after: Micros,
    /// Idle connections to a draining server must be closed within this time; `None` where no rule says so.
    pub drain_close: Option<Micros>,
    /// What the origin takes from all balancers together, where that is stated; else each has parts of its own.
    pub shares: Option<Shares>,
    /// A cold server gets this multiple of a warm one's attempts, times its present part of capacity.
    pub cold_rate: f64,
    /// What each request adds to the budget of retries; 0 leaves none but of what never ran.
    pub retry_budget: f64,
}

/// What the origin takes from all balancers together. One balancer's part may be less than a call: it is taken in turns,
/// which the balancers' numbers and the clock that all share tell.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shares {
    /// Calls out at once.
    pub origin_out: f64,
    /// Calls a second; infinite where nothing is stated.
    pub origin_per_s: f64,
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
            weights_are_sizes: false,
            load_fields: Vec::new(),
            max_attempts: 3,
            may_duplicate: true,
            may_cancel: false,
            may_message_peers: false,
            connect_timeout: 250_000,
            tick: 1_000,
            cold_share: 0.25,
            warm_up: 10_000_000,
            fall_multiple: 3.0,
            fall_after: 2_000_000,
            drain_close: None,
            shares: None,
            cold_rate: 1.5,
            retry_budget: 0.2,
        }
    }
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub target_latency: Micros,
    /// A client waits this long in all.
    pub deadline: Micros,
    /// Worth of one request.
    pub worth: f64,
    /// Part of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// What a repeat of such a request does.
    pub effect: Effect,
    /// The only zones whose cache servers it may be sent to; `None` for all.
    pub only_zones: Option<Vec<u8>>,
    /// The only machine kinds that it may be sent to, besides the origin; `None` for all.
    pub only_kinds: Option<Vec<u16>>,
    /// The only servers that it may be sent to, besides the origin; `None` for all.
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

/// What a repeat of a request does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// Nothing: it may be sent as often as wanted.
    Safe,
    /// Servers of one group drop a repeat for a while after the first attempt.
    Keyed {
        /// Which servers drop a repeat.
        group: Group,
        /// For how long, from the sending of the earliest attempt that may have run.
        window: Micros,
    },
    /// The effect happens again.
    Unsafe,
}

/// A group of cache servers that knows which keyed requests its members have seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// Every cache server.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A tenant and its share.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, over all balancers together.
    pub quota_per_s: f64,
}

/// A figure of a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadField {
    /// Requests in progress.
    InFlight,
    /// Requests that wait.
    Queued,
    /// Share of CPU in use.
    Busy,
    /// Recent service time, milliseconds.
    ServiceMs,
    /// Requests served a second.
    Rate,
    /// Errors a second.
    ErrorRate,
    /// A figure that this module gives no meaning.
    Other,
}

/// A load report: figures in the order of [`Settings::load_fields`].
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// How many of `values` are there.
    pub count: u8,
    /// The figures.
    pub values: [f32; 4],
}

impl Load {
    /// A figure of the report, where the site's reports carry it and this one does.
    pub fn figure(&self, fields: &[LoadField], wanted: LoadField) -> Option<f64> {
        let at = fields.iter().position(|f| *f == wanted).filter(|at| *at < usize::from(self.count))?;
        self.values.get(at).map(|v| f64::from(*v)).filter(|v| v.is_finite())
    }
}

/// One line of the server list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: u8,
    /// Its cell, a small group that shares which keyed requests it has seen.
    pub cell: u16,
    /// Its machine kind.
    pub kind: u16,
    /// Its weight.
    pub weight: f32,
    /// When its process last started; 0 for long ago.
    pub started: Micros,
    /// Whether it runs, drains or is gone.
    pub condition: Condition,
}

impl Default for ServerEntry {
    fn default() -> Self {
        ServerEntry { id: 0, zone: 0, cell: 0, kind: 0, weight: 1.0, started: 0, condition: Condition::Ready }
    }
}

/// What the list says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// It runs.
    Ready,
    /// It ends what it has; nothing new may be sent to it.
    Draining,
    /// It is gone.
    Gone,
}

/// Slots next to each other that the same servers of a cluster hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRange {
    /// The first slot.
    pub first: u16,
    /// The last slot, below 16,384.
    pub last: u16,
    /// Its owner, then those that hold copies and may be read.
    pub servers: Vec<ServerId>,
}

/// How a server list relates to the one held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// The whole list; a server not in it is gone.
    Full,
    /// The list last held before a restart, whole but perhaps old.
    Cached,
    /// Only lines that changed.
    Delta,
    /// A call to discovery failed or the subscription broke; the list held stays in force.
    Failed,
}

/// A client's request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Position of its class in [`Settings::classes`].
    pub class: usize,
    /// Position of its tenant in [`Settings::tenants`]; 0 where there are none.
    pub tenant: usize,
    /// Its key, 0 for none.
    pub key: Key,
    /// Whether it writes (and so goes to the origin).
    pub write: bool,
    /// Whether the client said that it repeats an earlier try.
    pub repeat: bool,
    /// Time until the client gives this try up.
    pub time_left: Micros,
    /// Expected work, where told.
    pub cost: Option<Micros>,
    /// Size of the value in bytes, 0 where not told.
    pub size: f32,
    /// The slot of its key, where the cache servers form a cluster.
    pub slot: Option<u16>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Served,
    /// The server holds nothing for this key; it did not run.
    Miss,
    /// The server reported an error; it may have run.
    Error,
    /// Turned away unseen; it did not run.
    Full,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection came about; it did not run.
    ConnectFailed,
    /// The connection was lost; it may have run.
    Reset,
    /// Cancelled by this balancer; it may have run.
    Cancelled,
    /// Never sent: the request had ended or had no attempts left; it did not run.
    NotSent,
    /// The server names another for the key's slot; it did not run.
    Redirected {
        /// The server named; `None` where the list has none at that address.
        to: Option<ServerId>,
        /// Only this one time, and only when it is asked in the name of the move: the slot is on its way.
        ask: bool,
    },
}

impl Status {
    /// Whether this outcome proves that the attempt never ran.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            Status::Miss | Status::Full | Status::ConnectFailed | Status::NotSent | Status::Redirected { .. }
        )
    }
}

/// What a server said of the key in its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CacheLookup {
    /// Nothing.
    #[default]
    None,
    /// The value was held.
    Hit,
    /// It was not.
    Miss,
    /// It was not, and another request has been told to fetch it.
    MissFetchPending,
}

/// The end of one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Its request.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0, in the order of sending.
    pub attempt: u16,
    /// Where it had been sent.
    pub server: ServerId,
    /// How it ended.
    pub status: Status,
    /// Whether the request has its final answer (by this outcome or before).
    pub request_finished: bool,
    /// What the server said of the key.
    pub lookup: CacheLookup,
    /// Time from sending to this end.
    pub elapsed: Micros,
    /// Load report of the server, if one came along.
    pub load: Load,
}

/// Something that happened at this balancer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The server list, or a change of it.
    ServerList {
        /// How it relates to the list held.
        kind: ListKind,
        /// Its lines.
        servers: Vec<ServerEntry>,
    },
    /// This process is such a part of the balancer from now on: while another one takes its place, both serve.
    ProcessShare(f64),
    /// The process ends: every final answer is due by then.
    AnswerDeadline(Micros),
    /// Which servers hold which slots, where the cache servers form a cluster.
    SlotMap {
        /// Whether slots that it does not name are nobody's; they stay as they were otherwise.
        whole: bool,
        /// Ranges in order, none over another.
        ranges: Vec<SlotRange>,
    },
    /// A client's request arrived; one final answer is owed from now on.
    Request(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// A streamed answer began; the attempt belongs to the client now.
    AnswerStarted {
        /// Its request.
        request: RequestId,
        /// The attempt that began to answer.
        attempt: u16,
    },
    /// The client left, or the request ended otherwise; nothing is owed any more.
    ClientGone(RequestId),
    /// A timer set by [`Action::Timer`] is due.
    Timer(u32),
    /// The end of a probe.
    ProbeFinished {
        /// The server probed.
        server: ServerId,
        /// Whether it answered well.
        ok: bool,
        /// Time from sending to this end.
        took: Micros,
        /// Load report of the server, if one came along.
        load: Load,
    },
    /// A message of another balancer.
    PeerMessage {
        /// Number of the sender.
        from: u32,
        /// Its bytes.
        bytes: Vec<u8>,
    },
}

/// Something that the node is to do, in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a server.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Give the attempt up after this time; 0 for the client's own limit.
        timeout: Micros,
        /// Say in the same breath that it is asked in the name of a slot's move.
        asking: bool,
    },
    /// Final answer: turned away, a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Ask the client to stay away for this long; 0 for no hint.
        retry_after: Micros,
    },
    /// Final answer: failed, with no promise.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Call back with [`Event::Timer`] after a time.
    Timer {
        /// The time from now.
        after: Micros,
        /// Given back with the event.
        token: u32,
    },
    /// Subscribe to (or leave) the changes of the server list.
    Subscribe(bool),
    /// Ask for the whole server list once.
    FetchList,
    /// Probe a server.
    Probe(ServerId),
    /// Close idle connections to a server.
    CloseIdle(ServerId),
    /// Send at most 256 bytes to one balancer, or to all.
    SendToPeer {
        /// Number of the balancer; `None` for every peer.
        to: Option<u32>,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// A line for the log.
    Log(String),
    /// The module cannot go on.
    Fault(String),
}
