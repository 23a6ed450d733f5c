//! Connections to the cache servers, and the choice of the connection for an attempt. The protocol is RESP2,
//! with answers in the order of the commands.

mod answer_form;
mod answer_times;
mod command;
mod connection;
mod large_value;
mod pipeline;
mod pool;
mod reader;
mod recently_used;

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use brassrouter::ServerId;
use mothpier_net::Net;
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::mpsc;

use self::answer_times::{AnswerTimes, MinimumTime};
use self::command::ExpectedReply;
use self::pool::Pool;
use self::recently_used::{RecentlyUsed, State};
use crate::memory::NodeMemory;
use crate::messages::{AttemptId, NodeInput, ServerEvent as Event};
use crate::metrics::{Metrics, ServerCloseReason};
use crate::process_handover::Share;
use crate::streamed_value::StreamedValue;
use crate::{Mutation, mutation_active};

pub use self::answer_form::cache_lookup;
pub use self::command::{Command, Payload};

/// Target number of connections of all nodes together to one server. Servers accept few connections, each of
/// which takes some of their capacity, so the nodes share this number.
const TIER_CONNECTIONS_PER_SERVER: usize = 32;
/// Maximum number of connections of one node to one server.
const MAX_CONNECTIONS_PER_SERVER: usize = 4;
/// A connection that has been idle for this fraction of the servers' idle timeout is not used again.
const REUSABLE_IDLE_FRACTION: f64 = 0.7;
/// Number of connections that are kept open until their servers close them. Beyond it, connections are closed
/// after [`SHORT_IDLE_TIMEOUT`]: with that many servers, a node does not use each of them regularly.
const MAX_LONG_LIVED_CONNECTIONS: usize = 200;
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// After a refused connection, no additional connection to the server is opened for this long while others
/// work.
const REFUSED_RECONNECT_DELAY: Duration = Duration::from_secs(2);
/// How long the former number of a server is remembered; longer than any attempt lasts.
const RENUMBERING_RETENTION: Duration = Duration::from_secs(600);

/// How an attempt at a cache server ended.
pub enum Ended {
    /// It was answered with a well-formed frame.
    Answered(BytesFrame),
    /// Its answer has started, with a value that is too large to be buffered.
    AnswerStarted(StreamedValue),
    /// What was received cannot be its answer. It has run; the connection is closed.
    InvalidAnswer,
    /// The connection ended after the whole command had been written.
    Reset,
    /// The command was not written completely, so it cannot have run.
    NotConnected,
}

/// Limits and settings of the connections to cache servers.
#[derive(Clone)]
pub struct Limits {
    pub balancers: usize,
    pub multiplex: usize,
    pub idle_close: Duration,
    pub connect_timeout: Duration,
    /// Maximum number of connections to all servers together.
    pub max_connections: usize,
    /// Replicas may be read: each connection starts with `READONLY`.
    pub read_copies: bool,
    /// The servers are nodes of the shared tier, whose answers have the form that nodes give to clients.
    pub tier: bool,
    /// Counts attempts and closed connections.
    pub metrics: Rc<Metrics>,
    /// The share of the node's resources that this process may use.
    pub share: Rc<Share>,
    /// Memory for answers beyond what each request may hold.
    pub memory: NodeMemory,
}

impl Limits {
    /// Returns the maximum number of connections to all servers that this process may open now.
    fn descriptors_now(&self) -> usize {
        Share::of(&self.share.descriptors, self.max_connections).max(1)
    }

    /// Returns this node's share of the connections to one server, given the number of ready servers.
    fn connection_share(&self, descriptors: usize, ready: usize) -> usize {
        // Where a connection carries only one attempt at a time, the number of attempts limits the
        // connections, and the policy bounds it. With its share of the target alone, one of many nodes would
        // have a single connection per server and fail its own attempts.
        let max_connections = match self.multiplex {
            1 => MAX_CONNECTIONS_PER_SERVER,
            _ => (TIER_CONNECTIONS_PER_SERVER / self.balancers.max(1)).clamp(1, MAX_CONNECTIONS_PER_SERVER),
        };
        max_connections.min((descriptors / ready.max(1)).max(1))
    }
}

/// All connections to cache servers.
pub struct Servers<N: Net> {
    net: N,
    /// Ordered, so that events that concern several servers are processed in the same order in every run.
    pools: BTreeMap<ServerId, Pool<N>>,
    limits: Limits,
    events: mpsc::Sender<NodeInput>,
    last_connection_number: u64,
    /// Former numbers of servers, kept while there may be attempts that refer to them.
    renamed: BTreeMap<ServerId, (ServerId, Instant)>,
    /// The number of connections to all servers, and of ready servers; kept as counters because each attempt
    /// needs them.
    connection_count: Rc<Cell<usize>>,
    ready_count: usize,
    /// The minimum answer time over all servers.
    answer_times: Rc<MinimumTime>,
    /// The order in which connections were last used.
    recently_used: RecentlyUsed,
}

impl<N: Net> Servers<N> {
    pub fn new(net: N, limits: Limits, events: mpsc::Sender<NodeInput>) -> Self {
        Servers {
            net,
            pools: BTreeMap::new(),
            limits,
            events,
            last_connection_number: 0,
            renamed: BTreeMap::new(),
            connection_count: Rc::default(),
            ready_count: 0,
            answer_times: Rc::default(),
            recently_used: RecentlyUsed::default(),
        }
    }

    /// Changes the number of a server. Its connections and their commands are kept.
    pub fn renumber(&mut self, old: ServerId, new: ServerId) {
        let now = self.net.now();
        self.renamed.retain(|_, (_, at)| now.saturating_duration_since(*at) < RENUMBERING_RETENTION);
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

    /// Returns the current number of a server.
    fn current_number(&self, server: ServerId) -> ServerId {
        current_number(&self.pools, &self.renamed, server)
    }

    /// Applies an entry of the server list. Returns the unsent attempts if the server is no longer ready:
    /// after the drain grace period, not one byte of a new attempt may be sent to it, so none may be left to
    /// be written.
    pub fn apply_entry(
        &mut self,
        server: ServerId,
        address: Option<SocketAddr>,
        ready: bool,
    ) -> Vec<AttemptId> {
        if !ready && !self.pools.contains_key(&server) {
            return Vec::new();
        }
        let was_ready = self.is_ready(server);
        let pool = self.pools.entry(server).or_insert_with(|| Pool {
            address,
            ready,
            connections: Vec::new(),
            waiting: VecDeque::new(),
            answer_times: Rc::new(AnswerTimes::with_fallback(&self.answer_times)),
            no_additional_until: self.net.now(),
        });
        let address_changed = address.is_some() && address != pool.address;
        if address_changed {
            pool.answer_times = Rc::new(AnswerTimes::with_fallback(&self.answer_times));
        }
        pool.ready = ready;
        pool.address = address.or(pool.address);
        let mut unsent = Vec::new();
        if (!ready || address_changed) && !mutation_active(Mutation::DrainKeepsWaiting) {
            unsent.extend(pool.waiting.drain(..).map(|c| c.attempt));
            for c in &mut pool.connections {
                c.retired = true;
                unsent.extend(c.shared.pipeline.borrow_mut().unsent.drain(..).map(|c| c.attempt));
            }
            pool.connections.retain(|c| c.keep_or_close(c.command_count() > 0, ServerCloseReason::Retired));
        }
        self.remove_unused(server);
        self.ready_count = self.ready_count - usize::from(was_ready) + usize::from(ready);
        unsent
    }

    /// Returns the number of servers that have a connection pool.
    pub fn len(&self) -> usize {
        self.pools.len()
    }

    /// Returns the server at an address, preferring one that is ready.
    pub fn server_at(&self, address: SocketAddr) -> Option<ServerId> {
        let candidates = self.pools.iter().filter(|(_, p)| p.address == Some(address));
        candidates.max_by_key(|(_, p)| p.ready).map(|(id, _)| *id)
    }

    /// Returns the server at each address, with the preference of [`Servers::server_at`].
    pub fn by_address(&self) -> HashMap<SocketAddr, ServerId> {
        let mut servers: HashMap<SocketAddr, (bool, ServerId)> = HashMap::new();
        for (id, pool) in &self.pools {
            let Some(address) = pool.address else { continue };
            let preferred = servers.entry(address).or_insert((pool.ready, *id));
            if pool.ready >= preferred.0 {
                *preferred = (pool.ready, *id);
            }
        }
        servers.into_iter().map(|(address, (_, id))| (address, id)).collect()
    }

    /// Returns whether a server accepts new requests.
    pub fn is_ready(&self, server: ServerId) -> bool {
        self.pools.get(&server).is_some_and(|p| p.ready)
    }

    /// Returns the address of a server.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.pools.get(&self.current_number(server)).and_then(|p| p.address)
    }

    /// Returns the servers that accept new requests.
    pub fn ready(&self) -> Vec<ServerId> {
        self.pools.iter().filter(|(_, p)| p.ready).map(|(id, _)| *id).collect()
    }

    /// Marks the servers that a complete list does not contain as not ready. Returns their unsent attempts.
    pub fn retire_unlisted(&mut self, named: &dyn Fn(ServerId) -> bool) -> Vec<AttemptId> {
        let unlisted_servers: Vec<ServerId> =
            self.pools.iter().filter(|(id, p)| p.ready && !named(**id)).map(|(id, _)| *id).collect();
        unlisted_servers.into_iter().flat_map(|id| self.apply_entry(id, None, false)).collect()
    }

    /// Closes retired connections that have nothing left to do, and removes a server that is not ready and
    /// has no connections. Numbers of servers are not reused, so the state of removed servers would
    /// accumulate.
    fn remove_unused(&mut self, server: ServerId) {
        let Some(pool) = self.pools.get_mut(&server) else { return };
        pool.connections
            .retain(|c| c.keep_or_close(!c.retired || c.command_count() > 0, ServerCloseReason::Retired));
        if !pool.ready && pool.connections.is_empty() {
            self.pools.remove(&server);
        }
    }

    /// Sends an attempt on an idle connection, or on a new one within this node's share, or behind others on
    /// the least loaded connection. Returns `false` if there is no such connection; the attempt was not
    /// written then.
    pub fn send(&mut self, server: ServerId, command: Command) -> bool {
        let Some(pool) = self.pools.get_mut(&server).filter(|p| p.ready) else {
            return false;
        };
        let now = self.net.now();
        pool.close_stale(self.limits.idle_close.mul_f64(REUSABLE_IDLE_FRACTION), now);
        if let Some(idle) = pool.idle(now) {
            idle.push(command, now);
            return true;
        }
        let descriptors = self.limits.descriptors_now();
        let max_connections = self.limits.connection_share(descriptors, self.ready_count);
        let wants_more = pool.address.is_some() && pool.may_open(max_connections, self.limits.balancers, now);
        let may_open = wants_more && self.make_room(descriptors, now);
        let Some(pool) = self.pools.get_mut(&server) else { return false };
        let Some(address) = pool.address.filter(|_| may_open) else {
            return pool.append(command, self.limits.multiplex, now);
        };
        self.last_connection_number += 1;
        self.recently_used.opened(server, self.last_connection_number, now);
        self.connection_count.set(self.connection_count.get() + 1);
        let ids = (server, self.last_connection_number);
        pool.open(&self.net, ids, address, &self.limits, &self.events, self.connection_count.clone());
        pool.waiting.push_back(command);
        true
    }

    /// Closes the connections that have been idle longest if there are many, or if another one would exceed
    /// the limit. Returns whether another one may be opened.
    fn make_room(&mut self, descriptors: usize, now: Instant) -> bool {
        while self.connection_count.get() >= MAX_LONG_LIVED_CONNECTIONS.min(descriptors) {
            let is_full = self.connection_count.get() >= descriptors;
            let idle_since = if is_full { Some(now) } else { now.checked_sub(SHORT_IDLE_TIMEOUT) };
            if !idle_since.is_some_and(|since| self.close_longest_idle(now, since)) {
                return !is_full;
            }
        }
        true
    }

    /// Closes the connection that has been idle longest, if it has been idle since `idle_since`. Returns
    /// whether there was one.
    fn close_longest_idle(&mut self, now: Instant, idle_since: Instant) -> bool {
        let renamed = &self.renamed;
        let pools = &self.pools;
        let state = |server, number| {
            let server = current_number(pools, renamed, server);
            let connections = pools.get(&server).into_iter().flat_map(|pool| &pool.connections);
            match connections.into_iter().find(|c| c.number == number) {
                None => State::Closed,
                Some(c) if c.command_count() > 0 || !c.up() => State::Busy,
                Some(c) => State::Idle(c.last_used),
            }
        };
        let Some((server, number)) = self.recently_used.take_idle(now, idle_since, state) else {
            return false;
        };
        let server = self.current_number(server);
        if let Some(pool) = self.pools.get_mut(&server) {
            pool.connections.retain(|c| c.keep_or_close(c.number != number, ServerCloseReason::Evicted));
        }
        self.remove_unused(server);
        true
    }

    /// Processes an event of a connection and returns the attempts that it ends.
    pub fn event(&mut self, server: ServerId, number: u64, event: Event) -> Vec<(AttemptId, Ended)> {
        let (now, server) = (self.net.now(), self.current_number(server));
        // An event that was sent before its server was removed still ends its attempts: a server may be
        // removed while its final event is in the queue.
        let mut pool = self.pools.get_mut(&server);
        if pool.as_ref().is_some_and(|p| !p.ready) && mutation_active(Mutation::LastWordLost) {
            return Vec::new();
        }
        let mut ended = Vec::new();
        match event {
            Event::Up => {}
            Event::Answer(attempt, frame) => {
                let connections = pool.iter_mut().flat_map(|p| &mut p.connections);
                connections.filter(|c| c.number == number).for_each(|c| c.last_used = now);
                ended.push((attempt, Ended::Answered(frame)));
            }
            Event::AnswerStarted(attempt, value) => ended.push((attempt, Ended::AnswerStarted(value))),
            Event::InvalidAnswer(attempt) => ended.push((attempt, Ended::InvalidAnswer)),
            Event::Down { refused, written, unwritten } => {
                if let Some(pool) = &mut pool {
                    let reason =
                        if refused { ServerCloseReason::NotEstablished } else { ServerCloseReason::Ended };
                    pool.connections.retain(|c| c.keep_or_close(c.number != number, reason));
                    if refused {
                        pool.no_additional_until = now + REFUSED_RECONNECT_DELAY;
                    }
                }
                ended.extend(written.into_iter().map(|id| (id, Ended::Reset)));
                ended.extend(unwritten.into_iter().map(|id| (id, Ended::NotConnected)));
            }
        }
        if let Some(pool) = pool {
            pool.assign_waiting(self.limits.multiplex, now, &mut ended);
        }
        self.remove_unused(server);
        ended
    }

    /// Withdraws an attempt that has not been written completely. Returns whether that succeeded, so that the
    /// attempt cannot run. A partly written command can be withdrawn only by closing its connection, and only
    /// if no other attempt waits on that.
    pub fn withdraw(&mut self, server: ServerId, attempt: AttemptId) -> bool {
        let server = self.current_number(server);
        let Some(pool) = self.pools.get_mut(&server) else { return false };
        let mut withdrawn = pool.remove_unsent(attempt);
        pool.connections.retain(|c| {
            let mut pipeline = c.shared.pipeline.borrow_mut();
            let half_written = pipeline.give_up_writing(attempt);
            // The withdrawn attempt may have been the last one waiting behind a command that was given up.
            let ends = (half_written || withdrawn) && pipeline.is_abandoned();
            withdrawn |= ends && half_written;
            c.keep_or_close(!ends, ServerCloseReason::GivenUp)
        });
        self.remove_unused(server);
        withdrawn
    }

    /// Stops waiting for an attempt and returns whether it may have run. It has certainly not run only if it
    /// is found unsent: if it is not found at all, the final event of its connection may still be in the
    /// queue. The connection is closed only if no other attempts are left on it.
    pub fn give_up(&mut self, server: ServerId, attempt: AttemptId) -> bool {
        let server = self.current_number(server);
        let Some(pool) = self.pools.get_mut(&server) else { return true };
        let mut unsent = pool.remove_unsent(attempt);
        pool.connections.retain(|c| {
            let mut pipeline = c.shared.pipeline.borrow_mut();
            if mutation_active(Mutation::ShiftedAnswers) {
                pipeline.sent.retain(|s| s.attempt != attempt);
                return true;
            }
            let mut on_connection = false;
            for s in pipeline.sent.iter_mut().filter(|s| s.attempt == attempt) {
                s.given_up = true;
                on_connection |= s.expected_reply != ExpectedReply::Acknowledgement;
            }
            let half_written = pipeline.give_up_writing(attempt);
            let ends = (on_connection || half_written || unsent) && pipeline.is_abandoned();
            // Closing the connection discards the rest of the command.
            unsent |= ends && half_written;
            c.keep_or_close(!ends, ServerCloseReason::GivenUp)
        });
        self.remove_unused(server);
        !unsent
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&mut self, server: ServerId) {
        if let Some(pool) = self.pools.get_mut(&server) {
            pool.connections
                .retain(|c| c.keep_or_close(!c.up() || c.command_count() > 0, ServerCloseReason::IdleClosed));
        }
    }
}

/// Returns the current number of a server that may have been renumbered.
fn current_number<P>(
    pools: &BTreeMap<ServerId, P>,
    renamed: &BTreeMap<ServerId, (ServerId, Instant)>,
    server: ServerId,
) -> ServerId {
    match renamed.get(&server) {
        Some((new, _)) if !pools.contains_key(&server) => *new,
        _ => server,
    }
}

#[cfg(test)]
mod tests;
