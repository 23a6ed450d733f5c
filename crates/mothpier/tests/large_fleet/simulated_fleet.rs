//! Simulates a large fleet on loopback addresses: its cache servers, an origin and the other nodes of the
//! tier.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use mothpier_net::Tokio;
use mothpier_world::agent::{Agent, Member};
use mothpier_world::fleet::Fleet;
use mothpier_world::{Dice, Seen, wire};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Number of tenants in the settings.
pub const TENANTS: usize = 7;
/// One key in this many is missing at the cache servers.
const KEYS_PER_MISS: u64 = 12;
/// Time that a cache server takes for a command, and the origin for a call.
const MIN_SERVICE_TIME_MS: u64 = 10;
const MAX_SERVICE_TIME_MS: u64 = 40;
const ORIGIN_SERVICE_TIME: Duration = Duration::from_millis(80);
/// Simulated peer nodes. A node hears from 16 of them in every four review periods of 59 ms.
const SIMULATED_PEERS: usize = 64;
const PEERS_PER_TURN: usize = 16;
const TURN_INTERVAL: Duration = Duration::from_millis(235);

/// A command that arrived at a cache server.
pub struct Arrival {
    pub request_id: String,
    pub server: Ipv4Addr,
    pub at: Instant,
}

/// What the simulated servers and discovery have recorded.
#[derive(Default)]
pub struct Record {
    pub arrivals: Vec<Arrival>,
    /// When discovery announced that a server accepts no new requests.
    pub drained_at: HashMap<SocketAddr, Instant>,
    /// Number of connections made to cache servers.
    pub connections: usize,
}

/// A fleet of cache servers with its origin and its discovery agent.
pub struct LargeFleet {
    pub record: Rc<RefCell<Record>>,
    pub agent: Rc<Agent<Tokio>>,
    pub discovery: SocketAddr,
    members: Vec<Member>,
}

impl LargeFleet {
    /// Starts the servers and the discovery agent.
    pub async fn start(servers: usize) -> Self {
        let record: Rc<RefCell<Record>> = Rc::default();
        let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).await.unwrap();
        let port = listener.local_addr().unwrap().port();
        spawn_local(accept_connections(listener, record.clone()));
        let origin = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let mut members: Vec<Member> = (0..servers).map(|number| member(number, port)).collect();
        members.push(Member {
            id: "origin-0".into(),
            address: origin.local_addr().unwrap(),
            kind: "origin",
            phase: "ready",
            up_since_ms: 0,
        });
        spawn_local(serve_origin(origin));
        let drain_record = record.clone();
        let fleet = Fleet::new(Rc::new(move |seen| record_drains(&drain_record, seen)));
        let agent = Agent::new(Tokio, fleet, 0, &members);
        let discovery = agent.clone().serve((Ipv4Addr::LOCALHOST, 0).into()).await.unwrap();
        LargeFleet { record, agent, discovery, members }
    }

    /// Changes the phase of one cache server in `one_in`, all at once.
    pub fn change_each(&self, one_in: usize, phase: &'static str) {
        for member in self.members.iter().filter(|m| m.kind == "cache").step_by(one_in) {
            self.agent.change(Member { phase, ..member.clone() });
        }
    }
}

fn member(number: usize, port: u16) -> Member {
    let address = Ipv4Addr::new(127, 20, (number / 250) as u8, 1 + (number % 250) as u8);
    let id = format!("s-{:08x}", number.wrapping_mul(2_654_435_761) as u32);
    Member { id, address: (address, port).into(), kind: "cache", phase: "ready", up_since_ms: 0 }
}

fn record_drains(record: &RefCell<Record>, seen: Seen) {
    let Seen::Told { members, .. } = seen else { return };
    let (mut record, now) = (record.borrow_mut(), Instant::now());
    for (_, address, ready) in members {
        let address = address.parse().unwrap();
        if ready {
            record.drained_at.remove(&address);
        } else {
            record.drained_at.entry(address).or_insert(now);
        }
    }
}

async fn accept_connections(listener: TcpListener, record: Rc<RefCell<Record>>) {
    while let Ok((stream, _)) = listener.accept().await {
        record.borrow_mut().connections += 1;
        spawn_local(serve_cache(stream, record.clone()));
    }
}

async fn serve_cache(mut stream: TcpStream, record: Rc<RefCell<Record>>) {
    let Ok(SocketAddr::V4(local_address)) = stream.local_addr() else { return };
    let (server, dice) = (*local_address.ip(), Dice::new(u32::from(*local_address.ip()).into()));
    stream.set_nodelay(true).unwrap();
    let mut buffer = BytesMut::new();
    loop {
        while let Some(arguments) = wire::command(&mut buffer).unwrap() {
            let (request_id, at) = (arguments[2].clone(), Instant::now());
            record.borrow_mut().arrivals.push(Arrival { request_id, server, at });
            sleep(Duration::from_millis(dice.within(MIN_SERVICE_TIME_MS, MAX_SERVICE_TIME_MS))).await;
            if stream.write_all(answer(&arguments[1]).as_bytes()).await.is_err() {
                return;
            }
        }
        if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 {
            return;
        }
    }
}

fn answer(key: &str) -> String {
    let number: u64 = key.trim_start_matches('k').parse().unwrap_or(0);
    let report = "$17\r\nlat_ms=5,busy=0.4\r\n";
    match number % KEYS_PER_MISS {
        0 => format!("*3\r\n$-1\r\n$4\r\nmiss\r\n{report}"),
        _ => format!("*3\r\n${}\r\n{key}\r\n$3\r\nhit\r\n{report}", key.len()),
    }
}

async fn serve_origin(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(serve_origin_calls(stream));
    }
}

async fn serve_origin_calls(mut stream: TcpStream) {
    let mut buffer = BytesMut::new();
    loop {
        while let Some(call) = wire::call(&mut buffer).unwrap() {
            sleep(ORIGIN_SERVICE_TIME).await;
            let reply = wire::reply("200 OK", "", call.path.trim_start_matches('/'));
            if stream.write_all(&reply).await.is_err() {
                return;
            }
        }
        if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 {
            return;
        }
    }
}

/// The other nodes of a tier, which report their load to the node under test.
pub struct PeerNodes(Vec<UdpSocket>);

impl PeerNodes {
    /// Opens a socket for each simulated peer.
    pub async fn start() -> Self {
        let mut sockets = Vec::new();
        for _ in 0..SIMULATED_PEERS {
            sockets.push(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap());
        }
        PeerNodes(sockets)
    }

    /// Returns the addresses of a tier of `nodes` nodes: the node under test, the simulated peers, then
    /// unused addresses.
    pub fn addresses(&self, node: SocketAddr, nodes: usize) -> Vec<SocketAddr> {
        let simulated = self.0.iter().map(|socket| socket.local_addr().unwrap());
        let unused = (0..).map(|n: u32| (Ipv4Addr::from(0x7f28_0001 + n), 7946).into());
        [node].into_iter().chain(simulated).chain(unused).take(nodes).collect()
    }

    /// Sends load reports to the node without end, from a few peers in each turn.
    pub async fn send_loads(self, node: SocketAddr, per_s: f32) {
        let bfloat16 = |value: f32| ((value.to_bits() >> 16) as u16).to_le_bytes();
        let rates = [per_s / TENANTS as f32; TENANTS];
        let message: Vec<u8> = [0.0, per_s].into_iter().chain(rates).flat_map(bfloat16).collect();
        for turn in 0.. {
            for index in 0..PEERS_PER_TURN {
                let peer = &self.0[(turn * PEERS_PER_TURN + index) % SIMULATED_PEERS];
                let _ = peer.send_to(&message, node).await;
            }
            sleep(TURN_INTERVAL).await;
        }
    }
}
