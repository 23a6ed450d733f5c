//! The merged sources of cache servers, shared by the parts of the node, and conversions between the server
//! list and the records of `mothpier-membership`, which holds the merging rules.

use std::cell::RefCell;
use std::rc::Rc;

use mothpier_membership::gossip::Gossip;
use mothpier_membership::{DnsTrust, Phase, ServerRecord, Settings, Sources};
use mothpier_names::ServiceView;

use crate::messages::{Member, ServerList};
use crate::{Mutation, mutation_active};

/// The sources of cache servers of one node. Times are in milliseconds.
#[derive(Clone)]
pub struct Membership(Rc<RefCell<Sources>>);

impl Membership {
    pub fn new(mut settings: Settings, seed: u64, now: u64) -> Self {
        if mutation_active(Mutation::StaleRecord) {
            settings.tombstone_ms = 0;
        }
        if let Some(gossip) = settings.gossip.as_mut().filter(|_| mutation_active(Mutation::EndlessRumour)) {
            gossip.sends = u32::MAX;
        }
        Membership(Rc::new(RefCell::new(Sources::new(settings, seed, now))))
    }

    /// Applies a server list, either complete or with changes only.
    pub fn list(&self, now: u64, list: ServerList) {
        let records = list.members.into_iter().map(to_record).collect();
        self.0.borrow_mut().update_list(now, list.complete, records);
    }

    /// Records that the server list cannot be reached.
    pub fn mark_list_unreachable(&self) {
        self.0.borrow_mut().mark_list_unreachable();
    }

    /// Applies the resolver's view of the service.
    pub fn apply_dns(&self, now: u64, view: &ServiceView) {
        let mut sources = self.0.borrow_mut();
        if view.trust == DnsTrust::Empty && mutation_active(Mutation::EmptyAnswer) {
            sources.update_list(now, true, Vec::new());
        }
        sources.update_dns(now, view.trust, &view.servers, view.pending == 0, view.answers);
    }

    /// Returns whether a message from another node is a gossip message.
    pub fn is_message(bytes: &[u8]) -> bool {
        Gossip::is_message(bytes)
    }

    /// Applies a gossip message from another node.
    pub fn receive(&self, now: u64, bytes: &[u8]) {
        self.0.borrow_mut().receive(now, bytes);
    }

    /// Returns the next gossip message to send, if one is due.
    pub fn next_message(&self, now: u64) -> Option<Vec<u8>> {
        self.0.borrow_mut().next_message(now)
    }

    /// Returns the latest time of the next look at the sources, if one is needed.
    pub fn next_due(&self, now: u64) -> Option<u64> {
        self.0.borrow().next_due(now)
    }

    /// Returns the changes of the merged view as a partial server list, and the ids that were replaced (old,
    /// new).
    pub fn changes(&self, now: u64) -> (ServerList, Vec<(String, String)>) {
        let changes = self.0.borrow_mut().changes(now);
        let members = changes.records.into_iter().map(to_member).collect();
        (ServerList { revision: 0, complete: false, members }, changes.renamed)
    }

    /// Describes the state of the sources, for people.
    pub fn text(&self) -> String {
        self.0.borrow().text()
    }
}

/// Converts a member of the server list to a record of the sources.
pub fn to_record(member: Member) -> ServerRecord {
    let phase = match member.phase.as_str() {
        "ready" => Phase::Ready,
        "draining" => Phase::Draining,
        _ => Phase::Gone,
    };
    ServerRecord {
        id: member.id,
        host_port: member.host_port,
        locality: member.locality,
        flavor: member.flavor,
        cell: member.cell,
        size: member.size,
        up_since_ms: member.up_since_ms,
        phase,
    }
}

/// Converts a record of the sources to a member of the server list.
pub fn to_member(record: ServerRecord) -> Member {
    Member {
        id: record.id,
        host_port: record.host_port,
        locality: record.locality,
        flavor: record.flavor,
        cell: record.cell,
        phase: record.phase.name().into(),
        size: record.size,
        up_since_ms: record.up_since_ms,
    }
}
