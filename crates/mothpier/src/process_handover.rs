//! Cooperation between the processes of a node: publishes this process's state in the handover store, reads
//! the others' and applies it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use mothpier_coordination::FenceFloors;
use mothpier_net::Net;
use tokio::sync::{Mutex, MutexGuard, oneshot};

use crate::handover::{FleetDrains, HandoverState, process_share};
use crate::handover_store::{HandoverStore, OtherProcess, ProcessTag};
use crate::messages::{AdminCommand, ServerList};
use crate::operations::Operations;
use crate::request_ids::RequestIds;

/// Interval between reads of the store. A drain must take effect in all processes within half a second.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The same while this process waits for the others before it serves.
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long this process waits for the others before it serves. One that hangs must not keep its successor out.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of polls between two writes of the server list, if it has changed.
const POLLS_PER_LIST: u32 = 10;

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

    /// Takes over the ids of unsafe requests that ran at other processes, as stored.
    fn take_run_ids(&self, now: Instant) {
        let state = self.state.borrow();
        for hash in &state.run_ids {
            let age = state.run_id_ages_ms.get(hash).copied().map(Duration::from_millis);
            self.request_ids.add_run_id(*hash, age.unwrap_or_default(), now);
        }
    }

    /// Takes over the ids of unsafe requests that ran at other processes. Those that ran here are stored for a process
    /// of an earlier version, which looks nothing up, if there is another process, or may be one soon.
    fn exchange_run_ids(&self, is_followed: bool, now: Instant) {
        self.take_run_ids(now);
        let mut state = self.state.borrow_mut();
        state.run_ids = if is_followed { self.request_ids.own_run_ids(now) } else { BTreeSet::new() };
        state.run_id_ages_ms = BTreeMap::new();
    }

    /// Stores all ids that must not be used for a while, as this process ends.
    pub fn store_run_ids(&self, net: &impl Net) {
        self.read_store(net);
        self.take_run_ids(net.now());
        let ages = self.request_ids.final_run_ids(net.now());
        {
            let mut state = self.state.borrow_mut();
            state.run_ids = ages.keys().copied().collect();
            state.run_id_ages_ms =
                ages.into_iter().map(|(hash, age)| (hash, age.as_millis() as u64)).collect();
        }
        self.write_store(net);
    }

    /// Looks request ids up at the processes that have come, and takes over those of the processes that have ended.
    fn follow_processes(&self, net: &impl Net, others: &[OtherProcess]) {
        let live: BTreeSet<&ProcessTag> = others.iter().map(|other| &other.tag).collect();
        let known = self.request_ids.processes();
        let mut failure = self.request_ids.take_failure();
        let ended: Vec<_> = known.iter().filter(|tag| !live.contains(tag)).collect();
        if !ended.is_empty() {
            // What a process stored as it ended tells how old its ids are.
            self.read_store(net);
            self.take_run_ids(net.now());
        }
        for tag in ended {
            failure = self.request_ids.take_over(tag, net.now()).err().or(failure);
        }
        for tag in live.into_iter().filter(|tag| !known.contains(tag)) {
            // Processes of earlier versions have no table.
            let Ok(table) = self.store.open_id_table(tag) else { continue };
            failure = self.request_ids.add_process(tag.clone(), table, net.now()).err().or(failure);
        }
        if self.request_ids.processes().is_empty() {
            self.request_ids.withdraw();
        }
        self.log_exchange_failure(net, failure);
    }

    /// Logs the first of a row of failures.
    fn log_exchange_failure(&self, net: &impl Net, failure: Option<std::io::Error>) {
        let was_failing = self.exchange_failing.replace(failure.is_some());
        match failure {
            Some(e) if !was_failing => {
                net.log(format_args!("cannot exchange request ids with another process: {e}; retrying"));
            }
            None if was_failing => net.log("request ids are exchanged with other processes again"),
            _ => {}
        }
    }

    /// Returns whether a process at which this one looks up request ids does not look up those of this one yet, and has
    /// time to.
    fn must_wait_for(&self, net: &impl Net, others: &[OtherProcess], until: Instant) -> bool {
        let known = self.request_ids.processes();
        let mut followed = others.iter().filter(|other| known.contains(&other.tag));
        let Some(silent) = followed.find(|other| !other.status.looks_up_at.contains(self.store.tag())) else {
            return false;
        };
        let has_time = net.now() < until;
        if !has_time {
            net.log(format_args!("process {} of this node does not answer: serving without it", silent.tag));
        }
        has_time
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

/// Exchanges state with the other processes and applies it, for the lifetime of the node.
pub async fn run<N: Net>(operations: Rc<Operations<N>>, handover: Rc<ProcessHandover>, share: Rc<Share>) {
    let net = operations.net.clone();
    let (mut polls, mut known_version) = (0u32, 0);
    let answers_until = net.now() + ANSWER_TIMEOUT;
    loop {
        {
            let _command_lock = handover.command_lock().await;
            handover.read_store(&net);
            let (drained_servers, node_drained) = {
                let state = handover.state.borrow();
                (state.drained_servers(), state.is_node_drained())
            };
            operations.apply_handover_state(drained_servers, node_drained).await;
        }
        if polls.is_multiple_of(POLLS_PER_LIST) {
            let (reply, receiver) = oneshot::channel();
            let _ = operations.admin_commands.send(AdminCommand::ServerList { known_version, reply }).await;
            if let Ok(Some((version, list))) = receiver.await {
                known_version = version;
                handover.state.borrow_mut().set_list(net.unix_time().as_millis() as u64, list);
            }
        }
        let others = handover.store.other_processes();
        let is_followed = !others.is_empty() || operations.phase.is_stopping();
        handover.follow_processes(&net, &others);
        handover.exchange_run_ids(is_followed, net.now());
        handover.write_store(&net);
        if operations.phase.awaits_processes() && !handover.must_wait_for(&net, &others, answers_until) {
            operations.phase.processes_known();
        }
        let serving = operations.phase.accepts_clients();
        handover.publish_status(serving);
        let part = process_share(serving, others.iter().map(|other| &other.status));
        if share.capacity.replace(part) != part {
            net.log(format_args!("this process has 1/{} of the node's capacity", (1.0 / part).round()));
            let _ = operations.admin_commands.send(AdminCommand::ProcessShare(part)).await;
        }
        let their_descriptors: usize = others.iter().map(|other| other.status.descriptors).sum();
        let free_share =
            handover.sockets.saturating_sub(their_descriptors) as f64 / handover.sockets.max(1) as f64;
        share.descriptors.set(part.min(free_share));
        polls = polls.wrapping_add(1);
        let is_starting = operations.phase.awaits_processes();
        net.sleep(if is_starting { START_POLL_INTERVAL } else { POLL_INTERVAL }).await;
    }
}
