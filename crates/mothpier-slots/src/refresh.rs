//! When a node asks its boxes for their slot map, and which of them. Pure: signs and times go in, boxes to ask come out.
//!
//! The boxes pay for every question, and a reshuffle shows itself to all nodes of the tier within the same second. So the
//! budget is the tier's: so many questions a second reach the boxes from all nodes together, whoever asks, and each
//! node's part of it is what is left between two of its rounds. A sign (a slot that moved, a cluster that is down) is
//! answered after a time drawn from that whole part, so that nodes that saw it together ask apart. Between rounds the
//! redirections themselves keep the table right, slot by slot; a round that is late costs a hop, not an answer.

use crate::table::{ServerId, ServerView};

/// Milliseconds of a clock of the node's own.
pub type Millis = u64;

/// After rounds without any answer the time to the next grows up to so many doublings.
const MOST_DOUBLINGS: u32 = 3;
/// Between two rounds, however large the budget, milliseconds: answers take some time to come.
const LEAST_GAP: Millis = 100;

/// How often boxes are asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Boxes that are asked in one round: their answers are compared.
    pub ask: usize,
    /// Questions a second that all nodes of the tier may put to all boxes together.
    pub tier_per_s: f64,
    /// Without any sign a round is made after this time, milliseconds.
    pub calm: Millis,
    /// Nodes in the tier.
    pub nodes: usize,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { ask: 3, tier_per_s: 40.0, calm: 60_000, nodes: 1 }
    }
}

impl Budget {
    /// The mean time between two rounds of one node that has signs all the time, milliseconds.
    pub fn gap(&self) -> Millis {
        let per_round = self.ask.max(1) as f64 * self.nodes.max(1) as f64;
        ((per_round / self.tier_per_s.max(1e-3) * 1_000.0) as Millis).max(LEAST_GAP)
    }
}

/// A round of questions that is out.
#[derive(Debug)]
struct Round {
    waiting: Vec<ServerId>,
    heard: Vec<ServerView>,
    mark: u64,
}

/// What a finished round brought.
#[derive(Debug, PartialEq)]
pub struct RoundResult {
    /// The answers that could be read.
    pub heard: Vec<ServerView>,
    /// The table's mark as the round began.
    pub mark: u64,
}

/// When and whom one node asks.
#[derive(Debug)]
pub struct Refresh {
    budget: Budget,
    dice: oorandom::Rand64,
    /// When the next round begins.
    due: Millis,
    /// The round that is due answers a sign; else it only looks whether all is as it was.
    signed: bool,
    /// When the last round began, so that no sign brings the next too soon.
    begun: Option<Millis>,
    out: Option<Round>,
    /// Rounds in a row that nobody answered.
    failed: u32,
    rounds: u64,
}

impl Refresh {
    /// A node begins to ask, as if it had a sign: it knows nothing yet.
    pub fn new(budget: Budget, seed: u64, now: Millis) -> Self {
        let dice = oorandom::Rand64::new(u128::from(seed) << 64 | 0x736c_6f74);
        let mut refresh = Refresh {
            budget,
            dice,
            due: Millis::MAX,
            signed: false,
            begun: None,
            out: None,
            failed: 0,
            rounds: 0,
        };
        refresh.sign(now);
        refresh
    }

    /// When the next round is due; `None` while one is out.
    pub fn due(&self) -> Option<Millis> {
        self.out.is_none().then_some(self.due)
    }

    /// Rounds begun so far.
    pub fn rounds(&self) -> u64 {
        self.rounds
    }

    /// Something shows that the map is old: the next round is drawn nearer, never nearer than the budget allows.
    pub fn sign(&mut self, now: Millis) {
        if self.signed {
            return;
        }
        self.signed = true;
        let gap = self.gap();
        let earliest = self.begun.map_or(now, |begun| (begun + gap / 2).max(now));
        self.due = self.due.min(earliest + self.within(gap));
    }

    /// Begins the round that is due: the boxes to ask, drawn from those that the list has ready.
    pub fn begin(&mut self, now: Millis, ready: &[ServerId], mark: u64) -> Vec<ServerId> {
        if self.out.is_some() || now < self.due {
            return Vec::new();
        }
        (self.begun, self.signed) = (Some(now), false);
        let mut left = ready.to_vec();
        let mut ask = Vec::new();
        while ask.len() < self.budget.ask && !left.is_empty() {
            let at = self.dice.rand_range(0..left.len() as u64) as usize;
            ask.push(left.swap_remove(at));
        }
        if ask.is_empty() {
            // Nobody to ask yet: the list comes late, too.
            self.ended(now, false);
            return ask;
        }
        self.rounds += 1;
        self.out = Some(Round { waiting: ask.clone(), heard: Vec::new(), mark });
        ask
    }

    /// The answer of a box that was asked, or none that could be read. Every question ends with one or the other.
    pub fn answered(
        &mut self,
        now: Millis,
        from: ServerId,
        heard: Option<ServerView>,
    ) -> Option<RoundResult> {
        let round = self.out.as_mut()?;
        let at = round.waiting.iter().position(|id| *id == from)?;
        round.waiting.swap_remove(at);
        round.heard.extend(heard);
        if !round.waiting.is_empty() {
            return None;
        }
        let Round { heard, mark, .. } = self.out.take()?;
        self.ended(now, !heard.is_empty());
        Some(RoundResult { heard, mark })
    }

    fn ended(&mut self, now: Millis, good: bool) {
        self.failed = if good { 0 } else { (self.failed + 1).min(MOST_DOUBLINGS) };
        let begun = self.begun.unwrap_or(now);
        // A sign that came while the questions were out may be newer than the answers.
        let again = self.signed || !good;
        self.signed = again;
        let (rest, spread) =
            if again { (self.gap() / 2, self.gap()) } else { (self.budget.calm / 2, self.budget.calm) };
        self.due = (begun + rest).max(now) + self.within(spread);
    }

    fn gap(&self) -> Millis {
        self.budget.gap() << self.failed
    }

    fn within(&mut self, span: Millis) -> Millis {
        self.dice.rand_range(0..span.max(1))
    }
}

#[cfg(test)]
mod tests;
