use super::*;

#[test]
fn a_file_of_boxes_is_read_whole_or_refused_by_name() {
    let read = |text: &str| parse_boxes(text.as_bytes());
    assert_eq!(read(r#"{"dialect":"plain"}"#), Ok(None));
    let default = read(r#"{"dialect":"cluster"}"#).unwrap().unwrap();
    assert_eq!(default.budget, RefreshBudget::default());
    assert!(!default.read_copies && default.wait == Duration::from_millis(500));
    let set = r#"{"dialect":"cluster","read_copies":true,"refresh":{"ask":1,"tier_per_s":0.5,"wait_ms":50,"calm_s":9}}"#;
    let set = read(set).unwrap().unwrap();
    assert_eq!((set.budget.ask, set.budget.calm, set.budget.tier_per_s), (1, 9_000, 0.5));
    assert!(set.read_copies && set.wait == Duration::from_millis(50));
    for (text, error) in [
        (r#"{"dialect":"clustered"}"#, r#"dialect: "clustered" is neither "plain" nor "cluster""#),
        (r#"{"dialect":"cluster","refresh":{"ask":0}}"#, "refresh.ask: 0 is not from 1 to 9"),
        (r#"{"dialect":"cluster","refresh":{"tier_per_s":0}}"#, "refresh.tier_per_s: 0 is not from 0.1"),
        (r#"{"dialect":"cluster","refresh":{"wait_ms":99999}}"#, "refresh.wait_ms: 99999 is not"),
        (r#"{"dialect":"cluster","refresh":{"calm_s":0}}"#, "refresh.calm_s: 0 is not"),
        (r#"{"dialect":"cluster","copies":true}"#, "unknown field `copies`"),
        (r#"{"read_copies":true}"#, "missing field `dialect`"),
        ("dialect = cluster", "unreadable: "),
    ] {
        let said = read(text).unwrap_err();
        assert!(said.contains(error), "{text}: {said}");
    }
}
