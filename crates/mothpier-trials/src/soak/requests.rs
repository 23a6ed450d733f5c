//! Single requests to a node that no client of the ledger sends.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends `PING` and returns what is answered.
pub(super) async fn ping(at: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(at).await.ok()?;
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").await.ok()?;
    let mut answer = vec![0; 64];
    let length = stream.read(&mut answer).await.ok()?;
    Some(String::from_utf8_lossy(&answer[..length]).into_owned())
}

/// Sends a read and returns the value that is answered.
pub(super) async fn last_request(at: SocketAddr, id: &str) -> Option<String> {
    let mut stream = TcpStream::connect(at).await.ok()?;
    let words = ["CACHE.GET", "key-1", id, "c=read,t=acme,d=1500"];
    let mut bytes = format!("*{}\r\n", words.len());
    words.iter().for_each(|word| bytes += &format!("${}\r\n{word}\r\n", word.len()));
    stream.write_all(bytes.as_bytes()).await.ok()?;
    let mut answer = vec![0; 256];
    let length = stream.read(&mut answer).await.ok()?;
    let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
    answer.split("\r\n").nth(1).map(str::to_owned)
}

/// Returns the telemetry of a node by its operators' address.
pub(super) async fn telemetry(admin: &str) -> Option<String> {
    let mut stream = TcpStream::connect(admin).await.ok()?;
    let call = "GET /api/telemetry HTTP/1.1\r\nHost: node\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(call.as_bytes()).await.ok()?;
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text).await;
    Some(text)
}
