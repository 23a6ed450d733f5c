//! Addresses under all the spellings that people use, and when two of them are the same place. Nothing is looked up:
//! names are known from a hosts file that is handed over, or stay names.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Names and their addresses, as a hosts file (hosts(5)) has them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hosts(BTreeMap<String, IpAddr>);

impl Hosts {
    /// Reads a hosts file; lines that name no address are passed over, as the system's reader does.
    pub fn read(text: &str) -> Hosts {
        let mut names = BTreeMap::new();
        for line in text.lines() {
            let mut words = line.split('#').next().unwrap_or_default().split_whitespace();
            let Some(address) = words.next().and_then(|a| a.parse::<IpAddr>().ok()) else { continue };
            for name in words.filter_map(name) {
                names.entry(name).or_insert(address.to_canonical());
            }
        }
        Hosts(names)
    }

    /// The address of a name in its plain spelling.
    pub fn get(&self, name: &str) -> Option<IpAddr> {
        self.0.get(name).copied()
    }
}

/// Who is meant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Host {
    /// An address.
    Ip(IpAddr),
    /// A name in its plain spelling, with its address where the hosts file has it.
    Name(String, Option<IpAddr>),
}

/// A host and a port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Who.
    pub host: Host,
    /// Where there.
    pub port: u16,
    /// It was spelled so that programs differ on what it means.
    pub odd: bool,
}

/// Why a text is no place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// There is nothing.
    Empty,
    /// There is no port, and none is usual here.
    NoPort,
    /// The port is no number from 1 to 65535.
    Port(String),
    /// The host is neither an address nor a name.
    Host(String),
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Wrong::Empty => f.write_str("there is nothing"),
            Wrong::NoPort => f.write_str("the port is missing"),
            Wrong::Port(port) => write!(f, "{port:?} is no port from 1 to 65535"),
            Wrong::Host(host) => {
                write!(f, "{host:?} is neither an address nor a name (RFC 1123, section 2.1)")
            }
        }
    }
}

impl Place {
    /// Reads `HOST:PORT`, `[IPv6]:PORT`, or a host alone where a port is usual.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub fn read(text: &str, usual_port: Option<u16>, hosts: &Hosts) -> Result<Place, Wrong> {
        let text = text.trim();
        if text.is_empty() {
            return Err(Wrong::Empty);
        }
        let (host, port) = match text.strip_prefix('[') {
            Some(rest) => {
                let (host, behind) = rest.split_once(']').ok_or_else(|| Wrong::Host(text.to_owned()))?;
                let port = match behind {
                    "" => None,
                    _ => Some(behind.strip_prefix(':').ok_or_else(|| Wrong::Port(behind.to_owned()))?),
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
                return Err(Wrong::Port(port.to_owned()));
            }
            Some(port) => port.parse().ok().filter(|p| *p > 0).ok_or_else(|| Wrong::Port(port.to_owned()))?,
            None => usual_port.ok_or(Wrong::NoPort)?,
        };
        let (host, odd) = host_of(host, hosts).ok_or_else(|| Wrong::Host(host.to_owned()))?;
        Ok(Place { host, port, odd })
    }

    /// Its address, where it is known.
    pub fn address(&self) -> Option<SocketAddr> {
        match &self.host {
            Host::Ip(ip) | Host::Name(_, Some(ip)) => Some(SocketAddr::new(*ip, self.port)),
            Host::Name(_, None) => None,
        }
    }

    /// One text for all spellings of this place.
    pub fn plain(&self) -> String {
        match (&self.host, self.address()) {
            (_, Some(address)) => address.to_string(),
            (Host::Name(name, _), None) => format!("{name}:{}", self.port),
            (Host::Ip(ip), None) => format!("{ip}:{}", self.port),
        }
    }
}

fn host_of(text: &str, hosts: &Hosts) -> Option<(Host, bool)> {
    if let Ok(ip) = text.parse::<IpAddr>() {
        return Some((Host::Ip(ip.to_canonical()), false));
    }
    if let Some(ip) = legacy(text) {
        return Some((Host::Ip(IpAddr::V4(ip)), true));
    }
    if text.contains(':') {
        return text.parse::<Ipv6Addr>().ok().map(|ip| (Host::Ip(IpAddr::V6(ip).to_canonical()), false));
    }
    let name = name(text)?;
    let address = hosts.get(&name);
    Some((Host::Name(name, address), false))
}

/// IPv4 addresses as inet_aton(3) takes them: one to four numbers, decimal, octal or hexadecimal, the last of which
/// fills what is left. Only what a strict reader refuses comes here.
fn legacy(text: &str) -> Option<Ipv4Addr> {
    let parts: Vec<&str> = text.strip_suffix('.').unwrap_or(text).split('.').collect();
    if parts.len() > 4 {
        return None;
    }
    let number = |part: &&str| {
        let (digits, radix) = match part.strip_prefix("0x").or_else(|| part.strip_prefix("0X")) {
            Some(hex) => (hex, 16),
            // 08 is no octal number; those who read it take it for 8.
            None if part.len() > 1 && part.starts_with('0') && !part.contains(['8', '9']) => (&part[1..], 8),
            None => (*part, 10),
        };
        // `from_str_radix` takes a sign, which no address has.
        let plain = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_hexdigit());
        u32::from_str_radix(digits, radix).ok().filter(|_| plain)
    };
    let numbers: Vec<u32> = parts.iter().map(number).collect::<Option<_>>()?;
    let (last, front) = numbers.split_last()?;
    let room = 32 - 8 * front.len() as u32;
    if front.iter().any(|n| *n > 255) || u64::from(*last) >= 1u64 << room {
        return None;
    }
    let front = front.iter().enumerate().fold(0u32, |sum, (at, n)| sum | n << (24 - 8 * at as u32));
    Some(Ipv4Addr::from(front | last))
}

/// A host's name in its plain spelling: lower case, ASCII (IDNA, UTS 46), no dot at the end.
fn name(text: &str) -> Option<String> {
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
