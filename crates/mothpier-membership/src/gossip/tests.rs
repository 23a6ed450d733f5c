use super::*;

const NOW: u64 = 1_000_000_000;

fn rumours() -> Gossip {
    Gossip::new(Settings { trust_ms: 10_000, share: 0.25, tells: 3 }, 7)
}

#[test]
fn a_rumour_is_told_a_few_times_and_then_no_more() {
    let mut a = rumours();
    a.told(NOW, 5, 100, Phase::Draining);
    a.told(NOW + 1, 5, 100, Phase::Gone);
    let (mut told, mut at) = (Vec::new(), NOW);
    while let Some(due) = a.due() {
        at = at.max(due);
        told.extend(a.tell(at).map(|m| (at, m)));
    }
    assert_eq!(told.len(), 3);
    assert!(told.iter().all(|(_, m)| m.len() == MAGIC.len() + ENTRY));
    // It is its own list's word, so it is no rumour here; kept for twice the trust, then forgotten.
    assert_eq!((a.of(NOW, 5, 100), a.len()), (None, 1));
    assert_eq!((a.tell(NOW + 20_001), a.len()), (None, 0));
}

#[test]
fn who_hears_it_tells_it_on_once_unless_enough_others_did() {
    let mut from = rumours();
    from.told(NOW, 5, 100, Phase::Gone);
    let message = from.tell(NOW).unwrap();
    let mut b = rumours();
    assert_eq!(b.heard(NOW + 10, &message), 1);
    assert_eq!(b.of(NOW + 10, 5, 100), Some(NOW + 10));
    let due = b.due().unwrap();
    assert!((NOW + 10 + PAUSE_MS.0..NOW + 10 + PAUSE_MS.1).contains(&due));
    let on = b.tell(due).unwrap();
    assert_eq!((b.due(), b.tell(due + 9_000)), (None, None));
    // The last hop is believed and not told on.
    let mut c = rumours();
    assert_eq!((c.heard(due, &on), c.due()), (1, None));
    let mut still = rumours();
    for n in 0..ENOUGH {
        assert_eq!(still.heard(NOW + 10, &message), usize::from(n == 0));
    }
    assert_eq!(still.due().and_then(|due| still.tell(due)), None);
}

#[test]
fn it_ends_by_itself_and_can_not_be_renewed() {
    let mut r = rumours();
    let tell = |told_ms, up_since_ms| {
        let mut message = MAGIC.to_vec();
        encode(&GossipItem { of: 5, up_since_ms, told_ms, phase: Phase::Gone, hops: 0 }, &mut message);
        message
    };
    assert_eq!(r.heard(NOW, &tell(NOW - 4_000, 100)), 1);
    assert_eq!(r.ends(NOW), Some(NOW + 6_000));
    // A liar who goes on and on: out for less than half of the time.
    let mut out = 0;
    for at in (NOW..NOW + 400_000).step_by(100) {
        r.heard(at, &tell(at, 100));
        out += u64::from(r.of(at, 5, 100).is_some());
    }
    assert!(out * 100 <= 200_000 + 10_000, "{out}");
    // An older process than the one that runs is not meant; a later start than one knows is.
    assert_eq!((r.of(NOW, 5, 101), r.heard(NOW + 400_000, &tell(NOW + 400_000, 200))), (None, 1));
    assert!(r.of(NOW + 400_000, 5, 150).is_some());
    r.ready(5);
    assert_eq!(r.of(NOW + 400_000, 5, 150), None);
}

/// A machine whose clock has jumped by an hour, either way, is not believed, and believes nobody.
#[test]
fn clocks_that_are_far_apart_cost_the_rumour_and_nothing_else() {
    let mut told = rumours();
    told.told(NOW, 5, 100, Phase::Gone);
    let message = told.tell(NOW).unwrap();
    for (now, believed) in
        [(NOW - 3_600_000, 0), (NOW + 3_600_000, 0), (NOW - 2_001, 0), (NOW - 2_000, 1), (NOW + 9_999, 1)]
    {
        let mut hears = rumours();
        assert_eq!(hears.heard(now, &message), believed, "{now}");
        // One that runs behind holds it no longer than the trust by its own clock.
        assert!(hears.ends(now).is_none_or(|ends| ends <= now + 10_000));
    }
}

#[test]
fn what_is_no_rumour_changes_nothing() {
    let mut r = rumours();
    let mut good = MAGIC.to_vec();
    encode(&GossipItem { of: 5, up_since_ms: 0, told_ms: NOW, phase: Phase::Gone, hops: 0 }, &mut good);
    let (mut phase, mut hops, mut old, mut ahead) = (good.clone(), good.clone(), good.clone(), good.clone());
    phase[4 + 24] = 2;
    hops[4 + 25] = 2;
    old[4 + 16..4 + 24].copy_from_slice(&(NOW - 10_000).to_be_bytes());
    ahead[4 + 16..4 + 24].copy_from_slice(&(NOW + 2_001).to_be_bytes());
    let long = [good.clone(), vec![0; ENTRY * 10]].concat();
    for bad in [&good[..good.len() - 1], &phase, &hops, &old, &ahead, &long, b"MPW2", b""] {
        assert_eq!((r.heard(NOW, bad), r.len()), (0, 0), "{bad:?}");
    }
    // Never more than so many, whatever comes.
    for of in 0..3_000u64 {
        good[4..12].copy_from_slice(&of.to_be_bytes());
        r.heard(NOW, &good);
    }
    assert!(r.len() <= MOST + 1);
}
