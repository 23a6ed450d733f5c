use super::*;

#[test]
fn parts_of_the_times_lie_within_a_twentieth() {
    let mut times = Times::default();
    assert_eq!(times.part(0.5), 0.0);
    (1..=1000).for_each(|ms| times.add(Duration::from_millis(ms)));
    for (part, ms) in [(0.5, 500.0), (0.99, 990.0), (1.0, 1000.0)] {
        assert!((times.part(part) / ms - 1.0).abs() < 0.06, "{part}: {}", times.part(part));
    }
}
