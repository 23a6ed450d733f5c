//! Whether the node takes work: at work, emptied by staff, or about to end. Pure but for the word to those who wait.
//!
//! | | says yes | lets connections in | connections |
//! | --- | --- | --- | --- |
//! | no list yet | no | yes | stay |
//! | at work | yes | yes | stay |
//! | not told by the fleet who is out | no | yes | stay |
//! | emptied, at first | no | yes | stay: a front still sends new ones |
//! | emptied | no | yes, for whoever asks whether it is back | close between two requests |
//! | ending, at first | `PING` as before, `ready` no | yes | stay |
//! | ending | as above | no | close between two requests |

use std::cell::Cell;
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// After this time a connection that is never between two requests is read no further: what it asked is answered, and
/// what crosses its close is asked again elsewhere. Soon after SIGTERM what is still read would not be answered in time.
const CUT: Duration = Duration::from_millis(100);

/// Whose word it is that a node takes no work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainSource {
    /// Staff's, at its door.
    Hand,
    /// The fleet's, by agreement.
    Fleet,
}

/// The phase, and word of its change to all who wait. Not a `watch`: that wakes those who wait in an order drawn at
/// random, and equal runs would differ.
#[derive(Default)]
pub struct ServingPhase {
    /// There is a list of servers.
    listed: Cell<bool>,
    /// Staff, and the fleet, have called it off; which of the calls it was.
    emptied: [Cell<bool>; 2],
    calls: Cell<u64>,
    /// The fleet has not yet said who is out.
    untold: Cell<bool>,
    stopping: Cell<bool>,
    /// Since when connections close between two requests.
    closing: Cell<Option<Instant>>,
    /// No connection is let in.
    shut: Cell<bool>,
    /// What waits to be let in is left to another process at the same socket.
    left: Cell<bool>,
    changed: Notify,
}

impl ServingPhase {
    /// There is a list of servers, or none is waited for.
    pub fn listed(&self) {
        if !self.listed.replace(true) {
            self.changed.notify_waiters();
        }
    }

    /// What keeps it from work, in words.
    pub fn at_work(&self) -> Result<(), &'static str> {
        match (
            self.emptied[DrainSource::Hand as usize].get(),
            self.emptied[DrainSource::Fleet as usize].get(),
        ) {
            (true, _) => Err("emptied by hand"),
            (_, true) => Err("drained by the fleet"),
            _ if !self.listed.get() => Err("no list of servers yet"),
            _ if self.untold.get() => Err("who of the fleet is out is not known yet"),
            _ => Ok(()),
        }
    }

    /// It must not say that it is ready before the fleet has said who is out.
    pub fn waits_for_fleet(&self) {
        self.untold.set(true);
    }

    /// Whether it is known who of the fleet is out, or that is waited for no longer.
    pub fn knows_who_is_out(&self) -> bool {
        !self.untold.get()
    }

    /// The fleet has said who is out, or is waited for no longer.
    pub fn told(&self) {
        if self.untold.replace(false) {
            self.changed.notify_waiters();
        }
    }

    /// Waits until the fleet has said who is out, or is waited for no longer.
    pub async fn until_told(&self) {
        loop {
            let word = self.word();
            if !self.untold.get() {
                return;
            }
            word.await;
        }
    }

    fn is_emptied(&self) -> bool {
        self.emptied.iter().any(Cell::get)
    }

    /// What keeps this process from serving from now on.
    pub fn ready(&self) -> Result<(), &'static str> {
        if self.stopping.get() { Err("stopping") } else { self.at_work() }
    }

    /// Whether this process lets clients in.
    pub fn serves(&self) -> bool {
        self.listed.get() && !self.untold.get() && !self.shut.get()
    }

    /// Waits until it could serve: there is a list of servers, and it is known who of them is out.
    pub async fn until_listed(&self) {
        loop {
            let word = self.word();
            if self.listed.get() && !self.untold.get() {
                return;
            }
            word.await;
        }
    }

    /// It is called off and says no from now on. Gives the number of the call where it was at work until now.
    pub fn empty(&self, whose: DrainSource) -> Option<u64> {
        let before = self.is_emptied();
        self.emptied[whose as usize].set(true);
        self.calls.set(self.calls.get() + u64::from(!before));
        (!before).then(|| self.calls.get())
    }

    /// The front sends nothing new any more: connections close, unless another call came since that one.
    pub fn close_emptied(&self, call: u64, now: Instant) {
        if self.is_emptied() && self.calls.get() == call && self.closing.get().is_none() {
            self.close(now);
        }
    }

    /// It is called back; whether that brings it back to work.
    pub fn refill(&self, whose: DrainSource) -> bool {
        let before = self.emptied[whose as usize].replace(false) && !self.is_emptied();
        if before && !self.shut.get() {
            self.closing.set(None);
        }
        before
    }

    /// SIGTERM.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Nothing more is let in, and connections close; another process may let in what waits.
    pub fn shut(&self, now: Instant, left: bool) {
        self.shut.set(true);
        self.left.set(left);
        self.close(now);
    }

    fn close(&self, now: Instant) {
        self.closing.set(Some(self.closing.get().unwrap_or(now)));
        self.changed.notify_waiters();
    }

    /// Whether connections close between two requests.
    pub fn closing(&self) -> bool {
        self.closing.get().is_some()
    }

    /// From when on connections are read no further.
    pub fn cut(&self) -> Option<Instant> {
        self.closing.get().map(|since| since + CUT)
    }

    /// Whether another process lets in what waits.
    pub fn is_left(&self) -> bool {
        self.left.get()
    }

    /// Whether nothing more is let in.
    pub fn is_shut(&self) -> bool {
        self.shut.get()
    }

    /// Word of a change: a future made before the change hears of it.
    pub fn word(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Waits until nothing more is let in.
    pub async fn until_shut(&self) {
        loop {
            let word = self.word();
            if self.shut.get() {
                return;
            }
            word.await;
        }
    }
}

#[cfg(test)]
mod tests;
