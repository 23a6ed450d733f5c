//! A command to be written to a cache server, and the reply that is expected for it.

use std::time::Instant;

use bytes::Bytes;

use crate::cancellation::CancelToken;
use crate::messages::AttemptId;
use crate::resp;
use crate::segments::Segments;
use crate::time_budget::TimeBudget;

/// What is written for an attempt.
pub enum Payload {
    /// A request for the load report alone, which has an answer of its own form.
    Probe(Bytes),
    /// A client's command, which states the remaining time as of its first written byte.
    Request(TimeBudget),
}

/// A command to be written.
pub struct Command {
    pub attempt: AttemptId,
    pub payload: Payload,
    /// Whether `ASKING` is sent right before it.
    pub asking: bool,
}

impl Command {
    /// Returns the bytes to send if writing begins now. `ASKING` is part of the same write, so that nothing
    /// can come between.
    pub(super) fn segments(&self, now: Instant) -> Segments {
        let mut segments = match &self.payload {
            Payload::Probe(bytes) => bytes.clone().into(),
            Payload::Request(budget) => budget.for_server(now),
        };
        if self.asking {
            segments.prepend(&resp::command(["ASKING".into()]));
        }
        segments
    }

    /// Returns the client that waits for the answer.
    pub(super) fn client(&self) -> CancelToken {
        match &self.payload {
            Payload::Probe(_) => CancelToken::default(),
            Payload::Request(budget) => budget.command.cancel.clone(),
        }
    }

    /// Returns whether nobody waits for the command any more, so that writing it must not begin.
    pub(super) fn is_cancelled(&self, now: Instant) -> bool {
        matches!(&self.payload, Payload::Request(budget) if budget.command.cancel.is_cancelled(now))
    }

    /// Returns the reply that is expected for the command.
    pub(super) fn expected_reply(&self) -> ExpectedReply {
        match &self.payload {
            Payload::Probe(_) => ExpectedReply::LoadReport,
            Payload::Request(budget) if budget.command.write => ExpectedReply::Receipt,
            Payload::Request(_) => ExpectedReply::Value,
        }
    }
}

/// The reply that is expected for something written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExpectedReply {
    /// The answer to a read.
    Value,
    /// The answer to a write.
    Receipt,
    /// The load report.
    LoadReport,
    /// The acknowledgement of `ASKING` or `READONLY`, which carries no result.
    Acknowledgement,
}

impl ExpectedReply {
    /// Returns whether it is the answer to a request.
    pub(super) fn is_answer(self) -> bool {
        matches!(self, ExpectedReply::Value | ExpectedReply::Receipt)
    }
}
