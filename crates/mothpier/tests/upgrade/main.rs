//! One process of a node replaces another under load, over loopback sockets: no request is lost or answered
//! twice, and operators' calls take effect in both processes.
#![allow(missing_docs)]

mod platform;
mod request_ids;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;

use mothpier_world::loopback::*;

use platform::Platform;

fn ready(node: &Node) -> bool {
    node.call("GET", "/api/ready", "").0 == 200
}

#[derive(Default)]
struct ClientCounts {
    /// Clients that have received at least one answer.
    clients_answered: AtomicU64,
    answered: AtomicU64,
    /// Connections that closed while a request was pending; the client then repeated the request.
    interrupted: AtomicU64,
    wrong_answers: Mutex<Vec<String>>,
}

/// Starts clients that each send one request after another on a kept connection until `stop` is set.
fn load(
    address: SocketAddr,
    clients: usize,
    stop: &Arc<AtomicBool>,
) -> (Arc<ClientCounts>, Vec<thread::JoinHandle<()>>) {
    let counts = Arc::new(ClientCounts::default());
    let run = |client_number: usize| {
        let (counts, stop) = (counts.clone(), stop.clone());
        thread::spawn(move || {
            let (mut client, mut number) = (Client::connect(address), 0u64);
            while !stop.load(SeqCst) {
                let id = format!("c{client_number}n{number}");
                let arguments = ["CACHE.GET", &format!("k{}", number % 50), &id, "c=read,t=acme,d=9000"];
                let sent = client.try_send(&arguments);
                match client.answer().as_str() {
                    // A request whose connection closed before an answer is repeated, as real clients do.
                    "end" => {
                        client = Client::connect(address);
                        counts.interrupted.fetch_add(u64::from(sent), SeqCst);
                    }
                    answer if *answer == format!("${id}") || answer.starts_with("-BUSY ") => {
                        counts.answered.fetch_add(1, SeqCst);
                        counts.clients_answered.fetch_add(u64::from(number == 0), SeqCst);
                        number += 1;
                    }
                    other => counts.wrong_answers.lock().unwrap().push(format!("{id}: {other}")),
                }
            }
        })
    };
    let threads = (0..clients).map(run).collect();
    (counts, threads)
}

fn memory_kb(node: &Node) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    resident.split_whitespace().next().unwrap().parse().unwrap()
}

fn descriptors(node: &Node) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count()
}

/// Guards against requests lost or answered wrongly, and against descriptors or memory leaked, when a node
/// under load is replaced several times in a row. `UPGRADES=100` runs the measurement given in the operators'
/// documentation.
#[test]
fn upgrades_in_a_row_under_load_lose_nothing_and_answer_nothing_twice() {
    let upgrades: u64 = std::env::var("UPGRADES").ok().and_then(|n| n.parse().ok()).unwrap_or(3);
    let server = serve(command, |request| array(&request[2]));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let platform = Platform::new("upgrades");
    let address = platform.listener.local_addr().unwrap();
    let mut old_node = platform.start(&discovery);
    let stop = Arc::new(AtomicBool::new(false));
    let (counts, threads) = load(address, 8, &stop);
    let wait_for_answers = |more: u64| {
        let target = counts.answered.load(SeqCst) + more;
        while counts.answered.load(SeqCst) < target {
            thread::yield_now();
        }
    };
    wait_for_answers(200);
    // Resources are counted once all clients are connected, which takes a while on a busy machine.
    while counts.clients_answered.load(SeqCst) < 8 {
        thread::yield_now();
    }
    let first = (descriptors(&old_node), memory_kb(&old_node));
    for _ in 0..upgrades {
        let new_node = platform.start(&discovery);
        wait_for_answers(50);
        old_node.signal("TERM");
        assert!(old_node.ended().success());
        wait_for_answers(100);
        old_node = new_node;
    }
    let last = (descriptors(&old_node), memory_kb(&old_node));
    stop.store(true, SeqCst);
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    let (interrupted, answers) = (counts.interrupted.load(SeqCst), counts.answered.load(SeqCst));
    println!(
        "{upgrades} upgrades, {answers} answers, {interrupted} repeated; descriptors and KB {first:?}, {last:?}"
    );
    assert_eq!(*counts.wrong_answers.lock().unwrap(), Vec::<String>::new());
    // These clients send the next request as soon as they are answered, so a connection's single close may
    // cross one.
    assert!(
        interrupted <= 8 * upgrades,
        "{interrupted} requests interrupted by a close in {upgrades} upgrades"
    );
    assert!(last.0 <= first.0 + 4 && last.1 <= first.1 * 2, "{first:?} {last:?}");
}

/// During an upgrade two processes serve at once: a server excluded at one of them must be excluded at the
/// other, and in each later process, whichever of the two ends first.
#[test]
fn operator_calls_hold_in_both_processes_and_over_the_upgrade() {
    let serve_value = |value| serve(command, move |_| array(value));
    let list = ["s-1", "s-2", "s-3"].map(|id| member(id, serve_value(id), "m", "ready")).join(",");
    let discovery = Discovery::start(&list);
    let platform = Platform::new("handed");
    let mut old_node = platform.start(&discovery);
    assert_eq!(old_node.call("POST", "/api/exclude", "s-1").0, 200);
    let new_node = platform.start(&discovery);
    // The exclusion holds from its first request on.
    assert_eq!(new_node.figure("edge_router_members_unavailable"), 1);
    // An operator's call to either process takes effect in both.
    assert_eq!(new_node.call("POST", "/api/include", "s-1").0, 200);
    while old_node.figure("edge_router_members_unavailable") != 0 {}
    assert_eq!(old_node.call("POST", "/api/exclude", "s-2").0, 200);
    while new_node.figure("edge_router_members_unavailable") != 1 {}
    assert_eq!(old_node.call("POST", "/api/evacuate", "").0, 200);
    while ready(&new_node) {}
    assert_eq!(new_node.call("POST", "/api/rejoin", "").0, 200);
    while !ready(&old_node) {}
    old_node.signal("TERM");
    assert!(old_node.ended().success());
    let mut client = Client::connect(platform.listener.local_addr().unwrap());
    let mut ask = |suffix: &str| loop {
        // Requests beyond the tenant's share are refused.
        match client.ask(&["CACHE.GET", &format!("k{suffix}"), &format!("i{suffix}"), "c=read,t=acme,d=9000"])
        {
            refusal if refusal.starts_with("-BUSY ") => {}
            answer => return answer,
        }
    };
    assert!((0..50).all(|i| ask(&i.to_string()) != "$s-2"), "the excluded server got a request");
    // The reverse order: the newer process is terminated first and the older one continues.
    let third_node = platform.start(&discovery);
    third_node.signal("TERM");
    let mut third_node = third_node;
    assert!(third_node.ended().success());
    assert_ne!(ask("last"), "$s-2");
}

/// The client of an unsafe request leaves the process that ends and sends the request again, to the other one.
#[test]
fn an_unsafe_request_does_not_run_again_at_the_other_process_of_an_upgrade() {
    let runs = Arc::new(AtomicU64::new(0));
    let counted = runs.clone();
    let server = serve(command, move |request| {
        counted.fetch_add(u64::from(request[2] == "once"), SeqCst);
        thread::sleep(std::time::Duration::from_millis(150));
        array(&request[2])
    });
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let platform = Platform::new("upgradeids");
    let address = platform.listener.local_addr().unwrap();
    let old_node = platform.start(&discovery);
    let arguments = ["CACHE.GET", "k", "once", "c=once,t=acme,d=9000"];
    let mut leaving = Client::connect(address);
    leaving.send(&arguments);
    while runs.load(SeqCst) == 0 {
        thread::yield_now();
    }
    let _new_node = platform.start(&discovery);
    old_node.signal("TERM");
    old_node.logged("stopping");
    drop(leaving);
    // Long enough for the old process to close its listener and end.
    thread::sleep(std::time::Duration::from_secs(1));
    let mut again = Client::connect(address);
    while again.ask(&arguments).starts_with("-BUSY ") {
        thread::sleep(std::time::Duration::from_millis(20));
    }
    assert_eq!(runs.load(SeqCst), 1);
}

/// A process that is killed hands nothing over itself: its successor reads what it had stored. A truncated,
/// invalid, empty or unknown state file, or a missing directory, must not keep a process from starting.
#[test]
fn operator_calls_outlive_a_killed_process_and_corrupt_state_files_do_not_prevent_a_start() {
    let server = serve(command, |_| array("v"));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let platform = Platform::new("spoilt");
    let mut killed_node = platform.start(&discovery);
    assert_eq!(killed_node.call("POST", "/api/exclude", "s-1").0, 200);
    killed_node.child.kill().unwrap();
    killed_node.ended();
    let next_node = platform.start(&discovery);
    assert_eq!(next_node.figure("edge_router_members_unavailable"), 1);
    drop(next_node);
    let state_file: &Path = &platform.directory.join("mothpier.state");
    let complete_state = std::fs::read(state_file).unwrap();
    for corrupt in [&complete_state[..complete_state.len() / 2], b"\xff\x00", &[], br#"{"version":99}"#] {
        std::fs::write(state_file, corrupt).unwrap();
        let node = platform.start(&discovery);
        assert_eq!(node.figure("edge_router_members_unavailable"), 0);
    }
    // With a state directory that does not exist the node starts without any handed-over state.
    let mut command = platform.command(discovery.address);
    command.env("TMPDIR", platform.directory.join("none"));
    let node = Node::spawn(command);
    while !ready(&node) {}
}

/// `ROUTER_ACCEPT_FD` that is no number, not open or a standard stream must give an error that names the
/// variable.
#[test]
fn an_invalid_listener_descriptor_ends_the_process_with_a_clear_error() {
    let discovery = Discovery::start("");
    for (number, reason) in [("x", "not a descriptor number"), ("99", "not open"), ("0", "standard streams")]
    {
        let mut command = node_command("nodescriptor", discovery.address, 256, "");
        let output = command.env("ROUTER_ACCEPT_FD", number).output().unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && stderr.contains("ROUTER_ACCEPT_FD") && stderr.contains(reason),
            "{stderr}"
        );
    }
}
