//! The store: what was kept is found again, whatever else was on its way; what can't be trusted is refused by name.
#![allow(missing_docs)]

use mothpier_coordinator::store::{Kept, Store};
use raft::eraftpb::{Entry, HardState};

fn line(index: u64, term: u64) -> Entry {
    Entry { index, term, data: format!("line {index} of {term}").into(), ..Entry::default() }
}

fn made() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    Store::init(folder.path(), "manila", 1, &[1, 2, 3], b"state").unwrap();
    folder
}

fn refusal(folder: &std::path::Path) -> String {
    match Store::open(folder) {
        Ok(_) => panic!("opened"),
        Err(why) => why.to_string(),
    }
}

#[test]
fn what_was_kept_is_found_and_lines_of_a_deposed_leader_are_gone() {
    let folder = made();
    let (store, found) = Store::open(folder.path()).unwrap();
    assert_eq!((found.about.member, found.snapshot.get_metadata().index), (1, 1));
    assert_eq!(found.snapshot.get_metadata().get_conf_state().voters, [1, 2, 3]);
    let vote = HardState { term: 4, vote: 2, commit: 1, ..HardState::default() };
    let lines = [line(2, 4), line(3, 4), line(4, 4)];
    store.keep(&Kept { vote: Some(&vote), entries: &lines, ..Kept::default() }).unwrap();
    store.keep(&Kept { entries: &[line(3, 5)], ..Kept::default() }).unwrap();
    drop(store);
    let (_store, found) = Store::open(folder.path()).unwrap();
    assert_eq!((found.vote.term, found.vote.vote), (4, 2));
    assert_eq!(found.entries, [line(2, 4), line(3, 5)]);
}

#[test]
fn a_snapshot_takes_the_place_of_what_it_stands_for() {
    let folder = made();
    let (store, found) = Store::open(folder.path()).unwrap();
    let lines: Vec<Entry> = (2..=9).map(|i| line(i, 2)).collect();
    store.keep(&Kept { entries: &lines, ..Kept::default() }).unwrap();
    let mut snapshot = found.snapshot.clone();
    snapshot.mut_metadata().index = 7;
    snapshot.mut_metadata().term = 2;
    store.keep(&Kept { snapshot: Some(&snapshot), keep_from: 5, ..Kept::default() }).unwrap();
    drop(store);
    let (store, found) = Store::open(folder.path()).unwrap();
    assert_eq!(found.entries, [line(8, 2), line(9, 2)]);
    // A leader's snapshot stands for the whole log, also for lines behind it.
    snapshot.mut_metadata().index = 8;
    store.keep(&Kept { snapshot: Some(&snapshot), replaces: true, ..Kept::default() }).unwrap();
    drop(store);
    assert!(Store::open(folder.path()).unwrap().1.entries.is_empty());
}

#[test]
fn a_store_that_is_missing_taken_foreign_cut_or_another_programs_is_a_clear_error() {
    let empty = tempfile::tempdir().unwrap();
    assert!(refusal(empty.path()).contains("must not come back under its number"));
    let folder = made();
    let again = Store::init(folder.path(), "manila", 1, &[1], b"");
    assert!(again.unwrap_err().to_string().contains("is there already"));
    let held = Store::open(folder.path()).unwrap();
    assert!(refusal(folder.path()).contains("another process has it open"));
    drop(held);
    let file = folder.path().join("coordinator.redb");
    let whole = std::fs::read(&file).unwrap();
    for cut in [0, 1, 100, 4096, whole.len() / 2] {
        std::fs::write(&file, &whole[..cut]).unwrap();
        let said = std::panic::catch_unwind(|| refusal(folder.path()));
        assert!(said.is_ok_and(|s| s.contains("coordinator.redb")), "cut at {cut}");
    }
    std::fs::write(&file, "member = 1").unwrap();
    assert!(refusal(folder.path()).contains("can't be opened"));
}

#[test]
fn half_of_an_init_is_no_store() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("coordinator.redb.new"), "half").unwrap();
    assert!(!Store::is_in(folder.path()));
    Store::init(folder.path(), "manila", 1, &[1], b"state").unwrap();
    assert!(Store::open(folder.path()).is_ok());
}
