//! The control file of the fault injection library `mothpier-fault-preload`: one 64-bit cell for each [`Setting`].
//!
//! A test creates the file, starts a process with [`environment`], and changes settings while the process runs. The
//! library maps the file, so that a change holds from the next system call on.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The environment variable that names the control file.
pub const CONTROL_VARIABLE: &str = "MOTHPIER_FAULT_CONTROL";
/// The file name of the preload library.
pub const LIBRARY: &str = "libmothpier_fault_preload.so";
/// Bytes of a cell.
pub const CELL: usize = 8;

/// What can be set. Rates are in thousandths of the calls; a setting of 0 injects nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(usize)]
pub enum Setting {
    /// Added to the wall clock, in microseconds.
    WallOffsetMicros,
    /// Seed of the draws.
    Seed,
    /// Rate of reads on stream sockets that return a part of what there is.
    ShortReads,
    /// Rate of writes on stream sockets that take a part of what is given.
    ShortWrites,
    /// Rate of reads and writes on stream sockets that fail for good, with `ETIMEDOUT`, `EHOSTUNREACH` or `ECONNRESET`.
    BrokenStreams,
    /// Rate of reads, writes and waits that are interrupted (`EINTR`).
    Interrupts,
    /// Rate of failing accepts: `ECONNABORTED`, `ENFILE`, `ENOBUFS`, `EPROTO`.
    FailingAccepts,
    /// The error of a failing accept; 0 draws one.
    AcceptError,
    /// Rate of failing connects and sockets: `EADDRNOTAVAIL`, `ENETUNREACH`, `ENOBUFS`.
    FailingConnects,
    /// Rate of failing writes, truncations and syncs of regular files.
    FailingDisk,
    /// The error of a failing disk call; 0 draws `ENOSPC` or `EIO`.
    DiskError,
    /// The n-th write to a regular file from now on is half done and the process is killed in it.
    KillInDiskWrite,
    /// Counts the calls in which something was injected; written by the library.
    Injected,
}

impl Setting {
    /// How many there are.
    pub const COUNT: usize = Setting::Injected as usize + 1;
}

/// The control file of one or several processes.
#[derive(Debug)]
pub struct FaultControl {
    file: File,
    path: PathBuf,
}

impl FaultControl {
    /// Creates a control file that injects nothing.
    ///
    /// # Errors
    ///
    /// The file cannot be made.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.write_all_at(&[0; Setting::COUNT * CELL], 0)?;
        Ok(FaultControl { file, path: path.to_owned() })
    }

    /// Changes a setting.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn set(&self, setting: Setting, value: i64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), (setting as usize * CELL) as u64)
    }

    /// The present value of a setting.
    ///
    /// # Errors
    ///
    /// The file cannot be read.
    pub fn get(&self, setting: Setting) -> io::Result<i64> {
        let mut cell = [0; CELL];
        self.file.read_exact_at(&mut cell, (setting as usize * CELL) as u64)?;
        Ok(i64::from_ne_bytes(cell))
    }

    /// The environment of a process that is to obey this file, with the library from a folder.
    pub fn environment(&self, library_folder: &Path) -> [(String, String); 2] {
        [
            ("LD_PRELOAD".into(), library_folder.join(LIBRARY).display().to_string()),
            (CONTROL_VARIABLE.into(), self.path.display().to_string()),
        ]
    }
}
