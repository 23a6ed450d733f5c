//! Clients of a node: ordinary ones, such as leave, such as send half a request and stay.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mothpier_world::Dice;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::ledger::{Asked, End, Ledger};
use super::servers::value_of;

/// Between two requests of a client, in milliseconds.
const PACE_MS: (u64, u64) = (10, 50);
/// The same for one that uses its connection for as long as it is open.
const PERSISTENT_PACE_MS: (u64, u64) = (0, 30);
/// One in so many requests is left by its client.
const LEAVES: f64 = 0.12;
/// A client closes its connection behind one answer in so many.
const CLOSES: f64 = 0.12;
/// The time within which a client leaves, in milliseconds.
const LEAVES_WITHIN_MS: u64 = 120;
/// Beyond the request's time, until a client takes it for lost.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// A client that has sent half a request is owed its error or close within this time.
const HALF_REQUEST: Duration = Duration::from_millis(3_100);
/// Time that a client gives its read requests, in milliseconds.
const READ_MS: u64 = 1_500;
/// A node that can't be connected to is tried again after this time.
const RECONNECT: Duration = Duration::from_millis(25);

/// What the clients of one node share.
pub struct NodeClients {
    /// The node's number.
    pub node: usize,
    /// Where it listens.
    pub at: SocketAddr,
    /// Time of the class `brief`, in milliseconds.
    pub brief_ms: u64,
    /// Requests that a client sends at once at the most.
    pub pipeline: u64,
    /// Idle clients fill the node's descriptors: a new connection may be shut before it is read.
    pub crowded: bool,
    /// What is seen.
    pub ledger: Rc<RefCell<Ledger>>,
    /// They all leave what they ask.
    pub departing: Cell<bool>,
    /// They ask nothing.
    pub quiet: Cell<bool>,
    /// All ends.
    pub over: Cell<bool>,
}

/// A connection of a client.
struct Connection {
    stream: BufReader<TcpStream>,
    opened: Instant,
    /// Requests that were answered on it.
    answered: usize,
}

/// How waiting for an answer ended.
enum Heard {
    Value(String),
    Error(String),
    /// The connection has ended.
    Ended(String),
}

/// Whether a request was answered.
enum Answered {
    Yes,
    /// Not within its client's patience.
    No,
    /// Its connection has ended.
    Ended(String),
}

impl Connection {
    async fn open(at: SocketAddr) -> Option<Connection> {
        let stream = timeout(Duration::from_secs(1), TcpStream::connect(at)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(Connection { stream: BufReader::new(stream), opened: Instant::now(), answered: 0 })
    }

    async fn answer(&mut self) -> Heard {
        let mut line = String::new();
        match self.stream.read_line(&mut line).await {
            Ok(0) => return Heard::Ended("an orderly end".into()),
            Err(e) => return Heard::Ended(e.to_string()),
            Ok(_) => {}
        }
        let line = line.trim_end();
        let Some(length) = line.strip_prefix('$').and_then(|n| n.parse::<usize>().ok()) else {
            return Heard::Error(line.to_owned());
        };
        let mut value = vec![0; length + 2];
        match self.stream.read_exact(&mut value).await {
            Ok(_) => Heard::Value(String::from_utf8_lossy(&value[..length]).into_owned()),
            Err(e) => Heard::Ended(format!("in the midst of a value: {e}")),
        }
    }
}

fn command(words: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len());
    words.iter().for_each(|word| bytes += &format!("${}\r\n{word}\r\n", word.len()));
    bytes.into_bytes()
}

/// One request: its id, its bytes, and how long its client waits.
struct Draft {
    id: String,
    /// The value that is made for it.
    value: String,
    bytes: Vec<u8>,
    deadline_ms: u64,
}

impl NodeClients {
    fn draft(&self, client: usize, number: usize, dice: &Dice) -> Draft {
        let id = format!("n{}c{client}r{number}", self.node);
        let key = format!("key-{}", dice.within(0, 400));
        let kind = dice.within(0, 10);
        let (class, deadline_ms) = match kind {
            0..=1 => ("once", READ_MS),
            2..=4 => ("brief", dice.within(10, self.brief_ms)),
            _ => ("read", READ_MS),
        };
        let extras = format!("c={class},t=acme,d={deadline_ms}");
        let once = class == "once";
        let words: Vec<&str> = match once {
            true => vec!["CACHE.SET", &key, &id, &extras, "value"],
            false => vec!["CACHE.GET", &key, &id, &extras],
        };
        let bytes = command(&words);
        // A write's receipt, and what the origin gives, is the id alone.
        let value = if once { id.clone() } else { value_of(&key, &id) };
        Draft { id, value, bytes, deadline_ms }
    }

    /// One client, until all ends.
    pub async fn client(self: Rc<Self>, client: usize, dice: Dice) {
        let (mut number, mut kept) = (0, None);
        while !self.over.get() {
            sleep(Duration::from_millis(dice.within(PACE_MS.0, PACE_MS.1))).await;
            if self.quiet.get() {
                continue;
            }
            let Some(connection) = self.connection(&mut kept).await else { continue };
            let leaves = self.departing.get() || dice.chance(LEAVES);
            let count = if leaves { 1 } else { 1 + dice.within(0, self.pipeline) as usize };
            let drafts: Vec<Draft> = (1..=count).map(|n| self.draft(client, number + n, &dice)).collect();
            number += count;
            if leaves {
                self.leave(connection, &drafts[0], &dice).await;
            } else {
                kept = self.ask_all(connection, &drafts).await.filter(|_| !dice.chance(CLOSES));
            }
        }
    }

    async fn connection(&self, kept: &mut Option<Connection>) -> Option<Connection> {
        if let Some(connection) = kept.take() {
            return Some(connection);
        }
        let connection = Connection::open(self.at).await;
        if connection.is_none() {
            sleep(RECONNECT).await;
        }
        connection
    }

    fn asked(&self, draft: &Draft, connection: &Connection) {
        let asked = Asked {
            node: self.node,
            at: Instant::now(),
            connected: connection.opened,
            ahead: None,
            deadline_ms: draft.deadline_ms,
            end: End::Waits,
            ended: None,
            note: String::new(),
        };
        self.ledger.borrow_mut().asked.insert(draft.id.clone(), asked);
    }

    fn ended(&self, id: &str, end: End, note: &str) {
        if let Some(asked) = self.ledger.borrow_mut().asked.get_mut(id) {
            (asked.end, asked.ended, asked.note) = (end, Some(Instant::now()), note.to_owned());
        }
    }

    /// Sends requests at once and waits for their answers, in their order; the connection where it can be used again.
    async fn ask_all(&self, mut connection: Connection, drafts: &[Draft]) -> Option<Connection> {
        let is_reused = connection.answered > 0;
        drafts.iter().for_each(|draft| self.asked(draft, &connection));
        let bytes: Vec<u8> = drafts.iter().flat_map(|draft| draft.bytes.iter().copied()).collect();
        let sent = connection.stream.get_mut().write_all(&bytes).await;
        let mut ended = sent.err().map(|e| format!("as it was sent: {e}"));
        let (mut crossed, mut ahead): (Vec<&Draft>, Option<Instant>) = (Vec::new(), None);
        for draft in drafts {
            if let Some(asked) = self.ledger.borrow_mut().asked.get_mut(&draft.id) {
                asked.ahead = ahead;
            }
            if ended.is_none() {
                match self.answer_to(&mut connection, draft).await {
                    Answered::Yes => {
                        ahead = Some(Instant::now());
                        continue;
                    }
                    Answered::No => {
                        // What stands behind it waits for it, and ends with this client's patience.
                        ended = Some("an answer ahead of it did not come".into());
                        continue;
                    }
                    Answered::Ended(how) => ended = Some(how),
                }
            }
            let how = ended.as_deref().unwrap_or_default();
            let begun = self.ledger.borrow().arrivals.iter().rev().any(|a| a.id == draft.id);
            // Read by the node, or on a connection that had served nobody: nothing but a crowd excuses the close.
            if begun || !(is_reused || self.crowded) {
                let state = if begun { "an attempt was made, then " } else { "" };
                self.ended(&draft.id, End::Lost, &format!("{state}the connection ended: {how}"));
            } else {
                self.ended(&draft.id, End::AskedAgain, how);
                crossed.push(draft);
            }
        }
        if ended.is_none() {
            return Some(connection);
        }
        for draft in crossed {
            let mut new = Connection::open(self.at).await?;
            self.asked(draft, &new);
            let sent = new.stream.get_mut().write_all(&draft.bytes).await;
            let heard = match sent {
                Ok(()) => self.answer_to(&mut new, draft).await,
                Err(e) => Answered::Ended(format!("as it was sent: {e}")),
            };
            if let Answered::Ended(how) = heard {
                let begun = self.ledger.borrow().arrivals.iter().rev().any(|a| a.id == draft.id);
                if self.crowded && !begun {
                    self.ended(&draft.id, End::AskedAgain, &how);
                    continue;
                }
                self.ended(&draft.id, End::Lost, &format!("the second connection ended, too: {how}"));
            }
        }
        None
    }

    /// Waits for the answer to a request that was sent.
    async fn answer_to(&self, connection: &mut Connection, draft: &Draft) -> Answered {
        let patience = Duration::from_millis(draft.deadline_ms) + PATIENCE;
        match timeout(patience, connection.answer()).await {
            Err(_) => {
                self.ended(&draft.id, End::Lost, "no answer came");
                return Answered::No;
            }
            Ok(Heard::Ended(how)) => return Answered::Ended(how),
            Ok(Heard::Error(line)) => self.ended(&draft.id, End::Refused, &line),
            Ok(Heard::Value(value)) => {
                self.ended(&draft.id, End::Served, "");
                if value != draft.value && value != draft.id {
                    let wrong = format!("{} is answered with {value:.60}", draft.id);
                    self.ledger.borrow_mut().wrong.push(wrong);
                }
            }
        }
        connection.answered += 1;
        Answered::Yes
    }

    /// Asks on one connection for as long as the node keeps it, whatever the node has been told.
    pub async fn persistent_client(self: Rc<Self>, client: usize, dice: Dice) {
        let (mut number, Some(mut connection)) = (0, Connection::open(self.at).await) else { return };
        while !self.over.get() {
            let count = 1 + dice.within(0, self.pipeline) as usize;
            let drafts: Vec<Draft> = (1..=count).map(|n| self.draft(client, number + n, &dice)).collect();
            number += count;
            let Some(kept) = self.ask_all(connection, &drafts).await else { return };
            connection = kept;
            sleep(Duration::from_millis(dice.within(PERSISTENT_PACE_MS.0, PERSISTENT_PACE_MS.1))).await;
        }
    }

    /// An idle client of a crowd: it takes a place, and another one when the node ends that.
    pub async fn idle_client(self: Rc<Self>) {
        while !self.over.get() {
            let Some(mut connection) = Connection::open(self.at).await else {
                sleep(RECONNECT).await;
                continue;
            };
            if connection.stream.get_mut().write_all(&command(&["PING"])).await.is_ok() {
                while !self.over.get() && !matches!(connection.answer().await, Heard::Ended(_)) {}
            }
            sleep(RECONNECT).await;
        }
    }

    /// Asks and is gone before the answer comes.
    async fn leave(&self, mut connection: Connection, draft: &Draft, dice: &Dice) {
        self.asked(draft, &connection);
        let _ = connection.stream.get_mut().write_all(&draft.bytes).await;
        let wait = Duration::from_millis(dice.within(0, LEAVES_WITHIN_MS));
        if let Ok(Heard::Value(_) | Heard::Error(_)) = timeout(wait, connection.answer()).await {
            return self.ended(&draft.id, End::Served, "");
        }
        let way = dice.within(0, 3);
        if way == 0 {
            let _ = connection.stream.get_mut().set_zero_linger();
        }
        // Noted before the end is sent: what comes later than the rule allows then is late by any account.
        let left = Instant::now();
        if way == 1 {
            let _ = connection.stream.get_mut().shutdown().await;
            self.ended(&draft.id, End::Left, "ended its sending");
            sleep(Duration::from_millis(300)).await;
        }
        drop(connection);
        if way != 1 {
            self.ended(&draft.id, End::Left, "closed");
        }
        if let Some(asked) = self.ledger.borrow_mut().asked.get_mut(&draft.id) {
            asked.ended = Some(left);
        }
    }

    /// A client that sends half a request and stays: it is owed an error or the end.
    pub async fn half_request(self: Rc<Self>, number: usize) {
        let Some(mut connection) = Connection::open(self.at).await else { return };
        let ping = connection.stream.get_mut().write_all(&command(&["PING"])).await;
        if ping.is_err() || !matches!(connection.answer().await, Heard::Error(_)) {
            return;
        }
        let bytes = command(&["CACHE.GET", "key-half", &format!("half{number}"), "c=read,t=acme,d=500"]);
        if connection.stream.get_mut().write_all(&bytes[..bytes.len() / 2]).await.is_err() {
            return;
        }
        let began = Instant::now();
        if timeout(HALF_REQUEST, connection.answer()).await.is_err() {
            let mut ledger = self.ledger.borrow_mut();
            let stalled = ledger.stalled(began, Instant::now());
            let down = Ledger::touched(&ledger.down, self.node, began, Instant::now());
            if !down && stalled < Duration::from_millis(50) {
                ledger.kept.push(format!("half a request at node {} for {HALF_REQUEST:?}", self.node));
            }
        }
    }
}
