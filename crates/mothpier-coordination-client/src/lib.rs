//! How nodes, tools and supervisors speak to the coordinators.
//!
//! A [`Client`] makes calls: it finds the leader, tries again with jitter until a time, and tells "done", "not done" and
//! "may have been done" apart. A [`Session`] on top of it lives by renewing and holds leases; what it may do is bounded by
//! its own clock alone, so that a client that hears nothing stops in time.

mod session;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use mothpier_coordination::wire::{
    Call, Drains, Error, ErrorResponse, FleetInfo, Leases, MemberCall, MemberChange, Status, Told,
};
use mothpier_coordination::{Answer, Change, Command, Revision};
use mothpier_net::{Net, Stream, Task};
use serde::Deserialize;

pub use session::{Acting, Granted, Lost, Session};

/// One try at one coordinator: beyond an election, so that a leader has time to commit.
const TRY: Duration = Duration::from_millis(1500);
/// Between two tries, drawn from this span: half of the clients that come back at once must not come in step.
const PAUSE_MS: (u64, u64) = (20, 200);
/// Bytes of an answer.
const ANSWER: usize = 16 * 1024 * 1024;

/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome<T> {
    /// It was done, and this came of it.
    Done(T),
    /// It was not done, and never will be.
    NotDone(String),
    /// It was not done, and asking again is of no use: another fleet, or a call that can't be read.
    Refused(String),
    /// Nobody knows: it may have been done, or may yet be.
    MayHaveBeen(String),
}

/// What a watch gave.
#[derive(Debug, Clone, PartialEq)]
pub enum Seen {
    /// All changes since, in order, and the number to watch from next.
    Changes(Revision, Vec<(Revision, Change)>),
    /// Too much has changed: the whole has to be read.
    ReadTheWhole,
}

/// A fleet's coordinators, as one client sees them.
pub struct Client<N: Net> {
    net: N,
    cluster: String,
    /// By their numbers, from 1.
    coordinators: Vec<SocketAddr>,
    /// The one that answered last, by its place.
    last: Cell<usize>,
    dice: RefCell<oorandom::Rand64>,
}

/// How one try ended.
enum Try {
    Replied(StatusCode, Bytes),
    /// Nothing was written.
    Unreached(String),
    /// It was written, whole or in part.
    Unanswered(String),
}

#[derive(Deserialize)]
struct Watched {
    revision: Revision,
    changes: Vec<(Revision, Change)>,
}

impl<N: Net> Client<N> {
    /// A client of the coordinators at these addresses, in the order of their numbers.
    ///
    /// # Errors
    ///
    /// No address, or a machine without entropy.
    pub fn new(net: N, cluster: String, coordinators: Vec<SocketAddr>) -> Result<Rc<Self>, String> {
        if coordinators.is_empty() {
            return Err("no coordinator is named".into());
        }
        let entropy = net.entropy().map_err(|e| format!("no entropy: {e}"))?;
        let seed = entropy.iter().fold(0u128, |seed, byte| (seed << 8) ^ (seed >> 120) ^ u128::from(*byte));
        let last = Cell::new((seed % coordinators.len() as u128) as usize);
        let dice = RefCell::new(oorandom::Rand64::new(seed));
        Ok(Rc::new(Client { net, cluster, coordinators, last, dice }))
    }

    /// The machine that it runs on.
    pub fn net(&self) -> &N {
        &self.net
    }

    /// Eight letters that no other client draws.
    pub fn draw_name(&self) -> String {
        format!("{:08x}", self.dice.borrow_mut().rand_u64() >> 32)
    }

    async fn one_try(
        &self,
        to: SocketAddr,
        method: &Method,
        path: &str,
        body: &Bytes,
        until: Instant,
    ) -> Try {
        let stream = match self.net.timeout_at(until, self.net.connect(to)).await {
            Some(Ok(stream)) => stream,
            Some(Err(e)) => return Try::Unreached(format!("{to}: {e}")),
            None => return Try::Unreached(format!("{to}: no connection in time")),
        };
        stream.set_nodelay();
        let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
            return Try::Unreached(format!("{to}: no connection"));
        };
        let driver = self.net.spawn(async move { drop(connection.await) });
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", to.to_string())
            .body(Full::new(body.clone()));
        let replied = self.net.timeout_at(until, async {
            let reply =
                sender.send_request(request.map_err(|e| e.to_string())?).await.map_err(|e| e.to_string())?;
            let status = reply.status();
            let whole = Limited::new(reply.into_body(), ANSWER).collect().await.map_err(|e| e.to_string())?;
            Ok::<_, String>((status, whole.to_bytes()))
        });
        let replied = replied.await;
        driver.abort();
        match replied {
            Some(Ok((status, bytes))) => Try::Replied(status, bytes),
            Some(Err(e)) => Try::Unanswered(format!("{to}: {e}")),
            None => Try::Unanswered(format!("{to}: no answer in time")),
        }
    }

    /// Calls until somebody answers for the fleet, or the time is over.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        until: Instant,
    ) -> Outcome<(StatusCode, Bytes)> {
        let (mut place, mut maybe, mut why) = (self.last.get(), false, String::from("no time"));
        while self.net.now() < until {
            let end = until.min(self.net.now() + TRY);
            match self.one_try(self.coordinators[place], &method, path, &body, end).await {
                Try::Replied(status, bytes) => match serde_json::from_slice::<ErrorResponse>(&bytes) {
                    Ok(failed) if failed.error == Error::NotLeader => {
                        why = format!("{}: {}", self.coordinators[place], failed.message);
                        let named =
                            failed.leader.map(|l| l as usize - 1).filter(|l| *l < self.coordinators.len());
                        if let Some(leader) = named.filter(|l| *l != place) {
                            // Asked at once: it has just been named.
                            place = leader;
                            self.last.set(place);
                            if self.dice.borrow_mut().rand_range(0..4) > 0 {
                                continue;
                            }
                        }
                    }
                    Ok(failed) if failed.error == Error::Unknown => (maybe, why) = (true, failed.message),
                    Ok(failed) => return Outcome::Refused(failed.message),
                    Err(_) => {
                        self.last.set(place);
                        return Outcome::Done((status, bytes));
                    }
                },
                Try::Unreached(e) => why = e,
                Try::Unanswered(e) => (maybe, why) = (true, e),
            }
            place = (place + 1) % self.coordinators.len();
            let pause = self.dice.borrow_mut().rand_range(PAUSE_MS.0..PAUSE_MS.1);
            self.net.sleep_until((self.net.now() + Duration::from_millis(pause)).min(until)).await;
        }
        if maybe { Outcome::MayHaveBeen(why) } else { Outcome::NotDone(why) }
    }

    /// Has a command done. Sent again it takes effect once: by its number, its name or its fence.
    pub async fn command(&self, command: &Command, until: Instant) -> Outcome<Answer> {
        let call = Call { cluster: self.cluster.clone(), command: command.clone() };
        let body = serde_json::to_vec(&call).unwrap_or_default().into();
        match self.call(Method::POST, "/v1/command", body, until).await {
            Outcome::Done((_, bytes)) => match serde_json::from_slice::<Told>(&bytes) {
                Ok(told) => Outcome::Done(told.answer),
                Err(e) => Outcome::MayHaveBeen(format!("an answer that can't be read: {e}")),
            },
            Outcome::NotDone(why) => Outcome::NotDone(why),
            Outcome::Refused(why) => Outcome::Refused(why),
            Outcome::MayHaveBeen(why) => Outcome::MayHaveBeen(why),
        }
    }

    /// Changes the coordinators themselves.
    pub async fn change(&self, change: MemberChange, until: Instant) -> Outcome<()> {
        let call = MemberCall { cluster: self.cluster.clone(), change };
        let body = serde_json::to_vec(&call).unwrap_or_default().into();
        match self.call(Method::POST, "/v1/members", body, until).await {
            Outcome::Done(_) => Outcome::Done(()),
            Outcome::NotDone(why) => Outcome::NotDone(why),
            Outcome::Refused(why) => Outcome::Refused(why),
            Outcome::MayHaveBeen(why) => Outcome::MayHaveBeen(why),
        }
    }

    async fn read<T: for<'a> Deserialize<'a>>(&self, path: &str, until: Instant) -> Result<T, String> {
        match self.call(Method::GET, path, Bytes::new(), until).await {
            Outcome::Done((status, bytes)) if status.is_success() => {
                serde_json::from_slice(&bytes).map_err(|e| format!("an answer that can't be read: {e}"))
            }
            Outcome::Done((status, _)) => Err(format!("answered {status}")),
            Outcome::NotDone(why) | Outcome::Refused(why) | Outcome::MayHaveBeen(why) => Err(why),
        }
    }

    /// All leases, as a majority confirmed them.
    ///
    /// # Errors
    ///
    /// Why they could not be read in time.
    pub async fn leases(&self, until: Instant) -> Result<Leases, String> {
        self.read("/v1/leases", until).await
    }

    /// The whole fleet, as a majority confirmed it.
    ///
    /// # Errors
    ///
    /// Why it could not be read in time.
    pub async fn fleet(&self, until: Instant) -> Result<FleetInfo, String> {
        self.read("/v1/fleet", until).await
    }

    /// The drains as nodes need to know them, as a majority confirmed them.
    ///
    /// # Errors
    ///
    /// Why they could not be read in time.
    pub async fn drains(&self, until: Instant) -> Result<Drains, String> {
        self.read("/v1/drains", until).await
    }

    /// How each coordinator shows itself, by their numbers.
    pub async fn statuses(&self, until: Instant) -> Vec<Result<Status, String>> {
        let mut all = Vec::new();
        for to in &self.coordinators {
            let end = until.min(self.net.now() + TRY);
            all.push(match self.one_try(*to, &Method::GET, "/v1/status", &Bytes::new(), end).await {
                Try::Replied(_, bytes) => serde_json::from_slice(&bytes).map_err(|e| e.to_string()),
                Try::Unreached(why) | Try::Unanswered(why) => Err(why),
            });
        }
        all
    }

    /// Waits for changes after one, at whoever answers: they come in order, and none is left out.
    ///
    /// # Errors
    ///
    /// Why nobody answered in time.
    pub async fn watch(&self, after: Revision, wait: Duration, until: Instant) -> Result<Seen, String> {
        let path = format!("/v1/watch?after={after}&wait_ms={}", wait.as_millis());
        let place = self.last.get();
        let end = until.min(self.net.now() + wait + TRY);
        match self.one_try(self.coordinators[place], &Method::GET, &path, &Bytes::new(), end).await {
            Try::Replied(StatusCode::GONE, _) => {
                // Behind or ahead of this one: another may know more.
                self.last.set((place + 1) % self.coordinators.len());
                Ok(Seen::ReadTheWhole)
            }
            Try::Replied(_, bytes) => {
                let seen: Watched = serde_json::from_slice(&bytes).map_err(|e| e.to_string())?;
                Ok(Seen::Changes(seen.revision, seen.changes))
            }
            Try::Unreached(why) | Try::Unanswered(why) => {
                self.last.set((place + 1) % self.coordinators.len());
                Err(why)
            }
        }
    }
}
