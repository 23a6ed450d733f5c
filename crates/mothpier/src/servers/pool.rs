//! The connections to one cache server, and which of them carries an attempt.

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
use super::line::Shared;
use super::{Command, Ended, Limits, MOST_CONNECTIONS, TIER_CONNECTIONS};
use crate::messages::{AttemptId, NodeInput};
use crate::metrics::ServerCloseReason;

/// A second answer to the same command comes within this time of the first, or not.
pub(super) const SETTLED: Duration = Duration::from_millis(10);

/// A server that takes new requests, or that still owes answers: others are forgotten.
pub(super) struct Pool<N: Net> {
    pub(super) address: Option<SocketAddr>,
    /// Whether the list says that it takes new requests.
    pub(super) ready: bool,
    pub(super) connections: Vec<Connection<N>>,
    /// Attempts for which a connection is being made.
    pub(super) waiting: VecDeque<Command>,
    /// How soon it answers.
    pub(super) answer_times: Rc<AnswerTimes>,
    pub(super) alone_until: Instant,
}

impl<N: Net> Pool<N> {
    /// Closes the connections that have been idle for so long that their server may close them.
    pub(super) fn close_stale(&mut self, fresh: Duration, now: Instant) {
        let is_fresh = |c: &Connection<N>| now.saturating_duration_since(c.used) < fresh;
        self.connections
            .retain(|c| c.is_kept(c.load() > 0 || !c.up() || is_fresh(c), ServerCloseReason::Stale));
    }

    /// A connection on which a command could be answered at once. One that has only just been answered comes last: a
    /// server's second answer to the same command would be taken for the answer to what is written before it comes.
    pub(super) fn idle(&mut self, now: Instant) -> Option<&mut Connection<N>> {
        let free = self.connections.iter_mut().filter(|c| c.free());
        free.min_by_key(|c| now.saturating_duration_since(c.used) < SETTLED)
    }

    /// Whether another connection may be made, where this node's part is so many.
    pub(super) fn may_open(&self, part: usize, balancers: usize, now: Instant) -> bool {
        // One that passes a large value on is its client's for as long as that one reads: others take its place, as many
        // as the whole tier aims at.
        let passing = self.connections.iter().filter(|c| c.shared.line.borrow().passing).count();
        let passing = passing.min((TIER_CONNECTIONS / balancers.max(1)).max(MOST_CONNECTIONS));
        let open = self.connections.iter().filter(|c| !c.retired).count() - passing;
        // A connection that is held up by what was given up does not count: it may never move again.
        let moving =
            self.connections.iter().filter(|c| !c.shared.line.borrow().stalled() && !c.retired).count();
        moving < part && (moving == 0 || now >= self.alone_until) && open < MOST_CONNECTIONS
    }

    /// Begins to make a connection.
    pub(super) fn open(
        &mut self,
        net: &N,
        (server, number): (ServerId, u64),
        address: SocketAddr,
        limits: &Limits,
        events: &mpsc::Sender<NodeInput>,
        all: Rc<Cell<usize>>,
    ) {
        let shared = Rc::new(Shared { server: Cell::new(server), ..Shared::default() });
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
        let used = net.now();
        let (figures, close_reason) = (limits.figures.clone(), Cell::new(ServerCloseReason::Ended));
        self.connections.push(Connection {
            number,
            shared,
            task,
            used,
            retired: false,
            all,
            figures,
            close_reason,
        });
    }

    /// Takes out an attempt that has not begun to be written; whether there was one.
    pub(super) fn unsent(&mut self, attempt: AttemptId) -> bool {
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
    pub(super) fn append(&mut self, command: Command, multiplex: usize, now: Instant) -> bool {
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
    pub(super) fn pump(&mut self, multiplex: usize, now: Instant, ended: &mut Vec<(AttemptId, Ended)>) {
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
