//! One real node before thousands of cache servers, with the share of a core that it has: no request without its answer, no
//! drain late, and no more of anything than the fleet's size may cost.
#![allow(missing_docs)]

mod core_share;
mod stand_ins;
mod traffic;

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use mothpier_world::loopback::{self, Node};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use core_share::{CoreShare, processor_time};
use stand_ins::{LargeFleet, OtherNodes, TENANTS};
use traffic::{End, Traffic};

/// Nodes that share the cache servers.
const NODES: usize = 300;
/// Cache servers of a fleet of the usual size, and of the largest.
const USUAL: usize = 200;
const LARGEST: usize = 3_200;
/// Requests a second at a node: the mean, and several times that at a busy one.
const MEAN_PER_S: f64 = 23.0;
const BUSY_PER_S: f64 = 6.0 * MEAN_PER_S;
/// Of a core that ten nodes share.
const CORE_SHARE: f64 = 0.1;
/// A drain is kept after the settings' grace, and the 50 ms that sockets have.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// An attempt that begins later than this after its client left is a break.
const LEFT: Duration = Duration::from_millis(100);
/// The shortest day for which a node's needs are stated.
const DAY: Duration = Duration::from_secs(20);
/// Of the share served at the usual size.
const SERVED_SHARE: f64 = 0.85;
/// File descriptors that a node may hold: the most of a day, and what some days leave.
const DESCRIPTORS: usize = 1_024;
const FEW_DESCRIPTORS: usize = 512;
const SEED: u64 = 50;

fn settings() -> String {
    let realms: Vec<String> =
        (0..TENANTS).map(|n| format!(r#"{{"name":"tenant-{n}","quotaPerS":2000}}"#)).collect();
    format!(
        r#"{{"balancers":{NODES},"me":0,"classes":[
{{"name":"read","deadlineUs":1000000,"goalTimeUs":470000,"gain":2.0,"effect":"pure"}},
{{"name":"put","deadlineUs":1000000,"goalTimeUs":190000,"gain":8.0,"effect":"side_effect"}}],
"realms":[{}],"discovery":"push","zones":["a"],"machineTypes":["cache","origin"],
"specifics":{{"mode":"aside","originKind":1}},"report":{{"fields":["lat_ms","busy"]}},
"limits":{{"maxAttempts":3,"mayDuplicate":true,"mayCancel":true,"multiplex":32,"idleCloseUs":60000000,
"connectTimeoutUs":120000,"maxOpen":20000,"maxRetryAfterUs":600000,"peers":true}},
"guarantees":{{"coldShare":0.12,"coldUs":21000000,"drainGraceUs":500000,"fallMultiple":3.0,"tipAfterUs":2000000}},
"periodUs":1000}}"#,
        realms.join(",")
    )
}

/// What a node needs for a day.
#[derive(Clone, Copy, Debug)]
struct Needs {
    processor_s: f64,
    memory_mb: f64,
    descriptors: f64,
    connections: f64,
}

impl Needs {
    /// The most that a node may need before so many cache servers, where it needs this before the usual number.
    fn allowed(self, servers: usize) -> Needs {
        let thousands = servers as f64 / 1_000.0;
        Needs {
            processor_s: 1.4 * self.processor_s + 0.02 + 0.03 * thousands,
            memory_mb: 1.5 * self.memory_mb + 8.0 + 4.0 * thousands,
            descriptors: 2.0 * self.descriptors + 40.0,
            connections: 2.5 * self.connections + 40.0,
        }
    }
}

/// A node of a tier before a fleet.
struct World {
    fleet: LargeFleet,
    node: Node,
}

impl World {
    async fn start(name: &str, servers: usize, descriptors: usize) -> Self {
        let fleet = LargeFleet::open(servers).await;
        let others = OtherNodes::open().await;
        let free = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let listen = free.local_addr().unwrap();
        drop(free);
        let peers: Vec<String> =
            others.addresses(listen, NODES).iter().map(|at| format!("\"{at}\"")).collect();
        let config = format!(
            r#"{{"name":"{name}","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":{CORE_SHARE},"memory_mb":64,"sockets":{descriptors}}},"peer_listen":"{listen}","peers":[{}],
"settings":{}}}"#,
            fleet.discovery,
            peers.join(","),
            settings()
        );
        let command = loopback::node_command(name, fleet.discovery, descriptors, "");
        std::fs::write(loopback::config_path(name), config).unwrap();
        let node = tokio::task::spawn_blocking(move || Node::spawn(command)).await.unwrap();
        spawn_local(others.tell(listen, MEAN_PER_S as f32));
        while fleet.agent.asked.get().0 == 0 {
            sleep(Duration::from_millis(10)).await;
        }
        World { fleet, node }
    }

    /// What the node has used and made so far.
    fn needs(&self) -> Needs {
        let folder = format!("/proc/{}", self.node.child.id());
        let status = std::fs::read_to_string(format!("{folder}/status")).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        let peak_kb: f64 = peak.split_whitespace().next().unwrap().parse().unwrap();
        Needs {
            processor_s: processor_time(self.node.child.id()).as_secs_f64(),
            memory_mb: peak_kb / 1024.0,
            descriptors: std::fs::read_dir(format!("{folder}/fd")).unwrap().count() as f64,
            connections: self.fleet.record.borrow().connections as f64,
        }
    }

    /// Commands that reached a server later than its drain allows.
    fn late_at_drained(&self) -> Vec<String> {
        let record = self.fleet.record.borrow();
        let told: HashMap<_, Instant> = record.told.iter().map(|(at, told)| (at.ip(), *told)).collect();
        let late = record.arrivals.iter().filter_map(|arrival| {
            let since = arrival.at.checked_duration_since(*told.get(&arrival.server.into())?)?;
            (since > DRAIN_GRACE)
                .then(|| format!("{} at {} {since:?} after", arrival.request, arrival.server))
        });
        late.collect()
    }

    /// Commands that began too long after their request had ended without an answer.
    fn sent_after_leaving(&self, traffic: &Traffic) -> Vec<String> {
        let ended = traffic.ended.borrow();
        let left: HashMap<&str, Instant> =
            ended.iter().filter(|e| e.end == End::Lost).map(|e| (e.request.as_str(), e.at)).collect();
        let record = self.fleet.record.borrow();
        let late = record.arrivals.iter().filter_map(|arrival| {
            let since = arrival.at.checked_duration_since(*left.get(arrival.request.as_str())?)?;
            (since > LEFT).then(|| format!("{} {since:?} after", arrival.request))
        });
        late.collect()
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(test));
}

#[test]
fn busy_node_before_thousands_of_servers_answers_in_time_and_keeps_drains() {
    run(async {
        let world = World::start("large-fleet-busy", LARGEST, DESCRIPTORS).await;
        let node: SocketAddr = world.node.address;
        let traffic = spawn_local(Traffic::ask(node, BUSY_PER_S, Duration::from_secs(9), SEED));
        let _share = CoreShare::hold(world.node.child.id(), CORE_SHARE);
        sleep(Duration::from_secs(4)).await;
        world.fleet.change_each(8, "draining");
        sleep(Duration::from_secs(2)).await;
        world.fleet.change_each(8, "gone");
        sleep(Duration::from_secs(1)).await;
        world.fleet.agent.renumber();
        let traffic = traffic.await.unwrap();
        let ends = [End::Served, End::Refused, End::Failed, End::Lost].map(|end| (end, traffic.count(end)));
        let (late, left) = (world.late_at_drained(), world.sent_after_leaving(&traffic));
        println!("{ends:?}, {:?} of processor time", processor_time(world.node.child.id()));
        assert_eq!(traffic.count(End::Lost), 0, "{ends:?}");
        assert!(late.is_empty(), "sent to drained servers: {late:?}");
        assert!(left.is_empty(), "sent after its client left: {left:?}");
        assert!(traffic.count(End::Served) * 2 > traffic.ended.borrow().len(), "{ends:?}");
    });
}

/// Plays a day with the mean traffic and a change of one server of eight; gives what the node needed and the share served.
async fn calm_day(name: &str, servers: usize, descriptors: usize) -> (Needs, f64) {
    let world = World::start(name, servers, descriptors).await;
    let traffic = spawn_local(Traffic::ask(world.node.address, MEAN_PER_S, DAY, SEED));
    sleep(DAY / 2).await;
    world.fleet.change_each(8, "draining");
    sleep(DAY / 4).await;
    world.fleet.change_each(8, "gone");
    let traffic = traffic.await.unwrap();
    let served = traffic.count(End::Served) as f64 / traffic.ended.borrow().len() as f64;
    (world.needs(), served)
}

#[test]
fn needs_of_a_node_grow_no_more_with_the_fleet_than_allowed() {
    run(async {
        let usual = spawn_local(calm_day("large-fleet-usual", USUAL, DESCRIPTORS));
        let largest = spawn_local(calm_day("large-fleet-largest", LARGEST, DESCRIPTORS));
        let ((usual, usual_served), (largest, served)) = (usual.await.unwrap(), largest.await.unwrap());
        let allowed = usual.allowed(LARGEST);
        println!(
            "usual {usual:?}, largest {largest:?}, allowed {allowed:?}, served {usual_served}, {served}"
        );
        assert!(largest.processor_s <= allowed.processor_s, "{largest:?} of {allowed:?}");
        assert!(largest.memory_mb <= allowed.memory_mb, "{largest:?} of {allowed:?}");
        assert!(largest.descriptors <= allowed.descriptors, "{largest:?} of {allowed:?}");
        assert!(largest.connections <= allowed.connections, "{largest:?} of {allowed:?}");
        assert!(served >= SERVED_SHARE * usual_served, "{served} of {usual_served}");
    });
}

#[test]
fn node_with_more_servers_than_descriptors_goes_on_serving() {
    run(async {
        let usual = spawn_local(calm_day("large-fleet-descriptors-usual", USUAL, FEW_DESCRIPTORS));
        let largest = spawn_local(calm_day("large-fleet-descriptors-largest", LARGEST, FEW_DESCRIPTORS));
        let ((usual, usual_served), (largest, served)) = (usual.await.unwrap(), largest.await.unwrap());
        println!("usual {usual:?}, largest {largest:?}, served {usual_served}, {served}");
        assert!(served >= SERVED_SHARE * usual_served, "{served} of {usual_served}");
    });
}
