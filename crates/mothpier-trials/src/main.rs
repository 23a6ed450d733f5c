//! `mothpier-trials`: several real processes of mothpier's programs on loopback, and the faults between them.

mod contender;
mod drains;
mod drains_judge;
mod http;
mod judge;
mod link;
mod measure;
mod opening;
mod plan;
mod process;
mod programs;
mod scale;
mod soak;
mod trial;

use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use plan::{Plan, Size, Who};
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
    /// Hollow nodes by the hundred or thousand against real coordinators: what coordination costs, and slopes of that.
    #[command(subcommand)]
    Scale(scale::Scale),
    /// A randomized fault soak of nodes before stand-ins, troubles overlapping in time, judged at the far ends.
    #[command(subcommand)]
    Soak(soak::Soak),
    /// Becomes a program that ends when the trial does.
    #[command(hide = true)]
    Bound {
        /// The program and its arguments.
        #[arg(required = true, trailing_var_arg = true, allow_hyphen_values = true)]
        command: Vec<std::ffi::OsString>,
    },
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
    /// Coordinators, nodes under traffic, cache servers, and staff who take nodes and cache servers out and back: never
    /// more out than the limits allow, nothing sent to what is out, and all back in the end.
    Drains {
        /// Seeds, as 0..8.
        #[arg(long, value_parser = seeds)]
        seeds: Range<u64>,
        /// Trials that run at once.
        #[arg(long, default_value_t = 2)]
        jobs: u8,
        #[command(flatten)]
        of: DrainOptions,
    },
}

#[derive(Args, Clone, Debug)]
struct DrainOptions {
    #[arg(long, default_value_t = 5)]
    coordinators: usize,
    #[arg(long, default_value_t = 12)]
    nodes: usize,
    #[arg(long, default_value_t = 18)]
    servers: usize,
    /// Drains that staff ask for; 0 for the same trial without any.
    #[arg(long, default_value_t = 20)]
    people: usize,
    /// For how long things go wrong.
    #[arg(long, default_value_t = 8000)]
    ms: u64,
    /// Planted: staff say of every node that is out of sight that it is gone. Trials must find what that node sends.
    #[arg(long)]
    plant_guesses: bool,
    /// Keeps every process's log, in a folder for each seed.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Where the other programs are; beside this one when not told.
    #[arg(long)]
    programs: Option<PathBuf>,
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
    /// Everybody told to go at once, a node back from nothing, from a drain's word to out, and what that costs.
    Drains {
        #[arg(long, default_value_t = 5)]
        nodes: usize,
        #[arg(long, default_value_t = 4)]
        servers: usize,
        #[arg(long, default_value_t = 3)]
        coordinators: usize,
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
        let how = how(self.programs.as_ref(), folder, lane, &["mothpier", "mothpier-coordinator"])?;
        Ok(How { unfenced: self.plant_unfenced, ..how })
    }

    fn plan(&self, seed: u64) -> Plan {
        let Options { coordinators, nodes, contenders, ms, ttl_ms, .. } = *self;
        Plan::draw(seed, Size { coordinators, nodes, contenders, ms, ttl_ms })
    }
}

/// Plays seeds of drains, some at once; whether all were good.
fn run_drains(seeds: Range<u64>, jobs: u8, of: &DrainOptions) -> Result<bool, String> {
    let size =
        Size { coordinators: of.coordinators, nodes: of.nodes, contenders: 1, ms: of.ms, ttl_ms: 1500 };
    let one = |seed: u64, lane: u8| -> Result<drains::TrialResult, String> {
        let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
        let kept = of.keep.as_ref().map(|keep| keep.join(seed.to_string()));
        let at = kept.unwrap_or_else(|| folder.path().to_owned());
        let how = how(of.programs.as_ref(), at, lane, &["mothpier", "mothpier-coordinator", "mothpierctl"])?;
        let trial_size =
            drains::TrialSize { servers: of.servers, people: of.people, guesses: of.plant_guesses };
        let mut plan = Plan::draw(seed, size);
        if of.plant_guesses {
            plan.cut_off(Who::Node(0));
        }
        let played = block(drains::play(&plan, trial_size, &how));
        if !of.plant_guesses && played.as_ref().is_ok_and(|p| !p.failures().is_empty()) {
            // What went wrong once may not do so again.
            println!("seed {seed}: kept in {}", folder.keep().display());
        }
        played
    };
    let played = each(seeds, jobs, |seed, lane| {
        let played = one(seed, lane);
        match &played {
            Ok(p) => {
                let (all, good, _) = p.answers;
                println!(
                    "seed {seed}: {} times a cache server was out and {} a node, {} requests to them, at most {} nodes and \
                     {} cache servers out at once, {good} of {all} requests in time{}",
                    p.outs.0,
                    p.outs.1,
                    p.sent_to_out.len(),
                    p.most.0,
                    p.most.1,
                    p.failures().iter().map(|failure| format!("\n  {failure}")).collect::<String>()
                );
            }
            Err(why) => println!("seed {seed}: not played: {why}"),
        }
        // One that shows the planted mistake is enough.
        let enough = of.plant_guesses && played.as_ref().is_ok_and(drains::TrialResult::breaks_a_rule);
        (played, enough)
    })?;
    let good = played.iter().filter(|(_, p)| p.as_ref().is_ok_and(|p| p.failures().is_empty())).count();
    let sum = |of: fn(&drains::TrialResult) -> u64| -> u64 {
        played.iter().filter_map(|(_, p)| p.as_ref().ok()).map(of).sum()
    };
    println!(
        "{good} of {} seeds good; {} times out, {} requests to what was out, {:.2} % of {} requests in time",
        played.len(),
        sum(|p| (p.outs.0 + p.outs.1) as u64),
        sum(|p| p.sent_to_out.len() as u64),
        100.0 * sum(|p| p.answers.1) as f64 / sum(|p| p.answers.0).max(1) as f64,
        sum(|p| p.answers.0),
    );
    if of.plant_guesses {
        let found = |p: &Result<drains::TrialResult, String>| {
            p.as_ref().is_ok_and(drains::TrialResult::breaks_a_rule)
        };
        let first = played.iter().filter(|(_, p)| found(p)).map(|(seed, _)| *seed).min();
        println!("planted: {}", first.map_or("NOT found".into(), |seed| format!("found, by seed {seed}")));
        return Ok(first.is_some());
    }
    Ok(good == played.len())
}

/// Plays seeds, some at once, until one is enough; what came of each.
fn each<T: Send>(
    seeds: Range<u64>,
    jobs: u8,
    play: impl Fn(u64, u8) -> (T, bool) + Sync,
) -> Result<Vec<(u64, T)>, String> {
    let next = std::sync::Mutex::new(seeds);
    let played = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for lane in 0..jobs.max(1) {
            let (next, played, play) = (&next, &played, &play);
            scope.spawn(move || {
                loop {
                    let Some(seed) = next.lock().ok().and_then(|mut n| n.next()) else { return };
                    let (one, enough) = play(seed, lane);
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
    played.into_inner().map_err(|e| e.to_string())
}

/// How a trial is played, with the programs that it needs.
fn how(programs: Option<&PathBuf>, folder: PathBuf, lane: u8, needs: &[&str]) -> Result<How, String> {
    let programs = programs.cloned().map_or_else(beside, Ok)?;
    for name in needs {
        if !programs.join(name).exists() {
            return Err(format!("{} is not there: build it first", programs.join(name).display()));
        }
    }
    Ok(How { programs, folder, unfenced: false, lane })
}

/// Plays seeds, some at once; whether all were good.
fn run(seeds: Range<u64>, jobs: u8, options: &Options) -> Result<bool, String> {
    let played = each(seeds, jobs, |seed, lane| {
        let one = play(seed, lane, options);
        match &one {
            Ok(one) => println!("{}", verdict(seed, one, options.plant_unfenced).1),
            Err(why) => println!("seed {seed}: not played: {why}"),
        }
        // One that shows the planted mistake is enough.
        let enough = options.plant_unfenced && one.as_ref().is_ok_and(|o| !o.verdict.beside.is_empty());
        (one, enough)
    })?;
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
        Command::Bound { command } => Err(process::Process::become_bound(&command)),
        Command::Contender(told) => block(contender::run(told)).map(|()| true),
        Command::Measure(measured) => beside().and_then(|programs| match measured {
            Measure::Failover { members, kills, ttl_ms } => {
                block(measure::failover(&programs, members, kills, ttl_ms)).map(|()| true)
            }
            Measure::Drains { nodes, servers, coordinators } => {
                let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
                let needs = ["mothpier", "mothpier-coordinator", "mothpierctl"];
                let how = how(Some(&programs), folder.path().to_owned(), 0, &needs)?;
                block(opening::measure(&how, nodes, servers, coordinators)).map(|()| true)
            }
            Measure::Load { members, leases } => {
                block(measure::load(&programs, members, leases)).map(|()| true)
            }
        }),
        Command::Scale(scale) => scale::run(&scale),
        Command::Soak(soak) => soak::run(&soak),
        Command::Run(Run::Leases { seeds, jobs, options }) => run(seeds, jobs, &options),
        Command::Run(Run::Drains { seeds, jobs, of }) => run_drains(seeds, jobs, &of),
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
