//! A node for tests, which passes events to a policy and records the resulting actions.
#![allow(dead_code, missing_docs)]

use brassrouter::*;

pub const ORIGIN_KIND: u16 = 1;
pub const ORIGIN: ServerId = 1000;
pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// A policy with a clock and timers of its own.
pub struct Node {
    pub policy: Policy,
    pub now: Micros,
    /// All actions so far.
    pub actions: Vec<Action>,
    /// When the pending timers fire.
    timers: Vec<Micros>,
}

/// Returns settings with three classes: 0 for reads, 1 for keyed writes and 2 for unsafe writes.
pub fn settings() -> Settings {
    let read = Class { target_latency: 750 * MS, deadline: 1500 * MS, ..Class::default() };
    let keyed = Effect::Keyed { scope: DedupScope::All, window: 200 * MS };
    let write = Class { target_latency: 150 * MS, deadline: 300 * MS, effect: keyed, ..Class::default() };
    let unsafe_write = Class {
        target_latency: 300 * MS,
        deadline: SECOND,
        effect: Effect::Unsafe,
        worth: 8.0,
        ..Class::default()
    };
    Settings {
        classes: vec![read, write, unsafe_write],
        origin_kind: Some(ORIGIN_KIND),
        max_attempts: 4,
        ..Settings::default()
    }
}

/// Returns the list entry of a ready, warm cache server.
pub fn server(id: ServerId) -> ServerEntry {
    ServerEntry { id, ..ServerEntry::default() }
}

/// Returns the list entry of the origin.
pub fn origin() -> ServerEntry {
    ServerEntry { id: ORIGIN, kind: ORIGIN_KIND, ..ServerEntry::default() }
}

/// Returns a read of class 0.
pub fn read(id: RequestId, key: Key) -> Request {
    Request { id, key, time_left: 1500 * MS, ..Request::default() }
}

/// Returns a write of the given class.
pub fn write(id: RequestId, class: usize) -> Request {
    Request { id, key: 5, class, write: true, time_left: 300 * MS, ..Request::default() }
}

impl Node {
    /// Creates a node that has run for 10 s without load.
    pub fn new(settings: Settings, servers: u32) -> Self {
        let mut node = Node::just_started(settings, servers);
        node.advance(10 * SECOND);
        node
    }

    /// Creates a node with cache servers 1 to `servers` and an origin, all warm.
    pub fn just_started(settings: Settings, servers: u32) -> Self {
        let seed = 7 + u64::from(settings.own_index);
        let policy = Policy::new(settings, seed);
        let mut node = Node { policy, now: 60 * SECOND, actions: Vec::new(), timers: Vec::new() };
        let mut entries: Vec<_> = (1..=servers).map(server).collect();
        entries.push(origin());
        node.update_servers(ListKind::Cached, entries);
        node
    }

    /// Passes an event to the policy and returns the resulting actions.
    pub fn deliver(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.policy.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::Timer { after, .. } = action {
                self.timers.push(self.now + after.max(&1));
            }
        }
        self.actions.extend(out.iter().cloned());
        out
    }

    /// Passes a server list to the policy.
    pub fn update_servers(&mut self, kind: ListKind, servers: Vec<ServerEntry>) -> Vec<Action> {
        self.deliver(Event::ServerList { kind, servers })
    }

    /// Passes a client's request to the policy.
    pub fn request(&mut self, request: Request) -> Vec<Action> {
        self.deliver(Event::Request(request))
    }

    /// Passes the outcome of an attempt to the policy, with an elapsed time of 1 ms.
    pub fn outcome(
        &mut self,
        request: RequestId,
        attempt: u16,
        server: ServerId,
        status: Status,
    ) -> Vec<Action> {
        let finished = status == Status::Served;
        let (cache_lookup, load) = (CacheLookup::None, Load::default());
        let outcome = Outcome {
            request,
            attempt,
            server,
            status,
            request_finished: finished,
            lookup: cache_lookup,
            elapsed: MS,
            load,
        };
        self.deliver(Event::Outcome(outcome))
    }

    /// Advances the clock, fires the timers that come due and returns the resulting actions.
    pub fn advance(&mut self, time: Micros) -> Vec<Action> {
        let end = self.now + time;
        let first_new = self.actions.len();
        while let Some(due) = pop_due_timer(&mut self.timers, end) {
            self.now = due;
            self.deliver(Event::Timer(0));
        }
        self.now = end;
        self.actions[first_new..].to_vec()
    }
}

/// Returns the server of the first attempt that these actions send.
pub fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// Returns the number of attempts that these actions send.
pub fn send_count(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
}

/// Whether these actions refuse the request.
pub fn is_refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { request, .. } if *request == id))
}

/// Returns the number of requests that these actions refuse.
pub fn refusal_count(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count()
}

/// Whether these actions fail the request.
pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail(id))
}

/// Removes and returns the earliest of the timers that are due by `end`.
pub fn pop_due_timer(timers: &mut Vec<Micros>, end: Micros) -> Option<Micros> {
    let (index, due) = timers.iter().copied().enumerate().min_by_key(|(_, due)| *due)?;
    (due <= end).then(|| timers.swap_remove(index))
}
