//! Mistakes planted on purpose: each is one that somebody could make here, and the simulation must find it. Without
//! the feature `plants` the question is answered at compile time and nothing of them is in the program.

/// A planted mistake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A reset by the origin is taken for a connection that never came up: what may have run is sent again.
    ResetNeverRan,
    /// An answer to the client is written twice.
    DoubleAnswer,
    /// A server that drains is read as one that is ready.
    DrainingIsReady,
    /// What waits for a connection stays there when its server begins to drain.
    DrainKeepsWaiting,
    /// A given-up attempt is taken off its connection's record, so that its late answer goes to the next.
    ShiftedAnswers,
    /// The id of a request that is over stays taken.
    LeakedId,
    /// The time at which an attempt is given up is not set.
    LostGiveUp,
    /// A refusal tells no time to come back.
    BareRefusal,
    /// What has not been sent when a request is over is sent all the same.
    SentAfterAnswer,
    /// What other nodes tell of the tier is dropped.
    TierUnheard,
    /// After a reload the old discovery goes on being asked.
    ReloadForgotten,
    /// After SIGTERM open requests are not waited for.
    HastyStop,
    /// The origin's 500 is read as if the call had never run.
    ErrorNeverRan,
    /// A cold server counts as warm: the time of its start is lost.
    ColdUnknown,
    /// An attempt behind `ASKING` that is reset counts as never run, as the redirection before it was.
    AskNeverRan,
    /// A server that a redirection names is taken for one that the list has ready.
    RedirectIsNews,
    /// Of two slot maps the one with the lower epoch counts.
    StaleMapWins,
    /// What a server says that wants nothing new any more is dropped.
    LastWordLost,
    /// What DNS still names is used, though the list took it away.
    StaleRecord,
    /// A DNS answer without boxes is taken for a fleet without boxes.
    EmptyAnswer,
    /// A DNS answer with another id, from anybody, is believed.
    ForgedAnswer,
    /// Lifetimes of DNS answers are not kept: what came once counts for good.
    NoLifetimes,
    /// A rumour goes on being told for ever.
    EndlessRumour,
    /// Who is out by hand is forgotten when a whole list comes.
    HandForgotten,
    /// An emptied node keeps its clients' idle connections.
    KeptIdle,
    /// A value that its server cut is given as whole.
    CutIsWhole,
    /// A client that leaves is seen only where its commands are read; what waits is sent on for it all the same.
    SentAfterLeft,
    /// An agent is not asked again before the call that it owes an answer to has had its time.
    SilentCallWaits,
    /// The origin is told the time that the client stated, however much of it has passed.
    StaleTimeLeft,
    /// The start of a cache server is aged by the wall clock.
    StartByWall,
    /// The first failed accept ends the listener's loop.
    AcceptLoopEnds,
    /// After the first lists nothing more is taken from discovery: as if no watch were opened again.
    ListHeardOnce,
    /// A connection is closed without a look whether something has come on it.
    CloseOverUnread,
    /// An attempt that is given up counts as never sent.
    UnsentByGuess,
    /// A client that stops in the middle of a command is kept.
    HalfCommandKept,
    /// What was reset, late or failed counts as never run.
    RepeatsUnsafe,
    /// One answer in a hundred is never given.
    LostAnswer,
    /// A command of which the socket took a part counts as written.
    HalfWriteIsWhole,
    /// A request is given a second more than its client waits.
    TimeLeftGrows,
}

impl Mutation {
    /// Those that only the soak of real processes plays.
    pub const OF_THE_SOAK: [Mutation; 10] = [
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

    /// Those that the simulation plays.
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
    static PLANTED: std::cell::Cell<Option<Mutation>> = const { std::cell::Cell::new(None) };
}

/// Plants a mistake in all nodes of this thread, or none.
#[cfg(feature = "plants")]
pub fn activate_mutation(plant: Option<Mutation>) {
    PLANTED.set(plant);
}

/// Whether a mistake is planted.
#[cfg(feature = "plants")]
pub fn mutation_active(plant: Mutation) -> bool {
    PLANTED.get() == Some(plant)
}

/// Whether a mistake is planted: never here.
#[cfg(not(feature = "plants"))]
#[inline(always)]
pub const fn mutation_active(_: Mutation) -> bool {
    false
}
