//! What the kernel tells of a TCP connection (`TCP_INFO`, tcp(7)).

use std::io;
use std::mem::{MaybeUninit, size_of};
use std::os::fd::{AsRawFd, BorrowedFd};
use std::time::Duration;

/// Returns how long ago the latest data of the peer arrived, or else the connection was established.
///
/// # Errors
///
/// Fails if the descriptor is not that of a TCP connection.
pub(crate) fn since_last_received(socket: BorrowedFd<'_>) -> io::Result<Duration> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the kernel writes `length` bytes at most, which is the size of `info`.
    #[allow(unsafe_code)]
    let result = unsafe {
        libc::getsockopt(
            socket.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        )
    };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: `tcp_info` consists of integers, and all its bytes are zero or written by the kernel.
    #[allow(unsafe_code)]
    let info = unsafe { info.assume_init() };
    Ok(Duration::from_millis(info.tcpi_last_data_recv.into()))
}

#[cfg(test)]
mod tests;
