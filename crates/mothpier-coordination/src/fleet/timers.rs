//! What a leader proposes after a time. It counts on its own clock from when it saw the state that wants it; a new leader
//! counts anew: late, never early.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Something that is due after a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "timer", rename_all = "snake_case", deny_unknown_fields)]
pub enum Timer {
    /// A drain's latest end.
    End {
        /// The drain.
        drain: u64,
    },
    /// A cache server that came back is what it was.
    Cold {
        /// The drain.
        drain: u64,
        /// The number of its stage.
        turn: u64,
    },
    /// A cache server that started by itself is.
    Start {
        /// Its id.
        server: String,
        /// The number of the start.
        start: u64,
    },
    /// A halt by the fleet itself ends.
    Calm {
        /// Its number.
        halt: u64,
    },
}

/// The timers at a leader, in ms of its own clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Timers {
    at: BTreeMap<Timer, u64>,
}

impl Timers {
    /// Takes what is wanted as of now: what goes on being wanted keeps its time.
    pub fn wanted(&mut self, now: u64, wanted: &BTreeMap<Timer, u64>) {
        self.at.retain(|timer, _| wanted.contains_key(timer));
        for (timer, ms) in wanted {
            self.at.entry(timer.clone()).or_insert(now + ms);
        }
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<u64> {
        self.at.values().min().copied()
    }

    /// Those whose time is over. They are proposed again after a pause: a proposal may be lost.
    pub fn due(&mut self, now: u64, pause: u64) -> Vec<Timer> {
        let over = self.at.iter_mut().filter(|(_, at)| **at <= now);
        over.map(|(timer, at)| {
            *at = now + pause;
            timer.clone()
        })
        .collect()
    }
}

#[cfg(test)]
mod tests;
