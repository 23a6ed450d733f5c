//! Operator calls to a running node, over loopback sockets: the admin listener, the metrics, servers drained
//! by an operator, an evacuated node.
#![allow(missing_docs)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use mothpier_world::loopback::*;

/// Interval between two requests of a tenant whose quota is 1000 a second.
const QUOTA_INTERVAL: Duration = Duration::from_millis(1);

fn start(name: &str, discovery: &Discovery) -> Node {
    let mut command = node_command(name, discovery.address, 1024, "");
    command.env("ROUTER_OPERATOR", "127.0.0.1:0");
    Node::run(command, discovery)
}

/// Starts a cache server that sends the key of each command to the test.
fn recording_server(value: &'static str) -> (SocketAddr, Receiver<String>) {
    let (key_sender, keys) = channel();
    let key_sender = Arc::new(Mutex::new(key_sender));
    let server = serve(command, move |request| {
        key_sender.lock().unwrap().send(request[1].clone()).unwrap_or_default();
        array(value)
    });
    (server, keys)
}

fn read(client: &mut Client, i: usize) -> String {
    client.ask(&["CACHE.GET", &format!("k{i}"), &format!("i{i}"), "c=read,t=acme,d=9000"])
}

/// Callers that connect and send nothing, or half a request head, must not keep operators out; each invalid
/// call gets the status that names its fault.
#[test]
fn invalid_calls_get_an_error_and_silent_callers_block_nobody() {
    let (server, _keys) = recording_server("v");
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let node = start("door", &discovery);
    assert_eq!(node.call("GET", "/api/ready", ""), (200, "ready\n".into()));
    // More callers than the listener admits, silent or in the middle of a head: a call is still answered.
    let mut silent: Vec<TcpStream> = Vec::new();
    for i in 0..40 {
        let mut stream = TcpStream::connect(node.operator.unwrap()).unwrap();
        if i % 2 == 0 {
            stream.write_all(b"POST /api/evac").unwrap();
        }
        silent.push(stream);
        assert_eq!(node.call("GET", "/api/ready", "").0, 200, "{i}");
    }
    // The oldest were closed to make room.
    silent[0].set_read_timeout(Some(HUNG)).unwrap();
    assert!(matches!(silent[0].read(&mut [0; 8]), Ok(0) | Err(_)));
    for (method, path, body, status) in [
        ("GET", "/", "", 404),
        ("POST", "/api/ready", "", 405),
        ("GET", "/api/exclude", "s-1", 405),
        ("POST", "/api/exclude", "", 400),
        ("POST", "/api/exclude", "two words", 400),
        ("POST", "/api/include", &"x".repeat(300), 400),
        ("POST", "/api/exclude", "s-9", 404),
        ("POST", "/api/include", "s-9", 404),
    ] {
        let (returned_status, text) = node.call(method, path, body);
        assert_eq!((returned_status, text.is_empty()), (status, false), "{method} {path} {body:.9}: {text}");
    }
    let (head, _) = node.call_raw("DELETE /api/rejoin HTTP/1.1\r\nHost: n\r\n\r\n");
    assert!(head.to_lowercase().contains("\r\nallow: post"), "{head}");
    let long = format!("GET /api/ready HTTP/1.1\r\nHost: n\r\nX: {}\r\n\r\n", "y".repeat(20_000));
    let (head, _) = node.call_raw(&long);
    assert!(head.is_empty() || head.starts_with("HTTP/1.1 431"), "{head}");
    assert!(node.call_raw("\r\n\r\nnonsense\r\n\r\n").0.starts_with("HTTP/1.1 400"));
    assert_eq!(node.call("GET", "/api/ready", "").0, 200);
}

/// Operators must reach a node whose clients use every descriptor: the admin listener has its own. A
/// configuration that leaves none for it is refused.
#[test]
fn calls_are_answered_while_clients_hold_every_descriptor_reserved_for_clients() {
    let (arrived, arrivals) = channel();
    let arrived = Mutex::new(arrived);
    let server = serve(command, move |_| {
        let _ = arrived.lock().unwrap().send(());
        Reaction::Silence
    });
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let mut command = node_command("fulldoor", discovery.address, 64, "ulimit -n 64;");
    command.env("ROUTER_OPERATOR", "127.0.0.1:0");
    let node = Node::run(command, &discovery);
    let mut waiting_clients: Vec<Client> = Vec::new();
    for i in 0..60 {
        let mut client = node.client();
        client.send(&["CACHE.GET", &format!("k{i}"), &format!("i{i}"), "c=read,t=acme,d=19000"]);
        waiting_clients.push(client);
    }
    // The requests that fit are open at the server; the others wait.
    arrivals.recv_timeout(HUNG).unwrap();
    for _ in 0..5 {
        assert_eq!(node.call("GET", "/api/ready", "").0, 200);
        assert!(node.figure("edge_router_pending") <= 60);
    }
    let mut few = node_command("fewsockets", discovery.address, 40, "");
    let output = few.env("ROUTER_OPERATOR", "127.0.0.1:0").output().unwrap();
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.contains("40 are too few for a node with an admin listener"), "{message}");
}

/// A node must not run without the admin listener that its settings ask for.
#[test]
fn an_admin_listener_that_cannot_be_bound_is_a_clear_error_and_an_exit() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery = Discovery::start("");
    for at in [taken.local_addr().unwrap().to_string(), "nowhere".into()] {
        let mut command = node_command("nodoor", discovery.address, 1024, "");
        let output = command.env("ROUTER_OPERATOR", &at).output().unwrap();
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && message.contains(&at) && message.contains("operator"),
            "{message}"
        );
    }
}

/// A newer server list must not cancel an operator's drain; one call to include the server does.
#[test]
fn a_server_drained_by_an_operator_gets_no_requests_whatever_the_list_says_and_returns_after_one_call() {
    let ((one, keys_at_one), (two, _keys_at_two)) = (recording_server("one"), recording_server("two"));
    let members = |phase| [member("s-1", one, "m", phase), member("s-2", two, "m", "ready")].join(",");
    let discovery = Discovery::start(&members("ready"));
    let node = start("hand", &discovery);
    let mut client = node.client();
    let mut reads = 0;
    let mut read = |i| {
        reads += 1;
        read(&mut client, i)
    };
    assert!((0..50).any(|i| read(i) == "$one"), "no key belongs to the first server");
    assert_eq!(node.figure("edge_router_members_unavailable"), 0);
    for _ in 0..2 {
        assert_eq!(node.call("POST", "/api/exclude", "s-1\n").0, 200);
    }
    keys_at_one.try_iter().count();
    assert!((50..100).all(|i| read(i) == "$two"));
    // Listed again, removed and added back: the drain by the operator takes precedence.
    let lists = [members("ready"), member("s-2", two, "m", "ready"), members("draining"), members("ready")];
    for (i, list) in lists.iter().enumerate() {
        discovery.change(2 + i as u64, list);
        discovery.watched_after(2 + i as u64);
        assert!((0..20).all(|k| read(1000 * (i + 1) + k) == "$two"), "list {i}");
    }
    assert_eq!(keys_at_one.try_iter().count(), 0, "a request went to a drained server");
    assert_eq!(node.figure("edge_router_members"), 2);
    assert_eq!(node.figure("edge_router_members_unavailable"), 1);
    assert_eq!(node.call("POST", "/api/include", "s-1").0, 200);
    assert_eq!(node.figure("edge_router_members_unavailable"), 0);
    let served = (0..2000).any(|i| {
        thread::sleep(QUOTA_INTERVAL);
        read(10_000 + i) == "$one"
    });
    assert!(served, "the returned server is cold and must still get a share of its keys");
    let ended: u64 = node.figure("edge_router_downstream_requests_total{lane=\"read\",result=\"completed\"}");
    let attempts = node.figure("edge_router_upstream_requests_total");
    // The number of requests until the first one that it served is random.
    assert!(ended == reads && attempts >= ended, "{reads} {ended} {attempts}");
    assert_eq!(node.figure("edge_router_pending"), 0);
}

/// With no server left the request must be refused at once with a retry delay, and sent nowhere.
#[test]
fn with_all_servers_drained_the_client_gets_a_retry_delay() {
    let (one, keys_at_one) = recording_server("one");
    let node = start("allout", &Discovery::start(&member("s-1", one, "m", "ready")));
    assert_eq!(node.call("POST", "/api/exclude", "s-1").0, 200);
    let answer = read(&mut node.client(), 1);
    assert!(answer.starts_with("-BUSY "), "{answer}");
    assert_eq!(keys_at_one.try_iter().count(), 0);
    let rejected = "edge_router_downstream_requests_total{lane=\"read\",result=\"rejected\"}";
    assert_eq!(node.figure(rejected), 1);
}

/// Evacuating a node must lose no request: clients that still arrive are served, and each connection is
/// closed between two requests or after its answer.
#[test]
fn an_evacuated_node_reports_not_ready_answers_open_requests_closes_connections_and_rejoins() {
    let (permit, permits) = channel::<()>();
    let permits = Mutex::new(permits);
    let (start_sender, starts) = channel();
    let start_sender = Mutex::new(start_sender);
    let server = serve(command, move |request| {
        if request[1] == "held" {
            start_sender.lock().unwrap().send(()).unwrap();
            let _ = permits.lock().unwrap().recv();
        }
        array(&request[2])
    });
    let node = start("empty", &Discovery::start(&member("s-1", server, "m", "ready")));
    let (mut idle, mut busy, mut fresh) = (node.client(), node.client(), node.client());
    assert_eq!(read(&mut idle, 1), "$i1");
    busy.send(&["CACHE.GET", "held", "h1", "c=read,t=acme,d=9000"]);
    starts.recv_timeout(HUNG).unwrap();
    assert_eq!(node.call("POST", "/api/evacuate", "").0, 200);
    assert_eq!(node.call("POST", "/api/evacuate", "").0, 200, "a repeated call succeeds");
    assert_eq!(node.call("GET", "/api/ready", "").0, 503);
    // A load balancer in front of the node still sends requests for a while: they are served.
    assert_eq!(fresh.ask(&["PING"]), "-ERR not ready: emptied by hand");
    assert_eq!(read(&mut node.client(), 2), "$i2");
    assert_eq!(read(&mut fresh, 3), "$i3");
    // Then connections are closed: idle ones at once, a busy one after its answer.
    assert_eq!((idle.answer(), fresh.answer()), ("end".into(), "end".into()));
    assert_eq!(node.figure("edge_router_pending"), 1);
    permit.send(()).unwrap();
    assert_eq!((busy.answer(), busy.answer()), ("$h1".into(), "end".into()));
    // Readiness checks are still answered.
    let mut checker = node.client();
    assert_eq!(checker.ask(&["PING"]), "-ERR not ready: emptied by hand");
    assert_eq!(node.call("POST", "/api/rejoin", "").0, 200);
    assert_eq!(node.call("GET", "/api/ready", "").0, 200);
    let mut back = node.client();
    assert_eq!(back.ask(&["PING"]), "+PONG");
    assert_eq!(read(&mut back, 4), "$i4");
}

/// A client that pipelines is never idle: evacuation must close its connection as well, after the answer to
/// each request that was read.
#[test]
fn a_client_that_always_has_a_request_open_is_closed_too_and_loses_no_answer() {
    let server = serve(command, |request| array(&request[2]));
    let node = start("pipelined", &Discovery::start(&member("s-1", server, "m", "ready")));
    let mut client = node.client();
    let ask = |client: &mut Client, i: usize| {
        client.send(&["CACHE.GET", &format!("k{}", i % 9), &format!("i{i}"), "c=read,t=acme,d=9000"]);
    };
    (0..4).for_each(|i| ask(&mut client, i));
    assert_eq!(node.call("POST", "/api/evacuate", "").0, 200);
    let (mut sent, mut answered) = (4, 0);
    loop {
        match client.answer().as_str() {
            "end" => break,
            // The tenant exceeds its quota.
            busy if busy.starts_with("-BUSY ") => {}
            // In order and without gaps: requests without an answer at the close were not read.
            answer => assert_eq!(answer, format!("$i{answered}")),
        }
        answered += 1;
        if client.try_send(&["CACHE.GET", "k", &format!("i{sent}"), "c=read,t=acme,d=9000"]) {
            sent += 1;
        }
    }
    assert!(answered > 4 && sent - answered <= 5, "{answered} of {sent}");
}

/// Operators must get an answer within one second while the node is under load: eight clients each keep 32
/// requests open, and silent callers hold connections to the admin listener. `CALLS=2000` with `--release`
/// takes the measurement that the operators' page gives.
#[test]
fn calls_are_answered_in_time_however_busy_the_node_is() {
    use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
    let calls: usize = std::env::var("CALLS").ok().and_then(|n| n.parse().ok()).unwrap_or(100);
    let server = serve(command, |request| array(&request[2]));
    let node = start("busydoor", &Discovery::start(&member("s-1", server, "m", "ready")));
    let (stop, answered_count) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..8)
        .map(|c| {
            let (mut client, stop, answered_count) = (node.client(), stop.clone(), answered_count.clone());
            std::thread::spawn(move || {
                let mut next = 0;
                let mut send = |client: &mut Client| {
                    next += 1;
                    client.send(&["CACHE.GET", "k", &format!("c{c}n{next}"), "c=read,t=acme,d=9000"]);
                };
                (0..32).for_each(|_| send(&mut client));
                while !stop.load(Relaxed) {
                    client.answer();
                    answered_count.fetch_add(1, Relaxed);
                    send(&mut client);
                }
            })
        })
        .collect();
    let _silent: Vec<_> = (0..8).map(|_| TcpStream::connect(node.operator.unwrap()).unwrap()).collect();
    let started_at = std::time::Instant::now();
    let mut durations: Vec<_> = (0..calls)
        .map(|i| {
            let path = if i % 2 == 0 { "/api/telemetry" } else { "/api/ready" };
            let sent_at = std::time::Instant::now();
            assert_eq!(node.call("GET", path, "").0, 200);
            sent_at.elapsed()
        })
        .collect();
    let rate = answered_count.load(Relaxed) as f64 / started_at.elapsed().as_secs_f64();
    stop.store(true, Relaxed);
    clients.into_iter().for_each(|c| c.join().unwrap());
    durations.sort();
    let longest = durations[durations.len() - 1];
    println!(
        "{calls} calls beside {rate:.0} requests a second: median {:?}, longest {longest:?}",
        durations[durations.len() / 2]
    );
    assert!(longest < std::time::Duration::from_secs(1), "{longest:?}");
}
