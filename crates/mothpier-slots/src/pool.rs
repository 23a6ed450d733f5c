//! A cluster of cache servers as one node sees it: its slot table and the schedule on which the table is
//! refreshed.
//!
//! Error lines and slot maps from the servers go in; their meaning for the request, with servers given by
//! their number in the server list, comes out. This module does not choose the next server for a request: its
//! result is passed to the policy.

use std::net::SocketAddr;

use crate::redirect::{self, ClusterError, RedirectError, UnavailableReason};
use crate::refresh::{Budget, Millis, Refresh, RoundResult};
use crate::table::{Merged, ServerId, ServerLookup, ServerView, SlotAssignment, Table};

/// The meaning of an error line for the request that it answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ErrorMeaning {
    /// The command did not run; the server named another one.
    Redirected {
        /// The named server, if the server list has one at that address.
        to: Option<ServerId>,
        /// The redirection applies to this command only, which must be preceded by `ASKING`.
        ask: bool,
    },
    /// The command did not run, and no other server was named.
    Rejected(UnavailableReason),
    /// The line starts like a redirection but is malformed; the command may have run.
    Unreadable(RedirectError),
    /// The redirection is for a different slot than the request's; the command may have run.
    OtherSlot(u16),
}

/// A pool of cache servers that form a cluster.
#[derive(Debug)]
pub struct Pool {
    table: Table,
    refresh: Refresh,
}

impl Pool {
    /// Creates a pool without a slot map. `read_replicas` allows reads from replicas.
    pub fn new(read_replicas: bool, budget: Budget, seed: u64, now: Millis) -> Self {
        Pool { table: Table::new(read_replicas), refresh: Refresh::new(budget, seed, now) }
    }

    /// Interprets an error line with which a server answered a request for `slot` (`None` if the request has
    /// finished). Returns `None` for a line that is not specific to clusters.
    pub fn classify_error(
        &mut self,
        now: Millis,
        line: &str,
        slot: Option<u16>,
        from: SocketAddr,
        lookup: ServerLookup<'_>,
    ) -> Option<ErrorMeaning> {
        Some(match redirect::parse_error_line(line)? {
            Err(error) => ErrorMeaning::Unreadable(error),
            Ok(ClusterError::Unavailable(reason)) => {
                if reason.suggests_stale_map() {
                    self.refresh.report_stale(now);
                }
                ErrorMeaning::Rejected(reason)
            }
            Ok(ClusterError::Redirect(redirection)) if slot.is_some_and(|slot| slot != redirection.slot) => {
                ErrorMeaning::OtherSlot(redirection.slot)
            }
            Ok(ClusterError::Redirect(redirection)) => {
                // `ASK` is sent while a slot is being migrated, which no map shows yet: it does not mean that
                // the map is stale.
                if !redirection.ask {
                    self.refresh.report_stale(now);
                }
                ErrorMeaning::Redirected {
                    to: self.table.resolve(&redirection.to, from).and_then(lookup),
                    ask: redirection.ask,
                }
            }
        })
    }

    /// Records that the server named by a `MOVED` accepted the command and so owns the slot. Returns what
    /// changed.
    pub fn record_move(&mut self, slot: u16, to: ServerId) -> Option<SlotAssignment> {
        self.table.record_move(slot, to)
    }

    /// Looks up the servers of the map again after a change of the server list. Returns whether there is a
    /// map.
    pub fn refresh_lookup(&mut self, lookup: ServerLookup<'_>) -> bool {
        let known = !self.table.is_empty();
        if known {
            self.table.refresh_lookup(lookup);
        }
        known
    }

    /// Returns the whole slot table.
    pub fn ranges(&self) -> Vec<SlotAssignment> {
        self.table.ranges()
    }

    /// Returns the time of the next refresh; `None` while one is in progress.
    pub fn due(&self) -> Option<Millis> {
        self.refresh.due()
    }

    /// Starts the refresh round that is due and returns the servers to query.
    pub fn start_round(&mut self, now: Millis, ready: &[ServerId]) -> Vec<ServerId> {
        self.refresh.start_round(now, ready, self.table.redirect_mark())
    }

    /// Records the answer of a queried server, or `None` if no readable answer arrived in time. Returns the
    /// outcome of the merge once the round is complete.
    pub fn record_answer(
        &mut self,
        now: Millis,
        from: ServerId,
        view: Option<ServerView>,
        lookup: ServerLookup<'_>,
    ) -> Option<Merged> {
        let RoundResult { views, mark } = self.refresh.record_answer(now, from, view)?;
        Some(self.table.merge(views, mark, lookup))
    }
}

#[cfg(test)]
mod tests;
