use super::*;

#[test]
fn the_latest_change_wins_in_any_order_of_merging() {
    let (mut old, mut new) = (HandoverState::new("n0"), HandoverState::new("n0"));
    old.set_server_drained(100, "a", true);
    old.set_server_drained(100, "b", true);
    new.merge(old.clone());
    new.set_server_drained(150, "a", false);
    old.set_server_drained(160, "b", true);
    old.set_node_drained(170, true);
    new.set_server_drained(90, "c", true);
    let (mut one, mut two) = (old.clone(), new.clone());
    one.merge(new);
    two.merge(old);
    assert_eq!(one, two);
    assert_eq!(one.drained_servers().keys().collect::<Vec<_>>(), ["b", "c"]);
    assert!(one.is_node_drained());
    // Later changes win even if the clock was set back.
    one.set_server_drained(10, "b", false);
    two.merge(one.clone());
    assert_eq!(two.drained_servers().keys().collect::<Vec<_>>(), ["c"]);
    two.set_node_drained(10, false);
    one.merge(two);
    assert!(!one.is_node_drained());
}

#[test]
fn truncated_foreign_old_or_oversized_states_are_rejected_with_a_reason() {
    let mut state = HandoverState::new("n0");
    state.set_server_drained(5, "a", true);
    let bytes = state.bytes();
    assert_eq!(HandoverState::read(&bytes, "n0").unwrap(), state);
    for cut in 0..bytes.len() {
        assert!(HandoverState::read(&bytes[..cut], "n0").is_err(), "{cut}");
    }
    for (bytes, why) in [
        (&bytes[..], "of node"),
        (br#"{"version":9,"node":"n1","emptied":{"at":0,"on":false},"hand":{},"list":null}"#, "version 9"),
        (b"\xff\x00nonsense", "unreadable"),
        (&vec![b' '; MAX_STATE_BYTES + 1][..], "too many"),
    ] {
        assert!(HandoverState::read(bytes, "n1").unwrap_err().contains(why), "{why}");
    }
    // The number of flags is bounded, and drained servers stay drained.
    (0..2 * MAX_FLAGS as u64).for_each(|i| state.set_server_drained(10 + i, &format!("x{i}"), i % 2 == 0));
    assert_eq!(state.hand.len(), MAX_FLAGS);
    assert!(state.drained_servers().contains_key("x0") && state.bytes().len() < MAX_STATE_BYTES);
}

#[test]
fn serving_processes_have_equal_shares_of_a_node() {
    let looks_up_at = [ProcessTag::from("7-1"), ProcessTag::from("8-2")];
    let status = |serving| ProcessStatus { serving, descriptors: 9, looks_up_at: looks_up_at.clone().into() };
    assert_eq!(process_share(true, &[]), 1.0);
    assert_eq!(process_share(true, &[status(false)]), 1.0, "a process that does not serve yet has no share");
    assert_eq!(process_share(true, &[status(true)]), 0.5);
    assert_eq!(process_share(false, &[status(true)]), 1.0);
    assert_eq!(process_share(true, &[status(true), status(true)]), 1.0 / 3.0);
    for w in [status(true), status(false)] {
        assert_eq!(ProcessStatus::read(&w.text()), w);
    }
    // What earlier versions write.
    let earlier = ProcessStatus { serving: true, descriptors: 9, ..ProcessStatus::default() };
    assert_eq!(ProcessStatus::read("1 9\n"), earlier);
    assert_eq!(ProcessStatus::read("\0garbage"), ProcessStatus::default());
}

#[test]
fn a_newer_list_wins_even_if_the_wall_clock_was_set_back() {
    const HOUR_MS: u64 = 3_600_000;
    let list = |revision| ServerList { revision, complete: true, members: Vec::new() };
    let mut state = HandoverState::new("n0");
    state.set_list(10 * HOUR_MS, list(1));
    let on_disk = HandoverState::read(&state.bytes(), "n0").unwrap();
    state.set_list(9 * HOUR_MS, list(2));
    // The file still has the earlier list and is read again before the next write.
    state.merge(on_disk);
    assert_eq!(state.take_list().map(|stored| stored.revision), Some(2));
}
