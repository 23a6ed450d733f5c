//! What a box of a cluster answers in place of a value, read off its error line. What it says is not believed here: a
//! redirection is only taken apart, and [`crate::table`] and the decision module see where it leads.
//!
//! Source: the Redis Cluster specification, "MOVED Redirection", "ASK Redirection" and "Clients first connection and
//! handling of redirections"; the pages of CLUSTER SLOTS and CLUSTER SHARDS for hosts that are empty or unknown.

use std::fmt;
use std::net::{IpAddr, SocketAddr};

use crate::slot::SLOTS;

/// The longest host name (RFC 1035, section 2.3.4).
const MOST_NAME: usize = 253;

/// Where a box says that something is. The port is never 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The host.
    pub host: Host,
    /// The port; `None` for the one that the box itself was reached at.
    pub port: Option<u16>,
}

/// A host as boxes name it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Host {
    /// Not named: the one that the box itself was reached at.
    Same,
    /// By address.
    Address(IpAddr),
    /// By name, in lower case.
    Name(String),
}

impl Endpoint {
    /// The address, seen from the box that named it. `named` knows the addresses of names.
    pub fn address(&self, from: SocketAddr, named: &dyn Fn(&str) -> Option<IpAddr>) -> Option<SocketAddr> {
        let ip = match &self.host {
            Host::Same => from.ip(),
            Host::Address(ip) => *ip,
            Host::Name(name) => named(name)?,
        };
        Some(SocketAddr::new(ip, self.port.unwrap_or(from.port())))
    }
}

/// A box names another for a slot; it did not run the command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Redirect {
    /// For this command only, and only behind `ASKING`: the slot is on its way there.
    pub ask: bool,
    /// The slot.
    pub slot: u16,
    /// The other box.
    pub to: Endpoint,
}

/// What an error line of a cluster's box says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClusterError {
    /// Another box is to be asked.
    Redirect(Redirect),
    /// It did not run the command: its own state forbids it.
    NotNow(UnavailableReason),
}

/// Why a box turns a command away unseen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// Keys of one command lie on both sides of a slot's move.
    TryAgain,
    /// Its cluster does not serve the slot.
    ClusterDown,
    /// It reads its data.
    Loading,
    /// It holds copies and has lost the owner.
    MasterDown,
    /// It holds copies and takes no writes.
    ReadOnly,
}

impl UnavailableReason {
    /// Whether the slot map may be old: the box is not what the map has it for.
    pub fn doubts_the_map(self) -> bool {
        matches!(
            self,
            UnavailableReason::ClusterDown | UnavailableReason::MasterDown | UnavailableReason::ReadOnly
        )
    }
}

/// Why a line that begins as a redirection is none. It proves nothing: the command may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RedirectError {
    /// It has other than three words.
    Words,
    /// The slot is no number below 16,384.
    Slot,
    /// There is no port, or one that nobody listens on.
    Port,
    /// The host is neither an address nor a name.
    Host,
}

impl fmt::Display for RedirectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RedirectError::Words => "it does not have the form KIND SLOT HOST:PORT",
            RedirectError::Slot => "its slot is no number from 0 to 16383",
            RedirectError::Port => "its port is no number from 1 to 65535",
            RedirectError::Host => "its host is neither an address nor a name",
        })
    }
}

/// Reads an error line, without its dash and line end; `None` for one that has nothing to do with clusters.
///
/// # Errors
///
/// What makes a redirection unreadable.
pub fn read(line: &str) -> Option<Result<ClusterError, RedirectError>> {
    let kind = line.split(' ').next()?;
    let not_now = match kind {
        "MOVED" | "ASK" => return Some(redirect(line, kind == "ASK").map(ClusterError::Redirect)),
        "TRYAGAIN" => UnavailableReason::TryAgain,
        "CLUSTERDOWN" => UnavailableReason::ClusterDown,
        "LOADING" => UnavailableReason::Loading,
        "MASTERDOWN" => UnavailableReason::MasterDown,
        "READONLY" => UnavailableReason::ReadOnly,
        _ => return None,
    };
    Some(Ok(ClusterError::NotNow(not_now)))
}

fn redirect(line: &str, ask: bool) -> Result<Redirect, RedirectError> {
    let words: Vec<&str> = line.split(' ').take(5).collect();
    // An empty host may leave nothing at all of the third word.
    let (slot, to) = match words.as_slice() {
        [_, slot] => (slot, ""),
        [_, slot, to] => (slot, *to),
        _ => return Err(RedirectError::Words),
    };
    let slot = number(slot).filter(|s| *s < SLOTS).ok_or(RedirectError::Slot)?;
    Ok(Redirect { ask, slot, to: place(to)? })
}

/// Reads `HOST:PORT`, where the host may be empty, an address with or without brackets, or a name.
///
/// # Errors
///
/// What makes it unreadable.
pub fn place(text: &str) -> Result<Endpoint, RedirectError> {
    if text.is_empty() {
        return Ok(Endpoint { host: Host::Same, port: None });
    }
    // The last colon: an IPv6 address stands without brackets, as servers write it.
    let (host, port) = text.rsplit_once(':').ok_or(RedirectError::Port)?;
    let port = number(port).filter(|p| *p > 0).ok_or(RedirectError::Port)?;
    Ok(Endpoint { host: self::host(host)?, port: Some(port) })
}

/// Reads a host: empty, an address with or without brackets, or a name.
///
/// # Errors
///
/// What is none of them; also `?`, by which a box says that it does not know.
pub fn host(text: &str) -> Result<Host, RedirectError> {
    if text.is_empty() {
        return Ok(Host::Same);
    }
    let bare = text.strip_prefix('[').and_then(|t| t.strip_suffix(']')).unwrap_or(text);
    if let Ok(ip) = bare.parse::<IpAddr>() {
        // Nobody can be reached there.
        return if ip.is_unspecified() {
            Err(RedirectError::Host)
        } else {
            Ok(Host::Address(ip.to_canonical()))
        };
    }
    let label = |l: &str| {
        !l.is_empty()
            && l.len() <= 63
            && l.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
    };
    let name = text.strip_suffix('.').unwrap_or(text);
    // What is all digits and dots would be an address, and is not one.
    let numeric = name.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    if name.len() > MOST_NAME || numeric || !name.split('.').all(label) {
        return Err(RedirectError::Host);
    }
    Ok(Host::Name(name.to_ascii_lowercase()))
}

/// A number in digits alone: `+5` and ` 5` are none.
fn number(text: &str) -> Option<u16> {
    Some(text).filter(|t| t.len() <= 5 && t.bytes().all(|b| b.is_ascii_digit())).and_then(|t| t.parse().ok())
}

#[cfg(test)]
mod tests;
