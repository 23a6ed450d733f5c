//! Clients: each request on a connection of its own while it lasts, retries with new ids, and the manners of bad ones.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use mothpier_net::{Net, Stream};
use tokio::io::AsyncWriteExt;

use crate::fleet::Fleet;
use crate::wire::{self, Answer};
use crate::{Dice, Seen};

/// How a client's try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// The value or the receipt.
    Served,
    /// Refused, to come again.
    Busy,
    /// Failed by the node's word.
    Failed,
    /// No answer within the client's time.
    TimedOut,
    /// The connection ended, or none came up.
    Cut,
    /// The client left on purpose.
    Left,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The class's name.
    pub class: &'static str,
    /// The tenant's name.
    pub tenant: &'static str,
    /// The key.
    pub key: String,
    /// Whether it writes.
    pub write: bool,
    /// An idempotency key.
    pub token: Option<String>,
    /// How long each try waits.
    pub wait: Duration,
    /// Tries after the first.
    pub retries: u32,
    /// Closes its connection after this time, answered or not; after an odd number of microseconds it has said that
    /// this was its last command, and the node reads no further one.
    pub leaves_after: Option<Duration>,
}

type Halves<N> =
    (<<N as Net>::Stream as Stream>::ReadHalf, <<N as Net>::Stream as Stream>::WriteHalf, BytesMut);

/// The clients of one machine.
pub struct Clients<N: Net> {
    net: N,
    fleet: Rc<Fleet>,
    dice: Dice,
    name: u64,
    ids: Cell<u64>,
    /// Further time for an answer beyond what the node is told, before the client holds it for lost.
    pub grace: Cell<Duration>,
    /// Connections that rest, by the node they lead to.
    idle: RefCell<Vec<(SocketAddr, Halves<N>)>>,
}

impl<N: Net> Clients<N> {
    /// Clients on a machine; their ids begin with its name.
    pub fn new(net: N, fleet: Rc<Fleet>, name: u64, seed: u64) -> Rc<Self> {
        let dice = Dice::part(seed, 1000 + name);
        Rc::new(Clients {
            net,
            fleet,
            dice,
            name,
            ids: Cell::new(0),
            grace: Cell::default(),
            idle: RefCell::default(),
        })
    }

    /// A new id.
    fn id(&self) -> String {
        self.ids.set(self.ids.get() + 1);
        format!("{:04x}{:08x}", self.name, self.ids.get())
    }

    /// Asks until it is served or gives up; `node` names the node for each try.
    pub async fn ask(&self, node: &dyn Fn() -> SocketAddr, ask: Ask) -> End {
        let mut tries = 0;
        loop {
            let since = self.net.now();
            let id = self.id();
            let (end, wait) = self.one(node(), &id, &ask).await;
            self.fleet.saw(Seen::Final { id, end, took: self.net.since(since) });
            // Only what is known not to have run, or is safe to run again, is asked again.
            let again = match end {
                End::Served | End::Left => false,
                End::Busy => true,
                End::Failed | End::TimedOut | End::Cut => !ask.write,
            };
            if !again || tries >= ask.retries {
                return end;
            }
            tries += 1;
            let pause = Duration::from_millis(wait.unwrap_or(20)) + self.dice.exp(Duration::from_millis(30));
            self.net.sleep(pause).await;
        }
    }

    async fn one(&self, node: SocketAddr, id: &str, ask: &Ask) -> (End, Option<u64>) {
        let until = self.net.now() + ask.wait;
        // A connection that the node closed between requests is no loss: the same once more on a new one.
        for fresh in [false, true] {
            let resting = match fresh {
                true => None,
                false => {
                    let mut idle = self.idle.borrow_mut();
                    idle.iter().rposition(|(to, _)| *to == node).map(|at| idle.remove(at).1)
                }
            };
            let first = resting.is_none();
            let mut halves = match resting {
                Some(halves) => halves,
                None => match self.net.timeout_at(until, self.net.connect(node)).await {
                    Some(Ok(stream)) => {
                        stream.set_nodelay();
                        let (reading, writing) = stream.split();
                        (reading, writing, BytesMut::new())
                    }
                    Some(Err(_)) => return (End::Cut, None),
                    None => return (End::TimedOut, None),
                },
            };
            let left = until.saturating_duration_since(self.net.now());
            let mut command = ask.command(id, left);
            let quits = ask.leaves_after.is_some_and(|after| after.as_micros() % 2 == 1);
            if quits {
                command.extend(wire::encode(&["QUIT"]));
            }
            let leave = ask.leaves_after.map(|after| self.net.now() + after);
            let last = until + self.grace.get();
            let limit = leave.map_or(last, |l| l.min(last));
            let answered = self.net.timeout_at(limit, exchange::<N>(&mut halves, &command)).await;
            match answered {
                None if leave.is_some_and(|l| l < until) => return (End::Left, None),
                None => return (End::TimedOut, None),
                Some(None) if first => return (End::Cut, None),
                Some(None) => {}
                Some(Some(answer)) => {
                    let (end, wait) = self.read(id, ask, answer);
                    if quits {
                        return (end, wait);
                    }
                    let mut idle = self.idle.borrow_mut();
                    idle.push((node, halves));
                    if idle.len() > 16 {
                        idle.remove(0);
                    }
                    return (end, wait);
                }
            }
        }
        (End::Cut, None)
    }

    fn read(&self, id: &str, ask: &Ask, answer: Answer) -> (End, Option<u64>) {
        match answer {
            Answer::Value(value) => {
                if !value.starts_with(&format!("{}|{id}|", ask.key)) {
                    self.fleet.saw(Seen::WrongValue { id: id.into(), value });
                }
                (End::Served, None)
            }
            Answer::Busy(ms) => (End::Busy, ms),
            Answer::Error(_) | Answer::Line(_) => (End::Failed, None),
        }
    }

    /// Many commands at once on one connection; how each ended, in order.
    pub async fn pipeline(&self, node: SocketAddr, asks: &[Ask]) -> Vec<End> {
        let Ok(stream) = self.net.connect(node).await else { return vec![End::Cut; asks.len()] };
        let (reading, mut writing) = stream.split();
        let ids: Vec<String> = asks.iter().map(|_| self.id()).collect();
        let bytes: Vec<u8> = asks.iter().zip(&ids).flat_map(|(a, id)| a.command(id, a.wait)).collect();
        let (mut ends, mut buffer) = (Vec::new(), BytesMut::new());
        if writing.write_all(&bytes).await.is_ok() {
            let longest = asks.iter().map(|a| a.wait).max().unwrap_or_default();
            let until = self.net.now() + longest;
            while ends.len() < asks.len() {
                match wire::answer(&mut buffer) {
                    Ok(Some(answer)) => {
                        let at = ends.len();
                        ends.push(self.read(&ids[at], &asks[at], answer).0);
                    }
                    Ok(None) => {
                        match self.net.timeout_at(until, wire::read_more(&reading, &mut buffer)).await {
                            Some(Ok(true)) => {}
                            _ => break,
                        }
                    }
                    Err(_) => break,
                }
            }
        }
        ends.resize(asks.len(), End::Cut);
        ends
    }

    /// Sends half a command and stays.
    pub async fn stall(&self, node: SocketAddr, stay: Duration) {
        if let Ok(stream) = self.net.connect(node).await {
            let (_reading, mut writing) = stream.split();
            let _ = writing.write_all(b"*4\r\n$9\r\nCACHE.G").await;
            self.net.sleep(stay).await;
        }
    }

    /// Closes the connections that rest.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }
}

impl Ask {
    fn command(&self, id: &str, left: Duration) -> Vec<u8> {
        let wait = left.as_millis().max(1);
        let mut extras = format!("c={},t={},d={wait}", self.class, self.tenant);
        if let Some(token) = &self.token {
            extras += &format!(",k={token}");
        }
        match self.write {
            true => wire::encode(&["CACHE.SET", &self.key, id, &extras, "new"]),
            false => wire::encode(&["CACHE.GET", &self.key, id, &extras]),
        }
    }
}

/// Writes a command and reads one answer; `None` where the connection ends before it is whole.
async fn exchange<N: Net>((reading, writing, buffer): &mut Halves<N>, command: &[u8]) -> Option<Answer> {
    writing.write_all(command).await.ok()?;
    loop {
        match wire::answer(buffer) {
            Ok(Some(answer)) => return Some(answer),
            Ok(None) if matches!(wire::read_more(reading, buffer).await, Ok(true)) => {}
            _ => return None,
        }
    }
}
