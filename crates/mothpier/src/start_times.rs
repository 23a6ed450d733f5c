//! When the processes of cache servers started, on the node's own clock; slow start is based on it.
//!
//! Server lists state a start as Unix time. The wall clock of this machine or of the server may be wrong or
//! stepped, so a stated time identifies a start rather than giving its time on this node's clock:
//!
//! - If a server that the node knows states another start than before, it has just restarted: the start is
//!   now, and its age is measured with the monotonic clock.
//! - For a server that is new to the node, only a lower bound of the age is known: the time from its start to
//!   the newest start that was stated, plus what has passed since by the monotonic clock, but no more than
//!   the age by the wall clock. So the server counts as cold for a bounded time, never for hours.
//! - A start so long ago that no clock step explains it counts as warm. If the lower bound would make many
//!   servers cold that are warm by the wall clock, the wall clock is trusted, since a large part of a fleet
//!   cannot be spared at once.
//!
//! No I/O: the caller passes the time.

use std::collections::BTreeMap;

use brassrouter::{Condition, Micros, ServerEntry, ServerId};

use crate::{Mutation, mutation_active};

/// Maximum step of a wall clock that is assumed, in microseconds.
const MAX_CLOCK_STEP: Micros = 2 * 3_600_000_000;
/// Maximum fraction of the ready servers that may count as cold against the wall clock.
const MAX_COLD_FRACTION: f64 = 0.3;
/// Number of starts remembered for each server: a late list may state an earlier one again.
const MAX_STARTS_PER_SERVER: usize = 4;

/// A start of a server's process.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// The stated time, in microseconds since the Unix epoch.
    stated: Micros,
    /// The time on the node's clock.
    node_time: Micros,
}

/// The starts of all known cache servers.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts_by_server: BTreeMap<ServerId, Vec<Start>>,
    /// How long after its start a server is warm.
    warm_up: Micros,
    /// A complete list from discovery has been applied, so a new start of a known server means a restart.
    complete_list_seen: bool,
    /// The newest plausible start, with the time at which it was first stated to this node. It gives a lower
    /// bound of the current time.
    reference: Option<Start>,
}

impl StartTimes {
    /// Creates an empty set, for servers that are warm `warm_up` after their start.
    pub fn new(warm_up: Micros) -> Self {
        StartTimes { warm_up, ..StartTimes::default() }
    }

    /// Records that a complete list was applied: starts stated from now on have just happened.
    pub fn complete_list_applied(&mut self) {
        self.complete_list_seen = true;
    }

    /// Removes servers that have left.
    pub fn forget(&mut self, has_left: impl Fn(ServerId) -> bool) {
        self.starts_by_server.retain(|server, _| !has_left(*server));
    }

    /// Replaces the stated starts of list entries by those on the node's clock.
    pub fn convert_starts<'a>(
        &mut self,
        now: Micros,
        server_entries: impl IntoIterator<Item = &'a mut ServerEntry>,
    ) {
        if mutation_active(Mutation::StartByWall) {
            return;
        }
        let mut server_entries: Vec<&mut ServerEntry> = server_entries.into_iter().collect();
        let stated = server_entries.iter().map(|server_entry| server_entry.started).max().unwrap_or_default();
        let newest = stated.max(self.current_time_bound(now));
        let trust_wall_clock =
            !self.complete_list_seen && self.bound_makes_many_cold(now, newest, &server_entries);
        for server_entry in &mut server_entries {
            if server_entry.started == 0 {
                // It has been up for long. It is recorded as known, so that a start stated later counts as a
                // restart.
                self.starts_by_server.entry(server_entry.id).or_default();
                continue;
            }
            let stated = server_entry.started;
            server_entry.started =
                self.node_start_time(now, server_entry.id, stated, newest, trust_wall_clock);
        }
        // A clock that was stepped ahead must not make all other starts old, so the reference is never later
        // than this machine's clock.
        if stated > self.current_time_bound(now) && stated <= now {
            self.reference = Some(Start { stated, node_time: now });
        }
    }

    /// Returns a lower bound of the current time, in microseconds since the Unix epoch, from the starts
    /// stated so far.
    fn current_time_bound(&self, now: Micros) -> Micros {
        self.reference.map_or(0, |start| start.stated + now.saturating_sub(start.node_time))
    }

    /// Converts a stated start to the node's clock.
    fn node_start_time(
        &mut self,
        now: Micros,
        server: ServerId,
        stated: Micros,
        newest: Micros,
        trust_wall_clock: bool,
    ) -> Micros {
        let after_complete_list = self.complete_list_seen;
        let restarted = after_complete_list && self.starts_by_server.contains_key(&server);
        let age = if restarted {
            self.restarted_age(now, stated)
        } else {
            self.least_age(now, stated, newest, trust_wall_clock)
        };
        let starts = self.starts_by_server.entry(server).or_default();
        let start_time = now.saturating_sub(age).max(1);
        if let Some(start) = starts.iter_mut().find(|start| start.stated == stated) {
            // Before the first complete list, repeated statements can only show that the start is older.
            if !after_complete_list {
                start.node_time = start.node_time.min(start_time);
            }
            return start.node_time;
        }
        if starts.len() == MAX_STARTS_PER_SERVER {
            starts.remove(0);
        }
        starts.push(Start { stated, node_time: start_time });
        start_time
    }

    /// Returns the age of a known server's start that differs from the one stated before.
    fn restarted_age(&self, now: Micros, stated: Micros) -> Micros {
        now.checked_sub(stated).filter(|age| *age > MAX_CLOCK_STEP + self.warm_up).unwrap_or(0)
    }

    /// Returns a lower bound of the age of a start when it is first stated.
    fn least_age(&self, now: Micros, stated: Micros, newest: Micros, trust_wall_clock: bool) -> Micros {
        let wall_age = now.checked_sub(stated);
        match wall_age {
            Some(age) if age > MAX_CLOCK_STEP + self.warm_up => age,
            Some(age) if trust_wall_clock => age,
            Some(age) => age.min(newest.saturating_sub(stated)),
            // It lies in the future: the wall clock is behind and gives no information.
            None => newest.saturating_sub(stated),
        }
    }

    /// Returns whether many servers are warm by the wall clock, but cold by the lower bound of their age.
    fn bound_makes_many_cold(
        &self,
        now: Micros,
        newest: Micros,
        server_entries: &[&mut ServerEntry],
    ) -> bool {
        let differs = |server_entry: &&&mut ServerEntry| {
            let age_bound = self.least_age(now, server_entry.started, newest, false);
            let wall_age = now.saturating_sub(server_entry.started);
            server_entry.started > 0 && age_bound < self.warm_up && wall_age >= self.warm_up
        };
        let ready = server_entries.iter().filter(|server_entry| server_entry.condition == Condition::Ready);
        let cold = ready.clone().filter(differs).count();
        cold as f64 > MAX_COLD_FRACTION * ready.count() as f64
    }
}

#[cfg(test)]
mod tests;
