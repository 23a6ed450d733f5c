//! Nodes that are killed or told to end, and started again.

use std::time::{Duration, Instant};

use mothpier_world::Dice;
use rustix::process::Signal;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::ledger::Ledger;
use super::node::Node;
use super::plan;
use super::world::{READY_TIMEOUT, World};

/// A process that was told to end may be killed after this time: the longest deadline, and 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(plan::LONGEST_DEADLINE_MS + 700);
/// Clients that use their connections from before a process is told to end until they are closed or it is killed.
const PERSISTENT_CLIENTS: usize = 3;
/// Their connections are in use by then.
const PERSISTENT_WARM_UP: Duration = Duration::from_millis(100);
/// Numbers of persistent clients, behind those of the others.
const FIRST_PERSISTENT_CLIENT: usize = 100;
/// Between two signals of a series, in milliseconds.
const SIGNAL_PAUSE_MS: (u64, u64) = (1, 60);
/// How often it is looked whether a process has ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(5);

impl World {
    /// Kills a node and starts it again.
    pub(super) async fn kill(&self, node: &Node, lasts: Duration) {
        if node.restarts.replace(true) {
            return;
        }
        let begun = Instant::now();
        node.process.kill().await;
        sleep(lasts.min(Duration::from_millis(500))).await;
        self.start_again(node, begun).await;
    }

    /// Ends a node by signals, the last of which begins its end at the latest, while clients use their connections to it.
    pub(super) async fn terminate(&self, node: &Node, signals: &[Signal]) {
        if node.restarts.replace(true) {
            return;
        }
        for number in 0..PERSISTENT_CLIENTS {
            let client = FIRST_PERSISTENT_CLIENT + self.persistent.replace(self.persistent.get() + 1);
            let dice = Dice::part(self.plan.seed, (client * 100 + node.number * 10 + number) as u64);
            spawn_local(node.clients.clone().persistent_client(client, dice));
        }
        sleep(PERSISTENT_WARM_UP).await;
        let mut told = None;
        for signal in signals {
            node.process.signal(*signal);
            if *signal == Signal::TERM {
                told.get_or_insert_with(Instant::now);
            }
            if signals.len() > 1 {
                sleep(Duration::from_millis(self.dice.within(SIGNAL_PAUSE_MS.0, SIGNAL_PAUSE_MS.1))).await;
            }
        }
        let told = told.unwrap_or_else(Instant::now);
        while !node.process.has_ended() && told.elapsed() < EARLIEST_KILL {
            sleep(END_CHECK_INTERVAL).await;
        }
        if !node.process.has_ended() {
            let mut ledger = self.ledger.borrow_mut();
            let stopped = Ledger::touched(&ledger.stopped, node.number, told, Instant::now());
            if !stopped && ledger.stalled(told, Instant::now()) < Duration::from_millis(100) {
                let what = format!("node {} runs {EARLIEST_KILL:?} after it was told to end", node.number);
                ledger.processes.push(what);
            }
        }
        // Clients who come in the last moment find the listener closed.
        let begun = Instant::now() - Duration::from_millis(5);
        self.ledger.borrow_mut().terminated.push((node.number, told, Instant::now()));
        node.process.kill().await;
        self.start_again(node, begun).await;
    }

    async fn start_again(&self, node: &Node, begun: Instant) {
        if let Err(why) = node.process.start() {
            self.ledger.borrow_mut().processes.push(why);
        }
        let ready = self.ready_within(node, READY_TIMEOUT).await;
        let mut ledger = self.ledger.borrow_mut();
        if !ready {
            ledger
                .processes
                .push(format!("node {} is not ready within {READY_TIMEOUT:?} of its start", node.number));
        }
        ledger.down.push((node.number, begun, Instant::now()));
        node.restarts.set(false);
    }
}
