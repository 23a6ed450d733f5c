use super::*;
use crate::view::View;

fn heard() -> Option<ServerView> {
    Some((([10, 0, 0, 1], 1).into(), View::default()))
}

const READY: [ServerId; 5] = [1, 2, 3, 4, 5];

/// Plays a tier whose nodes see a sign at every time given, for so long; the times of all questions.
fn tier(budget: Budget, signs: impl Fn(Millis) -> bool, until: Millis, good: bool) -> Vec<Millis> {
    let mut nodes: Vec<Refresh> = (0..budget.nodes).map(|n| Refresh::new(budget, n as u64, 0)).collect();
    let mut asked = Vec::new();
    for now in 0..until {
        for node in &mut nodes {
            if signs(now) {
                node.sign(now);
            }
            for id in node.begin(now, &READY, 0) {
                asked.push(now);
                node.answered(now, id, heard().filter(|_| good));
            }
        }
    }
    asked
}

/// In any second at most; the times are in order.
fn most_in_a_second(asked: &[Millis]) -> usize {
    let within = |at: usize| asked[at..].iter().take_while(|t| **t < asked[at] + 1_000).count();
    (0..asked.len()).map(within).max().unwrap_or(0)
}

#[test]
fn nodes_that_see_a_reshuffle_together_ask_apart_and_within_the_tiers_budget() {
    for nodes in [1, 12, 60] {
        let budget = Budget { nodes, ..Budget::default() };
        // Signs all the time: the mean keeps the budget, and no second has a stampede.
        let asked = tier(budget, |_| true, 20_000, true);
        let mean = asked.len() as f64 / 20.0;
        assert!((20.0..=48.0).contains(&mean), "{nodes} nodes ask {mean} times a second");
        let most = most_in_a_second(&asked);
        assert!(most <= 100, "{nodes} nodes ask {most} times in one second");
        // One sign after quiet, at all nodes in one millisecond: each asks once, spread over its part.
        let quiet = Budget { calm: 1_000_000, ..budget };
        let asked = tier(quiet, |now| now == 10_000, 24_000, true);
        let after: Vec<Millis> = asked.into_iter().filter(|t| *t >= 10_000).collect();
        assert_eq!(after.len(), nodes * budget.ask);
        assert!(most_in_a_second(&after) <= 75, "{nodes}: {}", most_in_a_second(&after));
    }
}

#[test]
fn rounds_that_nobody_answers_become_rarer_and_one_answer_ends_that() {
    let budget = Budget::default();
    let good = tier(budget, |_| true, 60_000, true).len();
    let bad = tier(budget, |_| true, 60_000, false).len();
    assert!(bad * 4 < good, "{bad} questions where nobody answers, {good} where all do");
    assert!(bad > 20, "{bad}: it must not give up");
    let mut node = Refresh::new(budget, 1, 0);
    let mut now = 0;
    for good in [false, false, false, true] {
        now = node.due().unwrap();
        let ask = node.begin(now, &READY, 7);
        assert_eq!(ask.len(), 3);
        let done: Vec<_> =
            ask.iter().filter_map(|id| node.answered(now, *id, heard().filter(|_| good))).collect();
        assert_eq!(done.len(), 1);
        assert_eq!((done[0].mark, done[0].heard.len()), (7, if good { 3 } else { 0 }));
    }
    assert!(node.due().unwrap() >= now + budget.calm / 2);
}

#[test]
fn without_signs_a_round_is_rare_and_only_answers_of_the_present_round_count() {
    let asked = tier(Budget::default(), |_| false, 600_000, true);
    assert!((15..=63).contains(&asked.len()), "{} in ten minutes", asked.len());
    let mut node = Refresh::new(Budget::default(), 1, 0);
    assert_eq!(node.answered(0, 1, heard()), None);
    let now = node.due().unwrap();
    assert!(node.begin(now.wrapping_sub(1), &READY, 0).is_empty() || now == 0);
    let ask = node.begin(now, &READY, 0);
    assert_eq!(node.due(), None);
    assert!(node.begin(now + 1, &READY, 0).is_empty(), "two rounds at a time");
    assert_eq!(node.answered(now, 77, heard()), None, "a box that was not asked");
    assert_eq!(node.answered(now, ask[0], heard()), None);
    assert_eq!(node.answered(now, ask[0], heard()), None, "the same answer twice");
    // A sign meanwhile: the next round follows as the budget allows.
    node.sign(now + 1);
    assert_eq!(node.answered(now + 2, ask[1], None), None);
    assert_eq!(node.answered(now + 2, ask[2], None).map(|d| d.heard.len()), Some(1));
    assert!(node.due().unwrap() <= now + 2 * Budget::default().gap());
}

#[test]
fn with_nobody_to_ask_it_waits_for_the_list() {
    let mut node = Refresh::new(Budget::default(), 1, 0);
    let now = node.due().unwrap();
    assert!(node.begin(now, &[], 0).is_empty());
    let next = node.due().unwrap();
    assert!(next > now && node.begin(next, &[9], 0) == [9]);
}
