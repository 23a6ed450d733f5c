//! A discovery that goes down in several ways, and that writes down when it had each change and when it could be reached.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::loopback::HUNG;

/// How often the threads look for something new.
const LOOK: Duration = Duration::from_millis(2);

/// What becomes of calls while discovery is down, and of those that are out as it goes down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Nobody listens; open connections end.
    Refused,
    /// Each connection is reset.
    Reset,
    /// Each call is answered with 503, and watches end.
    Unavailable,
    /// Nothing is answered, also later on.
    Silent,
    /// Half of an answer comes, and nothing more.
    HalfThenSilent,
    /// Half of an answer comes, and a reset.
    HalfThenReset,
}

struct State {
    listener: Option<TcpListener>,
    outage: Option<Outage>,
    /// Counts the outages: a call that was out in one of them is never answered as usual.
    outages: u32,
    revision: u64,
    members: String,
    /// When it had the last change.
    had: Instant,
    /// When it went down and could be reached again.
    went_down: Vec<Instant>,
    came_back: Vec<Instant>,
    /// When each call came while it could be reached.
    calls: Vec<Instant>,
    /// When the last change was first written to the node.
    told: Option<Instant>,
    ended: bool,
}

/// A list of servers that can be changed, at a discovery that can be out of reach.
pub struct FlakyDiscovery {
    /// Where it is asked.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Drop for FlakyDiscovery {
    fn drop(&mut self) {
        self.state().ended = true;
    }
}

impl FlakyDiscovery {
    /// Starts one that has this list and can be reached.
    pub fn start(members: &str) -> Self {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)));
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State {
            listener: Some(listener),
            outage: None,
            outages: 0,
            revision: 1,
            members: members.to_owned(),
            had: Instant::now(),
            went_down: Vec::new(),
            came_back: Vec::new(),
            calls: Vec::new(),
            told: None,
            ended: false,
        }));
        let shared = state.clone();
        thread::spawn(move || accept(&shared));
        FlakyDiscovery { address, state }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Waits until a call comes, which is out from then on: a watch, if there is nothing new.
    pub fn next_call(&self) {
        let (before, since) = (self.state().calls.len(), Instant::now());
        while self.state().calls.len() == before {
            assert!(since.elapsed() < HUNG, "no call to discovery");
            thread::sleep(LOOK);
        }
    }

    /// Goes down in this way.
    pub fn goes_down(&self, outage: Outage) {
        let mut state = self.state();
        state.outage = Some(outage);
        state.outages += 1;
        state.went_down.push(Instant::now());
        if outage == Outage::Refused {
            state.listener = None;
        }
    }

    /// Can be reached again.
    pub fn comes_back(&self) {
        let mut state = self.state();
        state.outage = None;
        state.listener.get_or_insert_with(|| listen(self.address));
        state.came_back.push(Instant::now());
    }

    /// Discovery has a new list from now on, whether or not it can be reached.
    pub fn has(&self, members: &str) {
        let mut state = self.state();
        state.revision += 1;
        state.members = members.to_owned();
        (state.had, state.told) = (Instant::now(), None);
    }

    /// The first instant at which it had the last change and could be reached.
    pub fn had_and_reachable(&self) -> Instant {
        let state = self.state();
        let down = state.went_down.iter().filter(|at| **at <= state.had).count();
        let back = state.came_back.iter().filter(|at| **at <= state.had).count();
        // Down as it had it: reachable from the next return on.
        if down > back { state.came_back[back] } else { state.had }
    }

    /// When the last change was first written to the node.
    pub fn told(&self) -> Option<Instant> {
        self.state().told
    }

    /// The first call that came after an instant.
    pub fn first_call_after(&self, at: Instant) -> Option<Instant> {
        self.state().calls.iter().find(|call| **call >= at).copied()
    }
}

fn listen(at: SocketAddr) -> TcpListener {
    let listener = TcpListener::bind(at).unwrap();
    listener.set_nonblocking(true).unwrap();
    listener
}

fn accept(shared: &Arc<Mutex<State>>) {
    loop {
        let accepted = {
            let state = shared.lock().unwrap();
            if state.ended {
                return;
            }
            state.listener.as_ref().and_then(|listener| listener.accept().ok())
        };
        match accepted {
            Some((stream, _)) => {
                let shared = shared.clone();
                thread::spawn(move || answer_calls(stream, &shared));
            }
            None => thread::sleep(LOOK),
        }
    }
}

/// What is done next with a connection.
enum Next {
    Wait,
    Answer(Vec<u8>),
    /// Half of an answer after which nothing more is said, or a reset comes.
    Half {
        bytes: Vec<u8>,
        reset: bool,
    },
    Silence,
    Close,
    Reset,
}

/// Answers the calls on one connection, one after the other.
fn answer_calls(mut stream: TcpStream, shared: &Mutex<State>) {
    stream.set_nonblocking(false).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(LOOK)).unwrap();
    let opened = shared.lock().unwrap().outages;
    let (mut read, mut call) = (String::new(), None);
    loop {
        if !read_more(&mut stream, &mut read) {
            return;
        }
        if call.is_none() && read.contains("\r\n\r\n") {
            call = Some(Call::of(&std::mem::take(&mut read)));
            let mut state = shared.lock().unwrap();
            if state.outage.is_none() {
                state.calls.push(Instant::now());
            }
        }
        // Decided under the lock, done without it.
        let decided = next(&mut shared.lock().unwrap(), opened, call.as_ref());
        match decided {
            Next::Wait => {}
            Next::Answer(bytes) => {
                call = None;
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            }
            Next::Half { bytes, reset } => {
                let _ = stream.write_all(&bytes);
                return if reset { end_with_reset(stream) } else { stay_silent(stream, shared) };
            }
            Next::Silence => return stay_silent(stream, shared),
            Next::Close => return,
            Next::Reset => return end_with_reset(stream),
        }
    }
}

/// Reads what has come; whether the connection is still open.
fn read_more(stream: &mut TcpStream, read: &mut String) -> bool {
    let mut bytes = [0; 4096];
    match stream.read(&mut bytes) {
        Ok(0) => false,
        Ok(length) => {
            read.push_str(&String::from_utf8_lossy(&bytes[..length]));
            true
        }
        Err(e) => matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    }
}

fn end_with_reset(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Holds a connection open until the node closes it.
fn stay_silent(mut stream: TcpStream, shared: &Mutex<State>) {
    let mut read = String::new();
    while read_more(&mut stream, &mut read) && !shared.lock().unwrap().ended {
        thread::sleep(LOOK);
    }
}

/// A call for the list.
struct Call {
    /// Only what is newer than this.
    after: Option<u64>,
    /// It is answered by then at the latest.
    until: Instant,
}

impl Call {
    fn of(head: &str) -> Self {
        let parameter = |name: &str| {
            let value = head.lines().next()?.split(name).nth(1)?;
            value.split(['&', ' ']).next()?.parse::<u64>().ok()
        };
        let wait = Duration::from_millis(parameter("wait_ms=").unwrap_or_default());
        Call { after: parameter("after="), until: Instant::now() + wait }
    }
}

fn next(state: &mut State, opened: u32, call: Option<&Call>) -> Next {
    if state.ended {
        return Next::Close;
    }
    let list = |members: &str| {
        let (revision, complete) = (state.revision, call.is_some_and(|c| c.after.is_none()));
        let body = format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#);
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    };
    if let Some(outage) = state.outage {
        let half = |reset| {
            let whole = list(&state.members);
            Next::Half { bytes: whole[..whole.len() - 10].to_vec(), reset }
        };
        return match (outage, call) {
            (Outage::Refused, _) => Next::Close,
            (Outage::Reset, _) => Next::Reset,
            (Outage::Silent, _) => Next::Silence,
            (_, None) => Next::Wait,
            (Outage::Unavailable, Some(_)) => {
                Next::Answer(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_vec())
            }
            (Outage::HalfThenSilent, Some(_)) => half(false),
            (Outage::HalfThenReset, Some(_)) => half(true),
        };
    }
    // A connection from before an outage that it was not ended by.
    if state.outages != opened {
        return Next::Reset;
    }
    let Some(call) = call else { return Next::Wait };
    let newer = call.after.is_none_or(|after| after < state.revision);
    if newer {
        state.told.get_or_insert_with(Instant::now);
        return Next::Answer(list(&state.members));
    }
    if Instant::now() >= call.until { Next::Answer(list("")) } else { Next::Wait }
}
