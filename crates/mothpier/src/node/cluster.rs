//! Servers that form a cluster: their slot map, and what they answer in place of a value.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use brassrouter::{Event, ListKind, ServerId, SlotRange, Status};
use mothpier_net::Net;
use mothpier_slots::pool::ErrorMeaning;
use mothpier_slots::table::SlotAssignment;

use super::{Due, Node};
use crate::messages::AttemptId;
use crate::{Mutation, mutation_active};

/// What boxes of a cluster answer that should not be is logged at most so often: a box that does it does it always.
const SAID: Duration = Duration::from_secs(1);

impl<N: Net> Node<N> {
    /// Reads what a server of a cluster answers in place of a value; `None` for what any server may answer, and for an
    /// attempt that nobody waits for: what comes late moves nothing.
    pub(super) fn cluster_said(&mut self, attempt: AttemptId, line: &str) -> Option<Status> {
        let (pool, _) = self.parts.cluster.as_mut()?;
        let flight = self.flights.get(&attempt)?;
        let (request, _) = flight.attempt?;
        let from = self.parts.servers.address(flight.server)?;
        let mut open = self.open.get_mut(&request);
        let slot = open.as_ref().and_then(|o| o.slot);
        let servers = &self.parts.servers;
        let word = pool.said(self.clock.now() / 1000, line, slot, from, &|address| servers.at(address))?;
        let status = match &word {
            ErrorMeaning::Redirected { to, ask } => {
                if let Some(open) = &mut open {
                    open.moved = to.filter(|_| !ask);
                }
                Status::Redirected { to: *to, ask: *ask }
            }
            ErrorMeaning::TurnedAway(_) => Status::Full,
            // Nothing that can't be read proves that it has not run.
            ErrorMeaning::Unreadable(_) | ErrorMeaning::OtherSlot(_) => Status::Error,
        };
        let odd = match &word {
            ErrorMeaning::Unreadable(why) => Some(why.to_string()),
            ErrorMeaning::OtherSlot(slot) => Some(format!("it is of slot {slot}, which was not asked for")),
            ErrorMeaning::Redirected { to: None, .. } => {
                Some("no server of the list takes requests there".into())
            }
            ErrorMeaning::Redirected { .. } | ErrorMeaning::TurnedAway(_) => None,
        };
        let now = self.net.now();
        if let Some(odd) = odd.filter(|_| self.said_at.is_none_or(|at| now >= at + SAID)) {
            self.said_at = Some(now);
            self.net.log(format_args!("a cache server at {from} answers {line:.80?}, not followed: {odd}"));
        }
        if let ErrorMeaning::Redirected { to: Some(to), .. } = word
            && mutation_active(Mutation::RedirectIsNews)
        {
            self.believe(to);
        }
        self.plan_refresh();
        Some(status)
    }

    /// A planted mistake: a server is taken for ready because another one named it.
    pub(super) fn believe(&mut self, to: ServerId) {
        let address = self.parts.servers.address(to);
        self.parts.servers.listed(to, address, true);
        let line = brassrouter::ServerEntry { id: to, ..brassrouter::ServerEntry::default() };
        self.events.push_back(Event::ServerList { kind: ListKind::Delta, servers: vec![line] });
    }

    /// Sets the wake-up for the next refresh, unless one stands that comes as soon.
    pub(super) fn plan_refresh(&mut self) {
        let Some((pool, _)) = &self.parts.cluster else { return };
        let Some(due) = pool.due() else { return };
        let left = (due * 1000).saturating_sub(self.clock.now());
        let at = self.net.now() + Duration::from_micros(left);
        if self.refresh_at.is_none_or(|set| at < set) {
            self.refresh_at = Some(at);
            self.due.push(Reverse((at, Due::Refresh)));
        }
    }

    /// Asks servers for their slot map, if it is time.
    pub(super) fn refresh(&mut self) {
        self.refresh_at = None;
        let Some((pool, asker)) = &mut self.parts.cluster else { return };
        let servers = &self.parts.servers;
        for server in pool.begin(self.clock.now() / 1000, &servers.ready()) {
            if let Some(address) = servers.address(server) {
                asker.ask(server, address);
            }
        }
        self.plan_refresh();
    }

    /// What a server said of the slot map, or that it said nothing of use.
    pub(super) fn topology(
        &mut self,
        server: ServerId,
        mut heard: Option<mothpier_slots::table::ServerView>,
    ) {
        let Some((pool, asker)) = &mut self.parts.cluster else { return };
        asker.ended(server);
        if let Some((_, view)) = heard.as_mut().filter(|_| mutation_active(Mutation::StaleMapWins)) {
            view.epoch = u64::MAX - view.epoch;
        }
        let servers = &self.parts.servers;
        let by_address = servers.by_address();
        let listed = |address: SocketAddr| by_address.get(&address).copied();
        let merged = pool.answered(self.clock.now() / 1000, server, heard, &listed);
        if let Some(merged) = merged {
            if merged.stale {
                self.net.log("no slot map from any cache server asked, or an older one: the one held stays");
            } else {
                let ranges = slot_ranges(pool.ranges());
                self.events.push_back(Event::SlotMap { whole: true, ranges });
            }
        }
        self.plan_refresh();
    }
}

pub(super) fn slot_ranges(held: Vec<SlotAssignment>) -> Vec<SlotRange> {
    held.into_iter().map(|h| SlotRange { first: h.first, last: h.last, servers: h.boxes }).collect()
}
