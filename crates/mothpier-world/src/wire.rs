//! RESP2 and HTTP/1.1 as the stand-ins read and write them. Written apart from the node's own reader on purpose: a
//! mistake there must not be repeated here.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use bytes::{Buf, BytesMut};
use mothpier_net::{Listener, Net, ReadHalf};
use tokio::io::{AsyncWrite, AsyncWriteExt};

/// The longest line and the largest value that a stand-in takes.
const MOST: usize = 1 << 20;

/// Takes a whole command (an array of bulk strings) off a buffer: its words, and its bytes.
///
/// # Errors
///
/// What can't become a command.
pub fn command(buffer: &mut BytesMut) -> Result<Option<Vec<String>>, String> {
    let Some((mut at, count)) = header(buffer, 0, b'*')? else { return Ok(None) };
    let mut words = Vec::new();
    for _ in 0..count.unwrap_or(0) {
        let Some((start, length)) = header(buffer, at, b'$')? else { return Ok(None) };
        let end = start + length.ok_or("a null word")?;
        if buffer.len() < end + 2 {
            return Ok(None);
        }
        words.push(String::from_utf8_lossy(&buffer[start..end]).into_owned());
        at = end + 2;
    }
    buffer.advance(at);
    Ok(Some(words))
}

/// The number in a header line of a kind, and where the line ends; a length of -1 is `None`.
fn header(bytes: &[u8], at: usize, kind: u8) -> Result<Option<(usize, Option<usize>)>, String> {
    let Some(first) = bytes.get(at) else { return Ok(None) };
    if *first != kind {
        return Err(format!("{:?} where {:?} belongs", char::from(*first), char::from(kind)));
    }
    let Some(end) = bytes[at..].iter().position(|b| *b == b'\n') else { return Ok(None) };
    let text = String::from_utf8_lossy(&bytes[at + 1..at + end]);
    match text.trim_end() {
        "-1" => Ok(Some((at + end + 1, None))),
        number => match number.parse::<usize>() {
            Ok(n) if n <= MOST => Ok(Some((at + end + 1, Some(n)))),
            _ => Err(format!("a length of {number:?}")),
        },
    }
}

/// One answer to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A bulk string, or an array that begins with one.
    Value(String),
    /// `-BUSY`, with the milliseconds after which to come again.
    Busy(Option<u64>),
    /// Another error line, or null.
    Error(String),
    /// A simple line.
    Line(String),
}

/// Takes a whole answer off a buffer.
///
/// # Errors
///
/// What can't become an answer.
pub fn answer(buffer: &mut BytesMut) -> Result<Option<Answer>, String> {
    match buffer.first() {
        None => Ok(None),
        Some(b'$') => {
            let Some((start, length)) = header(buffer, 0, b'$')? else { return Ok(None) };
            let Some(length) = length else {
                buffer.advance(start);
                return Ok(Some(Answer::Error("null".into())));
            };
            if buffer.len() < start + length + 2 {
                return Ok(None);
            }
            let value = String::from_utf8_lossy(&buffer[start..start + length]).into_owned();
            buffer.advance(start + length + 2);
            Ok(Some(Answer::Value(value)))
        }
        Some(kind @ (b'-' | b'+')) => {
            let kind = *kind;
            let Some(end) = buffer.iter().position(|b| *b == b'\n') else { return Ok(None) };
            let text = String::from_utf8_lossy(&buffer[1..end]).trim_end().to_owned();
            buffer.advance(end + 1);
            Ok(Some(match (kind, text.strip_prefix("BUSY")) {
                (b'+', _) => Answer::Line(text),
                (_, Some(rest)) => Answer::Busy(rest.trim().parse().ok()),
                _ => Answer::Error(text),
            }))
        }
        Some(other) => Err(format!("an answer that begins with {:?}", char::from(*other))),
    }
}

/// Takes a whole answer of a box off a buffer, whatever its form; the text of an error line, nothing of the rest.
///
/// # Errors
///
/// What can't become an answer.
pub fn said(buffer: &mut BytesMut) -> Result<Option<Option<String>>, String> {
    let (mut at, mut left, mut error) = (0, 1usize, None);
    while left > 0 {
        left -= 1;
        let Some(kind) = buffer.get(at).copied() else { return Ok(None) };
        match kind {
            b'*' => {
                let Some((next, count)) = header(buffer, at, kind)? else { return Ok(None) };
                (at, left) = (next, left + count.unwrap_or(0));
            }
            b'$' => {
                let Some((next, length)) = header(buffer, at, kind)? else { return Ok(None) };
                at = next + length.map_or(0, |l| l + 2);
                if buffer.len() < at {
                    return Ok(None);
                }
                // Behind half an answer the next one begins anywhere: what it then looks like belongs to nobody.
                if length.is_some() && buffer[at - 2..at] != b"\r\n"[..] {
                    return Err("a value without its end".into());
                }
            }
            b'+' | b'-' | b':' => {
                let Some(end) = buffer[at..].iter().position(|b| *b == b'\n') else { return Ok(None) };
                if kind == b'-' {
                    error = Some(String::from_utf8_lossy(&buffer[at + 1..at + end]).trim_end().to_owned());
                }
                at += end + 1;
            }
            other => return Err(format!("an answer that begins with {:?}", char::from(other))),
        }
    }
    buffer.advance(at);
    Ok(Some(error))
}

/// The bytes of a command.
pub fn encode(words: &[&str]) -> Vec<u8> {
    let mut text = format!("*{}\r\n", words.len());
    for word in words {
        text += &format!("${}\r\n{word}\r\n", word.len());
    }
    text.into_bytes()
}

/// A value of the list of names and values that requests carry.
pub fn extra<'a>(extras: &'a str, name: &str) -> Option<&'a str> {
    extras.split(',').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
}

/// An HTTP request: its method, its path, headers in lower case, and its body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Call {
    /// `GET` or `PUT`.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// Names in lower case, values as they came.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

impl Call {
    /// A header's value.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v.as_str())
    }
}

/// Takes a whole HTTP request off a buffer.
///
/// # Errors
///
/// What can't become a request.
pub fn call(buffer: &mut BytesMut) -> Result<Option<Call>, String> {
    let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") else {
        return if buffer.len() > MOST { Err("a head without end".into()) } else { Ok(None) };
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut first = lines.next().unwrap_or_default().split(' ');
    let (method, path) = (first.next().unwrap_or_default(), first.next().ok_or("no path")?);
    let headers: Vec<(String, String)> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    let mut call = Call { method: method.into(), path: path.into(), headers, body: String::new() };
    let length: usize = match call.header("content-length") {
        "" => 0,
        n => n.parse().ok().filter(|n| *n <= MOST).ok_or("a bad length")?,
    };
    if buffer.len() < end + 4 + length {
        return Ok(None);
    }
    buffer.advance(end + 4);
    call.body = String::from_utf8_lossy(&buffer.split_to(length)).into_owned();
    Ok(Some(call))
}

/// The bytes of an HTTP answer.
pub fn reply(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len()).into_bytes()
}

/// Reads on until something has come; `false` at the end.
///
/// # Errors
///
/// The connection's.
pub async fn read_more(reading: &impl ReadHalf, buffer: &mut BytesMut) -> io::Result<bool> {
    loop {
        reading.readable().await?;
        buffer.reserve(4096);
        match reading.try_read_buf(buffer) {
            Ok(n) => return Ok(n > 0),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
}

/// Reads on until an HTTP request is whole; one that can't be read is answered 400. `None` ends the connection.
///
/// # Errors
///
/// The connection's.
pub async fn next_call(
    reading: &impl ReadHalf,
    writing: &mut (impl AsyncWrite + Unpin),
    buffer: &mut BytesMut,
) -> io::Result<Option<Call>> {
    loop {
        match call(buffer) {
            Ok(Some(call)) => return Ok(Some(call)),
            Ok(None) if read_more(reading, buffer).await? => {}
            Ok(None) => return Ok(None),
            Err(e) => {
                writing.write_all(&reply("400 Bad Request", "", &e)).await?;
                return Ok(None);
            }
        }
    }
}

/// Listens, and serves each connection with a task of its own until the machine ends them; gives the address.
///
/// # Errors
///
/// An address that can't be listened on.
pub async fn listen<N: Net, F: Future<Output = ()> + 'static>(
    net: &N,
    at: SocketAddr,
    serve: impl Fn(N::Stream) -> F + 'static,
) -> io::Result<SocketAddr> {
    let listener = net.listen(at).await?;
    let address = listener.local_addr()?;
    let machine = net.clone();
    net.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            machine.spawn(serve(stream));
        }
    });
    Ok(address)
}

#[cfg(test)]
mod tests;
