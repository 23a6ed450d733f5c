//! The record of a run: one line of JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::coordinators::Usage;
use super::judge::Verdict;
use super::tally::{CallCounts, Latency};

/// Version of the record.
pub const FORMAT: u32 = 1;

/// What was used and counted in a span of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Span {
    /// Its length, s.
    pub seconds: f64,
    /// Processor time of each coordinator in it, s, by number; memory and store at its end; bytes written in it.
    pub coordinators: Vec<Usage>,
    /// The same of the process with the hollow nodes and the trial's control.
    pub hollow: Usage,
    /// Lines that were committed to the log.
    pub log_lines: u64,
    /// Calls that ended in it, by kind, counted at the hollow nodes' sockets.
    pub calls: BTreeMap<String, CallCounts>,
    /// How long answered calls took by kind, link delay included; without watches.
    pub call_latency: BTreeMap<String, Latency>,
    /// Connections that were refused.
    pub refused_connections: u64,
}

/// A run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Version of the record.
    pub format: u32,
    /// Which scenario.
    pub scenario: String,
    /// What the plan was drawn from.
    pub seed: u64,
    /// The commit of the working tree in which the trial was started.
    pub commit: String,
    /// Hollow nodes.
    pub nodes: usize,
    /// Cache servers.
    pub servers: usize,
    /// Coordinators.
    pub members: usize,
    /// Nodes of the region that is cut off.
    pub region_nodes: usize,
    /// Cache servers of it.
    pub region_servers: usize,
    /// A node's session time, ms.
    pub ttl_ms: u64,
    /// Nodes that started in one second.
    #[serde(default)]
    pub starts_per_s: u64,
    /// Threads of the hollow nodes.
    pub threads: usize,
    /// Number of the coordinator that led at the end of `rest`.
    pub leader: usize,
    /// From the first process to all nodes joined and reported.
    pub start: Span,
    /// Nothing happens.
    pub rest: Span,
    /// What the scenario lets happen; none in `rest`.
    pub event: Option<Span>,
    /// Processor time of all coordinators in `event` beyond what `rest` costs in that time, s.
    pub event_cpu_s: Option<f64>,
    /// The same of the coordinator that cost most.
    pub event_cpu_most_s: Option<f64>,
    /// How long the scenario's steps took.
    pub steps: BTreeMap<String, Latency>,
    /// Sessions of nodes that ended, for whatever cause.
    pub sessions_ended: usize,
    /// Times that a renewal was late by half of a session's time outside of the cut region.
    pub renewals_late: usize,
    /// Watches that ended without an answer, or had missed too much.
    pub watches_lost: usize,
    /// What the fleet refused to nodes, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Halts that the history shows.
    pub halts: usize,
    /// What the judge found.
    pub verdict: Verdict,
}

impl Record {
    /// Whether the judge found nothing.
    pub fn is_good(&self) -> bool {
        self.verdict == Verdict::default()
    }
}
