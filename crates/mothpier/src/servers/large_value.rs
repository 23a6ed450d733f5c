//! Streams values that are not buffered whole to their clients.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use mothpier_net::{Net, ReadHalf};
use redis_protocol::resp2::types::BytesFrame;

use super::answer_form::{ReportStart, is_expected_frame, is_status};
use super::command::ExpectedReply;
use super::pipeline::SharedState;
use super::reader::READ_SIZE;
use crate::memory::{NodeMemory, Reservation};
use crate::resp;
use crate::streamed_value::{NotSent, ValueSender};

/// A streamed value is aborted if nothing more of it arrives for this long while its client would accept
/// more.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How often a value that its client does not take yet is checked for blocking another client.
const BLOCKED_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Where the bytes of a streamed value go.
enum Destination {
    /// To the client as it accepts them.
    Client(ValueSender),
    /// Into a buffer, because other commands wait behind the value and its client reads slowly.
    Buffer(ValueSender, BytesMut, Reservation),
    /// Nowhere: the client is gone.
    Discarded,
}

/// A streamed value while it is being received.
pub(super) struct ValueStream<'a, N: Net, R: ReadHalf> {
    pub(super) net: &'a N,
    pub(super) shared: &'a SharedState,
    pub(super) memory: &'a NodeMemory,
    pub(super) read_half: &'a R,
    pub(super) buffer: &'a mut BytesMut,
    /// The reply that is expected for the command that the value answers.
    pub(super) expected_reply: ExpectedReply,
    /// The servers are nodes of the shared tier.
    pub(super) tier: bool,
}

impl<N: Net, R: ReadHalf> ValueStream<'_, N, R> {
    /// Streams a value to its client and returns the answer's frame with an empty value in its place, or
    /// `None` if the connection must be closed.
    ///
    /// If the client has disconnected, the value is read to its end only if other commands wait behind it. If
    /// the client reads slowly while other commands wait behind the value, the rest is buffered as far as
    /// memory permits. That avoids a deadlock: a client's answers are sent in the order of its commands, so
    /// the answer that the client waits for may come behind the very value that it is not reading yet. If there
    /// is no memory either, and another client can be sent nothing until a command behind the value is answered,
    /// the value is given up, unless it has been written in part.
    pub(super) async fn run(mut self, header: resp::ValueHeader, client: ValueSender) -> Option<BytesFrame> {
        self.shared.pipeline.borrow_mut().streaming = true;
        self.buffer.advance(header.head);
        let part_size = client.part_size;
        let (mut remaining, mut destination) = (header.length, Destination::Client(client));
        while remaining > 0 {
            if self.buffer.is_empty() {
                self.read_more(part_size).await?;
            }
            let part = self.buffer.split_to(remaining.min(self.buffer.len()).min(part_size)).freeze();
            remaining -= part.len();
            destination = self.forward(destination, part, remaining).await;
            if matches!(destination, Destination::Discarded) && !self.shared.has_other_commands() {
                return None;
            }
        }
        let mut frames = self.read_end(header.trailing_frames).await?;
        self.finish(destination);
        while frames.len() <= header.trailing_frames {
            frames.push(self.read_frame().await?);
        }
        self.shared.pipeline.borrow_mut().streaming = false;
        let frame = if header.trailing_frames == 0 { frames.remove(0) } else { BytesFrame::Array(frames) };
        is_expected_frame(&frame, self.expected_reply, self.tier).then_some(frame)
    }

    /// Ends a value whose end has been seen. The connection can go on: a task sends a buffered rest as the
    /// client accepts it.
    fn finish(&self, destination: Destination) {
        match destination {
            Destination::Client(client) => client.finish(),
            Destination::Buffer(client, rest, reservation) => {
                let rest = reservation.attach_to(rest.freeze());
                self.net.spawn(async move {
                    if client.send_all(rest).await.is_ok() {
                        client.finish();
                    }
                });
            }
            Destination::Discarded => {}
        }
    }

    /// Passes on a part of the value, behind which `remaining` bytes follow.
    async fn forward(&self, destination: Destination, part: Bytes, remaining: usize) -> Destination {
        let client = match destination {
            Destination::Client(client) => client,
            Destination::Buffer(client, mut rest, reservation) => {
                rest.extend_from_slice(&part);
                return Destination::Buffer(client, rest, reservation);
            }
            Destination::Discarded => return destination,
        };
        let mut part = match client.try_send(part) {
            Ok(()) => return Destination::Client(client),
            Err(NotSent::ClientGone) => return Destination::Discarded,
            Err(NotSent::Full(part)) => part,
        };
        loop {
            if let Some(reservation) = self.reserve_rest(part.len() + remaining) {
                // The whole size at once: parts of their own would take more than their bytes.
                let mut rest = BytesMut::with_capacity(part.len() + remaining);
                rest.extend_from_slice(&part);
                return Destination::Buffer(client, rest, reservation);
            }
            if self.shared.blocks_a_client() && client.abandon() {
                return Destination::Discarded;
            }
            if self.net.timeout(BLOCKED_CHECK_INTERVAL, client.has_room()).await.is_none() {
                continue;
            }
            part = match client.try_send(part) {
                Ok(()) => return Destination::Client(client),
                Err(NotSent::ClientGone) => return Destination::Discarded,
                Err(NotSent::Full(part)) => part,
            };
        }
    }

    /// Reserves memory for the rest of the value if other commands wait behind it.
    fn reserve_rest(&self, length: usize) -> Option<Reservation> {
        if !self.shared.has_other_commands() {
            return None;
        }
        match self.shared.blocks_a_client() {
            true => self.memory.reserve_urgent_answer(length),
            false => self.memory.reserve_answer(length),
        }
    }

    /// Reads the end of the value and the frame behind it, the status, if the answer has one: what stands there must
    /// be the rest of its own answer, and neither its load report nor the next answer. A fault further behind says
    /// nothing about the value. Returns the frames with an empty value.
    async fn read_end(&mut self, trailing_frames: usize) -> Option<Vec<BytesFrame>> {
        while self.buffer.len() < 2 {
            self.read_more(READ_SIZE).await?;
        }
        if self.buffer.split_to(2) != b"\r\n"[..] {
            return None;
        }
        let mut frames = vec![BytesFrame::BulkString(Bytes::new())];
        if trailing_frames > 0 {
            let status = self.read_frame().await?;
            if !is_status(&status, self.expected_reply) {
                return None;
            }
            if status == BytesFrame::Null {
                self.check_report_start().await?;
            }
            frames.push(status);
        }
        Some(frames)
    }

    /// Waits for the beginning of the load report behind a status that is null. A null may as well be the load report
    /// or the value of the next answer: what stands behind it tells. Returns `None` if it is none.
    async fn check_report_start(&mut self) -> Option<()> {
        loop {
            match ReportStart::of(self.buffer) {
                ReportStart::Report => return Some(()),
                ReportStart::Other => return None,
                ReportStart::Incomplete => self.read_more(READ_SIZE).await?,
            }
        }
    }

    /// Reads a frame that follows the value.
    async fn read_frame(&mut self) -> Option<BytesFrame> {
        loop {
            match resp::take_trailing_frame(self.buffer) {
                Ok(Some(frame)) => return Some(frame),
                Ok(None) => self.read_more(READ_SIZE).await?,
                Err(_) => return None,
            }
        }
    }

    /// Reads more bytes into the buffer, which grows by `size` at most.
    async fn read_more(&mut self, size: usize) -> Option<()> {
        loop {
            let read = async {
                self.read_half.readable().await?;
                if self.buffer.is_empty() {
                    *self.buffer = BytesMut::with_capacity(size);
                } else {
                    self.buffer.reserve(size);
                }
                self.read_half.try_read_buf(self.buffer)
            };
            match self.net.timeout(STALL_TIMEOUT, read).await? {
                Ok(n) if n > 0 => return Some(()),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                _ => return None,
            }
        }
    }
}
