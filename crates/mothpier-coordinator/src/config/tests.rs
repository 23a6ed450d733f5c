use super::*;

const VALID: &str = r#"
cluster = "manila"
member  = 2
listen  = "127.0.0.1:7102"
folder  = "/var/lib/mothpier"
peer "1" { address = "127.0.0.1:7101" }
peer "2" { address = "127.0.0.1:7102" }
peer "3" { address = "127.0.0.1:7103" }
"#;

#[test]
fn a_file_is_parsed_and_all_its_errors_are_reported_together() {
    let config = parse(VALID).unwrap();
    assert_eq!((config.member, config.members.len(), config.tick), (2, 3, DEFAULT_TICK));
    let invalid = VALID.replace("member  = 2", "member = 9\ncolour = 1").replace("7103", "7101");
    let errors = parse(&invalid).unwrap_err();
    for message in ["member: no `peer`", "colour: unknown setting", "the same address"] {
        assert!(errors.contains(message), "{errors}");
    }
    assert!(parse("cluster = ").unwrap_err().starts_with("not HCL"));
    assert!(parse("").unwrap_err().contains("folder: missing"));
    assert!(parse(&VALID.replace("cluster", "tick_ms = 1\ncluster")).unwrap_err().contains("10 to 5000"));
}
