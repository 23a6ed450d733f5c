//! A box as a source tells of it.

use std::net::{IpAddr, SocketAddr};

use xxhash_rust::xxh3::xxh3_64;

/// Whether a box takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It does.
    Ready,
    /// It ends what it has and wants nothing new.
    Draining,
    /// It is no more.
    Gone,
}

impl Phase {
    /// Its name in the list and in what people read.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Ready => "ready",
            Phase::Draining => "draining",
            Phase::Gone => "gone",
        }
    }
}

/// A line of the list, or one made of what another source said.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRecord {
    /// The same at every node.
    pub id: String,
    /// Address and port, as it came.
    pub host_port: String,
    /// Zone.
    pub locality: String,
    /// Machine kind.
    pub flavor: String,
    /// Cell.
    pub cell: u16,
    /// A figure to compare with other boxes'.
    pub size: Option<f32>,
    /// When its process started, Unix milliseconds, 0 for long ago.
    pub up_since_ms: u64,
    /// Whether it takes requests.
    pub phase: Phase,
}

impl ServerRecord {
    /// Where it is; what is no address is none. An IPv4 address in the form of IPv6 is the same box.
    pub fn address(&self) -> Option<SocketAddr> {
        self.host_port.parse().ok().map(canonical)
    }

    /// A short name for it, the same at every node.
    pub fn hash(&self) -> u64 {
        xxh3_64(self.id.as_bytes())
    }
}

/// One address in one spelling.
pub fn canonical(at: SocketAddr) -> SocketAddr {
    match at.ip().to_canonical() {
        ip @ IpAddr::V4(_) => SocketAddr::new(ip, at.port()),
        IpAddr::V6(_) => at,
    }
}
