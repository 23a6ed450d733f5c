//! Durable state of a coordinator: its raft hard state (term and vote), its log and its snapshot. They are
//! held in an embedded transactional database, so that they survive a crash at any byte; a write counts once
//! its transaction is synced.

use std::path::Path;

use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use redb::{
    Database, DatabaseError, ReadableDatabase, ReadableTable, StorageBackend, StorageError, TableDefinition,
};
use serde::{Deserialize, Serialize};

/// Identity of the member and format of the store, as JSON.
const IDENTITY_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("about");
/// Log entries by index.
const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// The hard state and the snapshot.
const STATE_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("state");

/// Version of the tables' format.
const FORMAT_VERSION: u32 = 1;
/// Name of the database file in a coordinator's folder.
const STORE_FILE_NAME: &str = "coordinator.redb";
/// Index and term of the initial snapshot, which lists the same members at each founding member.
const INITIAL_INDEX_AND_TERM: u64 = 1;

/// Identity of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Version of the tables' format.
    pub format: u32,
    /// Name of the cluster. Coordinators and clients of other clusters are rejected.
    pub cluster: String,
    /// Number of this member. A member that has lost its store must never rejoin under the same number.
    pub member: u64,
}

/// Contents of a store.
pub struct StoredState {
    /// Identity of the member.
    pub identity: Identity,
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// The snapshot, whose metadata lists the members.
    pub snapshot: Snapshot,
    /// Log entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// An open store.
pub struct Store {
    db: Database,
}

/// An error of a coordinator, with a message that tells the operator what to do.
#[derive(Debug)]
pub enum CoordinatorError {
    /// The disk failed or is full. The condition may pass; the store has to be read again then.
    DiskFailure(String),
    /// The store, or another required resource, can't be used in its present state.
    Unusable(String),
}

impl std::fmt::Display for CoordinatorError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (CoordinatorError::DiskFailure(message) | CoordinatorError::Unusable(message)) = self;
        f.write_str(message)
    }
}

/// Returns whether an error means a full or failing disk, a condition that may pass.
fn is_disk_failure(error: &std::io::Error) -> bool {
    const INPUT_OUTPUT_ERROR: i32 = 5;
    error.kind() == std::io::ErrorKind::StorageFull || error.raw_os_error() == Some(INPUT_OUTPUT_ERROR)
}

fn unusable<E: std::fmt::Display>(context: &'static str) -> impl Fn(E) -> CoordinatorError {
    move |e| CoordinatorError::Unusable(format!("{context}: {e}"))
}

/// Writes the initial contents of a new store.
fn initialize(
    db: &Database,
    cluster: &str,
    member: u64,
    members: &[u64],
    state: &[u8],
) -> Result<(), CoordinatorError> {
    let identity = Identity { format: FORMAT_VERSION, cluster: cluster.into(), member };
    let initial = initial_contents(identity, members, state);
    write_all(db, &initial).map_err(unusable("can't create the store"))
}

/// Returns the initial contents for a founding member or, with no members given, for one that joins.
fn initial_contents(identity: Identity, members: &[u64], state: &[u8]) -> StoredState {
    let (mut snapshot, mut hard_state) = (Snapshot::default(), HardState::default());
    // A joining member starts empty, without even the list of voters: the leader sends it a snapshot.
    if !members.is_empty() {
        snapshot.mut_metadata().index = INITIAL_INDEX_AND_TERM;
        snapshot.mut_metadata().term = INITIAL_INDEX_AND_TERM;
        snapshot
            .mut_metadata()
            .set_conf_state(ConfState { voters: members.to_vec(), ..ConfState::default() });
        snapshot.set_data(state.to_vec().into());
        (hard_state.term, hard_state.commit) = (INITIAL_INDEX_AND_TERM, INITIAL_INDEX_AND_TERM);
    }
    StoredState { identity, hard_state, snapshot, entries: Vec::new() }
}

/// Writes the full contents of a store in one transaction, which is synced before the function returns.
fn write_all(db: &Database, contents: &StoredState) -> Result<(), Box<dyn std::error::Error>> {
    let identity = serde_json::to_vec(&contents.identity)?;
    let transaction = db.begin_write()?;
    transaction.open_table(IDENTITY_TABLE)?.insert("about", identity.as_slice())?;
    {
        let mut log = transaction.open_table(LOG_TABLE)?;
        for entry in &contents.entries {
            log.insert(entry.index, entry.write_to_bytes()?.as_slice())?;
        }
        let mut state = transaction.open_table(STATE_TABLE)?;
        state.insert("vote", contents.hard_state.write_to_bytes()?.as_slice())?;
        state.insert("snapshot", contents.snapshot.write_to_bytes()?.as_slice())?;
    }
    transaction.commit()?;
    Ok(())
}

/// Writes a store to a temporary file and renames it once it is complete: a crash in between leaves the old
/// store.
fn replace_store_file(
    folder: &Path,
    write: impl FnOnce(&Database) -> Result<(), CoordinatorError>,
) -> Result<(), CoordinatorError> {
    let temporary_file = folder.join(format!("{STORE_FILE_NAME}.new"));
    let _ = std::fs::remove_file(&temporary_file);
    let db = Database::create(&temporary_file).map_err(unusable("can't create the store"))?;
    write(&db)?;
    drop(db);
    std::fs::rename(&temporary_file, folder.join(STORE_FILE_NAME))
        .map_err(unusable("can't rename the new store"))?;
    std::fs::File::open(folder).and_then(|f| f.sync_all()).map_err(unusable("can't sync the folder"))
}

impl Store {
    /// Creates a store as [`Store::init`] does, on a given storage backend.
    ///
    /// # Errors
    ///
    /// Returns an error if the backend can't be written.
    pub fn init_with_backend(
        backend: impl StorageBackend,
        cluster: &str,
        member: u64,
        members: &[u64],
        state: &[u8],
    ) -> Result<(), CoordinatorError> {
        let db =
            Database::builder().create_with_backend(backend).map_err(unusable("can't create the store"))?;
        initialize(&db, cluster, member, members, state)
    }

    /// Opens a store on a given storage backend and reads its contents.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is truncated, is not a coordinator's, or was written by a newer program.
    pub fn open_with_backend(backend: impl StorageBackend) -> Result<(Store, StoredState), CoordinatorError> {
        let db =
            Database::builder().create_with_backend(backend).map_err(unusable("can't open the store"))?;
        let store = Store { db };
        let stored = store.read().map_err(unusable("can't read the store"))?;
        Ok((store, stored))
    }

    /// Creates a store for a founding member or, with no members given, for one that joins an existing
    /// cluster.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder has a store already or can't be written.
    pub fn init(
        folder: &Path,
        cluster: &str,
        member: u64,
        members: &[u64],
        state: &[u8],
    ) -> Result<(), CoordinatorError> {
        std::fs::create_dir_all(folder)
            .map_err(|e| CoordinatorError::Unusable(format!("can't create {}: {e}", folder.display())))?;
        let file = folder.join(STORE_FILE_NAME);
        if file.exists() {
            return Err(CoordinatorError::Unusable(format!(
                "{} already exists: a member's store is created once, and a member that has lost its store \
                 must join under a new number",
                file.display()
            )));
        }
        replace_store_file(folder, |db| initialize(db, cluster, member, members, state))
    }

    /// Opens a store after a disk failure. Everything that can be read is written to a new file, which
    /// replaces the old one: after a failed sync, the kernel may have marked pages as clean that never
    /// reached the disk, and another sync of the same file would not report that.
    ///
    /// # Errors
    ///
    /// As [`Store::open`]; also returns an error while the disk still fails.
    pub fn reopen(folder: &Path) -> Result<(Store, StoredState), CoordinatorError> {
        let (store, stored) = Store::open(folder)?;
        drop(store);
        replace_store_file(folder, |db| write_all(db, &stored).map_err(unusable("can't rewrite the store")))?;
        Store::open(folder)
    }

    /// Returns whether a folder holds a store.
    pub fn exists_in(folder: &Path) -> bool {
        folder.join(STORE_FILE_NAME).exists()
    }

    /// Opens a store and reads its contents.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no store, if another process has it open, or if it is truncated, is not a
    /// coordinator's, or was written by a newer program.
    pub fn open(folder: &Path) -> Result<(Store, StoredState), CoordinatorError> {
        let file = folder.join(STORE_FILE_NAME);
        let path = file.display();
        if !file.exists() {
            return Err(CoordinatorError::Unusable(format!(
                "{path} does not exist: `init` creates it for a new cluster; a member that has lost its \
                 store must not rejoin under its old number, because it may have voted"
            )));
        }
        let db = Database::open(&file).map_err(|e| match e {
            DatabaseError::DatabaseAlreadyOpen => {
                CoordinatorError::Unusable(format!("{path}: another process has it open"))
            }
            DatabaseError::Storage(StorageError::Corrupted(message)) => {
                CoordinatorError::Unusable(format!("{path} is damaged: {message}"))
            }
            DatabaseError::Storage(StorageError::Io(e)) if is_disk_failure(&e) => {
                CoordinatorError::DiskFailure(format!("{path} can't be opened: {e}"))
            }
            e => CoordinatorError::Unusable(format!("{path} can't be opened: {e}")),
        })?;
        let store = Store { db };
        let stored =
            store.read().map_err(|e| CoordinatorError::Unusable(format!("{path} can't be read: {e}")))?;
        if stored.identity.format != FORMAT_VERSION {
            let format = stored.identity.format;
            return Err(CoordinatorError::Unusable(format!(
                "{path} has format version {format}; this program reads version {FORMAT_VERSION}"
            )));
        }
        Ok((store, stored))
    }

    fn read(&self) -> Result<StoredState, Box<dyn std::error::Error>> {
        let transaction = self.db.begin_read()?;
        let identity = transaction
            .open_table(IDENTITY_TABLE)?
            .get("about")?
            .ok_or("the member's identity is missing")?
            .value()
            .to_vec();
        let state = transaction.open_table(STATE_TABLE)?;
        let state_value = |key| {
            Ok::<_, Box<dyn std::error::Error>>(
                state.get(key)?.ok_or("the hard state or the snapshot is missing")?.value().to_vec(),
            )
        };
        let mut entries = Vec::new();
        for stored_entry in transaction.open_table(LOG_TABLE)?.iter()? {
            let (index, bytes) = stored_entry?;
            let entry = Entry::parse_from_bytes(bytes.value())?;
            if entry.index != index.value() {
                return Err(
                    format!("the log entry at index {} has index {}", index.value(), entry.index).into()
                );
            }
            entries.push(entry);
        }
        let snapshot = Snapshot::parse_from_bytes(&state_value("snapshot")?)?;
        let next_index = snapshot.get_metadata().index + 1;
        entries.retain(|e| e.index >= next_index);
        if entries.iter().zip(next_index..).any(|(e, index)| e.index != index) {
            return Err("log entries are missing".into());
        }
        Ok(StoredState {
            identity: serde_json::from_slice(&identity)?,
            hard_state: HardState::parse_from_bytes(&state_value("vote")?)?,
            snapshot,
            entries,
        })
    }

    /// Writes an update in one transaction, which is synced before the method returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the disk is full or fails. The member must then send nothing that relies on this
    /// update, and the store has to be reopened ([`Store::reopen`]).
    pub fn persist(&self, update: &StoreUpdate<'_>) -> Result<(), CoordinatorError> {
        self.write(update)
            .map_err(|e| CoordinatorError::DiskFailure(format!("the store can't be written: {e}")))
    }

    fn write(&self, update: &StoreUpdate<'_>) -> Result<(), Box<dyn std::error::Error>> {
        let transaction = self.db.begin_write()?;
        {
            let mut state = transaction.open_table(STATE_TABLE)?;
            let mut log = transaction.open_table(LOG_TABLE)?;
            if let Some(hard_state) = update.hard_state {
                state.insert("vote", hard_state.write_to_bytes()?.as_slice())?;
            }
            if let Some(snapshot) = update.snapshot {
                state.insert("snapshot", snapshot.write_to_bytes()?.as_slice())?;
                log.retain_in(..update.first_kept_index.min(snapshot.get_metadata().index + 1), |_, _| {
                    false
                })?;
                if update.replaces_log {
                    log.retain(|_, _| false)?;
                }
            }
            if let Some(first) = update.entries.first() {
                // Entries of a deposed leader from this index on are no longer part of the log.
                log.retain_in(first.index.., |_, _| false)?;
            }
            for entry in update.entries {
                log.insert(entry.index, entry.write_to_bytes()?.as_slice())?;
            }
        }
        transaction.commit()?;
        Ok(())
    }
}

/// Changes that are written in one transaction.
#[derive(Default)]
pub struct StoreUpdate<'a> {
    /// The hard state, if it changed.
    pub hard_state: Option<&'a HardState>,
    /// Log entries, which replace all entries from the index of the first one on.
    pub entries: &'a [Entry],
    /// A new snapshot.
    pub snapshot: Option<&'a Snapshot>,
    /// The snapshot comes from a leader and replaces the whole log.
    pub replaces_log: bool,
    /// Entries before this index are deleted, when a snapshot of this member is written.
    pub first_kept_index: u64,
}
