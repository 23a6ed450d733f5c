use super::*;

const SITE: &str = r#"{"balancers":4,"classes":[{"name":"read"}],"machineTypes":["m","origin"],"zones":["a"],
    "specifics":{"mode":"aside","originKind":1}}"#;

#[test]
fn sources_file_is_parsed_or_rejected_naming_the_invalid_key() {
    let site = brassrouter::settings::read(SITE.as_bytes()).unwrap();
    let parse_sources = |text: &str| parse(text.as_bytes(), &site);
    let none = parse_sources("{}").unwrap();
    assert_eq!(none.dns, None);
    assert_eq!(none.membership, Settings { origin: Some("origin".into()), ..Settings::default() });
    let rumours = parse(include_bytes!("../../../../../deploy/rumours.json"), &site).unwrap();
    assert!(rumours.dns.is_none() && rumours.membership.gossip.is_some());
    let deployed = include_bytes!("../../../../../deploy/sources.json");
    let full_box_site =
        brassrouter::settings::read(SITE.replace("\"m\"", "\"full-box\"").as_bytes()).unwrap();
    let sources = parse(deployed, &full_box_site).unwrap();
    let dns = sources.dns.unwrap();
    assert_eq!((dns.nodes, dns.service.to_string()), (4, "_profile._tcp.makati.example.org.".to_owned()));
    assert!(sources.membership.gossip.is_some() && sources.membership.template.flavor == "full-box");
    let dns = |more: &str| {
        format!(
            r#"{{"like":{{"zone":"a","kind":"m"}},"dns":{{"service":"_p._tcp.x","servers":["10.0.0.1:53"]{more}}}}}"#
        )
    };
    assert!(parse_sources(&dns("")).is_ok());
    for (text, expected) in [
        (dns(r#","wait_ms":1"#), "dns.wait_ms: 1 is not between 10 and 10000"),
        (dns(r#","floor_s":60,"ceiling_s":9"#), "dns.ceiling_s: 9 is not between 60 and 86400"),
        (dns(r#","tier_per_s":0"#), "dns.tier_per_s: 0 is not between 0.1"),
        (dns(r#","networks":["10.0.0.0"]"#), r#"dns.networks: "10.0.0.0" is not a valid NETWORK/BITS"#),
        (dns(r#","server":"x""#), "unknown field `server`"),
        (
            dns("").replace("10.0.0.1:53", "10.0.0.1"),
            r#"dns.servers: "10.0.0.1" is not a valid ADDRESS:PORT"#,
        ),
        (dns("").replace("10.0.0.1:53", "0.0.0.0:53"), "dns: 0.0.0.0:53 is no address that can be asked"),
        (dns("").replace("_p._tcp.x", "a..b"), r#"dns.service: "a..b" is not a domain name"#),
        (dns("").replace(r#""kind":"m""#, r#""kind":"origin""#), r#"like.kind: "origin" is the origin's"#),
        (
            dns("").replace(r#""kind":"m""#, r#""kind":"n""#),
            r#"like.kind: "n" is not one of the machine types of the settings (m, origin)"#,
        ),
        (
            dns("").replace(r#""zone":"a""#, r#""zone":"b""#),
            r#"like.zone: "b" is not one of the zones of the settings (a)"#,
        ),
        (r#"{"fixed":["10.0.0.1:6379"]}"#.into(), "like: required with `dns` or `fixed`: the zone and kind"),
        (r#"{"fixed":["pb1:6379"]}"#.into(), r#"fixed: "pb1:6379" is not a valid ADDRESS:PORT"#),
        (r#"{"gone_s":0}"#.into(), "gone_s: 0 is not between 1 and 86400"),
        (r#"{"doubt":{"share":1.5}}"#.into(), "doubt.share: 1.5 is not between 0 and 1"),
        (r#"{"doubt":{"confirm":0}}"#.into(), "doubt.confirm: 0 is not between 1"),
        (r#"{"rumours":{"share":0.9}}"#.into(), "rumours.share: 0.9 is not between 0 and 0.5"),
        (r#"{"rumours":{"trust_s":0}}"#.into(), "rumours.trust_s: 0 is not between 1"),
        ("dns = 1".into(), "unreadable: "),
    ] {
        let error = parse_sources(&text).unwrap_err();
        assert!(error.contains(expected), "{text}: {error}");
    }
}
