//! The request ids that must not be used now: those of open requests, and those of unsafe requests that may have run.
//! A client that leaves before it has read its answer may send its request again, and must not run it twice.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

/// How long the id of a request that may have run is kept.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of such ids; beyond it the oldest are dropped.
const MAX_RUN_IDS: usize = 4096;

/// The ids of one node process.
#[derive(Clone, Debug, Default)]
pub struct RequestIds(Rc<RefCell<Ids>>);

#[derive(Debug, Default)]
struct Ids {
    open: HashSet<Bytes>,
    run: RunIds,
}

/// Why an id cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdUnusable {
    /// A request of this id is open.
    Open,
    /// An unsafe request of this id may have run.
    MayHaveRun,
}

impl RequestIds {
    /// Reserves an id for a request.
    ///
    /// # Errors
    ///
    /// Fails if a request of this id is open, or may have run and is unsafe.
    pub fn claim(&self, id: &Bytes, now: Instant) -> Result<RequestIdClaim, IdUnusable> {
        let mut ids = self.0.borrow_mut();
        if ids.run.contains(id, now) {
            return Err(IdUnusable::MayHaveRun);
        }
        match ids.open.insert(id.clone()) {
            true => Ok(RequestIdClaim { ids: self.clone(), id: id.clone() }),
            false => Err(IdUnusable::Open),
        }
    }

    /// Returns the hashes of the ids that this process recorded as run.
    pub fn own_run_ids(&self, now: Instant) -> BTreeSet<u64> {
        self.0.borrow_mut().run.own(now)
    }

    /// Adds hashes of ids that another process of the node recorded as run.
    pub fn add_run_ids(&self, hashes: &BTreeSet<u64>, now: Instant) {
        let run = &mut self.0.borrow_mut().run;
        hashes.iter().for_each(|hash| run.insert(*hash, now, Recorder::OtherProcess));
    }

    /// Returns the number of ids of open requests.
    pub fn open_count(&self) -> usize {
        self.0.borrow().open.len()
    }
}

/// A reservation of a request id, released on drop.
#[derive(Debug)]
pub struct RequestIdClaim {
    ids: RequestIds,
    id: Bytes,
}

impl RequestIdClaim {
    /// Returns the id.
    pub fn id(&self) -> &Bytes {
        &self.id
    }

    /// Records that the request of this id is unsafe and may have run.
    pub fn record_run(&self, now: Instant) {
        self.ids.0.borrow_mut().run.insert(xxh3_64(&self.id), now, Recorder::ThisProcess);
    }
}

impl Drop for RequestIdClaim {
    fn drop(&mut self) {
        if crate::mutation_active(crate::Mutation::LeakedId) {
            return;
        }
        self.ids.0.borrow_mut().open.remove(&self.id);
    }
}

/// The process that recorded an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recorder {
    ThisProcess,
    OtherProcess,
}

#[derive(Debug)]
struct RunId {
    hash: u64,
    recorded_at: Instant,
    recorder: Recorder,
}

/// The ids of unsafe requests that may have run, as hashes, the oldest first.
#[derive(Debug, Default)]
struct RunIds {
    hashes: HashSet<u64>,
    in_order: VecDeque<RunId>,
}

impl RunIds {
    fn contains(&mut self, id: &[u8], now: Instant) -> bool {
        self.drop_expired(now);
        !self.hashes.is_empty() && self.hashes.contains(&xxh3_64(id))
    }

    fn insert(&mut self, hash: u64, now: Instant, recorder: Recorder) {
        self.drop_expired(now);
        if !self.hashes.insert(hash) {
            return;
        }
        if self.in_order.len() >= MAX_RUN_IDS {
            self.drop_oldest();
        }
        self.in_order.push_back(RunId { hash, recorded_at: now, recorder });
    }

    fn own(&mut self, now: Instant) -> BTreeSet<u64> {
        self.drop_expired(now);
        let own = self.in_order.iter().filter(|id| id.recorder == Recorder::ThisProcess);
        own.map(|id| id.hash).collect()
    }

    fn drop_expired(&mut self, now: Instant) {
        let is_expired = |id: &RunId| now.saturating_duration_since(id.recorded_at) >= RETENTION;
        while self.in_order.front().is_some_and(is_expired) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.in_order.pop_front() {
            self.hashes.remove(&oldest.hash);
        }
    }
}

#[cfg(test)]
mod tests;
