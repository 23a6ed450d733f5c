//! A question as it goes out, and whether something that came is the answer to it.

use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query};
use hickory_proto::rr::{DNSClass, Name, RecordType};

/// What a datagram may hold on its way here: no fragments on any usual network (the DNS flag day of 2020).
pub const PAYLOAD: u16 = 1232;

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The boxes of a service.
    Srv,
    /// A host's addresses of version 4.
    A,
    /// And of version 6.
    Aaaa,
}

impl Kind {
    /// Its record type.
    pub fn record(self) -> RecordType {
        match self {
            Kind::Srv => RecordType::SRV,
            Kind::A => RecordType::A,
            Kind::Aaaa => RecordType::AAAA,
        }
    }
}

/// One question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// Drawn for each asking: who can't see the question can't know it (RFC 5452, section 9.2).
    pub id: u16,
    /// The name.
    pub name: Name,
    /// The kind.
    pub kind: Kind,
}

/// What something that came is to a question.
#[derive(Clone, Debug, PartialEq)]
pub enum Match {
    /// Another's answer, or forged: waiting goes on.
    Not,
    /// It bears the id and can't be read.
    Broken,
    /// The answer.
    Answer(Box<Message>),
}

impl Question {
    /// The message that asks. `edns` says how long an answer may be (RFC 6891); servers of old refuse it.
    ///
    /// # Errors
    ///
    /// A name that no message can hold.
    pub fn bytes(&self, edns: bool) -> Result<Vec<u8>, String> {
        let mut message = Message::new(self.id, MessageType::Query, OpCode::Query);
        message.metadata.recursion_desired = true;
        message.add_query(Query::query(self.name.clone(), self.kind.record()));
        if edns {
            let mut extension = Edns::new();
            extension.set_max_payload(PAYLOAD).set_version(0);
            message.set_edns(extension);
        }
        message.to_vec().map_err(|e| e.to_string())
    }

    /// Whether bytes that came from the server that was asked are the answer: id, direction and question must be the
    /// same (RFC 5452, section 9.1).
    pub fn matches(&self, bytes: &[u8]) -> Match {
        let (Some(id), Some(flags)) = (bytes.get(..2), bytes.get(2)) else { return Match::Not };
        let is_answer = flags & 0x80 != 0;
        if id != self.id.to_be_bytes() || !is_answer {
            return Match::Not;
        }
        let Ok(message) = Message::from_vec(bytes) else { return Match::Broken };
        let same = |q: &Query| {
            q.name == self.name && q.query_type == self.kind.record() && q.query_class == DNSClass::IN
        };
        let of_this = match &message.queries[..] {
            [query] => same(query),
            // A server that could not read the question may leave it out.
            [] => u16::from(message.metadata.response_code) != 0,
            _ => false,
        };
        if message.metadata.op_code == OpCode::Query && of_this {
            Match::Answer(Box::new(message))
        } else {
            Match::Not
        }
    }
}
