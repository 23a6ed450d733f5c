//! What a client's commands are answered, and which of them go on to the node.

use brassrouter::{Micros, Request};
use bytes::{Buf, Bytes, BytesMut};
use mothpier_net::Net;
use mothpier_session::{Facts, commands};
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::oneshot;

use super::pending::{Slot, Taken, Wait};
use super::session::Session;
use super::{FULL_RETRY_MS, MAX_PIPELINE, REQUEST_KB};
use crate::cancellation::CancelGuard;
use crate::membership::Membership;
use crate::messages::{ClientEvent, Command, NodeInput};
use crate::metrics::Ended;
use crate::resp::{self, Malformed};

/// Bytes of answers of slot-aware commands that may wait on one connection: a map of many nodes is long, and a client
/// that asks for it again and again without reading is cut off.
const MAX_MAPS: usize = 1 << 20;

impl<N: Net> Session<N> {
    /// Says what is wrong, behind the answers that are owed, and reads no more.
    pub(super) fn protocol_error(&mut self, error: Malformed) {
        self.ended = true;
        self.answer(resp::error(&format!("ERR protocol: {error}")));
    }

    fn answer(&mut self, bytes: Bytes) {
        self.pending.push_back(Slot { wait: Wait::Ready(bytes), taken: None });
    }

    pub(super) async fn command(&mut self, frame: BytesFrame, came: Micros) {
        let word = |f: BytesFrame| match f {
            BytesFrame::BulkString(b) => Some(b),
            _ => None,
        };
        let words = match frame {
            BytesFrame::Array(frames) => frames.into_iter().map(word).collect::<Option<Vec<_>>>(),
            _ => None,
        };
        let Some(words) = words.filter(|w| !w.is_empty()) else {
            return self.protocol_error(Malformed("a command is an array of bulk strings"));
        };
        self.clients.commands.set(self.clients.commands.get() + 1);
        match words[0].as_ref() {
            b"CACHE.GET" | b"CACHE.SET" => match self.clients.parse(&words, came) {
                Ok((request, command)) => {
                    self.known = true;
                    self.ask(request, Box::new(command)).await;
                }
                Err(e) => self.answer(resp::error(&e)),
            },
            _ if self.aside(&words) => {}
            name if name.eq_ignore_ascii_case(b"PING") => {
                self.known = true;
                self.answer(match self.clients.phase.at_work() {
                    Ok(()) => Bytes::from_static(b"+PONG\r\n"),
                    Err(why) => resp::error(&format!("ERR not ready: {why}")),
                });
            }
            name if name.eq_ignore_ascii_case(b"QUIT") => {
                self.ended = true;
                self.answer(Bytes::from_static(b"+OK\r\n"));
            }
            _ => self.answer(resp::error("ERR unknown command")),
        }
    }

    /// Answers what clients ask as they connect or look round; whether it was that.
    fn aside(&mut self, words: &[Bytes]) -> bool {
        let clients = self.clients.clone();
        let words: Vec<&[u8]> = words.iter().map(Bytes::as_ref).collect();
        let tier = clients.tier.as_ref().map(|t| t.borrow());
        // Made only where it is asked for: it has a line for each box.
        let wanted = words.first().is_some_and(|w| w.eq_ignore_ascii_case(b"INFO"))
            && words[1..].iter().any(|w| w.eq_ignore_ascii_case(b"SOURCES"));
        let sources = clients.membership.as_ref().filter(|_| wanted).map(Membership::text);
        let facts = Facts {
            sources: sources.as_deref(),
            tier: tier.as_deref(),
            uptime_s: clients.net.since(clients.began).as_secs(),
            clients: clients.count() as u64,
            most_clients: clients.most() as u64,
            connections: clients.connections.get(),
            commands: clients.commands.get(),
            open: clients.ids() as u64,
        };
        let Some(value) = commands::answer(&words, &facts, &mut self.told) else { return false };
        self.known = true;
        let waiting = self.pending.iter().map(|slot| match &slot.wait {
            Wait::Ready(bytes) => bytes.len(),
            Wait::Node(..) | Wait::Passing(_) => 0,
        });
        if waiting.sum::<usize>() > MAX_MAPS {
            self.protocol_error(Malformed("too many long answers wait"));
        } else {
            // In the version that holds from here on: what was read before is answered in the one of then.
            self.answer(value.encode(self.told.version()).into());
        }
        true
    }

    /// Makes room for a command with a large value, or turns it away before the value is read.
    pub(super) fn large(&mut self, large: resp::LargeCommand, buffer: &mut BytesMut) {
        let kb = large.length.div_ceil(1024);
        if let Some(memory) = self.clients.memory(REQUEST_KB + kb) {
            // Once, or it would be copied as it grows.
            buffer.reserve((large.head + large.length + 2).saturating_sub(buffer.len()));
            self.large = Some(memory);
            return;
        }
        buffer.advance(large.head);
        self.skip = large.length + 2;
        let words: Vec<Bytes> = large.words.into_iter().chain([Bytes::new()]).collect();
        let known = matches!(words[0].as_ref(), b"CACHE.GET" | b"CACHE.SET");
        let parsed = known.then(|| self.clients.parse(&words, (self.clients.now)()));
        match parsed {
            Some(Ok((request, command))) => {
                self.known = true;
                self.clients.note_refusal(&command, self.asked);
                let taken = Some(Taken::of(request.class, &self.clients.taken, None));
                let wait = Wait::Ready(resp::error(&format!("BUSY {FULL_RETRY_MS}")));
                self.pending.push_back(Slot { wait, taken });
            }
            Some(Err(e)) => self.answer(resp::error(&e)),
            None => self.answer(resp::error("ERR unknown command")),
        }
    }

    async fn ask(&mut self, request: Request, mut command: Box<Command>) {
        // Memory is bounded by what open requests may hold, and one connection by its own part of them; what is
        // beyond never runs, and is told so instead of being left unread.
        let holds = REQUEST_KB + command.value.as_ref().map_or(0, Bytes::len).div_ceil(1024);
        let memory = match self.asked < MAX_PIPELINE
            && self.clients.ids.borrow().len() <= self.clients.site.max_open
        {
            // A large value has brought its own.
            true => self.large.take().or_else(|| self.clients.memory(holds)),
            false => None,
        };
        let mut taken = Taken::of(request.class, &self.clients.taken, memory);
        if taken.memory.is_none() {
            self.clients.note_refusal(&command, self.asked);
            let wait = Wait::Ready(resp::error(&format!("BUSY {FULL_RETRY_MS}")));
            return self.pending.push_back(Slot { wait, taken: Some(taken) });
        }
        let (answer, receiver) = oneshot::channel();
        let guard = CancelGuard::new(self.probe.clone());
        command.cancel = guard.token();
        let (id, read) = (request.id, self.clients.net.now());
        if self
            .clients
            .events
            .send(NodeInput::Client(ClientEvent::Asked { request, command, answer, read }))
            .await
            .is_err()
        {
            taken.memory = None;
            taken.ended = Ended::Failed;
            let wait = Wait::Ready(resp::error("ERR stopping"));
            return self.pending.push_back(Slot { wait, taken: Some(taken) });
        }
        self.asked += 1;
        self.pending.push_back(Slot { wait: Wait::Node(id, receiver, guard), taken: Some(taken) });
    }
}
