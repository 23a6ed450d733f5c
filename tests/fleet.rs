//! Many balancers at once, each of which sees little: what a tier of them does together.

mod common;

use brassrouter::*;
use common::*;

const BALANCERS: u32 = 100;
const SERVERS: u32 = 60;
/// Between two requests at one balancer: 15 a second.
const GAP: Micros = SECOND / 15;

/// All balancers' sends to a server that has just started, with the time since its start, over some seconds;
/// `hot` in a hundred of their requests are for one key whose first server it is.
fn sent_to_a_cold_server(seconds: u64, hot: u64) -> Vec<Micros> {
    let settings = |me| Settings { balancers: BALANCERS, own_index: me, cold_share: 0.12, ..settings() };
    let first = |key| sent_to(&Node::new(settings(0), SERVERS).request(read(1, key))).unwrap();
    let hot_key = (1..).find(|key| first(*key) == 2).unwrap();
    let mut sent = Vec::new();
    for me in 0..BALANCERS {
        let mut node = Node::new(settings(me), SERVERS);
        let start = node.now + 5 * SECOND;
        let mut listed = false;
        for id in 1..=(5 + seconds) * SECOND / GAP {
            node.advance(GAP);
            if node.now >= start && !listed {
                let servers = vec![ServerEntry { id: 2, started: start, ..ServerEntry::default() }];
                node.deliver(Event::ServerList { kind: ListKind::Delta, servers });
                listed = true;
            }
            let own = u64::from(me) * 10_000 + id;
            let key = if own * 7919 % 100 < hot { hot_key } else { 1_000_000 + own };
            let to = sent_to(&node.request(read(id, key))).unwrap();
            node.outcome(id, 0, to, Status::Served);
            sent.extend((to == 2 && listed).then(|| node.now - start));
        }
    }
    sent
}

/// Part of its capacity that the server has at the least at an age.
fn warmth(age: Micros) -> f64 {
    0.12 + 0.88 * age as f64 / Settings::default().warm_up as f64
}

#[test]
fn a_thin_tier_gives_a_cold_server_what_it_can_do() {
    // A release of the large fleet: of 60 servers 36 were replaced in 7 s, and the 24 left were crowded, since
    // each of 100 balancers held back what its own bucket of one attempt did not cover.
    let seconds = 8;
    let share = f64::from(BALANCERS) * SECOND as f64 / GAP as f64 / f64::from(SERVERS);
    let due: f64 = (0..seconds).map(|s| share * warmth(s * SECOND + SECOND / 2)).sum();
    let sent = sent_to_a_cold_server(seconds, 0).len() as f64;
    assert!(sent > 0.8 * due, "{sent} sent of {due:.0} that it could take");
}

#[test]
fn a_hot_key_does_not_push_a_cold_server_over() {
    let sent = sent_to_a_cold_server(6, 4);
    let window = Settings::default().crash_after;
    let share = f64::from(BALANCERS) * window as f64 / GAP as f64 / f64::from(SERVERS);
    for from in &sent {
        let count = sent.iter().filter(|t| (*from..from + window).contains(t)).count() as f64;
        let most = Settings::default().crash_load_multiple * warmth(*from) * share;
        assert!(count <= most, "{count} from {from} on, of {most:.0}");
    }
}
