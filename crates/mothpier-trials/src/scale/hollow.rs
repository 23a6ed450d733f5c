//! A hollow node: the product's client, session, watch and rule of drains (`Follower`) as `mothpier`'s `drains.rs` uses
//! them, step by step and with its spans, and no data plane: what is out is in effect at once, and a node that empties
//! itself is empty.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mothpier_coordination::Change;
use mothpier_coordination::fleet::follower::{Effect, Follower};
use mothpier_coordination::fleet::messages::{FleetCommand, FleetRefusal};
use mothpier_coordination::fleet::reporter::Reporter;
use mothpier_coordination_client::{Client, Seen, Session};
use mothpier_net::Net;

use super::links::LinkNet;
use super::plan::NodePlan;
use super::shared::{NodeEvent, ServerList, Shared};

/// The spans of `mothpier`'s `drains.rs`: one reading of all drains, a watch, a pause after a failure, a look at what
/// there is to report.
const READ: Duration = Duration::from_secs(5);
const WATCH: Duration = Duration::from_secs(5);
const AGAIN: Duration = Duration::from_millis(300);
const LOOK: Duration = Duration::from_millis(100);

/// What all hollow nodes of a trial are told.
#[derive(Clone)]
pub struct Told {
    /// The fleet's name.
    pub cluster: String,
    /// Where the coordinators are, by their numbers.
    pub coordinators: Vec<SocketAddr>,
    /// The time of a node's session.
    pub ttl: Duration,
}

/// A node without a data plane.
pub struct Hollow {
    plan: NodePlan,
    told: Told,
    shared: Arc<Shared>,
    client: Rc<Client<LinkNet>>,
    follower: RefCell<Follower>,
    out: RefCell<BTreeSet<String>>,
    /// The session under which it joined last.
    joined: RefCell<Option<String>>,
    /// The last list that it heard of.
    list: RefCell<Option<ServerList>>,
    in_danger: Cell<bool>,
}

/// Whose session has a node's name in the fleet.
enum NameHolder {
    /// Nobody's, or this node's own that has ended.
    Nobody,
    /// That of another process of the node.
    AnotherProcess,
    /// The fleet could not be read.
    Unknown,
}

/// The address that a node's connections come from: ports of one address would not last for all.
fn source(number: usize) -> Ipv4Addr {
    let [.., high, low] = (number as u32 + 1).to_be_bytes();
    Ipv4Addr::new(127, 32, high, low)
}

impl Hollow {
    /// A node that knows nothing yet.
    ///
    /// # Errors
    ///
    /// No coordinator is named.
    pub fn new(plan: NodePlan, told: Told, shared: Arc<Shared>) -> Result<Rc<Self>, String> {
        let delay = Duration::from_millis(plan.delay_ms);
        let net = LinkNet::new(shared.clone(), plan.region, source(plan.number), delay, plan.seed);
        let client = Client::new(net, told.cluster.clone(), told.coordinators.clone())?;
        Ok(Rc::new(Hollow {
            follower: RefCell::new(Follower::new(&plan.name)),
            plan,
            told,
            shared,
            client,
            out: RefCell::default(),
            joined: RefCell::default(),
            list: RefCell::default(),
            in_danger: Cell::new(false),
        }))
    }

    fn net(&self) -> &LinkNet {
        self.client.net()
    }

    fn happened(&self, what: NodeEvent) {
        self.shared.happened(self.plan.number, what);
    }

    /// Starts in its time and follows the fleet from then on.
    pub async fn run(self: Rc<Self>) {
        self.net().sleep(Duration::from_millis(self.plan.start_ms)).await;
        self.net().spawn(self.clone().belong());
        loop {
            match self.client.drains(self.net().now() + READ).await {
                Ok(all) => {
                    self.follower.borrow_mut().replace_all(all.drains);
                    self.obey();
                    self.shared.update(self.plan.number, |state| state.knows = true);
                    self.follow(all.revision).await;
                }
                Err(_) => self.net().sleep(AGAIN).await,
            }
        }
    }

    /// Hears of changes while that goes well, and for the time of one watch after the last.
    async fn follow(&self, mut revision: u64) {
        loop {
            let until = self.net().now() + WATCH + READ;
            let Ok(Seen::Changes(next, changes)) = self.client.watch(revision, WATCH, until).await else {
                self.happened(NodeEvent::WatchLost);
                return self.net().sleep(AGAIN).await;
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
            self.obey();
        }
    }

    /// Has it in effect when this returns.
    fn obey(&self) {
        let (out, empties) = {
            let follower = self.follower.borrow();
            (follower.drained_servers(), follower.must_drain())
        };
        let before = self.out.replace(out.clone());
        for server in before.symmetric_difference(&out) {
            self.happened(NodeEvent::Effect { server: server.clone(), out: out.contains(server) });
        }
        self.shared.update(self.plan.number, |state| (state.out, state.empties) = (out, empties));
    }

    /// Is a node of the fleet for as long as it lives: one session after another.
    async fn belong(self: Rc<Self>) {
        loop {
            let ttl = self.told.ttl;
            match self.name_holder().await {
                NameHolder::Nobody => {}
                NameHolder::AnotherProcess => {
                    self.net().sleep(ttl).await;
                    continue;
                }
                NameHolder::Unknown => {
                    self.net().sleep(AGAIN).await;
                    continue;
                }
            }
            let name = format!("node:{}:{}", self.plan.name, self.client.draw_name());
            if let Ok(session) = Session::open(self.client.clone(), name, ttl, ttl).await {
                let opened = Instant::now();
                if let Err(why) = self.report(&session).await {
                    self.happened(NodeEvent::SessionLost { opened, why });
                }
                self.shared.update(self.plan.number, |state| {
                    (state.joined, state.ready, state.reported) = (false, false, 0);
                });
            }
            self.net().sleep(AGAIN).await;
        }
    }

    /// Who has the node's name since this one joined.
    async fn name_holder(&self) -> NameHolder {
        let Some(own) = self.joined.borrow().clone() else { return NameHolder::Nobody };
        let Ok(all) = self.client.fleet(self.net().now() + READ).await else { return NameHolder::Unknown };
        let holder = all.fleet.nodes.get(&self.plan.name).and_then(|node| node.session.clone());
        match holder {
            Some(holder) if holder != own => NameHolder::AnotherProcess,
            _ => NameHolder::Nobody,
        }
    }

    /// The list of cache servers, as its agent told it last: an agent that is cut off tells nothing new.
    fn list(&self) -> Option<ServerList> {
        if !self.shared.is_cut(self.plan.region) {
            let heard = self.shared.list(Duration::from_millis(self.plan.discovery_ms));
            *self.list.borrow_mut() = heard;
        }
        self.list.borrow().clone()
    }

    /// Joins, and tells and confirms what changes, until the session is over.
    async fn report(&self, session: &Session<LinkNet>) -> Result<(), String> {
        let zone = format!("region-{}", self.plan.region);
        let join = FleetCommand::Join { node: self.plan.name.clone(), zone };
        let joined = session.fleet(join).await.map_err(|lost| lost.to_string())?;
        joined.map_err(|why| why.to_string())?;
        *self.joined.borrow_mut() = Some(session.name.clone());
        self.follower.borrow_mut().reset_confirmations();
        self.shared.update(self.plan.number, |state| state.joined = true);
        let (mut reporter, mut list_held) = (Reporter::default(), 0);
        loop {
            if let Some(list) = self.list().filter(|list| list.number != list_held) {
                list_held = list.number;
                reporter.set_servers(list.servers);
            }
            let ready = self.is_ready();
            self.report_changes(session, &mut reporter, ready, list_held).await?;
            let empty = self.follower.borrow().must_drain() && !ready;
            let effect = Effect { out: self.out.borrow().clone(), empty };
            let confirms = self.follower.borrow().confirmable(&effect);
            for (drain, turn) in confirms {
                self.ask(session, FleetCommand::Confirm { drain, turn }).await?;
                self.follower.borrow_mut().record_confirmation(drain, turn);
            }
            self.net().sleep(LOOK).await;
            self.look(session);
            session.left().map_err(|lost| lost.to_string())?;
        }
    }

    /// It knows who is out, and takes work.
    fn is_ready(&self) -> bool {
        let follower = self.follower.borrow();
        follower.knows() && !follower.must_drain()
    }

    /// Reports what has changed, if anything has.
    async fn report_changes(
        &self,
        session: &Session<LinkNet>,
        reporter: &mut Reporter,
        ready: bool,
        list: u64,
    ) -> Result<(), String> {
        let Some(report) = reporter.next(ready, 0) else { return Ok(()) };
        let (number, ready) = (report.number, report.ready);
        let answer = session.fleet(FleetCommand::NumberedReport { report }).await;
        match answer.map_err(|lost| lost.to_string())? {
            Ok(_) => {
                reporter.accepted(number);
                self.reported(ready, list);
            }
            Err(FleetRefusal::UnknownBase { last }) => {
                self.happened(NodeEvent::Refused { why: "unknown base of a report".into() });
                reporter.base_unknown(number, last);
            }
            Err(why @ FleetRefusal::NoNode) => return Err(why.to_string()),
            Err(why) => {
                self.happened(NodeEvent::Refused { why: why.to_string() });
                reporter.rejected(number);
            }
        }
        Ok(())
    }

    /// The coordinators have its report with that list.
    fn reported(&self, ready: bool, list: u64) {
        let mut is_new = false;
        self.shared.update(self.plan.number, |state| {
            is_new = state.reported != list;
            (state.ready, state.reported) = (ready, list);
        });
        if is_new {
            self.happened(NodeEvent::Reported { list });
        }
    }

    /// Counts once each time that a renewal is late by half of the session's time.
    fn look(&self, session: &Session<LinkNet>) {
        let in_danger = session.renewal_failing();
        if in_danger && !self.in_danger.get() {
            self.happened(NodeEvent::InDanger);
        }
        self.in_danger.set(in_danger);
    }

    async fn ask(&self, session: &Session<LinkNet>, ask: FleetCommand) -> Result<(), String> {
        match session.fleet(ask).await.map_err(|lost| lost.to_string())? {
            Ok(_) => Ok(()),
            Err(why @ FleetRefusal::NoNode) => Err(why.to_string()),
            Err(why) => {
                self.happened(NodeEvent::Refused { why: why.to_string() });
                Ok(())
            }
        }
    }
}
