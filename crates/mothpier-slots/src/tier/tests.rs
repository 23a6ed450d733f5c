use super::*;

const T: u64 = 1_800_000_000_000;

fn nodes(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|n| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 6379))).collect()
}

fn tier(count: usize, own_index: usize) -> Tier {
    Tier::new(nodes(count), own_index, true, T).unwrap()
}

#[test]
fn every_slot_has_one_owner_whichever_nodes_run() {
    let mut rng = oorandom::Rand32::new(7);
    for count in [1, 2, 3, 7, 60, 1_000] {
        for _ in 0..40 {
            let mut tier = tier(count, 0);
            (0..count).for_each(|n| tier.states[n].up = rng.rand_range(0..3) > 0);
            let ranges = tier.ranges();
            let mut next = 0u32;
            for (range, owner) in &ranges {
                assert_eq!(u32::from(*range.start()), next, "a gap or an overlap");
                next = u32::from(*range.end()) + 1;
                assert!(tier.up(*owner) || !(0..count).any(|n| tier.up(n)), "a slot of a stopped node");
            }
            assert_eq!(next, u32::from(SLOTS));
        }
    }
}

#[test]
fn a_stop_moves_only_the_slots_of_the_stopped_node() {
    let mut tier = tier(12, 5);
    let owner = |tier: &Tier, slot: u16| tier.ranges().iter().find(|(r, _)| r.contains(&slot)).unwrap().1;
    let before: Vec<usize> = (0..SLOTS).step_by(7).map(|s| owner(&tier, s)).collect();
    let epoch = tier.epoch();
    tier.stop();
    assert!(tier.epoch() > epoch);
    for (previous_owner, slot) in before.iter().zip((0..SLOTS).step_by(7)) {
        let current_owner = owner(&tier, slot);
        assert!(
            if *previous_owner == 5 { current_owner != 5 } else { current_owner == *previous_owner },
            "slot {slot}: {previous_owner} to {current_owner}"
        );
    }
}

#[test]
fn a_silent_node_loses_its_slots_until_it_is_heard_again() {
    let (mut a, mut b) = (tier(2, 0), tier(2, 1));
    let message = b.tick(T).unwrap();
    a.handle_message(T, 1, &message);
    assert!(a.up(1));
    a.tick(T + SILENCE_TIMEOUT_MS);
    assert!(a.up(1));
    let epoch = a.epoch();
    let message = a.tick(T + SILENCE_TIMEOUT_MS + 1).unwrap();
    assert!(!a.up(1) && a.epoch() > epoch);
    // The other node learns that it is taken for stopped and announces itself again.
    b.handle_message(T + SILENCE_TIMEOUT_MS + 1, 0, &message);
    assert!(b.up(1));
    let message = b.tick(T + SILENCE_TIMEOUT_MS + 2).unwrap();
    a.handle_message(T + SILENCE_TIMEOUT_MS + 2, 1, &message);
    assert!(a.up(1));
    assert_eq!((a.epoch(), a.ranges()), (b.epoch(), b.ranges()));
}

#[test]
fn a_stopped_node_does_not_announce_itself_again() {
    let (mut a, mut b) = (tier(2, 0), tier(2, 1));
    b.stop();
    let message = b.tick(T + 1).unwrap();
    a.handle_message(T + 1, 1, &message);
    assert!(!a.up(1));
    let message = a.tick(T + 1).unwrap();
    b.handle_message(T + 1, 0, &message);
    assert!(!b.up(1));
    // After a restart it runs again.
    let mut restarted = Tier::new(nodes(2), 1, true, T + 5_000).unwrap();
    let message = restarted.tick(T + 5_000).unwrap();
    a.handle_message(T + 5_000, 1, &message);
    assert!(a.up(1));
}

/// Messages are lost, duplicated, delayed and reordered, and nodes are killed, stopped and restarted: once
/// the tier is quiet, all running nodes have the same slot map, and the epoch of a node never falls while it
/// runs.
#[test]
fn nodes_converge_despite_lost_and_reordered_messages() {
    for seed in 0..60 {
        let mut rng = oorandom::Rand32::new(seed);
        let count = 2 + rng.rand_range(0..30) as usize;
        let mut running_nodes: Vec<Option<Tier>> = (0..count).map(|n| Some(tier(count, n))).collect();
        let mut in_flight: Vec<(u64, usize, usize, Vec<u8>)> = Vec::new();
        let mut epochs = vec![0; count];
        for step in 0..900u64 {
            let now = T + step * 50;
            let quiet = step > 400;
            if !quiet && rng.rand_range(0..20) == 0 {
                let node = rng.rand_range(0..count as u32) as usize;
                epochs[node] = 0;
                running_nodes[node] = match (&mut running_nodes[node], rng.rand_range(0..2)) {
                    (Some(tier), 0) => {
                        tier.stop();
                        let message = tier.tick(now);
                        let to = (node + 1) % count;
                        in_flight.extend(message.map(|message| (now, node, to, message)));
                        None
                    }
                    (Some(_), _) => None,
                    (None, _) => Some(Tier::new(nodes(count), node, true, now).unwrap()),
                };
            }
            for (node, running) in running_nodes.iter_mut().enumerate() {
                let Some(tier) = running else { continue };
                let Some(message) = tier.tick(now) else { continue };
                assert!(message.len() <= MAX_MESSAGE_BYTES && Tier::is_message(&message));
                for to in (0..count).filter(|to| *to != node) {
                    let copies = if quiet { 1 } else { rng.rand_range(0..3) };
                    for _ in 0..copies {
                        let late = if quiet { 10 } else { u64::from(rng.rand_range(0..700)) };
                        in_flight.push((now + late, node, to, message.clone()));
                    }
                }
            }
            let (due, later) = in_flight.into_iter().partition(|m| m.0 <= now);
            in_flight = later;
            let due: Vec<(u64, usize, usize, Vec<u8>)> = due;
            for (_, from, to, message) in due {
                if let Some(tier) = &mut running_nodes[to] {
                    tier.handle_message(now, from, &message);
                    assert!(tier.epoch() >= epochs[to], "an epoch fell");
                    epochs[to] = tier.epoch();
                }
            }
        }
        let mut maps = running_nodes.iter().flatten().map(|tier| (tier.epoch(), tier.ranges()));
        if let Some(first) = maps.next() {
            assert!(maps.all(|m| m == first), "seed {seed}: nodes disagree");
        }
        for (node, running) in running_nodes.iter().enumerate() {
            let seen = running_nodes.iter().flatten().next().map(|tier| tier.up(node));
            assert_eq!(seen.unwrap_or(running.is_some()), running.is_some(), "seed {seed}, node {node}");
        }
    }
}

#[test]
fn malformed_and_implausible_messages_change_nothing() {
    let mut tier = tier(3, 0);
    let before = (tier.epoch(), tier.ranges());
    let far_ahead = [&MAGIC[..], &1u16.to_le_bytes(), &u64::MAX.to_le_bytes(), &[0]].concat();
    let unknown_node = [&MAGIC[..], &9u16.to_le_bytes(), &T.to_le_bytes(), &[0]].concat();
    for bytes in [&[][..], b"MPT", b"MPT1x", &[0xff; 200], &far_ahead, &unknown_node] {
        for from in [0, 1, 2, 7] {
            tier.handle_message(T, from, bytes);
        }
    }
    assert_eq!((tier.epoch(), tier.ranges()), before);
}

#[test]
fn invalid_tiers_are_rejected_with_a_reason() {
    let error =
        |list: Vec<SocketAddr>, own_index| Tier::new(list, own_index, true, T).unwrap_err().to_string();
    assert!(error(Vec::new(), 0).contains("1 to 1024"));
    assert!(error(nodes(2), 2).contains("number 2"));
    assert!(error(vec![nodes(1)[0]; 2], 0).contains("named twice"));
    assert!(error(vec!["0.0.0.0:1".parse().unwrap()], 0).contains("no address that clients"));
    assert!(error(vec!["10.0.0.1:0".parse().unwrap()], 0).contains("no address that clients"));
}
