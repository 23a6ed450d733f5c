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
pub struct Place {
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

impl Place {
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
    pub to: Place,
}

/// What an error line of a cluster's box says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    /// Another box is to be asked.
    Redirect(Redirect),
    /// It did not run the command: its own state forbids it.
    NotNow(NotNow),
}

/// Why a box turns a command away unseen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotNow {
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

impl NotNow {
    /// Whether the slot map may be old: the box is not what the map has it for.
    pub fn doubts_the_map(self) -> bool {
        matches!(self, NotNow::ClusterDown | NotNow::MasterDown | NotNow::ReadOnly)
    }
}

/// Why a line that begins as a redirection is none. It proves nothing: the command may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Nonsense {
    /// It has other than three words.
    Words,
    /// The slot is no number below 16,384.
    Slot,
    /// There is no port, or one that nobody listens on.
    Port,
    /// The host is neither an address nor a name.
    Host,
}

impl fmt::Display for Nonsense {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Nonsense::Words => "it does not have the form KIND SLOT HOST:PORT",
            Nonsense::Slot => "its slot is no number from 0 to 16383",
            Nonsense::Port => "its port is no number from 1 to 65535",
            Nonsense::Host => "its host is neither an address nor a name",
        })
    }
}

/// Reads an error line, without its dash and line end; `None` for one that has nothing to do with clusters.
///
/// # Errors
///
/// What makes a redirection unreadable.
pub fn read(line: &str) -> Option<Result<Said, Nonsense>> {
    let kind = line.split(' ').next()?;
    let not_now = match kind {
        "MOVED" | "ASK" => return Some(redirect(line, kind == "ASK").map(Said::Redirect)),
        "TRYAGAIN" => NotNow::TryAgain,
        "CLUSTERDOWN" => NotNow::ClusterDown,
        "LOADING" => NotNow::Loading,
        "MASTERDOWN" => NotNow::MasterDown,
        "READONLY" => NotNow::ReadOnly,
        _ => return None,
    };
    Some(Ok(Said::NotNow(not_now)))
}

fn redirect(line: &str, ask: bool) -> Result<Redirect, Nonsense> {
    let words: Vec<&str> = line.split(' ').take(5).collect();
    // An empty host may leave nothing at all of the third word.
    let (slot, to) = match words.as_slice() {
        [_, slot] => (slot, ""),
        [_, slot, to] => (slot, *to),
        _ => return Err(Nonsense::Words),
    };
    let slot = number(slot).filter(|s| *s < SLOTS).ok_or(Nonsense::Slot)?;
    Ok(Redirect { ask, slot, to: place(to)? })
}

/// Reads `HOST:PORT`, where the host may be empty, an address with or without brackets, or a name.
///
/// # Errors
///
/// What makes it unreadable.
pub fn place(text: &str) -> Result<Place, Nonsense> {
    if text.is_empty() {
        return Ok(Place { host: Host::Same, port: None });
    }
    // The last colon: an IPv6 address stands without brackets, as servers write it.
    let (host, port) = text.rsplit_once(':').ok_or(Nonsense::Port)?;
    let port = number(port).filter(|p| *p > 0).ok_or(Nonsense::Port)?;
    Ok(Place { host: self::host(host)?, port: Some(port) })
}

/// Reads a host: empty, an address with or without brackets, or a name.
///
/// # Errors
///
/// What is none of them; also `?`, by which a box says that it does not know.
pub fn host(text: &str) -> Result<Host, Nonsense> {
    if text.is_empty() {
        return Ok(Host::Same);
    }
    let bare = text.strip_prefix('[').and_then(|t| t.strip_suffix(']')).unwrap_or(text);
    if let Ok(ip) = bare.parse::<IpAddr>() {
        // Nobody can be reached there.
        return if ip.is_unspecified() { Err(Nonsense::Host) } else { Ok(Host::Address(ip.to_canonical())) };
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
        return Err(Nonsense::Host);
    }
    Ok(Host::Name(name.to_ascii_lowercase()))
}

/// A number in digits alone: `+5` and ` 5` are none.
fn number(text: &str) -> Option<u16> {
    Some(text).filter(|t| t.len() <= 5 && t.bytes().all(|b| b.is_ascii_digit())).and_then(|t| t.parse().ok())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn moved(line: &str) -> Result<Redirect, Nonsense> {
        match read(line) {
            Some(Ok(Said::Redirect(r))) => Ok(r),
            Some(Err(e)) => Err(e),
            other => panic!("{line}: {other:?}"),
        }
    }

    #[test]
    fn hosts_in_every_form_lead_where_they_should() {
        let from: SocketAddr = "10.1.0.9:7000".parse().unwrap();
        let named = |name: &str| (name == "pb7.example.org").then(|| IpAddr::from([10, 1, 0, 7]));
        for (line, address) in [
            ("MOVED 3999 127.0.0.1:6381", Some("127.0.0.1:6381")),
            ("MOVED 3999 :6381", Some("10.1.0.9:6381")),
            ("MOVED 3999 ", Some("10.1.0.9:7000")),
            ("MOVED 3999", Some("10.1.0.9:7000")),
            ("ASK 0 ::1:6381", Some("[::1]:6381")),
            ("ASK 16383 [2001:db8::1]:6381", Some("[2001:db8::1]:6381")),
            ("MOVED 1 ::ffff:10.1.0.7:1", Some("10.1.0.7:1")),
            ("MOVED 1 PB7.example.org.:65535", Some("10.1.0.7:65535")),
            ("MOVED 1 pb8.example.org:1", None),
        ] {
            let r = moved(line).unwrap();
            assert_eq!(r.to.address(from, &named), address.map(|a| a.parse().unwrap()), "{line}");
            assert_eq!(r.ask, line.starts_with("ASK"), "{line}");
        }
        assert_eq!(moved("MOVED 3999 127.0.0.1:6381").unwrap().slot, 3_999);
    }

    #[test]
    fn nonsense_is_told_apart_by_its_cause() {
        for (line, cause) in [
            ("MOVED", Nonsense::Words),
            ("MOVED 1 a:1 b:2", Nonsense::Words),
            ("MOVED 16384 10.0.0.1:1", Nonsense::Slot),
            ("MOVED 99999999999 10.0.0.1:1", Nonsense::Slot),
            ("MOVED -1 10.0.0.1:1", Nonsense::Slot),
            ("MOVED +1 10.0.0.1:1", Nonsense::Slot),
            ("MOVED  10.0.0.1:1", Nonsense::Slot),
            ("ASK 1 10.0.0.1:0", Nonsense::Port),
            ("ASK 1 10.0.0.1:70000", Nonsense::Port),
            ("ASK 1 10.0.0.1:", Nonsense::Port),
            ("ASK 1 10.0.0.1", Nonsense::Port),
            ("ASK 1 ?:6379", Nonsense::Host),
            ("ASK 1 0.0.0.0:6379", Nonsense::Host),
            ("ASK 1 10.0.0.300:6379", Nonsense::Host),
            ("ASK 1 a..b:6379", Nonsense::Host),
            ("ASK 1 \u{e9}:6379", Nonsense::Host),
            ("ASK 1 [::1:6379", Nonsense::Host),
        ] {
            assert_eq!(moved(line), Err(cause), "{line}");
        }
        let long = format!("MOVED 1 {}:1", "a.".repeat(500_000));
        assert_eq!(moved(&long), Err(Nonsense::Host));
    }

    #[test]
    fn other_errors_of_a_cluster_never_ran_and_the_rest_is_not_its_business() {
        for (line, why) in [
            ("TRYAGAIN Multiple keys request during rehashing of slot", NotNow::TryAgain),
            ("CLUSTERDOWN Hash slot not served", NotNow::ClusterDown),
            ("LOADING Redis is loading the dataset in memory", NotNow::Loading),
            ("MASTERDOWN Link with MASTER is down", NotNow::MasterDown),
            ("READONLY You can't write against a read only replica.", NotNow::ReadOnly),
        ] {
            assert_eq!(read(line), Some(Ok(Said::NotNow(why))));
        }
        for line in ["", "ERR failed", "BUSY", "moved 1 a:1", "MOVEDX 1 a:1", "ASKING"] {
            assert_eq!(read(line), None, "{line:?}");
        }
    }
}
