//! Gossip between nodes: they notify each other of servers that are draining or gone, so that a node that
//! cannot reach its server list still respects a drain.
//!
//! A node originates an item only for a change that its own list reported. A node that receives an item
//! forwards it once after a random delay, unless enough copies from other nodes have arrived by then
//! (suppression as in Trickle, RFC 6206). An item is about one process of a server and does not apply to a
//! process that started later. It can only make a node more cautious, expires by itself, and cannot be
//! renewed for the same process until a further period of the same length has passed. A faulty or lagging
//! peer can therefore take out only a bounded share of the servers for a bounded part of the time.

use std::collections::BTreeMap;

use crate::server_record::Phase;

/// Prefix of a gossip message, which tells it apart from the other kinds of messages between nodes.
pub const MAGIC: [u8; 4] = *b"MPW1";
/// Encoded size of an item: server hash, process start, time of announcement, phase, hops.
const ITEM_BYTES: usize = 8 + 8 + 8 + 1 + 1;
/// Maximum size of a message.
const MAX_MESSAGE_BYTES: usize = 256;
/// Maximum number of items kept.
const MAX_ITEMS: usize = 1_024;
/// Items announced further in the future than this are rejected: the clocks of nodes differ by less.
const MAX_CLOCK_SKEW_MS: u64 = 2_000;
/// Maximum number of forwards: the originator sends an item to all nodes, and each of them once more to all.
const MAX_HOPS: u8 = 1;
/// Interval between two transmissions of an item by the same node, in milliseconds.
const SEND_INTERVAL_MS: u64 = 120;
/// Minimum random delay before an item is forwarded, in milliseconds.
const MIN_FORWARD_DELAY_MS: u64 = 150;
/// Upper bound (exclusive) of the random delay before an item is forwarded, in milliseconds.
const MAX_FORWARD_DELAY_MS: u64 = 600;
/// A node that has received this many copies of an item does not forward it (Trickle's redundancy constant).
const REDUNDANCY_LIMIT: u32 = 3;

/// Settings of gossip between nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How long an item applies after a list reported the change, in milliseconds.
    pub trust_ms: u64,
    /// Share of the servers that gossip may take out of service at a time; at least one server.
    pub max_share: f64,
    /// Number of times that the originating node sends an item.
    pub sends: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { trust_ms: 60_000, max_share: 0.25, sends: 3 }
    }
}

/// A report that a server process takes no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipItem {
    /// The server's [`crate::ServerRecord::hash`].
    pub server_hash: u64,
    /// Start time of the process, which identifies it.
    pub up_since_ms: u64,
    /// When the originator's list reported the change.
    pub announced_ms: u64,
    /// Draining or gone.
    pub phase: Phase,
    /// Number of times the item has been forwarded.
    pub hops: u8,
}

#[derive(Clone, Debug)]
struct Entry {
    item: GossipItem,
    /// When it was received from another node; `None` if this node's own list reported the change.
    received_at: Option<u64>,
    /// Number of copies received.
    copies: u32,
    /// Number of transmissions still to be made.
    sends_left: u32,
    next_send_at: u64,
    /// End of the item's effect. It is kept for another trust period, so that it cannot be renewed.
    expires_at: u64,
}

/// The gossip items that a node keeps.
#[derive(Clone, Debug)]
pub struct Gossip {
    settings: Settings,
    /// By server hash.
    entries: BTreeMap<u64, Entry>,
    /// State of the generator for random delays.
    rng_state: u64,
}

impl Gossip {
    /// Creates an empty set of items.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Gossip { settings, entries: BTreeMap::new(), rng_state: seed | 1 }
    }

    fn forward_delay(&mut self) -> u64 {
        // Randomness only spreads transmissions over time, so any generator will do (xorshift64, Marsaglia
        // 2003).
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        MIN_FORWARD_DELAY_MS + self.rng_state % (MAX_FORWARD_DELAY_MS - MIN_FORWARD_DELAY_MS)
    }

    fn prune(&mut self, now: u64) {
        let trust = self.settings.trust_ms;
        self.entries.retain(|_, entry| now < entry.expires_at + trust || entry.sends_left > 0);
        while self.entries.len() > MAX_ITEMS {
            let oldest =
                self.entries.iter().min_by_key(|(_, entry)| entry.expires_at).map(|(server, _)| *server);
            oldest.and_then(|server| self.entries.remove(&server));
        }
    }

    /// Takes from this node's own list that a server process is draining or gone, to announce it to other
    /// nodes.
    pub fn announce(&mut self, now: u64, server_hash: u64, up_since_ms: u64, phase: Phase) {
        self.prune(now);
        if let Some(entry) =
            self.entries.get_mut(&server_hash).filter(|entry| entry.item.up_since_ms >= up_since_ms)
        {
            // Another node reported it first, or it was announced when the server began to drain. The own
            // list now confirms it, unless the known item is about a later process.
            entry.received_at = entry.received_at.filter(|_| entry.item.up_since_ms > up_since_ms);
            return;
        }
        let item = GossipItem { server_hash, up_since_ms, announced_ms: now, phase, hops: 0 };
        let (sends_left, expires_at) = (self.settings.sends, now + self.settings.trust_ms);
        self.entries.insert(
            server_hash,
            Entry { item, received_at: None, copies: 0, sends_left, next_send_at: now, expires_at },
        );
    }

    /// Ends the item about a server that this node's own list reports as ready again.
    pub fn mark_ready(&mut self, server_hash: u64) {
        if let Some(entry) = self.entries.get_mut(&server_hash) {
            (entry.expires_at, entry.sends_left) = (0, 0);
        }
    }

    /// Returns whether a message from another node is a gossip message.
    pub fn is_message(bytes: &[u8]) -> bool {
        bytes.starts_with(&MAGIC)
    }

    /// Processes a message from another node and returns the number of new items. Malformed data is ignored.
    pub fn receive(&mut self, now: u64, bytes: &[u8]) -> usize {
        self.prune(now);
        let Some(items) = bytes.strip_prefix(&MAGIC) else { return 0 };
        if items.len() % ITEM_BYTES != 0 || bytes.len() > MAX_MESSAGE_BYTES {
            return 0;
        }
        items.chunks_exact(ITEM_BYTES).filter_map(decode).filter(|item| self.accept(now, *item)).count()
    }

    fn accept(&mut self, now: u64, item: GossipItem) -> bool {
        let expired = now.saturating_sub(item.announced_ms) >= self.settings.trust_ms;
        if expired || item.announced_ms > now + MAX_CLOCK_SKEW_MS || item.hops > MAX_HOPS {
            return false;
        }
        if let Some(entry) =
            self.entries.get_mut(&item.server_hash).filter(|entry| entry.item.up_since_ms >= item.up_since_ms)
        {
            // Another copy does not extend the lifetime, whatever its time or phase.
            entry.copies = entry.copies.saturating_add(1);
            return false;
        }
        let next_send_at = now + self.forward_delay();
        let sends_left = u32::from(item.hops < MAX_HOPS);
        let expires_at = item.announced_ms.min(now) + self.settings.trust_ms;
        let entry = Entry { item, received_at: Some(now), copies: 1, sends_left, next_send_at, expires_at };
        self.entries.insert(item.server_hash, entry);
        true
    }

    /// Returns the message to send to all other nodes now, if any.
    pub fn next_message(&mut self, now: u64) -> Option<Vec<u8>> {
        self.prune(now);
        let mut message = MAGIC.to_vec();
        for entry in
            self.entries.values_mut().filter(|entry| entry.sends_left > 0 && entry.next_send_at <= now)
        {
            if entry.received_at.is_some() && entry.copies >= REDUNDANCY_LIMIT {
                entry.sends_left = 0;
                continue;
            }
            if message.len() + ITEM_BYTES > MAX_MESSAGE_BYTES {
                break;
            }
            entry.sends_left -= 1;
            entry.next_send_at = now + SEND_INTERVAL_MS;
            let outgoing =
                GossipItem { hops: entry.item.hops + u8::from(entry.received_at.is_some()), ..entry.item };
            encode(&outgoing, &mut message);
        }
        (message.len() > MAGIC.len()).then_some(message)
    }

    /// Returns when the next transmission is due.
    pub fn next_send_due(&self) -> Option<u64> {
        self.entries.values().filter(|entry| entry.sends_left > 0).map(|entry| entry.next_send_at).min()
    }

    /// Returns when the next item received from another node expires.
    pub fn next_expiry(&self, now: u64) -> Option<u64> {
        self.entries
            .values()
            .filter(|entry| entry.received_at.is_some() && entry.expires_at > now)
            .map(|entry| entry.expires_at)
            .min()
    }

    /// Returns when another node's report about a server process arrived, if one applies now.
    pub fn reported_at(&self, now: u64, server_hash: u64, up_since_ms: u64) -> Option<u64> {
        let entry = self.entries.get(&server_hash)?;
        entry.received_at.filter(|_| now < entry.expires_at && entry.item.up_since_ms >= up_since_ms)
    }

    /// Returns the number of items kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no items are kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn encode(item: &GossipItem, message: &mut Vec<u8>) {
    message.extend_from_slice(&item.server_hash.to_be_bytes());
    message.extend_from_slice(&item.up_since_ms.to_be_bytes());
    message.extend_from_slice(&item.announced_ms.to_be_bytes());
    message.push(u8::from(item.phase == Phase::Gone));
    message.push(item.hops);
}

fn decode(bytes: &[u8]) -> Option<GossipItem> {
    let number = |offset: usize| bytes.get(offset..offset + 8)?.try_into().ok().map(u64::from_be_bytes);
    let phase = match bytes.get(24)? {
        0 => Phase::Draining,
        1 => Phase::Gone,
        _ => return None,
    };
    Some(GossipItem {
        server_hash: number(0)?,
        up_since_ms: number(8)?,
        announced_ms: number(16)?,
        phase,
        hops: *bytes.get(25)?,
    })
}

#[cfg(test)]
mod tests;
