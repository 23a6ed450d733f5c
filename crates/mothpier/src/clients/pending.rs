//! What a client's connection owes: its answers, in the order of the commands.

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

/// Answers that are ready are put into one write up to about this size.
const WRITE: usize = 64 * 1024;

pub(super) enum Wait {
    Ready(Bytes),
    /// A value that is passed on as it comes.
    Passing(StreamedValue),
    Node(RequestId, oneshot::Receiver<Answer>, #[allow(dead_code, reason = "held for its drop")] CancelGuard),
}

/// A request of a class: it is pending for as long as this lives.
pub(super) struct Taken {
    pub(super) class: usize,
    pub(super) ended: Ended,
    pub(super) pending: Rc<Cell<usize>>,
    /// Held until the answer is written; only requests that went on have it.
    pub(super) memory: Option<OwnedSemaphorePermit>,
}

impl Taken {
    pub(super) fn of(class: usize, pending: &Rc<Cell<usize>>, memory: Option<OwnedSemaphorePermit>) -> Self {
        pending.set(pending.get() + 1);
        Taken { class, ended: Ended::Rejected, pending: pending.clone(), memory }
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.pending.set(self.pending.get() - 1);
    }
}

pub(super) struct Slot {
    pub(super) wait: Wait,
    /// What is answered, where it is a request of a class.
    pub(super) taken: Option<Taken>,
}

impl Slot {
    pub(super) fn went_on(&self) -> bool {
        self.taken.as_ref().is_some_and(|t| t.memory.is_some())
    }
}

/// How many answers are ready at the front, once one is. Safe to drop and call again.
pub(super) async fn ready_answers(pending: &mut VecDeque<Slot>) -> usize {
    poll_fn(|cx| {
        let (mut ready, mut size) = (0, 0);
        for slot in pending.iter_mut() {
            if let Wait::Node(_, receiver, _) = &mut slot.wait {
                let Poll::Ready(answer) = Pin::new(receiver).poll(cx) else { break };
                if let Some(taken) = &mut slot.taken {
                    taken.ended = match &answer {
                        Ok(Answer::Value(_) | Answer::Streamed(_)) => Ended::Completed,
                        Ok(Answer::Busy(_)) => Ended::Rejected,
                        Ok(Answer::Failed) | Err(_) => Ended::Failed,
                    };
                }
                slot.wait = Wait::Ready(match answer {
                    Ok(Answer::Streamed(value)) => {
                        slot.wait = Wait::Passing(value);
                        // Alone, once it is at the front.
                        ready += usize::from(ready == 0);
                        break;
                    }
                    Ok(Answer::Value(value)) => resp::encode(&BytesFrame::BulkString(value)),
                    Ok(Answer::Busy(0)) => resp::error("BUSY"),
                    Ok(Answer::Busy(ms)) => resp::error(&format!("BUSY {ms}")),
                    Ok(Answer::Failed) | Err(_) => resp::error("ERR failed"),
                });
            }
            if matches!(slot.wait, Wait::Passing(_)) {
                ready += usize::from(ready == 0);
                break;
            }
            let Wait::Ready(bytes) = &slot.wait else { break };
            (ready, size) = (ready + 1, size + bytes.len());
            if size >= WRITE {
                break;
            }
        }
        if ready > 0 { Poll::Ready(ready) } else { Poll::Pending }
    })
    .await
}
