//! Reads the answers on a connection to a cache server and hands each to the node.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use mothpier_net::{Net, ReadHalf};
use redis_protocol::resp2::types::BytesFrame;

use super::answer_times::settling_time;
use super::command::Owed;
use super::connection::Driver;
use super::large_value::pass_on;
use crate::messages::{ServerEvent, StreamedValue};
use crate::resp;

/// An answer that has begun comes whole within this time: values are small and the servers near. One that does
/// not is spoilt, and what waits behind it waits in vain.
const BEGUN: Duration = Duration::from_millis(250);
/// Read from a connection at once.
const READ: usize = 4096;

/// Said of an answer that was on its way before its command was written.
const TOO_SOON: &str = "an answer sooner than its server can give one";

/// The reading half of a connection.
pub(super) struct Reader<'a, N: Net, R: ReadHalf> {
    connection: &'a Driver<N>,
    reading: &'a R,
    buffer: BytesMut,
    /// When the answer that has not all come yet began to.
    begun: Option<Instant>,
    /// When the answer before it came.
    answered: Option<Instant>,
}

/// How reading more bytes went.
enum ReadMore {
    /// There may be more bytes now.
    Continued,
    /// An answer that had begun did not come whole in time.
    Late,
    /// The connection has ended.
    Ended,
}

impl<'a, N: Net, R: ReadHalf> Reader<'a, N, R> {
    /// Of a connection that stands.
    pub(super) fn new(connection: &'a Driver<N>, reading: &'a R) -> Self {
        Reader { connection, reading, buffer: BytesMut::new(), begun: None, answered: None }
    }

    /// Reads until the connection ends, or has to.
    pub(super) async fn run(mut self) {
        loop {
            // What lies behind an answer that nothing waits behind belongs to no command, and would be taken for the
            // beginning of the next answer: the connection is closed before anything more is written.
            if !self.buffer.is_empty() && self.connection.shared.line.borrow().sent.is_empty() {
                return self.log("more than was asked for");
            }
            let large = resp::begins_large(&self.buffer).filter(|_| self.connection.shared.expects_value());
            if let Some(large) = large {
                if self.pass_value_on(large).await.is_none() {
                    return;
                }
                self.answered = Some(self.connection.net.now());
                continue;
            }
            let taken = resp::take_frame(&mut self.buffer);
            if let Ok(None) = taken {
                match self.read_more().await {
                    ReadMore::Continued => continue,
                    ReadMore::Late => {}
                    ReadMore::Ended => return,
                }
            }
            self.begun = None;
            if self.hand_over(taken).await.is_none() {
                return;
            }
        }
    }

    /// Passes a value on that is too large to be held; `None` where the connection has to end.
    async fn pass_value_on(&mut self, large: resp::Begun) -> Option<()> {
        self.begun = None;
        let connection = self.connection;
        let shared = &connection.shared;
        let (attempt, written) = shared.line.borrow().sent.front().map(|s| (s.attempt, s.written))?;
        if !self.in_time(written) {
            return self.hand_over(Err(resp::Malformed(TOO_SOON))).await;
        }
        let (put, value) = StreamedValue::of(large.length);
        connection.events.send(connection.input(ServerEvent::Began(attempt, value))).await.ok()?;
        let memory = &connection.limits.held;
        let frame =
            pass_on(&connection.net, (shared, memory), self.reading, &mut self.buffer, large, put).await?;
        let place = connection.events.reserve().await.ok()?;
        shared.line.borrow_mut().sent.pop_front();
        place.send(connection.input(ServerEvent::Answer(attempt, frame)));
        Some(())
    }

    /// Reads more bytes into the buffer, which holds no whole answer.
    async fn read_more(&mut self) -> ReadMore {
        if self.buffer.is_empty() {
            (self.buffer, self.begun) = (BytesMut::new(), None);
        }
        let net = &self.connection.net;
        let until = (!self.buffer.is_empty()).then(|| *self.begun.get_or_insert_with(|| net.now()) + BEGUN);
        let read = async {
            self.reading.readable().await?;
            self.buffer.reserve(READ);
            self.reading.try_read_buf(&mut self.buffer)
        };
        let read = match until {
            None => Some(read.await),
            Some(until) => net.timeout_at(until, read).await,
        };
        match read {
            // The node's own limit: a connection that the kernel gave up (ETIMEDOUT) has ended.
            None => ReadMore::Late,
            Some(Ok(1..)) => ReadMore::Continued,
            Some(Err(e)) if e.kind() == ErrorKind::WouldBlock => ReadMore::Continued,
            Some(_) => ReadMore::Ended,
        }
    }

    /// Hands what was read to the node as the answer to the oldest command; `None` where the connection has to end.
    async fn hand_over(&mut self, taken: Result<Option<BytesFrame>, resp::Malformed>) -> Option<()> {
        let connection = self.connection;
        let (shared, tier) = (&connection.shared, connection.limits.tier);
        // It leaves the record in the moment in which the word of it is on its way: between the two nobody would
        // know of it, and what may have run would count as never sent.
        let word = shared.line.borrow().sent.front().is_some_and(|s| s.owed == Owed::Word);
        let place = if word { None } else { connection.events.reserve().await.ok() };
        let sent = shared.line.borrow_mut().sent.pop_front()?;
        let took = connection.net.since(sent.written);
        let soon = sent.owed != Owed::Word && !self.in_time(sent.written);
        self.answered = Some(connection.net.now());
        let frame = taken.ok().flatten().filter(|frame| !soon && fits(frame, sent.owed, tier));
        if sent.owed == Owed::Word {
            // What it says of the command itself follows: an error here shows there.
            if frame.is_none() {
                self.log("a word that can't be read");
            }
            return frame.map(|_| ());
        }
        if let Some(settles) = settling_time(took) {
            shared.settles_at.set(Some(connection.net.now() + settles));
        }
        let good = frame.is_some();
        let event = match frame {
            Some(frame) => ServerEvent::Answer(sent.attempt, frame),
            None => ServerEvent::Spoilt(sent.attempt),
        };
        // Before the node hears of it, which may have something more to write.
        let waits = !shared.line.borrow().sent.is_empty();
        shared.line.borrow_mut().ending = !good || !(self.buffer.is_empty() || waits);
        place?.send(connection.input(event));
        if !good {
            self.log(if soon { TOO_SOON } else { "an answer that can't be read" });
            return None;
        }
        Some(())
    }

    /// Whether an answer that comes now can be the one to a command that was written then.
    fn in_time(&self, written: Instant) -> bool {
        let now = self.connection.net.now();
        let since_last_answer = self.answered.map(|at| now.saturating_duration_since(at));
        self.connection.answer_times.accept(now.saturating_duration_since(written), since_last_answer)
    }

    fn log(&self, what: &str) {
        self.connection.net.log(format_args!("{}: {what}", self.connection.address));
    }
}

/// Whether a frame can be the answer to a command: an array of the value or null, how it went and the load report, of
/// which only the module reads more; or an error line. A probe is answered with the report alone.
fn fits(frame: &BytesFrame, owed: Owed, tier: bool) -> bool {
    match frame {
        BytesFrame::Error(_) => true,
        BytesFrame::SimpleString(_) => owed == Owed::Word,
        // A node of the tier answers with the value alone.
        BytesFrame::BulkString(_) => owed == Owed::Report || (tier && owed == Owed::Answer),
        BytesFrame::Array(_) if tier => false,
        BytesFrame::Array(parts) if owed == Owed::Answer => {
            let [value, how, report] = parts.as_slice() else { return false };
            let word = |f: &BytesFrame| {
                matches!(f, BytesFrame::BulkString(_) | BytesFrame::SimpleString(_) | BytesFrame::Null)
            };
            // Of an answer that stops short behind its value the rest is made up of the answers behind it: an array or an
            // error line is the next command's answer, which would then be given that of the one after. A report that
            // only can't be read takes nothing from the value.
            let next = matches!(report, BytesFrame::Array(_) | BytesFrame::Error(_));
            matches!(value, BytesFrame::BulkString(_) | BytesFrame::Null) && word(how) && !next
        }
        _ => false,
    }
}
