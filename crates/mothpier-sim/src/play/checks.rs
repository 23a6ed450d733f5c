//! What a healed world is asked for, and what must be true of it in the end.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use mothpier::config::RefreshBudget;
use mothpier::{Call, Control, ResourceCounts};
use mothpier_membership::gossip;
use mothpier_world::client::{Ask, End};
use tokio::sync::oneshot;

use super::clients::ask_once;
use super::world::{World, address, ip};
use super::{PROBE_EVERY_MS, PROBES};
use crate::oracle::Rule;
use crate::plan::Boxes;
use crate::reshuffle::Reshuffle;

/// One in so many of them may go to a box that does not own the slot of its key.
const ASTRAY: u64 = 8;
/// Judged where a node's part of the questions lets it ask once in so many seconds.
const ASKS_WITHIN_S: f64 = 5.0;
/// Nothing is told of a rumour any more so long before the end.
const RUMOURS_OVER_MS: u64 = 5_000;
/// Probes begin so long after the traffic has stopped.
const PROBES_AFTER_MS: u64 = 3_000;
/// Traffic while the world comes to rest, in parts of what it is otherwise.
const HEALING_TRAFFIC: f64 = 0.3;

impl World {
    /// All that is wrong is mended, as it would be in the end.
    pub(super) fn heal(&self) {
        self.exec.trace(format_args!("healing"));
        self.healed.set(true);
        self.traffic.set(HEALING_TRAFFIC);
        self.with_slots(Reshuffle::heal);
        // DNS is no part of what must be whole: the list is enough to serve everything.
        self.with_names(|names| names.heal(&self.dice));
    }

    /// A healed world must serve everything.
    pub(super) fn probe(&self) {
        self.traffic.set(0.0);
        self.exec.trace(format_args!("probing"));
        self.with_slots(|slots| self.astray.set(slots.cluster.counts.get().astray));
        for n in 0..PROBES {
            self.later(PROBES_AFTER_MS + n * PROBE_EVERY_MS, move |world| {
                let ask = Ask {
                    class: if n % 4 == 3 { "send-message" } else { "browse" },
                    write: n % 4 == 3,
                    token: None,
                    wait: Duration::from_millis(1_000),
                    retries: 3,
                    leaves_after: None,
                    ..world.draw_ask()
                };
                let me = world.me.clone();
                let (clients, host) = world.client(n as usize);
                world.on(host, async move {
                    let front = || me.upgrade().map_or(address(0, 0, 0, 6379), |w| w.front());
                    let end = clients.ask(&front, ask.clone()).await;
                    if let Some(world) = me.upgrade().filter(|_| end != End::Served) {
                        let what = format!("a healed world ends a {} as {end:?}", ask.class);
                        world.oracle.breaks(Rule::Progress, what);
                    }
                });
            });
        }
    }

    /// Clients go.
    pub(super) fn part(&self) {
        self.clients.borrow().iter().for_each(|c| c.close_idle());
        self.with_slots(|slots| {
            let astray = slots.cluster.counts.get().astray - self.astray.get();
            // A budget that lets a node ask once in a minute has not brought it the map by then.
            let nodes = self.nodes.borrow().len() as f64;
            let asks = RefreshBudget::default().servers_per_round as f64 * nodes
                <= self.settings.questions_per_s * ASKS_WITHIN_S;
            if asks && astray > PROBES / ASTRAY {
                let what = format!(
                    "in a healed world {astray} of {} requests go to boxes that do not own their slots",
                    PROBES
                );
                self.oracle.breaks(Rule::Progress, what);
            }
        });
        if self.settings.cluster {
            self.same_map();
        }
    }

    /// All nodes show one slot map, in which all of them run.
    fn same_map(&self) {
        let addresses: Vec<SocketAddr> = self.nodes.borrow().iter().map(|n| n.address).collect();
        let (me, (_, host)) = (self.me.clone(), self.client(0));
        let net = self.network.on(host);
        self.on(host, async move {
            let mut maps: Vec<String> = Vec::new();
            for node in addresses {
                let map = ask_once(&net, node, &["CLUSTER", "NODES"]).await;
                maps.push(map.unwrap_or_default().replace("myself,", ""));
            }
            let Some(world) = me.upgrade() else { return };
            let whole = maps[0].lines().count() == maps.len() && !maps[0].contains("fail");
            if !whole || maps.iter().any(|m| *m != maps[0]) {
                world.oracle.breaks(Rule::Progress, format!("nodes show other slot maps than one: {maps:?}"));
            }
        });
    }

    /// After quiet nothing is kept, and every node holds the present list.
    pub(super) fn census(&self) {
        self.check_rumours();
        self.check_names();
        for i in 0..self.nodes.borrow().len() {
            self.check_revision(i);
            self.call(i, Call::Telemetry, move |world, text| world.oracle.reports(i, &text));
            self.check_leaks(i);
        }
    }

    /// Rumours have come to an end.
    fn check_rumours(&self) {
        let told = self.network.posted.borrow().get(&gossip::MAGIC).copied().unwrap_or_default();
        if self.settings.beside.rumours() && told.1 + RUMOURS_OVER_MS > self.exec.millis() {
            let what = format!(
                "{} rumours were told, the last {} ms before the end",
                told.0,
                self.exec.millis() - told.1
            );
            self.oracle.breaks(Rule::Leak, what);
        }
    }

    /// Every node has asked DNS, where it is a source.
    fn check_names(&self) {
        if let Some(names) = &self.names {
            let nodes: Vec<IpAddr> = self.nodes.borrow().iter().map(|n| ip(n.address)).collect();
            if let Some(what) = names.not_asked(&nodes, self.exec.millis()) {
                self.oracle.breaks(Rule::Progress, what);
            }
        }
    }

    /// A node holds the present list.
    fn check_revision(&self, i: usize) {
        let agent = self.agents.borrow()[i][self.nodes.borrow()[i].agent].clone();
        let ((after, _), revision) = (agent.asked.get(), agent.revision.get());
        if after != revision {
            let what = format!("node {i} holds revision {after} of its list, which is at {revision}");
            self.oracle.breaks(Rule::Progress, what);
        }
    }

    /// A node keeps nothing of the requests that it has answered.
    fn check_leaks(&self, i: usize) {
        let members = self.boxes.borrow().len() + usize::from(self.settings.boxes != Boxes::Through);
        let (ask, told) = oneshot::channel::<ResourceCounts>();
        self.tell(i, Control::ResourceCounts(ask));
        let (oracle, host) = (self.oracle.clone(), self.nodes.borrow()[i].host);
        self.on(host, async move {
            let Ok(c) = told.await else {
                return oracle.breaks(Rule::Progress, format!("node {i} answers no more"));
            };
            let quiet = ResourceCounts { servers: c.servers, pools: c.pools, ..ResourceCounts::default() };
            if c != quiet || c.servers != members || c.pools > members {
                oracle.breaks(Rule::Leak, format!("node {i} keeps {c:?} after quiet"));
            }
        });
    }

    /// Ends every process of the world.
    pub(super) fn end(&self) {
        let clients = std::mem::take(&mut *self.clients.borrow_mut());
        drop(clients);
        self.exec.clear();
    }
}
