//! Passes a value that is too large to be held on to its client as it comes.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use mothpier_net::{Net, ReadHalf};
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{Semaphore, mpsc};

use super::line::Shared;
use crate::resp;

/// A value that is passed on has stopped when nothing more of it has come for so long while its client would take more.
const STALLED: Duration = Duration::from_secs(2);
/// Read at once of a value that is passed on.
const READ_PASSED: usize = 16 * 1024;

/// Passes a value on as it comes, and gives the frame that it would have been with nothing for the value; `None` where
/// the connection has to end. What nobody takes any more is read to its end only if others wait behind it. What is taken
/// slowly is held while others wait behind it, as far as there is memory: one client's answers come in the order of its
/// commands, so that what it waits for may stand behind the very value that it does not take yet.
pub(super) async fn pass_on<R: ReadHalf>(
    net: &impl Net,
    (shared, memory): (&Shared, &Arc<Semaphore>),
    reading: &R,
    buffer: &mut BytesMut,
    begun: resp::Begun,
    put: mpsc::Sender<Bytes>,
) -> Option<BytesFrame> {
    shared.line.borrow_mut().passing = true;
    let more = async |buffer: &mut BytesMut, within| loop {
        let read = async {
            reading.readable().await?;
            buffer.reserve(READ_PASSED);
            reading.try_read_buf(buffer)
        };
        match net.timeout(within, read).await? {
            Ok(n) if n > 0 => return Some(()),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            _ => return None,
        }
    };
    buffer.advance(begun.head);
    let (mut left, mut taken, mut held) = (begun.length, true, None);
    while left > 0 {
        if buffer.is_empty() {
            more(buffer, STALLED).await?;
        }
        let part = buffer.split_to(left.min(buffer.len())).freeze();
        left -= part.len();
        if let Some((_, parts)) = &mut held {
            let parts: &mut Vec<Bytes> = parts;
            parts.push(part);
        } else if taken {
            taken = match put.try_send(part) {
                Ok(()) => true,
                Err(TrySendError::Closed(_)) => false,
                Err(TrySendError::Full(part)) => {
                    let kb = (left + part.len()).div_ceil(1024) as u32;
                    let room = shared.carries_more().then(|| memory.clone().try_acquire_many_owned(kb).ok());
                    match room.flatten() {
                        Some(permit) => {
                            held = Some((permit, vec![part]));
                            true
                        }
                        None => put.send(part).await.is_ok(),
                    }
                }
            };
        }
        if !taken && !shared.carries_more() {
            return None;
        }
    }
    // The connection goes on; what is held is its client's, as soon as that one takes it.
    if let Some((permit, parts)) = held {
        net.spawn(async move {
            let _permit = permit;
            for part in parts {
                if put.send(part).await.is_err() {
                    return;
                }
            }
        });
    } else {
        drop(put);
    }
    while buffer.len() < 2 {
        more(buffer, STALLED).await?;
    }
    if buffer.split_to(2) != b"\r\n"[..] {
        return None;
    }
    let mut frames = vec![BytesFrame::BulkString(Bytes::new())];
    while frames.len() <= begun.behind {
        match resp::take_frame(buffer) {
            Ok(Some(frame)) => frames.push(frame),
            Ok(None) => more(buffer, STALLED).await?,
            Err(_) => return None,
        }
    }
    shared.line.borrow_mut().passing = false;
    Some(if begun.behind == 0 { frames.remove(0) } else { BytesFrame::Array(frames) })
}
