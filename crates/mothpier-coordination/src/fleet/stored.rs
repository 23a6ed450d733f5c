//! The fleet as stored in snapshots and shown to clients, without the derived indexes.

use std::collections::{BTreeMap, VecDeque};

use serde::Deserialize;

use super::limits::Limits;
use super::{Drain, Event, Fleet, Halt, Node, Server};

/// The fields that are read for a fleet: those that [`Fleet`] writes.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StoredFleet {
    limits: Limits,
    nodes: BTreeMap<String, Node>,
    servers: BTreeMap<String, Server>,
    drains: BTreeMap<u64, Drain>,
    halt: Option<Halt>,
    events: VecDeque<Event>,
    numbers: u64,
    #[serde(default)]
    registered: u64,
}

impl From<StoredFleet> for Fleet {
    fn from(stored: StoredFleet) -> Self {
        let mut fleet = Fleet {
            limits: stored.limits,
            nodes: stored.nodes,
            servers: stored.servers,
            drains: stored.drains,
            halt: stored.halt,
            events: stored.events,
            numbers: stored.numbers,
            registered: stored.registered,
            ..Fleet::default()
        };
        fleet.rebuild_index();
        fleet
    }
}

impl Fleet {
    /// Returns the fleet as shown to clients. It leaves out the numbers that formats 1 and 2 did not have,
    /// because clients of those versions reject unknown fields.
    pub fn shown(&self) -> Fleet {
        let mut shown = self.clone();
        for node in shown.nodes.values_mut() {
            (node.report, node.registered) = (0, 0);
        }
        for server in shown.servers.values_mut() {
            server.registered = 0;
        }
        shown.registered = 0;
        shown.clear_registrations();
        shown
    }
}
