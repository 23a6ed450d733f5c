use super::*;

fn drain(drain: u64, subject: Subject, stage: Stage, turn: u64) -> Told {
    Told { drain, subject, stage, turn }
}

#[test]
fn a_node_confirms_each_stage_once_when_it_is_in_effect() {
    let mut follower = Follower::new("n1");
    let leaving = drain(7, Subject::server("a"), Stage::Leaving, 1);
    follower.apply_change(&FleetChange::Drain { told: leaving.clone() });
    assert!(
        !follower.knows() && follower.drained_servers().is_empty(),
        "a change alone is not enough without a full read"
    );
    follower.replace_all(vec![leaving.clone(), drain(8, Subject::node("n1"), Stage::Leaving, 2)]);
    assert_eq!((follower.drained_servers(), follower.must_drain()), (["a".to_owned()].into(), true));
    let mut effect = Effect::default();
    assert!(follower.confirmable(&effect).is_empty(), "nothing is in effect yet");
    effect.out = follower.drained_servers();
    assert_eq!(follower.confirmable(&effect), [(7, 1)]);
    follower.record_confirmation(7, 1);
    effect.empty = true;
    assert_eq!(follower.confirmable(&effect), [(8, 2)]);
    follower.record_confirmation(8, 2);
    assert!(follower.confirmable(&effect).is_empty());
    follower.reset_confirmations();
    assert_eq!(
        follower.confirmable(&effect),
        [(7, 1), (8, 2)],
        "after joining again everything has to be confirmed again"
    );
    // Returning requires the opposite, and a late change of the previous stage is ignored.
    follower.apply_change(&FleetChange::Drain { told: drain(7, Subject::server("a"), Stage::Returning, 3) });
    follower.apply_change(&FleetChange::Drain { told: leaving });
    assert!(follower.drained_servers().is_empty() && follower.confirmable(&effect) == [(8, 2)]);
    effect.out.clear();
    assert_eq!(follower.confirmable(&effect), [(7, 3), (8, 2)]);
    follower.apply_change(&FleetChange::Ended { drain: 8 });
    assert!(!follower.must_drain());
}
