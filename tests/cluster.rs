//! The module where the cache servers form a cluster: whom a slot's requests go to, and what a redirection moves.
#![allow(missing_docs)]

mod common;

use brassrouter::*;
use common::*;

/// A node whose servers take writes themselves: there is no origin.
fn through() -> Settings {
    // A quota so large that the gate's tally does not come in between.
    Settings { origin_kind: None, tenants: vec![Tenant { quota_per_s: 1e4 }], ..settings() }
}

fn range(first: u16, last: u16, servers: &[ServerId]) -> SlotRange {
    SlotRange { first, last, servers: servers.to_vec() }
}

/// A node with four servers, of which the given ones hold slot 7.
fn node(settings: Settings, home: &[ServerId]) -> Node {
    let mut node = Node::new(settings, 4);
    node.event(Event::SlotMap { whole: true, ranges: vec![range(0, 99, home)] });
    node
}

fn of_slot(request: Request, slot: u16) -> Request {
    Request { slot: Some(slot), ..request }
}

fn to(to: ServerId, ask: bool) -> Status {
    Status::Redirected { to: Some(to), ask }
}

/// Where the first attempt goes, and whether in the name of a move.
fn sent(actions: &[Action]) -> Option<(ServerId, bool)> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, asking, .. } => Some((*server, *asking)),
        _ => None,
    })
}

#[test]
fn a_slots_owner_leads_the_order_of_its_keys_and_uncovered_slots_keep_their_own() {
    let (mut plain, mut slots) = (Node::new(settings(), 4), node(settings(), &[3]));
    for key in 1..40 {
        let order = sent(&plain.request(read(key, key)));
        assert_eq!(sent(&slots.request(of_slot(read(key, key), 7))), Some((3, false)), "{key}");
        plain.outcome(key, 0, order.unwrap().0, Status::Served);
        slots.outcome(key, 0, 3, Status::Served);
        // Nobody holds slot 100: DESIGN's order goes on for it.
        assert_eq!(sent(&slots.request(of_slot(read(100 + key, key), 100))), order, "{key}");
        slots.outcome(100 + key, 0, order.unwrap().0, Status::Served);
    }
    // A part of the map counts from now on, and leaves the rest as it was.
    slots.event(Event::SlotMap { whole: false, ranges: vec![range(7, 7, &[1])] });
    assert_eq!(sent(&slots.request(of_slot(read(500, 9), 7))), Some((1, false)));
    assert_eq!(sent(&slots.request(of_slot(read(501, 9), 8))), Some((3, false)));
    // A whole one leaves nothing; what it can't mean does no harm.
    slots.event(Event::SlotMap { whole: true, ranges: vec![range(9, u16::MAX, &[2]), range(5, 4, &[2])] });
    assert_ne!(sent(&slots.request(of_slot(read(502, 9), 8))).map(|s| s.0), None);
    assert_eq!(sent(&slots.request(of_slot(read(503, 9), 16_383))), Some((2, false)));
}

#[test]
fn copies_are_read_when_the_owner_is_over_its_bound_and_never_written() {
    let mut slots = node(through(), &[3, 1]);
    let went: Vec<_> = (1..=8).map(|id| sent(&slots.request(of_slot(read(id, 9), 7))).unwrap().0).collect();
    assert_eq!(&went[..4], [3; 4]);
    assert!(went[4..].contains(&1) && went.iter().all(|s| [1, 3].contains(s)), "{went:?}");
    for id in 11..=14 {
        assert_eq!(sent(&slots.request(of_slot(write(id, 2), 7))), Some((3, false)), "a write at a copy");
    }
}

#[test]
fn a_redirection_leads_on_and_costs_no_retry() {
    for (status, asking) in [(to(2, false), false), (to(2, true), true)] {
        for request in [read(1, 9), write(1, 2)] {
            let mut slots = node(through(), &[3]);
            assert_eq!(sent(&slots.request(of_slot(request.clone(), 7))), Some((3, false)));
            assert_eq!(sent(&slots.outcome(1, 0, 3, status)), Some((2, asking)));
            // Told by hearsay: it moves this request and no other.
            slots.outcome(1, 1, 2, Status::Served);
            assert_eq!(sent(&slots.request(of_slot(read(2, 9), 7))), Some((3, false)));
        }
    }
    // A reshuffle redirects everything at once, and the budget of retries is for what went wrong.
    let mut slots = node(through(), &[3]);
    for id in 1..=60 {
        slots.request(of_slot(read(id, id), 7));
        assert_eq!(sent(&slots.outcome(id, 0, 3, to(2, false))), Some((2, false)), "{id}");
        slots.outcome(id, 1, 2, Status::Served);
    }
}

#[test]
fn an_unsafe_write_is_redirected_as_often_as_attempts_allow_and_not_once_after_it_may_have_run() {
    let mut slots = node(through(), &[3]);
    slots.request(of_slot(write(1, 2), 7));
    assert_eq!(sent(&slots.outcome(1, 0, 3, to(2, true))), Some((2, true)));
    let end = slots.outcome(1, 1, 2, Status::Reset);
    assert!(sends(&end) == 0 && failed(&end, 1), "sent again after a reset behind ASK: {end:?}");
    slots.request(of_slot(write(2, 2), 7));
    assert_eq!(sent(&slots.outcome(2, 0, 3, to(2, false))), Some((2, false)));
    let end = slots.outcome(2, 1, 2, Status::TimedOut);
    assert!(sends(&end) == 0 && failed(&end, 2), "{end:?}");
    // A keyed one is redirected after its servers would have forgotten it: it had not run. Once it may have, it ends.
    slots.request(of_slot(write(9, 1), 7));
    slots.pass(220 * MS);
    assert_eq!(sent(&slots.outcome(9, 0, 3, to(2, false))), None, "past its aim it is worth nothing");
    slots.request(of_slot(write(8, 1), 7));
    assert_eq!(sent(&slots.outcome(8, 0, 3, to(2, true))), Some((2, true)));
    let end = slots.outcome(8, 1, 2, Status::Reset);
    assert!(sends(&end) == 0 && failed(&end, 8), "{end:?}");
    // Redirected all the way: nothing ran, so it is refused and not failed.
    slots.request(of_slot(write(3, 2), 7));
    let mut at = 3;
    for attempt in 0..3 {
        at = sent(&slots.outcome(3, attempt, at, to([2, 1, 4][usize::from(attempt)], false))).unwrap().0;
    }
    let end = slots.outcome(3, 3, at, to(3, false));
    assert!(refused(&end, 3), "{end:?}");
}

#[test]
fn a_target_counts_only_where_the_list_has_it_ready() {
    let mut slots = node(through(), &[3]);
    let draining = ServerEntry { condition: Condition::Draining, ..server(2) };
    slots.list(ListKind::Delta, vec![draining]);
    for (n, status) in
        [to(2, false), to(2, true), to(77, false), to(3, false), Status::Redirected { to: None, ask: true }]
            .into_iter()
            .enumerate()
    {
        let id = 1 + n as u64;
        slots.request(of_slot(write(id, 2), 7));
        assert_eq!(sends(&slots.outcome(id, 0, 3, status)), 0, "followed at once: {status:?}");
        // It is postponed, and asks again at the slot's home: the list or the map may know better by then.
        assert_eq!(sent(&slots.pass(20 * MS)), Some((3, false)), "{status:?}");
        slots.outcome(id, 1, 3, Status::Served);
        slots.pass(SECOND);
    }
}

#[test]
fn what_can_be_fetched_is_fetched_where_a_redirection_leads_nowhere() {
    for status in [to(3, false), to(77, true), Status::Redirected { to: None, ask: false }] {
        let mut slots = node(settings(), &[3]);
        slots.request(of_slot(read(1, 9), 7));
        assert_eq!(sent(&slots.outcome(1, 0, 3, status)), Some((ORIGIN, false)), "{status:?}");
    }
    // And two that redirect to each other are asked once each.
    let mut slots = node(settings(), &[3]);
    slots.request(of_slot(read(1, 9), 7));
    assert_eq!(sent(&slots.outcome(1, 0, 3, to(2, false))), Some((2, false)));
    assert_eq!(sent(&slots.outcome(1, 1, 2, to(3, false))), Some((ORIGIN, false)));
}

#[test]
fn a_redirection_that_waits_at_the_gate_is_looked_at_again_when_it_goes() {
    let mut slots = node(through(), &[3]);
    // Half of the gate's limit is out, the last of them redirected.
    let sent = (1..=30).map(|id| sends(&slots.request(of_slot(write(id, 2), 7)))).sum::<usize>();
    assert!((10..30).contains(&sent), "{sent}: the gate is not shut");
    slots.outcome(10, 0, 3, to(2, true));
    // The server that was named begins to drain while the request waits, or has gone already.
    slots.list(ListKind::Delta, vec![ServerEntry { condition: Condition::Draining, ..server(2) }]);
    let later = slots.pass(200 * MS);
    assert!(later.iter().all(|a| !matches!(a, Action::Send { server: 2, .. })), "{later:?}");
}

/// Rule four: a cold server that is made owner of every slot at once is sent no more than it takes, by its keys'
/// order or by redirections.
#[test]
fn a_cold_owner_is_not_pushed_over_by_its_slots() {
    for redirected in [false, true] {
        let settings = Settings { cold_share: 0.1, ..settings() };
        let mut slots = node(settings, &[if redirected { 3 } else { 2 }]);
        let cold = ServerEntry { started: slots.now, ..server(2) };
        slots.list(ListKind::Delta, vec![cold]);
        let mut at_cold = 0;
        for id in 1..=400 {
            slots.pass(5 * MS);
            let Some((mut at, _)) = sent(&slots.request(of_slot(read(id, id), 7))) else { continue };
            let mut attempt = 0;
            while at != ORIGIN && at != 2 && attempt < 3 {
                let next = slots.outcome(id, attempt, at, to(2, false));
                attempt += 1;
                match sent(&next) {
                    Some((next, _)) => at = next,
                    None => break,
                }
            }
            at_cold += u32::from(at == 2);
            slots.outcome(id, attempt, at, Status::Served);
        }
        // 400 requests in 2 s: a warm server's share is 100; the cold one starts at a tenth and is at a third by then.
        assert!(
            (5..=75).contains(&at_cold),
            "redirected {redirected}: {at_cold} of 400 went to the cold owner"
        );
    }
}

#[test]
fn a_redirection_says_nothing_of_a_servers_health_and_shuts_no_gate() {
    let mut slots = node(through(), &[3]);
    for id in 1..=300 {
        slots.pass(10 * MS);
        let Some((at, _)) = sent(&slots.request(of_slot(write(id, 2), 7))) else {
            panic!("{id}: the gate is shut by redirections");
        };
        assert_eq!(at, 3, "{id}: the owner lost keys");
        assert_eq!(sent(&slots.outcome(id, 0, 3, to(2, false))), Some((2, false)), "{id}");
        slots.outcome(id, 1, 2, Status::Served);
    }
}

#[test]
fn a_redirection_of_a_request_that_is_over_moves_nothing() {
    let mut slots = node(through(), &[3]);
    slots.request(of_slot(write(1, 2), 7));
    slots.event(Event::ClientGone(1));
    assert!(slots.outcome(1, 0, 3, to(2, false)).is_empty());
    slots.request(of_slot(write(2, 2), 7));
    assert_eq!(sends(&slots.pass(2 * SECOND)), 0);
    let late = slots.outcome(2, 0, 3, to(2, true));
    assert_eq!(sends(&late), 0, "{late:?}");
}
