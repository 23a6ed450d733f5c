//! What a configuration says, whichever form it was written in: an application's own file, or what a node is started
//! with. Every setting keeps the place that it was read from.

use std::time::Duration;

use crate::code;
use crate::finding::Finding;
use crate::place::{Hosts, Place};
use crate::take::{self, Block};
use crate::tree::{At, Node, Span};

/// The port of cache boxes where none is told.
pub const BOX_PORT: u16 = 6379;
/// No time in a configuration is longer.
const LONGEST: Duration = Duration::from_secs(24 * 3600);
/// The extent of a fleet that the checks and plans reckon with.
pub const MOST_NODES: u64 = 10_000;
/// Part of the requests that may be tried again, where nothing is said: the decision module's own.
pub const BUDGET: f64 = 0.2;
/// A deadline beyond this is no cache request's.
const LONGEST_DEADLINE: Duration = Duration::from_secs(60);

/// Which form a configuration was written in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An application's: HCL or TOML.
    Application,
    /// What a node is started with: JSON.
    Node,
}

/// What a request of a class does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be repeated.
    Safe,
    /// Something, which is dropped when it is repeated with its key.
    Keyed,
    /// Something that is done once more when it is repeated.
    Unsafe,
}

/// The words for effects.
pub const EFFECTS: [(&str, Effect); 3] =
    [("safe", Effect::Safe), ("keyed", Effect::Keyed), ("unsafe", Effect::Unsafe)];

/// Which boxes drop a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// The words for scopes.
pub const SCOPES: [(&str, Scope); 3] = [("all", Scope::All), ("zone", Scope::Zone), ("cell", Scope::Cell)];

/// How an application sends a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Command {
    /// `CACHE.GET`.
    Read,
    /// `CACHE.SET`.
    Write,
}

/// The words for commands.
pub const COMMANDS: [(&str, Command); 2] = [("read", Command::Read), ("write", Command::Write)];

/// Whether a box takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It ends what it has.
    Draining,
    /// It is no more.
    Gone,
}

/// The words for states.
pub const STATES: [(&str, State); 3] =
    [("ready", State::Ready), ("draining", State::Draining), ("gone", State::Gone)];

/// What a sidecar hands its requests on to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// The cache boxes.
    Boxes,
    /// The nodes of the shared tier.
    Tier,
}

/// The words for upstreams.
pub const UPSTREAMS: [(&str, Upstream); 2] = [("boxes", Upstream::Boxes), ("tier", Upstream::Tier)];

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: At<String>,
    /// What a request of it does.
    pub effect: At<Effect>,
    /// How it is sent; a node's own form does not tell.
    pub command: Option<At<Command>>,
    /// It is the class of requests that name none.
    pub default: bool,
    /// An answer within this time is wanted.
    pub aim: At<Duration>,
    /// Nobody waits any longer.
    pub deadline: At<Duration>,
    /// What an answer in time is worth.
    pub worth: At<f64>,
    /// Part of that for one behind the aim.
    pub late_worth: At<f64>,
    /// Said to be safe to repeat.
    pub repeat: Option<At<bool>>,
    /// Said to be copied while the first one is out.
    pub copies: Option<At<bool>>,
    /// Repeats are dropped for this long.
    pub window: Option<At<Duration>>,
    /// By these boxes.
    pub scope: Option<At<Scope>>,
    /// Only boxes of these zones.
    pub zones: Option<At<Vec<At<String>>>>,
    /// Only boxes of these kinds.
    pub kinds: Option<At<Vec<At<String>>>>,
    /// Only these boxes.
    pub boxes: Option<At<Vec<At<String>>>>,
}

/// A tenant's quota.
#[derive(Clone, Debug)]
pub struct Quota {
    /// The tenant.
    pub name: At<String>,
    /// Requests a second over all nodes.
    pub per_s: At<f64>,
}

/// A cache box, or the origin where it stands among them.
#[derive(Clone, Debug)]
pub struct BoxLine {
    /// Its id.
    pub id: At<String>,
    /// Where it is; `None` where that could not be read.
    pub place: Option<At<Place>>,
    /// Whether it takes requests.
    pub state: At<State>,
    /// Its size, where that is told.
    pub weight: Option<At<f64>>,
    /// It is to be warmed up.
    pub warm_up: Option<At<bool>>,
    /// Its zone.
    pub zone: Option<At<String>>,
    /// Its kind of machine.
    pub kind: Option<At<String>>,
}

/// Where applications connect.
#[derive(Clone, Debug)]
pub struct Listen {
    /// The block.
    pub span: Span,
    /// On the network.
    pub address: Option<At<Place>>,
    /// In the file system.
    pub unix: Option<At<String>>,
    /// The socket's mode, as 0660.
    pub mode: Option<At<u32>>,
    /// The socket's owner and group, by number.
    pub owner: Option<At<u64>>,
    /// The socket's group, by number.
    pub group: Option<At<u64>>,
}

/// What a node may use.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes.
    pub memory: At<u64>,
    /// File descriptors.
    pub sockets: At<u64>,
    /// Client connections.
    pub connections: Option<At<u64>>,
    /// Requests without an answer.
    pub open: At<u64>,
}

/// What the origin takes from the whole fleet.
#[derive(Clone, Debug)]
pub struct Origin {
    /// Its kind in the list.
    pub kind: At<String>,
    /// Where it is, if the file tells.
    pub place: Option<At<Place>>,
    /// Calls out at once.
    pub outstanding: Option<At<f64>>,
    /// Calls a second.
    pub per_s: Option<At<f64>>,
}

/// What a box that has just started stands.
#[derive(Clone, Debug)]
pub struct Cold {
    /// Part of its capacity at the start.
    pub starts_at: At<f64>,
    /// It is warm after this time.
    pub warm_after: At<Duration>,
    /// It is sent this multiple of what it can do at the moment.
    pub sends_at: At<f64>,
    /// Sent this multiple, it falls over,
    pub falls_at: At<f64>,
    /// after this time.
    pub falls_after: At<Duration>,
}

/// How requests are tried again.
#[derive(Clone, Debug)]
pub struct Retries {
    /// Attempts of one request at the most.
    pub attempts: At<u64>,
    /// Safe ones may have two out at once.
    pub copies: At<bool>,
    /// Part of the requests that may be tried again after they may have run; what never ran always is.
    pub budget: At<f64>,
    /// A connection is given up after this time.
    pub connect_timeout: At<Duration>,
    /// Boxes close idle connections after this time.
    pub idle_close: At<Duration>,
    /// Attempts on one connection.
    pub multiplex: At<u64>,
}

/// The machine that several nodes share.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name.
    pub name: At<String>,
    /// Its memory.
    pub memory: Option<At<u64>>,
    /// The descriptors that it gives all of them.
    pub sockets: Option<At<u64>>,
}

/// What the application will send.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Requests a second of one sidecar.
    pub per_s: At<f64>,
    /// Part of the reads that miss.
    pub misses: At<f64>,
    /// Part of the requests that write.
    pub writes: At<f64>,
}

/// Other nodes.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Where their messages arrive.
    pub listen: Option<At<Place>>,
    /// Their addresses by their numbers.
    pub nodes: Vec<At<Place>>,
}

/// A configuration.
#[derive(Clone, Debug)]
pub struct App {
    /// The form that it was written in.
    pub kind: Kind,
    /// It is an application's sidecar: what binds sidecars is an error here, and a warning for others.
    pub sidecar: bool,
    /// The application.
    pub name: At<String>,
    /// Who pays for it.
    pub tenant: Option<At<String>>,
    /// What requests go to.
    pub upstream: At<Upstream>,
    /// Nodes of the whole fleet, this one among them.
    pub nodes: At<u64>,
    /// This one's number, from 0.
    pub me: At<u64>,
    /// Where it listens.
    pub listen: Listen,
    /// Where the list of boxes is.
    pub discovery: Option<At<Place>>,
    /// Where the operators' staff call.
    pub operator: Option<At<Place>>,
    /// Other nodes.
    pub peers: Peers,
    /// What it may use.
    pub limits: Limits,
    /// The origin; without it boxes fetch and write themselves.
    pub origin: Option<Origin>,
    /// What a cold box stands.
    pub cold: Cold,
    /// Time after which nothing new may go to a box that drains.
    pub grace: At<Duration>,
    /// How requests are tried again.
    pub retries: Retries,
    /// Zones.
    pub zones: Vec<At<String>>,
    /// Kinds of machines, without the origin's.
    pub kinds: Vec<At<String>>,
    /// Classes.
    pub classes: Vec<Class>,
    /// Quotas.
    pub quotas: Vec<Quota>,
    /// Boxes that are known before the list is.
    pub boxes: Vec<BoxLine>,
    /// Those of them that are used whatever the list says.
    pub pool: Vec<At<String>>,
    /// The machine.
    pub machine: Option<Machine>,
    /// What will come.
    pub traffic: Option<Traffic>,
    /// Names in load reports.
    pub reports: Vec<At<String>>,
}

const MS: Duration = Duration::from_millis(1);
/// Times that are waited for: none is shorter than the clock's step.
fn times(longest: Duration) -> std::ops::RangeInclusive<Duration> {
    MS..=longest
}

/// Reads an application's file; settings that can't be read have their findings, and there is an [`App`] only where
/// all that it needs could be.
pub fn read(node: &Node, hosts: &Hosts, found: &mut Vec<Finding>) -> Option<App> {
    let mut whole = Block::of(node, "", found)?;
    whole.span = 0..node.span.end.min(1);
    let file = &mut whole;
    let at = file.span.clone();
    let name = file.label("app", found);
    let name = file.need("app", name, found);
    let tenant = file.label("tenant", found);
    let tenant = file.need("tenant", tenant, found);
    let upstream = file.word("upstream", &UPSTREAMS, found);
    let upstream = upstream.unwrap_or_else(|| At::default_at(Upstream::Boxes, at.clone()));
    let nodes = file.count("nodes", 1..=MOST_NODES, found);
    let nodes = file.need("nodes", nodes, found);
    let me = file.count("me", 0..=MOST_NODES, found);
    let me = file.need("me", me, found);
    if let (Some(nodes), Some(me)) = (&nodes, &me)
        && me.value >= nodes.value
    {
        let what = format!("`me` is {} of {} nodes", me.value, nodes.value);
        let mend = "numbers begin with 0";
        found.push(
            Finding::error(code::OUT_OF_RANGE, me.span.clone(), what, mend)
                .with(nodes.span.clone(), "so many nodes"),
        );
    }
    let zones = names(file, "zones", found);
    let kinds = names(file, "kinds", found);
    let listen = listen(file, hosts, found);
    let discovery = file.block("discovery", found).and_then(|mut b| {
        let address = b.place("address", None, hosts, found);
        let address = b.need("address", address, found);
        b.end(found);
        address
    });
    let operator = file.block("operator", found).and_then(|mut b| {
        let address = b.place("address", None, hosts, found);
        let address = b.need("address", address, found);
        b.end(found);
        address
    });
    let peers = file.block("peers", found).map(|mut b| {
        let listen = b.place("listen", None, hosts, found);
        let nodes = b.texts("nodes", found).map(|t| t.value).unwrap_or_default();
        let nodes = nodes.iter().filter_map(|t| take::place("peers.nodes", t, None, hosts, found)).collect();
        b.end(found);
        Peers { listen, nodes }
    });
    let peers = peers.unwrap_or(Peers { listen: None, nodes: Vec::new() });
    let limits = limits(file, found);
    let origin = file.block("origin", found).map(|b| origin(b, hosts, found));
    let cold = cold(file, found);
    let grace = file.block("drain", found).and_then(|mut b| {
        let grace = b.time("grace", Duration::ZERO..=LONGEST, found);
        b.end(found);
        grace
    });
    let grace = grace.unwrap_or_else(|| At::default_at(Duration::from_millis(500), at.clone()));
    let retries = retries(file, upstream.value == Upstream::Tier, found);
    let classes = classes(file, found);
    if classes.is_empty() && file.entry("class").is_none() {
        let mend = "write `class \"NAME\" { }` for each kind of request";
        found.push(Finding::error(code::MISSING, at.clone(), "there is no `class`", mend));
    }
    let quotas = file.blocks("quota", found).into_iter().filter_map(|(name, mut b)| {
        let per_s = b.number("per_s", 0.001..=1e9, found);
        let per_s = b.need("per_s", per_s, found);
        b.end(found);
        Some(Quota { name, per_s: per_s? })
    });
    let quotas = quotas.collect();
    let boxes = boxes(file, hosts, found);
    let pool = names(file, "pool", found);
    let machine = file.block("machine", found).and_then(|mut b| {
        let name = b.label("name", found);
        let name = b.need("name", name, found);
        let memory = b.size("memory", 1..=1 << 53, found);
        let sockets = b.count("sockets", 1..=1 << 30, found);
        b.end(found);
        Some(Machine { name: name?, memory, sockets })
    });
    let traffic = file.block("traffic", found).and_then(|mut b| {
        let per_s = b.number("per_s", 0.0..=1e9, found);
        let per_s = b.need("per_s", per_s, found);
        let misses = b.number("misses", 0.0..=1.0, found);
        let misses = misses.unwrap_or_else(|| At::default_at(0.1, b.span.clone()));
        let writes = b.number("writes", 0.0..=1.0, found);
        let writes = writes.unwrap_or_else(|| At::default_at(0.05, b.span.clone()));
        b.end(found);
        Some(Traffic { per_s: per_s?, misses, writes })
    });
    let reports = names(file, "reports", found);
    whole.end(found);
    Some(App {
        kind: Kind::Application,
        sidecar: true,
        name: name?,
        tenant,
        upstream,
        nodes: nodes?,
        me: me?,
        listen: listen?,
        discovery,
        operator,
        peers,
        limits: limits?,
        origin,
        cold,
        grace,
        retries,
        zones,
        kinds,
        classes,
        quotas,
        boxes,
        pool,
        machine,
        traffic,
        reports,
    })
}

/// A list of names that may travel in lists and extras.
fn names(block: &mut Block<'_>, key: &'static str, found: &mut Vec<Finding>) -> Vec<At<String>> {
    let texts = block.texts(key, found).map(|t| t.value).unwrap_or_default();
    let mut names: Vec<At<String>> = Vec::new();
    for text in texts {
        let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        let name = block.name(key);
        if text.value.is_empty() || text.value.len() > 64 || !text.value.bytes().all(plain) {
            let what = format!("`{name}` holds {:?}, which is no name", text.value);
            found.push(Finding::error(code::BAD_NAME, text.span, what, code::BAD_NAME.mend()));
        } else if let Some(before) = names.iter().find(|n| n.value == text.value) {
            let what = format!("`{name}` holds {:?} twice", text.value);
            let twice = Finding::error(code::DUPLICATE_KEY, text.span, what, "keep one");
            found.push(twice.with(before.span.clone(), "the first one"));
        } else {
            names.push(text);
        }
    }
    names
}

fn listen(file: &mut Block<'_>, hosts: &Hosts, found: &mut Vec<Finding>) -> Option<Listen> {
    let Some(mut b) = file.block("listen", found) else {
        if file.entry("listen").is_none() {
            let mend = "write `listen { address = \"127.0.0.1:6379\" }`";
            found.push(Finding::error(code::MISSING, file.span.clone(), "there is no `listen`", mend));
        }
        return None;
    };
    let address = b.place("address", None, hosts, found);
    let unix = b.text("unix", found);
    let mode = b.text("mode", found).and_then(|m| {
        let octal = m.value.strip_prefix('0').filter(|o| o.len() == 3);
        let mode = octal.and_then(|o| u32::from_str_radix(o, 8).ok());
        if mode.is_none() {
            let what = format!("`listen.mode` is {:?}", m.value);
            found.push(Finding::error(
                code::WRONG_TYPE,
                m.span.clone(),
                what,
                "write four octal digits, as \"0660\"",
            ));
        }
        mode.map(|mode| At::new(mode, m.span))
    });
    let owner = b.count("owner", 0..=u64::from(u32::MAX) - 1, found);
    let group = b.count("group", 0..=u64::from(u32::MAX) - 1, found);
    let span = b.span.clone();
    b.end(found);
    Some(Listen { span, address, unix, mode, owner, group })
}

fn limits(file: &mut Block<'_>, found: &mut Vec<Finding>) -> Option<Limits> {
    let Some(mut b) = file.block("limits", found) else {
        if file.entry("limits").is_none() {
            let mend = "write `limits { memory = \"64 MiB\" sockets = 512 open = 200 connections = 128 }`, a line each";
            found.push(Finding::error(code::MISSING, file.span.clone(), "there is no `limits`", mend));
        }
        return None;
    };
    let memory = b.size("memory", 16 << 20..=1 << 40, found);
    let memory = b.need("memory", memory, found);
    let sockets = b.count("sockets", 1..=1 << 30, found);
    let sockets = b.need("sockets", sockets, found);
    let connections = b.count("connections", 1..=1 << 30, found);
    let open = b.count("open", 1..=1 << 24, found);
    let open = b.need("open", open, found);
    b.end(found);
    Some(Limits { memory: memory?, sockets: sockets?, connections, open: open? })
}

fn origin(mut b: Block<'_>, hosts: &Hosts, found: &mut Vec<Finding>) -> Origin {
    let kind = b.label("kind", found).unwrap_or_else(|| At::default_at("origin".into(), b.span.clone()));
    let place = b.place("address", None, hosts, found);
    let outstanding = b.number("outstanding", 1.0..=1e6, found);
    let per_s = b.number("per_s", 1.0..=1e9, found);
    b.end(found);
    Origin { kind, place, outstanding, per_s }
}

fn cold(file: &mut Block<'_>, found: &mut Vec<Finding>) -> Cold {
    let none = Block::empty("cold", file.span.clone());
    let mut b = file.block("cold", found).unwrap_or(none);
    let span = b.span.clone();
    let or = |number: Option<At<f64>>, default: f64| {
        number.unwrap_or_else(|| At::default_at(default, span.clone()))
    };
    let starts_at = or(b.number("starts_at", 0.001..=1.0, found), 0.12);
    let sends_at = or(b.number("sends_at", 0.1..=100.0, found), 1.5);
    let falls_at = or(b.number("falls_at", 0.1..=100.0, found), 3.0);
    let warm_after = b.time("warm_after", times(LONGEST), found);
    let falls_after = b.time("falls_after", times(LONGEST), found);
    let span = b.span.clone();
    b.end(found);
    let or = |time: Option<At<Duration>>, s: u64| {
        time.unwrap_or_else(|| At::default_at(Duration::from_secs(s), span.clone()))
    };
    Cold { starts_at, sends_at, falls_at, warm_after: or(warm_after, 21), falls_after: or(falls_after, 2) }
}

fn retries(file: &mut Block<'_>, tier: bool, found: &mut Vec<Finding>) -> Retries {
    let none = Block::empty("retries", file.span.clone());
    let mut b = file.block("retries", found).unwrap_or(none);
    let span = b.span.clone();
    let attempts = b.count("attempts", 1..=10, found);
    let copies = b.flag("copies", found);
    let budget = b.number("budget", 0.0..=1.0, found);
    let connect_timeout = b.time("connect_timeout", times(Duration::from_secs(60)), found);
    let idle_close = b.time("idle_close", times(LONGEST), found);
    let multiplex = b.count("multiplex", 1..=1024, found);
    b.end(found);
    Retries {
        attempts: attempts.unwrap_or_else(|| At::default_at(3, span.clone())),
        copies: copies.unwrap_or_else(|| At::default_at(false, span.clone())),
        budget: budget.unwrap_or_else(|| At::default_at(if tier { 0.0 } else { BUDGET }, span.clone())),
        connect_timeout: connect_timeout
            .unwrap_or_else(|| At::default_at(Duration::from_millis(120), span.clone())),
        idle_close: idle_close.unwrap_or_else(|| At::default_at(Duration::from_secs(60), span.clone())),
        multiplex: multiplex.unwrap_or_else(|| At::default_at(32, span.clone())),
    }
}

fn classes(file: &mut Block<'_>, found: &mut Vec<Finding>) -> Vec<Class> {
    let mut classes = Vec::new();
    for (name, mut b) in file.blocks("class", found) {
        let effect = b.word("effect", &EFFECTS, found);
        let effect = b.need("effect", effect, found);
        let command = b.word("command", &COMMANDS, found);
        let command = b.need("command", command, found);
        let default = b.flag("default", found).is_some_and(|d| d.value);
        let aim = b.time("aim", times(LONGEST_DEADLINE), found);
        let aim = b.need("aim", aim, found);
        let deadline = b.time("deadline", times(LONGEST_DEADLINE), found);
        let deadline = b.need("deadline", deadline, found);
        let span = b.span.clone();
        let worth =
            b.number("worth", 0.001..=1e6, found).unwrap_or_else(|| At::default_at(1.0, span.clone()));
        let late_worth =
            b.number("late_worth", 0.0..=1.0, found).unwrap_or_else(|| At::default_at(0.0, span.clone()));
        let repeat = b.flag("repeat", found);
        let copies = b.flag("copies", found);
        let window = b.time("window", times(LONGEST), found);
        let scope = b.word("scope", &SCOPES, found);
        let (zones, kinds, boxes) =
            (b.texts("zones", found), b.texts("kinds", found), b.texts("boxes", found));
        b.end(found);
        if let (Some(effect), Some(aim), Some(deadline)) = (effect, aim, deadline) {
            classes.push(Class {
                name,
                effect,
                command,
                default,
                aim,
                deadline,
                worth,
                late_worth,
                repeat,
                copies,
                window,
                scope,
                zones,
                kinds,
                boxes,
            });
        }
    }
    classes
}

fn boxes(file: &mut Block<'_>, hosts: &Hosts, found: &mut Vec<Finding>) -> Vec<BoxLine> {
    let mut boxes = Vec::new();
    for (id, mut b) in file.blocks("box", found) {
        let place = b.place("address", Some(BOX_PORT), hosts, found);
        let place = b.need("address", place, found);
        let state = b.word("state", &STATES, found);
        let state = state.unwrap_or_else(|| At::default_at(State::Ready, b.span.clone()));
        let weight = b.number("weight", 0.0..=1e3, found);
        let warm_up = b.flag("warm_up", found);
        let (zone, kind) = (b.label("zone", found), b.label("kind", found));
        b.end(found);
        boxes.push(BoxLine { id, place, state, weight, warm_up, zone, kind });
    }
    boxes
}
