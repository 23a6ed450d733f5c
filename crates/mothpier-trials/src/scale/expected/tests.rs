use super::counts_off;
use crate::scale::report::Span;
use crate::scale::scenario::Scenario;
use crate::scale::tally::CallCounts;

fn span(calls: &[(&str, u64)]) -> Span {
    let counts = |calls: u64| CallCounts { calls, answered: calls, ..CallCounts::default() };
    let calls = calls.iter().map(|(kind, n)| ((*kind).to_owned(), counts(*n))).collect();
    Span { calls, ..Span::default() }
}

#[test]
fn a_rest_with_renewals_and_watches_alone_is_as_expected() {
    let rest = span(&[("renew", 40), ("watch", 20), ("drains", 20)]);
    assert!(counts_off(Scenario::Rest, 10, &rest, None).is_empty());
    let talks = span(&[("renew", 40), ("report", 1)]);
    assert_eq!(counts_off(Scenario::Rest, 10, &talks, None), ["rest: 1 report"]);
}

#[test]
fn each_node_reports_a_changed_list_once() {
    let rest = span(&[]);
    let scenario = Scenario::ServerLeaves;
    assert!(counts_off(scenario, 10, &rest, Some(&span(&[("report", 10)]))).is_empty());
    assert_eq!(counts_off(scenario, 10, &rest, Some(&span(&[("report", 11)]))).len(), 1);
    assert_eq!(counts_off(scenario, 10, &rest, Some(&span(&[("report", 10), ("confirm", 1)]))).len(), 1);
}

#[test]
fn each_node_confirms_both_stages_of_each_cache_server_that_is_drained() {
    let event = span(&[("report", 4), ("confirm", 44)]);
    assert!(counts_off(Scenario::Drain, 10, &span(&[]), Some(&event)).is_empty());
}
