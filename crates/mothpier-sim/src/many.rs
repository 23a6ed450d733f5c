//! Many seeds on all cores, with progress, and a file from which a run that was stopped goes on.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::{Duration, Instant};

use mothpier::Mutation;

use crate::oracle::{Broken, Tally};
use crate::plan::{Kind, overlaps};
use crate::play::{Options, play};

/// What is to be played.
pub struct Job {
    /// The first seed and the one behind the last.
    pub seeds: (u64, u64),
    /// Threads.
    pub jobs: usize,
    /// A mistake planted in the nodes.
    pub plant: Option<Mutation>,
    /// Stops at the first broken rule.
    pub first: bool,
    /// Where the run is kept, to go on from.
    pub state: Option<PathBuf>,
    /// Progress on standard error.
    pub progress: bool,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Sum {
    /// Seeds played, those of earlier sittings included.
    pub played: u64,
    /// Broken rules by seed.
    pub broken: BTreeMap<u64, Broken>,
    /// Faults by kind.
    pub faults: BTreeMap<Kind, u64>,
    /// Pairs of kinds that overlapped.
    pub pairs: BTreeSet<(Kind, Kind)>,
    /// The figures of all runs.
    pub tally: Tally,
    /// All hashes in the order of the seeds, folded into one; `None` where some were played in an earlier sitting.
    pub hash: Option<u64>,
    /// How long it took.
    pub took: Duration,
}

struct Shared {
    next: u64,
    done: BTreeMap<u64, u64>,
    sum: Sum,
    stop: bool,
}

/// Plays them.
///
/// # Errors
///
/// A state file that can't be read or written, or that is of another run.
pub fn run(job: &Job) -> Result<Sum, String> {
    let (from, to) = job.seeds;
    let start = match &job.state {
        Some(path) => resume(path, job)?,
        None => from,
    };
    let began = Instant::now();
    let sum = Sum { played: start - from, ..Sum::default() };
    let shared = Mutex::new(Shared { next: start, done: BTreeMap::new(), sum, stop: false });
    let lock = || shared.lock().unwrap_or_else(PoisonError::into_inner);
    let mut failed = Ok(());
    thread::scope(|scope| {
        for _ in 0..job.jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = {
                        let mut s = lock();
                        if s.stop || s.next >= to {
                            return;
                        }
                        s.next += 1;
                        s.next - 1
                    };
                    let report = play(seed, &Options { plant: job.plant, ..Options::default() });
                    let mut s = lock();
                    s.done.insert(seed, report.hash);
                    s.stop |= job.first && report.broken.is_some();
                    let sum = &mut s.sum;
                    sum.played += 1;
                    for fault in &report.faults {
                        *sum.faults.entry(fault.kind).or_default() += 1;
                    }
                    sum.pairs.extend(overlaps(&report.faults));
                    sum.tally.add(&report.tally);
                    if let Some(broken) = report.broken {
                        sum.broken.insert(seed, broken);
                    }
                }
            });
        }
        let mut last = Instant::now();
        loop {
            thread::sleep(Duration::from_millis(50));
            let (over, line, low) = {
                let s = lock();
                // The first seed that is not done: what lies behind it is played again after a stop.
                let low = (start..).find(|seed| !s.done.contains_key(seed)).unwrap_or(to);
                let over = s.sum.played >= to - from || (s.stop && s.done.len() as u64 == s.next - start);
                (over, s.sum.line((from, to), start, began.elapsed()), low)
            };
            if over || last.elapsed() >= Duration::from_secs(1) {
                last = Instant::now();
                if let Some(path) = &job.state {
                    failed = write_state(path, job, low, &lock().sum.broken);
                }
                if job.progress {
                    let end = if std::io::stderr().is_terminal() && !over { "\r" } else { "\n" };
                    let _ = write!(std::io::stderr(), "{line}{end}");
                }
            }
            if over || failed.is_err() {
                lock().stop = true;
                return;
            }
        }
    });
    failed?;
    let s = shared.into_inner().unwrap_or_else(PoisonError::into_inner);
    let folded = s.done.values().flat_map(|h| h.to_le_bytes()).collect::<Vec<u8>>();
    let hash = (start == from).then(|| xxhash_rust::xxh3::xxh3_64(&folded));
    Ok(Sum { hash, took: began.elapsed(), ..s.sum })
}

impl Sum {
    fn line(&self, (from, to): (u64, u64), start: u64, took: Duration) -> String {
        let rate = (self.played - (start - from)) as f64 / took.as_secs_f64().max(1e-3);
        let faults: u64 = self.faults.values().sum();
        format!(
            "{} of {} seeds, {rate:.0} a second, {} broken, {faults} faults, {} of {} pairs overlapped",
            self.played,
            to - from,
            self.broken.len(),
            self.pairs.len(),
            Kind::ALL.len() * (Kind::ALL.len() + 1) / 2,
        )
    }
}

impl Tally {
    /// Adds another run's figures.
    pub fn add(&mut self, other: &Tally) {
        self.asked += other.asked;
        other.ends.iter().for_each(|(end, n)| *self.ends.entry(*end).or_default() += n);
        self.attempts.0 += other.attempts.0;
        self.attempts.1 += other.attempts.1;
        self.effects += other.effects;
        self.cold = self.cold.max(other.cold);
    }
}

fn heading(job: &Job) -> String {
    let plant = job.plant.map_or("none".into(), crate::shrink::plant_name);
    format!("mothpier-sim {} seeds {}..{} plant {plant}", env!("CARGO_PKG_VERSION"), job.seeds.0, job.seeds.1)
}

/// Where a run that was stopped goes on.
fn resume(path: &Path, job: &Job) -> Result<u64, String> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(job.seeds.0),
        Err(e) => return Err(format!("{}: {e}", path.display())),
    };
    let mut lines = text.lines();
    if lines.next() != Some(&heading(job)) {
        return Err(format!(
            "{}: it is of another run; give the same --seeds and --plant, or another --state",
            path.display()
        ));
    }
    if lines.any(|l| l.starts_with("broken ")) {
        return Err(format!("{}: a rule broke in this run already; see its lines", path.display()));
    }
    let next = text.lines().find_map(|l| l.strip_prefix("next ")).and_then(|n| n.parse::<u64>().ok());
    next.filter(|n| (job.seeds.0..=job.seeds.1).contains(n))
        .ok_or_else(|| format!("{}: no line \"next SEED\" within the seeds", path.display()))
}

/// Writes the state whole: to a file beside it, which then takes its name.
fn write_state(path: &Path, job: &Job, next: u64, broken: &BTreeMap<u64, Broken>) -> Result<(), String> {
    let mut text = format!("{}\nnext {}\n", heading(job), next.min(job.seeds.1));
    for (seed, b) in broken {
        text += &format!("broken {seed} {} {}\n", b.rule.name(), b.what.replace('\n', " "));
    }
    let beside = path.with_extension("part");
    let done = std::fs::write(&beside, text).and_then(|()| std::fs::rename(&beside, path));
    done.map_err(|e| format!("{}: {e}", path.display()))
}
