//! The list of servers: its form, the numbers behind its names, and the watch on its changes.

use std::collections::{HashMap, HashSet, VecDeque};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use brassrouter::settings::{Site, server_number};
use brassrouter::{Condition, ServerId, ServerLine};
use bytes::Bytes;
use http_body_util::Full;
use mothpier_net::Net;
use tokio::sync::{mpsc, watch};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::http::{self, Connection};
use crate::messages::{Heard, Input, List, Wanted};
use crate::{Plant, planted};

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
const MAX_LIST: usize = 4 << 20;

/// The numbers by which the module knows servers. They are made from the ids alone, so that every node has
/// the same and the order of servers is shared.
#[derive(Default)]
pub struct Numbers(HashMap<String, ServerId>, HashSet<ServerId>);

impl Numbers {
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
        list: &mut List,
        site: &Site,
    ) -> Vec<(ServerLine, Option<SocketAddr>)> {
        list.members.sort_by(|a, b| a.id.cmp(&b.id));
        let mut lines = Vec::with_capacity(list.members.len());
        for m in &list.members {
            let condition = match m.phase.as_str() {
                "ready" => Condition::Ready,
                "draining" if planted(Plant::DrainingIsReady) => Condition::Ready,
                "draining" => Condition::Draining,
                _ => Condition::Gone,
            };
            let address = m.host_port.parse().ok();
            if address.is_none() && condition == Condition::Ready {
                net.log(format_args!("{}: {:?} is no address: passed over", m.id, m.host_port));
                continue;
            }
            let line = ServerLine {
                id: self.of(&m.id),
                zone: place(&site.zones, &m.locality, u8::MAX.into()) as u8,
                cell: m.cell,
                kind: place(&site.kinds, &m.flavor, u16::MAX.into()) as u16,
                weight: m.size.filter(|s| s.is_finite()).unwrap_or(1.0),
                started: if planted(Plant::ColdUnknown) { 0 } else { m.up_since_ms.saturating_mul(1000) },
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
pub enum Way {
    /// An agent on this machine has what is pushed to it, at no cost; a drain that it has must be done within so long.
    Agent { grace: Duration },
    /// One service for all works through its calls in turn.
    Service,
}

/// Watches the list for as long as the node wants it, at the address that holds at the time.
pub async fn run<N: Net>(
    net: N,
    mut addresses: watch::Receiver<SocketAddr>,
    way: Way,
    known: Option<u64>,
    mut wanted: watch::Receiver<Wanted>,
    events: mpsc::Sender<Input>,
) {
    let pushed = matches!(way, Way::Agent { .. });
    let pause = match way {
        Way::Agent { grace } => (grace / AGAIN.0).clamp(AGAIN.1, AGAIN.2),
        Way::Service => PAUSE,
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
                Heard::List(list)
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
                Heard::Failed
            }
        };
        if events.send(Input::Discovery(heard)).await.is_err() {
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
type Answer<N> = Result<(List, Connection<N>), String>;

/// Asks once, or an agent that owes an answer again and again, each time on a new connection and for the whole list,
/// until one of the calls is answered or the first has had its time.
async fn ask<N: Net>(
    net: &N,
    open: Option<Connection<N>>,
    address: SocketAddr,
    after: Option<u64>,
    way: Way,
    pause: Duration,
) -> Answer<N> {
    let first = call(net, open, address, after, way);
    if matches!(way, Way::Service) || planted(Plant::SilentCallWaits) {
        return match first.await {
            // A watch that has fallen silent is broken, which is no failure of the service: it is opened anew at once, for
            // what it misses counts as told soon.
            Err(why) if why == SILENT && after.is_some() => call(net, None, address, after, way).await,
            answer => answer,
        };
    }
    let mut calls: VecDeque<Pin<Box<dyn Future<Output = Answer<N>> + '_>>> = VecDeque::new();
    calls.push_back(Box::pin(first));
    let mut owed = if after.is_some() { WAIT + pause } else { pause };
    loop {
        let answered = poll_fn(|cx| {
            let mut at = 0;
            while let Some(one) = calls.get_mut(at) {
                match one.as_mut().poll(cx) {
                    Poll::Ready(Ok(answer)) => return Poll::Ready(Ok(answer)),
                    // The first has had its time, or none is left that could be answered.
                    Poll::Ready(Err(e)) if at == 0 => return Poll::Ready(Err(e)),
                    Poll::Ready(Err(_)) => drop(calls.remove(at)),
                    Poll::Pending => at += 1,
                }
            }
            Poll::Pending
        });
        if let Some(answer) = net.timeout(owed, answered).await {
            return answer;
        }
        owed = pause;
        // The first keeps its place for as long as an answer may take; of the others the oldest gives way.
        if calls.len() >= CALLS {
            drop(calls.remove(1));
        }
        calls.push_back(Box::pin(call(net, None, address, None, way)));
    }
}

async fn call<N: Net>(
    net: &N,
    open: Option<Connection<N>>,
    address: SocketAddr,
    after: Option<u64>,
    way: Way,
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
    let within = if after.is_some() || matches!(way, Way::Service) { WAIT + LATE } else { LATE };
    let answer = net.timeout(within, async {
        let response = connection.sender.send_request(request).await.map_err(|e| e.to_string())?;
        if response.status() != 200 {
            return Err(format!("answered {}", response.status()));
        }
        http::body(response.into_body(), MAX_LIST).await
    });
    let body = answer.await.ok_or(SILENT)??;
    let _ = net.timeout(PAUSE, connection.sender.ready()).await;
    let list = serde_json::from_slice(&body).map_err(|e| format!("unreadable list: {e}"))?;
    Ok((list, connection))
}

#[cfg(test)]
mod tests {
    use mothpier_net::Tokio;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    use super::*;

    /// The decisions may ask for a watch before the task that watches first runs: it took a service for all for an
    /// agent then, and asked for the whole list after every break, which a hundred nodes never got.
    #[test]
    fn a_service_for_all_is_asked_for_changes_alone_also_after_a_break() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let agent = Way::Agent { grace: Duration::from_millis(500) };
            for (way, first) in
                [(Way::Service, "GET /api/targets?after=41&"), (agent, "GET /api/targets HTTP")]
            {
                let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
                let (_moved, addresses) = watch::channel(listener.local_addr().unwrap());
                let (_wanted, wishes) = watch::channel(Wanted { watch: true, calls: 1 });
                let (events, _inputs) = mpsc::channel(8);
                let task = tokio::task::spawn_local(run(Tokio, addresses, way, Some(41), wishes, events));
                for _ in 0..2 {
                    let (mut stream, _) = listener.accept().await.unwrap();
                    let mut head = vec![0; 4096];
                    let length = stream.read(&mut head).await.unwrap();
                    let head = String::from_utf8_lossy(&head[..length]);
                    assert!(head.starts_with(first), "{head}");
                    let answer = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                    stream.write_all(answer).await.unwrap();
                }
                task.abort();
            }
        });
    }

    /// What a silent watch misses counts as told 6 s after it fell silent, also where lists are asked for: it is opened
    /// anew before anybody waits for anything.
    #[test]
    fn a_silent_watch_at_a_service_is_opened_anew_before_it_counts_as_a_failure() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (_moved, addresses) = watch::channel(listener.local_addr().unwrap());
            let (_wanted, wishes) = watch::channel(Wanted { watch: true, calls: 1 });
            let (events, mut inputs) = mpsc::channel(8);
            let task =
                tokio::task::spawn_local(run(Tokio, addresses, Way::Service, Some(41), wishes, events));
            let mut head = [0; 4096];
            let (mut silent, _) = listener.accept().await.unwrap();
            assert!(silent.read(&mut head).await.unwrap() > 0);
            let (mut anew, _) = listener.accept().await.unwrap();
            let length = anew.read(&mut head).await.unwrap();
            assert!(head[..length].starts_with(b"GET /api/targets?after=41&"), "not opened anew");
            assert!(inputs.try_recv().is_err(), "told as a failure, for which there is a pause");
            let list = "{\"revision\":42,\"complete\":false,\"members\":[]}";
            let list = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            anew.write_all(list.as_bytes()).await.unwrap();
            assert!(matches!(inputs.recv().await, Some(Input::Discovery(Heard::List(_)))));
            task.abort();
        });
    }

    /// An agent that is silent from the start, or falls silent under a watch, may never answer what it was asked in its
    /// silence: what it has when it is back counts at once, and that call must not stand in the way of another one.
    #[test]
    fn a_call_made_in_the_silence_does_not_stand_in_the_way() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            for watched in [false, true] {
                let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
                let (_moved, addresses) = watch::channel(listener.local_addr().unwrap());
                let (_wanted, wishes) = watch::channel(Wanted { watch: true, calls: 1 });
                let (events, mut inputs) = mpsc::channel(8);
                let way = Way::Agent { grace: Duration::from_millis(250) };
                let task = tokio::task::spawn_local(run(Tokio, addresses, way, Some(41), wishes, events));
                let list = "{\"revision\":42,\"complete\":true,\"members\":[]}";
                let list = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                let mut head = [0; 4096];
                let (mut silent, _) = listener.accept().await.unwrap();
                assert!(silent.read(&mut head).await.unwrap() > 0);
                if watched {
                    silent.write_all(list.as_bytes()).await.unwrap();
                    assert!(matches!(inputs.recv().await, Some(Input::Discovery(Heard::List(_)))));
                    assert!(silent.read(&mut head).await.unwrap() > 0, "no watch");
                }
                // More than are out at once: the first stays, in case it is answered all the same.
                let mut others = Vec::new();
                for _ in 0..CALLS + 2 {
                    let (mut other, _) = listener.accept().await.unwrap();
                    let length = other.read(&mut head).await.unwrap();
                    assert!(head[..length].starts_with(b"GET /api/targets HTTP"), "not the whole list");
                    let open = silent.try_read(&mut [0]).map_err(|e| e.kind());
                    assert_eq!(
                        open,
                        Err(std::io::ErrorKind::WouldBlock),
                        "the first is given up, watched: {watched}"
                    );
                    others.push(other);
                }
                let closed = others.iter().filter(|o| o.try_read(&mut [0]).is_ok()).count();
                assert!(others.len() - closed < CALLS, "{closed} of {} closed", others.len());
                let last = others.last_mut().unwrap();
                last.write_all(list.as_bytes()).await.unwrap();
                assert!(matches!(inputs.recv().await, Some(Input::Discovery(Heard::List(_)))));
                task.abort();
            }
        });
    }

    /// How an answer fails that has begun.
    #[derive(Clone, Copy, Debug)]
    enum Broken {
        /// It ends behind its head, with an end or a reset.
        Head { reset: bool },
        /// It ends in the middle of its body.
        Body,
        /// Nothing more comes after the middle of its body.
        Silence,
        /// A byte of its body comes now and then.
        Trickle,
    }

    /// A list that begins and does not come: the next call is made and taken, whatever becomes of the first, with an agent
    /// and with a service for all. What is taken is whole, and may be indented.
    #[test]
    fn a_list_that_breaks_off_trickles_or_stops_in_the_middle_is_asked_for_anew() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let (agent, service) = (Way::Agent { grace: Duration::from_millis(250) }, Way::Service);
        let [end, reset] = [false, true].map(|reset| Broken::Head { reset });
        let cases = [(agent, end), (agent, reset), (agent, Broken::Body), (agent, Broken::Silence)];
        let cases = cases.into_iter().chain([(agent, Broken::Trickle), (service, end), (service, reset)]);
        let cases =
            cases.chain([(service, Broken::Body), (service, Broken::Silence), (service, Broken::Trickle)]);
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let tasks: Vec<_> =
                cases.map(|(way, how)| tokio::task::spawn_local(taken_all_the_same(way, how))).collect();
            for task in tasks {
                task.await.unwrap();
            }
        });
    }

    async fn taken_all_the_same(way: Way, how: Broken) {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (_moved, addresses) = watch::channel(listener.local_addr().unwrap());
        let (_wanted, wishes) = watch::channel(Wanted { watch: true, calls: 1 });
        let (events, mut inputs) = mpsc::channel(8);
        let task = tokio::task::spawn_local(run(Tokio, addresses, way, Some(41), wishes, events));
        let body = "{\n  \"revision\": 42,\n  \"complete\": true,\n  \"members\": [\n  ]\n}\n";
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let (mut first, _) = listener.accept().await.unwrap();
        assert!(first.read(&mut [0; 4096]).await.unwrap() > 0);
        first.write_all(head.as_bytes()).await.unwrap();
        if !matches!(how, Broken::Head { .. }) {
            first.write_all(&body.as_bytes()[..body.len() / 2]).await.unwrap();
        }
        match how {
            Broken::Head { reset: true } => {
                socket2::SockRef::from(&first).set_linger(Some(Duration::ZERO)).unwrap()
            }
            Broken::Head { .. } | Broken::Body | Broken::Silence => {}
            Broken::Trickle => {
                let rest = body.as_bytes()[body.len() / 2..].to_owned();
                tokio::task::spawn_local(async move {
                    for byte in &rest[..rest.len() - 1] {
                        tokio::time::sleep(Duration::from_millis(400)).await;
                        if first.write_all(&[*byte]).await.is_err() {
                            return;
                        }
                    }
                    std::future::pending::<()>().await
                });
                return answered_by_the_next(listener, &mut inputs, task, &(head + body), how).await;
            }
        }
        let _kept = matches!(how, Broken::Silence).then_some(first);
        answered_by_the_next(listener, &mut inputs, task, &(head + body), how).await;
    }

    async fn answered_by_the_next(
        listener: tokio::net::TcpListener,
        inputs: &mut mpsc::Receiver<Input>,
        task: tokio::task::JoinHandle<()>,
        answer: &str,
        how: Broken,
    ) {
        let next = tokio::time::timeout(WAIT + 2 * LATE, listener.accept()).await;
        let (mut next, _) = next.unwrap_or_else(|_| panic!("{how:?}: not asked for anew")).unwrap();
        assert!(next.read(&mut [0; 4096]).await.unwrap() > 0);
        next.write_all(answer.as_bytes()).await.unwrap();
        let heard = tokio::time::timeout(LATE, async {
            loop {
                match inputs.recv().await {
                    Some(Input::Discovery(Heard::List(list))) => return list,
                    Some(_) => {}
                    None => panic!("{how:?}: the watch has ended"),
                }
            }
        });
        let list = heard.await.unwrap_or_else(|_| panic!("{how:?}: not taken"));
        assert_eq!((list.revision, list.complete, list.members), (42, true, Vec::new()), "{how:?}");
        task.abort();
    }
}
