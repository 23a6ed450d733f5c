use super::*;

#[test]
fn server_pool_file_is_parsed_or_rejected_naming_the_invalid_key() {
    let read = |text: &str| parse_server_pool(text.as_bytes());
    assert_eq!(read(r#"{"dialect":"plain"}"#), Ok(None));
    let default = read(r#"{"dialect":"cluster"}"#).unwrap().unwrap();
    assert_eq!(default.budget, RefreshBudget::default());
    assert!(!default.read_copies && default.wait == Duration::from_millis(500));
    let custom = r#"{"dialect":"cluster","read_copies":true,"refresh":{"ask":1,"tier_per_s":0.5,"wait_ms":50,"calm_s":9}}"#;
    let custom = read(custom).unwrap().unwrap();
    assert_eq!(
        (custom.budget.servers_per_round, custom.budget.idle_interval_ms, custom.budget.tier_per_s),
        (1, 9_000, 0.5)
    );
    assert!(custom.read_copies && custom.wait == Duration::from_millis(50));
    for (text, expected) in [
        (r#"{"dialect":"clustered"}"#, r#"dialect: "clustered" is neither "plain" nor "cluster""#),
        (r#"{"dialect":"cluster","refresh":{"ask":0}}"#, "refresh.ask: 0 is not between 1 and 9"),
        (r#"{"dialect":"cluster","refresh":{"tier_per_s":0}}"#, "refresh.tier_per_s: 0 is not between 0.1"),
        (r#"{"dialect":"cluster","refresh":{"wait_ms":99999}}"#, "refresh.wait_ms: 99999 is not"),
        (r#"{"dialect":"cluster","refresh":{"calm_s":0}}"#, "refresh.calm_s: 0 is not"),
        (r#"{"dialect":"cluster","copies":true}"#, "unknown field `copies`"),
        (r#"{"read_copies":true}"#, "missing field `dialect`"),
        ("dialect = cluster", "unreadable: "),
    ] {
        let error = read(text).unwrap_err();
        assert!(error.contains(expected), "{text}: {error}");
    }
}
