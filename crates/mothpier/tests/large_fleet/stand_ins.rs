//! Cache servers on as many loopback addresses as a large fleet has, an origin, and the other nodes of the tier.

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

/// Tenants of the settings.
pub const TENANTS: usize = 7;
/// One key of so many is at no cache server.
const MISSES: u64 = 12;
/// What a cache server's work on a command takes, and a call at the origin.
const WORK_MS: (u64, u64) = (10, 40);
const ORIGIN_TIME: Duration = Duration::from_millis(80);
/// Other nodes that are played; each node hears from sixteen of them in four reviews of 59 ms.
const PEERS: usize = 64;
const PEERS_AT_ONCE: usize = 16;
const BETWEEN_PEERS: Duration = Duration::from_millis(235);

/// A command that came in at a cache server.
pub struct Arrival {
    pub request: String,
    pub server: Ipv4Addr,
    pub at: Instant,
}

/// What was seen at the far ends of the node.
#[derive(Default)]
pub struct Record {
    pub arrivals: Vec<Arrival>,
    /// When discovery wrote that a server takes nothing new.
    pub told: HashMap<SocketAddr, Instant>,
    /// Made to cache servers.
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
    /// Opens it.
    pub async fn open(servers: usize) -> Self {
        let record: Rc<RefCell<Record>> = Rc::default();
        let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).await.unwrap();
        let port = listener.local_addr().unwrap().port();
        spawn_local(accept(listener, record.clone()));
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
        let told = record.clone();
        let fleet = Fleet::new(Rc::new(move |seen| note_told(&told, seen)));
        let agent = Agent::new(Tokio, fleet, 0, &members);
        let discovery = agent.clone().serve((Ipv4Addr::LOCALHOST, 0).into()).await.unwrap();
        LargeFleet { record, agent, discovery, members }
    }

    /// Changes the phase of one server of so many, all at once.
    pub fn change_each(&self, every: usize, phase: &'static str) {
        for member in self.members.iter().filter(|m| m.kind == "cache").step_by(every) {
            self.agent.change(Member { phase, ..member.clone() });
        }
    }
}

fn member(number: usize, port: u16) -> Member {
    let address = Ipv4Addr::new(127, 20, (number / 250) as u8, 1 + (number % 250) as u8);
    let id = format!("s-{:08x}", number.wrapping_mul(2_654_435_761) as u32);
    Member { id, address: (address, port).into(), kind: "cache", phase: "ready", up_since_ms: 0 }
}

fn note_told(record: &RefCell<Record>, seen: Seen) {
    let Seen::Told { members, .. } = seen else { return };
    let (mut record, now) = (record.borrow_mut(), Instant::now());
    for (_, address, ready) in members {
        let address = address.parse().unwrap();
        if ready {
            record.told.remove(&address);
        } else {
            record.told.entry(address).or_insert(now);
        }
    }
}

async fn accept(listener: TcpListener, record: Rc<RefCell<Record>>) {
    while let Ok((stream, _)) = listener.accept().await {
        record.borrow_mut().connections += 1;
        spawn_local(serve_cache(stream, record.clone()));
    }
}

async fn serve_cache(mut stream: TcpStream, record: Rc<RefCell<Record>>) {
    let Ok(SocketAddr::V4(here)) = stream.local_addr() else { return };
    let (server, dice) = (*here.ip(), Dice::new(u32::from(*here.ip()).into()));
    stream.set_nodelay(true).unwrap();
    let mut buffer = BytesMut::new();
    loop {
        while let Some(words) = wire::command(&mut buffer).unwrap() {
            let (request, at) = (words[2].clone(), Instant::now());
            record.borrow_mut().arrivals.push(Arrival { request, server, at });
            sleep(Duration::from_millis(dice.within(WORK_MS.0, WORK_MS.1))).await;
            if stream.write_all(answer(&words[1]).as_bytes()).await.is_err() {
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
    match number % MISSES {
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
            sleep(ORIGIN_TIME).await;
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

/// The other nodes of a tier: they tell the node under test of their traffic.
pub struct OtherNodes(Vec<UdpSocket>);

impl OtherNodes {
    /// Opens their sockets.
    pub async fn open() -> Self {
        let mut sockets = Vec::new();
        for _ in 0..PEERS {
            sockets.push(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap());
        }
        OtherNodes(sockets)
    }

    /// Their addresses, behind that of the node under test and before those of nodes that are not played.
    pub fn addresses(&self, node: SocketAddr, nodes: usize) -> Vec<SocketAddr> {
        let played = self.0.iter().map(|socket| socket.local_addr().unwrap());
        let unplayed = (0..).map(|n: u32| (Ipv4Addr::from(0x7f28_0001 + n), 7946).into());
        [node].into_iter().chain(played).chain(unplayed).take(nodes).collect()
    }

    /// Tells the node of their traffic for good, each in its turn.
    pub async fn tell(self, node: SocketAddr, per_s: f32) {
        let half = |figure: f32| ((figure.to_bits() >> 16) as u16).to_le_bytes();
        let rates = [per_s / TENANTS as f32; TENANTS];
        let message: Vec<u8> = [0.0, per_s].into_iter().chain(rates).flat_map(half).collect();
        for turn in 0.. {
            for number in 0..PEERS_AT_ONCE {
                let peer = &self.0[(turn * PEERS_AT_ONCE + number) % PEERS];
                let _ = peer.send_to(&message, node).await;
            }
            sleep(BETWEEN_PEERS).await;
        }
    }
}
