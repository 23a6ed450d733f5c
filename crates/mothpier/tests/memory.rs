//! The node stays within its memory limit, over loopback sockets, whatever its clients, cache servers and origin
//! make it hold; and what the memory can carry is served.
#![allow(missing_docs)]

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use mothpier_world::loopback::*;

/// Memory limit of the nodes under test, MB.
const MEMORY_MB: usize = 48;
/// Length of a value that is nearly the longest that is held whole, bytes.
const LONG: usize = 64_000;
/// Number of requests that the node admits at a time with this limit.
const ADMITTED: usize = MEMORY_MB / 2 * 1024 / 32;
/// Requests sent at once on a connection.
const AT_ONCE: usize = 64;

/// Starts a node that fetches what its cache servers lack.
fn start_node(name: &str, servers: &[String]) -> Node {
    start_node_with(name, servers, r#""mode":"aside","originKind":1"#)
}

/// Starts a node with the memory limit of these tests, and without a quota in the way of bursts.
fn start_node_with(name: &str, servers: &[String], specifics: &str) -> Node {
    let discovery = Discovery::start(&servers.join(","));
    let command = node_command(name, discovery.address, 1024, "");
    let text = std::fs::read_to_string(config_path(name)).unwrap();
    let text = text
        .replace(r#""memory_mb":192"#, &format!(r#""memory_mb":{MEMORY_MB}"#))
        .replace(r#""quotaPerS":1000"#, r#""quotaPerS":100000"#)
        .replace(r#""mode":"aside","originKind":1"#, specifics);
    std::fs::write(config_path(name), text).unwrap();
    Node::run(command, &discovery)
}

/// The peak of the memory of a process that no file backs, sampled until this is dropped.
struct PeakMemory {
    peak_kb: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
}

impl PeakMemory {
    fn watch(node: &Node) -> Self {
        let (peak_kb, ended) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
        let (path, peak, stop) =
            (format!("/proc/{}/status", node.child.id()), peak_kb.clone(), ended.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let Ok(status) = std::fs::read_to_string(&path) else { return };
                let Some(line) = status.lines().find_map(|line| line.strip_prefix("RssAnon:")) else {
                    return;
                };
                let kb = line.split_whitespace().next().unwrap().parse().unwrap();
                peak.fetch_max(kb, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(1));
            }
        });
        PeakMemory { peak_kb, ended }
    }

    fn assert_within_limit(&self, node: &Node) {
        let kb = self.peak_kb.load(Ordering::Relaxed);
        println!("peak: {kb} KB");
        assert!(kb <= MEMORY_MB * 1024, "{kb} KB of {MEMORY_MB} MB");
        assert_eq!(node.client().ask(&["PING"]), "+PONG");
    }
}

impl Drop for PeakMemory {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

/// Returns a value that begins with the key.
fn value_of(key: &str, length: usize) -> String {
    format!("{key}|{}", "v".repeat(length - key.len() - 1))
}

/// Starts cache servers whose values are as long as the key says, answered together a moment after they are
/// asked for.
fn value_servers(count: usize) -> Vec<String> {
    (0..count)
        .map(|i| {
            let server = serve(command, |words| {
                thread::sleep(Duration::from_millis(1));
                array(&value_of(&words[1], length_in(&words[1])))
            });
            member(&format!("s-{i}"), server, "m", "ready")
        })
        .collect()
}

fn key(name: &str, length: usize) -> String {
    format!("{name}:{length}")
}

fn length_in(key: &str) -> usize {
    key.rsplit(':').next().unwrap().parse().unwrap()
}

/// A client that sends reads of values of a length at once, and reads the answers later.
struct Burst {
    client: Client,
    keys: Vec<String>,
}

impl Burst {
    fn send(address: SocketAddr, name: &str, count: usize, length: usize) -> Self {
        let mut client = Client::connect(address);
        let keys: Vec<String> = (0..count).map(|i| key(&format!("{name}-{i}"), length)).collect();
        for key in &keys {
            client.send(&["CACHE.GET", key, key, "c=read,t=acme,d=19000"]);
        }
        Burst { client, keys }
    }

    /// Reads all answers and returns how many were served; each of them is whole and its own.
    fn read(mut self) -> usize {
        let mut served = 0;
        for key in &self.keys {
            let answer = self.client.answer();
            match answer.strip_prefix('$') {
                Some(value) => {
                    assert!(value == value_of(key, length_in(key)), "{key}: {value:.60}");
                    served += 1;
                }
                None => assert!(answer.starts_with('-'), "{key}: {answer:.60}"),
            }
        }
        served
    }
}

/// Sends bursts of reads on several connections at the same time and returns how many were served.
fn burst_on_connections(node: &Node, name: &str, connections: usize, length: usize) -> usize {
    let address = node.address;
    thread::scope(|scope| {
        let bursts: Vec<_> = (0..connections)
            .map(|i| scope.spawn(move || Burst::send(address, &format!("{name}{i}"), AT_ONCE, length).read()))
            .collect();
        bursts.into_iter().map(|burst| burst.join().unwrap()).sum()
    })
}

/// Asks one by one for a while: a node that has just started lets little in.
fn warm_up(node: &Node) {
    let until = Instant::now() + Duration::from_secs(2);
    let mut client = node.client();
    for i in 0.. {
        let key = key(&format!("warm{i}"), 100);
        client.ask(&["CACHE.GET", &key, &key, "c=read,t=acme,d=19000"]);
        if Instant::now() > until {
            return;
        }
    }
}

/// As many reads as the node admits, each answered with twice the memory that a request reserves: the node went
/// over its limit and was killed.
#[test]
fn a_burst_of_long_answers_stays_within_the_memory_limit() {
    let node = start_node("memburst", &value_servers(16));
    warm_up(&node);
    let memory = PeakMemory::watch(&node);
    let connections = ADMITTED / AT_ONCE;
    for round in 0..3 {
        let served = burst_on_connections(&node, &format!("r{round}c"), connections, LONG);
        println!("{served} of {} served", connections * AT_ONCE);
        assert!(served >= connections * AT_ONCE * 9 / 10, "{served} served");
    }
    memory.assert_within_limit(&node);
}

/// Memory is taken by bytes that are held, not by the number of requests: a burst of short answers is admitted as
/// a whole.
#[test]
fn a_burst_of_short_answers_is_served_completely() {
    let node = start_node("memshort", &value_servers(16));
    warm_up(&node);
    let memory = PeakMemory::watch(&node);
    let connections = ADMITTED / AT_ONCE;
    for round in 0..3 {
        let served = burst_on_connections(&node, &format!("r{round}c"), connections, 1000);
        assert_eq!(served, connections * AT_ONCE);
    }
    memory.assert_within_limit(&node);
}

/// Long answers that the memory can carry are held for clients that do not read yet, and delay nobody else.
#[test]
fn slow_readers_of_long_answers_are_served_beside_others() {
    let node = start_node("memslow", &value_servers(16));
    warm_up(&node);
    let memory = PeakMemory::watch(&node);
    // More than the sockets' buffers take, so that most of it stays in the node: 20 MB in all.
    let readers: Vec<Burst> =
        (0..20).map(|i| Burst::send(node.address, &format!("slow{i}"), 16, LONG)).collect();
    // The burst itself may be more than the node lets in at once.
    thread::sleep(Duration::from_millis(500));
    let until = Instant::now() + Duration::from_secs(3);
    let (mut asked, mut slowest, mut client) = (0, Duration::ZERO, node.client());
    while Instant::now() < until {
        let (key, sent_at) =
            (key(&format!("other{asked}"), if asked % 2 == 0 { 100 } else { LONG }), Instant::now());
        let answer = client.ask(&["CACHE.GET", &key, &key, "c=read,t=acme,d=1000"]);
        assert!(answer.starts_with('$'), "{asked}: {answer:.60}");
        slowest = slowest.max(sent_at.elapsed());
        asked += 1;
        thread::sleep(Duration::from_millis(5));
    }
    println!("{asked} others, the slowest in {slowest:?}");
    assert!(slowest < Duration::from_millis(500), "{slowest:?}");
    let served: usize = readers.into_iter().map(Burst::read).sum();
    assert_eq!(served, 20 * 16);
    memory.assert_within_limit(&node);
}

/// Clients that read nothing ask for more than the memory can carry: the rest stays with the servers, and others
/// are served.
#[test]
fn clients_that_read_nothing_do_not_fill_the_memory() {
    let node = start_node("memunread", &value_servers(16));
    warm_up(&node);
    let memory = PeakMemory::watch(&node);
    let readers: Vec<Burst> =
        (0..11).map(|i| Burst::send(node.address, &format!("unread{i}"), AT_ONCE, LONG)).collect();
    thread::sleep(Duration::from_secs(2));
    let mut client = node.client();
    let key = key("other", 100);
    let answer = client.ask(&["CACHE.GET", &key, &key, "c=read,t=acme,d=19000"]);
    assert!(answer.starts_with('$'), "{answer:.60}");
    memory.assert_within_limit(&node);
    drop(readers);
}

/// The same burst where the node fetches what the cache servers lack, with a length told and without one.
#[test]
fn a_burst_of_long_answers_of_the_origin_stays_within_the_memory_limit() {
    let server = serve(command, |_| miss());
    let origin = serve(call, |lines| {
        thread::sleep(Duration::from_millis(20));
        let path = lines[0].split(' ').nth(1).unwrap().trim_start_matches('/').to_owned();
        let value = value_of(&path, length_in(&path));
        if path.starts_with('n') {
            let head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
            let (closed, _) = std::sync::mpsc::channel();
            return Reaction::AnswerAndClose(format!("{head}{value}").into_bytes(), closed.into());
        }
        http("200 OK", &value)
    });
    let servers = [member("s-1", server, "m", "ready"), member("o-1", origin, "origin", "ready")];
    let node = start_node("memorigin", &servers);
    warm_up(&node);
    let memory = PeakMemory::watch(&node);
    let connections = ADMITTED / AT_ONCE;
    let mut served = 0;
    for name in ["told", "none"] {
        served += burst_on_connections(&node, name, connections, LONG);
    }
    println!("{served} served");
    assert!(served >= 100, "{served} served");
    memory.assert_within_limit(&node);
}

/// Clients send the first bytes of commands with long arguments and then nothing more.
#[test]
fn incomplete_commands_do_not_fill_the_memory() {
    let node = start_node("mempartial", &value_servers(1));
    let memory = PeakMemory::watch(&node);
    let part = "p".repeat(60_000);
    let value = format!(
        "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$20\r\nc=once,t=acme,d=9000\r\n$64000\r\n{part}"
    );
    let arguments = format!("*31\r\n{}", format!("$60000\r\n{part}\r\n").repeat(30));
    // As long as a command without a long value may be, but for its end.
    let longest = format!("*31\r\n{}", format!("$20000\r\n{}\r\n", "a".repeat(20_000)).repeat(3));
    let senders: Vec<TcpStream> = (0..400)
        .map(|i| {
            let mut stream = TcpStream::connect(node.address).unwrap();
            let bytes = [&value, &arguments, &longest][i % 3];
            stream.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
            let _ = stream.write_all(bytes.as_bytes());
            stream
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    memory.assert_within_limit(&node);
    drop(senders);
}

/// A command whose arguments are too long gets an error line, and its connection serves the next one.
#[test]
fn a_command_with_long_arguments_is_refused_and_its_connection_goes_on() {
    let node = start_node("memarguments", &value_servers(1));
    warm_up(&node);
    let mut client = node.client();
    let long = "a".repeat(20_000);
    let short = "a".repeat(700);
    let many: Vec<&str> = [short.as_str(); 24].into();
    for (arguments, error) in [
        (&["CACHE.GET", &long, "i", "c=read,t=acme,d=9000"][..], "-ERR key, id or extras of a wrong length"),
        (&["CACHE.SET", &long, "i", "c=once,t=acme,d=9000", "v"], "-ERR key, id or extras of a wrong length"),
        (&many, "-ERR unknown command"),
    ] {
        assert_eq!(client.ask(arguments), error);
        assert_eq!(client.ask(&["PING"]), "+PONG");
    }
    let key = key("behind", 100);
    assert_eq!(
        client.ask(&["CACHE.GET", &key, &key, "c=read,t=acme,d=9000"]),
        format!("${}", value_of(&key, 100))
    );
}

/// Clients send commands that the node answers itself and read nothing, behind a request that is not answered.
#[test]
fn replies_that_nobody_reads_do_not_fill_the_memory() {
    let server = serve(command, |_| Reaction::Silence);
    let node = start_node("memreplies", &[member("s-1", server, "m", "ready")]);
    let memory = PeakMemory::watch(&node);
    let info = "*1\r\n$4\r\nINFO\r\n".repeat(900);
    let senders: Vec<TcpStream> = (0..100)
        .map(|i| {
            let mut stream = TcpStream::connect(node.address).unwrap();
            let id = format!("id{i:03}");
            let read =
                format!("*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$5\r\n{id}\r\n$21\r\nc=read,t=acme,d=19000\r\n");
            stream.write_all(read.as_bytes()).unwrap();
            let _ = stream.write_all(info.as_bytes());
            stream
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    memory.assert_within_limit(&node);
    drop(senders);
}

/// Starts a cache server that accepts connections and reads nothing.
fn server_that_reads_nothing() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let _open: Vec<TcpStream> = listener.incoming().map_while(Result::ok).collect();
    });
    address
}

/// Long values are written to servers that take nothing: each is held once, not once more for being written.
#[test]
fn a_value_that_is_being_written_is_held_once() {
    const VALUE_KB: usize = 4096;
    let servers: Vec<String> =
        (0..4).map(|i| member(&format!("s-{i}"), server_that_reads_nothing(), "m", "ready")).collect();
    let node = start_node_with("memwrite", &servers, r#""mode":"through""#);
    let memory = PeakMemory::watch(&node);
    let value = "w".repeat(VALUE_KB * 1024);
    let mut writers: Vec<Client> = (0..8).map(|_| node.client()).collect();
    let admitted = writers.iter_mut().enumerate().filter_map(|(i, writer)| {
        let id = format!("id{i}");
        writer.try_send(&["CACHE.SET", &id, &id, "c=read,t=acme,d=3000", &value]);
        thread::sleep(Duration::from_millis(100));
        (!writer.answered_already()).then_some(())
    });
    let admitted = admitted.count();
    assert!(admitted >= 5, "{admitted}");
    thread::sleep(Duration::from_millis(300));
    memory.assert_within_limit(&node);
    let peak_kb = memory.peak_kb.load(Ordering::Relaxed);
    assert!(peak_kb < admitted * VALUE_KB * 3 / 2, "{peak_kb} KB for {admitted} values of {VALUE_KB} KB");
}
