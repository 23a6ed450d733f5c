use super::*;

#[test]
fn codes_are_sorted_and_unique() {
    assert!(ALL.windows(2).all(|w| w[0].name() < w[1].name()));
    assert!(ALL.iter().all(|c| Code::from_name(c.name()) == Some(*c)));
    assert_eq!(Code::from_name("mp0201"), Some(UNSAFE_REPEATED));
    assert_eq!(Code::from_name("MP9999"), None);
}
