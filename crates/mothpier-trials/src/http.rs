//! One call over HTTP/1.1, and its answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Bytes of an answer.
const ANSWER: usize = 1 << 20;

/// Calls, and gives the status and the text.
///
/// # Errors
///
/// Why there was no answer in time.
pub async fn ask(
    to: SocketAddr,
    method: &str,
    path: &str,
    act: Option<&str>,
    body: &str,
    within: Duration,
) -> Result<(u16, String), String> {
    let call = async {
        let stream = TcpStream::connect(to).await.map_err(|e| e.to_string())?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
        let driver = tokio::task::spawn_local(async move { drop(connection.await) });
        let mut request = Request::builder().method(method).uri(path).header("host", to.to_string());
        if let Some(act) = act {
            request = request.header("x-mothpier-act", act);
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned()))).map_err(|e| e.to_string())?;
        let answered = async {
            let reply = sender.send_request(request).await.map_err(|e| e.to_string())?;
            let status = reply.status().as_u16();
            let whole = Limited::new(reply.into_body(), ANSWER).collect().await.map_err(|e| e.to_string())?;
            Ok((status, String::from_utf8_lossy(&whole.to_bytes()).into_owned()))
        };
        let answered = answered.await;
        driver.abort();
        answered
    };
    tokio::time::timeout(within, call).await.unwrap_or_else(|_| Err("no answer in time".into()))
}
