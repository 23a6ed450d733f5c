//! A process stores state for its successor while the disk fails for a while: the state is written once the
//! disk works again, and the log is not flooded.
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
const DISK_FAULT_DURATION: Duration = Duration::from_secs(2);
/// Time limit for the state to be stored after the disk has recovered.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);
/// Log lines that one lasting failure may produce.
const MAX_LOG_LINES: usize = 3;

fn node_process(name: &str, listener: &TcpListener, directory: &Path, discovery: &Discovery) -> Command {
    let mut command = node_command(name, discovery.address, 256, "exec 7<&0 0</dev/null;");
    command.stdin(Stdio::from(OwnedFd::from(listener.try_clone().unwrap())));
    command.env("ROUTER_ACCEPT_FD", "7").env("ROUTER_OPERATOR", "127.0.0.1:0").env("TMPDIR", directory);
    command
}

fn start_ready(command: Command) -> Node {
    let node = Node::spawn(command);
    while node.call("GET", "/api/ready", "").0 != 200 {}
    node
}

/// Guards against an exclusion that is lost because its one write to disk failed: the write must be retried,
/// or the successor sends requests to the excluded server.
#[test]
fn an_operator_call_outlives_a_temporary_disk_failure() {
    let name = "handoff-faults";
    let directory = config_path(name).with_extension("tmp");
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = serve(command, |request| array(&request[2]));
    let other = serve(command, |request| array(&request[2]));
    let members = [member("s-1", server, "m", "ready"), member("s-2", other, "m", "ready")].join(",");
    let discovery = Discovery::start(&members);

    let (control, environment) = faults(name);
    let mut first = node_process(name, &listener, &directory, &discovery);
    first.envs(environment);
    let first = start_ready(first);
    control.set(Setting::FailingDisk, 1000).unwrap();
    let (status, body) = first.call("POST", "/api/exclude", "s-1");
    assert_eq!(status, 200, "{body}");
    assert!(body.contains("not kept for the next process yet"), "the operator is not warned: {body}");
    thread::sleep(DISK_FAULT_DURATION);
    control.set(Setting::FailingDisk, 0).unwrap();
    let recovered_at = Instant::now();
    let state_file = directory.join("mothpier.state");
    let state_stored =
        || std::fs::read_to_string(&state_file).is_ok_and(|text| text.contains(r#""s-1":{"at""#));
    while !state_stored() {
        assert!(
            recovered_at.elapsed() < RECOVERY_TIMEOUT,
            "no state stored {RECOVERY_TIMEOUT:?} after the disk recovered"
        );
        thread::sleep(Duration::from_millis(20));
    }
    let lines = first.log_count("for the next process");
    assert!((1..=MAX_LOG_LINES).contains(&lines), "{lines} log lines for one failure");
    drop(first);

    let second = start_ready(node_process(name, &listener, &directory, &discovery));
    assert_eq!(
        second.figure("edge_router_members_unavailable"),
        1,
        "the successor does not know which server is excluded"
    );
}
