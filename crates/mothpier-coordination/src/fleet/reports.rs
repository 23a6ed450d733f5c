//! Reports of nodes: whole lists, and deltas based on the last accepted report.

use std::collections::BTreeSet;

use super::messages::{
    FleetRefusal, FleetResponse, Listed, NumberedReport, Report, ReportedServers, Subject,
};
use super::{Answered, Condition, Fleet, Node, SERVERS, Server, bad};
use crate::limits::NAME;

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
    pub(super) fn report(&mut self, session: &str, report: &Report) -> Answered {
        let name = self.node_of(session)?;
        if let Some(listed) = &report.servers {
            self.check_listed(listed)?;
            self.take_whole_list(&name, listed);
            // The next report cannot be a delta based on this one.
            self.set_report(&name, 0);
        }
        self.set_readiness(&name, report.ready, report.refused_percent.min(100));
        Ok(FleetResponse::Done)
    }

    /// Applies a numbered report.
    pub(super) fn numbered_report(&mut self, session: &str, report: &NumberedReport) -> Answered {
        let name = self.node_of(session)?;
        let Some(node) = self.nodes.get(&name) else { return Err(FleetRefusal::NoNode) };
        if report.number == 0 {
            return Err(bad("a node's reports are numbered from 1"));
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
                self.take_whole_list(&name, listed);
            }
            ReportedServers::Delta { listed, unlisted, .. } => {
                self.check_listed(listed)?;
                self.take_delta(&name, listed, unlisted);
            }
        }
        self.set_report(&name, report.number);
        self.set_readiness(&name, report.ready, report.refused_percent.min(100));
        Ok(FleetResponse::Done)
    }

    fn sequence(&self, node: &Node, report: &NumberedReport) -> Sequence {
        if report.number == node.report && self.holds(Condition::ReportOnce) {
            return Sequence::Repeated;
        }
        if report.number < node.report && self.holds(Condition::BaseMatches) {
            return Sequence::UnknownBase;
        }
        let (ReportedServers::Delta { base, .. } | ReportedServers::Unchanged { base }) = &report.servers
        else {
            return Sequence::Next;
        };
        let builds_on_last = node.lists && *base == node.report;
        let repeated = report.number == node.report;
        if builds_on_last || repeated || !self.holds(Condition::BaseMatches) {
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
        let new = listed.iter().filter(|line| !self.servers.contains_key(&line.id)).count();
        if self.servers.len() + new > SERVERS {
            return Err(bad("the fleet has as many cache servers as it may have"));
        }
        if listed.iter().any(|line| line.id.is_empty() || line.id.len() > NAME || line.zone.len() > NAME) {
            return Err(bad("a cache server's id has 1 to 128 bytes, its zone at most 128"));
        }
        Ok(())
    }

    fn take_whole_list(&mut self, name: &str, listed: &[Listed]) {
        self.take_lines(listed);
        let ready: BTreeSet<&str> = listed.iter().map(|line| line.id.as_str()).collect();
        let unlisted: BTreeSet<String> =
            self.servers.keys().filter(|id| !ready.contains(id.as_str())).cloned().collect();
        let Some(node) = self.nodes.get_mut(name) else { return };
        if node.lists {
            let moved: Vec<String> = node.unlisted.symmetric_difference(&unlisted).cloned().collect();
            for id in moved {
                self.set_listed(name, &id, !unlisted.contains(&id));
            }
        } else {
            (node.lists, node.unlisted) = (true, unlisted);
            self.count_list(name, true);
        }
        self.has_told_all_known(name);
    }

    /// Applies a delta to the node's last list. Cache servers that were registered since then were not in
    /// that list.
    fn take_delta(&mut self, name: &str, listed: &[Listed], unlisted: &[String]) {
        self.take_lines(listed);
        let since = self.nodes.get(name).map_or(0, |node| node.registered);
        let later = self.index().registered.range(since + 1..).map(|(_, id)| id.clone());
        for id in later.collect::<Vec<_>>() {
            self.set_listed(name, &id, false);
        }
        for line in listed {
            self.set_listed(name, &line.id, true);
        }
        for id in unlisted {
            if self.servers.contains_key(id) {
                self.set_listed(name, id, false);
            }
        }
        self.has_told_all_known(name);
    }

    /// Records that the node's list covers all registered cache servers.
    fn has_told_all_known(&mut self, name: &str) {
        let registered = self.registered;
        if let Some(node) = self.nodes.get_mut(name) {
            node.registered = registered;
        }
    }

    /// Registers new cache servers and records restarts found in a node's list.
    fn take_lines(&mut self, listed: &[Listed]) {
        // The first cache servers of a new fleet count as warm, later ones as cold.
        let founded = !self.servers.is_empty();
        for line in listed {
            self.take_line(line, founded);
        }
    }

    fn take_line(&mut self, line: &Listed, founded: bool) {
        let start = self.numbers + 1;
        let known = self.servers.get_mut(&line.id);
        let starts = known.as_ref().map_or(founded, |server| line.up_since_ms > server.up_since_ms);
        match known {
            Some(server) => {
                server.up_since_ms = server.up_since_ms.max(line.up_since_ms);
                let cold = if starts { Some(start) } else { server.cold };
                if server.zone != line.zone || server.cold != cold {
                    server.zone.clone_from(&line.zone);
                    self.set_cold(&line.id, cold);
                }
            }
            None => self.register(line, starts.then_some(start)),
        }
        if starts {
            self.numbers = start;
            self.happened(Some(Subject::server(&line.id)), "started, cold", None);
        }
    }

    /// Registers a new cache server.
    fn register(&mut self, line: &Listed, cold: Option<u64>) {
        self.registered += 1;
        let server = Server {
            zone: line.zone.clone(),
            up_since_ms: line.up_since_ms,
            cold,
            registered: self.registered,
        };
        self.servers.insert(line.id.clone(), server);
        self.server_into_index(&line.id);
    }
}
