//! What a box says of its cluster, read off its answers to `CLUSTER SHARDS`, `CLUSTER SLOTS` and `CLUSTER INFO`. RESP2:
//! maps come as flat arrays. Unknown names are passed over, for later versions add some; what must be there and is not
//! makes the whole answer unreadable.
//!
//! Source: the pages of the three commands.

use std::fmt;
use std::net::IpAddr;

use redis_protocol::resp2::types::BytesFrame;

use crate::redirect::{self, Endpoint, Host};
use crate::slot::SLOTS;

/// Ranges of one answer at the most: each slot in one of its own.
const MOST_RANGES: usize = SLOTS as usize;
/// Boxes of one range at the most: an owner and its copies.
const MOST_SEATS: usize = 64;

/// A box, as a map names it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterMember {
    /// Every way to it that the map tells, the preferred one first.
    pub places: Vec<Endpoint>,
    /// A name and the address that it stands for, where the map tells both.
    pub alias: Option<(String, IpAddr)>,
}

/// Slots next to each other with the same boxes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// The first slot.
    pub first: u16,
    /// The last slot, not before the first.
    pub last: u16,
    /// Their owner.
    pub owner: ClusterMember,
    /// Those that hold copies and are whole.
    pub copies: Vec<ClusterMember>,
}

impl Range {
    /// All its boxes.
    pub fn seats(&self) -> impl Iterator<Item = &ClusterMember> {
        std::iter::once(&self.owner).chain(&self.copies)
    }
}

/// What one box holds to be its cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Its epoch: higher where more is known.
    pub epoch: u64,
    /// Who has which slots; they may overlap and leave holes.
    pub ranges: Vec<Range>,
}

/// Why an answer is no view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// The box knows no such command: an older form is to be tried.
    Unknown,
    /// It answers with another error.
    Error(String),
    /// It lacks something, or something has another form.
    Form(&'static str),
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unreadable::Unknown => f.write_str("it knows no such command"),
            Unreadable::Error(line) => write!(f, "it answers {line:?}"),
            Unreadable::Form(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for Unreadable {}

/// The epoch in an answer to `CLUSTER INFO`.
///
/// # Errors
///
/// An answer without one.
pub fn epoch(info: &BytesFrame) -> Result<u64, Unreadable> {
    let text = text(info).ok_or_else(|| error(info, "CLUSTER INFO is no text"))?;
    let lines = text.lines().filter_map(|l| l.trim_end().split_once(':'));
    let value = lines.filter(|(name, _)| *name == "cluster_current_epoch").map(|(_, value)| value).next();
    value.and_then(|v| v.parse().ok()).ok_or(Unreadable::Form("CLUSTER INFO tells no cluster_current_epoch"))
}

/// The ranges in an answer to `CLUSTER SHARDS`.
///
/// # Errors
///
/// An answer of another form.
pub fn shards(answer: &BytesFrame) -> Result<Vec<Range>, Unreadable> {
    let mut ranges = Vec::new();
    for shard in array(answer, "CLUSTER SHARDS is no array")? {
        let shard = fields(shard, "a shard is no map")?;
        let slots = array(shard.get("slots").ok_or(Unreadable::Form("a shard has no slots"))?, "bad slots")?;
        let nodes = array(shard.get("nodes").ok_or(Unreadable::Form("a shard has no nodes"))?, "bad nodes")?;
        let (mut owner, mut copies) = (None, Vec::new());
        for node in nodes {
            let node = fields(node, "a node of a shard is no map")?;
            let seat = node.seat()?;
            match node.text("role") {
                Some("master") if owner.is_none() => owner = Some(seat),
                Some("master") => return Err(Unreadable::Form("a shard has two masters")),
                // A copy that has failed or reads its data is none to read from.
                Some("replica" | "slave") if node.text("health").is_none_or(|h| h == "online") => {
                    copies.push(seat);
                }
                Some("replica" | "slave") => {}
                _ => return Err(Unreadable::Form("a node of a shard has no role")),
            }
        }
        // A shard that lost its master has slots that nobody owns now.
        let Some(owner) = owner else { continue };
        if !slots.len().is_multiple_of(2) {
            return Err(Unreadable::Form("a shard's slots come in no pairs"));
        }
        for pair in slots.chunks_exact(2) {
            let (first, last) = bounds(&pair[0], &pair[1])?;
            add(&mut ranges, Range { first, last, owner: owner.clone(), copies: copies.clone() })?;
        }
    }
    Ok(ranges)
}

/// The ranges in an answer to `CLUSTER SLOTS`.
///
/// # Errors
///
/// An answer of another form.
pub fn slots(answer: &BytesFrame) -> Result<Vec<Range>, Unreadable> {
    let mut ranges = Vec::new();
    for range in array(answer, "CLUSTER SLOTS is no array")? {
        let [first, last, owner, copies @ ..] = array(range, "a range is no array")? else {
            return Err(Unreadable::Form("a range has no owner"));
        };
        let (first, last) = bounds(first, last)?;
        if copies.len() > MOST_SEATS {
            return Err(Unreadable::Form("a range has too many boxes"));
        }
        let copies = copies.iter().map(seat_of_slots).collect::<Result<_, _>>()?;
        add(&mut ranges, Range { first, last, owner: seat_of_slots(owner)?, copies })?;
    }
    Ok(ranges)
}

/// Endpoint, port, id, and from version 7 on a map with `ip` or `hostname`: whichever is not the endpoint.
fn seat_of_slots(node: &BytesFrame) -> Result<ClusterMember, Unreadable> {
    let node = array(node, "a box of a range is no array")?;
    let [endpoint, port, rest @ ..] = node else {
        return Err(Unreadable::Form("a box of a range has no port"));
    };
    let port = u16::try_from(number(port)?).ok().filter(|p| *p > 0);
    let port = port.ok_or(Unreadable::Form("a port is no number from 1 to 65535"))?;
    let more = rest.get(1).and_then(|m| fields(m, "").ok());
    let more = |name: &str| more.as_ref().and_then(|m| m.text(name)).map(str::to_owned);
    seat(text(endpoint).as_deref(), more("ip").as_deref(), more("hostname").as_deref(), port)
}

/// All ways to a box. An endpoint that is null or empty is the host that was asked; one that is `?` is not known.
fn seat(
    endpoint: Option<&str>,
    ip: Option<&str>,
    name: Option<&str>,
    port: u16,
) -> Result<ClusterMember, Unreadable> {
    let mut seat = ClusterMember::default();
    let named = [ip, name].into_iter().flatten().filter(|t| !t.is_empty());
    for text in std::iter::once(endpoint.unwrap_or_default()).chain(named) {
        // One way that can't be read does not spoil the others.
        let Ok(host) = redirect::host(text) else { continue };
        let place = Endpoint { host, port: Some(port) };
        if !seat.places.contains(&place) {
            seat.places.push(place);
        }
    }
    let hosts = || seat.places.iter().map(|p| &p.host);
    let ip = hosts().find_map(|h| if let Host::Address(ip) = h { Some(*ip) } else { None });
    let name = hosts().find_map(|h| if let Host::Name(name) = h { Some(name.clone()) } else { None });
    seat.alias = name.zip(ip);
    if seat.places.is_empty() {
        return Err(Unreadable::Form("a box has no host"));
    }
    Ok(seat)
}

fn add(ranges: &mut Vec<Range>, range: Range) -> Result<(), Unreadable> {
    if ranges.len() >= MOST_RANGES {
        return Err(Unreadable::Form("it has more ranges than there are slots"));
    }
    ranges.push(range);
    Ok(())
}

fn bounds(first: &BytesFrame, last: &BytesFrame) -> Result<(u16, u16), Unreadable> {
    let slot = |frame| {
        let number = u16::try_from(number(frame)?).ok().filter(|s| *s < SLOTS);
        number.ok_or(Unreadable::Form("a slot is no number from 0 to 16383"))
    };
    let (first, last) = (slot(first)?, slot(last)?);
    if first > last { Err(Unreadable::Form("a range ends before it begins")) } else { Ok((first, last)) }
}

/// The names and values of a map that comes as a flat array.
struct Fields<'a>(&'a [BytesFrame]);

impl Fields<'_> {
    fn get(&self, name: &str) -> Option<&BytesFrame> {
        self.0.chunks_exact(2).find(|pair| raw(&pair[0]) == Some(name)).map(|pair| &pair[1])
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(raw)
    }

    /// The ways to a node of a shard; where it speaks TLS alone, it has that port only.
    fn seat(&self) -> Result<ClusterMember, Unreadable> {
        let port = self.get("port").or_else(|| self.get("tls-port"));
        let port = number(port.ok_or(Unreadable::Form("a node of a shard has no port"))?)?;
        let port = u16::try_from(port).ok().filter(|p| *p > 0);
        let port = port.ok_or(Unreadable::Form("a port is no number from 1 to 65535"))?;
        seat(self.text("endpoint"), self.text("ip"), self.text("hostname"), port)
    }
}

fn fields<'a>(frame: &'a BytesFrame, else_say: &'static str) -> Result<Fields<'a>, Unreadable> {
    Ok(Fields(array(frame, else_say)?))
}

fn array<'a>(frame: &'a BytesFrame, else_say: &'static str) -> Result<&'a [BytesFrame], Unreadable> {
    match frame {
        BytesFrame::Array(parts) => Ok(parts),
        other => Err(error(other, else_say)),
    }
}

fn error(frame: &BytesFrame, else_say: &'static str) -> Unreadable {
    match frame {
        // The words of the servers of all versions: "unknown command", "unknown subcommand".
        BytesFrame::Error(line) if line.to_ascii_lowercase().contains("unknown") => Unreadable::Unknown,
        BytesFrame::Error(line) => Unreadable::Error(line.chars().take(80).collect()),
        _ => Unreadable::Form(else_say),
    }
}

fn raw(frame: &BytesFrame) -> Option<&str> {
    match frame {
        BytesFrame::BulkString(b) | BytesFrame::SimpleString(b) => std::str::from_utf8(b).ok(),
        _ => None,
    }
}

fn text(frame: &BytesFrame) -> Option<String> {
    raw(frame).map(str::to_owned)
}

fn number(frame: &BytesFrame) -> Result<i64, Unreadable> {
    match frame {
        BytesFrame::Integer(n) => Ok(*n),
        other => {
            let number = raw(other).and_then(|t| t.parse().ok());
            number.ok_or(Unreadable::Form("text where a number belongs"))
        }
    }
}

#[cfg(test)]
mod tests;
