//! Accounting for the memory that requests, answers and clients hold.
//!
//! Every open request reserves [`REQUEST_MEMORY`] when it is admitted, and half of the node's memory limit is
//! for these reservations. A request needs only [`MAX_UNRESERVED`] of that to make progress: an answer of
//! that size is buffered without asking, and a longer one can be streamed through a window of that size. All
//! bytes beyond it are reserved in a [`MemoryPool`] when they become known and before they are read, and are
//! freed with the last reference to them.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::process_handover::Share;
use crate::resp::MAX_VALUE;

/// Memory reserved for an open request until its reply is written, in addition to its own value, in bytes:
/// half of the largest value that is buffered whole, since most replies are small.
pub const REQUEST_MEMORY: usize = MAX_VALUE / 2;
/// Maximum number of bytes of an answer that are held without a reservation of their own.
pub const MAX_UNRESERVED: usize = REQUEST_MEMORY / 2;
/// Maximum number of bytes that are received from a connection without a reservation and belong to no admitted
/// request: an incomplete command, or what surrounds the value of an answer.
pub const MAX_UNRESERVED_INPUT: usize = 8 * 1024;
/// Fraction (1/n) of the memory limit that the reservations of open requests may take.
const REQUEST_POOL_DIVISOR: usize = 2;
/// Fraction (1/n) of the memory limit that values may take.
const VALUE_POOL_DIVISOR: usize = 2;
/// Fraction (1/n) of the value pool that answers leave to values from clients.
const INPUT_SHARE_DIVISOR: usize = 4;
/// Bytes per permit of a pool.
const PERMIT_BYTES: usize = 1024;

/// A bounded amount of memory from which reservations are taken.
#[derive(Clone)]
pub struct MemoryPool {
    permits: Arc<Semaphore>,
    total: usize,
    share: Rc<Share>,
}

impl MemoryPool {
    /// Creates a pool of `bytes`; processes that run side by side share it.
    pub fn new(bytes: usize, share: Rc<Share>) -> Self {
        let total = bytes / PERMIT_BYTES;
        MemoryPool { permits: Arc::new(Semaphore::new(total)), total, share }
    }

    /// Reserves memory, or returns `None` if too little is left.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        self.try_reserve_above(bytes, 0)
    }

    /// Reserves memory if `kept_free` permits stay available.
    fn try_reserve_above(&self, bytes: usize, kept_free: usize) -> Option<Reservation> {
        let permits = bytes.div_ceil(PERMIT_BYTES);
        let reserved_for_others = self.total - Share::of(&self.share.capacity, self.total);
        if self.permits.available_permits() < permits + reserved_for_others + kept_free {
            return None;
        }
        let permit = self.permits.clone().try_acquire_many_owned(u32::try_from(permits).ok()?);
        permit.ok().map(Reservation)
    }

    /// Returns the number of bytes that are reserved.
    pub fn reserved(&self) -> usize {
        (self.total - self.permits.available_permits()) * PERMIT_BYTES
    }
}

/// Reserved memory, freed on drop.
#[derive(Debug)]
pub struct Reservation(#[allow(dead_code, reason = "held for its drop")] OwnedSemaphorePermit);

impl Reservation {
    /// Returns the same bytes, which hold the reservation until the last reference to them is dropped.
    pub fn attach_to(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }
}

/// Bytes with the reservation for them.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The memory of a node's requests and values.
#[derive(Clone)]
pub struct NodeMemory {
    /// The reservations of open requests: [`REQUEST_MEMORY`] each, and the value of a write.
    pub requests: MemoryPool,
    /// Values of writes, and answers beyond [`MAX_UNRESERVED`].
    values: MemoryPool,
}

impl NodeMemory {
    /// Divides up the memory limit of a node, in bytes.
    pub fn new(limit: usize, share: &Rc<Share>) -> Self {
        NodeMemory {
            requests: MemoryPool::new(limit / REQUEST_POOL_DIVISOR, share.clone()),
            values: MemoryPool::new(limit / VALUE_POOL_DIVISOR, share.clone()),
        }
    }

    /// Reserves memory for the value of a write, or for other bytes of a client.
    pub fn reserve_input(&self, bytes: usize) -> Option<Reservation> {
        self.values.try_reserve(bytes)
    }

    /// Reserves memory for the bytes of an answer beyond [`MAX_UNRESERVED`]. Part of the pool is left to
    /// values from clients.
    pub fn reserve_answer(&self, bytes: usize) -> Option<Reservation> {
        self.values.try_reserve_above(bytes, self.values.total / INPUT_SHARE_DIVISOR)
    }

    /// Reserves memory like [`NodeMemory::reserve_answer`] for an answer that blocks other clients. It may take the
    /// whole pool.
    pub fn reserve_urgent_answer(&self, bytes: usize) -> Option<Reservation> {
        self.values.try_reserve(bytes)
    }

    /// Returns the number of bytes reserved for values.
    pub fn reserved_for_values(&self) -> usize {
        self.values.reserved()
    }
}

#[cfg(test)]
mod tests;
