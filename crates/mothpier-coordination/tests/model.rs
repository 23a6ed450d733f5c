//! The claim that two holders never act at once, checked over every order of events within bounds, and refuted for each
//! condition that is left out.
//!
//! The pure code is the product's own: `ReplicatedState`, `SessionExpiry`, `LeaseValidity`, `FenceGuard`. Around it stand three coordinators as a log
//! whose committed part only grows (that is the consensus library's claim), a network that loses, doubles and delays,
//! clocks that run apart, pauses of any length between a check and an act, crashes and new leaders.
//!
//! `MODEL=large cargo test --release -p mothpier-coordination --test model -- --nocapture` checks the larger bounds.

use std::collections::{BTreeMap, BTreeSet};

use mothpier_coordination::{
    Answer, Command, Fence, FenceFloors, FenceGuard, FencedAction, LeaseValidity, ReplicatedState, Request,
    SessionExpiry,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

const LEASE: &str = "l";
/// A session's time: four ticks, in the ms that the pure code takes.
const TTL: u64 = 500;
const TICK: u64 = TTL / 4;
/// What a holder keeps off its end: a tick for each of the three clocks that take part.
const KEPT_OFF: u64 = 3 * TICK;
const NAMES: [&str; 3] = ["a", "b", "c"];

/// A condition that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Twin {
    /// None is: the claim itself.
    Whole,
    NoFence,
    ActWithoutItsTime,
    CountedFromTheAnswer,
    NoBoundForDrift,
    DriftBeyondTheBound,
    NewLeaderForgetsLeases,
    SnapshotWithoutFences,
    ObeysFromNothing,
    DoubledCommandTakenTwice,
    ExpiryByTheWallClock,
    OpenAgainIsNoRenewal,
    LeaderNeverExpires,
    GivesUpTooSoon,
    ObeysTwice,
}

/// A world's bounds.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    twin: Twin,
    /// Clocks run apart within the bound, and acts carry their time: nobody acts beside another, wherever. Otherwise
    /// clocks are worth nothing, holders act after any pause, and whoever obeys is protected by fences alone.
    timed: bool,
    clients: usize,
    obeyers: usize,
    ticks: u8,
    leaders: u8,
    renewals: u8,
    opens: u8,
    restarts: u8,
    /// Each kind of clock may err by so many ticks.
    errs: u8,
    /// Clients may give the lease up.
    releases: bool,
    /// A majority lives: what is due is committed within the tick, and the first client dies once it holds.
    live: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// To the leader, and when the client's clock asked it.
    Ask(usize, u64, Command),
    /// To a client, and when that was.
    Answer(usize, u64, Answer),
    /// To one that obeys.
    FencedAction(usize, usize, FencedAction),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Client {
    clock: u64,
    hold: LeaseValidity,
    opened: u8,
    open: bool,
    /// Requests sent: to hold the lease, then to give it up.
    asked: u64,
    renewals: u8,
    fence: Option<Fence>,
    /// What the clock of one that obeys said.
    told: Option<(usize, u64)>,
    acted: bool,
    released: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Listener {
    obeyer: FenceGuard,
    clock: u64,
    /// What it has obeyed last, and whose.
    obeyed: Option<(Fence, usize)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u8,
    /// Committed.
    log: Vec<Command>,
    /// The leader's state.
    agreed: ReplicatedState,
    /// How much of the log each coordinator has taken.
    taken: [usize; 3],
    leader: usize,
    led: u8,
    keeper: SessionExpiry,
    clock: u64,
    /// How often the leader's clock ran fast, and those of clients and listeners stood still.
    slips: [u8; 3],
    jumped: bool,
    /// Proposed by some leader and not committed: any later one may have it in its log.
    proposed: BTreeSet<Command>,
    clients: Vec<Client>,
    listeners: Vec<Listener>,
    restarts: u8,
    /// Messages under way, and how many copies of each.
    net: BTreeMap<Message, u8>,
    /// The last act anywhere: its fence and whose it was.
    acted: Option<(Fence, usize)>,
    beside: bool,
    undercut: bool,
    /// When the first client's session was last heard of, and when the last leader began.
    lived: u8,
    began: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Clock {
    Leader,
    Clients,
    Listeners,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// Time goes on; one clock may err meanwhile: the leader's runs fast, the others stand still.
    Tick(Option<Clock>),
    /// The next coordinator leads; it has taken all of the log, or nothing yet.
    Lead(bool),
    Take,
    Expire,
    CommitProposed(Command),
    Open(usize),
    Ask(usize),
    Renew(usize),
    Watch(usize),
    ToldClock(usize, usize),
    FencedAction(usize),
    Deliver(Message),
    Restart(usize),
    Learn(usize),
    WallClockBack(usize),
}

fn acquire() -> Request {
    Request::Acquire { lease: LEASE.into(), wait: true }
}

impl Bounds {
    /// The claim with every condition kept.
    fn new() -> Self {
        Bounds {
            twin: Twin::Whole,
            timed: true,
            clients: 2,
            obeyers: 2,
            ticks: 7,
            leaders: 1,
            renewals: 1,
            opens: 1,
            restarts: 0,
            errs: 1,
            releases: false,
            live: false,
        }
    }

    /// What a new leader makes of its part of the log: each takes it through a snapshot and back.
    fn replay(&self, log: &[Command]) -> ReplicatedState {
        let mut agreed = ReplicatedState::default();
        log.iter().for_each(|c| drop(agreed.apply(c)));
        let bytes = agreed.to_bytes();
        let mut state: serde_json::Value = serde_json::from_slice(&bytes).expect("a snapshot");
        match self.twin {
            Twin::SnapshotWithoutFences => {
                let held = agreed.leases().values().map(|l| l.fence).max().unwrap_or(0);
                state["fences"] = held.into();
            }
            Twin::NewLeaderForgetsLeases => {
                state["leases"] = serde_json::json!({});
                for name in NAMES {
                    if agreed.session(name).is_some() {
                        state["sessions"][name]["leases"] = serde_json::json!([]);
                    }
                }
            }
            _ => {}
        }
        let whole = ReplicatedState::from_bytes(state.to_string().as_bytes()).expect("a snapshot");
        assert!(whole.to_bytes() == bytes || self.twin != Twin::Whole, "not the same, byte for byte");
        whole
    }

    /// The leader takes a committed command.
    fn apply(&self, w: &mut World, command: &Command) -> Answer {
        let answer = w.agreed.apply(command);
        w.taken[w.leader] += 1;
        match (command, &answer) {
            (Command::Open { session, ttl_ms: ttl }, Answer::Opened) => {
                let renewals = w.agreed.session(session).map_or(0, |s| s.renewals);
                if renewals == 0 || self.twin != Twin::OpenAgainIsNoRenewal {
                    w.keeper.record_renewal(w.clock, session, *ttl, renewals);
                }
                if session == NAMES[0] {
                    w.lived = w.now;
                }
            }
            (Command::Renew { session }, Answer::Renewed) => {
                let (ttl, renewals) = w.agreed.session(session).map_or((TTL, 0), |s| (s.ttl_ms, s.renewals));
                w.keeper.record_renewal(w.clock, session, ttl, renewals);
                if session == NAMES[0] {
                    w.lived = w.now;
                }
            }
            (Command::Expire { session, .. } | Command::Close { session }, Answer::Closed) => {
                w.keeper.remove(session);
            }
            _ => {}
        }
        answer
    }

    fn commit(&self, w: &mut World, command: &Command) -> Answer {
        w.log.push(command.clone());
        self.apply(w, command)
    }

    /// Whether the leader has something to end that it has not ended yet.
    fn overdue(&self, w: &World) -> bool {
        !w.proposed.is_empty() || w.keeper.next_expiry().is_some_and(|at| at <= w.clock)
    }

    fn deliver(&self, w: &mut World, message: &Message) {
        match message {
            Message::Ask(client, asked, command) => {
                let mut command = command.clone();
                if let (Twin::DoubledCommandTakenTwice, Command::Ask { session, number, .. }) =
                    (self.twin, &mut command)
                {
                    // Whatever comes counts as new.
                    while matches!(
                        w.agreed.clone().apply(&Command::Ask {
                            session: session.clone(),
                            number: *number,
                            request: Request::Delete { key: "none".into(), at: None },
                        }),
                        Answer::Refused { why: mothpier_coordination::Refusal::WrongNumber { last } } if last > *number
                    ) || *number
                        <= w.log
                            .iter()
                            .filter(|c| matches!(c, Command::Ask { session: s, .. } if s == session))
                            .count() as u64
                    {
                        *number += 1;
                    }
                }
                let answer = self.commit(w, &command);
                // Sent on one connection, in this order. What it comes to the client sees by watching.
                if answer == Answer::Opened && !self.releases {
                    let session = NAMES[*client].into();
                    self.commit(w, &Command::Ask { session, number: 1, request: acquire() });
                }
                if matches!(answer, Answer::Opened | Answer::Renewed | Answer::Released) {
                    w.net.insert(Message::Answer(*client, *asked, answer), 1);
                }
            }
            Message::Answer(client, asked, answer) => {
                let c = &mut w.clients[*client];
                let counted = if self.twin == Twin::CountedFromTheAnswer { c.clock } else { *asked };
                match answer {
                    Answer::Opened => {
                        c.open = true;
                        c.asked = c.asked.max(u64::from(!self.releases));
                        c.hold.confirm_renewal(counted);
                    }
                    Answer::Renewed => c.hold.confirm_renewal(counted),
                    Answer::Released => (c.released, c.fence) = (true, None),
                    _ => {}
                }
            }
            Message::FencedAction(client, listener, act) => {
                let l = &mut w.listeners[*listener];
                let now = l.clock;
                let in_time = if self.timed && self.twin != Twin::ActWithoutItsTime {
                    l.obeyer.check_deadline(act, now)
                } else {
                    Ok(())
                };
                let fenced = if self.twin == Twin::NoFence { Ok(()) } else { l.obeyer.check_fence(act) };
                let once = self.timed && self.twin != Twin::ObeysTwice;
                let once =
                    !once || (in_time.is_ok() && fenced.is_ok() && l.obeyer.record_once(act, now).is_ok());
                if once && in_time.is_ok() && fenced.is_ok() {
                    let this = Some((act.fence, *client));
                    let other =
                        |last: Option<(Fence, usize)>| last > this && last.map(|l| l.0) != Some(act.fence);
                    let same = |last: Option<(Fence, usize)>| {
                        last.is_some_and(|(fence, whose)| fence == act.fence && whose != *client)
                    };
                    w.beside |= other(w.acted) || same(w.acted);
                    w.undercut |= other(l.obeyed) || same(l.obeyed);
                    l.obeyed = l.obeyed.max(this);
                    w.acted = w.acted.max(this);
                }
            }
        }
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let kept_off = if self.twin == Twin::NoBoundForDrift { 0 } else { KEPT_OFF };
        let client = Client {
            clock: 0,
            hold: LeaseValidity::with_guard(TTL, kept_off),
            opened: 0,
            open: false,
            asked: 0,
            renewals: 0,
            fence: None,
            told: None,
            acted: false,
            released: false,
        };
        let listener = |i: usize| {
            let mut obeyer = FenceGuard::new(format!("{i}"));
            obeyer.learn(FenceFloors::default());
            Listener { obeyer, clock: 0, obeyed: None }
        };
        // Somebody asks first, and the world's time begins there.
        let mut clients = vec![client; self.clients];
        clients[0].opened = 1;
        let open = Command::Open { session: NAMES[0].into(), ttl_ms: TTL };
        vec![World {
            now: 0,
            log: Vec::new(),
            agreed: ReplicatedState::default(),
            taken: [0; 3],
            leader: 0,
            led: 0,
            keeper: SessionExpiry::default(),
            clock: 0,
            slips: [0; 3],
            jumped: false,
            proposed: BTreeSet::new(),
            clients,
            listeners: (0..self.obeyers).map(listener).collect(),
            restarts: 0,
            net: [(Message::Ask(0, 0, open), 1)].into(),
            acted: None,
            beside: false,
            undercut: false,
            lived: 0,
            began: 0,
        }]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        let caught_up = w.taken[w.leader] == w.log.len();
        let waits = self.live && self.twin != Twin::LeaderNeverExpires && (self.overdue(w) || !caught_up);
        if w.now < self.ticks && !waits {
            steps.push(Step::Tick(None));
            if self.timed {
                let all = [Clock::Leader, Clock::Clients, Clock::Listeners];
                let may = all.into_iter().zip(w.slips).filter(|(_, slips)| *slips < self.errs);
                steps.extend(may.map(|(clock, _)| Step::Tick(Some(clock))));
            }
        }
        if w.led < self.leaders {
            steps.extend([true, false].map(Step::Lead));
        }
        if !caught_up {
            steps.push(Step::Take);
        }
        if self.twin != Twin::LeaderNeverExpires && w.keeper.next_expiry().is_some_and(|at| at <= w.clock) {
            steps.push(Step::Expire);
        }
        if caught_up {
            steps.extend(w.proposed.iter().cloned().map(Step::CommitProposed));
        }
        for message in w.net.keys() {
            if caught_up || !matches!(message, Message::Ask(..)) {
                steps.push(Step::Deliver(message.clone()));
            }
        }
        for (i, c) in w.clients.iter().enumerate() {
            // In a world that must go on the first client is dead once it holds.
            if self.live && i == 0 && c.fence.is_some() {
                continue;
            }
            if c.opened < if i == 0 { self.opens } else { 1 } {
                steps.push(Step::Open(i));
            }
            // Not while an order of its own is on its way: it would be done beside the next holder.
            let out = |(m, copies): (&Message, &u8)| matches!(m, Message::FencedAction(whose, ..) if *whose == i && *copies == 2);
            let quiet = self.twin == Twin::GivesUpTooSoon || !w.net.iter().any(out);
            let releases = self.releases && quiet && c.fence.is_some() && c.asked == 1;
            if c.open && ((c.asked == 0 && self.releases) || releases) {
                steps.push(Step::Ask(i));
            }
            if c.open && w.clients.iter().map(|c| c.renewals).sum::<u8>() < self.renewals {
                steps.push(Step::Renew(i));
            }
            let holds = w.agreed.leases().get(LEASE).is_some_and(|l| l.holder == NAMES[i]);
            if holds && c.fence.is_none() && c.asked == 1 {
                steps.push(Step::Watch(i));
            }
            if let Some(fence) = c.fence.filter(|_| !c.acted && c.asked < 2) {
                if c.told.is_none() && self.timed {
                    // Which of those who obey it is makes no difference: the first client goes to the last.
                    steps.push(Step::ToldClock(i, if i == 0 { self.obeyers - 1 } else { 0 }));
                } else if fence > 0 && (!self.timed || c.hold.remaining(c.clock).is_some()) {
                    steps.push(Step::FencedAction(i));
                }
                if self.twin == Twin::ExpiryByTheWallClock && c.clock >= 4 * TICK && !w.jumped {
                    steps.push(Step::WallClockBack(i));
                }
            }
        }
        if w.restarts < self.restarts {
            steps.extend((0..self.obeyers).map(Step::Restart));
        }
        for (j, l) in w.listeners.iter().enumerate() {
            if !l.obeyer.knows_fences() && caught_up {
                steps.push(Step::Learn(j));
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        match step {
            Step::Tick(slip) => {
                w.now += 1;
                w.clock += TICK;
                let slow = |clock| if slip == Some(clock) { 0 } else { TICK };
                match &slip {
                    None => {}
                    Some(Clock::Leader) => {
                        w.clock += TICK;
                        w.slips[0] += 1;
                    }
                    Some(Clock::Clients) => w.slips[1] += 1,
                    Some(Clock::Listeners) => w.slips[2] += 1,
                }
                w.clients.iter_mut().for_each(|c| c.clock += slow(Clock::Clients));
                w.listeners.iter_mut().for_each(|l| l.clock += slow(Clock::Listeners));
            }
            Step::Lead(whole) => {
                let next = (w.leader + 1) % 3;
                w.taken[next] = if whole { w.log.len() } else { w.taken[next] };
                w.leader = next;
                w.led += 1;
                w.began = w.now;
                w.agreed = self.replay(&w.log[..w.taken[next]]);
                let sessions: Vec<_> =
                    w.agreed.sessions().map(|(s, of)| (s.clone(), of.ttl_ms, of.renewals)).collect();
                w.keeper.start_leadership(
                    w.clock,
                    sessions.iter().map(|(s, ttl, renewals)| (s, *ttl, *renewals)),
                );
            }
            Step::Take => {
                let command = w.log[w.taken[w.leader]].clone();
                self.apply(&mut w, &command);
            }
            Step::Expire => {
                let mut due = w.keeper.take_due(w.clock, 100 * TTL);
                if self.twin == Twin::OpenAgainIsNoRenewal {
                    for command in &mut due {
                        if let Command::Expire { session, renewals } = command {
                            *renewals = w.agreed.session(session).map_or(0, |s| s.renewals);
                        }
                    }
                }
                w.proposed.extend(due);
            }
            Step::CommitProposed(command) => {
                w.proposed.remove(&command);
                self.commit(&mut w, &command);
            }
            Step::Open(i) => {
                w.clients[i].opened += 1;
                let open = Command::Open { session: NAMES[i].into(), ttl_ms: TTL };
                w.net.insert(Message::Ask(i, w.clients[i].clock, open), 1);
            }
            Step::Ask(i) => {
                w.clients[i].asked += 1;
                let number = w.clients[i].asked;
                let request = if number == 1 { acquire() } else { Request::Release { lease: LEASE.into() } };
                let ask = Command::Ask { session: NAMES[i].into(), number, request };
                // Sent twice, and both come, where a client may give up what it holds.
                let copies = if self.releases { 2 } else { 1 };
                w.net.insert(Message::Ask(i, w.clients[i].clock, ask), copies);
            }
            Step::Renew(i) => {
                w.clients[i].renewals += 1;
                let renew = Command::Renew { session: NAMES[i].into() };
                w.net.insert(Message::Ask(i, w.clients[i].clock, renew), 1);
            }
            Step::Watch(i) => {
                w.clients[i].fence = w.agreed.leases().get(LEASE).map(|l| l.fence);
            }
            Step::ToldClock(i, j) => w.clients[i].told = Some((j, w.listeners[j].clock)),
            Step::FencedAction(i) => {
                let c = &mut w.clients[i];
                c.acted = true;
                let (j, told) = c.told.unwrap_or((0, 0));
                let left = c.hold.remaining(c.clock).unwrap_or(0);
                let act = FencedAction {
                    lease: LEASE.into(),
                    fence: c.fence?,
                    clock: format!("{j}"),
                    not_after_ms: told + left,
                    number: 1,
                };
                // Doubled where a holder may give up after the first copy was answered.
                let copies = if self.releases { 2 } else { 1 };
                w.net.insert(Message::FencedAction(i, j, act), copies);
            }
            Step::Deliver(message) => {
                let copies = w.net.get_mut(&message)?;
                *copies -= 1;
                if *copies == 0 {
                    w.net.remove(&message);
                }
                self.deliver(&mut w, &message);
            }
            Step::Restart(j) => {
                w.restarts += 1;
                // A new process tells another clock: acts that count on the old one are refused by name.
                w.listeners[j].obeyer = FenceGuard::new(format!("{j}"));
            }
            Step::Learn(j) => {
                let floors = match self.twin {
                    Twin::ObeysFromNothing => FenceFloors::default(),
                    _ => w.agreed.floors(),
                };
                w.listeners[j].obeyer.learn(floors);
            }
            Step::WallClockBack(i) => {
                w.jumped = true;
                w.clients[i].clock -= 4 * TICK;
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut all = vec![
            Property::<Self>::always("a fence once obeyed is not undercut there", |_, w| !w.undercut),
            Property::<Self>::always("who has given the lease up does not hold it", |_, w| {
                let held = w.agreed.leases().get(LEASE).map(|l| l.holder.as_str());
                !w.clients.iter().enumerate().any(|(i, c)| c.released && held == Some(NAMES[i]))
            }),
            Property::<Self>::sometimes("each client acts", |b, w| {
                w.acted.is_some_and(|(fence, _)| fence >= 2) || b.clients < 2
            }),
        ];
        if self.timed {
            all.push(Property::<Self>::always("nobody acts beside another", |_, w| !w.beside));
        }
        if self.live {
            all.push(Property::<Self>::always("a live majority grants again", |_, w| {
                let lease = w.agreed.leases().get(LEASE);
                let dead = lease.is_some_and(|l| l.holder == NAMES[0] && !l.waiting.is_empty());
                // Its whole time since it was last heard, or since the last leader began, and the tick of the commit.
                !dead || w.now <= w.lived.max(w.began) + 5
            }));
        }
        all
    }
}

/// Plays all orders of events within bounds; the names of what was refuted.
fn check(what: &str, bounds: Bounds) -> Vec<&'static str> {
    let started = std::time::Instant::now();
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    // Breadth first finds the shortest refutation; depth first holds fewer states at once.
    let builder = bounds.checker().threads(threads).finish_when(HasDiscoveries::AnyFailures);
    if bounds.twin == Twin::Whole {
        told(what, bounds, &builder.spawn_dfs().join(), started)
    } else {
        told(what, bounds, &builder.spawn_bfs().join(), started)
    }
}

fn told(
    what: &str,
    bounds: Bounds,
    checker: &impl Checker<Bounds>,
    started: std::time::Instant,
) -> Vec<&'static str> {
    let found = checker.discoveries();
    let refuted: Vec<_> = found.keys().copied().filter(|n| *n != "each client acts").collect();
    println!(
        "{what}: {} states, {} of them unlike, depth {}, {:.1} s{}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
        started.elapsed().as_secs_f64(),
        refuted.iter().map(|n| format!("; refuted: {n}")).collect::<String>(),
    );
    if let Some(path) = refuted.first().map(|n| &found[n]) {
        let steps: Vec<_> = path.clone().into_actions().iter().map(|s| format!("    {s:?}")).collect();
        println!("{}", steps.join("\n"));
    }
    assert!(bounds.twin != Twin::Whole || found.contains_key("each client acts"), "{what}: nobody acts");
    refuted
}

/// Larger bounds take minutes, and are played outside CI.
fn large() -> bool {
    std::env::var("MODEL").is_ok_and(|m| m == "large")
}

const BESIDE: &str = "nobody acts beside another";
const UNDERCUT: &str = "a fence once obeyed is not undercut there";
const GIVEN_UP: &str = "who has given the lease up does not hold it";
const AGAIN: &str = "a live majority grants again";

#[test]
fn nobody_acts_beside_another_while_clocks_keep_their_bound() {
    let calm = Bounds { leaders: 0, renewals: 0, ..Bounds::new() };
    assert!(check("one leader, no renewal", Bounds { ticks: 6, ..calm }).is_empty());
    assert!(check("a second leader", Bounds { ticks: 4, leaders: 1, ..calm }).is_empty());
    if large() {
        assert!(check("given up early", Bounds { ticks: 1, releases: true, errs: 0, ..calm }).is_empty());
        assert!(check("a renewal", Bounds { ticks: 4, renewals: 1, ..calm }).is_empty());
        assert!(check("opened twice", Bounds { ticks: 4, opens: 2, ..calm }).is_empty());
        assert!(check("a second leader, longer", Bounds { ticks: 6, leaders: 1, ..calm }).is_empty());
        assert!(check("a renewal, longer", Bounds { ticks: 6, renewals: 1, ..calm }).is_empty());
        assert!(check("three leaders", Bounds { ticks: 4, leaders: 2, ..calm }).is_empty());
        assert!(check("three clients", Bounds { ticks: 4, clients: 3, ..calm }).is_empty());
    }
}

#[test]
fn fences_hold_where_clocks_are_worth_nothing() {
    let bounds = Bounds { timed: false, obeyers: 1, renewals: 0, ticks: 5, ..Bounds::new() };
    assert!(check("fences alone, a second leader", bounds).is_empty());
    assert!(check("fences alone, a restart", Bounds { restarts: 1, leaders: 0, ..bounds }).is_empty());
    if large() {
        assert!(check("fences alone, longer", Bounds { restarts: 1, ticks: 6, ..bounds }).is_empty());
    }
}

#[test]
fn a_live_majority_grants_again() {
    let bounds = Bounds { timed: false, obeyers: 1, renewals: 0, live: true, ticks: 7, ..Bounds::new() };
    assert!(check("a dead holder", Bounds { leaders: 0, ..bounds }).is_empty());
    assert!(check("a dead holder and a second leader", Bounds { ticks: 6, ..bounds }).is_empty());
}

#[test]
fn what_is_given_up_stays_given_up_though_commands_are_doubled() {
    let bounds = Bounds {
        timed: false,
        clients: 1,
        obeyers: 1,
        renewals: 0,
        leaders: 0,
        ticks: 1,
        releases: true,
        ..Bounds::new()
    };
    assert!(check("doubled commands", bounds).is_empty());
}

/// A condition that is not needed would be one that protects from nothing: without each the claim falls.
#[test]
fn without_any_one_condition_the_claim_is_refuted() {
    let calm = Bounds { leaders: 0, renewals: 0, ticks: 6, errs: 0, ..Bounds::new() };
    let untimed = Bounds { timed: false, obeyers: 1, ..calm };
    let refuted = [
        (Twin::NoFence, untimed, UNDERCUT),
        (Twin::ActWithoutItsTime, calm, BESIDE),
        (Twin::CountedFromTheAnswer, calm, BESIDE),
        (Twin::NoBoundForDrift, Bounds { errs: 1, ..calm }, BESIDE),
        (Twin::DriftBeyondTheBound, Bounds { errs: 3, ticks: 4, ..calm }, BESIDE),
        (Twin::ExpiryByTheWallClock, calm, BESIDE),
        (Twin::OpenAgainIsNoRenewal, Bounds { opens: 2, ticks: 5, ..calm }, BESIDE),
        (Twin::NewLeaderForgetsLeases, Bounds { leaders: 1, ..calm }, BESIDE),
        (Twin::SnapshotWithoutFences, Bounds { leaders: 1, ..untimed }, UNDERCUT),
        (Twin::ObeysFromNothing, Bounds { restarts: 1, ..untimed }, UNDERCUT),
        (
            Twin::DoubledCommandTakenTwice,
            Bounds { releases: true, clients: 1, ticks: 1, ..untimed },
            GIVEN_UP,
        ),
        (Twin::ObeysTwice, Bounds { releases: true, ticks: 1, ..calm }, BESIDE),
        (Twin::GivesUpTooSoon, Bounds { releases: true, ticks: 1, ..calm }, BESIDE),
        (Twin::LeaderNeverExpires, Bounds { live: true, ..untimed }, AGAIN),
    ];
    for (twin, bounds, claim) in refuted {
        let found = check(&format!("without: {twin:?}"), Bounds { twin, ..bounds });
        assert!(found.contains(&claim), "{twin:?} refutes {found:?}, not {claim:?}");
    }
}
