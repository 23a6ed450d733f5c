//! The servers that DNS names. Their removal is delayed when many of them disappear at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A server named by DNS.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DnsServer {
    /// Address and port.
    pub address: SocketAddr,
    /// SRV priority; servers of the lowest one are used first (RFC 2782).
    pub priority: u16,
    /// SRV weight: the relative share among servers of the same priority.
    pub weight: u16,
}

/// How far the data from DNS may be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DnsTrust {
    /// No answer has been received yet.
    Unknown,
    /// The answer is within its lifetime.
    Fresh,
    /// The lifetime has passed and no newer answer could be obtained.
    Stale,
    /// DNS answered that there are no servers.
    Empty,
    /// The last answer is too old to be used.
    Expired,
}

impl DnsTrust {
    /// Returns the name shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            DnsTrust::Unknown => "unknown",
            DnsTrust::Fresh => "fresh",
            DnsTrust::Stale => "stale",
            DnsTrust::Empty => "nothing",
            DnsTrust::Expired => "silent",
        }
    }
}

/// Decides when the removal of servers from DNS must be confirmed before it takes effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShrinkGuard {
    /// The loss of more than this share of the servers in one answer must be confirmed; so must an empty
    /// answer.
    pub share: f64,
    /// Number of further answers that must confirm the loss.
    pub confirm: u64,
    /// Time that must also have passed since the loss was first seen, in milliseconds.
    pub hold_ms: u64,
}

impl Default for ShrinkGuard {
    fn default() -> Self {
        ShrinkGuard { share: 0.3, confirm: 3, hold_ms: 30_000 }
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Entry {
    server: DnsServer,
    /// When DNS first named the server, which counts as the start time of its process.
    first_named_at: u64,
    /// No longer named by DNS.
    missing: bool,
}

/// A loss of servers that awaits confirmation.
#[derive(Clone, Debug, PartialEq)]
struct PendingRemoval {
    started_at: u64,
    /// The answer counter at the last answer taken into account.
    answers: u64,
    /// Number of further answers that confirmed the loss.
    confirmed: u64,
}

/// The servers that DNS has named, by address.
#[derive(Clone, Debug, PartialEq)]
pub struct DnsServers {
    guard: ShrinkGuard,
    entries: BTreeMap<SocketAddr, Entry>,
    pending_removal: Option<PendingRemoval>,
    trust: DnsTrust,
}

impl DnsServers {
    /// Creates an empty set.
    pub fn new(guard: ShrinkGuard) -> Self {
        DnsServers { guard, entries: BTreeMap::new(), pending_removal: None, trust: DnsTrust::Unknown }
    }

    /// Takes the current data from DNS. `complete` is false while the addresses of some hosts are unknown; no
    /// server is removed then, unless DNS answered that there are none. `answers` is the number of answers
    /// received so far.
    pub fn update(&mut self, now: u64, trust: DnsTrust, named: &[DnsServer], complete: bool, answers: u64) {
        self.trust = trust;
        match trust {
            DnsTrust::Unknown => return,
            DnsTrust::Expired => return self.entries.clear(),
            DnsTrust::Fresh | DnsTrust::Stale | DnsTrust::Empty => {}
        }
        for server in named {
            let entry = self.entries.entry(server.address).or_insert(Entry {
                server: *server,
                first_named_at: now,
                missing: false,
            });
            (entry.server, entry.missing) = (*server, false);
        }
        if !complete && trust != DnsTrust::Empty {
            return;
        }
        let mut missing = 0;
        for (address, entry) in &mut self.entries {
            entry.missing = !named.iter().any(|server| server.address == *address);
            missing += usize::from(entry.missing);
        }
        if missing == 0 {
            self.pending_removal = None;
            return;
        }
        let sudden =
            named.is_empty() || missing as f64 > (self.entries.len() as f64 * self.guard.share).max(1.0);
        if self.pending_removal.is_none() && !sudden {
            return self.entries.retain(|_, entry| !entry.missing);
        }
        let pending =
            self.pending_removal.get_or_insert(PendingRemoval { started_at: now, answers, confirmed: 0 });
        if pending.answers != answers {
            (pending.answers, pending.confirmed) = (answers, pending.confirmed + 1);
        }
        if pending.confirmed >= self.guard.confirm && now >= pending.started_at + self.guard.hold_ms {
            self.pending_removal = None;
            self.entries.retain(|_, entry| !entry.missing);
        }
    }

    /// Returns the servers in use, each with the time at which it was first named and whether its removal is
    /// pending.
    pub fn servers(&self) -> impl Iterator<Item = (DnsServer, u64, bool)> + '_ {
        self.entries.values().map(|entry| (entry.server, entry.first_named_at, entry.missing))
    }

    /// Returns how far the data may be trusted.
    pub fn trust(&self) -> DnsTrust {
        self.trust
    }

    /// Returns the number of servers that DNS no longer names and whose removal is not confirmed yet.
    pub fn pending_removals(&self) -> usize {
        self.entries.values().filter(|entry| entry.missing).count()
    }

    /// Returns whether there is a server at the address, including those whose removal is pending.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.entries.contains_key(&address)
    }
}

#[cfg(test)]
mod tests;
