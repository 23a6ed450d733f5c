//! Where a node leaves what its next process needs: a folder that both see. Files of other makers, half-written ones and
//! those of the dead are passed over; without the folder a node starts as from nothing.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use crate::handover::{MOST, ProcessStatus};

/// The state.
const STATE: &str = "mothpier.state";
/// Files that live processes hold a lock on begin so.
const ALIVE: &str = "mothpier.alive.";
/// Files of the folder that are looked at.
const MOST_FILES: usize = 256;
/// To get a lock on a file of its own.
const TRIES: u32 = 100;

/// A place that the processes of one node share.
pub trait HandoverStore {
    /// The state as it was last left; `None` where there is none.
    fn read(&self) -> Option<Vec<u8>>;

    /// Leaves a state, whole or not at all.
    ///
    /// # Errors
    ///
    /// A folder that takes nothing more.
    fn write(&self, bytes: &[u8]) -> io::Result<()>;

    /// Tells the others whether this process serves; they know by themselves when it is dead.
    fn tell(&self, serving: bool);

    /// What the others that live have told.
    fn others(&self) -> Vec<ProcessStatus>;
}

/// A folder.
pub struct DirectoryStore {
    folder: PathBuf,
    /// Tells this process from others: numbers of processes may be alike where each has a space of its own.
    tag: String,
    own: PathBuf,
    /// Locked for as long as this process lives.
    lock: File,
}

impl DirectoryStore {
    /// Takes a place in a folder.
    ///
    /// # Errors
    ///
    /// A folder that can't be written to, or has no locks.
    pub fn open(folder: &Path) -> io::Result<Self> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let tag = format!("{}-{}", std::process::id(), since.as_nanos());
        let own = folder.join(format!("{ALIVE}{tag}"));
        for _ in 0..TRIES {
            let lock = OpenOptions::new().create(true).truncate(true).read(true).write(true).open(&own)?;
            // Another process may take a file that is not locked yet for that of a dead one, and remove it.
            let locked = lock.try_lock().map_err(io::Error::from);
            if let Err(e) = locked.as_ref()
                && e.kind() != io::ErrorKind::WouldBlock
            {
                locked?;
            } else if locked.is_ok()
                && fs::metadata(&own).is_ok_and(|m| lock.metadata().is_ok_and(|l| l.ino() == m.ino()))
            {
                return Ok(DirectoryStore { folder: folder.into(), tag, own, lock });
            }
        }
        Err(io::ErrorKind::ResourceBusy.into())
    }
}

impl Drop for DirectoryStore {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.own);
    }
}

impl HandoverStore for DirectoryStore {
    fn read(&self) -> Option<Vec<u8>> {
        let mut bytes = Vec::new();
        let file = File::open(self.folder.join(STATE)).ok()?;
        // One byte more than may be: that tells what is too long.
        file.take(MOST as u64 + 1).read_to_end(&mut bytes).ok()?;
        Some(bytes)
    }

    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let beside = self.folder.join(format!("{STATE}.{}", self.tag));
        fs::write(&beside, bytes)?;
        fs::rename(&beside, self.folder.join(STATE))
    }

    fn tell(&self, serving: bool) {
        let mut file = &self.lock;
        let descriptors = fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
        let word = ProcessStatus { serving, descriptors };
        let text = word.text();
        // A reader in between finds a word that tells of nothing, and looks again soon.
        let _ = file
            .rewind()
            .and_then(|()| file.write_all(text.as_bytes()))
            .and_then(|()| file.set_len(text.len() as u64));
    }

    fn others(&self) -> Vec<ProcessStatus> {
        let Ok(files) = fs::read_dir(&self.folder) else { return Vec::new() };
        let mut words = Vec::new();
        for path in files.take(MOST_FILES).filter_map(Result::ok).map(|f| f.path()) {
            let named = path.file_name().and_then(|n| n.to_str()).is_some_and(|n| n.starts_with(ALIVE));
            if !named || path == self.own {
                continue;
            }
            let Ok(file) = File::open(&path) else { continue };
            if file.try_lock_shared().is_ok() {
                // Its process is dead, however it ended.
                let _ = fs::remove_file(&path);
                continue;
            }
            let mut text = String::new();
            let _ = file.take(64).read_to_string(&mut text);
            words.push(ProcessStatus::read(&text));
        }
        words
    }
}

#[cfg(test)]
mod tests;
