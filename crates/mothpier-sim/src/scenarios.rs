//! The directed cases: failures at a chosen instant, each under a name. A case is one run or several that differ in
//! one figure, and it is kept when no rule breaks in any and the case shows that it met what it is about.

use std::rc::Rc;
use std::time::Duration;

use mothpier::Mutation;
use mothpier_world::client::{Ask, End};

use crate::plan::Fault;
use crate::play::{Options, Report, Script, World};

/// A directed case.
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// What it is about.
    pub about: &'static str,
    /// Its runs: a seed and what is fixed of the world.
    pub runs: fn() -> Vec<(u64, Options)>,
    /// Whether the runs met what they are about; the error says what was missing.
    pub met: fn(&[Report]) -> Result<(), String>,
}

impl Scenario {
    /// Plays it, with a mistake planted or none; the error names the run and the rule, or what was missing.
    pub fn play(&self, plant: Option<Mutation>) -> Result<Vec<Report>, String> {
        let mut reports = Vec::new();
        for (number, (seed, options)) in (self.runs)().into_iter().enumerate() {
            let report = crate::play::play(seed, &Options { plant, ..options });
            if let Some(b) = &report.broken {
                return Err(format!("run {number}: rule {} at {} ms: {}", b.rule.name(), b.at_ms, b.what));
            }
            reports.push(report);
        }
        (self.met)(&reports).map_err(|e| format!("it did not meet its case: {e}"))?;
        Ok(reports)
    }
}

/// All cases.
pub fn all() -> impl Iterator<Item = &'static Scenario> {
    PLAIN.iter().chain(crate::slot_cases::ALL).chain(crate::source_cases::ALL).chain(crate::daily_cases::ALL)
}

const LATENCY_US: u64 = 200;

pub(crate) fn ask(class: &'static str, key: u64, wait_ms: u64) -> Ask {
    let write = class != "browse";
    Ask {
        class,
        tenant: "acme",
        key: format!("k{key}"),
        write,
        token: (class == "send-interest").then(|| format!("t{key}")),
        wait: Duration::from_millis(wait_ms),
        retries: 0,
        leaves_after: None,
    }
}

/// A still world: no traffic of its own, no chance in work or ways.
pub(crate) fn still(script: impl Fn(&Rc<World>) + 'static) -> Options {
    let script: Script = Rc::new(script);
    Options {
        faults: Some(Vec::new()),
        size: Some((1, 4)),
        work_ms: Some(10),
        latency_us: Some(LATENCY_US),
        connect_ms: Some(250),
        rate: Some(0.0),
        script: Some(script),
        ..Options::default()
    }
}

/// A busy world with the faults of these lines.
pub(crate) fn faults(lines: &[&str]) -> Options {
    let faults = lines.iter().map(|l| l.parse::<Fault>().expect("a line of this file"));
    Options {
        faults: Some(faults.collect()),
        size: Some((3, 5)),
        rate: Some(90.0),
        writes: Some(0.3),
        ..Options::default()
    }
}

pub(crate) fn ended(reports: &[Report], end: End) -> u64 {
    reports.iter().filter_map(|r| r.tally.ends.get(&end)).sum()
}

pub(crate) fn need(what: &str, count: u64) -> Result<(), String> {
    if count > 0 { Ok(()) } else { Err(format!("no {what}")) }
}

/// Answers that reach the client so many microseconds after its time is up (before it, where negative), at every
/// class: the way is four times the latency, for request and answer at node and server.
fn at_the_deadline(after_us: i64) -> Vec<(u64, Options)> {
    let classes = [("browse", 600), ("send-message", 500), ("send-interest", 400)];
    let run = |(class, wait_ms): (&'static str, u64)| {
        let held = (wait_ms * 1_000) as i64 - 4 * LATENCY_US as i64 + after_us;
        let held = Duration::from_micros(held as u64);
        still(move |world| {
            for n in 0..6 {
                // The connections are there already: the first of each goes before.
                let at = 3_000 + n * 1_500;
                world.at(at, move |world| {
                    world.exactly(None);
                    (0..4).for_each(|c| world.ask(c, ask("browse", n * 10 + 1, 900)));
                });
                world.at(at + 500, move |world| {
                    world.exactly(Some(held));
                    (0..4).for_each(|c| world.ask(c, ask(class, n * 10 + 1 + c as u64, wait_ms)));
                });
            }
            world.at(13_000, |world| world.exactly(None));
        })
    };
    classes.into_iter().enumerate().map(|(n, c)| (n as u64, run(c))).collect()
}

fn deadline_met(reports: &[Report]) -> Result<(), String> {
    need("request without a value", reports.iter().map(|r| r.tally.asked).sum::<u64>() / 2)?;
    need("attempt", reports.iter().map(|r| r.tally.attempts.0 + r.tally.attempts.1).sum())
}

/// A drain of each box in turn, told so many microseconds after requests were asked.
fn drain_after(options: Options, offsets: impl Iterator<Item = u64>) -> Vec<(u64, Options)> {
    offsets
        .map(|offset| {
            let before = options.script.clone();
            let script: Script = Rc::new(move |world: &Rc<World>| {
                if let Some(before) = &before {
                    before(world);
                }
                for n in 0..6 {
                    let at = 3_000 + n * 1_600;
                    world.at(at, move |world| {
                        (0..4).for_each(|c| world.ask(c, ask("browse", n * 4 + c as u64, 1_200)));
                    });
                    let drained = n as usize % world.boxes();
                    world.at_us(at * 1_000 + offset, move |world| world.drain_now(drained));
                    world.at(at + 1_400, move |world| world.ready_now(drained));
                }
            });
            (offset, Options { script: Some(script), ..options.clone() })
        })
        .collect()
}

/// A request of a class whose server dies so many milliseconds after it was asked.
fn dies_after_last_byte(class: &'static str) -> Vec<(u64, Options)> {
    [1, 5, 40, 99, 100, 101]
        .into_iter()
        .map(|after| {
            let script = move |world: &Rc<World>| {
                for n in 0..5u64 {
                    let at = 3_000 + n * 2_000;
                    world.at(at - 100, |world| world.exactly(Some(Duration::from_millis(100))));
                    world.at(at, move |world| {
                        (0..4).for_each(|c| world.ask(c, ask(class, n * 4 + c as u64, 900)));
                    });
                    world.at(at + after, move |world| {
                        if class == "browse" {
                            (0..world.boxes()).for_each(|j| world.box_dies(j, 300));
                        } else {
                            world.origin_dies(300);
                        }
                    });
                }
                world.at(13_500, |world| world.exactly(None));
            };
            (after, still(script))
        })
        .collect()
}

fn any(_: &[Report]) -> Result<(), String> {
    Ok(())
}

pub(crate) fn served(reports: &[Report]) -> Result<(), String> {
    need("request served", ended(reports, End::Served))
}

fn not_served(reports: &[Report]) -> Result<(), String> {
    served(reports)?;
    let not = [End::Busy, End::Failed, End::TimedOut, End::Cut].iter().map(|e| ended(reports, *e)).sum();
    need("request that could not be served", not)
}

/// The cases of plain boxes.
const PLAIN: &[Scenario] = &[
    Scenario {
        name: "deadline-1ms-before",
        about: "the server's answer reaches the client 1 ms before its time is up",
        runs: || at_the_deadline(-1_000),
        met: deadline_met,
    },
    Scenario {
        name: "deadline-1us-before",
        about: "the server's answer reaches the client 1 us before its time is up",
        runs: || at_the_deadline(-1),
        met: deadline_met,
    },
    Scenario {
        name: "deadline-exactly",
        about: "the server's answer reaches the client exactly when its time is up",
        runs: || at_the_deadline(0),
        met: deadline_met,
    },
    Scenario {
        name: "deadline-1us-after",
        about: "the server's answer reaches the client 1 us after its time is up",
        runs: || at_the_deadline(1),
        met: deadline_met,
    },
    Scenario {
        name: "deadline-1ms-after",
        about: "the server's answer reaches the client 1 ms after its time is up",
        runs: || at_the_deadline(1_000),
        met: deadline_met,
    },
    Scenario {
        name: "drain-before-first-byte",
        about: "word of a drain comes between the choice of a connection and the first byte on it",
        runs: || drain_after(still(|_| {}), (0..40).map(|n| n * 25)),
        met: served,
    },
    Scenario {
        name: "drain-during-retry",
        about: "word of a drain comes while a failed attempt is made anew elsewhere",
        runs: || {
            let failing = Options {
                faults: Some(vec!["failed target=1 at=2000 len=11000 extra=100".parse().expect("a line")]),
                ..still(|_| {})
            };
            drain_after(failing, (0..40).map(|n| 8_000 + n * 150))
        },
        met: served,
    },
    Scenario {
        name: "drain-while-connecting",
        about: "word of a drain comes while a connection is being made that comes up long after it",
        runs: || {
            let runs = [100, 400].into_iter().map(|after| {
                let script = move |world: &Rc<World>| {
                    for n in 0..4u64 {
                        let (at, j) = (3_000 + n * 2_500, n as usize);
                        // The first packet is lost: the connection comes up a second later.
                        world.at(at - 10, move |world| {
                            let (node, server) = world.machines(0, j);
                            world.network.cut(node, server, true);
                        });
                        world.at(at, move |world| {
                            (0..120).for_each(|c| world.ask(c as usize, ask("browse", c, 1_400)));
                        });
                        world.at(at + after, move |world| world.drain_now(j));
                        world.at(at + 200, move |world| {
                            let (node, server) = world.machines(0, j);
                            world.network.cut(node, server, false);
                        });
                        world.at(at + 2_000, move |world| world.ready_now(j));
                    }
                };
                (after, Options { connect_ms: Some(2_400), idle_ms: Some(1_000), ..still(script) })
            });
            runs.collect()
        },
        met: not_served,
    },
    Scenario {
        name: "death-after-last-byte-browse",
        about: "boxes die between a read's last byte and its answer",
        runs: || dies_after_last_byte("browse"),
        met: any,
    },
    Scenario {
        name: "death-after-last-byte-send-message",
        about: "the origin dies between an unsafe write's last byte and its answer",
        runs: || dies_after_last_byte("send-message"),
        met: not_served,
    },
    Scenario {
        name: "death-after-last-byte-send-interest",
        about: "the origin dies between a keyed write's last byte and its answer",
        runs: || dies_after_last_byte("send-interest"),
        met: not_served,
    },
    Scenario {
        name: "cold-return",
        about: "boxes come back cold into a fleet that is at more than half of its capacity",
        runs: || {
            let lines = [
                "crash target=0 at=3000 len=4500",
                "crash target=1 at=3000 len=4500",
                "burst at=6000 len=7500",
            ];
            let busy = || Options {
                size: Some((12, 4)),
                rate: None,
                load: Some(0.7),
                work_ms: Some(40),
                cold: Some((0.1, 20_000)),
                writes: Some(0.05),
                ..faults(&lines)
            };
            (0..8).map(|seed| (seed, busy())).collect()
        },
        met: served,
    },
    Scenario {
        name: "colder-return",
        about: "boxes come back colder, warm up more slowly and meet a fleet that is at its capacity",
        runs: || {
            let lines = [
                "crash target=0 at=3000 len=4500",
                "crash target=1 at=3000 len=4500",
                "burst at=6000 len=7500",
            ];
            let busy = || Options {
                size: Some((12, 4)),
                rate: None,
                load: Some(0.8),
                work_ms: Some(40),
                cold: Some((0.06, 40_000)),
                writes: Some(0.05),
                ..faults(&lines)
            };
            (0..8).map(|seed| (seed, busy())).collect()
        },
        met: served,
    },
    Scenario {
        name: "list-down-hung-box-lost-message",
        about: "a box hangs while the list is out of reach and messages between nodes are lost",
        runs: || {
            let lines = [
                "lists-down at=3000 len=9000",
                "hang target=1 at=3500 len=6000",
                "post at=3000 len=9000 extra=80",
                "silence target=2 at=6000 len=5000",
            ];
            (0..6).map(|seed| (seed, faults(&lines))).collect()
        },
        met: served,
    },
    Scenario {
        name: "list-lost-then-drained",
        about: "an agent never answers what it was asked in its silence, and a box drains in it",
        runs: || {
            let offset = |n: u64| {
                let lines = [
                    format!("list-lost target=0 at={} len=3500", 3_000 + n * 150),
                    format!("drain target=1 at={} len=6000", 3_400 + n * 150),
                ];
                faults(&lines.each_ref().map(String::as_str))
            };
            (0..8).map(|n| (n, offset(n))).collect()
        },
        met: served,
    },
    Scenario {
        name: "sigterm-in-the-middle",
        about: "a node gets SIGTERM while a box hangs, the origin fails and the list is out of reach",
        runs: || {
            let lines = [
                "lists-down at=3000 len=6000",
                "hang target=1 at=3500 len=6000",
                "origin-failed-after at=3000 len=6000 extra=50",
                "post at=3000 len=9000 extra=80",
                "node-stop target=0 at=5000 len=4000",
                "node-stop target=1 at=5100 len=4000",
            ];
            (0..6).map(|seed| (seed, faults(&lines))).collect()
        },
        met: not_served,
    },
    Scenario {
        name: "two-harmless-faults",
        about: "a slow origin and short silences of a box, each alone and both together",
        runs: || {
            let slow = "origin-slow at=3000 len=6000 extra=60";
            let gone = "silence target=0 at=4000 len=3000";
            [vec![slow], vec![gone], vec![slow, gone]].iter().map(|l| (3, faults(l))).collect()
        },
        met: served,
    },
    Scenario {
        name: "idle-close-crosses-request",
        about: "a box closes an idle connection in the instant in which a request is written to it",
        runs: || {
            let runs = (0..24u64).map(|n| {
                let script = move |world: &Rc<World>| {
                    for round in 0..5 {
                        let at = 2_000 + round * 2_200;
                        world.at(at, |world| (0..4).for_each(|c| world.ask(c, ask("browse", 1, 900))));
                        // Boxes close at 0.8 of the time, and a node uses no connection after 0.7 of it.
                        let again = at * 1_000 + 1_400_000 + 2 * n * 100 - 2_000;
                        world.at_us(again, |world| (0..4).for_each(|c| world.ask(c, ask("browse", 1, 900))));
                    }
                };
                (n, Options { idle_ms: Some(2_000), ..still(script) })
            });
            runs.collect()
        },
        met: served,
    },
    Scenario {
        name: "client-idle-close-crosses-request",
        about: "a request reaches the node in the instant in which it closes the idle connection",
        runs: || {
            let runs = (0..40u64).map(|n| {
                let script = move |world: &Rc<World>| {
                    world.at(2_000, |world| (0..8).for_each(|c| world.ask(c, ask("browse", c as u64, 900))));
                    // A connection that asks nothing is closed after 10 s.
                    world.at_us(12_010_000 + n * 1_000, |world| {
                        (0..8).for_each(|c| world.ask(c, ask("browse", c as u64, 900)));
                    });
                };
                (n, still(script))
            });
            runs.collect()
        },
        met: served,
    },
];
