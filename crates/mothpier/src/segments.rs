//! Bytes in several pieces that are written one after the other without being joined, so that a long value
//! is not held twice.

use std::collections::VecDeque;
use std::io::IoSlice;

use bytes::{Buf, Bytes, BytesMut};

/// Pieces longer than this are shared instead of being copied, in bytes.
const MAX_COPIED: usize = 4 * 1024;

/// Pieces of bytes in the order in which they are written.
#[derive(Debug, Default)]
pub struct Segments {
    pieces: VecDeque<Bytes>,
}

impl Segments {
    /// Puts bytes before the first piece, as one piece with it.
    pub fn prepend(&mut self, bytes: &[u8]) {
        let first = self.pieces.pop_front().unwrap_or_default();
        self.pieces.push_front([bytes, &first].concat().into());
    }
}

impl From<Bytes> for Segments {
    fn from(bytes: Bytes) -> Self {
        Segments { pieces: [bytes].into() }
    }
}

impl Buf for Segments {
    fn remaining(&self) -> usize {
        self.pieces.iter().map(Bytes::len).sum()
    }

    fn chunk(&self) -> &[u8] {
        self.pieces.iter().find(|piece| !piece.is_empty()).map_or(&[], |piece| piece)
    }

    fn chunks_vectored<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        let pieces = self.pieces.iter().filter(|piece| !piece.is_empty());
        let mut count = 0;
        for (slice, piece) in slices.iter_mut().zip(pieces) {
            *slice = IoSlice::new(piece);
            count += 1;
        }
        count
    }

    fn advance(&mut self, mut count: usize) {
        while let Some(piece) = self.pieces.front_mut() {
            if count < piece.len() {
                return piece.advance(count);
            }
            count -= piece.len();
            self.pieces.pop_front();
        }
        assert_eq!(count, 0, "advanced beyond the last piece");
    }
}

/// Joins short pieces and keeps long ones apart.
#[derive(Debug, Default)]
pub struct SegmentWriter {
    segments: Segments,
    /// Short pieces behind the last segment.
    joined: BytesMut,
}

impl SegmentWriter {
    /// Appends a copy of some bytes.
    pub fn copy(&mut self, bytes: &[u8]) {
        self.joined.extend_from_slice(bytes);
    }

    /// Appends bytes, which are shared if there are many of them.
    pub fn append(&mut self, bytes: &Bytes) {
        if bytes.len() <= MAX_COPIED {
            return self.copy(bytes);
        }
        self.flush();
        self.segments.pieces.push_back(bytes.clone());
    }

    /// Returns what was appended.
    pub fn finish(mut self) -> Segments {
        self.flush();
        self.segments
    }

    fn flush(&mut self) {
        if !self.joined.is_empty() {
            self.segments.pieces.push_back(std::mem::take(&mut self.joined).freeze());
        }
    }
}

#[cfg(test)]
mod tests;
