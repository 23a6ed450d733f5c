//! HCL, plain values alone: a configuration that computes can't be read by a tired person.

use hcl_edit::Span as _;
use hcl_edit::expr::{Expression, ObjectKey};
use hcl_edit::structure::{Body, Structure};

use super::{syntax, twice};
use crate::code;
use crate::finding::Finding;
use crate::tree::{Entry, Node, Span, Value};

pub fn read(text: &str) -> Result<Node, Vec<Finding>> {
    if let Some((span, what)) = computed(text) {
        let mend = "write the value itself; texts stand in double quotes";
        return Err(vec![Finding::error(code::EXPRESSION, span, what, mend)]);
    }
    let whole = 0..text.len();
    let parsed = hcl_edit::parser::parse_body(text).map_err(|e| {
        let (at, message) = (e.location().offset(), e.message().lines().collect::<Vec<_>>().join(", "));
        if message.contains("redefined") {
            // The place is behind the name.
            let start = text[..at.min(text.len())].rfind(|c: char| c.is_whitespace()).map_or(0, |n| n + 1);
            let end =
                text[start..].find(|c: char| c.is_whitespace() || c == '=').map_or(text.len(), |n| start + n);
            return vec![twice(&text[start..end], None, start..end)];
        }
        syntax(text, at, &message)
    })?;
    let mut found = Vec::new();
    let node = Node { span: whole.clone(), value: body(&parsed, &whole, &mut found) };
    if found.is_empty() { Ok(node) } else { Err(found) }
}

/// What is no plain value: operators, calls, templates. Found before the parser runs, which would call itself once for
/// each of them. The text of quotes and comments is passed over, but for templates in quotes.
fn computed(text: &str) -> Option<(Span, &'static str)> {
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let next = bytes.get(at + 1).copied();
        match bytes[at] {
            b'#' => at += text[at..].find('\n').unwrap_or(text.len() - at),
            b'/' if next == Some(b'/') => at += text[at..].find('\n').unwrap_or(text.len() - at),
            b'/' if next == Some(b'*') => at += text[at..].find("*/").map_or(text.len() - at, |n| n + 2),
            b'"' => {
                at += 1;
                while at < bytes.len() && bytes[at] != b'"' && bytes[at] != b'\n' {
                    if bytes[at..].starts_with(b"${") || bytes[at..].starts_with(b"%{") {
                        return Some((at..at + 2, "a template stands in a text"));
                    }
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
            }
            b'-' if next.is_some_and(|n| n.is_ascii_digit()) || at > 0 && word(bytes[at - 1]) => at += 1,
            b'!' | b'?' | b'$' | b'%' | b'(' | b'<' | b'>' | b'&' | b'|' | b'+' | b'*' | b'/' | b'-' => {
                return Some((at..at + 1, "an expression stands where a value is wanted"));
            }
            b'=' if next == Some(b'=') => {
                return Some((at..at + 2, "an expression stands where a value is wanted"));
            }
            _ => at += 1,
        }
    }
    None
}

/// What may stand before a hyphen within a name.
fn word(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_'
}

fn body(from: &Body, whole: &Span, found: &mut Vec<Finding>) -> Value {
    let mut entries: Vec<Entry> = Vec::new();
    for structure in from {
        match structure {
            Structure::Attribute(a) => {
                let key_span = a.key.span().unwrap_or_else(|| whole.clone());
                let node = expression(&a.value, &key_span, found);
                if let Some(before) = entries.iter().find(|e| e.key == a.key.as_str()) {
                    found.push(twice(a.key.as_str(), Some(before.key_span.clone()), key_span.clone()));
                }
                entries.push(Entry { key: a.key.as_str().to_owned(), key_span, node });
            }
            Structure::Block(b) => {
                let key = b.ident.as_str().to_owned();
                let key_span = b.ident.span().unwrap_or_else(|| whole.clone());
                let span = b.span().unwrap_or_else(|| key_span.clone());
                let mut value = body(&b.body, &span, found);
                let before = entries.iter_mut().find(|e| e.key == key);
                let Some(label) = b.labels.first() else {
                    if let Some(before) = before {
                        found.push(twice(&key, Some(before.key_span.clone()), key_span.clone()));
                    }
                    entries.push(Entry { key, key_span, node: Node { span, value } });
                    continue;
                };
                // A label is the block's name, as `name` is in TOML.
                let label_span = label.span().unwrap_or_else(|| key_span.clone());
                let name = Node { span: label_span.clone(), value: Value::Text(label.as_str().to_owned()) };
                if let Value::Table(inner) = &mut value {
                    inner.insert(0, Entry { key: "name".into(), key_span: label_span, node: name });
                }
                let node = Node { span: key_span.start..span.end, value };
                match before {
                    Some(Entry { node: Node { value: Value::List(all), .. }, .. }) => all.push(node),
                    Some(before) => {
                        found.push(twice(&key, Some(before.key_span.clone()), key_span));
                    }
                    None => {
                        let list = Node { span: node.span.clone(), value: Value::List(vec![node]) };
                        entries.push(Entry { key, key_span, node: list });
                    }
                }
            }
        }
    }
    Value::Table(entries)
}

fn expression(from: &Expression, outer: &Span, found: &mut Vec<Finding>) -> Node {
    let span = from.span().unwrap_or_else(|| outer.clone());
    let value = match from {
        Expression::Null(_) => Value::Null,
        Expression::Bool(b) => Value::Bool(*b.as_ref()),
        Expression::Number(n) => Value::Number(n.value().as_f64().unwrap_or(f64::NAN)),
        Expression::String(s) => Value::Text(s.as_str().to_owned()),
        Expression::Array(a) => Value::List(a.iter().map(|e| expression(e, &span, found)).collect()),
        Expression::Object(o) => {
            let mut entries: Vec<Entry> = Vec::new();
            for (key, value) in o.iter() {
                let (name, at) = match key {
                    ObjectKey::Ident(i) => (i.as_str().to_owned(), i.span()),
                    ObjectKey::Expression(Expression::String(s)) => (s.as_str().to_owned(), s.span()),
                    ObjectKey::Expression(_) => (String::new(), None),
                };
                let key_span = at.unwrap_or_else(|| span.clone());
                if let Some(before) = entries.iter().find(|e| e.key == name) {
                    found.push(twice(&name, Some(before.key_span.clone()), key_span.clone()));
                }
                entries.push(Entry { key: name, key_span, node: expression(value.expr(), &span, found) });
            }
            Value::Table(entries)
        }
        _ => {
            let (what, mend) = (
                "a name stands where a value is wanted",
                "write the value itself; texts stand in double quotes",
            );
            found.push(Finding::error(code::EXPRESSION, span.clone(), what, mend));
            Value::Null
        }
    };
    Node { span, value }
}
