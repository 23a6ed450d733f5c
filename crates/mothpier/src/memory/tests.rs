use std::rc::Rc;

use bytes::Bytes;

use super::*;

/// A reservation lives as long as any slice of the bytes it was taken for: freeing it earlier would let more
/// bytes in than the pool holds.
#[test]
fn a_reservation_is_freed_with_the_last_slice_of_its_bytes() {
    let pool = MemoryPool::new(64 * 1024, Rc::default());
    let bytes = pool.try_reserve(40_000).unwrap().attach_to(Bytes::from(vec![1; 40_000]));
    assert_eq!(pool.reserved(), 40 * 1024);
    assert!(pool.try_reserve(40_000).is_none());
    let slice = bytes.slice(10..20);
    drop(bytes);
    assert_eq!(pool.reserved(), 40 * 1024);
    drop(slice);
    assert_eq!(pool.reserved(), 0);
}

/// Two processes of one node share its memory limit.
#[test]
fn a_process_reserves_no_more_than_its_share() {
    let share = Rc::new(Share::default());
    share.capacity.set(0.5);
    let pool = MemoryPool::new(64 * 1024, share);
    assert!(pool.try_reserve(33 * 1024).is_none());
    assert!(pool.try_reserve(32 * 1024).is_some());
}

/// Answers of slow readers must not keep writes out.
#[test]
fn answers_leave_memory_to_values_of_clients() {
    let memory = NodeMemory::new(64 << 20, &Rc::default());
    let answers: Vec<_> = std::iter::from_fn(|| memory.reserve_answer(1 << 20)).collect();
    assert_eq!(answers.len(), 24);
    let values: Vec<_> = std::iter::from_fn(|| memory.reserve_input(1 << 20)).collect();
    assert_eq!(values.len(), 8);
}
