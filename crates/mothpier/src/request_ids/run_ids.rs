//! The ids of unsafe requests that may have run, as hashes. Each is kept for a time, up to a number of them.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

/// How long the id of a request that may have run is kept.
pub(super) const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of such ids; beyond it the oldest are dropped.
pub(super) const MAX_RUN_IDS: usize = 4096;

/// The process that recorded an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Recorder {
    ThisProcess,
    OtherProcess,
}

#[derive(Debug)]
struct RunId {
    hash: u64,
    recorded_at: Instant,
    recorder: Recorder,
}

/// The kept ids, the oldest first.
#[derive(Debug, Default)]
pub(super) struct RunIds {
    hashes: HashSet<u64>,
    in_order: VecDeque<RunId>,
}

impl RunIds {
    pub(super) fn contains(&self, id: &[u8]) -> bool {
        !self.hashes.is_empty() && self.contains_hash(xxh3_64(id))
    }

    pub(super) fn contains_hash(&self, hash: u64) -> bool {
        self.hashes.contains(&hash)
    }

    /// Adds an id that is not known. Returns those that were dropped to make room for it.
    pub(super) fn insert(&mut self, hash: u64, recorded_at: Instant, recorder: Recorder) -> Vec<u64> {
        self.hashes.insert(hash);
        let at = self.in_order.partition_point(|id| id.recorded_at <= recorded_at);
        self.in_order.insert(at, RunId { hash, recorded_at, recorder });
        self.drop_while(|run_ids, _| run_ids.in_order.len() > MAX_RUN_IDS)
    }

    /// Drops the ids that have been kept for long enough, and returns them.
    pub(super) fn drop_expired(&mut self, now: Instant) -> Vec<u64> {
        self.drop_while(|_, oldest| now.saturating_duration_since(oldest.recorded_at) >= RETENTION)
    }

    /// Returns the ids that this process recorded.
    pub(super) fn own(&self) -> BTreeSet<u64> {
        let own = self.in_order.iter().filter(|id| id.recorder == Recorder::ThisProcess);
        own.map(|id| id.hash).collect()
    }

    /// Returns all ids with the time since they were recorded.
    pub(super) fn ages(&self, now: Instant) -> BTreeMap<u64, Duration> {
        let age = |id: &RunId| now.saturating_duration_since(id.recorded_at);
        self.in_order.iter().map(|id| (id.hash, age(id))).collect()
    }

    pub(super) fn hashes(&self) -> impl Iterator<Item = u64> {
        self.in_order.iter().map(|id| id.hash)
    }

    fn drop_while(&mut self, is_dropped: impl Fn(&Self, &RunId) -> bool) -> Vec<u64> {
        let mut dropped = Vec::new();
        while self.in_order.front().is_some_and(|oldest| is_dropped(self, oldest)) {
            let Some(oldest) = self.in_order.pop_front() else { break };
            self.hashes.remove(&oldest.hash);
            dropped.push(oldest.hash);
        }
        dropped
    }
}
