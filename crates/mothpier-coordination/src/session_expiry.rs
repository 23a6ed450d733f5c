//! Session expiry at the leader. The leader counts a session's TTL on its own clock from the moment it sees
//! the renewal committed, which is later than the client's send time, so the session ends for the client
//! first. A new leader knows no renewal times and gives every session its whole TTL again.

use std::collections::{BTreeMap, BTreeSet};

use crate::command::{Command, SessionId};

/// Expiry times of the sessions, in ms of the leader's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SessionExpiry {
    /// Expiry time and number of renewals of each session.
    expiries: BTreeMap<SessionId, (u64, u64)>,
    /// The same sessions, ordered by expiry time.
    by_time: BTreeSet<(u64, SessionId)>,
}

impl SessionExpiry {
    /// Starts a leadership: every session gets its whole TTL from now on.
    pub fn start_leadership<'a>(
        &mut self,
        now: u64,
        sessions: impl Iterator<Item = (&'a SessionId, u64, u64)>,
    ) {
        *self = SessionExpiry::default();
        for (session, ttl_ms, renewals) in sessions {
            self.record_renewal(now, session, ttl_ms, renewals);
        }
    }

    /// Records that a session was opened or renewed, as seen committed now.
    pub fn record_renewal(&mut self, now: u64, session: &str, ttl_ms: u64, renewals: u64) {
        // Seeing the same renewal twice does not extend the session. Renewals committed under the previous
        // leader were already given a whole TTL by `start_leadership`.
        if self.expiries.get(session).is_some_and(|(_, recorded)| *recorded == renewals) {
            return;
        }
        self.remove(session);
        self.expiries.insert(session.into(), (now + ttl_ms, renewals));
        self.by_time.insert((now + ttl_ms, session.into()));
    }

    /// Removes a session that has ended.
    pub fn remove(&mut self, session: &str) {
        if let Some((expires_at, _)) = self.expiries.remove(session) {
            self.by_time.remove(&(expires_at, session.into()));
        }
    }

    /// Returns the earliest expiry time.
    pub fn next_expiry(&self) -> Option<u64> {
        self.by_time.first().map(|(expires_at, _)| *expires_at)
    }

    /// Returns the time until a session expires.
    pub fn remaining_ms(&self, now: u64, session: &str) -> Option<u64> {
        self.expiries.get(session).map(|(expires_at, _)| expires_at.saturating_sub(now))
    }

    /// Returns commands to expire the sessions whose time is over. They are returned again after
    /// `retry_delay`, because a proposal may be lost.
    pub fn take_due(&mut self, now: u64, retry_delay: u64) -> Vec<Command> {
        let mut commands = Vec::new();
        while let Some((expires_at, session)) =
            self.by_time.first().cloned().filter(|(expires_at, _)| *expires_at <= now)
        {
            self.by_time.remove(&(expires_at, session.clone()));
            if let Some((expiry, renewals)) = self.expiries.get_mut(&session) {
                *expiry = now + retry_delay;
                self.by_time.insert((now + retry_delay, session.clone()));
                commands.push(Command::Expire { session, renewals: *renewals });
            }
        }
        commands
    }
}

#[cfg(test)]
mod tests;
