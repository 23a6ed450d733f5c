//! What goes wrong with the slots of boxes that form a cluster: they change owners, are on their way, and are told
//! wrongly. All of it is seen by the boxes alone; what a node makes of it is judged elsewhere.

use std::cell::Cell;
use std::rc::Rc;

use mothpier_world::Dice;
use mothpier_world::cluster::{Bend, Cluster, SLOTS, Telling, slot_of};

use crate::plan::{Fault, Kind};
use crate::play::World;

/// Between two changes of one fault, milliseconds.
const STEP_MS: u64 = 250;
/// Keys whose slots set out together: the most popular ones.
const TRAVELLERS: u64 = 12;

/// The faults of one cluster.
pub struct Reshuffle {
    /// The cluster.
    pub cluster: Rc<Cluster>,
    boxes: usize,
    dice: Dice,
    /// The box that came back with an old map and hears nothing.
    old: Cell<Option<usize>>,
}

impl Reshuffle {
    /// Of a cluster of so many boxes.
    pub fn new(cluster: Rc<Cluster>, boxes: usize, seed: u64) -> Self {
        Reshuffle { cluster, boxes, dice: Dice::part(seed, 9), old: Cell::new(None) }
    }

    /// A box that hears of what changes.
    fn hearing(&self) -> usize {
        let drawn = self.dice.within(0, self.boxes as u64) as usize;
        if self.old.get() == Some(drawn) { (drawn + 1) % self.boxes } else { drawn }
    }

    /// A fault of slots begins at a box.
    pub fn begins(&self, world: &Rc<World>, fault: &Fault, j: usize) {
        let part = fault.extra.min(100) as f64 / 100.0;
        let bend = |bend| self.cluster.bend(j, Some((bend, part)));
        let ask = self.dice.chance(0.5);
        let (next, port) = ((j + 1) % self.boxes, 6379);
        match fault.kind {
            Kind::Reshuffle => self.step(world, fault.extra, world.exec.millis() + fault.len),
            Kind::Migrate => self.travel(world, j, world.exec.millis() + fault.len),
            Kind::ToItself => bend(Bend::Itself),
            Kind::ToOther => {
                let other = self.dice.within(0, self.boxes as u64);
                bend(Bend::To { place: format!("10.1.0.{}:{port}", other + 1), ask });
            }
            Kind::ToNowhere => bend(Bend::To { place: format!("10.1.0.77:{port}"), ask }),
            Kind::InCircle => {
                self.cluster
                    .bend(j, Some((Bend::To { place: format!("10.1.0.{}:{port}", next + 1), ask }, part)));
                self.cluster
                    .bend(next, Some((Bend::To { place: format!("10.1.0.{}:{port}", j + 1), ask }, part)));
            }
            Kind::Nonsense => {
                let lines = [
                    "MOVED 99999 10.1.0.1:6379",
                    "MOVED 1 10.1.0.1:0",
                    "ASK 1 10.1.0.1:70000",
                    "ASK 1 nobody at all",
                    "MOVED",
                    "MOVED 1 pb7.example.org:6379",
                    "TRYAGAIN Multiple keys request during rehashing of slot",
                    "CLUSTERDOWN The cluster is down",
                    "LOADING Redis is loading the dataset in memory",
                    "MASTERDOWN Link with MASTER is down",
                    "READONLY You can't write against a read only replica.",
                ];
                bend(Bend::Line(lines[self.dice.within(0, lines.len() as u64) as usize].into()));
            }
            Kind::MapSilent => self.cluster.telling(j, Telling::Hangs),
            Kind::MapNoise => self.cluster.telling(j, Telling::Noise),
            Kind::MapHuge => self.cluster.telling(j, Telling::Huge),
            _ => {}
        }
    }

    /// A fault of slots is over.
    pub fn ends(&self, fault: &Fault, j: usize) {
        match fault.kind {
            Kind::ToItself | Kind::ToOther | Kind::ToNowhere | Kind::Nonsense => self.cluster.bend(j, None),
            Kind::InCircle => [j, (j + 1) % self.boxes].iter().for_each(|j| self.cluster.bend(*j, None)),
            Kind::MapSilent | Kind::MapNoise | Kind::MapHuge => self.cluster.telling(j, Telling::Shards),
            _ => {}
        }
    }

    /// A box has gone down: its slots may go to others, some time later.
    pub fn fell(&self, world: &Rc<World>, j: usize, surely: bool) {
        if surely || self.dice.chance(0.5) {
            let (take_over, heard) = (self.dice.within(200, 1_500), self.dice.within(50, 800));
            world.later(take_over, move |world| world.with_slots(|s| s.cluster.bereave(j)));
            world.later(take_over + heard, |world| world.with_slots(|s| s.cluster.gossip()));
        }
    }

    /// A box that went down comes back with the map that it had, and hears of nothing, for good. One in a world.
    pub fn keeps_old_map(&self, j: usize) -> bool {
        let first = self.old.get().is_none();
        if first {
            self.old.set(Some(j));
            self.cluster.stuck(j, true);
        }
        first
    }

    /// All that is wrong is mended, but for the box with the old map, which owns nothing.
    pub fn heal(&self) {
        for j in 0..self.boxes {
            self.cluster.bend(j, None);
            self.cluster.telling(j, Telling::Shards);
        }
        let good: Vec<usize> = (0..self.boxes).filter(|j| self.old.get() != Some(*j)).collect();
        let part = usize::from(SLOTS).div_ceil(good.len());
        for (at, j) in good.iter().enumerate() {
            let (first, last) = (at * part, ((at + 1) * part).min(usize::from(SLOTS)) - 1);
            self.cluster.assign(first as u16..=last as u16, *j);
        }
        self.cluster.gossip();
    }

    /// One change of owners, and the next.
    fn step(&self, world: &Rc<World>, hundredths: u64, until: u64) {
        let most = (u64::from(SLOTS) * hundredths.clamp(1, 100) / 200).max(1);
        let first = self.dice.within(0, u64::from(SLOTS)) as u16;
        let last = first.saturating_add(self.dice.within(0, most) as u16).min(SLOTS - 1);
        self.cluster.assign(first..=last, self.hearing());
        world.later(self.dice.within(20, 800), |world| world.with_slots(|s| s.cluster.gossip()));
        if world.exec.millis() + STEP_MS < until {
            world.later(STEP_MS, move |world| {
                let me = world.clone();
                world.with_slots(|s| s.step(&me, hundredths, until));
            });
        }
    }

    /// The slots of popular keys set out for a box; some turn back, some arrive, all set out again.
    fn travel(&self, world: &Rc<World>, j: usize, until: u64) {
        let to = if self.old.get() == Some(j) { self.hearing() } else { j };
        for key in 0..TRAVELLERS {
            let slot = slot_of(&format!("k{key}"));
            match self.dice.within(0, 4) {
                0 => self.cluster.stay(slot),
                1 => self.cluster.assign(slot..=slot, to),
                _ => self.cluster.migrate(slot, to),
            }
        }
        if world.exec.millis() + STEP_MS < until {
            let next = self.hearing();
            world.later(STEP_MS, move |world| {
                let me = world.clone();
                world.with_slots(|s| s.travel(&me, next, until));
            });
        } else {
            for key in 0..TRAVELLERS {
                self.cluster.stay(slot_of(&format!("k{key}")));
            }
            self.cluster.gossip();
        }
    }
}
