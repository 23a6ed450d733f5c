//! What happens to the world as a fault begins.

use std::rc::Rc;
use std::time::Duration;

use mothpier::config::{self, Precedence};
use mothpier::{Call, Control};
use mothpier_world::client::Ask;
use mothpier_world::{cache_box, origin};

use super::world::World;
use crate::net::Post;
use crate::plan::{Fault, Kind};

/// A cache server that is out by an operator's order has been restarted by then, milliseconds.
pub(super) const HAND_MS: u64 = 1_500;
/// A node that was told to stop ends within the longest deadline and 0.7 s more, milliseconds; then it is killed.
const STOP_MS: u64 = 1_500 + 700;
/// Clients that stall at once.
const STALLED_CLIENTS: usize = 4;
/// Most commands in a pipeline.
const MOST_PIPELINED: u64 = 100;
/// Most clients that leave in one fault.
const MOST_LEAVING: u64 = 40;
/// A cache server's work takes at most so many times as long where all are slow.
const MOST_SHARED_SLOW: f64 = 3.0;
/// Traffic in a burst, in parts of what it is otherwise.
const BURST: f64 = 2.5;

impl World {
    /// Lets a fault begin and end at its times.
    pub(super) fn plan(&self, number: usize, fault: Fault) {
        let ends = fault.clone();
        self.at(fault.at, move |world| {
            if world.healed.get() {
                return;
            }
            world.exec.trace(format_args!("fault {fault}"));
            world.begins(number, &fault);
        });
        self.at(ends.at + ends.len, move |world| {
            world.exec.trace(format_args!("fault over {ends}"));
            world.ends(number, &ends);
        });
    }

    /// A fault begins.
    fn begins(self: &Rc<Self>, number: usize, fault: &Fault) {
        let boxes = self.boxes.borrow().len();
        let nodes = self.nodes.borrow().len();
        let (j, i) = (fault.target % boxes, fault.target % nodes);
        let part = fault.extra.min(100) as f64 / 100.0;
        let tenths = fault.extra as f64 / 10.0;
        match fault.kind {
            Kind::Crash | Kind::Silence | Kind::OldMap => self.server_crashes(number, fault.kind, j),
            Kind::Replace => self.server_is_replaced(number, j),
            Kind::Drain => self.server_drains(number, j),
            Kind::Hang => self.with_box(j, |b| b.hangs.set(true)),
            Kind::Slow => self.with_box(j, |b| b.slow.set(tenths)),
            Kind::SharedSlow => {
                (0..boxes).for_each(|j| self.with_box(j, |b| b.slow.set(tenths.min(MOST_SHARED_SLOW))))
            }
            Kind::HalfAnswer => self.spoil(j, cache_box::Spoil::HalfAnswer, part),
            Kind::HalfAndStall => self.spoil(j, cache_box::Spoil::HalfAndStall, part),
            Kind::ResetBefore => self.spoil(j, cache_box::Spoil::ResetBefore, part),
            Kind::ResetAfter => self.spoil(j, cache_box::Spoil::ResetAfter, part),
            Kind::CloseBehind => self.spoil(j, cache_box::Spoil::CloseBehind, part),
            Kind::Failed => self.spoil(j, cache_box::Spoil::Failed, part),
            Kind::Busy => self.spoil(j, cache_box::Spoil::Busy, part),
            Kind::OriginSlow => self.with_origin(|o| o.slow.set(tenths)),
            Kind::OriginFailedBefore => self.spoil_origin(origin::Spoil::FailedBefore, part),
            Kind::OriginFailedAfter => self.spoil_origin(origin::Spoil::FailedAfter, part),
            Kind::OriginRefused => self.spoil_origin(origin::Spoil::Refused, part),
            Kind::OriginExpired => self.spoil_origin(origin::Spoil::Expired, part),
            Kind::OriginResetBefore => self.spoil_origin(origin::Spoil::ResetBefore, part),
            Kind::OriginResetAfter => self.spoil_origin(origin::Spoil::ResetAfter, part),
            Kind::OriginHalfBody => self.spoil_origin(origin::Spoil::HalfBody, part),
            Kind::OriginCrash => self.network.kill(self.origin_host),
            Kind::CutTo | Kind::CutFrom | Kind::CutBoth => self.cut(fault, true),
            Kind::Delay => self.network.delay(self.nodes.borrow()[i].host, fault.extra * 1_000_000),
            Kind::Post => {
                self.network.post.set(Post { lost: part, doubled: part / 2.0, late_ms: fault.extra })
            }
            Kind::ListDown => self.agents.borrow()[i].iter().for_each(|a| a.silent.set(true)),
            Kind::ListsDown => self.agents.borrow().iter().flatten().for_each(|a| a.silent.set(true)),
            Kind::ListLost => self.agents.borrow()[i].iter().for_each(|a| a.lose()),
            Kind::Renumber => self.agents_restart(i),
            Kind::NodeKill => {
                if self.takes_node_down(number, i) {
                    self.node_killed(i);
                }
            }
            Kind::NodeStop => {
                if self.takes_node_down(number, i) {
                    self.node_stops(i);
                }
            }
            Kind::Reload => self.reload(i),
            Kind::BadReload => {
                let read = config::parse(b"{\"discovery\":", &|_| None, Precedence::File);
                self.tell(i, Control::Reload(read.map(Box::new)));
            }
            Kind::Pipeline => {
                let asks: Vec<Ask> = (0..fault.extra.min(MOST_PIPELINED)).map(|_| self.draw_ask()).collect();
                self.pipeline(fault.target, asks);
            }
            Kind::Stall => self.clients_stall(fault),
            Kind::Leave => self.clients_leave(fault),
            Kind::Burst => self.traffic.set(BURST),
            Kind::Hand => self.out_by_hand(number, j),
            Kind::Evacuate => self.evacuates(number, i),
            Kind::Reshuffle
            | Kind::Migrate
            | Kind::ToItself
            | Kind::ToOther
            | Kind::ToNowhere
            | Kind::InCircle
            | Kind::Nonsense
            | Kind::MapSilent
            | Kind::MapNoise
            | Kind::MapHuge => self.with_slots(|slots| slots.begins(self, fault, j)),
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
            | Kind::DnsLate => self.with_names(|names| names.begins(fault)),
        }
    }

    /// The process of a cache server ends; the list hears of it later.
    fn server_crashes(self: &Rc<Self>, number: usize, kind: Kind, j: usize) {
        if !self.takes_down(number, j) {
            return;
        }
        let surely = kind == Kind::OldMap && self.slots.as_ref().is_some_and(|slots| slots.keeps_old_map(j));
        self.with_slots(|slots| slots.fell(self, j, surely));
        if kind == Kind::Silence {
            self.network.silence(self.boxes.borrow()[j].host, true);
        }
        self.box_ends(j);
        let notice = if kind == Kind::Silence { (2_000, 6_000) } else { (600, 3_000) };
        self.while_down(j, number, notice);
    }

    /// A cache server is replaced by one with another name at the same address.
    fn server_is_replaced(&self, number: usize, j: usize) {
        if !self.takes_down(number, j) {
            return;
        }
        self.box_ends(j);
        self.notify(j, "gone", (300, 1_500));
        let b = &mut self.boxes.borrow_mut()[j];
        b.replaced += 1;
        b.id = format!("s-{j}r{}", b.replaced);
    }

    /// A cache server is told to drain.
    fn server_drains(&self, number: usize, j: usize) {
        let free = {
            let b = &mut self.boxes.borrow_mut()[j];
            let free = b.down_by.is_none() && !b.draining;
            b.draining |= free;
            if free {
                b.down_by = Some(number);
            }
            free
        };
        if free {
            self.notify(j, "draining", (50, 1_500));
        }
    }

    /// The agents of a node start without memory: what they knew of cache servers that went is gone.
    fn agents_restart(&self, i: usize) {
        for which in 0..2 {
            self.network.kill(self.agent_host(i, which));
            self.agents.borrow()[i][which].renumber();
            self.agent_starts(i, which);
        }
    }

    /// Marks a node that runs as taken down by a fault; whether it was free for that.
    fn takes_node_down(&self, number: usize, i: usize) -> bool {
        let node = &mut self.nodes.borrow_mut()[i];
        let free = node.down_by.is_none() && node.control.is_some();
        if free {
            node.down_by = Some(number);
        }
        free
    }

    /// A node is told to stop. What has not ended in time is killed.
    fn node_stops(&self, i: usize) {
        self.tell(i, Control::Stop);
        let notice = self.dice.within(200, 400);
        self.later(notice, move |world| world.nodes.borrow_mut()[i].fronted = false);
        let starts = self.nodes.borrow()[i].starts;
        self.later(STOP_MS, move |world| {
            let node = &world.nodes.borrow()[i];
            let still = node.starts == starts && node.control.is_some();
            if still {
                world.later(0, move |world| world.node_killed(i));
            }
        });
    }

    /// A node reads its configuration again, which names the other one of its agents.
    fn reload(&self, i: usize) {
        let agent = {
            let node = &mut self.nodes.borrow_mut()[i];
            node.agent = 1 - node.agent;
            node.agent
        };
        self.agents.borrow()[i][agent].speak();
        let text = self.config(i);
        let read = config::parse(text.as_bytes(), &|_| None, Precedence::File);
        self.tell(i, Control::Reload(read.map(Box::new)));
        // The old one goes for good, some time later.
        self.later(2_500, move |world| {
            if world.nodes.borrow()[i].agent == agent {
                world.agents.borrow()[i][1 - agent].silent.set(true);
            }
        });
    }

    /// Clients ask and do not read.
    fn clients_stall(&self, fault: &Fault) {
        let (clients, host) = self.client(fault.target);
        let (node, stay) = (self.front(), Duration::from_millis(fault.len));
        for _ in 0..STALLED_CLIENTS {
            let clients = clients.clone();
            self.on(host, async move { clients.stall(node, stay).await });
        }
    }

    /// Clients ask and leave before they are answered.
    fn clients_leave(&self, fault: &Fault) {
        for n in 0..fault.extra.min(MOST_LEAVING) {
            let leaves = Some(Duration::from_micros(self.dice.within(100, 60_000)));
            let ask = Ask { leaves_after: leaves, retries: 0, ..self.draw_ask() };
            self.at(self.exec.millis() + n * fault.len / MOST_LEAVING, move |world| {
                world.ask(n as usize, ask);
            });
        }
    }

    /// A node is emptied, if others are left that clients are dealt to.
    fn evacuates(&self, number: usize, i: usize) {
        let others = self.nodes.borrow().iter().enumerate().any(|(n, node)| n != i && node.fronted);
        let node = &mut self.nodes.borrow_mut()[i];
        if others && node.down_by.is_none() && node.control.is_some() && node.fronted {
            node.down_by = Some(number);
            self.later(0, move |world| world.emptied(number, i));
        }
    }

    /// All nodes are told that a box is out; it is restarted meanwhile, and the list hears of it late.
    fn out_by_hand(&self, number: usize, j: usize) {
        if !self.takes_down(number, j) {
            return;
        }
        let (id, at) = {
            let b = &self.boxes.borrow()[j];
            (b.id.clone(), b.address)
        };
        for i in 0..self.nodes.borrow().len() {
            self.call(i, Call::Exclude(id.clone()), move |world, _| world.oracle.by_hand(i, at, true));
        }
        let (ends, starts) = (self.dice.within(600, 900), self.dice.within(1_000, HAND_MS));
        self.later(ends, move |world| world.box_ends(j));
        self.later(starts, move |world| {
            world.box_starts(j, true);
            world.later(300, |world| world.with_slots(|slots| slots.cluster.gossip()));
            world.notify(j, "ready", (200, 2_500));
        });
    }

    /// A node is emptied; the front hears its no and sends for a little longer. After 4 s nobody is there.
    fn emptied(&self, number: usize, i: usize) {
        let (call, starts) = (self.exec.nanos(), self.nodes.borrow()[i].starts);
        self.call(i, Call::Evacuate, |_, _| {});
        let notice = self.dice.within(200, 320);
        self.later(notice, move |world| world.nodes.borrow_mut()[i].fronted = false);
        self.later(4_000, move |world| {
            let still = {
                let node = &world.nodes.borrow()[i];
                node.down_by == Some(number) && node.starts == starts
            };
            if still {
                world.oracle.emptied(i, call);
            }
        });
    }

    /// What a cache server does wrongly from now on, and with which part of the commands.
    fn spoil(&self, j: usize, spoil: cache_box::Spoil, part: f64) {
        self.with_box(j, |b| b.spoil.set(Some((spoil, part))));
    }

    /// What the origin does wrongly from now on, and with which part of the calls.
    fn spoil_origin(&self, spoil: origin::Spoil, part: f64) {
        self.with_origin(|o| o.spoil.set(Some((spoil, part))));
    }

    /// Cuts a node off from a cache server, or joins them again.
    pub(super) fn cut(&self, fault: &Fault, cut: bool) {
        let (nodes, boxes) = (self.nodes.borrow(), self.boxes.borrow());
        let node = nodes[fault.target % nodes.len()].host;
        let server = boxes[fault.extra as usize % boxes.len()].host;
        if fault.kind != Kind::CutFrom {
            self.network.cut(node, server, cut);
        }
        if fault.kind != Kind::CutTo {
            self.network.cut(server, node, cut);
        }
    }

    /// Marks a cache server as taken down by a fault; whether it was free for that.
    fn takes_down(&self, number: usize, j: usize) -> bool {
        let b = &mut self.boxes.borrow_mut()[j];
        let free = b.down_by.is_none();
        if free {
            b.down_by = Some(number);
        }
        free
    }

    /// The list says that a box is gone, if it still is when the notice comes.
    fn while_down(&self, j: usize, number: usize, (least, most): (u64, u64)) {
        let notice = self.dice.within(least, most);
        self.later(notice, move |world| {
            let down = world.boxes.borrow()[j].down_by == Some(number);
            if down {
                world.notify(j, "gone", (0, 500));
            }
        });
    }
}
