//! The syntax tree of a file: values with their positions, before they are interpreted. All three formats
//! (HCL, TOML, JSON) are parsed into this tree, so that one set of checks serves them all.

use std::ops::Range;

/// A range of bytes in the file.
pub type Span = Range<usize>;

/// A value and its position.
#[derive(Clone, Debug, PartialEq)]
pub struct TreeNode {
    /// Position in the file.
    pub span: Span,
    /// The value.
    pub value: Value,
}

/// An uninterpreted value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A null.
    Null,
    /// A boolean.
    Bool(bool),
    /// A number.
    Number(f64),
    /// A string.
    Text(String),
    /// A list.
    List(Vec<TreeNode>),
    /// A table: keys and values, in file order.
    Table(Vec<Entry>),
    /// A type that no setting has, such as a date; holds its name for messages.
    Other(&'static str),
}

impl Value {
    /// Returns the name of the type, as messages show it.
    pub fn kind(&self) -> &'static str {
        match self {
            Value::Null => "null",
            Value::Bool(_) => "true or false",
            Value::Number(_) => "a number",
            Value::Text(_) => "a string",
            Value::List(_) => "a list",
            Value::Table(_) => "a block",
            Value::Other(kind) => kind,
        }
    }
}

/// One key of a table with its value.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// Position of the key.
    pub key_span: Span,
    /// The value.
    pub node: TreeNode,
}

/// A setting with the position that it was read from.
#[derive(Clone, Debug, PartialEq)]
pub struct Spanned<T> {
    /// The setting's value.
    pub value: T,
    /// Position in the file; for a default, that of the block that lacks the setting.
    pub span: Span,
    /// Whether the file states the setting; otherwise it is a default.
    pub explicit: bool,
}

impl<T> Spanned<T> {
    /// Creates a setting that the file states.
    pub fn new(value: T, span: Span) -> Self {
        Spanned { value, span, explicit: true }
    }

    /// Creates a setting that takes its default.
    pub fn default_at(value: T, span: Span) -> Self {
        Spanned { value, span, explicit: false }
    }
}
