//! The file that switches further sources of boxes on: DNS, a fixed set, word of mouth.

use std::net::SocketAddr;

use brassrouter::settings::Site;
use ipnet::IpNet;
use mothpier_membership::names::Doubt;
use mothpier_membership::{Like, Settings, rumour};
use mothpier_names::{Lifetimes, Name, Resolver};
use serde::Deserialize;

/// Descriptors that questions to DNS take at the most: those out, and as many that are forgotten and end by themselves.
pub const DESCRIPTORS: usize = 2 * mothpier_names::MOST_OUT;

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
        let Doubt { share, confirm, hold_ms } = Doubt::default();
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
        let rumour::Settings { trust_ms, share, tells } = rumour::Settings::default();
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
        None if dns.is_none() && fixed.is_empty() => Like::default(),
        None => {
            return Err("like: say which zone and kind a box has that only DNS or the fixed set names".into());
        }
    };
    let rumours = match file.rumours {
        Some(RumoursFile { trust_s, share, tells }) => {
            within("rumours.trust_s", trust_s as f64, 1.0, 3_600.0)?;
            within("rumours.share", share, 0.0, 0.5)?;
            within("rumours.tells", f64::from(tells), 1.0, 10.0)?;
            Some(rumour::Settings { trust_ms: trust_s * 1000, share, tells })
        }
        None => None,
    };
    let origin = site.decisions.origin_kind.and_then(|kind| site.kinds.get(usize::from(kind)).cloned());
    let membership = Settings {
        gone_ms: file.gone_s * 1000,
        doubt: Doubt { share: doubt.share, confirm: doubt.confirm, hold_ms: doubt.hold_s * 1000 },
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
    let origin = site.decisions.origin_kind.and_then(|kind| site.kinds.get(usize::from(kind)).cloned());
    Ok(Some(Sources { membership: Settings { like, origin, fixed, ..Settings::default() }, dns: None }))
}

fn taken_for(like: LikeFile, site: &Site) -> Result<Like, String> {
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
    if site.decisions.origin_kind.map(usize::from) == Some(place) {
        return Err(format!(
            "like.kind: {kind:?} is the origin's; boxes that DNS names would be taken for it"
        ));
    }
    Ok(Like { locality: zone, flavor: kind, cell })
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
        nodes: site.decisions.balancers as usize,
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
mod tests {
    use super::*;

    const SITE: &str = r#"{"balancers":4,"classes":[{"name":"read"}],"machineTypes":["m","origin"],"zones":["a"],
        "specifics":{"mode":"aside","originKind":1}}"#;

    #[test]
    fn a_file_of_sources_is_read_whole_or_refused_by_name() {
        let site = brassrouter::settings::read(SITE.as_bytes()).unwrap();
        let read = |text: &str| parse(text.as_bytes(), &site);
        let none = read("{}").unwrap();
        assert_eq!(none.dns, None);
        assert_eq!(none.membership, Settings { origin: Some("origin".into()), ..Settings::default() });
        let rumours = parse(include_bytes!("../../../../deploy/rumours.json"), &site).unwrap();
        assert!(rumours.dns.is_none() && rumours.membership.rumours.is_some());
        let deployed = include_bytes!("../../../../deploy/sources.json");
        let whole = brassrouter::settings::read(SITE.replace("\"m\"", "\"full-box\"").as_bytes()).unwrap();
        let set = parse(deployed, &whole).unwrap();
        let dns = set.dns.unwrap();
        assert_eq!((dns.nodes, dns.service.to_string()), (4, "_profile._tcp.makati.example.org.".to_owned()));
        assert!(set.membership.rumours.is_some() && set.membership.like.flavor == "full-box");
        let dns = |more: &str| {
            format!(
                r#"{{"like":{{"zone":"a","kind":"m"}},"dns":{{"service":"_p._tcp.x","servers":["10.0.0.1:53"]{more}}}}}"#
            )
        };
        assert!(read(&dns("")).is_ok());
        for (text, error) in [
            (dns(r#","wait_ms":1"#), "dns.wait_ms: 1 is not from 10 to 10000"),
            (dns(r#","floor_s":60,"ceiling_s":9"#), "dns.ceiling_s: 9 is not from 60 to 86400"),
            (dns(r#","tier_per_s":0"#), "dns.tier_per_s: 0 is not from 0.1"),
            (dns(r#","networks":["10.0.0.0"]"#), r#"dns.networks: "10.0.0.0" is no NETWORK/BITS"#),
            (dns(r#","server":"x""#), "unknown field `server`"),
            (dns("").replace("10.0.0.1:53", "10.0.0.1"), r#"dns.servers: "10.0.0.1" is no ADDRESS:PORT"#),
            (dns("").replace("10.0.0.1:53", "0.0.0.0:53"), "dns: 0.0.0.0:53 is no address that can be asked"),
            (dns("").replace("_p._tcp.x", "a..b"), r#"dns.service: "a..b" is no name"#),
            (
                dns("").replace(r#""kind":"m""#, r#""kind":"origin""#),
                r#"like.kind: "origin" is the origin's"#,
            ),
            (
                dns("").replace(r#""kind":"m""#, r#""kind":"n""#),
                r#"like.kind: "n" is none of the machine types of the settings (m, origin)"#,
            ),
            (
                dns("").replace(r#""zone":"a""#, r#""zone":"b""#),
                r#"like.zone: "b" is none of the zones of the settings (a)"#,
            ),
            (r#"{"fixed":["10.0.0.1:6379"]}"#.into(), "like: say which zone and kind"),
            (r#"{"fixed":["pb1:6379"]}"#.into(), r#"fixed: "pb1:6379" is no ADDRESS:PORT"#),
            (r#"{"gone_s":0}"#.into(), "gone_s: 0 is not from 1 to 86400"),
            (r#"{"doubt":{"share":1.5}}"#.into(), "doubt.share: 1.5 is not from 0 to 1"),
            (r#"{"doubt":{"confirm":0}}"#.into(), "doubt.confirm: 0 is not from 1"),
            (r#"{"rumours":{"share":0.9}}"#.into(), "rumours.share: 0.9 is not from 0 to 0.5"),
            (r#"{"rumours":{"trust_s":0}}"#.into(), "rumours.trust_s: 0 is not from 1"),
            ("dns = 1".into(), "unreadable: "),
        ] {
            let said = read(&text).unwrap_err();
            assert!(said.contains(error), "{text}: {said}");
        }
    }
}
