//! The commands on one connection: those still unsent, the one being written and those waiting for an answer.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io::ErrorKind;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Instant;

use brassrouter::ServerId;
use bytes::Buf;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::Notify;

use super::command::{Command, ExpectedReply};
use crate::cancellation::CancelToken;
use crate::messages::{AttemptId, ServerEvent};
use crate::segments::Segments;
use crate::{Mutation, mutation_active};

/// A command that was written completely, or an `ASKING` or `READONLY`.
pub(super) struct SentCommand {
    pub(super) attempt: AttemptId,
    pub(super) expected_reply: ExpectedReply,
    /// The node no longer waits for its answer.
    pub(super) given_up: bool,
    /// Just before its last byte was written. After the write, the process may get no CPU time for longer than the
    /// server takes for the answer, and the answer would seem to have come too soon.
    pub(super) written: Instant,
    /// The client that waits for its answer.
    pub(super) client: CancelToken,
}

/// The commands on one connection.
#[derive(Default)]
pub(super) struct Pipeline {
    pub(super) up: bool,
    /// The connection can no longer be used and is about to end.
    pub(super) ending: bool,
    /// Commands of which no byte has been sent. If the server reads nothing, the first of them may stay here
    /// for long.
    pub(super) unsent: VecDeque<Command>,
    /// The command that has been sent in part, and whether it was given up.
    pub(super) writing: Option<(AttemptId, bool)>,
    /// In the order in which they were written.
    pub(super) sent: VecDeque<SentCommand>,
    /// A large value is being streamed; answers behind it wait for the client that reads it.
    pub(super) streaming: bool,
}

impl Pipeline {
    /// Returns the number of commands on the connection.
    pub(super) fn command_count(&self) -> usize {
        self.unsent.len() + self.sent.len() + usize::from(self.writing.is_some())
    }

    /// Returns the index of the first command to be written.
    fn next_unsent(&self, now: Instant) -> Option<usize> {
        self.unsent.iter().position(|command| !command.is_cancelled(now))
    }

    /// Returns whether commands written now might never be answered, because a streamed value or something
    /// given up is ahead.
    pub(super) fn is_stalled(&self) -> bool {
        self.streaming || self.has_given_up()
    }

    /// Marks an attempt as given up if part of it has been sent. Returns whether that is so.
    pub(super) fn give_up_writing(&mut self, attempt: AttemptId) -> bool {
        match &mut self.writing {
            Some((id, given_up)) if *id == attempt => {
                *given_up = true;
                true
            }
            _ => false,
        }
    }

    /// Returns whether any command on the connection was given up.
    pub(super) fn has_given_up(&self) -> bool {
        self.writing.is_some_and(|(_, given_up)| given_up) || self.sent.iter().any(|s| s.given_up)
    }

    /// Returns whether all commands on the connection were given up. Closing it then affects no other
    /// attempt, and prevents a partly written command from arriving completely.
    pub(super) fn is_abandoned(&self) -> bool {
        self.has_given_up()
            && self.unsent.is_empty()
            && self.writing.is_none_or(|(_, given_up)| given_up)
            && self.sent.iter().all(|s| s.given_up || s.expected_reply == ExpectedReply::Acknowledgement)
    }

    /// Removes all commands when the connection ends, and returns the event that reports them.
    pub(super) fn take_all(&mut self, refused: bool) -> ServerEvent {
        let written = self
            .sent
            .drain(..)
            .filter(|s| s.expected_reply != ExpectedReply::Acknowledgement)
            .map(|s| s.attempt)
            .collect();
        let half_written = self.writing.take().map(|(attempt, _)| attempt).into_iter();
        let unwritten = half_written.chain(self.unsent.drain(..).map(|c| c.attempt)).collect();
        ServerEvent::Down { refused, written, unwritten }
    }
}

/// State shared by the node and the task of a connection.
#[derive(Default)]
pub(super) struct SharedState {
    /// The current number of the server.
    pub(super) server: Cell<ServerId>,
    pub(super) pipeline: RefCell<Pipeline>,
    pub(super) wake: Notify,
    /// Until this time a duplicate answer to the last command may arrive. Nothing is written until then,
    /// since the duplicate would be taken for the answer to it.
    pub(super) settles_at: Cell<Option<Instant>>,
}

/// A command of which the socket has accepted the first bytes, and the rest of its bytes.
pub(super) struct BegunWrite {
    pub(super) command: Command,
    rest: Segments,
    /// Just before the last bytes so far were written.
    pub(super) written: Instant,
}

impl BegunWrite {
    /// Writes the rest of the command.
    ///
    /// # Errors
    ///
    /// Fails if the server does not take it.
    pub(super) async fn write_rest<W: AsyncWrite + Unpin>(
        &mut self,
        write_half: &mut W,
        now: impl Fn() -> Instant,
    ) -> std::io::Result<()> {
        while self.rest.has_remaining() {
            let mut write = pin!(write_half.write_buf(&mut self.rest));
            let timed_write = poll_fn(|cx| {
                let written = now();
                write.as_mut().poll(cx).map(|result| (result, written))
            });
            let (result, written) = timed_write.await;
            if result? == 0 {
                return Err(ErrorKind::WriteZero.into());
            }
            self.written = written;
        }
        Ok(())
    }
}

impl SharedState {
    /// Returns whether the next reply is the answer to a request.
    pub(super) fn expects_value(&self) -> bool {
        self.pipeline.borrow().sent.front().is_some_and(|s| s.expected_reply.is_answer())
    }

    /// Returns whether there is a command to be written. A cancelled one stays on record until the node
    /// withdraws it.
    pub(super) fn has_unsent(&self, now: Instant) -> bool {
        self.pipeline.borrow().next_unsent(now).is_some()
    }

    /// Returns until when the next command must wait for a duplicate of the last answer, if it must.
    pub(super) fn unsettled_until(&self, now: Instant) -> Option<Instant> {
        let nothing_outstanding = self.pipeline.borrow().sent.is_empty();
        self.settles_at.get().filter(|at| nothing_outstanding && *at > now)
    }

    /// Returns whether a client can be sent nothing until another command on the connection is answered.
    pub(super) fn blocks_a_client(&self) -> bool {
        let pipeline = self.pipeline.borrow();
        let is_sent = pipeline.sent.iter().skip(1).any(|s| s.client.is_next());
        is_sent || pipeline.unsent.iter().any(|command| command.client().is_next())
    }

    /// Returns whether other commands wait on the connection.
    pub(super) fn has_other_commands(&self) -> bool {
        self.pipeline.borrow().command_count() > 1
    }

    /// Writes the first bytes of the first unsent command and marks it as being written in the same step: it
    /// can be withdrawn until the socket accepts a byte. Returns it with the bytes left to be written, or
    /// `None` if there is no such command any more.
    pub(super) fn begin_write<W: AsyncWrite + Unpin>(
        &self,
        cx: &mut Context<'_>,
        write_half: &mut W,
        now: Instant,
    ) -> Poll<Option<std::io::Result<BegunWrite>>> {
        let mut pipeline = self.pipeline.borrow_mut();
        let Some(next) = pipeline.next_unsent(now) else { return Poll::Ready(None) };
        let mut segments = pipeline.unsent[next].segments(now);
        let length = match Pin::new(write_half).poll_write(cx, segments.chunk()) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Ok(length)) if length > 0 => length,
            Poll::Ready(Ok(_)) => return Poll::Ready(Some(Err(ErrorKind::WriteZero.into()))),
            Poll::Ready(Err(e)) => return Poll::Ready(Some(Err(e))),
        };
        let Some(command) = pipeline.unsent.remove(next) else { return Poll::Ready(None) };
        pipeline.writing = Some((command.attempt, false));
        if command.asking {
            // On record now, since it may be answered while the command behind it is still being written.
            let acknowledgement = SentCommand {
                attempt: command.attempt,
                expected_reply: ExpectedReply::Acknowledgement,
                given_up: false,
                written: now,
                client: CancelToken::default(),
            };
            pipeline.sent.push_back(acknowledgement);
        }
        let whole = mutation_active(Mutation::HalfWriteIsWhole);
        segments.advance(if whole { segments.remaining() } else { length });
        Poll::Ready(Some(Ok(BegunWrite { command, rest: segments, written: now })))
    }
}
