use super::*;

fn action(lease: &str, fence: Fence, not_after_ms: u64) -> FencedAction {
    FencedAction {
        lease: lease.into(),
        fence,
        clock: "here".into(),
        not_after_ms,
        number: not_after_ms + fence,
    }
}

#[test]
fn a_duplicated_action_is_accepted_once() {
    let mut guard = FenceGuard::new("here".into());
    guard.learn(FenceFloors::default());
    let first = action("roll", 1, 100);
    assert_eq!(guard.accept(&first, 10), Ok(()));
    assert_eq!(guard.accept(&first, 50), Err(FenceError::AlreadyAccepted));
    assert_eq!(
        guard.accept(&FencedAction { number: 7, ..first.clone() }, 50),
        Ok(()),
        "another action with the same deadline"
    );
    assert_eq!(guard.accept(&first, 100), Err(FenceError::DeadlinePassed));
    for number in 0..MAX_ACCEPTED_ACTIONS as u64 {
        let _ = guard.accept(&FencedAction { number, not_after_ms: 200, ..first.clone() }, 150);
    }
    let extra = FencedAction { number: u64::MAX, not_after_ms: 200, ..first.clone() };
    assert_eq!(guard.accept(&extra, 150), Err(FenceError::TooManyActions));
    assert_eq!(
        guard.accept(&FencedAction { not_after_ms: 300, ..extra }, 200),
        Ok(()),
        "the deadlines of the others have passed"
    );
}

#[test]
fn a_guard_without_fences_accepts_nothing_and_later_no_older_holder() {
    let mut guard = FenceGuard::new("here".into());
    assert_eq!(guard.accept(&action("roll", 9, 100), 0), Err(FenceError::FencesUnknown));
    guard.learn(FenceFloors { others: 6, held: [("roll".to_owned(), 4)].into() });
    assert_eq!(guard.accept(&action("roll", 3, 100), 0), Err(FenceError::StaleFence { lowest_accepted: 4 }));
    assert_eq!(guard.accept(&action("roll", 4, 100), 99), Ok(()));
    assert_eq!(guard.accept(&action("roll", 4, 100), 100), Err(FenceError::DeadlinePassed));
    assert_eq!(
        guard.accept(&action("watch", 5, 100), 0),
        Err(FenceError::StaleFence { lowest_accepted: 6 }),
        "not held"
    );
    assert_eq!(guard.accept(&action("watch", 7, 100), 0), Ok(()));
    assert_eq!(guard.accept(&action("watch", 6, 100), 0), Err(FenceError::StaleFence { lowest_accepted: 7 }));
    let other = FencedAction { clock: "before".into(), ..action("watch", 8, 100) };
    assert_eq!(guard.accept(&other, 0), Err(FenceError::OtherClock));
    assert_eq!(guard.accept(&action("", 8, 100), 0), Err(FenceError::InvalidLeaseName));
}

#[test]
fn handed_over_fences_and_late_updates_never_lower_a_fence() {
    let mut previous = FenceGuard::new("one".into());
    previous.learn(FenceFloors { others: 3, held: BTreeMap::new() });
    let late = FencedAction { clock: "one".into(), ..action("roll", 8, 100) };
    assert_eq!(previous.accept(&late, 0), Ok(()));
    let mut next = FenceGuard::new("here".into());
    next.learn(previous.handed_over().unwrap().clone());
    next.learn(FenceFloors { others: 4, held: [("roll".to_owned(), 2)].into() });
    assert_eq!(next.accept(&action("roll", 7, 100), 0), Err(FenceError::StaleFence { lowest_accepted: 8 }));
    assert_eq!(next.accept(&action("other", 3, 100), 0), Err(FenceError::StaleFence { lowest_accepted: 4 }));
    // A quorum reports the lease as not held, but the fence seen before still counts.
    next.learn(FenceFloors { others: 5, held: BTreeMap::new() });
    assert_eq!(next.accept(&action("roll", 7, 100), 0), Err(FenceError::StaleFence { lowest_accepted: 8 }));
}

#[test]
fn evicted_leases_raise_the_lowest_fence_of_the_others() {
    let mut guard = FenceGuard::new("here".into());
    guard.learn(FenceFloors::default());
    for i in 0..=limits::MAX_LEASES as u64 {
        assert_eq!(guard.accept(&action(&format!("l{i}"), i + 1, 100), 0), Ok(()));
    }
    assert_eq!(guard.handed_over().map(|f| (f.held.len(), f.others)), Some((limits::MAX_LEASES, 1)));
    assert_eq!(guard.accept(&action("l0", 0, 100), 0), Err(FenceError::StaleFence { lowest_accepted: 1 }));
}
