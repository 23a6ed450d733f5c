//! The faults of a plan, one function for each way in which they are brought about.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mothpier_fault_control::Setting;
use rustix::process::Signal;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::discovery;
use super::floods;
use super::node::Node;
use super::plan::{Kind, Trouble};
use super::servers::{Server, Way};
use super::world::World;
use crate::programs::write;

/// What a node is told in a row.
const SIGNAL_SERIES: [Signal; 5] = [Signal::HUP, Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM];
/// Stops of a node, and the time between them, in milliseconds.
const STOP_MS: (u64, u64) = (30, 150);
/// Time between the stops of a node, in milliseconds.
const STOP_PAUSE_MS: (u64, u64) = (50, 200);
/// The span after a start over which the share of a cold server is taken.
const COLD_SPAN: Duration = Duration::from_millis(700);
/// Keys are where they belong so long after the last trouble that moved them, in milliseconds.
const KEYS_SETTLE_MS: u64 = 600;
/// How long after the change of a list all nodes have it where discovery is well.
const LIST_PROPAGATION_TIME: Duration = Duration::from_millis(200);
/// How long a node's file can't be read.
const BAD_FILE_DURATION: Duration = Duration::from_millis(150);

/// Returns the wall clock's time, as a cache server states it for its start. If the machine's clock is set, the server only
/// counts as cold for a longer or shorter time; nothing here waits by it.
fn wall_ms(step_ms: i64) -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as i64) + step_ms
}

impl World {
    /// Brings a fault about, and ends it.
    pub(super) async fn apply(self: Rc<Self>, trouble: Trouble) {
        let node = &self.nodes[trouble.target % self.nodes.len()];
        let server = trouble.target % self.servers.len();
        let lasts = Duration::from_millis(trouble.lasts_ms);
        match trouble.kind {
            Kind::WallStep => self.wall_step(node, server, trouble.step_ms, lasts).await,
            Kind::ShortCalls => {
                self.inject(node, &[(Setting::ShortReads, 500), (Setting::ShortWrites, 500)], lasts).await;
            }
            Kind::BrokenStreams => {
                let begun = Instant::now();
                self.inject(node, &[(Setting::BrokenStreams, 15)], lasts).await;
                self.ledger.borrow_mut().broken.push((node.number, begun, Instant::now()));
            }
            Kind::Interrupts => self.inject(node, &[(Setting::Interrupts, 200)], lasts).await,
            Kind::FailingAccepts => {
                // An aborted connection ends unread, as the error says.
                let begun = Instant::now();
                self.inject(node, &[(Setting::FailingAccepts, 200)], lasts).await;
                self.ledger.borrow_mut().broken.push((node.number, begun, Instant::now()));
            }
            Kind::FailingConnects => self.inject(node, &[(Setting::FailingConnects, 200)], lasts).await,
            Kind::Stops => self.stops(node, lasts).await,
            Kind::Reloads => self.reloads(node, lasts).await,
            Kind::Kill => self.kill(node, lasts).await,
            Kind::Terminate => self.terminate(node, &[Signal::TERM]).await,
            Kind::SignalSeries => self.terminate(node, &SIGNAL_SERIES).await,
            Kind::Drain => {
                self.discovery.change(server, |line| line.ready = false);
                sleep(lasts).await;
                self.discovery.change(server, |line| line.ready = true);
            }
            Kind::Hang => self.server(&self.servers[server], Way::Hangs, lasts).await,
            Kind::Resets => self.server(&self.servers[server], Way::Resets, lasts).await,
            Kind::Slow => self.server(&self.servers[server], Way::Slow, lasts).await,
            Kind::Pieces => self.server(&self.servers[server], Way::Pieces, lasts).await,
            Kind::Closes => self.server(&self.servers[server], Way::Closes, lasts).await,
            Kind::Restart => self.restart_server(server, 0).await,
            Kind::DiscoveryDown => self.discovery(discovery::Way::Down, lasts).await,
            Kind::DiscoverySilent => self.discovery(discovery::Way::Silent, lasts).await,
            Kind::DiscoverySlow => self.discovery(discovery::Way::Slow, lasts).await,
            Kind::OriginFails => self.server(&self.origin, Way::Fails, lasts).await,
            Kind::OriginResets => self.server(&self.origin, Way::Resets, lasts).await,
            Kind::OriginHangs => self.server(&self.origin, Way::Hangs, lasts).await,
            Kind::SecondAnswers => self.server(&self.servers[server], Way::SecondAnswers, lasts).await,
            Kind::SpoiltAnswers => self.server(&self.servers[server], Way::Spoils, lasts).await,
            Kind::BadReload => self.bad_reload(node).await,
            Kind::OriginSlow => self.server(&self.origin, Way::Slow, lasts).await,
            Kind::Departures => {
                node.clients.departing.set(true);
                sleep(lasts).await;
                node.clients.departing.set(false);
            }
            Kind::HalfRequests => {
                for number in 0..4 {
                    let client = spawn_local(node.clients.clone().half_request(number));
                    self.half_requests.borrow_mut().push(client);
                }
            }
            Kind::Flood => {
                floods::start(node.clients.at, trouble.target, lasts);
                sleep(lasts).await;
            }
            Kind::Quiet => {
                node.clients.quiet.set(true);
                sleep(lasts).await;
                node.clients.quiet.set(false);
            }
        }
    }

    async fn inject(&self, node: &Node, settings: &[(Setting, i64)], lasts: Duration) {
        settings.iter().for_each(|(setting, value)| node.set(*setting, *value));
        sleep(lasts).await;
        settings.iter().for_each(|(setting, _)| node.set(*setting, 0));
    }

    async fn server(&self, server: &Rc<Server>, way: Way, lasts: Duration) {
        server.set(way);
        sleep(lasts).await;
        server.set(Way::Well);
    }

    async fn discovery(&self, way: discovery::Way, lasts: Duration) {
        self.discovery.set(way);
        sleep(lasts).await;
        self.discovery.set(discovery::Way::Well);
    }

    async fn wall_step(&self, node: &Node, server: usize, step_ms: i64, lasts: Duration) {
        node.set(Setting::WallOffsetMicros, step_ms * 1000);
        self.restart_server(server, step_ms).await;
        sleep(lasts).await;
        node.set(Setting::WallOffsetMicros, 0);
    }

    /// A cache server has just started, by its own clock; its share of the attempts right after is noted.
    async fn restart_server(&self, server: usize, step_ms: i64) {
        self.discovery.change(server, |line| line.started_ms = wall_ms(step_ms));
        sleep(LIST_PROPAGATION_TIME).await;
        // Only where the word reached all nodes, and nothing else moves keys.
        let from_ms = self.began.get().elapsed().as_millis() as u64;
        let window = from_ms.saturating_sub(KEYS_SETTLE_MS)..from_ms + COLD_SPAN.as_millis() as u64;
        let touches = |t: &&Trouble| t.at_ms < window.end && window.start < t.at_ms + t.lasts_ms;
        if self.plan.troubles.iter().filter(touches).any(Trouble::moves_keys) {
            return;
        }
        let from = self.ledger.borrow().arrivals.len();
        sleep(COLD_SPAN).await;
        let mut ledger = self.ledger.borrow_mut();
        let at = |number: usize| ledger.arrivals[from..].iter().filter(|a| a.server == Some(number)).count();
        let own = at(server);
        let others: usize = (0..self.servers.len()).filter(|n| *n != server).map(at).sum();
        let mean = others as f64 / (self.servers.len() - 1) as f64;
        ledger.cold.push((own, mean));
    }

    async fn stops(&self, node: &Node, lasts: Duration) {
        let until = Instant::now() + lasts;
        let over = until + Duration::from_millis(STOP_MS.1 + STOP_PAUSE_MS.1);
        self.ledger.borrow_mut().stopped.push((node.number, Instant::now(), over));
        while Instant::now() < until {
            node.process.signal(Signal::STOP);
            sleep(Duration::from_millis(self.dice.within(STOP_MS.0, STOP_MS.1))).await;
            node.process.signal(Signal::CONT);
            sleep(Duration::from_millis(self.dice.within(STOP_PAUSE_MS.0, STOP_PAUSE_MS.1))).await;
        }
    }

    /// Several in a row: discovery moves from one entry to the other.
    async fn reloads(&self, node: &Node, lasts: Duration) {
        for entry in [1, 0, 1] {
            if node.name_entry(entry).is_ok() {
                node.process.signal(Signal::HUP);
            }
            sleep(lasts / 3).await;
        }
    }

    /// It is told to read a file that holds half of a configuration, and a good one again.
    async fn bad_reload(&self, node: &Node) {
        // A process that starts meanwhile would find no configuration.
        if node.restarts.replace(true) {
            return;
        }
        if write(&node.file, &node.text[..node.text.len() / 2]).is_ok() {
            node.process.signal(Signal::HUP);
            sleep(BAD_FILE_DURATION).await;
        }
        if node.name_entry(0).is_ok() {
            node.process.signal(Signal::HUP);
        }
        node.restarts.set(false);
    }
}
