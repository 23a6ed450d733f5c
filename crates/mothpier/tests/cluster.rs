//! Slot-aware clients at the node: client libraries that learn the map and follow it, and plain clients that see none
//! of it.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::Instant;

use fred::clients::Client as FredClient;
use fred::interfaces::ClientLike;
use fred::types::config::{Config as FredConfig, ServerConfig};
use fred::types::{ClusterHash, CustomCommand};
use mothpier_world::loopback::*;

/// Free addresses, each on a port of its own.
fn free(count: usize) -> Vec<SocketAddr> {
    let held: Vec<TcpListener> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    held.iter().map(|l| l.local_addr().unwrap()).collect()
}

/// Two nodes of one tier. Each has a box of its own that names its node in every value, so that it shows at which node
/// a request came in.
fn tier(name: &str) -> Vec<(Node, Discovery, SocketAddr)> {
    let addresses = free(2);
    let file = config_path(&format!("{name}-cluster"));
    let held = [0; 2].map(|_| UdpSocket::bind("127.0.0.1:0").unwrap());
    let peers = held.each_ref().map(|s| s.local_addr().unwrap());
    drop(held);
    let listed: Vec<String> = addresses.iter().map(|a| format!("\"{a}\"")).collect();
    std::fs::write(&file, format!(r#"{{"nodes":[{}]}}"#, listed.join(","))).unwrap();
    let start = |(number, address): (usize, &SocketAddr)| {
        let value = format!("node{number}");
        let server = serve(command, move |_| array(&value));
        let origin = {
            let value = format!("written{number}");
            serve(call, move |_| http("200 OK", &value))
        };
        let members =
            [member("s-1", server, "m", "ready"), member("o-1", origin, "origin", "ready")].join(",");
        let discovery = Discovery::start(&members);
        let own = format!("{name}{number}");
        let mut command = node_command(&own, discovery.address, 1024, "");
        let text = config(&own, discovery.address, 1024)
            .replace("\"balancers\":1,\"me\":0", &format!("\"balancers\":2,\"me\":{number}"))
            .replace("127.0.0.1:0", &address.to_string());
        let (listen, [a, b]) = (peers[number], peers);
        let own_peers = format!(r#"{{"peer_listen":"{listen}","peers":["{a}","{b}"],"#);
        let text = text.replacen('{', &own_peers, 1);
        std::fs::write(config_path(&own), text).unwrap();
        command.env("MOTHPIER_CLUSTER", &file);
        (Node::run(command, &discovery), discovery, *address)
    };
    addresses.iter().enumerate().map(start).collect()
}

/// Keys, and the node that is shown as the owner of each one's slot.
fn keys() -> impl Iterator<Item = (String, usize)> {
    (0..40).map(|n| {
        let key = format!("key{n}");
        let owner = usize::from(mothpier_slots::slot_of(key.as_bytes()) >= mothpier_slots::SLOTS / 2);
        (key, owner)
    })
}

#[test]
fn redis_rs_learns_the_map_and_asks_each_key_at_its_owner() {
    let tier = tier("redis-rs");
    let client = redis::cluster::ClusterClient::new(vec![format!("redis://{}", tier[0].2)]).unwrap();
    let mut connection = client.get_connection().unwrap();
    let mut met = [0; 2];
    for (n, (key, owner)) in keys().enumerate() {
        let mut get = redis::cmd("CACHE.GET");
        get.arg(&key).arg(format!("g{n}")).arg("c=read,t=acme,d=9000");
        let value: String = get.query(&mut connection).unwrap();
        assert_eq!(value, format!("node{owner}"), "{key}");
        let mut set = redis::cmd("CACHE.SET");
        set.arg(&key).arg(format!("s{n}")).arg("c=once,t=acme,d=9000").arg("new");
        let value: String = set.query(&mut connection).unwrap();
        assert_eq!(value, format!("written{owner}"), "{key}");
        met[owner] += 1;
    }
    assert!(met.iter().all(|m| *m > 0), "{met:?}");
}

#[test]
fn fred_learns_the_map_and_asks_each_key_at_its_owner() {
    let tier = tier("fred");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let first = tier[0].2;
        let server = ServerConfig::new_clustered(vec![(first.ip().to_string(), first.port())]);
        let client = FredClient::new(FredConfig { server, ..FredConfig::default() }, None, None, None);
        let _driver = client.init().await.unwrap();
        let mut met = [0; 2];
        for (n, (key, owner)) in keys().enumerate() {
            let get = CustomCommand::new_static("CACHE.GET", ClusterHash::FirstKey, false);
            let words = vec![key.clone(), format!("g{n}"), "c=read,t=acme,d=9000".into()];
            let value: String = client.custom(get, words).await.unwrap();
            assert_eq!(value, format!("node{owner}"), "{key}");
            let set = CustomCommand::new_static("CACHE.SET", ClusterHash::FirstKey, false);
            let words = vec![key.clone(), format!("s{n}"), "c=once,t=acme,d=9000".into(), "new".into()];
            let value: String = client.custom(set, words).await.unwrap();
            assert_eq!(value, format!("written{owner}"), "{key}");
            met[owner] += 1;
        }
        assert!(met.iter().all(|m| *m > 0), "{met:?}");
        client.quit().await.unwrap();
    });
}

/// What a node shows of the tier, once it shows that another does not run.
fn shown_without(node: &Node, gone: SocketAddr) -> Vec<String> {
    let since = Instant::now();
    let mut client = node.client();
    while since.elapsed() < HUNG {
        let lines: Vec<String> = client.ask(&["CLUSTER", "NODES"]).lines().map(str::to_owned).collect();
        if lines.iter().any(|l| l.contains(&format!("{gone}@0 master,fail"))) {
            return lines;
        }
    }
    panic!("{gone} is shown as running still");
}

#[test]
fn a_node_that_stops_or_dies_hands_its_slots_over() {
    for signal in ["TERM", "KILL"] {
        let tier = tier(&format!("hands-over-{signal}"));
        let (left, stays) = (&tier[0], &tier[1]);
        left.0.signal(signal);
        let lines = shown_without(&stays.0, left.2);
        let own = lines.iter().find(|l| l.contains("myself")).unwrap();
        assert!(own.ends_with(" connected 0-16383"), "{lines:?}");
    }
}

/// A node keeps no slots of its own: a key at the node that is not shown as its owner is served there, never sent on.
#[test]
fn a_request_at_the_wrong_node_is_served() {
    let tier = tier("wrong");
    for (n, (key, _)) in keys().take(8).enumerate() {
        for (number, (node, ..)) in tier.iter().enumerate() {
            let id = format!("w{n}-{number}");
            let answer = node.client().ask(&["CACHE.GET", &key, &id, "c=read,t=acme,d=9000"]);
            assert_eq!(answer, format!("$node{number}"));
        }
    }
}

#[test]
fn a_client_that_asks_for_long_maps_without_reading_is_cut_off() {
    let discovery = Discovery::start("");
    let nodes: Vec<String> =
        (0..1000).map(|n| format!("\"10.0.{}.{}:6379\"", n / 200, n % 200 + 1)).collect();
    let file = config_path("long-maps-nodes");
    std::fs::write(&file, format!(r#"{{"nodes":[{}]}}"#, nodes.join(","))).unwrap();
    let mut command = node_command("long-maps", discovery.address, 1024, "");
    let text =
        config("long-maps", discovery.address, 1024).replace("\"balancers\":1,", "\"balancers\":1000,");
    std::fs::write(config_path("long-maps"), text).unwrap();
    command.env("MOTHPIER_CLUSTER", &file);
    let node = Node::run(command, &discovery);
    let mut client = node.client();
    // In one write: all are read before any is answered.
    client.write("*2\r\n$7\r\nCLUSTER\r\n$5\r\nNODES\r\n".repeat(64));
    let mut maps = 0;
    let last = loop {
        match client.answer() {
            map if map.starts_with('$') => maps += 1,
            other => break other,
        }
    };
    assert!((1..64).contains(&maps), "{maps}");
    assert_eq!(last, "-ERR protocol: too many long answers wait");
    assert_eq!(client.answer(), "end");
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
}

#[test]
fn a_plain_node_answers_what_clients_send_as_they_connect_and_has_no_slots() {
    let discovery = Discovery::start(&member("s-1", serve(command, |_| array("v")), "m", "ready"));
    let node = Node::start("plain", &discovery);
    let mut client = node.client();
    let disabled = "-ERR This instance has cluster support disabled";
    for (words, answer) in [
        (&["CLUSTER", "SLOTS"][..], disabled),
        (&["READONLY"], disabled),
        (&["CLIENT", "SETINFO", "LIB-NAME", "x"], "+OK"),
        (&["SELECT", "0"], "+OK"),
        (&["ECHO", "x"], "$x"),
        (&["RESET"], "+RESET"),
        (&["GET", "k"], "-ERR unknown command"),
        (&["PING"], "+PONG"),
    ] {
        assert_eq!(client.ask(words), answer, "{words:?}");
    }
}

/// The first command of the most used library, and the only one that changes what follows it.
#[test]
fn a_switch_of_the_version_in_a_pipeline_holds_from_its_place_on() {
    let discovery = Discovery::start(&member("s-1", serve(command, |_| array("v")), "m", "ready"));
    let node = Node::start("versions", &discovery);
    let mut client = node.client();
    let word = |words: &[&str]| {
        let all: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
        format!("*{}\r\n{all}", words.len())
    };
    let get = |id: &str| word(&["CACHE.GET", "k", id, "c=read,t=acme,d=9000"]);
    let name = word(&["CLIENT", "GETNAME"]);
    let (three, two) = (word(&["HELLO", "3"]), word(&["HELLO", "2"]));
    let bad = word(&["HELLO", "3", "AUTH", "a", "b"]);
    // In one write: all are read before the first is answered.
    client.write(
        [&get("1"), &name, &three, &get("2"), &name, &two, &bad, &name, &get("3")]
            .map(|s| s.as_str())
            .concat(),
    );
    let mut skip = |answers: &[&str], then: usize| {
        for answer in answers {
            assert_eq!(client.answer(), *answer);
        }
        (0..then).for_each(|_| drop(client.answer()));
    };
    skip(&["$v", "$-1", "%7"], 14);
    skip(&["$v", "_", "*14"], 14);
    skip(&["-ERR AUTH called without any password configured for the default user: leave it out"], 0);
    skip(&["$-1", "$v"], 0);
    // What no client may send ends the connection, in any version: aggregates of RESP3, streams, and depth.
    for bad in
        [">2\r\n+a\r\n+b\r\n", "%2147483648\r\n", "*?\r\n", ",1.5\r\n", "|1\r\n", &"*1\r\n".repeat(10_000)]
    {
        let mut client = node.client();
        assert_eq!(client.ask(&["HELLO", "3"]), "%7");
        (0..14).for_each(|_| drop(client.answer()));
        client.write(bad);
        let said = client.answer();
        assert!(said.starts_with("-ERR protocol"), "{bad:.10}: {said}");
        assert_eq!(client.answer(), "end");
    }
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
}

#[test]
fn a_bad_file_of_nodes_is_refused_at_the_start_with_its_cause() {
    let discovery = Discovery::start("");
    for (n, (text, cause)) in [
        ("{\"nodes\":[]}", "0 listed, but the settings have 1 balancers"),
        ("{\"nodes\":[\"pb7\"]}", "\"pb7\" is not a valid ADDRESS:PORT"),
        ("{\"nodes\":[\"0.0.0.0:1\"]}", "0.0.0.0:1 is no address that clients can connect to"),
        ("{\"nodes\":[\"127.0.0.1:1\"],\"more\":1}", "unknown field `more`"),
        ("{", "unreadable"),
    ]
    .into_iter()
    .enumerate()
    {
        let name = format!("bad-cluster{n}");
        let file = config_path(&format!("{name}-nodes"));
        std::fs::write(&file, text).unwrap();
        let mut command = node_command(&name, discovery.address, 1024, "");
        let output = command.env("MOTHPIER_CLUSTER", &file).output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && said.contains(cause), "{text}: {said}");
    }
}
