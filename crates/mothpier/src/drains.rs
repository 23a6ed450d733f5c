//! The node's part in fleet-wide drains: it learns which cache servers and nodes are drained before it
//! reports ready, puts this into effect, confirms it to the coordinators and reports its own state. The rules
//! are in `mothpier_coordination::fleet::follow`.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use mothpier_coordination::Change;
use mothpier_coordination::fleet::follower::{Effect, Follower};
use mothpier_coordination::fleet::messages::{FleetCommand, FleetRefusal, Listed};
use mothpier_coordination::fleet::reporter::{ReadyList, Reporter, ready_list};
use mothpier_coordination_client::{Client, Seen, Session};
use mothpier_membership::ServerRecord;
use mothpier_net::Net;
use tokio::sync::oneshot;

use crate::config::coordination::{Coordination, FleetConfig};
use crate::messages::AdminCommand;
use crate::operations::Operations;
use crate::phase::DrainSource;

/// The time limit of a call to the coordinators.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a watch waits for changes. All drains are then read again, since a coordinator that is cut off
/// from the others reports no changes.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// How often the node checks whether it has something to report. Only changes are sent.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// The time over which the share of refused requests is measured. It is reported in steps of
/// `REFUSED_SHARE_STEP_PERCENT`.
const REFUSED_SHARE_WINDOW: Duration = Duration::from_secs(1);
const REFUSED_SHARE_STEP_PERCENT: u8 = 5;
/// How long after a change drains are confirmed if another process of this node also serves. That process
/// applies the change in this time: it reads the handover store every 0.1 s and follows the fleet itself.
const OTHER_PROCESS_DELAY: Duration = Duration::from_millis(500);

/// Applies the fleet's drains on this node and reports the node's state.
pub struct Drains<N: Net> {
    operations: Rc<Operations<N>>,
    client: Rc<Client<N>>,
    node: String,
    config: FleetConfig,
    follower: RefCell<Follower>,
    /// The drained cache servers that are now in effect.
    effect: RefCell<Effect>,
    /// When `effect` last changed.
    effect_since: Cell<Instant>,
    /// The start of the current window, and the numbers of finished and of refused or failed requests by
    /// then.
    refused_window: Cell<(Instant, u64, u64)>,
    /// The share of refused or failed requests in the last full window.
    refused_percent: Cell<u8>,
    /// The session with which the node last joined the fleet; `None` before the first.
    joined_session: RefCell<Option<String>>,
}

/// Which session holds the node's name in the fleet.
enum NameHolder {
    /// None, or an ended session of this process.
    Nobody,
    /// A session of another process of this node.
    AnotherProcess,
    /// The coordinators could not be reached.
    Unknown,
}

impl<N: Net> Drains<N> {
    /// Creates the state of a node that knows no drains yet.
    ///
    /// # Errors
    ///
    /// A message if the node's name is not valid in a fleet, or if the system provides no entropy.
    pub fn new(
        operations: Rc<Operations<N>>,
        coordination: &Coordination,
        config: FleetConfig,
        node: &str,
    ) -> Result<Rc<Self>, String> {
        if !mothpier_coordination::limits::is_name(node) {
            return Err(format!(
                "the node name {node:?} is not valid in a fleet: only letters, digits and -_.:@/ are allowed"
            ));
        }
        let net = operations.net.clone();
        let client =
            Client::new(net.clone(), coordination.cluster.clone(), coordination.coordinators.clone())?;
        let now = net.now();
        Ok(Rc::new(Drains {
            operations,
            client,
            node: node.into(),
            config,
            follower: RefCell::new(Follower::new(node)),
            effect: RefCell::default(),
            effect_since: Cell::new(now),
            refused_window: Cell::new((now, 0, 0)),
            refused_percent: Cell::new(0),
            joined_session: RefCell::default(),
        }))
    }

    fn net(&self) -> &N {
        &self.operations.net
    }

    /// Follows the fleet's drains until the node ends.
    pub async fn run(self: Rc<Self>) {
        // The state that an earlier process of this node knew applies until the coordinators have answered.
        if let Some(kept) = self.operations.handover.as_ref().map(|s| s.fleet_drains()) {
            self.put_into_effect(kept.out, kept.own).await;
        }
        let this = self.clone();
        self.net().spawn(async move {
            this.net().sleep(this.config.start_alone).await;
            if !this.follower.borrow().knows() {
                this.net().log("no coordinators: starts without knowing who of the fleet is out");
                this.operations.phase.fleet_drains_known();
            }
        });
        self.net().spawn(self.clone().maintain_membership());
        loop {
            match self.client.drains(self.net().now() + CALL_TIMEOUT).await {
                Ok(all) => {
                    let first = !self.follower.borrow().knows();
                    self.follower.borrow_mut().replace_all(all.drains);
                    self.apply_drains().await;
                    if first {
                        self.net().log("who of the fleet is out is known");
                        self.operations.phase.fleet_drains_known();
                    }
                    self.follow(all.revision).await;
                }
                Err(_) => self.net().sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Applies changes until a call fails, or until a whole watch brings none.
    async fn follow(&self, mut revision: u64) {
        loop {
            let until = self.net().now() + WATCH_WAIT + CALL_TIMEOUT;
            let Ok(Seen::Changes(next, changes)) = self.client.watch(revision, WATCH_WAIT, until).await
            else {
                return self.net().sleep(RETRY_PAUSE).await;
            };
            if changes.is_empty() {
                return;
            }
            for (_, change) in changes {
                if let Change::Fleet { what } = change {
                    self.follower.borrow_mut().apply_change(&what);
                }
            }
            revision = next;
            self.apply_drains().await;
        }
    }

    /// Puts the drains that are now known into effect, and stores them for other processes of the node.
    async fn apply_drains(&self) {
        let (out, node_drained) = {
            let follower = self.follower.borrow();
            (follower.drained_servers(), follower.must_drain())
        };
        if let Some(handover) = &self.operations.handover {
            // A failure to store them is logged there, and the write is retried.
            let _ = handover
                .update(self.net(), |state, now| state.set_fleet_drains(now, out.clone(), node_drained));
        }
        self.put_into_effect(out, node_drained).await;
    }

    /// Drains exactly the cache servers in `out`, and this node if `node_drained`. In effect when this
    /// returns.
    async fn put_into_effect(&self, out: std::collections::BTreeSet<String>, node_drained: bool) {
        if node_drained {
            self.operations.clone().drain(DrainSource::Fleet);
        } else {
            self.operations.undrain(DrainSource::Fleet);
        }
        if out == self.effect.borrow().out {
            return;
        }
        let (reply, applied) = oneshot::channel();
        let _ = self
            .operations
            .admin_commands
            .send(AdminCommand::FleetDrained { drained: out.clone(), reply })
            .await;
        if applied.await.is_ok() {
            let names = out.iter().map(String::as_str).collect::<Vec<_>>().join(",");
            self.net().log(format_args!("drained by the fleet: [{names}]"));
            self.effect.borrow_mut().out = out;
            self.effect_since.set(self.net().now());
        }
    }

    /// Keeps the node in the fleet until the node ends, with a new session after each one that ends.
    async fn maintain_membership(self: Rc<Self>) {
        loop {
            let ttl = self.config.ttl;
            match self.name_holder().await {
                NameHolder::Nobody => {}
                NameHolder::AnotherProcess => {
                    // Most likely a new process of the node, in which case this one is about to end.
                    self.net().sleep(ttl).await;
                    continue;
                }
                NameHolder::Unknown => {
                    self.net().sleep(RETRY_PAUSE).await;
                    continue;
                }
            }
            let name = format!("node:{}:{}", self.node, self.client.draw_name());
            // A failure to reach the coordinators is logged by the task that waits for the fleet's drains.
            if let Ok(session) = Session::open(self.client.clone(), name, ttl, ttl).await
                && let Err(reason) = self.run_session(&session).await
            {
                self.net().log(format_args!("fleet session ended: {reason}"));
            }
            self.net().sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns which session holds the node's name. A new process takes the name over; this one must not take
    /// it back.
    async fn name_holder(&self) -> NameHolder {
        let Some(own_session) = self.joined_session.borrow().clone() else { return NameHolder::Nobody };
        let Ok(all) = self.client.fleet(self.net().now() + CALL_TIMEOUT).await else {
            return NameHolder::Unknown;
        };
        let holder = all.fleet.nodes.get(&self.node).and_then(|n| n.session.clone());
        match holder {
            Some(holder) if holder != own_session => NameHolder::AnotherProcess,
            _ => NameHolder::Nobody,
        }
    }

    /// Joins the fleet, then reports and confirms changes until the session ends.
    async fn run_session(&self, session: &Session<N>) -> Result<(), String> {
        let join = FleetCommand::Join { node: self.node.clone(), zone: self.config.zone.clone() };
        let joined = session.fleet(join).await.map_err(|error| error.to_string())?;
        joined.map_err(|reason| reason.to_string())?;
        *self.joined_session.borrow_mut() = Some(session.name.clone());
        self.follower.borrow_mut().reset_confirmations();
        let (mut reporter, mut known_list) = (Reporter::default(), 0);
        loop {
            if let Some(servers) = self.ready_servers_if_changed(&mut known_list).await? {
                reporter.set_servers(servers);
            }
            self.report_changes(session, &mut reporter).await?;
            let effect = self.in_effect();
            let confirms = self.follower.borrow().confirmable(&effect);
            let other_process_serves =
                self.operations.handover.as_ref().is_some_and(|s| s.has_serving_peer());
            if !other_process_serves || self.net().since(self.effect_since.get()) >= OTHER_PROCESS_DELAY {
                for (drain, turn) in confirms {
                    self.send(session, FleetCommand::Confirm { drain, turn }).await?;
                    self.follower.borrow_mut().record_confirmation(drain, turn);
                }
            }
            self.net().sleep(REPORT_INTERVAL).await;
            session.left().map_err(|error| error.to_string())?;
        }
    }

    /// Returns the ready cache servers if the node's list has changed since the one numbered `known_list`.
    async fn ready_servers_if_changed(&self, known_list: &mut u64) -> Result<Option<ReadyList>, String> {
        let (reply, receiver) = oneshot::channel();
        let _ = self
            .operations
            .admin_commands
            .send(AdminCommand::ReadyServers { known_version: *known_list, reply })
            .await;
        let answer = receiver.await.map_err(|_| "the node has ended".to_owned())?;
        let Some((number, records)) = answer else { return Ok(None) };
        *known_list = number;
        let listed = |record: ServerRecord| Listed {
            id: record.id,
            zone: record.locality,
            up_since_ms: record.up_since_ms,
        };
        Ok(Some(ready_list(records.into_iter().map(listed))))
    }

    /// Sends a report if there is something new to report.
    async fn report_changes(&self, session: &Session<N>, reporter: &mut Reporter) -> Result<(), String> {
        let ready = self.operations.phase.ready().is_ok();
        let Some(report) = reporter.next(ready, self.refused_share_percent()) else { return Ok(()) };
        let number = report.number;
        let answer = session.fleet(FleetCommand::NumberedReport { report }).await;
        match answer.map_err(|error| error.to_string())? {
            Ok(_) => reporter.accepted(number),
            // The next report contains the whole list.
            Err(FleetRefusal::UnknownBase { last }) => reporter.base_unknown(number, last),
            Err(reason @ FleetRefusal::NoNode) => return Err(reason.to_string()),
            Err(reason) => {
                self.net().log(format_args!("the coordinators rejected this node's report: {reason}"));
                reporter.rejected(number);
            }
        }
        Ok(())
    }

    async fn send(&self, session: &Session<N>, command: FleetCommand) -> Result<(), String> {
        match session.fleet(command).await.map_err(|error| error.to_string())? {
            Ok(_) => Ok(()),
            Err(reason @ FleetRefusal::NoNode) => Err(reason.to_string()),
            Err(reason) => {
                self.net().log(format_args!("the coordinators rejected this node's request: {reason}"));
                Ok(())
            }
        }
    }

    /// Returns the drains in effect: the cache servers, and whether this node is drained and has no requests
    /// left.
    fn in_effect(&self) -> Effect {
        let phase = &self.operations.phase;
        let empty = self.follower.borrow().must_drain()
            && phase.ready().is_err()
            && phase.closing()
            && self.operations.clients.pending_request_count() == 0;
        Effect { out: self.effect.borrow().out.clone(), empty }
    }

    /// Returns the share of requests that were refused or failed in the last full window, in percent.
    fn refused_share_percent(&self) -> u8 {
        let (since, all, bad) = self.refused_window.get();
        if self.net().since(since) >= REFUSED_SHARE_WINDOW {
            let (all_now, bad_now) = self.operations.metrics.totals();
            self.refused_window.set((self.net().now(), all_now, bad_now));
            let share = (100 * (bad_now - bad)).checked_div(all_now - all).unwrap_or(0) as u8;
            self.refused_percent.set(share / REFUSED_SHARE_STEP_PERCENT * REFUSED_SHARE_STEP_PERCENT);
        }
        self.refused_percent.get()
    }
}
