//! One simulation run: a world is made from a seed, its faults happen, it heals, and it must serve everything again.

mod build;
mod cache_servers;
mod checks;
mod clients;
mod directed;
mod faults;
mod node_config;
mod nodes;
mod options;
mod recovery;
mod settings;
mod world;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

use crate::exec::Exec;
use crate::oracle::{Broken, Rule, Tally};
use crate::plan::{Fault, LAST_MS};

pub use options::{Options, Script};
pub use world::World;

/// Clients begin when all nodes have their list.
const TRAFFIC_FROM_MS: u64 = 1_500;
/// Once healed the world has so long to come to rest; some traffic goes on meanwhile.
const HEAL_MS: u64 = 16_000;
/// Then so many requests must all be served.
const PROBES: u64 = 40;
/// One of them is sent every so many milliseconds.
const PROBE_EVERY_MS: u64 = 60;
/// Clients go so long after the last of them was sent.
const CLIENTS_GO_MS: u64 = 6_000;
/// And after so long a quiet, nothing is kept of it.
const QUIET_MS: u64 = 14_000;

/// How a run went.
#[derive(Clone, Debug)]
pub struct Report {
    /// Hash of the trace.
    pub hash: u64,
    /// The rule that broke, if one did.
    pub broken: Option<Broken>,
    /// Its faults.
    pub faults: Vec<Fault>,
    /// Its figures.
    pub tally: Tally,
    /// The trace, where it was kept.
    pub lines: Vec<String>,
}

/// Plays a seed.
pub fn play(seed: u64, options: &Options) -> Report {
    mothpier::activate_mutation(options.plant);
    let faults = options
        .faults
        .clone()
        .unwrap_or_else(|| crate::plan::draw(seed, options.kind(seed), options.sources(seed)));
    let exec = Exec::new(seed, options.lines);
    let ran = catch_unwind(AssertUnwindSafe(|| run(seed, options, &faults, &exec)));
    mothpier::activate_mutation(None);
    let (oracle_says, tally) = match ran {
        Ok((broken, tally)) => (broken, tally),
        Err(panic) => {
            let text = panic.downcast_ref::<String>().cloned();
            let text = text.or_else(|| panic.downcast_ref::<&str>().map(|s| (*s).to_owned()));
            let what = format!("panic: {}", text.unwrap_or_default());
            (Some(Broken { rule: Rule::Progress, at_ms: exec.millis(), what }), Tally::default())
        }
    };
    // A panic in a drop here is the run's own end already.
    let _ = catch_unwind(AssertUnwindSafe(|| exec.clear()));
    Report { hash: exec.hash(), broken: oracle_says, faults, tally, lines: exec.take_lines() }
}

fn run(seed: u64, options: &Options, faults: &[Fault], exec: &Rc<Exec>) -> (Option<Broken>, Tally) {
    let world = World::new(seed, options, exec.clone());
    let oracle = world.oracle.clone();
    let stop = {
        let oracle = oracle.clone();
        move || {
            oracle.step();
            oracle.is_broken()
        }
    };
    world.start();
    for (number, fault) in faults.iter().enumerate() {
        world.plan(number, fault.clone());
    }
    if let Some(script) = &options.script {
        script(&world);
    }
    let phases: [(u64, &dyn Fn()); 5] = [
        (TRAFFIC_FROM_MS, &|| world.arrival()),
        (LAST_MS + 200, &|| world.heal()),
        (LAST_MS + HEAL_MS, &|| world.probe()),
        (LAST_MS + HEAL_MS + PROBES * PROBE_EVERY_MS + CLIENTS_GO_MS, &|| world.part()),
        (LAST_MS + HEAL_MS + PROBES * PROBE_EVERY_MS + CLIENTS_GO_MS + QUIET_MS, &|| world.census()),
    ];
    for (at, what) in phases {
        exec.run_until(at * 1_000_000, &stop);
        if oracle.is_broken() {
            break;
        }
        what();
    }
    exec.run_until(exec.nanos() + 500_000_000, &stop);
    let result = (oracle.broken(), oracle.tally());
    world.end();
    result
}
