//! What is asked of a fleet's agreement, what is answered, and what nodes are told. Part of the log and of the wire.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::limits::Limits;

/// What can be out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A node.
    Node,
    /// A cache server.
    Server,
}

impl Kind {
    /// In one word.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Node => "node",
            Kind::Server => "server",
        }
    }

    /// Several of them.
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
    /// Which of the two.
    pub kind: Kind,
    /// Its name, or its id.
    pub id: String,
}

impl Subject {
    /// A node.
    pub fn node(id: &str) -> Self {
        Subject { kind: Kind::Node, id: id.into() }
    }

    /// A cache server.
    pub fn server(id: &str) -> Self {
        Subject { kind: Kind::Server, id: id.into() }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind.name(), self.id)
    }
}

/// Who says something, why, and when by that one's wall clock: kept and shown, never reckoned with.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditNote {
    /// Who.
    pub by: String,
    /// Why.
    pub reason: String,
    /// Unix time, ms.
    pub at_ms: u64,
}

/// A cache server as a node lists it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listed {
    /// Its id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Since when it is up, as the list says: another value is another start.
    pub up_since_ms: u64,
}

/// What a node says of itself and of what it sees.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// It serves: it has said that it is ready.
    pub ready: bool,
    /// Part of its requests that it lately refused or failed, in percent.
    pub refused_percent: u8,
    /// The cache servers that it lists as ready, all of them; `None` where nothing changed.
    pub servers: Option<Vec<Listed>>,
}

/// A report with a number, which may carry only what changed since the one before it.
///
/// A node numbers its reports from 1 within a session. One report is under way at a time: the next is made once the one
/// before it was answered.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NumberedReport {
    /// The number of this report.
    pub number: u64,
    /// The node serves: it has said that it is ready.
    pub ready: bool,
    /// Part of its requests that it lately refused or failed, in percent.
    pub refused_percent: u8,
    /// The cache servers that it lists as ready.
    pub servers: ReportedServers,
}

/// How a numbered report tells the cache servers that the node lists as ready.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "list", rename_all = "snake_case", deny_unknown_fields)]
pub enum ReportedServers {
    /// The node has no list yet.
    Unknown,
    /// All of them.
    Whole {
        /// The whole list.
        listed: Vec<Listed>,
    },
    /// As an earlier report told them.
    Unchanged {
        /// The number of that report: it has to be the last one that the coordinators took.
        base: u64,
    },
    /// What changed since an earlier report.
    Delta {
        /// The number of that report: it has to be the last one that the coordinators took.
        base: u64,
        /// Lines that are new or changed.
        listed: Vec<Listed>,
        /// Ids that are not in the list any more.
        unlisted: Vec<String>,
    },
}

/// What happens at a drain's latest end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Then {
    /// It stays out, and is shown as overdue.
    Stay,
    /// It comes back.
    Back,
}

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "fleet", rename_all = "snake_case", deny_unknown_fields)]
pub enum FleetCommand {
    /// A node is there, by the session that asks; it takes the place of whatever process had its name.
    Join {
        /// Its name.
        node: String,
        /// Its zone.
        zone: String,
    },
    /// A node reports.
    Report {
        /// What.
        report: Report,
    },
    /// A node reports by number. Coordinators before format 3 can't read this one.
    NumberedReport {
        /// What.
        report: NumberedReport,
    },
    /// A node has done what the drain's stage asks for.
    Confirm {
        /// The drain's number.
        drain: u64,
        /// The number of the stage: what is confirmed of an earlier one counts no more.
        turn: u64,
    },
    /// A node or a cache server is to go out.
    Drain {
        /// Which.
        subject: Subject,
        /// Who wants it and why.
        #[serde(rename = "word")]
        note: AuditNote,
        /// Its latest end, ms after it was granted.
        for_ms: Option<u64>,
        /// What happens then.
        then: Then,
        /// It waits for a place.
        wait: bool,
        /// It goes past the limits, and past a halt.
        force: bool,
    },
    /// It is to come back.
    Back {
        /// Which.
        subject: Subject,
        /// Who wants it and why.
        #[serde(rename = "word")]
        note: AuditNote,
    },
    /// Nothing more goes out.
    Halt {
        /// Who wants it and why.
        #[serde(rename = "word")]
        note: AuditNote,
    },
    /// The halt is over.
    Resume {
        /// Who wants it and why.
        #[serde(rename = "word")]
        note: AuditNote,
    },
    /// A node that does not run any more, or a cache server that nobody lists, belongs to the fleet no more.
    Forget {
        /// Which.
        subject: Subject,
        /// Who says so and why.
        #[serde(rename = "word")]
        note: AuditNote,
    },
    /// The limits are others.
    Limits {
        /// Which.
        limits: Limits,
        /// Who wants it and why.
        #[serde(rename = "word")]
        note: AuditNote,
    },
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "fleet", rename_all = "snake_case", deny_unknown_fields)]
pub enum FleetResponse {
    /// It is so.
    Done,
    /// There is a drain.
    Drain {
        /// Its number.
        number: u64,
        /// How far it is.
        stage: Stage,
    },
}

/// How far a drain is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It waits for a place.
    Asked,
    /// It was granted; not all have confirmed that they send nothing more.
    Leaving,
    /// All have.
    Out,
    /// It may serve again; not all that live have heard it.
    Returning,
    /// It serves, and its cache is not what it was.
    Cold,
}

impl Stage {
    /// In one word.
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

/// Why nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "because", rename_all = "snake_case", deny_unknown_fields)]
pub enum FleetRefusal {
    /// The session is no node's, or another process has taken the node's name since.
    NoNode,
    /// The fleet knows no such node or cache server.
    Unknown {
        /// Which.
        subject: Subject,
    },
    /// It is on its way out, or out.
    Already {
        /// The drain's number.
        number: u64,
        /// How far it is.
        stage: Stage,
    },
    /// It is not out.
    NotOut,
    /// A limit is used up.
    Limit {
        /// Which, and by whom.
        blocked: Blocked,
    },
    /// The fleet has halted.
    Halted {
        /// Who halted it and why.
        #[serde(rename = "word")]
        note: AuditNote,
    },
    /// It has not halted.
    NotHalted,
    /// It lives: what lives is not forgotten.
    Lives,
    /// The report builds on another one than the last that was taken: the whole list is wanted.
    UnknownBase {
        /// The number of the last report that was taken; 0 for none.
        last: u64,
    },
    /// What was asked can't be.
    Bad {
        /// What is wrong with it.
        what: String,
    },
}

/// A limit that is used up.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Blocked {
    /// The limit's name, as the file that states it has it.
    pub limit: String,
    /// The limit.
    pub most: u64,
    /// Who uses it up and how: at most the first few.
    pub by: Vec<String>,
    /// How many these are.
    pub count: u64,
}

impl fmt::Display for Blocked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is {}", self.limit, self.most)?;
        if self.by.is_empty() {
            return Ok(());
        }
        write!(f, ", and not in service are {}", self.by.join(", "))?;
        let more = self.count.saturating_sub(self.by.len() as u64);
        if more > 0 { write!(f, " and {more} more") } else { Ok(()) }
    }
}

impl fmt::Display for FleetRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FleetRefusal::NoNode => write!(f, "this session is no node's, or another process has its name"),
            FleetRefusal::Unknown { subject } => write!(f, "the fleet knows no {subject}"),
            FleetRefusal::Already { number, stage } => write!(f, "drain {number} has it: {}", stage.name()),
            FleetRefusal::NotOut => write!(f, "it is not out"),
            FleetRefusal::Limit { blocked } => write!(f, "{blocked}"),
            FleetRefusal::Halted { note } => write!(f, "halted by {}: {}", note.by, note.reason),
            FleetRefusal::NotHalted => write!(f, "it has not halted"),
            FleetRefusal::Lives => write!(f, "it lives, or nodes list it: only what is gone is forgotten"),
            FleetRefusal::UnknownBase { last } => {
                write!(f, "the last report of this node is number {last}: its whole list is wanted")
            }
            FleetRefusal::Bad { what } => write!(f, "{what}"),
        }
    }
}

/// A drain as a node needs to know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Told {
    /// Its number.
    pub drain: u64,
    /// Of what.
    pub subject: Subject,
    /// How far it is.
    pub stage: Stage,
    /// The number of that stage.
    pub turn: u64,
}

/// What watchers are told.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "fleet", rename_all = "snake_case", deny_unknown_fields)]
pub enum FleetChange {
    /// A drain is as far as this.
    Drain {
        /// The drain.
        told: Told,
    },
    /// A drain is no more.
    Ended {
        /// Its number.
        drain: u64,
    },
    /// A halt, or the end of one.
    Halted {
        /// Whether it is one.
        halted: bool,
    },
}
