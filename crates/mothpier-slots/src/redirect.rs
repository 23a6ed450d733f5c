//! Parses the error lines that cluster servers send in place of a value.
//!
//! A redirection is only parsed here and not trusted: [`crate::table`] and the policy decide whether it is
//! followed.
//!
//! Source: the Redis Cluster specification, "MOVED Redirection", "ASK Redirection" and "Clients first
//! connection and handling of redirections"; the reference pages of CLUSTER SLOTS and CLUSTER SHARDS for
//! empty and unknown hosts.

use std::fmt;
use std::net::{IpAddr, SocketAddr};

use crate::slot::SLOTS;

/// Maximum length of a host name in bytes (RFC 1035, section 2.3.4).
const MAX_HOST_NAME_BYTES: usize = 253;

/// An endpoint as reported by a server. The port is never 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The host.
    pub host: Host,
    /// The port; `None` means the port at which the reporting server was contacted.
    pub port: Option<u16>,
}

/// A host as reported by a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Host {
    /// No host given: the one at which the reporting server was contacted.
    Same,
    /// An IP address.
    Address(IpAddr),
    /// A host name in lower case.
    Name(String),
}

impl Endpoint {
    /// Resolves the endpoint for a server contacted at `from`. `lookup` returns the address of a host name.
    pub fn resolve(&self, from: SocketAddr, lookup: &dyn Fn(&str) -> Option<IpAddr>) -> Option<SocketAddr> {
        let ip = match &self.host {
            Host::Same => from.ip(),
            Host::Address(ip) => *ip,
            Host::Name(name) => lookup(name)?,
        };
        Some(SocketAddr::new(ip, self.port.unwrap_or(from.port())))
    }
}

/// A redirection to another server; the command did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Redirect {
    /// An `ASK`: it applies to this command only, which must be preceded by `ASKING`, because the slot is
    /// being migrated to the named server.
    pub ask: bool,
    /// The slot.
    pub slot: u16,
    /// The named server.
    pub to: Endpoint,
}

/// An error that is specific to cluster servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClusterError {
    /// The command is to be sent to another server.
    Redirect(Redirect),
    /// The command did not run because of the state of the server.
    Unavailable(UnavailableReason),
}

/// Why a server rejected a command without running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// The keys of the command are split between the two sides of a slot migration.
    TryAgain,
    /// The cluster does not serve the slot.
    ClusterDown,
    /// The server is loading its dataset.
    Loading,
    /// The server is a replica without a link to its master.
    MasterDown,
    /// The server is a replica and accepts no writes.
    ReadOnly,
}

impl UnavailableReason {
    /// Returns whether the slot map may be stale: the server does not have the role that the map gives it.
    pub fn suggests_stale_map(self) -> bool {
        matches!(
            self,
            UnavailableReason::ClusterDown | UnavailableReason::MasterDown | UnavailableReason::ReadOnly
        )
    }
}

/// Why a line that starts like a redirection is malformed. Such a line does not prove that the command did
/// not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RedirectError {
    /// The line does not have three fields.
    FieldCount,
    /// The slot is not a number below 16,384.
    Slot,
    /// The port is missing, 0 or not a port number.
    Port,
    /// The host is neither an IP address nor a host name.
    Host,
}

impl fmt::Display for RedirectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RedirectError::FieldCount => "it does not have the form KIND SLOT HOST:PORT",
            RedirectError::Slot => "its slot is not a number from 0 to 16383",
            RedirectError::Port => "its port is not a number from 1 to 65535",
            RedirectError::Host => "its host is neither an IP address nor a host name",
        })
    }
}

/// Parses an error line without its leading dash and line end. Returns `None` for a line that is not specific
/// to clusters.
///
/// # Errors
///
/// Returns the reason why a redirection is malformed.
pub fn parse_error_line(line: &str) -> Option<Result<ClusterError, RedirectError>> {
    let kind = line.split(' ').next()?;
    let reason = match kind {
        "MOVED" | "ASK" => return Some(parse_redirect(line, kind == "ASK").map(ClusterError::Redirect)),
        "TRYAGAIN" => UnavailableReason::TryAgain,
        "CLUSTERDOWN" => UnavailableReason::ClusterDown,
        "LOADING" => UnavailableReason::Loading,
        "MASTERDOWN" => UnavailableReason::MasterDown,
        "READONLY" => UnavailableReason::ReadOnly,
        _ => return None,
    };
    Some(Ok(ClusterError::Unavailable(reason)))
}

fn parse_redirect(line: &str, ask: bool) -> Result<Redirect, RedirectError> {
    let fields: Vec<&str> = line.split(' ').take(5).collect();
    // With an empty host and no port the third field may be missing.
    let (slot, to) = match fields.as_slice() {
        [_, slot] => (slot, ""),
        [_, slot, to] => (slot, *to),
        _ => return Err(RedirectError::FieldCount),
    };
    let slot = parse_decimal(slot).filter(|s| *s < SLOTS).ok_or(RedirectError::Slot)?;
    Ok(Redirect { ask, slot, to: parse_endpoint(to)? })
}

/// Parses `HOST:PORT`, where the host may be empty, an IP address with or without brackets, or a host name.
///
/// # Errors
///
/// Returns the reason why the text is malformed.
pub fn parse_endpoint(text: &str) -> Result<Endpoint, RedirectError> {
    if text.is_empty() {
        return Ok(Endpoint { host: Host::Same, port: None });
    }
    // Splits at the last colon: servers write IPv6 addresses without brackets.
    let (host, port) = text.rsplit_once(':').ok_or(RedirectError::Port)?;
    let port = parse_decimal(port).filter(|p| *p > 0).ok_or(RedirectError::Port)?;
    Ok(Endpoint { host: self::parse_host(host)?, port: Some(port) })
}

/// Parses a host: empty, an IP address with or without brackets, or a host name.
///
/// # Errors
///
/// Fails for anything else, including `?`, by which a server reports that the host is unknown.
pub fn parse_host(text: &str) -> Result<Host, RedirectError> {
    if text.is_empty() {
        return Ok(Host::Same);
    }
    let unbracketed = text.strip_prefix('[').and_then(|t| t.strip_suffix(']')).unwrap_or(text);
    if let Ok(ip) = unbracketed.parse::<IpAddr>() {
        // The unspecified address can't be connected to.
        return if ip.is_unspecified() {
            Err(RedirectError::Host)
        } else {
            Ok(Host::Address(ip.to_canonical()))
        };
    }
    let is_label = |text: &str| {
        !text.is_empty()
            && text.len() <= 63
            && text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
    };
    let name = text.strip_suffix('.').unwrap_or(text);
    // Digits and dots alone are a malformed IPv4 address and not a host name.
    let is_numeric = name.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    if name.len() > MAX_HOST_NAME_BYTES || is_numeric || !name.split('.').all(is_label) {
        return Err(RedirectError::Host);
    }
    Ok(Host::Name(name.to_ascii_lowercase()))
}

/// Parses a number that consists of digits only; `+5` and ` 5` are rejected.
fn parse_decimal(text: &str) -> Option<u16> {
    Some(text).filter(|t| t.len() <= 5 && t.bytes().all(|b| b.is_ascii_digit())).and_then(|t| t.parse().ok())
}

#[cfg(test)]
mod tests;
