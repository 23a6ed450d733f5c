//! Incremental indexes for the drain rules: the node of each session, how many nodes do not list a cache
//! server, what is out in each zone, and the confirmations that a drain awaits. With them the cost of a
//! command depends on what it changes, not on the number of nodes times cache servers.
//!
//! The indexes are derived from the fleet and never stored. [`Index::recompute`] derives them from scratch.
//! After each command the maintained indexes equal its result, which is checked in debug builds on small
//! fleets and by `tests/fleet_index.rs`.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use super::messages::{Kind, Stage, Subject};
use super::{Condition, Drain, Fleet, Node};
use crate::command::SessionId;

/// A value derived from the rest of its owner. It is ignored by comparisons and hashes.
#[derive(Clone, Debug, Default)]
pub(super) struct Derived<T>(pub(super) T);

impl<T> PartialEq for Derived<T> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl<T> Eq for Derived<T> {}

impl<T> Hash for Derived<T> {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

/// For each cache server, how many live nodes that have reported a list do not list it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Listings {
    /// Number of live nodes that have reported a list.
    reporting_nodes: usize,
    /// Number of these nodes that do not list a cache server, where there is at least one.
    unlisted: BTreeMap<String, usize>,
    /// The same cache servers, grouped by that number.
    by_count: BTreeMap<usize, BTreeSet<String>>,
}

impl Listings {
    /// The number of nodes not listing a cache server from which on it is missing: half of those that
    /// reported a list.
    fn threshold(reporting_nodes: usize) -> usize {
        reporting_nodes.div_ceil(2).max(1)
    }

    /// Whether at least half of the live nodes with a list do not list the cache server.
    pub(super) fn is_missing(&self, id: &str) -> bool {
        self.unlisted.get(id).is_some_and(|count| *count >= Self::threshold(self.reporting_nodes))
    }

    /// Whether at least one live node lists the cache server.
    pub(super) fn is_listed(&self, id: &str) -> bool {
        self.reporting_nodes > self.unlisted.get(id).copied().unwrap_or(0)
    }

    fn set_count(&mut self, id: &str, count: usize) {
        let before =
            if count == 0 { self.unlisted.remove(id) } else { self.unlisted.insert(id.into(), count) };
        if let Some(before) = before
            && let Some(same) = self.by_count.get_mut(&before)
        {
            same.remove(id);
            if same.is_empty() {
                self.by_count.remove(&before);
            }
        }
        if count > 0 {
            self.by_count.entry(count).or_default().insert(id.into());
        }
    }

    /// Counts one more or one fewer node that does not list the cache server.
    pub(super) fn adjust(&mut self, id: &str, more: bool) {
        let count = self.unlisted.get(id).copied().unwrap_or(0);
        self.set_count(id, if more { count + 1 } else { count.saturating_sub(1) });
    }

    /// Removes a forgotten cache server.
    fn remove(&mut self, id: &str) {
        self.set_count(id, 0);
    }

    /// Changes the number of nodes with a list, and returns the cache servers that became missing or ceased
    /// to be missing.
    fn set_reporting_nodes(&mut self, reporting_nodes: usize) -> Vec<String> {
        let (before, now) = (Self::threshold(self.reporting_nodes), Self::threshold(reporting_nodes));
        self.reporting_nodes = reporting_nodes;
        let between = self.by_count.range(before.min(now)..before.max(now));
        between.flat_map(|(_, ids)| ids).cloned().collect()
    }
}

/// The status of a node or a cache server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct MemberStatus {
    /// The zone.
    pub(super) zone: String,
    /// Whether it counts as out.
    pub(super) out: bool,
    /// Whether it is missing or not ready without a granted drain.
    pub(super) unplanned: bool,
}

/// The status of all nodes, or of all cache servers, with totals by zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct StatusIndex {
    statuses: BTreeMap<String, MemberStatus>,
    totals: BTreeMap<String, usize>,
    out: BTreeSet<String>,
    out_by_zone: BTreeMap<String, BTreeSet<String>>,
    unplanned: BTreeSet<String>,
}

impl StatusIndex {
    /// Sets the status of one of them; `None` removes it from the fleet.
    fn set(&mut self, id: &str, status: Option<MemberStatus>) {
        if self.statuses.get(id) == status.as_ref() {
            return;
        }
        if let Some(before) = self.statuses.remove(id) {
            self.subtract(id, &before);
        }
        let Some(status) = status else { return };
        *self.totals.entry(status.zone.clone()).or_default() += 1;
        if status.out {
            self.out.insert(id.into());
            self.out_by_zone.entry(status.zone.clone()).or_default().insert(id.into());
        }
        if status.unplanned {
            self.unplanned.insert(id.into());
        }
        self.statuses.insert(id.into(), status);
    }

    fn subtract(&mut self, id: &str, before: &MemberStatus) {
        if let Some(total) = self.totals.get_mut(&before.zone) {
            *total -= 1;
            if *total == 0 {
                self.totals.remove(&before.zone);
            }
        }
        self.out.remove(id);
        self.unplanned.remove(id);
        if let Some(out) = self.out_by_zone.get_mut(&before.zone) {
            out.remove(id);
            if out.is_empty() {
                self.out_by_zone.remove(&before.zone);
            }
        }
    }

    /// All that are out.
    pub(super) fn out(&self) -> &BTreeSet<String> {
        &self.out
    }

    /// Those of a zone that are out.
    pub(super) fn out_of_zone(&self, zone: &str) -> Option<&BTreeSet<String>> {
        self.out_by_zone.get(zone)
    }

    /// The size of a zone.
    pub(super) fn total_of_zone(&self, zone: &str) -> usize {
        self.totals.get(zone).copied().unwrap_or(0)
    }

    /// Those that are missing or not ready without a granted drain.
    pub(super) fn unplanned(&self) -> &BTreeSet<String> {
        &self.unplanned
    }
}

/// Number of nodes that have not confirmed the current stage of a cache server's drain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PendingConfirmations {
    /// Nodes with a session.
    pub(super) live: usize,
    /// Nodes without a session.
    pub(super) missing: usize,
}

impl PendingConfirmations {
    fn count_mut(&mut self, live: bool) -> &mut usize {
        if live { &mut self.live } else { &mut self.missing }
    }
}

/// Number of live and ready nodes, and the sum of their refusal percentages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ServingStats {
    nodes: u64,
    refused_percent: u64,
}

impl ServingStats {
    fn adjust(&mut self, node: &Node, more: bool) {
        if node.session.is_none() || !node.ready {
            return;
        }
        let refused = u64::from(node.refused_percent);
        if more {
            self.nodes += 1;
            self.refused_percent += refused;
        } else {
            self.nodes -= 1;
            self.refused_percent -= refused;
        }
    }

    /// The mean refusal percentage; `None` if no node serves.
    pub(super) fn mean(&self) -> Option<u64> {
        self.refused_percent.checked_div(self.nodes)
    }
}

/// All indexes of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Index {
    /// The node of each session.
    pub(super) sessions: BTreeMap<SessionId, String>,
    /// The drain of each subject.
    pub(super) drains: BTreeMap<Subject, u64>,
    /// Which cache servers are missing from nodes' lists.
    pub(super) listings: Listings,
    /// Status of the nodes.
    pub(super) nodes: StatusIndex,
    /// Status of the cache servers.
    pub(super) servers: StatusIndex,
    /// The nodes that serve.
    pub(super) serving: ServingStats,
    /// Confirmations still awaited by cache server drains, by drain number.
    pub(super) awaited: BTreeMap<u64, PendingConfirmations>,
    /// Number of cache servers that return or warm up at the end of a drain.
    pub(super) warming: usize,
    /// Cache servers that warm up after a restart without a drain.
    pub(super) cold: BTreeSet<String>,
    /// Cache servers by registration number.
    pub(super) registered: BTreeMap<u64, String>,
}

impl Index {
    /// Returns the status index of nodes or of cache servers.
    pub(super) fn of(&self, kind: Kind) -> &StatusIndex {
        match kind {
            Kind::Node => &self.nodes,
            Kind::Server => &self.servers,
        }
    }

    fn of_mut(&mut self, kind: Kind) -> &mut StatusIndex {
        match kind {
            Kind::Node => &mut self.nodes,
            Kind::Server => &mut self.servers,
        }
    }

    /// Derives all indexes from scratch.
    pub(super) fn recompute(fleet: &Fleet) -> Self {
        let mut index = Index { listings: recompute_listings(fleet), ..Index::default() };
        for (name, node) in &fleet.nodes {
            if let Some(session) = &node.session {
                index.sessions.insert(session.clone(), name.clone());
            }
            index.serving.adjust(node, true);
        }
        for (id, server) in &fleet.servers {
            if server.cold.is_some() {
                index.cold.insert(id.clone());
            }
            index.registered.insert(server.registered, id.clone());
        }
        // Cache servers of formats 1 and 2 have no registration number, and no delta refers to them.
        index.registered.remove(&0);
        for (number, drain) in &fleet.drains {
            index.drains.insert(drain.subject.clone(), *number);
            index.warming += usize::from(is_warming(drain));
            if drain.subject.kind == Kind::Server {
                index.awaited.insert(*number, recompute_awaited(fleet, drain));
            }
        }
        for name in fleet.nodes.keys() {
            let status = fleet.status(&Subject::node(name), &index);
            index.nodes.set(name, status);
        }
        for id in fleet.servers.keys() {
            let status = fleet.status(&Subject::server(id), &index);
            index.servers.set(id, status);
        }
        index
    }
}

fn recompute_listings(fleet: &Fleet) -> Listings {
    let reporting_nodes: Vec<&Node> = fleet.nodes.values().filter(|node| node.has_reported_list()).collect();
    let mut listings = Listings { reporting_nodes: reporting_nodes.len(), ..Listings::default() };
    for id in reporting_nodes.iter().flat_map(|node| &node.unlisted) {
        *listings.unlisted.entry(id.clone()).or_default() += 1;
    }
    for (id, count) in &listings.unlisted {
        listings.by_count.entry(*count).or_default().insert(id.clone());
    }
    listings
}

fn recompute_awaited(fleet: &Fleet, drain: &Drain) -> PendingConfirmations {
    let mut awaited = PendingConfirmations::default();
    for (_, node) in fleet.nodes.iter().filter(|(name, _)| !drain.confirmed.contains(*name)) {
        *awaited.count_mut(node.session.is_some()) += 1;
    }
    awaited
}

fn is_warming(drain: &Drain) -> bool {
    drain.subject.kind == Kind::Server && matches!(drain.stage, Stage::Returning | Stage::Cold)
}

/// Index maintenance. Whoever changes a node, a cache server or a drain calls the matching method.
impl Fleet {
    fn index_mut(&mut self) -> &mut Index {
        &mut self.index.0
    }

    /// Returns the indexes.
    pub(super) fn index(&self) -> &Index {
        &self.index.0
    }

    /// Derives all indexes again.
    pub(super) fn rebuild_index(&mut self) {
        self.index.0 = Index::recompute(self);
    }

    /// Whether the maintained indexes equal those derived from scratch. For tests.
    pub fn index_is_current(&self) -> bool {
        *self.index() == Index::recompute(self)
    }

    /// Recomputes the status of a node or a cache server.
    pub(super) fn update_status(&mut self, subject: &Subject) {
        let status = self.status(subject, self.index());
        self.index_mut().of_mut(subject.kind).set(&subject.id, status);
    }

    fn update_servers(&mut self, ids: impl IntoIterator<Item = String>) {
        for id in ids {
            self.update_status(&Subject::server(&id));
        }
    }

    /// Adds a node to the indexes that is new, or was removed by [`Fleet::unindex_node`].
    pub(super) fn index_node(&mut self, name: &str) {
        self.count_node(name, true);
    }

    /// Removes a node from the indexes, before its session changes or it leaves the fleet.
    pub(super) fn unindex_node(&mut self, name: &str) {
        self.count_node(name, false);
    }

    fn count_node(&mut self, name: &str, more: bool) {
        let Some(node) = self.nodes.get(name) else { return };
        let index = &mut self.index.0;
        if let Some(session) = &node.session {
            if more {
                index.sessions.insert(session.clone(), name.into());
            } else {
                index.sessions.remove(session);
            }
        }
        index.serving.adjust(node, more);
        for (number, awaited) in &mut index.awaited {
            let confirmed = self.drains.get(number).is_some_and(|drain| drain.confirmed.contains(name));
            if !confirmed {
                let count = awaited.count_mut(node.session.is_some());
                *count = if more { *count + 1 } else { *count - 1 };
            }
        }
        let counted = more || self.enforces(Condition::EndedSessionUncounted);
        if node.has_reported_list() && counted {
            self.count_list(name, more);
        }
    }

    /// Starts or stops counting the list of a live node.
    pub(super) fn count_list(&mut self, name: &str, more: bool) {
        let Some(node) = self.nodes.get(name) else { return };
        let listings = &mut self.index.0.listings;
        let mut affected: Vec<String> = node.unlisted.iter().cloned().collect();
        for id in &node.unlisted {
            listings.adjust(id, more);
        }
        let reporting_nodes = if more { listings.reporting_nodes + 1 } else { listings.reporting_nodes - 1 };
        affected.extend(listings.set_reporting_nodes(reporting_nodes));
        self.update_servers(affected);
    }

    /// Records whether a node lists a cache server.
    pub(super) fn set_listed(&mut self, name: &str, id: &str, listed: bool) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        let changed = if listed { node.unlisted.remove(id) } else { node.unlisted.insert(id.into()) };
        if changed && node.has_reported_list() {
            self.index.0.listings.adjust(id, !listed);
            self.update_status(&Subject::server(id));
        }
    }

    /// Sets a node's readiness and refusal percentage.
    pub(super) fn set_readiness(&mut self, name: &str, ready: bool, refused_percent: u8) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        let serving = &mut self.index.0.serving;
        serving.adjust(node, false);
        (node.ready, node.refused_percent) = (ready, refused_percent);
        serving.adjust(node, true);
        self.update_status(&Subject::node(name));
    }

    /// Sets or clears the start after which a cache server warms up.
    pub(super) fn set_cold(&mut self, id: &str, cold: Option<u64>) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.cold = cold;
        let index = &mut self.index.0;
        if cold.is_some() {
            index.cold.insert(id.into());
        } else {
            index.cold.remove(id);
        }
        self.update_status(&Subject::server(id));
    }

    /// Adds a newly registered cache server to the indexes.
    pub(super) fn index_server(&mut self, id: &str) {
        let Some(server) = self.servers.get(id) else { return };
        let (registered, cold) = (server.registered, server.cold);
        self.index_mut().registered.insert(registered, id.into());
        self.set_cold(id, cold);
    }

    /// Removes a forgotten cache server from the indexes. No node's list may contain it any more.
    pub(super) fn unindex_server(&mut self, id: &str, registered: u64) {
        let index = self.index_mut();
        index.registered.remove(&registered);
        index.cold.remove(id);
        index.listings.remove(id);
        self.update_status(&Subject::server(id));
    }

    /// Clears the registration numbers of the cache servers.
    pub(super) fn clear_registrations(&mut self) {
        self.index_mut().registered.clear();
    }

    /// Adds a drain to the indexes, with none or all of its confirmations.
    pub(super) fn index_drain(&mut self, number: u64) {
        let Some(drain) = self.drains.get(&number) else { return };
        let subject = drain.subject.clone();
        let warming = usize::from(is_warming(drain));
        let awaited = (subject.kind == Kind::Server).then(|| self.pending_confirmations(drain));
        let index = self.index_mut();
        index.drains.insert(subject.clone(), number);
        index.warming += warming;
        if let Some(awaited) = awaited {
            index.awaited.insert(number, awaited);
        }
        self.update_status(&subject);
    }

    /// Removes a drain from the indexes, before its stage changes or after it has ended.
    pub(super) fn unindex_drain(&mut self, number: u64, drain: &Drain) {
        let index = self.index_mut();
        index.drains.remove(&drain.subject);
        index.warming -= usize::from(is_warming(drain));
        index.awaited.remove(&number);
        self.update_status(&drain.subject);
    }

    /// Counts the nodes that have not confirmed a drain's stage; without confirmations these are all nodes.
    fn pending_confirmations(&self, drain: &Drain) -> PendingConfirmations {
        let live = self.index().sessions.len();
        let mut awaited = PendingConfirmations { live, missing: self.nodes.len() - live };
        for node in drain.confirmed.iter().filter_map(|name| self.nodes.get(name)) {
            *awaited.count_mut(node.session.is_some()) -= 1;
        }
        awaited
    }

    /// Counts the first confirmation of a drain's stage by a node.
    pub(super) fn index_confirmation(&mut self, number: u64, live: bool) {
        if let Some(awaited) = self.index_mut().awaited.get_mut(&number) {
            *awaited.count_mut(live) -= 1;
        }
    }
}
