use super::*;

const NOW: u64 = 1_000_000_000;

fn gossip() -> Gossip {
    Gossip::new(Settings { trust_ms: 10_000, max_share: 0.25, sends: 3 }, 7)
}

#[test]
fn an_item_is_sent_a_few_times_and_then_no_more() {
    let mut origin = gossip();
    origin.announce(NOW, 5, 100, Phase::Draining);
    origin.announce(NOW + 1, 5, 100, Phase::Gone);
    let (mut sent, mut at) = (Vec::new(), NOW);
    while let Some(due) = origin.next_send_due() {
        at = at.max(due);
        sent.extend(origin.next_message(at).map(|message| (at, message)));
    }
    assert_eq!(sent.len(), 3);
    assert!(sent.iter().all(|(_, message)| message.len() == MAGIC.len() + ITEM_BYTES));
    // Only the own list reported it, no other node. The entry is kept for twice the trust period.
    assert_eq!((origin.reported_at(NOW, 5, 100), origin.len()), (None, 1));
    assert_eq!((origin.next_message(NOW + 20_001), origin.len()), (None, 0));
}

#[test]
fn a_received_item_is_forwarded_once_unless_enough_copies_arrive() {
    let mut origin = gossip();
    origin.announce(NOW, 5, 100, Phase::Gone);
    let message = origin.next_message(NOW).unwrap();
    let mut receiver = gossip();
    assert_eq!(receiver.receive(NOW + 10, &message), 1);
    assert_eq!(receiver.reported_at(NOW + 10, 5, 100), Some(NOW + 10));
    let due = receiver.next_send_due().unwrap();
    assert!((NOW + 10 + MIN_FORWARD_DELAY_MS..NOW + 10 + MAX_FORWARD_DELAY_MS).contains(&due));
    let forwarded = receiver.next_message(due).unwrap();
    assert_eq!((receiver.next_send_due(), receiver.next_message(due + 9_000)), (None, None));
    // An item at the last hop takes effect and is not forwarded.
    let mut last = gossip();
    assert_eq!((last.receive(due, &forwarded), last.next_send_due()), (1, None));
    let mut suppressed = gossip();
    for n in 0..REDUNDANCY_LIMIT {
        assert_eq!(suppressed.receive(NOW + 10, &message), usize::from(n == 0));
    }
    assert_eq!(suppressed.next_send_due().and_then(|due| suppressed.next_message(due)), None);
}

#[test]
fn an_item_expires_and_cannot_be_renewed() {
    let mut gossip = gossip();
    let message_with = |announced_ms, up_since_ms| {
        let mut message = MAGIC.to_vec();
        encode(
            &GossipItem { server_hash: 5, up_since_ms, announced_ms, phase: Phase::Gone, hops: 0 },
            &mut message,
        );
        message
    };
    assert_eq!(gossip.receive(NOW, &message_with(NOW - 4_000, 100)), 1);
    assert_eq!(gossip.next_expiry(NOW), Some(NOW + 6_000));
    // A peer that repeats a false report all the time has an effect for about half of the time at most.
    let mut effective = 0;
    for at in (NOW..NOW + 400_000).step_by(100) {
        gossip.receive(at, &message_with(at, 100));
        effective += u64::from(gossip.reported_at(at, 5, 100).is_some());
    }
    assert!(effective * 100 <= 200_000 + 10_000, "{effective}");
    // An item applies to the process that it names and to earlier ones, not to one that started later.
    assert_eq!(
        (gossip.reported_at(NOW, 5, 101), gossip.receive(NOW + 400_000, &message_with(NOW + 400_000, 200))),
        (None, 1)
    );
    assert!(gossip.reported_at(NOW + 400_000, 5, 150).is_some());
    gossip.mark_ready(5);
    assert_eq!(gossip.reported_at(NOW + 400_000, 5, 150), None);
}

/// A node whose clock is wrong by an hour, either way, exchanges no items with other nodes.
#[test]
fn items_are_rejected_between_nodes_whose_clocks_are_far_apart() {
    let mut origin = gossip();
    origin.announce(NOW, 5, 100, Phase::Gone);
    let message = origin.next_message(NOW).unwrap();
    for (now, accepted) in
        [(NOW - 3_600_000, 0), (NOW + 3_600_000, 0), (NOW - 2_001, 0), (NOW - 2_000, 1), (NOW + 9_999, 1)]
    {
        let mut receiver = gossip();
        assert_eq!(receiver.receive(now, &message), accepted, "{now}");
        // A node whose clock is behind keeps an item no longer than the trust period by its own clock.
        assert!(receiver.next_expiry(now).is_none_or(|expiry| expiry <= now + 10_000));
    }
}

#[test]
fn malformed_messages_and_items_out_of_bounds_are_ignored() {
    let mut gossip = gossip();
    let mut good = MAGIC.to_vec();
    encode(
        &GossipItem { server_hash: 5, up_since_ms: 0, announced_ms: NOW, phase: Phase::Gone, hops: 0 },
        &mut good,
    );
    let (mut phase, mut hops, mut old, mut ahead) = (good.clone(), good.clone(), good.clone(), good.clone());
    phase[4 + 24] = 2;
    hops[4 + 25] = 2;
    old[4 + 16..4 + 24].copy_from_slice(&(NOW - 10_000).to_be_bytes());
    ahead[4 + 16..4 + 24].copy_from_slice(&(NOW + 2_001).to_be_bytes());
    let long = [good.clone(), vec![0; ITEM_BYTES * 10]].concat();
    for bad in [&good[..good.len() - 1], &phase, &hops, &old, &ahead, &long, b"MPW2", b""] {
        assert_eq!((gossip.receive(NOW, bad), gossip.len()), (0, 0), "{bad:?}");
    }
    // The number of items is bounded.
    for server_hash in 0..3_000u64 {
        good[4..12].copy_from_slice(&server_hash.to_be_bytes());
        gossip.receive(NOW, &good);
    }
    assert!(gossip.len() <= MAX_ITEMS + 1);
}
