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
    Arc::new(listed.into_iter().map(|entry| (entry.id.clone(), entry)).collect())
}

/// The contents of a report.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ReportContents {
    ready: bool,
    refused_percent: u8,
    /// `None` until the node has a list.
    servers: Option<VersionedList>,
}

/// A list of ready cache servers and its version on this node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct VersionedList {
    version: u64,
    servers: ReadyList,
}

/// A report that was created, and its contents.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InFlightReport {
    report: NumberedReport,
    contents: ReportContents,
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
    servers: Option<VersionedList>,
    /// The number of the last report that was created.
    number: u64,
    /// The number and contents of the last accepted report. `None` if the next report must contain the whole
    /// list.
    accepted: Option<(u64, ReportContents)>,
    /// The report that awaits its response.
    pending: Option<InFlightReport>,
    /// The contents that the coordinators rejected last. They are not sent again until they change.
    rejected: Option<ReportContents>,
}

impl Reporter {
    /// Sets a new list of ready cache servers. It is reported even if it equals the previous one, because it
    /// also states that no other cache servers are listed.
    pub fn set_servers(&mut self, servers: ReadyList) {
        let version = self.servers.as_ref().map_or(1, |list| list.version + 1);
        self.servers = Some(VersionedList { version, servers });
    }

    /// Returns the report to send now: the one in flight until it is answered, then the next one. Returns
    /// `None` if nothing has changed.
    pub fn next(&mut self, ready: bool, refused_percent: u8) -> Option<NumberedReport> {
        if let Some(pending) = &self.pending {
            return Some(pending.report.clone());
        }
        let contents = ReportContents { ready, refused_percent, servers: self.servers.clone() };
        let known = self.accepted.as_ref().map(|(_, contents)| contents);
        if known == Some(&contents) || self.rejected.as_ref() == Some(&contents) {
            return None;
        }
        self.number += 1;
        let servers = self.reported_servers(&contents);
        let report = NumberedReport { number: self.number, ready, refused_percent, servers };
        self.pending = Some(InFlightReport { report: report.clone(), contents });
        Some(report)
    }

    fn reported_servers(&self, contents: &ReportContents) -> ReportedServers {
        let Some(current) = &contents.servers else { return ReportedServers::Unknown };
        match &self.accepted {
            Some((base, ReportContents { servers: Some(previous), .. }))
                if previous.version == current.version =>
            {
                ReportedServers::Unchanged { base: *base }
            }
            Some((base, ReportContents { servers: Some(previous), .. })) => {
                delta(*base, &previous.servers, &current.servers)
            }
            _ => ReportedServers::Whole { listed: current.servers.values().cloned().collect() },
        }
    }

    fn take_pending(&mut self, number: u64) -> Option<InFlightReport> {
        self.pending.take_if(|in_flight| in_flight.report.number == number)
    }

    /// Records that the coordinators accepted the report with this number.
    pub fn accepted(&mut self, number: u64) {
        if let Some(in_flight) = self.take_pending(number) {
            self.accepted = Some((number, in_flight.contents));
            self.rejected = None;
        }
    }

    /// Records that the coordinators do not have the base of this report; `last` is the last report that
    /// they accepted.
    pub fn base_unknown(&mut self, number: u64, last: u64) {
        if self.take_pending(number).is_some() {
            self.accepted = None;
            self.number = self.number.max(last);
        }
    }

    /// Records that the coordinators rejected the contents of the report with this number.
    pub fn rejected(&mut self, number: u64) {
        if let Some(in_flight) = self.take_pending(number) {
            self.rejected = Some(in_flight.contents);
        }
    }
}

fn delta(base: u64, previous: &ReadyList, current: &ReadyList) -> ReportedServers {
    let changed = current.values().filter(|entry| previous.get(&entry.id) != Some(entry));
    let gone = previous.keys().filter(|id| !current.contains_key(*id));
    ReportedServers::Delta { base, listed: changed.cloned().collect(), unlisted: gone.cloned().collect() }
}

#[cfg(test)]
mod tests;
