//! A connection to a cache server: the task that makes it and carries its commands until it ends.

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
use super::command::{Command, Owed};
use super::line::{Begun, Sent, Shared};
use super::reader::Reader;
use crate::messages::{NodeInput, ServerEvent};
use crate::metrics::{Metrics, ServerCloseReason};
use crate::resp;

/// A connection as the node sees it; dropping it closes it.
pub(super) struct Connection<N: Net> {
    pub(super) number: u64,
    pub(super) shared: Rc<Shared>,
    pub(super) task: N::Task,
    pub(super) used: Instant,
    /// It leads to an address that its server has left: it ends what it carries and gets nothing new.
    pub(super) retired: bool,
    /// How many connections there are to all servers.
    pub(super) all: Rc<Cell<usize>>,
    /// Where its end is counted.
    pub(super) figures: Rc<Metrics>,
    /// Why it ends, once that is known.
    pub(super) close_reason: Cell<ServerCloseReason>,
}

impl<N: Net> Drop for Connection<N> {
    fn drop(&mut self) {
        self.all.set(self.all.get() - 1);
        self.figures.server_closed(self.close_reason.get());
        self.task.abort();
    }
}

impl<N: Net> Connection<N> {
    /// Commands that it carries.
    pub(super) fn load(&self) -> usize {
        self.shared.line.borrow().load()
    }

    /// Whether it stands.
    pub(super) fn up(&self) -> bool {
        self.shared.line.borrow().up
    }

    /// Whether it is kept; one that is not ends for a reason.
    pub(super) fn is_kept(&self, kept: bool, reason: ServerCloseReason) -> bool {
        if !kept {
            self.close_reason.set(reason);
        }
        kept
    }

    /// Whether a command could be answered on it at once.
    pub(super) fn free(&self) -> bool {
        self.up() && self.load() == 0 && !self.retired && !self.shared.line.borrow().ending
    }

    /// Lets a command be written on it.
    pub(super) fn push(&mut self, command: Command, now: Instant) {
        self.used = now;
        self.shared.line.borrow_mut().unsent.push_back(command);
        self.shared.wake.notify_one();
    }
}

/// The end of a connection that its task holds.
pub(super) struct Driver<N: Net> {
    pub(super) net: N,
    pub(super) number: u64,
    pub(super) address: SocketAddr,
    pub(super) limits: Limits,
    pub(super) shared: Rc<Shared>,
    /// How soon its server answers.
    pub(super) answer_times: Rc<AnswerTimes>,
    pub(super) events: mpsc::Sender<NodeInput>,
}

impl<N: Net> Driver<N> {
    /// Carries the connection until it ends, and tells the node what that leaves open.
    pub(super) async fn run(self) {
        let refused = self.drive().await;
        // Nothing new goes there; what it carries stays on record until the node can be told of its end.
        self.shared.line.borrow_mut().ending = true;
        let Ok(place) = self.events.reserve().await else { return };
        let mut line = std::mem::take(&mut *self.shared.line.borrow_mut());
        self.shared.line.borrow_mut().ending = true;
        place.send(self.input(line.end(refused)));
    }

    /// What the node is told of this connection.
    pub(super) fn input(&self, event: ServerEvent) -> NodeInput {
        NodeInput::Server { server: self.shared.server.get(), number: self.number, event }
    }

    /// Makes the connection and carries its commands until it ends; whether it was refused.
    async fn drive(&self) -> bool {
        let stream = match self.net.timeout(self.limits.connect_timeout, self.net.connect(self.address)).await
        {
            Some(Ok(stream)) => stream,
            Some(Err(_)) => return true,
            None => return false,
        };
        stream.set_nodelay();
        self.shared.line.borrow_mut().up = true;
        if self.events.send(self.input(ServerEvent::Up)).await.is_err() {
            return false;
        }
        let (reading, mut writing) = stream.split();
        // Both halves outlive the two: they are dropped together, once the connection has ended.
        let reader = Reader::new(self, &reading).run();
        let writer = self.write(&mut writing);
        // The reader first: a close by the server is noticed before anything more is written to it.
        tokio::select! { biased; () = reader => {}, () = writer => {} }
        false
    }

    /// Writes commands as they come, until that fails.
    async fn write<W: AsyncWrite + Unpin>(&self, writing: &mut W) {
        if self.limits.read_copies {
            let word = Sent { attempt: 0, owed: Owed::Word, given_up: false, written: self.net.now() };
            self.shared.line.borrow_mut().sent.push_back(word);
            if writing.write_all(&resp::command(["READONLY".into()])).await.is_err() {
                return;
            }
        }
        loop {
            if !self.shared.has_unsent(self.net.now()) {
                self.shared.wake.notified().await;
            }
            if let Some(settled) = self.shared.unsettled_until(self.net.now()) {
                // What waits here is unsent: it may be taken back meanwhile.
                self.net.sleep_until(settled).await;
                continue;
            }
            // Once round the runtime: a close that has come in is read before anything more is written.
            self.net.yield_now().await;
            let begun = poll_fn(|cx| self.shared.begin(cx, writing, self.net.now())).await;
            let Some(begun) = begun else { continue };
            let Ok(Begun { command, rest }) = begun else { return };
            if writing.write_all(&rest).await.is_err() {
                return;
            }
            // No await since the last byte was written: it is on record before an answer can be read.
            let mut line = self.shared.line.borrow_mut();
            let given_up = line.writing.take().is_some_and(|(_, given_up)| given_up);
            let owed = command.owed();
            if owed == Owed::Answer {
                self.limits.figures.attempt();
            }
            let written = self.net.now();
            line.sent.push_back(Sent { attempt: command.attempt, owed, given_up, written });
        }
    }
}
