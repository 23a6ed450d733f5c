//! The file that enables further sources of cache servers: DNS, a fixed set, and gossip between nodes.

use std::net::SocketAddr;

use brassrouter::settings::Site;
use ipnet::IpNet;
use mothpier_membership::dns_servers::ShrinkGuard;
use mothpier_membership::{ServerTemplate, Settings, gossip};
use mothpier_names::{Lifetimes, Name, Resolver};
use serde::Deserialize;

/// The most file descriptors that DNS queries use: one for each outstanding query, and as many for abandoned
/// queries that have not ended yet.
pub const MAX_DNS_DESCRIPTORS: usize = 2 * mothpier_names::MAX_OUTSTANDING;

/// The sources of cache servers beside the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct Sources {
    /// How the sources are merged into one view.
    pub membership: Settings,
    /// The DNS resolver's settings; `None` if DNS is not queried.
    pub dns: Option<mothpier_names::Settings>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    dns: Option<DnsFile>,
    #[serde(default)]
    doubt: DoubtFile,
    #[serde(default = "gone_s")]
    gone_s: u64,
    like: Option<LikeFile>,
    #[serde(default)]
    fixed: Vec<String>,
    rumours: Option<RumoursFile>,
}

fn gone_s() -> u64 {
    Settings::default().tombstone_ms / 1000
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DnsFile {
    service: String,
    servers: Vec<String>,
    #[serde(default)]
    networks: Vec<String>,
    #[serde(default)]
    ipv6: bool,
    #[serde(default = "tier_per_s")]
    tier_per_s: f64,
    #[serde(default = "burst")]
    burst: f64,
    #[serde(default = "wait_ms")]
    wait_ms: u64,
    #[serde(default = "floor_s")]
    floor_s: u64,
    #[serde(default = "ceiling_s")]
    ceiling_s: u64,
    #[serde(default = "stale_s")]
    stale_s: u64,
}

fn tier_per_s() -> f64 {
    100.0
}

fn burst() -> f64 {
    16.0
}

fn wait_ms() -> u64 {
    1_000
}

fn floor_s() -> u64 {
    Lifetimes::default().floor / 1000
}

fn ceiling_s() -> u64 {
    Lifetimes::default().ceiling / 1000
}

fn stale_s() -> u64 {
    Lifetimes::default().stale / 1000
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct DoubtFile {
    share: f64,
    confirm: u64,
    hold_s: u64,
}

impl Default for DoubtFile {
    fn default() -> Self {
        let ShrinkGuard { share, confirm, hold_ms } = ShrinkGuard::default();
        DoubtFile { share, confirm, hold_s: hold_ms / 1000 }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LikeFile {
    zone: String,
    kind: String,
    #[serde(default)]
    cell: u16,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RumoursFile {
    trust_s: u64,
    share: f64,
    tells: u32,
}

impl Default for RumoursFile {
    fn default() -> Self {
        let gossip::Settings { trust_ms, max_share: share, sends: tells } = gossip::Settings::default();
        RumoursFile { trust_s: trust_ms / 1000, share, tells }
    }
}

fn check_range(name: &str, value: f64, min: f64, max: f64) -> Result<(), String> {
    let in_range = (min..=max).contains(&value);
    if in_range { Ok(()) } else { Err(format!("{name}: {value} is not between {min} and {max}")) }
}

fn parse_all<T: std::str::FromStr>(name: &str, texts: &[String], expected: &str) -> Result<Vec<T>, String> {
    let parse_one = |t: &String| t.parse().map_err(|_| format!("{name}: {t:?} is not a valid {expected}"));
    texts.iter().map(parse_one).collect()
}

/// Parses the text of the file for the deployment described by `site`.
///
/// # Errors
///
/// A one-line message that names what is missing, invalid, out of range, or unknown to this deployment.
pub fn parse(text: &[u8], site: &Site) -> Result<Sources, String> {
    let file: File = serde_json::from_slice(text).map_err(|e| format!("unreadable: {e}"))?;
    check_range("gone_s", file.gone_s as f64, 1.0, 86_400.0)?;
    let doubt = file.doubt;
    check_range("doubt.share", doubt.share, 0.0, 1.0)?;
    check_range("doubt.confirm", doubt.confirm as f64, 1.0, 100.0)?;
    check_range("doubt.hold_s", doubt.hold_s as f64, 1.0, 86_400.0)?;
    let fixed: Vec<SocketAddr> = parse_all("fixed", &file.fixed, "ADDRESS:PORT")?;
    let dns = file.dns.map(|dns| resolver_settings(dns, site)).transpose()?;
    let like = match file.like {
        Some(like) => server_template(like, site)?,
        None if dns.is_none() && fixed.is_empty() => ServerTemplate::default(),
        None => {
            return Err(
                "like: required with `dns` or `fixed`: the zone and kind of servers that the list lacks"
                    .into(),
            );
        }
    };
    let gossip = match file.rumours {
        Some(RumoursFile { trust_s, share, tells }) => {
            check_range("rumours.trust_s", trust_s as f64, 1.0, 3_600.0)?;
            check_range("rumours.share", share, 0.0, 0.5)?;
            check_range("rumours.tells", f64::from(tells), 1.0, 10.0)?;
            Some(gossip::Settings { trust_ms: trust_s * 1000, max_share: share, sends: tells })
        }
        None => None,
    };
    let origin = site.policy.origin_kind.and_then(|kind| site.kinds.get(usize::from(kind)).cloned());
    let membership = Settings {
        tombstone_ms: file.gone_s * 1000,
        shrink_guard: ShrinkGuard {
            share: doubt.share,
            confirm: doubt.confirm,
            hold_ms: doubt.hold_s * 1000,
        },
        gossip,
        template: like,
        origin,
        fixed,
    };
    Ok(Sources { membership, dns })
}

/// Returns the sources of a sidecar whose `pool` names cache servers to use whether or not the list contains
/// them; `None` if the pool is empty.
///
/// # Errors
///
/// A one-line message if a server is not an ADDRESS:PORT, or if the settings have no zone or machine type.
pub fn sidecar_pool(servers: &[String], site: &Site) -> Result<Option<Sources>, String> {
    if servers.is_empty() {
        return Ok(None);
    }
    let fixed: Vec<SocketAddr> = parse_all("sidecar.pool", servers, "ADDRESS:PORT")?;
    let first_of = |names: &[String], expected: &str| {
        names
            .first()
            .cloned()
            .ok_or_else(|| format!("sidecar.pool: the settings define no {expected} for its servers"))
    };
    let like = LikeFile {
        zone: first_of(&site.zones, "zone")?,
        kind: first_of(&site.kinds, "machine type")?,
        cell: 0,
    };
    let like = server_template(like, site)?;
    let origin = site.policy.origin_kind.and_then(|kind| site.kinds.get(usize::from(kind)).cloned());
    Ok(Some(Sources {
        membership: Settings { template: like, origin, fixed, ..Settings::default() },
        dns: None,
    }))
}

fn server_template(like: LikeFile, site: &Site) -> Result<ServerTemplate, String> {
    let LikeFile { zone, kind, cell } = like;
    if !site.zones.contains(&zone) {
        return Err(format!(
            "like.zone: {zone:?} is not one of the zones of the settings ({})",
            site.zones.join(", ")
        ));
    }
    let Some(index) = site.kinds.iter().position(|k| *k == kind) else {
        let kinds = site.kinds.join(", ");
        return Err(format!("like.kind: {kind:?} is not one of the machine types of the settings ({kinds})"));
    };
    if site.policy.origin_kind.map(usize::from) == Some(index) {
        return Err(format!(
            "like.kind: {kind:?} is the origin's; servers found by DNS would be treated as the origin"
        ));
    }
    Ok(ServerTemplate { locality: zone, flavor: kind, cell })
}

fn resolver_settings(dns: DnsFile, site: &Site) -> Result<mothpier_names::Settings, String> {
    check_range("dns.tier_per_s", dns.tier_per_s, 0.1, 10_000.0)?;
    check_range("dns.burst", dns.burst, 1.0, 1_000.0)?;
    check_range("dns.wait_ms", dns.wait_ms as f64, 10.0, 10_000.0)?;
    check_range("dns.floor_s", dns.floor_s as f64, 1.0, 3_600.0)?;
    check_range("dns.ceiling_s", dns.ceiling_s as f64, dns.floor_s as f64, 86_400.0)?;
    check_range("dns.stale_s", dns.stale_s as f64, 0.0, 7.0 * 86_400.0)?;
    let service = Name::from_ascii(&dns.service).map(|mut name| {
        name.set_fqdn(true);
        name
    });
    let service = service.map_err(|e| format!("dns.service: {:?} is not a domain name: {e}", dns.service))?;
    let networks: Vec<IpNet> = parse_all("dns.networks", &dns.networks, "NETWORK/BITS")?;
    let settings = mothpier_names::Settings {
        service,
        servers: parse_all("dns.servers", &dns.servers, "ADDRESS:PORT")?,
        nodes: site.policy.balancers as usize,
        tier_per_s: dns.tier_per_s,
        burst: dns.burst,
        lifetimes: Lifetimes {
            floor: dns.floor_s * 1000,
            ceiling: dns.ceiling_s * 1000,
            stale: dns.stale_s * 1000,
            ..Lifetimes::default()
        },
        timeout_ms: dns.wait_ms,
        ipv6: dns.ipv6,
        networks,
    };
    // Rejects settings that the resolver cannot use now, rather than when it starts.
    Resolver::new(settings.clone(), [0; 32], 0).map_err(|e| format!("dns: {e}"))?;
    Ok(settings)
}

#[cfg(test)]
mod tests;
