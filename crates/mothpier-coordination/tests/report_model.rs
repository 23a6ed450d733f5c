//! Reports that carry what changed, checked over every order of events within bounds, and refuted for each condition that is
//! left out: reports are lost, doubled and reordered, answers are lost, sessions end, new processes take a node's name, and
//! the state is read from a snapshot of the format before.
//!
//! The pure code is the product's own: `Fleet` at the coordinators, `Reporter` at the nodes. Beside it goes a fleet that gets
//! each report once, in order, and as a whole list: both are the same at every moment.
//!
//! `MODEL=large cargo test --release -p mothpier-coordination --test report_model -- --nocapture` checks larger bounds.

use std::collections::{BTreeMap, BTreeSet};

use mothpier_coordination::fleet::messages::{
    FleetCommand, FleetRefusal, Kind, Listed, NumberedReport, Report, ReportedServers,
};
use mothpier_coordination::fleet::reporter::{Reporter, ready_list};
use mothpier_coordination::fleet::{Condition, Fleet, Node};
use stateright::{Checker, HasDiscoveries, Model, Property};

const NODES: usize = 2;
const SERVERS: usize = 2;

/// How often each thing may happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Counts {
    /// A node's list or its readiness changes.
    changes: u8,
    /// A report is delivered and stays under way.
    copies: u8,
    /// An answer is lost.
    lost_answers: u8,
    /// A session ends.
    ends: u8,
    /// A new process takes the name of one that lives.
    takeovers: u8,
    /// The state is read as the format before kept it.
    older_snapshots: u8,
}

#[derive(Clone, Copy, Debug)]
struct Bounds {
    without: Option<Condition>,
    most: Counts,
}

/// A report under way, with all that its node listed when it was made.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Message {
    node: usize,
    session: String,
    report: NumberedReport,
    list: [bool; SERVERS],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    lives: u8,
    joined: bool,
    reporter: Reporter,
    ready: bool,
    list: [bool; SERVERS],
    /// The report that awaits its answer.
    sent: Option<Message>,
    /// The number of the last report that took effect, as an onlooker counts.
    taken: u64,
}

impl Process {
    fn session(&self, node: usize) -> String {
        format!("n{node}-{}", self.lives)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    fleet: Fleet,
    /// The same fleet by whole lists, each taken once and in order.
    reference: Fleet,
    processes: Vec<Process>,
    net: BTreeSet<Message>,
    spent: Counts,
    /// Cache servers that count as out, where these are others than a plain count gives.
    miscounted: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Toggle(usize, usize),
    Readiness(usize),
    Send(usize),
    Deliver { message: Message, stays: bool, answered: bool },
    SessionEnds(usize),
    Join(usize),
    OlderSnapshot,
}

fn server(i: usize) -> String {
    format!("s{i}")
}

fn lines(list: &[bool; SERVERS]) -> Vec<Listed> {
    let listed = (0..SERVERS).filter(|i| list[*i]);
    listed.map(|i| Listed { id: server(i), zone: "z".into(), up_since_ms: 0 }).collect()
}

/// Cache servers that half of the living nodes with a list do not list, counted from what is there.
fn missing(fleet: &Fleet) -> BTreeSet<&str> {
    let telling = || fleet.nodes.values().filter(|node| node.session.is_some() && node.lists);
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for id in telling().flat_map(|node: &Node| &node.unlisted) {
        *counts.entry(id).or_default() += 1;
    }
    let half = |count: usize| 2 * count >= telling().count();
    counts.into_iter().filter(|(_, count)| half(*count)).map(|(id, _)| id).collect()
}

fn counts_missing(fleet: &Fleet) -> BTreeSet<&str> {
    fleet.out(Kind::Server).into_iter().filter(|(_, why)| why == "missing").map(|(id, _)| id).collect()
}

impl World {
    fn both(&mut self, session: &str, ask: &FleetCommand) {
        let _ = self.fleet.apply(session, ask, &mut Vec::new());
        let _ = self.reference.apply(session, ask, &mut Vec::new());
    }

    fn join(&mut self, i: usize) {
        let process = &mut self.processes[i];
        let fresh =
            Process { reporter: Reporter::default(), sent: None, taken: 0, joined: true, ..process.clone() };
        *process = Process { lives: process.lives + 1, ..fresh };
        process.reporter.set_servers(ready_list(lines(&process.list)));
        let session = process.session(i);
        self.both(&session, &FleetCommand::Join { node: format!("n{i}"), zone: "z".into() });
    }

    fn send(&mut self, i: usize) {
        let process = &mut self.processes[i];
        let session = process.session(i);
        let Some(report) = process.reporter.next(process.ready, 0) else { return };
        let again = process.sent.take().filter(|sent| sent.report == report);
        let message = again.unwrap_or(Message { node: i, session, report, list: process.list });
        process.sent = Some(message.clone());
        self.net.insert(message);
    }

    fn deliver(&mut self, message: &Message, answered: bool) {
        let ask = FleetCommand::NumberedReport { report: message.report.clone() };
        let answer = self.fleet.apply(&message.session, &ask, &mut Vec::new());
        let process = &mut self.processes[message.node];
        if !process.joined || process.session(message.node) != message.session {
            return;
        }
        let number = message.report.number;
        let (builds_on, servers) = match &message.report.servers {
            ReportedServers::Delta { base, .. } => (Some(*base), Some(lines(&message.list))),
            ReportedServers::Unchanged { base } => (Some(*base), None),
            ReportedServers::Whole { .. } | ReportedServers::Unknown => (None, Some(lines(&message.list))),
        };
        if number > process.taken && builds_on.is_none_or(|base| base == process.taken) {
            process.taken = number;
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

    fn read_older_snapshot(&mut self, without: Option<Condition>) {
        let as_before = |fleet: &Fleet| -> Fleet {
            let written = serde_json::to_vec(&fleet.shown()).expect("it can be written");
            serde_json::from_slice(&written).expect("it can be read")
        };
        self.fleet = as_before(&self.fleet).without(without);
        self.reference = as_before(&self.reference);
        for process in &mut self.processes {
            process.taken = 0;
        }
    }

    fn settle(&mut self) {
        self.fleet.events.clear();
        self.reference.events.clear();
        self.miscounted = counts_missing(&self.fleet) != missing(&self.fleet);
    }

    /// Nothing more goes wrong: soon the coordinators have what each node lists.
    fn heals(&self) -> bool {
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
        (0..NODES).all(|i| world.is_known(i))
    }

    /// Whether the coordinators' list of a node is its own, of the cache servers that were known when it told it. When one
    /// became known, the format before did not keep.
    fn is_known(&self, i: usize) -> bool {
        let (process, node) = (&self.processes[i], &self.fleet.nodes[&format!("n{i}")]);
        let right = |j: usize| match self.fleet.servers.get(&server(j)) {
            None => !process.list[j],
            Some(_) if process.list[j] => !node.unlisted.contains(&server(j)),
            Some(known) if known.registered == 0 || known.registered > node.registered => true,
            Some(_) => node.unlisted.contains(&server(j)),
        };
        node.ready == process.ready && (0..SERVERS).all(right)
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let list = std::array::from_fn(|i| i == 0);
        let process = Process {
            lives: 0,
            joined: false,
            reporter: Reporter::default(),
            ready: true,
            list,
            sent: None,
            taken: 0,
        };
        let mut world = World {
            fleet: Fleet::default().without(self.without),
            reference: Fleet::default(),
            processes: vec![process; NODES],
            net: BTreeSet::new(),
            spent: Counts::default(),
            miscounted: false,
        };
        for i in 0..NODES {
            world.join(i);
            world.send(i);
            let first = world.net.pop_first().expect("a first report");
            world.deliver(&first, true);
        }
        world.settle();
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let (spent, most) = (&world.spent, &self.most);
        for (i, process) in world.processes.iter().enumerate() {
            if spent.changes < most.changes {
                steps.extend((0..SERVERS).map(|j| Step::Toggle(i, j)));
                steps.push(Step::Readiness(i));
            }
            if !process.joined {
                steps.push(Step::Join(i));
                continue;
            }
            if spent.ends < most.ends {
                steps.push(Step::SessionEnds(i));
            }
            if spent.takeovers < most.takeovers {
                steps.push(Step::Join(i));
            }
            if process.reporter.clone().next(process.ready, 0).is_some() {
                steps.push(Step::Send(i));
            }
        }
        for message in &world.net {
            let stays: &[bool] = if spent.copies < most.copies { &[false, true] } else { &[false] };
            let answered: &[bool] =
                if spent.lost_answers < most.lost_answers { &[true, false] } else { &[true] };
            for stays in stays {
                for answered in answered {
                    let message = message.clone();
                    steps.push(Step::Deliver { message, stays: *stays, answered: *answered });
                }
            }
        }
        if spent.older_snapshots < most.older_snapshots {
            steps.push(Step::OlderSnapshot);
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Toggle(i, j) => {
                next.spent.changes += 1;
                let process = &mut next.processes[i];
                process.list[j] = !process.list[j];
                process.reporter.set_servers(ready_list(lines(&process.list)));
            }
            Step::Readiness(i) => {
                next.spent.changes += 1;
                next.processes[i].ready = !next.processes[i].ready;
            }
            Step::Send(i) => next.send(i),
            Step::Deliver { message, stays, answered } => {
                next.spent.copies += u8::from(stays);
                next.spent.lost_answers += u8::from(!answered);
                if !stays {
                    next.net.remove(&message);
                }
                next.deliver(&message, answered);
            }
            Step::SessionEnds(i) => {
                next.spent.ends += 1;
                next.session_ends(i);
            }
            Step::Join(i) => {
                next.spent.takeovers += u8::from(next.processes[i].joined);
                next.join(i);
            }
            Step::OlderSnapshot => {
                next.spent.older_snapshots += 1;
                next.read_older_snapshot(self.without);
            }
        }
        next.settle();
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("deltas make what whole lists make", |_, world: &World| {
                world.fleet.shown() == world.reference.shown()
            }),
            Property::always("the count of a plain look is kept", |_, world: &World| !world.miscounted),
            Property::always("healed, the coordinators know each list", |_, world: &World| world.heals()),
            Property::sometimes("a cache server is missing", |_, world: &World| {
                !counts_missing(&world.fleet).is_empty()
            }),
        ]
    }
}

/// What `cargo test` checks.
const SMALL: Counts =
    Counts { changes: 2, copies: 1, lost_answers: 1, ends: 1, takeovers: 0, older_snapshots: 0 };

fn checked(name: &str, most: Counts) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let began = std::time::Instant::now();
    let checker = Bounds { without: None, most }.checker().threads(threads).spawn_bfs().join();
    eprintln!("{name}: {} states unlike, {:.1?}", checker.unique_state_count(), began.elapsed());
    checker.assert_properties();
}

#[test]
fn deltas_make_what_whole_lists_make_in_every_order_of_events() {
    checked("sessions end", SMALL);
    checked("new processes", Counts { ends: 0, takeovers: 1, ..SMALL });
    checked("a snapshot of the format before", Counts { ends: 0, older_snapshots: 1, ..SMALL });
    checked("three changes", Counts { changes: 3, ends: 0, ..SMALL });
    if std::env::var("MODEL").is_ok_and(|model| model == "large") {
        checked("three changes, sessions end", Counts { changes: 3, copies: 2, ..SMALL });
        checked("all of it", Counts { takeovers: 1, older_snapshots: 1, ..SMALL });
    }
}

#[test]
fn each_condition_of_reports_that_is_left_out_is_found() {
    for condition in [Condition::DeltaBaseMatches, Condition::RepeatIgnored, Condition::EndedSessionUncounted]
    {
        let threads = std::thread::available_parallelism().map_or(1, usize::from);
        let most = Counts { changes: 3, ..SMALL };
        let checker = Bounds { without: Some(condition), most }
            .checker()
            .threads(threads)
            .finish_when(HasDiscoveries::AnyOf(
                ["deltas make what whole lists make", "the count of a plain look is kept"].into(),
            ))
            .spawn_bfs()
            .join();
        let found = ["deltas make what whole lists make", "the count of a plain look is kept"];
        let (name, path) = checker
            .discoveries()
            .into_iter()
            .find(|(name, _)| found.contains(name))
            .unwrap_or_else(|| panic!("{condition:?} is not refuted"));
        eprintln!("{condition:?}: {name:?} is refuted in {} steps", path.into_actions().len());
    }
}
