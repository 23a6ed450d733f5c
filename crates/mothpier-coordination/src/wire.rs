//! Messages between clients and coordinators: JSON over HTTP. Fields are only ever added.

use serde::{Deserialize, Serialize};

use crate::fleet::Fleet;
use crate::fleet::messages::Told as Drain;
use crate::{Answer, Command, FenceFloors};

/// Header with the cluster name in messages between coordinators.
pub const CLUSTER: &str = "x-mothpier-cluster";

/// A command sent by a client.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The name of the cluster.
    pub cluster: String,
    /// The command.
    pub command: Command,
}

/// A request to change the membership of the coordinators.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberCall {
    /// The name of the cluster.
    pub cluster: String,
    /// The requested change.
    pub change: MemberChange,
}

/// A change of one coordinator's membership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MemberChange {
    /// Adds a coordinator under a number that was never used before. It becomes a voter once it has caught
    /// up.
    Add {
        /// The number of the coordinator.
        member: u64,
        /// The address of the coordinator.
        address: std::net::SocketAddr,
    },
    /// Removes a coordinator for good.
    Remove {
        /// The number of the coordinator.
        member: u64,
    },
}

/// A lease as shown to clients.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseInfo {
    /// The name of the lease.
    pub lease: String,
    /// The session that holds the lease.
    pub holder: String,
    /// The fence of the grant.
    pub fence: u64,
    /// The TTL of the holder's session.
    pub ttl_ms: u64,
    /// Time until the holder's session expires unless it is renewed.
    pub left_ms: Option<u64>,
    /// An operator has broken the lease: the holder's session is not renewed any more.
    pub broken: bool,
    /// Sessions that wait for the lease, the next one first.
    pub waiting: Vec<String>,
}

/// All leases that are held, read with the confirmation of a majority.
#[derive(Debug, Serialize, Deserialize)]
pub struct Leases {
    /// Revision of the last change.
    pub revision: u64,
    /// Fences that a process needs before it may accept fenced actions.
    pub floors: FenceFloors,
    /// The leases.
    pub leases: Vec<LeaseInfo>,
}

/// The whole fleet, read with the confirmation of a majority.
#[derive(Debug, Serialize, Deserialize)]
pub struct FleetInfo {
    /// Revision of the last change.
    pub revision: u64,
    /// The fleet.
    pub fleet: Fleet,
}

/// The drains as nodes need them, read with the confirmation of a majority.
#[derive(Debug, Serialize, Deserialize)]
pub struct Drains {
    /// Revision of the last change.
    pub revision: u64,
    /// The drains.
    pub drains: Vec<Drain>,
}

/// Why a call failed.
#[derive(Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Error {
    /// Another coordinator is the leader and has to be called instead. Nothing was done.
    NotLeader,
    /// It is not known whether the command took effect.
    Unknown,
    /// The call is for another cluster.
    OtherCluster,
    /// The call cannot be parsed.
    BadCall,
    /// The requested resource does not exist.
    NotFound,
}

/// The body of an error response.
#[derive(Debug, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The kind of error.
    pub error: Error,
    /// A message for people.
    pub message: String,
    /// The number of the leader, if known.
    pub leader: Option<u64>,
}

/// The body of the response to a command.
#[derive(Debug, Deserialize)]
pub struct Told {
    /// The result of the command.
    pub answer: Answer,
}

/// The status of a coordinator.
#[derive(Debug, Serialize, Deserialize)]
pub struct Status {
    /// The name of the cluster.
    pub cluster: String,
    /// The number of this coordinator.
    pub member: u64,
    /// The number of the leader, as far as this coordinator knows.
    pub leader: Option<u64>,
    /// For how long that leader has been known, in ms.
    pub since_ms: u64,
    /// The current term.
    pub term: u64,
    /// Index of the last committed log entry.
    pub committed: u64,
    /// Index of the last log entry applied by this coordinator.
    pub applied: u64,
    /// Number of open sessions.
    pub sessions: usize,
    /// Number of leases that are held.
    pub leases: usize,
    /// Coordinators that become voters once they have caught up.
    #[serde(default)]
    pub learners: Vec<u64>,
    /// The voters and by how many log entries each of them lags, which only the leader knows.
    pub members: Vec<(u64, Option<u64>)>,
    /// Why the store cannot be written. While this is set, the coordinator does not take part in consensus.
    #[serde(default)]
    pub store_failure: Option<String>,
}
