//! What attempts tell their servers of the time that is left: never more than the client still waits, whether they are
//! first, behind a miss, postponed, repeated, or late because their connection was. Judged at the far ends.
#![allow(missing_docs)]

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use mothpier_fault_control::Setting;
use mothpier_world::loopback::*;

/// How long each client waits, in milliseconds.
const WAIT: u64 = 5_000;
/// An attempt may tell so much more than is left, in milliseconds: the command's way from its client to the node.
const SLACK: u64 = 50;

/// What came in at a server.
struct Arrival {
    id: String,
    extras: String,
    at: Instant,
}

/// What has come in at the servers of one test, and when each request was sent.
#[derive(Clone, Default)]
struct Record {
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    sent: Arc<Mutex<HashMap<String, Instant>>>,
}

impl Record {
    fn arrived(&self, id: &str, extras: &str) {
        let arrival = Arrival { id: id.to_owned(), extras: extras.to_owned(), at: Instant::now() };
        self.arrivals.lock().unwrap().push(arrival);
    }

    fn command(&self, words: &[String]) {
        self.arrived(&words[2], &words[3]);
    }

    fn call(&self, lines: &[String]) {
        let header = |name: &str| lines.iter().find_map(|line| line.strip_prefix(name)).unwrap();
        self.arrived(header("x-request-id: "), header("x-extras: "));
    }

    /// Sends a request and notes when.
    fn send(&self, client: &mut Client, command: &str, id: &str, value: Option<&str>) {
        self.sent.lock().unwrap().insert(id.to_owned(), Instant::now());
        let extras = extras(class(value.is_some()), WAIT);
        let key = format!("key-{id}");
        let words: Vec<&str> = [command, &key, id, &extras].into_iter().chain(value).collect();
        client.send(&words);
    }

    /// Waits until an attempt of a request has come in.
    fn wait_for(&self, id: &str) {
        let began = Instant::now();
        while !self.arrivals.lock().unwrap().iter().any(|a| a.id == id) {
            assert!(began.elapsed() < HUNG, "{id} came nowhere");
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Checks what every attempt of a request told; gives their number and how late the last of them came, ms.
    fn check(&self, id: &str) -> (usize, u64) {
        let sent = self.sent.lock().unwrap()[id];
        let arrivals = self.arrivals.lock().unwrap();
        let of_request: Vec<&Arrival> = arrivals.iter().filter(|a| a.id == id).collect();
        for arrival in &of_request {
            let told = told(&arrival.extras);
            let passed = (arrival.at - sent).as_millis() as u64;
            let class = told_class(&arrival.extras);
            assert_eq!(arrival.extras, extras(class, told), "the rest of the list is as it came");
            assert!(
                told > 0 && told + passed <= WAIT + SLACK,
                "{id}: {told} ms told, {passed} ms after it was sent"
            );
        }
        let last = of_request.iter().map(|a| (a.at - sent).as_millis() as u64).max().unwrap_or_default();
        (of_request.len(), last)
    }
}

fn extras(class: &str, wait: u64) -> String {
    format!("c={class},t=acme,d={wait},h=700")
}

fn class(write: bool) -> &'static str {
    if write { "once" } else { "read" }
}

fn told_class(extras: &str) -> &'static str {
    class(extras.starts_with("c=once,"))
}

fn told(extras: &str) -> u64 {
    let told = extras.split(',').find_map(|part| part.strip_prefix("d="));
    told.unwrap().parse().unwrap()
}

fn start(name: &str, server: std::net::SocketAddr, origin: std::net::SocketAddr) -> Node {
    let members = [member("s-1", server, "m", "ready"), member("o-1", origin, "origin", "ready")].join(",");
    Node::start(name, &Discovery::start(&members))
}

#[test]
fn a_fetch_behind_a_late_miss_tells_what_is_left_then() {
    let record = Record::default();
    let (at_server, at_origin) = (record.clone(), record.clone());
    let server = serve(command, move |words| {
        at_server.command(words);
        thread::sleep(Duration::from_millis(300));
        miss()
    });
    let origin = serve(call, move |lines| {
        at_origin.call(lines);
        http("200 OK", "v")
    });
    let node = start("time-left-miss", server, origin);
    let mut client = node.client();
    record.send(&mut client, "CACHE.GET", "r1", None);
    assert_eq!(client.answer(), "$v");
    let (attempts, last) = record.check("r1");
    assert_eq!(attempts, 2, "one at the cache server, one at the origin");
    assert!(last >= 300, "the fetch came {last} ms after its request");
}

#[test]
fn a_repeated_write_and_fetch_tell_what_is_left_then() {
    let record = Record::default();
    let at_origin = record.clone();
    let calls = Mutex::new(HashMap::<String, usize>::new());
    let server = serve(command, |_| miss());
    let origin = serve(call, move |lines| {
        at_origin.call(lines);
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
        let (attempts, last) = record.check(id);
        assert!(attempts >= 2, "{id} was tried {attempts} times");
        assert!(last >= 200, "{id}: the last attempt came after {last} ms");
    }
}

#[test]
fn postponed_fetches_tell_what_is_left_when_they_are_sent() {
    const FETCHES: usize = 60;
    let record = Record::default();
    let gate = Arc::new(Gate::default());
    let (at_server, at_origin, held) = (record.clone(), record.clone(), gate.clone());
    let server = serve(command, move |words| {
        at_server.command(words);
        miss()
    });
    let origin = serve(call, move |lines| {
        at_origin.call(lines);
        held.pass();
        http("200 OK", "v")
    });
    let node = start("time-left-postponed", server, origin);
    let mut clients: Vec<(String, Client)> = (0..FETCHES)
        .map(|i| {
            let (id, mut client) = (format!("f{i}"), node.client());
            record.send(&mut client, "CACHE.GET", &id, None);
            // One after the other: a node that has just started takes no more than its server has shown to answer.
            record.wait_for(&id);
            (id, client)
        })
        .collect();
    // More are asked for than the node lets through at once: the others are postponed until the gate opens.
    thread::sleep(Duration::from_millis(600));
    gate.open();
    let mut postponed = 0;
    for (id, client) in &mut clients {
        let served = client.answer() == "$v";
        let (attempts, last) = record.check(id);
        postponed += usize::from(served && attempts > 1 && last >= 500);
    }
    assert!(postponed > 0, "no fetch was postponed and served");
}

/// A server whose queue of new connections is full until it is told to let them in.
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
        let brief = Duration::from_millis(200);
        let mut fillers = Vec::new();
        while let Ok(filler) = std::net::TcpStream::connect_timeout(&address, brief) {
            fillers.push(filler);
        }
        FullQueue { listener, fillers }
    }

    fn address(&self) -> std::net::SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Lets all in, and serves what they ask.
    fn let_in(
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
                    while let Some(asked) = read(&mut reader) {
                        if stream.write_all(&react(&asked)).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }
}

fn bytes(reaction: Reaction) -> Vec<u8> {
    let Reaction::Answer(bytes) = reaction else { panic!("an answer") };
    bytes
}

#[test]
fn what_waited_for_its_connection_tells_what_is_left_then() {
    for at_origin in [true, false] {
        let record = Record::default();
        let (at_server, there) = (record.clone(), record.clone());
        let late = FullQueue::new();
        let (server, origin) = if at_origin {
            (serve(command, |_| miss()), late.address())
        } else {
            (late.address(), serve(call, |_| http("200 OK", "v")))
        };
        let node = start(&format!("time-left-connection-{at_origin}"), server, origin);
        let mut client = node.client();
        record.send(&mut client, "CACHE.GET", "r1", None);
        thread::sleep(Duration::from_millis(400));
        if at_origin {
            late.let_in(call, move |lines| {
                there.call(lines);
                bytes(http("200 OK", "v"))
            });
        } else {
            late.let_in(command, move |words| {
                at_server.command(words);
                bytes(array("v"))
            });
        }
        assert_eq!(client.answer(), "$v");
        let (attempts, last) = record.check("r1");
        assert_eq!(attempts, 1, "at the origin: {at_origin}");
        assert!(last >= 400, "it came {last} ms after its request");
    }
}

#[test]
fn a_request_that_waited_to_be_let_in_tells_what_is_left_then() {
    const TOO_MANY_FILES: i64 = 23;
    const LET_IN_AFTER: Duration = Duration::from_millis(400);
    let record = Record::default();
    let at_server = record.clone();
    let server = serve(command, move |words| {
        at_server.command(words);
        array("v")
    });
    let discovery = Discovery::start(&member("s-1", server, "m", "ready"));
    let name = "time-left-let-in";
    let (control, environment) = faults(name);
    control.set(Setting::AcceptError, TOO_MANY_FILES).unwrap();
    let mut command = node_command(name, discovery.address, 1024, "");
    command.envs(environment);
    let node = Node::run(command, &discovery);
    control.set(Setting::FailingAccepts, 1000).unwrap();
    let mut client = node.client();
    record.send(&mut client, "CACHE.GET", "r1", None);
    thread::sleep(LET_IN_AFTER);
    control.set(Setting::FailingAccepts, 0).unwrap();
    assert_eq!(client.answer(), "$v");
    let (attempts, last) = record.check("r1");
    assert_eq!(attempts, 1);
    assert!(last >= LET_IN_AFTER.as_millis() as u64, "it was let in after {last} ms");
}
