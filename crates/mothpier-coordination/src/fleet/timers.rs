//! Timers that the leader runs for the fleet. It counts on its own clock from the moment it sees the state
//! that needs a timer. A new leader starts the timers again, so they may fire late but never early.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A timer of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "timer", rename_all = "snake_case", deny_unknown_fields)]
pub enum Timer {
    /// The maximum duration of a drain is over.
    End {
        /// The number of the drain.
        drain: u64,
    },
    /// A cache server has warmed up after its return from a drain.
    Cold {
        /// The number of the drain.
        drain: u64,
        /// The number of the drain's stage.
        turn: u64,
    },
    /// A cache server has warmed up after a start without a drain.
    Start {
        /// The id of the cache server.
        server: String,
        /// The number of the start.
        start: u64,
    },
    /// An automatic halt ends.
    Calm {
        /// The number of the halt.
        halt: u64,
    },
}

/// The running timers of a leader, in ms of its own clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Timers {
    due_at: BTreeMap<Timer, u64>,
}

impl Timers {
    /// Starts the timers that are new and stops those that are no longer needed; others keep running.
    pub fn update(&mut self, now: u64, wanted: &BTreeMap<Timer, u64>) {
        self.due_at.retain(|timer, _| wanted.contains_key(timer));
        for (timer, ms) in wanted {
            self.due_at.entry(timer.clone()).or_insert(now + ms);
        }
    }

    /// Returns when the next timer fires.
    pub fn next_due(&self) -> Option<u64> {
        self.due_at.values().min().copied()
    }

    /// Returns the timers that have fired. They are returned again after `retry_delay`, because a proposal
    /// may be lost.
    pub fn take_due(&mut self, now: u64, retry_delay: u64) -> Vec<Timer> {
        let fired = self.due_at.iter_mut().filter(|(_, due_at)| **due_at <= now);
        fired
            .map(|(timer, due_at)| {
                *due_at = now + retry_delay;
                timer.clone()
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
