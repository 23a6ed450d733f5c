//! Replaces functions of the C library in a process under test, by `LD_PRELOAD`, and injects the faults that Linux
//! documents for them: stepped wall clocks, short and broken reads and writes, interrupted calls, failing accepts and
//! connects, and failing disks. The rates come from a control file (`mothpier-fault-control`).
//!
//! Every function calls the next definition of its name unless a fault is drawn. x86-64 and AArch64 Linux with glibc.

mod control;
mod disk;
mod real;
mod sockets;
mod wall_clock;

use libc::c_int;

/// Sets `errno`.
fn set_errno(error: c_int) {
    // SAFETY: the C library gives each thread a valid place for its error number.
    unsafe { *libc::__errno_location() = error }
}
