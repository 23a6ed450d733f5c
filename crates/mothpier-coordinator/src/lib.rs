//! A coordinator: a member of a small group that agrees for a fleet. Consensus, log and store are libraries; this package
//! joins them to the agreed state of `mothpier-coordination`, to sockets and to the clock.
//!
//! Arrows point one way: `config` and `store` stand alone, `core` uses the store, `door` and `peers` use the member.

pub mod config;
pub mod core;
pub mod door;
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
use crate::core::{Core, Ended};
use crate::store::{Found, Store, Trouble};

/// Ticks that are made up for after a wait: a process that was stopped for long must not stand for election at once.
const MADE_UP: u32 = 3;
/// Between two tries to open a store whose disk has failed.
const REOPEN: Duration = Duration::from_millis(200);

/// A running member.
pub struct Member<N: Net> {
    net: N,
    config: Config,
    core: RefCell<Core>,
    /// There is something to do.
    wake: Notify,
    /// Something has changed.
    changed: Notify,
    /// Made when there is something to send; where a member is, its own file has the last word on.
    peers: RefCell<BTreeMap<u64, mpsc::Sender<Vec<Message>>>>,
    began: Instant,
    /// Why the store can't be written, while that is so.
    store_failure: RefCell<Option<String>>,
}

/// Makes a store for a new fleet's member.
///
/// # Errors
///
/// A folder that has one already, or can't be written.
pub fn init(config: &Config) -> Result<(), Trouble> {
    let members: Vec<u64> = config.members.keys().copied().collect();
    let addresses = config.members.iter().map(|(id, at)| (*id, at.to_string())).collect();
    let state = ReplicatedState::new_cluster(addresses).to_bytes();
    Store::init(&config.folder, &config.cluster, config.member, &members, &state)
}

/// Makes a store for a member that joins a fleet: it knows nothing until the leader tells it.
///
/// # Errors
///
/// A folder that has one already, or can't be written.
pub fn join(config: &Config) -> Result<(), Trouble> {
    Store::init(&config.folder, &config.cluster, config.member, &[], &[])
}

/// Runs a member until it fails. A disk that fails is waited for.
///
/// # Errors
///
/// A store that can't be opened or read; an address that is taken.
pub async fn run<N: Net>(net: N, config: Config) -> Result<(), Trouble> {
    let (store, found) = open(&net, &config).await?;
    if found.about.cluster != config.cluster || found.about.member != config.member {
        return Err(Trouble::Unusable(format!(
            "{}: the store is that of member {} of {}, the file says member {} of {}",
            config.folder.display(),
            found.about.member,
            found.about.cluster,
            config.member,
            config.cluster
        )));
    }

    let listener = net
        .listen(config.listen)
        .await
        .map_err(|e| Trouble::Unusable(format!("can't listen at {}: {e}", config.listen)))?;
    let mut core = Core::new(store, found, life(&net)?)?;
    core.lead_if_alone();

    net.log(format_args!("coordinator {} of {} listens at {}", config.member, config.cluster, config.listen));
    let began = net.now();
    let member = Rc::new(Member {
        net: net.clone(),
        config,
        core: RefCell::new(core),
        wake: Notify::new(),
        changed: Notify::new(),
        peers: RefCell::default(),
        began,
        store_failure: RefCell::default(),
    });
    net.spawn(door::run(member.clone(), listener));
    loop {
        match member.drive().await {
            Err(Trouble::DiskFails(why)) => member.recover(&why).await?,
            ended => return ended,
        }
    }
}

/// Opens the store; while its disk fails that is tried again.
async fn open<N: Net>(net: &N, config: &Config) -> Result<(Store, Found), Trouble> {
    let mut said = false;
    loop {
        match Store::open(&config.folder) {
            Err(Trouble::DiskFails(why)) => {
                if !std::mem::replace(&mut said, true) {
                    net.log(format_args!("{why}; tried again until the disk takes it"));
                }
                net.sleep(REOPEN).await;
            }
            opened => return opened,
        }
    }
}

/// Draws what sets this life's numbers apart from those of all others.
fn life<N: Net>(net: &N) -> Result<u64, Trouble> {
    let drawn = net.entropy().map_err(|e| Trouble::Unusable(format!("no entropy: {e}")))?;
    Ok(u64::from_be_bytes([drawn[0], drawn[1], drawn[2], drawn[3], drawn[4], drawn[5], 0, 0]))
}

impl<N: Net> Member<N> {
    /// The machine's monotonic clock in ms: one that stands still while the machine sleeps, so that a leader that slept
    /// ends sessions late, never early.
    fn now(&self) -> u64 {
        self.net.since(self.began).as_millis() as u64
    }

    async fn drive(self: &Rc<Self>) -> Result<(), Trouble> {
        let tick = self.config.tick;
        let mut next = self.net.now() + tick;
        loop {
            let woken = self.wake.notified();
            self.turn()?;
            let ends = self.core.borrow().next_end().map(|at| self.began + Duration::from_millis(at));
            self.net.timeout_at(ends.map_or(next, |at| at.max(self.net.now()).min(next)), woken).await;
            let mut made_up = 0;
            while self.net.now() >= next {
                made_up += 1;
                if made_up > MADE_UP {
                    next = self.net.now() + tick;
                    break;
                }
                self.core.borrow_mut().tick();
                next += tick;
            }
        }
    }

    /// Waits until the store can be written again, and goes on from what it holds, as after a restart of the process.
    /// Meanwhile this member takes part in nothing.
    async fn recover(self: &Rc<Self>, why: &str) -> Result<(), Trouble> {
        self.net.log(format_args!("{why}; neither votes nor grants until its store can be written again"));
        *self.store_failure.borrow_mut() = Some(why.to_owned());
        self.core.borrow_mut().halt();
        self.changed.notify_waiters();
        let failed_at = self.net.now();
        let (store, found) = loop {
            self.net.sleep(REOPEN).await;
            match Store::reopen(&self.config.folder) {
                Ok(opened) => break opened,
                Err(again) => *self.store_failure.borrow_mut() = Some(again.to_string()),
            }
        };
        let mut core = Core::new(store, found, life(&self.net)?)?;
        core.lead_if_alone();
        *self.core.borrow_mut() = core;
        *self.store_failure.borrow_mut() = None;
        let after = self.net.since(failed_at);
        self.net.log(format_args!("the store can be written again, after {after:.1?}"));
        Ok(())
    }

    /// Why this member takes part in nothing, while that is so.
    fn store_failure(&self) -> Option<String> {
        self.store_failure.borrow().clone()
    }

    /// Hands messages for a member to whoever carries them there; whether they were taken.
    fn send(self: &Rc<Self>, to: u64, batch: Vec<Message>) -> bool {
        let mut peers = self.peers.borrow_mut();
        if let Some(peer) = peers.get(&to) {
            return peer.try_send(batch).is_ok();
        }
        let told = || self.core.borrow().agreed().members().get(&to).and_then(|a| a.parse().ok());
        let Some(address) = self.config.members.get(&to).copied().or_else(told) else { return false };
        let (send, receive) = mpsc::channel(peers::WAITING);
        self.net.spawn(peers::run(self.clone(), to, address, receive));
        let taken = send.try_send(batch).is_ok();
        peers.insert(to, send);
        taken
    }

    fn turn(self: &Rc<Self>) -> Result<(), Trouble> {
        let (leader, synced) = (self.core.borrow().leader(), self.core.borrow().synced);
        let now = self.now();
        self.core.borrow_mut().turn(now)?;
        let outgoing = self.core.borrow_mut().outgoing();
        let mut batches: BTreeMap<u64, Vec<Message>> = BTreeMap::new();
        outgoing.into_iter().for_each(|m| batches.entry(m.to).or_default().push(m));
        for (to, batch) in batches {
            if !self.send(to, batch) {
                self.core.borrow_mut().unreachable(to);
            }
        }
        let core = self.core.borrow();
        if core.leader() != leader {
            match core.leader() {
                0 => self.net.log(format_args!("no leader, term {}", core.term())),
                id => self.net.log(format_args!("member {id} leads, term {}", core.term())),
            }
        }
        if core.synced != synced {
            self.changed.notify_waiters();
        }
        Ok(())
    }

    fn take(&self, messages: Vec<Message>) {
        if self.store_failure.borrow().is_some() {
            return;
        }
        messages.into_iter().for_each(|m| self.core.borrow_mut().message(m));
        self.wake.notify_one();
    }

    fn unreachable(&self, member: u64) {
        self.core.borrow_mut().unreachable(member);
    }

    async fn propose(&self, command: &Command, within: Duration) -> Ended {
        let told = self.core.borrow_mut().propose(command);
        self.wake.notify_one();
        match self.net.timeout(within, told).await {
            Some(Ok(ended)) => ended,
            _ => Ended::Unknown,
        }
    }

    /// Changes the members.
    async fn change(&self, change: &MemberChange, within: Duration) -> Result<Ended, String> {
        let told = self.core.borrow_mut().change(change)?;
        self.wake.notify_one();
        Ok(match self.net.timeout(within, told).await {
            Some(Ok(ended)) => ended,
            _ => Ended::Unknown,
        })
    }

    /// Whether a majority has confirmed that this member leads, and all from before is applied.
    async fn confirmed(&self, within: Duration) -> bool {
        let told = self.core.borrow_mut().read();
        self.wake.notify_one();
        matches!(self.net.timeout(within, told).await, Some(Ok(true)))
    }

    fn status(&self) -> Status {
        let core = self.core.borrow();
        let (committed, applied) = core.lines();
        let lag = |(id, matched): (u64, Option<u64>)| (id, matched.map(|m| committed.saturating_sub(m)));
        Status {
            cluster: self.config.cluster.clone(),
            member: core.member(),
            leader: Some(core.leader()).filter(|l| *l != 0),
            since_ms: self.now().saturating_sub(core.since),
            term: core.term(),
            committed,
            applied,
            sessions: core.agreed().sessions().count(),
            leases: core.agreed().leases().len(),
            learners: core.learners().to_vec(),
            members: core.members().into_iter().map(lag).collect(),
            store_failure: self.store_failure(),
        }
    }

    /// Prometheus' text form.
    fn figures(&self) -> String {
        let status = self.status();
        let core = self.core.borrow();
        let registry = prometheus::Registry::new();
        let gauge = |name: &str, help: &str, value: f64| {
            if let Ok(gauge) = prometheus::Gauge::new(format!("mothpier_coordinator_{name}"), help) {
                gauge.set(value);
                let _ = registry.register(Box::new(gauge));
            }
        };
        gauge("leads", "Whether this member leads.", f64::from(u8::from(core.leads())));
        gauge("has_leader", "Whether it knows of a leader.", f64::from(u8::from(core.leader() != 0)));
        let fails = f64::from(u8::from(status.store_failure.is_some()));
        gauge(
            "store_failing",
            "Whether its store can't be written, so that it takes part in nothing.",
            fails,
        );
        gauge("term", "The present term.", status.term as f64);
        gauge("committed_index", "The last line that is committed.", status.committed as f64);
        gauge("applied_index", "The last line that is applied.", status.applied as f64);
        gauge("sessions", "Sessions that live.", status.sessions as f64);
        gauge("leases", "Leases that are held.", status.leases as f64);
        gauge("proposals_waiting", "Commands that wait for their commit.", core.waiting() as f64);
        prometheus::TextEncoder::new().encode_to_string(&registry.gather()).unwrap_or_default()
    }
}
