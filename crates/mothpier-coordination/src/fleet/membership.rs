//! Joining, losing and forgetting nodes, and forgetting cache servers.

use std::collections::BTreeSet;

use super::messages::{AuditNote, FleetChange, FleetRefusal, FleetResponse, Kind, Subject};
use super::{Fleet, FleetResult, MAX_NODES, Node, invalid};
use crate::limits::is_name;

impl Fleet {
    /// Registers the process of a session as a node, replacing any earlier process of that name.
    pub(super) fn join(&mut self, session: &str, name: &str, zone: &str) -> FleetResult {
        if !is_name(name) || !(zone.is_empty() || is_name(zone)) {
            return Err(invalid("a node's name and zone take letters, digits and -_.:@/"));
        }
        if let Ok(own) = self.node_of(session) {
            return if own == name {
                Ok(FleetResponse::Done)
            } else {
                Err(invalid("this session is another node's"))
            };
        }
        if !self.nodes.contains_key(name) && self.nodes.len() >= MAX_NODES {
            return Err(invalid("the fleet has as many nodes as it may have"));
        }
        let node = Node {
            zone: zone.into(),
            session: Some(session.into()),
            ready: false,
            refused_percent: 0,
            lists: false,
            unlisted: BTreeSet::new(),
            report: 0,
            registered: 0,
        };
        self.unindex_node(name);
        self.nodes.insert(name.into(), node);
        // The new process may not have put into effect what the previous one confirmed.
        for drain in self.drains.values_mut() {
            drain.confirmed.remove(name);
        }
        self.index_node(name);
        self.update_status(&Subject::node(name));
        Ok(FleetResponse::Done)
    }

    /// Returns the node whose process has this session.
    pub(super) fn node_of(&self, session: &str) -> Result<String, FleetRefusal> {
        self.index().sessions.get(session).cloned().ok_or(FleetRefusal::NoNode)
    }

    /// Records that a session has ended.
    pub fn session_ended(&mut self, session: &str, changes: &mut Vec<FleetChange>) {
        let Ok(name) = self.node_of(session) else { return };
        self.unindex_node(&name);
        if let Some(node) = self.nodes.get_mut(&name) {
            (node.session, node.ready) = (None, false);
        }
        self.index_node(&name);
        self.update_status(&Subject::node(&name));
        self.apply_consequences(changes);
        self.check_index();
    }

    /// Whether the node or cache server belongs to the fleet.
    pub(super) fn contains(&self, subject: &Subject) -> bool {
        match subject.kind {
            Kind::Node => self.nodes.contains_key(&subject.id),
            Kind::Server => self.servers.contains_key(&subject.id),
        }
    }

    /// Removes a node that is gone, or a cache server that nobody lists, from the fleet.
    pub(super) fn forget(
        &mut self,
        subject: &Subject,
        note: &AuditNote,
        changes: &mut Vec<FleetChange>,
    ) -> FleetResult {
        if !self.contains(subject) {
            return Err(FleetRefusal::Unknown { subject: subject.clone() });
        }
        let lives = match subject.kind {
            Kind::Node => self.nodes.get(&subject.id).is_some_and(|node| node.session.is_some()),
            Kind::Server => self.index().listings.is_listed(&subject.id),
        };
        if lives {
            return Err(FleetRefusal::Lives);
        }
        match subject.kind {
            Kind::Node => self.forget_node(&subject.id),
            Kind::Server => self.forget_server(&subject.id),
        }
        self.log_event(Some(subject.clone()), "forgotten", Some(note.clone()));
        if let Some((number, _)) = self.drain_of(subject) {
            self.remove_drain(number, changes);
        }
        Ok(FleetResponse::Done)
    }

    fn forget_node(&mut self, name: &str) {
        self.unindex_node(name);
        self.nodes.remove(name);
        self.update_status(&Subject::node(name));
    }

    fn forget_server(&mut self, id: &str) {
        let Some(server) = self.servers.remove(id) else { return };
        for node in self.nodes.values_mut() {
            node.unlisted.remove(id);
        }
        self.unindex_server(id, server.registered);
    }
}
