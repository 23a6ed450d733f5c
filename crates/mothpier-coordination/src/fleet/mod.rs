//! Fleet-wide drains as part of the replicated state: what is out of service, whether another drain may be
//! granted, and when the fleet halts. Pure code without I/O. All consequences of a command are applied
//! within it, so that every coordinator reaches the same state.
//!
//! | module | purpose |
//! | --- | --- |
//! | `messages` | commands, responses and refusals, as in the log and on the wire |
//! | `limits` | limits on drains, as set by operators |
//! | `membership` | joining, losing and forgetting nodes |
//! | `reports` | reports of nodes: whole lists and deltas |
//! | `drains` | starting, confirming and cancelling drains |
//! | `rule` | what counts as out, and whether the limits allow another drain |
//! | `progress` | consequences of a command: grants, completed stages, returns |
//! | `halts` | halts by operators and automatic halts |
//! | `due`, `timers` | timers, and when the leader proposes that they have fired |
//! | `index` | incremental indexes for the drain rules |
//! | `stored` | the fleet as stored in snapshots and shown to clients |
//! | `follower`, `reporter` | a node's part: the drains it puts into effect and confirms, and its reports |

mod drains;
mod due;
pub mod follower;
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

use self::drains::DrainOptions;
use self::index::{Derived, Index};
use self::limits::Limits;
use self::messages::{
    AuditNote, FleetChange, FleetCommand, FleetRefusal, FleetResponse, Stage, Subject, Then,
};
use crate::command::SessionId;
use crate::limits::MAX_NAME_BYTES;

/// Maximum number of nodes: the planned 6,300 and 30 percent for nodes that were replaced and not yet
/// forgotten, which covers a day and a half if each of 1,200 restarts a day used a new name. There may be
/// twice as many sessions, because a process that takes over a node's name may run beside the previous one.
pub const MAX_NODES: usize = 8_192;
/// Maximum number of cache servers: the planned 1,500 and a third more.
pub const MAX_SERVERS: usize = 2_048;
/// Maximum number of drains that have not ended.
pub const MAX_DRAINS: usize = 1_024;
/// Maximum length of a reason, in bytes.
pub const MAX_REASON_BYTES: usize = 500;
/// Number of events that are kept.
pub const MAX_EVENTS: usize = 1_000;
/// Longest maximum duration of a drain, in ms from its grant: 30 days.
pub const MAX_DURATION_MS: u64 = 30 * 24 * 3600 * 1000;
/// Maximum number of subjects that a refusal names.
const MAX_NAMED_SUBJECTS: usize = 5;
/// Debug builds compare the indexes with ones derived from scratch after each command, up to this number of
/// nodes times cache servers.
const MAX_CHECKED_PAIRS: usize = 256;

/// A condition of the drain rules. Models leave one out to check that its absence is detected; nothing else
/// does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Condition {
    /// Missing and unready subjects count as out.
    MissingCountAsOut,
    /// Missing nodes have to confirm as well.
    MissingNodesConfirm,
    /// A confirmation counts only for the stage it was made for.
    ConfirmationMatchesStage,
    /// Cache servers that warm up count as out.
    ColdCountsAsOut,
    /// A halt cancels waiting drains.
    HaltCancelsWaiting,
    /// A halt returns leaving subjects to service.
    HaltReturnsLeaving,
    /// A delta must be based on the last accepted report.
    DeltaBaseMatches,
    /// A repeated report changes nothing.
    RepeatIgnored,
    /// The list of a node whose session has ended no longer counts.
    EndedSessionUncounted,
}

/// A node of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// The zone of the node.
    pub zone: String,
    /// The session of the node's process, while it is open.
    pub session: Option<SessionId>,
    /// Whether the node has declared itself ready to serve.
    pub ready: bool,
    /// Percentage of its requests that the node refused or failed.
    pub refused_percent: u8,
    /// Whether the node has reported a list.
    pub lists: bool,
    /// Cache servers that the node does not list as ready.
    pub unlisted: BTreeSet<String>,
    /// Number of the last accepted report; 0 if there is none. Absent in formats 1 and 2.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub report: u64,
    /// Highest registration number of a cache server when the node last reported its list. Cache servers
    /// with higher numbers were not in that list. Absent in formats 1 and 2.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub registered: u64,
}

impl Node {
    /// Whether the node is alive and ready.
    fn is_serving(&self) -> bool {
        self.session.is_some() && self.ready
    }

    /// Whether the node is alive and has reported a list.
    fn has_reported_list(&self) -> bool {
        self.session.is_some() && self.lists
    }
}

/// A cache server of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The zone of the cache server.
    pub zone: String,
    /// Start time, as in the nodes' lists.
    pub up_since_ms: u64,
    /// Number of the start after which the cache server warms up, if it started without a drain.
    pub cold: Option<u64>,
    /// Registration number, in the order in which cache servers became known. Absent in formats 1 and 2.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub registered: u64,
}

/// A drain that has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// What is drained.
    pub subject: Subject,
    /// Who requested it and why.
    #[serde(rename = "word")]
    pub note: AuditNote,
    /// Maximum duration, in ms from the grant.
    pub for_ms: Option<u64>,
    /// What happens when the maximum duration is over.
    pub then: Then,
    /// Whether the drain ignores the limits.
    pub force: bool,
    /// The stage of the drain.
    pub stage: Stage,
    /// The number of that stage.
    pub turn: u64,
    /// Set if the subject is to return to service: its position in the queue of returns.
    pub back: Option<u64>,
    /// The maximum duration is over, and the subject stays out.
    pub overdue: bool,
    /// At least one node has stopped sending requests to the subject.
    pub touched: bool,
    /// Nodes that have confirmed the current stage.
    pub confirmed: BTreeSet<String>,
}

/// A halt of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Halt {
    /// Who halted the fleet and why.
    #[serde(rename = "word")]
    pub note: AuditNote,
    /// Whether the halt is automatic.
    pub by_itself: bool,
    /// The number of the halt.
    pub number: u64,
}

/// An event in the history of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// The node or cache server concerned; `None` for the whole fleet.
    pub subject: Option<Subject>,
    /// What happened.
    pub what: String,
    /// Who requested it and why; `None` if it was a consequence of something else.
    #[serde(rename = "word")]
    pub note: Option<AuditNote>,
}

/// The replicated state of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "stored::StoredFleet")]
pub struct Fleet {
    /// The limits on drains.
    pub limits: Limits,
    /// The nodes by name.
    pub nodes: BTreeMap<String, Node>,
    /// The cache servers by id.
    pub servers: BTreeMap<String, Server>,
    /// The drains that have not ended, by number.
    pub drains: BTreeMap<u64, Drain>,
    /// The current halt, if any.
    pub halt: Option<Halt>,
    /// The latest events, the last one at the end.
    pub events: VecDeque<Event>,
    /// Last number given to a drain, a stage, a queued return, a halt or a start.
    numbers: u64,
    /// Last registration number given to a cache server. Absent in formats 1 and 2.
    #[serde(default, skip_serializing_if = "is_zero")]
    registered: u64,
    /// The condition that a model leaves out.
    #[serde(skip)]
    without: Option<Condition>,
    /// Indexes, derived from the other fields.
    #[serde(skip)]
    index: Derived<Index>,
}

/// Whether a number that older formats do not have can be left out.
fn is_zero(number: &u64) -> bool {
    *number == 0
}

type FleetResult = Result<FleetResponse, FleetRefusal>;

fn invalid(what: &str) -> FleetRefusal {
    FleetRefusal::Bad { what: what.into() }
}

impl Fleet {
    /// Leaves out one condition of the drain rules, for models only.
    pub fn without(mut self, condition: Option<Condition>) -> Self {
        self.without = condition;
        self.rebuild_index();
        self
    }

    fn enforces(&self, condition: Condition) -> bool {
        self.without != Some(condition)
    }

    fn next_number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    fn log_event(&mut self, subject: Option<Subject>, what: &str, note: Option<AuditNote>) {
        self.events.push_back(Event { subject, what: what.into(), note });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Applies a command of a session with all its consequences.
    pub fn apply(
        &mut self,
        session: &str,
        command: &FleetCommand,
        changes: &mut Vec<FleetChange>,
    ) -> FleetResult {
        let answer = self.dispatch(session, command, changes)?;
        self.apply_consequences(changes);
        self.check_index();
        Ok(match answer {
            // The consequences may have moved the drain to a later stage.
            FleetResponse::Drain { number, .. } => {
                let stage = self.drains.get(&number).map_or(Stage::Asked, |d| d.stage);
                FleetResponse::Drain { number, stage }
            }
            done => done,
        })
    }

    fn dispatch(
        &mut self,
        session: &str,
        command: &FleetCommand,
        changes: &mut Vec<FleetChange>,
    ) -> FleetResult {
        match command {
            FleetCommand::Join { node, zone } => self.join(session, node, zone),
            FleetCommand::Report { report } => self.report(session, report),
            FleetCommand::NumberedReport { report } => self.numbered_report(session, report),
            FleetCommand::Confirm { drain, turn } => self.confirm(session, *drain, *turn),
            FleetCommand::Drain { subject, note, for_ms, then, wait, force } => {
                self.check_note(note)?;
                let options = DrainOptions { for_ms: *for_ms, then: *then, wait: *wait, force: *force };
                self.start_drain(subject, note, options, changes)
            }
            FleetCommand::Back { subject, note } => {
                self.check_note(note)?;
                self.return_to_service(subject, note, changes)
            }
            FleetCommand::Halt { note } => {
                self.check_note(note)?;
                self.begin_halt(note.clone(), false, changes);
                Ok(FleetResponse::Done)
            }
            FleetCommand::Resume { note } => {
                self.check_note(note)?;
                self.resume(note, changes)
            }
            FleetCommand::Forget { subject, note } => {
                self.check_note(note)?;
                self.forget(subject, note, changes)
            }
            FleetCommand::Limits { limits, note } => {
                self.check_note(note)?;
                self.set_limits(limits, note)
            }
        }
    }

    fn set_limits(&mut self, limits: &Limits, note: &AuditNote) -> FleetResult {
        if let Some(problem) = limits.first_problem() {
            return Err(invalid(&problem));
        }
        self.limits = limits.clone();
        self.log_event(None, "limits stated", Some(note.clone()));
        Ok(FleetResponse::Done)
    }

    /// Checks the indexes in debug builds where that is cheap. Not checked for models that leave out index
    /// maintenance, because their own properties have to detect that.
    fn check_index(&self) {
        debug_assert!(
            self.nodes.len() * self.servers.len() > MAX_CHECKED_PAIRS
                || !self.enforces(Condition::EndedSessionUncounted)
                || self.index_is_current(),
            "the maintained indexes differ from those derived from scratch"
        );
    }

    /// Checks the length limits of a note.
    fn check_note(&self, note: &AuditNote) -> Result<(), FleetRefusal> {
        if note.by.is_empty() || note.by.len() > MAX_NAME_BYTES {
            return Err(invalid("who wants this has to be named, in at most 128 bytes"));
        }
        if note.reason.trim().is_empty() || note.reason.len() > MAX_REASON_BYTES {
            return Err(invalid("a reason has to be given, in at most 500 bytes"));
        }
        Ok(())
    }

    /// Whether the fleet is consistent and within its limits.
    pub fn is_consistent(&self) -> bool {
        self.nodes.len() <= MAX_NODES
            && self.servers.len() <= MAX_SERVERS
            && self.drains.len() <= MAX_DRAINS
            && self.events.len() <= MAX_EVENTS
            && self.drains.values().all(|d| d.turn <= self.numbers)
    }
}
