//! One process of a node takes the place of another under load, over loopback sockets: nothing is lost, nothing is
//! answered twice, and what staff said holds in both.
#![allow(missing_docs)]

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;

use mothpier_world::loopback::*;

/// The platform: it holds the clients' listener and a folder, and starts processes of one node.
struct Platform {
    listener: TcpListener,
    folder: PathBuf,
    name: &'static str,
}

impl Platform {
    fn new(name: &'static str) -> Self {
        let folder = config_path(name).with_extension("tmp");
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        Platform { listener: TcpListener::bind("127.0.0.1:0").unwrap(), folder, name }
    }

    fn command(&self, discovery: SocketAddr) -> Command {
        let mut command = node_command(self.name, discovery, 256, "exec 7<&0 0</dev/null;");
        command.stdin(Stdio::from(std::os::fd::OwnedFd::from(self.listener.try_clone().unwrap())));
        command
            .env("ROUTER_ACCEPT_FD", "7")
            .env("ROUTER_OPERATOR", "127.0.0.1:0")
            .env("TMPDIR", &self.folder);
        command
    }

    /// Starts a process and waits until it says yes.
    fn start(&self, discovery: &Discovery) -> Node {
        let node = Node::spawn(self.command(discovery.address));
        while node.call("GET", "/api/ready", "").0 != 200 {}
        node
    }
}

fn ready(node: &Node) -> bool {
    node.call("GET", "/api/ready", "").0 == 200
}

#[derive(Default)]
struct Seen {
    /// Clients that have been answered.
    began: AtomicU64,
    answered: AtomicU64,
    /// Connections that ended under a request, which was asked again.
    closed_on: AtomicU64,
    wrong: Mutex<Vec<String>>,
}

/// Clients that ask one after the other, on connections that they keep, until told to stop.
fn load(at: SocketAddr, clients: usize, stop: &Arc<AtomicBool>) -> (Arc<Seen>, Vec<thread::JoinHandle<()>>) {
    let seen = Arc::new(Seen::default());
    let run = |c: usize| {
        let (seen, stop) = (seen.clone(), stop.clone());
        thread::spawn(move || {
            let (mut client, mut number) = (Client::connect(at), 0u64);
            while !stop.load(SeqCst) {
                let id = format!("c{c}n{number}");
                let words = ["CACHE.GET", &format!("k{}", number % 50), &id, "c=read,t=acme,d=9000"];
                let sent = client.try_send(&words);
                match client.answer().as_str() {
                    // Nobody answers a request that was not whole: it is asked again, as clients do.
                    "end" => {
                        client = Client::connect(at);
                        seen.closed_on.fetch_add(u64::from(sent), SeqCst);
                    }
                    answer if *answer == format!("${id}") || answer.starts_with("-BUSY ") => {
                        seen.answered.fetch_add(1, SeqCst);
                        seen.began.fetch_add(u64::from(number == 0), SeqCst);
                        number += 1;
                    }
                    other => seen.wrong.lock().unwrap().push(format!("{id}: {other}")),
                }
            }
        })
    };
    let threads = (0..clients).map(run).collect();
    (seen, threads)
}

fn memory_kb(node: &Node) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
    line.split_whitespace().next().unwrap().parse().unwrap()
}

fn descriptors(node: &Node) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count()
}

/// `UPGRADES=100` makes it the measurement of the operators' page.
#[test]
fn upgrades_in_a_row_under_load_lose_nothing_and_answer_nothing_twice() {
    let upgrades: u64 = std::env::var("UPGRADES").ok().and_then(|n| n.parse().ok()).unwrap_or(3);
    let server = serve(command, |asked| array(&asked[2]));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let platform = Platform::new("upgrades");
    let at = platform.listener.local_addr().unwrap();
    let mut old = platform.start(&discovery);
    let stop = Arc::new(AtomicBool::new(false));
    let (seen, threads) = load(at, 8, &stop);
    let answered = |more: u64| {
        let until = seen.answered.load(SeqCst) + more;
        while seen.answered.load(SeqCst) < until {
            thread::yield_now();
        }
    };
    answered(200);
    // What is held with all of them there: on a busy machine some come late.
    while seen.began.load(SeqCst) < 8 {
        thread::yield_now();
    }
    let first = (descriptors(&old), memory_kb(&old));
    for _ in 0..upgrades {
        let new = platform.start(&discovery);
        answered(50);
        old.signal("TERM");
        assert!(old.ended().success());
        answered(100);
        old = new;
    }
    let last = (descriptors(&old), memory_kb(&old));
    stop.store(true, SeqCst);
    threads.into_iter().for_each(|t| t.join().unwrap());
    let (closed, all) = (seen.closed_on.load(SeqCst), seen.answered.load(SeqCst));
    println!(
        "{upgrades} upgrades, {all} answers, {closed} asked again; descriptors and KB {first:?}, {last:?}"
    );
    assert_eq!(*seen.wrong.lock().unwrap(), Vec::<String>::new());
    // These clients ask again the moment they are answered: the one close of each connection may cross a request.
    assert!(closed <= 8 * upgrades, "{closed} requests were closed on in {upgrades} upgrades");
    assert!(last.0 <= first.0 + 4 && last.1 <= first.1 * 2, "{first:?} {last:?}");
}

#[test]
fn what_staff_said_holds_in_both_processes_and_over_the_upgrade() {
    let serves = |value| serve(command, move |_| array(value));
    let list = ["s-1", "s-2", "s-3"].map(|id| member(id, serves(id), "m", "ready")).join(",");
    let discovery = Discovery::start(&list);
    let platform = Platform::new("handed");
    let mut old = platform.start(&discovery);
    assert_eq!(old.call("POST", "/api/exclude", "s-1").0, 200);
    let new = platform.start(&discovery);
    // From its first request on.
    assert_eq!(new.figure("edge_router_members_unavailable"), 1);
    // A call at either holds in both.
    assert_eq!(new.call("POST", "/api/include", "s-1").0, 200);
    while old.figure("edge_router_members_unavailable") != 0 {}
    assert_eq!(old.call("POST", "/api/exclude", "s-2").0, 200);
    while new.figure("edge_router_members_unavailable") != 1 {}
    assert_eq!(old.call("POST", "/api/evacuate", "").0, 200);
    while ready(&new) {}
    assert_eq!(new.call("POST", "/api/rejoin", "").0, 200);
    while !ready(&old) {}
    old.signal("TERM");
    assert!(old.ended().success());
    let mut client = Client::connect(platform.listener.local_addr().unwrap());
    let mut ask = |i: &str| loop {
        // The tenant may send more than its part.
        match client.ask(&["CACHE.GET", &format!("k{i}"), &format!("i{i}"), "c=read,t=acme,d=9000"]) {
            busy if busy.starts_with("-BUSY ") => {}
            answer => return answer,
        }
    };
    assert!((0..50).all(|i| ask(&i.to_string()) != "$s-2"), "it is out");
    // The other way round: the new one is told to end first, the old one goes on.
    let third = platform.start(&discovery);
    third.signal("TERM");
    let mut third = third;
    assert!(third.ended().success());
    assert_ne!(ask("last"), "$s-2");
}

#[test]
fn a_process_that_dies_leaves_what_staff_said_and_spoilt_files_keep_nobody_from_starting() {
    let server = serve(command, |_| array("v"));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let platform = Platform::new("spoilt");
    let mut killed = platform.start(&discovery);
    assert_eq!(killed.call("POST", "/api/exclude", "s-1").0, 200);
    killed.child.kill().unwrap();
    killed.ended();
    let next = platform.start(&discovery);
    assert_eq!(next.figure("edge_router_members_unavailable"), 1);
    drop(next);
    let state: &Path = &platform.folder.join("mothpier.state");
    let whole = std::fs::read(state).unwrap();
    for spoilt in [&whole[..whole.len() / 2], b"\xff\x00", &[], br#"{"version":99}"#] {
        std::fs::write(state, spoilt).unwrap();
        let node = platform.start(&discovery);
        assert_eq!(node.figure("edge_router_members_unavailable"), 0);
    }
    // A folder that is none: nothing is handed over, and it starts.
    let mut command = platform.command(discovery.address);
    command.env("TMPDIR", platform.folder.join("none"));
    let node = Node::spawn(command);
    while !ready(&node) {}
}

#[test]
fn a_descriptor_that_is_no_listener_is_a_clear_error_and_an_exit() {
    let discovery = Discovery::start("");
    for (number, why) in [("x", "not a descriptor number"), ("99", "not open"), ("0", "standard streams")] {
        let mut command = node_command("nodescriptor", discovery.address, 256, "");
        let output = command.env("ROUTER_ACCEPT_FD", number).output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && said.contains("ROUTER_ACCEPT_FD") && said.contains(why),
            "{said}"
        );
    }
}
