//! The decision module in front of a cluster: routing by slot map, and redirections.
#![allow(missing_docs)]

mod common;

use brassrouter::*;
use common::*;

/// Returns settings without an origin: the cache servers take the writes.
fn without_origin() -> Settings {
    // The quota is so large that the gate's limit on the call rate is not reached.
    Settings { origin_kind: None, tenants: vec![Tenant { quota_per_s: 1e4 }], ..settings() }
}

fn range(first: u16, last: u16, servers: &[ServerId]) -> SlotRange {
    SlotRange { first, last, servers: servers.to_vec() }
}

/// Returns a node with four servers, of which `holders` (the owner, then its replicas) hold slots 0 to 99.
fn node_with_slots(settings: Settings, holders: &[ServerId]) -> Node {
    let mut node = Node::new(settings, 4);
    node.deliver(Event::SlotMap { complete: true, ranges: vec![range(0, 99, holders)] });
    node
}

fn in_slot(request: Request, slot: u16) -> Request {
    Request { slot: Some(slot), ..request }
}

fn redirect(to: ServerId, ask: bool) -> Status {
    Status::Redirected { to: Some(to), ask }
}

/// Returns the server of the first attempt, and whether the attempt announces itself with `ASKING`.
fn first_send(actions: &[Action]) -> Option<(ServerId, bool)> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, asking, .. } => Some((*server, *asking)),
        _ => None,
    })
}

#[test]
fn keys_go_to_their_slots_owner_and_in_unassigned_slots_by_rendezvous_order() {
    let (mut plain, mut node) = (Node::new(settings(), 4), node_with_slots(settings(), &[3]));
    for key in 1..40 {
        let order = first_send(&plain.request(read(key, key)));
        assert_eq!(first_send(&node.request(in_slot(read(key, key), 7))), Some((3, false)), "{key}");
        plain.outcome(key, 0, order.unwrap().0, Status::Served);
        node.outcome(key, 0, 3, Status::Served);
        // No server holds slot 100: its keys keep their rendezvous order.
        assert_eq!(first_send(&node.request(in_slot(read(100 + key, key), 100))), order, "{key}");
        node.outcome(100 + key, 0, order.unwrap().0, Status::Served);
    }
    // A partial map takes effect at once and leaves the other slots unchanged.
    node.deliver(Event::SlotMap { complete: false, ranges: vec![range(7, 7, &[1])] });
    assert_eq!(first_send(&node.request(in_slot(read(500, 9), 7))), Some((1, false)));
    assert_eq!(first_send(&node.request(in_slot(read(501, 9), 8))), Some((3, false)));
    // A complete map replaces the former one. Slots beyond the last one and inverted ranges have no effect.
    node.deliver(Event::SlotMap {
        complete: true,
        ranges: vec![range(9, u16::MAX, &[2]), range(5, 4, &[2])],
    });
    assert_ne!(first_send(&node.request(in_slot(read(502, 9), 8))).map(|s| s.0), None);
    assert_eq!(first_send(&node.request(in_slot(read(503, 9), 16_383))), Some((2, false)));
}

#[test]
fn replicas_get_reads_when_the_owner_is_over_its_load_bound_but_never_writes() {
    let mut node = node_with_slots(without_origin(), &[3, 1]);
    let servers: Vec<_> =
        (1..=8).map(|id| first_send(&node.request(in_slot(read(id, 9), 7))).unwrap().0).collect();
    assert_eq!(&servers[..4], [3; 4]);
    assert!(servers[4..].contains(&1) && servers.iter().all(|s| [1, 3].contains(s)), "{servers:?}");
    for id in 11..=14 {
        assert_eq!(
            first_send(&node.request(in_slot(write(id, 2), 7))),
            Some((3, false)),
            "a write went to a replica"
        );
    }
}

#[test]
fn a_redirection_is_followed_and_uses_no_retry_budget() {
    for (status, asking) in [(redirect(2, false), false), (redirect(2, true), true)] {
        for request in [read(1, 9), write(1, 2)] {
            let mut node = node_with_slots(without_origin(), &[3]);
            assert_eq!(first_send(&node.request(in_slot(request.clone(), 7))), Some((3, false)));
            assert_eq!(first_send(&node.outcome(1, 0, 3, status)), Some((2, asking)));
            // The redirection applies to this request alone; the slot map is unchanged.
            node.outcome(1, 1, 2, Status::Served);
            assert_eq!(first_send(&node.request(in_slot(read(2, 9), 7))), Some((3, false)));
        }
    }
    // Resharding redirects many requests at once. The retry budget is for failures and must not limit them.
    let mut node = node_with_slots(without_origin(), &[3]);
    for id in 1..=60 {
        node.request(in_slot(read(id, id), 7));
        assert_eq!(first_send(&node.outcome(id, 0, 3, redirect(2, false))), Some((2, false)), "{id}");
        node.outcome(id, 1, 2, Status::Served);
    }
}

#[test]
fn an_unsafe_write_follows_redirections_up_to_the_attempt_limit_unless_it_may_have_run() {
    let mut node = node_with_slots(without_origin(), &[3]);
    node.request(in_slot(write(1, 2), 7));
    assert_eq!(first_send(&node.outcome(1, 0, 3, redirect(2, true))), Some((2, true)));
    let actions = node.outcome(1, 1, 2, Status::Reset);
    assert!(
        send_count(&actions) == 0 && is_failed(&actions, 1),
        "sent again after a reset that followed an ASK redirection: {actions:?}"
    );
    node.request(in_slot(write(2, 2), 7));
    assert_eq!(first_send(&node.outcome(2, 0, 3, redirect(2, false))), Some((2, false)));
    let actions = node.outcome(2, 1, 2, Status::TimedOut);
    assert!(send_count(&actions) == 0 && is_failed(&actions, 2), "{actions:?}");
    // A redirection proves that the attempt did not run, so a keyed write may be sent elsewhere even after
    // the deduplication window, unless its target latency has passed. A write that was reset after a
    // redirection may have run, so it is failed.
    node.request(in_slot(write(9, 1), 7));
    node.advance(220 * MS);
    assert_eq!(
        first_send(&node.outcome(9, 0, 3, redirect(2, false))),
        None,
        "sent although an answer after the target latency has no worth"
    );
    node.request(in_slot(write(8, 1), 7));
    assert_eq!(first_send(&node.outcome(8, 0, 3, redirect(2, true))), Some((2, true)));
    let actions = node.outcome(8, 1, 2, Status::Reset);
    assert!(send_count(&actions) == 0 && is_failed(&actions, 8), "{actions:?}");
    // If every attempt is redirected, nothing ran: the request is refused, not failed.
    node.request(in_slot(write(3, 2), 7));
    let mut server = 3;
    for attempt in 0..3 {
        server =
            first_send(&node.outcome(3, attempt, server, redirect([2, 1, 4][usize::from(attempt)], false)))
                .unwrap()
                .0;
    }
    let actions = node.outcome(3, 3, server, redirect(3, false));
    assert!(is_refused(&actions, 3), "{actions:?}");
}

#[test]
fn a_redirection_is_followed_only_to_a_server_that_the_list_has_ready() {
    let mut node = node_with_slots(without_origin(), &[3]);
    let draining = ServerEntry { condition: Condition::Draining, ..server(2) };
    node.update_servers(ListKind::Delta, vec![draining]);
    for (n, status) in [
        redirect(2, false),
        redirect(2, true),
        redirect(77, false),
        redirect(3, false),
        Status::Redirected { to: None, ask: true },
    ]
    .into_iter()
    .enumerate()
    {
        let id = 1 + n as u64;
        node.request(in_slot(write(id, 2), 7));
        assert_eq!(send_count(&node.outcome(id, 0, 3, status)), 0, "sent at once: {status:?}");
        // The request is postponed and then sent to the slot's holder: by then, the server list or the slot
        // map may have been updated.
        assert_eq!(first_send(&node.advance(20 * MS)), Some((3, false)), "{status:?}");
        node.outcome(id, 1, 3, Status::Served);
        node.advance(SECOND);
    }
}

#[test]
fn a_read_is_fetched_from_the_origin_if_its_redirection_cannot_be_followed() {
    for status in [redirect(3, false), redirect(77, true), Status::Redirected { to: None, ask: false }] {
        let mut node = node_with_slots(settings(), &[3]);
        node.request(in_slot(read(1, 9), 7));
        assert_eq!(first_send(&node.outcome(1, 0, 3, status)), Some((ORIGIN, false)), "{status:?}");
    }
    // Two servers that redirect to each other get one attempt each.
    let mut node = node_with_slots(settings(), &[3]);
    node.request(in_slot(read(1, 9), 7));
    assert_eq!(first_send(&node.outcome(1, 0, 3, redirect(2, false))), Some((2, false)));
    assert_eq!(first_send(&node.outcome(1, 1, 2, redirect(3, false))), Some((ORIGIN, false)));
}

#[test]
fn a_redirection_postponed_at_the_gate_is_checked_again_before_it_is_sent() {
    let mut node = node_with_slots(without_origin(), &[3]);
    // Half of the gate's limit is outstanding, and then one of these calls is redirected.
    let sent = (1..=30).map(|id| send_count(&node.request(in_slot(write(id, 2), 7)))).sum::<usize>();
    assert!((10..30).contains(&sent), "{sent} sent: the gate did not close");
    node.outcome(10, 0, 3, redirect(2, true));
    // The server that the redirection names starts to drain while the request waits.
    node.update_servers(ListKind::Delta, vec![ServerEntry { condition: Condition::Draining, ..server(2) }]);
    let later = node.advance(200 * MS);
    assert!(later.iter().all(|a| !matches!(a, Action::Send { server: 2, .. })), "{later:?}");
}

/// A cold server that becomes the owner of every slot at once would be overloaded, by requests sent to it as
/// the owner or by redirections. It must get no more than it accepts.
#[test]
fn a_cold_server_that_becomes_owner_of_all_slots_is_not_overloaded() {
    for redirected in [false, true] {
        let settings = Settings { cold_share: 0.1, ..settings() };
        let mut node = node_with_slots(settings, &[if redirected { 3 } else { 2 }]);
        let cold = ServerEntry { started: node.now, ..server(2) };
        node.update_servers(ListKind::Delta, vec![cold]);
        let mut sent_to_cold = 0;
        for id in 1..=400 {
            node.advance(5 * MS);
            let Some((mut server, _)) = first_send(&node.request(in_slot(read(id, id), 7))) else { continue };
            let mut attempt = 0;
            while server != ORIGIN && server != 2 && attempt < 3 {
                let next = node.outcome(id, attempt, server, redirect(2, false));
                attempt += 1;
                match first_send(&next) {
                    Some((next, _)) => server = next,
                    None => break,
                }
            }
            sent_to_cold += u32::from(server == 2);
            node.outcome(id, attempt, server, Status::Served);
        }
        // Of 400 requests in 2 s, a warm server's share is 100. The cold one starts at a tenth of its
        // capacity and reaches about a third.
        assert!(
            (5..=75).contains(&sent_to_cold),
            "redirected {redirected}: {sent_to_cold} of 400 went to the cold owner"
        );
    }
}

#[test]
fn redirections_neither_count_as_server_failures_nor_close_the_gate() {
    let mut node = node_with_slots(without_origin(), &[3]);
    for id in 1..=300 {
        node.advance(10 * MS);
        let Some((server, _)) = first_send(&node.request(in_slot(write(id, 2), 7))) else {
            panic!("{id}: redirections closed the gate");
        };
        assert_eq!(server, 3, "{id}: redirections moved keys away from the owner");
        assert_eq!(first_send(&node.outcome(id, 0, 3, redirect(2, false))), Some((2, false)), "{id}");
        node.outcome(id, 1, 2, Status::Served);
    }
}

#[test]
fn a_redirection_of_a_finished_request_is_ignored() {
    let mut node = node_with_slots(without_origin(), &[3]);
    node.request(in_slot(write(1, 2), 7));
    node.deliver(Event::ClientGone(1));
    assert!(node.outcome(1, 0, 3, redirect(2, false)).is_empty());
    node.request(in_slot(write(2, 2), 7));
    assert_eq!(send_count(&node.advance(2 * SECOND)), 0);
    let late = node.outcome(2, 0, 3, redirect(2, true));
    assert_eq!(send_count(&late), 0, "{late:?}");
}
