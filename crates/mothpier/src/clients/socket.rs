//! Reading from a client's socket, seeing that it has gone, and parting from it without a reset.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::BytesMut;
use mothpier_net::{Net, ReadHalf};
use tokio::io::{AsyncWrite, AsyncWriteExt};

use super::session::SLOW_READER;
use crate::messages::StreamedValue;
use crate::{Mutation, mutation_active};

/// Read from a connection at once.
const READ: usize = 4096;
/// Read ahead from a client while an answer is written to it.
const AHEAD: usize = 64 * 1024;
/// How often it is looked whether a client has gone that sent more than is read: nothing may be begun for it 0.1 s later.
const LOOK: Duration = Duration::from_millis(20);
/// A client has so long to close its side, once this one has.
const PARTING: Duration = Duration::from_millis(200);

/// Writes a value as its parts come. Where the rest doesn't come, or the client takes none of it, the connection has to end:
/// so the client can tell that it is not whole.
pub(super) async fn pass_on(
    net: &impl Net,
    writing: &mut (impl AsyncWrite + Unpin),
    value: &mut StreamedValue,
) -> std::io::Result<()> {
    let mut write = async |bytes: &[u8]| {
        let whole = net.timeout(SLOW_READER, writing.write_all(bytes)).await;
        whole.unwrap_or_else(|| Err(ErrorKind::TimedOut.into()))
    };
    write(format!("${}\r\n", value.length).as_bytes()).await?;
    let mut left = value.length;
    while let Some(part) = value.parts.recv().await {
        left = left.saturating_sub(part.len());
        write(&part).await?;
    }
    if left > 0 && !mutation_active(Mutation::CutIsWhole) {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    write(b"\r\n").await
}

/// Reads what has come; whether the client is still there. Room is made only once something is there. Safe to drop
/// and call again.
pub(super) async fn read(reading: &impl ReadHalf, buffer: &mut BytesMut) -> bool {
    loop {
        if reading.readable().await.is_err() {
            return false;
        }
        buffer.reserve(READ);
        match reading.try_read_buf(buffer) {
            Ok(read) => return read > 0,
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
}

/// What becomes of what a client sends while its commands are not taken.
pub(super) enum Unread<'a> {
    /// It is read ahead, within a bound, and told of.
    Kept(&'a mut BytesMut, &'a mut dyn FnMut()),
    /// It is read and means nothing: behind an error, or the last word.
    Dropped,
    /// It stays where it is, for the client to ask elsewhere.
    Left,
}

/// Ends when the client has gone away, at whatever this connection is busy with. Safe to drop and call again.
pub(super) async fn gone(net: &impl Net, reading: &impl ReadHalf, mut unread: Unread<'_>) {
    if mutation_active(Mutation::SentAfterLeft) {
        return std::future::pending().await;
    }
    let mut dropped = BytesMut::new();
    loop {
        let here = match &mut unread {
            Unread::Kept(buffer, told) if buffer.len() < AHEAD => {
                let more = read(reading, buffer).await;
                told();
                more
            }
            Unread::Dropped => {
                dropped.clear();
                read(reading, &mut dropped).await
            }
            // An end behind what is unread can be seen, but not waited for.
            Unread::Kept(..) | Unread::Left => {
                net.sleep(LOOK).await;
                !reading.closed()
            }
        };
        if !here {
            return;
        }
    }
}

/// Ends a connection on which something may be unread: closed at once that would be a reset, which can destroy answers
/// that the client has not read yet. It hears the end, and has a moment to close its side.
pub(super) async fn part(
    net: &impl Net,
    reading: &impl ReadHalf,
    writing: &mut (impl AsyncWrite + Unpin),
    unread: Unread<'_>,
) {
    if writing.shutdown().await.is_ok() {
        net.timeout(PARTING, gone(net, reading, unread)).await;
    }
}

/// Whether nothing has come in that is not read yet: a connection is closed only then, or a request would be lost
/// with it.
pub(super) async fn quiet(net: &impl Net, reading: &impl ReadHalf, buffer: &mut BytesMut) -> bool {
    if mutation_active(Mutation::CloseOverUnread) {
        return true;
    }
    // Once round the runtime, which looks at the sockets then.
    net.yield_now().await;
    buffer.reserve(READ);
    !matches!(reading.try_read_buf(buffer), Ok(read) if read > 0)
}
