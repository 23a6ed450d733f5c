//! Counts that follow from a scenario and its size alone, whatever the machine does. Pure.

use std::collections::BTreeMap;

use super::report::Span;
use super::scenario::{DRAINS_IN_A_ROW, Scenario};
use super::tally::CallCounts;

/// Calls that nobody has a reason for while nothing happens.
const SILENT_AT_REST: [&str; 5] = ["open", "join", "report", "confirm", "fleet"];
/// Stages of a drain that are confirmed: leaving and returning.
const CONFIRMED_STAGES: usize = 2;

fn calls(of: &BTreeMap<String, CallCounts>, kind: &str) -> u64 {
    of.get(kind).map_or(0, |counts| counts.calls)
}

fn answered(of: &BTreeMap<String, CallCounts>, kind: &str) -> u64 {
    of.get(kind).map_or(0, |counts| counts.answered)
}

/// Answered reports and confirmations of a scenario's event; `None` where chance has a part in them.
fn expected(scenario: Scenario, nodes: usize) -> Option<(u64, u64)> {
    match scenario {
        Scenario::Rest => None,
        // Each node reports the list once.
        Scenario::ServerLeaves => Some((nodes as u64, 0)),
        // Each node confirms both stages of a cache server's drain, and a drained node those of its own, which it
        // also reports as ready no more and ready again.
        Scenario::Drain => {
            let reports = DRAINS_IN_A_ROW * CONFIRMED_STAGES;
            Some((reports as u64, (reports * (nodes + 1)) as u64))
        }
        Scenario::RegionCut => None,
    }
}

/// What was counted otherwise than the scenario asks for.
pub fn counts_off(scenario: Scenario, nodes: usize, rest: &Span, event: Option<&Span>) -> Vec<String> {
    let silent = SILENT_AT_REST.iter().map(|kind| (*kind, calls(&rest.calls, kind)));
    let mut off: Vec<String> =
        silent.filter(|(_, calls)| *calls > 0).map(|(kind, calls)| format!("rest: {calls} {kind}")).collect();
    let Some(((reports, confirms), event)) = expected(scenario, nodes).zip(event) else { return off };
    for (kind, wanted) in [("report", reports), ("confirm", confirms)] {
        let counted = answered(&event.calls, kind);
        if counted != wanted {
            off.push(format!("event: {counted} {kind} answered instead of {wanted}"));
        }
    }
    off
}

#[cfg(test)]
mod tests;
