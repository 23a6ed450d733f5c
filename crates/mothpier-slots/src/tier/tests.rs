use super::*;

const T: u64 = 1_800_000_000_000;

fn nodes(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|n| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 6379))).collect()
}

fn tier(count: usize, me: usize) -> Tier {
    Tier::new(nodes(count), me, true, T).unwrap()
}

#[test]
fn slots_are_covered_once_whoever_runs() {
    let mut dice = oorandom::Rand32::new(7);
    for count in [1, 2, 3, 7, 60, 1_000] {
        for _ in 0..40 {
            let mut tier = tier(count, 0);
            (0..count).for_each(|n| tier.states[n].up = dice.rand_range(0..3) > 0);
            let ranges = tier.ranges();
            let mut next = 0u32;
            for (range, owner) in &ranges {
                assert_eq!(u32::from(*range.start()), next, "a hole or an overlap");
                next = u32::from(*range.end()) + 1;
                assert!(
                    tier.up(*owner) || !(0..count).any(|n| tier.up(n)),
                    "a slot of one that does not run"
                );
            }
            assert_eq!(next, u32::from(SLOTS));
        }
    }
}

#[test]
fn a_stop_moves_only_the_slots_of_the_one_that_stops() {
    let mut tier = tier(12, 5);
    let owner = |t: &Tier, slot: u16| t.ranges().iter().find(|(r, _)| r.contains(&slot)).unwrap().1;
    let before: Vec<usize> = (0..SLOTS).step_by(7).map(|s| owner(&tier, s)).collect();
    let epoch = tier.epoch();
    tier.stop();
    assert!(tier.epoch() > epoch);
    for (was, slot) in before.iter().zip((0..SLOTS).step_by(7)) {
        let is = owner(&tier, slot);
        assert!(if *was == 5 { is != 5 } else { is == *was }, "slot {slot}: {was} to {is}");
    }
}

#[test]
fn a_silent_node_loses_its_slots_and_takes_them_back_when_it_speaks() {
    let (mut a, mut b) = (tier(2, 0), tier(2, 1));
    let word = b.tick(T).unwrap();
    a.heard(T, 1, &word);
    assert!(a.up(1));
    a.tick(T + SILENCE_TIMEOUT_MS);
    assert!(a.up(1));
    let epoch = a.epoch();
    let word = a.tick(T + SILENCE_TIMEOUT_MS + 1).unwrap();
    assert!(!a.up(1) && a.epoch() > epoch);
    // The other hears that it is held for gone, and takes that back.
    b.heard(T + SILENCE_TIMEOUT_MS + 1, 0, &word);
    assert!(b.up(1));
    let word = b.tick(T + SILENCE_TIMEOUT_MS + 2).unwrap();
    a.heard(T + SILENCE_TIMEOUT_MS + 2, 1, &word);
    assert!(a.up(1));
    assert_eq!((a.epoch(), a.ranges()), (b.epoch(), b.ranges()));
}

#[test]
fn a_node_that_has_stopped_does_not_take_it_back() {
    let (mut a, mut b) = (tier(2, 0), tier(2, 1));
    b.stop();
    let word = b.tick(T + 1).unwrap();
    a.heard(T + 1, 1, &word);
    assert!(!a.up(1));
    let word = a.tick(T + 1).unwrap();
    b.heard(T + 1, 0, &word);
    assert!(!b.up(1));
    // Its next life does.
    let mut next = Tier::new(nodes(2), 1, true, T + 5_000).unwrap();
    let word = next.tick(T + 5_000).unwrap();
    a.heard(T + 5_000, 1, &word);
    assert!(a.up(1));
}

/// Messages lost, doubled, late and in any order, nodes killed, stopped and started: once the tier is at rest all
/// that run hold the same map, and no node's epoch ever falls within a life.
#[test]
fn nodes_agree_in_the_end_whatever_happens_to_their_messages() {
    for seed in 0..60 {
        let mut dice = oorandom::Rand32::new(seed);
        let count = 2 + dice.rand_range(0..30) as usize;
        let mut lives: Vec<Option<Tier>> = (0..count).map(|n| Some(tier(count, n))).collect();
        let mut mail: Vec<(u64, usize, usize, Vec<u8>)> = Vec::new();
        let mut epochs = vec![0; count];
        for step in 0..900u64 {
            let now = T + step * 50;
            let calm = step > 400;
            if !calm && dice.rand_range(0..20) == 0 {
                let node = dice.rand_range(0..count as u32) as usize;
                epochs[node] = 0;
                lives[node] = match (&mut lives[node], dice.rand_range(0..2)) {
                    (Some(t), 0) => {
                        t.stop();
                        let word = t.tick(now);
                        let to = (node + 1) % count;
                        mail.extend(word.map(|w| (now, node, to, w)));
                        None
                    }
                    (Some(_), _) => None,
                    (None, _) => Some(Tier::new(nodes(count), node, true, now).unwrap()),
                };
            }
            for (node, life) in lives.iter_mut().enumerate() {
                let Some(t) = life else { continue };
                let Some(word) = t.tick(now) else { continue };
                assert!(word.len() <= MOST_BYTES && Tier::is_message(&word));
                for to in (0..count).filter(|to| *to != node) {
                    let copies = if calm { 1 } else { dice.rand_range(0..3) };
                    for _ in 0..copies {
                        let late = if calm { 10 } else { u64::from(dice.rand_range(0..700)) };
                        mail.push((now + late, node, to, word.clone()));
                    }
                }
            }
            let (due, later) = mail.into_iter().partition(|m| m.0 <= now);
            mail = later;
            let due: Vec<(u64, usize, usize, Vec<u8>)> = due;
            for (_, from, to, word) in due {
                if let Some(t) = &mut lives[to] {
                    t.heard(now, from, &word);
                    assert!(t.epoch() >= epochs[to], "an epoch falls");
                    epochs[to] = t.epoch();
                }
            }
        }
        let mut maps = lives.iter().flatten().map(|t| (t.epoch(), t.ranges()));
        if let Some(first) = maps.next() {
            assert!(maps.all(|m| m == first), "seed {seed}: nodes differ");
        }
        for (node, life) in lives.iter().enumerate() {
            let seen = lives.iter().flatten().next().map(|t| t.up(node));
            assert_eq!(seen.unwrap_or(life.is_some()), life.is_some(), "seed {seed}, node {node}");
        }
    }
}

#[test]
fn what_no_node_would_tell_changes_nothing() {
    let mut t = tier(3, 0);
    let before = (t.epoch(), t.ranges());
    let far = [&MAGIC[..], &1u16.to_le_bytes(), &u64::MAX.to_le_bytes(), &[0]].concat();
    let stranger = [&MAGIC[..], &9u16.to_le_bytes(), &T.to_le_bytes(), &[0]].concat();
    for bytes in [&[][..], b"MPT", b"MPT1x", &[0xff; 200], &far, &stranger] {
        for from in [0, 1, 2, 7] {
            t.heard(T, from, bytes);
        }
    }
    assert_eq!((t.epoch(), t.ranges()), before);
}

#[test]
fn what_can_not_be_a_tier_says_why() {
    let new = |list: Vec<SocketAddr>, me| Tier::new(list, me, true, T).unwrap_err().to_string();
    assert!(new(Vec::new(), 0).contains("1 to 1024"));
    assert!(new(nodes(2), 2).contains("number 2"));
    assert!(new(vec![nodes(1)[0]; 2], 0).contains("named twice"));
    assert!(new(vec!["0.0.0.0:1".parse().unwrap()], 0).contains("no address that clients"));
    assert!(new(vec!["10.0.0.1:0".parse().unwrap()], 0).contains("no address that clients"));
}
