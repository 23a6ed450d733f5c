//! Network endpoints: parses the spellings in use and brings them into a canonical form in which they can be
//! compared. Names are resolved from a hosts file that the caller passes in; there are no DNS look-ups.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Host names and their addresses, as in hosts(5).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hosts(BTreeMap<String, IpAddr>);

impl Hosts {
    /// Parses a hosts file; lines without a valid address are skipped, as the system's resolver does.
    pub fn parse(text: &str) -> Hosts {
        let mut names = BTreeMap::new();
        for line in text.lines() {
            let mut words = line.split('#').next().unwrap_or_default().split_whitespace();
            let Some(address) = words.next().and_then(|a| a.parse::<IpAddr>().ok()) else { continue };
            for name in words.filter_map(canonical_name) {
                names.entry(name).or_insert(address.to_canonical());
            }
        }
        Hosts(names)
    }

    /// Returns the address of a canonical name.
    pub fn get(&self, name: &str) -> Option<IpAddr> {
        self.0.get(name).copied()
    }
}

/// The host of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Host {
    /// An IP address.
    Ip(IpAddr),
    /// A canonical name, with its address if the hosts file has one.
    Name(String, Option<IpAddr>),
}

/// A host and a port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The host.
    pub host: Host,
    /// The port.
    pub port: u16,
    /// Whether programs interpret the spelling differently, as with octal IPv4 parts.
    pub ambiguous: bool,
}

/// Why a text is not a valid endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointError {
    /// The text is empty.
    Empty,
    /// There is no port, and the setting has no default port.
    NoPort,
    /// The port is not a number from 1 to 65535.
    Port(String),
    /// The host is neither an address nor a name.
    Host(String),
}

impl fmt::Display for EndpointError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndpointError::Empty => f.write_str("it is empty"),
            EndpointError::NoPort => f.write_str("the port is missing"),
            EndpointError::Port(port) => write!(f, "{port:?} is not a port from 1 to 65535"),
            EndpointError::Host(host) => {
                write!(f, "{host:?} is neither an address nor a name (RFC 1123, section 2.1)")
            }
        }
    }
}

impl Endpoint {
    /// Parses `HOST:PORT`, `[IPv6]:PORT`, or a host alone if there is a default port.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the text.
    pub fn parse(text: &str, default_port: Option<u16>, hosts: &Hosts) -> Result<Endpoint, EndpointError> {
        let text = text.trim();
        if text.is_empty() {
            return Err(EndpointError::Empty);
        }
        let (host, port) = match text.strip_prefix('[') {
            Some(rest) => {
                let (host, after_bracket) =
                    rest.split_once(']').ok_or_else(|| EndpointError::Host(text.to_owned()))?;
                let port = match after_bracket {
                    "" => None,
                    _ => Some(
                        after_bracket
                            .strip_prefix(':')
                            .ok_or_else(|| EndpointError::Port(after_bracket.to_owned()))?,
                    ),
                };
                (host, port)
            }
            // More than one colon without brackets: an IPv6 address without a port.
            None if text.matches(':').count() > 1 => (text, None),
            None => match text.split_once(':') {
                Some((host, port)) => (host, Some(port)),
                None => (text, None),
            },
        };
        let port = match port {
            Some(port) if !port.bytes().all(|b| b.is_ascii_digit()) => {
                return Err(EndpointError::Port(port.to_owned()));
            }
            Some(port) => {
                port.parse().ok().filter(|p| *p > 0).ok_or_else(|| EndpointError::Port(port.to_owned()))?
            }
            None => default_port.ok_or(EndpointError::NoPort)?,
        };
        let (host, ambiguous) =
            parse_host(host, hosts).ok_or_else(|| EndpointError::Host(host.to_owned()))?;
        Ok(Endpoint { host, port, ambiguous })
    }

    /// Returns the socket address, if it is known.
    pub fn address(&self) -> Option<SocketAddr> {
        match &self.host {
            Host::Ip(ip) | Host::Name(_, Some(ip)) => Some(SocketAddr::new(*ip, self.port)),
            Host::Name(_, None) => None,
        }
    }

    /// Returns the canonical spelling, which is the same for all spellings of one endpoint.
    pub fn canonical(&self) -> String {
        match (&self.host, self.address()) {
            (_, Some(address)) => address.to_string(),
            (Host::Name(name, _), None) => format!("{name}:{}", self.port),
            (Host::Ip(ip), None) => format!("{ip}:{}", self.port),
        }
    }
}

/// Parses a host; the flag is true if programs interpret the spelling differently.
fn parse_host(text: &str, hosts: &Hosts) -> Option<(Host, bool)> {
    if let Ok(ip) = text.parse::<IpAddr>() {
        return Some((Host::Ip(ip.to_canonical()), false));
    }
    if let Some(ip) = parse_inet_aton(text) {
        return Some((Host::Ip(IpAddr::V4(ip)), true));
    }
    if text.contains(':') {
        return text.parse::<Ipv6Addr>().ok().map(|ip| (Host::Ip(IpAddr::V6(ip).to_canonical()), false));
    }
    let name = canonical_name(text)?;
    let address = hosts.get(&name);
    Some((Host::Name(name, address), false))
}

/// Parses an IPv4 address in the forms of inet_aton(3): one to four decimal, octal or hexadecimal numbers,
/// the last of which fills the remaining bytes. Called only for texts that the strict parser rejects.
fn parse_inet_aton(text: &str) -> Option<Ipv4Addr> {
    let parts: Vec<&str> = text.strip_suffix('.').unwrap_or(text).split('.').collect();
    if parts.len() > 4 {
        return None;
    }
    let number = |part: &&str| {
        let (digits, radix) = match part.strip_prefix("0x").or_else(|| part.strip_prefix("0X")) {
            Some(hex) => (hex, 16),
            // 08 is not octal; programs that accept it read it as 8.
            None if part.len() > 1 && part.starts_with('0') && !part.contains(['8', '9']) => (&part[1..], 8),
            None => (*part, 10),
        };
        // `from_str_radix` accepts a sign, which an address can't have.
        let only_digits = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_hexdigit());
        u32::from_str_radix(digits, radix).ok().filter(|_| only_digits)
    };
    let numbers: Vec<u32> = parts.iter().map(number).collect::<Option<_>>()?;
    let (last, front) = numbers.split_last()?;
    let free_bits = 32 - 8 * front.len() as u32;
    if front.iter().any(|n| *n > 255) || u64::from(*last) >= 1u64 << free_bits {
        return None;
    }
    let front = front.iter().enumerate().fold(0u32, |sum, (at, n)| sum | n << (24 - 8 * at as u32));
    Some(Ipv4Addr::from(front | last))
}

/// Returns the canonical form of a host name: lower case, ASCII (IDNA, UTS 46), without a trailing dot.
fn canonical_name(text: &str) -> Option<String> {
    let text = text.strip_suffix('.').unwrap_or(text);
    let ascii = idna::domain_to_ascii(text).ok()?;
    let label = |l: &str| {
        !l.is_empty()
            && l.len() <= 63
            && !l.starts_with('-')
            && !l.ends_with('-')
            && l.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
    };
    let all_digits = ascii.rsplit('.').next().is_some_and(|l| l.bytes().all(|b| b.is_ascii_digit()));
    (ascii.len() <= 253 && ascii.split('.').all(label) && !all_digits).then_some(ascii)
}

#[cfg(test)]
mod tests;
