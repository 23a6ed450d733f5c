use super::*;

fn attempt(made: u32, may_have_run: u32, effect: Effect) -> Attempt {
    Attempt { attempts_made: made, max_attempts: 3, may_have_run, effect }
}

#[test]
fn a_request_that_may_have_run_is_repeated_only_without_side_effects() {
    assert_eq!(may_send(&attempt(1, 1, Effect::Safe)), Ok(()));
    assert_eq!(may_send(&attempt(1, 0, Effect::Unsafe)), Ok(()));
    assert_eq!(may_send(&attempt(1, 1, Effect::Unsafe)), Err(Invariant::NoSecondEffect));
}

#[test]
fn attempts_are_limited_by_the_settings() {
    assert_eq!(may_send(&attempt(2, 0, Effect::Safe)), Ok(()));
    assert_eq!(may_send(&attempt(3, 0, Effect::Safe)), Err(Invariant::AttemptsWithinLimit));
}

#[test]
fn connections_close_between_requests_and_no_client_is_accepted_too_soon() {
    assert_eq!((may_close(0), may_start(true)), (Ok(()), Ok(())));
    assert_eq!(may_close(1), Err(Invariant::CloseBetweenRequests));
    assert_eq!(may_start(false), Err(Invariant::StartWithKnownDrains));
}

#[test]
fn names_are_all_different() {
    let names: std::collections::BTreeSet<&str> = Invariant::ALL.iter().map(|i| i.name()).collect();
    assert_eq!(names.len(), Invariant::ALL.len());
}
