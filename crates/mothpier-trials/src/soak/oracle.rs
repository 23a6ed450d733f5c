//! The rules, one check by name each, over what the far ends saw.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ledger::{End, Ledger};
use super::plan::Plan;

/// An attempt may begin so long after its client left.
const AFTER_LEAVING: Duration = Duration::from_millis(100);
/// An attempt may begin so long after its request's final answer: it may have been on its way.
const AFTER_ANSWER: Duration = Duration::from_millis(100);
/// Slack of the time told, in milliseconds.
const TOLD_SLACK_MS: u64 = 150;
/// An answer later than this after the request's time is lost.
const LATE: Duration = Duration::from_millis(500);
/// Clients come for so long after a node was told to end: what is asked on their connections is owed its answer.
const CLIENTS_COME: Duration = Duration::from_millis(400);
/// A connection that a process closes as it ends may be crossed by a request for so long.
const CROSSES: Duration = Duration::from_millis(20);
/// Slack of a drain's grace.
const GRACE_SLACK: Duration = Duration::from_millis(50);
/// A server that has just started gets less than this part of what the others get.
const COLD_PART: f64 = 0.6;
/// Attempts at each of the others, from which on that is judged.
const COLD_COUNTS: f64 = 25.0;

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// What broke it.
    pub what: String,
}

/// All that is broken.
pub fn judge(plan: &Plan, ledger: &Ledger) -> Vec<Violation> {
    let mut broken = Vec::new();
    let mut note = |rule: &'static str, what: String| broken.push(Violation { rule, what });
    for wrong in &ledger.wrong {
        note("wrong_answer", wrong.clone());
    }
    for kept in &ledger.kept {
        note("bad_client_kept", kept.clone());
    }
    for process in &ledger.processes {
        note("process", process.clone());
    }
    for (id, runs) in ledger.effects.iter().filter(|(_, runs)| **runs > 1) {
        note("effect_twice", format!("{id} ran {runs} times"));
    }
    requests(ledger, &mut note);
    attempts(ledger, &mut note);
    drains(plan, ledger, &mut note);
    for (own, others) in ledger.cold.iter().filter(|(_, others)| *others >= COLD_COUNTS) {
        if *own as f64 > COLD_PART * others {
            note(
                "cold_server",
                format!("{own} attempts at a server that had just started, {others:.0} at others"),
            );
        }
    }
    broken
}

fn requests(ledger: &Ledger, note: &mut impl FnMut(&'static str, String)) {
    for (id, asked) in &ledger.asked {
        let until = asked.ended.unwrap_or(asked.at);
        let owed_at_the_end = ledger.terminated.iter().any(|(node, told, ended)| {
            *node == asked.node
                && asked.connected < *told + CLIENTS_COME
                && asked.at + CROSSES < *ended
                && until + CROSSES >= *told
                && until <= *ended + CROSSES
        });
        let is_down = !owed_at_the_end && Ledger::touched(&ledger.down, asked.node, asked.at, until);
        if is_down || Ledger::touched(&ledger.broken, asked.node, asked.at, until) {
            continue;
        }
        let waits = asked.ahead.map_or(Duration::ZERO, |ahead| ahead.saturating_duration_since(asked.at));
        let limit =
            Duration::from_millis(asked.deadline_ms).max(waits) + LATE + ledger.stalled(asked.at, until);
        match asked.end {
            End::Lost => note("lost", format!("{id}: {}", asked.note)),
            End::Waits => note("lost", format!("{id}: no end was seen")),
            End::Served | End::Refused if until.saturating_duration_since(asked.at) > limit => {
                note("late", format!("{id}: answered after {:?}", until - asked.at));
            }
            _ => {}
        }
    }
}

fn attempts(ledger: &Ledger, note: &mut impl FnMut(&'static str, String)) {
    for arrival in &ledger.arrivals {
        let Some(asked) = ledger.asked.get(&arrival.id) else {
            note("unknown_request", format!("{} was never asked", arrival.id));
            continue;
        };
        let stalled = ledger.stalled(asked.at, arrival.at);
        if let Some(ended) = asked.ended {
            let after = arrival.at.saturating_duration_since(ended);
            let stalled = ledger.stalled(ended, arrival.at);
            let who = arrival.server.map_or("the origin".into(), |s| format!("server {s}"));
            if asked.end == End::Left && after > AFTER_LEAVING + stalled {
                note(
                    "sent_after_leaving",
                    format!("{} at {who} {after:?} after its client left", arrival.id),
                );
            }
            let answered = matches!(asked.end, End::Served | End::Refused);
            if answered && after > AFTER_ANSWER + stalled {
                note("sent_after_answer", format!("{} at {who} {after:?} after its answer", arrival.id));
            }
        }
        // A client that asked again sent the same id on a new connection.
        if let Some(told_ms) = arrival.told_ms.filter(|_| asked.end != End::AskedAgain) {
            let spent =
                arrival.at.saturating_duration_since(asked.at).saturating_sub(stalled).as_millis() as u64;
            let left = asked.deadline_ms.saturating_sub(spent);
            if told_ms > left + TOLD_SLACK_MS {
                note("deadline_too_long", format!("{}: {told_ms} ms told, {left} ms left", arrival.id));
            }
        }
    }
}

fn drains(plan: &Plan, ledger: &Ledger, note: &mut impl FnMut(&'static str, String)) {
    let grace = Duration::from_millis(plan.grace_ms) + GRACE_SLACK;
    // What each node was told last of each cache server, in the order of time.
    let mut said: BTreeMap<(usize, usize), Vec<(std::time::Instant, bool)>> = BTreeMap::new();
    for told in &ledger.told {
        said.entry((told.node, told.server)).or_default().push((told.at, told.ready));
    }
    for arrival in &ledger.arrivals {
        let (Some(server), Some(asked)) = (arrival.server, ledger.asked.get(&arrival.id)) else { continue };
        let Some(words) = said.get(&(asked.node, server)) else { continue };
        let Some(last) = words.iter().rposition(|(at, _)| *at <= arrival.at) else { continue };
        if words[last].1 {
            continue;
        }
        // Since when it has been told without a break.
        let since =
            words[..=last].iter().rev().take_while(|(_, ready)| !ready).last().map_or(words[last].0, |w| w.0);
        let after = arrival.at.saturating_duration_since(since);
        let excused = Ledger::touched(&ledger.down, asked.node, since, arrival.at);
        if !excused && after > grace + ledger.stalled(since, arrival.at) {
            note("sent_to_drained", format!("{} at server {server} {after:?} after the word", arrival.id));
        }
    }
}
