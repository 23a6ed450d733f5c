//! Simulates a tier of many balancers, to show effects of their combined behaviour. Deterministic, without
//! sockets.
#![allow(missing_docs)]

mod common;

use std::collections::{BTreeMap, BTreeSet};

use brassrouter::*;
use common::*;

const NODES: usize = 90;
const SERVERS: u32 = 24;
/// Maximum connections of a server: fewer than there are balancers.
const MAX_CONNECTIONS: usize = 44;
/// Requests per second at each balancer.
const REQUESTS_PER_S: u64 = 5;
const STEP: Micros = 10 * MS;

/// A tier of balancers in front of servers with a limit on connections. A connection over that limit or to a
/// partitioned server is never established.
struct Tier {
    nodes: Vec<Node>,
    /// The balancers that are connected to each server.
    connections: BTreeMap<u32, BTreeSet<usize>>,
    partitioned: BTreeSet<u32>,
    /// Outcomes to deliver and their balancers, by due time and sequence number.
    pending_outcomes: BTreeMap<(Micros, u64), (usize, Outcome)>,
    outcome_count: u64,
    now: Micros,
    requested: u64,
    served: u64,
}

impl Tier {
    fn new() -> Self {
        let node = |balancer: usize| {
            let settings = Settings {
                balancers: NODES as u32,
                own_index: balancer as u32,
                connect_timeout: 250 * MS,
                max_attempts: 3,
                ..settings()
            };
            Node::new(settings, SERVERS)
        };
        let nodes: Vec<Node> = (0..NODES).map(node).collect();
        let now = nodes[0].now;
        Tier {
            nodes,
            connections: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            pending_outcomes: BTreeMap::new(),
            outcome_count: 0,
            now,
            requested: 0,
            served: 0,
        }
    }

    /// Performs the actions of a balancer and schedules the outcomes of its attempts.
    fn perform(&mut self, balancer: usize, actions: &[Action], attempts: &mut BTreeMap<(usize, u64), u16>) {
        for action in actions {
            match action {
                Action::Send { request, server, .. } => {
                    let attempt = attempts.entry((balancer, *request)).or_default();
                    let number = *attempt;
                    *attempt += 1;
                    let connections = self.connections.entry(*server).or_default();
                    let connected = connections.contains(&balancer);
                    let partitioned = self.partitioned.contains(server);
                    let (status, latency) = match (connected, partitioned) {
                        (_, true) if connected => (Status::TimedOut, 700 * MS),
                        (true, _) => (Status::Served, 40 * MS),
                        (false, false) if *server == ORIGIN || connections.len() < MAX_CONNECTIONS => {
                            connections.insert(balancer);
                            (Status::Served, 42 * MS)
                        }
                        _ => (Status::ConnectFailed, 250 * MS),
                    };
                    let finished = status == Status::Served;
                    let outcome = Outcome {
                        request: *request,
                        attempt: number,
                        server: *server,
                        status,
                        request_finished: finished,
                        lookup: CacheLookup::None,
                        elapsed: latency,
                        load: Load::default(),
                    };
                    self.outcome_count += 1;
                    self.pending_outcomes
                        .insert((self.now + latency, self.outcome_count), (balancer, outcome));
                }
                Action::CloseIdle(server) => {
                    self.connections.entry(*server).or_default().remove(&balancer);
                }
                _ => {}
            }
        }
    }

    /// Runs the tier for a time span and returns the share of the requests in it that were served.
    fn run(&mut self, span: Micros, attempts: &mut BTreeMap<(usize, u64), u16>) -> f64 {
        let (requested, served) = (self.requested, self.served);
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            for balancer in 0..NODES {
                let actions = self.nodes[balancer].advance(STEP);
                self.perform(balancer, &actions, attempts);
                // The balancers' requests are offset in time, and each request has a key of its own.
                let phase = self.now / STEP + balancer as u64 * 7;
                if phase.is_multiple_of(100 / REQUESTS_PER_S) {
                    self.requested += 1;
                    let id = self.requested;
                    let actions =
                        self.nodes[balancer].request(read(id, id.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
                    self.perform(balancer, &actions, attempts);
                }
            }
            while let Some(first) =
                self.pending_outcomes.first_entry().filter(|entry| entry.key().0 <= self.now)
            {
                let (balancer, outcome) = first.remove();
                self.served += u64::from(outcome.status == Status::Served);
                let actions = self.nodes[balancer].deliver(Event::Outcome(outcome));
                self.perform(balancer, &actions, attempts);
            }
        }
        (self.served - served) as f64 / (self.requested - requested) as f64
    }
}

#[test]
fn a_tier_recovers_by_itself_after_a_network_partition() {
    // Scenario split+mass, seed 948292074412: connections to partitioned servers timed out, so every balancer
    // kept its idle connections. These filled the connection tables of the other servers, which therefore
    // accepted no new ones, and so idle connections were kept permanently.
    let (mut tier, mut attempts) = (Tier::new(), BTreeMap::new());
    let before = tier.run(8 * SECOND, &mut attempts);
    tier.partitioned = (1..=SERVERS / 5).collect();
    let during = tier.run(6 * SECOND, &mut attempts);
    tier.partitioned.clear();
    tier.run(6 * SECOND, &mut attempts);
    let after = tier.run(5 * SECOND, &mut attempts);
    println!("{before:.3} before, {during:.3} during, {after:.3} after");
    assert!(before > 0.95 && during < before, "{before:.3} before the partition, {during:.3} during it");
    assert!(
        after > before - 0.05,
        "{after:.3} of the requests served 6 s after the partition, {before:.3} before it"
    );
}
