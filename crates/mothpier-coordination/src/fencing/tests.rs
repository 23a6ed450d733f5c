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
fn an_order_that_comes_twice_is_done_once() {
    let mut guard = FenceGuard::new("here".into());
    guard.learn(FenceFloors::default());
    let one = action("roll", 1, 100);
    assert_eq!(guard.accept(&one, 10), Ok(()));
    assert_eq!(guard.accept(&one, 50), Err(FenceError::AlreadyAccepted));
    assert_eq!(
        guard.accept(&FencedAction { number: 7, ..one.clone() }, 50),
        Ok(()),
        "another order of the same moment"
    );
    assert_eq!(guard.accept(&one, 100), Err(FenceError::DeadlinePassed));
    for number in 0..MAX_ACCEPTED_ACTIONS as u64 {
        let _ = guard.accept(&FencedAction { number, not_after_ms: 200, ..one.clone() }, 150);
    }
    let over = FencedAction { number: u64::MAX, not_after_ms: 200, ..one.clone() };
    assert_eq!(guard.accept(&over, 150), Err(FenceError::TooManyActions));
    assert_eq!(guard.accept(&FencedAction { not_after_ms: 300, ..over }, 200), Ok(()), "their time is over");
}

#[test]
fn one_that_begins_from_nothing_obeys_nobody_and_then_never_an_older_holder() {
    let mut guard = FenceGuard::new("here".into());
    assert_eq!(guard.accept(&action("roll", 9, 100), 0), Err(FenceError::FencesUnknown));
    guard.learn(FenceFloors { others: 6, held: [("roll".to_owned(), 4)].into() });
    assert_eq!(guard.accept(&action("roll", 3, 100), 0), Err(FenceError::StaleFence { lowest_accepted: 4 }));
    assert_eq!(guard.accept(&action("roll", 4, 100), 99), Ok(()));
    assert_eq!(guard.accept(&action("roll", 4, 100), 100), Err(FenceError::DeadlinePassed));
    assert_eq!(
        guard.accept(&action("watch", 5, 100), 0),
        Err(FenceError::StaleFence { lowest_accepted: 6 }),
        "held by nobody"
    );
    assert_eq!(guard.accept(&action("watch", 7, 100), 0), Ok(()));
    assert_eq!(guard.accept(&action("watch", 6, 100), 0), Err(FenceError::StaleFence { lowest_accepted: 7 }));
    let other = FencedAction { clock: "before".into(), ..action("watch", 8, 100) };
    assert_eq!(guard.accept(&other, 0), Err(FenceError::OtherClock));
    assert_eq!(guard.accept(&action("", 8, 100), 0), Err(FenceError::InvalidLeaseName));
}

#[test]
fn what_is_handed_over_and_what_a_late_word_says_lower_nothing() {
    let mut previous = FenceGuard::new("one".into());
    previous.learn(FenceFloors { others: 3, held: BTreeMap::new() });
    let late = FencedAction { clock: "one".into(), ..action("roll", 8, 100) };
    assert_eq!(previous.accept(&late, 0), Ok(()));
    let mut next = FenceGuard::new("here".into());
    next.learn(previous.handed_over().unwrap().clone());
    next.learn(FenceFloors { others: 4, held: [("roll".to_owned(), 2)].into() });
    assert_eq!(next.accept(&action("roll", 7, 100), 0), Err(FenceError::StaleFence { lowest_accepted: 8 }));
    assert_eq!(next.accept(&action("other", 3, 100), 0), Err(FenceError::StaleFence { lowest_accepted: 4 }));
    // Told by a quorum that nobody holds it: what had been seen of it still counts.
    next.learn(FenceFloors { others: 5, held: BTreeMap::new() });
    assert_eq!(next.accept(&action("roll", 7, 100), 0), Err(FenceError::StaleFence { lowest_accepted: 8 }));
}

#[test]
fn more_leases_than_are_kept_raise_the_bound_of_the_rest() {
    let mut guard = FenceGuard::new("here".into());
    guard.learn(FenceFloors::default());
    for i in 0..=limits::MAX_LEASES as u64 {
        assert_eq!(guard.accept(&action(&format!("l{i}"), i + 1, 100), 0), Ok(()));
    }
    assert_eq!(guard.handed_over().map(|f| (f.held.len(), f.others)), Some((limits::MAX_LEASES, 1)));
    assert_eq!(guard.accept(&action("l0", 0, 100), 0), Err(FenceError::StaleFence { lowest_accepted: 1 }));
}
