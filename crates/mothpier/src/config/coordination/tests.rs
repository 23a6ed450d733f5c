use super::*;

#[test]
fn coordination_file_is_parsed_or_rejected_naming_the_invalid_key() {
    let valid = "cluster = \"manila\"\ncoordinators = [\"10.0.0.1:7100\", \"10.0.0.2:7100\"]";
    let parsed = parse(valid.as_bytes()).unwrap();
    assert_eq!((parsed.cluster.as_str(), parsed.coordinators.len(), parsed.fleet), ("manila", 2, None));
    let with_block = |block: &str| format!("{valid}\n{block}");
    let fleet = parse(with_block("fleet { zone = \"a\" }").as_bytes()).unwrap().fleet.unwrap();
    assert_eq!((fleet.zone.as_str(), fleet.ttl, fleet.start_alone), ("a", DEFAULT_TTL, DEFAULT_START_ALONE));
    let (invalid_ttl, invalid_start_alone) =
        (with_block("fleet {\n ttl = \"9ms\"\n}"), with_block("fleet {\n start_alone = 3\n}"));
    let (unknown_key, duplicate_block) =
        (with_block("fleet {\n hue = \"x\"\n}"), with_block("fleet {}\nfleet {}"));
    for (text, expected) in [
        ("cluster = \"m\"", "coordinators: missing"),
        ("coordinators = [\"10.0.0.1:7100\"]", "cluster: missing"),
        ("coordinators = [\"here\"]", "\"here\" is not an address"),
        ("coordinators = [7100]", "expected strings such as"),
        ("cluster = 7", "expected a string"),
        ("colour = 7", "colour: unknown key"),
        (&invalid_ttl, "fleet.ttl: must be between"),
        (&invalid_start_alone, "fleet.start_alone: expected a string"),
        (&unknown_key, "fleet.hue: unknown key"),
        (&duplicate_block, "fleet: unknown or duplicate block"),
        ("cluster", "unreadable"),
    ] {
        let error = parse(text.as_bytes()).unwrap_err();
        assert!(error.contains(expected), "{text}: {error}");
    }
}
