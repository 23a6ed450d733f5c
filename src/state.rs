//! What a balancer keeps in memory: plain types, the queue of wake-ups and the hash. No decisions.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use oorandom::Rand64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::interface::{Action, Key, Micros, RequestId, ServerEntry, ServerId, SlotRange};

/// Why an attempt is out.
#[derive(Clone, Copy, PartialEq)]
pub enum Call {
    Cache,
    Fetch,
    Write,
}

/// An attempt without outcome yet; it may outlive its request.
#[derive(Clone, Copy)]
pub struct Flight {
    pub server: ServerId,
    pub call: Call,
    pub sent: Micros,
    pub aim: Micros,
    /// It is slow when it has been out for this long.
    pub slow_after: Micros,
}

/// A server of the list, and what this balancer has seen of it.
#[derive(Default)]
pub struct Server {
    pub line: ServerEntry,
    pub origin: bool,
    pub in_flight: u32,
    pub heard: Micros,
    /// Its answers within about one aim, as a fading count.
    pub answered: f64,
    /// Signs of trouble in its attempts of late.
    pub signs: Ratio,
    /// The part of its keys that it keeps while in trouble, 1 when well.
    pub part: f64,
    /// When it last had an outcome.
    pub active: Micros,
    /// When it was last sent to, or heard to have started.
    pub used: Micros,
    /// Level at that time of the bucket that holds bursts at it while it is cold.
    pub cold_level: f64,
}

impl Server {
    /// Its answers as they count at a time, fading over a span.
    pub fn answered_lately(&self, now: Micros, span: Micros) -> f64 {
        self.answered * (-((now - self.heard) as f64) / span as f64).exp()
    }
}

/// A request that is owed a final answer.
#[derive(Default)]
pub struct Held {
    pub class: usize,
    pub key: Key,
    /// The key, or the part of a hot one, whose order of servers it follows.
    pub order: Key,
    /// The key's part of the traffic here of late, in mean shares of a server.
    pub heat: f64,
    pub write: bool,
    pub missed: bool,
    pub aim_at: Micros,
    pub ends: Micros,
    pub sent: u16,
    pub out: u16,
    /// How many attempts run or may have run.
    pub may_have_run: u16,
    pub tried: Vec<ServerId>,
    /// The key's slot, where the servers form a cluster.
    pub slot: Option<u16>,
    /// Where a server of the cluster sent it, and whether in the name of a move.
    pub follow: Option<(ServerId, bool)>,
    /// Number of the wait that it is in; a wake-up for an older one finds it changed.
    pub wait: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wake {
    End(RequestId),
    Go(RequestId, u32),
    Patience(RequestId, u16),
    Subscribe,
    Close(ServerId),
    Review,
}

/// The gate before the origin: calls out and calls in the present window, of all kinds and fetches alone.
#[derive(Default)]
pub struct Gate {
    pub limit: f64,
    pub most_out: f64,
    pub out: [u32; 2],
    pub tally: [u32; 2],
    pub window: Micros,
    pub cut_at: Micros,
    /// This balancer's equal part of all quotas, 0 where there are none.
    pub quota_share: f64,
    /// Calls earned of a stated rate and not made yet, and until when they are reckoned.
    pub credit: f64,
    pub earned_at: Micros,
    /// By how much this balancer's place moves from turn to turn.
    pub stride: u64,
    /// How long calls take of late, and usually.
    pub took: f64,
    pub usual: f64,
}

impl Gate {
    /// Raises the counters just before a call.
    pub fn enter(&mut self, call: Call) {
        for i in 0..=usize::from(call == Call::Fetch) {
            self.out[i] += 1;
            self.tally[i] += 1;
        }
        self.credit -= 1.0;
    }

    /// Earns calls of a rate a second up to a bound: less than one call in a window is saved up over longer
    /// ones.
    pub fn earn(&mut self, now: Micros, per_s: f64, most: f64) {
        let earned = per_s * now.saturating_sub(self.earned_at) as f64 / 1e6;
        self.credit = (self.credit + earned).min(most);
        self.earned_at = now;
    }

    /// Begins a new tally when the window of the present one is over.
    pub fn roll(&mut self, now: Micros, window: Micros) {
        if now >= self.window + window {
            (self.window, self.tally) = (now, [0, 0]);
        }
    }

    /// Lowers the counters after any outcome of a call.
    pub fn leave(&mut self, call: Call) {
        for i in 0..=usize::from(call == Call::Fetch) {
            self.out[i] -= 1;
        }
    }
}

/// What is known of a machine kind: the factor on its weight, and how busy its load reports say it is.
pub struct Kind {
    pub weight: f64,
    pub busy: Ratio,
}

impl Default for Kind {
    fn default() -> Self {
        Kind { weight: 1.0, busy: Ratio::default() }
    }
}

/// How often each key was asked for here of late; fades.
#[derive(Default)]
pub struct Heat {
    counts: BTreeMap<Key, f64>,
    all: f64,
}

impl Heat {
    /// Counts a request for a key and gives the key's part of those before it.
    pub fn seen(&mut self, key: Key) -> f64 {
        let count = self.counts.entry(key).or_default();
        let share = *count / self.all.max(1.0);
        *count += 1.0;
        self.all += 1.0;
        share
    }

    /// Lets the past count for less and forgets what is long past.
    pub fn fade(&mut self, keep: f64) {
        self.all *= keep;
        self.counts.retain(|_, count| {
            *count *= keep;
            *count > 0.1
        });
    }
}

/// A faded count below this is none.
const NEGLIGIBLE: f64 = 0.01;

/// How many cases among all of late; both fade.
#[derive(Default, Clone, Copy)]
pub struct Ratio {
    pub cases: f64,
    pub all: f64,
}

impl Ratio {
    /// Counts cases, and among how many.
    pub fn add(&mut self, cases: f64, all: f64) {
        self.cases += cases;
        self.all += all;
    }

    /// The cases as a part of all.
    pub fn value(&self) -> f64 {
        self.cases / self.all.max(1.0)
    }

    /// Lets the past count for less.
    pub fn fade(&mut self, keep: f64) {
        self.cases *= keep;
        self.all *= keep;
    }

    /// Whether so little is left of it that it changes nothing.
    pub fn is_negligible(&self) -> bool {
        self.cases < NEGLIGIBLE && self.all < NEGLIGIBLE
    }
}

/// A quantile of what is seen, followed in steps that shrink to a least one.
#[derive(Clone)]
pub struct Quantile {
    pub value: f64,
    seen: f64,
}

impl Quantile {
    /// One that begins at a guess.
    pub fn at(value: f64) -> Self {
        Quantile { value, seen: 0.0 }
    }

    /// Takes a value in: a part of all lies below the quantile. First and least step are parts of a unit.
    pub fn saw(&mut self, value: f64, part: f64, unit: f64, (first, least): (f64, f64)) {
        self.seen += 1.0;
        let step = unit * (first / self.seen).max(least);
        self.value += if value > self.value { step * part } else { -step * (1.0 - part) };
    }
}

/// The step from turn to turn: about the golden section of the balancers, so that turns of each lie evenly
/// apart however many are open at once; without a divisor in common with their number, or some would never
/// have a turn.
pub fn stride(balancers: u32) -> u64 {
    let nodes = u64::from(balancers.max(1));
    let divisor = |mut a: u64, mut b: u64| {
        while b > 0 {
            (a, b) = (b, a % b);
        }
        a
    };
    let near = (nodes as f64 * 0.618).round() as u64;
    (1..=near).rev().find(|step| divisor(*step, nodes) == 1).unwrap_or(1)
}

/// Events a second, smoothed over about a second.
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

    /// Takes what was counted in a period into the rate.
    pub fn roll(&mut self, period: Micros) {
        let seconds = period as f64 / 1e6;
        self.per_s += (self.counted / seconds - self.per_s) * seconds.min(1.0);
        self.counted = 0.0;
    }
}

/// What a tenant sends to this balancer, and its unspent part of an admission.
#[derive(Default, Clone)]
pub struct Sender {
    pub rate: Rate,
    pub credit: f64,
}

/// What a balancer tells of itself: what each tenant sends there a second, and its signs of overload.
#[derive(Default)]
pub struct Figures {
    pub rates: Vec<f64>,
    pub strain: Ratio,
    pub signs: Vec<(ServerId, f64)>,
}

/// When each peer was last heard, and what it told.
#[derive(Default)]
pub struct Peers(BTreeMap<u32, (Micros, Figures)>);

impl Peers {
    /// A message of at most 256 bytes in half-width floats: two figures of strain, a rate for each tenant (up
    /// to 64), then servers with signs of trouble, 6 bytes each, the most troubled first.
    pub fn message(
        strain: &Ratio,
        senders: &[Sender],
        signs: impl Iterator<Item = (ServerId, f64)>,
    ) -> Vec<u8> {
        let half = |f: f64| (((f as f32).to_bits() >> 16) as u16).to_le_bytes();
        let rates = senders.iter().take(64).map(|s| s.rate.per_s);
        let mut bytes: Vec<u8> = [strain.cases, strain.all].into_iter().chain(rates).flat_map(half).collect();
        let mut troubled: Vec<_> = signs.filter(|(_, cases)| *cases >= 0.25).collect();
        troubled.sort_by(|a, b| b.1.total_cmp(&a.1));
        for (id, cases) in troubled.into_iter().take(16) {
            bytes.extend(id.to_le_bytes());
            bytes.extend(half(cases));
        }
        bytes
    }

    /// Takes a peer's message; figures that no peer would send count as 0.
    pub fn told(&mut self, now: Micros, from: u32, bytes: &[u8], tenants: usize) {
        let wide = |c: &[u8]| f64::from(f32::from_bits(u32::from(u16::from_le_bytes([c[0], c[1]])) << 16));
        let figure = |c: &[u8]| Some(wide(c)).filter(|f| f.is_finite() && *f >= 0.0).unwrap_or(0.0);
        let (figures, servers) = bytes.split_at((4 + 2 * tenants.min(64)).min(bytes.len()));
        let mut figures = figures.chunks_exact(2).map(figure);
        let mut next = || figures.next().unwrap_or(0.0);
        let strain = Ratio { cases: next(), all: next() };
        let server = |c: &[u8]| (ServerId::from_le_bytes([c[0], c[1], c[2], c[3]]), figure(&c[4..]));
        let signs = servers.chunks_exact(6).map(server).collect();
        self.0.insert(from, (now, Figures { rates: figures.collect(), strain, signs }));
    }

    /// The signs of trouble that the peers heard lately saw at each server.
    pub fn signs(&self) -> BTreeMap<ServerId, f64> {
        let mut sums = BTreeMap::new();
        for (server, cases) in self.0.values().flat_map(|(_, f)| &f.signs) {
            *sums.entry(*server).or_default() += cases;
        }
        sums
    }

    /// What a tenant sends to the peers heard lately; `None` where none was.
    pub fn sum(&self, tenant: usize) -> Option<f64> {
        (!self.0.is_empty()).then(|| self.0.values().filter_map(|(_, f)| f.rates.get(tenant)).sum())
    }

    /// The signs of overload here and at the peers heard lately.
    pub fn strain(&self, own: &Ratio) -> Ratio {
        let mut all = *own;
        self.0.values().for_each(|(_, f)| all.add(f.strain.cases, f.strain.all));
        all
    }

    /// Forgets the peers that were last heard before a time.
    pub fn forget_silent_since(&mut self, time: Micros) {
        self.0.retain(|_, (heard, _)| *heard >= time);
    }
}

/// How many slots a cluster has.
const SLOTS: usize = 16_384;

/// Which servers of a cluster hold which slots; empty where they form none.
#[derive(Default)]
pub struct Slots {
    /// For each slot a place in `homes`, 0 for none known.
    places: Vec<u32>,
    homes: Vec<Vec<ServerId>>,
}

impl Slots {
    /// Takes a whole map, or a part that counts from now on.
    pub fn take(&mut self, whole: bool, ranges: Vec<SlotRange>) {
        if whole || self.places.is_empty() {
            (self.places, self.homes) = (vec![0; SLOTS], vec![Vec::new()]);
        }
        for range in ranges {
            let known = self.homes.iter().position(|h| *h == range.servers);
            let place = known.unwrap_or_else(|| {
                self.homes.push(range.servers);
                self.homes.len() - 1
            });
            let to = usize::from(range.last).min(SLOTS - 1);
            for slot in usize::from(range.first)..=to {
                self.places[slot] = place as u32;
            }
        }
    }

    /// The servers that hold a slot, its owner first; none where it is uncovered.
    pub fn home(&self, slot: Option<u16>) -> &[ServerId] {
        let place = slot.and_then(|s| self.places.get(usize::from(s)));
        place.map_or(&[], |p| &self.homes[*p as usize])
    }
}

/// Wake-ups in the order of their times; one timer of the node stands for all of them.
#[derive(Default)]
pub struct Wakes {
    queue: BinaryHeap<Reverse<(Micros, Wake)>>,
    armed: Option<Micros>,
}

impl Wakes {
    /// Asks to be woken at a time.
    pub fn at(&mut self, time: Micros, wake: Wake) {
        self.queue.push(Reverse((time, wake)));
    }

    /// The timer that was set has come.
    pub fn timer_came(&mut self) {
        self.armed = None;
    }

    /// The next wake-up that is due; when none is, sees that a timer is set for the first to come.
    pub fn due(&mut self, now: Micros, out: &mut Vec<Action>) -> Option<Wake> {
        let &Reverse((time, wake)) = self.queue.peek()?;
        if time <= now {
            self.queue.pop();
            return Some(wake);
        }
        if self.armed.is_none_or(|armed| time < armed) {
            self.armed = Some(time);
            out.push(Action::Timer { after: time - now, token: 0 });
        }
        None
    }
}

/// Logs when a figure falls below a mark or rises to it again.
pub fn log_crossing(out: &mut Vec<Action>, was: f64, is: f64, mark: f64, fallen: &str, risen: &str) {
    if (was < mark) != (is < mark) {
        out.push(Action::Log(if is < mark { fallen } else { risen }.into()));
    }
}

/// A number between 0 and 1, fixed for a key, a server and a purpose.
pub fn unit_hash(key: Key, server: ServerId, purpose: u64) -> f64 {
    let mut bytes = [0u8; 12];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&server.to_le_bytes());
    ((xxh3_64_with_seed(&bytes, purpose) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Random numbers that depend on the seed alone.
pub struct Random(Rand64);

impl Random {
    /// A source with a seed.
    pub fn new(seed: u64) -> Self {
        Random(Rand64::new(seed.into()))
    }

    /// A number from 0 to below 1.
    pub fn unit(&mut self) -> f64 {
        self.0.rand_float()
    }

    /// A number between two.
    pub fn between(&mut self, (low, high): (f64, f64)) -> f64 {
        low + (high - low) * self.unit()
    }
}

impl Default for Random {
    fn default() -> Self {
        Random::new(0)
    }
}
