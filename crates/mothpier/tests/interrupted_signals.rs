//! Signals while calls are interrupted (`EINTR`): none ends the node, and none is lost.
#![allow(missing_docs)]

use std::thread;
use std::time::{Duration, Instant};

use mothpier_fault_control::Setting;
use mothpier_world::loopback::*;

/// Rate of interrupted reads, writes and waits, in thousandths.
const INTERRUPTED: i64 = 500;
const RELOADS: usize = 30;
/// How soon each is carried out: a look at the signals, and the interruptions.
const WITHIN: Duration = Duration::from_secs(2);

#[test]
fn signals_under_interrupted_calls_end_nothing_and_are_not_lost() {
    let server = serve(command, |asked| array(&asked[2]));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let name = "interrupted-signals";
    let (control, environment) = faults(name);
    let mut command = node_command(name, discovery.address, 1024, "");
    command.envs(environment);
    let mut node = Node::run(command, &discovery);
    control.set(Setting::Interrupts, INTERRUPTED).unwrap();
    for number in 0..RELOADS {
        node.signal("HUP");
        let sent = Instant::now();
        while node.log_count("configuration read again") == 0 {
            assert!(node.child.try_wait().unwrap().is_none(), "reload {number} ended the node");
            assert!(sent.elapsed() < WITHIN, "reload {number} is lost");
            thread::sleep(Duration::from_millis(5));
        }
    }
    assert_eq!(node.client().ask(&["CACHE.GET", "k", "i1", "c=read,t=acme,d=3000"]), "$i1");
    node.signal("TERM");
    assert!(node.ended().success());
}
