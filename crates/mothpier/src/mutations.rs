//! Deliberate faults for mutation testing: each is a mistake that a developer could make, and the simulation
//! or the soak test must detect it. Without the feature `plants`, [`mutation_active`] is constant and the
//! faults are compiled out.

/// A deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A reset by the origin is treated as a failure to connect, so that a call that may have run is sent
    /// again.
    ResetNeverRan,
    /// An answer is written to the client twice.
    DoubleAnswer,
    /// A draining server is treated as ready.
    DrainingIsReady,
    /// Attempts that wait for a connection keep waiting when their server starts to drain.
    DrainKeepsWaiting,
    /// An abandoned attempt is removed from its connection's queue, so that its late answer goes to the next
    /// attempt.
    ShiftedAnswers,
    /// The id of a finished request stays in use.
    LeakedId,
    /// The time-out of an attempt is not set.
    LostGiveUp,
    /// A refusal does not say when to retry.
    BareRefusal,
    /// Attempts that are unsent when their request finishes are sent nevertheless.
    SentAfterAnswer,
    /// Messages of other nodes about the tier are dropped.
    TierUnheard,
    /// After a reload the node keeps using the old discovery address.
    ReloadForgotten,
    /// After SIGTERM the node does not wait for open requests.
    HastyStop,
    /// Status 500 of the origin is treated as if the call had never run.
    ErrorNeverRan,
    /// A cold server counts as warm, since its start time is lost.
    ColdUnknown,
    /// An attempt after `ASKING` whose connection is reset counts as never run, like the redirected one
    /// before it.
    AskNeverRan,
    /// A server that a redirection names is treated as one that the server list reports ready.
    RedirectIsNews,
    /// Of two slot maps the one with the lower epoch is used.
    StaleMapWins,
    /// Answers of a server that no longer accepts new requests are dropped.
    LastWordLost,
    /// A server that DNS still names is used although the server list removed it.
    StaleRecord,
    /// A DNS answer without servers is treated as a fleet without servers.
    EmptyAnswer,
    /// A DNS answer with a wrong id, from any address, is accepted.
    ForgedAnswer,
    /// DNS answers never expire.
    NoLifetimes,
    /// Gossip messages are repeated without end.
    EndlessRumour,
    /// Servers drained by an operator are forgotten when a complete server list arrives.
    HandForgotten,
    /// A drained node keeps its clients' idle connections.
    KeptIdle,
    /// A value that its server truncated is delivered as complete.
    CutIsWhole,
    /// A disconnect is noticed only where commands are read; waiting attempts of the client are sent
    /// nevertheless.
    SentAfterLeft,
    /// The discovery agent is not asked again before the unanswered call has timed out.
    SilentCallWaits,
    /// The origin receives the client's original time limit, however much of it has passed.
    StaleTimeLeft,
    /// The age of a cache server is computed with the wall clock.
    StartByWall,
    /// The first failed `accept` ends the listener's loop.
    AcceptLoopEnds,
    /// Only the first server lists are used, as if the watch were never reopened.
    ListHeardOnce,
    /// A connection is closed without checking for unread data.
    CloseOverUnread,
    /// An abandoned attempt counts as never sent.
    UnsentByGuess,
    /// A client that stops in the middle of a command is not disconnected.
    HalfCommandKept,
    /// Attempts that were reset, timed out or failed count as never sent.
    RepeatsUnsafe,
    /// One answer in a hundred is never sent.
    LostAnswer,
    /// A partially written command counts as written.
    HalfWriteIsWhole,
    /// A request gets one second more than its client waits.
    TimeLeftGrows,
}

impl Mutation {
    /// The mutations that only the soak test with real processes runs.
    pub const SOAK_ONLY: [Mutation; 10] = [
        Mutation::StartByWall,
        Mutation::AcceptLoopEnds,
        Mutation::ListHeardOnce,
        Mutation::CloseOverUnread,
        Mutation::UnsentByGuess,
        Mutation::HalfCommandKept,
        Mutation::RepeatsUnsafe,
        Mutation::LostAnswer,
        Mutation::HalfWriteIsWhole,
        Mutation::TimeLeftGrows,
    ];

    /// The mutations that the simulation runs.
    pub const ALL: [Mutation; 29] = [
        Mutation::ResetNeverRan,
        Mutation::DoubleAnswer,
        Mutation::DrainingIsReady,
        Mutation::DrainKeepsWaiting,
        Mutation::ShiftedAnswers,
        Mutation::LeakedId,
        Mutation::LostGiveUp,
        Mutation::BareRefusal,
        Mutation::SentAfterAnswer,
        Mutation::TierUnheard,
        Mutation::ReloadForgotten,
        Mutation::HastyStop,
        Mutation::ErrorNeverRan,
        Mutation::ColdUnknown,
        Mutation::AskNeverRan,
        Mutation::RedirectIsNews,
        Mutation::StaleMapWins,
        Mutation::LastWordLost,
        Mutation::StaleRecord,
        Mutation::EmptyAnswer,
        Mutation::ForgedAnswer,
        Mutation::NoLifetimes,
        Mutation::EndlessRumour,
        Mutation::HandForgotten,
        Mutation::KeptIdle,
        Mutation::CutIsWhole,
        Mutation::SentAfterLeft,
        Mutation::SilentCallWaits,
        Mutation::StaleTimeLeft,
    ];
}

#[cfg(feature = "plants")]
thread_local! {
    static ACTIVE_MUTATION: std::cell::Cell<Option<Mutation>> = const { std::cell::Cell::new(None) };
}

/// Activates a mutation in all nodes of this thread, or none.
#[cfg(feature = "plants")]
pub fn activate_mutation(mutation: Option<Mutation>) {
    ACTIVE_MUTATION.set(mutation);
}

/// Returns whether a mutation is active.
#[cfg(feature = "plants")]
pub fn mutation_active(mutation: Mutation) -> bool {
    ACTIVE_MUTATION.get() == Some(mutation)
}

/// Returns `false`: mutations need the feature `plants`.
#[cfg(not(feature = "plants"))]
#[inline(always)]
pub const fn mutation_active(_: Mutation) -> bool {
    false
}
