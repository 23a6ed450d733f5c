//! What the stand-ins of one fleet share: where they report, and which boxes missed for which request.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::{Record, Seen};

/// Requests whose misses are remembered; older ones are forgotten.
const REMEMBERED: usize = 4096;

/// A box as the origin's answers reach it.
pub trait Shelf {
    /// Stores a key.
    fn store(&self, key: &str);
    /// Drops a key's copy.
    fn void(&self, key: &str);
}

impl<N: mothpier_net::Net> Shelf for crate::cache_box::CacheBox<N> {
    fn store(&self, key: &str) {
        crate::cache_box::CacheBox::store(self, key);
    }

    fn void(&self, key: &str) {
        crate::cache_box::CacheBox::void(self, key);
    }
}

/// The shared part of a fleet.
pub struct Fleet {
    record: Record,
    shelves: RefCell<BTreeMap<usize, Rc<dyn Shelf>>>,
    missed: RefCell<BTreeMap<String, Vec<usize>>>,
}

impl Fleet {
    /// A fleet that reports to somebody.
    pub fn new(record: Record) -> Rc<Self> {
        Rc::new(Fleet { record, shelves: RefCell::default(), missed: RefCell::default() })
    }

    /// Reports.
    pub fn saw(&self, seen: Seen) {
        (self.record)(seen);
    }

    /// A box runs under a number; the one that ran under it before is gone.
    pub fn runs(&self, number: usize, shelf: Rc<dyn Shelf>) {
        self.shelves.borrow_mut().insert(number, shelf);
    }

    /// A box runs no longer.
    pub fn ended(&self, number: usize) {
        self.shelves.borrow_mut().remove(&number);
    }

    /// A box lacked the key of a request.
    pub fn missed(&self, id: &str, number: usize) {
        let mut missed = self.missed.borrow_mut();
        while missed.len() >= REMEMBERED {
            missed.pop_first();
        }
        missed.entry(id.to_owned()).or_default().push(number);
    }

    /// The origin answered a read: the boxes that missed for it store the key.
    pub fn fetched(&self, id: &str, key: &str) {
        for number in self.missed.borrow_mut().remove(id).unwrap_or_default() {
            if let Some(shelf) = self.shelves.borrow().get(&number) {
                shelf.store(key);
            }
        }
    }

    /// The origin carried out a write: every copy is void.
    pub fn written(&self, key: &str) {
        self.shelves.borrow().values().for_each(|s| s.void(key));
    }
}
