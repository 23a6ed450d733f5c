//! The session of a client connection without I/O: the negotiated protocol version ([`value`]), and the
//! commands that client libraries send when they connect or that people type ([`commands`]).

pub mod commands;
pub mod value;

pub use commands::{Connection, NodeInfo};
pub use value::{Value, Version};
