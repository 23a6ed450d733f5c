//! A coordinator's configuration file, in HCL.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hcl_edit::expr::Expression;
use hcl_edit::structure::{Body, Structure};

use crate::core::MAX_MEMBERS;

/// Default tick: an election times out after 10 to 20 ticks, and a leader sends heartbeats every second tick.
pub const DEFAULT_TICK: Duration = Duration::from_millis(50);

/// Configuration of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Name of the cluster.
    pub cluster: String,
    /// Number of this member.
    pub member: u64,
    /// Address to listen at.
    pub listen: SocketAddr,
    /// Folder of the store.
    pub folder: PathBuf,
    /// Address of each member, including this one, as this member reaches it.
    pub members: BTreeMap<u64, SocketAddr>,
    /// Interval between two raft ticks.
    pub tick: Duration,
}

/// Returns the configuration of a single-member cluster, for use on a laptop.
pub fn single(folder: PathBuf, listen: SocketAddr) -> Config {
    Config {
        cluster: "single".into(),
        member: 1,
        listen,
        folder,
        members: [(1, listen)].into(),
        tick: DEFAULT_TICK,
    }
}

/// Parses a configuration file.
///
/// # Errors
///
/// Returns all errors in the file, one a line.
pub fn parse(text: &str) -> Result<Config, String> {
    let body: Body = text.parse().map_err(|e| format!("not HCL: {e}"))?;
    let mut errors = Vec::new();
    let mut attributes: BTreeMap<&str, String> = BTreeMap::new();
    let mut seen_names = BTreeSet::new();
    let mut members = BTreeMap::new();
    for item in &body {
        match item {
            Structure::Attribute(attribute) => {
                let name = attribute.key.as_str();
                let known_name = ["cluster", "member", "listen", "folder", "tick_ms"]
                    .into_iter()
                    .find(|known_key| *known_key == name);
                match (known_name, scalar_text(&attribute.value)) {
                    (None, _) => errors.push(format!("{name}: unknown setting")),
                    (Some(_), None) => errors.push(format!("{name}: expected a string or a whole number")),
                    (Some(known_key), Some(value)) => {
                        attributes.insert(known_key, value);
                    }
                }
                if !seen_names.insert(name.to_owned()) {
                    errors.push(format!("{name}: given twice"));
                }
            }
            Structure::Block(block) if block.ident.as_str() == "peer" => {
                let label = block.labels.first().map(|l| l.as_str().to_owned()).unwrap_or_default();
                let address = block.body.iter().find_map(|s| match s {
                    Structure::Attribute(attribute) if attribute.key.as_str() == "address" => {
                        scalar_text(&attribute.value)
                    }
                    _ => None,
                });
                let (number, address) =
                    (label.parse::<u64>().ok(), address.and_then(|text| text.parse().ok()));
                match (number.filter(|n| *n > 0), address) {
                    (Some(number), Some(address)) => {
                        if members.insert(number, address).is_some() {
                            errors.push(format!("peer {label:?}: given twice"));
                        }
                    }
                    (None, _) => {
                        errors.push(format!("peer {label:?}: the label must be a member's number, from 1"))
                    }
                    (_, None) => {
                        errors.push(format!("peer {label:?}: `address` must be an IP address and a port"))
                    }
                }
            }
            Structure::Block(block) => errors.push(format!("{}: unknown block", block.ident.as_str())),
        }
    }
    let mut required = |name: &str| {
        let text = attributes.get(name).cloned();
        if text.is_none() {
            errors.push(format!("{name}: missing"));
        }
        text.unwrap_or_default()
    };
    let (cluster, member, listen, folder) =
        (required("cluster"), required("member"), required("listen"), required("folder"));
    let tick_ms = attributes.get("tick_ms").cloned().unwrap_or_else(|| DEFAULT_TICK.as_millis().to_string());
    let number = member.parse().ok().filter(|n| members.contains_key(n));
    if !member.is_empty() && number.is_none() {
        errors.push(format!("member: no `peer` block has the number {member}"));
    }
    let address: Option<SocketAddr> = listen.parse().ok();
    if !listen.is_empty() && address.is_none() {
        errors.push(format!("listen: {listen:?} is not an IP address and port"));
    }
    if !cluster.is_empty() && !mothpier_coordination::limits::is_name(&cluster) {
        errors.push("cluster: only letters, digits and -_.:@/ are allowed, at most 128 of them".into());
    }
    let addresses: BTreeSet<_> = members.values().collect();
    if addresses.len() < members.len() {
        errors.push("peer: two members have the same address".into());
    }
    if members.len() > MAX_MEMBERS {
        errors.push(format!("peer: at most {MAX_MEMBERS} members; each write waits for a majority of them"));
    }
    let tick = tick_ms.parse().ok().filter(|ms| (10..=5000).contains(ms));
    if tick.is_none() {
        errors.push(format!("tick_ms: {tick_ms:?} is outside 10 to 5000"));
    }
    match (number, address, tick) {
        (Some(member), Some(listen), Some(tick)) if errors.is_empty() => Ok(Config {
            cluster,
            member,
            listen,
            folder: folder.into(),
            members,
            tick: Duration::from_millis(tick),
        }),
        _ => Err(errors.join("\n")),
    }
}

/// Returns the text of a string or number; `None` for any other expression.
fn scalar_text(value: &Expression) -> Option<String> {
    match value {
        Expression::String(s) => Some(s.value().clone()),
        Expression::Number(n) => Some(n.value().to_string()),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
