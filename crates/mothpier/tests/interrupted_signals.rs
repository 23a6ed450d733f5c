//! Signals that arrive while system calls are interrupted (`EINTR`): no reload ends the node, and no signal
//! is lost.
#![allow(missing_docs)]

use std::thread;
use std::time::{Duration, Instant};

use mothpier_fault_control::Setting;
use mothpier_world::loopback::*;

/// Rate of interrupted reads, writes and waits.
const INTERRUPTED_PERMILLE: i64 = 500;
const RELOADS: usize = 30;
/// Time limit of a reload: the interval at which the node checks for signals, plus the interruptions.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Guards against a read, write or wait that treats `EINTR` as fatal, or that drops the signal behind it.
#[test]
fn signals_during_interrupted_calls_are_neither_fatal_nor_lost() {
    let server = serve(command, |request| array(&request[2]));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let name = "interrupted-signals";
    let (control, environment) = faults(name);
    let mut command = node_command(name, discovery.address, 1024, "");
    command.envs(environment);
    let mut node = Node::run(command, &discovery);
    control.set(Setting::Interrupts, INTERRUPTED_PERMILLE).unwrap();
    for number in 0..RELOADS {
        node.signal("HUP");
        let sent_at = Instant::now();
        while node.log_count("configuration read again") == 0 {
            assert!(node.child.try_wait().unwrap().is_none(), "reload {number} ended the node");
            assert!(sent_at.elapsed() < RELOAD_TIMEOUT, "reload {number} was lost");
            thread::sleep(Duration::from_millis(5));
        }
    }
    assert_eq!(node.client().ask(&["CACHE.GET", "k", "i1", "c=read,t=acme,d=3000"]), "$i1");
    node.signal("TERM");
    assert!(node.ended().success());
}
