//! A node's part in drains: which cache servers it does not use, whether it drains itself, and which stages
//! it may confirm.

use std::collections::{BTreeMap, BTreeSet};

use super::messages::{FleetChange, Kind, Stage, Subject, Told};

/// The drains that a node has put into effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Effect {
    /// Cache servers to which the node sends nothing.
    pub out: BTreeSet<String>,
    /// The node accepts no requests and has none in progress.
    pub empty: bool,
}

/// A node's view of the drains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Follower {
    node: String,
    /// `None` until the drains have been read in full.
    drains: Option<BTreeMap<u64, Told>>,
    /// The last confirmed stage of each drain, by drain number.
    confirmed: BTreeMap<u64, u64>,
}

impl Follower {
    /// Creates a view that knows no drains yet.
    pub fn new(node: &str) -> Self {
        Follower { node: node.into(), ..Follower::default() }
    }

    /// Whether the drains are known.
    pub fn knows(&self) -> bool {
        self.drains.is_some()
    }

    /// Replaces the drains by those that were read with the confirmation of a majority.
    pub fn replace_all(&mut self, all: Vec<Told>) {
        let drains: BTreeMap<u64, Told> = all.into_iter().map(|drain| (drain.drain, drain)).collect();
        self.confirmed.retain(|drain, _| drains.contains_key(drain));
        self.drains = Some(drains);
    }

    /// Applies a change of the fleet.
    pub fn apply_change(&mut self, change: &FleetChange) {
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

    /// Forgets all confirmations after joining under a new session, because those of the previous process no
    /// longer count.
    pub fn reset_confirmations(&mut self) {
        self.confirmed.clear();
    }

    fn keeps_out(told: &Told) -> bool {
        matches!(told.stage, Stage::Leaving | Stage::Out)
    }

    /// Returns the cache servers to which the node must send nothing.
    pub fn drained_servers(&self) -> BTreeSet<String> {
        let drains = self.drains.iter().flat_map(|d| d.values());
        drains
            .filter(|drain| drain.subject.kind == Kind::Server && Self::keeps_out(drain))
            .map(|drain| drain.subject.id.clone())
            .collect()
    }

    /// Whether this node must accept no requests.
    pub fn must_drain(&self) -> bool {
        let own = Subject::node(&self.node);
        self.drains
            .iter()
            .flat_map(|d| d.values())
            .any(|drain| drain.subject == own && Self::keeps_out(drain))
    }

    /// Returns what may be confirmed with `effect` in place: drain numbers and stage numbers.
    pub fn confirmable(&self, effect: &Effect) -> Vec<(u64, u64)> {
        let is_confirmable = |drain: &&Told| {
            let (must_exclude, excludes) = match (drain.subject.kind, drain.stage) {
                (_, Stage::Asked | Stage::Cold) => return false,
                (Kind::Server, Stage::Out) => return false,
                (Kind::Server, stage) => (stage == Stage::Leaving, effect.out.contains(&drain.subject.id)),
                (Kind::Node, _) if drain.subject.id != self.node => return false,
                (Kind::Node, Stage::Out) => return false,
                (Kind::Node, stage) => (stage == Stage::Leaving, effect.empty),
            };
            must_exclude == excludes && self.confirmed.get(&drain.drain).is_none_or(|turn| *turn < drain.turn)
        };
        self.drains
            .iter()
            .flat_map(|d| d.values())
            .filter(is_confirmable)
            .map(|drain| (drain.drain, drain.turn))
            .collect()
    }

    /// Records that the coordinators have accepted a confirmation.
    pub fn record_confirmation(&mut self, drain: u64, turn: u64) {
        self.confirmed.insert(drain, turn);
    }
}

#[cfg(test)]
mod tests;
