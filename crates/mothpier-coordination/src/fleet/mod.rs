//! Who is out, who may go next, and when the fleet halts: the rule on drains, as a part of the agreed state. Pure; what
//! follows from a command is done within it, so that every coordinator decides the same.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `messages` | commands, answers and refusals, as they stand in the log and on the wire |
//! | `limits` | how much may be out, as staff state it |
//! | `membership` | nodes that join, end and are forgotten |
//! | `reports` | nodes' reports: whole lists and deltas |
//! | `drains` | drains that are asked for, confirmed and taken back |
//! | `rule` | who counts as out, and whether one more may go |
//! | `progress` | what follows from a command |
//! | `halts` | halts of staff and of the fleet itself |
//! | `due`, `timers` | what is due after a time, and when a leader proposes it |
//! | `index` | what the rule looks up, kept up as the fleet changes |
//! | `stored` | a fleet as snapshots and answers hold it |
//! | `follow`, `reporter` | a node's part: what it keeps out and confirms, and what it reports |

mod drains;
mod due;
pub mod follow;
mod halts;
mod index;
pub mod limits;
mod membership;
pub mod messages;
mod progress;
pub mod reporter;
mod reports;
mod rule;
mod stored;
pub mod timers;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use self::drains::Wanted;
use self::index::{Derived, Index};
use self::limits::Limits;
use self::messages::{
    AuditNote, FleetChange, FleetCommand, FleetRefusal, FleetResponse, Stage, Subject, Then,
};
use crate::command::SessionId;
use crate::limits::NAME;

/// Nodes that a fleet may have: the 6,300 that are planned, and three tenths for those that were replaced and that nobody
/// has forgotten yet, a day and a half were each of 1,200 restarts a day a new name. Sessions are twice as
/// many: a process that takes a node's name may live beside the one before.
pub const NODES: usize = 8_192;
/// Cache servers: the 1,500 that are planned, and a third more.
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
/// Debug builds compare the indexes with the plain computation after each command while nodes times cache servers are no
/// more than this.
const CHECKED: usize = 256;

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
    /// The list of a node whose session has ended counts no more.
    EndUncounts,
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

impl Node {
    /// It lives and serves.
    fn is_serving(&self) -> bool {
        self.session.is_some() && self.ready
    }

    /// It lives and has told its list.
    fn is_telling(&self) -> bool {
        self.session.is_some() && self.lists
    }
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
    #[serde(rename = "word")]
    pub note: AuditNote,
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
    #[serde(rename = "word")]
    pub note: AuditNote,
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
    #[serde(rename = "word")]
    pub note: Option<AuditNote>,
}

/// A fleet as it is agreed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "stored::StoredFleet")]
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
    /// Derived from the rest.
    #[serde(skip)]
    index: Derived<Index>,
}

/// Whether a number that an older format did not have can be left out.
fn is_zero(number: &u64) -> bool {
    *number == 0
}

type Answered = Result<FleetResponse, FleetRefusal>;

fn bad(what: &str) -> FleetRefusal {
    FleetRefusal::Bad { what: what.into() }
}

impl Fleet {
    /// The same rule without one condition, for a model to refute.
    pub fn without(mut self, condition: Option<Condition>) -> Self {
        self.without = condition;
        self.rebuild_index();
        self
    }

    fn holds(&self, condition: Condition) -> bool {
        self.without != Some(condition)
    }

    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    fn happened(&mut self, subject: Option<Subject>, what: &str, note: Option<AuditNote>) {
        self.events.push_back(Event { subject, what: what.into(), note });
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }

    /// Takes what a session asks, and all that follows from it.
    pub fn ask(&mut self, session: &str, ask: &FleetCommand, changes: &mut Vec<FleetChange>) -> Answered {
        let answer = self.take(session, ask, changes)?;
        self.go_on(changes);
        self.check_index();
        Ok(match answer {
            // What followed may have carried it further.
            FleetResponse::Drain { number, .. } => {
                let stage = self.drains.get(&number).map_or(Stage::Asked, |d| d.stage);
                FleetResponse::Drain { number, stage }
            }
            done => done,
        })
    }

    fn take(&mut self, session: &str, ask: &FleetCommand, changes: &mut Vec<FleetChange>) -> Answered {
        match ask {
            FleetCommand::Join { node, zone } => self.join(session, node, zone),
            FleetCommand::Report { report } => self.report(session, report),
            FleetCommand::NumberedReport { report } => self.numbered_report(session, report),
            FleetCommand::Confirm { drain, turn } => self.confirm(session, *drain, *turn),
            FleetCommand::Drain { subject, note, for_ms, then, wait, force } => {
                self.said(note)?;
                let wanted = Wanted { for_ms: *for_ms, then: *then, wait: *wait, force: *force };
                self.drain(subject, note, wanted, changes)
            }
            FleetCommand::Back { subject, note } => {
                self.said(note)?;
                self.back(subject, note, changes)
            }
            FleetCommand::Halt { note } => {
                self.said(note)?;
                self.stop(note.clone(), false, changes);
                Ok(FleetResponse::Done)
            }
            FleetCommand::Resume { note } => {
                self.said(note)?;
                self.resume(note, changes)
            }
            FleetCommand::Forget { subject, note } => {
                self.said(note)?;
                self.forget(subject, note, changes)
            }
            FleetCommand::Limits { limits, note } => {
                self.said(note)?;
                self.set_limits(limits, note)
            }
        }
    }

    fn set_limits(&mut self, limits: &Limits, note: &AuditNote) -> Answered {
        if let Some(wrong) = limits.wrong() {
            return Err(bad(&wrong));
        }
        self.limits = limits.clone();
        self.happened(None, "limits stated", Some(note.clone()));
        Ok(FleetResponse::Done)
    }

    /// Compares the indexes with the plain computation where that is cheap. A model that leaves out their upkeep is told by
    /// its own properties.
    fn check_index(&self) {
        debug_assert!(
            self.nodes.len() * self.servers.len() > CHECKED
                || !self.holds(Condition::EndUncounts)
                || self.index_is_current(),
            "the indexes differ from the plain computation"
        );
    }

    /// A word that can be kept.
    fn said(&self, note: &AuditNote) -> Result<(), FleetRefusal> {
        if note.by.is_empty() || note.by.len() > NAME {
            return Err(bad("who wants this has to be named, in at most 128 bytes"));
        }
        if note.reason.trim().is_empty() || note.reason.len() > REASON {
            return Err(bad("a reason has to be given, in at most 500 bytes"));
        }
        Ok(())
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
