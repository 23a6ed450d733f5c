//! The real machine: tokio on one thread, inside a `LocalSet`.

use std::fmt::Display;
use std::future::Future;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::task::{Context, Poll};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::BytesMut;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::AbortHandle;

use crate::{Listener, Net, Reading, Socket, Stream, Task};

/// The machine that the program runs on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tokio;

impl Net for Tokio {
    type Stream = TcpStream;
    type Listener = TcpListener;
    type Socket = UdpSocket;
    type Task = AbortHandle;

    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
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

    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<TcpStream>> {
        TcpStream::connect(to)
    }

    fn listen(&self, at: SocketAddr) -> impl Future<Output = io::Result<TcpListener>> {
        TcpListener::bind(at)
    }

    fn socket(&self, at: SocketAddr) -> impl Future<Output = io::Result<UdpSocket>> {
        UdpSocket::bind(at)
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

impl Stream for TcpStream {
    type Reading = OwnedReadHalf;
    type Writing = OwnedWriteHalf;

    fn split(self) -> (OwnedReadHalf, OwnedWriteHalf) {
        self.into_split()
    }

    fn set_nodelay(&self) {
        let _ = TcpStream::set_nodelay(self, true);
    }

    fn reset(self) {
        // A linger of no time makes the close a reset.
        let _ = self.set_zero_linger();
    }
}

impl Reading for OwnedReadHalf {
    async fn readable(&self) -> io::Result<()> {
        OwnedReadHalf::readable(self).await
    }

    fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        OwnedReadHalf::try_read_buf(self, buffer)
    }
}

impl Listener for TcpListener {
    type Stream = TcpStream;

    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(TcpStream, SocketAddr)>> {
        TcpListener::poll_accept(self, cx)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        TcpListener::local_addr(self)
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
