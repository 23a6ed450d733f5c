//! Processes that are killed and restarted under the load of many clients while discovery is down or slow:
//! nine in ten must answer `PING` with `+PONG` within 10 s of their start.
//!
//! `RESTARTS=100` sets the number of restarts.
#![allow(missing_docs)]

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use mothpier_world::loopback::*;

/// Nine in ten processes must be ready within this time; the test waits for none longer.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of processes restarted, unless the environment variable `RESTARTS` sets another.
const RESTARTS: usize = 12;
/// Number of processes restarted concurrently.
const AT_ONCE: usize = 12;
/// Limit of a node's descriptors.
const SOCKETS: usize = 128;
/// Clients of a node: more than it admits with `SOCKETS` descriptors.
const CLIENTS_PER_NODE: usize = 70;
/// A client without an answer after this time reconnects.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of one readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two readiness probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(30);
/// Duration of one call to slow discovery, which all nodes share: with many calls at once the last waits for
/// seconds.
const SLOW_CALL: Duration = Duration::from_millis(250);
/// Discovery that recovers does so within this time after the kill.
const MAX_RECOVERY_MS: u64 = 8000;

/// How discovery fails from the kill of its node on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    /// Accepts calls and answers none.
    Silent,
    /// Answers no call until this time has passed.
    Recovers(Duration),
    /// Serves the calls of all nodes one after another.
    Slow,
}

/// The discovery service of one node.
struct Service {
    address: SocketAddr,
    /// The failure and when it began; `None` before the kill.
    state: Arc<Mutex<Option<(Failure, Instant)>>>,
}

impl Service {
    fn start(members: String, slow_service_lock: Arc<Mutex<()>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state: Arc<Mutex<Option<(Failure, Instant)>>> = Arc::default();
        let shared_state = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (state, members, slow_service_lock) =
                    (shared_state.clone(), members.clone(), slow_service_lock.clone());
                thread::spawn(move || answer_calls(stream, &state, &members, &slow_service_lock));
            }
        });
        Service { address, state }
    }
}

fn answer_calls(
    stream: TcpStream,
    state: &Mutex<Option<(Failure, Instant)>>,
    members: &str,
    slow_service_lock: &Mutex<()>,
) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut writer = stream;
    while let Some(request) = call(&mut reader) {
        let now = *state.lock().unwrap();
        match now {
            Some((Failure::Silent, _)) => continue,
            Some((Failure::Recovers(after), failed_at)) if failed_at.elapsed() < after => continue,
            Some((Failure::Slow, _)) => {
                let _guard = slow_service_lock.lock().unwrap();
                thread::sleep(SLOW_CALL);
            }
            _ => {}
        }
        let list = format!(r#"{{"revision":1,"complete":true,"members":[{members}]}}"#);
        if request[0].contains("after=1&") {
            // A watch: no newer list comes until its time is over.
            thread::sleep(Duration::from_millis(500));
        }
        let Reaction::Answer(bytes) = http("200 OK", &list) else { return };
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// A pseudo-random generator that yields the same numbers in each run.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// Starts a node process. `known` is the server list that the platform wrote into its configuration;
/// `polls` selects the discovery mode `ask`, else `push`.
fn start(name: &str, address: SocketAddr, service: &Service, polls: bool, known: &str) -> Node {
    let mut command = node_command(name, service.address, SOCKETS, "");
    let discovery = if polls { "ask" } else { "push" };
    let text = config(name, service.address, SOCKETS)
        .replace(r#""discovery":"push""#, &format!(r#""discovery":"{discovery}""#))
        .replacen('{', &format!(r#"{{"known":{{"revision":1,"complete":true,"members":[{known}]}},"#), 1);
    std::fs::write(config_path(name), text).unwrap();
    command.env("ROUTER_LISTEN", address.to_string());
    Node::spawn(command)
}

fn get(key: usize) -> String {
    let (key, id) = (format!("k{}", key % 500), format!("i{key}"));
    let arguments = ["CACHE.GET", &key, &id, "c=read,t=acme,d=1000"];
    let arguments: String = arguments.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    format!("*4\r\n{arguments}")
}

/// Runs clients that send requests continuously and reconnect at once after a close or a timeout.
fn run_clients(node: SocketAddr, stopped: &AtomicBool) {
    let mut clients: Vec<Option<TcpStream>> = (0..CLIENTS_PER_NODE).map(|_| None).collect();
    let mut request_number = 0;
    while !stopped.load(Ordering::SeqCst) {
        for client in &mut clients {
            if client.is_none() {
                *client = TcpStream::connect_timeout(&node, CLIENT_TIMEOUT).ok();
            }
            request_number += 1;
            if client.as_mut().is_some_and(|stream| stream.write_all(get(request_number).as_bytes()).is_err())
            {
                *client = None;
            }
        }
        let started_at = Instant::now();
        for client in &mut clients {
            let remaining = CLIENT_TIMEOUT.saturating_sub(started_at.elapsed()).max(Duration::from_millis(1));
            let answered = client.as_mut().is_some_and(|stream| {
                stream.set_read_timeout(Some(remaining)).is_ok()
                    && stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0)
            });
            if !answered {
                *client = None;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Returns the answer to one readiness probe, or its error.
fn probe(node: SocketAddr) -> String {
    let ping = || {
        let mut stream = TcpStream::connect_timeout(&node, PROBE_TIMEOUT)?;
        stream.set_read_timeout(Some(PROBE_TIMEOUT))?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
        let mut answer = [0; 128];
        let length = stream.read(&mut answer)?;
        Ok::<_, std::io::Error>(String::from_utf8_lossy(&answer[..length]).trim().to_owned())
    };
    ping().unwrap_or_else(|e| e.to_string())
}

/// How soon a restarted process was ready.
struct Restart {
    time_to_ready: Duration,
    failure: Failure,
    polls: bool,
    /// Result of the last probe before it was ready.
    last_probe: String,
}

impl std::fmt::Display for Restart {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Restart { time_to_ready, failure, polls, last_probe } = self;
        let mode = if *polls { "asked" } else { "pushed" };
        write!(
            f,
            "{time_to_ready:?} with discovery {failure:?} and lists {mode}; last probe before: {last_probe}"
        )
    }
}

/// Kills a node under load and restarts it.
fn restart(
    name: &str,
    address: SocketAddr,
    service: &Service,
    failure: Failure,
    polls: bool,
    known: &str,
) -> Restart {
    let node = start(name, address, service, polls, known);
    let stopped = Arc::new(AtomicBool::new(false));
    let stop_clients = stopped.clone();
    let clients = thread::spawn(move || run_clients(address, &stop_clients));
    thread::sleep(Duration::from_millis(300));
    *service.state.lock().unwrap() = Some((failure, Instant::now()));
    drop(node);
    let started_at = Instant::now();
    let (mut last_probe, starting) = ("no probe".to_owned(), AtomicBool::new(true));
    let time_to_ready = thread::scope(|scope| {
        let started = scope.spawn(|| {
            let node = start(name, address, service, polls, known);
            starting.store(false, Ordering::SeqCst);
            node
        });
        let ready = loop {
            let answer = probe(address);
            let time_to_ready = started_at.elapsed();
            if answer == "+PONG" || time_to_ready > READY_TIMEOUT {
                break time_to_ready;
            }
            let phase = if starting.load(Ordering::SeqCst) { "starting" } else { "listening" };
            last_probe = format!("{phase}: {answer}");
            thread::sleep(PROBE_INTERVAL);
        };
        drop(started.join().unwrap());
        ready
    });
    stopped.store(true, Ordering::SeqCst);
    clients.join().unwrap();
    Restart { time_to_ready, failure, polls, last_probe }
}

#[test]
fn nine_in_ten_restarted_processes_are_ready_within_ten_seconds() {
    let restart_count = std::env::var("RESTARTS").ok().and_then(|n| n.parse().ok()).unwrap_or(RESTARTS);
    let server = serve(command, |_| array("v"));
    let known = member("s-1", server, "m", "ready");
    let addresses: Vec<SocketAddr> = (0..restart_count).map(|_| unused_address()).collect();
    let slow_service_lock = Arc::new(Mutex::new(()));
    let mut random = Random(5);
    let failures: Vec<Failure> = (0..restart_count)
        .map(|n| match n % 3 {
            0 => Failure::Silent,
            1 => Failure::Recovers(Duration::from_millis(random.below(MAX_RECOVERY_MS))),
            _ => Failure::Slow,
        })
        .collect();
    let mut restarts: Vec<Restart> = Vec::new();
    for batch in (0..restart_count).collect::<Vec<_>>().chunks(AT_ONCE) {
        thread::scope(|scope| {
            let running: Vec<_> = batch
                .iter()
                .map(|&n| {
                    let (known, slow_service_lock, address, failure) =
                        (known.clone(), slow_service_lock.clone(), addresses[n], failures[n]);
                    scope.spawn(move || {
                        let service = Service::start(known.clone(), slow_service_lock);
                        restart(&format!("restart-{n}"), address, &service, failure, n % 2 == 0, &known)
                    })
                })
                .collect();
            restarts.extend(running.into_iter().map(|one| one.join().unwrap()));
        });
    }
    restarts.sort_by_key(|restart| restart.time_to_ready);
    let ready = restarts.iter().filter(|restart| restart.time_to_ready <= READY_TIMEOUT).count();
    let (median, p90) =
        (restarts[restart_count / 2].time_to_ready, restarts[restart_count * 9 / 10].time_to_ready);
    println!(
        "{ready} of {restart_count} ready within {READY_TIMEOUT:?}: half by {median:?}, nine in ten by {p90:?}"
    );
    restarts.iter().rev().take(3).for_each(|slow| println!("slowest: {slow}"));
    let others: Vec<String> = restarts[ready..].iter().map(Restart::to_string).collect();
    assert!(
        ready * 10 >= restart_count * 9,
        "{ready} of {restart_count} ready within {READY_TIMEOUT:?}; the others: {others:#?}"
    );
}
