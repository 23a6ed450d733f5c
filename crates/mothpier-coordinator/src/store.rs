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
pub struct Trouble(pub String);

impl std::fmt::Display for Trouble {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

fn trouble<E: std::fmt::Display>(what: &'static str) -> impl Fn(E) -> Trouble {
    move |e| Trouble(format!("{what}: {e}"))
}

/// Fills a new store.
fn found(db: &Database, cluster: &str, member: u64, members: &[u64], state: &[u8]) -> Result<(), Trouble> {
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
    let about = About { format: FORMAT, cluster: cluster.into(), member };
    let about = serde_json::to_vec(&about).map_err(trouble("the store can't be made"))?;
    let write = || -> Result<(), Box<dyn std::error::Error>> {
        let txn = db.begin_write()?;
        txn.open_table(ABOUT)?.insert("about", about.as_slice())?;
        txn.open_table(LOG)?;
        {
            let mut table = txn.open_table(STATE)?;
            table.insert("vote", vote.write_to_bytes()?.as_slice())?;
            table.insert("snapshot", snapshot.write_to_bytes()?.as_slice())?;
        }
        txn.commit()?;
        Ok(())
    };
    write().map_err(trouble("the store can't be made"))
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
            .map_err(|e| Trouble(format!("{} can't be made: {e}", folder.display())))?;
        let file = folder.join(FILE);
        if file.exists() {
            return Err(Trouble(format!(
                "{} is there already: a member's store is made once, and a member that lost its own comes as a new one",
                file.display()
            )));
        }
        // Made aside and named when it is whole: a crash in between leaves no half of a store.
        let aside = folder.join(format!("{FILE}.new"));
        let _ = std::fs::remove_file(&aside);
        let db = Database::create(&aside).map_err(trouble("the store can't be made"))?;
        found(&db, cluster, member, members, state)?;
        drop(db);
        std::fs::rename(&aside, &file).map_err(trouble("the store can't be named"))?;
        std::fs::File::open(folder).and_then(|f| f.sync_all()).map_err(trouble("the folder can't be synced"))
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
            return Err(Trouble(format!(
                "{name} is not there: `init` makes one for a new fleet; a member that has lost its store must not come \
                 back under its number, for it may have voted"
            )));
        }
        let db = Database::open(&file).map_err(|e| {
            Trouble(match e {
                DatabaseError::DatabaseAlreadyOpen => format!("{name}: another process has it open"),
                DatabaseError::Storage(StorageError::Corrupted(why)) => format!("{name} is damaged: {why}"),
                e => format!("{name} can't be opened: {e}"),
            })
        })?;
        let store = Store { db };
        let found = store.read().map_err(|e| Trouble(format!("{name} can't be read: {e}")))?;
        if found.about.format != FORMAT {
            let format = found.about.format;
            return Err(Trouble(format!("{name} has format {format}; this program reads {FORMAT}")));
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
    /// A disk that is full or broken: the process must end, for what it would say next would not be true after a crash.
    pub fn keep(&self, change: &Kept<'_>) -> Result<(), Trouble> {
        self.write(change).map_err(|e| Trouble(format!("the store can't be written: {e}")))
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
