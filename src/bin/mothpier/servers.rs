//! Connections to the cache servers, and which of them carries an attempt. RESP2, answers in order.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use brassrouter::ServerId;
use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::log;
use crate::node::{AttemptId, Input};
use crate::resp;

/// Connections of the whole tier to one server that are aimed at: servers hold few, each takes some of its
/// capacity, and the nodes share them.
const TIER_CONNECTIONS: usize = 32;
/// Most of one node to one server.
const MOST_CONNECTIONS: usize = 4;
/// A connection idle for this part of the time after which servers close it is not used again.
const FRESH: f64 = 0.7;
/// After a refused connection none beside those that work is opened for this long.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// How an attempt at a cache server ended.
pub enum Ended {
    /// A frame came back for it.
    Answered(BytesFrame),
    /// The connection ended after its last byte was written.
    Reset,
    /// Its last byte was never written: it cannot have run.
    NotConnected,
}

/// What a connection tells the node.
pub enum Event {
    Up,
    Answer(AttemptId, BytesFrame),
    /// The connection is no more; the attempts written whole, and those not.
    Down {
        refused: bool,
        written: Vec<AttemptId>,
        unwritten: Vec<AttemptId>,
    },
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
}

#[derive(Default)]
struct Line {
    up: bool,
    unsent: VecDeque<(AttemptId, Bytes)>,
    /// Begun to be written.
    writing: Option<AttemptId>,
    /// Written whole, in order; with whether the node has given it up.
    sent: VecDeque<(AttemptId, bool)>,
}

impl Line {
    fn load(&self) -> usize {
        self.unsent.len() + self.sent.len() + usize::from(self.writing.is_some())
    }

    /// Whether something given up is ahead: what is written behind it may wait for ever.
    fn stalled(&self) -> bool {
        self.sent.iter().any(|(_, given_up)| *given_up)
    }
}

#[derive(Default)]
struct Shared {
    line: RefCell<Line>,
    wake: Notify,
}

struct Connection {
    number: u64,
    shared: Rc<Shared>,
    task: AbortHandle,
    used: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Pool {
    address: Option<SocketAddr>,
    /// Whether the list says that it takes new requests.
    ready: bool,
    connections: Vec<Connection>,
    /// Attempts for which a connection is being made.
    waiting: VecDeque<(AttemptId, Bytes)>,
    alone_until: Instant,
}

/// All connections to cache servers.
pub struct Servers {
    pools: HashMap<ServerId, Pool>,
    limits: Limits,
    events: mpsc::Sender<Input>,
    numbers: u64,
}

impl Servers {
    pub fn new(limits: Limits, events: mpsc::Sender<Input>) -> Self {
        Servers { pools: HashMap::new(), limits, events, numbers: 0 }
    }

    /// Takes a line of the list. Returns the attempts that were not begun to be written to a server that now
    /// wants none: after the grace not one byte of a new attempt may go there, so none is left to be sent.
    pub fn listed(&mut self, server: ServerId, address: Option<SocketAddr>, ready: bool) -> Vec<AttemptId> {
        let pool = self.pools.entry(server).or_insert_with(|| Pool {
            address,
            ready,
            connections: Vec::new(),
            waiting: VecDeque::new(),
            alone_until: Instant::now(),
        });
        let moved = address.is_some() && address != pool.address;
        pool.ready = ready;
        pool.address = address.or(pool.address);
        if ready && !moved {
            return Vec::new();
        }
        let mut unsent: Vec<AttemptId> = pool.waiting.drain(..).map(|(id, _)| id).collect();
        for c in &pool.connections {
            unsent.extend(c.shared.line.borrow_mut().unsent.drain(..).map(|(id, _)| id));
        }
        pool.connections.retain(|c| c.shared.line.borrow().load() > 0);
        unsent
    }

    /// Servers that the whole list no longer names.
    pub fn unlisted(&mut self, named: &dyn Fn(ServerId) -> bool) -> Vec<AttemptId> {
        let gone: Vec<ServerId> =
            self.pools.iter().filter(|(id, p)| p.ready && !named(**id)).map(|(id, _)| *id).collect();
        let unsent = gone.into_iter().flat_map(|id| self.listed(id, None, false)).collect();
        self.pools.retain(|_, pool| pool.ready || !pool.connections.is_empty());
        unsent
    }

    /// Sends an attempt on an idle connection, or a new one within this node's part, or behind others on the
    /// one with the fewest. `false` where there is none: it was not written.
    pub fn send(&mut self, server: ServerId, attempt: AttemptId, command: Bytes) -> bool {
        let all: usize = self.pools.values().map(|p| p.connections.len()).sum();
        let known = self.pools.values().filter(|p| p.ready).count().max(1);
        let Some(pool) = self.pools.get_mut(&server).filter(|p| p.ready) else { return false };
        let fresh = self.limits.idle_close.mul_f64(FRESH);
        pool.connections.retain(|c| {
            c.shared.line.borrow().load() > 0 || !c.shared.line.borrow().up || c.used.elapsed() < fresh
        });
        if let Some(idle) = pool
            .connections
            .iter_mut()
            .find(|c| c.shared.line.borrow().up && c.shared.line.borrow().load() == 0)
        {
            idle.push(attempt, command);
            return true;
        }
        let part = (TIER_CONNECTIONS / self.limits.balancers.max(1)).clamp(1, MOST_CONNECTIONS);
        let part = part.min((self.limits.descriptors / known).max(1));
        let open = pool.connections.len();
        // A connection that is held up by what was given up does not count: it may never move again.
        let moving = pool.connections.iter().filter(|c| !c.shared.line.borrow().stalled()).count();
        let may_open = (moving == 0 || Instant::now() >= pool.alone_until) && open < MOST_CONNECTIONS;
        if let Some(address) =
            pool.address.filter(|_| moving < part && may_open && all < self.limits.descriptors)
        {
            self.numbers += 1;
            pool.open(server, self.numbers, address, &self.limits, &self.events);
            pool.waiting.push_back((attempt, command));
            return true;
        }
        pool.append(attempt, command, self.limits.multiplex)
    }

    /// Takes what a connection tells and returns the attempts that this ends.
    pub fn event(&mut self, server: ServerId, number: u64, event: Event) -> Vec<(AttemptId, Ended)> {
        let Some(pool) = self.pools.get_mut(&server) else { return Vec::new() };
        let mut ended = Vec::new();
        match event {
            Event::Up => {}
            Event::Answer(attempt, frame) => {
                if let Some(c) = pool.connections.iter_mut().find(|c| c.number == number) {
                    c.used = Instant::now();
                }
                ended.push((attempt, Ended::Answered(frame)));
            }
            Event::Down { refused, written, unwritten } => {
                pool.connections.retain(|c| c.number != number);
                if refused {
                    pool.alone_until = Instant::now() + REFUSED_PAUSE;
                }
                ended.extend(written.into_iter().map(|id| (id, Ended::Reset)));
                ended.extend(unwritten.into_iter().map(|id| (id, Ended::NotConnected)));
            }
        }
        pool.pump(self.limits.multiplex, &mut ended);
        ended
    }

    /// Stops waiting for an attempt; whether it may have run. Others on its connection go on: it is closed
    /// only when nothing else is left on it.
    pub fn give_up(&mut self, server: ServerId, attempt: AttemptId) -> bool {
        let Some(pool) = self.pools.get_mut(&server) else { return false };
        pool.waiting.retain(|(id, _)| *id != attempt);
        let mut written = false;
        pool.connections.retain(|c| {
            let mut line = c.shared.line.borrow_mut();
            line.unsent.retain(|(id, _)| *id != attempt);
            let here = line.sent.iter_mut().find(|(id, _)| *id == attempt);
            let was_sent = here.map(|(_, given_up)| *given_up = true).is_some();
            written |= was_sent || line.writing == Some(attempt);
            let idle = line.unsent.is_empty() && line.writing.is_none();
            !(was_sent && idle && line.sent.iter().all(|(_, given_up)| *given_up))
        });
        written
    }

    /// Closes the connections to a server that carry nothing.
    pub fn close_idle(&mut self, server: ServerId) {
        if let Some(pool) = self.pools.get_mut(&server) {
            pool.connections.retain(|c| !c.shared.line.borrow().up || c.shared.line.borrow().load() > 0);
        }
    }
}

impl Connection {
    fn push(&mut self, attempt: AttemptId, command: Bytes) {
        self.used = Instant::now();
        self.shared.line.borrow_mut().unsent.push_back((attempt, command));
        self.shared.wake.notify_one();
    }
}

impl Pool {
    fn open(
        &mut self,
        server: ServerId,
        number: u64,
        address: SocketAddr,
        limits: &Limits,
        events: &mpsc::Sender<Input>,
    ) {
        let shared = Rc::new(Shared::default());
        let (line, events, within) = (shared.clone(), events.clone(), limits.connect_timeout);
        let task = tokio::task::spawn_local(async move {
            let refused = drive(server, number, address, within, &line, &events).await;
            let mut state = std::mem::take(&mut *line.line.borrow_mut());
            let written = state.sent.drain(..).map(|(id, _)| id).collect();
            let unwritten =
                state.writing.take().into_iter().chain(state.unsent.drain(..).map(|(id, _)| id)).collect();
            let event = Event::Down { refused, written, unwritten };
            let _ = events.send(Input::Server { server, number, event }).await;
        });
        self.connections.push(Connection { number, shared, task: task.abort_handle(), used: Instant::now() });
    }

    /// Puts an attempt behind others on the connection with the fewest that is not held up.
    fn append(&mut self, attempt: AttemptId, command: Bytes, multiplex: usize) -> bool {
        let line = |c: &Connection| {
            let line = c.shared.line.borrow();
            (line.up && !line.stalled() && line.load() < multiplex).then(|| line.load())
        };
        if let Some(c) = self.connections.iter_mut().filter(|c| line(c).is_some()).min_by_key(|c| line(c)) {
            c.push(attempt, command);
            return true;
        }
        let coming = self.connections.iter().filter(|c| !c.shared.line.borrow().up).count();
        let room = self.waiting.len() < coming * multiplex;
        if room {
            self.waiting.push_back((attempt, command));
        }
        room
    }

    /// Gives waiting attempts the connections that have become free; once none is being made any more those
    /// left go behind others, or have found no connection.
    fn pump(&mut self, multiplex: usize, ended: &mut Vec<(AttemptId, Ended)>) {
        while let Some((attempt, command)) = self.waiting.pop_front() {
            let idle = |c: &&mut Connection| c.shared.line.borrow().up && c.shared.line.borrow().load() == 0;
            if let Some(c) = self.connections.iter_mut().find(idle) {
                c.push(attempt, command);
            } else if self.connections.iter().any(|c| !c.shared.line.borrow().up) {
                return self.waiting.push_front((attempt, command));
            } else if !self.append(attempt, command, multiplex) {
                ended.push((attempt, Ended::NotConnected));
            }
        }
    }
}

/// Makes a connection and carries its commands until it ends; whether it was refused.
async fn drive(
    server: ServerId,
    number: u64,
    address: SocketAddr,
    within: Duration,
    shared: &Shared,
    events: &mpsc::Sender<Input>,
) -> bool {
    let stream = match timeout(within, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return true,
        Err(_) => return false,
    };
    let _ = stream.set_nodelay(true);
    shared.line.borrow_mut().up = true;
    if events.send(Input::Server { server, number, event: Event::Up }).await.is_err() {
        return false;
    }
    let (mut reading, mut writing) = stream.into_split();
    let reader = async {
        let mut buffer = BytesMut::with_capacity(4096);
        loop {
            match resp::take_frame(&mut buffer) {
                Ok(Some(frame)) => {
                    let Some((attempt, _)) = shared.line.borrow_mut().sent.pop_front() else {
                        return log(format_args!("{address}: an answer that nothing asked for"));
                    };
                    let event = Event::Answer(attempt, frame);
                    if events.send(Input::Server { server, number, event }).await.is_err() {
                        return;
                    }
                }
                Ok(None) => match reading.read_buf(&mut buffer).await {
                    Ok(n) if n > 0 => {}
                    _ => return,
                },
                Err(e) => return log(format_args!("{address}: {e}")),
            }
        }
    };
    let writer = async {
        loop {
            if shared.line.borrow().unsent.is_empty() {
                shared.wake.notified().await;
            }
            // Once round the runtime: a close that has come in is read before anything more is written.
            tokio::task::yield_now().await;
            let next = shared.line.borrow_mut().unsent.pop_front();
            let Some((attempt, command)) = next else { continue };
            shared.line.borrow_mut().writing = Some(attempt);
            if writing.write_all(&command).await.is_err() {
                return;
            }
            // No await since the last byte was written: it is on record before an answer can be read.
            let mut line = shared.line.borrow_mut();
            line.writing = None;
            line.sent.push_back((attempt, false));
        }
    };
    // The reader first: a close by the server is noticed before anything more is written to it.
    tokio::select! { biased; () = reader => {}, () = writer => {} }
    false
}

#[cfg(test)]
mod tests {
    use std::io::Read;

    use super::*;

    /// A rule of drains: what still waits for its connection when the notice comes is never written.
    #[test]
    fn what_waits_for_a_connection_is_not_sent_after_the_notice_of_a_drain() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let (events, mut inputs) = mpsc::channel(8);
            let limits = Limits {
                balancers: 1,
                multiplex: 32,
                idle_close: Duration::from_secs(60),
                connect_timeout: Duration::from_secs(30),
                descriptors: 8,
            };
            let mut servers = Servers::new(limits, events);
            assert!(servers.listed(7, Some(address), true).is_empty());
            assert!(servers.send(7, 1, resp::command(["PING".into()])));
            assert!(matches!(inputs.recv().await, Some(Input::Server { event: Event::Up, .. })));
            // Up, but the node has not been told yet: the attempt still waits.
            assert_eq!(servers.listed(7, Some(address), false), [1]);
            assert!(!servers.send(7, 2, resp::command(["PING".into()])), "taken for a server that drains");
            assert!(servers.event(7, 1, Event::Up).is_empty());
        });
        let mut written = Vec::new();
        listener.accept().unwrap().0.read_to_end(&mut written).unwrap();
        assert_eq!(written, b"");
    }
}
