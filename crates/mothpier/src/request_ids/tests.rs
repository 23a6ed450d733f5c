use std::time::{Duration, Instant};

use bytes::Bytes;

use super::{IdUnusable, MAX_RUN_IDS, RETENTION, RequestIds};

#[test]
fn the_id_of_an_open_request_is_taken_until_its_claim_is_dropped() {
    let (ids, now, id) = (RequestIds::default(), Instant::now(), Bytes::from_static(b"id"));
    let claim = ids.claim(&id, now).unwrap();
    assert_eq!((ids.claim(&id, now).unwrap_err(), ids.open_count()), (IdUnusable::Open, 1));
    drop(claim);
    assert!(ids.claim(&id, now).is_ok());
    assert_eq!(ids.open_count(), 0);
}

#[test]
fn the_id_of_a_request_that_may_have_run_is_taken_for_the_retention_time() {
    let (ids, now, id) = (RequestIds::default(), Instant::now(), Bytes::from_static(b"id"));
    ids.claim(&id, now).unwrap().record_run(now);
    let last = now + RETENTION - Duration::from_millis(1);
    assert_eq!(ids.claim(&id, last).unwrap_err(), IdUnusable::MayHaveRun);
    assert!(ids.claim(&id, now + RETENTION).is_ok());
}

#[test]
fn the_oldest_ids_make_room_for_new_ones() {
    let (ids, now) = (RequestIds::default(), Instant::now());
    let id = |number: usize| Bytes::from(format!("id{number}"));
    for number in 0..=MAX_RUN_IDS {
        ids.claim(&id(number), now).unwrap().record_run(now);
    }
    assert!(ids.claim(&id(0), now).is_ok());
    for number in 1..=MAX_RUN_IDS {
        assert_eq!(ids.claim(&id(number), now).unwrap_err(), IdUnusable::MayHaveRun, "{number}");
    }
}

#[test]
fn ids_of_another_process_are_taken_but_not_handed_on() {
    let (old, new, now) = (RequestIds::default(), RequestIds::default(), Instant::now());
    let id = Bytes::from_static(b"id");
    old.claim(&id, now).unwrap().record_run(now);
    new.add_run_ids(&old.own_run_ids(now), now);
    assert_eq!(new.claim(&id, now).unwrap_err(), IdUnusable::MayHaveRun);
    assert!(new.own_run_ids(now).is_empty());
    assert!(old.own_run_ids(now + RETENTION).is_empty());
}
