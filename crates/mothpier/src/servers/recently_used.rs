//! Which connection to a cache server has been idle longest: with more servers than a node may hold connections, that one
//! makes room for the next.

use std::collections::VecDeque;
use std::time::Instant;

use brassrouter::ServerId;

/// A connection, and when it had last been used as it was looked at.
struct Entry {
    server: ServerId,
    number: u64,
    used: Instant,
}

/// What has become of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// It is no more.
    Closed,
    /// It is being made, or carries something.
    Busy,
    /// It carries nothing since this time.
    Idle(Instant),
}

/// All connections, about in the order of their last use: those used since they were last looked at go to the end.
#[derive(Default)]
pub(super) struct RecentlyUsed {
    entries: VecDeque<Entry>,
}

impl RecentlyUsed {
    /// A connection is made.
    pub(super) fn opened(&mut self, server: ServerId, number: u64, now: Instant) {
        self.entries.push_back(Entry { server, number, used: now });
    }

    /// Takes out the connection that has been idle longest, if that is since a time before `idle_since`. Each look at a
    /// connection that was used meanwhile moves it, so that the looks are about as many as the uses.
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
                State::Busy => self.entries.push_back(Entry { used: now, ..entry }),
                State::Idle(used) if used > entry.used => self.entries.push_back(Entry { used, ..entry }),
                State::Idle(used) if used <= idle_since => return Some((entry.server, entry.number)),
                State::Idle(_) => {
                    self.entries.push_front(entry);
                    return None;
                }
            }
        }
        None
    }

    /// How many connections are remembered, closed ones that were not looked at since among them.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}

#[cfg(test)]
mod tests;
