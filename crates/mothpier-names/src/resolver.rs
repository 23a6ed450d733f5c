//! The resolver: the cached records of the service and of each of its hosts, the queries in progress, and
//! what is due next.
//!
//! There is one query at a time for each name and kind. A failed query is repeated with the next server at
//! once, within the query budget. When all servers have failed, the name backs off for a time that doubles,
//! and the cached records stay in use until they are too old. A server that does not answer backs off as
//! well; while none answers, one query at a time goes to those whose back-off is over.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::{IpAddr, SocketAddr};

use hickory_proto::rr::Name;
use hickory_proto::rr::rdata::SRV;
use ipnet::IpNet;
use mothpier_membership::{DnsServer, DnsTrust};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::answer::{self, AnswerError, MAX_CNAME_LINKS, Reply};
use crate::budget::TokenBucket;
use crate::lifetime::Lifetimes;
use crate::question::{Kind, Match, Question};
use crate::servers::Servers;

/// Minimum back-off of a name that no server answers for. RFC 8767, section 5, recommends at least 30 s
/// between attempts while stale data is used; servers come and go faster here.
const MIN_BACKOFF_MS: u64 = 1_000;
/// Maximum back-off of a name that no server answers for.
const MAX_BACKOFF_MS: u64 = 30_000;
/// Maximum number of DNS servers of one resolver.
const MAX_SERVERS: usize = 8;
/// Nodes that start together spread their first queries over this time for each node of the tier.
const STARTUP_SPREAD_PER_NODE_MS: u64 = 25;
/// Maximum time over which the first queries are spread.
const MAX_STARTUP_SPREAD_MS: u64 = 2_000;
/// Maximum number of outstanding queries; each holds one of the caller's file descriptors.
pub const MAX_OUTSTANDING: usize = 8;
/// A query whose result the caller has not reported this long after its timeout counts as failed.
const LOST_QUERY_GRACE_MS: u64 = 500;

/// The settings of a resolver.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the service, such as `_profile._tcp.example.org`.
    pub service: Name,
    /// The addresses of the DNS servers.
    pub servers: Vec<SocketAddr>,
    /// Number of nodes in the tier, which share the query budget.
    pub nodes: usize,
    /// Maximum rate of queries per second of the whole tier.
    pub tier_per_s: f64,
    /// Maximum number of queries that one node may send at once.
    pub burst: f64,
    /// Bounds of the lifetimes of answers.
    pub lifetimes: Lifetimes,
    /// Timeout of a query, in milliseconds.
    pub timeout_ms: u64,
    /// Whether IPv6 addresses are queried as well.
    pub ipv6: bool,
    /// Networks in which servers may be; all if empty.
    pub networks: Vec<IpNet>,
}

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingsError {
    /// There is no DNS server, or there are too many.
    Servers(usize),
    /// A DNS server has an address that can't be queried.
    Server(SocketAddr),
    /// The service name is the root name.
    Service,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Servers(count) => write!(f, "{count} servers; name 1 to {MAX_SERVERS}"),
            SettingsError::Server(address) => write!(f, "{address} is no address that can be asked"),
            SettingsError::Service => f.write_str("the service has no name"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// The transport of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// One datagram each way, from a source port of its own.
    Udp,
    /// A TCP connection, with a length of two bytes before each message.
    Tcp,
}

/// A query to send now. The caller reports its result exactly once, by [`Resolver::handle_answer`] or
/// [`Resolver::handle_failure`].
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// Identifies the query when its result is reported.
    pub ticket: u64,
    /// The DNS server to query.
    pub server: SocketAddr,
    /// The transport to use.
    pub transport: Transport,
    /// The question; [`Question::matches`] recognizes its answer.
    pub question: Question,
    /// The encoded message.
    pub bytes: Vec<u8>,
    /// The timeout, in milliseconds.
    pub timeout_ms: u64,
}

/// Why a query had no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No answer arrived within the timeout.
    TimedOut,
    /// The server is unreachable, or the connection ended before the whole answer.
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

/// The known state of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceView {
    /// How far the data may be trusted.
    pub trust: DnsTrust,
    /// The servers, each once, in ascending order of their addresses.
    pub servers: Vec<DnsServer>,
    /// Number of hosts whose addresses are not known yet: while it is not 0, `named` is incomplete.
    pub pending: usize,
    /// Number of answers for the service itself so far: a higher number means that DNS was consulted again.
    pub answers: u64,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Queries sent.
    pub sent: u64,
    /// Queries sent over TCP, which are included in `asked`.
    pub tcp: u64,
    /// Usable answers.
    pub answered: u64,
    /// Queries without a usable answer.
    pub failed: u64,
    /// Addresses in the current records that are not permitted by the settings.
    pub outside: u64,
}

type QueryKey = (Name, Kind);

enum Data {
    Service(Vec<SRV>),
    Addresses(Vec<IpAddr>),
    Negative,
}

struct CacheEntry {
    data: Data,
    fresh_until: u64,
    stale_until: u64,
}

struct OutstandingQuery {
    ticket: u64,
    server: usize,
    transport: Transport,
    edns: bool,
    question: Question,
    lost_at: u64,
}

struct Entry {
    /// The name to query: the entry's own name, or the name that its aliases have led to so far.
    name: Name,
    links: usize,
    cached: Option<CacheEntry>,
    /// When the name is queried next.
    due_at: u64,
    /// Number of consecutive rounds in which no server gave a usable answer.
    failures: u32,
    /// Servers that failed in this round. `tries` counts the failures.
    tried: Vec<usize>,
    tries: usize,
    /// The server to query over TCP next, because its answer was truncated.
    tcp_server: Option<usize>,
    outstanding: Option<OutstandingQuery>,
}

impl Entry {
    fn new(name: &Name, due_at: u64) -> Self {
        Entry {
            name: name.clone(),
            links: 0,
            cached: None,
            due_at,
            failures: 0,
            tried: Vec::new(),
            tries: 0,
            tcp_server: None,
            outstanding: None,
        }
    }

    /// Ends a round. The next one starts at the entry's own name.
    fn finish_round(&mut self, own_name: &Name, due_at: u64) {
        (self.name, self.links, self.due_at) = (own_name.clone(), 0, due_at);
        self.tried.clear();
        (self.tries, self.tcp_server) = (0, None);
    }

    fn usable(&self, now: u64) -> Option<&Data> {
        self.cached.as_ref().filter(|cached| now < cached.stale_until).map(|cached| &cached.data)
    }
}

/// Resolves one service.
pub struct Resolver {
    settings: Settings,
    rng: StdRng,
    budget: TokenBucket,
    servers: Servers,
    entries: BTreeMap<QueryKey, Entry>,
    tickets: BTreeMap<u64, QueryKey>,
    last_ticket: u64,
    answers: u64,
    counts: Counts,
    /// A description of the last failure.
    trouble: Option<String>,
}

impl Resolver {
    /// Creates a resolver without data. The seed must be unpredictable, because the ids of queries are drawn
    /// from it.
    ///
    /// # Errors
    ///
    /// Returns why the settings are invalid.
    pub fn new(settings: Settings, seed: [u8; 32], now: u64) -> Result<Self, SettingsError> {
        if settings.servers.is_empty() || settings.servers.len() > MAX_SERVERS {
            return Err(SettingsError::Servers(settings.servers.len()));
        }
        if let Some(invalid) = settings.servers.iter().find(|s| s.port() == 0 || s.ip().is_unspecified()) {
            return Err(SettingsError::Server(*invalid));
        }
        if settings.service.is_root() {
            return Err(SettingsError::Service);
        }
        let mut rng = StdRng::from_seed(seed);
        let node_rate = settings.tier_per_s / settings.nodes.max(1) as f64;
        let budget = TokenBucket::new(node_rate, settings.burst, now);
        let servers = Servers::new(&settings.servers, rng.random_range(0..settings.servers.len()));
        let spread = (STARTUP_SPREAD_PER_NODE_MS * settings.nodes as u64).min(MAX_STARTUP_SPREAD_MS);
        let first_due_at = if settings.nodes > 1 { now + rng.random_range(0..=spread) } else { now };
        let key = (settings.service.clone(), Kind::Srv);
        let entries = BTreeMap::from([(key, Entry::new(&settings.service, first_due_at))]);
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

    fn service_key(&self) -> QueryKey {
        (self.settings.service.clone(), Kind::Srv)
    }

    /// Returns the queries to send now.
    pub fn due_queries(&mut self, now: u64) -> Vec<Query> {
        let lost: Vec<u64> = self
            .entries
            .values()
            .filter_map(|e| {
                e.outstanding.as_ref().filter(|query| query.lost_at <= now).map(|query| query.ticket)
            })
            .collect();
        lost.into_iter().for_each(|ticket| self.handle_failure(now, ticket, Failure::TimedOut));
        // The service comes before its hosts; among the hosts, those without usable data come first, then
        // those that are due the longest.
        let mut due: Vec<(bool, bool, u64, QueryKey)> = self
            .entries
            .iter()
            .filter(|(_, e)| e.outstanding.is_none() && e.due_at <= now)
            .map(|(key, e)| (key.1 != Kind::Srv, e.usable(now).is_some(), e.due_at, key.clone()))
            .collect();
        due.sort();
        let mut queries = Vec::new();
        for (.., key) in due {
            if self.tickets.len() >= self.max_outstanding()
                || self.servers.available_at() > now
                || !self.budget.take(now)
            {
                break;
            }
            queries.extend(self.start_query(now, key));
        }
        queries
    }

    /// Returns the maximum number of outstanding queries.
    fn max_outstanding(&self) -> usize {
        if self.servers.any_healthy() { MAX_OUTSTANDING } else { 1 }
    }

    fn start_query(&mut self, now: u64, key: QueryKey) -> Option<Query> {
        let entry = self.entries.get_mut(&key)?;
        let (server, transport) = match entry.tcp_server.take() {
            Some(server) => (server, Transport::Tcp),
            None => {
                let untried = self.servers.choose(now, &entry.tried);
                (untried.or_else(|| self.servers.choose(now, &[]))?, Transport::Udp)
            }
        };
        let chosen = self.servers.get(server);
        let (server_address, edns) = (chosen.address, chosen.edns);
        let question = Question { id: self.rng.random(), name: entry.name.clone(), kind: key.1 };
        let Ok(bytes) = question.bytes(edns) else {
            // A name from an answer fits in a message, and the service name was parsed as a name, so this
            // does not normally happen.
            entry.due_at = now + MAX_BACKOFF_MS;
            return None;
        };
        self.last_ticket += 1;
        let (ticket, wait) = (self.last_ticket, self.settings.timeout_ms);
        entry.outstanding = Some(OutstandingQuery {
            ticket,
            server,
            transport,
            edns,
            question: question.clone(),
            lost_at: now + wait + LOST_QUERY_GRACE_MS,
        });
        self.tickets.insert(ticket, key);
        self.counts.sent += 1;
        self.counts.tcp += u64::from(transport == Transport::Tcp);
        Some(Query { ticket, server: server_address, transport, question, bytes, timeout_ms: wait })
    }

    /// Processes a complete answer. The caller should ignore messages that do not match the question; one
    /// that is passed in nevertheless counts as a failure.
    pub fn handle_answer(&mut self, now: u64, ticket: u64, bytes: &[u8]) {
        let Some((key, outstanding)) = self.end_query(ticket) else { return };
        let result = match outstanding.question.matches(bytes) {
            Match::Answer(message) => answer::interpret(&outstanding.question, &message),
            Match::NoMatch | Match::Broken => Err(AnswerError::Malformed),
        };
        match result {
            Ok(Reply::Truncated) if outstanding.transport == Transport::Udp => {
                if let Some(entry) = self.entries.get_mut(&key) {
                    (entry.tcp_server, entry.due_at) = (Some(outstanding.server), now);
                }
            }
            Ok(Reply::Truncated) => {
                self.retry_or_back_off(now, key, &outstanding, "the answer is truncated over TCP, too".into())
            }
            Ok(reply) => {
                self.servers.record_success(outstanding.server);
                self.counts.answered += 1;
                self.apply_reply(now, key, reply);
            }
            Err(AnswerError::EdnsUnsupported) if outstanding.edns => {
                self.servers.disable_edns(outstanding.server);
                if let Some(entry) = self.entries.get_mut(&key) {
                    entry.due_at = now;
                }
            }
            Err(error) => self.retry_or_back_off(now, key, &outstanding, error.to_string()),
        }
    }

    /// Records that a query had no answer.
    pub fn handle_failure(&mut self, now: u64, ticket: u64, failure: Failure) {
        if let Some((key, outstanding)) = self.end_query(ticket) {
            // Only a missing answer over UDP counts against the server: one whose answer is unusable, or that
            // does not support TCP, may still serve other names.
            if outstanding.transport == Transport::Udp {
                self.servers.record_failure(now, outstanding.server);
            }
            self.retry_or_back_off(now, key, &outstanding, failure.to_string());
        }
    }

    /// Removes and returns the query of a ticket; `None` if it has ended already.
    fn end_query(&mut self, ticket: u64) -> Option<(QueryKey, OutstandingQuery)> {
        let key = self.tickets.remove(&ticket)?;
        let outstanding = self.entries.get_mut(&key)?.outstanding.take()?;
        Some((key, outstanding))
    }

    fn retry_or_back_off(&mut self, now: u64, key: QueryKey, outstanding: &OutstandingQuery, reason: String) {
        let server = outstanding.server;
        self.counts.failed += 1;
        self.trouble =
            Some(format!("{} {:?}: server {}: {reason}", key.0, key.1, self.servers.get(server).address));
        let max_tries = self.servers.len().max(2);
        let jitter = self.rng.random_range(0.75..1.25);
        let Some(entry) = self.entries.get_mut(&key) else { return };
        entry.tried.push(server);
        entry.tries += 1;
        if entry.tries < max_tries {
            entry.due_at = now;
        } else {
            let backoff = MIN_BACKOFF_MS.saturating_mul(1 << entry.failures.min(16)).min(MAX_BACKOFF_MS);
            entry.failures = entry.failures.saturating_add(1);
            entry.finish_round(&key.0, now + (backoff as f64 * jitter) as u64);
        }
    }

    /// Applies the content of an answer.
    fn apply_reply(&mut self, now: u64, key: QueryKey, reply: Reply) {
        let lifetimes = self.settings.lifetimes;
        match reply {
            Reply::Service { records, ttl, additional } => {
                self.answers += 1;
                // RFC 2782: a single record whose target is the root name means that the service is not
                // available.
                let unavailable = records.iter().all(|r| r.target.is_root());
                let records: Vec<SRV> = records.into_iter().filter(|r| !r.target.is_root()).collect();
                self.update_hosts(now, &records, additional);
                let data = if unavailable { Data::Negative } else { Data::Service(records) };
                self.store(now, &key, data, lifetimes.answer_lifetime(ttl));
            }
            Reply::Addresses { addresses, ttl } => {
                self.store(now, &key, Data::Addresses(addresses), lifetimes.answer_lifetime(ttl))
            }
            Reply::Negative { soa, .. } => {
                if key.1 == Kind::Srv {
                    self.answers += 1;
                    self.update_hosts(now, &[], BTreeMap::new());
                }
                self.store(now, &key, Data::Negative, lifetimes.negative_lifetime(soa));
            }
            Reply::Alias { to, links, .. } => {
                let Some(entry) = self.entries.get_mut(&key) else { return };
                entry.links += links;
                // Loops over several answers increase the count, too.
                if entry.links > MAX_CNAME_LINKS {
                    self.trouble = Some(format!("{} {:?}: {}", key.0, key.1, AnswerError::CnameChain));
                    entry.failures = entry.failures.saturating_add(1);
                    entry.finish_round(&key.0, now + MAX_BACKOFF_MS);
                } else {
                    (entry.name, entry.due_at, entry.tries) = (to, now, 0);
                }
            }
            Reply::Truncated => {}
        }
    }

    fn store(&mut self, now: u64, key: &QueryKey, data: Data, lifetime: u64) {
        let lifetimes = self.settings.lifetimes;
        let due_at = lifetimes.refresh_at(now, lifetime, self.rng.random());
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.cached = Some(CacheEntry {
            data,
            fresh_until: now + lifetime,
            stale_until: now + lifetime + lifetimes.stale,
        });
        entry.failures = 0;
        entry.finish_round(&key.0, due_at);
    }

    /// Updates the hosts of the service: new ones are queried unless the answer included their addresses;
    /// those that it no longer names are removed.
    fn update_hosts(
        &mut self,
        now: u64,
        records: &[SRV],
        mut additional: BTreeMap<QueryKey, (Vec<IpAddr>, u32)>,
    ) {
        let kinds: &[Kind] = if self.settings.ipv6 { &[Kind::A, Kind::Aaaa] } else { &[Kind::A] };
        let targets: BTreeSet<&Name> = records.iter().map(|r| &r.target).collect();
        let service = self.service_key();
        let removed: Vec<QueryKey> = self
            .entries
            .keys()
            .filter(|key| **key != service && !targets.contains(&key.0))
            .cloned()
            .collect();
        for key in removed {
            if let Some(outstanding) = self.entries.remove(&key).and_then(|e| e.outstanding) {
                self.tickets.remove(&outstanding.ticket);
            }
        }
        for target in targets {
            for kind in kinds {
                let key = (target.clone(), *kind);
                self.entries.entry(key.clone()).or_insert_with(|| Entry::new(target, now));
                if let Some((addresses, ttl)) = additional.remove(&key) {
                    let lifetime = self.settings.lifetimes.answer_lifetime(ttl);
                    self.store(now, &key, Data::Addresses(addresses), lifetime);
                }
            }
        }
    }

    /// Returns whether servers may have this address.
    fn allowed(&self, ip: IpAddr) -> bool {
        let is_unicast = match ip {
            IpAddr::V4(a) => !a.is_unspecified() && !a.is_multicast() && !a.is_broadcast(),
            IpAddr::V6(a) => !a.is_unspecified() && !a.is_multicast(),
        };
        let networks = &self.settings.networks;
        is_unicast && (networks.is_empty() || networks.iter().any(|n| n.contains(&ip)))
    }

    /// Returns the state of the service at `now`.
    pub fn view(&mut self, now: u64) -> ServiceView {
        let service = &self.entries[&self.service_key()];
        let word = match &service.cached {
            None => DnsTrust::Unknown,
            Some(cached) if now >= cached.stale_until => DnsTrust::Expired,
            Some(CacheEntry { data: Data::Negative, .. }) => DnsTrust::Empty,
            Some(cached) if now >= cached.fresh_until => DnsTrust::Stale,
            Some(_) => DnsTrust::Fresh,
        };
        let records: &[SRV] = match service.usable(now) {
            Some(Data::Service(records)) => records,
            _ => &[],
        };
        let (mut servers, mut pending, mut outside) = (BTreeMap::new(), 0, 0);
        for r in records {
            let entry_of = |kind| self.entries.get(&(r.target.clone(), kind));
            let address_entries = [entry_of(Kind::A), entry_of(Kind::Aaaa)];
            let (mut any_resolved, mut unresolved) = (false, false);
            for entry in address_entries.into_iter().flatten() {
                match entry.usable(now) {
                    Some(Data::Addresses(addresses)) => {
                        any_resolved = true;
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
                            // A server that is named twice counts once, with its lowest priority value.
                            let entry = servers.entry(named.address).or_insert(named);
                            if named.priority < entry.priority {
                                *entry = named;
                            }
                        }
                    }
                    Some(_) => {}
                    None => unresolved = true,
                }
            }
            pending += usize::from(unresolved && !any_resolved);
        }
        self.counts.outside = outside;
        ServiceView { trust: word, servers: servers.into_values().collect(), pending, answers: self.answers }
    }

    /// Returns the latest time at which [`Resolver::due_queries`] must be called again.
    pub fn due(&mut self, now: u64) -> u64 {
        // At the limit of outstanding queries, the next one starts when one of them ends.
        let at_limit = self.tickets.len() >= self.max_outstanding();
        let next_start =
            if at_limit { u64::MAX } else { self.budget.due(now).max(self.servers.available_at()) };
        let mut due = u64::MAX;
        for entry in self.entries.values() {
            due = due.min(match &entry.outstanding {
                Some(outstanding) => outstanding.lost_at,
                None => entry.due_at.max(next_start),
            });
            if let Some(cached) = &entry.cached {
                let expiries = [cached.fresh_until, cached.stale_until];
                due = expiries.into_iter().filter(|t| *t > now).fold(due, u64::min);
            }
        }
        due
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns a description of the last failure since the previous call, and clears it.
    pub fn take_last_error(&mut self) -> Option<String> {
        self.trouble.take()
    }

    /// Returns the number of cached or queried names, which is bounded by the size of one answer.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Always returns `false`: the service itself is an entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
