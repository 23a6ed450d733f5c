//! Discovers cache servers by DNS SRV records, without I/O.
//!
//! [`Resolver`] is a state machine: it returns the queries to send ([`Query`]), takes their answers and
//! failures, and provides the current state of the service ([`ServiceView`]). The caller supplies sockets,
//! time and a random seed. Times are milliseconds of a monotonic clock.
//!
//! Sources: RFC 1035 (messages), RFC 2181 sections 5.2 and 8 (TTLs of record sets, and TTLs with the highest
//! bit set), RFC 2308 (negative answers), RFC 2782 (SRV), RFC 5452 (forged answers), RFC 6891 (EDNS), RFC
//! 7766 (TCP), RFC 8767 (stale answers).

mod answer;
mod budget;
mod lifetime;
mod question;
mod resolver;
mod servers;

pub use answer::{AnswerError, Reply};
pub use budget::TokenBucket;
pub use hickory_proto::rr::Name;
pub use lifetime::Lifetimes;
pub use question::{Kind, Match, Question};
pub use resolver::{
    Counts, Failure, MAX_OUTSTANDING, Query, Resolver, ServiceView, Settings, SettingsError, Transport,
};
