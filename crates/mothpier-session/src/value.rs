//! Replies and their encoding in both protocol versions: RESP2 (Redis serialization protocol specification)
//! and RESP3 (the same, "RESP versions"). A value has the same meaning in both; what RESP2 has no form for is
//! encoded as Redis servers do it there.
//!
//! The replies are not encoded with the codec that parses commands: its maps and sets have a random order,
//! and equal runs must produce equal bytes. The tests parse every reply with that codec.

/// A protocol version, negotiated by `HELLO`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Version {
    /// RESP2, the initial version of every connection.
    #[default]
    Two,
    /// RESP3.
    Three,
}

impl Version {
    /// Returns the number used in `HELLO`.
    pub fn number(self) -> i64 {
        match self {
            Version::Two => 2,
            Version::Three => 3,
        }
    }
}

/// A reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A simple string.
    Simple(&'static str),
    /// An error line without its leading dash; must not contain a line end.
    Error(String),
    /// An integer.
    Number(i64),
    /// A floating-point number; in RESP2 a bulk string.
    Double(f64),
    /// A boolean; in RESP2 the integer 1 or 0.
    Boolean(bool),
    /// A bulk string.
    Bulk(Vec<u8>),
    /// Text for people (a verbatim string); in RESP2 a bulk string.
    Text(String),
    /// Null; in RESP2 the null bulk string.
    Null,
    /// Null in place of an array; in RESP2 the null array.
    NullArray,
    /// An array.
    Array(Vec<Value>),
    /// A set; in RESP2 an array.
    Set(Vec<Value>),
    /// A map; in RESP2 a flat array of keys and values.
    Map(Vec<(Value, Value)>),
}

impl Value {
    /// Creates a bulk string from a text.
    pub fn bulk_string(text: impl Into<String>) -> Value {
        Value::Bulk(text.into().into_bytes())
    }

    /// Creates a map with bulk strings as keys.
    pub fn map<const N: usize>(fields: [(&str, Value); N]) -> Value {
        Value::Map(fields.into_iter().map(|(name, value)| (Value::bulk_string(name), value)).collect())
    }

    /// Returns the encoded reply.
    pub fn encode(&self, version: Version) -> Vec<u8> {
        let mut out = Vec::new();
        self.encode_into(version, &mut out);
        out
    }

    fn encode_into(&self, version: Version, out: &mut Vec<u8>) {
        let is_resp3 = version == Version::Three;
        match self {
            Value::Simple(text) => write_line(out, '+', text),
            Value::Error(text) => write_line(out, '-', text),
            Value::Number(number) => write_line(out, ':', &number.to_string()),
            Value::Double(number) if is_resp3 => write_line(out, ',', &format_double(*number)),
            Value::Double(number) => write_bulk(out, format_double(*number).as_bytes()),
            Value::Boolean(boolean) if is_resp3 => write_line(out, '#', if *boolean { "t" } else { "f" }),
            Value::Boolean(boolean) => write_line(out, ':', if *boolean { "1" } else { "0" }),
            Value::Bulk(bytes) => write_bulk(out, bytes),
            Value::Text(text) if is_resp3 => {
                // The length includes the format of three letters and a colon.
                write_line(out, '=', &(text.len() + 4).to_string());
                out.extend(b"txt:");
                out.extend(text.as_bytes());
                out.extend(b"\r\n");
            }
            Value::Text(text) => write_bulk(out, text.as_bytes()),
            Value::Null | Value::NullArray if is_resp3 => out.extend(b"_\r\n"),
            Value::Null => out.extend(b"$-1\r\n"),
            Value::NullArray => out.extend(b"*-1\r\n"),
            Value::Array(values) => write_aggregate(out, '*', values, version),
            Value::Set(values) => write_aggregate(out, if is_resp3 { '~' } else { '*' }, values, version),
            Value::Map(fields) => {
                let (kind, count) = if is_resp3 { ('%', fields.len()) } else { ('*', fields.len() * 2) };
                write_line(out, kind, &count.to_string());
                for (name, value) in fields {
                    name.encode_into(version, out);
                    value.encode_into(version, out);
                }
            }
        }
    }
}

fn write_line(out: &mut Vec<u8>, kind: char, text: &str) {
    out.extend(format!("{kind}{text}\r\n").bytes());
}

fn write_bulk(out: &mut Vec<u8>, bytes: &[u8]) {
    write_line(out, '$', &bytes.len().to_string());
    out.extend(bytes);
    out.extend(b"\r\n");
}

fn write_aggregate(out: &mut Vec<u8>, kind: char, values: &[Value], version: Version) {
    write_line(out, kind, &values.len().to_string());
    values.iter().for_each(|v| v.encode_into(version, out));
}

/// Formats a number as the protocol does, including `inf`, `-inf` and `nan`.
fn format_double(number: f64) -> String {
    if number.is_nan() { "nan".into() } else { number.to_string() }
}

#[cfg(test)]
mod tests;
