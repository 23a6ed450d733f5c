//! A command that is to be written to a cache server, and what the server owes for it.

use std::time::Instant;

use bytes::Bytes;

use crate::messages::AttemptId;
use crate::resp;
use crate::time_budget::TimeBudget;

/// What is written for an attempt.
pub enum Payload {
    /// It asks for the load only, which has another answer.
    Probe(Bytes),
    /// A client's command, which tells how much time is left as its first byte is written.
    Request(TimeBudget),
}

/// A command that is to be written.
pub struct Command {
    pub attempt: AttemptId,
    pub payload: Payload,
    /// `ASKING` goes right before it.
    pub asking: bool,
}

impl Command {
    /// What goes out if its first byte is written now. `ASKING` is part of the same write, so that nothing comes between.
    pub(super) fn bytes(&self, now: Instant) -> Bytes {
        let bytes = match &self.payload {
            Payload::Probe(bytes) => bytes.clone(),
            Payload::Request(budget) => budget.for_server(now),
        };
        if !self.asking {
            return bytes;
        }
        [resp::command(["ASKING".into()]), bytes].concat().into()
    }

    /// Whether nobody waits for it any more, so that it is not begun.
    pub(super) fn is_cancelled(&self, now: Instant) -> bool {
        matches!(&self.payload, Payload::Request(budget) if budget.command.cancel.is_cancelled(now))
    }

    /// What its server owes for it.
    pub(super) fn owed(&self) -> Owed {
        match self.payload {
            Payload::Probe(_) => Owed::Report,
            Payload::Request(_) => Owed::Answer,
        }
    }
}

/// What is owed for something that was written.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Owed {
    /// The answer to a request.
    Answer,
    /// The load.
    Report,
    /// A word that changes nothing, for `ASKING` or `READONLY`.
    Word,
}
