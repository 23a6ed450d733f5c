//! Servers that form a cluster: slot map refreshes, and errors that redirect or turn away a request.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use brassrouter::{Event, ListKind, ServerId, SlotRange, Status};
use mothpier_net::Net;
use mothpier_slots::pool::ErrorMeaning;
use mothpier_slots::table::SlotAssignment;

use super::{Node, Wakeup};
use crate::messages::AttemptId;
use crate::{Mutation, mutation_active};

/// Redirects that are not followed are logged at most once per interval: a misconfigured server sends them
/// repeatedly.
const REDIRECT_LOG_INTERVAL: Duration = Duration::from_secs(1);

impl<N: Net> Node<N> {
    /// Interprets an error line of a server of a cluster. Returns `None` for errors that are not specific to
    /// clusters, and for attempts that are no longer in flight: late answers do not affect the slot map.
    pub(super) fn interpret_cluster_error(&mut self, attempt: AttemptId, error_line: &str) -> Option<Status> {
        let (pool, _) = self.parts.cluster.as_mut()?;
        let pending = self.in_flight.get(&attempt)?;
        let (request, _) = pending.attempt?;
        let from = self.parts.servers.address(pending.server)?;
        let mut open = self.open_requests.get_mut(&request);
        let slot = open.as_ref().and_then(|o| o.slot);
        let servers = &self.parts.servers;
        let meaning = pool.classify_error(self.clock.now() / 1000, error_line, slot, from, &|address| {
            servers.server_at(address)
        })?;
        let status = match &meaning {
            ErrorMeaning::Redirected { to, ask } => {
                if let Some(open) = &mut open {
                    open.moved_to = to.filter(|_| !ask);
                }
                Status::Redirected { to: *to, ask: *ask }
            }
            ErrorMeaning::Rejected(_) => Status::Rejected,
            // A malformed redirect does not prove that the command did not run.
            ErrorMeaning::Unreadable(_) | ErrorMeaning::OtherSlot(_) => Status::Error,
        };
        let problem = match &meaning {
            ErrorMeaning::Unreadable(error) => Some(error.to_string()),
            ErrorMeaning::OtherSlot(slot) => Some(format!("it names slot {slot}, not the request's slot")),
            ErrorMeaning::Redirected { to: None, .. } => {
                Some("no listed server accepts requests at that address".into())
            }
            ErrorMeaning::Redirected { .. } | ErrorMeaning::Rejected(_) => None,
        };
        let now = self.net.now();
        if let Some(problem) =
            problem.filter(|_| self.redirect_logged_at.is_none_or(|at| now >= at + REDIRECT_LOG_INTERVAL))
        {
            self.redirect_logged_at = Some(now);
            self.net.log(format_args!(
                "cache server {from} answered {error_line:.80?}; redirect not followed: {problem}"
            ));
        }
        if let ErrorMeaning::Redirected { to: Some(to), .. } = meaning
            && mutation_active(Mutation::RedirectIsNews)
        {
            self.mark_ready(to);
        }
        self.schedule_slot_map_refresh();
        Some(status)
    }

    /// Marks a server as ready only because another server named it; used by a mutation.
    pub(super) fn mark_ready(&mut self, server: ServerId) {
        let address = self.parts.servers.address(server);
        self.parts.servers.apply_entry(server, address, true);
        let entry = brassrouter::ServerEntry { id: server, ..brassrouter::ServerEntry::default() };
        self.events.push_back(Event::ServerList { kind: ListKind::Delta, servers: vec![entry] });
    }

    /// Schedules the next slot map refresh, unless one is already scheduled that is no later.
    pub(super) fn schedule_slot_map_refresh(&mut self) {
        let Some((pool, _)) = &self.parts.cluster else { return };
        let Some(due) = pool.due() else { return };
        let remaining = (due * 1000).saturating_sub(self.clock.now());
        let at = self.net.now() + Duration::from_micros(remaining);
        if self.slot_map_refresh_at.is_none_or(|set| at < set) {
            self.slot_map_refresh_at = Some(at);
            self.wakeups.push(Reverse((at, Wakeup::SlotMapRefresh)));
        }
    }

    /// Requests slot maps from the servers of the round that is due, if any.
    pub(super) fn refresh_slot_maps(&mut self) {
        self.slot_map_refresh_at = None;
        let Some((pool, fetcher)) = &mut self.parts.cluster else { return };
        let servers = &self.parts.servers;
        for server in pool.start_round(self.clock.now() / 1000, &servers.ready()) {
            if let Some(address) = servers.address(server) {
                fetcher.fetch(server, address);
            }
        }
        self.schedule_slot_map_refresh();
    }

    /// Handles a server's slot map, or `None` if no usable one arrived in time.
    pub(super) fn receive_slot_map(
        &mut self,
        server: ServerId,
        mut server_view: Option<mothpier_slots::table::ServerView>,
    ) {
        let Some((pool, fetcher)) = &mut self.parts.cluster else { return };
        fetcher.remove(server);
        if let Some((_, view)) = server_view.as_mut().filter(|_| mutation_active(Mutation::StaleMapWins)) {
            view.epoch = u64::MAX - view.epoch;
        }
        let servers = &self.parts.servers;
        let by_address = servers.by_address();
        let lookup = |address: SocketAddr| by_address.get(&address).copied();
        let merged = pool.record_answer(self.clock.now() / 1000, server, server_view, &lookup);
        if let Some(merged) = merged {
            if merged.stale {
                self.net.log("slot map refresh returned no map, or an older one; keeping the current map");
            } else {
                let ranges = slot_ranges(pool.ranges());
                self.events.push_back(Event::SlotMap { complete: true, ranges });
            }
        }
        self.schedule_slot_map_refresh();
    }
}

/// Converts slot assignments to the form of the policy.
pub(super) fn slot_ranges(assignments: Vec<SlotAssignment>) -> Vec<SlotRange> {
    assignments.into_iter().map(|a| SlotRange { first: a.first, last: a.last, servers: a.servers }).collect()
}
