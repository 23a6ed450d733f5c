//! Connections to the cache servers, and which of them carries an attempt. RESP2, answers in order.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::poll_fn;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use brassrouter::ServerId;
use bytes::{Buf, Bytes, BytesMut};
use mothpier_net::{Net, Reading, Stream, Task};
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{Notify, Semaphore, mpsc};

use crate::figures::Figures;
use crate::messages::{AttemptId, Input, Passing, ServerEvent as Event};
use crate::succession::Share;
use crate::time_budget::TimeBudget;
use crate::{Plant, planted, resp};

/// Connections of the whole tier to one server that are aimed at: servers hold few, each takes some of its
/// capacity, and the nodes share them.
const TIER_CONNECTIONS: usize = 32;
/// Most of one node to one server.
const MOST_CONNECTIONS: usize = 4;
/// A connection idle for this part of the time after which servers close it is not used again.
const FRESH: f64 = 0.7;
/// A second answer to the same command comes within this time of the first, or not.
const SETTLED: Duration = Duration::from_millis(10);
/// After a refused connection none beside those that work is opened for this long.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// An answer that has begun comes whole within this time: values are small and the servers near. One that does
/// not is spoilt, and what waits behind it waits in vain.
const BEGUN: Duration = Duration::from_millis(250);

/// A value that is passed on has stopped when nothing more of it has come for so long while its client would take more.
const STALLED: Duration = Duration::from_secs(2);

/// A server's former number is known for so long: longer than any attempt is out.
const REMEMBERED: Duration = Duration::from_secs(600);

/// Read from a connection at once, and of a value that is passed on.
const READ: usize = 4096;
const READ_PASSED: usize = 16 * 1024;

/// How an attempt at a cache server ended.
pub enum Ended {
    /// A frame of the agreed form came back for it.
    Answered(BytesFrame),
    /// Its answer has begun, with a value too large to be held.
    Began(Passing),
    /// What came back can't be an answer to it. It has run; the connection is closed.
    Spoilt,
    /// The connection ended after its last byte was written.
    Reset,
    /// Its last byte was never written: it cannot have run.
    NotConnected,
}

/// Limits of the connections.
#[derive(Clone)]
pub struct Limits {
    pub balancers: usize,
    pub multiplex: usize,
    pub idle_close: Duration,
    pub connect_timeout: Duration,
    /// Connections to all servers together.
    pub descriptors: usize,
    /// Servers that hold copies may be read: each connection begins by saying so.
    pub read_copies: bool,
    /// The servers are nodes of the shared tier, which answer as nodes do.
    pub tier: bool,
    /// Where attempts are counted.
    pub figures: Rc<Figures>,
    /// What this process may use of what the node has.
    pub share: Rc<Share>,
    /// Memory, in permits of a KB, for large values that others wait behind.
    pub held: Arc<Semaphore>,
}

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
    fn bytes(&self, now: Instant) -> Bytes {
        let bytes = match &self.payload {
            Payload::Probe(bytes) => bytes.clone(),
            Payload::Request(budget) => budget.for_server(now),
        };
        if !self.asking {
            return bytes;
        }
        [resp::command(["ASKING".into()]), bytes].concat().into()
    }

    /// What its server owes for it.
    fn owed(&self) -> Owed {
        match self.payload {
            Payload::Probe(_) => Owed::Report,
            Payload::Request(_) => Owed::Answer,
        }
    }
}

/// What is owed for something that was written.
#[derive(Clone, Copy, PartialEq)]
enum Owed {
    /// The answer to a request.
    Answer,
    /// The load.
    Report,
    /// A word that changes nothing, for `ASKING` or `READONLY`.
    Word,
}

/// A command that was written whole, or a word before one.
struct Sent {
    attempt: AttemptId,
    owed: Owed,
    /// The node waits for it no longer.
    given_up: bool,
}

#[derive(Default)]
struct Line {
    up: bool,
    /// What came last makes it useless: it is about to end.
    ending: bool,
    /// Of these not one byte has gone out: a server that reads nothing may keep the first of them here for long.
    unsent: VecDeque<Command>,
    /// Of this a part has gone out; and whether the node waits for it no longer.
    writing: Option<(AttemptId, bool)>,
    /// In order.
    sent: VecDeque<Sent>,
    /// A large value is on its way: what is written behind it waits for its reader.
    passing: bool,
}

impl Line {
    fn load(&self) -> usize {
        self.unsent.len() + self.sent.len() + usize::from(self.writing.is_some())
    }

    /// Whether something given up is ahead: what is written behind it may wait for ever.
    fn stalled(&self) -> bool {
        self.passing || self.given_up()
    }

    /// Marks an attempt as given up if a part of it has gone out; whether that is so.
    fn give_up_writing(&mut self, attempt: AttemptId) -> bool {
        match &mut self.writing {
            Some((id, given_up)) if *id == attempt => {
                *given_up = true;
                true
            }
            _ => false,
        }
    }

    /// Whether it carries something that was given up.
    fn given_up(&self) -> bool {
        self.writing.is_some_and(|(_, given_up)| given_up) || self.sent.iter().any(|s| s.given_up)
    }

    /// Whether all that it carries was given up, so that its end takes nothing from anybody and keeps what is half written
    /// from arriving whole.
    fn deserted(&self) -> bool {
        self.given_up()
            && self.unsent.is_empty()
            && self.writing.is_none_or(|(_, given_up)| given_up)
            && self.sent.iter().all(|s| s.given_up || s.owed == Owed::Word)
    }
}

#[derive(Default)]
struct Shared {
    /// Its server's present number.
    server: Cell<ServerId>,
    line: RefCell<Line>,
    wake: Notify,
}

struct Connection<N: Net> {
    number: u64,
    shared: Rc<Shared>,
    task: N::Task,
    used: Instant,
    /// It leads to an address that its server has left: it ends what it carries and gets nothing new.
    retired: bool,
    /// How many connections there are to all servers.
    all: Rc<Cell<usize>>,
}

impl<N: Net> Drop for Connection<N> {
    fn drop(&mut self) {
        self.all.set(self.all.get() - 1);
        self.task.abort();
    }
}

impl<N: Net> Connection<N> {
    fn load(&self) -> usize {
        self.shared.line.borrow().load()
    }

    fn up(&self) -> bool {
        self.shared.line.borrow().up
    }

    /// Whether a command could be answered on it at once.
    fn free(&self) -> bool {
        self.up() && self.load() == 0 && !self.retired && !self.shared.line.borrow().ending
    }

    fn push(&mut self, command: Command, now: Instant) {
        self.used = now;
        self.shared.line.borrow_mut().unsent.push_back(command);
        self.shared.wake.notify_one();
    }
}

/// A server that takes new requests, or that still owes answers: others are forgotten.
struct Pool<N: Net> {
    address: Option<SocketAddr>,
    /// Whether the list says that it takes new requests.
    ready: bool,
    connections: Vec<Connection<N>>,
    /// Attempts for which a connection is being made.
    waiting: VecDeque<Command>,
    alone_until: Instant,
}

/// All connections to cache servers.
pub struct Servers<N: Net> {
    net: N,
    /// In order: what happens to several at once happens in the same order every time.
    pools: BTreeMap<ServerId, Pool<N>>,
    limits: Limits,
    events: mpsc::Sender<Input>,
    numbers: u64,
    /// Former numbers of servers, for as long as attempts may be out that know them by those.
    renamed: BTreeMap<ServerId, (ServerId, Instant)>,
    /// Connections to all servers, and how many servers take new requests: asked with every attempt.
    all: Rc<Cell<usize>>,
    ready: usize,
}

impl<N: Net> Servers<N> {
    pub fn new(net: N, limits: Limits, events: mpsc::Sender<Input>) -> Self {
        Servers {
            net,
            pools: BTreeMap::new(),
            limits,
            events,
            numbers: 0,
            renamed: BTreeMap::new(),
            all: Rc::default(),
            ready: 0,
        }
    }

    /// A server has another number from now on: its connections and what they carry stay.
    pub fn renamed(&mut self, old: ServerId, new: ServerId) {
        let now = self.net.now();
        self.renamed.retain(|_, (_, at)| now.saturating_duration_since(*at) < REMEMBERED);
        if self.pools.contains_key(&new) {
            return;
        }
        if let Some(pool) = self.pools.remove(&old) {
            pool.connections.iter().for_each(|c| c.shared.server.set(new));
            self.pools.insert(new, pool);
            self.renamed.values_mut().filter(|(to, _)| *to == old).for_each(|(to, _)| *to = new);
            self.renamed.insert(old, (new, now));
        }
    }

    /// The number that a server has now.
    fn present(&self, server: ServerId) -> ServerId {
        match self.renamed.get(&server) {
            Some((new, _)) if !self.pools.contains_key(&server) => *new,
            _ => server,
        }
    }

    /// Takes a line of the list. Returns the attempts that were not begun to be written to a server that now
    /// wants none: after the grace not one byte of a new attempt may go there, so none is left to be sent.
    pub fn listed(&mut self, server: ServerId, address: Option<SocketAddr>, ready: bool) -> Vec<AttemptId> {
        if !ready && !self.pools.contains_key(&server) {
            return Vec::new();
        }
        let pool = self.pools.entry(server).or_insert_with(|| Pool {
            address,
            ready,
            connections: Vec::new(),
            waiting: VecDeque::new(),
            alone_until: self.net.now(),
        });
        let moved = address.is_some() && address != pool.address;
        pool.ready = ready;
        pool.address = address.or(pool.address);
        let mut unsent = Vec::new();
        if (!ready || moved) && !planted(Plant::DrainKeepsWaiting) {
            unsent.extend(pool.waiting.drain(..).map(|c| c.attempt));
            for c in &mut pool.connections {
                c.retired = true;
                unsent.extend(c.shared.line.borrow_mut().unsent.drain(..).map(|c| c.attempt));
            }
            pool.connections.retain(|c| c.load() > 0);
        }
        self.tidy(server);
        self.ready = self.pools.values().filter(|p| p.ready).count();
        unsent
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.pools.len()
    }

    /// Which server stands at an address; one that takes requests before one that does not.
    pub fn at(&self, address: SocketAddr) -> Option<ServerId> {
        let here = self.pools.iter().filter(|(_, p)| p.address == Some(address));
        here.max_by_key(|(_, p)| p.ready).map(|(id, _)| *id)
    }

    /// Whether a server takes requests.
    pub fn is_ready(&self, server: ServerId) -> bool {
        self.pools.get(&server).is_some_and(|p| p.ready)
    }

    /// Where a server stands.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.pools.get(&self.present(server)).and_then(|p| p.address)
    }

    /// Those that take requests.
    pub fn ready(&self) -> Vec<ServerId> {
        self.pools.iter().filter(|(_, p)| p.ready).map(|(id, _)| *id).collect()
    }

    /// Servers that the whole list no longer names.
    pub fn unlisted(&mut self, named: &dyn Fn(ServerId) -> bool) -> Vec<AttemptId> {
        let gone: Vec<ServerId> =
            self.pools.iter().filter(|(id, p)| p.ready && !named(**id)).map(|(id, _)| *id).collect();
        gone.into_iter().flat_map(|id| self.listed(id, None, false)).collect()
    }

    /// Closes what leads to an address that was left once it is done, and forgets a server that wants nothing more
    /// and owes nothing: ids are ever new, so what is kept for one must go with it.
    fn tidy(&mut self, server: ServerId) {
        let Some(pool) = self.pools.get_mut(&server) else { return };
        pool.connections.retain(|c| !c.retired || c.load() > 0);
        if !pool.ready && pool.connections.is_empty() {
            self.pools.remove(&server);
        }
    }

    /// Sends an attempt on an idle connection, or a new one within this node's part, or behind others on the
    /// one with the fewest. `false` where there is none: it was not written.
    pub fn send(&mut self, server: ServerId, command: Command) -> bool {
        let Some(pool) = self.pools.get_mut(&server).filter(|p| p.ready) else {
            return false;
        };
        let now = self.net.now();
        let fresh = self.limits.idle_close.mul_f64(FRESH);
        pool.connections.retain(|c| c.load() > 0 || !c.up() || now.saturating_duration_since(c.used) < fresh);
        // One that has only just been answered comes last: a server's second answer to the same command would be taken
        // for the answer to what is written before it comes.
        let free = pool.connections.iter_mut().filter(|c| c.free());
        if let Some(idle) = free.min_by_key(|c| now.saturating_duration_since(c.used) < SETTLED) {
            idle.push(command, now);
            return true;
        }
        // Where a connection carries one attempt at a time its number is that of the attempts, which the decisions
        // bound: a node that is one of many would have a single one at each server, and shut itself out.
        let part = match self.limits.multiplex {
            1 => MOST_CONNECTIONS,
            _ => (TIER_CONNECTIONS / self.limits.balancers.max(1)).clamp(1, MOST_CONNECTIONS),
        };
        let descriptors = Share::of(&self.limits.share.descriptors, self.limits.descriptors).max(1);
        let part = part.min((descriptors / self.ready.max(1)).max(1));
        // One that passes a large value on is its client's for as long as that one reads: others take its place, as many
        // as the whole tier aims at.
        let passing = pool.connections.iter().filter(|c| c.shared.line.borrow().passing).count();
        let passing = passing.min((TIER_CONNECTIONS / self.limits.balancers.max(1)).max(MOST_CONNECTIONS));
        let open = pool.connections.iter().filter(|c| !c.retired).count() - passing;
        // A connection that is held up by what was given up does not count: it may never move again.
        let moving =
            pool.connections.iter().filter(|c| !c.shared.line.borrow().stalled() && !c.retired).count();
        let may_open = (moving == 0 || now >= pool.alone_until) && open < MOST_CONNECTIONS;
        if let Some(address) =
            pool.address.filter(|_| moving < part && may_open && self.all.get() < descriptors)
        {
            self.numbers += 1;
            self.all.set(self.all.get() + 1);
            pool.open(
                &self.net,
                (server, self.numbers),
                address,
                &self.limits,
                &self.events,
                self.all.clone(),
            );
            pool.waiting.push_back(command);
            return true;
        }
        pool.append(command, self.limits.multiplex, now)
    }

    /// Takes what a connection tells and returns the attempts that this ends.
    pub fn event(&mut self, server: ServerId, number: u64, event: Event) -> Vec<(AttemptId, Ended)> {
        let (now, server) = (self.net.now(), self.present(server));
        // What a connection told before its server was forgotten still ends its attempts: a server that owes nothing any
        // more is one whose last word may be on its way here.
        let mut pool = self.pools.get_mut(&server);
        if pool.as_ref().is_some_and(|p| !p.ready) && planted(Plant::LastWordLost) {
            return Vec::new();
        }
        let mut ended = Vec::new();
        match event {
            Event::Up => {}
            Event::Answer(attempt, frame) => {
                let connections = pool.iter_mut().flat_map(|p| &mut p.connections);
                connections.filter(|c| c.number == number).for_each(|c| c.used = now);
                ended.push((attempt, Ended::Answered(frame)));
            }
            Event::Began(attempt, value) => ended.push((attempt, Ended::Began(value))),
            Event::Spoilt(attempt) => ended.push((attempt, Ended::Spoilt)),
            Event::Down { refused, written, unwritten } => {
                if let Some(pool) = &mut pool {
                    pool.connections.retain(|c| c.number != number);
                    if refused {
                        pool.alone_until = now + REFUSED_PAUSE;
                    }
                }
                ended.extend(written.into_iter().map(|id| (id, Ended::Reset)));
                ended.extend(unwritten.into_iter().map(|id| (id, Ended::NotConnected)));
            }
        }
        if let Some(pool) = pool {
            pool.pump(self.limits.multiplex, now, &mut ended);
        }
        self.tidy(server);
        ended
    }

    /// Takes back an attempt that has not been written whole; whether it had not, and never will be. What is half
    /// written can be taken back only with its connection, and that only where nobody else waits on it.
    pub fn withdraw(&mut self, server: ServerId, attempt: AttemptId) -> bool {
        let server = self.present(server);
        let Some(pool) = self.pools.get_mut(&server) else { return false };
        let mut taken = pool.unsent(attempt);
        pool.connections.retain(|c| {
            let mut line = c.shared.line.borrow_mut();
            let half_written = line.give_up_writing(attempt);
            // What was taken back may have been the last that anybody waited for behind something given up.
            let ends = (half_written || taken) && line.deserted();
            taken |= ends && half_written;
            !ends
        });
        self.tidy(server);
        taken
    }

    /// Stops waiting for an attempt; whether it may have run. Only what is found unsent has not: that nothing is on
    /// record proves nothing, for a connection's last word of it may be on its way here. Others on its connection go
    /// on: it is closed only when nothing else is left on it.
    pub fn give_up(&mut self, server: ServerId, attempt: AttemptId) -> bool {
        let server = self.present(server);
        let Some(pool) = self.pools.get_mut(&server) else { return true };
        let mut unsent = pool.unsent(attempt);
        pool.connections.retain(|c| {
            let mut line = c.shared.line.borrow_mut();
            if planted(Plant::ShiftedAnswers) {
                line.sent.retain(|s| s.attempt != attempt);
                return true;
            }
            let mut here = false;
            for s in line.sent.iter_mut().filter(|s| s.attempt == attempt) {
                s.given_up = true;
                here |= s.owed != Owed::Word;
            }
            let half_written = line.give_up_writing(attempt);
            let ends = (here || half_written || unsent) && line.deserted();
            // With its connection goes the rest of it.
            unsent |= ends && half_written;
            !ends
        });
        self.tidy(server);
        !unsent
    }

    /// Closes the connections to a server that carry nothing.
    pub fn close_idle(&mut self, server: ServerId) {
        if let Some(pool) = self.pools.get_mut(&server) {
            pool.connections.retain(|c| !c.up() || c.load() > 0);
        }
    }
}

impl<N: Net> Pool<N> {
    fn open(
        &mut self,
        net: &N,
        (server, number): (ServerId, u64),
        address: SocketAddr,
        limits: &Limits,
        events: &mpsc::Sender<Input>,
        all: Rc<Cell<usize>>,
    ) {
        let shared = Rc::new(Shared { server: Cell::new(server), ..Shared::default() });
        let (line, events, limits) = (shared.clone(), events.clone(), limits.clone());
        let machine = net.clone();
        let task = net.spawn(async move {
            let refused = drive(&machine, number, address, &limits, &line, &events).await;
            // Nothing new goes there; what it carries stays on record until the node can be told of its end.
            line.line.borrow_mut().ending = true;
            let Ok(place) = events.reserve().await else { return };
            let mut state = std::mem::take(&mut *line.line.borrow_mut());
            line.line.borrow_mut().ending = true;
            let written = state.sent.drain(..).filter(|s| s.owed != Owed::Word).map(|s| s.attempt).collect();
            let unwritten = state.writing.take().map(|(attempt, _)| attempt).into_iter();
            let unwritten = unwritten.chain(state.unsent.drain(..).map(|c| c.attempt)).collect();
            let event = Event::Down { refused, written, unwritten };
            place.send(Input::Server { server: line.server.get(), number, event });
        });
        let used = net.now();
        self.connections.push(Connection { number, shared, task, used, retired: false, all });
    }

    /// Takes out an attempt that has not begun to be written; whether there was one.
    fn unsent(&mut self, attempt: AttemptId) -> bool {
        let take = |from: &mut VecDeque<Command>| {
            let before = from.len();
            from.retain(|c| c.attempt != attempt);
            from.len() < before
        };
        self.connections
            .iter()
            .fold(take(&mut self.waiting), |taken, c| take(&mut c.shared.line.borrow_mut().unsent) || taken)
    }

    /// Puts an attempt behind others on the connection with the fewest that is not held up.
    fn append(&mut self, command: Command, multiplex: usize, now: Instant) -> bool {
        let line = |c: &Connection<N>| {
            let line = c.shared.line.borrow();
            (line.up && !line.ending && !c.retired && !line.stalled() && line.load() < multiplex)
                .then(|| line.load())
        };
        if let Some(c) = self.connections.iter_mut().filter(|c| line(c).is_some()).min_by_key(|c| line(c)) {
            c.push(command, now);
            return true;
        }
        let coming = self.connections.iter().filter(|c| !c.up() && !c.retired).count();
        let room = self.waiting.len() < coming * multiplex;
        if room {
            self.waiting.push_back(command);
        }
        room
    }

    /// Gives waiting attempts the connections that have become free; once none is being made any more those
    /// left go behind others, or have found no connection.
    fn pump(&mut self, multiplex: usize, now: Instant, ended: &mut Vec<(AttemptId, Ended)>) {
        while let Some(command) = self.waiting.pop_front() {
            let attempt = command.attempt;
            if let Some(c) = self.connections.iter_mut().find(|c| c.free()) {
                c.push(command, now);
            } else if self.connections.iter().any(|c| !c.up() && !c.retired) {
                return self.waiting.push_front(command);
            } else if !self.append(command, multiplex, now) {
                ended.push((attempt, Ended::NotConnected));
            }
        }
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

/// A command of which the socket has taken the first bytes, and the others.
struct Begun {
    command: Command,
    rest: Bytes,
}

impl Shared {
    /// Whether what comes next is the answer to a request.
    fn expects_value(&self) -> bool {
        self.line.borrow().sent.front().is_some_and(|s| s.owed == Owed::Answer)
    }

    /// Whether something else waits on the connection.
    fn carries_more(&self) -> bool {
        self.line.borrow().load() > 1
    }

    /// Writes the first bytes of the first command that is still unsent, and puts it on record as begun in the same
    /// moment: until the socket takes a byte it can be taken back. Gives it with what is left to be written; `None` where
    /// there is none any more.
    fn begin<W: AsyncWrite + Unpin>(
        &self,
        cx: &mut Context<'_>,
        writing: &mut W,
        now: Instant,
    ) -> Poll<Option<std::io::Result<Begun>>> {
        let mut line = self.line.borrow_mut();
        let Some(first) = line.unsent.front() else { return Poll::Ready(None) };
        let mut bytes = first.bytes(now);
        let written = match Pin::new(writing).poll_write(cx, &bytes) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Ok(written)) if written > 0 => written,
            Poll::Ready(Ok(_)) => return Poll::Ready(Some(Err(ErrorKind::WriteZero.into()))),
            Poll::Ready(Err(e)) => return Poll::Ready(Some(Err(e))),
        };
        let Some(command) = line.unsent.pop_front() else { return Poll::Ready(None) };
        line.writing = Some((command.attempt, false));
        if command.asking {
            // On record already: it may be answered while the command behind it is still being written.
            line.sent.push_back(Sent { attempt: command.attempt, owed: Owed::Word, given_up: false });
        }
        bytes.advance(written);
        Poll::Ready(Some(Ok(Begun { command, rest: bytes })))
    }
}

/// Passes a value on as it comes, and gives the frame that it would have been with nothing for the value; `None` where
/// the connection has to end. What nobody takes any more is read to its end only if others wait behind it. What is taken
/// slowly is held while others wait behind it, as far as there is memory: one client's answers come in the order of its
/// commands, so that what it waits for may stand behind the very value that it does not take yet.
async fn pass_on<R: Reading>(
    net: &impl Net,
    (shared, memory): (&Shared, &Arc<Semaphore>),
    reading: &R,
    buffer: &mut BytesMut,
    begun: resp::Begun,
    put: mpsc::Sender<Bytes>,
) -> Option<BytesFrame> {
    shared.line.borrow_mut().passing = true;
    let more = async |buffer: &mut BytesMut, within| loop {
        let read = async {
            reading.readable().await?;
            buffer.reserve(READ_PASSED);
            reading.try_read_buf(buffer)
        };
        match net.timeout(within, read).await? {
            Ok(n) if n > 0 => return Some(()),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            _ => return None,
        }
    };
    buffer.advance(begun.head);
    let (mut left, mut taken, mut held) = (begun.length, true, None);
    while left > 0 {
        if buffer.is_empty() {
            more(buffer, STALLED).await?;
        }
        let part = buffer.split_to(left.min(buffer.len())).freeze();
        left -= part.len();
        if let Some((_, parts)) = &mut held {
            let parts: &mut Vec<Bytes> = parts;
            parts.push(part);
        } else if taken {
            taken = match put.try_send(part) {
                Ok(()) => true,
                Err(TrySendError::Closed(_)) => false,
                Err(TrySendError::Full(part)) => {
                    let kb = (left + part.len()).div_ceil(1024) as u32;
                    let room = shared.carries_more().then(|| memory.clone().try_acquire_many_owned(kb).ok());
                    match room.flatten() {
                        Some(permit) => {
                            held = Some((permit, vec![part]));
                            true
                        }
                        None => put.send(part).await.is_ok(),
                    }
                }
            };
        }
        if !taken && !shared.carries_more() {
            return None;
        }
    }
    // The connection goes on; what is held is its client's, as soon as that one takes it.
    if let Some((permit, parts)) = held {
        net.spawn(async move {
            let _permit = permit;
            for part in parts {
                if put.send(part).await.is_err() {
                    return;
                }
            }
        });
    } else {
        drop(put);
    }
    while buffer.len() < 2 {
        more(buffer, STALLED).await?;
    }
    if buffer.split_to(2) != b"\r\n"[..] {
        return None;
    }
    let mut frames = vec![BytesFrame::BulkString(Bytes::new())];
    while frames.len() <= begun.behind {
        match resp::take_frame(buffer) {
            Ok(Some(frame)) => frames.push(frame),
            Ok(None) => more(buffer, STALLED).await?,
            Err(_) => return None,
        }
    }
    shared.line.borrow_mut().passing = false;
    Some(if begun.behind == 0 { frames.remove(0) } else { BytesFrame::Array(frames) })
}

/// Makes a connection and carries its commands until it ends; whether it was refused.
async fn drive<N: Net>(
    net: &N,
    number: u64,
    address: SocketAddr,
    limits: &Limits,
    shared: &Shared,
    events: &mpsc::Sender<Input>,
) -> bool {
    let stream = match net.timeout(limits.connect_timeout, net.connect(address)).await {
        Some(Ok(stream)) => stream,
        Some(Err(_)) => return true,
        None => return false,
    };
    stream.set_nodelay();
    shared.line.borrow_mut().up = true;
    let input = |event| Input::Server { server: shared.server.get(), number, event };
    if events.send(input(Event::Up)).await.is_err() {
        return false;
    }
    let (reading, mut writing) = stream.split();
    let reader = async {
        let mut buffer = BytesMut::new();
        // When the answer that has not all come yet began to.
        let mut begun = None;
        loop {
            // What lies behind an answer that nothing waits behind belongs to no command, and would be taken for the
            // beginning of the next answer: the connection is closed before anything more is written.
            if !buffer.is_empty() && shared.line.borrow().sent.is_empty() {
                return net.log(format_args!("{address}: more than was asked for"));
            }
            if let Some(large) = resp::begins_large(&buffer).filter(|_| shared.expects_value()) {
                begun = None;
                let attempt = shared.line.borrow().sent.front().map(|s| s.attempt).unwrap_or_default();
                let (put, value) = Passing::of(large.length);
                if events.send(input(Event::Began(attempt, value))).await.is_err() {
                    return;
                }
                let Some(frame) =
                    pass_on(net, (shared, &limits.held), &reading, &mut buffer, large, put).await
                else {
                    return;
                };
                let Ok(place) = events.reserve().await else { return };
                shared.line.borrow_mut().sent.pop_front();
                place.send(input(Event::Answer(attempt, frame)));
                continue;
            }
            let taken = resp::take_frame(&mut buffer);
            if let Ok(None) = taken {
                if buffer.is_empty() {
                    (buffer, begun) = (BytesMut::new(), None);
                }
                let until = (!buffer.is_empty()).then(|| *begun.get_or_insert_with(|| net.now()) + BEGUN);
                let read = async {
                    reading.readable().await?;
                    buffer.reserve(READ);
                    reading.try_read_buf(&mut buffer)
                };
                let read = match until {
                    None => read.await,
                    Some(until) => {
                        net.timeout_at(until, read).await.unwrap_or_else(|| Err(ErrorKind::TimedOut.into()))
                    }
                };
                match read {
                    Ok(n) if n > 0 => continue,
                    Err(e) if e.kind() == ErrorKind::WouldBlock => continue,
                    Err(e) if e.kind() == ErrorKind::TimedOut && until.is_some() => {}
                    _ => return,
                }
            }
            begun = None;
            // It leaves the record in the moment in which the word of it is on its way: between the two nobody would
            // know of it, and what may have run would count as never sent.
            let word = shared.line.borrow().sent.front().is_some_and(|s| s.owed == Owed::Word);
            let place = if word { None } else { events.reserve().await.ok() };
            let Some(sent) = shared.line.borrow_mut().sent.pop_front() else { return };
            if sent.owed == Owed::Word {
                // What it says of the command itself follows: an error here shows there.
                match taken {
                    Ok(Some(frame)) if fits(&frame, sent.owed, limits.tier) => continue,
                    _ => return net.log(format_args!("{address}: a word that can't be read")),
                }
            }
            let (event, good) = match taken {
                Ok(Some(frame)) if fits(&frame, sent.owed, limits.tier) => {
                    (Event::Answer(sent.attempt, frame), true)
                }
                _ => (Event::Spoilt(sent.attempt), false),
            };
            // Before the node hears of it, which may have something more to write.
            let waits = !shared.line.borrow().sent.is_empty();
            shared.line.borrow_mut().ending = !good || !(buffer.is_empty() || waits);
            let Some(place) = place else { return };
            place.send(input(event));
            if !good {
                return net.log(format_args!("{address}: an answer that can't be read"));
            }
        }
    };
    let writer = async {
        if limits.read_copies {
            shared.line.borrow_mut().sent.push_back(Sent { attempt: 0, owed: Owed::Word, given_up: false });
            if writing.write_all(&resp::command(["READONLY".into()])).await.is_err() {
                return;
            }
        }
        loop {
            if shared.line.borrow().unsent.is_empty() {
                shared.wake.notified().await;
            }
            // Once round the runtime: a close that has come in is read before anything more is written.
            net.yield_now().await;
            let Some(begun) = poll_fn(|cx| shared.begin(cx, &mut writing, net.now())).await else { continue };
            let Ok(Begun { command, rest }) = begun else { return };
            if writing.write_all(&rest).await.is_err() {
                return;
            }
            // No await since the last byte was written: it is on record before an answer can be read.
            let mut line = shared.line.borrow_mut();
            let given_up = line.writing.take().is_some_and(|(_, given_up)| given_up);
            let owed = command.owed();
            if owed == Owed::Answer {
                limits.figures.attempt();
            }
            line.sent.push_back(Sent { attempt: command.attempt, owed, given_up });
        }
    };
    // The reader first: a close by the server is noticed before anything more is written to it.
    tokio::select! { biased; () = reader => {}, () = writer => {} }
    false
}

#[cfg(test)]
mod tests;
