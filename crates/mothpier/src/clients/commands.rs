//! Handles client commands: answers session commands itself and forwards cache requests to the node.

use brassrouter::{Micros, Request};
use bytes::Bytes;
use mothpier_net::Net;
use mothpier_session::{NodeInfo, commands};
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::oneshot;

use super::incoming_value::IncomingValue;
use super::pending::{PendingReply, PendingRequest, ReplyState};
use super::session::Session;
use super::{BUSY_RETRY_MS, MAX_PIPELINE};
use crate::cancellation::CancelGuard;
use crate::event_log::Event;
use crate::membership::Membership;
use crate::memory::MAX_UNRESERVED_INPUT;
use crate::messages::{ClientEvent, Command, NodeInput};
use crate::metrics::{Ended, RejectionReason};
use crate::resp::{self, Malformed};

/// Maximum size of locally generated replies that may be queued on one connection, in bytes. The slot map of
/// a large cluster is long, and a client that requests it repeatedly without reading is disconnected.
const MAX_QUEUED_REPLY_BYTES: usize = 1 << 20;

/// Reply to a command that does not exist.
pub(super) const UNKNOWN_COMMAND: &str = "ERR unknown command";

impl<N: Net> Session<N> {
    /// Queues an error reply behind the pending ones and stops reading commands.
    pub(super) fn protocol_error(&mut self, error: Malformed) {
        self.input_ended = true;
        self.clients.log_event(&Event::ProtocolError { connection: self.connection_id, error: error.0 });
        self.reject(RejectionReason::ProtocolError, &format!("ERR protocol: {error}"));
    }

    /// Queues an error reply to a command that is no request.
    pub(super) fn reject(&mut self, reason: RejectionReason, error: &str) {
        self.rejected += 1;
        self.clients.metrics.count_rejection(reason);
        self.push_reply(resp::error(error));
    }

    pub(super) fn push_reply(&mut self, bytes: Bytes) {
        self.pending.push_back(PendingReply { state: ReplyState::Ready(bytes), pending_request: None });
    }

    pub(super) async fn handle_command(&mut self, frame: BytesFrame, received_at: Micros) {
        let argument = |f: BytesFrame| match f {
            BytesFrame::BulkString(b) => Some(b),
            _ => None,
        };
        let arguments = match frame {
            BytesFrame::Array(frames) => frames.into_iter().map(argument).collect::<Option<Vec<_>>>(),
            _ => None,
        };
        let Some(arguments) = arguments.filter(|w| !w.is_empty()) else {
            return self.protocol_error(Malformed("a command is an array of bulk strings"));
        };
        self.commands += 1;
        self.clients.commands_received.set(self.clients.commands_received.get() + 1);
        match arguments[0].as_ref() {
            b"CACHE.GET" | b"CACHE.SET" => match self.clients.parse_command(&arguments, received_at) {
                Ok((request, command)) => {
                    self.has_sent_command = true;
                    self.forward_request(request, Box::new(command)).await;
                }
                Err(e) => self.reject(RejectionReason::InvalidRequest, &e),
            },
            _ if self.answer_session_command(&arguments) => {}
            name if name.eq_ignore_ascii_case(b"PING") => {
                self.has_sent_command = true;
                self.push_reply(match self.clients.phase.in_service() {
                    Ok(()) => Bytes::from_static(b"+PONG\r\n"),
                    Err(reason) => resp::error(&format!("ERR not ready: {reason}")),
                });
            }
            name if name.eq_ignore_ascii_case(b"QUIT") => {
                self.input_ended = true;
                self.push_reply(Bytes::from_static(b"+OK\r\n"));
            }
            _ => self.reject(RejectionReason::UnknownCommand, UNKNOWN_COMMAND),
        }
    }

    /// Answers commands that clients send while they connect or inspect the node. Returns whether it was such
    /// a command.
    fn answer_session_command(&mut self, arguments: &[Bytes]) -> bool {
        let clients = self.clients.clone();
        let arguments: Vec<&[u8]> = arguments.iter().map(Bytes::as_ref).collect();
        let tier = clients.tier.as_ref().map(|t| t.borrow());
        // Built only on request: the text has a line for each cache server.
        let wants_sources = arguments.first().is_some_and(|w| w.eq_ignore_ascii_case(b"INFO"))
            && arguments[1..].iter().any(|w| w.eq_ignore_ascii_case(b"SOURCES"));
        let sources = clients.membership.as_ref().filter(|_| wants_sources).map(Membership::text);
        let node_info = NodeInfo {
            sources: sources.as_deref(),
            tier: tier.as_deref(),
            uptime_s: clients.net.since(clients.started_at).as_secs(),
            clients: clients.connection_count() as u64,
            max_clients: clients.max_connections() as u64,
            connections: clients.connections_accepted.get(),
            commands: clients.commands_received.get(),
            open_requests: clients.request_id_count() as u64,
        };
        let Some(value) = commands::answer(&arguments, &node_info, &mut self.connection_state) else {
            return false;
        };
        self.has_sent_command = true;
        let queued_sizes = self.pending.iter().map(|reply| match &reply.state {
            ReplyState::Ready(bytes) => bytes.len(),
            ReplyState::Value(_) | ReplyState::Forwarded(..) | ReplyState::Streaming(_) => 0,
        });
        let queued = queued_sizes.sum::<usize>();
        // Encoded in the protocol version in effect from this command on; earlier commands were answered in the
        // version in effect at their time.
        let reply: Bytes = value.encode(self.connection_state.version()).into();
        self.turn.add_bytes(reply.len());
        let reply = match queued + reply.len() <= MAX_UNRESERVED_INPUT {
            true => Some(reply),
            false => clients.memory.reserve_input(reply.len()).map(|memory| memory.attach_to(reply)),
        };
        match reply.filter(|_| queued <= MAX_QUEUED_REPLY_BYTES) {
            Some(reply) => self.push_reply(reply),
            None => self.protocol_error(Malformed("too many long answers wait")),
        }
        true
    }

    async fn forward_request(&mut self, request: Request, mut command: Box<Command>) {
        // Memory is bounded by what open requests may reserve, and each connection has a limit of its own. A
        // request beyond these limits is not run; it is refused instead of being left unread.
        let length = command.value.as_ref().map_or(0, Bytes::len);
        let (request_memory, value_memory) = match self.incoming_value.take() {
            Some(IncomingValue { request, value, .. }) => (request, Some(value)),
            None => (None, None),
        };
        let memory = match self.forwarded < MAX_PIPELINE
            && self.clients.ids.open_count() <= self.clients.site.max_open
        {
            true => request_memory.or_else(|| self.clients.reserve_request(length)),
            false => None,
        };
        if let (Some(value), Some(memory)) = (&mut command.value, value_memory) {
            *value = memory.attach_to(std::mem::take(value));
        }
        let mut pending_request =
            PendingRequest::new(self.clients.class_of(&request), &self.clients.pending_requests, memory);
        if pending_request.memory.is_none() {
            self.clients.record_refusal(&command, self.forwarded);
            let state = ReplyState::Ready(resp::error(&format!("BUSY {BUSY_RETRY_MS}")));
            return self.pending.push_back(PendingReply { state, pending_request: Some(pending_request) });
        }
        let (answer, receiver) = oneshot::channel();
        let guard = CancelGuard::new(self.probe.clone());
        command.cancel = guard.token();
        let (id, read) = (request.id, self.clients.net.now());
        if self
            .clients
            .events
            .send(NodeInput::Client(ClientEvent::Request { request, command, answer, read }))
            .await
            .is_err()
        {
            pending_request.memory = None;
            pending_request.outcome = Ended::Failed;
            let state = ReplyState::Ready(resp::error("ERR stopping"));
            return self.pending.push_back(PendingReply { state, pending_request: Some(pending_request) });
        }
        self.forwarded += 1;
        self.pending.push_back(PendingReply {
            state: ReplyState::Forwarded(id, receiver, guard),
            pending_request: Some(pending_request),
        });
    }
}
