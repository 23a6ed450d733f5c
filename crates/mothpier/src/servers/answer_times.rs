//! Minimum answer times of cache servers. Answers are matched to commands by their order alone, so a
//! duplicate answer that arrives after the next command was written would be taken for the answer to that
//! one. It is recognised because it arrives sooner than the server could have answered.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A duplicate answer arrives within this time of the first one, or not at all.
const DUPLICATE_ANSWER_WINDOW: Duration = Duration::from_millis(100);
/// An answer that may be a duplicate is rejected if it took less than this fraction of the minimum time seen.
const MIN_PLAUSIBLE_FRACTION: f64 = 0.25;
/// Number of answers from which the minimum is used; with fewer, the next answer could well be much faster.
const MIN_SAMPLES: u32 = 16;

/// Fraction of the answer time for which a connection settles after an answer.
const SETTLE_FRACTION: f64 = 0.25;
const MAX_SETTLE_TIME: Duration = Duration::from_millis(10);
/// Shorter settling times are skipped: servers that answer this fast would lose much of their throughput.
const MIN_SETTLE_TIME: Duration = Duration::from_millis(1);

/// Returns how long a connection settles after an answer with the given answer time, so that a duplicate
/// answer arrives before the next command is written and is recognised as such.
pub(super) fn settling_time(answer_time: Duration) -> Option<Duration> {
    let settle_time = answer_time.mul_f64(SETTLE_FRACTION).min(MAX_SETTLE_TIME);
    (settle_time >= MIN_SETTLE_TIME).then_some(settle_time)
}

/// The minimum time of the answers seen so far.
#[derive(Default)]
pub(super) struct MinimumTime {
    minimum: Cell<Duration>,
    answers: Cell<u32>,
}

impl MinimumTime {
    fn record(&self, answer_time: Duration) {
        let minimum = if self.answers.get() == 0 { answer_time } else { self.minimum.get().min(answer_time) };
        self.minimum.set(minimum);
        self.answers.set(self.answers.get().saturating_add(1));
    }

    /// Returns the minimum once enough answers were seen that the next one is unlikely to be much faster.
    fn known(&self) -> Option<Duration> {
        (self.answers.get() >= MIN_SAMPLES).then(|| self.minimum.get())
    }
}

/// The minimum answer time of one server, over all connections to it.
#[derive(Default)]
pub(super) struct AnswerTimes {
    own: MinimumTime,
    /// The minimum over all servers, used until the server's own one is known.
    all_servers: Rc<MinimumTime>,
}

impl AnswerTimes {
    /// Creates the answer times of one server, with those of all servers as a fallback.
    pub(super) fn with_fallback(all_servers: &Rc<MinimumTime>) -> Self {
        AnswerTimes { own: MinimumTime::default(), all_servers: all_servers.clone() }
    }

    /// Returns whether an answer that arrived `answer_time` after its command was written can belong to that
    /// command, given the time since the previous answer on the same connection. An accepted answer is
    /// included in the minimum.
    pub(super) fn accept(&self, answer_time: Duration, since_last_answer: Option<Duration>) -> bool {
        let may_be_duplicate = since_last_answer.is_some_and(|since| since < DUPLICATE_ANSWER_WINDOW);
        let minimum = self.own.known().or_else(|| self.all_servers.known());
        let is_too_soon =
            minimum.is_some_and(|minimum| answer_time < minimum.mul_f64(MIN_PLAUSIBLE_FRACTION));
        if may_be_duplicate && is_too_soon {
            return false;
        }
        self.own.record(answer_time);
        self.all_servers.record(answer_time);
        true
    }
}

#[cfg(test)]
mod tests;
