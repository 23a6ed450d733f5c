//! What stands round a node that runs as a process of its own: servers, discovery and clients on loopback sockets,
//! a thread each, so that a test reads from top to bottom.
#![allow(dead_code, missing_docs)]

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, Once};
use std::thread;
use std::time::Duration;

use mothpier_fault_control::FaultControl;

/// Only what has hung waits for so long; nothing is measured by it.
pub const HUNG: Duration = Duration::from_secs(30);

pub const SETTINGS: &str = r#"{"balancers":1,"me":0,"classes":[
 {"name":"read","deadlineUs":20000000,"goalTimeUs":2000000,"lateValue":1.0,"gain":1.0,
 "effect":"pure"},
 {"name":"once","deadlineUs":20000000,"goalTimeUs":1000000,"gain":8.0,"effect":"side_effect"},
 {"name":"brief","deadlineUs":400000,"goalTimeUs":400000,"gain":1.0,"effect":"pure"}],
 "realms":[{"name":"acme","quotaPerS":1000}],"discovery":"push","zones":["a"],"machineTypes":["m","origin"],
 "specifics":{"mode":"aside","originKind":1},"report":{"fields":["lat_ms","busy"]},
 "limits":{"maxAttempts":3,"mayDuplicate":true,"mayCancel":true,"multiplex":32,"idleCloseUs":60000000,
 "connectTimeoutUs":5000000,"maxOpen":1000,"maxRetryAfterUs":600000,"peers":true},
 "guarantees":{"coldUs":10000000,"drainGraceUs":500000},"periodUs":1000}"#;

/// What a server does with a command or call.
pub enum Reaction {
    Answer(Vec<u8>),
    /// Answers, closes, and only then tells the test.
    AnswerAndClose(Vec<u8>, Mutex<Sender<()>>),
    Reset,
    Silence,
}

pub fn array(value: &str) -> Reaction {
    Reaction::Answer(
        format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$17\r\nlat_ms=5,busy=0.1\r\n", value.len())
            .into_bytes(),
    )
}

pub fn miss() -> Reaction {
    Reaction::Answer(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n".to_vec())
}

pub fn http(status: &str, body: &str) -> Reaction {
    let length = body.len();
    Reaction::Answer(format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes())
}

/// The least time that a [`steady`] server takes for an answer.
const STEADY_ANSWER_TIME: Duration = Duration::from_millis(1);

/// Delays a reaction, so that the times of a server's answers are alike. A node takes an answer that comes in a small
/// part of the usual time for a duplicate of an earlier one, and on a busy machine undelayed answers differ by as much.
pub fn steady(reaction: Reaction) -> Reaction {
    thread::sleep(STEADY_ANSWER_TIME);
    reaction
}

/// Reads a command; `None` at the end of the connection.
pub fn command(from: &mut impl BufRead) -> Option<Vec<String>> {
    let mut line = String::new();
    from.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let count: usize = line.strip_prefix('*')?.trim_end().parse().ok()?;
    (0..count).map(|_| bulk(from)).collect()
}

fn bulk(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    from.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let length: usize = line.strip_prefix('$')?.trim_end().parse().ok()?;
    let mut bytes = vec![0; length + 2];
    from.read_exact(&mut bytes).ok()?;
    bytes.truncate(length);
    String::from_utf8(bytes).ok()
}

/// Reads an HTTP request: its first line, its headers as they came, and its body.
pub fn call(from: &mut impl BufRead) -> Option<Vec<String>> {
    let (mut lines, mut length) = (Vec::new(), 0);
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        if let Some(n) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = n.trim().parse().ok()?;
        }
        lines.push(line);
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    lines.push(String::from_utf8(body).ok()?);
    Some(lines)
}

type Reader = fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>;

/// A server: each thing asked is given to `react`, whose answer goes back. Returns where it listens.
pub fn serve(read: Reader, react: impl Fn(&[String]) -> Reaction + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let react = Arc::new(react);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let react = react.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut stream = stream;
                while let Some(asked) = read(&mut reader) {
                    match react(&asked) {
                        Reaction::Answer(bytes) if stream.write_all(&bytes).is_ok() => {}
                        Reaction::Silence => {}
                        Reaction::AnswerAndClose(bytes, closed) => {
                            stream.write_all(&bytes).unwrap();
                            stream.shutdown(std::net::Shutdown::Both).unwrap();
                            let _ = closed.lock().unwrap().send(());
                            return;
                        }
                        _ => return,
                    }
                }
            });
        }
    });
    address
}

/// A gate that the test opens.
#[derive(Default)]
pub struct Gate(Mutex<bool>, Condvar);

impl Gate {
    /// Waits until it is open.
    pub fn pass(&self) {
        let mut open = self.0.lock().unwrap();
        while !*open {
            open = self.1.wait(open).unwrap();
        }
    }

    pub fn open(&self) {
        *self.0.lock().unwrap() = true;
        self.1.notify_all();
    }
}

/// A list of servers that can be changed, and word of the calls that the node makes for it.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<(u64, String)>, Condvar)>,
    calls: Receiver<String>,
}

impl Discovery {
    pub fn start(members: &str) -> Self {
        let state = Arc::new((Mutex::new((1, members.to_owned())), Condvar::new()));
        let (told, calls) = channel();
        let (held, told) = (state.clone(), Mutex::new(told));
        let address = serve(call, move |asked| {
            let told: Sender<String> = told.lock().unwrap().clone();
            let _ = told.send(asked[0].clone());
            let after =
                asked[0].split("after=").nth(1).and_then(|a| a.split('&').next()).map(|a| a.parse().unwrap());
            let (lock, changed) = &*held;
            let mut list = lock.lock().unwrap();
            // A watch waits for something newer; it does not mind how long.
            while after.is_some_and(|after: u64| after >= list.0) {
                list = changed.wait(list).unwrap();
            }
            http("200 OK", &format!(r#"{{"revision":{},"complete":true,"members":[{}]}}"#, list.0, list.1))
        });
        Discovery { address, state, calls }
    }

    /// Waits until the node watches for what comes after a revision: it has taken in that revision then.
    pub fn watched_after(&self, revision: u64) {
        let wanted = format!("after={revision}&");
        while !self.calls.recv_timeout(HUNG).expect("no call to discovery").contains(&wanted) {}
    }

    pub fn change(&self, revision: u64, members: &str) {
        *self.state.0.lock().unwrap() = (revision, members.to_owned());
        self.state.1.notify_all();
    }
}

pub fn member(id: &str, address: SocketAddr, kind: &str, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"{kind}","cell":0,"phase":"{phase}",
        "size":1.0,"up_since_ms":0}}"#
    )
}

/// A node under test; killed at the end of the test.
pub struct Node {
    pub child: Child,
    pub address: SocketAddr,
    /// Where its operators call.
    pub operator: Option<SocketAddr>,
    /// What it logs after its start.
    log: Receiver<String>,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            self.log.iter().for_each(|line| eprintln!("{}: {line}", self.address));
        }
    }
}

pub fn config(name: &str, discovery: SocketAddr, sockets: usize) -> String {
    format!(
        r#"{{"name":"{name}","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"settings":{SETTINGS}}}"#
    )
}

/// The first port that [`unused_address`] returns. Below the ephemeral range, so that no connection takes it.
const FIRST_UNUSED_PORT: u16 = 20_000;

/// Returns an address for a process that is started later, or more than once. Nothing else binds it in the
/// meantime: each test process has a loopback host of its own, and returns each port of it once.
pub fn unused_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_UNUSED_PORT);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    // 127.64.0.0/10: process identifiers have 22 bits at most, and `127.0.0.1` stays for everything else.
    let host = Ipv4Addr::new(127, 64 | high, middle, low);
    SocketAddr::from((host, NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
}

/// Where the build is: the test stands in a folder of it.
fn built() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    test.parent().and_then(|deps| deps.parent()).unwrap().to_owned()
}

/// The folder with the fault injection library, which is built here: Cargo builds no library of a kind that no test
/// links.
pub fn fault_library_folder() -> PathBuf {
    static BUILT: Once = Once::new();
    BUILT.call_once(|| {
        let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "--locked", "-p", "mothpier-fault-preload"]);
        if built().ends_with("release") {
            build.arg("--release");
        }
        assert!(build.status().unwrap().success(), "the fault injection library can't be built");
    });
    built()
}

/// The control file of a process under faults, which injects nothing yet, and the environment for the process.
pub fn faults(name: &str) -> (FaultControl, [(String, String); 2]) {
    let control = FaultControl::create(&config_path(name).with_extension("faults")).unwrap();
    let environment = control.environment(&fault_library_folder());
    (control, environment)
}

/// Where the configuration of a node of this name is written.
pub fn config_path(name: &str) -> PathBuf {
    let folder = built().join("loopback");
    std::fs::create_dir_all(&folder).unwrap();
    folder.join(format!("{name}.json"))
}

/// A configuration file, and a command that starts a node with it.
pub fn node_command(name: &str, discovery: SocketAddr, sockets: usize, before: &str) -> Command {
    let path = config_path(name);
    std::fs::write(&path, config(name, discovery, sockets)).unwrap();
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(format!("{before} exec \"$0\"")).arg(built().join("mothpier"));
    command.env("ROUTER_CONFIG", path).env_remove("ROUTER_LISTEN").env_remove("ROUTER_DISCOVERY");
    command
}

/// Changes the configuration of a node so that its clients stay within the tenant's quota however fast they ask.
/// A node holds tenants to their quotas in overload, and for a while after its start.
pub fn lift_quota(name: &str) {
    let text = std::fs::read_to_string(config_path(name)).unwrap();
    let lifted = text.replace(r#""quotaPerS":1000}"#, r#""quotaPerS":1000000}"#);
    assert_ne!(lifted, text, "{name} has no quota");
    std::fs::write(config_path(name), lifted).unwrap();
}

impl Node {
    pub fn start(name: &str, discovery: &Discovery) -> Self {
        Node::start_with(name, discovery, 1024, "")
    }

    /// Starts a node and waits until it holds the first list.
    pub fn start_with(name: &str, discovery: &Discovery, sockets: usize, before: &str) -> Self {
        Node::run(node_command(name, discovery.address, sockets, before), discovery)
    }

    pub fn run(command: Command, discovery: &Discovery) -> Self {
        let node = Node::spawn(command);
        discovery.watched_after(1);
        node
    }

    /// Starts a node and waits until it listens.
    pub fn spawn(mut command: Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut operator = None;
        let mut logged = String::new();
        let address = loop {
            let mut line = String::new();
            assert!(log.read_line(&mut line).unwrap() > 0, "the node ended at its start: {logged}");
            logged += &line;
            if let Some((_, at)) = line.trim_end().split_once("operators are answered on ") {
                operator = at.parse().ok();
            }
            if let Some((_, address)) = line.trim_end().split_once(" listens on ") {
                break address.parse().unwrap();
            }
        };
        let (log_sender, lines) = channel();
        thread::spawn(move || log.lines().map_while(Result::ok).try_for_each(|line| log_sender.send(line)));
        Node { child, address, operator, log: lines }
    }

    /// Sends it a signal by its name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap().success());
    }

    /// Waits for a line of the log that holds a text.
    pub fn logged(&self, text: &str) -> String {
        loop {
            let line = self.log.recv_timeout(HUNG).unwrap_or_else(|_| panic!("nothing logged of {text:?}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// How many lines that hold a text were logged since the log was last read.
    pub fn log_count(&self, text: &str) -> usize {
        self.log.try_iter().filter(|line| line.contains(text)).count()
    }

    /// Returns the lines that were logged since the log was last read.
    pub fn new_log_lines(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// A call of the operators' staff: the status, and what is said.
    pub fn call(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let (head, body) = self.call_raw(&format!(
            "{method} {path} HTTP/1.1\r\nHost: node\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
        (head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or_default(), body)
    }

    /// What the operators' door answers to bytes: head and body.
    pub fn call_raw(&self, bytes: &str) -> (String, String) {
        let mut stream = TcpStream::connect(self.operator.unwrap()).unwrap();
        stream.set_read_timeout(Some(HUNG)).unwrap();
        stream.write_all(bytes.as_bytes()).unwrap();
        let mut all = String::new();
        let _ = stream.read_to_string(&mut all);
        let (head, body) = all.split_once("\r\n\r\n").unwrap_or((&all, ""));
        (head.to_owned(), body.to_owned())
    }

    /// A figure that it reports, by its name and labels.
    pub fn figure(&self, name: &str) -> u64 {
        let (status, text) = self.call("GET", "/api/telemetry", "");
        assert_eq!(status, 200);
        let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
        line.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
    }

    pub fn ended(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }
}

pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn connect(at: SocketAddr) -> Self {
        let stream = TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(HUNG)).unwrap();
        Client(BufReader::new(stream))
    }

    /// Its connection alone.
    pub fn into_stream(self) -> TcpStream {
        self.0.into_inner()
    }

    pub fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.0.get_mut().write_all(bytes.as_ref()).unwrap();
    }

    pub fn send(&mut self, words: &[&str]) {
        assert!(self.try_send(words), "the connection has ended");
    }

    /// Sends a command; whether the connection still takes it.
    pub fn try_send(&mut self, words: &[&str]) -> bool {
        let mut bytes = format!("*{}\r\n", words.len());
        words.iter().for_each(|w| bytes += &format!("${}\r\n{w}\r\n", w.len()));
        self.0.get_mut().write_all(bytes.as_bytes()).is_ok()
    }

    /// Whether something has come already.
    pub fn answered_already(&mut self) -> bool {
        self.0.get_mut().set_nonblocking(true).unwrap();
        let there = self.0.fill_buf().is_ok_and(|b| !b.is_empty());
        self.0.get_mut().set_nonblocking(false).unwrap();
        there
    }

    /// The next answer: an error or simple line, or a bulk string behind `$`; `end` at the end.
    pub fn answer(&mut self) -> String {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(0) => return "end".into(),
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe) => {
                return "end".into();
            }
            other => other.unwrap(),
        };
        let line = line.trim_end().to_owned();
        match line.strip_prefix('$').map(|n| n.parse::<usize>()) {
            Some(Ok(length)) => {
                let mut value = vec![0; length + 2];
                self.0.read_exact(&mut value).unwrap();
                format!("${}", String::from_utf8_lossy(&value[..length]))
            }
            _ => line,
        }
    }

    pub fn ask(&mut self, words: &[&str]) -> String {
        self.send(words);
        self.answer()
    }
}
