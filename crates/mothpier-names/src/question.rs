//! Encodes questions and matches answers to them.

use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query};
use hickory_proto::rr::{DNSClass, Name, RecordType};

/// Maximum payload of a datagram that the server may send: not fragmented on any common network (DNS flag day
/// 2020).
pub const MAX_UDP_PAYLOAD: u16 = 1232;

/// The kind of records that is queried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The servers of a service.
    Srv,
    /// The IPv4 addresses of a host.
    A,
    /// The IPv6 addresses of a host.
    Aaaa,
}

impl Kind {
    /// Returns the record type.
    pub fn record_type(self) -> RecordType {
        match self {
            Kind::Srv => RecordType::SRV,
            Kind::A => RecordType::A,
            Kind::Aaaa => RecordType::AAAA,
        }
    }
}

/// A question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// A random id for each query, so that a sender who can't see the query can't guess it (RFC 5452, section
    /// 9.2).
    pub id: u16,
    /// The name.
    pub name: Name,
    /// The kind.
    pub kind: Kind,
}

/// How a received message relates to a question.
#[derive(Clone, Debug, PartialEq)]
pub enum Match {
    /// Not an answer to this question, or a forged one: the caller keeps waiting.
    NoMatch,
    /// The id matches but the message can't be parsed.
    Broken,
    /// The answer.
    Answer(Box<Message>),
}

impl Question {
    /// Returns the encoded query. `edns` adds the maximum payload size (RFC 6891), which some old servers
    /// reject.
    ///
    /// # Errors
    ///
    /// Fails for a name that does not fit in a message.
    pub fn bytes(&self, edns: bool) -> Result<Vec<u8>, String> {
        let mut message = Message::new(self.id, MessageType::Query, OpCode::Query);
        message.metadata.recursion_desired = true;
        message.add_query(Query::query(self.name.clone(), self.kind.record_type()));
        if edns {
            let mut extension = Edns::new();
            extension.set_max_payload(MAX_UDP_PAYLOAD).set_version(0);
            message.set_edns(extension);
        }
        message.to_vec().map_err(|e| e.to_string())
    }

    /// Checks whether bytes received from the queried server are the answer: the id, the direction and the
    /// question must match (RFC 5452, section 9.1).
    pub fn matches(&self, bytes: &[u8]) -> Match {
        let (Some(id), Some(flags)) = (bytes.get(..2), bytes.get(2)) else { return Match::NoMatch };
        let is_answer = flags & 0x80 != 0;
        if id != self.id.to_be_bytes() || !is_answer {
            return Match::NoMatch;
        }
        let Ok(message) = Message::from_vec(bytes) else { return Match::Broken };
        let is_same_question = |query: &Query| {
            query.name == self.name
                && query.query_type == self.kind.record_type()
                && query.query_class == DNSClass::IN
        };
        let question_matches = match &message.queries[..] {
            [query] => is_same_question(query),
            // A server that could not parse the question may leave it out.
            [] => u16::from(message.metadata.response_code) != 0,
            _ => false,
        };
        if message.metadata.op_code == OpCode::Query && question_matches {
            Match::Answer(Box::new(message))
        } else {
            Match::NoMatch
        }
    }
}
