use super::*;

#[test]
fn slots_match_the_examples_of_the_specification() {
    // Appendix A: the checksum of "123456789" is 31C3.
    assert_eq!(CRC.checksum(b"123456789"), 0x31c3);
    assert_eq!(slot_of(b"123456789"), 0x31c3);
    // The examples of the reference page of CLUSTER KEYSLOT.
    assert_eq!(slot_of(b"somekey"), 11_058);
    assert_eq!(slot_of(b"foo{hash_tag}"), 2_515);
    assert_eq!(slot_of(b"bar{hash_tag}"), 2_515);
    assert_eq!(slot_of(b""), 0);
}

#[test]
fn hash_tags_follow_the_specification() {
    // The examples of the specification in its order, and further cases of the rules in its text.
    assert_eq!(hashed_part(b"{user1000}.following"), b"user1000");
    assert_eq!(hashed_part(b"foo{}{bar}"), b"foo{}{bar}");
    assert_eq!(hashed_part(b"foo{{bar}}zap"), b"{bar");
    assert_eq!(hashed_part(b"foo{bar}{zap}"), b"bar");
    assert_eq!(hashed_part(b"foo{bar"), b"foo{bar");
    assert_eq!(hashed_part(b"}foo{bar}"), b"bar");
    assert_eq!(hashed_part(b"{"), b"{");
    assert_eq!(hashed_part(b"{}"), b"{}");
    assert_eq!(hashed_part(b"\xff{\x00}"), b"\x00");
}
