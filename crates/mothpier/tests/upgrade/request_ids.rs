//! Request ids over an upgrade: to the rules all processes of a node are one.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use mothpier_world::loopback::*;

use crate::platform::Platform;

/// When an id comes again at another process, after something happened at the first one, in milliseconds. Processes
/// read each other's files ten times a second.
const DELAYS_MS: [u64; 8] = [0, 1, 20, 60, 100, 150, 220, 400];

/// Number of cache servers: a node has few requests out at one whose pace it does not know yet.
const SERVERS: usize = 16;

/// Cache servers that answer each command so long after it has come, and count how often each id ran.
#[derive(Clone)]
struct SlowServers {
    answer_time: Duration,
    runs: Arc<Mutex<HashMap<String, usize>>>,
}

impl SlowServers {
    fn start(answer_ms: u64) -> (SlowServers, Discovery) {
        let server =
            SlowServers { answer_time: Duration::from_millis(answer_ms), runs: Arc::new(Mutex::default()) };
        let members = (0..SERVERS).map(|number| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let accepting = server.clone();
            thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    let server = accepting.clone();
                    thread::spawn(move || server.serve(stream));
                }
            });
            member(&format!("s-{number}"), address, "m", "ready")
        });
        let discovery = Discovery::start(&members.collect::<Vec<_>>().join(","));
        (server, discovery)
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let (sender, commands) = channel::<(Instant, Option<String>)>();
        let answer_time = self.answer_time;
        thread::spawn(move || {
            for (came, id) in commands {
                let Reaction::Answer(answer) =
                    id.map_or(Reaction::Answer(b"+OK\r\n".to_vec()), |id| array(&id))
                else {
                    return;
                };
                thread::sleep((came + answer_time).saturating_duration_since(Instant::now()));
                if stream.write_all(&answer).is_err() {
                    return;
                }
            }
        });
        while let Some(words) = command(&mut reader) {
            let id = words.get(2).cloned();
            if let Some(id) = &id {
                *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
            }
            let _ = sender.send((Instant::now(), id));
        }
    }

    fn runs(&self, id: &str) -> usize {
        self.runs.lock().unwrap().get(id).copied().unwrap_or_default()
    }

    /// Sends a request until it runs. Refusals are harmless.
    fn send_until_run(&self, client: &mut Client, class: &str, id: &str) {
        let started = Instant::now();
        send(client, class, id);
        while self.runs(id) == 0 {
            if client.answered_already() {
                let answer = client.answer();
                assert!(answer.starts_with("-BUSY"), "{id}: {answer}");
                send(client, class, id);
            }
            assert!(started.elapsed() < HUNG, "{id} did not arrive");
            thread::sleep(Duration::from_millis(1));
        }
    }
}

fn request(class: &str, id: &str) -> [String; 4] {
    ["CACHE.GET".into(), format!("key-{id}"), id.into(), format!("c={class},t=acme,d=9000")]
}

fn send(client: &mut Client, class: &str, id: &str) {
    let request = request(class, id);
    client.send(&request.each_ref().map(String::as_str));
}

/// Asks again as long as that is said to be harmless.
fn ask(client: &mut Client, class: &str, id: &str) -> String {
    loop {
        send(client, class, id);
        let answer = client.answer();
        if !answer.starts_with("-BUSY") {
            return answer;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Starts so many processes beside the first one. All but the last one end, as soon as they have answered.
fn upgrade(platform: &Platform, discovery: &Discovery, first: &Node, upgrades: usize) -> Vec<Node> {
    let processes: Vec<Node> = (0..upgrades).map(|_| platform.start(discovery)).collect();
    for process in std::iter::once(first).chain(&processes[..upgrades - 1]) {
        process.signal("TERM");
        process.logged("stopping");
    }
    processes
}

/// A client that sent the id of an open request of another client was served, by the other process of an upgrade, and
/// the request ran twice.
#[test]
fn an_id_that_is_open_at_one_process_of_an_upgrade_is_refused_at_the_others() {
    for upgrades in [1, 2] {
        let (server, discovery) = SlowServers::start(1_500);
        let platform = Platform::new(if upgrades == 1 { "openid1" } else { "openid2" });
        let first = platform.start(&discovery);
        let mut usual: Vec<(String, &str, Client)> = Vec::new();
        for class in ["once", "read"] {
            usual.extend(DELAYS_MS.map(|delay| (format!("{class}-{delay}"), class, platform.client())));
        }
        for (id, class, client) in &mut usual {
            server.send_until_run(client, class, id);
        }
        let _processes = upgrade(&platform, &discovery, &first, upgrades);
        let since = Instant::now();
        for (id, class, _) in &usual {
            let delay = Duration::from_millis(id.rsplit('-').next().unwrap().parse().unwrap());
            thread::sleep((since + delay).saturating_duration_since(Instant::now()));
            let answer = ask(&mut platform.client(), class, id);
            assert_eq!(answer, "-ERR a request of this id is open", "{id}, {upgrades} upgrades");
        }
        for (id, _, client) in &mut usual {
            assert_eq!((client.answer(), server.runs(id)), (format!("${id}"), 1));
        }
        // A read that has been answered may come again, also at another process.
        assert_eq!(ask(&mut platform.client(), "read", "read-0"), "$read-0");
    }
}

/// While both processes accept: ids that are open at either one, asked for at either one.
#[test]
fn an_id_that_is_open_while_both_processes_serve_is_refused_at_both() {
    let (server, discovery) = SlowServers::start(1_000);
    let platform = Platform::new("openboth");
    let _old = platform.start(&discovery);
    let mut kept = platform.client();
    let mut usual: Vec<(String, Client)> =
        (0..3).map(|number| (format!("old-{number}"), platform.client())).collect();
    for client in usual.iter_mut().map(|(_, client)| client).chain([&mut kept]) {
        assert_eq!(client.ask(&["PING"]), "+PONG");
    }
    let new = platform.start(&discovery);
    for (id, client) in &mut usual {
        server.send_until_run(client, "once", id);
    }
    // Whichever process is awake first takes a connection.
    while new.figure("edge_router_pending") == 0 {
        let id = format!("either-{}", usual.len());
        assert!(usual.len() < 60, "the old process takes all connections");
        let mut client = platform.client();
        server.send_until_run(&mut client, "once", &id);
        usual.push((id, client));
    }
    for (id, _) in usual.iter().rev().take(1).chain(&usual[..3]) {
        for client in [&mut kept, &mut platform.client(), &mut platform.client()] {
            assert_eq!(ask(client, "once", id), "-ERR a request of this id is open", "{id}");
        }
    }
    for (id, client) in &mut usual {
        assert_eq!((client.answer(), server.runs(id)), (format!("${id}"), 1));
        assert_eq!(ask(&mut kept, "once", id), "-ERR a request of this id may have run");
        assert_eq!(server.runs(id), 1);
    }
}

/// A client that left came again before its request had been handed over; after two upgrades it had been forgotten.
#[test]
fn an_unsafe_request_whose_client_left_does_not_run_again_however_soon_it_comes_and_after_upgrades() {
    let (server, discovery) = SlowServers::start(200);
    let platform = Platform::new("leftids");
    let mut first = platform.start(&discovery);
    let ids = DELAYS_MS.map(|delay| format!("left-{delay}"));
    let mut leaving: Vec<Client> = ids.iter().map(|_| platform.client()).collect();
    for client in &mut leaving {
        assert_eq!(client.ask(&["PING"]), "+PONG");
    }
    let mut second = platform.start(&discovery);
    for (id, client) in ids.iter().zip(&mut leaving) {
        server.send_until_run(client, "once", id);
    }
    first.signal("TERM");
    first.logged("stopping");
    drop(leaving);
    let left = Instant::now();
    let check = |id: &str, when: &str| {
        let answer = ask(&mut platform.client(), "once", id);
        let refused = ["-ERR a request of this id is open", "-ERR a request of this id may have run"];
        assert!(refused.contains(&&*answer), "{id}, {when}: {answer}");
        assert_eq!(server.runs(id), 1, "{id}, {when}");
    };
    for (id, delay) in ids.iter().zip(DELAYS_MS) {
        thread::sleep((left + Duration::from_millis(delay)).saturating_duration_since(Instant::now()));
        check(id, "one upgrade");
    }
    assert!(first.ended().success());
    ids.iter().for_each(|id| check(id, "the first process has ended"));
    let third = platform.start(&discovery);
    second.signal("TERM");
    second.logged("stopping");
    ids.iter().for_each(|id| check(id, "two upgrades"));
    assert!(second.ended().success());
    ids.iter().for_each(|id| check(id, "the second process has ended"));
    drop(third);
}

/// What was open at a process that is killed may have run.
#[test]
fn an_unsafe_request_that_was_open_at_a_killed_process_does_not_run_again() {
    let (server, discovery) = SlowServers::start(300);
    let platform = Platform::new("killedids");
    let mut killed = platform.start(&discovery);
    let ids = DELAYS_MS.map(|delay| format!("killed-{delay}"));
    let mut clients: Vec<Client> = ids.iter().map(|_| platform.client()).collect();
    for client in &mut clients {
        assert_eq!(client.ask(&["PING"]), "+PONG");
    }
    let _next = platform.start(&discovery);
    for (id, client) in ids.iter().zip(&mut clients) {
        server.send_until_run(client, "once", id);
    }
    killed.child.kill().unwrap();
    killed.ended();
    let since = Instant::now();
    for (id, delay) in ids.iter().zip(DELAYS_MS) {
        thread::sleep((since + Duration::from_millis(delay)).saturating_duration_since(Instant::now()));
        let answer = ask(&mut platform.client(), "once", id);
        assert!(answer.starts_with("-ERR a request of this id"), "{id}: {answer}");
        assert_eq!(server.runs(id), 1, "{id}");
    }
}

/// The old process hangs, or is of a version without a table of ids: its successor serves nonetheless.
#[test]
fn a_process_that_does_not_answer_keeps_no_successor_out() {
    let (_server, discovery) = SlowServers::start(1);
    let platform = Platform::new("silentprocess");
    let hanging = platform.start(&discovery);
    hanging.signal("STOP");
    let started = Instant::now();
    let successor = platform.start(&discovery);
    // The platform waits so long for a yes.
    assert!(started.elapsed() < Duration::from_secs(6), "{:?}", started.elapsed());
    successor.logged("does not answer: serving without it");
    hanging.signal("CONT");
    drop(hanging);
    drop(successor);
    let earlier_version = platform.start(&discovery);
    for file in std::fs::read_dir(&platform.directory).unwrap() {
        let path = file.unwrap().path();
        if path.file_name().unwrap().to_str().unwrap().starts_with("mothpier.ids.") {
            std::fs::remove_file(path).unwrap();
        }
    }
    let successor = platform.start(&discovery);
    assert_eq!(successor.log_count("does not answer"), 0);
    assert_eq!(ask(&mut platform.client(), "read", "served"), "$served");
    drop(earlier_version);
}
