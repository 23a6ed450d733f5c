//! What the far ends saw: requests and departures at clients, arrivals and effects at servers, lists at discovery.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// An attempt that came whole at a cache server or the origin.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's id.
    pub id: String,
    /// Which cache server; `None` for the origin.
    pub server: Option<usize>,
    /// When.
    pub at: Instant,
    /// What it told of the time that is left, in milliseconds.
    pub told_ms: Option<u64>,
}

/// How a request ended at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its client waits still.
    Waits,
    /// A value made for it.
    Served,
    /// A refusal or failure.
    Refused,
    /// The client left, or ended its sending.
    Left,
    /// The connection ended, and its client asked again under the same id.
    AskedAgain,
    /// The connection ended, or no answer came.
    Lost,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its node.
    pub node: usize,
    /// When its last byte was sent.
    pub at: Instant,
    /// When its connection was opened.
    pub connected: Instant,
    /// When the answer to the one ahead of it on its connection came: until then it waited for that one.
    pub ahead: Option<Instant>,
    /// How long its client waits, in milliseconds.
    pub deadline_ms: u64,
    /// How it ended, and when.
    pub end: End,
    /// When it ended.
    pub ended: Option<Instant>,
    /// What its client saw last.
    pub note: String,
}

/// A cache server that wants nothing new, as one node was told.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    /// The node.
    pub node: usize,
    /// The cache server.
    pub server: usize,
    /// Whether it takes requests.
    pub ready: bool,
    /// When.
    pub at: Instant,
}

/// Everything that was seen.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Requests by id.
    pub asked: BTreeMap<String, Asked>,
    /// Attempts.
    pub arrivals: Vec<Arrival>,
    /// How often each request that may run once ran.
    pub effects: BTreeMap<String, usize>,
    /// What nodes were told.
    pub told: Vec<Told>,
    /// Answers that were made for another request.
    pub wrong: Vec<String>,
    /// Bad clients that were kept for too long.
    pub kept: Vec<String>,
    /// What processes did that they should not.
    pub processes: Vec<String>,
    /// When processes of a node were not to be reached: killed, or ending and starting.
    pub down: Vec<(usize, Instant, Instant)>,
    /// When a node was told to end, and when it had.
    pub terminated: Vec<(usize, Instant, Instant)>,
    /// When a node was stopped again and again.
    pub stopped: Vec<(usize, Instant, Instant)>,
    /// When connections of a node were broken on purpose.
    pub broken: Vec<(usize, Instant, Instant)>,
    /// What stand-ins did of their own accord, for the time line.
    pub notes: Vec<(Instant, String)>,
    /// When this program itself did not run.
    pub stalls: Vec<(Instant, Instant)>,
    /// Shares of a cache server that had just started: its own attempts, and the mean of the others.
    pub cold: Vec<(usize, f64)>,
}

impl Ledger {
    /// How long this program did not run between two times.
    pub fn stalled(&self, from: Instant, to: Instant) -> Duration {
        let within = |(begun, ended): &(Instant, Instant)| {
            (*ended).min(to).saturating_duration_since((*begun).max(from))
        };
        self.stalls.iter().map(within).sum()
    }

    /// Whether a span of a node's was touched by one of some spans.
    pub fn touched(spans: &[(usize, Instant, Instant)], node: usize, from: Instant, to: Instant) -> bool {
        spans.iter().any(|(of, begun, ended)| *of == node && *begun <= to && from <= *ended)
    }
}
