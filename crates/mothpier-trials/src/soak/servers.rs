//! Stand-ins for cache servers and the origin, with what goes wrong at them.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader, ReadBuf};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::ledger::{Arrival, Ledger};

/// One key in so many is missing at the cache servers.
const MISSING: usize = 12;
/// Work of a cache server on a command. One that takes none could not be told from its second answers: what is on its way
/// when a command is written comes as soon as an answer would.
const WORK: Duration = Duration::from_millis(6);
const SLOW: Duration = Duration::from_millis(120);
const ORIGIN_TAKES: Duration = Duration::from_millis(5);
const ORIGIN_SLOW: Duration = Duration::from_millis(250);
const BETWEEN_PIECES: Duration = Duration::from_millis(4);
/// One key in so many has a value that a node passes on as it comes, of about this length.
const LARGE: usize = 37;
const LARGE_LENGTH: usize = 150_000;
/// One answer in so many is given twice, or spoilt.
const SECOND: usize = 4;
const SPOILT: usize = 5;
/// Second answers come so much later at the most, in milliseconds.
const SECOND_LATER_MS: usize = 9;

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// It answers.
    Well,
    /// It answers nothing.
    Hangs,
    /// It resets the connection under a command; at the origin one in two has run.
    Resets,
    /// It is slow.
    Slow,
    /// Its answers come in pieces.
    Pieces,
    /// It closes behind each answer.
    Closes,
    /// It fails; at the origin with and without effect in turn.
    Fails,
    /// Some of its answers come twice, where no other command waits.
    SecondAnswers,
    /// Some of its answers stop short, can't be read or have more behind them.
    Spoils,
}

/// The value of a key as it is made for a request.
pub fn value_of(key: &str, id: &str) -> String {
    let number: usize = key.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
    if number % LARGE == 5 { id.repeat(LARGE_LENGTH / id.len()) } else { id.to_owned() }
}

/// A server.
pub struct Server {
    /// Its number; `None` for the origin.
    pub number: Option<usize>,
    /// Where it listens.
    pub at: SocketAddr,
    way: Cell<Way>,
    changed: Notify,
    calls: Cell<usize>,
    /// What is seen.
    ledger: Rc<RefCell<Ledger>>,
}

impl Server {
    /// Starts one.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn start(number: Option<usize>, ledger: Rc<RefCell<Ledger>>) -> Result<Rc<Server>, String> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| e.to_string())?;
        let at = listener.local_addr().map_err(|e| e.to_string())?;
        let (way, changed, calls) = (Cell::new(Way::Well), Notify::new(), Cell::new(0));
        let server = Rc::new(Server { number, at, way, changed, calls, ledger });
        let own = server.clone();
        spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let _ = stream.set_nodelay(true);
                let own = own.clone();
                spawn_local(async move {
                    match own.number {
                        Some(_) => own.cache(BufReader::new(stream)).await,
                        None => own.origin(BufReader::new(stream)).await,
                    }
                });
            }
        });
        Ok(server)
    }

    /// From now on it behaves so.
    pub fn set(&self, way: Way) {
        self.way.set(way);
        self.changed.notify_waiters();
    }

    fn arrived(&self, id: &str, extras: &str) {
        let told = extras.split(',').find_map(|part| part.strip_prefix("d=")).and_then(|d| d.parse().ok());
        let arrival = Arrival { id: id.to_owned(), server: self.number, at: Instant::now(), told_ms: told };
        self.ledger.borrow_mut().arrivals.push(arrival);
    }

    async fn until_it_answers(&self) {
        loop {
            let word = self.changed.notified();
            if self.way.get() != Way::Hangs {
                return;
            }
            word.await;
        }
    }

    /// Sends an answer as it behaves now; whether the connection goes on.
    async fn send(&self, stream: &mut (impl AsyncWrite + Unpin), answer: &[u8]) -> bool {
        let sent = match self.way.get() {
            Way::Pieces => {
                let mut sent = Ok(());
                for piece in answer.chunks(answer.len().div_ceil(3).max(1)) {
                    sent = sent.and(stream.write_all(piece).await);
                    sleep(BETWEEN_PIECES).await;
                }
                sent
            }
            _ => stream.write_all(answer).await,
        };
        sent.is_ok() && self.way.get() != Way::Closes
    }

    /// Commands are noted as they come and answered in their order, behind those that wait.
    async fn cache(self: Rc<Self>, stream: BufReader<TcpStream>) {
        let (reading, mut writing) = stream.into_inner().into_split();
        let (put, mut commands) = mpsc::unbounded_channel();
        let own = self.clone();
        let reader = spawn_local(async move {
            let mut reading = BufReader::new(reading);
            while let Some(words) = words(&mut reading).await {
                if let [_, _, id, extras, ..] = &words[..] {
                    own.arrived(id, extras);
                }
                if put.send(words).is_err() {
                    return;
                }
            }
        });
        self.answer_commands(&mut commands, &mut writing).await;
        // What has come and is not answered is reset with the connection, as by a server that closes it.
        reader.abort();
    }

    async fn answer_commands(
        &self,
        commands: &mut mpsc::UnboundedReceiver<Vec<String>>,
        stream: &mut tcp::OwnedWriteHalf,
    ) {
        let mut next = None;
        loop {
            let words = match next.take() {
                Some(words) => words,
                None => match commands.recv().await {
                    Some(words) => words,
                    None => return,
                },
            };
            let [_, key, id, ..] = &words[..] else {
                if stream.write_all(b"+OK\r\n").await.is_err() {
                    return;
                }
                continue;
            };
            match self.way.get() {
                Way::Resets => {
                    let _ = stream.as_ref().set_zero_linger();
                    return;
                }
                Way::Slow => sleep(SLOW).await,
                _ => {
                    sleep(WORK).await;
                    self.until_it_answers().await;
                }
            }
            let number: usize = key.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
            let answer = match self.way.get() {
                Way::Fails => "-ERR failed\r\n".to_owned(),
                _ if number.is_multiple_of(MISSING) => "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n".to_owned(),
                _ => {
                    let value = value_of(key, id);
                    let length = value.len();
                    format!("*3\r\n${length}\r\n{value}\r\n$3\r\nhit\r\n$17\r\nlat_ms=5,busy=0.1\r\n")
                }
            };
            let turn = self.calls.get();
            self.calls.set(turn + 1);
            if self.way.get() == Way::Spoils && turn.is_multiple_of(SPOILT) {
                if stream.write_all(&spoilt(&answer, turn / SPOILT, commands.is_empty())).await.is_err() {
                    return;
                }
                continue;
            }
            if !self.send(stream, answer.as_bytes()).await {
                return;
            }
            if self.way.get() == Way::SecondAnswers && turn.is_multiple_of(SECOND) {
                let later = Duration::from_millis((turn / SECOND % SECOND_LATER_MS) as u64);
                match timeout(later, commands.recv()).await {
                    Ok(None) => return,
                    Ok(words) => next = words,
                    // One that has come and is not read yet counts as come: crossing is for what is on its way.
                    Err(_) if has_unread(stream.as_ref()).await || !commands.is_empty() => {}
                    Err(_) => {
                        self.ledger
                            .borrow_mut()
                            .notes
                            .push((Instant::now(), format!("{id} is answered again")));
                        if stream.write_all(answer.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                }
            }
        }
    }

    async fn origin(self: Rc<Self>, mut stream: BufReader<TcpStream>) {
        while let Some(call) = call(&mut stream).await {
            self.arrived(&call.id, &call.extras);
            let number = self.calls.get();
            self.calls.set(number + 1);
            let way = self.way.get();
            let never_ran = way == Way::Fails && number.is_multiple_of(2);
            let reset_before = way == Way::Resets && number.is_multiple_of(2);
            if call.write && !never_ran && !reset_before {
                *self.ledger.borrow_mut().effects.entry(call.id.clone()).or_default() += 1;
            }
            self.until_it_answers().await;
            sleep(if way == Way::Slow { ORIGIN_SLOW } else { ORIGIN_TAKES }).await;
            let answer = match way {
                Way::Resets => {
                    let _ = stream.get_mut().set_zero_linger();
                    return;
                }
                Way::Fails if never_ran => {
                    "HTTP/1.1 503 no\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
                }
                Way::Fails => "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n".to_owned(),
                _ => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", call.id.len(), call.id),
            };
            if !self.send(stream.get_mut(), answer.as_bytes()).await {
                return;
            }
        }
    }
}

/// A spoilt form of an answer. More than was asked for comes only where no other command waits: behind it the next answer
/// could not be told from it.
fn spoilt(answer: &str, turn: usize, is_alone: bool) -> Vec<u8> {
    // Within the load report, so that what follows never completes the value.
    let short = &answer[..answer.len().saturating_sub(8)];
    match turn % 3 {
        0 => short.into(),
        1 => b"?3\r\n!\r\n".to_vec(),
        _ if is_alone => [answer, "HTTP/1.1 200 OK\r\n\r\n"].concat().into_bytes(),
        _ => answer.into(),
    }
}

/// Whether something has come that is not read yet.
async fn has_unread(stream: &TcpStream) -> bool {
    // Once round the runtime, which looks at the sockets then.
    tokio::task::yield_now().await;
    poll_fn(|context| {
        let mut byte = [0];
        let peeked = stream.poll_peek(context, &mut ReadBuf::new(&mut byte));
        Poll::Ready(matches!(peeked, Poll::Ready(Ok(1..))))
    })
    .await
}

/// Reads a RESP command's words.
async fn words(from: &mut (impl AsyncBufRead + Unpin)) -> Option<Vec<String>> {
    let count: usize = line(from).await?.strip_prefix('*')?.parse().ok()?;
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let length: usize = line(from).await?.strip_prefix('$')?.parse().ok()?;
        let mut bytes = vec![0; length + 2];
        from.read_exact(&mut bytes).await.ok()?;
        bytes.truncate(length);
        words.push(String::from_utf8(bytes).ok()?);
    }
    Some(words)
}

async fn line(from: &mut (impl AsyncBufRead + Unpin)) -> Option<String> {
    let mut line = String::new();
    from.read_line(&mut line).await.ok().filter(|length| *length > 0)?;
    Some(line.trim_end().to_owned())
}

/// A call at the origin.
struct Call {
    id: String,
    extras: String,
    write: bool,
}

async fn call(from: &mut BufReader<TcpStream>) -> Option<Call> {
    let first = line(from).await?;
    let (mut call, mut length) =
        (Call { id: String::new(), extras: String::new(), write: first.starts_with("PUT") }, 0);
    loop {
        let line = line(from).await?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(": ")?;
        match name.to_ascii_lowercase().as_str() {
            "x-request-id" => call.id = value.to_owned(),
            "x-extras" => call.extras = value.to_owned(),
            "content-length" => length = value.parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).await.ok()?;
    Some(call)
}
