//! A coordinator's file, as people write it: HCL.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hcl_edit::expr::Expression;
use hcl_edit::structure::{Body, Structure};

use crate::core::MOST_MEMBERS;

/// A tick: elections take 10 to 20 of them, a leader's words come every second one.
pub const TICK: Duration = Duration::from_millis(50);

/// What a coordinator is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The fleet's name.
    pub cluster: String,
    /// This member's number.
    pub member: u64,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its folder.
    pub folder: PathBuf,
    /// Where this member reaches each member, itself among them.
    pub members: BTreeMap<u64, SocketAddr>,
    /// Between two ticks.
    pub tick: Duration,
}

/// A laptop's: one member, alone.
pub fn single(folder: PathBuf, listen: SocketAddr) -> Config {
    Config { cluster: "single".into(), member: 1, listen, folder, members: [(1, listen)].into(), tick: TICK }
}

/// Reads a file.
///
/// # Errors
///
/// Everything that is wrong with it, a line each.
pub fn parse(text: &str) -> Result<Config, String> {
    let body: Body = text.parse().map_err(|e| format!("not HCL: {e}"))?;
    let mut wrong = Vec::new();
    let mut texts: BTreeMap<&str, String> = BTreeMap::new();
    let mut seen = BTreeSet::new();
    let mut members = BTreeMap::new();
    for part in &body {
        match part {
            Structure::Attribute(a) => {
                let name = a.key.as_str();
                let known =
                    ["cluster", "member", "listen", "folder", "tick_ms"].into_iter().find(|k| *k == name);
                match (known, written(&a.value)) {
                    (None, _) => wrong.push(format!("{name}: not known here")),
                    (Some(_), None) => wrong.push(format!("{name}: a text or a whole number is wanted")),
                    (Some(k), Some(value)) => {
                        texts.insert(k, value);
                    }
                }
                if !seen.insert(name.to_owned()) {
                    wrong.push(format!("{name}: said twice"));
                }
            }
            Structure::Block(b) if b.ident.as_str() == "peer" => {
                let label = b.labels.first().map(|l| l.as_str().to_owned()).unwrap_or_default();
                let address = b.body.iter().find_map(|s| match s {
                    Structure::Attribute(a) if a.key.as_str() == "address" => written(&a.value),
                    _ => None,
                });
                let (number, address) = (label.parse::<u64>().ok(), address.and_then(|a| a.parse().ok()));
                match (number.filter(|n| *n > 0), address) {
                    (Some(number), Some(address)) => {
                        if members.insert(number, address).is_some() {
                            wrong.push(format!("peer {label:?}: said twice"));
                        }
                    }
                    (None, _) => {
                        wrong.push(format!("peer {label:?}: its label is a member's number, from 1"))
                    }
                    (_, None) => wrong.push(format!("peer {label:?}: `address` is an IP address and a port")),
                }
            }
            Structure::Block(b) => wrong.push(format!("{}: not known here", b.ident.as_str())),
        }
    }
    let mut take = |name: &str| {
        let text = texts.get(name).cloned();
        if text.is_none() {
            wrong.push(format!("{name}: missing"));
        }
        text.unwrap_or_default()
    };
    let (cluster, member, listen, folder) = (take("cluster"), take("member"), take("listen"), take("folder"));
    let tick_ms = texts.get("tick_ms").cloned().unwrap_or_else(|| TICK.as_millis().to_string());
    let number = member.parse().ok().filter(|n| members.contains_key(n));
    if !member.is_empty() && number.is_none() {
        wrong.push(format!("member: no `peer` block has the number {member}"));
    }
    let address: Option<SocketAddr> = listen.parse().ok();
    if !listen.is_empty() && address.is_none() {
        wrong.push(format!("listen: {listen:?} is no IP address and port"));
    }
    if !cluster.is_empty() && !mothpier_coordination::limits::is_name(&cluster) {
        wrong.push("cluster: letters, digits and -_.:@/ and at most 128 of them".into());
    }
    let places: BTreeSet<_> = members.values().collect();
    if places.len() < members.len() {
        wrong.push("peer: two members have the same address".into());
    }
    if members.len() > MOST_MEMBERS {
        wrong.push(format!("peer: {MOST_MEMBERS} members at the most; each write waits for most of them"));
    }
    let tick = tick_ms.parse().ok().filter(|ms| (10..=5000).contains(ms));
    if tick.is_none() {
        wrong.push(format!("tick_ms: {tick_ms:?} lies outside 10 to 5000"));
    }
    match (number, address, tick) {
        (Some(member), Some(listen), Some(tick)) if wrong.is_empty() => Ok(Config {
            cluster,
            member,
            listen,
            folder: folder.into(),
            members,
            tick: Duration::from_millis(tick),
        }),
        _ => Err(wrong.join("\n")),
    }
}

fn written(value: &Expression) -> Option<String> {
    match value {
        Expression::String(s) => Some(s.value().clone()),
        Expression::Number(n) => Some(n.value().to_string()),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
