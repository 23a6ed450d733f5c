//! The HTTP/1.1 interface: calls of clients, raft messages of other members, and metrics. Requests that can't
//! be parsed get an error response and change nothing; calls that name another cluster are rejected.

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mothpier_coordination::Command;
use mothpier_coordination::wire::{
    CLUSTER, Call, Drains, Error, ErrorResponse, FleetInfo, LeaseInfo, Leases, MemberCall,
};
use mothpier_net::{Listener, Net, Stream, Task};
use protobuf::Message as _;
use raft::eraftpb::Message;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::Member;
use crate::core::{Core, ProposalOutcome};

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 1024;
/// A connection without a complete request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Largest body of a client's call: a list of as many cache servers as a fleet may have.
const MAX_CALL_BYTES: usize = 512 * 1024;
/// Largest body of raft messages: a snapshot of the largest state that the limits allow.
const MAX_RAFT_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Time to wait for a commit. A command that is not committed by then may be committed later, or never.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Maximum number of changes in one response to a watch.
const MAX_CHANGES_PER_RESPONSE: usize = 512;

type Reply = Response<Full<Bytes>>;

/// Open connections by number, the oldest first.
type Connections<N> = Rc<RefCell<Vec<(u64, <N as Net>::Task)>>>;

/// Accepts and serves connections for as long as the member runs.
pub async fn run<N: Net>(member: Rc<Member<N>>, listener: N::Listener) {
    let net = member.net.clone();
    let connections: Connections<N> = Rc::default();
    let mut number = 0;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            net.sleep(Duration::from_millis(20)).await;
            continue;
        };
        stream.set_nodelay();
        if connections.borrow().len() >= MAX_CONNECTIONS {
            // The oldest connection is closed to make room.
            connections.borrow_mut().remove(0).1.abort();
        }
        number += 1;
        let (member, all_connections) = (member.clone(), connections.clone());
        let task = net.spawn(async move {
            serve(member, stream).await;
            all_connections.borrow_mut().retain(|(n, _)| *n != number);
        });
        connections.borrow_mut().push((number, task));
    }
}

async fn serve<N: Net>(member: Rc<Member<N>>, stream: N::Stream) {
    let net = member.net.clone();
    let last_request_at = Rc::new(std::cell::Cell::new(net.now()));
    let idle_since = last_request_at.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (member, last_request_at) = (member.clone(), last_request_at.clone());
        async move {
            let reply = route(&member, request).await;
            last_request_at.set(member.net.now());
            Ok::<_, Infallible>(reply)
        }
    });
    let mut http = http1::Builder::new();
    http.max_buf_size(16 * 1024).header_read_timeout(None);
    let connection = http.serve_connection(TokioIo::new(stream), service);
    let idle = async {
        loop {
            net.sleep_until(idle_since.get() + IDLE_TIMEOUT).await;
            if net.since(idle_since.get()) >= IDLE_TIMEOUT {
                return;
            }
        }
    };
    tokio::select! { _ = connection => {}, () = idle => {} }
}

async fn route<N: Net>(member: &Rc<Member<N>>, request: Request<Incoming>) -> Reply {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let query = request.uri().query().unwrap_or_default().to_owned();
    match (&method, path.as_str()) {
        (&Method::POST, "/v1/command") => handle_command(member, request).await,
        (&Method::POST, "/v1/members") => handle_member_change(member, request).await,
        (&Method::POST, "/raft") => handle_raft_messages(member, request).await,
        (&Method::GET, "/v1/leases") => linearizable_read(member, |core| leases(core, member.now())).await,
        (&Method::GET, "/v1/values") => linearizable_read(member, values).await,
        (&Method::GET, "/v1/fleet") => linearizable_read(member, fleet).await,
        (&Method::GET, "/v1/drains") => linearizable_read(member, drains).await,
        (&Method::GET, "/v1/watch") => handle_watch(member, &query).await,
        (&Method::GET, "/v1/status") => json_response(StatusCode::OK, &member.status()),
        (&Method::GET, "/metrics") => text_response(StatusCode::OK, member.metrics_text()),
        _ => error_response(member, Error::NotFound, format!("no such endpoint: {method:.10} {path:.100}")),
    }
}

async fn read_body(request: Request<Incoming>, max_bytes: usize) -> Result<Bytes, String> {
    let collected = Limited::new(request.into_body(), max_bytes).collect().await;
    collected
        .map(|body| body.to_bytes())
        .map_err(|_| format!("the body is longer than {max_bytes} bytes or incomplete"))
}

/// Parses a call and checks that it names this cluster; otherwise returns the error response.
async fn parse_call<T: for<'a> Deserialize<'a>, N: Net>(
    member: &Member<N>,
    request: Request<Incoming>,
    cluster: fn(&T) -> &str,
) -> Result<T, Box<Reply>> {
    let bad_call = |message| Box::new(error_response(member, Error::BadCall, message));
    let bytes = read_body(request, MAX_CALL_BYTES).await.map_err(bad_call)?;
    let call: T =
        serde_json::from_slice(&bytes).map_err(|e| bad_call(format!("can't parse the call: {e}")))?;
    let (own_cluster, other_cluster) = (&member.config.cluster, cluster(&call));
    if own_cluster != other_cluster {
        let message = format!("this is a coordinator of {own_cluster}, not of {other_cluster:.128}");
        return Err(error_response(member, Error::OtherCluster, message).into());
    }
    Ok(call)
}

async fn handle_command<N: Net>(member: &Rc<Member<N>>, request: Request<Incoming>) -> Reply {
    let call: Call = match parse_call(member, request, |call: &Call| &call.cluster).await {
        Ok(call) => call,
        Err(refusal) => return *refusal,
    };
    if let Command::Expire { .. } | Command::Due { .. } = call.command {
        let message = "only the leader may expire sessions and timers";
        return error_response(member, Error::BadCall, message.into());
    }
    outcome_response(member, member.propose(&call.command, COMMIT_TIMEOUT).await)
}

fn outcome_response<N: Net>(member: &Member<N>, outcome: ProposalOutcome) -> Reply {
    match outcome {
        ProposalOutcome::Applied(answer) => json_response(StatusCode::OK, &json!({"answer": answer})),
        ProposalOutcome::MembersChanged => json_response(StatusCode::OK, &json!({"answer": "changed"})),
        ProposalOutcome::NotLeading => {
            let not_leading = || "another member leads, or there is no leader".into();
            error_response(member, Error::NotLeader, member.store_failure().unwrap_or_else(not_leading))
        }
        ProposalOutcome::Unknown => {
            error_response(member, Error::Unknown, "not confirmed in time: it may have been done".into())
        }
    }
}

async fn handle_member_change<N: Net>(member: &Rc<Member<N>>, request: Request<Incoming>) -> Reply {
    let call: MemberCall = match parse_call(member, request, |call: &MemberCall| &call.cluster).await {
        Ok(call) => call,
        Err(refusal) => return *refusal,
    };
    match member.change_members(&call.change, COMMIT_TIMEOUT).await {
        Ok(outcome) => outcome_response(member, outcome),
        Err(message) => error_response(member, Error::BadCall, message),
    }
}

async fn handle_raft_messages<N: Net>(member: &Rc<Member<N>>, request: Request<Incoming>) -> Reply {
    let cluster = request.headers().get(CLUSTER).and_then(|v| v.to_str().ok()).unwrap_or_default();
    if cluster != member.config.cluster {
        let message = format!("this is a coordinator of {}, not of {cluster:.128}", member.config.cluster);
        return error_response(member, Error::OtherCluster, message);
    }
    let bytes = match read_body(request, MAX_RAFT_BODY_BYTES).await {
        Ok(bytes) => bytes,
        Err(message) => return error_response(member, Error::BadCall, message),
    };
    let mut received = Vec::new();
    let mut rest = &bytes[..];
    while let Some((length, remaining)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        let message = remaining.get(..length).and_then(|b| Message::parse_from_bytes(b).ok());
        let Some(message) = message.filter(|m| m.to == member.config.member) else {
            return error_response(
                member,
                Error::BadCall,
                "the body holds an invalid message or one for another member".into(),
            );
        };
        rest = &remaining[length..];
        received.push(message);
    }
    member.receive(received);
    json_response(StatusCode::OK, &json!({}))
}

/// Returns part of the replicated state, once a majority has confirmed that this member leads.
async fn linearizable_read<N: Net, T: Serialize>(
    member: &Member<N>,
    project: impl FnOnce(&Core) -> T,
) -> Reply {
    if !member.confirm_leadership(COMMIT_TIMEOUT).await {
        let unconfirmed = || "a majority did not confirm that this member leads".into();
        return error_response(member, Error::NotLeader, member.store_failure().unwrap_or_else(unconfirmed));
    }
    json_response(StatusCode::OK, &project(&member.core.borrow()))
}

fn leases(core: &Core, now: u64) -> Leases {
    let state = core.state();
    let leases = state.leases().iter().map(|(name, lease)| {
        let session = state.session(&lease.holder);
        LeaseInfo {
            lease: name.clone(),
            holder: lease.holder.clone(),
            fence: lease.fence,
            ttl_ms: session.map_or(0, |s| s.ttl_ms),
            left_ms: core.session_time_left(now, &lease.holder),
            broken: session.is_some_and(|s| s.broken),
            waiting: lease.waiting.iter().cloned().collect(),
        }
    });
    Leases { revision: state.revision(), floors: state.floors(), leases: leases.collect() }
}

fn values(core: &Core) -> serde_json::Value {
    json!({"revision": core.state().revision(), "values": core.state().values()})
}

fn fleet(core: &Core) -> FleetInfo {
    FleetInfo { revision: core.state().revision(), fleet: core.state().fleet().shown() }
}

fn drains(core: &Core) -> Drains {
    Drains { revision: core.state().revision(), drains: core.state().fleet().granted_drains() }
}

async fn handle_watch<N: Net>(member: &Rc<Member<N>>, query: &str) -> Reply {
    let query_number = |name: &str| {
        let pair = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
        pair.and_then(|(_, v)| v.parse::<u64>().ok())
    };
    let Some(after) = query_number("after") else {
        return error_response(
            member,
            Error::BadCall,
            "the query parameter `after` is missing: the revision of the last known change".into(),
        );
    };
    let deadline =
        member.net.now() + MAX_WATCH_WAIT.min(Duration::from_millis(query_number("wait_ms").unwrap_or(0)));
    loop {
        let changed = member.changed.notified();
        {
            let core = member.core.borrow();
            let Some(changes) = core.state().changes_since(after) else {
                let revision = core.state().revision();
                return json_response(
                    StatusCode::GONE,
                    &json!({"revision": revision, "error": "read_the_whole"}),
                );
            };
            let changes: Vec<_> = changes.take(MAX_CHANGES_PER_RESPONSE).collect();
            if !changes.is_empty() || member.net.now() >= deadline {
                let revision = changes.last().map_or(after, |(r, _)| *r);
                return json_response(StatusCode::OK, &json!({"revision": revision, "changes": changes}));
            }
        }
        member.net.timeout_at(deadline, changed).await;
    }
}

fn json_response(status: StatusCode, value: &impl Serialize) -> Reply {
    let mut reply = text_response(status, serde_json::to_string(value).unwrap_or_default() + "\n");
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

fn text_response(status: StatusCode, text: String) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply
}

fn error_response<N: Net>(member: &Member<N>, error: Error, message: String) -> Reply {
    let status = match error {
        Error::NotLeader => StatusCode::MISDIRECTED_REQUEST,
        Error::Unknown => StatusCode::SERVICE_UNAVAILABLE,
        Error::OtherCluster => StatusCode::FORBIDDEN,
        Error::BadCall => StatusCode::BAD_REQUEST,
        Error::NotFound => StatusCode::NOT_FOUND,
    };
    let leader = Some(member.core.borrow().leader()).filter(|l| *l != 0);
    json_response(status, &ErrorResponse { error, message, leader })
}
