//! Which boxes of a pool hold which slots, as one node has it: merged from what several boxes say, corrected by
//! redirections that proved true, and put into the numbers of the list of servers. Pure.
//!
//! **Merging.** Of the boxes that say something of a slot those with the highest epoch count; of them the owner that
//! most name; at a tie the one held so far, else the lowest number. A round whose highest epoch lies below the one
//! held is dropped, for all who were asked have an older map; after [`BEHIND`] such rounds in a row the cluster itself
//! has begun anew, and they count.
//!
//! **Redirections.** `MOVED` moves a slot here once the box that it names has taken a command for it: a box with an old
//! map, or one that lies, can't turn the table by words alone. `ASK` moves nothing.
//!
//! What a box is called in a map is kept as the map has it, and looked up in the list again with each change of the
//! list: the list may hear of a box seconds after the cluster does.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use crate::redirect::Endpoint;
use crate::slot::SLOTS;
use crate::view::{ClusterMember, Range, View};

/// Number of a server in the list, the same at every node.
pub type ServerId = u32;

/// So many rounds in a row with an epoch below the one held mean that the cluster began anew.
pub const BEHIND: u32 = 3;
/// Names that are remembered at the most; a tier's boxes are hundreds.
const MOST_ALIASES: usize = 4_096;

/// What a node knows of the list of servers: which one stands at an address.
pub type ServerLookup<'a> = &'a dyn Fn(SocketAddr) -> Option<ServerId>;

/// What a box said, and the address at which it was asked.
pub type ServerView = (SocketAddr, View);

/// Slots next to each other that the same boxes hold: the owner first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotAssignment {
    /// The first slot.
    pub first: u16,
    /// The last slot.
    pub last: u16,
    /// The owner, then those that may be read.
    pub boxes: Vec<ServerId>,
}

/// How a round of answers was taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// Its epoch.
    pub epoch: u64,
    /// It was dropped: all who answered have an older map.
    pub stale: bool,
    /// Slots of which no box, or none of the list, is the owner.
    pub uncovered: u16,
    /// Slots that boxes of one epoch give to different owners.
    pub disputed: u16,
}

/// The slot table.
#[derive(Debug, Default)]
pub struct Table {
    epoch: u64,
    /// What the table is made of, for the next change of the list.
    heard: Vec<ServerView>,
    /// For each slot a place in `homes`.
    slots: Vec<u32>,
    /// All sets of boxes that hold slots; the first is of nobody.
    homes: Vec<Vec<ServerId>>,
    aliases: BTreeMap<String, IpAddr>,
    behind: u32,
    /// Slots that a redirection moved, with the count of all such moves until then.
    learnt: BTreeMap<u16, (u64, ServerId)>,
    moves: u64,
    /// Whether copies may be read.
    copies: bool,
}

impl Table {
    /// A table that knows nothing; `copies` says that boxes that hold copies may be read.
    pub fn new(copies: bool) -> Self {
        Table { slots: vec![0; SLOTS.into()], homes: vec![Vec::new()], copies, ..Table::default() }
    }

    /// The epoch of the map that it is made of; 0 before the first.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether no map has come yet.
    pub fn is_empty(&self) -> bool {
        self.heard.is_empty()
    }

    /// The boxes that hold a slot, its owner first; none where it is uncovered.
    pub fn home(&self, slot: u16) -> &[ServerId] {
        self.slots.get(usize::from(slot)).map_or(&[], |at| &self.homes[*at as usize])
    }

    /// Stands for the present: a round of questions that begins now knows nothing of later redirections.
    pub fn mark(&self) -> u64 {
        self.moves
    }

    /// Where a place leads, seen from the box that named it.
    pub fn address(&self, place: &Endpoint, from: SocketAddr) -> Option<SocketAddr> {
        place.address(from, &|name| self.aliases.get(name).copied())
    }

    /// Takes a round of answers that began at a mark.
    pub fn merge(&mut self, heard: Vec<ServerView>, mark: u64, listed: ServerLookup<'_>) -> Merged {
        let epoch = heard.iter().map(|(_, view)| view.epoch).max().unwrap_or_default();
        if heard.is_empty() || (epoch < self.epoch && self.behind + 1 < BEHIND) {
            self.behind += u32::from(!heard.is_empty());
            return Merged { epoch, stale: true, ..Merged::default() };
        }
        (self.behind, self.epoch) = (0, epoch);
        for alias in
            heard.iter().flat_map(|(_, v)| &v.ranges).flat_map(Range::seats).filter_map(|s| s.alias.clone())
        {
            if self.aliases.len() < MOST_ALIASES || self.aliases.contains_key(&alias.0) {
                self.aliases.insert(alias.0, alias.1);
            }
        }
        self.heard = heard;
        // What was learnt before the questions went out is in the answers, or was overtaken.
        self.learnt.retain(|_, (move_, _)| *move_ > mark);
        self.build(listed)
    }

    /// Looks all boxes up in the list again, after a change of it.
    pub fn relist(&mut self, listed: ServerLookup<'_>) -> Merged {
        self.build(listed)
    }

    /// A redirection proved true: the box that it named took a command for the slot. Gives what changed.
    pub fn moved(&mut self, slot: u16, to: ServerId) -> Option<SlotAssignment> {
        if slot >= SLOTS || self.home(slot).first() == Some(&to) {
            return None;
        }
        self.moves += 1;
        self.learnt.insert(slot, (self.moves, to));
        // Its copies are not known: only the owner is told by a redirection.
        self.slots[usize::from(slot)] = self.place(vec![to]);
        Some(SlotAssignment { first: slot, last: slot, boxes: vec![to] })
    }

    /// The whole table in ranges, in order; slots that nobody holds are left out.
    pub fn ranges(&self) -> Vec<SlotAssignment> {
        let mut ranges: Vec<(u16, u16, u32)> = Vec::new();
        for (slot, place) in (0u16..).zip(&self.slots) {
            match ranges.last_mut() {
                Some((_, last, of)) if of == place => *last = slot,
                _ => ranges.push((slot, slot, *place)),
            }
        }
        let held = ranges.into_iter().filter(|(.., place)| *place > 0);
        held.map(|(first, last, place)| SlotAssignment {
            first,
            last,
            boxes: self.homes[place as usize].clone(),
        })
        .collect()
    }

    fn place(&mut self, boxes: Vec<ServerId>) -> u32 {
        let at = self.homes.iter().position(|h| *h == boxes).unwrap_or_else(|| {
            self.homes.push(boxes);
            self.homes.len() - 1
        });
        at as u32
    }

    fn build(&mut self, listed: ServerLookup<'_>) -> Merged {
        let mut merged = Merged { epoch: self.epoch, ..Merged::default() };
        let before = Table {
            slots: std::mem::take(&mut self.slots),
            homes: std::mem::take(&mut self.homes),
            ..Table::default()
        };
        (self.slots, self.homes) = (vec![0; SLOTS.into()], vec![Vec::new()]);
        let heard = std::mem::take(&mut self.heard);
        let claims: Vec<Claims> = heard.iter().map(|(from, view)| self.claims(*from, view, listed)).collect();
        // Slots come in runs of which all views say the same: each run is settled once.
        let mut last: Option<(Settled, usize)> = None;
        for slot in 0..usize::from(SLOTS) {
            let alike = |c: &Claims| slot > 0 && c.slots[slot] == c.slots[slot - 1];
            let same = slot > 0 && before.slots[slot] == before.slots[slot - 1] && claims.iter().all(alike);
            let (settled, place) = match last.take().filter(|_| same) {
                Some(last) => last,
                None => {
                    let settled = settle(&claims, slot, before.home(slot as u16).first().copied());
                    let place = self.place(settled.home.clone());
                    (settled, place as usize)
                }
            };
            merged.uncovered += u16::from(settled.home.is_empty());
            merged.disputed += u16::from(settled.disputed);
            self.slots[slot] = place as u32;
            last = Some((settled, place));
        }
        self.heard = heard;
        for (slot, (_, to)) in self.learnt.clone() {
            self.slots[usize::from(slot)] = self.place(vec![to]);
        }
        merged
    }

    /// What one view says of each slot, in numbers of the list.
    fn claims(&self, from: SocketAddr, view: &View, listed: ServerLookup<'_>) -> Claims {
        let mut claims = Claims { epoch: view.epoch, slots: vec![None; SLOTS.into()], homes: Vec::new() };
        let find = |seat: &ClusterMember| {
            seat.places.iter().filter_map(|place| self.address(place, from)).find_map(listed)
        };
        for range in &view.ranges {
            let mut home: Vec<ServerId> = find(&range.owner).into_iter().collect();
            if self.copies && !home.is_empty() {
                for copy in range.copies.iter().filter_map(find) {
                    if !home.contains(&copy) {
                        home.push(copy);
                    }
                }
            }
            claims.homes.push(home);
            let place = (claims.homes.len() - 1) as u32;
            for slot in range.first..=range.last.min(SLOTS - 1) {
                // A view that gives a slot twice means it once: the first counts.
                claims.slots[usize::from(slot)].get_or_insert(place);
            }
        }
        claims
    }
}

/// Who holds a run of slots.
struct Settled {
    home: Vec<ServerId>,
    disputed: bool,
}

/// Of the views with the highest epoch that say anything of a slot, be it an owner that the list lacks, the owner that
/// most name; at a tie the one held before, else the lowest number.
fn settle(claims: &[Claims], slot: usize, before: Option<ServerId>) -> Settled {
    let said = |c: &Claims| c.slots[slot].map(|at| c.homes[at as usize].clone());
    let epoch = claims.iter().filter(|c| c.slots[slot].is_some()).map(|c| c.epoch).max();
    let mut votes: Vec<(usize, Vec<ServerId>)> = Vec::new();
    for home in claims.iter().filter(|c| Some(c.epoch) == epoch).filter_map(said) {
        let Some(owner) = home.first() else { continue };
        match votes.iter_mut().find(|(_, h)| h.first() == Some(owner)) {
            Some(vote) => vote.0 += 1,
            None => votes.push((1, home)),
        }
    }
    let disputed = votes.len() > 1;
    let best = votes.into_iter().max_by_key(|(count, home)| {
        let owner = home.first().copied();
        (*count, owner == before, std::cmp::Reverse(owner))
    });
    Settled { home: best.map(|(_, home)| home).unwrap_or_default(), disputed }
}

/// What one view says of each slot: a place in `homes`, which may be of nobody in the list.
struct Claims {
    epoch: u64,
    slots: Vec<Option<u32>>,
    homes: Vec<Vec<ServerId>>,
}

#[cfg(test)]
mod tests;
