//! A cache box: RESP2 commands, some at work at once, answers in order on each connection. It only stores: a read of
//! what it lacks is a miss, and what the origin then answers is stored here by [`crate::fleet::Fleet`].

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use mothpier_net::{Net, Stream};
use tokio::io::AsyncWriteExt;
use tokio::sync::{Semaphore, mpsc, oneshot};

use crate::cluster::Cluster;
use crate::fleet::Fleet;
use crate::{Dice, Seen, Waits, Warmth, wire};

/// How a box answers wrongly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoil {
    /// Half of the answer, then the connection ends.
    HalfAnswer,
    /// Half of the answer, and nothing after it.
    HalfAndStall,
    /// A reset as soon as the command has come.
    ResetBefore,
    /// A reset after the work, in place of the answer.
    ResetAfter,
    /// The answer, and the end of the connection right behind it.
    CloseBehind,
    /// `-ERR failed`.
    Failed,
    /// `-BUSY`: turned away unseen.
    Busy,
    /// A value that was made for another request: no node can know.
    Lie,
}

/// How a box is made.
#[derive(Clone, Debug)]
pub struct Make {
    /// Its number in the fleet.
    pub number: usize,
    /// Commands at work at once.
    pub slots: usize,
    /// Commands that may wait.
    pub queue: usize,
    /// Mean work of one.
    pub work: Duration,
    /// How it warms.
    pub warmth: Warmth,
    /// Closes a connection that has stood idle for so long.
    pub idle: Duration,
    /// Part of the work that is chance: 1 is exponential, 0 always the mean.
    pub chance: f64,
    /// The cluster that it belongs to; `None` for a plain box.
    pub cluster: Option<Rc<Cluster>>,
    /// It gets what it lacks and carries out writes itself, where there is no origin.
    pub through: bool,
    /// Bytes that the values of some keys have besides.
    pub large: usize,
}

/// A running box.
pub struct CacheBox<N> {
    /// How it was made.
    pub make: Make,
    net: N,
    fleet: Rc<Fleet>,
    dice: Dice,
    held: RefCell<BTreeSet<String>>,
    at_work: Semaphore,
    waiting: Cell<usize>,
    /// It takes commands and answers none.
    pub hangs: Cell<bool>,
    /// Its work takes so many times as long.
    pub slow: Cell<f64>,
    /// This part of its answers is spoilt.
    pub spoil: Cell<Option<(Spoil, f64)>>,
    /// Holds every answer for exactly so long from the command's last byte, in place of its work.
    pub exactly: Cell<Option<Duration>>,
}

impl<N: Net> CacheBox<N> {
    /// A box that knows its fleet; [`CacheBox::serve`] opens it.
    pub fn new(net: N, fleet: Rc<Fleet>, make: Make, seed: u64) -> Rc<Self> {
        let at_work = Semaphore::new(make.slots.max(1));
        Rc::new(CacheBox {
            net,
            fleet,
            dice: Dice::part(seed, 11 + make.number as u64),
            held: RefCell::default(),
            at_work,
            waiting: Cell::new(0),
            hangs: Cell::new(false),
            slow: Cell::new(1.0),
            spoil: Cell::new(None),
            exactly: Cell::new(None),
            make,
        })
    }

    /// Stores a key.
    pub fn store(&self, key: &str) {
        self.held.borrow_mut().insert(key.to_owned());
    }

    /// Drops a key's copy.
    pub fn void(&self, key: &str) {
        self.held.borrow_mut().remove(key);
    }

    /// Listens and serves until its machine ends it; gives the address.
    ///
    /// # Errors
    ///
    /// An address that can't be listened on.
    pub async fn serve(self: Rc<Self>, at: SocketAddr) -> io::Result<SocketAddr> {
        let net = self.net.clone();
        wire::listen(&net, at, move |stream| self.clone().connection(stream)).await
    }

    async fn connection(self: Rc<Self>, stream: N::Stream) {
        stream.set_nodelay();
        let (reading, mut writing) = stream.split();
        // Answers in the order of their commands, each when it is made.
        let (line, mut answers) = mpsc::unbounded_channel::<oneshot::Receiver<(Vec<u8>, bool)>>();
        let net = self.net.clone();
        let (broke, mut broken) = oneshot::channel::<()>();
        net.spawn(async move {
            let _broke = broke;
            while let Some(made) = answers.recv().await {
                // An answer that is never made (a hung box) holds those behind it.
                let Ok((bytes, last)) = made.await else { return };
                if writing.write_all(&bytes).await.is_err() || last {
                    return;
                }
            }
        });
        let mut buffer = BytesMut::new();
        let mut asked = false;
        loop {
            let words = match wire::command(&mut buffer) {
                Ok(Some(words)) => words,
                Ok(None) => {
                    let more = self.net.timeout(self.make.idle, wire::read_more(&reading, &mut buffer));
                    tokio::select! {
                        biased;
                        _ = &mut broken => return,
                        more = more => match more {
                            Some(Ok(true)) => continue,
                            _ => return,
                        }
                    }
                }
                Err(e) => {
                    let (answer, made) = oneshot::channel();
                    let _ = answer.send((format!("-SYNTAX {e}\r\n").into_bytes(), true));
                    let _ = line.send(made);
                    return;
                }
            };
            let (answer, made) = oneshot::channel();
            if line.send(made).is_err() {
                return;
            }
            let asking = std::mem::replace(&mut asked, words[0] == "ASKING");
            if let ("CACHE.GET" | "CACHE.SET", [_, _, id, _, ..]) = (words[0].as_str(), words.as_slice()) {
                self.fleet.saw(Seen::Command { server: self.make.number, id: id.clone() });
            }
            let (served, net) = (self.clone(), self.net.clone());
            net.spawn(async move { served.command(words, asking, answer).await });
        }
    }

    /// What it answers to a command that is no request; `None` for an answer that never comes.
    fn aside(&self, words: &[String]) -> Option<Vec<u8>> {
        if let (Some(cluster), "CLUSTER") = (&self.make.cluster, words[0].as_str()) {
            return cluster.tells(self.make.number, words);
        }
        let clustered = self.make.cluster.is_some();
        let reply: &[u8] = match (words[0].as_str(), words.len()) {
            ("PING", _) => b"+PONG\r\n",
            ("CLIENT" | "SELECT", _) => b"+OK\r\n",
            ("ASKING" | "READONLY", 1) if clustered => b"+OK\r\n",
            ("INFO", _) => b"-NOPERM no probes\r\n",
            // A write belongs at the origin: here it finds nothing.
            ("CACHE.SET", 5) => b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
            _ => b"-SYNTAX no such command\r\n",
        };
        Some(reply.to_vec())
    }

    async fn command(
        self: Rc<Self>,
        words: Vec<String>,
        asking: bool,
        answer: oneshot::Sender<(Vec<u8>, bool)>,
    ) {
        let (write, key, id, extras) = match (words[0].as_str(), words.as_slice()) {
            ("CACHE.GET", [_, key, id, extras]) => (false, key, id, extras),
            ("CACHE.SET", [_, key, id, extras, _]) if self.make.through => (true, key, id, extras),
            _ => {
                match self.aside(&words) {
                    Some(reply) => drop(answer.send((reply, false))),
                    None => std::future::pending::<()>().await,
                }
                return;
            }
        };
        let held = self.held.borrow().contains(key);
        let away = self.make.cluster.as_ref();
        if let Some(line) = away.and_then(|c| c.turns_away(self.make.number, key, asking, held)) {
            if let Some(exactly) = self.exactly.get() {
                self.net.sleep(exactly).await;
            }
            let _ = answer.send((format!("-{line}\r\n").into_bytes(), false));
            return;
        }
        let spoil = self.spoil.get().filter(|(_, part)| self.dice.chance(*part)).map(|(spoil, _)| spoil);
        if self.waiting.get() >= self.make.queue || spoil == Some(Spoil::Busy) {
            let _ = answer.send((b"-BUSY\r\n".to_vec(), false));
            return;
        }
        if spoil == Some(Spoil::ResetBefore) {
            let _ = answer.send((Vec::new(), true));
            return;
        }
        if let Some(exactly) = self.exactly.get() {
            self.net.sleep(exactly).await;
        } else {
            self.work().await;
        }
        if self.hangs.get() {
            // Taken and never answered: the end of the process lets go of it.
            std::future::pending::<()>().await;
        }
        if write {
            self.write(key, id, extras);
        } else if self.make.through {
            self.store(key);
        }
        let hit = self.held.borrow().contains(key);
        let busy = self.make.slots.saturating_sub(self.at_work.available_permits());
        let report = format!("lat_ms={},busy={busy}", self.make.work.as_millis());
        let report = format!("${}\r\n{report}\r\n", report.len());
        let whole = if write {
            let receipt = format!("{key}|{id}|receipt");
            format!("*3\r\n${}\r\n{receipt}\r\n$-1\r\n{report}", receipt.len())
        } else if hit {
            let lie = if spoil == Some(Spoil::Lie) { "0" } else { "" };
            let mut value = format!("{key}|{id}{lie}|box{}", self.make.number);
            if key.ends_with('7') {
                value.extend(std::iter::repeat_n('.', self.make.large));
            }
            format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n{report}", value.len())
        } else {
            self.fleet.missed(id, self.make.number);
            format!("*3\r\n$-1\r\n$4\r\nmiss\r\n{report}")
        }
        .into_bytes();
        let half = whole.len() / 2;
        let made = match spoil {
            Some(Spoil::HalfAnswer) => (whole[..half].to_vec(), true),
            Some(Spoil::HalfAndStall) => (whole[..half].to_vec(), false),
            Some(Spoil::ResetAfter) => (Vec::new(), true),
            Some(Spoil::CloseBehind) => (whole, true),
            Some(Spoil::Failed) => (b"-ERR failed\r\n".to_vec(), false),
            _ => (whole, false),
        };
        let stalls = spoil == Some(Spoil::HalfAndStall);
        let _ = answer.send(made);
        if stalls {
            std::future::pending::<()>().await;
        }
    }

    fn write(&self, key: &str, id: &str, extras: &str) {
        let token = wire::extra(extras, "k").map(str::to_owned);
        let repeat = token.as_ref().zip(self.make.cluster.as_ref());
        if repeat.is_some_and(|(token, cluster)| !cluster.first(token, self.net.now())) {
            return;
        }
        let class = wire::extra(extras, "c").unwrap_or_default().to_owned();
        self.fleet.saw(Seen::Effect { id: id.into(), class, token });
        // Every other copy is void; here stands what was written.
        self.fleet.written(key);
        self.store(key);
    }

    async fn work(&self) {
        if self.make.work.is_zero() {
            return;
        }
        let waits = Waits::of(&self.waiting);
        let permit = self.at_work.acquire().await;
        drop(waits);
        let chance = self.make.chance;
        let mean = self.make.work.mul_f64(self.slow.get() / self.make.warmth.at(self.net.now()).max(0.01));
        self.net.sleep(mean.mul_f64(1.0 - chance) + self.dice.exp(mean.mul_f64(chance))).await;
        drop(permit);
    }
}
