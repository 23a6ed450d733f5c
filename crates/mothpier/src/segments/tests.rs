use std::io::IoSlice;

use bytes::{Buf, Bytes};

use super::*;

fn long(byte: u8) -> Bytes {
    vec![byte; MAX_COPIED + 1].into()
}

/// A long value must not be held a second time for being written.
#[test]
fn long_pieces_are_shared_and_short_ones_joined() {
    let value = long(b'v');
    let mut writer = SegmentWriter::default();
    writer.copy(b"+a\r\n");
    writer.append(&Bytes::from_static(b"$1\r\n"));
    writer.append(&value);
    writer.copy(b"\r\n");
    let segments = writer.finish();
    let pieces: Vec<&[u8]> = segments.pieces.iter().map(Bytes::as_ref).collect();
    assert_eq!(pieces, [&b"+a\r\n$1\r\n"[..], &value, b"\r\n"]);
    assert_eq!(segments.pieces[1].as_ptr(), value.as_ptr());
}

/// A write may accept any number of bytes.
#[test]
fn advancing_by_any_count_keeps_the_rest() {
    let mut writer = SegmentWriter::default();
    for byte in b"abc" {
        writer.copy(&[*byte; 3]);
        writer.append(&long(*byte));
    }
    let all = writer.finish().copy_to_bytes(3 * (MAX_COPIED + 4));
    for count in [0, 1, 2, 3, 4, MAX_COPIED, MAX_COPIED + 4, MAX_COPIED + 5, all.len()] {
        let mut writer = SegmentWriter::default();
        for byte in b"abc" {
            writer.copy(&[*byte; 3]);
            writer.append(&long(*byte));
        }
        let mut segments = writer.finish();
        segments.advance(count);
        assert_eq!(segments.remaining(), all.len() - count);
        let mut slices = [IoSlice::new(&[]); 8];
        let filled = segments.chunks_vectored(&mut slices);
        let vectored: Vec<u8> = slices[..filled].iter().flat_map(|slice| slice.iter().copied()).collect();
        assert!(vectored == all[count..], "{count}");
        assert!(segments.copy_to_bytes(segments.remaining()) == all[count..], "{count}");
    }
}
