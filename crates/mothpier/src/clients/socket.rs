//! Reads from a client's socket, detects that the client has closed it, and closes it without a reset.

use std::cell::Cell;
use std::io::ErrorKind;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use mothpier_net::{Net, ReadHalf};
use tokio::io::{AsyncWrite, AsyncWriteExt};

use super::session::SLOW_READER_TIMEOUT;
use crate::memory::{MAX_UNRESERVED_INPUT, NodeMemory, Reservation};
use crate::segments::{SegmentWriter, Segments};
use crate::streamed_value::StreamedValue;
use crate::{Mutation, mutation_active};

/// Bytes read from a connection at once.
const READ_SIZE: usize = 4096;
/// Maximum number of bytes read ahead from a client while a reply is written to it.
const MAX_READ_AHEAD: usize = 64 * 1024;
/// How often a connection with unread input is checked for a close by the client: no new attempt may start
/// later than 0.1 s after that close.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long to wait for the client to close its side after this side has been shut down.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Writes a value to the client as its parts arrive. The last part is kept back until the end of the value has
/// been seen: a client that has all bytes of a value takes it for whole. If the rest does not arrive, the end is
/// not where it should be, or the client stops reading, this returns an error and the connection must be closed,
/// so that the client sees that the value is incomplete.
pub(super) async fn write_streamed_value(
    net: &impl Net,
    write_half: &mut (impl AsyncWrite + Unpin),
    value: &mut StreamedValue,
) -> std::io::Result<()> {
    let mut write = async |mut segments: Segments| {
        let written = net.timeout(SLOW_READER_TIMEOUT, write_half.write_all_buf(&mut segments)).await;
        written.unwrap_or_else(|| Err(ErrorKind::TimedOut.into()))
    };
    write(Bytes::from(format!("${}\r\n", value.length)).into()).await?;
    let mut remaining = value.length;
    let mut last = SegmentWriter::default();
    while let Some(part) = value.next_part().await {
        remaining = remaining.saturating_sub(part.len());
        if remaining == 0 {
            last.append(&part);
        } else {
            write(part.into()).await?;
        }
    }
    let is_whole = remaining == 0 && value.is_complete();
    if !is_whole && !mutation_active(Mutation::CutIsWhole) {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    last.copy(b"\r\n");
    write(last.finish()).await
}

/// Waits for input and returns the number of bytes read; 0 if the client has closed the connection. The buffer
/// grows only once there is input. Cancel-safe.
pub(super) async fn receive(read_half: &impl ReadHalf, buffer: &mut BytesMut) -> usize {
    loop {
        if read_half.readable().await.is_err() {
            return 0;
        }
        let spare = buffer.capacity() - buffer.len();
        // The buffer of a long value has room for all of it, and must not grow before its end.
        if spare == 0 || buffer.capacity() <= 2 * MAX_UNRESERVED_INPUT {
            buffer.reserve(READ_SIZE);
        }
        match read_half.try_read_buf(buffer) {
            Ok(read) => return read,
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return 0,
        }
    }
}

/// Input that is read ahead while a reply is written.
pub(super) struct ReadAhead<'a> {
    pub(super) buffer: &'a mut BytesMut,
    /// Called after each read.
    pub(super) on_input: &'a mut dyn FnMut(),
    pub(super) memory: &'a NodeMemory,
    /// Memory for what is read beyond [`MAX_UNRESERVED_INPUT`].
    pub(super) reservation: Cell<Option<Reservation>>,
}

impl ReadAhead<'_> {
    /// Reserves memory to read on with. Returns whether more may be read.
    fn reserve_room(&self) -> bool {
        let length = self.buffer.len();
        if length < MAX_UNRESERVED_INPUT {
            return true;
        }
        let reservation = self.reservation.take().or_else(|| self.memory.reserve_input(MAX_READ_AHEAD));
        let is_reserved = reservation.is_some();
        self.reservation.set(reservation);
        is_reserved && length < MAX_READ_AHEAD
    }
}

/// How to treat input that arrives while no commands are taken.
pub(super) enum UnreadInput<'a> {
    /// It is read ahead, up to a limit.
    Buffered(ReadAhead<'a>),
    /// It is read and discarded, because it follows an error or the last command.
    Discarded,
    /// It is left unread: the client sends it again on another connection.
    LeftUnread,
}

/// Completes when the client has closed the connection, whatever the connection is waiting for. Cancel-safe.
pub(super) async fn client_gone(
    net: &impl Net,
    read_half: &impl ReadHalf,
    mut unread_input: UnreadInput<'_>,
) {
    if mutation_active(Mutation::SentAfterLeft) {
        return std::future::pending().await;
    }
    let mut discarded = BytesMut::new();
    loop {
        let still_open = match &mut unread_input {
            UnreadInput::Buffered(ahead) if ahead.reserve_room() => {
                let received = receive(read_half, ahead.buffer).await;
                (ahead.on_input)();
                received > 0
            }
            UnreadInput::Discarded => {
                discarded.clear();
                // A client that sends as fast as it can must not keep other tasks waiting.
                net.yield_now().await;
                receive(read_half, &mut discarded).await > 0
            }
            // A close behind unread input can be polled, but not awaited.
            UnreadInput::Buffered(_) | UnreadInput::LeftUnread => {
                net.sleep(CLOSE_CHECK_INTERVAL).await;
                !read_half.closed()
            }
        };
        if !still_open {
            return;
        }
    }
}

/// Closes a connection that may have unread input. Closing it at once would send a reset, which can destroy
/// replies that the client has not read yet; so the write side is shut down first, and the client gets a
/// short time to close its side.
pub(super) async fn close_gracefully(
    net: &impl Net,
    read_half: &impl ReadHalf,
    write_half: &mut (impl AsyncWrite + Unpin),
    unread_input: UnreadInput<'_>,
) {
    if write_half.shutdown().await.is_ok() {
        net.timeout(CLOSE_TIMEOUT, client_gone(net, read_half, unread_input)).await;
    }
}

/// Returns whether there is no unread input. A connection is closed only then, otherwise a request could be
/// lost.
pub(super) async fn no_input_pending(
    net: &impl Net,
    read_half: &impl ReadHalf,
    buffer: &mut BytesMut,
) -> bool {
    if mutation_active(Mutation::CloseOverUnread) {
        return true;
    }
    // Yield to the runtime once, so that it polls the sockets.
    net.yield_now().await;
    buffer.reserve(READ_SIZE);
    !matches!(read_half.try_read_buf(buffer), Ok(read) if read > 0)
}
