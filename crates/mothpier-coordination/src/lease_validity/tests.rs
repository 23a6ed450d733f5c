use super::*;

#[test]
fn a_holder_counts_from_before_it_asked_and_keeps_off_the_end() {
    let mut hold = LeaseValidity::new(5000);
    assert_eq!((hold.left(0), hold.renew_at()), (None, None), "unconfirmed");
    hold.confirmed(1000);
    assert_eq!(hold.until(), Some(1000 + 5000 - 55 - 250));
    assert_eq!(hold.left(5000), Some(695));
    assert_eq!((hold.left(5695), hold.left(9000)), (None, None));
    hold.confirmed(400);
    assert_eq!(
        hold.until(),
        Some(5695),
        "an older answer that comes late takes nothing back and gives nothing"
    );
    assert!(hold.renew_at() < hold.warn_at() && hold.warn_at() < hold.until());
}

#[test]
fn what_is_kept_off_covers_all_three_clocks() {
    // A fast leader, a slow holder, a slow one that obeys: all errors against the holder, at both ends of the bounds.
    for ttl in [500u64, 5000, 600_000] {
        let mut hold = LeaseValidity::new(ttl);
        hold.confirmed(0);
        let real_end = hold.until().unwrap() * (1000 + CLOCK_ERROR);
        assert!(real_end < ttl * (1000 - CLOCK_ERROR), "{ttl}");
    }
}
