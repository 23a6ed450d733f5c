//! `mothpier-trials`: several real processes of mothpier's programs on loopback, and the faults between them.

mod contender;
mod http;
mod judge;
mod link;
mod measure;
mod plan;
mod process;
mod programs;
mod trial;

use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use plan::{Plan, Size};
use trial::{How, Played};

/// Trials of several real processes: started, cut off, delayed, stopped, killed and started again by a plan that a seed
/// draws. The verdict is read at the far ends.
///
/// Exit codes: 0 good, 1 a trial broke a rule or did not heal, 2 it could not run.
#[derive(Parser)]
#[command(name = "mothpier-trials", version, max_term_width = 100)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays trials.
    #[command(subcommand)]
    Run(Run),
    /// Plays one trial of leases again and keeps every process's log and a common time line.
    Replay {
        /// Its seed.
        seed: u64,
        /// Where.
        #[arg(long)]
        keep: PathBuf,
        #[command(flatten)]
        options: Options,
    },
    /// Measures how long things take and what they cost.
    #[command(subcommand)]
    Measure(Measure),
    /// One that wants the lease.
    #[command(hide = true)]
    Contender(contender::Told),
}

#[derive(Subcommand)]
enum Run {
    /// Coordinators, nodes that obey, and contenders for one lease: no two of them act at once.
    Leases {
        /// Seeds, as 0..8.
        #[arg(long, value_parser = seeds)]
        seeds: Range<u64>,
        /// Trials that run at once.
        #[arg(long, default_value_t = 2)]
        jobs: u8,
        #[command(flatten)]
        options: Options,
    },
}

#[derive(Subcommand)]
enum Measure {
    /// From the death of a holder to the next one's grant, and of a leader to the next commit.
    Failover {
        #[arg(long, default_value_t = 3)]
        members: usize,
        #[arg(long, default_value_t = 200)]
        kills: usize,
        /// A session's time.
        #[arg(long, default_value_t = 1000)]
        ttl_ms: u64,
    },
    /// Grants and renewals a second, what sessions cost at rest, a start from many leases.
    Load {
        #[arg(long, default_value_t = 3)]
        members: usize,
        #[arg(long, default_value_t = 10_000)]
        leases: usize,
    },
}

#[derive(Args, Clone, Debug)]
struct Options {
    #[arg(long, default_value_t = 5)]
    coordinators: usize,
    #[arg(long, default_value_t = 4)]
    nodes: usize,
    #[arg(long, default_value_t = 8)]
    contenders: usize,
    /// For how long things go wrong.
    #[arg(long, default_value_t = 8000)]
    ms: u64,
    /// A session's time.
    #[arg(long, default_value_t = 1500)]
    ttl_ms: u64,
    /// Planted: contenders look once whether they hold, and make fences and times up. Trials must find it.
    #[arg(long)]
    plant_unfenced: bool,
    /// Where the other programs are; beside this one when not told.
    #[arg(long)]
    programs: Option<PathBuf>,
}

fn seeds(text: &str) -> Result<Range<u64>, String> {
    let (from, to) = text.split_once("..").ok_or("as in 0..8")?;
    let number = |t: &str| t.parse::<u64>().map_err(|e| format!("{t:?}: {e}"));
    let range = number(from)?..number(to)?;
    if range.is_empty() { Err("no seed lies in it".into()) } else { Ok(range) }
}

/// Whether a trial shows what it must, and a line about it.
fn verdict(seed: u64, played: &Played, planted: bool) -> (bool, String) {
    let found = played.verdict.beside.len() + played.verdict.undercut.len();
    let (all, refused, wrong) = played.answers;
    // Where contenders are planted to break the rule only that is looked at.
    let good = planted || (found == 0 && wrong == 0 && played.healed && played.ended.is_empty());
    let mut line = format!(
        "seed {seed}: {} grants acted, {} acts beside another, {} under an old fence, {all} answers, {refused} refused or \
         failed, {wrong} wrong{}",
        played.verdict.grants,
        played.verdict.beside.len(),
        played.verdict.undercut.len(),
        if played.healed { "" } else { ", NOT HEALED" },
    );
    if !played.ended.is_empty() {
        line += &format!(", ended by themselves: {:?}", played.ended);
    }
    if let Some((later, one)) = played.verdict.beside.first() {
        line += &format!("\n  {one:?} came behind {later:?}");
    }
    (good, line)
}

/// Where the other programs are when nothing else is told.
fn beside() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    Ok(own.parent().map(PathBuf::from).unwrap_or_default())
}

impl Options {
    fn how(&self, folder: PathBuf, lane: u8) -> Result<How, String> {
        let programs = self.programs.clone().map_or_else(beside, Ok)?;
        for name in ["mothpier", "mothpier-coordinator"] {
            if !programs.join(name).exists() {
                return Err(format!("{} is not there: build it first", programs.join(name).display()));
            }
        }
        Ok(How { programs, folder, unfenced: self.plant_unfenced, lane })
    }

    fn plan(&self, seed: u64) -> Plan {
        let Options { coordinators, nodes, contenders, ms, ttl_ms, .. } = *self;
        Plan::draw(seed, Size { coordinators, nodes, contenders, ms, ttl_ms })
    }
}

/// Plays seeds, some at once; whether all were good.
fn run(seeds: Range<u64>, jobs: u8, options: &Options) -> Result<bool, String> {
    let next = std::sync::Mutex::new(seeds.clone());
    let played = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for lane in 0..jobs.max(1) {
            let (next, played) = (&next, &played);
            scope.spawn(move || {
                loop {
                    let Some(seed) = next.lock().ok().and_then(|mut n| n.next()) else { return };
                    let one = play(seed, lane, options);
                    match &one {
                        Ok(one) => println!("{}", verdict(seed, one, options.plant_unfenced).1),
                        Err(why) => println!("seed {seed}: not played: {why}"),
                    }
                    // One that shows the planted mistake is enough.
                    let enough =
                        options.plant_unfenced && one.as_ref().is_ok_and(|o| !o.verdict.beside.is_empty());
                    if let Ok(mut played) = played.lock() {
                        played.push((seed, one));
                    }
                    if enough && let Ok(mut next) = next.lock() {
                        *next = 0..0;
                    }
                }
            });
        }
    });
    let played = played.into_inner().map_err(|e| e.to_string())?;
    let found: Vec<u64> = played
        .iter()
        .filter(|(_, p)| p.as_ref().is_ok_and(|p| !p.verdict.beside.is_empty()))
        .map(|(seed, _)| *seed)
        .collect();
    let good = played
        .iter()
        .filter(|(seed, p)| p.as_ref().is_ok_and(|p| verdict(*seed, p, options.plant_unfenced).0));
    let (good, all) = (good.count(), played.len());
    println!(
        "{good} of {all} seeds good; acts beside another in {} of them, the first {:?}",
        found.len(),
        found.iter().min()
    );
    if options.plant_unfenced {
        println!("planted: {}", if found.is_empty() { "NOT found" } else { "found" });
        return Ok(!found.is_empty() && good == all);
    }
    Ok(good == all)
}

fn play(seed: u64, lane: u8, options: &Options) -> Result<Played, String> {
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let how = options.how(folder.path().to_owned(), lane)?;
    block(trial::play(&options.plan(seed), &how))
}

fn block<T>(future: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.map_err(|e| e.to_string())?, future)
}

fn main() -> ExitCode {
    let ran = match Cli::parse().command {
        Command::Contender(told) => block(contender::run(told)).map(|()| true),
        Command::Measure(measured) => beside().and_then(|programs| match measured {
            Measure::Failover { members, kills, ttl_ms } => {
                block(measure::failover(&programs, members, kills, ttl_ms)).map(|()| true)
            }
            Measure::Load { members, leases } => {
                block(measure::load(&programs, members, leases)).map(|()| true)
            }
        }),
        Command::Run(Run::Leases { seeds, jobs, options }) => run(seeds, jobs, &options),
        Command::Replay { seed, keep, options } => options.how(keep.clone(), 0).and_then(|how| {
            let played = block(trial::play(&options.plan(seed), &how))?;
            let (good, line) = verdict(seed, &played, options.plant_unfenced);
            println!("{line}\nkept in {}", keep.display());
            Ok(good)
        }),
    };
    match ran {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("mothpier-trials: {why}");
            ExitCode::from(2)
        }
    }
}
