//! The balancers' shares of what the origin accepts: with a share of less than one call, balancers take
//! turns.
#![allow(missing_docs)]

mod common;

use std::collections::BTreeMap;

use brassrouter::*;
use common::*;

/// Balancers on a common clock, whose calls to the origin all take the same time.
struct Fleet {
    nodes: Vec<Node>,
    call_duration: Micros,
    /// Outstanding calls: end time, balancer and request, with the number of the attempt.
    outstanding: BTreeMap<(Micros, usize, RequestId), u16>,
    next_request: RequestId,
    max_outstanding: usize,
    calls_by_node: Vec<u64>,
    refused_count: u64,
}

impl Fleet {
    fn new(balancer_count: u32, shares: OriginLimits, call_duration: Micros) -> Fleet {
        let settings = |index| Settings {
            balancers: balancer_count,
            own_index: index,
            origin_limits: Some(shares),
            ..settings()
        };
        let nodes = (0..balancer_count).map(|index| Node::just_started(settings(index), 3)).collect();
        let calls_by_node = vec![0; balancer_count as usize];
        Fleet {
            nodes,
            call_duration,
            outstanding: BTreeMap::new(),
            next_request: 1,
            max_outstanding: 0,
            calls_by_node,
            refused_count: 0,
        }
    }

    /// Records the calls and refusals among a balancer's actions.
    fn record(&mut self, node: usize, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { request, server: ORIGIN, .. } => {
                    let call_end = self.nodes[node].now + self.call_duration;
                    self.outstanding.insert((call_end, node, *request), 0);
                    self.calls_by_node[node] += 1;
                }
                Action::Refuse { .. } => self.refused_count += 1,
                _ => {}
            }
        }
        self.max_outstanding = self.max_outstanding.max(self.outstanding.len());
    }

    /// Advances all balancers by a time step and ends the calls that are due.
    fn step(&mut self, step: Micros) {
        let end = self.nodes[0].now + step;
        while let Some(((call_end, node, request), attempt)) = self.outstanding.pop_first() {
            if call_end > end {
                self.outstanding.insert((call_end, node, request), attempt);
                break;
            }
            let outcome = Outcome {
                request,
                attempt,
                server: ORIGIN,
                status: Status::Served,
                request_finished: true,
                lookup: CacheLookup::None,
                elapsed: self.call_duration,
                load: Load::default(),
            };
            let actions = self.nodes[node].deliver(Event::Outcome(outcome));
            self.record(node, &actions);
        }
        for node in 0..self.nodes.len() {
            let actions = self.nodes[node].advance(step);
            self.record(node, &actions);
        }
    }

    /// Sends a write request to each of these balancers.
    fn write(&mut self, nodes: impl Iterator<Item = usize>) {
        for node in nodes {
            let request = Request { time_left: SECOND, ..write(self.next_request, 2) };
            self.next_request += 1;
            let actions = self.nodes[node].request(request);
            self.record(node, &actions);
        }
    }
}

#[test]
fn all_balancers_together_never_have_more_outstanding_calls_than_the_origin_accepts() {
    for (balancer_count, limit) in [(200, 80.0), (200, 10.0), (50, 49.0), (12, 8.0), (7, 20.0), (3, 4.0)] {
        let mut fleet = Fleet::new(
            balancer_count,
            OriginLimits { max_outstanding: limit, max_calls_per_s: f64::INFINITY },
            40 * MS,
        );
        // Every balancer has calls to make all the time, as when all cached values expire at once.
        for step in 0..200 {
            if step % 4 == 0 {
                fleet.write(0..balancer_count as usize);
            }
            if step == 40 {
                // By now the balancers have measured how long calls take.
                fleet.max_outstanding = 0;
            }
            fleet.step(5 * MS);
        }
        let most = fleet.max_outstanding as f64;
        assert!(most <= limit, "{balancer_count} balancers had {most} calls outstanding, limit {limit}");
        assert!(
            most >= (limit * 0.3).floor().min(f64::from(balancer_count)),
            "{balancer_count} balancers: at most {most} calls outstanding, limit {limit}"
        );
    }
}

#[test]
fn every_balancer_gets_turns_even_if_their_number_and_the_limit_have_a_common_divisor() {
    for (balancer_count, limit) in [(4, 2.0), (6, 4.0), (200, 80.0), (200, 1.0), (120, 60.0)] {
        let mut fleet = Fleet::new(
            balancer_count,
            OriginLimits { max_outstanding: limit, max_calls_per_s: f64::INFINITY },
            20 * MS,
        );
        for step in 0..1_000 {
            if step % 10 == 0 {
                fleet.write(0..balancer_count as usize);
            }
            fleet.step(5 * MS);
        }
        let (least, most) =
            (fleet.calls_by_node.iter().min().unwrap(), fleet.calls_by_node.iter().max().unwrap());
        assert!(*least > 0, "{balancer_count} balancers, limit {limit}: one of them never had a turn");
        assert!(
            *least * 3 >= *most,
            "{balancer_count} balancers, limit {limit}: from {least} to {most} calls per balancer"
        );
    }
}

#[test]
fn at_low_load_balancers_wait_for_their_turns_without_refusals() {
    let mut fleet = Fleet::new(200, OriginLimits { max_outstanding: 80.0, max_calls_per_s: 400.0 }, 25 * MS);
    // 100 writes per second, each at another balancer.
    for number in 0..500usize {
        fleet.write(std::iter::once(number * 37 % 200));
        fleet.step(10 * MS);
    }
    let call_count: u64 = fleet.calls_by_node.iter().sum();
    assert_eq!(fleet.refused_count, 0);
    // The last few writes are still waiting.
    assert!(call_count >= 480, "{call_count} of 500");
    assert!(fleet.max_outstanding < 20, "{}", fleet.max_outstanding);
}

#[test]
fn a_rate_share_below_one_call_per_window_is_saved_up_within_the_total_rate() {
    let mut fleet = Fleet::new(50, OriginLimits { max_outstanding: 1e6, max_calls_per_s: 100.0 }, 5 * MS);
    let calls_before = fleet.calls_by_node.iter().sum::<u64>();
    for step in 0..1_000 {
        if step % 4 == 0 {
            fleet.write(0..50);
        }
        fleet.step(10 * MS);
    }
    let call_count = fleet.calls_by_node.iter().sum::<u64>() - calls_before;
    // 100 calls per second for 10 s, and up to 4 calls that each balancer may have saved before.
    assert!((900..=1_000 + 4 * 50).contains(&call_count), "{call_count}");
}

#[test]
fn without_a_retry_budget_only_requests_that_did_not_run_are_retried() {
    let config = Settings { retry_budget_per_request: 0.0, ..settings() };
    let mut node = Node::new(config.clone(), 4);
    let target = sent_to(&node.request(read(1, 9))).unwrap();
    assert_eq!(sent_to(&node.outcome(1, 0, target, Status::Error)), None, "retried although it may have run");
    let target = sent_to(&node.request(read(2, 9))).unwrap();
    assert!(
        sent_to(&node.outcome(2, 0, target, Status::ConnectFailed)).is_some(),
        "not retried although it did not run"
    );
    let mut node = Node::new(settings(), 4);
    let target = sent_to(&node.request(read(1, 9))).unwrap();
    assert!(sent_to(&node.outcome(1, 0, target, Status::Error)).is_some(), "not retried with a retry budget");
}

#[test]
fn a_class_restricted_to_servers_is_sent_to_no_others() {
    let mut config = settings();
    config.classes[0].only_servers = Some(vec![2, 3]);
    let mut node = Node::new(config, 6);
    let mut servers_used = std::collections::BTreeSet::new();
    for id in 1..=100 {
        let target = sent_to(&node.request(read(id, id))).unwrap();
        servers_used.insert(target);
        node.outcome(id, 0, target, Status::Served);
    }
    assert_eq!(servers_used.into_iter().collect::<Vec<_>>(), [2, 3]);
    // When both servers drain, the request is sent to no other and still gets a final answer.
    let draining = |id| ServerEntry { condition: Condition::Draining, ..server(id) };
    node.update_servers(ListKind::Delta, vec![draining(2), draining(3)]);
    let actions = node.request(read(200, 7));
    assert_eq!(send_count(&actions), 0);
    assert!(is_refused(&actions, 200) || is_failed(&actions, 200));
}

#[test]
fn hundreds_of_balancers_take_turns_at_a_cold_server() {
    let mut sent = 0;
    let shares = Some(OriginLimits { max_outstanding: 80.0, max_calls_per_s: 400.0 });
    for index in 0..200 {
        let mut node =
            Node::new(Settings { balancers: 200, own_index: index, origin_limits: shares, ..settings() }, 2);
        for id in 1..=5 {
            let target = sent_to(&node.request(read(id, id))).unwrap();
            node.outcome(id, 0, target, Status::Served);
            node.advance(200 * MS);
        }
        let started = node.now;
        node.deliver(Event::ServerList {
            kind: ListKind::Delta,
            servers: vec![ServerEntry { started, ..server(2) }],
        });
        // Four keys, the same ones at every balancer, some of which belong to the cold server.
        for id in 200..=203 {
            let target = sent_to(&node.request(read(id, 1_000_000 + id)));
            sent += usize::from(target == Some(2));
        }
    }
    assert!(sent <= 60, "{sent} of 800 sent at once to a server that has just started");
}
