//! Consequences of a command: automatic halts, grants, completed stages and returns to service.

use std::collections::BTreeMap;

use super::messages::{AuditNote, FleetChange, Kind, Stage};
use super::{Condition, Drain, Fleet};

impl Fleet {
    /// Applies everything that has become possible: automatic halts, grants and completed stages.
    pub(super) fn apply_consequences(&mut self, changes: &mut Vec<FleetChange>) {
        if self.halt.is_none()
            && self.drains.values().any(|d| d.stage <= Stage::Leaving && !d.force)
            && let Some(why) = self.halt_reason()
        {
            let note = AuditNote { by: "the fleet".into(), reason: why, at_ms: 0 };
            self.begin_halt(note, true, changes);
        }
        // A drain that ends may make room for one that was requested earlier, so repeat until nothing
        // changes.
        loop {
            let before = (self.numbers, self.drains.len());
            self.advance_drains(changes);
            self.start_returns(changes);
            if before == (self.numbers, self.drains.len()) {
                return;
            }
        }
    }

    fn advance_drains(&mut self, changes: &mut Vec<FleetChange>) {
        let numbers: Vec<u64> = self.drains.keys().copied().collect();
        // Hundreds of drains may be waiting, so skip them while no more may be out. If room is freed within
        // this pass, it is granted in the next one, because drains that were skipped come first.
        let mut limit_reached = BTreeMap::new();
        for number in numbers {
            let Some(drain) = self.drains.get(&number) else { continue };
            match drain.stage {
                Stage::Asked => {
                    let kind = drain.subject.kind;
                    let is_limit_reached =
                        *limit_reached.entry(kind).or_insert_with(|| self.is_limit_reached(kind));
                    if self.may_grant(drain, is_limit_reached) {
                        limit_reached.remove(&kind);
                        self.enter_stage(number, Stage::Leaving, changes);
                    }
                }
                Stage::Leaving if drain.back.is_none() && self.departure_confirmed(number, drain) => {
                    self.enter_stage(number, Stage::Out, changes);
                }
                Stage::Returning if self.return_confirmed(number, drain) => {
                    self.begin_warm_up(number, changes)
                }
                _ => {}
            }
        }
    }

    /// Whether a requested drain can be granted now.
    fn may_grant(&self, drain: &Drain, is_limit_reached: bool) -> bool {
        if drain.force {
            return true;
        }
        if is_limit_reached && !self.is_out(&drain.subject) {
            return false;
        }
        let halted = self.halt.is_some() && self.enforces(Condition::HaltCancelsWaiting);
        !halted && self.blocking_limit(&drain.subject).is_none()
    }

    fn begin_warm_up(&mut self, number: u64, changes: &mut Vec<FleetChange>) {
        let Some(drain) = self.drains.get(&number) else { return };
        if drain.subject.kind == Kind::Node || !drain.touched {
            return self.finish_drain(number, changes);
        }
        // A restart during a drain does not need a warm-up of its own.
        let id = drain.subject.id.clone();
        self.set_cold(&id, None);
        self.enter_stage(number, Stage::Cold, changes);
    }

    fn start_returns(&mut self, changes: &mut Vec<FleetChange>) {
        let mut back: Vec<(u64, u64)> = self.drains.iter().filter_map(|(n, d)| Some((d.back?, *n))).collect();
        back.sort_unstable();
        for (_, number) in back {
            let Some(drain) = self.drains.get(&number) else { continue };
            if !matches!(drain.stage, Stage::Leaving | Stage::Out) {
                continue;
            }
            if drain.subject.kind == Kind::Node || self.index().warming < self.limits.cold_most as usize {
                if let Some(drain) = self.drains.get_mut(&number) {
                    drain.back = None;
                }
                self.enter_stage(number, Stage::Returning, changes);
            }
        }
    }

    /// Ends a drain whose subject serves again.
    pub(super) fn finish_drain(&mut self, number: u64, changes: &mut Vec<FleetChange>) {
        let subject = self.drains.get(&number).map(|d| d.subject.clone());
        self.log_event(subject, "back", None);
        self.remove_drain(number, changes);
    }
}
