//! A client's command while it is being received that is longer than what needs no reservation. The memory for a
//! long value is reserved when its length is known, or the command is refused and the value discarded.

use bytes::{Buf, Bytes, BytesMut};
use mothpier_net::Net;

use super::commands::UNKNOWN_COMMAND;
use super::pending::{PendingReply, PendingRequest, ReplyState};
use super::session::Session;
use super::{BUSY_RETRY_MS, Clients};
use crate::memory::{REQUEST_MEMORY, Reservation};
use crate::metrics::RejectionReason;
use crate::resp::{self, LargeCommand, MAX_VALUE};

/// Maximum length of a command without a long value at its end, in bytes.
const MAX_LENGTH_WITHOUT_VALUE: usize = MAX_VALUE;

/// A long command that is being received, and its value.
pub(super) struct IncomingValue {
    /// Maximum length of the whole command, in bytes.
    command_length: usize,
    /// Length of the value, in bytes; 0 if its arguments before the value are what is long.
    length: usize,
    /// Memory for the value, or for the whole command.
    pub(super) value: Reservation,
    /// Memory for the request, which is admitted before a value over [`MAX_VALUE`] is received.
    pub(super) request: Option<Reservation>,
}

impl IncomingValue {
    /// Returns the maximum length of the whole command, in bytes.
    pub(super) fn command_length(&self) -> usize {
        self.command_length
    }

    /// Returns whether the value may take any time as long as bytes keep arriving.
    fn may_arrive_slowly(&self) -> bool {
        self.length > MAX_VALUE
    }
}

impl<N: Net> Clients<N> {
    /// Reserves the memory of a request, with a value of `length` bytes.
    pub(super) fn reserve_request(&self, length: usize) -> Option<Reservation> {
        self.memory.requests.try_reserve(REQUEST_MEMORY + length)
    }

    fn reserve_value(&self, large: &LargeCommand) -> Option<IncomingValue> {
        let request = match large.length > MAX_VALUE {
            true => Some(self.reserve_request(large.length)?),
            false => None,
        };
        let value = self.memory.reserve_input(large.length)?;
        let command_length = large.head + large.length + 2;
        Some(IncomingValue { command_length, length: large.length, value, request })
    }
}

impl<N: Net> Session<N> {
    /// Returns whether a value is being received or discarded that may take any time as long as bytes keep
    /// arriving.
    pub(super) fn may_receive_slowly(&self) -> bool {
        (self.bytes_to_skip > 0 && self.skips_slowly)
            || self.incoming_value.as_ref().is_some_and(IncomingValue::may_arrive_slowly)
    }

    /// Reserves memory for a command that cannot be received without, or refuses it if it ends with a long value.
    /// Returns whether the connection can go on.
    pub(super) fn begin_long_command(&mut self, buffer: &mut BytesMut) -> bool {
        if self.incoming_value.take().is_some() {
            return false;
        }
        if let Some(large) = resp::parse_large_command(buffer) {
            self.begin_large_command(large, buffer);
            return true;
        }
        let Some(value) = self.clients.memory.reserve_input(MAX_LENGTH_WITHOUT_VALUE) else { return false };
        self.incoming_value =
            Some(IncomingValue { command_length: MAX_LENGTH_WITHOUT_VALUE, length: 0, value, request: None });
        true
    }

    /// Reserves memory for a command with a long value, or refuses it before the value is read.
    fn begin_large_command(&mut self, large: LargeCommand, buffer: &mut BytesMut) {
        if let Some(incoming_value) = self.clients.reserve_value(&large) {
            // Reserve the whole size once: growing the buffer step by step would copy it each time.
            buffer.reserve(incoming_value.command_length.saturating_sub(buffer.len()));
            self.incoming_value = Some(incoming_value);
            return;
        }
        buffer.advance(large.head);
        self.bytes_to_skip = large.length + 2;
        self.skips_slowly = large.length > MAX_VALUE;
        let arguments: Vec<Bytes> = large.arguments.into_iter().chain([Bytes::new()]).collect();
        let is_cache_command = matches!(arguments[0].as_ref(), b"CACHE.GET" | b"CACHE.SET");
        let parsed = is_cache_command.then(|| self.clients.parse_command(&arguments, (self.clients.now)()));
        match parsed {
            Some(Ok((request, command))) => {
                self.has_sent_command = true;
                self.clients.record_refusal(&command, self.forwarded);
                let pending_request = Some(PendingRequest::new(
                    self.clients.class_of(&request),
                    &self.clients.pending_requests,
                    None,
                ));
                let state = ReplyState::Ready(resp::error(&format!("BUSY {BUSY_RETRY_MS}")));
                self.pending.push_back(PendingReply { state, pending_request });
            }
            Some(Err(e)) => self.reject(RejectionReason::InvalidRequest, &e),
            None => self.reject(RejectionReason::UnknownCommand, UNKNOWN_COMMAND),
        }
    }
}
