//! Receives the body of an origin's response: buffered whole, or streamed to its client.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use mothpier_net::Net;

use super::Progress;
use crate::http::{BodyEnd, Surplus};
use crate::memory::{MAX_UNRESERVED, NodeMemory, Reservation};
use crate::messages::NodeInput;
use crate::resp::{MAX_STREAMED_VALUE, MAX_VALUE};
use crate::streamed_value::StreamedValue;

/// Time limit for each part of a buffered body, and for the whole of a body that carries no value.
const BODY_TIMEOUT: Duration = Duration::from_millis(250);
/// A streamed body is aborted if nothing more of it arrives for this long while its client would accept more.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A body could not be received completely, or is too long.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Incomplete;

impl From<Surplus> for Incomplete {
    fn from(_: Surplus) -> Self {
        Incomplete
    }
}

/// How a body is received.
enum Plan {
    /// Buffered, with memory for what is beyond [`MAX_UNRESERVED`] if that is known.
    Buffer(Option<Reservation>),
    /// Streamed; its length in bytes.
    Stream(usize),
}

impl Plan {
    fn of(length: Option<u64>, memory: &NodeMemory) -> Self {
        let Some(length) = length.and_then(|length| usize::try_from(length).ok()) else {
            return Plan::Buffer(None);
        };
        if length <= MAX_UNRESERVED || length > MAX_STREAMED_VALUE {
            return Plan::Buffer(None);
        }
        let fits = length <= MAX_VALUE;
        match fits.then(|| memory.reserve_answer(length - MAX_UNRESERVED)).flatten() {
            Some(reservation) => Plan::Buffer(Some(reservation)),
            None => Plan::Stream(length),
        }
    }
}

/// Receives the value of a read or the receipt of a write. It is empty if it was streamed to its client.
pub(super) async fn receive_value(
    net: &impl Net,
    body: Incoming,
    end: &BodyEnd,
    memory: &NodeMemory,
    progress: &Progress,
) -> Result<Bytes, Incomplete> {
    match Plan::of(body.size_hint().exact(), memory) {
        Plan::Stream(length) => {
            stream(net, body, length, end, memory, progress).await?;
            Ok(Bytes::new())
        }
        Plan::Buffer(reservation) => {
            let value = buffer(net, body, memory, reservation).await?;
            end.check(net).await?;
            Ok(value)
        }
    }
}

/// Reads the body of a response that carries no value to its end.
pub(super) async fn discard(net: &impl Net, mut body: Incoming) -> Result<(), Incomplete> {
    let read_to_end = async {
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Incomplete)?;
            length += frame.data_ref().map_or(0, Bytes::len);
            if length > MAX_VALUE {
                return Err(Incomplete);
            }
        }
        Ok(())
    };
    net.timeout(BODY_TIMEOUT, read_to_end).await.unwrap_or(Err(Incomplete))
}

/// Buffers a body. A length that was not announced is reserved for once the body exceeds [`MAX_UNRESERVED`].
async fn buffer(
    net: &impl Net,
    mut body: Incoming,
    memory: &NodeMemory,
    mut reservation: Option<Reservation>,
) -> Result<Bytes, Incomplete> {
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let most = if reservation.is_some() { MAX_VALUE } else { MAX_UNRESERVED };
    let mut bytes = BytesMut::with_capacity(announced.min(most));
    while let Some(frame) = net.timeout(BODY_TIMEOUT, body.frame()).await.ok_or(Incomplete)? {
        let frame = frame.map_err(|_| Incomplete)?;
        let Some(data) = frame.data_ref() else { continue };
        let length = bytes.len() + data.len();
        if length > MAX_VALUE {
            return Err(Incomplete);
        }
        if length > MAX_UNRESERVED && reservation.is_none() {
            reservation = Some(memory.reserve_answer(MAX_VALUE - MAX_UNRESERVED).ok_or(Incomplete)?);
            bytes.reserve(MAX_VALUE - bytes.len());
        }
        bytes.extend_from_slice(data);
    }
    let bytes = bytes.freeze();
    Ok(match reservation {
        Some(reservation) => reservation.attach_to(bytes),
        None => bytes,
    })
}

/// Streams a body to its client.
async fn stream(
    net: &impl Net,
    mut body: Incoming,
    length: usize,
    end: &BodyEnd,
    memory: &NodeMemory,
    progress: &Progress,
) -> Result<(), Incomplete> {
    let (client, value) = StreamedValue::of(length, memory);
    let started = NodeInput::OriginAnswerStarted { attempt: progress.attempt, value };
    progress.events.send(started).await.map_err(|_| Incomplete)?;
    let mut remaining = length;
    while remaining > 0 {
        let Some(Some(Ok(frame))) = net.timeout(STALL_TIMEOUT, body.frame()).await else {
            return Err(Incomplete);
        };
        let Ok(data) = frame.into_data() else { continue };
        remaining = remaining.saturating_sub(data.len());
        client.send_all(data).await.map_err(|_| Incomplete)?;
    }
    // The end of the body must be read before the connection can be reused.
    if !matches!(net.timeout(STALL_TIMEOUT, body.frame()).await, Some(None)) {
        return Err(Incomplete);
    }
    end.check(net).await?;
    client.finish();
    Ok(())
}
