use super::*;
use crate::redirect::{Host, parse_endpoint};

fn address_of(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number], 7000))
}

/// The server list: servers 1 to 9 at their addresses.
fn lookup(addr: SocketAddr) -> Option<ServerId> {
    (1..10).find(|n| address_of(*n) == addr).map(ServerId::from)
}

fn member(text: &str) -> ClusterMember {
    ClusterMember { endpoints: vec![parse_endpoint(text).unwrap()], alias: None }
}

fn view(epoch: u64, ranges: &[(u16, u16, &str)]) -> View {
    let range = |(first, last, owner): &(u16, u16, &str)| Range {
        first: *first,
        last: *last,
        owner: member(owner),
        replicas: Vec::new(),
    };
    View { epoch, ranges: ranges.iter().map(range).collect() }
}

const ONE: &str = "10.1.0.1:7000";
const TWO: &str = "10.1.0.2:7000";
const THREE: &str = "10.1.0.3:7000";

#[test]
fn the_highest_epoch_wins_per_slot_and_then_the_majority() {
    let mut table = Table::new(false);
    let views = vec![
        (address_of(1), view(5, &[(0, 99, ONE), (100, 199, TWO)])),
        (address_of(2), view(4, &[(0, 299, THREE)])),
        (address_of(3), view(5, &[(0, 49, TWO), (50, 99, ONE)])),
        (address_of(4), view(5, &[(0, 49, TWO)])),
    ];
    let merged = table.merge(views, 0, &lookup);
    assert_eq!(merged, Merged { epoch: 5, stale: false, uncovered: 16_384 - 300, disputed: 50 });
    assert_eq!(
        (table.servers_of(0), table.servers_of(60), table.servers_of(150)),
        (&[2][..], &[1][..], &[2][..])
    );
    // Only the older map mentions these slots.
    assert_eq!((table.servers_of(250), table.servers_of(300)), (&[3][..], &[][..]));
    // On a tie the previous owner stays, whichever map comes first.
    let views = vec![(address_of(1), view(5, &[(0, 0, ONE)])), (address_of(2), view(5, &[(0, 0, TWO)]))];
    table.merge(views, 0, &lookup);
    assert_eq!(table.servers_of(0), [2]);
}

#[test]
fn an_older_map_is_discarded_unless_the_cluster_was_recreated() {
    let mut table = Table::new(false);
    table.merge(vec![(address_of(1), view(9, &[(0, 16_383, ONE)]))], 0, &lookup);
    for round in 1..CLUSTER_RESET_ROUNDS {
        assert!(
            table.merge(vec![(address_of(2), view(8, &[(0, 16_383, TWO)]))], 0, &lookup).stale,
            "{round}"
        );
        assert_eq!(table.servers_of(7), [1]);
        // A round without answers is no evidence either way.
        assert!(table.merge(Vec::new(), 0, &lookup).stale);
    }
    assert!(!table.merge(vec![(address_of(2), view(1, &[(0, 16_383, TWO)]))], 0, &lookup).stale);
    assert_eq!((table.servers_of(7), table.epoch()), (&[2][..], 1));
}

#[test]
fn a_confirmed_redirection_holds_until_a_later_map() {
    let mut table = Table::new(false);
    table.merge(vec![(address_of(1), view(1, &[(0, 16_383, ONE)]))], 0, &lookup);
    let mark = table.redirect_mark();
    assert_eq!(table.record_move(7, 2), Some(SlotAssignment { first: 7, last: 7, servers: vec![2] }));
    assert_eq!(table.record_move(7, 2), None);
    // A round that started before the redirection does not override it; one that started after it does.
    table.merge(vec![(address_of(1), view(1, &[(0, 16_383, ONE)]))], mark, &lookup);
    assert_eq!((table.servers_of(6), table.servers_of(7)), (&[1][..], &[2][..]));
    table.refresh_lookup(&lookup);
    assert_eq!(table.servers_of(7), [2]);
    table.merge(vec![(address_of(1), view(1, &[(0, 16_383, ONE)]))], table.redirect_mark(), &lookup);
    assert_eq!(table.servers_of(7), [1]);
    assert_eq!(table.record_move(SLOTS, 2), None);
}

#[test]
fn a_server_is_used_once_the_list_has_any_of_its_addresses() {
    let mut table = Table::new(true);
    let mut second = member("192.168.7.2:7000");
    second.endpoints.push(parse_endpoint(TWO).unwrap());
    let mut third = member("pb3.example.org:7000");
    third.endpoints.push(parse_endpoint(THREE).unwrap());
    third.alias = Some(("pb3.example.org".into(), [10, 1, 0, 3].into()));
    let range = |owner: &ClusterMember, replicas: &[ClusterMember]| Range {
        first: 0,
        last: 9,
        owner: owner.clone(),
        replicas: replicas.to_vec(),
    };
    let view = View {
        epoch: 1,
        ranges: vec![range(&second, &[third.clone(), second.clone(), member("9.9.9.9:1")])],
    };
    let without_two = |addr: SocketAddr| lookup(addr).filter(|id| *id != 2);
    let merged = table.merge(vec![(address_of(1), view)], 0, &without_two);
    assert_eq!((merged.uncovered, table.servers_of(0)), (SLOTS, &[][..]));
    assert_eq!(table.refresh_lookup(&lookup).uncovered, SLOTS - 10);
    assert_eq!(table.servers_of(0), [2, 3], "no duplicates, and no server that is not in the list");
    let endpoint = Endpoint { host: Host::Name("pb3.example.org".into()), port: Some(7000) };
    assert_eq!(table.resolve(&endpoint, address_of(1)), Some(address_of(3)));
    assert_eq!(table.ranges(), [SlotAssignment { first: 0, last: 9, servers: vec![2, 3] }]);
    // Replicas are included only if reads from replicas are enabled.
    let mut owners_only = Table::new(false);
    owners_only.merge(table.views.clone(), 0, &lookup);
    assert_eq!(owners_only.servers_of(0), [2]);
}

#[test]
fn an_endpoint_without_host_is_the_queried_server() {
    let mut table = Table::new(false);
    table.merge(vec![(address_of(4), view(1, &[(0, 0, ":7000"), (1, 1, "")]))], 0, &lookup);
    assert_eq!((table.servers_of(0), table.servers_of(1)), (&[4][..], &[4][..]));
}

#[test]
fn ranges_match_the_table() {
    let mut rng = oorandom::Rand32::new(3);
    for _ in 0..50 {
        let mut table = Table::new(false);
        let mut ranges = Vec::new();
        for _ in 0..rng.rand_range(1..40) {
            let first = rng.rand_range(0..u32::from(SLOTS)) as u16;
            let last = first.saturating_add(rng.rand_range(0..2_000) as u16).min(SLOTS - 1);
            ranges.push((first, last, [ONE, TWO, THREE][rng.rand_range(0..3) as usize]));
        }
        let merged = table.merge(vec![(address_of(1), view(1, &ranges))], 0, &lookup);
        let assignments = table.ranges();
        for slot in 0..SLOTS {
            let matching: Vec<&SlotAssignment> = assignments
                .iter()
                .filter(|assignment| (assignment.first..=assignment.last).contains(&slot))
                .collect();
            assert!(matching.len() <= 1);
            assert_eq!(
                matching.first().map_or(&[][..], |assignment| &assignment.servers[..]),
                table.servers_of(slot)
            );
        }
        let covered: u32 =
            assignments.iter().map(|assignment| u32::from(assignment.last - assignment.first) + 1).sum();
        assert_eq!(covered + u32::from(merged.uncovered), u32::from(SLOTS));
    }
}
