//! The list of servers: its form, the numbers behind its names, and the watch on its changes.

use std::collections::{HashMap, HashSet, VecDeque};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use brassrouter::settings::{Site, server_number};
use brassrouter::{Condition, ServerEntry, ServerId};
use bytes::Bytes;
use http_body_util::Full;
use mothpier_net::Net;
use tokio::sync::{mpsc, watch};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::http::{self, Connection};
use crate::messages::{DiscoveryRequest, ListUpdate, NodeInput, ServerList};
use crate::{Mutation, mutation_active};

/// How long a watch waits at the other side: short, so that a silent agent is noticed soon.
const WAIT: Duration = Duration::from_millis(2000);
/// An answer that is this late after the wait will not come.
const LATE: Duration = Duration::from_millis(1500);
/// Between calls after a failure; a watch goes on if the next call comes within 200 ms.
const PAUSE: Duration = Duration::from_millis(100);
/// Calls that are out at an agent that owes an answer: a call made in its silence may never be answered, and must not
/// stand in the way of one that would be.
pub const CALLS: usize = 6;
/// An agent that owes an answer is asked again after this part of the time in which a drain must be done, and within
/// these bounds.
const AGAIN: (u32, Duration, Duration) = (4, Duration::from_millis(20), PAUSE);
/// Calls that are out at once at a service for all, which may have lost the first of them.
const SERVICE_CALLS: usize = 3;
const MAX_LIST: usize = 4 << 20;

/// The numbers by which the module knows servers. They are made from the ids alone, so that every node has
/// the same and the order of servers is shared.
#[derive(Default)]
pub struct ServerNumbers(HashMap<String, ServerId>, HashSet<ServerId>);

impl ServerNumbers {
    /// The number of an id.
    pub fn of(&mut self, id: &str) -> ServerId {
        if let Some(number) = self.0.get(id) {
            return *number;
        }
        // Two ids of one hash must not merge: the later one takes the next hash that is free.
        let mut seed = 0;
        let number = loop {
            let number = server_number(id, seed);
            if !self.1.contains(&number) {
                break number;
            }
            seed += 1;
        };
        self.0.insert(id.into(), number);
        self.1.insert(number);
        number
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.0.len().max(self.1.len())
    }

    /// Forgets the numbers of servers that have left. One that comes back gets the same again, for it is made from
    /// the id.
    pub fn forget(&mut self, left: impl Fn(ServerId) -> bool) {
        self.0.retain(|_, number| !left(*number));
        self.1.retain(|number| !left(*number));
    }

    /// Puts a list into the module's form, with the addresses beside it. Taken in the order of the ids, so
    /// that nodes that hear the same list resolve a clash alike.
    pub fn lines(
        &mut self,
        net: &impl Net,
        list: &mut ServerList,
        site: &Site,
    ) -> Vec<(ServerEntry, Option<SocketAddr>)> {
        list.members.sort_by(|a, b| a.id.cmp(&b.id));
        let mut lines = Vec::with_capacity(list.members.len());
        for m in &list.members {
            let condition = match m.phase.as_str() {
                "ready" => Condition::Ready,
                "draining" if mutation_active(Mutation::DrainingIsReady) => Condition::Ready,
                "draining" => Condition::Draining,
                _ => Condition::Gone,
            };
            let address = m.host_port.parse().ok();
            if address.is_none() && condition == Condition::Ready {
                net.log(format_args!("{}: {:?} is no address: passed over", m.id, m.host_port));
                continue;
            }
            let line = ServerEntry {
                id: self.of(&m.id),
                zone: place(&site.zones, &m.locality, u8::MAX.into()) as u8,
                cell: m.cell,
                kind: place(&site.kinds, &m.flavor, u16::MAX.into()) as u16,
                weight: m.size.filter(|s| s.is_finite()).unwrap_or(1.0),
                started: if mutation_active(Mutation::ColdUnknown) {
                    0
                } else {
                    m.up_since_ms.saturating_mul(1000)
                },
                condition,
            };
            lines.push((line, address));
        }
        lines
    }
}

/// The place of a name in the settings; a name that they lack gets a number past them, the same at every node.
fn place(names: &[String], name: &str, most: u64) -> u64 {
    let hashed = || {
        names.len() as u64
            + xxh3_64_with_seed(name.as_bytes(), 0) % most.saturating_sub(names.len() as u64).max(1)
    };
    names.iter().position(|n| n == name).map_or_else(hashed, |at| at as u64)
}

/// How discovery is asked.
#[derive(Clone, Copy)]
pub enum DiscoveryMode {
    /// An agent on this machine has what is pushed to it, at no cost; a drain that it has must be done within so long.
    Agent { grace: Duration },
    /// One service for all works through its calls in turn.
    Service,
}

/// Watches the list for as long as the node wants it, at the address that holds at the time.
pub async fn run<N: Net>(
    net: N,
    mut addresses: watch::Receiver<SocketAddr>,
    way: DiscoveryMode,
    known: Option<u64>,
    mut wanted: watch::Receiver<DiscoveryRequest>,
    events: mpsc::Sender<NodeInput>,
) {
    let pushed = matches!(way, DiscoveryMode::Agent { .. });
    let pause = match way {
        DiscoveryMode::Agent { grace } => (grace / AGAIN.0).clamp(AGAIN.1, AGAIN.2),
        DiscoveryMode::Service => PAUSE,
    };
    let (mut connection, mut revision, mut calls, mut failing) = (None, known, 0, false);
    // What was held at the start may be old. An agent gives the whole list at no cost; where discovery is one
    // service for all, only what changed since is asked for. Which of the two it is the settings say: whether a watch
    // is wanted already tells nothing, for the decisions may have asked for one before this task first runs.
    let mut first = pushed;
    let mut moved = false;
    loop {
        let now = *wanted.borrow_and_update();
        if addresses.has_changed().unwrap_or(false) {
            moved = true;
        }
        let address = *addresses.borrow_and_update();
        if moved {
            // Another service: its revisions have nothing to do with the old ones, so the whole list is asked for,
            // and what the old one has still to say is not waited for.
            (connection, revision, failing) = (None, None, false);
        }
        if !now.watch && now.calls == calls && !moved {
            tokio::select! {
                biased;
                changed = wanted.changed() => if changed.is_err() { return },
                Ok(()) = addresses.changed() => moved = true,
            }
            continue;
        }
        let whole = first || !now.watch;
        calls = now.calls;
        let answer = tokio::select! {
            biased;
            Ok(()) = addresses.changed() => {
                moved = true;
                continue;
            }
            answer = ask(&net, connection.take(), address, revision.filter(|_| !whole), way, pause) => answer,
        };
        moved = false;
        let heard = match answer {
            Ok((list, answered)) => {
                (first, failing) = (false, false);
                (revision, connection) = (Some(list.revision), Some(answered));
                ListUpdate::List(list)
            }
            Err(e) => {
                // A silent or broken agent must not hang the watch: begin again on a new connection.
                // What answers next may have begun anew, without memory of servers that went: its revisions may look
                // like those held here, and changes since one of them would leave out what nobody remembers.
                first = pushed;
                if !failing {
                    net.log(format_args!("discovery: {e}; trying again until it answers"));
                }
                failing = true;
                ListUpdate::Failed
            }
        };
        if events.send(NodeInput::Discovery(heard)).await.is_err() {
            return;
        }
        if failing {
            net.sleep(pause).await;
        }
    }
}

/// What is said of a call that has had its time.
const SILENT: &str = "no answer";

/// A list and the connection that it came on.
type Answer<N> = Result<(ServerList, Connection<N>), String>;

/// How a call that is owed an answer is made again beside those that are out: a call made in a silence may never be
/// answered.
#[derive(Clone, Copy)]
struct Repeats {
    /// The first of them, so long after the call itself, and the others after each other.
    first: Duration,
    every: Duration,
    /// Calls that are out at once.
    most: usize,
    /// All are given up by then.
    within: Duration,
}

impl Repeats {
    fn of(way: DiscoveryMode, is_watch: bool, pause: Duration) -> Self {
        match way {
            // It costs nothing to ask an agent.
            DiscoveryMode::Agent { .. } => Repeats {
                first: if is_watch { WAIT + pause } else { pause },
                every: pause,
                most: CALLS,
                within: WAIT + LATE,
            },
            // The call before may only wait for its turn, and stays out. What a lost one would have told counts as told
            // 6 s later, also where the next one is lost as well.
            DiscoveryMode::Service => Repeats {
                first: WAIT + LATE / 2,
                every: LATE,
                most: SERVICE_CALLS,
                within: (WAIT + LATE) * 2,
            },
        }
    }
}

/// Asks, and again as it is owed an answer, each time on a new connection, until one of the calls is answered or all have
/// had their time. An agent is asked for the whole list then, a service for what has changed.
async fn ask<N: Net>(
    net: &N,
    open: Option<Connection<N>>,
    address: SocketAddr,
    after: Option<u64>,
    way: DiscoveryMode,
    pause: Duration,
) -> Answer<N> {
    let first = call(net, open, address, after, way);
    if mutation_active(Mutation::SilentCallWaits) {
        return first.await;
    }
    let repeats = Repeats::of(way, after.is_some(), pause);
    let again = after.filter(|_| matches!(way, DiscoveryMode::Service));
    let mut calls: Calls<'_, N> = Calls::default();
    calls.push_back(Box::pin(first));
    let until = net.now() + repeats.within + LATE;
    let mut next = net.now() + repeats.first;
    loop {
        if let Some(answer) = net.timeout_at(next.min(until), any_answer(&mut calls, way)).await {
            return answer;
        }
        if net.now() >= until {
            return Err(SILENT.into());
        }
        next = net.now() + repeats.every;
        // The first keeps its place for as long as an answer may take; of the others the oldest gives way.
        if calls.len() >= repeats.most {
            drop(calls.remove(1));
        }
        calls.push_back(Box::pin(call(net, None, address, again, way)));
    }
}

/// Calls that are out, the oldest first.
type Calls<'a, N> = VecDeque<Pin<Box<dyn Future<Output = Answer<N>> + 'a>>>;

/// The first good answer, or the failure after which the call begins anew: of an agent's first call, or of the last that
/// is out. Safe to drop and call again.
async fn any_answer<N: Net>(calls: &mut Calls<'_, N>, way: DiscoveryMode) -> Answer<N> {
    poll_fn(|cx| {
        let mut at = 0;
        while let Some(one) = calls.get_mut(at) {
            match one.as_mut().poll(cx) {
                Poll::Ready(Ok(answer)) => return Poll::Ready(Ok(answer)),
                Poll::Ready(Err(e)) => {
                    drop(calls.remove(at));
                    let begins_anew = at == 0 && matches!(way, DiscoveryMode::Agent { .. });
                    // That a service does not answer in time is no failure yet: it is asked again.
                    if begins_anew || (calls.is_empty() && e != SILENT) {
                        return Poll::Ready(Err(e));
                    }
                }
                Poll::Pending => at += 1,
            }
        }
        Poll::Pending
    })
    .await
}

async fn call<N: Net>(
    net: &N,
    open: Option<Connection<N>>,
    address: SocketAddr,
    after: Option<u64>,
    way: DiscoveryMode,
) -> Answer<N> {
    let path = match after {
        Some(revision) => format!("/api/targets?after={revision}&wait_ms={}", WAIT.as_millis()),
        None => "/api/targets".into(),
    };
    let mut connection = match open.filter(|c| c.sender.is_ready()) {
        Some(open) => open,
        None => http::connect(net, address, LATE).await.map_err(|e| format!("no connection: {e}"))?,
    };
    let request =
        hyper::Request::get(path).header("Host", address.to_string()).body(Full::<Bytes>::default());
    let request = request.map_err(|e| e.to_string())?;
    // An agent owes a whole list at once: to wait longer for it would take up the time in which a move must be done.
    // A service for all works through its calls in turn; what is given up before its turn is work for nobody.
    let within = if after.is_some() || matches!(way, DiscoveryMode::Service) { WAIT + LATE } else { LATE };
    let answer = net.timeout(within, async {
        let response = connection.sender.send_request(request).await.map_err(|e| e.to_string())?;
        if response.status() != 200 {
            return Err(format!("answered {}", response.status()));
        }
        http::body(response.into_body(), MAX_LIST).await
    });
    let body = answer.await.ok_or(SILENT)??;
    let _ = net.timeout(PAUSE, connection.sender.ready()).await;
    let list = ServerList::read(&body).map_err(|e| format!("unreadable list: {e}"))?;
    Ok((list, connection))
}

#[cfg(test)]
mod tests;
