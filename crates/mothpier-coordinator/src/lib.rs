//! A coordinator: a member of a small raft group that coordinates a fleet. Consensus, log and storage engine
//! are libraries; this package connects them to the replicated state of `mothpier-coordination`, to sockets
//! and to the clock.
//!
//! Module dependencies: `store` stands alone, `core` uses `store`, `config` takes the maximum number of
//! members from `core`, and `http_api` and `peers` use [`Member`].

pub mod config;
pub mod core;
pub mod http_api;
pub mod peers;
pub mod store;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mothpier_coordination::wire::{MemberChange, Status};
use mothpier_coordination::{Command, ReplicatedState};
use mothpier_net::Net;
use raft::eraftpb::Message;
use tokio::sync::{Notify, mpsc};

use crate::config::Config;
use crate::core::{Core, ProposalOutcome};
use crate::store::{CoordinatorError, Store, StoredState};

/// Maximum number of ticks that are made up for after a delay, so that a process that was stopped for long
/// does not start an election at once.
const MAX_CATCH_UP_TICKS: u32 = 3;
/// Pause between two attempts to open a store whose disk has failed.
const STORE_REOPEN_INTERVAL: Duration = Duration::from_millis(200);

/// A running member.
pub struct Member<N: Net> {
    net: N,
    config: Config,
    core: RefCell<Core>,
    /// Notified when the event loop has work to do.
    wake: Notify,
    /// Notified when the replicated state has changed or the store has failed.
    changed: Notify,
    /// Queues to other members, created on the first message to each. An address in this member's
    /// configuration file takes precedence over the replicated one.
    peers: RefCell<BTreeMap<u64, mpsc::Sender<Vec<Message>>>>,
    started_at: Instant,
    /// Why the store can't be written at present.
    store_failure: RefCell<Option<String>>,
}

/// Creates the store of a founding member of a new cluster.
///
/// # Errors
///
/// Returns an error if the folder has a store already or can't be written.
pub fn init(config: &Config) -> Result<(), CoordinatorError> {
    let members: Vec<u64> = config.members.keys().copied().collect();
    let addresses = config.members.iter().map(|(id, at)| (*id, at.to_string())).collect();
    let initial_state = ReplicatedState::new_cluster(addresses).to_bytes();
    Store::init(&config.folder, &config.cluster, config.member, &members, &initial_state)
}

/// Creates the empty store of a member that joins a cluster; the leader sends it the state later.
///
/// # Errors
///
/// Returns an error if the folder has a store already or can't be written.
pub fn join(config: &Config) -> Result<(), CoordinatorError> {
    Store::init(&config.folder, &config.cluster, config.member, &[], &[])
}

/// Runs a member until it fails. After a disk failure, it waits until the store can be written again.
///
/// # Errors
///
/// Returns an error if the store can't be opened or read, or if the listen address is in use.
pub async fn run<N: Net>(net: N, config: Config) -> Result<(), CoordinatorError> {
    let (store, stored) = open(&net, &config).await?;
    if stored.identity.cluster != config.cluster || stored.identity.member != config.member {
        return Err(CoordinatorError::Unusable(format!(
            "{}: the store belongs to member {} of {}, but the configuration file says member {} of {}",
            config.folder.display(),
            stored.identity.member,
            stored.identity.cluster,
            config.member,
            config.cluster
        )));
    }

    let listener = net
        .listen(config.listen)
        .await
        .map_err(|e| CoordinatorError::Unusable(format!("can't listen at {}: {e}", config.listen)))?;
    let mut core = Core::new(store, stored, random_incarnation(&net)?)?;
    core.lead_if_alone();

    net.log(format_args!(
        "coordinator {} of {} is listening at {}",
        config.member, config.cluster, config.listen
    ));
    let started_at = net.now();
    let member = Rc::new(Member {
        net: net.clone(),
        config,
        core: RefCell::new(core),
        wake: Notify::new(),
        changed: Notify::new(),
        peers: RefCell::default(),
        started_at,
        store_failure: RefCell::default(),
    });
    net.spawn(http_api::run(member.clone(), listener));
    loop {
        match member.run_event_loop().await {
            Err(CoordinatorError::DiskFailure(reason)) => member.recover(&reason).await?,
            outcome => return outcome,
        }
    }
}

/// Opens the store, with retries while its disk fails.
async fn open<N: Net>(net: &N, config: &Config) -> Result<(Store, StoredState), CoordinatorError> {
    let mut logged = false;
    loop {
        match Store::open(&config.folder) {
            Err(CoordinatorError::DiskFailure(reason)) => {
                if !std::mem::replace(&mut logged, true) {
                    net.log(format_args!("{reason}; retrying until the disk works again"));
                }
                net.sleep(STORE_REOPEN_INTERVAL).await;
            }
            opened => return opened,
        }
    }
}

/// Returns a random value that separates the request ids of this run from those of other runs.
fn random_incarnation<N: Net>(net: &N) -> Result<u64, CoordinatorError> {
    let entropy =
        net.entropy().map_err(|e| CoordinatorError::Unusable(format!("can't read entropy: {e}")))?;
    Ok(u64::from_be_bytes([entropy[0], entropy[1], entropy[2], entropy[3], entropy[4], entropy[5], 0, 0]))
}

impl<N: Net> Member<N> {
    /// Returns the monotonic clock in ms since the start. The clock stops while the machine is suspended, so
    /// that a leader that was suspended expires sessions late, never early.
    fn now(&self) -> u64 {
        self.net.since(self.started_at).as_millis() as u64
    }

    /// Polls the core on each wake-up, tick and deadline.
    async fn run_event_loop(self: &Rc<Self>) -> Result<(), CoordinatorError> {
        let tick = self.config.tick;
        let mut next_tick = self.net.now() + tick;
        loop {
            let woken = self.wake.notified();
            self.poll()?;
            let deadline =
                self.core.borrow().next_deadline().map(|at| self.started_at + Duration::from_millis(at));
            self.net
                .timeout_at(deadline.map_or(next_tick, |at| at.max(self.net.now()).min(next_tick)), woken)
                .await;
            let mut caught_up_ticks = 0;
            while self.net.now() >= next_tick {
                caught_up_ticks += 1;
                if caught_up_ticks > MAX_CATCH_UP_TICKS {
                    next_tick = self.net.now() + tick;
                    break;
                }
                self.core.borrow_mut().tick();
                next_tick += tick;
            }
        }
    }

    /// Waits until the store can be written again and restarts from its contents, as after a restart of the
    /// process. Meanwhile this member takes part in nothing.
    async fn recover(self: &Rc<Self>, reason: &str) -> Result<(), CoordinatorError> {
        self.net
            .log(format_args!("{reason}; not voting or granting leases until the store is writable again"));
        *self.store_failure.borrow_mut() = Some(reason.to_owned());
        self.core.borrow_mut().halt();
        self.changed.notify_waiters();
        let failed_at = self.net.now();
        let (store, stored) = loop {
            self.net.sleep(STORE_REOPEN_INTERVAL).await;
            match Store::reopen(&self.config.folder) {
                Ok(opened) => break opened,
                Err(error) => *self.store_failure.borrow_mut() = Some(error.to_string()),
            }
        };
        let mut core = Core::new(store, stored, random_incarnation(&self.net)?)?;
        core.lead_if_alone();
        *self.core.borrow_mut() = core;
        *self.store_failure.borrow_mut() = None;
        let after = self.net.since(failed_at);
        self.net.log(format_args!("the store is writable again after {after:.1?}"));
        Ok(())
    }

    /// Returns why this member takes part in nothing at present, if its store has failed.
    fn store_failure(&self) -> Option<String> {
        self.store_failure.borrow().clone()
    }

    /// Queues messages for a member. Returns whether they were accepted.
    fn send(self: &Rc<Self>, to: u64, batch: Vec<Message>) -> bool {
        let mut peers = self.peers.borrow_mut();
        if let Some(peer) = peers.get(&to) {
            return peer.try_send(batch).is_ok();
        }
        let replicated_address =
            || self.core.borrow().state().members().get(&to).and_then(|a| a.parse().ok());
        let Some(address) = self.config.members.get(&to).copied().or_else(replicated_address) else {
            return false;
        };
        let (sender, batches) = mpsc::channel(peers::MAX_QUEUED_BATCHES);
        self.net.spawn(peers::run(self.clone(), to, address, batches));
        let accepted = sender.try_send(batch).is_ok();
        peers.insert(to, sender);
        accepted
    }

    /// Polls the core, queues its outgoing messages, and logs and announces changes.
    fn poll(self: &Rc<Self>) -> Result<(), CoordinatorError> {
        let (leader, change_count) = (self.core.borrow().leader(), self.core.borrow().change_count);
        let now = self.now();
        self.core.borrow_mut().poll(now)?;
        let outgoing = self.core.borrow_mut().outgoing();
        let mut batches: BTreeMap<u64, Vec<Message>> = BTreeMap::new();
        outgoing.into_iter().for_each(|m| batches.entry(m.to).or_default().push(m));
        for (to, batch) in batches {
            if !self.send(to, batch) {
                self.core.borrow_mut().report_unreachable(to);
            }
        }
        let core = self.core.borrow();
        if core.leader() != leader {
            match core.leader() {
                0 => self.net.log(format_args!("no leader in term {}", core.term())),
                id => self.net.log(format_args!("member {id} is the leader in term {}", core.term())),
            }
        }
        if core.change_count != change_count {
            self.changed.notify_waiters();
        }
        Ok(())
    }

    /// Passes messages from other members to the core.
    fn receive(&self, messages: Vec<Message>) {
        if self.store_failure.borrow().is_some() {
            return;
        }
        messages.into_iter().for_each(|m| self.core.borrow_mut().receive(m));
        self.wake.notify_one();
    }

    fn report_unreachable(&self, member: u64) {
        self.core.borrow_mut().report_unreachable(member);
    }

    /// Proposes a command and waits for its outcome.
    async fn propose(&self, command: &Command, timeout: Duration) -> ProposalOutcome {
        let receiver = self.core.borrow_mut().propose(command);
        self.wake.notify_one();
        match self.net.timeout(timeout, receiver).await {
            Some(Ok(outcome)) => outcome,
            _ => ProposalOutcome::Unknown,
        }
    }

    /// Adds or removes a member.
    async fn change_members(
        &self,
        change: &MemberChange,
        timeout: Duration,
    ) -> Result<ProposalOutcome, String> {
        let receiver = self.core.borrow_mut().change_members(change)?;
        self.wake.notify_one();
        Ok(match self.net.timeout(timeout, receiver).await {
            Some(Ok(outcome)) => outcome,
            _ => ProposalOutcome::Unknown,
        })
    }

    /// Returns whether a majority has confirmed that this member leads, with all earlier commits applied.
    async fn confirm_leadership(&self, timeout: Duration) -> bool {
        let receiver = self.core.borrow_mut().confirm_leadership();
        self.wake.notify_one();
        matches!(self.net.timeout(timeout, receiver).await, Some(Ok(true)))
    }

    fn status(&self) -> Status {
        let core = self.core.borrow();
        let (committed, applied) = core.log_positions();
        let lag = |(id, matched): (u64, Option<u64>)| (id, matched.map(|m| committed.saturating_sub(m)));
        Status {
            cluster: self.config.cluster.clone(),
            member: core.member(),
            leader: Some(core.leader()).filter(|l| *l != 0),
            since_ms: self.now().saturating_sub(core.leader_since_ms),
            term: core.term(),
            committed,
            applied,
            sessions: core.state().sessions().count(),
            leases: core.state().leases().len(),
            learners: core.learners().to_vec(),
            members: core.members().into_iter().map(lag).collect(),
            store_failure: self.store_failure(),
        }
    }

    /// Returns the metrics in the Prometheus text format.
    fn metrics_text(&self) -> String {
        let status = self.status();
        let core = self.core.borrow();
        let registry = prometheus::Registry::new();
        let gauge = |name: &str, help: &str, value: f64| {
            if let Ok(gauge) = prometheus::Gauge::new(format!("mothpier_coordinator_{name}"), help) {
                gauge.set(value);
                let _ = registry.register(Box::new(gauge));
            }
        };
        gauge("leads", "Whether this member leads.", f64::from(u8::from(core.is_leader())));
        gauge("has_leader", "Whether it knows of a leader.", f64::from(u8::from(core.leader() != 0)));
        let store_failing = f64::from(u8::from(status.store_failure.is_some()));
        gauge(
            "store_failing",
            "Whether its store can't be written, so that it takes part in nothing.",
            store_failing,
        );
        gauge("term", "The present term.", status.term as f64);
        gauge("committed_index", "The last line that is committed.", status.committed as f64);
        gauge("applied_index", "The last line that is applied.", status.applied as f64);
        gauge("sessions", "Sessions that live.", status.sessions as f64);
        gauge("leases", "Leases that are held.", status.leases as f64);
        gauge(
            "proposals_waiting",
            "Commands that wait for their commit.",
            core.pending_proposal_count() as f64,
        );
        prometheus::TextEncoder::new().encode_to_string(&registry.gather()).unwrap_or_default()
    }
}
