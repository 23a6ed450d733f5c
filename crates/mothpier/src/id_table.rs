//! A file with the request ids that one process of a node keeps from being used, which the other processes look up
//! before they take an id. It is a hash table of fixed size that one process writes and any number read, without
//! locks: an entry is eight bytes and is written and read by one system call each.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Number of buckets, a power of two.
const BUCKETS: usize = 2048;
/// Entries of a bucket. With ten thousand open requests and all ids that are kept, a bucket holds seven on average.
const BUCKET_ENTRIES: usize = 32;
const ENTRY_BYTES: usize = size_of::<u64>();
const BUCKET_BYTES: usize = BUCKET_ENTRIES * ENTRY_BYTES;
const TABLE_BYTES: usize = BUCKETS * BUCKET_BYTES;

/// The bits of a hash that select its bucket. An entry holds its use in their place.
const BUCKET_MASK: u64 = BUCKETS as u64 - 1;

/// An entry that holds no id.
const EMPTY: u64 = 0;

/// What keeps an id from being used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdUse {
    /// A request of this id is open, and may be repeated.
    OpenSafe,
    /// A request of this id is open, and must not run twice.
    OpenUnsafe,
    /// A request of this id may have run, and must not run twice.
    MayHaveRun,
}

impl IdUse {
    const ALL: [IdUse; 3] = [IdUse::OpenSafe, IdUse::OpenUnsafe, IdUse::MayHaveRun];

    fn encode(self) -> u64 {
        match self {
            IdUse::OpenSafe => 1,
            IdUse::OpenUnsafe => 2,
            IdUse::MayHaveRun => 3,
        }
    }

    fn decode(bits: u64) -> Option<Self> {
        IdUse::ALL.into_iter().find(|id_use| id_use.encode() == bits)
    }
}

/// The bucket of a hash.
fn bucket_of(hash: u64) -> usize {
    (hash & BUCKET_MASK) as usize
}

fn is_entry_of(entry: u64, hash: u64) -> bool {
    entry != EMPTY && entry & !BUCKET_MASK == hash & !BUCKET_MASK
}

fn entries(bytes: &[u8]) -> impl Iterator<Item = u64> {
    bytes.as_chunks().0.iter().map(|chunk| u64::from_le_bytes(*chunk))
}

/// The table of this process.
#[derive(Debug)]
pub struct IdTable {
    file: File,
    /// What the file holds, while other processes read it.
    published: Option<Vec<u64>>,
}

/// A bucket has no room for another id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct BucketFull;

impl IdTable {
    /// Creates the file of an empty table.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).truncate(true).write(true).open(path)?;
        file.set_len(TABLE_BYTES as u64)?;
        Ok(IdTable { file, published: None })
    }

    /// Returns whether the file holds the ids of this process.
    pub fn is_published(&self) -> bool {
        self.published.is_some()
    }

    /// Writes all ids to the file, and keeps it up to date from now on.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn publish(&mut self, ids: impl Iterator<Item = (u64, IdUse)>) -> io::Result<()> {
        let mut table = vec![EMPTY; BUCKETS * BUCKET_ENTRIES];
        for (hash, id_use) in ids {
            // An id without room is unknown to the other processes.
            let _ = insert(&mut table, hash, id_use);
        }
        let bytes: Vec<u8> = table.iter().flat_map(|entry| entry.to_le_bytes()).collect();
        self.file.write_all_at(&bytes, 0)?;
        self.published = Some(table);
        Ok(())
    }

    /// Stops keeping the file up to date. What is left in it is replaced before it counts again.
    pub fn withdraw(&mut self) {
        self.published = None;
    }

    /// Adds an id, or changes its use.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written or has no room.
    pub fn set(&mut self, hash: u64, id_use: IdUse) -> io::Result<()> {
        let Some(table) = &mut self.published else { return Ok(()) };
        let at = insert(table, hash, id_use).map_err(|BucketFull| io::ErrorKind::StorageFull)?;
        self.write(at)
    }

    /// Removes an id.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn remove(&mut self, hash: u64) -> io::Result<()> {
        let Some(table) = &mut self.published else { return Ok(()) };
        let from = bucket_of(hash) * BUCKET_ENTRIES;
        let bucket = &mut table[from..from + BUCKET_ENTRIES];
        let Some(position) = bucket.iter().position(|entry| is_entry_of(*entry, hash)) else { return Ok(()) };
        bucket[position] = EMPTY;
        self.write(from + position)
    }

    fn write(&self, at: usize) -> io::Result<()> {
        let Some(table) = &self.published else { return Ok(()) };
        self.file.write_all_at(&table[at].to_le_bytes(), (at * ENTRY_BYTES) as u64)
    }
}

/// Puts an id into a table and returns where.
fn insert(table: &mut [u64], hash: u64, id_use: IdUse) -> Result<usize, BucketFull> {
    let from = bucket_of(hash) * BUCKET_ENTRIES;
    let bucket = &mut table[from..from + BUCKET_ENTRIES];
    let known = bucket.iter().position(|entry| is_entry_of(*entry, hash));
    let free = || bucket.iter().position(|entry| *entry == EMPTY);
    let position = known.or_else(free).ok_or(BucketFull)?;
    bucket[position] = hash & !BUCKET_MASK | id_use.encode();
    Ok(from + position)
}

/// The table of another process.
#[derive(Debug)]
pub struct IdTableReader {
    file: File,
}

impl IdTableReader {
    /// Opens the file of a table. It can be read for as long as the reader lives, even once it is removed.
    ///
    /// # Errors
    ///
    /// Fails if there is no such file.
    pub fn open(path: &Path) -> io::Result<Self> {
        Ok(IdTableReader { file: File::open(path)? })
    }

    /// Returns what keeps an id from being used at the other process.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read.
    pub fn find(&self, hash: u64) -> io::Result<Option<IdUse>> {
        let mut bytes = [0; BUCKET_BYTES];
        self.file.read_exact_at(&mut bytes, (bucket_of(hash) * BUCKET_BYTES) as u64)?;
        let entry = entries(&bytes).find(|entry| is_entry_of(*entry, hash));
        Ok(entry.and_then(|entry| IdUse::decode(entry & BUCKET_MASK)))
    }

    /// Returns all ids of the other process.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read.
    pub fn all(&self) -> io::Result<Vec<(u64, IdUse)>> {
        let mut bytes = vec![0; TABLE_BYTES];
        self.file.read_exact_at(&mut bytes, 0)?;
        let with_use = |(at, entry): (usize, u64)| {
            let hash = entry & !BUCKET_MASK | (at / BUCKET_ENTRIES) as u64;
            IdUse::decode(entry & BUCKET_MASK).map(|id_use| (hash, id_use))
        };
        Ok(entries(&bytes).enumerate().filter_map(with_use).collect())
    }
}

#[cfg(test)]
mod tests;
