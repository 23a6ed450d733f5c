//! Reads and writes on stream sockets that keep their readiness after a partial result.
//!
//! Tokio's own `poll_read` and `poll_write` take a partial result to mean that the socket is drained or full:
//! they clear the readiness and wait for the next epoll edge. If a call transferred less for another reason
//! (truncated by an interposed library or an emulated socket), no edge follows and the connection hangs.
//! Here, readiness is cleared only when the kernel returns `WouldBlock`, as `try_read` and `try_write` do.

use std::io::{self, ErrorKind, IoSlice};
use std::task::{Context, Poll, ready};

use tokio::io::ReadBuf;
use tokio::net::{TcpStream, UnixStream};

/// A stream socket whose readiness can be polled.
pub(crate) trait ReadinessStream {
    /// Polls for readability.
    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Polls for writability.
    fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;
    /// Reads available data without waiting.
    fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize>;
    /// Writes as much as possible without waiting.
    fn write_now(&self, bytes: &[u8]) -> io::Result<usize>;
    /// Writes as much as possible of several slices without waiting.
    fn write_vectored_now(&self, slices: &[IoSlice<'_>]) -> io::Result<usize>;
}

/// Implements [`ReadinessStream`] for a tokio socket type; both types have methods of the same names.
macro_rules! readiness_stream {
    ($socket:ty) => {
        impl ReadinessStream for $socket {
            fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                self.poll_read_ready(cx)
            }

            fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                self.poll_write_ready(cx)
            }

            fn read_now(&self, buffer: &mut [u8]) -> io::Result<usize> {
                self.try_read(buffer)
            }

            fn write_now(&self, bytes: &[u8]) -> io::Result<usize> {
                self.try_write(bytes)
            }

            fn write_vectored_now(&self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
                self.try_write_vectored(slices)
            }
        }
    };
}

readiness_stream!(TcpStream);
readiness_stream!(UnixStream);

/// Returns the result of a call, or `None` if it would block or was interrupted and must be repeated.
fn completed<T>(result: io::Result<T>) -> Option<io::Result<T>> {
    match result {
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => None,
        other => Some(other),
    }
}

/// Reads into the unfilled part of the buffer.
pub(crate) fn poll_read(
    stream: &impl ReadinessStream,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_readable(cx))?;
        if let Some(read) = completed(stream.read_now(buffer.initialize_unfilled())) {
            return Poll::Ready(read.map(|length| buffer.advance(length)));
        }
    }
}

/// Writes at least one of the bytes.
pub(crate) fn poll_write(
    stream: &impl ReadinessStream,
    cx: &mut Context<'_>,
    bytes: &[u8],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_writable(cx))?;
        if let Some(written) = completed(stream.write_now(bytes)) {
            return Poll::Ready(written);
        }
    }
}

/// Writes at least one byte of several slices.
pub(crate) fn poll_write_vectored(
    stream: &impl ReadinessStream,
    cx: &mut Context<'_>,
    slices: &[IoSlice<'_>],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_writable(cx))?;
        if let Some(written) = completed(stream.write_vectored_now(slices)) {
            return Poll::Ready(written);
        }
    }
}
