//! What staff ask of a running node, over loopback sockets: the door, the figures, boxes out by hand, an emptied node.
#![allow(missing_docs)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use mothpier_world::loopback::*;

/// Between two requests of a tenant that may send a thousand a second.
const PACE_OF_THE_QUOTA: Duration = Duration::from_millis(1);

fn start(name: &str, discovery: &Discovery) -> Node {
    let mut command = node_command(name, discovery.address, 1024, "");
    command.env("ROUTER_OPERATOR", "127.0.0.1:0");
    Node::run(command, discovery)
}

/// A cache server that tells the test the key of each command.
fn telling(value: &'static str) -> (SocketAddr, Receiver<String>) {
    let (tell, told) = channel();
    let tell = Arc::new(Mutex::new(tell));
    let server = serve(command, move |asked| {
        tell.lock().unwrap().send(asked[1].clone()).unwrap_or_default();
        array(value)
    });
    (server, told)
}

fn read(client: &mut Client, i: usize) -> String {
    client.ask(&["CACHE.GET", &format!("k{i}"), &format!("i{i}"), "c=read,t=acme,d=9000"])
}

#[test]
fn what_is_wrong_with_a_call_is_said_and_silent_callers_hold_up_nobody() {
    let (server, _told) = telling("v");
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let node = start("door", &discovery);
    assert_eq!(node.call("GET", "/api/ready", ""), (200, "ready\n".into()));
    // More callers than are let in, silent or in the midst of a head, and a call is still answered.
    let mut silent: Vec<TcpStream> = Vec::new();
    for i in 0..40 {
        let mut stream = TcpStream::connect(node.operator.unwrap()).unwrap();
        if i % 2 == 0 {
            stream.write_all(b"POST /api/evac").unwrap();
        }
        silent.push(stream);
        assert_eq!(node.call("GET", "/api/ready", "").0, 200, "{i}");
    }
    // The oldest have been closed to make room.
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
        let (said, text) = node.call(method, path, body);
        assert_eq!((said, text.is_empty()), (status, false), "{method} {path} {body:.9}: {text}");
    }
    let (head, _) = node.call_raw("DELETE /api/rejoin HTTP/1.1\r\nHost: n\r\n\r\n");
    assert!(head.to_lowercase().contains("\r\nallow: post"), "{head}");
    let long = format!("GET /api/ready HTTP/1.1\r\nHost: n\r\nX: {}\r\n\r\n", "y".repeat(20_000));
    let (head, _) = node.call_raw(&long);
    assert!(head.is_empty() || head.starts_with("HTTP/1.1 431"), "{head}");
    assert!(node.call_raw("\r\n\r\nnonsense\r\n\r\n").0.starts_with("HTTP/1.1 400"));
    assert_eq!(node.call("GET", "/api/ready", "").0, 200);
}

#[test]
fn calls_are_answered_while_clients_hold_every_descriptor_that_is_theirs() {
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
    let mut held: Vec<Client> = Vec::new();
    for i in 0..60 {
        let mut client = node.client();
        client.send(&["CACHE.GET", &format!("k{i}"), &format!("i{i}"), "c=read,t=acme,d=19000"]);
        held.push(client);
    }
    // As many as there is room for are being asked for at the server, or wait.
    arrivals.recv_timeout(HUNG).unwrap();
    for _ in 0..5 {
        assert_eq!(node.call("GET", "/api/ready", "").0, 200);
        assert!(node.figure("edge_router_pending") <= 60);
    }
    let mut few = node_command("fewsockets", discovery.address, 40, "");
    let output = few.env("ROUTER_OPERATOR", "127.0.0.1:0").output().unwrap();
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(said.contains("40 are too few for a node with an admin listener"), "{said}");
}

#[test]
fn a_door_that_cannot_be_bound_is_a_clear_error_and_an_exit() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let discovery = Discovery::start("");
    for at in [taken.local_addr().unwrap().to_string(), "nowhere".into()] {
        let mut command = node_command("nodoor", discovery.address, 1024, "");
        let output = command.env("ROUTER_OPERATOR", &at).output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && said.contains(&at) && said.contains("operator"), "{said}");
    }
}

#[test]
fn a_server_out_by_hand_gets_nothing_whatever_the_list_says_and_serves_again_after_one_call() {
    let ((one, to_one), (two, _to_two)) = (telling("one"), telling("two"));
    let members = |phase| [member("s-1", one, "m", phase), member("s-2", two, "m", "ready")].join(",");
    let discovery = Discovery::start(&members("ready"));
    let node = start("hand", &discovery);
    let mut client = node.client();
    let mut reads = 0;
    let mut read = |i| {
        reads += 1;
        read(&mut client, i)
    };
    assert!((0..50).any(|i| read(i) == "$one"), "no key belongs to the first");
    assert_eq!(node.figure("edge_router_members_unavailable"), 0);
    for _ in 0..2 {
        assert_eq!(node.call("POST", "/api/exclude", "s-1\n").0, 200);
    }
    to_one.try_iter().count();
    assert!((50..100).all(|i| read(i) == "$two"));
    // Listed anew, gone and back: the hand has the last word.
    let lists = [members("ready"), member("s-2", two, "m", "ready"), members("draining"), members("ready")];
    for (i, list) in lists.iter().enumerate() {
        discovery.change(2 + i as u64, list);
        discovery.watched_after(2 + i as u64);
        assert!((0..20).all(|k| read(1000 * (i + 1) + k) == "$two"), "list {i}");
    }
    assert_eq!(to_one.try_iter().count(), 0, "something went to a server that is out");
    assert_eq!(node.figure("edge_router_members"), 2);
    assert_eq!(node.figure("edge_router_members_unavailable"), 1);
    assert_eq!(node.call("POST", "/api/include", "s-1").0, 200);
    assert_eq!(node.figure("edge_router_members_unavailable"), 0);
    let served = (0..2000).any(|i| {
        thread::sleep(PACE_OF_THE_QUOTA);
        read(10_000 + i) == "$one"
    });
    assert!(served, "it came back cold and gets a part of its keys");
    let ended: u64 = node.figure("edge_router_downstream_requests_total{lane=\"read\",result=\"completed\"}");
    let attempts = node.figure("edge_router_upstream_requests_total");
    // How many it took until the first one served is chance.
    assert!(ended == reads && attempts >= ended, "{reads} {ended} {attempts}");
    assert_eq!(node.figure("edge_router_pending"), 0);
}

#[test]
fn with_all_servers_out_the_client_is_told_when_to_come_back() {
    let (one, told) = telling("one");
    let node = start("allout", &Discovery::start(&member("s-1", one, "m", "ready")));
    assert_eq!(node.call("POST", "/api/exclude", "s-1").0, 200);
    let answer = read(&mut node.client(), 1);
    assert!(answer.starts_with("-BUSY "), "{answer}");
    assert_eq!(told.try_iter().count(), 0);
    let rejected = "edge_router_downstream_requests_total{lane=\"read\",result=\"rejected\"}";
    assert_eq!(node.figure(rejected), 1);
}

#[test]
fn an_emptied_node_says_no_answers_what_it_took_closes_and_comes_back() {
    let (go, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let (began, begun) = channel();
    let began = Mutex::new(began);
    let server = serve(command, move |asked| {
        if asked[1] == "held" {
            began.lock().unwrap().send(()).unwrap();
            let _ = wait.lock().unwrap().recv();
        }
        array(&asked[2])
    });
    let node = start("empty", &Discovery::start(&member("s-1", server, "m", "ready")));
    let (mut idle, mut busy, mut fresh) = (node.client(), node.client(), node.client());
    assert_eq!(read(&mut idle, 1), "$i1");
    busy.send(&["CACHE.GET", "held", "h1", "c=read,t=acme,d=9000"]);
    begun.recv_timeout(HUNG).unwrap();
    assert_eq!(node.call("POST", "/api/evacuate", "").0, 200);
    assert_eq!(node.call("POST", "/api/evacuate", "").0, 200, "twice is once");
    assert_eq!(node.call("GET", "/api/ready", "").0, 503);
    // A front still sends for a while: what comes is served.
    assert_eq!(fresh.ask(&["PING"]), "-ERR not ready: emptied by hand");
    assert_eq!(read(&mut node.client(), 2), "$i2");
    assert_eq!(read(&mut fresh, 3), "$i3");
    // Then connections close: idle ones at once, a busy one behind its answer.
    assert_eq!((idle.answer(), fresh.answer()), ("end".into(), "end".into()));
    assert_eq!(node.figure("edge_router_pending"), 1);
    go.send(()).unwrap();
    assert_eq!((busy.answer(), busy.answer()), ("$h1".into(), "end".into()));
    // Whoever asks whether it is back is answered.
    let mut front = node.client();
    assert_eq!(front.ask(&["PING"]), "-ERR not ready: emptied by hand");
    assert_eq!(node.call("POST", "/api/rejoin", "").0, 200);
    assert_eq!(node.call("GET", "/api/ready", "").0, 200);
    let mut back = node.client();
    assert_eq!(back.ask(&["PING"]), "+PONG");
    assert_eq!(read(&mut back, 4), "$i4");
}

#[test]
fn a_client_that_is_never_between_two_requests_is_closed_too_and_loses_no_answer() {
    let server = serve(command, |asked| array(&asked[2]));
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
            // The tenant sends more than its part.
            busy if busy.starts_with("-BUSY ") => {}
            // In order, none left out: what is not answered when it closes was not read.
            answer => assert_eq!(answer, format!("$i{answered}")),
        }
        answered += 1;
        if client.try_send(&["CACHE.GET", "k", &format!("i{sent}"), "c=read,t=acme,d=9000"]) {
            sent += 1;
        }
    }
    assert!(answered > 4 && sent - answered <= 5, "{answered} of {sent}");
}

/// The page's limit is a second. Clients here ask as fast as they are answered, 32 requests ahead each, beside callers that
/// say nothing. `CALLS=2000` with `--release` makes it the measurement of the operators' page.
#[test]
fn calls_are_answered_in_time_however_busy_the_node_is() {
    use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
    let calls: usize = std::env::var("CALLS").ok().and_then(|n| n.parse().ok()).unwrap_or(100);
    let server = serve(command, |asked| array(&asked[2]));
    let node = start("busydoor", &Discovery::start(&member("s-1", server, "m", "ready")));
    let (stop, done) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..8)
        .map(|c| {
            let (mut client, stop, done) = (node.client(), stop.clone(), done.clone());
            std::thread::spawn(move || {
                let mut next = 0;
                let mut send = |client: &mut Client| {
                    next += 1;
                    client.send(&["CACHE.GET", "k", &format!("c{c}n{next}"), "c=read,t=acme,d=9000"]);
                };
                (0..32).for_each(|_| send(&mut client));
                while !stop.load(Relaxed) {
                    client.answer();
                    done.fetch_add(1, Relaxed);
                    send(&mut client);
                }
            })
        })
        .collect();
    let _silent: Vec<_> = (0..8).map(|_| TcpStream::connect(node.operator.unwrap()).unwrap()).collect();
    let began = std::time::Instant::now();
    let mut took: Vec<_> = (0..calls)
        .map(|i| {
            let path = if i % 2 == 0 { "/api/telemetry" } else { "/api/ready" };
            let asked = std::time::Instant::now();
            assert_eq!(node.call("GET", path, "").0, 200);
            asked.elapsed()
        })
        .collect();
    let rate = done.load(Relaxed) as f64 / began.elapsed().as_secs_f64();
    stop.store(true, Relaxed);
    clients.into_iter().for_each(|c| c.join().unwrap());
    took.sort();
    let last = took[took.len() - 1];
    println!(
        "{calls} calls beside {rate:.0} requests a second: median {:?}, longest {last:?}",
        took[took.len() / 2]
    );
    assert!(last < std::time::Duration::from_secs(1), "{last:?}");
}
