use super::*;

#[test]
fn lifetimes_stay_within_their_bounds() {
    let lifetimes = Lifetimes { floor: 2_000, ceiling: 60_000, negative_ceiling: 10_000, stale: 1 };
    for (seconds, expected) in
        [(0, 2_000), (1, 2_000), (2, 2_000), (30, 30_000), (61, 60_000), (1 << 31, 2_000), (u32::MAX, 2_000)]
    {
        assert_eq!(lifetimes.answer_lifetime(seconds), expected, "{seconds}");
    }
    assert_eq!(lifetimes.negative_lifetime(None), 2_000);
    assert_eq!(lifetimes.negative_lifetime(Some((5, 900))), 5_000);
    assert_eq!(lifetimes.negative_lifetime(Some((900, 4))), 4_000);
    assert_eq!(lifetimes.negative_lifetime(Some((900, 900))), 10_000);
    assert_eq!((lifetimes.refresh_at(100, 1_000, 0.0), lifetimes.refresh_at(100, 1_000, 1.0)), (800, 1_000));
}
