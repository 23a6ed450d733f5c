//! The rule by which the sources become one view.
//!
//! | who says what of a box | what it is |
//! | --- | --- |
//! | the list: ready | ready, whatever DNS says; draining while a rumour of this process counts |
//! | the list: draining | draining, whoever else names it |
//! | the list: gone, or a whole list without it | gone; out for [`Settings::gone_ms`] at its address, whoever else names it |
//! | DNS or the fixed set alone | ready, cold since it was first named here, under an id made of its address |
//! | DNS no longer, and few vanish | gone |
//! | DNS no longer, and many vanish at once or all | held, until further answers say the same for long enough |
//! | nobody any more, and no box is left | what was is kept, unless the list took it away |
//!
//! The list alone may empty the view: its word that boxes drain or are gone binds.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;

use crate::dns_servers::{DnsServer, DnsServers, DnsTrust, ShrinkGuard};
use crate::gossip::{self, Gossip};
use crate::server_record::{Phase, ServerRecord, canonical};

/// Addresses that the list took away and that are remembered.
const MOST_TOMBS: usize = 4_096;
/// A weight counts for so much of the mean of its group at the least and the most.
const WEIGHTS: (f32, f32) = (0.25, 4.0);

/// What a box looks like that only its address is known of.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerTemplate {
    /// Zone.
    pub locality: String,
    /// Machine kind.
    pub flavor: String,
    /// Cell.
    pub cell: u16,
}

/// How sources are dealt with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long the list's word that a box is gone counts against other sources, milliseconds.
    pub gone_ms: u64,
    /// When a DNS answer that shrinks is not obeyed at once.
    pub doubt: ShrinkGuard,
    /// Word of mouth between nodes.
    pub rumours: Option<gossip::Settings>,
    /// What is taken of a box that the list does not name.
    pub like: ServerTemplate,
    /// The machine kind of the origin, which is no box.
    pub origin: Option<String>,
    /// Boxes that are always named.
    pub fixed: Vec<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            gone_ms: 600_000,
            doubt: ShrinkGuard::default(),
            rumours: None,
            like: ServerTemplate::default(),
            origin: None,
            fixed: Vec::new(),
        }
    }
}

/// Why a box is in the view as it is, or out of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateReason {
    /// The list names it.
    List,
    /// Other nodes say that its process drains or is gone.
    Rumour,
    /// Only DNS names it: it counts as cold.
    Names,
    /// DNS named it and does so no longer, which is doubted.
    Doubted,
    /// Only the fixed set names it.
    Fixed,
    /// Nothing else is left.
    LastResort,
    /// Out: the list took it away; others name it still.
    TakenAway,
    /// Out: DNS has boxes of a lower priority.
    Standby,
}

impl StateReason {
    /// In a word.
    pub fn name(self) -> &'static str {
        match self {
            StateReason::List => "list",
            StateReason::Rumour => "rumour",
            StateReason::Names => "dns",
            StateReason::Doubted => "dns-doubted",
            StateReason::Fixed => "fixed",
            StateReason::LastResort => "last-resort",
            StateReason::TakenAway => "taken-away",
            StateReason::Standby => "standby",
        }
    }
}

/// A box as people are told of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerReport {
    /// Its id.
    pub id: String,
    /// Where it is.
    pub at: String,
    /// Whether it takes requests.
    pub phase: Phase,
    /// Why.
    pub why: StateReason,
}

/// What has changed in the view.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// Lines that are new or other than before; those that left are [`Phase::Gone`].
    pub lines: Vec<ServerRecord>,
    /// Boxes that have another id now: the old one, the new one. Same address, same process.
    pub renamed: Vec<(String, String)>,
}

/// The sources of one node.
#[derive(Clone, Debug)]
pub struct Sources {
    settings: Settings,
    list: BTreeMap<String, ServerRecord>,
    /// Whether the list could be reached last.
    list_out: bool,
    /// Addresses that the list took away, and until when that counts.
    tombs: BTreeMap<SocketAddr, u64>,
    names: DnsServers,
    rumours: Option<Gossip>,
    fixed_since: u64,
    shown: BTreeMap<String, ServerRecord>,
    listed: Vec<ServerReport>,
}

impl Sources {
    /// Sources that have said nothing yet.
    pub fn new(settings: Settings, seed: u64, now: u64) -> Self {
        Sources {
            list: BTreeMap::new(),
            list_out: false,
            tombs: BTreeMap::new(),
            names: DnsServers::new(settings.doubt),
            rumours: settings.rumours.map(|r| Gossip::new(r, seed)),
            fixed_since: now,
            shown: BTreeMap::new(),
            listed: Vec::new(),
            settings,
        }
    }

    /// Takes a list, whole or changes only, in the order of the list's own revisions.
    pub fn list(&mut self, now: u64, whole: bool, lines: Vec<ServerRecord>) {
        self.list_out = false;
        if whole {
            let named: BTreeSet<&str> = lines.iter().map(|l| l.id.as_str()).collect();
            let gone: Vec<ServerRecord> =
                self.list.values().filter(|l| !named.contains(l.id.as_str())).cloned().collect();
            for line in gone {
                self.line(now, whole, ServerRecord { phase: Phase::Gone, ..line });
            }
        }
        // What goes before what comes: a new box at the address of one that has gone stays.
        let (gone, here): (Vec<ServerRecord>, Vec<ServerRecord>) =
            lines.into_iter().partition(|l| l.phase == Phase::Gone);
        gone.into_iter().chain(here).for_each(|line| self.line(now, whole, line));
        while self.tombs.len() > MOST_TOMBS {
            let first = self.tombs.iter().min_by_key(|(_, until)| **until).map(|(at, _)| *at);
            first.and_then(|at| self.tombs.remove(&at));
        }
    }

    fn line(&mut self, now: u64, whole: bool, line: ServerRecord) {
        let before = self.list.remove(&line.id);
        let (was_at, is_at) = (before.as_ref().and_then(ServerRecord::address), line.address());
        let origin = self.is_origin(&line);
        if line.phase == Phase::Gone {
            let others = |at: &SocketAddr| self.list.values().any(|l| l.address() == Some(*at));
            let left: Vec<SocketAddr> = was_at.or(is_at).into_iter().filter(|at| !others(at)).collect();
            self.tombs.extend(left.into_iter().map(|at| (at, now + self.settings.gone_ms)));
        } else {
            if let Some(at) = was_at.filter(|at| Some(*at) != is_at) {
                self.tombs.insert(at, now + self.settings.gone_ms);
            }
            is_at.and_then(|at| self.tombs.remove(&at));
        }
        if let Some(rumours) = self.rumours.as_mut().filter(|_| !origin) {
            let was_ready = before.as_ref().is_some_and(|b| b.phase == Phase::Ready);
            let was = before.as_ref().map(|b| b.phase);
            match line.phase {
                Phase::Ready if !whole && was != Some(Phase::Ready) => rumours.ready(line.hash()),
                Phase::Ready => {}
                // The process meant is the one that was known here.
                phase if was_ready => {
                    let up = before.as_ref().map_or(0, |b| b.up_since_ms).max(line.up_since_ms);
                    rumours.told(now, line.hash(), up, phase);
                }
                _ => {}
            }
        }
        if line.phase != Phase::Gone {
            self.list.insert(line.id.clone(), line);
        }
    }

    /// The list can't be reached: what it said last holds.
    pub fn list_out(&mut self) {
        self.list_out = true;
    }

    /// Takes what DNS says as of now: [`DnsServers::heard`].
    pub fn names(&mut self, now: u64, word: DnsTrust, named: &[DnsServer], all: bool, answers: u64) {
        let named: Vec<DnsServer> =
            named.iter().map(|n| DnsServer { address: canonical(n.address), ..*n }).collect();
        self.names.heard(now, word, &named, all, answers);
    }

    /// Takes what another node tells; gives whether it was a rumour at all.
    pub fn heard(&mut self, now: u64, bytes: &[u8]) -> bool {
        if let Some(rumours) = &mut self.rumours {
            rumours.heard(now, bytes);
        }
        Gossip::is_message(bytes)
    }

    /// What is to be told to all other nodes now.
    pub fn tell(&mut self, now: u64) -> Option<Vec<u8>> {
        self.rumours.as_mut()?.tell(now)
    }

    /// When to look again at the latest, if ever.
    pub fn due(&self, now: u64) -> Option<u64> {
        let rumours = self.rumours.as_ref();
        let tomb = self.tombs.values().copied().filter(|until| *until > now).min();
        let times = [rumours.and_then(Gossip::due), rumours.and_then(|r| r.ends(now)), tomb];
        times.into_iter().flatten().min()
    }

    fn is_origin(&self, line: &ServerRecord) -> bool {
        self.settings.origin.as_ref().is_some_and(|o| *o == line.flavor)
    }

    /// What changed since the last call.
    pub fn changes(&mut self, now: u64) -> Changes {
        self.tombs.retain(|_, until| *until > now);
        let view = self.view(now);
        let mut changes = Changes::default();
        for (id, line) in &self.shown {
            if !view.contains_key(id) {
                changes.lines.push(ServerRecord { phase: Phase::Gone, ..line.clone() });
                let at = line.address();
                let new = view.values().find(|l| at.is_some() && l.address() == at);
                if let Some(new) = new.filter(|l| !self.shown.contains_key(&l.id) && id.starts_with(MADE)) {
                    changes.renamed.push((id.clone(), new.id.clone()));
                }
            }
        }
        changes.lines.extend(view.values().filter(|l| self.shown.get(&l.id) != Some(l)).cloned());
        self.shown = view;
        changes
    }

    /// The whole view as it was last given.
    pub fn shown(&self) -> impl Iterator<Item = &ServerRecord> {
        self.shown.values()
    }

    fn view(&mut self, now: u64) -> BTreeMap<String, ServerRecord> {
        let mut view: BTreeMap<String, ServerRecord> = BTreeMap::new();
        self.listed.clear();
        let hushed = self.hushed(now);
        let mut covered = BTreeMap::new();
        for line in self.list.values() {
            let rumour = hushed.contains(&line.id);
            let phase = if rumour { Phase::Draining } else { line.phase };
            if let Some(at) = line.address() {
                let ready = covered.entry(at).or_insert(false);
                *ready |= phase == Phase::Ready;
            }
            let why = if rumour { StateReason::Rumour } else { StateReason::List };
            self.listed.push(ServerReport { id: line.id.clone(), at: line.host_port.clone(), phase, why });
            view.insert(line.id.clone(), ServerRecord { phase, ..line.clone() });
        }
        let first = self.first_priority(&covered);
        let mean = self.mean_weight(first);
        let boxes = self.names.boxes().map(|(named, since, doubted)| {
            let why = if doubted { StateReason::Doubted } else { StateReason::Names };
            (named, since, why)
        });
        let fixed = self.settings.fixed.iter().map(|at| canonical(*at)).filter(|at| !self.names.has(*at));
        let fixed = fixed.map(|address| {
            let named = DnsServer { address, priority: first.unwrap_or(0), weight: mean as u16 };
            (named, self.fixed_since, StateReason::Fixed)
        });
        for (named, since, why) in boxes.chain(fixed) {
            if covered.contains_key(&named.address) {
                continue;
            }
            let out = if self.tombs.contains_key(&named.address) {
                Some(StateReason::TakenAway)
            } else {
                (Some(named.priority) != first).then_some(StateReason::Standby)
            };
            let line = self.made(&named, since, mean);
            let (at, phase) =
                (line.host_port.clone(), if out.is_some() { Phase::Gone } else { Phase::Ready });
            self.listed.push(ServerReport { id: line.id.clone(), at, phase, why: out.unwrap_or(why) });
            if out.is_none() {
                view.insert(line.id.clone(), line);
            }
        }
        if !view.values().any(|l| l.phase == Phase::Ready && !self.is_origin(l)) {
            // What was holds, unless the list has spoken of it.
            let free = |at: SocketAddr| !covered.contains_key(&at) && !self.tombs.contains_key(&at);
            let was = self.shown.values().filter(|l| l.id.starts_with(MADE) && l.phase == Phase::Ready);
            let last: Vec<ServerRecord> = was.filter(|l| l.address().is_some_and(free)).cloned().collect();
            for line in last {
                let (id, at) = (line.id.clone(), line.host_port.clone());
                self.listed.push(ServerReport { id, at, phase: Phase::Ready, why: StateReason::LastResort });
                view.insert(line.id.clone(), line);
            }
        }
        view
    }

    /// Boxes of the list that rumours take out: those heard of last, whose word is the likeliest to hold still, and never
    /// more than the share, nor all.
    fn hushed(&self, now: u64) -> BTreeSet<String> {
        let (Some(rumours), Some(settings)) = (&self.rumours, &self.settings.rumours) else {
            return BTreeSet::new();
        };
        let ready: Vec<&ServerRecord> =
            self.list.values().filter(|l| l.phase == Phase::Ready && !self.is_origin(l)).collect();
        let most = ((ready.len() as f64 * settings.share) as usize).max(1).min(ready.len().saturating_sub(1));
        let said =
            |l: &&ServerRecord| Some((Reverse(rumours.of(now, l.hash(), l.up_since_ms)?), l.id.clone()));
        let mut said: Vec<(Reverse<u64>, String)> = ready.iter().filter_map(said).collect();
        said.sort();
        said.into_iter().take(most).map(|(_, id)| id).collect()
    }

    /// The priority of the boxes that DNS wants used: the lowest that has one which may be.
    fn first_priority(&self, covered: &BTreeMap<SocketAddr, bool>) -> Option<u16> {
        let usable = |n: &DnsServer| match covered.get(&n.address) {
            Some(ready) => *ready,
            None => !self.tombs.contains_key(&n.address),
        };
        let named = self.names.boxes().map(|(n, ..)| n).filter(usable).map(|n| n.priority).min();
        named.or((!self.settings.fixed.is_empty()).then_some(0))
    }

    fn mean_weight(&self, priority: Option<u16>) -> f32 {
        let group = self.names.boxes().filter(|(n, _, doubted)| Some(n.priority) == priority && !doubted);
        let (sum, count) = group.fold((0f32, 0f32), |(s, c), (n, ..)| (s + f32::from(n.weight), c + 1.0));
        if sum > 0.0 { sum / count } else { 1.0 }
    }

    /// The line of a box that the list does not name. Its id is made of its address: the same at every node.
    fn made(&self, named: &DnsServer, since: u64, mean: f32) -> ServerRecord {
        let ServerTemplate { locality, flavor, cell } = self.settings.like.clone();
        let weight = if named.weight == 0 && mean <= 1.0 { 1.0 } else { f32::from(named.weight) / mean };
        ServerRecord {
            id: format!("{MADE}{}", named.address),
            host_port: named.address.to_string(),
            locality,
            flavor,
            cell,
            size: Some(weight.clamp(WEIGHTS.0, WEIGHTS.1)),
            up_since_ms: since.max(1),
            phase: Phase::Ready,
        }
    }

    /// For each box why it is in or out, as of the last [`Sources::changes`].
    pub fn listed(&self) -> &[ServerReport] {
        &self.listed
    }

    /// The same for people and consoles: a line for each source, then one for each box.
    pub fn text(&self) -> String {
        let reach = if self.list_out { "out-of-reach" } else { "in-reach" };
        let mut text = format!(
            "source_list:{reach},boxes={}\r\nsource_dns:{},boxes={},doubted={}\r\nsource_fixed:boxes={}\r\nrumours:{}\r\ntaken_away:{}\r\n",
            self.list.len(),
            self.names.word().name(),
            self.names.boxes().count(),
            self.names.doubted(),
            self.settings.fixed.len(),
            self.rumours.as_ref().map_or(0, Gossip::len),
            self.tombs.len(),
        );
        for ServerReport { id, at, phase, why } in &self.listed {
            let _ = write!(text, "box:{id},{at},{},{}\r\n", phase.name(), why.name());
        }
        text
    }
}

/// How an id begins that is made of an address.
const MADE: &str = "at-";
