use super::*;

const MS: Duration = Duration::from_millis(1);

/// The answer times of a server whose answers all took at least 20 ms, with enough of them for the minimum to
/// be known.
fn known_times() -> AnswerTimes {
    let times = AnswerTimes::default();
    for number in 0..MIN_SAMPLES {
        assert!(times.accept((20 + number) * MS, Some(2 * MS)));
    }
    times
}

#[test]
fn an_answer_much_too_soon_after_another_one_is_rejected_and_not_recorded() {
    let times = known_times();
    for _ in 0..3 {
        assert!(!times.accept(MS, Some(2 * MS)));
    }
    assert!(times.accept(6 * MS, Some(2 * MS)), "over a quarter of the minimum");
}

#[test]
fn an_answer_that_cannot_be_a_duplicate_is_accepted_however_soon_it_arrives() {
    assert!(known_times().accept(MS, None), "there was no earlier answer on its connection");
    assert!(known_times().accept(MS, Some(DUPLICATE_ANSWER_WINDOW)), "too late for a duplicate answer");
}

#[test]
fn every_answer_is_accepted_until_the_minimum_is_known() {
    let times = AnswerTimes::default();
    assert!(times.accept(100 * MS, None));
    assert!(times.accept(MS, Some(MS)));
}

#[test]
fn a_server_that_became_faster_is_accepted_from_its_next_connection_on() {
    let times = known_times();
    assert!(!times.accept(MS, Some(MS)));
    assert!(times.accept(MS, None));
    assert!(times.accept(MS, Some(MS)));
}

#[test]
fn the_minimum_of_all_servers_is_used_until_the_own_one_is_known() {
    let first = known_times();
    let second = AnswerTimes::with_fallback(&first.all_servers);
    assert!(!second.accept(MS, Some(2 * MS)));
    assert!(second.accept(6 * MS, Some(2 * MS)));
}

#[test]
fn a_connection_settles_in_proportion_to_its_answer_time_and_not_at_all_after_fast_answers() {
    assert_eq!(settling_time(20 * MS), Some(5 * MS));
    assert_eq!(settling_time(500 * MS), Some(MAX_SETTLE_TIME));
    assert_eq!(settling_time(3 * MS), None);
}
