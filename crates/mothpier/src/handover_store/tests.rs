use super::*;

#[test]
fn the_dead_are_known_and_a_state_is_whole_or_not_there() {
    let folder = std::env::temp_dir().join(format!("mothpier-shelf-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    assert!(DirectoryStore::open(&folder).is_err(), "no such folder");
    fs::create_dir_all(&folder).unwrap();
    let shelf = DirectoryStore::open(&folder).unwrap();
    assert_eq!((shelf.read(), shelf.others()), (None, Vec::new()));
    shelf.write(b"one").unwrap();
    shelf.write(b"two").unwrap();
    assert_eq!(shelf.read().unwrap(), b"two");
    // A live one, a dead one, foreign ones.
    let live = folder.join(format!("{ALIVE}1"));
    fs::write(&live, ProcessStatus { serving: true, descriptors: 7 }.text()).unwrap();
    let held = File::open(&live).unwrap();
    held.lock().unwrap();
    fs::write(folder.join(format!("{ALIVE}2")), "1 9\n").unwrap();
    fs::write(folder.join("other"), "x").unwrap();
    fs::create_dir(folder.join(format!("{ALIVE}dir"))).unwrap();
    let words = shelf.others();
    assert!(words.contains(&ProcessStatus { serving: true, descriptors: 7 }), "{words:?}");
    assert!(!folder.join(format!("{ALIVE}2")).exists() && live.exists() && folder.join("other").exists());
    for serving in [true, false] {
        shelf.tell(serving);
        let own = ProcessStatus::read(&fs::read_to_string(&shelf.own).unwrap());
        assert!(own.serving == serving && own.descriptors > 2, "{own:?}");
    }
    drop(held);
    assert!(shelf.others().iter().all(|w| w.descriptors != 7));
    // One that is too long is read as such.
    shelf.write(&vec![b'x'; MOST + 9]).unwrap();
    assert_eq!(shelf.read().unwrap().len(), MOST + 1);
    drop(shelf);
    fs::remove_dir_all(&folder).unwrap();
}
