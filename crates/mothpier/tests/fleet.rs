//! A node of a fleet whose coordinators are out of reach, as a process.
#![allow(missing_docs)]

use std::time::Duration;

use mothpier_world::loopback::{self, Client, Discovery, Node, config_path, node_command};

#[test]
fn a_node_without_its_coordinators_lets_nobody_in_until_its_time_and_then_serves() {
    let value = |asked: &[String]| loopback::array(asked.get(2).map_or("", |id| id));
    let server = loopback::serve(loopback::command, value);
    let discovery = Discovery::start(&loopback::member("s-1", server, "m", "ready"));
    // Nobody listens at the port of a listener that is gone.
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let file = config_path("fleet-alone").with_extension("hcl");
    let text =
        format!("cluster = \"f\"\ncoordinators = [\"{gone}\"]\nfleet {{\n  start_alone = \"4s\"\n}}\n");
    std::fs::write(&file, text).unwrap();
    let mut command = node_command("fleet-alone", discovery.address, 1024, "");
    command.env("MOTHPIER_COORDINATION", &file).env("ROUTER_OPERATOR", "127.0.0.1:0");
    let node = Node::run(command, &discovery);
    let mut client = Client::connect(node.address);
    client.send(&["PING"]);
    let (status, said) = node.call("GET", "/api/ready", "");
    assert_eq!(status, 503);
    assert!(said.contains("who of the fleet is out is not known yet"), "{said}");
    std::thread::sleep(Duration::from_millis(300));
    assert!(!client.answered_already(), "let in before it knew who is out");
    node.logged("starts without knowing who of the fleet is out");
    assert_eq!(client.answer(), "+PONG");
    assert_eq!(client.ask(&["CACHE.GET", "k", "i1", "c=read,t=acme,d=1500"]), "$i1");
    assert_eq!(node.call("GET", "/api/ready", "").0, 200);
}
