//! What the origin takes from all balancers together: parts of less than one call, in turns.
#![allow(missing_docs)]

mod common;

use std::collections::BTreeMap;

use brassrouter::*;
use common::*;

/// A fleet of balancers on one clock, whose calls at the origin take a time.
struct Fleet {
    nodes: Vec<Node>,
    takes: Micros,
    /// Calls that are out: when each ends, whose it is, and which.
    out: BTreeMap<(Micros, usize, RequestId), u16>,
    next: RequestId,
    most: usize,
    calls: Vec<u64>,
    refused: u64,
}

impl Fleet {
    fn new(count: u32, shares: Shares, takes: Micros) -> Fleet {
        let settings = |me| Settings { balancers: count, own_index: me, shares: Some(shares), ..settings() };
        let nodes = (0..count).map(|me| Node::just_started(settings(me), 3)).collect();
        let calls = vec![0; count as usize];
        Fleet { nodes, takes, out: BTreeMap::new(), next: 1, most: 0, calls, refused: 0 }
    }

    fn took(&mut self, node: usize, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { request, server: ORIGIN, .. } => {
                    let ends = self.nodes[node].now + self.takes;
                    self.out.insert((ends, node, *request), 0);
                    self.calls[node] += 1;
                }
                Action::Refuse { .. } => self.refused += 1,
                _ => {}
            }
        }
        self.most = self.most.max(self.out.len());
    }

    /// Passes a step of time at all balancers, ending the calls that are due.
    fn step(&mut self, step: Micros) {
        let until = self.nodes[0].now + step;
        while let Some(((ends, node, request), attempt)) = self.out.pop_first() {
            if ends > until {
                self.out.insert((ends, node, request), attempt);
                break;
            }
            let outcome = Outcome {
                request,
                attempt,
                server: ORIGIN,
                status: Status::Served,
                request_finished: true,
                lookup: CacheLookup::None,
                elapsed: self.takes,
                load: Load::default(),
            };
            let actions = self.nodes[node].deliver(Event::Outcome(outcome));
            self.took(node, &actions);
        }
        for node in 0..self.nodes.len() {
            let actions = self.nodes[node].advance(step);
            self.took(node, &actions);
        }
    }

    /// A write at each of these balancers.
    fn write(&mut self, nodes: impl Iterator<Item = usize>) {
        for node in nodes {
            let request = Request { time_left: SECOND, ..write(self.next, 2) };
            self.next += 1;
            let actions = self.nodes[node].request(request);
            self.took(node, &actions);
        }
    }
}

#[test]
fn all_balancers_together_never_have_more_calls_out_than_the_origin_takes() {
    for (count, calls) in [(200, 80.0), (200, 10.0), (50, 49.0), (12, 8.0), (7, 20.0), (3, 4.0)] {
        let mut fleet = Fleet::new(count, Shares { origin_out: calls, origin_per_s: f64::INFINITY }, 40 * MS);
        // Every balancer wants a call all the time: an expiry of everything at once.
        for step in 0..200 {
            if step % 4 == 0 {
                fleet.write(0..count as usize);
            }
            if step == 40 {
                // By now they know how long calls take.
                fleet.most = 0;
            }
            fleet.step(5 * MS);
        }
        let most = fleet.most as f64;
        assert!(most <= calls, "{count} balancers had {most} calls out of {calls}");
        assert!(most >= (calls * 0.3).floor().min(f64::from(count)), "{count}: only {most} of {calls}");
    }
}

#[test]
fn every_balancer_has_its_turns_also_where_their_number_and_the_calls_share_a_divisor() {
    for (count, calls) in [(4, 2.0), (6, 4.0), (200, 80.0), (200, 1.0), (120, 60.0)] {
        let mut fleet = Fleet::new(count, Shares { origin_out: calls, origin_per_s: f64::INFINITY }, 20 * MS);
        for step in 0..1_000 {
            if step % 10 == 0 {
                fleet.write(0..count as usize);
            }
            fleet.step(5 * MS);
        }
        let (least, most) = (fleet.calls.iter().min().unwrap(), fleet.calls.iter().max().unwrap());
        assert!(*least > 0, "{count} balancers, {calls} calls: one of them never had a turn");
        assert!(*least * 3 >= *most, "{count} balancers, {calls} calls: from {least} to {most}");
    }
}

#[test]
fn a_quiet_fleet_waits_for_its_turns_without_a_refusal() {
    let mut fleet = Fleet::new(200, Shares { origin_out: 80.0, origin_per_s: 400.0 }, 25 * MS);
    // 100 writes a second, each at another balancer.
    for at in 0..500usize {
        fleet.write(std::iter::once(at * 37 % 200));
        fleet.step(10 * MS);
    }
    let made: u64 = fleet.calls.iter().sum();
    assert_eq!(fleet.refused, 0);
    // The last few still wait.
    assert!(made >= 480, "{made} of 500");
    assert!(fleet.most < 20, "{}", fleet.most);
}

#[test]
fn a_rate_below_one_call_in_a_window_is_saved_up_and_its_sum_holds() {
    let mut fleet = Fleet::new(50, Shares { origin_out: 1e6, origin_per_s: 100.0 }, 5 * MS);
    let began = fleet.calls.iter().sum::<u64>();
    for step in 0..1_000 {
        if step % 4 == 0 {
            fleet.write(0..50);
        }
        fleet.step(10 * MS);
    }
    let made = fleet.calls.iter().sum::<u64>() - began;
    // 100 a second for 10 s, and what the balancers may have saved before: 4 each.
    assert!((900..=1_000 + 4 * 50).contains(&made), "{made}");
}

#[test]
fn without_a_budget_only_what_never_ran_is_tried_again() {
    let config = Settings { retry_budget: 0.0, ..settings() };
    let mut node = Node::new(config.clone(), 4);
    let to = sent_to(&node.request(read(1, 9))).unwrap();
    assert_eq!(sent_to(&node.outcome(1, 0, to, Status::Error)), None, "it may have run");
    let to = sent_to(&node.request(read(2, 9))).unwrap();
    assert!(sent_to(&node.outcome(2, 0, to, Status::ConnectFailed)).is_some(), "it never ran");
    let mut node = Node::new(settings(), 4);
    let to = sent_to(&node.request(read(1, 9))).unwrap();
    assert!(sent_to(&node.outcome(1, 0, to, Status::Error)).is_some(), "with a budget it is");
}

#[test]
fn a_class_that_is_bound_to_servers_goes_to_no_other() {
    let mut config = settings();
    config.classes[0].only_servers = Some(vec![2, 3]);
    let mut node = Node::new(config, 6);
    let mut seen = std::collections::BTreeSet::new();
    for id in 1..=100 {
        let to = sent_to(&node.request(read(id, id))).unwrap();
        seen.insert(to);
        node.outcome(id, 0, to, Status::Served);
    }
    assert_eq!(seen.into_iter().collect::<Vec<_>>(), [2, 3]);
    // Both drain: it is fetched from nowhere else, and answered all the same.
    let draining = |id| ServerEntry { condition: Condition::Draining, ..server(id) };
    node.update_servers(ListKind::Delta, vec![draining(2), draining(3)]);
    let actions = node.request(read(200, 7));
    assert_eq!(send_count(&actions), 0);
    assert!(is_refused(&actions, 200) || is_failed(&actions, 200));
}

#[test]
fn hundreds_of_balancers_take_turns_at_a_cold_server() {
    let mut sent = 0;
    let shares = Some(Shares { origin_out: 80.0, origin_per_s: 400.0 });
    for me in 0..200 {
        let mut node = Node::new(Settings { balancers: 200, own_index: me, shares, ..settings() }, 2);
        for id in 1..=5 {
            let to = sent_to(&node.request(read(id, id))).unwrap();
            node.outcome(id, 0, to, Status::Served);
            node.advance(200 * MS);
        }
        let started = node.now;
        node.deliver(Event::ServerList {
            kind: ListKind::Delta,
            servers: vec![ServerEntry { started, ..server(2) }],
        });
        // One key that everybody asks for, of those that the cold server keeps.
        for id in 200..=203 {
            let to = sent_to(&node.request(read(id, 1_000_000 + id)));
            sent += usize::from(to == Some(2));
        }
    }
    assert!(sent <= 60, "{sent} of 800 at once at a server that has just started");
}
