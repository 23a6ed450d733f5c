//! The cluster dialect of RESP, decided without I/O: which slot a key has ([`slot`]), which node of the tier is shown
//! as a slot's owner ([`tier`]), and what a slot-aware client is answered ([`commands`]).
//!
//! Source: the Redis Cluster specification ("Key distribution model", "Hash tags", "CLUSTER NODES output format") and
//! the pages of the commands, named where they are answered.

pub mod commands;
pub mod slot;
pub mod tier;

pub use slot::{SLOTS, slot_of};
pub use tier::Tier;
