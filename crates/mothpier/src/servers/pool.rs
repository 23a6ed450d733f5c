//! The connections to one cache server, and the choice of the connection for an attempt.

use std::cell::Cell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use brassrouter::ServerId;
use mothpier_net::Net;
use tokio::sync::mpsc;

use super::answer_times::AnswerTimes;
use super::connection::{Connection, Driver};
use super::pipeline::SharedState;
use super::{Command, Ended, Limits, MAX_CONNECTIONS_PER_SERVER, TIER_CONNECTIONS_PER_SERVER};
use crate::messages::{AttemptId, NodeInput};
use crate::metrics::ServerCloseReason;

/// A connection that was answered within this time is used only if no other one is free, because a duplicate
/// answer may follow.
pub(super) const RECENTLY_ANSWERED: Duration = Duration::from_millis(10);

/// The connections to a server that is ready or still has answers to give; other servers are removed.
pub(super) struct Pool<N: Net> {
    pub(super) address: Option<SocketAddr>,
    /// Whether the server list says that it accepts new requests.
    pub(super) ready: bool,
    pub(super) connections: Vec<Connection<N>>,
    /// Attempts that wait for a connection being established.
    pub(super) waiting: VecDeque<Command>,
    /// The answer times of the server.
    pub(super) answer_times: Rc<AnswerTimes>,
    /// After a refused connection, no additional one is opened before this time.
    pub(super) no_additional_until: Instant,
}

impl<N: Net> Pool<N> {
    /// Closes connections that have been idle for so long that the server may close them.
    pub(super) fn close_stale(&mut self, max_idle: Duration, now: Instant) {
        let is_fresh = |c: &Connection<N>| now.saturating_duration_since(c.last_used) < max_idle;
        self.connections.retain(|c| {
            c.keep_or_close(c.command_count() > 0 || !c.up() || is_fresh(c), ServerCloseReason::Stale)
        });
    }

    /// Returns a connection on which a command could be answered at once. One that was answered only just now
    /// is the last choice: a duplicate answer to the last command would be taken for the answer to whatever
    /// is written before it arrives.
    pub(super) fn idle(&mut self, now: Instant) -> Option<&mut Connection<N>> {
        let available = self.connections.iter_mut().filter(|c| c.is_available());
        available.min_by_key(|c| now.saturating_duration_since(c.last_used) < RECENTLY_ANSWERED)
    }

    /// Returns whether another connection may be opened, given this node's share of connections.
    pub(super) fn may_open(&self, max_connections: usize, balancers: usize, now: Instant) -> bool {
        // A connection that streams a large value is occupied for as long as its client reads. Others replace
        // it, up to the target number of the whole tier.
        let streaming = self.connections.iter().filter(|c| c.shared.pipeline.borrow().streaming).count();
        let streaming =
            streaming.min((TIER_CONNECTIONS_PER_SERVER / balancers.max(1)).max(MAX_CONNECTIONS_PER_SERVER));
        let open = self.connections.iter().filter(|c| !c.retired).count() - streaming;
        // A connection that is blocked by something given up does not count, since it may never recover.
        let usable = self
            .connections
            .iter()
            .filter(|c| !c.shared.pipeline.borrow().is_stalled() && !c.retired)
            .count();
        usable < max_connections
            && (usable == 0 || now >= self.no_additional_until)
            && open < MAX_CONNECTIONS_PER_SERVER
    }

    /// Starts to establish a connection.
    pub(super) fn open(
        &mut self,
        net: &N,
        (server, number): (ServerId, u64),
        address: SocketAddr,
        limits: &Limits,
        events: &mpsc::Sender<NodeInput>,
        connection_count: Rc<Cell<usize>>,
    ) {
        let shared = Rc::new(SharedState { server: Cell::new(server), ..SharedState::default() });
        let driver = Driver {
            net: net.clone(),
            number,
            address,
            limits: limits.clone(),
            shared: shared.clone(),
            answer_times: self.answer_times.clone(),
            events: events.clone(),
        };
        let task = net.spawn(driver.run());
        let last_used = net.now();
        let (metrics, close_reason) = (limits.metrics.clone(), Cell::new(ServerCloseReason::Ended));
        self.connections.push(Connection {
            number,
            shared,
            task,
            last_used,
            retired: false,
            connection_count,
            metrics,
            close_reason,
        });
    }

    /// Removes an attempt of which no byte was sent. Returns whether there was one.
    pub(super) fn remove_unsent(&mut self, attempt: AttemptId) -> bool {
        let remove = |from: &mut VecDeque<Command>| {
            let before = from.len();
            from.retain(|c| c.attempt != attempt);
            from.len() < before
        };
        self.connections.iter().fold(remove(&mut self.waiting), |removed, c| {
            remove(&mut c.shared.pipeline.borrow_mut().unsent) || removed
        })
    }

    /// Queues an attempt on the connection with the fewest commands that is not stalled.
    pub(super) fn append(&mut self, command: Command, multiplex: usize, now: Instant) -> bool {
        let usable_load = |c: &Connection<N>| {
            let pipeline = c.shared.pipeline.borrow();
            (pipeline.up
                && !pipeline.ending
                && !c.retired
                && !pipeline.is_stalled()
                && pipeline.command_count() < multiplex)
                .then(|| pipeline.command_count())
        };
        if let Some(c) =
            self.connections.iter_mut().filter(|c| usable_load(c).is_some()).min_by_key(|c| usable_load(c))
        {
            c.push(command, now);
            return true;
        }
        let connecting = self.connections.iter().filter(|c| !c.up() && !c.retired).count();
        let has_room = self.waiting.len() < connecting * multiplex;
        if has_room {
            self.waiting.push_back(command);
        }
        has_room
    }

    /// Assigns waiting attempts to free connections. Once no connection is being established any more, the
    /// remaining attempts are queued behind others, or end as not connected.
    pub(super) fn assign_waiting(
        &mut self,
        multiplex: usize,
        now: Instant,
        ended: &mut Vec<(AttemptId, Ended)>,
    ) {
        while let Some(command) = self.waiting.pop_front() {
            let attempt = command.attempt;
            if let Some(c) = self.connections.iter_mut().find(|c| c.is_available()) {
                c.push(command, now);
            } else if self.connections.iter().any(|c| !c.up() && !c.retired) {
                return self.waiting.push_front(command);
            } else if !self.append(command, multiplex, now) {
                ended.push((attempt, Ended::NotConnected));
            }
        }
    }
}
