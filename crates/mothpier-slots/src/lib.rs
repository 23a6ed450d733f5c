//! The cluster dialect of RESP, decided without I/O: which slot a key has ([`slot`]), which node of the tier is shown
//! as a slot's owner ([`tier`]), and what a slot-aware client is answered ([`commands`]).
//!
//! Source: the Redis Cluster specification ("Key distribution model", "Hash tags", "CLUSTER NODES output format") and
//! the pages of the commands, named where they are answered.

//!
//! Towards boxes: what they answer in place of a value ([`redirect`]), what they say of their cluster ([`view`]), the
//! table that comes of it ([`table`]), when they are asked ([`refresh`]), and all of it together ([`pool`]).

pub mod commands;
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
