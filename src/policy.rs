//! Every decision of a balancer. The types it speaks in (settings, events, actions) are in `interface.rs`.
//!
//! Ordinary path: a read goes to the first server in its key's order that is not over the load bound; after a
//! miss the value is fetched from the origin, and a write goes straight there, through a gate of an
//! outstanding cap and a windowed tally; a call that finds the gate shut is postponed by a random delay. All
//! else here is a departure for a failure that the code names.

use std::cell::LazyCell;
use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::ready_servers::{ReadyServers, may_use, place};
use crate::state::*;

/// Load bound, a multiple of a server's part of this balancer's attempts in flight; never below this
/// balancer's part of the second, else a quiet one would scatter its keys.
const BOUND: (f64, f64) = (1.25, 8.0);
/// A server is full when its backlog takes this part of the time left; answers that each is credited with.
const FULL: (f64, f64) = (0.5, 2.0);
/// Gate: outstanding calls of one balancer at most, and of all together, of which each has its part.
const GATE_OUT: (f64, f64) = (20.0, 80.0);
/// Gate: calls a second, part of quotas or else of what it admits; least, the note's; window in longest aims.
const GATE_RATE: (f64, f64, f64) = (1.0, 30.0, 0.25);
/// Gate: sub-limit of fetches, of both limits; writes have the rest for themselves.
const GATE_FETCHES: f64 = 0.7;
/// Gate: factor on the cap at a sign of congestion; its floor; part of the shortest aim that makes a sign.
const GATE_CUT: (f64, f64, f64) = (0.8, 0.1, 0.8);
/// Postponement: the note's 1 to 3 s against its bound of 60 s, taken as parts of the request's aim.
const DELAY: (f64, f64) = (1.0 / 60.0, 3.0 / 60.0);
/// An attempt without answer for this part of its aim is slow, for twice this nearly late; not before this
/// multiple of the time in which a quarter of its class's answers come, up to the next part (nearly late: the
/// last): where plain work takes much of the aim, every other answer would be slow, and a sign of overload.
const PATIENCE: (f64, f64, f64, f64) = (0.4, 3.0, 0.8, 0.9);
/// The quarter, and its steps in aims: at first, and the least, so small that a jam does not pass for usual.
const QUARTER: (f64, (f64, f64)) = (0.25, (0.5, 0.002));
/// Least part of its keys a troubled server keeps; what a review leaves; mean at which the cause is shared.
const PART: (f64, f64, f64) = (0.02, 0.97, 0.5);
/// Worse than most: more signs of trouble an attempt than the first and this multiple of the fleet's.
const WORSE: (f64, f64) = (0.3, 1.0);
/// Signs of overload an attempt from which tenants are held to their quotas, and below them.
const STRAIN: (f64, f64) = (0.06, 0.55);
/// Multiple of its quota that a tenant may send: lowest (or slow fleets stay jammed), at start, highest.
const LEVEL: (f64, f64, f64) = (0.25, 1.0, 4.0);
const LEVEL_STEPS: (f64, f64) = (0.92, 1.04);
/// What a review keeps of the counts before it: they tell of about the last aim.
const FADE: f64 = 0.85;
/// Reviews in the longest aim.
const REVIEWS: f64 = 8.0;
/// Messages to peers: one in so many reviews, counting for so many of those spans, to so many peers in turn.
const TELL: (u32, u32, u32) = (4, 2, 16);
/// Each part of a key has at most this part of a server's mean share; longest aims over which shares fade.
const HEAT: (f64, f64) = (1.0, 10.0);
/// Least depth of the bucket of attempts at a cold server, for keys that are asked for once and for those
/// asked for again. A balancer of a large tier sends it less than one in a window, at odd times: a bucket of
/// one turns two in five of them away (M/D/1 loss at 2/3 of the rate), and all balancers' together leave it
/// idle; one of four or five turns away few. Keys that are asked for again may be so at all balancers at
/// once, and the buckets add up.
const COLD_DEPTH: (f64, f64) = (4.0, 2.0);
/// The bucket's level at the start of a server is drawn up to this, so that most balancers wait for a first
/// place; as deep it is for one that may send less than the second in a window, or it would wait too long.
const COLD_FIRST: (f64, f64) = (5.0, 0.5);
/// So many balancers' buckets add up to little: each may be as deep for all keys.
const FEW_BALANCERS: u32 = 12;
/// Retry budget, a token bucket: it holds so many times what each request adds.
const RETRY: f64 = 25.0;
/// A connection rests after this part of the longest aim; part of the attempts whose connection is not made
/// in time, from which all are kept; what a review keeps of that count; longest aims for which they are kept.
const REST: (f64, f64, f64, f64) = (0.3, 0.015, 0.99, 2.0);
/// Weights of kinds: step of a review for a difference in busy cores; least; what a review keeps of reports.
const KINDS: (f64, f64, f64) = (0.03, 0.25, 0.98);
/// Stated shares: a turn, part of the shortest aim; part of each call in the time that calls take of late,
/// and in the usual one; how fast a review brings the first back to the second, or one slow call would be
/// held against the origin until the next; the time of calls before the first, part of the shortest aim.
const TURN: (f64, f64, f64, f64, f64) = (0.1, 0.3, 0.02, 0.02, 0.25);

/// Mean time to the next call after a failed one: a change counts as told 6 s after discovery is back.
const ASK_AGAIN: Micros = 1_000_000;
/// Calls of a stated rate that a balancer may save up: with one it would refuse a second request that comes
/// soon after the first, though both are within its rate.
const SAVED: f64 = 4.0;
/// The decisions of one balancer.
#[derive(Default)]
pub struct Policy {
    settings: Settings,
    rng: Random,
    now: Micros,
    /// The longest aim of all classes, the shortest, and the least worth.
    aim: Micros,
    origin_aim: Micros,
    least_worth: f64,
    servers: BTreeMap<ServerId, Server>,
    ready: ReadyServers,
    /// Servers with attempts or signs of trouble of late, or with a part of their keys elsewhere.
    observed: BTreeSet<ServerId>,
    /// Servers to which a connection was made and has not been lost or closed since.
    connected: BTreeSet<ServerId>,
    /// Servers that are gone, and forgotten once they owe nothing.
    gone: BTreeSet<ServerId>,
    held: BTreeMap<RequestId, Held>,
    flights: BTreeMap<(RequestId, u16), Flight>,
    /// The request that fetches a key now.
    fetches: BTreeMap<Key, RequestId>,
    kinds: BTreeMap<u16, Kind>,
    /// For each class, the time in which a quarter of the answers of cache servers come.
    quarters: Vec<Quantile>,
    slots: Slots,
    heat: Heat,
    gate: Gate,
    senders: Vec<Sender>,
    peers: Peers,
    level: f64,
    /// This process's part of the balancer: 1 but while another one takes its place.
    part: f64,
    strain: Ratio,
    /// Attempts whose connection was not made in time, and for how many reviews rested ones were kept for it.
    slow_connects: Ratio,
    kept: u32,
    retry_budget: f64,
    cache_out: u32,
    admitted: Rate,
    reviews: u32,
    /// The process ends: no final answer comes later.
    last: Micros,
    last_told: u32,
    wakes: Wakes,
    subscribed: bool,
    ask_at: Micros,
}

impl Policy {
    /// A balancer that knows its settings and nothing else yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let aims = settings.classes.iter().map(|c| c.target_latency);
        let quotas: f64 = settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let quota_share = quotas / f64::from(settings.balancers.max(1));
        let most_out = match settings.shares {
            Some(all) => all.origin_out / f64::from(settings.balancers.max(1)),
            None => (GATE_OUT.1 / f64::from(settings.balancers.max(1))).clamp(2.0, GATE_OUT.0),
        };
        let usual = aims.clone().min().unwrap_or(1_000_000) as f64 * TURN.4;
        let stride = stride(settings.balancers);
        let mut policy = Policy {
            aim: aims.clone().max().unwrap_or(1_000_000).max(1),
            origin_aim: aims.min().unwrap_or(1_000_000),
            least_worth: settings.classes.iter().map(|c| c.worth).fold(f64::INFINITY, f64::min).max(1e-9),
            senders: vec![Sender::default(); settings.tenants.len().max(1)],
            ready: ReadyServers::new(&settings.classes),
            quarters: settings
                .classes
                .iter()
                .map(|c| Quantile::at(c.target_latency as f64 * PATIENCE.0 / PATIENCE.1))
                .collect(),
            rng: Random::new(seed),
            last_told: seed as u32 >> 1,
            level: LEVEL.1,
            last: Micros::MAX,
            part: 1.0,
            retry_budget: settings.retry_budget * RETRY,
            // Calls of an earlier life of this balancer may still run: the gate opens gradually.
            gate: Gate {
                limit: if most_out < 1.0 { most_out } else { most_out / 2.0 },
                most_out,
                quota_share,
                stride,
                took: usual,
                usual,
                ..Gate::default()
            },
            settings,
            ..Policy::default()
        };
        policy.wake(0, Wake::Subscribe);
        policy.wake(0, Wake::Review);
        policy
    }

    /// Takes one event at a clock value and adds the actions that it calls for.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::ServerList { kind: ListKind::Failed, .. } => self.discovery_failed(out),
            Event::ServerList { kind, servers } => self.server_list(kind, servers, out),
            Event::SlotMap { whole, ranges } => self.slots.take(whole, ranges),
            Event::ProcessShare(part) => self.part = part.clamp(0.01, 1.0),
            Event::AnswerDeadline(at) => self.answers_by(at),
            Event::Request(request) => self.request(request, out),
            Event::Outcome(outcome) => self.outcome(outcome, out),
            // A streamed answer belongs to the client: nothing is owed from here on.
            Event::AnswerStarted { request, .. } | Event::ClientGone(request) => self.forget(request),
            Event::Timer(_) => self.wakes.timer_came(),
            Event::PeerMessage { from, bytes } => self.peers.told(now, from, &bytes, self.senders.len()),
            Event::ProbeFinished { .. } => {}
        }
        while let Some(wake) = self.wakes.due(now, out) {
            match wake {
                Wake::End(id) => self.end(id, out),
                Wake::Go(id, wait) if self.held.get(&id).map(|h| h.wait) == Some(wait) => self.step(id, out),
                Wake::Patience(id, attempt) => self.patience(id, attempt, out),
                Wake::Subscribe => self.subscribe(out),
                Wake::Close(server) => self.close_drained(server, false, out),
                Wake::Go(..) => {}
                Wake::Review => self.review(out),
            }
        }
    }

    /// Servers that are avoided now: they take nothing new, or most of their keys have gone elsewhere.
    pub fn avoided_servers(&self) -> impl Iterator<Item = ServerId> {
        let avoided = |s: &&Server| s.line.condition != Condition::Ready || s.part < PART.2;
        self.servers.values().filter(avoided).map(|s| s.line.id)
    }

    fn wake(&mut self, after: Micros, wake: Wake) {
        self.wakes.at(self.now + after, wake);
    }

    fn request(&mut self, r: Request, out: &mut Vec<Action>) {
        let share = self.heat.seen(r.key);
        let heat = share * self.ready.count() as f64;
        let parts = (heat / HEAT.0).max(1.0);
        let part = (parts * self.rng.unit()) as u64;
        // Ends some ticks before its time is up, so that the answer is in time when a call comes late.
        let held = Held {
            class: r.class,
            key: r.key,
            order: if r.key == 0 { r.id } else { r.key ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15) },
            heat,
            write: r.write,
            slot: r.slot,
            aim_at: self.now + self.settings.classes[r.class].target_latency,
            ends: (self.now + r.time_left.saturating_sub(2 * self.settings.tick)).min(self.last),
            ..Held::default()
        };
        let ends = held.ends;
        let admitted = self.admit(r.class, r.tenant) && self.now < ends;
        self.held.insert(r.id, held);
        if !admitted {
            return self.end(r.id, out);
        }
        self.admitted.count();
        let earns = self.settings.retry_budget;
        self.retry_budget = (self.retry_budget + earns).min(earns * RETRY);
        self.wake(ends - self.now, Wake::End(r.id));
        self.step(r.id, out);
    }

    /// Under strain tenants are held to a multiple of their quota, the same for all, so that those furthest
    /// over it are turned away first; the worth of a class counts when all must give way.
    fn admit(&mut self, class: usize, tenant: usize) -> bool {
        let Some(sender) = self.senders.get_mut(tenant) else { return true };
        sender.rate.count();
        let worth = (self.settings.classes[class].worth / self.least_worth).max(1.0);
        let quota = self.settings.tenants.get(tenant);
        let share = quota.map_or(1.0, |quota| quota.quota_per_s / self.whole_traffic(tenant).max(1.0));
        let Some(sender) = self.senders.get_mut(tenant) else { return true };
        // Below 1 the level bites at once, also on tenants that are far below their quotas.
        let part = (self.level.max(1.0) * share).min(1.0) * self.level.min(1.0) * worth;
        sender.credit += if self.level >= LEVEL.2 { 1.0 } else { part.min(1.0) };
        let admitted = sender.credit >= 0.5; // Half of slack: a sender's first request is admitted.
        sender.credit -= f64::from(u8::from(admitted));
        admitted
    }

    /// Chooses and makes the next call of a request that has none out.
    fn step(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(h) = self.held.get(&id) else { return };
        if self.now >= self.useful_until(h) || u32::from(h.sent) >= self.settings.max_attempts {
            return self.end(id, out);
        }
        // A burst for one key: those behind the first are postponed, then ask the cache again.
        if !h.write && self.fetches.contains_key(&h.key) {
            self.held.entry(id).and_modify(|h| h.missed = false);
            return self.postpone(id, out);
        }
        if h.write || h.missed {
            return self.origin_call(id, out);
        }
        if !self
            .followed(id)
            .or_else(|| self.pick(id))
            .is_some_and(|server| self.send(id, server, Call::Cache, out))
        {
            self.end(id, out);
        }
    }

    /// A server of a cluster named another for the key: nothing ran. The other counts only where the list has
    /// it ready and the rules let this request go there; else no redirection is followed. What can be fetched
    /// is fetched then, as after a miss; the rest is postponed, for maps and lists come late, and asks again
    /// where the slot's home is by then.
    fn redirected(
        &mut self,
        id: RequestId,
        call: Call,
        to: Option<ServerId>,
        ask: bool,
        out: &mut Vec<Action>,
    ) {
        let follow = to.filter(|to| self.may_follow(id, *to)).map(|to| (to, ask));
        let Some(h) = self.held.get_mut(&id) else { return };
        let (class, spent) = (h.class, u32::from(h.sent) >= self.settings.max_attempts);
        h.follow = follow;
        if follow.is_some() {
            return self.step(id, out);
        }
        h.tried.clear();
        if call == Call::Cache && self.settings.origin_kind.is_some() {
            h.missed = true;
            return self.step(id, out);
        }
        if !spent && self.may_retry(class, true) { self.postpone(id, out) } else { self.end(id, out) }
    }

    /// Where a request was sent on to, if that still holds: it may have been postponed meanwhile.
    fn followed(&self, id: RequestId) -> Option<ServerId> {
        self.held.get(&id)?.follow.map(|(to, _)| to).filter(|to| self.may_follow(id, *to))
    }

    /// Whether a redirection leads on: not back to where this request was, nor past what a cold server takes.
    fn may_follow(&self, id: RequestId, to: ServerId) -> bool {
        let (Some(h), Some(s)) = (self.held.get(&id), self.servers.get(&to)) else { return false };
        let fits = || {
            let (level, depth) = self.cold_bucket(h, s, self.traffic_within_quotas());
            level + 1.0 <= depth
        };
        s.line.condition == Condition::Ready
            && !s.origin
            && may_use(&self.settings.classes[h.class], s)
            && !h.tried.contains(&to)
            && (self.warmth(s) >= 1.0 || fits())
    }

    fn useful_until(&self, h: &Held) -> Micros {
        if self.settings.classes[h.class].late_worth > 0.0 { h.ends } else { h.aim_at.min(h.ends) }
    }

    /// The first server in order within the load bound, or else the first; none if that is full under strain.
    /// In a cluster those that hold the key's slot come before all others, and of them its owner.
    fn pick(&self, id: RequestId) -> Option<ServerId> {
        let h = &self.held[&id];
        let left = self.useful_until(h).saturating_sub(self.now) as f64;
        let best = self.first_unimpeded(id, h).or_else(|| self.least_impeded(id, h));
        // Passing a full server over would scatter its keys.
        let full = |server: &ServerId| self.backlog(&self.servers[server]) > left * FULL.0;
        best.filter(|server| self.level >= LEVEL.2 || !full(server))
    }

    /// The first server in order where nothing stands in the way, if it is one of the first few: it comes
    /// before all others, so that these need not be weighed.
    fn first_unimpeded(&self, id: RequestId, h: &Held) -> Option<ServerId> {
        if !self.slots.home(h.slot).is_empty() {
            return None;
        }
        let traffic = LazyCell::new(|| self.traffic_within_quotas());
        let first = self.ready.first_in_order(h.class, h.order).map(|server| &self.servers[&server]);
        let mut unimpeded = first.filter(|s| {
            !h.tried.contains(&s.line.id)
                && !self.given_up(id, s)
                && !self.over_bound(h, s)
                && self.warm_enough(h, s, &traffic)
        });
        unimpeded.next().map(|s| s.line.id)
    }

    /// The best of all servers: where none of the first few is unimpeded, and in a cluster.
    fn least_impeded(&self, id: RequestId, h: &Held) -> Option<ServerId> {
        let traffic = LazyCell::new(|| self.traffic_within_quotas());
        let home = self.slots.home(h.slot);
        let mut best = None;
        for s in self.ready.of_class(h.class).map(|server| &self.servers[&server]) {
            if h.tried.contains(&s.line.id) || !self.warm_enough(h, s, &traffic) {
                continue;
            }
            let held = home.iter().position(|id| *id == s.line.id).filter(|at| *at == 0 || !h.write);
            let away = !home.is_empty() && held.is_none();
            let copy = held.is_some_and(|at| at > 0);
            let place = place(h.order, s.line.id, self.weight(s));
            let place = (away, self.given_up(id, s), self.over_bound(h, s), copy, place, s.line.id);
            if best.is_none_or(|b| place < b) {
                best = Some(place);
            }
        }
        best.map(|(.., server)| server)
    }

    /// Whether a server in trouble keeps this request's key no longer.
    fn given_up(&self, id: RequestId, s: &Server) -> bool {
        s.part < 1.0 && unit_hash(id, s.line.id, 1) >= s.part
    }

    /// Whether a server has its part of what this balancer has in flight, and more.
    fn over_bound(&self, h: &Held, s: &Server) -> bool {
        let floor = (BOUND.1 / f64::from(self.settings.balancers.max(2))).max(2.0);
        let part = self.weight(s) / self.ready.weight(h.class);
        let bound = BOUND.0 * f64::from(self.cache_out + 1) * part;
        f64::from(s.in_flight) >= bound.max(floor)
    }

    /// Time until a server has answered what this balancer has in flight there, at the pace of its latest
    /// answers (Little's law), with a credit for a server that has had little to answer.
    fn backlog(&self, s: &Server) -> f64 {
        f64::from(s.in_flight) * self.aim as f64 / (s.answered_lately(self.now, self.aim) + FULL.1)
    }

    fn weight(&self, s: &Server) -> f64 {
        size(&self.settings, s) * kind_weight(&self.kinds, s.line.kind)
    }

    /// Part of its capacity that a server has at the least, some time after its start.
    fn warmth(&self, s: &Server) -> f64 {
        let age = self.now.saturating_sub(s.line.started) as f64 / self.settings.warm_up.max(1) as f64;
        let share = self.settings.cold_share;
        if s.line.started == 0 { 1.0 } else { (share + (1.0 - share) * age).min(1.0) }
    }

    /// Against pushing a cold server over: it gets a part of its keys that grows as it warms, the same keys
    /// from every balancer, no more than a part of a warm server's requests, and nothing turned away
    /// elsewhere. A key that alone brings more than that part stays away: of it all balancers' buckets
    /// together hold too much.
    fn warm_enough(&self, h: &Held, s: &Server, traffic: &LazyCell<f64, impl FnOnce() -> f64>) -> bool {
        let warmth = self.warmth(s);
        if warmth >= 1.0 {
            return true;
        }
        if !h.tried.is_empty() || unit_hash(h.order, s.line.id, 1) >= warmth || h.heat > warmth {
            return false;
        }
        let (level, depth) = self.cold_bucket(h, s, **traffic);
        level + 1.0 <= depth
    }

    /// What this balancer admits a second, but no more than its part of what all tenants may send together:
    /// in a burst over the quotas all balancers' parts at a cold server would add up to more than the servers
    /// can do.
    fn traffic_within_quotas(&self) -> f64 {
        let balancers = f64::from(self.settings.balancers.max(1));
        let quotas = self.gate.quota_share * balancers;
        if quotas <= 0.0 {
            return self.admitted.per_s;
        }
        let own: f64 = self.senders.iter().map(|s| s.rate.per_s).sum();
        let whole: f64 = (0..self.senders.len()).map(|tenant| self.whole_traffic(tenant)).sum();
        self.admitted.per_s.min(own * quotas / whole.max(1.0))
    }

    /// What a tenant sends to all balancers a second. Peers that tell of their traffic show the whole of it;
    /// without them all are taken as alike.
    fn whole_traffic(&self, tenant: usize) -> f64 {
        let own = self.senders[tenant].rate.per_s;
        let others = self.settings.balancers.max(2) - 1;
        let unheard = f64::from(others) / f64::from(others.min(TELL.1 * TELL.2));
        let alike = own * f64::from(self.settings.balancers.max(1));
        self.peers.sum(tenant).map_or(alike, |told| own + told * unheard)
    }

    /// Least depth of the bucket at a cold server of which this balancer may send so many in a window, for a
    /// key that was asked for before or not.
    fn least_cold_depth(&self, in_window: f64, asked_before: bool) -> f64 {
        match (self.settings.balancers > FEW_BALANCERS, asked_before) {
            (true, true) => COLD_DEPTH.1,
            (true, false) if in_window < COLD_FIRST.1 => COLD_FIRST.0,
            _ => COLD_DEPTH.0,
        }
    }

    /// Level and depth of the bucket of attempts at a server, as cold as it is, under this balancer's
    /// traffic.
    fn cold_bucket(&self, h: &Held, s: &Server, traffic: f64) -> (f64, f64) {
        let part = self.settings.cold_rate * self.warmth(s) * traffic * self.weight(s);
        let rate = part / self.ready.weight(h.class).max(0.01) / 1e6;
        let level = s.cold_level - rate * (self.now - s.used) as f64;
        let (span, depth) = (self.settings.fall_after / 2, rate * self.settings.fall_after as f64 / 2.0);
        let least_depth = self.least_cold_depth(2.0 * depth, h.heat > 0.0);
        // Of hundreds of balancers each may have no more than a part of one attempt.
        let depth = match self.settings.shares {
            Some(_) if depth < 1.0 => self.turns(depth, span, u64::from(s.line.id)),
            _ => depth.max(least_depth * self.part),
        };
        (level.max(0.0), depth)
    }

    /// A part of calls as whole ones: what is over comes to some balancers in each turn and to all of them in
    /// the end, by their numbers and the clock, so that the sum holds and nobody asks another.
    fn turns(&self, part: f64, span: Micros, offset: u64) -> f64 {
        let (nodes, turn) = (u64::from(self.settings.balancers.max(1)), self.now / span.max(1));
        let whole = part.floor();
        let open = (part - whole) * nodes as f64;
        // Less than one call of all balancers is one at a time: none at all would be for ever.
        let open = if whole > 0.0 { open } else { open.max(1.0) };
        let skipped = (turn % nodes) * self.gate.stride + offset % nodes;
        let place = (u64::from(self.settings.own_index) + skipped) % nodes;
        whole + f64::from(u8::from(place as f64 + 1.0 <= open))
    }

    fn origin_call(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let (key, call) = (self.held[&id].key, if self.held[&id].write { Call::Write } else { Call::Fetch });
        let place = |server: &ServerId| place(id, *server, self.weight(&self.servers[server]));
        let order = |a: &&ServerId, b: &&ServerId| place(a).total_cmp(&place(b));
        let origin = self.ready.origins().iter().min_by(order).copied();
        let held = || self.followed(id).or_else(|| self.pick(id));
        let target = if self.settings.origin_kind.is_some() { origin } else { held() };
        let Some(target) = target.filter(|_| self.gate_open(call)) else { return self.postpone(id, out) };
        if !self.send(id, target, call, out) {
            self.end(id, out);
        } else if call == Call::Fetch && key != 0 {
            self.fetches.insert(key, id);
        }
    }

    /// Whether the outstanding cap and the windowed tally let one more call through.
    fn gate_open(&mut self, call: Call) -> bool {
        if let Some(all) = self.settings.shares {
            return self.turn_open(call, all);
        }
        let share = if self.gate.quota_share > 0.0 { self.gate.quota_share } else { self.admitted.per_s };
        let window = self.aim as f64 * GATE_RATE.2;
        let tally = (share * GATE_RATE.0 * self.part).max(GATE_RATE.1) * window / 1e6;
        self.gate.roll(self.now, window as Micros);
        let g = &self.gate;
        let room = |count: u32, limit: f64| f64::from(count + 1) <= limit.max(1.0);
        let cap = g.limit * self.part;
        let open = |i: usize, part: f64| room(g.out[i], cap * part) && room(g.tally[i], tally * part);
        open(0, 1.0) && (call == Call::Write || open(1, GATE_FETCHES))
    }

    /// The gate where the origin's limits are stated for all balancers: this one's part of the cap comes in
    /// turns, and its part of the rate is saved up. A call may reach into the next turn, whose callers must
    /// find room: the longer calls take, the fewer begin.
    fn turn_open(&mut self, call: Call, all: Shares) -> bool {
        let nodes = f64::from(self.settings.balancers.max(1));
        let span = ((self.origin_aim as f64 * TURN.0) as Micros).max(1);
        let reach = span as f64 / (span as f64 + self.gate.took);
        let per_s = all.origin_per_s / nodes * self.part;
        if per_s.is_finite() {
            self.gate.earn(self.now, per_s, (per_s * span as f64 / 1e6).max(SAVED));
        } else {
            self.gate.credit = 1.0;
        }
        let cap = |part: f64| self.turns(self.gate.limit * self.part * reach * part, span, 0);
        let room = |i: usize, part: f64| f64::from(self.gate.out[i] + 1) <= cap(part);
        self.gate.credit >= 1.0 && room(0, 1.0) && (call == Call::Write || room(1, GATE_FETCHES))
    }

    /// Parks a request that a shut gate stops, for a random delay, while its answer can still earn.
    fn postpone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let h = &self.held[&id];
        let aim = self.settings.classes[h.class].target_latency as f64;
        let delay = (aim * self.rng.between(DELAY)) as Micros + 1;
        if self.now + delay >= self.useful_until(h) {
            return self.end(id, out);
        }
        if let Some(h) = self.held.get_mut(&id) {
            h.wait += 1;
            self.wakes.at(self.now + delay, Wake::Go(id, h.wait));
        }
    }

    /// The one place that sends: an attempt goes out, or a rule forbids it.
    fn send(&mut self, id: RequestId, server: ServerId, call: Call, out: &mut Vec<Action>) -> bool {
        let (Some(h), Some(s)) = (self.held.get(&id), self.servers.get(&server)) else { return false };
        let allowed = self.now < h.ends
            && u32::from(h.sent) < self.settings.max_attempts
            && s.line.condition == Condition::Ready
            && may_use(&self.settings.classes[h.class], s)
            && (h.out == 0 || self.settings.may_duplicate)
            // No effect twice: only what is safe is repeated after it may have run.
            && (h.may_have_run == 0 || self.settings.classes[h.class].effect == Effect::Safe);
        if !allowed {
            return false;
        }
        // A warm server's bucket begins anew with its next start.
        let cold_level = match self.warmth(s) >= 1.0 {
            true => 0.0,
            false => self.cold_bucket(h, s, self.traffic_within_quotas()).0 + 1.0,
        };
        let (attempt, sent, aim) = (h.sent, self.now, self.settings.classes[h.class].target_latency);
        let asking = h.follow.is_some_and(|(to, ask)| ask && to == server);
        let slow_after = (PATIENCE.1 * self.quarters[h.class].value).max(aim as f64 * PATIENCE.0);
        let slow_after = slow_after.min(aim as f64 * PATIENCE.2) as Micros;
        if let (Some(h), Some(s)) = (self.held.get_mut(&id), self.servers.get_mut(&server)) {
            (h.sent, h.out, h.may_have_run, h.follow) = (h.sent + 1, h.out + 1, h.may_have_run + 1, None);
            (s.in_flight, s.cold_level, s.used) = (s.in_flight + 1, cold_level, self.now);
        }
        if call == Call::Cache {
            self.cache_out += 1;
            self.wake(slow_after, Wake::Patience(id, attempt));
        } else {
            self.gate.enter(call);
        }
        self.flights.insert((id, attempt), Flight { server, call, sent, aim, slow_after });
        out.push(Action::Send { request: id, server, timeout: 0, asking });
        true
    }

    fn outcome(&mut self, o: Outcome, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&(o.request, o.attempt)) else { return };
        self.learn(&flight, &o, out);
        self.close_drained(flight.server, true, out);
        let Some(h) = self.held.get_mut(&o.request) else { return };
        h.out -= 1;
        h.may_have_run -= u16::from(o.status.proves_not_run());
        h.missed |= o.status == Status::Miss;
        let away = matches!(o.status, Status::Redirected { .. });
        if away || (flight.call == Call::Cache && o.status != Status::Miss) {
            h.tried.push(flight.server);
        }
        let (key, others_out, class) = (h.key, h.out > 0, h.class);
        if flight.call == Call::Cache && o.status == Status::Served {
            self.quarters[class].saw(
                (self.now - flight.sent) as f64,
                QUARTER.0,
                flight.aim as f64,
                QUARTER.1,
            );
        }
        if flight.call == Call::Fetch {
            self.fetches.remove(&key);
        }
        if o.request_finished || o.status == Status::Served {
            return self.forget(o.request);
        }
        if others_out && o.status != Status::Miss {
            return; // Their outcomes decide; but what a copy found missing is fetched.
        }
        if let Status::Redirected { to, ask } = o.status {
            return self.redirected(o.request, flight.call, to, ask, out);
        }
        if flight.call != Call::Cache && o.status == Status::Full {
            return self.postpone(o.request, out);
        }
        // A miss and a failed connect cost no server work, and what was called off has been paid for.
        let free =
            matches!(o.status, Status::Miss | Status::ConnectFailed | Status::NotSent | Status::Cancelled);
        if !free && !self.may_retry(class, o.status == Status::Full) {
            return self.end(o.request, out);
        }
        self.step(o.request, out);
    }

    /// Takes a retry from the budget, where the class allows one: of what may run, only of what is safe.
    fn may_retry(&mut self, class: usize, not_run: bool) -> bool {
        let allowed = not_run || self.settings.classes[class].effect == Effect::Safe;
        let granted = allowed && self.retry_budget >= 1.0;
        self.retry_budget -= f64::from(u8::from(granted));
        granted
    }

    /// What an outcome tells of its server and of the strain on the fleet, or of the origin.
    fn learn(&mut self, flight: &Flight, o: &Outcome, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&flight.server) else { return };
        s.in_flight = s.in_flight.saturating_sub(1);
        s.active = self.now;
        if !matches!(o.status, Status::Reset | Status::ConnectFailed) {
            self.connected.insert(flight.server);
        }
        let not_made = o.status == Status::ConnectFailed && o.elapsed >= self.settings.connect_timeout;
        // Of a server that answers nobody here it tells nothing: that one may be cut off or dead.
        let reached = s.heard >= flight.sent;
        self.slow_connects.add(f64::from(u8::from(not_made && reached)), 1.0);
        if flight.call != Call::Cache {
            return self.learn_origin(flight, o, out);
        }
        self.cache_out -= 1;
        if let Some(busy) = o.load.figure(&self.settings.load_fields, LoadField::Busy) {
            self.kinds.entry(s.line.kind).or_default().busy.add(busy, 1.0);
        }
        if matches!(o.status, Status::Served | Status::Miss | Status::Full) {
            s.answered = 1.0 + s.answered_lately(self.now, flight.aim);
            s.heard = self.now;
        }
        // A late answer has been counted when it became late: waiting for its end would lag the overload.
        if self.now - flight.sent < flight.slow_after {
            use Status::{Miss, NotSent, Redirected, Served, TimedOut};
            let trouble = !matches!(o.status, Served | Miss | NotSent | TimedOut | Redirected { .. });
            self.count_signs(flight.server, f64::from(u8::from(trouble)), 1.0);
        }
    }

    /// Counts signs of a server, and as strain by the part of its keys kept: known trouble is no overload.
    fn count_signs(&mut self, server: ServerId, cases: f64, all: f64) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        self.strain.add(cases * s.part, all * s.part);
        s.signs.add(cases, all);
        self.observed.insert(server);
    }

    /// A slow, failing or refusing origin lowers the gate's limit, within a floor; good answers restore it.
    fn learn_origin(&mut self, flight: &Flight, o: &Outcome, out: &mut Vec<Action>) {
        let slow = self.now - flight.sent > (self.origin_aim as f64 * GATE_CUT.2) as Micros;
        let g = &mut self.gate;
        g.leave(flight.call);
        g.took += (o.elapsed as f64 - g.took) * TURN.1;
        g.usual += (o.elapsed as f64 - g.usual) * TURN.2;
        let was = g.limit;
        if o.status == Status::Served && !slow {
            g.limit = (g.limit + 1.0 / g.limit).min(g.most_out);
        } else if g.most_out >= 1.0
            // Of less than one call nothing is cut: that calls take longer leaves fewer turns already.
            && !matches!(o.status, Status::NotSent | Status::Redirected { .. }) && flight.sent >= g.cut_at
        {
            g.cut_at = self.now; // One cut for all calls that were out together.
            g.limit = (g.limit * GATE_CUT.0).max(g.most_out * GATE_CUT.1);
        }
        log_crossing(out, was, g.limit, g.most_out / 4.0, "gate lowered: origin in trouble", "gate restored");
    }

    /// Here a balancer alone is blind at full size, where it sends a server one request in seconds: servers
    /// with more signs of trouble than most, here and at peers, lose keys to the next in order, slowly.
    fn review_servers(&mut self, strain: Ratio, period: Micros) {
        let worse = WORSE.0 + WORSE.1 * strain.value();
        let shared = self.most_look_bad();
        let heard = self.peers.signs();
        let step = period as f64 / self.settings.warm_up.max(1) as f64;
        let each = strain.all / self.ready.count().max(1) as f64;
        // All others have no sign of trouble, here or at peers, and keep all of their keys.
        self.observed.extend(heard.keys());
        self.observed.retain(|id| {
            let Some(s) = self.servers.get_mut(id) else { return false };
            let mut signs = s.signs;
            signs.add(heard.get(id).copied().unwrap_or(0.0), 0.0);
            let bad = signs.cases > worse * (each * s.part).max(signs.all) + 1.0;
            s.part = if bad && !shared { (s.part * PART.1).max(PART.0) } else { (s.part + step).min(1.0) };
            s.signs.fade(FADE);
            if s.signs.is_negligible() {
                s.signs = Ratio::default();
            }
            s.part < 1.0 || s.signs.all > 0.0 || s.signs.cases > 0.0
        });
    }

    /// Whether ready cache servers keep less than a part of their keys in the mean: the cause is shared
    /// then, and moving their keys would crowd the rest.
    fn most_look_bad(&self) -> bool {
        let observed = self.observed.iter().filter_map(|id| self.servers.get(id));
        let ready = observed.filter(|s| s.line.condition == Condition::Ready && !s.origin);
        let moved: f64 = ready.map(|s| 1.0 - s.part).sum();
        self.ready.count() as f64 * (1.0 - PART.2) < moved
    }

    /// Unequal servers: a kind of machine whose reports say that it is busier than the rest gets a smaller
    /// weight, slowly, for reports are late. Balancers see alike of a kind, so their orders stay alike.
    /// Harm: where a kind is busy for a cause that its load does not bring.
    fn weigh_kinds(&mut self) {
        let mut all = Ratio::default();
        self.kinds.values().for_each(|k| all.add(k.busy.cases, k.busy.all));
        for k in self.kinds.values_mut().filter(|k| k.busy.all >= 1.0) {
            k.weight *= 1.0 + KINDS.0 * (all.value() - k.busy.value());
            k.weight = k.weight.clamp(KINDS.1, 1.0 / KINDS.1);
            k.busy.fade(KINDS.2);
        }
        self.ready.reweigh(|kind| kind_weight(&self.kinds, kind));
    }

    /// An attempt has had no answer for long: a sign of overload, and time to try elsewhere.
    fn patience(&mut self, id: RequestId, attempt: u16, out: &mut Vec<Action>) {
        let Some(&f) = self.flights.get(&(id, attempt)) else { return };
        let age = self.now - f.sent;
        if age >= f.aim {
            return;
        }
        // Half a sign when it becomes slow, and is counted, and half when nearly late: slow is not yet lost.
        let nearly_late = (2 * f.slow_after).min((f.aim as f64 * PATIENCE.3) as Micros) + 1;
        let first = age < nearly_late;
        self.count_signs(f.server, 0.5, f64::from(u8::from(first)));
        if first {
            self.wake(nearly_late - age, Wake::Patience(id, attempt));
            self.try_elsewhere(id, attempt, f.server, out);
        }
    }

    /// Where a balancer meets a server too seldom to know it a request helps itself: an attempt long without
    /// an answer is hedged at the next server, or called off and sent there. Holds against lost answers, dead
    /// connections, hung, ageing and full servers. Harm: double work, within the retry budget.
    fn try_elsewhere(&mut self, id: RequestId, attempt: u16, server: ServerId, out: &mut Vec<Action>) {
        let Some(h) = self.held.get(&id).filter(|h| h.out == 1) else { return };
        let (copy, class) = (self.settings.may_duplicate, h.class);
        let possible = (copy || self.settings.may_cancel) && u32::from(h.sent) < self.settings.max_attempts;
        if !possible || self.level < LEVEL.2 || self.now >= self.useful_until(h) {
            return;
        }
        self.held.entry(id).and_modify(|h| h.tried.push(server));
        // What is called off with nowhere to go has been called off for a refusal.
        let Some(next) = self.pick(id) else { return };
        if !self.may_retry(class, false) {
        } else if copy {
            self.send(id, next, Call::Cache, out);
        } else {
            out.push(Action::Cancel { request: id, attempt });
        }
    }

    /// The one place of final answers: where harmless a refusal, to come back after a delay, else a failure.
    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(h) = self.held.get(&id) else { return };
        let class = &self.settings.classes[h.class];
        let retry_after = (class.target_latency as f64 * self.rng.between(DELAY)) as Micros + 1;
        let harmless = class.effect == Effect::Safe || h.may_have_run == 0;
        out.push(if harmless { Action::Refuse { request: id, retry_after } } else { Action::Fail(id) });
        self.forget(id);
    }

    fn answers_by(&mut self, at: Micros) {
        self.last = at;
        for (id, h) in self.held.iter_mut().filter(|(_, h)| h.ends > at) {
            h.ends = at;
            self.wakes.at(at, Wake::End(*id));
        }
    }

    fn forget(&mut self, id: RequestId) {
        if let Some(h) = self.held.remove(&id).filter(|h| self.fetches.get(&h.key) == Some(&id)) {
            self.fetches.remove(&h.key);
        }
    }

    fn server_list(&mut self, kind: ListKind, lines: Vec<ServerEntry>, out: &mut Vec<Action>) {
        if kind != ListKind::Cached {
            self.subscribed = true;
        }
        if kind == ListKind::Delta && lines.is_empty() {
            return;
        }
        if kind != ListKind::Delta {
            self.servers.values_mut().for_each(|s| s.line.condition = Condition::Gone);
            self.gone.extend(self.servers.keys());
        }
        let young = f64::from(self.reviews) < HEAT.1 * REVIEWS;
        for line in lines {
            let s = self.servers.entry(line.id).or_insert_with(|| Server { part: 1.0, ..Server::default() });
            s.origin = self.settings.origin_kind == Some(line.kind);
            // A new process starts with a clean record.
            if line.started > s.line.started {
                s.part = 1.0;
                // Many balancers that may each send one at once would be a burst: they begin out of step, and
                // one that has just started, and knows of no key that it is hot, with none to send.
                let out_of_step = self.rng.unit();
                let level = if young { COLD_FIRST.0 - 1.0 + out_of_step } else { COLD_FIRST.0 * out_of_step };
                (s.cold_level, s.used) = (level, self.now);
            }
            let id = line.id;
            s.line = line;
            if s.part < 1.0 {
                self.observed.insert(id);
            }
            match s.line.condition {
                Condition::Gone => self.gone.insert(id),
                _ => self.gone.remove(&id),
            };
            self.close_drained(id, true, out);
        }
        let (settings, kinds) = (&self.settings, &self.kinds);
        self.ready.rebuild(
            &settings.classes,
            &self.servers,
            |s| size(settings, s),
            |kind| kind_weight(kinds, kind),
        );
    }

    /// Closing on drains: idle connections to a server that is not ready are closed at the notice, after each
    /// outcome there, and once more for one that was being opened then.
    fn close_drained(&mut self, server: ServerId, again: bool, out: &mut Vec<Action>) {
        let Some(time) = self.settings.drain_close else { return };
        if self.servers.get(&server).is_some_and(|s| s.line.condition != Condition::Ready) {
            out.push(Action::CloseIdle(server));
            if again {
                self.wake(time / 2, Wake::Close(server));
            }
        }
    }

    /// Asks for changes of the list, again when none come: not asking counts as told after a while.
    fn subscribe(&mut self, out: &mut Vec<Action>) {
        if self.settings.pull_discovery && !self.subscribed && self.now >= self.ask_at {
            out.push(Action::Subscribe(true));
            self.ask_at = self.now + self.settings.change_notice_limit.max(self.aim);
            self.wake(self.settings.change_notice_limit.max(self.aim), Wake::Subscribe);
        }
    }

    /// Discovery has little capacity: not all ask it again at once, but all before its changes count as told.
    fn discovery_failed(&mut self, out: &mut Vec<Action>) {
        let base = (self.settings.change_notice_limit / 2).min(ASK_AGAIN);
        let delay = (base as f64 * (0.5 + self.rng.unit())) as Micros;
        (self.subscribed, self.ask_at) = (false, self.now + delay);
        self.wake(delay, Wake::Subscribe);
        out.push(Action::Log("discovery call failed or subscription lost: asking again".into()));
    }

    /// Moves the level that tenants are held to, by the strain seen lately, and tells peers of the traffic.
    fn review(&mut self, out: &mut Vec<Action>) {
        let period = (self.aim / REVIEWS as Micros).max(self.settings.tick).max(1);
        let was = self.level;
        let strain = self.peers.strain(&self.strain);
        self.review_servers(strain, period);
        self.weigh_kinds();
        let strain = strain.value();
        let (floor, hold) = if strain > STRAIN.1 { (LEVEL.0, false) } else { (LEVEL.1, strain > STRAIN.0) };
        self.level = match strain > STRAIN.1 || (hold && was > LEVEL.1) {
            true => (was * LEVEL_STEPS.0).max(floor),
            false => (was * LEVEL_STEPS.1).min(if hold { LEVEL.1 } else { LEVEL.2 }),
        };
        log_crossing(out, was, self.level, LEVEL.2, "shedding over quota has begun", "shedding has ended");
        self.strain.fade(FADE);
        self.heat.fade(1.0 - period as f64 / (HEAT.1 * self.aim as f64));
        self.admitted.roll(period);
        self.gate.took += (self.gate.usual - self.gate.took) * TURN.3;
        self.senders.iter_mut().for_each(|s| s.rate.roll(period));
        self.reviews += 1;
        self.peers.forget_silent_since(self.now.saturating_sub(period * Micros::from(TELL.0 * TELL.1)));
        if self.settings.may_message_peers && self.reviews.is_multiple_of(TELL.0) {
            self.tell(out);
        }
        self.close_rested(strain, out);
        self.forget_gone();
        self.wake(period, Wake::Review);
    }

    /// Forgets the servers that are gone and owe no outcome any more.
    fn forget_gone(&mut self) {
        let servers = &mut self.servers;
        let left = self.gone.extract_if(.., |id| servers.get(id).is_none_or(|s| s.in_flight == 0));
        for id in left.collect::<Vec<_>>() {
            servers.remove(&id);
            self.connected.remove(&id);
            self.observed.remove(&id);
        }
    }

    /// Connections that rest are kept: new ones cost time, work and a price. Under strain they are closed:
    /// what is sent on one may be lost unseen, and full tables take capacity and shut others out. Not so
    /// while new ones are not made in time by servers that are reached otherwise; and that only for a while:
    /// where all balancers keep theirs the tables fill up, and new ones are not made for that very reason.
    /// Harm: under strain of another cause many requests pay for a connection.
    fn close_rested(&mut self, strain: f64, out: &mut Vec<Action>) {
        self.kept = if self.slow_connects.value() < REST.1 { 0 } else { self.kept + 1 };
        if strain > STRAIN.0 && (self.kept == 0 || f64::from(self.kept) > REST.3 * REVIEWS) {
            let since = self.now.saturating_sub((self.aim as f64 * REST.0) as Micros);
            let servers = &self.servers;
            let rests = |id: &ServerId| {
                servers.get(id).is_none_or(|s| s.in_flight == 0 && s.active.max(s.used) <= since)
            };
            out.extend(self.connected.extract_if(.., rests).map(Action::CloseIdle));
        }
        self.slow_connects.fade(REST.2);
    }

    /// Tells the next few peers of the traffic and the strain here.
    fn tell(&mut self, out: &mut Vec<Action>) {
        let signs = self.observed.iter().filter_map(|id| Some((*id, self.servers.get(id)?.signs.cases)));
        let bytes = Peers::message(&self.strain, &self.senders, signs);
        let others = self.settings.balancers.saturating_sub(1);
        for _ in 0..others.min(TELL.2) {
            self.last_told = self.last_told % others + 1;
            let to = (self.settings.own_index + self.last_told) % (others + 1);
            out.push(Action::SendToPeer { to: Some(to), bytes: bytes.clone() });
        }
    }
}

/// A server's size, where the list tells it.
fn size(settings: &Settings, s: &Server) -> f64 {
    if settings.weights_are_sizes { f64::from(s.line.weight).max(0.01) } else { 1.0 }
}

/// The factor on the weights of a kind of machine.
fn kind_weight(kinds: &BTreeMap<u16, Kind>, kind: u16) -> f64 {
    kinds.get(&kind).map_or(1.0, |k| k.weight)
}
