//! Streams values that are too large to be buffered to their clients.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use mothpier_net::{Net, ReadHalf};
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{Semaphore, mpsc};

use super::pipeline::SharedState;
use crate::resp;

/// A streamed value is aborted if nothing more of it arrives for this long while its client would accept
/// more.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes read at once of a streamed value.
const READ_SIZE: usize = 16 * 1024;

/// Streams a value to its client and returns the answer's frame with an empty value in its place, or `None`
/// if the connection must be closed.
///
/// If the client has disconnected, the value is read to its end only if other commands wait behind it. If
/// the client reads slowly while other commands wait behind the value, the rest is buffered as far as
/// memory permits. That avoids a deadlock: a client's answers are sent in the order of its commands, so the
/// answer that the client waits for may come behind the very value that it is not reading yet.
pub(super) async fn stream_value<R: ReadHalf>(
    net: &impl Net,
    (shared, memory): (&SharedState, &Arc<Semaphore>),
    read_half: &R,
    buffer: &mut BytesMut,
    header: resp::LargeValueHeader,
    client: mpsc::Sender<Bytes>,
) -> Option<BytesFrame> {
    shared.pipeline.borrow_mut().streaming = true;
    let read_more = async |buffer: &mut BytesMut, timeout| loop {
        let read = async {
            read_half.readable().await?;
            buffer.reserve(READ_SIZE);
            read_half.try_read_buf(buffer)
        };
        match net.timeout(timeout, read).await? {
            Ok(n) if n > 0 => return Some(()),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            _ => return None,
        }
    };
    buffer.advance(header.head);
    let (mut remaining, mut client_is_reading, mut buffered) = (header.length, true, None);
    while remaining > 0 {
        if buffer.is_empty() {
            read_more(buffer, STALL_TIMEOUT).await?;
        }
        let chunk = buffer.split_to(remaining.min(buffer.len())).freeze();
        remaining -= chunk.len();
        if let Some((_, chunks)) = &mut buffered {
            let chunks: &mut Vec<Bytes> = chunks;
            chunks.push(chunk);
        } else if client_is_reading {
            client_is_reading = match client.try_send(chunk) {
                Ok(()) => true,
                Err(TrySendError::Closed(_)) => false,
                Err(TrySendError::Full(chunk)) => {
                    let kb = (remaining + chunk.len()).div_ceil(1024) as u32;
                    let reservation =
                        shared.has_other_commands().then(|| memory.clone().try_acquire_many_owned(kb).ok());
                    match reservation.flatten() {
                        Some(permit) => {
                            buffered = Some((permit, vec![chunk]));
                            true
                        }
                        None => client.send(chunk).await.is_ok(),
                    }
                }
            };
        }
        if !client_is_reading && !shared.has_other_commands() {
            return None;
        }
    }
    // The connection can go on; a task sends the buffered rest as the client accepts it.
    if let Some((permit, chunks)) = buffered {
        net.spawn(async move {
            let _permit = permit;
            for chunk in chunks {
                if client.send(chunk).await.is_err() {
                    return;
                }
            }
        });
    } else {
        drop(client);
    }
    while buffer.len() < 2 {
        read_more(buffer, STALL_TIMEOUT).await?;
    }
    if buffer.split_to(2) != b"\r\n"[..] {
        return None;
    }
    let mut frames = vec![BytesFrame::BulkString(Bytes::new())];
    while frames.len() <= header.trailing_frames {
        match resp::take_frame(buffer) {
            Ok(Some(frame)) => frames.push(frame),
            Ok(None) => read_more(buffer, STALL_TIMEOUT).await?,
            Err(_) => return None,
        }
    }
    shared.pipeline.borrow_mut().streaming = false;
    Some(if header.trailing_frames == 0 { frames.remove(0) } else { BytesFrame::Array(frames) })
}
