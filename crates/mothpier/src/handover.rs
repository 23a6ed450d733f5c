//! State that one process of a node hands over to the next, and that concurrent processes share. Last write
//! wins: every entry has a timestamp, so states can be merged in any order. Does no I/O.

use std::collections::{BTreeMap, BTreeSet};

use mothpier_coordination::{FenceFloors, FenceGuard};
use serde::{Deserialize, Serialize};

use crate::handover_store::ProcessTag;
use crate::messages::ServerList;

/// Version of the state format; states of other versions are ignored.
const VERSION: u32 = 1;
/// Maximum size of a stored state. Lists of thousands of servers are smaller.
pub const MAX_STATE_BYTES: usize = 4 << 20;
/// Maximum number of server flags. Beyond it the oldest are dropped, those that are off first.
const MAX_FLAGS: usize = 4_096;

/// A flag set by an operator, and when it was set, in Unix milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TimestampedFlag {
    at: u64,
    /// Of two flags with the same time the one that is on wins, since it keeps requests away.
    on: bool,
}

/// The state that is handed over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    version: u32,
    node: String,
    /// Whether the node is drained by an operator.
    emptied: TimestampedFlag,
    /// Whether each cache server is drained by an operator.
    hand: BTreeMap<String, TimestampedFlag>,
    /// The last known server list.
    list: Option<ServerList>,
    /// When the list was stored, in Unix milliseconds.
    #[serde(default)]
    listed: u64,
    /// The lowest fences that are accepted.
    #[serde(default)]
    pub(crate) floors: FenceFloors,
    /// The fleet's drains as last known to this node.
    #[serde(default)]
    drained: FleetDrains,
    /// Hashes of the ids of unsafe requests that may have run at a process.
    #[serde(default)]
    pub(crate) run_ids: BTreeSet<u64>,
    /// How long ago they were recorded when the state was stored, in milliseconds, as far as a process has told.
    #[serde(default)]
    pub(crate) run_id_ages_ms: BTreeMap<u64, u64>,
}

/// The drains of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FleetDrains {
    /// When they last changed, in Unix milliseconds.
    at: u64,
    /// Drained cache servers.
    pub out: BTreeSet<String>,
    /// Whether this node is drained.
    pub own: bool,
}

impl HandoverState {
    /// Creates the empty state of a node.
    pub fn new(node: &str) -> Self {
        HandoverState { version: VERSION, node: node.into(), ..HandoverState::default() }
    }

    /// Parses a state. The error tells why it is not usable for this node.
    pub fn read(bytes: &[u8], node: &str) -> Result<Self, String> {
        if bytes.len() > MAX_STATE_BYTES {
            return Err(format!("{} bytes are too many", bytes.len()));
        }
        let state: HandoverState = serde_json::from_slice(bytes).map_err(|e| format!("unreadable: {e}"))?;
        if state.version != VERSION {
            return Err(format!("unsupported version {}, expected {VERSION}", state.version));
        }
        if state.node != node {
            return Err(format!("it is the state of node {:.64?}", state.node));
        }
        Ok(state.bounded())
    }

    /// Serializes the state. The list is left out if the state would be too large to be read again.
    pub fn bytes(&self) -> Vec<u8> {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        if bytes.len() <= MAX_STATE_BYTES {
            return bytes;
        }
        serde_json::to_vec(&HandoverState { list: None, ..self.clone() }).unwrap_or_default()
    }

    /// Raises the lowest accepted fences to those seen; none is lowered.
    pub fn raise_floors(&mut self, floors: &FenceFloors) {
        let mut merged = FenceGuard::default();
        merged.learn(self.floors.clone());
        merged.learn(floors.clone());
        self.floors = merged.handed_over().cloned().unwrap_or_default();
    }

    /// Merges the state of another process. The operation is commutative.
    pub fn merge(&mut self, other: HandoverState) {
        self.emptied = self.emptied.max(other.emptied);
        self.raise_floors(&other.floors);
        self.drained = self.drained.clone().max(other.drained);
        self.run_ids.extend(other.run_ids);
        self.run_id_ages_ms.extend(other.run_id_ages_ms);
        for (id, flag) in other.hand {
            let own = self.hand.entry(id).or_default();
            *own = flag.max(*own);
        }
        if other.listed > self.listed {
            (self.list, self.listed) = (other.list, other.listed);
        }
        *self = std::mem::take(self).bounded();
    }

    /// Sets the fleet's current drains.
    pub fn set_fleet_drains(&mut self, now: u64, out: BTreeSet<String>, own: bool) {
        if self.drained.out != out || self.drained.own != own {
            self.drained = FleetDrains { at: now.max(self.drained.at + 1), out, own };
        }
    }

    /// Returns the fleet's drains as last known.
    pub fn last_fleet_drains(&self) -> FleetDrains {
        self.drained.clone()
    }

    /// Drains a server by an operator's request, or returns it to service.
    pub fn set_server_drained(&mut self, now: u64, id: &str, out: bool) {
        let previous = self.hand.get(id).copied().unwrap_or_default();
        // Later than the previous entry, even if the clock was set back.
        self.hand.insert(id.into(), TimestampedFlag { at: now.max(previous.at + 1), on: out });
        *self = std::mem::take(self).bounded();
    }

    /// Drains the node by an operator's request, or returns it to service.
    pub fn set_node_drained(&mut self, now: u64, is_drained: bool) {
        self.emptied = TimestampedFlag { at: now.max(self.emptied.at + 1), on: is_drained };
    }

    /// Stores the current list.
    pub fn set_list(&mut self, now: u64, list: ServerList) {
        // Later than the previous list, even if the clock was set back.
        (self.list, self.listed) = (Some(list), now.max(self.listed + 1));
    }

    /// Returns the servers drained by operators, and since when.
    pub fn drained_servers(&self) -> BTreeMap<String, u64> {
        self.hand.iter().filter(|(_, m)| m.on).map(|(id, m)| (id.clone(), m.at)).collect()
    }

    /// Returns whether the node is drained by an operator.
    pub fn is_node_drained(&self) -> bool {
        self.emptied.on
    }

    /// Takes the list out of the state.
    pub fn take_list(&mut self) -> Option<ServerList> {
        self.list.take()
    }

    /// Drops flags beyond [`MAX_FLAGS`].
    fn bounded(mut self) -> Self {
        while self.hand.len() > MAX_FLAGS {
            let oldest = self.hand.iter().min_by_key(|(_, m)| (m.on, m.at)).map(|(id, _)| id.clone());
            oldest.and_then(|id| self.hand.remove(&id));
        }
        self
    }
}

/// The status that a process publishes to the other processes of its node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProcessStatus {
    /// Whether it accepts clients.
    pub serving: bool,
    /// Number of its open file descriptors.
    pub descriptors: usize,
    /// The processes at which it looks up request ids, while they can look up its own.
    pub looks_up_at: BTreeSet<ProcessTag>,
}

impl ProcessStatus {
    /// Returns the stored form.
    pub fn text(&self) -> String {
        let tags: Vec<_> = self.looks_up_at.iter().map(ProcessTag::to_string).collect();
        format!("{} {} {}\n", u8::from(self.serving), self.descriptors, tags.join(","))
    }

    /// Parses a stored status; malformed text gives the default.
    pub fn read(text: &str) -> Self {
        let mut fields = text.split_whitespace();
        let serving = fields.next() == Some("1");
        let descriptors = fields.next().and_then(|w| w.parse().ok()).unwrap_or_default();
        let looks_up_at = fields.next().map(|tags| tags.split(',').map(ProcessTag::from).collect());
        ProcessStatus { serving, descriptors, looks_up_at: looks_up_at.unwrap_or_default() }
    }
}

/// Returns this process's share of the node's capacity, which is divided equally among serving processes.
pub fn process_share<'a>(serving: bool, others: impl IntoIterator<Item = &'a ProcessStatus>) -> f64 {
    let all = others.into_iter().filter(|w| w.serving).count() + usize::from(serving);
    1.0 / all.max(1) as f64
}

#[cfg(test)]
mod tests;
