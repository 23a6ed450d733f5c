//! The exchange of request ids with the other processes of the node. An id is written to this process's table before
//! it is looked up in the tables of the others, so that of two processes at least one finds it at the other.

use std::collections::{BTreeMap, BTreeSet};
use std::io;

use super::IdUnusable;
use crate::handover_store::ProcessTag;
use crate::id_table::{IdTable, IdTableReader, IdUse};

/// This process's table, and those of the others.
#[derive(Debug)]
pub(super) struct SharedIds {
    own: IdTable,
    others: BTreeMap<ProcessTag, IdTableReader>,
    /// The last failure, until it is taken.
    failure: Option<io::Error>,
}

impl SharedIds {
    pub(super) fn new(own: IdTable) -> Self {
        SharedIds { own, others: BTreeMap::new(), failure: None }
    }

    /// Writes the ids of this process for the others, unless they are written already.
    pub(super) fn publish(&mut self, ids: impl Iterator<Item = (u64, IdUse)>) -> io::Result<()> {
        if self.own.is_published() { Ok(()) } else { self.own.publish(ids) }
    }

    pub(super) fn is_published(&self) -> bool {
        self.own.is_published()
    }

    pub(super) fn withdraw(&mut self) {
        self.own.withdraw();
    }

    pub(super) fn add_process(&mut self, process: ProcessTag, table: IdTableReader) {
        self.others.insert(process, table);
    }

    pub(super) fn remove_process(&mut self, process: &ProcessTag) -> Option<IdTableReader> {
        self.others.remove(process)
    }

    pub(super) fn processes(&self) -> BTreeSet<ProcessTag> {
        self.others.keys().cloned().collect()
    }

    /// Reserves an id at all processes.
    pub(super) fn claim(&mut self, hash: u64, id_use: IdUse) -> Result<(), IdUnusable> {
        self.set(hash, id_use);
        let Some(found) = self.find(hash) else { return Ok(()) };
        self.remove(hash);
        Err(match found {
            IdUse::MayHaveRun => IdUnusable::MayHaveRun,
            IdUse::OpenSafe | IdUse::OpenUnsafe => IdUnusable::Open,
        })
    }

    /// Returns what keeps an id from being used at another process. One whose table cannot be read counts as having
    /// no ids: requests are served on.
    fn find(&mut self, hash: u64) -> Option<IdUse> {
        let mut found = None;
        for table in self.others.values() {
            match table.find(hash) {
                Ok(id_use) => found = found.or(id_use),
                Err(e) => self.failure = Some(e),
            }
        }
        found
    }

    pub(super) fn set(&mut self, hash: u64, id_use: IdUse) {
        let set = self.own.set(hash, id_use);
        self.note(set);
    }

    pub(super) fn remove(&mut self, hash: u64) {
        let removed = self.own.remove(hash);
        self.note(removed);
    }

    pub(super) fn take_failure(&mut self) -> Option<io::Error> {
        self.failure.take()
    }

    fn note(&mut self, result: io::Result<()>) {
        self.failure = result.err().or(self.failure.take());
    }
}
