//! What a coordinator must still know after a crash at any byte: its vote, its log, its snapshot. An embedded store with
//! transactions holds them; a write counts when the transaction that holds it is synced.

use std::path::Path;

use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use redb::{
    Database, DatabaseError, ReadableDatabase, ReadableTable, StorageBackend, StorageError, TableDefinition,
};
use serde::{Deserialize, Serialize};

/// Who this is, as JSON; what the store's format is.
const ABOUT: TableDefinition<&str, &[u8]> = TableDefinition::new("about");
/// The log by its indices.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// The vote and the snapshot.
const STATE: TableDefinition<&str, &[u8]> = TableDefinition::new("state");

/// Version of the tables.
const FORMAT: u32 = 1;
/// The file within a coordinator's folder.
const FILE: &str = "coordinator.redb";
/// Every member of a fleet begins with a snapshot at this index and term, and the same members in it.
const FIRST: u64 = 1;

/// Who a coordinator is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct About {
    /// Of the tables.
    pub format: u32,
    /// The fleet's name: no other fleet's coordinators or clients are let in.
    pub cluster: String,
    /// The number of this member; one that has lost its store never comes back under it.
    pub member: u64,
}

/// What was found in a store.
pub struct Found {
    /// Who it is.
    pub about: About,
    /// The vote.
    pub vote: HardState,
    /// The snapshot, with the members in its metadata.
    pub snapshot: Snapshot,
    /// The log behind it.
    pub entries: Vec<Entry>,
}

/// An open store.
pub struct Store {
    db: Database,
}

/// What can't be done with a store, in words that say what to do.
#[derive(Debug)]
pub enum Trouble {
    /// The disk fails or is full: it may be better later, and what is on it has to be read back then.
    DiskFails(String),
    /// The store, or something else that is needed, can't be used as it is.
    Unusable(String),
}

impl std::fmt::Display for Trouble {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (Trouble::DiskFails(why) | Trouble::Unusable(why)) = self;
        f.write_str(why)
    }
}

/// Whether an error is one of a disk that is full or broken, which may pass.
fn is_of_the_disk(error: &std::io::Error) -> bool {
    const INPUT_OUTPUT_ERROR: i32 = 5;
    error.kind() == std::io::ErrorKind::StorageFull || error.raw_os_error() == Some(INPUT_OUTPUT_ERROR)
}

fn trouble<E: std::fmt::Display>(what: &'static str) -> impl Fn(E) -> Trouble {
    move |e| Trouble::Unusable(format!("{what}: {e}"))
}

/// Fills a new store.
fn found(db: &Database, cluster: &str, member: u64, members: &[u64], state: &[u8]) -> Result<(), Trouble> {
    let about = About { format: FORMAT, cluster: cluster.into(), member };
    let found = first(about, members, state);
    fill(db, &found).map_err(trouble("the store can't be made"))
}

/// What a new member of a fleet, or one that joins it, begins with.
fn first(about: About, members: &[u64], state: &[u8]) -> Found {
    let (mut snapshot, mut vote) = (Snapshot::default(), HardState::default());
    // One that joins knows nothing, not even who votes: the leader tells it.
    if !members.is_empty() {
        snapshot.mut_metadata().index = FIRST;
        snapshot.mut_metadata().term = FIRST;
        snapshot
            .mut_metadata()
            .set_conf_state(ConfState { voters: members.to_vec(), ..ConfState::default() });
        snapshot.set_data(state.to_vec().into());
        (vote.term, vote.commit) = (FIRST, FIRST);
    }
    Found { about, vote, snapshot, entries: Vec::new() }
}

/// Writes all that a store holds, synced before it returns.
fn fill(db: &Database, all: &Found) -> Result<(), Box<dyn std::error::Error>> {
    let about = serde_json::to_vec(&all.about)?;
    let txn = db.begin_write()?;
    txn.open_table(ABOUT)?.insert("about", about.as_slice())?;
    {
        let mut log = txn.open_table(LOG)?;
        for entry in &all.entries {
            log.insert(entry.index, entry.write_to_bytes()?.as_slice())?;
        }
        let mut state = txn.open_table(STATE)?;
        state.insert("vote", all.vote.write_to_bytes()?.as_slice())?;
        state.insert("snapshot", all.snapshot.write_to_bytes()?.as_slice())?;
    }
    txn.commit()?;
    Ok(())
}

/// Fills a store aside and gives it its name when it is whole: a crash in between leaves the one before.
fn replace(folder: &Path, fill: impl FnOnce(&Database) -> Result<(), Trouble>) -> Result<(), Trouble> {
    let aside = folder.join(format!("{FILE}.new"));
    let _ = std::fs::remove_file(&aside);
    let db = Database::create(&aside).map_err(trouble("the store can't be made"))?;
    fill(&db)?;
    drop(db);
    std::fs::rename(&aside, folder.join(FILE)).map_err(trouble("the store can't be named"))?;
    std::fs::File::open(folder).and_then(|f| f.sync_all()).map_err(trouble("the folder can't be synced"))
}

impl Store {
    /// Makes a store as `init` does, on a device of one's own.
    ///
    /// # Errors
    ///
    /// A device that can't be written.
    pub fn init_on(
        device: impl StorageBackend,
        cluster: &str,
        member: u64,
        members: &[u64],
        state: &[u8],
    ) -> Result<(), Trouble> {
        let db =
            Database::builder().create_with_backend(device).map_err(trouble("the store can't be made"))?;
        found(&db, cluster, member, members, state)
    }

    /// Opens a store on a device of one's own and reads all of it.
    ///
    /// # Errors
    ///
    /// One that is cut, foreign or newer.
    pub fn open_on(device: impl StorageBackend) -> Result<(Store, Found), Trouble> {
        let db =
            Database::builder().create_with_backend(device).map_err(trouble("the store can't be opened"))?;
        let store = Store { db };
        let found = store.read().map_err(trouble("the store can't be read"))?;
        Ok((store, found))
    }

    /// Makes a store for a member of a new fleet, or, with no members, for one that joins a fleet. There must be none.
    ///
    /// # Errors
    ///
    /// A folder that has one already, or can't be written.
    pub fn init(
        folder: &Path,
        cluster: &str,
        member: u64,
        members: &[u64],
        state: &[u8],
    ) -> Result<(), Trouble> {
        std::fs::create_dir_all(folder)
            .map_err(|e| Trouble::Unusable(format!("{} can't be made: {e}", folder.display())))?;
        let file = folder.join(FILE);
        if file.exists() {
            return Err(Trouble::Unusable(format!(
                "{} is there already: a member's store is made once, and a member that lost its own comes as a new one",
                file.display()
            )));
        }
        replace(folder, |db| found(db, cluster, member, members, state))
    }

    /// Opens a store whose disk has failed. What can be read back is written anew, to another file that takes the place of
    /// the first: after a failed sync the kernel may hold as clean what never reached the disk, and a second sync of the
    /// same file would say nothing of it.
    ///
    /// # Errors
    ///
    /// As [`Store::open`], and a disk that fails still.
    pub fn reopen(folder: &Path) -> Result<(Store, Found), Trouble> {
        let (store, found) = Store::open(folder)?;
        drop(store);
        replace(folder, |db| fill(db, &found).map_err(trouble("the store can't be written anew")))?;
        Store::open(folder)
    }

    /// Whether a folder holds a store.
    pub fn is_in(folder: &Path) -> bool {
        folder.join(FILE).exists()
    }

    /// Opens a store and reads all of it.
    ///
    /// # Errors
    ///
    /// None there, one that another process has open, and one that is cut, foreign or newer.
    pub fn open(folder: &Path) -> Result<(Store, Found), Trouble> {
        let file = folder.join(FILE);
        let name = file.display();
        if !file.exists() {
            return Err(Trouble::Unusable(format!(
                "{name} is not there: `init` makes one for a new fleet; a member that has lost its store must not come \
                 back under its number, for it may have voted"
            )));
        }
        let db = Database::open(&file).map_err(|e| match e {
            DatabaseError::DatabaseAlreadyOpen => {
                Trouble::Unusable(format!("{name}: another process has it open"))
            }
            DatabaseError::Storage(StorageError::Corrupted(why)) => {
                Trouble::Unusable(format!("{name} is damaged: {why}"))
            }
            DatabaseError::Storage(StorageError::Io(e)) if is_of_the_disk(&e) => {
                Trouble::DiskFails(format!("{name} can't be opened: {e}"))
            }
            e => Trouble::Unusable(format!("{name} can't be opened: {e}")),
        })?;
        let store = Store { db };
        let found = store.read().map_err(|e| Trouble::Unusable(format!("{name} can't be read: {e}")))?;
        if found.about.format != FORMAT {
            let format = found.about.format;
            return Err(Trouble::Unusable(format!(
                "{name} has format {format}; this program reads {FORMAT}"
            )));
        }
        Ok((store, found))
    }

    fn read(&self) -> Result<Found, Box<dyn std::error::Error>> {
        let txn = self.db.begin_read()?;
        let about =
            txn.open_table(ABOUT)?.get("about")?.ok_or("it does not say whose it is")?.value().to_vec();
        let state = txn.open_table(STATE)?;
        let part = |name| {
            Ok::<_, Box<dyn std::error::Error>>(state.get(name)?.ok_or("a part is missing")?.value().to_vec())
        };
        let mut entries = Vec::new();
        for line in txn.open_table(LOG)?.iter()? {
            let (index, bytes) = line?;
            let entry = Entry::parse_from_bytes(bytes.value())?;
            if entry.index != index.value() {
                return Err(format!("line {} of the log holds line {}", index.value(), entry.index).into());
            }
            entries.push(entry);
        }
        let snapshot = Snapshot::parse_from_bytes(&part("snapshot")?)?;
        let next = snapshot.get_metadata().index + 1;
        entries.retain(|e| e.index >= next);
        if entries.iter().zip(next..).any(|(e, index)| e.index != index) {
            return Err("lines of the log are missing".into());
        }
        Ok(Found {
            about: serde_json::from_slice(&about)?,
            vote: HardState::parse_from_bytes(&part("vote")?)?,
            snapshot,
            entries,
        })
    }

    /// Keeps what must not be lost: in one transaction, synced before it returns.
    ///
    /// # Errors
    ///
    /// A disk that is full or broken: nothing may be said any more by what this store should hold, and the store has to be
    /// opened anew ([`Store::reopen`]).
    pub fn keep(&self, change: &Kept<'_>) -> Result<(), Trouble> {
        self.write(change).map_err(|e| Trouble::DiskFails(format!("the store can't be written: {e}")))
    }

    fn write(&self, change: &Kept<'_>) -> Result<(), Box<dyn std::error::Error>> {
        let txn = self.db.begin_write()?;
        {
            let mut state = txn.open_table(STATE)?;
            let mut log = txn.open_table(LOG)?;
            if let Some(vote) = change.vote {
                state.insert("vote", vote.write_to_bytes()?.as_slice())?;
            }
            if let Some(snapshot) = change.snapshot {
                state.insert("snapshot", snapshot.write_to_bytes()?.as_slice())?;
                log.retain_in(..change.keep_from.min(snapshot.get_metadata().index + 1), |_, _| false)?;
                if change.replaces {
                    log.retain(|_, _| false)?;
                }
            }
            if let Some(first) = change.entries.first() {
                // What another leader had written behind is not the log's any more.
                log.retain_in(first.index.., |_, _| false)?;
            }
            for entry in change.entries {
                log.insert(entry.index, entry.write_to_bytes()?.as_slice())?;
            }
        }
        txn.commit()?;
        Ok(())
    }
}

/// What is kept at once.
#[derive(Default)]
pub struct Kept<'a> {
    /// The vote, where it changed.
    pub vote: Option<&'a HardState>,
    /// Lines of the log, in place of all from the first one's index on.
    pub entries: &'a [Entry],
    /// A snapshot.
    pub snapshot: Option<&'a Snapshot>,
    /// It comes from a leader and stands for all of the log.
    pub replaces: bool,
    /// Lines before this one go with a snapshot of this member's own.
    pub keep_from: u64,
}
