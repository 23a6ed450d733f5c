//! A connection that is aborted before it is accepted does not mean that the node is out of sockets: no other
//! connection may be closed because of it, and later clients are accepted.
#![allow(missing_docs)]

use std::net::TcpStream;

use mothpier_fault_control::Setting;
use mothpier_world::loopback::*;

const IDLE_CLIENTS: usize = 12;
const ABORTED_CONNECTIONS: usize = 40;
const ECONNABORTED: i64 = 103;

/// Guards against treating every accept error like exhaustion: `accept` fails with `ECONNABORTED`, and the
/// node closes idle clients to free sockets that it does not need.
#[test]
fn an_aborted_connection_closes_no_idle_client() {
    let server = serve(command, |request| array(&request[2]));
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let name = "accept-aborted";
    let (control, environment) = faults(name);
    control.set(Setting::AcceptError, ECONNABORTED).unwrap();
    let mut command = node_command(name, discovery.address, 1024, "");
    command.envs(environment);
    let node = Node::run(command, &discovery);

    let mut idle_clients: Vec<Client> = (0..IDLE_CLIENTS).map(|_| node.client()).collect();
    for (number, client) in idle_clients.iter_mut().enumerate() {
        assert_eq!(
            client.ask(&["CACHE.GET", "k", &format!("before-{number}"), "c=read,t=acme,d=3000"]),
            format!("$before-{number}")
        );
    }
    control.set(Setting::FailingAccepts, 1000).unwrap();
    for _ in 0..ABORTED_CONNECTIONS {
        drop(TcpStream::connect(node.address));
    }
    while control.get(Setting::Injected).unwrap() < ABORTED_CONNECTIONS as i64 {
        std::thread::yield_now();
    }
    control.set(Setting::FailingAccepts, 0).unwrap();
    assert_eq!(node.client().ask(&["CACHE.GET", "k", "next", "c=read,t=acme,d=3000"]), "$next");
    for (number, client) in idle_clients.iter_mut().enumerate() {
        let arguments = ["CACHE.GET", "k", &format!("after-{number}"), "c=read,t=acme,d=3000"];
        let answer = if client.try_send(&arguments) { client.answer() } else { "end".into() };
        assert_eq!(answer, format!("$after-{number}"), "idle client {number} was disconnected");
    }
}
