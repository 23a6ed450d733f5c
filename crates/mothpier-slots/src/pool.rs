//! A pool of boxes that speak the cluster dialect, as one node sees it: its slot table, and when it is asked for anew.
//! What boxes answer goes in, in words; what it means for the request, in numbers of the list, comes out. Where the
//! request goes next is not decided here: the decision module is told.

use std::net::SocketAddr;

use crate::redirect::{self, ClusterError, RedirectError, UnavailableReason};
use crate::refresh::{Budget, Millis, Refresh, RoundResult};
use crate::table::{Merged, ServerId, ServerLookup, ServerView, SlotAssignment, Table};

/// What an error line of a box means for the request that it answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ErrorMeaning {
    /// It did not run; another box is named.
    Redirected {
        /// The box, where the list has one at the address named.
        to: Option<ServerId>,
        /// Only behind `ASKING`, and only this once.
        ask: bool,
    },
    /// It did not run, and nothing else is named.
    TurnedAway(UnavailableReason),
    /// It begins as a redirection and is none: it may have run.
    Unreadable(RedirectError),
    /// It is a redirection of another slot than the request's: it may have run.
    OtherSlot(u16),
}

/// A pool of boxes that form a cluster.
#[derive(Debug)]
pub struct Pool {
    table: Table,
    refresh: Refresh,
}

impl Pool {
    /// A pool of which nothing is known yet. `copies` says that boxes that hold copies may be read.
    pub fn new(copies: bool, budget: Budget, seed: u64, now: Millis) -> Self {
        Pool { table: Table::new(copies), refresh: Refresh::new(budget, seed, now) }
    }

    /// Reads an error line with which a box answered a request for a slot (`None` where the request is over). `None`
    /// for a line that has nothing to do with clusters.
    pub fn said(
        &mut self,
        now: Millis,
        line: &str,
        slot: Option<u16>,
        from: SocketAddr,
        listed: ServerLookup<'_>,
    ) -> Option<ErrorMeaning> {
        Some(match redirect::read(line)? {
            Err(nonsense) => ErrorMeaning::Unreadable(nonsense),
            Ok(ClusterError::NotNow(why)) => {
                if why.doubts_the_map() {
                    self.refresh.sign(now);
                }
                ErrorMeaning::TurnedAway(why)
            }
            Ok(ClusterError::Redirect(r)) if slot.is_some_and(|slot| slot != r.slot) => {
                ErrorMeaning::OtherSlot(r.slot)
            }
            Ok(ClusterError::Redirect(r)) => {
                // A slot on its way is in no map yet: the map is not old for it.
                if !r.ask {
                    self.refresh.sign(now);
                }
                ErrorMeaning::Redirected { to: self.table.address(&r.to, from).and_then(listed), ask: r.ask }
            }
        })
    }

    /// A box that a `MOVED` named took the command: the slot is its. Gives what changed.
    pub fn moved(&mut self, slot: u16, to: ServerId) -> Option<SlotAssignment> {
        self.table.moved(slot, to)
    }

    /// The list has changed: the boxes of the map are looked up again. Whether there is a map at all.
    pub fn relist(&mut self, listed: ServerLookup<'_>) -> bool {
        let known = !self.table.is_empty();
        if known {
            self.table.relist(listed);
        }
        known
    }

    /// The whole table.
    pub fn ranges(&self) -> Vec<SlotAssignment> {
        self.table.ranges()
    }

    /// When the boxes are to be asked next; `None` while they are being asked.
    pub fn due(&self) -> Option<Millis> {
        self.refresh.due()
    }

    /// Begins the round that is due: the boxes to ask.
    pub fn begin(&mut self, now: Millis, ready: &[ServerId]) -> Vec<ServerId> {
        self.refresh.begin(now, ready, self.table.mark())
    }

    /// What a box that was asked said, or `None` where nothing that can be read came in time. Gives how the round was
    /// taken once it is whole.
    pub fn answered(
        &mut self,
        now: Millis,
        from: ServerId,
        heard: Option<ServerView>,
        listed: ServerLookup<'_>,
    ) -> Option<Merged> {
        let RoundResult { heard, mark } = self.refresh.answered(now, from, heard)?;
        Some(self.table.merge(heard, mark, listed))
    }
}

#[cfg(test)]
mod tests;
