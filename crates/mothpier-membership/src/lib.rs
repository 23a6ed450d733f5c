//! Which boxes there are, by several sources that may disagree. Pure: words and times go in, changes of one view come out.
//!
//! The list has the first word on a box that it names, and the last on one that it took away: draining or gone wins for as
//! long as that word may be trusted. Other sources add boxes that the list does not have, and can only make a node more
//! careful about those that it has. No source alone empties the view. [`Sources`] has the rule; [`dns_servers`] what is
//! held of DNS, [`gossip`] what nodes tell each other.
//!
//! Times are Unix milliseconds of a clock that never goes back.

pub mod admin_drain;
pub mod dns_servers;
pub mod gossip;
pub mod server_record;
pub mod sources;

pub use dns_servers::{DnsServer, DnsTrust};
pub use server_record::{Phase, ServerRecord};
pub use sources::{Changes, ServerReport, ServerTemplate, Settings, Sources, StateReason};
