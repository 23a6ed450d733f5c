//! Bytes into a tree, with everything refused here that could cost memory or time, or that two readers would read
//! differently.

mod hcl;
mod json;
mod toml;

use std::path::Path;

use crate::code;
use crate::finding::Finding;
use crate::tree::Node;

/// A configuration is a few KB; a node's with a list of 10,000 boxes is 2 MB, and the longest list that it takes 4 MB.
pub const MOST_BYTES: usize = 8 << 20;
/// Brackets open at once; the deepest setting stands in four.
const MOST_DEPTH: usize = 32;

/// How a file is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// For people.
    Hcl,
    /// For people, too.
    Toml,
    /// What a node is started with.
    Json,
}

impl Form {
    /// The form that a file's name tells.
    pub fn of(path: &Path) -> Option<Form> {
        match path.extension()?.to_str()? {
            "hcl" => Some(Form::Hcl),
            "toml" => Some(Form::Toml),
            "json" => Some(Form::Json),
            _ => None,
        }
    }
}

/// Reads a file's bytes; the text is given back, since findings are shown in it.
///
/// # Errors
///
/// The findings that keep it from being read at all.
pub fn read(bytes: &[u8], form: Form) -> Result<(String, Node), (String, Vec<Finding>)> {
    let lossy = || String::from_utf8_lossy(&bytes[..bytes.len().min(MOST_BYTES)]).into_owned();
    if bytes.len() > MOST_BYTES {
        let what = format!("the file has {} bytes or more; the most is {MOST_BYTES}", bytes.len());
        let mend = "look whether it is the file that was meant";
        return Err((String::new(), vec![Finding::error(code::TOO_LARGE, 0..0, what, mend)]));
    }
    let text = match std::str::from_utf8(bytes) {
        Ok(text) => text,
        Err(e) => {
            // What can't be read is shown as a mark of another length: the place is that in what is shown.
            let at = String::from_utf8_lossy(&bytes[..e.valid_up_to()]).len();
            let what = format!("byte {} is no UTF-8", e.valid_up_to());
            let found =
                Finding::error(code::NOT_UTF8, at..at + 1, what, "write the file as UTF-8 and type it anew");
            return Err((lossy(), vec![found]));
        }
    };
    if text.starts_with('\u{feff}') {
        let found = Finding::error(
            code::BYTE_ORDER_MARK,
            0..3,
            "the file begins with a byte order mark",
            "save it as UTF-8 without one; JSON readers refuse it (RFC 8259, section 8.1)",
        );
        return Err((text.to_owned(), vec![found]));
    }
    if let Some(at) = too_deep(text) {
        let found = Finding::error(
            code::TOO_DEEP,
            at..at + 1,
            format!("more than {MOST_DEPTH} brackets are open here"),
            "no setting stands deeper than four; look for one that was never closed",
        );
        return Err((text.to_owned(), vec![found]));
    }
    let read = match form {
        Form::Hcl => hcl::read(text),
        Form::Toml => toml::read(text),
        Form::Json => json::read(text),
    };
    match read {
        Ok(node) => Ok((text.to_owned(), node)),
        Err(findings) => Err((text.to_owned(), findings)),
    }
}

/// Where more brackets are open than any setting needs. Those in texts and comments count, too: that is simple, and
/// nobody writes 32 of them there. The parsers call themselves for each, and the stack is not without end.
fn too_deep(text: &str) -> Option<usize> {
    let mut depth = 0usize;
    for (at, byte) in text.bytes().enumerate() {
        match byte {
            b'{' | b'[' | b'(' => depth += 1,
            b'}' | b']' | b')' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MOST_DEPTH {
            return Some(at);
        }
    }
    None
}

/// A finding for what a parser refused: cut off where the text ends before it should.
fn syntax(text: &str, at: usize, message: &str) -> Vec<Finding> {
    let end = text.trim_end().len();
    if at >= end {
        let start = end.saturating_sub(1);
        let start = (0..=start).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
        return vec![Finding::error(
            code::CUT_OFF,
            start..end.max(start),
            format!("the file ends in the middle: {message}"),
            "take the whole file, and write files to a temporary name first, then rename them",
        )];
    }
    let at = (0..=at).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
    let width = text[at..].chars().next().map_or(0, char::len_utf8);
    vec![Finding::error(code::SYNTAX, at..at + width, message.to_owned(), "mend the line that is shown")]
}

/// A finding for a name that stands twice.
fn twice(key: &str, first: Option<crate::tree::Span>, second: crate::tree::Span) -> Finding {
    let what = format!("`{key}` stands twice in one block");
    let found = Finding::error(code::DUPLICATE_KEY, second, what, "keep the one that is meant");
    match first {
        Some(first) => found.with(first, "the first one"),
        None => found,
    }
}
