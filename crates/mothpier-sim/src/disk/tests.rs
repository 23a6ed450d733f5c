use super::*;

#[test]
fn what_was_synced_outlives_a_crash_and_the_rest_is_left_to_chance() {
    let mut kept = std::collections::BTreeSet::new();
    for seed in 0..40 {
        let disk = Disk::new(false);
        disk.write(0, b"synced").unwrap();
        disk.sync_data().unwrap();
        disk.write(6, b"later").unwrap();
        disk.crash(&Dice::new(seed));
        let mut found = [0; 6];
        disk.read(0, &mut found).unwrap();
        assert_eq!(&found, b"synced");
        kept.insert(disk.len().unwrap());
    }
    assert!(kept.contains(&6) && kept.contains(&11) && kept.len() > 2, "{kept:?}");
    let disk = Disk::new(true);
    disk.write(0, b"x").unwrap();
    disk.sync_data().unwrap();
    disk.fill(true);
    assert!(disk.write(0, b"y").is_err() && disk.sync_data().is_err());
}
