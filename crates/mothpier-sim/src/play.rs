//! One run: a world is made from a seed, its faults happen, it heals, and it must serve everything again.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::BytesMut;
use mothpier::config::{self, Listen, Precedence, RefreshBudget};
use mothpier::{Call, Census, Control, Plant, Reply};
use mothpier_membership::names::Doubt;
use mothpier_membership::{Like, Settings, rumour};
use mothpier_net::{Net, Stream};
use mothpier_world::agent::{Agent, Member};
use mothpier_world::cache_box::{self, CacheBox};
use mothpier_world::client::{Ask, Clients, End};
use mothpier_world::cluster::Cluster;
use mothpier_world::fleet::Fleet;
use mothpier_world::origin::{self, Origin};
use mothpier_world::{Dice, Warmth, wire};
use tokio::io::AsyncWriteExt;
use tokio::sync::{mpsc, oneshot};

use crate::exec::{EPOCH, Exec, Host};
use crate::names::Names;
use crate::net::{Network, Post, SimNet};
use crate::oracle::{Broken, Care, Oracle, Role, Rule, Tally};
use crate::plan::{Beside, Boxes, Fault, Kind, LAST_MS};
use crate::reshuffle::Reshuffle;

/// Clients begin when all nodes have their list.
/// A node finds an agent that speaks again within this time: it asks ten times a second, and each way takes its time.
const FOUND_AGAIN_MS: u64 = 250;
const TRAFFIC_FROM_MS: u64 = 1_500;
/// Once healed the world has so long to come to rest; some traffic goes on meanwhile.
const HEAL_MS: u64 = 16_000;
/// Then so many requests must all be served, one every so many milliseconds.
const PROBES: (u64, u64) = (40, 60);
/// One in so many of them may go to a box that does not own the slot of its key.
const ASTRAY: u64 = 8;
/// Judged where a node's part of the questions lets it ask once in so many seconds.
const ASKS_WITHIN_S: f64 = 5.0;
/// Of a rumour nothing is told any more so long before the end.
const RUMOURS_OVER_MS: u64 = 5_000;
/// A box that is out by hand has been restarted by then, milliseconds.
const HAND_MS: u64 = 1_500;
/// And after so long a quiet, nothing is kept of it.
const QUIET_MS: u64 = 14_000;

/// The classes: name, care, aim, deadline (milliseconds), worth.
const CLASSES: [(&str, Care, u64, u64, f64); 3] = [
    ("browse", Care::Safe, 750, 1_500, 2.0),
    ("send-message", Care::Unsafe, 300, 1_000, 8.0),
    ("send-interest", Care::Keyed, 300, 600, 3.0),
];

/// What may be set of a world besides its seed: directed cases fix what the seed would draw.
#[derive(Clone, Default)]
pub struct Options {
    /// Faults in place of the seed's.
    pub faults: Option<Vec<Fault>>,
    /// A mistake planted in the nodes.
    pub plant: Option<Plant>,
    /// Keeps the trace's lines.
    pub lines: bool,
    /// Nodes, boxes.
    pub size: Option<(usize, usize)>,
    /// What the boxes are; drawn from the seed where neither this nor the size is told.
    pub boxes: Option<Boxes>,
    /// Which sources of boxes there are beside the list; drawn likewise.
    pub beside: Option<Beside>,
    /// The last box starts at this time, milliseconds: DNS has it from then on, and the list is told of it then.
    pub newcomer_ms: Option<u64>,
    /// Keys that are asked for.
    pub keys: Option<u64>,
    /// Nodes' questions for the slot map, a second of the whole tier.
    pub questions_per_s: Option<f64>,
    /// A box's mean work, milliseconds, without chance.
    pub work_ms: Option<u64>,
    /// One way through the network, microseconds, always the same.
    pub latency_us: Option<u64>,
    /// How long a node waits for a connection, milliseconds.
    pub connect_ms: Option<u64>,
    /// Requests a second.
    pub rate: Option<f64>,
    /// Requests a second as a part of what the boxes can do.
    pub load: Option<f64>,
    /// Part of capacity at which a box starts, and the milliseconds that it takes to be warm.
    pub cold: Option<(f64, u64)>,
    /// Part of the requests that write.
    pub writes: Option<f64>,
    /// Time after which idle connections to boxes are closed, milliseconds.
    pub idle_ms: Option<u64>,
    /// Calls that the origin works on at once, and that may wait there.
    pub origin: Option<(usize, usize)>,
    /// The nodes are sidecars, which share so many calls at once and a second at the origin.
    pub shares: Option<(f64, f64)>,
    /// Bytes that the values of some keys have besides; drawn where the size is not told.
    pub large: Option<usize>,
    /// What a directed case does at its times, besides its faults.
    pub script: Option<Script>,
}

impl Options {
    /// What the boxes are.
    fn kind(&self, seed: u64) -> Boxes {
        let drawn = if self.size.is_some() { Boxes::Plain } else { Boxes::draw(seed) };
        self.boxes.unwrap_or(drawn)
    }

    /// Which sources of boxes there are beside the list.
    fn sources(&self, seed: u64) -> Beside {
        let drawn = if self.size.is_some() { Beside::Nothing } else { Beside::draw(seed) };
        self.beside.unwrap_or(drawn)
    }
}

/// What a directed case does with a world as it starts.
pub type Script = Rc<dyn Fn(&Rc<World>)>;

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

struct BoxState {
    host: Host,
    address: SocketAddr,
    id: String,
    running: Option<Rc<CacheBox<SimNet>>>,
    /// Which fault holds it down.
    down_by: Option<usize>,
    draining: bool,
    replaced: u32,
    /// The list has been told of it; before, only DNS names it.
    listed: bool,
}

struct NodeState {
    host: Host,
    address: SocketAddr,
    control: Option<mpsc::Sender<Control>>,
    /// Which of its two agents it is told to ask.
    agent: usize,
    down_by: Option<usize>,
    /// The front deals clients to it.
    fronted: bool,
    starts: u32,
}

/// Figures of a world.
struct Make {
    seed: u64,
    work: Duration,
    chance: f64,
    slots: usize,
    warm: (f64, Duration),
    idle: Duration,
    connect_ms: u64,
    multiplex: u64,
    duplicate: bool,
    rate: f64,
    writes: f64,
    keys: u64,
    /// Slot-aware clients are served.
    cluster: bool,
    boxes: Boxes,
    beside: Beside,
    newcomer_ms: Option<u64>,
    questions_per_s: f64,
    origin: Option<(usize, usize)>,
    /// Where the nodes are sidecars: what the origin takes from all of them.
    shares: Option<(f64, f64)>,
    /// Nodes tell each other what they see; a fleet of sidecars does not.
    peers: bool,
    /// Bytes that the values of some keys have besides.
    large: usize,
}

/// A world in a run.
pub struct World {
    me: Weak<World>,
    /// The executor.
    pub exec: Rc<Exec>,
    /// The network.
    pub network: Rc<Network>,
    /// The judge.
    pub oracle: Rc<Oracle>,
    fleet: Rc<Fleet>,
    make: Make,
    /// Where the boxes form a cluster.
    slots: Option<Reshuffle>,
    /// Where DNS is a source of boxes.
    names: Option<Names>,
    /// Commands that had come to boxes that do not own their slot, when the healed world began to be asked.
    astray: Cell<u64>,
    boxes: RefCell<Vec<BoxState>>,
    origin: RefCell<Option<Rc<Origin<SimNet>>>>,
    origin_host: Host,
    origin_address: SocketAddr,
    /// Two for each node: the second is what a reload goes over to.
    agents: RefCell<Vec<[Rc<Agent<SimNet>>; 2]>>,
    nodes: RefCell<Vec<NodeState>>,
    clients: RefCell<Vec<Rc<Clients<SimNet>>>>,
    dice: Dice,
    healed: Cell<bool>,
    /// When each agent hears the latest word of a server.
    words: RefCell<BTreeMap<(usize, String), u64>>,
    /// Traffic goes on.
    traffic: Cell<f64>,
}

fn address(net: u8, sub: u8, number: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, net, sub, number as u8 + 1], port))
}

fn ip(at: SocketAddr) -> IpAddr {
    at.ip()
}

/// Where a sidecar's file says that it listens.
const HERE: SocketAddr = SocketAddr::new(IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 6379);
/// Part of the plain worlds whose nodes are sidecars.
const SIDECARS: f64 = 0.3;

/// Whether the nodes are sidecars, and what the origin takes from all of them: drawn where a case fixes neither the size
/// nor what the boxes are.
fn draw_shares(seed: u64, options: &Options) -> Option<(f64, f64)> {
    let dice = Dice::part(seed, 12);
    let free = options.size.is_none() && options.kind(seed) == Boxes::Plain;
    let sidecars = free && dice.chance(SIDECARS);
    sidecars.then(|| (dice.within(1, 40) as f64, dice.within(20, 400) as f64))
}

/// Some worlds have values that are passed on as they come, a little over what is held or several parts more.
fn draw_large(seed: u64, options: &Options) -> usize {
    let dice = Dice::part(seed, 13);
    let has = options.size.is_none() && dice.chance(0.2);
    if has { dice.within(60_000, 200_000) as usize } else { 0 }
}

/// Plays a seed.
pub fn play(seed: u64, options: &Options) -> Report {
    mothpier::plant(options.plant);
    let faults = options
        .faults
        .clone()
        .unwrap_or_else(|| crate::plan::draw(seed, options.kind(seed), options.sources(seed)));
    let exec = Exec::new(seed, options.lines);
    let ran = catch_unwind(AssertUnwindSafe(|| run(seed, options, &faults, &exec)));
    mothpier::plant(None);
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
        (TRAFFIC_FROM_MS, &|| world.clients_begin()),
        (LAST_MS + 200, &|| world.heal()),
        (LAST_MS + HEAL_MS, &|| world.probe()),
        (LAST_MS + HEAL_MS + PROBES.0 * PROBES.1 + 6_000, &|| world.part()),
        (LAST_MS + HEAL_MS + PROBES.0 * PROBES.1 + 6_000 + QUIET_MS, &|| world.census()),
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

impl World {
    fn new(seed: u64, options: &Options, exec: Rc<Exec>) -> Rc<World> {
        let dice = Dice::part(seed, 4);
        let (nodes, boxes) = options.size.unwrap_or((dice.within(1, 4) as usize, dice.within(3, 7) as usize));
        let latency = match options.latency_us {
            Some(us) => (us * 1_000, us * 1_000),
            None => (dice.within(60_000, 200_000), dice.within(250_000, 1_200_000)),
        };
        let short = if dice.chance(0.5) { dice.between(0.0, 0.15) } else { 0.0 };
        let network = Network::new(exec.clone(), seed, latency, short);
        let work_ms = dice.within(6, 60);
        let make = Make {
            seed,
            work: Duration::from_millis(options.work_ms.unwrap_or(work_ms)),
            chance: if options.work_ms.is_some() { 0.0 } else { dice.between(0.2, 1.0) },
            slots: dice.within(2, 5) as usize,
            warm: (dice.between(0.1, 0.4), Duration::from_millis(dice.within(3_000, 9_000))),
            idle: Duration::from_millis(options.idle_ms.unwrap_or(dice.within(2_000, 20_000))),
            connect_ms: options.connect_ms.unwrap_or([120, 250, 1_000, 2_500][dice.within(0, 4) as usize]),
            multiplex: [1, 4, 32][dice.within(0, 3) as usize],
            duplicate: dice.chance(0.8),
            rate: 0.0,
            writes: options.writes.unwrap_or(dice.between(0.03, 0.3)),
            keys: options.keys.unwrap_or(dice.within(20, 400)),
            cluster: Dice::part(seed, 6).chance(0.5),
            boxes: options.kind(seed),
            beside: options.sources(seed),
            newcomer_ms: options.newcomer_ms,
            questions_per_s: options.questions_per_s.unwrap_or(40.0),
            origin: options.origin,
            peers: options.shares.is_none(),
            large: options.large.unwrap_or_else(|| draw_large(seed, options)),
            shares: options.shares.or_else(|| draw_shares(seed, options)),
        };
        // Under what the boxes can do: overload is not what is judged here.
        let can = boxes as f64 * make.slots as f64 / make.work.as_secs_f64();
        let rate = options.load.map(|l| can * l).or(options.rate);
        let rate = rate.unwrap_or((can * dice.between(0.05, 0.6)).min(160.0));
        let warm = options.cold.map_or(make.warm, |(from, ms)| (from, Duration::from_millis(ms)));
        let make = Make { rate, warm, ..make };
        let cares: Vec<_> = CLASSES.iter().map(|c| (c.0, c.1)).collect();
        let oracle = Oracle::new(exec.clone(), &cares, 500, (3.0, 2_000));
        network.tap(oracle.clone());
        let record = oracle.clone();
        let fleet = Fleet::new(Rc::new(move |seen| record.seen(seen)));
        let boxes: Vec<BoxState> = (0..boxes)
            .map(|j| {
                let at = address(1, 0, j, 6379);
                let host = network.machine(&format!("box{j}"), ip(at), false);
                oracle.role(at, Role::Box(j));
                let id = format!("s-{j}");
                BoxState {
                    host,
                    address: at,
                    id,
                    running: None,
                    down_by: None,
                    draining: false,
                    replaced: 0,
                    listed: true,
                }
            })
            .collect();
        let mut boxes = boxes;
        // The list hears late of a box that DNS has already.
        let late = make.beside.dns() && make.boxes == Boxes::Plain && boxes.len() > 3;
        if late || make.newcomer_ms.is_some() {
            boxes.last_mut().expect("some").listed = false;
        }
        let origin_address = address(2, 0, 0, 80);
        let origin_host = network.machine("origin", ip(origin_address), false);
        oracle.role(origin_address, Role::Origin);
        let mut members: Vec<Member> =
            boxes.iter().filter(|b| b.listed).map(|b| member(&b.id, b.address, "m", "ready", 0)).collect();
        if make.boxes != Boxes::Through {
            members.push(member("o-1", origin_address, "origin", "ready", 0));
        }
        let slots = (make.boxes != Boxes::Plain).then(|| {
            let addresses: Vec<SocketAddr> = boxes.iter().map(|b| b.address).collect();
            let cluster = Cluster::new(&addresses, Duration::from_secs(3), seed);
            Reshuffle::new(cluster, boxes.len(), seed)
        });
        let mut agents = Vec::new();
        let mut states = Vec::new();
        for i in 0..nodes {
            agents.push([0u8, 1].map(|which| {
                let at = address(3, which, i, 8500);
                let host = network.machine(&format!("agent{i}.{which}"), ip(at), false);
                Agent::new(network.on(host), fleet.clone(), i, &members)
            }));
            let at = address(0, 0, i, 6379);
            oracle.role(at, Role::Node(i));
            let host = network.machine(&format!("node{i}"), ip(at), true);
            states.push(NodeState {
                host,
                address: at,
                control: None,
                agent: 0,
                down_by: None,
                fronted: false,
                starts: 0,
            });
        }
        let clients = (0..dice.within(2, 5) as usize)
            .map(|k| {
                let host = network.machine(&format!("client{k}"), ip(address(4, 0, k, 1)), false);
                Clients::new(network.on(host), fleet.clone(), k as u64, seed)
            })
            .collect();
        let names = make.beside.dns().then(|| {
            let at: Vec<SocketAddr> = boxes.iter().map(|b| b.address).collect();
            let names = Names::new(&network, &at, seed);
            if make.newcomer_ms.is_some() {
                names.keep(at.len() - 1);
            }
            oracle.role(names.stranger, Role::Stranger);
            names
        });
        Rc::new_cyclic(|me| World {
            me: me.clone(),
            names,
            exec,
            network,
            oracle,
            fleet,
            make,
            slots,
            astray: Cell::new(0),
            boxes: RefCell::new(boxes),
            origin: RefCell::new(None),
            origin_host,
            origin_address,
            agents: RefCell::new(agents),
            nodes: RefCell::new(states),
            clients: RefCell::new(clients),
            dice: Dice::part(seed, 5),
            healed: Cell::new(false),
            words: RefCell::default(),
            traffic: Cell::new(1.0),
        })
    }

    fn start(&self) {
        let count = self.boxes.borrow().len();
        for j in 0..count {
            let listed = self.boxes.borrow()[j].listed;
            if let Some(ms) = self.make.newcomer_ms.filter(|_| !listed) {
                self.at(ms, move |world| {
                    world.box_starts(j, true);
                    let at = world.boxes.borrow()[j].address;
                    world.with_names(|names| names.add(j, at));
                });
            } else {
                self.box_starts(j, !listed);
            }
            if !listed {
                let told = self.dice.within(3_000, 8_000);
                self.at(self.make.newcomer_ms.unwrap_or(told), move |world| {
                    let up = {
                        let b = &mut world.boxes.borrow_mut()[j];
                        // One that is down is told of when it is back, and one that drains is by now.
                        let up = b.down_by.is_none() && !b.listed;
                        b.listed = true;
                        up
                    };
                    if up {
                        world.notify(j, "ready", (0, 1_500));
                    }
                });
            }
        }
        self.with_names(|names| names.start(&self.network));
        let drawn = (self.dice.within(3, 8) as usize, 24);
        let drawn = self.make.origin.unwrap_or(drawn);
        let origin = Origin::new(
            self.network.on(self.origin_host),
            self.fleet.clone(),
            drawn,
            Duration::from_millis(self.dice.within(15, 50)),
            Duration::from_secs(3),
            self.make.seed,
        );
        *self.origin.borrow_mut() = Some(origin);
        self.origin_starts();
        let count = self.nodes.borrow().len();
        (0..count * 2).for_each(|at| self.agent_starts(at / 2, at % 2));
        (0..count).for_each(|i| self.node_starts(i));
    }

    fn agent_starts(&self, node: usize, which: usize) {
        let agent = self.agents.borrow()[node][which].clone();
        let at = address(3, which as u8, node, 8500);
        self.on(self.agent_host(node, which), async move {
            agent.serve(at).await.expect("an address of its own");
        });
    }

    /// Machines are made in this order: boxes, origin, then for each node its agents and itself.
    fn agent_host(&self, node: usize, which: usize) -> Host {
        self.origin_host + 1 + node * 3 + which
    }

    fn on(&self, host: Host, job: impl Future<Output = ()> + 'static) {
        self.network.on(host).spawn(job);
    }

    /// Does something to the world at a time.
    pub fn at(&self, ms: u64, what: impl FnOnce(&Rc<World>) + 'static) {
        self.at_us(ms * 1_000, what);
    }

    /// Does something to the world at a time in microseconds.
    pub fn at_us(&self, us: u64, what: impl FnOnce(&Rc<World>) + 'static) {
        let me = self.me.clone();
        self.exec.at(us * 1_000, move || {
            if let Some(world) = me.upgrade() {
                what(&world);
            }
        });
    }

    /// Does something to the world some time from now.
    pub fn later(&self, ms: u64, what: impl FnOnce(&Rc<World>) + 'static) {
        self.at(self.exec.millis() + ms, what);
    }

    /// Does something to the slots, where the boxes form a cluster.
    pub fn with_slots(&self, what: impl FnOnce(&Reshuffle)) {
        if let Some(slots) = &self.slots {
            what(slots);
        }
    }

    /// Does something to DNS, where it is a source of boxes.
    pub fn with_names(&self, what: impl FnOnce(&Names)) {
        if let Some(names) = &self.names {
            what(names);
        }
    }

    // Boxes.

    fn box_starts(&self, j: usize, cold: bool) {
        let (host, at) = {
            let b = &self.boxes.borrow()[j];
            (b.host, b.address)
        };
        let net = self.network.on(host);
        let since = cold.then(|| self.exec.now());
        let warmth = Warmth { from: self.make.warm.0, since, span: self.make.warm.1 };
        let make = cache_box::Make {
            number: j,
            slots: self.make.slots,
            queue: self.make.slots * 16,
            work: self.make.work,
            warmth,
            idle: self.make.idle.mul_f64(0.8),
            chance: self.make.chance,
            cluster: self.slots.as_ref().map(|s| s.cluster.clone()),
            through: self.make.boxes == Boxes::Through,
            large: self.make.large,
        };
        let capacity = self.make.slots as f64 / self.make.work.as_secs_f64().max(1e-6);
        self.oracle.box_starts(j, warmth, capacity);
        let seed = self.make.seed ^ self.exec.nanos();
        let made = CacheBox::new(net, self.fleet.clone(), make, seed);
        if !cold {
            (0..self.make.keys).filter(|k| k % 5 != 0).for_each(|k| made.store(&format!("k{k}")));
        }
        self.fleet.runs(j, made.clone());
        self.boxes.borrow_mut()[j].running = Some(made.clone());
        self.on(host, async move {
            made.serve(at).await.expect("an address of its own");
        });
    }

    fn box_ends(&self, j: usize) {
        self.fleet.ended(j);
        let host = {
            let b = &mut self.boxes.borrow_mut()[j];
            b.running = None;
            b.host
        };
        self.network.kill(host);
    }

    fn with_box(&self, j: usize, what: impl Fn(&CacheBox<SimNet>)) {
        if let Some(running) = &self.boxes.borrow()[j].running {
            what(running);
        }
    }

    /// The list hears of a box, each agent after its own time.
    fn notify(&self, j: usize, phase: &'static str, (least, most): (u64, u64)) {
        let (id, at) = {
            let b = &self.boxes.borrow()[j];
            (b.id.clone(), b.address)
        };
        let up = if phase == "ready" && self.exec.millis() > 0 { self.unix_ms() } else { 0 };
        self.spread(member(&id, at, "m", phase, up), (least, most));
    }

    fn spread(&self, member: Member, (least, most): (u64, u64)) {
        let agents: Vec<[Rc<Agent<SimNet>>; 2]> = self.agents.borrow().clone();
        for pair in agents {
            let (delay, member) = (self.dice.within(least, most), member.clone());
            // Word of one server never overtakes earlier word of it.
            let mut words = self.words.borrow_mut();
            let last = words.entry((pair[0].number, member.id.clone())).or_default();
            *last = (self.exec.millis() + delay).max(*last + 1);
            self.at(*last, move |_| pair.iter().for_each(|a| a.change(member.clone())));
        }
    }

    fn unix_ms(&self) -> u64 {
        EPOCH.as_millis() as u64 + self.exec.millis()
    }

    // Origin.

    fn origin_starts(&self) {
        let Some(origin) = self.origin.borrow().clone() else { return };
        let at = self.origin_address;
        self.on(self.origin_host, async move {
            origin.serve(at).await.expect("an address of its own");
        });
    }

    fn with_origin(&self, what: impl Fn(&Origin<SimNet>)) {
        if let Some(origin) = &*self.origin.borrow() {
            what(origin);
        }
    }

    // Nodes.

    fn config(&self, i: usize) -> String {
        let nodes = self.nodes.borrow();
        let node = &nodes[i];
        let classes: Vec<String> = CLASSES
            .iter()
            .map(|(name, care, aim, deadline, worth)| {
                let effect = match care {
                    Care::Safe => "pure",
                    Care::Keyed => "token",
                    Care::Unsafe => "side_effect",
                };
                format!(
                    r#"{{"name":"{name}","goalTimeUs":{},"deadlineUs":{},"gain":{worth},"lateValue":0.0,"effect":"{effect}","dedupScope":"all","dedupWindowUs":3000000}}"#,
                    aim * 1000,
                    deadline * 1000
                )
            })
            .collect();
        let peers: Vec<String> =
            (0..nodes.len()).map(|n| format!("\"{}\"", address(0, 0, n, 7946))).collect();
        let known: Vec<String> = self
            .known()
            .iter()
            .map(|(id, at)| {
                let kind = if id.starts_with('o') { "origin" } else { "m" };
                format!(r#"{{"id":"{id}","host_port":"{at}","locality":"a","flavor":"{kind}","cell":0,"phase":"ready","size":1.0,"up_since_ms":0}}"#)
            })
            .collect();
        format!(
            r#"{{"name":"node{i}","listen":"{}","discovery":"{}","seed":"{:x}","limits":{{"memory_mb":64,"sockets":512}},
            "peer_listen":"{}","peers":[{}],"known":{{"revision":0,"complete":true,"members":[{}]}},
            "settings":{{"balancers":{},"me":{i},"classes":[{}],"realms":[{{"name":"acme","quotaPerS":{}}}],
            "discovery":"push","zones":["a"],"machineTypes":["m","origin"],
            "specifics":{{"mode":"{}","originKind":1}},"report":{{"fields":["lat_ms","busy"]}},
            "limits":{{"maxAttempts":3,"mayDuplicate":{},"mayCancel":true,"multiplex":{},"idleCloseUs":{},
            "connectTimeoutUs":{},"maxOpen":1000,"maxRetryAfterUs":600000,"peers":{}}},
            "guarantees":{{"coldUs":{},"coldShare":{},"drainGraceUs":500000,"fallMultiple":3.0,"tipAfterUs":2000000}},
            "periodUs":5000}}{}}}"#,
            if self.make.shares.is_some() { HERE } else { node.address },
            address(3, node.agent as u8, i, 8500),
            self.make.seed ^ (u64::from(node.starts) << 32 | i as u64),
            address(0, 0, i, 7946),
            peers.join(","),
            known.join(","),
            nodes.len(),
            classes.join(","),
            self.make.rate.max(10.0) * 2.0,
            if self.make.boxes == Boxes::Through { "through" } else { "aside" },
            self.make.duplicate,
            self.make.multiplex,
            self.make.idle.as_micros(),
            // A sidecar's file with time-outs beyond its deadlines does not start.
            self.make.connect_ms.min(if self.make.shares.is_some() { 200 } else { u64::MAX }) * 1000,
            self.make.peers,
            self.make.warm.1.as_micros(),
            self.make.warm.0,
            self.sidecar(),
        )
    }

    /// The section that makes a node a sidecar.
    fn sidecar(&self) -> String {
        let Some((outstanding, per_s)) = self.make.shares else { return String::new() };
        let classes = CLASSES.map(|(name, care, ..)| {
            let command = if care == Care::Safe { "read" } else { "write" };
            format!(r#"{{"name":"{name}","command":"{command}","default":{}}}"#, care == Care::Safe)
        });
        format!(
            r#","sidecar":{{"app":"app","tenant":"acme","classes":[{}],"origin_outstanding":{outstanding},"origin_per_s":{per_s}}}"#,
            classes.join(",")
        )
    }

    /// The list as the platform hands it to a node that starts: what is at work now.
    fn known(&self) -> Vec<(String, SocketAddr)> {
        let ready = |b: &&BoxState| b.down_by.is_none() && !b.draining && b.listed;
        let mut known: Vec<_> =
            self.boxes.borrow().iter().filter(ready).map(|b| (b.id.clone(), b.address)).collect();
        if self.make.boxes != Boxes::Through {
            known.push(("o-1".into(), self.origin_address));
        }
        known
    }

    fn node_starts(&self, i: usize) {
        let text = self.config(i);
        let config = config::parse(text.as_bytes(), &|_| None, Precedence::Environment);
        let mut config = config.expect("the simulation's own configuration");
        // A sidecar's file names loopback; here each machine has an address of its own, under which clients find it.
        config.listen = Listen::Address(self.nodes.borrow()[i].address);
        if self.make.cluster {
            let nodes = self.nodes.borrow();
            config.cluster = Some(nodes.iter().map(|n| n.address).collect());
        }
        config.boxes = (self.make.boxes != Boxes::Plain).then(|| config::Boxes {
            read_copies: false,
            budget: RefreshBudget {
                tier_per_s: self.make.questions_per_s,
                calm: 5_000,
                ..RefreshBudget::default()
            },
            wait: Duration::from_millis(400),
        });
        config.sources = self.sources();
        let (control, told) = mpsc::channel(8);
        let host = {
            let node = &mut self.nodes.borrow_mut()[i];
            node.control = Some(control);
            node.starts += 1;
            node.host
        };
        self.oracle.node_starts(i, host, &self.known());
        let net = self.network.on(host);
        let (me, starts) = (self.me.clone(), self.nodes.borrow()[i].starts);
        let running = net.clone();
        net.spawn(async move {
            let ended = mothpier::run(running, config, told).await;
            if let Some(world) = me.upgrade() {
                // Not from within: the process ends once this task is left.
                world.later(0, move |world| world.node_ended(i, starts, &ended));
            }
        });
        // The front notices that it answers, some time later.
        let front = self.dice.within(700, 1_400);
        self.later(front, move |world| {
            let node = &mut world.nodes.borrow_mut()[i];
            if node.starts == starts && node.control.is_some() && node.down_by.is_none() {
                node.fronted = true;
            }
        });
    }

    /// The further sources of boxes that a node has.
    fn sources(&self) -> Option<config::sources::Sources> {
        let beside = self.make.beside;
        // Where a measurement looks at the view there is one, be it of the list alone.
        if beside == Beside::Nothing && self.make.newcomer_ms.is_none() {
            return None;
        }
        let rumours = rumour::Settings { trust_ms: 20_000, ..rumour::Settings::default() };
        let membership = Settings {
            gone_ms: 60_000,
            doubt: Doubt { hold_ms: 3_000, ..Doubt::default() },
            rumours: beside.rumours().then_some(rumours),
            like: Like { locality: "a".into(), flavor: "m".into(), cell: 0 },
            origin: Some("origin".into()),
            fixed: Vec::new(),
        };
        let nodes = self.nodes.borrow().len();
        let dns = self.names.as_ref().map(|names| names.settings(nodes));
        Some(config::sources::Sources { membership, dns })
    }

    fn node_ended(&self, i: usize, starts: u32, ended: &Result<(), String>) {
        let (host, asked_for) = {
            let node = &mut self.nodes.borrow_mut()[i];
            if node.starts != starts || node.control.is_none() {
                return;
            }
            node.control = None;
            (node.host, node.down_by.is_some())
        };
        self.network.exit(host);
        if !asked_for {
            self.oracle.breaks(Rule::Progress, format!("node {i} ended by itself: {ended:?}"));
        }
    }

    fn node_killed(&self, i: usize) {
        let host = {
            let node = &mut self.nodes.borrow_mut()[i];
            node.control = None;
            node.host
        };
        self.network.kill(host);
        let notice = self.dice.within(500, 2_500);
        self.later(notice, move |world| {
            let node = &mut world.nodes.borrow_mut()[i];
            node.fronted &= node.control.is_some();
        });
    }

    fn tell(&self, i: usize, what: Control) {
        if let Some(control) = &self.nodes.borrow()[i].control {
            let _ = control.try_send(what);
        }
    }

    // Clients.

    fn front(&self) -> SocketAddr {
        let nodes = self.nodes.borrow();
        let up: Vec<SocketAddr> = nodes.iter().filter(|n| n.fronted).map(|n| n.address).collect();
        let all: Vec<SocketAddr> = nodes.iter().map(|n| n.address).collect();
        let among = if up.is_empty() { all } else { up };
        among[self.dice.within(0, among.len() as u64) as usize]
    }

    fn draw_ask(&self) -> Ask {
        let class = match self.dice.chance(self.make.writes) {
            true => 1 + self.dice.within(0, 2) as usize,
            false => 0,
        };
        let (name, care, _, deadline, _) = CLASSES[class];
        // A few keys are far more popular than the rest.
        let key = (self.make.keys as f64 * self.dice.unit().powi(3)) as u64;
        let token = (care == Care::Keyed).then(|| format!("{:x}", self.dice.within(1, u64::MAX)));
        Ask {
            class: name,
            tenant: "acme",
            key: format!("k{key}"),
            write: class > 0,
            token,
            wait: Duration::from_millis(deadline).mul_f64(self.dice.between(0.5, 1.0)),
            retries: self.dice.within(0, 3) as u32,
            leaves_after: None,
        }
    }

    /// One request of a client, its front and its retries.
    pub fn ask(&self, client: usize, ask: Ask) {
        let me = self.me.clone();
        let (clients, host) = self.client(client);
        self.on(host, async move {
            let front = || me.upgrade().map_or(address(0, 0, 0, 6379), |w| w.front());
            clients.ask(&front, ask).await;
        });
    }

    /// Many commands at once on one connection of a client.
    pub fn pipeline(&self, client: usize, asks: Vec<Ask>) {
        let (clients, host) = self.client(client);
        let node = self.front();
        self.on(host, async move {
            clients.pipeline(node, &asks).await;
        });
    }

    fn client(&self, number: usize) -> (Rc<Clients<SimNet>>, Host) {
        let clients = self.clients.borrow();
        let at = number % clients.len();
        (clients[at].clone(), self.origin_host + 1 + self.nodes.borrow().len() * 3 + at)
    }

    fn clients_begin(&self) {
        self.arrival();
    }

    fn arrival(&self) {
        let rate = self.make.rate * self.traffic.get();
        if rate <= 0.0 {
            return;
        }
        let client = self.dice.within(0, 64) as usize;
        self.ask(client, self.draw_ask());
        let pause = self.dice.exp(Duration::from_secs_f64(1.0 / rate)).as_nanos() as u64;
        let me = self.me.clone();
        self.exec.at(self.exec.nanos() + pause.max(1), move || {
            if let Some(world) = me.upgrade() {
                world.arrival();
            }
        });
    }

    // Faults.

    fn plan(&self, number: usize, fault: Fault) {
        let ends = fault.clone();
        self.at(fault.at, move |world| {
            if world.healed.get() {
                return;
            }
            world.exec.trace(format_args!("fault {fault}"));
            world.begins(number, &fault);
        });
        self.at(ends.at + ends.len, move |world| {
            world.exec.trace(format_args!("fault over {ends}"));
            world.ends(number, &ends);
        });
    }

    fn begins(self: &Rc<Self>, number: usize, fault: &Fault) {
        let boxes = self.boxes.borrow().len();
        let nodes = self.nodes.borrow().len();
        let (j, i) = (fault.target % boxes, fault.target % nodes);
        let part = fault.extra.min(100) as f64 / 100.0;
        let tenths = fault.extra as f64 / 10.0;
        match fault.kind {
            Kind::Crash | Kind::Silence | Kind::OldMap => {
                if !self.takes_down(number, j) {
                    return;
                }
                let surely = fault.kind == Kind::OldMap
                    && self.slots.as_ref().is_some_and(|slots| slots.keeps_old_map(j));
                self.with_slots(|slots| slots.fell(self, j, surely));
                if fault.kind == Kind::Silence {
                    self.network.silence(self.boxes.borrow()[j].host, true);
                }
                self.box_ends(j);
                let notice = if fault.kind == Kind::Silence { (2_000, 6_000) } else { (600, 3_000) };
                self.while_down(j, number, notice);
            }
            Kind::Replace => {
                if !self.takes_down(number, j) {
                    return;
                }
                self.box_ends(j);
                self.notify(j, "gone", (300, 1_500));
                let b = &mut self.boxes.borrow_mut()[j];
                b.replaced += 1;
                b.id = format!("s-{j}r{}", b.replaced);
            }
            Kind::Drain => {
                let free = {
                    let b = &mut self.boxes.borrow_mut()[j];
                    let free = b.down_by.is_none() && !b.draining;
                    b.draining |= free;
                    if free {
                        b.down_by = Some(number);
                    }
                    free
                };
                if free {
                    self.notify(j, "draining", (50, 1_500));
                }
            }
            Kind::Hang => self.with_box(j, |b| b.hangs.set(true)),
            Kind::Slow => self.with_box(j, |b| b.slow.set(tenths)),
            Kind::SharedSlow => (0..boxes).for_each(|j| self.with_box(j, |b| b.slow.set(tenths.min(3.0)))),
            Kind::HalfAnswer => self.spoil(j, cache_box::Spoil::HalfAnswer, part),
            Kind::HalfAndStall => self.spoil(j, cache_box::Spoil::HalfAndStall, part),
            Kind::ResetBefore => self.spoil(j, cache_box::Spoil::ResetBefore, part),
            Kind::ResetAfter => self.spoil(j, cache_box::Spoil::ResetAfter, part),
            Kind::CloseBehind => self.spoil(j, cache_box::Spoil::CloseBehind, part),
            Kind::Failed => self.spoil(j, cache_box::Spoil::Failed, part),
            Kind::Busy => self.spoil(j, cache_box::Spoil::Busy, part),
            Kind::OriginSlow => self.with_origin(|o| o.slow.set(tenths)),
            Kind::OriginFailedBefore => self.spoil_origin(origin::Spoil::FailedBefore, part),
            Kind::OriginFailedAfter => self.spoil_origin(origin::Spoil::FailedAfter, part),
            Kind::OriginRefused => self.spoil_origin(origin::Spoil::Refused, part),
            Kind::OriginExpired => self.spoil_origin(origin::Spoil::Expired, part),
            Kind::OriginResetBefore => self.spoil_origin(origin::Spoil::ResetBefore, part),
            Kind::OriginResetAfter => self.spoil_origin(origin::Spoil::ResetAfter, part),
            Kind::OriginHalfBody => self.spoil_origin(origin::Spoil::HalfBody, part),
            Kind::OriginCrash => self.network.kill(self.origin_host),
            Kind::CutTo | Kind::CutFrom | Kind::CutBoth => self.cut(fault, true),
            Kind::Delay => self.network.delay(self.nodes.borrow()[i].host, fault.extra * 1_000_000),
            Kind::Post => {
                self.network.post.set(Post { lost: part, doubled: part / 2.0, late_ms: fault.extra })
            }
            Kind::ListDown => self.agents.borrow()[i].iter().for_each(|a| a.silent.set(true)),
            Kind::ListsDown => self.agents.borrow().iter().flatten().for_each(|a| a.silent.set(true)),
            Kind::ListLost => self.agents.borrow()[i].iter().for_each(|a| a.lose()),
            Kind::Renumber => {
                // A process that starts without memory: what it knew of servers that went is gone.
                for which in 0..2 {
                    self.network.kill(self.agent_host(i, which));
                    self.agents.borrow()[i][which].renumber();
                    self.agent_starts(i, which);
                }
            }
            Kind::NodeKill | Kind::NodeStop => {
                let free = {
                    let node = &mut self.nodes.borrow_mut()[i];
                    let free = node.down_by.is_none() && node.control.is_some();
                    if free {
                        node.down_by = Some(number);
                    }
                    free
                };
                if free && fault.kind == Kind::NodeKill {
                    self.node_killed(i);
                } else if free {
                    self.tell(i, Control::Stop);
                    let notice = self.dice.within(200, 400);
                    self.later(notice, move |world| world.nodes.borrow_mut()[i].fronted = false);
                    // What has not ended by the longest deadline and 0.7 s more is killed.
                    let (kill, starts) = (1_500 + 700, self.nodes.borrow()[i].starts);
                    self.later(kill, move |world| {
                        let node = &world.nodes.borrow()[i];
                        let still = node.starts == starts && node.control.is_some();
                        if still {
                            world.later(0, move |world| world.node_killed(i));
                        }
                    });
                }
            }
            Kind::Reload => {
                let agent = {
                    let node = &mut self.nodes.borrow_mut()[i];
                    node.agent = 1 - node.agent;
                    node.agent
                };
                self.agents.borrow()[i][agent].speak();
                let text = self.config(i);
                let read = config::parse(text.as_bytes(), &|_| None, Precedence::File);
                self.tell(i, Control::Reload(read.map(Box::new)));
                // The old one goes for good, some time later.
                self.later(2_500, move |world| {
                    if world.nodes.borrow()[i].agent == agent {
                        world.agents.borrow()[i][1 - agent].silent.set(true);
                    }
                });
            }
            Kind::BadReload => {
                let read = config::parse(b"{\"discovery\":", &|_| None, Precedence::File);
                self.tell(i, Control::Reload(read.map(Box::new)));
            }
            Kind::Pipeline => {
                let asks: Vec<Ask> = (0..fault.extra.min(100)).map(|_| self.draw_ask()).collect();
                self.pipeline(fault.target, asks);
            }
            Kind::Stall => {
                let (clients, host) = self.client(fault.target);
                let (node, stay) = (self.front(), Duration::from_millis(fault.len));
                for _ in 0..4 {
                    let clients = clients.clone();
                    self.on(host, async move { clients.stall(node, stay).await });
                }
            }
            Kind::Leave => {
                for n in 0..fault.extra.min(40) {
                    let leaves = Some(Duration::from_micros(self.dice.within(100, 60_000)));
                    let ask = Ask { leaves_after: leaves, retries: 0, ..self.draw_ask() };
                    self.at(self.exec.millis() + n * fault.len / 40, move |world| {
                        world.ask(n as usize, ask);
                    });
                }
            }
            Kind::Burst => self.traffic.set(2.5),
            Kind::Hand => self.out_by_hand(number, j),
            Kind::Evacuate => {
                let others = self.nodes.borrow().iter().enumerate().any(|(n, node)| n != i && node.fronted);
                let node = &mut self.nodes.borrow_mut()[i];
                if others && node.down_by.is_none() && node.control.is_some() && node.fronted {
                    node.down_by = Some(number);
                    self.later(0, move |world| world.emptied(number, i));
                }
            }
            Kind::Reshuffle
            | Kind::Migrate
            | Kind::ToItself
            | Kind::ToOther
            | Kind::ToNowhere
            | Kind::InCircle
            | Kind::Nonsense
            | Kind::MapSilent
            | Kind::MapNoise
            | Kind::MapHuge => self.with_slots(|slots| slots.begins(self, fault, j)),
            Kind::DnsSilent
            | Kind::DnsFails
            | Kind::DnsNoName
            | Kind::DnsEmpty
            | Kind::DnsCut
            | Kind::DnsHalf
            | Kind::DnsForged
            | Kind::DnsNoLife
            | Kind::DnsLongLife
            | Kind::DnsCircle
            | Kind::DnsNoise
            | Kind::DnsOld
            | Kind::DnsPart
            | Kind::DnsLate => self.with_names(|names| names.begins(fault)),
        }
    }

    fn ends(self: &Rc<Self>, number: usize, fault: &Fault) {
        let boxes = self.boxes.borrow().len();
        let nodes = self.nodes.borrow().len();
        let (j, i) = (fault.target % boxes, fault.target % nodes);
        match fault.kind {
            Kind::Crash | Kind::Silence | Kind::Replace | Kind::OldMap => {
                self.comes_back(number, j, fault.kind)
            }
            Kind::Drain => {
                // It has ended what it had: the process goes, and a new one comes.
                let held = self.boxes.borrow()[j].down_by == Some(number);
                if held {
                    self.box_ends(j);
                    self.boxes.borrow_mut()[j].draining = false;
                    self.comes_back(number, j, fault.kind);
                }
            }
            Kind::Hang => self.with_box(j, |b| b.hangs.set(false)),
            Kind::Slow => self.with_box(j, |b| b.slow.set(1.0)),
            Kind::SharedSlow => (0..boxes).for_each(|j| self.with_box(j, |b| b.slow.set(1.0))),
            Kind::HalfAnswer
            | Kind::HalfAndStall
            | Kind::ResetBefore
            | Kind::ResetAfter
            | Kind::CloseBehind
            | Kind::Failed
            | Kind::Busy => self.with_box(j, |b| b.spoil.set(None)),
            Kind::OriginSlow => self.with_origin(|o| o.slow.set(1.0)),
            Kind::OriginFailedBefore
            | Kind::OriginFailedAfter
            | Kind::OriginRefused
            | Kind::OriginExpired
            | Kind::OriginResetBefore
            | Kind::OriginResetAfter
            | Kind::OriginHalfBody => self.with_origin(|o| o.spoil.set(None)),
            Kind::OriginCrash => {
                // Another crash of it may have ended already.
                self.network.kill(self.origin_host);
                self.origin_starts();
            }
            Kind::CutTo | Kind::CutFrom | Kind::CutBoth => self.cut(fault, false),
            Kind::Delay => self.network.delay(self.nodes.borrow()[i].host, 0),
            Kind::Post => self.network.post.set(Post::default()),
            Kind::ListDown | Kind::ListLost => self.agents_speak(i),
            Kind::ListsDown => (0..nodes).for_each(|i| self.agents_speak(i)),
            Kind::NodeKill | Kind::NodeStop => {
                let (held, still) = {
                    let node = &self.nodes.borrow()[i];
                    (node.down_by == Some(number), node.control.is_some())
                };
                if held && still {
                    // It is still ending: it starts again once it has.
                    let fault = fault.clone();
                    self.later(100, move |world| world.ends(number, &fault));
                } else if held {
                    self.nodes.borrow_mut()[i].down_by = None;
                    self.node_starts(i);
                }
            }
            Kind::Burst => self.traffic.set(1.0),
            Kind::Hand => {
                // Not before it has been restarted.
                let (at, over) = (fault.at + HAND_MS, self.exec.millis());
                self.at(at.max(over), move |world| world.back_by_hand(number, j));
            }
            Kind::Evacuate => {
                let held = self.nodes.borrow()[i].down_by == Some(number);
                if held {
                    self.nodes.borrow_mut()[i].down_by = None;
                    self.call(i, Call::Rejoin, |_, _| {});
                    let notice = self.dice.within(200, 400);
                    let starts = self.nodes.borrow()[i].starts;
                    self.later(notice, move |world| {
                        let node = &mut world.nodes.borrow_mut()[i];
                        node.fronted |=
                            node.starts == starts && node.control.is_some() && node.down_by.is_none();
                    });
                }
            }
            Kind::Reshuffle
            | Kind::Migrate
            | Kind::ToItself
            | Kind::ToOther
            | Kind::ToNowhere
            | Kind::InCircle
            | Kind::Nonsense
            | Kind::MapSilent
            | Kind::MapNoise
            | Kind::MapHuge => self.with_slots(|slots| slots.ends(fault, j)),
            Kind::DnsSilent
            | Kind::DnsFails
            | Kind::DnsNoName
            | Kind::DnsEmpty
            | Kind::DnsCut
            | Kind::DnsHalf
            | Kind::DnsForged
            | Kind::DnsNoLife
            | Kind::DnsLongLife
            | Kind::DnsCircle
            | Kind::DnsNoise
            | Kind::DnsOld
            | Kind::DnsPart
            | Kind::DnsLate => self.with_names(|names| names.ends(fault)),
            Kind::Renumber | Kind::Reload | Kind::BadReload | Kind::Pipeline | Kind::Stall | Kind::Leave => {}
        }
    }

    /// A call of the operators at a node, and what is done with its yes.
    fn call(&self, i: usize, call: Call, yes: impl FnOnce(&Rc<World>, String) + 'static) {
        let (tell, told) = oneshot::channel();
        self.tell(i, Control::Call(call, tell));
        let (me, host) = (self.me.clone(), self.nodes.borrow()[i].host);
        self.on(host, async move {
            if let (Ok(Reply::Yes(text)), Some(world)) = (told.await, me.upgrade()) {
                yes(&world, text);
            }
        });
    }

    /// All nodes are told that a box is out; it is restarted meanwhile, and the list hears of it late.
    fn out_by_hand(&self, number: usize, j: usize) {
        if !self.takes_down(number, j) {
            return;
        }
        let (id, at) = {
            let b = &self.boxes.borrow()[j];
            (b.id.clone(), b.address)
        };
        for i in 0..self.nodes.borrow().len() {
            self.call(i, Call::Exclude(id.clone()), move |world, _| world.oracle.by_hand(i, at, true));
        }
        let (ends, starts) = (self.dice.within(600, 900), self.dice.within(1_000, HAND_MS));
        self.later(ends, move |world| world.box_ends(j));
        self.later(starts, move |world| {
            world.box_starts(j, true);
            world.later(300, |world| world.with_slots(|slots| slots.cluster.gossip()));
            world.notify(j, "ready", (200, 2_500));
        });
    }

    fn back_by_hand(&self, number: usize, j: usize) {
        let (id, at) = {
            let b = &mut self.boxes.borrow_mut()[j];
            if b.down_by != Some(number) {
                return;
            }
            b.down_by = None;
            (b.id.clone(), b.address)
        };
        for i in 0..self.nodes.borrow().len() {
            self.oracle.by_hand(i, at, false);
            self.call(i, Call::Include(id.clone()), |_, _| {});
        }
    }

    /// A node is emptied; the front hears its no and sends for a little longer. After 4 s nobody is there.
    fn emptied(&self, number: usize, i: usize) {
        let (call, starts) = (self.exec.nanos(), self.nodes.borrow()[i].starts);
        self.call(i, Call::Evacuate, |_, _| {});
        let notice = self.dice.within(200, 320);
        self.later(notice, move |world| world.nodes.borrow_mut()[i].fronted = false);
        self.later(4_000, move |world| {
            let still = {
                let node = &world.nodes.borrow()[i];
                node.down_by == Some(number) && node.starts == starts
            };
            if still {
                world.oracle.emptied(i, call);
            }
        });
    }

    fn agents_speak(&self, i: usize) {
        // One that a reload has left stays silent for good.
        let now = self.nodes.borrow()[i].agent;
        let pair = self.agents.borrow()[i].clone();
        if pair[now].speak() {
            // What it has counts as told from here on, whoever asks; the way to it takes its time.
            let agent = pair[now].clone();
            self.at(self.exec.millis() + FOUND_AGAIN_MS, move |world| {
                if world.nodes.borrow()[i].agent == now {
                    agent.counts_as_told();
                }
            });
        }
        if self.exec.millis() < LAST_MS {
            pair[1 - now].speak();
        }
    }

    fn spoil(&self, j: usize, spoil: cache_box::Spoil, part: f64) {
        self.with_box(j, |b| b.spoil.set(Some((spoil, part))));
    }

    fn spoil_origin(&self, spoil: origin::Spoil, part: f64) {
        self.with_origin(|o| o.spoil.set(Some((spoil, part))));
    }

    fn cut(&self, fault: &Fault, cut: bool) {
        let (nodes, boxes) = (self.nodes.borrow(), self.boxes.borrow());
        let node = nodes[fault.target % nodes.len()].host;
        let server = boxes[fault.extra as usize % boxes.len()].host;
        if fault.kind != Kind::CutFrom {
            self.network.cut(node, server, cut);
        }
        if fault.kind != Kind::CutTo {
            self.network.cut(server, node, cut);
        }
    }

    fn takes_down(&self, number: usize, j: usize) -> bool {
        let b = &mut self.boxes.borrow_mut()[j];
        let free = b.down_by.is_none();
        if free {
            b.down_by = Some(number);
        }
        free
    }

    /// The list says that a box is gone, if it still is when the notice comes.
    fn while_down(&self, j: usize, number: usize, (least, most): (u64, u64)) {
        let notice = self.dice.within(least, most);
        self.later(notice, move |world| {
            let down = world.boxes.borrow()[j].down_by == Some(number);
            if down {
                world.notify(j, "gone", (0, 500));
            }
        });
    }

    fn comes_back(&self, number: usize, j: usize, kind: Kind) {
        let host = {
            let b = &mut self.boxes.borrow_mut()[j];
            if b.down_by != Some(number) {
                return;
            }
            b.down_by = None;
            b.host
        };
        if kind == Kind::Silence {
            self.network.silence(host, false);
            self.network.forget(host);
        }
        self.box_starts(j, true);
        // It hears from the others what changed meanwhile.
        self.later(300, |world| world.with_slots(|slots| slots.cluster.gossip()));
        // After any word of its end that is still on its way.
        self.notify(j, "ready", (600, 1_800));
    }

    // The end.

    /// All that is wrong is mended, as it would be in the end.
    fn heal(&self) {
        self.exec.trace(format_args!("healing"));
        self.healed.set(true);
        self.traffic.set(0.3);
        self.with_slots(Reshuffle::heal);
        // DNS is no part of what must be whole: the list is enough to serve everything.
        self.with_names(|names| names.heal(&self.dice));
    }

    /// A healed world must serve everything.
    fn probe(&self) {
        self.traffic.set(0.0);
        self.exec.trace(format_args!("probing"));
        self.with_slots(|slots| self.astray.set(slots.cluster.counts.get().astray));
        for n in 0..PROBES.0 {
            self.later(3_000 + n * PROBES.1, move |world| {
                let ask = Ask {
                    class: if n % 4 == 3 { "send-message" } else { "browse" },
                    write: n % 4 == 3,
                    token: None,
                    wait: Duration::from_millis(1_000),
                    retries: 3,
                    leaves_after: None,
                    ..world.draw_ask()
                };
                let me = world.me.clone();
                let (clients, host) = world.client(n as usize);
                world.on(host, async move {
                    let front = || me.upgrade().map_or(address(0, 0, 0, 6379), |w| w.front());
                    let end = clients.ask(&front, ask.clone()).await;
                    if let Some(world) = me.upgrade().filter(|_| end != End::Served) {
                        let what = format!("a healed world ends a {} as {end:?}", ask.class);
                        world.oracle.breaks(Rule::Progress, what);
                    }
                });
            });
        }
    }

    /// Clients go.
    fn part(&self) {
        self.clients.borrow().iter().for_each(|c| c.close_idle());
        self.with_slots(|slots| {
            let astray = slots.cluster.counts.get().astray - self.astray.get();
            // A budget that lets a node ask once in a minute has not brought it the map by then.
            let nodes = self.nodes.borrow().len() as f64;
            let asks =
                RefreshBudget::default().ask as f64 * nodes <= self.make.questions_per_s * ASKS_WITHIN_S;
            if asks && astray > PROBES.0 / ASTRAY {
                let what = format!(
                    "in a healed world {astray} of {} requests go to boxes that do not own their slots",
                    PROBES.0
                );
                self.oracle.breaks(Rule::Progress, what);
            }
        });
        if self.make.cluster {
            self.same_map();
        }
    }

    /// All nodes show one slot map, in which all of them run.
    fn same_map(&self) {
        let addresses: Vec<SocketAddr> = self.nodes.borrow().iter().map(|n| n.address).collect();
        let (me, (_, host)) = (self.me.clone(), self.client(0));
        let net = self.network.on(host);
        self.on(host, async move {
            let mut maps: Vec<String> = Vec::new();
            for node in addresses {
                let map = ask_once(&net, node, &["CLUSTER", "NODES"]).await;
                maps.push(map.unwrap_or_default().replace("myself,", ""));
            }
            let Some(world) = me.upgrade() else { return };
            let whole = maps[0].lines().count() == maps.len() && !maps[0].contains("fail");
            if !whole || maps.iter().any(|m| *m != maps[0]) {
                world.oracle.breaks(Rule::Progress, format!("nodes show other slot maps than one: {maps:?}"));
            }
        });
    }

    /// After quiet nothing is kept, and every node holds the present list.
    fn census(&self) {
        let members = self.boxes.borrow().len() + usize::from(self.make.boxes != Boxes::Through);
        let count = self.nodes.borrow().len();
        let told = self.network.posted.borrow().get(&rumour::MAGIC).copied().unwrap_or_default();
        if self.make.beside.rumours() && told.1 + RUMOURS_OVER_MS > self.exec.millis() {
            let what = format!(
                "{} rumours were told, the last {} ms before the end",
                told.0,
                self.exec.millis() - told.1
            );
            self.oracle.breaks(Rule::Leak, what);
        }
        if let Some(names) = &self.names {
            let nodes: Vec<IpAddr> = self.nodes.borrow().iter().map(|n| ip(n.address)).collect();
            if let Some(what) = names.not_asked(&nodes, self.exec.millis()) {
                self.oracle.breaks(Rule::Progress, what);
            }
        }
        for i in 0..count {
            let agent = self.agents.borrow()[i][self.nodes.borrow()[i].agent].clone();
            let ((after, _), revision) = (agent.asked.get(), agent.revision.get());
            if after != revision {
                let what = format!("node {i} holds revision {after} of its list, which is at {revision}");
                self.oracle.breaks(Rule::Progress, what);
            }
            self.call(i, Call::Figures, move |world, text| world.oracle.reports(i, &text));
            let (ask, told) = oneshot::channel::<Census>();
            self.tell(i, Control::Census(ask));
            let (oracle, host) = (self.oracle.clone(), self.nodes.borrow()[i].host);
            self.on(host, async move {
                let Ok(c) = told.await else {
                    return oracle.breaks(Rule::Progress, format!("node {i} answers no more"));
                };
                let quiet = Census { servers: c.servers, pools: c.pools, ..Census::default() };
                if c != quiet || c.servers != members || c.pools > members {
                    oracle.breaks(Rule::Leak, format!("node {i} keeps {c:?} after quiet"));
                }
            });
        }
    }

    fn end(&self) {
        let clients = std::mem::take(&mut *self.clients.borrow_mut());
        drop(clients);
        self.exec.clear();
    }

    /// Calls that came to the origin so far, and the most that were there at once.
    pub fn origin_calls(&self) -> (u64, usize) {
        self.origin.borrow().as_ref().map_or((0, 0), |o| (o.came.get(), o.most.get()))
    }

    /// The origin's work takes so many times as long.
    pub fn origin_slows(&self, times: f64) {
        self.with_origin(|o| o.slow.set(times));
    }

    /// Every copy of every key is void.
    pub fn voids_all(&self) {
        for j in 0..self.boxes() {
            self.with_box(j, |b| (0..self.make.keys).for_each(|k| b.void(&format!("k{k}"))));
        }
    }

    /// Sets how exactly every box and the origin answer; for directed cases.
    pub fn exactly(&self, time: Option<Duration>) {
        let boxes = self.boxes.borrow().len();
        (0..boxes).for_each(|j| self.with_box(j, |b| b.exactly.set(time)));
        self.with_origin(|o| o.exactly.set(time));
    }

    /// Ends the origin's process and starts it again; for directed cases.
    pub fn origin_dies(&self, back_after_ms: u64) {
        self.network.kill(self.origin_host);
        self.later(back_after_ms, |world| world.origin_starts());
    }

    /// Ends a box's process at once and starts it again, cold; for directed cases.
    pub fn box_dies(&self, j: usize, back_after_ms: u64) {
        self.box_ends(j);
        self.later(back_after_ms, move |world| world.box_starts(j, true));
    }

    /// How many boxes there are.
    pub fn boxes(&self) -> usize {
        self.boxes.borrow().len()
    }

    /// A node's agent answers nothing, or does again.
    pub fn list_out(&self, node: usize, out: bool) {
        for agent in &self.agents.borrow()[node] {
            if out {
                agent.silent.set(true);
            } else {
                agent.speak();
            }
        }
    }

    /// How many nodes there are.
    pub fn nodes(&self) -> usize {
        self.nodes.borrow().len()
    }

    /// A box's process ends, and the list is told of it as ever; for measurements.
    pub fn box_dies_for_good(&self, j: usize) {
        self.box_ends(j);
        self.notify(j, "gone", (600, 3_500));
    }

    /// A box is told to drain, as ever.
    pub fn drains(&self, j: usize) {
        self.boxes.borrow_mut()[j].draining = true;
        self.notify(j, "draining", (50, 1_500));
    }

    /// Asks a node for its boxes and their sources: each address that takes requests in its view.
    pub fn look(&self, node: usize, then: impl FnOnce(Vec<String>) + 'static) {
        let (_, host) = self.client(node);
        let (net, at) = (self.network.on(host), self.nodes.borrow()[node].address);
        self.on(host, async move {
            let text = ask_once(&net, at, &["INFO", "sources"]).await.unwrap_or_default();
            let lines = text.lines().filter_map(|l| l.strip_prefix("box:"));
            let ready = lines.filter_map(|l| {
                let mut parts = l.split(',').skip(1);
                let at = parts.next()?;
                (parts.next() == Some("ready")).then(|| at.to_owned())
            });
            then(ready.collect());
        });
    }

    /// Where a box stands.
    pub fn box_at(&self, j: usize) -> SocketAddr {
        self.boxes.borrow()[j].address
    }

    /// The machines of a node and of a box; for directed cases.
    pub fn machines(&self, node: usize, server: usize) -> (Host, Host) {
        (self.nodes.borrow()[node].host, self.boxes.borrow()[server].host)
    }

    /// Tells every agent at once that a box drains; for directed cases.
    pub fn drain_now(&self, j: usize) {
        self.boxes.borrow_mut()[j].draining = true;
        self.notify(j, "draining", (0, 0));
    }

    /// And that it takes requests again.
    pub fn ready_now(&self, j: usize) {
        self.boxes.borrow_mut()[j].draining = false;
        self.notify(j, "ready", (0, 0));
    }
}

/// One command on a connection of its own.
async fn ask_once(net: &SimNet, node: SocketAddr, words: &[&str]) -> Option<String> {
    let (reading, mut writing) = net.connect(node).await.ok()?.split();
    writing.write_all(&wire::encode(words)).await.ok()?;
    let mut buffer = BytesMut::new();
    loop {
        match wire::answer(&mut buffer) {
            Ok(Some(wire::Answer::Value(value))) => return Some(value),
            Ok(None) if matches!(wire::read_more(&reading, &mut buffer).await, Ok(true)) => {}
            _ => return None,
        }
    }
}

fn member(id: &str, address: SocketAddr, kind: &'static str, phase: &'static str, up: u64) -> Member {
    Member { id: id.into(), address, kind, phase, up_since_ms: up }
}
