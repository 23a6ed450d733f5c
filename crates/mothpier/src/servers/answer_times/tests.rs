use super::*;

const MS: Duration = Duration::from_millis(1);

/// Of a server that has answered in 20 ms and more, often enough.
fn known() -> AnswerTimes {
    let times = AnswerTimes::default();
    for number in 0..KNOWN_AFTER {
        assert!(times.accept((20 + number) * MS, Some(2 * MS)));
    }
    times
}

#[test]
fn what_follows_another_answer_much_too_soon_is_not_believed_and_changes_nothing() {
    let times = known();
    for _ in 0..3 {
        assert!(!times.accept(MS, Some(2 * MS)));
    }
    assert!(times.accept(6 * MS, Some(2 * MS)), "over a quarter of the least");
}

#[test]
fn what_can_be_no_second_answer_is_believed_however_soon_it_comes() {
    assert!(known().accept(MS, None), "nothing was answered before it on its connection");
    assert!(known().accept(MS, Some(SECOND_ANSWER)), "too late for a second answer");
}

#[test]
fn before_its_pace_is_known_every_answer_is_believed() {
    let times = AnswerTimes::default();
    assert!(times.accept(100 * MS, None));
    assert!(times.accept(MS, Some(MS)));
}

#[test]
fn a_server_that_has_become_fast_is_believed_from_its_next_connection_on() {
    let times = known();
    assert!(!times.accept(MS, Some(MS)));
    assert!(times.accept(MS, None));
    assert!(times.accept(MS, Some(MS)));
}

#[test]
fn until_its_own_pace_is_known_that_of_all_servers_counts() {
    let first = known();
    let second = AnswerTimes::beside(&first.all);
    assert!(!second.accept(MS, Some(2 * MS)));
    assert!(second.accept(6 * MS, Some(2 * MS)));
}

#[test]
fn a_connection_rests_in_proportion_to_its_answers_and_not_at_all_behind_fast_ones() {
    assert_eq!(settling_time(20 * MS), Some(5 * MS));
    assert_eq!(settling_time(500 * MS), Some(SETTLES.1));
    assert_eq!(settling_time(3 * MS), None);
}
