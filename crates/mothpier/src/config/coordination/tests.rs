use super::*;

#[test]
fn a_file_is_read_whole_or_refused_by_name() {
    let good = "cluster = \"manila\"\ncoordinators = [\"10.0.0.1:7100\", \"10.0.0.2:7100\"]";
    let read = parse(good.as_bytes()).unwrap();
    assert_eq!((read.cluster.as_str(), read.coordinators.len(), read.fleet), ("manila", 2, None));
    let with = |block: &str| format!("{good}\n{block}");
    let fleet = parse(with("fleet { zone = \"a\" }").as_bytes()).unwrap().fleet.unwrap();
    assert_eq!((fleet.zone.as_str(), fleet.ttl, fleet.start_alone), ("a", TTL, START_ALONE));
    let (one, two) = (with("fleet {\n ttl = \"9ms\"\n}"), with("fleet {\n start_alone = 3\n}"));
    let (three, four) = (with("fleet {\n hue = \"x\"\n}"), with("fleet {}\nfleet {}"));
    for (text, error) in [
        ("cluster = \"m\"", "coordinators: missing"),
        ("coordinators = [\"10.0.0.1:7100\"]", "cluster: missing"),
        ("coordinators = [\"here\"]", "\"here\" is no address"),
        ("coordinators = [7100]", "texts are wanted"),
        ("cluster = 7", "a text is wanted"),
        ("colour = 7", "colour: not known here"),
        (&one, "fleet.ttl: it lies between"),
        (&two, "fleet.start_alone: a text is wanted"),
        (&three, "fleet.hue: not known here"),
        (&four, "fleet: no such block, or twice"),
        ("cluster", "unreadable"),
    ] {
        let said = parse(text.as_bytes()).unwrap_err();
        assert!(said.contains(error), "{text}: {said}");
    }
}
