//! Session expiry at the leader. The leader counts a session's TTL on its own clock from the moment it sees
//! the renewal committed, which is later than the client's send time, so the session ends for the client
//! first. A new leader knows no renewal times and gives every session its whole TTL again.

use std::collections::{BTreeMap, BTreeSet};

use crate::command::{Command, SessionId};

/// Expiry times of the sessions, in ms of the leader's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SessionExpiry {
    /// Expiry time and number of renewals of each session.
    ends: BTreeMap<SessionId, (u64, u64)>,
    /// The same sessions, ordered by expiry time.
    order: BTreeSet<(u64, SessionId)>,
}

impl SessionExpiry {
    /// Starts a leadership: every session gets its whole TTL from now on.
    pub fn lead<'a>(&mut self, now: u64, sessions: impl Iterator<Item = (&'a SessionId, u64, u64)>) {
        *self = SessionExpiry::default();
        for (session, ttl_ms, renewals) in sessions {
            self.lives(now, session, ttl_ms, renewals);
        }
    }

    /// Records that a session was opened or renewed, as seen committed now.
    pub fn lives(&mut self, now: u64, session: &str, ttl_ms: u64, renewals: u64) {
        // Seeing the same renewal twice does not extend the session. `start` recorded the last renewal seen
        // by the previous leader with a whole TTL.
        if self.ends.get(session).is_some_and(|(_, known)| *known == renewals) {
            return;
        }
        self.over(session);
        self.ends.insert(session.into(), (now + ttl_ms, renewals));
        self.order.insert((now + ttl_ms, session.into()));
    }

    /// Removes a session that has ended.
    pub fn over(&mut self, session: &str) {
        if let Some((at, _)) = self.ends.remove(session) {
            self.order.remove(&(at, session.into()));
        }
    }

    /// Returns the earliest expiry time.
    pub fn next(&self) -> Option<u64> {
        self.order.first().map(|(at, _)| *at)
    }

    /// Returns the time until a session expires.
    pub fn left(&self, now: u64, session: &str) -> Option<u64> {
        self.ends.get(session).map(|(at, _)| at.saturating_sub(now))
    }

    /// Returns commands to expire the sessions whose time is over. They are returned again after `pause`,
    /// because a proposal may be lost.
    pub fn due(&mut self, now: u64, pause: u64) -> Vec<Command> {
        let mut commands = Vec::new();
        while let Some((at, session)) = self.order.first().cloned().filter(|(at, _)| *at <= now) {
            self.order.remove(&(at, session.clone()));
            if let Some((ends, renewals)) = self.ends.get_mut(&session) {
                *ends = now + pause;
                self.order.insert((now + pause, session.clone()));
                commands.push(Command::Expire { session, renewals: *renewals });
            }
        }
        commands
    }
}

#[cfg(test)]
mod tests;
