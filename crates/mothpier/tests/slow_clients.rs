//! Hundreds of clients at once that write slowly, stop within a large request, send commands of very many short parts
//! or read long answers slowly: the node stays within its memory limit and serves others.
#![allow(missing_docs)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use mothpier_world::loopback::*;

/// Memory limit of the node, in megabytes.
const MEMORY_MB: usize = 48;
/// Clients of each kind.
const CLIENTS: usize = 150;
/// How long they stay.
const DURATION: Duration = Duration::from_secs(4);
/// The pause between two writes or reads of a slow client.
const PAUSE: Duration = Duration::from_millis(20);
/// Length of a long answer, in bytes.
const LONG: usize = 60_000;
/// Long answers that a client asks for at once.
const ANSWERS: usize = 8;
/// The longest time in which a request of another client is answered.
const OTHER_DEADLINE: Duration = Duration::from_millis(1000);

#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Sends a request in small parts.
    WritesSlowly,
    /// Sends the first half of a large value.
    StopsWithinValue,
    /// Sends commands of as many parts as are read, and requests with as many extras as fit.
    ManyShortParts,
    /// Asks for long answers and reads them slowly.
    ReadsSlowly,
}

const ALL: [Behaviour; 4] =
    [Behaviour::WritesSlowly, Behaviour::StopsWithinValue, Behaviour::ManyShortParts, Behaviour::ReadsSlowly];

fn encode(arguments: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", arguments.len()).into_bytes();
    for argument in arguments {
        bytes.extend(format!("${}\r\n{argument}\r\n", argument.len()).bytes());
    }
    bytes
}

fn run_client(address: SocketAddr, behaviour: Behaviour, number: usize, until: Instant) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_write_timeout(Some(PAUSE)).unwrap();
    stream.set_read_timeout(Some(PAUSE)).unwrap();
    let id = format!("{behaviour:?}{number}");
    let large = "v".repeat(4 << 20);
    let input = match behaviour {
        Behaviour::WritesSlowly => encode(&["CACHE.SET", &id, &id, "c=once,t=acme,d=9000", &large[..LONG]]),
        Behaviour::StopsWithinValue => {
            let mut whole = encode(&["CACHE.SET", &id, &id, "c=once,t=acme,d=9000", &large]);
            whole.truncate(whole.len() / 2);
            whole
        }
        Behaviour::ManyShortParts => {
            let extras: String = (0..500).map(|field| format!(",{field:x}=1")).collect();
            let request = encode(&["CACHE.GET", "k", "id", &format!("c=nosuch{extras}")]);
            [encode(&["p"; 32]), b"*1\r\n".repeat(7), request].concat().repeat(50)
        }
        Behaviour::ReadsSlowly => (0..ANSWERS)
            .flat_map(|i| encode(&["CACHE.GET", &id, &format!("{id}-{i}"), "c=read,t=acme,d=9000"]))
            .collect(),
    };
    let mut unsent = &input[..];
    let mut buffer = [0; 1024];
    while Instant::now() < until {
        let size = match behaviour {
            Behaviour::WritesSlowly => unsent.len().min(512),
            _ => unsent.len(),
        };
        if size > 0 {
            unsent = &unsent[stream.write(&unsent[..size]).unwrap_or_default()..];
        }
        let _ = stream.read(&mut buffer);
        thread::sleep(PAUSE);
    }
}

fn anonymous_memory_kb(node: &Node) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.expect("the node has ended").split_whitespace().next().unwrap().parse().unwrap()
}

fn start_node(name: &str) -> Node {
    let servers: Vec<String> = (0..4)
        .map(|number| {
            let server = serve(command, |words| {
                let is_long = words[1].starts_with("Reads");
                steady(array(&"v".repeat(if is_long { LONG } else { 10 })))
            });
            member(&format!("s-{number}"), server, "m", "ready")
        })
        .collect();
    let discovery = Discovery::start(&servers.join(","));
    let command = node_command(name, discovery.address, 2048, "");
    lift_quota(name);
    let text = std::fs::read_to_string(config_path(name)).unwrap();
    let limited = text.replace(r#""memory_mb":192"#, &format!(r#""memory_mb":{MEMORY_MB}"#));
    std::fs::write(config_path(name), limited).unwrap();
    Node::run(command, &discovery)
}

/// Runs clients of some kinds at once, beside one that asks in the ordinary way.
fn assert_clients_are_carried(name: &str, behaviours: &[Behaviour]) {
    let node = start_node(name);
    let (address, until) = (node.address, Instant::now() + DURATION);
    let (mut peak_kb, mut asked, mut served, mut slowest) = (0, 0, 0, Duration::ZERO);
    thread::scope(|scope| {
        for behaviour in behaviours.iter().copied() {
            for number in 0..CLIENTS {
                scope.spawn(move || run_client(address, behaviour, number, until));
            }
        }
        let mut client = node.client();
        while Instant::now() < until {
            let (id, sent_at) = (format!("other{asked}"), Instant::now());
            let answer = client.ask(&["CACHE.GET", &id, &id, "c=read,t=acme,d=1000"]);
            slowest = slowest.max(sent_at.elapsed());
            asked += 1;
            served += usize::from(answer.starts_with('$'));
            if answer == "end" {
                client = node.client();
            }
            peak_kb = peak_kb.max(anonymous_memory_kb(&node));
            thread::sleep(Duration::from_millis(3));
        }
    });
    println!("{behaviours:?}: peak {peak_kb} KB, {served} of {asked} others served, slowest {slowest:?}");
    assert!(peak_kb <= MEMORY_MB * 1024, "{behaviours:?}: {peak_kb} KB of {MEMORY_MB} MB");
    assert!(slowest <= OTHER_DEADLINE, "{behaviours:?}: {slowest:?}");
    assert!(served * 2 >= asked, "{behaviours:?}: {served} of {asked} others served");
}

#[test]
fn hundreds_of_slow_clients_stay_within_the_memory_limit() {
    for behaviour in ALL {
        assert_clients_are_carried(&format!("slow{behaviour:?}"), &[behaviour]);
    }
    assert_clients_are_carried("slowall", &ALL);
}
