use super::*;

const GOOD: &str = r#"
cluster = "manila"
member  = 2
listen  = "127.0.0.1:7102"
folder  = "/var/lib/mothpier"
peer "1" { address = "127.0.0.1:7101" }
peer "2" { address = "127.0.0.1:7102" }
peer "3" { address = "127.0.0.1:7103" }
"#;

#[test]
fn a_file_is_read_and_all_that_is_wrong_with_one_is_told_at_once() {
    let config = parse(GOOD).unwrap();
    assert_eq!((config.member, config.members.len(), config.tick), (2, 3, TICK));
    let bad = GOOD.replace("member  = 2", "member = 9\ncolour = 1").replace("7103", "7101");
    let wrong = parse(&bad).unwrap_err();
    for part in ["member: no `peer`", "colour: not known", "the same address"] {
        assert!(wrong.contains(part), "{wrong}");
    }
    assert!(parse("cluster = ").unwrap_err().starts_with("not HCL"));
    assert!(parse("").unwrap_err().contains("folder: missing"));
    assert!(parse(&GOOD.replace("cluster", "tick_ms = 1\ncluster")).unwrap_err().contains("10 to 5000"));
}
