//! How soon all nodes know of a new box, a death and a drain, by the sources that they have and with each source out; what
//! DNS is asked; and what word of mouth is worth while lists are out of reach. One run for each row, in virtual time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;

use mothpier_world::dns::Bend;

use crate::plan::{Beside, Boxes};
use crate::play::{Options, World, play};

/// When the changes come, milliseconds: new box, death, drain. All nodes have settled by then, and each change has
/// its own time to be known.
const NEW_MS: u64 = 5_000;
const DEATH_MS: u64 = 7_000;
const DRAIN_MS: u64 = 8_000;
/// Between two looks at each node, milliseconds.
const LOOK_MS: u64 = 100;
/// The last look: a change that is not known by then counts as not known.
const LAST_LOOK_MS: u64 = 18_000;
/// A list outage: when it begins, how long it lasts, and a drain every so often within it, milliseconds.
const OUTAGE_MS: (u64, u64, u64) = (4_000, 25_000, 2_000);
/// A drain is kept by a node whose view has it so long after the list told the first node, milliseconds: the rule's grace.
const KEPT_MS: u64 = 500;
/// The first node is told by its list within the notice's least delay and some of a round trip, milliseconds.
const FIRST_TOLD_MS: u64 = 60;

/// One tier.
#[derive(Clone, Copy, Debug)]
pub struct Tier {
    /// Nodes.
    pub nodes: usize,
    /// Boxes, one of which is new.
    pub boxes: usize,
}

/// What is out of reach.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Out {
    Nothing,
    /// All lists.
    Lists,
    /// The lists of every second node.
    HalfOfLists,
    Dns,
}

/// Since a change, when each node knew it, milliseconds; `None` for one that never did.
type Known = Vec<Option<u64>>;

struct Shown {
    changes: [Known; 3],
    /// Questions to DNS in the first two seconds, in the fifth, and in a second of the last ten.
    questions: [f64; 3],
}

fn options(tier: Tier, beside: Beside, script: impl Fn(&Rc<World>) + 'static) -> Options {
    Options {
        faults: Some(Vec::new()),
        size: Some((tier.nodes, tier.boxes)),
        boxes: Some(Boxes::Plain),
        beside: Some(beside),
        newcomer_ms: Some(NEW_MS),
        rate: Some(100.0),
        work_ms: Some(10),
        connect_ms: Some(250),
        cold: Some((0.3, 5_000)),
        script: Some(Rc::new(script)),
        ..Options::default()
    }
}

fn played(seed: u64, options: &Options) -> Result<(), String> {
    match play(seed, options).broken {
        Some(b) => Err(format!("rule {} broke at {} ms: {}", b.rule.name(), b.at_ms, b.what)),
        None => Ok(()),
    }
}

/// Looks at every node every so often, and notes when its view first meets a condition.
fn watch(
    world: &Rc<World>,
    from: u64,
    until: u64,
    known: &Rc<RefCell<BTreeMap<usize, u64>>>,
    met: impl Fn(&[String]) -> bool + Clone + 'static,
) {
    for at in (from..until).step_by(LOOK_MS as usize) {
        for node in 0..world.nodes() {
            let (known, met) = (known.clone(), met.clone());
            world.at(at, move |world| {
                if known.borrow().contains_key(&node) {
                    return;
                }
                world.look(node, move |ready| {
                    if !ready.is_empty() && met(&ready) {
                        known.borrow_mut().entry(node).or_insert(at - from);
                    }
                });
            });
        }
    }
}

fn row(tier: Tier, beside: Beside, out: Out, seed: u64) -> Result<Shown, String> {
    let known: [Rc<RefCell<BTreeMap<usize, u64>>>; 3] = Default::default();
    let questions: Rc<RefCell<BTreeMap<u64, u64>>> = Rc::default();
    let (seen, asked) = (known.clone(), questions.clone());
    let script = move |world: &Rc<World>| {
        let (new, dead, drains) = (tier.boxes - 1, 0, 1);
        let at = |j: usize| world.box_at(j).to_string();
        let place = at(new);
        watch(world, NEW_MS, LAST_LOOK_MS, &seen[0], move |ready| ready.contains(&place));
        let place = at(dead);
        watch(world, DEATH_MS, LAST_LOOK_MS, &seen[1], move |ready| !ready.contains(&place));
        let place = at(drains);
        watch(world, DRAIN_MS, LAST_LOOK_MS, &seen[2], move |ready| !ready.contains(&place));
        world.at(DEATH_MS, move |world| world.box_dies_for_good(dead));
        world.at(DRAIN_MS, move |world| world.drains(drains));
        world.at(NEW_MS - 1_000, move |world| {
            (0..world.nodes()).for_each(|node| {
                let lists = out == Out::Lists || (out == Out::HalfOfLists && node % 2 == 1);
                if lists {
                    world.list_out(node, true);
                }
            });
            if out == Out::Dns {
                world.with_names(|names| names.bend_all(Some(Bend::Silent)));
            }
        });
        for second in [0, 2, 4, 5, 8, LAST_LOOK_MS / 1000] {
            let asked = asked.clone();
            world.at(second * 1000, move |world| {
                world.with_names(|names| {
                    asked.borrow_mut().insert(second, names.questions());
                });
            });
        }
        // The world must be whole in the end, for its own checks.
        world.at(LAST_LOOK_MS + 100, move |world| {
            (0..world.nodes()).for_each(|node| world.list_out(node, false));
            world.ready_now(drains);
            world.box_dies(dead, 0);
            world.ready_now(dead);
        });
    };
    played(seed, &options(tier, beside, script))?;
    let of = |n: usize| {
        let known = known[n].borrow();
        (0..tier.nodes).map(|node| known.get(&node).copied()).collect()
    };
    let q = questions.borrow();
    let part = |from: u64, to: u64| {
        let between = q.get(&to).copied().unwrap_or(0).saturating_sub(q.get(&from).copied().unwrap_or(0));
        between as f64 / (to - from) as f64
    };
    Ok(Shown {
        changes: [of(0), of(1), of(2)],
        questions: [part(0, 2), part(4, 5), part(8, LAST_LOOK_MS / 1000)],
    })
}

/// The middle and the last, in seconds, and how many never knew.
fn times(known: &Known) -> String {
    let mut there: Vec<u64> = known.iter().flatten().copied().collect();
    there.sort_unstable();
    let never = known.len() - there.len();
    let s = |ms: u64| ms as f64 / 1000.0;
    match (there.get(there.len() / 2), there.last()) {
        (Some(middle), Some(last)) if never == 0 => format!("{:.1} / {:.1} s", s(*middle), s(*last)),
        (Some(middle), Some(_)) => format!("{:.1} s / {never} never", s(*middle)),
        _ => "never".into(),
    }
}

/// Part of the drains that nodes whose list is out keep, and of those that all nodes keep.
fn kept(tier: Tier, beside: Beside, seed: u64) -> Result<(f64, f64), String> {
    let drains = (OUTAGE_MS.1 / OUTAGE_MS.2) as usize - 1;
    let drains = drains.min(tier.boxes - 2);
    let known: Vec<Rc<RefCell<BTreeMap<usize, u64>>>> = (0..drains).map(|_| Rc::default()).collect();
    let seen = known.clone();
    let script = move |world: &Rc<World>| {
        world.at(OUTAGE_MS.0, |world| {
            (1..world.nodes()).step_by(2).for_each(|node| world.list_out(node, true));
        });
        for (j, known) in seen.iter().enumerate() {
            let at = OUTAGE_MS.0 + (j as u64 + 1) * OUTAGE_MS.2;
            let place = world.box_at(j).to_string();
            world.at(at, move |world| {
                world.drain_now(j);
                // The one before it takes requests again; nodes that were told hear it, the others never knew more.
                if let Some(before) = j.checked_sub(1) {
                    world.ready_now(before);
                }
            });
            watch(world, at, at + FIRST_TOLD_MS + KEPT_MS + LOOK_MS, known, move |ready| {
                !ready.contains(&place)
            });
        }
        let end = OUTAGE_MS.0 + OUTAGE_MS.1;
        world.at(end, move |world| {
            (0..world.nodes()).for_each(|node| world.list_out(node, false));
            world.ready_now(drains - 1);
        });
    };
    played(seed, &options(tier, beside, script))?;
    let out: Vec<usize> = (1..tier.nodes).step_by(2).collect();
    let by_out: usize = known.iter().map(|k| out.iter().filter(|n| k.borrow().contains_key(n)).count()).sum();
    let by_all = known.iter().filter(|k| k.borrow().len() == tier.nodes).count();
    Ok((by_out as f64 / (drains * out.len()) as f64, by_all as f64 / drains as f64))
}

/// Prints both tables.
///
/// # Errors
///
/// A rule that broke.
pub fn tables(tier: Tier, seed: u64, say: &dyn Fn(&str)) -> Result<(), String> {
    say(&format!(
        "{} nodes, {} boxes, seed {seed}; time until half of the nodes / the last one knew\n\n",
        tier.nodes, tier.boxes
    ));
    say("| sources | out of reach | new box | death | drain | DNS questions a second: start, rest, then |\n");
    say("| --- | --- | --- | --- | --- | --- |\n");
    let rows = [
        (Beside::Nothing, Out::Nothing),
        (Beside::Nothing, Out::HalfOfLists),
        (Beside::Rumours, Out::Nothing),
        (Beside::Rumours, Out::HalfOfLists),
        (Beside::Dns, Out::Nothing),
        (Beside::Dns, Out::Lists),
        (Beside::Both, Out::Nothing),
        (Beside::Both, Out::HalfOfLists),
        (Beside::Both, Out::Lists),
        (Beside::Both, Out::Dns),
    ];
    for (beside, out) in rows {
        let shown = row(tier, beside, out, seed)?;
        let out = match out {
            Out::Nothing => "nothing",
            Out::Lists => "all lists",
            Out::HalfOfLists => "half of the lists",
            Out::Dns => "DNS",
        };
        let [new, death, drain] = &shown.changes;
        let mut line =
            format!("| {} | {out} | {} | {} | {} | ", beside.name(), times(new), times(death), times(drain));
        let _ = match beside.dns() {
            true => {
                let [start, rest, then] = shown.questions;
                write!(line, "{start:.0}, {rest:.0}, {then:.0}")
            }
            false => write!(line, "-"),
        };
        say(&format!("{line} |\n"));
    }
    say(&format!(
        "\nHalf of the lists out of reach for {} s, a drain every {} s: kept {} ms after the first node was told\n\n",
        OUTAGE_MS.1 / 1000,
        OUTAGE_MS.2 / 1000,
        KEPT_MS
    ));
    say(
        "| word of mouth | drains kept by nodes whose list is out | drains kept by all nodes |\n| --- | --- | --- |\n",
    );
    for beside in [Beside::Nothing, Beside::Rumours] {
        let (by_out, by_all) = kept(tier, beside, seed)?;
        let on = if beside.rumours() { "on" } else { "off" };
        say(&format!("| {on} | {:.1} % | {:.1} % |\n", by_out * 100.0, by_all * 100.0));
    }
    Ok(())
}
