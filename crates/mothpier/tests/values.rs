//! Values of up to 4 MiB, over loopback sockets: streamed as they arrive, delivered whole or visibly
//! truncated, and never buffered for a slow client.
#![allow(missing_docs)]

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;

use mothpier_world::loopback::*;

/// Largest value that the node accepts, bytes.
const MAX_VALUE_BYTES: usize = 4 << 20;

/// Returns a value whose bytes depend on their position, so that a missing or repeated part shows.
fn value(length: usize) -> String {
    (0..length).map(|i| char::from(b'a' + (i * 7 + i / 251) as u8 % 26)).collect()
}

fn start_node(name: &str, servers: &[String]) -> Node {
    Node::start(name, &Discovery::start(&servers.join(",")))
}

fn read_command<'a>(key: &'a str, id: &'a str) -> [&'a str; 4] {
    ["CACHE.GET", key, id, "c=read,t=acme,d=19000"]
}

/// Checks streamed values for lost or repeated bytes, up to the largest size and on both sides of 64 KiB.
#[test]
fn a_large_value_arrives_whole_from_a_server_and_from_the_origin() {
    let full_value = value(MAX_VALUE_BYTES);
    let (hit, fetched) = (full_value.clone(), full_value.clone());
    let server = serve(command, move |request| match request[1].as_str() {
        "miss" => miss(),
        "small" => array("s"),
        "edge" => array(&hit[..64 * 1024]),
        "over" => array(&hit[..64 * 1024 + 1]),
        _ => array(&hit),
    });
    let origin = serve(call, move |_| http("200 OK", &fetched));
    let node =
        start_node("large", &[member("s-1", server, "m", "ready"), member("o-1", origin, "origin", "ready")]);
    let mut client = node.client();
    for (i, (key, length)) in
        [("edge", 64 * 1024), ("over", 64 * 1024 + 1), ("hit", MAX_VALUE_BYTES), ("miss", MAX_VALUE_BYTES)]
            .into_iter()
            .enumerate()
    {
        let answer = client.ask(&read_command(key, &format!("i{i}")));
        assert!(answer[1..] == full_value[..length], "{key}: {} bytes", answer.len() - 1);
        // The client's and the server's connections stay usable.
        assert_eq!(client.ask(&read_command("small", &format!("s{i}"))), "$s", "{key}");
    }
}

/// A value of the largest size must arrive whole; one byte more is refused before the value is read.
#[test]
fn a_large_write_reaches_the_origin_whole_and_a_too_large_one_is_an_error() {
    let (call_sender, calls) = channel();
    let call_sender = Mutex::new(call_sender);
    let origin = serve(call, move |request| {
        call_sender.lock().unwrap().send(request.last().unwrap().clone()).unwrap();
        http("200 OK", "done")
    });
    let node = start_node("largewrite", &[member("o-1", origin, "origin", "ready")]);
    let mut client = node.client();
    let full_value = value(MAX_VALUE_BYTES);
    assert_eq!(client.ask(&["CACHE.SET", "k", "w1", "c=once,t=acme,d=9000", &full_value]), "$done");
    assert!(calls.recv().unwrap() == full_value);
    client.write(format!(
        "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$2\r\nw2\r\n$20\r\nc=once,t=acme,d=9000\r\n${}\r\n",
        MAX_VALUE_BYTES + 1
    ));
    assert_eq!(client.answer(), "-ERR protocol: value too large");
    assert_eq!(client.answer(), "end");
}

/// Starts a cache server that answers each command by running the script of the test.
fn scripted_server(script: impl Fn(&mut TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let script = Arc::new(script);
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let script = script.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while command(&mut reader).is_some() {
                    script(&mut stream);
                }
            });
        }
    });
    address
}

/// The server closes in the middle of a value whose length the client already has: only a close can tell the
/// client.
#[test]
fn a_truncated_value_closes_the_connection_and_is_never_delivered_as_whole() {
    let server = scripted_server(|stream| {
        let _ = stream.write_all(format!("*3\r\n${MAX_VALUE_BYTES}\r\n{}", value(100_000)).as_bytes());
        let _ = stream.shutdown(std::net::Shutdown::Both);
    });
    let node = start_node("cut", &[member("s-1", server, "m", "ready")]);
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(HUNG)).unwrap();
    stream
        .write_all(b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$1\r\ni\r\n$20\r\nc=read,t=acme,d=9000\r\n")
        .unwrap();
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all);
    let head = format!("${MAX_VALUE_BYTES}\r\n");
    assert!(all.starts_with(head.as_bytes()) && all.len() <= head.len() + 100_000, "{} bytes", all.len());
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
}

/// Asks for a value and returns all that came until the node closed the connection.
fn read_until_closed(node: &Node, key: &str) -> Vec<u8> {
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(HUNG)).unwrap();
    let length = key.len();
    let read = format!(
        "*4\r\n$9\r\nCACHE.GET\r\n${length}\r\n{key}\r\n${length}\r\n{key}\r\n$20\r\nc=read,t=acme,d=9000\r\n"
    );
    stream.write_all(read.as_bytes()).unwrap();
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all);
    all
}

/// Values of cache servers under a length that is too short were served as whole: the node told their end before
/// it had seen it.
#[test]
fn a_value_under_too_short_a_length_is_never_delivered_as_whole() {
    const TOLD: usize = 100_000;
    for surplus in [1, 2, 1000, 4000] {
        let text = value(TOLD + surplus);
        let server = scripted_server(move |stream| {
            let answer = format!("*3\r\n${TOLD}\r\n{text}\r\n$3\r\nhit\r\n$17\r\nlat_ms=5,busy=0.1\r\n");
            let _ = stream.write_all(answer.as_bytes());
        });
        let node = start_node("wronglength", &[member("s-1", server, "m", "ready")]);
        let all = read_until_closed(&node, "k");
        let head = format!("${TOLD}\r\n");
        assert!(all.starts_with(head.as_bytes()), "{surplus}");
        assert!(all.len() < head.len() + TOLD, "{surplus}: all {} bytes that were told", all.len());
        assert_eq!(node.client().ask(&["PING"]), "+PONG");
    }
}

/// The rest of an answer is missing and the next answer stands in its place: the end of the value has not been
/// seen.
#[test]
fn a_value_with_another_answer_behind_it_is_never_delivered_as_whole() {
    let text = value(100_000);
    let server = scripted_server(move |stream| {
        let answer = format!("*3\r\n${}\r\n{text}\r\n", text.len());
        let next = "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$17\r\nlat_ms=5,busy=0.1\r\n";
        let _ = stream.write_all(format!("{answer}{next}{next}").as_bytes());
    });
    let node = start_node("nextanswer", &[member("s-1", server, "m", "ready")]);
    let all = read_until_closed(&node, "k");
    assert!(all.len() < 100_000, "{} bytes", all.len());
}

/// The origin sends more than it told, at both sides of 64 KiB: what was told is a part of the value.
#[test]
fn a_value_of_the_origin_under_too_short_a_length_is_never_delivered_as_whole() {
    let origin = serve(call, |lines| {
        let told: usize = lines[0].split(' ').nth(1).unwrap()[1..].parse().unwrap();
        let text = value(told + 100);
        Reaction::Answer(format!("HTTP/1.1 200 OK\r\nContent-Length: {told}\r\n\r\n{text}").into_bytes())
    });
    let server = serve(command, |_| miss());
    let servers = [member("s-1", server, "m", "ready"), member("o-1", origin, "origin", "ready")];
    let node = start_node("originlength", &servers);
    for told in ["10", "30000", "60000"] {
        let answer = node.client().ask(&read_command(told, told));
        assert!(answer.starts_with('-'), "{told}: {answer:.40}");
    }
    for told in [70_000, 300_000] {
        let all = read_until_closed(&node, &told.to_string());
        assert!(all.len() < told, "{told}: {} bytes", all.len());
    }
}

/// The deadline applies to the start of the answer: a value that has started must not be cut off when the
/// deadline passes.
#[test]
fn a_value_may_arrive_in_pieces_and_finish_after_its_deadline() {
    let (permit, permits) = channel::<()>();
    let permits = Mutex::new(permits);
    let server = scripted_server(move |stream| {
        let text = format!("*3\r\n$70000\r\n{}\r\n$3\r\nhit\r\n$-1\r\n", value(70_000));
        let (first, rest) = text.as_bytes().split_at(30_000);
        for piece in first.chunks(997) {
            stream.write_all(piece).unwrap();
        }
        // The rest is sent once the test has seen the deadline pass.
        let _ = permits.lock().unwrap().recv();
        rest.chunks(1009).for_each(|piece| stream.write_all(piece).unwrap());
    });
    let node = start_node("pieces", &[member("s-1", server, "m", "ready")]);
    let (mut slow, mut other) = (node.client(), node.client());
    slow.send(&["CACHE.GET", "k", "i", "c=brief,t=acme,d=400"]);
    // Another request of the same class reaches its deadline meanwhile, so the deadline of the first has
    // passed too.
    let answer = other.ask(&["CACHE.GET", "k", "j", "c=brief,t=acme,d=400"]);
    assert!(!answer.starts_with('$') || answer.len() > 60_000, "{answer:.40}");
    permit.send(()).unwrap();
    permit.send(()).unwrap();
    assert!(slow.answer()[1..] == value(70_000));
}

/// Returns the peak resident memory of the process, KB.
fn peak_resident_kb(node: &Node) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    line.split_whitespace().next().unwrap().parse().unwrap()
}

/// Slow clients request more bytes of values than the node may hold: it must read from the server no faster
/// than they do.
#[test]
fn slow_readers_do_not_fill_the_memory_or_stop_small_requests() {
    let full_value = value(MAX_VALUE_BYTES);
    let server = serve(
        command,
        move |request| if request[1].starts_with('s') { array("s") } else { array(&full_value) },
    );
    let node = start_node("slowread", &[member("s-1", server, "m", "ready")]);
    // Returns the median and the 99th percentile of the duration of 300 small requests, microseconds.
    let small_request_times = |name: &str| {
        let mut client = node.client();
        let duration_us = |i: usize| {
            let sent_at = std::time::Instant::now();
            assert_eq!(client.ask(&read_command(&format!("s{i}"), &format!("{name}{i}"))), "$s");
            sent_at.elapsed().as_micros()
        };
        let mut durations: Vec<_> = (0..300).map(duration_us).collect();
        durations.sort();
        (durations[150], durations[297])
    };
    let alone = small_request_times("alone");
    let before = peak_resident_kb(&node);
    // Each reads a few bytes and then stops.
    let mut readers: Vec<TcpStream> = Vec::new();
    for i in 0..24 {
        let mut stream = TcpStream::connect(node.address).unwrap();
        let id = format!("i{i:02}");
        stream.set_read_timeout(Some(HUNG)).unwrap();
        write!(stream, "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$3\r\n{id}\r\n$21\r\nc=read,t=acme,d=19000\r\n")
            .unwrap();
        let _ = stream.read(&mut [0; 16]).unwrap();
        readers.push(stream);
        assert_eq!(node.client().ask(&read_command(&format!("s{i}"), &format!("n{i}"))), "$s", "{i}");
    }
    let grown = peak_resident_kb(&node) - before;
    let beside = small_request_times("beside");
    println!(
        "small requests in us: {alone:?} alone, {beside:?} beside 24 slow values; memory grew by {grown} KB"
    );
    assert!(grown < 16 * 1024, "{grown} KB for 24 values of 4 MB");
}

/// Writers announce large values and send nothing: the memory reserved for them must stay bounded, the
/// refused connection stay usable, and the memory be free again when the connections close.
#[test]
fn writes_beyond_the_memory_limit_are_refused_before_their_value_is_read() {
    let origin = serve(call, |_| http("200 OK", "done"));
    let node = start_node("nofit", &[member("o-1", origin, "origin", "ready")]);
    // Half of 192 MB is reserved for what clients send: fewer than 30 writers of 4 MB use it up before they
    // send a value.
    let head = |id: &str| {
        format!(
            "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$3\r\n{id}\r\n$20\r\nc=once,t=acme,d=9000\r\n${MAX_VALUE_BYTES}\r\n"
        )
    };
    let mut writers: Vec<Client> = Vec::new();
    let refused = (0..40).find(|i| {
        let mut client = node.client();
        client.write(head(&format!("a{i:02}")));
        // An admitted writer gets no answer yet. The answer to a later command on another connection shows
        // that the node has read this head.
        let mut checker = node.client();
        assert_eq!(checker.ask(&["PING"]), "+PONG");
        let answered = client.answered_already();
        writers.push(client);
        answered
    });
    let refused = refused.expect("all 40 were admitted");
    assert!((15..30).contains(&refused), "{refused}");
    let mut last = writers.pop().unwrap();
    let answer = last.answer();
    assert!(answer.starts_with("-BUSY "), "{answer}");
    // The node discards the value of the refused write, and the connection stays usable.
    last.write(format!("{}\r\n", value(MAX_VALUE_BYTES)));
    assert_eq!(last.ask(&["PING"]), "+PONG");
    // An admitted write is served once its value has arrived; the memory of the others is freed with their
    // connections.
    let mut first = writers.remove(0);
    first.write(format!("{}\r\n", value(MAX_VALUE_BYTES)));
    assert_eq!(first.answer(), "$done");
    drop(writers);
    loop {
        let answer = last.ask(&["CACHE.SET", "k", "z9", "c=once,t=acme,d=9000", &value(MAX_VALUE_BYTES)]);
        if answer == "$done" {
            break;
        }
        assert!(answer.starts_with("-BUSY "), "{answer}");
    }
}
