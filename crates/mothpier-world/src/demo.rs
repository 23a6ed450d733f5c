//! A small fleet in one process on loopback: boxes, an origin, a list and a node, with a stream of requests, a box
//! that dies and comes back, and the rules watched from outside.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mothpier::Control;
use mothpier::config::{self, Precedence, RefreshBudget, ServerPoolConfig};
use mothpier_net::{Net, Tokio};
use tokio::sync::{Notify, Semaphore, mpsc};

use crate::agent::{Agent, Member};
use crate::cache_box::{CacheBox, Make, Spoil};
use crate::client::{Ask, Clients, End};
use crate::cluster::{Cluster, Counts as Slots, SLOTS};
use crate::fleet::Fleet;
use crate::machine::Machine;
use crate::origin::Origin;
use crate::{Dice, Seen, Warmth};

/// Keys that are asked for.
const KEYS: u64 = 400;
/// Requests open at once at the most: what comes beyond waits, so that a slow machine is not buried.
const MOST_OPEN: usize = 256;
/// A box that comes back is warm after this time.
const WARM: Duration = Duration::from_secs(5);
/// How often slots change owners.
const RESHUFFLE: Duration = Duration::from_secs(2);
/// How long the box that dies stays away.
const AWAY: Duration = Duration::from_secs(3);

/// What is to be shown.
#[derive(Clone, Debug)]
pub struct Demo {
    /// Ends after this time; at Ctrl-C otherwise.
    pub span: Option<Duration>,
    /// Requests a second.
    pub rate: f64,
    /// Cache boxes.
    pub boxes: usize,
    /// Where the node listens; a free port of loopback when not told.
    pub listen: Option<SocketAddr>,
    /// Further time for an answer before it counts as lost.
    pub grace: Duration,
    /// One box serves values made for other requests.
    pub liar: bool,
    /// The boxes form a cluster, whose slots change owners.
    pub cluster: bool,
}

/// How long answers took, in steps of a twentieth.
#[derive(Clone)]
struct Times(Vec<u64>);

impl Default for Times {
    fn default() -> Self {
        Times(vec![0; 400])
    }
}

impl Times {
    fn add(&mut self, took: Duration) {
        let step = (took.as_micros().max(1) as f64).ln() / 1.05f64.ln();
        let last = self.0.len() - 1;
        self.0[(step as usize).min(last)] += 1;
    }

    /// Milliseconds within which this part of the answers came.
    fn part(&self, part: f64) -> f64 {
        let all: u64 = self.0.iter().sum();
        let mut seen = 0;
        for (step, count) in self.0.iter().enumerate() {
            seen += count;
            if seen as f64 >= all as f64 * part && all > 0 {
                return 1.05f64.powi(step as i32 + 1) / 1000.0;
            }
        }
        0.0
    }
}

#[derive(Clone, Default)]
struct Counts {
    ends: BTreeMap<End, u64>,
    times: Times,
}

/// What has happened, and what broke.
#[derive(Default)]
struct Watch {
    whole: RefCell<Counts>,
    second: RefCell<Counts>,
    effects: RefCell<BTreeMap<String, u32>>,
    broken: RefCell<Vec<String>>,
}

impl Watch {
    fn saw(&self, seen: Seen) {
        match seen {
            Seen::Final { end, took, .. } => {
                for counts in [&self.whole, &self.second] {
                    let mut counts = counts.borrow_mut();
                    *counts.ends.entry(end).or_default() += 1;
                    if end == End::Served {
                        counts.times.add(took);
                    }
                }
                if end == End::TimedOut {
                    self.breaks(
                        "rule 1, no request lost: a request had no answer in its client's time".into(),
                    );
                }
            }
            Seen::Effect { id, .. } => {
                let count = {
                    let mut effects = self.effects.borrow_mut();
                    let count = effects.entry(id.clone()).or_default();
                    *count += 1;
                    *count
                };
                if count > 1 {
                    self.breaks(format!(
                        "rule 2, no effect twice: the write {id} was carried out {count} times"
                    ));
                }
            }
            Seen::WrongValue { id, value } => {
                self.breaks(format!(
                    "rule 1: request {id} was served with {value:?}, which is not its answer"
                ));
            }
            Seen::Command { .. } | Seen::Told { .. } => {}
        }
    }

    fn breaks(&self, what: String) {
        self.broken.borrow_mut().push(what);
    }
}

pub(crate) fn say(text: &str) {
    // Nobody may be left to read it; the run goes on all the same.
    let _ = writeln!(std::io::stdout(), "{text}");
}

pub(crate) fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Ports that were free a moment ago, each another one.
pub(crate) fn free(count: usize) -> Result<Vec<SocketAddr>, String> {
    let held: std::io::Result<Vec<TcpListener>> = (0..count).map(|_| TcpListener::bind(any())).collect();
    let free = held.and_then(|held| held.iter().map(TcpListener::local_addr).collect());
    free.map_err(|e| format!("no free port on 127.0.0.1: {e}"))
}

pub(crate) fn configuration(listen: SocketAddr, discovery: SocketAddr, rate: f64) -> String {
    format!(
        r#"{{"name":"demo","listen":"{listen}","discovery":"{discovery}","seed":"1","limits":{{"memory_mb":192,"sockets":1024}},
        "settings":{{"balancers":1,"me":0,"classes":[
        {{"name":"browse","goalTimeUs":750000,"deadlineUs":1500000,"gain":2.0,"effect":"pure"}},
        {{"name":"send-message","goalTimeUs":300000,"deadlineUs":1000000,"gain":8.0,"effect":"side_effect"}}],
        "realms":[{{"name":"acme","quotaPerS":{}}}],"discovery":"push","zones":["a"],"machineTypes":["m","origin"],
        "specifics":{{"mode":"aside","originKind":1}},"report":{{"fields":["lat_ms","busy"]}},
        "limits":{{"maxAttempts":3,"mayDuplicate":true,"mayCancel":true,"multiplex":32,"idleCloseUs":30000000,
        "connectTimeoutUs":250000,"maxOpen":1000,"maxRetryAfterUs":600000}},
        "guarantees":{{"coldUs":{},"coldShare":0.2,"drainGraceUs":500000}},"periodUs":5000}}}}"#,
        rate * 2.0,
        WARM.as_micros()
    )
}

/// Runs it; whether no rule was broken.
///
/// # Errors
///
/// An address that can't be opened, or a node that ended by itself.
pub async fn run(demo: &Demo) -> Result<bool, String> {
    let watch = Rc::new(Watch::default());
    let record = watch.clone();
    let fleet = Fleet::new(Rc::new(move |seen| record.saw(seen)));
    let origin =
        Origin::new(Tokio, fleet.clone(), (8, 64), Duration::from_millis(20), Duration::from_secs(3), 1);
    let origin_at = origin.clone().serve(any()).await.map_err(|e| format!("the origin: {e}"))?;
    let addresses = free(demo.boxes)?;
    let cluster = demo.cluster.then(|| Cluster::new(&addresses, Duration::from_secs(3), 1));
    let start = |number: usize, at: SocketAddr, cold: bool| {
        let machine = Machine::default();
        let since = cold.then(Instant::now);
        let make = Make {
            number,
            slots: 4,
            queue: 64,
            work: Duration::from_millis(4),
            warmth: Warmth { from: 0.2, since, span: WARM },
            idle: Duration::from_secs(30),
            chance: 0.5,
            cluster: cluster.clone(),
            through: false,
            large: 0,
        };
        let made = CacheBox::new(machine.clone(), fleet.clone(), make, number as u64);
        if !cold {
            (0..KEYS).filter(|k| k % 8 != 0).for_each(|k| made.store(&format!("k{k}")));
        }
        if demo.liar && number == 0 {
            made.spoil.set(Some((Spoil::Lie, 0.1)));
        }
        fleet.runs(number, made.clone());
        async move { made.serve(at).await.map(|at| (machine, at)).map_err(|e| format!("box {number}: {e}")) }
    };
    let member = |number: usize, at, phase, up_since_ms| Member {
        id: format!("s-{number}"),
        address: at,
        kind: "m",
        phase,
        up_since_ms,
    };
    let mut boxes = Vec::new();
    let mut members = Vec::new();
    for (number, address) in addresses.iter().enumerate() {
        let (machine, at) = start(number, *address, false).await?;
        members.push(member(number, at, "ready", 0));
        boxes.push((machine, at));
    }
    let origin_line =
        Member { id: "o-1".into(), address: origin_at, kind: "origin", phase: "ready", up_since_ms: 0 };
    members.push(origin_line);
    let agent = Agent::new(Tokio, fleet.clone(), 0, &members);
    let list_at = agent.clone().serve(any()).await.map_err(|e| format!("the list: {e}"))?;
    let listen = match demo.listen {
        Some(at) => at,
        None => free(1)?[0],
    };
    let text = configuration(listen, list_at, demo.rate);
    let mut config = config::parse(text.as_bytes(), &|_| None, Precedence::Environment)?;
    config.server_pool = demo.cluster.then(|| ServerPoolConfig {
        read_copies: false,
        budget: RefreshBudget { tier_per_s: 10.0, ..RefreshBudget::default() },
        wait: Duration::from_millis(500),
    });
    let (control, told) = mpsc::channel(4);
    let node_ended: Rc<RefCell<Option<Result<(), String>>>> = Rc::default();
    let (ended, over) = (node_ended.clone(), Rc::new(Notify::new()));
    let tell = over.clone();
    Tokio.spawn(async move {
        *ended.borrow_mut() = Some(mothpier::run(Tokio, config, told).await);
        tell.notify_one();
    });
    let (host, port) = (listen.ip(), listen.port());
    say(&format!("{} boxes, an origin at {origin_at}, a list at {list_at}, a node at {listen}", demo.boxes));
    say("Ask it with any RESP client, an id of your own for each request:");
    say(&format!("  host {host}, port {port}: CACHE.GET k7 my-id-1 c=browse,t=acme,d=1000"));
    say("or with a shell alone:");
    say(&format!(
        "  exec 3<>/dev/tcp/{host}/{port}; printf '*4\\r\\n$9\\r\\nCACHE.GET\\r\\n$2\\r\\nk7\\r\\n$7\\r\\nmy-id-1\\r\\n$22\\r\\nc=browse,t=acme,d=1000\\r\\n' >&3; head -2 <&3"
    ));
    say("");
    let more = if demo.cluster { "  redirected  questions" } else { "" };
    say(&format!("    s  served/s  misses/s  refused/s  failed/s  p50 ms  p99 ms{more}"));
    let clients = Clients::new(Tokio, fleet.clone(), 1, 1);
    clients.grace.set(demo.grace);
    let going = Rc::new(Cell::new(true));
    let stream = traffic(demo.rate, clients, listen, going.clone());
    Tokio.spawn(stream);
    let began = Instant::now();
    let until = demo.span.map(|span| began + span);
    let dies = began + demo.span.map_or(Duration::from_secs(5), |s| s / 3);
    let mut last = (0, began);
    let slots = || cluster.as_ref().map(|c| c.counts.get());
    let (mut seen, dice) = (slots(), Dice::new(2));
    let mut reshuffle = began + RESHUFFLE;
    let mut dead = 0;
    let mut next = began + Duration::from_secs(1);
    let stopped = tokio::signal::ctrl_c();
    tokio::pin!(stopped);
    let node_fell = loop {
        let shuffles = cluster.as_ref().map(|_| reshuffle);
        let times =
            [Some(next), until, shuffles, (dead == 0).then_some(dies), (dead == 1).then_some(dies + AWAY)];
        let wake = times.into_iter().flatten().min().unwrap_or(next);
        tokio::select! {
            biased;
            _ = &mut stopped => break false,
            () = over.notified() => break true,
            () = Tokio.sleep_until(wake) => {}
        }
        let now = Instant::now();
        if dead == 0 && now >= dies && demo.boxes > 1 {
            dead = 1;
            boxes[1].0.kill();
            fleet.ended(1);
            agent.change(member(1, boxes[1].1, "gone", 0));
            if let Some(c) = &cluster {
                c.bereave(1);
                c.gossip();
            }
            say(&format!("      box 1 dies; it comes back cold and empty in {} s", AWAY.as_secs()));
        }
        if dead == 1 && now >= dies + AWAY {
            dead = 2;
            let at = boxes[1].1;
            boxes[1] = start(1, at, true).await?;
            agent.change(member(1, at, "ready", Tokio.unix_time().as_millis() as u64));
            say("      box 1 is back");
        }
        if let Some(c) = cluster.as_ref().filter(|_| now >= reshuffle) {
            reshuffle += RESHUFFLE;
            let to = dice.within(0, demo.boxes as u64) as usize;
            if to != 1 || dead != 1 {
                let first = dice.within(0, u64::from(SLOTS / 2)) as u16;
                c.assign(first..=first + SLOTS / 4, to);
                c.gossip();
                say(&format!("      slots {first} to {} go to box {to}", first + SLOTS / 4));
            }
        }
        if now >= next {
            next += Duration::from_secs(1);
            let fetched = origin.calls.get().0;
            let moved = seen.zip(slots()).map(|(a, b)| redirected(a, b)).unwrap_or_default();
            seen = slots();
            line(&watch, began, (fetched - last.0) as f64 / (now - last.1).as_secs_f64(), &moved);
            last = (fetched, now);
        }
        if until.is_some_and(|until| now >= until) {
            break false;
        }
    };
    going.set(false);
    if node_fell {
        let how = node_ended.borrow().clone();
        return Err(format!("the node ended by itself: {how:?}"));
    }
    // What is open is answered within the longest deadline; the node ends by itself then.
    let _ = control.send(Control::Stop).await;
    if Tokio.timeout(Duration::from_secs(5), over.notified()).await.is_none() {
        watch.breaks("the node did not end within 5 s of its stop".into());
    }
    let counts = watch.whole.borrow().clone();
    let all: u64 = counts.ends.values().sum();
    let of = |end: End| counts.ends.get(&end).copied().unwrap_or(0);
    let (fetched, written) = origin.calls.get();
    say("");
    say(&format!(
        "{all} requests in {:.1} s: {} served, {} refused, {} failed, {} cut, {} timed out; {fetched} fetches and {written} writes at the origin; p50 {:.1} ms, p99 {:.1} ms",
        began.elapsed().as_secs_f64(),
        of(End::Served),
        of(End::Busy),
        of(End::Failed),
        of(End::Cut),
        of(End::TimedOut),
        counts.times.part(0.5),
        counts.times.part(0.99),
    ));
    let broken = watch.broken.borrow();
    broken.iter().take(10).for_each(|b| say(&format!("BROKEN {b}")));
    say(&format!("{} rules broken", broken.len()));
    Ok(broken.is_empty())
}

/// What the boxes of a cluster counted between two looks, as the columns show it.
fn redirected(a: Slots, b: Slots) -> String {
    let (away, taken) = (b.moved + b.asked - a.moved - a.asked, b.taken - a.taken);
    let part = away as f64 * 100.0 / (away + taken).max(1) as f64;
    format!("  {part:>8.1} %  {:>9}", b.questions - a.questions)
}

fn line(watch: &Watch, began: Instant, misses: f64, more: &str) {
    let second = std::mem::take(&mut *watch.second.borrow_mut());
    let of = |ends: &[End]| ends.iter().filter_map(|e| second.ends.get(e)).sum::<u64>();
    say(&format!(
        "{:>5.0}  {:>8}  {misses:>8.0}  {:>9}  {:>8}  {:>6.1}  {:>6.1}{more}",
        began.elapsed().as_secs_f64(),
        of(&[End::Served]),
        of(&[End::Busy]),
        of(&[End::Failed, End::Cut, End::TimedOut]),
        second.times.part(0.5),
        second.times.part(0.99),
    ));
}

/// Requests at a rate, drawn apart in time; a few keys are far more popular than the rest.
async fn traffic(rate: f64, clients: Rc<Clients<Tokio>>, node: SocketAddr, going: Rc<Cell<bool>>) {
    let dice = Dice::new(1);
    let open = Arc::new(Semaphore::new(MOST_OPEN));
    let mut at = Instant::now();
    while going.get() {
        at += dice.exp(Duration::from_secs_f64(1.0 / rate.max(0.1)));
        Tokio.sleep_until(at).await;
        let Ok(permit) = open.clone().acquire_owned().await else { return };
        let write = dice.chance(0.04);
        let ask = Ask {
            class: if write { "send-message" } else { "browse" },
            tenant: "acme",
            key: format!("k{}", (KEYS as f64 * dice.unit().powi(3)) as u64),
            write,
            token: None,
            wait: Duration::from_millis(if write { 900 } else { 1_400 }),
            retries: 2,
            leaves_after: None,
        };
        let clients = clients.clone();
        Tokio.spawn(async move {
            clients.ask(&|| node, ask).await;
            drop(permit);
        });
    }
}

#[cfg(test)]
mod tests;
