//! Hundreds of sidecars in place of a few nodes: each has less than one call of what the origin takes, and sees little of
//! the fleet. A box is cold, every copy is void at once, faults come as the seed draws them; the four rules are judged,
//! and the calls at the origin are counted against what it was said to take.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;

use mothpier_world::client::End;

use crate::play::{Options, World, play};

/// When a box starts cold, milliseconds.
const COLD_MS: u64 = 3_000;
/// When every copy is void.
const VOID_MS: u64 = 6_000;
/// Until when the origin is slow, where it is to be.
const SLOW_UNTIL_MS: u64 = 11_000;
/// Between two looks at the calls made.
const LOOK_MS: u64 = 100;
/// The last look.
const LAST_MS: u64 = 20_000;
/// Looks in a second.
const SECOND: usize = (1_000 / LOOK_MS) as usize;

/// One fleet.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Sidecars.
    pub nodes: usize,
    /// Boxes, one of which starts cold.
    pub boxes: usize,
    /// Requests a second of all of them.
    pub rate: f64,
    /// Keys that are asked for.
    pub keys: u64,
    /// Calls at once and a second that the origin takes; `None` gives each sidecar the node's own parts.
    pub shares: Option<(f64, f64)>,
    /// From the moment at which every copy is void the origin takes so many times as long.
    pub slow: f64,
    /// Faults are drawn from the seed.
    pub faults: bool,
}

/// What runs showed.
#[derive(Clone, Debug, Default)]
pub struct Shown {
    /// Runs.
    pub runs: u64,
    /// Broken rules, by seed.
    pub broken: BTreeMap<u64, String>,
    /// The most calls at the origin at once, and in one second.
    pub most_out: usize,
    pub most_per_s: u64,
    /// Calls at the origin in all, and the seconds that were looked at.
    pub calls: u64,
    /// The most that a cold box was sent, as a part of what it may be.
    pub cold: f64,
    /// Clients' tries by how they ended.
    pub ends: BTreeMap<End, u64>,
}

impl Shown {
    fn add(&mut self, other: &Shown) {
        self.runs += other.runs;
        self.broken.extend(other.broken.clone());
        self.most_out = self.most_out.max(other.most_out);
        self.most_per_s = self.most_per_s.max(other.most_per_s);
        self.calls += other.calls;
        self.cold = self.cold.max(other.cold);
        for (end, n) in &other.ends {
            *self.ends.entry(*end).or_default() += n;
        }
    }

    /// Part of the tries that were served.
    pub fn served(&self) -> f64 {
        let all: u64 = self.ends.values().sum();
        *self.ends.get(&End::Served).unwrap_or(&0) as f64 / all.max(1) as f64
    }
}

/// Plays one seed.
pub fn one(fleet: Fleet, seed: u64) -> Shown {
    let looks: Rc<RefCell<Vec<u64>>> = Rc::default();
    let most: Rc<RefCell<usize>> = Rc::default();
    let (seen, out) = (looks.clone(), most.clone());
    let script = move |world: &Rc<World>| {
        for at in (0..LAST_MS).step_by(LOOK_MS as usize) {
            let (seen, out) = (seen.clone(), out.clone());
            world.at(at, move |world| {
                let (calls, most) = world.origin_calls();
                seen.borrow_mut().push(calls);
                *out.borrow_mut() = most;
            });
        }
        world.at(VOID_MS, move |world| {
            world.voids_all();
            world.origin_slows(fleet.slow);
        });
        world.at(SLOW_UNTIL_MS, |world| world.origin_slows(1.0));
    };
    let options = Options {
        faults: if fleet.faults { None } else { Some(Vec::new()) },
        size: Some((fleet.nodes, fleet.boxes)),
        newcomer_ms: Some(COLD_MS),
        rate: Some(fleet.rate),
        keys: Some(fleet.keys),
        work_ms: Some(20),
        connect_ms: Some(250),
        cold: Some((0.12, 9_000)),
        writes: Some(0.05),
        origin: Some((1_000, 1_000)),
        shares: fleet.shares,
        script: Some(Rc::new(script)),
        ..Options::default()
    };
    let report = play(seed, &options);
    let looks = looks.borrow();
    let per_s = looks.windows(SECOND + 1).map(|w| w[SECOND] - w[0]).max().unwrap_or(0);
    let broken =
        report.broken.map(|b| format!("rule {} broken at {} ms: {}", b.rule.name(), b.at_ms, b.what));
    Shown {
        runs: 1,
        broken: broken.map(|b| (seed, b)).into_iter().collect(),
        most_out: *most.borrow(),
        most_per_s: per_s,
        calls: looks.last().copied().unwrap_or(0),
        cold: report.tally.cold,
        ends: report.tally.ends,
    }
}

/// Plays seeds on all cores.
pub fn many(fleet: Fleet, seeds: (u64, u64), jobs: usize, progress: &(dyn Fn(u64) + Sync)) -> Shown {
    let shared = Mutex::new((seeds.0, Shown::default()));
    let lock = || shared.lock().unwrap_or_else(PoisonError::into_inner);
    thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = {
                        let mut s = lock();
                        if s.0 >= seeds.1 {
                            return;
                        }
                        s.0 += 1;
                        s.0 - 1
                    };
                    let shown = one(fleet, seed);
                    let mut s = lock();
                    s.1.add(&shown);
                    progress(s.1.runs);
                }
            });
        }
    });
    let (_, shown) = &*lock();
    shown.clone()
}

/// One line of the table.
pub fn line(name: &str, shown: &Shown) -> String {
    format!(
        "| {name} | {} | {} | {} | {} | {:.2} | {:.2} % |\n",
        shown.runs,
        shown.broken.len(),
        shown.most_out,
        shown.most_per_s,
        shown.cold,
        shown.served() * 100.0
    )
}

/// Above the lines.
pub const HEAD: &str = "| limits | runs | broken | most calls at once | most calls in a second | cold box, of what it may be sent | served |\n| --- | --- | --- | --- | --- | --- | --- |\n";
