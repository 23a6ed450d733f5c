//! RESP2 frames off a buffer and onto one. The crate decodes; the scan before it bounds what it is given.

use std::fmt;

use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::types::BytesFrame;
use redis_protocol::resp2::{decode, encode};

/// The largest value that is held whole; a larger one is passed on as it comes.
pub const MAX_VALUE: usize = 64 * 1024;
/// The largest value of a key.
pub const MAX_PASSED: usize = 4 << 20;
/// The longest simple string or error line.
const MAX_LINE: usize = 1024;
/// The longest number of a header, with its end of line.
const MAX_NUMBER: usize = 12;
/// Elements of one frame, nested ones too.
const MAX_ELEMENTS: usize = 32;

/// The one command that may come as a line.
const HELLO: &[u8] = b"HELLO";
/// Arrays within arrays: the decoder recurses so deep.
const MAX_DEPTH: usize = 8;

/// How large one frame may be.
pub struct Bounds {
    /// Bytes of a value.
    pub value: usize,
    /// Elements, nested ones too.
    pub elements: usize,
}

/// Of commands and of answers to them.
const FRAME: Bounds = Bounds { value: MAX_VALUE, elements: MAX_ELEMENTS };

/// What can't be the beginning of a frame, in words.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// Takes the first whole frame off a buffer; `None` while it has not all come.
pub fn take_frame(buffer: &mut BytesMut) -> Result<Option<BytesFrame>, Malformed> {
    take_within(buffer, &FRAME)
}

/// Takes the first whole frame off a buffer, as [`take_frame`] does, with other bounds.
pub fn take_within(buffer: &mut BytesMut, bounds: &Bounds) -> Result<Option<BytesFrame>, Malformed> {
    let Some(end) = frame_end(buffer, bounds)? else { return Ok(None) };
    let bytes = buffer.split_to(end).freeze();
    match decode::decode_bytes(&bytes) {
        Ok(Some((frame, used))) if used == end => Ok(Some(frame)),
        _ => Err(Malformed("unreadable frame")),
    }
}

/// The words of a client's command whose last one is too large to be taken like others, and how long that one is.
#[derive(Debug, PartialEq, Eq)]
pub struct LargeCommand {
    /// Those before it.
    pub words: Vec<Bytes>,
    /// Bytes of the command up to the value.
    pub head: usize,
    /// Bytes of the value.
    pub length: usize,
}

/// Reads the head of a command whose last word is a large value; `None` for any other command, and while it can't be told
/// yet.
pub fn large_command(buffer: &[u8]) -> Option<LargeCommand> {
    let number = |at: usize, kind: u8| -> Option<(usize, usize)> {
        let digits = buffer.get(at..)?.strip_prefix(&[kind])?;
        let end = digits.iter().take(MAX_NUMBER).position(|b| *b == b'\r')?;
        let text = digits.get(..end).filter(|d| d.iter().all(u8::is_ascii_digit))?;
        let whole = digits.get(end..end + 2)? == b"\r\n";
        let number = std::str::from_utf8(text).ok()?.parse().ok()?;
        whole.then_some((number, at + 1 + end + 2))
    };
    let (count, mut at) = number(0, b'*')?;
    if count > MAX_ELEMENTS {
        return None;
    }
    let mut words = Vec::new();
    for last in (1..=count).map(|n| n == count) {
        let (length, from) = number(at, b'$')?;
        if last && length > MAX_VALUE && length <= MAX_PASSED {
            return Some(LargeCommand { words, head: from, length });
        }
        words.push(Bytes::copy_from_slice(buffer.get(from..from.checked_add(length)?)?));
        at = from + length + 2;
    }
    None
}

/// The beginning of a server's answer whose value is too large to be held.
#[derive(Debug, PartialEq, Eq)]
pub struct Begun {
    /// Bytes before the value.
    pub head: usize,
    /// Bytes of the value.
    pub length: usize,
    /// Frames behind it.
    pub behind: usize,
}

/// Whether a buffer begins with an answer whose value is too large to be held: a value alone, or one that leads an array
/// of three. `None` also while it can't be told yet.
pub fn begins_large(buffer: &[u8]) -> Option<Begun> {
    let (array, rest) = match buffer.strip_prefix(b"*3\r\n") {
        Some(rest) => (true, rest),
        None => (false, buffer),
    };
    let digits = rest.strip_prefix(b"$")?;
    let end = digits.iter().take(MAX_NUMBER).position(|b| *b == b'\r')?;
    let text = digits.get(..end).filter(|d| d.iter().all(u8::is_ascii_digit))?;
    let length: usize = std::str::from_utf8(text).ok()?.parse().ok()?;
    let whole = digits.get(end..end + 2)? == b"\r\n";
    let head = buffer.len() - digits.len() + end + 2;
    let large = whole && length > MAX_VALUE && length <= MAX_PASSED;
    large.then_some(Begun { head, length, behind: if array { 2 } else { 0 } })
}

/// Takes a client's first whole command off a buffer: a frame with values up to a size, or `HELLO` as a line of words, the form in which the
/// RESP3 specification writes it and some libraries send it. No other command may come as a line.
pub fn take_command(buffer: &mut BytesMut, most: usize) -> Result<Option<BytesFrame>, Malformed> {
    if !matches!(buffer.first(), Some(b'H' | b'h')) {
        return take_within(buffer, &Bounds { value: most, ..FRAME });
    }
    let name = &buffer[..buffer.len().min(HELLO.len())];
    if !name.eq_ignore_ascii_case(&HELLO[..name.len()]) {
        return Err(Malformed("unknown frame type"));
    }
    let Some(end) = buffer.iter().take(MAX_LINE).position(|b| *b == b'\n') else {
        return if buffer.len() >= MAX_LINE { Err(Malformed("line too long")) } else { Ok(None) };
    };
    let line = buffer.split_to(end + 1).freeze();
    let words: Vec<_> = line
        .split(|b| b.is_ascii_whitespace())
        .filter(|word| !word.is_empty())
        .map(|word| BytesFrame::BulkString(line.slice_ref(word)))
        .collect();
    let known = matches!(words.first(), Some(BytesFrame::BulkString(w)) if w.len() == HELLO.len());
    if known { Ok(Some(BytesFrame::Array(words))) } else { Err(Malformed("unknown frame type")) }
}

/// Where the first frame ends. Walks headers only, so that a value that comes in many parts is not decoded
/// anew with each, and refuses what is too large or too deep before anything is kept for it.
fn frame_end(bytes: &[u8], bounds: &Bounds) -> Result<Option<usize>, Malformed> {
    let (mut at, mut left, mut seen) = (0, 1usize, 0usize);
    // For each array that is open how many of its elements are still to come.
    let (mut open, mut depth) = ([0; MAX_DEPTH], 0);
    while left > 0 {
        left -= 1;
        seen += 1;
        while depth > 0 && open[depth - 1] == 0 {
            depth -= 1;
        }
        if depth > 0 {
            open[depth - 1] -= 1;
        }
        let Some(kind) = bytes.get(at) else { return Ok(None) };
        let limit = match kind {
            b'$' | b'*' => MAX_NUMBER,
            b':' => MAX_NUMBER * 2,
            b'+' | b'-' => MAX_LINE,
            _ => return Err(Malformed("unknown frame type")),
        };
        let line = &bytes[at + 1..bytes.len().min(at + 1 + limit)];
        let Some(length) = line.iter().position(|b| *b == b'\n') else {
            return if line.len() == limit { Err(Malformed("line too long")) } else { Ok(None) };
        };
        let Some(text) = line[..length].strip_suffix(b"\r") else { return Err(Malformed("bad end of line")) };
        at += 2 + length;
        if !matches!(kind, b'$' | b'*') || text == b"-1" {
            continue;
        }
        let number = std::str::from_utf8(text).ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
        let number: usize = number.and_then(|t| t.parse().ok()).ok_or(Malformed("bad length"))?;
        if *kind == b'*' {
            if number > bounds.elements || seen + left + number > bounds.elements {
                return Err(Malformed("too many elements"));
            }
            left += number;
            if number > 0 {
                *open.get_mut(depth).ok_or(Malformed("arrays too deep"))? = number;
                depth += 1;
            }
            continue;
        }
        if number > bounds.value {
            return Err(Malformed("value too large"));
        }
        at += number + 2;
        match bytes.get(at - 2..at) {
            None => return Ok(None),
            Some(b"\r\n") => {}
            Some(_) => return Err(Malformed("bad end of value")),
        }
    }
    Ok(Some(at))
}

/// A frame's bytes.
pub fn encode(frame: &BytesFrame) -> Bytes {
    let mut out = BytesMut::new();
    // Fails only where the buffer is too small, which the call grows first.
    let _ = encode::extend_encode(&mut out, frame, false);
    out.freeze()
}

/// A command's bytes: an array of bulk strings.
pub fn command(words: impl IntoIterator<Item = Bytes>) -> Bytes {
    encode(&BytesFrame::Array(words.into_iter().map(BytesFrame::BulkString).collect()))
}

/// An error line's bytes; the text must hold no line end.
pub fn error(text: &str) -> Bytes {
    encode(&BytesFrame::Error(text.into()))
}

#[cfg(test)]
mod tests;
