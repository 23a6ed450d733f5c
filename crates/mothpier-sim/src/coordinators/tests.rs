use super::*;

#[test]
fn equal_seeds_give_equal_traces_and_a_world_does_something() {
    let (one, again, other) = (play(3, None), play(3, None), play(4, None));
    assert_eq!(one.trace, again.trace);
    assert_ne!(one.trace, other.trace);
    assert!(one.broken.is_empty() && one.grants > 2 && one.crashes > 0 && one.elections > 1, "{one:?}");
}
