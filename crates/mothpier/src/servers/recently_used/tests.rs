use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use super::*;

/// Connections of server 1 by number, and their states.
type States = RefCell<BTreeMap<u64, State>>;

fn state_lookup(states: &States) -> impl Fn(ServerId, u64) -> State {
    |_, number| states.borrow().get(&number).copied().unwrap_or(State::Closed)
}

fn opened_connections(count: u64, at: impl Fn(u64) -> Instant) -> (RecentlyUsed, States) {
    let mut recently_used = RecentlyUsed::default();
    let states = States::default();
    for number in 0..count {
        recently_used.opened(1, number, at(number));
        states.borrow_mut().insert(number, State::Idle(at(number)));
    }
    (recently_used, states)
}

#[test]
fn the_connection_idle_longest_is_taken_first() {
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let (mut recently_used, states) = opened_connections(4, at);
    // The first was used again, the second carries a command, the third has ended.
    states.borrow_mut().insert(0, State::Idle(at(20)));
    states.borrow_mut().insert(1, State::Busy);
    states.borrow_mut().remove(&2);
    assert_eq!(recently_used.take_idle(at(30), at(30), state_lookup(&states)), Some((1, 3)));
    states.borrow_mut().remove(&3);
    assert_eq!(recently_used.take_idle(at(30), at(30), state_lookup(&states)), Some((1, 0)));
    states.borrow_mut().remove(&0);
    assert_eq!(recently_used.take_idle(at(30), at(30), state_lookup(&states)), None, "the last one is busy");
    assert_eq!(recently_used.len(), 1, "closed connections are removed");
}

#[test]
fn a_connection_not_idle_for_long_enough_is_kept() {
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let (mut recently_used, states) = opened_connections(3, at);
    assert_eq!(recently_used.take_idle(at(9), start - Duration::from_secs(1), state_lookup(&states)), None);
    assert_eq!(recently_used.take_idle(at(9), at(0), state_lookup(&states)), Some((1, 0)));
    states.borrow_mut().remove(&0);
    assert_eq!(recently_used.take_idle(at(9), at(0), state_lookup(&states)), None);
    assert_eq!(recently_used.take_idle(at(9), at(2), state_lookup(&states)), Some((1, 1)));
}
