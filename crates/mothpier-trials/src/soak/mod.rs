//! A randomized fault soak: real nodes before stand-ins with ledgers, troubles that overlap in time by a plan that a seed
//! draws, and a verdict by name from the far ends.
//!
//! Troubles at the nodes' system calls come from the preloaded library (`mothpier-fault-preload`); those of links from the
//! stand-ins at their ends; signals from here. What it can't see: a front that deals out connections, several machines, a
//! disk under a node (its handoff has tests of its own), the sum of slow start over a fleet (`mothpier-sim cold-ramp`).

mod clients;
mod discovery;
mod faults;
mod floods;
mod ledger;
mod node;
mod oracle;
mod plan;
mod requests;
mod restarts;
mod servers;
mod timeline;
mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Args, Subcommand};
use serde_json::json;

use self::oracle::Violation;
use self::plan::{Kind, Plan};
use self::world::World;

/// The soak's commands.
#[derive(Subcommand)]
pub enum Soak {
    /// Plays seeds, a line of JSON each; the last line counts violations by name and the pairs of troubles that overlapped.
    Run {
        /// Seeds, as 0..8.
        #[arg(long, value_parser = crate::seeds)]
        seeds: Range<u64>,
        /// Seeds that are played at once.
        #[arg(long, default_value_t = 2)]
        jobs: u8,
        /// Ends at the first seed that is broken.
        #[arg(long)]
        until_broken: bool,
        #[command(flatten)]
        options: Options,
    },
    /// Plays one seed again and keeps its plan, its log files and what was seen.
    Replay {
        /// Its seed.
        seed: u64,
        /// Where.
        #[arg(long)]
        keep: PathBuf,
        #[command(flatten)]
        options: Options,
    },
    /// Leaves troubles of a broken seed out one after the other for as long as the same rule is broken, and shows the rest.
    Shrink {
        /// Its seed.
        seed: u64,
        #[command(flatten)]
        options: Options,
    },
}

/// How seeds are played.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Nodes.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u8).range(1..=25))]
    nodes: u8,
    /// A planted mistake, by its name; the programs must be built with the feature `plants`.
    #[arg(long)]
    plant: Option<String>,
    /// Where the other programs and the fault injection library are; beside this one when not told.
    #[arg(long)]
    programs: Option<PathBuf>,
}

/// What came of a seed.
struct SeedResult {
    plan: Plan,
    broken: Vec<Violation>,
    requests: usize,
    attempts: usize,
    injected: i64,
    stalled: Duration,
    took: Duration,
}

impl SeedResult {
    fn rules(&self) -> BTreeMap<&'static str, usize> {
        let mut rules = BTreeMap::new();
        self.broken.iter().for_each(|violation| *rules.entry(violation.rule).or_default() += 1);
        rules
    }

    fn to_json(&self) -> String {
        let first: Vec<String> =
            self.broken.iter().take(6).map(|v| format!("{}: {}", v.rule, v.what)).collect();
        json!({
            "seed": self.plan.seed,
            "broken": self.rules(),
            "first": first,
            "requests": self.requests,
            "attempts": self.attempts,
            "injected": self.injected,
            "stalled_ms": self.stalled.as_millis() as u64,
            "took_ms": self.took.as_millis() as u64,
            "troubles": self.plan.troubles.iter().map(|t| t.kind).collect::<Vec<_>>(),
        })
        .to_string()
    }
}

/// Runs a command; whether nothing was broken, or for a plant whether it was found.
///
/// # Errors
///
/// What keeps it from being played.
pub fn run(soak: &Soak) -> Result<bool, String> {
    match soak {
        Soak::Run { seeds, jobs, until_broken, options } => {
            run_seeds(seeds.clone(), *jobs, *until_broken, options)
        }
        Soak::Replay { seed, keep, options } => {
            std::fs::create_dir_all(keep).map_err(|e| format!("{}: {e}", keep.display()))?;
            let played = play(Plan::draw(*seed, options.nodes.into()), 0, options, keep)?;
            println!("{}", played.to_json());
            played.broken.iter().for_each(|v| println!("{}: {}", v.rule, v.what));
            println!("kept in {}", keep.display());
            Ok(played.broken.is_empty())
        }
        Soak::Shrink { seed, options } => shrink(*seed, options),
    }
}

fn run_seeds(seeds: Range<u64>, jobs: u8, until_broken: bool, options: &Options) -> Result<bool, String> {
    let planted = options.plant.is_some();
    let all = crate::each(seeds, jobs, |seed, lane| {
        let played = play_aside(Plan::draw(seed, options.nodes.into()), lane, options);
        match &played {
            Ok(played) => println!("{}", played.to_json()),
            Err(why) => println!("{}", json!({"seed": seed, "not_played": why})),
        }
        let broken = played.as_ref().is_ok_and(|p| !p.broken.is_empty());
        (played, broken && (until_broken || planted))
    })?;
    let (mut rules, mut pairs, mut not_played, mut broken) = (BTreeMap::new(), BTreeSet::new(), 0, 0);
    let (mut requests, mut attempts) = (0, 0);
    for (_, played) in &all {
        let Ok(played) = played else {
            not_played += 1;
            continue;
        };
        (requests, attempts) = (requests + played.requests, attempts + played.attempts);
        broken += usize::from(!played.broken.is_empty());
        played.rules().into_iter().for_each(|(rule, count)| *rules.entry(rule).or_insert(0) += count);
        pairs.extend(played.plan.pairs());
    }
    let possible = Kind::ALL.len() * (Kind::ALL.len() + 1) / 2;
    println!(
        "{}",
        json!({"seeds": all.len(), "broken_seeds": broken, "not_played": not_played, "violations": rules,
            "requests": requests, "attempts": attempts, "pairs": pairs.len(), "pairs_possible": possible})
    );
    Ok(if planted { broken > 0 } else { broken == 0 && not_played == 0 })
}

fn shrink(seed: u64, options: &Options) -> Result<bool, String> {
    let mut plan = Plan::draw(seed, options.nodes.into());
    let first = play_aside(plan.clone(), 0, options)?;
    let Some(rule) = first.broken.first().map(|v| v.rule) else {
        println!("seed {seed} breaks no rule");
        return Ok(true);
    };
    let mut number = 0;
    while number < plan.troubles.len() {
        let mut fewer = plan.clone();
        fewer.troubles.remove(number);
        let still = play_aside(fewer.clone(), 0, options)?.broken.iter().any(|v| v.rule == rule);
        if still {
            plan = fewer;
        } else {
            number += 1;
        }
    }
    println!("{rule} is broken by:\n{}", serde_json::to_string_pretty(&plan).unwrap_or_default());
    Ok(false)
}

fn play_aside(plan: Plan, lane: u8, options: &Options) -> Result<SeedResult, String> {
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    play(plan, lane, options, folder.path())
}

fn play(plan: Plan, lane: u8, options: &Options, folder: &Path) -> Result<SeedResult, String> {
    let needs = ["mothpier", mothpier_fault_control::LIBRARY];
    let programs = crate::how(options.programs.as_ref(), folder.to_owned(), lane, &needs)?.programs;
    crate::block(World::play(plan, lane, options.plant.clone(), programs, folder.to_owned()))
}
