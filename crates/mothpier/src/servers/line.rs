//! What one connection carries: the commands that are still unsent, the one being written and those that are owed an
//! answer.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Instant;

use brassrouter::ServerId;
use bytes::{Buf, Bytes};
use tokio::io::AsyncWrite;
use tokio::sync::Notify;

use super::command::{Command, Owed};
use crate::messages::{AttemptId, ServerEvent};
use crate::{Mutation, mutation_active};

/// A command that was written whole, or a word before one.
pub(super) struct Sent {
    pub(super) attempt: AttemptId,
    pub(super) owed: Owed,
    /// The node waits for it no longer.
    pub(super) given_up: bool,
    /// When its last byte was written.
    pub(super) written: Instant,
}

/// The state of one connection.
#[derive(Default)]
pub(super) struct Line {
    pub(super) up: bool,
    /// What came last makes it useless: it is about to end.
    pub(super) ending: bool,
    /// Of these not one byte has gone out: a server that reads nothing may keep the first of them here for long.
    pub(super) unsent: VecDeque<Command>,
    /// Of this a part has gone out; and whether the node waits for it no longer.
    pub(super) writing: Option<(AttemptId, bool)>,
    /// In order.
    pub(super) sent: VecDeque<Sent>,
    /// A large value is on its way: what is written behind it waits for its reader.
    pub(super) passing: bool,
}

impl Line {
    /// Commands that it carries.
    pub(super) fn load(&self) -> usize {
        self.unsent.len() + self.sent.len() + usize::from(self.writing.is_some())
    }

    /// The place of the first command to begin.
    fn next_unsent(&self, now: Instant) -> Option<usize> {
        self.unsent.iter().position(|command| !command.is_cancelled(now))
    }

    /// Whether something given up is ahead: what is written behind it may wait for ever.
    pub(super) fn stalled(&self) -> bool {
        self.passing || self.given_up()
    }

    /// Marks an attempt as given up if a part of it has gone out; whether that is so.
    pub(super) fn give_up_writing(&mut self, attempt: AttemptId) -> bool {
        match &mut self.writing {
            Some((id, given_up)) if *id == attempt => {
                *given_up = true;
                true
            }
            _ => false,
        }
    }

    /// Whether it carries something that was given up.
    pub(super) fn given_up(&self) -> bool {
        self.writing.is_some_and(|(_, given_up)| given_up) || self.sent.iter().any(|s| s.given_up)
    }

    /// Whether all that it carries was given up, so that its end takes nothing from anybody and keeps what is half written
    /// from arriving whole.
    pub(super) fn deserted(&self) -> bool {
        self.given_up()
            && self.unsent.is_empty()
            && self.writing.is_none_or(|(_, given_up)| given_up)
            && self.sent.iter().all(|s| s.given_up || s.owed == Owed::Word)
    }

    /// Takes everything out as the connection ends.
    pub(super) fn end(&mut self, refused: bool) -> ServerEvent {
        let written = self.sent.drain(..).filter(|s| s.owed != Owed::Word).map(|s| s.attempt).collect();
        let half_written = self.writing.take().map(|(attempt, _)| attempt).into_iter();
        let unwritten = half_written.chain(self.unsent.drain(..).map(|c| c.attempt)).collect();
        ServerEvent::Down { refused, written, unwritten }
    }
}

/// What the node and the task of a connection share.
#[derive(Default)]
pub(super) struct Shared {
    /// Its server's present number.
    pub(super) server: Cell<ServerId>,
    pub(super) line: RefCell<Line>,
    pub(super) wake: Notify,
    /// Until then a second answer to the last command may come: nothing is written that would take it for its own.
    pub(super) settles_at: Cell<Option<Instant>>,
}

/// A command of which the socket has taken the first bytes, and the others.
pub(super) struct Begun {
    pub(super) command: Command,
    pub(super) rest: Bytes,
}

impl Shared {
    /// Whether what comes next is the answer to a request.
    pub(super) fn expects_value(&self) -> bool {
        self.line.borrow().sent.front().is_some_and(|s| s.owed == Owed::Answer)
    }

    /// Whether there is a command to begin. One that is cancelled stays on record until the node takes it back.
    pub(super) fn has_unsent(&self, now: Instant) -> bool {
        self.line.borrow().next_unsent(now).is_some()
    }

    /// Until when the next command waits for a second answer to the one before; `None` where it need not.
    pub(super) fn unsettled_until(&self, now: Instant) -> Option<Instant> {
        let nothing_outstanding = self.line.borrow().sent.is_empty();
        self.settles_at.get().filter(|at| nothing_outstanding && *at > now)
    }

    /// Whether something else waits on the connection.
    pub(super) fn carries_more(&self) -> bool {
        self.line.borrow().load() > 1
    }

    /// Writes the first bytes of the first command that is still unsent, and puts it on record as begun in the same
    /// moment: until the socket takes a byte it can be taken back. Gives it with what is left to be written; `None` where
    /// there is none any more.
    pub(super) fn begin<W: AsyncWrite + Unpin>(
        &self,
        cx: &mut Context<'_>,
        writing: &mut W,
        now: Instant,
    ) -> Poll<Option<std::io::Result<Begun>>> {
        let mut line = self.line.borrow_mut();
        let Some(next) = line.next_unsent(now) else { return Poll::Ready(None) };
        let mut bytes = line.unsent[next].bytes(now);
        let written = match Pin::new(writing).poll_write(cx, &bytes) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Ok(written)) if written > 0 => written,
            Poll::Ready(Ok(_)) => return Poll::Ready(Some(Err(ErrorKind::WriteZero.into()))),
            Poll::Ready(Err(e)) => return Poll::Ready(Some(Err(e))),
        };
        let Some(command) = line.unsent.remove(next) else { return Poll::Ready(None) };
        line.writing = Some((command.attempt, false));
        if command.asking {
            // On record already: it may be answered while the command behind it is still being written.
            let word = Sent { attempt: command.attempt, owed: Owed::Word, given_up: false, written: now };
            line.sent.push_back(word);
        }
        bytes.advance(if mutation_active(Mutation::HalfWriteIsWhole) { bytes.len() } else { written });
        Poll::Ready(Some(Ok(Begun { command, rest: bytes })))
    }
}
