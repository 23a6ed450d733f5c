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
mod tests;
