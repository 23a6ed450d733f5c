//! The directed cases of boxes that form a cluster: redirections at a chosen instant, and maps that tell the wrong thing.

use std::rc::Rc;
use std::time::Duration;

use mothpier_world::client::End;
use mothpier_world::cluster::{Bend, NOBODY, SLOTS, Telling, slot_of};

use crate::plan::Boxes;
use crate::play::{Options, Report, World};
use crate::scenarios::{Scenario, ask, ended, faults, need, served, still};

const CLASSES: [&str; 3] = ["browse", "send-message", "send-interest"];
const PORT: u16 = 6379;

fn place(j: usize) -> String {
    format!("10.1.0.{}:{PORT}", j + 1)
}

/// A still world of three boxes that take writes themselves.
fn through(script: impl Fn(&Rc<World>) + 'static) -> Options {
    Options { size: Some((1, 3)), boxes: Some(Boxes::Through), ..still(script) }
}

/// The same with an origin that takes writes.
fn aside(script: impl Fn(&Rc<World>) + 'static) -> Options {
    Options { boxes: Some(Boxes::Cluster), ..through(script) }
}

/// A busy world of clusters with the faults of these lines.
fn busy(boxes: Boxes, lines: &[&str]) -> Options {
    Options { boxes: Some(boxes), ..faults(lines) }
}

/// Requests of each class, one every 40 ms, from a time on for so long.
fn traffic(world: &Rc<World>, from: u64, len: u64) {
    for n in 0..len / 40 {
        world.at(from + n * 40, move |world| {
            world.ask(n as usize, ask(CLASSES[(n % 3) as usize], n % 30, 550));
        });
    }
}

/// How the slots of the keys that are asked for stand, in every way that a box may bend it.
fn bent(bend: fn(usize) -> Bend) -> Vec<(u64, Options)> {
    [through as fn(fn(&Rc<World>)) -> Options, aside]
        .into_iter()
        .zip(0..)
        .map(|(make, seed)| {
            let options = make(|_| {});
            let script = move |world: &Rc<World>| {
                world.with_slots(|s| (0..3).for_each(|j| s.cluster.bend(j, Some((bend(j), 1.0)))));
                traffic(world, 3_000, 6_000);
                world.at(9_500, |world| world.with_slots(|s| (0..3).for_each(|j| s.cluster.bend(j, None))));
            };
            (seed, Options { script: Some(Rc::new(script)), ..options })
        })
        .collect()
}

/// Every box redirects to the next one or to itself, always: nothing is served there, everything has its answer.
fn bent_met(reports: &[Report]) -> Result<(), String> {
    // The first of them has no origin: every one of its requests is redirected and refused.
    let (through, aside) = (&reports[..1], &reports[1..]);
    need("request refused", ended(through, End::Busy))?;
    if ended(aside, End::Served) < 40 {
        return Err("with an origin reads and writes are served all the same".into());
    }
    let tries = through[0].tally.attempts.0;
    let most = through[0].tally.asked * 3;
    if tries > most { Err(format!("{tries} attempts of {most}")) } else { Ok(()) }
}

fn reshuffled(reports: &[Report]) -> Result<(), String> {
    served(reports)?;
    need("redirection", reports.iter().map(|r| r.tally.redirections).sum())
}

/// All cases.
pub const ALL: &[Scenario] = &[
    Scenario {
        name: "slots-back-and-forth",
        about: "the slots of popular keys are on their way between boxes that reset behind ASK",
        runs: || {
            let lines = [
                "migrate target=0 at=2500 len=10000",
                "reset-after target=1 at=3000 len=8000 extra=40",
                "reset-before target=2 at=3000 len=8000 extra=40",
            ];
            (0..6).map(|seed| (seed, busy(Boxes::Through, &lines))).collect()
        },
        met: reshuffled,
    },
    Scenario {
        name: "slots-pass-about",
        about: "slots change owners all the time while boxes die, drain and come back",
        runs: || {
            let lines = [
                "reshuffle at=2500 len=11000 extra=60",
                "crash target=0 at=4000 len=3000",
                "drain target=1 at=6000 len=3000",
                "silence target=2 at=8000 len=3000",
            ];
            let kinds = [Boxes::Through, Boxes::Cluster];
            (0..8).map(|seed| (seed, busy(kinds[seed as usize % 2], &lines))).collect()
        },
        met: reshuffled,
    },
    Scenario {
        name: "half-a-pipeline-redirected",
        about: "one connection sends sixty commands at once, and half of their slots have just moved",
        runs: || {
            let script = |world: &Rc<World>| {
                traffic(world, 2_000, 1_000);
                for round in 0..6u64 {
                    let at = 3_500 + round * 1_500;
                    world.at(at, |world| {
                        world.with_slots(|s| {
                            for key in (0..30u64).step_by(2) {
                                let slot = slot_of(&format!("k{key}"));
                                let to = (s.cluster.owner(slot) + 1) % 3;
                                s.cluster.assign(slot..=slot, to);
                            }
                            s.cluster.gossip();
                        });
                        let asks = (0..60).map(|n| ask(CLASSES[n as usize % 3], n % 30, 550)).collect();
                        world.pipeline(0, asks);
                    });
                }
            };
            (0..4).map(|seed| (seed, through(script))).collect()
        },
        met: reshuffled,
    },
    Scenario {
        name: "ask-while-the-target-drains",
        about: "a slot is on its way to a box of which word comes that it drains, at every instant of the way",
        runs: || {
            let run = |offset: u64| {
                let script = move |world: &Rc<World>| {
                    for round in 0..5u64 {
                        let (at, to) = (3_000 + round * 2_000, round as usize % 3);
                        world.at(at - 50, move |world| {
                            world.with_slots(|s| {
                                (0..40).for_each(|k| s.cluster.migrate(slot_of(&format!("k{k}")), to));
                            });
                        });
                        // Keys that nobody holds (one in five) are asked for where the slot goes.
                        world.at(at, move |world| {
                            for k in (0..40u64).step_by(5) {
                                world.ask(k as usize, ask(CLASSES[(k / 5) as usize % 3], k, 550));
                            }
                        });
                        world.at_us(at * 1_000 + offset, move |world| world.drain_now(to));
                        world.at(at + 300, move |world| {
                            for k in (0..40u64).step_by(5) {
                                world.ask(k as usize, ask(CLASSES[(k / 5) as usize % 3], k, 550));
                            }
                        });
                        world.at(at + 1_500, move |world| {
                            world.ready_now(to);
                            world.with_slots(|s| {
                                (0..40).for_each(|k| s.cluster.stay(slot_of(&format!("k{k}"))));
                            });
                        });
                    }
                };
                (offset, through(script))
            };
            (0..24).map(|n| run(n * 100)).collect()
        },
        met: |reports| {
            need("redirection", reports.iter().map(|r| r.tally.redirections).sum())?;
            need("request that could not be served", ended(reports, End::Busy) + ended(reports, End::Failed))
        },
    },
    Scenario {
        name: "redirects-to-itself",
        about: "every box redirects every command to itself",
        runs: || bent(|j| Bend::To { place: place(j), ask: false }),
        met: bent_met,
    },
    Scenario {
        name: "redirects-in-a-circle",
        about: "every box redirects every command to the next",
        runs: || bent(|j| Bend::To { place: place((j + 1) % 3), ask: j == 1 }),
        met: bent_met,
    },
    Scenario {
        name: "redirects-to-nowhere",
        about: "every box redirects every command to where the list has no box",
        runs: || bent(|_| Bend::To { place: "10.1.0.77:6379".into(), ask: false }),
        met: bent_met,
    },
    Scenario {
        name: "redirected-at-the-deadline",
        about: "a redirection comes when the client's time is just up, or all but",
        runs: || {
            let run = |after_us: i64| {
                let script = move |world: &Rc<World>| {
                    traffic(world, 2_000, 900);
                    for (n, class) in CLASSES.into_iter().enumerate() {
                        let at = 3_500 + n as u64 * 2_500;
                        let held = Duration::from_micros((400_000 - 800 + after_us) as u64);
                        world.at(at - 100, move |world| {
                            world.exactly(Some(held));
                            world.with_slots(|s| {
                                s.cluster.bend(0, Some((Bend::To { place: place(1), ask: true }, 1.0)));
                                s.cluster.bend(1, Some((Bend::To { place: place(2), ask: false }, 1.0)));
                            });
                        });
                        world.at(at, move |world| {
                            (0..12).for_each(|k| world.ask(k as usize, ask(class, k, 400)));
                        });
                        world.at(at + 1_500, |world| {
                            world.exactly(None);
                            world.with_slots(|s| (0..3).for_each(|j| s.cluster.bend(j, None)));
                        });
                    }
                };
                (0, through(script))
            };
            [-20_000, -1_000, -1, 0, 1, 1_000].map(run).to_vec()
        },
        met: |reports| {
            need("request without a value", ended(reports, End::Busy) + ended(reports, End::Failed))
        },
    },
    Scenario {
        name: "a-map-with-holes",
        about: "a third of the slots belongs to nobody, then to somebody again",
        runs: || {
            let script = |world: &Rc<World>| {
                traffic(world, 2_000, 10_000);
                world.at(3_000, |world| {
                    world.with_slots(|s| {
                        s.cluster.assign(0..=SLOTS / 3, NOBODY);
                        s.cluster.gossip();
                    });
                });
                world.at(8_000, |world| {
                    world.with_slots(|s| {
                        s.cluster.assign(0..=SLOTS / 3, 2);
                        s.cluster.gossip();
                    });
                });
            };
            vec![(0, through(script)), (1, aside(script))]
        },
        met: |reports| {
            served(reports)?;
            need("request refused while nobody has its slot", ended(&reports[..1], End::Busy))
        },
    },
    Scenario {
        name: "maps-that-nobody-can-read",
        about: "boxes hang, send noise, 5 MB or an old form when they are asked for the map, amid a reshuffle",
        runs: || {
            let run = |(seed, telling): (u64, [Telling; 3])| {
                let script = move |world: &Rc<World>| {
                    world.with_slots(|s| {
                        telling.iter().enumerate().for_each(|(j, t)| s.cluster.telling(j, *t));
                    });
                    traffic(world, 2_000, 10_000);
                    for round in 0..8 {
                        world.at(3_000 + round * 1_000, move |world| {
                            world.with_slots(|s| {
                                let first = round as u16 * 1_500;
                                s.cluster.assign(first..=first + 3_000, round as usize % 3);
                                s.cluster.gossip();
                            });
                        });
                    }
                };
                (seed, through(script))
            };
            use Telling::{Hangs, Huge, Noise, Slots};
            [
                [Hangs, Hangs, Hangs],
                [Noise, Noise, Noise],
                [Huge, Huge, Huge],
                [Slots, Slots, Slots],
                [Hangs, Noise, Slots],
            ]
            .into_iter()
            .enumerate()
            .map(|(n, t)| run((n as u64, t)))
            .collect()
        },
        met: reshuffled,
    },
    Scenario {
        name: "back-with-an-old-map",
        about: "a box dies, others take its slots, and it comes back sure that they are still its own",
        runs: || {
            let lines = ["old-map target=1 at=3000 len=2000", "reshuffle at=6000 len=6000 extra=30"];
            let kinds = [Boxes::Through, Boxes::Cluster];
            (0..8).map(|seed| (seed, busy(kinds[seed as usize % 2], &lines))).collect()
        },
        met: reshuffled,
    },
    Scenario {
        name: "a-cold-owner-of-half",
        about: "a box that has just come back cold is made the owner of half of the slots at once",
        runs: || {
            let run = |(seed, boxes): (u64, Boxes)| {
                let script = |world: &Rc<World>| {
                    world.at(5_600, |world| {
                        world.with_slots(|s| {
                            s.cluster.assign(0..=SLOTS / 2, 0);
                            s.cluster.gossip();
                        });
                    });
                };
                let options = Options {
                    size: Some((12, 4)),
                    rate: None,
                    load: Some(0.5),
                    work_ms: Some(40),
                    cold: Some((0.1, 20_000)),
                    writes: Some(0.05),
                    script: Some(Rc::new(script)),
                    ..busy(boxes, &["crash target=0 at=3000 len=2000"])
                };
                (seed, options)
            };
            [(0, Boxes::Cluster), (1, Boxes::Through), (2, Boxes::Cluster), (3, Boxes::Through)]
                .map(run)
                .to_vec()
        },
        met: reshuffled,
    },
];
