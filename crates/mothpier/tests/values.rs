//! Values of up to 4 MiB, over loopback sockets: passed on as they come, whole or plainly cut, and never held for one who
//! is slow.
#![allow(missing_docs)]

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;

use mothpier_world::loopback::*;

const MOST: usize = 4 << 20;

/// Bytes that show where they stand, so that a part left out or given twice is seen.
fn value(length: usize) -> String {
    (0..length).map(|i| char::from(b'a' + (i * 7 + i / 251) as u8 % 26)).collect()
}

fn node(name: &str, servers: &[String]) -> Node {
    Node::start(name, &Discovery::start(&servers.join(",")))
}

fn read_words<'a>(key: &'a str, id: &'a str) -> [&'a str; 4] {
    ["CACHE.GET", key, id, "c=read,t=acme,d=19000"]
}

#[test]
fn a_large_value_comes_whole_from_a_server_and_from_the_origin() {
    let whole = value(MOST);
    let (hit, fetched) = (whole.clone(), whole.clone());
    let server = serve(command, move |asked| match asked[1].as_str() {
        "miss" => miss(),
        "small" => array("s"),
        "edge" => array(&hit[..64 * 1024]),
        "over" => array(&hit[..64 * 1024 + 1]),
        _ => array(&hit),
    });
    let origin = serve(call, move |_| http("200 OK", &fetched));
    let node =
        node("large", &[member("s-1", server, "m", "ready"), member("o-1", origin, "origin", "ready")]);
    let mut client = node.client();
    for (i, (key, length)) in
        [("edge", 64 * 1024), ("over", 64 * 1024 + 1), ("hit", MOST), ("miss", MOST)].into_iter().enumerate()
    {
        let answer = client.ask(&read_words(key, &format!("i{i}")));
        assert!(answer[1..] == whole[..length], "{key}: {} bytes", answer.len() - 1);
        // Its connection, and the server's, go on as before.
        assert_eq!(client.ask(&read_words("small", &format!("s{i}"))), "$s", "{key}");
    }
}

#[test]
fn a_large_write_reaches_the_origin_whole_and_one_too_large_is_an_error() {
    let (called, calls) = channel();
    let called = Mutex::new(called);
    let origin = serve(call, move |asked| {
        called.lock().unwrap().send(asked.last().unwrap().clone()).unwrap();
        http("200 OK", "done")
    });
    let node = node("largewrite", &[member("o-1", origin, "origin", "ready")]);
    let mut client = node.client();
    let whole = value(MOST);
    assert_eq!(client.ask(&["CACHE.SET", "k", "w1", "c=once,t=acme,d=9000", &whole]), "$done");
    assert!(calls.recv().unwrap() == whole);
    client.write(format!(
        "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$2\r\nw2\r\n$20\r\nc=once,t=acme,d=9000\r\n${}\r\n",
        MOST + 1
    ));
    assert_eq!(client.answer(), "-ERR protocol: value too large");
    assert_eq!(client.answer(), "end");
}

/// A server that sends the head of an answer and then as the test says.
fn scripted(script: impl Fn(&mut TcpStream) + Send + Sync + 'static) -> SocketAddr {
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

#[test]
fn a_value_that_breaks_off_ends_the_connection_and_is_never_given_as_whole() {
    let server = scripted(|stream| {
        let _ = stream.write_all(format!("*3\r\n${MOST}\r\n{}", value(100_000)).as_bytes());
        let _ = stream.shutdown(std::net::Shutdown::Both);
    });
    let node = node("cut", &[member("s-1", server, "m", "ready")]);
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(HUNG)).unwrap();
    stream
        .write_all(b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$1\r\ni\r\n$20\r\nc=read,t=acme,d=9000\r\n")
        .unwrap();
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all);
    let head = format!("${MOST}\r\n");
    assert!(all.starts_with(head.as_bytes()) && all.len() <= head.len() + 100_000, "{} bytes", all.len());
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
}

#[test]
fn a_value_may_come_in_pieces_cut_anywhere_and_past_its_deadline() {
    let (go, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let server = scripted(move |stream| {
        let text = format!("*3\r\n$70000\r\n{}\r\n$3\r\nhit\r\n$-1\r\n", value(70_000));
        let (first, rest) = text.as_bytes().split_at(30_000);
        for piece in first.chunks(997) {
            stream.write_all(piece).unwrap();
        }
        // The rest comes when the test has seen its deadline pass.
        let _ = wait.lock().unwrap().recv();
        rest.chunks(1009).for_each(|piece| stream.write_all(piece).unwrap());
    });
    let node = node("pieces", &[member("s-1", server, "m", "ready")]);
    let (mut slow, mut other) = (node.client(), node.client());
    slow.send(&["CACHE.GET", "k", "i", "c=brief,t=acme,d=400"]);
    // Another request of the same class runs into its deadline meanwhile: the first one's has passed, too.
    let answer = other.ask(&["CACHE.GET", "k", "j", "c=brief,t=acme,d=400"]);
    assert!(!answer.starts_with('$') || answer.len() > 60_000, "{answer:.40}");
    go.send(()).unwrap();
    go.send(()).unwrap();
    assert!(slow.answer()[1..] == value(70_000));
}

fn resident_kb(node: &Node) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    line.split_whitespace().next().unwrap().parse().unwrap()
}

#[test]
fn a_slow_reader_makes_the_node_hold_no_value_and_small_requests_go_on() {
    let whole = value(MOST);
    let server =
        serve(command, move |asked| if asked[1].starts_with('s') { array("s") } else { array(&whole) });
    let node = node("slowread", &[member("s-1", server, "m", "ready")]);
    // How long small requests take, microseconds: the median and the 99th percentile of so many.
    let small = |name: &str| {
        let mut client = node.client();
        let took = |i: usize| {
            let asked = std::time::Instant::now();
            assert_eq!(client.ask(&read_words(&format!("s{i}"), &format!("{name}{i}"))), "$s");
            asked.elapsed().as_micros()
        };
        let mut took: Vec<_> = (0..300).map(took).collect();
        took.sort();
        (took[150], took[297])
    };
    let alone = small("alone");
    let before = resident_kb(&node);
    // Each takes a little of its value and then nothing: far more than the memory limit together.
    let mut readers: Vec<TcpStream> = Vec::new();
    for i in 0..24 {
        let mut stream = TcpStream::connect(node.address).unwrap();
        let id = format!("i{i:02}");
        stream.set_read_timeout(Some(HUNG)).unwrap();
        write!(stream, "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$3\r\n{id}\r\n$21\r\nc=read,t=acme,d=19000\r\n")
            .unwrap();
        let _ = stream.read(&mut [0; 16]).unwrap();
        readers.push(stream);
        assert_eq!(node.client().ask(&read_words(&format!("s{i}"), &format!("n{i}"))), "$s", "{i}");
    }
    let grown = resident_kb(&node) - before;
    let beside = small("beside");
    println!(
        "small requests in us: {alone:?} alone, {beside:?} beside 24 slow values; memory grew by {grown} KB"
    );
    assert!(grown < 16 * 1024, "{grown} KB for 24 values of 4 MB");
}

#[test]
fn what_does_not_fit_is_turned_away_before_its_value_is_read() {
    let origin = serve(call, |_| http("200 OK", "done"));
    let node = node("nofit", &[member("o-1", origin, "origin", "ready")]);
    // Half of 192 MB is for what clients bring: 30 writers that have sent nothing of their 4 MB hold it.
    let head = |id: &str| {
        format!(
            "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$3\r\n{id}\r\n$20\r\nc=once,t=acme,d=9000\r\n${MOST}\r\n"
        )
    };
    let mut writers: Vec<Client> = Vec::new();
    let refused = (0..40).find(|i| {
        let mut client = node.client();
        client.write(head(&format!("a{i:02}")));
        // Whether the head is read shows on the same connection only for one that is refused: a small command tells when
        // the node has looked at all that came before it.
        let mut asks = node.client();
        assert_eq!(asks.ask(&["PING"]), "+PONG");
        let answered = client.answered_already();
        writers.push(client);
        answered
    });
    let refused = refused.expect("all 40 were let in");
    assert!((15..30).contains(&refused), "{refused}");
    let mut last = writers.pop().unwrap();
    let answer = last.answer();
    assert!(answer.starts_with("-BUSY "), "{answer}");
    // Its value is read over, and the connection goes on.
    last.write(format!("{}\r\n", value(MOST)));
    assert_eq!(last.ask(&["PING"]), "+PONG");
    // One that was let in is served once its value has come; the others' memory comes back with their connections.
    let mut first = writers.remove(0);
    first.write(format!("{}\r\n", value(MOST)));
    assert_eq!(first.answer(), "$done");
    drop(writers);
    loop {
        let answer = last.ask(&["CACHE.SET", "k", "z9", "c=once,t=acme,d=9000", &value(MOST)]);
        if answer == "$done" {
            break;
        }
        assert!(answer.starts_with("-BUSY "), "{answer}");
    }
}
