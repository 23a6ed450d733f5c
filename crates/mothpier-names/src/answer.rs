//! Interprets the answer to a question. No I/O.

use std::collections::BTreeMap;
use std::net::IpAddr;

use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::rdata::SRV;
use hickory_proto::rr::{Name, RData, Record};

use crate::question::{Kind, Question};

/// Maximum number of CNAME links that are followed for one question, over all its answers.
pub const MAX_CNAME_LINKS: usize = 8;
/// Maximum number of records in one answer. An answer with more is rejected whole instead of being read in
/// part.
pub const MAX_RECORDS: usize = 1024;

/// The content of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The SRV records of a service, with addresses of their targets from the additional section.
    Service {
        /// The SRV records.
        records: Vec<SRV>,
        /// The lifetime in seconds.
        ttl: u32,
        /// Addresses of the records' targets, with their lifetimes in seconds.
        additional: BTreeMap<(Name, Kind), (Vec<IpAddr>, u32)>,
    },
    /// The addresses of a host.
    Addresses {
        /// The addresses.
        addresses: Vec<IpAddr>,
        /// The lifetime in seconds.
        ttl: u32,
    },
    /// The name is an alias of another name, for which this answer has no records: that name must be queried
    /// next.
    Alias {
        /// The name to query.
        to: Name,
        /// Number of CNAME links that led there.
        links: usize,
        /// The lifetime in seconds.
        ttl: u32,
    },
    /// A negative answer: the name does not exist or has no records of this kind.
    Negative {
        /// The name does not exist (NXDOMAIN).
        name_missing: bool,
        /// The TTL and the minimum field of the SOA record, if there is one (RFC 2308, section 5).
        soa: Option<(u32, u32)>,
    },
    /// The answer is truncated; the question must be repeated over TCP.
    Truncated,
}

/// Why an answer can't be used. Another server may give a better one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// The server returned an error code such as SERVFAIL or REFUSED.
    Code(u16),
    /// The server does not support EDNS (RFC 6891, section 7).
    EdnsUnsupported,
    /// A chain of CNAME records that is longer than [`MAX_CNAME_LINKS`] or that forms a loop.
    CnameChain,
    /// The answer has more than [`MAX_RECORDS`] records.
    TooManyRecords(usize),
    /// Not a DNS message, or not the answer to the question.
    Malformed,
}

impl std::fmt::Display for AnswerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            AnswerError::Code(code) => write!(f, "{}", <ResponseCode as From<u16>>::from(*code)),
            AnswerError::EdnsUnsupported => f.write_str("the server does not support EDNS"),
            AnswerError::CnameChain => {
                write!(f, "a chain of more than {MAX_CNAME_LINKS} aliases, or a loop")
            }
            AnswerError::TooManyRecords(count) => {
                write!(f, "{count} records, more than the limit of {MAX_RECORDS}")
            }
            AnswerError::Malformed => f.write_str("not a DNS message"),
        }
    }
}

impl std::error::Error for AnswerError {}

/// Interprets the answer to a question.
///
/// # Errors
///
/// Returns why the answer can't be used.
pub fn interpret(question: &Question, message: &Message) -> Result<Reply, AnswerError> {
    if message.metadata.truncation {
        return Ok(Reply::Truncated);
    }
    let soa = message.authorities.iter().find_map(|r| match &r.data {
        RData::SOA(soa) => Some((r.ttl, soa.minimum)),
        _ => None,
    });
    match message.metadata.response_code {
        ResponseCode::NoError => {}
        ResponseCode::NXDomain => return Ok(Reply::Negative { name_missing: true, soa }),
        ResponseCode::FormErr | ResponseCode::BADVERS => return Err(AnswerError::EdnsUnsupported),
        other => return Err(AnswerError::Code(other.into())),
    }
    let records = message.answers.len() + message.additionals.len();
    if records > MAX_RECORDS {
        return Err(AnswerError::TooManyRecords(records));
    }
    let (name, links, chain_ttl) = follow_aliases(&question.name, &message.answers)?;
    let matching_records = || message.answers.iter().filter(|r| r.name == name);
    match question.kind {
        Kind::Srv => {
            let found: Vec<(&Record, &SRV)> = matching_records()
                .filter_map(|r| match &r.data {
                    RData::SRV(srv) => Some((r, srv)),
                    _ => None,
                })
                .collect();
            if let Some(ttl) = found.iter().map(|(r, _)| r.ttl).min() {
                let records: Vec<SRV> = found.into_iter().map(|(_, srv)| srv.clone()).collect();
                let additional = addresses_in_additionals(&records, &message.additionals);
                return Ok(Reply::Service { records, ttl: ttl.min(chain_ttl), additional });
            }
        }
        Kind::A | Kind::Aaaa => {
            let found: Vec<(u32, IpAddr)> =
                matching_records().filter_map(|r| Some((r.ttl, address(r)?.1))).collect();
            if let Some(ttl) = found.iter().map(|(ttl, _)| *ttl).min() {
                let addresses = found.into_iter().map(|(_, address)| address).collect();
                return Ok(Reply::Addresses { addresses, ttl: ttl.min(chain_ttl) });
            }
        }
    }
    Ok(match links {
        0 => Reply::Negative { name_missing: false, soa },
        // RFC 2308, section 2.2: with an SOA record the end of the chain has no such records; without one the
        // server does not know the rest of the chain.
        _ if soa.is_some() => Reply::Negative { name_missing: false, soa },
        links => Reply::Alias { to: name, links, ttl: chain_ttl },
    })
}

/// Follows CNAME records from a name as far as these records lead. Returns the last name, the number of
/// links, and their lowest TTL.
fn follow_aliases(from: &Name, records: &[Record]) -> Result<(Name, usize, u32), AnswerError> {
    let aliases: BTreeMap<&Name, (&Name, u32)> = records
        .iter()
        .filter_map(|r| match &r.data {
            RData::CNAME(to) => Some((&r.name, (&to.0, r.ttl))),
            _ => None,
        })
        .collect();
    let (mut name, mut links, mut ttl) = (from, 0, u32::MAX >> 1);
    while let Some((to, link_ttl)) = aliases.get(name) {
        links += 1;
        if links > MAX_CNAME_LINKS {
            return Err(AnswerError::CnameChain);
        }
        (name, ttl) = (to, ttl.min(*link_ttl));
    }
    Ok((name.clone(), links, ttl))
}

/// Collects the addresses in the additional section. Only those of hosts that the answer itself names are
/// accepted.
fn addresses_in_additionals(
    records: &[SRV],
    additionals: &[Record],
) -> BTreeMap<(Name, Kind), (Vec<IpAddr>, u32)> {
    let mut additional: BTreeMap<(Name, Kind), (Vec<IpAddr>, u32)> = BTreeMap::new();
    for r in additionals.iter().filter(|r| records.iter().any(|srv| srv.target == r.name)) {
        if let Some((kind, ip)) = address(r) {
            let entry = additional.entry((r.name.clone(), kind)).or_insert((Vec::new(), r.ttl));
            entry.0.push(ip);
            entry.1 = entry.1.min(r.ttl);
        }
    }
    additional
}

fn address(record: &Record) -> Option<(Kind, IpAddr)> {
    match &record.data {
        RData::A(a) => Some((Kind::A, IpAddr::V4(a.0))),
        RData::AAAA(a) => Some((Kind::Aaaa, IpAddr::V6(a.0))),
        _ => None,
    }
}
