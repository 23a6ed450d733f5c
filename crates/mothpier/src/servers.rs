//! Connections to the cache servers, and which of them carries an attempt. RESP2, answers in order.

mod answer_times;
mod command;
mod connection;
mod large_value;
mod line;
mod pool;
mod reader;
mod recently_used;

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use brassrouter::ServerId;
use mothpier_net::Net;
use redis_protocol::resp2::types::BytesFrame;
use tokio::sync::{Semaphore, mpsc};

use self::answer_times::{AnswerTimes, LeastTime};
use self::command::Owed;
use self::pool::Pool;
use self::recently_used::{RecentlyUsed, State};
use crate::messages::{AttemptId, NodeInput, ServerEvent as Event, StreamedValue};
use crate::metrics::{Metrics, ServerCloseReason};
use crate::process_handover::Share;
use crate::{Mutation, mutation_active};

pub use self::command::{Command, Payload};

/// Connections of the whole tier to one server that are aimed at: servers hold few, each takes some of its
/// capacity, and the nodes share them.
const TIER_CONNECTIONS: usize = 32;
/// Most of one node to one server.
const MOST_CONNECTIONS: usize = 4;
/// A connection idle for this part of the time after which servers close it is not used again.
const FRESH: f64 = 0.7;
/// Connections that are kept for as long as their servers keep them. Where there are more servers than a node sees again
/// and again, each further one is closed once it has been idle for a shorter time.
const LONG_KEPT_CONNECTIONS: usize = 200;
const IDLE_BEYOND: Duration = Duration::from_secs(5);
/// After a refused connection none beside those that work is opened for this long.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);
/// A server's former number is known for so long: longer than any attempt is out.
const REMEMBERED: Duration = Duration::from_secs(600);

/// How an attempt at a cache server ended.
pub enum Ended {
    /// A frame of the agreed form came back for it.
    Answered(BytesFrame),
    /// Its answer has begun, with a value too large to be held.
    Began(StreamedValue),
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
    pub figures: Rc<Metrics>,
    /// What this process may use of what the node has.
    pub share: Rc<Share>,
    /// Memory, in permits of a KB, for large values that others wait behind.
    pub held: Arc<Semaphore>,
}

impl Limits {
    /// Connections to all servers that this process may have now.
    fn descriptors_now(&self) -> usize {
        Share::of(&self.share.descriptors, self.descriptors).max(1)
    }

    /// This node's part of the connections to one server, where so many servers take requests.
    fn connections_to_one(&self, descriptors: usize, ready: usize) -> usize {
        // Where a connection carries one attempt at a time its number is that of the attempts, which the decisions
        // bound: a node that is one of many would have a single one at each server, and shut itself out.
        let part = match self.multiplex {
            1 => MOST_CONNECTIONS,
            _ => (TIER_CONNECTIONS / self.balancers.max(1)).clamp(1, MOST_CONNECTIONS),
        };
        part.min((descriptors / ready.max(1)).max(1))
    }
}

/// All connections to cache servers.
pub struct Servers<N: Net> {
    net: N,
    /// In order: what happens to several at once happens in the same order every time.
    pools: BTreeMap<ServerId, Pool<N>>,
    limits: Limits,
    events: mpsc::Sender<NodeInput>,
    numbers: u64,
    /// Former numbers of servers, for as long as attempts may be out that know them by those.
    renamed: BTreeMap<ServerId, (ServerId, Instant)>,
    /// Connections to all servers, and how many servers take new requests: asked with every attempt.
    all: Rc<Cell<usize>>,
    ready: usize,
    /// How soon any server answers.
    answer_times: Rc<LeastTime>,
    /// Which connection has been idle longest.
    recently_used: RecentlyUsed,
}

impl<N: Net> Servers<N> {
    pub fn new(net: N, limits: Limits, events: mpsc::Sender<NodeInput>) -> Self {
        Servers {
            net,
            pools: BTreeMap::new(),
            limits,
            events,
            numbers: 0,
            renamed: BTreeMap::new(),
            all: Rc::default(),
            ready: 0,
            answer_times: Rc::default(),
            recently_used: RecentlyUsed::default(),
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
        present(&self.pools, &self.renamed, server)
    }

    /// Takes a line of the list. Returns the attempts that were not begun to be written to a server that now
    /// wants none: after the grace not one byte of a new attempt may go there, so none is left to be sent.
    pub fn listed(&mut self, server: ServerId, address: Option<SocketAddr>, ready: bool) -> Vec<AttemptId> {
        if !ready && !self.pools.contains_key(&server) {
            return Vec::new();
        }
        let was_ready = self.is_ready(server);
        let pool = self.pools.entry(server).or_insert_with(|| Pool {
            address,
            ready,
            connections: Vec::new(),
            waiting: VecDeque::new(),
            answer_times: Rc::new(AnswerTimes::beside(&self.answer_times)),
            alone_until: self.net.now(),
        });
        let moved = address.is_some() && address != pool.address;
        if moved {
            pool.answer_times = Rc::new(AnswerTimes::beside(&self.answer_times));
        }
        pool.ready = ready;
        pool.address = address.or(pool.address);
        let mut unsent = Vec::new();
        if (!ready || moved) && !mutation_active(Mutation::DrainKeepsWaiting) {
            unsent.extend(pool.waiting.drain(..).map(|c| c.attempt));
            for c in &mut pool.connections {
                c.retired = true;
                unsent.extend(c.shared.line.borrow_mut().unsent.drain(..).map(|c| c.attempt));
            }
            pool.connections.retain(|c| c.is_kept(c.load() > 0, ServerCloseReason::Retired));
        }
        self.tidy(server);
        self.ready = self.ready - usize::from(was_ready) + usize::from(ready);
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

    /// The same for all addresses: where many are asked for.
    pub fn by_address(&self) -> HashMap<SocketAddr, ServerId> {
        let mut servers: HashMap<SocketAddr, (bool, ServerId)> = HashMap::new();
        for (id, pool) in &self.pools {
            let Some(address) = pool.address else { continue };
            let here = servers.entry(address).or_insert((pool.ready, *id));
            if pool.ready >= here.0 {
                *here = (pool.ready, *id);
            }
        }
        servers.into_iter().map(|(address, (_, id))| (address, id)).collect()
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
        pool.connections.retain(|c| c.is_kept(!c.retired || c.load() > 0, ServerCloseReason::Retired));
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
        pool.close_stale(self.limits.idle_close.mul_f64(FRESH), now);
        if let Some(idle) = pool.idle(now) {
            idle.push(command, now);
            return true;
        }
        let descriptors = self.limits.descriptors_now();
        let part = self.limits.connections_to_one(descriptors, self.ready);
        let wants_more = pool.address.is_some() && pool.may_open(part, self.limits.balancers, now);
        let may_open = wants_more && self.make_room(descriptors, now);
        let Some(pool) = self.pools.get_mut(&server) else { return false };
        let Some(address) = pool.address.filter(|_| may_open) else {
            return pool.append(command, self.limits.multiplex, now);
        };
        self.numbers += 1;
        self.recently_used.opened(server, self.numbers, now);
        self.all.set(self.all.get() + 1);
        let names = (server, self.numbers);
        pool.open(&self.net, names, address, &self.limits, &self.events, self.all.clone());
        pool.waiting.push_back(command);
        true
    }

    /// Closes connections that have been idle longest where there are many, or no room for another one; whether there is
    /// room then.
    fn make_room(&mut self, descriptors: usize, now: Instant) -> bool {
        while self.all.get() >= LONG_KEPT_CONNECTIONS.min(descriptors) {
            let is_full = self.all.get() >= descriptors;
            let idle_since = if is_full { Some(now) } else { now.checked_sub(IDLE_BEYOND) };
            if !idle_since.is_some_and(|since| self.close_longest_idle(now, since)) {
                return !is_full;
            }
        }
        true
    }

    /// Closes the connection that has been idle longest, if that is since a time; whether there was one.
    fn close_longest_idle(&mut self, now: Instant, idle_since: Instant) -> bool {
        let renamed = &self.renamed;
        let pools = &self.pools;
        let state = |server, number| {
            let server = present(pools, renamed, server);
            let connections = pools.get(&server).into_iter().flat_map(|pool| &pool.connections);
            match connections.into_iter().find(|c| c.number == number) {
                None => State::Closed,
                Some(c) if c.load() > 0 || !c.up() => State::Busy,
                Some(c) => State::Idle(c.used),
            }
        };
        let Some((server, number)) = self.recently_used.take_idle(now, idle_since, state) else {
            return false;
        };
        let server = self.present(server);
        if let Some(pool) = self.pools.get_mut(&server) {
            pool.connections.retain(|c| c.is_kept(c.number != number, ServerCloseReason::Evicted));
        }
        self.tidy(server);
        true
    }

    /// Takes what a connection tells and returns the attempts that this ends.
    pub fn event(&mut self, server: ServerId, number: u64, event: Event) -> Vec<(AttemptId, Ended)> {
        let (now, server) = (self.net.now(), self.present(server));
        // What a connection told before its server was forgotten still ends its attempts: a server that owes nothing any
        // more is one whose last word may be on its way here.
        let mut pool = self.pools.get_mut(&server);
        if pool.as_ref().is_some_and(|p| !p.ready) && mutation_active(Mutation::LastWordLost) {
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
                    let reason = if refused { ServerCloseReason::NotMade } else { ServerCloseReason::Ended };
                    pool.connections.retain(|c| c.is_kept(c.number != number, reason));
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
            c.is_kept(!ends, ServerCloseReason::GivenUp)
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
            if mutation_active(Mutation::ShiftedAnswers) {
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
            c.is_kept(!ends, ServerCloseReason::GivenUp)
        });
        self.tidy(server);
        !unsent
    }

    /// Closes the connections to a server that carry nothing.
    pub fn close_idle(&mut self, server: ServerId) {
        if let Some(pool) = self.pools.get_mut(&server) {
            pool.connections.retain(|c| c.is_kept(!c.up() || c.load() > 0, ServerCloseReason::Rested));
        }
    }
}

/// The number that a server has now, where some were renamed.
fn present<P>(
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
