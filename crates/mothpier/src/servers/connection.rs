//! A connection to a cache server: the task that establishes it and carries its commands until it ends.

use std::cell::Cell;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use mothpier_net::{Net, Stream, Task};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;

use super::Limits;
use super::answer_times::AnswerTimes;
use super::command::{Command, ExpectedReply};
use super::pipeline::{BegunWrite, SentCommand, SharedState};
use super::reader::Reader;
use crate::cancellation::CancelToken;
use crate::messages::{NodeInput, ServerEvent};
use crate::metrics::{Metrics, ServerCloseReason};
use crate::resp;

/// The node's handle of a connection; dropping it closes the connection.
pub(super) struct Connection<N: Net> {
    pub(super) number: u64,
    pub(super) shared: Rc<SharedState>,
    pub(super) task: N::Task,
    pub(super) last_used: Instant,
    /// The server has left the address or is not ready: pending commands are finished, and no new ones are
    /// sent.
    pub(super) retired: bool,
    /// The number of connections to all servers.
    pub(super) connection_count: Rc<Cell<usize>>,
    /// Counts closed connections.
    pub(super) metrics: Rc<Metrics>,
    /// The reason recorded when the connection is closed.
    pub(super) close_reason: Cell<ServerCloseReason>,
}

impl<N: Net> Drop for Connection<N> {
    fn drop(&mut self) {
        self.connection_count.set(self.connection_count.get() - 1);
        self.metrics.count_server_close(self.close_reason.get());
        self.task.abort();
    }
}

impl<N: Net> Connection<N> {
    /// Returns the number of commands on the connection.
    pub(super) fn command_count(&self) -> usize {
        self.shared.pipeline.borrow().command_count()
    }

    /// Returns whether the connection is established.
    pub(super) fn up(&self) -> bool {
        self.shared.pipeline.borrow().up
    }

    /// Returns `keep`; if that is `false`, sets the close reason.
    pub(super) fn keep_or_close(&self, keep: bool, reason: ServerCloseReason) -> bool {
        if !keep {
            self.close_reason.set(reason);
        }
        keep
    }

    /// Returns whether the connection is idle and usable, so that a command could be answered at once.
    pub(super) fn is_available(&self) -> bool {
        self.up() && self.command_count() == 0 && !self.retired && !self.shared.pipeline.borrow().ending
    }

    /// Queues a command for writing.
    pub(super) fn push(&mut self, command: Command, now: Instant) {
        self.last_used = now;
        self.shared.pipeline.borrow_mut().unsent.push_back(command);
        self.shared.wake.notify_one();
    }
}

/// The state of the task that drives a connection.
pub(super) struct Driver<N: Net> {
    pub(super) net: N,
    pub(super) number: u64,
    pub(super) address: SocketAddr,
    pub(super) limits: Limits,
    pub(super) shared: Rc<SharedState>,
    /// The answer times of its server.
    pub(super) answer_times: Rc<AnswerTimes>,
    pub(super) events: mpsc::Sender<NodeInput>,
}

impl<N: Net> Driver<N> {
    /// Runs the connection until it ends, and then reports the attempts that are left without an answer.
    pub(super) async fn run(self) {
        let refused = self.drive().await;
        // No new commands are accepted; the pending ones stay on record until the end can be reported to the
        // node.
        self.shared.pipeline.borrow_mut().ending = true;
        let Ok(permit) = self.events.reserve().await else { return };
        let mut pipeline = std::mem::take(&mut *self.shared.pipeline.borrow_mut());
        self.shared.pipeline.borrow_mut().ending = true;
        permit.send(self.input(pipeline.take_all(refused)));
    }

    /// Wraps an event of this connection for the node.
    pub(super) fn input(&self, event: ServerEvent) -> NodeInput {
        NodeInput::Server { server: self.shared.server.get(), connection: self.number, event }
    }

    /// Establishes the connection and carries its commands until it ends. Returns whether the connection was
    /// refused.
    async fn drive(&self) -> bool {
        let stream = match self.net.timeout(self.limits.connect_timeout, self.net.connect(self.address)).await
        {
            Some(Ok(stream)) => stream,
            Some(Err(_)) => return true,
            None => return false,
        };
        stream.set_nodelay();
        self.shared.pipeline.borrow_mut().up = true;
        if self.events.send(self.input(ServerEvent::Up)).await.is_err() {
            return false;
        }
        let (read_half, mut write_half) = stream.split();
        // Both halves outlive the reader and the writer: they are dropped together, once the connection has
        // ended.
        let reader = Reader::new(self, &read_half).run();
        let writer = self.write(&mut write_half);
        // The reader is polled first, so that a close by the server is noticed before anything more is
        // written to it.
        tokio::select! { biased; () = reader => {}, () = writer => {} }
        false
    }

    /// Writes commands as they are queued, until a write fails.
    async fn write<W: AsyncWrite + Unpin>(&self, write_half: &mut W) {
        if self.limits.read_copies {
            let acknowledgement = SentCommand {
                attempt: 0,
                expected_reply: ExpectedReply::Acknowledgement,
                given_up: false,
                written: self.net.now(),
                client: CancelToken::default(),
            };
            self.shared.pipeline.borrow_mut().sent.push_back(acknowledgement);
            if write_half.write_all(&resp::command(["READONLY".into()])).await.is_err() {
                return;
            }
        }
        loop {
            if !self.shared.has_unsent(self.net.now()) {
                self.shared.wake.notified().await;
            }
            if let Some(settled) = self.shared.unsettled_until(self.net.now()) {
                // The command stays unsent meanwhile, so that it can be withdrawn.
                self.net.sleep_until(settled).await;
                continue;
            }
            // Yield to the runtime once, so that a close by the server is read before anything more is
            // written.
            self.net.yield_now().await;
            let begun_write = poll_fn(|cx| self.shared.begin_write(cx, write_half, self.net.now())).await;
            let Some(begun_write) = begun_write else { continue };
            let Ok(mut begun_write) = begun_write else { return };
            if begun_write.write_rest(write_half, || self.net.now()).await.is_err() {
                return;
            }
            let BegunWrite { command, written, .. } = begun_write;
            // There is no await after the last byte was written, so the command is on record before its
            // answer can be read.
            let mut pipeline = self.shared.pipeline.borrow_mut();
            let given_up = pipeline.writing.take().is_some_and(|(_, given_up)| given_up);
            let expected_reply = command.expected_reply();
            if expected_reply.is_answer() {
                self.limits.metrics.count_attempt();
            }
            pipeline.sent.push_back(SentCommand {
                attempt: command.attempt,
                expected_reply,
                given_up,
                written,
                client: command.client(),
            });
        }
    }
}
