//! Rules by which the membership sources are merged into one view.
//!
//! | reported by | resulting state of the server |
//! | --- | --- |
//! | list: ready | ready, whatever DNS reports; draining while a gossip item about this process applies |
//! | list: draining | draining, whatever the other sources report |
//! | list: gone, or complete without it | gone; its address stays excluded for [`Settings::tombstone_ms`] |
//! | DNS or the fixed set only | ready, cold since first named here, with an id derived from its address |
//! | DNS no longer; few servers lost | gone |
//! | DNS no longer; many or all lost at once | kept until further answers confirm the loss for long enough |
//! | no source, and no ready server is left | kept if it was in the view, unless the list removed it |
//!
//! Only the list can empty the view: a drain or removal that it reports always takes effect.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;

use crate::dns_servers::{DnsServer, DnsServers, DnsTrust, ShrinkGuard};
use crate::gossip::{self, Gossip};
use crate::server_record::{Phase, ServerRecord, canonical};

/// Maximum number of remembered addresses that the list removed.
const MAX_TOMBSTONES: usize = 4_096;
/// Minimum size derived from a DNS weight, relative to the mean weight of its priority.
const MIN_RELATIVE_WEIGHT: f32 = 0.25;
/// Maximum size derived from a DNS weight, relative to the mean weight of its priority.
const MAX_RELATIVE_WEIGHT: f32 = 4.0;

/// Properties assumed for a server of which only the address is known.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerTemplate {
    /// Zone.
    pub locality: String,
    /// Machine kind.
    pub flavor: String,
    /// Cell.
    pub cell: u16,
}

/// Settings of the merge.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How long a removal by the list overrides the other sources, in milliseconds.
    pub tombstone_ms: u64,
    /// When the loss of servers from DNS must be confirmed.
    pub shrink_guard: ShrinkGuard,
    /// Gossip between nodes; `None` if it is off.
    pub gossip: Option<gossip::Settings>,
    /// Properties of servers that the list does not name.
    pub template: ServerTemplate,
    /// Machine kind of the origin, which is not a cache server.
    pub origin: Option<String>,
    /// Statically configured servers.
    pub fixed: Vec<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            tombstone_ms: 600_000,
            shrink_guard: ShrinkGuard::default(),
            gossip: None,
            template: ServerTemplate::default(),
            origin: None,
            fixed: Vec::new(),
        }
    }
}

/// Reason for the state of a server, in the view or excluded from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateReason {
    /// The list names it.
    List,
    /// Other nodes report that its process is draining or gone.
    PeerReport,
    /// Only DNS names it; it counts as cold.
    Dns,
    /// DNS no longer names it, which is not confirmed yet.
    RemovalPending,
    /// Only the fixed set names it.
    Fixed,
    /// Kept because no other ready server is left.
    LastResort,
    /// Excluded: the list removed it, though other sources still name it.
    RemovedByList,
    /// Excluded: DNS has usable servers with a lower priority value.
    Standby,
}

impl StateReason {
    /// Returns the name shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            StateReason::List => "list",
            StateReason::PeerReport => "rumour",
            StateReason::Dns => "dns",
            StateReason::RemovalPending => "dns-doubted",
            StateReason::Fixed => "fixed",
            StateReason::LastResort => "last-resort",
            StateReason::RemovedByList => "taken-away",
            StateReason::Standby => "standby",
        }
    }
}

/// State of a server as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerReport {
    /// Server id.
    pub id: String,
    /// Address and port.
    pub address: String,
    /// Whether it takes requests.
    pub phase: Phase,
    /// Reason for this state.
    pub reason: StateReason,
}

/// Changes of the view.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// New and changed records; those of servers that left the view have [`Phase::Gone`].
    pub records: Vec<ServerRecord>,
    /// Servers whose id changed, as (old id, new id). Address and process are the same.
    pub renamed: Vec<(String, String)>,
}

/// The membership sources of one node, merged into one view.
#[derive(Clone, Debug)]
pub struct Sources {
    settings: Settings,
    list: BTreeMap<String, ServerRecord>,
    /// Whether the last attempt to reach the list failed.
    list_unreachable: bool,
    /// Addresses that the list removed, and until when this overrides the other sources.
    tombstones: BTreeMap<SocketAddr, u64>,
    dns: DnsServers,
    gossip: Option<Gossip>,
    fixed_since: u64,
    last_view: BTreeMap<String, ServerRecord>,
    reports: Vec<ServerReport>,
}

impl Sources {
    /// Creates the sources before any of them has reported. `seed` seeds the random delays of gossip.
    pub fn new(settings: Settings, seed: u64, now: u64) -> Self {
        Sources {
            list: BTreeMap::new(),
            list_unreachable: false,
            tombstones: BTreeMap::new(),
            dns: DnsServers::new(settings.shrink_guard),
            gossip: settings.gossip.map(|settings| Gossip::new(settings, seed)),
            fixed_since: now,
            last_view: BTreeMap::new(),
            reports: Vec::new(),
            settings,
        }
    }

    /// Takes a list, either complete (`whole`) or changes only. Must be called in the order of the list's
    /// revisions.
    pub fn update_list(&mut self, now: u64, whole: bool, records: Vec<ServerRecord>) {
        self.list_unreachable = false;
        if whole {
            let named: BTreeSet<&str> = records.iter().map(|record| record.id.as_str()).collect();
            let gone: Vec<ServerRecord> =
                self.list.values().filter(|record| !named.contains(record.id.as_str())).cloned().collect();
            for record in gone {
                self.apply_record(now, whole, ServerRecord { phase: Phase::Gone, ..record });
            }
        }
        // Removals come first, so that a new server at the address of a removed one is kept.
        let (gone, here): (Vec<ServerRecord>, Vec<ServerRecord>) =
            records.into_iter().partition(|record| record.phase == Phase::Gone);
        gone.into_iter().chain(here).for_each(|record| self.apply_record(now, whole, record));
        while self.tombstones.len() > MAX_TOMBSTONES {
            let oldest = self
                .tombstones
                .iter()
                .min_by_key(|(_, expires_at)| **expires_at)
                .map(|(address, _)| *address);
            oldest.and_then(|address| self.tombstones.remove(&address));
        }
    }

    fn apply_record(&mut self, now: u64, whole: bool, record: ServerRecord) {
        let previous = self.list.remove(&record.id);
        let (old_address, new_address) =
            (previous.as_ref().and_then(ServerRecord::address), record.address());
        let is_origin = self.is_origin(&record);
        if record.phase == Phase::Gone {
            let in_use =
                |address: &SocketAddr| self.list.values().any(|other| other.address() == Some(*address));
            let freed: Vec<SocketAddr> =
                old_address.or(new_address).into_iter().filter(|address| !in_use(address)).collect();
            self.tombstones
                .extend(freed.into_iter().map(|address| (address, now + self.settings.tombstone_ms)));
        } else {
            if let Some(old_address) = old_address.filter(|address| Some(*address) != new_address) {
                self.tombstones.insert(old_address, now + self.settings.tombstone_ms);
            }
            new_address.and_then(|address| self.tombstones.remove(&address));
        }
        if let Some(gossip) = self.gossip.as_mut().filter(|_| !is_origin) {
            let was_ready = previous.as_ref().is_some_and(|previous| previous.phase == Phase::Ready);
            let old_phase = previous.as_ref().map(|previous| previous.phase);
            match record.phase {
                Phase::Ready if !whole && old_phase != Some(Phase::Ready) => gossip.mark_ready(record.hash()),
                Phase::Ready => {}
                // The change is about the process that was known here, or a later one that the record names.
                phase if was_ready => {
                    let up_since_ms =
                        previous.as_ref().map_or(0, |previous| previous.up_since_ms).max(record.up_since_ms);
                    gossip.announce(now, record.hash(), up_since_ms, phase);
                }
                _ => {}
            }
        }
        if record.phase != Phase::Gone {
            self.list.insert(record.id.clone(), record);
        }
    }

    /// Records that the list cannot be reached. Its last report remains in force.
    pub fn mark_list_unreachable(&mut self) {
        self.list_unreachable = true;
    }

    /// Takes the current data from DNS: see [`DnsServers::update`].
    pub fn update_dns(
        &mut self,
        now: u64,
        trust: DnsTrust,
        named: &[DnsServer],
        complete: bool,
        answers: u64,
    ) {
        let named: Vec<DnsServer> =
            named.iter().map(|server| DnsServer { address: canonical(server.address), ..*server }).collect();
        self.dns.update(now, trust, &named, complete, answers);
    }

    /// Processes a message from another node. Returns whether it is a gossip message.
    pub fn receive(&mut self, now: u64, bytes: &[u8]) -> bool {
        if let Some(gossip) = &mut self.gossip {
            gossip.receive(now, bytes);
        }
        Gossip::is_message(bytes)
    }

    /// Returns the message to send to all other nodes now, if any.
    pub fn next_message(&mut self, now: u64) -> Option<Vec<u8>> {
        self.gossip.as_mut()?.next_message(now)
    }

    /// Returns when [`Sources::next_message`] or [`Sources::changes`] must be called next, if at all.
    pub fn next_due(&self, now: u64) -> Option<u64> {
        let gossip = self.gossip.as_ref();
        let tombstone_expiry = self.tombstones.values().copied().filter(|expires_at| *expires_at > now).min();
        let times = [
            gossip.and_then(Gossip::next_send_due),
            gossip.and_then(|gossip| gossip.next_expiry(now)),
            tombstone_expiry,
        ];
        times.into_iter().flatten().min()
    }

    fn is_origin(&self, record: &ServerRecord) -> bool {
        self.settings.origin.as_ref().is_some_and(|kind| *kind == record.flavor)
    }

    /// Returns what has changed in the view since the last call.
    pub fn changes(&mut self, now: u64) -> Changes {
        self.tombstones.retain(|_, expires_at| *expires_at > now);
        let view = self.merge(now);
        let mut changes = Changes::default();
        for (id, record) in &self.last_view {
            if !view.contains_key(id) {
                changes.records.push(ServerRecord { phase: Phase::Gone, ..record.clone() });
                let address = record.address();
                let new = view.values().find(|candidate| address.is_some() && candidate.address() == address);
                if let Some(new) = new.filter(|new| {
                    !self.last_view.contains_key(&new.id) && id.starts_with(SYNTHETIC_ID_PREFIX)
                }) {
                    changes.renamed.push((id.clone(), new.id.clone()));
                }
            }
        }
        changes
            .records
            .extend(view.values().filter(|record| self.last_view.get(&record.id) != Some(record)).cloned());
        self.last_view = view;
        changes
    }

    /// Returns the view as of the last [`Sources::changes`].
    pub fn last_view(&self) -> impl Iterator<Item = &ServerRecord> {
        self.last_view.values()
    }

    fn merge(&mut self, now: u64) -> BTreeMap<String, ServerRecord> {
        let mut view: BTreeMap<String, ServerRecord> = BTreeMap::new();
        self.reports.clear();
        let drained_by_gossip = self.drained_by_gossip(now);
        let mut listed = BTreeMap::new();
        for record in self.list.values() {
            let peer_report = drained_by_gossip.contains(&record.id);
            let phase = if peer_report { Phase::Draining } else { record.phase };
            if let Some(address) = record.address() {
                let ready = listed.entry(address).or_insert(false);
                *ready |= phase == Phase::Ready;
            }
            let reason = if peer_report { StateReason::PeerReport } else { StateReason::List };
            self.reports.push(ServerReport {
                id: record.id.clone(),
                address: record.host_port.clone(),
                phase,
                reason,
            });
            view.insert(record.id.clone(), ServerRecord { phase, ..record.clone() });
        }
        let active_priority = self.lowest_usable_priority(&listed);
        let mean = self.mean_weight(active_priority);
        let from_dns = self.dns.servers().map(|(server, first_named_at, removal_pending)| {
            let reason = if removal_pending { StateReason::RemovalPending } else { StateReason::Dns };
            (server, first_named_at, reason)
        });
        let fixed = self
            .settings
            .fixed
            .iter()
            .map(|address| canonical(*address))
            .filter(|address| !self.dns.contains(*address));
        let fixed = fixed.map(|address| {
            let server = DnsServer { address, priority: active_priority.unwrap_or(0), weight: mean as u16 };
            (server, self.fixed_since, StateReason::Fixed)
        });
        for (server, first_named_at, reason) in from_dns.chain(fixed) {
            if listed.contains_key(&server.address) {
                continue;
            }
            let exclusion = if self.tombstones.contains_key(&server.address) {
                Some(StateReason::RemovedByList)
            } else {
                (Some(server.priority) != active_priority).then_some(StateReason::Standby)
            };
            let record = self.synthetic_record(&server, first_named_at, mean);
            let (address, phase) =
                (record.host_port.clone(), if exclusion.is_some() { Phase::Gone } else { Phase::Ready });
            self.reports.push(ServerReport {
                id: record.id.clone(),
                address,
                phase,
                reason: exclusion.unwrap_or(reason),
            });
            if exclusion.is_none() {
                view.insert(record.id.clone(), record);
            }
        }
        if !view.values().any(|record| record.phase == Phase::Ready && !self.is_origin(record)) {
            // Keeps what was there, except for addresses that the list names or has removed.
            let unlisted = |address: SocketAddr| {
                !listed.contains_key(&address) && !self.tombstones.contains_key(&address)
            };
            let previous = self
                .last_view
                .values()
                .filter(|record| record.id.starts_with(SYNTHETIC_ID_PREFIX) && record.phase == Phase::Ready);
            let retained: Vec<ServerRecord> =
                previous.filter(|record| record.address().is_some_and(unlisted)).cloned().collect();
            for record in retained {
                let (id, address) = (record.id.clone(), record.host_port.clone());
                self.reports.push(ServerReport {
                    id,
                    address,
                    phase: Phase::Ready,
                    reason: StateReason::LastResort,
                });
                view.insert(record.id.clone(), record);
            }
        }
        view
    }

    /// Returns the listed servers that gossip drains: the most recently reported ones, whose reports are the
    /// likeliest to be still true; at most the configured share, and never all.
    fn drained_by_gossip(&self, now: u64) -> BTreeSet<String> {
        let (Some(gossip), Some(settings)) = (&self.gossip, &self.settings.gossip) else {
            return BTreeSet::new();
        };
        let ready: Vec<&ServerRecord> = self
            .list
            .values()
            .filter(|record| record.phase == Phase::Ready && !self.is_origin(record))
            .collect();
        let limit =
            ((ready.len() as f64 * settings.max_share) as usize).max(1).min(ready.len().saturating_sub(1));
        let reported = |record: &&ServerRecord| {
            Some((Reverse(gossip.reported_at(now, record.hash(), record.up_since_ms)?), record.id.clone()))
        };
        let mut reported: Vec<(Reverse<u64>, String)> = ready.iter().filter_map(reported).collect();
        reported.sort();
        reported.into_iter().take(limit).map(|(_, id)| id).collect()
    }

    /// Returns the priority of the DNS servers in use: the lowest one with a usable server.
    fn lowest_usable_priority(&self, listed: &BTreeMap<SocketAddr, bool>) -> Option<u16> {
        let usable = |server: &DnsServer| match listed.get(&server.address) {
            Some(ready) => *ready,
            None => !self.tombstones.contains_key(&server.address),
        };
        let lowest =
            self.dns.servers().map(|(server, ..)| server).filter(usable).map(|server| server.priority).min();
        lowest.or((!self.settings.fixed.is_empty()).then_some(0))
    }

    fn mean_weight(&self, priority: Option<u16>) -> f32 {
        let group = self
            .dns
            .servers()
            .filter(|(server, _, removal_pending)| Some(server.priority) == priority && !removal_pending);
        let (sum, count) = group
            .fold((0f32, 0f32), |(sum, count), (server, ..)| (sum + f32::from(server.weight), count + 1.0));
        if sum > 0.0 { sum / count } else { 1.0 }
    }

    /// Builds the record of a server that the list does not name. Its id derives from its address, so that it
    /// is the same on every node.
    fn synthetic_record(&self, server: &DnsServer, first_named_at: u64, mean: f32) -> ServerRecord {
        let ServerTemplate { locality, flavor, cell } = self.settings.template.clone();
        let weight = if server.weight == 0 && mean <= 1.0 { 1.0 } else { f32::from(server.weight) / mean };
        ServerRecord {
            id: format!("{SYNTHETIC_ID_PREFIX}{}", server.address),
            host_port: server.address.to_string(),
            locality,
            flavor,
            cell,
            size: Some(weight.clamp(MIN_RELATIVE_WEIGHT, MAX_RELATIVE_WEIGHT)),
            up_since_ms: first_named_at.max(1),
            phase: Phase::Ready,
        }
    }

    /// Returns the state of each server and the reason for it, as of the last [`Sources::changes`].
    pub fn reports(&self) -> &[ServerReport] {
        &self.reports
    }

    /// Returns the state as text for operators: a line for each source, then one for each server.
    pub fn text(&self) -> String {
        let reach = if self.list_unreachable { "out-of-reach" } else { "in-reach" };
        let mut text = format!(
            "source_list:{reach},boxes={}\r\nsource_dns:{},boxes={},doubted={}\r\nsource_fixed:boxes={}\r\nrumours:{}\r\ntaken_away:{}\r\n",
            self.list.len(),
            self.dns.trust().name(),
            self.dns.servers().count(),
            self.dns.pending_removals(),
            self.settings.fixed.len(),
            self.gossip.as_ref().map_or(0, Gossip::len),
            self.tombstones.len(),
        );
        for ServerReport { id, address, phase, reason } in &self.reports {
            let _ = write!(text, "box:{id},{address},{},{}\r\n", phase.name(), reason.name());
        }
        text
    }
}

/// Prefix of an id that derives from an address.
const SYNTHETIC_ID_PREFIX: &str = "at-";
