//! What directed cases and measurements do to a world and read from it.

use std::net::SocketAddr;
use std::time::Duration;

use super::clients::ask_once;
use super::world::World;
use crate::exec::Host;

impl World {
    /// Calls that came to the origin so far, and the most that were there at once.
    pub fn origin_calls(&self) -> (u64, usize) {
        self.origin.borrow().as_ref().map_or((0, 0), |o| (o.came.get(), o.most.get()))
    }

    /// The origin's work takes so many times as long.
    pub fn origin_slows(&self, times: f64) {
        self.with_origin(|o| o.slow.set(times));
    }

    /// Every copy of every key is void.
    pub fn voids_all(&self) {
        for j in 0..self.boxes() {
            self.with_box(j, |b| (0..self.settings.keys).for_each(|k| b.void(&format!("k{k}"))));
        }
    }

    /// Sets how exactly every box and the origin answer; for directed cases.
    pub fn exactly(&self, time: Option<Duration>) {
        let boxes = self.boxes.borrow().len();
        (0..boxes).for_each(|j| self.with_box(j, |b| b.exactly.set(time)));
        self.with_origin(|o| o.exactly.set(time));
    }

    /// Ends the origin's process and starts it again; for directed cases.
    pub fn origin_dies(&self, back_after_ms: u64) {
        self.network.kill(self.origin_host);
        self.later(back_after_ms, |world| world.origin_starts());
    }

    /// Ends a box's process at once and starts it again, cold; for directed cases.
    pub fn box_dies(&self, j: usize, back_after_ms: u64) {
        self.box_ends(j);
        self.later(back_after_ms, move |world| world.box_starts(j, true));
    }

    /// How many boxes there are.
    pub fn boxes(&self) -> usize {
        self.boxes.borrow().len()
    }

    /// A node's agent answers nothing, or does again.
    pub fn list_out(&self, node: usize, out: bool) {
        for agent in &self.agents.borrow()[node] {
            if out {
                agent.silent.set(true);
            } else {
                agent.speak();
            }
        }
    }

    /// How many nodes there are.
    pub fn nodes(&self) -> usize {
        self.nodes.borrow().len()
    }

    /// A box's process ends, and the list is told of it as ever; for measurements.
    pub fn box_dies_for_good(&self, j: usize) {
        self.box_ends(j);
        self.notify(j, "gone", (600, 3_500));
    }

    /// A box is told to drain, as ever.
    pub fn drains(&self, j: usize) {
        self.boxes.borrow_mut()[j].draining = true;
        self.notify(j, "draining", (50, 1_500));
    }

    /// Asks a node for its boxes and their sources: each address that takes requests in its view.
    pub fn look(&self, node: usize, then: impl FnOnce(Vec<String>) + 'static) {
        let (_, host) = self.client(node);
        let (net, at) = (self.network.on(host), self.nodes.borrow()[node].address);
        self.on(host, async move {
            let text = ask_once(&net, at, &["INFO", "sources"]).await.unwrap_or_default();
            let lines = text.lines().filter_map(|l| l.strip_prefix("box:"));
            let ready = lines.filter_map(|l| {
                let mut parts = l.split(',').skip(1);
                let at = parts.next()?;
                (parts.next() == Some("ready")).then(|| at.to_owned())
            });
            then(ready.collect());
        });
    }

    /// Where a box stands.
    pub fn box_at(&self, j: usize) -> SocketAddr {
        self.boxes.borrow()[j].address
    }

    /// The machines of a node and of a box; for directed cases.
    pub fn machines(&self, node: usize, server: usize) -> (Host, Host) {
        (self.nodes.borrow()[node].host, self.boxes.borrow()[server].host)
    }

    /// Tells every agent at once that a box drains; for directed cases.
    pub fn drain_now(&self, j: usize) {
        self.boxes.borrow_mut()[j].draining = true;
        self.notify(j, "draining", (0, 0));
    }

    /// And that it takes requests again.
    pub fn ready_now(&self, j: usize) {
        self.boxes.borrow_mut()[j].draining = false;
        self.notify(j, "ready", (0, 0));
    }
}
