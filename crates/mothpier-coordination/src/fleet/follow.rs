//! What a node does about drains: which cache servers it keeps out, whether it empties itself, and what it may confirm.

use std::collections::{BTreeMap, BTreeSet};

use super::messages::{FleetChange, Kind, Stage, Subject, Told};

/// What a node has in effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Effect {
    /// Cache servers that are sent nothing.
    pub out: BTreeSet<String>,
    /// It takes no work, and has none left.
    pub empty: bool,
}

/// A node's view of the drains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Follower {
    node: String,
    /// `None` until they were read whole.
    drains: Option<BTreeMap<u64, Told>>,
    /// The last stage of each that was confirmed.
    confirmed: BTreeMap<u64, u64>,
}

impl Follower {
    /// A node that knows nothing yet.
    pub fn new(node: &str) -> Self {
        Follower { node: node.into(), ..Follower::default() }
    }

    /// Whether it knows who is out.
    pub fn knows(&self) -> bool {
        self.drains.is_some()
    }

    /// All drains, as a majority confirmed them.
    pub fn read(&mut self, all: Vec<Told>) {
        let drains: BTreeMap<u64, Told> = all.into_iter().map(|t| (t.drain, t)).collect();
        self.confirmed.retain(|drain, _| drains.contains_key(drain));
        self.drains = Some(drains);
    }

    /// One has changed.
    pub fn change(&mut self, change: &FleetChange) {
        let Some(drains) = &mut self.drains else { return };
        match change {
            FleetChange::Drain { told } => {
                if drains.get(&told.drain).is_none_or(|known| known.turn < told.turn) {
                    drains.insert(told.drain, told.clone());
                }
            }
            FleetChange::Ended { drain } => {
                drains.remove(drain);
                self.confirmed.remove(drain);
            }
            FleetChange::Halted { .. } => {}
        }
    }

    /// It has joined anew: what the process before confirmed counts no more.
    pub fn joined(&mut self) {
        self.confirmed.clear();
    }

    fn keeps_out(told: &Told) -> bool {
        matches!(told.stage, Stage::Leaving | Stage::Out)
    }

    /// Cache servers that are to be sent nothing.
    pub fn out(&self) -> BTreeSet<String> {
        let drains = self.drains.iter().flat_map(|d| d.values());
        drains
            .filter(|t| t.subject.kind == Kind::Server && Self::keeps_out(t))
            .map(|t| t.subject.id.clone())
            .collect()
    }

    /// Whether this node is to take no work.
    pub fn empties(&self) -> bool {
        let own = Subject::node(&self.node);
        self.drains.iter().flat_map(|d| d.values()).any(|t| t.subject == own && Self::keeps_out(t))
    }

    /// What may be confirmed, with that in effect: the drain's number and its stage's.
    pub fn confirms(&self, effect: &Effect) -> Vec<(u64, u64)> {
        let done = |t: &&Told| {
            let (asks, has) = match (t.subject.kind, t.stage) {
                (_, Stage::Asked | Stage::Cold) => return false,
                (Kind::Server, Stage::Out) => return false,
                (Kind::Server, stage) => (stage == Stage::Leaving, effect.out.contains(&t.subject.id)),
                (Kind::Node, _) if t.subject.id != self.node => return false,
                (Kind::Node, Stage::Out) => return false,
                (Kind::Node, stage) => (stage == Stage::Leaving, effect.empty),
            };
            asks == has && self.confirmed.get(&t.drain).is_none_or(|turn| *turn < t.turn)
        };
        self.drains.iter().flat_map(|d| d.values()).filter(done).map(|t| (t.drain, t.turn)).collect()
    }

    /// That was confirmed, and the coordinators have it.
    pub fn confirmed(&mut self, drain: u64, turn: u64) {
        self.confirmed.insert(drain, turn);
    }
}

#[cfg(test)]
mod tests;
