//! The configuration of a node, read from the environment and the JSON files that it names.

pub mod coordination;
pub mod sidecar;
pub mod sources;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use brassrouter::settings::{self, Site};
use mothpier_config::{Form as FileForm, Hosts, Severity};
use mothpier_net::UnixSocketSpec;
pub use mothpier_slots::refresh::Budget as RefreshBudget;
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::admin_listener;
use crate::event_log::{self, LogFormat};
use crate::handover_store::{DirectoryStore, HandoverStore};
use crate::messages::ServerList;

/// The smallest limit on file descriptors with which a node can work.
const MIN_SOCKETS: usize = 32;

/// The whole configuration of a node.
pub struct Config {
    /// The node's name, used in its log.
    pub name: String,
    /// The address or socket on which clients are accepted.
    pub listen: Listen,
    /// The address of the discovery service; `None` for a sidecar whose servers are the nodes of a tier,
    /// which the configuration file lists.
    pub discovery: Option<SocketAddr>,
    /// The seed of the node's random numbers.
    pub seed: u64,
    /// The most file descriptors that the process may have open.
    pub sockets: usize,
    /// The memory that the node may use, in bytes.
    pub memory: usize,
    /// The listening address of the admin interface; `None` disables it.
    pub operator: Option<SocketAddr>,
    /// The client listener, if the platform opened it and each process of the node inherits it.
    pub inherited_listener: Option<std::net::TcpListener>,
    /// Where a process of the node stores the state that the next one takes over.
    pub handover_store: Option<Rc<dyn HandoverStore>>,
    /// The address for datagrams from other nodes; `None` disables peer messages.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of the tier's nodes, indexed by node number.
    pub peers: Vec<SocketAddr>,
    /// An address that reaches all nodes of the tier at once.
    pub peers_all: Option<SocketAddr>,
    /// The last server list that was known before this start.
    pub cached_list: Option<ServerList>,
    /// The deployment's settings.
    pub site: Site,
    /// The client address of each node of the tier, indexed by node number. Cluster-aware clients are served
    /// only if this is set.
    pub cluster: Option<Vec<SocketAddr>>,
    /// How to use cache servers that form a cluster; `None` for servers without cluster mode.
    pub server_pool: Option<ServerPoolConfig>,
    /// Sources of cache servers beside the server list.
    pub sources: Option<sources::Sources>,
    /// The coordinators. The node carries out the commands of the lease holders that they name.
    pub coordination: Option<coordination::Coordination>,
    /// Set if the node is the sidecar of one application.
    pub sidecar: Option<sidecar::Sidecar>,
    /// The format of the log of request and connection events; `None` disables it.
    pub events: Option<LogFormat>,
    /// Warnings from the checks of the configuration, one line each. They do not prevent the start.
    pub warnings: Vec<String>,
}

impl Config {
    /// Lowers `sockets` to the limit on open files that the operating system sets for the process.
    ///
    /// # Errors
    ///
    /// A one-line message if that limit is too low for a node to work.
    fn apply_open_file_limit(&mut self, open_files: Option<usize>) -> Result<(), String> {
        let Some(allowed) = open_files.filter(|allowed| *allowed < self.sockets) else { return Ok(()) };
        if allowed < MIN_SOCKETS {
            return Err(format!(
                "the process may open only {allowed} files; a node needs at least {MIN_SOCKETS}"
            ));
        }
        let configured = self.sockets;
        self.warnings.push(format!(
            "limits.sockets: {configured} exceeds the process limit on open files; using {allowed}"
        ));
        self.sockets = allowed;
        Ok(())
    }
}

/// The listener for clients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Listen {
    /// A TCP address.
    Address(SocketAddr),
    /// A Unix domain socket.
    Unix(UnixSocketSpec),
}

impl std::fmt::Display for Listen {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Listen::Address(address) => address.fmt(f),
            Listen::Unix(spec) => spec.path.display().fmt(f),
        }
    }
}

/// How cache servers that form a cluster are used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerPoolConfig {
    /// Whether replicas may be read, whose values may be older than the slot owner's.
    pub read_copies: bool,
    /// How often servers are asked for their slot map. `nodes` is replaced by the number of balancers in the
    /// settings.
    pub budget: RefreshBudget,
    /// How long to wait for a server's complete slot map.
    pub wait: Duration,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServerPoolFile {
    dialect: String,
    #[serde(default)]
    read_copies: bool,
    #[serde(default)]
    refresh: RefreshFile,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RefreshFile {
    ask: usize,
    tier_per_s: f64,
    wait_ms: u64,
    calm_s: u64,
}

impl Default for RefreshFile {
    fn default() -> Self {
        let budget = RefreshBudget::default();
        RefreshFile {
            ask: budget.servers_per_round,
            tier_per_s: budget.tier_per_s,
            wait_ms: 500,
            calm_s: budget.idle_interval_ms / 1000,
        }
    }
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    #[serde(default)]
    seed: serde_json::Value,
    #[serde(default)]
    limits: Limits,
    operator: Option<String>,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    peers_all: Option<String>,
    known: Option<ServerList>,
    settings: serde_json::Value,
    sidecar: Option<sidecar::Section>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClusterFile {
    nodes: Vec<String>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192.0, sockets: 1024 }
    }
}

/// Which source of the discovery address takes precedence.
#[derive(Clone, Copy, PartialEq)]
pub enum Precedence {
    /// The environment, at the start.
    Environment,
    /// The file, at a reload: the environment of a running process cannot be changed.
    File,
}

/// Reads the environment and the files that it names.
///
/// # Errors
///
/// A one-line message that names what is missing or invalid.
pub fn read(precedence: Precedence) -> Result<Config, String> {
    let env = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
    let path = env("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
    let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
    let mut config = parse(&text, &env, precedence).map_err(|e| format!("{path}: {e}"))?;
    config.apply_open_file_limit(mothpier_net::open_file_limit())?;
    if let Some(number) = env("ROUTER_ACCEPT_FD").filter(|_| precedence == Precedence::Environment) {
        let listener =
            mothpier_net::inherited_listener(&number).map_err(|e| format!("ROUTER_ACCEPT_FD: {e}"))?;
        config.inherited_listener = Some(listener);
        if let Some(directory) = env("TMPDIR") {
            match DirectoryStore::open(directory.as_ref()) {
                Ok(directory) => config.handover_store = Some(Rc::new(directory)),
                Err(e) => config
                    .warnings
                    .push(format!("TMPDIR: {directory}: {e}; no state is handed over between processes")),
            }
        }
    }
    if let Some(path) = env("MOTHPIER_CLUSTER") {
        let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        let balancers = config.site.policy.balancers as usize;
        config.cluster = Some(parse_cluster_nodes(&text, balancers).map_err(|e| format!("{path}: {e}"))?);
    }
    if let Some(path) = env("MOTHPIER_BOXES") {
        let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        config.server_pool = parse_server_pool(&text).map_err(|e| format!("{path}: {e}"))?;
    }
    if let Some(path) = env("MOTHPIER_COORDINATION") {
        let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        config.coordination = Some(coordination::parse(&text).map_err(|e| format!("{path}: {e}"))?);
    }
    if let Some(path) = env("MOTHPIER_SOURCES") {
        let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        let read = sources::parse(&text, &config.site).map_err(|e| format!("{path}: {e}"))?;
        if config.sources.is_some() {
            return Err(format!(
                "{path}: the node's configuration has `sidecar.pool`; list its servers under `fixed` here"
            ));
        }
        if read.dns.is_some() && config.sockets < MIN_SOCKETS + sources::MAX_DNS_DESCRIPTORS {
            return Err(format!(
                "limits.sockets: {} are too few for a node that queries DNS",
                config.sockets
            ));
        }
        config.sources = Some(read);
    }
    Ok(config)
}

/// Parses the file that states which dialect the cache servers speak; returns `None` for plain servers.
///
/// # Errors
///
/// A one-line message that names what is missing, invalid or out of range.
pub fn parse_server_pool(text: &[u8]) -> Result<Option<ServerPoolConfig>, String> {
    let file: ServerPoolFile = serde_json::from_slice(text).map_err(|e| format!("unreadable: {e}"))?;
    match file.dialect.as_str() {
        "cluster" => {}
        "plain" => return Ok(None),
        other => return Err(format!("dialect: {other:?} is neither \"plain\" nor \"cluster\"")),
    }
    let RefreshFile { ask, tier_per_s, wait_ms, calm_s } = file.refresh;
    let check_range = |name: &str, value: f64, min: f64, max: f64| {
        let in_range = (min..=max).contains(&value);
        if in_range { Ok(()) } else { Err(format!("refresh.{name}: {value} is not between {min} and {max}")) }
    };
    check_range("ask", ask as f64, 1.0, 9.0)?;
    check_range("tier_per_s", tier_per_s, 0.1, 10_000.0)?;
    check_range("wait_ms", wait_ms as f64, 10.0, 10_000.0)?;
    check_range("calm_s", calm_s as f64, 1.0, 86_400.0)?;
    Ok(Some(ServerPoolConfig {
        read_copies: file.read_copies,
        budget: RefreshBudget {
            servers_per_round: ask,
            tier_per_s,
            idle_interval_ms: calm_s * 1000,
            nodes: 1,
        },
        wait: Duration::from_millis(wait_ms),
    }))
}

/// Parses the file that enables cluster-aware clients.
///
/// # Errors
///
/// A one-line message that names what is missing or invalid.
pub fn parse_cluster_nodes(text: &[u8], balancers: usize) -> Result<Vec<SocketAddr>, String> {
    let file: ClusterFile = serde_json::from_slice(text).map_err(|e| format!("unreadable: {e}"))?;
    if file.nodes.len() != balancers {
        let (listed, expected) = (file.nodes.len(), balancers);
        return Err(format!(
            "nodes: {listed} listed, but the settings have {expected} balancers; list each exactly once"
        ));
    }
    let address = |a: &String| a.parse().map_err(|_| format!("nodes: {a:?} is not a valid ADDRESS:PORT"));
    file.nodes.iter().map(address).collect()
}

/// Parses the text of a configuration file, with the variables that `env` looks up.
///
/// # Errors
///
/// A one-line message that names what is missing or invalid.
pub fn parse(
    text: &[u8],
    env: &dyn Fn(&str) -> Option<String>,
    precedence: Precedence,
) -> Result<Config, String> {
    let checked = mothpier_config::check(text, FileForm::Json, &Hosts::default());
    let finding_lines = |level: Severity| -> Vec<String> {
        checked.findings.iter().filter(|f| f.severity == level).map(|f| f.line(&checked.text)).collect()
    };
    let errors = finding_lines(Severity::Error);
    if let Some(first) = errors.first() {
        let more = if errors.len() > 1 { format!(" (and {} more)", errors.len() - 1) } else { String::new() };
        return Err(format!("{first}{more}"));
    }
    let file: File = serde_json::from_slice(text).map_err(|e| format!("unreadable: {e}"))?;
    let mut site = settings::read(file.settings.to_string().as_bytes())?;
    if site.classes.is_empty() {
        return Err("unreadable settings: no classes".into());
    }
    let address = |name: &str, text: Option<String>| {
        let text = text.ok_or_else(|| format!("no address for {name}"))?;
        text.parse::<SocketAddr>().map_err(|_| format!("{name}: {text:?} is not an address"))
    };
    let optional_address = |name, text: Option<String>| text.map(|t| address(name, Some(t))).transpose();
    let seed = match &file.seed {
        serde_json::Value::String(s) => u64::from_str_radix(s, 16).unwrap_or_else(|_| xxh3_64(s.as_bytes())),
        other => other.as_u64().unwrap_or_default(),
    };
    let from_env = env("ROUTER_DISCOVERY");
    let discovery = match precedence {
        Precedence::Environment => from_env.or(file.discovery),
        Precedence::File => file.discovery.or(from_env),
    };
    if file.limits.sockets < MIN_SOCKETS {
        return Err(format!(
            "limits.sockets: {} are too few; a node needs at least {MIN_SOCKETS}",
            file.limits.sockets
        ));
    }
    let operator = optional_address("operator", env("ROUTER_OPERATOR").or(file.operator))?;
    if operator.is_some() && file.limits.sockets < MIN_SOCKETS + admin_listener::DESCRIPTORS {
        return Err(format!(
            "limits.sockets: {} are too few for a node with an admin listener",
            file.limits.sockets
        ));
    }
    let unix = file.sidecar.as_ref().and_then(sidecar::Section::unix);
    let sidecar = file.sidecar.map(|section| section.apply(&mut site)).transpose()?;
    let uses_tier = sidecar.as_ref().is_some_and(|s| s.tier);
    let pool = sidecar.as_ref().map(|s| s.pool.as_slice()).unwrap_or_default();
    let sources = sources::sidecar_pool(pool, &site)?;
    Ok(Config {
        name: env("ROUTER_NAME").or(file.name).unwrap_or_else(|| "mothpier".into()),
        listen: match unix {
            Some(spec) => Listen::Unix(spec),
            None => Listen::Address(address("listen", env("ROUTER_LISTEN").or(file.listen))?),
        },
        discovery: if uses_tier { None } else { Some(address("discovery", discovery)?) },
        seed,
        sockets: file.limits.sockets,
        memory: (file.limits.memory_mb.clamp(16.0, 1e6) * 1048576.0) as usize,
        operator,
        inherited_listener: None,
        handover_store: None,
        peer_listen: optional_address("peer_listen", file.peer_listen)?,
        peers: file.peers.into_iter().map(|p| address("peers", Some(p))).collect::<Result<_, _>>()?,
        peers_all: optional_address("peers_all", file.peers_all)?,
        cached_list: file.known,
        site,
        cluster: None,
        server_pool: None,
        sources,
        coordination: None,
        sidecar,
        events: env(event_log::EVENTS_VARIABLE).map(|format| format.parse()).transpose()?,
        warnings: finding_lines(Severity::Warning),
    })
}

#[cfg(test)]
mod tests;
