//! The [`Net`] of the real machine: tokio on a single thread, inside a `LocalSet`.

use std::fmt::Display;
use std::future::Future;
use std::io::{self, ErrorKind, Write};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::{BufMut, BytesMut};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{Domain, Protocol, Socket as Socket2, Type};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpListener, TcpStream, UdpSocket, UnixStream, tcp, unix};
use tokio::task::{AbortHandle, coop};

use crate::stream_io;
use crate::tcp_info;
use crate::unix::{BoundUnixListener, UnixSocketSpec, bind};
use crate::{Listener, Net, ReadHalf, Socket, Stream, Task};

/// Maximum number of bytes read at once. A socket may hold megabytes, which would take milliseconds.
const MAX_READ_BYTES: usize = 64 * 1024;

/// The machine that the program runs on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tokio;

impl Net for Tokio {
    type Stream = AnyStream;
    type Listener = AnyListener;
    type Socket = UdpSocket;
    type Task = AbortHandle;

    fn now(&self) -> Instant {
        Instant::now()
    }

    fn unix_time(&self) -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }

    fn boot_time(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
    }

    fn sleep_until(&self, deadline: Instant) -> impl Future<Output = ()> {
        // Otherwise a task that has used up its budget on other futures would not notice that the time is over.
        coop::unconstrained(tokio::time::sleep_until(deadline.into()))
    }

    fn yield_now(&self) -> impl Future<Output = ()> {
        tokio::task::yield_now()
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> AbortHandle {
        tokio::task::spawn_local(task).abort_handle()
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<AnyStream> {
        TcpStream::connect(address).await.map(AnyStream::Tcp)
    }

    async fn listen(&self, address: SocketAddr) -> io::Result<AnyListener> {
        TcpListener::bind(address).await.map(AnyListener::Tcp)
    }

    async fn listen_unix(&self, spec: &UnixSocketSpec) -> io::Result<AnyListener> {
        bind(spec).map(AnyListener::Unix)
    }

    fn socket(&self, address: SocketAddr) -> impl Future<Output = io::Result<UdpSocket>> {
        UdpSocket::bind(address)
    }

    fn adopt_listener(&self, listener: std::net::TcpListener) -> io::Result<AnyListener> {
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener).map(AnyListener::Tcp)
    }

    async fn shared_socket(&self, address: SocketAddr) -> io::Result<UdpSocket> {
        let socket = Socket2::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        UdpSocket::from_std(socket.into())
    }

    fn entropy(&self) -> io::Result<[u8; 32]> {
        let mut seed = [0; 32];
        getrandom::fill(&mut seed).map_err(io::Error::other)?;
        Ok(seed)
    }

    fn log(&self, line: impl Display) {
        let _ = writeln!(io::stderr(), "mothpier: {line}");
    }
}

/// A connection over TCP or a Unix socket.
pub enum AnyStream {
    /// TCP.
    Tcp(TcpStream),
    /// Unix socket.
    Unix(UnixStream),
}

/// The read half of an [`AnyStream`].
pub enum AnyReadHalf {
    /// TCP.
    Tcp(tcp::OwnedReadHalf),
    /// Unix socket.
    Unix(unix::OwnedReadHalf),
}

/// The write half of an [`AnyStream`].
pub enum AnyWriteHalf {
    /// TCP.
    Tcp(tcp::OwnedWriteHalf),
    /// Unix socket.
    Unix(unix::OwnedWriteHalf),
}

/// A listener on TCP or a Unix socket.
pub enum AnyListener {
    /// TCP.
    Tcp(TcpListener),
    /// Unix socket.
    Unix(BoundUnixListener),
}

/// Evaluates the same expression for the socket of either variant.
macro_rules! dispatch {
    ($kind:ident, $value:expr, $socket:ident => $call:expr) => {
        match $value {
            $kind::Tcp($socket) => $call,
            $kind::Unix($socket) => $call,
        }
    };
}

impl AsyncRead for AnyStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        dispatch!(AnyStream, self.get_mut(), socket => stream_io::poll_read(socket, cx, buffer))
    }
}

/// Implements `AsyncWrite`; a write half goes through the stream that it belongs to.
macro_rules! impl_async_write {
    ($kind:ident, $socket:ident => $stream:expr) => {
        impl AsyncWrite for $kind {
            fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
                dispatch!($kind, self.get_mut(), $socket => stream_io::poll_write($stream, cx, bytes))
            }

            fn poll_write_vectored(
                self: Pin<&mut Self>,
                cx: &mut Context<'_>,
                slices: &[io::IoSlice<'_>],
            ) -> Poll<io::Result<usize>> {
                dispatch!($kind, self.get_mut(), $socket => stream_io::poll_write_vectored($stream, cx, slices))
            }

            fn is_write_vectored(&self) -> bool {
                dispatch!($kind, self, socket => socket.is_write_vectored())
            }

            fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                dispatch!($kind, self.get_mut(), socket => Pin::new(socket).poll_flush(cx))
            }

            fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                dispatch!($kind, self.get_mut(), socket => Pin::new(socket).poll_shutdown(cx))
            }
        }
    };
}

impl_async_write!(AnyStream, socket => &*socket);
impl_async_write!(AnyWriteHalf, socket => socket.as_ref());

impl Stream for AnyStream {
    type ReadHalf = AnyReadHalf;
    type WriteHalf = AnyWriteHalf;

    fn split(self) -> (AnyReadHalf, AnyWriteHalf) {
        match self {
            AnyStream::Tcp(socket) => {
                let (read_half, write_half) = socket.into_split();
                (AnyReadHalf::Tcp(read_half), AnyWriteHalf::Tcp(write_half))
            }
            AnyStream::Unix(socket) => {
                let (read_half, write_half) = socket.into_split();
                (AnyReadHalf::Unix(read_half), AnyWriteHalf::Unix(write_half))
            }
        }
    }

    fn set_nodelay(&self) {
        if let AnyStream::Tcp(socket) = self {
            let _ = socket.set_nodelay(true);
        }
    }

    fn reset(self) {
        // With a linger time of zero, closing sends a reset. Unix sockets have no resets.
        if let AnyStream::Tcp(socket) = self {
            let _ = socket.set_zero_linger();
        }
    }
}

impl ReadHalf for AnyReadHalf {
    async fn readable(&self) -> io::Result<()> {
        // Tokio's own `readable` takes nothing from the budget of a task, which could then read without an end.
        coop::consume_budget().await;
        dispatch!(AnyReadHalf, self, socket => socket.readable().await)
    }

    fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        loop {
            let mut limited = (&mut *buffer).limit(MAX_READ_BYTES);
            match dispatch!(AnyReadHalf, self, socket => socket.try_read_buf(&mut limited)) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                read => return read,
            }
        }
    }

    fn closed(&self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        let polled =
            dispatch!(AnyReadHalf, self, socket => pin!(socket.ready(Interest::READABLE)).poll(&mut cx));
        matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    fn hung_up(&self) -> bool {
        const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };
        let closed_events = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let poll_fd = dispatch!(AnyReadHalf, self, socket =>
            PollFd::from_borrowed_fd(socket.as_ref().as_fd(), closed_events));
        let mut poll_fds = [poll_fd];
        match poll(&mut poll_fds, Some(&NO_WAIT)) {
            Ok(_) => poll_fds[0].revents().intersects(closed_events),
            // If the kernel can't be asked, the last known state applies.
            Err(_) => self.closed(),
        }
    }

    fn since_last_received(&self) -> Duration {
        let AnyReadHalf::Tcp(socket) = self else { return Duration::ZERO };
        tcp_info::since_last_received(socket.as_ref().as_fd()).unwrap_or_default()
    }
}

impl Listener for AnyListener {
    type Stream = AnyStream;

    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(AnyStream, SocketAddr)>> {
        match self {
            AnyListener::Tcp(listener) => {
                listener.poll_accept(cx).map_ok(|(socket, client)| (AnyStream::Tcp(socket), client))
            }
            // Clients of a Unix socket have no address.
            AnyListener::Unix(bound) => {
                let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
                bound.listener.poll_accept(cx).map_ok(|(socket, _)| (AnyStream::Unix(socket), unspecified))
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        match self {
            AnyListener::Tcp(listener) => listener.local_addr(),
            AnyListener::Unix(_) => Err(io::ErrorKind::Unsupported.into()),
        }
    }
}

impl Socket for UdpSocket {
    fn try_send_to(&self, bytes: &[u8], target: SocketAddr) -> io::Result<usize> {
        UdpSocket::try_send_to(self, bytes, target)
    }

    async fn send_to(&self, bytes: &[u8], target: SocketAddr) -> io::Result<usize> {
        UdpSocket::send_to(self, bytes, target).await
    }

    async fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        UdpSocket::recv_from(self, buffer).await
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        UdpSocket::local_addr(self)
    }
}

impl Task for AbortHandle {
    fn abort(&self) {
        AbortHandle::abort(self);
    }
}
