//! The request ids that must not be used now: those of open requests, and those of unsafe requests that may have run.
//! A client that leaves before it has read its answer may send its request again, and must not run it twice. While
//! several processes of a node live, an id that is taken at one of them is taken at all.

mod run_ids;
mod shared;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use brassrouter::Effect;
use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

use self::run_ids::{Recorder, RunIds};
use self::shared::SharedIds;
use crate::handover_store::ProcessTag;
use crate::id_table::{IdTable, IdTableReader, IdUse};

/// The ids of one node process.
#[derive(Clone, Debug, Default)]
pub struct RequestIds(Rc<RefCell<Ids>>);

#[derive(Debug, Default)]
struct Ids {
    open: HashMap<Bytes, IdUse>,
    run: RunIds,
    /// The exchange with the other processes of the node, if there may be any.
    shared: Option<SharedIds>,
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
    /// Reserves an id for a request. If two processes reserve the same id at the same moment, both fail.
    ///
    /// # Errors
    ///
    /// Fails if a request of this id is open, or may have run and is unsafe.
    pub fn claim(&self, id: &Bytes, effect: Effect, now: Instant) -> Result<RequestIdClaim, IdUnusable> {
        let mut ids = self.0.borrow_mut();
        ids.drop_expired(now);
        if ids.run.contains(id) {
            return Err(IdUnusable::MayHaveRun);
        }
        if ids.open.contains_key(id) {
            return Err(IdUnusable::Open);
        }
        let id_use = if effect == Effect::Unsafe { IdUse::OpenUnsafe } else { IdUse::OpenSafe };
        if let Some(shared) = ids.published() {
            shared.claim(xxh3_64(id), id_use)?;
        }
        ids.open.insert(id.clone(), id_use);
        Ok(RequestIdClaim { ids: self.clone(), id: id.clone() })
    }

    /// Exchanges ids with the other processes of the node from now on, through this process's table.
    pub fn share(&self, own: IdTable) {
        self.0.borrow_mut().shared = Some(SharedIds::new(own));
    }

    /// Looks ids up at another process from now on, and lets it look up those of this process.
    ///
    /// # Errors
    ///
    /// Fails if the ids of this process cannot be written.
    pub fn add_process(&self, process: ProcessTag, table: IdTableReader, now: Instant) -> io::Result<()> {
        let mut ids = self.0.borrow_mut();
        ids.drop_expired(now);
        let Ids { open, run, shared } = &mut *ids;
        let Some(shared) = shared else { return Ok(()) };
        let open = open.iter().map(|(id, id_use)| (xxh3_64(id), *id_use));
        shared.publish(open.chain(run.hashes().map(|hash| (hash, IdUse::MayHaveRun))))?;
        shared.add_process(process, table);
        Ok(())
    }

    /// Returns the processes at which ids are looked up.
    pub fn processes(&self) -> BTreeSet<ProcessTag> {
        self.0.borrow().shared.as_ref().map(SharedIds::processes).unwrap_or_default()
    }

    /// Takes over the unsafe ids of a process that has ended: those that may have run, and those that were open.
    ///
    /// # Errors
    ///
    /// Fails if its ids cannot be read.
    pub fn take_over(&self, process: &ProcessTag, now: Instant) -> io::Result<()> {
        let mut ids = self.0.borrow_mut();
        let Some(table) = ids.shared.as_mut().and_then(|shared| shared.remove_process(process)) else {
            return Ok(());
        };
        for (hash, _) in table.all()?.into_iter().filter(|(_, id_use)| *id_use != IdUse::OpenSafe) {
            ids.record_run(hash, now, Recorder::OtherProcess);
        }
        Ok(())
    }

    /// Stops the exchange until another process appears.
    pub fn withdraw(&self) {
        if let Some(shared) = &mut self.0.borrow_mut().shared {
            shared.withdraw();
        }
    }

    /// Takes the last failure of the exchange.
    pub fn take_failure(&self) -> Option<io::Error> {
        self.0.borrow_mut().shared.as_mut().and_then(SharedIds::take_failure)
    }

    /// Returns the hashes of the ids that this process recorded as run.
    pub fn own_run_ids(&self, now: Instant) -> BTreeSet<u64> {
        let mut ids = self.0.borrow_mut();
        ids.drop_expired(now);
        ids.run.own()
    }

    /// Returns the hashes of all ids that are kept, with the time since they were recorded, as this process ends. What
    /// is unsafe and still open may run.
    pub fn final_run_ids(&self, now: Instant) -> BTreeMap<u64, Duration> {
        let mut ids = self.0.borrow_mut();
        ids.drop_expired(now);
        let open = ids.open.iter().filter(|(_, id_use)| **id_use == IdUse::OpenUnsafe);
        for hash in open.map(|(id, _)| xxh3_64(id)).collect::<Vec<_>>() {
            ids.record_run(hash, now, Recorder::ThisProcess);
        }
        ids.run.ages(now)
    }

    /// Adds the hash of an id that another process of the node recorded as run that long ago.
    pub fn add_run_id(&self, hash: u64, age: Duration, now: Instant) {
        let recorded_at = now.checked_sub(age).unwrap_or(now);
        let mut ids = self.0.borrow_mut();
        ids.drop_expired(now);
        ids.record_run(hash, recorded_at, Recorder::OtherProcess);
        ids.drop_expired(now);
    }

    /// Returns the number of ids of open requests.
    pub fn open_count(&self) -> usize {
        self.0.borrow().open.len()
    }
}

impl Ids {
    /// Returns the exchange with the other processes, if there are any.
    fn published(&mut self) -> Option<&mut SharedIds> {
        self.shared.as_mut().filter(|shared| shared.is_published())
    }

    fn record_run(&mut self, hash: u64, recorded_at: Instant, recorder: Recorder) {
        if self.run.contains_hash(hash) {
            return;
        }
        let dropped = self.run.insert(hash, recorded_at, recorder);
        let Some(shared) = self.published() else { return };
        dropped.into_iter().for_each(|dropped| shared.remove(dropped));
        shared.set(hash, IdUse::MayHaveRun);
    }

    fn drop_expired(&mut self, now: Instant) {
        let dropped = self.run.drop_expired(now);
        if let Some(shared) = self.published() {
            dropped.into_iter().for_each(|dropped| shared.remove(dropped));
        }
    }

    fn release(&mut self, id: &Bytes) {
        self.open.remove(id);
        if self.run.contains(id) {
            return;
        }
        if let Some(shared) = self.published() {
            shared.remove(xxh3_64(id));
        }
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
        let mut ids = self.ids.0.borrow_mut();
        ids.drop_expired(now);
        ids.record_run(xxh3_64(&self.id), now, Recorder::ThisProcess);
    }
}

impl Drop for RequestIdClaim {
    fn drop(&mut self) {
        if crate::mutation_active(crate::Mutation::LeakedId) {
            return;
        }
        self.ids.0.borrow_mut().release(&self.id);
    }
}

#[cfg(test)]
mod tests;
