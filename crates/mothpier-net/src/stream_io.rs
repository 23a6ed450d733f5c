//! Reads and writes on stream sockets that keep their readiness after a partial result.
//!
//! Tokio's own `poll_read` and `poll_write` take a partial result for a drained or full socket: they clear the readiness
//! and wait for the next edge of epoll. A call that moved less for another reason (cut by an interposed library or an
//! emulated socket) is followed by no edge, and the connection would stop for good. Here readiness ends only when the
//! kernel says so: with `WouldBlock`, as `try_read` and `try_write` have it.

use std::io::{self, ErrorKind, IoSlice};
use std::task::{Context, Poll, ready};

use tokio::io::ReadBuf;
use tokio::net::{TcpStream, UnixStream};

/// A stream socket whose readiness can be asked for.
pub(crate) trait ReadinessStream {
    /// Whether it may be read from.
    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Whether it may be written to.
    fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Reads what is there.
    fn read_now(&self, to: &mut [u8]) -> io::Result<usize>;
    /// Writes what there is room for.
    fn write_now(&self, from: &[u8]) -> io::Result<usize>;
    /// Writes what there is room for of several parts.
    fn write_parts_now(&self, from: &[IoSlice<'_>]) -> io::Result<usize>;
}

/// Both kinds of sockets have the same methods under the same names.
macro_rules! readiness_stream {
    ($of:ty) => {
        impl ReadinessStream for $of {
            fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                self.poll_read_ready(cx)
            }

            fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                self.poll_write_ready(cx)
            }

            fn read_now(&self, to: &mut [u8]) -> io::Result<usize> {
                self.try_read(to)
            }

            fn write_now(&self, from: &[u8]) -> io::Result<usize> {
                self.try_write(from)
            }

            fn write_parts_now(&self, from: &[IoSlice<'_>]) -> io::Result<usize> {
                self.try_write_vectored(from)
            }
        }
    };
}

readiness_stream!(TcpStream);
readiness_stream!(UnixStream);

/// What a call gave, or `None` where it has to wait or to be made again.
fn settled<T>(result: io::Result<T>) -> Option<io::Result<T>> {
    match result {
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => None,
        other => Some(other),
    }
}

/// Reads into what is not filled yet.
pub(crate) fn poll_read(
    stream: &impl ReadinessStream,
    cx: &mut Context<'_>,
    to: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_readable(cx))?;
        if let Some(read) = settled(stream.read_now(to.initialize_unfilled())) {
            return Poll::Ready(read.map(|length| to.advance(length)));
        }
    }
}

/// Writes a part of the bytes, at least one.
pub(crate) fn poll_write(
    stream: &impl ReadinessStream,
    cx: &mut Context<'_>,
    from: &[u8],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_writable(cx))?;
        if let Some(written) = settled(stream.write_now(from)) {
            return Poll::Ready(written);
        }
    }
}

/// Writes a part of several parts, at least one byte.
pub(crate) fn poll_write_vectored(
    stream: &impl ReadinessStream,
    cx: &mut Context<'_>,
    from: &[IoSlice<'_>],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_writable(cx))?;
        if let Some(written) = settled(stream.write_parts_now(from)) {
            return Poll::Ready(written);
        }
    }
}
