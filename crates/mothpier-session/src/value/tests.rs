use redis_protocol::{resp2, resp3};

use super::*;

#[test]
fn values_are_encoded_in_both_versions() {
    let bulk_string = Value::bulk_string;
    for (value, two, three) in [
        (Value::Simple("OK"), "+OK|", "+OK|"),
        (Value::Error("ERR no".into()), "-ERR no|", "-ERR no|"),
        (Value::Number(-3), ":-3|", ":-3|"),
        (Value::Double(1.5), "$3|1.5|", ",1.5|"),
        (Value::Double(f64::INFINITY), "$3|inf|", ",inf|"),
        (Value::Double(f64::NAN), "$3|nan|", ",nan|"),
        (Value::Boolean(true), ":1|", "#t|"),
        (bulk_string(""), "$0||", "$0||"),
        (Value::Text("a b".into()), "$3|a b|", "=7|txt:a b|"),
        (Value::Null, "$-1|", "_|"),
        (Value::NullArray, "*-1|", "_|"),
        (Value::Array(vec![Value::Null, bulk_string("x")]), "*2|$-1|$1|x|", "*2|_|$1|x|"),
        (Value::Set(vec![bulk_string("x")]), "*1|$1|x|", "~1|$1|x|"),
        (
            Value::map([("a", Value::Number(1)), ("b", Value::Null)]),
            "*4|$1|a|:1|$1|b|$-1|",
            "%2|$1|a|:1|$1|b|_|",
        ),
    ] {
        for (version, bytes) in [(Version::Two, two), (Version::Three, three)] {
            let encoded = value.encode(version);
            assert_eq!(String::from_utf8_lossy(&encoded).replace("\r\n", "|"), bytes, "{value:?}");
            // The codec that clients use parses the whole reply.
            let (length, bytes_read) = (encoded.len(), bytes::Bytes::from(encoded));
            let parsed_length = match version {
                Version::Two => resp2::decode::decode_bytes(&bytes_read).unwrap().unwrap().1,
                Version::Three => resp3::decode::complete::decode_bytes(&bytes_read).unwrap().unwrap().1,
            };
            assert_eq!(parsed_length, length, "{value:?} {version:?}");
        }
    }
}
