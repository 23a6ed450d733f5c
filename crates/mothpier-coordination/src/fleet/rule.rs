//! The drain rules: what counts as out, and whether the limits allow another drain.

use std::collections::{BTreeMap, BTreeSet};

use super::index::{Index, MemberStatus};
use super::limits::Bound;
use super::messages::{Blocked, Kind, Stage, Subject};
use super::{Condition, Drain, Fleet, MAX_NAMED_SUBJECTS, Node};

impl Fleet {
    /// Whether the subject of a drain counts as out.
    fn counts_as_out(&self, drain: &Drain) -> bool {
        match drain.stage {
            Stage::Asked => false,
            Stage::Cold => self.enforces(Condition::ColdCountsAsOut),
            Stage::Leaving | Stage::Out | Stage::Returning => true,
        }
    }

    /// Returns the status of a node or cache server, from an index with up-to-date sessions, listings and
    /// drains.
    pub(super) fn status(&self, subject: &Subject, index: &Index) -> Option<MemberStatus> {
        let missing_count_as_out = self.enforces(Condition::MissingCountAsOut);
        let (zone, missing, cold) = match subject.kind {
            Kind::Node => {
                let node = self.nodes.get(&subject.id)?;
                (&node.zone, !node.is_serving(), false)
            }
            Kind::Server => {
                let server = self.servers.get(&subject.id)?;
                let cold = server.cold.is_some() && self.enforces(Condition::ColdCountsAsOut);
                (&server.zone, index.listings.is_missing(&subject.id), cold)
            }
        };
        let drain = index.drains.get(subject).and_then(|number| self.drains.get(number));
        let granted = drain.is_some_and(|drain| drain.stage != Stage::Asked);
        let drained = drain.is_some_and(|drain| self.counts_as_out(drain));
        Some(MemberStatus {
            zone: zone.clone(),
            out: drained || missing_count_as_out && (missing || cold),
            unplanned: missing_count_as_out && missing && !granted,
        })
    }

    /// Returns why a subject that is out is out.
    fn out_reason(&self, subject: &Subject) -> String {
        let drain = self.drain_of(subject).filter(|(_, drain)| self.counts_as_out(drain));
        if let Some((number, drain)) = drain {
            return format!("drain {number}, {}", drain.stage.name());
        }
        let node = self.nodes.get(&subject.id);
        let reason = match subject.kind {
            Kind::Node if node.is_some_and(|node| node.session.is_some()) => "not ready",
            Kind::Server if !self.index().listings.is_missing(&subject.id) => "cold",
            Kind::Node | Kind::Server => "missing",
        };
        reason.into()
    }

    /// Returns all nodes or all cache servers that are out, and why.
    pub fn out(&self, kind: Kind) -> BTreeMap<&str, String> {
        let out = self.index().of(kind).out().iter();
        out.map(|id| (id.as_str(), self.out_reason(&Subject { kind, id: id.clone() }))).collect()
    }

    /// Returns the limits for nodes or for cache servers.
    pub(super) fn bound(&self, kind: Kind) -> &Bound {
        match kind {
            Kind::Node => &self.limits.nodes,
            Kind::Server => &self.limits.servers,
        }
    }

    fn total(&self, kind: Kind) -> usize {
        match kind {
            Kind::Node => self.nodes.len(),
            Kind::Server => self.servers.len(),
        }
    }

    fn zone(&self, subject: &Subject) -> &str {
        match subject.kind {
            Kind::Node => self.nodes.get(&subject.id).map_or("", |node| &node.zone),
            Kind::Server => self.servers.get(&subject.id).map_or("", |server| &server.zone),
        }
    }

    /// Whether as many are out as the limits allow.
    pub(super) fn is_limit_reached(&self, kind: Kind) -> bool {
        self.index().of(kind).out().len() >= self.bound(kind).out_most as usize
    }

    /// Whether a subject is out, with or without a drain.
    pub(super) fn is_out(&self, subject: &Subject) -> bool {
        self.index().of(subject.kind).out().contains(&subject.id)
    }

    /// Returns the limit that does not allow another drain now, if any.
    pub fn blocking_limit(&self, subject: &Subject) -> Option<Blocked> {
        let bound = self.bound(subject.kind);
        let statuses = self.index().of(subject.kind);
        let zone = self.zone(subject);
        let none = BTreeSet::new();
        // The subject itself counts as one more, whether it serves or not, because the drain of a missing
        // one keeps it out when it comes back.
        let others = |out: &BTreeSet<String>| out.len() - usize::from(out.contains(&subject.id));
        let (all, of_zone) = (statuses.out(), statuses.out_of_zone(zone).unwrap_or(&none));
        let (out, zone_out) = (others(all), others(of_zone));
        let (total, zone_total) = (self.total(subject.kind), statuses.total_of_zone(zone));
        let percent_of_total = |percent: u32| total * percent as usize / 100;
        if out >= bound.out_most as usize {
            return Some(self.blocked(subject, "out_most", bound.out_most, all));
        }
        if let Some(percent) = bound.out_percent.filter(|percent| out >= percent_of_total(*percent)) {
            return Some(self.blocked(subject, "out_percent", percent, all));
        }
        if let Some(most) = bound.zone_out_most.filter(|most| zone_out >= *most as usize) {
            return Some(self.blocked(subject, "zone_out_most", most, of_zone));
        }
        if total - out <= bound.ready_fewest as usize {
            return Some(self.blocked(subject, "ready_fewest", bound.ready_fewest, all));
        }
        if zone_total - zone_out <= bound.zone_ready_fewest as usize {
            return Some(self.blocked(subject, "zone_ready_fewest", bound.zone_ready_fewest, of_zone));
        }
        None
    }

    /// Describes a limit that is used up and the first few others that count against it.
    fn blocked(&self, subject: &Subject, limit: &str, most: u32, out: &BTreeSet<String>) -> Blocked {
        let kind = subject.kind;
        let prefix = match kind {
            Kind::Node => "nodes",
            Kind::Server => "servers",
        };
        let others = out.iter().filter(|id| **id != subject.id);
        let named = others.take(MAX_NAMED_SUBJECTS).map(|id| Subject { kind, id: id.clone() });
        Blocked {
            limit: format!("{prefix}.{limit}"),
            most: most.into(),
            by: named.map(|other| format!("{} ({})", other.id, self.out_reason(&other))).collect(),
            count: (out.len() - usize::from(out.contains(&subject.id))) as u64,
        }
    }

    /// Returns the nodes whose confirmation a drain still needs.
    pub fn awaited_nodes(&self, drain: &Drain) -> Vec<String> {
        if drain.subject.kind == Kind::Node {
            let own = drain.subject.id.clone();
            return if drain.confirmed.contains(&own) { Vec::new() } else { vec![own] };
        }
        let counts = |node: &Node| node.session.is_some() || self.enforces(Condition::MissingNodesConfirm);
        let awaited =
            self.nodes.iter().filter(|(name, node)| counts(node) && !drain.confirmed.contains(*name));
        awaited.map(|(name, _)| name.clone()).collect()
    }

    /// Whether no confirmation is missing for a drain to be out.
    pub(super) fn departure_confirmed(&self, number: u64, drain: &Drain) -> bool {
        if drain.subject.kind == Kind::Node {
            return drain.confirmed.contains(&drain.subject.id);
        }
        let awaited = self.index().awaited.get(&number).copied().unwrap_or_default();
        awaited.live == 0 && (awaited.missing == 0 || !self.enforces(Condition::MissingNodesConfirm))
    }

    /// Whether the subject of a returning drain is back: a node serves, or all live nodes know that a cache
    /// server may be used.
    pub(super) fn return_confirmed(&self, number: u64, drain: &Drain) -> bool {
        match drain.subject.kind {
            Kind::Node => {
                let serves = self.nodes.get(&drain.subject.id).is_some_and(Node::is_serving);
                serves && drain.confirmed.contains(&drain.subject.id)
            }
            Kind::Server => self.index().awaited.get(&number).is_some_and(|awaited| awaited.live == 0),
        }
    }
}
