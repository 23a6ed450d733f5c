//! A stepped wall clock, at the node's start or while it runs, changes nothing about slow start: the share of a cache server
//! that has just started is what it is with the right time, and it is warm as soon.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mothpier_fault_control::{FaultControl, Setting};
use mothpier_world::loopback::*;

const SERVERS: usize = 4;
const CLIENTS: usize = 8;
const PACE: Duration = Duration::from_millis(4);
/// How far a share may lie from that without a step.
const NEAR: f64 = 0.05;
/// The share of a warm one of four.
const WARM: f64 = 0.25;
const SECOND: i64 = 1_000_000;
const HOUR: i64 = 3_600 * SECOND;

/// In how many seconds a server is warm; the span over which a share is measured is a fifth of it.
fn cold_seconds() -> u64 {
    std::env::var("COLD_SECONDS").ok().and_then(|n| n.parse().ok()).unwrap_or(5)
}

fn wall_ms(offset_micros: i64) -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64 + offset_micros / 1000
}

/// A node before four cache servers that count what comes in.
struct World {
    node: Node,
    control: FaultControl,
    discovery: Discovery,
    servers: Vec<SocketAddr>,
    counts: Arc<Vec<AtomicUsize>>,
}

impl World {
    /// Starts a node whose wall clock is off; the last server started at a time, 0 for long ago.
    fn start(name: &str, offset_micros: i64, started_ms: i64) -> Self {
        let counts: Arc<Vec<AtomicUsize>> = Arc::new((0..SERVERS).map(|_| AtomicUsize::new(0)).collect());
        let server = |number: usize| {
            let counts = counts.clone();
            serve(command, move |asked| {
                counts[number].fetch_add(1, Ordering::Relaxed);
                array(&asked[2])
            })
        };
        let servers: Vec<SocketAddr> = (0..SERVERS).map(server).collect();
        let discovery = Discovery::start(&list(&servers, started_ms));
        let (control, environment) = faults(name);
        control.set(Setting::WallOffsetMicros, offset_micros).unwrap();
        let mut command = node_command(name, discovery.address, 1024, "");
        let cold = format!(r#""coldShare":0.1,"coldUs":{}"#, cold_seconds() * 1_000_000);
        let settings = config(name, discovery.address, 1024)
            .replace(r#""coldUs":10000000"#, &cold)
            .replace(r#""quotaPerS":1000"#, r#""quotaPerS":100000"#);
        std::fs::write(config_path(name), settings).unwrap();
        command.envs(environment);
        let node = Node::run(command, &discovery);
        World { node, control, discovery, servers, counts }
    }

    /// The part of the attempts that goes to the last server.
    fn share(&self) -> f64 {
        let until = Instant::now() + Duration::from_secs(cold_seconds()) / 5;
        let before: Vec<usize> = self.counts.iter().map(|c| c.load(Ordering::Relaxed)).collect();
        let node = self.node.address;
        thread::scope(|scope| {
            for _ in 0..CLIENTS {
                scope.spawn(move || ask(node, until));
            }
        });
        let sent: Vec<usize> =
            self.counts.iter().zip(before).map(|(c, before)| c.load(Ordering::Relaxed) - before).collect();
        sent[SERVERS - 1] as f64 / sent.iter().sum::<usize>() as f64
    }

    /// The last server restarts and says its new start, by its own clock.
    fn restart(&self, offset_micros: i64) {
        self.discovery.change(2, &list(&self.servers, wall_ms(offset_micros)));
        self.discovery.watched_after(2);
    }
}

fn list(servers: &[SocketAddr], last_started_ms: i64) -> String {
    let line = |(number, at): (usize, &SocketAddr)| {
        let line = member(&format!("s-{number}"), *at, "m", "ready");
        let started = if number == SERVERS - 1 { last_started_ms } else { 0 };
        line.replace(r#""up_since_ms":0"#, &format!(r#""up_since_ms":{started}"#))
    };
    servers.iter().enumerate().map(line).collect::<Vec<_>>().join(",")
}

fn ask(node: SocketAddr, until: Instant) {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let mut client = Client::connect(node);
    while Instant::now() < until {
        let id = format!("r{}", NUMBER.fetch_add(1, Ordering::Relaxed));
        let answer = client.ask(&["CACHE.GET", &format!("key-{id}"), &id, "c=read,t=acme,d=3000"]);
        assert!(answer == format!("${id}") || answer.starts_with("-BUSY"), "{id} is answered {answer}");
        thread::sleep(PACE);
    }
}

/// A share at once, and once the server is warm.
fn shares(world: &World) -> (f64, f64) {
    let began = Instant::now();
    let at_once = world.share();
    let warm_after = Duration::from_secs(cold_seconds()) * 11 / 10;
    thread::sleep(warm_after.saturating_sub(began.elapsed()));
    (at_once, world.share())
}

/// Plays cases side by side, the first without a step, and fails with those that differ from it.
fn judge(cases: &[(&str, i64)], play: impl Fn(&str, i64) -> (f64, f64) + Sync) {
    let played: Vec<(f64, f64)> = thread::scope(|scope| {
        let play = &play;
        let all: Vec<_> = cases.iter().map(|(name, by)| scope.spawn(move || play(name, *by))).collect();
        all.into_iter().map(|one| one.join().unwrap()).collect()
    });
    let mut wrong = Vec::new();
    for ((name, _), (at_once, warm)) in cases.iter().zip(&played) {
        println!("{name}: share at once {at_once:.3}, when warm {warm:.3}");
        if (at_once - played[0].0).abs() > NEAR || (warm - WARM).abs() > NEAR {
            wrong.push(*name);
        }
    }
    assert!(wrong.is_empty(), "slow start differs with the wall clock: {wrong:?}");
    assert!(played[0].0 < WARM - 2.0 * NEAR, "the row without a step is not cold");
}

#[test]
fn a_wrong_wall_clock_at_the_start_changes_no_slow_start() {
    let cases = [
        ("wall-right", 0),
        ("wall-30s-ahead", 30 * SECOND),
        ("wall-hour-ahead", HOUR),
        ("wall-30s-behind", -30 * SECOND),
        ("wall-hour-behind", -HOUR),
    ];
    judge(&cases, |name, by| shares(&World::start(name, by, wall_ms(0))));
}

#[test]
fn a_wall_clock_stepped_while_the_node_runs_changes_no_slow_start() {
    let cases = [("step-none", 0), ("step-hour-ahead", HOUR), ("step-hour-back", -HOUR)];
    judge(&cases, |name, by| {
        // Started long before: an hour and a half by the right time.
        let world = World::start(name, 0, wall_ms(-HOUR * 3 / 2));
        world.share();
        world.control.set(Setting::WallOffsetMicros, by).unwrap();
        world.restart(by);
        shares(&world)
    });
}
