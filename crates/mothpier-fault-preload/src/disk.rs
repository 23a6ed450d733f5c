//! Regular files: writes, truncations and syncs that fail, and a process that is killed in the middle of a write.

use libc::{c_int, c_void, off_t, size_t, ssize_t};
use mothpier_fault_control::Setting;

use crate::control::{counts_down, drawn, one_of, value};
use crate::real::real;
use crate::set_errno;

type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
type WriteAt = unsafe extern "C" fn(c_int, *const c_void, size_t, off_t) -> ssize_t;
type Truncate = unsafe extern "C" fn(c_int, off_t) -> c_int;
type Sync = unsafe extern "C" fn(c_int) -> c_int;

/// Whether faults of disks apply: a regular file, but not the log.
fn is_regular(file: c_int) -> bool {
    if file == libc::STDOUT_FILENO || file == libc::STDERR_FILENO {
        return false;
    }
    // SAFETY: a zeroed `stat` is a valid one, and the place is this function's own.
    let status = unsafe {
        let mut status: libc::stat = std::mem::zeroed();
        if libc::fstat(file, &raw mut status) != 0 {
            return false;
        }
        status
    };
    status.st_mode & libc::S_IFMT == libc::S_IFREG
}

/// Whether a call on a regular file fails now; `errno` is set then.
fn fails(file: c_int) -> bool {
    if value(Setting::FailingDisk) == 0 || !is_regular(file) || !drawn(Setting::FailingDisk) {
        return false;
    }
    let error = match value(Setting::DiskError) {
        0 => one_of(&[libc::ENOSPC, libc::EIO]),
        error => error as c_int,
    };
    set_errno(error);
    true
}

/// Whether a write fails now; `errno` is set then. Where it is the one to be killed in, half of it is done and the
/// process ends.
pub fn fails_to_write(file: c_int, from: *const c_void, length: size_t, at: Option<off_t>) -> bool {
    if value(Setting::KillInDiskWrite) > 0 && is_regular(file) && counts_down(Setting::KillInDiskWrite) {
        match at {
            Some(at) => real!(c"pwrite64" as WriteAt, file, from, length / 2, at),
            None => real!(c"write" as Write, file, from, length / 2),
        };
        // SAFETY: ends this process as a kill from outside would.
        unsafe { libc::kill(libc::getpid(), libc::SIGKILL) };
    }
    fails(file)
}

/// A write at a place, in its two names.
macro_rules! write_at {
    ($name:ident, $real:literal) => {
        /// Writes at a place of a file.
        ///
        /// # Safety
        ///
        /// As the C library's.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name(
            file: c_int,
            from: *const c_void,
            length: size_t,
            at: off_t,
        ) -> ssize_t {
            if fails_to_write(file, from, length, Some(at)) {
                return -1;
            }
            real!($real as WriteAt, file, from, length, at)
        }
    };
}

write_at!(pwrite, c"pwrite");
write_at!(pwrite64, c"pwrite64");

/// A truncation, in its two names.
macro_rules! truncate {
    ($name:ident, $real:literal) => {
        /// Sets the length of a file.
        ///
        /// # Safety
        ///
        /// As the C library's.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name(file: c_int, length: off_t) -> c_int {
            if fails(file) {
                return -1;
            }
            real!($real as Truncate, file, length)
        }
    };
}

truncate!(ftruncate, c"ftruncate");
truncate!(ftruncate64, c"ftruncate64");

/// A sync, in its two names.
macro_rules! sync {
    ($name:ident, $real:literal) => {
        /// Syncs a file.
        ///
        /// # Safety
        ///
        /// As the C library's.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name(file: c_int) -> c_int {
            if fails(file) {
                return -1;
            }
            real!($real as Sync, file)
        }
    };
}

sync!(fsync, c"fsync");
sync!(fdatasync, c"fdatasync");
