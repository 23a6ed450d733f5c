//! Serves one client connection from its first byte until it is closed.

use std::cell::Cell;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use brassrouter::Micros;
use bytes::{Buf, BytesMut};
use mothpier_net::{Net, ReadHalf};
use mothpier_session::Connection as ConnectionState;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::Notify;

use super::incoming_value::IncomingValue;
use super::pending::{PendingReply, ReplyState, count_ready_replies};
use super::socket::{
    ReadAhead, UnreadInput, client_gone, close_gracefully, no_input_pending, receive, write_streamed_value,
};
use super::turn::Turn;
use super::{Clients, MAX_PIPELINE};
use crate::cancellation::ConnectionProbe;
use crate::guards;
use crate::memory::{MAX_UNRESERVED_INPUT, Reservation};
use crate::metrics::CloseReason;
use crate::resp::{self, Malformed};
use crate::segments::{SegmentWriter, Segments};
use crate::{Mutation, mutation_active};

/// Maximum number of replies queued on one connection, refusals and errors included; a client that exceeds it
/// is disconnected.
const MAX_PENDING_REPLIES: usize = 1024;
/// Number of queued replies for which no memory is reserved.
const MAX_UNRESERVED_REPLIES: usize = MAX_PIPELINE;
/// Memory of one queued reply without a value, in bytes.
const REPLY_MEMORY: usize = 256;
/// A client that does not accept a write within this time is disconnected.
pub(super) const SLOW_READER_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for the first command, and for the rest of a command that has arrived in part: misbehaving clients
/// must get an error or a close within 3 s.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// Input that waited for less counts as read when it arrived: the kernel's clock for it is coarse.
const MIN_WAITING_TIME: Duration = Duration::from_millis(10);
/// How long a new connection may take to send its first command while connections are being closed.
const DRAINING_FIRST_COMMAND_TIMEOUT: Duration = Duration::from_millis(300);
/// A connection without requests for this long is closed, since some clients never close theirs.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle timeout once half of the permitted connections are open: clients have a limited number of
/// connections, and idle ones keep others out.
const CROWDED_IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// How often an idle connection checks whether the shorter idle timeout has come into effect.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

pub(super) struct Session<N> {
    pub(super) clients: Rc<Clients<N>>,
    pub(super) connection_id: u64,
    /// In the order of the commands.
    pub(super) pending: VecDeque<PendingReply>,
    /// Number of pending requests that were forwarded to the node.
    pub(super) forwarded: usize,
    /// The client has sent a well-formed command.
    pub(super) has_sent_command: bool,
    /// No more commands are read; the connection closes after the last reply.
    pub(super) input_ended: bool,
    /// The command that is being received, if memory is reserved for it.
    pub(super) incoming_value: Option<IncomingValue>,
    /// Memory for a long queue of replies.
    pub(super) queue_memory: Option<Reservation>,
    /// Remaining bytes of a refused value, which are discarded.
    pub(super) bytes_to_skip: usize,
    /// The refused value may take any time as long as bytes keep arriving.
    pub(super) skips_slowly: bool,
    /// Protocol version and client attributes set by session commands.
    pub(super) connection_state: ConnectionState,
    /// Checks, before anything is sent on behalf of this client, that the connection is still open.
    pub(super) probe: Rc<ConnectionProbe>,
    /// What the connection has done since other tasks last ran.
    pub(super) turn: Turn,
    /// Commands received, and how many of them were answered with an error and are no requests.
    pub(super) commands: u64,
    pub(super) rejected: u64,
}

impl<N: Net> Session<N> {
    pub(super) async fn run<R: ReadHalf, W: AsyncWrite + Unpin>(
        &mut self,
        read_half: &R,
        mut write_half: W,
        evict: Rc<Notify>,
    ) -> CloseReason {
        let clients = self.clients.clone();
        let net = clients.net.clone();
        let mut buffer = BytesMut::new();
        let mut received_at = (clients.now)();
        // It may have waited with the connection to be accepted, or for a node that was held up.
        let input_arrived_at = || {
            let waited = read_half.since_last_received();
            let waited = if waited < MIN_WAITING_TIME { Duration::ZERO } else { waited };
            (clients.now)().saturating_sub(waited.as_micros() as Micros)
        };
        let connected_at = net.now();
        // When the first bytes of the command that is incomplete so far arrived.
        let mut partial_since = None;
        // Time of the last input or reply.
        let mut last_activity = connected_at;
        loop {
            self.yield_after_turn().await;
            while !self.input_ended && !buffer.is_empty() {
                let skipped = self.bytes_to_skip.min(buffer.len());
                buffer.advance(skipped);
                self.bytes_to_skip -= skipped;
                if self.bytes_to_skip > 0 || buffer.is_empty() {
                    break;
                }
                let max_length =
                    self.incoming_value.as_ref().map_or(MAX_UNRESERVED_INPUT, IncomingValue::command_length);
                match resp::take_command(&mut buffer, max_length) {
                    Ok(Some(frame)) => {
                        partial_since = None;
                        // Forwarding a command may block on the node's queue.
                        tokio::select! {
                            biased;
                            () = self.handle_command(frame, received_at) => {}
                            () = client_gone(&net, read_half, UnreadInput::LeftUnread) => {
                                return CloseReason::ClientGone;
                            }
                        }
                        self.incoming_value = None;
                        self.turn.add_command();
                        self.yield_after_turn().await;
                    }
                    Ok(None) => break,
                    Err(e) => {
                        if !self.begin_long_command(&mut buffer) {
                            self.protocol_error(e);
                        }
                    }
                }
                if self.pending.len() > MAX_PENDING_REPLIES || !self.reserve_queue() {
                    self.protocol_error(Malformed("too many commands at once"));
                }
            }
            if self.bytes_to_skip > 0 {
                partial_since.get_or_insert_with(|| net.now());
            } else if self.input_ended || buffer.is_empty() {
                partial_since = None;
                // An idle connection must not keep the buffer of its largest command.
                buffer = BytesMut::new();
            } else {
                partial_since.get_or_insert_with(|| net.now());
            }
            if let Some(ReplyState::Forwarded(_, _, guard)) = self.pending.front().map(|reply| &reply.state) {
                guard.set_next();
            }
            let is_idle = self.pending.is_empty();
            let now = net.now();
            if let Some(entry) = clients.open_connections.borrow_mut().get_mut(&self.connection_id) {
                (entry.idle_since, entry.has_sent_command) =
                    (is_idle.then_some(last_activity), self.has_sent_command);
            }
            if self.input_ended && is_idle {
                close_gracefully(&net, read_half, &mut write_half, UnreadInput::Discarded).await;
                return CloseReason::Ended;
            }
            let phase_changed = clients.phase.changed();
            let closing = clients.phase.closing() && !mutation_active(Mutation::KeptIdle);
            // A connection that always has open requests is read no further once the others have had time to
            // close, except for the rest of a command that had started by then: each complete command may be
            // followed by part of the next one.
            let read_cutoff = clients.phase.read_cutoff().filter(|read_cutoff| match partial_since {
                None => !is_idle && !self.input_ended,
                Some(partial_since) => {
                    self.has_sent_command && partial_since >= *read_cutoff && !self.input_ended
                }
            });
            if is_idle && read_cutoff.is_some() {
                close_gracefully(&net, read_half, &mut write_half, UnreadInput::LeftUnread).await;
                return CloseReason::Draining;
            }
            let may_read = !self.input_ended && read_cutoff.is_none_or(|read_cutoff| now < read_cutoff);
            let first_command_deadline =
                (!self.has_sent_command && is_idle).then_some(connected_at + COMMAND_TIMEOUT);
            // A large value may take any time as long as bytes keep arriving.
            let receiving_large_value = self.may_receive_slowly();
            let command_deadline = partial_since
                .filter(|_| !self.input_ended && !mutation_active(Mutation::HalfCommandKept))
                .map(|since| if receiving_large_value { last_activity } else { since } + COMMAND_TIMEOUT);
            // A connection that was opened only just now is about to send a command: it may be a load
            // balancer checking whether the node is ready again.
            let expects_first_command = !self.has_sent_command
                && (!clients.phase.accepting_stopped() || clients.phase.leaves_pending());
            let idle_deadline = is_idle.then_some(if closing && partial_since.is_none() {
                if expects_first_command { connected_at + DRAINING_FIRST_COMMAND_TIMEOUT } else { now }
            } else if last_activity + CROWDED_IDLE_TIMEOUT > now || clients.is_half_full() {
                last_activity + CROWDED_IDLE_TIMEOUT
            } else {
                // Checked again at intervals, since connections may be opened meanwhile.
                (now + IDLE_CHECK_INTERVAL).min(last_activity + IDLE_TIMEOUT)
            });
            let next_deadline =
                [first_command_deadline, command_deadline, idle_deadline, read_cutoff.filter(|_| may_read)]
                    .into_iter()
                    .flatten()
                    .min();
            tokio::select! {
                biased;
                ready = count_ready_replies(&mut self.pending, &clients.metrics), if !is_idle => {
                    let mut replies = self.take_replies(ready);
                    let (had_buffered_input, mut received_meanwhile) = (!buffer.is_empty(), None);
                    let mut on_input = || {
                        received_meanwhile.get_or_insert_with(|| (clients.now)());
                    };
                    let unread_input = match (self.input_ended, may_read) {
                        (true, _) => UnreadInput::Discarded,
                        (_, true) => UnreadInput::Buffered(ReadAhead {
                            buffer: &mut buffer,
                            on_input: &mut on_input,
                            memory: &clients.memory,
                            reservation: Cell::default(),
                        }),
                        (_, false) => UnreadInput::LeftUnread,
                    };
                    let write = async {
                        match self.pending.front_mut().map(|reply| &mut reply.state) {
                            Some(ReplyState::Streaming(value)) => {
                                Some(write_streamed_value(&net, &mut write_half, value).await)
                            }
                            _ => {
                                let written = write_half.write_all_buf(&mut replies);
                                net.timeout(SLOW_READER_TIMEOUT, written).await
                            }
                        }
                    };
                    // A client that accepts nothing of its reply may have closed the connection while further
                    // requests of it wait at the node.
                    let written = tokio::select! {
                        biased;
                        written = write => written,
                        () = client_gone(&net, read_half, unread_input) => return CloseReason::ClientGone,
                    };
                    if let Some(at) = received_meanwhile.filter(|_| !had_buffered_input) {
                        received_at = at;
                    }
                    last_activity = net.now();
                    let answered = self.pending.drain(..ready).filter_map(|reply| reply.pending_request);
                    match written {
                        Some(Ok(())) => {}
                        Some(Err(e)) if e.kind() == ErrorKind::UnexpectedEof => {
                            return CloseReason::IncompleteValue;
                        }
                        Some(Err(_)) => return CloseReason::ClientGone,
                        None => return CloseReason::SlowReader,
                    }
                    answered.for_each(|request| clients.metrics.count_end(request.class, request.outcome));
                    let read_cutoff = clients.phase.read_cutoff().filter(|cutoff| *cutoff <= net.now());
                    if read_cutoff.is_some_and(|cutoff| {
                        partial_since.map_or(buffer.is_empty(), |partial_since| partial_since >= cutoff)
                    }) && self.pending.is_empty()
                    {
                        close_gracefully(&net, read_half, &mut write_half, UnreadInput::LeftUnread).await;
                        return CloseReason::Draining;
                    }
                }
                received = receive(read_half, &mut buffer), if may_read => {
                    // A closed connection cancels the client's requests.
                    if received == 0 {
                        return CloseReason::ClientGone;
                    }
                    (received_at, last_activity) = (input_arrived_at(), net.now());
                    self.turn.add_bytes(received);
                }
                // Unread input is still watched for a close, so that the pending requests can be cancelled.
                () = client_gone(
                    &net,
                    read_half,
                    if self.input_ended { UnreadInput::Discarded } else { UnreadInput::LeftUnread },
                ), if !may_read => {
                    return CloseReason::ClientGone;
                }
                () = evict.notified(), if is_idle => {
                    if no_input_pending(&net, read_half, &mut buffer).await {
                        return self.checked_close(CloseReason::Evicted);
                    }
                    (received_at, last_activity) = (input_arrived_at(), net.now());
                }
                () = net.sleep_until(next_deadline.unwrap_or(now)), if next_deadline.is_some() => {
                    if read_cutoff.is_some_and(|read_cutoff| read_cutoff <= net.now()) {
                        // Nothing is read from here on.
                    } else if !no_input_pending(&net, read_half, &mut buffer).await {
                        (received_at, last_activity) = (input_arrived_at(), net.now());
                    } else if command_deadline.is_some_and(|command_deadline| command_deadline <= net.now()) {
                        self.protocol_error(Malformed("the rest of the command has not come"));
                    } else if !self.has_sent_command
                        || closing
                        || clients.is_half_full()
                        || net.since(last_activity) >= IDLE_TIMEOUT
                    {
                        return self
                            .checked_close(if closing { CloseReason::Draining } else { CloseReason::Idle });
                    }
                }
                () = phase_changed, if !closing => {}
            }
        }
    }

    /// Lets other tasks run, if the connection has done as much as it may do at a time.
    async fn yield_after_turn(&mut self) {
        if self.turn.take_end() {
            self.clients.metrics.count_yield();
            self.clients.net.yield_now().await;
        }
    }

    /// Checks the invariant of closing for a connection that the node closes on its own initiative, and
    /// returns `reason`.
    fn checked_close(&self, reason: CloseReason) -> CloseReason {
        if let Err(invariant) = guards::may_close(self.pending.len()) {
            self.clients.report_violation(invariant, self.connection_id);
        }
        reason
    }

    /// Reserves memory for a long queue of replies, or frees it once the queue is short again. Returns whether
    /// the queue may be as long as it is.
    fn reserve_queue(&mut self) -> bool {
        if self.pending.len() <= MAX_UNRESERVED_REPLIES {
            self.queue_memory = None;
        } else if self.queue_memory.is_none() {
            self.queue_memory = self.clients.memory.reserve_input(MAX_PENDING_REPLIES * REPLY_MEMORY);
            return self.queue_memory.is_some();
        }
        true
    }

    /// Takes the first `ready` replies off the count of forwarded requests and returns their bytes.
    fn take_replies(&mut self, ready: usize) -> Segments {
        let mut combined = SegmentWriter::default();
        for reply in self.pending.iter().take(ready) {
            self.forwarded -= usize::from(reply.was_forwarded());
            let copies = match mutation_active(Mutation::DoubleAnswer) && reply.was_forwarded() {
                true => 2,
                false => 1,
            };
            for _ in 0..copies {
                match &reply.state {
                    ReplyState::Ready(bytes) => combined.append(bytes),
                    ReplyState::Value(value) => resp::append_bulk_string(&mut combined, value),
                    ReplyState::Forwarded(..) | ReplyState::Streaming(_) => {}
                }
            }
        }
        combined.finish()
    }
}
