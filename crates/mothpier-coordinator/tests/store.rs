//! Tests of the store: persisted data is read back, and a store that can't be trusted is rejected with an
//! error that names it.
#![allow(missing_docs)]

use mothpier_coordinator::store::{Store, StoreUpdate};
use raft::eraftpb::{Entry, HardState};

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, data: format!("line {index} of {term}").into(), ..Entry::default() }
}

fn new_store() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    Store::init(folder.path(), "manila", 1, &[1, 2, 3], b"state").unwrap();
    folder
}

fn open_error(folder: &std::path::Path) -> String {
    match Store::open(folder) {
        Ok(_) => panic!("opened"),
        Err(error) => error.to_string(),
    }
}

#[test]
fn persisted_entries_are_read_back_and_those_of_a_deposed_leader_are_gone() {
    let folder = new_store();
    let (store, stored) = Store::open(folder.path()).unwrap();
    assert_eq!((stored.identity.member, stored.snapshot.get_metadata().index), (1, 1));
    assert_eq!(stored.snapshot.get_metadata().get_conf_state().voters, [1, 2, 3]);
    let hard_state = HardState { term: 4, vote: 2, commit: 1, ..HardState::default() };
    let entries_written = [entry(2, 4), entry(3, 4), entry(4, 4)];
    store
        .persist(&StoreUpdate {
            hard_state: Some(&hard_state),
            entries: &entries_written,
            ..StoreUpdate::default()
        })
        .unwrap();
    store.persist(&StoreUpdate { entries: &[entry(3, 5)], ..StoreUpdate::default() }).unwrap();
    drop(store);
    let (_store, stored) = Store::open(folder.path()).unwrap();
    assert_eq!((stored.hard_state.term, stored.hard_state.vote), (4, 2));
    assert_eq!(stored.entries, [entry(2, 4), entry(3, 5)]);
}

#[test]
fn a_snapshot_replaces_the_entries_that_it_covers() {
    let folder = new_store();
    let (store, stored) = Store::open(folder.path()).unwrap();
    let entries_written: Vec<Entry> = (2..=9).map(|i| entry(i, 2)).collect();
    store.persist(&StoreUpdate { entries: &entries_written, ..StoreUpdate::default() }).unwrap();
    let mut snapshot = stored.snapshot.clone();
    snapshot.mut_metadata().index = 7;
    snapshot.mut_metadata().term = 2;
    store
        .persist(&StoreUpdate { snapshot: Some(&snapshot), first_kept_index: 5, ..StoreUpdate::default() })
        .unwrap();
    drop(store);
    let (store, stored) = Store::open(folder.path()).unwrap();
    assert_eq!(stored.entries, [entry(8, 2), entry(9, 2)]);
    // A leader's snapshot replaces the whole log, including entries after it.
    snapshot.mut_metadata().index = 8;
    store
        .persist(&StoreUpdate { snapshot: Some(&snapshot), replaces_log: true, ..StoreUpdate::default() })
        .unwrap();
    drop(store);
    assert!(Store::open(folder.path()).unwrap().1.entries.is_empty());
}

#[test]
fn a_missing_existing_locked_truncated_or_foreign_store_is_a_clear_error() {
    let empty = tempfile::tempdir().unwrap();
    assert!(open_error(empty.path()).contains("must not rejoin under its old number"));
    let folder = new_store();
    let second_init = Store::init(folder.path(), "manila", 1, &[1], b"");
    assert!(second_init.unwrap_err().to_string().contains("already exists"));
    let open_store = Store::open(folder.path()).unwrap();
    assert!(open_error(folder.path()).contains("another process has it open"));
    drop(open_store);
    let file = folder.path().join("coordinator.redb");
    let contents = std::fs::read(&file).unwrap();
    for length in [0, 1, 100, 4096, contents.len() / 2] {
        std::fs::write(&file, &contents[..length]).unwrap();
        let error = std::panic::catch_unwind(|| open_error(folder.path()));
        assert!(error.is_ok_and(|message| message.contains("coordinator.redb")), "cut at {length}");
    }
    std::fs::write(&file, "member = 1").unwrap();
    assert!(open_error(folder.path()).contains("can't be opened"));
}

#[test]
fn an_interrupted_init_leaves_no_store() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("coordinator.redb.new"), "half").unwrap();
    assert!(!Store::exists_in(folder.path()));
    Store::init(folder.path(), "manila", 1, &[1], b"state").unwrap();
    assert!(Store::open(folder.path()).is_ok());
}
