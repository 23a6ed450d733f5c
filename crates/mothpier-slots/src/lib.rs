//! The cluster dialect of RESP, decided without I/O: which slot a key has ([`slot`]) and which node of the tier is shown
//! to clients as a slot's owner ([`tier`]).
//!
//! Source: the Redis Cluster specification ("Key distribution model", "Hash tags", "MOVED Redirection", "ASK
//! Redirection") and the pages of the CLUSTER commands.
//!
//! Towards boxes: what they answer in place of a value ([`redirect`]), what they say of their cluster ([`view`]), the
//! table that comes of it ([`table`]), when they are asked ([`refresh`]), and all of it together ([`pool`]).

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
