use super::*;

fn act(lease: &str, fence: Fence, not_after_ms: u64) -> FencedAction {
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
    let mut obeyer = FenceGuard::new("here".into());
    obeyer.learn(FenceFloors::default());
    let one = act("roll", 1, 100);
    assert_eq!(obeyer.obey(&one, 10), Ok(()));
    assert_eq!(obeyer.obey(&one, 50), Err(FenceError::Done));
    assert_eq!(
        obeyer.obey(&FencedAction { number: 7, ..one.clone() }, 50),
        Ok(()),
        "another order of the same moment"
    );
    assert_eq!(obeyer.obey(&one, 100), Err(FenceError::TooLate));
    for number in 0..MOST_DONE as u64 {
        let _ = obeyer.obey(&FencedAction { number, not_after_ms: 200, ..one.clone() }, 150);
    }
    let over = FencedAction { number: u64::MAX, not_after_ms: 200, ..one.clone() };
    assert_eq!(obeyer.obey(&over, 150), Err(FenceError::TooMany));
    assert_eq!(obeyer.obey(&FencedAction { not_after_ms: 300, ..over }, 200), Ok(()), "their time is over");
}

#[test]
fn one_that_begins_from_nothing_obeys_nobody_and_then_never_an_older_holder() {
    let mut obeyer = FenceGuard::new("here".into());
    assert_eq!(obeyer.obey(&act("roll", 9, 100), 0), Err(FenceError::KnowsNothing));
    obeyer.learn(FenceFloors { others: 6, held: [("roll".to_owned(), 4)].into() });
    assert_eq!(obeyer.obey(&act("roll", 3, 100), 0), Err(FenceError::OldFence { least: 4 }));
    assert_eq!(obeyer.obey(&act("roll", 4, 100), 99), Ok(()));
    assert_eq!(obeyer.obey(&act("roll", 4, 100), 100), Err(FenceError::TooLate));
    assert_eq!(
        obeyer.obey(&act("watch", 5, 100), 0),
        Err(FenceError::OldFence { least: 6 }),
        "held by nobody"
    );
    assert_eq!(obeyer.obey(&act("watch", 7, 100), 0), Ok(()));
    assert_eq!(obeyer.obey(&act("watch", 6, 100), 0), Err(FenceError::OldFence { least: 7 }));
    let other = FencedAction { clock: "before".into(), ..act("watch", 8, 100) };
    assert_eq!(obeyer.obey(&other, 0), Err(FenceError::OtherClock));
    assert_eq!(obeyer.obey(&act("", 8, 100), 0), Err(FenceError::BadName));
}

#[test]
fn what_is_handed_over_and_what_a_late_word_says_lower_nothing() {
    let mut before = FenceGuard::new("one".into());
    before.learn(FenceFloors { others: 3, held: BTreeMap::new() });
    let late = FencedAction { clock: "one".into(), ..act("roll", 8, 100) };
    assert_eq!(before.obey(&late, 0), Ok(()));
    let mut next = FenceGuard::new("here".into());
    next.learn(before.handed_over().unwrap().clone());
    next.learn(FenceFloors { others: 4, held: [("roll".to_owned(), 2)].into() });
    assert_eq!(next.obey(&act("roll", 7, 100), 0), Err(FenceError::OldFence { least: 8 }));
    assert_eq!(next.obey(&act("other", 3, 100), 0), Err(FenceError::OldFence { least: 4 }));
    // Told by a quorum that nobody holds it: what had been seen of it still counts.
    next.learn(FenceFloors { others: 5, held: BTreeMap::new() });
    assert_eq!(next.obey(&act("roll", 7, 100), 0), Err(FenceError::OldFence { least: 8 }));
}

#[test]
fn more_leases_than_are_kept_raise_the_bound_of_the_rest() {
    let mut obeyer = FenceGuard::new("here".into());
    obeyer.learn(FenceFloors::default());
    for i in 0..=limits::LEASES as u64 {
        assert_eq!(obeyer.obey(&act(&format!("l{i}"), i + 1, 100), 0), Ok(()));
    }
    assert_eq!(obeyer.handed_over().map(|f| (f.held.len(), f.others)), Some((limits::LEASES, 1)));
    assert_eq!(obeyer.obey(&act("l0", 0, 100), 0), Err(FenceError::OldFence { least: 1 }));
}
