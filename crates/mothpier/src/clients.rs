//! Accepts client connections and serves RESP2 on them. Replies are sent in the order of the commands on a
//! connection.

mod commands;
mod incoming_value;
mod pending;
mod request;
mod session;
mod socket;
mod turn;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use brassrouter::settings::Site;
use brassrouter::{Effect, Micros, Request, RequestId};
use mothpier_net::{Listener, Net, Stream};
use mothpier_session::Connection as ConnectionState;
use mothpier_slots::Tier;
use tokio::sync::{Notify, mpsc};

use self::pending::{PendingReply, ReplyState};
use self::session::Session;
use self::turn::Turn;
use crate::accept_failure::AcceptFailure;
use crate::binding::Binding;
use crate::cancellation::ConnectionProbe;
use crate::event_log::{Event, EventLog};
use crate::guards::{self, Invariant};
use crate::membership::Membership;
use crate::memory::NodeMemory;
use crate::messages::{ClientEvent, Command, NodeInput};
use crate::metrics::{Metrics, RefusalReason};
use crate::phase::ServingPhase;
use crate::process_handover::Share;
use crate::request_ids::RequestIds;
use crate::{Mutation, mutation_active};

/// Maximum number of open requests on one connection; further ones are refused.
const MAX_PIPELINE: usize = 128;
/// Delay between attempts to accept while the node is at its limit, and the minimum idle time before a
/// connection may be evicted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Retry delay sent with a `BUSY` reply, in milliseconds.
const BUSY_RETRY_MS: u64 = 100;

/// State of the node that all client connections depend on.
pub struct ClientContext {
    /// Whether the node accepts connections and serves requests.
    pub phase: Rc<ServingPhase>,
    /// Counts finished requests and closed connections.
    pub metrics: Rc<Metrics>,
    /// The share of the node's resources that this process may use.
    pub share: Rc<Share>,
    /// The memory for requests and values.
    pub memory: NodeMemory,
    /// Logs connection and request events.
    pub event_log: Rc<EventLog>,
    /// The tier that is described to slot-aware clients, if the node serves them.
    pub tier: Option<Rc<RefCell<Tier>>>,
    /// The membership view, if there are further sources of cache servers beside the server list.
    pub membership: Option<Membership>,
    /// What the application may request, if the node is a sidecar.
    pub binding: Option<Binding>,
}

/// State shared by all client connections.
pub struct Clients<N> {
    net: N,
    /// The tier that is described to slot-aware clients, if the node serves them.
    tier: Option<Rc<RefCell<Tier>>>,
    /// The membership view, if there are further sources of cache servers beside the server list.
    membership: Option<Membership>,
    binding: Option<Binding>,
    site: Site,
    now: Box<dyn Fn() -> Micros>,
    /// Number of requests without a final reply. Each one is counted by a [`pending::PendingRequest`].
    pending_requests: Rc<Cell<usize>>,
    metrics: Rc<Metrics>,
    event_log: Rc<EventLog>,
    share: Rc<Share>,
    /// Start time, and the connections and commands received since then.
    started_at: Instant,
    connections_accepted: Cell<u64>,
    commands_received: Cell<u64>,
    next_request: Cell<RequestId>,
    ids: RequestIds,
    memory: NodeMemory,
    max_connections: usize,
    phase: Rc<ServingPhase>,
    events: mpsc::Sender<NodeInput>,
    open_connections: RefCell<BTreeMap<u64, ConnectionEntry>>,
    connection_closed: Notify,
}

struct ConnectionEntry {
    /// Time of the last input or reply; `None` while a reply is pending or the connection is being evicted.
    idle_since: Option<Instant>,
    /// The client has sent a well-formed command.
    has_sent_command: bool,
    evict: Rc<Notify>,
}

impl<N: Net> Clients<N> {
    pub fn new(
        net: N,
        site: Site,
        now: Box<dyn Fn() -> Micros>,
        context: ClientContext,
        max_connections: usize,
        events: mpsc::Sender<NodeInput>,
    ) -> Rc<Self> {
        let ClientContext { phase, metrics, share, memory, event_log, tier, membership, binding } = context;
        Rc::new(Clients {
            started_at: net.now(),
            connections_accepted: Cell::new(0),
            commands_received: Cell::new(0),
            net,
            tier,
            membership,
            binding,
            site,
            now,
            pending_requests: Rc::default(),
            metrics,
            event_log,
            share,
            next_request: Cell::new(1),
            ids: RequestIds::default(),
            memory,
            max_connections,
            phase,
            events,
            open_connections: RefCell::default(),
            connection_closed: Notify::new(),
        })
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.open_connections.borrow().len()
    }

    /// Returns the number of requests without a final reply.
    pub fn pending_request_count(&self) -> usize {
        self.pending_requests.get()
    }

    /// Returns the number of request ids in use.
    pub fn request_id_count(&self) -> usize {
        self.ids.open_count()
    }

    /// Returns the request ids that must not be used now.
    pub fn request_ids(&self) -> &RequestIds {
        &self.ids
    }

    /// Returns whether at least half of the permitted connections are open.
    fn is_half_full(&self) -> bool {
        self.connection_count() * 2 >= self.max_connections()
    }

    /// Returns the maximum number of connections of this process; processes that run side by side share the
    /// node's limit.
    fn max_connections(&self) -> usize {
        Share::of(&self.share.descriptors, self.max_connections).max(1)
    }

    /// Returns the number of bytes reserved for open requests, and for values.
    pub fn reserved_memory(&self) -> (usize, usize) {
        (self.memory.requests.reserved(), self.memory.reserved_for_values())
    }

    /// Waits until a connection is closed.
    pub async fn one_closed(&self) {
        self.connection_closed.notified().await;
    }

    /// Accepts connections until the phase shuts the listener, then those that are still in its backlog,
    /// unless they are left to another process.
    pub async fn accept(self: Rc<Self>, listener: N::Listener) {
        let mut connection_id = 0u64;
        let mut accept_failing = false;
        loop {
            if self.connection_count() >= self.max_connections() {
                // At the limit, evict the connection that has been idle longest. If none is idle, new
                // connections wait.
                self.evict();
                tokio::select! {
                    biased;
                    () = self.connection_closed.notified() => {}
                    () = self.net.sleep(ACCEPT_PAUSE) => {}
                    () = self.phase.until_accepting_stopped() => break,
                }
                continue;
            }
            let accepted = tokio::select! {
                biased;
                () = self.phase.until_accepting_stopped() => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Err(_) if mutation_active(Mutation::AcceptLoopEnds) => return,
                Ok((stream, _)) => {
                    accept_failing = false;
                    connection_id += 1;
                    self.clone().spawn_connection(stream, connection_id);
                    // Once half of the limit is in use, each new connection evicts up to two idle ones, so
                    // that the number falls. Clients may be limited to fewer connections than the node, and
                    // those whose connections are all taken up by others could send nothing.
                    if self.is_half_full() {
                        self.evict();
                        self.evict();
                    }
                }
                // The connection was lost before it was accepted, which says nothing about free resources.
                Err(e) if AcceptFailure::from(&e) == AcceptFailure::ConnectionLost => {
                    self.net.yield_now().await;
                }
                Err(e) => {
                    // Out of descriptors (EMFILE) or a similar temporary error: the listener must survive it.
                    if !std::mem::replace(&mut accept_failing, true) {
                        self.net.log(format_args!("accepting failed: {e}; trying again until it succeeds"));
                    }
                    self.evict();
                    self.net.sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        if self.phase.leaves_pending() {
            return;
        }
        loop {
            // The kernel has already completed the handshake of connections in the backlog, and their clients
            // may have sent requests: take them as others close.
            while self.connection_count() >= self.max_connections() {
                self.connection_closed.notified().await;
            }
            // Yield to the runtime once, so that it polls the listener.
            self.net.yield_now().await;
            let accepted = poll_fn(|cx| match listener.poll_accept(cx) {
                Poll::Ready(accepted) => Poll::Ready(Some(accepted)),
                Poll::Pending => Poll::Ready(None),
            });
            match accepted.await {
                None => return,
                Some(Ok((stream, _))) => {
                    connection_id += 1;
                    self.clone().spawn_connection(stream, connection_id);
                }
                Some(Err(e)) if AcceptFailure::from(&e) == AcceptFailure::ConnectionLost => {}
                // Out of descriptors: the rest of the backlog is accepted as other connections close.
                Some(Err(_)) => self.net.sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    /// Evicts the connection that has been idle longest. Connections without a complete command go first,
    /// otherwise clients that never finish or never send one would keep all others out. Connections that were
    /// opened only just now are exempt: while all others are busy, they would be evicted before they could
    /// send a request.
    fn evict(&self) {
        let mut open_connections = self.open_connections.borrow_mut();
        let is_idle = |e: &&mut ConnectionEntry| {
            e.idle_since.is_some_and(|since| self.net.since(since) >= ACCEPT_PAUSE)
        };
        let longest_idle =
            open_connections.values_mut().filter(is_idle).min_by_key(|e| (e.has_sent_command, e.idle_since));
        if let Some(entry) = longest_idle {
            // Not selected again while it closes: the next new connection needs a different one evicted.
            entry.idle_since = None;
            entry.evict.notify_one();
        }
    }

    /// Returns the class of a request, and whether such requests may be sent any number of times.
    fn class_of(&self, request: &Request) -> (usize, bool) {
        let class = request.class;
        (class, self.site.policy.classes.get(class).is_some_and(|class| class.effect == Effect::Safe))
    }

    /// Counts and logs a request that is refused before it reaches the node.
    fn record_refusal(&self, command: &Command, open_on_connection: usize) {
        let pipeline_full = open_on_connection >= MAX_PIPELINE;
        let reason = if pipeline_full { RefusalReason::Pipeline } else { RefusalReason::Memory };
        self.metrics.count_refusal(reason);
        let (request, retry_after_ms) = (command.id_text(), BUSY_RETRY_MS);
        self.log_event(&Event::Refused { request: &request, reason, attempts: 0, retry_after_ms });
    }

    fn log_event(&self, event: &Event) {
        if let Some(line) = self.event_log.format_line(self.net.now(), event) {
            self.net.log(line);
        }
    }

    /// Counts a violated invariant and logs it; the metrics limit how often it is logged.
    fn report_violation(&self, invariant: Invariant, connection: u64) {
        if self.metrics.count_violation(invariant) {
            self.net.log(format_args!("invariant {} violated by connection {connection}", invariant.name()));
        }
    }

    fn spawn_connection(self: Rc<Self>, stream: N::Stream, connection_id: u64) {
        if let Err(invariant) = guards::may_start(self.phase.knows_fleet_drains()) {
            self.report_violation(invariant, connection_id);
        }
        self.connections_accepted.set(self.connections_accepted.get() + 1);
        let evict = Rc::new(Notify::new());
        let entry = ConnectionEntry {
            idle_since: Some(self.net.now()),
            has_sent_command: false,
            evict: evict.clone(),
        };
        self.open_connections.borrow_mut().insert(connection_id, entry);
        let net = self.net.clone();
        net.spawn(async move {
            stream.set_nodelay();
            let (read_half, write_half) = stream.split();
            let read_half = Rc::new(read_half);
            let pending = VecDeque::new();
            let connection_state = ConnectionState::new(connection_id);
            let probe = Rc::new(ConnectionProbe::new(read_half.clone()));
            let mut session = Session {
                clients: self.clone(),
                connection_id,
                pending,
                forwarded: 0,
                has_sent_command: false,
                input_ended: false,
                incoming_value: None,
                queue_memory: None,
                bytes_to_skip: 0,
                skips_slowly: false,
                connection_state,
                probe,
                turn: Turn::default(),
                commands: 0,
                rejected: 0,
            };
            let reason = session.run(&*read_half, write_half, evict).await;
            self.metrics.count_close(reason);
            self.log_event(&Event::ConnectionClosed {
                connection: connection_id,
                reason,
                unanswered: session.pending.len(),
                commands: session.commands,
                rejected: session.rejected,
            });
            // Drop every handle of the connection, so that it is closed now.
            drop(read_half);
            let Session { pending, .. } = session;
            // Drop all pending replies before the first send can block on the queue: the cancellation tokens
            // then report these requests as cancelled.
            let forwarded_id = |reply: PendingReply| {
                if let ReplyState::Forwarded(id, ..) = reply.state { Some(id) } else { None }
            };
            let cancelled: Vec<RequestId> = pending.into_iter().filter_map(forwarded_id).collect();
            for id in cancelled {
                let _ = self.events.send(NodeInput::Client(ClientEvent::Disconnected(id))).await;
            }
            self.open_connections.borrow_mut().remove(&connection_id);
            self.connection_closed.notify_waiters();
            self.connection_closed.notify_one();
        });
    }
}
