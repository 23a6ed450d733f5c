//! Model check that two lease holders never act at the same time, over all event orders within bounds. With
//! any one condition left out, a property must fail.
//!
//! The code under test is the real one: `ReplicatedState`, `SessionExpiry`, `LeaseValidity` and
//! `FenceGuard`. The model adds three coordinators with a log whose committed part only grows (as the
//! consensus library guarantees), a network that loses, duplicates and delays messages, clocks that drift
//! apart, pauses of any length between a check and an action, crashes and new leaders.
//!
//! `MODEL=large cargo test --release -p mothpier-coordination --test model -- --nocapture` checks larger
//! bounds.

use std::collections::{BTreeMap, BTreeSet};

use mothpier_coordination::{
    Answer, Command, Fence, FenceFloors, FenceGuard, FencedAction, LeaseValidity, ReplicatedState, Request,
    SessionExpiry,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

const LEASE: &str = "l";
/// TTL of a session in ms: four ticks.
const TTL: u64 = 500;
const TICK: u64 = TTL / 4;
/// What a holder gives up of its TTL: a tick for each of the three clocks that take part.
const GUARD: u64 = 3 * TICK;
const NAMES: [&str; 3] = ["a", "b", "c"];

/// A condition that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    /// None: the real code with all conditions.
    Unmodified,
    NoFenceCheck,
    NoDeadlineCheck,
    CountsFromAnswer,
    NoClockGuard,
    ClockErrorBeyondBound,
    NewLeaderLosesLeases,
    SnapshotLosesFences,
    AcceptsWithoutFences,
    DuplicateAppliedTwice,
    ValidityByWallClock,
    ReopenIsNoRenewal,
    LeaderNeverExpires,
    ReleasesTooEarly,
    AcceptsTwice,
}

/// The bounds of the model.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    mutation: Mutation,
    /// With timing, clocks stay within the bound and actions carry deadlines: no two holders may act at the
    /// same time anywhere. Without it, clocks are unreliable, holders act after any pause, and receivers are
    /// protected by fences alone.
    timed: bool,
    clients: usize,
    receiver_count: usize,
    ticks: u8,
    max_elections: u8,
    renewals: u8,
    opens: u8,
    restarts: u8,
    /// By how many ticks each kind of clock may be wrong.
    max_clock_errors: u8,
    /// Whether clients may release the lease.
    releases: bool,
    /// Whether a majority stays alive: what is due is committed within the tick, and the first client dies
    /// once it holds the lease.
    live: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// A command to the leader, with its send time on the client's clock.
    Request(usize, u64, Command),
    /// An answer to a client, with the send time of its command.
    Answer(usize, u64, Answer),
    /// An action of a client to a receiver.
    FencedAction(usize, usize, FencedAction),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Client {
    clock: u64,
    hold: LeaseValidity,
    opened: u8,
    open: bool,
    /// Number of requests sent: first to acquire the lease, then to release it.
    requests_sent: u64,
    renewals: u8,
    fence: Option<Fence>,
    /// A receiver, and the time that its clock showed when the client read it.
    receiver_clock: Option<(usize, u64)>,
    acted: bool,
    released: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Receiver {
    guard: FenceGuard,
    clock: u64,
    /// Fence and client of the last accepted action.
    last_accepted: Option<(Fence, usize)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u8,
    /// The committed log.
    log: Vec<Command>,
    /// The state of the leader.
    state: ReplicatedState,
    /// Number of log entries that each coordinator has applied.
    applied: [usize; 3],
    leader: usize,
    elections: u8,
    expiry: SessionExpiry,
    clock: u64,
    /// How often the leader's clock ran fast, and how often those of the clients and of the receivers stood
    /// still.
    clock_errors: [u8; 3],
    clock_jumped: bool,
    /// Commands proposed by some leader and not committed: any later leader may have them in its log.
    proposed: BTreeSet<Command>,
    clients: Vec<Client>,
    receivers: Vec<Receiver>,
    restarts: u8,
    /// Messages in flight, with the number of copies.
    in_flight: BTreeMap<Message, u8>,
    /// Fence and client of the last action accepted anywhere.
    acted: Option<(Fence, usize)>,
    overlapped: bool,
    fence_undercut: bool,
    /// When the first client's session was last renewed, and when the last leader started.
    last_renewed_at: u8,
    leader_since: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Clock {
    Leader,
    Clients,
    Receivers,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// Time advances. One kind of clock may be wrong: the leader's runs fast, the others stand still.
    Tick(Option<Clock>),
    /// The next coordinator becomes leader, with all of the log applied or with what it had applied before.
    ElectNext(bool),
    ApplyNext,
    Expire,
    CommitProposed(Command),
    Open(usize),
    SendRequest(usize),
    Renew(usize),
    Watch(usize),
    ReadClock(usize, usize),
    SendAction(usize),
    Deliver(Message),
    Restart(usize),
    Learn(usize),
    WallClockBack(usize),
}

fn acquire() -> Request {
    Request::Acquire { lease: LEASE.into(), wait: true }
}

impl Bounds {
    /// The bounds with no condition left out.
    fn new() -> Self {
        Bounds {
            mutation: Mutation::Unmodified,
            timed: true,
            clients: 2,
            receiver_count: 2,
            ticks: 7,
            max_elections: 1,
            renewals: 1,
            opens: 1,
            restarts: 0,
            max_clock_errors: 1,
            releases: false,
            live: false,
        }
    }

    /// Rebuilds the state of a new leader from its part of the log, through a snapshot.
    fn replay(&self, log: &[Command]) -> ReplicatedState {
        let mut state = ReplicatedState::default();
        log.iter().for_each(|c| drop(state.apply(c)));
        let bytes = state.to_bytes();
        let mut snapshot: serde_json::Value = serde_json::from_slice(&bytes).expect("a snapshot");
        match self.mutation {
            Mutation::SnapshotLosesFences => {
                let held = state.leases().values().map(|l| l.fence).max().unwrap_or(0);
                snapshot["fences"] = held.into();
            }
            Mutation::NewLeaderLosesLeases => {
                snapshot["leases"] = serde_json::json!({});
                for name in NAMES {
                    if state.session(name).is_some() {
                        snapshot["sessions"][name]["leases"] = serde_json::json!([]);
                    }
                }
            }
            _ => {}
        }
        let restored = ReplicatedState::from_bytes(snapshot.to_string().as_bytes()).expect("a snapshot");
        assert!(
            restored.to_bytes() == bytes || self.mutation != Mutation::Unmodified,
            "the snapshot does not round-trip byte for byte"
        );
        restored
    }

    /// Lets the leader apply a committed command.
    fn apply(&self, world: &mut World, command: &Command) -> Answer {
        let answer = world.state.apply(command);
        world.applied[world.leader] += 1;
        match (command, &answer) {
            (Command::Open { session, ttl_ms: ttl }, Answer::Opened) => {
                let renewals = world.state.session(session).map_or(0, |s| s.renewals);
                if renewals == 0 || self.mutation != Mutation::ReopenIsNoRenewal {
                    world.expiry.record_renewal(world.clock, session, *ttl, renewals);
                }
                if session == NAMES[0] {
                    world.last_renewed_at = world.now;
                }
            }
            (Command::Renew { session }, Answer::Renewed) => {
                let (ttl, renewals) =
                    world.state.session(session).map_or((TTL, 0), |s| (s.ttl_ms, s.renewals));
                world.expiry.record_renewal(world.clock, session, ttl, renewals);
                if session == NAMES[0] {
                    world.last_renewed_at = world.now;
                }
            }
            (Command::Expire { session, .. } | Command::Close { session }, Answer::Closed) => {
                world.expiry.remove(session);
            }
            _ => {}
        }
        answer
    }

    fn commit(&self, world: &mut World, command: &Command) -> Answer {
        world.log.push(command.clone());
        self.apply(world, command)
    }

    /// Whether a session end that is due at the leader is not committed yet.
    fn overdue(&self, world: &World) -> bool {
        !world.proposed.is_empty() || world.expiry.next_expiry().is_some_and(|at| at <= world.clock)
    }

    fn deliver(&self, world: &mut World, message: &Message) {
        match message {
            Message::Request(client, sent_at, command) => {
                let mut command = command.clone();
                if let (Mutation::DuplicateAppliedTwice, Command::Ask { session, number, .. }) =
                    (self.mutation, &mut command)
                {
                    // Gives every copy of a request a new number.
                    while matches!(
                        world.state.clone().apply(&Command::Ask {
                            session: session.clone(),
                            number: *number,
                            request: Request::Delete { key: "none".into(), at: None },
                        }),
                        Answer::Refused { why: mothpier_coordination::Refusal::WrongNumber { last } } if last > *number
                    ) || *number
                        <= world
                            .log
                            .iter()
                            .filter(|c| matches!(c, Command::Ask { session: s, .. } if s == session))
                            .count() as u64
                    {
                        *number += 1;
                    }
                }
                let answer = self.commit(world, &command);
                // The client sends both on one connection, in this order, and sees the result of the second
                // by watching.
                if answer == Answer::Opened && !self.releases {
                    let session = NAMES[*client].into();
                    self.commit(world, &Command::Ask { session, number: 1, request: acquire() });
                }
                if matches!(answer, Answer::Opened | Answer::Renewed | Answer::Released) {
                    world.in_flight.insert(Message::Answer(*client, *sent_at, answer), 1);
                }
            }
            Message::Answer(client, sent_at, answer) => {
                let c = &mut world.clients[*client];
                let counted = if self.mutation == Mutation::CountsFromAnswer { c.clock } else { *sent_at };
                match answer {
                    Answer::Opened => {
                        c.open = true;
                        c.requests_sent = c.requests_sent.max(u64::from(!self.releases));
                        c.hold.confirm_renewal(counted);
                    }
                    Answer::Renewed => c.hold.confirm_renewal(counted),
                    Answer::Released => (c.released, c.fence) = (true, None),
                    _ => {}
                }
            }
            Message::FencedAction(client, receiver, action) => {
                let l = &mut world.receivers[*receiver];
                let now = l.clock;
                let in_time = if self.timed && self.mutation != Mutation::NoDeadlineCheck {
                    l.guard.check_deadline(action, now)
                } else {
                    Ok(())
                };
                let fenced = if self.mutation == Mutation::NoFenceCheck {
                    Ok(())
                } else {
                    l.guard.check_fence(action)
                };
                let once = self.timed && self.mutation != Mutation::AcceptsTwice;
                let once =
                    !once || (in_time.is_ok() && fenced.is_ok() && l.guard.record_once(action, now).is_ok());
                if once && in_time.is_ok() && fenced.is_ok() {
                    let this = Some((action.fence, *client));
                    let other =
                        |last: Option<(Fence, usize)>| last > this && last.map(|l| l.0) != Some(action.fence);
                    let same = |last: Option<(Fence, usize)>| {
                        last.is_some_and(|(fence, whose)| fence == action.fence && whose != *client)
                    };
                    world.overlapped |= other(world.acted) || same(world.acted);
                    world.fence_undercut |= other(l.last_accepted) || same(l.last_accepted);
                    l.last_accepted = l.last_accepted.max(this);
                    world.acted = world.acted.max(this);
                }
            }
        }
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let guard_ms = if self.mutation == Mutation::NoClockGuard { 0 } else { GUARD };
        let client = Client {
            clock: 0,
            hold: LeaseValidity::with_guard(TTL, guard_ms),
            opened: 0,
            open: false,
            requests_sent: 0,
            renewals: 0,
            fence: None,
            receiver_clock: None,
            acted: false,
            released: false,
        };
        let receiver = |i: usize| {
            let mut guard = FenceGuard::new(format!("{i}"));
            guard.learn(FenceFloors::default());
            Receiver { guard, clock: 0, last_accepted: None }
        };
        // The first client has sent its first request at time 0.
        let mut clients = vec![client; self.clients];
        clients[0].opened = 1;
        let open = Command::Open { session: NAMES[0].into(), ttl_ms: TTL };
        vec![World {
            now: 0,
            log: Vec::new(),
            state: ReplicatedState::default(),
            applied: [0; 3],
            leader: 0,
            elections: 0,
            expiry: SessionExpiry::default(),
            clock: 0,
            clock_errors: [0; 3],
            clock_jumped: false,
            proposed: BTreeSet::new(),
            clients,
            receivers: (0..self.receiver_count).map(receiver).collect(),
            restarts: 0,
            in_flight: [(Message::Request(0, 0, open), 1)].into(),
            acted: None,
            overlapped: false,
            fence_undercut: false,
            last_renewed_at: 0,
            leader_since: 0,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let caught_up = world.applied[world.leader] == world.log.len();
        let must_wait =
            self.live && self.mutation != Mutation::LeaderNeverExpires && (self.overdue(world) || !caught_up);
        if world.now < self.ticks && !must_wait {
            steps.push(Step::Tick(None));
            if self.timed {
                let all = [Clock::Leader, Clock::Clients, Clock::Receivers];
                let may = all
                    .into_iter()
                    .zip(world.clock_errors)
                    .filter(|(_, clock_errors)| *clock_errors < self.max_clock_errors);
                steps.extend(may.map(|(clock, _)| Step::Tick(Some(clock))));
            }
        }
        if world.elections < self.max_elections {
            steps.extend([true, false].map(Step::ElectNext));
        }
        if !caught_up {
            steps.push(Step::ApplyNext);
        }
        if self.mutation != Mutation::LeaderNeverExpires
            && world.expiry.next_expiry().is_some_and(|at| at <= world.clock)
        {
            steps.push(Step::Expire);
        }
        if caught_up {
            steps.extend(world.proposed.iter().cloned().map(Step::CommitProposed));
        }
        for message in world.in_flight.keys() {
            if caught_up || !matches!(message, Message::Request(..)) {
                steps.push(Step::Deliver(message.clone()));
            }
        }
        for (i, c) in world.clients.iter().enumerate() {
            // In a model that checks liveness the first client is dead once it holds the lease.
            if self.live && i == 0 && c.fence.is_some() {
                continue;
            }
            if c.opened < if i == 0 { self.opens } else { 1 } {
                steps.push(Step::Open(i));
            }
            // Not while an action of its own is in flight, because it could be executed after the next
            // holder's grant.
            let out = |(m, copies): (&Message, &u8)| matches!(m, Message::FencedAction(whose, ..) if *whose == i && *copies == 2);
            let no_action_in_flight =
                self.mutation == Mutation::ReleasesTooEarly || !world.in_flight.iter().any(out);
            let releases = self.releases && no_action_in_flight && c.fence.is_some() && c.requests_sent == 1;
            if c.open && ((c.requests_sent == 0 && self.releases) || releases) {
                steps.push(Step::SendRequest(i));
            }
            if c.open && world.clients.iter().map(|c| c.renewals).sum::<u8>() < self.renewals {
                steps.push(Step::Renew(i));
            }
            let holds = world.state.leases().get(LEASE).is_some_and(|l| l.holder == NAMES[i]);
            if holds && c.fence.is_none() && c.requests_sent == 1 {
                steps.push(Step::Watch(i));
            }
            if let Some(fence) = c.fence.filter(|_| !c.acted && c.requests_sent < 2) {
                if c.receiver_clock.is_none() && self.timed {
                    // Receivers are interchangeable, so the first client uses the last one.
                    steps.push(Step::ReadClock(i, if i == 0 { self.receiver_count - 1 } else { 0 }));
                } else if fence > 0 && (!self.timed || c.hold.remaining(c.clock).is_some()) {
                    steps.push(Step::SendAction(i));
                }
                if self.mutation == Mutation::ValidityByWallClock
                    && c.clock >= 4 * TICK
                    && !world.clock_jumped
                {
                    steps.push(Step::WallClockBack(i));
                }
            }
        }
        if world.restarts < self.restarts {
            steps.extend((0..self.receiver_count).map(Step::Restart));
        }
        for (j, l) in world.receivers.iter().enumerate() {
            if !l.guard.knows_fences() && caught_up {
                steps.push(Step::Learn(j));
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Tick(clock_error) => {
                world.now += 1;
                world.clock += TICK;
                let slow = |clock| if clock_error == Some(clock) { 0 } else { TICK };
                match &clock_error {
                    None => {}
                    Some(Clock::Leader) => {
                        world.clock += TICK;
                        world.clock_errors[0] += 1;
                    }
                    Some(Clock::Clients) => world.clock_errors[1] += 1,
                    Some(Clock::Receivers) => world.clock_errors[2] += 1,
                }
                world.clients.iter_mut().for_each(|c| c.clock += slow(Clock::Clients));
                world.receivers.iter_mut().for_each(|l| l.clock += slow(Clock::Receivers));
            }
            Step::ElectNext(up_to_date) => {
                let next = (world.leader + 1) % 3;
                world.applied[next] = if up_to_date { world.log.len() } else { world.applied[next] };
                world.leader = next;
                world.elections += 1;
                world.leader_since = world.now;
                world.state = self.replay(&world.log[..world.applied[next]]);
                let sessions: Vec<_> =
                    world.state.sessions().map(|(s, of)| (s.clone(), of.ttl_ms, of.renewals)).collect();
                world.expiry.start_leadership(
                    world.clock,
                    sessions.iter().map(|(s, ttl, renewals)| (s, *ttl, *renewals)),
                );
            }
            Step::ApplyNext => {
                let command = world.log[world.applied[world.leader]].clone();
                self.apply(&mut world, &command);
            }
            Step::Expire => {
                let mut due = world.expiry.take_due(world.clock, 100 * TTL);
                if self.mutation == Mutation::ReopenIsNoRenewal {
                    for command in &mut due {
                        if let Command::Expire { session, renewals } = command {
                            *renewals = world.state.session(session).map_or(0, |s| s.renewals);
                        }
                    }
                }
                world.proposed.extend(due);
            }
            Step::CommitProposed(command) => {
                world.proposed.remove(&command);
                self.commit(&mut world, &command);
            }
            Step::Open(i) => {
                world.clients[i].opened += 1;
                let open = Command::Open { session: NAMES[i].into(), ttl_ms: TTL };
                world.in_flight.insert(Message::Request(i, world.clients[i].clock, open), 1);
            }
            Step::SendRequest(i) => {
                world.clients[i].requests_sent += 1;
                let number = world.clients[i].requests_sent;
                let request = if number == 1 { acquire() } else { Request::Release { lease: LEASE.into() } };
                let command = Command::Ask { session: NAMES[i].into(), number, request };
                // Where clients may release the lease, the request is sent twice and both copies arrive.
                let copies = if self.releases { 2 } else { 1 };
                world.in_flight.insert(Message::Request(i, world.clients[i].clock, command), copies);
            }
            Step::Renew(i) => {
                world.clients[i].renewals += 1;
                let renew = Command::Renew { session: NAMES[i].into() };
                world.in_flight.insert(Message::Request(i, world.clients[i].clock, renew), 1);
            }
            Step::Watch(i) => {
                world.clients[i].fence = world.state.leases().get(LEASE).map(|l| l.fence);
            }
            Step::ReadClock(i, j) => world.clients[i].receiver_clock = Some((j, world.receivers[j].clock)),
            Step::SendAction(i) => {
                let c = &mut world.clients[i];
                c.acted = true;
                let (j, receiver_clock) = c.receiver_clock.unwrap_or((0, 0));
                let left = c.hold.remaining(c.clock).unwrap_or(0);
                let action = FencedAction {
                    lease: LEASE.into(),
                    fence: c.fence?,
                    clock: format!("{j}"),
                    not_after_ms: receiver_clock + left,
                    number: 1,
                };
                // Duplicated where a holder may release the lease after the first copy was answered.
                let copies = if self.releases { 2 } else { 1 };
                world.in_flight.insert(Message::FencedAction(i, j, action), copies);
            }
            Step::Deliver(message) => {
                let copies = world.in_flight.get_mut(&message)?;
                *copies -= 1;
                if *copies == 0 {
                    world.in_flight.remove(&message);
                }
                self.deliver(&mut world, &message);
            }
            Step::Restart(j) => {
                world.restarts += 1;
                // A new process has a new clock name, so actions for the old clock are rejected.
                world.receivers[j].guard = FenceGuard::new(format!("{j}"));
            }
            Step::Learn(j) => {
                let floors = match self.mutation {
                    Mutation::AcceptsWithoutFences => FenceFloors::default(),
                    _ => world.state.floors(),
                };
                world.receivers[j].guard.learn(floors);
            }
            Step::WallClockBack(i) => {
                world.clock_jumped = true;
                world.clients[i].clock -= 4 * TICK;
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut all = vec![
            Property::<Self>::always("no receiver accepts a lower fence after a higher one", |_, world| {
                !world.fence_undercut
            }),
            Property::<Self>::always("a client that released the lease does not hold it", |_, world| {
                let held = world.state.leases().get(LEASE).map(|l| l.holder.as_str());
                !world.clients.iter().enumerate().any(|(i, c)| c.released && held == Some(NAMES[i]))
            }),
            Property::<Self>::sometimes("each client acts", |b, world| {
                world.acted.is_some_and(|(fence, _)| fence >= 2) || b.clients < 2
            }),
        ];
        if self.timed {
            all.push(Property::<Self>::always("no two holders act at once", |_, world| !world.overlapped));
        }
        if self.live {
            all.push(Property::<Self>::always("a live majority grants the lease again", |_, world| {
                let lease = world.state.leases().get(LEASE);
                let dead = lease.is_some_and(|l| l.holder == NAMES[0] && !l.waiting.is_empty());
                // A whole TTL since the last renewal or the start of the last leader, and one tick for the
                // commit.
                !dead || world.now <= world.last_renewed_at.max(world.leader_since) + 5
            }));
        }
        all
    }
}

/// Explores all event orders within the bounds, and returns the names of the properties that failed.
fn check(name: &str, bounds: Bounds) -> Vec<&'static str> {
    let started = std::time::Instant::now();
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    // Breadth first finds the shortest counterexample; depth first keeps fewer states in memory.
    let builder = bounds.checker().threads(threads).finish_when(HasDiscoveries::AnyFailures);
    if bounds.mutation == Mutation::Unmodified {
        report_result(name, bounds, &builder.spawn_dfs().join(), started)
    } else {
        report_result(name, bounds, &builder.spawn_bfs().join(), started)
    }
}

fn report_result(
    name: &str,
    bounds: Bounds,
    checker: &impl Checker<Bounds>,
    started: std::time::Instant,
) -> Vec<&'static str> {
    let found = checker.discoveries();
    let failed: Vec<_> = found.keys().copied().filter(|n| *n != "each client acts").collect();
    println!(
        "{name}: {} states, {} of them distinct, depth {}, {:.1} s{}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
        started.elapsed().as_secs_f64(),
        failed.iter().map(|n| format!("; failed: {n}")).collect::<String>(),
    );
    if let Some(path) = failed.first().map(|n| &found[n]) {
        let steps: Vec<_> = path.clone().into_actions().iter().map(|s| format!("    {s:?}")).collect();
        println!("{}", steps.join("\n"));
    }
    assert!(
        bounds.mutation != Mutation::Unmodified || found.contains_key("each client acts"),
        "{name}: no client acts"
    );
    failed
}

/// Larger bounds take minutes, so CI does not check them.
fn large_bounds() -> bool {
    std::env::var("MODEL").is_ok_and(|m| m == "large")
}

const NO_OVERLAP: &str = "no two holders act at once";
const NO_UNDERCUT: &str = "no receiver accepts a lower fence after a higher one";
const RELEASED_IS_NOT_HELD: &str = "a client that released the lease does not hold it";
const LIVENESS: &str = "a live majority grants the lease again";

#[test]
fn no_two_holders_act_at_once_while_clock_errors_are_bounded() {
    let base = Bounds { max_elections: 0, renewals: 0, ..Bounds::new() };
    assert!(check("one leader, no renewal", Bounds { ticks: 6, ..base }).is_empty());
    assert!(check("a second leader", Bounds { ticks: 4, max_elections: 1, ..base }).is_empty());
    if large_bounds() {
        assert!(
            check("released early", Bounds { ticks: 1, releases: true, max_clock_errors: 0, ..base })
                .is_empty()
        );
        assert!(check("a renewal", Bounds { ticks: 4, renewals: 1, ..base }).is_empty());
        assert!(check("opened twice", Bounds { ticks: 4, opens: 2, ..base }).is_empty());
        assert!(check("a second leader, longer", Bounds { ticks: 6, max_elections: 1, ..base }).is_empty());
        assert!(check("a renewal, longer", Bounds { ticks: 6, renewals: 1, ..base }).is_empty());
        assert!(check("three leaders", Bounds { ticks: 4, max_elections: 2, ..base }).is_empty());
        assert!(check("three clients", Bounds { ticks: 4, clients: 3, ..base }).is_empty());
    }
}

#[test]
fn fences_protect_receivers_without_reliable_clocks() {
    let bounds = Bounds { timed: false, receiver_count: 1, renewals: 0, ticks: 5, ..Bounds::new() };
    assert!(check("fences alone, a second leader", bounds).is_empty());
    assert!(check("fences alone, a restart", Bounds { restarts: 1, max_elections: 0, ..bounds }).is_empty());
    if large_bounds() {
        assert!(check("fences alone, longer", Bounds { restarts: 1, ticks: 6, ..bounds }).is_empty());
    }
}

#[test]
fn a_live_majority_grants_the_lease_again() {
    let bounds =
        Bounds { timed: false, receiver_count: 1, renewals: 0, live: true, ticks: 7, ..Bounds::new() };
    assert!(check("a dead holder", Bounds { max_elections: 0, ..bounds }).is_empty());
    assert!(check("a dead holder and a second leader", Bounds { ticks: 6, ..bounds }).is_empty());
}

#[test]
fn a_released_lease_stays_released_despite_duplicated_commands() {
    let bounds = Bounds {
        timed: false,
        clients: 1,
        receiver_count: 1,
        renewals: 0,
        max_elections: 0,
        ticks: 1,
        releases: true,
        ..Bounds::new()
    };
    assert!(check("duplicated commands", bounds).is_empty());
}

/// Every condition is needed: without any one of them a property fails.
#[test]
fn a_property_fails_without_any_one_condition() {
    let base = Bounds { max_elections: 0, renewals: 0, ticks: 6, max_clock_errors: 0, ..Bounds::new() };
    let untimed = Bounds { timed: false, receiver_count: 1, ..base };
    let failed = [
        (Mutation::NoFenceCheck, untimed, NO_UNDERCUT),
        (Mutation::NoDeadlineCheck, base, NO_OVERLAP),
        (Mutation::CountsFromAnswer, base, NO_OVERLAP),
        (Mutation::NoClockGuard, Bounds { max_clock_errors: 1, ..base }, NO_OVERLAP),
        (Mutation::ClockErrorBeyondBound, Bounds { max_clock_errors: 3, ticks: 4, ..base }, NO_OVERLAP),
        (Mutation::ValidityByWallClock, base, NO_OVERLAP),
        (Mutation::ReopenIsNoRenewal, Bounds { opens: 2, ticks: 5, ..base }, NO_OVERLAP),
        (Mutation::NewLeaderLosesLeases, Bounds { max_elections: 1, ..base }, NO_OVERLAP),
        (Mutation::SnapshotLosesFences, Bounds { max_elections: 1, ..untimed }, NO_UNDERCUT),
        (Mutation::AcceptsWithoutFences, Bounds { restarts: 1, ..untimed }, NO_UNDERCUT),
        (
            Mutation::DuplicateAppliedTwice,
            Bounds { releases: true, clients: 1, ticks: 1, ..untimed },
            RELEASED_IS_NOT_HELD,
        ),
        (Mutation::AcceptsTwice, Bounds { releases: true, ticks: 1, ..base }, NO_OVERLAP),
        (Mutation::ReleasesTooEarly, Bounds { releases: true, ticks: 1, ..base }, NO_OVERLAP),
        (Mutation::LeaderNeverExpires, Bounds { live: true, ..untimed }, LIVENESS),
    ];
    for (mutation, bounds, property) in failed {
        let found = check(&format!("with {mutation:?}"), Bounds { mutation, ..bounds });
        assert!(found.contains(&property), "{mutation:?} fails {found:?}, not {property:?}");
    }
}
