use super::*;

fn record(id: &str, phase: Phase, up_since_ms: u64) -> ServerRecord {
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

fn drains() -> AdminDrains {
    let mut drains = AdminDrains::new(Some("origin".into()));
    let records = ["a", "b", "o"].map(|id| record(id, Phase::Ready, 5)).to_vec();
    assert_eq!(drains.update(true, records.clone()), records);
    drains
}

#[test]
fn a_drained_server_stays_drained_whatever_the_sources_report() {
    let mut drains = drains();
    let drained = drains.exclude(100, "a").unwrap().unwrap();
    assert_eq!((drained.phase, drained.id.as_str()), (Phase::Draining, "a"));
    assert_eq!(drains.exclude(200, "a"), Ok(None), "draining twice has no further effect");
    for (whole, phase) in [(false, Phase::Ready), (true, Phase::Ready), (false, Phase::Draining)] {
        assert_eq!(drains.update(whole, vec![record("a", phase, 5)])[0].phase, Phase::Draining);
    }
    // The server goes away and comes back under its id, and is missing from a complete list.
    assert_eq!(drains.update(false, vec![record("a", Phase::Gone, 5)])[0].phase, Phase::Gone);
    assert_eq!(drains.update(false, vec![record("a", Phase::Ready, 300)])[0].phase, Phase::Draining);
    assert!(drains.update(true, Vec::new()).is_empty());
    assert_eq!(drains.update(true, vec![record("a", Phase::Ready, 300)])[0].phase, Phase::Draining);
    // One `include` ends the drain that `exclude` was called for twice.
    assert_eq!(drains.include(400, "a").unwrap().unwrap().phase, Phase::Ready);
    assert_eq!(drains.include(500, "a"), Ok(None), "including a server that is not drained changes nothing");
}

#[test]
fn include_works_while_the_server_is_not_listed_and_unknown_servers_are_refused() {
    let mut drains = drains();
    assert_eq!(drains.exclude(1, "x"), Err(AdminDrainError::Unknown));
    assert_eq!(drains.include(1, "x"), Err(AdminDrainError::Unknown));
    assert_eq!(drains.exclude(1, "o"), Err(AdminDrainError::Origin));
    assert_eq!(drains.include(1, "o"), Err(AdminDrainError::Origin));
    drains.exclude(1, "a").unwrap();
    drains.update(true, vec![record("b", Phase::Ready, 5)]);
    assert_eq!(drains.include(2, "a"), Ok(None));
    assert_eq!(drains.include(3, "a"), Err(AdminDrainError::Unknown), "neither listed nor drained any more");
    assert_eq!(drains.update(false, vec![record("a", Phase::Ready, 5)])[0].phase, Phase::Ready);
}

#[test]
fn a_returned_server_is_cold_until_its_own_start_time_is_known() {
    let mut drains = drains();
    drains.exclude(100, "a").unwrap();
    assert_eq!(drains.include(500, "a").unwrap().unwrap().up_since_ms, 500);
    assert_eq!(
        drains.update(true, vec![record("a", Phase::Ready, 5)])[0].up_since_ms,
        500,
        "the list does not know of the restart yet"
    );
    assert_eq!(drains.update(false, vec![record("a", Phase::Ready, 300)])[0].up_since_ms, 300);
    // The list reports the restart before the server is included again.
    drains.exclude(600, "a").unwrap();
    drains.update(false, vec![record("a", Phase::Ready, 700)]);
    assert_eq!(drains.include(900, "a").unwrap().unwrap().up_since_ms, 700);
    // Drained again at once: the start time assumed before is discarded.
    drains.exclude(950, "a").unwrap();
    assert_eq!(drains.include(960, "a").unwrap().unwrap().up_since_ms, 960);
}

#[test]
fn node_and_fleet_drains_are_independent_of_each_other() {
    let mut drains = drains();
    let drained = |ids: &[&str]| ids.iter().map(|id| (*id).to_owned()).collect::<BTreeSet<_>>();
    let changed = drains.set_fleet_drained(100, &drained(&["a", "o", "later"]));
    assert_eq!(
        changed.iter().map(|record| (record.id.as_str(), record.phase)).collect::<Vec<_>>(),
        [("a", Phase::Draining)]
    );
    assert!(
        drains.set_fleet_drained(110, &drained(&["a", "o", "later"])).is_empty(),
        "the same set again changes nothing"
    );
    assert_eq!(
        drains.update(false, vec![record("o", Phase::Ready, 5)])[0].phase,
        Phase::Ready,
        "the origin is never drained"
    );
    assert_eq!(drains.update(false, vec![record("later", Phase::Ready, 5)])[0].phase, Phase::Draining);
    // Also drained on the node: `include` has no effect during the fleet-wide drain, nor does the end of that
    // drain while the node's own drain lasts.
    assert_eq!(drains.exclude(120, "a").unwrap().unwrap().phase, Phase::Draining);
    assert_eq!(drains.include(130, "a"), Ok(None));
    drains.exclude(140, "a").unwrap();
    let changed = drains.set_fleet_drained(150, &drained(&[]));
    assert_eq!(
        changed.iter().map(|record| (record.id.as_str(), record.up_since_ms)).collect::<Vec<_>>(),
        [("later", 150)]
    );
    assert_eq!(drains.include(160, "a").unwrap().unwrap().phase, Phase::Ready);
    assert_eq!(drains.ready().map(|record| record.id.as_str()).collect::<Vec<_>>(), ["a", "b", "later"]);
}

#[test]
fn take_over_copies_the_drains_of_another_process_and_members_reflect_them() {
    let mut old = drains();
    old.exclude(100, "a").unwrap();
    let mut new = drains();
    new.exclude(50, "b").unwrap();
    let changed: Vec<_> = new
        .take_over(200, old.admin_drained())
        .into_iter()
        .map(|record| (record.id, record.phase, record.up_since_ms))
        .collect();
    assert_eq!(changed, [("b".into(), Phase::Ready, 200), ("a".into(), Phase::Draining, 5)]);
    assert_eq!(new.admin_drained(), old.admin_drained());
    assert_eq!(new.members().collect::<Vec<_>>(), [("a", false), ("b", true)]);
    assert!(new.take_over(300, old.admin_drained()).is_empty());
}
