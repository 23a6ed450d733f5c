//! Reports of a node: first the whole list of ready cache servers, then only changes, and the whole list
//! again if the coordinators do not have the base of a delta. Pure code; the caller sends the reports and
//! passes in the responses.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::messages::{Listed, NumberedReport, ReportedServers};

/// The cache servers that a node lists as ready, by id. Shared, because many nodes of one process may have
/// the same list.
pub type ReadyList = Arc<BTreeMap<String, Listed>>;

/// Creates a list of ready cache servers, by id.
pub fn ready_list(listed: impl IntoIterator<Item = Listed>) -> ReadyList {
    Arc::new(listed.into_iter().map(|line| (line.id.clone(), line)).collect())
}

/// The contents of a report.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct View {
    ready: bool,
    refused_percent: u8,
    /// `None` until the node has a list.
    servers: Option<List>,
}

/// A list of ready cache servers and its version on this node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct List {
    version: u64,
    servers: ReadyList,
}

/// A report that was created, and its contents.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Made {
    report: NumberedReport,
    view: View,
}

/// Creates the reports of one session of a node, one at a time.
///
/// ```
/// use mothpier_coordination::fleet::messages::{Listed, ReportedServers};
/// use mothpier_coordination::fleet::reporter::{Reporter, ready_list};
///
/// let line = |id: &str| Listed { id: id.into(), zone: "a".into(), up_since_ms: 1 };
/// let mut reporter = Reporter::default();
/// reporter.set_servers(ready_list([line("s1"), line("s2")]));
/// let first = reporter.next(true, 0).expect("a first report");
/// assert!(matches!(first.servers, ReportedServers::Whole { .. }));
/// reporter.accepted(first.number);
/// assert_eq!(reporter.next(true, 0), None, "nothing has changed");
/// reporter.set_servers(ready_list([line("s2")]));
/// let second = reporter.next(true, 0).expect("a change");
/// assert!(matches!(second.servers, ReportedServers::Delta { base: 1, .. }));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Reporter {
    servers: Option<List>,
    /// The number of the last report that was created.
    number: u64,
    /// The number and contents of the last accepted report. `None` if the next report must contain the whole
    /// list.
    accepted: Option<(u64, View)>,
    /// The report that awaits its response.
    pending: Option<Made>,
    /// The contents that the coordinators rejected last. They are not sent again until they change.
    rejected: Option<View>,
}

impl Reporter {
    /// Sets a new list of ready cache servers. It is reported even if it equals the previous one, because it
    /// also states that no other cache servers are listed.
    pub fn set_servers(&mut self, servers: ReadyList) {
        let version = self.servers.as_ref().map_or(1, |list| list.version + 1);
        self.servers = Some(List { version, servers });
    }

    /// Returns the report to send now: the one in flight until it is answered, then the next one. Returns
    /// `None` if nothing has changed.
    pub fn next(&mut self, ready: bool, refused_percent: u8) -> Option<NumberedReport> {
        if let Some(pending) = &self.pending {
            return Some(pending.report.clone());
        }
        let view = View { ready, refused_percent, servers: self.servers.clone() };
        let known = self.accepted.as_ref().map(|(_, view)| view);
        if known == Some(&view) || self.rejected.as_ref() == Some(&view) {
            return None;
        }
        self.number += 1;
        let servers = self.reported_servers(&view);
        let report = NumberedReport { number: self.number, ready, refused_percent, servers };
        self.pending = Some(Made { report: report.clone(), view });
        Some(report)
    }

    fn reported_servers(&self, view: &View) -> ReportedServers {
        let Some(now) = &view.servers else { return ReportedServers::Unknown };
        match &self.accepted {
            Some((base, View { servers: Some(before), .. })) if before.version == now.version => {
                ReportedServers::Unchanged { base: *base }
            }
            Some((base, View { servers: Some(before), .. })) => delta(*base, &before.servers, &now.servers),
            _ => ReportedServers::Whole { listed: now.servers.values().cloned().collect() },
        }
    }

    fn answered(&mut self, number: u64) -> Option<Made> {
        self.pending.take_if(|made| made.report.number == number)
    }

    /// Records that the coordinators accepted the report with this number.
    pub fn accepted(&mut self, number: u64) {
        if let Some(made) = self.answered(number) {
            self.accepted = Some((number, made.view));
            self.rejected = None;
        }
    }

    /// Records that the coordinators do not have the base of this report; `last` is the last report that
    /// they accepted.
    pub fn base_unknown(&mut self, number: u64, last: u64) {
        if self.answered(number).is_some() {
            self.accepted = None;
            self.number = self.number.max(last);
        }
    }

    /// Records that the coordinators rejected the contents of the report with this number.
    pub fn rejected(&mut self, number: u64) {
        if let Some(made) = self.answered(number) {
            self.rejected = Some(made.view);
        }
    }
}

fn delta(base: u64, before: &ReadyList, now: &ReadyList) -> ReportedServers {
    let changed = now.values().filter(|line| before.get(&line.id) != Some(line));
    let gone = before.keys().filter(|id| !now.contains_key(*id));
    ReportedServers::Delta { base, listed: changed.cloned().collect(), unlisted: gone.cloned().collect() }
}

#[cfg(test)]
mod tests;
