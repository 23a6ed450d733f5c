//! The staff of a trial of drains, who take nodes and cache servers out and back with the tool.

use std::net::SocketAddr;
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mothpier_coordination::fleet::Fleet;
use mothpier_coordination::fleet::messages::{Kind, Stage};
use mothpier_world::Dice;

use super::{STATUS_INTERVAL, TOOL_TIMEOUT, World};
use crate::drains_judge::Out;

/// A word of a tool that gave up can take effect for as long as its session lives: 10 s, and as much anew under each new
/// leader.
const UNSURE_BACK_US: u64 = 40_000_000;
/// Whoever was refused asks again after this time.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(700);

impl World {
    /// Runs the tool; its exit code, or nothing where it was killed.
    pub async fn tool(&self, arguments: &[&str], within: Duration) -> Option<i32> {
        let at: Vec<String> = self.desk.iter().map(SocketAddr::to_string).collect();
        let mut child = tokio::process::Command::new(std::env::current_exe().ok()?)
            .args(["bound", "--"])
            .arg(&self.tool)
            .arg("fleet")
            .args(arguments)
            .env("MOTHPIER_COORDINATORS", at.join(","))
            .env("MOTHPIER_CLUSTER", "trial")
            .env("USER", "trial")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .ok()?;
        let ended = tokio::time::timeout(within, child.wait()).await;
        let _ = child.kill().await;
        ended.ok()?.ok()?.code()
    }

    /// A person takes something out, and back a little later.
    pub(super) async fn person(self: Rc<Self>, what: (bool, usize), dice: Dice, goes_away: bool) {
        let (is_node, number) = what;
        let (kind, id) = named(is_node, number);
        let within = if goes_away { Duration::from_millis(dice.within(50, 900)) } else { TOOL_TIMEOUT };
        let gives_up = Instant::now() + within;
        let out = loop {
            let left = gives_up.saturating_duration_since(Instant::now());
            match self.tool(&["drain", kind, &id, "--reason", "trial", "--wait"], left).await {
                // Halted, taken back, or another's: asked again a little later.
                Some(4) if left > REFUSED_RETRY_DELAY => tokio::time::sleep(REFUSED_RETRY_DELAY).await,
                ended => break ended,
            }
        };
        let from_us = self.clock.us();
        if out == Some(4) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(dice.within(200, 1500))).await;
        if out == Some(0) {
            if is_node {
                self.nodes_out.set(self.nodes_out.get() + 1);
            } else {
                let until_us = self.clock.us();
                self.outs.borrow_mut().push(Out { server: number, from_us, until_us });
            }
        }
        // Asked until it is known to be done: a drain outlives whoever asked for it.
        self.back(is_node, number).await;
    }

    /// Somebody asks for something's way back.
    async fn back(&self, is_node: bool, number: usize) {
        let (kind, id) = named(is_node, number);
        let (from_us, mut unsure_us) = (self.clock.us(), 0);
        loop {
            match self.tool(&["back", kind, &id, "--reason", "trial"], TOOL_TIMEOUT).await {
                Some(0 | 2) => break,
                // It may have been done, or be done yet, for as long as the tool's session can live.
                _ => unsure_us = UNSURE_BACK_US,
            }
            tokio::time::sleep(STATUS_INTERVAL).await;
        }
        if !is_node {
            let until_us = self.clock.us() + unsure_us;
            self.backs.borrow_mut().push(Out { server: number, from_us, until_us });
        }
    }

    /// What the coordinators tell of the fleet.
    async fn fleet_status(&self) -> Option<Fleet> {
        let at: Vec<String> = self.desk.iter().map(SocketAddr::to_string).collect();
        let asked = tokio::process::Command::new(&self.tool)
            .args(["--format", "json", "fleet", "status", "--cluster", "trial", "--coordinators"])
            .arg(at.join(","))
            .kill_on_drop(true)
            .output();
        let output = tokio::time::timeout(TOOL_TIMEOUT, asked).await.ok()?.ok()?;
        serde_json::from_slice(&output.stdout).ok()
    }

    /// Planted: whoever is out of sight is said to be gone.
    pub(super) async fn guess(self: Rc<Self>) {
        loop {
            tokio::time::sleep(STATUS_INTERVAL).await;
            let Some(fleet) = self.fleet_status().await else { continue };
            for (name, _) in fleet.nodes.iter().filter(|(_, n)| n.session.is_none()) {
                self.tool(&["forget", "node", name, "--reason", "a guess"], TOOL_TIMEOUT).await;
            }
        }
    }

    /// Asks back whatever is still drained: a drain whose asker was killed while its request was on its way belongs to
    /// nobody. Returns whether there is no drain left.
    pub(super) async fn clear_drains(&self) -> bool {
        let Some(fleet) = self.fleet_status().await else { return false };
        for drain in fleet.drains.values().filter(|d| d.stage <= Stage::Out && d.back.is_none()) {
            let number = drain.subject.id.rsplit('-').next().and_then(|n| n.parse().ok());
            if let Some(number) = number {
                self.back(drain.subject.kind == Kind::Node, number).await;
            }
        }
        fleet.drains.is_empty()
    }
}

fn named(is_node: bool, number: usize) -> (&'static str, String) {
    if is_node { ("node", format!("node-{number}")) } else { ("server", format!("s-{number}")) }
}
