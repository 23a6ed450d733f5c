//! Calls to the origin over HTTP/1.1, one at a time on a connection.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use brassrouter::{ServerId, Status};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Request};
use mothpier_net::{Net, Task};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_encode};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::http::{self, Connection};
use crate::messages::{AttemptId, NodeInput, OriginEnded as Ended, StreamedValue};
use crate::metrics::Metrics;
use crate::resp::{MAX_PASSED, MAX_VALUE};
use crate::time_budget::{DeadlinePassed, TimeBudget};
use crate::{Mutation, mutation_active};

/// A connection idle for this part of the time after which it is closed is not used again.
const FRESH: f64 = 0.7;
/// After its head an answer's body comes within this time.
const BEGUN: Duration = Duration::from_millis(250);
/// A body that is passed on has stopped when nothing more has come for so long while its client would take more.
const STALLED: Duration = Duration::from_secs(2);
/// The most of it that is put in at once.
const PART: usize = 16 * 1024;
/// A call that has not ended by then is written: it goes to a socket of this machine.
const WRITTEN: Duration = Duration::from_millis(20);
/// The header that carries a command's names and values.
const EXTRAS: HeaderName = HeaderName::from_static("x-extras");
/// What of a key stands in a path as something else: all that a path segment can't hold as it is.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b':')
    .remove(b'@')
    .remove(b'!')
    .remove(b'$')
    .remove(b'&')
    .remove(b'\'')
    .remove(b'(')
    .remove(b')')
    .remove(b'*')
    .remove(b'+')
    .remove(b',')
    .remove(b';')
    .remove(b'=');

impl Ended {
    fn with(status: Status) -> Self {
        Ended { status, value: Bytes::new(), load: String::new() }
    }
}

/// How far a call has come.
struct Progress {
    /// It has begun to be written.
    begun: Cell<bool>,
    /// Where it counts once it is written; a probe counts nowhere.
    counts: Option<Rc<Metrics>>,
    attempt: AttemptId,
    events: mpsc::Sender<NodeInput>,
}

/// A call that is out.
pub struct Call<N: Net> {
    progress: Rc<Progress>,
    task: N::Task,
}

impl<N: Net> Call<N> {
    /// Whether it has begun to be written.
    pub fn begun(&self) -> bool {
        self.progress.begun.get()
    }

    /// Stops waiting, which closes its connection; whether it may have run.
    pub fn give_up(self) -> bool {
        self.task.abort();
        self.progress.begun.get()
    }
}

/// A call that has not been written.
struct Outgoing {
    request: Request<Full<Bytes>>,
    /// How long it is waited for; a probe of the load has none.
    budget: Option<TimeBudget>,
}

impl Outgoing {
    /// Whether its client no longer waits.
    fn is_cancelled(&self, now: Instant) -> bool {
        self.budget.as_ref().is_some_and(|budget| budget.command.cancel.is_cancelled(now))
    }

    /// Tells the origin how much time is left as of now. Done right before the first byte is written: a call may have been
    /// postponed, or may have waited for its connection.
    fn stamp(&mut self, now: Instant) -> Result<(), DeadlinePassed> {
        let Some(budget) = &self.budget else { return Ok(()) };
        let extras = budget.extras(now)?;
        // Clients' lists are printable: what is no header value was refused as it was read.
        if let Ok(extras) = HeaderValue::from_str(&extras) {
            self.request.headers_mut().insert(EXTRAS, extras);
        }
        Ok(())
    }
}

struct Pool<N: Net> {
    address: Option<SocketAddr>,
    ready: Cell<bool>,
    idle: RefCell<Vec<Idle<N>>>,
}

/// A connection with its part of the descriptors, and since when it has been idle.
struct Idle<N: Net>(Connection<N>, OwnedSemaphorePermit, Instant);

/// The origins of the list.
pub struct Origins<N: Net> {
    net: N,
    pools: HashMap<ServerId, Rc<Pool<N>>>,
    idle_close: Duration,
    connect_timeout: Duration,
    /// Connections that may be open to all together.
    descriptors: Arc<Semaphore>,
    figures: Rc<Metrics>,
    events: mpsc::Sender<NodeInput>,
}

impl<N: Net> Origins<N> {
    pub fn new(
        net: N,
        idle_close: Duration,
        connect_timeout: Duration,
        descriptors: usize,
        figures: Rc<Metrics>,
        events: mpsc::Sender<NodeInput>,
    ) -> Self {
        let descriptors = Arc::new(Semaphore::new(descriptors.max(1)));
        let idle_close = idle_close.mul_f64(FRESH);
        Origins { net, pools: HashMap::new(), idle_close, connect_timeout, descriptors, figures, events }
    }

    /// Takes a line of the list of one that is not gone.
    pub fn listed(&mut self, server: ServerId, address: Option<SocketAddr>, ready: bool) {
        let known = self.pools.get(&server).filter(|p| address.is_none() || p.address == address);
        if let Some(pool) = known {
            pool.ready.set(ready);
            if !ready {
                pool.idle.borrow_mut().clear();
            }
        } else {
            let pool = Pool { address, ready: Cell::new(ready), idle: RefCell::default() };
            if let Some(old) = self.pools.insert(server, Rc::new(pool)) {
                old.ready.set(false);
            }
        }
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.pools.len()
    }

    /// Forgets an origin that the list names no longer.
    pub fn gone(&mut self, server: ServerId) {
        if let Some(pool) = self.pools.remove(&server) {
            // A call that is under way holds its pool: it must find that nothing new is wanted.
            pool.ready.set(false);
        }
    }

    /// Calls the origin for a command; its end comes as an event.
    pub fn call(&self, server: ServerId, attempt: AttemptId, budget: TimeBudget) -> Option<Call<N>> {
        let pool = self.pools.get(&server).filter(|p| p.ready.get())?.clone();
        let address = pool.address?;
        let command = &budget.command;
        let method = if command.write { Method::PUT } else { Method::GET };
        let request = Request::builder()
            .method(method)
            .uri(format!("/{}", percent_encode(&command.key, ENCODED)))
            .header("Host", address.to_string())
            .header("X-Request-Id", command.id.as_ref())
            .body(Full::new(command.value.clone().unwrap_or_default()))
            .ok()?;
        Some(self.spawn(pool, address, attempt, Outgoing { request, budget: Some(budget) }))
    }

    /// Asks an origin for its load.
    pub fn probe(&self, server: ServerId, attempt: AttemptId) -> Option<Call<N>> {
        let pool = self.pools.get(&server).filter(|p| p.ready.get())?.clone();
        let address = pool.address?;
        let request =
            Request::get("/-/load").header("Host", address.to_string()).body(Full::default()).ok()?;
        Some(self.spawn(pool, address, attempt, Outgoing { request, budget: None }))
    }

    fn spawn(
        &self,
        pool: Rc<Pool<N>>,
        address: SocketAddr,
        attempt: AttemptId,
        outgoing: Outgoing,
    ) -> Call<N> {
        let progress = Rc::new(Progress {
            begun: Cell::new(false),
            counts: outgoing.budget.is_some().then(|| self.figures.clone()),
            attempt,
            events: self.events.clone(),
        });
        let (written, events) = (progress.clone(), self.events.clone());
        let (fresh, within, descriptors) = (self.idle_close, self.connect_timeout, self.descriptors.clone());
        let net = self.net.clone();
        let task = self.net.spawn(async move {
            let ended =
                exchange(&net, &pool, address, outgoing, (fresh, within), descriptors, &written).await;
            let _ = events.send(NodeInput::Origin { attempt, ended }).await;
        });
        Call { progress, task }
    }

    /// Closes the connections to an origin that carry nothing.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(pool) = self.pools.get(&server) {
            pool.idle.borrow_mut().clear();
        }
    }
}

/// Passes a body on as it comes; whether it came whole and was taken.
async fn pass_on(net: &impl Net, mut body: Incoming, length: usize, progress: &Progress) -> bool {
    let (put, value) = StreamedValue::of(length);
    if progress.events.send(NodeInput::OriginBegan { attempt: progress.attempt, value }).await.is_err() {
        return false;
    }
    let mut left = length;
    while left > 0 {
        let Some(Some(Ok(frame))) = net.timeout(STALLED, body.frame()).await else { return false };
        let Ok(mut data) = frame.into_data() else { continue };
        left = left.saturating_sub(data.len());
        // In parts of a size, or a few of them would hold more than their place.
        while !data.is_empty() {
            if put.send(data.split_to(data.len().min(PART))).await.is_err() {
                return false;
            }
        }
    }
    // The end is looked for, so that the connection can carry another call.
    matches!(net.timeout(STALLED, body.frame()).await, Some(None))
}

async fn exchange<N: Net>(
    net: &N,
    pool: &Pool<N>,
    address: SocketAddr,
    mut outgoing: Outgoing,
    (fresh, within): (Duration, Duration),
    descriptors: Arc<Semaphore>,
    progress: &Progress,
) -> Ended {
    // Once round the runtime: a close that has come in is noticed before a connection is chosen, or a write that
    // must not run twice would be lost on it.
    net.yield_now().await;
    let idle = {
        let mut idle = pool.idle.borrow_mut();
        idle.retain(|Idle(c, _, since)| c.sender.is_ready() && net.since(*since) < fresh);
        idle.pop()
    };
    let (mut connection, permit) = match (idle, descriptors.try_acquire_owned()) {
        (Some(Idle(connection, permit, _)), _) => (connection, permit),
        (None, Ok(permit)) => match http::connect(net, address, within).await {
            Ok(connection) => (connection, permit),
            Err(_) => return Ended::with(Status::ConnectFailed),
        },
        (None, Err(_)) => return Ended::with(Status::ConnectFailed),
    };
    // While the connection was made it may have begun to drain, or the client may have left: nothing new goes there then.
    if !pool.ready.get() || outgoing.is_cancelled(net.now()) {
        return Ended::with(Status::NotSent);
    }
    if outgoing.stamp(net.now()).is_err() {
        return Ended::with(Status::NotSent);
    }
    if let Some(budget) = &outgoing.budget {
        let (cancel, net) = (budget.command.cancel.clone(), net.clone());
        connection.gate.ask(move || !cancel.is_cancelled(net.now()));
    }
    progress.begun.set(true);
    let mut sending = std::pin::pin!(connection.sender.try_send_request(outgoing.request));
    // It is written whole by then, or its connection has ended.
    let early = net.timeout(WRITTEN, sending.as_mut()).await;
    let unsent = connection.gate.has_refused() || matches!(&early, Some(Err(e)) if e.message().is_some());
    if !unsent {
        progress.counts.iter().for_each(|figures| figures.attempt());
    }
    let sent = match early {
        Some(sent) => sent,
        None => sending.await,
    };
    let response = match sent {
        Ok(response) => response,
        // Given back: the connection had ended before any of it was written.
        Err(e) if e.message().is_some() => return Ended::with(Status::ConnectFailed),
        Err(_) if connection.gate.has_refused() => return Ended::with(Status::NotSent),
        Err(_) if mutation_active(Mutation::ResetNeverRan) => return Ended::with(Status::ConnectFailed),
        Err(_) => return Ended::with(Status::Reset),
    };
    let header = |name: &str| {
        response.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
    };
    let load = header("X-Load");
    let status = match response.status().as_u16() {
        200 => Status::Served,
        500 if mutation_active(Mutation::ErrorNeverRan) => Status::Full,
        503 | 504 if header("X-Not-Run") == "1" => Status::Full,
        _ => Status::Error,
    };
    let body = response.into_body();
    let length = body.size_hint().exact().unwrap_or_default() as usize;
    let value = if status == Status::Served && length > MAX_VALUE && length <= MAX_PASSED {
        if !pass_on(net, body, length, progress).await {
            return Ended::with(Status::Reset);
        }
        Bytes::new()
    } else {
        // A body that doesn't end, or is too long, is no answer; its connection goes with it.
        let Some(Ok(value)) = net.timeout(BEGUN, http::body(body, MAX_VALUE)).await else {
            return Ended::with(Status::Reset);
        };
        value
    };
    if pool.ready.get() {
        pool.idle.borrow_mut().push(Idle(connection, permit, net.now()));
    }
    Ended { status, value, load }
}
