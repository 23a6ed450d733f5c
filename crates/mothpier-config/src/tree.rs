//! A file as it was written: values with their places, before anything is known of their meaning. All three forms
//! (HCL, TOML, JSON) become one such tree, so that one set of checks serves them all.

use std::ops::Range;

/// Where something stands: bytes of the file.
pub type Span = Range<usize>;

/// A value and its place.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Where it stands.
    pub span: Span,
    /// What it is.
    pub value: Value,
}

/// What a value is.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Nothing.
    Null,
    /// Yes or no.
    Bool(bool),
    /// A number.
    Number(f64),
    /// A text.
    Text(String),
    /// Values in order.
    List(Vec<Node>),
    /// Names and values in order.
    Table(Vec<Entry>),
    /// Something that no setting is, as a date; what it is called.
    Other(&'static str),
}

impl Value {
    /// What a person calls it.
    pub fn kind(&self) -> &'static str {
        match self {
            Value::Null => "null",
            Value::Bool(_) => "true or false",
            Value::Number(_) => "a number",
            Value::Text(_) => "a text",
            Value::List(_) => "a list",
            Value::Table(_) => "a block",
            Value::Other(kind) => kind,
        }
    }
}

/// One name with its value.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The name.
    pub key: String,
    /// Where the name stands.
    pub key_span: Span,
    /// Its value.
    pub node: Node,
}

/// A setting with the place that it was read from.
#[derive(Clone, Debug, PartialEq)]
pub struct At<T> {
    /// What was read.
    pub value: T,
    /// Where it stands; for a default the place of the block that lacks it.
    pub span: Span,
    /// It stands in the file; else it is a default.
    pub written: bool,
}

impl<T> At<T> {
    /// A setting that stands in the file.
    pub fn new(value: T, span: Span) -> Self {
        At { value, span, written: true }
    }

    /// A default.
    pub fn default_at(value: T, span: Span) -> Self {
        At { value, span, written: false }
    }
}
