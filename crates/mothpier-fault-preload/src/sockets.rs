//! Stream sockets: short, broken and interrupted reads and writes, failing accepts and connects.

use libc::{c_int, c_void, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t};
use mothpier_fault_control::Setting;

use crate::control::{draw, drawn, one_of, value};
use crate::real::real;
use crate::{disk, set_errno};

const BROKEN: [c_int; 3] = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET];
const ACCEPT: [c_int; 4] = [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EPROTO];
const CONNECT: [c_int; 3] = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS];

type Read = unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t;
type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type Vectored = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type NewSocket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
type EpollWait = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;

/// What becomes of a read or write.
enum Fate {
    /// It goes on with so many bytes.
    Length(size_t),
    /// It fails.
    Error(c_int),
}

fn is_stream(file: c_int) -> bool {
    let (mut kind, mut length): (c_int, socklen_t) = (0, size_of::<c_int>() as socklen_t);
    // SAFETY: the places are this function's own.
    let result = unsafe {
        libc::getsockopt(file, libc::SOL_SOCKET, libc::SO_TYPE, (&raw mut kind).cast(), &raw mut length)
    };
    result == 0 && kind == libc::SOCK_STREAM
}

fn fate(file: c_int, short: Setting, length: size_t) -> Fate {
    if !is_stream(file) {
        return Fate::Length(length);
    }
    if drawn(Setting::Interrupts) {
        return Fate::Error(libc::EINTR);
    }
    if drawn(Setting::BrokenStreams) {
        return Fate::Error(one_of(&BROKEN));
    }
    if length > 1 && drawn(short) {
        return Fate::Length(1 + (draw() % (length as u64 - 1)) as size_t);
    }
    Fate::Length(length)
}

/// The length to go on with, or the return of the function with `errno` set. A failure for good also resets the
/// connection, as the kernel would have done.
macro_rules! length_or_return {
    ($file:expr, $short:expr, $length:expr) => {
        match fate($file, $short, $length) {
            Fate::Length(length) => length,
            Fate::Error(error) => {
                if error != libc::EINTR {
                    // SAFETY: a system call on the caller's descriptor.
                    unsafe { libc::shutdown($file, libc::SHUT_RDWR) };
                }
                set_errno(error);
                return -1;
            }
        }
    };
}

/// Reads.
///
/// # Safety
///
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(file: c_int, to: *mut c_void, length: size_t) -> ssize_t {
    let length = length_or_return!(file, Setting::ShortReads, length);
    real!(c"read" as Read, file, to, length)
}

/// Reads from a socket.
///
/// # Safety
///
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(file: c_int, to: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = length_or_return!(file, Setting::ShortReads, length);
    real!(c"recv" as Recv, file, to, length, flags)
}

/// Writes; also to regular files.
///
/// # Safety
///
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(file: c_int, from: *const c_void, length: size_t) -> ssize_t {
    if disk::fails_to_write(file, from, length, None) {
        return -1;
    }
    let length = length_or_return!(file, Setting::ShortWrites, length);
    real!(c"write" as Write, file, from, length)
}

/// Writes to a socket.
///
/// # Safety
///
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(file: c_int, from: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = length_or_return!(file, Setting::ShortWrites, length);
    real!(c"send" as Send, file, from, length, flags)
}

/// The first part of a vectored call, cut to a length.
fn first_part(
    parts: *const iovec,
    count: c_int,
    short: Setting,
    file: c_int,
) -> Option<Result<iovec, c_int>> {
    // SAFETY: the caller gives so many parts.
    let parts = unsafe { std::slice::from_raw_parts(parts, usize::try_from(count).unwrap_or_default()) };
    let whole: size_t = parts.iter().map(|part| part.iov_len).sum();
    match fate(file, short, whole) {
        Fate::Error(error) => Some(Err(error)),
        Fate::Length(length) if length == whole => None,
        Fate::Length(length) => {
            let first = parts.iter().find(|part| part.iov_len > 0)?;
            Some(Ok(iovec { iov_base: first.iov_base, iov_len: length.min(first.iov_len) }))
        }
    }
}

/// A vectored call of which a part is done, or that fails.
macro_rules! vectored {
    ($name:ident, $real:literal, $short:expr) => {
        /// A vectored call.
        ///
        /// # Safety
        ///
        /// As the C library's.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name(file: c_int, parts: *const iovec, count: c_int) -> ssize_t {
            match first_part(parts, count, $short, file) {
                None => real!($real as Vectored, file, parts, count),
                Some(Ok(first)) => real!($real as Vectored, file, &raw const first, 1),
                Some(Err(error)) => {
                    set_errno(error);
                    -1
                }
            }
        }
    };
}

vectored!(readv, c"readv", Setting::ShortReads);
vectored!(writev, c"writev", Setting::ShortWrites);

/// Accepts a connection. An aborted one is taken from the queue and closed, as the kernel's error says.
///
/// # Safety
///
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    file: c_int,
    from: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if drawn(Setting::FailingAccepts) {
        let error = match value(Setting::AcceptError) {
            0 => one_of(&ACCEPT),
            error => error as c_int,
        };
        if error == libc::ECONNABORTED {
            let aborted = real!(c"accept4" as Accept, file, from, length, flags);
            if aborted < 0 {
                return aborted;
            }
            // SAFETY: just accepted, and known to nobody else.
            unsafe { libc::close(aborted) };
        }
        set_errno(error);
        return -1;
    }
    real!(c"accept4" as Accept, file, from, length, flags)
}

/// Connects.
///
/// # Safety
///
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(file: c_int, to: *const sockaddr, length: socklen_t) -> c_int {
    if is_stream(file) && drawn(Setting::FailingConnects) {
        set_errno(one_of(&CONNECT));
        return -1;
    }
    real!(c"connect" as Connect, file, to, length)
}

/// Makes a socket.
///
/// # Safety
///
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if kind & libc::SOCK_STREAM != 0 && drawn(Setting::FailingConnects) {
        set_errno(one_of(&[libc::ENFILE, libc::ENOBUFS]));
        return -1;
    }
    real!(c"socket" as NewSocket, domain, kind, protocol)
}

/// Waits for events.
///
/// # Safety
///
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if drawn(Setting::Interrupts) {
        set_errno(libc::EINTR);
        return -1;
    }
    real!(c"epoll_wait" as EpollWait, epoll, events, most, timeout)
}
