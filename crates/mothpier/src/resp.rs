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
mod tests {
    use super::*;

    /// What a client sends means the same however it is cut into reads, up to the error that ends it; and nothing that it
    /// sends is a panic.
    #[test]
    fn any_split_into_reads_gives_the_same_commands() {
        let dice = mothpier_world::Dice::new(9);
        let parts: [&[u8]; 12] = [
            b"*1\r\n$4\r\nPING\r\n",
            b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$1\r\ni\r\n$9\r\nc=a,d=900\r\n",
            b"HELLO 3\r\n",
            b"hello\n",
            b"*2\r\n$5\r\nHELLO\r\n$1\r\n3\r\n",
            b"*1\r\n*1\r\n*0\r\n",
            b"$-1\r\n",
            b":12\r\n",
            b"%1\r\n+a\r\n+b\r\n",
            b"*?\r\n",
            b"\r\n",
            b"$3\r\n\xff\x00\r\r\n",
        ];
        let all = |reads: &[&[u8]]| {
            let (mut buffer, mut commands) = (BytesMut::new(), Vec::new());
            for read in reads {
                buffer.extend_from_slice(read);
                loop {
                    match take_command(&mut buffer, MAX_VALUE) {
                        Ok(Some(command)) => commands.push(command),
                        Ok(None) => break,
                        Err(_) => return (commands, true),
                    }
                }
            }
            (commands, false)
        };
        let mut failed = 0;
        for _ in 0..20_000 {
            let count = dice.within(1, 6);
            let mut bytes: Vec<u8> = (0..count)
                .flat_map(|_| parts[dice.within(0, parts.len() as u64) as usize].to_vec())
                .collect();
            for _ in 0..dice.within(0, 3) {
                let at = dice.within(0, bytes.len() as u64) as usize;
                bytes[at] = b"*$:+-%HhELO 0193\r\n\xff"[dice.within(0, 19) as usize];
            }
            let whole = all(&[&bytes]);
            let (mut cuts, mut rest) = (Vec::new(), &bytes[..]);
            while !rest.is_empty() {
                let (read, left) = rest.split_at(1 + dice.within(0, rest.len() as u64) as usize);
                cuts.push(read);
                rest = left;
            }
            assert_eq!(all(&cuts), whole, "{:?}", String::from_utf8_lossy(&bytes));
            let single: Vec<&[u8]> = bytes.chunks(1).collect();
            assert_eq!(all(&single), whole, "{:?}", String::from_utf8_lossy(&bytes));
            failed += u32::from(whole.1);
        }
        assert!((2_000..18_000).contains(&failed), "{failed} of 20,000 end in an error");
    }

    #[test]
    fn hello_may_come_as_a_line_and_nothing_else_may() {
        let words = |line: &str| match take_command(&mut BytesMut::from(line), MAX_VALUE) {
            Ok(Some(BytesFrame::Array(words))) => words.len(),
            Ok(None) => 0,
            other => panic!("{line}: {other:?}"),
        };
        let whole = "HELLO 3 AUTH me it\r\n";
        (1..whole.len()).for_each(|cut| assert_eq!(words(&whole[..cut]), 0, "{cut}"));
        assert_eq!((words(whole), words("hello\n"), words("HELLO  3 \r\n*1\r\n")), (5, 1, 2));
        let long = format!("HELLO {}", "x".repeat(MAX_LINE));
        for bad in ["HELP\r\n", "HELLOS 3\r\n", "PING\r\n", "GET k\r\n", &long] {
            assert!(take_command(&mut BytesMut::from(bad), MAX_VALUE).is_err(), "{bad:.10}");
        }
        // What follows stays where it is.
        let mut buffer = BytesMut::from("HELLO 3\r\n+PONG\r\n");
        assert!(take_command(&mut buffer, MAX_VALUE).unwrap().is_some());
        assert_eq!(buffer, "+PONG\r\n");
    }

    #[test]
    fn a_frame_is_taken_only_whole_and_bad_ones_are_told_apart() {
        let whole = b"*2\r\n$3\r\nGET\r\n$1\r\nk\r\n";
        for cut in 0..whole.len() {
            assert_eq!(take_frame(&mut BytesMut::from(&whole[..cut])), Ok(None), "{cut}");
        }
        let mut two = BytesMut::from(&[whole.as_slice(), b"+PONG\r\n"].concat()[..]);
        let words = ["GET", "k"].map(|w| BytesFrame::BulkString(Bytes::from(w))).to_vec();
        assert_eq!(take_frame(&mut two), Ok(Some(BytesFrame::Array(words))));
        assert_eq!(take_frame(&mut two), Ok(Some(BytesFrame::SimpleString("PONG".into()))));
        assert!(two.is_empty());
        let nested = "*1\r\n".repeat(100_000); // Would exhaust the stack of a decoder that recurses.
        for bad in [
            "GET k\r\n",
            "*x\r\n",
            "*-2\r\n",
            "$65537\r\n",
            "$1\r\nkk\r\n",
            "*99\r\n",
            "$1\n",
            nested.as_str(),
        ] {
            assert!(take_frame(&mut BytesMut::from(bad)).is_err(), "{:.20}", bad);
        }
    }
}
