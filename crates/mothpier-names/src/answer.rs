//! What an answer means for its question. Pure.

use std::collections::BTreeMap;
use std::net::IpAddr;

use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::rdata::SRV;
use hickory_proto::rr::{Name, RData, Record};

use crate::question::{Kind, Question};

/// Links of a chain of names that are followed, over all answers.
pub const MOST_LINKS: usize = 8;
/// Records of one answer; a service of more boxes is refused whole and not read in part.
pub const MOST_RECORDS: usize = 1024;

/// What an answer said.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The boxes of a service, with the lifetime of the set, and the addresses of hosts that came beside.
    Boxes {
        /// The records.
        records: Vec<SRV>,
        /// Seconds.
        ttl: u32,
        /// Addresses of the records' targets, with their lifetimes.
        beside: BTreeMap<(Name, Kind), (Vec<IpAddr>, u32)>,
    },
    /// A host's addresses.
    Addresses {
        /// The addresses.
        addresses: Vec<IpAddr>,
        /// Seconds.
        ttl: u32,
    },
    /// The name stands for another, which this answer does not hold: it is to be asked for.
    Alias {
        /// The other.
        to: Name,
        /// How many links led there.
        links: usize,
        /// Seconds.
        ttl: u32,
    },
    /// There is no such name, or nothing of this kind under it; lifetime and minimum of the SOA.
    Nothing {
        /// There is no such name at all.
        no_name: bool,
        /// RFC 2308, section 5.
        soa: Option<(u32, u32)>,
    },
    /// It did not fit: to be asked over TCP.
    Truncated,
}

/// Why an answer is of no use; another server may do better.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// The server says so: SERVFAIL, REFUSED and the like, by number.
    Code(u16),
    /// The server does not understand the question with its extension (RFC 6891, section 7).
    NoEdns,
    /// A chain of names that is longer than [`MOST_LINKS`], or that comes back to itself.
    Chain,
    /// More than [`MOST_RECORDS`] records.
    TooMany(usize),
    /// No message at all.
    Garbled,
}

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unreadable::Code(code) => write!(f, "{}", <ResponseCode as From<u16>>::from(*code)),
            Unreadable::NoEdns => f.write_str("the server knows no EDNS"),
            Unreadable::Chain => {
                write!(f, "a chain of more than {MOST_LINKS} names, or one that is a circle")
            }
            Unreadable::TooMany(n) => write!(f, "{n} records; {MOST_RECORDS} are taken at the most"),
            Unreadable::Garbled => f.write_str("no DNS message"),
        }
    }
}

impl std::error::Error for Unreadable {}

/// Reads an answer to a question.
///
/// # Errors
///
/// An answer that is of no use.
pub fn read(question: &Question, message: &Message) -> Result<Reply, Unreadable> {
    if message.metadata.truncation {
        return Ok(Reply::Truncated);
    }
    let soa = message.authorities.iter().find_map(|r| match &r.data {
        RData::SOA(soa) => Some((r.ttl, soa.minimum)),
        _ => None,
    });
    match message.metadata.response_code {
        ResponseCode::NoError => {}
        ResponseCode::NXDomain => return Ok(Reply::Nothing { no_name: true, soa }),
        ResponseCode::FormErr | ResponseCode::BADVERS => return Err(Unreadable::NoEdns),
        other => return Err(Unreadable::Code(other.into())),
    }
    let records = message.answers.len() + message.additionals.len();
    if records > MOST_RECORDS {
        return Err(Unreadable::TooMany(records));
    }
    let (name, links, chain_ttl) = follow(&question.name, &message.answers)?;
    let here = || message.answers.iter().filter(|r| r.name == name);
    match question.kind {
        Kind::Srv => {
            let found: Vec<(&Record, &SRV)> = here()
                .filter_map(|r| match &r.data {
                    RData::SRV(srv) => Some((r, srv)),
                    _ => None,
                })
                .collect();
            if let Some(ttl) = found.iter().map(|(r, _)| r.ttl).min() {
                let records: Vec<SRV> = found.into_iter().map(|(_, srv)| srv.clone()).collect();
                let beside = beside(&records, &message.additionals);
                return Ok(Reply::Boxes { records, ttl: ttl.min(chain_ttl), beside });
            }
        }
        Kind::A | Kind::Aaaa => {
            let found: Vec<(u32, IpAddr)> = here().filter_map(|r| Some((r.ttl, address(r)?.1))).collect();
            if let Some(ttl) = found.iter().map(|(ttl, _)| *ttl).min() {
                let addresses = found.into_iter().map(|(_, a)| a).collect();
                return Ok(Reply::Addresses { addresses, ttl: ttl.min(chain_ttl) });
            }
        }
    }
    Ok(match links {
        0 => Reply::Nothing { no_name: false, soa },
        // RFC 2308, section 2.2: with an SOA the end of the chain has nothing; without, the server knows no further.
        _ if soa.is_some() => Reply::Nothing { no_name: false, soa },
        links => Reply::Alias { to: name, links, ttl: chain_ttl },
    })
}

/// Follows aliases from a name as far as these records lead: the last name, the links, and their least lifetime.
fn follow(from: &Name, records: &[Record]) -> Result<(Name, usize, u32), Unreadable> {
    let aliases: BTreeMap<&Name, (&Name, u32)> = records
        .iter()
        .filter_map(|r| match &r.data {
            RData::CNAME(to) => Some((&r.name, (&to.0, r.ttl))),
            _ => None,
        })
        .collect();
    let (mut name, mut links, mut ttl) = (from, 0, u32::MAX >> 1);
    while let Some((to, its)) = aliases.get(name) {
        links += 1;
        if links > MOST_LINKS {
            return Err(Unreadable::Chain);
        }
        (name, ttl) = (to, ttl.min(*its));
    }
    Ok((name.clone(), links, ttl))
}

/// Addresses beside the answer count only for hosts that the answer itself names.
fn beside(records: &[SRV], additionals: &[Record]) -> BTreeMap<(Name, Kind), (Vec<IpAddr>, u32)> {
    let mut beside: BTreeMap<(Name, Kind), (Vec<IpAddr>, u32)> = BTreeMap::new();
    for r in additionals.iter().filter(|r| records.iter().any(|srv| srv.target == r.name)) {
        if let Some((kind, at)) = address(r) {
            let entry = beside.entry((r.name.clone(), kind)).or_insert((Vec::new(), r.ttl));
            entry.0.push(at);
            entry.1 = entry.1.min(r.ttl);
        }
    }
    beside
}

fn address(record: &Record) -> Option<(Kind, IpAddr)> {
    match &record.data {
        RData::A(a) => Some((Kind::A, IpAddr::V4(a.0))),
        RData::AAAA(a) => Some((Kind::Aaaa, IpAddr::V6(a.0))),
        _ => None,
    }
}
