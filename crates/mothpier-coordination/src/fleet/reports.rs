//! Reports of nodes: whole lists, and deltas that build on the last report that was taken.

use std::collections::BTreeSet;

use super::ask::{FleetAnswer, FleetRefusal, Listed, NumberedReport, Report, ReportedServers, Subject};
use super::{Answered, Condition, Fleet, Node, SERVERS, Server, bad};
use crate::limits::NAME;

/// How a numbered report stands to those that were taken.
enum Sequence {
    /// It is to be taken.
    Next,
    /// It was taken already.
    Repeated,
    /// It is older than the last one, or builds on another one.
    UnknownBase,
}

impl Fleet {
    /// A report without a number: of a node before format 3, always with its whole list where that has changed.
    pub(super) fn report(&mut self, session: &str, report: &Report) -> Answered {
        let name = self.node_of(session)?;
        if let Some(listed) = &report.servers {
            self.check_listed(listed)?;
            self.take_whole_list(&name, listed);
            // A delta can't build on this one.
            self.set_report(&name, 0);
        }
        self.set_readiness(&name, report.ready, report.refused_percent);
        Ok(FleetAnswer::Done)
    }

    /// A report with a number.
    pub(super) fn numbered_report(&mut self, session: &str, report: &NumberedReport) -> Answered {
        let name = self.node_of(session)?;
        let Some(node) = self.nodes.get(&name) else { return Err(FleetRefusal::NoNode) };
        if report.number == 0 {
            return Err(bad("a node's reports are numbered from 1"));
        }
        match self.sequence(node, report) {
            Sequence::Next => {}
            Sequence::Repeated => return Ok(FleetAnswer::Done),
            Sequence::UnknownBase => return Err(FleetRefusal::UnknownBase { last: node.report }),
        }
        match &report.servers {
            ReportedServers::Unknown => {}
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
        self.set_readiness(&name, report.ready, report.refused_percent);
        Ok(FleetAnswer::Done)
    }

    fn sequence(&self, node: &Node, report: &NumberedReport) -> Sequence {
        if report.number == node.report && self.holds(Condition::ReportOnce) {
            return Sequence::Repeated;
        }
        if report.number < node.report && self.holds(Condition::BaseMatches) {
            return Sequence::UnknownBase;
        }
        let ReportedServers::Delta { base, .. } = &report.servers else { return Sequence::Next };
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

    fn set_readiness(&mut self, name: &str, ready: bool, refused_percent: u8) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.ready = ready;
            node.refused_percent = refused_percent.min(100);
        }
    }

    /// Whether these lines can be taken.
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
        let unlisted = self.servers.keys().filter(|id| !ready.contains(id.as_str())).cloned().collect();
        if let Some(node) = self.nodes.get_mut(name) {
            node.lists = true;
            node.unlisted = unlisted;
            node.registered = self.registered;
        }
    }

    /// Makes of the node's last list the one that it has now. What became known since then was not in the last one.
    fn take_delta(&mut self, name: &str, listed: &[Listed], unlisted: &[String]) {
        self.take_lines(listed);
        let Some(node) = self.nodes.get_mut(name) else { return };
        let since = node.registered;
        let registered_since = self.servers.iter().filter(|(_, server)| server.registered > since);
        node.unlisted.extend(registered_since.map(|(id, _)| id.clone()));
        for line in listed {
            node.unlisted.remove(&line.id);
        }
        let known = unlisted.iter().filter(|id| self.servers.contains_key(*id));
        node.unlisted.extend(known.cloned());
        node.registered = self.registered;
    }

    /// Cache servers that are new, or have started anew, by lines of a node's list.
    fn take_lines(&mut self, listed: &[Listed]) {
        // A fleet that begins is warm; whoever comes later is not.
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
                server.zone.clone_from(&line.zone);
                server.up_since_ms = server.up_since_ms.max(line.up_since_ms);
                server.cold = if starts { Some(start) } else { server.cold };
            }
            None => self.register(line, starts.then_some(start)),
        }
        if starts {
            self.numbers = start;
            self.happened(Some(Subject::server(&line.id)), "started, cold", None);
        }
    }

    fn register(&mut self, line: &Listed, cold: Option<u64>) {
        self.registered += 1;
        let server = Server {
            zone: line.zone.clone(),
            up_since_ms: line.up_since_ms,
            cold,
            registered: self.registered,
        };
        self.servers.insert(line.id.clone(), server);
    }
}
