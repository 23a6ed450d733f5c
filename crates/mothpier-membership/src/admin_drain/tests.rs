use super::*;

fn line(id: &str, phase: Phase, up_since_ms: u64) -> ServerRecord {
    let flavor = if id == "o" { "origin" } else { "m" };
    ServerRecord {
        id: id.into(),
        host_port: "10.0.0.1:1".into(),
        locality: "a".into(),
        flavor: flavor.into(),
        cell: 0,
        size: None,
        up_since_ms,
        phase,
    }
}

fn hand() -> AdminDrains {
    let mut hand = AdminDrains::new(Some("origin".into()));
    let lines = ["a", "b", "o"].map(|id| line(id, Phase::Ready, 5)).to_vec();
    assert_eq!(hand.list(true, lines.clone()), lines);
    hand
}

#[test]
fn what_is_out_stays_out_whatever_the_sources_say() {
    let mut hand = hand();
    let out = hand.exclude(100, "a").unwrap().unwrap();
    assert_eq!((out.phase, out.id.as_str()), (Phase::Draining, "a"));
    assert_eq!(hand.exclude(200, "a"), Ok(None), "twice out is out once");
    for (whole, phase) in [(false, Phase::Ready), (true, Phase::Ready), (false, Phase::Draining)] {
        assert_eq!(hand.list(whole, vec![line("a", phase, 5)])[0].phase, Phase::Draining);
    }
    // Gone and back under its id, and missing from a whole list.
    assert_eq!(hand.list(false, vec![line("a", Phase::Gone, 5)])[0].phase, Phase::Gone);
    assert_eq!(hand.list(false, vec![line("a", Phase::Ready, 300)])[0].phase, Phase::Draining);
    assert!(hand.list(true, Vec::new()).is_empty());
    assert_eq!(hand.list(true, vec![line("a", Phase::Ready, 300)])[0].phase, Phase::Draining);
    // One call back undoes both calls out.
    assert_eq!(hand.include(400, "a").unwrap().unwrap().phase, Phase::Ready);
    assert_eq!(hand.include(500, "a"), Ok(None), "back when not out changes nothing");
}

#[test]
fn the_way_back_works_while_the_box_is_not_listed_and_strangers_are_owed_a_no() {
    let mut hand = hand();
    assert_eq!(hand.exclude(1, "x"), Err(AdminDrainError::Unknown));
    assert_eq!(hand.include(1, "x"), Err(AdminDrainError::Unknown));
    assert_eq!(hand.exclude(1, "o"), Err(AdminDrainError::Origin));
    assert_eq!(hand.include(1, "o"), Err(AdminDrainError::Origin));
    hand.exclude(1, "a").unwrap();
    hand.list(true, vec![line("b", Phase::Ready, 5)]);
    assert_eq!(hand.include(2, "a"), Ok(None));
    assert_eq!(
        hand.include(3, "a"),
        Err(AdminDrainError::Unknown),
        "neither the list nor the hand know it now"
    );
    assert_eq!(hand.list(false, vec![line("a", Phase::Ready, 5)])[0].phase, Phase::Ready);
}

#[test]
fn a_box_comes_back_cold_until_its_own_start_is_known() {
    let mut hand = hand();
    hand.exclude(100, "a").unwrap();
    assert_eq!(hand.include(500, "a").unwrap().unwrap().up_since_ms, 500);
    assert_eq!(hand.list(true, vec![line("a", Phase::Ready, 5)])[0].up_since_ms, 500, "the list is late");
    assert_eq!(hand.list(false, vec![line("a", Phase::Ready, 300)])[0].up_since_ms, 300);
    // The list knew of the start before the call back.
    hand.exclude(600, "a").unwrap();
    hand.list(false, vec![line("a", Phase::Ready, 700)]);
    assert_eq!(hand.include(900, "a").unwrap().unwrap().up_since_ms, 700);
    // Out again at once: no assumption is left of the time before.
    hand.exclude(950, "a").unwrap();
    assert_eq!(hand.include(960, "a").unwrap().unwrap().up_since_ms, 960);
}

#[test]
fn the_fleet_and_the_hand_each_keep_a_box_out_and_neither_undoes_the_other() {
    let mut hand = hand();
    let drained = |ids: &[&str]| ids.iter().map(|id| (*id).to_owned()).collect::<BTreeSet<_>>();
    let changed = hand.agree(100, &drained(&["a", "o", "later"]));
    assert_eq!(
        changed.iter().map(|l| (l.id.as_str(), l.phase)).collect::<Vec<_>>(),
        [("a", Phase::Draining)]
    );
    assert!(hand.agree(110, &drained(&["a", "o", "later"])).is_empty(), "the same again changes nothing");
    assert_eq!(hand.list(false, vec![line("o", Phase::Ready, 5)])[0].phase, Phase::Ready, "the origin stays");
    assert_eq!(hand.list(false, vec![line("later", Phase::Ready, 5)])[0].phase, Phase::Draining);
    // Also by hand: the fleet's way back does not bring it back, nor the hand's while the fleet drains it.
    assert_eq!(hand.exclude(120, "a").unwrap().unwrap().phase, Phase::Draining);
    assert_eq!(hand.include(130, "a"), Ok(None));
    hand.exclude(140, "a").unwrap();
    let changed = hand.agree(150, &drained(&[]));
    assert_eq!(changed.iter().map(|l| (l.id.as_str(), l.up_since_ms)).collect::<Vec<_>>(), [("later", 150)]);
    assert_eq!(hand.include(160, "a").unwrap().unwrap().phase, Phase::Ready);
    assert_eq!(hand.ready().map(|l| l.id.as_str()).collect::<Vec<_>>(), ["a", "b", "later"]);
}

#[test]
fn another_process_of_the_node_knows_the_same_and_members_tell_who_is_out() {
    let mut old = hand();
    old.exclude(100, "a").unwrap();
    let mut new = hand();
    new.exclude(50, "b").unwrap();
    let changed: Vec<_> =
        new.take_over(200, old.out()).into_iter().map(|l| (l.id, l.phase, l.up_since_ms)).collect();
    assert_eq!(changed, [("b".into(), Phase::Ready, 200), ("a".into(), Phase::Draining, 5)]);
    assert_eq!(new.out(), old.out());
    assert_eq!(new.members().collect::<Vec<_>>(), [("a", false), ("b", true)]);
    assert!(new.take_over(300, old.out()).is_empty());
}
