//! The node as a process, over loopback sockets: faults that could lose a request, repeat an effect or end
//! the node.
#![allow(missing_docs)]

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};

use mothpier_world::loopback::*;

/// Returns a handler that passes each request of a stand-in server on to the test.
fn recorder(requests: std::sync::mpsc::Sender<Vec<String>>) -> impl Fn(&[String]) + Send + Sync + Clone {
    let requests = std::sync::Arc::new(Mutex::new(requests));
    move |request| requests.lock().unwrap().send(request.to_vec()).unwrap_or_default()
}

/// Starts a cache server that answers one command for each permit that the test sends. Returns its address,
/// the commands that it received and the sender of permits.
fn gated_server(
    value: impl Fn(&[String]) -> String + Send + Sync + 'static,
) -> (SocketAddr, Receiver<Vec<String>>, Sender<()>) {
    let (command_sender, commands) = channel();
    let (permit, permits) = channel::<()>();
    let (record_command, permits) = (recorder(command_sender), Mutex::new(permits));
    let server = serve(command, move |request| {
        record_command(request);
        let _ = permits.lock().unwrap().recv();
        array(&value(request))
    });
    (server, commands, permit)
}

/// Each attempt carries the time that is left of the deadline (`d=`) and every other field as the client sent
/// it. A write goes to the origin alone.
#[test]
fn a_miss_is_fetched_and_forwarded_unchanged_but_for_the_remaining_time() {
    let (command_sender, commands) = channel();
    let (call_sender, calls) = channel();
    let (record_command, record_call) = (recorder(command_sender), recorder(call_sender));
    let server = serve(command, move |request| {
        record_command(request);
        miss()
    });
    let origin = serve(call, move |request| {
        record_call(request);
        http("200 OK", "value")
    });
    let members = [member("s-1", server, "m", "ready"), member("o-1", origin, "origin", "ready")].join(",");
    let node = Node::start("miss", &Discovery::start(&members));
    let mut client = node.client();
    assert_eq!(client.ask(&["CACHE.GET", "7f3a9c21e0b4d655", "9b1f", "c=read,t=acme,d=9000,x=y"]), "$value");
    let request = commands.recv_timeout(HUNG).unwrap();
    assert_eq!(request[..3], ["CACHE.GET", "7f3a9c21e0b4d655", "9b1f"]);
    // Returns the remaining milliseconds, and checks that the other fields keep their values and order.
    let remaining = |extras: &str| -> u32 {
        let (milliseconds, rest) = extras.strip_prefix("c=read,t=acme,d=").unwrap().split_once(',').unwrap();
        assert_eq!(rest, "x=y");
        milliseconds.parse().unwrap()
    };
    let remaining_before_cache = remaining(&request[3]);
    assert!((1..=9000).contains(&remaining_before_cache), "{remaining_before_cache}");
    let origin_call = calls.recv_timeout(HUNG).unwrap();
    assert_eq!(origin_call[0], "GET /7f3a9c21e0b4d655 HTTP/1.1");
    assert!(origin_call.contains(&"x-request-id: 9b1f".to_owned()), "{origin_call:?}");
    let extras = origin_call.iter().find_map(|line| line.strip_prefix("x-extras: ")).unwrap();
    assert!(
        (1..=remaining_before_cache).contains(&remaining(extras)),
        "{extras}, {remaining_before_cache} ms were left for the cache attempt"
    );
    assert_eq!(client.ask(&["CACHE.SET", "k1", "a2", "c=once,t=acme,d=9000,k=77", "new"]), "$value");
    let write = calls.recv_timeout(HUNG).unwrap();
    assert_eq!((write[0].as_str(), write.last().unwrap().as_str()), ("PUT /k1 HTTP/1.1", "new"));
    assert!(commands.try_recv().is_err(), "a write went to a cache server");
}

/// Guards against lost, doubled or swapped answers when commands arrive in one batch, cut at arbitrary bytes.
#[test]
fn pipelined_commands_get_one_answer_each_in_order() {
    let server = serve(command, |request| array(&request[2]));
    let node = Node::start("pipeline", &Discovery::start(&member("s-1", server, "m", "ready")));
    let mut client = node.client();
    // Four at once: what the policy sends to a server before its first answer.
    for batch in 0..40 {
        let mut all = String::new();
        for i in batch * 4..batch * 4 + 4 {
            let (key, id) = (format!("key{}", i % 7), format!("id{i}"));
            let (k, i) = (key.len(), id.len());
            all += &format!("*4\r\n$9\r\nCACHE.GET\r\n${k}\r\n{key}\r\n${i}\r\n{id}\r\n");
            all += "$20\r\nc=read,t=acme,d=9000\r\n";
        }
        // Cut at arbitrary bytes, as on a network.
        all.as_bytes().chunks(97).for_each(|part| client.write(part));
        for i in batch * 4..batch * 4 + 4 {
            assert_eq!(client.answer(), format!("$id{i}"));
        }
    }
    assert_eq!(client.ask(&["PING"]), "+PONG", "an extra answer came");
}

/// After a reset it is unknown whether the write ran, so a retry could apply it twice.
#[test]
fn a_write_is_not_retried_after_a_connection_reset() {
    let (call_sender, calls) = channel();
    let record_call = recorder(call_sender);
    let origin = serve(call, move |request| {
        record_call(request);
        if request[0].starts_with("GET /warm") { http("200 OK", "v") } else { Reaction::Reset }
    });
    let server = serve(command, |_| miss());
    let members = [member("s-1", server, "m", "ready"), member("o-1", origin, "origin", "ready")].join(",");
    let node = Node::start("reset", &Discovery::start(&members));
    let mut client = node.client();
    // The first write goes over a reused connection, where an HTTP library may take the reset for a stale
    // connection and retry by itself.
    assert_eq!(client.ask(&["CACHE.GET", "warm", "r0", "c=read,t=acme,d=9000"]), "$v");
    for id in ["w1", "w2"] {
        assert_eq!(client.ask(&["CACHE.SET", "k", id, "c=once,t=acme,d=9000,k=5", "v"]), "-ERR failed");
    }
    let all: Vec<_> = calls.try_iter().map(|c| c[0].clone()).collect();
    assert_eq!(all, ["GET /warm HTTP/1.1", "PUT /k HTTP/1.1", "PUT /k HTTP/1.1"]);
}

/// The origin marks its 503 with `X-Not-Run`: the client must get a retry delay, not a plain failure.
#[test]
fn a_request_that_never_ran_is_refused_with_a_retry_delay() {
    let origin = serve(call, |_| {
        Reaction::Answer(b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_vec())
    });
    let node = Node::start("refused", &Discovery::start(&member("o-1", origin, "origin", "ready")));
    let answer = node.client().ask(&["CACHE.SET", "k", "w1", "c=once,t=acme,d=9000", "v"]);
    let retry_after = answer.strip_prefix("-BUSY ").unwrap_or_else(|| panic!("{answer}"));
    assert!((1..=600).contains(&retry_after.parse::<u32>().unwrap()), "{retry_after}");
}

/// One unreadable entry of a server list must not discard the others: the drain and the servers that they
/// name take effect.
#[test]
fn unreadable_list_entries_do_not_discard_the_readable_ones() {
    let (command_sender, commands) = channel();
    let record_command = recorder(command_sender);
    let [one, two, three] = ["one", "two", "three"].map(|name| {
        let record_command = record_command.clone();
        serve(command, move |request| {
            record_command(&[name.to_owned(), request[2].clone()]);
            array(name)
        })
    });
    let ready = |id, at| member(id, at, "m", "ready");
    let discovery = Discovery::start(&[ready("s-1", one), ready("s-2", two), ready("s-3", three)].join(","));
    let node = Node::start("lines", &discovery);
    let mut client = node.client();
    let mut ask =
        |i: u32| client.ask(&["CACHE.GET", &format!("k{i}"), &format!("i{i}"), "c=read,t=acme,d=9000"]);
    (0..60).for_each(|i| assert!(ask(i).starts_with('$')));
    let count_for =
        |name: &str, commands: &Receiver<Vec<String>>| commands.try_iter().filter(|c| c[0] == name).count();
    assert!(count_for("one", &commands) > 0, "no key belongs to the first server");
    let odd = ready("s-2", two).replace("\"cell\":0", "\"cell\":\"none\"");
    let lines = ["7", "null", "{}", r#"{"id":4,"phase":"ready"}"#, r#"{"phase":"ready"}"#].join(",");
    discovery.change(2, &[lines, member("s-1", one, "m", "draining"), odd, ready("s-3", three)].join(","));
    discovery.watched_after(2);
    node.logged("the list's line of \"s-2\" can't be read");
    (60..120).for_each(|i| assert_eq!(ask(i), "$three"));
    assert!(commands.try_iter().all(|c| c[0] == "three"));
}

/// Once the list marks a server as draining, requests for its keys go to another server.
#[test]
fn a_draining_server_gets_no_new_requests() {
    let (command_sender, commands) = channel();
    let record_drained = recorder(command_sender);
    let one = serve(command, move |request| {
        record_drained(request);
        array("one")
    });
    let two = serve(command, |_| array("two"));
    let members = |phase| [member("s-1", one, "m", phase), member("s-2", two, "m", "ready")].join(",");
    let discovery = Discovery::start(&members("ready"));
    let node = Node::start("drain", &discovery);
    let mut client = node.client();
    let mut ask =
        |i: u32| client.ask(&["CACHE.GET", &format!("k{i}"), &format!("i{i}"), "c=read,t=acme,d=9000"]);
    assert!((0..50).map(&mut ask).any(|a| a == "$one"), "no key belongs to the first server");
    discovery.change(2, &members("draining"));
    discovery.watched_after(2);
    let before = commands.try_iter().count();
    assert!(before > 0);
    assert!((50..100).map(&mut ask).all(|a| a == "$two"));
    assert_eq!(commands.try_iter().count(), 0);
}

/// A server that never answers one command costs that request alone: later requests to the server get their
/// own answers.
#[test]
fn an_abandoned_attempt_does_not_break_others_and_a_hung_server_costs_one_refusal() {
    let server =
        serve(command, |request| if request[1] == "hung" { Reaction::Silence } else { array(&request[2]) });
    let node = Node::start("hung", &Discovery::start(&member("s-1", server, "m", "ready")));
    let mut client = node.client();
    client.send(&["CACHE.GET", "hung", "i1", "c=brief,t=acme,d=300"]);
    let mut other = node.client();
    assert_eq!(other.ask(&["CACHE.GET", "good", "i2", "c=read,t=acme,d=9000"]), "$i2");
    assert!(client.answer().starts_with("-BUSY"));
    assert_eq!(other.ask(&["CACHE.GET", "good", "i3", "c=read,t=acme,d=9000"]), "$i3");
}

/// A server that answers in another protocol must not end the node or the client connection.
#[test]
fn garbage_from_a_server_closes_only_its_connection() {
    let bad = serve(command, |_| Reaction::Answer(b"HTTP/1.1 400 what\r\n\r\n".to_vec()));
    let node = Node::start("garbage", &Discovery::start(&member("s-1", bad, "m", "ready")));
    let mut client = node.client();
    for i in ["1", "2"] {
        let answer = client.ask(&["CACHE.GET", "k", i, "c=brief,t=acme,d=300"]);
        assert!(answer.starts_with('-'), "{answer}");
    }
    assert_eq!(client.ask(&["PING"]), "+PONG");
}

/// Invalid commands get an error on a connection that stays open; bytes outside the protocol get an error and
/// a close. Neither affects other clients.
#[test]
fn bad_client_input_gets_an_error_and_closes_at_most_its_connection() {
    let node = Node::start("input", &Discovery::start(""));
    let mut client = node.client();
    for arguments in [
        &["NO.SUCH", "k"][..],
        &["CACHE.GET", "k", "i", "c=nothing,t=acme,d=9"],
        &["CACHE.GET", "k", "i", "c=read,t=nobody,d=9"],
        &["CACHE.GET", "k", "i", "c=read,t=acme,d=soon"],
        &["CACHE.GET", "k", "i", "c=read,t=acme\r\nX: y"],
        &["CACHE.GET", "k"],
        &["CACHE.SET", "k", "i", "c=once,t=acme,d=9"],
    ] {
        assert!(client.ask(arguments).starts_with("-ERR"), "{arguments:?}");
    }
    assert_eq!(client.ask(&["ping"]), "+PONG");
    for bytes in [
        "GET / HTTP/1.1\r\n\r\n".to_owned(),
        "*5\r\n$70000\r\n".into(),
        "*1\r\n".repeat(1000),
        "+OK\r\n".into(),
    ] {
        let mut client = node.client();
        client.write(&bytes);
        assert!(client.answer().starts_with("-ERR"), "{bytes:.20}");
        assert_eq!(client.answer(), "end", "{bytes:.20}");
    }
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
}

/// An invalid or missing configuration file ends the start with one line on standard error, not with a panic.
#[test]
fn a_bad_configuration_is_reported_in_one_line() {
    let nowhere = unused_address();
    let mut command = node_command("config", nowhere, 3, "");
    let output = command.stderr(Stdio::piped()).spawn().unwrap().wait_with_output().unwrap();
    assert!(!output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stderr).lines().count(), 1);
    let output = command.env("ROUTER_CONFIG", "/nowhere").spawn().unwrap().wait_with_output().unwrap();
    assert!(!output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stderr).lines().count(), 1);
}

/// Idle connections must not keep new clients out: the node closes the longest idle one, at its own limit and
/// when the process may open no more descriptors.
#[test]
fn idle_clients_are_closed_at_the_connection_limit_and_when_descriptors_run_out() {
    for (name, sockets, before) in [("limit", 64, ""), ("emfile", 1024, "ulimit -n 40;")] {
        let mut node = Node::start_with(name, &Discovery::start(""), sockets, before);
        let mut clients: Vec<Client> = Vec::new();
        for _ in 0..120 {
            let mut client = node.client();
            assert_eq!(client.ask(&["PING"]), "+PONG", "{name}: {} clients before it", clients.len());
            clients.push(client);
        }
        assert_eq!(clients[0].answer(), "end", "{name}: the longest idle connection is closed");
        assert!(node.child.try_wait().unwrap().is_none());
    }
}

/// A shutdown must not lose a request: open ones are answered, new clients are served for a while, idle
/// connections close.
#[test]
fn sigterm_lets_accepted_requests_finish() {
    let (server, commands, permit) = gated_server(|_| "late".into());
    let mut node = Node::start("sigterm", &Discovery::start(&member("s-1", server, "m", "ready")));
    let (mut idle, mut client) = (node.client(), node.client());
    assert_eq!(idle.ask(&["PING"]), "+PONG");
    client.send(&["CACHE.GET", "k", "i1", "c=read,t=acme,d=9000"]);
    commands.recv_timeout(HUNG).unwrap();
    node.signal("TERM");
    // New clients are still accepted for a while.
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
    assert_eq!(idle.answer(), "end", "closed between requests");
    permit.send(()).unwrap();
    assert_eq!(client.answer(), "$late");
    assert_eq!(client.answer(), "end");
    assert!(node.ended().success());
}

/// A discovery service that accepts and never answers: the call times out and the node connects again.
#[test]
fn a_silent_discovery_service_does_not_hang_the_watch() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut child = node_command("silent", address, 1024, "").stderr(Stdio::null()).spawn().unwrap();
    // The first connection stays open and silent: the node must open another.
    let (mut first, _) = listener.accept().unwrap();
    let _second = listener.accept().unwrap();
    let mut request = Vec::new();
    first.read_to_end(&mut request).unwrap();
    assert!(request.starts_with(b"GET /api/targets"), "expected one call to /api/targets and then a close");
    child.kill().unwrap();
    child.wait().unwrap();
}

/// Connections that send half a command and stop must not use up the connection limit.
#[test]
fn clients_with_incomplete_commands_do_not_keep_others_out() {
    let node = Node::start_with("partial", &Discovery::start(""), 64, "");
    let mut stalled_clients = Vec::new();
    for _ in 0..60 {
        let mut client = node.client();
        client.write("*4\r\n$9\r\nCACHE");
        stalled_clients.push(client);
    }
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
    let reply = stalled_clients[0].answer();
    assert!(reply == "end" || reply.starts_with("-ERR"), "{reply}");
}

/// Datagrams that are no peer messages, from a peer or an unknown address, must not end the node or stop its
/// messages.
#[test]
fn peers_get_messages_and_garbage_from_them_is_harmless() {
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    peer.set_read_timeout(Some(HUNG)).unwrap();
    let discovery = Discovery::start("");
    let mut command = node_command("peers", discovery.address, 1024, "");
    let text = config("peers", discovery.address, 1024).replace("\"balancers\":1", "\"balancers\":2");
    let peer_settings =
        format!(r#""peer_listen":"127.0.0.1:0","peers":["127.0.0.1:1","{}"],"#, peer.local_addr().unwrap());
    let path = config_path("peers");
    std::fs::write(path, text.replacen('{', &format!("{{{peer_settings}"), 1)).unwrap();
    command.stdin(Stdio::null());
    let node = Node::run(command, &discovery);
    let mut message = [0; 2000];
    let (message_length, sender) = peer.recv_from(&mut message).unwrap();
    assert!((1..=256).contains(&message_length), "{message_length}");
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    for bytes in [&[0xff; 1][..], &[0xff; 255], &[0xff; 2000], &[]] {
        peer.send_to(bytes, sender).unwrap();
        unknown_sender.send_to(bytes, sender).unwrap();
    }
    // The node still sends to the peer and serves clients.
    peer.recv_from(&mut message).unwrap();
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
}

/// The origin closes each connection after its answer: a write sent over a closed connection would fail.
#[test]
fn a_connection_closed_by_the_origin_is_not_reused() {
    let (closed, close_confirmed) = channel();
    let closed = Mutex::new(closed);
    let origin = serve(call, move |_| {
        let Reaction::Answer(bytes) = http("200 OK", "done") else { unreachable!() };
        Reaction::AnswerAndClose(bytes, Mutex::new(closed.lock().unwrap().clone()))
    });
    let node = Node::start("closed", &Discovery::start(&member("o-1", origin, "origin", "ready")));
    let mut client = node.client();
    for i in 0..20 {
        let id = format!("w{i}");
        assert_eq!(client.ask(&["CACHE.SET", "k", &id, "c=once,t=acme,d=9000,k=5", "v"]), "$done", "{id}");
        close_confirmed.recv_timeout(HUNG).unwrap();
    }
}

/// A reload takes effect at once, also during an open watch and where the new service counts revisions from 1
/// again.
#[test]
fn sighup_switches_to_the_discovery_address_of_the_file_and_a_bad_file_changes_nothing() {
    let server_names = ["old", "second", "third"];
    let [old, second, third] = server_names.map(|n| serve(command, move |_| array(n)));
    let list = |server| member("s-1", server, "m", "ready");
    // The first discovery service answers once and leaves the watch open: the node must abandon it during the
    // watch.
    let first_discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let first_address = first_discovery.local_addr().unwrap();
    let mut node_process = node_command("reload", first_address, 1024, "");
    node_process.env("ROUTER_DISCOVERY", first_address.to_string());
    let node = Node::spawn(node_process);
    let mut watch = BufReader::new(first_discovery.accept().unwrap().0);
    call(&mut watch).unwrap();
    let Reaction::Answer(answer) =
        http("200 OK", &format!(r#"{{"revision":900,"complete":true,"members":[{}]}}"#, list(old)))
    else {
        unreachable!()
    };
    watch.get_mut().write_all(&answer).unwrap();
    assert!(call(&mut watch).unwrap()[0].contains("after=900&"));
    let mut client = node.client();
    let mut ask = |id: &str| client.ask(&["CACHE.GET", "k", id, "c=read,t=acme,d=9000"]);
    assert_eq!(ask("i1"), "$old");

    let path = config_path("reload");
    std::fs::write(&path, "{\"discovery\":").unwrap();
    node.signal("HUP");
    node.logged("stays as it was");
    assert_eq!(ask("i2"), "$old");

    // Reloads in a row, to services whose revisions start again at 1.
    let mut watch_rest = Vec::new();
    for (i, server) in [second, third].into_iter().enumerate() {
        let next = Discovery::start(&list(server));
        std::fs::write(&path, config("reload", next.address, 1024)).unwrap();
        node.signal("HUP");
        node.logged(&next.address.to_string());
        next.watched_after(1);
        assert_eq!(ask(&format!("r{i}")), format!("${}", server_names[i + 1]));
        if i == 0 {
            watch.read_to_end(&mut watch_rest).unwrap();
            assert_eq!(watch_rest, b"", "the old connection is closed during the watch");
        }
    }
}

/// Two clients use one request ID: the second must not get, replace or end the first one's request.
#[test]
fn a_duplicate_of_an_open_request_id_is_an_error_and_leaves_the_first_request_unharmed() {
    let (server, commands, permit) = gated_server(|request| request[1].clone());
    let node = Node::start("ids", &Discovery::start(&member("s-1", server, "m", "ready")));
    let (mut first, mut second) = (node.client(), node.client());
    first.send(&["CACHE.GET", "mine", "i1", "c=read,t=acme,d=9000"]);
    commands.recv_timeout(HUNG).unwrap();
    assert!(second.ask(&["CACHE.GET", "other", "i1", "c=read,t=acme,d=9000"]).starts_with("-ERR"));
    permit.send(()).unwrap();
    assert_eq!(first.answer(), "$mine");
    // The ID is free again once its request has ended.
    permit.send(()).unwrap();
    assert_eq!(second.ask(&["CACHE.GET", "other", "i1", "c=read,t=acme,d=9000"]), "$other");
    assert_eq!(commands.try_iter().count(), 1, "the duplicate request was sent to a server");
}

/// Commands that a cache server could not parse are refused by the node; unusual but valid ones pass.
#[test]
fn malformed_commands_do_not_reach_a_cache_server() {
    let (command_sender, commands) = channel();
    let record_command = recorder(command_sender);
    let server = serve(command, move |request| {
        record_command(request);
        array("v")
    });
    let node = Node::start("form", &Discovery::start(&member("s-1", server, "m", "ready")));
    let mut client = node.client();
    for extras in [
        "",
        "c=read,t=acme",
        "c=read,t=acme,d=",
        "c=read,t=acme,d=1e3",
        "c=read,t=acme,d=+9",
        "c=read,t=acme,d=-9",
        "c=read,t=acme,d=inf",
        "c=read,t=acme,d=NaN",
        "c=read,t=acme,d=1.2.3",
        "c=read,t=acme,d=900,d=soon",
        "c=read,c=none,t=acme,d=900",
        "c=read,t=acme,d=900,",
        "c=read,t=acme,d=900,x",
        "c=read,t=acme,d=900,=x",
        "c=read,t=acme,d=900 ",
    ] {
        assert!(client.ask(&["CACHE.GET", "k", "i", extras]).starts_with("-ERR"), "{extras}");
    }
    assert!(client.ask(&["Cache.Get", "k", "i", "c=read,t=acme,d=900"]).starts_with("-ERR"));
    assert!(client.ask(&["CACHE.GET", "k", "", "c=read,t=acme,d=900"]).starts_with("-ERR"));
    assert_eq!(commands.try_iter().count(), 0);
    // Valid although unusual: bytes outside ASCII, an ID that is no hex, unknown fields, empty values.
    assert_eq!(
        client.ask(&["CACHE.GET", "k\n\u{e9}", "no-hex:1", "d=9000.5,x=y=z,t=acme,r=1,h=5,k=,c=read"]),
        "$v"
    );
}

/// The timeouts for silent clients and for incomplete commands must not cut off a client that waits for an
/// answer.
#[test]
fn idle_and_incomplete_connections_are_closed_but_not_while_a_request_is_open() {
    let (server, commands, permit) = gated_server(|_| "late".into());
    let node = Node::start("silence", &Discovery::start(&member("s-1", server, "m", "ready")));
    let [mut silent, mut incomplete, mut waiting, mut idle] = [0; 4].map(|_| node.client());
    incomplete.write("*4\r\n$9\r\nCACHE");
    waiting.send(&["CACHE.GET", "k", "i1", "c=read,t=acme,d=19000"]);
    waiting.write("*4\r\n$9\r\nCACHE");
    assert_eq!(idle.ask(&["PING"]), "+PONG");
    commands.recv_timeout(HUNG).unwrap();
    assert_eq!(silent.answer(), "end");
    assert!(incomplete.answer().starts_with("-ERR"));
    assert_eq!(incomplete.answer(), "end");
    // A client that sends one command and keeps its connection open is closed as well.
    assert_eq!(idle.answer(), "end");
    permit.send(()).unwrap();
    assert_eq!(waiting.answer(), "$late");
    assert!(waiting.answer().starts_with("-ERR"));
    assert_eq!(waiting.answer(), "end");
}

/// A client that pipelines without limit must not fill the memory: commands beyond a first limit are refused
/// one by one, and beyond a second limit the connection is closed.
#[test]
fn excess_pipelined_commands_are_refused_and_then_the_client_is_cut_off() {
    let node = Node::start(
        "many",
        &Discovery::start(&member("s-1", serve(command, |_| Reaction::Silence), "m", "ready")),
    );
    let ask = |count: u32| {
        let mut client = node.client();
        for i in 0..count {
            client.send(&["CACHE.GET", "k", &format!("{count}-{i}"), "c=brief,t=acme,d=300"]);
        }
        let answers: Vec<_> = (0..count).map(|_| client.answer()).take_while(|a| a != "end").collect();
        assert!(
            answers.iter().all(|a| a.starts_with("-BUSY ") || a.starts_with("-ERR protocol")),
            "{answers:?}"
        );
        answers.len()
    };
    assert_eq!(ask(400), 400);
    assert!(ask(3000) < 3000);
}

/// Accepts a connection at a cache server whose answers the test writes itself.
fn accept_with_timeout(server: &TcpListener) -> BufReader<std::net::TcpStream> {
    let (stream, _) = server.accept().unwrap();
    stream.set_read_timeout(Some(std::time::Duration::from_secs(8))).unwrap();
    BufReader::new(stream)
}

/// An answer that cannot be parsed must not be taken for a miss, nor may its connection be reused.
#[test]
fn a_malformed_answer_fails_its_attempt_and_closes_its_connection() {
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let (call_sender, calls) = channel();
    let record_call = recorder(call_sender);
    let origin = serve(call, move |request| {
        record_call(request);
        http("200 OK", "fetched")
    });
    let address = server.local_addr().unwrap();
    let members = [member("s-1", address, "m", "ready"), member("o-1", origin, "origin", "ready")].join(",");
    let node = Node::start("spoilt", &Discovery::start(&members));
    let mut client = node.client();
    for (i, malformed) in [
        "+OK\r\n",
        ":1\r\n",
        "$1\r\nv\r\n",
        "*0\r\n",
        "*1\r\n$1\r\nv\r\n",
        "*3\r\n:1\r\n$3\r\nhit\r\n$-1\r\n",
        "*3\r\n$1\r\nv\r\n:1\r\n$-1\r\n",
        "*3\r\n$3000000000\r\nxxxx",
        "\0\0noise",
        // It starts well and then stalls.
        "*3\r\n$500\r\nv\r\n$3\r\nhit\r\n$-1\r\n",
    ]
    .into_iter()
    .enumerate()
    {
        client.send(&["CACHE.GET", "k", &format!("i{i}"), "c=read,t=acme,d=19000"]);
        let mut connection = accept_with_timeout(&server);
        command(&mut connection).unwrap();
        connection.get_mut().write_all(malformed.as_bytes()).unwrap();
        assert_eq!(command(&mut connection), None, "the connection was reused after {malformed:?}");
        let answer = client.answer();
        assert!(answer.starts_with("-BUSY"), "{malformed:?}: {answer}");
    }
    assert_eq!(calls.try_iter().count(), 0, "a malformed answer was taken for a miss");
}

/// Bytes that follow a complete answer must not become the start of the answer to the next request.
#[test]
fn extra_bytes_after_a_good_answer_do_not_corrupt_the_next() {
    let good = |id: &str| format!("*3\r\n${}\r\n{id}\r\n$3\r\nhit\r\n$17\r\nlat_ms=5,busy=0.1\r\n", id.len());
    let server = serve(command, move |request| {
        let extra = match request[1].as_str() {
            "copy" => good(&request[2]),
            "half" => "*3\r\n$2\r\n".into(),
            "noise" => "*".into(),
            _ => String::new(),
        };
        // An unreadable load report does not invalidate the value.
        let answer = if request[1] == "report" {
            good(&request[2]).replace("$17\r\nlat_ms=5,busy=0.1", ":7")
        } else {
            good(&request[2])
        };
        Reaction::Answer((answer + &extra).into_bytes())
    });
    let node = Node::start("behind", &Discovery::start(&member("s-1", server, "m", "ready")));
    let mut client = node.client();
    for (i, key) in ["copy", "half", "noise", "report", "plain"].into_iter().cycle().take(25).enumerate() {
        let id = format!("{:02}", i);
        assert_eq!(client.ask(&["CACHE.GET", key, &id, "c=read,t=acme,d=9000"]), format!("${id}"), "{key}");
    }
}

/// The list gives a known server a new address: the open request is answered at the old one, the next goes to
/// the new one.
#[test]
fn a_server_that_moved_gets_no_new_requests_at_its_old_address() {
    let (old, commands, permit) = gated_server(|_| "old".into());
    let new = serve(command, |_| array("new"));
    let discovery = Discovery::start(&member("s-1", old, "m", "ready"));
    let node = Node::start("moved", &discovery);
    let mut client = node.client();
    client.send(&["CACHE.GET", "k", "i0", "c=read,t=acme,d=9000"]);
    commands.recv_timeout(HUNG).unwrap();
    discovery.change(2, &member("s-1", new, "m", "ready"));
    discovery.watched_after(2);
    permit.send(()).unwrap();
    assert_eq!(client.answer(), "$old");
    assert_eq!(client.ask(&["CACHE.GET", "k", "i1", "c=read,t=acme,d=9000"]), "$new");
}

/// Clients can hold only a limited number of connections, so idle ones must not keep others out.
#[test]
fn idle_connections_are_closed_sooner_when_many_are_open() {
    let node = Node::start_with("kept", &Discovery::start(""), 64, "");
    let started_at = std::time::Instant::now();
    let mut idle_clients = Vec::new();
    // The limit is 24.
    for _ in 0..20 {
        let mut client = node.client();
        assert_eq!(client.ask(&["PING"]), "+PONG");
        idle_clients.push(client);
    }
    // Waits for whichever is closed first: connections of the same timer tick are closed in any order.
    let (closed_answers, first_closed) = channel();
    for mut client in idle_clients {
        let closed_answers = closed_answers.clone();
        std::thread::spawn(move || closed_answers.send(client.answer()));
    }
    assert_eq!(first_closed.recv_timeout(HUNG).unwrap(), "end");
    // With few connections open, an idle one is closed after 10 s.
    assert!(started_at.elapsed().as_secs() < 8, "{:?}", started_at.elapsed());
}
