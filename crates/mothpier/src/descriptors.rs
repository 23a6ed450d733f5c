//! How the process divides up its file descriptors.
//!
//! What the process itself needs is reserved first, including its connections to discovery. Clients and
//! servers get half of the rest each. So the server list can be requested at any time, however many clients
//! stay connected.

use crate::config::{Config, sources};
use crate::{admin_listener, discovery, handover_store};

/// Standard input, output and error.
const STANDARD_STREAMS: usize = 3;
/// The runtime's event queue, its duplicate and its waker, and three for signals.
const RUNTIME_DESCRIPTORS: usize = 6;
/// The clients' listener and the peers' socket.
const LISTENERS: usize = 2;
/// Files that are open for a moment, or locked permanently: the configuration and the state handed over
/// between processes.
const FILES: usize = 3;
/// Connections to discovery: the maximum number of concurrent calls.
pub const DISCOVERY_CALLS: usize = discovery::MAX_AGENT_CALLS;
/// Reserved by every process before clients and servers get any.
pub const RESERVE: usize = STANDARD_STREAMS + RUNTIME_DESCRIPTORS + LISTENERS + FILES + DISCOVERY_CALLS;
/// Connections to coordinators: one for the leases, and for the fleet's drains the watch, the session and a
/// call.
const COORDINATORS: usize = 4;
/// The minimum left to divide up: two for clients, one for servers, one for the origin.
const MIN_SHARED: usize = 4;

// The configuration checks use the same number.
const _: () = assert!(RESERVE as u64 == mothpier_config::RESERVED_DESCRIPTORS);

/// The division of one process's descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    /// Reserved for the process itself.
    pub reserved: usize,
    /// Client connections.
    pub clients: usize,
    /// Connections to cache servers.
    pub servers: usize,
    /// Connections to the origin.
    pub origins: usize,
}

impl Descriptors {
    /// Divides up the descriptors that a configuration allows.
    ///
    /// # Errors
    ///
    /// A one-line message, if too few are left for clients and servers.
    pub fn of(config: &Config) -> Result<Self, String> {
        let uses_dns = config.sources.as_ref().is_some_and(|sources| sources.dns.is_some());
        let optional = [
            (uses_dns, sources::MAX_DNS_DESCRIPTORS),
            (config.operator.is_some(), admin_listener::DESCRIPTORS),
            (config.coordination.is_some(), COORDINATORS),
            (config.handover_store.is_some(), handover_store::ID_TABLES),
            (
                config.server_pool.is_some(),
                config.server_pool.map_or(0, |pool| pool.budget.servers_per_round),
            ),
        ];
        let optional_total: usize = optional.iter().filter(|(used, _)| *used).map(|(_, count)| count).sum();
        Self::divide(config.sockets, RESERVE + optional_total)
    }

    /// Divides up `limit` descriptors, `reserved` of which are reserved.
    fn divide(limit: usize, reserved: usize) -> Result<Self, String> {
        let remaining = limit.saturating_sub(reserved);
        if remaining < MIN_SHARED {
            return Err(format!("{limit} descriptors are too few: the process itself needs {reserved}"));
        }
        // Equal halves, so that neither clients nor servers can starve the other.
        let half = remaining / 2;
        let origins = (half / 4).max(1);
        Ok(Descriptors { reserved, clients: half, servers: half - origins, origins })
    }
}

#[cfg(test)]
mod tests;
