//! What a process leaves to its successor while the disk fails for a while: it is kept once the disk takes it, and the log
//! is not flooded.
#![allow(missing_docs)]

use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use mothpier_fault_control::Setting;
use mothpier_world::loopback::*;

/// How long the disk fails.
const FAILS_FOR: Duration = Duration::from_secs(2);
/// How soon after its return the successor must find all.
const BACK_WITHIN: Duration = Duration::from_secs(5);
/// Lines about one failure that lasts.
const MOST_LINES: usize = 3;

fn process(name: &str, listener: &TcpListener, folder: &Path, discovery: &Discovery) -> Command {
    let mut command = node_command(name, discovery.address, 256, "exec 7<&0 0</dev/null;");
    command.stdin(Stdio::from(OwnedFd::from(listener.try_clone().unwrap())));
    command.env("ROUTER_ACCEPT_FD", "7").env("ROUTER_OPERATOR", "127.0.0.1:0").env("TMPDIR", folder);
    command
}

fn started(command: Command) -> Node {
    let node = Node::spawn(command);
    while node.call("GET", "/api/ready", "").0 != 200 {}
    node
}

#[test]
fn a_word_of_staff_outlives_a_disk_that_fails_for_a_while() {
    let name = "handoff-faults";
    let folder = config_path(name).with_extension("tmp");
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = serve(command, |asked| array(&asked[2]));
    let other = serve(command, |asked| array(&asked[2]));
    let list = [member("s-1", server, "m", "ready"), member("s-2", other, "m", "ready")].join(",");
    let discovery = Discovery::start(&list);

    let (control, environment) = faults(name);
    let mut first = process(name, &listener, &folder, &discovery);
    first.envs(environment);
    let first = started(first);
    control.set(Setting::FailingDisk, 1000).unwrap();
    let (status, said) = first.call("POST", "/api/exclude", "s-1");
    assert_eq!(status, 200, "{said}");
    assert!(said.contains("not kept for the next process yet"), "staff are not told: {said}");
    thread::sleep(FAILS_FOR);
    control.set(Setting::FailingDisk, 0).unwrap();
    let returned = Instant::now();
    let state = folder.join("mothpier.state");
    let kept = || std::fs::read_to_string(&state).is_ok_and(|text| text.contains(r#""s-1":{"at""#));
    while !kept() {
        assert!(returned.elapsed() < BACK_WITHIN, "nothing is left {BACK_WITHIN:?} after the disk's return");
        thread::sleep(Duration::from_millis(20));
    }
    let lines = first.log_count("for the next process");
    assert!((1..=MOST_LINES).contains(&lines), "{lines} lines of one failure");
    drop(first);

    let second = started(process(name, &listener, &folder, &discovery));
    assert_eq!(second.figure("edge_router_members_unavailable"), 1, "the successor does not know who is out");
}
