//! The state that a balancer keeps in memory: plain types, the timer queue, random numbers and the hash. It
//! decides nothing.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use oorandom::Rand64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::interface::{Action, Key, Micros, RequestId, ServerEntry, ServerId, SlotRange};

/// What an attempt is for.
#[derive(Clone, Copy, PartialEq)]
pub enum CallKind {
    Cache,
    Fetch,
    Write,
}

/// An attempt that was sent and has no outcome yet; it may outlive its request.
#[derive(Clone, Copy)]
pub struct SentAttempt {
    pub server: ServerId,
    pub call: CallKind,
    pub sent_at: Micros,
    pub target_latency: Micros,
    /// Time without an answer after which the attempt counts as slow.
    pub slow_after: Micros,
}

/// A server of the list, and what this balancer has observed of it.
#[derive(Default)]
pub struct ServerState {
    pub entry: ServerEntry,
    pub is_origin: bool,
    pub in_flight: u32,
    /// Time of its last answer.
    pub last_answer: Micros,
    /// Answers within about one target latency, as a decaying count.
    pub answer_count: f64,
    /// Signs of trouble in its recent attempts.
    pub trouble: Ratio,
    /// Share of its keys that the server keeps: 1 in normal operation, less while it is in trouble.
    pub key_share: f64,
    /// Time of its last outcome.
    pub last_outcome: Micros,
    /// Time of the last attempt sent to it, or of its last known start.
    pub last_used: Micros,
    /// Level, at `last_used`, of the bucket that limits attempts at the server while it is cold.
    pub cold_bucket_level: f64,
}

impl ServerState {
    /// Returns the decayed count of answers at time `now`, with time constant `span`.
    pub fn recent_answers(&self, now: Micros, span: Micros) -> f64 {
        self.answer_count * (-((now - self.last_answer) as f64) / span as f64).exp()
    }
}

/// A request that has no final answer yet.
#[derive(Default)]
pub struct PendingRequest {
    pub class: usize,
    pub key: Key,
    /// The key, or the part of a popular key, that determines the order of servers.
    pub order_key: Key,
    /// The key's share of the recent traffic here, in multiples of a server's mean share.
    pub popularity: f64,
    pub write: bool,
    /// Whether a cache server had no value for the key.
    pub missed: bool,
    /// Time until which an answer earns the full worth.
    pub target_at: Micros,
    pub deadline: Micros,
    pub attempts_sent: u16,
    /// Number of attempts that have no outcome yet.
    pub outstanding: u16,
    /// Number of attempts that are running or may have run.
    pub may_have_run: u16,
    /// Servers that are not to be tried again.
    pub tried: Vec<ServerId>,
    /// The key's slot, where the cache servers form a cluster.
    pub slot: Option<u16>,
    /// The server that a redirection named, and whether the attempt has to announce itself as part of a slot
    /// migration (`ASKING`).
    pub redirect: Option<(ServerId, bool)>,
    /// Number of the current wait; a timer for an earlier wait is ignored.
    pub wait_number: u32,
}

/// A task that runs at a scheduled time. `Resume` also carries the number of the wait that it ends,
/// `CheckSlow` the number of the attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerTask {
    Deadline(RequestId),
    Resume(RequestId, u32),
    CheckSlow(RequestId, u16),
    Subscribe,
    CloseDrained(ServerId),
    Review,
}

/// Limits calls to the origin. Counters come in pairs: calls of all kinds, and fetches alone.
#[derive(Default)]
pub struct OriginGate {
    /// Current and highest limit of outstanding calls.
    pub limit: f64,
    pub max_limit: f64,
    pub outstanding: [u32; 2],
    pub window_calls: [u32; 2],
    pub window_start: Micros,
    /// When the limit was last lowered.
    pub last_cut: Micros,
    /// This balancer's equal share of the sum of all quotas, in requests per second; 0 without quotas.
    pub quota_share: f64,
    /// Calls earned at a stated rate and not made yet, and the time up to which they are counted.
    pub credit: f64,
    pub earned_until: Micros,
    /// Distance by which this balancer's position advances from turn to turn.
    pub stride: u64,
    /// The recent and the usual latency of calls, in microseconds.
    pub recent_latency: f64,
    pub usual_latency: f64,
}

impl OriginGate {
    /// Counts a call that is about to start.
    pub fn enter(&mut self, call: CallKind) {
        for i in 0..=usize::from(call == CallKind::Fetch) {
            self.outstanding[i] += 1;
            self.window_calls[i] += 1;
        }
        self.credit -= 1.0;
    }

    /// Adds the calls earned since the last update at a rate per second, up to `max`: a rate of less than one
    /// call per window accumulates over several windows.
    pub fn earn(&mut self, now: Micros, per_s: f64, max: f64) {
        let earned = per_s * now.saturating_sub(self.earned_until) as f64 / 1e6;
        self.credit = (self.credit + earned).min(max);
        self.earned_until = now;
    }

    /// Starts a new window if the current one is over.
    pub fn roll(&mut self, now: Micros, window: Micros) {
        if now >= self.window_start + window {
            (self.window_start, self.window_calls) = (now, [0, 0]);
        }
    }

    /// Removes a finished call from the outstanding ones, whatever its outcome.
    pub fn leave(&mut self, call: CallKind) {
        for i in 0..=usize::from(call == CallKind::Fetch) {
            self.outstanding[i] -= 1;
        }
    }
}

/// State of a machine kind: the factor on its weight, and the CPU use in its load reports.
pub struct MachineKind {
    pub weight: f64,
    pub busy: Ratio,
}

impl Default for MachineKind {
    fn default() -> Self {
        MachineKind { weight: 1.0, busy: Ratio::default() }
    }
}

/// Decaying counts of the recent requests here for each key.
#[derive(Default)]
pub struct KeyPopularity {
    counts: BTreeMap<Key, f64>,
    total: f64,
}

impl KeyPopularity {
    /// Counts a request for a key and returns the key's share of the requests before it.
    pub fn record_request(&mut self, key: Key) -> f64 {
        let count = self.counts.entry(key).or_default();
        let share = *count / self.total.max(1.0);
        *count += 1.0;
        self.total += 1.0;
        share
    }

    /// Decays all counts by the factor `keep` and forgets keys with negligible counts.
    pub fn decay(&mut self, keep: f64) {
        self.total *= keep;
        self.counts.retain(|_, count| {
            *count *= keep;
            *count > 0.1
        });
    }
}

/// A decayed count below this is treated as 0.
const NEGLIGIBLE: f64 = 0.01;

/// A ratio of two decaying counts: the cases among all that were counted.
#[derive(Default, Clone, Copy)]
pub struct Ratio {
    pub cases: f64,
    pub total: f64,
}

impl Ratio {
    /// Adds `cases` cases among `total`.
    pub fn add(&mut self, cases: f64, total: f64) {
        self.cases += cases;
        self.total += total;
    }

    /// Returns the cases as a share of the total.
    pub fn value(&self) -> f64 {
        self.cases / self.total.max(1.0)
    }

    /// Decays both counts by the factor `keep`.
    pub fn decay(&mut self, keep: f64) {
        self.cases *= keep;
        self.total *= keep;
    }

    /// Whether both counts have become negligible.
    pub fn is_negligible(&self) -> bool {
        self.cases < NEGLIGIBLE && self.total < NEGLIGIBLE
    }
}

/// Running estimate of a quantile, adjusted in steps that shrink to a minimum.
#[derive(Clone)]
pub struct Quantile {
    pub value: f64,
    observations: f64,
}

impl Quantile {
    /// Creates an estimate with an initial guess.
    pub fn starting_at(value: f64) -> Self {
        Quantile { value, observations: 0.0 }
    }

    /// Updates the estimate of the quantile `level` with an observation. The first and the minimum step are
    /// fractions of `scale`.
    pub fn observe(&mut self, value: f64, level: f64, scale: f64, (first_step, min_step): (f64, f64)) {
        self.observations += 1.0;
        let step = scale * (first_step / self.observations).max(min_step);
        self.value += if value > self.value { step * level } else { -step * (1.0 - level) };
    }
}

/// Returns the distance by which positions advance from turn to turn. It is close to 0.618 (the golden ratio)
/// times the number of balancers, so that the turns of each balancer are evenly spaced however many positions
/// are granted at once, and coprime with that number, so that every balancer gets a turn.
pub fn stride(balancers: u32) -> u64 {
    let balancers = u64::from(balancers.max(1));
    let gcd = |mut a: u64, mut b: u64| {
        while b > 0 {
            (a, b) = (b, a % b);
        }
        a
    };
    let golden = (balancers as f64 * 0.618).round() as u64;
    (1..=golden).rev().find(|step| gcd(*step, balancers) == 1).unwrap_or(1)
}

/// Rate of events per second, smoothed over about a second.
#[derive(Default, Clone)]
pub struct Rate {
    counted: f64,
    pub per_s: f64,
}

impl Rate {
    /// Counts an event.
    pub fn count(&mut self) {
        self.counted += 1.0;
    }

    /// Ends a period and updates the rate with the events counted in it.
    pub fn roll(&mut self, period: Micros) {
        let seconds = period as f64 / 1e6;
        self.per_s += (self.counted / seconds - self.per_s) * seconds.min(1.0);
        self.counted = 0.0;
    }
}

/// A tenant's traffic at this balancer, and the fraction of an admission that it has accumulated.
#[derive(Default, Clone)]
pub struct TenantTraffic {
    pub rate: Rate,
    pub credit: f64,
}

/// A balancer's report to its peers: requests per second of each tenant, its signs of overload, and the signs
/// of trouble of servers.
#[derive(Default)]
pub struct PeerReport {
    pub tenant_rates: Vec<f64>,
    pub overload: Ratio,
    pub trouble: Vec<(ServerId, f64)>,
}

/// The latest report of each peer, and when it was received.
#[derive(Default)]
pub struct PeerReports(BTreeMap<u32, (Micros, PeerReport)>);

impl PeerReports {
    /// Encodes a report in at most 256 bytes. Numbers are the upper halves of 32-bit floats (bfloat16): the
    /// two counts of overload, then a rate for each tenant (up to 64), then the servers with signs of
    /// trouble, 6 bytes each, those in the worst trouble first.
    pub fn encode(
        overload: &Ratio,
        tenant_traffic: &[TenantTraffic],
        trouble: impl Iterator<Item = (ServerId, f64)>,
    ) -> Vec<u8> {
        let to_bf16 = |f: f64| (((f as f32).to_bits() >> 16) as u16).to_le_bytes();
        let rates = tenant_traffic.iter().take(64).map(|t| t.rate.per_s);
        let mut bytes: Vec<u8> =
            [overload.cases, overload.total].into_iter().chain(rates).flat_map(to_bf16).collect();
        let mut by_trouble: Vec<_> = trouble.filter(|(_, cases)| *cases >= 0.25).collect();
        by_trouble.sort_by(|a, b| b.1.total_cmp(&a.1));
        for (id, cases) in by_trouble.into_iter().take(16) {
            bytes.extend(id.to_le_bytes());
            bytes.extend(to_bf16(cases));
        }
        bytes
    }

    /// Stores a peer's report; numbers that no peer would send (negative or not finite) count as 0.
    pub fn receive(&mut self, now: Micros, from: u32, bytes: &[u8], tenants: usize) {
        let from_bf16 =
            |c: &[u8]| f64::from(f32::from_bits(u32::from(u16::from_le_bytes([c[0], c[1]])) << 16));
        let decode = |c: &[u8]| Some(from_bf16(c)).filter(|f| f.is_finite() && *f >= 0.0).unwrap_or(0.0);
        let (numbers, servers) = bytes.split_at((4 + 2 * tenants.min(64)).min(bytes.len()));
        let mut numbers = numbers.chunks_exact(2).map(decode);
        let mut next = || numbers.next().unwrap_or(0.0);
        let overload = Ratio { cases: next(), total: next() };
        let server = |c: &[u8]| (ServerId::from_le_bytes([c[0], c[1], c[2], c[3]]), decode(&c[4..]));
        let trouble = servers.chunks_exact(6).map(server).collect();
        self.0.insert(from, (now, PeerReport { tenant_rates: numbers.collect(), overload, trouble }));
    }

    /// Returns the sum of the peers' signs of trouble for each server.
    pub fn trouble(&self) -> BTreeMap<ServerId, f64> {
        let mut sums = BTreeMap::new();
        for (server, cases) in self.0.values().flat_map(|(_, report)| &report.trouble) {
            *sums.entry(*server).or_default() += cases;
        }
        sums
    }

    /// Returns the sum of a tenant's rates at the peers; `None` if there is no report.
    pub fn tenant_rate(&self, tenant: usize) -> Option<f64> {
        (!self.0.is_empty())
            .then(|| self.0.values().filter_map(|(_, report)| report.tenant_rates.get(tenant)).sum())
    }

    /// Returns the signs of overload here and at the peers together.
    pub fn overload(&self, own: &Ratio) -> Ratio {
        let mut combined = *own;
        self.0.values().for_each(|(_, report)| combined.add(report.overload.cases, report.overload.total));
        combined
    }

    /// Discards the reports received before `time`.
    pub fn forget_silent_since(&mut self, time: Micros) {
        self.0.retain(|_, (received, _)| *received >= time);
    }
}

/// Number of slots in a cluster.
const SLOT_COUNT: usize = 16_384;

/// Which servers of a cluster hold which slots; empty if the servers form no cluster.
#[derive(Default)]
pub struct SlotHolders {
    /// For each slot, an index into `holder_sets`; 0 if its holders are unknown.
    holder_index: Vec<u32>,
    holder_sets: Vec<Vec<ServerId>>,
}

impl SlotHolders {
    /// Applies a complete slot map, or a partial one that replaces the slots it names.
    pub fn update(&mut self, whole: bool, ranges: Vec<SlotRange>) {
        if whole || self.holder_index.is_empty() {
            (self.holder_index, self.holder_sets) = (vec![0; SLOT_COUNT], vec![Vec::new()]);
        }
        for range in ranges {
            let known = self.holder_sets.iter().position(|holders| *holders == range.servers);
            let index = known.unwrap_or_else(|| {
                self.holder_sets.push(range.servers);
                self.holder_sets.len() - 1
            });
            let last_slot = usize::from(range.last).min(SLOT_COUNT - 1);
            for slot in usize::from(range.first)..=last_slot {
                self.holder_index[slot] = index as u32;
            }
        }
    }

    /// Returns the servers that hold a slot, its owner first; none if the slot is not covered.
    pub fn holders(&self, slot: Option<u16>) -> &[ServerId] {
        let index = slot.and_then(|s| self.holder_index.get(usize::from(s)));
        index.map_or(&[], |i| &self.holder_sets[*i as usize])
    }
}

/// Pending tasks in order of their times. A single timer of the node serves all of them.
#[derive(Default)]
pub struct TimerQueue {
    queue: BinaryHeap<Reverse<(Micros, TimerTask)>>,
    /// The time for which the node's timer is set.
    armed_for: Option<Micros>,
}

impl TimerQueue {
    /// Schedules a task.
    pub fn schedule_at(&mut self, time: Micros, task: TimerTask) {
        self.queue.push(Reverse((time, task)));
    }

    /// Notes that the node's timer has fired.
    pub fn timer_fired(&mut self) {
        self.armed_for = None;
    }

    /// Removes and returns the next task that is due. If none is due, ensures that a timer is set for the
    /// next one.
    pub fn pop_due(&mut self, now: Micros, out: &mut Vec<Action>) -> Option<TimerTask> {
        let &Reverse((time, task)) = self.queue.peek()?;
        if time <= now {
            self.queue.pop();
            return Some(task);
        }
        if self.armed_for.is_none_or(|armed_for| time < armed_for) {
            self.armed_for = Some(time);
            out.push(Action::Timer { after: time - now, token: 0 });
        }
        None
    }
}

/// Logs when a value falls below a threshold or rises to it again.
pub fn log_threshold_crossing(
    out: &mut Vec<Action>,
    before: f64,
    after: f64,
    threshold: f64,
    fallen: &str,
    restored: &str,
) {
    if (before < threshold) != (after < threshold) {
        out.push(Action::Log(if after < threshold { fallen } else { restored }.into()));
    }
}

/// Returns a number between 0 and 1 that depends on the key, the server and the purpose alone.
pub fn unit_hash(key: Key, server: ServerId, purpose: u64) -> f64 {
    let mut bytes = [0u8; 12];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&server.to_le_bytes());
    ((xxh3_64_with_seed(&bytes, purpose) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Pseudo-random numbers that depend on the seed alone.
pub struct Random(Rand64);

impl Random {
    /// Creates a generator with a seed.
    pub fn new(seed: u64) -> Self {
        Random(Rand64::new(seed.into()))
    }

    /// Returns a number from 0 up to, but not including, 1.
    pub fn unit(&mut self) -> f64 {
        self.0.rand_float()
    }

    /// Returns a number from `low` up to, but not including, `high`.
    pub fn between(&mut self, (low, high): (f64, f64)) -> f64 {
        low + (high - low) * self.unit()
    }
}

impl Default for Random {
    fn default() -> Self {
        Random::new(0)
    }
}
