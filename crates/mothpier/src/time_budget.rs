//! How long an attempt may take, and what its server is told of that: reckoned when the first byte is written, since an
//! attempt may have waited for its turn or for a connection until then. No I/O.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::messages::Command;
use crate::{Mutation, mutation_active};

/// A client's command, and when its result is of no use to this attempt any more.
#[derive(Clone)]
pub struct TimeBudget {
    /// The command.
    pub command: Rc<Command>,
    /// The end of this attempt.
    pub deadline: Instant,
}

/// The deadline of an attempt passed before its first byte was written.
#[derive(Debug, PartialEq, Eq)]
pub struct DeadlinePassed;

impl TimeBudget {
    /// The command's names and values, with `d` set to what is left as of now.
    pub fn extras(&self, now: Instant) -> Result<String, DeadlinePassed> {
        let left = self.left(now);
        if left.is_zero() {
            return Err(DeadlinePassed);
        }
        if mutation_active(Mutation::StaleTimeLeft) {
            return Ok(String::from_utf8_lossy(&self.command.extras).into_owned());
        }
        Ok(self.command.extras_with_wait(left))
    }

    /// The command as a cache server gets it. One whose deadline has passed tells the least there is: it is given up in
    /// this very moment.
    pub fn for_server(&self, now: Instant) -> Bytes {
        self.command.for_server(self.left(now))
    }

    fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}
