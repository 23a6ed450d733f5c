//! What each node believes that the others send: from the messages that reached it, read as the module reads them.

use std::collections::BTreeMap;

use brassrouter::Micros;

use super::scenario::SECOND;

/// A peer that has not been heard for so long is forgotten, as the module does (of the longest aim).
const FORGOTTEN_AFTER: Micros = 750_000;
/// Figures before the tenants' rates, and bytes of each.
const BEFORE: usize = 2;
const BYTES: usize = 2;
/// Tenants of the scenario.
const TENANTS: usize = 3;

/// What a node believed at a time, and what was so, in requests a second.
#[derive(Clone, Copy, Debug)]
pub struct Belief {
    /// How many nodes there are.
    pub nodes: usize,
    /// What it was asked for.
    pub own: f64,
    /// What all others were asked for.
    pub others: f64,
    /// What the peers that it heard lately told.
    pub told: f64,
    /// How many peers that were.
    pub heard: usize,
    /// It had just started.
    pub young: bool,
    /// No message of a peer reaches it.
    pub deaf: bool,
    /// Part of all messages that are lost.
    pub loss: f64,
    /// Whether the settings let nodes tell each other anything.
    pub may_tell: bool,
}

/// What one node sees of itself and hears of the others.
#[derive(Clone, Debug, Default)]
pub struct Hearing {
    /// When each peer was last heard, and the rate that it told.
    peers: BTreeMap<usize, (Micros, f64)>,
    /// Its own requests of the last second.
    own: Vec<Micros>,
}

impl Hearing {
    /// A message of a peer came.
    pub fn heard(&mut self, now: Micros, from: usize, bytes: &[u8]) {
        let figure = |b: &[u8]| f64::from(f32::from_bits(u32::from(u16::from_le_bytes([b[0], b[1]])) << 16));
        let rates = bytes.chunks_exact(BYTES).skip(BEFORE).take(TENANTS).map(figure);
        self.peers.insert(from, (now, rates.sum()));
    }

    /// A request came.
    pub fn asked(&mut self, now: Micros) {
        self.own.retain(|at| at + SECOND > now);
        self.own.push(now);
    }

    /// The process began anew.
    pub fn forgets(&mut self) {
        self.peers.clear();
    }

    /// Its own requests in the second before a time.
    pub fn own_rate(&self, now: Micros) -> f64 {
        self.own.iter().filter(|at| **at + SECOND > now).count() as f64
    }

    /// Requests a second that the peers heard lately told of, and how many peers that were.
    pub fn others_rate(&self, now: Micros) -> (f64, usize) {
        let lately = self.peers.values().filter(|(heard, _)| heard + FORGOTTEN_AFTER >= now);
        (lately.clone().map(|(_, rate)| rate).sum(), lately.count())
    }
}
