//! The rule on drains, checked over every order of events within bounds, and refuted for each condition that is left out.
//!
//! The pure code is the product's own: `Fleet` at the coordinators, `Follower` at the nodes. Around it stand nodes that are
//! cut off and serve, crash and come back from nothing, and hear and confirm as late as can be; staff who ask out and back
//! and halt; timers that fire at any time.
//!
//! `MODEL=large cargo test --release -p mothpier-coordination --test fleet_model -- --nocapture` checks the larger bounds.

use std::collections::BTreeSet;

use mothpier_coordination::fleet::follower::{Effect, Follower};
use mothpier_coordination::fleet::limits::{Bound, Limits};
use mothpier_coordination::fleet::messages::{
    AuditNote, FleetCommand, Kind, Listed, Report, Stage, Subject, Then,
};
use mothpier_coordination::fleet::timers::Timer;
use mothpier_coordination::fleet::{Condition, Fleet};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// What is left out: a condition of the rule, or one of the node's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Twin {
    Whole,
    Rule(Condition),
    /// A process that begins from nothing serves before it has read who is out.
    RestartForgets,
    /// A node confirms before it is in effect.
    ConfirmsEarly,
}

#[derive(Clone, Copy, Debug)]
struct Bounds {
    twin: Twin,
    nodes: usize,
    servers: usize,
    /// Drains, ways back, ends of sessions, crashes and halts that may happen.
    drains: u8,
    backs: u8,
    overs: u8,
    crashes: u8,
    halts: u8,
    /// Nodes are drained as well.
    of_nodes: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Machine {
    alive: bool,
    /// It has said that it is ready, and serves.
    serves: bool,
    session: Option<String>,
    lives: u8,
    follower: Follower,
    effect: Effect,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    fleet: Fleet,
    machines: Vec<Machine>,
    /// Confirmations under way: whose session, of which drain and stage.
    net: BTreeSet<(String, u64, u64)>,
    /// Drains, ways back, ends of sessions, crashes and halts so far.
    spent: [u8; 5],
    /// A grant passed the limit, as counted from what is there; one was given in a halt.
    over: bool,
    in_halt: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Drain(Subject),
    Back(Subject),
    Halt,
    Resume,
    /// The agreement gives a node up: it is cut off, or dead.
    Over(usize),
    /// A node that lives and has no session joins.
    Join(usize),
    Crash(usize),
    Restart(usize),
    /// A node reads who is out and has it in effect.
    Read(usize),
    /// And says that it serves.
    Ready(usize),
    Confirm(usize),
    Arrive(String, u64, u64),
    Due(Timer),
}

fn note() -> AuditNote {
    AuditNote { by: "staff".into(), reason: "r".into(), at_ms: 0 }
}

fn server(i: usize) -> String {
    format!("s{i}")
}

impl Bounds {
    fn ask(&self, world: &mut World, session: &str, ask: &FleetCommand) {
        let before: BTreeSet<u64> = granted(&world.fleet).collect();
        let halted = world.fleet.halt.is_some();
        let _ = world.fleet.apply(session, ask, &mut Vec::new());
        self.look(world, &before, halted);
    }

    /// Counts from what is there, not by the rule's own count.
    fn look(&self, world: &mut World, before: &BTreeSet<u64>, halted: bool) {
        world.fleet.events.clear();
        let fleet = &world.fleet;
        let fresh: Vec<u64> = granted(fleet).filter(|n| !before.contains(n)).collect();
        for number in fresh {
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
            world.over |= out.len() > most.out_most as usize;
            world.in_halt |= halted && fleet.halt.is_some();
        }
    }

    fn read(&self, world: &mut World, i: usize) {
        let told = world.fleet.granted_drains();
        let machine = &mut world.machines[i];
        machine.follower.replace_all(told);
        machine.effect =
            Effect { out: machine.follower.drained_servers(), empty: machine.follower.must_drain() };
    }

    fn step(&self, world: &mut World, step: Step) {
        match step {
            Step::Drain(subject) => {
                world.spent[0] += 1;
                let drain = FleetCommand::Drain {
                    subject,
                    note: note(),
                    for_ms: None,
                    then: Then::Stay,
                    wait: true,
                    force: false,
                };
                self.ask(world, "staff", &drain);
            }
            Step::Back(subject) => {
                world.spent[1] += 1;
                self.ask(world, "staff", &FleetCommand::Back { subject, note: note() });
            }
            Step::Halt => {
                world.spent[4] += 1;
                self.ask(world, "staff", &FleetCommand::Halt { note: note() });
            }
            Step::Resume => self.ask(world, "staff", &FleetCommand::Resume { note: note() }),
            Step::Over(i) => {
                world.spent[2] += 1;
                if let Some(session) = world.machines[i].session.take() {
                    self.over(world, &session);
                }
            }
            Step::Join(i) => {
                let machine = &mut world.machines[i];
                machine.lives += 1;
                let session = format!("n{i}-{}", machine.lives);
                machine.session = Some(session.clone());
                machine.follower.reset_confirmations();
                let serves = machine.serves;
                let join = FleetCommand::Join { node: format!("n{i}"), zone: "z".into() };
                self.ask(world, &session, &join);
                if serves {
                    self.ready(world, i);
                }
            }
            Step::Crash(i) => {
                world.spent[3] += 1;
                let machine = &mut world.machines[i];
                (machine.alive, machine.serves) = (false, false);
                (machine.follower, machine.effect) = (Follower::new(&format!("n{i}")), Effect::default());
                if let Some(session) = machine.session.take() {
                    self.over(world, &session);
                }
            }
            Step::Restart(i) => {
                world.machines[i].alive = true;
                world.machines[i].serves = self.twin == Twin::RestartForgets;
            }
            Step::Read(i) => self.read(world, i),
            Step::Ready(i) => {
                world.machines[i].serves = true;
                self.ready(world, i);
            }
            Step::Confirm(i) => {
                let machine = &mut world.machines[i];
                let effect = if self.twin == Twin::ConfirmsEarly {
                    machine.follower.replace_all(world.fleet.granted_drains());
                    Effect { out: machine.follower.drained_servers(), empty: machine.follower.must_drain() }
                } else {
                    machine.effect.clone()
                };
                for (drain, turn) in machine.follower.confirmable(&effect) {
                    machine.follower.record_confirmation(drain, turn);
                    world.net.insert((machine.session.clone().unwrap_or_default(), drain, turn));
                }
            }
            Step::Arrive(session, drain, turn) => {
                world.net.remove(&(session.clone(), drain, turn));
                self.ask(world, &session, &FleetCommand::Confirm { drain, turn });
            }
            Step::Due(timer) => {
                let before: BTreeSet<u64> = granted(&world.fleet).collect();
                let halted = world.fleet.halt.is_some();
                world.fleet.timer_fired(&timer, &mut Vec::new());
                self.look(world, &before, halted);
            }
        }
    }

    fn over(&self, world: &mut World, session: &str) {
        let before: BTreeSet<u64> = granted(&world.fleet).collect();
        let halted = world.fleet.halt.is_some();
        world.fleet.session_ended(session, &mut Vec::new());
        world.net.retain(|(whose, _, _)| whose != session);
        self.look(world, &before, halted);
    }

    fn ready(&self, world: &mut World, i: usize) {
        let session = world.machines[i].session.clone().unwrap_or_default();
        let report = Report { ready: true, refused_percent: 0, servers: None };
        self.ask(world, &session, &FleetCommand::Report { report });
    }

    /// Everything is mended and everybody does what is theirs: whatever has happened, each drain gets to its end.
    fn heals(&self, world: &World) -> bool {
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
            for (session, drain, turn) in world.net.clone() {
                self.step(&mut world, Step::Arrive(session, drain, turn));
            }
            for timer in world.fleet.timers().into_keys() {
                self.step(&mut world, Step::Due(timer));
            }
            if let Some(out) = world.fleet.drains.values().find(|d| d.stage == Stage::Out && d.back.is_none())
            {
                let subject = out.subject.clone();
                self.step(&mut world, Step::Back(subject));
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
        let condition = match self.twin {
            Twin::Rule(condition) => Some(condition),
            _ => None,
        };
        let machine = |i: usize| Machine {
            alive: true,
            serves: true,
            session: Some(format!("n{i}-0")),
            lives: 0,
            follower: Follower::new(&format!("n{i}")),
            effect: Effect::default(),
        };
        let mut world = World {
            fleet: Fleet::default().without(condition),
            machines: (0..self.nodes).map(machine).collect(),
            net: BTreeSet::new(),
            spent: [0; 5],
            over: false,
            in_halt: false,
        };
        let bound = Bound { ready_fewest: 0, ..Limits::default().nodes };
        let limits = Limits { nodes: bound.clone(), servers: bound, ..Limits::default() };
        self.ask(&mut world, "staff", &FleetCommand::Limits { limits, note: note() });
        let list = (0..self.servers).map(|i| Listed { id: server(i), zone: "z".into(), up_since_ms: 0 });
        let servers = Some(list.collect::<Vec<_>>());
        for i in 0..self.nodes {
            let session = format!("n{i}-0");
            let join = FleetCommand::Join { node: format!("n{i}"), zone: "z".into() };
            self.ask(&mut world, &session, &join);
            let report = Report { ready: true, refused_percent: 0, servers: servers.clone() };
            self.ask(&mut world, &session, &FleetCommand::Report { report });
            self.read(&mut world, i);
        }
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let fleet = &world.fleet;
        let servers = (0..self.servers).map(|i| Subject::server(&server(i)));
        let nodes = (0..self.nodes).filter(|_| self.of_nodes).map(|i| Subject::node(&format!("n{i}")));
        for subject in servers.chain(nodes) {
            let drain = fleet.drain_of(&subject).map(|(_, d)| d);
            if world.spent[0] < self.drains
                && drain.is_none_or(|d| d.stage > Stage::Out)
                && fleet.halt.is_none()
            {
                steps.push(Step::Drain(subject.clone()));
            }
            if world.spent[1] < self.backs && drain.is_some_and(|d| d.stage <= Stage::Out && d.back.is_none())
            {
                steps.push(Step::Back(subject));
            }
        }
        if world.spent[4] < self.halts && fleet.halt.is_none() {
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
            if world.spent[3] < self.crashes {
                steps.push(Step::Crash(i));
            }
            if machine.session.is_none() {
                steps.push(Step::Join(i));
                continue;
            }
            if world.spent[2] < self.overs {
                steps.push(Step::Over(i));
            }
            let mut seen = machine.follower.clone();
            seen.replace_all(fleet.granted_drains());
            if seen != machine.follower {
                steps.push(Step::Read(i));
            }
            if !machine.serves && machine.follower.knows() {
                steps.push(Step::Ready(i));
            }
            if self.twin == Twin::ConfirmsEarly || !machine.follower.confirmable(&machine.effect).is_empty() {
                steps.push(Step::Confirm(i));
            }
        }
        steps.extend(world.net.iter().cloned().map(|(s, d, t)| Step::Arrive(s, d, t)));
        steps.extend(fleet.timers().into_keys().map(Step::Due));
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        self.step(&mut next, step);
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("out means that nobody sends", |_, world: &World| {
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
            Property::always("no grant passes a limit", |_, world: &World| !world.over),
            Property::always("never more drained than the limit", |_, world: &World| {
                [Kind::Node, Kind::Server].into_iter().all(|kind| {
                    let drained =
                        granted(&world.fleet).filter(|n| world.fleet.drains[n].subject.kind == kind);
                    drained.count() <= 1
                })
            }),
            Property::always("a halt grants nothing and leaves nothing on its way", |_, world: &World| {
                let on_its_way = |d: &mothpier_coordination::fleet::Drain| {
                    d.stage == Stage::Asked || d.stage == Stage::Leaving && d.back.is_none()
                };
                !world.in_halt && (world.fleet.halt.is_none() || !world.fleet.drains.values().any(on_its_way))
            }),
            Property::always("a free place is given", |_, world: &World| {
                let serving = world.fleet.nodes.values().all(|n| n.session.is_some() && n.ready);
                let free = granted(&world.fleet).count() == 0 && serving && world.fleet.halt.is_none();
                !free || world.fleet.drains.is_empty()
            }),
            Property::always("what is stuck says why", |_, world: &World| {
                let told = |d: &mothpier_coordination::fleet::Drain| match d.stage {
                    Stage::Asked => {
                        world.fleet.blocking_limit(&d.subject).is_some() || world.fleet.halt.is_some()
                    }
                    Stage::Leaving => d.back.is_some() || !world.fleet.awaited_nodes(d).is_empty(),
                    _ => true,
                };
                world.fleet.drains.values().all(told)
            }),
            Property::always("healed, every drain ends", |model: &Bounds, world: &World| model.heals(world)),
            Property::sometimes("one is out", |_, world: &World| {
                world.fleet.drains.values().any(|d| d.stage == Stage::Out)
            }),
            Property::sometimes("one is cold beside one that waits", |model: &Bounds, world: &World| {
                model.servers < 2
                    || world.fleet.drains.values().any(|d| d.stage == Stage::Cold)
                        && world.fleet.drains.values().any(|d| d.stage == Stage::Asked)
            }),
        ]
    }
}

const SMALL: Bounds = Bounds {
    twin: Twin::Whole,
    nodes: 2,
    servers: 2,
    drains: 2,
    backs: 1,
    overs: 1,
    crashes: 1,
    halts: 1,
    of_nodes: false,
};

fn checked(name: &str, bounds: Bounds) {
    let began = std::time::Instant::now();
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = bounds.checker().threads(threads).spawn_bfs().join();
    let took = began.elapsed();
    eprintln!(
        "{name}: {} states, {} of them unlike, {took:.1?}",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
}

#[test]
fn the_rule_holds_in_every_order_of_events() {
    checked("servers, cut off", Bounds { crashes: 0, halts: 0, ..SMALL });
    checked("servers, crashes", Bounds { overs: 0, halts: 0, ..SMALL });
    checked("servers, a halt", Bounds { overs: 0, crashes: 0, ..SMALL });
    checked("nodes", Bounds { of_nodes: true, servers: 0, halts: 0, crashes: 0, ..SMALL });
    checked("nodes that crash", Bounds { of_nodes: true, servers: 0, halts: 0, overs: 0, ..SMALL });
    if std::env::var("MODEL").is_ok_and(|m| m == "large") {
        checked("servers, all of it", SMALL);
        checked("nodes and servers", Bounds { of_nodes: true, servers: 1, halts: 0, ..SMALL });
        checked("three drains", Bounds { drains: 3, backs: 2, halts: 0, crashes: 0, ..SMALL });
    }
}

#[test]
fn each_condition_that_is_left_out_is_found() {
    let twins = [
        (Twin::Rule(Condition::MissingCountAsOut), Bounds { of_nodes: true, servers: 0, ..SMALL }),
        (Twin::Rule(Condition::MissingNodesConfirm), SMALL),
        (Twin::Rule(Condition::ConfirmationMatchesStage), Bounds { drains: 3, ..SMALL }),
        (Twin::Rule(Condition::ColdCountsAsOut), SMALL),
        (Twin::Rule(Condition::HaltCancelsWaiting), SMALL),
        (Twin::Rule(Condition::HaltReturnsLeaving), SMALL),
        (Twin::RestartForgets, SMALL),
        (Twin::ConfirmsEarly, SMALL),
    ];
    for (twin, bounds) in twins {
        let threads = std::thread::available_parallelism().map_or(1, usize::from);
        let bounds = Bounds { twin, ..bounds };
        let checker = bounds
            .checker()
            .threads(threads)
            .finish_when(HasDiscoveries::AnyOf(
                [
                    "out means that nobody sends",
                    "no grant passes a limit",
                    "never more drained than the limit",
                    "a halt grants nothing and leaves nothing on its way",
                ]
                .into(),
            ))
            .spawn_bfs()
            .join();
        let found: Vec<_> =
            checker.discoveries().into_iter().filter(|(name, _)| !name.starts_with("one is")).collect();
        let (name, path) = found.first().unwrap_or_else(|| panic!("{twin:?} is not refuted"));
        eprintln!("{twin:?}: {name:?} is refuted in {} steps", path.clone().into_actions().len());
    }
}
