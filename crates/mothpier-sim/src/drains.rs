//! The fleet's agreement on drains in simulated time: whole fleets whose nodes are cut off, crash and come back from nothing,
//! hear late and confirm late, while leaders change and majorities are away, and staff take servers and nodes out and back.
//!
//! The rule and the node's part are the product's own (`Fleet`, `Follower`, `Timers`). Consensus is played elsewhere
//! (`coordinators`): here what is committed is one state, which can be out of reach and whose leader forgets its times.

use std::collections::{BTreeMap, BTreeSet};

use mothpier_coordination::fleet::follower::{Effect, Follower};
use mothpier_coordination::fleet::limits::{Bound, Limits};
use mothpier_coordination::fleet::messages::{
    AuditNote, FleetCommand, FleetRefusal, FleetResponse, Kind, Listed, Stage, Subject, Then,
};
use mothpier_coordination::fleet::reporter::{Reporter, ready_list};
use mothpier_coordination::fleet::timers::Timers;
use mothpier_coordination::fleet::{Condition, Fleet};
use mothpier_world::Dice;

/// The world goes on in steps of so many ms.
const STEP: u64 = 20;
/// A node looks at the drains, and at what it has to tell, so often.
const LOOK: u64 = 100;
/// A node's session.
const TTL: u64 = 3_000;
/// An ask that has heard nothing is sent again.
const PATIENCE: u64 = 400;
/// A proposal of a timer is made again.
const AGAIN: u64 = 1_000;

/// A mistake that is planted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Twin {
    /// A condition of the rule is left out.
    Rule(Condition),
    /// A process that begins from nothing serves at once.
    RestartForgets,
}

/// All of them.
pub const TWINS: [Twin; 9] = [
    Twin::Rule(Condition::MissingCountAsOut),
    Twin::Rule(Condition::MissingNodesConfirm),
    Twin::Rule(Condition::ConfirmationMatchesStage),
    Twin::Rule(Condition::ColdCountsAsOut),
    Twin::Rule(Condition::HaltCancelsWaiting),
    Twin::Rule(Condition::HaltReturnsLeaving),
    Twin::Rule(Condition::DeltaBaseMatches),
    Twin::Rule(Condition::EndedSessionUncounted),
    Twin::RestartForgets,
];

/// A world's size and its staff.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Nodes.
    pub nodes: usize,
    /// Cache servers.
    pub servers: usize,
    /// Out at most, of each; cold at most.
    pub most: usize,
    /// How long one that comes back is cold, ms.
    pub cold_ms: u64,
    /// What staff do with one that is out takes so long, ms.
    pub work_ms: u64,
    /// For how long things go wrong, ms.
    pub trouble: u64,
    /// How often something does, ms between; 0 for never.
    pub every: u64,
    /// The world ends then at the latest, ms.
    pub end: u64,
}

/// What came of a seed.
#[derive(Debug, Default, Clone)]
pub struct Played {
    /// Rules that were broken.
    pub broken: Vec<String>,
    /// Times that one was out.
    pub outs: usize,
    /// From the ask for a place's turn to `out`, ms; each.
    pub to_out: Vec<u64>,
    /// When all that was to be done was done, ms.
    pub done_at: u64,
    /// Cache servers that were cold or out at once, at the most.
    pub most_cold: usize,
    /// Commands that the coordinators committed.
    pub commands: u64,
    /// Halts.
    pub halts: usize,
}

struct Machine {
    alive: bool,
    serves: bool,
    /// It has been told who is out since its start.
    follower: Follower,
    effect: Effect,
    /// Its session's name, and when the coordinators end it.
    session: Option<(String, u64)>,
    lives: u64,
    cut_until: u64,
    stopped_until: u64,
    /// A copy of the drains on its way, and when it comes.
    reads: Option<(u64, Vec<mothpier_coordination::fleet::messages::Told>)>,
    /// What it has asked: when that comes, when it is sent again, and what.
    asks: Option<(u64, u64, FleetCommand)>,
    joined: bool,
    reporter: Reporter,
    /// The list that its reporter has, by number, and the cache servers in it.
    list: (u64, BTreeSet<String>),
    /// The cache servers in the list that its last report told.
    reported: BTreeSet<String>,
}

/// A report that was sent twice: the copy that comes later.
struct LateCopy {
    at: u64,
    session: String,
    ask: FleetCommand,
}

struct Server {
    up: bool,
    since_ms: u64,
    back_at: u64,
}

struct Person {
    subject: Subject,
    at: u64,
    /// Goes away without waiting, or asks back and out again at once.
    hasty: bool,
    state: Doing,
}

/// What staff see of drains: how far each subject's is, and whether it is to come back.
type Screen = BTreeMap<Subject, (Stage, bool)>;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Doing {
    Waits,
    Asked(u64),
    Works(u64),
    AskedBack,
    Done,
}

struct World {
    size: Size,
    /// A roll over all of the fleet: it is over when that is.
    all: bool,
    twin: Option<Twin>,
    dice: Dice,
    now: u64,
    fleet: Fleet,
    timers: Timers,
    /// There is no majority until then.
    away_until: u64,
    machines: Vec<Machine>,
    servers: Vec<Server>,
    /// Rises with each change of what the lists say.
    lists: u64,
    people: Vec<Person>,
    late_copies: Vec<LateCopy>,
    late: u64,
    trouble_at: u64,
    /// Staff end their own halt then.
    resume_at: u64,
    played: Played,
}

/// Plays a seed: a roll over some or all of the fleet.
pub fn play(seed: u64, size: Size, all: bool, twin: Option<Twin>) -> Played {
    let dice = Dice::part(seed, 47);
    let condition = match twin {
        Some(Twin::Rule(condition)) => Some(condition),
        _ => None,
    };
    let machine = |i: usize| Machine {
        alive: true,
        serves: false,
        follower: Follower::new(&node(i)),
        effect: Effect::default(),
        session: None,
        lives: 0,
        cut_until: 0,
        stopped_until: 0,
        reads: None,
        asks: None,
        joined: false,
        reporter: Reporter::default(),
        list: (0, BTreeSet::new()),
        reported: BTreeSet::new(),
    };
    let mut people: Vec<Person> = Vec::new();
    let person = |subject, at, hasty| Person { subject, at, hasty, state: Doing::Waits };
    if all {
        let servers = (0..size.servers).map(|i| Subject::server(&server(i)));
        let nodes = (0..size.nodes).map(|i| Subject::node(&node(i)));
        people.extend(servers.chain(nodes).map(|subject| person(subject, 2_000, false)));
    } else {
        for _ in 0..dice.within(4, 16) {
            let subject = if dice.chance(0.7) {
                Subject::server(&server(dice.within(0, size.servers as u64) as usize))
            } else {
                Subject::node(&node(dice.within(0, size.nodes as u64) as usize))
            };
            people.push(person(subject, dice.within(1_500, size.trouble + 1_500), dice.chance(0.3)));
        }
    }
    let mut world = World {
        size,
        all,
        twin,
        now: 0,
        fleet: Fleet::default().without(condition),
        timers: Timers::default(),
        away_until: 0,
        machines: (0..size.nodes).map(machine).collect(),
        servers: (0..size.servers).map(|_| Server { up: true, since_ms: 0, back_at: 0 }).collect(),
        lists: 1,
        people,
        late_copies: Vec::new(),
        late: 20,
        trouble_at: 1_500,
        resume_at: 0,
        played: Played::default(),
        dice,
    };
    world.run();
    world.played
}

fn node(i: usize) -> String {
    format!("n{i}")
}

fn server(i: usize) -> String {
    format!("s{i}")
}

fn note() -> AuditNote {
    AuditNote { by: "staff".into(), reason: "roll".into(), at_ms: 0 }
}

impl World {
    fn run(&mut self) {
        let Size { most, cold_ms, .. } = self.size;
        let bound = Bound { out_most: most as u32, ready_fewest: 1, ..Limits::default().nodes };
        let limits = Limits {
            nodes: bound.clone(),
            servers: bound,
            cold_most: most as u32,
            cold_ms,
            calm_ms: Some(1_000),
            ..Limits::default()
        };
        let _ = self.command("staff", &FleetCommand::Limits { limits, note: note() });
        while self.now < self.size.end && self.played.broken.is_empty() {
            self.now += STEP;
            self.trouble();
            if self.fleet.halt.as_ref().is_some_and(|h| !h.by_itself) && self.now >= self.resume_at {
                let _ = self.command("staff", &FleetCommand::Resume { note: note() });
            }
            if self.now >= self.away_until {
                self.leader();
            }
            for i in 0..self.machines.len() {
                self.machine(i);
            }
            self.copies_arrive();
            // They look as often as nodes do, all of them at the same screen: hundreds wait at once.
            if self.now.is_multiple_of(LOOK) && self.away_until <= self.now {
                let drains = self.fleet.drains.values();
                let screen: Screen =
                    drains.map(|d| (d.subject.clone(), (d.stage, d.back.is_some()))).collect();
                for i in 0..self.people.len() {
                    self.person(i, &screen);
                }
            }
            self.judge();
            if self.is_done() {
                self.played.done_at = self.now;
                return;
            }
        }
        if self.played.broken.is_empty() {
            let left: Vec<String> = self
                .people
                .iter()
                .filter(|p| p.state != Doing::Done)
                .map(|p| format!("{} {:?}", p.subject, p.state))
                .collect();
            let drains: Vec<_> = self.fleet.drains.values().map(|d| (&d.subject.id, d.stage)).collect();
            let what = format!("not healed: {left:?}, drains {drains:?}, halt {:?}", self.fleet.halt);
            self.broken(what);
        }
    }

    fn is_done(&self) -> bool {
        (self.all || self.now > self.size.trouble + 1_500)
            && self.people.iter().all(|p| p.state == Doing::Done)
            && self.fleet.drains.is_empty()
            && self.machines.iter().all(|m| m.serves)
    }

    fn broken(&mut self, what: String) {
        self.played.broken.push(format!("at {} ms: {what}", self.now));
    }

    /// Commits a command, and counts what it grants from what is there.
    fn command(&mut self, session: &str, ask: &FleetCommand) -> Result<FleetResponse, FleetRefusal> {
        let before = self.granted();
        let halted = self.fleet.halt.is_some();
        self.played.commands += 1;
        let answer = self.fleet.apply(session, ask, &mut Vec::new());
        self.after(&before, halted);
        answer
    }

    fn granted(&self) -> BTreeSet<u64> {
        self.fleet.drains.iter().filter(|(_, d)| d.stage != Stage::Asked).map(|(n, _)| *n).collect()
    }

    fn after(&mut self, before: &BTreeSet<u64>, halted: bool) {
        self.timers.update(self.now, &self.fleet.timers());
        if self.fleet.halt.is_some() && !halted {
            self.played.halts += 1;
        }
        let fresh: Vec<u64> = self.granted().difference(before).copied().collect();
        for number in fresh {
            let kind = self.fleet.drains[&number].subject.kind;
            let mut out: BTreeSet<String> = self
                .fleet
                .drains
                .values()
                .filter(|d| d.subject.kind == kind && d.stage != Stage::Asked)
                .map(|d| d.subject.id.clone())
                .collect();
            match kind {
                // Whom the coordinators know to be missing: they can't know of a death before its session is over.
                Kind::Node => out.extend(
                    self.fleet.nodes.iter().filter(|(_, n)| n.session.is_none()).map(|(id, _)| id.clone()),
                ),
                Kind::Server => {}
            }
            if out.len() > self.size.most {
                self.broken(format!(
                    "a grant makes {} {} out of {}",
                    out.len(),
                    kind.names(),
                    self.size.most
                ));
            }
            if halted && self.fleet.halt.is_some() {
                self.broken("a grant in a halt".into());
            }
        }
        let on_its_way =
            |d: &mothpier_coordination::fleet::Drain| d.stage <= Stage::Leaving && d.back.is_none();
        if self.fleet.halt.is_some() && self.fleet.drains.values().any(on_its_way) {
            self.broken("a halt leaves something on its way out".into());
        }
        self.fleet.events.clear();
        // Where the dead are not meant to count, that has to show in a grant.
        if !self.all && self.twin != Some(Twin::Rule(Condition::MissingCountAsOut)) {
            self.judge_count();
        }
    }

    /// Draws what goes wrong next; after the time of trouble all is mended.
    fn trouble(&mut self) {
        for i in 0..self.servers.len() {
            let one = &mut self.servers[i];
            if !one.up && one.back_at <= self.now {
                (one.up, one.since_ms) = (true, self.now);
                self.lists += 1;
            }
        }
        if self.size.every == 0 || self.now < self.trouble_at || self.now > self.size.trouble {
            if self.now > self.size.trouble {
                self.late = 20;
            }
            return;
        }
        self.trouble_at = self.now + self.dice.within(1, 2 * self.size.every);
        let i = self.dice.within(0, self.machines.len() as u64) as usize;
        let lasts = self.dice.within(100, 2 * TTL);
        match self.dice.within(0, 10) {
            0..3 => self.machines[i].cut_until = self.now + lasts,
            3..5 => self.crash(i, lasts),
            5 => self.machines[i].stopped_until = self.now + lasts,
            6 => self.away_until = self.now + lasts / 2,
            // A new leader: it gives all their time anew.
            7 => self.lead(),
            8 => {
                let i = self.dice.within(0, self.servers.len() as u64) as usize;
                (self.servers[i].up, self.servers[i].back_at) = (false, self.now + lasts);
                self.lists += 1;
            }
            _ => self.late = if self.dice.chance(0.5) { 20 } else { self.dice.within(20, 1_500) },
        }
        if self.dice.chance(0.05) {
            let _ = self.command("staff", &FleetCommand::Halt { note: note() });
            self.resume_at = self.now + self.dice.within(200, 3_000);
        }
    }

    fn lead(&mut self) {
        self.timers = Timers::default();
        self.timers.update(self.now, &self.fleet.timers());
        for machine in &mut self.machines {
            if let Some((_, ends)) = &mut machine.session {
                *ends = self.now + TTL;
            }
        }
    }

    fn crash(&mut self, i: usize, lasts: u64) {
        let machine = &mut self.machines[i];
        (machine.alive, machine.serves, machine.joined) = (false, false, false);
        (machine.follower, machine.effect) = (Follower::new(&node(i)), Effect::default());
        (machine.reads, machine.asks) = (None, None);
        machine.stopped_until = self.now + lasts;
    }

    /// What is due by the leader's clock.
    fn leader(&mut self) {
        for i in 0..self.machines.len() {
            let over = self.machines[i].session.as_ref().is_some_and(|(_, ends)| *ends <= self.now);
            if let Some((session, _)) = self.machines[i].session.take_if(|_| over) {
                let (before, halted) = (self.granted(), self.fleet.halt.is_some());
                self.played.commands += 1;
                self.fleet.session_ended(&session, &mut Vec::new());
                self.after(&before, halted);
                self.machines[i].joined = false;
            }
        }
        for timer in self.timers.take_due(self.now, AGAIN) {
            let (before, halted) = (self.granted(), self.fleet.halt.is_some());
            self.played.commands += 1;
            self.fleet.timer_fired(&timer, &mut Vec::new());
            self.after(&before, halted);
        }
    }

    /// A node's share of a step.
    fn machine(&mut self, i: usize) {
        let now = self.now;
        let machine = &mut self.machines[i];
        if machine.stopped_until > now {
            return;
        }
        if !machine.alive {
            machine.alive = true;
            machine.serves = self.twin == Some(Twin::RestartForgets);
        }
        let reached = machine.cut_until <= now && self.away_until <= now;
        // What was sent before a cut may arrive in it.
        if let Some((at, again, ask)) = machine.asks.clone() {
            if at <= now && self.away_until <= now {
                self.arrives(i, &ask);
                self.machines[i].asks = None;
            } else if again <= now && at > now {
                // Sent again: whichever comes first counts, and the other changes nothing.
                let other = now + self.dice.within(1, self.late);
                self.send_late(i, at.max(other), &ask);
                self.machines[i].asks = Some((at.min(other), now + PATIENCE, ask));
            }
        }
        let machine = &mut self.machines[i];
        if let Some((_, told)) = machine.reads.take_if(|(at, _)| *at <= now) {
            machine.follower.replace_all(told);
            machine.effect =
                Effect { out: machine.follower.drained_servers(), empty: machine.follower.must_drain() };
            machine.serves = true;
        }
        if !reached || !now.is_multiple_of(LOOK) {
            return;
        }
        if machine.reads.is_none() {
            machine.reads = Some((now + self.dice.within(1, self.late), self.fleet.granted_drains()));
        }
        if let Some((_, ends)) = &mut machine.session {
            *ends = now + TTL;
        }
        if machine.asks.is_none() {
            let ask = self.next(i);
            let machine = &mut self.machines[i];
            machine.asks = ask.map(|ask| (now + self.dice.within(1, self.late), now + PATIENCE, ask));
        }
    }

    /// The later copy of a report that a node sends twice.
    fn send_late(&mut self, i: usize, at: u64, ask: &FleetCommand) {
        let FleetCommand::NumberedReport { .. } = ask else { return };
        let Some((session, _)) = self.machines[i].session.clone() else { return };
        self.late_copies.push(LateCopy { at, session, ask: ask.clone() });
    }

    fn copies_arrive(&mut self) {
        if self.away_until > self.now {
            return;
        }
        let now = self.now;
        let arrived: Vec<LateCopy> = self.late_copies.extract_if(.., |copy| copy.at < now).collect();
        for copy in arrived {
            let _ = self.command(&copy.session, &copy.ask);
        }
    }

    /// What a node asks next.
    fn next(&mut self, i: usize) -> Option<FleetCommand> {
        if !self.machines[i].joined {
            return Some(FleetCommand::Join { node: node(i), zone: format!("z{}", i % 3) });
        }
        if self.machines[i].list.0 != self.lists {
            self.new_list(i);
        }
        let machine = &mut self.machines[i];
        let ready = machine.serves && !machine.effect.empty;
        if let Some(report) = machine.reporter.next(ready, 0) {
            machine.reported.clone_from(&machine.list.1);
            return Some(FleetCommand::NumberedReport { report });
        }
        let confirms = machine.follower.confirmable(&machine.effect);
        confirms.first().map(|(drain, turn)| FleetCommand::Confirm { drain: *drain, turn: *turn })
    }

    fn new_list(&mut self, i: usize) {
        let up = self.servers.iter().enumerate().filter(|(_, s)| s.up);
        let line = |(j, s): (usize, &Server)| Listed {
            id: server(j),
            zone: format!("z{}", j % 3),
            up_since_ms: s.since_ms,
        };
        let list = ready_list(up.map(line));
        let machine = &mut self.machines[i];
        machine.list = (self.lists, list.keys().cloned().collect());
        machine.reporter.set_servers(list);
    }

    /// A node's ask is committed.
    fn arrives(&mut self, i: usize, ask: &FleetCommand) {
        if let FleetCommand::Join { .. } = ask {
            self.machines[i].lives += 1;
            let session = format!("{}-{}", node(i), self.machines[i].lives);
            self.machines[i].session = Some((session, self.now + TTL));
        }
        let Some((session, _)) = self.machines[i].session.clone() else {
            self.machines[i].joined = false;
            return;
        };
        let answer = self.command(&session, ask);
        let machine = &mut self.machines[i];
        match ask {
            FleetCommand::Join { .. } => {
                machine.joined = answer.is_ok();
                (machine.reporter, machine.list) = (Reporter::default(), (0, BTreeSet::new()));
                machine.follower.reset_confirmations();
            }
            FleetCommand::NumberedReport { report } => self.report_answered(i, report.number, answer),
            FleetCommand::Confirm { drain, turn } if answer.is_ok() => {
                machine.follower.record_confirmation(*drain, *turn)
            }
            _ => {}
        }
    }

    fn report_answered(&mut self, i: usize, number: u64, answer: Result<FleetResponse, FleetRefusal>) {
        let machine = &mut self.machines[i];
        match answer {
            Ok(_) => {
                machine.reporter.accepted(number);
                self.judge_list(i);
            }
            Err(FleetRefusal::UnknownBase { last }) => machine.reporter.base_unknown(number, last),
            Err(_) => machine.reporter.rejected(number),
        }
    }

    /// What the coordinators hold of a node's list is what it has just told.
    fn judge_list(&mut self, i: usize) {
        let reported = &self.machines[i].reported;
        let Some(held) = self.fleet.nodes.get(&node(i)) else { return };
        let known = self.fleet.servers.keys();
        let unlisted: BTreeSet<&String> = known.filter(|id| !reported.contains(*id)).collect();
        if !held.unlisted.iter().eq(unlisted) {
            self.broken(format!("the coordinators hold another list of {} than it told", node(i)));
        }
    }

    /// The count of missing cache servers is that of a plain look at all nodes.
    fn judge_count(&mut self) {
        let telling: Vec<_> = self.fleet.nodes.values().filter(|n| n.session.is_some() && n.lists).collect();
        let missing = |id: &str| {
            let count = telling.iter().filter(|n| n.unlisted.contains(id)).count();
            count > 0 && 2 * count >= telling.len()
        };
        let out = self.fleet.out(Kind::Server);
        let counted = |id: &str| out.get(id).is_some_and(|why| why == "missing");
        let drained = |id: &str| out.get(id).is_some_and(|why| why.starts_with("drain"));
        let wrong = |id: &&String| !drained(id) && missing(id) != counted(id);
        if let Some(id) = self.fleet.servers.keys().find(wrong).cloned() {
            self.broken(format!("whether {id} is missing is miscounted"));
        }
    }

    /// A person's share of a step.
    fn person(&mut self, i: usize, screen: &Screen) {
        let (subject, state, hasty) =
            (self.people[i].subject.clone(), self.people[i].state, self.people[i].hasty);
        if self.people[i].at > self.now {
            return;
        }
        if state == Doing::Done {
            return;
        }
        let drain = screen.get(&subject).copied();
        self.people[i].state = match (state, drain) {
            (Doing::Waits, _) => {
                let ask = FleetCommand::Drain {
                    subject,
                    note: note(),
                    for_ms: None,
                    then: Then::Stay,
                    wait: true,
                    force: false,
                };
                match self.command("staff", &ask) {
                    Ok(_) => Doing::Asked(self.now),
                    Err(_) => {
                        // Halted, or another's: a little later again.
                        self.people[i].at = self.now + 500;
                        Doing::Waits
                    }
                }
            }
            (Doing::Asked(_), None) => {
                self.people[i].at = self.now + 500;
                Doing::Waits
            }
            (Doing::Asked(_), Some((Stage::Asked, _))) if !hasty => Doing::Asked(self.now),
            (Doing::Asked(since), Some((Stage::Out, false))) => {
                self.played.outs += 1;
                self.played.to_out.push(self.now - since);
                Doing::Works(self.now + self.size.work_ms)
            }
            (Doing::Asked(since), Some(_)) if hasty && self.now > since + 300 => Doing::Works(self.now),
            (Doing::Works(until), _) if until <= self.now => {
                let _ = self.command("staff", &FleetCommand::Back { subject, note: note() });
                if hasty {
                    // And out again in the midst, and back.
                    self.people[i].hasty = false;
                    self.people[i].at = self.now + self.dice.within(20, 600);
                    Doing::Waits
                } else {
                    Doing::AskedBack
                }
            }
            (Doing::AskedBack, None) => Doing::Done,
            (Doing::AskedBack, Some((Stage::Leaving | Stage::Out, false))) => {
                // Another person's by now: that one sees to it.
                Doing::Done
            }
            (state, _) => state,
        };
    }

    /// What must hold at every moment, from what nodes do.
    fn judge(&mut self) {
        let mut broken = Vec::new();
        for drain in self.fleet.drains.values().filter(|d| d.stage == Stage::Out) {
            let id = &drain.subject.id;
            for (i, machine) in self.machines.iter().enumerate().filter(|(_, m)| m.serves) {
                let sends = match drain.subject.kind {
                    Kind::Server => !machine.effect.out.contains(id),
                    Kind::Node => node(i) == *id && !machine.effect.empty,
                };
                if sends {
                    broken.push(format!("{} is out, and {} goes on", drain.subject, node(i)));
                }
            }
        }
        let cold = self.fleet.drains.values().filter(|d| d.subject.kind == Kind::Server);
        let warming = cold.clone().filter(|d| matches!(d.stage, Stage::Returning | Stage::Cold)).count();
        if warming > self.size.most {
            broken.push(format!("{warming} cache servers are cold at once"));
        }
        self.played.most_cold = self.played.most_cold.max(cold.filter(|d| d.stage != Stage::Asked).count());
        broken.into_iter().for_each(|what| self.broken(what));
    }
}

/// Seeds of small worlds.
pub fn small(seed: u64) -> Size {
    let dice = Dice::part(seed, 48);
    Size {
        nodes: dice.within(2, 9) as usize,
        servers: dice.within(3, 9) as usize,
        most: dice.within(1, 3) as usize,
        cold_ms: dice.within(200, 2_000),
        work_ms: dice.within(100, 1_500),
        trouble: 15_000,
        every: dice.within(100, 600),
        end: 180_000,
    }
}

/// How long a roll over a whole fleet takes, by limit: a table.
pub fn roll(nodes: usize, servers: usize, seed: u64, say: &impl Fn(&str)) -> Result<(), String> {
    say("limit   minutes   to out, median and longest ms   commands   most out or cold   halts\n");
    for most in [5, 10, 20] {
        let size = Size {
            nodes,
            servers,
            most,
            cold_ms: 10_000,
            work_ms: 10_000,
            trouble: 600_000,
            every: 2_000,
            end: 12 * 3600 * 1000,
        };
        let mut played = play(seed, size, true, None);
        if let Some(broken) = played.broken.first() {
            return Err(format!("limit {most}: {broken}"));
        }
        played.to_out.sort_unstable();
        let median = played.to_out.get(played.to_out.len() / 2).copied().unwrap_or(0);
        let longest = played.to_out.last().copied().unwrap_or(0);
        say(&format!(
            "{most:5}   {:7.1}   {median:6} {longest:8}                   {:8}   {:16}   {:5}\n",
            played.done_at as f64 / 60_000.0,
            played.commands,
            played.most_cold,
            played.halts
        ));
    }
    Ok(())
}

/// Seeds by number, and what a whole run says of itself.
pub fn sum(all: &BTreeMap<u64, Played>) -> String {
    let outs: usize = all.values().map(|p| p.outs).sum();
    let halts: usize = all.values().map(|p| p.halts).sum();
    let commands: u64 = all.values().map(|p| p.commands).sum();
    format!("{outs} times out, {halts} halts, {commands} commands")
}

#[cfg(test)]
mod tests;
