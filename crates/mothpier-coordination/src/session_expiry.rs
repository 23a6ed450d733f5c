//! When a leader ends a session. It counts on its own clock from when it saw the renewal committed, never from when that
//! was asked: later than the client, so that the client's time is over first. A new leader knows no times and gives every
//! session its whole time anew.

use std::collections::{BTreeMap, BTreeSet};

use crate::command::{Command, SessionId};

/// The sessions' times at the leader, in ms of its own clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SessionExpiry {
    /// When each ends, and how often it had been renewed.
    ends: BTreeMap<SessionId, (u64, u64)>,
    /// The same in the order of their times.
    order: BTreeSet<(u64, SessionId)>,
}

impl SessionExpiry {
    /// Leads from now on: all have their whole time before them.
    pub fn lead<'a>(&mut self, now: u64, sessions: impl Iterator<Item = (&'a SessionId, u64, u64)>) {
        *self = SessionExpiry::default();
        for (session, ttl_ms, renewals) in sessions {
            self.lives(now, session, ttl_ms, renewals);
        }
    }

    /// A session was opened or renewed, as committed and seen just now.
    pub fn lives(&mut self, now: u64, session: &str, ttl_ms: u64, renewals: u64) {
        // The same renewal seen twice gives no time twice; that of a leader before counts whole.
        if self.ends.get(session).is_some_and(|(_, known)| *known == renewals) {
            return;
        }
        self.over(session);
        self.ends.insert(session.into(), (now + ttl_ms, renewals));
        self.order.insert((now + ttl_ms, session.into()));
    }

    /// A session has ended.
    pub fn over(&mut self, session: &str) {
        if let Some((at, _)) = self.ends.remove(session) {
            self.order.remove(&(at, session.into()));
        }
    }

    /// When the next one ends.
    pub fn next(&self) -> Option<u64> {
        self.order.first().map(|(at, _)| *at)
    }

    /// What is left of a session's time.
    pub fn left(&self, now: u64, session: &str) -> Option<u64> {
        self.ends.get(session).map(|(at, _)| at.saturating_sub(now))
    }

    /// Proposes the end of those whose time is over. They are asked for again after a pause: a proposal may be lost.
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
