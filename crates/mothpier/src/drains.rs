//! The node's part in the fleet's agreement on drains: it learns who is out before it says that it is ready, has that in
//! effect, confirms it, and reports what changes. What it does is decided in `mothpier_coordination::fleet::follow`.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use mothpier_coordination::Change;
use mothpier_coordination::fleet::ask::{FleetAsk, FleetRefusal, Listed};
use mothpier_coordination::fleet::follow::{Effect, Follower};
use mothpier_coordination::fleet::reporter::{ReadyList, Reporter, ready_list};
use mothpier_coordination_client::{Client, Seen, Session};
use mothpier_membership::ServerRecord;
use mothpier_net::Net;
use tokio::sync::oneshot;

use crate::config::coordination::{Coordination, Fleet};
use crate::messages::AdminCommand;
use crate::operations::Operations;
use crate::phase::DrainSource;

/// One reading of all drains.
const ASK: Duration = Duration::from_secs(5);
/// A watch waits so long, and then all is read again: a coordinator that was cut off has no changes to tell.
const WATCH: Duration = Duration::from_secs(5);
/// After a failure.
const AGAIN: Duration = Duration::from_millis(300);
/// How often the node looks at what it has to report: reports are as rare as what changes in them.
const LOOK: Duration = Duration::from_millis(100);
/// The share of refused requests is taken over this time and told by steps of so many percent.
const SHARE_OVER: Duration = Duration::from_secs(1);
const SHARE_STEP: u8 = 5;
/// Where another process of this node serves beside it: that one reads the shelf every 0.1 s and follows the fleet itself.
const BESIDE: Duration = Duration::from_millis(500);

/// The node's part.
pub struct Drains<N: Net> {
    operations: Rc<Operations<N>>,
    client: Rc<Client<N>>,
    node: String,
    settings: Fleet,
    follower: RefCell<Follower>,
    /// Cache servers that are kept out as of now, and since when this is so.
    effect: RefCell<Effect>,
    since: Cell<Instant>,
    /// Requests that ended, and those refused, at the beginning of the present share; and the last share.
    counted: Cell<(Instant, u64, u64)>,
    refused_percent: Cell<u8>,
    /// The session under which it joined last; `None` before the first.
    joined: RefCell<Option<String>>,
}

/// Whose session has the node's name in the fleet.
enum NameHolder {
    /// Nobody's, or this process's own that has ended.
    Nobody,
    /// That of another process of this node.
    AnotherProcess,
    /// The fleet could not be read.
    Unknown,
}

impl<N: Net> Drains<N> {
    /// A node that knows nothing yet.
    ///
    /// # Errors
    ///
    /// A name that the fleet can't keep, or a machine without entropy.
    pub fn new(
        operations: Rc<Operations<N>>,
        told: &Coordination,
        settings: Fleet,
        node: &str,
    ) -> Result<Rc<Self>, String> {
        if !mothpier_coordination::limits::is_name(node) {
            return Err(format!(
                "the name {node:?} can't be a fleet's: letters, digits and -_.:@/ are wanted"
            ));
        }
        let net = operations.net.clone();
        let client = Client::new(net.clone(), told.cluster.clone(), told.coordinators.clone())?;
        let now = net.now();
        Ok(Rc::new(Drains {
            operations,
            client,
            node: node.into(),
            settings,
            follower: RefCell::new(Follower::new(node)),
            effect: RefCell::default(),
            since: Cell::new(now),
            counted: Cell::new((now, 0, 0)),
            refused_percent: Cell::new(0),
            joined: RefCell::default(),
        }))
    }

    fn net(&self) -> &N {
        &self.operations.net
    }

    /// Follows the fleet for as long as the node lives.
    pub async fn run(self: Rc<Self>) {
        // What a process of this node last knew counts until the coordinators say otherwise.
        if let Some(kept) = self.operations.succession.as_ref().map(|s| s.drained()) {
            self.take(kept.out, kept.own).await;
        }
        let own = self.clone();
        self.net().spawn(async move {
            own.net().sleep(own.settings.start_alone).await;
            if !own.follower.borrow().knows() {
                own.net().log("no coordinators: starts without knowing who of the fleet is out");
                own.operations.phase.told();
            }
        });
        self.net().spawn(self.clone().belong());
        loop {
            match self.client.drains(self.net().now() + ASK).await {
                Ok(all) => {
                    let first = !self.follower.borrow().knows();
                    self.follower.borrow_mut().read(all.drains);
                    self.obey().await;
                    if first {
                        self.net().log("who of the fleet is out is known");
                        self.operations.phase.told();
                    }
                    self.follow(all.revision).await;
                }
                Err(_) => self.net().sleep(AGAIN).await,
            }
        }
    }

    /// Hears of changes while that goes well, and for the time of one watch after the last.
    async fn follow(&self, mut revision: u64) {
        loop {
            let until = self.net().now() + WATCH + ASK;
            let Ok(Seen::Changes(next, changes)) = self.client.watch(revision, WATCH, until).await else {
                return self.net().sleep(AGAIN).await;
            };
            if changes.is_empty() {
                return;
            }
            for (_, change) in changes {
                if let Change::Fleet { what } = change {
                    self.follower.borrow_mut().change(&what);
                }
            }
            revision = next;
            self.obey().await;
        }
    }

    async fn obey(&self) {
        let (out, own) = {
            let follower = self.follower.borrow();
            (follower.out(), follower.empties())
        };
        if let Some(succession) = &self.operations.succession {
            // Logged where it can't be kept, and tried again.
            let _ = succession.said(self.net(), |state, now| state.drained(now, out.clone(), own));
        }
        self.take(out, own).await;
    }

    /// Has it in effect when this returns.
    async fn take(&self, out: std::collections::BTreeSet<String>, own: bool) {
        if own {
            self.operations.clone().empty(DrainSource::Fleet);
        } else {
            self.operations.refill(DrainSource::Fleet);
        }
        if out == self.effect.borrow().out {
            return;
        }
        let (tell, told) = oneshot::channel();
        let _ = self.operations.orders.send(AdminCommand::FleetDrained { out: out.clone(), tell }).await;
        if told.await.is_ok() {
            let names = out.iter().map(String::as_str).collect::<Vec<_>>().join(",");
            self.net().log(format_args!("drained by the fleet: [{names}]"));
            self.effect.borrow_mut().out = out;
            self.since.set(self.net().now());
        }
    }

    /// Is a node of the fleet for as long as it lives: one session after another.
    async fn belong(self: Rc<Self>) {
        loop {
            let ttl = self.settings.ttl;
            match self.name_holder().await {
                NameHolder::Nobody => {}
                NameHolder::AnotherProcess => {
                    // A new process of the node, most likely, and this one is about to end.
                    self.net().sleep(ttl).await;
                    continue;
                }
                NameHolder::Unknown => {
                    self.net().sleep(AGAIN).await;
                    continue;
                }
            }
            let name = format!("node:{}:{}", self.node, self.client.draw_name());
            // That there are no coordinators is said by those who wait for what the fleet says.
            if let Ok(session) = Session::open(self.client.clone(), name, ttl, ttl).await
                && let Err(why) = self.report(&session).await
            {
                self.net().log(format_args!("out of the fleet's sight: {why}"));
            }
            self.net().sleep(AGAIN).await;
        }
    }

    /// Who has the node's name since this process joined: whoever begins takes it, and nobody takes it back.
    async fn name_holder(&self) -> NameHolder {
        let Some(own) = self.joined.borrow().clone() else { return NameHolder::Nobody };
        let Ok(all) = self.client.fleet(self.net().now() + ASK).await else { return NameHolder::Unknown };
        let holder = all.fleet.nodes.get(&self.node).and_then(|n| n.session.clone());
        match holder {
            Some(holder) if holder != own => NameHolder::AnotherProcess,
            _ => NameHolder::Nobody,
        }
    }

    /// Joins, and tells and confirms what changes, until the session is over.
    async fn report(&self, session: &Session<N>) -> Result<(), String> {
        let join = FleetAsk::Join { node: self.node.clone(), zone: self.settings.zone.clone() };
        let joined = session.fleet(join).await.map_err(|lost| lost.to_string())?;
        joined.map_err(|why| why.to_string())?;
        *self.joined.borrow_mut() = Some(session.name.clone());
        self.follower.borrow_mut().joined();
        let (mut reporter, mut list_held) = (Reporter::default(), 0);
        loop {
            if let Some(servers) = self.new_list(&mut list_held).await? {
                reporter.set_servers(servers);
            }
            self.report_changes(session, &mut reporter).await?;
            let effect = self.in_effect();
            let confirms = self.follower.borrow().confirms(&effect);
            let beside = self.operations.succession.as_ref().is_some_and(|s| s.accompanied());
            if !beside || self.net().since(self.since.get()) >= BESIDE {
                for (drain, turn) in confirms {
                    self.ask(session, FleetAsk::Confirm { drain, turn }).await?;
                    self.follower.borrow_mut().confirmed(drain, turn);
                }
            }
            self.net().sleep(LOOK).await;
            session.left().map_err(|lost| lost.to_string())?;
        }
    }

    /// The cache servers that are ready, where the node's list is another than the one that is held.
    async fn new_list(&self, held: &mut u64) -> Result<Option<ReadyList>, String> {
        let (tell, ready) = oneshot::channel();
        let _ = self.operations.orders.send(AdminCommand::ReadyServers { held: *held, tell }).await;
        let listed = ready.await.map_err(|_| "the node has ended".to_owned())?;
        let Some((number, lines)) = listed else { return Ok(None) };
        *held = number;
        let line =
            |line: ServerRecord| Listed { id: line.id, zone: line.locality, up_since_ms: line.up_since_ms };
        Ok(Some(ready_list(lines.into_iter().map(line))))
    }

    /// Reports what has changed, if anything has.
    async fn report_changes(&self, session: &Session<N>, reporter: &mut Reporter) -> Result<(), String> {
        let ready = self.operations.phase.ready().is_ok();
        let Some(report) = reporter.next(ready, self.refused()) else { return Ok(()) };
        let number = report.number;
        let answer = session.fleet(FleetAsk::NumberedReport { report }).await;
        match answer.map_err(|lost| lost.to_string())? {
            Ok(_) => reporter.accepted(number),
            // The next look sends the whole list.
            Err(FleetRefusal::UnknownBase { last }) => reporter.base_unknown(number, last),
            Err(why @ FleetRefusal::NoNode) => return Err(why.to_string()),
            Err(why) => {
                self.net().log(format_args!("the fleet does not take this node's report: {why}"));
                reporter.rejected(number);
            }
        }
        Ok(())
    }

    async fn ask(&self, session: &Session<N>, ask: FleetAsk) -> Result<(), String> {
        match session.fleet(ask).await.map_err(|lost| lost.to_string())? {
            Ok(_) => Ok(()),
            Err(why @ FleetRefusal::NoNode) => Err(why.to_string()),
            Err(why) => {
                self.net().log(format_args!("the fleet does not take this node's word: {why}"));
                Ok(())
            }
        }
    }

    /// What is so now: of this node, whether it has ended all that it had taken.
    fn in_effect(&self) -> Effect {
        let phase = &self.operations.phase;
        let empty = self.follower.borrow().empties()
            && phase.ready().is_err()
            && phase.closing()
            && self.operations.clients.pending() == 0;
        Effect { out: self.effect.borrow().out.clone(), empty }
    }

    /// Part of the requests that were refused or failed lately, in percent.
    fn refused(&self) -> u8 {
        let (since, all, bad) = self.counted.get();
        if self.net().since(since) >= SHARE_OVER {
            let (all_now, bad_now) = self.operations.figures.totals();
            self.counted.set((self.net().now(), all_now, bad_now));
            let share = (100 * (bad_now - bad)).checked_div(all_now - all).unwrap_or(0) as u8;
            self.refused_percent.set(share / SHARE_STEP * SHARE_STEP);
        }
        self.refused_percent.get()
    }
}
