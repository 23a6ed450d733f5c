//! One HTTP/1.1 connection, for the origin and for discovery. Nothing here sends a request a second time.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use mothpier_net::{Net, Stream, Task};

use crate::write_gate::{GatedStream, WriteGate};

/// Read ahead of one connection; a head without end goes no further.
const MAX_HEAD: usize = 64 * 1024;

/// An open connection; dropping it closes the socket, also under a request that is out.
pub struct Connection<N: Net> {
    pub sender: SendRequest<Full<Bytes>>,
    /// Asked before the first byte of a request is written.
    pub gate: WriteGate,
    driver: N::Task,
}

impl<N: Net> Drop for Connection<N> {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens a connection within a time.
pub async fn connect<N: Net>(
    net: &N,
    address: SocketAddr,
    within: Duration,
) -> std::io::Result<Connection<N>> {
    let stream = net.timeout(within, net.connect(address)).await.ok_or(ErrorKind::TimedOut)??;
    stream.set_nodelay();
    let gate = WriteGate::default();
    let stream = TokioIo::new(GatedStream { stream, gate: gate.clone() });
    let handshake = http1::Builder::new().max_buf_size(MAX_HEAD).handshake(stream).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    // Driving the connection also while it is idle is what notices that the peer has closed it.
    let driver = net.spawn(async move { drop(connection.await) });
    Ok(Connection { sender, gate, driver })
}

/// Reads a body of at most `most` bytes.
pub async fn body(mut body: Incoming, most: usize) -> Result<Bytes, String> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| e.to_string())?;
        let Some(data) = frame.data_ref() else { continue };
        if whole.len() + data.len() > most {
            return Err(format!("a body of over {most} bytes"));
        }
        whole.extend_from_slice(data);
    }
    Ok(whole.freeze())
}
