//! A node's reports: the whole list of ready cache servers first, then only what changed, and the whole list again where
//! the coordinators do not have the report that a delta builds on. Pure; whoever drives it sends and hands in the answers.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::messages::{Listed, NumberedReport, ReportedServers};

/// The cache servers that a node lists as ready, by id. Shared: many nodes of one process may hold the same list.
pub type ReadyList = Arc<BTreeMap<String, Listed>>;

/// A list of ready cache servers, by id.
pub fn ready_list(listed: impl IntoIterator<Item = Listed>) -> ReadyList {
    Arc::new(listed.into_iter().map(|line| (line.id.clone(), line)).collect())
}

/// What a report tells.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct View {
    ready: bool,
    refused_percent: u8,
    /// `None` until the node has a list.
    servers: Option<List>,
}

/// A list, and the how manieth of the node it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct List {
    version: u64,
    servers: ReadyList,
}

/// A report that was made, and what it tells.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Made {
    report: NumberedReport,
    view: View,
}

/// Makes the reports of one session of a node, one at a time.
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
    /// The number of the last report that was made.
    number: u64,
    /// The last report that the coordinators took: its number, and what it told. `None` where the next one is whole.
    accepted: Option<(u64, View)>,
    /// The report that is under way.
    pending: Option<Made>,
    /// What the coordinators refused last: it is not told again before it changes.
    rejected: Option<View>,
}

impl Reporter {
    /// The node has a new list, and lists these as ready from now on. It is reported even where the same ones are ready: the
    /// node says anew that it lists no others.
    pub fn set_servers(&mut self, servers: ReadyList) {
        let version = self.servers.as_ref().map_or(1, |list| list.version + 1);
        self.servers = Some(List { version, servers });
    }

    /// The report that is to be sent now: the one under way until it is answered, then the next; `None` where nothing has
    /// changed.
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

    /// The coordinators took the report with this number.
    pub fn accepted(&mut self, number: u64) {
        if let Some(made) = self.answered(number) {
            self.accepted = Some((number, made.view));
            self.rejected = None;
        }
    }

    /// The coordinators do not have the base of the report with this number; the last that they took is `last`.
    pub fn base_unknown(&mut self, number: u64, last: u64) {
        if self.answered(number).is_some() {
            self.accepted = None;
            self.number = self.number.max(last);
        }
    }

    /// The coordinators refuse the report with this number for what it tells.
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
