//! The real machine: tokio on one thread, inside a `LocalSet`.

use std::fmt::Display;
use std::future::Future;
use std::io::{self, ErrorKind, Write};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::BytesMut;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{Domain, Protocol, Socket as Socket2, Type};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpListener, TcpStream, UdpSocket, UnixStream, tcp, unix};
use tokio::task::AbortHandle;

use crate::stream_io;
use crate::unix::{Bound, UnixSocketSpec, bind};
use crate::{Listener, Net, ReadHalf, Socket, Stream, Task};

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

    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> {
        tokio::time::sleep_until(at.into())
    }

    fn yield_now(&self) -> impl Future<Output = ()> {
        tokio::task::yield_now()
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> AbortHandle {
        tokio::task::spawn_local(task).abort_handle()
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<AnyStream> {
        TcpStream::connect(to).await.map(AnyStream::Tcp)
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<AnyListener> {
        TcpListener::bind(at).await.map(AnyListener::Tcp)
    }

    async fn listen_unix(&self, at: &UnixSocketSpec) -> io::Result<AnyListener> {
        bind(at).map(AnyListener::Unix)
    }

    fn socket(&self, at: SocketAddr) -> impl Future<Output = io::Result<UdpSocket>> {
        UdpSocket::bind(at)
    }

    fn adopt_listener(&self, listener: std::net::TcpListener) -> io::Result<AnyListener> {
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener).map(AnyListener::Tcp)
    }

    async fn shared_socket(&self, at: SocketAddr) -> io::Result<UdpSocket> {
        let socket = Socket2::new(Domain::for_address(at), Type::DGRAM, Some(Protocol::UDP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&at.into())?;
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
    /// Over TCP.
    Tcp(TcpStream),
    /// Within this machine.
    Unix(UnixStream),
}

/// The half of it that reads.
pub enum AnyReadHalf {
    /// Over TCP.
    Tcp(tcp::OwnedReadHalf),
    /// Within this machine.
    Unix(unix::OwnedReadHalf),
}

/// The half of it that writes.
pub enum AnyWriteHalf {
    /// Over TCP.
    Tcp(tcp::OwnedWriteHalf),
    /// Within this machine.
    Unix(unix::OwnedWriteHalf),
}

/// Where connections come in.
pub enum AnyListener {
    /// Over TCP.
    Tcp(TcpListener),
    /// Within this machine.
    Unix(Bound),
}

/// Calls the same of whichever it is.
macro_rules! either {
    ($of:ident, $it:expr, $one:ident => $call:expr) => {
        match $it {
            $of::Tcp($one) => $call,
            $of::Unix($one) => $call,
        }
    };
}

impl AsyncRead for AnyStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, to: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        either!(AnyStream, self.get_mut(), s => stream_io::poll_read(s, cx, to))
    }
}

/// Both ends write alike; the one that was split off through the stream that it is a half of.
macro_rules! writes {
    ($of:ident, $s:ident => $stream:expr) => {
        impl AsyncWrite for $of {
            fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
                either!($of, self.get_mut(), $s => stream_io::poll_write($stream, cx, bytes))
            }

            fn poll_write_vectored(
                self: Pin<&mut Self>,
                cx: &mut Context<'_>,
                parts: &[io::IoSlice<'_>],
            ) -> Poll<io::Result<usize>> {
                either!($of, self.get_mut(), $s => stream_io::poll_write_vectored($stream, cx, parts))
            }

            fn is_write_vectored(&self) -> bool {
                either!($of, self, s => s.is_write_vectored())
            }

            fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                either!($of, self.get_mut(), s => Pin::new(s).poll_flush(cx))
            }

            fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
                either!($of, self.get_mut(), s => Pin::new(s).poll_shutdown(cx))
            }
        }
    };
}

writes!(AnyStream, s => &*s);
writes!(AnyWriteHalf, s => s.as_ref());

impl Stream for AnyStream {
    type ReadHalf = AnyReadHalf;
    type WriteHalf = AnyWriteHalf;

    fn split(self) -> (AnyReadHalf, AnyWriteHalf) {
        match self {
            AnyStream::Tcp(s) => {
                let (reading, writing) = s.into_split();
                (AnyReadHalf::Tcp(reading), AnyWriteHalf::Tcp(writing))
            }
            AnyStream::Unix(s) => {
                let (reading, writing) = s.into_split();
                (AnyReadHalf::Unix(reading), AnyWriteHalf::Unix(writing))
            }
        }
    }

    fn set_nodelay(&self) {
        if let AnyStream::Tcp(s) = self {
            let _ = s.set_nodelay(true);
        }
    }

    fn reset(self) {
        // A linger of no time makes the close a reset; within a machine there are none.
        if let AnyStream::Tcp(s) = self {
            let _ = s.set_zero_linger();
        }
    }
}

impl ReadHalf for AnyReadHalf {
    async fn readable(&self) -> io::Result<()> {
        either!(AnyReadHalf, self, s => s.readable().await)
    }

    fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        loop {
            match either!(AnyReadHalf, self, s => s.try_read_buf(buffer)) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                read => return read,
            }
        }
    }

    fn closed(&self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        let polled = either!(AnyReadHalf, self, s => pin!(s.ready(Interest::READABLE)).poll(&mut cx));
        matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    fn hung_up(&self) -> bool {
        const AT_ONCE: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };
        let gone = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let socket = either!(AnyReadHalf, self, s => PollFd::from_borrowed_fd(s.as_ref().as_fd(), gone));
        let mut sockets = [socket];
        match poll(&mut sockets, Some(&AT_ONCE)) {
            Ok(_) => sockets[0].revents().intersects(gone),
            // What can't be asked is as it was last heard.
            Err(_) => self.closed(),
        }
    }
}

impl Listener for AnyListener {
    type Stream = AnyStream;

    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(AnyStream, SocketAddr)>> {
        match self {
            AnyListener::Tcp(door) => door.poll_accept(cx).map_ok(|(s, from)| (AnyStream::Tcp(s), from)),
            // Who connects there has no address.
            AnyListener::Unix(door) => {
                let nobody = SocketAddr::from(([0, 0, 0, 0], 0));
                door.listener.poll_accept(cx).map_ok(|(s, _)| (AnyStream::Unix(s), nobody))
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        match self {
            AnyListener::Tcp(door) => door.local_addr(),
            AnyListener::Unix(_) => Err(io::ErrorKind::Unsupported.into()),
        }
    }
}

impl Socket for UdpSocket {
    fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        UdpSocket::try_send_to(self, bytes, to)
    }

    async fn send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        UdpSocket::send_to(self, bytes, to).await
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
