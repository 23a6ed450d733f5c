//! DNS SRV records as a source of boxes, without I/O.
//!
//! [`Resolver`] is a state machine: it says what to ask which server and when ([`Query`]), is told what came, and gives a
//! [`ServiceView`] of the service. Sockets, time and chance are the caller's. Times are milliseconds of a monotonic clock.
//!
//! Sources: RFC 1035 (messages), RFC 2181 sections 5.2 and 8 (lifetimes of a set, and those with the highest bit), RFC
//! 2308 (negative answers), RFC 2782 (SRV), RFC 5452 (answers that can be forged), RFC 6891 (EDNS), RFC 7766 (TCP), RFC
//! 8767 (stale answers).

mod answer;
mod budget;
mod lifetime;
mod question;
mod resolver;
mod servers;

pub use answer::{Reply, Unreadable};
pub use budget::Bucket;
pub use hickory_proto::rr::Name;
pub use lifetime::Lifetimes;
pub use question::{Kind, Match, Question};
pub use resolver::{
    BadSettings, Counts, Failure, MAX_OUTSTANDING, Query, Resolver, ServiceView, Settings, Transport,
};
