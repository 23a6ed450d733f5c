//! Property test of the fleet's indexes and of delta reports over random commands. After each command the
//! indexes must equal those computed from scratch, the drain rules must agree with a naive implementation,
//! and the fleet must equal one that receives whole lists.
#![allow(missing_docs)]

use std::collections::{BTreeMap, BTreeSet};

use mothpier_coordination::fleet::limits::{Bound, Limits};
use mothpier_coordination::fleet::messages::{
    AuditNote, FleetCommand, FleetRefusal, Kind, Listed, NumberedReport, Report, ReportedServers, Stage,
    Subject, Then,
};
use mothpier_coordination::fleet::reporter::{Reporter, ready_list};
use mothpier_coordination::fleet::timers::Timer;
use mothpier_coordination::fleet::{Drain, Fleet, Node};
use proptest::prelude::*;

const NODES: usize = 5;
const SERVERS: usize = 6;

/// A naive implementation of the drain rules that looks at everything for each question.
mod naive {
    use super::*;

    fn reporting_nodes(fleet: &Fleet) -> impl Iterator<Item = &Node> {
        fleet.nodes.values().filter(|node| node.session.is_some() && node.lists)
    }

    pub fn unlisted(fleet: &Fleet) -> BTreeSet<&str> {
        let node_count = reporting_nodes(fleet).count();
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for id in reporting_nodes(fleet).flat_map(|node| &node.unlisted) {
            *counts.entry(id).or_default() += 1;
        }
        counts.into_iter().filter(|(_, count)| 2 * count >= node_count).map(|(id, _)| id).collect()
    }

    pub fn out(fleet: &Fleet, kind: Kind) -> BTreeMap<&str, String> {
        let mut out: BTreeMap<&str, String> = BTreeMap::new();
        match kind {
            Kind::Node => {
                for (name, node) in &fleet.nodes {
                    match (&node.session, node.ready) {
                        (None, _) => drop(out.insert(name, "missing".into())),
                        (_, false) => drop(out.insert(name, "not ready".into())),
                        _ => {}
                    }
                }
            }
            Kind::Server => {
                let unlisted = unlisted(fleet);
                for (id, server) in &fleet.servers {
                    if unlisted.contains(id.as_str()) {
                        out.insert(id, "missing".into());
                    } else if server.cold.is_some() {
                        out.insert(id, "cold".into());
                    }
                }
            }
        }
        let granted = |drain: &&Drain| drain.subject.kind == kind && drain.stage != Stage::Asked;
        for (number, drain) in fleet.drains.iter().filter(|(_, drain)| granted(drain)) {
            out.insert(&drain.subject.id, format!("drain {number}, {}", drain.stage.name()));
        }
        out
    }

    pub fn awaited_nodes(fleet: &Fleet, drain: &Drain) -> Vec<String> {
        let own = |name: &&String| drain.subject.kind == Kind::Server || **name == drain.subject.id;
        let names = fleet.nodes.keys().filter(own);
        names.filter(|name| !drain.confirmed.contains(*name)).cloned().collect()
    }

    pub fn blocking_limit(fleet: &Fleet, subject: &Subject) -> Option<(&'static str, u64)> {
        let kind = subject.kind;
        let zone = |id: &str| match kind {
            Kind::Node => fleet.nodes.get(id).map_or("", |node| &node.zone),
            Kind::Server => fleet.servers.get(id).map_or("", |server| &server.zone),
        };
        let ids: Vec<&String> = match kind {
            Kind::Node => fleet.nodes.keys().collect(),
            Kind::Server => fleet.servers.keys().collect(),
        };
        let bound = if kind == Kind::Node { &fleet.limits.nodes } else { &fleet.limits.servers };
        let of_zone = |id: &str| zone(id) == zone(&subject.id);
        let mut out = out(fleet, kind);
        out.remove(subject.id.as_str());
        let (all, in_zone) = (out.len(), out.keys().filter(|id| of_zone(id)).count());
        let zone_total = ids.iter().filter(|id| of_zone(id)).count();
        if all >= bound.out_most as usize {
            return Some(("out_most", all as u64));
        }
        if bound.out_percent.is_some_and(|percent| all >= ids.len() * percent as usize / 100) {
            return Some(("out_percent", all as u64));
        }
        if bound.zone_out_most.is_some_and(|most| in_zone >= most as usize) {
            return Some(("zone_out_most", in_zone as u64));
        }
        if ids.len() - all <= bound.ready_fewest as usize {
            return Some(("ready_fewest", all as u64));
        }
        if zone_total - in_zone <= bound.zone_ready_fewest as usize {
            return Some(("zone_ready_fewest", in_zone as u64));
        }
        None
    }

    pub fn halt_reason(fleet: &Fleet) -> bool {
        let too_many = |kind: Kind, most: u32| {
            let granted = |id: &str| {
                let mut drains = fleet.drains.values();
                drains.any(|d| d.subject.kind == kind && d.subject.id == id && d.stage != Stage::Asked)
            };
            let out = out(fleet, kind);
            out.iter().filter(|(id, why)| !granted(id) && *why != "cold").count() > most as usize
        };
        let serving: Vec<u64> = fleet
            .nodes
            .values()
            .filter(|node| node.session.is_some() && node.ready)
            .map(|node| u64::from(node.refused_percent))
            .collect();
        let refused = fleet.limits.refused_percent.is_some_and(|most| {
            let mean = serving.iter().sum::<u64>().checked_div(serving.len() as u64);
            mean.is_some_and(|mean| mean >= u64::from(most))
        });
        too_many(Kind::Node, fleet.limits.nodes.out_most)
            || too_many(Kind::Server, fleet.limits.servers.out_most)
            || refused
    }

    pub fn starts(fleet: &Fleet) -> BTreeSet<Timer> {
        let cold = fleet.servers.iter().filter_map(|(id, server)| Some((id, server.cold?)));
        cold.map(|(id, start)| Timer::Start { server: id.clone(), start }).collect()
    }
}

#[derive(Clone, Debug)]
enum Step {
    Join(usize),
    SessionOver(usize),
    /// A node has a new list with the cache servers whose bits are set.
    List(usize, u8),
    Readiness(usize, bool, u8),
    /// A delayed duplicate of an earlier report arrives.
    Repeat(usize, usize),
    /// A cache server restarts.
    Restart(usize),
    Drain(usize, bool, bool),
    Back(usize),
    Confirm(usize, usize),
    Forget(usize),
    Halt,
    Resume,
    Limits(u32, Option<u32>, Option<u32>, u32),
    Due(usize),
    /// The fleet is serialized and loaded again.
    Snapshot,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let node = || 0..NODES;
    let subject = || 0..NODES + SERVERS;
    let one = prop_oneof![
        4 => node().prop_map(Step::Join),
        2 => node().prop_map(Step::SessionOver),
        6 => (node(), any::<u8>()).prop_map(|(i, mask)| Step::List(i, mask | (mask >> 4))),
        4 => (node(), any::<bool>(), 0..40u8).prop_map(|(i, ready, refused)| Step::Readiness(i, ready, refused)),
        3 => (node(), 0..6usize).prop_map(|(i, back)| Step::Repeat(i, back)),
        1 => (0..SERVERS).prop_map(Step::Restart),
        4 => (subject(), any::<bool>(), prop::bool::weighted(0.2)).prop_map(|(i, wait, force)| Step::Drain(i, wait, force)),
        2 => subject().prop_map(Step::Back),
        6 => (node(), 0..4usize).prop_map(|(i, drain)| Step::Confirm(i, drain)),
        1 => subject().prop_map(Step::Forget),
        1 => Just(Step::Halt),
        2 => Just(Step::Resume),
        1 => (1..4u32, prop::option::of(20..80u32), prop::option::of(1..3u32), 0..3u32)
            .prop_map(|(most, percent, zone, fewest)| Step::Limits(most, percent, zone, fewest)),
        3 => (0..4usize).prop_map(Step::Due),
        1 => Just(Step::Snapshot),
    ];
    prop::collection::vec(one, 100..300)
}

fn node(i: usize) -> String {
    format!("n{i}")
}

fn server(i: usize) -> String {
    format!("s{i}")
}

fn zone(i: usize) -> String {
    ["a", "b"][i % 2].into()
}

fn subject(i: usize) -> Subject {
    if i < NODES { Subject::node(&node(i)) } else { Subject::server(&server(i - NODES)) }
}

fn note() -> AuditNote {
    AuditNote { by: "staff".into(), reason: "r".into(), at_ms: 0 }
}

/// The process of a node.
#[derive(Default)]
struct Process {
    session: String,
    reporter: Reporter,
    ready: bool,
    refused_percent: u8,
    list: Option<Vec<Listed>>,
    sent: Vec<NumberedReport>,
}

/// Two copies of the same fleet: one receives delta reports, the other whole lists.
struct World {
    by_deltas: Fleet,
    by_whole_lists: Fleet,
    processes: Vec<Option<Process>>,
    up_since: Vec<u64>,
    sessions: u64,
}

impl World {
    fn new() -> Self {
        World {
            by_deltas: Fleet::default(),
            by_whole_lists: Fleet::default(),
            processes: (0..NODES).map(|_| None).collect(),
            up_since: vec![1; SERVERS],
            sessions: 0,
        }
    }

    /// Applies a command to both fleets, which must give the same response.
    fn apply_to_both(&mut self, session: &str, command: FleetCommand) {
        let (mut one, mut other) = (Vec::new(), Vec::new());
        let answer = self.by_deltas.apply(session, &command, &mut one);
        assert_eq!(answer, self.by_whole_lists.apply(session, &command, &mut other));
        assert_eq!(one, other);
    }

    fn report(&mut self, i: usize, list_is_new: bool) {
        let Some(process) = &mut self.processes[i] else { return };
        if list_is_new && let Some(list) = &process.list {
            process.reporter.set_servers(ready_list(list.iter().cloned()));
        }
        let (ready, refused_percent) = (process.ready, process.refused_percent);
        let Some(numbered) = process.reporter.next(ready, refused_percent) else { return };
        let (mut one, mut other) = (Vec::new(), Vec::new());
        let command = FleetCommand::NumberedReport { report: numbered.clone() };
        self.by_deltas.apply(&process.session, &command, &mut one).unwrap();
        process.reporter.accepted(numbered.number);
        process.sent.push(numbered);
        let servers = if list_is_new { process.list.clone() } else { None };
        let command = FleetCommand::Report { report: Report { ready, refused_percent, servers } };
        self.by_whole_lists.apply(&process.session, &command, &mut other).unwrap();
        assert_eq!(one, other);
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Join(i) => {
                self.sessions += 1;
                let session = format!("{}-{}", node(*i), self.sessions);
                self.processes[*i] = Some(Process { session: session.clone(), ..Process::default() });
                self.apply_to_both(&session, FleetCommand::Join { node: node(*i), zone: zone(*i) });
            }
            Step::SessionOver(i) => {
                let Some(process) = self.processes[*i].take() else { return };
                let (mut one, mut other) = (Vec::new(), Vec::new());
                self.by_deltas.session_ended(&process.session, &mut one);
                self.by_whole_lists.session_ended(&process.session, &mut other);
                assert_eq!(one, other);
            }
            Step::List(i, mask) => {
                let up = |j: &usize| mask & (1 << j) != 0;
                let entry = |j: usize| Listed { id: server(j), zone: zone(j), up_since_ms: self.up_since[j] };
                let list = (0..SERVERS).filter(up).map(entry).collect();
                if let Some(process) = &mut self.processes[*i] {
                    process.list = Some(list);
                }
                self.report(*i, true);
            }
            Step::Readiness(i, ready, refused_percent) => {
                if let Some(process) = &mut self.processes[*i] {
                    (process.ready, process.refused_percent) = (*ready, *refused_percent);
                }
                self.report(*i, false);
            }
            Step::Repeat(i, back) => self.repeat(*i, *back),
            Step::Restart(i) => self.up_since[*i] += 1,
            Step::Drain(i, wait, force) => {
                let drain = FleetCommand::Drain {
                    subject: subject(*i),
                    note: note(),
                    for_ms: Some(1_000),
                    then: if *wait { Then::Back } else { Then::Stay },
                    wait: *wait,
                    force: *force,
                };
                self.apply_to_both("staff", drain);
            }
            Step::Back(i) => {
                self.apply_to_both("staff", FleetCommand::Back { subject: subject(*i), note: note() })
            }
            Step::Confirm(i, nth) => {
                let drain = self.by_deltas.drains.iter().nth(*nth).map(|(number, d)| (*number, d.turn));
                if let (Some(process), Some((drain, turn))) = (&self.processes[*i], drain) {
                    let session = process.session.clone();
                    self.apply_to_both(&session, FleetCommand::Confirm { drain, turn });
                }
            }
            Step::Forget(i) => {
                self.apply_to_both("staff", FleetCommand::Forget { subject: subject(*i), note: note() })
            }
            Step::Halt => self.apply_to_both("staff", FleetCommand::Halt { note: note() }),
            Step::Resume => self.apply_to_both("staff", FleetCommand::Resume { note: note() }),
            Step::Limits(most, percent, zone, fewest) => {
                let bound = Bound {
                    out_most: *most,
                    out_percent: *percent,
                    zone_out_most: *zone,
                    ready_fewest: *fewest,
                    zone_ready_fewest: *fewest / 2,
                };
                let limits = Limits {
                    nodes: bound.clone(),
                    servers: bound,
                    cold_most: *most,
                    refused_percent: Some(30),
                    calm_ms: Some(1_000),
                    ..Limits::default()
                };
                self.apply_to_both("staff", FleetCommand::Limits { limits, note: note() });
            }
            Step::Due(nth) => {
                let Some(timer) = self.by_deltas.timers().into_keys().nth(*nth) else { return };
                let (mut one, mut other) = (Vec::new(), Vec::new());
                self.by_deltas.timer_fired(&timer, &mut one);
                self.by_whole_lists.timer_fired(&timer, &mut other);
                assert_eq!(one, other);
            }
            Step::Snapshot => {
                let written = serde_json::to_vec(&self.by_deltas).unwrap();
                let read: Fleet = serde_json::from_slice(&written).unwrap();
                assert_eq!(read, self.by_deltas);
                self.by_deltas = read;
            }
        }
    }

    /// Delivers a duplicate of an earlier report. It must change nothing, and all but the last one must be
    /// refused for an unknown base.
    fn repeat(&mut self, i: usize, back: usize) {
        let Some(process) = &self.processes[i] else { return };
        let Some(report) = process.sent.iter().rev().nth(back).cloned() else { return };
        let before = self.by_deltas.clone();
        let mut changes = Vec::new();
        let command = FleetCommand::NumberedReport { report };
        let answer = self.by_deltas.apply(&process.session, &command, &mut changes);
        let last = process.sent.len() as u64;
        assert_eq!(answer.err(), (back > 0).then_some(FleetRefusal::UnknownBase { last }));
        assert_eq!((before, changes), (self.by_deltas.clone(), Vec::new()));
    }

    fn check(&self) {
        let fleet = &self.by_deltas;
        assert!(fleet.index_is_current() && self.by_whole_lists.index_is_current());
        assert_eq!(fleet.shown(), self.by_whole_lists.shown());
        for kind in [Kind::Node, Kind::Server] {
            assert_eq!(fleet.out(kind), naive::out(fleet, kind));
        }
        for i in 0..NODES + SERVERS {
            let subject = subject(i);
            let blocking_limit = fleet.blocking_limit(&subject).map(|blocked| {
                assert!(blocked.by.len() == 5.min(blocked.count as usize), "{blocked}");
                (blocked.limit.split('.').next_back().unwrap_or_default().to_owned(), blocked.count)
            });
            let known = fleet.nodes.contains_key(&subject.id) || fleet.servers.contains_key(&subject.id);
            if known {
                let expected =
                    naive::blocking_limit(fleet, &subject).map(|(limit, count)| (limit.to_owned(), count));
                assert_eq!(blocking_limit, expected);
            }
            let expected = fleet.drains.iter().find(|(_, drain)| drain.subject == subject);
            assert_eq!(fleet.drain_of(&subject), expected.map(|(number, drain)| (*number, drain)));
        }
        for drain in fleet.drains.values() {
            assert_eq!(fleet.awaited_nodes(drain), naive::awaited_nodes(fleet, drain));
            let leaving = drain.stage == Stage::Leaving && drain.back.is_none();
            assert!(
                !leaving || !naive::awaited_nodes(fleet, drain).is_empty(),
                "it should be out: {drain:?}"
            );
        }
        assert_eq!(fleet.halt_reason().is_some(), naive::halt_reason(fleet));
        let starts = fleet.timers().into_keys().filter(|timer| matches!(timer, Timer::Start { .. }));
        assert_eq!(starts.collect::<BTreeSet<_>>(), naive::starts(fleet));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 120,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(43),
        ..ProptestConfig::default()
    })]

    #[test]
    fn indexes_equal_recomputed_ones_and_deltas_equal_whole_lists(steps in steps()) {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
            world.check();
        }
    }
}

fn listed(ids: &[&str]) -> Vec<Listed> {
    ids.iter().map(|id| Listed { id: (*id).into(), zone: "a".into(), up_since_ms: 1 }).collect()
}

fn numbered(number: u64, servers: ReportedServers) -> FleetCommand {
    FleetCommand::NumberedReport {
        report: NumberedReport { number, ready: true, refused_percent: 0, servers },
    }
}

fn join(fleet: &mut Fleet, node: &str, session: &str) {
    let join = FleetCommand::Join { node: node.into(), zone: "a".into() };
    fleet.apply(session, &join, &mut Vec::new()).unwrap();
}

#[test]
fn a_delta_without_its_base_is_refused_with_the_last_number_and_changes_nothing() {
    let mut fleet = Fleet::default();
    let apply = |fleet: &mut Fleet, session: &str, command: FleetCommand| {
        fleet.apply(session, &command, &mut Vec::new())
    };
    let delta = |base| ReportedServers::Delta { base, listed: vec![], unlisted: vec!["s1".into()] };
    let whole = || ReportedServers::Whole { listed: listed(&["s1", "s2"]) };
    join(&mut fleet, "n1", "n1-a");
    let unknown = |last| Err(FleetRefusal::UnknownBase { last });
    // A delta needs a base: neither no report at all nor a report without a list will do.
    assert_eq!(apply(&mut fleet, "n1-a", numbered(2, delta(1))), unknown(0));
    apply(&mut fleet, "n1-a", numbered(1, ReportedServers::Unknown)).unwrap();
    assert_eq!(apply(&mut fleet, "n1-a", numbered(2, delta(1))), unknown(1));
    apply(&mut fleet, "n1-a", numbered(2, whole())).unwrap();
    apply(&mut fleet, "n1-a", numbered(3, delta(2))).unwrap();
    assert!(fleet.nodes["n1"].unlisted.contains("s1"));
    // Refused: an older whole list, a delta after a lost report, and a delta with an older base.
    let before = fleet.clone();
    assert_eq!(apply(&mut fleet, "n1-a", numbered(2, whole())), unknown(3));
    assert_eq!(apply(&mut fleet, "n1-a", numbered(5, delta(4))), unknown(3));
    assert_eq!(apply(&mut fleet, "n1-a", numbered(5, ReportedServers::Unchanged { base: 2 })), unknown(3));
    assert!(apply(&mut fleet, "n1-a", numbered(0, whole())).is_err());
    assert_eq!(fleet, before);
    // A new process under the same name starts over, and the reports of the previous one are refused.
    join(&mut fleet, "n1", "n1-b");
    assert_eq!(apply(&mut fleet, "n1-b", numbered(4, delta(3))), unknown(0));
    assert_eq!(apply(&mut fleet, "n1-a", numbered(4, delta(3))), Err(FleetRefusal::NoNode));
    apply(&mut fleet, "n1-b", numbered(1, whole())).unwrap();
    // A report without a number, as sent by nodes of the previous version, is no base either.
    let report = Report { ready: true, refused_percent: 0, servers: Some(listed(&["s1"])) };
    apply(&mut fleet, "n1-b", FleetCommand::Report { report }).unwrap();
    assert_eq!(apply(&mut fleet, "n1-b", numbered(2, delta(1))), unknown(0));
}
