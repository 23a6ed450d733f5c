//! Fencing at a process that acts on behalf of lease holders. It rejects an action whose fence is lower than
//! one it has seen, or whose deadline has passed. A process that starts without handed-over fences rejects
//! every action until a quorum of coordinators has provided them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::command::Fence;
use crate::limits;

/// Maximum number of accepted actions that are remembered until their deadline.
const MOST_DONE: usize = 65_536;

/// An action that a lease holder requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FencedAction {
    /// The lease that authorizes the action.
    pub lease: String,
    /// The fence of the holder's grant.
    pub fence: Fence,
    /// Name of the clock that `not_after_ms` refers to: the clock of the receiving process, read before the
    /// holder checked its own validity.
    pub clock: String,
    /// Deadline: the action must not begin at this time or later. The holder adds the remaining validity of
    /// its lease to the receiver's clock as read before, so that no two clocks are compared.
    pub not_after_ms: u64,
    /// Number of the action, unique within the grant, so that a duplicated action is executed once. The
    /// second copy may arrive after the holder has seen the first one confirmed and released the lease.
    pub number: u64,
}

/// The lowest fences that are accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FenceFloors {
    /// For leases that are not held: the next grant has at least this fence.
    pub others: Fence,
    /// For leases that are held, by lease name.
    pub held: BTreeMap<String, Fence>,
}

impl FenceFloors {
    fn of(&self, lease: &str) -> Fence {
        self.held.get(lease).copied().unwrap_or(self.others)
    }
}

/// Why an action is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceError {
    /// The process has not received the fences yet.
    KnowsNothing,
    /// A later grant of the lease has been seen.
    OldFence {
        /// The lowest fence that is accepted.
        least: Fence,
    },
    /// The deadline of the action has passed.
    TooLate,
    /// The deadline refers to another clock, for example that of the previous process.
    OtherClock,
    /// The action was accepted before.
    Done,
    /// Too many accepted actions are within their deadlines to remember another one.
    TooMany,
    /// The lease name is not valid.
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

/// Decides which fenced actions a process accepts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct FenceGuard {
    /// Name of the process's clock, new for every process.
    clock: String,
    floors: Option<FenceFloors>,
    /// Accepted actions that could arrive again: deadline, fence and number.
    done: BTreeSet<(u64, Fence, u64)>,
}

impl FenceGuard {
    /// Creates a guard that knows no fences yet.
    pub fn new(clock: String) -> Self {
        FenceGuard { clock, floors: None, done: BTreeSet::new() }
    }

    /// Returns the name of the clock.
    pub fn clock(&self) -> &str {
        &self.clock
    }

    /// Whether the fences are known, so that actions can be accepted.
    pub fn knows(&self) -> bool {
        self.floors.is_some()
    }

    /// Merges fences from a quorum or from the previous process. Fences already seen are never lowered.
    pub fn learn(&mut self, told: FenceFloors) {
        let Some(known) = &self.floors else { return self.floors = Some(told) };
        // A lease named on one side only has the other side's `others` as its lower bound.
        let names = told.held.keys().chain(known.held.keys());
        let held = names.map(|lease| (lease.clone(), told.of(lease).max(known.of(lease)))).collect();
        self.floors = Some(FenceFloors { others: told.others.max(known.others), held });
        self.forget();
    }

    /// Returns the fences to hand over to the next process on the same machine.
    pub fn handed_over(&self) -> Option<&FenceFloors> {
        self.floors.as_ref()
    }

    /// Checks the deadline of an action.
    ///
    /// # Errors
    ///
    /// Fails if the deadline has passed or refers to another clock.
    pub fn in_time(&self, act: &FencedAction, now: u64) -> Result<(), FenceError> {
        if act.clock != self.clock {
            return Err(FenceError::OtherClock);
        }
        if now >= act.not_after_ms { Err(FenceError::TooLate) } else { Ok(()) }
    }

    /// Checks the fence of an action, and raises the known fence of its lease.
    ///
    /// # Errors
    ///
    /// Fails if the fences are not known, the lease name is not valid or a later grant has been seen.
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

    /// Checks whether an action may be executed now, and records it as executed.
    ///
    /// # Errors
    ///
    /// Returns why the action is rejected.
    pub fn obey(&mut self, act: &FencedAction, now: u64) -> Result<(), FenceError> {
        self.in_time(act, now)?;
        // A rejected action is not recorded, so it may be sent again once the fences are known.
        self.fenced(act)?;
        self.once(act, now)
    }

    /// Records an action as executed.
    ///
    /// # Errors
    ///
    /// Fails if the action was recorded before, or if too many actions are recorded.
    pub fn once(&mut self, act: &FencedAction, now: u64) -> Result<(), FenceError> {
        // Actions whose deadline has passed are rejected anyway and need not be remembered.
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

    /// Bounds the number of known leases. Removes those with the lowest fences and raises `others`
    /// accordingly, which may reject too much but never too little.
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
