//! Clients that close, reset or half-close their connection at random times: just before a hedge, before a
//! retry after an error, before a postponed fetch falls due, in the middle of a pipeline, while the node
//! process is stopped, and before the node has accepted their connection. The upstream servers record the
//! attempts: none may arrive more than 0.1 s after the client left.
//!
//! `DEPARTURES=1000` sets the total number of clients that leave.
#![allow(missing_docs)]

mod stalls;
mod upstreams;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use mothpier_world::loopback::*;
use stalls::Stalls;
use upstreams::*;

/// No attempt may begin later than this after its client left.
const MAX_SEND_DELAY: Duration = Duration::from_millis(100);
/// Total number of clients that leave, unless set in the environment.
const DEFAULT_DEPARTURES: usize = 200;
/// The accept queue takes 128 connections that the node has not accepted; further ones would be established
/// only seconds later.
const MAX_QUEUED_CLIENTS: usize = 100;
/// Number of clients in one round, and the interval between two of them, in which the retry budget refills.
const CLIENTS_PER_ROUND: usize = 40;
const CLIENT_INTERVAL: Duration = Duration::from_millis(10);
/// One client in this many stays connected, to show that further attempts are made at all.
const ONE_STAYS_IN: usize = 5;
/// Clients leave within this time of their requests: further attempts fall due around its middle and its end.
const DEPARTURE_WINDOW_MS: u64 = 350;
/// Time in which attempts that begin too late would still arrive.
const SETTLE_TIME: Duration = Duration::from_millis(600);

/// One class for each behaviour of cache servers. The `plain` class is background traffic,
/// without which the retry budget would be too small for the retries.
const SETTINGS: &str = r#"{"balancers":1,"me":0,"classes":[
 {"name":"silent","boundTo":[0],"deadlineUs":3000000,"goalTimeUs":600000,"lateValue":1.0,"gain":1.0,"effect":"pure"},
 {"name":"failing","boundTo":[1],"deadlineUs":3000000,"goalTimeUs":600000,"lateValue":1.0,"gain":1.0,"effect":"pure"},
 {"name":"missing","boundTo":[2],"deadlineUs":3000000,"goalTimeUs":600000,"lateValue":1.0,"gain":1.0,"effect":"pure"},
 {"name":"plain","boundTo":[3],"deadlineUs":3000000,"goalTimeUs":600000,"lateValue":1.0,"gain":1.0,"effect":"pure"}],
 "realms":[{"name":"acme","quotaPerS":1000000}],"discovery":"push","zones":["a"],
 "machineTypes":["silent","failing","missing","plain","origin"],
 "specifics":{"mode":"aside","originKind":4},"report":{"fields":["lat_ms","busy"]},
 "limits":{"maxAttempts":3,"mayDuplicate":true,"mayCancel":true,"multiplex":32,"idleCloseUs":60000000,
 "connectTimeoutUs":5000000,"maxOpen":1000,"maxRetryAfterUs":600000},
 "guarantees":{"coldUs":10000000,"drainGraceUs":500000},"periodUs":1000}"#;

fn departures() -> usize {
    std::env::var("DEPARTURES").ok().and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_DEPARTURES)
}

/// What a client's requests wait for when it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingWork {
    /// The attempt gets no answer: a hedge falls due.
    Hedge,
    /// The attempt will fail: a retry falls due.
    Retry,
    /// More fetches than the node's limit on concurrent origin calls allows: they are postponed repeatedly.
    PostponedFetch,
    /// All of these on one connection, followed by an incomplete command.
    Pipeline,
}

const ALL_PENDING_WORK: [PendingWork; 4] =
    [PendingWork::Hedge, PendingWork::Retry, PendingWork::PostponedFetch, PendingWork::Pipeline];

/// How a client ends its connection.
#[derive(Clone, Copy, Debug)]
enum CloseMethod {
    /// Shuts down its sending side, as a node does to cancel an attempt.
    HalfClose,
    Close,
    Reset,
}

const CLOSE_METHODS: [CloseMethod; 3] = [CloseMethod::HalfClose, CloseMethod::Close, CloseMethod::Reset];

/// Linear congruential generator: pseudo-random numbers that are the same in every run.
struct Lcg(u64);

impl Lcg {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

fn get_command(class: &str, id: &str) -> String {
    get_command_with_deadline(900, class, id)
}

fn get_command_with_deadline(deadline_ms: u64, class: &str, id: &str) -> String {
    let (key, extras) = (format!("key-{id}"), format!("c={class},t=acme,d={deadline_ms}"));
    let arguments = ["CACHE.GET", &key, id, &extras];
    let arguments: String =
        arguments.iter().map(|argument| format!("${}\r\n{argument}\r\n", argument.len())).collect();
    format!("*4\r\n{arguments}")
}

/// A connected client that has sent its requests.
struct PendingClient {
    pending: PendingWork,
    method: CloseMethod,
    ids: Vec<String>,
    stream: TcpStream,
}

/// A client that has left.
struct DepartedClient {
    pending: PendingWork,
    method: CloseMethod,
    ids: Vec<String>,
    left_at: Instant,
    /// Kept open after a half-close.
    _stream: Option<TcpStream>,
}

impl PendingClient {
    fn send(node: SocketAddr, name: &str, pending: PendingWork, method: CloseMethod) -> Self {
        let classes: &[&str] = match pending {
            PendingWork::Hedge => &["silent"],
            PendingWork::Retry => &["failing"],
            PendingWork::PostponedFetch => &["missing"; 5],
            PendingWork::Pipeline => &["missing", "silent", "failing", "missing", "failing", "missing"],
        };
        let ids: Vec<String> = (0..classes.len()).map(|n| format!("{name}-{n}")).collect();
        let mut commands: String =
            classes.iter().zip(&ids).map(|(class, id)| get_command(class, id)).collect();
        if pending == PendingWork::Pipeline {
            commands += &get_command("missing", "half")[..30];
        }
        let mut stream = TcpStream::connect(node).unwrap();
        stream.write_all(commands.as_bytes()).unwrap();
        PendingClient { pending, method, ids, stream }
    }

    fn disconnect(self) -> DepartedClient {
        let stream = match self.method {
            CloseMethod::HalfClose => {
                self.stream.shutdown(Shutdown::Write).unwrap();
                Some(self.stream)
            }
            CloseMethod::Close => {
                drop(self.stream);
                None
            }
            CloseMethod::Reset => {
                socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
                drop(self.stream);
                None
            }
        };
        DepartedClient {
            pending: self.pending,
            method: self.method,
            ids: self.ids,
            left_at: Instant::now(),
            _stream: stream,
        }
    }
}

/// A node with two cache servers of each behaviour, an origin that answers after 100 ms, and background
/// traffic.
struct TestCluster {
    node: Node,
    attempts: Arc<Attempts>,
    stop: Arc<AtomicBool>,
    _discovery: Discovery,
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

impl TestCluster {
    /// Starts the cluster and waits until the node makes hedges.
    fn start(name: &str) -> Self {
        let attempts = Arc::new(Attempts::default());
        let error = Behaviour::AnswersAfter(Duration::from_millis(200), b"-ERR failed\r\n".to_vec());
        let miss = Behaviour::AnswersAfter(Duration::from_millis(50), answer_bytes(miss()));
        let hit = Behaviour::AnswersAfter(Duration::ZERO, answer_bytes(array("v")));
        let value = Behaviour::AnswersAfter(Duration::from_millis(100), answer_bytes(http("200 OK", "v")));
        let mut members = vec![member("o-1", origin(&attempts, value), "origin", "ready")];
        for (kind, behaviour) in
            [("silent", Behaviour::Silent), ("failing", error), ("missing", miss), ("plain", hit)]
        {
            for n in 0..2 {
                let server = cache_server(&attempts, behaviour.clone());
                members.push(member(&format!("{kind}-{n}"), server, kind, "ready"));
            }
        }
        let discovery = Discovery::start(&members.join(","));
        let node = Node::run(node_command_with_settings(name, &discovery, 4096), &discovery);
        let stop = Arc::new(AtomicBool::new(false));
        let (address, stop_traffic) = (node.address, stop.clone());
        thread::spawn(move || plain_traffic(address, &stop_traffic));
        let cluster = TestCluster { node, attempts, stop, _discovery: discovery };
        let hedged = (0..60).any(|n| {
            let id = format!("warm-{n}");
            let _client =
                PendingClient::send(cluster.node.address, &id, PendingWork::Hedge, CloseMethod::Close);
            cluster.attempts.wait_for(&format!("{id}-0"), 2, MAX_SEND_DELAY * 5)
        });
        assert!(hedged, "the node makes no hedges");
        cluster
    }

    fn client(&self, round: usize, n: usize) -> PendingClient {
        let (pending, method) =
            (ALL_PENDING_WORK[n % ALL_PENDING_WORK.len()], CLOSE_METHODS[n % CLOSE_METHODS.len()]);
        PendingClient::send(self.node.address, &format!("r{round}c{n}"), pending, method)
    }

    /// Returns how many of these requests have had more than one attempt.
    fn count_with_further_attempt<'a>(&self, ids: impl Iterator<Item = &'a String>) -> usize {
        ids.filter(|id| self.attempts.times(id).len() > 1).count()
    }
}

/// Returns a command that starts a node with [`SETTINGS`].
fn node_command_with_settings(name: &str, discovery: &Discovery, sockets: usize) -> std::process::Command {
    let command = node_command(name, discovery.address, sockets, "");
    let config =
        config(name, discovery.address, sockets).replace(mothpier_world::loopback::SETTINGS, SETTINGS);
    std::fs::write(config_path(name), config).unwrap();
    command
}

/// Sends reads that are served at once, so that the further attempts stay too few to count as overload.
fn plain_traffic(node: SocketAddr, stop: &AtomicBool) {
    const BATCH: usize = 50;
    let mut stream = TcpStream::connect(node).unwrap();
    let answer = b"$1\r\nv\r\n";
    let mut batch = 0;
    while !stop.load(Ordering::SeqCst) {
        batch += 1;
        let commands: String = (0..BATCH).map(|n| get_command("plain", &format!("p{batch}-{n}"))).collect();
        let mut answers = vec![0; BATCH * answer.len()];
        if stream.write_all(commands.as_bytes()).is_err() || stream.read_exact(&mut answers).is_err() {
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Prints a summary and fails if attempts arrived too late. The time for which a busy machine kept this
/// process from running is subtracted; on an idle machine that is zero.
fn check_attempts(situation: &str, attempts: &Attempts, stalls: &Stalls, departed: &[DepartedClient]) {
    let (mut late_attempts, mut latest, mut most_stalled) = (Vec::new(), Duration::ZERO, Duration::ZERO);
    for client in departed {
        for (id, arrived_at) in client
            .ids
            .iter()
            .flat_map(|id| attempts.times(id).into_iter().map(move |arrived_at| (id, arrived_at)))
        {
            let delay = arrived_at.saturating_duration_since(client.left_at);
            latest = latest.max(delay);
            if delay <= MAX_SEND_DELAY {
                continue;
            }
            let stalled = stalls.within(client.left_at, arrived_at);
            most_stalled = most_stalled.max(stalled);
            if delay > MAX_SEND_DELAY + stalled {
                let (pending, method) = (client.pending, client.method);
                late_attempts
                    .push(format!("{id} ({pending:?}, {method:?}) after {delay:?}, stalled {stalled:?}"));
            }
        }
    }
    let (clients, violations) = (departed.len(), late_attempts.len());
    println!(
        "{situation}: {clients} departures, {violations} late attempts; latest after {latest:?}, subtracted stalls up to {most_stalled:?}"
    );
    assert!(
        late_attempts.is_empty(),
        "{situation}: {violations} late attempts of {clients} clients: {late_attempts:#?}"
    );
}

/// Clients leave at random times around the moment at which a hedge, a retry or a postponed fetch falls due.
/// Guards against a further attempt whose timer fires although the client has left.
#[test]
fn no_further_attempt_begins_for_a_client_that_left() {
    let stalls = Stalls::start();
    let (cluster, mut random) = (TestCluster::start("cancelled-further"), Lcg(42));
    let (departures_wanted, mut departed) = (departures() * 6 / 10, Vec::new());
    let (mut staying, mut round) = (Vec::new(), 0);
    while departed.len() < departures_wanted {
        round += 1;
        let started = Instant::now();
        let sleep_until = |elapsed: Duration| thread::sleep(elapsed.saturating_sub(started.elapsed()));
        let mut leaving: Vec<(Duration, PendingClient)> = Vec::new();
        let mut disconnect_until = |leaving: &mut Vec<(Duration, PendingClient)>, end: Duration| {
            leaving.sort_by_key(|(delay, _)| std::cmp::Reverse(*delay));
            while let Some((delay, client)) = leaving.pop_if(|(delay, _)| *delay <= end) {
                sleep_until(delay);
                departed.push(client.disconnect());
            }
        };
        for n in 0..CLIENTS_PER_ROUND {
            let sent_at = CLIENT_INTERVAL * n as u32;
            disconnect_until(&mut leaving, sent_at);
            sleep_until(sent_at);
            let client = cluster.client(round, n);
            if n % ONE_STAYS_IN == 0 {
                staying.push(client);
            } else {
                leaving.push((sent_at + Duration::from_millis(random.below(DEPARTURE_WINDOW_MS)), client));
            }
        }
        disconnect_until(&mut leaving, Duration::MAX);
        thread::sleep(SETTLE_TIME);
    }
    for pending in ALL_PENDING_WORK {
        let ids = staying.iter().filter(|client| client.pending == pending).flat_map(|client| &client.ids);
        let (requests, with_further_attempt) = (ids.clone().count(), cluster.count_with_further_attempt(ids));
        println!(
            "{pending:?}: {with_further_attempt} of {requests} requests of staying clients had a further attempt"
        );
        assert!(with_further_attempt > 0, "{pending:?}: no further attempt was made for staying clients");
    }
    check_attempts("before a further attempt", &cluster.attempts, &stalls, &departed);
}

/// The node process is stopped (`SIGSTOP`) while its clients leave and their further attempts fall due, so
/// that it sees both at once when it continues. Guards against handling the due attempts, or requests not
/// read before, ahead of the departures.
#[test]
fn no_attempt_begins_for_a_client_that_left_while_the_node_was_stopped() {
    let stalls = Stalls::start();
    let (cluster, mut random) = (TestCluster::start("cancelled-held"), Lcg(43));
    let (departures_wanted, mut departed) = (departures() * 3 / 10, Vec::new());
    let mut round = 0;
    while departed.len() < departures_wanted {
        round += 1;
        let mut clients: Vec<PendingClient> =
            (0..CLIENTS_PER_ROUND).map(|n| cluster.client(round, n)).collect();
        thread::sleep(Duration::from_millis(random.below(200)));
        cluster.node.signal("STOP");
        for (n, client) in clients.iter_mut().enumerate() {
            let id = format!("r{round}u{n}");
            // No further command can follow an incomplete one.
            if client.pending != PendingWork::Pipeline {
                client.stream.write_all(get_command("missing", &id).as_bytes()).unwrap();
                client.ids.push(id);
            }
        }
        departed.extend(clients.into_iter().map(PendingClient::disconnect));
        thread::sleep(MAX_SEND_DELAY * 3);
        cluster.node.signal("CONT");
        thread::sleep(SETTLE_TIME);
    }
    check_attempts("while the node was stopped", &cluster.attempts, &stalls, &departed);
}

/// Clients wait in the kernel's accept queue while the node has no free sockets. They send requests and have
/// left when the node accepts them: none of those requests may be forwarded.
#[test]
fn no_attempt_begins_for_a_client_that_left_before_it_was_accepted() {
    let stalls = Stalls::start();
    let (departures_wanted, gate) = ((departures() / 5).min(MAX_QUEUED_CLIENTS), Arc::new(Gate::default()));
    let attempts = Arc::new(Attempts::default());
    let gated_value = Behaviour::Gated(gate.clone(), answer_bytes(http("200 OK", "v")));
    let miss = Behaviour::AnswersAfter(Duration::ZERO, answer_bytes(miss()));
    let members = [
        member("o-1", origin(&attempts, gated_value), "origin", "ready"),
        member("missing-0", cache_server(&attempts, miss), "missing", "ready"),
    ];
    let discovery = Discovery::start(&members.join(","));
    let node = Node::run(node_command_with_settings("cancelled-queue", &discovery, 64), &discovery);
    // The node does not close connections that wait for an answer in favour of new ones.
    let mut fillers: Vec<TcpStream> = Vec::new();
    for n in 0..64 {
        let mut stream = TcpStream::connect(node.address).unwrap();
        let id = format!("filler-{n}");
        stream.write_all(get_command_with_deadline(3000, "missing", &id).as_bytes()).unwrap();
        fillers.push(stream);
        if !attempts.wait_for(&id, 1, MAX_SEND_DELAY * 10) {
            break;
        }
    }
    assert!((10..64).contains(&fillers.len()), "{} clients fill the node", fillers.len());
    let send = |n: usize| {
        PendingClient::send(
            node.address,
            &format!("q{n}"),
            ALL_PENDING_WORK[2],
            CLOSE_METHODS[n % CLOSE_METHODS.len()],
        )
    };
    let clients: Vec<PendingClient> = (0..departures_wanted).map(send).collect();
    let departed: Vec<DepartedClient> = clients.into_iter().map(PendingClient::disconnect).collect();
    thread::sleep(MAX_SEND_DELAY * 2);
    let early: Vec<&String> =
        departed.iter().flat_map(|client| &client.ids).filter(|id| !attempts.times(id).is_empty()).collect();
    assert!(early.is_empty(), "accepted beside {} other clients: {early:?}", fillers.len());
    // Sockets are free now: a later client is accepted and served.
    gate.open();
    drop(fillers);
    let mut last = node.client();
    last.write(get_command("missing", "last"));
    let answer = last.answer();
    thread::sleep(SETTLE_TIME);
    check_attempts("before they were accepted", &attempts, &stalls, &departed);
    assert_eq!(answer, "$v");
}
