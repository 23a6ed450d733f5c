use super::*;

fn table() -> (tempfile::TempDir, IdTable, IdTableReader) {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("ids");
    let table = IdTable::create(&path).unwrap();
    (directory, table, IdTableReader::open(&path).unwrap())
}

#[test]
fn a_reader_finds_what_was_published_set_and_not_removed() {
    let (directory, mut table, reader) = table();
    table.set(7, IdUse::OpenSafe).unwrap();
    assert_eq!(reader.find(7).unwrap(), None, "not published");
    let published =
        [(0, IdUse::OpenSafe), (BUCKETS as u64, IdUse::MayHaveRun), (u64::MAX, IdUse::OpenUnsafe)];
    table.publish(published.into_iter()).unwrap();
    for (hash, id_use) in published {
        assert_eq!(reader.find(hash).unwrap(), Some(id_use), "{hash}");
    }
    let mut all = reader.all().unwrap();
    all.sort_by_key(|(hash, _)| *hash);
    assert_eq!(all, published);
    table.set(0, IdUse::MayHaveRun).unwrap();
    table.set(9, IdUse::OpenSafe).unwrap();
    table.remove(u64::MAX).unwrap();
    table.remove(1 << 40).unwrap();
    // A process that has ended removes its file.
    drop(directory);
    assert_eq!(reader.find(0).unwrap(), Some(IdUse::MayHaveRun));
    assert_eq!(reader.find(9).unwrap(), Some(IdUse::OpenSafe));
    assert_eq!(reader.find(u64::MAX).unwrap(), None);
    assert_eq!(reader.find(1 << 40).unwrap(), None);
    table.withdraw();
    table.publish(std::iter::empty()).unwrap();
    assert_eq!(reader.all().unwrap(), []);
}

#[test]
fn a_full_bucket_is_an_error_and_keeps_what_it_has() {
    let (_directory, mut table, reader) = table();
    table.publish(std::iter::empty()).unwrap();
    let hash = |number: usize| (number as u64 + 1) * BUCKETS as u64;
    for number in 0..BUCKET_ENTRIES {
        table.set(hash(number), IdUse::OpenSafe).unwrap();
    }
    assert_eq!(
        table.set(hash(BUCKET_ENTRIES), IdUse::OpenSafe).unwrap_err().kind(),
        io::ErrorKind::StorageFull
    );
    assert_eq!(reader.find(hash(BUCKET_ENTRIES)).unwrap(), None);
    table.remove(hash(3)).unwrap();
    table.set(hash(BUCKET_ENTRIES), IdUse::OpenSafe).unwrap();
    let ids = (0..=BUCKET_ENTRIES).filter(|number| *number != 3);
    assert!(ids.into_iter().all(|number| reader.find(hash(number)).unwrap() == Some(IdUse::OpenSafe)));
}

#[test]
fn a_table_that_is_cut_is_an_error() {
    let (directory, _table, reader) = table();
    OpenOptions::new().write(true).open(directory.path().join("ids")).unwrap().set_len(100).unwrap();
    assert!(reader.find(5).is_err() && reader.all().is_err());
    assert!(IdTableReader::open(&directory.path().join("none")).is_err());
}
