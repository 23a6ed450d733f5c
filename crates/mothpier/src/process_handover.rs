//! Cooperation between the processes of a node: publishes this process's state in the handover store, reads
//! the others' and applies it.

mod id_exchange;
mod poll;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use mothpier_coordination::FenceFloors;
use mothpier_net::Net;
use tokio::sync::{Mutex, MutexGuard};

use crate::handover::{FleetDrains, HandoverState};
use crate::handover_store::HandoverStore;
use crate::messages::ServerList;
use crate::request_ids::RequestIds;

pub use self::poll::run;

/// The part of the node's resources that this process may use.
#[derive(Debug)]
pub struct Share {
    /// Share of the memory and of the limits in the policy, from 0 to 1.
    pub capacity: Cell<f64>,
    /// Share of the file descriptors, from 0 to 1.
    pub descriptors: Cell<f64>,
}

impl Default for Share {
    fn default() -> Self {
        Share { capacity: Cell::new(1.0), descriptors: Cell::new(1.0) }
    }
}

impl Share {
    /// Returns a share of a number, rounded down.
    pub fn of(part: &Cell<f64>, whole: usize) -> usize {
        (whole as f64 * part.get()) as usize
    }
}

/// A change that is in effect in this process, but could not be stored for the next one yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotPersisted(String);

impl std::fmt::Display for NotPersisted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "not kept for the next process yet, tried again: {}", self.0)
    }
}

/// The state shared with the other processes of the node.
pub struct ProcessHandover {
    node: String,
    store: Rc<dyn HandoverStore>,
    state: RefCell<HandoverState>,
    /// The stored bytes as last read or written.
    last_stored: RefCell<Option<Vec<u8>>>,
    sockets: usize,
    request_ids: RequestIds,
    /// Whether the exchange of request ids failed at the last poll.
    exchange_failing: Cell<bool>,
    /// Why the last write failed, until one succeeds.
    write_error: RefCell<Option<String>>,
    /// Held while an operator's call takes effect and is recorded, and while recorded state is applied, so
    /// that older state cannot undo a newer call.
    command_lock: Mutex<()>,
}

impl ProcessHandover {
    /// Opens the handover with the state in the store, and exchanges request ids through it.
    pub fn open(
        net: &impl Net,
        store: Rc<dyn HandoverStore>,
        node: &str,
        sockets: usize,
        request_ids: RequestIds,
    ) -> Self {
        let (state, last_stored) = (RefCell::new(HandoverState::new(node)), RefCell::default());
        let (write_error, command_lock) = (RefCell::default(), Mutex::new(()));
        let handover = ProcessHandover {
            node: node.into(),
            store,
            state,
            last_stored,
            sockets,
            request_ids,
            exchange_failing: Cell::default(),
            write_error,
            command_lock,
        };
        if let Some(table) = handover.store.take_id_table() {
            handover.request_ids.share(table);
        }
        handover.read_store(net);
        handover.take_run_ids(net.now());
        handover
    }

    /// Merges the state in the store. Unusable content is logged once and ignored.
    fn read_store(&self, net: &impl Net) {
        let stored = self.store.read();
        if stored == *self.last_stored.borrow() {
            return;
        }
        match stored.as_deref().map(|bytes| HandoverState::read(bytes, &self.node)) {
            Some(Ok(state)) => self.state.borrow_mut().merge(state),
            Some(Err(why)) => net.log(format_args!("ignoring the stored handover state: {why}")),
            None => {}
        }
        *self.last_stored.borrow_mut() = stored;
    }

    /// Writes the state to the store, if it differs from the stored one.
    fn write_store(&self, net: &impl Net) {
        let bytes = self.state.borrow().bytes();
        if self.last_stored.borrow().as_ref() == Some(&bytes) {
            return;
        }
        match self.store.write(&bytes) {
            Ok(()) => {
                *self.last_stored.borrow_mut() = Some(bytes);
                if self.write_error.borrow_mut().take().is_some() {
                    net.log("storing state for the next process succeeds again");
                }
            }
            // Retried at every poll; a lasting failure is logged once.
            Err(e) => {
                let already_logged = self.write_error.borrow_mut().replace(e.to_string()).is_some();
                if !already_logged {
                    net.log(format_args!("cannot store state for the next process: {e}; retrying"));
                }
            }
        }
    }

    /// Changes the state and stores it, before the change is confirmed to its caller.
    ///
    /// # Errors
    ///
    /// Fails if the state could not be stored yet. The change is in effect in this process nonetheless.
    pub fn update(
        &self,
        net: &impl Net,
        change: impl FnOnce(&mut HandoverState, u64),
    ) -> Result<(), NotPersisted> {
        self.read_store(net);
        change(&mut self.state.borrow_mut(), net.unix_time().as_millis() as u64);
        self.write_store(net);
        self.write_error.borrow().clone().map_or(Ok(()), |why| Err(NotPersisted(why)))
    }

    /// Locks out other operator calls and the application of stored state.
    pub async fn command_lock(&self) -> MutexGuard<'_, ()> {
        self.command_lock.lock().await
    }

    /// Returns the lowest fences accepted by an earlier or concurrent process.
    pub fn floors(&self) -> FenceFloors {
        self.state.borrow().floors.clone()
    }

    /// Returns the fleet's drains as last known to a process of this node.
    pub fn fleet_drains(&self) -> FleetDrains {
        self.state.borrow().last_fleet_drains()
    }

    /// Takes the server list of an earlier process.
    pub fn inherited_list(&self) -> Option<ServerList> {
        self.state.borrow_mut().take_list()
    }

    /// Returns whether another process accepts connections at present.
    pub fn has_serving_peer(&self) -> bool {
        self.store.other_processes().iter().any(|other| other.status.serving)
    }

    /// Publishes whether this process serves. Done before readiness is reported, since the platform then ends
    /// the previous process.
    pub fn publish_status(&self, serving: bool) {
        self.store.publish_status(serving, self.request_ids.processes());
    }
}
