//! An answer and its bytes in both versions of the protocol: RESP2 (the Redis serialization protocol specification) and
//! RESP3 (the same, "RESP versions"). One value has one meaning: what RESP2 has no form for takes the form that servers
//! give it there.
//!
//! Written here and not by the codec that reads: its maps and sets have an order drawn at random, and equal runs must
//! give equal bytes. The tests read every answer with that codec.

/// A version of the protocol, settled by `HELLO`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Version {
    /// RESP2, with which every connection begins.
    #[default]
    Two,
    /// RESP3.
    Three,
}

impl Version {
    /// Its number in `HELLO`.
    pub fn number(self) -> i64 {
        match self {
            Version::Two => 2,
            Version::Three => 3,
        }
    }
}

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A simple string.
    Simple(&'static str),
    /// An error line, without its dash; it must hold no line end.
    Error(String),
    /// A number.
    Number(i64),
    /// A floating-point number; in RESP2 a bulk string.
    Double(f64),
    /// True or false; in RESP2 1 or 0.
    Boolean(bool),
    /// A bulk string.
    Bulk(Vec<u8>),
    /// Text for people; in RESP2 a bulk string.
    Text(String),
    /// Nothing; in RESP2 the null bulk string.
    Null,
    /// Nothing where an array would stand; in RESP2 the null array.
    NullArray,
    /// An array.
    Array(Vec<Value>),
    /// Things of which none comes twice; in RESP2 an array.
    Set(Vec<Value>),
    /// Names and values; in RESP2 a flat array.
    Map(Vec<(Value, Value)>),
}

impl Value {
    /// A bulk string of a text.
    pub fn word(text: impl Into<String>) -> Value {
        Value::Bulk(text.into().into_bytes())
    }

    /// A map with words for names.
    pub fn map<const N: usize>(fields: [(&str, Value); N]) -> Value {
        Value::Map(fields.into_iter().map(|(name, value)| (Value::word(name), value)).collect())
    }

    /// Its bytes.
    pub fn encode(&self, version: Version) -> Vec<u8> {
        let mut out = Vec::new();
        self.put(version, &mut out);
        out
    }

    fn put(&self, version: Version, out: &mut Vec<u8>) {
        let three = version == Version::Three;
        match self {
            Value::Simple(s) => line(out, '+', s),
            Value::Error(s) => line(out, '-', s),
            Value::Number(n) => line(out, ':', &n.to_string()),
            Value::Double(d) if three => line(out, ',', &double(*d)),
            Value::Double(d) => bulk(out, double(*d).as_bytes()),
            Value::Boolean(b) if three => line(out, '#', if *b { "t" } else { "f" }),
            Value::Boolean(b) => line(out, ':', if *b { "1" } else { "0" }),
            Value::Bulk(b) => bulk(out, b),
            Value::Text(t) if three => {
                // Three letters of a form and a colon count as part of it.
                line(out, '=', &(t.len() + 4).to_string());
                out.extend(b"txt:");
                out.extend(t.as_bytes());
                out.extend(b"\r\n");
            }
            Value::Text(t) => bulk(out, t.as_bytes()),
            Value::Null | Value::NullArray if three => out.extend(b"_\r\n"),
            Value::Null => out.extend(b"$-1\r\n"),
            Value::NullArray => out.extend(b"*-1\r\n"),
            Value::Array(values) => all(out, '*', values, version),
            Value::Set(values) => all(out, if three { '~' } else { '*' }, values, version),
            Value::Map(fields) => {
                let (kind, count) = if three { ('%', fields.len()) } else { ('*', fields.len() * 2) };
                line(out, kind, &count.to_string());
                for (name, value) in fields {
                    name.put(version, out);
                    value.put(version, out);
                }
            }
        }
    }
}

fn line(out: &mut Vec<u8>, kind: char, text: &str) {
    out.extend(format!("{kind}{text}\r\n").bytes());
}

fn bulk(out: &mut Vec<u8>, bytes: &[u8]) {
    line(out, '$', &bytes.len().to_string());
    out.extend(bytes);
    out.extend(b"\r\n");
}

fn all(out: &mut Vec<u8>, kind: char, values: &[Value], version: Version) {
    line(out, kind, &values.len().to_string());
    values.iter().for_each(|v| v.put(version, out));
}

/// As the protocol writes them: `inf`, `-inf`, `nan`.
fn double(d: f64) -> String {
    if d.is_nan() { "nan".into() } else { d.to_string() }
}

#[cfg(test)]
mod tests;
