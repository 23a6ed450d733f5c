//! What clients and coordinators say to each other over HTTP, as JSON. Fields are only ever added.

use serde::{Deserialize, Serialize};

use crate::fleet::Fleet;
use crate::fleet::messages::Told as Drain;
use crate::{Answer, Command, FenceFloors};

/// The header that names the fleet in messages between members.
pub const CLUSTER: &str = "x-mothpier-cluster";

/// A client's call.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The fleet's name.
    pub cluster: String,
    /// What is asked.
    pub command: Command,
}

/// A change of the coordinators themselves.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberCall {
    /// The fleet's name.
    pub cluster: String,
    /// What is asked.
    pub change: MemberChange,
}

/// One coordinator more or less.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MemberChange {
    /// A new one, under a number that was never another's. It votes once it has what the others have.
    Add {
        /// Its number.
        member: u64,
        /// Where it is reached.
        address: std::net::SocketAddr,
    },
    /// One leaves for good.
    Remove {
        /// Its number.
        member: u64,
    },
}

/// A lease as it is shown.
#[derive(Debug, Serialize, Deserialize)]
pub struct Shown {
    /// Its name.
    pub lease: String,
    /// The session that holds it.
    pub holder: String,
    /// The number of its grant.
    pub fence: u64,
    /// The holder's time.
    pub ttl_ms: u64,
    /// What is left of it unless it is renewed.
    pub left_ms: Option<u64>,
    /// Staff have broken it: it is renewed no more.
    pub broken: bool,
    /// Who waits for it, the next first.
    pub waiting: Vec<String>,
}

/// All that is held, as a majority confirmed it.
#[derive(Debug, Serialize, Deserialize)]
pub struct Leases {
    /// The number of the last change.
    pub revision: u64,
    /// What one that obeys has to know.
    pub floors: FenceFloors,
    /// What is held.
    pub leases: Vec<Shown>,
}

/// The whole fleet, as a majority confirmed it.
#[derive(Debug, Serialize, Deserialize)]
pub struct FleetShown {
    /// The number of the last change.
    pub revision: u64,
    /// The fleet.
    pub fleet: Fleet,
}

/// The drains, as nodes need to know them and a majority confirmed them.
#[derive(Debug, Serialize, Deserialize)]
pub struct Drains {
    /// The number of the last change.
    pub revision: u64,
    /// The drains.
    pub drains: Vec<Drain>,
}

/// Why a call came to nothing.
#[derive(Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Error {
    /// Another member leads: ask there. Nothing was done.
    NotLeader,
    /// It is not known whether it was done.
    Unknown,
    /// The call belongs to another fleet.
    OtherCluster,
    /// The call can't be read.
    BadCall,
    /// Nothing is there.
    NotFound,
}

/// How an error is told.
#[derive(Debug, Serialize, Deserialize)]
pub struct Failed {
    /// Which.
    pub error: Error,
    /// For people.
    pub message: String,
    /// The member that leads, where that is known.
    pub leader: Option<u64>,
}

/// What came of a command, as the door tells it.
#[derive(Debug, Deserialize)]
pub struct Told {
    /// The answer.
    pub answer: Answer,
}

/// A member as it shows itself.
#[derive(Debug, Serialize, Deserialize)]
pub struct Status {
    /// The fleet's name.
    pub cluster: String,
    /// Its number.
    pub member: u64,
    /// The member that leads, as far as it knows.
    pub leader: Option<u64>,
    /// For how long it has known that one.
    pub since_ms: u64,
    /// The term.
    pub term: u64,
    /// The last line that is committed.
    pub committed: u64,
    /// The last line that is applied here.
    pub applied: u64,
    /// Sessions that live.
    pub sessions: usize,
    /// Leases that are held.
    pub leases: usize,
    /// Those that are to vote once they have what the others have.
    #[serde(default)]
    pub learners: Vec<u64>,
    /// Those that vote, and by how many lines each lags; known to a leader.
    pub members: Vec<(u64, Option<u64>)>,
    /// Why its store can't be written, while that is so: it takes part in nothing then.
    #[serde(default)]
    pub store_failure: Option<String>,
}
