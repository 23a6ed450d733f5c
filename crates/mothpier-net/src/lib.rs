//! The seam between the parts of a node and the machine: sockets, time and tasks.
//!
//! Every part of the node takes a [`Net`] as a type parameter. [`Tokio`] is the real one, a value of no size whose
//! calls are tokio's own; the simulation has another, on a virtual clock. The choice is made at compile time, so
//! that a program for production holds nothing of the simulation.

mod inherited;
mod limits;
mod signals;
mod stream_io;
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

pub use inherited::inherited;
pub use limits::open_files;
pub use signals::{Signal, Signals};
pub use tokio_net::{AnyListener, AnyReadHalf, AnyStream, AnyWriteHalf, Tokio};
pub use unix::UnixSocketSpec;

/// A machine: where sockets, time and tasks come from.
pub trait Net: Clone + 'static {
    /// A TCP connection.
    type Stream: Stream;
    /// A TCP listener.
    type Listener: Listener<Stream = Self::Stream>;
    /// A UDP socket.
    type Socket: Socket;
    /// A task that runs.
    type Task: Task;

    /// The monotonic clock.
    fn now(&self) -> Instant;

    /// Time since the Unix epoch.
    fn unix_time(&self) -> Duration;

    /// Time since some fixed moment, on a clock that nobody sets and that also counts while the machine is suspended: for
    /// what must not be believed longer than it is true.
    fn boot_time(&self) -> Duration;

    /// Ends at a time, at once where it has passed.
    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()>;

    /// Goes once round the scheduler, which looks at the sockets then.
    fn yield_now(&self) -> impl Future<Output = ()>;

    /// Runs a task on this machine's one thread.
    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Self::Task;

    /// Opens a connection.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Opens a listener.
    fn listen(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>>;

    /// Opens a listener in the file system. Machines without one have none.
    fn listen_unix(&self, at: &UnixSocketSpec) -> impl Future<Output = io::Result<Self::Listener>> {
        let _ = at;
        async { Err(io::ErrorKind::Unsupported.into()) }
    }

    /// Takes over a listener that the platform opened. Machines without a platform have none.
    fn adopt_listener(&self, listener: std::net::TcpListener) -> io::Result<Self::Listener> {
        let _ = listener;
        Err(io::ErrorKind::Unsupported.into())
    }

    /// Opens a socket for datagrams.
    fn socket(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Socket>>;

    /// Opens a socket for datagrams at an address that another process of this node may have open, too: what comes
    /// goes to the one that opened it last.
    fn shared_socket(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Socket>> {
        self.socket(at)
    }

    /// Chance that nobody outside can guess: for what must not be forged.
    ///
    /// # Errors
    ///
    /// A machine that has none.
    fn entropy(&self) -> io::Result<[u8; 32]>;

    /// Writes a line to the log; a log that can't be written must not end the program.
    fn log(&self, line: impl Display);

    /// Ends after a span.
    fn sleep(&self, span: Duration) -> impl Future<Output = ()> {
        self.sleep_until(self.now() + span)
    }

    /// How long ago a time was.
    fn since(&self, time: Instant) -> Duration {
        self.now().saturating_duration_since(time)
    }

    /// Waits for a future until a time; `None` when the time has come first. What is ready at that time counts.
    fn timeout_at<F: Future>(&self, at: Instant, future: F) -> impl Future<Output = Option<F::Output>> {
        async move {
            let mut future = pin!(future);
            let mut sleep = pin!(self.sleep_until(at));
            poll_fn(|cx| {
                if let Poll::Ready(output) = future.as_mut().poll(cx) {
                    return Poll::Ready(Some(output));
                }
                sleep.as_mut().poll(cx).map(|()| None)
            })
            .await
        }
    }

    /// Waits for a future for at most a span.
    fn timeout<F: Future>(&self, span: Duration, future: F) -> impl Future<Output = Option<F::Output>> {
        self.timeout_at(self.now() + span, future)
    }
}

/// A TCP connection. Dropping it closes it.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {
    /// The half that reads.
    type ReadHalf: ReadHalf;
    /// The half that writes.
    type WriteHalf: AsyncWrite + Unpin + 'static;

    /// Parts the connection in two; it closes when both are dropped.
    fn split(self) -> (Self::ReadHalf, Self::WriteHalf);

    /// Sends small writes at once.
    fn set_nodelay(&self);

    /// Drops the connection with a reset instead of an orderly end.
    fn reset(self);
}

/// The half of a connection that reads.
pub trait ReadHalf: 'static {
    /// Ends when there is something to read, or the end.
    fn readable(&self) -> impl Future<Output = io::Result<()>>;

    /// Reads what is there into the room behind the buffer's content; 0 is the end, `WouldBlock` nothing yet.
    fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize>;

    /// Whether the other end is known to have closed, also where what it sent before is still unread.
    fn closed(&self) -> bool;

    /// Whether the other end has closed as of now: asked of the machine, where [`ReadHalf::closed`] knows what was heard of
    /// it last.
    fn hung_up(&self) -> bool {
        self.closed()
    }
}

/// A TCP listener.
pub trait Listener: 'static {
    /// What it accepts.
    type Stream;

    /// Takes the next connection.
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(Self::Stream, SocketAddr)>>;

    /// Where it listens.
    fn local_addr(&self) -> io::Result<SocketAddr>;

    /// Waits for the next connection.
    fn accept(&self) -> impl Future<Output = io::Result<(Self::Stream, SocketAddr)>> {
        poll_fn(|cx| self.poll_accept(cx))
    }
}

/// A UDP socket.
pub trait Socket: 'static {
    /// Sends a datagram, or fails where it can't go at once.
    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize>;

    /// Sends a datagram, as soon as it can go.
    fn send_to(&self, bytes: &[u8], to: SocketAddr) -> impl Future<Output = io::Result<usize>>;

    /// Waits for a datagram: its length (cut to the buffer's) and its sender.
    fn recv_from(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;

    /// Where it is bound.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}

/// A task that runs; it goes on when this is dropped.
pub trait Task: 'static {
    /// Ends it at its next wait.
    fn abort(&self);
}
