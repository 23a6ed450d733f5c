//! Parses TOML 1.0.

use toml_edit::{Document, Item, TableLike, Value as Toml};

use super::{duplicate_key, syntax_error};
use crate::finding::Finding;
use crate::tree::{Entry, Span, TreeNode, Value};

pub fn read(text: &str) -> Result<TreeNode, Vec<Finding>> {
    let document = Document::parse(text).map_err(|e| {
        let span = e.span().unwrap_or(0..0);
        let message = e.message().lines().collect::<Vec<_>>().join(", ");
        if message.contains("duplicate key") {
            let key = text.get(span.clone()).unwrap_or_default().trim().to_owned();
            return vec![duplicate_key(&key, None, span)];
        }
        syntax_error(text, span.start, &message)
    })?;
    let whole = 0..text.len();
    Ok(TreeNode { span: whole.clone(), value: table(document.as_table(), &whole) })
}

fn table(table: &dyn TableLike, whole: &Span) -> Value {
    let mut entries = Vec::new();
    for (key, item) in table.iter() {
        let key_span = table.key(key).and_then(toml_edit::Key::span);
        let span = item.span().or_else(|| key_span.clone()).unwrap_or_else(|| whole.clone());
        let key_span = key_span.unwrap_or_else(|| span.clone());
        entries.push(Entry { key: key.to_owned(), key_span, node: item_node(item, span) });
    }
    Value::Table(entries)
}

fn item_node(item: &Item, span: Span) -> TreeNode {
    let value = match item {
        Item::None => Value::Null,
        Item::Value(v) => value(v, &span),
        Item::Table(t) => table(t, &span),
        Item::ArrayOfTables(tables) => {
            let node_of = |t: &toml_edit::Table| {
                let span = t.span().unwrap_or_else(|| span.clone());
                TreeNode { value: table(t, &span), span }
            };
            Value::List(tables.iter().map(node_of).collect())
        }
    };
    TreeNode { span, value }
}

fn value(source: &Toml, span: &Span) -> Value {
    match source {
        Toml::String(s) => Value::Text(s.value().clone()),
        Toml::Integer(i) => Value::Number(*i.value() as f64),
        Toml::Float(f) => Value::Number(*f.value()),
        Toml::Boolean(b) => Value::Bool(*b.value()),
        Toml::Datetime(_) => Value::Other("a date"),
        Toml::Array(a) => {
            let node_of = |v: &Toml| {
                let span = v.span().unwrap_or_else(|| span.clone());
                TreeNode { value: value(v, &span), span }
            };
            Value::List(a.iter().map(node_of).collect())
        }
        Toml::InlineTable(t) => table(t, span),
    }
}
