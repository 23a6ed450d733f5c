//! What the node is told at its start: the environment and the JSON file that it names.

use std::net::SocketAddr;

use brassrouter::settings::{self, Site};
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::messages::List;

/// Everything that the node is told.
pub struct Config {
    /// What it calls itself in its log.
    pub name: String,
    /// The one address to listen on for clients.
    pub listen: SocketAddr,
    /// Where the list of servers is.
    pub discovery: SocketAddr,
    /// Of its random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that it may use.
    pub memory: usize,
    /// Where messages of other nodes arrive; without it there are none.
    pub peer_listen: Option<SocketAddr>,
    /// The tier's nodes by their numbers.
    pub peers: Vec<SocketAddr>,
    /// The address that reaches every node of the tier.
    pub peers_all: Option<SocketAddr>,
    /// The list of servers as it was last held.
    pub known: Option<List>,
    /// The deployment's settings.
    pub site: Site,
    /// Where clients reach each node of the tier, by their numbers: slot-aware clients are served where this is set.
    pub cluster: Option<Vec<SocketAddr>>,
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
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    peers_all: Option<String>,
    known: Option<List>,
    settings: serde_json::Value,
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
    if let Some(path) = env("MOTHPIER_CLUSTER") {
        let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        let balancers = config.site.decisions.balancers as usize;
        config.cluster = Some(parse_cluster(&text, balancers).map_err(|e| format!("{path}: {e}"))?);
    }
    Ok(config)
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
    let file: File = serde_json::from_slice(text).map_err(|e| format!("unreadable: {e}"))?;
    let site = settings::read(file.settings.to_string().as_bytes())?;
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
    if file.limits.sockets < 32 {
        return Err(format!("limits.sockets: {} are too few to work with", file.limits.sockets));
    }
    Ok(Config {
        name: env("ROUTER_NAME").or(file.name).unwrap_or_else(|| "mothpier".into()),
        listen: address("listen", env("ROUTER_LISTEN").or(file.listen))?,
        discovery: address("discovery", discovery)?,
        seed,
        sockets: file.limits.sockets,
        memory: (file.limits.memory_mb.clamp(16.0, 1e6) * 1048576.0) as usize,
        peer_listen: optional("peer_listen", file.peer_listen)?,
        peers: file.peers.into_iter().map(|p| address("peers", Some(p))).collect::<Result<_, _>>()?,
        peers_all: optional("peers_all", file.peers_all)?,
        known: file.known,
        site,
        cluster: None,
    })
}
