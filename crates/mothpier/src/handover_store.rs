//! Storage for the handover between processes of a node: a directory that they share. Foreign and incomplete
//! files and those of dead processes are ignored; without a directory a node starts without earlier state.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use crate::handover::{MAX_STATE_BYTES, ProcessStatus};
use crate::id_table::{IdTable, IdTableReader};

/// Name of the state file.
const STATE_FILE: &str = "mothpier.state";
/// Prefix of status files, each of which is locked by its live process.
const STATUS_FILE_PREFIX: &str = "mothpier.alive.";
/// Prefix of the files with the request ids of each process.
const ID_TABLE_PREFIX: &str = "mothpier.ids.";
/// Number of these files that are open during an upgrade: that of this process, and of up to two others.
pub const ID_TABLES: usize = 3;
/// Longest status that is read, in bytes.
const MAX_STATUS_BYTES: u64 = 4096;
/// Maximum number of directory entries that are examined.
const MAX_FILES: usize = 256;
/// Maximum number of attempts to lock the status file.
const MAX_LOCK_ATTEMPTS: u32 = 100;

/// The name of a process among those of its node, unique over time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessTag(String);

impl From<&str> for ProcessTag {
    fn from(text: &str) -> Self {
        ProcessTag(text.into())
    }
}

impl fmt::Display for ProcessTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Another live process of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OtherProcess {
    /// Its name.
    pub tag: ProcessTag,
    /// What it published last.
    pub status: ProcessStatus,
}

/// Storage shared by the processes of one node.
pub trait HandoverStore {
    /// Returns the name of this process.
    fn tag(&self) -> &ProcessTag;

    /// Returns the last stored state, if there is one.
    fn read(&self) -> Option<Vec<u8>>;

    /// Stores a state atomically.
    ///
    /// # Errors
    ///
    /// Fails if the storage cannot be written.
    fn write(&self, bytes: &[u8]) -> io::Result<()>;

    /// Publishes whether this process serves, and the processes at which it looks up request ids. Other processes
    /// detect its death without a message.
    fn publish_status(&self, serving: bool, looks_up_at: BTreeSet<ProcessTag>);

    /// Returns the other live processes, as far as they can be read.
    fn other_processes(&self) -> Vec<OtherProcess>;

    /// Returns whether another process has certainly ended.
    fn has_ended(&self, process: &ProcessTag) -> bool;

    /// Returns the table of this process's request ids, at the first call.
    fn take_id_table(&self) -> Option<IdTable>;

    /// Opens the table of another process's request ids.
    ///
    /// # Errors
    ///
    /// Fails if it has none: earlier versions have no such table.
    fn open_id_table(&self, process: &ProcessTag) -> io::Result<IdTableReader>;
}

/// A [`HandoverStore`] in a directory.
pub struct DirectoryStore {
    directory: PathBuf,
    /// Unique suffix of this process's files. The process id alone can repeat across PID namespaces.
    tag: ProcessTag,
    status_path: PathBuf,
    id_table: RefCell<Option<IdTable>>,
    /// Locked for the lifetime of this process.
    status_file: File,
}

impl DirectoryStore {
    /// Registers this process in a directory by creating and locking its status file.
    ///
    /// # Errors
    ///
    /// Fails if the directory is not writable or does not support file locks.
    pub fn open(directory: &Path) -> io::Result<Self> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let tag = ProcessTag(format!("{}-{}", std::process::id(), since_epoch.as_nanos()));
        // Before the status file: a process that is seen has a table.
        let id_table = RefCell::new(Some(IdTable::create(&id_table_path(directory, &tag))?));
        let status_path = status_path(directory, &tag);
        let status_file = create_locked(&status_path)
            .inspect_err(|_| drop(fs::remove_file(id_table_path(directory, &tag))))?;
        Ok(DirectoryStore { directory: directory.into(), tag, status_path, id_table, status_file })
    }
}

/// Creates a file that is locked for as long as it is open.
fn create_locked(path: &Path) -> io::Result<File> {
    for _ in 0..MAX_LOCK_ATTEMPTS {
        let file = OpenOptions::new().create(true).truncate(true).read(true).write(true).open(path)?;
        // Before it is locked, another process may take the file for that of a dead process and remove it.
        let locked = file.try_lock().map_err(io::Error::from);
        if let Err(e) = locked.as_ref()
            && e.kind() != io::ErrorKind::WouldBlock
        {
            locked?;
        } else if locked.is_ok()
            && fs::metadata(path).is_ok_and(|m| file.metadata().is_ok_and(|l| l.ino() == m.ino()))
        {
            return Ok(file);
        }
    }
    Err(io::ErrorKind::ResourceBusy.into())
}

fn status_path(directory: &Path, process: &ProcessTag) -> PathBuf {
    directory.join(format!("{STATUS_FILE_PREFIX}{process}"))
}

fn id_table_path(directory: &Path, process: &ProcessTag) -> PathBuf {
    directory.join(format!("{ID_TABLE_PREFIX}{process}"))
}

impl Drop for DirectoryStore {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.status_path);
        let _ = fs::remove_file(id_table_path(&self.directory, &self.tag));
    }
}

impl HandoverStore for DirectoryStore {
    fn tag(&self) -> &ProcessTag {
        &self.tag
    }

    fn read(&self) -> Option<Vec<u8>> {
        let mut bytes = Vec::new();
        let file = File::open(self.directory.join(STATE_FILE)).ok()?;
        // One byte more than the maximum, to detect an oversized state.
        file.take(MAX_STATE_BYTES as u64 + 1).read_to_end(&mut bytes).ok()?;
        Some(bytes)
    }

    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let temporary = self.directory.join(format!("{STATE_FILE}.{}", self.tag));
        fs::write(&temporary, bytes)?;
        fs::rename(&temporary, self.directory.join(STATE_FILE))
    }

    fn publish_status(&self, serving: bool, looks_up_at: BTreeSet<ProcessTag>) {
        let mut file = &self.status_file;
        let descriptors = fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
        let status = ProcessStatus { serving, descriptors, looks_up_at };
        let text = status.text();
        // A concurrent reader may find a malformed status; it reads again soon.
        let _ = file
            .rewind()
            .and_then(|()| file.write_all(text.as_bytes()))
            .and_then(|()| file.set_len(text.len() as u64));
    }

    fn other_processes(&self) -> Vec<OtherProcess> {
        let Ok(files) = fs::read_dir(&self.directory) else { return Vec::new() };
        let mut others = Vec::new();
        for path in files.take(MAX_FILES).filter_map(Result::ok).map(|f| f.path()) {
            let name = path.file_name().and_then(|n| n.to_str());
            let Some(tag) = name.and_then(|n| n.strip_prefix(STATUS_FILE_PREFIX)).map(ProcessTag::from)
            else {
                continue;
            };
            if tag == self.tag {
                continue;
            }
            let Ok(file) = File::open(&path) else { continue };
            if file.try_lock_shared().is_ok() {
                // The lock is free, so its process is dead.
                let _ = fs::remove_file(&path);
                let _ = fs::remove_file(id_table_path(&self.directory, &tag));
                continue;
            }
            let mut text = String::new();
            let _ = file.take(MAX_STATUS_BYTES).read_to_string(&mut text);
            others.push(OtherProcess { tag, status: ProcessStatus::read(&text) });
        }
        others
    }

    fn has_ended(&self, process: &ProcessTag) -> bool {
        match File::open(status_path(&self.directory, process)) {
            Ok(file) => file.try_lock_shared().is_ok(),
            Err(e) => e.kind() == io::ErrorKind::NotFound,
        }
    }

    fn take_id_table(&self) -> Option<IdTable> {
        self.id_table.borrow_mut().take()
    }

    fn open_id_table(&self, process: &ProcessTag) -> io::Result<IdTableReader> {
        IdTableReader::open(&id_table_path(&self.directory, process))
    }
}

#[cfg(test)]
mod tests;
