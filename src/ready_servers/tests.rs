use super::*;
use crate::interface::ServerEntry;

fn server(id: ServerId, kind: u16, zone: u8) -> ServerState {
    let entry = ServerEntry { id, kind, zone, condition: Condition::Ready, ..ServerEntry::default() };
    ServerState { entry, key_share: 1.0, ..ServerState::default() }
}

fn kind_weight(kind: u16) -> f64 {
    [1.0, 0.4, 2.5][usize::from(kind)]
}

fn fleet(count: u32) -> BTreeMap<ServerId, ServerState> {
    let id = |number: u32| number.wrapping_mul(2_654_435_761);
    (0..count).map(|n| (id(n), server(id(n), (n % 3) as u16, (n % 2) as u8))).collect()
}

/// A capacity that differs from server to server.
fn capacity(state: &ServerState) -> f64 {
    1.0 + f64::from(state.entry.id % 7)
}

fn ready_servers(classes: &[Class], servers: &BTreeMap<ServerId, ServerState>) -> ReadyServers {
    let mut ready = ReadyServers::new(classes);
    ready.rebuild(classes, servers, capacity, kind_weight);
    ready
}

#[test]
fn first_in_order_matches_a_full_sort_by_score() {
    for count in [1, 5, 16, 17, 200, 3_200] {
        let servers = fleet(count);
        let ready = ready_servers(&[Class::default()], &servers);
        for key in (1..200u64).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15)) {
            let weight = |state: &ServerState| capacity(state) * kind_weight(state.entry.kind);
            let mut all: Vec<(f64, ServerId)> = servers
                .values()
                .map(|state| (rendezvous_score(key, state.entry.id, weight(state)), state.entry.id))
                .collect();
            all.sort_by(|a, b| a.partial_cmp(b).unwrap());
            let expected: Vec<ServerId> = all.iter().take(FIRST_IN_ORDER).map(|(_, id)| *id).collect();
            let first: Vec<ServerId> = ready.first_in_order(0, key).collect();
            assert_eq!(first, expected, "{count} servers, key {key}");
        }
    }
}

#[test]
fn classes_of_one_placement_share_a_group_and_others_do_not() {
    let bound = Class { only_zones: Some(vec![1]), ..Class::default() };
    let classes = [Class::default(), bound.clone(), Class::default(), bound];
    let servers = fleet(10);
    let ready = ready_servers(&classes, &servers);
    assert_eq!((ready.groups.len(), ready.count()), (2, 10));
    for (class, expected) in [(0, 10), (1, 5), (2, 10), (3, 5)] {
        assert_eq!(ready.of_class(class).count(), expected, "class {class}");
        let weight: f64 = ready
            .of_class(class)
            .map(|id| capacity(&servers[&id]) * kind_weight(servers[&id].entry.kind))
            .sum();
        assert!((ready.weight(class) - weight).abs() < 1e-9, "class {class}");
    }
}

#[test]
fn only_ready_servers_are_members_and_origins_are_kept_separately() {
    let mut servers = fleet(6);
    let ids: Vec<ServerId> = servers.keys().copied().collect();
    servers.get_mut(&ids[0]).unwrap().entry.condition = Condition::Draining;
    servers.get_mut(&ids[1]).unwrap().entry.condition = Condition::Gone;
    servers.get_mut(&ids[2]).unwrap().is_origin = true;
    let ready = ready_servers(&[Class::default()], &servers);
    assert_eq!(ready.of_class(0).collect::<Vec<_>>(), ids[3..]);
    assert_eq!((ready.origins(), ready.count()), (&ids[2..3], 3));
}

#[test]
fn new_weights_of_kinds_change_the_order_as_a_rebuild_does() {
    let (servers, classes) = (fleet(300), [Class::default()]);
    let (mut reweighed, mut rebuilt) = (ready_servers(&classes, &servers), ReadyServers::new(&classes));
    let changed = |kind: u16| if kind == 1 { 3.0 } else { 1.0 };
    reweighed.reweigh(changed);
    rebuilt.rebuild(&classes, &servers, capacity, changed);
    let order = |ready: &ReadyServers| ready.first_in_order(0, 99).collect::<Vec<_>>();
    assert_eq!(order(&reweighed), order(&rebuilt));
    assert!((reweighed.weight(0) - rebuilt.weight(0)).abs() < 1e-9);
}
