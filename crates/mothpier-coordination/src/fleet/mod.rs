//! Who is out, who may go next, and when the fleet halts: the rule on drains, as a part of the agreed state. Pure; what
//! follows from a command is done within it, so that every coordinator decides the same.

pub mod ask;
pub mod follow;
pub mod limits;
pub mod reporter;
mod reports;
pub mod timers;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use self::ask::{
    Blocked, FleetAnswer, FleetAsk, FleetChange, FleetRefusal, Kind, Stage, Subject, Then, Told, Word,
};
use self::limits::Limits;
use self::timers::Timer;
use crate::command::SessionId;
use crate::limits::{NAME, is_name};

/// Nodes that a fleet may have.
pub const NODES: usize = 1_024;
/// Cache servers.
pub const SERVERS: usize = 2_048;
/// Drains that have not ended.
pub const DRAINS: usize = 1_024;
/// Bytes of a reason.
pub const REASON: usize = 500;
/// What happened is kept for so many events.
pub const EVENTS: usize = 1_000;
/// The latest end of a drain, ms from its grant: thirty days.
pub const LONGEST_MS: u64 = 30 * 24 * 3600 * 1000;
/// Names in a refusal.
const NAMED: usize = 5;

/// A condition of the rule. A model leaves one out to see that its absence is found; nothing else does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Condition {
    /// The dead and the unready count as out.
    DeadCount,
    /// Missing nodes have to confirm as well.
    AllConfirm,
    /// A confirmation counts for the stage that it was made of alone.
    OfThisTurn,
    /// What is cold counts as out.
    ColdCounts,
    /// A halt takes back what is asked.
    HaltTakesBack,
    /// A halt brings back what is leaving.
    HaltBringsBack,
    /// A delta builds on the last report that was taken, and on no other.
    BaseMatches,
    /// A report that comes again changes nothing.
    ReportOnce,
}

/// A node of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Its zone.
    pub zone: String,
    /// The session of the process that has its name, while that lives.
    pub session: Option<SessionId>,
    /// It serves, by its own word.
    pub ready: bool,
    /// Part of its requests that it refused or failed.
    pub refused_percent: u8,
    /// It has told its list.
    pub lists: bool,
    /// Cache servers that are not in it as ready.
    pub unlisted: BTreeSet<String>,
    /// The number of its last report that was taken; 0 where it has none. Formats 1 and 2 had none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub report: u64,
    /// The number of the last cache server that was registered when it last told its list: those registered later were
    /// not in that list. Formats 1 and 2 had none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub registered: u64,
}

/// A cache server of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its zone.
    pub zone: String,
    /// Since when it is up, by the lists.
    pub up_since_ms: u64,
    /// It has started lately, and nobody took it out for that: the number of that start.
    pub cold: Option<u64>,
    /// Cache servers are numbered as they become known. Formats 1 and 2 had no numbers.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub registered: u64,
}

/// A drain that has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Of what.
    pub subject: Subject,
    /// Who wants it and why.
    pub word: Word,
    /// Its latest end, ms after it was granted.
    pub for_ms: Option<u64>,
    /// What happens then.
    pub then: Then,
    /// It goes past the limits.
    pub force: bool,
    /// How far it is.
    pub stage: Stage,
    /// The number of that stage.
    pub turn: u64,
    /// It is to come back: its place among those that wait for that.
    pub back: Option<u64>,
    /// Its latest end is over, and it stays.
    pub overdue: bool,
    /// Some node has sent it nothing for a while.
    pub touched: bool,
    /// Nodes that have confirmed the stage.
    pub confirmed: BTreeSet<String>,
}

/// A halt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Halt {
    /// Who halted, and why.
    pub word: Word,
    /// The fleet itself did.
    pub by_itself: bool,
    /// Its number.
    pub number: u64,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// To what; `None` for the whole fleet.
    pub subject: Option<Subject>,
    /// What.
    pub what: String,
    /// Whose word it was; nobody's where it followed by itself.
    pub word: Option<Word>,
}

/// A fleet as it is agreed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The limits.
    pub limits: Limits,
    /// The nodes.
    pub nodes: BTreeMap<String, Node>,
    /// The cache servers.
    pub servers: BTreeMap<String, Server>,
    /// The drains that have not ended.
    pub drains: BTreeMap<u64, Drain>,
    /// The halt, while there is one.
    pub halt: Option<Halt>,
    /// What happened, the latest last.
    pub events: VecDeque<Event>,
    /// The last number of a drain, a stage, a halt or a start.
    numbers: u64,
    /// The number of the cache server that became known last. Formats 1 and 2 had none.
    #[serde(default, skip_serializing_if = "is_zero")]
    registered: u64,
    /// The condition that a model leaves out.
    #[serde(skip)]
    without: Option<Condition>,
}

/// Whether a number that an older format did not have can be left out.
fn is_zero(number: &u64) -> bool {
    *number == 0
}

type Answered = Result<FleetAnswer, FleetRefusal>;

fn bad(what: &str) -> FleetRefusal {
    FleetRefusal::Bad { what: what.into() }
}

impl Fleet {
    /// The same rule without one condition, for a model to refute.
    pub fn without(mut self, condition: Option<Condition>) -> Self {
        self.without = condition;
        self
    }

    fn holds(&self, condition: Condition) -> bool {
        self.without != Some(condition)
    }

    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    fn happened(&mut self, subject: Option<Subject>, what: &str, word: Option<Word>) {
        self.events.push_back(Event { subject, what: what.into(), word });
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }

    /// Takes what a session asks, and all that follows from it.
    pub fn ask(&mut self, session: &str, ask: &FleetAsk, changes: &mut Vec<FleetChange>) -> Answered {
        let answer = match ask {
            FleetAsk::Join { node, zone } => self.join(session, node, zone),
            FleetAsk::Report { report } => self.report(session, report),
            FleetAsk::NumberedReport { report } => self.numbered_report(session, report),
            FleetAsk::Confirm { drain, turn } => self.confirm(session, *drain, *turn),
            FleetAsk::Drain { subject, word, for_ms, then, wait, force } => {
                self.said(word)?;
                let wanted = Wanted { for_ms: *for_ms, then: *then, wait: *wait, force: *force };
                self.drain(subject, word, wanted, changes)
            }
            FleetAsk::Back { subject, word } => {
                self.said(word)?;
                self.back(subject, word, changes)
            }
            FleetAsk::Halt { word } => {
                self.said(word)?;
                self.stop(word.clone(), false, changes);
                Ok(FleetAnswer::Done)
            }
            FleetAsk::Resume { word } => {
                self.said(word)?;
                self.resume(word, changes)
            }
            FleetAsk::Forget { subject, word } => {
                self.said(word)?;
                self.forget(subject, word, changes)
            }
            FleetAsk::Limits { limits, word } => {
                self.said(word)?;
                if let Some(wrong) = limits.wrong() {
                    return Err(bad(&wrong));
                }
                self.limits = limits.clone();
                self.happened(None, "limits stated", Some(word.clone()));
                Ok(FleetAnswer::Done)
            }
        }?;
        self.go_on(changes);
        Ok(match answer {
            // What followed may have carried it further.
            FleetAnswer::Drain { number, .. } => {
                let stage = self.drains.get(&number).map_or(Stage::Asked, |d| d.stage);
                FleetAnswer::Drain { number, stage }
            }
            done => done,
        })
    }

    /// A word that can be kept.
    fn said(&self, word: &Word) -> Result<(), FleetRefusal> {
        if word.by.is_empty() || word.by.len() > NAME {
            return Err(bad("who wants this has to be named, in at most 128 bytes"));
        }
        if word.reason.trim().is_empty() || word.reason.len() > REASON {
            return Err(bad("a reason has to be given, in at most 500 bytes"));
        }
        Ok(())
    }

    /// A session has ended.
    pub fn session_over(&mut self, session: &str, changes: &mut Vec<FleetChange>) {
        let mut any = false;
        for node in self.nodes.values_mut().filter(|n| n.session.as_deref() == Some(session)) {
            (node.session, node.ready, any) = (None, false, true);
        }
        if any {
            self.go_on(changes);
        }
    }

    fn join(&mut self, session: &str, name: &str, zone: &str) -> Answered {
        if !is_name(name) || !(zone.is_empty() || is_name(zone)) {
            return Err(bad("a node's name and zone take letters, digits and -_.:@/"));
        }
        if self.nodes.values().any(|n| n.session.as_deref() == Some(session)) {
            let own = self.nodes.get(name).and_then(|n| n.session.as_deref()) == Some(session);
            return if own { Ok(FleetAnswer::Done) } else { Err(bad("this session is another node's")) };
        }
        if !self.nodes.contains_key(name) && self.nodes.len() >= NODES {
            return Err(bad("the fleet has as many nodes as it may have"));
        }
        let node = Node {
            zone: zone.into(),
            session: Some(session.into()),
            ready: false,
            refused_percent: 0,
            lists: false,
            unlisted: BTreeSet::new(),
            report: 0,
            registered: 0,
        };
        self.nodes.insert(name.into(), node);
        // What the process before did, this one may not have done.
        for drain in self.drains.values_mut() {
            drain.confirmed.remove(name);
        }
        Ok(FleetAnswer::Done)
    }

    fn node_of(&self, session: &str) -> Result<String, FleetRefusal> {
        let mut nodes = self.nodes.iter();
        let own = nodes.find(|(_, n)| n.session.as_deref() == Some(session));
        own.map(|(name, _)| name.clone()).ok_or(FleetRefusal::NoNode)
    }

    fn confirm(&mut self, session: &str, number: u64, turn: u64) -> Answered {
        let name = self.node_of(session)?;
        let this_turn = self.holds(Condition::OfThisTurn);
        if let Some(drain) = self.drains.get_mut(&number)
            && (drain.turn == turn || !this_turn)
        {
            drain.touched |= drain.stage == Stage::Leaving;
            drain.confirmed.insert(name);
        }
        Ok(FleetAnswer::Done)
    }

    /// The drain that something has.
    pub fn drain_of(&self, subject: &Subject) -> Option<(u64, &Drain)> {
        self.drains.iter().find(|(_, d)| d.subject == *subject).map(|(n, d)| (*n, d))
    }

    fn knows(&self, subject: &Subject) -> bool {
        match subject.kind {
            Kind::Node => self.nodes.contains_key(&subject.id),
            Kind::Server => self.servers.contains_key(&subject.id),
        }
    }

    fn drain(
        &mut self,
        subject: &Subject,
        word: &Word,
        wanted: Wanted,
        changes: &mut Vec<FleetChange>,
    ) -> Answered {
        if !self.knows(subject) {
            return Err(FleetRefusal::Unknown { subject: subject.clone() });
        }
        if let Some(halt) = self.halt.as_ref().filter(|_| !wanted.force) {
            return Err(FleetRefusal::Halted { word: halt.word.clone() });
        }
        if wanted.for_ms.is_some_and(|ms| ms > LONGEST_MS) {
            return Err(bad("a drain's latest end is at most thirty days away"));
        }
        let fresh = Drain {
            subject: subject.clone(),
            word: word.clone(),
            for_ms: wanted.for_ms,
            then: wanted.then,
            force: wanted.force,
            stage: Stage::Asked,
            turn: 0,
            back: None,
            overdue: false,
            touched: false,
            confirmed: BTreeSet::new(),
        };
        let how = if wanted.force { "asked, past the limits" } else { "asked" };
        if let Some((number, drain)) = self.drain_of(subject) {
            let (stage, turn, asked_back) = (drain.stage, drain.turn, drain.back.is_some());
            let again = matches!(stage, Stage::Returning | Stage::Cold) || asked_back;
            if !(again || wanted.force && stage == Stage::Asked) {
                return Err(FleetRefusal::Already { number, stage });
            }
            self.happened(Some(subject.clone()), how, Some(word.clone()));
            // It counts as out already, so that no limit is passed.
            self.drains.insert(number, Drain { stage, turn, touched: true, ..fresh });
            if stage != Stage::Asked && stage != Stage::Out {
                self.to(number, Stage::Leaving, changes);
            }
            return Ok(FleetAnswer::Drain { number, stage });
        }
        if self.drains.len() >= DRAINS {
            return Err(bad("more drains than are kept are under way"));
        }
        if let Some(blocked) = self.why_not(subject).filter(|_| !wanted.wait && !wanted.force) {
            return Err(FleetRefusal::Limit { blocked });
        }
        self.happened(Some(subject.clone()), how, Some(word.clone()));
        let number = self.number();
        self.drains.insert(number, fresh);
        Ok(FleetAnswer::Drain { number, stage: Stage::Asked })
    }

    fn back(&mut self, subject: &Subject, word: &Word, changes: &mut Vec<FleetChange>) -> Answered {
        let Some((number, drain)) = self.drain_of(subject) else {
            let known = self.knows(subject);
            return Err(if known {
                FleetRefusal::NotOut
            } else {
                FleetRefusal::Unknown { subject: subject.clone() }
            });
        };
        let stage = drain.stage;
        match stage {
            Stage::Asked => {
                self.happened(Some(subject.clone()), "taken back", Some(word.clone()));
                self.ended(number, changes);
            }
            Stage::Leaving | Stage::Out => {
                self.happened(Some(subject.clone()), "back asked", Some(word.clone()));
                self.wants_back(number);
            }
            Stage::Returning | Stage::Cold => {}
        }
        Ok(FleetAnswer::Drain { number, stage })
    }

    fn wants_back(&mut self, number: u64) {
        let place = self.number();
        if let Some(drain) = self.drains.get_mut(&number) {
            drain.back.get_or_insert(place);
        }
    }

    fn resume(&mut self, word: &Word, changes: &mut Vec<FleetChange>) -> Answered {
        if self.halt.take().is_none() {
            return Err(FleetRefusal::NotHalted);
        }
        self.happened(None, "resumed", Some(word.clone()));
        changes.push(FleetChange::Halted { halted: false });
        Ok(FleetAnswer::Done)
    }

    fn forget(&mut self, subject: &Subject, word: &Word, changes: &mut Vec<FleetChange>) -> Answered {
        if !self.knows(subject) {
            return Err(FleetRefusal::Unknown { subject: subject.clone() });
        }
        let lives = match subject.kind {
            Kind::Node => self.nodes.get(&subject.id).is_some_and(|n| n.session.is_some()),
            Kind::Server => {
                let mut lists = self.nodes.values().filter(|n| n.session.is_some() && n.lists);
                lists.any(|n| !n.unlisted.contains(&subject.id))
            }
        };
        if lives {
            return Err(FleetRefusal::Lives);
        }
        match subject.kind {
            Kind::Node => drop(self.nodes.remove(&subject.id)),
            Kind::Server => {
                self.servers.remove(&subject.id);
                for node in self.nodes.values_mut() {
                    node.unlisted.remove(&subject.id);
                }
            }
        }
        self.happened(Some(subject.clone()), "forgotten", Some(word.clone()));
        if let Some((number, _)) = self.drain_of(subject) {
            self.ended(number, changes);
        }
        Ok(FleetAnswer::Done)
    }

    /// Nothing more goes out, and what is on its way comes back, the latest first.
    fn stop(&mut self, word: Word, by_itself: bool, changes: &mut Vec<FleetChange>) {
        if let Some(halt) = &mut self.halt {
            // Staff's word outlasts the fleet's own: no calm ends it.
            if halt.by_itself && !by_itself {
                (halt.word, halt.by_itself) = (word.clone(), false);
                self.happened(None, "halted by staff as well", Some(word));
            }
            return;
        }
        let number = self.number();
        self.happened(None, "halted", Some(word.clone()));
        self.halt = Some(Halt { word, by_itself, number });
        changes.push(FleetChange::Halted { halted: true });
        let of = |stage: Stage| -> Vec<u64> {
            self.drains.iter().filter(|(_, d)| d.stage == stage && !d.force).map(|(n, _)| *n).collect()
        };
        let (asked, leaving) = (of(Stage::Asked), of(Stage::Leaving));
        if self.holds(Condition::HaltTakesBack) {
            for number in asked {
                let subject = self.drains.get(&number).map(|d| d.subject.clone());
                self.happened(subject, "taken back by the halt", None);
                self.ended(number, changes);
            }
        }
        if self.holds(Condition::HaltBringsBack) {
            leaving.into_iter().rev().for_each(|number| self.wants_back(number));
        }
    }

    /// What is due after a time, as a leader saw it.
    pub fn due(&mut self, timer: &Timer, changes: &mut Vec<FleetChange>) {
        match timer {
            Timer::End { drain } => {
                let Some(d) = self.drains.get_mut(drain) else { return };
                if d.for_ms.is_none() || d.overdue || d.back.is_some() || d.stage > Stage::Out {
                    return;
                }
                let (subject, then) = (d.subject.clone(), d.then);
                match then {
                    Then::Stay => d.overdue = true,
                    Then::Back => self.wants_back(*drain),
                }
                let what = if then == Then::Stay { "overdue: it stays out" } else { "its time is over" };
                self.happened(Some(subject), what, None);
            }
            Timer::Cold { drain, turn } => {
                let cold = |d: &&Drain| d.stage == Stage::Cold && d.turn == *turn;
                if self.drains.get(drain).filter(cold).is_some() {
                    self.is_back(*drain, changes);
                }
            }
            Timer::Start { server, start } => {
                if let Some(s) = self.servers.get_mut(server).filter(|s| s.cold == Some(*start)) {
                    s.cold = None;
                }
            }
            Timer::Calm { halt } => {
                if self.halt.as_ref().is_some_and(|h| h.number == *halt && h.by_itself)
                    && self.unwell().is_none()
                {
                    self.halt = None;
                    self.happened(None, "resumed after a calm", None);
                    changes.push(FleetChange::Halted { halted: false });
                }
            }
        }
        self.go_on(changes);
    }

    /// What is to be proposed after a time, ms.
    pub fn timers(&self) -> BTreeMap<Timer, u64> {
        let mut all = BTreeMap::new();
        for (number, drain) in &self.drains {
            if let Some(ms) = drain.for_ms
                && matches!(drain.stage, Stage::Leaving | Stage::Out)
                && !drain.overdue
                && drain.back.is_none()
            {
                all.insert(Timer::End { drain: *number }, ms);
            }
            if drain.stage == Stage::Cold {
                all.insert(Timer::Cold { drain: *number, turn: drain.turn }, self.limits.cold_ms);
            }
        }
        for (id, server) in &self.servers {
            if let Some(start) = server.cold {
                all.insert(Timer::Start { server: id.clone(), start }, self.limits.cold_ms);
            }
        }
        if let Some(halt) = self.halt.as_ref().filter(|h| h.by_itself && self.unwell().is_none())
            && let Some(ms) = self.limits.calm_ms
        {
            all.insert(Timer::Calm { halt: halt.number }, ms);
        }
        all
    }

    fn to(&mut self, number: u64, stage: Stage, changes: &mut Vec<FleetChange>) {
        let turn = self.number();
        let Some(drain) = self.drains.get_mut(&number) else { return };
        (drain.stage, drain.turn) = (stage, turn);
        drain.confirmed.clear();
        let subject = drain.subject.clone();
        let what = match stage {
            Stage::Leaving if drain.force => "granted past the limits",
            Stage::Leaving => "granted",
            other => other.name(),
        };
        changes
            .push(FleetChange::Drain { told: Told { drain: number, subject: subject.clone(), stage, turn } });
        self.happened(Some(subject), what, None);
    }

    fn ended(&mut self, number: u64, changes: &mut Vec<FleetChange>) {
        if self.drains.remove(&number).is_some() {
            changes.push(FleetChange::Ended { drain: number });
        }
    }

    fn is_back(&mut self, number: u64, changes: &mut Vec<FleetChange>) {
        let subject = self.drains.get(&number).map(|d| d.subject.clone());
        self.happened(subject, "back", None);
        self.ended(number, changes);
    }

    /// All that has become possible: halts, grants, ends of stages.
    fn go_on(&mut self, changes: &mut Vec<FleetChange>) {
        if self.halt.is_none()
            && self.drains.values().any(|d| d.stage <= Stage::Leaving && !d.force)
            && let Some(why) = self.unwell()
        {
            let word = Word { by: "the fleet".into(), reason: why, at_ms: 0 };
            self.stop(word, true, changes);
        }
        // An end makes room for one that was asked before it: looked at again until nothing moves.
        loop {
            let before = (self.numbers, self.drains.len());
            self.stages(changes);
            self.ways_back(changes);
            if before == (self.numbers, self.drains.len()) {
                return;
            }
        }
    }

    fn stages(&mut self, changes: &mut Vec<FleetChange>) {
        let numbers: Vec<u64> = self.drains.keys().copied().collect();
        // Hundreds may wait: while all places are taken nobody is looked at who does not have one.
        let mut full: BTreeMap<Kind, Option<BTreeSet<String>>> = BTreeMap::new();
        for number in &numbers {
            let Some(drain) = self.drains.get(number) else { continue };
            match drain.stage {
                Stage::Asked => {
                    let kind = drain.subject.kind;
                    let taken = full.entry(kind).or_insert_with(|| self.full(kind));
                    if !drain.force && taken.as_ref().is_some_and(|out| !out.contains(&drain.subject.id)) {
                        continue;
                    }
                    let may = drain.force
                        || self.halt.as_ref().is_none_or(|_| !self.holds(Condition::HaltTakesBack))
                            && self.why_not(&drain.subject).is_none();
                    if may {
                        full.remove(&kind);
                        self.to(*number, Stage::Leaving, changes);
                    }
                }
                Stage::Leaving if drain.back.is_none() && self.waits_for(drain).is_empty() => {
                    self.to(*number, Stage::Out, changes);
                }
                Stage::Returning if self.has_returned(drain) => {
                    let (warm, id) = (!drain.touched, drain.subject.id.clone());
                    if drain.subject.kind == Kind::Node || warm {
                        self.is_back(*number, changes);
                    } else {
                        // One start, one time to warm up: that of the drain.
                        if let Some(server) = self.servers.get_mut(&id) {
                            server.cold = None;
                        }
                        self.to(*number, Stage::Cold, changes);
                    }
                }
                _ => {}
            }
        }
    }

    fn ways_back(&mut self, changes: &mut Vec<FleetChange>) {
        let mut back: Vec<(u64, u64)> = self.drains.iter().filter_map(|(n, d)| Some((d.back?, *n))).collect();
        back.sort_unstable();
        for (_, number) in back {
            let Some(drain) = self.drains.get(&number) else { continue };
            if !matches!(drain.stage, Stage::Leaving | Stage::Out) {
                continue;
            }
            if drain.subject.kind == Kind::Node || self.warming() < self.limits.cold_most as usize {
                if let Some(drain) = self.drains.get_mut(&number) {
                    drain.back = None;
                }
                self.to(number, Stage::Returning, changes);
            }
        }
    }

    /// Cache servers that have been told to serve again and are not what they were.
    fn warming(&self) -> usize {
        let on_their_way = |d: &&Drain| {
            d.subject.kind == Kind::Server && (d.stage == Stage::Returning || d.stage == Stage::Cold)
        };
        self.drains.values().filter(on_their_way).count()
    }

    /// Nodes that a drain waits for before it is out.
    pub fn waits_for(&self, drain: &Drain) -> Vec<String> {
        if drain.subject.kind == Kind::Node {
            let own = drain.subject.id.clone();
            return if drain.confirmed.contains(&own) { Vec::new() } else { vec![own] };
        }
        let counts = |n: &Node| n.session.is_some() || self.holds(Condition::AllConfirm);
        let missing = |(name, n): (&String, &Node)| {
            (counts(n) && !drain.confirmed.contains(name)).then(|| name.clone())
        };
        self.nodes.iter().filter_map(missing).collect()
    }

    /// Whether one that returns has done so: a node serves; of a cache server all nodes that live know it.
    fn has_returned(&self, drain: &Drain) -> bool {
        match drain.subject.kind {
            Kind::Node => {
                let node = self.nodes.get(&drain.subject.id);
                node.is_some_and(|n| {
                    n.session.is_some() && n.ready && drain.confirmed.contains(&drain.subject.id)
                })
            }
            Kind::Server => {
                let mut living = self.nodes.iter().filter(|(_, n)| n.session.is_some());
                living.all(|(name, _)| drain.confirmed.contains(name))
            }
        }
    }

    /// Cache servers that at least half of the living nodes do not list as ready.
    fn unlisted(&self) -> BTreeSet<&str> {
        let telling: Vec<&Node> = self.nodes.values().filter(|n| n.session.is_some() && n.lists).collect();
        let mut missing: BTreeMap<&str, usize> = BTreeMap::new();
        for id in telling.iter().flat_map(|n| &n.unlisted) {
            *missing.entry(id).or_default() += 1;
        }
        let half = |count: usize| 2 * count >= telling.len();
        missing.into_iter().filter(|(_, count)| half(*count)).map(|(id, _)| id).collect()
    }

    /// All of a kind that do not serve, and why.
    pub fn out(&self, kind: Kind) -> BTreeMap<&str, String> {
        let mut out: BTreeMap<&str, String> = BTreeMap::new();
        if self.holds(Condition::DeadCount) {
            match kind {
                Kind::Node => {
                    for (name, node) in &self.nodes {
                        match (&node.session, node.ready) {
                            (None, _) => drop(out.insert(name, "missing".into())),
                            (_, false) => drop(out.insert(name, "not ready".into())),
                            _ => {}
                        }
                    }
                }
                Kind::Server => {
                    let unlisted = self.unlisted();
                    for (id, server) in &self.servers {
                        if unlisted.contains(id.as_str()) {
                            out.insert(id, "missing".into());
                        } else if server.cold.is_some() && self.holds(Condition::ColdCounts) {
                            out.insert(id, "cold".into());
                        }
                    }
                }
            }
        }
        let counts = |stage: Stage| {
            stage != Stage::Asked && (stage != Stage::Cold || self.holds(Condition::ColdCounts))
        };
        for (number, drain) in &self.drains {
            if drain.subject.kind == kind && counts(drain.stage) {
                out.insert(&drain.subject.id, format!("drain {number}, {}", drain.stage.name()));
            }
        }
        out
    }

    /// All that are out, where they take all places.
    fn full(&self, kind: Kind) -> Option<BTreeSet<String>> {
        let most = match kind {
            Kind::Node => self.limits.nodes.out_most,
            Kind::Server => self.limits.servers.out_most,
        };
        let out = self.out(kind);
        (out.len() >= most as usize).then(|| out.into_keys().map(str::to_owned).collect())
    }

    fn zone(&self, kind: Kind, id: &str) -> &str {
        match kind {
            Kind::Node => self.nodes.get(id).map_or("", |n| &n.zone),
            Kind::Server => self.servers.get(id).map_or("", |s| &s.zone),
        }
    }

    /// What keeps one more from going out, as things stand.
    pub fn why_not(&self, subject: &Subject) -> Option<Blocked> {
        let kind = subject.kind;
        let (bound, total, prefix) = match kind {
            Kind::Node => (&self.limits.nodes, self.nodes.len(), "nodes"),
            Kind::Server => (&self.limits.servers, self.servers.len(), "servers"),
        };
        // Itself counts as one more, whether it serves or not: a drain of a dead one keeps it out when it comes back.
        let mut out = self.out(kind);
        out.remove(subject.id.as_str());
        let zone = self.zone(kind, &subject.id);
        let of_zone = |id: &str| self.zone(kind, id) == zone;
        let zone_total = match kind {
            Kind::Node => self.nodes.keys().filter(|id| of_zone(id)).count(),
            Kind::Server => self.servers.keys().filter(|id| of_zone(id)).count(),
        };
        let zone_out = out.keys().filter(|id| of_zone(id)).count();
        let blocked = |limit: &str, most: u64, in_zone: bool| {
            let by = out.iter().filter(|(id, _)| !in_zone || of_zone(id));
            let count = by.clone().count() as u64;
            let by = by.take(NAMED).map(|(id, why)| format!("{id} ({why})")).collect();
            Some(Blocked { limit: format!("{prefix}.{limit}"), most, by, count })
        };
        let share = |percent: u32| total * percent as usize / 100;
        if out.len() >= bound.out_most as usize {
            return blocked("out_most", bound.out_most.into(), false);
        }
        if let Some(percent) = bound.out_percent.filter(|p| out.len() >= share(*p)) {
            return blocked("out_percent", percent.into(), false);
        }
        if let Some(most) = bound.zone_out_most.filter(|most| zone_out >= *most as usize) {
            return blocked("zone_out_most", most.into(), true);
        }
        if total - out.len() <= bound.ready_fewest as usize {
            return blocked("ready_fewest", bound.ready_fewest.into(), false);
        }
        if zone_total - zone_out <= bound.zone_ready_fewest as usize {
            return blocked("zone_ready_fewest", bound.zone_ready_fewest.into(), true);
        }
        None
    }

    /// Why the fleet should go on with nothing: more are missing that nobody asked out than the limits allow, or too much is
    /// refused.
    pub fn unwell(&self) -> Option<String> {
        for (kind, bound) in [(Kind::Node, &self.limits.nodes), (Kind::Server, &self.limits.servers)] {
            let granted = |d: &&Drain| d.subject.kind == kind && d.stage != Stage::Asked;
            let drained: BTreeSet<&str> =
                self.drains.values().filter(granted).map(|d| d.subject.id.as_str()).collect();
            let out = self.out(kind);
            let missing: Vec<&str> = out
                .iter()
                .filter(|(id, why)| !drained.contains(*id) && why.as_str() != "cold")
                .map(|(id, _)| *id)
                .collect();
            if missing.len() > bound.out_most as usize {
                let named = missing.iter().take(NAMED).copied().collect::<Vec<_>>().join(", ");
                return Some(format!(
                    "{} {} are missing where {} may be out: {named}",
                    missing.len(),
                    kind.names(),
                    bound.out_most
                ));
            }
        }
        let most = self.limits.refused_percent?;
        let serving: Vec<u64> = self
            .nodes
            .values()
            .filter(|n| n.session.is_some() && n.ready)
            .map(|n| u64::from(n.refused_percent))
            .collect();
        let mean = serving.iter().sum::<u64>().checked_div(serving.len() as u64)?;
        (mean >= u64::from(most)).then(|| format!("nodes refuse or fail {mean} percent of their requests"))
    }

    /// The drains as nodes need to know them: what only waits is nothing to them.
    pub fn told(&self) -> Vec<Told> {
        let told = |(number, d): (&u64, &Drain)| Told {
            drain: *number,
            subject: d.subject.clone(),
            stage: d.stage,
            turn: d.turn,
        };
        self.drains.iter().filter(|(_, d)| d.stage != Stage::Asked).map(told).collect()
    }

    /// Whether its parts fit together.
    pub fn is_whole(&self) -> bool {
        self.nodes.len() <= NODES
            && self.servers.len() <= SERVERS
            && self.drains.len() <= DRAINS
            && self.events.len() <= EVENTS
            && self.drains.values().all(|d| d.turn <= self.numbers)
    }
}

/// What is asked of a drain beside its subject.
#[derive(Clone, Copy)]
struct Wanted {
    for_ms: Option<u64>,
    then: Then,
    wait: bool,
    force: bool,
}
