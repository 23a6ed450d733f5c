//! What goes wrong in a run: faults as plain lines of text, drawn from a seed or read from a file.

use std::fmt;
use std::str::FromStr;

use mothpier_world::Dice;

macro_rules! kinds {
    ($($(#[doc = $doc:literal])+ $kind:ident = $name:literal, $weight:literal;)+) => {
        /// What goes wrong.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Kind {
            $($(#[doc = $doc])+ $kind,)+
        }

        impl Kind {
            /// All kinds.
            pub const ALL: &[Kind] = &[$(Kind::$kind,)+];

            /// Its name in a plan.
            pub fn name(self) -> &'static str {
                match self {
                    $(Kind::$kind => $name,)+
                }
            }

            /// How often it is drawn, against the others.
            fn weight(self) -> u64 {
                match self {
                    $(Kind::$kind => $weight,)+
                }
            }
        }
    };
}

kinds! {
    /// A box's process dies and comes back cold and empty.
    Crash = "crash", 4;
    /// A box's machine says nothing, not even a reset, and comes back cold.
    Silence = "silence", 4;
    /// A box takes commands and answers none.
    Hang = "hang", 4;
    /// A box is slow: `extra` tenths of its work's time.
    Slow = "slow", 3;
    /// All boxes are slow at once.
    SharedSlow = "shared-slow", 2;
    /// A part of a box's answers ends in the middle, with the connection.
    HalfAnswer = "half-answer", 2;
    /// A part of a box's answers stops in the middle.
    HalfAndStall = "half-and-stall", 2;
    /// A part of a box's commands is reset as it comes.
    ResetBefore = "reset-before", 2;
    /// A part of a box's commands is reset after its work.
    ResetAfter = "reset-after", 2;
    /// A box closes right behind a part of its answers.
    CloseBehind = "close-behind", 2;
    /// A box fails a part of its commands.
    Failed = "failed", 1;
    /// A box turns a part of its commands away.
    Busy = "busy", 1;
    /// The origin is slow.
    OriginSlow = "origin-slow", 2;
    /// The origin answers 500 without having run.
    OriginFailedBefore = "origin-failed-before", 2;
    /// The origin answers 500 after it ran.
    OriginFailedAfter = "origin-failed-after", 3;
    /// The origin answers 503, not run.
    OriginRefused = "origin-refused", 2;
    /// The origin answers 504, not run.
    OriginExpired = "origin-expired", 1;
    /// The origin resets as a call comes.
    OriginResetBefore = "origin-reset-before", 2;
    /// The origin resets after it ran.
    OriginResetAfter = "origin-reset-after", 3;
    /// The origin sends half a body and stops.
    OriginHalfBody = "origin-half-body", 2;
    /// The origin's process dies and comes back.
    OriginCrash = "origin-crash", 2;
    /// The way from a node to a box is cut (`extra` is the box).
    CutTo = "cut-to", 2;
    /// The way from a box to a node is cut (`extra` is the box).
    CutFrom = "cut-from", 2;
    /// Both ways between a node and a box are cut (`extra` is the box).
    CutBoth = "cut-both", 2;
    /// A node's machine sends with a further delay of `extra` milliseconds.
    Delay = "delay", 1;
    /// Datagrams between nodes are lost, doubled and late.
    Post = "post", 3;
    /// A node's agent answers nothing.
    ListDown = "list-down", 3;
    /// All agents answer nothing.
    ListsDown = "lists-down", 3;
    /// A node's agent answers nothing, and never what it was asked meanwhile.
    ListLost = "list-lost", 3;
    /// An agent's revisions begin anew.
    Renumber = "renumber", 2;
    /// A box is told to drain; it ends, and comes back.
    Drain = "drain", 4;
    /// A box goes for good and one with a new id comes at its address.
    Replace = "replace", 3;
    /// A node is killed and started again.
    NodeKill = "node-kill", 3;
    /// A node gets SIGTERM and is started again.
    NodeStop = "node-stop", 3;
    /// A node gets SIGHUP with a good file that names its other agent.
    Reload = "reload", 2;
    /// A node gets SIGHUP with a file that can't be read.
    BadReload = "bad-reload", 1;
    /// A client sends many commands at once.
    Pipeline = "pipeline", 2;
    /// Clients send half a command and stay.
    Stall = "stall", 2;
    /// Clients leave before their answers.
    Leave = "leave", 2;
    /// Many more requests come.
    Burst = "burst", 2;
    /// A box is out by hand at all nodes, is restarted, and comes back by hand.
    Hand = "hand", 3;
    /// A node is emptied by hand, and called back.
    Evacuate = "evacuate", 3;
    /// In a world with DNS: a server answers nothing. Of these faults, all servers have it where `extra` is odd.
    DnsSilent = "dns-silent", 4;
    /// In a world with DNS: a server fails.
    DnsFails = "dns-fails", 3;
    /// In a world with DNS: there is no such name.
    DnsNoName = "dns-no-name", 4;
    /// In a world with DNS: there is the name and nothing under it.
    DnsEmpty = "dns-empty", 4;
    /// In a world with DNS: answers are cut short, and TCP is refused.
    DnsCut = "dns-cut", 3;
    /// In a world with DNS: answers are cut short, and end half-way over TCP.
    DnsHalf = "dns-half", 3;
    /// In a world with DNS: answers come that nobody asked for; they name a stranger.
    DnsForged = "dns-forged", 6;
    /// In a world with DNS: lifetimes of 0.
    DnsNoLife = "dns-no-life", 2;
    /// In a world with DNS: lifetimes of 2³¹.
    DnsLongLife = "dns-long-life", 2;
    /// In a world with DNS: names that stand for each other.
    DnsCircle = "dns-circle", 2;
    /// In a world with DNS: answers that can't be read.
    DnsNoise = "dns-noise", 2;
    /// In a world with DNS: a server goes on with the records that it had.
    DnsOld = "dns-old", 3;
    /// In a world with DNS: each node gets another half of the boxes.
    DnsPart = "dns-part", 4;
    /// In a world with DNS: answers come after the next question.
    DnsLate = "dns-late", 3;
    /// In a cluster: slots change owners, up to half of `extra` hundredths of them at a time.
    Reshuffle = "reshuffle", 10;
    /// In a cluster: the slots of popular keys are on their way to a box, and back, and again.
    Migrate = "migrate", 10;
    /// In a cluster: a box dies, others take its slots, and it comes back with the map that it had, for good.
    OldMap = "old-map", 6;
    /// In a cluster: a box redirects a part of its commands to itself.
    ToItself = "to-itself", 3;
    /// In a cluster: a box redirects a part of its commands to some box.
    ToOther = "to-other", 4;
    /// In a cluster: a box redirects a part of its commands to where no box is.
    ToNowhere = "to-nowhere", 3;
    /// In a cluster: two boxes redirect a part of their commands to each other.
    InCircle = "in-circle", 3;
    /// In a cluster: a box answers a part of its commands with a line that is no redirection, or another error.
    Nonsense = "nonsense", 4;
    /// In a cluster: a box does not answer when it is asked for the slot map.
    MapSilent = "map-silent", 2;
    /// In a cluster: a box answers noise when it is asked for the slot map.
    MapNoise = "map-noise", 2;
    /// In a cluster: a box answers 5 MB when it is asked for the slot map.
    MapHuge = "map-huge", 1;
}

impl Kind {
    /// Whether it happens only to boxes that form a cluster.
    pub fn of_clusters(self) -> bool {
        self >= Kind::Reshuffle
    }

    /// Whether it happens only where DNS is a source of boxes.
    pub fn of_dns(self) -> bool {
        (Kind::DnsSilent..Kind::Reshuffle).contains(&self)
    }
}

/// Which sources of boxes the nodes of a world have beside the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beside {
    /// None.
    Nothing,
    /// They tell each other of drains and deaths.
    Rumours,
    /// They ask DNS.
    Dns,
    /// Both.
    Both,
}

impl Beside {
    /// All.
    pub const ALL: [Beside; 4] = [Beside::Nothing, Beside::Rumours, Beside::Dns, Beside::Both];

    /// Its name in a file.
    pub fn name(self) -> &'static str {
        match self {
            Beside::Nothing => "list",
            Beside::Rumours => "list+rumours",
            Beside::Dns => "list+dns",
            Beside::Both => "list+dns+rumours",
        }
    }

    /// What a seed has: half of all worlds have more sources than the list.
    pub fn draw(seed: u64) -> Self {
        let dice = Dice::part(seed, 10);
        match dice.within(0, 100) {
            0..50 => Beside::Nothing,
            50..62 => Beside::Rumours,
            62..74 => Beside::Dns,
            _ => Beside::Both,
        }
    }

    /// Whether nodes ask DNS.
    pub fn dns(self) -> bool {
        matches!(self, Beside::Dns | Beside::Both)
    }

    /// Whether they tell each other.
    pub fn rumours(self) -> bool {
        matches!(self, Beside::Rumours | Beside::Both)
    }
}

/// What the boxes of a world are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Boxes {
    /// Each stands for itself; the origin takes writes.
    Plain,
    /// They form a cluster; the origin takes writes.
    Cluster,
    /// They form a cluster and take writes themselves; there is no origin.
    Through,
}

impl Boxes {
    /// All.
    pub const ALL: [Boxes; 3] = [Boxes::Plain, Boxes::Cluster, Boxes::Through];

    /// Its name in a file.
    pub fn name(self) -> &'static str {
        match self {
            Boxes::Plain => "plain",
            Boxes::Cluster => "cluster",
            Boxes::Through => "through",
        }
    }

    /// What the boxes of a seed are: a third of all worlds has clusters, half of them without an origin.
    pub fn draw(seed: u64) -> Self {
        let dice = Dice::part(seed, 8);
        match (dice.chance(0.34), dice.chance(0.5)) {
            (false, _) => Boxes::Plain,
            (true, false) => Boxes::Cluster,
            (true, true) => Boxes::Through,
        }
    }
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// What goes wrong.
    pub kind: Kind,
    /// Which box, node or client; taken round the number of them.
    pub target: usize,
    /// When it begins, milliseconds.
    pub at: u64,
    /// How long it lasts, milliseconds.
    pub len: u64,
    /// A further figure, as the kind says; of answers that are spoilt, the part of them in hundredths.
    pub extra: u64,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { kind, target, at, len, extra } = self;
        write!(f, "{} target={target} at={at} len={len} extra={extra}", kind.name())
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(line: &str) -> Result<Self, String> {
        let mut words = line.split_whitespace();
        let name = words.next().ok_or("an empty line")?;
        let kind = Kind::ALL.iter().copied().find(|k| k.name() == name);
        let kind = kind.ok_or_else(|| {
            let names: Vec<&str> = Kind::ALL.iter().map(|k| k.name()).collect();
            format!("{name:?} is no fault; there are {}", names.join(", "))
        })?;
        let mut fault = Fault { kind, target: 0, at: 0, len: 0, extra: 0 };
        for word in words {
            let (name, value) = word.split_once('=').ok_or_else(|| format!("{word:?} is not NAME=NUMBER"))?;
            let number: u64 = value.parse().map_err(|_| format!("{word:?}: {value:?} is no whole number"))?;
            match name {
                "target" => fault.target = number as usize,
                "at" => fault.at = number,
                "len" => fault.len = number,
                "extra" => fault.extra = number,
                _ => return Err(format!("{name:?} is none of target, at, len, extra")),
            }
        }
        if fault.at + fault.len > LAST_MS {
            return Err(format!("it ends after {LAST_MS} ms, when the world is to be whole again"));
        }
        Ok(fault)
    }
}

/// When all faults are over, milliseconds.
pub const LAST_MS: u64 = 14_000;

/// The faults of a seed: two to eight, most of them in the same few seconds.
pub fn draw(seed: u64, boxes: Boxes, beside: Beside) -> Vec<Fault> {
    let dice = Dice::part(seed, 3);
    let here = move |k: &Kind| (boxes != Boxes::Plain || !k.of_clusters()) && (beside.dns() || !k.of_dns());
    let kinds = || Kind::ALL.iter().copied().filter(here);
    let all: u64 = kinds().map(|k| k.weight()).sum();
    let middle = dice.within(2_500, 9_000);
    let mut faults: Vec<Fault> = (0..dice.within(2, 9))
        .map(|_| {
            let mut at = dice.within(0, all);
            let kind = kinds().find(|k| {
                let here = at < k.weight();
                at = at.saturating_sub(k.weight());
                here
            });
            let kind = kind.unwrap_or(Kind::Crash);
            let begins = (middle + dice.within(0, 3_000)).saturating_sub(1_500);
            let len = dice.within(200, 6_000).min(LAST_MS - begins);
            let extra = match kind {
                Kind::Slow | Kind::SharedSlow | Kind::OriginSlow => dice.within(15, 80),
                Kind::CutTo | Kind::CutFrom | Kind::CutBoth => dice.within(0, 8),
                Kind::Delay => dice.within(1, 60),
                _ => dice.within(10, 101),
            };
            Fault { kind, target: dice.within(0, 8) as usize, at: begins, len, extra }
        })
        .collect();
    faults.sort_by_key(|f| f.at);
    faults
}

/// The pairs of kinds that overlapped in a plan, each in order.
pub fn overlaps(faults: &[Fault]) -> Vec<(Kind, Kind)> {
    let mut pairs = Vec::new();
    for (i, a) in faults.iter().enumerate() {
        for b in &faults[i + 1..] {
            if a.at < b.at + b.len && b.at < a.at + a.len {
                pairs.push((a.kind.min(b.kind), a.kind.max(b.kind)));
            }
        }
    }
    pairs
}

#[cfg(test)]
mod tests;
