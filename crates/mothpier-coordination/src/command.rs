//! Commands, answers and change notifications. Their serde representation is written to the log and sent
//! over the wire; it may only be extended in ways that an older reader rejects, under a new [`FORMAT`].

use serde::{Deserialize, Serialize};

use crate::fleet::messages::{FleetChange, FleetCommand, FleetRefusal, FleetResponse};
use crate::fleet::timers::Timer;

/// Format version of commands in the log and of the state in snapshots. Version 2 added the fleet, version 3
/// its numbered reports. All earlier versions can be read.
pub const FORMAT: u32 = 3;

/// Fencing token: rises with every grant of any lease, so a higher one belongs to a later grant.
pub type Fence = u64;
/// Number of a change of the state.
pub type Revision = u64;
/// Name of a session. The client draws it at random, so that a repeated request opens only one session.
pub type SessionId = String;

/// A command in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Opens a session, or confirms that it is open.
    Open {
        /// The name of the session.
        session: SessionId,
        /// The session expires if it is not renewed for this long.
        ttl_ms: u64,
    },
    /// Renews a session.
    Renew {
        /// The session.
        session: SessionId,
    },
    /// Makes a request on behalf of a session. A repeated number gets the same answer as the first time.
    Ask {
        /// The session.
        session: SessionId,
        /// Rises by one with each request of the session.
        number: u64,
        /// The request.
        request: Request,
    },
    /// Ends a session and releases everything it holds.
    Close {
        /// The session.
        session: SessionId,
    },
    /// Ends a session that, according to the leader, was not renewed within its TTL.
    Expire {
        /// The session.
        session: SessionId,
        /// Number of renewals when the leader's wait began: if there was another renewal since, the session
        /// stays open.
        renewals: u64,
    },
    /// Lets a lease change hands on an operator's request: the holder's session is not renewed any more and
    /// expires after its TTL.
    Break {
        /// The lease.
        lease: String,
        /// The fence of the grant to break.
        fence: Fence,
    },
    /// Reports that a timer of the fleet has fired at the leader.
    Due {
        /// The timer.
        timer: Timer,
    },
}

/// A request of a session.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case", deny_unknown_fields)]
pub enum Request {
    /// Acquires a lease.
    Acquire {
        /// The name of the lease.
        lease: String,
        /// Whether to queue for the lease if another session holds it.
        wait: bool,
    },
    /// Releases a lease, or stops waiting for it.
    Release {
        /// The name of the lease.
        lease: String,
    },
    /// Stores a value.
    Put {
        /// The key of the value.
        key: String,
        /// The value.
        value: String,
        /// If set, stores only if this is the revision of the key's last change; 0 means that the key must
        /// not exist.
        at: Option<Revision>,
    },
    /// Deletes a value.
    Delete {
        /// The key of the value.
        key: String,
        /// If set, deletes only if this is the revision of the key's last change.
        at: Option<Revision>,
    },
    /// Changes the fleet: its nodes, cache servers and drains.
    Fleet {
        /// The command.
        what: FleetCommand,
    },
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case", deny_unknown_fields)]
pub enum Answer {
    /// The session is open.
    Opened,
    /// The session is renewed for its whole TTL.
    Renewed,
    /// The session has ended.
    Closed,
    /// The session holds the lease.
    Granted {
        /// The fence of the grant.
        fence: Fence,
    },
    /// The session waits for the lease.
    Waiting {
        /// Number of sessions ahead, including the holder.
        ahead: u64,
    },
    /// The session neither holds the lease nor waits for it.
    Released,
    /// The value is stored.
    Stored {
        /// The revision of the change.
        revision: Revision,
    },
    /// The value is deleted.
    Deleted {
        /// The revision of the change.
        revision: Revision,
    },
    /// The session that holds the lease is not renewed any more.
    Broken,
    /// A fleet command succeeded.
    Fleet {
        /// Its response.
        answer: FleetResponse,
    },
    /// The command was refused and changed nothing.
    Refused {
        /// The reason.
        why: Refusal,
    },
}

/// Why a command was refused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "why", rename_all = "snake_case", deny_unknown_fields)]
pub enum Refusal {
    /// The session does not exist: it has ended, or was never opened.
    NoSession,
    /// A session of this name has ended, and the name cannot be reused yet.
    SessionOver,
    /// The session is open with a different TTL.
    OtherTtl {
        /// The TTL of the open session.
        ttl_ms: u64,
    },
    /// An operator has broken a lease of the session.
    BrokenByStaff,
    /// The request number is neither the session's last one nor the next one.
    WrongNumber {
        /// The number of the session's last request.
        last: u64,
    },
    /// Another session holds the lease.
    Held {
        /// The session that holds it.
        by: SessionId,
    },
    /// The lease is not held under this fence.
    NotHeld,
    /// The value has been changed since.
    Changed {
        /// The revision of its last change, 0 if there is no value.
        at: Revision,
    },
    /// The session was renewed in the meantime.
    Renewed,
    /// A limit is exceeded.
    OverLimit {
        /// The name of the limit.
        limit: String,
        /// The limit.
        most: u64,
    },
    /// The name is empty, too long, or contains characters other than letters, digits and `-_.:@/`.
    BadName,
    /// The TTL is outside the allowed range.
    BadTtl {
        /// The shortest allowed TTL.
        least_ms: u64,
        /// The longest allowed TTL.
        most_ms: u64,
    },
    /// A fleet command was refused.
    Fleet {
        /// The reason.
        fleet: FleetRefusal,
    },
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::NoSession => write!(f, "no such session: it has ended or was never opened"),
            Refusal::SessionOver => write!(f, "a session of this name has ended"),
            Refusal::OtherTtl { ttl_ms } => write!(f, "the session is open with a TTL of {ttl_ms} ms"),
            Refusal::BrokenByStaff => write!(f, "an operator has broken a lease of this session"),
            Refusal::WrongNumber { last } => {
                write!(f, "unexpected request number: the session's last request had number {last}")
            }
            Refusal::Held { by } => write!(f, "the lease is held by {by}"),
            Refusal::NotHeld => write!(f, "the lease is not held under that fence"),
            Refusal::Changed { at: 0 } => write!(f, "there is no such value"),
            Refusal::Changed { at } => write!(f, "the value has changed, at revision {at}"),
            Refusal::Renewed => write!(f, "the session was renewed in the meantime"),
            Refusal::OverLimit { limit, most } => write!(f, "limit of {most} exceeded: {limit}"),
            Refusal::BadName => write!(f, "invalid name: 1 to 128 letters, digits and -_.:@/ are allowed"),
            Refusal::BadTtl { least_ms, most_ms } => {
                write!(f, "invalid TTL: must be between {least_ms} and {most_ms} ms")
            }
            Refusal::Fleet { fleet } => write!(f, "{fleet}"),
        }
    }
}

/// A change as sent to watchers, together with its revision.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// A lease was granted.
    Granted {
        /// The lease.
        lease: String,
        /// The session that holds the lease.
        session: SessionId,
        /// The fence of the grant.
        fence: Fence,
    },
    /// A lease is no longer held by its holder.
    Ended {
        /// The lease.
        lease: String,
        /// The fence of the ended grant.
        fence: Fence,
    },
    /// A value was stored.
    Put {
        /// The key of the value.
        key: String,
        /// The value.
        value: String,
    },
    /// A value was deleted.
    Deleted {
        /// The key of the value.
        key: String,
    },
    /// The fleet changed.
    Fleet {
        /// The change.
        what: FleetChange,
    },
}
