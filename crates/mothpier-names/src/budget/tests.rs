use super::*;

#[test]
fn a_bucket_allows_its_burst_and_then_its_rate() {
    let mut bucket = TokenBucket::new(2.0, 3.0, 1_000);
    assert_eq!((0..9).filter(|_| bucket.take(1_000)).count(), 3);
    let due = bucket.due(1_000);
    assert_eq!(due, 1_500);
    assert!(!bucket.take(due - 1) && bucket.take(due) && !bucket.take(due));
    // The bucket holds no more than its burst, and a clock that does not advance adds nothing.
    assert_eq!((0..9).filter(|_| bucket.take(1_000_000)).count(), 3);
    assert!(!bucket.take(999_000));
}
