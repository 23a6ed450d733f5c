//! Counts of calls at the clients' sockets: messages, bytes, answers and how long they took, by kind.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::kind::CallKind;

/// A call as its socket saw it.
#[derive(Clone, Copy, Debug)]
pub struct CallSeen {
    /// What it was.
    pub kind: CallKind,
    /// Bytes written, headers included.
    pub sent: u64,
    /// Bytes read, headers included.
    pub received: u64,
    /// The status of the answer, where one began to come.
    pub status: Option<u16>,
    /// From the beginning of the connection to the last byte of the answer, link delay included.
    pub took: Duration,
}

/// All calls of a kind.
#[derive(Clone, Debug, Default)]
struct Calls {
    count: CallCounts,
    answered_us: Vec<u32>,
}

/// Counts of the calls of a kind. A retry is a call of its own.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Connections on which something was written.
    pub calls: u64,
    /// Answered as asked (status 200).
    pub answered: u64,
    /// Answered by a member that does not lead (421).
    pub redirected: u64,
    /// Answered that it was not committed in time (503).
    pub uncommitted: u64,
    /// A watch that had missed too much (410).
    pub gone: u64,
    /// Any other answer.
    pub other_status: u64,
    /// Without an answer: the connection ended or the client gave up first.
    pub unanswered: u64,
    /// Bytes written.
    pub sent_bytes: u64,
    /// Bytes read.
    pub received_bytes: u64,
}

/// How long something took, ms.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// How many were measured.
    pub count: usize,
    /// Half took no longer.
    pub median_ms: f64,
    /// 99 of 100 took no longer.
    pub p99_ms: f64,
    /// The longest.
    pub longest_ms: f64,
}

impl Latency {
    /// From single values in ms.
    pub fn of(mut all: Vec<f64>) -> Latency {
        all.sort_by(f64::total_cmp);
        let last = all.len().saturating_sub(1);
        let at = |part: f64| {
            let place = ((all.len() as f64 * part) as usize).min(last);
            all.get(place).map_or(0.0, |ms| (ms * 1000.0).round() / 1000.0)
        };
        Latency { count: all.len(), median_ms: at(0.5), p99_ms: at(0.99), longest_ms: at(1.0) }
    }
}

/// What the sockets have counted since the last look.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    calls: BTreeMap<CallKind, Calls>,
    /// Connections that a member refused.
    pub refused_connections: u64,
}

impl Tally {
    /// Counts one more.
    pub fn seen(&mut self, call: CallSeen) {
        let calls = self.calls.entry(call.kind).or_default();
        calls.count.calls += 1;
        calls.count.sent_bytes += call.sent;
        calls.count.received_bytes += call.received;
        match call.status {
            Some(200) => {
                calls.count.answered += 1;
                calls.answered_us.push(call.took.as_micros().min(u32::MAX.into()) as u32);
            }
            Some(421) => calls.count.redirected += 1,
            Some(503) => calls.count.uncommitted += 1,
            Some(410) => calls.count.gone += 1,
            Some(_) => calls.count.other_status += 1,
            None => calls.count.unanswered += 1,
        }
    }

    /// The counts by kind.
    pub fn counts(&self) -> BTreeMap<String, CallCounts> {
        self.calls.iter().map(|(kind, c)| (kind.name().to_owned(), c.count.clone())).collect()
    }

    /// How long the answered calls took, by kind; a watch waits by its nature and is left out.
    pub fn latencies(&self) -> BTreeMap<String, Latency> {
        let timed = self.calls.iter().filter(|(kind, _)| **kind != CallKind::Watch);
        timed
            .map(|(kind, c)| {
                let all = c.answered_us.iter().map(|us| f64::from(*us) / 1000.0).collect();
                (kind.name().to_owned(), Latency::of(all))
            })
            .collect()
    }
}
