use super::*;

#[test]
fn dead_processes_are_detected_and_states_are_stored_whole() {
    let directory = std::env::temp_dir().join(format!("mothpier-handover-store-{}", std::process::id()));
    let _ = fs::remove_dir_all(&directory);
    assert!(DirectoryStore::open(&directory).is_err(), "no such directory");
    fs::create_dir_all(&directory).unwrap();
    let store = DirectoryStore::open(&directory).unwrap();
    assert_eq!((store.read(), store.other_processes()), (None, Vec::new()));
    store.write(b"one").unwrap();
    store.write(b"two").unwrap();
    assert_eq!(store.read().unwrap(), b"two");
    let live_status = ProcessStatus { serving: true, descriptors: 7, ..ProcessStatus::default() };
    // Status files of a live and of a dead process, and foreign files.
    let live = directory.join(format!("{STATUS_FILE_PREFIX}1"));
    fs::write(&live, live_status.text()).unwrap();
    let live_file = File::open(&live).unwrap();
    live_file.lock().unwrap();
    fs::write(directory.join(format!("{STATUS_FILE_PREFIX}2")), "1 9\n").unwrap();
    fs::write(directory.join("other"), "x").unwrap();
    fs::create_dir(directory.join(format!("{STATUS_FILE_PREFIX}dir"))).unwrap();
    let others = store.other_processes();
    assert_eq!(others, [OtherProcess { tag: ProcessTag::from("1"), status: live_status }]);
    assert!(
        !directory.join(format!("{STATUS_FILE_PREFIX}2")).exists()
            && live.exists()
            && directory.join("other").exists()
    );
    for serving in [true, false] {
        store.publish_status(serving, BTreeSet::from([ProcessTag::from("1"), ProcessTag::from("2")]));
        let own = ProcessStatus::read(&fs::read_to_string(&store.status_path).unwrap());
        assert!(own.serving == serving && own.descriptors > 2 && own.looks_up_at.len() == 2, "{own:?}");
    }
    assert!(!store.has_ended(&ProcessTag::from("1")) && store.has_ended(&ProcessTag::from("2")));
    drop(live_file);
    assert!(store.has_ended(&ProcessTag::from("1")));
    assert!(store.other_processes().iter().all(|w| w.status.descriptors != 7));
    // An oversized state is read as one byte more than the maximum.
    store.write(&vec![b'x'; MAX_STATE_BYTES + 9]).unwrap();
    assert_eq!(store.read().unwrap().len(), MAX_STATE_BYTES + 1);
    let (another, tag) = (DirectoryStore::open(&directory).unwrap(), store.tag().clone());
    assert!(another.open_id_table(&tag).is_ok() && !another.has_ended(&tag));
    drop(store);
    assert!(another.open_id_table(&tag).is_err() && another.has_ended(&tag));
    drop(another);
    fs::remove_dir_all(&directory).unwrap();
}
