use super::*;

#[test]
fn a_renewal_gives_the_whole_time_from_its_commit_and_a_new_leader_gives_it_anew() {
    let mut keeper = SessionExpiry::default();
    keeper.lives(100, "a", 1000, 0);
    assert_eq!((keeper.next(), keeper.left(600, "a")), (Some(1100), Some(500)));
    keeper.lives(600, "a", 1000, 1);
    keeper.lives(900, "a", 1000, 1);
    assert_eq!(keeper.next(), Some(1600), "the same renewal seen twice");
    assert!(keeper.due(1599, 200).is_empty());
    let expire = Command::Expire { session: "a".into(), renewals: 1 };
    assert_eq!(keeper.due(1600, 200), std::slice::from_ref(&expire));
    assert!(keeper.due(1700, 200).is_empty());
    assert_eq!(keeper.due(1800, 200), [expire], "asked for again: the first may be lost");
    keeper.over("a");
    assert_eq!((keeper.next(), keeper.left(1800, "a")), (None, None));
    let session = "a".to_owned();
    keeper.lead(5000, [(&session, 1000, 7)].into_iter());
    assert_eq!(keeper.next(), Some(6000));
}
