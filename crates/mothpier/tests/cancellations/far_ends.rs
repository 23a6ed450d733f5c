//! Cache servers and an origin that write down when each attempt came in whole, and answer some time later in the
//! order of the connection.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use mothpier_world::loopback::*;

/// When the attempts of each request came in at the far ends, by the request's id.
#[derive(Default)]
pub struct Attempts(Mutex<HashMap<String, Vec<Instant>>>);

impl Attempts {
    fn came(&self, id: &str) {
        self.0.lock().unwrap().entry(id.to_owned()).or_default().push(Instant::now());
    }

    /// The attempts of a request so far.
    pub fn of(&self, id: &str) -> Vec<Instant> {
        self.0.lock().unwrap().get(id).cloned().unwrap_or_default()
    }

    /// Waits until a request has had so many attempts; whether that was so within a span.
    pub fn reach(&self, id: &str, count: usize, within: Duration) -> bool {
        let began = Instant::now();
        while self.of(id).len() < count {
            if began.elapsed() > within {
                return false;
            }
            thread::sleep(Duration::from_millis(1));
        }
        true
    }
}

/// What a far end does with each attempt.
#[derive(Clone)]
pub enum Behaviour {
    /// It says nothing, and nothing to what is written behind.
    Silent,
    /// It answers so long after the attempt came in.
    Answers(Duration, Vec<u8>),
    /// It answers once a gate is open.
    Gated(Arc<Gate>, Vec<u8>),
}

/// The bytes of an answer.
pub fn bytes(reaction: Reaction) -> Vec<u8> {
    match reaction {
        Reaction::Answer(bytes) => bytes,
        _ => Vec::new(),
    }
}

/// A cache server.
pub fn cache_server(attempts: &Arc<Attempts>, behaviour: Behaviour) -> SocketAddr {
    far_end(command, |words| words.get(2).cloned(), attempts, behaviour)
}

/// An origin.
pub fn origin(attempts: &Arc<Attempts>, behaviour: Behaviour) -> SocketAddr {
    let id =
        |lines: &[String]| lines.iter().find_map(|l| l.strip_prefix("x-request-id: ")).map(str::to_owned);
    far_end(call, id, attempts, behaviour)
}

type Read = fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>;

fn far_end(
    read: Read,
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
                let (told, due) = channel();
                let writing = stream.try_clone().unwrap();
                thread::spawn(move || answer(writing, &due, &behaviour));
                let mut reading = BufReader::new(stream);
                while let Some(asked) = read(&mut reading) {
                    if let Some(id) = id(&asked) {
                        attempts.came(&id);
                    }
                    let _ = told.send(Instant::now());
                }
            });
        }
    });
    address
}

/// Answers what came in at each of these times, in their order.
fn answer(mut stream: TcpStream, came: &Receiver<Instant>, behaviour: &Behaviour) {
    while let Ok(came) = came.recv() {
        let answer = match behaviour {
            Behaviour::Silent => continue,
            Behaviour::Answers(after, answer) => {
                thread::sleep(after.saturating_sub(came.elapsed()));
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
