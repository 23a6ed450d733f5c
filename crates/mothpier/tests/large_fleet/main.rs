//! One real node in front of thousands of simulated cache servers, limited to its share of a core: every
//! request gets an answer, drains are kept in time, and resource usage grows no more than allowed with the
//! size of the fleet.
#![allow(missing_docs)]

mod core_share;
mod simulated_fleet;
mod traffic;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mothpier_world::loopback::{self, Node};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use core_share::{CoreShare, cpu_time};
use simulated_fleet::{LargeFleet, PeerNodes, TENANTS};
use traffic::{Outcome, Traffic};

/// Number of nodes that share the cache servers.
const NODES: usize = 300;
/// Number of cache servers in a typical fleet and in the largest one.
const TYPICAL_SERVERS: usize = 200;
const MAX_SERVERS: usize = 3_200;
/// Mean request rate of a node, and that of a busy node.
const MEAN_REQUESTS_PER_S: f64 = 23.0;
const BUSY_REQUESTS_PER_S: f64 = 6.0 * MEAN_REQUESTS_PER_S;
/// Share of a core for one of the ten nodes that run on it.
const CORE_SHARE: f64 = 0.1;
/// A drain must be kept after the grace period of the settings plus 50 ms for the sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// No attempt may begin later than this after its client left.
const MAX_SEND_DELAY: Duration = Duration::from_millis(100);
/// Length of a run that measures resource usage, the shortest for which limits are stated.
const RUN_TIME: Duration = Duration::from_secs(20);
/// Smallest allowed ratio of the share served in the largest fleet to that in a typical one.
const MIN_SERVED_RATIO: f64 = 0.85;
/// Limit of file descriptors of a node, and the lower one for the test with fewer descriptors than servers.
const MAX_DESCRIPTORS: usize = 1_024;
const FEW_DESCRIPTORS: usize = 512;
const SEED: u64 = 50;

fn settings() -> String {
    let realms: Vec<String> =
        (0..TENANTS).map(|number| format!(r#"{{"name":"tenant-{number}","quotaPerS":2000}}"#)).collect();
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

/// Resources that a node used in a run.
#[derive(Clone, Copy, Debug)]
struct ResourceUsage {
    cpu_s: f64,
    memory_mb: f64,
    descriptors: f64,
    connections: f64,
}

impl ResourceUsage {
    /// Returns the most that a node may use with `servers` cache servers if it uses `self` with the typical
    /// number.
    fn allowed(self, servers: usize) -> ResourceUsage {
        let thousands = servers as f64 / 1_000.0;
        ResourceUsage {
            cpu_s: 1.4 * self.cpu_s + 0.02 + 0.03 * thousands,
            memory_mb: 1.5 * self.memory_mb + 8.0 + 4.0 * thousands,
            descriptors: 2.0 * self.descriptors + 40.0,
            connections: 2.5 * self.connections + 40.0,
        }
    }
}

/// A node of a tier in front of a simulated fleet.
struct TestCluster {
    fleet: LargeFleet,
    node: Node,
}

impl TestCluster {
    async fn start(name: &str, servers: usize, descriptors: usize) -> Self {
        let fleet = LargeFleet::start(servers).await;
        let peer_nodes = PeerNodes::start().await;
        let peer_address = loopback::unused_address();
        let peers: Vec<String> = peer_nodes
            .addresses(peer_address, NODES)
            .iter()
            .map(|address| format!("\"{address}\""))
            .collect();
        let config = format!(
            r#"{{"name":"{name}","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":{CORE_SHARE},"memory_mb":64,"sockets":{descriptors}}},"peer_listen":"{peer_address}","peers":[{}],
"settings":{}}}"#,
            fleet.discovery,
            peers.join(","),
            settings()
        );
        let command = loopback::node_command(name, fleet.discovery, descriptors, "");
        std::fs::write(loopback::config_path(name), config).unwrap();
        let node = tokio::task::spawn_blocking(move || Node::spawn(command)).await.unwrap();
        spawn_local(peer_nodes.send_loads(peer_address, MEAN_REQUESTS_PER_S as f32));
        while fleet.agent.asked.get().0 == 0 {
            sleep(Duration::from_millis(10)).await;
        }
        TestCluster { fleet, node }
    }

    /// Returns what the node has used so far.
    fn usage(&self) -> ResourceUsage {
        let proc_directory = format!("/proc/{}", self.node.child.id());
        let status = std::fs::read_to_string(format!("{proc_directory}/status")).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        let peak_kb: f64 = peak.split_whitespace().next().unwrap().parse().unwrap();
        ResourceUsage {
            cpu_s: cpu_time(self.node.child.id()).as_secs_f64(),
            memory_mb: peak_kb / 1024.0,
            descriptors: std::fs::read_dir(format!("{proc_directory}/fd")).unwrap().count() as f64,
            connections: self.fleet.record.borrow().connections as f64,
        }
    }

    /// Returns the commands that reached a server later than its drain allows.
    fn attempts_at_drained_servers(&self) -> Vec<String> {
        let record = self.fleet.record.borrow();
        let drained_at: HashMap<_, Instant> =
            record.drained_at.iter().map(|(address, drained_at)| (address.ip(), *drained_at)).collect();
        let late = record.arrivals.iter().filter_map(|arrival| {
            let since = arrival.at.checked_duration_since(*drained_at.get(&arrival.server.into())?)?;
            (since > DRAIN_GRACE)
                .then(|| format!("{} at {} {since:?} after", arrival.request_id, arrival.server))
        });
        late.collect()
    }

    /// Returns the commands that arrived too long after their request had ended without an answer.
    fn attempts_after_departure(&self, traffic: &Traffic) -> Vec<String> {
        let finished = traffic.finished.borrow();
        let lost_at: HashMap<&str, Instant> = finished
            .iter()
            .filter(|request| request.outcome == Outcome::Lost)
            .map(|request| (request.request_id.as_str(), request.at))
            .collect();
        let record = self.fleet.record.borrow();
        let late = record.arrivals.iter().filter_map(|arrival| {
            let since = arrival.at.checked_duration_since(*lost_at.get(arrival.request_id.as_str())?)?;
            (since > MAX_SEND_DELAY).then(|| format!("{} {since:?} after", arrival.request_id))
        });
        late.collect()
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(test));
}

/// A node with six times the mean traffic in front of the largest fleet, while servers drain, go away and the
/// server list is renumbered. Guards against work per server that takes so much CPU time that answers or
/// drains come late.
#[test]
fn busy_node_before_thousands_of_servers_answers_in_time_and_keeps_drains() {
    run(async {
        let cluster = TestCluster::start("large-fleet-busy", MAX_SERVERS, MAX_DESCRIPTORS).await;
        let node: SocketAddr = cluster.node.address;
        let traffic = spawn_local(Traffic::run(node, BUSY_REQUESTS_PER_S, Duration::from_secs(9), SEED));
        let _share = CoreShare::start(cluster.node.child.id(), CORE_SHARE);
        sleep(Duration::from_secs(4)).await;
        cluster.fleet.change_each(8, "draining");
        sleep(Duration::from_secs(2)).await;
        cluster.fleet.change_each(8, "gone");
        sleep(Duration::from_secs(1)).await;
        cluster.fleet.agent.renumber();
        let traffic = traffic.await.unwrap();
        let outcomes = [Outcome::Served, Outcome::Refused, Outcome::Failed, Outcome::Lost]
            .map(|outcome| (outcome, traffic.count(outcome)));
        let (attempts_at_drained_servers, attempts_after_departure) =
            (cluster.attempts_at_drained_servers(), cluster.attempts_after_departure(&traffic));
        println!("{outcomes:?}, {:?} of CPU time", cpu_time(cluster.node.child.id()));
        assert_eq!(traffic.count(Outcome::Lost), 0, "{outcomes:?}");
        assert!(
            attempts_at_drained_servers.is_empty(),
            "sent to drained servers: {attempts_at_drained_servers:?}"
        );
        assert!(
            attempts_after_departure.is_empty(),
            "sent after its client left: {attempts_after_departure:?}"
        );
        assert!(traffic.count(Outcome::Served) * 2 > traffic.finished.borrow().len(), "{outcomes:?}");
    });
}

/// Runs the mean traffic while one server in eight drains and goes away. Returns the resources that the node
/// used and the share of requests served.
async fn run_at_mean_rate(name: &str, servers: usize, descriptors: usize) -> (ResourceUsage, f64) {
    let cluster = TestCluster::start(name, servers, descriptors).await;
    let traffic = spawn_local(Traffic::run(cluster.node.address, MEAN_REQUESTS_PER_S, RUN_TIME, SEED));
    sleep(RUN_TIME / 2).await;
    cluster.fleet.change_each(8, "draining");
    sleep(RUN_TIME / 4).await;
    cluster.fleet.change_each(8, "gone");
    let traffic = traffic.await.unwrap();
    let served_share = traffic.count(Outcome::Served) as f64 / traffic.finished.borrow().len() as f64;
    (cluster.usage(), served_share)
}

/// Compares the same run with a typical and the largest fleet. Guards against CPU time, memory, descriptors
/// or connections that grow in proportion to the number of servers.
#[test]
fn resource_usage_grows_no_more_with_the_fleet_than_allowed() {
    run(async {
        let typical = spawn_local(run_at_mean_rate("large-fleet-usual", TYPICAL_SERVERS, MAX_DESCRIPTORS));
        let largest = spawn_local(run_at_mean_rate("large-fleet-largest", MAX_SERVERS, MAX_DESCRIPTORS));
        let ((typical, typical_served), (largest, largest_served)) =
            (typical.await.unwrap(), largest.await.unwrap());
        let allowed = typical.allowed(MAX_SERVERS);
        println!(
            "typical {typical:?}, largest {largest:?}, allowed {allowed:?}, served {typical_served}, {largest_served}"
        );
        assert!(largest.cpu_s <= allowed.cpu_s, "{largest:?} of {allowed:?}");
        assert!(largest.memory_mb <= allowed.memory_mb, "{largest:?} of {allowed:?}");
        assert!(largest.descriptors <= allowed.descriptors, "{largest:?} of {allowed:?}");
        assert!(largest.connections <= allowed.connections, "{largest:?} of {allowed:?}");
        assert!(largest_served >= MIN_SERVED_RATIO * typical_served, "{largest_served} of {typical_served}");
    });
}

/// With fewer descriptors than servers the node cannot keep a connection to each. Guards against connections
/// that are closed and reopened for every request, or requests refused for lack of one.
#[test]
fn node_with_more_servers_than_descriptors_goes_on_serving() {
    run(async {
        let typical =
            spawn_local(run_at_mean_rate("large-fleet-descriptors-usual", TYPICAL_SERVERS, FEW_DESCRIPTORS));
        let largest =
            spawn_local(run_at_mean_rate("large-fleet-descriptors-largest", MAX_SERVERS, FEW_DESCRIPTORS));
        let ((typical, typical_served), (largest, largest_served)) =
            (typical.await.unwrap(), largest.await.unwrap());
        println!("typical {typical:?}, largest {largest:?}, served {typical_served}, {largest_served}");
        assert!(largest_served >= MIN_SERVED_RATIO * typical_served, "{largest_served} of {typical_served}");
    });
}
