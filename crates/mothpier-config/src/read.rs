//! Parses bytes into a tree. Rejects input that could exhaust memory, time or the stack, and input that
//! different parsers would interpret differently.

mod hcl;
mod json;
mod toml;

use std::path::Path;

use crate::code;
use crate::finding::Finding;
use crate::tree::TreeNode;

/// Largest file, in bytes. A configuration is a few KB; a node's file with a list of 10,000 cache servers is
/// 2 MB, and with the longest list that a node accepts 4 MB.
pub const MAX_FILE_BYTES: usize = 8 << 20;
/// Deepest nesting of brackets; the most deeply nested setting needs four.
const MAX_DEPTH: usize = 32;

/// The format of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// HCL, for files written by people.
    Hcl,
    /// TOML, for files written by people.
    Toml,
    /// JSON, the file that a node is started with.
    Json,
}

impl Form {
    /// Returns the format that a file's extension stands for.
    pub fn of(path: &Path) -> Option<Form> {
        match path.extension()?.to_str()? {
            "hcl" => Some(Form::Hcl),
            "toml" => Some(Form::Toml),
            "json" => Some(Form::Json),
            _ => None,
        }
    }
}

/// Parses a file. The text is returned as well, since findings refer to positions in it.
///
/// # Errors
///
/// Returns the text and the findings that keep the file from being parsed.
pub fn read(bytes: &[u8], form: Form) -> Result<(String, TreeNode), (String, Vec<Finding>)> {
    let lossy = || String::from_utf8_lossy(&bytes[..bytes.len().min(MAX_FILE_BYTES)]).into_owned();
    if bytes.len() > MAX_FILE_BYTES {
        let problem = format!("the file has {} bytes or more; the most is {MAX_FILE_BYTES}", bytes.len());
        let fix = "check that it is the intended file";
        return Err((String::new(), vec![Finding::error(code::TOO_LARGE, 0..0, problem, fix)]));
    }
    let text = match std::str::from_utf8(bytes) {
        Ok(text) => text,
        Err(e) => {
            // The lossy text replaces invalid bytes by a character of another length, so the position is
            // computed in it.
            let position = String::from_utf8_lossy(&bytes[..e.valid_up_to()]).len();
            let problem = format!("byte {} is not UTF-8", e.valid_up_to());
            let finding = Finding::error(
                code::NOT_UTF8,
                position..position + 1,
                problem,
                "save the file as UTF-8 and retype the character",
            );
            return Err((lossy(), vec![finding]));
        }
    };
    if text.starts_with('\u{feff}') {
        let finding = Finding::error(
            code::BYTE_ORDER_MARK,
            0..3,
            "the file begins with a byte order mark",
            "save it as UTF-8 without one; JSON parsers reject it (RFC 8259, section 8.1)",
        );
        return Err((text.to_owned(), vec![finding]));
    }
    if let Some(position) = find_excess_nesting(text) {
        let finding = Finding::error(
            code::TOO_DEEP,
            position..position + 1,
            format!("more than {MAX_DEPTH} brackets are open here"),
            "no setting is nested deeper than four; look for a bracket that was never closed",
        );
        return Err((text.to_owned(), vec![finding]));
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

/// Returns the position at which brackets are nested deeper than [`MAX_DEPTH`]: the parsers recurse once per
/// bracket and would overflow the stack. For simplicity brackets in strings and comments count, too; nobody
/// writes that many there.
fn find_excess_nesting(text: &str) -> Option<usize> {
    let mut depth = 0usize;
    for (position, byte) in text.bytes().enumerate() {
        match byte {
            b'{' | b'[' | b'(' => depth += 1,
            b'}' | b']' | b')' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Some(position);
        }
    }
    None
}

/// Creates the finding for a parser error; an error at the end of the text is reported as a truncated file.
fn syntax_error(text: &str, position: usize, message: &str) -> Vec<Finding> {
    let end = text.trim_end().len();
    if position >= end {
        let start = end.saturating_sub(1);
        let start = (0..=start).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
        return vec![Finding::error(
            code::CUT_OFF,
            start..end.max(start),
            format!("the file ends in the middle: {message}"),
            "use the whole file, and write files to a temporary name first, then rename them",
        )];
    }
    let position = (0..=position).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
    let width = text[position..].chars().next().map_or(0, char::len_utf8);
    vec![Finding::error(
        code::SYNTAX,
        position..position + width,
        message.to_owned(),
        "fix the line that is shown",
    )]
}

/// Creates the finding for a duplicate key.
fn duplicate_key(key: &str, first: Option<crate::tree::Span>, second: crate::tree::Span) -> Finding {
    let problem = format!("`{key}` is set twice in one block");
    let finding = Finding::error(code::DUPLICATE_KEY, second, problem, "keep the intended one");
    match first {
        Some(first) => finding.with_related(first, "the first one"),
        None => finding,
    }
}
