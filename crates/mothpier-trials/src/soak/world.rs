//! The world of one seed: its processes, stand-ins and clients, from their start to the verdict.

use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use mothpier_fault_control::Setting;
use mothpier_world::Dice;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::discovery::{Discovery, Line};
use super::ledger::Ledger;
use super::node::{Node, Paths};
use super::plan::Plan;
use super::requests::{last_request, ping, telemetry};
use super::servers::Server;
use super::{SeedResult, oracle, timeline};
use crate::programs::write;

/// Clients of each node.
const CLIENTS: usize = 3;
/// After the last trouble all must be well again within this time; then it is calm for as long.
const RECOVERY_TIME: Duration = Duration::from_millis(1_500);
/// How long it stays calm before the verdict.
const CALM_TIME: Duration = Duration::from_millis(800);
/// A node that was started is ready within this time.
pub(super) const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Clients with half a request have their error or end by then, or are kept.
const HALF_REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// How often it is looked whether this program runs, and how late that may be.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// How late that may be.
const STALL_TOLERANCE: Duration = Duration::from_millis(10);
/// Requests at each node in the end, which must all be served.
const LAST_REQUESTS: usize = 10;

/// Everything that one seed plays.
pub(super) struct World {
    pub(super) plan: Plan,
    pub(super) nodes: Vec<Node>,
    pub(super) servers: Vec<Rc<Server>>,
    pub(super) origin: Rc<Server>,
    pub(super) discovery: Rc<Discovery>,
    pub(super) ledger: Rc<RefCell<Ledger>>,
    pub(super) dice: Dice,
    /// When the plan's time began.
    pub(super) began: Cell<Instant>,
    /// Clients that have sent half a request and stay.
    pub(super) half_requests: RefCell<Vec<tokio::task::JoinHandle<()>>>,
    /// How many persistent clients there were.
    pub(super) persistent: Cell<usize>,
    pub(super) over: Cell<bool>,
}

impl World {
    /// Plays a seed to its end.
    ///
    /// # Errors
    ///
    /// What keeps it from being played.
    pub(super) async fn play(
        plan: Plan,
        lane: u8,
        plant: Option<String>,
        programs: PathBuf,
        folder: PathBuf,
    ) -> Result<SeedResult, String> {
        let began = Instant::now();
        let world = Rc::new(World::build(plan, lane, plant, &programs, &folder).await?);
        spawn_local(world.clone().watch_stalls());
        for node in &world.nodes {
            node.process.start()?;
        }
        for node in &world.nodes {
            if !world.ready_within(node, READY_TIMEOUT).await {
                return Err(format!("node {} did not start: {}", node.number, node.process.logged()));
            }
        }
        let mut clients = Vec::new();
        for node in &world.nodes {
            for client in 0..CLIENTS {
                let dice = Dice::part(world.plan.seed, (1000 + node.number * 10 + client) as u64);
                clients.push(spawn_local(node.clients.clone().client(client, dice)));
            }
            for _ in 0..world.plan.crowd {
                spawn_local(node.clients.clone().idle_client());
            }
        }
        world.apply_faults().await;
        sleep(RECOVERY_TIME).await;
        world.last_requests().await;
        sleep(CALM_TIME).await;
        world.nodes.iter().for_each(|node| node.clients.over.set(true));
        for client in clients {
            let _ = timeout(Duration::from_secs(6), client).await;
        }
        let half_requests = std::mem::take(&mut *world.half_requests.borrow_mut());
        for client in half_requests {
            let _ = timeout(HALF_REQUEST_TIMEOUT, client).await;
        }
        world.over.set(true);
        world.read_invariants().await;
        world.record_ended_processes();
        let injected = world.nodes.iter().filter_map(|n| n.control.get(Setting::Injected).ok()).sum();
        for node in &world.nodes {
            node.process.kill().await;
        }
        let ledger = world.ledger.borrow();
        let plan = world.plan.clone();
        let broken = oracle::judge(&plan, &ledger);
        let kept = serde_json::to_string_pretty(&plan).unwrap_or_default();
        write(&folder.join("plan.json"), &kept)?;
        write(&folder.join("time-line.txt"), &timeline::render(began, &ledger))?;
        Ok(SeedResult {
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
        let paths = Paths { programs, folder };
        let mut nodes = Vec::new();
        for number in 0..plan.nodes {
            let entries = [discovery.entry(number).await?, discovery.entry(number).await?];
            let node = Node::prepare(number, &plan, (lane, plant.as_deref()), &paths, entries, &ledger)?;
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
            sleep(STALL_CHECK_INTERVAL).await;
            let now = Instant::now();
            if now - before > STALL_CHECK_INTERVAL + STALL_TOLERANCE {
                self.ledger.borrow_mut().stalls.push((before, now));
            }
            before = now;
        }
    }

    /// Carries the plan out, and mends everything.
    async fn apply_faults(self: &Rc<Self>) {
        let began = Instant::now();
        self.began.set(began);
        let mut tasks = Vec::new();
        for trouble in self.plan.troubles.clone() {
            let at = began + Duration::from_millis(trouble.at_ms);
            sleep(at.saturating_duration_since(Instant::now())).await;
            tasks.push(spawn_local(self.clone().apply(trouble)));
        }
        for task in tasks {
            let _ = task.await;
        }
        let mended = began + Duration::from_millis(self.plan.mended_at_ms());
        sleep(mended.saturating_duration_since(Instant::now())).await;
    }

    /// Returns whether a node answers within a time.
    pub(super) async fn ready_within(&self, node: &Node, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(answer) = timeout(Duration::from_millis(500), ping(node.clients.at)).await
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
                let asked = timeout(Duration::from_secs(2), last_request(node.clients.at, &id)).await;
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
                timeout(Duration::from_secs(2), telemetry(&admin)).await.ok().flatten().unwrap_or_default();
            let counted =
                text.lines().filter(|line| line.starts_with("edge_router_invariant_violations_total{"));
            for line in counted.filter(|line| !line.ends_with(" 0")) {
                self.ledger.borrow_mut().processes.push(format!("node {}: {line}", node.number));
            }
        }
    }

    fn record_ended_processes(&self) {
        for node in self.nodes.iter().filter(|node| node.process.has_ended()) {
            let log = node.process.logged();
            let last = log.lines().last().unwrap_or_default().to_owned();
            self.ledger.borrow_mut().processes.push(format!("node {} ended by itself: {last}", node.number));
        }
    }
}
