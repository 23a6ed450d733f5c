//! The servers that take requests, as a choice among thousands goes through them: compact, with the weights
//! that placement goes by, in one group for each distinct placement of classes.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{Class, Condition, Key, ServerId};
use crate::state::{Server, unit_hash};

/// How many of the first servers in a key's order are looked at one by one, before all are weighed: with
/// three of four impeded one in a hundred choices goes on to all.
const FIRST_IN_ORDER: usize = 16;

/// The hash that gives a key's order of servers.
const ORDER: u64 = 0;

/// A server's place in a key's order, the smaller the earlier (weighted rendezvous hashing).
pub fn place(key: Key, server: ServerId, weight: f64) -> f64 {
    -unit_hash(key, server, ORDER).ln() / weight
}

/// A ready cache server.
struct Member {
    server: ServerId,
    kind: u16,
    size: f64,
    /// Its size times the weight of its kind.
    weight: f64,
}

/// The ready cache servers that some classes may use.
#[derive(Default)]
struct Group {
    /// In the order of their numbers.
    members: Vec<Member>,
    weight: f64,
}

impl Group {
    fn reweigh(&mut self, kind_weight: impl Fn(u16) -> f64) {
        let mut last: Option<(u16, f64)> = None;
        for member in &mut self.members {
            let of_kind = match last {
                Some((kind, weight)) if kind == member.kind => weight,
                _ => kind_weight(member.kind),
            };
            last = Some((member.kind, of_kind));
            member.weight = member.size * of_kind;
        }
        self.weight = self.members.iter().map(|member| member.weight).sum();
    }
}

/// All ready servers of the list.
#[derive(Default)]
pub struct ReadyServers {
    groups: Vec<Group>,
    /// For each class, its group.
    group_of_class: Vec<usize>,
    cache_servers: usize,
    origins: Vec<ServerId>,
}

impl ReadyServers {
    /// None yet, for classes of these placements.
    pub fn new(classes: &[Class]) -> Self {
        let first_alike = |class: &Class| classes.iter().position(|other| same_placement(class, other));
        let firsts: Vec<usize> = classes.iter().filter_map(first_alike).collect();
        let distinct: BTreeSet<usize> = firsts.iter().copied().collect();
        let group = |first: &usize| distinct.range(..first).count();
        let group_of_class = firsts.iter().map(group).collect();
        let groups = distinct.iter().map(|_| Group::default()).collect();
        ReadyServers { groups, group_of_class, ..ReadyServers::default() }
    }

    /// Takes over who is ready; sizes and weights of kinds are those of the caller.
    pub fn rebuild(
        &mut self,
        classes: &[Class],
        servers: &BTreeMap<ServerId, Server>,
        size: impl Fn(&Server) -> f64,
        kind_weight: impl Fn(u16) -> f64,
    ) {
        let ready = || servers.values().filter(|s| s.line.condition == Condition::Ready);
        self.origins = ready().filter(|s| s.origin).map(|s| s.line.id).collect();
        self.cache_servers = ready().filter(|s| !s.origin).count();
        for (number, group) in self.groups.iter_mut().enumerate() {
            let class = self.group_of_class.iter().position(|of_class| *of_class == number);
            let usable = |s: &&Server| !s.origin && class.is_none_or(|class| may_use(&classes[class], s));
            let member =
                |s: &Server| Member { server: s.line.id, kind: s.line.kind, size: size(s), weight: 0.0 };
            group.members = ready().filter(usable).map(member).collect();
            group.reweigh(&kind_weight);
        }
    }

    /// Takes over new weights of kinds.
    pub fn reweigh(&mut self, kind_weight: impl Fn(u16) -> f64) {
        self.groups.iter_mut().for_each(|group| group.reweigh(&kind_weight));
    }

    /// How many cache servers are ready.
    pub fn count(&self) -> usize {
        self.cache_servers
    }

    /// The origins that are ready.
    pub fn origins(&self) -> &[ServerId] {
        &self.origins
    }

    /// The weight of all cache servers that a class may use.
    pub fn weight(&self, class: usize) -> f64 {
        self.groups[self.group_of_class[class]].weight
    }

    /// The cache servers that a class may use.
    pub fn of_class(&self, class: usize) -> impl Iterator<Item = ServerId> {
        self.groups[self.group_of_class[class]].members.iter().map(|member| member.server)
    }

    /// The first few cache servers of a class in a key's order.
    pub fn first_in_order(&self, class: usize, key: Key) -> impl Iterator<Item = ServerId> {
        let mut first = FirstInOrder::default();
        for member in &self.groups[self.group_of_class[class]].members {
            first.offer(key, member);
        }
        first.places.into_iter().map(|(_, server)| server)
    }
}

/// The servers with the least places of those offered.
#[derive(Default)]
struct FirstInOrder {
    places: Vec<(f64, ServerId)>,
}

impl FirstInOrder {
    fn offer(&mut self, key: Key, member: &Member) {
        let full = self.places.len() == FIRST_IN_ORDER;
        let hash = unit_hash(key, member.server, ORDER);
        // The logarithm is left out where its bound, 1 - x <= -ln x, tells that the place is too late.
        if full && self.places.last().is_some_and(|(last, _)| 1.0 - hash > last * member.weight) {
            return;
        }
        let place = (-hash.ln() / member.weight, member.server);
        let at = self.places.partition_point(|other| *other < place);
        if at < FIRST_IN_ORDER {
            self.places.truncate(FIRST_IN_ORDER - 1);
            self.places.insert(at, place);
        }
    }
}

/// Whether a class may be sent to a server; the origin is open to all.
pub fn may_use(class: &Class, s: &Server) -> bool {
    let among = |zones: &Option<Vec<u8>>| zones.as_ref().is_none_or(|z| z.contains(&s.line.zone));
    let kind = |kinds: &Option<Vec<u16>>| kinds.as_ref().is_none_or(|k| k.contains(&s.line.kind));
    let servers = class.only_servers.as_ref().is_none_or(|ids| ids.contains(&s.line.id));
    s.origin || (servers && among(&class.only_zones) && kind(&class.only_kinds))
}

fn same_placement(one: &Class, other: &Class) -> bool {
    one.only_zones == other.only_zones
        && one.only_kinds == other.only_kinds
        && one.only_servers == other.only_servers
}

#[cfg(test)]
mod tests;
