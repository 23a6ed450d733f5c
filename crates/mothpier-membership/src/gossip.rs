//! Word of mouth: nodes tell each other that a box drains or is gone, so that one whose list is out of reach keeps the
//! drain all the same.
//!
//! Only what a node's own list told it begins a rumour. Who hears one tells it on once, after a random pause, and not at all
//! when it has heard others tell it meanwhile (as RFC 6206, Trickle, keeps still). A rumour is about one process of a box: one
//! that started later is none of its business. It can only make a node more careful, ends by itself, and can't be begun
//! again for the same process until a pause of the same length has passed; so a peer that lies or lags costs a bounded share
//! of the boxes for a bounded part of the time.

use std::collections::BTreeMap;

use crate::server_record::Phase;

/// How a message begins; the other kinds of messages between nodes begin otherwise.
pub const MAGIC: [u8; 4] = *b"MPW1";
/// Bytes of one rumour: box, start, time told, phase, hops.
const ENTRY: usize = 8 + 8 + 8 + 1 + 1;
/// The longest message.
const MOST_BYTES: usize = 256;
/// Rumours that are kept.
const MOST: usize = 1_024;
/// A rumour that was told further in the future is no rumour: clocks differ by less.
const AHEAD_MS: u64 = 2_000;
/// It goes from whom the list told to all, and from those to all once more.
const MOST_HOPS: u8 = 1;
/// Between two tellings of one rumour, milliseconds.
const TELL_MS: u64 = 120;
/// A pause before it is told on, least and most, milliseconds.
const PAUSE_MS: (u64, u64) = (150, 600);
/// Told on by nobody who has heard it so often.
const ENOUGH: u32 = 3;

/// How rumours are dealt with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How long one counts after it was told by a list, milliseconds.
    pub trust_ms: u64,
    /// The part of the boxes that rumours may take out at one time; one box at the least.
    pub share: f64,
    /// How often the node that its list told tells it.
    pub tells: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { trust_ms: 60_000, share: 0.25, tells: 3 }
    }
}

/// A rumour: a box's process wants nothing new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipItem {
    /// The box, by its [`crate::ServerRecord::hash`].
    pub of: u64,
    /// Which process: when it started.
    pub up_since_ms: u64,
    /// When a list told it.
    pub told_ms: u64,
    /// Draining or gone.
    pub phase: Phase,
    /// How often it was told on.
    pub hops: u8,
}

#[derive(Clone, Debug)]
struct Held {
    rumour: GossipItem,
    /// Heard from another node (and then when), not from the own list.
    heard: Option<u64>,
    copies: u32,
    tells_left: u32,
    next_tell: u64,
    /// It counts until then, and is remembered for as long again.
    ends: u64,
}

/// The rumours that a node holds.
#[derive(Clone, Debug)]
pub struct Gossip {
    settings: Settings,
    held: BTreeMap<u64, Held>,
    /// State of the pauses' chance.
    chance: u64,
}

impl Gossip {
    /// None yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Gossip { settings, held: BTreeMap::new(), chance: seed | 1 }
    }

    fn pause(&mut self) -> u64 {
        // Chance only spreads tellings in time: any generator does (xorshift64, Marsaglia 2003).
        self.chance ^= self.chance << 13;
        self.chance ^= self.chance >> 7;
        self.chance ^= self.chance << 17;
        PAUSE_MS.0 + self.chance % (PAUSE_MS.1 - PAUSE_MS.0)
    }

    fn forget(&mut self, now: u64) {
        let trust = self.settings.trust_ms;
        self.held.retain(|_, h| now < h.ends + trust || h.tells_left > 0);
        while self.held.len() > MOST {
            let oldest = self.held.iter().min_by_key(|(_, h)| h.ends).map(|(of, _)| *of);
            oldest.and_then(|of| self.held.remove(&of));
        }
    }

    /// The own list has told that a box drains or is gone.
    pub fn told(&mut self, now: u64, of: u64, up_since_ms: u64, phase: Phase) {
        self.forget(now);
        if let Some(held) = self.held.get_mut(&of).filter(|h| h.rumour.up_since_ms >= up_since_ms) {
            // Others have told it already, or it drained before it went.
            held.heard = held.heard.filter(|_| held.rumour.up_since_ms > up_since_ms);
            return;
        }
        let rumour = GossipItem { of, up_since_ms, told_ms: now, phase, hops: 0 };
        let (tells_left, ends) = (self.settings.tells, now + self.settings.trust_ms);
        self.held.insert(of, Held { rumour, heard: None, copies: 0, tells_left, next_tell: now, ends });
    }

    /// The own list has changed a box to ready: what was told of it before is over.
    pub fn ready(&mut self, of: u64) {
        if let Some(held) = self.held.get_mut(&of) {
            (held.ends, held.tells_left) = (0, 0);
        }
    }

    /// Whether bytes from another node are rumours.
    pub fn is_message(bytes: &[u8]) -> bool {
        bytes.starts_with(&MAGIC)
    }

    /// Takes what another node tells; gives the number of rumours that are new here. What can't be read is passed over.
    pub fn heard(&mut self, now: u64, bytes: &[u8]) -> usize {
        self.forget(now);
        let Some(entries) = bytes.strip_prefix(&MAGIC) else { return 0 };
        if entries.len() % ENTRY != 0 || bytes.len() > MOST_BYTES {
            return 0;
        }
        entries.chunks_exact(ENTRY).filter_map(decode).filter(|rumour| self.take(now, *rumour)).count()
    }

    fn take(&mut self, now: u64, rumour: GossipItem) -> bool {
        let old = now.saturating_sub(rumour.told_ms) >= self.settings.trust_ms;
        if old || rumour.told_ms > now + AHEAD_MS || rumour.hops > MOST_HOPS {
            return false;
        }
        if let Some(held) =
            self.held.get_mut(&rumour.of).filter(|h| h.rumour.up_since_ms >= rumour.up_since_ms)
        {
            // The same again, however it is told, lasts no longer.
            held.copies = held.copies.saturating_add(1);
            return false;
        }
        let next_tell = now + self.pause();
        let tells_left = u32::from(rumour.hops < MOST_HOPS);
        let ends = rumour.told_ms.min(now) + self.settings.trust_ms;
        let held = Held { rumour, heard: Some(now), copies: 1, tells_left, next_tell, ends };
        self.held.insert(rumour.of, held);
        true
    }

    /// The message to be sent to all others now, if there is one.
    pub fn tell(&mut self, now: u64) -> Option<Vec<u8>> {
        self.forget(now);
        let mut message = MAGIC.to_vec();
        for held in self.held.values_mut().filter(|h| h.tells_left > 0 && h.next_tell <= now) {
            if held.heard.is_some() && held.copies >= ENOUGH {
                held.tells_left = 0;
                continue;
            }
            if message.len() + ENTRY > MOST_BYTES {
                break;
            }
            held.tells_left -= 1;
            held.next_tell = now + TELL_MS;
            let told_on =
                GossipItem { hops: held.rumour.hops + u8::from(held.heard.is_some()), ..held.rumour };
            encode(&told_on, &mut message);
        }
        (message.len() > MAGIC.len()).then_some(message)
    }

    /// When there is something to tell next.
    pub fn due(&self) -> Option<u64> {
        self.held.values().filter(|h| h.tells_left > 0).map(|h| h.next_tell).min()
    }

    /// When the next rumour ends.
    pub fn ends(&self, now: u64) -> Option<u64> {
        self.held.values().filter(|h| h.heard.is_some() && h.ends > now).map(|h| h.ends).min()
    }

    /// Since when others say of a box's process that it wants nothing new.
    pub fn of(&self, now: u64, of: u64, up_since_ms: u64) -> Option<u64> {
        let held = self.held.get(&of)?;
        held.heard.filter(|_| now < held.ends && held.rumour.up_since_ms >= up_since_ms)
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

fn encode(r: &GossipItem, into: &mut Vec<u8>) {
    into.extend_from_slice(&r.of.to_be_bytes());
    into.extend_from_slice(&r.up_since_ms.to_be_bytes());
    into.extend_from_slice(&r.told_ms.to_be_bytes());
    into.push(u8::from(r.phase == Phase::Gone));
    into.push(r.hops);
}

fn decode(bytes: &[u8]) -> Option<GossipItem> {
    let number = |at: usize| bytes.get(at..at + 8)?.try_into().ok().map(u64::from_be_bytes);
    let phase = match bytes.get(24)? {
        0 => Phase::Draining,
        1 => Phase::Gone,
        _ => return None,
    };
    Some(GossipItem {
        of: number(0)?,
        up_since_ms: number(8)?,
        told_ms: number(16)?,
        phase,
        hops: *bytes.get(25)?,
    })
}

#[cfg(test)]
mod tests;
