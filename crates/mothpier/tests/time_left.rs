//! The deadline (`d=`) that each attempt carries to its server is never more than the time for which the
//! client still waits, whether the attempt is the first, follows a miss, is a retry, was postponed or waited
//! for a connection. The cache server and the origin record the deadlines that arrive.
#![allow(missing_docs)]

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use mothpier_fault_control::Setting;
use mothpier_world::loopback::*;

/// Deadline that each client sends with its request.
const DEADLINE_MS: u64 = 5_000;
/// How far an attempt's deadline may exceed the remaining time: the command's latency from the client to the
/// node.
const TOLERANCE_MS: u64 = 50;

/// An attempt that arrived at a server.
struct Arrival {
    id: String,
    extras: String,
    at: Instant,
}

/// The attempts that arrived at the servers of one test, and when each request was sent.
#[derive(Clone, Default)]
struct Record {
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    sent: Arc<Mutex<HashMap<String, Instant>>>,
}

impl Record {
    fn record_arrival(&self, id: &str, extras: &str) {
        let arrival = Arrival { id: id.to_owned(), extras: extras.to_owned(), at: Instant::now() };
        self.arrivals.lock().unwrap().push(arrival);
    }

    fn command(&self, arguments: &[String]) {
        self.record_arrival(&arguments[2], &arguments[3]);
    }

    fn call(&self, lines: &[String]) {
        let header = |name: &str| lines.iter().find_map(|line| line.strip_prefix(name)).unwrap();
        self.record_arrival(header("x-request-id: "), header("x-extras: "));
    }

    /// Sends a request and records the time.
    fn send(&self, client: &mut Client, command: &str, id: &str, value: Option<&str>) {
        self.sent.lock().unwrap().insert(id.to_owned(), Instant::now());
        let extras = extras(class(value.is_some()), DEADLINE_MS);
        let key = format!("key-{id}");
        let arguments: Vec<&str> = [command, &key, id, &extras].into_iter().chain(value).collect();
        client.send(&arguments);
    }

    /// Waits until an attempt of the request has arrived.
    fn wait_for(&self, id: &str) {
        let started = Instant::now();
        while !self.arrivals.lock().unwrap().iter().any(|arrival| arrival.id == id) {
            assert!(started.elapsed() < HUNG, "no attempt of {id} arrived");
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Checks the deadline of every attempt of a request. Returns the number of attempts, and the time in
    /// milliseconds from the request to the arrival of the last one.
    fn check(&self, id: &str) -> (usize, u64) {
        let sent = self.sent.lock().unwrap()[id];
        let arrivals = self.arrivals.lock().unwrap();
        let attempts: Vec<&Arrival> = arrivals.iter().filter(|arrival| arrival.id == id).collect();
        for arrival in &attempts {
            let deadline_ms = remaining_ms(&arrival.extras);
            let elapsed_ms = (arrival.at - sent).as_millis() as u64;
            let class = class_of(&arrival.extras);
            assert_eq!(arrival.extras, extras(class, deadline_ms), "the other extras must be unchanged");
            assert!(
                deadline_ms > 0 && deadline_ms + elapsed_ms <= DEADLINE_MS + TOLERANCE_MS,
                "{id}: attempt carries a deadline of {deadline_ms} ms, {elapsed_ms} ms after the request was sent"
            );
        }
        let last_arrival_ms =
            attempts.iter().map(|arrival| (arrival.at - sent).as_millis() as u64).max().unwrap_or_default();
        (attempts.len(), last_arrival_ms)
    }
}

fn extras(class: &str, deadline_ms: u64) -> String {
    format!("c={class},t=acme,d={deadline_ms},h=700")
}

fn class(write: bool) -> &'static str {
    if write { "once" } else { "read" }
}

fn class_of(extras: &str) -> &'static str {
    class(extras.starts_with("c=once,"))
}

fn remaining_ms(extras: &str) -> u64 {
    let deadline_ms = extras.split(',').find_map(|part| part.strip_prefix("d="));
    deadline_ms.unwrap().parse().unwrap()
}

fn start(name: &str, server: std::net::SocketAddr, origin: std::net::SocketAddr) -> Node {
    let members = [member("s-1", server, "m", "ready"), member("o-1", origin, "origin", "ready")].join(",");
    Node::start(name, &Discovery::start(&members))
}

/// The cache server answers with a miss after 300 ms: the deadline of the origin fetch must not be the
/// original one.
#[test]
fn a_fetch_after_a_late_miss_carries_the_remaining_time() {
    let record = Record::default();
    let (server_record, origin_record) = (record.clone(), record.clone());
    let server = serve(command, move |arguments| {
        server_record.command(arguments);
        thread::sleep(Duration::from_millis(300));
        miss()
    });
    let origin = serve(call, move |lines| {
        origin_record.call(lines);
        http("200 OK", "v")
    });
    let node = start("time-left-miss", server, origin);
    let mut client = node.client();
    record.send(&mut client, "CACHE.GET", "r1", None);
    assert_eq!(client.answer(), "$v");
    let (attempts, last_arrival_ms) = record.check("r1");
    assert_eq!(attempts, 2, "one at the cache server, one at the origin");
    assert!(last_arrival_ms >= 300, "the fetch arrived {last_arrival_ms} ms after its request");
}

/// The first call is refused after 200 ms and retried: the retry must not carry the original deadline.
#[test]
fn a_retried_write_and_fetch_carry_the_remaining_time() {
    let record = Record::default();
    let origin_record = record.clone();
    let calls = Mutex::new(HashMap::<String, usize>::new());
    let server = serve(command, |_| miss());
    let origin = serve(call, move |lines| {
        origin_record.call(lines);
        let call = {
            let mut calls = calls.lock().unwrap();
            let count = calls.entry(lines[0].clone()).or_default();
            *count += 1;
            *count
        };
        thread::sleep(Duration::from_millis(200));
        match call {
            1 => Reaction::Answer(
                b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_vec(),
            ),
            _ => http("200 OK", "v"),
        }
    });
    let node = start("time-left-repeat", server, origin);
    for (command, id, value) in [("CACHE.SET", "write", Some("new")), ("CACHE.GET", "fetch", None)] {
        let mut client = node.client();
        record.send(&mut client, command, id, value);
        assert_eq!(client.answer(), "$v", "{id}");
        let (attempts, last_arrival_ms) = record.check(id);
        assert!(attempts >= 2, "{id} was tried {attempts} times");
        assert!(last_arrival_ms >= 200, "{id}: the last attempt arrived after {last_arrival_ms} ms");
    }
}

/// Fetches beyond the node's limit on concurrent origin calls wait 0.6 s: each must carry the time that
/// remains when it is sent, not when it was postponed.
#[test]
fn postponed_fetches_carry_the_remaining_time_when_they_are_sent() {
    const FETCHES: usize = 60;
    let record = Record::default();
    let gate = Arc::new(Gate::default());
    let (server_record, origin_record, origin_gate) = (record.clone(), record.clone(), gate.clone());
    let server = serve(command, move |arguments| {
        server_record.command(arguments);
        miss()
    });
    let origin = serve(call, move |lines| {
        origin_record.call(lines);
        origin_gate.pass();
        http("200 OK", "v")
    });
    let node = start("time-left-postponed", server, origin);
    let mut clients: Vec<(String, Client)> = (0..FETCHES)
        .map(|i| {
            let (id, mut client) = (format!("f{i}"), node.client());
            record.send(&mut client, "CACHE.GET", &id, None);
            // One after the other: a node that has just started admits only as much as its server has been
            // seen to answer.
            record.wait_for(&id);
            (id, client)
        })
        .collect();
    // More fetches than the node sends to the origin at once: the others are postponed until the gate opens.
    thread::sleep(Duration::from_millis(600));
    gate.open();
    let mut postponed = 0;
    for (id, client) in &mut clients {
        let served = client.answer() == "$v";
        let (attempts, last_arrival_ms) = record.check(id);
        postponed += usize::from(served && attempts > 1 && last_arrival_ms >= 500);
    }
    assert!(postponed > 0, "no fetch was postponed and served");
}

/// A server whose accept queue is full until it starts accepting.
struct FullQueue {
    listener: std::net::TcpListener,
    fillers: Vec<std::net::TcpStream>,
}

impl FullQueue {
    fn new() -> Self {
        use socket2::{Domain, Socket, Type};
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener: std::net::TcpListener = socket.into();
        let address = listener.local_addr().unwrap();
        let connect_timeout = Duration::from_millis(200);
        let mut fillers = Vec::new();
        while let Ok(filler) = std::net::TcpStream::connect_timeout(&address, connect_timeout) {
            fillers.push(filler);
        }
        FullQueue { listener, fillers }
    }

    fn address(&self) -> std::net::SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Accepts all connections and answers their requests.
    fn start_accepting(
        self,
        read: fn(&mut std::io::BufReader<std::net::TcpStream>) -> Option<Vec<String>>,
        react: impl Fn(&[String]) -> Vec<u8> + Send + Sync + 'static,
    ) {
        use std::io::Write;
        drop(self.fillers);
        let react = Arc::new(react);
        thread::spawn(move || {
            for mut stream in self.listener.incoming().map_while(Result::ok) {
                let react = react.clone();
                thread::spawn(move || {
                    let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
                    while let Some(request) = read(&mut reader) {
                        if stream.write_all(&react(&request)).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }
}

fn answer_bytes(reaction: Reaction) -> Vec<u8> {
    let Reaction::Answer(bytes) = reaction else { panic!("not an answer") };
    bytes
}

/// A request waits 0.4 s for a connection to its server: its deadline must be computed when the request is
/// written, not when the connection attempt began.
#[test]
fn a_request_that_waited_for_a_connection_carries_the_remaining_time() {
    for at_origin in [true, false] {
        let record = Record::default();
        let (server_record, origin_record) = (record.clone(), record.clone());
        let full_queue = FullQueue::new();
        let (server, origin) = if at_origin {
            (serve(command, |_| miss()), full_queue.address())
        } else {
            (full_queue.address(), serve(call, |_| http("200 OK", "v")))
        };
        let node = start(&format!("time-left-connection-{at_origin}"), server, origin);
        let mut client = node.client();
        record.send(&mut client, "CACHE.GET", "r1", None);
        thread::sleep(Duration::from_millis(400));
        if at_origin {
            full_queue.start_accepting(call, move |lines| {
                origin_record.call(lines);
                answer_bytes(http("200 OK", "v"))
            });
        } else {
            full_queue.start_accepting(command, move |arguments| {
                server_record.command(arguments);
                answer_bytes(array("v"))
            });
        }
        assert_eq!(client.answer(), "$v");
        let (attempts, last_arrival_ms) = record.check("r1");
        assert_eq!(attempts, 1, "at the origin: {at_origin}");
        assert!(last_arrival_ms >= 400, "the attempt arrived {last_arrival_ms} ms after its request");
    }
}

/// The node fails to accept a connection for 0.4 s (`ENFILE`), and reads the request that waits on it later.
/// The deadline it forwards must not count from that late read.
#[test]
fn a_request_that_waited_to_be_let_in_tells_what_is_left_then() {
    const ENFILE: i64 = 23;
    const ACCEPT_DELAY: Duration = Duration::from_millis(400);
    let record = Record::default();
    let server_record = record.clone();
    let server = serve(command, move |arguments| {
        server_record.command(arguments);
        array("v")
    });
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let name = "time-left-let-in";
    let (control, environment) = faults(name);
    control.set(Setting::AcceptError, ENFILE).unwrap();
    let mut command = node_command(name, discovery.address, 1024, "");
    command.envs(environment);
    let node = Node::run(command, &discovery);
    control.set(Setting::FailingAccepts, 1000).unwrap();
    let mut client = node.client();
    record.send(&mut client, "CACHE.GET", "r1", None);
    thread::sleep(ACCEPT_DELAY);
    control.set(Setting::FailingAccepts, 0).unwrap();
    assert_eq!(client.answer(), "$v");
    let (attempts, last_arrival_ms) = record.check("r1");
    assert_eq!(attempts, 1);
    assert!(
        last_arrival_ms >= ACCEPT_DELAY.as_millis() as u64,
        "the connection was accepted after {last_arrival_ms} ms"
    );
}
