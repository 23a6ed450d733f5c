//! A pool of boxes that speak the cluster dialect, as one node sees it: its slot table, and when it is asked for anew.
//! What boxes answer goes in, in words; what it means for the request, in numbers of the list, comes out. Where the
//! request goes next is not decided here: the decision module is told.

use std::net::SocketAddr;

use crate::redirect::{self, Nonsense, NotNow, Said};
use crate::refresh::{Budget, Done, Millis, Refresh};
use crate::table::{BoxId, Heard, Held, Listed, Merged, Table};

/// What an error line of a box means for the request that it answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    /// It did not run; another box is named.
    Redirected {
        /// The box, where the list has one at the address named.
        to: Option<BoxId>,
        /// Only behind `ASKING`, and only this once.
        ask: bool,
    },
    /// It did not run, and nothing else is named.
    TurnedAway(NotNow),
    /// It begins as a redirection and is none: it may have run.
    Unreadable(Nonsense),
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
        listed: Listed<'_>,
    ) -> Option<Word> {
        Some(match redirect::read(line)? {
            Err(nonsense) => Word::Unreadable(nonsense),
            Ok(Said::NotNow(why)) => {
                if why.doubts_the_map() {
                    self.refresh.sign(now);
                }
                Word::TurnedAway(why)
            }
            Ok(Said::Redirect(r)) if slot.is_some_and(|slot| slot != r.slot) => Word::OtherSlot(r.slot),
            Ok(Said::Redirect(r)) => {
                // A slot on its way is in no map yet: the map is not old for it.
                if !r.ask {
                    self.refresh.sign(now);
                }
                Word::Redirected { to: self.table.address(&r.to, from).and_then(listed), ask: r.ask }
            }
        })
    }

    /// A box that a `MOVED` named took the command: the slot is its. Gives what changed.
    pub fn moved(&mut self, slot: u16, to: BoxId) -> Option<Held> {
        self.table.moved(slot, to)
    }

    /// The list has changed: the boxes of the map are looked up again. Whether there is a map at all.
    pub fn relist(&mut self, listed: Listed<'_>) -> bool {
        let known = !self.table.is_empty();
        if known {
            self.table.relist(listed);
        }
        known
    }

    /// The whole table.
    pub fn ranges(&self) -> Vec<Held> {
        self.table.ranges()
    }

    /// When the boxes are to be asked next; `None` while they are being asked.
    pub fn due(&self) -> Option<Millis> {
        self.refresh.due()
    }

    /// Begins the round that is due: the boxes to ask.
    pub fn begin(&mut self, now: Millis, ready: &[BoxId]) -> Vec<BoxId> {
        self.refresh.begin(now, ready, self.table.mark())
    }

    /// What a box that was asked said, or `None` where nothing that can be read came in time. Gives how the round was
    /// taken once it is whole.
    pub fn answered(
        &mut self,
        now: Millis,
        from: BoxId,
        heard: Option<Heard>,
        listed: Listed<'_>,
    ) -> Option<Merged> {
        let Done { heard, mark } = self.refresh.answered(now, from, heard)?;
        Some(self.table.merge(heard, mark, listed))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn listed(address: SocketAddr) -> Option<BoxId> {
        (address.port() == 7000).then(|| match address.ip() {
            std::net::IpAddr::V4(ip) => u32::from(ip.octets()[3]),
            std::net::IpAddr::V6(_) => 6,
        })
    }

    #[test]
    fn what_a_line_means_and_when_it_makes_the_map_doubtful() {
        let from: SocketAddr = "10.1.0.9:7000".parse().unwrap();
        let calm = Budget { calm: 1_000_000_000, ..Budget::default() };
        let redirected = |to, ask| Some(Word::Redirected { to, ask });
        for (line, word, doubts) in [
            ("MOVED 7 10.1.0.3:7000", redirected(Some(3), false), true),
            ("MOVED 7 :7000", redirected(Some(9), false), true),
            ("MOVED 7 10.1.0.3:7001", redirected(None, false), true),
            ("MOVED 7 who.example.org:7000", redirected(None, false), true),
            ("ASK 7 ::1:7000", redirected(Some(6), true), false),
            ("MOVED 8 10.1.0.3:7000", Some(Word::OtherSlot(8)), false),
            ("MOVED 7 10.1.0.3:70000", Some(Word::Unreadable(Nonsense::Port)), false),
            ("TRYAGAIN", Some(Word::TurnedAway(NotNow::TryAgain)), false),
            ("LOADING", Some(Word::TurnedAway(NotNow::Loading)), false),
            ("CLUSTERDOWN Hash slot not served", Some(Word::TurnedAway(NotNow::ClusterDown)), true),
            ("READONLY x", Some(Word::TurnedAway(NotNow::ReadOnly)), true),
            ("ERR failed", None, false),
        ] {
            let mut pool = Pool::new(false, calm, 1, 0);
            // The first round is over, and nothing is due for long.
            let now = pool.due().unwrap();
            for id in pool.begin(now, &[1]) {
                pool.answered(now, id, Some((from, crate::view::View::default())), &listed);
            }
            let due = pool.due().unwrap();
            assert_eq!(pool.said(now, line, Some(7), from, &listed), word, "{line}");
            assert_eq!(pool.due().unwrap() < due, doubts, "{line}");
        }
    }

    #[test]
    fn of_a_request_that_is_over_any_slot_will_do() {
        let mut pool = Pool::new(false, Budget::default(), 1, 0);
        let from = "10.1.0.9:7000".parse().unwrap();
        let word = pool.said(0, "MOVED 8 10.1.0.3:7000", None, from, &listed);
        assert_eq!(word, Some(Word::Redirected { to: Some(3), ask: false }));
        assert!(!pool.relist(&listed), "no map has come");
    }
}
