//! A cluster of boxes: who owns which slot, which slots are on their way, and what each box believes of it. Written from
//! the Redis Cluster specification and the pages of CLUSTER SHARDS, SLOTS and INFO; the node's own slot table is not used
//! here, nor its reader.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::Dice;

/// How many slots there are.
pub const SLOTS: u16 = 16_384;
/// The owner of a slot that nobody owns.
pub const NOBODY: usize = usize::MAX;

/// A key's slot: CRC16/XMODEM, bit by bit, of the hash tag or of the whole key.
pub fn slot_of(key: &str) -> u16 {
    let key = key.as_bytes();
    let open = key.iter().position(|b| *b == b'{');
    let tag = open.and_then(|o| key[o + 1..].iter().position(|b| *b == b'}').map(|l| (o + 1, l)));
    let hashed = match tag {
        Some((from, length)) if length > 0 => &key[from..from + length],
        _ => key,
    };
    let crc = hashed.iter().fold(0u16, |crc, byte| {
        (0..8).fold(crc ^ u16::from(*byte) << 8, |c, _| if c & 0x8000 > 0 { c << 1 ^ 0x1021 } else { c << 1 })
    });
    crc % SLOTS
}

/// Who owns what, as of an epoch.
#[derive(Clone, Debug, PartialEq)]
pub struct Map {
    /// Rises with every change.
    pub epoch: u64,
    /// The owner of each slot, or [`NOBODY`].
    pub owners: Vec<usize>,
}

impl Map {
    fn ranges(&self) -> Vec<(u16, u16, usize)> {
        let mut ranges: Vec<(u16, u16, usize)> = Vec::new();
        for (slot, owner) in (0u16..).zip(&self.owners) {
            match ranges.last_mut() {
                Some((_, last, of)) if of == owner => *last = slot,
                _ => ranges.push((slot, slot, *owner)),
            }
        }
        ranges.retain(|(.., owner)| *owner != NOBODY);
        ranges
    }
}

/// How a box answers wrongly where it should serve or redirect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Bend {
    /// It redirects to itself.
    Itself,
    /// It redirects somewhere, with `ASK` or `MOVED`.
    To {
        /// As it stands in the answer.
        place: String,
        /// With `ASK`.
        ask: bool,
    },
    /// It answers this line.
    Line(String),
}

/// How a box answers questions for the map.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Telling {
    /// As the pages say.
    #[default]
    Shards,
    /// As servers before version 7 do: it knows no CLUSTER SHARDS.
    Slots,
    /// Not at all.
    Hangs,
    /// With noise.
    Noise,
    /// With 5 MB.
    Huge,
}

struct Seat {
    address: SocketAddr,
    map: Rc<Map>,
    /// It hears of no change.
    stuck: bool,
    bend: Option<(Bend, f64)>,
    telling: Telling,
}

/// What the boxes counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Commands taken.
    pub taken: u64,
    /// Commands answered with `MOVED`.
    pub moved: u64,
    /// Commands answered with `ASK`.
    pub asked: u64,
    /// Commands that came to a box that does not own their slot, in truth.
    pub astray: u64,
    /// Questions for the map.
    pub questions: u64,
}

/// A cluster.
pub struct Cluster {
    seats: RefCell<BTreeMap<usize, Seat>>,
    truth: RefCell<Rc<Map>>,
    /// Slots on their way: from which box to which.
    moving: RefCell<BTreeMap<u16, (usize, usize)>>,
    tokens: RefCell<BTreeMap<String, Instant>>,
    window: Duration,
    dice: Dice,
    /// What was counted so far.
    pub counts: Cell<Counts>,
}

impl fmt::Debug for Cluster {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Cluster").field("counts", &self.counts.get()).finish_non_exhaustive()
    }
}

impl Cluster {
    /// A cluster whose boxes have equal parts of the slots, and drop repeats of keyed writes for a while.
    pub fn new(addresses: &[SocketAddr], window: Duration, seed: u64) -> Rc<Self> {
        let count = addresses.len().max(1);
        let owners = (0..usize::from(SLOTS)).map(|slot| slot * count / usize::from(SLOTS)).collect();
        let map = Rc::new(Map { epoch: 1, owners });
        let seat = |at: &SocketAddr| Seat {
            address: *at,
            map: map.clone(),
            stuck: false,
            bend: None,
            telling: Telling::default(),
        };
        Rc::new(Cluster {
            seats: RefCell::new(addresses.iter().map(seat).enumerate().collect()),
            truth: RefCell::new(map.clone()),
            moving: RefCell::default(),
            tokens: RefCell::default(),
            window,
            dice: Dice::part(seed, 21),
            counts: Cell::default(),
        })
    }

    /// The owner of a slot, in truth.
    pub fn owner(&self, slot: u16) -> usize {
        self.truth.borrow().owners[usize::from(slot)]
    }

    /// Slots get another owner. It and those that had them know at once; the rest hears of it by [`Cluster::gossip`].
    pub fn assign(&self, slots: RangeInclusive<u16>, to: usize) {
        let mut map = Map::clone(&self.truth.borrow());
        map.epoch += 1;
        let mut knowing = vec![to];
        for slot in slots {
            let owner = &mut map.owners[usize::from(slot.min(SLOTS - 1))];
            knowing.push(std::mem::replace(owner, to));
            self.moving.borrow_mut().remove(&slot);
        }
        let map = Rc::new(map);
        *self.truth.borrow_mut() = map.clone();
        for (number, seat) in self.seats.borrow_mut().iter_mut() {
            if knowing.contains(number) && !seat.stuck {
                seat.map = map.clone();
            }
        }
    }

    /// Every slot of a box goes to the others in turn, as when its copies take over.
    pub fn bereave(&self, number: usize) {
        let heirs: Vec<usize> = self.seats.borrow().keys().copied().filter(|n| *n != number).collect();
        let ranges = self.truth.borrow().ranges();
        let mine = ranges.into_iter().filter(|(.., owner)| *owner == number);
        for (at, (first, last, _)) in mine.enumerate() {
            if let Some(heir) = heirs.get(at % heirs.len().max(1)) {
                self.assign(first..=last, *heir);
            }
        }
    }

    /// Every box that is not stuck hears of all.
    pub fn gossip(&self) {
        let truth = self.truth.borrow().clone();
        self.seats.borrow_mut().values_mut().filter(|s| !s.stuck).for_each(|s| s.map = truth.clone());
    }

    /// A slot sets out for a box: what its owner lacks is to be asked for there. [`Cluster::assign`] ends it.
    pub fn migrate(&self, slot: u16, to: usize) {
        let owner = self.owner(slot);
        if owner != to && owner != NOBODY {
            self.moving.borrow_mut().insert(slot, (owner, to));
        }
    }

    /// A slot that had set out stays where it is.
    pub fn stay(&self, slot: u16) {
        self.moving.borrow_mut().remove(&slot);
    }

    /// From now on a box hears of no change, or of all again.
    pub fn stuck(&self, number: usize, stuck: bool) {
        self.with(number, |s| s.stuck = stuck);
    }

    /// A box answers wrongly, this part of the time; `None` ends it.
    pub fn bend(&self, number: usize, bend: Option<(Bend, f64)>) {
        self.with(number, |s| s.bend = bend);
    }

    /// How a box answers questions for the map.
    pub fn telling(&self, number: usize, telling: Telling) {
        self.with(number, |s| s.telling = telling);
    }

    fn with(&self, number: usize, what: impl FnOnce(&mut Seat)) {
        if let Some(seat) = self.seats.borrow_mut().get_mut(&number) {
            what(seat);
        }
    }

    fn count(&self, what: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        what(&mut counts);
        self.counts.set(counts);
    }

    /// What a box answers to a command for a key instead of taking it; `None` where it takes it.
    pub fn turns_away(&self, number: usize, key: &str, asking: bool, held: bool) -> Option<String> {
        let slot = slot_of(key);
        let seats = self.seats.borrow();
        let seat = seats.get(&number)?;
        let place = |number: usize| seats.get(&number).map_or_else(String::new, |s| s.address.to_string());
        let moving = self.moving.borrow().get(&slot).copied();
        let truth = self.owner(slot);
        let astray = truth != number && moving.is_none_or(|(_, to)| to != number);
        let owner = seat.map.owners[usize::from(slot)];
        let bent = seat.bend.as_ref().filter(|(_, part)| self.dice.chance(*part)).map(|(bend, _)| bend);
        let line = match (bent, moving) {
            (Some(Bend::Itself), _) => Some(format!("MOVED {slot} {}", seat.address)),
            (Some(Bend::To { place, ask }), _) => {
                Some(format!("{} {slot} {place}", if *ask { "ASK" } else { "MOVED" }))
            }
            (Some(Bend::Line(line)), _) => Some(line.clone()),
            (None, Some((from, to))) if from == number => {
                (!held).then(|| format!("ASK {slot} {}", place(to)))
            }
            (None, Some((_, to))) if to == number && asking => None,
            (None, _) if owner == NOBODY => Some("CLUSTERDOWN Hash slot not served".into()),
            (None, _) if owner == number => None,
            (None, _) => Some(format!("MOVED {slot} {}", place(owner))),
        };
        let kind = line.as_deref().map(|l| l.split(' ').next().unwrap_or_default());
        self.count(|c| {
            c.taken += u64::from(kind.is_none());
            c.moved += u64::from(kind == Some("MOVED"));
            c.asked += u64::from(kind == Some("ASK"));
            c.astray += u64::from(astray);
        });
        line
    }

    /// Whether a keyed write is to be carried out: a repeat within the window is not.
    pub fn first(&self, token: &str, now: Instant) -> bool {
        let mut tokens = self.tokens.borrow_mut();
        tokens.retain(|_, at| now.saturating_duration_since(*at) < self.window);
        tokens.insert(token.to_owned(), now).is_none()
    }

    /// The answer of a box to a CLUSTER command; `None` for one that never comes.
    pub fn tells(&self, number: usize, words: &[String]) -> Option<Vec<u8>> {
        let seats = self.seats.borrow();
        let seat = seats.get(&number)?;
        let what = words.get(1).map(|w| w.to_ascii_uppercase()).unwrap_or_default();
        if what != "INFO" {
            self.count(|c| c.questions += 1);
        }
        match (seat.telling, what.as_str()) {
            (Telling::Hangs, _) => return None,
            (Telling::Noise, _) => return Some(b"*3\r\n$-7\r\n\xff\x00!\r\n".to_vec()),
            (Telling::Huge, "SHARDS" | "SLOTS") => {
                return Some([b"*1\r\n$5000000\r\n".as_slice(), &vec![b'x'; 5_000_000], b"\r\n"].concat());
            }
            _ => {}
        }
        let mut out = String::new();
        match (what.as_str(), seat.telling) {
            ("INFO", _) => {
                let text = format!("cluster_state:ok\r\ncluster_current_epoch:{}\r\n", seat.map.epoch);
                let _ = write!(out, "${}\r\n{text}\r\n", text.len());
            }
            ("SHARDS", Telling::Shards) => {
                let mut shards: BTreeMap<usize, Vec<(u16, u16)>> = BTreeMap::new();
                for (first, last, owner) in seat.map.ranges() {
                    shards.entry(owner).or_default().push((first, last));
                }
                let _ = write!(out, "*{}\r\n", shards.len());
                for (owner, ranges) in shards {
                    let _ = write!(out, "*4\r\n$5\r\nslots\r\n*{}\r\n", ranges.len() * 2);
                    ranges.iter().for_each(|(first, last)| {
                        let _ = write!(out, ":{first}\r\n:{last}\r\n");
                    });
                    let _ = write!(out, "$5\r\nnodes\r\n*1\r\n*12\r\n");
                    let at = seats.get(&owner).map(|s| s.address);
                    let ip = at.map(|a| a.ip().to_string()).unwrap_or_default();
                    let port = at.map_or(0, |a| a.port());
                    let id = format!("{owner:040x}");
                    bulk(&mut out, &["id", &id, "port"]);
                    let _ = write!(out, ":{port}\r\n");
                    bulk(&mut out, &["ip", &ip, "endpoint", &ip, "role", "master", "health", "online"]);
                }
            }
            ("SLOTS", _) => {
                let ranges = seat.map.ranges();
                let _ = write!(out, "*{}\r\n", ranges.len());
                for (first, last, owner) in ranges {
                    let at = seats.get(&owner).map(|s| s.address);
                    let _ = write!(out, "*3\r\n:{first}\r\n:{last}\r\n*4\r\n");
                    bulk(&mut out, &[&at.map(|a| a.ip().to_string()).unwrap_or_default()]);
                    let _ = write!(out, ":{}\r\n", at.map_or(0, |a| a.port()));
                    bulk(&mut out, &[&format!("{owner:040x}")]);
                    out += "*0\r\n";
                }
            }
            _ => {
                let _ = write!(out, "-ERR unknown subcommand '{what}'. Try CLUSTER HELP.\r\n");
            }
        }
        Some(out.into_bytes())
    }
}

fn bulk(out: &mut String, words: &[&str]) {
    for word in words {
        let _ = write!(out, "${}\r\n{word}\r\n", word.len());
    }
}

#[cfg(test)]
mod tests;
