//! Encodes and decodes RESP2 frames. A scan ahead of the decoder bounds the size of what it is given.

use std::fmt;

use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::types::BytesFrame;
use redis_protocol::resp2::{decode, encode};

use crate::memory::MAX_UNRESERVED_INPUT;
use crate::segments::{SegmentWriter, Segments};

/// Largest value that is buffered whole, in bytes; larger ones are streamed.
pub const MAX_VALUE: usize = 64 * 1024;
/// Largest value of a key, in bytes.
pub const MAX_STREAMED_VALUE: usize = 4 << 20;
/// Longest simple string or error line, in bytes.
const MAX_LINE_LENGTH: usize = 1024;
/// Longest number in a header, in bytes, including the line end.
const MAX_NUMBER_LENGTH: usize = 12;
/// Maximum number of elements of a frame, including nested ones.
const MAX_ELEMENTS: usize = 32;

/// The only command that is accepted as an inline command.
const HELLO: &[u8] = b"HELLO";
/// Maximum nesting depth of arrays; the decoder recurses once per level.
const MAX_DEPTH: usize = 8;

/// Limits on the size of a frame.
pub struct Bounds {
    /// Maximum length of a value, in bytes.
    pub value: usize,
    /// Maximum number of elements, including nested ones.
    pub elements: usize,
    /// Maximum length of the whole frame, in bytes.
    pub total: usize,
}

/// The limits for answers of servers: a value, and what comes with it.
const ANSWER_BOUNDS: Bounds =
    Bounds { value: MAX_VALUE, elements: MAX_ELEMENTS, total: MAX_VALUE + MAX_UNRESERVED_INPUT };

/// Bytes that cannot be the beginning of a frame, with a description of the fault.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// Takes the first complete frame off a buffer; returns `None` if it is incomplete so far.
pub fn take_frame(buffer: &mut BytesMut) -> Result<Option<BytesFrame>, Malformed> {
    take_frame_within(buffer, &ANSWER_BOUNDS)
}

/// Takes one of the frames behind the value of an answer off a buffer.
pub fn take_trailing_frame(buffer: &mut BytesMut) -> Result<Option<BytesFrame>, Malformed> {
    take_frame_within(buffer, &Bounds { total: MAX_UNRESERVED_INPUT, ..ANSWER_BOUNDS })
}

/// Takes the first complete frame off a buffer like [`take_frame`], with other limits.
pub fn take_frame_within(buffer: &mut BytesMut, bounds: &Bounds) -> Result<Option<BytesFrame>, Malformed> {
    let Some(end) = frame_end(buffer, bounds)? else { return Ok(None) };
    let bytes = buffer.split_to(end).freeze();
    match decode::decode_bytes(&bytes) {
        Ok(Some((frame, used))) if used == end => Ok(Some(frame)),
        _ => Err(Malformed("unreadable frame")),
    }
}

/// The beginning of a client's command whose last argument is a value for which memory has to be reserved.
#[derive(Debug, PartialEq, Eq)]
pub struct LargeCommand {
    /// The arguments before the value.
    pub arguments: Vec<Bytes>,
    /// Number of bytes before the value.
    pub head: usize,
    /// Length of the value, in bytes.
    pub length: usize,
}

/// Parses the beginning of a command whose last argument is a large value. Returns `None` for any other
/// command, and while the buffer is too short to tell.
pub fn parse_large_command(buffer: &[u8]) -> Option<LargeCommand> {
    let number = |at: usize, kind: u8| -> Option<(usize, usize)> {
        let digits = buffer.get(at..)?.strip_prefix(&[kind])?;
        let end = digits.iter().take(MAX_NUMBER_LENGTH).position(|b| *b == b'\r')?;
        let text = digits.get(..end).filter(|d| d.iter().all(u8::is_ascii_digit))?;
        let is_terminated = digits.get(end..end + 2)? == b"\r\n";
        let number = std::str::from_utf8(text).ok()?.parse().ok()?;
        is_terminated.then_some((number, at + 1 + end + 2))
    };
    let (count, mut at) = number(0, b'*')?;
    if count > MAX_ELEMENTS {
        return None;
    }
    let mut arguments = Vec::new();
    for last in (1..=count).map(|n| n == count) {
        let (length, from) = number(at, b'$')?;
        if last && from + length + 2 > MAX_UNRESERVED_INPUT && length <= MAX_STREAMED_VALUE {
            return Some(LargeCommand { arguments, head: from, length });
        }
        arguments.push(Bytes::copy_from_slice(buffer.get(from..from.checked_add(length)?)?));
        at = from + length + 2;
    }
    None
}

/// The beginning of a server's answer with a value.
#[derive(Debug, PartialEq, Eq)]
pub struct ValueHeader {
    /// Number of bytes before the value.
    pub head: usize,
    /// Length of the value, in bytes.
    pub length: usize,
    /// Number of frames after the value.
    pub trailing_frames: usize,
}

/// The form of an answer that carries a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerForm {
    /// An array of the value, the status and the load report.
    Array,
    /// The value alone.
    Value,
}

/// Parses the beginning of an answer with a value of up to [`MAX_STREAMED_VALUE`] bytes. Returns `None` for
/// any other answer, and while the buffer is too short to tell.
pub fn parse_value_header(buffer: &[u8], form: AnswerForm) -> Option<ValueHeader> {
    let (prefix, trailing_frames): (&[u8], usize) = match form {
        AnswerForm::Array => (b"*3\r\n", 2),
        AnswerForm::Value => (b"", 0),
    };
    let digits = buffer.strip_prefix(prefix)?.strip_prefix(b"$")?;
    let end = digits.iter().take(MAX_NUMBER_LENGTH).position(|b| *b == b'\r')?;
    let text = digits.get(..end).filter(|d| d.iter().all(u8::is_ascii_digit))?;
    let length: usize = std::str::from_utf8(text).ok()?.parse().ok()?;
    let is_terminated = digits.get(end..end + 2)? == b"\r\n";
    let head = buffer.len() - digits.len() + end + 2;
    let is_valid = is_terminated && length <= MAX_STREAMED_VALUE;
    is_valid.then_some(ValueHeader { head, length, trailing_frames })
}

/// Takes the first complete command of a client off a buffer. A command is a frame of up to `max_length`
/// bytes, or `HELLO` as an inline command: the RESP3 specification writes it in that form, and some libraries
/// send it so. No other inline command is accepted.
pub fn take_command(buffer: &mut BytesMut, max_length: usize) -> Result<Option<BytesFrame>, Malformed> {
    if !matches!(buffer.first(), Some(b'H' | b'h')) {
        let bounds = Bounds { value: MAX_STREAMED_VALUE, elements: MAX_ELEMENTS, total: max_length };
        return take_frame_within(buffer, &bounds);
    }
    let name = &buffer[..buffer.len().min(HELLO.len())];
    if !name.eq_ignore_ascii_case(&HELLO[..name.len()]) {
        return Err(Malformed("unknown frame type"));
    }
    let Some(end) = buffer.iter().take(MAX_LINE_LENGTH).position(|b| *b == b'\n') else {
        return if buffer.len() >= MAX_LINE_LENGTH { Err(Malformed("line too long")) } else { Ok(None) };
    };
    let line = buffer.split_to(end + 1).freeze();
    let arguments: Vec<_> = line
        .split(|b| b.is_ascii_whitespace())
        .filter(|argument| !argument.is_empty())
        .map(|argument| BytesFrame::BulkString(line.slice_ref(argument)))
        .collect();
    let is_hello = matches!(arguments.first(), Some(BytesFrame::BulkString(w)) if w.len() == HELLO.len());
    if is_hello { Ok(Some(BytesFrame::Array(arguments))) } else { Err(Malformed("unknown frame type")) }
}

/// Returns where the first frame ends, if it is complete. Only headers are scanned, so that a value that
/// arrives in many parts is not decoded again with each of them, and frames that are too large or too deep
/// are rejected before anything is allocated for them.
fn frame_end(bytes: &[u8], bounds: &Bounds) -> Result<Option<usize>, Malformed> {
    let (mut at, mut remaining, mut element_count) = (0, 1usize, 0usize);
    // The number of elements still to come of each open array.
    let (mut open_arrays, mut depth) = ([0; MAX_DEPTH], 0);
    while remaining > 0 {
        remaining -= 1;
        element_count += 1;
        while depth > 0 && open_arrays[depth - 1] == 0 {
            depth -= 1;
        }
        if depth > 0 {
            open_arrays[depth - 1] -= 1;
        }
        let Some(kind) = bytes.get(at) else { return Ok(None) };
        let limit = match kind {
            b'$' | b'*' => MAX_NUMBER_LENGTH,
            b':' => MAX_NUMBER_LENGTH * 2,
            b'+' | b'-' => MAX_LINE_LENGTH,
            _ => return Err(Malformed("unknown frame type")),
        };
        let line = &bytes[at + 1..bytes.len().min(at + 1 + limit)];
        let Some(length) = line.iter().position(|b| *b == b'\n') else {
            return if line.len() == limit { Err(Malformed("line too long")) } else { Ok(None) };
        };
        let Some(text) = line[..length].strip_suffix(b"\r") else { return Err(Malformed("bad end of line")) };
        at += 2 + length;
        if at > bounds.total {
            return Err(Malformed("frame too large"));
        }
        if !matches!(kind, b'$' | b'*') || text == b"-1" {
            continue;
        }
        let number = std::str::from_utf8(text).ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
        let number: usize = number.and_then(|t| t.parse().ok()).ok_or(Malformed("bad length"))?;
        if *kind == b'*' {
            if number > bounds.elements || element_count + remaining + number > bounds.elements {
                return Err(Malformed("too many elements"));
            }
            remaining += number;
            if number > 0 {
                *open_arrays.get_mut(depth).ok_or(Malformed("arrays too deep"))? = number;
                depth += 1;
            }
            continue;
        }
        if number > bounds.value {
            return Err(Malformed("value too large"));
        }
        at += number + 2;
        if at > bounds.total {
            return Err(Malformed("value too large"));
        }
        match bytes.get(at - 2..at) {
            None => return Ok(None),
            Some(b"\r\n") => {}
            Some(_) => return Err(Malformed("bad end of value")),
        }
    }
    Ok(Some(at))
}

/// Encodes a frame.
pub fn encode(frame: &BytesFrame) -> Bytes {
    let mut out = BytesMut::new();
    // Fails only if the buffer is too small, and the call grows it first.
    let _ = encode::extend_encode(&mut out, frame, false);
    out.freeze()
}

/// Encodes a bulk string; a long one is shared instead of being copied.
pub fn append_bulk_string(to: &mut SegmentWriter, value: &Bytes) {
    to.copy(format!("${}\r\n", value.len()).as_bytes());
    to.append(value);
    to.copy(b"\r\n");
}

/// Encodes a command as an array of bulk strings; long arguments are shared instead of being copied.
pub fn command_segments(arguments: &[Bytes]) -> Segments {
    let mut segments = SegmentWriter::default();
    segments.copy(format!("*{}\r\n", arguments.len()).as_bytes());
    arguments.iter().for_each(|argument| append_bulk_string(&mut segments, argument));
    segments.finish()
}

/// Encodes a command as an array of bulk strings.
pub fn command(arguments: impl IntoIterator<Item = Bytes>) -> Bytes {
    encode(&BytesFrame::Array(arguments.into_iter().map(BytesFrame::BulkString).collect()))
}

/// Encodes an error line; the text must not contain a line end.
pub fn error(text: &str) -> Bytes {
    encode(&BytesFrame::Error(text.into()))
}

#[cfg(test)]
mod tests;
