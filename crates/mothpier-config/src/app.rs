//! The configuration model, shared by both kinds of file: an application's own file and the file that a node
//! is started with. Also reads an application's file. Every setting keeps the position that it was read from.

use std::time::Duration;

use crate::block::{self, Block};
use crate::code;
use crate::endpoint::{Endpoint, Hosts};
use crate::finding::Finding;
use crate::tree::{Span, Spanned, TreeNode};

/// Default port of cache servers.
pub const DEFAULT_SERVER_PORT: u16 = 6379;
/// Longest duration that a setting accepts.
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);
/// Largest number of nodes in a fleet.
pub const MAX_NODES: u64 = 10_000;
/// Default share of requests that may be retried; the same as the policy's default.
pub const DEFAULT_RETRY_BUDGET: f64 = 0.2;
/// Longest deadline of a class; cache requests never take longer.
const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// The kind of a configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// An application's file: HCL or TOML.
    Application,
    /// The file that a node is started with: JSON.
    Node,
}

/// The side effect of a class's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// No side effect: a request may be repeated.
    Safe,
    /// A side effect with a key: a repeat with the same key is dropped.
    Keyed,
    /// A side effect that a repeat would cause again.
    Unsafe,
}

/// Keywords for effects.
pub const EFFECTS: [(&str, Effect); 3] =
    [("safe", Effect::Safe), ("keyed", Effect::Keyed), ("unsafe", Effect::Unsafe)];

/// Which cache servers drop a repeat of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All cache servers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// Keywords for scopes.
pub const SCOPES: [(&str, Scope); 3] = [("all", Scope::All), ("zone", Scope::Zone), ("cell", Scope::Cell)];

/// The command with which an application sends a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Command {
    /// `CACHE.GET`.
    Read,
    /// `CACHE.SET`.
    Write,
}

/// Keywords for commands.
pub const COMMANDS: [(&str, Command); 2] = [("read", Command::Read), ("write", Command::Write)];

/// The state of a cache server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes requests.
    Ready,
    /// Finishes its open requests and takes no new ones.
    Draining,
    /// No longer exists.
    Gone,
}

/// Keywords for states.
pub const STATES: [(&str, State); 3] =
    [("ready", State::Ready), ("draining", State::Draining), ("gone", State::Gone)];

/// Where a node sends its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// The cache servers.
    CacheServers,
    /// The nodes of the shared tier.
    Tier,
}

/// Keywords for upstreams.
pub const UPSTREAMS: [(&str, Upstream); 2] = [("boxes", Upstream::CacheServers), ("tier", Upstream::Tier)];

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name.
    pub name: Spanned<String>,
    /// Side effect of its requests.
    pub effect: Spanned<Effect>,
    /// Command that sends it; unknown in a node's file without a `sidecar` section.
    pub command: Option<Spanned<Command>>,
    /// Whether requests of this command that name no class belong to it.
    pub default: bool,
    /// Target latency.
    pub aim: Spanned<Duration>,
    /// Time after which the client stops waiting.
    pub deadline: Spanned<Duration>,
    /// Worth of an answer within the target latency, relative to other classes.
    pub worth: Spanned<f64>,
    /// Share of the worth that an answer after the target latency still has.
    pub late_worth: Spanned<f64>,
    /// Whether the file marks it as safe to repeat.
    pub repeat: Option<Spanned<bool>>,
    /// Whether the file allows a second attempt while the first is pending.
    pub copies: Option<Spanned<bool>>,
    /// Time during which a repeat of a key is dropped.
    pub window: Option<Spanned<Duration>>,
    /// Cache servers that drop the repeat.
    pub scope: Option<Spanned<Scope>>,
    /// Restricts the class to cache servers of these zones.
    pub zones: Option<Spanned<Vec<Spanned<String>>>>,
    /// Restricts the class to cache servers of these kinds.
    pub kinds: Option<Spanned<Vec<Spanned<String>>>>,
    /// Restricts the class to these cache servers.
    pub servers: Option<Spanned<Vec<Spanned<String>>>>,
}

/// A tenant's quota.
#[derive(Clone, Debug)]
pub struct Quota {
    /// Name of the tenant.
    pub name: Spanned<String>,
    /// Requests per second over all nodes.
    pub per_s: Spanned<f64>,
}

/// A cache server, or the origin if it is listed among them.
#[derive(Clone, Debug)]
pub struct CacheServer {
    /// Id.
    pub id: Spanned<String>,
    /// Network endpoint; `None` if it could not be read.
    pub endpoint: Option<Spanned<Endpoint>>,
    /// State.
    pub state: Spanned<State>,
    /// Weight, if stated.
    pub weight: Option<Spanned<f64>>,
    /// Whether to warm it up.
    pub warm_up: Option<Spanned<bool>>,
    /// Zone.
    pub zone: Option<Spanned<String>>,
    /// Kind of machine.
    pub kind: Option<Spanned<String>>,
}

/// The listener to which applications connect.
#[derive(Clone, Debug)]
pub struct Listen {
    /// Position of the block.
    pub span: Span,
    /// Network address.
    pub address: Option<Spanned<Endpoint>>,
    /// Path of the Unix socket.
    pub unix: Option<Spanned<String>>,
    /// Mode of the Unix socket, such as 0660.
    pub mode: Option<Spanned<u32>>,
    /// User id of the socket's owner.
    pub owner: Option<Spanned<u64>>,
    /// Group id of the socket.
    pub group: Option<Spanned<u64>>,
}

/// Resource limits of a node.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Memory in bytes.
    pub memory: Spanned<u64>,
    /// File descriptors.
    pub sockets: Spanned<u64>,
    /// Client connections.
    pub connections: Option<Spanned<u64>>,
    /// Open requests: those without an answer yet.
    pub open: Spanned<u64>,
}

/// The origin and its limits, which the whole fleet shares.
#[derive(Clone, Debug)]
pub struct Origin {
    /// Kind under which the server list has it.
    pub kind: Spanned<String>,
    /// Network endpoint, if stated.
    pub endpoint: Option<Spanned<Endpoint>>,
    /// Concurrent calls.
    pub outstanding: Option<Spanned<f64>>,
    /// Calls per second.
    pub per_s: Option<Spanned<f64>>,
}

/// The capacity of a cold cache server, one that has just started.
#[derive(Clone, Debug)]
pub struct Cold {
    /// Share of its capacity at the start.
    pub starts_at: Spanned<f64>,
    /// Time until it is warm.
    pub warm_after: Spanned<Duration>,
    /// Load that it is sent, as a multiple of its current capacity.
    pub sends_at: Spanned<f64>,
    /// Load at which it fails, as a multiple of its current capacity.
    pub falls_at: Spanned<f64>,
    /// Time under that load after which it fails.
    pub falls_after: Spanned<Duration>,
}

/// Retries and connections to cache servers.
#[derive(Clone, Debug)]
pub struct Retries {
    /// Maximum number of attempts per request.
    pub attempts: Spanned<u64>,
    /// Whether a safe request may have two attempts pending.
    pub copies: Spanned<bool>,
    /// Share of requests that may be retried after they may have run; a request that never ran is always
    /// retried.
    pub budget: Spanned<f64>,
    /// Time-out for connecting.
    pub connect_timeout: Spanned<Duration>,
    /// Time after which cache servers close idle connections.
    pub idle_close: Spanned<Duration>,
    /// Concurrent attempts per connection.
    pub multiplex: Spanned<u64>,
}

/// The machine that several nodes share.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Name.
    pub name: Spanned<String>,
    /// Memory in bytes.
    pub memory: Option<Spanned<u64>>,
    /// File descriptors available to all nodes together.
    pub sockets: Option<Spanned<u64>>,
}

/// The traffic that the application expects to send.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Requests per second of one sidecar.
    pub per_s: Spanned<f64>,
    /// Share of reads that miss.
    pub misses: Spanned<f64>,
    /// Share of requests that write.
    pub writes: Spanned<f64>,
}

/// The other nodes of the fleet.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Endpoint that receives their messages.
    pub listen: Option<Spanned<Endpoint>>,
    /// Endpoints of the nodes, by index.
    pub nodes: Vec<Spanned<Endpoint>>,
}

/// A configuration.
#[derive(Clone, Debug)]
pub struct App {
    /// Kind of file that it was read from.
    pub kind: FileKind,
    /// Whether the node is an application's sidecar. Violated rules are errors for sidecars and warnings for
    /// other nodes.
    pub sidecar: bool,
    /// Name of the application.
    pub name: Spanned<String>,
    /// Tenant that its requests are charged to.
    pub tenant: Option<Spanned<String>>,
    /// Where requests are sent.
    pub upstream: Spanned<Upstream>,
    /// Number of nodes in the fleet, including this one.
    pub nodes: Spanned<u64>,
    /// Index of this node, from 0.
    pub node_index: Spanned<u64>,
    /// Listener.
    pub listen: Listen,
    /// Endpoint that serves the server list.
    pub discovery: Option<Spanned<Endpoint>>,
    /// Endpoint for operators.
    pub operator: Option<Spanned<Endpoint>>,
    /// The other nodes.
    pub peers: Peers,
    /// Resource limits.
    pub limits: Limits,
    /// Origin; without one, cache servers fetch and write through themselves.
    pub origin: Option<Origin>,
    /// Capacity of a cold cache server.
    pub cold: Cold,
    /// Time after a drain notice during which a cache server may still be sent requests.
    pub grace: Spanned<Duration>,
    /// Retries and connections to cache servers.
    pub retries: Retries,
    /// Zones.
    pub zones: Vec<Spanned<String>>,
    /// Kinds of machines, without the origin's.
    pub kinds: Vec<Spanned<String>>,
    /// Classes.
    pub classes: Vec<Class>,
    /// Quotas.
    pub quotas: Vec<Quota>,
    /// Cache servers that are known before the server list arrives.
    pub servers: Vec<CacheServer>,
    /// Cache servers that are used regardless of the server list.
    pub pool: Vec<Spanned<String>>,
    /// Machine.
    pub machine: Option<Machine>,
    /// Expected traffic.
    pub traffic: Option<Traffic>,
    /// Field names in load reports.
    pub reports: Vec<Spanned<String>>,
}

/// Shortest duration that a setting accepts: one step of the clock.
const MIN_DURATION: Duration = Duration::from_millis(1);

/// Returns the bounds of a duration that something waits for.
fn positive_up_to(longest: Duration) -> std::ops::RangeInclusive<Duration> {
    MIN_DURATION..=longest
}

/// Reads an application's file. Reports settings that can't be read, and returns an [`App`] only if all
/// required settings could be read.
pub fn read(node: &TreeNode, hosts: &Hosts, findings: &mut Vec<Finding>) -> Option<App> {
    let mut root = Block::from_node(node, "", findings)?;
    root.span = 0..node.span.end.min(1);
    let file = &mut root;
    let span = file.span.clone();
    let name = file.identifier("app", findings);
    let name = file.require("app", name, findings);
    let tenant = file.identifier("tenant", findings);
    let tenant = file.require("tenant", tenant, findings);
    let upstream = file.keyword("upstream", &UPSTREAMS, findings);
    let upstream = upstream.unwrap_or_else(|| Spanned::default_at(Upstream::CacheServers, span.clone()));
    let nodes = file.integer("nodes", 1..=MAX_NODES, findings);
    let nodes = file.require("nodes", nodes, findings);
    let me = file.integer("me", 0..=MAX_NODES, findings);
    let me = file.require("me", me, findings);
    if let (Some(nodes), Some(me)) = (&nodes, &me)
        && me.value >= nodes.value
    {
        let problem = format!("`me` is {} of {} nodes", me.value, nodes.value);
        let fix = "numbers start from 0";
        findings.push(
            Finding::error(code::OUT_OF_RANGE, me.span.clone(), problem, fix)
                .with_related(nodes.span.clone(), "the number of nodes"),
        );
    }
    let zones = read_names(file, "zones", findings);
    let kinds = read_names(file, "kinds", findings);
    let listen = read_listen(file, hosts, findings);
    let discovery = file.block("discovery", findings).and_then(|mut block| {
        let address = block.endpoint("address", None, hosts, findings);
        let address = block.require("address", address, findings);
        block.reject_unknown_keys(findings);
        address
    });
    let operator = file.block("operator", findings).and_then(|mut block| {
        let address = block.endpoint("address", None, hosts, findings);
        let address = block.require("address", address, findings);
        block.reject_unknown_keys(findings);
        address
    });
    let peers = file.block("peers", findings).map(|mut block| {
        let listen = block.endpoint("listen", None, hosts, findings);
        let nodes = block.strings("nodes", findings).map(|t| t.value).unwrap_or_default();
        let nodes = nodes
            .iter()
            .filter_map(|t| block::parse_endpoint("peers.nodes", t, None, hosts, findings))
            .collect();
        block.reject_unknown_keys(findings);
        Peers { listen, nodes }
    });
    let peers = peers.unwrap_or(Peers { listen: None, nodes: Vec::new() });
    let limits = read_limits(file, findings);
    let origin = file.block("origin", findings).map(|block| read_origin(block, hosts, findings));
    let cold = read_cold(file, findings);
    let grace = file.block("drain", findings).and_then(|mut block| {
        let grace = block.duration("grace", Duration::ZERO..=MAX_DURATION, findings);
        block.reject_unknown_keys(findings);
        grace
    });
    let grace = grace.unwrap_or_else(|| Spanned::default_at(Duration::from_millis(500), span.clone()));
    let retries = read_retries(file, upstream.value == Upstream::Tier, findings);
    let classes = read_classes(file, findings);
    if classes.is_empty() && file.entry("class").is_none() {
        let fix = "write `class \"NAME\" { }` for each kind of request";
        findings.push(Finding::error(code::MISSING, span.clone(), "there is no `class`", fix));
    }
    let quotas = file.named_blocks("quota", findings).into_iter().filter_map(|(name, mut block)| {
        let per_s = block.number("per_s", 0.001..=1e9, findings);
        let per_s = block.require("per_s", per_s, findings);
        block.reject_unknown_keys(findings);
        Some(Quota { name, per_s: per_s? })
    });
    let quotas = quotas.collect();
    let servers = read_servers(file, hosts, findings);
    let pool = read_names(file, "pool", findings);
    let machine = file.block("machine", findings).and_then(|mut block| {
        let name = block.identifier("name", findings);
        let name = block.require("name", name, findings);
        let memory = block.size("memory", 1..=1 << 53, findings);
        let sockets = block.integer("sockets", 1..=1 << 30, findings);
        block.reject_unknown_keys(findings);
        Some(Machine { name: name?, memory, sockets })
    });
    let traffic = file.block("traffic", findings).and_then(|mut block| {
        let per_s = block.number("per_s", 0.0..=1e9, findings);
        let per_s = block.require("per_s", per_s, findings);
        let misses = block.number("misses", 0.0..=1.0, findings);
        let misses = misses.unwrap_or_else(|| Spanned::default_at(0.1, block.span.clone()));
        let writes = block.number("writes", 0.0..=1.0, findings);
        let writes = writes.unwrap_or_else(|| Spanned::default_at(0.05, block.span.clone()));
        block.reject_unknown_keys(findings);
        Some(Traffic { per_s: per_s?, misses, writes })
    });
    let reports = read_names(file, "reports", findings);
    root.reject_unknown_keys(findings);
    Some(App {
        kind: FileKind::Application,
        sidecar: true,
        name: name?,
        tenant,
        upstream,
        nodes: nodes?,
        node_index: me?,
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
        servers,
        pool,
        machine,
        traffic,
        reports,
    })
}

/// Reads a list of unique identifiers.
fn read_names(block: &mut Block<'_>, key: &'static str, findings: &mut Vec<Finding>) -> Vec<Spanned<String>> {
    let texts = block.strings(key, findings).map(|t| t.value).unwrap_or_default();
    let mut names: Vec<Spanned<String>> = Vec::new();
    for text in texts {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
        let name = block.full_name(key);
        if text.value.is_empty() || text.value.len() > 64 || !text.value.bytes().all(is_allowed) {
            let problem = format!("`{name}` holds {:?}, which is not a valid name", text.value);
            findings.push(Finding::error(code::BAD_NAME, text.span, problem, code::BAD_NAME.fix()));
        } else if let Some(before) = names.iter().find(|n| n.value == text.value) {
            let problem = format!("`{name}` holds {:?} twice", text.value);
            let duplicate = Finding::error(code::DUPLICATE_KEY, text.span, problem, "keep one");
            findings.push(duplicate.with_related(before.span.clone(), "the first one"));
        } else {
            names.push(text);
        }
    }
    names
}

fn read_listen(file: &mut Block<'_>, hosts: &Hosts, findings: &mut Vec<Finding>) -> Option<Listen> {
    let Some(mut block) = file.block("listen", findings) else {
        if file.entry("listen").is_none() {
            let fix = "write `listen { address = \"127.0.0.1:6379\" }`";
            findings.push(Finding::error(code::MISSING, file.span.clone(), "there is no `listen`", fix));
        }
        return None;
    };
    let address = block.endpoint("address", None, hosts, findings);
    let unix = block.string("unix", findings);
    let mode = block.string("mode", findings).and_then(|text| {
        let octal = text.value.strip_prefix('0').filter(|o| o.len() == 3);
        let mode = octal.and_then(|o| u32::from_str_radix(o, 8).ok());
        if mode.is_none() {
            let problem = format!("`listen.mode` is {:?}", text.value);
            findings.push(Finding::error(
                code::WRONG_TYPE,
                text.span.clone(),
                problem,
                "write four octal digits, such as \"0660\"",
            ));
        }
        mode.map(|mode| Spanned::new(mode, text.span))
    });
    let owner = block.integer("owner", 0..=u64::from(u32::MAX) - 1, findings);
    let group = block.integer("group", 0..=u64::from(u32::MAX) - 1, findings);
    let span = block.span.clone();
    block.reject_unknown_keys(findings);
    Some(Listen { span, address, unix, mode, owner, group })
}

fn read_limits(file: &mut Block<'_>, findings: &mut Vec<Finding>) -> Option<Limits> {
    let Some(mut block) = file.block("limits", findings) else {
        if file.entry("limits").is_none() {
            let fix = "write `limits { memory = \"64 MiB\" sockets = 512 open = 200 connections = 128 }`, each on its own line";
            findings.push(Finding::error(code::MISSING, file.span.clone(), "there is no `limits`", fix));
        }
        return None;
    };
    let memory = block.size("memory", 16 << 20..=1 << 40, findings);
    let memory = block.require("memory", memory, findings);
    let sockets = block.integer("sockets", 1..=1 << 30, findings);
    let sockets = block.require("sockets", sockets, findings);
    let connections = block.integer("connections", 1..=1 << 30, findings);
    let open = block.integer("open", 1..=1 << 24, findings);
    let open = block.require("open", open, findings);
    block.reject_unknown_keys(findings);
    Some(Limits { memory: memory?, sockets: sockets?, connections, open: open? })
}

fn read_origin(mut block: Block<'_>, hosts: &Hosts, findings: &mut Vec<Finding>) -> Origin {
    let kind = block
        .identifier("kind", findings)
        .unwrap_or_else(|| Spanned::default_at("origin".into(), block.span.clone()));
    let endpoint = block.endpoint("address", None, hosts, findings);
    let outstanding = block.number("outstanding", 1.0..=1e6, findings);
    let per_s = block.number("per_s", 1.0..=1e9, findings);
    block.reject_unknown_keys(findings);
    Origin { kind, endpoint, outstanding, per_s }
}

fn read_cold(file: &mut Block<'_>, findings: &mut Vec<Finding>) -> Cold {
    let absent = Block::empty("cold", file.span.clone());
    let mut block = file.block("cold", findings).unwrap_or(absent);
    let span = block.span.clone();
    let or_default = |number: Option<Spanned<f64>>, default: f64| {
        number.unwrap_or_else(|| Spanned::default_at(default, span.clone()))
    };
    let starts_at = or_default(block.number("starts_at", 0.001..=1.0, findings), 0.12);
    let sends_at = or_default(block.number("sends_at", 0.1..=100.0, findings), 1.5);
    let falls_at = or_default(block.number("falls_at", 0.1..=100.0, findings), 3.0);
    let warm_after = block.duration("warm_after", positive_up_to(MAX_DURATION), findings);
    let falls_after = block.duration("falls_after", positive_up_to(MAX_DURATION), findings);
    let span = block.span.clone();
    block.reject_unknown_keys(findings);
    let or_default = |time: Option<Spanned<Duration>>, s: u64| {
        time.unwrap_or_else(|| Spanned::default_at(Duration::from_secs(s), span.clone()))
    };
    Cold {
        starts_at,
        sends_at,
        falls_at,
        warm_after: or_default(warm_after, 21),
        falls_after: or_default(falls_after, 2),
    }
}

fn read_retries(file: &mut Block<'_>, tier: bool, findings: &mut Vec<Finding>) -> Retries {
    let absent = Block::empty("retries", file.span.clone());
    let mut block = file.block("retries", findings).unwrap_or(absent);
    let span = block.span.clone();
    let attempts = block.integer("attempts", 1..=10, findings);
    let copies = block.boolean("copies", findings);
    let budget = block.number("budget", 0.0..=1.0, findings);
    let connect_timeout =
        block.duration("connect_timeout", positive_up_to(Duration::from_secs(60)), findings);
    let idle_close = block.duration("idle_close", positive_up_to(MAX_DURATION), findings);
    let multiplex = block.integer("multiplex", 1..=1024, findings);
    block.reject_unknown_keys(findings);
    Retries {
        attempts: attempts.unwrap_or_else(|| Spanned::default_at(3, span.clone())),
        copies: copies.unwrap_or_else(|| Spanned::default_at(false, span.clone())),
        budget: budget.unwrap_or_else(|| {
            Spanned::default_at(if tier { 0.0 } else { DEFAULT_RETRY_BUDGET }, span.clone())
        }),
        connect_timeout: connect_timeout
            .unwrap_or_else(|| Spanned::default_at(Duration::from_millis(120), span.clone())),
        idle_close: idle_close.unwrap_or_else(|| Spanned::default_at(Duration::from_secs(60), span.clone())),
        multiplex: multiplex.unwrap_or_else(|| Spanned::default_at(32, span.clone())),
    }
}

fn read_classes(file: &mut Block<'_>, findings: &mut Vec<Finding>) -> Vec<Class> {
    let mut classes = Vec::new();
    for (name, mut block) in file.named_blocks("class", findings) {
        let effect = block.keyword("effect", &EFFECTS, findings);
        let effect = block.require("effect", effect, findings);
        let command = block.keyword("command", &COMMANDS, findings);
        let command = block.require("command", command, findings);
        let default = block.boolean("default", findings).is_some_and(|d| d.value);
        let aim = block.duration("aim", positive_up_to(MAX_DEADLINE), findings);
        let aim = block.require("aim", aim, findings);
        let deadline = block.duration("deadline", positive_up_to(MAX_DEADLINE), findings);
        let deadline = block.require("deadline", deadline, findings);
        let span = block.span.clone();
        let worth = block
            .number("worth", 0.001..=1e6, findings)
            .unwrap_or_else(|| Spanned::default_at(1.0, span.clone()));
        let late_worth = block
            .number("late_worth", 0.0..=1.0, findings)
            .unwrap_or_else(|| Spanned::default_at(0.0, span.clone()));
        let repeat = block.boolean("repeat", findings);
        let copies = block.boolean("copies", findings);
        let window = block.duration("window", positive_up_to(MAX_DURATION), findings);
        let scope = block.keyword("scope", &SCOPES, findings);
        let (zones, kinds, servers) = (
            block.strings("zones", findings),
            block.strings("kinds", findings),
            block.strings("boxes", findings),
        );
        block.reject_unknown_keys(findings);
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
                servers,
            });
        }
    }
    classes
}

fn read_servers(file: &mut Block<'_>, hosts: &Hosts, findings: &mut Vec<Finding>) -> Vec<CacheServer> {
    let mut servers = Vec::new();
    for (id, mut block) in file.named_blocks("box", findings) {
        let endpoint = block.endpoint("address", Some(DEFAULT_SERVER_PORT), hosts, findings);
        let endpoint = block.require("address", endpoint, findings);
        let state = block.keyword("state", &STATES, findings);
        let state = state.unwrap_or_else(|| Spanned::default_at(State::Ready, block.span.clone()));
        let weight = block.number("weight", 0.0..=1e3, findings);
        let warm_up = block.boolean("warm_up", findings);
        let (zone, kind) = (block.identifier("zone", findings), block.identifier("kind", findings));
        block.reject_unknown_keys(findings);
        servers.push(CacheServer { id, endpoint, state, weight, warm_up, zone, kind });
    }
    servers
}
