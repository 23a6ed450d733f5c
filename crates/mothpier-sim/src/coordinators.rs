//! Coordinators, holders and those who obey in simulated time: the product's own members over its own store on disks that
//! lose what was not synced, with clocks that run apart, links that lose, double and delay, and machines that crash and stop.
//! One thread and one order of everything, drawn from a seed: equal seeds give equal traces.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::hash::{DefaultHasher, Hash, Hasher};

use mothpier_coordination::lease_validity::CLOCK_ERROR_PER_MILLE;
use mothpier_coordination::{
    Answer, Command, Fence, FenceFloors, FenceGuard, FencedAction, LeaseValidity, Refusal, ReplicatedState,
    Request,
};
use mothpier_coordinator::core::{Core, ELECTION_TICKS, ProposalOutcome};
use mothpier_coordinator::store::Store;
use mothpier_world::Dice;
use protobuf::Message as _;
use tokio::sync::oneshot::Receiver;

use crate::disk::Disk;

const LEASE: &str = "roll";
const KEY: &str = "count";
const TTL: u64 = 1_000;
const TICK: u64 = 20;
/// The world goes on in steps of so many ms.
const STEP: u64 = 5;
/// For how long things go wrong; then everything is mended, and somebody has to hold and act within the rest.
const TROUBLE: u64 = 12_000;
const END: u64 = 30_000;
/// A client that has heard nothing asks elsewhere after this time.
const PATIENCE: u64 = 300;
/// Messages that come twice, and that take twenty times as long as the rest.
const DOUBLED: f64 = 0.1;
const SLOW: f64 = 0.1;
/// Orders whose holder stops between its look at the clock and its act, for up to two lifetimes.
const STOPS: f64 = 0.25;

/// A mistake that is planted: one condition is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Twin {
    /// A holder counts its time from the answer.
    CountedFromTheAnswer,
    /// A holder keeps nothing off its end while clocks err more than they may.
    DriftBeyondTheBound,
    /// Those who obey do an order again that comes twice.
    ObeysTwice,
    /// Those who obey look at neither fence nor time.
    ObeysAnybody,
    /// Those who obey begin from nothing and obey, and look at the fence alone.
    ObeysFromNothing,
    /// A holder's clock is the wall's, which jumps.
    WallClock,
    /// Disks say that they have synced when they have not.
    LyingDisk,
    /// A holder gives the lease up while an order of its own is still on its way.
    GivesUpTooSoon,
    /// Members take back an answer that was never committed: every proposal is acknowledged at once.
    AnsweredBeforeCommit,
}

/// All of them.
pub const TWINS: [Twin; 9] = [
    Twin::ObeysTwice,
    Twin::GivesUpTooSoon,
    Twin::CountedFromTheAnswer,
    Twin::DriftBeyondTheBound,
    Twin::ObeysAnybody,
    Twin::ObeysFromNothing,
    Twin::WallClock,
    Twin::LyingDisk,
    Twin::AnsweredBeforeCommit,
];

/// What came of a seed.
#[derive(Debug, Default)]
pub struct Played {
    /// Rules that were broken.
    pub broken: Vec<String>,
    /// Grants in whose name something was done.
    pub grants: usize,
    /// Changes of the value that were acknowledged.
    pub changes: usize,
    /// Elections won, crashes of members, times that a disk was full.
    pub elections: usize,
    pub crashes: usize,
    pub full: usize,
    /// Equal for equal seeds.
    pub trace: u64,
}

/// A clock that runs by itself: wrong by some thousandths, and from its own beginning.
#[derive(Clone, Copy)]
struct Clock {
    from: u64,
    rate: f64,
}

impl Clock {
    fn at(&self, now: u64) -> u64 {
        self.from + (now as f64 * self.rate) as u64
    }
}

/// Who sends and gets messages.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Hash)]
enum Who {
    Member(usize),
    Client(usize),
    FenceGuard(usize),
}

#[derive(Clone, Debug)]
enum What {
    Raft(Vec<u8>),
    /// A client's command, by the client's own number.
    Ask(u64, Command),
    /// A read of all that is held.
    Read(u64),
    Answer(u64, Reply),
    Clock,
    Time(u64, u64),
    FencedAction(FencedAction),
    /// The act of that number was answered.
    Acted(u64),
}

#[derive(Clone, Debug)]
enum Reply {
    Did(Answer),
    NotLeading,
    /// The lease's holder and fence, the floors, and the value's last change.
    Read(Option<(String, Fence)>, FenceFloors, u64),
}

enum Pending {
    Command(Receiver<ProposalOutcome>),
    Read(Receiver<bool>),
}

struct Machine {
    core: Option<Core>,
    disk: Disk,
    clock: Clock,
    ticked: u64,
    stopped_until: u64,
    down_until: Option<u64>,
    pending: Vec<(Who, u64, Pending)>,
    led: bool,
}

struct Client {
    name: String,
    life: u64,
    hold: LeaseValidity,
    clock: Clock,
    jumped: u64,
    stopped_until: u64,
    to: usize,
    number: u64,
    /// What it has asked and not heard of: its own number, when by its clock and by the world's, and what.
    asked: Option<(u64, u64, u64, Asked)>,
    renewing: Option<(u64, u64, u64)>,
    open: bool,
    acquired: u64,
    fence: Option<Fence>,
    acts: u64,
    /// Orders that nobody has answered, by their numbers, and until when the last one may begin.
    out: (BTreeSet<u64>, u64),
    waits_for_time: Option<(usize, u64)>,
    last_change: u64,
    next_at: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Asked {
    Open,
    Acquire,
    Release,
    Look,
    Put(u64),
}

struct Listener {
    obeyer: FenceGuard,
    clock: Clock,
    asked: Option<(u64, u64)>,
    life: u64,
}

struct World {
    now: u64,
    dice: Dice,
    twin: Option<Twin>,
    machines: Vec<Machine>,
    clients: Vec<Client>,
    listeners: Vec<Listener>,
    coming: BTreeMap<(u64, u64), (Who, Who, What)>,
    numbers: u64,
    /// Ways that are cut, and until when.
    cut: BTreeMap<(Who, Who), u64>,
    late: u64,
    loss: f64,
    trouble_at: u64,
    highest: Option<(Fence, usize)>,
    grants: BTreeSet<Fence>,
    /// Changes of the value that were acknowledged, by the change that each followed.
    changes: BTreeMap<u64, (u64, usize)>,
    played: Played,
    hash: DefaultHasher,
}

/// Plays a seed.
pub fn play(seed: u64, twin: Option<Twin>) -> Played {
    let dice = Dice::part(seed, 31);
    let members = if dice.chance(0.5) { 3 } else { 5 };
    // Errors of all clocks within the bound, or a good deal beyond it.
    let errs = CLOCK_ERROR_PER_MILLE as f64 / 1000.0
        * if twin == Some(Twin::DriftBeyondTheBound) { 60.0 } else { 1.0 };
    let clock =
        |_: usize| Clock { from: dice.within(1 << 20, 1 << 30), rate: 1.0 + dice.between(-errs, errs) };
    let numbers: Vec<u64> = (1..=members as u64).collect();
    let state =
        ReplicatedState::new_cluster(numbers.iter().map(|n| (*n, String::new())).collect()).to_bytes();
    let machine = |i: usize| {
        let disk = Disk::new(twin == Some(Twin::LyingDisk));
        Store::init_with_backend(disk.clone(), "sim", i as u64 + 1, &numbers, &state).expect("a new disk");
        Machine {
            core: None,
            disk,
            clock: clock(i),
            ticked: 0,
            stopped_until: 0,
            down_until: Some(0),
            pending: Vec::new(),
            led: false,
        }
    };
    let client = |i: usize| Client {
        name: String::new(),
        life: 0,
        hold: hold(twin),
        clock: clock(i),
        jumped: 0,
        stopped_until: 0,
        to: i % members,
        number: 0,
        asked: None,
        renewing: None,
        open: false,
        acquired: 0,
        fence: None,
        acts: 0,
        out: (BTreeSet::new(), 0),
        waits_for_time: None,
        last_change: 0,
        next_at: 0,
    };
    let listener = |i: usize| Listener {
        obeyer: FenceGuard::new(format!("{i}-0")),
        clock: clock(i),
        asked: None,
        life: 0,
    };
    let mut world = World {
        now: 0,
        twin,
        machines: (0..members).map(machine).collect(),
        clients: (0..4).map(client).collect(),
        listeners: (0..2).map(listener).collect(),
        coming: BTreeMap::new(),
        numbers: 0,
        cut: BTreeMap::new(),
        late: 10,
        loss: dice.between(0.0, 0.1),
        trouble_at: 500,
        highest: None,
        grants: BTreeSet::new(),
        changes: BTreeMap::new(),
        played: Played::default(),
        hash: DefaultHasher::new(),
        dice,
    };
    // Consensus that finds its own rules broken ends its process: with a planted mistake that is one way to find it.
    let ran = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| world.run(seed)));
    if ran.is_err() {
        world.broken("a member ended by itself".into());
    }
    world.played.trace = world.hash.finish();
    world.played
}

fn hold(twin: Option<Twin>) -> LeaseValidity {
    if twin == Some(Twin::DriftBeyondTheBound) {
        LeaseValidity::with_guard(TTL, 0)
    } else {
        LeaseValidity::new(TTL)
    }
}

impl World {
    fn run(&mut self, seed: u64) {
        let mut before = None;
        while self.now < END && self.played.broken.is_empty() {
            self.now += STEP;
            if self.now < TROUBLE {
                self.trouble();
            } else if before.is_none() {
                before = Some(self.grants.len());
                self.mend();
            }
            while let Some(first) = self.coming.first_entry().filter(|e| e.key().0 <= self.now) {
                let (from, to, what) = first.remove();
                self.deliver(from, to, what);
            }
            for i in 0..self.machines.len() {
                self.turn(seed, i);
            }
            for i in 0..self.clients.len() {
                self.client(i);
            }
            for i in 0..self.listeners.len() {
                self.listen(i);
            }
        }
        if self.played.broken.is_empty() && self.grants.len() < before.unwrap_or(0) + 2 {
            self.broken(format!("not healed: {} grants acted, {:?} before", self.grants.len(), before));
        }
        self.played.grants = self.grants.len();
        self.played.changes = self.changes.len();
    }

    fn broken(&mut self, what: String) {
        self.played.broken.push(format!("at {} ms: {what}", self.now));
    }

    fn send(&mut self, from: Who, to: Who, what: What) {
        let cut = |from, to| self.cut.get(&(from, to)).is_some_and(|until| *until > self.now);
        if cut(from, to) || self.dice.chance(self.loss) {
            return;
        }
        let copies = if self.dice.chance(DOUBLED) { 2 } else { 1 };
        for _ in 0..copies {
            let slow = if self.dice.chance(SLOW) { 20 * self.late } else { self.late };
            self.arrive(self.dice.within(1, slow), from, to, what.clone());
        }
    }

    fn arrive(&mut self, after: u64, from: Who, to: Who, what: What) {
        self.numbers += 1;
        self.coming.insert((self.now + after, self.numbers), (from, to, what));
    }

    /// Draws what goes wrong next.
    fn trouble(&mut self) {
        if self.now < self.trouble_at {
            return;
        }
        self.trouble_at = self.now + self.dice.within(50, 600);
        let lasts = self.dice.within(100, 3 * TTL);
        let (member, client) = (
            self.dice.within(0, self.machines.len() as u64) as usize,
            self.dice.within(0, self.clients.len() as u64) as usize,
        );
        match self.dice.within(0, 10) {
            0 | 1 => self.isolate(Who::Member(member), lasts),
            2 => {
                // Whoever holds the lease, more often than not.
                let holder = self.clients.iter().position(|c| c.fence.is_some());
                let cut_off = holder.filter(|_| self.dice.chance(0.7)).unwrap_or(client);
                self.isolate(Who::Client(cut_off), lasts);
            }
            3 => {
                let other = self.dice.within(0, self.machines.len() as u64) as usize;
                self.cut.insert((Who::Member(member), Who::Member(other)), self.now + lasts);
            }
            4 => self.crash(member, lasts),
            5 => (0..self.machines.len()).for_each(|i| self.crash(i, lasts / 4)),
            6 => self.machines[member].stopped_until = self.now + lasts,
            7 => self.clients[client].stopped_until = self.now + lasts,
            8 => {
                self.played.full += 1;
                self.machines[member].disk.fill(true);
                // Room is made in time; the process ends when it is to write, and comes back later.
                self.machines[member].down_until.get_or_insert(self.now + lasts);
            }
            _ => {
                let i = self.dice.within(0, self.listeners.len() as u64) as usize;
                let l = &mut self.listeners[i];
                l.life += 1;
                (l.obeyer, l.asked) = (FenceGuard::new(format!("{i}-{}", l.life)), None);
                if self.twin == Some(Twin::ObeysFromNothing) {
                    l.obeyer.learn(FenceFloors::default());
                }
            }
        }
        self.late = if self.dice.chance(0.2) { self.dice.within(10, 120) } else { 10 };
        if self.twin == Some(Twin::WallClock) && self.dice.chance(0.5) {
            self.clients[client].jumped = self.dice.within(0, 2 * TTL);
        }
    }

    fn isolate(&mut self, who: Who, lasts: u64) {
        for i in 0..self.machines.len() {
            let ways = [(who, Who::Member(i)), (Who::Member(i), who)];
            // One way alone, as often as both.
            let (from, to) = match self.dice.within(0, 4) {
                0 => (0, 1),
                1 => (1, 2),
                _ => (0, 2),
            };
            for way in &ways[from..to] {
                self.cut.insert(*way, self.now + lasts);
            }
        }
    }

    fn crash(&mut self, member: usize, lasts: u64) {
        let machine = &mut self.machines[member];
        if machine.core.take().is_some() {
            self.played.crashes += 1;
            machine.pending.clear();
            machine.disk.crash(&self.dice);
            machine.down_until = Some(self.now + lasts);
        }
    }

    fn mend(&mut self) {
        self.cut.clear();
        (self.loss, self.late) = (0.0, 10);
        for machine in &mut self.machines {
            machine.disk.fill(false);
            machine.stopped_until = 0;
        }
    }

    /// A member's share of a step.
    fn turn(&mut self, seed: u64, i: usize) {
        let now = self.now;
        let machine = &mut self.machines[i];
        if machine.core.is_none() {
            if machine.down_until.is_some_and(|until| until > now) {
                return;
            }
            machine.disk.fill(false);
            machine.down_until = None;
            let life = seed.rotate_left(17) ^ (now << 24) ^ ((i as u64) << 16);
            match Store::open_with_backend(machine.disk.clone())
                .and_then(|(store, found)| Core::new(store, found, life))
            {
                Ok(core) => machine.core = Some(core),
                Err(why) => return self.broken(format!("member {} can't start: {why}", i + 1)),
            }
            machine.ticked = machine.clock.at(now);
        }
        if machine.stopped_until > now {
            return;
        }
        let local = machine.clock.at(now);
        let Some(core) = &mut machine.core else { return };
        // As the driver does: of many ticks that were missed a few are made up.
        let mut made_up = 0;
        while machine.ticked + TICK <= local {
            made_up += 1;
            machine.ticked = if made_up > 3 { local } else { machine.ticked + TICK };
            let mut drawn = DefaultHasher::new();
            (seed, i, core.term()).hash(&mut drawn);
            core.tick_with_election_timeout(
                ELECTION_TICKS + (drawn.finish() % ELECTION_TICKS as u64) as usize,
            );
        }
        let turned = core.poll(local);
        if core.is_leader() && !machine.led {
            self.played.elections += 1;
        }
        machine.led = core.is_leader();
        let outgoing = core.outgoing();
        let mut answers = Vec::new();
        machine.pending.retain_mut(|(to, number, pending)| {
            let reply = match pending {
                Pending::Command(told) => match told.try_recv() {
                    Ok(ProposalOutcome::Applied(answer)) => Some(Reply::Did(answer)),
                    Ok(_) => Some(Reply::NotLeading),
                    Err(tokio::sync::oneshot::error::TryRecvError::Empty) => None,
                    Err(_) => Some(Reply::NotLeading),
                },
                Pending::Read(told) => match told.try_recv() {
                    Ok(true) => {
                        let agreed = core.state();
                        let held = agreed.leases().get(LEASE).map(|l| (l.holder.clone(), l.fence));
                        let change = agreed.values().get(KEY).map_or(0, |v| v.revision);
                        Some(Reply::Read(held, agreed.floors(), change))
                    }
                    Err(tokio::sync::oneshot::error::TryRecvError::Empty) => None,
                    _ => Some(Reply::NotLeading),
                },
            };
            if let Some(reply) = reply {
                answers.push((*to, *number, reply));
                return false;
            }
            true
        });
        if turned.is_err() {
            // A full disk: the process ends and says nothing more, not even what it had decided.
            machine.core = None;
            machine.pending.clear();
            machine.disk.fill(false);
            machine.disk.crash(&self.dice);
            machine.down_until.get_or_insert(now + 200);
            return;
        }
        for message in outgoing {
            let to = message.to as usize - 1;
            if let Ok(bytes) = message.write_to_bytes() {
                self.send(Who::Member(i), Who::Member(to), What::Raft(bytes));
            }
        }
        for (to, number, reply) in answers {
            self.send(Who::Member(i), to, What::Answer(number, reply));
        }
    }

    fn deliver(&mut self, from: Who, to: Who, what: What) {
        (self.now, from, to).hash(&mut self.hash);
        match (to, what) {
            (Who::Member(i), what) => {
                let machine = &mut self.machines[i];
                // To a machine that is stopped it comes when it goes on.
                if machine.stopped_until > self.now {
                    self.numbers += 1;
                    self.coming.insert((machine.stopped_until, self.numbers), (from, to, what));
                    return;
                }
                let Some(core) = &mut machine.core else { return };
                match what {
                    What::Raft(bytes) => {
                        if let Ok(message) = raft::eraftpb::Message::parse_from_bytes(&bytes) {
                            core.receive(message);
                        }
                    }
                    What::Ask(number, command) => {
                        let told = core.propose(&command);
                        if self.twin == Some(Twin::AnsweredBeforeCommit) && core.is_leader() {
                            let answer = core.state().clone().apply(&command);
                            self.send(to, from, What::Answer(number, Reply::Did(answer)));
                        } else {
                            machine.pending.push((from, number, Pending::Command(told)));
                        }
                    }
                    What::Read(number) => {
                        let told = core.confirm_leadership();
                        machine.pending.push((from, number, Pending::Read(told)));
                    }
                    _ => {}
                }
            }
            (Who::Client(i), what) => {
                let until = self.clients[i].stopped_until;
                if until > self.now {
                    self.numbers += 1;
                    self.coming.insert((until, self.numbers), (from, to, what));
                    return;
                }
                self.heard(i, from, what);
            }
            (Who::FenceGuard(i), What::Clock) => {
                let l = &self.listeners[i];
                let (life, time) = (l.life, l.clock.at(self.now));
                self.send(to, from, What::Time(life, time));
            }
            (Who::FenceGuard(i), What::FencedAction(act)) => self.act(from, i, &act),
            (Who::FenceGuard(i), What::Answer(number, reply)) => {
                let l = &mut self.listeners[i];
                if l.asked.is_some_and(|(n, _)| n == number) {
                    l.asked = None;
                    if let Reply::Read(_, floors, _) = reply {
                        l.obeyer.learn(floors);
                    }
                }
            }
            _ => {}
        }
    }

    /// What a far end obeys is what is judged.
    fn act(&mut self, from: Who, i: usize, act: &FencedAction) {
        let l = &mut self.listeners[i];
        let now = l.clock.at(self.now);
        let obeyed = match self.twin {
            Some(Twin::ObeysAnybody) => Ok(()),
            Some(Twin::ObeysTwice) => {
                l.obeyer.check_deadline(act, now).and_then(|()| l.obeyer.check_fence(act))
            }
            Some(Twin::ObeysFromNothing) => l.obeyer.check_fence(act),
            _ => l.obeyer.accept(act, now),
        };
        let Who::Client(whose) = from else { return };
        self.send(Who::FenceGuard(i), from, What::Acted(act.number));
        (self.now, i, act.fence, obeyed.is_ok()).hash(&mut self.hash);
        if obeyed.is_err() {
            return;
        }
        self.grants.insert(act.fence);
        match self.highest {
            Some((fence, holder)) if fence > act.fence || (fence == act.fence && holder != whose) => {
                let mut what = String::new();
                let _ = write!(
                    what,
                    "client {whose} acts under {} beside client {holder} under {fence}",
                    act.fence
                );
                self.broken(what);
            }
            _ => self.highest = Some((act.fence, whose)),
        }
    }

    /// One that obeys learns the fences, from a majority.
    fn listen(&mut self, i: usize) {
        let l = &self.listeners[i];
        if l.obeyer.knows_fences() || l.asked.is_some_and(|(_, at)| at + PATIENCE > self.now) {
            return;
        }
        self.numbers += 1;
        let number = self.numbers;
        self.listeners[i].asked = Some((number, self.now));
        let to = self.dice.within(0, self.machines.len() as u64) as usize;
        self.send(Who::FenceGuard(i), Who::Member(to), What::Read(number));
    }

    fn ask(&mut self, i: usize, asked: Asked) {
        self.numbers += 1;
        let number = self.numbers;
        let c = &mut self.clients[i];
        let session = c.name.clone();
        let request = match asked {
            Asked::Acquire => Some(Request::Acquire { lease: LEASE.into(), wait: true }),
            Asked::Release => Some(Request::Release { lease: LEASE.into() }),
            Asked::Put(at) => Some(Request::Put { key: KEY.into(), value: format!("{i}"), at: Some(at) }),
            Asked::Open | Asked::Look => None,
        };
        let what = match (asked, request) {
            (Asked::Open, _) => What::Ask(number, Command::Open { session, ttl_ms: TTL }),
            (_, Some(request)) => What::Ask(number, Command::Ask { session, number: c.number, request }),
            _ => What::Read(number),
        };
        c.asked = Some((number, c.clock.at(self.now) - c.jumped, self.now, asked));
        let to = c.to;
        self.send(Who::Client(i), Who::Member(to), what);
    }

    /// A client's share of a step.
    fn client(&mut self, i: usize) {
        let now = self.now;
        let c = &mut self.clients[i];
        if c.stopped_until > now || c.next_at > now {
            return;
        }
        let local = c.clock.at(now) - c.jumped;
        if c.open && c.hold.remaining(local).is_none() {
            // Its time is over: it begins anew.
            (c.open, c.fence, c.asked, c.renewing, c.waits_for_time) = (false, None, None, None, None);
        }
        if !c.open && c.asked.is_none() {
            c.life += 1;
            c.name = format!("c{i}-{}", c.life);
            (c.hold, c.number, c.acquired, c.fence, c.acts) = (hold(self.twin), 0, 0, None, 0);
            return self.ask(i, Asked::Open);
        }
        if let Some((_, _, at, asked)) = c.asked
            && at + PATIENCE <= now
        {
            c.to = (c.to + 1) % self.machines.len();
            return self.ask(i, asked);
        }
        if !c.open {
            return;
        }
        let renew = match c.renewing {
            Some((_, _, at)) => at + PATIENCE <= now,
            None => c.hold.renew_at().is_some_and(|at| local >= at),
        };
        if renew {
            self.numbers += 1;
            let number = self.numbers;
            let c = &mut self.clients[i];
            if c.renewing.is_some() {
                c.to = (c.to + 1) % self.machines.len();
            }
            c.renewing = Some((number, local, now));
            let (to, session) = (c.to, c.name.clone());
            return self.send(Who::Client(i), Who::Member(to), What::Ask(number, Command::Renew { session }));
        }
        if c.asked.is_some() {
            return;
        }
        let Some(fence) = c.fence else {
            if c.acquired == 0 {
                c.number += 1;
                c.acquired = c.number;
                return self.ask(i, Asked::Acquire);
            }
            c.next_at = now + 60;
            return self.ask(i, Asked::Look);
        };
        if c.waits_for_time.is_some_and(|(_, at)| at + PATIENCE > now) {
            return;
        }
        if c.acts >= 3 + fence % 5 {
            c.acts = 0;
            c.waits_for_time = None;
            let quiet = c.out.0.is_empty() || local >= c.out.1 || self.twin == Some(Twin::GivesUpTooSoon);
            match self.dice.within(0, 4) {
                0 | 3 if quiet => {
                    let c = &mut self.clients[i];
                    c.number += 1;
                    (c.fence, c.acquired) = (None, 0);
                    return self.ask(i, Asked::Release);
                }
                // It dies with what it holds, and begins anew.
                1 => {
                    let c = &mut self.clients[i];
                    (c.open, c.fence, c.asked, c.renewing) = (false, None, None, None);
                }
                _ => {
                    let c = &mut self.clients[i];
                    let at = c.last_change;
                    c.number += 1;
                    return self.ask(i, Asked::Put(at));
                }
            }
            return;
        }
        let to = self.dice.within(0, self.listeners.len() as u64) as usize;
        self.clients[i].waits_for_time = Some((to, now));
        self.send(Who::Client(i), Who::FenceGuard(to), What::Clock);
    }

    fn heard(&mut self, i: usize, from: Who, what: What) {
        let now = self.now;
        let c = &mut self.clients[i];
        let local = c.clock.at(now) - c.jumped;
        match what {
            What::Time(life, time) => {
                let Who::FenceGuard(j) = from else { return };
                if c.waits_for_time.is_none_or(|(to, _)| to != j) {
                    return;
                }
                c.waits_for_time = None;
                let (Some(left), Some(fence)) = (c.hold.remaining(local), c.fence) else { return };
                c.acts += 1;
                self.numbers += 1;
                c.out.0.insert(self.numbers);
                c.out.1 = c.out.1.max(local + left);
                let act = FencedAction {
                    lease: LEASE.into(),
                    fence,
                    clock: format!("{j}-{life}"),
                    not_after_ms: time + left,
                    number: self.numbers,
                };
                if self.now < TROUBLE && self.dice.chance(STOPS) {
                    let stopped = self.dice.within(1, 2 * TTL);
                    return self.arrive(stopped, Who::Client(i), from, What::FencedAction(act));
                }
                self.send(Who::Client(i), from, What::FencedAction(act));
            }
            What::Acted(number) => drop(c.out.0.remove(&number)),
            What::Answer(number, reply) => {
                if let Some((n, asked_at, _)) = c.renewing
                    && n == number
                {
                    match reply {
                        Reply::Did(Answer::Renewed) => {
                            let early = self.twin != Some(Twin::CountedFromTheAnswer);
                            c.hold.confirm_renewal(if early { asked_at } else { local });
                            c.renewing = None;
                        }
                        Reply::NotLeading => c.to = (c.to + 1) % self.machines.len(),
                        _ => (c.open, c.fence, c.asked, c.renewing) = (false, None, None, None),
                    }
                    return;
                }
                let Some((n, asked_at, _, asked)) = c.asked else { return };
                if n != number {
                    return;
                }
                match (asked, reply) {
                    (_, Reply::NotLeading) => {
                        c.to = (c.to + 1) % self.machines.len();
                        // Asked again a little later, as the same thing.
                        c.asked = Some((0, asked_at, now.saturating_sub(PATIENCE - 40), asked));
                    }
                    (Asked::Open, Reply::Did(Answer::Opened)) => {
                        let early = self.twin != Some(Twin::CountedFromTheAnswer);
                        c.hold.confirm_renewal(if early { asked_at } else { local });
                        (c.open, c.asked) = (true, None);
                    }
                    (Asked::Acquire, Reply::Did(Answer::Granted { fence })) => {
                        (c.fence, c.asked) = (Some(fence), None);
                    }
                    (Asked::Look, Reply::Read(held, _, change)) => {
                        c.asked = None;
                        c.last_change = change;
                        c.fence = held.filter(|(holder, _)| *holder == c.name).map(|(_, fence)| fence);
                    }
                    (Asked::Put(at), Reply::Did(Answer::Stored { revision })) => {
                        c.asked = None;
                        c.last_change = revision;
                        let earlier = self.changes.insert(at, (revision, i));
                        if let Some(earlier) = earlier.filter(|e| *e != (revision, i)) {
                            self.broken(format!(
                                "two changes follow change {at}: {earlier:?} and {:?}; one is lost",
                                (revision, i)
                            ));
                        }
                    }
                    (Asked::Put(_), Reply::Did(Answer::Refused { why: Refusal::Changed { at } })) => {
                        (c.last_change, c.asked) = (at, None);
                    }
                    (_, Reply::Did(Answer::Refused { .. })) => {
                        (c.open, c.fence, c.asked, c.renewing) = (false, None, None, None);
                    }
                    _ => c.asked = None,
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
