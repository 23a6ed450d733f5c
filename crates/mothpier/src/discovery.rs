//! The server list from discovery: conversion to the policy's form, numbering of servers, and the watch for
//! changes.

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

/// How long the other side may hold a watch open. Short, so that an unresponsive agent is noticed soon.
const WATCH_WAIT: Duration = Duration::from_millis(2000);
/// How much longer than the wait an answer may take before the call counts as failed.
const RESPONSE_MARGIN: Duration = Duration::from_millis(1500);
/// The pause between calls after a failure. A watch is continued if the next call arrives within 200 ms.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The most calls that are outstanding at an agent that does not answer: a call made while the agent is
/// unresponsive may never be answered, and must not delay one that would be.
pub const MAX_AGENT_CALLS: usize = 6;
/// How often an agent that does not answer is asked again within the time in which a drain must take effect.
const AGENT_RETRIES_PER_GRACE: u32 = 4;
/// The bounds of the time between calls to an agent that does not answer.
const MIN_AGENT_RETRY: Duration = Duration::from_millis(20);
const MAX_AGENT_RETRY: Duration = RETRY_PAUSE;
/// The most calls that are outstanding at a central service, which may have lost the first of them.
const MAX_SERVICE_CALLS: usize = 3;
const MAX_LIST_BYTES: usize = 4 << 20;

/// The numbers by which the policy identifies servers. They are hashes of the ids, so that all nodes use the
/// same numbers and the same order of servers.
#[derive(Default)]
pub struct ServerNumbers(HashMap<String, ServerId>, HashSet<ServerId>);

impl ServerNumbers {
    /// Returns the number of the server with this id, and assigns one if it is new.
    pub fn number_of(&mut self, id: &str) -> ServerId {
        if let Some(number) = self.0.get(id) {
            return *number;
        }
        // Two ids with the same hash must not be merged: the later one takes the next free hash.
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

    /// The number of servers that have a number.
    pub fn len(&self) -> usize {
        self.0.len().max(self.1.len())
    }

    /// Removes the numbers of servers that have left. A server that returns gets the same number, since it is
    /// derived from the id.
    pub fn forget(&mut self, left: impl Fn(ServerId) -> bool) {
        self.0.retain(|_, number| !left(*number));
        self.1.retain(|number| !left(*number));
    }

    /// Converts a server list to the policy's form, each entry with its address. Servers are processed in the
    /// order of their ids, so that nodes with the same list resolve hash collisions alike.
    pub fn server_entries(
        &mut self,
        net: &impl Net,
        list: &mut ServerList,
        site: &Site,
    ) -> Vec<(ServerEntry, Option<SocketAddr>)> {
        list.members.sort_by(|a, b| a.id.cmp(&b.id));
        let mut entries = Vec::with_capacity(list.members.len());
        for member in &list.members {
            let condition = match member.phase.as_str() {
                "ready" => Condition::Ready,
                "draining" if mutation_active(Mutation::DrainingIsReady) => Condition::Ready,
                "draining" => Condition::Draining,
                _ => Condition::Gone,
            };
            let address = member.host_port.parse().ok();
            if address.is_none() && condition == Condition::Ready {
                net.log(format_args!(
                    "{}: {:?} is not an address; server ignored",
                    member.id, member.host_port
                ));
                continue;
            }
            let entry = ServerEntry {
                id: self.number_of(&member.id),
                zone: index_of(&site.zones, &member.locality, u8::MAX.into()) as u8,
                cell: member.cell,
                kind: index_of(&site.kinds, &member.flavor, u16::MAX.into()) as u16,
                weight: member.size.filter(|s| s.is_finite()).unwrap_or(1.0),
                started: if mutation_active(Mutation::ColdUnknown) {
                    0
                } else {
                    member.up_since_ms.saturating_mul(1000)
                },
                condition,
            };
            entries.push((entry, address));
        }
        entries
    }
}

/// Returns the index of a name in the settings. A name that the settings lack gets a number beyond the last
/// index, which is the same on every node.
fn index_of(names: &[String], name: &str, max: u64) -> u64 {
    let hashed = || {
        names.len() as u64
            + xxh3_64_with_seed(name.as_bytes(), 0) % max.saturating_sub(names.len() as u64).max(1)
    };
    names.iter().position(|n| n == name).map_or_else(hashed, |at| at as u64)
}

/// How discovery is queried.
#[derive(Clone, Copy)]
pub enum DiscoveryMode {
    /// An agent on this machine, to which the list is pushed; querying it costs nothing. A drain that the
    /// agent knows of must take effect within `grace`.
    Agent { grace: Duration },
    /// A central service for all nodes, which answers its calls one after the other.
    Service,
}

/// Fetches and watches the server list as `requests` says, at the address that `addresses` holds, until the
/// node ends.
pub async fn run<N: Net>(
    net: N,
    mut addresses: watch::Receiver<SocketAddr>,
    mode: DiscoveryMode,
    known_revision: Option<u64>,
    mut requests: watch::Receiver<DiscoveryRequest>,
    events: mpsc::Sender<NodeInput>,
) {
    let is_agent = matches!(mode, DiscoveryMode::Agent { .. });
    let retry_interval = match mode {
        DiscoveryMode::Agent { grace } => {
            (grace / AGENT_RETRIES_PER_GRACE).clamp(MIN_AGENT_RETRY, MAX_AGENT_RETRY)
        }
        DiscoveryMode::Service => RETRY_PAUSE,
    };
    let (mut connection, mut revision, mut calls, mut is_failing) = (None, known_revision, 0, false);
    // The list known at the start may be stale. An agent returns the whole list at no cost; a central service
    // is asked only for the changes since. The mode must come from the settings: whether a watch is requested
    // says nothing, since the policy may have requested one before this task first runs.
    let mut need_whole_list = is_agent;
    let mut address_changed = false;
    loop {
        let current = *requests.borrow_and_update();
        if addresses.has_changed().unwrap_or(false) {
            address_changed = true;
        }
        let address = *addresses.borrow_and_update();
        if address_changed {
            // The revisions of another service are unrelated to the old ones: request the whole list, and
            // drop any pending answer of the old service.
            (connection, revision, is_failing) = (None, None, false);
        }
        if !current.watch && current.calls == calls && !address_changed {
            tokio::select! {
                biased;
                changed = requests.changed() => if changed.is_err() { return },
                Ok(()) = addresses.changed() => address_changed = true,
            }
            continue;
        }
        let whole = need_whole_list || !current.watch;
        calls = current.calls;
        let answer = tokio::select! {
            biased;
            Ok(()) = addresses.changed() => {
                address_changed = true;
                continue;
            }
            answer = fetch_list(
                &net, connection.take(), address, revision.filter(|_| !whole), mode, retry_interval
            ) => answer,
        };
        address_changed = false;
        let update = match answer {
            Ok((list, answered_on)) => {
                (need_whole_list, is_failing) = (false, false);
                (revision, connection) = (Some(list.revision), Some(answered_on));
                ListUpdate::List(list)
            }
            Err(e) => {
                // An unresponsive or broken agent must not block the watch: start over on a new connection.
                // The agent may have restarted and forgotten servers that left. Its revisions may then look
                // like those known here, and the changes since one of them would omit those departures.
                need_whole_list = is_agent;
                if !is_failing {
                    net.log(format_args!("discovery: {e}; retrying until it answers"));
                }
                is_failing = true;
                ListUpdate::Failed
            }
        };
        if events.send(NodeInput::Discovery(update)).await.is_err() {
            return;
        }
        if is_failing {
            net.sleep(retry_interval).await;
        }
    }
}

/// The error of a call that timed out.
const NO_ANSWER: &str = "no answer";

/// A server list and the connection on which it arrived.
type CallResult<N> = Result<(ServerList, Connection<N>), String>;

/// When an unanswered call is repeated while earlier ones are still outstanding (hedging): a call made while
/// the other side is unresponsive may never be answered.
#[derive(Clone, Copy)]
struct HedgePolicy {
    /// The time from the first call to the second.
    first_delay: Duration,
    /// The time between further calls.
    interval: Duration,
    /// The most calls that are outstanding at once.
    max_calls: usize,
    /// The time, with `RESPONSE_MARGIN` added, after which all calls are abandoned.
    time_limit: Duration,
}

impl HedgePolicy {
    fn of(mode: DiscoveryMode, is_watch: bool, retry_interval: Duration) -> Self {
        match mode {
            // Querying an agent costs nothing.
            DiscoveryMode::Agent { .. } => HedgePolicy {
                first_delay: if is_watch { WATCH_WAIT + retry_interval } else { retry_interval },
                interval: retry_interval,
                max_calls: MAX_AGENT_CALLS,
                time_limit: WATCH_WAIT + RESPONSE_MARGIN,
            },
            // An earlier call may merely be queued, so it stays outstanding. A change missed by a lost call
            // must be known 6 s later, even if the next call is lost as well.
            DiscoveryMode::Service => HedgePolicy {
                first_delay: WATCH_WAIT + RESPONSE_MARGIN / 2,
                interval: RESPONSE_MARGIN,
                max_calls: MAX_SERVICE_CALLS,
                time_limit: (WATCH_WAIT + RESPONSE_MARGIN) * 2,
            },
        }
    }
}

/// Calls discovery, and repeats the call on a new connection while there is no answer, until one of the calls
/// is answered or all have timed out. Repeated calls ask an agent for the whole list, and a service for the
/// changes.
async fn fetch_list<N: Net>(
    net: &N,
    open: Option<Connection<N>>,
    address: SocketAddr,
    after: Option<u64>,
    mode: DiscoveryMode,
    retry_interval: Duration,
) -> CallResult<N> {
    let first_call = call(net, open, address, after, mode);
    if mutation_active(Mutation::SilentCallWaits) {
        return first_call.await;
    }
    let hedging = HedgePolicy::of(mode, after.is_some(), retry_interval);
    let hedge_after = after.filter(|_| matches!(mode, DiscoveryMode::Service));
    let mut calls: PendingCalls<'_, N> = PendingCalls::default();
    calls.push_back(Box::pin(first_call));
    let until = net.now() + hedging.time_limit + RESPONSE_MARGIN;
    let mut next = net.now() + hedging.first_delay;
    loop {
        if let Some(answer) = net.timeout_at(next.min(until), first_answer(&mut calls, mode)).await {
            return answer;
        }
        if net.now() >= until {
            return Err(NO_ANSWER.into());
        }
        next = net.now() + hedging.interval;
        // The first call may still be answered and is kept; the oldest of the others is dropped.
        if calls.len() >= hedging.max_calls {
            drop(calls.remove(1));
        }
        calls.push_back(Box::pin(call(net, None, address, hedge_after, mode)));
    }
}

/// Outstanding calls, the oldest first.
type PendingCalls<'a, N> = VecDeque<Pin<Box<dyn Future<Output = CallResult<N>> + 'a>>>;

/// Returns the first successful answer, or the error after which the caller starts over: that of an agent's
/// first call, or of the last outstanding call. Cancel-safe.
async fn first_answer<N: Net>(calls: &mut PendingCalls<'_, N>, mode: DiscoveryMode) -> CallResult<N> {
    poll_fn(|cx| {
        let mut at = 0;
        while let Some(pending_call) = calls.get_mut(at) {
            match pending_call.as_mut().poll(cx) {
                Poll::Ready(Ok(answer)) => return Poll::Ready(Ok(answer)),
                Poll::Ready(Err(e)) => {
                    drop(calls.remove(at));
                    let restarts = at == 0 && matches!(mode, DiscoveryMode::Agent { .. });
                    // A service's time-out is not a failure yet: the call is repeated.
                    if restarts || (calls.is_empty() && e != NO_ANSWER) {
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
    mode: DiscoveryMode,
) -> CallResult<N> {
    let path = match after {
        Some(revision) => format!("/api/targets?after={revision}&wait_ms={}", WATCH_WAIT.as_millis()),
        None => "/api/targets".into(),
    };
    let mut connection = match open.filter(|c| c.sender.is_ready()) {
        Some(open) => open,
        None => http::connect(net, address, RESPONSE_MARGIN, http::LIST_READ_BUFFER)
            .await
            .map_err(|e| format!("no connection: {e}"))?,
    };
    let request =
        hyper::Request::get(path).header("Host", address.to_string()).body(Full::<Bytes>::default());
    let request = request.map_err(|e| e.to_string())?;
    // An agent returns a whole list at once; waiting longer would use up the time in which a drain must take
    // effect. A central service answers calls one after the other, and a call abandoned while queued wastes
    // its work.
    let time_limit = if after.is_some() || matches!(mode, DiscoveryMode::Service) {
        WATCH_WAIT + RESPONSE_MARGIN
    } else {
        RESPONSE_MARGIN
    };
    let answer = net.timeout(time_limit, async {
        let response = connection.sender.send_request(request).await.map_err(|e| e.to_string())?;
        if response.status() != 200 {
            return Err(format!("answered {}", response.status()));
        }
        http::read_body(response.into_body(), MAX_LIST_BYTES).await
    });
    let body = answer.await.ok_or(NO_ANSWER)??;
    let _ = net.timeout(RETRY_PAUSE, connection.sender.ready()).await;
    let list = ServerList::read(&body).map_err(|e| format!("unreadable list: {e}"))?;
    Ok((list, connection))
}

#[cfg(test)]
mod tests;
