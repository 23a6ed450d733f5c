//! A randomized fault soak: real nodes before stand-ins with ledgers, troubles that overlap in time by a plan that a seed
//! draws, and a verdict by name from the far ends.
//!
//! Troubles at the nodes' system calls come from the preloaded library (`mothpier-fault-preload`); those of links from the
//! stand-ins at their ends; signals from here. What it can't see: a front that deals out connections, several machines, a
//! disk under a node (its handoff has tests of its own), the sum of slow start over a fleet (`mothpier-sim cold-ramp`).

mod clients;
mod discovery;
mod ledger;
mod oracle;
mod plan;
mod servers;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand};
use mothpier_fault_control::{FaultControl, Setting};
use mothpier_world::{Dice, loopback};
use rustix::process::Signal;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use self::clients::Crowd;
use self::discovery::{Discovery, Line};
use self::ledger::Ledger;
use self::oracle::Violation;
use self::plan::{Kind, Plan, Trouble};
use self::servers::{Server, Way};
use crate::process::Process;
use crate::programs::{address, write};

/// Clients of each node.
const CLIENTS: usize = 3;
/// After the last trouble all must be well again within this time; then it is calm for as long.
const HEALS: Duration = Duration::from_millis(1_500);
const CALM: Duration = Duration::from_millis(800);
/// A node that was started is ready within this time.
const READY: Duration = Duration::from_secs(10);
/// A process that was told to end may be killed after this time: the longest deadline, and 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(plan::LONGEST_DEADLINE_MS + 700);
/// Clients that use their connections from before a process is told to end until they are closed or it is killed.
const PERSISTENT_CLIENTS: usize = 3;
/// Their connections are in use by then.
const PERSISTENT_BEFORE: Duration = Duration::from_millis(100);
/// Between two signals of a series, in milliseconds.
const SERIES_MS: (u64, u64) = (1, 60);
/// What a node is told in a row.
const SIGNAL_SERIES: [Signal; 5] = [Signal::HUP, Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM];
/// Numbers of persistent clients, behind those of the others.
const PERSISTENT_FROM: usize = 100;
/// How often it is looked whether this program runs, and how late that may be.
const LOOK: Duration = Duration::from_millis(5);
const LOOK_LATE: Duration = Duration::from_millis(10);
/// Stops of a node, and the time between them, in milliseconds.
const STOP_MS: (u64, u64) = (30, 150);
const STOP_PAUSE_MS: (u64, u64) = (50, 200);
/// The span after a start over which the share of a cold server is taken.
const COLD_SPAN: Duration = Duration::from_millis(700);
/// Keys are where they belong so long after the last trouble that moved them, in milliseconds.
const KEYS_SETTLE_MS: u64 = 600;
/// Clients with half a request have their error or end by then, or are kept.
const HALF_REQUESTS_END: Duration = Duration::from_secs(4);
/// How long after the change of a list all nodes have it where discovery is well.
const LIST_REACHES: Duration = Duration::from_millis(200);
/// How long a node's file can't be read.
const BAD_FILE: Duration = Duration::from_millis(150);
/// Requests at each node in the end, which must all be served.
const LAST_REQUESTS: usize = 10;

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
struct Played {
    plan: Plan,
    broken: Vec<Violation>,
    requests: usize,
    attempts: usize,
    injected: i64,
    stalled: Duration,
    took: Duration,
}

impl Played {
    fn rules(&self) -> BTreeMap<&'static str, usize> {
        let mut rules = BTreeMap::new();
        self.broken.iter().for_each(|violation| *rules.entry(violation.rule).or_default() += 1);
        rules
    }

    fn line(&self) -> String {
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
            println!("{}", played.line());
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
            Ok(played) => println!("{}", played.line()),
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

fn play_aside(plan: Plan, lane: u8, options: &Options) -> Result<Played, String> {
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    play(plan, lane, options, folder.path())
}

fn play(plan: Plan, lane: u8, options: &Options, folder: &Path) -> Result<Played, String> {
    let needs = ["mothpier", mothpier_fault_control::LIBRARY];
    let programs = crate::how(options.programs.as_ref(), folder.to_owned(), lane, &needs)?.programs;
    crate::block(World::play(plan, lane, options.plant.clone(), programs, folder.to_owned()))
}

/// A node of the world.
struct Node {
    number: usize,
    process: Process,
    control: FaultControl,
    crowd: Rc<Crowd>,
    /// Its file, and the two entries of discovery that the file may name.
    file: PathBuf,
    entries: [SocketAddr; 2],
    text: String,
    /// It is being killed or ended and started again: once at a time.
    restarts: Cell<bool>,
}

impl Node {
    fn name_entry(&self, entry: usize) -> Result<(), String> {
        write(&self.file, &self.text.replace("ENTRY", &self.entries[entry].to_string()))
    }

    fn set(&self, setting: Setting, value: i64) {
        let _ = self.control.set(setting, value);
    }
}

/// Everything that one seed plays.
struct World {
    plan: Plan,
    nodes: Vec<Node>,
    servers: Vec<Rc<Server>>,
    origin: Rc<Server>,
    discovery: Rc<Discovery>,
    ledger: Rc<RefCell<Ledger>>,
    dice: Dice,
    /// When the plan's time began.
    began: Cell<Instant>,
    /// Clients that have sent half a request and stay.
    half_requests: RefCell<Vec<tokio::task::JoinHandle<()>>>,
    /// How many persistent clients there were.
    persistent: Cell<usize>,
    over: Cell<bool>,
}

fn wall_ms(step_ms: i64) -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as i64) + step_ms
}

impl World {
    async fn play(
        plan: Plan,
        lane: u8,
        plant: Option<String>,
        programs: PathBuf,
        folder: PathBuf,
    ) -> Result<Played, String> {
        let began = Instant::now();
        let world = Rc::new(World::build(plan, lane, plant, &programs, &folder).await?);
        spawn_local(world.clone().watch_stalls());
        for node in &world.nodes {
            node.process.start()?;
        }
        for node in &world.nodes {
            if !world.ready_within(node, READY).await {
                return Err(format!("node {} did not start: {}", node.number, node.process.logged()));
            }
        }
        let mut clients = Vec::new();
        for node in &world.nodes {
            for client in 0..CLIENTS {
                let dice = Dice::part(world.plan.seed, (1000 + node.number * 10 + client) as u64);
                clients.push(spawn_local(node.crowd.clone().client(client, dice)));
            }
            for _ in 0..world.plan.crowd {
                spawn_local(node.crowd.clone().idle_client());
            }
        }
        world.trouble().await;
        sleep(HEALS).await;
        world.last_requests().await;
        sleep(CALM).await;
        world.nodes.iter().for_each(|node| node.crowd.over.set(true));
        for client in clients {
            let _ = timeout(Duration::from_secs(6), client).await;
        }
        let half_requests = std::mem::take(&mut *world.half_requests.borrow_mut());
        for client in half_requests {
            let _ = timeout(HALF_REQUESTS_END, client).await;
        }
        world.over.set(true);
        world.read_invariants().await;
        world.look_at_processes();
        let injected = world.nodes.iter().filter_map(|n| n.control.get(Setting::Injected).ok()).sum();
        for node in &world.nodes {
            node.process.kill().await;
        }
        let ledger = world.ledger.borrow();
        let plan = world.plan.clone();
        let broken = oracle::judge(&plan, &ledger);
        let kept = serde_json::to_string_pretty(&plan).unwrap_or_default();
        write(&folder.join("plan.json"), &kept)?;
        write(&folder.join("time-line.txt"), &time_line(began, &ledger))?;
        Ok(Played {
            plan,
            broken,
            requests: ledger.asked.len(),
            attempts: ledger.arrivals.len(),
            injected,
            stalled: ledger.stalls.iter().map(|(from, to)| *to - *from).sum(),
            took: began.elapsed(),
        })
    }

    async fn build(
        plan: Plan,
        lane: u8,
        plant: Option<String>,
        programs: &Path,
        folder: &Path,
    ) -> Result<World, String> {
        let ledger = Rc::new(RefCell::new(Ledger::default()));
        let mut servers = Vec::new();
        for number in 0..plan.servers {
            servers.push(Server::start(Some(number), ledger.clone()).await?);
        }
        let origin = Server::start(None, ledger.clone()).await?;
        let line = |(number, server): (usize, &Rc<Server>)| Line {
            id: format!("s-{number}"),
            at: server.at,
            kind: "m",
            ready: true,
            started_ms: 0,
        };
        let mut lines: Vec<Line> = servers.iter().enumerate().map(line).collect();
        lines.push(Line { id: "o-1".into(), at: origin.at, kind: "origin", ready: true, started_ms: 0 });
        let discovery = Discovery::new(lines, ledger.clone());
        let mut nodes = Vec::new();
        for number in 0..plan.nodes {
            let (front, admin) = (address(lane, 70 + number as u8), address(lane, 40 + number as u8));
            let entries = [discovery.entry(number).await?, discovery.entry(number).await?];
            let name = format!("node-{number}");
            let control =
                FaultControl::create(&folder.join(format!("{name}.faults"))).map_err(|e| e.to_string())?;
            let file = folder.join(format!("{name}.json"));
            let placeholder = entries[0].to_string();
            let text = loopback::config(&name, entries[0], plan.descriptors())
                .replace(
                    loopback::SETTINGS,
                    &plan.settings().replace(r#""me":0"#, &format!(r#""me":{number}"#)),
                )
                .replace(&placeholder, "ENTRY");
            let mut environment = vec![
                ("ROUTER_CONFIG".to_owned(), file.display().to_string()),
                ("ROUTER_LISTEN".to_owned(), front.to_string()),
                ("ROUTER_OPERATOR".to_owned(), admin.to_string()),
                ("MOTHPIER_EVENTS".to_owned(), "text".to_owned()),
            ];
            environment.extend(control.environment(programs));
            environment.extend(plant.iter().map(|name| ("MOTHPIER_PLANT".to_owned(), name.clone())));
            let log = folder.join(format!("{name}.log"));
            let process = Process::new(programs.join("mothpier"), Vec::new(), environment, log);
            let crowd = Rc::new(Crowd {
                node: number,
                at: front,
                brief_ms: plan.brief_ms,
                pipeline: plan.pipeline,
                crowded: plan.crowd > 0,
                ledger: ledger.clone(),
                departing: Cell::new(false),
                quiet: Cell::new(false),
                over: Cell::new(false),
            });
            let node =
                Node { number, process, control, crowd, file, entries, text, restarts: Cell::new(false) };
            node.set(Setting::Seed, (plan.seed * 100 + number as u64) as i64);
            node.name_entry(0)?;
            nodes.push(node);
        }
        let dice = Dice::part(plan.seed, 47);
        let (began, half_requests) = (Cell::new(Instant::now()), RefCell::default());
        let (persistent, over) = (Cell::new(0), Cell::new(false));
        Ok(World {
            persistent,
            plan,
            nodes,
            servers,
            origin,
            discovery,
            ledger,
            dice,
            began,
            half_requests,
            over,
        })
    }

    /// Notes when this program did not run: what it saw late then is not the nodes' fault.
    async fn watch_stalls(self: Rc<Self>) {
        let mut before = Instant::now();
        while !self.over.get() {
            sleep(LOOK).await;
            let now = Instant::now();
            if now - before > LOOK + LOOK_LATE {
                self.ledger.borrow_mut().stalls.push((before, now));
            }
            before = now;
        }
    }

    /// Carries the plan out, and mends everything.
    async fn trouble(self: &Rc<Self>) {
        let began = Instant::now();
        self.began.set(began);
        let mut tasks = Vec::new();
        for trouble in self.plan.troubles.clone() {
            let at = began + Duration::from_millis(trouble.at_ms);
            sleep(at.saturating_duration_since(Instant::now())).await;
            tasks.push(spawn_local(self.clone().befall(trouble)));
        }
        for task in tasks {
            let _ = task.await;
        }
        let mended = began + Duration::from_millis(self.plan.mended_at_ms());
        sleep(mended.saturating_duration_since(Instant::now())).await;
    }

    async fn befall(self: Rc<Self>, trouble: Trouble) {
        let node = &self.nodes[trouble.target % self.nodes.len()];
        let server = trouble.target % self.servers.len();
        let lasts = Duration::from_millis(trouble.lasts_ms);
        match trouble.kind {
            Kind::WallStep => self.wall_step(node, server, trouble.step_ms, lasts).await,
            Kind::ShortCalls => {
                self.inject(node, &[(Setting::ShortReads, 500), (Setting::ShortWrites, 500)], lasts).await;
            }
            Kind::BrokenStreams => {
                let begun = Instant::now();
                self.inject(node, &[(Setting::BrokenStreams, 15)], lasts).await;
                self.ledger.borrow_mut().broken.push((node.number, begun, Instant::now()));
            }
            Kind::Interrupts => self.inject(node, &[(Setting::Interrupts, 200)], lasts).await,
            Kind::FailingAccepts => {
                // An aborted connection ends unread, as the error says.
                let begun = Instant::now();
                self.inject(node, &[(Setting::FailingAccepts, 200)], lasts).await;
                self.ledger.borrow_mut().broken.push((node.number, begun, Instant::now()));
            }
            Kind::FailingConnects => self.inject(node, &[(Setting::FailingConnects, 200)], lasts).await,
            Kind::Stops => self.stops(node, lasts).await,
            Kind::Reloads => self.reloads(node, lasts).await,
            Kind::Kill => self.kill(node, lasts).await,
            Kind::Terminate => self.terminate(node, &[Signal::TERM]).await,
            Kind::SignalSeries => self.terminate(node, &SIGNAL_SERIES).await,
            Kind::Drain => {
                self.discovery.change(server, |line| line.ready = false);
                sleep(lasts).await;
                self.discovery.change(server, |line| line.ready = true);
            }
            Kind::Hang => self.server(&self.servers[server], Way::Hangs, lasts).await,
            Kind::Resets => self.server(&self.servers[server], Way::Resets, lasts).await,
            Kind::Slow => self.server(&self.servers[server], Way::Slow, lasts).await,
            Kind::Pieces => self.server(&self.servers[server], Way::Pieces, lasts).await,
            Kind::Closes => self.server(&self.servers[server], Way::Closes, lasts).await,
            Kind::Restart => self.restart_server(server, 0).await,
            Kind::DiscoveryDown => self.discovery(discovery::Way::Down, lasts).await,
            Kind::DiscoverySilent => self.discovery(discovery::Way::Silent, lasts).await,
            Kind::DiscoverySlow => self.discovery(discovery::Way::Slow, lasts).await,
            Kind::OriginFails => self.server(&self.origin, Way::Fails, lasts).await,
            Kind::OriginResets => self.server(&self.origin, Way::Resets, lasts).await,
            Kind::OriginHangs => self.server(&self.origin, Way::Hangs, lasts).await,
            Kind::SecondAnswers => self.server(&self.servers[server], Way::SecondAnswers, lasts).await,
            Kind::SpoiltAnswers => self.server(&self.servers[server], Way::Spoils, lasts).await,
            Kind::BadReload => self.bad_reload(node).await,
            Kind::OriginSlow => self.server(&self.origin, Way::Slow, lasts).await,
            Kind::Departures => {
                node.crowd.departing.set(true);
                sleep(lasts).await;
                node.crowd.departing.set(false);
            }
            Kind::HalfRequests => {
                for number in 0..4 {
                    let client = spawn_local(node.crowd.clone().half_request(number));
                    self.half_requests.borrow_mut().push(client);
                }
            }
            Kind::Quiet => {
                node.crowd.quiet.set(true);
                sleep(lasts).await;
                node.crowd.quiet.set(false);
            }
        }
    }

    async fn inject(&self, node: &Node, settings: &[(Setting, i64)], lasts: Duration) {
        settings.iter().for_each(|(setting, value)| node.set(*setting, *value));
        sleep(lasts).await;
        settings.iter().for_each(|(setting, _)| node.set(*setting, 0));
    }

    async fn server(&self, server: &Rc<Server>, way: Way, lasts: Duration) {
        server.set(way);
        sleep(lasts).await;
        server.set(Way::Well);
    }

    async fn discovery(&self, way: discovery::Way, lasts: Duration) {
        self.discovery.set(way);
        sleep(lasts).await;
        self.discovery.set(discovery::Way::Well);
    }

    async fn wall_step(&self, node: &Node, server: usize, step_ms: i64, lasts: Duration) {
        node.set(Setting::WallOffsetMicros, step_ms * 1000);
        self.restart_server(server, step_ms).await;
        sleep(lasts).await;
        node.set(Setting::WallOffsetMicros, 0);
    }

    /// A cache server has just started, by its own clock; its share of the attempts right after is noted.
    async fn restart_server(&self, server: usize, step_ms: i64) {
        self.discovery.change(server, |line| line.started_ms = wall_ms(step_ms));
        sleep(LIST_REACHES).await;
        // Only where the word reached all nodes, and nothing else moves keys.
        let from_ms = self.began.get().elapsed().as_millis() as u64;
        let window = from_ms.saturating_sub(KEYS_SETTLE_MS)..from_ms + COLD_SPAN.as_millis() as u64;
        let touches = |t: &&Trouble| t.at_ms < window.end && window.start < t.at_ms + t.lasts_ms;
        if self.plan.troubles.iter().filter(touches).any(Trouble::moves_keys) {
            return;
        }
        let from = self.ledger.borrow().arrivals.len();
        sleep(COLD_SPAN).await;
        let mut ledger = self.ledger.borrow_mut();
        let at = |number: usize| ledger.arrivals[from..].iter().filter(|a| a.server == Some(number)).count();
        let own = at(server);
        let others: usize = (0..self.servers.len()).filter(|n| *n != server).map(at).sum();
        let mean = others as f64 / (self.servers.len() - 1) as f64;
        ledger.cold.push((own, mean));
    }

    async fn stops(&self, node: &Node, lasts: Duration) {
        let until = Instant::now() + lasts;
        let over = until + Duration::from_millis(STOP_MS.1 + STOP_PAUSE_MS.1);
        self.ledger.borrow_mut().stopped.push((node.number, Instant::now(), over));
        while Instant::now() < until {
            node.process.signal(Signal::STOP);
            sleep(Duration::from_millis(self.dice.within(STOP_MS.0, STOP_MS.1))).await;
            node.process.signal(Signal::CONT);
            sleep(Duration::from_millis(self.dice.within(STOP_PAUSE_MS.0, STOP_PAUSE_MS.1))).await;
        }
    }

    /// Several in a row: discovery moves from one entry to the other.
    async fn reloads(&self, node: &Node, lasts: Duration) {
        for entry in [1, 0, 1] {
            if node.name_entry(entry).is_ok() {
                node.process.signal(Signal::HUP);
            }
            sleep(lasts / 3).await;
        }
    }

    /// It is told to read a file that holds half of a configuration, and a good one again.
    async fn bad_reload(&self, node: &Node) {
        // A process that starts meanwhile would find no configuration.
        if node.restarts.replace(true) {
            return;
        }
        if write(&node.file, &node.text[..node.text.len() / 2]).is_ok() {
            node.process.signal(Signal::HUP);
            sleep(BAD_FILE).await;
        }
        if node.name_entry(0).is_ok() {
            node.process.signal(Signal::HUP);
        }
        node.restarts.set(false);
    }

    async fn kill(&self, node: &Node, lasts: Duration) {
        if node.restarts.replace(true) {
            return;
        }
        let begun = Instant::now();
        node.process.kill().await;
        sleep(lasts.min(Duration::from_millis(500))).await;
        self.start_again(node, begun).await;
    }

    /// Ends a node by signals, the last of which begins its end at the latest, while clients use their connections to it.
    async fn terminate(&self, node: &Node, signals: &[Signal]) {
        if node.restarts.replace(true) {
            return;
        }
        for number in 0..PERSISTENT_CLIENTS {
            let client = PERSISTENT_FROM + self.persistent.replace(self.persistent.get() + 1);
            let dice = Dice::part(self.plan.seed, (client * 100 + node.number * 10 + number) as u64);
            spawn_local(node.crowd.clone().persistent_client(client, dice));
        }
        sleep(PERSISTENT_BEFORE).await;
        let mut told = None;
        for signal in signals {
            node.process.signal(*signal);
            if *signal == Signal::TERM {
                told.get_or_insert_with(Instant::now);
            }
            if signals.len() > 1 {
                sleep(Duration::from_millis(self.dice.within(SERIES_MS.0, SERIES_MS.1))).await;
            }
        }
        let told = told.unwrap_or_else(Instant::now);
        while !node.process.has_ended() && told.elapsed() < EARLIEST_KILL {
            sleep(LOOK).await;
        }
        if !node.process.has_ended() {
            let mut ledger = self.ledger.borrow_mut();
            let stopped = Ledger::touched(&ledger.stopped, node.number, told, Instant::now());
            if !stopped && ledger.stalled(told, Instant::now()) < Duration::from_millis(100) {
                let what = format!("node {} runs {EARLIEST_KILL:?} after it was told to end", node.number);
                ledger.processes.push(what);
            }
        }
        // Clients who come in the last moment find the listener closed.
        let begun = Instant::now() - Duration::from_millis(5);
        self.ledger.borrow_mut().terminated.push((node.number, told, Instant::now()));
        node.process.kill().await;
        self.start_again(node, begun).await;
    }

    async fn start_again(&self, node: &Node, begun: Instant) {
        if let Err(why) = node.process.start() {
            self.ledger.borrow_mut().processes.push(why);
        }
        let ready = self.ready_within(node, READY).await;
        let mut ledger = self.ledger.borrow_mut();
        if !ready {
            ledger.processes.push(format!("node {} is not ready within {READY:?} of its start", node.number));
        }
        ledger.down.push((node.number, begun, Instant::now()));
        node.restarts.set(false);
    }

    async fn ready_within(&self, node: &Node, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(answer) = timeout(Duration::from_millis(500), ping(node.crowd.at)).await
                && answer.is_some_and(|answer| answer.starts_with("+PONG"))
            {
                return true;
            }
            sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// All is mended: each node serves again.
    async fn last_requests(&self) {
        for node in &self.nodes {
            let until = Instant::now() + Duration::from_secs(4);
            let mut served = 0;
            let mut number = 0;
            while served < LAST_REQUESTS && Instant::now() < until {
                number += 1;
                let id = format!("last-{}-{number}", node.number);
                let asked = timeout(Duration::from_secs(2), last_request(node.crowd.at, &id)).await;
                served += usize::from(asked.ok().flatten().is_some_and(|answer| answer == id));
            }
            if served < LAST_REQUESTS {
                let what = format!("node {} serves {served} of {number} when all is mended", node.number);
                self.ledger.borrow_mut().processes.push(what);
            }
        }
        // They are no requests of the ledger's clients.
        self.ledger.borrow_mut().arrivals.retain(|arrival| !arrival.id.starts_with("last-"));
    }

    /// What the nodes themselves count as broken.
    async fn read_invariants(&self) {
        for node in &self.nodes {
            let admin = node.process.environment_of("ROUTER_OPERATOR").unwrap_or_default();
            let text =
                timeout(Duration::from_secs(2), figures(&admin)).await.ok().flatten().unwrap_or_default();
            let counted =
                text.lines().filter(|line| line.starts_with("edge_router_invariant_violations_total{"));
            for line in counted.filter(|line| !line.ends_with(" 0")) {
                self.ledger.borrow_mut().processes.push(format!("node {}: {line}", node.number));
            }
        }
    }

    fn look_at_processes(&self) {
        for node in self.nodes.iter().filter(|node| node.process.has_ended()) {
            let log = node.process.logged();
            let last = log.lines().last().unwrap_or_default().to_owned();
            self.ledger.borrow_mut().processes.push(format!("node {} ended by itself: {last}", node.number));
        }
    }
}

async fn ping(at: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(at).await.ok()?;
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").await.ok()?;
    let mut answer = vec![0; 64];
    let length = stream.read(&mut answer).await.ok()?;
    Some(String::from_utf8_lossy(&answer[..length]).into_owned())
}

async fn last_request(at: SocketAddr, id: &str) -> Option<String> {
    let mut stream = TcpStream::connect(at).await.ok()?;
    let words = ["CACHE.GET", "key-1", id, "c=read,t=acme,d=1500"];
    let mut bytes = format!("*{}\r\n", words.len());
    words.iter().for_each(|word| bytes += &format!("${}\r\n{word}\r\n", word.len()));
    stream.write_all(bytes.as_bytes()).await.ok()?;
    let mut answer = vec![0; 256];
    let length = stream.read(&mut answer).await.ok()?;
    let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
    answer.split("\r\n").nth(1).map(str::to_owned)
}

async fn figures(admin: &str) -> Option<String> {
    let mut stream = TcpStream::connect(admin).await.ok()?;
    let call = "GET /api/telemetry HTTP/1.1\r\nHost: node\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(call.as_bytes()).await.ok()?;
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text).await;
    Some(text)
}

/// What was seen, in the order of time, for people.
fn time_line(began: Instant, ledger: &Ledger) -> String {
    let ms = |at: Instant| at.saturating_duration_since(began).as_millis();
    let mut lines: Vec<(u128, String)> = Vec::new();
    for (id, asked) in &ledger.asked {
        lines.push((ms(asked.at), format!("{id} asked, {} ms", asked.deadline_ms)));
        if let Some(ended) = asked.ended {
            lines.push((ms(ended), format!("{id} {:?} {}", asked.end, asked.note)));
        }
    }
    for arrival in &ledger.arrivals {
        let who = arrival.server.map_or("origin".to_owned(), |s| format!("server {s}"));
        lines.push((ms(arrival.at), format!("{} at {who}, {:?} ms told", arrival.id, arrival.told_ms)));
    }
    for told in &ledger.told {
        lines.push((
            ms(told.at),
            format!("node {} told: server {} ready {}", told.node, told.server, told.ready),
        ));
    }
    lines.extend(ledger.notes.iter().map(|(at, note)| (ms(*at), note.clone())));
    for (from, to) in &ledger.stalls {
        lines.push((ms(*from), format!("the harness did not run for {:?}", *to - *from)));
    }
    lines.sort();
    lines.into_iter().map(|(at, text)| format!("{at:>6} ms  {text}\n")).collect()
}
