//! What a seed draws: settings of the deployment, and troubles that overlap in time.

use mothpier_world::Dice;
use serde::Serialize;

/// When troubles begin and are over, in milliseconds; all is mended from the end on.
const TROUBLES_MS: (u64, u64) = (1_000, 4_200);
/// How many troubles a seed has.
const TROUBLES: (u64, u64) = (4, 8);
/// The part of the seeds in which idle clients fill the nodes' descriptors, and how many of them there are at each.
const CROWDED: f64 = 0.25;
const CROWD: usize = 60;
/// Descriptors that a node may hold, without a crowd and with one: fewer than it and the crowd would need.
const DESCRIPTORS: (usize, usize) = (1_024, 112);
/// Deadline of the classes `read` and `once`, the longest, in milliseconds.
pub const LONGEST_DEADLINE_MS: u64 = 2_000;
/// How long one lasts, in milliseconds.
const LASTS_MS: (u64, u64) = (400, 1_800);

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The wall clock of a node's machine is stepped, and a cache server restarts.
    WallStep,
    /// Half of a node's reads and writes on sockets are short.
    ShortCalls,
    /// Some of a node's reads and writes break the connection.
    BrokenStreams,
    /// A fifth of a node's calls are interrupted.
    Interrupts,
    /// A fifth of a node's accepts fail.
    FailingAccepts,
    /// A fifth of a node's connects and sockets fail.
    FailingConnects,
    /// A node is stopped for up to 0.15 s, again and again.
    Stops,
    /// A node reads its configuration several times in a row, which moves its discovery.
    Reloads,
    /// A node is killed and started again.
    Kill,
    /// A node is told to end and started again.
    Terminate,
    /// A cache server drains, and is back at the end.
    Drain,
    /// A cache server answers nothing.
    Hang,
    /// A cache server resets connections under commands.
    Resets,
    /// A cache server is slow.
    Slow,
    /// A cache server's answers come in pieces.
    Pieces,
    /// A cache server closes each connection behind an answer.
    Closes,
    /// A cache server restarts cold.
    Restart,
    /// Discovery resets each call.
    DiscoveryDown,
    /// Discovery answers nothing.
    DiscoverySilent,
    /// Discovery is late.
    DiscoverySlow,
    /// The origin fails: 500, and 503 that never ran.
    OriginFails,
    /// The origin resets calls, some of which have run.
    OriginResets,
    /// The origin is slow.
    OriginSlow,
    /// Clients of a node leave in a burst.
    Departures,
    /// Clients of a node stop in the middle of a request and stay.
    HalfRequests,
    /// Clients of a node are silent.
    Quiet,
    /// The origin answers nothing.
    OriginHangs,
    /// A cache server gives some of its answers twice, the second one some milliseconds later.
    SecondAnswers,
    /// A cache server's answers stop short, can't be read or have more behind them.
    SpoiltAnswers,
    /// A node's configuration can't be read as it is told to read it again.
    BadReload,
    /// A node is told to read its configuration and to end, several times in a row, and started again.
    SignalSeries,
    /// Clients send small or unsound commands to a node at full speed.
    Flood,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 32] = [
        Kind::WallStep,
        Kind::ShortCalls,
        Kind::BrokenStreams,
        Kind::Interrupts,
        Kind::FailingAccepts,
        Kind::FailingConnects,
        Kind::Stops,
        Kind::Reloads,
        Kind::Kill,
        Kind::Terminate,
        Kind::Drain,
        Kind::Hang,
        Kind::Resets,
        Kind::Slow,
        Kind::Pieces,
        Kind::Closes,
        Kind::Restart,
        Kind::DiscoveryDown,
        Kind::DiscoverySilent,
        Kind::DiscoverySlow,
        Kind::OriginFails,
        Kind::OriginResets,
        Kind::OriginSlow,
        Kind::Departures,
        Kind::HalfRequests,
        Kind::Quiet,
        Kind::OriginHangs,
        Kind::SecondAnswers,
        Kind::SpoiltAnswers,
        Kind::BadReload,
        Kind::SignalSeries,
        Kind::Flood,
    ];
}

/// A trouble of a plan.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Trouble {
    /// What it is.
    pub kind: Kind,
    /// Which node or cache server, counted over all of them.
    pub target: usize,
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts.
    pub lasts_ms: u64,
    /// A step of the wall clock, in milliseconds.
    pub step_ms: i64,
}

impl Trouble {
    /// Whether it moves keys from one cache server to another, or keeps lists from nodes.
    pub fn moves_keys(&self) -> bool {
        use Kind::{
            Closes, DiscoveryDown, DiscoverySilent, DiscoverySlow, Drain, Hang, Kill, Resets, SignalSeries,
            Slow, SpoiltAnswers, Terminate,
        };
        matches!(
            self.kind,
            Closes
                | DiscoveryDown
                | DiscoverySilent
                | DiscoverySlow
                | Drain
                | Hang
                | Kill
                | Resets
                | SignalSeries
                | Slow
                | SpoiltAnswers
                | Terminate
        )
    }

    /// Whether two overlap in time.
    pub fn overlaps(&self, other: &Trouble) -> bool {
        self.at_ms < other.at_ms + other.lasts_ms && other.at_ms < self.at_ms + self.lasts_ms
    }
}

/// What a seed plays.
#[derive(Clone, Debug, Serialize)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// Nodes.
    pub nodes: usize,
    /// Cache servers.
    pub servers: usize,
    /// Discovery is one service that is asked; else an agent for each node.
    pub asked: bool,
    /// Requests on a connection at once.
    pub multiplex: u64,
    /// Whether attempts may have a second copy.
    pub copies: bool,
    /// Whether attempts may be called off.
    pub cancels: bool,
    /// Attempts of a request.
    pub attempts: u64,
    /// Deadline of the class `brief`, in milliseconds.
    pub brief_ms: u64,
    /// Time in which cache servers close idle connections, in milliseconds.
    pub idle_close_ms: u64,
    /// Time in which a started cache server is warm, in milliseconds.
    pub cold_ms: u64,
    /// The grace of a drain, in milliseconds.
    pub grace_ms: u64,
    /// Requests that a client sends at once at the most.
    pub pipeline: u64,
    /// Idle clients that fill each node's descriptors.
    pub crowd: usize,
    /// The troubles, in the order of their beginning.
    pub troubles: Vec<Trouble>,
}

impl Plan {
    /// The plan of a seed.
    pub fn draw(seed: u64, nodes: usize) -> Plan {
        let dice = Dice::part(seed, 46);
        let servers = dice.within(4, 7) as usize;
        let among = |of: &[u64]| of[dice.within(0, of.len() as u64) as usize];
        let mut plan = Plan {
            seed,
            nodes,
            servers,
            asked: dice.chance(0.4),
            multiplex: among(&[1, 2, 8, 32]),
            copies: dice.chance(0.6),
            cancels: dice.chance(0.6),
            attempts: dice.within(1, 6),
            brief_ms: dice.within(60, 400),
            idle_close_ms: among(&[800, 2_000, 10_000]),
            cold_ms: 4_000,
            grace_ms: among(&[300, 500]),
            pipeline: among(&[1, 1, 3, 8]),
            crowd: 0,
            troubles: Vec::new(),
        };
        for _ in 0..dice.within(TROUBLES.0, TROUBLES.1) {
            let lasts_ms = dice.within(LASTS_MS.0, LASTS_MS.1);
            plan.troubles.push(Trouble {
                kind: Kind::ALL[dice.within(0, Kind::ALL.len() as u64) as usize],
                target: dice.within(0, 1_000) as usize,
                at_ms: dice.within(TROUBLES_MS.0, TROUBLES_MS.1 - lasts_ms),
                lasts_ms,
                step_ms: [3_600_000, -3_600_000, 30_000, -30_000][dice.within(0, 4) as usize],
            });
        }
        plan.troubles.sort_by_key(|trouble| trouble.at_ms);
        if dice.chance(CROWDED) {
            plan.crowd = CROWD;
        }
        plan
    }

    /// Descriptors that a node may hold.
    pub fn descriptors(&self) -> usize {
        if self.crowd > 0 { DESCRIPTORS.1 } else { DESCRIPTORS.0 }
    }

    /// When all troubles are over.
    pub fn mended_at_ms(&self) -> u64 {
        TROUBLES_MS.1
    }

    /// The pairs of kinds that overlap.
    pub fn pairs(&self) -> Vec<(Kind, Kind)> {
        let mut pairs = Vec::new();
        for (number, one) in self.troubles.iter().enumerate() {
            for other in self.troubles[number + 1..].iter().filter(|other| one.overlaps(other)) {
                pairs.push((one.kind.min(other.kind), one.kind.max(other.kind)));
            }
        }
        pairs
    }

    /// The settings object of the nodes' configuration.
    pub fn settings(&self) -> String {
        let discovery = if self.asked { "ask" } else { "push" };
        let Plan { multiplex, copies, cancels, attempts, brief_ms, idle_close_ms, cold_ms, grace_ms, .. } =
            self;
        format!(
            r#"{{"balancers":{nodes},"me":0,"classes":[
 {{"name":"read","deadlineUs":{longest}000,"goalTimeUs":1000000,"lateValue":1.0,"gain":1.0,"effect":"pure"}},
 {{"name":"once","deadlineUs":{longest}000,"goalTimeUs":1000000,"gain":8.0,"effect":"side_effect"}},
 {{"name":"brief","deadlineUs":{brief}000,"goalTimeUs":{brief}000,"gain":1.0,"effect":"pure"}}],
 "realms":[{{"name":"acme","quotaPerS":100000}}],"discovery":"{discovery}","zones":["a"],"machineTypes":["m","origin"],
 "specifics":{{"mode":"aside","originKind":1}},"report":{{"fields":["lat_ms","busy"]}},
 "limits":{{"maxAttempts":{attempts},"mayDuplicate":{copies},"mayCancel":{cancels},"multiplex":{multiplex},
 "idleCloseUs":{idle_close_ms}000,"connectTimeoutUs":500000,"maxOpen":1000,"maxRetryAfterUs":600000}},
 "guarantees":{{"coldShare":0.15,"coldUs":{cold_ms}000,"drainGraceUs":{grace_ms}000}},"periodUs":1000}}"#,
            nodes = self.nodes,
            longest = LONGEST_DEADLINE_MS,
            brief = brief_ms,
        )
    }
}
