//! Finds the connection to a cache server that has been idle longest. If there are more servers than a node
//! may hold connections, that one is closed to make room for the next.

use std::collections::VecDeque;
use std::time::Instant;

use brassrouter::ServerId;

/// A connection, and its last use as of when it was last examined.
struct Entry {
    server: ServerId,
    number: u64,
    last_used: Instant,
}

/// The current state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// It no longer exists.
    Closed,
    /// It is being established, or carries commands.
    Busy,
    /// It has carried nothing since this time.
    Idle(Instant),
}

/// All connections, approximately in the order of their last use: those used since they were last examined
/// are moved to the back.
#[derive(Default)]
pub(super) struct RecentlyUsed {
    entries: VecDeque<Entry>,
}

impl RecentlyUsed {
    /// Adds a new connection.
    pub(super) fn opened(&mut self, server: ServerId, number: u64, now: Instant) {
        self.entries.push_back(Entry { server, number, last_used: now });
    }

    /// Removes and returns the connection that has been idle longest, if it has been idle since `idle_since`
    /// or longer. Examining a connection that was used meanwhile moves it to the back, so the total cost is
    /// about one step per use.
    pub(super) fn take_idle(
        &mut self,
        now: Instant,
        idle_since: Instant,
        state: impl Fn(ServerId, u64) -> State,
    ) -> Option<(ServerId, u64)> {
        for _ in 0..self.entries.len() {
            let entry = self.entries.pop_front()?;
            match state(entry.server, entry.number) {
                State::Closed => {}
                State::Busy => self.entries.push_back(Entry { last_used: now, ..entry }),
                State::Idle(last_used) if last_used > entry.last_used => {
                    self.entries.push_back(Entry { last_used, ..entry })
                }
                State::Idle(last_used) if last_used <= idle_since => {
                    return Some((entry.server, entry.number));
                }
                State::Idle(_) => {
                    self.entries.push_front(entry);
                    return None;
                }
            }
        }
        None
    }

    /// Returns the number of entries, including closed connections that were not examined since.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}

#[cfg(test)]
mod tests;
