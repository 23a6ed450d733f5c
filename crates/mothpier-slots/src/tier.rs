//! The tier as its nodes see it: which of them run, and which slots each is shown to own. Pure: messages and times go
//! in, messages and a map come out.
//!
//! Every node keeps, of every node, a version and whether it runs. The higher version wins, and at equal versions
//! "does not run" does, so that nodes that have heard the same, in any order and any number of times, hold the same.
//! Only a node itself says that it runs, with a version above all that is said of it. That it does not run is said by
//! the node as it stops, or by any other that has not heard it for [`SILENCE_TIMEOUT_MS`]; a node that hears so of itself
//! while it runs takes it back with a higher version. The epoch is the sum of all versions: it rises with each change and
//! is equal where the states are.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::slot::SLOTS;

/// A node that was not heard for so long does not run, milliseconds.
pub const SILENCE_TIMEOUT_MS: u64 = 3_000;
/// Between two tellings, milliseconds: several are lost in a row before a node counts as silent.
pub const ANNOUNCE_INTERVAL_MS: u64 = 400;
/// Nodes in a tier at the most.
pub const MAX_NODES: usize = 1_024;
/// How a message begins. The decision module's messages begin with two small figures, which this can't be.
const MAGIC: [u8; 4] = *b"MPT1";
/// Bytes of one node in a message: its number, its version, whether it runs.
const ENTRY: usize = 2 + 8 + 1;
/// The longest message.
const MOST_BYTES: usize = 256;
/// A down node's slots go to so many others at the most.
const HEIRS: usize = 4;

/// What is known of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct State {
    version: u64,
    up: bool,
}

/// A tier of nodes, as one of them sees it.
#[derive(Clone, Debug)]
pub struct Tier {
    nodes: Vec<SocketAddr>,
    me: usize,
    states: Vec<State>,
    heard_ms: Vec<u64>,
    /// Whether nodes tell each other; without, all of them count as running.
    telling: bool,
    stopping: bool,
    told_ms: Option<u64>,
    /// Where the next message's window over the others begins.
    window: usize,
}

/// Why a tier can't be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BadTier {
    /// It has no nodes, or more than [`MAX_NODES`].
    Size(usize),
    /// This node's number is not among them.
    Me(usize),
    /// An address is named twice.
    Twice(SocketAddr),
    /// An address that no client can connect to.
    NoAddress(SocketAddr),
}

impl std::fmt::Display for BadTier {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            BadTier::Size(n) => write!(f, "{n} nodes; a tier has 1 to {MAX_NODES}"),
            BadTier::Me(me) => {
                write!(f, "this node is number {me}, counted from 0, and the tier ends before it")
            }
            BadTier::Twice(a) => write!(f, "{a} is named twice; each node has an address of its own"),
            BadTier::NoAddress(a) => write!(f, "{a} is no address that clients can connect to"),
        }
    }
}

impl std::error::Error for BadTier {}

impl Tier {
    /// A tier with the addresses at which clients reach its nodes, by their numbers. `telling` says that the nodes tell
    /// each other of themselves; `unix_ms` is the start of this one.
    ///
    /// # Errors
    ///
    /// What can't be a tier.
    pub fn new(nodes: Vec<SocketAddr>, me: usize, telling: bool, unix_ms: u64) -> Result<Self, BadTier> {
        if nodes.is_empty() || nodes.len() > MAX_NODES {
            return Err(BadTier::Size(nodes.len()));
        }
        if me >= nodes.len() {
            return Err(BadTier::Me(me));
        }
        for (at, node) in nodes.iter().enumerate() {
            if node.port() == 0 || node.ip().is_unspecified() {
                return Err(BadTier::NoAddress(*node));
            }
            if nodes[..at].contains(node) {
                return Err(BadTier::Twice(*node));
            }
        }
        let mut states = vec![State { version: 0, up: true }; nodes.len()];
        if telling {
            // Above all that is said of an earlier life, which began before.
            states[me].version = unix_ms.max(1);
        }
        let heard_ms = vec![unix_ms; nodes.len()];
        Ok(Tier { nodes, me, states, heard_ms, telling, stopping: false, told_ms: None, window: 0 })
    }

    /// How many nodes there are, running or not.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Never: a tier has nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// This node's number.
    pub fn me(&self) -> usize {
        self.me
    }

    /// Where clients reach a node.
    pub fn address(&self, node: usize) -> SocketAddr {
        self.nodes[node]
    }

    /// A node's id: 40 hexadecimal digits, the same at every node and in every life.
    pub fn id(&self, node: usize) -> String {
        format!("{:08x}{:032x}", 0x6d6f_7468u32, node)
    }

    /// Whether a node is held to run.
    pub fn up(&self, node: usize) -> bool {
        self.states[node].up
    }

    /// Rises with every change; equal where the states are.
    pub fn epoch(&self) -> u64 {
        self.states.iter().map(|s| s.version).sum()
    }

    /// This node stops: its slots go to others at once.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.states[self.me] = State { version: self.states[self.me].version + 1, up: false };
        self.told_ms = None;
    }

    /// Looks for nodes that have fallen silent, and gives what is to be told to all, when it is time.
    pub fn tick(&mut self, unix_ms: u64) -> Option<Vec<u8>> {
        if !self.telling {
            return None;
        }
        for node in 0..self.nodes.len() {
            let state = &mut self.states[node];
            if node != self.me && state.up && unix_ms.saturating_sub(self.heard_ms[node]) > SILENCE_TIMEOUT_MS
            {
                *state = State { version: state.version + 1, up: false };
                // News is told at once.
                self.told_ms = None;
            }
        }
        if self.told_ms.is_some_and(|told| unix_ms < told + ANNOUNCE_INTERVAL_MS) {
            return None;
        }
        self.told_ms = Some(unix_ms);
        let mut message = MAGIC.to_vec();
        self.put(self.me, &mut message);
        let others = self.nodes.len() - 1;
        let room = ((MOST_BYTES - message.len()) / ENTRY).min(others);
        for step in 0..room {
            let node = (self.me + 1 + (self.window + step) % others.max(1)) % self.nodes.len();
            self.put(node, &mut message);
        }
        self.window = (self.window + room) % others.max(1);
        Some(message)
    }

    fn put(&self, node: usize, message: &mut Vec<u8>) {
        let State { version, up } = self.states[node];
        message.extend((node as u16).to_le_bytes());
        message.extend(version.to_le_bytes());
        message.push(u8::from(up));
    }

    /// Whether a datagram is one of these; all others are the decision module's.
    pub fn is_message(bytes: &[u8]) -> bool {
        bytes.starts_with(&MAGIC)
    }

    /// Takes what another node told. What no node would tell is passed over.
    pub fn heard(&mut self, unix_ms: u64, from: usize, bytes: &[u8]) {
        let Some(entries) = bytes.strip_prefix(&MAGIC) else { return };
        if from >= self.nodes.len() || from == self.me || !entries.len().is_multiple_of(ENTRY) {
            return;
        }
        self.heard_ms[from] = unix_ms;
        for entry in entries.chunks_exact(ENTRY) {
            let node = usize::from(u16::from_le_bytes([entry[0], entry[1]]));
            let version = entry[2..10].iter().rev().fold(0u64, |v, b| v << 8 | u64::from(*b));
            // Versions are times: one far ahead of the clock would make the true ones worthless.
            if node >= self.nodes.len() || version > unix_ms + 86_400_000 {
                continue;
            }
            let (told, held) = (State { version, up: entry[10] != 0 }, self.states[node]);
            let newer = (told.version, !told.up) > (held.version, !held.up);
            if newer && node != self.me {
                // Heard of as running by another counts as a sign of life only when it is news.
                if told.up && !held.up {
                    self.heard_ms[node] = unix_ms;
                }
                self.states[node] = told;
            } else if newer && !self.stopping {
                self.states[self.me] = State { version: told.version + 1, up: true };
                self.told_ms = None;
            }
        }
    }

    /// Which node is shown as the owner of which slots: ranges in order, without holes or overlaps. Every node has an
    /// equal part of all slots; what belongs to one that does not run goes, in equal pieces, to the next that do.
    pub fn ranges(&self) -> Vec<(RangeInclusive<u16>, usize)> {
        let count = self.nodes.len();
        let anyone = (0..count).any(|n| self.up(n));
        // A tier in which nobody is held to run still has this node to show.
        let runs = |n: usize| if anyone { self.up(n) } else { n == self.me };
        let mut ranges: Vec<(RangeInclusive<u16>, usize)> = Vec::new();
        let mut add = |from: usize, to: usize, owner: usize| {
            if from >= to {
                return;
            }
            let (from, to) = (from as u16, (to - 1) as u16);
            match ranges.last_mut() {
                Some((last, of)) if *of == owner => *last = *last.start()..=to,
                _ => ranges.push((from..=to, owner)),
            }
        };
        for node in 0..count {
            let part = |n: usize| n * usize::from(SLOTS) / count;
            let (from, to) = (part(node), part(node + 1));
            if runs(node) {
                add(from, to, node);
                continue;
            }
            let heirs: Vec<usize> =
                (1..count).map(|step| (node + step) % count).filter(|n| runs(*n)).take(HEIRS).collect();
            for (at, heir) in heirs.iter().enumerate() {
                let piece = |n: usize| from + n * (to - from) / heirs.len();
                add(piece(at), piece(at + 1), *heir);
            }
        }
        ranges
    }
}

#[cfg(test)]
mod tests;
