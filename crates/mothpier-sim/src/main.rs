//! `mothpier-sim`: plays the node's own network code on a virtual clock against faults drawn from seeds, and judges
//! the four rules from outside.

mod cold_ramp;
mod coordinators;
mod daily_cases;
mod disk;
mod drains;
mod exec;
mod many;
mod measure;
mod names;
mod net;
mod oracle;
mod plan;
mod play;
mod reshuffle;
mod scenarios;
mod shrink;
mod sidecars;
mod slot_cases;
mod source_cases;
mod word;

use std::collections::BTreeMap;
use std::io::Write;
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;

use clap::{Args, Parser, Subcommand};
use mothpier::Mutation;

use many::Job;
use shrink::{Kept, plant_name, plant_named};

/// Plays the node's own network code in virtual time against faults drawn from seeds.
///
/// Exit codes: 0 when no rule broke (for `plants`: when every planted mistake was found), 1 when one did, 2 when the
/// command could not be carried out.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

/// Seeds of a world of its own, and its planted mistakes.
#[derive(Args)]
struct Many {
    /// The first seed and the one behind the last.
    #[arg(long, value_name = "FROM..TO", value_parser = seeds)]
    seeds: Range<u64>,
    /// Threads; as many as cores when not told.
    #[arg(long)]
    jobs: Option<usize>,
    /// Leaves one condition out after the other, each until that is found.
    #[arg(long)]
    twins: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Plays many seeds on all cores. The last line is "N seeds, N broken".
    Run {
        /// The first seed and the one behind the last.
        #[arg(long, value_name = "FROM..TO", value_parser = seeds)]
        seeds: Range<u64>,
        /// Threads; as many as cores when not told.
        #[arg(long)]
        jobs: Option<usize>,
        /// Plants a mistake in the nodes.
        #[arg(long, value_name = "NAME", value_parser = plant_named)]
        plant: Option<Mutation>,
        /// Keeps the run in a file; the same command goes on from there after a stop.
        #[arg(long, value_name = "FILE")]
        state: Option<PathBuf>,
        /// No progress on standard error.
        #[arg(long, short)]
        quiet: bool,
    },
    /// Plays coordinators, holders of a lease and those who obey, against faults of links, machines, clocks and disks. The
    /// last line is "N seeds, N broken".
    Coordinators(Many),
    /// Plays the fleet's agreement on drains: nodes that are cut off and crash, leaders that change, staff who take cache
    /// servers and nodes out and back. The last line is "N seeds, N broken".
    Drains(Many),
    /// Plays twenty to thirty nodes' decisions before a cache server that has just started. The last line is "N seeds, N
    /// broken".
    ColdRamp {
        #[command(flatten)]
        many: Many,
        /// So many nodes, where twenty to thirty are drawn otherwise.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=300))]
        nodes: Option<u16>,
    },
    /// Measures how long it takes to take every cache server and node of a fleet out and back, by limit, under faults.
    Roll {
        /// Nodes.
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u16).range(2..=1000))]
        nodes: u16,
        /// Cache servers.
        #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u16).range(2..=1000))]
        servers: u16,
        /// The seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Plays one seed, or a run from a file. The last line is "trace HASH".
    Replay {
        /// A seed, or a file as `shrink` writes it.
        run: String,
        /// Prints the trace: seconds since the start, then what happened.
        #[arg(long)]
        trace: bool,
        /// Plants a mistake in the nodes.
        #[arg(long, value_name = "NAME", value_parser = plant_named)]
        plant: Option<Mutation>,
    },
    /// Plays every planted mistake until it is found: in seeds first, then in the directed cases.
    Plants {
        /// Seeds to play for each at the most.
        #[arg(long, default_value_t = 300)]
        seeds: u64,
    },
    /// Plays the directed cases.
    Scenarios {
        /// Only those whose names hold this.
        name: Option<String>,
        /// Plants a mistake in the nodes.
        #[arg(long, value_name = "NAME", value_parser = plant_named)]
        plant: Option<Mutation>,
        /// Prints the trace of one run of each, by its number from 0.
        #[arg(long, value_name = "RUN")]
        trace: Option<usize>,
    },
    /// Cuts a failing run down to the fewest faults that still break the same rule.
    Shrink {
        /// A seed, or a file.
        run: String,
        /// Plants a mistake in the nodes.
        #[arg(long, value_name = "NAME", value_parser = plant_named)]
        plant: Option<Mutation>,
        /// Writes the run there, not to standard output.
        #[arg(long, short, value_name = "FILE")]
        output: Option<PathBuf>,
    },
    /// Measures what a reshuffle of slots costs a tier whose boxes form a cluster, by the budget of questions for the
    /// slot map.
    Reshuffle {
        /// Nodes of the tier.
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(1..=200))]
        nodes: u16,
        /// Boxes.
        #[arg(long, default_value_t = 15, value_parser = clap::value_parser!(u16).range(3..=200))]
        boxes: u16,
        /// Keys that are asked for.
        #[arg(long, default_value_t = 20_000, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
        keys: u64,
        /// Requests a second of the whole tier.
        #[arg(long, default_value_t = 400, value_parser = clap::value_parser!(u32).range(1..=10_000))]
        rate: u32,
        /// The seed of chance.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measures how soon all nodes know of a new box, a death and a drain, by their sources of boxes and with each out of
    /// reach, and what DNS is asked.
    Word {
        /// Nodes of the tier.
        #[arg(long, default_value_t = 14, value_parser = clap::value_parser!(u16).range(2..=200))]
        nodes: u16,
        /// Boxes.
        #[arg(long, default_value_t = 15, value_parser = clap::value_parser!(u16).range(4..=200))]
        boxes: u16,
        /// The seed of chance.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Plays fleets of sidecars, each of which has less than one call of what the origin takes: the four rules, and what
    /// the origin got against what it was said to take.
    Sidecars {
        /// The first seed and the one behind the last.
        #[arg(long, value_name = "FROM..TO", value_parser = seeds, default_value = "0..500")]
        seeds: Range<u64>,
        /// Sidecars.
        #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u16).range(1..=250))]
        nodes: u16,
        /// Boxes, one of which starts cold.
        #[arg(long, default_value_t = 18, value_parser = clap::value_parser!(u16).range(3..=200))]
        boxes: u16,
        /// Requests a second of all of them.
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(1..=10_000))]
        rate: u32,
        /// Keys that are asked for.
        #[arg(long, default_value_t = 2_000, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
        keys: u64,
        /// Calls at once that the origin takes.
        #[arg(long, default_value_t = 80)]
        outstanding: u32,
        /// Calls a second that it takes.
        #[arg(long, default_value_t = 400)]
        per_s: u32,
        /// The origin takes so many times as long for five seconds, from the moment at which every copy is void.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=100))]
        slow: u16,
        /// No faults, and beside it the same seeds with the node's own parts in place of shares.
        #[arg(long)]
        compare: bool,
        /// Threads; as many as cores when not told.
        #[arg(long)]
        jobs: Option<usize>,
        /// No progress on standard error.
        #[arg(long, short)]
        quiet: bool,
    },
    /// Prints a seed's faults, in the form that `replay` takes.
    Plan {
        /// The seed.
        seed: u64,
    },
}

fn seeds(text: &str) -> Result<Range<u64>, String> {
    let bad = || format!("{text:?} is no range; write FROM..TO, as in 0..300");
    let (from, to) = text.split_once("..").ok_or_else(bad)?;
    let range = from.parse().map_err(|_| bad())?..to.parse().map_err(|_| bad())?;
    if range.is_empty() { Err(format!("{text:?} holds no seed")) } else { Ok(range) }
}

fn kept(run: &str, plant: Option<Mutation>) -> Result<Kept, String> {
    let kept = match run.parse() {
        Ok(seed) => Kept { seed, ..Kept::default() },
        Err(_) => Kept::read(run.as_ref())?,
    };
    Ok(Kept { plant: plant.or(kept.plant), ..kept })
}

fn main() -> ExitCode {
    // A panic in a run is a finding, told with its seed; the usual lines of it would only bury that.
    std::panic::set_hook(Box::new(|_| {}));
    let result = match Cli::parse().command {
        Command::Run { seeds, jobs, plant, state, quiet } => run(seeds, jobs, plant, state, quiet),
        Command::Coordinators(Many { seeds, jobs, twins }) => coordinators(seeds, jobs, twins),
        Command::Drains(Many { seeds, jobs, twins }) => drains(seeds, jobs, twins),
        Command::ColdRamp { many, nodes } => cold_ramp(many, nodes.map(usize::from)),
        Command::Roll { nodes, servers, seed } => {
            drains::roll(usize::from(nodes), usize::from(servers), seed, &say).map(|()| true)
        }
        Command::Replay { run, trace, plant } => replay(&run, trace, plant),
        Command::Plants { seeds } => plants(seeds),
        Command::Scenarios { name, plant, trace } => scenarios(name.as_deref(), plant, trace),
        Command::Shrink { run, plant, output } => shrink(&run, plant, output),
        Command::Reshuffle { nodes, boxes, keys, rate, seed } => {
            let (nodes, boxes) = (usize::from(nodes), usize::from(boxes));
            let tier = measure::Tier { nodes, boxes, keys, rate: f64::from(rate) };
            measure::table(tier, seed, &say).map(|()| true)
        }
        Command::Word { nodes, boxes, seed } => {
            let tier = word::Tier { nodes: usize::from(nodes), boxes: usize::from(boxes) };
            word::tables(tier, seed, &say).map(|()| true)
        }
        Command::Sidecars {
            seeds,
            nodes,
            boxes,
            rate,
            keys,
            outstanding,
            per_s,
            slow,
            compare,
            jobs,
            quiet,
        } => {
            let fleet = sidecars::Fleet {
                nodes: usize::from(nodes),
                boxes: usize::from(boxes),
                rate: f64::from(rate),
                keys,
                shares: Some((f64::from(outstanding), f64::from(per_s))),
                slow: f64::from(slow),
                faults: !compare,
            };
            play_sidecars(fleet, &seeds, compare, jobs.unwrap_or_else(cores), quiet)
        }
        Command::Plan { seed } => {
            let (boxes, beside) = (plan::Boxes::draw(seed), plan::Beside::draw(seed));
            let faults = Some(plan::draw(seed, boxes, beside));
            let kept = Kept { seed, plant: None, boxes: Some(boxes), beside: Some(beside), faults };
            say(&kept.text(""));
            Ok(true)
        }
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            let _ = writeln!(std::io::stderr(), "mothpier-sim: {e}");
            ExitCode::from(2)
        }
    }
}

/// Writes to standard output; one that is closed must not end the run.
fn say(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn cores() -> usize {
    thread::available_parallelism().map_or(1, usize::from)
}

fn run(
    seeds: Range<u64>,
    jobs: Option<usize>,
    plant: Option<Mutation>,
    state: Option<PathBuf>,
    quiet: bool,
) -> Result<bool, String> {
    let jobs = jobs.unwrap_or_else(cores);
    let seeds = (seeds.start, seeds.end);
    let sum = many::run(&Job { seeds, jobs, plant, first: false, state, progress: !quiet })?;
    for (seed, b) in &sum.broken {
        say(&format!("seed {seed}: rule {} broken at {} ms: {}\n", b.rule.name(), b.at_ms, b.what));
        say(&format!("  to see it: mothpier-sim replay {seed} --trace; to cut it down: shrink {seed}\n"));
    }
    let faults: Vec<String> = sum.faults.iter().map(|(k, n)| format!("{} {n}", k.name())).collect();
    let all = plan::Kind::ALL.len() * (plan::Kind::ALL.len() + 1) / 2;
    let ends: Vec<String> = sum.tally.ends.iter().map(|(e, n)| format!("{e:?} {n}")).collect();
    say(&format!("faults: {}\n", faults.join(", ")));
    say(&format!("pairs of faults that overlapped: {} of {all}\n", sum.pairs.len()));
    say(&format!(
        "{} requests ({}), {} attempts at boxes, {} calls at the origin, {} effects; a cold box was sent at the most {:.2} of what it may be\n",
        sum.tally.asked,
        ends.join(", "),
        sum.tally.attempts.0,
        sum.tally.attempts.1,
        sum.tally.effects,
        sum.tally.cold
    ));
    if let Some(hash) = sum.hash {
        say(&format!("traces {hash:016x}\n"));
    }
    say(&format!("{:.1} s on {jobs} threads\n", sum.took.as_secs_f64()));
    say(&format!("{} seeds, {} broken\n", sum.played, sum.broken.len()));
    Ok(sum.broken.is_empty())
}

fn play_sidecars(
    fleet: sidecars::Fleet,
    seeds: &Range<u64>,
    compare: bool,
    jobs: usize,
    quiet: bool,
) -> Result<bool, String> {
    let (all, from) = (seeds.end - seeds.start, (seeds.start, seeds.end));
    let progress = move |runs: u64| {
        if !quiet && runs.is_multiple_of(10) {
            let _ = writeln!(std::io::stderr(), "{runs} of {all}");
        }
    };
    let (most, per_s) = fleet.shares.unwrap_or_default();
    say(&format!(
        "{} sidecars, {} boxes, {:.0} requests a second, {} keys; the origin takes {most} calls at once, {per_s} a second\n\n{}",
        fleet.nodes,
        fleet.boxes,
        fleet.rate,
        fleet.keys,
        sidecars::HEAD
    ));
    let shown = sidecars::many(fleet, from, jobs, &progress);
    say(&sidecars::line("shares in turns", &shown));
    if compare {
        let own = sidecars::many(sidecars::Fleet { shares: None, ..fleet }, from, jobs, &progress);
        say(&sidecars::line("each its own", &own));
    }
    for (seed, what) in &shown.broken {
        say(&format!("seed {seed}: {what}\n"));
    }
    Ok(shown.broken.is_empty())
}

/// Plays coordinators on all cores; whether no rule was broken, or every twin was found.
/// Plays seeds on several threads until one is enough; what came of each.
fn seeds_at_once<T: Send>(
    seeds: &Range<u64>,
    jobs: Option<usize>,
    play: impl Fn(u64) -> T + Sync,
    enough: impl Fn(&T) -> bool + Sync,
) -> BTreeMap<u64, T> {
    let threads = jobs.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, usize::from));
    let next = std::sync::Mutex::new(seeds.clone());
    let all = std::sync::Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let Some(seed) = next.lock().ok().and_then(|mut n| n.next()) else { return };
                    let played = play(seed);
                    let last = enough(&played);
                    if let Ok(mut all) = all.lock() {
                        all.insert(seed, played);
                    }
                    if last && let Ok(mut next) = next.lock() {
                        *next = 0..0;
                    }
                }
            });
        }
    });
    all.into_inner().unwrap_or_default()
}

/// Plays each planted mistake until it is found; whether all were.
fn planted_found<W: Copy + std::fmt::Debug + Sync>(
    twins: &[W],
    seeds: &Range<u64>,
    jobs: Option<usize>,
    play: impl Fn(u64, W) -> Vec<String> + Sync,
) -> bool {
    let mut good = true;
    for twin in twins {
        let all = seeds_at_once(seeds, jobs, |seed| play(seed, *twin), |broken| !broken.is_empty());
        match all.iter().find(|(_, broken)| !broken.is_empty()) {
            Some((seed, broken)) => say(&format!("{twin:?}: found in seed {seed}: {}\n", broken[0])),
            None => {
                good = false;
                say(&format!("{twin:?}: NOT found in {} seeds\n", all.len()));
            }
        }
    }
    good
}

/// Says which seeds are broken, and how many.
fn broken_seeds<'a>(all: impl Iterator<Item = (&'a u64, &'a Vec<String>)>) -> usize {
    let mut count = 0;
    for (seed, broken) in all.filter(|(_, broken)| !broken.is_empty()) {
        count += 1;
        say(&format!("seed {seed}: {}\n", broken.join("; ")));
    }
    count
}

fn drains(seeds: Range<u64>, jobs: Option<usize>, twins: bool) -> Result<bool, String> {
    let one = |seed, twin| drains::play(seed, drains::small(seed), false, twin);
    if twins {
        return Ok(planted_found(&drains::TWINS, &seeds, jobs, |seed, twin| one(seed, Some(twin)).broken));
    }
    let all = seeds_at_once(&seeds, jobs, |seed| one(seed, None), |_| false);
    let broken = broken_seeds(all.iter().map(|(seed, p)| (seed, &p.broken)));
    say(&format!("{}\n{} seeds, {broken} broken\n", drains::sum(&all), all.len()));
    Ok(broken == 0)
}

fn cold_ramp(Many { seeds, jobs, twins }: Many, nodes: Option<usize>) -> Result<bool, String> {
    if twins {
        let play = |seed, twin| cold_ramp::play(seed, nodes, Some(twin)).broken;
        return Ok(planted_found(&cold_ramp::TWINS, &seeds, jobs, play));
    }
    let all = seeds_at_once(&seeds, jobs, |seed| cold_ramp::play(seed, nodes, None), |_| false);
    let broken = broken_seeds(all.iter().map(|(seed, p)| (seed, &p.broken)));
    say(&format!("{}{} seeds, {broken} broken\n", cold_ramp::sum(&all), all.len()));
    Ok(broken == 0)
}

fn coordinators(seeds: Range<u64>, jobs: Option<usize>, twins: bool) -> Result<bool, String> {
    if twins {
        let play = |seed, twin| coordinators::play(seed, Some(twin)).broken;
        return Ok(planted_found(&coordinators::TWINS, &seeds, jobs, play));
    }
    let all = seeds_at_once(&seeds, jobs, |seed| coordinators::play(seed, None), |_| false);
    let broken = broken_seeds(all.iter().map(|(seed, p)| (seed, &p.broken)));
    let sum = |of: fn(&coordinators::Played) -> usize| all.values().map(of).sum::<usize>();
    say(&format!(
        "{} grants acted, {} changes acknowledged, {} elections, {} crashes, {} full disks\n",
        sum(|p| p.grants),
        sum(|p| p.changes),
        sum(|p| p.elections),
        sum(|p| p.crashes),
        sum(|p| p.full)
    ));
    say(&format!("{} seeds, {broken} broken\n", all.len()));
    Ok(broken == 0)
}

fn replay(run: &str, trace: bool, plant: Option<Mutation>) -> Result<bool, String> {
    let kept = kept(run, plant)?;
    let report = play::play(kept.seed, &play::Options { lines: trace, ..kept.options() });
    for line in &report.lines {
        say(&format!("{line}\n"));
    }
    for fault in &report.faults {
        say(&format!("fault {fault}\n"));
    }
    let t = &report.tally;
    say(&format!("{} requests: {:?}\n", t.asked, t.ends));
    match &report.broken {
        Some(b) => say(&format!("rule {} broken at {} ms: {}\n", b.rule.name(), b.at_ms, b.what)),
        None => say("no rule broken\n"),
    }
    say(&format!("trace {:016x}\n", report.hash));
    Ok(report.broken.is_none())
}

fn plants(most: u64) -> Result<bool, String> {
    let mut all = true;
    for plant in Mutation::ALL {
        let name = plant_name(plant);
        let job = Job {
            seeds: (0, most),
            jobs: cores(),
            plant: Some(plant),
            first: true,
            state: None,
            progress: false,
        };
        let sum = many::run(&job)?;
        if let Some((seed, b)) = sum.broken.first_key_value() {
            say(&format!("{name}: found in {} seeds, rule {}: {}\n", seed + 1, b.rule.name(), b.what));
            continue;
        }
        let found = scenarios::all().find_map(|s| Some((s.name, s.play(Some(plant)).err()?)));
        match found {
            Some((case, what)) => {
                say(&format!("{name}: found in case {case} (not in {most} seeds): {what}\n"))
            }
            None => {
                all = false;
                say(&format!("{name}: HIDDEN after {most} seeds and all cases\n"));
            }
        }
    }
    Ok(all)
}

fn scenarios(name: Option<&str>, plant: Option<Mutation>, trace: Option<usize>) -> Result<bool, String> {
    let wanted: Vec<_> = scenarios::all().filter(|s| name.is_none_or(|n| s.name.contains(n))).collect();
    if wanted.is_empty() {
        let names: Vec<&str> = scenarios::all().map(|s| s.name).collect();
        return Err(format!("no case of that name; there are {}", names.join(", ")));
    }
    let mut good = 0;
    for s in &wanted {
        if let Some((seed, options)) = trace.and_then(|run| (s.runs)().into_iter().nth(run)) {
            let lines = play::play(seed, &play::Options { plant, lines: true, ..options }).lines;
            lines.iter().for_each(|l| say(&format!("{l}\n")));
        }
        match s.play(plant) {
            Ok(reports) => {
                good += 1;
                let asked: u64 = reports.iter().map(|r| r.tally.asked).sum();
                let cold = reports.iter().map(|r| r.tally.cold).fold(0.0, f64::max);
                let figures = format!("{} runs, {asked} requests, cold {cold:.2}", reports.len());
                say(&format!("{}: kept ({figures}): {}\n", s.name, s.about));
            }
            Err(e) => say(&format!("{}: BROKEN, {e} ({})\n", s.name, s.about)),
        }
    }
    say(&format!("{} cases, {} broken\n", wanted.len(), wanted.len() - good));
    Ok(good == wanted.len())
}

fn shrink(run: &str, plant: Option<Mutation>, output: Option<PathBuf>) -> Result<bool, String> {
    let start = kept(run, plant)?;
    let Some((least, rule, runs)) = shrink::shrink(&start) else {
        say("no rule broken: nothing to cut down\n");
        return Ok(true);
    };
    let broken = play::play(least.seed, &least.options()).broken;
    let what = broken.map(|b| format!("rule {} broken at {} ms: {}", rule.name(), b.at_ms, b.what));
    let text = least.text(&what.unwrap_or_default());
    match output {
        Some(path) => {
            std::fs::write(&path, &text).map_err(|e| format!("{}: {e}", path.display()))?;
            let faults = least.faults.map_or(0, |f| f.len());
            say(&format!("{faults} faults left after {runs} runs, in {}\n", path.display()));
        }
        None => say(&text),
    }
    Ok(false)
}
