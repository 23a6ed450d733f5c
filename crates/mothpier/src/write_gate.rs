//! A stream that runs a check before the first byte of a request is written. A request that is handed to an
//! HTTP client is written by another task, and it may have been cancelled by then.

use std::cell::RefCell;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What is checked before the next write.
#[derive(Default)]
enum State {
    /// Nothing: a request is being written, or there is none.
    #[default]
    Open,
    /// Whether the next request may be written.
    Check(Box<dyn Fn() -> bool>),
    /// The request must not be written; the connection ends.
    Refused,
}

/// The write gate of one connection.
#[derive(Clone, Default)]
pub struct WriteGate(Rc<RefCell<State>>);

impl WriteGate {
    /// Sets the check to run before the first byte of the next request is written.
    pub fn check_before_write(&self, may_write: impl Fn() -> bool + 'static) {
        *self.0.borrow_mut() = State::Check(Box::new(may_write));
    }

    /// Returns whether the last request was kept from being written.
    pub fn has_refused(&self) -> bool {
        matches!(*self.0.borrow(), State::Refused)
    }

    fn check(&self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        let refused = match &*state {
            State::Open => false,
            State::Check(may_write) => !may_write(),
            State::Refused => true,
        };
        if !refused {
            return Ok(());
        }
        *state = State::Refused;
        Err(ErrorKind::ConnectionAborted.into())
    }

    /// Opens the gate once the socket has accepted a byte of the request.
    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(1..))) {
            *self.0.borrow_mut() = State::Open;
        }
    }
}

/// A stream whose writes pass a gate.
pub struct GatedStream<S> {
    pub stream: S,
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
        this.gate.record_write(&written);
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
        this.gate.record_write(&written);
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
