//! What can be asked, what is answered, and what a watcher is told. Serde's form of these types is the log's and the
//! wire's; it grows only by what an older reader may refuse, under a new [`FORMAT`].

use serde::{Deserialize, Serialize};

use crate::fleet::messages::{FleetChange, FleetCommand, FleetRefusal, FleetResponse};
use crate::fleet::timers::Timer;

/// Version of commands in the log and of the state in snapshots. 2 brought the fleet, 3 its numbered reports; all before are
/// read.
pub const FORMAT: u32 = 3;

/// A number that rises with every grant of any lease: who has the higher one was granted later.
pub type Fence = u64;
/// The number of a change.
pub type Revision = u64;
/// A session's name: its client draws it, so that asking twice opens one.
pub type SessionId = String;

/// A line of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Opens a session, or finds it open.
    Open {
        /// Its name.
        session: SessionId,
        /// It ends when it has not been renewed for so long.
        ttl_ms: u64,
    },
    /// It lives.
    Renew {
        /// The session.
        session: SessionId,
    },
    /// Asks for something in the session's name. The same number again is answered as the first time.
    Ask {
        /// The session.
        session: SessionId,
        /// Rises by one with each request of the session.
        number: u64,
        /// What is asked.
        request: Request,
    },
    /// Ends a session and gives up all that it holds.
    Close {
        /// The session.
        session: SessionId,
    },
    /// A leader has waited for a session's whole time.
    Expire {
        /// The session.
        session: SessionId,
        /// How often it had been renewed when the wait began: one renewal more, and it lives.
        renewals: u64,
    },
    /// Staff want a lease to change hands: its holder's session is renewed no more, and ends in its time.
    Break {
        /// The lease.
        lease: String,
        /// The fence under which it is held.
        fence: Fence,
    },
    /// A leader has waited for a timer of the fleet.
    Due {
        /// Which.
        timer: Timer,
    },
}

/// What a session asks for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case", deny_unknown_fields)]
pub enum Request {
    /// To hold a lease.
    Acquire {
        /// Its name.
        lease: String,
        /// To be next in line where another one holds it.
        wait: bool,
    },
    /// To hold a lease no more, or to wait for it no more.
    Release {
        /// Its name.
        lease: String,
    },
    /// To store a value.
    Put {
        /// Its name.
        key: String,
        /// The value.
        value: String,
        /// Only where its last change has this number; 0 where there must be none.
        at: Option<Revision>,
    },
    /// To remove a value.
    Delete {
        /// Its name.
        key: String,
        /// Only where its last change has this number.
        at: Option<Revision>,
    },
    /// Something of the fleet: its nodes, its drains.
    Fleet {
        /// What.
        what: FleetCommand,
    },
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case", deny_unknown_fields)]
pub enum Answer {
    /// The session is open.
    Opened,
    /// The session lives for its whole time from now on.
    Renewed,
    /// The session has ended.
    Closed,
    /// The lease is held.
    Granted {
        /// Under this number.
        fence: Fence,
    },
    /// Others hold the lease or come first.
    Waiting {
        /// How many.
        ahead: u64,
    },
    /// The lease is not held by the session, and not waited for.
    Released,
    /// The value is stored.
    Stored {
        /// The number of the change.
        revision: Revision,
    },
    /// The value is gone.
    Deleted {
        /// The number of the change.
        revision: Revision,
    },
    /// The lease's holder is renewed no more.
    Broken,
    /// Of the fleet.
    Fleet {
        /// What came of it.
        answer: FleetResponse,
    },
    /// Nothing has changed.
    Refused {
        /// Why.
        why: Refusal,
    },
}

/// Why nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "why", rename_all = "snake_case", deny_unknown_fields)]
pub enum Refusal {
    /// There is no such session: it has ended, or never was.
    NoSession,
    /// The name was a session's that has ended.
    SessionOver,
    /// The session is open with another time.
    OtherTtl {
        /// Its time.
        ttl_ms: u64,
    },
    /// Staff have broken a lease of the session.
    BrokenByStaff,
    /// The session's number is behind its last, or leaves one out.
    WrongNumber {
        /// The last one.
        last: u64,
    },
    /// Another session holds the lease.
    Held {
        /// Which.
        by: SessionId,
    },
    /// The lease is not held under that number.
    NotHeld,
    /// The value has changed since.
    Changed {
        /// The number of its last change, 0 where there is none.
        at: Revision,
    },
    /// The session was renewed meanwhile.
    Renewed,
    /// A bound.
    OverLimit {
        /// Its name.
        limit: String,
        /// The bound.
        most: u64,
    },
    /// A name that is empty, too long, or holds other than letters, digits and `-_.:@/`.
    BadName,
    /// A session's time outside the bounds.
    BadTtl {
        /// The shortest.
        least_ms: u64,
        /// The longest.
        most_ms: u64,
    },
    /// Of the fleet.
    Fleet {
        /// Why.
        fleet: FleetRefusal,
    },
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::NoSession => write!(f, "there is no such session: it has ended, or never was"),
            Refusal::SessionOver => write!(f, "a session of this name has ended"),
            Refusal::OtherTtl { ttl_ms } => write!(f, "the session is open with a time of {ttl_ms} ms"),
            Refusal::BrokenByStaff => write!(f, "staff have broken a lease of this session"),
            Refusal::WrongNumber { last } => write!(f, "the session's last request had the number {last}"),
            Refusal::Held { by } => write!(f, "{by} holds it"),
            Refusal::NotHeld => write!(f, "it is not held under that fence"),
            Refusal::Changed { at: 0 } => write!(f, "there is no such value"),
            Refusal::Changed { at } => write!(f, "the value has changed, at revision {at}"),
            Refusal::Renewed => write!(f, "the session was renewed meanwhile"),
            Refusal::OverLimit { limit, most } => write!(f, "over the limit of {most}: {limit}"),
            Refusal::BadName => write!(f, "a name takes letters, digits and -_.:@/ and at most 128 of them"),
            Refusal::BadTtl { least_ms, most_ms } => {
                write!(f, "a session's time lies between {least_ms} and {most_ms} ms")
            }
            Refusal::Fleet { fleet } => write!(f, "{fleet}"),
        }
    }
}

/// What a watcher is told, with the number of the change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// A lease has a holder.
    Granted {
        /// The lease.
        lease: String,
        /// The holder's session.
        session: SessionId,
        /// The number of the grant.
        fence: Fence,
    },
    /// A lease's holder has it no more.
    Ended {
        /// The lease.
        lease: String,
        /// The number of its grant.
        fence: Fence,
    },
    /// A value is there.
    Put {
        /// Its name.
        key: String,
        /// The value.
        value: String,
    },
    /// A value is gone.
    Deleted {
        /// Its name.
        key: String,
    },
    /// Of the fleet.
    Fleet {
        /// What.
        what: FleetChange,
    },
}
