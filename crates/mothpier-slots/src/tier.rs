//! The tier as its nodes see it: which nodes run, and which slots each of them is presented to own. No I/O:
//! messages and times go in, messages and a slot map come out.
//!
//! Every node keeps a version and a running flag for each node. The higher version wins; at equal versions
//! "not running" wins. Nodes that have received the same messages, in any order and any number of times,
//! therefore have the same state. Only a node itself announces that it runs, with a version above every
//! version known for it. That it does not run is announced by the node itself when it stops, or by any other
//! node that has not heard from it for [`SILENCE_TIMEOUT_MS`]; a running node that learns that it is taken
//! for stopped announces a higher version. The epoch is the sum of all versions: it rises with each change
//! and is equal for equal states.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::slot::SLOTS;

/// Time without a message after which a node is taken to have stopped, in milliseconds.
pub const SILENCE_TIMEOUT_MS: u64 = 3_000;
/// Interval between announcements, in milliseconds: several in a row must be lost before a node counts as
/// silent.
pub const ANNOUNCE_INTERVAL_MS: u64 = 400;
/// Maximum number of nodes in a tier.
pub const MAX_NODES: usize = 1_024;
/// The magic bytes at the start of a message. The policy's messages start with two small numbers, so the two
/// kinds can't be confused.
const MAGIC: [u8; 4] = *b"MPT1";
/// Size of the entry of one node in a message, in bytes: its number, its version, and whether it runs.
const ENTRY_BYTES: usize = 2 + 8 + 1;
/// Maximum size of a message.
const MAX_MESSAGE_BYTES: usize = 256;
/// Maximum number of nodes among which the slots of a stopped node are divided.
const MAX_SUCCESSORS: usize = 4;

/// The known state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NodeState {
    version: u64,
    up: bool,
}

/// The state of the tier as seen by one node.
#[derive(Clone, Debug)]
pub struct Tier {
    nodes: Vec<SocketAddr>,
    own_index: usize,
    states: Vec<NodeState>,
    last_heard_ms: Vec<u64>,
    /// Whether nodes announce themselves to each other; otherwise all of them count as running.
    announcing: bool,
    stopping: bool,
    last_announced_ms: Option<u64>,
    /// Where the selection of other nodes in the next message starts.
    window_start: usize,
}

/// Why a list of nodes is not a valid tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TierError {
    /// The list is empty or has more than [`MAX_NODES`] nodes.
    Size(usize),
    /// The number of this node is out of range.
    OwnIndex(usize),
    /// An address is given twice.
    DuplicateAddress(SocketAddr),
    /// Clients can't connect to the address.
    UnusableAddress(SocketAddr),
}

impl std::fmt::Display for TierError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            TierError::Size(count) => write!(f, "{count} nodes; a tier has 1 to {MAX_NODES}"),
            TierError::OwnIndex(own_index) => {
                write!(f, "this node has number {own_index}, counted from 0, but the tier has fewer nodes")
            }
            TierError::DuplicateAddress(address) => {
                write!(f, "{address} is named twice; each node needs an address of its own")
            }
            TierError::UnusableAddress(address) => {
                write!(f, "{address} is no address that clients can connect to")
            }
        }
    }
}

impl std::error::Error for TierError {}

impl Tier {
    /// Creates a tier from the client addresses of its nodes, in the order of their numbers. `announcing`
    /// enables announcements between the nodes; `unix_ms` is the start time of this node.
    ///
    /// # Errors
    ///
    /// Returns why the list of nodes is not a valid tier.
    pub fn new(
        nodes: Vec<SocketAddr>,
        own_index: usize,
        announcing: bool,
        unix_ms: u64,
    ) -> Result<Self, TierError> {
        if nodes.is_empty() || nodes.len() > MAX_NODES {
            return Err(TierError::Size(nodes.len()));
        }
        if own_index >= nodes.len() {
            return Err(TierError::OwnIndex(own_index));
        }
        for (index, node) in nodes.iter().enumerate() {
            if node.port() == 0 || node.ip().is_unspecified() {
                return Err(TierError::UnusableAddress(*node));
            }
            if nodes[..index].contains(node) {
                return Err(TierError::DuplicateAddress(*node));
            }
        }
        let mut states = vec![NodeState { version: 0, up: true }; nodes.len()];
        if announcing {
            // The start time is above every version known for an earlier process of this node, as that
            // started before.
            states[own_index].version = unix_ms.max(1);
        }
        let last_heard_ms = vec![unix_ms; nodes.len()];
        Ok(Tier {
            nodes,
            own_index,
            states,
            last_heard_ms,
            announcing,
            stopping: false,
            last_announced_ms: None,
            window_start: 0,
        })
    }

    /// Returns the number of nodes, running or not.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Always returns `false`: a tier has at least one node.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the number of this node.
    pub fn own_index(&self) -> usize {
        self.own_index
    }

    /// Returns the address at which clients reach a node.
    pub fn address(&self, node: usize) -> SocketAddr {
        self.nodes[node]
    }

    /// Returns the id of a node: 40 hexadecimal digits, the same at every node and after a restart.
    pub fn id(&self, node: usize) -> String {
        format!("{:08x}{:032x}", 0x6d6f_7468u32, node)
    }

    /// Returns whether a node is considered to be running.
    pub fn up(&self, node: usize) -> bool {
        self.states[node].up
    }

    /// Returns the epoch: it rises with every change and is equal for equal states.
    pub fn epoch(&self) -> u64 {
        self.states.iter().map(|state| state.version).sum()
    }

    /// Marks this node as stopping: its slots go to other nodes at once.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.states[self.own_index] =
            NodeState { version: self.states[self.own_index].version + 1, up: false };
        self.last_announced_ms = None;
    }

    /// Marks silent nodes as stopped, and returns the message to send to all other nodes when it is due.
    pub fn tick(&mut self, unix_ms: u64) -> Option<Vec<u8>> {
        if !self.announcing {
            return None;
        }
        for node in 0..self.nodes.len() {
            let state = &mut self.states[node];
            if node != self.own_index
                && state.up
                && unix_ms.saturating_sub(self.last_heard_ms[node]) > SILENCE_TIMEOUT_MS
            {
                *state = NodeState { version: state.version + 1, up: false };
                // A change is announced at once.
                self.last_announced_ms = None;
            }
        }
        if self.last_announced_ms.is_some_and(|last| unix_ms < last + ANNOUNCE_INTERVAL_MS) {
            return None;
        }
        self.last_announced_ms = Some(unix_ms);
        let mut message = MAGIC.to_vec();
        self.append_entry(self.own_index, &mut message);
        let others = self.nodes.len() - 1;
        let entry_count = ((MAX_MESSAGE_BYTES - message.len()) / ENTRY_BYTES).min(others);
        for step in 0..entry_count {
            let node = (self.own_index + 1 + (self.window_start + step) % others.max(1)) % self.nodes.len();
            self.append_entry(node, &mut message);
        }
        self.window_start = (self.window_start + entry_count) % others.max(1);
        Some(message)
    }

    fn append_entry(&self, node: usize, message: &mut Vec<u8>) {
        let NodeState { version, up } = self.states[node];
        message.extend((node as u16).to_le_bytes());
        message.extend(version.to_le_bytes());
        message.push(u8::from(up));
    }

    /// Returns whether a datagram is a tier message; all others belong to the policy.
    pub fn is_message(bytes: &[u8]) -> bool {
        bytes.starts_with(&MAGIC)
    }

    /// Processes a message from another node. Malformed messages and implausible entries are ignored.
    pub fn handle_message(&mut self, unix_ms: u64, from: usize, bytes: &[u8]) {
        let Some(entries) = bytes.strip_prefix(&MAGIC) else { return };
        if from >= self.nodes.len() || from == self.own_index || !entries.len().is_multiple_of(ENTRY_BYTES) {
            return;
        }
        self.last_heard_ms[from] = unix_ms;
        for entry in entries.chunks_exact(ENTRY_BYTES) {
            let node = usize::from(u16::from_le_bytes([entry[0], entry[1]]));
            let version = entry[2..10].iter().rev().fold(0u64, |v, b| v << 8 | u64::from(*b));
            // Versions derive from the clock: accepting one more than a day ahead would make the correct ones
            // ineffective.
            if node >= self.nodes.len() || version > unix_ms + 86_400_000 {
                continue;
            }
            let (received, known) = (NodeState { version, up: entry[10] != 0 }, self.states[node]);
            let is_newer = (received.version, !received.up) > (known.version, !known.up);
            if is_newer && node != self.own_index {
                // A report by a third node that this one runs counts as a sign of life only if it changes the
                // state.
                if received.up && !known.up {
                    self.last_heard_ms[node] = unix_ms;
                }
                self.states[node] = received;
            } else if is_newer && !self.stopping {
                self.states[self.own_index] = NodeState { version: received.version + 1, up: true };
                self.last_announced_ms = None;
            }
        }
    }

    /// Returns the ranges of slots with the node presented as their owner, in order, without gaps or
    /// overlaps. Every node has an equal share of the slots; the share of a stopped node is divided equally
    /// among the next running ones.
    pub fn ranges(&self) -> Vec<(RangeInclusive<u16>, usize)> {
        let count = self.nodes.len();
        let any_running = (0..count).any(|node| self.up(node));
        // If no node is considered to be running, this node is presented as the owner.
        let is_running = |node: usize| if any_running { self.up(node) } else { node == self.own_index };
        let mut ranges: Vec<(RangeInclusive<u16>, usize)> = Vec::new();
        let mut push_range = |from: usize, to: usize, owner: usize| {
            if from >= to {
                return;
            }
            let (from, to) = (from as u16, (to - 1) as u16);
            match ranges.last_mut() {
                Some((last, last_owner)) if *last_owner == owner => *last = *last.start()..=to,
                _ => ranges.push((from..=to, owner)),
            }
        };
        for node in 0..count {
            let share_start = |number: usize| number * usize::from(SLOTS) / count;
            let (from, to) = (share_start(node), share_start(node + 1));
            if is_running(node) {
                push_range(from, to, node);
                continue;
            }
            let successors: Vec<usize> = (1..count)
                .map(|step| (node + step) % count)
                .filter(|other| is_running(*other))
                .take(MAX_SUCCESSORS)
                .collect();
            for (index, successor) in successors.iter().enumerate() {
                let piece_start = |number: usize| from + number * (to - from) / successors.len();
                push_range(piece_start(index), piece_start(index + 1), *successor);
            }
        }
        ranges
    }
}

#[cfg(test)]
mod tests;
