use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use super::*;

/// Connections of server 1 by number, and their states.
type States = RefCell<BTreeMap<u64, State>>;

fn look(states: &States) -> impl Fn(ServerId, u64) -> State {
    |_, number| states.borrow().get(&number).copied().unwrap_or(State::Closed)
}

fn opened(count: u64, at: impl Fn(u64) -> Instant) -> (RecentlyUsed, States) {
    let mut recently = RecentlyUsed::default();
    let states = States::default();
    for number in 0..count {
        recently.opened(1, number, at(number));
        states.borrow_mut().insert(number, State::Idle(at(number)));
    }
    (recently, states)
}

#[test]
fn the_connection_that_was_idle_longest_goes_first() {
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let (mut recently, states) = opened(4, at);
    // The first was used again, the second carries something, the third has ended.
    states.borrow_mut().insert(0, State::Idle(at(20)));
    states.borrow_mut().insert(1, State::Busy);
    states.borrow_mut().remove(&2);
    assert_eq!(recently.take_idle(at(30), at(30), look(&states)), Some((1, 3)));
    states.borrow_mut().remove(&3);
    assert_eq!(recently.take_idle(at(30), at(30), look(&states)), Some((1, 0)));
    states.borrow_mut().remove(&0);
    assert_eq!(recently.take_idle(at(30), at(30), look(&states)), None, "the last one is busy");
    assert_eq!(recently.len(), 1, "those that have ended are forgotten");
}

#[test]
fn one_that_is_not_idle_for_long_enough_stays() {
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let (mut recently, states) = opened(3, at);
    assert_eq!(recently.take_idle(at(9), start - Duration::from_secs(1), look(&states)), None);
    assert_eq!(recently.take_idle(at(9), at(0), look(&states)), Some((1, 0)));
    states.borrow_mut().remove(&0);
    assert_eq!(recently.take_idle(at(9), at(0), look(&states)), None);
    assert_eq!(recently.take_idle(at(9), at(2), look(&states)), Some((1, 1)));
}
