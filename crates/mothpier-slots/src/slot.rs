//! The slot of a key (Redis Cluster specification, "Key distribution model" and "Hash tags").

use crc::{CRC_16_XMODEM, Crc, Table};

/// How many slots there are.
pub const SLOTS: u16 = 16_384;

/// CRC16/XMODEM: polynomial 1021, no reflection, starting from 0 (specification, appendix A).
const CRC: Crc<u16, Table<1>> = Crc::<u16, Table<1>>::new(&CRC_16_XMODEM);

/// The part of a key that is hashed: what stands between the first `{` and the first `}` after it, where that is not
/// empty; the whole key otherwise.
pub fn hashed_part(key: &[u8]) -> &[u8] {
    let Some(open) = key.iter().position(|b| *b == b'{') else { return key };
    match key[open + 1..].iter().position(|b| *b == b'}') {
        Some(length) if length > 0 => &key[open + 1..open + 1 + length],
        _ => key,
    }
}

/// A key's slot, below [`SLOTS`].
pub fn slot_of(key: &[u8]) -> u16 {
    CRC.checksum(hashed_part(key)) % SLOTS
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_specifications_vectors() {
        // Appendix A: the checksum of "123456789" is 31C3.
        assert_eq!(CRC.checksum(b"123456789"), 0x31c3);
        assert_eq!(slot_of(b"123456789"), 0x31c3);
        // The page of CLUSTER KEYSLOT.
        assert_eq!(slot_of(b"somekey"), 11_058);
        assert_eq!(slot_of(b"foo{hash_tag}"), 2_515);
        assert_eq!(slot_of(b"bar{hash_tag}"), 2_515);
        assert_eq!(slot_of(b""), 0);
    }

    #[test]
    fn hash_tags_as_the_specification_tells_them() {
        // Its examples, in its order, and what it says in words.
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
}
