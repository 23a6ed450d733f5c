//! The operators' door: HTTP/1.1, one call to a connection. Callers that say nothing hold up nobody: a bounded number is
//! let in, each for a bounded time, and the oldest that has said nothing goes when another comes.

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
use mothpier_membership::admin_drain::MOST_ID;
use mothpier_net::{Listener, Net, Stream, Task};

use crate::operations::{Call, Operations, Reply};

/// Callers that are let in.
const CALLERS: usize = 16;
/// Descriptors that are set aside: theirs and the listener's.
pub const DESCRIPTORS: usize = CALLERS + 1;
/// A connection ends by then, whatever it said: callers wait a second.
const CALL: Duration = Duration::from_secs(5);
/// The least that the library takes for a head.
const HEAD: usize = 8 * 1024;
/// The header that names a lease, its fence and the act's time, as JSON.
const ACT: &str = "x-mothpier-act";
/// Between tries to accept while there is no descriptor left.
const PAUSE: Duration = Duration::from_millis(20);

/// One caller.
struct Caller<N: Net> {
    task: N::Task,
    /// Its call has come whole.
    spoke: Rc<Cell<bool>>,
}

/// Those who are in, by the order in which they came.
type Callers<N> = Rc<RefCell<BTreeMap<u64, Caller<N>>>>;

/// Lets callers in for as long as the node lives.
pub async fn run<N: Net>(operations: Rc<Operations<N>>, listener: N::Listener) {
    let net = operations.net.clone();
    let callers: Callers<N> = Rc::default();
    let (mut number, mut failing) = (0u64, false);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => {
                failing = false;
                stream
            }
            Err(e) => {
                if !std::mem::replace(&mut failing, true) {
                    net.log(format_args!("the operators' door: accepting failed: {e}"));
                }
                net.sleep(PAUSE).await;
                continue;
            }
        };
        stream.set_nodelay();
        make_room(&callers);
        number += 1;
        let spoke = Rc::new(Cell::new(false));
        let (machine, operations, said, all) =
            (net.clone(), operations.clone(), spoke.clone(), callers.clone());
        let task = net.spawn(async move {
            machine.timeout(CALL, serve(operations, stream, said)).await;
            all.borrow_mut().remove(&number);
        });
        callers.borrow_mut().insert(number, Caller { task, spoke });
    }
}

/// Sees that one more can come: the oldest that has not asked yet goes, or else the oldest.
fn make_room<N: Net>(callers: &Callers<N>) {
    let mut callers = callers.borrow_mut();
    if callers.len() < CALLERS {
        return;
    }
    let oldest = callers.iter().min_by_key(|(number, caller)| (caller.spoke.get(), **number));
    if let Some(caller) = oldest.map(|(number, _)| *number).and_then(|number| callers.remove(&number)) {
        caller.task.abort();
    }
}

async fn serve<N: Net>(operations: Rc<Operations<N>>, stream: N::Stream, spoke: Rc<Cell<bool>>) {
    let service = service_fn(move |request: Request<Incoming>| {
        let (operations, spoke) = (operations.clone(), spoke.clone());
        async move {
            let act = act(&request);
            let call = read(request).await;
            spoke.set(true);
            Ok::<_, Infallible>(match act.and_then(|act| Ok((call?, act))) {
                Ok((call, act)) => said(operations.call(call, act).await),
                Err(refusal) => *refusal,
            })
        }
    });
    let mut http = http1::Builder::new();
    // Its time is bounded as a whole, by this machine's own clock.
    http.keep_alive(false).max_buf_size(HEAD).header_read_timeout(None);
    // Whoever can't be read is answered by the library; a caller that has gone needs nothing.
    let _ = http.serve_connection(TokioIo::new(stream), service).await;
}

/// Reads what is called; the answer where it is none.
async fn read(request: Request<Incoming>) -> Result<Call, Box<Response<Full<Bytes>>>> {
    let (method, post) = (request.method().clone(), request.method() == Method::POST);
    let get = method == Method::GET;
    let path = request.uri().path().to_owned();
    let wanted = match path.as_str() {
        "/api/ready" | "/api/telemetry" | "/api/clock" => (get, "GET"),
        "/api/exclude" | "/api/include" | "/api/evacuate" | "/api/rejoin" => (post, "POST"),
        _ => return Err(answer(StatusCode::NOT_FOUND, format!("nothing is at {path:.200}\n")).into()),
    };
    if !wanted.0 {
        let mut refusal =
            answer(StatusCode::METHOD_NOT_ALLOWED, format!("{path} takes {}, not {method:.20}\n", wanted.1));
        refusal.headers_mut().insert(ALLOW, hyper::header::HeaderValue::from_static(wanted.1));
        return Err(refusal.into());
    }
    Ok(match path.as_str() {
        "/api/ready" => Call::Ready,
        "/api/telemetry" => Call::Figures,
        "/api/clock" => Call::Clock,
        "/api/exclude" => Call::Exclude(id(request).await?),
        "/api/include" => Call::Include(id(request).await?),
        "/api/evacuate" => Call::Evacuate,
        _ => Call::Rejoin,
    })
}

/// The lease in whose name a call is made, where its head names one.
fn act(request: &Request<Incoming>) -> Result<Option<FencedAction>, Box<Response<Full<Bytes>>>> {
    let Some(named) = request.headers().get(ACT) else { return Ok(None) };
    let act = serde_json::from_slice(named.as_bytes());
    act.map(Some).map_err(|e| answer(StatusCode::BAD_REQUEST, format!("{ACT} can't be read: {e}\n")).into())
}

/// The id that a body holds.
async fn id(request: Request<Incoming>) -> Result<String, Box<Response<Full<Bytes>>>> {
    let bad = |why: &str| Box::new(answer(StatusCode::BAD_REQUEST, format!("{why}\n")));
    let whole = Limited::new(request.into_body(), MOST_ID).collect().await;
    let whole =
        whole.map_err(|_| bad("the body is not an id: too long, or it did not come whole"))?.to_bytes();
    // Tools end a line that a person writes.
    let text = std::str::from_utf8(&whole).unwrap_or_default().trim();
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(bad("the body has to be the id of a cache server, in printable characters"));
    }
    Ok(text.to_owned())
}

fn said(reply: Reply) -> Response<Full<Bytes>> {
    match reply {
        Reply::Yes(text) => answer(StatusCode::OK, text),
        Reply::NotFound(text) => answer(StatusCode::NOT_FOUND, text),
        Reply::Disobeyed(text) => answer(StatusCode::CONFLICT, text),
        Reply::No(text) => answer(StatusCode::SERVICE_UNAVAILABLE, text),
    }
}

fn answer(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let fixed = hyper::header::HeaderValue::from_static;
    response.headers_mut().insert(CONTENT_TYPE, fixed("text/plain; version=0.0.4; charset=utf-8"));
    response.headers_mut().insert(CACHE_CONTROL, fixed("no-store"));
    response
}
