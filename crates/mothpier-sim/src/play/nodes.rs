//! The processes of the nodes and of their agents.

use std::rc::Rc;
use std::time::Duration;

use mothpier::config::{self, Listen, Precedence, RefreshBudget};
use mothpier::{Call, Control, Reply};
use mothpier_net::Net;
use tokio::sync::{mpsc, oneshot};

use super::world::{World, address};
use crate::oracle::Rule;
use crate::plan::Boxes;

/// A node finds an agent that speaks again within this time: it asks ten times a second, and each way takes its time.
pub(super) const FOUND_AGAIN_MS: u64 = 250;

impl World {
    /// Starts the process of an agent.
    pub(super) fn agent_starts(&self, node: usize, which: usize) {
        let agent = self.agents.borrow()[node][which].clone();
        let at = address(3, which as u8, node, 8500);
        self.on(self.agent_host(node, which), async move {
            agent.serve(at).await.expect("an address of its own");
        });
    }

    /// Starts the process of a node.
    pub(super) fn node_starts(&self, i: usize) {
        let text = self.config(i);
        let config = config::parse(text.as_bytes(), &|_| None, Precedence::Environment);
        let mut config = config.expect("the simulation's own configuration");
        // A sidecar's file names loopback; here each machine has an address of its own, under which clients find it.
        config.listen = Listen::Address(self.nodes.borrow()[i].address);
        if self.settings.cluster {
            let nodes = self.nodes.borrow();
            config.cluster = Some(nodes.iter().map(|n| n.address).collect());
        }
        config.server_pool = (self.settings.boxes != Boxes::Plain).then(|| config::ServerPoolConfig {
            read_copies: false,
            budget: RefreshBudget {
                tier_per_s: self.settings.questions_per_s,
                idle_interval_ms: 5_000,
                ..RefreshBudget::default()
            },
            wait: Duration::from_millis(400),
        });
        config.sources = self.sources();
        let (control, told) = mpsc::channel(8);
        let host = {
            let node = &mut self.nodes.borrow_mut()[i];
            node.control = Some(control);
            node.starts += 1;
            node.host
        };
        self.oracle.node_starts(i, host, &self.known());
        let net = self.network.on(host);
        let (me, starts) = (self.me.clone(), self.nodes.borrow()[i].starts);
        let running = net.clone();
        net.spawn(async move {
            let ended = mothpier::run(running, config, told).await;
            if let Some(world) = me.upgrade() {
                // Not from within: the process ends once this task is left.
                world.later(0, move |world| world.node_ended(i, starts, &ended));
            }
        });
        // The front notices that it answers, some time later.
        let front = self.dice.within(700, 1_400);
        self.later(front, move |world| {
            let node = &mut world.nodes.borrow_mut()[i];
            if node.starts == starts && node.control.is_some() && node.down_by.is_none() {
                node.fronted = true;
            }
        });
    }

    /// Takes note that the process of a node has ended.
    fn node_ended(&self, i: usize, starts: u32, ended: &Result<(), String>) {
        let (host, asked_for) = {
            let node = &mut self.nodes.borrow_mut()[i];
            if node.starts != starts || node.control.is_none() {
                return;
            }
            node.control = None;
            (node.host, node.down_by.is_some())
        };
        self.network.exit(host);
        if !asked_for {
            self.oracle.breaks(Rule::Progress, format!("node {i} ended by itself: {ended:?}"));
        }
    }

    /// Ends the process of a node at once; the front notices later.
    pub(super) fn node_killed(&self, i: usize) {
        let host = {
            let node = &mut self.nodes.borrow_mut()[i];
            node.control = None;
            node.host
        };
        self.network.kill(host);
        let notice = self.dice.within(500, 2_500);
        self.later(notice, move |world| {
            let node = &mut world.nodes.borrow_mut()[i];
            node.fronted &= node.control.is_some();
        });
    }

    /// Tells a node something, if it runs.
    pub(super) fn tell(&self, i: usize, what: Control) {
        if let Some(control) = &self.nodes.borrow()[i].control {
            let _ = control.try_send(what);
        }
    }

    /// A call of the operators at a node, and what is done with its yes.
    pub(super) fn call(&self, i: usize, call: Call, yes: impl FnOnce(&Rc<World>, String) + 'static) {
        let (tell, told) = oneshot::channel();
        self.tell(i, Control::Call(call, tell));
        let (me, host) = (self.me.clone(), self.nodes.borrow()[i].host);
        self.on(host, async move {
            if let (Ok(Reply::Done(text)), Some(world)) = (told.await, me.upgrade()) {
                yes(&world, text);
            }
        });
    }
}
