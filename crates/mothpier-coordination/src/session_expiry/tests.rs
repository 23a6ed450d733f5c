use super::*;

#[test]
fn a_renewal_counts_from_its_commit_and_a_new_leader_grants_the_whole_ttl_again() {
    let mut expiry = SessionExpiry::default();
    expiry.record_renewal(100, "a", 1000, 0);
    assert_eq!((expiry.next_expiry(), expiry.remaining_ms(600, "a")), (Some(1100), Some(500)));
    expiry.record_renewal(600, "a", 1000, 1);
    expiry.record_renewal(900, "a", 1000, 1);
    assert_eq!(expiry.next_expiry(), Some(1600), "the same renewal again");
    assert!(expiry.take_due(1599, 200).is_empty());
    let expire = Command::Expire { session: "a".into(), renewals: 1 };
    assert_eq!(expiry.take_due(1600, 200), std::slice::from_ref(&expire));
    assert!(expiry.take_due(1700, 200).is_empty());
    assert_eq!(
        expiry.take_due(1800, 200),
        [expire],
        "returned again, because the first proposal may be lost"
    );
    expiry.remove("a");
    assert_eq!((expiry.next_expiry(), expiry.remaining_ms(1800, "a")), (None, None));
    let session = "a".to_owned();
    expiry.start_leadership(5000, [(&session, 1000, 7)].into_iter());
    assert_eq!(expiry.next_expiry(), Some(6000));
}
