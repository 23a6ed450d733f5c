//! A stand-in for discovery: one list for all, and an entry for each node, so that what each was told is known.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::ledger::{Ledger, Told};

const SLOW: Duration = Duration::from_millis(400);

/// How it behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// It answers.
    Well,
    /// It resets each call.
    Down,
    /// It answers nothing.
    Silent,
    /// It is late.
    Slow,
}

/// A line of the list.
#[derive(Clone, Debug)]
pub struct Line {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub at: SocketAddr,
    /// Its kind of machine.
    pub kind: &'static str,
    /// Whether it takes requests; else it drains.
    pub ready: bool,
    /// When it started, Unix milliseconds.
    pub started_ms: i64,
}

impl Line {
    fn text(&self) -> String {
        let phase = if self.ready { "ready" } else { "draining" };
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"a","flavor":"{}","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":{}}}"#,
            self.id, self.at, self.kind, self.started_ms
        )
    }
}

/// The list, and how it is told.
pub struct Discovery {
    lines: RefCell<Vec<Line>>,
    revision: Cell<u64>,
    way: Cell<Way>,
    changed: Notify,
    ledger: Rc<RefCell<Ledger>>,
}

impl Discovery {
    /// One with a list.
    pub fn new(lines: Vec<Line>, ledger: Rc<RefCell<Ledger>>) -> Rc<Self> {
        let (revision, way) = (Cell::new(1), Cell::new(Way::Well));
        Rc::new(Discovery { lines: RefCell::new(lines), revision, way, changed: Notify::new(), ledger })
    }

    /// From now on it behaves so.
    pub fn set(&self, way: Way) {
        self.way.set(way);
        self.changed.notify_waiters();
    }

    /// Changes a line.
    pub fn change(&self, number: usize, change: impl FnOnce(&mut Line)) {
        change(&mut self.lines.borrow_mut()[number]);
        self.revision.set(self.revision.get() + 1);
        self.changed.notify_waiters();
    }

    /// Opens an entry for a node; where.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn entry(self: &Rc<Self>, node: usize) -> Result<SocketAddr, String> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| e.to_string())?;
        let at = listener.local_addr().map_err(|e| e.to_string())?;
        let own = self.clone();
        spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                spawn_local(own.clone().serve(node, BufReader::new(stream)));
            }
        });
        Ok(at)
    }

    async fn serve(self: Rc<Self>, node: usize, mut stream: BufReader<TcpStream>) {
        loop {
            let mut target = None;
            loop {
                let mut line = String::new();
                let read = stream.read_line(&mut line).await;
                if !matches!(read, Ok(1..)) {
                    return;
                }
                let line = line.trim_end();
                target = target.or_else(|| line.split(' ').nth(1).map(str::to_owned));
                if line.is_empty() {
                    break;
                }
            }
            if !self.answer(node, &target.unwrap_or_default(), &mut stream).await {
                return;
            }
        }
    }

    /// Answers a call; whether the connection goes on.
    async fn answer(&self, node: usize, target: &str, stream: &mut BufReader<TcpStream>) -> bool {
        let figure = |name: &str| {
            let pairs = target.split(['?', '&']);
            pairs
                .filter_map(|pair| pair.split_once('='))
                .find(|(n, _)| *n == name)
                .and_then(|(_, v)| v.parse().ok())
        };
        let after: Option<u64> = figure("after");
        let until = Instant::now() + Duration::from_millis(figure("wait_ms").unwrap_or(0).min(30_000));
        loop {
            let word = self.changed.notified();
            match self.way.get() {
                Way::Down => {
                    let _ = stream.get_mut().set_zero_linger();
                    return false;
                }
                Way::Slow => sleep(SLOW).await,
                Way::Silent | Way::Well => {}
            }
            let left = until.saturating_duration_since(Instant::now());
            let news = after.is_none_or(|after| self.revision.get() > after);
            let answers = self.way.get() != Way::Silent && (news || left.is_zero());
            if answers {
                return self.tell(node, stream).await;
            }
            let left = if left.is_zero() { Duration::from_secs(1) } else { left };
            let _ = timeout(left, word).await;
        }
    }

    async fn tell(&self, node: usize, stream: &mut BufReader<TcpStream>) -> bool {
        let lines = self.lines.borrow().clone();
        let members: Vec<String> = lines.iter().map(Line::text).collect();
        let body = format!(
            r#"{{"revision":{},"complete":true,"members":[{}]}}"#,
            self.revision.get(),
            members.join(",")
        );
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let sent = stream.get_mut().write_all(answer.as_bytes()).await.is_ok();
        if sent {
            let at = Instant::now();
            let told = lines.iter().enumerate().filter(|(_, line)| line.kind != "origin");
            let told = told.map(|(server, line)| Told { node, server, ready: line.ready, at });
            self.ledger.borrow_mut().told.extend(told);
        }
        sent
    }
}
