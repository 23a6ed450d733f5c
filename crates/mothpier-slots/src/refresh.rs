//! Schedules the requests for slot maps and selects the servers that are queried. No I/O: hints and times
//! go in, servers to query come out.
//!
//! Each request costs the servers work, and a change of the slot map is noticed by all nodes of the tier
//! within the same second. The budget is therefore defined for the whole tier: the rate of requests to the
//! servers from all nodes together, whichever node sends them. A node's share of it determines the interval
//! between its rounds. A hint that the map is stale (a moved slot, a cluster that is down) starts a round
//! after a random delay within that interval, so that nodes that notice the change together spread their
//! requests. Between rounds, redirections correct the table slot by slot; a late round costs a redirection,
//! but no request fails.

use crate::table::{ServerId, ServerView};

/// Milliseconds of the node's own clock.
pub type Millis = u64;

/// How often the interval between rounds may double after rounds without any answer.
const MAX_INTERVAL_DOUBLINGS: u32 = 3;
/// Minimum interval between rounds whatever the budget: answers need time to arrive.
const MIN_ROUND_INTERVAL_MS: Millis = 100;

/// How often servers are queried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Number of servers queried in one round, so that their answers can be compared.
    pub servers_per_round: usize,
    /// Maximum rate of requests per second from all nodes of the tier to all servers.
    pub tier_per_s: f64,
    /// Interval between rounds while nothing hints at a stale map, in milliseconds.
    pub idle_interval_ms: Millis,
    /// Number of nodes in the tier.
    pub nodes: usize,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { servers_per_round: 3, tier_per_s: 40.0, idle_interval_ms: 60_000, nodes: 1 }
    }
}

impl Budget {
    /// Returns the mean interval between rounds of one node that receives hints all the time, in
    /// milliseconds.
    pub fn round_interval(&self) -> Millis {
        let per_round = self.servers_per_round.max(1) as f64 * self.nodes.max(1) as f64;
        ((per_round / self.tier_per_s.max(1e-3) * 1_000.0) as Millis).max(MIN_ROUND_INTERVAL_MS)
    }
}

/// A round of requests in progress.
#[derive(Debug)]
struct Round {
    unanswered: Vec<ServerId>,
    views: Vec<ServerView>,
    mark: u64,
}

/// The outcome of a finished round.
#[derive(Debug, PartialEq)]
pub struct RoundResult {
    /// The readable answers.
    pub views: Vec<ServerView>,
    /// The table's redirect mark when the round started.
    pub mark: u64,
}

/// The refresh schedule of one node.
#[derive(Debug)]
pub struct Refresh {
    budget: Budget,
    rng: oorandom::Rand64,
    /// When the next round starts.
    due: Millis,
    /// The map is known or suspected to be stale; otherwise the next round is a periodic check.
    suspected_stale: bool,
    /// When the last round started; enforces the interval between rounds when hints arrive.
    last_started_at: Option<Millis>,
    round_in_progress: Option<Round>,
    /// Consecutive rounds without any answer, up to [`MAX_INTERVAL_DOUBLINGS`].
    failed_rounds: u32,
    rounds: u64,
}

impl Refresh {
    /// Creates a schedule whose first round is due soon, as there is no map yet.
    pub fn new(budget: Budget, seed: u64, now: Millis) -> Self {
        let rng = oorandom::Rand64::new(u128::from(seed) << 64 | 0x736c_6f74);
        let mut refresh = Refresh {
            budget,
            rng,
            due: Millis::MAX,
            suspected_stale: false,
            last_started_at: None,
            round_in_progress: None,
            failed_rounds: 0,
            rounds: 0,
        };
        refresh.report_stale(now);
        refresh
    }

    /// Returns when the next round is due; `None` while one is in progress.
    pub fn due(&self) -> Option<Millis> {
        self.round_in_progress.is_none().then_some(self.due)
    }

    /// Returns the number of rounds started so far.
    pub fn rounds(&self) -> u64 {
        self.rounds
    }

    /// Reports a hint that the map is stale: the next round is brought forward as far as the budget allows.
    pub fn report_stale(&mut self, now: Millis) {
        if self.suspected_stale {
            return;
        }
        self.suspected_stale = true;
        let round_interval = self.round_interval();
        let earliest = self
            .last_started_at
            .map_or(now, |last_started_at| (last_started_at + round_interval / 2).max(now));
        self.due = self.due.min(earliest + self.random_delay(round_interval));
    }

    /// Starts the round that is due and returns the servers to query, drawn at random from the ready ones.
    pub fn start_round(&mut self, now: Millis, ready: &[ServerId], mark: u64) -> Vec<ServerId> {
        if self.round_in_progress.is_some() || now < self.due {
            return Vec::new();
        }
        (self.last_started_at, self.suspected_stale) = (Some(now), false);
        let mut candidates = ready.to_vec();
        let mut selected = Vec::new();
        while selected.len() < self.budget.servers_per_round && !candidates.is_empty() {
            let index = self.rng.rand_range(0..candidates.len() as u64) as usize;
            selected.push(candidates.swap_remove(index));
        }
        if selected.is_empty() {
            // No server is ready: the server list may not have arrived yet.
            self.finish_round(now, false);
            return selected;
        }
        self.rounds += 1;
        self.round_in_progress = Some(Round { unanswered: selected.clone(), views: Vec::new(), mark });
        selected
    }

    /// Records the answer of a queried server, or `None` if none was readable. Must be called once for each
    /// queried server.
    pub fn record_answer(
        &mut self,
        now: Millis,
        from: ServerId,
        view: Option<ServerView>,
    ) -> Option<RoundResult> {
        let round = self.round_in_progress.as_mut()?;
        let index = round.unanswered.iter().position(|id| *id == from)?;
        round.unanswered.swap_remove(index);
        round.views.extend(view);
        if !round.unanswered.is_empty() {
            return None;
        }
        let Round { views, mark, .. } = self.round_in_progress.take()?;
        self.finish_round(now, !views.is_empty());
        Some(RoundResult { views, mark })
    }

    fn finish_round(&mut self, now: Millis, any_answer: bool) {
        self.failed_rounds =
            if any_answer { 0 } else { (self.failed_rounds + 1).min(MAX_INTERVAL_DOUBLINGS) };
        let last_started_at = self.last_started_at.unwrap_or(now);
        // A hint that arrived during the round may be newer than the answers.
        let retry_soon = self.suspected_stale || !any_answer;
        self.suspected_stale = retry_soon;
        let (min_delay, spread) = if retry_soon {
            (self.round_interval() / 2, self.round_interval())
        } else {
            (self.budget.idle_interval_ms / 2, self.budget.idle_interval_ms)
        };
        self.due = (last_started_at + min_delay).max(now) + self.random_delay(spread);
    }

    fn round_interval(&self) -> Millis {
        self.budget.round_interval() << self.failed_rounds
    }

    fn random_delay(&mut self, limit: Millis) -> Millis {
        self.rng.rand_range(0..limit.max(1))
    }
}

#[cfg(test)]
mod tests;
