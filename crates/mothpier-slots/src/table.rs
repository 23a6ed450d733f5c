//! The slot table of one node: merged from the maps that several servers report, corrected by confirmed
//! redirections, and expressed in the numbers of the server list. No I/O.
//!
//! **Merging.** For each slot, only the maps with the highest epoch among those that mention it count. The
//! owner named by most of them wins; on a tie the previous owner wins, else the lowest number. A round whose
//! highest epoch is below the current one is discarded, as all queried servers have an older map. After
//! [`CLUSTER_RESET_ROUNDS`] such rounds in a row the cluster is taken to have been recreated, and the round
//! is accepted.
//!
//! **Redirections.** `MOVED` moves a slot in the table only after the named server has accepted a command for
//! it, so that a server with a stale map, or a faulty one, can't change the table by its reply alone. `ASK`
//! changes nothing.
//!
//! The endpoints of servers are kept as the map reports them and looked up again after each change of the
//! server list, because the list may learn of a server seconds after the cluster does.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use crate::redirect::Endpoint;
use crate::slot::SLOTS;
use crate::view::{ClusterMember, Range, View};

/// The number of a server in the server list, the same at every node.
pub type ServerId = u32;

/// Number of consecutive rounds with an epoch below the current one after which the cluster is taken to have
/// been recreated.
pub const CLUSTER_RESET_ROUNDS: u32 = 3;
/// Maximum number of host names whose addresses are kept; a tier has hundreds of servers.
const MAX_ALIASES: usize = 4_096;

/// Looks up the server at an address in the server list.
pub type ServerLookup<'a> = &'a dyn Fn(SocketAddr) -> Option<ServerId>;

/// The map that a server reported, with the address at which the server was queried.
pub type ServerView = (SocketAddr, View);

/// Consecutive slots that are assigned to the same servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotAssignment {
    /// The first slot.
    pub first: u16,
    /// The last slot.
    pub last: u16,
    /// The owner, followed by the replicas that may be read.
    pub servers: Vec<ServerId>,
}

/// The outcome of merging a round of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// The highest epoch of the round.
    pub epoch: u64,
    /// The round was discarded because all answers have an older map, or because there were none.
    pub stale: bool,
    /// Number of slots without an owner, or whose owner is not in the server list.
    pub uncovered: u16,
    /// Number of slots for which maps of the same epoch name different owners.
    pub disputed: u16,
}

/// The slot table.
#[derive(Debug, Default)]
pub struct Table {
    epoch: u64,
    /// The maps that the table was built from; used to rebuild it after a change of the server list.
    views: Vec<ServerView>,
    /// For each slot an index into `server_sets`.
    slots: Vec<u32>,
    /// All distinct sets of servers that hold slots; the first one is empty.
    server_sets: Vec<Vec<ServerId>>,
    aliases: BTreeMap<String, IpAddr>,
    older_rounds: u32,
    /// Slots moved by redirections, each with the number of the move and the new owner.
    learned_moves: BTreeMap<u16, (u64, ServerId)>,
    move_count: u64,
    /// Whether replicas may be read.
    read_replicas: bool,
}

impl Table {
    /// Creates an empty table; `read_replicas` allows reads from replicas.
    pub fn new(read_replicas: bool) -> Self {
        Table {
            slots: vec![0; SLOTS.into()],
            server_sets: vec![Vec::new()],
            read_replicas,
            ..Table::default()
        }
    }

    /// Returns the epoch of the merged map; 0 before the first one.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns whether no map has been received yet.
    pub fn is_empty(&self) -> bool {
        self.views.is_empty()
    }

    /// Returns the servers that hold a slot, the owner first; empty if the slot is uncovered.
    pub fn servers_of(&self, slot: u16) -> &[ServerId] {
        self.slots.get(usize::from(slot)).map_or(&[], |index| &self.server_sets[*index as usize])
    }

    /// Returns the number of redirections recorded so far. A refresh round that starts now can't reflect
    /// later ones.
    pub fn redirect_mark(&self) -> u64 {
        self.move_count
    }

    /// Resolves an endpoint reported by the server contacted at `from`.
    pub fn resolve(&self, endpoint: &Endpoint, from: SocketAddr) -> Option<SocketAddr> {
        endpoint.resolve(from, &|name| self.aliases.get(name).copied())
    }

    /// Merges the answers of a round that started at the redirect mark `mark`.
    pub fn merge(&mut self, views: Vec<ServerView>, mark: u64, lookup: ServerLookup<'_>) -> Merged {
        let epoch = views.iter().map(|(_, view)| view.epoch).max().unwrap_or_default();
        if views.is_empty() || (epoch < self.epoch && self.older_rounds + 1 < CLUSTER_RESET_ROUNDS) {
            self.older_rounds += u32::from(!views.is_empty());
            return Merged { epoch, stale: true, ..Merged::default() };
        }
        (self.older_rounds, self.epoch) = (0, epoch);
        for alias in
            views.iter().flat_map(|(_, v)| &v.ranges).flat_map(Range::members).filter_map(|s| s.alias.clone())
        {
            if self.aliases.len() < MAX_ALIASES || self.aliases.contains_key(&alias.0) {
                self.aliases.insert(alias.0, alias.1);
            }
        }
        self.views = views;
        // The answers already reflect, or supersede, redirections recorded before the requests were sent.
        self.learned_moves.retain(|_, (move_number, _)| *move_number > mark);
        self.build(lookup)
    }

    /// Looks up all servers again after a change of the server list.
    pub fn refresh_lookup(&mut self, lookup: ServerLookup<'_>) -> Merged {
        self.build(lookup)
    }

    /// Records a confirmed redirection: the named server accepted a command for the slot. Returns what
    /// changed.
    pub fn record_move(&mut self, slot: u16, to: ServerId) -> Option<SlotAssignment> {
        if slot >= SLOTS || self.servers_of(slot).first() == Some(&to) {
            return None;
        }
        self.move_count += 1;
        self.learned_moves.insert(slot, (self.move_count, to));
        // The replicas are unknown: a redirection names only the owner.
        self.slots[usize::from(slot)] = self.intern(vec![to]);
        Some(SlotAssignment { first: slot, last: slot, servers: vec![to] })
    }

    /// Returns the table as ranges in ascending order, without uncovered slots.
    pub fn ranges(&self) -> Vec<SlotAssignment> {
        let mut ranges: Vec<(u16, u16, u32)> = Vec::new();
        for (slot, set_index) in (0u16..).zip(&self.slots) {
            match ranges.last_mut() {
                Some((_, last, range_set)) if range_set == set_index => *last = slot,
                _ => ranges.push((slot, slot, *set_index)),
            }
        }
        let assigned = ranges.into_iter().filter(|(.., set_index)| *set_index > 0);
        assigned
            .map(|(first, last, set_index)| SlotAssignment {
                first,
                last,
                servers: self.server_sets[set_index as usize].clone(),
            })
            .collect()
    }

    fn intern(&mut self, servers: Vec<ServerId>) -> u32 {
        let index = self.server_sets.iter().position(|set| *set == servers).unwrap_or_else(|| {
            self.server_sets.push(servers);
            self.server_sets.len() - 1
        });
        index as u32
    }

    fn build(&mut self, lookup: ServerLookup<'_>) -> Merged {
        let mut merged = Merged { epoch: self.epoch, ..Merged::default() };
        let previous = Table {
            slots: std::mem::take(&mut self.slots),
            server_sets: std::mem::take(&mut self.server_sets),
            ..Table::default()
        };
        (self.slots, self.server_sets) = (vec![0; SLOTS.into()], vec![Vec::new()]);
        let views = std::mem::take(&mut self.views);
        let claims: Vec<Claims> = views.iter().map(|(from, view)| self.claims(*from, view, lookup)).collect();
        // Consecutive slots often have the same claims in all maps: each such run is resolved once.
        let mut last: Option<(SlotWinner, usize)> = None;
        for slot in 0..usize::from(SLOTS) {
            let same_as_last_slot = |c: &Claims| slot > 0 && c.slots[slot] == c.slots[slot - 1];
            let unchanged = slot > 0
                && previous.slots[slot] == previous.slots[slot - 1]
                && claims.iter().all(same_as_last_slot);
            let (winner, set_index) = match last.take().filter(|_| unchanged) {
                Some(last) => last,
                None => {
                    let winner =
                        choose_winner(&claims, slot, previous.servers_of(slot as u16).first().copied());
                    let set_index = self.intern(winner.servers.clone());
                    (winner, set_index as usize)
                }
            };
            merged.uncovered += u16::from(winner.servers.is_empty());
            merged.disputed += u16::from(winner.disputed);
            self.slots[slot] = set_index as u32;
            last = Some((winner, set_index));
        }
        self.views = views;
        for (slot, (_, to)) in self.learned_moves.clone() {
            self.slots[usize::from(slot)] = self.intern(vec![to]);
        }
        merged
    }

    /// Returns what one map says about each slot, in numbers of the server list.
    fn claims(&self, from: SocketAddr, view: &View, lookup: ServerLookup<'_>) -> Claims {
        let mut claims =
            Claims { epoch: view.epoch, slots: vec![None; SLOTS.into()], server_sets: Vec::new() };
        let find = |member: &ClusterMember| {
            member.endpoints.iter().filter_map(|endpoint| self.resolve(endpoint, from)).find_map(lookup)
        };
        for range in &view.ranges {
            let mut servers: Vec<ServerId> = find(&range.owner).into_iter().collect();
            if self.read_replicas && !servers.is_empty() {
                for replica in range.replicas.iter().filter_map(find) {
                    if !servers.contains(&replica) {
                        servers.push(replica);
                    }
                }
            }
            claims.server_sets.push(servers);
            let set_index = (claims.server_sets.len() - 1) as u32;
            for slot in range.first..=range.last.min(SLOTS - 1) {
                // If a map assigns a slot twice, the first assignment counts.
                claims.slots[usize::from(slot)].get_or_insert(set_index);
            }
        }
        claims
    }
}

/// The servers chosen for a slot.
struct SlotWinner {
    servers: Vec<ServerId>,
    disputed: bool,
}

/// Chooses the servers of a slot. Only the maps with the highest epoch among those that mention the slot
/// count, even if they name an owner that is not in the server list. The owner named by most wins; on a tie
/// the previous owner, else the lowest number.
fn choose_winner(claims: &[Claims], slot: usize, previous: Option<ServerId>) -> SlotWinner {
    let claimed = |c: &Claims| c.slots[slot].map(|index| c.server_sets[index as usize].clone());
    let epoch = claims.iter().filter(|c| c.slots[slot].is_some()).map(|c| c.epoch).max();
    let mut votes: Vec<(usize, Vec<ServerId>)> = Vec::new();
    for servers in claims.iter().filter(|c| Some(c.epoch) == epoch).filter_map(claimed) {
        let Some(owner) = servers.first() else { continue };
        match votes.iter_mut().find(|(_, servers)| servers.first() == Some(owner)) {
            Some(vote) => vote.0 += 1,
            None => votes.push((1, servers)),
        }
    }
    let disputed = votes.len() > 1;
    let best = votes.into_iter().max_by_key(|(count, servers)| {
        let owner = servers.first().copied();
        (*count, owner == previous, std::cmp::Reverse(owner))
    });
    SlotWinner { servers: best.map(|(_, servers)| servers).unwrap_or_default(), disputed }
}

/// The assignments of one map: for each slot an index into `server_sets`, whose sets may be empty if the
/// server list has none of the servers.
struct Claims {
    epoch: u64,
    slots: Vec<Option<u32>>,
    server_sets: Vec<Vec<ServerId>>,
}

#[cfg(test)]
mod tests;
