//! Boxes that staff have taken out by hand. Pure: a filter behind every source, so that the hand outranks them all.
//!
//! | the sources say | by hand | it counts as |
//! | --- | --- | --- |
//! | ready | out, or drained by the fleet's agreement | draining |
//! | draining, gone, nothing | out | what they say; it stays out when it comes back |
//! | anything | back in | what they say, cold since the call back unless they know of a start after the call out |

use std::collections::{BTreeMap, BTreeSet};

use crate::server_record::{Phase, ServerRecord};

/// Boxes that may be out at a time: far more than a fleet has, and a bound for what callers can make a node keep.
pub const MOST_OUT: usize = 4_096;
/// The longest id that is kept.
pub const MOST_ID: usize = 256;

/// Why a call is not obeyed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminDrainError {
    /// Neither the sources nor the hand know it.
    Unknown,
    /// It is the origin, without which no write goes anywhere.
    Origin,
    /// Too many are out.
    Full,
}

impl AdminDrainError {
    /// In words for staff.
    pub fn name(self) -> &'static str {
        match self {
            AdminDrainError::Unknown => "no cache server of this id is known here",
            AdminDrainError::Origin => "that is the origin, not a cache server",
            AdminDrainError::Full => "too many cache servers are out by hand",
        }
    }
}

/// What staff say of boxes, and what the sources last said of each.
#[derive(Clone, Debug, Default)]
pub struct AdminDrains {
    origin: Option<String>,
    listed: BTreeMap<String, ServerRecord>,
    /// Out, and since when.
    out: BTreeMap<String, u64>,
    /// Drained by the fleet's agreement, and since when: a set of its own, so that neither word undoes the other.
    agreed: BTreeMap<String, u64>,
    /// Back, when they were taken out and when they came back.
    back: BTreeMap<String, (u64, u64)>,
}

impl AdminDrains {
    /// Nothing is out; the origin's machine kind tells what is no cache server.
    pub fn new(origin: Option<String>) -> Self {
        AdminDrains { origin, ..AdminDrains::default() }
    }

    /// Takes what the sources say, whole or changes, and gives it as it counts.
    pub fn list(&mut self, whole: bool, mut lines: Vec<ServerRecord>) -> Vec<ServerRecord> {
        if whole {
            self.listed.clear();
        }
        for line in &mut lines {
            if line.phase == Phase::Gone {
                self.listed.remove(&line.id);
            } else {
                self.listed.insert(line.id.clone(), line.clone());
            }
            *line = self.counts(line.clone());
        }
        // What was assumed of a start holds until the box goes: it comes back under its own start, then.
        let listed = &self.listed;
        self.back.retain(|id, _| listed.contains_key(id));
        lines
    }

    /// Takes a box out. Gives the line that changes by it, if one does.
    ///
    /// # Errors
    ///
    /// One that is not known here or is no cache server.
    pub fn exclude(&mut self, now: u64, id: &str) -> Result<Option<ServerRecord>, AdminDrainError> {
        if self.out.contains_key(id) {
            return Ok(None);
        }
        let line = self.listed.get(id).ok_or(AdminDrainError::Unknown)?;
        if self.is_origin(line) {
            return Err(AdminDrainError::Origin);
        }
        if self.out.len() >= MOST_OUT {
            return Err(AdminDrainError::Full);
        }
        let line = line.clone();
        self.back.remove(id);
        self.out.insert(id.to_owned(), now);
        Ok(Some(self.counts(line)))
    }

    /// Lets a box serve again. Gives the line that changes by it, if one does.
    ///
    /// # Errors
    ///
    /// One that neither the sources nor the hand know.
    pub fn include(&mut self, now: u64, id: &str) -> Result<Option<ServerRecord>, AdminDrainError> {
        let since = self.out.remove(id);
        let drained = self.agreed.contains_key(id);
        match (since, self.listed.get(id).cloned()) {
            (Some(_), Some(_)) if drained => Ok(None),
            (None, None) => Err(AdminDrainError::Unknown),
            (None, Some(line)) if self.is_origin(&line) => Err(AdminDrainError::Origin),
            (None, Some(_)) | (Some(_), None) => Ok(None),
            (Some(since), Some(line)) => {
                self.back.insert(id.to_owned(), (since, now));
                Ok(Some(self.counts(line)))
            }
        }
    }

    /// Who is drained by the fleet's agreement, all of them. Gives the lines that change by it.
    pub fn agree(&mut self, now: u64, drained: &BTreeSet<String>) -> Vec<ServerRecord> {
        let mut changed: Vec<ServerRecord> = Vec::new();
        let over: Vec<(String, u64)> = self.agreed.extract_if(.., |id, _| !drained.contains(id)).collect();
        for (id, since) in over.into_iter().filter(|(id, _)| !self.out.contains_key(id)) {
            let line = self.listed.get(&id).filter(|line| !self.is_origin(line)).cloned();
            if let Some(line) = line {
                self.back.insert(id, (since, now));
                changed.push(self.counts(line));
            }
        }
        for id in drained.iter().take(MOST_OUT) {
            if self.agreed.insert(id.clone(), now).is_none() && !self.out.contains_key(id) {
                self.back.remove(id);
                let line = self.listed.get(id).filter(|line| !self.is_origin(line)).cloned();
                changed.extend(line.map(|line| self.counts(line)));
            }
        }
        changed
    }

    /// The cache servers that the sources say are ready, whatever is said by hand.
    pub fn ready(&self) -> impl Iterator<Item = &ServerRecord> {
        self.listed.values().filter(|line| line.phase == Phase::Ready && !self.is_origin(line))
    }

    /// One that knows of nobody who is out.
    pub fn emptied(self) -> Self {
        AdminDrains::new(self.origin)
    }

    /// What the sources say, without the hand.
    pub fn listed(&self) -> impl Iterator<Item = &ServerRecord> {
        self.listed.values()
    }

    /// Who is out, and since when.
    pub fn out(&self) -> &BTreeMap<String, u64> {
        &self.out
    }

    /// Takes over who is out from an earlier process or another one of this node. Gives the lines that change by it.
    pub fn take_over(&mut self, now: u64, out: &BTreeMap<String, u64>) -> Vec<ServerRecord> {
        let mut changed: Vec<ServerRecord> = Vec::new();
        let back: Vec<String> = self.out.keys().filter(|id| !out.contains_key(*id)).cloned().collect();
        for id in back {
            changed.extend(self.include(now, &id).ok().flatten());
        }
        for (id, since) in out.iter().take(MOST_OUT) {
            if self.out.insert(id.clone(), *since).is_none() {
                self.back.remove(id);
                changed.extend(self.listed.get(id).cloned().map(|line| self.counts(line)));
            }
        }
        changed
    }

    /// The cache servers that the sources name, and whether each takes requests as far as they and the hand say.
    pub fn members(&self) -> impl Iterator<Item = (&str, bool)> {
        let boxes = self.listed.values().filter(|line| !self.is_origin(line));
        boxes.map(|l| (l.id.as_str(), l.phase == Phase::Ready && !self.is_out(l)))
    }

    fn is_origin(&self, line: &ServerRecord) -> bool {
        self.origin.as_ref().is_some_and(|kind| *kind == line.flavor)
    }

    fn is_out(&self, line: &ServerRecord) -> bool {
        // The origin is no cache server, whatever it is called.
        self.out.contains_key(&line.id) || self.agreed.contains_key(&line.id) && !self.is_origin(line)
    }

    /// A line as it counts.
    fn counts(&self, mut line: ServerRecord) -> ServerRecord {
        if self.is_out(&line) {
            if line.phase == Phase::Ready {
                line.phase = Phase::Draining;
            }
        } else if let Some((since, back)) = self.back.get(&line.id)
            && line.up_since_ms <= *since
        {
            // It was likely restarted while out, and the sources are late to tell.
            line.up_since_ms = *back;
        }
        line
    }
}

#[cfg(test)]
mod tests;
