//! Server lists, drains by operators and the fleet, and the merged view of all sources of servers.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

use brassrouter::{CacheLookup, Condition, Event, ListKind, Load, ServerId, Status};
use mothpier_membership::ServerRecord;
use mothpier_membership::admin_drain::AdminDrainError;
use mothpier_net::Net;

use super::cluster::slot_ranges;
use super::{Node, Wakeup};
use crate::event_log::Event as Logged;
use crate::membership;
use crate::messages::{AdminCommand, ServerList, UNREADABLE};
use crate::{Mutation, mutation_active};

impl<N: Net> Node<N> {
    /// Applies a list directly, or feeds it to the membership where there are other sources of servers.
    pub(super) fn receive_list(&mut self, mut list: ServerList, kind: ListKind) {
        list.members.retain(|m| {
            if m.phase == UNREADABLE {
                let net = &self.net;
                net.log(format_args!(
                    "the list's line of {:?} can't be read: no new requests go to that server",
                    m.id
                ));
            }
            !m.id.is_empty()
        });
        match &self.parts.membership {
            None => self.apply_list(list, kind),
            Some(membership) => {
                membership.list(self.clock.now() / 1000, list);
                // Except for the cached list at start, the merged view always yields changes.
                self.update_membership(if kind == ListKind::Cached { kind } else { ListKind::Delta });
            }
        }
    }

    /// Applies changes of the merged membership view, sends gossip to other nodes, and schedules the next
    /// update.
    pub(super) fn update_membership(&mut self, kind: ListKind) {
        let now = self.clock.now() / 1000;
        let Some(membership) = &self.parts.membership else { return };
        let (list, renamed) = membership.changes(now);
        for (old, new) in renamed {
            let (old, new) = (self.numbers.number_of(&old), self.numbers.number_of(&new));
            self.parts.servers.renumber(old, new);
        }
        if let (Some(peers), Some(message)) = (&self.parts.peers, membership.next_message(now)) {
            peers.broadcast(self.site.policy.own_index as usize, &message);
        }
        let due = membership.next_due(now);
        if kind != ListKind::Delta || !list.members.is_empty() {
            self.apply_list(list, kind);
        }
        let Some(due) = due else { return };
        let at = self.net.now() + Duration::from_millis(due.saturating_sub(now).max(1));
        if self.membership_update_at.is_none_or(|set| at < set) {
            self.membership_update_at = Some(at);
            self.wakeups.push(Reverse((at, Wakeup::MembershipUpdate)));
        }
    }

    /// Executes an administration command, and replies once it is in effect.
    pub(super) fn handle_admin_command(&mut self, admin_command: AdminCommand) {
        match admin_command {
            AdminCommand::SetServerDrained { id, drained, reply } => {
                let done = self.set_server_drained(&id, drained);
                let _ = reply.send(done);
            }
            AdminCommand::ReplaceDrained(drained) => {
                let records = self.admin_drains.take_over(self.clock.now() / 1000, &drained);
                self.apply_records(records);
            }
            AdminCommand::FleetDrained { drained, reply } => {
                let records = self.admin_drains.set_fleet_drained(self.clock.now() / 1000, &drained);
                self.apply_records(records);
                let _ = reply.send(());
            }
            AdminCommand::ReadyServers { known_version, reply } => {
                let ready = || self.admin_drains.ready().cloned().collect();
                let _ =
                    reply.send((self.list_version != known_version).then(|| (self.list_version, ready())));
            }
            AdminCommand::ProcessShare(share) => {
                self.events.push_back(Event::ProcessShare(share));
                self.process_events();
            }
            AdminCommand::ServerList { known_version, reply } => {
                let members = || self.admin_drains.listed().cloned().map(membership::to_member).collect();
                let list = || ServerList { revision: 0, complete: true, members: members() };
                let _ = reply.send((self.list_version != known_version).then(|| (self.list_version, list())));
            }
            AdminCommand::StateCounts(reply) => {
                let avoided: HashSet<ServerId> = self.policy.avoided_servers().collect();
                let numbers = &mut self.numbers;
                let mut is_unavailable =
                    |id: &str, accepts: bool| !accepts || avoided.contains(&numbers.number_of(id));
                let counts =
                    self.admin_drains.members().fold((0, 0), |(members, unavailable), (id, accepts)| {
                        (members + 1, unavailable + usize::from(is_unavailable(id, accepts)))
                    });
                let _ = reply.send(counts);
            }
        }
    }

    /// Drains a server by an operator's request, or returns it to service. Returns whether that changed
    /// anything.
    pub(super) fn set_server_drained(&mut self, id: &str, drained: bool) -> Result<bool, AdminDrainError> {
        let now = self.clock.now() / 1000;
        let record =
            if drained { self.admin_drains.exclude(now, id) } else { self.admin_drains.include(now, id) }?;
        let changed = record.is_some();
        self.apply_records(record);
        Ok(changed)
    }

    /// Applies records changed by administrative drains. The policy has processed them when this returns.
    pub(super) fn apply_records(&mut self, records: impl IntoIterator<Item = ServerRecord>) {
        let members: Vec<_> = records.into_iter().map(membership::to_member).collect();
        if !members.is_empty() {
            self.install_list(ServerList { revision: 0, complete: false, members }, ListKind::Delta);
            self.process_events();
        }
    }

    /// Applies a list or changes of it, with administrative drains taking precedence.
    pub(super) fn apply_list(&mut self, list: ServerList, kind: ListKind) {
        let is_full = kind != ListKind::Delta;
        // A watch that ends without changes does not make a new version: readers that compare versions would
        // receive the same list again.
        if is_full || !list.members.is_empty() {
            self.list_version += 1;
        }
        let records = list.members.into_iter().map(membership::to_record).collect();
        if is_full && mutation_active(Mutation::HandForgotten) {
            let previous = std::mem::take(&mut self.admin_drains);
            self.admin_drains = previous.without_drains();
        }
        let records = self.admin_drains.update(is_full, records);
        self.install_list(
            ServerList { members: records.into_iter().map(membership::to_member).collect(), ..list },
            kind,
        );
    }

    /// Updates connections, start times and the slot map for a list or changes of it, and passes it to the
    /// policy.
    pub(super) fn install_list(&mut self, mut list: ServerList, kind: ListKind) {
        let (revision, lines) = (list.revision, list.members.len());
        self.log_event(&Logged::ListTaken { revision, complete: kind != ListKind::Delta, lines });
        let mut entries = self.numbers.server_entries(&self.net, &mut list, &self.site);
        self.start_times.convert_starts(self.clock.now(), entries.iter_mut().map(|(entry, _)| entry));
        let listed_ids: HashSet<ServerId> = entries.iter().map(|(entry, _)| entry.id).collect();
        let gone = entries.iter().map(|(entry, _)| entry).filter(|entry| entry.condition == Condition::Gone);
        let gone: HashSet<ServerId> = gone.map(|entry| entry.id).collect();
        let mut unsent = Vec::new();
        for (entry, address) in &entries {
            let ready = entry.condition == Condition::Ready;
            let origin = Some(entry.kind) == self.site.policy.origin_kind;
            if entry.condition == Condition::Gone && self.origin_ids.remove(&entry.id) {
                self.parts.origins.remove(entry.id);
            } else if origin && entry.condition != Condition::Gone {
                self.origin_ids.insert(entry.id);
                self.parts.origins.apply_entry(entry.id, *address, ready);
            } else {
                unsent.extend(self.parts.servers.apply_entry(entry.id, *address, ready));
            }
        }
        if kind != ListKind::Delta {
            unsent.extend(self.parts.servers.retire_unlisted(&|id| listed_ids.contains(&id)));
            for id in self.origin_ids.extract_if(|id| !listed_ids.contains(id)) {
                self.parts.origins.remove(id);
            }
        }
        match kind {
            ListKind::Delta if gone.is_empty() => {}
            ListKind::Delta => self.forget(|id| gone.contains(&id)),
            _ => self.forget(|id| !listed_ids.contains(&id) || gone.contains(&id)),
        }
        let servers = entries.into_iter().map(|(entry, _)| entry).collect();
        self.events.push_back(Event::ServerList { kind, servers });
        if let Some((pool, _)) = &mut self.parts.cluster
            && let by_address = self.parts.servers.by_address()
            && pool.refresh_lookup(&|address| by_address.get(&address).copied())
        {
            let ranges = slot_ranges(pool.ranges());
            self.events.push_back(Event::SlotMap { complete: true, ranges });
        }
        let cancelled = match &self.parts.cluster {
            Some((_, fetcher)) => fetcher.cancel_unready(&|id| self.parts.servers.is_ready(id)),
            None => Vec::new(),
        };
        cancelled.into_iter().for_each(|server| self.receive_slot_map(server, None));
        for attempt in unsent {
            self.end_attempt(attempt, Status::NotSent, CacheLookup::None, Load::default(), None);
        }
    }

    /// Drops the state of servers that have left. New servers have new ids, so it would otherwise accumulate.
    pub(super) fn forget(&mut self, has_left: impl Fn(ServerId) -> bool) {
        self.numbers.forget(&has_left);
        self.start_times.forget(&has_left);
    }
}
