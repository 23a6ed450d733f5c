//! Model check of delta reports over all event orders within bounds. With any one condition left out, a
//! property must fail. Reports are lost, duplicated and reordered, answers are lost, sessions end, new
//! processes take over a node's name, and the state is loaded from a snapshot of the previous format.
//!
//! The code under test is the real one: `Fleet` at the coordinators, `Reporter` at the nodes. A reference
//! fleet receives each report exactly once, in order and as a whole list, and must equal the fleet under
//! test at all times.
//!
//! `MODEL=large cargo test --release -p mothpier-coordination --test report_model -- --nocapture` checks
//! larger bounds.

use std::collections::{BTreeMap, BTreeSet};

use mothpier_coordination::fleet::messages::{
    FleetCommand, FleetRefusal, Kind, Listed, NumberedReport, Report, ReportedServers,
};
use mothpier_coordination::fleet::reporter::{Reporter, ready_list};
use mothpier_coordination::fleet::{Condition, Fleet, Node};
use stateright::{Checker, HasDiscoveries, Model, Property};

const NODES: usize = 2;
const SERVERS: usize = 2;

/// How often each event may happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Counts {
    /// The list or the readiness of a node changes.
    changes: u8,
    /// A report is delivered and a copy stays in flight.
    copies: u8,
    /// An answer is lost.
    lost_answers: u8,
    /// A session ends.
    ends: u8,
    /// A new process takes over the name of a live one.
    takeovers: u8,
    /// The state is loaded from a snapshot of the previous format.
    older_snapshots: u8,
}

#[derive(Clone, Copy, Debug)]
struct Bounds {
    without: Option<Condition>,
    limits: Counts,
}

/// A report in flight, with the node's whole list at the time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Message {
    node: usize,
    session: String,
    report: NumberedReport,
    list: [bool; SERVERS],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    incarnation: u8,
    joined: bool,
    reporter: Reporter,
    ready: bool,
    list: [bool; SERVERS],
    /// The report that awaits its answer.
    sent: Option<Message>,
    /// The number of the last report that took effect, counted independently.
    last_applied: u64,
}

impl Process {
    fn session(&self, node: usize) -> String {
        format!("n{node}-{}", self.incarnation)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    fleet: Fleet,
    /// The reference fleet, which receives whole lists, each once and in order.
    reference: Fleet,
    processes: Vec<Process>,
    net: BTreeSet<Message>,
    event_counts: Counts,
    /// Whether the missing cache servers differ from an independent count.
    missing_count_differs: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Toggle(usize, usize),
    Readiness(usize),
    Send(usize),
    Deliver { message: Message, copy_stays: bool, answered: bool },
    SessionEnds(usize),
    Join(usize),
    OlderSnapshot,
}

fn server(i: usize) -> String {
    format!("s{i}")
}

fn listed_servers(list: &[bool; SERVERS]) -> Vec<Listed> {
    let listed = (0..SERVERS).filter(|i| list[*i]);
    listed.map(|i| Listed { id: server(i), zone: "z".into(), up_since_ms: 0 }).collect()
}

/// Returns the cache servers that at least half of the live nodes with a list do not list, counted
/// independently.
fn missing_by_count(fleet: &Fleet) -> BTreeSet<&str> {
    let reporting_nodes = || fleet.nodes.values().filter(|node| node.session.is_some() && node.lists);
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for id in reporting_nodes().flat_map(|node: &Node| &node.unlisted) {
        *counts.entry(id).or_default() += 1;
    }
    let half = |count: usize| 2 * count >= reporting_nodes().count();
    counts.into_iter().filter(|(_, count)| half(*count)).map(|(id, _)| id).collect()
}

fn missing_by_fleet(fleet: &Fleet) -> BTreeSet<&str> {
    fleet.out(Kind::Server).into_iter().filter(|(_, why)| why == "missing").map(|(id, _)| id).collect()
}

impl World {
    fn apply_to_both(&mut self, session: &str, command: &FleetCommand) {
        let _ = self.fleet.apply(session, command, &mut Vec::new());
        let _ = self.reference.apply(session, command, &mut Vec::new());
    }

    fn join(&mut self, i: usize) {
        let process = &mut self.processes[i];
        let restarted = Process {
            reporter: Reporter::default(),
            sent: None,
            last_applied: 0,
            joined: true,
            ..process.clone()
        };
        *process = Process { incarnation: process.incarnation + 1, ..restarted };
        process.reporter.set_servers(ready_list(listed_servers(&process.list)));
        let session = process.session(i);
        self.apply_to_both(&session, &FleetCommand::Join { node: format!("n{i}"), zone: "z".into() });
    }

    fn send(&mut self, i: usize) {
        let process = &mut self.processes[i];
        let session = process.session(i);
        let Some(report) = process.reporter.next(process.ready, 0) else { return };
        let repeated = process.sent.take().filter(|sent| sent.report == report);
        let message = repeated.unwrap_or(Message { node: i, session, report, list: process.list });
        process.sent = Some(message.clone());
        self.net.insert(message);
    }

    fn deliver(&mut self, message: &Message, answered: bool) {
        let command = FleetCommand::NumberedReport { report: message.report.clone() };
        let answer = self.fleet.apply(&message.session, &command, &mut Vec::new());
        let process = &mut self.processes[message.node];
        if !process.joined || process.session(message.node) != message.session {
            return;
        }
        let number = message.report.number;
        let (builds_on, servers) = match &message.report.servers {
            ReportedServers::Delta { base, .. } => (Some(*base), Some(listed_servers(&message.list))),
            ReportedServers::Unchanged { base } => (Some(*base), None),
            ReportedServers::Whole { .. } | ReportedServers::Unknown => {
                (None, Some(listed_servers(&message.list)))
            }
        };
        if number > process.last_applied && builds_on.is_none_or(|base| base == process.last_applied) {
            process.last_applied = number;
            let report = Report { ready: message.report.ready, refused_percent: 0, servers };
            let _ = self.reference.apply(&message.session, &FleetCommand::Report { report }, &mut Vec::new());
        }
        if answered {
            match answer {
                Ok(_) => process.reporter.accepted(number),
                Err(FleetRefusal::UnknownBase { last }) => process.reporter.base_unknown(number, last),
                Err(_) => process.reporter.rejected(number),
            }
        }
    }

    fn session_ends(&mut self, i: usize) {
        let process = &mut self.processes[i];
        process.joined = false;
        let session = process.session(i);
        self.fleet.session_ended(&session, &mut Vec::new());
        self.reference.session_ended(&session, &mut Vec::new());
    }

    fn load_older_snapshot(&mut self, without: Option<Condition>) {
        let through_older_format = |fleet: &Fleet| -> Fleet {
            let written = serde_json::to_vec(&fleet.shown()).expect("the fleet serializes");
            serde_json::from_slice(&written).expect("the fleet deserializes")
        };
        self.fleet = through_older_format(&self.fleet).without(without);
        self.reference = through_older_format(&self.reference);
        for process in &mut self.processes {
            process.last_applied = 0;
        }
    }

    fn update_derived(&mut self) {
        self.fleet.events.clear();
        self.reference.events.clear();
        self.missing_count_differs = missing_by_fleet(&self.fleet) != missing_by_count(&self.fleet);
    }

    /// Whether the coordinators know each node's list soon after all faults have ended.
    fn recovers(&self) -> bool {
        let mut world = self.clone();
        for i in 0..NODES {
            if !world.processes[i].joined {
                world.join(i);
            }
            for _ in 0..4 {
                world.send(i);
                if let Some(message) = world.processes[i].sent.clone() {
                    world.deliver(&message, true);
                }
            }
            let process = &mut world.processes[i];
            if process.reporter.next(process.ready, 0).is_some() {
                return false;
            }
        }
        (0..NODES).all(|i| world.list_is_known(i))
    }

    /// Whether the coordinators have the node's current list, for the cache servers that were registered
    /// when the node reported it. The previous format did not store when a cache server was registered.
    fn list_is_known(&self, i: usize) -> bool {
        let (process, node) = (&self.processes[i], &self.fleet.nodes[&format!("n{i}")]);
        let is_correct = |j: usize| match self.fleet.servers.get(&server(j)) {
            None => !process.list[j],
            Some(_) if process.list[j] => !node.unlisted.contains(&server(j)),
            Some(known) if known.registered == 0 || known.registered > node.registered => true,
            Some(_) => node.unlisted.contains(&server(j)),
        };
        node.ready == process.ready && (0..SERVERS).all(is_correct)
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let list = std::array::from_fn(|i| i == 0);
        let process = Process {
            incarnation: 0,
            joined: false,
            reporter: Reporter::default(),
            ready: true,
            list,
            sent: None,
            last_applied: 0,
        };
        let mut world = World {
            fleet: Fleet::default().without(self.without),
            reference: Fleet::default(),
            processes: vec![process; NODES],
            net: BTreeSet::new(),
            event_counts: Counts::default(),
            missing_count_differs: false,
        };
        for i in 0..NODES {
            world.join(i);
            world.send(i);
            let first = world.net.pop_first().expect("a first report");
            world.deliver(&first, true);
        }
        world.update_derived();
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let (event_counts, limits) = (&world.event_counts, &self.limits);
        for (i, process) in world.processes.iter().enumerate() {
            if event_counts.changes < limits.changes {
                steps.extend((0..SERVERS).map(|j| Step::Toggle(i, j)));
                steps.push(Step::Readiness(i));
            }
            if !process.joined {
                steps.push(Step::Join(i));
                continue;
            }
            if event_counts.ends < limits.ends {
                steps.push(Step::SessionEnds(i));
            }
            if event_counts.takeovers < limits.takeovers {
                steps.push(Step::Join(i));
            }
            if process.reporter.clone().next(process.ready, 0).is_some() {
                steps.push(Step::Send(i));
            }
        }
        for message in &world.net {
            let copy_stays: &[bool] =
                if event_counts.copies < limits.copies { &[false, true] } else { &[false] };
            let answered: &[bool] =
                if event_counts.lost_answers < limits.lost_answers { &[true, false] } else { &[true] };
            for copy_stays in copy_stays {
                for answered in answered {
                    let message = message.clone();
                    steps.push(Step::Deliver { message, copy_stays: *copy_stays, answered: *answered });
                }
            }
        }
        if event_counts.older_snapshots < limits.older_snapshots {
            steps.push(Step::OlderSnapshot);
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Toggle(i, j) => {
                next.event_counts.changes += 1;
                let process = &mut next.processes[i];
                process.list[j] = !process.list[j];
                process.reporter.set_servers(ready_list(listed_servers(&process.list)));
            }
            Step::Readiness(i) => {
                next.event_counts.changes += 1;
                next.processes[i].ready = !next.processes[i].ready;
            }
            Step::Send(i) => next.send(i),
            Step::Deliver { message, copy_stays, answered } => {
                next.event_counts.copies += u8::from(copy_stays);
                next.event_counts.lost_answers += u8::from(!answered);
                if !copy_stays {
                    next.net.remove(&message);
                }
                next.deliver(&message, answered);
            }
            Step::SessionEnds(i) => {
                next.event_counts.ends += 1;
                next.session_ends(i);
            }
            Step::Join(i) => {
                next.event_counts.takeovers += u8::from(next.processes[i].joined);
                next.join(i);
            }
            Step::OlderSnapshot => {
                next.event_counts.older_snapshots += 1;
                next.load_older_snapshot(self.without);
            }
        }
        next.update_derived();
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("deltas equal whole lists", |_, world: &World| {
                world.fleet.shown() == world.reference.shown()
            }),
            Property::always("missing servers equal an independent count", |_, world: &World| {
                !world.missing_count_differs
            }),
            Property::always("after recovery the coordinators know each list", |_, world: &World| {
                world.recovers()
            }),
            Property::sometimes("a cache server is missing", |_, world: &World| {
                !missing_by_fleet(&world.fleet).is_empty()
            }),
        ]
    }
}

/// The bounds that `cargo test` checks.
const SMALL: Counts =
    Counts { changes: 2, copies: 1, lost_answers: 1, ends: 1, takeovers: 0, older_snapshots: 0 };

fn check(name: &str, limits: Counts) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let began = std::time::Instant::now();
    let checker = Bounds { without: None, limits }.checker().threads(threads).spawn_bfs().join();
    eprintln!("{name}: {} distinct states, {:.1?}", checker.unique_state_count(), began.elapsed());
    checker.assert_properties();
}

#[test]
fn deltas_equal_whole_lists_in_every_order_of_events() {
    check("sessions end", SMALL);
    check("new processes", Counts { ends: 0, takeovers: 1, ..SMALL });
    check("a snapshot of the previous format", Counts { ends: 0, older_snapshots: 1, ..SMALL });
    check("three changes", Counts { changes: 3, ends: 0, ..SMALL });
    if std::env::var("MODEL").is_ok_and(|model| model == "large") {
        check("three changes, sessions end", Counts { changes: 3, copies: 2, ..SMALL });
        check("all events", Counts { takeovers: 1, older_snapshots: 1, ..SMALL });
    }
}

#[test]
fn a_property_fails_without_any_one_report_condition() {
    for condition in [Condition::DeltaBaseMatches, Condition::RepeatIgnored, Condition::EndedSessionUncounted]
    {
        let threads = std::thread::available_parallelism().map_or(1, usize::from);
        let limits = Counts { changes: 3, ..SMALL };
        let checker = Bounds { without: Some(condition), limits }
            .checker()
            .threads(threads)
            .finish_when(HasDiscoveries::AnyOf(
                ["deltas equal whole lists", "missing servers equal an independent count"].into(),
            ))
            .spawn_bfs()
            .join();
        let found = ["deltas equal whole lists", "missing servers equal an independent count"];
        let (name, path) = checker
            .discoveries()
            .into_iter()
            .find(|(name, _)| found.contains(name))
            .unwrap_or_else(|| panic!("no property fails without {condition:?}"));
        eprintln!("without {condition:?}: {name:?} fails after {} steps", path.into_actions().len());
    }
}
