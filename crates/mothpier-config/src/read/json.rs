//! Parses JSON strictly by RFC 8259: no comments, no trailing commas.

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use super::{duplicate_key, syntax_error};
use crate::finding::Finding;
use crate::tree::{Entry, TreeNode, Value};

pub fn read(text: &str) -> Result<TreeNode, Vec<Finding>> {
    let strict = ParseOptions {
        allow_comments: false,
        allow_loose_object_property_names: false,
        allow_trailing_commas: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &strict).map_err(|e| {
        let range = e.range();
        // For an unclosed string, object or list, the parser reports the start; the file ends too early.
        let reaches_end = text[range.start.min(text.len())..].trim_end().len() <= range.end - range.start;
        let starts_value = matches!(text.as_bytes().get(range.start), Some(b'"' | b'{' | b'['));
        let position = if reaches_end && starts_value { text.len() } else { range.start };
        syntax_error(text, position, &lowercase_first(&e.kind().to_string()))
    })?;
    let Some(value) = parsed.value else {
        return Err(syntax_error(text, text.len(), "it is empty"));
    };
    let mut duplicates = Vec::new();
    let node = node(&value, &mut duplicates);
    if duplicates.is_empty() { Ok(node) } else { Err(duplicates) }
}

fn lowercase_first(message: &str) -> String {
    let mut chars = message.chars();
    chars.next().map_or_else(String::new, |c| c.to_lowercase().collect::<String>() + chars.as_str())
}

fn node(value: &ast::Value<'_>, duplicates: &mut Vec<Finding>) -> TreeNode {
    let range = value.range();
    let span = range.start..range.end;
    let value = match value {
        ast::Value::StringLit(s) => Value::Text(s.value.to_string()),
        ast::Value::NumberLit(n) => Value::Number(n.value.parse().unwrap_or(f64::NAN)),
        ast::Value::BooleanLit(b) => Value::Bool(b.value),
        ast::Value::NullKeyword(_) => Value::Null,
        ast::Value::Array(a) => Value::List(a.elements.iter().map(|e| node(e, duplicates)).collect()),
        ast::Value::Object(o) => {
            let mut entries: Vec<Entry> = Vec::with_capacity(o.properties.len());
            let mut seen = std::collections::BTreeMap::new();
            for property in &o.properties {
                let (key, key_range) = (property.name.as_str().to_owned(), property.name.range());
                let key_span = key_range.start..key_range.end;
                if let Some(first) = seen.insert(key.clone(), key_span.clone()) {
                    duplicates.push(duplicate_key(&key, Some(first), key_span.clone()));
                }
                entries.push(Entry { key, key_span, node: node(&property.value, duplicates) });
            }
            Value::Table(entries)
        }
    };
    TreeNode { span, value }
}
