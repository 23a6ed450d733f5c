//! What is held of DNS: the boxes that it named, and the doubt when many vanish at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A box that DNS names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DnsServer {
    /// Where it is.
    pub address: SocketAddr,
    /// Lower ones are used first (RFC 2782).
    pub priority: u16,
    /// Its part among those of one priority.
    pub weight: u16,
}

/// How far what DNS says may be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DnsTrust {
    /// Nothing was heard yet.
    Unknown,
    /// It holds.
    Fresh,
    /// It has run out; nothing newer is to be had.
    Stale,
    /// There are no boxes, it says.
    Nothing,
    /// It is too old to be used.
    Silent,
}

impl DnsTrust {
    /// Its name for people.
    pub fn name(self) -> &'static str {
        match self {
            DnsTrust::Unknown => "unknown",
            DnsTrust::Fresh => "fresh",
            DnsTrust::Stale => "stale",
            DnsTrust::Nothing => "nothing",
            DnsTrust::Silent => "silent",
        }
    }
}

/// When a source that shrinks is not obeyed at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShrinkGuard {
    /// More than this part of its boxes gone in one answer is doubted; so is an empty answer.
    pub share: f64,
    /// Further answers that must say the same.
    pub confirm: u64,
    /// And so much time must have passed, milliseconds.
    pub hold_ms: u64,
}

impl Default for ShrinkGuard {
    fn default() -> Self {
        ShrinkGuard { share: 0.3, confirm: 3, hold_ms: 30_000 }
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Held {
    named: DnsServer,
    /// When it was first named here: it counts as started then.
    since: u64,
    lost: bool,
}

#[derive(Clone, Debug, PartialEq)]
struct Doubted {
    since: u64,
    /// The count of answers when it began, and those that have said the same since.
    answers: u64,
    confirmed: u64,
}

/// The boxes that DNS named.
#[derive(Clone, Debug, PartialEq)]
pub struct DnsServers {
    doubt: ShrinkGuard,
    held: BTreeMap<SocketAddr, Held>,
    doubted: Option<Doubted>,
    word: DnsTrust,
}

impl DnsServers {
    /// Nothing yet.
    pub fn new(doubt: ShrinkGuard) -> Self {
        DnsServers { doubt, held: BTreeMap::new(), doubted: None, word: DnsTrust::Unknown }
    }

    /// Takes what DNS says as of now. `all` is false while some hosts' addresses are not known: nothing is taken away
    /// then. `answers` counts the answers that were heard.
    pub fn heard(&mut self, now: u64, word: DnsTrust, named: &[DnsServer], all: bool, answers: u64) {
        self.word = word;
        match word {
            DnsTrust::Unknown => return,
            DnsTrust::Silent => return self.held.clear(),
            DnsTrust::Fresh | DnsTrust::Stale | DnsTrust::Nothing => {}
        }
        for n in named {
            let held = self.held.entry(n.address).or_insert(Held { named: *n, since: now, lost: false });
            (held.named, held.lost) = (*n, false);
        }
        if !all && word != DnsTrust::Nothing {
            return;
        }
        let mut lost = 0;
        for (address, held) in &mut self.held {
            held.lost = !named.iter().any(|n| n.address == *address);
            lost += usize::from(held.lost);
        }
        if lost == 0 {
            self.doubted = None;
            return;
        }
        let sudden = named.is_empty() || lost as f64 > (self.held.len() as f64 * self.doubt.share).max(1.0);
        if self.doubted.is_none() && !sudden {
            return self.held.retain(|_, held| !held.lost);
        }
        let doubted = self.doubted.get_or_insert(Doubted { since: now, answers, confirmed: 0 });
        if doubted.answers != answers {
            (doubted.answers, doubted.confirmed) = (answers, doubted.confirmed + 1);
        }
        if doubted.confirmed >= self.doubt.confirm && now >= doubted.since + self.doubt.hold_ms {
            self.doubted = None;
            self.held.retain(|_, held| !held.lost);
        }
    }

    /// The boxes that count: each with the time since when it is named, and whether that is doubted.
    pub fn boxes(&self) -> impl Iterator<Item = (DnsServer, u64, bool)> + '_ {
        self.held.values().map(|h| (h.named, h.since, h.lost))
    }

    /// How far it is trusted.
    pub fn word(&self) -> DnsTrust {
        self.word
    }

    /// Boxes that vanished and are held all the same.
    pub fn doubted(&self) -> usize {
        self.held.values().filter(|h| h.lost).count()
    }

    /// Whether a box at an address is named, held in doubt included.
    pub fn has(&self, address: SocketAddr) -> bool {
        self.held.contains_key(&address)
    }
}

#[cfg(test)]
mod tests;
