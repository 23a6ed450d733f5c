//! Reads the answers on a connection to a cache server and delivers them to the node.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use mothpier_net::{Net, ReadHalf};
use redis_protocol::resp2::types::BytesFrame;

use super::answer_form::is_expected_frame;
use super::answer_times::settling_time;
use super::command::ExpectedReply;
use super::connection::Driver;
use super::large_value::ValueStream;
use crate::memory::{MAX_UNRESERVED, Reservation};
use crate::messages::ServerEvent;
use crate::resp::{self, AnswerForm, MAX_VALUE, ValueHeader};
use crate::streamed_value::StreamedValue;

/// More of an answer that has arrived in part must arrive within this time. One whose attempt was given up must be
/// complete within it, since it holds up those behind it. Otherwise the answer counts as invalid, and those behind it
/// get no answer.
const PARTIAL_ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Bytes read from a connection at once.
pub(super) const READ_SIZE: usize = 4096;
/// Space for what follows the value of an answer, in bytes.
const TRAILER_SPACE: usize = 256;

/// Logged for an answer that must have been sent before its command was written.
const PREMATURE_ANSWER: &str = "received an answer sooner than the server can have produced one";

/// The reading side of a connection.
pub(super) struct Reader<'a, N: Net, R: ReadHalf> {
    connection: &'a Driver<N>,
    read_half: &'a R,
    buffer: BytesMut,
    /// Memory for the value of the answer that is being buffered.
    reservation: Option<Reservation>,
    /// When the first bytes of the answer that is incomplete so far arrived.
    partial_since: Option<Instant>,
    /// When the previous answer arrived.
    last_answer_at: Option<Instant>,
}

/// The result of reading more bytes.
enum ReadMore {
    /// There may be more bytes now.
    Continued,
    /// An answer that had arrived in part was not completed in time.
    TimedOut,
    /// The connection has ended.
    Ended,
}

impl<'a, N: Net, R: ReadHalf> Reader<'a, N, R> {
    /// Creates the reader of an established connection.
    pub(super) fn new(connection: &'a Driver<N>, read_half: &'a R) -> Self {
        Reader {
            connection,
            read_half,
            buffer: BytesMut::new(),
            reservation: None,
            partial_since: None,
            last_answer_at: None,
        }
    }

    /// Reads until the connection ends or must be closed.
    pub(super) async fn run(mut self) {
        loop {
            // Data behind the last expected answer belongs to no command and would be taken for the beginning
            // of the next answer: the connection is closed before anything more is written.
            if !self.buffer.is_empty() && self.connection.shared.pipeline.borrow().sent.is_empty() {
                return self.log("received data behind the last expected answer");
            }
            let header = self.large_value_header();
            if let Some(header) = header.filter(|header| !self.reserve_value(header)) {
                if self.stream_value(header).await.is_none() {
                    return;
                }
                self.last_answer_at = Some(self.connection.net.now());
                continue;
            }
            let parsed = resp::take_frame(&mut self.buffer);
            if let Ok(None) = parsed {
                match self.read_more().await {
                    ReadMore::Continued => continue,
                    ReadMore::TimedOut => {}
                    ReadMore::Ended => return,
                }
            }
            self.partial_since = None;
            if self.deliver(parsed).await.is_none() {
                return;
            }
        }
    }

    /// Returns the header of the answer that is beginning, if memory has to be reserved for its value.
    fn large_value_header(&self) -> Option<ValueHeader> {
        if self.reservation.is_some() || !self.connection.shared.expects_value() {
            return None;
        }
        let form = if self.connection.limits.tier { AnswerForm::Value } else { AnswerForm::Array };
        resp::parse_value_header(&self.buffer, form).filter(|header| header.length > MAX_UNRESERVED)
    }

    /// Reserves the memory for a value that is to be buffered, and room for it in the buffer. Returns whether
    /// that was possible; otherwise the value has to be streamed.
    fn reserve_value(&mut self, header: &ValueHeader) -> bool {
        if header.length > MAX_VALUE {
            return false;
        }
        let size = header.head + header.length + TRAILER_SPACE;
        self.reservation = self.connection.limits.memory.reserve_answer(size - MAX_UNRESERVED);
        if self.reservation.is_none() {
            return false;
        }
        // Exactly the size of the answer: growing step by step would double the buffer each time.
        let mut buffer = BytesMut::with_capacity(size.max(self.buffer.len()));
        buffer.extend_from_slice(&self.buffer);
        self.buffer = buffer;
        true
    }

    /// Streams a value that is not buffered whole. Returns `None` if the connection must be closed.
    async fn stream_value(&mut self, header: ValueHeader) -> Option<()> {
        self.partial_since = None;
        let connection = self.connection;
        let shared = &connection.shared;
        let (attempt, written, expected_reply) =
            shared.pipeline.borrow().sent.front().map(|s| (s.attempt, s.written, s.expected_reply))?;
        if !self.can_be_answer_to(written) {
            return self.deliver(Err(resp::Malformed(PREMATURE_ANSWER))).await;
        }
        let memory = &connection.limits.memory;
        let (sender, value) = StreamedValue::of(header.length, memory);
        connection.events.send(connection.input(ServerEvent::AnswerStarted(attempt, value))).await.ok()?;
        let (net, read_half) = (&connection.net, self.read_half);
        let (buffer, tier) = (&mut self.buffer, connection.limits.tier);
        let stream = ValueStream { net, shared, memory, read_half, buffer, expected_reply, tier };
        let frame = stream.run(header, sender).await?;
        let permit = connection.events.reserve().await.ok()?;
        shared.pipeline.borrow_mut().sent.pop_front();
        permit.send(connection.input(ServerEvent::Answer(attempt, frame)));
        Some(())
    }

    /// Reads more bytes into the buffer, which holds no complete answer.
    async fn read_more(&mut self) -> ReadMore {
        if self.buffer.is_empty() {
            (self.buffer, self.partial_since) = (BytesMut::new(), None);
        }
        let net = &self.connection.net;
        let until = self.partial_answer_deadline();
        let read = async {
            self.read_half.readable().await?;
            // Memory has been reserved for the buffer as it is.
            let is_full = self.buffer.len() == self.buffer.capacity();
            if is_full || self.reservation.is_none() {
                self.buffer.reserve(READ_SIZE);
            }
            self.read_half.try_read_buf(&mut self.buffer)
        };
        let read = match until {
            None => Some(read.await),
            Some(until) => net.timeout_at(until, read).await,
        };
        match read {
            // The node's own timeout. If the kernel gives up the connection (ETIMEDOUT), that is an error
            // below.
            None => ReadMore::TimedOut,
            Some(Ok(1..)) => ReadMore::Continued,
            Some(Err(e)) if e.kind() == ErrorKind::WouldBlock => ReadMore::Continued,
            Some(_) => ReadMore::Ended,
        }
    }

    /// Returns by when more must arrive of the answer that has arrived in part, if there is one.
    fn partial_answer_deadline(&mut self) -> Option<Instant> {
        if self.buffer.is_empty() {
            return None;
        }
        let now = self.connection.net.now();
        let partial_since = *self.partial_since.get_or_insert(now);
        let given_up = self.connection.shared.pipeline.borrow().sent.front().is_some_and(|s| s.given_up);
        Some(if given_up { partial_since } else { now } + PARTIAL_ANSWER_TIMEOUT)
    }

    /// Delivers what was read as the answer to the oldest command. Returns `None` if the connection must be
    /// closed.
    async fn deliver(&mut self, parsed: Result<Option<BytesFrame>, resp::Malformed>) -> Option<()> {
        let connection = self.connection;
        let (shared, tier) = (&connection.shared, connection.limits.tier);
        // Reserve a place in the queue before the command leaves the record: otherwise it could be in neither
        // place for a moment, and an attempt that may have run would count as never sent.
        let is_acknowledgement = shared
            .pipeline
            .borrow()
            .sent
            .front()
            .is_some_and(|s| s.expected_reply == ExpectedReply::Acknowledgement);
        let permit = if is_acknowledgement { None } else { connection.events.reserve().await.ok() };
        let sent = shared.pipeline.borrow_mut().sent.pop_front()?;
        let elapsed = connection.net.since(sent.written);
        let too_soon =
            sent.expected_reply != ExpectedReply::Acknowledgement && !self.can_be_answer_to(sent.written);
        self.last_answer_at = Some(connection.net.now());
        let reservation = self.reservation.take();
        if reservation.is_some() {
            // What follows must not keep the buffer of the value.
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
        let frame = parsed
            .ok()
            .flatten()
            .map(|frame| hold_reservation(frame, reservation))
            .filter(|frame| !too_soon && is_expected_frame(frame, sent.expected_reply, tier));
        if sent.expected_reply == ExpectedReply::Acknowledgement {
            // An error here is reported again in the reply to the command itself, which follows.
            if frame.is_none() {
                self.log("received an unreadable acknowledgement");
            }
            return frame.map(|_| ());
        }
        if let Some(settle_time) = settling_time(elapsed) {
            shared.settles_at.set(Some(connection.net.now() + settle_time));
        }
        let is_valid = frame.is_some();
        let event = match frame {
            Some(frame) => ServerEvent::Answer(sent.attempt, frame),
            None => ServerEvent::InvalidAnswer(sent.attempt),
        };
        // Set before the node receives the event, since it may have more to write then.
        let has_outstanding = !shared.pipeline.borrow().sent.is_empty();
        shared.pipeline.borrow_mut().ending = !is_valid || !(self.buffer.is_empty() || has_outstanding);
        permit?.send(connection.input(event));
        if !is_valid {
            self.log(if too_soon { PREMATURE_ANSWER } else { "received an unreadable answer" });
            return None;
        }
        Some(())
    }

    /// Returns whether an answer that arrives now can belong to a command written at `written`.
    fn can_be_answer_to(&self, written: Instant) -> bool {
        let now = self.connection.net.now();
        let since_last_answer = self.last_answer_at.map(|at| now.saturating_duration_since(at));
        self.connection.answer_times.accept(now.saturating_duration_since(written), since_last_answer)
    }

    fn log(&self, what: &str) {
        self.connection.net.log(format_args!("{}: {what}", self.connection.address));
    }
}

/// Attaches the reservation for the value of an answer to it.
fn hold_reservation(frame: BytesFrame, reservation: Option<Reservation>) -> BytesFrame {
    let Some(reservation) = reservation else { return frame };
    match frame {
        BytesFrame::BulkString(value) => BytesFrame::BulkString(reservation.attach_to(value)),
        BytesFrame::Array(mut parts) => {
            if let Some(BytesFrame::BulkString(value)) = parts.first_mut() {
                *value = reservation.attach_to(std::mem::take(value));
            }
            BytesFrame::Array(parts)
        }
        other => other,
    }
}
