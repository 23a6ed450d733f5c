//! The listener and RESP2 from clients. Answers go out in the order of the commands on a connection.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::poll_fn;
use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};

use brassrouter::settings::Site;
use brassrouter::{Micros, Request, RequestId};
use bytes::{Buf, Bytes, BytesMut};
use mothpier_net::{Listener, Net, Reading, Stream};
use mothpier_session::{Connection as Told, Facts, commands};
use mothpier_slots::Tier;
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use xxhash_rust::xxh3::xxh3_64;

use crate::accept_failure::AcceptFailure;
use crate::binding::{self, Binding};
use crate::cancellation::{CancelGuard, CancelToken, ConnectionProbe};
use crate::event_log::{Event, EventLog};
use crate::figures::{CloseReason, Ended, Figures, RefusalReason};
use crate::guards::{self, Invariant};
use crate::membership::Membership;
use crate::messages::{Answer, Claim, ClientEvent, Command, Ids, Input, Passing};
use crate::phase::Phase;
use crate::resp::{self, MAX_PASSED, MAX_VALUE, Malformed};
use crate::succession::Share;
use crate::{Plant, planted};

/// Requests of one connection that may be open; those beyond are refused.
const MAX_PIPELINE: usize = 128;
/// Answers of one connection that may wait, refusals and errors too; a client that goes on beyond is cut off.
const MAX_WAITING: usize = 1024;
/// Bytes of answers of slot-aware commands that may wait on one connection: a map of many nodes is long, and a client
/// that asks for it again and again without reading is cut off.
const MAX_MAPS: usize = 1 << 20;
/// Read from a connection at once.
const READ: usize = 4096;
/// Answers that are ready are put into one write up to about this size.
const WRITE: usize = 64 * 1024;
/// A client that takes none of its answer for this long is cut off.
const SLOW_READER: Duration = Duration::from_secs(10);
/// Read ahead from a client while an answer is written to it.
const AHEAD: usize = 64 * 1024;
/// How often it is looked whether a client has gone that sent more than is read: nothing may be begun for it 0.1 s later.
const LOOK: Duration = Duration::from_millis(20);
/// A client has so long to close its side, once this one has.
const PARTING: Duration = Duration::from_millis(200);
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
/// Between tries to accept while there is no room; a connection has rested when it was idle for so long.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// When a request that finds the node's memory full may come back, milliseconds.
const FULL_RETRY_MS: u64 = 100;
/// Memory that an open request counts for until its answer is written, beside its own value: half of the largest
/// answer, for few are large.
const REQUEST_KB: usize = MAX_VALUE / 2 / 1024;

/// What the rest of the node decides for all clients.
pub struct State {
    /// Whether work is taken.
    pub phase: Rc<Phase>,
    /// Where ends of requests are counted.
    pub figures: Rc<Figures>,
    /// What this process may use of what the node has.
    pub share: Rc<Share>,
    /// Where what befalls connections is logged.
    pub event_log: Rc<EventLog>,
    /// Where slot-aware clients are served: the tier that they are shown.
    pub tier: Option<Rc<RefCell<Tier>>>,
    /// Where there are more sources of boxes than the list: what they say.
    pub membership: Option<Membership>,
    /// Where it is one application's sidecar: what that may ask for.
    pub binding: Option<Binding>,
}

/// What all client connections share.
pub struct Clients<N> {
    net: N,
    /// Where slot-aware clients are served: the tier that they are shown.
    tier: Option<Rc<RefCell<Tier>>>,
    /// Where there are more sources of boxes than the list: what they say.
    membership: Option<Membership>,
    binding: Option<Binding>,
    site: Site,
    now: Box<dyn Fn() -> Micros>,
    /// Requests taken and not ended: each is counted by the guard in its slot.
    taken: Rc<Cell<usize>>,
    figures: Rc<Figures>,
    event_log: Rc<EventLog>,
    share: Rc<Share>,
    /// When it began, and how many connections and commands came since.
    began: Instant,
    connections: Cell<u64>,
    commands: Cell<u64>,
    next_request: Cell<RequestId>,
    ids: Ids,
    /// Permits of a KB, and how many there are.
    memory: Arc<Semaphore>,
    memory_kb: usize,
    most: usize,
    phase: Rc<Phase>,
    events: mpsc::Sender<Input>,
    open: RefCell<BTreeMap<u64, Entry>>,
    closed: Notify,
}

struct Entry {
    /// When it last sent something or was answered; `None` while an answer is owed to it.
    idle: Option<Instant>,
    /// It has sent a command in the agreed form.
    known: bool,
    evict: Rc<Notify>,
}

impl<N: Net> Clients<N> {
    pub fn new(
        net: N,
        site: Site,
        now: Box<dyn Fn() -> Micros>,
        State { phase, figures, share, event_log, tier, membership, binding }: State,
        (most, memory): (usize, usize),
        events: mpsc::Sender<Input>,
    ) -> Rc<Self> {
        Rc::new(Clients {
            began: net.now(),
            connections: Cell::new(0),
            commands: Cell::new(0),
            net,
            tier,
            membership,
            binding,
            site,
            now,
            taken: Rc::default(),
            figures,
            event_log,
            share,
            next_request: Cell::new(1),
            ids: Ids::default(),
            memory: Arc::new(Semaphore::new(memory / 1024)),
            memory_kb: memory / 1024,
            most,
            phase,
            events,
            open: RefCell::default(),
            closed: Notify::new(),
        })
    }

    /// How many connections are open.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Requests taken and not ended.
    pub fn pending(&self) -> usize {
        self.taken.get()
    }

    /// How many ids are in use.
    pub fn ids(&self) -> usize {
        self.ids.borrow().len()
    }

    /// Whether half of the connections that there may be are open.
    fn crowded(&self) -> bool {
        self.count() * 2 >= self.most()
    }

    /// How many connections there may be: of two processes at once each has its part.
    fn most(&self) -> usize {
        Share::of(&self.share.descriptors, self.most).max(1)
    }

    /// Memory for a request, unless it is full; of two processes at once each has its part.
    fn memory(&self, kb: usize) -> Option<OwnedSemaphorePermit> {
        let others = self.memory_kb - Share::of(&self.share.part, self.memory_kb);
        let room = self.memory.available_permits() >= kb + others;
        room.then(|| self.memory.clone().try_acquire_many_owned(kb as u32).ok()).flatten()
    }

    /// Waits until a connection has closed.
    pub async fn one_closed(&self) {
        self.closed.notified().await;
    }

    /// Accepts until the phase ends; what the machine has accepted by then is still taken.
    pub async fn accept(self: Rc<Self>, listener: N::Listener) {
        let mut number = 0u64;
        let mut failing = false;
        loop {
            if self.count() >= self.most() {
                // At the limit the connection that has been idle longest gives way; if none is, new ones wait.
                self.evict();
                tokio::select! {
                    biased;
                    () = self.closed.notified() => {}
                    () = self.net.sleep(ACCEPT_PAUSE) => {}
                    () = self.phase.until_shut() => break,
                }
                continue;
            }
            let accepted = tokio::select! {
                biased;
                () = self.phase.until_shut() => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Err(_) if planted(Plant::AcceptLoopEnds) => return,
                Ok((stream, _)) => {
                    failing = false;
                    number += 1;
                    self.clone().start(stream, number);
                    // For each that comes while many are open one that rested longest goes, and another until they
                    // are fewer: clients may hold fewer than the node could, and those who find all theirs kept by
                    // others can't even ask.
                    if self.crowded() {
                        self.evict();
                        self.evict();
                    }
                }
                // Of one that is gone already: it says nothing about the room for others.
                Err(e) if AcceptFailure::from(&e) == AcceptFailure::ConnectionLost => {
                    self.net.yield_now().await;
                }
                Err(e) => {
                    // Out of descriptors (EMFILE) or the like: it passes, and the listener must outlive it.
                    if !std::mem::replace(&mut failing, true) {
                        self.net.log(format_args!("accepting failed: {e}; trying again until it succeeds"));
                    }
                    self.evict();
                    self.net.sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        if self.phase.is_left() {
            return;
        }
        loop {
            // Whoever waits at the limit was let in by the machine, and may have asked: there is room as others close.
            while self.count() >= self.most() {
                self.closed.notified().await;
            }
            // Once round the runtime, which looks at the listener then.
            self.net.yield_now().await;
            let accepted = poll_fn(|cx| match listener.poll_accept(cx) {
                Poll::Ready(accepted) => Poll::Ready(Some(accepted)),
                Poll::Pending => Poll::Ready(None),
            });
            match accepted.await {
                None => return,
                Some(Ok((stream, _))) => {
                    number += 1;
                    self.clone().start(stream, number);
                }
                Some(Err(e)) if AcceptFailure::from(&e) == AcceptFailure::ConnectionLost => {}
                // Out of descriptors: who waits is let in as others close.
                Some(Err(_)) => self.net.sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    /// Those that sent no whole command go first, or clients that never end one, or never begin, would keep all
    /// others out; not one that has only just come: where all others are busy it would go before it could ask.
    fn evict(&self) {
        let mut open = self.open.borrow_mut();
        let rests = |e: &&mut Entry| e.idle.is_some_and(|since| self.net.since(since) >= ACCEPT_PAUSE);
        let longest = open.values_mut().filter(rests).min_by_key(|e| (e.known, e.idle));
        if let Some(entry) = longest {
            // Not chosen again while it closes: the next one that comes needs another's place.
            entry.idle = None;
            entry.evict.notify_one();
        }
    }

    /// Counts a request that is turned away before the node is asked, and logs it.
    fn note_refusal(&self, command: &Command, open_on_connection: usize) {
        let is_deep = open_on_connection >= MAX_PIPELINE;
        let reason = if is_deep { RefusalReason::Pipeline } else { RefusalReason::Memory };
        self.figures.refused(reason);
        let (request, retry_after_ms) = (command.id_text(), FULL_RETRY_MS);
        let event = Event::Refused { request: &request, reason, attempts: 0, retry_after_ms };
        if let Some(line) = self.event_log.line(self.net.now(), &event) {
            self.net.log(line);
        }
    }

    fn log_close(&self, connection: u64, reason: CloseReason, unanswered: usize) {
        let event = Event::ConnectionClosed { connection, reason, unanswered };
        if let Some(line) = self.event_log.line(self.net.now(), &event) {
            self.net.log(line);
        }
    }

    /// A rule was found broken: it is counted, and told in a log that no flood of them fills.
    fn violated(&self, invariant: Invariant, connection: u64) {
        if self.figures.violated(invariant) {
            self.net.log(format_args!("invariant {} is broken by connection {connection}", invariant.name()));
        }
    }

    fn start(self: Rc<Self>, stream: N::Stream, number: u64) {
        if let Err(invariant) = guards::may_start(self.phase.knows_who_is_out()) {
            self.violated(invariant, number);
        }
        self.connections.set(self.connections.get() + 1);
        let evict = Rc::new(Notify::new());
        let entry = Entry { idle: Some(self.net.now()), known: false, evict: evict.clone() };
        self.open.borrow_mut().insert(number, entry);
        let net = self.net.clone();
        net.spawn(async move {
            stream.set_nodelay();
            let (reading, writing) = stream.split();
            let reading = Rc::new(reading);
            let pending = VecDeque::new();
            let told = Told::new(number);
            let probe = Rc::new(ConnectionProbe::new(reading.clone(), self.net.now()));
            let mut session = Session {
                clients: self.clone(),
                number,
                pending,
                asked: 0,
                known: false,
                ended: false,
                large: None,
                skip: 0,
                told,
                probe,
            };
            let reason = session.run(&*reading, writing, evict).await;
            self.figures.closed(reason);
            self.log_close(number, reason, session.pending.len());
            // All that holds the connection is let go of, so that it closes now.
            drop(reading);
            let Session { pending, .. } = session;
            // All are let go of before the first word of it waits for the queue: the node sees that by itself.
            let asked = |slot: Slot| if let Wait::Node(id, ..) = slot.wait { Some(id) } else { None };
            let gone: Vec<RequestId> = pending.into_iter().filter_map(asked).collect();
            for id in gone {
                let _ = self.events.send(Input::Client(ClientEvent::Gone(id))).await;
            }
            self.open.borrow_mut().remove(&number);
            self.closed.notify_waiters();
            self.closed.notify_one();
        });
    }

    /// Reads a command's words; the error is answered to the client.
    fn parse(&self, words: &[Bytes], came: Micros) -> Result<(Request, Command), String> {
        let [name, key, id, extras, value @ ..] = words else {
            return Err("ERR wrong number of arguments".into());
        };
        let write = name.as_ref() == b"CACHE.SET";
        if value.len() != usize::from(write) {
            return Err("ERR wrong number of arguments".into());
        }
        if key.is_empty() || id.is_empty() || key.len() > 1024 || id.len() > 1024 || extras.len() > 4096 {
            return Err("ERR key, id or extras of a wrong length".into());
        }
        // They go into headers at the origin, and what a cache server can't read costs all that wait there.
        if !id.iter().chain(extras.iter()).all(|b| b.is_ascii_graphic()) {
            return Err("ERR id and extras must be printable".into());
        }
        let text = String::from_utf8_lossy(extras);
        let names = names(&text)?;
        let bound = binding::bind(self.binding.as_ref(), write, &names).map_err(|e| e.to_string())?;
        let names = bound.as_deref().map(self::names).transpose()?.unwrap_or(names);
        let extra = |name: &str| names.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
        let digits = |v: &str| v.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let figure = |name: &str| match extra(name).map(|v| v.parse::<f64>().ok().filter(|_| digits(v))) {
            None => Ok(None),
            Some(Some(f)) if f.is_finite() => Ok(Some(f)),
            Some(_) => Err(format!("ERR {name} is no figure")),
        };
        let class = extra("c").and_then(|c| self.site.classes.iter().position(|n| n == c));
        let class = class.ok_or("ERR unknown class")?;
        let tenant = match extra("t") {
            _ if self.site.tenants.is_empty() => Some(0),
            tenant => tenant.and_then(|t| self.site.tenants.iter().position(|n| n == t)),
        };
        let asked_for = figure("d")?.ok_or("ERR no d: how long the answer is waited for")?;
        // No longer than the class allows: what is kept for a request must not stay for as long as anyone says.
        let deadline = self.site.decisions.classes[class].deadline;
        let time_left = ((asked_for * 1000.0) as Micros).min(deadline);
        let request = Request {
            id: self.next_request.replace(self.next_request.get() + 1),
            class,
            tenant: tenant.ok_or("ERR unknown tenant")?,
            key: xxh3_64(key).max(1), // 0 would mean none.
            write,
            repeat: extra("r") == Some("1"),
            // The client's wait began before its command was read whole.
            time_left: time_left.saturating_sub((self.now)() - came),
            cost: figure("h")?.map(|us| us as Micros),
            size: figure("size")?.unwrap_or_default() as f32,
            // The node's, which knows what the boxes are.
            slot: None,
        };
        // Two open requests of one id could not be told apart by servers; the first one stays as it is.
        let claim =
            Claim::of(&self.ids, &Bytes::copy_from_slice(id)).ok_or("ERR a request of this id is open")?;
        // Copies: a slice would keep all that was read at once for as long as the request is open.
        let command = Command {
            name: Bytes::from_static(if write { b"CACHE.SET" } else { b"CACHE.GET" }),
            key: Bytes::copy_from_slice(key),
            id: claim.id().clone(),
            extras: bound.map_or_else(|| Bytes::copy_from_slice(extras), Bytes::from),
            // A large one is nearly all that was read.
            value: value
                .first()
                .map(|v| if v.len() > MAX_VALUE { v.clone() } else { Bytes::copy_from_slice(v) }),
            write,
            cancel: CancelToken::default(),
            claim,
        };
        Ok((request, command))
    }
}

/// The names and values of extras.
fn names(text: &str) -> Result<Vec<(&str, &str)>, String> {
    let mut names: Vec<(&str, &str)> = Vec::new();
    for part in text.split(',') {
        // A name that comes twice would mean one thing here and another at a server.
        match part.split_once('=') {
            Some((name, value)) if !name.is_empty() && !names.iter().any(|(n, _)| *n == name) => {
                names.push((name, value));
            }
            _ => return Err("ERR extras are names and values, each name once".into()),
        }
    }
    Ok(names)
}

enum Wait {
    Ready(Bytes),
    /// A value that is passed on as it comes.
    Passing(Passing),
    Node(RequestId, oneshot::Receiver<Answer>, #[allow(dead_code, reason = "held for its drop")] CancelGuard),
}

/// A request of a class: it is pending for as long as this lives.
struct Taken {
    class: usize,
    ended: Ended,
    pending: Rc<Cell<usize>>,
    /// Held until the answer is written; only requests that went on have it.
    memory: Option<OwnedSemaphorePermit>,
}

impl Taken {
    fn of(class: usize, pending: &Rc<Cell<usize>>, memory: Option<OwnedSemaphorePermit>) -> Self {
        pending.set(pending.get() + 1);
        Taken { class, ended: Ended::Rejected, pending: pending.clone(), memory }
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.pending.set(self.pending.get() - 1);
    }
}

struct Slot {
    wait: Wait,
    /// What is answered, where it is a request of a class.
    taken: Option<Taken>,
}

impl Slot {
    fn went_on(&self) -> bool {
        self.taken.as_ref().is_some_and(|t| t.memory.is_some())
    }
}

struct Session<N> {
    clients: Rc<Clients<N>>,
    number: u64,
    /// In the order of the commands.
    pending: VecDeque<Slot>,
    /// How many of them are requests that went on.
    asked: usize,
    /// It has sent a command in the agreed form.
    known: bool,
    /// No more commands are read: the last answer closes.
    ended: bool,
    /// The command that is coming has a large value, for which this memory is held.
    large: Option<OwnedSemaphorePermit>,
    /// Bytes still to come of a value that was turned away.
    skip: usize,
    /// What a slot-aware client has told of its connection.
    told: Told,
    /// Asked right before anything is written for this client.
    probe: Rc<ConnectionProbe>,
}

impl<N: Net> Session<N> {
    async fn run<R: Reading, W: AsyncWrite + Unpin>(
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
            let closing = clients.phase.closing() && !planted(Plant::KeptIdle);
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
                .filter(|_| !self.ended && !planted(Plant::HalfCommandKept))
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
                Wait::Ready(bytes) if planted(Plant::DoubleAnswer) && slot.went_on() => {
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

    /// Says what is wrong, behind the answers that are owed, and reads no more.
    fn protocol_error(&mut self, error: Malformed) {
        self.ended = true;
        self.answer(resp::error(&format!("ERR protocol: {error}")));
    }

    fn answer(&mut self, bytes: Bytes) {
        self.pending.push_back(Slot { wait: Wait::Ready(bytes), taken: None });
    }

    async fn command(&mut self, frame: BytesFrame, came: Micros) {
        let word = |f: BytesFrame| match f {
            BytesFrame::BulkString(b) => Some(b),
            _ => None,
        };
        let words = match frame {
            BytesFrame::Array(frames) => frames.into_iter().map(word).collect::<Option<Vec<_>>>(),
            _ => None,
        };
        let Some(words) = words.filter(|w| !w.is_empty()) else {
            return self.protocol_error(Malformed("a command is an array of bulk strings"));
        };
        self.clients.commands.set(self.clients.commands.get() + 1);
        match words[0].as_ref() {
            b"CACHE.GET" | b"CACHE.SET" => match self.clients.parse(&words, came) {
                Ok((request, command)) => {
                    self.known = true;
                    self.ask(request, Box::new(command)).await;
                }
                Err(e) => self.answer(resp::error(&e)),
            },
            _ if self.aside(&words) => {}
            name if name.eq_ignore_ascii_case(b"PING") => {
                self.known = true;
                self.answer(match self.clients.phase.at_work() {
                    Ok(()) => Bytes::from_static(b"+PONG\r\n"),
                    Err(why) => resp::error(&format!("ERR not ready: {why}")),
                });
            }
            name if name.eq_ignore_ascii_case(b"QUIT") => {
                self.ended = true;
                self.answer(Bytes::from_static(b"+OK\r\n"));
            }
            _ => self.answer(resp::error("ERR unknown command")),
        }
    }

    /// Answers what clients ask as they connect or look round; whether it was that.
    fn aside(&mut self, words: &[Bytes]) -> bool {
        let clients = self.clients.clone();
        let words: Vec<&[u8]> = words.iter().map(Bytes::as_ref).collect();
        let tier = clients.tier.as_ref().map(|t| t.borrow());
        // Made only where it is asked for: it has a line for each box.
        let wanted = words.first().is_some_and(|w| w.eq_ignore_ascii_case(b"INFO"))
            && words[1..].iter().any(|w| w.eq_ignore_ascii_case(b"SOURCES"));
        let sources = clients.membership.as_ref().filter(|_| wanted).map(Membership::text);
        let facts = Facts {
            sources: sources.as_deref(),
            tier: tier.as_deref(),
            uptime_s: clients.net.since(clients.began).as_secs(),
            clients: clients.count() as u64,
            most_clients: clients.most() as u64,
            connections: clients.connections.get(),
            commands: clients.commands.get(),
            open: clients.ids() as u64,
        };
        let Some(value) = commands::answer(&words, &facts, &mut self.told) else { return false };
        self.known = true;
        let waiting = self.pending.iter().map(|slot| match &slot.wait {
            Wait::Ready(bytes) => bytes.len(),
            Wait::Node(..) | Wait::Passing(_) => 0,
        });
        if waiting.sum::<usize>() > MAX_MAPS {
            self.protocol_error(Malformed("too many long answers wait"));
        } else {
            // In the version that holds from here on: what was read before is answered in the one of then.
            self.answer(value.encode(self.told.version()).into());
        }
        true
    }

    /// Makes room for a command with a large value, or turns it away before the value is read.
    fn large(&mut self, large: resp::LargeCommand, buffer: &mut BytesMut) {
        let kb = large.length.div_ceil(1024);
        if let Some(memory) = self.clients.memory(REQUEST_KB + kb) {
            // Once, or it would be copied as it grows.
            buffer.reserve((large.head + large.length + 2).saturating_sub(buffer.len()));
            self.large = Some(memory);
            return;
        }
        buffer.advance(large.head);
        self.skip = large.length + 2;
        let words: Vec<Bytes> = large.words.into_iter().chain([Bytes::new()]).collect();
        let known = matches!(words[0].as_ref(), b"CACHE.GET" | b"CACHE.SET");
        let parsed = known.then(|| self.clients.parse(&words, (self.clients.now)()));
        match parsed {
            Some(Ok((request, command))) => {
                self.known = true;
                self.clients.note_refusal(&command, self.asked);
                let taken = Some(Taken::of(request.class, &self.clients.taken, None));
                let wait = Wait::Ready(resp::error(&format!("BUSY {FULL_RETRY_MS}")));
                self.pending.push_back(Slot { wait, taken });
            }
            Some(Err(e)) => self.answer(resp::error(&e)),
            None => self.answer(resp::error("ERR unknown command")),
        }
    }

    async fn ask(&mut self, request: Request, mut command: Box<Command>) {
        // Memory is bounded by what open requests may hold, and one connection by its own part of them; what is
        // beyond never runs, and is told so instead of being left unread.
        let holds = REQUEST_KB + command.value.as_ref().map_or(0, Bytes::len).div_ceil(1024);
        let memory = match self.asked < MAX_PIPELINE
            && self.clients.ids.borrow().len() <= self.clients.site.max_open
        {
            // A large value has brought its own.
            true => self.large.take().or_else(|| self.clients.memory(holds)),
            false => None,
        };
        let mut taken = Taken::of(request.class, &self.clients.taken, memory);
        if taken.memory.is_none() {
            self.clients.note_refusal(&command, self.asked);
            let wait = Wait::Ready(resp::error(&format!("BUSY {FULL_RETRY_MS}")));
            return self.pending.push_back(Slot { wait, taken: Some(taken) });
        }
        let (answer, receiver) = oneshot::channel();
        let guard = CancelGuard::new(self.probe.clone());
        command.cancel = guard.token();
        let (id, read) = (request.id, self.clients.net.now());
        if self
            .clients
            .events
            .send(Input::Client(ClientEvent::Asked { request, command, answer, read }))
            .await
            .is_err()
        {
            taken.memory = None;
            taken.ended = Ended::Failed;
            let wait = Wait::Ready(resp::error("ERR stopping"));
            return self.pending.push_back(Slot { wait, taken: Some(taken) });
        }
        self.asked += 1;
        self.pending.push_back(Slot { wait: Wait::Node(id, receiver, guard), taken: Some(taken) });
    }
}

/// Writes a value as its parts come. Where the rest doesn't come, or the client takes none of it, the connection has to end:
/// so the client can tell that it is not whole.
async fn pass_on(
    net: &impl Net,
    writing: &mut (impl AsyncWrite + Unpin),
    value: &mut Passing,
) -> std::io::Result<()> {
    let mut write = async |bytes: &[u8]| {
        let whole = net.timeout(SLOW_READER, writing.write_all(bytes)).await;
        whole.unwrap_or_else(|| Err(ErrorKind::TimedOut.into()))
    };
    write(format!("${}\r\n", value.length).as_bytes()).await?;
    let mut left = value.length;
    while let Some(part) = value.parts.recv().await {
        left = left.saturating_sub(part.len());
        write(&part).await?;
    }
    if left > 0 && !planted(Plant::CutIsWhole) {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    write(b"\r\n").await
}

/// Reads what has come; whether the client is still there. Room is made only once something is there. Safe to drop
/// and call again.
async fn read(reading: &impl Reading, buffer: &mut BytesMut) -> bool {
    loop {
        if reading.readable().await.is_err() {
            return false;
        }
        buffer.reserve(READ);
        match reading.try_read_buf(buffer) {
            Ok(read) => return read > 0,
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
}

/// What becomes of what a client sends while its commands are not taken.
enum Unread<'a> {
    /// It is read ahead, within a bound, and told of.
    Kept(&'a mut BytesMut, &'a mut dyn FnMut()),
    /// It is read and means nothing: behind an error, or the last word.
    Dropped,
    /// It stays where it is, for the client to ask elsewhere.
    Left,
}

/// Ends when the client has gone away, at whatever this connection is busy with. Safe to drop and call again.
async fn gone(net: &impl Net, reading: &impl Reading, mut unread: Unread<'_>) {
    if planted(Plant::SentAfterLeft) {
        return std::future::pending().await;
    }
    let mut dropped = BytesMut::new();
    loop {
        let here = match &mut unread {
            Unread::Kept(buffer, told) if buffer.len() < AHEAD => {
                let more = read(reading, buffer).await;
                told();
                more
            }
            Unread::Dropped => {
                dropped.clear();
                read(reading, &mut dropped).await
            }
            // An end behind what is unread can be seen, but not waited for.
            Unread::Kept(..) | Unread::Left => {
                net.sleep(LOOK).await;
                !reading.closed()
            }
        };
        if !here {
            return;
        }
    }
}

/// Ends a connection on which something may be unread: closed at once that would be a reset, which can destroy answers
/// that the client has not read yet. It hears the end, and has a moment to close its side.
async fn part(
    net: &impl Net,
    reading: &impl Reading,
    writing: &mut (impl AsyncWrite + Unpin),
    unread: Unread<'_>,
) {
    if writing.shutdown().await.is_ok() {
        net.timeout(PARTING, gone(net, reading, unread)).await;
    }
}

/// Whether nothing has come in that is not read yet: a connection is closed only then, or a request would be lost
/// with it.
async fn quiet(net: &impl Net, reading: &impl Reading, buffer: &mut BytesMut) -> bool {
    if planted(Plant::CloseOverUnread) {
        return true;
    }
    // Once round the runtime, which looks at the sockets then.
    net.yield_now().await;
    buffer.reserve(READ);
    !matches!(reading.try_read_buf(buffer), Ok(read) if read > 0)
}

/// How many answers are ready at the front, once one is. Safe to drop and call again.
async fn ready_answers(pending: &mut VecDeque<Slot>) -> usize {
    poll_fn(|cx| {
        let (mut ready, mut size) = (0, 0);
        for slot in pending.iter_mut() {
            if let Wait::Node(_, receiver, _) = &mut slot.wait {
                let Poll::Ready(answer) = Pin::new(receiver).poll(cx) else { break };
                if let Some(taken) = &mut slot.taken {
                    taken.ended = match &answer {
                        Ok(Answer::Value(_) | Answer::Passing(_)) => Ended::Completed,
                        Ok(Answer::Busy(_)) => Ended::Rejected,
                        Ok(Answer::Failed) | Err(_) => Ended::Failed,
                    };
                }
                slot.wait = Wait::Ready(match answer {
                    Ok(Answer::Passing(value)) => {
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
