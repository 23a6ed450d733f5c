//! Timers of the fleet: maximum durations of drains, ends of cache warm-up, and the end of an automatic
//! halt.

use std::collections::BTreeMap;

use super::messages::{FleetChange, Stage, Then};
use super::timers::Timer;
use super::{Drain, Fleet};

impl Fleet {
    /// Applies a timer that has fired at the leader.
    pub fn due(&mut self, timer: &Timer, changes: &mut Vec<FleetChange>) {
        match timer {
            Timer::End { drain } => {
                let Some(d) = self.drains.get_mut(drain) else { return };
                if d.for_ms.is_none() || d.overdue || d.back.is_some() || d.stage > Stage::Out {
                    return;
                }
                let (subject, then) = (d.subject.clone(), d.then);
                match then {
                    Then::Stay => d.overdue = true,
                    Then::Back => self.wants_back(*drain),
                }
                let what = if then == Then::Stay { "overdue: it stays out" } else { "its time is over" };
                self.happened(Some(subject), what, None);
            }
            Timer::Cold { drain, turn } => {
                let cold = |d: &&Drain| d.stage == Stage::Cold && d.turn == *turn;
                if self.drains.get(drain).filter(cold).is_some() {
                    self.is_back(*drain, changes);
                }
            }
            Timer::Start { server, start } => {
                if self.servers.get(server).is_some_and(|s| s.cold == Some(*start)) {
                    self.set_cold(server, None);
                }
            }
            Timer::Calm { halt } => {
                if self.halt.as_ref().is_some_and(|h| h.number == *halt && h.by_itself)
                    && self.unwell().is_none()
                {
                    self.halt = None;
                    self.happened(None, "resumed after a calm", None);
                    changes.push(FleetChange::Halted { halted: false });
                }
            }
        }
        self.go_on(changes);
        self.check_index();
    }

    /// Returns the timers that the leader should run, with their durations in ms.
    pub fn timers(&self) -> BTreeMap<Timer, u64> {
        let mut all = BTreeMap::new();
        for (number, drain) in &self.drains {
            if let Some(ms) = drain.for_ms
                && matches!(drain.stage, Stage::Leaving | Stage::Out)
                && !drain.overdue
                && drain.back.is_none()
            {
                all.insert(Timer::End { drain: *number }, ms);
            }
            if drain.stage == Stage::Cold {
                all.insert(Timer::Cold { drain: *number, turn: drain.turn }, self.limits.cold_ms);
            }
        }
        for id in &self.index().cold {
            if let Some(start) = self.servers.get(id).and_then(|server| server.cold) {
                all.insert(Timer::Start { server: id.clone(), start }, self.limits.cold_ms);
            }
        }
        if let Some(halt) = self.halt.as_ref().filter(|h| h.by_itself && self.unwell().is_none())
            && let Some(ms) = self.limits.calm_ms
        {
            all.insert(Timer::Calm { halt: halt.number }, ms);
        }
        all
    }
}
