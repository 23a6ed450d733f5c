//! Whom one that acts for a holder obeys: a node, the tool. It refuses a fence lower than it has seen, and an act whose
//! time is over; one that has begun from nothing knows no fences and obeys nobody until a quorum has told it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::command::Fence;
use crate::limits;

/// Orders within their time that are remembered.
const MOST_DONE: usize = 65_536;

/// An order that a holder gives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FencedAction {
    /// The lease in whose name.
    pub lease: String,
    /// The number of its grant.
    pub fence: Fence,
    /// Which clock `not_after_ms` is of: that of the one that obeys, told before the holder looked at its own time.
    pub clock: String,
    /// It must not begin at this time or later. The holder adds what is left of its own time to what that clock said
    /// before; no two clocks are compared.
    pub not_after_ms: u64,
    /// No other order of this grant has it: an order that comes twice is done once. Its second copy may come when the holder,
    /// who has heard of the first, has given the lease up.
    pub number: u64,
}

/// The lowest fences that may act.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FenceFloors {
    /// Of leases that nobody holds: the next grant has at least this one.
    pub others: Fence,
    /// Of leases that are held.
    pub held: BTreeMap<String, Fence>,
}

impl FenceFloors {
    fn of(&self, lease: &str) -> Fence {
        self.held.get(lease).copied().unwrap_or(self.others)
    }
}

/// Why an act is not done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceError {
    /// It has begun from nothing and was not told the fences yet.
    KnowsNothing,
    /// Another holder came later.
    OldFence {
        /// The lowest that it obeys.
        least: Fence,
    },
    /// The act's time is over.
    TooLate,
    /// The time is of another clock: it was told before this process began.
    OtherClock,
    /// It has been done.
    Done,
    /// More orders are within their time than can be remembered.
    TooMany,
    /// The lease's name is none.
    BadName,
}

impl std::fmt::Display for FenceError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FenceError::KnowsNothing => write!(f, "the fences are not known yet: nobody is obeyed"),
            FenceError::OldFence { least } => write!(f, "an old fence: {least} or higher is obeyed"),
            FenceError::TooLate => write!(f, "the time in which this could begin is over"),
            FenceError::OtherClock => write!(f, "the time is of another clock: ask for this one first"),
            FenceError::Done => write!(f, "this order has been done"),
            FenceError::TooMany => write!(f, "more orders are within their time than are remembered"),
            FenceError::BadName => write!(f, "no lease can have this name"),
        }
    }
}

/// One that obeys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct FenceGuard {
    /// The name of its clock, new with every process.
    clock: String,
    floors: Option<FenceFloors>,
    /// Orders that were done and could come again: their time, fence and number.
    done: BTreeSet<(u64, Fence, u64)>,
}

impl FenceGuard {
    /// One that begins from nothing.
    pub fn new(clock: String) -> Self {
        FenceGuard { clock, floors: None, done: BTreeSet::new() }
    }

    /// The name of its clock.
    pub fn clock(&self) -> &str {
        &self.clock
    }

    /// Whether it knows enough to obey anybody.
    pub fn knows(&self) -> bool {
        self.floors.is_some()
    }

    /// Takes over what a quorum told, or the process before it. Nothing that it has seen is lowered.
    pub fn learn(&mut self, told: FenceFloors) {
        let Some(known) = &self.floors else { return self.floors = Some(told) };
        // A lease that only one side names is bounded below by what the other says of all others.
        let names = told.held.keys().chain(known.held.keys());
        let held = names.map(|lease| (lease.clone(), told.of(lease).max(known.of(lease)))).collect();
        self.floors = Some(FenceFloors { others: told.others.max(known.others), held });
        self.forget();
    }

    /// What the next process of the same machine has to know.
    pub fn handed_over(&self) -> Option<&FenceFloors> {
        self.floors.as_ref()
    }

    /// Whether the time of an act is not over.
    ///
    /// # Errors
    ///
    /// Why it can't begin.
    pub fn in_time(&self, act: &FencedAction, now: u64) -> Result<(), FenceError> {
        if act.clock != self.clock {
            return Err(FenceError::OtherClock);
        }
        if now >= act.not_after_ms { Err(FenceError::TooLate) } else { Ok(()) }
    }

    /// Whether the act's holder is the latest that it has heard of; it is from now on.
    ///
    /// # Errors
    ///
    /// Why it is not obeyed.
    pub fn fenced(&mut self, act: &FencedAction) -> Result<(), FenceError> {
        if !limits::is_name(&act.lease) {
            return Err(FenceError::BadName);
        }
        let floors = self.floors.as_mut().ok_or(FenceError::KnowsNothing)?;
        let least = floors.of(&act.lease);
        if act.fence < least {
            return Err(FenceError::OldFence { least });
        }
        floors.held.insert(act.lease.clone(), act.fence);
        self.forget();
        Ok(())
    }

    /// Whether to do as it is told, now.
    ///
    /// # Errors
    ///
    /// Why not.
    pub fn obey(&mut self, act: &FencedAction, now: u64) -> Result<(), FenceError> {
        self.in_time(act, now)?;
        // One that is refused is not done, and may come again once more is known.
        self.fenced(act)?;
        self.once(act, now)
    }

    /// Whether the act was not done yet; it is from now on.
    ///
    /// # Errors
    ///
    /// It was, or that can't be remembered.
    pub fn once(&mut self, act: &FencedAction, now: u64) -> Result<(), FenceError> {
        // What could come no more in its time need not be known.
        self.done = self.done.split_off(&(now + 1, 0, 0));
        if self.done.len() >= MOST_DONE {
            return Err(FenceError::TooMany);
        }
        if self.done.insert((act.not_after_ms, act.fence, act.number)) {
            Ok(())
        } else {
            Err(FenceError::Done)
        }
    }

    /// Leases beyond what is kept count among the others: those with the lowest fences go, and raise the bound of all
    /// that are not named. That refuses too much, never too little.
    fn forget(&mut self) {
        let Some(floors) = &mut self.floors else { return };
        while floors.held.len() > limits::LEASES {
            let lowest = floors.held.iter().min_by_key(|(_, fence)| **fence).map(|(l, f)| (l.clone(), *f));
            let Some((lease, fence)) = lowest else { return };
            floors.held.remove(&lease);
            floors.others = floors.others.max(fence);
        }
    }
}

#[cfg(test)]
mod tests;
