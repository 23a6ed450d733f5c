//! Connections that are aborted before they are accepted say nothing about room: nobody else is closed for them, and those
//! who come next are let in.
#![allow(missing_docs)]

use std::net::TcpStream;

use mothpier_fault_control::Setting;
use mothpier_world::loopback::*;

const RESTING: usize = 12;
const ABORTED: usize = 40;
const CONNECTION_ABORTED: i64 = 103;

#[test]
fn an_aborted_connection_puts_no_resting_client_out() {
    let server = serve(command, |asked| array(&asked[2]));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let name = "accept-aborted";
    let (control, environment) = faults(name);
    control.set(Setting::AcceptError, CONNECTION_ABORTED).unwrap();
    let mut command = node_command(name, discovery.address, 1024, "");
    command.envs(environment);
    let node = Node::run(command, &discovery);

    let mut resting: Vec<Client> = (0..RESTING).map(|_| node.client()).collect();
    for (n, client) in resting.iter_mut().enumerate() {
        assert_eq!(
            client.ask(&["CACHE.GET", "k", &format!("before-{n}"), "c=read,t=acme,d=3000"]),
            format!("$before-{n}")
        );
    }
    control.set(Setting::FailingAccepts, 1000).unwrap();
    for _ in 0..ABORTED {
        drop(TcpStream::connect(node.address));
    }
    while control.get(Setting::Injected).unwrap() < ABORTED as i64 {
        std::thread::yield_now();
    }
    control.set(Setting::FailingAccepts, 0).unwrap();
    assert_eq!(node.client().ask(&["CACHE.GET", "k", "next", "c=read,t=acme,d=3000"]), "$next");
    for (n, client) in resting.iter_mut().enumerate() {
        let words = ["CACHE.GET", "k", &format!("after-{n}"), "c=read,t=acme,d=3000"];
        let answer = if client.try_send(&words) { client.answer() } else { "end".into() };
        assert_eq!(answer, format!("$after-{n}"), "resting client {n} was put out");
    }
}
