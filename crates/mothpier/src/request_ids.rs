//! The request ids that must not be used now: those of open requests, and those of unsafe requests that may have run.
//! A client that leaves before it has read its answer may send its request again, and must not run it twice.

use std::cell::RefCell;
use std::collections::{HashSet, VecDeque};
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
        self.ids.0.borrow_mut().run.insert(&self.id, now);
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

/// The hashes of the ids of unsafe requests that may have run, the oldest first.
#[derive(Debug, Default)]
struct RunIds {
    hashes: HashSet<u64>,
    in_order: VecDeque<(Instant, u64)>,
}

impl RunIds {
    fn contains(&mut self, id: &[u8], now: Instant) -> bool {
        self.drop_expired(now);
        !self.hashes.is_empty() && self.hashes.contains(&xxh3_64(id))
    }

    fn insert(&mut self, id: &[u8], now: Instant) {
        self.drop_expired(now);
        if self.in_order.len() >= MAX_RUN_IDS {
            self.drop_oldest();
        }
        let hash = xxh3_64(id);
        if self.hashes.insert(hash) {
            self.in_order.push_back((now, hash));
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        let is_expired = |(at, _): &(Instant, u64)| now.saturating_duration_since(*at) >= RETENTION;
        while self.in_order.front().is_some_and(is_expired) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, hash)) = self.in_order.pop_front() {
            self.hashes.remove(&hash);
        }
    }
}

#[cfg(test)]
mod tests;
