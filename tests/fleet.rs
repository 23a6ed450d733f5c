//! The combined behaviour of many balancers, each of which sees little traffic.

mod common;

use brassrouter::*;
use common::*;

const BALANCERS: u32 = 100;
const SERVERS: u32 = 60;
/// Time between two requests at one balancer: 15 requests per second.
const REQUEST_INTERVAL: Micros = SECOND / 15;

/// Returns when the balancers send attempts to server 2 in the first `seconds` after its restart, as the time
/// since that restart. `hot_percent` of the requests are for one key whose first server this is.
fn sends_to_cold_server(seconds: u64, hot_percent: u64) -> Vec<Micros> {
    let settings =
        |balancer| Settings { balancers: BALANCERS, own_index: balancer, cold_share: 0.12, ..settings() };
    let first_server = |key| sent_to(&Node::new(settings(0), SERVERS).request(read(1, key))).unwrap();
    let hot_key = (1..).find(|key| first_server(*key) == 2).unwrap();
    let mut sent = Vec::new();
    for balancer in 0..BALANCERS {
        let mut node = Node::new(settings(balancer), SERVERS);
        let restart = node.now + 5 * SECOND;
        let mut listed = false;
        for id in 1..=(5 + seconds) * SECOND / REQUEST_INTERVAL {
            node.advance(REQUEST_INTERVAL);
            if node.now >= restart && !listed {
                let servers = vec![ServerEntry { id: 2, started: restart, ..ServerEntry::default() }];
                node.deliver(Event::ServerList { kind: ListKind::Delta, servers });
                listed = true;
            }
            let own_key = u64::from(balancer) * 10_000 + id;
            let key = if own_key * 7919 % 100 < hot_percent { hot_key } else { 1_000_000 + own_key };
            let server = sent_to(&node.request(read(id, key))).unwrap();
            node.outcome(id, 0, server, Status::Served);
            sent.extend((server == 2 && listed).then(|| node.now - restart));
        }
    }
    sent
}

/// Returns the share of its capacity that the server is guaranteed to have at an age.
fn min_capacity_share(age: Micros) -> f64 {
    0.12 + 0.88 * age as f64 / Settings::default().warm_up as f64
}

#[test]
fn balancers_with_little_traffic_use_a_cold_servers_capacity() {
    // In a release of the large fleet, 36 of 60 servers were replaced within 7 s. Each of 100 balancers
    // limited its attempts at them by a token bucket of depth 1, so the 24 others were overloaded.
    let seconds = 8;
    let share = f64::from(BALANCERS) * SECOND as f64 / REQUEST_INTERVAL as f64 / f64::from(SERVERS);
    let accepted: f64 = (0..seconds).map(|s| share * min_capacity_share(s * SECOND + SECOND / 2)).sum();
    let sent = sends_to_cold_server(seconds, 0).len() as f64;
    assert!(sent > 0.8 * accepted, "{sent} sent of {accepted:.0} that the server accepts");
}

#[test]
fn a_hot_key_does_not_overload_a_cold_server() {
    let sent = sends_to_cold_server(6, 4);
    let window = Settings::default().crash_after;
    let share = f64::from(BALANCERS) * window as f64 / REQUEST_INTERVAL as f64 / f64::from(SERVERS);
    for start in &sent {
        let count = sent.iter().filter(|time| (*start..start + window).contains(time)).count() as f64;
        let limit = Settings::default().crash_load_multiple * min_capacity_share(*start) * share;
        assert!(count <= limit, "{count} sent in the window from {start}, limit {limit:.0}");
    }
}
