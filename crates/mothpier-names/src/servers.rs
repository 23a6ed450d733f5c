//! Which server is asked: those that failed rest for a while that doubles.

use std::net::SocketAddr;

/// The first rest after a failure, and the longest, milliseconds.
const REST: (u64, u64) = (1_000, 30_000);

/// A server and how it has done.
#[derive(Clone, Debug)]
pub struct Server {
    /// Where it is.
    pub at: SocketAddr,
    /// Failures in a row.
    pub failures: u32,
    /// It understands EDNS, as far as is known.
    pub edns: bool,
    rests_until: u64,
}

/// The servers of a resolver.
#[derive(Clone, Debug)]
pub struct Servers {
    all: Vec<Server>,
    /// The one that is asked while it does well: another at each node.
    first: usize,
}

impl Servers {
    /// Servers, and which of them is the first choice.
    pub fn new(at: &[SocketAddr], first: usize) -> Self {
        let server = |at: &SocketAddr| Server { at: *at, failures: 0, edns: true, rests_until: 0 };
        Servers { all: at.iter().map(server).collect(), first: first % at.len().max(1) }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// One of them.
    pub fn get(&self, number: usize) -> &Server {
        &self.all[number]
    }

    /// When the first of them is awake; at once where one is.
    pub fn awake_at(&self) -> u64 {
        self.all.iter().map(|s| s.rests_until).min().unwrap_or(0)
    }

    /// Whether one of them answered when it was last asked: while none did, one question at a time is enough to see.
    pub fn any_well(&self) -> bool {
        self.all.iter().any(|s| s.failures == 0)
    }

    /// Which to ask, leaving out those tried already: the first that does not rest, else the one whose rest ends first.
    pub fn choose(&self, now: u64, tried: &[usize]) -> Option<usize> {
        let order = (0..self.all.len()).map(|n| (self.first + n) % self.all.len());
        let untried: Vec<usize> = order.filter(|n| !tried.contains(n)).collect();
        let awake = untried.iter().find(|n| self.all[**n].rests_until <= now);
        awake.or_else(|| untried.iter().min_by_key(|n| self.all[**n].rests_until)).copied()
    }

    /// It answered.
    pub fn did_well(&mut self, number: usize) {
        let server = &mut self.all[number];
        (server.failures, server.rests_until) = (0, 0);
    }

    /// It said nothing.
    pub fn failed(&mut self, now: u64, number: usize) {
        let server = &mut self.all[number];
        let rest = REST.0.saturating_mul(1 << server.failures.min(16)).min(REST.1);
        server.failures = server.failures.saturating_add(1);
        server.rests_until = now + rest;
    }

    /// It knows no EDNS.
    pub fn plain(&mut self, number: usize) {
        self.all[number].edns = false;
    }
}

#[cfg(test)]
mod tests;
