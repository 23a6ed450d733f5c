//! Clients that send the same bytes over and over at full speed.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::encode;

/// Bytes that a flooding client passes to the kernel at once.
const WRITE_BYTES: usize = 64 * 1024;
/// Longest time that a flooding client waits in a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);

/// What a flooding client sends.
#[derive(Clone, Copy, Debug)]
pub enum Input {
    /// Line ends without a command.
    EmptyLines,
    /// Zeros, which begin no frame.
    Garbage,
    /// Arrays without an element.
    EmptyArrays,
    /// Commands that do not exist.
    UnknownCommands,
    /// Commands that do not exist, each under a name of its own.
    NewCommands,
    /// Reads without a request id.
    NoId,
    /// Reads of a class that does not exist, each under a name of its own.
    NewClasses,
    /// Reads with as many extras as are accepted.
    ManyExtras,
    /// `PING`.
    Ping,
    /// `INFO`, which has a long reply.
    Info,
    /// `HELLO`, as an inline command.
    InlineHello,
    /// Values that are too long for the node's memory.
    RefusedValues,
    /// Long values of commands that do not exist.
    UnknownValues,
    /// Zeros behind `QUIT`.
    BehindQuit,
    /// Reads that are served, or refused where too many of them are open on the connection.
    Reads,
}

impl Input {
    pub const ALL: [Input; 15] = [
        Input::EmptyLines,
        Input::Garbage,
        Input::EmptyArrays,
        Input::UnknownCommands,
        Input::NewCommands,
        Input::NoId,
        Input::NewClasses,
        Input::ManyExtras,
        Input::Ping,
        Input::Info,
        Input::InlineHello,
        Input::RefusedValues,
        Input::UnknownValues,
        Input::BehindQuit,
        Input::Reads,
    ];

    /// Returns whether the servers are asked for it, so that the node may refuse a part of all requests.
    pub fn is_work_for_servers(self) -> bool {
        matches!(self, Input::Reads)
    }

    /// Returns the `number`th command.
    fn bytes(self, number: u64) -> Vec<u8> {
        let extras = "c=read,t=acme,d=1000";
        match self {
            Input::EmptyLines => b"\r\n".to_vec(),
            Input::Garbage | Input::BehindQuit => vec![0; 64],
            Input::EmptyArrays => b"*0\r\n".to_vec(),
            Input::UnknownCommands => encode(&["NO.SUCH", "k"]),
            Input::NewCommands => encode(&[&format!("NO.{number}"), "k"]),
            Input::NoId => encode(&["CACHE.GET", "k", extras]),
            Input::NewClasses => encode(&["CACHE.GET", "k", "id", &format!("c=class{number},t=acme,d=1000")]),
            Input::ManyExtras => {
                let fields: String = (0..650).map(|field| format!(",{field:x}=1")).collect();
                encode(&["CACHE.GET", "k", "id", &format!("c=nosuch{fields}")])
            }
            Input::Ping => encode(&["PING"]),
            Input::Reads => encode(&["CACHE.GET", &format!("read{}", number % 50), &read_id(number), extras]),
            Input::Info => encode(&["INFO"]),
            Input::InlineHello => b"HELLO\r\n".to_vec(),
            Input::RefusedValues => {
                let id = format!("refused{number}");
                encode(&["CACHE.SET", &id, &id, "c=once,t=acme,d=1000", &"v".repeat(4 << 20)])
            }
            Input::UnknownValues => encode(&["NO.SUCH", &"v".repeat(1 << 20)]),
        }
    }

    /// Returns what is sent before the first command of a connection.
    fn opening(self) -> Vec<u8> {
        match self {
            Input::BehindQuit => encode(&["QUIT"]),
            _ => Vec::new(),
        }
    }

    /// Returns as many commands as the client passes to the kernel at once, the first of them the `number`th.
    fn batch(self, number: &mut u64) -> Vec<u8> {
        let mut batch = Vec::new();
        while batch.len() < WRITE_BYTES {
            batch.extend(self.bytes(*number));
            *number += 1;
        }
        batch
    }
}

/// Returns the id of a read; the clients of a flood number theirs alike.
fn read_id(number: u64) -> String {
    format!("{:?}-{number}", thread::current().id())
}

/// A client that sends at full speed, on a new connection whenever the last one has ended, and reads what it is
/// answered. Ends when dropped.
pub struct Flood {
    ended: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    sender: Option<JoinHandle<()>>,
}

impl Flood {
    pub fn start(address: SocketAddr, input: Input) -> Self {
        let (ended, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let (stop, count) = (ended.clone(), sent.clone());
        let sender = thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                if let Ok(stream) = TcpStream::connect(address) {
                    send_on(&stream, input, &mut number, &stop, &count);
                }
            }
        });
        Flood { ended, sent, sender: Some(sender) }
    }

    /// Returns the number of bytes that the kernel has taken.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        let _ = self.sender.take().map(JoinHandle::join);
    }
}

/// Sends on a connection until it ends or the flood is to end.
fn send_on(stream: &TcpStream, input: Input, number: &mut u64, stop: &AtomicBool, sent: &AtomicU64) {
    stream.set_read_timeout(Some(CALL_TIMEOUT)).unwrap();
    stream.set_write_timeout(Some(CALL_TIMEOUT)).unwrap();
    thread::scope(|scope| {
        scope.spawn(|| read_to_end(stream, stop));
        let mut unsent = input.opening();
        while !stop.load(Ordering::Relaxed) {
            if unsent.is_empty() {
                unsent = input.batch(number);
            }
            match (&*stream).write(&unsent) {
                Ok(written) => {
                    sent.fetch_add(written as u64, Ordering::Relaxed);
                    unsent.drain(..written);
                }
                Err(e) if is_timeout(&e) => {}
                Err(_) => break,
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    });
}

fn read_to_end(stream: &TcpStream, stop: &AtomicBool) {
    let mut replies = vec![0; WRITE_BYTES];
    while !stop.load(Ordering::Relaxed) {
        match (&*stream).read(&mut replies) {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) if is_timeout(&e) => {}
            Err(_) => return,
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
    matches!(error.kind(), Interrupted | TimedOut | WouldBlock)
}
