//! A wrong wall clock must not change slow start, whether the clock is wrong when the node starts or steps
//! while the node runs: a cache server that has just started gets the same share of the attempts as with the
//! right time, and is warm as soon.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mothpier_fault_control::{FaultControl, Setting};
use mothpier_world::loopback::*;

const SERVERS: usize = 4;
const CLIENTS: usize = 8;
const REQUEST_INTERVAL: Duration = Duration::from_millis(4);
/// How far a share may differ from the expected one.
const SHARE_TOLERANCE: f64 = 0.05;
/// Share of each of four warm servers.
const WARM_SHARE: f64 = 0.25;
const SECOND_MICROS: i64 = 1_000_000;
const HOUR_MICROS: i64 = 3_600 * SECOND_MICROS;

/// Length of slow start in seconds; a share is measured over a fifth of it.
fn slow_start_seconds() -> u64 {
    std::env::var("COLD_SECONDS").ok().and_then(|n| n.parse().ok()).unwrap_or(5)
}

fn wall_ms(offset_micros: i64) -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64 + offset_micros / 1000
}

/// A node in front of four cache servers that count their requests.
struct TestCluster {
    node: Node,
    control: FaultControl,
    discovery: Discovery,
    servers: Vec<SocketAddr>,
    counts: Arc<Vec<AtomicUsize>>,
}

impl TestCluster {
    /// Starts a node whose wall clock has the given offset. `started_ms` is the start time of the last
    /// server, 0 for long ago.
    fn start(name: &str, offset_micros: i64, started_ms: i64) -> Self {
        let counts: Arc<Vec<AtomicUsize>> = Arc::new((0..SERVERS).map(|_| AtomicUsize::new(0)).collect());
        let server = |number: usize| {
            let counts = counts.clone();
            serve(command, move |request| {
                counts[number].fetch_add(1, Ordering::Relaxed);
                array(&request[2])
            })
        };
        let servers: Vec<SocketAddr> = (0..SERVERS).map(server).collect();
        let discovery = Discovery::start(&server_list(&servers, started_ms));
        let (control, environment) = faults(name);
        control.set(Setting::WallOffsetMicros, offset_micros).unwrap();
        let mut command = node_command(name, discovery.address, 1024, "");
        let slow_start = format!(r#""coldShare":0.1,"coldUs":{}"#, slow_start_seconds() * 1_000_000);
        let settings = config(name, discovery.address, 1024)
            .replace(r#""coldUs":10000000"#, &slow_start)
            .replace(r#""quotaPerS":1000"#, r#""quotaPerS":100000"#);
        std::fs::write(config_path(name), settings).unwrap();
        command.envs(environment);
        let node = Node::run(command, &discovery);
        TestCluster { node, control, discovery, servers, counts }
    }

    /// Measures the share of the attempts that goes to the last server.
    fn last_server_share(&self) -> f64 {
        let end = Instant::now() + Duration::from_secs(slow_start_seconds()) / 5;
        let before: Vec<usize> = self.counts.iter().map(|count| count.load(Ordering::Relaxed)).collect();
        let node = self.node.address;
        thread::scope(|scope| {
            for _ in 0..CLIENTS {
                scope.spawn(move || send_requests(node, end));
            }
        });
        let sent: Vec<usize> = self
            .counts
            .iter()
            .zip(before)
            .map(|(count, before)| count.load(Ordering::Relaxed) - before)
            .collect();
        sent[SERVERS - 1] as f64 / sent.iter().sum::<usize>() as f64
    }

    /// Publishes a restart of the last server, with its start time by a clock of the given offset.
    fn restart(&self, offset_micros: i64) {
        self.discovery.change(2, &server_list(&self.servers, wall_ms(offset_micros)));
        self.discovery.watched_after(2);
    }
}

fn server_list(servers: &[SocketAddr], last_started_ms: i64) -> String {
    let server_entry = |(number, address): (usize, &SocketAddr)| {
        let entry = member(&format!("s-{number}"), *address, "m", "ready");
        let started = if number == SERVERS - 1 { last_started_ms } else { 0 };
        entry.replace(r#""up_since_ms":0"#, &format!(r#""up_since_ms":{started}"#))
    };
    servers.iter().enumerate().map(server_entry).collect::<Vec<_>>().join(",")
}

fn send_requests(node: SocketAddr, end: Instant) {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let mut client = Client::connect(node);
    while Instant::now() < end {
        let id = format!("r{}", NUMBER.fetch_add(1, Ordering::Relaxed));
        let answer = client.ask(&["CACHE.GET", &format!("key-{id}"), &id, "c=read,t=acme,d=3000"]);
        assert!(answer == format!("${id}") || answer.starts_with("-BUSY"), "{id} was answered {answer}");
        thread::sleep(REQUEST_INTERVAL);
    }
}

/// Measures the last server's share at once and again when slow start is over.
fn initial_and_warm_shares(cluster: &TestCluster) -> (f64, f64) {
    let started = Instant::now();
    let initial_share = cluster.last_server_share();
    let warm_after = Duration::from_secs(slow_start_seconds()) * 11 / 10;
    thread::sleep(warm_after.saturating_sub(started.elapsed()));
    (initial_share, cluster.last_server_share())
}

/// Runs the cases in parallel, the first without an offset, and fails if others differ from it.
fn compare_cases(cases: &[(&str, i64)], run_case: impl Fn(&str, i64) -> (f64, f64) + Sync) {
    let results: Vec<(f64, f64)> = thread::scope(|scope| {
        let run_case = &run_case;
        let threads: Vec<_> =
            cases.iter().map(|(name, offset)| scope.spawn(move || run_case(name, *offset))).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    let mut different = Vec::new();
    for ((name, _), (initial_share, warm_share)) in cases.iter().zip(&results) {
        println!("{name}: share at once {initial_share:.3}, when warm {warm_share:.3}");
        if (initial_share - results[0].0).abs() > SHARE_TOLERANCE
            || (warm_share - WARM_SHARE).abs() > SHARE_TOLERANCE
        {
            different.push(*name);
        }
    }
    assert!(different.is_empty(), "slow start differs with the wall clock: {different:?}");
    assert!(
        results[0].0 < WARM_SHARE - 2.0 * SHARE_TOLERANCE,
        "the case without an offset shows no slow start"
    );
}

/// Guards against a slow start that is skipped or prolonged because the server's start time is compared with
/// a wall clock that is ahead or behind when the node starts.
#[test]
fn a_wrong_wall_clock_at_the_start_changes_no_slow_start() {
    let cases = [
        ("wall-right", 0),
        ("wall-30s-ahead", 30 * SECOND_MICROS),
        ("wall-hour-ahead", HOUR_MICROS),
        ("wall-30s-behind", -30 * SECOND_MICROS),
        ("wall-hour-behind", -HOUR_MICROS),
    ];
    compare_cases(&cases, |name, offset| {
        initial_and_warm_shares(&TestCluster::start(name, offset, wall_ms(0)))
    });
}

/// Guards against the same when the wall clock steps by an hour while the node runs and the server then
/// restarts.
#[test]
fn a_wall_clock_stepped_while_the_node_runs_changes_no_slow_start() {
    let cases = [("step-none", 0), ("step-hour-ahead", HOUR_MICROS), ("step-hour-back", -HOUR_MICROS)];
    compare_cases(&cases, |name, offset| {
        // The server started an hour and a half ago by the right time.
        let cluster = TestCluster::start(name, 0, wall_ms(-HOUR_MICROS * 3 / 2));
        cluster.last_server_share();
        cluster.control.set(Setting::WallOffsetMicros, offset).unwrap();
        cluster.restart(offset);
        initial_and_warm_shares(&cluster)
    });
}
