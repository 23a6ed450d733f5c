//! Cache servers and an origin that record when each attempt has arrived completely, and answer the attempts
//! of a connection in order, after a delay.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use mothpier_world::loopback::*;

/// Arrival times of the attempts of each request at the upstream servers, by request id.
#[derive(Default)]
pub struct Attempts(Mutex<HashMap<String, Vec<Instant>>>);

impl Attempts {
    fn record(&self, id: &str) {
        self.0.lock().unwrap().entry(id.to_owned()).or_default().push(Instant::now());
    }

    /// Returns the arrival times of the attempts of a request so far.
    pub fn times(&self, id: &str) -> Vec<Instant> {
        self.0.lock().unwrap().get(id).cloned().unwrap_or_default()
    }

    /// Waits until a request has had `count` attempts. Returns whether that happened within the given time.
    pub fn wait_for(&self, id: &str, count: usize, within: Duration) -> bool {
        let started = Instant::now();
        while self.times(id).len() < count {
            if started.elapsed() > within {
                return false;
            }
            thread::sleep(Duration::from_millis(1));
        }
        true
    }
}

/// How a server responds to each attempt.
#[derive(Clone)]
pub enum Behaviour {
    /// Answers neither this attempt nor later ones on the connection.
    Silent,
    /// Answers with these bytes when the given time has passed since the arrival.
    AnswersAfter(Duration, Vec<u8>),
    /// Answers with these bytes once the gate is open.
    Gated(Arc<Gate>, Vec<u8>),
}

/// Returns the bytes of an answer, none for any other reaction.
pub fn answer_bytes(reaction: Reaction) -> Vec<u8> {
    match reaction {
        Reaction::Answer(bytes) => bytes,
        _ => Vec::new(),
    }
}

/// Starts a cache server.
pub fn cache_server(attempts: &Arc<Attempts>, behaviour: Behaviour) -> SocketAddr {
    start_server(command, |arguments| arguments.get(2).cloned(), attempts, behaviour)
}

/// Starts an origin.
pub fn origin(attempts: &Arc<Attempts>, behaviour: Behaviour) -> SocketAddr {
    let id = |lines: &[String]| {
        lines.iter().find_map(|line| line.strip_prefix("x-request-id: ")).map(str::to_owned)
    };
    start_server(call, id, attempts, behaviour)
}

type ReadRequest = fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>;

fn start_server(
    read: ReadRequest,
    id: fn(&[String]) -> Option<String>,
    attempts: &Arc<Attempts>,
    behaviour: Behaviour,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let attempts = attempts.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (attempts, behaviour) = (attempts.clone(), behaviour.clone());
            thread::spawn(move || {
                let (sender, receiver) = channel();
                let write_half = stream.try_clone().unwrap();
                thread::spawn(move || write_answers(write_half, &receiver, &behaviour));
                let mut reader = BufReader::new(stream);
                while let Some(request) = read(&mut reader) {
                    if let Some(id) = id(&request) {
                        attempts.record(&id);
                    }
                    let _ = sender.send(Instant::now());
                }
            });
        }
    });
    address
}

/// Answers the attempts that arrived at these times, in order.
fn write_answers(mut stream: TcpStream, arrivals: &Receiver<Instant>, behaviour: &Behaviour) {
    while let Ok(arrived_at) = arrivals.recv() {
        let answer = match behaviour {
            Behaviour::Silent => continue,
            Behaviour::AnswersAfter(after, answer) => {
                thread::sleep(after.saturating_sub(arrived_at.elapsed()));
                answer
            }
            Behaviour::Gated(gate, answer) => {
                gate.pass();
                answer
            }
        };
        if stream.write_all(answer).is_err() {
            return;
        }
    }
}
