//! Random legal event sequences (a fixed seed), and the rules that events and actions alone can show.
#![allow(missing_docs)]

mod common;

use std::collections::BTreeMap;

use brassrouter::*;
use common::{ORIGIN_KIND, pop_due_timer};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Ask { class: usize, tenant: usize, key: Key, write: bool, budget: u64 },
    End { which: usize, status: usize },
    Begin { which: usize },
    Leave { which: usize },
    List { which: usize, condition: u8, restarted: bool },
    Whole { mask: u32 },
    Lost,
    Peer { from: u32, bytes: Vec<u8> },
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let ask = (0..3usize, 0..3usize, 0..12u64, any::<bool>(), 0..900_000u64);
    prop_oneof![
        6 => (0..60_000u64).prop_map(Step::Wait),
        1 => (0..3_000_000u64).prop_map(Step::Wait),
        10 => ask.prop_map(|(class, tenant, key, write, budget)| Step::Ask { class, tenant, key, write, budget }),
        10 => (any::<usize>(), 0..10usize).prop_map(|(which, status)| Step::End { which, status }),
        1 => any::<usize>().prop_map(|which| Step::Begin { which }),
        1 => any::<usize>().prop_map(|which| Step::Leave { which }),
        2 => (any::<usize>(), 0..3u8, any::<bool>())
            .prop_map(|(which, condition, restarted)| Step::List { which, condition, restarted }),
        1 => any::<u32>().prop_map(|mask| Step::Whole { mask }),
        1 => Just(Step::Lost),
        1 => (0..4u32, proptest::collection::vec(any::<u8>(), 0..40)).prop_map(|(from, bytes)| Step::Peer { from, bytes }),
        1 => Just(Step::Restart),
    ]
}

fn config() -> impl Strategy<Value = Settings> {
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    let rules = (any::<bool>(), 0..3u8, any::<bool>());
    (flags, 1..5u32, 1..5u32, 0..4usize, 0..3u8, 0.0..1.0f64, rules).prop_map(
        |(
            (aside, duplicate, ask, peers, sizes),
            max_attempts,
            balancers,
            tenants,
            scope,
            cold_share,
            (cancel, bound, close),
        )| {
            let scope = [DedupScope::All, DedupScope::Zone, DedupScope::Cell][usize::from(scope)];
            let class = |effect| Class {
                target_latency: 200_000,
                deadline: 900_000,
                effect,
                only_zones: (bound == 1).then(|| vec![1]),
                only_kinds: (bound == 2).then(|| vec![0]),
                ..Class::default()
            };
            Settings {
                balancers,
                classes: vec![
                    class(Effect::Safe),
                    class(Effect::Keyed { scope, window: 300_000 }),
                    class(Effect::Unsafe),
                ],
                tenants: vec![Tenant { quota_per_s: 5.0 }; tenants],
                pull_discovery: ask,
                change_notice_limit: 1_000_000,
                origin_kind: aside.then_some(ORIGIN_KIND),
                weights_are_capacities: sizes,
                max_attempts,
                may_duplicate: duplicate,
                may_cancel: cancel,
                drain_close_limit: close.then_some(400_000),
                may_message_peers: peers,
                cold_share,
                warm_up: 2_000_000,
                ..Settings::default()
            }
        },
    )
}

struct Owed {
    class: usize,
    ends: u64,
    sent: Vec<Attempt>,
}

#[derive(Clone)]
struct Attempt {
    server: ServerId,
    at: u64,
    out: bool,
    may_have_run: bool,
}

/// The world around one balancer: it knows what was promised and checks every action against it.
struct World {
    settings: Settings,
    policy: Policy,
    now: u64,
    next: RequestId,
    lines: BTreeMap<ServerId, ServerEntry>,
    owed: BTreeMap<RequestId, Owed>,
    /// Attempts out: request, number, server.
    out: Vec<(RequestId, u16, ServerId)>,
    timers: Vec<u64>,
    /// By when idle connections to a draining server must have been closed.
    to_close: BTreeMap<ServerId, u64>,
    /// By when a balancer without a subscription must have asked for the list.
    ask_by: Option<u64>,
    log: Vec<Action>,
}

impl World {
    fn new(settings: Settings) -> Self {
        let policy = Policy::new(settings.clone(), 3);
        let line = |id: ServerId| ServerEntry {
            id,
            zone: (id % 2) as u8,
            cell: (id % 3) as u16,
            kind: if id >= 6 { ORIGIN_KIND } else { 0 },
            weight: id as f32,
            ..ServerEntry::default()
        };
        let mut world = World {
            settings,
            policy,
            now: 50_000_000,
            next: 0,
            lines: (0..8).map(|id| (id, line(id))).collect(),
            owed: BTreeMap::new(),
            out: Vec::new(),
            timers: Vec::new(),
            to_close: BTreeMap::new(),
            ask_by: None,
            log: Vec::new(),
        };
        world.hear(ListKind::Cached);
        world
    }

    fn hear(&mut self, kind: ListKind) {
        let servers = self.lines.values().filter(|l| l.condition != Condition::Gone).cloned().collect();
        self.event(Event::ServerList { kind, servers });
    }

    fn event(&mut self, event: Event) {
        self.note_drains(&event);
        if let Event::ServerList { kind, .. } = &event {
            let unsubscribed =
                matches!(kind, ListKind::Cached | ListKind::Failed) && self.settings.pull_discovery;
            self.ask_by = unsubscribed.then_some(self.now + self.settings.change_notice_limit);
        }
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.log.extend(actions);
    }

    /// The rule on closing: from a notice, and from the last outcome at a server known to drain.
    fn note_drains(&mut self, event: &Event) {
        let Some(close) = self.settings.drain_close_limit else { return };
        let told: Vec<ServerId> = match event {
            Event::ServerList { servers, .. } => {
                servers.iter().filter(|l| l.condition == Condition::Draining).map(|l| l.id).collect()
            }
            Event::Outcome(o) => vec![o.server],
            _ => return,
        };
        for id in told.into_iter().filter(|id| self.lines[id].condition == Condition::Draining) {
            self.to_close.insert(id, self.now + close);
        }
    }

    fn check_closed(&self) {
        let late = self.to_close.iter().find(|(_, due)| **due < self.now);
        assert!(self.ask_by.is_none_or(|by| self.now <= by), "neither subscribed nor asked in time");
        assert!(late.is_none(), "idle connections to a draining server are still open: {late:?}");
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send { request, server, .. } => {
                let owed = self.owed.get(request).expect("a send for a request that has ended");
                let line = &self.lines[server];
                assert_eq!(line.condition, Condition::Ready, "a send to a draining or gone server");
                let class = &self.settings.classes[owed.class];
                let open = class.only_zones.as_ref().is_none_or(|z| z.contains(&line.zone))
                    && class.only_kinds.as_ref().is_none_or(|k| k.contains(&line.kind));
                let origin = self.settings.origin_kind == Some(line.kind);
                assert!(open || origin, "a send to a server that is not open to the class");
                assert!(owed.sent.len() < self.settings.max_attempts as usize, "too many attempts");
                assert!(self.now < owed.ends, "a send after the request's time");
                assert!(self.settings.may_duplicate || owed.sent.iter().all(|a| !a.out), "two copies out");
                let running: Vec<_> = owed.sent.iter().filter(|a| a.may_have_run).collect();
                match self.settings.classes[owed.class].effect {
                    Effect::Safe => {}
                    Effect::Unsafe => assert!(running.is_empty(), "an unsafe request sent twice"),
                    Effect::Keyed { scope, window } => {
                        for a in running {
                            let first = &self.lines[&a.server];
                            let same = match scope {
                                DedupScope::All => true,
                                DedupScope::Zone => first.zone == line.zone,
                                DedupScope::Cell => first.cell == line.cell,
                            };
                            assert!(same && self.now < a.at + window, "a keyed request outside its group");
                        }
                    }
                }
                let attempt = Attempt { server: *server, at: self.now, out: true, may_have_run: true };
                let owed = self.owed.get_mut(request).unwrap();
                self.out.push((*request, owed.sent.len() as u16, *server));
                owed.sent.push(attempt);
            }
            Action::Refuse { request, .. } => {
                let owed = self.owed.remove(request).expect("a second final answer");
                let safe = self.settings.classes[owed.class].effect == Effect::Safe;
                assert!(safe || owed.sent.iter().all(|a| !a.may_have_run), "a refusal of what may have run");
            }
            Action::Fail(request) => {
                self.owed.remove(request).expect("a second final answer");
            }
            Action::Timer { after, .. } => self.timers.push(self.now + (*after).max(1)),
            Action::SendToPeer { bytes, .. } => {
                assert!(self.settings.may_message_peers && bytes.len() <= 256)
            }
            Action::Cancel { request, attempt } => {
                assert!(self.settings.may_cancel, "a cancel where none is allowed");
                let known = self.out.iter().any(|(r, a, _)| r == request && a == attempt);
                assert!(known, "a cancel of an attempt that is not out");
            }
            Action::CloseIdle(server) => drop(self.to_close.remove(server)),
            Action::Subscribe(true) => self.ask_by = Some(self.now + self.settings.change_notice_limit),
            Action::Probe(_) => panic!("not allowed here"),
            _ => {}
        }
    }

    fn pass(&mut self, time: u64) {
        let end = self.now + time;
        while let Some(due) = pop_due_timer(&mut self.timers, end) {
            self.now = due;
            self.check_closed();
            self.event(Event::Timer(0));
            let now = self.now;
            assert!(self.owed.values().all(|o| now < o.ends), "a request without an answer at its end");
        }
        self.now = end;
        self.check_closed();
        let now = self.now;
        assert!(self.owed.values().all(|o| now <= o.ends), "a request without an answer at its end");
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Wait(time) => self.pass(*time),
            Step::Ask { class, tenant, key, write, budget } => {
                let tenant = tenant % self.settings.tenants.len().max(1);
                let request = Request {
                    id: self.next,
                    class: *class,
                    tenant,
                    key: *key,
                    write: *write,
                    time_left: *budget,
                    ..Request::default()
                };
                let owed = Owed { class: *class, ends: self.now + budget, sent: Vec::new() };
                self.owed.insert(self.next, owed);
                self.next += 1;
                self.event(Event::Request(request));
            }
            Step::End { which, status } if !self.out.is_empty() => {
                let (request, attempt, server) = self.out.swap_remove(which % self.out.len());
                let status = [
                    Status::Served,
                    Status::Miss,
                    Status::Error,
                    Status::Full,
                    Status::TimedOut,
                    Status::ConnectFailed,
                    Status::Reset,
                    Status::Served,
                    Status::Miss,
                    Status::Cancelled,
                ][*status];
                if let Some(owed) = self.owed.get_mut(&request) {
                    let a = &mut owed.sent[usize::from(attempt)];
                    a.out = false;
                    a.may_have_run &= !status.proves_not_run();
                }
                if status == Status::Served {
                    self.owed.remove(&request);
                }
                let over = !self.owed.contains_key(&request);
                let (note, load) = (CacheLookup::None, Load::default());
                self.event(Event::Outcome(Outcome {
                    request,
                    attempt,
                    server,
                    status,
                    request_finished: over,
                    lookup: note,
                    elapsed: 1,
                    load,
                }));
            }
            Step::Begin { which } if !self.out.is_empty() => {
                let (request, attempt, _) = self.out[which % self.out.len()];
                self.owed.remove(&request);
                self.event(Event::AnswerStarted { request, attempt });
            }
            Step::Leave { which } if !self.owed.is_empty() => {
                let id = *self.owed.keys().nth(which % self.owed.len()).unwrap();
                self.owed.remove(&id);
                self.event(Event::ClientGone(id));
            }
            Step::List { which, condition, restarted } => {
                let id = (which % self.lines.len()) as ServerId;
                let line = self.lines.get_mut(&id).unwrap();
                line.condition =
                    [Condition::Ready, Condition::Draining, Condition::Gone][usize::from(*condition)];
                line.started = if *restarted { self.now } else { line.started };
                let servers = vec![line.clone()];
                self.event(Event::ServerList { kind: ListKind::Delta, servers });
            }
            Step::Whole { mask } => {
                for (id, line) in &mut self.lines {
                    let there = mask >> id & 1 == 1;
                    line.condition = if there { Condition::Ready } else { Condition::Gone };
                }
                self.hear(ListKind::Full);
            }
            Step::Lost => self.event(Event::ServerList { kind: ListKind::Failed, servers: Vec::new() }),
            Step::Peer { from, bytes } => {
                self.event(Event::PeerMessage { from: *from, bytes: bytes.clone() });
            }
            Step::Restart => {
                self.policy = Policy::new(self.settings.clone(), 4);
                self.owed.clear();
                self.out.clear();
                self.timers.clear();
                self.to_close.clear();
                self.hear(ListKind::Cached);
            }
            _ => {}
        }
    }
}

#[test]
fn the_rules_hold_over_random_events_and_the_same_events_give_the_same_actions() {
    let config_of_runs = Config { cases: 400, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config_of_runs, rng);
    let strategy = (config(), proptest::collection::vec(step(), 1..150));
    let result = runner.run(&strategy, |(settings, steps)| {
        let play = || {
            let mut world = World::new(settings.clone());
            steps.iter().for_each(|s| world.step(s));
            world.pass(2_000_000);
            assert!(world.owed.is_empty(), "everything is answered in the end");
            world.log
        };
        prop_assert_eq!(play(), play());
        Ok(())
    });
    result.unwrap();
}

#[test]
fn a_cold_server_is_sent_no_more_than_its_budget_in_every_window() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let config = Config { cases: 40, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (3..9u32, 0.12..0.5f64, 10..40u64, any::<u64>());
    let result = runner.run(&strategy, |(servers, cold_share, gap_ms, seed)| {
        let settings = Settings { cold_share, origin_kind: Some(ORIGIN_KIND), ..Settings::default() };
        let (multiple, span, warm_up) =
            (settings.crash_load_multiple, settings.crash_after, settings.warm_up);
        let mut policy = Policy::new(settings, seed);
        let (mut now, mut out, mut sends) = (60_000_000, Vec::new(), Vec::new());
        let line = |id, started| ServerEntry { id, started, ..ServerEntry::default() };
        let all = (0..servers).map(|id| line(id, 0)).collect();
        policy.handle(now, Event::ServerList { kind: ListKind::Cached, servers: all }, &mut out);
        let started = now + 10_000_000;
        for id in 0..20_000_000 / (gap_ms * 1_000) {
            now += gap_ms * 1_000;
            if now >= started && now < started + gap_ms * 1_000 {
                let servers = vec![line(1, now)];
                policy.handle(now, Event::ServerList { kind: ListKind::Delta, servers }, &mut out);
            }
            out.clear();
            policy.handle(now, Event::Timer(0), &mut out);
            let request = Request { id, key: seed ^ id, time_left: 900_000, ..Request::default() };
            policy.handle(now, Event::Request(request), &mut out);
            let to = out.iter().find_map(|a| match a {
                Action::Send { request, server, .. } if *request == id => Some(*server),
                _ => None,
            });
            let Some(server) = to else { continue };
            sends.extend((server == 1 && now >= started).then_some(now));
            let (status, over) = (Status::Served, true);
            let (note, load) = (CacheLookup::None, Load::default());
            let o = Outcome {
                request: id,
                attempt: 0,
                server,
                status,
                request_finished: over,
                lookup: note,
                elapsed: 1_000,
                load,
            };
            policy.handle(now, Event::Outcome(o), &mut out);
        }
        let warm = span as f64 / (gap_ms as f64 * 1e3) / f64::from(servers);
        for from in &sends {
            let count = sends.iter().filter(|t| (*from..from + span).contains(t)).count() as f64;
            let age = (from - started) as f64 / warm_up as f64;
            let capacity = (cold_share + (1.0 - cold_share) * age).min(1.0);
            // Some slack for chance, as the rule has it: no balancer is alone with a server.
            prop_assert!(count <= multiple * capacity * warm + 1.0, "{count} sends at {capacity} of {warm}");
        }
        Ok(())
    });
    result.unwrap();
}
