//! The listener and RESP2 from clients. Answers go out in the order of the commands on a connection.

mod commands;
mod pending;
mod request;
mod session;
mod socket;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::poll_fn;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};

use brassrouter::settings::Site;
use brassrouter::{Micros, RequestId};
use mothpier_net::{Listener, Net, Stream};
use mothpier_session::Connection as Told;
use mothpier_slots::Tier;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc};

use self::pending::{Slot, Wait};
use self::session::Session;
use crate::accept_failure::AcceptFailure;
use crate::binding::Binding;
use crate::cancellation::ConnectionProbe;
use crate::event_log::{Event, EventLog};
use crate::guards::{self, Invariant};
use crate::membership::Membership;
use crate::messages::{ClientEvent, Command, NodeInput, OpenRequestIds};
use crate::metrics::{CloseReason, Metrics, RefusalReason};
use crate::phase::ServingPhase;
use crate::process_handover::Share;
use crate::resp::MAX_VALUE;
use crate::{Mutation, mutation_active};

/// Requests of one connection that may be open; those beyond are refused.
const MAX_PIPELINE: usize = 128;
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
    pub phase: Rc<ServingPhase>,
    /// Where ends of requests are counted.
    pub figures: Rc<Metrics>,
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
    figures: Rc<Metrics>,
    event_log: Rc<EventLog>,
    share: Rc<Share>,
    /// When it began, and how many connections and commands came since.
    began: Instant,
    connections: Cell<u64>,
    commands: Cell<u64>,
    next_request: Cell<RequestId>,
    ids: OpenRequestIds,
    /// Permits of a KB, and how many there are.
    memory: Arc<Semaphore>,
    memory_kb: usize,
    most: usize,
    phase: Rc<ServingPhase>,
    events: mpsc::Sender<NodeInput>,
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
        events: mpsc::Sender<NodeInput>,
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
            ids: OpenRequestIds::default(),
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
                Err(_) if mutation_active(Mutation::AcceptLoopEnds) => return,
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
                let _ = self.events.send(NodeInput::Client(ClientEvent::Gone(id))).await;
            }
            self.open.borrow_mut().remove(&number);
            self.closed.notify_waiters();
            self.closed.notify_one();
        });
    }
}
