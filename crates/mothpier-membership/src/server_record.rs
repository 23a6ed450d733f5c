//! A server as reported by a membership source.

use std::net::{IpAddr, SocketAddr};

use xxhash_rust::xxh3::xxh3_64;

/// Whether a server takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Takes requests.
    Ready,
    /// Finishes the requests in progress and takes no new ones.
    Draining,
    /// No longer exists.
    Gone,
}

impl Phase {
    /// Returns the name used in the server list and shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Ready => "ready",
            Phase::Draining => "draining",
            Phase::Gone => "gone",
        }
    }
}

/// An entry of the server list, or one derived from another source.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRecord {
    /// Server id, the same on every node.
    pub id: String,
    /// Address and port as text, as the source gave it.
    pub host_port: String,
    /// Zone.
    pub locality: String,
    /// Machine kind.
    pub flavor: String,
    /// Cell.
    pub cell: u16,
    /// Relative size, comparable with that of other servers.
    pub size: Option<f32>,
    /// Start time of the process, in Unix milliseconds; 0 if long ago.
    pub up_since_ms: u64,
    /// Whether it takes requests.
    pub phase: Phase,
}

impl ServerRecord {
    /// Returns the address in canonical form, or `None` if `host_port` is not an address.
    pub fn address(&self) -> Option<SocketAddr> {
        self.host_port.parse().ok().map(canonical)
    }

    /// Returns a hash of the id, the same on every node.
    pub fn hash(&self) -> u64 {
        xxh3_64(self.id.as_bytes())
    }
}

/// Converts an IPv4-mapped IPv6 address to IPv4, so that equal addresses compare equal.
pub fn canonical(address: SocketAddr) -> SocketAddr {
    match address.ip().to_canonical() {
        ip @ IpAddr::V4(_) => SocketAddr::new(ip, address.port()),
        IpAddr::V6(_) => address,
    }
}
