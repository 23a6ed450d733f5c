//! The file that switches further sources of boxes on: DNS, a fixed set, word of mouth.

use std::net::SocketAddr;

use brassrouter::settings::Site;
use ipnet::IpNet;
use mothpier_membership::dns_servers::ShrinkGuard;
use mothpier_membership::{ServerTemplate, Settings, gossip};
use mothpier_names::{Lifetimes, Name, Resolver};
use serde::Deserialize;

/// Descriptors that questions to DNS take at the most: those out, and as many that are forgotten and end by themselves.
pub const DESCRIPTORS: usize = 2 * mothpier_names::MAX_OUTSTANDING;

/// Further sources of boxes.
#[derive(Clone, Debug, PartialEq)]
pub struct Sources {
    /// How they become one view.
    pub membership: Settings,
    /// What is asked of DNS.
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
    Settings::default().gone_ms / 1000
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
        let gossip::Settings { trust_ms, share, tells } = gossip::Settings::default();
        RumoursFile { trust_s: trust_ms / 1000, share, tells }
    }
}

fn within(name: &str, value: f64, least: f64, most: f64) -> Result<(), String> {
    let good = (least..=most).contains(&value);
    if good { Ok(()) } else { Err(format!("{name}: {value} is not from {least} to {most}")) }
}

fn each<T: std::str::FromStr>(name: &str, texts: &[String], what: &str) -> Result<Vec<T>, String> {
    let one = |t: &String| t.parse().map_err(|_| format!("{name}: {t:?} is no {what}"));
    texts.iter().map(one).collect()
}

/// Reads the file, for a deployment.
///
/// # Errors
///
/// One plain line that names what is missing, unreadable, out of bounds, or not of this deployment.
pub fn parse(text: &[u8], site: &Site) -> Result<Sources, String> {
    let file: File = serde_json::from_slice(text).map_err(|e| format!("unreadable: {e}"))?;
    within("gone_s", file.gone_s as f64, 1.0, 86_400.0)?;
    let doubt = file.doubt;
    within("doubt.share", doubt.share, 0.0, 1.0)?;
    within("doubt.confirm", doubt.confirm as f64, 1.0, 100.0)?;
    within("doubt.hold_s", doubt.hold_s as f64, 1.0, 86_400.0)?;
    let fixed: Vec<SocketAddr> = each("fixed", &file.fixed, "ADDRESS:PORT")?;
    let dns = file.dns.map(|dns| resolver(dns, site)).transpose()?;
    let like = match file.like {
        Some(like) => taken_for(like, site)?,
        None if dns.is_none() && fixed.is_empty() => ServerTemplate::default(),
        None => {
            return Err("like: say which zone and kind a box has that only DNS or the fixed set names".into());
        }
    };
    let rumours = match file.rumours {
        Some(RumoursFile { trust_s, share, tells }) => {
            within("rumours.trust_s", trust_s as f64, 1.0, 3_600.0)?;
            within("rumours.share", share, 0.0, 0.5)?;
            within("rumours.tells", f64::from(tells), 1.0, 10.0)?;
            Some(gossip::Settings { trust_ms: trust_s * 1000, share, tells })
        }
        None => None,
    };
    let origin = site.policy.origin_kind.and_then(|kind| site.kinds.get(usize::from(kind)).cloned());
    let membership = Settings {
        gone_ms: file.gone_s * 1000,
        doubt: ShrinkGuard { share: doubt.share, confirm: doubt.confirm, hold_ms: doubt.hold_s * 1000 },
        rumours,
        like,
        origin,
        fixed,
    };
    Ok(Sources { membership, dns })
}

/// The sources of a sidecar whose file names boxes that are used whatever the list says.
///
/// # Errors
///
/// A box that is no ADDRESS:PORT, or settings that name no zone or kind that it could be of.
pub fn pool(boxes: &[String], site: &Site) -> Result<Option<Sources>, String> {
    if boxes.is_empty() {
        return Ok(None);
    }
    let fixed: Vec<SocketAddr> = each("sidecar.pool", boxes, "ADDRESS:PORT")?;
    let first = |names: &[String], what: &str| {
        names
            .first()
            .cloned()
            .ok_or_else(|| format!("sidecar.pool: the settings name no {what} for its boxes"))
    };
    let like =
        LikeFile { zone: first(&site.zones, "zone")?, kind: first(&site.kinds, "machine type")?, cell: 0 };
    let like = taken_for(like, site)?;
    let origin = site.policy.origin_kind.and_then(|kind| site.kinds.get(usize::from(kind)).cloned());
    Ok(Some(Sources { membership: Settings { like, origin, fixed, ..Settings::default() }, dns: None }))
}

fn taken_for(like: LikeFile, site: &Site) -> Result<ServerTemplate, String> {
    let LikeFile { zone, kind, cell } = like;
    if !site.zones.contains(&zone) {
        return Err(format!(
            "like.zone: {zone:?} is none of the zones of the settings ({})",
            site.zones.join(", ")
        ));
    }
    let Some(place) = site.kinds.iter().position(|k| *k == kind) else {
        let kinds = site.kinds.join(", ");
        return Err(format!("like.kind: {kind:?} is none of the machine types of the settings ({kinds})"));
    };
    if site.policy.origin_kind.map(usize::from) == Some(place) {
        return Err(format!(
            "like.kind: {kind:?} is the origin's; boxes that DNS names would be taken for it"
        ));
    }
    Ok(ServerTemplate { locality: zone, flavor: kind, cell })
}

fn resolver(dns: DnsFile, site: &Site) -> Result<mothpier_names::Settings, String> {
    within("dns.tier_per_s", dns.tier_per_s, 0.1, 10_000.0)?;
    within("dns.burst", dns.burst, 1.0, 1_000.0)?;
    within("dns.wait_ms", dns.wait_ms as f64, 10.0, 10_000.0)?;
    within("dns.floor_s", dns.floor_s as f64, 1.0, 3_600.0)?;
    within("dns.ceiling_s", dns.ceiling_s as f64, dns.floor_s as f64, 86_400.0)?;
    within("dns.stale_s", dns.stale_s as f64, 0.0, 7.0 * 86_400.0)?;
    let service = Name::from_ascii(&dns.service).map(|mut name| {
        name.set_fqdn(true);
        name
    });
    let service = service.map_err(|e| format!("dns.service: {:?} is no name: {e}", dns.service))?;
    let networks: Vec<IpNet> = each("dns.networks", &dns.networks, "NETWORK/BITS")?;
    let settings = mothpier_names::Settings {
        service,
        servers: each("dns.servers", &dns.servers, "ADDRESS:PORT")?,
        nodes: site.policy.balancers as usize,
        tier_per_s: dns.tier_per_s,
        burst: dns.burst,
        lifetimes: Lifetimes {
            floor: dns.floor_s * 1000,
            ceiling: dns.ceiling_s * 1000,
            stale: dns.stale_s * 1000,
            ..Lifetimes::default()
        },
        wait: dns.wait_ms,
        ipv6: dns.ipv6,
        networks,
    };
    // What no resolver can work with is said now and not once it runs.
    Resolver::new(settings.clone(), [0; 32], 0).map_err(|e| format!("dns: {e}"))?;
    Ok(settings)
}

#[cfg(test)]
mod tests;
