use super::*;

#[test]
fn durations_and_sizes_need_units_and_survive_formatting_and_parsing() {
    assert_eq!(parse_duration("750ms"), Ok(Duration::from_millis(750)));
    assert_eq!(parse_duration("1.5s"), Ok(Duration::from_millis(1_500)));
    assert_eq!(parse_size("64 MiB"), Ok(64 << 20));
    assert_eq!(parse_size("64MB"), Ok(64_000_000));
    for bad in ["750", "", "ms", "1.5 parsecs"] {
        assert!(matches!(parse_duration(bad), Err(UnitError::Unit(_))), "{bad}");
    }
    for bad in ["64", "MB", "64 blocks", "NaN MB"] {
        assert!(matches!(parse_size(bad), Err(UnitError::Unit(_))), "{bad}");
    }
    assert!(matches!(parse_duration("-5ms"), Err(UnitError::Range(_))));
    assert!(matches!(parse_duration("99999999999999999999999s"), Err(UnitError::Range(_))));
    assert!(matches!(parse_size("-1 MB"), Err(UnitError::Range(_))));
    for shown in ["750ms", "21s", "5us", "1s"] {
        assert_eq!(format_duration(parse_duration(shown).unwrap()), shown);
    }
    for shown in ["64 MiB", "3 KiB", "5 B"] {
        assert_eq!(format_size(parse_size(shown).unwrap()), shown);
    }
}
