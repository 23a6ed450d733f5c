//! The processes of the cache servers and of the origin, and what the list is told of them.

use std::rc::Rc;

use mothpier_world::Warmth;
use mothpier_world::agent::{Agent, Member};
use mothpier_world::cache_box::{self, CacheBox};
use mothpier_world::origin::Origin;

use super::build::member;
use super::world::World;
use crate::net::SimNet;
use crate::plan::Boxes;

/// One in so many keys is not held by a cache server that starts warm.
const NOT_HELD: u64 = 5;
/// Commands that wait at a cache server for each that it works on.
const QUEUE_PER_SLOT: usize = 16;
/// Part of the nodes' idle time after which a cache server closes a connection.
const SERVER_IDLE: f64 = 0.8;

impl World {
    /// Starts the process of a cache server.
    pub(super) fn box_starts(&self, j: usize, cold: bool) {
        let (host, at) = {
            let b = &self.boxes.borrow()[j];
            (b.host, b.address)
        };
        let net = self.network.on(host);
        let since = cold.then(|| self.exec.now());
        let warmth = Warmth { from: self.settings.warm.0, since, span: self.settings.warm.1 };
        let make = cache_box::Make {
            number: j,
            slots: self.settings.slots,
            queue: self.settings.slots * QUEUE_PER_SLOT,
            work: self.settings.work,
            warmth,
            idle: self.settings.idle.mul_f64(SERVER_IDLE),
            chance: self.settings.chance,
            cluster: self.slots.as_ref().map(|s| s.cluster.clone()),
            through: self.settings.boxes == Boxes::Through,
            large: self.settings.large,
        };
        let capacity = self.settings.slots as f64 / self.settings.work.as_secs_f64().max(1e-6);
        self.oracle.box_starts(j, warmth, capacity);
        let seed = self.settings.seed ^ self.exec.nanos();
        let made = CacheBox::new(net, self.fleet.clone(), make, seed);
        if !cold {
            (0..self.settings.keys).filter(|k| k % NOT_HELD != 0).for_each(|k| made.store(&format!("k{k}")));
        }
        self.fleet.runs(j, made.clone());
        self.boxes.borrow_mut()[j].running = Some(made.clone());
        self.on(host, async move {
            made.serve(at).await.expect("an address of its own");
        });
    }

    /// Ends the process of a cache server at once.
    pub(super) fn box_ends(&self, j: usize) {
        self.fleet.ended(j);
        let host = {
            let b = &mut self.boxes.borrow_mut()[j];
            b.running = None;
            b.host
        };
        self.network.kill(host);
    }

    /// Does something to a cache server that runs.
    pub(super) fn with_box(&self, j: usize, what: impl Fn(&CacheBox<SimNet>)) {
        if let Some(running) = &self.boxes.borrow()[j].running {
            what(running);
        }
    }

    /// The list hears of a box, each agent after its own time.
    pub(super) fn notify(&self, j: usize, phase: &'static str, (least, most): (u64, u64)) {
        let (id, at) = {
            let b = &self.boxes.borrow()[j];
            (b.id.clone(), b.address)
        };
        let up = if phase == "ready" && self.exec.millis() > 0 { self.unix_ms() } else { 0 };
        self.spread(member(&id, at, "m", phase, up), (least, most));
    }

    /// Each agent hears of a member after its own time.
    fn spread(&self, member: Member, (least, most): (u64, u64)) {
        let agents: Vec<[Rc<Agent<SimNet>>; 2]> = self.agents.borrow().clone();
        for pair in agents {
            let (delay, member) = (self.dice.within(least, most), member.clone());
            // Word of one server never overtakes earlier word of it.
            let mut words = self.words.borrow_mut();
            let last = words.entry((pair[0].number, member.id.clone())).or_default();
            *last = (self.exec.millis() + delay).max(*last + 1);
            self.at(*last, move |_| pair.iter().for_each(|a| a.change(member.clone())));
        }
    }

    /// Starts the process of the origin.
    pub(super) fn origin_starts(&self) {
        let Some(origin) = self.origin.borrow().clone() else { return };
        let at = self.origin_address;
        self.on(self.origin_host, async move {
            origin.serve(at).await.expect("an address of its own");
        });
    }

    /// Does something to the origin.
    pub(super) fn with_origin(&self, what: impl Fn(&Origin<SimNet>)) {
        if let Some(origin) = &*self.origin.borrow() {
            what(origin);
        }
    }
}
