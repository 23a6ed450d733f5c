//! The directed cases of sources of boxes that disagree, are silent or lie.

use std::rc::Rc;

use mothpier_world::client::End;
use mothpier_world::dns::Bend;

use crate::plan::{Beside, Boxes};
use crate::play::{Options, Report, World};
use crate::scenarios::{Scenario, ask, ended, faults, served, still};

/// A busy world of plain boxes with these sources, and the faults of these lines.
fn busy(beside: Beside, lines: &[&str]) -> Options {
    Options { beside: Some(beside), boxes: Some(Boxes::Plain), ..faults(lines) }
}

/// A still world whose nodes ask DNS, with reads all the time from 2 s to 13 s.
fn still_dns(script: impl Fn(&Rc<World>) + 'static) -> Options {
    let script = move |world: &Rc<World>| {
        script(world);
        for n in 0..110 {
            world.at(2_000 + n * 100, move |world| world.ask(n as usize, ask("browse", n % 30, 900)));
        }
    };
    Options { beside: Some(Beside::Dns), boxes: Some(Boxes::Plain), ..still(script) }
}

/// Every kind of wrong answer of all servers, from the start on: the list is enough to serve everything.
fn wrong_from_the_start() -> Vec<(u64, Options)> {
    const BENDS: [Bend; 12] = [
        Bend::Silent,
        Bend::Fails,
        Bend::NoName,
        Bend::Empty,
        Bend::CutNoTcp,
        Bend::CutHalf,
        Bend::NoLife,
        Bend::LongLife,
        Bend::Circle,
        Bend::Noise,
        Bend::Part,
        Bend::Late,
    ];
    let run = |bend| still_dns(move |world| world.with_names(|names| names.bend_all(Some(bend))));
    (0..).zip(BENDS.map(run)).collect()
}

/// The same while all lists are out of reach: what was goes on.
fn wrong_while_lists_are_out() -> Vec<(u64, Options)> {
    let run = |bend| {
        still_dns(move |world| {
            world.at(4_000, move |world| {
                (0..world.nodes()).for_each(|node| world.list_out(node, true));
                world.with_names(|names| names.bend_all(Some(bend)));
            });
            world.at(13_000, |world| (0..world.nodes()).for_each(|node| world.list_out(node, false)));
        })
    };
    (0..).zip([Bend::Silent, Bend::NoName, Bend::Empty, Bend::Part].map(run)).collect()
}

/// Forged answers before each good one, at all servers, all the time.
fn forged() -> Vec<(u64, Options)> {
    let stranger = "10.9.0.1:6379".parse().expect("an address");
    let run = |seed| {
        let options = still_dns(move |world| {
            world.with_names(|names| names.bend_all(Some(Bend::Forged(stranger))));
        });
        (seed, options)
    };
    (0..3).map(run).collect()
}

fn all_served(reports: &[Report]) -> Result<(), String> {
    // 110 in each run, and the 40 that a healed world is asked.
    let (served, all) = (ended(reports, End::Served), reports.len() as u64 * 150);
    if served == all { Ok(()) } else { Err(format!("{served} of {all} requests were served")) }
}

/// All cases.
pub const ALL: &[Scenario] = &[
    Scenario {
        name: "dns-names-what-drains",
        about: "boxes drain, are gone and come back while DNS names all of them all the time",
        runs: || {
            let lines = &[
                "drain target=0 at=3000 len=4000 extra=0",
                "drain target=1 at=4000 len=4000 extra=0",
                "crash target=2 at=5000 len=3000 extra=0",
                "replace target=3 at=6000 len=3000 extra=0",
                "drain target=4 at=9000 len=3000 extra=0",
            ];
            (0..6).map(|seed| (seed, busy(Beside::Both, lines))).collect()
        },
        met: served,
    },
    Scenario {
        name: "dns-names-what-drains-list-out",
        about: "the same with the list out of reach for some of the nodes, and datagrams that are lost",
        runs: || {
            let lines = &[
                "list-down target=0 at=2500 len=9000 extra=0",
                "post target=0 at=2500 len=9000 extra=40",
                "drain target=0 at=3000 len=4000 extra=0",
                "crash target=2 at=5000 len=3000 extra=0",
                "drain target=4 at=7000 len=3000 extra=0",
            ];
            (0..6).map(|seed| (seed, busy(Beside::Both, lines))).collect()
        },
        met: served,
    },
    Scenario {
        name: "dns-wrong-from-the-start",
        about: "each way in which DNS can be wrong, at all servers and for good",
        runs: wrong_from_the_start,
        met: all_served,
    },
    Scenario {
        name: "dns-wrong-lists-out",
        about: "DNS says nothing, or that there is nothing, while all lists are out of reach",
        runs: wrong_while_lists_are_out,
        met: all_served,
    },
    Scenario {
        name: "dns-forged",
        about: "before each answer come others: another id, another name, another port; they name a stranger",
        runs: forged,
        met: all_served,
    },
];
