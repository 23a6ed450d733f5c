//! What happens to the world as a fault ends.

use std::rc::Rc;

use mothpier::Call;

use super::faults::HAND_MS;
use super::nodes::FOUND_AGAIN_MS;
use super::world::World;
use crate::net::Post;
use crate::plan::{Fault, Kind, LAST_MS};

impl World {
    /// A fault ends.
    pub(super) fn ends(self: &Rc<Self>, number: usize, fault: &Fault) {
        let boxes = self.boxes.borrow().len();
        let nodes = self.nodes.borrow().len();
        let (j, i) = (fault.target % boxes, fault.target % nodes);
        match fault.kind {
            Kind::Crash | Kind::Silence | Kind::Replace | Kind::OldMap => {
                self.comes_back(number, j, fault.kind)
            }
            Kind::Drain => self.drain_ends(number, j),
            Kind::Hang => self.with_box(j, |b| b.hangs.set(false)),
            Kind::Slow => self.with_box(j, |b| b.slow.set(1.0)),
            Kind::SharedSlow => (0..boxes).for_each(|j| self.with_box(j, |b| b.slow.set(1.0))),
            Kind::HalfAnswer
            | Kind::HalfAndStall
            | Kind::ResetBefore
            | Kind::ResetAfter
            | Kind::CloseBehind
            | Kind::Failed
            | Kind::Busy => self.with_box(j, |b| b.spoil.set(None)),
            Kind::OriginSlow => self.with_origin(|o| o.slow.set(1.0)),
            Kind::OriginFailedBefore
            | Kind::OriginFailedAfter
            | Kind::OriginRefused
            | Kind::OriginExpired
            | Kind::OriginResetBefore
            | Kind::OriginResetAfter
            | Kind::OriginHalfBody => self.with_origin(|o| o.spoil.set(None)),
            Kind::OriginCrash => {
                // Another crash of it may have ended already.
                self.network.kill(self.origin_host);
                self.origin_starts();
            }
            Kind::CutTo | Kind::CutFrom | Kind::CutBoth => self.cut(fault, false),
            Kind::Delay => self.network.delay(self.nodes.borrow()[i].host, 0),
            Kind::Post => self.network.post.set(Post::default()),
            Kind::ListDown | Kind::ListLost => self.agents_speak(i),
            Kind::ListsDown => (0..nodes).for_each(|i| self.agents_speak(i)),
            Kind::NodeKill | Kind::NodeStop => self.node_comes_back(number, fault, i),
            Kind::Burst => self.traffic.set(1.0),
            Kind::Hand => {
                // Not before it has been restarted.
                let (at, over) = (fault.at + HAND_MS, self.exec.millis());
                self.at(at.max(over), move |world| world.back_by_hand(number, j));
            }
            Kind::Evacuate => self.rejoins(number, i),
            Kind::Reshuffle
            | Kind::Migrate
            | Kind::ToItself
            | Kind::ToOther
            | Kind::ToNowhere
            | Kind::InCircle
            | Kind::Nonsense
            | Kind::MapSilent
            | Kind::MapNoise
            | Kind::MapHuge => self.with_slots(|slots| slots.ends(fault, j)),
            Kind::DnsSilent
            | Kind::DnsFails
            | Kind::DnsNoName
            | Kind::DnsEmpty
            | Kind::DnsCut
            | Kind::DnsHalf
            | Kind::DnsForged
            | Kind::DnsNoLife
            | Kind::DnsLongLife
            | Kind::DnsCircle
            | Kind::DnsNoise
            | Kind::DnsOld
            | Kind::DnsPart
            | Kind::DnsLate => self.with_names(|names| names.ends(fault)),
            Kind::Renumber | Kind::Reload | Kind::BadReload | Kind::Pipeline | Kind::Stall | Kind::Leave => {}
        }
    }

    /// A cache server has ended what it had: the process goes, and a new one comes.
    fn drain_ends(&self, number: usize, j: usize) {
        let held = self.boxes.borrow()[j].down_by == Some(number);
        if held {
            self.box_ends(j);
            self.boxes.borrow_mut()[j].draining = false;
            self.comes_back(number, j, Kind::Drain);
        }
    }

    /// A node starts again, once its former process has ended.
    fn node_comes_back(&self, number: usize, fault: &Fault, i: usize) {
        let (held, still) = {
            let node = &self.nodes.borrow()[i];
            (node.down_by == Some(number), node.control.is_some())
        };
        if held && still {
            let fault = fault.clone();
            self.later(100, move |world| world.ends(number, &fault));
        } else if held {
            self.nodes.borrow_mut()[i].down_by = None;
            self.node_starts(i);
        }
    }

    /// A node that was emptied takes clients again; the front hears of it.
    fn rejoins(&self, number: usize, i: usize) {
        if self.nodes.borrow()[i].down_by != Some(number) {
            return;
        }
        self.nodes.borrow_mut()[i].down_by = None;
        self.call(i, Call::Rejoin, |_, _| {});
        let notice = self.dice.within(200, 400);
        let starts = self.nodes.borrow()[i].starts;
        self.later(notice, move |world| {
            let node = &mut world.nodes.borrow_mut()[i];
            node.fronted |= node.starts == starts && node.control.is_some() && node.down_by.is_none();
        });
    }

    /// The operators' order is taken back at every node.
    fn back_by_hand(&self, number: usize, j: usize) {
        let (id, at) = {
            let b = &mut self.boxes.borrow_mut()[j];
            if b.down_by != Some(number) {
                return;
            }
            b.down_by = None;
            (b.id.clone(), b.address)
        };
        for i in 0..self.nodes.borrow().len() {
            self.oracle.by_hand(i, at, false);
            self.call(i, Call::Include(id.clone()), |_, _| {});
        }
    }

    /// The agent that a node is told to ask answers again.
    fn agents_speak(&self, i: usize) {
        // One that a reload has left stays silent for good.
        let now = self.nodes.borrow()[i].agent;
        let pair = self.agents.borrow()[i].clone();
        if pair[now].speak() {
            // What it has counts as told from here on, whoever asks; the way to it takes its time.
            let agent = pair[now].clone();
            self.at(self.exec.millis() + FOUND_AGAIN_MS, move |world| {
                if world.nodes.borrow()[i].agent == now {
                    agent.counts_as_told();
                }
            });
        }
        if self.exec.millis() < LAST_MS {
            pair[1 - now].speak();
        }
    }

    /// A cache server that was taken down starts again, and the list hears of it.
    fn comes_back(&self, number: usize, j: usize, kind: Kind) {
        let host = {
            let b = &mut self.boxes.borrow_mut()[j];
            if b.down_by != Some(number) {
                return;
            }
            b.down_by = None;
            b.host
        };
        if kind == Kind::Silence {
            self.network.silence(host, false);
            self.network.forget(host);
        }
        self.box_starts(j, true);
        // It hears from the others what changed meanwhile.
        self.later(300, |world| world.with_slots(|slots| slots.cluster.gossip()));
        // After any word of its end that is still on its way.
        self.notify(j, "ready", (600, 1_800));
    }
}
