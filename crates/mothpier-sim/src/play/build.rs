//! Builds a simulated world from its seed and starts its processes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mothpier_world::Dice;
use mothpier_world::agent::{Agent, Member};
use mothpier_world::client::Clients;
use mothpier_world::cluster::Cluster;
use mothpier_world::fleet::Fleet;
use mothpier_world::origin::Origin;

use super::Options;
use super::settings::WorldSettings;
use super::world::{BoxState, CLASSES, NodeState, World, address, ip};
use crate::exec::Exec;
use crate::names::Names;
use crate::net::{Network, SimNet};
use crate::oracle::{Oracle, Role};
use crate::plan::Boxes;
use crate::reshuffle::Reshuffle;

/// Calls that may wait at the origin where a case does not say how many.
const ORIGIN_QUEUE: usize = 24;

impl World {
    /// Builds the world of a seed; nothing of it runs yet.
    pub(super) fn new(seed: u64, options: &Options, exec: Rc<Exec>) -> Rc<World> {
        let dice = Dice::part(seed, 4);
        let (nodes, boxes) = options.size.unwrap_or((dice.within(1, 4) as usize, dice.within(3, 7) as usize));
        let latency = match options.latency_us {
            Some(us) => (us * 1_000, us * 1_000),
            None => (dice.within(60_000, 200_000), dice.within(250_000, 1_200_000)),
        };
        let short = if dice.chance(0.5) { dice.between(0.0, 0.15) } else { 0.0 };
        let network = Network::new(exec.clone(), seed, latency, short);
        let settings = WorldSettings::draw(seed, options, boxes, &dice);
        let cares: Vec<_> = CLASSES.iter().map(|c| (c.0, c.1)).collect();
        let oracle = Oracle::new(exec.clone(), &cares, 500, (3.0, 2_000));
        network.tap(oracle.clone());
        let record = oracle.clone();
        let fleet = Fleet::new(Rc::new(move |seen| record.seen(seen)));
        let boxes = build_servers(&network, &oracle, &settings, boxes);
        let origin_address = address(2, 0, 0, 80);
        let origin_host = network.machine("origin", ip(origin_address), false);
        oracle.role(origin_address, Role::Origin);
        let members = listed_members(&boxes, origin_address, &settings);
        let slots = (settings.boxes != Boxes::Plain).then(|| build_slots(&boxes, seed));
        let (agents, states) = build_nodes(&network, &oracle, &fleet, nodes, &members);
        let clients = (0..dice.within(2, 5) as usize)
            .map(|k| {
                let host = network.machine(&format!("client{k}"), ip(address(4, 0, k, 1)), false);
                Clients::new(network.on(host), fleet.clone(), k as u64, seed)
            })
            .collect();
        let names = settings.beside.dns().then(|| build_names(&network, &oracle, &boxes, &settings));
        Rc::new_cyclic(|me| World {
            me: me.clone(),
            names,
            exec,
            network,
            oracle,
            fleet,
            settings,
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

    /// Starts the processes of the world.
    pub(super) fn start(&self) {
        let count = self.boxes.borrow().len();
        for j in 0..count {
            self.first_start(j);
        }
        self.with_names(|names| names.start(&self.network));
        let drawn = (self.dice.within(3, 8) as usize, ORIGIN_QUEUE);
        let drawn = self.settings.origin.unwrap_or(drawn);
        let origin = Origin::new(
            self.network.on(self.origin_host),
            self.fleet.clone(),
            drawn,
            Duration::from_millis(self.dice.within(15, 50)),
            Duration::from_secs(3),
            self.settings.seed,
        );
        *self.origin.borrow_mut() = Some(origin);
        self.origin_starts();
        let count = self.nodes.borrow().len();
        (0..count * 2).for_each(|at| self.agent_starts(at / 2, at % 2));
        (0..count).for_each(|i| self.node_starts(i));
    }

    /// Starts a cache server for the first time; one that the list does not name yet may come later.
    fn first_start(&self, j: usize) {
        let listed = self.boxes.borrow()[j].listed;
        if let Some(ms) = self.settings.newcomer_ms.filter(|_| !listed) {
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
            self.at(self.settings.newcomer_ms.unwrap_or(told), move |world| world.list_hears_of(j));
        }
    }

    /// The list hears for the first time of a cache server that runs already.
    fn list_hears_of(&self, j: usize) {
        let up = {
            let b = &mut self.boxes.borrow_mut()[j];
            // One that is down is told of when it is back, and one that drains is by now.
            let up = b.down_by.is_none() && !b.listed;
            b.listed = true;
            up
        };
        if up {
            self.notify(j, "ready", (0, 1_500));
        }
    }
}

/// The machines of the cache servers. The last one may be unknown to the list for a while.
fn build_servers(
    network: &Rc<Network>,
    oracle: &Oracle,
    settings: &WorldSettings,
    count: usize,
) -> Vec<BoxState> {
    let mut servers: Vec<BoxState> = (0..count)
        .map(|j| {
            let at = address(1, 0, j, 6379);
            let host = network.machine(&format!("box{j}"), ip(at), false);
            oracle.role(at, Role::Box(j));
            BoxState {
                host,
                address: at,
                id: format!("s-{j}"),
                running: None,
                down_by: None,
                draining: false,
                replaced: 0,
                listed: true,
            }
        })
        .collect();
    // The list hears late of a cache server that DNS has already.
    let late = settings.beside.dns() && settings.boxes == Boxes::Plain && servers.len() > 3;
    if late || settings.newcomer_ms.is_some() {
        servers.last_mut().expect("some").listed = false;
    }
    servers
}

/// What the list names at the start.
fn listed_members(servers: &[BoxState], origin: SocketAddr, settings: &WorldSettings) -> Vec<Member> {
    let listed = servers.iter().filter(|b| b.listed);
    let mut members: Vec<Member> = listed.map(|b| member(&b.id, b.address, "m", "ready", 0)).collect();
    if settings.boxes != Boxes::Through {
        members.push(member("o-1", origin, "origin", "ready", 0));
    }
    members
}

/// The slots of cache servers that form a cluster.
fn build_slots(servers: &[BoxState], seed: u64) -> Reshuffle {
    let addresses: Vec<SocketAddr> = servers.iter().map(|b| b.address).collect();
    let cluster = Cluster::new(&addresses, Duration::from_secs(3), seed);
    Reshuffle::new(cluster, servers.len(), seed)
}

/// The two agents of a node, of which it asks one.
type AgentPair = [Rc<Agent<SimNet>>; 2];

/// The machines of the nodes and of their agents.
fn build_nodes(
    network: &Rc<Network>,
    oracle: &Oracle,
    fleet: &Rc<Fleet>,
    count: usize,
    members: &[Member],
) -> (Vec<AgentPair>, Vec<NodeState>) {
    let mut agents = Vec::new();
    let mut nodes = Vec::new();
    for i in 0..count {
        agents.push([0u8, 1].map(|which| {
            let at = address(3, which, i, 8500);
            let host = network.machine(&format!("agent{i}.{which}"), ip(at), false);
            Agent::new(network.on(host), fleet.clone(), i, members)
        }));
        let at = address(0, 0, i, 6379);
        oracle.role(at, Role::Node(i));
        let host = network.machine(&format!("node{i}"), ip(at), true);
        nodes.push(NodeState {
            host,
            address: at,
            control: None,
            agent: 0,
            down_by: None,
            fronted: false,
            starts: 0,
        });
    }
    (agents, nodes)
}

/// DNS as a source of cache servers.
fn build_names(
    network: &Rc<Network>,
    oracle: &Oracle,
    servers: &[BoxState],
    settings: &WorldSettings,
) -> Names {
    let at: Vec<SocketAddr> = servers.iter().map(|b| b.address).collect();
    let names = Names::new(network, &at, settings.seed);
    if settings.newcomer_ms.is_some() {
        names.keep(at.len() - 1);
    }
    oracle.role(names.stranger, Role::Stranger);
    names
}

/// One member of the list.
pub(super) fn member(
    id: &str,
    address: SocketAddr,
    kind: &'static str,
    phase: &'static str,
    up: u64,
) -> Member {
    Member { id: id.into(), address, kind, phase, up_since_ms: up }
}
