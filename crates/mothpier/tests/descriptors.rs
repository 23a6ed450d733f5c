//! A process whose descriptors are full, or run out.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use mothpier_world::loopback::*;
use mothpier_world::outages::{FlakyDiscovery, Outage};
use rustix::process::{Pid, Resource, Rlimit, prlimit};

/// Descriptors of the node under test.
const LIMIT: usize = 64;
/// More clients than it has places for.
const CLIENTS: usize = 60;
/// An agent that is back is asked within this time: ten times a second, and the machine is busy.
const FOUND_AGAIN: Duration = Duration::from_millis(1000);
/// A drain is kept after the settings' grace, and the 50 ms that sockets have.
const GRACE: Duration = Duration::from_millis(550);

fn open_descriptors(node: &Node) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count()
}

/// Starts a node whose process may open `allowed` descriptors, by a configuration of `told`, and waits until it is ready.
fn start(name: &str, discovery: SocketAddr, told: usize, allowed: usize) -> Node {
    let node = Node::spawn(node_command(name, discovery, told, &format!("ulimit -n {allowed};")));
    let since = Instant::now();
    while node.client().ask(&["PING"]) != "+PONG" {
        assert!(since.elapsed() < HUNG, "{name}: not ready");
        thread::sleep(Duration::from_millis(20));
    }
    node
}

/// A client that takes a place: it stays idle, or waits for an answer that does not come. One that the node closes does not
/// come again.
fn take_places(at: SocketAddr, count: usize, asks: bool) {
    for _ in 0..count {
        thread::spawn(move || {
            let mut client = Client::connect(at);
            if asks {
                return wait_again_and_again(&mut client);
            }
            while client.try_send(&["PING"]) && client.answer() == "+PONG" {
                thread::sleep(Duration::from_millis(500));
            }
        });
    }
    thread::sleep(Duration::from_secs(1));
}

/// Asks for what nobody answers, and anew once it is refused.
fn wait_again_and_again(client: &mut Client) {
    static ASKED: AtomicUsize = AtomicUsize::new(0);
    loop {
        let id = format!("w{}", ASKED.fetch_add(1, Ordering::Relaxed));
        let sent = client.try_send(&["CACHE.SET", &id, &id, "c=once,t=acme,d=19000", "v"]);
        if !sent || client.answer() == "end" {
            return;
        }
    }
}

/// Goes on asking for many keys, with some commands always out, until it is told to stop. On a busy machine it may be taken
/// for idle before it has asked: it comes again.
fn keep_asking(at: SocketAddr, ended: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    const AHEAD: usize = 24;
    thread::spawn(move || {
        let (mut client, mut out) = (Client::connect(at), 0);
        for number in 0.. {
            let (key, id) = (format!("k{}", number % 200), format!("i{number}"));
            let sent = client.try_send(&["CACHE.GET", &key, &id, "c=brief,t=acme,d=400"]);
            out += 1;
            if !sent || (out > AHEAD && client.answer() == "end") {
                (client, out) = (Client::connect(at), 0);
            }
            if ended.load(Ordering::Relaxed) {
                return;
            }
        }
    })
}

/// A cache server that answers, and when each command came.
fn answering() -> (SocketAddr, Arc<Mutex<Vec<Instant>>>) {
    let came: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let record = came.clone();
    let server = serve(command, move |_| {
        record.lock().unwrap().push(Instant::now());
        array("v")
    });
    (server, came)
}

/// Clients hold every place and stay idle, servers that never answer hold theirs, discovery is down. When it returns with
/// a drain its connection is made within its time, and nothing new goes to the drained server after the grace. Also where
/// the machine allows the process fewer descriptors than its configuration says.
#[test]
fn idle_clients_that_fill_every_place_do_not_keep_the_list_out() {
    let cases = [("idle-told", LIMIT, 256), ("idle-allowed", 1024, LIMIT)];
    let tests = cases.map(|(name, told, allowed)| thread::spawn(move || full_of_idle(name, told, allowed)));
    for test in tests {
        test.join().unwrap();
    }
}

fn full_of_idle(name: &str, told: usize, allowed: usize) {
    let (drained, came) = answering();
    let hung: Vec<SocketAddr> = (0..24).map(|_| serve(command, |_| Reaction::Silence)).collect();
    let origin = serve(call, |_| Reaction::Silence);
    let members = |phase: &str| {
        let mut lines = vec![member("s-0", drained, "m", phase), member("o-1", origin, "origin", "ready")];
        let hung = hung.iter().enumerate();
        lines.extend(hung.map(|(n, at)| member(&format!("s-{}", n + 1), *at, "m", "ready")));
        lines.join(",")
    };
    let discovery = FlakyDiscovery::start(&members("ready"));
    let node = start(name, discovery.address, told, allowed);
    let ended = Arc::new(AtomicBool::new(false));
    let asking = keep_asking(node.address, ended.clone());
    take_places(node.address, CLIENTS, false);
    take_places(node.address, CLIENTS, true);
    discovery.goes_down(Outage::Refused);
    // What discovery's connection took could be taken by others from now on.
    take_places(node.address, CLIENTS, true);
    let full = open_descriptors(&node);
    eprintln!("{name}: {full} of {LIMIT} descriptors are open while discovery is down");
    discovery.has(&members("draining"));
    discovery.comes_back();
    let back = discovery.had_and_reachable();
    thread::sleep(Duration::from_secs(3));
    let called = discovery.first_call_after(back);
    let called = called.unwrap_or_else(|| panic!("{name}: {full} descriptors, and none for discovery"));
    assert!(called - back < FOUND_AGAIN, "{name}: asked {:?} after its return", called - back);
    let told = discovery.told().expect("not told");
    let came = came.lock().unwrap();
    assert!(came.iter().any(|at| *at > told - Duration::from_secs(3)), "{name}: nothing went there before");
    let late = came.iter().filter(|at| **at > told + GRACE).count();
    assert_eq!(late, 0, "{name}: commands at the drained server after the grace");
    // All places were taken, but for those that are set aside.
    assert!((LIMIT - 24..=LIMIT - 6).contains(&full), "{name}: {full} of {LIMIT} descriptors were open");
    ended.store(true, Ordering::Relaxed);
    asking.join().unwrap();
}

/// Processor time that a process has used.
fn processor_time(node: &Node) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.child.id())).unwrap();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    Duration::from_millis(ticks * 10)
}

/// No descriptor is left to accept with, whatever was set aside: the node waits without spinning, says so once, and lets
/// in who waits once there is one.
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
    let used = processor_time(&node);
    thread::sleep(Duration::from_secs(1));
    let used = processor_time(&node) - used;
    assert!(used < Duration::from_millis(300), "{used:?} of a second");
    assert!(!waiting.answered_already());
    allow(256);
    assert_eq!(waiting.answer(), "+PONG");
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
    assert!(node.child.try_wait().unwrap().is_none());
    assert_eq!(node.log_count("accepting failed"), 0, "said again and again");
}

/// Who has asked in the accept queue as descriptors run out at the end of the process is answered as others close.
#[test]
fn who_waits_as_descriptors_run_out_at_the_end_is_let_in() {
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
    // Beyond the time in which it lets in.
    thread::sleep(Duration::from_millis(1000));
    allow(256);
    assert_eq!(waiting.answer(), "+PONG");
    assert!(node.ended().success());
}
