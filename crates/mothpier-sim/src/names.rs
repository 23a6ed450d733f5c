//! DNS in a world: two servers of one zone, what goes wrong with them, and a stranger whom only forged answers name.
//! DNS names every box all the time, whether it runs, drains or is gone: that is what real zones do.

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use mothpier_names::{Lifetimes, Name, Settings};
use mothpier_net::Net;
use mothpier_world::Dice;
use mothpier_world::dns::{Bend, DnsServer, Entry, Zone};
use mothpier_world::wire;

use crate::exec::{EPOCH, Host};
use crate::net::{Network, SimNet};
use crate::plan::{Fault, Kind};

const SERVICE: &str = "_profile._tcp.makati.example.org";
/// No box stands there, and nothing but forged answers leads there.
const STRANGER: ([u8; 4], u16) = ([10, 9, 0, 1], 6379);
/// An answer counts for so long at the most, and is used for so long behind that, milliseconds.
const CEILING_MS: u64 = 4_000;
const STALE_MS: u64 = 8_000;
/// A node asks a healthy server at least so often, milliseconds: its answers last a quarter of it.
const ASKS_WITHIN_MS: u64 = 16_000;

/// DNS in one world.
pub struct Names {
    zone: Rc<Zone>,
    hosts: Vec<(Host, SocketAddr)>,
    servers: RefCell<Vec<Rc<DnsServer<SimNet>>>>,
    /// Where forged answers lead.
    pub stranger: SocketAddr,
    stranger_host: Host,
    seed: u64,
}

fn bend(kind: Kind, stranger: SocketAddr) -> Option<Bend> {
    Some(match kind {
        Kind::DnsSilent => Bend::Silent,
        Kind::DnsFails => Bend::Fails,
        Kind::DnsNoName => Bend::NoName,
        Kind::DnsEmpty => Bend::Empty,
        Kind::DnsCut => Bend::CutNoTcp,
        Kind::DnsHalf => Bend::CutHalf,
        Kind::DnsForged => Bend::Forged(stranger),
        Kind::DnsNoLife => Bend::NoLife,
        Kind::DnsLongLife => Bend::LongLife,
        Kind::DnsCircle => Bend::Circle,
        Kind::DnsNoise => Bend::Noise,
        Kind::DnsOld => Bend::Old,
        Kind::DnsPart => Bend::Part,
        Kind::DnsLate => Bend::Late,
        _ => return None,
    })
}

impl Names {
    /// Of boxes at these addresses.
    pub fn new(network: &Rc<Network>, boxes: &[SocketAddr], seed: u64) -> Self {
        let dice = Dice::part(seed, 11);
        let entry = |(j, at): (usize, &SocketAddr)| Entry {
            host: format!("pb{j}.makati.example.org"),
            at: *at,
            rank: (10, dice.within(1, 4) as u16),
        };
        let zone = Rc::new(Zone {
            service: SERVICE.into(),
            entries: RefCell::new(boxes.iter().enumerate().map(entry).collect()),
            ttl: std::cell::Cell::new(dice.within(1, 4) as u32),
            beside: std::cell::Cell::new(dice.chance(0.6)),
        });
        let host = |n: u8| {
            let at = SocketAddr::from(([10, 5, 0, n + 1], 53));
            (network.machine(&format!("dns{n}"), at.ip(), false), at)
        };
        let hosts = (0..2).map(host).collect();
        let stranger = SocketAddr::from(STRANGER);
        let stranger_host = network.machine("stranger", stranger.ip(), false);
        Names { zone, hosts, servers: RefCell::default(), stranger, stranger_host, seed }
    }

    /// Its servers begin, and the stranger.
    pub fn start(&self, network: &Rc<Network>) {
        for (host, at) in &self.hosts {
            let (net, at) = (network.on(*host), *at);
            let server = DnsServer::new(net.clone(), self.zone.clone(), self.seed ^ *host as u64);
            self.servers.borrow_mut().push(server.clone());
            net.spawn(async move {
                server.serve(at).await.expect("an address of its own");
            });
        }
        let (net, at) = (network.on(self.stranger_host), self.stranger);
        let machine = net.clone();
        net.spawn(async move {
            let waiting = machine.clone();
            // It takes connections and says nothing.
            let serve = move |stream: <SimNet as Net>::Stream| {
                let waiting = waiting.clone();
                async move {
                    waiting.sleep(Duration::from_secs(3600)).await;
                    drop(stream);
                }
            };
            wire::listen(&machine, at, serve).await.expect("an address of its own");
        });
    }

    /// How a node of so many asks.
    pub fn settings(&self, nodes: usize) -> Settings {
        Settings {
            service: Name::from_ascii(format!("{SERVICE}.")).expect("a name"),
            servers: self.hosts.iter().map(|(_, at)| *at).collect(),
            nodes,
            tier_per_s: 100.0,
            burst: 16.0,
            lifetimes: Lifetimes {
                floor: 1_000,
                ceiling: CEILING_MS,
                stale: STALE_MS,
                ..Lifetimes::default()
            },
            timeout_ms: 400,
            ipv6: false,
            // None: a forged answer must be known by itself.
            networks: Vec::new(),
        }
    }

    /// The servers that a fault is about: one, or all.
    fn of(&self, fault: &Fault) -> Vec<Rc<DnsServer<SimNet>>> {
        let servers = self.servers.borrow();
        let one = fault.target % servers.len();
        servers
            .iter()
            .enumerate()
            .filter(|(n, _)| *n == one || fault.extra % 2 == 1)
            .map(|(_, s)| s.clone())
            .collect()
    }

    /// A fault begins.
    pub fn begins(&self, fault: &Fault) {
        self.of(fault).iter().for_each(|server| server.bend(bend(fault.kind, self.stranger)));
    }

    /// And ends.
    pub fn ends(&self, fault: &Fault) {
        self.of(fault).iter().for_each(|server| server.bend(None));
    }

    /// What all servers do wrong from now on; for directed cases.
    pub fn bend_all(&self, bend: Option<Bend>) {
        self.servers.borrow().iter().for_each(|server| server.bend(bend));
    }

    /// Only so many of the boxes are named from now on.
    pub fn keep(&self, count: usize) {
        self.zone.entries.borrow_mut().truncate(count);
    }

    /// A box is named from now on.
    pub fn add(&self, j: usize, at: SocketAddr) {
        let entry = Entry { host: format!("pb{j}.makati.example.org"), at, rank: (10, 2) };
        self.zone.entries.borrow_mut().push(entry);
    }

    /// In half of the worlds DNS is whole again; in the others it goes wrong for good, in one way.
    pub fn heal(&self, dice: &Dice) {
        let kinds: Vec<Kind> = Kind::ALL.iter().copied().filter(|k| k.of_dns()).collect();
        let for_good = dice.chance(0.5).then(|| kinds[dice.within(0, kinds.len() as u64) as usize]);
        self.bend_all(for_good.and_then(|kind| bend(kind, self.stranger)));
    }

    /// How often the servers were asked.
    pub fn questions(&self) -> u64 {
        self.servers.borrow().iter().map(|s| s.asked.borrow().questions).sum()
    }

    /// Where DNS is whole, every node must have asked it lately: what it answered runs out. Tells of one that did not.
    pub fn not_asked(&self, nodes: &[IpAddr], now_ms: u64) -> Option<String> {
        let servers = self.servers.borrow();
        if servers.iter().any(|s| s.bent().is_some()) {
            return None;
        }
        nodes.iter().enumerate().find_map(|(i, node)| {
            let last = servers.iter().filter_map(|s| s.asked.borrow().by.get(node).map(|(_, at)| *at)).max();
            let last = last.map_or(0, |at| at.saturating_sub(EPOCH).as_millis() as u64);
            let late = last + ASKS_WITHIN_MS < now_ms;
            late.then(|| {
                format!(
                    "node {i} asked DNS last at {last} ms, whose answers last {CEILING_MS} ms at the most"
                )
            })
        })
    }
}
