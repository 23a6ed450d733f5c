use std::time::{Duration, Instant};

use bytes::Bytes;

use brassrouter::Effect;
use xxhash_rust::xxh3::xxh3_64;

use super::run_ids::{MAX_RUN_IDS, RETENTION};
use super::{IdUnusable, RequestIds};
use crate::handover_store::ProcessTag;
use crate::id_table::{IdTable, IdTableReader};

#[test]
fn the_id_of_an_open_request_is_taken_until_its_claim_is_dropped() {
    let (ids, now, id) = (RequestIds::default(), Instant::now(), Bytes::from_static(b"id"));
    let claim = ids.claim(&id, Effect::Unsafe, now).unwrap();
    assert_eq!((ids.claim(&id, Effect::Unsafe, now).unwrap_err(), ids.open_count()), (IdUnusable::Open, 1));
    drop(claim);
    assert!(ids.claim(&id, Effect::Unsafe, now).is_ok());
    assert_eq!(ids.open_count(), 0);
}

#[test]
fn the_id_of_a_request_that_may_have_run_is_taken_for_the_retention_time() {
    let (ids, now, id) = (RequestIds::default(), Instant::now(), Bytes::from_static(b"id"));
    ids.claim(&id, Effect::Unsafe, now).unwrap().record_run(now);
    let last = now + RETENTION - Duration::from_millis(1);
    assert_eq!(ids.claim(&id, Effect::Unsafe, last).unwrap_err(), IdUnusable::MayHaveRun);
    assert!(ids.claim(&id, Effect::Unsafe, now + RETENTION).is_ok());
}

#[test]
fn the_oldest_ids_make_room_for_new_ones() {
    let (ids, now) = (RequestIds::default(), Instant::now());
    let id = |number: usize| Bytes::from(format!("id{number}"));
    for number in 0..=MAX_RUN_IDS {
        ids.claim(&id(number), Effect::Unsafe, now).unwrap().record_run(now);
    }
    assert!(ids.claim(&id(0), Effect::Unsafe, now).is_ok());
    for number in 1..=MAX_RUN_IDS {
        assert_eq!(
            ids.claim(&id(number), Effect::Unsafe, now).unwrap_err(),
            IdUnusable::MayHaveRun,
            "{number}"
        );
    }
}

#[test]
fn ids_of_another_process_are_taken_but_not_handed_on() {
    let (old, new, now) = (RequestIds::default(), RequestIds::default(), Instant::now());
    let id = Bytes::from_static(b"id");
    old.claim(&id, Effect::Unsafe, now).unwrap().record_run(now);
    old.own_run_ids(now).into_iter().for_each(|hash| new.add_run_id(hash, Duration::ZERO, now));
    assert_eq!(new.claim(&id, Effect::Unsafe, now).unwrap_err(), IdUnusable::MayHaveRun);
    assert!(new.own_run_ids(now).is_empty());
    assert!(old.own_run_ids(now + RETENTION).is_empty());
}

/// Processes of a node that look request ids up at each other.
struct Processes {
    directory: tempfile::TempDir,
    all: Vec<RequestIds>,
}

impl Processes {
    fn new() -> Self {
        Processes { directory: tempfile::tempdir().unwrap(), all: Vec::new() }
    }

    fn path(&self, number: usize) -> std::path::PathBuf {
        self.directory.path().join(number.to_string())
    }

    /// Starts a process, and lets those of the given numbers and the new one look up each other's ids.
    fn start(&mut self, others: &[usize], now: Instant) -> RequestIds {
        let (number, ids) = (self.all.len(), RequestIds::default());
        ids.share(IdTable::create(&self.path(number)).unwrap());
        self.all.push(ids.clone());
        for other in others {
            self.follow(*other, number, now);
            self.follow(number, *other, now);
        }
        ids
    }

    fn follow(&self, follower: usize, followed: usize, now: Instant) {
        let table = IdTableReader::open(&self.path(followed)).unwrap();
        self.all[follower].add_process(tag(followed), table, now).unwrap();
    }
}

fn tag(number: usize) -> ProcessTag {
    ProcessTag::from(number.to_string().as_str())
}

/// The id of a request that is open at one process of an upgrade was free at the other one.
#[test]
fn an_id_that_is_open_at_one_process_is_taken_at_all() {
    let (mut processes, now) = (Processes::new(), Instant::now());
    let first = processes.start(&[], now);
    let id = Bytes::from_static(b"id");
    for effect in [Effect::Safe, Effect::Unsafe] {
        // Once open before the other processes have come, and once afterwards.
        let claim = first.claim(&id, effect, now).unwrap();
        let second = processes.start(&[0], now);
        let third = processes.start(&[0, processes.all.len() - 1], now);
        for claim in [claim, { second.claim(&Bytes::from_static(b"other"), effect, now).unwrap() }] {
            let taken = claim.id().clone();
            for ids in [&first, &second, &third] {
                assert_eq!(ids.claim(&taken, effect, now).unwrap_err(), IdUnusable::Open, "{effect:?}");
            }
            drop(claim);
            drop(third.claim(&taken, effect, now).unwrap());
            drop(first.claim(&taken, effect, now).unwrap());
        }
        assert_eq!((first.open_count(), third.open_count()), (0, 0));
    }
}

/// The id of a request that has just ended was free at the other process until it was handed over.
#[test]
fn an_id_that_may_have_run_at_one_process_is_taken_at_all_for_the_retention_time() {
    let (mut processes, now) = (Processes::new(), Instant::now());
    let (first, second) = (processes.start(&[], now), processes.start(&[0], now));
    let id = Bytes::from_static(b"id");
    first.claim(&id, Effect::Unsafe, now).unwrap().record_run(now);
    assert_eq!(second.claim(&id, Effect::Unsafe, now).unwrap_err(), IdUnusable::MayHaveRun);
    let late = now + RETENTION;
    first.own_run_ids(late);
    assert!(second.claim(&id, Effect::Unsafe, late).is_ok());
}

/// What an upgrade took over was not handed on by the next one.
#[test]
fn an_id_that_may_have_run_is_taken_after_any_number_of_upgrades() {
    for killed in [false, true] {
        let (mut processes, now) = (Processes::new(), Instant::now());
        let mut old = processes.start(&[], now);
        let names = ["run", "open", "read"].map(Bytes::from);
        old.claim(&names[0], Effect::Unsafe, now).unwrap().record_run(now);
        let open =
            [(1, Effect::Unsafe), (2, Effect::Safe)].map(|(i, e)| old.claim(&names[i], e, now).unwrap());
        let mut age = Duration::ZERO;
        for upgrade in 0..4 {
            let new = processes.start(&[upgrade], now + age);
            if !killed {
                let kept = old.final_run_ids(now + age);
                kept.into_iter().for_each(|(hash, age_then)| new.add_run_id(hash, age_then, now + age));
            }
            new.take_over(&tag(upgrade), now + age).unwrap();
            for name in &names[..2] {
                let claimed = new.claim(name, Effect::Unsafe, now + age).map(drop);
                assert_eq!(claimed, Err(IdUnusable::MayHaveRun), "{name:?}, {upgrade}, killed: {killed}");
            }
            assert!(new.claim(&names[2], Effect::Safe, now + age).is_ok());
            age += Duration::from_secs(14);
            old = new;
        }
        if !killed {
            // Its age is handed over, too.
            assert!(old.claim(&names[0], Effect::Unsafe, now + RETENTION).is_ok());
        }
        drop(open);
    }
}

#[test]
fn an_id_handed_over_with_its_age_is_kept_for_the_rest_of_the_retention_time() {
    let (ids, now) = (RequestIds::default(), Instant::now());
    let id = Bytes::from_static(b"id");
    ids.claim(&Bytes::from_static(b"newer"), Effect::Unsafe, now).unwrap().record_run(now);
    let age = Duration::from_secs(1);
    ids.add_run_id(xxh3_64(&id), age, now);
    let last = now + RETENTION - age;
    let before = last - Duration::from_millis(1);
    assert_eq!(ids.claim(&id, Effect::Unsafe, before).unwrap_err(), IdUnusable::MayHaveRun);
    assert!(ids.claim(&id, Effect::Unsafe, last).is_ok());
}
