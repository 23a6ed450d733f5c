//! Processes that are killed and started anew under a herd of clients, with discovery down into it: nine in ten answer
//! `PING` with `+PONG` within 10 s of their start.
//!
//! `RESTARTS=100` sets how many.
#![allow(missing_docs)]

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use mothpier_world::loopback::*;

/// Nine in ten are ready within this time; none is waited for longer.
const READY: Duration = Duration::from_secs(10);
/// Processes restarted in all, unless the environment says otherwise.
const RESTARTS: usize = 12;
/// Processes restarted at once.
const AT_ONCE: usize = 12;
/// Descriptors of a node, and clients of its herd: more than the node lets in.
const SOCKETS: usize = 128;
const HERD: usize = 70;
/// A client of the herd that has no answer by then comes anew.
const IMPATIENT: Duration = Duration::from_millis(300);
/// Who asks whether the node is ready waits so long for an answer, and so long between two tries.
const PROBE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(30));
/// What one service for all takes for each call: with many calls at once the last of them waits for seconds.
const SLOW_CALL: Duration = Duration::from_millis(250);
/// Discovery that comes back does so within this time of the restart.
const BACK_MS: u64 = 8000;

/// What discovery does from the kill of its node on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Down {
    /// It lets calls in and answers none.
    Silent,
    /// The same, until it comes back.
    Returns(Duration),
    /// It works through the calls of all nodes in turn.
    Slow,
}

/// Discovery of one node.
struct Service {
    address: SocketAddr,
    /// What it does, and since when; `None` before the kill.
    state: Arc<Mutex<Option<(Down, Instant)>>>,
}

impl Service {
    fn start(members: String, turn: Arc<Mutex<()>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state: Arc<Mutex<Option<(Down, Instant)>>> = Arc::default();
        let held = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (state, members, turn) = (held.clone(), members.clone(), turn.clone());
                thread::spawn(move || answer_calls(stream, &state, &members, &turn));
            }
        });
        Service { address, state }
    }
}

fn answer_calls(stream: TcpStream, state: &Mutex<Option<(Down, Instant)>>, members: &str, turn: &Mutex<()>) {
    let mut reading = BufReader::new(stream.try_clone().unwrap());
    let mut writing = stream;
    while let Some(asked) = call(&mut reading) {
        let now = *state.lock().unwrap();
        match now {
            Some((Down::Silent, _)) => continue,
            Some((Down::Returns(after), since)) if since.elapsed() < after => continue,
            Some((Down::Slow, _)) => {
                let _turn = turn.lock().unwrap();
                thread::sleep(SLOW_CALL);
            }
            _ => {}
        }
        let list = format!(r#"{{"revision":1,"complete":true,"members":[{members}]}}"#);
        if asked[0].contains("after=1&") {
            // A watch: there is nothing newer for as long as it waits.
            thread::sleep(Duration::from_millis(500));
        }
        let Reaction::Answer(bytes) = http("200 OK", &list) else { return };
        if writing.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// Numbers that look drawn, the same each time.
struct Draw(u64);

impl Draw {
    fn below(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % most
    }
}

/// Places for nodes that stay theirs while no process listens there: the machine gives none of these to those who
/// connect.
fn free_places(count: usize) -> Vec<SocketAddr> {
    let first = 20_000 + (std::process::id() % 8000) as u16;
    let places = (first..32_000).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    places.filter(|at| TcpListener::bind(at).is_ok()).take(count).collect()
}

/// Starts a process of a node; `known` is the list that the platform wrote down.
fn start(name: &str, at: SocketAddr, service: &Service, asks: bool, known: &str) -> Node {
    let mut command = node_command(name, service.address, SOCKETS, "");
    let discovery = if asks { "ask" } else { "push" };
    let text = config(name, service.address, SOCKETS)
        .replace(r#""discovery":"push""#, &format!(r#""discovery":"{discovery}""#))
        .replacen('{', &format!(r#"{{"known":{{"revision":1,"complete":true,"members":[{known}]}},"#), 1);
    std::fs::write(config_path(name), text).unwrap();
    command.env("ROUTER_LISTEN", at.to_string());
    Node::spawn(command)
}

fn get(key: usize) -> String {
    let (key, id) = (format!("k{}", key % 500), format!("i{key}"));
    let words = ["CACHE.GET", &key, &id, "c=read,t=acme,d=1000"];
    let words: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    format!("*4\r\n{words}")
}

/// Clients that ask again and again, and come anew at once when they are closed on or get no answer.
fn herd(node: SocketAddr, over: &AtomicBool) {
    let mut clients: Vec<Option<TcpStream>> = (0..HERD).map(|_| None).collect();
    let mut asked = 0;
    while !over.load(Ordering::SeqCst) {
        for client in &mut clients {
            if client.is_none() {
                *client = TcpStream::connect_timeout(&node, IMPATIENT).ok();
            }
            asked += 1;
            if client.as_mut().is_some_and(|stream| stream.write_all(get(asked).as_bytes()).is_err()) {
                *client = None;
            }
        }
        let began = Instant::now();
        for client in &mut clients {
            let left = IMPATIENT.saturating_sub(began.elapsed()).max(Duration::from_millis(1));
            let answered = client.as_mut().is_some_and(|stream| {
                stream.set_read_timeout(Some(left)).is_ok()
                    && stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0)
            });
            if !answered {
                *client = None;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// What one try to ask whether the node is ready brought.
fn probe(node: SocketAddr) -> String {
    let ask = || {
        let mut stream = TcpStream::connect_timeout(&node, PROBE.0)?;
        stream.set_read_timeout(Some(PROBE.0))?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
        let mut answer = [0; 128];
        let length = stream.read(&mut answer)?;
        Ok::<_, std::io::Error>(String::from_utf8_lossy(&answer[..length]).trim().to_owned())
    };
    ask().unwrap_or_else(|e| e.to_string())
}

/// How soon a process was ready, and what it had said before.
struct Restart {
    took: Duration,
    down: Down,
    asks: bool,
    /// What was said last before it was ready.
    before: String,
}

impl std::fmt::Display for Restart {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Restart { took, down, asks, before } = self;
        let way = if *asks { "asked" } else { "pushed" };
        write!(f, "{took:?} with discovery {down:?} and lists {way}; last before: {before}")
    }
}

/// Kills a node under its herd and starts it anew.
fn restart(name: &str, at: SocketAddr, service: &Service, down: Down, asks: bool, known: &str) -> Restart {
    let node = start(name, at, service, asks, known);
    let over = Arc::new(AtomicBool::new(false));
    let ends = over.clone();
    let clients = thread::spawn(move || herd(at, &ends));
    thread::sleep(Duration::from_millis(300));
    *service.state.lock().unwrap() = Some((down, Instant::now()));
    drop(node);
    let began = Instant::now();
    let (mut before, starting) = ("nothing asked".to_owned(), AtomicBool::new(true));
    let took = thread::scope(|scope| {
        let started = scope.spawn(|| {
            let node = start(name, at, service, asks, known);
            starting.store(false, Ordering::SeqCst);
            node
        });
        let ready = loop {
            let answer = probe(at);
            let took = began.elapsed();
            if answer == "+PONG" || took > READY {
                break took;
            }
            let phase = if starting.load(Ordering::SeqCst) { "starting" } else { "listening" };
            before = format!("{phase}: {answer}");
            thread::sleep(PROBE.1);
        };
        drop(started.join().unwrap());
        ready
    });
    over.store(true, Ordering::SeqCst);
    clients.join().unwrap();
    Restart { took, down, asks, before }
}

#[test]
fn nine_in_ten_restarted_processes_are_ready_within_ten_seconds() {
    let wanted = std::env::var("RESTARTS").ok().and_then(|n| n.parse().ok()).unwrap_or(RESTARTS);
    let server = serve(command, |_| array("v"));
    let known = member("s-1", server, "m", "ready");
    let (places, turn, mut draw) = (free_places(wanted), Arc::new(Mutex::new(())), Draw(5));
    let downs: Vec<Down> = (0..wanted)
        .map(|n| match n % 3 {
            0 => Down::Silent,
            1 => Down::Returns(Duration::from_millis(draw.below(BACK_MS))),
            _ => Down::Slow,
        })
        .collect();
    let mut restarts: Vec<Restart> = Vec::new();
    for batch in (0..wanted).collect::<Vec<_>>().chunks(AT_ONCE) {
        thread::scope(|scope| {
            let running: Vec<_> = batch
                .iter()
                .map(|&n| {
                    let (known, turn, at, down) = (known.clone(), turn.clone(), places[n], downs[n]);
                    scope.spawn(move || {
                        let service = Service::start(known.clone(), turn);
                        restart(&format!("restart-{n}"), at, &service, down, n % 2 == 0, &known)
                    })
                })
                .collect();
            restarts.extend(running.into_iter().map(|one| one.join().unwrap()));
        });
    }
    restarts.sort_by_key(|restart| restart.took);
    let ready = restarts.iter().filter(|restart| restart.took <= READY).count();
    let (median, ninth) = (restarts[wanted / 2].took, restarts[wanted * 9 / 10].took);
    println!("{ready} of {wanted} ready within {READY:?}: half by {median:?}, nine in ten by {ninth:?}");
    restarts.iter().rev().take(3).for_each(|slow| println!("slowest: {slow}"));
    let others: Vec<String> = restarts[ready..].iter().map(Restart::to_string).collect();
    assert!(ready * 10 >= wanted * 9, "{ready} of {wanted} ready within {READY:?}; the others: {others:#?}");
}
