//! The administration API: HTTP/1.1, one call per connection. Idle connections cannot block it: their number
//! and duration are bounded, and at the limit the oldest connection without a complete request is closed for
//! a new one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{ALLOW, CACHE_CONTROL, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mothpier_coordination::FencedAction;
use mothpier_membership::admin_drain::MAX_ID_BYTES;
use mothpier_net::{Listener, Net, Stream, Task};

use crate::operations::{Call, Operations, Reply};

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 16;
/// Descriptors to reserve: for the connections and the listener.
pub const DESCRIPTORS: usize = MAX_CONNECTIONS + 1;
/// Maximum duration of a connection. Callers wait for one second.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a request head: the smallest that the HTTP library accepts.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Header with the lease, its fence and the expiry of the call, as JSON.
const ACT_HEADER: &str = "x-mothpier-act";
/// Delay before accepting again after a failure, for example without free descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// An open connection.
struct Connection<N: Net> {
    task: N::Task,
    /// Whether its request has arrived completely.
    request_received: Rc<Cell<bool>>,
}

/// Open connections by number, which is in the order of their arrival.
type Connections<N> = Rc<RefCell<BTreeMap<u64, Connection<N>>>>;

/// Accepts and serves connections for the lifetime of the node.
pub async fn run<N: Net>(operations: Rc<Operations<N>>, listener: N::Listener) {
    let net = operations.net.clone();
    let connections: Connections<N> = Rc::default();
    let (mut number, mut accept_failing) = (0u64, false);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => {
                accept_failing = false;
                stream
            }
            Err(e) => {
                if !std::mem::replace(&mut accept_failing, true) {
                    net.log(format_args!("administration listener: accept failed: {e}; retrying"));
                }
                net.sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        stream.set_nodelay();
        evict_if_full(&connections);
        number += 1;
        let request_received = Rc::new(Cell::new(false));
        let (timer, operations, received, open) =
            (net.clone(), operations.clone(), request_received.clone(), connections.clone());
        let task = net.spawn(async move {
            timer.timeout(CONNECTION_TIMEOUT, serve(operations, stream, received)).await;
            open.borrow_mut().remove(&number);
        });
        connections.borrow_mut().insert(number, Connection { task, request_received });
    }
}

/// Makes room for a connection: at the limit, closes the oldest one without a complete request, or else the
/// oldest.
fn evict_if_full<N: Net>(connections: &Connections<N>) {
    let mut connections = connections.borrow_mut();
    if connections.len() < MAX_CONNECTIONS {
        return;
    }
    let oldest =
        connections.iter().min_by_key(|(number, connection)| (connection.request_received.get(), **number));
    if let Some(connection) = oldest.map(|(number, _)| *number).and_then(|number| connections.remove(&number))
    {
        connection.task.abort();
    }
}

async fn serve<N: Net>(operations: Rc<Operations<N>>, stream: N::Stream, request_received: Rc<Cell<bool>>) {
    let service = service_fn(move |request: Request<Incoming>| {
        let (operations, request_received) = (operations.clone(), request_received.clone());
        async move {
            let act = read_act(&request);
            let call = read_call(request).await;
            request_received.set(true);
            Ok::<_, Infallible>(match act.and_then(|act| Ok((call?, act))) {
                Ok((call, act)) => response_to(operations.call(call, act).await),
                Err(rejection) => *rejection,
            })
        }
    });
    let mut http = http1::Builder::new();
    // The connection as a whole has a timeout on the node's clock.
    http.keep_alive(false).max_buf_size(MAX_HEAD_BYTES).header_read_timeout(None);
    // The library answers malformed requests; a failed connection needs no answer.
    let _ = http.serve_connection(TokioIo::new(stream), service).await;
}

/// Parses a call. The error is the response to an invalid one.
async fn read_call(request: Request<Incoming>) -> Result<Call, Box<Response<Full<Bytes>>>> {
    let (method, post) = (request.method().clone(), request.method() == Method::POST);
    let get = method == Method::GET;
    let path = request.uri().path().to_owned();
    let allowed = match path.as_str() {
        "/api/ready" | "/api/telemetry" | "/api/clock" => (get, "GET"),
        "/api/exclude" | "/api/include" | "/api/evacuate" | "/api/rejoin" => (post, "POST"),
        _ => return Err(text_response(StatusCode::NOT_FOUND, format!("nothing is at {path:.200}\n")).into()),
    };
    if !allowed.0 {
        let mut rejection = text_response(
            StatusCode::METHOD_NOT_ALLOWED,
            format!("{path} takes {}, not {method:.20}\n", allowed.1),
        );
        rejection.headers_mut().insert(ALLOW, hyper::header::HeaderValue::from_static(allowed.1));
        return Err(rejection.into());
    }
    Ok(match path.as_str() {
        "/api/ready" => Call::Ready,
        "/api/telemetry" => Call::Telemetry,
        "/api/clock" => Call::Clock,
        "/api/exclude" => Call::Exclude(read_server_id(request).await?),
        "/api/include" => Call::Include(read_server_id(request).await?),
        "/api/evacuate" => Call::Evacuate,
        _ => Call::Rejoin,
    })
}

/// Parses the lease on whose behalf a call is made, if there is one.
fn read_act(request: &Request<Incoming>) -> Result<Option<FencedAction>, Box<Response<Full<Bytes>>>> {
    let Some(header) = request.headers().get(ACT_HEADER) else { return Ok(None) };
    let act = serde_json::from_slice(header.as_bytes());
    act.map(Some).map_err(|e| {
        text_response(StatusCode::BAD_REQUEST, format!("{ACT_HEADER} can't be read: {e}\n")).into()
    })
}

/// Reads the server id in the body.
async fn read_server_id(request: Request<Incoming>) -> Result<String, Box<Response<Full<Bytes>>>> {
    let bad_request = |why: &str| Box::new(text_response(StatusCode::BAD_REQUEST, format!("{why}\n")));
    let body = Limited::new(request.into_body(), MAX_ID_BYTES).collect().await;
    let body = body
        .map_err(|_| bad_request("the body is not an id: too long, or it did not come whole"))?
        .to_bytes();
    // Command-line tools append a line break.
    let text = std::str::from_utf8(&body).unwrap_or_default().trim();
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(bad_request("the body has to be the id of a cache server, in printable characters"));
    }
    Ok(text.to_owned())
}

/// Maps a reply to its HTTP response.
fn response_to(reply: Reply) -> Response<Full<Bytes>> {
    match reply {
        Reply::Done(text) => text_response(StatusCode::OK, text),
        Reply::NotFound(text) => text_response(StatusCode::NOT_FOUND, text),
        Reply::LeaseRejected(text) => text_response(StatusCode::CONFLICT, text),
        Reply::Unavailable(text) => text_response(StatusCode::SERVICE_UNAVAILABLE, text),
    }
}

fn text_response(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let header_value = hyper::header::HeaderValue::from_static;
    response.headers_mut().insert(CONTENT_TYPE, header_value("text/plain; version=0.0.4; charset=utf-8"));
    response.headers_mut().insert(CACHE_CONTROL, header_value("no-store"));
    response
}
