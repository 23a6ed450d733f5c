use super::*;

#[test]
fn one_that_fails_rests_ever_longer_and_the_last_resort_is_the_one_whose_rest_ends_first() {
    let at: Vec<SocketAddr> = (1..=3).map(|n| SocketAddr::from(([10, 0, 0, n], 53))).collect();
    let mut servers = Servers::new(&at, 4);
    assert_eq!(servers.choose(0, &[]), Some(1));
    servers.failed(0, 1);
    assert_eq!((servers.choose(999, &[]), servers.choose(1_000, &[])), (Some(2), Some(1)));
    servers.failed(1_000, 1);
    assert_eq!((servers.choose(2_999, &[]), servers.choose(3_000, &[])), (Some(2), Some(1)));
    (0..40).for_each(|_| servers.failed(4_000, 1));
    assert_eq!(servers.choose(4_000 + REST.1 - 1, &[]), Some(2));
    assert_eq!(servers.choose(4_000 + REST.1, &[]), Some(1));
    servers.failed(4_000, 2);
    servers.failed(4_100, 0);
    assert_eq!(servers.choose(4_200, &[]), Some(2));
    assert_eq!(servers.choose(4_200, &[2]), Some(0));
    assert_eq!(servers.choose(4_200, &[0, 1, 2]), None);
    assert_eq!((servers.awake_at(), servers.any_well()), (5_000, false));
    servers.did_well(1);
    assert_eq!(servers.choose(4_200, &[]), Some(1));
    assert_eq!((servers.awake_at(), servers.any_well()), (0, true));
}
