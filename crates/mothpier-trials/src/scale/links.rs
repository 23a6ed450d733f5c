//! The network between hollow nodes and coordinators: the product's seam `Net` over real loopback sockets, with a delay
//! of its own for each node, cut by region, and counted.
//!
//! A call waits one way's delay before its first byte goes out and one before the first byte of its answer is read; a
//! connection takes both. While the region is cut nothing is read, written or connected: what was open stays silent.

use std::fmt::Display;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use mothpier_net::{AnyReadHalf, AnyWriteHalf, Listener, Net, Stream, Tokio};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream, UdpSocket};
use tokio::task::AbortHandle;
use tokio::time::Sleep;

use super::kind::{CallKind, TELLING};
use super::shared::{Shared, lock};
use super::tally::CallSeen;

/// A connection that is cut looks again after this time whether it still is.
const LOOK: Duration = Duration::from_millis(20);
/// Place of the status within the first bytes of an answer: behind `HTTP/1.1 `.
const STATUS: std::ops::Range<usize> = 9..12;

/// The machine of a hollow node.
#[derive(Clone)]
pub struct LinkNet {
    shared: Arc<Shared>,
    region: usize,
    /// The address that its connections come from.
    source: Ipv4Addr,
    /// From the node to a coordinator, one way.
    delay: Duration,
    /// Where the client's dice begin: by the plan.
    seed: u64,
}

impl LinkNet {
    /// A machine of a region at an address of its own.
    pub fn new(shared: Arc<Shared>, region: usize, source: Ipv4Addr, delay: Duration, seed: u64) -> Self {
        LinkNet { shared, region, source, delay, seed }
    }

    fn is_cut(&self) -> bool {
        self.shared.is_cut(self.region)
    }

    async fn until_whole(&self) {
        while self.is_cut() {
            tokio::time::sleep(LOOK).await;
        }
    }
}

impl Net for LinkNet {
    type Stream = LinkStream;
    type Listener = LinkListener;
    type Socket = UdpSocket;
    type Task = AbortHandle;

    fn now(&self) -> Instant {
        Tokio.now()
    }

    fn unix_time(&self) -> Duration {
        Tokio.unix_time()
    }

    fn boot_time(&self) -> Duration {
        Tokio.boot_time()
    }

    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> {
        Tokio.sleep_until(at)
    }

    fn yield_now(&self) -> impl Future<Output = ()> {
        Tokio.yield_now()
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> AbortHandle {
        Tokio.spawn(task)
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<LinkStream> {
        let began = Instant::now();
        self.until_whole().await;
        tokio::time::sleep(2 * self.delay).await;
        self.until_whole().await;
        let socket = TcpSocket::new_v4()?;
        socket.bind((self.source, 0).into())?;
        let connected = socket.connect(to).await;
        if connected.is_err() {
            lock(&self.shared.tally).refused_connections += 1;
        }
        let call = OpenCall {
            shared: self.shared.clone(),
            began,
            last: began,
            first: Vec::new(),
            sent: 0,
            received: 0,
            status: Vec::new(),
        };
        Ok(LinkStream { stream: connected?, call, net: self.clone(), cut: None, request: None, answer: None })
    }

    async fn listen(&self, _at: SocketAddr) -> io::Result<LinkListener> {
        Err(io::ErrorKind::Unsupported.into())
    }

    fn socket(&self, at: SocketAddr) -> impl Future<Output = io::Result<UdpSocket>> {
        Tokio.socket(at)
    }

    fn entropy(&self) -> io::Result<[u8; 32]> {
        let mut bytes = [0; 32];
        bytes[24..].copy_from_slice(&self.seed.to_be_bytes());
        Ok(bytes)
    }

    fn log(&self, _line: impl Display) {}
}

/// What is known of a call under way; counted when its connection ends.
struct OpenCall {
    shared: Arc<Shared>,
    began: Instant,
    /// When the last byte of its answer came.
    last: Instant,
    /// Its first bytes: they tell its kind.
    first: Vec<u8>,
    sent: u64,
    received: u64,
    /// The first bytes of the answer.
    status: Vec<u8>,
}

impl OpenCall {
    fn wrote(&mut self, bytes: &[u8]) {
        self.sent += bytes.len() as u64;
        let room = TELLING.saturating_sub(self.first.len());
        self.first.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    fn read(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        self.last = Instant::now();
        self.received += bytes.len() as u64;
        let room = STATUS.end.saturating_sub(self.status.len());
        self.status.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if self.sent == 0 {
            return;
        }
        let status = self.status.get(STATUS).and_then(|s| std::str::from_utf8(s).ok()?.parse().ok());
        lock(&self.shared.tally).seen(CallSeen {
            kind: CallKind::of(&self.first),
            sent: self.sent,
            received: self.received,
            status,
            took: self.last - self.began,
        });
    }
}

/// A connection of a hollow node.
pub struct LinkStream {
    stream: TcpStream,
    call: OpenCall,
    net: LinkNet,
    /// The next look whether the region is still cut.
    cut: Option<Pin<Box<Sleep>>>,
    /// The way of the request and that of the answer.
    request: Option<Pin<Box<Sleep>>>,
    answer: Option<Pin<Box<Sleep>>>,
}

/// Waits a time that begins with the first look.
fn wait(timer: &mut Option<Pin<Box<Sleep>>>, span: Duration, cx: &mut Context<'_>) -> Poll<()> {
    timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(span))).as_mut().poll(cx)
}

impl LinkStream {
    fn poll_whole(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.net.is_cut() {
            ready!(wait(&mut self.cut, LOOK, cx));
            self.cut = None;
        }
        Poll::Ready(())
    }

    fn poll_request(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.poll_whole(cx));
        wait(&mut self.request, self.net.delay, cx)
    }
}

impl AsyncRead for LinkStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, to: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.poll_whole(cx));
        ready!(this.stream.poll_read_ready(cx))?;
        if this.call.received == 0 {
            ready!(wait(&mut this.answer, this.net.delay, cx));
        }
        let before = to.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, to);
        this.call.read(&to.filled()[before..]);
        polled
    }
}

impl AsyncWrite for LinkStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        ready!(this.poll_request(cx));
        let written = ready!(Pin::new(&mut this.stream).poll_write(cx, bytes))?;
        this.call.wrote(&bytes[..written]);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

impl Stream for LinkStream {
    type ReadHalf = AnyReadHalf;
    type WriteHalf = AnyWriteHalf;

    /// Parted connections are the plain ones: the coordination client parts none.
    fn split(self) -> (AnyReadHalf, AnyWriteHalf) {
        let (reading, writing) = self.stream.into_split();
        (AnyReadHalf::Tcp(reading), AnyWriteHalf::Tcp(writing))
    }

    fn set_nodelay(&self) {
        let _ = self.stream.set_nodelay(true);
    }

    fn reset(self) {
        let _ = self.stream.set_zero_linger();
    }
}

/// The seam asks for a listener; hollow nodes open none.
pub enum LinkListener {}

impl Listener for LinkListener {
    type Stream = LinkStream;

    fn poll_accept(&self, _cx: &mut Context<'_>) -> Poll<io::Result<(LinkStream, SocketAddr)>> {
        match *self {}
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        match *self {}
    }
}
