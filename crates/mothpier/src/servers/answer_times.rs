//! How soon a cache server can answer. Answers belong to commands by their place alone; a second answer that crosses the
//! next command on its way would be taken for that one's, but comes sooner than the server could have answered it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A second answer to a command comes within this time of the first, or not.
const SECOND_ANSWER: Duration = Duration::from_millis(100);
/// An answer that takes less than this part of the least time seen is not believed where it may be a second one.
const BELIEVED_PART: f64 = 0.25;
/// So many answers make the least time known: of fewer the next one may well be much faster.
const KNOWN_AFTER: u32 = 16;

/// A connection that was answered rests for this part of the time that the answer took, and no longer than the next.
const SETTLES: (f64, Duration) = (0.25, Duration::from_millis(10));
/// Shorter rests are left out: servers that answer as fast as that would be asked much less.
const LEAST_REST: Duration = Duration::from_millis(1);

/// How long a connection rests behind an answer that took so long, so that a second answer comes before the next command
/// is written and is seen for what it is.
pub(super) fn settling_time(took: Duration) -> Option<Duration> {
    let rest = took.mul_f64(SETTLES.0).min(SETTLES.1);
    (rest >= LEAST_REST).then_some(rest)
}

/// The least time of answers that were seen.
#[derive(Default)]
pub(super) struct LeastTime {
    least: Cell<Duration>,
    answers: Cell<u32>,
}

impl LeastTime {
    fn saw(&self, took: Duration) {
        let least = if self.answers.get() == 0 { took } else { self.least.get().min(took) };
        self.least.set(least);
        self.answers.set(self.answers.get().saturating_add(1));
    }

    /// It, once so many answers were seen that the next one will hardly be much faster.
    fn known(&self) -> Option<Duration> {
        (self.answers.get() >= KNOWN_AFTER).then(|| self.least.get())
    }
}

/// The least time in which a server has answered, over all connections to it.
#[derive(Default)]
pub(super) struct AnswerTimes {
    own: LeastTime,
    /// Of all servers, which stands in while its own is not known.
    all: Rc<LeastTime>,
}

impl AnswerTimes {
    /// Of a server beside others.
    pub(super) fn beside(all: &Rc<LeastTime>) -> Self {
        AnswerTimes { own: LeastTime::default(), all: all.clone() }
    }

    /// Whether an answer that came so long after its command was written can belong to it, where the answer before it on
    /// the same connection came so long ago. One that can is taken into the least time.
    pub(super) fn accept(&self, took: Duration, since_last_answer: Option<Duration>) -> bool {
        let may_be_second = since_last_answer.is_some_and(|since| since < SECOND_ANSWER);
        let least = self.own.known().or_else(|| self.all.known());
        let is_too_soon = least.is_some_and(|least| took < least.mul_f64(BELIEVED_PART));
        if may_be_second && is_too_soon {
            return false;
        }
        self.own.saw(took);
        self.all.saw(took);
        true
    }
}

#[cfg(test)]
mod tests;
