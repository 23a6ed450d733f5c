//! Calls to the origin over HTTP/1.1, one at a time on each connection.

mod body;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use brassrouter::{ServerId, Status};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Request};
use mothpier_net::{Net, Task};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_encode};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::http::{self, Connection};
use crate::memory::NodeMemory;
use crate::messages::{AttemptId, NodeInput, OriginEnded as Ended};
use crate::metrics::Metrics;
use crate::time_budget::{DeadlinePassed, TimeBudget};
use crate::{Mutation, mutation_active};

/// A connection that has been idle for this fraction of the idle timeout is not used again.
const REUSABLE_IDLE_FRACTION: f64 = 0.7;
/// Maximum read buffer of a connection to an origin, in bytes.
const READ_BUFFER: usize = 16 * 1024;
/// A call that has not ended after this time counts as written, since writing goes only to a local socket
/// buffer.
const ASSUMED_WRITTEN_AFTER: Duration = Duration::from_millis(20);
/// The header that carries a command's extras.
const EXTRAS_HEADER: HeaderName = HeaderName::from_static("x-extras");
/// The characters of a key that are percent-encoded: all that are not allowed in a path segment.
const PERCENT_ENCODED: &AsciiSet = &NON_ALPHANUMERIC
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
    fn with_status(status: Status) -> Self {
        Ended { status, value: Bytes::new(), load: String::new() }
    }
}

/// The progress of a call.
struct Progress {
    /// The request is being written, or has been.
    started: Cell<bool>,
    /// Counts the call as an attempt once it is written; `None` for a probe, which is not counted.
    attempt_metrics: Option<Rc<Metrics>>,
    attempt: AttemptId,
    events: mpsc::Sender<NodeInput>,
}

/// A call in progress.
pub struct Call<N: Net> {
    progress: Rc<Progress>,
    task: N::Task,
}

impl<N: Net> Call<N> {
    /// Returns whether the request is being written, or has been.
    pub fn has_started(&self) -> bool {
        self.progress.started.get()
    }

    /// Stops waiting, which closes the connection. Returns whether the call may have run.
    pub fn give_up(self) -> bool {
        self.task.abort();
        self.progress.started.get()
    }
}

/// A call that has not been written.
struct Outgoing {
    request: Request<Full<Bytes>>,
    /// The time left for the call; a load probe has none.
    budget: Option<TimeBudget>,
}

impl Outgoing {
    /// Returns whether its client no longer waits.
    fn is_cancelled(&self, now: Instant) -> bool {
        self.budget.as_ref().is_some_and(|budget| budget.command.cancel.is_cancelled(now))
    }

    /// Sets the header that tells the origin how much time is left. This is done right before the first byte
    /// is written, because the call may have been postponed or may have waited for its connection.
    fn set_time_left(&mut self, now: Instant) -> Result<(), DeadlinePassed> {
        let Some(budget) = &self.budget else { return Ok(()) };
        let extras = budget.extras(now)?;
        // Extras are printable, so they are valid header values: others were refused when the command was
        // parsed.
        if let Ok(extras) = HeaderValue::from_str(&extras) {
            self.request.headers_mut().insert(EXTRAS_HEADER, extras);
        }
        Ok(())
    }
}

struct Pool<N: Net> {
    address: Option<SocketAddr>,
    ready: Cell<bool>,
    idle: RefCell<Vec<Idle<N>>>,
}

/// An idle connection with its permit, and the time since when it has been idle.
struct Idle<N: Net>(Connection<N>, OwnedSemaphorePermit, Instant);

/// The origins of the server list.
pub struct Origins<N: Net> {
    net: N,
    pools: HashMap<ServerId, Rc<Pool<N>>>,
    limits: CallLimits,
    metrics: Rc<Metrics>,
    events: mpsc::Sender<NodeInput>,
}

/// Limits that apply to each call.
#[derive(Clone)]
struct CallLimits {
    /// A connection that has been idle for longer is not used again.
    max_idle: Duration,
    connect_timeout: Duration,
    /// Permits for connections to all origins together.
    descriptors: Arc<Semaphore>,
    /// Memory for answers beyond what each request may hold.
    memory: NodeMemory,
}

impl<N: Net> Origins<N> {
    pub fn new(
        net: N,
        idle_close: Duration,
        connect_timeout: Duration,
        descriptors: usize,
        memory: NodeMemory,
        metrics: Rc<Metrics>,
        events: mpsc::Sender<NodeInput>,
    ) -> Self {
        let limits = CallLimits {
            max_idle: idle_close.mul_f64(REUSABLE_IDLE_FRACTION),
            connect_timeout,
            descriptors: Arc::new(Semaphore::new(descriptors.max(1))),
            memory,
        };
        Origins { net, pools: HashMap::new(), limits, metrics, events }
    }

    /// Applies an entry of the server list, of an origin that is not gone.
    pub fn apply_entry(&mut self, server: ServerId, address: Option<SocketAddr>, ready: bool) {
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

    /// Returns the number of origins.
    pub fn len(&self) -> usize {
        self.pools.len()
    }

    /// Removes an origin that the server list no longer contains.
    pub fn remove(&mut self, server: ServerId) {
        if let Some(pool) = self.pools.remove(&server) {
            // A call in progress still holds the pool and must see that nothing new may be sent.
            pool.ready.set(false);
        }
    }

    /// Calls the origin for a command; the result is sent to the node as an event.
    pub fn call(&self, server: ServerId, attempt: AttemptId, budget: TimeBudget) -> Option<Call<N>> {
        let pool = self.pools.get(&server).filter(|p| p.ready.get())?.clone();
        let address = pool.address?;
        let command = &budget.command;
        let method = if command.write { Method::PUT } else { Method::GET };
        let request = Request::builder()
            .method(method)
            .uri(format!("/{}", percent_encode(&command.key, PERCENT_ENCODED)))
            .header("Host", address.to_string())
            .header("X-Request-Id", command.id.as_ref())
            .body(Full::new(command.value.clone().unwrap_or_default()))
            .ok()?;
        Some(self.spawn(pool, address, attempt, Outgoing { request, budget: Some(budget) }))
    }

    /// Requests the load of an origin.
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
            started: Cell::new(false),
            attempt_metrics: outgoing.budget.is_some().then(|| self.metrics.clone()),
            attempt,
            events: self.events.clone(),
        });
        let (task_progress, events) = (progress.clone(), self.events.clone());
        let limits = self.limits.clone();
        let net = self.net.clone();
        let task = self.net.spawn(async move {
            let ended = exchange(&net, &pool, address, outgoing, limits, &task_progress).await;
            let _ = events.send(NodeInput::Origin { attempt, ended }).await;
        });
        Call { progress, task }
    }

    /// Closes the idle connections to an origin.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(pool) = self.pools.get(&server) {
            pool.idle.borrow_mut().clear();
        }
    }
}

async fn exchange<N: Net>(
    net: &N,
    pool: &Pool<N>,
    address: SocketAddr,
    mut outgoing: Outgoing,
    limits: CallLimits,
    progress: &Progress,
) -> Ended {
    // Yield to the runtime once, so that a close by the origin is noticed before a connection is chosen.
    // Otherwise a write that must not be repeated could be lost on a closed connection.
    net.yield_now().await;
    let idle = {
        let mut idle = pool.idle.borrow_mut();
        idle.retain(|Idle(c, _, since)| c.sender.is_ready() && net.since(*since) < limits.max_idle);
        idle.pop()
    };
    let (mut connection, permit) = match (idle, limits.descriptors.try_acquire_owned()) {
        (Some(Idle(connection, permit, _)), _) => (connection, permit),
        (None, Ok(permit)) => match http::connect(net, address, limits.connect_timeout, READ_BUFFER).await {
            Ok(connection) => (connection, permit),
            Err(_) => return Ended::with_status(Status::ConnectFailed),
        },
        (None, Err(_)) => return Ended::with_status(Status::ConnectFailed),
    };
    // While the connection was established, the origin may have started to drain, or the client may have
    // left: nothing new is sent then.
    if !pool.ready.get() || outgoing.is_cancelled(net.now()) {
        return Ended::with_status(Status::NotSent);
    }
    if outgoing.set_time_left(net.now()).is_err() {
        return Ended::with_status(Status::NotSent);
    }
    if let Some(budget) = &outgoing.budget {
        let (cancel, net) = (budget.command.cancel.clone(), net.clone());
        connection.gate.check_before_write(move || !cancel.is_cancelled(net.now()));
    }
    progress.started.set(true);
    let mut sending = std::pin::pin!(connection.sender.try_send_request(outgoing.request));
    // By then the request has been written completely, or the connection has ended.
    let early_result = net.timeout(ASSUMED_WRITTEN_AFTER, sending.as_mut()).await;
    let not_written =
        connection.gate.has_refused() || matches!(&early_result, Some(Err(e)) if e.message().is_some());
    if !not_written {
        progress.attempt_metrics.iter().for_each(|metrics| metrics.count_attempt());
    }
    let sent = match early_result {
        Some(sent) => sent,
        None => sending.await,
    };
    let response = match sent {
        Ok(response) => response,
        // The request is returned unsent: the connection had ended before any of it was written.
        Err(e) if e.message().is_some() => return Ended::with_status(Status::ConnectFailed),
        Err(_) if connection.gate.has_refused() => return Ended::with_status(Status::NotSent),
        Err(_) if mutation_active(Mutation::ResetNeverRan) => {
            return Ended::with_status(Status::ConnectFailed);
        }
        Err(_) => return Ended::with_status(Status::Reset),
    };
    let header = |name: &str| {
        response.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
    };
    let load = header("X-Load");
    let status = match response.status().as_u16() {
        200 => Status::Served,
        500 if mutation_active(Mutation::ErrorNeverRan) => Status::Rejected,
        503 | 504 if header("X-Not-Run") == "1" => Status::Rejected,
        _ => Status::Error,
    };
    let body = response.into_body();
    // A body that is too long, or not complete in time, is an error; the connection is closed.
    let received = match status {
        Status::Served => {
            body::receive_value(net, body, &connection.body_end, &limits.memory, progress).await
        }
        _ => body::discard(net, body).await.map(|()| Bytes::new()),
    };
    let Ok(value) = received else { return Ended::with_status(Status::Reset) };
    if pool.ready.get() {
        pool.idle.borrow_mut().push(Idle(connection, permit, net.now()));
    }
    Ended { status, value, load }
}
