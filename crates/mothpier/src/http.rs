//! HTTP/1.1 client connections, for the origin and for discovery. Requests are never sent a second time here.

use std::cell::Cell;
use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use mothpier_net::{Net, Stream, Task};

use crate::write_gate::{GatedStream, WriteGate};

/// Maximum read buffer of a connection to discovery, in bytes.
pub const LIST_READ_BUFFER: usize = 64 * 1024;

/// An open connection. Dropping it closes the socket, even during a request.
pub struct Connection<N: Net> {
    pub sender: SendRequest<Full<Bytes>>,
    /// Checked before the first byte of a request is written.
    pub gate: WriteGate,
    /// Tells whether anything stands behind the end of a body.
    pub body_end: BodyEnd,
    driver: N::Task,
}

/// Bytes follow the end of a body, so the length that was told for it was wrong.
#[derive(Debug, PartialEq, Eq)]
pub struct Surplus;

/// Checks the place at which a body ends.
#[derive(Clone, Debug, Default)]
pub struct BodyEnd {
    has_surplus: Rc<Cell<bool>>,
}

impl BodyEnd {
    /// Checks that nothing that has arrived stands behind the body that was just read.
    ///
    /// # Errors
    ///
    /// Fails if there are such bytes. The connection has ended then.
    pub async fn check(&self, net: &impl Net) -> Result<(), Surplus> {
        // The task that drives the connection reads on behind a body.
        net.yield_now().await;
        if self.has_surplus.get() { Err(Surplus) } else { Ok(()) }
    }

    /// Records how the connection ended.
    fn record(&self, ended: Result<(), hyper::Error>) {
        // Other than all errors that this excludes, one for bytes that belong to no response has no accessor.
        let is_surplus = ended.is_err_and(|e| {
            e.source().is_none()
                && !e.is_canceled()
                && !e.is_closed()
                && !e.is_incomplete_message()
                && !e.is_parse()
                && !e.is_timeout()
                && !e.is_body_write_aborted()
        });
        self.has_surplus.set(is_surplus);
    }
}

impl<N: Net> Drop for Connection<N> {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens a connection within a time limit. `read_buffer` is the maximum size of its buffer in bytes, which also
/// bounds the head of a response.
pub async fn connect<N: Net>(
    net: &N,
    address: SocketAddr,
    time_limit: Duration,
    read_buffer: usize,
) -> std::io::Result<Connection<N>> {
    let stream = net.timeout(time_limit, net.connect(address)).await.ok_or(ErrorKind::TimedOut)??;
    stream.set_nodelay();
    let gate = WriteGate::default();
    let stream = TokioIo::new(GatedStream { stream, gate: gate.clone() });
    let handshake = http1::Builder::new().max_buf_size(read_buffer).handshake(stream).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    // The connection is driven while it is idle as well, which detects that the peer has closed it.
    let body_end = BodyEnd::default();
    let recorder = body_end.clone();
    let driver = net.spawn(async move { recorder.record(connection.await) });
    Ok(Connection { sender, gate, body_end, driver })
}

/// Reads a body of at most `max_bytes` bytes.
pub async fn read_body(mut body: Incoming, max_bytes: usize) -> Result<Bytes, String> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| e.to_string())?;
        let Some(data) = frame.data_ref() else { continue };
        if bytes.len() + data.len() > max_bytes {
            return Err(format!("body exceeds {max_bytes} bytes"));
        }
        bytes.extend_from_slice(data);
    }
    Ok(bytes.freeze())
}
