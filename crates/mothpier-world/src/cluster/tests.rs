use super::*;

fn cluster() -> Rc<Cluster> {
    let at = |n: u8| SocketAddr::from(([10, 1, 0, n], 6379));
    Cluster::new(&[at(1), at(2), at(3)], Duration::from_secs(3), 1)
}

#[test]
fn slots_are_those_of_the_specification() {
    assert_eq!(slot_of("123456789"), 0x31c3);
    assert_eq!((slot_of("somekey"), slot_of("foo{hash_tag}")), (11_058, 2_515));
}

#[test]
fn a_slot_on_its_way_is_served_where_its_keys_are() {
    let c = cluster();
    let (key, slot) = ("somekey", 11_058);
    assert_eq!(c.owner(slot), 2);
    let moved = Some("MOVED 11058 10.1.0.3:6379".to_owned());
    assert_eq!(
        (c.turns_away(2, key, false, false), c.turns_away(0, key, false, true)),
        (None, moved.clone())
    );
    c.migrate(slot, 0);
    assert_eq!(c.turns_away(2, key, false, true), None);
    assert_eq!(c.turns_away(2, key, false, false), Some("ASK 11058 10.1.0.1:6379".into()));
    assert_eq!((c.turns_away(0, key, true, false), c.turns_away(0, key, false, true)), (None, moved));
    c.assign(slot..=slot, 0);
    // Those that it moved between know; the third has not heard of it.
    assert_eq!(c.turns_away(0, key, false, false), None);
    let now = "MOVED 11058 10.1.0.1:6379";
    assert_eq!(c.turns_away(2, key, false, true).as_deref(), Some(now));
    assert_eq!(c.turns_away(1, key, false, true).as_deref(), Some("MOVED 11058 10.1.0.3:6379"));
    c.gossip();
    assert_eq!(c.turns_away(1, key, false, true).as_deref(), Some(now));
    c.bereave(0);
    assert!(c.owner(slot) > 0);
}
