//! Measures what fleet commands cost a coordinator: `Fleet::apply` alone, on one thread.
//!
//! ```sh
//! cargo run --release -p mothpier-coordination --example fleet_cost -- --nodes 6300 --servers 1500
//! ```
//!
//! Without arguments all sizes are measured, each with one drain in progress and another one waiting. Prints
//! one line of JSON per size; times are CPU time of the thread.

use std::time::Duration;

use mothpier_coordination::fleet::Fleet;
use mothpier_coordination::fleet::messages::{AuditNote, FleetCommand, Kind, Listed, Stage, Subject, Then};
use mothpier_coordination::wire::Call;
use mothpier_coordination::{Command, Request};
use rustix::time::{ClockId, clock_gettime};
use serde_json::json;

/// Pairs of numbers of nodes and cache servers.
const SIZES: [(usize, usize); 5] = [(100, 200), (300, 200), (1_000, 400), (3_000, 800), (6_300, 1_500)];

fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

fn micros(time: Duration, count: usize) -> f64 {
    (time.as_secs_f64() * 1e6 / count as f64 * 100.0).round() / 100.0
}

fn node(i: usize) -> String {
    format!("pop-{:03}-node-{i:05}", i % 370)
}

fn session(i: usize) -> String {
    format!("node:{}:{i:08x}", node(i))
}

fn server(i: usize) -> String {
    format!("cache-{i:04}")
}

fn server_entry(i: usize) -> Listed {
    Listed { id: server(i), zone: format!("zone-{:02}", i % 110), up_since_ms: 1_700_000_000_000 }
}

/// The reports of one node.
mod reports {
    use mothpier_coordination::fleet::messages::{FleetCommand, Listed};
    use mothpier_coordination::fleet::reporter::{ReadyList, Reporter, ready_list};

    pub type List = ReadyList;

    pub fn list(entries: impl Iterator<Item = Listed>) -> List {
        ready_list(entries)
    }

    #[derive(Default)]
    pub struct Node {
        reporter: Reporter,
    }

    impl Node {
        /// Returns the next report, with a new list if given, and marks it as accepted.
        pub fn report(&mut self, refused_percent: u8, list: Option<&List>) -> FleetCommand {
            if let Some(list) = list {
                self.reporter.set_servers(list.clone());
            }
            let report = self.reporter.next(true, refused_percent).expect("something is new");
            self.reporter.accepted(report.number);
            FleetCommand::NumberedReport { report }
        }
    }
}

struct Bench {
    fleet: Fleet,
    nodes: Vec<reports::Node>,
}

impl Bench {
    /// Creates a fleet in which all nodes have joined and reported all cache servers.
    fn new(nodes: usize, servers: usize) -> Self {
        let fleet = Fleet::default();
        let nodes = (0..nodes).map(|_| reports::Node::default()).collect();
        let mut bench = Bench { fleet, nodes };
        let list = reports::list((0..servers).map(server_entry));
        for i in 0..bench.nodes.len() {
            let join = FleetCommand::Join { node: node(i), zone: format!("zone-{:03}", i % 110) };
            bench.execute(i, &join);
            let report = bench.nodes[i].report(0, Some(&list));
            bench.execute(i, &report);
        }
        bench
    }

    fn execute(&mut self, i: usize, fleet_command: &FleetCommand) -> Duration {
        let session = session(i);
        let started_at = thread_cpu_time();
        let answer = self.fleet.apply(&session, fleet_command, &mut Vec::new());
        let elapsed = thread_cpu_time() - started_at;
        answer.expect("it is taken");
        elapsed
    }

    /// Lets all nodes report one after another; returns the total CPU time and size.
    fn all_report(&mut self, refused_percent: u8, list: Option<&reports::List>) -> (Duration, usize) {
        let (mut elapsed, mut bytes) = (Duration::ZERO, 0);
        for i in 0..self.nodes.len() {
            let report = self.nodes[i].report(refused_percent, list);
            bytes += wire_bytes(i, &report);
            elapsed += self.execute(i, &report);
        }
        (elapsed, bytes)
    }

    /// Requests a drain of a cache server; it waits if the limits do not allow it yet.
    fn drain(&mut self, subject: &Subject) {
        let note = AuditNote { by: "staff".into(), reason: "a measurement".into(), at_ms: 0 };
        let drain = FleetCommand::Drain {
            subject: subject.clone(),
            note,
            for_ms: None,
            then: Then::Stay,
            wait: true,
            force: false,
        };
        self.fleet.apply("staff", &drain, &mut Vec::new()).expect("it is asked for");
    }

    fn stage(&self, subject: &Subject) -> Option<Stage> {
        self.fleet.drain_of(subject).map(|(_, drain)| drain.stage)
    }

    /// Lets all nodes confirm a drain; returns the total CPU time.
    fn all_confirm(&mut self, subject: &Subject) -> Duration {
        let (drain, turn) = self.fleet.drain_of(subject).map(|(n, d)| (n, d.turn)).expect("a drain");
        let confirm = FleetCommand::Confirm { drain, turn };
        let elapsed = (0..self.nodes.len()).map(|i| self.execute(i, &confirm)).sum();
        assert_eq!(self.stage(subject), Some(Stage::Out), "all have confirmed");
        elapsed
    }
}

/// Returns the size of the call that carries a command.
fn wire_bytes(i: usize, fleet_command: &FleetCommand) -> usize {
    let request = Request::Fleet { what: fleet_command.clone() };
    let command = Command::Ask { session: session(i), number: 1_000, request };
    serde_json::to_vec(&Call { cluster: "manila".into(), command }).expect("it can be written").len()
}

fn measure(nodes: usize, servers: usize) {
    let mut bench = Bench::new(nodes, servers);
    // One drain is in progress during all measurements, and another one is waiting.
    let (leaving, waiting) = (Subject::server(&server(1)), Subject::server(&server(2)));
    bench.drain(&leaving);
    bench.drain(&waiting);
    let (plain, _) = bench.all_report(5, None);
    let started = |entry: Listed| Listed { up_since_ms: entry.up_since_ms + 1, ..entry };
    let changed = |i: usize| if i == 0 { started(server_entry(i)) } else { server_entry(i) };
    let (changed_line, _) = bench.all_report(5, Some(&reports::list((0..servers).map(changed))));
    let (leaves, bytes) = bench.all_report(5, Some(&reports::list((0..servers - 1).map(changed))));
    assert!(bench.fleet.out(Kind::Server).contains_key(server(servers - 1).as_str()), "it is missing");
    assert_eq!(bench.stage(&leaving), Some(Stage::Leaving));
    let confirm = bench.all_confirm(&leaving);
    assert_eq!(bench.stage(&waiting), Some(Stage::Asked));
    let result = json!({
        "nodes": nodes,
        "servers": servers,
        "plain_report_us": micros(plain, nodes),
        "changed_line_report_us": micros(changed_line, nodes),
        "confirmation_us": micros(confirm, nodes),
        "server_leaves_cpu_s": leaves.as_secs_f64(),
        "server_leaves_bytes": bytes,
        "server_leaves_bytes_a_node": bytes / nodes,
    });
    println!("{result}");
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument_value = |name: &str| {
        let at = arguments.iter().position(|argument| argument == name)?;
        Some(arguments.get(at + 1)?.parse::<usize>().expect("a number"))
    };
    match (argument_value("--nodes"), argument_value("--servers")) {
        (Some(nodes), Some(servers)) => measure(nodes, servers),
        _ => SIZES.iter().for_each(|(nodes, servers)| measure(*nodes, *servers)),
    }
}
