//! Selects the DNS server for a query. Servers that failed are avoided for a time that doubles with each
//! failure.

use std::net::SocketAddr;

/// Back-off after the first failure.
const MIN_BACKOFF_MS: u64 = 1_000;
/// Maximum back-off after repeated failures.
const MAX_BACKOFF_MS: u64 = 30_000;

/// A DNS server and its recent results.
#[derive(Clone, Debug)]
pub struct Server {
    /// The address of the server.
    pub address: SocketAddr,
    /// Number of consecutive failures.
    pub failures: u32,
    /// Whether the server supports EDNS, as far as is known.
    pub edns: bool,
    backoff_until: u64,
}

/// The DNS servers of a resolver.
#[derive(Clone, Debug)]
pub struct Servers {
    all: Vec<Server>,
    /// The preferred server; each node chooses its own at random.
    preferred: usize,
}

impl Servers {
    /// Creates the set of servers; `preferred` is the index of the first choice.
    pub fn new(addresses: &[SocketAddr], preferred: usize) -> Self {
        let server =
            |address: &SocketAddr| Server { address: *address, failures: 0, edns: true, backoff_until: 0 };
        Servers { all: addresses.iter().map(server).collect(), preferred: preferred % addresses.len().max(1) }
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Returns a server by its index.
    pub fn get(&self, index: usize) -> &Server {
        &self.all[index]
    }

    /// Returns when the first server becomes available; a time in the past if one is available now.
    pub fn available_at(&self) -> u64 {
        self.all.iter().map(|s| s.backoff_until).min().unwrap_or(0)
    }

    /// Returns whether any server answered its last query. While none did, one query at a time is enough to
    /// detect a recovery.
    pub fn any_healthy(&self) -> bool {
        self.all.iter().any(|s| s.failures == 0)
    }

    /// Chooses a server that is not in `tried`: the first one that is not backing off, else the one whose
    /// back-off ends first.
    pub fn choose(&self, now: u64, tried: &[usize]) -> Option<usize> {
        let order = (0..self.all.len()).map(|index| (self.preferred + index) % self.all.len());
        let untried: Vec<usize> = order.filter(|index| !tried.contains(index)).collect();
        let available = untried.iter().find(|index| self.all[**index].backoff_until <= now);
        available.or_else(|| untried.iter().min_by_key(|index| self.all[**index].backoff_until)).copied()
    }

    /// Records that a server answered.
    pub fn record_success(&mut self, index: usize) {
        let server = &mut self.all[index];
        (server.failures, server.backoff_until) = (0, 0);
    }

    /// Records that a server did not answer.
    pub fn record_failure(&mut self, now: u64, index: usize) {
        let server = &mut self.all[index];
        let backoff = MIN_BACKOFF_MS.saturating_mul(1 << server.failures.min(16)).min(MAX_BACKOFF_MS);
        server.failures = server.failures.saturating_add(1);
        server.backoff_until = now + backoff;
    }

    /// Records that a server does not support EDNS.
    pub fn disable_edns(&mut self, index: usize) {
        self.all[index].edns = false;
    }
}

#[cfg(test)]
mod tests;
