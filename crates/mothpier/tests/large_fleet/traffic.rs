//! Clients that send requests to a node at a given rate, and the outcomes of those requests.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use mothpier_world::{Dice, wire};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::simulated_fleet::TENANTS;

/// An answer that is late by up to this much merely has no value; a later one counts as lost.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Range of the clients' deadlines.
const MIN_DEADLINE_MS: u64 = 600;
const MAX_DEADLINE_MS: u64 = 1_000;
/// Number of keys that are requested.
const KEYS: u64 = 100_000;
/// One request in this many is a write.
const REQUESTS_PER_WRITE: u64 = 25;

/// Outcome of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    Refused,
    Failed,
    /// No complete answer within the deadline and [`ANSWER_GRACE`].
    Lost,
}

/// A finished request.
#[derive(Debug)]
pub struct FinishedRequest {
    pub request_id: String,
    pub outcome: Outcome,
    pub at: Instant,
}

/// A connection and the unparsed bytes read from it.
type Connection = (TcpStream, BytesMut);

/// The clients of one node.
pub struct Traffic {
    node: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    pub finished: RefCell<Vec<FinishedRequest>>,
}

impl Traffic {
    /// Sends requests at random times with a mean rate for the given duration. Returns when all have
    /// finished.
    pub async fn run(node: SocketAddr, per_s: f64, duration: Duration, seed: u64) -> Rc<Self> {
        let traffic = Rc::new(Traffic { node, idle: RefCell::default(), finished: RefCell::default() });
        let (dice, started) = (Dice::new(seed), Instant::now());
        let mut clients = Vec::new();
        let mut next_request_at = started;
        while next_request_at - started < duration {
            next_request_at += dice.exp(Duration::from_secs_f64(1.0 / per_s));
            sleep(next_request_at.saturating_duration_since(Instant::now())).await;
            let request_id = format!("{seed:08x}{:08x}", clients.len());
            let key = format!("k{}", dice.within(1, KEYS));
            let deadline = Duration::from_millis(dice.within(MIN_DEADLINE_MS, MAX_DEADLINE_MS));
            let write = dice.within(0, REQUESTS_PER_WRITE) == 0;
            clients.push(spawn_local(traffic.clone().send_request(request_id, key, deadline, write)));
        }
        for client in clients {
            client.await.unwrap();
        }
        traffic
    }

    async fn send_request(self: Rc<Self>, request_id: String, key: String, deadline: Duration, write: bool) {
        let class = if write { "put" } else { "read" };
        let tenant = key.len() + request_id.as_bytes()[request_id.len() - 1] as usize;
        let extras = format!("c={class},t=tenant-{},d={}", tenant % TENANTS, deadline.as_millis());
        let arguments = ["CACHE.GET", &key, &request_id, &extras];
        let command = match write {
            true => wire::encode(&["CACHE.SET", &key, &request_id, &extras, "value"]),
            false => wire::encode(&arguments),
        };
        let answered = timeout(deadline + ANSWER_GRACE, self.exchange(&command)).await;
        let outcome = match answered {
            Ok(Some(wire::Answer::Value(_))) => Outcome::Served,
            Ok(Some(wire::Answer::Busy(_))) => Outcome::Refused,
            Ok(Some(_)) => Outcome::Failed,
            Ok(None) | Err(_) => Outcome::Lost,
        };
        self.finished.borrow_mut().push(FinishedRequest { request_id, outcome, at: Instant::now() });
    }

    /// Sends a command on an idle or a new connection and reads its answer. Returns `None` if the connection
    /// ends first.
    async fn exchange(&self, command: &[u8]) -> Option<wire::Answer> {
        let idle = self.idle.borrow_mut().pop();
        let (mut stream, mut buffer) = match idle {
            Some(idle) => idle,
            None => (TcpStream::connect(self.node).await.ok()?, BytesMut::new()),
        };
        stream.set_nodelay(true).ok()?;
        stream.write_all(command).await.ok()?;
        loop {
            if let Some(answer) = wire::answer(&mut buffer).unwrap() {
                self.idle.borrow_mut().push((stream, buffer));
                return Some(answer);
            }
            if stream.read_buf(&mut buffer).await.ok()? == 0 {
                return None;
            }
        }
    }

    /// Returns the number of requests with this outcome.
    pub fn count(&self, outcome: Outcome) -> usize {
        self.finished.borrow().iter().filter(|finished| finished.outcome == outcome).count()
    }
}
