//! The rules on sending, repeating, closing and starting, each as one function without I/O. They are checked where the
//! thing is done, whatever decided it; what breaks one is counted and logged, and an attempt that would is not made.

use brassrouter::Effect;

/// A rule that must hold at run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Nothing is sent for a request that is over.
    SendAfterEnd,
    /// A request has no more attempts than the settings allow.
    AttemptsWithinLimit,
    /// What may have run is repeated only where its class has no effect.
    NoSecondEffect,
    /// A connection is closed between two requests alone.
    CloseBetweenRequests,
    /// Nobody is let in before it is known who is out.
    StartKnowsWhoIsOut,
}

impl Invariant {
    /// All of them.
    pub const ALL: [Invariant; 5] = [
        Invariant::SendAfterEnd,
        Invariant::AttemptsWithinLimit,
        Invariant::NoSecondEffect,
        Invariant::CloseBetweenRequests,
        Invariant::StartKnowsWhoIsOut,
    ];

    /// Its name in figures and logs.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::SendAfterEnd => "send_after_end",
            Invariant::AttemptsWithinLimit => "attempts_within_limit",
            Invariant::NoSecondEffect => "no_second_effect",
            Invariant::CloseBetweenRequests => "close_between_requests",
            Invariant::StartKnowsWhoIsOut => "start_knows_who_is_out",
        }
    }
}

/// What is known of a request as an attempt of it is about to be made.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Attempts that were made before.
    pub made: u32,
    /// Attempts that the settings allow.
    pub most: u32,
    /// Attempts that may have run, or may yet.
    pub may_have_run: u32,
    /// What running the request does.
    pub effect: Effect,
}

/// Whether an attempt may be made.
pub fn may_send(attempt: &Attempt) -> Result<(), Invariant> {
    if attempt.made >= attempt.most {
        return Err(Invariant::AttemptsWithinLimit);
    }
    may_repeat(attempt.effect, attempt.may_have_run)
}

/// Whether a request may run again.
pub fn may_repeat(effect: Effect, may_have_run: u32) -> Result<(), Invariant> {
    if may_have_run == 0 || effect == Effect::Safe { Ok(()) } else { Err(Invariant::NoSecondEffect) }
}

/// Whether a client's connection may be closed by the node's own choice, where so many of its requests have no answer.
pub fn may_close(unanswered: usize) -> Result<(), Invariant> {
    if unanswered == 0 { Ok(()) } else { Err(Invariant::CloseBetweenRequests) }
}

/// Whether clients may be let in.
pub fn may_start(knows_who_is_out: bool) -> Result<(), Invariant> {
    if knows_who_is_out { Ok(()) } else { Err(Invariant::StartKnowsWhoIsOut) }
}

#[cfg(test)]
mod tests;
