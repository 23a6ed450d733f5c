//! A stream that asks before the first byte of a request is written: what is handed to an HTTP client is written by another
//! task, and by then the request may be over.

use std::cell::RefCell;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What is asked before the next write.
#[derive(Default)]
enum State {
    /// Nothing: a request is under way, or none.
    #[default]
    Open,
    /// Whether it may be written.
    Asks(Box<dyn Fn() -> bool>),
    /// It was not to be written: the connection ends.
    Refused,
}

/// The gate of one connection.
#[derive(Clone, Default)]
pub struct WriteGate(Rc<RefCell<State>>);

impl WriteGate {
    /// Before the first byte of the next request is written it is asked whether it may be.
    pub fn ask(&self, may_be_written: impl Fn() -> bool + 'static) {
        *self.0.borrow_mut() = State::Asks(Box::new(may_be_written));
    }

    /// Whether the last request was kept from being written.
    pub fn has_refused(&self) -> bool {
        matches!(*self.0.borrow(), State::Refused)
    }

    fn check(&self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        let refused = match &*state {
            State::Open => false,
            State::Asks(may_be_written) => !may_be_written(),
            State::Refused => true,
        };
        if !refused {
            return Ok(());
        }
        *state = State::Refused;
        Err(ErrorKind::ConnectionAborted.into())
    }

    /// Takes note of how a write went: once the socket has taken a byte nothing is asked any more.
    fn wrote(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(1..))) {
            *self.0.borrow_mut() = State::Open;
        }
    }
}

/// A stream behind a gate.
pub struct GatedStream<S> {
    /// The stream.
    pub stream: S,
    /// Its gate.
    pub gate: WriteGate,
}

impl<S: AsyncRead + Unpin> AsyncRead for GatedStream<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, to: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(cx, to)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GatedStream<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.gate.check()?;
        let written = Pin::new(&mut this.stream).poll_write(cx, from);
        this.gate.wrote(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        from: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.gate.check()?;
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, from);
        this.gate.wrote(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
