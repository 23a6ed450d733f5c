//! Servers that write long answers or read long requests slowly: an answer that arrives in its client's time is
//! delivered whole, and the final answer never comes after that time.
#![allow(missing_docs)]

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use mothpier_world::loopback::*;

/// How long a server takes to write an answer.
const WRITE_TIME: Duration = Duration::from_millis(1200);
/// The parts in which it is written.
const PARTS: usize = 40;
/// A final answer is due this long after the deadline: the settings' grace to answer, 20 ms, and 50 ms on sockets.
const ANSWER_GRACE: Duration = Duration::from_millis(70);
/// How long a request is repeated that is refused.
const MAX_ASKING_TIME: Duration = Duration::from_secs(5);
/// Deadline of the class `brief` in [`SETTINGS`].
const BRIEF: Duration = Duration::from_millis(400);

/// Accepts connections and serves each in a thread of its own.
fn listen(serve: impl Fn(TcpStream) + Copy + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || serve(stream));
        }
    });
    address
}

fn write_slowly(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    for part in bytes.chunks(bytes.len().div_ceil(PARTS)) {
        stream.write_all(part)?;
        thread::sleep(WRITE_TIME / PARTS as u32);
    }
    Ok(())
}

fn length_in(key: &str) -> usize {
    key.rsplit('-').next().unwrap().parse().unwrap()
}

/// A cache server that writes the values of keys that begin with `slow` slowly.
fn slow_cache_server(mut stream: TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(words) = command(&mut reader) {
        let Reaction::Answer(answer) = array(&"v".repeat(length_in(&words[1]))) else { return };
        let written = if words[1].starts_with("slow") {
            write_slowly(&mut stream, &answer)
        } else {
            stream.write_all(&answer)
        };
        if written.is_err() {
            return;
        }
    }
}

/// An origin that writes all bodies slowly.
fn slow_origin(mut stream: TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(lines) = call(&mut reader) {
        let length = length_in(lines[0].split(' ').nth(1).unwrap());
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        if stream.write_all(head.as_bytes()).is_err()
            || write_slowly(&mut stream, &vec![b'v'; length]).is_err()
        {
            return;
        }
    }
}

/// Reads nothing, or a few bytes now and then.
fn read_slowly(mut stream: TcpStream) {
    let mut buffer = [0; 512];
    while stream.read(&mut buffer).is_ok_and(|read| read > 0) {
        thread::sleep(Duration::from_millis(20));
    }
}

/// Asks until a request is accepted, for a while: a node that has just started admits little.
fn ask(client: &mut Client, arguments: &[&str]) -> (String, Duration) {
    let started = Instant::now();
    loop {
        let sent_at = Instant::now();
        let answer = client.ask(arguments);
        if !answer.starts_with("-BUSY") || started.elapsed() > MAX_ASKING_TIME {
            return (answer, sent_at.elapsed());
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn assert_slow_answers_are_whole(node: &Node, class: &str) {
    for length in [1_000, 20_000, 60_000, 200_000] {
        let key = format!("slow-{class}-{length}");
        let (answer, took) =
            ask(&mut node.client(), &["CACHE.GET", &key, &key, &format!("c={class},t=acme,d=9000")]);
        println!("{key}, {took:?}: {answer:.60}");
        assert!(answer == format!("${}", "v".repeat(length)), "{key}, {took:?}: {answer:.60}");
    }
}

#[test]
fn an_answer_that_a_cache_server_writes_slowly_is_delivered_whole() {
    let server = listen(slow_cache_server);
    let node = Node::start("slowwrite", &Discovery::start(&member("s-1", server, "m", "ready")));
    for class in ["read", "once"] {
        assert_slow_answers_are_whole(&node, class);
    }
}

#[test]
fn an_answer_that_an_origin_writes_slowly_is_delivered_whole() {
    let (server, origin) = (serve(command, |_| miss()), listen(slow_origin));
    let members = [member("s-1", server, "m", "ready"), member("o-1", origin, "origin", "ready")];
    let node = Node::start("sloworigin", &Discovery::start(&members.join(",")));
    for class in ["read", "once"] {
        assert_slow_answers_are_whole(&node, class);
    }
}

/// The servers read a long value more slowly than its time allows.
#[test]
fn a_request_that_is_read_slowly_has_its_final_answer_in_time() {
    let at_server = [member("s-1", listen(read_slowly), "m", "ready")];
    let at_origin = [
        member("s-1", serve(command, |_| miss()), "m", "ready"),
        member("o-1", listen(read_slowly), "origin", "ready"),
    ];
    for (name, members, mode) in
        [("slowreadserver", &at_server[..], r#""mode":"through""#), ("slowreadorigin", &at_origin, "")]
    {
        let discovery = Discovery::start(&members.join(","));
        let command = node_command(name, discovery.address, 1024, "");
        if !mode.is_empty() {
            let text = std::fs::read_to_string(config_path(name)).unwrap();
            std::fs::write(config_path(name), text.replace(r#""mode":"aside","originKind":1"#, mode))
                .unwrap();
        }
        let node = Node::run(command, &discovery);
        for length in [30_000, 1 << 20, 4 << 20] {
            let (value, id) = ("v".repeat(length), format!("{name}{length}"));
            let mut client = node.client();
            client.send(&["CACHE.SET", &id, &id, "c=brief,t=acme,d=400", &value]);
            let sent_at = Instant::now();
            let answer = client.answer();
            let took = sent_at.elapsed();
            println!("{name}, {length} bytes: {answer} after {took:?}");
            assert!(took <= BRIEF + ANSWER_GRACE, "{name}, {length} bytes: {answer} after {took:?}");
            assert!(answer.starts_with('-'), "{answer:.60}");
        }
    }
}
