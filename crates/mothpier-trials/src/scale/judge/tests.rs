use std::time::{Duration, Instant};

use mothpier_coordination::fleet::messages::{FleetChange, Stage, Subject, Told};

use super::{Cut, Evidence, Reading, Verdict, judge};
use crate::scale::shared::{Event, NodeEvent};

fn granted(drain: u64, subject: Subject) -> FleetChange {
    FleetChange::Drain { told: Told { drain, subject, stage: Stage::Leaving, turn: drain } }
}

fn reading(revision: u64, dead: &[&str], out_most: usize) -> Reading {
    Reading {
        revision,
        missing_nodes: dead.iter().map(|d| (*d).to_owned()).collect(),
        out_most: (out_most, 1),
        ..Reading::default()
    }
}

fn lost(node: usize, at: Instant, opened: Instant) -> Event {
    Event { node, at, what: NodeEvent::SessionLost { opened, why: "late".into() } }
}

#[test]
fn a_run_in_which_nothing_happened_is_good() {
    assert_eq!(judge(&Evidence::default()), Verdict::default());
}

#[test]
fn a_grant_beside_the_dead_counts_them() {
    let mut evidence = Evidence {
        changes: vec![(5, granted(1, Subject::node("a"))), (6, granted(2, Subject::node("b")))],
        readings: vec![reading(4, &["x"], 3), reading(9, &["x"], 3)],
        ..Evidence::default()
    };
    assert_eq!(judge(&evidence), Verdict::default());
    evidence.changes.push((7, granted(3, Subject::node("c"))));
    assert_eq!(judge(&evidence).grants_above_limit.len(), 1);
}

#[test]
fn a_dead_node_that_may_have_come_back_before_the_grant_does_not_count() {
    let evidence = Evidence {
        changes: vec![(5, granted(1, Subject::node("a")))],
        readings: vec![reading(4, &["x"], 1), reading(9, &[], 1)],
        ..Evidence::default()
    };
    assert_eq!(judge(&evidence), Verdict::default());
}

#[test]
fn an_ended_drain_gives_its_place_free() {
    let evidence = Evidence {
        changes: vec![
            (5, granted(1, Subject::server("a"))),
            (6, FleetChange::Ended { drain: 1 }),
            (7, granted(2, Subject::server("b"))),
        ],
        readings: vec![reading(4, &[], 1)],
        ..Evidence::default()
    };
    assert_eq!(judge(&evidence), Verdict::default());
}

#[test]
fn sessions_may_end_by_the_cut_alone() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let cut = Some(Cut { nodes: 2, from: at(10), to: at(20) });
    let good = Evidence { events: vec![lost(1, at(21), at(1))], cut, ..Evidence::default() };
    assert_eq!(judge(&good), Verdict::default());
    for event in [lost(2, at(15), at(1)), lost(1, at(30), at(21)), lost(1, at(9), at(1))] {
        let evidence = Evidence { events: vec![event], cut, ..Evidence::default() };
        assert_eq!(judge(&evidence).sessions_ended_by_load.len(), 1);
    }
}

#[test]
fn a_halt_is_wrong_unless_more_are_missing_than_the_limits_allow() {
    let mut evidence = Evidence {
        changes: vec![(5, FleetChange::Halted { halted: true })],
        readings: vec![reading(4, &["x"], 1)],
        ..Evidence::default()
    };
    assert_eq!(judge(&evidence).halts_not_asked.len(), 1);
    evidence.readings.push(reading(5, &["x", "y"], 1));
    assert_eq!(judge(&evidence), Verdict::default());
}
