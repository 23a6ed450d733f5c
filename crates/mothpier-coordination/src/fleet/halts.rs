//! Halts by operators and automatic halts of the fleet.

use super::messages::{AuditNote, FleetChange, FleetRefusal, FleetResponse, Kind, Stage};
use super::{Condition, Fleet, FleetResult, Halt, MAX_NAMED_SUBJECTS};

impl Fleet {
    /// Halts the fleet: nothing more is drained, and what is leaving returns to service, the latest first.
    pub(super) fn begin_halt(&mut self, note: AuditNote, by_itself: bool, changes: &mut Vec<FleetChange>) {
        if let Some(halt) = &mut self.halt {
            // A halt by an operator replaces an automatic one and is not ended by the calm timer.
            if halt.by_itself && !by_itself {
                (halt.note, halt.by_itself) = (note.clone(), false);
                self.log_event(None, "halted by staff as well", Some(note));
            }
            return;
        }
        let number = self.next_number();
        self.log_event(None, "halted", Some(note.clone()));
        self.halt = Some(Halt { note, by_itself, number });
        changes.push(FleetChange::Halted { halted: true });
        let unforced_in_stage = |stage: Stage| -> Vec<u64> {
            self.drains.iter().filter(|(_, d)| d.stage == stage && !d.force).map(|(n, _)| *n).collect()
        };
        let (asked, leaving) = (unforced_in_stage(Stage::Asked), unforced_in_stage(Stage::Leaving));
        if self.enforces(Condition::HaltCancelsWaiting) {
            for number in asked {
                let subject = self.drains.get(&number).map(|d| d.subject.clone());
                self.log_event(subject, "taken back by the halt", None);
                self.remove_drain(number, changes);
            }
        }
        if self.enforces(Condition::HaltReturnsLeaving) {
            leaving.into_iter().rev().for_each(|number| self.request_return(number));
        }
    }

    /// Ends a halt on an operator's request.
    pub(super) fn resume(&mut self, note: &AuditNote, changes: &mut Vec<FleetChange>) -> FleetResult {
        if self.halt.take().is_none() {
            return Err(FleetRefusal::NotHalted);
        }
        self.log_event(None, "resumed", Some(note.clone()));
        changes.push(FleetChange::Halted { halted: false });
        Ok(FleetResponse::Done)
    }

    /// Returns the reason for an automatic halt, if there is one: more nodes or cache servers are missing
    /// without a drain than the limits allow, or too many requests are refused.
    pub fn halt_reason(&self) -> Option<String> {
        let missing = [Kind::Node, Kind::Server].into_iter().find_map(|kind| self.too_many_missing(kind));
        missing.or_else(|| self.too_much_refused())
    }

    fn too_many_missing(&self, kind: Kind) -> Option<String> {
        let missing = self.index().of(kind).unplanned();
        let most = self.bound(kind).out_most;
        if missing.len() <= most as usize {
            return None;
        }
        let named =
            missing.iter().take(MAX_NAMED_SUBJECTS).map(String::as_str).collect::<Vec<_>>().join(", ");
        let (count, names) = (missing.len(), kind.names());
        Some(format!("{count} {names} are missing where {most} may be out: {named}"))
    }

    fn too_much_refused(&self) -> Option<String> {
        let most = self.limits.refused_percent?;
        let mean = self.index().serving.mean()?;
        (mean >= u64::from(most)).then(|| format!("nodes refuse or fail {mean} percent of their requests"))
    }
}
