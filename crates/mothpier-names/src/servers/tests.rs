use super::*;

#[test]
fn failing_servers_back_off_longer_and_the_one_that_recovers_first_is_the_last_resort() {
    let addresses: Vec<SocketAddr> = (1..=3).map(|n| SocketAddr::from(([10, 0, 0, n], 53))).collect();
    let mut servers = Servers::new(&addresses, 4);
    assert_eq!(servers.choose(0, &[]), Some(1));
    servers.record_failure(0, 1);
    assert_eq!((servers.choose(999, &[]), servers.choose(1_000, &[])), (Some(2), Some(1)));
    servers.record_failure(1_000, 1);
    assert_eq!((servers.choose(2_999, &[]), servers.choose(3_000, &[])), (Some(2), Some(1)));
    (0..40).for_each(|_| servers.record_failure(4_000, 1));
    assert_eq!(servers.choose(4_000 + MAX_BACKOFF_MS - 1, &[]), Some(2));
    assert_eq!(servers.choose(4_000 + MAX_BACKOFF_MS, &[]), Some(1));
    servers.record_failure(4_000, 2);
    servers.record_failure(4_100, 0);
    assert_eq!(servers.choose(4_200, &[]), Some(2));
    assert_eq!(servers.choose(4_200, &[2]), Some(0));
    assert_eq!(servers.choose(4_200, &[0, 1, 2]), None);
    assert_eq!((servers.available_at(), servers.any_healthy()), (5_000, false));
    servers.record_success(1);
    assert_eq!(servers.choose(4_200, &[]), Some(1));
    assert_eq!((servers.available_at(), servers.any_healthy()), (0, true));
}
