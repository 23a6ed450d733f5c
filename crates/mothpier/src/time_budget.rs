//! The time left for an attempt, and the value of it that is sent to the server. It is computed when the
//! first byte is written, since the attempt may have waited in a queue or for a connection until then. No
//! I/O.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::messages::Command;
use crate::segments::Segments;
use crate::{Mutation, mutation_active};

/// A client's command with the deadline of the attempt.
#[derive(Clone)]
pub struct TimeBudget {
    pub command: Rc<Command>,
    /// When the attempt ends.
    pub deadline: Instant,
}

/// The deadline of an attempt passed before its first byte was written.
#[derive(Debug, PartialEq, Eq)]
pub struct DeadlinePassed;

impl TimeBudget {
    /// Returns the command's extras, with `d` set to the time left.
    pub fn extras(&self, now: Instant) -> Result<String, DeadlinePassed> {
        let remaining = self.remaining(now);
        if remaining.is_zero() {
            return Err(DeadlinePassed);
        }
        if mutation_active(Mutation::StaleTimeLeft) {
            return Ok(String::from_utf8_lossy(&self.command.extras).into_owned());
        }
        Ok(self.command.extras_with_wait(remaining))
    }

    /// Returns the command as it is sent to a cache server. If the deadline has passed, it states the
    /// smallest possible time; the attempt is being given up at that moment.
    pub fn for_server(&self, now: Instant) -> Segments {
        self.command.for_server(self.remaining(now))
    }

    fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}
