use super::*;

fn attempt(made: u32, may_have_run: u32, effect: Effect) -> Attempt {
    Attempt { made, most: 3, may_have_run, effect }
}

#[test]
fn what_may_have_run_is_repeated_only_where_it_has_no_effect() {
    assert_eq!(may_send(&attempt(1, 1, Effect::Safe)), Ok(()));
    assert_eq!(may_send(&attempt(1, 0, Effect::Unsafe)), Ok(()));
    assert_eq!(may_send(&attempt(1, 1, Effect::Unsafe)), Err(Invariant::NoSecondEffect));
}

#[test]
fn attempts_end_with_the_limit_of_the_settings() {
    assert_eq!(may_send(&attempt(2, 0, Effect::Safe)), Ok(()));
    assert_eq!(may_send(&attempt(3, 0, Effect::Safe)), Err(Invariant::AttemptsWithinLimit));
}

#[test]
fn connections_close_between_requests_and_nobody_is_let_in_too_soon() {
    assert_eq!((may_close(0), may_start(true)), (Ok(()), Ok(())));
    assert_eq!(may_close(1), Err(Invariant::CloseBetweenRequests));
    assert_eq!(may_start(false), Err(Invariant::StartKnowsWhoIsOut));
}

#[test]
fn names_are_all_different() {
    let names: std::collections::BTreeSet<&str> = Invariant::ALL.iter().map(|i| i.name()).collect();
    assert_eq!(names.len(), Invariant::ALL.len());
}
