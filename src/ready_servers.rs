//! The servers that take requests, stored compactly for choosing among thousands: with their placement
//! weights, in one group for each distinct placement of classes.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{Class, Condition, Key, ServerId};
use crate::state::{ServerState, unit_hash};

/// Number of first servers in a key's order that are tried one by one before all are compared: even with
/// three of four servers impeded, only one choice in a hundred goes on to all.
const FIRST_IN_ORDER: usize = 16;

/// Hash seed for a key's order of servers.
const ORDER_SEED: u64 = 0;

/// Returns a server's score in a key's order, where the lowest score comes first (weighted rendezvous
/// hashing).
pub fn rendezvous_score(key: Key, server: ServerId, weight: f64) -> f64 {
    -unit_hash(key, server, ORDER_SEED).ln() / weight
}

/// A ready cache server.
struct Member {
    server: ServerId,
    kind: u16,
    capacity: f64,
    /// Its capacity times the weight of its machine kind.
    weight: f64,
}

/// The ready cache servers that a set of classes may use.
#[derive(Default)]
struct Group {
    /// Sorted by server id.
    members: Vec<Member>,
    weight: f64,
}

impl Group {
    fn reweigh(&mut self, kind_weight: impl Fn(u16) -> f64) {
        let mut last: Option<(u16, f64)> = None;
        for member in &mut self.members {
            let weight_of_kind = match last {
                Some((kind, weight)) if kind == member.kind => weight,
                _ => kind_weight(member.kind),
            };
            last = Some((member.kind, weight_of_kind));
            member.weight = member.capacity * weight_of_kind;
        }
        self.weight = self.members.iter().map(|member| member.weight).sum();
    }
}

/// All ready servers of the list.
#[derive(Default)]
pub struct ReadyServers {
    groups: Vec<Group>,
    /// For each class, the index of its group.
    group_of_class: Vec<usize>,
    cache_servers: usize,
    origins: Vec<ServerId>,
}

impl ReadyServers {
    /// Creates an empty set with a group for each distinct placement of `classes`.
    pub fn new(classes: &[Class]) -> Self {
        let first_with_same_placement =
            |class: &Class| classes.iter().position(|other| same_placement(class, other));
        let firsts: Vec<usize> = classes.iter().filter_map(first_with_same_placement).collect();
        let distinct: BTreeSet<usize> = firsts.iter().copied().collect();
        let group = |first: &usize| distinct.range(..first).count();
        let group_of_class = firsts.iter().map(group).collect();
        let groups = distinct.iter().map(|_| Group::default()).collect();
        ReadyServers { groups, group_of_class, ..ReadyServers::default() }
    }

    /// Rebuilds the groups from the server list; the caller supplies the servers' capacities and the weights
    /// of machine kinds.
    pub fn rebuild(
        &mut self,
        classes: &[Class],
        servers: &BTreeMap<ServerId, ServerState>,
        capacity: impl Fn(&ServerState) -> f64,
        kind_weight: impl Fn(u16) -> f64,
    ) {
        let ready = || servers.values().filter(|state| state.entry.condition == Condition::Ready);
        self.origins = ready().filter(|state| state.is_origin).map(|state| state.entry.id).collect();
        self.cache_servers = ready().filter(|state| !state.is_origin).count();
        for (group_index, group) in self.groups.iter_mut().enumerate() {
            let class = self.group_of_class.iter().position(|index| *index == group_index);
            let usable = |state: &&ServerState| {
                !state.is_origin && class.is_none_or(|class| may_use(&classes[class], state))
            };
            let member = |state: &ServerState| Member {
                server: state.entry.id,
                kind: state.entry.kind,
                capacity: capacity(state),
                weight: 0.0,
            };
            group.members = ready().filter(usable).map(member).collect();
            group.reweigh(&kind_weight);
        }
    }

    /// Applies new weights of machine kinds.
    pub fn reweigh(&mut self, kind_weight: impl Fn(u16) -> f64) {
        self.groups.iter_mut().for_each(|group| group.reweigh(&kind_weight));
    }

    /// Returns the number of ready cache servers.
    pub fn count(&self) -> usize {
        self.cache_servers
    }

    /// Returns the ready origins.
    pub fn origins(&self) -> &[ServerId] {
        &self.origins
    }

    /// Returns the total weight of the cache servers that a class may use.
    pub fn weight(&self, class: usize) -> f64 {
        self.groups[self.group_of_class[class]].weight
    }

    /// Returns the cache servers that a class may use.
    pub fn of_class(&self, class: usize) -> impl Iterator<Item = ServerId> {
        self.groups[self.group_of_class[class]].members.iter().map(|member| member.server)
    }

    /// Returns the first few cache servers of a class in a key's order.
    pub fn first_in_order(&self, class: usize, key: Key) -> impl Iterator<Item = ServerId> {
        let mut first = FirstInOrder::default();
        for member in &self.groups[self.group_of_class[class]].members {
            first.offer(key, member);
        }
        first.scores.into_iter().map(|(_, server)| server)
    }
}

/// Keeps the servers with the lowest scores of those offered.
#[derive(Default)]
struct FirstInOrder {
    scores: Vec<(f64, ServerId)>,
}

impl FirstInOrder {
    fn offer(&mut self, key: Key, member: &Member) {
        let full = self.scores.len() == FIRST_IN_ORDER;
        let hash = unit_hash(key, member.server, ORDER_SEED);
        // Skips the logarithm if its bound, 1 - x <= -ln x, already shows that the score is too high.
        if full && self.scores.last().is_some_and(|(last, _)| 1.0 - hash > last * member.weight) {
            return;
        }
        let score = (-hash.ln() / member.weight, member.server);
        let position = self.scores.partition_point(|other| *other < score);
        if position < FIRST_IN_ORDER {
            self.scores.truncate(FIRST_IN_ORDER - 1);
            self.scores.insert(position, score);
        }
    }
}

/// Whether a class may use a server; every class may use the origin.
pub fn may_use(class: &Class, state: &ServerState) -> bool {
    let in_zones = |zones: &Option<Vec<u8>>| zones.as_ref().is_none_or(|z| z.contains(&state.entry.zone));
    let of_kinds = |kinds: &Option<Vec<u16>>| kinds.as_ref().is_none_or(|k| k.contains(&state.entry.kind));
    let allowed = class.only_servers.as_ref().is_none_or(|ids| ids.contains(&state.entry.id));
    state.is_origin || (allowed && in_zones(&class.only_zones) && of_kinds(&class.only_kinds))
}

fn same_placement(one: &Class, other: &Class) -> bool {
    one.only_zones == other.only_zones
        && one.only_kinds == other.only_kinds
        && one.only_servers == other.only_servers
}

#[cfg(test)]
mod tests;
