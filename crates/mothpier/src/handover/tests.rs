use super::*;

#[test]
fn what_either_process_was_told_last_counts_in_both_whoever_reads_first() {
    let (mut old, mut new) = (State::new("n0"), State::new("n0"));
    old.hand(100, "a", true);
    old.hand(100, "b", true);
    new.merge(old.clone());
    new.hand(150, "a", false);
    old.hand(160, "b", true);
    old.empty(170, true);
    new.hand(90, "c", true);
    let (mut one, mut two) = (old.clone(), new.clone());
    one.merge(new);
    two.merge(old);
    assert_eq!(one, two);
    assert_eq!(one.out().keys().collect::<Vec<_>>(), ["b", "c"]);
    assert!(one.emptied());
    // A clock that goes back undoes nothing that is said after.
    one.hand(10, "b", false);
    two.merge(one.clone());
    assert_eq!(two.out().keys().collect::<Vec<_>>(), ["c"]);
    two.empty(10, false);
    one.merge(two);
    assert!(!one.emptied());
}

#[test]
fn what_is_cut_foreign_old_or_too_long_is_refused_in_words() {
    let mut state = State::new("n0");
    state.hand(5, "a", true);
    let bytes = state.bytes();
    assert_eq!(State::read(&bytes, "n0").unwrap(), state);
    for cut in 0..bytes.len() {
        assert!(State::read(&bytes[..cut], "n0").is_err(), "{cut}");
    }
    for (bytes, why) in [
        (&bytes[..], "of node"),
        (br#"{"version":9,"node":"n1","emptied":{"at":0,"on":false},"hand":{},"list":null}"#, "version 9"),
        (b"\xff\x00nonsense", "unreadable"),
        (&vec![b' '; MOST + 1][..], "too many"),
    ] {
        assert!(State::read(bytes, "n1").unwrap_err().contains(why), "{why}");
    }
    // Callers can't make it grow without end, and who is out stays out.
    (0..2 * MOST_MARKS as u64).for_each(|i| state.hand(10 + i, &format!("x{i}"), i % 2 == 0));
    assert_eq!(state.hand.len(), MOST_MARKS);
    assert!(state.out().contains_key("x0") && state.bytes().len() < MOST);
}

#[test]
fn processes_that_serve_are_equal_parts_of_one_node() {
    let word = |serving| ProcessStatus { serving, descriptors: 9 };
    assert_eq!(part(true, &[]), 1.0);
    assert_eq!(part(true, &[word(false)]), 1.0, "one that only starts takes nothing");
    assert_eq!(part(true, &[word(true)]), 0.5);
    assert_eq!(part(false, &[word(true)]), 1.0);
    assert_eq!(part(true, &[word(true), word(true)]), 1.0 / 3.0);
    for w in [word(true), word(false)] {
        assert_eq!(ProcessStatus::read(&w.text()), w);
    }
    assert_eq!(ProcessStatus::read("\0garbage"), ProcessStatus::default());
}

#[test]
fn a_list_held_later_counts_also_where_the_wall_clock_was_set_back() {
    const HOUR_MS: u64 = 3_600_000;
    let list = |revision| ServerList { revision, complete: true, members: Vec::new() };
    let mut state = State::new("n0");
    state.list(10 * HOUR_MS, list(1));
    let on_disk = State::read(&state.bytes(), "n0").unwrap();
    state.list(9 * HOUR_MS, list(2));
    // The file still holds what was written before: it is read again before the next write.
    state.merge(on_disk);
    assert_eq!(state.take_list().map(|held| held.revision), Some(2));
}
