//! A node in miniature: drives a policy event by event and keeps what it answered.
#![allow(dead_code, missing_docs)]

use brassrouter::*;

pub const ORIGIN_KIND: u16 = 1;
pub const ORIGIN: ServerId = 1000;
pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub struct Node {
    pub policy: Policy,
    pub now: Micros,
    pub actions: Vec<Action>,
    timers: Vec<Micros>,
}

pub fn settings() -> Settings {
    let read = Class { target_latency: 750 * MS, deadline: 1500 * MS, ..Class::default() };
    let keyed = Effect::Keyed { scope: DedupScope::All, window: 200 * MS };
    let write = Class { target_latency: 150 * MS, deadline: 300 * MS, effect: keyed, ..Class::default() };
    let once = Class {
        target_latency: 300 * MS,
        deadline: SECOND,
        effect: Effect::Unsafe,
        worth: 8.0,
        ..Class::default()
    };
    Settings {
        classes: vec![read, write, once],
        origin_kind: Some(ORIGIN_KIND),
        max_attempts: 4,
        ..Settings::default()
    }
}

pub fn server(id: ServerId) -> ServerEntry {
    ServerEntry { id, ..ServerEntry::default() }
}

pub fn origin() -> ServerEntry {
    ServerEntry { id: ORIGIN, kind: ORIGIN_KIND, ..ServerEntry::default() }
}

pub fn read(id: RequestId, key: Key) -> Request {
    Request { id, key, time_left: 1500 * MS, ..Request::default() }
}

pub fn write(id: RequestId, class: usize) -> Request {
    Request { id, key: 5, class, write: true, time_left: 300 * MS, ..Request::default() }
}

impl Node {
    /// A node that has run for some time without strain.
    pub fn new(settings: Settings, servers: u32) -> Self {
        let mut node = Node::just_started(settings, servers);
        node.pass(10 * SECOND);
        node
    }

    /// A node with cache servers 1 to `servers` and an origin, a minute after their start.
    pub fn just_started(settings: Settings, servers: u32) -> Self {
        let seed = 7 + u64::from(settings.own_index);
        let policy = Policy::new(settings, seed);
        let mut node = Node { policy, now: 60 * SECOND, actions: Vec::new(), timers: Vec::new() };
        let mut lines: Vec<_> = (1..=servers).map(server).collect();
        lines.push(origin());
        node.list(ListKind::Cached, lines);
        node
    }

    /// Passes an event on and returns what the policy answered to it.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
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

    pub fn list(&mut self, kind: ListKind, servers: Vec<ServerEntry>) -> Vec<Action> {
        self.event(Event::ServerList { kind, servers })
    }

    pub fn request(&mut self, request: Request) -> Vec<Action> {
        self.event(Event::Request(request))
    }

    pub fn outcome(
        &mut self,
        request: RequestId,
        attempt: u16,
        server: ServerId,
        status: Status,
    ) -> Vec<Action> {
        let over = status == Status::Served;
        let (note, load) = (CacheLookup::None, Load::default());
        let outcome = Outcome {
            request,
            attempt,
            server,
            status,
            request_finished: over,
            lookup: note,
            elapsed: MS,
            load,
        };
        self.event(Event::Outcome(outcome))
    }

    /// Lets time pass, with the timers that come due, and returns what the policy answered meanwhile.
    pub fn pass(&mut self, time: Micros) -> Vec<Action> {
        let end = self.now + time;
        let from = self.actions.len();
        while let Some(due) = take_due(&mut self.timers, end) {
            self.now = due;
            self.event(Event::Timer(0));
        }
        self.now = end;
        self.actions[from..].to_vec()
    }
}

/// Where the first attempt among these actions goes.
pub fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

pub fn sends(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Send { .. })).count()
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { request, .. } if *request == id))
}

/// How many of these actions refuse a request.
pub fn refusals(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count()
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail(id))
}

/// Takes out the first of the timers that is due by a time.
pub fn take_due(timers: &mut Vec<Micros>, end: Micros) -> Option<Micros> {
    let (at, due) = timers.iter().copied().enumerate().min_by_key(|(_, due)| *due)?;
    (due <= end).then(|| timers.swap_remove(at))
}
