//! Reports of nodes: whole lists, and deltas based on the last accepted report.

use std::collections::BTreeSet;

use super::messages::{
    FleetRefusal, FleetResponse, Listed, NumberedReport, Report, ReportedServers, Subject,
};
use super::{Condition, Fleet, FleetResult, MAX_SERVERS, Node, Server, invalid};
use crate::limits::MAX_NAME_BYTES;

/// How a numbered report relates to the last accepted one.
enum Sequence {
    /// The report is to be applied.
    Next,
    /// The report was already applied.
    Repeated,
    /// The report is older than the last one, or is based on a different one.
    UnknownBase,
}

impl Fleet {
    /// Applies a report without a number, as sent by nodes before format 3, with the whole list if that has
    /// changed.
    pub(super) fn report(&mut self, session: &str, report: &Report) -> FleetResult {
        let name = self.node_of(session)?;
        if let Some(listed) = &report.servers {
            self.check_listed(listed)?;
            self.apply_whole_list(&name, listed);
            // The next report cannot be a delta based on this one.
            self.set_report(&name, 0);
        }
        self.set_readiness(&name, report.ready, report.refused_percent.min(100));
        Ok(FleetResponse::Done)
    }

    /// Applies a numbered report.
    pub(super) fn numbered_report(&mut self, session: &str, report: &NumberedReport) -> FleetResult {
        let name = self.node_of(session)?;
        let Some(node) = self.nodes.get(&name) else { return Err(FleetRefusal::NoNode) };
        if report.number == 0 {
            return Err(invalid("a node's reports are numbered from 1"));
        }
        match self.sequence(node, report) {
            Sequence::Next => {}
            Sequence::Repeated => return Ok(FleetResponse::Done),
            Sequence::UnknownBase => return Err(FleetRefusal::UnknownBase { last: node.report }),
        }
        match &report.servers {
            ReportedServers::Unknown | ReportedServers::Unchanged { .. } => {}
            ReportedServers::Whole { listed } => {
                self.check_listed(listed)?;
                self.apply_whole_list(&name, listed);
            }
            ReportedServers::Delta { listed, unlisted, .. } => {
                self.check_listed(listed)?;
                self.apply_delta(&name, listed, unlisted);
            }
        }
        self.set_report(&name, report.number);
        self.set_readiness(&name, report.ready, report.refused_percent.min(100));
        Ok(FleetResponse::Done)
    }

    fn sequence(&self, node: &Node, report: &NumberedReport) -> Sequence {
        if report.number == node.report && self.enforces(Condition::RepeatIgnored) {
            return Sequence::Repeated;
        }
        if report.number < node.report && self.enforces(Condition::DeltaBaseMatches) {
            return Sequence::UnknownBase;
        }
        let (ReportedServers::Delta { base, .. } | ReportedServers::Unchanged { base }) = &report.servers
        else {
            return Sequence::Next;
        };
        let based_on_last = node.lists && *base == node.report;
        let repeated = report.number == node.report;
        if based_on_last || repeated || !self.enforces(Condition::DeltaBaseMatches) {
            Sequence::Next
        } else {
            Sequence::UnknownBase
        }
    }

    fn set_report(&mut self, name: &str, number: u64) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.report = number;
        }
    }

    /// Checks whether the listed cache servers can be registered.
    fn check_listed(&self, listed: &[Listed]) -> Result<(), FleetRefusal> {
        let new = listed.iter().filter(|entry| !self.servers.contains_key(&entry.id)).count();
        if self.servers.len() + new > MAX_SERVERS {
            return Err(invalid("the fleet has as many cache servers as it may have"));
        }
        if listed.iter().any(|entry| {
            entry.id.is_empty() || entry.id.len() > MAX_NAME_BYTES || entry.zone.len() > MAX_NAME_BYTES
        }) {
            return Err(invalid("a cache server's id has 1 to 128 bytes, its zone at most 128"));
        }
        Ok(())
    }

    fn apply_whole_list(&mut self, name: &str, listed: &[Listed]) {
        self.register_listed(listed);
        let ready: BTreeSet<&str> = listed.iter().map(|entry| entry.id.as_str()).collect();
        let unlisted: BTreeSet<String> =
            self.servers.keys().filter(|id| !ready.contains(id.as_str())).cloned().collect();
        let Some(node) = self.nodes.get_mut(name) else { return };
        if node.lists {
            let affected: Vec<String> = node.unlisted.symmetric_difference(&unlisted).cloned().collect();
            for id in affected {
                self.set_listed(name, &id, !unlisted.contains(&id));
            }
        } else {
            (node.lists, node.unlisted) = (true, unlisted);
            self.count_list(name, true);
        }
        self.mark_list_current(name);
    }

    /// Applies a delta to the node's last list. Cache servers that were registered since then were not in
    /// that list.
    fn apply_delta(&mut self, name: &str, listed: &[Listed], unlisted: &[String]) {
        self.register_listed(listed);
        let since = self.nodes.get(name).map_or(0, |node| node.registered);
        let registered_later = self.index().registered.range(since + 1..).map(|(_, id)| id.clone());
        for id in registered_later.collect::<Vec<_>>() {
            self.set_listed(name, &id, false);
        }
        for entry in listed {
            self.set_listed(name, &entry.id, true);
        }
        for id in unlisted {
            if self.servers.contains_key(id) {
                self.set_listed(name, id, false);
            }
        }
        self.mark_list_current(name);
    }

    /// Records that the node's list covers all registered cache servers.
    fn mark_list_current(&mut self, name: &str) {
        let registered = self.registered;
        if let Some(node) = self.nodes.get_mut(name) {
            node.registered = registered;
        }
    }

    /// Registers new cache servers and records restarts found in a node's list.
    fn register_listed(&mut self, listed: &[Listed]) {
        // The first cache servers of a new fleet count as warm, later ones as cold.
        let fleet_has_servers = !self.servers.is_empty();
        for entry in listed {
            self.register_or_update(entry, fleet_has_servers);
        }
    }

    fn register_or_update(&mut self, entry: &Listed, fleet_has_servers: bool) {
        let start = self.numbers + 1;
        let known = self.servers.get_mut(&entry.id);
        let starts_cold =
            known.as_ref().map_or(fleet_has_servers, |server| entry.up_since_ms > server.up_since_ms);
        match known {
            Some(server) => {
                server.up_since_ms = server.up_since_ms.max(entry.up_since_ms);
                let cold = if starts_cold { Some(start) } else { server.cold };
                if server.zone != entry.zone || server.cold != cold {
                    server.zone.clone_from(&entry.zone);
                    self.set_cold(&entry.id, cold);
                }
            }
            None => self.register(entry, starts_cold.then_some(start)),
        }
        if starts_cold {
            self.numbers = start;
            self.log_event(Some(Subject::server(&entry.id)), "started, cold", None);
        }
    }

    /// Registers a new cache server.
    fn register(&mut self, entry: &Listed, cold: Option<u64>) {
        self.registered += 1;
        let server = Server {
            zone: entry.zone.clone(),
            up_since_ms: entry.up_since_ms,
            cold,
            registered: self.registered,
        };
        self.servers.insert(entry.id.clone(), server);
        self.index_server(&entry.id);
    }
}
