//! The serving phase of the node: in service, drained or stopping. Does no I/O apart from notifying waiting
//! tasks.
//!
//! | phase | reports ready | accepts connections | open connections |
//! | --- | --- | --- | --- |
//! | no server list yet | no | yes | stay open |
//! | in service | yes | yes | stay open |
//! | drained servers of the fleet not known | no | yes | stay open |
//! | request ids of another process not known | no | no | stay open |
//! | drained, at first | no | yes | stay open: load balancers still send new ones |
//! | drained | no | yes, for readiness checks | close between two requests |
//! | stopping, at first | `PING` as before, `ready` no | yes | stay open |
//! | stopping | as above | no | close between two requests |

use std::cell::Cell;
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Delay after which closing connections that always have open requests are no longer read. Requests read by
/// then are answered; the client repeats later ones on another node. Requests read any later would not be
/// answered in time after SIGTERM.
const READ_CUTOFF_DELAY: Duration = Duration::from_millis(100);

/// Who drained the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainSource {
    /// An operator, through the administration API.
    Operator,
    /// The fleet's drain coordination.
    Fleet,
}

/// The serving phase, with notification of changes. Not a `watch` channel: that wakes waiting tasks in random
/// order, so simulation runs with the same seed would differ.
#[derive(Default)]
pub struct ServingPhase {
    /// A server list was received, or none is waited for.
    list_received: Cell<bool>,
    /// Whether the node is drained, by [`DrainSource`].
    drained: [Cell<bool>; 2],
    /// Number of drains started so far.
    drain_count: Cell<u64>,
    /// The drained servers of the fleet are not known yet.
    awaiting_fleet: Cell<bool>,
    /// The request ids of other processes of the node cannot be looked up yet.
    awaiting_processes: Cell<bool>,
    stopping: Cell<bool>,
    /// Since when connections close between two requests, if they do.
    closing: Cell<Option<Instant>>,
    /// No more connections are accepted.
    shut: Cell<bool>,
    /// Pending connections are left to another process on the same socket.
    leave_pending: Cell<bool>,
    changed: Notify,
}

impl ServingPhase {
    /// Records that a server list was received, or that none is waited for any longer.
    pub fn list_received(&self) {
        if !self.list_received.replace(true) {
            self.changed.notify_waiters();
        }
    }

    /// Returns why the node is not in service, apart from stopping.
    pub fn in_service(&self) -> Result<(), &'static str> {
        match (
            self.drained[DrainSource::Operator as usize].get(),
            self.drained[DrainSource::Fleet as usize].get(),
        ) {
            (true, _) => Err("emptied by hand"),
            (_, true) => Err("drained by the fleet"),
            _ if !self.list_received.get() => Err("no list of servers yet"),
            _ if self.awaiting_fleet.get() => Err("who of the fleet is out is not known yet"),
            _ if self.awaiting_processes.get() => Err("another process of the node has not answered yet"),
            _ => Ok(()),
        }
    }

    /// Delays readiness until the drained servers of the fleet are known.
    pub fn await_fleet_drains(&self) {
        self.awaiting_fleet.set(true);
    }

    /// Returns whether the drained servers of the fleet are known, or no longer waited for.
    pub fn knows_fleet_drains(&self) -> bool {
        !self.awaiting_fleet.get()
    }

    /// Records that the drained servers of the fleet are known, or no longer waited for.
    pub fn fleet_drains_known(&self) {
        if self.awaiting_fleet.replace(false) {
            self.changed.notify_waiters();
        }
    }

    /// Delays readiness until request ids can be looked up at the other processes of the node, and they look up those
    /// of this one.
    pub fn await_processes(&self) {
        self.awaiting_processes.set(true);
    }

    /// Returns whether the other processes of the node are waited for.
    pub fn awaits_processes(&self) -> bool {
        self.awaiting_processes.get()
    }

    /// Records that request ids are exchanged with the other processes, or that it is no longer waited for.
    pub fn processes_known(&self) {
        if self.awaiting_processes.replace(false) {
            self.changed.notify_waiters();
        }
    }

    /// Waits until the drained servers of the fleet are known, or no longer waited for.
    pub async fn until_fleet_drains_known(&self) {
        loop {
            let changed = self.changed();
            if !self.awaiting_fleet.get() {
                return;
            }
            changed.await;
        }
    }

    fn is_drained(&self) -> bool {
        self.drained.iter().any(Cell::get)
    }

    /// Returns why this process is not ready, including that it is stopping.
    pub fn ready(&self) -> Result<(), &'static str> {
        if self.stopping.get() { Err("stopping") } else { self.in_service() }
    }

    /// Returns whether this process could serve: it has a server list, knows the drained servers of the fleet and
    /// exchanges request ids with the other processes.
    fn is_able_to_serve(&self) -> bool {
        self.list_received.get() && !self.awaiting_fleet.get() && !self.awaiting_processes.get()
    }

    /// Returns whether this process accepts clients.
    pub fn accepts_clients(&self) -> bool {
        self.is_able_to_serve() && !self.shut.get()
    }

    /// Waits until this process could serve.
    pub async fn until_able_to_serve(&self) {
        loop {
            let changed = self.changed();
            if self.is_able_to_serve() {
                return;
            }
            changed.await;
        }
    }

    /// Drains the node, which reports not ready from now on. Returns the number of the drain, unless it was
    /// drained already.
    pub fn begin_drain(&self, source: DrainSource) -> Option<u64> {
        let was_drained = self.is_drained();
        self.drained[source as usize].set(true);
        self.drain_count.set(self.drain_count.get() + u64::from(!was_drained));
        (!was_drained).then(|| self.drain_count.get())
    }

    /// Closes connections some time after a drain began, unless the drain has ended or a later one began
    /// since.
    pub fn close_drained(&self, drain: u64, now: Instant) {
        if self.is_drained() && self.drain_count.get() == drain && self.closing.get().is_none() {
            self.close(now);
        }
    }

    /// Ends the drain of one source. Returns whether the node is no longer drained because of that.
    pub fn end_drain(&self, source: DrainSource) -> bool {
        let has_ended = self.drained[source as usize].replace(false) && !self.is_drained();
        if has_ended && !self.shut.get() {
            self.closing.set(None);
        }
        has_ended
    }

    /// Begins to stop, after SIGTERM.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Returns whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Stops accepting and closes connections. With `leave_pending`, pending connections are left to another
    /// process.
    pub fn shut(&self, now: Instant, leave_pending: bool) {
        self.shut.set(true);
        self.leave_pending.set(leave_pending);
        self.close(now);
    }

    fn close(&self, now: Instant) {
        self.closing.set(Some(self.closing.get().unwrap_or(now)));
        self.changed.notify_waiters();
    }

    /// Returns whether connections close between two requests.
    pub fn closing(&self) -> bool {
        self.closing.get().is_some()
    }

    /// Returns the time from which connections are no longer read.
    pub fn read_cutoff(&self) -> Option<Instant> {
        self.closing.get().map(|since| since + READ_CUTOFF_DELAY)
    }

    /// Returns whether pending connections are left to another process.
    pub fn leaves_pending(&self) -> bool {
        self.leave_pending.get()
    }

    /// Returns whether accepting has stopped.
    pub fn accepting_stopped(&self) -> bool {
        self.shut.get()
    }

    /// Returns a future that resolves at the next change. It notices every change after this call.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Waits until accepting has stopped.
    pub async fn until_accepting_stopped(&self) {
        loop {
            let changed = self.changed();
            if self.shut.get() {
                return;
            }
            changed.await;
        }
    }
}

#[cfg(test)]
mod tests;
