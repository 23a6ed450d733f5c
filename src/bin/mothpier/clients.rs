//! The listener and RESP2 from clients. Answers go out in the order of the commands on a connection.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use brassrouter::settings::Site;
use brassrouter::{Micros, Request, RequestId};
use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::log;
use crate::node::Input;
use crate::resp::{self, MAX_VALUE};

/// Commands of one connection that may wait for their answers; what comes beyond is not read yet.
const MAX_PIPELINE: usize = 64;
/// Bytes of one connection that are read ahead.
const MAX_BUFFER: usize = 2 * MAX_VALUE;
/// A client that takes none of its answer for this long is cut off.
const SLOW_READER: Duration = Duration::from_secs(10);
/// Between tries to accept while there is no room; a connection has rested when it was idle for so long.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// When a request that finds the node's memory full may come back, milliseconds.
const FULL_RETRY_MS: u64 = 100;
/// Memory that an open request may hold: its value, and that of its answer.
const REQUEST_KB: u32 = (2 * MAX_VALUE / 1024) as u32;

/// A client's command as it came; what goes on to servers is made of it.
#[derive(Debug)]
pub struct Command {
    pub name: Bytes,
    pub key: Bytes,
    pub id: Bytes,
    pub extras: Bytes,
    pub value: Option<Bytes>,
    pub write: bool,
}

impl Command {
    /// The command for a cache server: unchanged but for how long this attempt will be waited for.
    pub fn for_server(&self, wait: Duration) -> Bytes {
        let mut extras = String::with_capacity(self.extras.len() + 8);
        for part in String::from_utf8_lossy(&self.extras).split(',') {
            let comma = if extras.is_empty() { "" } else { "," };
            match part.split_once('=') {
                Some(("d", _)) => extras += &format!("{comma}d={}", wait.as_millis().max(1)),
                _ => extras += &format!("{comma}{part}"),
            }
        }
        let words = [self.name.clone(), self.key.clone(), self.id.clone(), extras.into()];
        resp::command(words.into_iter().chain(self.value.clone()))
    }
}

/// A final answer.
#[derive(Debug)]
pub enum Answer {
    Value(Bytes),
    /// Refused; come back after so many milliseconds.
    Busy(u64),
    Failed,
}

/// What clients tell the node.
pub enum Event {
    Asked { request: Request, command: Box<Command>, answer: oneshot::Sender<Answer> },
    Gone(RequestId),
}

/// Whether connections are taken and kept.
#[derive(Clone, Copy, PartialEq)]
pub enum Phase {
    Open,
    /// The listener is closed, and each connection with its last answer.
    Closing,
}

/// What all client connections share.
pub struct Clients {
    site: Site,
    now: Box<dyn Fn() -> Micros>,
    ready: Rc<Cell<bool>>,
    next_request: Cell<RequestId>,
    memory: std::sync::Arc<Semaphore>,
    most: usize,
    phase: watch::Receiver<Phase>,
    events: mpsc::Sender<Input>,
    open: RefCell<BTreeMap<u64, Entry>>,
    closed: Notify,
}

struct Entry {
    /// When it last sent something or was answered; `None` while an answer is owed to it.
    idle: Option<Instant>,
    evict: Rc<Notify>,
}

impl Clients {
    pub fn new(
        site: Site,
        now: Box<dyn Fn() -> Micros>,
        ready: Rc<Cell<bool>>,
        (most, memory): (usize, usize),
        phase: watch::Receiver<Phase>,
        events: mpsc::Sender<Input>,
    ) -> Rc<Self> {
        let requests = (memory / 1024 / REQUEST_KB as usize).clamp(1, site.max_open);
        Rc::new(Clients {
            site,
            now,
            ready,
            next_request: Cell::new(1),
            memory: std::sync::Arc::new(Semaphore::new(requests)),
            most,
            phase,
            events,
            open: RefCell::default(),
            closed: Notify::new(),
        })
    }

    /// How many connections are open.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Waits until a connection has closed.
    pub async fn one_closed(&self) {
        self.closed.notified().await;
    }

    /// Accepts until the phase ends; what the machine has accepted by then is still taken.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let (mut phase, mut number) = (self.phase.clone(), 0u64);
        loop {
            if self.count() >= self.most {
                // At the limit the connection that has been idle longest gives way; if none is, new ones wait.
                self.evict();
                tokio::select! {
                    () = self.closed.notified() => {}
                    () = sleep(ACCEPT_PAUSE) => {}
                    _ = phase.wait_for(|p| *p == Phase::Closing) => return,
                }
                continue;
            }
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = phase.wait_for(|p| *p == Phase::Closing) => break,
            };
            number += 1;
            match accepted {
                Ok((stream, _)) => self.clone().start(stream, number),
                Err(e) => {
                    // Out of descriptors (EMFILE) or the like: it passes, and the listener must outlive it.
                    log(format_args!("accepting failed: {e}"));
                    self.evict();
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        while let Some((stream, _)) = poll_fn(|cx| match listener.poll_accept(cx) {
            Poll::Ready(accepted) => Poll::Ready(accepted.ok()),
            Poll::Pending => Poll::Ready(None),
        })
        .await
        {
            number += 1;
            self.clone().start(stream, number);
        }
    }

    /// Those that sent half a command give way too, or clients that never end one would keep all others out;
    /// not one that has only just come: where all others are busy it would go before it could ask.
    fn evict(&self) {
        let open = self.open.borrow();
        let rests = |e: &&Entry| e.idle.is_some_and(|since| since.elapsed() >= ACCEPT_PAUSE);
        let longest = open.values().filter(rests).min_by_key(|e| e.idle);
        if let Some(entry) = longest {
            entry.evict.notify_one();
        }
    }

    fn start(self: Rc<Self>, stream: TcpStream, number: u64) {
        let evict = Rc::new(Notify::new());
        let entry = Entry { idle: Some(Instant::now()), evict: evict.clone() };
        self.open.borrow_mut().insert(number, entry);
        tokio::task::spawn_local(async move {
            let _ = stream.set_nodelay(true);
            let mut session =
                Session { clients: self.clone(), number, pending: VecDeque::new(), ended: false };
            session.run(stream, evict).await;
            for slot in &session.pending {
                if let Wait::Node(id, _) = slot.wait {
                    let _ = self.events.send(Input::Client(Event::Gone(id))).await;
                }
            }
            self.open.borrow_mut().remove(&number);
            self.closed.notify_waiters();
            self.closed.notify_one();
        });
    }

    /// Reads a command's words; the error is answered to the client.
    fn parse(&self, words: &[Bytes], came: Micros) -> Result<(Request, Command), String> {
        let [name, key, id, extras, value @ ..] = words else {
            return Err("wrong number of arguments".into());
        };
        let write = name.eq_ignore_ascii_case(b"CACHE.SET");
        if value.len() != usize::from(write) {
            return Err("wrong number of arguments".into());
        }
        if key.is_empty() || id.is_empty() || key.len() > 1024 || id.len() > 1024 || extras.len() > 4096 {
            return Err("key, id or extras of a wrong length".into());
        }
        // They go into headers at the origin.
        if !id.iter().chain(extras.iter()).all(|b| b.is_ascii_graphic()) {
            return Err("id and extras must be printable".into());
        }
        let text = String::from_utf8_lossy(extras);
        let extra = |name: &str| {
            text.split(',').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
        };
        let figure = |name: &str| match extra(name).map(str::parse::<f64>) {
            None => Ok(None),
            Some(Ok(f)) if f.is_finite() && f >= 0.0 => Ok(Some(f)),
            Some(_) => Err(format!("{name} is no figure")),
        };
        let class = extra("c").and_then(|c| self.site.classes.iter().position(|n| n == c));
        let class = class.ok_or("unknown class")?;
        let tenant = match extra("t") {
            _ if self.site.tenants.is_empty() => Some(0),
            tenant => tenant.and_then(|t| self.site.tenants.iter().position(|n| n == t)),
        };
        // No longer than the class allows: what is kept for a request must not stay for as long as anyone says.
        let deadline = self.site.decisions.classes[class].deadline;
        let time_left = figure("d")?.map_or(deadline, |ms| ((ms * 1000.0) as Micros).min(deadline));
        let request = Request {
            id: self.next_request.replace(self.next_request.get() + 1),
            class,
            tenant: tenant.ok_or("unknown tenant")?,
            key: xxh3_64(key).max(1), // 0 would mean none.
            write,
            repeat: extra("r") == Some("1"),
            // The client's wait began before its command was read whole.
            time_left: time_left.saturating_sub((self.now)() - came),
            cost: figure("h")?.map(|us| us as Micros),
            size: figure("size")?.unwrap_or_default() as f32,
        };
        let command = Command {
            name: name.clone(),
            key: key.clone(),
            id: id.clone(),
            extras: extras.clone(),
            value: value.first().cloned(),
            write,
        };
        Ok((request, command))
    }
}

enum Wait {
    Ready(Bytes),
    Node(RequestId, oneshot::Receiver<Answer>),
}

struct Slot {
    wait: Wait,
    /// Held until the answer is written.
    _memory: Option<OwnedSemaphorePermit>,
}

struct Session {
    clients: Rc<Clients>,
    number: u64,
    /// In the order of the commands.
    pending: VecDeque<Slot>,
    /// No more commands are read: the last answer closes.
    ended: bool,
}

impl Session {
    async fn run(&mut self, stream: TcpStream, evict: Rc<Notify>) {
        let clients = self.clients.clone();
        let mut phase = clients.phase.clone();
        let (mut reading, mut writing) = stream.into_split();
        let mut buffer = BytesMut::new();
        let mut came = (clients.now)();
        loop {
            while !self.ended && self.pending.len() < MAX_PIPELINE {
                match resp::take_frame(&mut buffer) {
                    Ok(Some(frame)) => self.command(frame, came).await,
                    Ok(None) => break,
                    Err(e) => {
                        self.answer(resp::error(&format!("ERR protocol: {e}")));
                        self.ended = true;
                    }
                }
            }
            // Something was sent, answered, or begins to wait: each time round here.
            let idle = self.pending.is_empty();
            if let Some(entry) = clients.open.borrow_mut().get_mut(&self.number) {
                entry.idle = idle.then(Instant::now);
            }
            if self.ended && self.pending.is_empty() {
                return;
            }
            let closing = *phase.borrow_and_update() == Phase::Closing;
            if closing && idle && buffer.is_empty() {
                return;
            }
            let may_read = !self.ended && self.pending.len() < MAX_PIPELINE && buffer.len() < MAX_BUFFER;
            tokio::select! {
                biased;
                bytes = next_answer(&mut self.pending), if !self.pending.is_empty() => {
                    let whole = timeout(SLOW_READER, writing.write_all(&bytes)).await;
                    self.pending.pop_front();
                    if !matches!(whole, Ok(Ok(()))) {
                        return;
                    }
                }
                read = reading.read_buf(&mut buffer), if may_read => match read {
                    // A client that closes has gone away: what it asked for is not wanted any more.
                    Ok(0) | Err(_) => return,
                    Ok(_) => came = (clients.now)(),
                },
                () = evict.notified(), if idle => return,
                _ = phase.changed(), if !closing => {}
            }
        }
    }

    fn answer(&mut self, bytes: Bytes) {
        self.pending.push_back(Slot { wait: Wait::Ready(bytes), _memory: None });
    }

    async fn command(&mut self, frame: BytesFrame, came: Micros) {
        let word = |f: BytesFrame| match f {
            BytesFrame::BulkString(b) => Some(b),
            _ => None,
        };
        let words = match frame {
            BytesFrame::Array(frames) => frames.into_iter().map(word).collect::<Option<Vec<_>>>(),
            _ => None,
        };
        let Some(words) = words.filter(|w| !w.is_empty()) else {
            self.ended = true;
            return self.answer(resp::error("ERR protocol: a command is an array of bulk strings"));
        };
        match words[0].to_ascii_uppercase().as_slice() {
            b"PING" if self.clients.ready.get() => self.answer(Bytes::from_static(b"+PONG\r\n")),
            b"PING" => self.answer(resp::error("ERR not ready: no list of servers yet")),
            b"QUIT" => {
                self.ended = true;
                self.answer(Bytes::from_static(b"+OK\r\n"));
            }
            b"CACHE.GET" | b"CACHE.SET" => match self.clients.parse(&words, came) {
                Ok((request, command)) => self.ask(request, Box::new(command)).await,
                Err(e) => self.answer(resp::error(&format!("ERR {e}"))),
            },
            _ => self.answer(resp::error("ERR unknown command")),
        }
    }

    async fn ask(&mut self, request: Request, command: Box<Command>) {
        // Memory is bounded by what open requests may hold; one beyond that never runs.
        let Ok(memory) = self.clients.memory.clone().try_acquire_owned() else {
            return self.answer(resp::error(&format!("BUSY {FULL_RETRY_MS}")));
        };
        let (answer, receiver) = oneshot::channel();
        let id = request.id;
        if self.clients.events.send(Input::Client(Event::Asked { request, command, answer })).await.is_err() {
            return self.answer(resp::error("ERR stopping"));
        }
        self.pending.push_back(Slot { wait: Wait::Node(id, receiver), _memory: Some(memory) });
    }
}

/// The answer to the first of the commands, when there is one. Safe to drop and call again.
async fn next_answer(pending: &mut VecDeque<Slot>) -> Bytes {
    poll_fn(|cx| {
        let Some(slot) = pending.front_mut() else { return Poll::Pending };
        match &mut slot.wait {
            Wait::Ready(bytes) => Poll::Ready(bytes.clone()),
            Wait::Node(_, receiver) => Pin::new(receiver).poll(cx).map(|answer| match answer {
                Ok(Answer::Value(value)) => resp::encode(&BytesFrame::BulkString(value)),
                Ok(Answer::Busy(0)) => resp::error("BUSY"),
                Ok(Answer::Busy(ms)) => resp::error(&format!("BUSY {ms}")),
                Ok(Answer::Failed) | Err(_) => resp::error("ERR failed"),
            }),
        }
    })
    .await
}
