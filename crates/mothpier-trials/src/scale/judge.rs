//! Judges a run by what its far ends saw: sessions at the nodes, grants and halts in the history that a client read.
//! Pure.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use mothpier_coordination::Revision;
use mothpier_coordination::fleet::messages::{FleetChange, Kind, Stage, Subject};
use mothpier_coordination::fleet::{Fleet, Node};
use serde::{Deserialize, Serialize};

use super::shared::{Event, NodeEvent};

/// The fleet as a client read it once, reduced to what the rule on drains goes by.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// The last change that it holds.
    pub revision: Revision,
    /// Nodes without a drain that are dead or not ready.
    pub missing_nodes: BTreeSet<String>,
    /// Cache servers that at least half of the living nodes do not list.
    pub missing_servers: BTreeSet<String>,
    /// Nodes and cache servers that may be out.
    pub out_most: (usize, usize),
}

impl Reading {
    /// Takes from the fleet what counts, by a plain count of its own.
    pub fn of(revision: Revision, fleet: &Fleet) -> Reading {
        let serves = |node: &Node| node.session.is_some() && node.ready;
        let drained = |name: &str| fleet.drains.values().any(|d| d.subject == Subject::node(name));
        let missing_nodes = fleet.nodes.iter().filter(|(name, node)| !serves(node) && !drained(name));
        let telling: Vec<_> = fleet.nodes.values().filter(|n| n.session.is_some() && n.lists).collect();
        let mut unlisted: BTreeMap<&str, usize> = BTreeMap::new();
        for id in telling.iter().flat_map(|node| &node.unlisted) {
            *unlisted.entry(id).or_default() += 1;
        }
        let missing = unlisted.into_iter().filter(|(_, count)| 2 * count >= telling.len());
        Reading {
            revision,
            missing_nodes: missing_nodes.map(|(name, _)| name.clone()).collect(),
            missing_servers: missing.map(|(id, _)| id.to_owned()).collect(),
            out_most: (fleet.limits.nodes.out_most as usize, fleet.limits.servers.out_most as usize),
        }
    }

    fn missing(&self, kind: Kind) -> &BTreeSet<String> {
        match kind {
            Kind::Node => &self.missing_nodes,
            Kind::Server => &self.missing_servers,
        }
    }

    fn out_most(&self, kind: Kind) -> usize {
        match kind {
            Kind::Node => self.out_most.0,
            Kind::Server => self.out_most.1,
        }
    }
}

/// The region's cut.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// Nodes below this number are in the region.
    pub nodes: usize,
    /// When it began.
    pub from: Instant,
    /// When it was mended.
    pub to: Instant,
}

/// What was seen.
#[derive(Default)]
pub struct Evidence {
    /// At the nodes.
    pub events: Vec<Event>,
    /// The history of drains and halts, in order.
    pub changes: Vec<(Revision, FleetChange)>,
    /// Times at which the history may have left something out.
    pub gaps: usize,
    /// The fleet, read now and then.
    pub readings: Vec<Reading>,
    /// A cut.
    pub cut: Option<Cut>,
    /// Steps that did not come to their end in time, and processes that ended by themselves.
    pub unfinished: Vec<String>,
}

/// What was wrong; nothing in a good run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Sessions that ended although nobody was cut off.
    pub sessions_ended_by_load: Vec<String>,
    /// Halts by the fleet itself though not more were missing than the limits allow.
    pub halts_not_asked: Vec<String>,
    /// Drains that were granted above a limit.
    pub grants_above_limit: Vec<String>,
    /// What did not come to its end, and gaps in the history.
    pub unfinished: Vec<String>,
    /// Counts that are not those of the scenario.
    #[serde(default)]
    pub counts_off: Vec<String>,
}

/// Whether a session that was opened at that time may end for the cut's sake.
fn is_by_cut(cut: Option<&Cut>, event: &Event, opened: Instant) -> bool {
    cut.is_some_and(|cut| event.node < cut.nodes && opened < cut.to && event.at >= cut.from)
}

/// Sessions that nothing but load can have ended.
fn sessions(evidence: &Evidence) -> Vec<String> {
    let by_load = |event: &Event| match &event.what {
        NodeEvent::SessionLost { opened, why } if !is_by_cut(evidence.cut.as_ref(), event, *opened) => {
            Some(format!("node-{}: {why}", event.node))
        }
        _ => None,
    };
    evidence.events.iter().filter_map(by_load).collect()
}

/// What was missing for certain at a change: before it and after it.
fn missing_at(evidence: &Evidence, revision: Revision, kind: Kind) -> (BTreeSet<String>, Option<usize>) {
    let before = evidence.readings.iter().rfind(|r| r.revision < revision);
    let after = evidence.readings.iter().find(|r| r.revision >= revision);
    let most = before.map(|r| r.out_most(kind));
    let both = match (before, after) {
        (Some(b), Some(a)) => b.missing(kind).intersection(a.missing(kind)).cloned().collect(),
        _ => BTreeSet::new(),
    };
    (both, most)
}

/// Grants after which more were out than a limit allows.
fn grants(evidence: &Evidence) -> Vec<String> {
    let mut out: BTreeMap<u64, Subject> = BTreeMap::new();
    let mut wrong = Vec::new();
    for (revision, change) in &evidence.changes {
        match change {
            FleetChange::Ended { drain } => drop(out.remove(drain)),
            FleetChange::Halted { .. } => {}
            FleetChange::Drain { told } => {
                let is_new = out.insert(told.drain, told.subject.clone()).is_none();
                if !is_new || told.stage != Stage::Leaving {
                    continue;
                }
                let kind = told.subject.kind;
                let (mut all, most) = missing_at(evidence, *revision, kind);
                all.extend(out.values().filter(|s| s.kind == kind).map(|s| s.id.clone()));
                if let Some(most) = most.filter(|most| all.len() > *most) {
                    wrong.push(format!(
                        "revision {revision}: {} is the {}th out of {most} {}",
                        told.subject,
                        all.len(),
                        kind.names()
                    ));
                }
            }
        }
    }
    wrong
}

/// Halts where no reading shows more missing than the limits allow.
fn halts(evidence: &Evidence) -> Vec<String> {
    let asked = evidence.readings.iter().any(|r| {
        r.missing_nodes.len() > r.out_most(Kind::Node) || r.missing_servers.len() > r.out_most(Kind::Server)
    });
    let halts = evidence.changes.iter().filter(|(_, c)| *c == FleetChange::Halted { halted: true });
    halts.filter(|_| !asked).map(|(revision, _)| format!("revision {revision}")).collect()
}

/// Judges a run.
pub fn judge(evidence: &Evidence) -> Verdict {
    let mut unfinished = evidence.unfinished.clone();
    if evidence.gaps > 0 {
        unfinished.push(format!("the history was read with {} gaps", evidence.gaps));
    }
    Verdict {
        sessions_ended_by_load: sessions(evidence),
        halts_not_asked: halts(evidence),
        grants_above_limit: grants(evidence),
        unfinished,
        counts_off: Vec::new(),
    }
}

#[cfg(test)]
mod tests;
