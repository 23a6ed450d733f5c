//! Abstraction of the operating system for the parts of a node: sockets, time and tasks.
//!
//! Every part of the node takes a [`Net`] as a type parameter. [`Tokio`] is the real implementation, a
//! zero-sized type whose methods call tokio directly; the simulation has its own, with a virtual clock. The
//! choice is made at compile time, so that production binaries contain no simulation code.

mod inherited;
mod limits;
mod signals;
mod stream_io;
mod tcp_info;
mod tokio_net;
mod unix;

use std::fmt::Display;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncWrite};

pub use inherited::inherited_listener;
pub use limits::open_file_limit;
pub use signals::{Signal, Signals};
pub use tokio_net::{AnyListener, AnyReadHalf, AnyStream, AnyWriteHalf, Tokio};
pub use unix::UnixSocketSpec;

/// The machine that provides sockets, time and tasks.
pub trait Net: Clone + 'static {
    /// A stream connection.
    type Stream: Stream;
    /// A listener for stream connections.
    type Listener: Listener<Stream = Self::Stream>;
    /// A UDP socket.
    type Socket: Socket;
    /// A handle to a spawned task.
    type Task: Task;

    /// Returns the time of the monotonic clock.
    fn now(&self) -> Instant;

    /// Returns the time since the Unix epoch.
    fn unix_time(&self) -> Duration;

    /// Returns the time since a fixed moment, on a clock that is never set and also advances while the
    /// machine is suspended. Meant for state that must not be used beyond its validity, such as leases.
    fn boot_time(&self) -> Duration;

    /// Completes at the given time, or at once if it has passed.
    fn sleep_until(&self, deadline: Instant) -> impl Future<Output = ()>;

    /// Yields to the scheduler once, which polls the sockets before this task resumes.
    fn yield_now(&self) -> impl Future<Output = ()>;

    /// Spawns a task on the single thread of this machine.
    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Self::Task;

    /// Opens a TCP connection.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Opens a TCP listener.
    fn listen(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>>;

    /// Opens a listener on a Unix socket. Unsupported by default.
    fn listen_unix(&self, spec: &UnixSocketSpec) -> impl Future<Output = io::Result<Self::Listener>> {
        let _ = spec;
        async { Err(io::ErrorKind::Unsupported.into()) }
    }

    /// Takes over a listener that the platform opened. Unsupported by default.
    fn adopt_listener(&self, listener: std::net::TcpListener) -> io::Result<Self::Listener> {
        let _ = listener;
        Err(io::ErrorKind::Unsupported.into())
    }

    /// Opens a UDP socket.
    fn socket(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Socket>>;

    /// Opens a UDP socket at an address that another process of this node may have open too. Datagrams go to
    /// the process that opened it last.
    fn shared_socket(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Socket>> {
        self.socket(address)
    }

    /// Returns unpredictable random bytes, for values that must not be forged.
    ///
    /// # Errors
    ///
    /// The machine has no source of randomness.
    fn entropy(&self) -> io::Result<[u8; 32]>;

    /// Writes a line to the log. Failures are ignored: an unwritable log must not stop the program.
    fn log(&self, line: impl Display);

    /// Completes after the given duration.
    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> {
        self.sleep_until(self.now() + duration)
    }

    /// Returns how much time has passed since the given time, zero if it is in the future.
    fn since(&self, time: Instant) -> Duration {
        self.now().saturating_duration_since(time)
    }

    /// Waits for a future until the given time, and returns `None` on timeout. A future that is ready by then
    /// wins.
    fn timeout_at<F: Future>(&self, deadline: Instant, future: F) -> impl Future<Output = Option<F::Output>> {
        async move {
            let mut future = pin!(future);
            let mut sleep = pin!(self.sleep_until(deadline));
            poll_fn(|cx| {
                if let Poll::Ready(output) = future.as_mut().poll(cx) {
                    return Poll::Ready(Some(output));
                }
                sleep.as_mut().poll(cx).map(|()| None)
            })
            .await
        }
    }

    /// Waits for a future for at most the given duration, and returns `None` on timeout.
    fn timeout<F: Future>(&self, duration: Duration, future: F) -> impl Future<Output = Option<F::Output>> {
        self.timeout_at(self.now() + duration, future)
    }
}

/// A stream connection. Dropping it closes it.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {
    /// The read half.
    type ReadHalf: ReadHalf;
    /// The write half.
    type WriteHalf: AsyncWrite + Unpin + 'static;

    /// Splits the connection into its halves. It is closed once both are dropped.
    fn split(self) -> (Self::ReadHalf, Self::WriteHalf);

    /// Disables Nagle's algorithm, so that small writes are sent at once.
    fn set_nodelay(&self);

    /// Drops the connection with a reset instead of an orderly close.
    fn reset(self);
}

/// The read half of a connection.
pub trait ReadHalf: 'static {
    /// Completes when there is data to read or the end of the stream has been reached.
    fn readable(&self) -> impl Future<Output = io::Result<()>>;

    /// Appends available data to the buffer, within its spare capacity. Returns 0 at the end of the stream,
    /// and `WouldBlock` if there is no data yet.
    fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize>;

    /// Returns whether the peer is known to have closed, even if data that it sent before is still unread.
    fn closed(&self) -> bool;

    /// Returns whether the peer has closed by now. Asks the kernel, whereas [`ReadHalf::closed`] relies on
    /// the last event received from it.
    fn hung_up(&self) -> bool {
        self.closed()
    }

    /// Returns how long ago the kernel received the latest data of the peer, read or unread; zero where that is
    /// unknown.
    fn since_last_received(&self) -> Duration {
        Duration::ZERO
    }
}

/// A listener for stream connections.
pub trait Listener: 'static {
    /// The type of accepted connections.
    type Stream;

    /// Polls for the next connection.
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(Self::Stream, SocketAddr)>>;

    /// Returns the address that it listens at.
    fn local_addr(&self) -> io::Result<SocketAddr>;

    /// Waits for the next connection.
    fn accept(&self) -> impl Future<Output = io::Result<(Self::Stream, SocketAddr)>> {
        poll_fn(|cx| self.poll_accept(cx))
    }
}

/// A UDP socket.
pub trait Socket: 'static {
    /// Sends a datagram, or fails if it can't be sent at once.
    fn try_send_to(&self, bytes: &[u8], target: SocketAddr) -> io::Result<usize>;

    /// Sends a datagram as soon as the socket is writable.
    fn send_to(&self, bytes: &[u8], target: SocketAddr) -> impl Future<Output = io::Result<usize>>;

    /// Waits for a datagram. Returns its length, truncated to the buffer's, and its sender.
    fn recv_from(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;

    /// Returns the address that it is bound to.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}

/// A handle to a spawned task. Dropping it does not stop the task.
pub trait Task: 'static {
    /// Aborts the task at its next await point.
    fn abort(&self);
}
