//! A node that starts while connections fail for a moment, as on a machine that has run out of sockets,
//! retries and then serves.
#![allow(missing_docs)]

use std::thread;
use std::time::Duration;

use mothpier_fault_control::Setting;
use mothpier_world::loopback::*;

const FAULT_DURATION: Duration = Duration::from_millis(700);

/// Guards against a node that exits on the first failed connection at its start.
#[test]
fn a_node_survives_sockets_that_fail_for_a_moment_at_its_start() {
    let server = serve(command, |request| array(&request[2]));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let name = "failing-start";
    let (control, environment) = faults(name);
    control.set(Setting::FailingConnects, 1000).unwrap();
    let mut command = node_command(name, discovery.address, 1024, "");
    command.envs(environment);
    thread::spawn(move || {
        thread::sleep(FAULT_DURATION);
        control.set(Setting::FailingConnects, 0).unwrap();
    });
    let node = Node::run(command, &discovery);
    assert_eq!(node.client().ask(&["CACHE.GET", "k", "i1", "c=read,t=acme,d=3000"]), "$i1");
}
