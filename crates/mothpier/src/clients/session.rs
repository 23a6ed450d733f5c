//! One client's connection, from its first byte to its close.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use mothpier_net::{Net, ReadHalf};
use mothpier_session::Connection as Told;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::{Notify, OwnedSemaphorePermit};

use super::Clients;
use super::pending::{Slot, Wait, ready_answers};
use super::socket::{Unread, gone, part, pass_on, quiet, read};
use crate::cancellation::ConnectionProbe;
use crate::guards;
use crate::metrics::CloseReason;
use crate::resp::{self, MAX_PASSED, MAX_VALUE, Malformed};
use crate::{Mutation, mutation_active};

/// Answers of one connection that may wait, refusals and errors too; a client that goes on beyond is cut off.
const MAX_WAITING: usize = 1024;
/// A client that takes none of its answer for this long is cut off.
pub(super) const SLOW_READER: Duration = Duration::from_secs(10);
/// A first command, and the rest of one that has begun, must come within this time: bad clients are owed an
/// error or a close within 3 s.
const HALF: Duration = Duration::from_secs(2);
/// A connection that comes when others close has so long to ask.
const FIRST: Duration = Duration::from_millis(300);
/// A connection that asks nothing for so long is closed: some clients keep theirs for good. The shorter time holds
/// once half of the connections that there may be are open, for clients can hold only so many and those that are
/// kept keep others out.
const IDLE: (Duration, Duration) = (Duration::from_secs(10), Duration::from_millis(2100));
/// How often an idle connection looks whether many have become open meanwhile.
const IDLE_LOOK: Duration = Duration::from_millis(250);

pub(super) struct Session<N> {
    pub(super) clients: Rc<Clients<N>>,
    pub(super) number: u64,
    /// In the order of the commands.
    pub(super) pending: VecDeque<Slot>,
    /// How many of them are requests that went on.
    pub(super) asked: usize,
    /// It has sent a command in the agreed form.
    pub(super) known: bool,
    /// No more commands are read: the last answer closes.
    pub(super) ended: bool,
    /// The command that is coming has a large value, for which this memory is held.
    pub(super) large: Option<OwnedSemaphorePermit>,
    /// Bytes still to come of a value that was turned away.
    pub(super) skip: usize,
    /// What a slot-aware client has told of its connection.
    pub(super) told: Told,
    /// Asked right before anything is written for this client.
    pub(super) probe: Rc<ConnectionProbe>,
}

impl<N: Net> Session<N> {
    pub(super) async fn run<R: ReadHalf, W: AsyncWrite + Unpin>(
        &mut self,
        reading: &R,
        mut writing: W,
        evict: Rc<Notify>,
    ) -> CloseReason {
        let clients = self.clients.clone();
        let net = clients.net.clone();
        let mut buffer = BytesMut::new();
        let mut came = (clients.now)();
        let connected = net.now();
        // When the command that has not all come yet began to.
        let mut begun = None;
        // Since when nothing was asked and nothing owed.
        let mut rests = connected;
        loop {
            while !self.ended && !buffer.is_empty() {
                let skipped = self.skip.min(buffer.len());
                buffer.advance(skipped);
                self.skip -= skipped;
                if self.skip > 0 || buffer.is_empty() {
                    break;
                }
                let most = if self.large.is_some() { MAX_PASSED } else { MAX_VALUE };
                match resp::take_command(&mut buffer, most) {
                    Ok(Some(frame)) => {
                        begun = None;
                        // It may wait for the queue.
                        tokio::select! {
                            biased;
                            () = self.command(frame, came) => {}
                            () = gone(&net, reading, Unread::Left) => return CloseReason::ClientGone,
                        }
                        self.large = None;
                    }
                    Ok(None) => break,
                    Err(e) => match resp::large_command(&buffer).filter(|_| self.large.is_none()) {
                        Some(large) => self.large(large, &mut buffer),
                        None => self.protocol_error(e),
                    },
                }
                if self.pending.len() > MAX_WAITING {
                    self.protocol_error(Malformed("too many commands at once"));
                }
            }
            if self.skip > 0 {
                begun.get_or_insert_with(|| net.now());
            } else if self.ended || buffer.is_empty() {
                begun = None;
                // An idle connection must not keep the room that its largest command took.
                buffer = BytesMut::new();
            } else {
                begun.get_or_insert_with(|| net.now());
            }
            let idle = self.pending.is_empty();
            let now = net.now();
            if let Some(entry) = clients.open.borrow_mut().get_mut(&self.number) {
                (entry.idle, entry.known) = (idle.then_some(rests), self.known);
            }
            if self.ended && idle {
                part(&net, reading, &mut writing, Unread::Dropped).await;
                return CloseReason::Ended;
            }
            let word = clients.phase.word();
            let closing = clients.phase.closing() && !mutation_active(Mutation::KeptIdle);
            // One that is never between two requests is read no further once those who close have had their time, but for
            // the rest of a command that had begun by then: behind every whole one may stand a part of the next.
            let cut = clients.phase.cut().filter(|cut| match begun {
                None => !idle && !self.ended,
                Some(begun) => self.known && begun >= *cut && !self.ended,
            });
            if idle && cut.is_some() {
                part(&net, reading, &mut writing, Unread::Left).await;
                return CloseReason::Draining;
            }
            let reads = !self.ended && cut.is_none_or(|cut| now < cut);
            let first = (!self.known && idle).then_some(connected + HALF);
            // A large value may take as long as it goes on coming.
            let coming = self.large.is_some() || self.skip > 0;
            let half = begun
                .filter(|_| !self.ended && !mutation_active(Mutation::HalfCommandKept))
                .map(|since| if coming { rests } else { since } + HALF);
            // A connection that has only just come is about to ask: it may be a front that asks whether the node is back.
            let asks = !self.known && (!clients.phase.is_shut() || clients.phase.is_left());
            let rest = idle.then_some(if closing && begun.is_none() {
                if asks { connected + FIRST } else { now }
            } else if rests + IDLE.1 > now || clients.crowded() {
                rests + IDLE.1
            } else {
                // Looked at again meanwhile: others may have come.
                (now + IDLE_LOOK).min(rests + IDLE.0)
            });
            let limit = [first, half, rest, cut.filter(|_| reads)].into_iter().flatten().min();
            tokio::select! {
                biased;
                ready = ready_answers(&mut self.pending), if !idle => {
                    let bytes = self.take_answers(ready);
                    let (held, mut came_meanwhile) = (!buffer.is_empty(), None);
                    let probe = self.probe.clone();
                    let mut note = || {
                        came_meanwhile.get_or_insert_with(|| (clients.now)());
                        probe.stands(net.now());
                    };
                    let unread = match (self.ended, reads) {
                        (true, _) => Unread::Dropped,
                        (_, true) => Unread::Kept(&mut buffer, &mut note),
                        (_, false) => Unread::Left,
                    };
                    let write = async {
                        match self.pending.front_mut().map(|slot| &mut slot.wait) {
                            Some(Wait::Passing(value)) => Some(pass_on(&net, &mut writing, value).await),
                            _ => net.timeout(SLOW_READER, writing.write_all(&bytes)).await,
                        }
                    };
                    // Who takes nothing of its answer may have gone, with others behind it that wait at the node.
                    let whole = tokio::select! {
                        biased;
                        whole = write => whole,
                        () = gone(&net, reading, unread) => return CloseReason::ClientGone,
                    };
                    if let Some(at) = came_meanwhile.filter(|_| !held) {
                        came = at;
                    }
                    rests = net.now();
                    let ended = self.pending.drain(..ready).filter_map(|slot| slot.taken);
                    match whole {
                        Some(Ok(())) => {}
                        Some(Err(_)) => return CloseReason::ClientGone,
                        None => return CloseReason::SlowReader,
                    }
                    ended.for_each(|taken| clients.figures.ended(taken.class, taken.ended));
                    let cut = clients.phase.cut().filter(|cut| *cut <= net.now());
                    if cut.is_some_and(|cut| begun.map_or(buffer.is_empty(), |begun| begun >= cut))
                        && self.pending.is_empty()
                    {
                        part(&net, reading, &mut writing, Unread::Left).await;
                        return CloseReason::Draining;
                    }
                }
                more = read(reading, &mut buffer), if reads => {
                    // A client that closes has gone away: what it asked for is not wanted any more.
                    if !more {
                        return CloseReason::ClientGone;
                    }
                    (came, rests) = ((clients.now)(), net.now());
                    self.probe.stands(rests);
                }
                // What is not read is watched all the same, for the requests that wait.
                () = gone(&net, reading, if self.ended { Unread::Dropped } else { Unread::Left }), if !reads => {
                    return CloseReason::ClientGone;
                }
                () = evict.notified(), if idle => {
                    if quiet(&net, reading, &mut buffer).await {
                        return self.closes(CloseReason::Evicted);
                    }
                    (came, rests) = ((clients.now)(), net.now());
                }
                () = net.sleep_until(limit.unwrap_or(now)), if limit.is_some() => {
                    if cut.is_some_and(|cut| cut <= net.now()) {
                        // Read no further from here on.
                    } else if !quiet(&net, reading, &mut buffer).await {
                        (came, rests) = ((clients.now)(), net.now());
                    } else if half.is_some_and(|half| half <= net.now()) {
                        self.protocol_error(Malformed("the rest of the command has not come"));
                    } else if !self.known || closing || clients.crowded() || net.since(rests) >= IDLE.0 {
                        return self.closes(if closing { CloseReason::Draining } else { CloseReason::Idle });
                    }
                }
                () = word, if !closing => {}
            }
        }
    }

    /// The node closes the connection by its own choice.
    fn closes(&self, reason: CloseReason) -> CloseReason {
        if let Err(invariant) = guards::may_close(self.pending.len()) {
            self.clients.violated(invariant, self.number);
        }
        reason
    }

    /// Marks the answers as taken and gives their bytes.
    fn take_answers(&mut self, ready: usize) -> Bytes {
        let mut all = BytesMut::new();
        for slot in self.pending.iter().take(ready) {
            self.asked -= usize::from(slot.went_on());
            match &slot.wait {
                Wait::Ready(bytes) if mutation_active(Mutation::DoubleAnswer) && slot.went_on() => {
                    all.extend_from_slice(bytes);
                    all.extend_from_slice(bytes);
                }
                Wait::Ready(bytes) if ready == 1 => return bytes.clone(),
                Wait::Ready(bytes) => all.extend_from_slice(bytes),
                Wait::Node(..) | Wait::Passing(_) => {}
            }
        }
        all.freeze()
    }
}
