//! Parses HCL with plain values only. Expressions are rejected, so that the file shows the values that apply.

use hcl_edit::Span as _;
use hcl_edit::expr::{Expression, ObjectKey};
use hcl_edit::structure::{Body, Structure};

use super::{duplicate_key, syntax_error};
use crate::code;
use crate::finding::Finding;
use crate::tree::{Entry, Span, TreeNode, Value};

pub fn read(text: &str) -> Result<TreeNode, Vec<Finding>> {
    if let Some((span, problem)) = find_expression(text) {
        let fix = "write the value itself; strings are in double quotes";
        return Err(vec![Finding::error(code::EXPRESSION, span, problem, fix)]);
    }
    let whole = 0..text.len();
    let parsed = hcl_edit::parser::parse_body(text).map_err(|e| {
        let (position, message) = (e.location().offset(), e.message().lines().collect::<Vec<_>>().join(", "));
        if message.contains("redefined") {
            // The parser's position is after the key.
            let start =
                text[..position.min(text.len())].rfind(|c: char| c.is_whitespace()).map_or(0, |n| n + 1);
            let end =
                text[start..].find(|c: char| c.is_whitespace() || c == '=').map_or(text.len(), |n| start + n);
            return vec![duplicate_key(&text[start..end], None, start..end)];
        }
        syntax_error(text, position, &message)
    })?;
    let mut findings = Vec::new();
    let node = TreeNode { span: whole.clone(), value: body(&parsed, &whole, &mut findings) };
    if findings.is_empty() { Ok(node) } else { Err(findings) }
}

/// Returns the position of the first expression: an operator, a call or a template. This runs before the
/// parser, which would recurse once for each of them. Strings and comments are skipped, except for templates
/// in strings.
fn find_expression(text: &str) -> Option<(Span, &'static str)> {
    let bytes = text.as_bytes();
    let mut position = 0;
    while position < bytes.len() {
        let next = bytes.get(position + 1).copied();
        match bytes[position] {
            b'#' => position += text[position..].find('\n').unwrap_or(text.len() - position),
            b'/' if next == Some(b'/') => {
                position += text[position..].find('\n').unwrap_or(text.len() - position)
            }
            b'/' if next == Some(b'*') => {
                position += text[position..].find("*/").map_or(text.len() - position, |n| n + 2)
            }
            b'"' => {
                position += 1;
                while position < bytes.len() && bytes[position] != b'"' && bytes[position] != b'\n' {
                    if bytes[position..].starts_with(b"${") || bytes[position..].starts_with(b"%{") {
                        return Some((position..position + 2, "a string contains a template"));
                    }
                    position += if bytes[position] == b'\\' { 2 } else { 1 };
                }
                position += 1;
            }
            b'-' if next.is_some_and(|n| n.is_ascii_digit())
                || position > 0 && is_name_byte(bytes[position - 1]) =>
            {
                position += 1
            }
            b'!' | b'?' | b'$' | b'%' | b'(' | b'<' | b'>' | b'&' | b'|' | b'+' | b'*' | b'/' | b'-' => {
                return Some((position..position + 1, "an expression is used where a value is expected"));
            }
            b'=' if next == Some(b'=') => {
                return Some((position..position + 2, "an expression is used where a value is expected"));
            }
            _ => position += 1,
        }
    }
    None
}

/// Returns whether a byte may precede a hyphen within an identifier.
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_'
}

fn body(source: &Body, whole: &Span, findings: &mut Vec<Finding>) -> Value {
    let mut entries: Vec<Entry> = Vec::new();
    for structure in source {
        match structure {
            Structure::Attribute(attribute) => {
                let key_span = attribute.key.span().unwrap_or_else(|| whole.clone());
                let node = expression(&attribute.value, &key_span, findings);
                if let Some(before) = entries.iter().find(|e| e.key == attribute.key.as_str()) {
                    findings.push(duplicate_key(
                        attribute.key.as_str(),
                        Some(before.key_span.clone()),
                        key_span.clone(),
                    ));
                }
                entries.push(Entry { key: attribute.key.as_str().to_owned(), key_span, node });
            }
            Structure::Block(block) => {
                let key = block.ident.as_str().to_owned();
                let key_span = block.ident.span().unwrap_or_else(|| whole.clone());
                let span = block.span().unwrap_or_else(|| key_span.clone());
                let mut value = body(&block.body, &span, findings);
                let before = entries.iter_mut().find(|e| e.key == key);
                let Some(label) = block.labels.first() else {
                    if let Some(before) = before {
                        findings.push(duplicate_key(&key, Some(before.key_span.clone()), key_span.clone()));
                    }
                    entries.push(Entry { key, key_span, node: TreeNode { span, value } });
                    continue;
                };
                // The label of a block becomes its `name`, as in TOML.
                let label_span = label.span().unwrap_or_else(|| key_span.clone());
                let name =
                    TreeNode { span: label_span.clone(), value: Value::Text(label.as_str().to_owned()) };
                if let Value::Table(inner) = &mut value {
                    inner.insert(0, Entry { key: "name".into(), key_span: label_span, node: name });
                }
                let node = TreeNode { span: key_span.start..span.end, value };
                match before {
                    Some(Entry { node: TreeNode { value: Value::List(nodes), .. }, .. }) => nodes.push(node),
                    Some(before) => {
                        findings.push(duplicate_key(&key, Some(before.key_span.clone()), key_span));
                    }
                    None => {
                        let list = TreeNode { span: node.span.clone(), value: Value::List(vec![node]) };
                        entries.push(Entry { key, key_span, node: list });
                    }
                }
            }
        }
    }
    Value::Table(entries)
}

fn expression(source: &Expression, outer: &Span, findings: &mut Vec<Finding>) -> TreeNode {
    let span = source.span().unwrap_or_else(|| outer.clone());
    let value = match source {
        Expression::Null(_) => Value::Null,
        Expression::Bool(boolean) => Value::Bool(*boolean.as_ref()),
        Expression::Number(number) => Value::Number(number.value().as_f64().unwrap_or(f64::NAN)),
        Expression::String(string) => Value::Text(string.as_str().to_owned()),
        Expression::Array(array) => {
            Value::List(array.iter().map(|e| expression(e, &span, findings)).collect())
        }
        Expression::Object(object) => {
            let mut entries: Vec<Entry> = Vec::new();
            for (key, value) in object.iter() {
                let (name, name_span) = match key {
                    ObjectKey::Ident(i) => (i.as_str().to_owned(), i.span()),
                    ObjectKey::Expression(Expression::String(s)) => (s.as_str().to_owned(), s.span()),
                    ObjectKey::Expression(_) => (String::new(), None),
                };
                let key_span = name_span.unwrap_or_else(|| span.clone());
                if let Some(before) = entries.iter().find(|e| e.key == name) {
                    findings.push(duplicate_key(&name, Some(before.key_span.clone()), key_span.clone()));
                }
                entries.push(Entry { key: name, key_span, node: expression(value.expr(), &span, findings) });
            }
            Value::Table(entries)
        }
        _ => {
            let (problem, fix) = (
                "a name is used where a value is expected",
                "write the value itself; strings are in double quotes",
            );
            findings.push(Finding::error(code::EXPRESSION, span.clone(), problem, fix));
            Value::Null
        }
    };
    TreeNode { span, value }
}
