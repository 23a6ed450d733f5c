//! Lists of cache servers, who is out by operators' hand, and what the sources of servers together say.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

use brassrouter::{CacheLookup, Condition, Event, ListKind, Load, ServerId, Status};
use mothpier_membership::ServerRecord;
use mothpier_membership::admin_drain::AdminDrainError;
use mothpier_net::Net;

use super::cluster::slot_ranges;
use super::{Due, Node};
use crate::event_log::Event as Logged;
use crate::membership;
use crate::messages::{AdminCommand, ServerList, UNREADABLE};
use crate::{Mutation, mutation_active};

impl<N: Net> Node<N> {
    /// Takes the list: as it is, or as one source of boxes among others.
    pub(super) fn heard_list(&mut self, mut list: ServerList, kind: ListKind) {
        list.members.retain(|m| {
            if m.phase == UNREADABLE {
                let net = &self.net;
                net.log(format_args!("the list's line of {:?} can't be read: nothing new goes there", m.id));
            }
            !m.id.is_empty()
        });
        match &self.parts.membership {
            None => self.list(list, kind),
            Some(membership) => {
                membership.list(self.clock.now() / 1000, list);
                // What is made of it are always changes, but for the first time.
                self.view_boxes(if kind == ListKind::Cached { kind } else { ListKind::Delta });
            }
        }
    }

    /// Takes over what the sources of boxes together say, tells other nodes what they are to be told, and sets the next
    /// wake-up.
    pub(super) fn view_boxes(&mut self, kind: ListKind) {
        let now = self.clock.now() / 1000;
        let Some(membership) = &self.parts.membership else { return };
        let (list, renamed) = membership.changes(now);
        for (old, new) in renamed {
            let (old, new) = (self.numbers.of(&old), self.numbers.of(&new));
            self.parts.servers.renamed(old, new);
        }
        if let (Some(peers), Some(message)) = (&self.parts.peers, membership.tell(now)) {
            peers.tell_all(self.site.policy.own_index as usize, &message);
        }
        let due = membership.due(now);
        if kind != ListKind::Delta || !list.members.is_empty() {
            self.list(list, kind);
        }
        let Some(due) = due else { return };
        let at = self.net.now() + Duration::from_millis(due.saturating_sub(now).max(1));
        if self.sources_at.is_none_or(|set| at < set) {
            self.sources_at = Some(at);
            self.due.push(Reverse((at, Due::Sources)));
        }
    }

    /// Carries out what staff want; they are told when it is so.
    pub(super) fn order(&mut self, order: AdminCommand) {
        match order {
            AdminCommand::SetServerDrained { id, out, tell } => {
                let done = self.by_hand(&id, out);
                let _ = tell.send(done);
            }
            AdminCommand::ReplaceDrained(out) => {
                let lines = self.hand.take_over(self.clock.now() / 1000, &out);
                self.changed(lines);
            }
            AdminCommand::FleetDrained { out, tell } => {
                let lines = self.hand.agree(self.clock.now() / 1000, &out);
                self.changed(lines);
                let _ = tell.send(());
            }
            AdminCommand::ReadyServers { held, tell } => {
                let ready = || self.hand.ready().cloned().collect();
                let _ = tell.send((self.lists != held).then(|| (self.lists, ready())));
            }
            AdminCommand::ProcessShare(part) => {
                self.events.push_back(Event::ProcessShare(part));
                self.settle();
            }
            AdminCommand::ServerList { held, tell } => {
                let members = || self.hand.listed().cloned().map(membership::member).collect();
                let list = || ServerList { revision: 0, complete: true, members: members() };
                let _ = tell.send((self.lists != held).then(|| (self.lists, list())));
            }
            AdminCommand::StateCounts(tell) => {
                let avoided: HashSet<ServerId> = self.policy.avoided_servers().collect();
                let numbers = &mut self.numbers;
                let mut out = |id: &str, takes: bool| !takes || avoided.contains(&numbers.of(id));
                let states = self.hand.members().fold((0, 0), |(members, unavailable), (id, takes)| {
                    (members + 1, unavailable + usize::from(out(id, takes)))
                });
                let _ = tell.send(states);
            }
        }
    }

    pub(super) fn by_hand(&mut self, id: &str, out: bool) -> Result<bool, AdminDrainError> {
        let now = self.clock.now() / 1000;
        let line = if out { self.hand.exclude(now, id) } else { self.hand.include(now, id) }?;
        let changed = line.is_some();
        self.changed(line);
        Ok(changed)
    }

    /// Takes in lines that changed by the hand alone; it is so when this returns.
    pub(super) fn changed(&mut self, lines: impl IntoIterator<Item = ServerRecord>) {
        let members: Vec<_> = lines.into_iter().map(membership::member).collect();
        if !members.is_empty() {
            self.take(ServerList { revision: 0, complete: false, members }, ListKind::Delta);
            self.settle();
        }
    }

    /// Takes over what the sources say, but for what the hand says otherwise.
    pub(super) fn list(&mut self, list: ServerList, kind: ListKind) {
        let whole = kind != ListKind::Delta;
        // A watch that ends with no change is no new list: what follows the number would be told the old one again.
        if whole || !list.members.is_empty() {
            self.lists += 1;
        }
        let lines = list.members.into_iter().map(membership::line).collect();
        if whole && mutation_active(Mutation::HandForgotten) {
            let origin = std::mem::take(&mut self.hand);
            self.hand = origin.emptied();
        }
        let lines = self.hand.list(whole, lines);
        self.take(ServerList { members: lines.into_iter().map(membership::member).collect(), ..list }, kind);
    }

    pub(super) fn take(&mut self, mut list: ServerList, kind: ListKind) {
        let (revision, lines) = (list.revision, list.members.len());
        self.log_event(&Logged::ListTaken { revision, complete: kind != ListKind::Delta, lines });
        let mut lines = self.numbers.lines(&self.net, &mut list, &self.site);
        self.start_times.place(self.clock.now(), lines.iter_mut().map(|(line, _)| line));
        let named: HashSet<ServerId> = lines.iter().map(|(line, _)| line.id).collect();
        let gone = lines.iter().map(|(line, _)| line).filter(|line| line.condition == Condition::Gone);
        let gone: HashSet<ServerId> = gone.map(|line| line.id).collect();
        let mut unsent = Vec::new();
        for (line, address) in &lines {
            let ready = line.condition == Condition::Ready;
            let origin = Some(line.kind) == self.site.policy.origin_kind;
            if line.condition == Condition::Gone && self.origin_ids.remove(&line.id) {
                self.parts.origins.gone(line.id);
            } else if origin && line.condition != Condition::Gone {
                self.origin_ids.insert(line.id);
                self.parts.origins.listed(line.id, *address, ready);
            } else {
                unsent.extend(self.parts.servers.listed(line.id, *address, ready));
            }
        }
        if kind != ListKind::Delta {
            unsent.extend(self.parts.servers.unlisted(&|id| named.contains(&id)));
            for id in self.origin_ids.extract_if(|id| !named.contains(id)) {
                self.parts.origins.gone(id);
            }
        }
        match kind {
            ListKind::Delta if gone.is_empty() => {}
            ListKind::Delta => self.forget(|id| gone.contains(&id)),
            _ => self.forget(|id| !named.contains(&id) || gone.contains(&id)),
        }
        let servers = lines.into_iter().map(|(line, _)| line).collect();
        self.events.push_back(Event::ServerList { kind, servers });
        if let Some((pool, _)) = &mut self.parts.cluster
            && let by_address = self.parts.servers.by_address()
            && pool.relist(&|address| by_address.get(&address).copied())
        {
            let ranges = slot_ranges(pool.ranges());
            self.events.push_back(Event::SlotMap { whole: true, ranges });
        }
        let left = match &self.parts.cluster {
            Some((_, asker)) => asker.leave(&|id| self.parts.servers.is_ready(id)),
            None => Vec::new(),
        };
        left.into_iter().for_each(|server| self.topology(server, None));
        for attempt in unsent {
            self.end(attempt, Status::NotSent, CacheLookup::None, Load::default(), None);
        }
    }

    /// Ids are ever new: nothing is kept of servers that have left.
    pub(super) fn forget(&mut self, left: impl Fn(ServerId) -> bool) {
        self.numbers.forget(&left);
        self.start_times.forget(&left);
    }
}
