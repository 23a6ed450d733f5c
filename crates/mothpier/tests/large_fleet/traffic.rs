//! Clients that ask a node at a rate, and how their requests ended.

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

use crate::stand_ins::TENANTS;

/// Up to so long after its time an answer only earns nothing; later it is lost.
const LATE: Duration = Duration::from_millis(500);
/// How long clients wait, in milliseconds.
const DEADLINE_MS: (u64, u64) = (600, 1_000);
/// Keys that are asked for.
const KEYS: u64 = 100_000;
/// One request of so many is a write.
const WRITES: u64 = 25;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    Refused,
    Failed,
    /// No whole answer within its time and the half second after it.
    Lost,
}

/// A request that has ended.
#[derive(Debug)]
pub struct Ended {
    pub request: String,
    pub end: End,
    pub at: Instant,
}

/// A connection, and what has been read of it.
type Connection = (TcpStream, BytesMut);

/// Clients of one node.
pub struct Traffic {
    node: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    pub ended: RefCell<Vec<Ended>>,
}

impl Traffic {
    /// Asks at a mean rate, at random moments, until a time is over; returns when all have ended.
    pub async fn ask(node: SocketAddr, per_s: f64, lasts: Duration, seed: u64) -> Rc<Self> {
        let traffic = Rc::new(Traffic { node, idle: RefCell::default(), ended: RefCell::default() });
        let (dice, began) = (Dice::new(seed), Instant::now());
        let mut clients = Vec::new();
        let mut next = began;
        while next - began < lasts {
            next += dice.exp(Duration::from_secs_f64(1.0 / per_s));
            sleep(next.saturating_duration_since(Instant::now())).await;
            let id = format!("{seed:08x}{:08x}", clients.len());
            let key = format!("k{}", dice.within(1, KEYS));
            let wait = Duration::from_millis(dice.within(DEADLINE_MS.0, DEADLINE_MS.1));
            let write = dice.within(0, WRITES) == 0;
            clients.push(spawn_local(traffic.clone().request(id, key, wait, write)));
        }
        for client in clients {
            client.await.unwrap();
        }
        traffic
    }

    async fn request(self: Rc<Self>, request: String, key: String, wait: Duration, write: bool) {
        let class = if write { "put" } else { "read" };
        let tenant = key.len() + request.as_bytes()[request.len() - 1] as usize;
        let extras = format!("c={class},t=tenant-{},d={}", tenant % TENANTS, wait.as_millis());
        let words = ["CACHE.GET", &key, &request, &extras];
        let command = match write {
            true => wire::encode(&["CACHE.SET", &key, &request, &extras, "value"]),
            false => wire::encode(&words),
        };
        let answered = timeout(wait + LATE, self.exchange(&command)).await;
        let end = match answered {
            Ok(Some(wire::Answer::Value(_))) => End::Served,
            Ok(Some(wire::Answer::Busy(_))) => End::Refused,
            Ok(Some(_)) => End::Failed,
            Ok(None) | Err(_) => End::Lost,
        };
        self.ended.borrow_mut().push(Ended { request, end, at: Instant::now() });
    }

    /// Sends a command on an idle connection, or a new one, and reads its answer; `None` where the connection ends first.
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

    /// How many ended so.
    pub fn count(&self, end: End) -> usize {
        self.ended.borrow().iter().filter(|ended| ended.end == end).count()
    }
}
