//! Plays a scenario: starts everything, lets it rest, lets the scenario's event happen, and measures each span.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::ValueEnum;
use mothpier_coordination::fleet::limits::{Bound, Limits};
use mothpier_coordination::fleet::messages::{Listed, Stage, Subject};
use mothpier_coordination_client::Client;
use mothpier_net::Tokio;

use super::coordinators::{CLUSTER, Coordinators, Usage, usage};
use super::expected::counts_off;
use super::hollow::Told;
use super::judge::{Cut, Evidence, judge};
use super::observer::Observer;
use super::plan::{CUT_REGION, Plan, server};
use super::report::{FORMAT, Record, Span};
use super::shards::Shards;
use super::shared::{NodeEvent, NodeState, Shared, lock};
use super::staff::Staff;
use super::tally::{Latency, Tally};

/// Every step of a scenario comes to its end within this time, or the run is not good.
const PATIENCE: Duration = Duration::from_secs(60);
/// Once a step has not, the others are not waited for so long.
const PATIENCE_AFTER: Duration = Duration::from_secs(5);
const LOOK: Duration = Duration::from_millis(20);
/// After the start, before anything is measured, at most.
const SETTLE: Duration = Duration::from_secs(2);
/// Behind an event, so that what it caused is over.
const AFTER: Duration = Duration::from_secs(1);
/// Drains in a row, of cache servers and then of nodes.
pub const DRAINS_IN_A_ROW: usize = 2;
/// Drains of each kind that are asked for while the region is cut off.
const DRAINS_IN_CUT: usize = 3;
/// Places for drains beside the whole region.
const PLACES: usize = 2;
/// A cache server that comes back is cold for so long: a cold time is no figure here.
const COLD_MS: u64 = 300;
/// The first lane of addresses that trials of scale take.
const LANE: u8 = 220;

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// Nothing.
    Rest,
    /// One cache server leaves the list of all nodes.
    ServerLeaves,
    /// Drains of cache servers and nodes, from the request to out and back.
    Drain,
    /// A region is cut off, drains are asked for, a coordinator is killed, and the region returns.
    RegionCut,
}

impl Scenario {
    /// Its name in records.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Rest => "rest",
            Scenario::ServerLeaves => "server-leaves",
            Scenario::Drain => "drain",
            Scenario::RegionCut => "region-cut",
        }
    }
}

/// How a trial is played beside its plan.
#[derive(Clone, Debug)]
pub struct How<'a> {
    /// Where the programs are.
    pub programs: &'a Path,
    /// Where the coordinators keep their stores and logs.
    pub folder: &'a Path,
    /// Coordinators.
    pub members: usize,
    /// A node's session time.
    pub ttl: Duration,
    /// Threads of the hollow nodes.
    pub threads: usize,
    /// How long the rest is measured.
    pub rest: Duration,
    /// The commit that records name.
    pub commit: &'a str,
    /// Its place among trials that run at once.
    pub lane: u8,
}

/// What was used up to a moment.
struct Mark {
    at: Instant,
    coordinators: Vec<Usage>,
    hollow: Usage,
    log_lines: u64,
}

/// A trial under way.
struct Trial {
    plan: Plan,
    shared: Arc<Shared>,
    coordinators: Coordinators,
    client: Rc<Client<Tokio>>,
    observer: Rc<Observer>,
    staff: Staff,
    steps: RefCell<BTreeMap<String, Vec<f64>>>,
    unfinished: RefCell<Vec<String>>,
    cut: Cell<Option<Cut>>,
}

fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}

/// What was used between two moments; memory and store are those of the second.
fn used(before: &Usage, after: &Usage) -> Usage {
    Usage {
        cpu_s: ((after.cpu_s - before.cpu_s) * 1000.0).round() / 1000.0,
        file_bytes: after.file_bytes.saturating_sub(before.file_bytes),
        ..after.clone()
    }
}

impl Trial {
    async fn mark(&self) -> Result<Mark, String> {
        let (_, log_lines) = self.coordinators.leader(&self.client).await?;
        Ok(Mark {
            at: Instant::now(),
            coordinators: self.coordinators.usages(),
            hollow: usage(std::process::id()),
            log_lines,
        })
    }

    /// What was used and counted since a moment; counting begins anew.
    async fn span_since(&self, before: &Mark) -> Result<(Span, Mark), String> {
        let after = self.mark().await?;
        let tally = std::mem::take(&mut *lock(&self.shared.tally));
        Ok((span(before, &after, &tally), after))
    }

    /// How long the next step is waited for.
    fn patience(&self) -> Duration {
        if self.unfinished.borrow().is_empty() { PATIENCE } else { PATIENCE_AFTER }
    }

    /// Waits until all of these nodes are so; whether they were in time.
    async fn all(&self, what: &str, nodes: &[usize], is: impl Fn(&NodeState) -> bool) -> bool {
        let until = Instant::now() + self.patience();
        loop {
            let lacking = self.shared.lacking(nodes.iter().copied(), &is);
            if lacking == 0 {
                return true;
            }
            if Instant::now() >= until {
                self.unfinished.borrow_mut().push(format!("{what}: not at {lacking} of {}", nodes.len()));
                return false;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Waits until something is known; `None` where it is not in time.
    async fn until<T>(&self, what: &str, mut find: impl FnMut() -> Option<T>) -> Option<T> {
        let until = Instant::now() + self.patience();
        loop {
            if let Some(found) = find() {
                return Some(found);
            }
            if Instant::now() >= until {
                self.unfinished.borrow_mut().push(what.to_owned());
                return None;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    fn took(&self, step: &str, span: Duration) {
        self.steps.borrow_mut().entry(step.to_owned()).or_default().push(ms(span));
    }

    /// Notes how long after a moment each node did something.
    fn took_at_nodes(&self, step: &str, since: Instant, is: impl Fn(&NodeEvent) -> bool) {
        let events = lock(&self.shared.events);
        let of_step = events.iter().filter(|event| event.at >= since && is(&event.what));
        of_step.for_each(|event| self.took(step, event.at - since));
    }

    fn everybody(&self) -> Vec<usize> {
        (0..self.plan.size.nodes).collect()
    }

    async fn server_leaves(&self) {
        let mut servers = self.plan.servers();
        servers.pop();
        let began = Instant::now();
        let list = self.shared.tell(servers);
        self.all("the shorter list is reported", &self.everybody(), |s| s.reported >= list).await;
        let reported = |what: &NodeEvent| matches!(what, NodeEvent::Reported { list: l } if *l == list);
        self.took_at_nodes("change_to_report_answered", began, reported);
    }

    /// Asks for a drain and waits until it is out.
    async fn goes_out(&self, subject: Subject) -> Result<(), String> {
        let began = Instant::now();
        let drain = self.staff.drain(subject.clone()).await?;
        self.took("drain_request_to_answer", began.elapsed());
        let granted = self.until("a drain is granted", || self.observer.reached(drain, Stage::Leaving)).await;
        granted.into_iter().for_each(|at| self.took("drain_request_to_granted", at.duration_since(began)));
        let out = self.until("a drain is out", || self.observer.reached(drain, Stage::Out)).await;
        out.into_iter().for_each(|at| self.took("drain_request_to_out", at.duration_since(began)));
        let effect = |what: &NodeEvent| matches!(what, NodeEvent::Effect { server, out: true } if *server == subject.id);
        self.took_at_nodes("drain_request_to_effect_at_node", began, effect);
        Ok(())
    }

    /// The drains that have not ended.
    async fn drains(&self) -> Result<Vec<(u64, Subject, Stage)>, String> {
        let all = self.client.drains(Instant::now() + PATIENCE).await?;
        Ok(all.drains.into_iter().map(|told| (told.drain, told.subject, told.stage)).collect())
    }

    /// Asks back all that is out, and waits until all drains have ended.
    async fn all_come_back(&self) -> Result<(), String> {
        let mut asked = Vec::new();
        for (drain, subject, _) in self.drains().await? {
            let began = Instant::now();
            self.staff.back(subject).await?;
            asked.push((drain, began));
        }
        for (drain, began) in asked {
            let ended = self.until("a drain has ended", || self.observer.ended(drain)).await;
            ended.into_iter().for_each(|at| self.took("back_request_to_ended", at.duration_since(began)));
        }
        Ok(())
    }

    async fn drain(&self) -> Result<(), String> {
        self.observer.read().await?;
        for number in 0..DRAINS_IN_A_ROW {
            self.goes_out(Subject::server(&server(self.plan.size.servers - 1 - number))).await?;
            self.all_come_back().await?;
        }
        for number in 0..DRAINS_IN_A_ROW {
            let node = &self.plan.nodes[self.plan.size.nodes - 1 - number];
            self.goes_out(Subject::node(&node.name)).await?;
            self.all_come_back().await?;
        }
        Ok(())
    }

    /// Cache servers and nodes outside of the cut region, from the last on.
    fn outside(&self, place: usize) -> [Subject; 2] {
        let node = &self.plan.nodes[self.plan.size.nodes - 1 - place];
        [Subject::server(&server(self.plan.size.servers - 1 - place)), Subject::node(&node.name)]
    }

    /// Waits until the coordinators know no session of the region any more.
    async fn region_is_dead(&self) -> Result<(), String> {
        // The staff's session lives, too.
        let living = self.plan.size.nodes - self.plan.size.region_nodes + 1;
        let until = Instant::now() + self.patience();
        loop {
            let (leader, _) = self.coordinators.leader(&self.client).await?;
            let statuses = self.client.statuses(until).await;
            if statuses.get(leader).is_some_and(|s| s.as_ref().is_ok_and(|s| s.sessions <= living)) {
                return Ok(());
            }
            if Instant::now() >= until {
                self.unfinished.borrow_mut().push("the region's sessions do not end".into());
                return Ok(());
            }
            tokio::time::sleep(10 * LOOK).await;
        }
    }

    /// Kills a member, and starts it again after the plan's time.
    async fn member_dies(&self) -> Result<(), String> {
        let (leader, _) = self.coordinators.leader(&self.client).await?;
        let members = self.coordinators.at.len();
        let place = if self.plan.kills_leader { leader } else { (leader + 1) % members };
        self.coordinators.kill(place).await;
        tokio::time::sleep(Duration::from_millis(self.plan.killed_ms)).await;
        self.coordinators.start_again(place)
    }

    /// Waits until the coordinators' state shows all nodes alive and all lists whole.
    async fn agreed_again(&self) -> Result<(), String> {
        let until = Instant::now() + self.patience();
        loop {
            let fleet = self.observer.read().await?;
            let whole = |node: &mothpier_coordination::fleet::Node| {
                node.session.is_some() && node.lists && node.unlisted.is_empty()
            };
            if fleet.nodes.values().all(whole) {
                return Ok(());
            }
            if Instant::now() >= until {
                self.unfinished.borrow_mut().push("the agreed fleet is not whole again".into());
                return Ok(());
            }
            tokio::time::sleep(10 * LOOK).await;
        }
    }

    async fn region_cut(&self) -> Result<(), String> {
        for subject in self.outside(0) {
            self.goes_out(subject).await?;
        }
        self.observer.read().await?;
        let from = Instant::now();
        self.shared.cut(CUT_REGION, true);
        let rest: Vec<Listed> = self.plan.servers().split_off(self.plan.size.region_servers);
        let list = self.shared.tell(rest);
        let staying: Vec<usize> = self.plan.nodes_in_cut(false).collect();
        self.all("the list without the region is reported", &staying, |s| s.reported >= list).await;
        self.region_is_dead().await?;
        self.took("cut_to_region_dead", from.elapsed());
        self.observer.read().await?;
        let mut asked = Vec::new();
        for place in 1..=DRAINS_IN_CUT {
            for subject in self.outside(place) {
                asked.push(self.staff.drain(subject).await?);
            }
        }
        self.member_dies().await?;
        self.coordinators.leader(&self.client).await?;
        tokio::time::sleep(AFTER).await;
        self.observer.read().await?;
        self.region_returns(from, asked).await
    }

    async fn region_returns(&self, from: Instant, asked: Vec<u64>) -> Result<(), String> {
        let (list, back) = (self.shared.tell(self.plan.servers()), Instant::now());
        self.shared.cut(CUT_REGION, false);
        self.cut.set(Some(Cut { nodes: self.plan.size.region_nodes, from, to: back }));
        let whole = |s: &NodeState| s.knows && s.joined && s.reported >= list;
        self.all("everybody has reported the whole list", &self.everybody(), whole).await;
        self.took("return_to_all_reported", back.elapsed());
        let reported = |what: &NodeEvent| matches!(what, NodeEvent::Reported { list: l } if *l == list);
        self.took_at_nodes("return_to_report_answered", back, reported);
        self.agreed_again().await?;
        self.took("return_to_agreed", back.elapsed());
        for drain in asked {
            let out =
                self.until("a drain that waited is out", || self.observer.reached(drain, Stage::Out)).await;
            out.into_iter().for_each(|at| self.took("return_to_waiting_drain_out", at.duration_since(back)));
        }
        self.all_come_back().await
    }

    fn limits(&self) -> Limits {
        let bound = |region: usize| Bound {
            out_most: (region + PLACES) as u32,
            out_percent: None,
            zone_out_most: None,
            ready_fewest: 1,
            zone_ready_fewest: 0,
        };
        Limits {
            nodes: bound(self.plan.size.region_nodes),
            servers: bound(self.plan.size.region_servers),
            cold_most: 1 + DRAINS_IN_CUT as u32,
            cold_ms: COLD_MS,
            refused_percent: None,
            calm_ms: None,
        }
    }

    fn evidence(&self) -> Evidence {
        let heard = self.observer.heard.borrow();
        let mut unfinished = self.unfinished.borrow().clone();
        unfinished.extend(self.coordinators.ended());
        Evidence {
            events: lock(&self.shared.events).clone(),
            changes: heard.iter().map(|heard| (heard.revision, heard.change.clone())).collect(),
            gaps: *self.observer.gaps.borrow(),
            readings: self.observer.readings.borrow().clone(),
            cut: self.cut.get(),
            unfinished,
        }
    }
}

fn span(before: &Mark, after: &Mark, tally: &Tally) -> Span {
    let pairs = before.coordinators.iter().zip(&after.coordinators);
    Span {
        seconds: after.at.duration_since(before.at).as_secs_f64(),
        coordinators: pairs.map(|(b, a)| used(b, a)).collect(),
        hollow: used(&before.hollow, &after.hollow),
        log_lines: after.log_lines.saturating_sub(before.log_lines),
        calls: tally.counts(),
        call_latency: tally.latencies(),
        refused_connections: tally.refused_connections,
    }
}

/// Processor time beyond what a rest of the same length costs: of all coordinators, and of the one that cost most.
fn beyond_rest(rest: &Span, event: &Span) -> (f64, f64) {
    let part = event.seconds / rest.seconds.max(f64::EPSILON);
    let beyond = |(r, e): (&Usage, &Usage)| e.cpu_s - r.cpu_s * part;
    let each: Vec<f64> = rest.coordinators.iter().zip(&event.coordinators).map(beyond).collect();
    (each.iter().sum(), each.into_iter().fold(f64::MIN, f64::max))
}

/// Plays a scenario by a plan.
///
/// # Errors
///
/// What keeps it from being played; what goes wrong while it is played is in the record.
pub async fn play(scenario: Scenario, plan: Plan, how: &How<'_>) -> Result<Record, String> {
    let nothing = Mark {
        at: Instant::now(),
        coordinators: vec![Usage::default(); how.members],
        hollow: usage(std::process::id()),
        log_lines: 0,
    };
    let coordinators = Coordinators::start(how.programs, how.folder, how.members, LANE + how.lane)?;
    let client = coordinators.client()?;
    coordinators.leader(&client).await?;
    let size = plan.size;
    let shared = Shared::new(size.nodes, super::plan::REGIONS, plan.servers());
    let told = Told { cluster: CLUSTER.into(), coordinators: coordinators.at.clone(), ttl: how.ttl };
    let shards = Shards::start(&plan.nodes, &told, &shared, how.threads)?;
    let trial = Trial {
        observer: Observer::start(coordinators.client()?).await?,
        staff: Staff::start(coordinators.client()?).await?,
        plan,
        shared,
        coordinators,
        client,
        steps: RefCell::default(),
        unfinished: RefCell::default(),
        cut: Cell::new(None),
    };
    let ready = |s: &NodeState| s.ready && s.joined && s.reported > 0;
    trial.all("all nodes have joined and reported", &trial.everybody(), ready).await;
    let (start, _) = trial.span_since(&nothing).await?;
    trial.staff.limits(trial.limits()).await?;
    trial.observer.read().await?;
    tokio::time::sleep(SETTLE.min(how.rest)).await;
    // What settled counts to neither span.
    let (_, before) = trial.span_since(&nothing).await?;
    tokio::time::sleep(how.rest).await;
    let (rest, before) = trial.span_since(&before).await?;
    let (leader, _) = trial.coordinators.leader(&trial.client).await?;
    let played = match scenario {
        Scenario::Rest => Ok(()),
        Scenario::ServerLeaves => {
            trial.server_leaves().await;
            Ok(())
        }
        Scenario::Drain => trial.drain().await,
        Scenario::RegionCut => trial.region_cut().await,
    };
    // What staff were refused is a fault of the run, and the record tells what came before.
    played.unwrap_or_else(|why| trial.unfinished.borrow_mut().push(why));
    let event = match scenario {
        Scenario::Rest => None,
        _ => {
            tokio::time::sleep(AFTER).await;
            Some(trial.span_since(&before).await?.0)
        }
    };
    let read = trial.observer.read().await;
    read.err().into_iter().for_each(|why| trial.unfinished.borrow_mut().push(why));
    let evidence = trial.evidence();
    shards.end()?;
    let mut verdict = judge(&evidence);
    verdict.counts_off = counts_off(scenario, size.nodes, &rest, event.as_ref());
    let beyond = event.as_ref().map(|event| beyond_rest(&rest, event));
    let steps = trial.steps.take();
    let count = |is: &dyn Fn(&super::shared::Event) -> bool| evidence.events.iter().filter(|e| is(e)).count();
    let mut refused: BTreeMap<String, u64> = BTreeMap::new();
    for event in &evidence.events {
        if let NodeEvent::Refused { why } = &event.what {
            *refused.entry(why.clone()).or_default() += 1;
        }
    }
    let in_cut = |node: usize| evidence.cut.is_some_and(|cut| node < cut.nodes);
    Ok(Record {
        format: FORMAT,
        scenario: scenario.name().into(),
        seed: trial.plan.seed,
        commit: how.commit.into(),
        nodes: size.nodes,
        servers: size.servers,
        members: how.members,
        region_nodes: size.region_nodes,
        region_servers: size.region_servers,
        ttl_ms: how.ttl.as_millis() as u64,
        starts_per_s: size.starts_per_s,
        threads: how.threads,
        leader: leader + 1,
        start,
        rest,
        event,
        event_cpu_s: beyond.map(|(all, _)| all),
        event_cpu_most_s: beyond.map(|(_, most)| most),
        steps: steps.into_iter().map(|(step, all)| (step, Latency::of(all))).collect(),
        sessions_ended: count(&|e| matches!(e.what, NodeEvent::SessionLost { .. })),
        renewals_late: count(&|e| matches!(e.what, NodeEvent::InDanger) && !in_cut(e.node)),
        watches_lost: count(&|e| matches!(e.what, NodeEvent::WatchLost)),
        refused,
        halts: {
            let halted = mothpier_coordination::fleet::messages::FleetChange::Halted { halted: true };
            evidence.changes.iter().filter(|(_, change)| *change == halted).count()
        },
        verdict,
    })
}
