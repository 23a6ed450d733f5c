//! Parses a server's answers to `CLUSTER SHARDS`, `CLUSTER SLOTS` and `CLUSTER INFO`, in RESP2, which sends
//! maps as flat arrays. Unknown fields are ignored, as later versions add some; a missing required field
//! makes the whole answer unreadable.
//!
//! Source: the reference pages of the three commands.

use std::fmt;
use std::net::IpAddr;

use redis_protocol::resp2::types::BytesFrame;

use crate::redirect::{self, Endpoint, Host};
use crate::slot::SLOTS;

/// Maximum number of ranges in one answer: each slot in a range of its own.
const MAX_RANGES: usize = SLOTS as usize;
/// Maximum number of replicas in one range.
const MAX_REPLICAS: usize = 64;

/// A server as described by a slot map.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterMember {
    /// All endpoints that the map gives for the server, the preferred one first.
    pub endpoints: Vec<Endpoint>,
    /// A host name and its address, if the map gives both.
    pub alias: Option<(String, IpAddr)>,
}

/// Consecutive slots with the same servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// The first slot.
    pub first: u16,
    /// The last slot; not below the first.
    pub last: u16,
    /// The owner of the slots.
    pub owner: ClusterMember,
    /// The healthy replicas.
    pub replicas: Vec<ClusterMember>,
}

impl Range {
    /// Returns the owner and the replicas.
    pub fn members(&self) -> impl Iterator<Item = &ClusterMember> {
        std::iter::once(&self.owner).chain(&self.replicas)
    }
}

/// The cluster as one server sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The epoch of the cluster; a higher one is more recent.
    pub epoch: u64,
    /// The owners of the slots; ranges may overlap and leave gaps.
    pub ranges: Vec<Range>,
}

/// Why an answer can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewError {
    /// The server does not know the command; an older one may be tried.
    UnknownCommand,
    /// The server answered with another error.
    Error(String),
    /// A field is missing or malformed.
    Malformed(&'static str),
}

impl fmt::Display for ViewError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ViewError::UnknownCommand => f.write_str("the server does not know the command"),
            ViewError::Error(line) => write!(f, "the server answered {line:?}"),
            ViewError::Malformed(problem) => f.write_str(problem),
        }
    }
}

impl std::error::Error for ViewError {}

/// Returns the epoch in an answer to `CLUSTER INFO`.
///
/// # Errors
///
/// Fails for an answer without an epoch.
pub fn epoch(info: &BytesFrame) -> Result<u64, ViewError> {
    let info_text = text(info).ok_or_else(|| error(info, "the answer to CLUSTER INFO is not text"))?;
    let lines = info_text.lines().filter_map(|line| line.trim_end().split_once(':'));
    let value = lines.filter(|(name, _)| *name == "cluster_current_epoch").map(|(_, value)| value).next();
    value
        .and_then(|v| v.parse().ok())
        .ok_or(ViewError::Malformed("the answer to CLUSTER INFO has no cluster_current_epoch"))
}

/// Returns the ranges in an answer to `CLUSTER SHARDS`.
///
/// # Errors
///
/// Fails for a malformed answer.
pub fn shards(answer: &BytesFrame) -> Result<Vec<Range>, ViewError> {
    let mut ranges = Vec::new();
    for shard in array(answer, "the answer to CLUSTER SHARDS is not an array")? {
        let shard = fields(shard, "a shard is not a map")?;
        let slots = array(
            shard.get("slots").ok_or(ViewError::Malformed("a shard has no slots"))?,
            "the slots of a shard are not an array",
        )?;
        let nodes = array(
            shard.get("nodes").ok_or(ViewError::Malformed("a shard has no nodes"))?,
            "the nodes of a shard are not an array",
        )?;
        let (mut owner, mut replicas) = (None, Vec::new());
        for node in nodes {
            let node = fields(node, "a node of a shard is not a map")?;
            let member = node.member()?;
            match node.text("role") {
                Some("master") if owner.is_none() => owner = Some(member),
                Some("master") => return Err(ViewError::Malformed("a shard has two masters")),
                // A replica that has failed or is loading can't be read from.
                Some("replica" | "slave") if node.text("health").is_none_or(|h| h == "online") => {
                    replicas.push(member);
                }
                Some("replica" | "slave") => {}
                _ => return Err(ViewError::Malformed("a node of a shard has no role")),
            }
        }
        // The slots of a shard without a master have no owner at present.
        let Some(owner) = owner else { continue };
        if !slots.len().is_multiple_of(2) {
            return Err(ViewError::Malformed("the slots of a shard do not come in pairs"));
        }
        for pair in slots.chunks_exact(2) {
            let (first, last) = slot_bounds(&pair[0], &pair[1])?;
            push_range(&mut ranges, Range { first, last, owner: owner.clone(), replicas: replicas.clone() })?;
        }
    }
    Ok(ranges)
}

/// Returns the ranges in an answer to `CLUSTER SLOTS`.
///
/// # Errors
///
/// Fails for a malformed answer.
pub fn slots(answer: &BytesFrame) -> Result<Vec<Range>, ViewError> {
    let mut ranges = Vec::new();
    for range in array(answer, "the answer to CLUSTER SLOTS is not an array")? {
        let [first, last, owner, replicas @ ..] = array(range, "a range is not an array")? else {
            return Err(ViewError::Malformed("a range has no owner"));
        };
        let (first, last) = slot_bounds(first, last)?;
        if replicas.len() > MAX_REPLICAS {
            return Err(ViewError::Malformed("a range has too many servers"));
        }
        let replicas = replicas.iter().map(parse_slots_member).collect::<Result<_, _>>()?;
        push_range(&mut ranges, Range { first, last, owner: parse_slots_member(owner)?, replicas })?;
    }
    Ok(ranges)
}

/// Parses a server in an answer to `CLUSTER SLOTS`: endpoint, port, id, and since version 7 a map that gives
/// the `ip` or `hostname` that is not the endpoint.
fn parse_slots_member(node: &BytesFrame) -> Result<ClusterMember, ViewError> {
    let node = array(node, "a server of a range is not an array")?;
    let [endpoint, port, after_port @ ..] = node else {
        return Err(ViewError::Malformed("a server of a range has no port"));
    };
    let port = u16::try_from(number(port)?).ok().filter(|p| *p > 0);
    let port = port.ok_or(ViewError::Malformed("a port is not a number from 1 to 65535"))?;
    let extra_fields = after_port.get(1).and_then(|m| fields(m, "").ok());
    let extra_field =
        |name: &str| extra_fields.as_ref().and_then(|extra| extra.text(name)).map(str::to_owned);
    collect_endpoints(
        text(endpoint).as_deref(),
        extra_field("ip").as_deref(),
        extra_field("hostname").as_deref(),
        port,
    )
}

/// Collects the endpoints of a server. A null or empty endpoint is the host that was queried; `?` means that
/// the host is unknown.
fn collect_endpoints(
    endpoint: Option<&str>,
    ip: Option<&str>,
    name: Option<&str>,
    port: u16,
) -> Result<ClusterMember, ViewError> {
    let mut member = ClusterMember::default();
    let named = [ip, name].into_iter().flatten().filter(|text| !text.is_empty());
    for host_text in std::iter::once(endpoint.unwrap_or_default()).chain(named) {
        // A malformed endpoint does not invalidate the others.
        let Ok(host) = redirect::parse_host(host_text) else { continue };
        let parsed = Endpoint { host, port: Some(port) };
        if !member.endpoints.contains(&parsed) {
            member.endpoints.push(parsed);
        }
    }
    let hosts = || member.endpoints.iter().map(|p| &p.host);
    let ip = hosts().find_map(|h| if let Host::Address(ip) = h { Some(*ip) } else { None });
    let name = hosts().find_map(|h| if let Host::Name(name) = h { Some(name.clone()) } else { None });
    member.alias = name.zip(ip);
    if member.endpoints.is_empty() {
        return Err(ViewError::Malformed("a server has no host"));
    }
    Ok(member)
}

fn push_range(ranges: &mut Vec<Range>, range: Range) -> Result<(), ViewError> {
    if ranges.len() >= MAX_RANGES {
        return Err(ViewError::Malformed("the answer has more ranges than there are slots"));
    }
    ranges.push(range);
    Ok(())
}

fn slot_bounds(first: &BytesFrame, last: &BytesFrame) -> Result<(u16, u16), ViewError> {
    let slot = |frame| {
        let number = u16::try_from(number(frame)?).ok().filter(|s| *s < SLOTS);
        number.ok_or(ViewError::Malformed("a slot is not a number from 0 to 16383"))
    };
    let (first, last) = (slot(first)?, slot(last)?);
    if first > last { Err(ViewError::Malformed("a range ends before it begins")) } else { Ok((first, last)) }
}

/// The names and values of a map that is sent as a flat array.
struct Fields<'a>(&'a [BytesFrame]);

impl Fields<'_> {
    fn get(&self, name: &str) -> Option<&BytesFrame> {
        self.0.chunks_exact(2).find(|pair| as_str(&pair[0]) == Some(name)).map(|pair| &pair[1])
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(as_str)
    }

    /// Returns the endpoints of a node of a shard. A node that accepts only TLS has no other port.
    fn member(&self) -> Result<ClusterMember, ViewError> {
        let port = self.get("port").or_else(|| self.get("tls-port"));
        let port = number(port.ok_or(ViewError::Malformed("a node of a shard has no port"))?)?;
        let port = u16::try_from(port).ok().filter(|p| *p > 0);
        let port = port.ok_or(ViewError::Malformed("a port is not a number from 1 to 65535"))?;
        collect_endpoints(self.text("endpoint"), self.text("ip"), self.text("hostname"), port)
    }
}

fn fields<'a>(frame: &'a BytesFrame, problem: &'static str) -> Result<Fields<'a>, ViewError> {
    Ok(Fields(array(frame, problem)?))
}

fn array<'a>(frame: &'a BytesFrame, problem: &'static str) -> Result<&'a [BytesFrame], ViewError> {
    match frame {
        BytesFrame::Array(parts) => Ok(parts),
        other => Err(error(other, problem)),
    }
}

fn error(frame: &BytesFrame, problem: &'static str) -> ViewError {
    match frame {
        // Servers of all versions use one of these texts: "unknown command", "unknown subcommand".
        BytesFrame::Error(line) if line.to_ascii_lowercase().contains("unknown") => ViewError::UnknownCommand,
        BytesFrame::Error(line) => ViewError::Error(line.chars().take(80).collect()),
        _ => ViewError::Malformed(problem),
    }
}

fn as_str(frame: &BytesFrame) -> Option<&str> {
    match frame {
        BytesFrame::BulkString(b) | BytesFrame::SimpleString(b) => std::str::from_utf8(b).ok(),
        _ => None,
    }
}

fn text(frame: &BytesFrame) -> Option<String> {
    as_str(frame).map(str::to_owned)
}

fn number(frame: &BytesFrame) -> Result<i64, ViewError> {
    match frame {
        BytesFrame::Integer(n) => Ok(*n),
        other => {
            let number = as_str(other).and_then(|text| text.parse().ok());
            number.ok_or(ViewError::Malformed("expected a number, got text"))
        }
    }
}

#[cfg(test)]
mod tests;
