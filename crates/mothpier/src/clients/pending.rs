//! The replies that a client's connection still has to send, in the order of the commands.

use std::cell::Cell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

use brassrouter::RequestId;
use bytes::Bytes;
use tokio::sync::oneshot;

use super::BUSY_RETRY_MS;
use crate::cancellation::CancelGuard;
use crate::memory::Reservation;
use crate::messages::Answer;
use crate::metrics::{Ended, Metrics, RefusalReason};
use crate::resp;
use crate::streamed_value::StreamedValue;

/// Ready replies are combined into one write of about this size, in bytes.
const MAX_WRITE_BYTES: usize = 64 * 1024;

pub(super) enum ReplyState {
    Ready(Bytes),
    /// A value that has not been encoded, so that it is not copied.
    Value(Bytes),
    /// A value that is forwarded while it is being received.
    Streaming(StreamedValue),
    /// Waits for the node's answer.
    Forwarded(
        RequestId,
        oneshot::Receiver<Answer>,
        #[allow(dead_code, reason = "held for its drop")] CancelGuard,
    ),
}

/// A cache request, counted as pending until this is dropped.
pub(super) struct PendingRequest {
    pub(super) class: usize,
    pub(super) outcome: Ended,
    pub(super) pending_count: Rc<Cell<usize>>,
    /// It may be sent any number of times.
    pub(super) is_safe: bool,
    /// Reserved until the reply is written; `None` unless the request was forwarded to the node.
    pub(super) memory: Option<Reservation>,
}

impl PendingRequest {
    pub(super) fn new(
        (class, is_safe): (usize, bool),
        pending_count: &Rc<Cell<usize>>,
        memory: Option<Reservation>,
    ) -> Self {
        pending_count.set(pending_count.get() + 1);
        let (outcome, pending_count) = (Ended::Rejected, pending_count.clone());
        PendingRequest { class, outcome, pending_count, is_safe, memory }
    }

    /// Returns the reply to a request whose answer was given up for want of memory: a refusal, if the request may
    /// be sent again although it has run.
    fn abandon(&mut self, metrics: &Metrics) -> Bytes {
        if self.is_safe {
            metrics.count_refusal(RefusalReason::Memory);
            self.outcome = Ended::Rejected;
            return resp::error(&format!("BUSY {BUSY_RETRY_MS}"));
        }
        self.outcome = Ended::Failed;
        resp::error("ERR failed")
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.pending_count.set(self.pending_count.get() - 1);
    }
}

pub(super) struct PendingReply {
    pub(super) state: ReplyState,
    /// The request that is answered; `None` for other commands.
    pub(super) pending_request: Option<PendingRequest>,
}

impl PendingReply {
    pub(super) fn was_forwarded(&self) -> bool {
        self.pending_request.as_ref().is_some_and(|request| request.memory.is_some())
    }
}

/// Waits until the first reply is ready and returns how many at the front are. Cancel-safe.
pub(super) async fn count_ready_replies(pending: &mut VecDeque<PendingReply>, metrics: &Metrics) -> usize {
    poll_fn(|cx| {
        let (mut ready, mut size) = (0, 0);
        for reply in pending.iter_mut() {
            if let ReplyState::Forwarded(_, receiver, _) = &mut reply.state {
                let Poll::Ready(answer) = Pin::new(receiver).poll(cx) else { break };
                if let Some(pending_request) = &mut reply.pending_request {
                    pending_request.outcome = match &answer {
                        Ok(Answer::Value(_) | Answer::Streamed(_)) => Ended::Completed,
                        Ok(Answer::Busy(_)) => Ended::Rejected,
                        Ok(Answer::Failed) | Err(_) => Ended::Failed,
                    };
                }
                reply.state = match answer {
                    Ok(Answer::Streamed(value)) => ReplyState::Streaming(value),
                    Ok(Answer::Value(value)) => ReplyState::Value(value),
                    Ok(Answer::Busy(0)) => ReplyState::Ready(resp::error("BUSY")),
                    Ok(Answer::Busy(ms)) => ReplyState::Ready(resp::error(&format!("BUSY {ms}"))),
                    Ok(Answer::Failed) | Err(_) => ReplyState::Ready(resp::error("ERR failed")),
                };
            }
            let length = match &reply.state {
                ReplyState::Ready(bytes) | ReplyState::Value(bytes) => bytes.len(),
                // A streamed value is written on its own, once it is at the front.
                ReplyState::Streaming(_) if ready > 0 => break,
                ReplyState::Streaming(value) if value.begin() => {
                    ready = 1;
                    break;
                }
                ReplyState::Streaming(_) => {
                    let pending_request = reply.pending_request.as_mut();
                    let bytes = pending_request.map_or_else(Bytes::new, |request| request.abandon(metrics));
                    let length = bytes.len();
                    reply.state = ReplyState::Ready(bytes);
                    length
                }
                ReplyState::Forwarded(..) => break,
            };
            (ready, size) = (ready + 1, size + length);
            if size >= MAX_WRITE_BYTES {
                break;
            }
        }
        if ready > 0 { Poll::Ready(ready) } else { Poll::Pending }
    })
    .await
}

#[cfg(test)]
mod tests;
