use super::*;

#[test]
fn validity_counts_from_the_request_and_stops_before_the_ttl() {
    let mut validity = LeaseValidity::new(5000);
    assert_eq!((validity.remaining(0), validity.renew_at()), (None, None), "unconfirmed");
    validity.confirm_renewal(1000);
    assert_eq!(validity.valid_until(), Some(1000 + 5000 - 55 - 250));
    assert_eq!(validity.remaining(5000), Some(695));
    assert_eq!((validity.remaining(5695), validity.remaining(9000)), (None, None));
    validity.confirm_renewal(400);
    assert_eq!(validity.valid_until(), Some(5695), "a late answer to an older request changes nothing");
    assert!(validity.renew_at() < validity.warn_at() && validity.warn_at() < validity.valid_until());
}

#[test]
fn the_guard_covers_the_errors_of_all_three_clocks() {
    // A fast leader, a slow holder and a slow receiver, with the shortest, a medium and the longest TTL.
    for ttl in [500u64, 5000, 600_000] {
        let mut validity = LeaseValidity::new(ttl);
        validity.confirm_renewal(0);
        let real_end = validity.valid_until().unwrap() * (1000 + CLOCK_ERROR_PER_MILLE);
        assert!(real_end < ttl * (1000 - CLOCK_ERROR_PER_MILLE), "{ttl}");
    }
}
