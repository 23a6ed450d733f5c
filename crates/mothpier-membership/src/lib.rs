//! Merges several sources of membership, which may disagree, into one view of the cache servers. Performs no
//! I/O: the caller passes in reports and times, and gets changes of the view back.
//!
//! The server list from discovery is authoritative for the servers that it names. Once it has drained or
//! removed a server, this overrides all other sources for as long as the information may be trusted. The
//! other sources add servers that the list does not name, and can only make a node more cautious about those
//! that it does name. No source other than the list can empty the view. [`Sources`] implements the merge
//! rules, [`dns_servers`] keeps the servers that DNS has named, and [`gossip`] handles the reports that nodes
//! send each other.
//!
//! Times are Unix milliseconds from a clock that never goes backwards.

pub mod admin_drain;
pub mod dns_servers;
pub mod gossip;
pub mod server_record;
pub mod sources;

pub use dns_servers::{DnsServer, DnsTrust};
pub use server_record::{Phase, ServerRecord};
pub use sources::{Changes, ServerReport, ServerTemplate, Settings, Sources, StateReason};
