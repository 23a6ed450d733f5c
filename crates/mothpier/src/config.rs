//! What the node is told at its start: the environment and the JSON file that it names.

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
use crate::event_log::{self, Form};
use crate::handover_store::{DirectoryStore, HandoverStore};
use crate::messages::ServerList;

/// With fewer descriptors a node can't work.
const LEAST_SOCKETS: usize = 32;

/// Everything that the node is told.
pub struct Config {
    /// What it calls itself in its log.
    pub name: String,
    /// The one place to listen at for clients.
    pub listen: Listen,
    /// Where the list of servers is; none where the servers are the nodes of a tier, which the file names.
    pub discovery: Option<SocketAddr>,
    /// Of its random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that it may use.
    pub memory: usize,
    /// Where the operators' staff call; without it nobody does.
    pub operator: Option<SocketAddr>,
    /// The clients' listener, where the platform holds it and each process of the node inherits it.
    pub inherited: Option<std::net::TcpListener>,
    /// Where the processes of one node leave what the next one needs.
    pub shelf: Option<Rc<dyn HandoverStore>>,
    /// Where messages of other nodes arrive; without it there are none.
    pub peer_listen: Option<SocketAddr>,
    /// The tier's nodes by their numbers.
    pub peers: Vec<SocketAddr>,
    /// The address that reaches every node of the tier.
    pub peers_all: Option<SocketAddr>,
    /// The list of servers as it was last held.
    pub known: Option<ServerList>,
    /// The deployment's settings.
    pub site: Site,
    /// Where clients reach each node of the tier, by their numbers: slot-aware clients are served where this is set.
    pub cluster: Option<Vec<SocketAddr>>,
    /// The boxes form a cluster.
    pub boxes: Option<ServerPoolConfig>,
    /// There are more sources of boxes than the list.
    pub sources: Option<sources::Sources>,
    /// Whom it obeys in the name of leases: those that the coordinators name.
    pub coordination: Option<coordination::Coordination>,
    /// It is one application's sidecar.
    pub sidecar: Option<sidecar::Sidecar>,
    /// How events of requests and connections are logged, where they are.
    pub events: Option<Form>,
    /// What the checks of its file found that does not keep it from starting, a line each.
    pub warnings: Vec<String>,
}

impl Config {
    /// Takes no more descriptors for its own than the machine allows the process.
    ///
    /// # Errors
    ///
    /// One plain line, where these are too few.
    fn within(&mut self, open_files: Option<usize>) -> Result<(), String> {
        let Some(allowed) = open_files.filter(|allowed| *allowed < self.sockets) else { return Ok(()) };
        if allowed < LEAST_SOCKETS {
            return Err(format!("the machine allows {allowed} descriptors: too few to work with"));
        }
        let told = self.sockets;
        self.warnings.push(format!("limits.sockets: {told}, but the machine allows {allowed}: these hold"));
        self.sockets = allowed;
        Ok(())
    }
}

/// Where clients connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Listen {
    /// On the network.
    Address(SocketAddr),
    /// Within the machine.
    Unix(UnixSocketSpec),
}

impl std::fmt::Display for Listen {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Listen::Address(address) => address.fmt(f),
            Listen::Unix(place) => place.path.display().fmt(f),
        }
    }
}

/// How boxes that form a cluster are dealt with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerPoolConfig {
    /// Those that hold copies may be read; what they hold may be older than the owner's.
    pub read_copies: bool,
    /// How often they are asked for their slot map; its nodes are the settings' balancers.
    pub budget: RefreshBudget,
    /// A box that has not answered whole within this time is not waited for.
    pub wait: Duration,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BoxesFile {
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
            ask: budget.ask,
            tier_per_s: budget.tier_per_s,
            wait_ms: 500,
            calm_s: budget.calm / 1000,
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

/// What has the last word on the address of discovery.
#[derive(Clone, Copy, PartialEq)]
pub enum Precedence {
    /// At the start: the environment.
    Environment,
    /// At a reload: the file, since a process can't be given a new environment.
    File,
}

/// Reads the environment and the file that it names.
///
/// # Errors
///
/// One plain line that names what is missing or unreadable.
pub fn read(precedence: Precedence) -> Result<Config, String> {
    let env = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
    let path = env("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
    let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
    let mut config = parse(&text, &env, precedence).map_err(|e| format!("{path}: {e}"))?;
    config.within(mothpier_net::open_files())?;
    if let Some(number) = env("ROUTER_ACCEPT_FD").filter(|_| precedence == Precedence::Environment) {
        let listener = mothpier_net::inherited(&number).map_err(|e| format!("ROUTER_ACCEPT_FD: {e}"))?;
        config.inherited = Some(listener);
        if let Some(folder) = env("TMPDIR") {
            match DirectoryStore::open(folder.as_ref()) {
                Ok(folder) => config.shelf = Some(Rc::new(folder)),
                Err(e) => config.warnings.push(format!("TMPDIR: {folder}: {e}: nothing is handed over")),
            }
        }
    }
    if let Some(path) = env("MOTHPIER_CLUSTER") {
        let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        let balancers = config.site.policy.balancers as usize;
        config.cluster = Some(parse_cluster(&text, balancers).map_err(|e| format!("{path}: {e}"))?);
    }
    if let Some(path) = env("MOTHPIER_BOXES") {
        let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        config.boxes = parse_boxes(&text).map_err(|e| format!("{path}: {e}"))?;
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
                "{path}: the file of the node has a pool of its own; name its boxes in `fixed` here"
            ));
        }
        if read.dns.is_some() && config.sockets < LEAST_SOCKETS + sources::DESCRIPTORS {
            return Err(format!("limits.sockets: {} are too few to ask DNS, too", config.sockets));
        }
        config.sources = Some(read);
    }
    Ok(config)
}

/// Reads the file that tells what the boxes speak; `None` for plain ones.
///
/// # Errors
///
/// One plain line that names what is missing, unreadable or out of bounds.
pub fn parse_boxes(text: &[u8]) -> Result<Option<ServerPoolConfig>, String> {
    let file: BoxesFile = serde_json::from_slice(text).map_err(|e| format!("unreadable: {e}"))?;
    match file.dialect.as_str() {
        "cluster" => {}
        "plain" => return Ok(None),
        other => return Err(format!("dialect: {other:?} is neither \"plain\" nor \"cluster\"")),
    }
    let RefreshFile { ask, tier_per_s, wait_ms, calm_s } = file.refresh;
    let within = |name: &str, value: f64, least: f64, most: f64| {
        let good = (least..=most).contains(&value);
        if good { Ok(()) } else { Err(format!("refresh.{name}: {value} is not from {least} to {most}")) }
    };
    within("ask", ask as f64, 1.0, 9.0)?;
    within("tier_per_s", tier_per_s, 0.1, 10_000.0)?;
    within("wait_ms", wait_ms as f64, 10.0, 10_000.0)?;
    within("calm_s", calm_s as f64, 1.0, 86_400.0)?;
    Ok(Some(ServerPoolConfig {
        read_copies: file.read_copies,
        budget: RefreshBudget { ask, tier_per_s, calm: calm_s * 1000, nodes: 1 },
        wait: Duration::from_millis(wait_ms),
    }))
}

/// Reads the file that switches slot-aware clients on.
///
/// # Errors
///
/// One plain line that names what is missing or unreadable.
pub fn parse_cluster(text: &[u8], balancers: usize) -> Result<Vec<SocketAddr>, String> {
    let file: ClusterFile = serde_json::from_slice(text).map_err(|e| format!("unreadable: {e}"))?;
    if file.nodes.len() != balancers {
        let (named, told) = (file.nodes.len(), balancers);
        return Err(format!(
            "nodes: {named} are named where the settings have {told} balancers; name each once"
        ));
    }
    let address = |a: &String| a.parse().map_err(|_| format!("nodes: {a:?} is no ADDRESS:PORT"));
    file.nodes.iter().map(address).collect()
}

/// Reads a configuration's text with an environment.
///
/// # Errors
///
/// One plain line that names what is missing or unreadable.
pub fn parse(
    text: &[u8],
    env: &dyn Fn(&str) -> Option<String>,
    precedence: Precedence,
) -> Result<Config, String> {
    let checked = mothpier_config::check(text, FileForm::Json, &Hosts::default());
    let lines = |of: Severity| -> Vec<String> {
        checked.findings.iter().filter(|f| f.severity == of).map(|f| f.line(&checked.text)).collect()
    };
    let errors = lines(Severity::Error);
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
        text.parse::<SocketAddr>().map_err(|_| format!("{name}: {text:?} is no address"))
    };
    let optional = |name, text: Option<String>| text.map(|t| address(name, Some(t))).transpose();
    let seed = match &file.seed {
        serde_json::Value::String(s) => u64::from_str_radix(s, 16).unwrap_or_else(|_| xxh3_64(s.as_bytes())),
        other => other.as_u64().unwrap_or_default(),
    };
    let told = env("ROUTER_DISCOVERY");
    let discovery = match precedence {
        Precedence::Environment => told.or(file.discovery),
        Precedence::File => file.discovery.or(told),
    };
    if file.limits.sockets < LEAST_SOCKETS {
        return Err(format!("limits.sockets: {} are too few to work with", file.limits.sockets));
    }
    let operator = optional("operator", env("ROUTER_OPERATOR").or(file.operator))?;
    if operator.is_some() && file.limits.sockets < LEAST_SOCKETS + admin_listener::DESCRIPTORS {
        return Err(format!(
            "limits.sockets: {} are too few beside the operators' door",
            file.limits.sockets
        ));
    }
    let unix = file.sidecar.as_ref().and_then(sidecar::Section::unix);
    let sidecar = file.sidecar.map(|section| section.take(&mut site)).transpose()?;
    let to_tier = sidecar.as_ref().is_some_and(|s| s.tier);
    let pool = sidecar.as_ref().map(|s| s.pool.as_slice()).unwrap_or_default();
    let sources = sources::pool(pool, &site)?;
    Ok(Config {
        name: env("ROUTER_NAME").or(file.name).unwrap_or_else(|| "mothpier".into()),
        listen: match unix {
            Some(place) => Listen::Unix(place),
            None => Listen::Address(address("listen", env("ROUTER_LISTEN").or(file.listen))?),
        },
        discovery: if to_tier { None } else { Some(address("discovery", discovery)?) },
        seed,
        sockets: file.limits.sockets,
        memory: (file.limits.memory_mb.clamp(16.0, 1e6) * 1048576.0) as usize,
        operator,
        inherited: None,
        shelf: None,
        peer_listen: optional("peer_listen", file.peer_listen)?,
        peers: file.peers.into_iter().map(|p| address("peers", Some(p))).collect::<Result<_, _>>()?,
        peers_all: optional("peers_all", file.peers_all)?,
        known: file.known,
        site,
        cluster: None,
        boxes: None,
        sources,
        coordination: None,
        sidecar,
        events: env(event_log::VARIABLE).map(|form| form.parse()).transpose()?,
        warnings: lines(Severity::Warning),
    })
}

#[cfg(test)]
mod tests;
