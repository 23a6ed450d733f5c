//! The decision module of a balancer: a deterministic state machine. Its settings, events and actions are
//! defined in `interface.rs`.
//!
//! In normal operation, a read goes to the first server in its key's rendezvous order that is within the load
//! bound. After a miss, the value is fetched from the origin; writes go straight to the origin. Calls to the
//! origin pass a gate that limits the calls outstanding and the calls in a time window; a call that finds the
//! gate closed is postponed by a random delay. Everything else handles a failure, which the comments name.

use std::cell::LazyCell;
use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::ready_servers::{ReadyServers, may_use, rendezvous_score};
use crate::state::*;

// A `..._SHARE` is a fraction. A time in target latencies refers to the class of the request, unless the
// comment names the longest or the shortest target latency of all classes.

/// Load bound: maximum attempts in flight at a server, as a multiple of its share of this balancer's attempts
/// in flight.
const LOAD_BOUND_MULTIPLE: f64 = 1.25;
/// Attempts in flight at a server, from all balancers together, below which the load bound does not apply: a
/// balancer with little traffic would scatter its keys.
const LOAD_BOUND_FLOOR: f64 = 8.0;

/// A server is full when its backlog takes this share of the request's time left.
const FULL_BACKLOG_SHARE: f64 = 0.5;
/// Answers credited to every server when its backlog is estimated.
const CREDITED_ANSWERS: f64 = 2.0;

/// Gate: maximum outstanding calls of one balancer.
const GATE_MAX_OUTSTANDING: f64 = 20.0;
/// Gate: maximum outstanding calls of all balancers together, of which each has its share.
const GATE_MAX_OUTSTANDING_TOTAL: f64 = 80.0;
/// Gate: call rate as a share of the quotas, or of the admitted rate where there are no quotas.
const GATE_QUOTA_SHARE: f64 = 1.0;
/// Gate: minimum call rate per second.
const GATE_MIN_CALLS_PER_S: f64 = 30.0;
/// Gate: length of the window in which calls are counted, in longest target latencies.
const GATE_WINDOW_SHARE: f64 = 0.25;
/// Gate: share of both limits that fetches may use; the rest is reserved for writes.
const GATE_FETCH_SHARE: f64 = 0.7;
/// Gate: factor on the limit of outstanding calls at a sign of congestion.
const GATE_CUT_FACTOR: f64 = 0.8;
/// Gate: minimum of that limit, as a share of its maximum.
const GATE_FLOOR_SHARE: f64 = 0.1;
/// Gate: a call longer than this share of the shortest target latency is a sign of congestion.
const GATE_SLOW_SHARE: f64 = 0.8;

/// Minimum delay of a postponed request, in target latencies: 1 s for a target of 60 s.
const POSTPONE_MIN_SHARE: f64 = 1.0 / 60.0;
/// Maximum delay of a postponed request, in target latencies: 3 s for a target of 60 s.
const POSTPONE_MAX_SHARE: f64 = 3.0 / 60.0;

/// An attempt is slow when it has been unanswered for this share of its target latency, and nearly late after
/// twice that time.
const SLOW_SHARE: f64 = 0.4;
/// An attempt is not slow before this multiple of its class's lower quartile: where ordinary work takes much
/// of the target latency, every second answer would be slow, and a sign of overload.
const SLOW_QUARTILE_MULTIPLE: f64 = 3.0;
/// An attempt is slow after this share of its target latency at the latest.
const SLOW_MAX_SHARE: f64 = 0.8;
/// An attempt is nearly late after this share of its target latency at the latest.
const NEARLY_LATE_MAX_SHARE: f64 = 0.9;

/// Quantile of the answers' latency that is estimated for each class.
const QUARTILE: f64 = 0.25;
/// First step of that estimate, in target latencies.
const QUARTILE_FIRST_STEP: f64 = 0.5;
/// Minimum step of that estimate, in target latencies: so small that latencies under congestion are not
/// learned as usual.
const QUARTILE_MIN_STEP: f64 = 0.002;

/// Minimum share of its keys that a server in trouble keeps.
const MIN_KEY_SHARE: f64 = 0.02;
/// Factor on the key share of a server in trouble at each review.
const KEY_SHARE_DECAY: f64 = 0.97;
/// A server with a key share below this is reported as avoided; a mean below it over all servers shows a
/// shared cause.
const AVOIDED_KEY_SHARE: f64 = 0.5;
/// Signs of trouble per attempt that are tolerated at any server.
const TROUBLE_BASE: f64 = 0.3;
/// Signs of trouble tolerated in addition, as a multiple of the fleet's signs of overload per attempt.
const TROUBLE_FLEET_MULTIPLE: f64 = 1.0;

/// Signs of overload per attempt above which tenants are held to their quotas.
const OVERLOAD_AT_QUOTA: f64 = 0.06;
/// Signs of overload per attempt above which tenants are held below their quotas.
const OVERLOAD_BELOW_QUOTA: f64 = 0.55;
/// Minimum multiple of its quota that a tenant may send: with a higher one, a slow fleet stays congested.
const QUOTA_MULTIPLE_MIN: f64 = 0.25;
/// Multiple of its quota that a tenant may send at the start, and when it is held to its quota.
const QUOTA_MULTIPLE_START: f64 = 1.0;
/// Multiple of its quota from which a tenant is not limited.
const QUOTA_MULTIPLE_MAX: f64 = 4.0;
/// Factor on the quota multiple at a review in overload.
const QUOTA_MULTIPLE_CUT: f64 = 0.92;
/// Factor on the quota multiple at a review without overload.
const QUOTA_MULTIPLE_RAISE: f64 = 1.04;

/// Factor on earlier counts at each review: the counts reflect about the last longest target latency.
const REVIEW_DECAY: f64 = 0.85;
/// Reviews per longest target latency.
const REVIEWS_PER_TARGET_LATENCY: f64 = 8.0;

/// Reviews between two rounds of messages to peers.
const PEER_MESSAGE_INTERVAL: u32 = 4;
/// Rounds for which a peer's message counts.
const PEER_MESSAGE_LIFETIME: u32 = 2;
/// Peers that get a message in one round, in turn.
const PEERS_PER_INTERVAL: u32 = 16;

/// A popular key is split into parts of at most this multiple of a server's mean share of the traffic.
const MAX_KEY_PART_SHARE: f64 = 1.0;
/// Time over which the popularity of keys decays, in longest target latencies.
const POPULARITY_SPAN: f64 = 10.0;

/// Minimum depth of the bucket of attempts at a cold server, for keys that have not been requested before. In
/// a large tier, a balancer sends a cold server less than one attempt per window, at irregular times: a
/// bucket of depth 1 rejects two in five of them (M/D/1 loss at 2/3 of the rate), and all balancers' buckets
/// together leave the server idle; one of depth 4 or 5 rejects few.
const COLD_DEPTH_NEW_KEY: f64 = 4.0;
/// The same for keys that have been requested before: these may be requested at all balancers at once, and
/// the buckets add up.
const COLD_DEPTH_REPEATED_KEY: f64 = 2.0;
/// Upper bound of the random level at which the bucket of a restarted server starts, so that most balancers
/// wait before their first attempt. It is also the depth for a balancer with rare attempts, which would wait
/// too long otherwise.
const COLD_START_LEVEL: f64 = 5.0;
/// Attempts per window below which a balancer's attempts at a cold server are rare.
const COLD_RARE_ATTEMPTS: f64 = 0.5;
/// Up to this number of balancers, the sum of the buckets is small, and each may have the same depth for all
/// keys.
const FEW_BALANCERS: u32 = 12;

/// Depth of the retry budget (a token bucket), in multiples of what each request adds.
const RETRY_BUDGET_DEPTH: f64 = 25.0;

/// A connection counts as idle after this time without use, in longest target latencies.
const IDLE_AFTER: f64 = 0.3;
/// Share of attempts whose connection is not made in time from which idle connections are kept.
const SLOW_CONNECT_SHARE: f64 = 0.015;
/// Factor on the earlier counts of such attempts at each review.
const SLOW_CONNECT_DECAY: f64 = 0.99;
/// Time for which idle connections are kept for this reason, in longest target latencies.
const KEEP_IDLE_SPAN: f64 = 2.0;

/// Relative step of a machine kind's weight at a review, per unit of difference in CPU use.
const KIND_WEIGHT_STEP: f64 = 0.03;
/// Minimum weight of a machine kind; the maximum is its inverse.
const KIND_WEIGHT_MIN: f64 = 0.25;
/// Factor on earlier load reports of a machine kind at each review.
const KIND_LOAD_DECAY: f64 = 0.98;

/// Shared origin limits: length of a turn, in shortest target latencies.
const TURN_SPAN: f64 = 0.1;
/// Shared origin limits: weight of each call in the recent latency of calls.
const LATENCY_GAIN: f64 = 0.3;
/// Shared origin limits: weight of each call in the usual latency of calls.
const USUAL_LATENCY_GAIN: f64 = 0.02;
/// Shared origin limits: share of the difference by which a review moves the recent latency towards the usual
/// one. Without it, one slow call would limit the calls until the next call.
const LATENCY_RETURN: f64 = 0.02;
/// Shared origin limits: latency assumed before the first call, in shortest target latencies.
const INITIAL_LATENCY: f64 = 0.25;

/// Mean delay before discovery is asked again after a failed call, in microseconds: a change counts as known
/// to a balancer 6 s after discovery is back.
const DISCOVERY_RETRY_US: Micros = 1_000_000;
/// Calls that a balancer may save up of a stated rate: with one, it would refuse a second request soon after
/// the first, though both are within its rate.
const MAX_SAVED_CALLS: f64 = 4.0;

/// The decisions of one balancer.
#[derive(Default)]
pub struct Policy {
    settings: Settings,
    rng: Random,
    now: Micros,
    /// The longest and the shortest target latency of all classes, and the lowest worth.
    max_target_latency: Micros,
    min_target_latency: Micros,
    min_worth: f64,
    servers: BTreeMap<ServerId, ServerState>,
    ready: ReadyServers,
    /// Servers with recent attempts or signs of trouble, or with a part of their keys moved elsewhere.
    observed: BTreeSet<ServerId>,
    /// Servers to which a connection was made that has not been lost or closed since.
    connected: BTreeSet<ServerId>,
    /// Servers that have left; forgotten when none of their attempts is outstanding.
    gone: BTreeSet<ServerId>,
    /// Requests that have no final answer yet.
    pending_requests: BTreeMap<RequestId, PendingRequest>,
    sent_attempts: BTreeMap<(RequestId, u16), SentAttempt>,
    /// For each key that is being fetched, the request that fetches it.
    fetches: BTreeMap<Key, RequestId>,
    kinds: BTreeMap<u16, MachineKind>,
    /// For each class, the lower quartile of the latency of cache servers' answers.
    lower_quartiles: Vec<Quantile>,
    slot_holders: SlotHolders,
    popularity: KeyPopularity,
    gate: OriginGate,
    tenant_traffic: Vec<TenantTraffic>,
    peers: PeerReports,
    /// Multiple of its quota that each tenant may send now.
    quota_multiple: f64,
    /// This process's share of the balancer; less than 1 while its successor is also serving.
    process_share: f64,
    /// Signs of overload in the recent attempts at cache servers.
    overload: Ratio,
    /// Attempts whose connection was not made in time, and the number of reviews in a row for which idle
    /// connections have been kept because of them.
    slow_connects: Ratio,
    idle_kept_reviews: u32,
    /// Retries that are available now.
    retry_budget: f64,
    /// Attempts at cache servers that have no outcome yet.
    cache_in_flight: u32,
    admitted: Rate,
    reviews: u32,
    /// When the process ends: every final answer is due by then.
    answer_deadline: Micros,
    /// Offset from this balancer of the last peer that was sent a message.
    last_peer: u32,
    timers: TimerQueue,
    subscribed: bool,
    next_subscribe_at: Micros,
}

impl Policy {
    /// Creates a balancer that knows its settings and no server yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let target_latencies = settings.classes.iter().map(|c| c.target_latency);
        let quotas: f64 = settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let quota_share = quotas / f64::from(settings.balancers.max(1));
        let max_limit = match settings.origin_limits {
            Some(limits) => limits.max_outstanding / f64::from(settings.balancers.max(1)),
            None => (GATE_MAX_OUTSTANDING_TOTAL / f64::from(settings.balancers.max(1)))
                .clamp(2.0, GATE_MAX_OUTSTANDING),
        };
        let usual_latency = target_latencies.clone().min().unwrap_or(1_000_000) as f64 * INITIAL_LATENCY;
        let stride = stride(settings.balancers);
        let mut policy = Policy {
            max_target_latency: target_latencies.clone().max().unwrap_or(1_000_000).max(1),
            min_target_latency: target_latencies.min().unwrap_or(1_000_000),
            min_worth: settings.classes.iter().map(|c| c.worth).fold(f64::INFINITY, f64::min).max(1e-9),
            tenant_traffic: vec![TenantTraffic::default(); settings.tenants.len().max(1)],
            ready: ReadyServers::new(&settings.classes),
            lower_quartiles: settings
                .classes
                .iter()
                .map(|c| Quantile::starting_at(c.target_latency as f64 * SLOW_SHARE / SLOW_QUARTILE_MULTIPLE))
                .collect(),
            rng: Random::new(seed),
            last_peer: seed as u32 >> 1,
            quota_multiple: QUOTA_MULTIPLE_START,
            answer_deadline: Micros::MAX,
            process_share: 1.0,
            retry_budget: settings.retry_budget_per_request * RETRY_BUDGET_DEPTH,
            // Calls made before a restart of this balancer may still be running, so the gate opens gradually.
            gate: OriginGate {
                limit: if max_limit < 1.0 { max_limit } else { max_limit / 2.0 },
                max_limit,
                quota_share,
                stride,
                recent_latency: usual_latency,
                usual_latency,
                ..OriginGate::default()
            },
            settings,
            ..Policy::default()
        };
        policy.schedule_after(0, TimerTask::Subscribe);
        policy.schedule_after(0, TimerTask::Review);
        policy
    }

    /// Processes one event at the clock value `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::ServerList { kind: ListKind::Failed, .. } => self.on_discovery_failure(out),
            Event::ServerList { kind, servers } => self.on_server_list(kind, servers, out),
            Event::SlotMap { complete: whole, ranges } => self.slot_holders.update(whole, ranges),
            Event::ProcessShare(share) => self.process_share = share.clamp(0.01, 1.0),
            Event::AnswerDeadline(at) => self.on_answer_deadline(at),
            Event::Request(request) => self.on_request(request, out),
            Event::Outcome(outcome) => self.on_outcome(outcome, out),
            // A streamed answer is the node's to finish: no final answer is due from here on.
            Event::AnswerStarted { request, .. } | Event::ClientGone(request) => self.forget(request),
            Event::Timer(_) => self.timers.timer_fired(),
            Event::PeerMessage { from, bytes } => {
                self.peers.receive(now, from, &bytes, self.tenant_traffic.len())
            }
            Event::ProbeFinished { .. } => {}
        }
        while let Some(task) = self.timers.pop_due(now, out) {
            match task {
                TimerTask::Deadline(id) => self.finish(id, out),
                TimerTask::Resume(id, wait_number)
                    if self.pending_requests.get(&id).map(|r| r.wait_number) == Some(wait_number) =>
                {
                    self.advance(id, out)
                }
                TimerTask::CheckSlow(id, attempt) => self.on_slow_attempt(id, attempt, out),
                TimerTask::Subscribe => self.subscribe(out),
                TimerTask::CloseDrained(server) => self.close_drained(server, false, out),
                TimerTask::Resume(..) => {}
                TimerTask::Review => self.review(out),
            }
        }
    }

    /// Returns the servers that are avoided now: those that accept nothing new and those that have lost most
    /// of their keys.
    pub fn avoided_servers(&self) -> impl Iterator<Item = ServerId> {
        let avoided = |state: &&ServerState| {
            state.entry.condition != Condition::Ready || state.key_share < AVOIDED_KEY_SHARE
        };
        self.servers.values().filter(avoided).map(|state| state.entry.id)
    }

    fn schedule_after(&mut self, delay: Micros, task: TimerTask) {
        self.timers.schedule_at(self.now + delay, task);
    }

    /// Admits or rejects a new request and makes its first attempt.
    fn on_request(&mut self, incoming: Request, out: &mut Vec<Action>) {
        let traffic_share = self.popularity.record_request(incoming.key);
        let popularity = traffic_share * self.ready.count() as f64;
        let key_parts = (popularity / MAX_KEY_PART_SHARE).max(1.0);
        let part_index = (key_parts * self.rng.unit()) as u64;
        // The deadline is some ticks before the client's, so that the answer is in time if the call that
        // produces it comes late.
        let new_request = PendingRequest {
            class: incoming.class,
            key: incoming.key,
            order_key: if incoming.key == 0 {
                incoming.id
            } else {
                incoming.key ^ part_index.wrapping_mul(0x9e37_79b9_7f4a_7c15)
            },
            popularity,
            write: incoming.write,
            slot: incoming.slot,
            target_at: self.now + self.settings.classes[incoming.class].target_latency,
            deadline: (self.now + incoming.time_left.saturating_sub(2 * self.settings.tick))
                .min(self.answer_deadline),
            ..PendingRequest::default()
        };
        let deadline = new_request.deadline;
        let admitted = self.admit(incoming.class, incoming.tenant) && self.now < deadline;
        self.pending_requests.insert(incoming.id, new_request);
        if !admitted {
            return self.finish(incoming.id, out);
        }
        self.admitted.count();
        let refill = self.settings.retry_budget_per_request;
        self.retry_budget = (self.retry_budget + refill).min(refill * RETRY_BUDGET_DEPTH);
        self.schedule_after(deadline - self.now, TimerTask::Deadline(incoming.id));
        self.advance(incoming.id, out);
    }

    /// Decides whether to admit a request. In overload, every tenant is held to the same multiple of its
    /// quota, so that the tenants furthest above their quota are rejected first; the worth of the class
    /// counts only when all tenants have to be cut.
    fn admit(&mut self, class: usize, tenant: usize) -> bool {
        let Some(this_tenant) = self.tenant_traffic.get_mut(tenant) else { return true };
        this_tenant.rate.count();
        let worth = (self.settings.classes[class].worth / self.min_worth).max(1.0);
        let quota = self.settings.tenants.get(tenant);
        let quota_fraction =
            quota.map_or(1.0, |quota| quota.quota_per_s / self.total_tenant_rate(tenant).max(1.0));
        let Some(this_tenant) = self.tenant_traffic.get_mut(tenant) else { return true };
        // A multiple below 1 takes effect at once, also on tenants that are far below their quotas.
        let admitted_share =
            (self.quota_multiple.max(1.0) * quota_fraction).min(1.0) * self.quota_multiple.min(1.0) * worth;
        this_tenant.credit +=
            if self.quota_multiple >= QUOTA_MULTIPLE_MAX { 1.0 } else { admitted_share.min(1.0) };
        let admitted = this_tenant.credit >= 0.5; // Slack of one half: a tenant's first request is admitted.
        this_tenant.credit -= f64::from(u8::from(admitted));
        admitted
    }

    /// Makes the next attempt of a request that has none outstanding.
    fn advance(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending_requests.get(&id) else { return };
        if self.now >= self.useful_until(pending)
            || u32::from(pending.attempts_sent) >= self.settings.max_attempts
        {
            return self.finish(id, out);
        }
        // Coalesces concurrent reads of one key: those behind the first are postponed, then ask the cache
        // again.
        if !pending.write && self.fetches.contains_key(&pending.key) {
            self.pending_requests.entry(id).and_modify(|r| r.missed = false);
            return self.postpone(id, out);
        }
        if pending.write || pending.missed {
            return self.call_origin(id, out);
        }
        if !self
            .redirect_target(id)
            .or_else(|| self.pick_server(id))
            .is_some_and(|server| self.send(id, server, CallKind::Cache, out))
        {
            self.finish(id, out);
        }
    }

    /// Handles a redirection: a server of the cluster named another one for the key, and nothing ran. It is
    /// followed only if the list has the named server ready and the class may use it. Otherwise, a read with
    /// an origin is fetched there, as after a miss; any other request is postponed, because slot maps and
    /// server lists arrive late, and then asks the servers that hold the slot by that time.
    fn on_redirect(
        &mut self,
        id: RequestId,
        call: CallKind,
        to: Option<ServerId>,
        ask: bool,
        out: &mut Vec<Action>,
    ) {
        let redirect = to.filter(|to| self.may_follow(id, *to)).map(|to| (to, ask));
        let Some(pending) = self.pending_requests.get_mut(&id) else { return };
        let (class, no_attempts_left) =
            (pending.class, u32::from(pending.attempts_sent) >= self.settings.max_attempts);
        pending.redirect = redirect;
        if redirect.is_some() {
            return self.advance(id, out);
        }
        pending.tried.clear();
        if call == CallKind::Cache && self.settings.origin_kind.is_some() {
            pending.missed = true;
            return self.advance(id, out);
        }
        if !no_attempts_left && self.take_retry(class, true) {
            self.postpone(id, out)
        } else {
            self.finish(id, out)
        }
    }

    /// Returns the server that a request was redirected to, if it may still be followed: the request may have
    /// been postponed in between.
    fn redirect_target(&self, id: RequestId) -> Option<ServerId> {
        self.pending_requests.get(&id)?.redirect.map(|(to, _)| to).filter(|to| self.may_follow(id, *to))
    }

    /// Whether a redirection may be followed: not back to a server already tried, nor beyond the load that a
    /// cold server accepts.
    fn may_follow(&self, id: RequestId, to: ServerId) -> bool {
        let (Some(pending), Some(state)) = (self.pending_requests.get(&id), self.servers.get(&to)) else {
            return false;
        };
        let fits = || {
            let (level, depth) = self.cold_bucket(pending, state, self.traffic_within_quotas());
            level + 1.0 <= depth
        };
        state.entry.condition == Condition::Ready
            && !state.is_origin
            && may_use(&self.settings.classes[pending.class], state)
            && !pending.tried.contains(&to)
            && (self.warm_share(state) >= 1.0 || fits())
    }

    /// Returns the time until which an answer to the request has any worth.
    fn useful_until(&self, pending: &PendingRequest) -> Micros {
        if self.settings.classes[pending.class].late_worth > 0.0 {
            pending.deadline
        } else {
            pending.target_at.min(pending.deadline)
        }
    }

    /// Returns the first server in the key's order within the load bound, or else the first of all; `None` in
    /// overload if that server's backlog is full. In a cluster, the servers that hold the key's slot come
    /// before all others, and among them the slot's owner comes first.
    fn pick_server(&self, id: RequestId) -> Option<ServerId> {
        let pending = &self.pending_requests[&id];
        let time_left = self.useful_until(pending).saturating_sub(self.now) as f64;
        let best = self.first_unimpeded(id, pending).or_else(|| self.least_impeded(id, pending));
        // A full server is not skipped: that would scatter its keys over servers that do not cache them.
        let full = |server: &ServerId| self.backlog(&self.servers[server]) > time_left * FULL_BACKLOG_SHARE;
        best.filter(|server| self.quota_multiple >= QUOTA_MULTIPLE_MAX || !full(server))
    }

    /// Returns the first unimpeded server if it is among the first candidates of the key's order: it comes
    /// before all others, so that these need not be compared.
    fn first_unimpeded(&self, id: RequestId, pending: &PendingRequest) -> Option<ServerId> {
        if !self.slot_holders.holders(pending.slot).is_empty() {
            return None;
        }
        let traffic = LazyCell::new(|| self.traffic_within_quotas());
        let first =
            self.ready.first_in_order(pending.class, pending.order_key).map(|server| &self.servers[&server]);
        let mut unimpeded = first.filter(|state| {
            !pending.tried.contains(&state.entry.id)
                && !self.key_given_up(id, state)
                && !self.over_load_bound(pending, state)
                && self.warm_enough(pending, state, &traffic)
        });
        unimpeded.next().map(|state| state.entry.id)
    }

    /// Returns the best of all servers, used in a cluster and when none of the first candidates is unimpeded.
    fn least_impeded(&self, id: RequestId, pending: &PendingRequest) -> Option<ServerId> {
        let traffic = LazyCell::new(|| self.traffic_within_quotas());
        let holders = self.slot_holders.holders(pending.slot);
        let mut best = None;
        for state in self.ready.of_class(pending.class).map(|server| &self.servers[&server]) {
            if pending.tried.contains(&state.entry.id) || !self.warm_enough(pending, state, &traffic) {
                continue;
            }
            let held_at =
                holders.iter().position(|id| *id == state.entry.id).filter(|at| *at == 0 || !pending.write);
            let not_holder = !holders.is_empty() && held_at.is_none();
            let replica = held_at.is_some_and(|at| at > 0);
            let score = rendezvous_score(pending.order_key, state.entry.id, self.weight(state));
            let rank = (
                not_holder,
                self.key_given_up(id, state),
                self.over_load_bound(pending, state),
                replica,
                score,
                state.entry.id,
            );
            if best.is_none_or(|b| rank < b) {
                best = Some(rank);
            }
        }
        best.map(|(.., server)| server)
    }

    /// Whether a server in trouble has given up this request's key.
    fn key_given_up(&self, id: RequestId, state: &ServerState) -> bool {
        state.key_share < 1.0 && unit_hash(id, state.entry.id, 1) >= state.key_share
    }

    /// Whether a server already has its share of this balancer's attempts in flight, times the load bound.
    fn over_load_bound(&self, pending: &PendingRequest, state: &ServerState) -> bool {
        let floor = (LOAD_BOUND_FLOOR / f64::from(self.settings.balancers.max(2))).max(2.0);
        let weight_share = self.weight(state) / self.ready.weight(pending.class);
        let bound = LOAD_BOUND_MULTIPLE * f64::from(self.cache_in_flight + 1) * weight_share;
        f64::from(state.in_flight) >= bound.max(floor)
    }

    /// Estimates the time in microseconds until a server has answered this balancer's attempts in flight, at
    /// the rate of its recent answers (Little's law). Every server is credited some answers, because one that
    /// has had few requests has answered little.
    fn backlog(&self, state: &ServerState) -> f64 {
        f64::from(state.in_flight) * self.max_target_latency as f64
            / (state.recent_answers(self.now, self.max_target_latency) + CREDITED_ANSWERS)
    }

    fn weight(&self, state: &ServerState) -> f64 {
        capacity(&self.settings, state) * kind_weight(&self.kinds, state.entry.kind)
    }

    /// Returns the share of its capacity that a server is guaranteed to have, given the time since its start.
    fn warm_share(&self, state: &ServerState) -> f64 {
        let age = self.now.saturating_sub(state.entry.started) as f64 / self.settings.warm_up.max(1) as f64;
        let cold_share = self.settings.cold_share;
        if state.entry.started == 0 { 1.0 } else { (cold_share + (1.0 - cold_share) * age).min(1.0) }
    }

    /// Protects a cold server from overload. It gets a share of its keys that grows as it warms up, the same
    /// keys from every balancer; at most a share of a warm server's request rate; and no request that another
    /// server has turned away. A key whose own traffic exceeds that share stays away, because the buckets of
    /// all balancers together would admit too much of it.
    fn warm_enough(
        &self,
        pending: &PendingRequest,
        state: &ServerState,
        traffic: &LazyCell<f64, impl FnOnce() -> f64>,
    ) -> bool {
        let warm_share = self.warm_share(state);
        if warm_share >= 1.0 {
            return true;
        }
        if !pending.tried.is_empty()
            || unit_hash(pending.order_key, state.entry.id, 1) >= warm_share
            || pending.popularity > warm_share
        {
            return false;
        }
        let (level, depth) = self.cold_bucket(pending, state, **traffic);
        level + 1.0 <= depth
    }

    /// Returns the rate in requests per second that this balancer admits, limited to its share of all
    /// tenants' quotas: in a burst over the quotas, the rates of all balancers at a cold server would add up
    /// to more than the servers can do.
    fn traffic_within_quotas(&self) -> f64 {
        let balancers = f64::from(self.settings.balancers.max(1));
        let quotas = self.gate.quota_share * balancers;
        if quotas <= 0.0 {
            return self.admitted.per_s;
        }
        let own: f64 = self.tenant_traffic.iter().map(|t| t.rate.per_s).sum();
        let total: f64 = (0..self.tenant_traffic.len()).map(|tenant| self.total_tenant_rate(tenant)).sum();
        self.admitted.per_s.min(own * quotas / total.max(1.0))
    }

    /// Returns the rate in requests per second of a tenant over all balancers. It is summed from the peers'
    /// messages; without them, all balancers are assumed to be alike.
    fn total_tenant_rate(&self, tenant: usize) -> f64 {
        let own = self.tenant_traffic[tenant].rate.per_s;
        let others = self.settings.balancers.max(2) - 1;
        let sampling_factor =
            f64::from(others) / f64::from(others.min(PEER_MESSAGE_LIFETIME * PEERS_PER_INTERVAL));
        let extrapolated = own * f64::from(self.settings.balancers.max(1));
        self.peers.tenant_rate(tenant).map_or(extrapolated, |sampled| own + sampled * sampling_factor)
    }

    /// Returns the minimum depth of the bucket at a cold server that may get `in_window` attempts per window
    /// from this balancer, for a key that was or was not requested before.
    fn min_cold_depth(&self, in_window: f64, requested_before: bool) -> f64 {
        match (self.settings.balancers > FEW_BALANCERS, requested_before) {
            (true, true) => COLD_DEPTH_REPEATED_KEY,
            (true, false) if in_window < COLD_RARE_ATTEMPTS => COLD_START_LEVEL,
            _ => COLD_DEPTH_NEW_KEY,
        }
    }

    /// Returns the level and the depth of the token bucket that limits attempts at a cold server, given its
    /// warm-up state and this balancer's traffic.
    fn cold_bucket(&self, pending: &PendingRequest, state: &ServerState, traffic: f64) -> (f64, f64) {
        let weighted_rate =
            self.settings.cold_rate_multiple * self.warm_share(state) * traffic * self.weight(state);
        let rate = weighted_rate / self.ready.weight(pending.class).max(0.01) / 1e6;
        let level = state.cold_bucket_level - rate * (self.now - state.last_used) as f64;
        let (span, depth) = (self.settings.crash_after / 2, rate * self.settings.crash_after as f64 / 2.0);
        let min_depth = self.min_cold_depth(2.0 * depth, pending.popularity > 0.0);
        // With hundreds of balancers, each one's share may be less than one attempt.
        let depth = match self.settings.origin_limits {
            Some(_) if depth < 1.0 => self.calls_this_turn(depth, span, u64::from(state.entry.id)),
            _ => depth.max(min_depth * self.process_share),
        };
        (level.max(0.0), depth)
    }

    /// Rounds a fractional share of calls to a whole number for this turn. The remainder is granted to some
    /// balancers in each turn, and to all of them over time, by balancer number and clock, so that the sum
    /// over all balancers holds without communication.
    fn calls_this_turn(&self, share: f64, span: Micros, offset: u64) -> f64 {
        let (balancers, turn) = (u64::from(self.settings.balancers.max(1)), self.now / span.max(1));
        let whole = share.floor();
        let grants = (share - whole) * balancers as f64;
        // A total of less than one call over all balancers counts as one, or no call would ever be made.
        let grants = if whole > 0.0 { grants } else { grants.max(1.0) };
        let skipped = (turn % balancers) * self.gate.stride + offset % balancers;
        let position = (u64::from(self.settings.own_index) + skipped) % balancers;
        whole + f64::from(u8::from(position as f64 + 1.0 <= grants))
    }

    /// Sends a fetch or a write to the origin, or postpones it if the gate is closed.
    fn call_origin(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let (key, call) = (
            self.pending_requests[&id].key,
            if self.pending_requests[&id].write { CallKind::Write } else { CallKind::Fetch },
        );
        let score = |server: &ServerId| rendezvous_score(id, *server, self.weight(&self.servers[server]));
        let by_score = |a: &&ServerId, b: &&ServerId| score(a).total_cmp(&score(b));
        let origin = self.ready.origins().iter().min_by(by_score).copied();
        let cache_server = || self.redirect_target(id).or_else(|| self.pick_server(id));
        let target = if self.settings.origin_kind.is_some() { origin } else { cache_server() };
        let Some(target) = target.filter(|_| self.gate_open(call)) else { return self.postpone(id, out) };
        if !self.send(id, target, call, out) {
            self.finish(id, out);
        } else if call == CallKind::Fetch && key != 0 {
            self.fetches.insert(key, id);
        }
    }

    /// Whether the gate admits one more call: within the limits on outstanding calls and on calls per window.
    fn gate_open(&mut self, call: CallKind) -> bool {
        if let Some(limits) = self.settings.origin_limits {
            return self.shared_gate_open(call, limits);
        }
        let rate = if self.gate.quota_share > 0.0 { self.gate.quota_share } else { self.admitted.per_s };
        let window = self.max_target_latency as f64 * GATE_WINDOW_SHARE;
        let max_window_calls =
            (rate * GATE_QUOTA_SHARE * self.process_share).max(GATE_MIN_CALLS_PER_S) * window / 1e6;
        self.gate.roll(self.now, window as Micros);
        let origin_gate = &self.gate;
        let room = |calls: u32, limit: f64| f64::from(calls + 1) <= limit.max(1.0);
        let outstanding_limit = origin_gate.limit * self.process_share;
        let has_room = |i: usize, part: f64| {
            room(origin_gate.outstanding[i], outstanding_limit * part)
                && room(origin_gate.window_calls[i], max_window_calls * part)
        };
        has_room(0, 1.0) && (call == CallKind::Write || has_room(1, GATE_FETCH_SHARE))
    }

    /// The gate where the origin's limits are stated for all balancers together: this balancer takes turns
    /// for its share of the outstanding calls and accumulates its share of the rate. A call may last into the
    /// next turn and take room from that turn's callers, so the longer calls take, the fewer may start.
    fn shared_gate_open(&mut self, call: CallKind, limits: OriginLimits) -> bool {
        let balancers = f64::from(self.settings.balancers.max(1));
        let span = ((self.min_target_latency as f64 * TURN_SPAN) as Micros).max(1);
        let start_share = span as f64 / (span as f64 + self.gate.recent_latency);
        let per_s = limits.max_calls_per_s / balancers * self.process_share;
        if per_s.is_finite() {
            self.gate.earn(self.now, per_s, (per_s * span as f64 / 1e6).max(MAX_SAVED_CALLS));
        } else {
            self.gate.credit = 1.0;
        }
        let outstanding_limit = |part: f64| {
            self.calls_this_turn(self.gate.limit * self.process_share * start_share * part, span, 0)
        };
        let room = |i: usize, part: f64| f64::from(self.gate.outstanding[i] + 1) <= outstanding_limit(part);
        self.gate.credit >= 1.0 && room(0, 1.0) && (call == CallKind::Write || room(1, GATE_FETCH_SHARE))
    }

    /// Delays a request that the gate stopped by a random time, if its answer can still be of use then.
    fn postpone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let pending = &self.pending_requests[&id];
        let target_latency = self.settings.classes[pending.class].target_latency as f64;
        let delay =
            (target_latency * self.rng.between((POSTPONE_MIN_SHARE, POSTPONE_MAX_SHARE))) as Micros + 1;
        if self.now + delay >= self.useful_until(pending) {
            return self.finish(id, out);
        }
        if let Some(pending) = self.pending_requests.get_mut(&id) {
            pending.wait_number += 1;
            self.timers.schedule_at(self.now + delay, TimerTask::Resume(id, pending.wait_number));
        }
    }

    /// Sends an attempt and returns `true`, or returns `false` if a rule forbids it. All attempts are sent
    /// here.
    fn send(&mut self, id: RequestId, server: ServerId, call: CallKind, out: &mut Vec<Action>) -> bool {
        let (Some(pending), Some(state)) = (self.pending_requests.get(&id), self.servers.get(&server)) else {
            return false;
        };
        let allowed = self.now < pending.deadline
            && u32::from(pending.attempts_sent) < self.settings.max_attempts
            && state.entry.condition == Condition::Ready
            && may_use(&self.settings.classes[pending.class], state)
            && (pending.outstanding == 0 || self.settings.may_duplicate)
            // Never cause an effect twice: only a safe request is repeated once it may have run.
            && (pending.may_have_run == 0 || self.settings.classes[pending.class].effect == Effect::Safe);
        if !allowed {
            return false;
        }
        // A warm server's bucket starts empty at its next restart.
        let cold_bucket_level = match self.warm_share(state) >= 1.0 {
            true => 0.0,
            false => self.cold_bucket(pending, state, self.traffic_within_quotas()).0 + 1.0,
        };
        let (attempt, sent_at, target_latency) =
            (pending.attempts_sent, self.now, self.settings.classes[pending.class].target_latency);
        let asking = pending.redirect.is_some_and(|(to, ask)| ask && to == server);
        let slow_after = (SLOW_QUARTILE_MULTIPLE * self.lower_quartiles[pending.class].value)
            .max(target_latency as f64 * SLOW_SHARE);
        let slow_after = slow_after.min(target_latency as f64 * SLOW_MAX_SHARE) as Micros;
        if let (Some(pending), Some(state)) =
            (self.pending_requests.get_mut(&id), self.servers.get_mut(&server))
        {
            (pending.attempts_sent, pending.outstanding, pending.may_have_run, pending.redirect) =
                (pending.attempts_sent + 1, pending.outstanding + 1, pending.may_have_run + 1, None);
            (state.in_flight, state.cold_bucket_level, state.last_used) =
                (state.in_flight + 1, cold_bucket_level, self.now);
        }
        if call == CallKind::Cache {
            self.cache_in_flight += 1;
            self.schedule_after(slow_after, TimerTask::CheckSlow(id, attempt));
        } else {
            self.gate.enter(call);
        }
        self.sent_attempts
            .insert((id, attempt), SentAttempt { server, call, sent_at, target_latency, slow_after });
        out.push(Action::Send { request: id, server, timeout: 0, asking });
        true
    }

    /// Handles the end of an attempt: its request is answered, retried, postponed or finished.
    fn on_outcome(&mut self, result: Outcome, out: &mut Vec<Action>) {
        let Some(sent_attempt) = self.sent_attempts.remove(&(result.request, result.attempt)) else { return };
        self.record_outcome(&sent_attempt, &result, out);
        self.close_drained(sent_attempt.server, true, out);
        let Some(pending) = self.pending_requests.get_mut(&result.request) else { return };
        pending.outstanding -= 1;
        pending.may_have_run -= u16::from(result.status.proves_not_run());
        pending.missed |= result.status == Status::Miss;
        let redirected = matches!(result.status, Status::Redirected { .. });
        if redirected || (sent_attempt.call == CallKind::Cache && result.status != Status::Miss) {
            pending.tried.push(sent_attempt.server);
        }
        let (key, others_outstanding, class) = (pending.key, pending.outstanding > 0, pending.class);
        if sent_attempt.call == CallKind::Cache && result.status == Status::Served {
            self.lower_quartiles[class].observe(
                (self.now - sent_attempt.sent_at) as f64,
                QUARTILE,
                sent_attempt.target_latency as f64,
                (QUARTILE_FIRST_STEP, QUARTILE_MIN_STEP),
            );
        }
        if sent_attempt.call == CallKind::Fetch {
            self.fetches.remove(&key);
        }
        if result.request_finished || result.status == Status::Served {
            return self.forget(result.request);
        }
        if others_outstanding && result.status != Status::Miss {
            return; // The other attempts decide, except that a miss is fetched at once.
        }
        if let Status::Redirected { to, ask } = result.status {
            return self.on_redirect(result.request, sent_attempt.call, to, ask, out);
        }
        if sent_attempt.call != CallKind::Cache && result.status == Status::Rejected {
            return self.postpone(result.request, out);
        }
        // A miss or a failed connection cost the server no work, and a cancelled attempt took its retry when
        // it was cancelled.
        let costs_no_retry = matches!(
            result.status,
            Status::Miss | Status::ConnectFailed | Status::NotSent | Status::Cancelled
        );
        if !costs_no_retry && !self.take_retry(class, result.status == Status::Rejected) {
            return self.finish(result.request, out);
        }
        self.advance(result.request, out);
    }

    /// Takes a retry from the budget, if the class allows one: an attempt that may have run is repeated only
    /// if the class is safe.
    fn take_retry(&mut self, class: usize, not_run: bool) -> bool {
        let allowed = not_run || self.settings.classes[class].effect == Effect::Safe;
        let granted = allowed && self.retry_budget >= 1.0;
        self.retry_budget -= f64::from(u8::from(granted));
        granted
    }

    /// Records what an outcome says about its server and the load of the fleet, or about the origin.
    fn record_outcome(&mut self, sent_attempt: &SentAttempt, result: &Outcome, out: &mut Vec<Action>) {
        let Some(state) = self.servers.get_mut(&sent_attempt.server) else { return };
        state.in_flight = state.in_flight.saturating_sub(1);
        state.last_outcome = self.now;
        if !matches!(result.status, Status::Reset | Status::ConnectFailed) {
            self.connected.insert(sent_attempt.server);
        }
        let not_made =
            result.status == Status::ConnectFailed && result.elapsed >= self.settings.connect_timeout;
        // Counted only if the server has answered others here: a server that answers nobody may be
        // partitioned or dead.
        let reached = state.last_answer >= sent_attempt.sent_at;
        self.slow_connects.add(f64::from(u8::from(not_made && reached)), 1.0);
        if sent_attempt.call != CallKind::Cache {
            return self.record_origin_outcome(sent_attempt, result, out);
        }
        self.cache_in_flight -= 1;
        if let Some(busy) = result.load.value(&self.settings.load_fields, LoadField::Busy) {
            self.kinds.entry(state.entry.kind).or_default().busy.add(busy, 1.0);
        }
        if matches!(result.status, Status::Served | Status::Miss | Status::Rejected) {
            state.answer_count = 1.0 + state.recent_answers(self.now, sent_attempt.target_latency);
            state.last_answer = self.now;
        }
        // A late answer was counted when it became late: waiting for its end would delay the detection of
        // overload.
        if self.now - sent_attempt.sent_at < sent_attempt.slow_after {
            use Status::{Miss, NotSent, Redirected, Served, TimedOut};
            let is_trouble = !matches!(result.status, Served | Miss | NotSent | TimedOut | Redirected { .. });
            self.record_trouble(sent_attempt.server, f64::from(u8::from(is_trouble)), 1.0);
        }
    }

    /// Records signs of trouble of a server. They count as overload of the fleet in proportion to the keys
    /// that the server keeps: known trouble is not overload.
    fn record_trouble(&mut self, server: ServerId, cases: f64, total: f64) {
        let Some(state) = self.servers.get_mut(&server) else { return };
        self.overload.add(cases * state.key_share, total * state.key_share);
        state.trouble.add(cases, total);
        self.observed.insert(server);
    }

    /// Lowers the gate's limit, down to a minimum, when the origin is slow, fails or refuses; raises it again
    /// on good answers.
    fn record_origin_outcome(&mut self, sent_attempt: &SentAttempt, result: &Outcome, out: &mut Vec<Action>) {
        let slow =
            self.now - sent_attempt.sent_at > (self.min_target_latency as f64 * GATE_SLOW_SHARE) as Micros;
        let origin_gate = &mut self.gate;
        origin_gate.leave(sent_attempt.call);
        origin_gate.recent_latency += (result.elapsed as f64 - origin_gate.recent_latency) * LATENCY_GAIN;
        origin_gate.usual_latency += (result.elapsed as f64 - origin_gate.usual_latency) * USUAL_LATENCY_GAIN;
        let limit_before = origin_gate.limit;
        if result.status == Status::Served && !slow {
            origin_gate.limit = (origin_gate.limit + 1.0 / origin_gate.limit).min(origin_gate.max_limit);
        } else if origin_gate.max_limit >= 1.0
            // A limit of less than one call is not cut: longer calls already leave fewer turns.
            && !matches!(result.status, Status::NotSent | Status::Redirected { .. })
            && sent_attempt.sent_at >= origin_gate.last_cut
        {
            origin_gate.last_cut = self.now; // One cut for all calls that were outstanding together.
            origin_gate.limit =
                (origin_gate.limit * GATE_CUT_FACTOR).max(origin_gate.max_limit * GATE_FLOOR_SHARE);
        }
        log_threshold_crossing(
            out,
            limit_before,
            origin_gate.limit,
            origin_gate.max_limit / 4.0,
            "gate lowered: origin slow, failing or refusing calls",
            "gate restored: origin answers well again",
        );
    }

    /// Moves keys away from servers in trouble. In a large tier, one balancer sends a server a request only
    /// every few seconds and cannot judge it alone: servers with more signs of trouble than most, seen here
    /// and by peers, lose keys to the next server in order, slowly.
    fn review_servers(&mut self, overload: Ratio, period: Micros) {
        let trouble_limit = TROUBLE_BASE + TROUBLE_FLEET_MULTIPLE * overload.value();
        let shared_cause = self.most_in_trouble();
        let peer_trouble = self.peers.trouble();
        let step = period as f64 / self.settings.warm_up.max(1) as f64;
        let mean_attempts = overload.total / self.ready.count().max(1) as f64;
        // All other servers have no sign of trouble, here or at peers, and keep all of their keys.
        self.observed.extend(peer_trouble.keys());
        self.observed.retain(|id| {
            let Some(state) = self.servers.get_mut(id) else { return false };
            let mut trouble = state.trouble;
            trouble.add(peer_trouble.get(id).copied().unwrap_or(0.0), 0.0);
            let in_trouble =
                trouble.cases > trouble_limit * (mean_attempts * state.key_share).max(trouble.total) + 1.0;
            state.key_share = if in_trouble && !shared_cause {
                (state.key_share * KEY_SHARE_DECAY).max(MIN_KEY_SHARE)
            } else {
                (state.key_share + step).min(1.0)
            };
            state.trouble.decay(REVIEW_DECAY);
            if state.trouble.is_negligible() {
                state.trouble = Ratio::default();
            }
            state.key_share < 1.0 || state.trouble.total > 0.0 || state.trouble.cases > 0.0
        });
    }

    /// Whether the ready cache servers keep less than a given mean share of their keys: then the cause is
    /// shared, and moving their keys would overload the rest.
    fn most_in_trouble(&self) -> bool {
        let observed = self.observed.iter().filter_map(|id| self.servers.get(id));
        let ready = observed.filter(|state| state.entry.condition == Condition::Ready && !state.is_origin);
        let moved_share: f64 = ready.map(|state| 1.0 - state.key_share).sum();
        self.ready.count() as f64 * (1.0 - AVOIDED_KEY_SHARE) < moved_share
    }

    /// Adapts to unequal servers: a machine kind whose load reports show it busier than the rest gets a
    /// smaller weight. It changes slowly, because reports are late. All balancers see a kind alike, so that
    /// their orders stay alike. This does harm when a kind is busy for a reason other than its requests.
    fn update_kind_weights(&mut self) {
        let mut all_kinds = Ratio::default();
        self.kinds
            .values()
            .for_each(|machine_kind| all_kinds.add(machine_kind.busy.cases, machine_kind.busy.total));
        for machine_kind in self.kinds.values_mut().filter(|machine_kind| machine_kind.busy.total >= 1.0) {
            machine_kind.weight *= 1.0 + KIND_WEIGHT_STEP * (all_kinds.value() - machine_kind.busy.value());
            machine_kind.weight = machine_kind.weight.clamp(KIND_WEIGHT_MIN, 1.0 / KIND_WEIGHT_MIN);
            machine_kind.busy.decay(KIND_LOAD_DECAY);
        }
        self.ready.reweigh(|kind| kind_weight(&self.kinds, kind));
    }

    /// Handles an attempt that has been unanswered for long: records a sign of overload and tries another
    /// server.
    fn on_slow_attempt(&mut self, id: RequestId, attempt: u16, out: &mut Vec<Action>) {
        let Some(&sent_attempt) = self.sent_attempts.get(&(id, attempt)) else { return };
        let age = self.now - sent_attempt.sent_at;
        if age >= sent_attempt.target_latency {
            return;
        }
        // Half a sign is counted, with the attempt, when it becomes slow, and half when it is nearly late: a
        // slow attempt is not lost yet.
        let nearly_late = (2 * sent_attempt.slow_after)
            .min((sent_attempt.target_latency as f64 * NEARLY_LATE_MAX_SHARE) as Micros)
            + 1;
        let first_check = age < nearly_late;
        self.record_trouble(sent_attempt.server, 0.5, f64::from(u8::from(first_check)));
        if first_check {
            self.schedule_after(nearly_late - age, TimerTask::CheckSlow(id, attempt));
            self.hedge_or_cancel(id, attempt, sent_attempt.server, out);
        }
    }

    /// Hedges or cancels a slow attempt. Where a balancer sends a server too few requests to judge it, each
    /// request protects itself: an attempt that stays unanswered is hedged at the next server, or cancelled
    /// and sent there. This covers lost answers, dead connections, and servers that hang, slow down or are
    /// full. Its cost is duplicate work, limited by the retry budget.
    fn hedge_or_cancel(&mut self, id: RequestId, attempt: u16, server: ServerId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending_requests.get(&id).filter(|r| r.outstanding == 1) else { return };
        let (may_hedge, class) = (self.settings.may_duplicate, pending.class);
        let possible = (may_hedge || self.settings.may_cancel)
            && u32::from(pending.attempts_sent) < self.settings.max_attempts;
        if !possible || self.quota_multiple < QUOTA_MULTIPLE_MAX || self.now >= self.useful_until(pending) {
            return;
        }
        self.pending_requests.entry(id).and_modify(|r| r.tried.push(server));
        // With no other server to try, a cancelled attempt would only end in a refusal.
        let Some(next) = self.pick_server(id) else { return };
        if !self.take_retry(class, false) {
        } else if may_hedge {
            self.send(id, next, CallKind::Cache, out);
        } else {
            out.push(Action::Cancel { request: id, attempt });
        }
    }

    /// Sends the final answer of a request without a result: a refusal with a retry delay if nothing can have
    /// taken effect, else a failure. All such answers are sent here.
    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.pending_requests.get(&id) else { return };
        let class = &self.settings.classes[pending.class];
        let retry_after = (class.target_latency as f64
            * self.rng.between((POSTPONE_MIN_SHARE, POSTPONE_MAX_SHARE))) as Micros
            + 1;
        let nothing_ran = class.effect == Effect::Safe || pending.may_have_run == 0;
        out.push(if nothing_ran { Action::Refuse { request: id, retry_after } } else { Action::Fail(id) });
        self.forget(id);
    }

    /// Brings the deadlines of all pending requests forward to the end of the process.
    fn on_answer_deadline(&mut self, at: Micros) {
        self.answer_deadline = at;
        for (id, pending) in self.pending_requests.iter_mut().filter(|(_, pending)| pending.deadline > at) {
            pending.deadline = at;
            self.timers.schedule_at(at, TimerTask::Deadline(*id));
        }
    }

    /// Drops a request, and its claim to fetch its key.
    fn forget(&mut self, id: RequestId) {
        if let Some(pending) =
            self.pending_requests.remove(&id).filter(|pending| self.fetches.get(&pending.key) == Some(&id))
        {
            self.fetches.remove(&pending.key);
        }
    }

    /// Applies a server list or a change of it.
    fn on_server_list(&mut self, kind: ListKind, entries: Vec<ServerEntry>, out: &mut Vec<Action>) {
        if kind != ListKind::Cached {
            self.subscribed = true;
        }
        if kind == ListKind::Delta && entries.is_empty() {
            return;
        }
        if kind != ListKind::Delta {
            self.servers.values_mut().for_each(|state| state.entry.condition = Condition::Gone);
            self.gone.extend(self.servers.keys());
        }
        let just_started = f64::from(self.reviews) < POPULARITY_SPAN * REVIEWS_PER_TARGET_LATENCY;
        for entry in entries {
            let state = self
                .servers
                .entry(entry.id)
                .or_insert_with(|| ServerState { key_share: 1.0, ..ServerState::default() });
            state.is_origin = self.settings.origin_kind == Some(entry.kind);
            // A restarted process begins without a record of trouble.
            if entry.started > state.entry.started {
                state.key_share = 1.0;
                // If many balancers could send an attempt at once, a cold server would get a burst: their
                // buckets start at random levels. A balancer that has just started does not know which keys
                // are popular yet and starts with no attempt to send.
                let random_offset = self.rng.unit();
                let level = if just_started {
                    COLD_START_LEVEL - 1.0 + random_offset
                } else {
                    COLD_START_LEVEL * random_offset
                };
                (state.cold_bucket_level, state.last_used) = (level, self.now);
            }
            let id = entry.id;
            state.entry = entry;
            if state.key_share < 1.0 {
                self.observed.insert(id);
            }
            match state.entry.condition {
                Condition::Gone => self.gone.insert(id),
                _ => self.gone.remove(&id),
            };
            self.close_drained(id, true, out);
        }
        let (settings, kinds) = (&self.settings, &self.kinds);
        self.ready.rebuild(
            &settings.classes,
            &self.servers,
            |state| capacity(settings, state),
            |kind| kind_weight(kinds, kind),
        );
    }

    /// Closes idle connections to a server that is not ready: at the notice, after each outcome there, and
    /// once more later for a connection that was being opened at the notice.
    fn close_drained(&mut self, server: ServerId, repeat_later: bool, out: &mut Vec<Action>) {
        let Some(close_limit) = self.settings.drain_close_limit else { return };
        if self.servers.get(&server).is_some_and(|state| state.entry.condition != Condition::Ready) {
            out.push(Action::CloseIdle(server));
            if repeat_later {
                self.schedule_after(close_limit / 2, TimerTask::CloseDrained(server));
            }
        }
    }

    /// Subscribes to changes of the server list, and again when no list comes: a balancer that does not ask
    /// is taken to know of changes after a while.
    fn subscribe(&mut self, out: &mut Vec<Action>) {
        if self.settings.pull_discovery && !self.subscribed && self.now >= self.next_subscribe_at {
            out.push(Action::Subscribe(true));
            self.next_subscribe_at =
                self.now + self.settings.change_notice_limit.max(self.max_target_latency);
            self.schedule_after(
                self.settings.change_notice_limit.max(self.max_target_latency),
                TimerTask::Subscribe,
            );
        }
    }

    /// Retries discovery after a random delay: it has little capacity, so that balancers must not all ask at
    /// once, but each must ask before the changes count as known to it.
    fn on_discovery_failure(&mut self, out: &mut Vec<Action>) {
        let base = (self.settings.change_notice_limit / 2).min(DISCOVERY_RETRY_US);
        let delay = (base as f64 * (0.5 + self.rng.unit())) as Micros;
        (self.subscribed, self.next_subscribe_at) = (false, self.now + delay);
        self.schedule_after(delay, TimerTask::Subscribe);
        out.push(Action::Log("discovery call failed or subscription lost; retrying".into()));
    }

    /// Periodic control step: adjusts the tenants' quota multiple to the recent overload, reviews servers and
    /// connections, and reports the traffic to peers.
    fn review(&mut self, out: &mut Vec<Action>) {
        let period =
            (self.max_target_latency / REVIEWS_PER_TARGET_LATENCY as Micros).max(self.settings.tick).max(1);
        let multiple_before = self.quota_multiple;
        let overload = self.peers.overload(&self.overload);
        self.review_servers(overload, period);
        self.update_kind_weights();
        let overload = overload.value();
        let (floor, hold_at_quota) = if overload > OVERLOAD_BELOW_QUOTA {
            (QUOTA_MULTIPLE_MIN, false)
        } else {
            (QUOTA_MULTIPLE_START, overload > OVERLOAD_AT_QUOTA)
        };
        self.quota_multiple = match overload > OVERLOAD_BELOW_QUOTA
            || (hold_at_quota && multiple_before > QUOTA_MULTIPLE_START)
        {
            true => (multiple_before * QUOTA_MULTIPLE_CUT).max(floor),
            false => (multiple_before * QUOTA_MULTIPLE_RAISE).min(if hold_at_quota {
                QUOTA_MULTIPLE_START
            } else {
                QUOTA_MULTIPLE_MAX
            }),
        };
        log_threshold_crossing(
            out,
            multiple_before,
            self.quota_multiple,
            QUOTA_MULTIPLE_MAX,
            "overload: limiting tenants to a multiple of their quotas",
            "overload ended: tenants are no longer limited",
        );
        self.overload.decay(REVIEW_DECAY);
        self.popularity.decay(1.0 - period as f64 / (POPULARITY_SPAN * self.max_target_latency as f64));
        self.admitted.roll(period);
        self.gate.recent_latency += (self.gate.usual_latency - self.gate.recent_latency) * LATENCY_RETURN;
        self.tenant_traffic.iter_mut().for_each(|t| t.rate.roll(period));
        self.reviews += 1;
        self.peers.forget_silent_since(
            self.now.saturating_sub(period * Micros::from(PEER_MESSAGE_INTERVAL * PEER_MESSAGE_LIFETIME)),
        );
        if self.settings.may_message_peers && self.reviews.is_multiple_of(PEER_MESSAGE_INTERVAL) {
            self.send_peer_reports(out);
        }
        self.close_idle_connections(overload, out);
        self.forget_gone();
        self.schedule_after(period, TimerTask::Review);
    }

    /// Forgets the servers that have left and have no attempt outstanding.
    fn forget_gone(&mut self) {
        let servers = &mut self.servers;
        let finished =
            self.gone.extract_if(.., |id| servers.get(id).is_none_or(|state| state.in_flight == 0));
        for id in finished.collect::<Vec<_>>() {
            servers.remove(&id);
            self.connected.remove(&id);
            self.observed.remove(&id);
        }
    }

    /// Idle connections are normally kept, because new ones cost time, work and a price. In overload they are
    /// closed: a request sent on one may be lost unnoticed, and full connection tables use capacity and shut
    /// other balancers out. They are kept, though, while servers that can be reached fail to accept new ones
    /// in time; but only for a while, because if all balancers keep theirs, the tables fill up and new
    /// connections fail for that very reason. When the overload has another cause, closing makes many
    /// requests pay for a new connection.
    fn close_idle_connections(&mut self, overload: f64, out: &mut Vec<Action>) {
        self.idle_kept_reviews =
            if self.slow_connects.value() < SLOW_CONNECT_SHARE { 0 } else { self.idle_kept_reviews + 1 };
        if overload > OVERLOAD_AT_QUOTA
            && (self.idle_kept_reviews == 0
                || f64::from(self.idle_kept_reviews) > KEEP_IDLE_SPAN * REVIEWS_PER_TARGET_LATENCY)
        {
            let since = self.now.saturating_sub((self.max_target_latency as f64 * IDLE_AFTER) as Micros);
            let servers = &self.servers;
            let idle = |id: &ServerId| {
                servers.get(id).is_none_or(|state| {
                    state.in_flight == 0 && state.last_outcome.max(state.last_used) <= since
                })
            };
            out.extend(self.connected.extract_if(.., idle).map(Action::CloseIdle));
        }
        self.slow_connects.decay(SLOW_CONNECT_DECAY);
    }

    /// Sends the next few peers a message with the traffic and the overload seen here.
    fn send_peer_reports(&mut self, out: &mut Vec<Action>) {
        let trouble = self.observed.iter().filter_map(|id| Some((*id, self.servers.get(id)?.trouble.cases)));
        let bytes = PeerReports::encode(&self.overload, &self.tenant_traffic, trouble);
        let others = self.settings.balancers.saturating_sub(1);
        for _ in 0..others.min(PEERS_PER_INTERVAL) {
            self.last_peer = self.last_peer % others + 1;
            let to = (self.settings.own_index + self.last_peer) % (others + 1);
            out.push(Action::SendToPeer { to: Some(to), bytes: bytes.clone() });
        }
    }
}

/// Returns a server's relative capacity, where the list states it.
fn capacity(settings: &Settings, state: &ServerState) -> f64 {
    if settings.weights_are_capacities { f64::from(state.entry.weight).max(0.01) } else { 1.0 }
}

/// Returns the weight factor of a machine kind.
fn kind_weight(kinds: &BTreeMap<u16, MachineKind>, kind: u16) -> f64 {
    kinds.get(&kind).map_or(1.0, |machine_kind| machine_kind.weight)
}
