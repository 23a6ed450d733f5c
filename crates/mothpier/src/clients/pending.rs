//! The replies that a client's connection still has to send, in the order of the commands.

use std::cell::Cell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

use brassrouter::RequestId;
use bytes::Bytes;
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::{OwnedSemaphorePermit, oneshot};

use crate::cancellation::CancelGuard;
use crate::messages::{Answer, StreamedValue};
use crate::metrics::Ended;
use crate::resp;

/// Ready replies are combined into one write of about this size, in bytes.
const MAX_WRITE_BYTES: usize = 64 * 1024;

pub(super) enum ReplyState {
    Ready(Bytes),
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
    /// Reserved until the reply is written; `None` unless the request was forwarded to the node.
    pub(super) memory: Option<OwnedSemaphorePermit>,
}

impl PendingRequest {
    pub(super) fn new(
        class: usize,
        pending_count: &Rc<Cell<usize>>,
        memory: Option<OwnedSemaphorePermit>,
    ) -> Self {
        pending_count.set(pending_count.get() + 1);
        PendingRequest { class, outcome: Ended::Rejected, pending_count: pending_count.clone(), memory }
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
pub(super) async fn count_ready_replies(pending: &mut VecDeque<PendingReply>) -> usize {
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
                reply.state = ReplyState::Ready(match answer {
                    Ok(Answer::Streamed(value)) => {
                        reply.state = ReplyState::Streaming(value);
                        // A streamed value is written on its own, once it is at the front.
                        ready += usize::from(ready == 0);
                        break;
                    }
                    Ok(Answer::Value(value)) => resp::encode(&BytesFrame::BulkString(value)),
                    Ok(Answer::Busy(0)) => resp::error("BUSY"),
                    Ok(Answer::Busy(ms)) => resp::error(&format!("BUSY {ms}")),
                    Ok(Answer::Failed) | Err(_) => resp::error("ERR failed"),
                });
            }
            if matches!(reply.state, ReplyState::Streaming(_)) {
                ready += usize::from(ready == 0);
                break;
            }
            let ReplyState::Ready(bytes) = &reply.state else { break };
            (ready, size) = (ready + 1, size + bytes.len());
            if size >= MAX_WRITE_BYTES {
                break;
            }
        }
        if ready > 0 { Poll::Ready(ready) } else { Poll::Pending }
    })
    .await
}
