//! Starting, confirming and cancelling drains.

use std::collections::BTreeSet;

use super::messages::{AuditNote, FleetChange, FleetRefusal, FleetResponse, Stage, Subject, Then, Told};
use super::{Answered, Condition, DRAINS, Drain, Fleet, LONGEST_MS, bad};

impl Fleet {
    /// Returns the drain of a node or cache server.
    pub fn drain_of(&self, subject: &Subject) -> Option<(u64, &Drain)> {
        let number = self.index().drains.get(subject)?;
        Some((*number, self.drains.get(number)?))
    }

    /// Starts or restarts the drain of a node or cache server.
    pub(super) fn drain(
        &mut self,
        subject: &Subject,
        note: &AuditNote,
        wanted: Wanted,
        changes: &mut Vec<FleetChange>,
    ) -> Answered {
        if !self.knows(subject) {
            return Err(FleetRefusal::Unknown { subject: subject.clone() });
        }
        if let Some(halt) = self.halt.as_ref().filter(|_| !wanted.force) {
            return Err(FleetRefusal::Halted { note: halt.note.clone() });
        }
        if wanted.for_ms.is_some_and(|ms| ms > LONGEST_MS) {
            return Err(bad("a drain's latest end is at most thirty days away"));
        }
        let fresh = Drain {
            subject: subject.clone(),
            note: note.clone(),
            for_ms: wanted.for_ms,
            then: wanted.then,
            force: wanted.force,
            stage: Stage::Asked,
            turn: 0,
            back: None,
            overdue: false,
            touched: false,
            confirmed: BTreeSet::new(),
        };
        let how = if wanted.force { "asked, past the limits" } else { "asked" };
        if let Some((number, drain)) = self.drain_of(subject) {
            let (stage, turn, asked_back) = (drain.stage, drain.turn, drain.back.is_some());
            let again = matches!(stage, Stage::Returning | Stage::Cold) || asked_back;
            if !(again || wanted.force && stage == Stage::Asked) {
                return Err(FleetRefusal::Already { number, stage });
            }
            self.happened(Some(subject.clone()), how, Some(note.clone()));
            // The subject already counts as out, so this exceeds no limit.
            self.put_drain(number, Drain { stage, turn, touched: true, ..fresh });
            if stage != Stage::Asked && stage != Stage::Out {
                self.to(number, Stage::Leaving, changes);
            }
            return Ok(FleetResponse::Drain { number, stage });
        }
        if self.drains.len() >= DRAINS {
            return Err(bad("more drains than are kept are under way"));
        }
        if let Some(blocked) = self.why_not(subject).filter(|_| !wanted.wait && !wanted.force) {
            return Err(FleetRefusal::Limit { blocked });
        }
        self.happened(Some(subject.clone()), how, Some(note.clone()));
        let number = self.number();
        self.put_drain(number, fresh);
        Ok(FleetResponse::Drain { number, stage: Stage::Asked })
    }

    /// Ends a drain: cancels a waiting one, and otherwise returns the subject to service.
    pub(super) fn back(
        &mut self,
        subject: &Subject,
        note: &AuditNote,
        changes: &mut Vec<FleetChange>,
    ) -> Answered {
        let Some((number, drain)) = self.drain_of(subject) else {
            let known = self.knows(subject);
            return Err(if known {
                FleetRefusal::NotOut
            } else {
                FleetRefusal::Unknown { subject: subject.clone() }
            });
        };
        let stage = drain.stage;
        match stage {
            Stage::Asked => {
                self.happened(Some(subject.clone()), "taken back", Some(note.clone()));
                self.ended(number, changes);
            }
            Stage::Leaving | Stage::Out => {
                self.happened(Some(subject.clone()), "back asked", Some(note.clone()));
                self.wants_back(number);
            }
            Stage::Returning | Stage::Cold => {}
        }
        Ok(FleetResponse::Drain { number, stage })
    }

    /// Queues a drain for its return to service.
    pub(super) fn wants_back(&mut self, number: u64) {
        let place = self.number();
        if let Some(drain) = self.drains.get_mut(&number) {
            drain.back.get_or_insert(place);
        }
    }

    /// Records that a node has done what the current stage of a drain requires.
    pub(super) fn confirm(&mut self, session: &str, number: u64, turn: u64) -> Answered {
        let name = self.node_of(session)?;
        let this_turn = self.holds(Condition::OfThisTurn);
        let drain = self.drains.get_mut(&number).filter(|drain| drain.turn == turn || !this_turn);
        if let Some(drain) = drain {
            drain.touched |= drain.stage == Stage::Leaving;
            if drain.confirmed.insert(name) {
                self.confirmed_in_index(number, true);
            }
        }
        Ok(FleetResponse::Done)
    }

    /// Inserts or replaces a drain and updates the indexes.
    fn put_drain(&mut self, number: u64, drain: Drain) {
        if let Some(before) = self.drains.insert(number, drain) {
            self.drain_out_of_index(number, &before);
        }
        self.drain_into_index(number);
    }

    /// Moves a drain to a stage.
    pub(super) fn to(&mut self, number: u64, stage: Stage, changes: &mut Vec<FleetChange>) {
        let turn = self.number();
        let Some(mut drain) = self.drains.get(&number).cloned() else { return };
        (drain.stage, drain.turn) = (stage, turn);
        drain.confirmed.clear();
        let subject = drain.subject.clone();
        let what = match stage {
            Stage::Leaving if drain.force => "granted past the limits",
            Stage::Leaving => "granted",
            other => other.name(),
        };
        self.put_drain(number, drain);
        let told = Told { drain: number, subject: subject.clone(), stage, turn };
        changes.push(FleetChange::Drain { told });
        self.happened(Some(subject), what, None);
    }

    /// Removes a drain that has ended.
    pub(super) fn ended(&mut self, number: u64, changes: &mut Vec<FleetChange>) {
        if let Some(drain) = self.drains.remove(&number) {
            self.drain_out_of_index(number, &drain);
            changes.push(FleetChange::Ended { drain: number });
        }
    }

    /// Returns the drains as nodes need them, without those that are only waiting.
    pub fn told(&self) -> Vec<Told> {
        let told = |(number, d): (&u64, &Drain)| Told {
            drain: *number,
            subject: d.subject.clone(),
            stage: d.stage,
            turn: d.turn,
        };
        self.drains.iter().filter(|(_, d)| d.stage != Stage::Asked).map(told).collect()
    }
}

/// Options of a requested drain.
#[derive(Clone, Copy)]
pub(super) struct Wanted {
    /// Maximum duration, in ms from the grant.
    pub(super) for_ms: Option<u64>,
    /// What happens when the maximum duration is over.
    pub(super) then: Then,
    /// Whether the drain may wait until the limits allow it.
    pub(super) wait: bool,
    /// Whether the drain ignores the limits and a halt.
    pub(super) force: bool,
}
