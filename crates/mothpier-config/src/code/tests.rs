use super::*;

#[test]
fn codes_are_in_order_and_each_stands_once() {
    assert!(ALL.windows(2).all(|w| w[0].name() < w[1].name()));
    assert!(ALL.iter().all(|c| Code::named(c.name()) == Some(*c)));
    assert_eq!(Code::named("mp0201"), Some(UNSAFE_REPEATED));
    assert_eq!(Code::named("MP9999"), None);
}
