//! What a client's connection is, and what it asks besides requests, without I/O: the version of the protocol that was
//! settled ([`value`]), and the commands that libraries send as they connect or that people type ([`commands`]).

pub mod commands;
pub mod value;

pub use commands::{Connection, Facts};
pub use value::{Value, Version};
