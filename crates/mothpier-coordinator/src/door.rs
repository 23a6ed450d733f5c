//! HTTP/1.1: clients' calls, other members' messages, figures. What can't be read is answered and changes nothing; another
//! fleet's calls are refused by its name.

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
use crate::core::{Core, Ended};

/// Connections that are let in at once.
const CALLERS: usize = 1024;
/// A connection that has said nothing whole for so long is closed.
const QUIET: Duration = Duration::from_secs(90);
/// Bytes of a client's call: a list of as many cache servers as a fleet may have.
const CALL: usize = 512 * 1024;
/// Bytes of other members' messages: a snapshot of all that the limits let in.
const MESSAGES: usize = 64 * 1024 * 1024;
/// A command that is not committed by then may be later, or never.
const COMMIT: Duration = Duration::from_secs(3);
/// A watch waits so long at the most.
const WATCH: Duration = Duration::from_secs(60);
/// Changes in one answer to a watch.
const CHANGES: usize = 512;
type Reply = Response<Full<Bytes>>;

/// Those who are in, the first one first.
type Callers<N> = Rc<RefCell<Vec<(u64, <N as Net>::Task)>>>;

/// Lets callers in for as long as the member lives.
pub async fn run<N: Net>(member: Rc<Member<N>>, listener: N::Listener) {
    let net = member.net.clone();
    let callers: Callers<N> = Rc::default();
    let mut number = 0;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            net.sleep(Duration::from_millis(20)).await;
            continue;
        };
        stream.set_nodelay();
        if callers.borrow().len() >= CALLERS {
            // The one that came first goes: it has had its time.
            callers.borrow_mut().remove(0).1.abort();
        }
        number += 1;
        let (member, all) = (member.clone(), callers.clone());
        let task = net.spawn(async move {
            serve(member, stream).await;
            all.borrow_mut().retain(|(n, _)| *n != number);
        });
        callers.borrow_mut().push((number, task));
    }
}

async fn serve<N: Net>(member: Rc<Member<N>>, stream: N::Stream) {
    let net = member.net.clone();
    let heard = Rc::new(std::cell::Cell::new(net.now()));
    let said = heard.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (member, heard) = (member.clone(), heard.clone());
        async move {
            let reply = answer(&member, request).await;
            heard.set(member.net.now());
            Ok::<_, Infallible>(reply)
        }
    });
    let mut http = http1::Builder::new();
    http.max_buf_size(16 * 1024).header_read_timeout(None);
    let connection = http.serve_connection(TokioIo::new(stream), service);
    let quiet = async {
        loop {
            net.sleep_until(said.get() + QUIET).await;
            if net.since(said.get()) >= QUIET {
                return;
            }
        }
    };
    tokio::select! { _ = connection => {}, () = quiet => {} }
}

async fn answer<N: Net>(member: &Rc<Member<N>>, request: Request<Incoming>) -> Reply {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let query = request.uri().query().unwrap_or_default().to_owned();
    match (&method, path.as_str()) {
        (&Method::POST, "/v1/command") => command(member, request).await,
        (&Method::POST, "/v1/members") => members(member, request).await,
        (&Method::POST, "/raft") => messages(member, request).await,
        (&Method::GET, "/v1/leases") => shown(member, |core| leases(core, member.now())).await,
        (&Method::GET, "/v1/values") => shown(member, values).await,
        (&Method::GET, "/v1/fleet") => shown(member, fleet).await,
        (&Method::GET, "/v1/drains") => shown(member, drains).await,
        (&Method::GET, "/v1/watch") => watch(member, &query).await,
        (&Method::GET, "/v1/status") => said(StatusCode::OK, &member.status()),
        (&Method::GET, "/metrics") => text(StatusCode::OK, member.figures()),
        _ => failed(member, Error::NotFound, format!("nothing is at {method:.10} {path:.100}")),
    }
}

async fn body(request: Request<Incoming>, most: usize) -> Result<Bytes, String> {
    let whole = Limited::new(request.into_body(), most).collect().await;
    whole.map(|w| w.to_bytes()).map_err(|_| format!("the body is over {most} bytes, or did not come whole"))
}

/// Reads a call of this fleet; the answer where it is none.
async fn read<T: for<'a> Deserialize<'a>, N: Net>(
    member: &Member<N>,
    request: Request<Incoming>,
    cluster: fn(&T) -> &str,
) -> Result<T, Box<Reply>> {
    let bad = |why| Box::new(failed(member, Error::BadCall, why));
    let bytes = body(request, CALL).await.map_err(bad)?;
    let call: T = serde_json::from_slice(&bytes).map_err(|e| bad(format!("the call can't be read: {e}")))?;
    let (own, other) = (&member.config.cluster, cluster(&call));
    if own != other {
        let why = format!("this is a coordinator of {own}, not of {other:.128}");
        return Err(failed(member, Error::OtherCluster, why).into());
    }
    Ok(call)
}

async fn command<N: Net>(member: &Rc<Member<N>>, request: Request<Incoming>) -> Reply {
    let call: Call = match read(member, request, |call: &Call| &call.cluster).await {
        Ok(call) => call,
        Err(refusal) => return *refusal,
    };
    if let Command::Expire { .. } | Command::Due { .. } = call.command {
        let why = "sessions and timers are ended by their leader alone";
        return failed(member, Error::BadCall, why.into());
    }
    ended(member, member.propose(&call.command, COMMIT).await)
}

fn ended<N: Net>(member: &Member<N>, ended: Ended) -> Reply {
    match ended {
        Ended::Answered(answer) => said(StatusCode::OK, &json!({"answer": answer})),
        Ended::Changed => said(StatusCode::OK, &json!({"answer": "changed"})),
        Ended::NotLeading => {
            let no_leader = || "another member leads, or none".into();
            failed(member, Error::NotLeader, member.store_failure().unwrap_or_else(no_leader))
        }
        Ended::Unknown => {
            failed(member, Error::Unknown, "not confirmed in time: it may have been done".into())
        }
    }
}

async fn members<N: Net>(member: &Rc<Member<N>>, request: Request<Incoming>) -> Reply {
    let call: MemberCall = match read(member, request, |call: &MemberCall| &call.cluster).await {
        Ok(call) => call,
        Err(refusal) => return *refusal,
    };
    match member.change(&call.change, COMMIT).await {
        Ok(done) => ended(member, done),
        Err(why) => failed(member, Error::BadCall, why),
    }
}

async fn messages<N: Net>(member: &Rc<Member<N>>, request: Request<Incoming>) -> Reply {
    let cluster = request.headers().get(CLUSTER).and_then(|v| v.to_str().ok()).unwrap_or_default();
    if cluster != member.config.cluster {
        let why = format!("this is a coordinator of {}, not of {cluster:.128}", member.config.cluster);
        return failed(member, Error::OtherCluster, why);
    }
    let bytes = match body(request, MESSAGES).await {
        Ok(bytes) => bytes,
        Err(why) => return failed(member, Error::BadCall, why),
    };
    let mut read = Vec::new();
    let mut rest = &bytes[..];
    while let Some((length, behind)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        let message = behind.get(..length).and_then(|b| Message::parse_from_bytes(b).ok());
        let Some(message) = message.filter(|m| m.to == member.config.member) else {
            return failed(member, Error::BadCall, "these are no messages for this member".into());
        };
        rest = &behind[length..];
        read.push(message);
    }
    member.take(read);
    said(StatusCode::OK, &json!({}))
}

/// Shows something of what is agreed, once a majority has confirmed that this member leads.
async fn shown<N: Net, T: Serialize>(member: &Member<N>, show: impl FnOnce(&Core) -> T) -> Reply {
    if !member.confirmed(COMMIT).await {
        let unconfirmed = || "a majority did not confirm that this member leads".into();
        return failed(member, Error::NotLeader, member.store_failure().unwrap_or_else(unconfirmed));
    }
    said(StatusCode::OK, &show(&member.core.borrow()))
}

fn leases(core: &Core, now: u64) -> Leases {
    let agreed = core.agreed();
    let leases = agreed.leases().iter().map(|(name, lease)| {
        let session = agreed.session(&lease.holder);
        LeaseInfo {
            lease: name.clone(),
            holder: lease.holder.clone(),
            fence: lease.fence,
            ttl_ms: session.map_or(0, |s| s.ttl_ms),
            left_ms: core.left(now, &lease.holder),
            broken: session.is_some_and(|s| s.broken),
            waiting: lease.waiting.iter().cloned().collect(),
        }
    });
    Leases { revision: agreed.revision(), floors: agreed.floors(), leases: leases.collect() }
}

fn values(core: &Core) -> serde_json::Value {
    json!({"revision": core.agreed().revision(), "values": core.agreed().values()})
}

fn fleet(core: &Core) -> FleetInfo {
    FleetInfo { revision: core.agreed().revision(), fleet: core.agreed().fleet().shown() }
}

fn drains(core: &Core) -> Drains {
    Drains { revision: core.agreed().revision(), drains: core.agreed().fleet().granted_drains() }
}

async fn watch<N: Net>(member: &Rc<Member<N>>, query: &str) -> Reply {
    let figure = |name: &str| {
        let pair = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
        pair.and_then(|(_, v)| v.parse::<u64>().ok())
    };
    let Some(after) = figure("after") else {
        return failed(
            member,
            Error::BadCall,
            "`after` is missing: the number of the last change known".into(),
        );
    };
    let until = member.net.now() + WATCH.min(Duration::from_millis(figure("wait_ms").unwrap_or(0)));
    loop {
        let word = member.changed.notified();
        {
            let core = member.core.borrow();
            let Some(changes) = core.agreed().changes_since(after) else {
                let revision = core.agreed().revision();
                return said(StatusCode::GONE, &json!({"revision": revision, "error": "read_the_whole"}));
            };
            let changes: Vec<_> = changes.take(CHANGES).collect();
            if !changes.is_empty() || member.net.now() >= until {
                let revision = changes.last().map_or(after, |(r, _)| *r);
                return said(StatusCode::OK, &json!({"revision": revision, "changes": changes}));
            }
        }
        member.net.timeout_at(until, word).await;
    }
}

fn said(status: StatusCode, value: &impl Serialize) -> Reply {
    let mut reply = text(status, serde_json::to_string(value).unwrap_or_default() + "\n");
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

fn text(status: StatusCode, text: String) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply
}

fn failed<N: Net>(member: &Member<N>, error: Error, message: String) -> Reply {
    let status = match error {
        Error::NotLeader => StatusCode::MISDIRECTED_REQUEST,
        Error::Unknown => StatusCode::SERVICE_UNAVAILABLE,
        Error::OtherCluster => StatusCode::FORBIDDEN,
        Error::BadCall => StatusCode::BAD_REQUEST,
        Error::NotFound => StatusCode::NOT_FOUND,
    };
    let leader = Some(member.core.borrow().leader()).filter(|l| *l != 0);
    said(status, &ErrorResponse { error, message, leader })
}
