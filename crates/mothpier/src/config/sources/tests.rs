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
    let rumours = parse(include_bytes!("../../../../../deploy/rumours.json"), &site).unwrap();
    assert!(rumours.dns.is_none() && rumours.membership.rumours.is_some());
    let deployed = include_bytes!("../../../../../deploy/sources.json");
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
        (dns("").replace(r#""kind":"m""#, r#""kind":"origin""#), r#"like.kind: "origin" is the origin's"#),
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
