//! Trials of scale: hundreds or thousands of hollow nodes in one process against real coordinators.
//!
//! A hollow node runs the product's own client library and its rule of drains, with no data plane. What coordinators and
//! nodes spend on control is measured by span, and judged at the far ends.

mod coordinators;
mod expected;
mod fit;
mod hollow;
mod judge;
mod kind;
mod links;
mod observer;
mod plan;
mod report;
mod scenario;
mod shards;
mod shared;
mod staff;
mod tally;

use std::fs::OpenOptions;
use std::io::Write;
use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Subcommand};

use self::plan::{Plan, Size};
use self::report::Record;
use self::scenario::{How, Scenario};

/// Nodes and cache servers of the region that is cut off, at most.
const REGION: (usize, usize) = (210, 50);
/// Nodes that one thread runs.
const NODES_OF_THREAD: usize = 1000;
const MOST_THREADS: usize = 4;

/// Trials of scale.
#[derive(Subcommand)]
pub enum Scale {
    /// Plays a scenario and prints a line of JSON for each run.
    Run(Run),
    /// Reads such lines, fits each figure by nodes and cache servers, and prints slopes and residuals.
    Fit(fit::Options),
}

/// How a scenario is played.
#[derive(Args)]
pub struct Run {
    /// Which.
    scenario: Scenario,
    /// Hollow nodes.
    #[arg(long, default_value_t = 100)]
    nodes: usize,
    /// Cache servers.
    #[arg(long, default_value_t = 50)]
    servers: usize,
    /// Coordinators.
    #[arg(long, default_value_t = 3)]
    members: usize,
    /// Seeds, as 0..8.
    #[arg(long, value_parser = crate::seeds, default_value = "0..1")]
    seeds: Range<u64>,
    /// Runs at once; what the hollow nodes use can't be told apart then.
    #[arg(long, default_value_t = 1)]
    jobs: u8,
    /// Nodes of the region that is cut off; 210, or a quarter of all where these are fewer.
    #[arg(long)]
    region_nodes: Option<usize>,
    /// Cache servers of it; 50, or a third of all.
    #[arg(long)]
    region_servers: Option<usize>,
    /// A node's session time.
    #[arg(long, default_value_t = 10_000)]
    ttl_ms: u64,
    /// Nodes that start in one second.
    #[arg(long, default_value_t = 400)]
    starts_per_s: u64,
    /// For how long the rest is measured.
    #[arg(long, default_value_t = 10_000)]
    rest_ms: u64,
    /// Appends the lines to this file, too.
    #[arg(long)]
    out: Option<PathBuf>,
    /// The commit that records name; that of the folder when not told.
    #[arg(long)]
    commit: Option<String>,
    /// Where the other programs are; beside this one when not told.
    #[arg(long)]
    programs: Option<PathBuf>,
}

/// The commit of the folder, with a mark where files differ from it.
fn commit() -> String {
    let git = std::process::Command::new("git").args(["describe", "--always", "--dirty"]).output();
    let text = git.map(|output| String::from_utf8_lossy(&output.stdout).trim().to_owned());
    text.unwrap_or_default()
}

impl Run {
    fn size(&self) -> Result<Size, String> {
        let region_nodes = self.region_nodes.unwrap_or(REGION.0.min(self.nodes / 4));
        let region_servers = self.region_servers.unwrap_or(REGION.1.min(self.servers / 3));
        if self.nodes < region_nodes + 8 || self.servers < region_servers + 4 {
            return Err("outside of the region there are 8 nodes and 4 cache servers at least".into());
        }
        let Run { nodes, servers, starts_per_s, .. } = *self;
        Ok(Size { nodes, servers, region_nodes, region_servers, starts_per_s })
    }

    fn play(&self, seed: u64, lane: u8, commit: &str) -> Result<Record, String> {
        let programs = self.programs.clone().map_or_else(crate::beside, Ok)?;
        let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
        let how = How {
            programs: &programs,
            folder: folder.path(),
            members: self.members,
            ttl: Duration::from_millis(self.ttl_ms),
            threads: self.nodes.div_ceil(NODES_OF_THREAD).min(MOST_THREADS),
            rest: Duration::from_millis(self.rest_ms),
            commit,
            lane,
        };
        crate::block(scenario::play(self.scenario, Plan::draw(seed, self.size()?), &how))
    }

    fn keep(&self, line: &str) -> Result<(), String> {
        let Some(path) = &self.out else { return Ok(()) };
        let file = OpenOptions::new().create(true).append(true).open(path);
        let written = file.and_then(|mut file| writeln!(file, "{line}"));
        written.map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Plays one seed, and prints and keeps its record.
    fn record(&self, seed: u64, lane: u8, commit: &str) -> Result<bool, String> {
        let record = self.play(seed, lane, commit)?;
        let line = serde_json::to_string(&record).map_err(|e| e.to_string())?;
        println!("{line}");
        self.keep(&line)?;
        Ok(record.is_good())
    }

    fn run(&self) -> Result<bool, String> {
        let commit = self.commit.clone().unwrap_or_else(commit);
        let played = crate::each(self.seeds.clone(), self.jobs, |seed, lane| {
            (self.record(seed, lane, &commit), false)
        })?;
        played.into_iter().try_fold(true, |all, (seed, good)| {
            let good = good.map_err(|why| format!("seed {seed}: {why}"))?;
            Ok(all && good)
        })
    }
}

/// Runs what was asked; whether it was good.
///
/// # Errors
///
/// What keeps it from being run.
pub fn run(scale: &Scale) -> Result<bool, String> {
    match scale {
        Scale::Run(run) => run.run(),
        Scale::Fit(options) => fit::run(options).map(|()| true),
    }
}
