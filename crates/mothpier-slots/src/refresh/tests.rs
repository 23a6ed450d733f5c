use super::*;
use crate::view::View;

fn view() -> Option<ServerView> {
    Some((([10, 0, 0, 1], 1).into(), View::default()))
}

const READY: [ServerId; 5] = [1, 2, 3, 4, 5];

/// Runs a tier whose nodes all receive a hint whenever `hints` says so, and returns the times of all
/// requests.
fn request_times(
    budget: Budget,
    hints: impl Fn(Millis) -> bool,
    end: Millis,
    answering: bool,
) -> Vec<Millis> {
    let mut nodes: Vec<Refresh> = (0..budget.nodes).map(|n| Refresh::new(budget, n as u64, 0)).collect();
    let mut requests = Vec::new();
    for now in 0..end {
        for node in &mut nodes {
            if hints(now) {
                node.report_stale(now);
            }
            for id in node.start_round(now, &READY, 0) {
                requests.push(now);
                node.record_answer(now, id, view().filter(|_| answering));
            }
        }
    }
    requests
}

/// Returns the maximum number of requests within any second. The times must be in ascending order.
fn max_per_second(requests: &[Millis]) -> usize {
    let count_from =
        |index: usize| requests[index..].iter().take_while(|time| **time < requests[index] + 1_000).count();
    (0..requests.len()).map(count_from).max().unwrap_or(0)
}

#[test]
fn nodes_that_notice_a_slot_migration_together_spread_their_requests_within_the_budget() {
    for nodes in [1, 12, 60] {
        let budget = Budget { nodes, ..Budget::default() };
        // Continuous hints: the mean rate stays near the budget, and no second has a burst.
        let requests = request_times(budget, |_| true, 20_000, true);
        let mean = requests.len() as f64 / 20.0;
        assert!((20.0..=48.0).contains(&mean), "{nodes} nodes send {mean} requests per second");
        let max = max_per_second(&requests);
        assert!(max <= 100, "{nodes} nodes send {max} requests in one second");
        // One hint at all nodes in the same millisecond after a quiet time: each node queries once, spread
        // over its interval.
        let rare_checks = Budget { idle_interval_ms: 1_000_000, ..budget };
        let requests = request_times(rare_checks, |now| now == 10_000, 24_000, true);
        let after_hint: Vec<Millis> = requests.into_iter().filter(|time| *time >= 10_000).collect();
        assert_eq!(after_hint.len(), nodes * budget.servers_per_round);
        assert!(max_per_second(&after_hint) <= 75, "{nodes}: {}", max_per_second(&after_hint));
    }
}

#[test]
fn unanswered_rounds_back_off_until_one_is_answered() {
    let budget = Budget::default();
    let answering = request_times(budget, |_| true, 60_000, true).len();
    let unanswered = request_times(budget, |_| true, 60_000, false).len();
    assert!(unanswered * 4 < answering, "{unanswered} requests without answers, {answering} with answers");
    assert!(unanswered > 20, "{unanswered} requests: the node must not stop querying");
    let mut node = Refresh::new(budget, 1, 0);
    let mut now = 0;
    for answering in [false, false, false, true] {
        now = node.due().unwrap();
        let servers = node.start_round(now, &READY, 7);
        assert_eq!(servers.len(), 3);
        let results: Vec<_> = servers
            .iter()
            .filter_map(|id| node.record_answer(now, *id, view().filter(|_| answering)))
            .collect();
        assert_eq!(results.len(), 1);
        assert_eq!((results[0].mark, results[0].views.len()), (7, if answering { 3 } else { 0 }));
    }
    assert!(node.due().unwrap() >= now + budget.idle_interval_ms / 2);
}

#[test]
fn rounds_are_rare_without_hints_and_only_answers_of_the_current_round_count() {
    let requests = request_times(Budget::default(), |_| false, 600_000, true);
    assert!((15..=63).contains(&requests.len()), "{} requests in ten minutes", requests.len());
    let mut node = Refresh::new(Budget::default(), 1, 0);
    assert_eq!(node.record_answer(0, 1, view()), None);
    let now = node.due().unwrap();
    assert!(node.start_round(now.wrapping_sub(1), &READY, 0).is_empty() || now == 0);
    let servers = node.start_round(now, &READY, 0);
    assert_eq!(node.due(), None);
    assert!(
        node.start_round(now + 1, &READY, 0).is_empty(),
        "a second round started while one is in progress"
    );
    assert_eq!(node.record_answer(now, 77, view()), None, "a server that was not queried");
    assert_eq!(node.record_answer(now, servers[0], view()), None);
    assert_eq!(node.record_answer(now, servers[0], view()), None, "a second answer of the same server");
    // A hint during the round: the next round follows as soon as the budget allows.
    node.report_stale(now + 1);
    assert_eq!(node.record_answer(now + 2, servers[1], None), None);
    assert_eq!(node.record_answer(now + 2, servers[2], None).map(|result| result.views.len()), Some(1));
    assert!(node.due().unwrap() <= now + 2 * Budget::default().round_interval());
}

#[test]
fn without_ready_servers_the_round_is_retried() {
    let mut node = Refresh::new(Budget::default(), 1, 0);
    let now = node.due().unwrap();
    assert!(node.start_round(now, &[], 0).is_empty());
    let next = node.due().unwrap();
    assert!(next > now && node.start_round(next, &[9], 0) == [9]);
}
