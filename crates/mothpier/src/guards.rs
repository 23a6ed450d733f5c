//! The invariants of sending, repeating, closing and starting, each as a function without I/O. They are
//! checked where the action is taken, regardless of which component decided on it. A violation is counted and
//! logged, and an attempt that would violate one is not made.

use brassrouter::Effect;

/// An invariant that is checked at run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Nothing is sent for a request that has ended.
    SendAfterEnd,
    /// A request has no more attempts than the settings allow.
    AttemptsWithinLimit,
    /// A request that may have run is repeated only if its class has no side effects.
    NoSecondEffect,
    /// A connection is closed only between two requests.
    CloseBetweenRequests,
    /// No client is accepted before it is known which servers of the fleet are drained.
    StartWithKnownDrains,
}

impl Invariant {
    /// All invariants.
    pub const ALL: [Invariant; 5] = [
        Invariant::SendAfterEnd,
        Invariant::AttemptsWithinLimit,
        Invariant::NoSecondEffect,
        Invariant::CloseBetweenRequests,
        Invariant::StartWithKnownDrains,
    ];

    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::SendAfterEnd => "send_after_end",
            Invariant::AttemptsWithinLimit => "attempts_within_limit",
            Invariant::NoSecondEffect => "no_second_effect",
            Invariant::CloseBetweenRequests => "close_between_requests",
            Invariant::StartWithKnownDrains => "start_knows_who_is_out",
        }
    }
}

/// What is known of a request when an attempt of it is about to be made.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Number of attempts made before.
    pub attempts_made: u32,
    /// Maximum number of attempts by the settings.
    pub max_attempts: u32,
    /// Number of attempts that may have run, or may still run.
    pub may_have_run: u32,
    /// The effect of running the request.
    pub effect: Effect,
}

/// Checks whether an attempt may be made.
pub fn may_send(attempt: &Attempt) -> Result<(), Invariant> {
    if attempt.attempts_made >= attempt.max_attempts {
        return Err(Invariant::AttemptsWithinLimit);
    }
    may_repeat(attempt.effect, attempt.may_have_run)
}

/// Checks whether a request may run again.
pub fn may_repeat(effect: Effect, may_have_run: u32) -> Result<(), Invariant> {
    if may_have_run == 0 || effect == Effect::Safe { Ok(()) } else { Err(Invariant::NoSecondEffect) }
}

/// Checks whether the node may close a client's connection on its own initiative, given the number of its
/// unanswered requests.
pub fn may_close(unanswered: usize) -> Result<(), Invariant> {
    if unanswered == 0 { Ok(()) } else { Err(Invariant::CloseBetweenRequests) }
}

/// Checks whether clients may be accepted.
pub fn may_start(drains_known: bool) -> Result<(), Invariant> {
    if drains_known { Ok(()) } else { Err(Invariant::StartWithKnownDrains) }
}

#[cfg(test)]
mod tests;
