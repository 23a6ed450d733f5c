//! Timers of the fleet: maximum durations of drains, ends of cache warm-up, and the end of an automatic
//! halt.

use std::collections::BTreeMap;

use super::messages::{FleetChange, Stage, Then};
use super::timers::Timer;
use super::{Drain, Fleet};

impl Fleet {
    /// Applies a timer that has fired at the leader.
    pub fn timer_fired(&mut self, timer: &Timer, changes: &mut Vec<FleetChange>) {
        match timer {
            Timer::End { drain } => {
                let Some(d) = self.drains.get_mut(drain) else { return };
                if d.for_ms.is_none() || d.overdue || d.back.is_some() || d.stage > Stage::Out {
                    return;
                }
                let (subject, then) = (d.subject.clone(), d.then);
                match then {
                    Then::Stay => d.overdue = true,
                    Then::Back => self.request_return(*drain),
                }
                let event = if then == Then::Stay { "overdue: it stays out" } else { "its time is over" };
                self.log_event(Some(subject), event, None);
            }
            Timer::Cold { drain, turn } => {
                let is_warming_up = |d: &&Drain| d.stage == Stage::Cold && d.turn == *turn;
                if self.drains.get(drain).filter(is_warming_up).is_some() {
                    self.finish_drain(*drain, changes);
                }
            }
            Timer::Start { server, start } => {
                if self.servers.get(server).is_some_and(|s| s.cold == Some(*start)) {
                    self.set_cold(server, None);
                }
            }
            Timer::Calm { halt } => {
                if self.halt.as_ref().is_some_and(|h| h.number == *halt && h.by_itself)
                    && self.halt_reason().is_none()
                {
                    self.halt = None;
                    self.log_event(None, "resumed after a calm", None);
                    changes.push(FleetChange::Halted { halted: false });
                }
            }
        }
        self.apply_consequences(changes);
        self.check_index();
    }

    /// Returns the timers that the leader should run, with their durations in ms.
    pub fn timers(&self) -> BTreeMap<Timer, u64> {
        let mut timers = BTreeMap::new();
        for (number, drain) in &self.drains {
            if let Some(ms) = drain.for_ms
                && matches!(drain.stage, Stage::Leaving | Stage::Out)
                && !drain.overdue
                && drain.back.is_none()
            {
                timers.insert(Timer::End { drain: *number }, ms);
            }
            if drain.stage == Stage::Cold {
                timers.insert(Timer::Cold { drain: *number, turn: drain.turn }, self.limits.cold_ms);
            }
        }
        for id in &self.index().cold {
            if let Some(start) = self.servers.get(id).and_then(|server| server.cold) {
                timers.insert(Timer::Start { server: id.clone(), start }, self.limits.cold_ms);
            }
        }
        if let Some(halt) = self.halt.as_ref().filter(|h| h.by_itself && self.halt_reason().is_none())
            && let Some(ms) = self.limits.calm_ms
        {
            timers.insert(Timer::Calm { halt: halt.number }, ms);
        }
        timers
    }
}
