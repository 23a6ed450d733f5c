//! Redis Cluster support without I/O.
//!
//! Towards clients: the slot of a key ([`slot`]) and which node of the tier is presented to slot-aware
//! clients as the owner of a slot ([`tier`]).
//!
//! Towards cache servers: the errors that they send in place of a value ([`redirect`]), the slot maps that
//! they report ([`view`]), the slot table merged from these maps ([`table`]), the schedule on which the maps
//! are requested ([`refresh`]), and all of these combined ([`pool`]).
//!
//! Source: the Redis Cluster specification ("Key distribution model", "Hash tags", "MOVED Redirection", "ASK
//! Redirection") and the reference pages of the CLUSTER commands.

pub mod pool;
pub mod redirect;
pub mod refresh;
pub mod slot;
pub mod table;
pub mod tier;
pub mod view;

pub use pool::Pool;
pub use slot::{SLOTS, slot_of};
pub use tier::Tier;
