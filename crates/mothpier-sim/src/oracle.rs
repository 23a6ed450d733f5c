//! The four rules, judged from outside the nodes: from the bytes on both ends of every connection and from what the
//! stand-ins saw. Nothing here asks a node what it believes.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use mothpier_world::client::End;
use mothpier_world::wire::{self, Answer};
use mothpier_world::{Seen, Warmth};

use crate::exec::{Exec, Host};
use crate::net::{Close, Line, Tap};

/// No attempt begins later than this after its client has left; no slack comes on top, for it is no limit of the settings.
const LEFT_MS: u64 = 100;
/// Every time limit is so much longer on sockets.
const SLACK_MS: u64 = 50;

/// A value that has come to a node is passed on within this time.
const PASSED_ON_MS: u64 = 100;
/// One whose pieces are further apart may be given up as it comes.
const IN_ONE_MS: u64 = 200;

/// Values up to this size are answered whole.
const HELD: usize = 64 * 1024;

/// How the error lines of boxes begin that prove that a command has not run: those of the user's table, and of the
/// Redis Cluster specification.
const NEVER_RAN: [&str; 8] =
    ["BUSY", "MOVED", "ASK", "TRYAGAIN", "CLUSTERDOWN", "LOADING", "MASTERDOWN", "READONLY"];

/// A rule, in the order of the brief; the last three are what a user would expect besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// 1: no request lost or answered twice.
    Answer,
    /// 2: no effect twice.
    Effect,
    /// 3: drains are kept.
    Drain,
    /// 4: no cold server pushed over.
    Cold,
    /// A value was not made for its request, or an answer breaks the protocol.
    Value,
    /// What is kept does not go back to its start after quiet.
    Leak,
    /// A healed world is not served again, or a node ended or panicked by itself.
    Progress,
}

impl Rule {
    /// Its name in files and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Answer => "answer",
            Rule::Effect => "effect",
            Rule::Drain => "drain",
            Rule::Cold => "cold",
            Rule::Value => "value",
            Rule::Leak => "leak",
            Rule::Progress => "progress",
        }
    }
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// Which.
    pub rule: Rule,
    /// When, in milliseconds from the start.
    pub at_ms: u64,
    /// In words.
    pub what: String,
}

/// What an address is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A node's listener for clients.
    Node(usize),
    /// A box.
    Box(usize),
    /// The origin.
    Origin,
    /// What no source of boxes names: only forged answers do.
    Stranger,
}

/// What a class may suffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Care {
    /// It may run as often as wanted.
    Safe,
    /// A repeat within the window is dropped.
    Keyed,
    /// It must not run twice.
    Unsafe,
}

struct Asked {
    id: String,
    class: String,
    /// The last moment for its answer, nanoseconds.
    until: u64,
}

#[derive(Default)]
struct ClientLine {
    came: BytesMut,
    wrote: BytesMut,
    /// `None` for a command that is no request.
    owed: VecDeque<Option<Asked>>,
    last_answer: u64,
    /// Which node it leads to, when its first byte came there and its last request.
    node: Option<usize>,
    since: u64,
    last_asked: u64,
    gone: bool,
    spoilt: bool,
}

#[derive(Default)]
struct ServerLine {
    /// When the command in `wrote` began, counted in writes.
    begun: u64,
    wrote: BytesMut,
    came: BytesMut,
    /// When the first byte of what is in `came` arrived, nanoseconds.
    came_since: u64,
    /// What has no answer yet, in order: the request's id and the attempt's place; `None` for what is no request.
    out: VecDeque<Option<(String, usize)>>,
    /// What came can't be read any more.
    spoilt: bool,
}

#[derive(Default)]
struct Request {
    care: Option<Care>,
    /// Attempts written whole: whether each is known not to have run, and when it was written.
    attempts: Vec<(bool, u64)>,
    /// When its final answer was written, counted in writes.
    answered: Option<u64>,
    refused: bool,
    effects: u32,
    /// When a box's value for it had come whole to its node, while it had no final answer.
    value_came: Option<u64>,
    /// When its client left without it.
    left: Option<u64>,
    /// The last moment for its answer, nanoseconds.
    until: u64,
}

#[derive(Default)]
struct List {
    /// The address of each id that takes requests.
    ready: BTreeMap<String, SocketAddr>,
    /// When an address stopped taking them, by this node's list.
    left: BTreeMap<SocketAddr, u64>,
    /// Since when an address is out by hand here.
    hand: BTreeMap<SocketAddr, u64>,
}

/// What a node's process did, as it is seen from outside.
#[derive(Default)]
struct Served {
    /// By class and result.
    ends: BTreeMap<(String, &'static str), u64>,
    attempts: u64,
}

/// A box as the rule on cold ones sees it.
struct Cold {
    warmth: Warmth,
    /// Commands a second when warm.
    capacity: f64,
    sent: VecDeque<u64>,
}

/// Figures of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    /// Requests that nodes took.
    pub asked: u64,
    /// Clients' tries by how they ended.
    pub ends: BTreeMap<End, u64>,
    /// Attempts at boxes, and calls at the origin.
    pub attempts: (u64, u64),
    /// Writes that were carried out.
    pub effects: u64,
    /// Commands that boxes answered with a redirection.
    pub redirections: u64,
    /// Values that broke off on their way to a client.
    pub broken_off: u64,
    /// The most that a cold box was sent, as a part of what it may be sent.
    pub cold: f64,
}

/// The judge.
pub struct Oracle {
    exec: Rc<Exec>,
    roles: RefCell<BTreeMap<SocketAddr, Role>>,
    nodes: RefCell<BTreeMap<Host, usize>>,
    cares: BTreeMap<&'static str, Care>,
    grace_ms: u64,
    fall: (f64, u64),
    clients: RefCell<BTreeMap<u64, ClientLine>>,
    servers: RefCell<BTreeMap<u64, ServerLine>>,
    requests: RefCell<BTreeMap<String, Request>>,
    due: RefCell<BTreeSet<(u64, u64, String)>>,
    lists: RefCell<BTreeMap<usize, List>>,
    served: RefCell<BTreeMap<usize, Served>>,
    cold: RefCell<BTreeMap<usize, Cold>>,
    broken: RefCell<Option<Broken>>,
    tally: RefCell<Tally>,
    any: Cell<bool>,
    /// Counts writes on all connections: what came first within one instant.
    writes: Cell<u64>,
}

impl Oracle {
    /// A judge of runs with these classes, this grace of drains and this limit of cold boxes (multiple, milliseconds).
    pub fn new(exec: Rc<Exec>, cares: &[(&'static str, Care)], grace_ms: u64, fall: (f64, u64)) -> Rc<Self> {
        Rc::new(Oracle {
            exec,
            roles: RefCell::default(),
            nodes: RefCell::default(),
            cares: cares.iter().copied().collect(),
            grace_ms,
            fall,
            clients: RefCell::default(),
            servers: RefCell::default(),
            requests: RefCell::default(),
            due: RefCell::default(),
            lists: RefCell::default(),
            served: RefCell::default(),
            cold: RefCell::default(),
            broken: RefCell::default(),
            tally: RefCell::default(),
            any: Cell::new(false),
            writes: Cell::new(0),
        })
    }

    /// Tells what stands at an address.
    pub fn role(&self, at: SocketAddr, role: Role) {
        self.roles.borrow_mut().insert(at, role);
    }

    /// Tells that a node's process begins on a machine, with what it is told of the list.
    pub fn node_starts(&self, node: usize, host: Host, known: &[(String, SocketAddr)]) {
        self.nodes.borrow_mut().insert(host, node);
        let ready = known.iter().cloned().collect();
        self.lists.borrow_mut().insert(node, List { ready, ..List::default() });
        self.served.borrow_mut().insert(node, Served::default());
    }

    /// Tells that a node said yes to a box out by hand, or that it was asked to let it serve again.
    pub fn by_hand(&self, node: usize, at: SocketAddr, out: bool) {
        let mut lists = self.lists.borrow_mut();
        let hand = &mut lists.entry(node).or_default().hand;
        if out {
            hand.entry(at).or_insert(self.exec.nanos());
        } else {
            hand.remove(&at);
        }
    }

    /// A node was emptied at a time and should have no client left that came within a second of it.
    pub fn emptied(&self, node: usize, call: u64) {
        let now = self.exec.nanos();
        let clients = self.clients.borrow();
        let here = |c: &&ClientLine| c.node == Some(node) && !c.gone && c.since < call + 1_000_000_000;
        for c in clients.values().filter(here) {
            let idle = c.owed.is_empty() && c.came.is_empty();
            if idle || now < c.last_asked + 2_000_000_000 {
                let what = if idle { "an idle connection" } else { "a busy connection" };
                self.breaks(Rule::Answer, format!("node {node} keeps {what} long after it was emptied"));
            }
        }
    }

    /// Compares what a node reports with what was seen of it.
    pub fn reports(&self, node: usize, text: &str) {
        let figure = |name: &str| -> u64 {
            let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
            line.and_then(|n| n.parse().ok()).unwrap_or_default()
        };
        let served = self.served.borrow();
        let Some(served) = served.get(&node) else { return };
        let mut differ = Vec::new();
        for class in self.cares.keys() {
            for result in ["completed", "rejected", "failed"] {
                let name =
                    format!("edge_router_downstream_requests_total{{lane=\"{class}\",result=\"{result}\"}}");
                let seen = served.ends.get(&((*class).to_owned(), result)).copied().unwrap_or_default();
                if figure(&name) != seen {
                    differ.push(format!("{class} {result}: {} where {seen} were seen", figure(&name)));
                }
            }
        }
        // An attempt that is given up as it is written may count or not.
        let attempts = figure("edge_router_upstream_requests_total");
        if attempts.abs_diff(served.attempts) > (served.attempts / 50).max(3) {
            differ.push(format!("attempts: {attempts} where {} were seen", served.attempts));
        }
        for name in ["edge_router_pending", "edge_router_members_unavailable"] {
            if figure(name) != 0 {
                differ.push(format!("{name}: {} after quiet", figure(name)));
            }
        }
        if !differ.is_empty() {
            self.breaks(Rule::Progress, format!("node {node} reports {}", differ.join("; ")));
        }
    }

    /// Tells that a box's process begins.
    pub fn box_starts(&self, number: usize, warmth: Warmth, capacity: f64) {
        let cold = Cold { warmth, capacity, sent: VecDeque::new() };
        self.cold.borrow_mut().insert(number, cold);
    }

    /// What broke first.
    pub fn broken(&self) -> Option<Broken> {
        self.broken.borrow().clone()
    }

    /// Whether a rule is broken.
    pub fn is_broken(&self) -> bool {
        self.any.get()
    }

    /// The figures so far.
    pub fn tally(&self) -> Tally {
        self.tally.borrow().clone()
    }

    /// Tells that a rule broke.
    pub fn breaks(&self, rule: Rule, what: String) {
        if !self.any.replace(true) {
            let at_ms = self.exec.millis();
            self.exec.trace(format_args!("BROKEN {}: {what}", rule.name()));
            *self.broken.borrow_mut() = Some(Broken { rule, at_ms, what });
        }
    }

    /// Looks for answers that are overdue.
    pub fn step(&self) {
        let now = self.exec.nanos();
        loop {
            let first = match self.due.borrow().first() {
                Some(first) if first.0 < now => first.clone(),
                _ => return,
            };
            self.due.borrow_mut().remove(&first);
            let (_, line, id) = first;
            let late = self.clients.borrow().get(&line).is_some_and(|c| {
                // Those before it on its connection may still hold it up.
                !c.gone
                    && !begins_large(&c.wrote)
                    && c.owed.front().is_some_and(|a| a.as_ref().is_some_and(|a| a.id == id))
            });
            if late {
                self.breaks(Rule::Answer, format!("request {id} has no answer at its client's deadline"));
            }
        }
    }

    /// What a stand-in saw.
    pub fn seen(&self, seen: Seen) {
        match seen {
            Seen::Effect { id, class, token } => {
                self.exec.trace(format_args!("effect {id} {class} {token:?}"));
                self.tally.borrow_mut().effects += 1;
                let (effects, refused) = {
                    let mut requests = self.requests.borrow_mut();
                    let r = requests.entry(id.clone()).or_default();
                    r.effects += 1;
                    (r.effects, r.refused)
                };
                if effects > 1 {
                    self.breaks(Rule::Effect, format!("the write {id} was carried out {effects} times"));
                } else if refused {
                    self.breaks(Rule::Effect, format!("the write {id} was refused and carried out"));
                }
            }
            Seen::Told { agent, members, complete } => self.told(agent, &members, complete),
            Seen::WrongValue { id, value } => {
                self.breaks(Rule::Value, format!("request {id} was served with {value:?}"));
            }
            Seen::Final { end, took, .. } => {
                self.exec.trace(format_args!("client: {end:?} after {} us", took.as_micros()));
                *self.tally.borrow_mut().ends.entry(end).or_default() += 1;
            }
            Seen::Command { server, id } => self.exec.trace(format_args!("box {server} begins {id}")),
        }
    }

    fn told(&self, node: usize, members: &[(String, String, bool)], complete: bool) {
        let now = self.exec.nanos();
        self.exec.trace(format_args!("told node {node} {} complete={complete}", members.len()));
        let mut lists = self.lists.borrow_mut();
        let list = lists.entry(node).or_default();
        if complete {
            let gone: Vec<String> =
                list.ready.keys().filter(|id| !members.iter().any(|m| m.0 == **id)).cloned().collect();
            for id in gone {
                list.leaves(&id, now);
            }
        }
        for (id, address, ready) in members {
            let Ok(address) = address.parse::<SocketAddr>() else { continue };
            if !ready || list.ready.get(id).is_some_and(|old| *old != address) {
                list.leaves(id, now);
            }
            if *ready {
                list.ready.insert(id.clone(), address);
            }
        }
        let List { ready, left, .. } = list;
        left.retain(|address, _| !ready.values().any(|a| a == address));
    }

    fn asked(&self, line: &Line, client: &mut ClientLine, words: &[String]) {
        client.last_asked = self.exec.nanos();
        let (write, request) = match words {
            [name, _, id, extras, ..] if name == "CACHE.GET" || name == "CACHE.SET" => {
                (name == "CACHE.SET", Some((id, extras)))
            }
            _ => (false, None),
        };
        let Some((id, extras)) = request else {
            client.owed.push_back(None);
            return;
        };
        let wait: u64 = wire::extra(extras, "d").and_then(|d| d.parse().ok()).unwrap_or(0);
        let class = wire::extra(extras, "c").unwrap_or_default();
        let until = self.exec.nanos() + (wait + SLACK_MS) * 1_000_000;
        self.due.borrow_mut().insert((until, line.number, id.clone()));
        client.owed.push_back(Some(Asked { id: id.clone(), class: class.to_owned(), until }));
        self.tally.borrow_mut().asked += 1;
        let mut requests = self.requests.borrow_mut();
        let r = requests.entry(id.clone()).or_default();
        r.until = r.until.max(until);
        r.care = self.cares.get(class).copied().filter(|c| write || *c == Care::Safe);
        r.answered = None;
    }

    fn answered(&self, node: usize, client: &mut ClientLine, answer: &Answer) {
        let now = self.exec.nanos();
        let Some(owed) = client.owed.pop_front() else {
            let said = format!("an answer that nobody asked for: {answer:?}");
            // A protocol error may be told on a connection that owes nothing.
            if !matches!(answer, Answer::Error(e) if e.starts_with("ERR protocol")) {
                self.breaks(Rule::Answer, said);
            }
            return;
        };
        let before = std::mem::replace(&mut client.last_answer, now);
        let Some(Asked { id, class, until }) = owed else { return };
        let result = match answer {
            Answer::Value(_) => Some("completed"),
            Answer::Busy(_) => Some("rejected"),
            Answer::Error(e) if e == "ERR failed" => Some("failed"),
            // What can't be read is no request of a class.
            _ => None,
        };
        if let Some(result) = result {
            let mut served = self.served.borrow_mut();
            *served.entry(node).or_default().ends.entry((class, result)).or_default() += 1;
        }
        // Of a large value the first bytes are timed, and `step` has looked at those.
        let large = matches!(answer, Answer::Value(value) if value.len() > HELD);
        if !large && now > until && now > before + SLACK_MS * 1_000_000 {
            self.breaks(Rule::Answer, format!("request {id} was answered {} us late", (now - until) / 1000));
        }
        let (may_have_run, care, value_came) = {
            let mut requests = self.requests.borrow_mut();
            let r = requests.entry(id.clone()).or_default();
            r.answered = Some(self.writes.get());
            r.refused = matches!(answer, Answer::Busy(_));
            (r.attempts.iter().any(|a| !a.0) || r.effects > 0, r.care.unwrap_or(Care::Safe), r.value_came)
        };
        // In good time: near its end the request may have been given up, and its answer may wait for those before it.
        let in_time = |came: &u64| came + (PASSED_ON_MS + SLACK_MS) * 1_000_000 < until.min(now);
        if let Some(came) = value_came.filter(in_time)
            && !matches!(answer, Answer::Value(_))
        {
            let before = (now - came) / 1_000_000;
            let what = format!("request {id} ends as {answer:?}; its value had come {before} ms before");
            self.breaks(Rule::Progress, what);
        }
        match answer {
            Answer::Value(value) if !value.contains(&format!("|{id}|")) => {
                self.breaks(Rule::Value, format!("request {id} was served with {value:?}"));
            }
            Answer::Busy(_) if care != Care::Safe && may_have_run => {
                self.breaks(Rule::Effect, format!("request {id} was refused though it may have run"));
            }
            Answer::Busy(None) => {
                self.breaks(Rule::Value, format!("request {id} was refused without a time to come back"));
            }
            _ => {}
        }
    }

    /// An attempt tells its server how long it is waited for: no longer than the client still waits.
    fn told_time(&self, id: &str, node: usize, extras: &str) {
        let Some(told) = wire::extra(extras, "d").and_then(|d| d.parse::<u64>().ok()) else { return };
        let now = self.exec.nanos();
        let until = self.requests.borrow().get(id).map_or(0, |r| r.until);
        if now + told * 1_000_000 > until {
            let over = (now + told * 1_000_000 - until) / 1_000_000;
            let what = format!("node {node} tells {told} ms for request {id}, {over} ms more than is left");
            self.breaks(Rule::Value, what);
        }
    }

    /// A command or call begins to be written to a server.
    fn begins(&self, line: &Line, node: usize) {
        let now = self.exec.nanos();
        let by = |l: &List| l.left.get(&line.to).into_iter().chain(l.hand.get(&line.to)).min().copied();
        let late = self.lists.borrow().get(&node).and_then(by);
        let grace = (self.grace_ms + SLACK_MS) * 1_000_000;
        if let Some(left) = late.filter(|left| now > left + grace) {
            let what = format!(
                "node {node} begins something at {} {} ms after it was told that it drains, is gone or is out by hand",
                line.to,
                (now - left) / 1_000_000
            );
            self.breaks(Rule::Drain, what);
        }
    }

    /// An attempt was written whole; gives its place among its request's.
    fn attempt(&self, id: &str, node: usize, begun: u64) -> usize {
        let now = self.exec.nanos();
        self.served.borrow_mut().entry(node).or_default().attempts += 1;
        let (place, care, open, answered, left) = {
            let mut requests = self.requests.borrow_mut();
            let r = requests.entry(id.to_owned()).or_default();
            let open = r.attempts.iter().find(|a| !a.0).copied();
            r.attempts.push((false, now));
            (r.attempts.len() - 1, r.care.unwrap_or(Care::Safe), open, r.answered, r.left)
        };
        if let Some(left) = left.filter(|left| now > left + LEFT_MS * 1_000_000) {
            let late = (now - left) / 1_000_000;
            self.breaks(
                Rule::Answer,
                format!("node {node} sends request {id} on {late} ms after its client left"),
            );
        }
        if answered.is_some_and(|a| begun > a) {
            self.breaks(Rule::Answer, format!("node {node} sends request {id} after its final answer"));
        }
        match (care, open) {
            (Care::Unsafe, Some(_)) => {
                self.breaks(
                    Rule::Effect,
                    format!("the unsafe request {id}, which may have run, is sent again"),
                );
            }
            (Care::Keyed, Some((_, first))) if now > first + 3_000_000_000 => {
                self.breaks(Rule::Effect, format!("the keyed request {id} is sent again after its window"));
            }
            _ => {}
        }
        place
    }

    fn box_attempt(&self, number: usize) {
        self.tally.borrow_mut().attempts.0 += 1;
        let now = self.exec.nanos();
        let mut cold = self.cold.borrow_mut();
        let Some(c) = cold.get_mut(&number) else { return };
        let (present, window) = (c.warmth.at(self.exec.now()), self.fall.1 * 1_000_000);
        if present >= 1.0 {
            c.sent.clear();
            return;
        }
        c.sent.push_back(now);
        while c.sent.front().is_some_and(|t| *t + window < now) {
            c.sent.pop_front();
        }
        let may = self.fall.0 * present * c.capacity * self.fall.1 as f64 / 1000.0;
        let sent = c.sent.len();
        drop(cold);
        {
            let most = &mut self.tally.borrow_mut().cold;
            *most = most.max(sent as f64 / (may * 1.1 + 5.0));
        }
        // A little room for chance, as the user's own measure has it.
        if sent as f64 > may * 1.1 + 5.0 {
            let what = format!(
                "box {number}, at {present:.2} of itself, was sent {sent} where {may:.0} are its most"
            );
            self.breaks(Rule::Cold, what);
        }
    }

    fn server_wrote(&self, line: &Line, node: usize, role: Role, bytes: &[u8]) {
        let mut servers = self.servers.borrow_mut();
        let s = servers.entry(line.number).or_default();
        if s.wrote.is_empty() {
            self.begins(line, node);
            s.begun = self.writes.get();
        }
        s.wrote.extend_from_slice(bytes);
        loop {
            let (id, extras) = match role {
                Role::Origin => match wire::call(&mut s.wrote) {
                    Ok(Some(call)) => {
                        self.tally.borrow_mut().attempts.1 += 1;
                        (call.header("x-request-id").to_owned(), call.header("x-extras").to_owned())
                    }
                    Ok(None) => return,
                    Err(e) => return self.breaks(Rule::Value, format!("the origin can't read a call: {e}")),
                },
                _ => match wire::command(&mut s.wrote) {
                    Ok(Some(words)) => match words.get(2) {
                        Some(id) => (id.clone(), words.get(3).cloned().unwrap_or_default()),
                        None => {
                            s.out.push_back(None);
                            continue;
                        }
                    },
                    Ok(None) => return,
                    Err(e) => return self.breaks(Rule::Value, format!("a box can't read a command: {e}")),
                },
            };
            self.told_time(&id, node, &extras);
            let place = self.attempt(&id, node, s.begun);
            s.out.push_back(Some((id, place)));
            if let Role::Box(number) = role {
                self.box_attempt(number);
            }
            if !s.wrote.is_empty() {
                self.begins(line, node);
                s.begun = self.writes.get();
            }
        }
    }

    /// What the origin answered: whether the call is known not to have run.
    fn origin_said(&self, line: &Line, bytes: &[u8]) {
        let mut servers = self.servers.borrow_mut();
        let s = servers.entry(line.number).or_default();
        s.came.extend_from_slice(bytes);
        while let Some(end) = s.came.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&s.came[..end]).into_owned();
            let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: "));
            let whole = end + 4 + length.and_then(|l| l.trim().parse::<usize>().ok()).unwrap_or(0);
            if s.came.len() < whole {
                return;
            }
            drop(s.came.split_to(whole));
            let Some(of) = s.out.pop_front() else { return };
            if head.contains("X-Not-Run: 1") {
                self.never_ran(of);
            }
        }
    }

    fn never_ran(&self, of: Option<(String, usize)>) {
        let Some((id, place)) = of else { return };
        if let Some(a) = self.requests.borrow_mut().get_mut(&id).and_then(|r| r.attempts.get_mut(place)) {
            a.0 = true;
        }
    }

    /// A redirection costs a box no work: the rule on cold ones is about the work that they are sent.
    fn no_work(&self, line: &Line, of: Option<&(String, usize)>) {
        let Some(Role::Box(number)) = self.roles.borrow().get(&line.to).copied() else { return };
        let Some((id, place)) = of else { return };
        let sent = self.requests.borrow().get(id).and_then(|r| r.attempts.get(*place)).map(|a| a.1);
        if let Some(c) = self.cold.borrow_mut().get_mut(&number)
            && let Some(at) = c.sent.iter().position(|t| Some(*t) == sent)
        {
            c.sent.remove(at);
        }
    }

    /// What a box answered: whether the command is known not to have run.
    fn box_said(&self, line: &Line, bytes: &[u8]) {
        let now = self.exec.nanos();
        let mut servers = self.servers.borrow_mut();
        let s = servers.entry(line.number).or_default();
        if s.came.is_empty() {
            s.came_since = now;
        }
        s.came.extend_from_slice(bytes);
        while !s.spoilt {
            // One that came in pieces, with long pauses, may be taken for spoilt.
            let value = is_value(&s.came) && now < s.came_since + IN_ONE_MS * 1_000_000;
            match wire::said(&mut s.came) {
                Ok(Some(error)) => {
                    let of = s.out.pop_front().flatten();
                    if let Some((id, _)) = of.as_ref().filter(|_| value) {
                        let mut requests = self.requests.borrow_mut();
                        let r = requests.entry(id.clone()).or_default();
                        if r.answered.is_none() {
                            r.value_came.get_or_insert(now);
                        }
                    }
                    let kind = error.as_deref().and_then(|e| e.split(' ').next()).unwrap_or_default();
                    if matches!(kind, "MOVED" | "ASK") {
                        self.tally.borrow_mut().redirections += 1;
                        self.no_work(line, of.as_ref());
                    }
                    if NEVER_RAN.contains(&kind) {
                        self.never_ran(of);
                    }
                }
                Ok(None) => return,
                Err(_) => s.spoilt = true,
            }
        }
    }

    fn of(&self, line: &Line) -> (Option<Role>, Option<usize>) {
        let role = self.roles.borrow().get(&line.to).copied();
        (role, self.nodes.borrow().get(&line.hosts[0]).copied())
    }
}

/// Whether what was written of an answer begins one that is passed on as it comes.
fn begins_large(wrote: &[u8]) -> bool {
    let end = wrote.iter().take(16).position(|b| *b == b'\r').unwrap_or_default();
    let digits = wrote.get(1..end).filter(|_| wrote.first() == Some(&b'$'));
    let length = digits.and_then(|d| std::str::from_utf8(d).ok()?.parse::<usize>().ok());
    length.is_some_and(|n| n > HELD)
}

/// Whether a box's answer begins as one with a value does: an array whose first part is not null, and whose second is a
/// word. Behind half an answer, cut right behind its value, the next answer would be taken for that word.
fn is_value(answer: &[u8]) -> bool {
    let line = |from: &[u8]| from.iter().position(|b| *b == b'\n').map(|end| end + 1);
    let second = line(answer).map(|end| &answer[end..]).filter(|_| answer.first() == Some(&b'*'));
    let Some((second, end)) = second.filter(|s| s.first() == Some(&b'$')).and_then(|s| Some((s, line(s)?)))
    else {
        return false;
    };
    let length = std::str::from_utf8(&second[1..end]).ok().and_then(|n| n.trim_end().parse::<usize>().ok());
    // What has not come yet may be a word.
    length.is_some_and(|n| second.get(end + n + 2).is_none_or(|b| matches!(b, b'$' | b'+')))
}

impl List {
    fn leaves(&mut self, id: &str, now: u64) {
        if let Some(address) = self.ready.remove(id) {
            self.left.insert(address, now);
        }
    }
}

impl Tap for Oracle {
    fn wrote(&self, line: &Line, side: usize, bytes: &[u8]) {
        self.writes.set(self.writes.get() + 1);
        match (self.of(line), side) {
            ((Some(Role::Node(node)), _), 1) => {
                let mut clients = self.clients.borrow_mut();
                let client = clients.entry(line.number).or_default();
                client.wrote.extend_from_slice(bytes);
                loop {
                    match wire::answer(&mut client.wrote) {
                        Ok(Some(answer)) => self.answered(node, client, &answer),
                        Ok(None) => return,
                        Err(e) => {
                            return self.breaks(Rule::Value, format!("a client can't read an answer: {e}"));
                        }
                    }
                }
            }
            ((Some(role @ (Role::Box(_) | Role::Origin)), Some(node)), 0) => {
                self.server_wrote(line, node, role, bytes);
            }
            ((Some(Role::Stranger), Some(node)), 0) => {
                let what = format!("node {node} sends to {}, which no source names", line.to);
                self.breaks(Rule::Value, what);
            }
            _ => {}
        }
    }

    fn came(&self, line: &Line, side: usize, bytes: &[u8]) {
        match (self.of(line), side) {
            ((Some(Role::Node(node)), _), 1) => {
                let mut clients = self.clients.borrow_mut();
                let client = clients.entry(line.number).or_default();
                if client.node.replace(node).is_none() {
                    client.since = self.exec.nanos();
                }
                client.came.extend_from_slice(bytes);
                while !client.spoilt {
                    match wire::command(&mut client.came) {
                        Ok(Some(words)) => self.asked(line, client, &words),
                        Ok(None) => return,
                        Err(_) => client.spoilt = true,
                    }
                }
            }
            ((Some(Role::Origin), Some(_)), 0) => self.origin_said(line, bytes),
            ((Some(Role::Box(_)), Some(_)), 0) => self.box_said(line, bytes),
            _ => {}
        }
    }

    fn closed(&self, line: &Line, side: usize, close: Close) {
        match (self.of(line), side) {
            ((Some(Role::Node(node)), _), 1) => {
                let Some(client) = self.clients.borrow_mut().remove(&line.number) else { return };
                let lost = client.owed.iter().flatten().next();
                // A value that breaks off ends its connection: so the client can tell that it is not whole.
                let cut = begins_large(&client.wrote);
                self.tally.borrow_mut().broken_off += u64::from(cut);
                if let (Some(lost), false) = (lost, cut || client.gone || close == Close::Killed) {
                    let what = format!("node {node} closed a connection that owed the answer to {}", lost.id);
                    self.breaks(Rule::Answer, what);
                }
            }
            ((Some(Role::Node(_)), _), _) => {
                // What it sent may still be on its way.
                let mut clients = self.clients.borrow_mut();
                let client = clients.entry(line.number).or_default();
                client.gone = true;
                let mut requests = self.requests.borrow_mut();
                for asked in client.owed.iter().flatten() {
                    requests.entry(asked.id.clone()).or_default().left.get_or_insert(self.exec.nanos());
                }
            }
            (_, 0) => {
                self.servers.borrow_mut().remove(&line.number);
            }
            _ => {}
        }
    }

    fn heard_close(&self, _: &Line, _: usize) {}
}
