//! The event loop: many decision modules on one clock, cache servers with queues, an origin, clients that retry, and
//! lossy messages between nodes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use brassrouter::{
    Action, CacheLookup, Condition, Event, Key, ListKind, Load, Micros, Outcome, Policy, Request, RequestId,
    ServerEntry, ServerId, Settings, Status,
};
use mothpier_world::Dice;

use super::Twin;
use super::beliefs::{Belief, Hearing};
use super::judge::Attempt;
use super::scenario::{EPOCH, MS, Machine, ORIGIN, ORIGIN_KIND, SECOND, Scenario, WRITES};

/// Cores of a cache server.
const CORES: usize = 3;
/// Requests that wait at a cache server for each core; beyond that it turns them away.
const QUEUE: usize = 20;
/// Part of the reads that a warm cache server holds.
const HELD: f64 = 0.92;
/// Tries of a client after its first.
const RETRIES: u8 = 2;
/// Looks at what the nodes believe, one a second from the start of the cold server on.
const LOOKS: u64 = 6;
/// A connection to a machine that is gone is given up after this time.
const CONNECT_TIMEOUT: Micros = 120 * MS;

/// What goes through the queue of events.
enum Happening {
    Arrives,
    Asks { key: Key, class: usize, tries: u8 },
    Timer { node: usize, life: u32 },
    Reaches { call: Call },
    Ends { call: Call, status: Status, busy: f32 },
    Message { to: usize, from: usize, bytes: Vec<u8> },
    Told { node: usize },
    Restarts { node: usize },
    Looks,
}

/// An attempt on its way.
#[derive(Clone, Copy)]
struct Call {
    node: usize,
    life: u32,
    request: RequestId,
    attempt: u16,
    server: ServerId,
    /// Which process of the server took it, counted from 0.
    process: u32,
    sent: Micros,
    key: Key,
    write: bool,
}

/// A request that a node holds.
struct Open {
    key: Key,
    class: usize,
    tries: u8,
    sent: u16,
}

struct Node {
    policy: Policy,
    /// How often it has begun anew.
    life: u32,
    open: BTreeMap<RequestId, Open>,
    /// Whether it has been told of the start.
    told: bool,
}

struct Server {
    capacity: f64,
    /// When each core has done what it has.
    cores: [Micros; CORES],
    /// Ends of what it holds.
    holds: Vec<Micros>,
}

/// The world of one run.
struct Fleet<'a> {
    scenario: &'a Scenario,
    twin: Option<Twin>,
    dice: Dice,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    next: u64,
    next_request: RequestId,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    /// Keys that the cold server has been given since its start.
    stored: BTreeSet<Key>,
    /// Cumulative popularity of the keys.
    popular: Vec<f64>,
    /// Cumulative parts of the traffic.
    parts: Vec<f64>,
    attempts: Vec<Attempt>,
    asked: u64,
    served: u64,
    hearing: Vec<Hearing>,
    beliefs: Vec<Belief>,
}

/// What a run showed.
pub struct Seen {
    /// Attempts that reached the cold server after its start.
    pub attempts: Vec<Attempt>,
    /// Requests, with retries of clients, and how many were served.
    pub asked: u64,
    /// See above.
    pub served: u64,
    /// What each node believed of the others, from time to time.
    pub beliefs: Vec<Belief>,
}

/// Plays a scenario.
pub fn play(scenario: &Scenario, twin: Option<Twin>) -> Seen {
    let mut fleet = Fleet::new(scenario, twin);
    while let Some(Reverse((at, number))) = fleet.queue.pop() {
        if at > scenario.ends_at {
            break;
        }
        fleet.now = at;
        if let Some(happening) = fleet.happenings.remove(&number) {
            fleet.happens(happening);
        }
    }
    Seen { attempts: fleet.attempts, asked: fleet.asked, served: fleet.served, beliefs: fleet.beliefs }
}

fn cumulative(parts: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    parts
        .map(|p| {
            sum += p;
            sum
        })
        .collect()
}

fn drawn(cumulative: &[f64], unit: f64) -> usize {
    let all = cumulative.last().copied().unwrap_or(0.0);
    cumulative.partition_point(|c| *c <= unit * all).min(cumulative.len().saturating_sub(1))
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario, twin: Option<Twin>) -> Self {
        let mut fleet = Fleet {
            scenario,
            twin,
            dice: Dice::part(scenario.seed, 82),
            now: EPOCH,
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            next: 0,
            next_request: 1,
            nodes: Vec::new(),
            servers: Vec::new(),
            stored: BTreeSet::new(),
            popular: cumulative((1..=scenario.keys).map(|rank| (rank as f64 + 5.0).powf(-scenario.skew))),
            parts: cumulative(scenario.shares.iter().copied()),
            attempts: Vec::new(),
            asked: 0,
            served: 0,
            hearing: vec![Hearing::default(); scenario.shares.len()],
            beliefs: Vec::new(),
        };
        let idle = |m: &Machine| Server { capacity: m.capacity, cores: [EPOCH; CORES], holds: Vec::new() };
        fleet.servers = scenario.machines.iter().map(idle).collect();
        for node in 0..scenario.shares.len() {
            let policy = fleet.policy(node, 0);
            fleet.nodes.push(Node { policy, life: 0, open: BTreeMap::new(), told: false });
            let list = fleet.whole_list();
            fleet.gives(node, list);
        }
        fleet.plans();
        fleet
    }

    /// Puts what the scenario has fixed into the queue.
    fn plans(&mut self) {
        let s = self.scenario;
        self.at(EPOCH, Happening::Arrives);
        for second in 1..=LOOKS {
            self.at(s.starts_at + second * SECOND, Happening::Looks);
        }
        for node in 0..s.shares.len() {
            if let Some(fell_at) = s.fell_at {
                self.at(fell_at + s.told_after[node], Happening::Told { node });
            }
            self.at(s.starts_at + s.told_after[node], Happening::Told { node });
            if let Some(restarts_at) = s.restarts[node] {
                self.at(restarts_at, Happening::Restarts { node });
            }
        }
    }

    fn policy(&self, node: usize, life: u32) -> Policy {
        let mut settings = Settings { own_index: node as u32, ..self.scenario.settings.clone() };
        match self.twin {
            Some(Twin::IgnoresRamp) => settings.cold_share = 1.0,
            Some(Twin::HalfIgnoreRamp) if node.is_multiple_of(2) => settings.cold_share = 1.0,
            _ => {}
        }
        Policy::new(settings, self.scenario.seed ^ (node as u64) << 20 ^ u64::from(life) << 40)
    }

    fn at(&mut self, at: Micros, happening: Happening) {
        self.queue.push(Reverse((at, self.next)));
        self.happenings.insert(self.next, happening);
        self.next += 1;
    }

    fn after(&mut self, span: Micros, happening: Happening) {
        self.at(self.now + span, happening);
    }

    fn happens(&mut self, happening: Happening) {
        match happening {
            Happening::Arrives => self.arrives(),
            Happening::Asks { key, class, tries } => self.asks(key, class, tries),
            Happening::Timer { node, life } if self.nodes[node].life == life => {
                self.gives(node, Event::Timer(0));
            }
            Happening::Timer { .. } => {}
            Happening::Reaches { call } => self.reaches(call),
            Happening::Ends { call, status, busy } => self.ends(call, status, busy),
            Happening::Message { to, from, bytes } => {
                self.hearing[to].heard(self.now, from, &bytes);
                self.gives(to, Event::PeerMessage { from: from as u32, bytes });
            }
            Happening::Told { node } => self.told(node),
            Happening::Restarts { node } => self.restarts(node),
            Happening::Looks => self.looks(),
        }
    }

    // The list.

    /// The cold server's process: 0 before its start, 1 after it; `None` while there is none.
    fn process(&self) -> Option<u32> {
        let s = self.scenario;
        match self.now {
            now if now >= s.starts_at => Some(1),
            now => s.fell_at.filter(|fell_at| now < *fell_at).map(|_| 0),
        }
    }

    fn line(&self, id: ServerId) -> Option<ServerEntry> {
        let kind = self.scenario.machines[id as usize].kind;
        let long_ago = ServerEntry { id, kind, ..ServerEntry::default() };
        if id != self.scenario.cold {
            return Some(long_ago);
        }
        let started = [0, self.scenario.starts_at];
        self.process().map(|p| ServerEntry { started: started[p as usize], ..long_ago })
    }

    fn whole_list(&self) -> Event {
        let origin = ServerEntry { id: ORIGIN, kind: ORIGIN_KIND, ..ServerEntry::default() };
        let all = 0..self.scenario.machines.len() as ServerId;
        let servers = all.filter_map(|id| self.line(id)).chain([origin]).collect();
        Event::ServerList { kind: ListKind::Full, servers }
    }

    fn told(&mut self, node: usize) {
        let cold = self.scenario.cold;
        let gone = || ServerEntry { id: cold, condition: Condition::Gone, ..ServerEntry::default() };
        let line = self.line(cold).unwrap_or_else(gone);
        self.nodes[node].told = line.started > 0;
        self.gives(node, Event::ServerList { kind: ListKind::Delta, servers: vec![line] });
    }

    /// A process takes another one's place; it knows the list of its agent and nothing else.
    fn restarts(&mut self, node: usize) {
        let life = self.nodes[node].life + 1;
        let policy = self.policy(node, life);
        let told = self.process() == Some(1);
        self.nodes[node] = Node { policy, life, open: BTreeMap::new(), told };
        self.hearing[node].forgets();
        let list = self.whole_list();
        self.gives(node, list);
    }

    fn looks(&mut self) {
        let own: Vec<f64> = self.hearing.iter().map(|h| h.own_rate(self.now)).collect();
        let all: f64 = own.iter().sum();
        for (node, own) in own.into_iter().enumerate() {
            let (told, heard) = self.hearing[node].others_rate(self.now);
            let young =
                self.scenario.restarts[node].is_some_and(|at| at <= self.now && at + 3 * SECOND > self.now);
            self.beliefs.push(Belief {
                nodes: self.nodes.len(),
                own,
                others: all - own,
                told,
                heard,
                young,
                deaf: self.scenario.deaf[node],
                loss: self.scenario.loss,
                may_tell: self.scenario.settings.may_message_peers,
            });
        }
    }

    // Clients.

    fn arrives(&mut self) {
        let rate = self.scenario.rate_at(self.now);
        let gap = -(1.0 - self.dice.unit()).ln() / rate * 1e6;
        let burst = &self.scenario.burst;
        let extra = burst.during.contains(&self.now) && self.dice.unit() >= 1.0 / self.scenario.burst.factor;
        let hot = burst.hot.as_ref().filter(|hot| extra && self.dice.chance(hot.part));
        let key = hot
            .map_or_else(|| self.key(), |hot| hot.keys[self.dice.within(0, hot.keys.len() as u64) as usize]);
        let class = if self.dice.chance(self.scenario.writes) { WRITES } else { 0 };
        let at = if extra && !burst.at.is_empty() {
            burst.at[self.dice.within(0, burst.at.len() as u64) as usize]
        } else {
            drawn(&self.parts, self.dice.unit())
        };
        self.request(at, key, class, RETRIES);
        self.after(gap as Micros + 1, Happening::Arrives);
    }

    fn key(&self) -> Key {
        let rank = drawn(&self.popular, self.dice.unit()) as u64 + 1;
        (rank ^ self.scenario.seed << 20).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1
    }

    fn asks(&mut self, key: Key, class: usize, tries: u8) {
        let node = drawn(&self.parts, self.dice.unit());
        self.request(node, key, class, tries);
    }

    fn request(&mut self, node: usize, key: Key, class: usize, tries: u8) {
        let id = self.next_request;
        self.next_request += 1;
        self.asked += 1;
        self.hearing[node].asked(self.now);
        self.nodes[node].open.insert(id, Open { key, class, tries, sent: 0 });
        let time_left = self.scenario.settings.classes[class].deadline * 7 / 10;
        let tenant = self.dice.within(0, 3) as usize;
        let write = class == WRITES;
        let request = Request { id, class, tenant, key, write, time_left, ..Request::default() };
        self.gives(node, Event::Request(request));
    }

    // Nodes.

    fn gives(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].policy.handle(self.now, event, &mut actions);
        for action in actions {
            self.does(node, action);
        }
    }

    fn does(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { request, server, .. } => self.sends(node, request, server),
            Action::Refuse { request, retry_after } => self.refuses(node, request, retry_after),
            Action::Fail(request) => {
                self.nodes[node].open.remove(&request);
            }
            Action::Cancel { request, attempt } => self.cancels(node, request, attempt),
            Action::Timer { after, .. } => {
                let life = self.nodes[node].life;
                self.after(after.max(1), Happening::Timer { node, life });
            }
            Action::SendToPeer { to, bytes } => self.tells(node, to, &bytes),
            _ => {}
        }
    }

    fn sends(&mut self, node: usize, request: RequestId, server: ServerId) {
        let n = &mut self.nodes[node];
        let Some(open) = n.open.get_mut(&request) else { return };
        let (attempt, key, write) = (open.sent, open.key, open.class == WRITES);
        open.sent += 1;
        let (life, sent) = (n.life, self.now);
        let call = Call { node, life, request, attempt, server, process: 0, sent, key, write };
        let way = self.way();
        self.after(way, Happening::Reaches { call });
    }

    /// The node stops waiting; the work goes on.
    fn cancels(&mut self, node: usize, request: RequestId, attempt: u16) {
        let life = self.nodes[node].life;
        let server = ORIGIN;
        let sent = self.now;
        let call = Call { node, life, request, attempt, server, process: 0, sent, key: 0, write: false };
        self.after(1, Happening::Ends { call, status: Status::Cancelled, busy: 0.0 });
    }

    fn refuses(&mut self, node: usize, request: RequestId, retry_after: Micros) {
        let Some(open) = self.nodes[node].open.remove(&request) else { return };
        if open.tries > 0 {
            let wait = retry_after.max(self.dice.within(12 * MS, 100 * MS));
            let again = Happening::Asks { key: open.key, class: open.class, tries: open.tries - 1 };
            self.after(wait, again);
        }
    }

    fn tells(&mut self, node: usize, to: Option<u32>, bytes: &[u8]) {
        let others = (0..self.nodes.len()).filter(|other| *other != node);
        let to: Vec<_> = others.filter(|other| to.is_none_or(|to| to as usize == *other)).collect();
        for to in to {
            if self.scenario.deaf[to] || self.dice.chance(self.scenario.loss) {
                continue;
            }
            let late = self.dice.within(1_600, 20 * MS);
            self.after(late, Happening::Message { to, from: node, bytes: bytes.to_vec() });
        }
    }

    // Servers.

    /// A one-way trip between a node and a server.
    fn way(&self) -> Micros {
        self.dice.within(85, 350)
    }

    fn ends_after(&mut self, span: Micros, call: Call, status: Status, busy: f32) {
        let back = self.way();
        self.after(span + back, Happening::Ends { call, status, busy });
    }

    fn reaches(&mut self, mut call: Call) {
        if call.server == ORIGIN {
            let takes = self.dice.within(60 * MS, 150 * MS);
            return self.ends_after(takes, call, Status::Served, 0.0);
        }
        if call.server != self.scenario.cold {
            return self.works(call, 1.0);
        }
        let Some(process) = self.process() else {
            return self.ends_after(CONNECT_TIMEOUT, call, Status::ConnectFailed, 0.0);
        };
        call.process = process;
        if process == 0 {
            return self.works(call, 1.0);
        }
        let told = self.nodes[call.node].told;
        self.attempts.push(Attempt { at: self.now, told });
        let warmth = self.scenario.warmth(self.now - self.scenario.starts_at);
        self.works(call, warmth);
    }

    fn works(&mut self, call: Call, warmth: f64) {
        let now = self.now;
        let server = &mut self.servers[call.server as usize];
        server.holds.retain(|ends| *ends > now);
        let busy = (server.holds.len() as f32 / CORES as f32).min(1.0);
        if server.holds.len() >= CORES * (1 + QUEUE) {
            return self.ends_after(0, call, Status::Rejected, busy);
        }
        let mean = CORES as f64 / (server.capacity * warmth) * 1e6;
        let work = -(1.0 - self.dice.unit()).ln() * mean;
        let Some(core) = server.cores.iter_mut().min() else { return };
        *core = (*core).max(now) + work as Micros + 1;
        let ends = *core;
        server.holds.push(ends);
        let holds = if call.process == 1 { self.stored.contains(&call.key) } else { self.dice.chance(HELD) };
        let status = if holds { Status::Served } else { Status::Miss };
        self.ends_after(ends - now, call, status, busy);
    }

    fn ends(&mut self, call: Call, mut status: Status, busy: f32) {
        let fell = call.server == self.scenario.cold && self.process() != Some(call.process);
        if fell && status != Status::ConnectFailed {
            status = Status::Reset;
        }
        if call.server == ORIGIN && !call.write && status == Status::Served && self.process() == Some(1) {
            self.stored.insert(call.key);
        }
        let node = &mut self.nodes[call.node];
        if node.life != call.life {
            return;
        }
        let served = status == Status::Served;
        let open = node.open.contains_key(&call.request);
        if served && open {
            node.open.remove(&call.request);
            self.served += 1;
        }
        let outcome = Outcome {
            request: call.request,
            attempt: call.attempt,
            server: call.server,
            status,
            request_finished: !open || served,
            lookup: CacheLookup::None,
            elapsed: self.now - call.sent,
            load: Load { count: u8::from(call.server != ORIGIN), values: [busy, 0.0, 0.0, 0.0] },
        };
        self.gives(call.node, Event::Outcome(outcome));
    }
}
