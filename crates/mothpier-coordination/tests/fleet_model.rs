//! Model check of the drain rules over all event orders within bounds. With any one condition left out, a
//! property must fail.
//!
//! The code under test is the real one: `Fleet` at the coordinators, `Follower` at the nodes. The model adds
//! nodes that are cut off but keep serving, crash and restart without state, and learn and confirm late;
//! operators who drain, return and halt; and timers that fire at any time.
//!
//! `MODEL=large cargo test --release -p mothpier-coordination --test fleet_model -- --nocapture` checks
//! larger bounds.

use std::collections::BTreeSet;

use mothpier_coordination::fleet::follower::{Effect, Follower};
use mothpier_coordination::fleet::limits::{Bound, Limits};
use mothpier_coordination::fleet::messages::{
    AuditNote, FleetCommand, Kind, Listed, Report, Stage, Subject, Then,
};
use mothpier_coordination::fleet::timers::Timer;
use mothpier_coordination::fleet::{Condition, Fleet};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// The condition that is left out: one of the drain rules, or one of a node's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    Unmodified,
    Omits(Condition),
    /// A restarted process serves before it has read the drains.
    ServesBeforeReading,
    /// A node confirms a stage before it has put it into effect.
    ConfirmsEarly,
}

#[derive(Clone, Copy, Debug)]
struct Bounds {
    mutation: Mutation,
    nodes: usize,
    servers: usize,
    /// Maximum number of drains, returns, session ends, crashes and halts.
    drains: u8,
    returns: u8,
    session_ends: u8,
    crashes: u8,
    halts: u8,
    /// Whether nodes are drained as well as cache servers.
    drain_nodes: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Machine {
    alive: bool,
    /// Whether the node has declared itself ready and serves.
    serves: bool,
    session: Option<String>,
    incarnation: u8,
    follower: Follower,
    effect: Effect,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    fleet: Fleet,
    machines: Vec<Machine>,
    /// Confirmations in flight: session, drain and stage.
    in_flight: BTreeSet<(String, u64, u64)>,
    /// Number of drains, returns, session ends, crashes and halts so far.
    event_counts: [u8; 5],
    /// Whether a grant exceeded the limit, counted independently, and whether one was made during a halt.
    limit_exceeded: bool,
    granted_in_halt: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Drain(Subject),
    Return(Subject),
    Halt,
    Resume,
    /// The session of a node ends, because the node is cut off or dead.
    SessionEnds(usize),
    /// A live node without a session joins.
    Join(usize),
    Crash(usize),
    Restart(usize),
    /// A node reads the drains and puts them into effect.
    Read(usize),
    /// A node declares that it is ready.
    Ready(usize),
    Confirm(usize),
    DeliverConfirmation(String, u64, u64),
    TimerFires(Timer),
}

fn note() -> AuditNote {
    AuditNote { by: "staff".into(), reason: "r".into(), at_ms: 0 }
}

fn server(i: usize) -> String {
    format!("s{i}")
}

impl Bounds {
    fn apply(&self, world: &mut World, session: &str, command: &FleetCommand) {
        let before: BTreeSet<u64> = granted(&world.fleet).collect();
        let halted = world.fleet.halt.is_some();
        let _ = world.fleet.apply(session, command, &mut Vec::new());
        self.check_new_grants(world, &before, halted);
    }

    /// Checks new grants against the limit, counted independently of the code under test.
    fn check_new_grants(&self, world: &mut World, before: &BTreeSet<u64>, halted: bool) {
        world.fleet.events.clear();
        let fleet = &world.fleet;
        let new_grants: Vec<u64> = granted(fleet).filter(|n| !before.contains(n)).collect();
        for number in new_grants {
            let kind = fleet.drains[&number].subject.kind;
            let mut out: BTreeSet<&str> = fleet
                .drains
                .values()
                .filter(|d| d.subject.kind == kind && d.stage != Stage::Asked)
                .map(|d| d.subject.id.as_str())
                .collect();
            if kind == Kind::Node {
                let missing = fleet.nodes.iter().filter(|(_, n)| n.session.is_none() || !n.ready);
                out.extend(missing.map(|(name, _)| name.as_str()));
            }
            let most = if kind == Kind::Node { &fleet.limits.nodes } else { &fleet.limits.servers };
            world.limit_exceeded |= out.len() > most.out_most as usize;
            world.granted_in_halt |= halted && fleet.halt.is_some();
        }
    }

    fn read(&self, world: &mut World, i: usize) {
        let drains = world.fleet.granted_drains();
        let machine = &mut world.machines[i];
        machine.follower.replace_all(drains);
        machine.effect =
            Effect { out: machine.follower.drained_servers(), empty: machine.follower.must_drain() };
    }

    fn step(&self, world: &mut World, step: Step) {
        match step {
            Step::Drain(subject) => {
                world.event_counts[0] += 1;
                let drain = FleetCommand::Drain {
                    subject,
                    note: note(),
                    for_ms: None,
                    then: Then::Stay,
                    wait: true,
                    force: false,
                };
                self.apply(world, "staff", &drain);
            }
            Step::Return(subject) => {
                world.event_counts[1] += 1;
                self.apply(world, "staff", &FleetCommand::Back { subject, note: note() });
            }
            Step::Halt => {
                world.event_counts[4] += 1;
                self.apply(world, "staff", &FleetCommand::Halt { note: note() });
            }
            Step::Resume => self.apply(world, "staff", &FleetCommand::Resume { note: note() }),
            Step::SessionEnds(i) => {
                world.event_counts[2] += 1;
                if let Some(session) = world.machines[i].session.take() {
                    self.end_session(world, &session);
                }
            }
            Step::Join(i) => {
                let machine = &mut world.machines[i];
                machine.incarnation += 1;
                let session = format!("n{i}-{}", machine.incarnation);
                machine.session = Some(session.clone());
                machine.follower.reset_confirmations();
                let serves = machine.serves;
                let join = FleetCommand::Join { node: format!("n{i}"), zone: "z".into() };
                self.apply(world, &session, &join);
                if serves {
                    self.ready(world, i);
                }
            }
            Step::Crash(i) => {
                world.event_counts[3] += 1;
                let machine = &mut world.machines[i];
                (machine.alive, machine.serves) = (false, false);
                (machine.follower, machine.effect) = (Follower::new(&format!("n{i}")), Effect::default());
                if let Some(session) = machine.session.take() {
                    self.end_session(world, &session);
                }
            }
            Step::Restart(i) => {
                world.machines[i].alive = true;
                world.machines[i].serves = self.mutation == Mutation::ServesBeforeReading;
            }
            Step::Read(i) => self.read(world, i),
            Step::Ready(i) => {
                world.machines[i].serves = true;
                self.ready(world, i);
            }
            Step::Confirm(i) => {
                let machine = &mut world.machines[i];
                let effect = if self.mutation == Mutation::ConfirmsEarly {
                    machine.follower.replace_all(world.fleet.granted_drains());
                    Effect { out: machine.follower.drained_servers(), empty: machine.follower.must_drain() }
                } else {
                    machine.effect.clone()
                };
                for (drain, turn) in machine.follower.confirmable(&effect) {
                    machine.follower.record_confirmation(drain, turn);
                    world.in_flight.insert((machine.session.clone().unwrap_or_default(), drain, turn));
                }
            }
            Step::DeliverConfirmation(session, drain, turn) => {
                world.in_flight.remove(&(session.clone(), drain, turn));
                self.apply(world, &session, &FleetCommand::Confirm { drain, turn });
            }
            Step::TimerFires(timer) => {
                let before: BTreeSet<u64> = granted(&world.fleet).collect();
                let halted = world.fleet.halt.is_some();
                world.fleet.timer_fired(&timer, &mut Vec::new());
                self.check_new_grants(world, &before, halted);
            }
        }
    }

    fn end_session(&self, world: &mut World, session: &str) {
        let before: BTreeSet<u64> = granted(&world.fleet).collect();
        let halted = world.fleet.halt.is_some();
        world.fleet.session_ended(session, &mut Vec::new());
        world.in_flight.retain(|(sender, _, _)| sender != session);
        self.check_new_grants(world, &before, halted);
    }

    fn ready(&self, world: &mut World, i: usize) {
        let session = world.machines[i].session.clone().unwrap_or_default();
        let report = Report { ready: true, refused_percent: 0, servers: None };
        self.apply(world, &session, &FleetCommand::Report { report });
    }

    /// Whether every drain can complete once all faults have ended and all participants do their part.
    fn can_complete_all_drains(&self, world: &World) -> bool {
        let mut world = world.clone();
        for _ in 0..24 {
            if world.fleet.drains.is_empty() {
                return true;
            }
            for i in 0..world.machines.len() {
                if !world.machines[i].alive {
                    self.step(&mut world, Step::Restart(i));
                }
                if world.machines[i].session.is_none() {
                    self.step(&mut world, Step::Join(i));
                }
                self.step(&mut world, Step::Read(i));
                if !world.machines[i].serves {
                    self.step(&mut world, Step::Ready(i));
                }
                self.step(&mut world, Step::Confirm(i));
            }
            for (session, drain, turn) in world.in_flight.clone() {
                self.step(&mut world, Step::DeliverConfirmation(session, drain, turn));
            }
            for timer in world.fleet.timers().into_keys() {
                self.step(&mut world, Step::TimerFires(timer));
            }
            if let Some(out) = world.fleet.drains.values().find(|d| d.stage == Stage::Out && d.back.is_none())
            {
                let subject = out.subject.clone();
                self.step(&mut world, Step::Return(subject));
            }
        }
        world.fleet.drains.is_empty()
    }
}

fn granted(fleet: &Fleet) -> impl Iterator<Item = u64> + '_ {
    fleet.drains.iter().filter(|(_, d)| d.stage != Stage::Asked).map(|(n, _)| *n)
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let condition = match self.mutation {
            Mutation::Omits(condition) => Some(condition),
            _ => None,
        };
        let machine = |i: usize| Machine {
            alive: true,
            serves: true,
            session: Some(format!("n{i}-0")),
            incarnation: 0,
            follower: Follower::new(&format!("n{i}")),
            effect: Effect::default(),
        };
        let mut world = World {
            fleet: Fleet::default().without(condition),
            machines: (0..self.nodes).map(machine).collect(),
            in_flight: BTreeSet::new(),
            event_counts: [0; 5],
            limit_exceeded: false,
            granted_in_halt: false,
        };
        let bound = Bound { ready_fewest: 0, ..Limits::default().nodes };
        let limits = Limits { nodes: bound.clone(), servers: bound, ..Limits::default() };
        self.apply(&mut world, "staff", &FleetCommand::Limits { limits, note: note() });
        let list = (0..self.servers).map(|i| Listed { id: server(i), zone: "z".into(), up_since_ms: 0 });
        let servers = Some(list.collect::<Vec<_>>());
        for i in 0..self.nodes {
            let session = format!("n{i}-0");
            let join = FleetCommand::Join { node: format!("n{i}"), zone: "z".into() };
            self.apply(&mut world, &session, &join);
            let report = Report { ready: true, refused_percent: 0, servers: servers.clone() };
            self.apply(&mut world, &session, &FleetCommand::Report { report });
            self.read(&mut world, i);
        }
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let fleet = &world.fleet;
        let servers = (0..self.servers).map(|i| Subject::server(&server(i)));
        let nodes = (0..self.nodes).filter(|_| self.drain_nodes).map(|i| Subject::node(&format!("n{i}")));
        for subject in servers.chain(nodes) {
            let drain = fleet.drain_of(&subject).map(|(_, d)| d);
            if world.event_counts[0] < self.drains
                && drain.is_none_or(|d| d.stage > Stage::Out)
                && fleet.halt.is_none()
            {
                steps.push(Step::Drain(subject.clone()));
            }
            if world.event_counts[1] < self.returns
                && drain.is_some_and(|d| d.stage <= Stage::Out && d.back.is_none())
            {
                steps.push(Step::Return(subject));
            }
        }
        if world.event_counts[4] < self.halts && fleet.halt.is_none() {
            steps.push(Step::Halt);
        }
        if fleet.halt.is_some() {
            steps.push(Step::Resume);
        }
        for (i, machine) in world.machines.iter().enumerate() {
            if !machine.alive {
                steps.push(Step::Restart(i));
                continue;
            }
            if world.event_counts[3] < self.crashes {
                steps.push(Step::Crash(i));
            }
            if machine.session.is_none() {
                steps.push(Step::Join(i));
                continue;
            }
            if world.event_counts[2] < self.session_ends {
                steps.push(Step::SessionEnds(i));
            }
            let mut updated = machine.follower.clone();
            updated.replace_all(fleet.granted_drains());
            if updated != machine.follower {
                steps.push(Step::Read(i));
            }
            if !machine.serves && machine.follower.knows() {
                steps.push(Step::Ready(i));
            }
            if self.mutation == Mutation::ConfirmsEarly
                || !machine.follower.confirmable(&machine.effect).is_empty()
            {
                steps.push(Step::Confirm(i));
            }
        }
        steps.extend(world.in_flight.iter().cloned().map(|(s, d, t)| Step::DeliverConfirmation(s, d, t)));
        steps.extend(fleet.timers().into_keys().map(Step::TimerFires));
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        self.step(&mut next, step);
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no node sends to a subject that is out", |_, world: &World| {
                world.fleet.drains.values().filter(|d| d.stage == Stage::Out).all(|d| match d.subject.kind {
                    Kind::Server => {
                        let sends = |m: &Machine| m.serves && !m.effect.out.contains(&d.subject.id);
                        !world.machines.iter().any(sends)
                    }
                    Kind::Node => {
                        let own = (0..world.machines.len()).find(|i| format!("n{i}") == d.subject.id);
                        own.is_none_or(|i| !world.machines[i].serves || world.machines[i].effect.empty)
                    }
                })
            }),
            Property::always("no grant exceeds a limit", |_, world: &World| !world.limit_exceeded),
            Property::always("never more drains granted than the limit", |_, world: &World| {
                [Kind::Node, Kind::Server].into_iter().all(|kind| {
                    let drained =
                        granted(&world.fleet).filter(|n| world.fleet.drains[n].subject.kind == kind);
                    drained.count() <= 1
                })
            }),
            Property::always("during a halt nothing is granted or left leaving", |_, world: &World| {
                let is_leaving = |d: &mothpier_coordination::fleet::Drain| {
                    d.stage == Stage::Asked || d.stage == Stage::Leaving && d.back.is_none()
                };
                !world.granted_in_halt
                    && (world.fleet.halt.is_none() || !world.fleet.drains.values().any(is_leaving))
            }),
            Property::always("a drain is granted when the limits allow it", |_, world: &World| {
                let serving = world.fleet.nodes.values().all(|n| n.session.is_some() && n.ready);
                let free = granted(&world.fleet).count() == 0 && serving && world.fleet.halt.is_none();
                !free || world.fleet.drains.is_empty()
            }),
            Property::always("a drain that cannot proceed has a reason", |_, world: &World| {
                let is_explained = |d: &mothpier_coordination::fleet::Drain| match d.stage {
                    Stage::Asked => {
                        world.fleet.blocking_limit(&d.subject).is_some() || world.fleet.halt.is_some()
                    }
                    Stage::Leaving => d.back.is_some() || !world.fleet.awaited_nodes(d).is_empty(),
                    _ => true,
                };
                world.fleet.drains.values().all(is_explained)
            }),
            Property::always("after recovery every drain can complete", |model: &Bounds, world: &World| {
                model.can_complete_all_drains(world)
            }),
            Property::sometimes("one is out", |_, world: &World| {
                world.fleet.drains.values().any(|d| d.stage == Stage::Out)
            }),
            Property::sometimes("one is cold while another waits", |model: &Bounds, world: &World| {
                model.servers < 2
                    || world.fleet.drains.values().any(|d| d.stage == Stage::Cold)
                        && world.fleet.drains.values().any(|d| d.stage == Stage::Asked)
            }),
        ]
    }
}

const SMALL: Bounds = Bounds {
    mutation: Mutation::Unmodified,
    nodes: 2,
    servers: 2,
    drains: 2,
    returns: 1,
    session_ends: 1,
    crashes: 1,
    halts: 1,
    drain_nodes: false,
};

fn check(name: &str, bounds: Bounds) {
    let started = std::time::Instant::now();
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = bounds.checker().threads(threads).spawn_bfs().join();
    let elapsed = started.elapsed();
    eprintln!(
        "{name}: {} states, {} of them distinct, {elapsed:.1?}",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
}

#[test]
fn the_drain_rules_hold_in_every_order_of_events() {
    check("servers, cut off", Bounds { crashes: 0, halts: 0, ..SMALL });
    check("servers, crashes", Bounds { session_ends: 0, halts: 0, ..SMALL });
    check("servers, a halt", Bounds { session_ends: 0, crashes: 0, ..SMALL });
    check("nodes", Bounds { drain_nodes: true, servers: 0, halts: 0, crashes: 0, ..SMALL });
    check("nodes that crash", Bounds { drain_nodes: true, servers: 0, halts: 0, session_ends: 0, ..SMALL });
    if std::env::var("MODEL").is_ok_and(|m| m == "large") {
        check("servers, all events", SMALL);
        check("nodes and servers", Bounds { drain_nodes: true, servers: 1, halts: 0, ..SMALL });
        check("three drains", Bounds { drains: 3, returns: 2, halts: 0, crashes: 0, ..SMALL });
    }
}

#[test]
fn a_property_fails_without_any_one_condition() {
    let mutations = [
        (Mutation::Omits(Condition::MissingCountAsOut), Bounds { drain_nodes: true, servers: 0, ..SMALL }),
        (Mutation::Omits(Condition::MissingNodesConfirm), SMALL),
        (Mutation::Omits(Condition::ConfirmationMatchesStage), Bounds { drains: 3, ..SMALL }),
        (Mutation::Omits(Condition::ColdCountsAsOut), SMALL),
        (Mutation::Omits(Condition::HaltCancelsWaiting), SMALL),
        (Mutation::Omits(Condition::HaltReturnsLeaving), SMALL),
        (Mutation::ServesBeforeReading, SMALL),
        (Mutation::ConfirmsEarly, SMALL),
    ];
    for (mutation, bounds) in mutations {
        let threads = std::thread::available_parallelism().map_or(1, usize::from);
        let bounds = Bounds { mutation, ..bounds };
        let checker = bounds
            .checker()
            .threads(threads)
            .finish_when(HasDiscoveries::AnyOf(
                [
                    "no node sends to a subject that is out",
                    "no grant exceeds a limit",
                    "never more drains granted than the limit",
                    "during a halt nothing is granted or left leaving",
                ]
                .into(),
            ))
            .spawn_bfs()
            .join();
        let found: Vec<_> =
            checker.discoveries().into_iter().filter(|(name, _)| !name.starts_with("one is")).collect();
        let (name, path) = found.first().unwrap_or_else(|| panic!("no property fails with {mutation:?}"));
        eprintln!("{mutation:?}: {name:?} fails after {} steps", path.clone().into_actions().len());
    }
}
