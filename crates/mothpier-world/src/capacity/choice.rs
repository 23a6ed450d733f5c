//! What the decision module costs: a request, a change of the list, a review, memory, and what it tells its peers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use brassrouter::settings::{self, Site};
use brassrouter::{
    Action, CacheLookup, Condition, Event, ListKind, Load, Micros, Outcome, Policy, Request, ServerEntry,
    ServerId, Status,
};

use super::{Measured, members, process};
use crate::Dice;
use crate::agent::Member;

/// Tenants, each with a quota: their rates are told to peers.
const TENANTS: usize = 20;
/// Keys that are asked for.
const KEYS: u64 = 100_000;
/// Requests before anything is measured, so that what is kept of them is there.
const WARM: usize = 2_000;
/// States whose memory is measured together.
const STATES: usize = 64;
/// Simulated time over which messages to peers are counted, in seconds.
const TOLD_OVER_S: u64 = 30;
/// An attempt's answer comes after this time.
const ANSWERED_AFTER: Micros = 300;
/// One of so many attempts at a cache server misses.
const MISSES: u64 = 20;

/// How it is asked.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// Cache servers.
    pub servers: usize,
    /// Nodes that share them.
    pub nodes: u32,
    /// Requests a second at this node.
    pub per_s: f64,
}

impl Asked {
    fn sizes(&self) -> [(&'static str, f64); 3] {
        [("servers", self.servers as f64), ("nodes", f64::from(self.nodes)), ("per_s", self.per_s)]
    }
}

/// States whose memory was measured: where they were freed, the next ones would take their place and seem to cost nothing.
pub struct Kept(#[allow(dead_code, reason = "held for their memory")] Vec<Balancer>);

/// Measures the memory of a state with its list alone and after some requests. Comes before all other measurements of the
/// process, whose freed memory would be taken up by it.
///
/// # Errors
///
/// A system that does not tell of memory.
pub fn measure_memory(asked: Asked) -> Result<(Measured, Kept), String> {
    let mut measured = Measured::new(asked.sizes());
    let site = settings::read(super::settings(asked.nodes, TENANTS, true, false).as_bytes())?;
    let lines: Vec<ServerEntry> = members(asked.servers).iter().map(line).collect();
    let before = process::used("self")?.memory_kb;
    let mut states: Vec<Balancer> = (0..STATES).map(|_| Balancer::new(&site, &lines, asked.per_s)).collect();
    let listed = process::used("self")?.memory_kb;
    states.iter_mut().for_each(|state| (0..WARM).for_each(|_| state.serve()));
    let served = process::used("self")?.memory_kb;
    measured.set("state_with_list_kb", (listed - before) / STATES as f64);
    measured.set("state_after_2000_requests_kb", (served - before) / STATES as f64);
    Ok((measured, Kept(states)))
}

/// Measures what the module takes of the processor at one size, and what it tells its peers.
///
/// # Errors
///
/// A system that does not count processor time.
pub fn measure(asked: Asked) -> Result<Measured, String> {
    let mut measured = Measured::new(asked.sizes());
    let site = settings::read(super::settings(asked.nodes, TENANTS, true, false).as_bytes())?;
    let lines: Vec<ServerEntry> = members(asked.servers).iter().map(line).collect();

    let mut balancer = Balancer::new(&site, &lines, asked.per_s);
    (0..WARM).for_each(|_| balancer.serve());
    measured.set("request_us", process::each_us(|_| balancer.serve())?);

    let mut resting = Balancer::new(&site, &lines, asked.per_s);
    let review = process::each_us(|_| resting.pass(resting_span(&site)))?;
    measured.set("review_at_rest_us", review);
    measured.set("reviews_a_second", 1e6 / resting_span(&site) as f64);
    let change = process::each_us(|i| {
        let condition = if i.is_multiple_of(2) { Condition::Draining } else { Condition::Ready };
        let changed = ServerEntry { condition, ..lines[i / 2 % asked.servers].clone() };
        balancer.take(Event::ServerList { kind: ListKind::Delta, servers: vec![changed] });
    })?;
    measured.set("list_of_one_change_us", change);
    let whole = process::each_us(|_| {
        balancer.take(Event::ServerList { kind: ListKind::Full, servers: lines.clone() });
    })?;
    measured.set("whole_list_us", whole);
    let message = vec![0x3f; most_bytes()];
    let heard = process::each_us(|i| {
        balancer.now += 1;
        balancer.take(Event::PeerMessage { from: 1 + i as u32 % 32, bytes: message.clone() });
    })?;
    measured.set("peer_message_us", heard);

    let mut calm = Balancer::new(&site, &lines, asked.per_s);
    calm.tell_for(TOLD_OVER_S);
    measured.set("datagrams_a_second", calm.told.0 as f64 / TOLD_OVER_S as f64);
    measured.set("datagram_bytes", calm.told.1 as f64 / calm.told.0.max(1) as f64);
    measured.set("datagram_bytes_a_second", calm.told.1 as f64 / TOLD_OVER_S as f64);
    let mut troubled = Balancer::new(&site, &lines, asked.per_s);
    troubled.errors = true;
    troubled.tell_for(TOLD_OVER_S);
    measured.set("troubled_datagram_bytes", troubled.told.1 as f64 / troubled.told.0.max(1) as f64);
    measured.set("troubled_datagram_bytes_a_second", troubled.told.1 as f64 / TOLD_OVER_S as f64);
    Ok(measured)
}

/// One review's time, an eighth of the longest aim.
fn resting_span(site: &Site) -> Micros {
    site.policy.classes.iter().map(|class| class.target_latency).max().unwrap_or(1_000_000) / 8
}

/// Bytes of a message of this many tenants that names as many troubled servers as one may.
fn most_bytes() -> usize {
    2 * (2 + TENANTS) + 16 * 6
}

fn line(member: &Member) -> ServerEntry {
    let kind = u16::from(member.kind == "origin");
    ServerEntry { id: settings::server_number(&member.id, 0), kind, ..ServerEntry::default() }
}

/// A decision module with the time and the answers that a node would bring.
struct Balancer {
    policy: Policy,
    now: Micros,
    gap: Micros,
    timers: BinaryHeap<Reverse<Micros>>,
    actions: Vec<Action>,
    sent: Vec<(u64, ServerId)>,
    origin: ServerId,
    requests: u64,
    dice: Dice,
    /// Messages to peers, and their bytes.
    told: (u64, u64),
    /// One in three attempts fails.
    errors: bool,
}

impl Balancer {
    fn new(site: &Site, lines: &[ServerEntry], per_s: f64) -> Self {
        let mut balancer = Balancer {
            policy: Policy::new(site.policy.clone(), 7),
            now: 1_000_000,
            gap: (1e6 / per_s) as Micros,
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            sent: Vec::new(),
            origin: lines.last().map(|line| line.id).unwrap_or_default(),
            requests: 0,
            dice: Dice::new(11),
            told: (0, 0),
            errors: false,
        };
        balancer.take(Event::ServerList { kind: ListKind::Full, servers: lines.to_vec() });
        balancer
    }

    fn take(&mut self, event: Event) {
        self.policy.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            match action {
                Action::Timer { after, .. } => self.timers.push(Reverse(self.now + after)),
                Action::Send { request, server, .. } => self.sent.push((request, server)),
                Action::SendToPeer { bytes, .. } => {
                    self.told = (self.told.0 + 1, self.told.1 + bytes.len() as u64);
                }
                _ => {}
            }
        }
    }

    /// Lets time pass, with the timers that come due.
    fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(Reverse(at)) = self.timers.peek().copied().filter(|Reverse(at)| *at <= until) {
            self.timers.pop();
            self.now = self.now.max(at);
            self.take(Event::Timer(0));
        }
        self.now = until;
    }

    /// One request from its arrival to its end, and the time until the next.
    fn serve(&mut self) {
        self.requests += 1;
        let key = 1 + self.dice.within(0, KEYS);
        let tenant = (self.requests % TENANTS as u64) as usize;
        let request = Request { id: self.requests, key, tenant, time_left: 2_000_000, ..Request::default() };
        self.take(Event::Request(request));
        let mut attempt = 0;
        while let Some((request, server)) = self.sent.pop() {
            self.pass(ANSWERED_AFTER);
            let status = self.status(server);
            let over = status == Status::Served;
            let (took, note, load) =
                (ANSWERED_AFTER, CacheLookup::None, Load { count: 2, values: [5.0, 0.3, 0.0, 0.0] });
            self.take(Event::Outcome(Outcome {
                request,
                attempt,
                server,
                status,
                request_finished: over,
                lookup: note,
                elapsed: took,
                load,
            }));
            attempt += 1;
        }
        self.pass(self.gap.saturating_sub(ANSWERED_AFTER * u64::from(attempt)));
    }

    fn status(&self, server: ServerId) -> Status {
        match server {
            _ if server == self.origin => Status::Served,
            _ if self.errors && self.dice.within(0, 3) == 0 => Status::Error,
            _ if self.dice.within(0, MISSES) == 0 => Status::Miss,
            _ => Status::Served,
        }
    }

    fn tell_for(&mut self, seconds: u64) {
        let until = self.now + seconds * 1_000_000;
        while self.now < until {
            self.serve();
        }
    }
}
