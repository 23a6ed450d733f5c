//! The slot of a key (Redis Cluster specification, "Key distribution model" and "Hash tags").

use crc::{CRC_16_XMODEM, Crc, Table};

/// Number of slots.
pub const SLOTS: u16 = 16_384;

/// CRC16/XMODEM: polynomial 1021, no reflection, initial value 0 (specification, appendix A).
const CRC: Crc<u16, Table<1>> = Crc::<u16, Table<1>>::new(&CRC_16_XMODEM);

/// Returns the part of a key that is hashed: the text between the first `{` and the first `}` after it, or
/// the whole key if that text is missing or empty.
pub fn hashed_part(key: &[u8]) -> &[u8] {
    let Some(start) = key.iter().position(|b| *b == b'{') else { return key };
    match key[start + 1..].iter().position(|b| *b == b'}') {
        Some(length) if length > 0 => &key[start + 1..start + 1 + length],
        _ => key,
    }
}

/// Returns the slot of a key, which is below [`SLOTS`].
pub fn slot_of(key: &[u8]) -> u16 {
    CRC.checksum(hashed_part(key)) % SLOTS
}

#[cfg(test)]
mod tests;
