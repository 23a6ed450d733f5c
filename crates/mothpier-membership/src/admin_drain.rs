//! Cache servers that operators have drained, on this node or for the whole fleet. Performs no I/O.
//!
//! This filter is applied after all membership sources, so that operators override every one of them.
//!
//! | reported by the sources | drain state | effective record |
//! | --- | --- | --- |
//! | ready | drained on this node or by a fleet-wide drain | draining |
//! | draining, gone or not listed | drained on this node | as reported; still drained when it comes back |
//! | anything | drain ended | as reported; cold from then on unless a later start than the drain is known |

use std::collections::{BTreeMap, BTreeSet};

use crate::server_record::{Phase, ServerRecord};

/// Maximum number of servers that may be drained at a time: far more than a fleet has. Bounds the memory that
/// callers can make a node use.
pub const MAX_DRAINED: usize = 4_096;
/// Maximum length of a server id, in bytes.
pub const MAX_ID_BYTES: usize = 256;

/// Reason why a drain or a return to service was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminDrainError {
    /// No source lists the server and it is not drained.
    Unknown,
    /// The server is the origin, without which no write can be carried out.
    Origin,
    /// [`MAX_DRAINED`] servers are drained already.
    LimitReached,
}

impl AdminDrainError {
    /// Returns a description for operators.
    pub fn description(self) -> &'static str {
        match self {
            AdminDrainError::Unknown => "no cache server of this id is known here",
            AdminDrainError::Origin => "that is the origin, not a cache server",
            AdminDrainError::LimitReached => "too many cache servers are out by hand",
        }
    }
}

/// The drains in force, and the last record of each server from the sources.
#[derive(Clone, Debug, Default)]
pub struct AdminDrains {
    /// Machine kind of the origin.
    origin: Option<String>,
    /// Records as reported by the sources, by server id.
    listed: BTreeMap<String, ServerRecord>,
    /// Servers drained on this node, with the time at which the drain began.
    admin_drained: BTreeMap<String, u64>,
    /// Servers drained by a fleet-wide drain, with the time at which it began. Kept apart from
    /// `admin_drained` so that ending one kind of drain does not end the other.
    fleet_drained: BTreeMap<String, u64>,
    /// Servers back in service, with the times at which their drain began and ended.
    returned: BTreeMap<String, (u64, u64)>,
}

impl AdminDrains {
    /// Creates a filter without drains. `origin` is the machine kind that marks the origin's record.
    pub fn new(origin: Option<String>) -> Self {
        AdminDrains { origin, ..AdminDrains::default() }
    }

    /// Takes records from the sources, either a complete list (`whole`) or changes only, and returns the
    /// effective records.
    pub fn update(&mut self, whole: bool, mut records: Vec<ServerRecord>) -> Vec<ServerRecord> {
        if whole {
            self.listed.clear();
        }
        for record in &mut records {
            if record.phase == Phase::Gone {
                self.listed.remove(&record.id);
            } else {
                self.listed.insert(record.id.clone(), record.clone());
            }
            *record = self.effective_record(record.clone());
        }
        // An assumed start time lapses when the server goes away: on its return the reported one counts.
        let listed = &self.listed;
        self.returned.retain(|id, _| listed.contains_key(id));
        records
    }

    /// Drains a server. Returns its effective record if this changed it.
    ///
    /// # Errors
    ///
    /// The server is unknown or is the origin, or too many servers are drained.
    pub fn exclude(&mut self, now: u64, id: &str) -> Result<Option<ServerRecord>, AdminDrainError> {
        if self.admin_drained.contains_key(id) {
            return Ok(None);
        }
        let record = self.listed.get(id).ok_or(AdminDrainError::Unknown)?;
        if self.is_origin(record) {
            return Err(AdminDrainError::Origin);
        }
        if self.admin_drained.len() >= MAX_DRAINED {
            return Err(AdminDrainError::LimitReached);
        }
        let record = record.clone();
        self.returned.remove(id);
        self.admin_drained.insert(id.to_owned(), now);
        Ok(Some(self.effective_record(record)))
    }

    /// Puts a server back into service. Returns its effective record if this changed it.
    ///
    /// # Errors
    ///
    /// The server is neither listed nor drained, or is the origin.
    pub fn include(&mut self, now: u64, id: &str) -> Result<Option<ServerRecord>, AdminDrainError> {
        let drained_at = self.admin_drained.remove(id);
        let drained = self.fleet_drained.contains_key(id);
        match (drained_at, self.listed.get(id).cloned()) {
            (Some(_), Some(_)) if drained => Ok(None),
            (None, None) => Err(AdminDrainError::Unknown),
            (None, Some(record)) if self.is_origin(&record) => Err(AdminDrainError::Origin),
            (None, Some(_)) | (Some(_), None) => Ok(None),
            (Some(drained_at), Some(record)) => {
                self.returned.insert(id.to_owned(), (drained_at, now));
                Ok(Some(self.effective_record(record)))
            }
        }
    }

    /// Replaces the complete set of servers that fleet-wide drains cover. Returns the effective records that
    /// this changed.
    pub fn set_fleet_drained(&mut self, now: u64, drained: &BTreeSet<String>) -> Vec<ServerRecord> {
        let mut changed: Vec<ServerRecord> = Vec::new();
        let ended: Vec<(String, u64)> =
            self.fleet_drained.extract_if(.., |id, _| !drained.contains(id)).collect();
        for (id, drained_at) in ended.into_iter().filter(|(id, _)| !self.admin_drained.contains_key(id)) {
            let record = self.listed.get(&id).filter(|record| !self.is_origin(record)).cloned();
            if let Some(record) = record {
                self.returned.insert(id, (drained_at, now));
                changed.push(self.effective_record(record));
            }
        }
        for id in drained.iter().take(MAX_DRAINED) {
            if self.fleet_drained.insert(id.clone(), now).is_none() && !self.admin_drained.contains_key(id) {
                self.returned.remove(id);
                let record = self.listed.get(id).filter(|record| !self.is_origin(record)).cloned();
                changed.extend(record.map(|record| self.effective_record(record)));
            }
        }
        changed
    }

    /// Returns the cache servers that the sources report as ready, drained or not.
    pub fn ready(&self) -> impl Iterator<Item = &ServerRecord> {
        self.listed.values().filter(|record| record.phase == Phase::Ready && !self.is_origin(record))
    }

    /// Returns a filter for the same origin without any drains or records.
    pub fn without_drains(self) -> Self {
        AdminDrains::new(self.origin)
    }

    /// Returns the records as the sources report them, without the effect of drains.
    pub fn listed(&self) -> impl Iterator<Item = &ServerRecord> {
        self.listed.values()
    }

    /// Returns the servers drained on this node, with the time at which each drain began.
    pub fn admin_drained(&self) -> &BTreeMap<String, u64> {
        &self.admin_drained
    }

    /// Replaces the drains of this node by those of an earlier or concurrent process of the same node.
    /// Returns the effective records that this changed.
    pub fn take_over(&mut self, now: u64, admin_drained: &BTreeMap<String, u64>) -> Vec<ServerRecord> {
        let mut changed: Vec<ServerRecord> = Vec::new();
        let returned: Vec<String> =
            self.admin_drained.keys().filter(|id| !admin_drained.contains_key(*id)).cloned().collect();
        for id in returned {
            changed.extend(self.include(now, &id).ok().flatten());
        }
        for (id, drained_at) in admin_drained.iter().take(MAX_DRAINED) {
            if self.admin_drained.insert(id.clone(), *drained_at).is_none() {
                self.returned.remove(id);
                changed.extend(self.listed.get(id).cloned().map(|record| self.effective_record(record)));
            }
        }
        changed
    }

    /// Returns the listed cache servers, each with whether it takes requests (reported ready, not drained).
    pub fn members(&self) -> impl Iterator<Item = (&str, bool)> {
        let servers = self.listed.values().filter(|record| !self.is_origin(record));
        servers.map(|record| (record.id.as_str(), record.phase == Phase::Ready && !self.is_drained(record)))
    }

    fn is_origin(&self, record: &ServerRecord) -> bool {
        self.origin.as_ref().is_some_and(|kind| *kind == record.flavor)
    }

    fn is_drained(&self, record: &ServerRecord) -> bool {
        // A fleet-wide drain of an id does not apply if that id belongs to the origin.
        self.admin_drained.contains_key(&record.id)
            || self.fleet_drained.contains_key(&record.id) && !self.is_origin(record)
    }

    /// Applies the drains to a record from the sources.
    fn effective_record(&self, mut record: ServerRecord) -> ServerRecord {
        if self.is_drained(&record) {
            if record.phase == Phase::Ready {
                record.phase = Phase::Draining;
            }
        } else if let Some((drained_at, returned_at)) = self.returned.get(&record.id)
            && record.up_since_ms <= *drained_at
        {
            // The server was probably restarted while drained, and the sources have not reported it yet.
            record.up_since_ms = *returned_at;
        }
        record
    }
}

#[cfg(test)]
mod tests;
