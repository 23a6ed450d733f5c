use super::*;
use crate::redirect::{Host, place};

fn at(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number], 7000))
}

/// The list: boxes 1 to 9 at their addresses.
fn listed(address: SocketAddr) -> Option<ServerId> {
    (1..10).find(|n| at(*n) == address).map(ServerId::from)
}

fn seat(text: &str) -> ClusterMember {
    ClusterMember { places: vec![place(text).unwrap()], alias: None }
}

fn view(epoch: u64, ranges: &[(u16, u16, &str)]) -> View {
    let range = |(first, last, owner): &(u16, u16, &str)| Range {
        first: *first,
        last: *last,
        owner: seat(owner),
        copies: Vec::new(),
    };
    View { epoch, ranges: ranges.iter().map(range).collect() }
}

const ONE: &str = "10.1.0.1:7000";
const TWO: &str = "10.1.0.2:7000";
const THREE: &str = "10.1.0.3:7000";

#[test]
fn the_higher_epoch_wins_slot_by_slot_and_then_the_majority() {
    let mut table = Table::new(false);
    let heard = vec![
        (at(1), view(5, &[(0, 99, ONE), (100, 199, TWO)])),
        (at(2), view(4, &[(0, 299, THREE)])),
        (at(3), view(5, &[(0, 49, TWO), (50, 99, ONE)])),
        (at(4), view(5, &[(0, 49, TWO)])),
    ];
    let merged = table.merge(heard, 0, &listed);
    assert_eq!(merged, Merged { epoch: 5, stale: false, uncovered: 16_384 - 300, disputed: 50 });
    assert_eq!((table.home(0), table.home(60), table.home(150)), (&[2][..], &[1][..], &[2][..]));
    // Only the older view speaks of these.
    assert_eq!((table.home(250), table.home(300)), (&[3][..], &[][..]));
    // A tie: what was held stays, whoever comes first.
    let heard = vec![(at(1), view(5, &[(0, 0, ONE)])), (at(2), view(5, &[(0, 0, TWO)]))];
    table.merge(heard, 0, &listed);
    assert_eq!(table.home(0), [2]);
}

#[test]
fn an_older_map_does_not_win_unless_the_cluster_began_anew() {
    let mut table = Table::new(false);
    table.merge(vec![(at(1), view(9, &[(0, 16_383, ONE)]))], 0, &listed);
    for round in 1..BEHIND {
        assert!(table.merge(vec![(at(2), view(8, &[(0, 16_383, TWO)]))], 0, &listed).stale, "{round}");
        assert_eq!(table.home(7), [1]);
        // Nobody answered: that says nothing either way.
        assert!(table.merge(Vec::new(), 0, &listed).stale);
    }
    assert!(!table.merge(vec![(at(2), view(1, &[(0, 16_383, TWO)]))], 0, &listed).stale);
    assert_eq!((table.home(7), table.epoch()), (&[2][..], 1));
}

#[test]
fn a_redirection_that_proved_true_holds_until_a_later_map() {
    let mut table = Table::new(false);
    table.merge(vec![(at(1), view(1, &[(0, 16_383, ONE)]))], 0, &listed);
    let before = table.mark();
    assert_eq!(table.moved(7, 2), Some(SlotAssignment { first: 7, last: 7, boxes: vec![2] }));
    assert_eq!(table.moved(7, 2), None);
    // A round that began before it knows nothing of it; one that began after it does.
    table.merge(vec![(at(1), view(1, &[(0, 16_383, ONE)]))], before, &listed);
    assert_eq!((table.home(6), table.home(7)), (&[1][..], &[2][..]));
    table.relist(&listed);
    assert_eq!(table.home(7), [2]);
    table.merge(vec![(at(1), view(1, &[(0, 16_383, ONE)]))], table.mark(), &listed);
    assert_eq!(table.home(7), [1]);
    assert_eq!(table.moved(SLOTS, 2), None);
}

#[test]
fn a_box_counts_from_when_the_list_names_it_under_any_of_its_addresses() {
    let mut table = Table::new(true);
    let mut two = seat("192.168.7.2:7000");
    two.places.push(place(TWO).unwrap());
    let mut three = seat("pb3.example.org:7000");
    three.places.push(place(THREE).unwrap());
    three.alias = Some(("pb3.example.org".into(), [10, 1, 0, 3].into()));
    let range = |owner: &ClusterMember, copies: &[ClusterMember]| Range {
        first: 0,
        last: 9,
        owner: owner.clone(),
        copies: copies.to_vec(),
    };
    let view = View { epoch: 1, ranges: vec![range(&two, &[three.clone(), two.clone(), seat("9.9.9.9:1")])] };
    let without_two = |a: SocketAddr| listed(a).filter(|id| *id != 2);
    let merged = table.merge(vec![(at(1), view)], 0, &without_two);
    assert_eq!((merged.uncovered, table.home(0)), (SLOTS, &[][..]));
    assert_eq!(table.relist(&listed).uncovered, SLOTS - 10);
    assert_eq!(table.home(0), [2, 3], "twice, or one that the list lacks");
    let named = Endpoint { host: Host::Name("pb3.example.org".into()), port: Some(7000) };
    assert_eq!(table.address(&named, at(1)), Some(at(3)));
    assert_eq!(table.ranges(), [SlotAssignment { first: 0, last: 9, boxes: vec![2, 3] }]);
    // Copies are read only where that is wanted.
    let mut owners = Table::new(false);
    owners.merge(table.heard.clone(), 0, &listed);
    assert_eq!(owners.home(0), [2]);
}

#[test]
fn a_host_that_is_not_named_is_the_one_that_was_asked() {
    let mut table = Table::new(false);
    table.merge(vec![(at(4), view(1, &[(0, 0, ":7000"), (1, 1, "")]))], 0, &listed);
    assert_eq!((table.home(0), table.home(1)), (&[4][..], &[4][..]));
}

#[test]
fn ranges_give_back_the_table() {
    let mut dice = oorandom::Rand32::new(3);
    for _ in 0..50 {
        let mut table = Table::new(false);
        let mut ranges = Vec::new();
        for _ in 0..dice.rand_range(1..40) {
            let first = dice.rand_range(0..u32::from(SLOTS)) as u16;
            let last = first.saturating_add(dice.rand_range(0..2_000) as u16).min(SLOTS - 1);
            ranges.push((first, last, [ONE, TWO, THREE][dice.rand_range(0..3) as usize]));
        }
        let merged = table.merge(vec![(at(1), view(1, &ranges))], 0, &listed);
        let held = table.ranges();
        for slot in 0..SLOTS {
            let by: Vec<&SlotAssignment> =
                held.iter().filter(|h| (h.first..=h.last).contains(&slot)).collect();
            assert!(by.len() <= 1);
            assert_eq!(by.first().map_or(&[][..], |h| &h.boxes[..]), table.home(slot));
        }
        let covered: u32 = held.iter().map(|h| u32::from(h.last - h.first) + 1).sum();
        assert_eq!(covered + u32::from(merged.uncovered), u32::from(SLOTS));
    }
}
