//! A node process of a fleet whose coordinators are unreachable.
#![allow(missing_docs)]

use std::time::Duration;

use mothpier_world::loopback::{self, Client, Discovery, Node, config_path, node_command};

/// A node that starts without knowing which servers are drained could send requests to them. It must
/// therefore admit no client until it has heard from the coordinators or `start_alone` has passed, and serve
/// after that.
#[test]
fn a_node_without_coordinators_admits_clients_only_after_its_start_limit() {
    let answer_id = |request: &[String]| loopback::array(request.get(2).map_or("", |id| id));
    let server = loopback::serve(loopback::command, answer_id);
    let discovery = Discovery::start(&loopback::member("s-1", server, "m", "ready"));
    let unreachable_address = loopback::unused_address();
    let settings_file = config_path("fleet-alone").with_extension("hcl");
    let settings = format!(
        "cluster = \"f\"\ncoordinators = [\"{unreachable_address}\"]\nfleet {{\n  start_alone = \"4s\"\n}}\n"
    );
    std::fs::write(&settings_file, settings).unwrap();
    let mut command = node_command("fleet-alone", discovery.address, 1024, "");
    command.env("MOTHPIER_COORDINATION", &settings_file).env("ROUTER_OPERATOR", "127.0.0.1:0");
    let node = Node::run(command, &discovery);
    let mut client = Client::connect(node.address);
    client.send(&["PING"]);
    let (status, body) = node.call("GET", "/api/ready", "");
    assert_eq!(status, 503);
    assert!(body.contains("who of the fleet is out is not known yet"), "{body}");
    std::thread::sleep(Duration::from_millis(300));
    assert!(!client.answered_already(), "answered before the node knew which servers are drained");
    node.logged("starts without knowing who of the fleet is out");
    assert_eq!(client.answer(), "+PONG");
    assert_eq!(client.ask(&["CACHE.GET", "k", "i1", "c=read,t=acme,d=1500"]), "$i1");
    assert_eq!(node.call("GET", "/api/ready", "").0, 200);
}
