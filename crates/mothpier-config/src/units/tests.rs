use super::*;

#[test]
fn times_and_sizes_need_their_units_and_come_back_as_they_are_shown() {
    assert_eq!(time("750ms"), Ok(Duration::from_millis(750)));
    assert_eq!(time("1.5s"), Ok(Duration::from_millis(1_500)));
    assert_eq!(size("64 MiB"), Ok(64 << 20));
    assert_eq!(size("64MB"), Ok(64_000_000));
    for bad in ["750", "", "ms", "1.5 parsecs"] {
        assert!(matches!(time(bad), Err(Wrong::Unit(_))), "{bad}");
    }
    for bad in ["64", "MB", "64 blocks", "NaN MB"] {
        assert!(matches!(size(bad), Err(Wrong::Unit(_))), "{bad}");
    }
    assert!(matches!(time("-5ms"), Err(Wrong::Range(_))));
    assert!(matches!(time("99999999999999999999999s"), Err(Wrong::Range(_))));
    assert!(matches!(size("-1 MB"), Err(Wrong::Range(_))));
    for shown in ["750ms", "21s", "5us", "1s"] {
        assert_eq!(show_time(time(shown).unwrap()), shown);
    }
    for shown in ["64 MiB", "3 KiB", "5 B"] {
        assert_eq!(show_size(size(shown).unwrap()), shown);
    }
}
