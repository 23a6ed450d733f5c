//! The simulated world: its machines, its network and its clock.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::{Rc, Weak};

use mothpier::Control;
use mothpier_net::Net;
use mothpier_world::Dice;
use mothpier_world::agent::Agent;
use mothpier_world::cache_box::CacheBox;
use mothpier_world::client::Clients;
use mothpier_world::fleet::Fleet;
use mothpier_world::origin::Origin;
use tokio::sync::mpsc;

use super::settings::WorldSettings;
use crate::exec::{EPOCH, Exec, Host};
use crate::names::Names;
use crate::net::{Network, SimNet};
use crate::oracle::{Care, Oracle};
use crate::reshuffle::Reshuffle;

/// The classes: name, care, aim, deadline (milliseconds), worth.
pub(super) const CLASSES: [(&str, Care, u64, u64, f64); 3] = [
    ("browse", Care::Safe, 750, 1_500, 2.0),
    ("send-message", Care::Unsafe, 300, 1_000, 8.0),
    ("send-interest", Care::Keyed, 300, 600, 3.0),
];

/// A cache server and what has been done to it.
pub(super) struct BoxState {
    pub(super) host: Host,
    pub(super) address: SocketAddr,
    pub(super) id: String,
    pub(super) running: Option<Rc<CacheBox<SimNet>>>,
    /// Which fault holds it down.
    pub(super) down_by: Option<usize>,
    pub(super) draining: bool,
    pub(super) replaced: u32,
    /// The list has been told of it; before, only DNS names it.
    pub(super) listed: bool,
}

/// A node and what has been done to it.
pub(super) struct NodeState {
    pub(super) host: Host,
    pub(super) address: SocketAddr,
    pub(super) control: Option<mpsc::Sender<Control>>,
    /// Which of its two agents it is told to ask.
    pub(super) agent: usize,
    pub(super) down_by: Option<usize>,
    /// The front deals clients to it.
    pub(super) fronted: bool,
    pub(super) starts: u32,
}

/// A world in a run.
pub struct World {
    pub(super) me: Weak<World>,
    /// The executor.
    pub exec: Rc<Exec>,
    /// The network.
    pub network: Rc<Network>,
    /// The judge.
    pub oracle: Rc<Oracle>,
    pub(super) fleet: Rc<Fleet>,
    pub(super) settings: WorldSettings,
    /// Where the boxes form a cluster.
    pub(super) slots: Option<Reshuffle>,
    /// Where DNS is a source of boxes.
    pub(super) names: Option<Names>,
    /// Commands that had come to boxes that do not own their slot, when the healed world began to be asked.
    pub(super) astray: Cell<u64>,
    pub(super) boxes: RefCell<Vec<BoxState>>,
    pub(super) origin: RefCell<Option<Rc<Origin<SimNet>>>>,
    pub(super) origin_host: Host,
    pub(super) origin_address: SocketAddr,
    /// Two for each node: the second is what a reload goes over to.
    pub(super) agents: RefCell<Vec<[Rc<Agent<SimNet>>; 2]>>,
    pub(super) nodes: RefCell<Vec<NodeState>>,
    pub(super) clients: RefCell<Vec<Rc<Clients<SimNet>>>>,
    pub(super) dice: Dice,
    pub(super) healed: Cell<bool>,
    /// When each agent hears the latest word of a server.
    pub(super) words: RefCell<BTreeMap<(usize, String), u64>>,
    /// Traffic goes on.
    pub(super) traffic: Cell<f64>,
}

/// The address of one machine of a kind.
pub(super) fn address(net: u8, sub: u8, number: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, net, sub, number as u8 + 1], port))
}

/// The address without its port.
pub(super) fn ip(at: SocketAddr) -> IpAddr {
    at.ip()
}

impl World {
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

    /// Runs a job on a machine.
    pub(super) fn on(&self, host: Host, job: impl Future<Output = ()> + 'static) {
        self.network.on(host).spawn(job);
    }

    /// Machines are made in this order: boxes, origin, then for each node its agents and itself.
    pub(super) fn agent_host(&self, node: usize, which: usize) -> Host {
        self.origin_host + 1 + node * 3 + which
    }

    /// The present time in milliseconds since 1970.
    pub(super) fn unix_ms(&self) -> u64 {
        EPOCH.as_millis() as u64 + self.exec.millis()
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
}
