use super::*;

fn told(drain: u64, subject: Subject, stage: Stage, turn: u64) -> Told {
    Told { drain, subject, stage, turn }
}

#[test]
fn a_node_confirms_what_is_in_effect_once_for_each_stage() {
    let mut follower = Follower::new("n1");
    let leaving = told(7, Subject::server("a"), Stage::Leaving, 1);
    follower.change(&FleetChange::Drain { told: leaving.clone() });
    assert!(!follower.knows() && follower.out().is_empty(), "a change without the whole says nothing");
    follower.read(vec![leaving.clone(), told(8, Subject::node("n1"), Stage::Leaving, 2)]);
    assert_eq!((follower.out(), follower.empties()), (["a".to_owned()].into(), true));
    let mut effect = Effect::default();
    assert!(follower.confirms(&effect).is_empty(), "nothing is in effect yet");
    effect.out = follower.out();
    assert_eq!(follower.confirms(&effect), [(7, 1)]);
    follower.confirmed(7, 1);
    effect.empty = true;
    assert_eq!(follower.confirms(&effect), [(8, 2)]);
    follower.confirmed(8, 2);
    assert!(follower.confirms(&effect).is_empty());
    follower.joined();
    assert_eq!(follower.confirms(&effect), [(7, 1), (8, 2)], "a new process confirms anew");
    // Back: the next stage asks for the opposite, and an old word of the one before changes nothing.
    follower.change(&FleetChange::Drain { told: told(7, Subject::server("a"), Stage::Returning, 3) });
    follower.change(&FleetChange::Drain { told: leaving });
    assert!(follower.out().is_empty() && follower.confirms(&effect) == [(8, 2)]);
    effect.out.clear();
    assert_eq!(follower.confirms(&effect), [(7, 3), (8, 2)]);
    follower.change(&FleetChange::Ended { drain: 8 });
    assert!(!follower.empties());
}
