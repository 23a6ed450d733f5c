//! Storage for the handover between processes of a node: a directory that they share. Foreign and incomplete
//! files and those of dead processes are ignored; without a directory a node starts without earlier state.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use crate::handover::{MAX_STATE_BYTES, ProcessStatus};

/// Name of the state file.
const STATE_FILE: &str = "mothpier.state";
/// Prefix of status files, each of which is locked by its live process.
const STATUS_FILE_PREFIX: &str = "mothpier.alive.";
/// Maximum number of directory entries that are examined.
const MAX_FILES: usize = 256;
/// Maximum number of attempts to lock the status file.
const MAX_LOCK_ATTEMPTS: u32 = 100;

/// Storage shared by the processes of one node.
pub trait HandoverStore {
    /// Returns the last stored state, if there is one.
    fn read(&self) -> Option<Vec<u8>>;

    /// Stores a state atomically.
    ///
    /// # Errors
    ///
    /// Fails if the storage cannot be written.
    fn write(&self, bytes: &[u8]) -> io::Result<()>;

    /// Publishes whether this process serves. Other processes detect its death without a message.
    fn publish_status(&self, serving: bool);

    /// Returns the published statuses of the other live processes.
    fn other_processes(&self) -> Vec<ProcessStatus>;
}

/// A [`HandoverStore`] in a directory.
pub struct DirectoryStore {
    directory: PathBuf,
    /// Unique suffix of this process's files. The process id alone can repeat across PID namespaces.
    tag: String,
    status_path: PathBuf,
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
        let tag = format!("{}-{}", std::process::id(), since_epoch.as_nanos());
        let status_path = directory.join(format!("{STATUS_FILE_PREFIX}{tag}"));
        for _ in 0..MAX_LOCK_ATTEMPTS {
            let status_file =
                OpenOptions::new().create(true).truncate(true).read(true).write(true).open(&status_path)?;
            // Before it is locked, another process may take the file for that of a dead process and remove
            // it.
            let locked = status_file.try_lock().map_err(io::Error::from);
            if let Err(e) = locked.as_ref()
                && e.kind() != io::ErrorKind::WouldBlock
            {
                locked?;
            } else if locked.is_ok()
                && fs::metadata(&status_path)
                    .is_ok_and(|m| status_file.metadata().is_ok_and(|l| l.ino() == m.ino()))
            {
                return Ok(DirectoryStore { directory: directory.into(), tag, status_path, status_file });
            }
        }
        Err(io::ErrorKind::ResourceBusy.into())
    }
}

impl Drop for DirectoryStore {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.status_path);
    }
}

impl HandoverStore for DirectoryStore {
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

    fn publish_status(&self, serving: bool) {
        let mut file = &self.status_file;
        let descriptors = fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
        let status = ProcessStatus { serving, descriptors };
        let text = status.text();
        // A concurrent reader may find a malformed status; it reads again soon.
        let _ = file
            .rewind()
            .and_then(|()| file.write_all(text.as_bytes()))
            .and_then(|()| file.set_len(text.len() as u64));
    }

    fn other_processes(&self) -> Vec<ProcessStatus> {
        let Ok(files) = fs::read_dir(&self.directory) else { return Vec::new() };
        let mut statuses = Vec::new();
        for path in files.take(MAX_FILES).filter_map(Result::ok).map(|f| f.path()) {
            let is_status_file =
                path.file_name().and_then(|n| n.to_str()).is_some_and(|n| n.starts_with(STATUS_FILE_PREFIX));
            if !is_status_file || path == self.status_path {
                continue;
            }
            let Ok(file) = File::open(&path) else { continue };
            if file.try_lock_shared().is_ok() {
                // The lock is free, so its process is dead.
                let _ = fs::remove_file(&path);
                continue;
            }
            let mut text = String::new();
            let _ = file.take(64).read_to_string(&mut text);
            statuses.push(ProcessStatus::read(&text));
        }
        statuses
    }
}

#[cfg(test)]
mod tests;
