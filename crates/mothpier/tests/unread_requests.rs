//! Clients that close their connection while the node has not read all that they sent: what it reads later is not
//! forwarded. The cache server records the requests that arrive.
#![allow(missing_docs)]

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use mothpier_world::loopback::*;

/// A request may not be forwarded later than this after its client closed the connection.
const MAX_SEND_DELAY: Duration = Duration::from_millis(100);
/// How long the node is stopped, and how long after the close it goes on.
const STOP_BEFORE_CLOSE: Duration = Duration::from_millis(20);
const STOP_AFTER_CLOSE: Duration = Duration::from_millis(200);
/// Time for all that the node forwards to arrive.
const SETTLE_TIME: Duration = Duration::from_millis(500);
const ROUNDS: usize = 10;
const SERVERS: usize = 4;
const WARM_UP_REQUESTS: usize = 1000;
/// Requests that a client sends at once: more than the node reads at a time, but no more than the kernel takes in
/// for it, so that the close arrives behind them.
const REQUESTS: usize = 500;
/// More requests than the kernel takes in: the close arrives only once the node has read some of them.
const REQUESTS_BEYOND_WINDOW: usize = 2000;

type Arrivals = Arc<Mutex<HashMap<String, Instant>>>;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Connected {
    /// The node has accepted the connection before it is stopped.
    Before,
    /// The connection waits to be accepted.
    Meanwhile,
}

#[derive(Clone, Copy, Debug)]
enum Close {
    /// The client ends its sending.
    Shutdown,
    /// The client closes its socket, with nothing unread on its side.
    Close,
}

fn request(id: &str) -> String {
    let arguments = ["CACHE.GET", id, id, "c=once,t=acme,d=9000"];
    let arguments: String = arguments.iter().map(|a| format!("${}\r\n{a}\r\n", a.len())).collect();
    format!("*4\r\n{arguments}")
}

/// Starts a cache server that reads each command as it arrives, and takes a while for each answer.
fn start_server(arrivals: Arrivals, answer_time: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (arrivals, (commands, to_answer)) = (arrivals.clone(), channel());
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            thread::spawn(move || {
                while let Some(words) = command(&mut reader) {
                    arrivals.lock().unwrap().insert(words[2].clone(), Instant::now());
                    let _ = commands.send(words);
                }
            });
            thread::spawn(move || answer_each(stream, &to_answer, answer_time));
        }
    });
    address
}

fn answer_each(mut stream: TcpStream, commands: &Receiver<Vec<String>>, answer_time: Duration) {
    for words in commands {
        if !words[2].starts_with("warm") {
            thread::sleep(answer_time);
        }
        let Reaction::Answer(bytes) = steady(array("v")) else { return };
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// Starts a node with cache servers that take a while for each answer.
fn start(name: &str, answer_time: Duration) -> (Node, Arrivals) {
    let arrivals = Arrivals::default();
    let servers: Vec<String> = (0..SERVERS)
        .map(|i| member(&format!("s-{i}"), start_server(arrivals.clone(), answer_time), "m", "ready"))
        .collect();
    let discovery = Discovery::start(&servers.join(","));
    let command = node_command(name, discovery.address, 1024, "");
    lift_quota(name);
    let node = Node::run(command, &discovery);
    // A node that has just started admits little.
    let mut client = node.client();
    for i in 0..WARM_UP_REQUESTS {
        client.write(request(&format!("warm{i}")));
        client.answer();
    }
    (node, arrivals)
}

/// Returns the requests that arrived too late after their client's close.
fn late_arrivals(arrivals: &Arrivals, closed: &[(String, Instant)]) -> Vec<(String, Duration)> {
    let arrivals = arrivals.lock().unwrap();
    let arrived = |(prefix, closed_at): &(String, Instant)| {
        let late =
            arrivals.iter().filter(|(id, at)| id.starts_with(prefix) && **at > *closed_at + MAX_SEND_DELAY);
        late.map(|(id, at)| (id.clone(), *at - *closed_at)).collect::<Vec<_>>()
    };
    closed.iter().flat_map(arrived).collect()
}

/// The node is held up while requests and the end of their connection arrive, and reads both late.
fn close_while_node_is_stopped(name: &str, count: usize) {
    let (node, arrivals) = start(name, Duration::from_millis(1));
    let mut closed = Vec::new();
    let mut half_open = Vec::new();
    for round in 0..ROUNDS {
        for connected in [Connected::Before, Connected::Meanwhile] {
            for close in [Close::Shutdown, Close::Close] {
                let prefix = format!("{connected:?}-{close:?}-{round}-");
                let mut accepted = node.client();
                assert_eq!(accepted.ask(&["PING"]), "+PONG");
                node.signal("STOP");
                thread::sleep(STOP_BEFORE_CLOSE);
                let mut stream = match connected {
                    Connected::Before => accepted.into_stream(),
                    Connected::Meanwhile => TcpStream::connect(node.address).unwrap(),
                };
                let requests: String = (0..count).map(|i| request(&format!("{prefix}{i}"))).collect();
                stream.write_all(requests.as_bytes()).unwrap();
                match close {
                    Close::Shutdown => {
                        stream.shutdown(Shutdown::Write).unwrap();
                        half_open.push(stream);
                    }
                    Close::Close => drop(stream),
                }
                closed.push((prefix, Instant::now()));
                thread::sleep(STOP_AFTER_CLOSE);
                node.signal("CONT");
                thread::sleep(STOP_BEFORE_CLOSE);
            }
        }
    }
    thread::sleep(SETTLE_TIME);
    let late = late_arrivals(&arrivals, &closed);
    println!("{} arrived", arrivals.lock().unwrap().len());
    assert!(late.is_empty(), "{} requests: {:?}", late.len(), &late[..late.len().min(20)]);
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
}

#[test]
fn requests_read_long_after_their_client_closed_are_not_forwarded() {
    close_while_node_is_stopped("unreadstop", REQUESTS);
}

#[test]
fn requests_read_long_after_a_close_behind_a_full_window_are_not_forwarded() {
    close_while_node_is_stopped("unreadwindow", REQUESTS_BEYOND_WINDOW);
}

/// A client sends far more than the node reads at once, and closes without waiting for an answer.
#[test]
fn requests_that_a_client_leaves_unread_are_not_forwarded() {
    let (node, arrivals) = start("unreadmuch", Duration::from_millis(30));
    let mut closed = Vec::new();
    for round in 0..ROUNDS {
        let prefix = format!("much{round}-");
        let requests: String =
            (0..REQUESTS_BEYOND_WINDOW).map(|i| request(&format!("{prefix}{i}"))).collect();
        let mut stream = TcpStream::connect(node.address).unwrap();
        stream.set_write_timeout(Some(HUNG)).unwrap();
        let sent = stream.write_all(requests.as_bytes());
        closed.push((prefix, Instant::now()));
        drop(stream);
        // The node may have ended a connection with so many open requests.
        println!("round {round}: {sent:?}");
        thread::sleep(SETTLE_TIME);
    }
    let late = late_arrivals(&arrivals, &closed);
    println!("{} arrived", arrivals.lock().unwrap().len());
    assert!(late.is_empty(), "{} requests: {:?}", late.len(), &late[..late.len().min(20)]);
    assert_eq!(node.client().ask(&["PING"]), "+PONG");
}
