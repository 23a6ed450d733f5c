//! A process that uses all its file descriptors, or may open no more.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use mothpier_world::loopback::*;
use mothpier_world::outages::{FlakyDiscovery, Outage};
use rustix::process::{Pid, Resource, Rlimit, prlimit};

/// Descriptor limit of the node under test.
const DESCRIPTOR_LIMIT: usize = 64;
/// More clients than the node can admit.
const CLIENTS: usize = 60;
/// Time within which the node calls a discovery service that is reachable again: it tries ten times a second,
/// and a busy machine needs more.
const RECONNECT_LIMIT: Duration = Duration::from_millis(1000);
/// Time after which a drained server gets nothing new: the grace in the settings, and 50 ms for the sockets.
const GRACE: Duration = Duration::from_millis(550);

fn open_descriptors(node: &Node) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count()
}

/// Starts a node whose process may open `allowed` descriptors and whose configuration says `configured`, and
/// waits until it is ready.
fn start(name: &str, discovery: SocketAddr, configured: usize, allowed: usize) -> Node {
    let node = Node::spawn(node_command(name, discovery, configured, &format!("ulimit -n {allowed};")));
    let started_at = Instant::now();
    while node.client().ask(&["PING"]) != "+PONG" {
        assert!(started_at.elapsed() < HUNG, "{name}: not ready");
        thread::sleep(Duration::from_millis(20));
    }
    node
}

/// Starts clients that each hold a connection: idle ones, or with `sends_requests` ones that wait for an
/// answer that never comes. A client whose connection the node closes does not reconnect.
fn hold_connections(at: SocketAddr, count: usize, sends_requests: bool) {
    for _ in 0..count {
        thread::spawn(move || {
            let mut client = Client::connect(at);
            if sends_requests {
                return send_unanswered_requests(&mut client);
            }
            while client.try_send(&["PING"]) && client.answer() == "+PONG" {
                thread::sleep(Duration::from_millis(500));
            }
        });
    }
    thread::sleep(Duration::from_secs(1));
}

/// Sends requests that nobody answers, a new one after each refusal.
fn send_unanswered_requests(client: &mut Client) {
    static REQUESTS_SENT: AtomicUsize = AtomicUsize::new(0);
    loop {
        let id = format!("w{}", REQUESTS_SENT.fetch_add(1, Ordering::Relaxed));
        let sent = client.try_send(&["CACHE.SET", &id, &id, "c=once,t=acme,d=19000", "v"]);
        if !sent || client.answer() == "end" {
            return;
        }
    }
}

/// Sends requests for many keys, with some always open, until it is stopped. On a busy machine the node may
/// close the connection as idle before the first request: the client then reconnects.
fn send_continuously(at: SocketAddr, stopped: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    const MAX_OPEN: usize = 24;
    thread::spawn(move || {
        let (mut client, mut open) = (Client::connect(at), 0);
        for number in 0.. {
            let (key, id) = (format!("k{}", number % 200), format!("i{number}"));
            let sent = client.try_send(&["CACHE.GET", &key, &id, "c=brief,t=acme,d=400"]);
            open += 1;
            if !sent || (open > MAX_OPEN && client.answer() == "end") {
                (client, open) = (Client::connect(at), 0);
            }
            if stopped.load(Ordering::Relaxed) {
                return;
            }
        }
    })
}

/// Starts a cache server that answers, and returns the times at which commands arrived.
fn answering_server() -> (SocketAddr, Arc<Mutex<Vec<Instant>>>) {
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let recorded_arrivals = arrivals.clone();
    let server = serve(command, move |_| {
        recorded_arrivals.lock().unwrap().push(Instant::now());
        array("v")
    });
    (server, arrivals)
}

/// Idle clients and servers that never answer hold every descriptor while discovery is down. When discovery
/// returns with a drain, the node must have a descriptor left to connect to it in time, and send nothing new
/// to the drained server after the grace. The second case is a process that may open fewer descriptors than
/// its configuration says.
#[test]
fn clients_that_use_every_descriptor_do_not_block_discovery() {
    let cases = [("idle-told", DESCRIPTOR_LIMIT, 256), ("idle-allowed", 1024, DESCRIPTOR_LIMIT)];
    let tests = cases.map(|(name, configured, allowed)| {
        thread::spawn(move || discovery_returns_at_the_limit(name, configured, allowed))
    });
    for test in tests {
        test.join().unwrap();
    }
}

fn discovery_returns_at_the_limit(name: &str, configured: usize, allowed: usize) {
    let (drained, arrivals) = answering_server();
    let hung: Vec<SocketAddr> = (0..24).map(|_| serve(command, |_| Reaction::Silence)).collect();
    let origin = serve(call, |_| Reaction::Silence);
    let members = |phase: &str| {
        let mut lines = vec![member("s-0", drained, "m", phase), member("o-1", origin, "origin", "ready")];
        let hung = hung.iter().enumerate();
        lines.extend(hung.map(|(n, at)| member(&format!("s-{}", n + 1), *at, "m", "ready")));
        lines.join(",")
    };
    let discovery = FlakyDiscovery::start(&members("ready"));
    let node = start(name, discovery.address, configured, allowed);
    let stopped = Arc::new(AtomicBool::new(false));
    let traffic = send_continuously(node.address, stopped.clone());
    hold_connections(node.address, CLIENTS, false);
    hold_connections(node.address, CLIENTS, true);
    discovery.goes_down(Outage::Refused);
    // From now on other connections could take the descriptor that discovery's connection has freed.
    hold_connections(node.address, CLIENTS, true);
    let open_count = open_descriptors(&node);
    eprintln!("{name}: {open_count} of {DESCRIPTOR_LIMIT} descriptors are open while discovery is down");
    discovery.has(&members("draining"));
    discovery.comes_back();
    let reachable_at = discovery.had_and_reachable();
    thread::sleep(Duration::from_secs(3));
    let called_at = discovery.first_call_after(reachable_at);
    let called_at = called_at
        .unwrap_or_else(|| panic!("{name}: {open_count} descriptors open, and none left for discovery"));
    assert!(
        called_at - reachable_at < RECONNECT_LIMIT,
        "{name}: discovery called {:?} after its return",
        called_at - reachable_at
    );
    let list_sent_at = discovery.told().expect("the list with the drain was not sent");
    let arrivals = arrivals.lock().unwrap();
    assert!(
        arrivals.iter().any(|at| *at > list_sent_at - Duration::from_secs(3)),
        "{name}: no command reached the server before the drain"
    );
    let late = arrivals.iter().filter(|at| **at > list_sent_at + GRACE).count();
    assert_eq!(late, 0, "{name}: commands reached the drained server after the grace");
    // All descriptors were in use except the reserved ones.
    assert!(
        (DESCRIPTOR_LIMIT - 24..=DESCRIPTOR_LIMIT - 6).contains(&open_count),
        "{name}: {open_count} of {DESCRIPTOR_LIMIT} descriptors were open"
    );
    stopped.store(true, Ordering::Relaxed);
    traffic.join().unwrap();
}

/// Returns the processor time that a process has used.
fn processor_time(node: &Node) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.child.id())).unwrap();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    Duration::from_millis(ticks * 10)
}

/// The descriptor limit falls to zero at run time, so that accepting fails in spite of the reserve. The node
/// must not retry in a busy loop, must log the failure once, and must accept the waiting client once it may
/// open descriptors again.
#[test]
fn a_process_out_of_descriptors_neither_spins_nor_ends() {
    let discovery = FlakyDiscovery::start("");
    let mut node = start("emfile", discovery.address, 256, 256);
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
    let pid = Pid::from_child(&node.child);
    let allow = |descriptors: u64| {
        let limit = Rlimit { current: Some(descriptors), maximum: Some(256) };
        prlimit(Some(pid), Resource::Nofile, limit).unwrap();
    };
    allow(0);
    let mut waiting = node.client();
    waiting.send(&["PING"]);
    node.logged("accepting failed");
    let processor_time_used = processor_time(&node);
    thread::sleep(Duration::from_secs(1));
    let processor_time_used = processor_time(&node) - processor_time_used;
    assert!(processor_time_used < Duration::from_millis(300), "{processor_time_used:?} of a second");
    assert!(!waiting.answered_already());
    allow(256);
    assert_eq!(waiting.answer(), "+PONG");
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
    assert!(node.child.try_wait().unwrap().is_none());
    assert_eq!(node.log_count("accepting failed"), 0, "the failure was logged more than once");
}

/// Descriptors run out during the shutdown: a client in the accept queue that has sent its request must still
/// be accepted and answered once descriptors are free.
#[test]
fn a_client_waiting_without_free_descriptors_at_shutdown_is_accepted() {
    let discovery = FlakyDiscovery::start("");
    let mut node = start("emfile-end", discovery.address, 256, 256);
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
    let pid = Pid::from_child(&node.child);
    let allow = |descriptors: u64| {
        let limit = Rlimit { current: Some(descriptors), maximum: Some(256) };
        prlimit(Some(pid), Resource::Nofile, limit).unwrap();
    };
    allow(0);
    let mut waiting = node.client();
    waiting.send(&["PING"]);
    node.signal("TERM");
    node.logged("stopping");
    // Longer than the node accepts new clients.
    thread::sleep(Duration::from_millis(1000));
    allow(256);
    assert_eq!(waiting.answer(), "+PONG");
    assert!(node.ended().success());
}
