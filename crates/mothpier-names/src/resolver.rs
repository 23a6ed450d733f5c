//! The resolver's state: what is held of the service and of each of its hosts, what is asked for, and what comes next.
//!
//! One asking at a time for a name and kind. A failed asking goes to the next server at once, within the budget; when all
//! have failed, the name rests for a while that doubles, and what is held goes on being used until it is too old. A server that
//! says nothing rests, too; while none answers, one question at a time is asked of those that have rested.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::{IpAddr, SocketAddr};

use hickory_proto::rr::Name;
use hickory_proto::rr::rdata::SRV;
use ipnet::IpNet;
use mothpier_membership::{DnsServer, DnsTrust};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::answer::{self, MOST_LINKS, Reply, Unreadable};
use crate::budget::Bucket;
use crate::lifetime::Lifetimes;
use crate::question::{Kind, Match, Question};
use crate::servers::Servers;

/// The first rest of a name that nobody answers for, and the longest, milliseconds. RFC 8767, section 5, has 30 s as
/// the least time between attempts while stale data is used; here boxes come and go faster.
const REST: (u64, u64) = (1_000, 30_000);
/// Servers of one resolver.
const MOST_SERVERS: usize = 8;
/// Nodes that begin together spread their first asking over so much for each of them, milliseconds, and this at most.
const SPREAD: (u64, u64) = (25, 2_000);
/// Askings that are out at one time: each holds a descriptor of the caller's.
pub const MAX_OUTSTANDING: usize = 8;
/// An asking whose caller has said nothing so long after its wait has failed, milliseconds.
const LOST: u64 = 500;

/// How a resolver works.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The service's name, as `_profile._tcp.example.org`.
    pub service: Name,
    /// Who is asked.
    pub servers: Vec<SocketAddr>,
    /// Nodes of the tier, which share the budget.
    pub nodes: usize,
    /// Askings a second of the whole tier.
    pub tier_per_s: f64,
    /// Askings of one node at once.
    pub burst: f64,
    /// Bounds of lifetimes.
    pub lifetimes: Lifetimes,
    /// An answer that has not come after so long will not come, milliseconds.
    pub wait: u64,
    /// Addresses of version 6 are asked for, too.
    pub ipv6: bool,
    /// Only addresses in one of these networks are taken; all where there is none.
    pub networks: Vec<IpNet>,
}

/// Settings that no resolver can work with.
#[derive(Clone, Debug, PartialEq)]
pub enum BadSettings {
    /// No server, or too many.
    Servers(usize),
    /// A server that can't be asked.
    Server(SocketAddr),
    /// The name is the root.
    Service,
}

impl fmt::Display for BadSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BadSettings::Servers(n) => write!(f, "{n} servers; name 1 to {MOST_SERVERS}"),
            BadSettings::Server(at) => write!(f, "{at} is no address that can be asked"),
            BadSettings::Service => f.write_str("the service has no name"),
        }
    }
}

impl std::error::Error for BadSettings {}

/// How something is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// One datagram each way, from a port of its own.
    Udp,
    /// A connection; two bytes of length before each message.
    Tcp,
}

/// Something to be asked now. The caller says once how it ended: [`Resolver::heard`] or [`Resolver::failed`].
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// Names it.
    pub ticket: u64,
    /// Whom.
    pub server: SocketAddr,
    /// How.
    pub transport: Transport,
    /// What; [`Question::matches`] tells its answer from others.
    pub question: Question,
    /// The message.
    pub bytes: Vec<u8>,
    /// How long to wait, milliseconds.
    pub wait: u64,
}

/// Why nothing came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No answer within the wait.
    TimedOut,
    /// No way to the server, or the connection ended before the whole answer.
    Broken,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Failure::TimedOut => "no answer",
            Failure::Broken => "no connection, or it ended before the whole answer",
        })
    }
}

/// What is known of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceView {
    /// How far it may be trusted.
    pub word: DnsTrust,
    /// The boxes, each once, in order.
    pub named: Vec<DnsServer>,
    /// Hosts whose addresses are not known yet: the boxes are not all.
    pub pending: usize,
    /// Counts the answers of the service itself: a change in it is a further look, not the same one again.
    pub answers: u64,
}

/// Figures since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Askings that went out.
    pub asked: u64,
    /// Of these over TCP.
    pub tcp: u64,
    /// Answers that were of use.
    pub answered: u64,
    /// Askings without one.
    pub failed: u64,
    /// Addresses that lie in no network that is allowed.
    pub outside: u64,
}

type Key = (Name, Kind);

enum What {
    Boxes(Vec<SRV>),
    Addresses(Vec<IpAddr>),
    Nothing,
}

struct Held {
    what: What,
    until: u64,
    stale_until: u64,
}

struct Asking {
    ticket: u64,
    server: usize,
    transport: Transport,
    edns: bool,
    question: Question,
    lost_at: u64,
}

struct Entry {
    /// What is asked for: the entry's own name, or where its aliases have led so far.
    name: Name,
    links: usize,
    held: Option<Held>,
    /// When it is asked for.
    next: u64,
    /// Rounds in which no server was of use, in a row.
    failures: u32,
    /// Servers that failed in this round, and how often one did.
    tried: Vec<usize>,
    tries: usize,
    /// The next asking goes over TCP to this server, whose answer did not fit.
    over_tcp: Option<usize>,
    asking: Option<Asking>,
}

impl Entry {
    fn new(name: &Name, next: u64) -> Self {
        Entry {
            name: name.clone(),
            links: 0,
            held: None,
            next,
            failures: 0,
            tried: Vec::new(),
            tries: 0,
            over_tcp: None,
            asking: None,
        }
    }

    /// A round is over: the next one begins at the entry's own name.
    fn rest(&mut self, own: &Name, next: u64) {
        (self.name, self.links, self.next) = (own.clone(), 0, next);
        self.tried.clear();
        (self.tries, self.over_tcp) = (0, None);
    }

    fn usable(&self, now: u64) -> Option<&What> {
        self.held.as_ref().filter(|h| now < h.stale_until).map(|h| &h.what)
    }
}

/// Asks for one service.
pub struct Resolver {
    settings: Settings,
    rng: StdRng,
    budget: Bucket,
    servers: Servers,
    entries: BTreeMap<Key, Entry>,
    tickets: BTreeMap<u64, Key>,
    last_ticket: u64,
    answers: u64,
    counts: Counts,
    /// What failed last, in words.
    trouble: Option<String>,
}

impl Resolver {
    /// A resolver that knows nothing. The seed must be one that nobody can guess: ids of questions are drawn from it.
    ///
    /// # Errors
    ///
    /// Settings that it can't work with.
    pub fn new(settings: Settings, seed: [u8; 32], now: u64) -> Result<Self, BadSettings> {
        if settings.servers.is_empty() || settings.servers.len() > MOST_SERVERS {
            return Err(BadSettings::Servers(settings.servers.len()));
        }
        if let Some(bad) = settings.servers.iter().find(|s| s.port() == 0 || s.ip().is_unspecified()) {
            return Err(BadSettings::Server(*bad));
        }
        if settings.service.is_root() {
            return Err(BadSettings::Service);
        }
        let mut rng = StdRng::from_seed(seed);
        let part = settings.tier_per_s / settings.nodes.max(1) as f64;
        let budget = Bucket::new(part, settings.burst, now);
        let servers = Servers::new(&settings.servers, rng.random_range(0..settings.servers.len()));
        let spread = (SPREAD.0 * settings.nodes as u64).min(SPREAD.1);
        let first = if settings.nodes > 1 { now + rng.random_range(0..=spread) } else { now };
        let key = (settings.service.clone(), Kind::Srv);
        let entries = BTreeMap::from([(key, Entry::new(&settings.service, first))]);
        Ok(Resolver {
            settings,
            rng,
            budget,
            servers,
            entries,
            tickets: BTreeMap::new(),
            last_ticket: 0,
            answers: 0,
            counts: Counts::default(),
            trouble: None,
        })
    }

    fn service(&self) -> Key {
        (self.settings.service.clone(), Kind::Srv)
    }

    /// What is to be asked now.
    pub fn asks(&mut self, now: u64) -> Vec<Query> {
        let lost: Vec<u64> = self
            .entries
            .values()
            .filter_map(|e| e.asking.as_ref().filter(|a| a.lost_at <= now).map(|a| a.ticket))
            .collect();
        lost.into_iter().for_each(|ticket| self.failed(now, ticket, Failure::TimedOut));
        // The service before its hosts; of these first what is not known, then what has waited longest.
        let mut due: Vec<(bool, bool, u64, Key)> = self
            .entries
            .iter()
            .filter(|(_, e)| e.asking.is_none() && e.next <= now)
            .map(|(key, e)| (key.1 != Kind::Srv, e.usable(now).is_some(), e.next, key.clone()))
            .collect();
        due.sort();
        let mut asks = Vec::new();
        for (.., key) in due {
            if self.tickets.len() >= self.most_out()
                || self.servers.awake_at() > now
                || !self.budget.take(now)
            {
                break;
            }
            asks.extend(self.ask(now, key));
        }
        asks
    }

    /// How many askings may be out.
    fn most_out(&self) -> usize {
        if self.servers.any_well() { MAX_OUTSTANDING } else { 1 }
    }

    fn ask(&mut self, now: u64, key: Key) -> Option<Query> {
        let entry = self.entries.get_mut(&key)?;
        let (server, transport) = match entry.over_tcp.take() {
            Some(server) => (server, Transport::Tcp),
            None => {
                let untried = self.servers.choose(now, &entry.tried);
                (untried.or_else(|| self.servers.choose(now, &[]))?, Transport::Udp)
            }
        };
        let chosen = self.servers.get(server);
        let (at, edns) = (chosen.at, chosen.edns);
        let question = Question { id: self.rng.random(), name: entry.name.clone(), kind: key.1 };
        let Ok(bytes) = question.bytes(edns) else {
            // A name that came from an answer fits a message; one of the settings was read as a name.
            entry.next = now + REST.1;
            return None;
        };
        self.last_ticket += 1;
        let (ticket, wait) = (self.last_ticket, self.settings.wait);
        entry.asking = Some(Asking {
            ticket,
            server,
            transport,
            edns,
            question: question.clone(),
            lost_at: now + wait + LOST,
        });
        self.tickets.insert(ticket, key);
        self.counts.asked += 1;
        self.counts.tcp += u64::from(transport == Transport::Tcp);
        Some(Query { ticket, server: at, transport, question, bytes, wait })
    }

    /// An answer came, whole. One that is not this question's is for the caller to pass over; given here all the same, it
    /// counts as none.
    pub fn heard(&mut self, now: u64, ticket: u64, bytes: &[u8]) {
        let Some((key, asking)) = self.take(ticket) else { return };
        let read = match asking.question.matches(bytes) {
            Match::Answer(message) => answer::read(&asking.question, &message),
            Match::Not | Match::Broken => Err(Unreadable::Garbled),
        };
        match read {
            Ok(Reply::Truncated) if asking.transport == Transport::Udp => {
                if let Some(entry) = self.entries.get_mut(&key) {
                    (entry.over_tcp, entry.next) = (Some(asking.server), now);
                }
            }
            Ok(Reply::Truncated) => self.useless(now, key, &asking, "cut short over TCP, too".into()),
            Ok(reply) => {
                self.servers.did_well(asking.server);
                self.counts.answered += 1;
                self.settle(now, key, reply);
            }
            Err(Unreadable::NoEdns) if asking.edns => {
                self.servers.plain(asking.server);
                if let Some(entry) = self.entries.get_mut(&key) {
                    entry.next = now;
                }
            }
            Err(e) => self.useless(now, key, &asking, e.to_string()),
        }
    }

    /// Nothing came.
    pub fn failed(&mut self, now: u64, ticket: u64, failure: Failure) {
        if let Some((key, asking)) = self.take(ticket) {
            // One that answers, only not this, is no worse for other names; nor is one without TCP.
            if asking.transport == Transport::Udp {
                self.servers.failed(now, asking.server);
            }
            self.useless(now, key, &asking, failure.to_string());
        }
    }

    /// The asking that a ticket names; `None` for one that has ended already.
    fn take(&mut self, ticket: u64) -> Option<(Key, Asking)> {
        let key = self.tickets.remove(&ticket)?;
        let asking = self.entries.get_mut(&key)?.asking.take()?;
        Some((key, asking))
    }

    fn useless(&mut self, now: u64, key: Key, asking: &Asking, why: String) {
        let server = asking.server;
        self.counts.failed += 1;
        self.trouble = Some(format!("{} {:?}: {} says: {why}", key.0, key.1, self.servers.get(server).at));
        let most = self.servers.len().max(2);
        let chance = self.rng.random_range(0.75..1.25);
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.tried.push(server);
        entry.tries += 1;
        if entry.tries < most {
            entry.next = now;
        } else {
            let rest = REST.0.saturating_mul(1 << entry.failures.min(16)).min(REST.1);
            entry.failures = entry.failures.saturating_add(1);
            entry.rest(&key.0, now + (rest as f64 * chance) as u64);
        }
    }

    /// Takes what an answer said.
    fn settle(&mut self, now: u64, key: Key, reply: Reply) {
        let l = self.settings.lifetimes;
        match reply {
            Reply::Boxes { records, ttl, beside } => {
                self.answers += 1;
                // RFC 2782: a single record with the root as its target says that there is no such service.
                let none = records.iter().all(|r| r.target.is_root());
                let kept: Vec<SRV> = records.into_iter().filter(|r| !r.target.is_root()).collect();
                self.hosts(now, &kept, beside);
                let what = if none { What::Nothing } else { What::Boxes(kept) };
                self.hold(now, &key, what, l.of(ttl));
            }
            Reply::Addresses { addresses, ttl } => {
                self.hold(now, &key, What::Addresses(addresses), l.of(ttl))
            }
            Reply::Nothing { soa, .. } => {
                if key.1 == Kind::Srv {
                    self.answers += 1;
                    self.hosts(now, &[], BTreeMap::new());
                }
                self.hold(now, &key, What::Nothing, l.of_nothing(soa));
            }
            Reply::Alias { to, links, .. } => {
                let Some(entry) = self.entries.get_mut(&key) else { return };
                entry.links += links;
                // A circle over several answers grows the count as well.
                if entry.links > MOST_LINKS {
                    self.trouble = Some(format!("{} {:?}: {}", key.0, key.1, Unreadable::Chain));
                    entry.failures = entry.failures.saturating_add(1);
                    entry.rest(&key.0, now + REST.1);
                } else {
                    (entry.name, entry.next, entry.tries) = (to, now, 0);
                }
            }
            Reply::Truncated => {}
        }
    }

    fn hold(&mut self, now: u64, key: &Key, what: What, span: u64) {
        let l = self.settings.lifetimes;
        let next = l.refresh(now, span, self.rng.random());
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.held = Some(Held { what, until: now + span, stale_until: now + span + l.stale });
        entry.failures = 0;
        entry.rest(&key.0, next);
    }

    /// The hosts of the service: new ones are asked for, unless their addresses came beside; those that it names no more
    /// are forgotten.
    fn hosts(&mut self, now: u64, records: &[SRV], mut beside: BTreeMap<Key, (Vec<IpAddr>, u32)>) {
        let kinds: &[Kind] = if self.settings.ipv6 { &[Kind::A, Kind::Aaaa] } else { &[Kind::A] };
        let targets: BTreeSet<&Name> = records.iter().map(|r| &r.target).collect();
        let service = self.service();
        let gone: Vec<Key> = self
            .entries
            .keys()
            .filter(|key| **key != service && !targets.contains(&key.0))
            .cloned()
            .collect();
        for key in gone {
            if let Some(asking) = self.entries.remove(&key).and_then(|e| e.asking) {
                self.tickets.remove(&asking.ticket);
            }
        }
        for target in targets {
            for kind in kinds {
                let key = (target.clone(), *kind);
                self.entries.entry(key.clone()).or_insert_with(|| Entry::new(target, now));
                if let Some((addresses, ttl)) = beside.remove(&key) {
                    let span = self.settings.lifetimes.of(ttl);
                    self.hold(now, &key, What::Addresses(addresses), span);
                }
            }
        }
    }

    /// Whether boxes may stand at an address.
    fn allowed(&self, at: IpAddr) -> bool {
        let one = match at {
            IpAddr::V4(a) => !a.is_unspecified() && !a.is_multicast() && !a.is_broadcast(),
            IpAddr::V6(a) => !a.is_unspecified() && !a.is_multicast(),
        };
        let networks = &self.settings.networks;
        one && (networks.is_empty() || networks.iter().any(|n| n.contains(&at)))
    }

    /// What is known as of now.
    pub fn view(&mut self, now: u64) -> ServiceView {
        let service = &self.entries[&self.service()];
        let word = match &service.held {
            None => DnsTrust::Unknown,
            Some(held) if now >= held.stale_until => DnsTrust::Silent,
            Some(Held { what: What::Nothing, .. }) => DnsTrust::Nothing,
            Some(held) if now >= held.until => DnsTrust::Stale,
            Some(_) => DnsTrust::Fresh,
        };
        let records: &[SRV] = match service.usable(now) {
            Some(What::Boxes(records)) => records,
            _ => &[],
        };
        let (mut at, mut pending, mut outside) = (BTreeMap::new(), 0, 0);
        for r in records {
            let held = |kind| self.entries.get(&(r.target.clone(), kind));
            let both = [held(Kind::A), held(Kind::Aaaa)];
            let (mut any, mut open) = (false, false);
            for entry in both.into_iter().flatten() {
                match entry.usable(now) {
                    Some(What::Addresses(addresses)) => {
                        any = true;
                        for ip in addresses.iter().map(IpAddr::to_canonical) {
                            if !self.allowed(ip) {
                                outside += 1;
                                continue;
                            }
                            let named = DnsServer {
                                address: SocketAddr::new(ip, r.port),
                                priority: r.priority,
                                weight: r.weight,
                            };
                            // A box that is named twice counts once, as it is named first.
                            let entry = at.entry(named.address).or_insert(named);
                            if named.priority < entry.priority {
                                *entry = named;
                            }
                        }
                    }
                    Some(_) => {}
                    None => open = true,
                }
            }
            pending += usize::from(open && !any);
        }
        self.counts.outside = outside;
        ServiceView { word, named: at.into_values().collect(), pending, answers: self.answers }
    }

    /// When to come back at the latest.
    pub fn due(&mut self, now: u64) -> u64 {
        // With as many out as may be, the next begins when one of them ends.
        let full = self.tickets.len() >= self.most_out();
        let token = if full { u64::MAX } else { self.budget.due(now).max(self.servers.awake_at()) };
        let mut due = u64::MAX;
        for entry in self.entries.values() {
            due = due.min(match &entry.asking {
                Some(asking) => asking.lost_at,
                None => entry.next.max(token),
            });
            if let Some(held) = &entry.held {
                let turns = [held.until, held.stale_until];
                due = turns.into_iter().filter(|t| *t > now).fold(due, u64::min);
            }
        }
        due
    }

    /// Figures since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// What went wrong since it was last asked for, in words.
    pub fn trouble(&mut self) -> Option<String> {
        self.trouble.take()
    }

    /// Names that are held or asked for: bounded by what one answer may hold.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none: never, the service itself is one.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
