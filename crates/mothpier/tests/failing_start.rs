//! A node that starts while the machine has no sockets left for a moment waits for them, and then serves.
#![allow(missing_docs)]

use std::thread;
use std::time::Duration;

use mothpier_fault_control::Setting;
use mothpier_world::loopback::*;

const FAILS_FOR: Duration = Duration::from_millis(700);

#[test]
fn sockets_that_fail_for_a_moment_at_the_start_end_no_node() {
    let server = serve(command, |asked| array(&asked[2]));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let name = "failing-start";
    let (control, environment) = faults(name);
    control.set(Setting::FailingConnects, 1000).unwrap();
    let mut command = node_command(name, discovery.address, 1024, "");
    command.envs(environment);
    thread::spawn(move || {
        thread::sleep(FAILS_FOR);
        control.set(Setting::FailingConnects, 0).unwrap();
    });
    let node = Node::run(command, &discovery);
    assert_eq!(node.client().ask(&["CACHE.GET", "k", "i1", "c=read,t=acme,d=3000"]), "$i1");
}
