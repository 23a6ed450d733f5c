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
    // Status files of a live and of a dead process, and foreign files.
    let live = directory.join(format!("{STATUS_FILE_PREFIX}1"));
    fs::write(&live, ProcessStatus { serving: true, descriptors: 7 }.text()).unwrap();
    let live_file = File::open(&live).unwrap();
    live_file.lock().unwrap();
    fs::write(directory.join(format!("{STATUS_FILE_PREFIX}2")), "1 9\n").unwrap();
    fs::write(directory.join("other"), "x").unwrap();
    fs::create_dir(directory.join(format!("{STATUS_FILE_PREFIX}dir"))).unwrap();
    let statuses = store.other_processes();
    assert!(statuses.contains(&ProcessStatus { serving: true, descriptors: 7 }), "{statuses:?}");
    assert!(
        !directory.join(format!("{STATUS_FILE_PREFIX}2")).exists()
            && live.exists()
            && directory.join("other").exists()
    );
    for serving in [true, false] {
        store.publish_status(serving);
        let own = ProcessStatus::read(&fs::read_to_string(&store.status_path).unwrap());
        assert!(own.serving == serving && own.descriptors > 2, "{own:?}");
    }
    drop(live_file);
    assert!(store.other_processes().iter().all(|w| w.descriptors != 7));
    // An oversized state is read as one byte more than the maximum.
    store.write(&vec![b'x'; MAX_STATE_BYTES + 9]).unwrap();
    assert_eq!(store.read().unwrap().len(), MAX_STATE_BYTES + 1);
    drop(store);
    fs::remove_dir_all(&directory).unwrap();
}
