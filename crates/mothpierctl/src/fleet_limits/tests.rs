use super::*;

#[test]
fn what_is_written_is_read_again_and_what_is_wrong_is_named() {
    let mut limits = Limits::default();
    assert_eq!(parse(&text(&limits)), Ok(limits.clone()));
    limits.nodes.out_percent = Some(10);
    limits.servers.zone_out_most = Some(2);
    (limits.refused_percent, limits.calm_ms) = (Some(20), Some(300_000));
    assert_eq!(parse(&text(&limits)), Ok(limits));
    let nodes = "nodes {\n out_most = 1\n}\n";
    let servers = "servers {\n out_most = 1\n cold_most = 1\n cold_for = \"60s\"\n}\n";
    assert!(parse(&(nodes.to_owned() + servers)).is_ok());
    for (text, says) in [
        (nodes.to_owned(), "servers: missing"),
        (servers.to_owned(), "nodes: missing"),
        (nodes.to_owned() + nodes + servers, "nodes: not known here, or twice"),
        (nodes.replace("out_most", "out_least") + servers, "nodes.out_most: missing"),
        (nodes.replace('1', "1.5") + servers, "nodes.out_most: a whole number"),
        (nodes.replace('1', "true") + servers, "nodes.out_most: a number, or a time"),
        (nodes.to_owned() + &servers.replace("60s", "soon"), "servers.cold_for:"),
        (nodes.to_owned() + &servers.replace("\"60s\"", "60"), "servers.cold_for: missing"),
        (nodes.to_owned() + &servers.replace("cold_most = 1", "cold_most = 0"), "nothing could come back"),
        (nodes.to_owned() + servers + "halt {\n refused_percent = 101\n}", "over 100 percent"),
        (nodes.to_owned() + servers + "halt {\n hue = 1\n}", "halt.hue: not known"),
        ("colour = 1".into(), "only the blocks"),
        ("nodes {".into(), "unreadable"),
    ] {
        let said = parse(&text).unwrap_err();
        assert!(said.contains(says), "{text}: {said}");
    }
}
