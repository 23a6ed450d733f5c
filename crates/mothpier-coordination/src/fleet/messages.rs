//! Commands, responses and change notifications of the fleet. They are written to the log and sent over the
//! wire.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::limits::Limits;

/// The kind of a subject of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A node.
    Node,
    /// A cache server.
    Server,
}

impl Kind {
    /// The singular name, as used in messages.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Node => "node",
            Kind::Server => "server",
        }
    }

    /// The plural name, as used in messages.
    pub fn names(self) -> &'static str {
        match self {
            Kind::Node => "nodes",
            Kind::Server => "cache servers",
        }
    }
}

/// A node or a cache server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Subject {
    /// Whether it is a node or a cache server.
    pub kind: Kind,
    /// The name of the node, or the id of the cache server.
    pub id: String,
}

impl Subject {
    /// Creates the subject for a node.
    pub fn node(id: &str) -> Self {
        Subject { kind: Kind::Node, id: id.into() }
    }

    /// Creates the subject for a cache server.
    pub fn server(id: &str) -> Self {
        Subject { kind: Kind::Server, id: id.into() }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind.name(), self.id)
    }
}

/// Who requested something, why, and when by their own wall clock. Stored and displayed, never used for
/// decisions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditNote {
    /// Who requested it.
    pub by: String,
    /// The reason.
    pub reason: String,
    /// Unix time in ms.
    pub at_ms: u64,
}

/// A cache server in a node's list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listed {
    /// The id of the cache server.
    pub id: String,
    /// The zone.
    pub zone: String,
    /// Start time from the server list: a different value means that the cache server has restarted.
    pub up_since_ms: u64,
}

/// A node's report about itself and the cache servers it sees.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Whether the node has declared itself ready to serve.
    pub ready: bool,
    /// Percentage of its recent requests that the node refused or failed.
    pub refused_percent: u8,
    /// All cache servers that the node lists as ready; `None` if nothing has changed.
    pub servers: Option<Vec<Listed>>,
}

/// A numbered report, which may contain only the changes since the previous one.
///
/// A node numbers its reports from 1 within a session. Only one report is in flight at a time: the next one
/// is created after the previous one was answered.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NumberedReport {
    /// The number of this report.
    pub number: u64,
    /// Whether the node has declared itself ready to serve.
    pub ready: bool,
    /// Percentage of its recent requests that the node refused or failed.
    pub refused_percent: u8,
    /// The cache servers that the node lists as ready.
    pub servers: ReportedServers,
}

/// The cache servers that a node lists as ready, as sent in a numbered report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "list", rename_all = "snake_case", deny_unknown_fields)]
pub enum ReportedServers {
    /// The node has no list yet.
    Unknown,
    /// The whole list.
    Whole {
        /// The listed cache servers.
        listed: Vec<Listed>,
    },
    /// The same list as in an earlier report.
    Unchanged {
        /// The number of that report, which must be the last one that the coordinators accepted.
        base: u64,
    },
    /// The changes since an earlier report.
    Delta {
        /// The number of that report, which must be the last one that the coordinators accepted.
        base: u64,
        /// New or changed cache servers.
        listed: Vec<Listed>,
        /// Ids of cache servers that are no longer listed.
        unlisted: Vec<String>,
    },
}

/// What happens when the maximum duration of a drain is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Then {
    /// The subject stays out and is shown as overdue.
    Stay,
    /// The subject returns to service.
    Back,
}

/// A command to the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "fleet", rename_all = "snake_case", deny_unknown_fields)]
pub enum FleetCommand {
    /// Registers the process of the session as a node, replacing any earlier process of that name.
    Join {
        /// The name of the node.
        node: String,
        /// The zone of the node.
        zone: String,
    },
    /// Sends a report of a node.
    Report {
        /// The report.
        report: Report,
    },
    /// Sends a numbered report of a node. Coordinators before format 3 cannot read this command.
    NumberedReport {
        /// The report.
        report: NumberedReport,
    },
    /// Confirms that a node has done what the current stage of a drain requires.
    Confirm {
        /// The number of the drain.
        drain: u64,
        /// The number of the stage. Confirmations of an earlier stage do not count.
        turn: u64,
    },
    /// Drains a node or a cache server.
    Drain {
        /// What to drain.
        subject: Subject,
        /// Who requested it and why.
        #[serde(rename = "word")]
        note: AuditNote,
        /// Maximum duration, in ms from the grant.
        for_ms: Option<u64>,
        /// What happens when the maximum duration is over.
        then: Then,
        /// Whether the drain may wait until the limits allow it.
        wait: bool,
        /// Whether the drain ignores the limits and a halt.
        force: bool,
    },
    /// Ends a drain.
    Back {
        /// What to return to service.
        subject: Subject,
        /// Who requested it and why.
        #[serde(rename = "word")]
        note: AuditNote,
    },
    /// Halts the fleet: nothing more is drained.
    Halt {
        /// Who requested it and why.
        #[serde(rename = "word")]
        note: AuditNote,
    },
    /// Ends the halt.
    Resume {
        /// Who requested it and why.
        #[serde(rename = "word")]
        note: AuditNote,
    },
    /// Removes a node that no longer runs, or a cache server that nobody lists, from the fleet.
    Forget {
        /// What to remove.
        subject: Subject,
        /// Who requested it and why.
        #[serde(rename = "word")]
        note: AuditNote,
    },
    /// Sets the limits.
    Limits {
        /// The new limits.
        limits: Limits,
        /// Who requested it and why.
        #[serde(rename = "word")]
        note: AuditNote,
    },
}

/// The response to a fleet command.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "fleet", rename_all = "snake_case", deny_unknown_fields)]
pub enum FleetResponse {
    /// The command succeeded.
    Done,
    /// The command concerns a drain.
    Drain {
        /// The number of the drain.
        number: u64,
        /// The stage of the drain.
        stage: Stage,
    },
}

/// The stage of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Requested, and waiting until the limits allow it.
    Asked,
    /// Granted, but not all nodes have confirmed that they send nothing more.
    Leaving,
    /// All nodes have confirmed.
    Out,
    /// Allowed to serve again, but not all live nodes have confirmed that they know.
    Returning,
    /// In service while the cache warms up.
    Cold,
}

impl Stage {
    /// The name of the stage, as used in messages.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Asked => "asked",
            Stage::Leaving => "leaving",
            Stage::Out => "out",
            Stage::Returning => "returning",
            Stage::Cold => "cold",
        }
    }
}

/// Why a fleet command was refused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "because", rename_all = "snake_case", deny_unknown_fields)]
pub enum FleetRefusal {
    /// The session does not belong to a node, or another process has since taken the node's name.
    NoNode,
    /// The fleet has no such node or cache server.
    Unknown {
        /// The unknown subject.
        subject: Subject,
    },
    /// There is already a drain of the subject.
    Already {
        /// The number of the drain.
        number: u64,
        /// The stage of the drain.
        stage: Stage,
    },
    /// The subject has no drain.
    NotOut,
    /// A limit does not allow another drain.
    Limit {
        /// The limit, and what counts against it.
        blocked: Blocked,
    },
    /// The fleet is halted.
    Halted {
        /// Who halted it and why.
        #[serde(rename = "word")]
        note: AuditNote,
    },
    /// The fleet is not halted.
    NotHalted,
    /// The subject is still alive and cannot be forgotten.
    Lives,
    /// The report is based on another one than the last accepted report, so the whole list is needed.
    UnknownBase {
        /// The number of the last accepted report; 0 if there is none.
        last: u64,
    },
    /// The command is invalid.
    Bad {
        /// What is wrong with it.
        what: String,
    },
}

/// A limit that does not allow another drain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Blocked {
    /// The name of the limit, as in the limits file.
    pub limit: String,
    /// The value of the limit.
    pub most: u64,
    /// What counts against the limit and why: at most the first few entries.
    pub by: Vec<String>,
    /// How many count against it in total.
    pub count: u64,
}

impl fmt::Display for Blocked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is {}", self.limit, self.most)?;
        if self.by.is_empty() {
            return Ok(());
        }
        write!(f, "; not in service: {}", self.by.join(", "))?;
        let more = self.count.saturating_sub(self.by.len() as u64);
        if more > 0 { write!(f, " and {more} more") } else { Ok(()) }
    }
}

impl fmt::Display for FleetRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FleetRefusal::NoNode => {
                write!(f, "the session belongs to no node, or another process has taken the node's name")
            }
            FleetRefusal::Unknown { subject } => write!(f, "the fleet has no {subject}"),
            FleetRefusal::Already { number, stage } => {
                write!(f, "already drained by drain {number}: {}", stage.name())
            }
            FleetRefusal::NotOut => write!(f, "there is no drain of it"),
            FleetRefusal::Limit { blocked } => write!(f, "{blocked}"),
            FleetRefusal::Halted { note } => write!(f, "halted by {}: {}", note.by, note.reason),
            FleetRefusal::NotHalted => write!(f, "the fleet is not halted"),
            FleetRefusal::Lives => {
                write!(f, "it is still alive or listed by nodes: only what is gone can be forgotten")
            }
            FleetRefusal::UnknownBase { last } => {
                write!(f, "the last accepted report of this node has number {last}: the whole list is needed")
            }
            FleetRefusal::Bad { what } => write!(f, "{what}"),
        }
    }
}

/// A drain as sent to nodes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Told {
    /// The number of the drain.
    pub drain: u64,
    /// What is drained.
    pub subject: Subject,
    /// The stage of the drain.
    pub stage: Stage,
    /// The number of that stage.
    pub turn: u64,
}

/// A change of the fleet as sent to watchers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "fleet", rename_all = "snake_case", deny_unknown_fields)]
pub enum FleetChange {
    /// A drain has reached a stage.
    Drain {
        /// The drain.
        told: Told,
    },
    /// A drain has ended.
    Ended {
        /// The number of the drain.
        drain: u64,
    },
    /// The fleet was halted, or a halt has ended.
    Halted {
        /// Whether the fleet is halted.
        halted: bool,
    },
}
