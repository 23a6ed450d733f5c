//! How the process shares out its file descriptors.
//!
//! What the process itself needs is set aside first, discovery's connections among it; clients and servers get the rest,
//! half each. However many clients stay connected, the list of servers can be asked for at any time.

use crate::config::{Config, sources};
use crate::{admin_listener, discovery};

/// Standard input, output and error.
const STANDARD_STREAMS: usize = 3;
/// The runtime's event queue, its duplicate and its waker, and three for signals.
const RUNTIME: usize = 6;
/// The clients' listener and the peers' socket.
const LISTENERS: usize = 2;
/// Files that are open for a moment, or locked for good: the configuration, and what is handed over between processes.
const FILES: usize = 3;
/// Connections to discovery: every call that may be out at once.
pub const DISCOVERY: usize = discovery::CALLS;
/// What every process sets aside before clients and servers get anything.
pub const RESERVE: usize = STANDARD_STREAMS + RUNTIME + LISTENERS + FILES + DISCOVERY;
/// Connections to coordinators: of the leases, and of the fleet's agreement the watch, the session and a call.
const COORDINATORS: usize = 4;
/// The least that must be left to share: two for clients, one for servers, one for the origin.
const LEAST_SHARED: usize = 4;

// The checks of a configuration reckon with the same figure.
const _: () = assert!(RESERVE as u64 == mothpier_config::OWN_SOCKETS);

/// The descriptors of one process, shared out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    /// Set aside for the process itself.
    pub reserved: usize,
    /// Client connections.
    pub clients: usize,
    /// Connections to cache servers.
    pub servers: usize,
    /// Connections to the origin.
    pub origins: usize,
}

impl Descriptors {
    /// Shares out what a configuration allows.
    ///
    /// # Errors
    ///
    /// One plain line, where too few are left for clients and servers.
    pub fn of(config: &Config) -> Result<Self, String> {
        let asks_dns = config.sources.as_ref().is_some_and(|sources| sources.dns.is_some());
        let optional = [
            (asks_dns, sources::DESCRIPTORS),
            (config.operator.is_some(), admin_listener::DESCRIPTORS),
            (config.coordination.is_some(), COORDINATORS),
            (config.boxes.is_some(), config.boxes.map_or(0, |boxes| boxes.budget.ask)),
        ];
        let wanted: usize = optional.iter().filter(|(used, _)| *used).map(|(_, count)| count).sum();
        Self::share(config.sockets, RESERVE + wanted)
    }

    /// Shares out a number of descriptors, so many of which are reserved.
    fn share(all: usize, reserved: usize) -> Result<Self, String> {
        let left = all.saturating_sub(reserved);
        if left < LEAST_SHARED {
            return Err(format!("{all} descriptors are too few: the process itself needs {reserved}"));
        }
        // Neither clients nor servers can leave the other without.
        let half = left / 2;
        let origins = (half / 4).max(1);
        Ok(Descriptors { reserved, clients: half, servers: half - origins, origins })
    }
}

#[cfg(test)]
mod tests;
