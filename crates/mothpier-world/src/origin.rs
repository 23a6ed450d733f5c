//! The origin: HTTP/1.1, slow, a few calls at work at once, the rest in a queue. `GET /KEY` reads and `PUT /KEY`
//! writes; a repeat of an idempotency key within its window is dropped.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use mothpier_net::{Net, Stream};
use tokio::io::AsyncWriteExt;
use tokio::sync::Semaphore;

use crate::fleet::Fleet;
use crate::wire::{self, Call};
use crate::{Dice, Seen, Waits};

/// How the origin answers wrongly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoil {
    /// 500 without having run.
    FailedBefore,
    /// 500 after it ran.
    FailedAfter,
    /// 503 with `X-Not-Run: 1`.
    Refused,
    /// 504 with `X-Not-Run: 1`.
    Expired,
    /// The connection ends when the call has come.
    ResetBefore,
    /// The connection ends after it ran.
    ResetAfter,
    /// The head and half of the body after it ran, and nothing more.
    HalfBody,
}

/// The origin's state, which outlives its process.
pub struct Origin<N> {
    net: N,
    fleet: Rc<Fleet>,
    dice: Dice,
    work: Duration,
    at_work: Semaphore,
    queue: usize,
    waiting: Cell<usize>,
    tokens: RefCell<BTreeMap<String, Instant>>,
    window: Duration,
    /// Its work takes so many times as long.
    pub slow: Cell<f64>,
    /// This part of its answers is spoilt.
    pub spoil: Cell<Option<(Spoil, f64)>>,
    /// Holds every answer for exactly so long from the call's last byte, in place of its work.
    pub exactly: Cell<Option<Duration>>,
    /// Calls of each method so far.
    pub calls: Cell<(u64, u64)>,
    /// Calls that are in now.
    now: Cell<usize>,
    /// The most calls that were in at once.
    pub most: Cell<usize>,
    /// Calls that came, whatever became of them.
    pub came: Cell<u64>,
}

impl<N: Net> Origin<N> {
    /// An origin with so many calls at work at once, so many that may wait, and a mean of work.
    pub fn new(
        net: N,
        fleet: Rc<Fleet>,
        (slots, queue): (usize, usize),
        work: Duration,
        window: Duration,
        seed: u64,
    ) -> Rc<Self> {
        Rc::new(Origin {
            net,
            fleet,
            dice: Dice::part(seed, 7),
            work,
            at_work: Semaphore::new(slots.max(1)),
            queue,
            waiting: Cell::new(0),
            tokens: RefCell::default(),
            window,
            slow: Cell::new(1.0),
            spoil: Cell::new(None),
            exactly: Cell::new(None),
            calls: Cell::default(),
            now: Cell::new(0),
            most: Cell::new(0),
            came: Cell::new(0),
        })
    }

    /// Listens and serves until its machine ends it; gives the address.
    ///
    /// # Errors
    ///
    /// An address that can't be listened on.
    pub async fn serve(self: Rc<Self>, at: SocketAddr) -> io::Result<SocketAddr> {
        let net = self.net.clone();
        let serve = move |stream| {
            let served = self.clone();
            async move {
                let _ = served.connection(stream).await;
            }
        };
        wire::listen(&net, at, serve).await
    }

    async fn connection(&self, stream: N::Stream) -> io::Result<()> {
        stream.set_nodelay();
        let (reading, mut writing) = stream.split();
        let mut buffer = BytesMut::new();
        while let Some(call) = wire::next_call(&reading, &mut writing, &mut buffer).await? {
            let Some((bytes, last)) = self.call(&call).await else { return Ok(()) };
            writing.write_all(&bytes).await?;
            if last {
                std::future::pending::<()>().await;
            }
        }
        Ok(())
    }

    /// The answer, and whether nothing comes behind it; `None` ends the connection.
    async fn call(&self, call: &Call) -> Option<(Vec<u8>, bool)> {
        let _in = Waits::of(&self.now);
        self.most.set(self.most.get().max(self.now.get()));
        self.came.set(self.came.get() + 1);
        let spoil = self.spoil.get().filter(|(_, part)| self.dice.chance(*part)).map(|(spoil, _)| spoil);
        let not_run = |status| Some((wire::reply(status, "X-Not-Run: 1\r\n", ""), false));
        let full = self.waiting.get() >= self.queue;
        match spoil {
            _ if full => return not_run("503 Service Unavailable"),
            Some(Spoil::Refused) => return not_run("503 Service Unavailable"),
            Some(Spoil::Expired) => return not_run("504 Gateway Timeout"),
            Some(Spoil::FailedBefore) => {
                return Some((wire::reply("500 Internal Server Error", "", ""), false));
            }
            Some(Spoil::ResetBefore) => return None,
            _ => {}
        }
        match self.exactly.get() {
            Some(exactly) => self.net.sleep(exactly).await,
            None => self.work().await,
        }
        let (key, id, extras) =
            (call.path.trim_start_matches('/'), call.header("x-request-id"), call.header("x-extras"));
        let (reads, writes) = self.calls.get();
        let body = if call.method == "PUT" {
            self.calls.set((reads, writes + 1));
            self.write(key, id, extras);
            format!("{key}|{id}|receipt")
        } else {
            self.calls.set((reads + 1, writes));
            format!("{key}|{id}|origin")
        };
        match spoil {
            Some(Spoil::FailedAfter) => Some((wire::reply("500 Internal Server Error", "", ""), false)),
            Some(Spoil::ResetAfter) => None,
            Some(Spoil::HalfBody) => {
                let whole = wire::reply("200 OK", "", &body);
                Some((whole[..whole.len() - body.len() / 2].to_vec(), true))
            }
            _ => {
                if call.method == "GET" {
                    self.fleet.fetched(id, key);
                }
                Some((wire::reply("200 OK", "X-Load: lat_ms=20,busy=1\r\n", &body), false))
            }
        }
    }

    async fn work(&self) {
        // Counted back also when its caller goes away meanwhile.
        let waits = Waits::of(&self.waiting);
        let permit = self.at_work.acquire().await;
        drop(waits);
        self.net.sleep(self.dice.exp(self.work.mul_f64(self.slow.get() * 0.5)) + self.work / 2).await;
        drop(permit);
    }

    fn write(&self, key: &str, id: &str, extras: &str) {
        let now = self.net.now();
        let token = wire::extra(extras, "k").map(str::to_owned);
        if let Some(token) = &token {
            let mut tokens = self.tokens.borrow_mut();
            tokens.retain(|_, at| now.saturating_duration_since(*at) < self.window);
            if tokens.contains_key(token) {
                return;
            }
            tokens.insert(token.clone(), now);
        }
        let class = wire::extra(extras, "c").unwrap_or_default().to_owned();
        self.fleet.saw(Seen::Effect { id: id.into(), class, token });
        self.fleet.written(key);
    }
}
