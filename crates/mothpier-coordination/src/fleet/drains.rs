//! Starting, confirming and cancelling drains.

use std::collections::BTreeSet;

use super::messages::{AuditNote, FleetChange, FleetRefusal, FleetResponse, Stage, Subject, Then, Told};
use super::{Condition, Drain, Fleet, FleetResult, MAX_DRAINS, MAX_DURATION_MS, invalid};

impl Fleet {
    /// Returns the drain of a node or cache server.
    pub fn drain_of(&self, subject: &Subject) -> Option<(u64, &Drain)> {
        let number = self.index().drains.get(subject)?;
        Some((*number, self.drains.get(number)?))
    }

    /// Starts or restarts the drain of a node or cache server.
    pub(super) fn start_drain(
        &mut self,
        subject: &Subject,
        note: &AuditNote,
        options: DrainOptions,
        changes: &mut Vec<FleetChange>,
    ) -> FleetResult {
        if !self.contains(subject) {
            return Err(FleetRefusal::Unknown { subject: subject.clone() });
        }
        if let Some(halt) = self.halt.as_ref().filter(|_| !options.force) {
            return Err(FleetRefusal::Halted { note: halt.note.clone() });
        }
        if options.for_ms.is_some_and(|ms| ms > MAX_DURATION_MS) {
            return Err(invalid("a drain's latest end is at most thirty days away"));
        }
        let new_drain = Drain {
            subject: subject.clone(),
            note: note.clone(),
            for_ms: options.for_ms,
            then: options.then,
            force: options.force,
            stage: Stage::Asked,
            turn: 0,
            back: None,
            overdue: false,
            touched: false,
            confirmed: BTreeSet::new(),
        };
        let event = if options.force { "asked, past the limits" } else { "asked" };
        if let Some((number, drain)) = self.drain_of(subject) {
            let (stage, turn, return_requested) = (drain.stage, drain.turn, drain.back.is_some());
            let returning = matches!(stage, Stage::Returning | Stage::Cold) || return_requested;
            if !(returning || options.force && stage == Stage::Asked) {
                return Err(FleetRefusal::Already { number, stage });
            }
            self.log_event(Some(subject.clone()), event, Some(note.clone()));
            // The subject already counts as out, so this exceeds no limit.
            self.put_drain(number, Drain { stage, turn, touched: true, ..new_drain });
            if stage != Stage::Asked && stage != Stage::Out {
                self.enter_stage(number, Stage::Leaving, changes);
            }
            return Ok(FleetResponse::Drain { number, stage });
        }
        if self.drains.len() >= MAX_DRAINS {
            return Err(invalid("more drains than are kept are under way"));
        }
        if let Some(blocked) = self.blocking_limit(subject).filter(|_| !options.wait && !options.force) {
            return Err(FleetRefusal::Limit { blocked });
        }
        self.log_event(Some(subject.clone()), event, Some(note.clone()));
        let number = self.next_number();
        self.put_drain(number, new_drain);
        Ok(FleetResponse::Drain { number, stage: Stage::Asked })
    }

    /// Ends a drain: cancels a waiting one, and otherwise returns the subject to service.
    pub(super) fn return_to_service(
        &mut self,
        subject: &Subject,
        note: &AuditNote,
        changes: &mut Vec<FleetChange>,
    ) -> FleetResult {
        let Some((number, drain)) = self.drain_of(subject) else {
            let known = self.contains(subject);
            return Err(if known {
                FleetRefusal::NotOut
            } else {
                FleetRefusal::Unknown { subject: subject.clone() }
            });
        };
        let stage = drain.stage;
        match stage {
            Stage::Asked => {
                self.log_event(Some(subject.clone()), "taken back", Some(note.clone()));
                self.remove_drain(number, changes);
            }
            Stage::Leaving | Stage::Out => {
                self.log_event(Some(subject.clone()), "back asked", Some(note.clone()));
                self.request_return(number);
            }
            Stage::Returning | Stage::Cold => {}
        }
        Ok(FleetResponse::Drain { number, stage })
    }

    /// Queues a drain for its return to service.
    pub(super) fn request_return(&mut self, number: u64) {
        let position = self.next_number();
        if let Some(drain) = self.drains.get_mut(&number) {
            drain.back.get_or_insert(position);
        }
    }

    /// Records that a node has done what the current stage of a drain requires.
    pub(super) fn confirm(&mut self, session: &str, number: u64, turn: u64) -> FleetResult {
        let name = self.node_of(session)?;
        let must_match_stage = self.enforces(Condition::ConfirmationMatchesStage);
        let drain = self.drains.get_mut(&number).filter(|drain| drain.turn == turn || !must_match_stage);
        if let Some(drain) = drain {
            drain.touched |= drain.stage == Stage::Leaving;
            if drain.confirmed.insert(name) {
                self.index_confirmation(number, true);
            }
        }
        Ok(FleetResponse::Done)
    }

    /// Inserts or replaces a drain and updates the indexes.
    fn put_drain(&mut self, number: u64, drain: Drain) {
        if let Some(previous) = self.drains.insert(number, drain) {
            self.unindex_drain(number, &previous);
        }
        self.index_drain(number);
    }

    /// Moves a drain to a stage.
    pub(super) fn enter_stage(&mut self, number: u64, stage: Stage, changes: &mut Vec<FleetChange>) {
        let turn = self.next_number();
        let Some(mut drain) = self.drains.get(&number).cloned() else { return };
        (drain.stage, drain.turn) = (stage, turn);
        drain.confirmed.clear();
        let subject = drain.subject.clone();
        let event = match stage {
            Stage::Leaving if drain.force => "granted past the limits",
            Stage::Leaving => "granted",
            other => other.name(),
        };
        self.put_drain(number, drain);
        let told = Told { drain: number, subject: subject.clone(), stage, turn };
        changes.push(FleetChange::Drain { told });
        self.log_event(Some(subject), event, None);
    }

    /// Removes a drain that has ended.
    pub(super) fn remove_drain(&mut self, number: u64, changes: &mut Vec<FleetChange>) {
        if let Some(drain) = self.drains.remove(&number) {
            self.unindex_drain(number, &drain);
            changes.push(FleetChange::Ended { drain: number });
        }
    }

    /// Returns the drains as nodes need them, without those that are only waiting.
    pub fn granted_drains(&self) -> Vec<Told> {
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
pub(super) struct DrainOptions {
    /// Maximum duration, in ms from the grant.
    pub(super) for_ms: Option<u64>,
    /// What happens when the maximum duration is over.
    pub(super) then: Then,
    /// Whether the drain may wait until the limits allow it.
    pub(super) wait: bool,
    /// Whether the drain ignores the limits and a halt.
    pub(super) force: bool,
}
