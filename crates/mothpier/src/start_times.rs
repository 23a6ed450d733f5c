//! When the processes of cache servers started, on the node's own clock: what slow start goes by.
//!
//! Lists state a start as Unix time. A wall clock may be wrong or stepped, at this machine or at that of the server, so a
//! stated time is a name for a start rather than a place on this node's clock:
//!
//! - Where a server that the node knows states another start than before, it has just restarted: that begins at this
//!   moment, and ages by the monotonic clock.
//! - Of the start of a server that is new to the node only a least age is known: the time from it to the newest start that
//!   was stated, with what has passed since by the monotonic clock, and no more than the wall clock says. The server is
//!   cold for a bounded time, never for hours.
//! - What started so long ago that no step explains it is warm. Where the careful reading would take many servers for cold
//!   that are warm by the wall clock, the wall clock is believed: a large part of a fleet can't be spared at once.
//!
//! Pure: the clock is handed in.

use std::collections::BTreeMap;

use brassrouter::{Condition, Micros, ServerEntry, ServerId};

use crate::{Mutation, mutation_active};

/// A wall clock is stepped by no more than this.
const LARGEST_STEP: Micros = 2 * 3_600_000_000;
/// The part of the ready servers that may be taken for cold against the wall clock.
const MOST_COLD: f64 = 0.3;
/// Starts that are remembered of a server: a late list may name an earlier one again.
const REMEMBERED: usize = 4;

/// A start of a server's process.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// As it was stated, in microseconds since the Unix epoch.
    stated: Micros,
    /// On the node's clock.
    began: Micros,
}

/// The starts of all cache servers that are known.
#[derive(Debug, Default)]
pub struct StartTimes {
    known: BTreeMap<ServerId, Vec<Start>>,
    /// In how long a server that started is warm.
    warm_up: Micros,
    /// A whole list of discovery has been taken: what a known server states differently is news.
    listed: bool,
    /// The latest time that is sure to have come: a start that was stated, and when it was first stated to this node.
    reference: Option<Start>,
}

impl StartTimes {
    /// None yet, where a server is warm after a time.
    pub fn new(warm_up: Micros) -> Self {
        StartTimes { warm_up, ..StartTimes::default() }
    }

    /// From now on what is told anew has just happened.
    pub fn listed(&mut self) {
        self.listed = true;
    }

    /// Forgets servers that have left.
    pub fn forget(&mut self, left: impl Fn(ServerId) -> bool) {
        self.known.retain(|server, _| !left(*server));
    }

    /// Replaces the stated starts of a list's lines by those on the node's clock.
    pub fn place<'a>(&mut self, now: Micros, lines: impl IntoIterator<Item = &'a mut ServerEntry>) {
        if mutation_active(Mutation::StartByWall) {
            return;
        }
        let mut lines: Vec<&mut ServerEntry> = lines.into_iter().collect();
        let stated = lines.iter().map(|line| line.started).max().unwrap_or_default();
        let newest = stated.max(self.surely_come(now));
        let wall_is_believed = !self.listed && self.careful_takes_many_for_cold(now, newest, &lines);
        for line in &mut lines {
            if line.started == 0 {
                // Up for long: known all the same, and what it states one day is a restart.
                self.known.entry(line.id).or_default();
                continue;
            }
            let stated = line.started;
            line.started = self.began(now, line.id, stated, newest, wall_is_believed);
        }
        // A clock that was stepped ahead must not make all other starts old: no later than this machine's clock.
        if stated > self.surely_come(now) && stated <= now {
            self.reference = Some(Start { stated, began: now });
        }
    }

    /// The latest time, in microseconds since the Unix epoch, that is sure to have come by the starts that were stated.
    fn surely_come(&self, now: Micros) -> Micros {
        self.reference.map_or(0, |start| start.stated + now.saturating_sub(start.began))
    }

    /// When a stated start was, on the node's clock.
    fn began(&mut self, now: Micros, server: ServerId, stated: Micros, newest: Micros, wall: bool) -> Micros {
        let listed = self.listed;
        let restarted = listed && self.known.contains_key(&server);
        let age = if restarted {
            self.restarted_age(now, stated)
        } else {
            self.least_age(now, stated, newest, wall)
        };
        let starts = self.known.entry(server).or_default();
        let begun = now.saturating_sub(age).max(1);
        if let Some(start) = starts.iter_mut().find(|start| start.stated == stated) {
            // Before the first whole list each further one can only show that it is older.
            if !listed {
                start.began = start.began.min(begun);
            }
            return start.began;
        }
        if starts.len() == REMEMBERED {
            starts.remove(0);
        }
        starts.push(Start { stated, began: begun });
        begun
    }

    /// How old the start of a known server is that states another one than before.
    fn restarted_age(&self, now: Micros, stated: Micros) -> Micros {
        now.checked_sub(stated).filter(|age| *age > LARGEST_STEP + self.warm_up).unwrap_or(0)
    }

    /// How old a start is at the least, as of when it is first stated.
    fn least_age(&self, now: Micros, stated: Micros, newest: Micros, wall_is_believed: bool) -> Micros {
        let by_wall = now.checked_sub(stated);
        match by_wall {
            Some(age) if age > LARGEST_STEP + self.warm_up => age,
            Some(age) if wall_is_believed => age,
            Some(age) => age.min(newest.saturating_sub(stated)),
            // It lies ahead: the wall clock is behind, and says nothing.
            None => newest.saturating_sub(stated),
        }
    }

    /// Whether many servers are warm by the wall clock, but cold by the careful reading.
    fn careful_takes_many_for_cold(&self, now: Micros, newest: Micros, lines: &[&mut ServerEntry]) -> bool {
        let differs = |line: &&&mut ServerEntry| {
            let careful = self.least_age(now, line.started, newest, false);
            let by_wall = now.saturating_sub(line.started);
            line.started > 0 && careful < self.warm_up && by_wall >= self.warm_up
        };
        let ready = lines.iter().filter(|line| line.condition == Condition::Ready);
        let cold = ready.clone().filter(differs).count();
        cold as f64 > MOST_COLD * ready.count() as f64
    }
}

#[cfg(test)]
mod tests;
