//! What the datagrams between nodes cost one real node that has many peers: those of the decision module, which go to a
//! few in turn, and those of the tier of slot-aware clients, which go to all.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use mothpier_net::{Net, Tokio};
use mothpier_slots::Tier;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::time::sleep;

use super::control::write;
use super::process::Running;
use super::{Measured, members};
use crate::agent::Agent;
use crate::demo;
use crate::fleet::Fleet;

/// Cache servers of the list: few, for they do not matter here.
const SERVERS: usize = 50;
/// Tenants whose rates peers are told.
const TENANTS: usize = 20;
/// Peers that send, evenly spread over the node's table of addresses.
const SENDERS: usize = 16;
/// Each node tells the tier so often.
const TELLS: Duration = Duration::from_millis(400);
/// Datagrams are sent in bursts so far apart.
const BURSTS: Duration = Duration::from_millis(5);
/// After its start a node is let settle.
const SETTLED: Duration = Duration::from_secs(3);
/// Headers of IPv4 and UDP.
const HEADERS: f64 = 28.0;

/// What is measured.
#[derive(Clone, Debug)]
pub struct Datagrams {
    /// The folder of the programs.
    pub programs: PathBuf,
    /// Nodes of the tier.
    pub nodes: usize,
    /// Whether slot-aware clients are served, for which each node tells all others that it runs.
    pub tier: bool,
    /// Seconds of each part.
    pub seconds: u64,
}

/// What has come from the node.
#[derive(Default)]
struct Heard {
    tier: AtomicU64,
    decisions: AtomicU64,
    bytes: AtomicU64,
}

/// Measures a node with so many peers.
///
/// # Errors
///
/// A program or an address that can't be used.
pub async fn measure(datagrams: &Datagrams) -> Result<Measured, String> {
    let sizes = [("nodes", datagrams.nodes as f64), ("tier", f64::from(u8::from(datagrams.tier)))];
    let mut measured = Measured::new(sizes);
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let listen = SocketAddr::from((Ipv4Addr::new(127, 9, 0, 1), demo::free(1)?[0].port()));
    let port = demo::free(1)?[0].port();
    let peers = peers(listen, port, datagrams.nodes);
    let heard = Arc::new(Heard::default());
    listen_for_all(port, heard.clone())?;
    let node = start(datagrams, folder.path(), &peers).await?;
    sleep(SETTLED).await;

    let counts = |heard: &Heard| {
        [&heard.tier, &heard.decisions, &heard.bytes].map(|count| count.load(Ordering::Relaxed) as f64)
    };
    let (began, before, used) = (Instant::now(), counts(&heard), node.used()?);
    sleep(Duration::from_secs(datagrams.seconds)).await;
    let (seconds, after, told) = (began.elapsed().as_secs_f64(), counts(&heard), node.used()?);
    let a_second = |i: usize| (after[i] - before[i]) / seconds;
    let out_s = (told.processor_s - used.processor_s) / seconds;
    measured.set("tier_datagrams_out_a_second", a_second(0));
    measured.set("decisions_datagrams_out_a_second", a_second(1));
    measured.set("bytes_out_a_second", a_second(2));
    measured.set("bytes_out_a_second_with_headers", a_second(2) + HEADERS * (a_second(0) + a_second(1)));
    measured.set("processor_percent_telling", out_s * 100.0);
    measured.set("memory_kb", told.memory_kb);
    measured.set("descriptors", told.descriptors);

    if datagrams.tier {
        let (began, used) = (Instant::now(), node.used()?);
        let sent = send(datagrams, listen, &peers).await?;
        let (seconds, heard) = (began.elapsed().as_secs_f64(), node.used()?);
        let in_s = (heard.processor_s - used.processor_s) / seconds - out_s;
        measured.set("tier_datagrams_in_a_second", sent / seconds);
        measured.set("processor_percent_hearing", in_s * 100.0);
        measured.set("heard_datagram_us", in_s * seconds * 1e6 / sent.max(1.0));
    }
    Ok(measured)
}

/// The addresses of all nodes, the measured one first.
fn peers(own: SocketAddr, port: u16, nodes: usize) -> Vec<SocketAddr> {
    let peer =
        |i: usize| SocketAddr::from((Ipv4Addr::new(127, 10, (i / 250) as u8, 1 + (i % 250) as u8), port));
    std::iter::once(own).chain((1..nodes).map(peer)).collect()
}

fn shared(at: SocketAddr) -> Result<UdpSocket, String> {
    let open = || -> std::io::Result<UdpSocket> {
        let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
        socket.set_reuse_address(true)?;
        socket.set_recv_buffer_size(8 << 20)?;
        socket.bind(&at.into())?;
        Ok(socket.into())
    };
    open().map_err(|e| format!("{at}: {e}"))
}

/// Counts what comes for any peer.
fn listen_for_all(port: u16, heard: Arc<Heard>) -> Result<(), String> {
    let socket = shared(SocketAddr::from((Ipv4Addr::UNSPECIFIED, port)))?;
    std::thread::spawn(move || {
        let mut buffer = [0; 2_048];
        while let Ok(length) = socket.recv(&mut buffer) {
            let kind = if Tier::is_message(&buffer[..length]) { &heard.tier } else { &heard.decisions };
            kind.fetch_add(1, Ordering::Relaxed);
            heard.bytes.fetch_add(length as u64, Ordering::Relaxed);
        }
    });
    Ok(())
}

/// Sends what all peers of the node would tell it of the tier, from a few of their addresses; gives how many went.
async fn send(datagrams: &Datagrams, to: SocketAddr, peers: &[SocketAddr]) -> Result<f64, String> {
    let mut senders = Vec::new();
    for i in 0..SENDERS.min(peers.len() - 1) {
        let me = 1 + i * (peers.len() - 1) / SENDERS;
        let tier = Tier::new(peers.to_vec(), me, true, Tokio.unix_time().as_millis() as u64);
        senders.push((shared(peers[me])?, tier.map_err(|e| e.to_string())?, Vec::new()));
    }
    let a_second = (peers.len() - 1) as f64 / TELLS.as_secs_f64();
    let (began, until) = (Instant::now(), Duration::from_secs(datagrams.seconds));
    let (mut sent, mut next) = (0.0, 0);
    while began.elapsed() < until {
        let due = began.elapsed().as_secs_f64() * a_second;
        while sent < due {
            let count = senders.len();
            let (socket, tier, message) = &mut senders[next % count];
            if let Some(new) = tier.tick(Tokio.unix_time().as_millis() as u64) {
                *message = new;
            }
            if socket.send_to(message, to).is_ok() {
                sent += 1.0;
            }
            next += 1;
        }
        sleep(BURSTS).await;
    }
    Ok(sent)
}

async fn start(datagrams: &Datagrams, folder: &Path, peers: &[SocketAddr]) -> Result<Running, String> {
    let agent = Agent::new(Tokio, Fleet::new(Rc::new(|_| {})), 0, &members(SERVERS));
    let list = agent.clone().serve(demo::any()).await.map_err(|e| e.to_string())?;
    let named: Vec<String> = peers.iter().map(|at| format!("{:?}", at.to_string())).collect();
    let file = folder.join("node.json");
    let text = format!(
        r#"{{"name":"node-0001","listen":"127.0.0.1:0","discovery":"{list}","seed":"1","peer_listen":"{}","peers":[{}],
"limits":{{"memory_mb":192,"sockets":4096}},"settings":{}}}"#,
        peers[0],
        named.join(","),
        super::settings(peers.len() as u32, TENANTS, true, false)
    );
    write(&file, &text)?;
    let mut command = Command::new(datagrams.programs.join("mothpier"));
    command.env("ROUTER_CONFIG", &file);
    if datagrams.tier {
        let told = folder.join("cluster.json");
        write(&told, &format!(r#"{{"nodes":[{}]}}"#, named.join(",")))?;
        command.env("MOTHPIER_CLUSTER", &told);
    }
    let log = folder.join("node.log");
    let node = Running::start(&mut command, &log)?;
    let began = Instant::now();
    while agent.asked.get().0 == 0 {
        if began.elapsed() > Duration::from_secs(30) {
            let said = std::fs::read_to_string(&log).unwrap_or_default();
            return Err(format!("the node does not come up: {said}"));
        }
        sleep(Duration::from_millis(50)).await;
    }
    Ok(node)
}
