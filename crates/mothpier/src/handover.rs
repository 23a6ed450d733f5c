//! What one process of a node leaves to the next, and how two that live at once agree. Pure: marks with a time, of which
//! the later one counts, so that either may be told anything in any order.

use std::collections::{BTreeMap, BTreeSet};

use mothpier_coordination::{FenceFloors, FenceGuard};
use serde::{Deserialize, Serialize};

use crate::messages::ServerList;

/// The form written here; another one is passed over.
const VERSION: u32 = 1;
/// The longest state that is read or written: lists of thousands of servers are shorter.
pub const MOST: usize = 4 << 20;
/// Marks that are kept, whoever makes them; of more the oldest that say "may serve" go first.
const MOST_MARKS: usize = 4_096;

/// A word of the staff and when it was said, Unix milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark {
    at: u64,
    /// Of two at one time the careful one counts.
    on: bool,
}

/// What is handed over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    version: u32,
    node: String,
    emptied: Mark,
    /// Cache servers out by hand, or back.
    hand: BTreeMap<String, Mark>,
    /// The list as it was last held, and since when.
    list: Option<ServerList>,
    #[serde(default)]
    listed: u64,
    /// The lowest fences that may act.
    #[serde(default)]
    pub(crate) floors: FenceFloors,
    /// Who the fleet has drained, as this node last knew it, and when that was.
    #[serde(default)]
    drained: Drained,
}

/// Who the fleet has drained.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Drained {
    at: u64,
    /// Cache servers.
    pub out: BTreeSet<String>,
    /// This node.
    pub own: bool,
}

impl State {
    /// Nothing has been said yet.
    pub fn new(node: &str) -> Self {
        State { version: VERSION, node: node.into(), ..State::default() }
    }

    /// Reads a state; the error says why it is none for this node.
    pub fn read(bytes: &[u8], node: &str) -> Result<Self, String> {
        if bytes.len() > MOST {
            return Err(format!("{} bytes are too many", bytes.len()));
        }
        let state: State = serde_json::from_slice(bytes).map_err(|e| format!("unreadable: {e}"))?;
        if state.version != VERSION {
            return Err(format!("version {} where {VERSION} is known", state.version));
        }
        if state.node != node {
            return Err(format!("it is of node {:.64?}", state.node));
        }
        Ok(state.bounded())
    }

    /// Its bytes; what is too long to be read again goes without the list.
    pub fn bytes(&self) -> Vec<u8> {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        if bytes.len() <= MOST {
            return bytes;
        }
        serde_json::to_vec(&State { list: None, ..self.clone() }).unwrap_or_default()
    }

    /// Fences have been seen: none is lowered.
    pub fn obeyed(&mut self, floors: &FenceFloors) {
        let mut both = FenceGuard::default();
        both.learn(self.floors.clone());
        both.learn(floors.clone());
        self.floors = both.handed_over().cloned().unwrap_or_default();
    }

    /// Takes in what another process knows. The result is the same whoever takes in whom.
    pub fn merge(&mut self, other: State) {
        self.emptied = self.emptied.max(other.emptied);
        self.obeyed(&other.floors);
        self.drained = self.drained.clone().max(other.drained);
        for (id, mark) in other.hand {
            let own = self.hand.entry(id).or_default();
            *own = mark.max(*own);
        }
        if other.listed > self.listed {
            (self.list, self.listed) = (other.list, other.listed);
        }
        *self = std::mem::take(self).bounded();
    }

    /// Who the fleet has drained as of now.
    pub fn drained(&mut self, now: u64, out: BTreeSet<String>, own: bool) {
        if self.drained.out != out || self.drained.own != own {
            self.drained = Drained { at: now.max(self.drained.at + 1), out, own };
        }
    }

    /// Who the fleet had drained when that was last known.
    pub fn last_drained(&self) -> Drained {
        self.drained.clone()
    }

    /// A server is out by hand, or may serve again.
    pub fn hand(&mut self, now: u64, id: &str, out: bool) {
        let before = self.hand.get(id).copied().unwrap_or_default();
        // Later than what was said before, whatever the clock does.
        self.hand.insert(id.into(), Mark { at: now.max(before.at + 1), on: out });
        *self = std::mem::take(self).bounded();
    }

    /// The node is emptied, or back at work.
    pub fn empty(&mut self, now: u64, emptied: bool) {
        self.emptied = Mark { at: now.max(self.emptied.at + 1), on: emptied };
    }

    /// The list as it is held now.
    pub fn list(&mut self, now: u64, list: ServerList) {
        // Later than what was held before, whatever the clock does.
        (self.list, self.listed) = (Some(list), now.max(self.listed + 1));
    }

    /// Who is out by hand, and since when.
    pub fn out(&self) -> BTreeMap<String, u64> {
        self.hand.iter().filter(|(_, m)| m.on).map(|(id, m)| (id.clone(), m.at)).collect()
    }

    /// Whether the node is emptied.
    pub fn emptied(&self) -> bool {
        self.emptied.on
    }

    /// The list, if it was held later than at a time.
    pub fn take_list(&mut self) -> Option<ServerList> {
        self.list.take()
    }

    fn bounded(mut self) -> Self {
        while self.hand.len() > MOST_MARKS {
            let oldest = self.hand.iter().min_by_key(|(_, m)| (m.on, m.at)).map(|(id, _)| id.clone());
            oldest.and_then(|id| self.hand.remove(&id));
        }
        self
    }
}

/// What a process tells the others of its node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessStatus {
    /// It takes clients.
    pub serving: bool,
    /// Descriptors that it holds.
    pub descriptors: usize,
}

impl ProcessStatus {
    /// As it is written.
    pub fn text(&self) -> String {
        format!("{} {}\n", u8::from(self.serving), self.descriptors)
    }

    /// Reads one; what can't be read tells of nothing.
    pub fn read(text: &str) -> Self {
        let mut words = text.split_whitespace();
        let serving = words.next() == Some("1");
        ProcessStatus { serving, descriptors: words.next().and_then(|w| w.parse().ok()).unwrap_or_default() }
    }
}

/// This process's part of the node: those that serve are alike.
pub fn part(serving: bool, others: &[ProcessStatus]) -> f64 {
    let all = others.iter().filter(|w| w.serving).count() + usize::from(serving);
    1.0 / all.max(1) as f64
}

#[cfg(test)]
mod tests;
