//! Fencing at a process that acts on behalf of lease holders. It rejects an action whose fence is lower than
//! one it has seen, or whose deadline has passed. A process that starts without handed-over fences rejects
//! every action until a quorum of coordinators has provided them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::command::Fence;
use crate::limits;

/// Maximum number of accepted actions that are remembered until their deadline.
const MAX_ACCEPTED_ACTIONS: usize = 65_536;

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
    fn lowest_accepted_for(&self, lease: &str) -> Fence {
        self.held.get(lease).copied().unwrap_or(self.others)
    }
}

/// Why an action is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceError {
    /// The process has not received the fences yet.
    FencesUnknown,
    /// A later grant of the lease has been seen.
    StaleFence {
        /// The lowest fence that is accepted.
        lowest_accepted: Fence,
    },
    /// The deadline of the action has passed.
    DeadlinePassed,
    /// The deadline refers to another clock, for example that of the previous process.
    OtherClock,
    /// The action was accepted before.
    AlreadyAccepted,
    /// Too many accepted actions are within their deadlines to remember another one.
    TooManyActions,
    /// The lease name is not valid.
    InvalidLeaseName,
}

impl std::fmt::Display for FenceError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FenceError::FencesUnknown => write!(f, "the fences are not known yet: no action is accepted"),
            FenceError::StaleFence { lowest_accepted } => {
                write!(f, "stale fence: {lowest_accepted} or higher is required")
            }
            FenceError::DeadlinePassed => write!(f, "the deadline of the action has passed"),
            FenceError::OtherClock => {
                write!(f, "the deadline refers to another clock: read the clock of this process first")
            }
            FenceError::AlreadyAccepted => write!(f, "the action was already accepted"),
            FenceError::TooManyActions => write!(f, "too many actions are within their deadlines"),
            FenceError::InvalidLeaseName => write!(f, "invalid lease name"),
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
    accepted: BTreeSet<(u64, Fence, u64)>,
}

impl FenceGuard {
    /// Creates a guard that knows no fences yet.
    pub fn new(clock: String) -> Self {
        FenceGuard { clock, floors: None, accepted: BTreeSet::new() }
    }

    /// Returns the name of the clock.
    pub fn clock(&self) -> &str {
        &self.clock
    }

    /// Whether the fences are known, so that actions can be accepted.
    pub fn knows_fences(&self) -> bool {
        self.floors.is_some()
    }

    /// Merges fences from a quorum or from the previous process. Fences already seen are never lowered.
    pub fn learn(&mut self, update: FenceFloors) {
        let Some(known) = &self.floors else { return self.floors = Some(update) };
        // A lease named on one side only has the other side's `others` as its lower bound.
        let lease_names = update.held.keys().chain(known.held.keys());
        let held = lease_names
            .map(|lease| {
                (lease.clone(), update.lowest_accepted_for(lease).max(known.lowest_accepted_for(lease)))
            })
            .collect();
        self.floors = Some(FenceFloors { others: update.others.max(known.others), held });
        self.evict_lowest();
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
    pub fn check_deadline(&self, action: &FencedAction, now: u64) -> Result<(), FenceError> {
        if action.clock != self.clock {
            return Err(FenceError::OtherClock);
        }
        if now >= action.not_after_ms { Err(FenceError::DeadlinePassed) } else { Ok(()) }
    }

    /// Checks the fence of an action, and raises the known fence of its lease.
    ///
    /// # Errors
    ///
    /// Fails if the fences are not known, the lease name is not valid or a later grant has been seen.
    pub fn check_fence(&mut self, action: &FencedAction) -> Result<(), FenceError> {
        if !limits::is_name(&action.lease) {
            return Err(FenceError::InvalidLeaseName);
        }
        let floors = self.floors.as_mut().ok_or(FenceError::FencesUnknown)?;
        let lowest_accepted = floors.lowest_accepted_for(&action.lease);
        if action.fence < lowest_accepted {
            return Err(FenceError::StaleFence { lowest_accepted });
        }
        floors.held.insert(action.lease.clone(), action.fence);
        self.evict_lowest();
        Ok(())
    }

    /// Checks whether an action may be executed now, and records it as executed.
    ///
    /// # Errors
    ///
    /// Returns why the action is rejected.
    pub fn accept(&mut self, action: &FencedAction, now: u64) -> Result<(), FenceError> {
        self.check_deadline(action, now)?;
        // A rejected action is not recorded, so it may be sent again once the fences are known.
        self.check_fence(action)?;
        self.record_once(action, now)
    }

    /// Records an action as executed.
    ///
    /// # Errors
    ///
    /// Fails if the action was recorded before, or if too many actions are recorded.
    pub fn record_once(&mut self, action: &FencedAction, now: u64) -> Result<(), FenceError> {
        // Actions whose deadline has passed are rejected anyway and need not be remembered.
        self.accepted = self.accepted.split_off(&(now + 1, 0, 0));
        if self.accepted.len() >= MAX_ACCEPTED_ACTIONS {
            return Err(FenceError::TooManyActions);
        }
        if self.accepted.insert((action.not_after_ms, action.fence, action.number)) {
            Ok(())
        } else {
            Err(FenceError::AlreadyAccepted)
        }
    }

    /// Bounds the number of known leases. Removes those with the lowest fences and raises `others`
    /// accordingly, which may reject too much but never too little.
    fn evict_lowest(&mut self) {
        let Some(floors) = &mut self.floors else { return };
        while floors.held.len() > limits::MAX_LEASES {
            let lowest = floors.held.iter().min_by_key(|(_, fence)| **fence).map(|(l, f)| (l.clone(), *f));
            let Some((lease, fence)) = lowest else { return };
            floors.held.remove(&lease);
            floors.others = floors.others.max(fence);
        }
    }
}

#[cfg(test)]
mod tests;
