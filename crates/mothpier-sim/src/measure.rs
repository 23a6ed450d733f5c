//! What a reshuffle costs a tier, by the budget of questions for the slot map: how many requests are redirected, for how
//! long, and what the boxes are asked. One reshuffle under steady traffic, in virtual time; no faults.

use std::cell::RefCell;
use std::rc::Rc;

use mothpier_world::cluster::{Counts, SLOTS};

use crate::plan::Boxes;
use crate::play::{Options, World, play};

/// When the slots change owners, milliseconds: all nodes have had their map for some time.
const AT_MS: u64 = 6_000;
/// Between two looks, milliseconds.
const LOOK_MS: u64 = 100;
/// Looks before and after.
const LOOKS: (u64, u64) = (10, 80);
/// The budgets, in questions a second of the whole tier.
const BUDGETS: [f64; 6] = [1.0, 5.0, 20.0, 40.0, 80.0, 320.0];

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Tier {
    /// Nodes.
    pub nodes: usize,
    /// Boxes.
    pub boxes: usize,
    /// Keys that are asked for.
    pub keys: u64,
    /// Requests a second of the whole tier.
    pub rate: f64,
}

/// What one run showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shown {
    /// Part of the commands in the first second that were redirected.
    pub first_second: f64,
    /// Seconds until fewer than one in a hundred was, over half a second; `None` where that did not come.
    pub until_settled: Option<f64>,
    /// Redirections in all.
    pub redirected: u64,
    /// The most questions that the boxes were asked in one second.
    pub most_questions: u64,
    /// Questions after the reshuffle, in all.
    pub questions: u64,
}

/// Plays a reshuffle of a third of the slots.
///
/// # Errors
///
/// A rule that broke.
pub fn reshuffle(tier: Tier, budget: f64, seed: u64) -> Result<Shown, String> {
    let looks: Rc<RefCell<Vec<Counts>>> = Rc::default();
    let seen = looks.clone();
    let script = Rc::new(move |world: &Rc<World>| {
        for n in 0..LOOKS.0 + LOOKS.1 {
            let seen = seen.clone();
            world.at(AT_MS + n * LOOK_MS - LOOKS.0 * LOOK_MS, move |world| {
                world.with_slots(|s| seen.borrow_mut().push(s.cluster.counts.get()));
            });
        }
        world.at(AT_MS, |world| {
            world.with_slots(|s| {
                // Every third range of a thirtieth goes to the box behind its owner.
                for part in (0..30).step_by(3) {
                    let first = part * SLOTS / 30;
                    let owner = s.cluster.owner(first);
                    s.cluster.assign(first..=first + SLOTS / 30, (owner + 1) % world.boxes());
                }
                s.cluster.gossip();
            });
        });
    });
    let options = Options {
        faults: Some(Vec::new()),
        size: Some((tier.nodes, tier.boxes)),
        boxes: Some(Boxes::Cluster),
        questions_per_s: Some(budget),
        keys: Some(tier.keys),
        rate: Some(tier.rate),
        work_ms: Some(4),
        writes: Some(0.04),
        connect_ms: Some(1_000),
        script: Some(script),
        ..Options::default()
    };
    let report = play(seed, &options);
    if let Some(b) = report.broken {
        return Err(format!("rule {} broken at {} ms: {}", b.rule.name(), b.at_ms, b.what));
    }
    let looks = looks.borrow();
    let between = |from: usize, to: usize| {
        let (a, b) = (looks[from.min(looks.len() - 1)], looks[to.min(looks.len() - 1)]);
        (b.moved - a.moved, b.taken - a.taken, b.questions - a.questions)
    };
    let share = |from, to| {
        let (moved, taken, _) = between(from, to);
        moved as f64 / (moved + taken).max(1) as f64
    };
    let (begun, last) = (LOOKS.0 as usize, looks.len() - 1);
    let settled = (begun + 1..last - 5).find(|at| share(*at, at + 5) < 0.01);
    Ok(Shown {
        first_second: share(begun, begun + 10),
        until_settled: settled.map(|at| (at - begun) as f64 * LOOK_MS as f64 / 1_000.0),
        redirected: between(begun, last).0,
        most_questions: (begun..last - 10).map(|at| between(at, at + 10).2).max().unwrap_or(0),
        questions: between(begun, last).2,
    })
}

/// Plays all budgets for a tier and prints a line for each.
///
/// # Errors
///
/// A rule that broke.
pub fn table(tier: Tier, seed: u64, say: &dyn Fn(&str)) -> Result<(), String> {
    let Tier { nodes, boxes, keys, rate } = tier;
    say(&format!(
        "{nodes} nodes, {boxes} boxes, {keys} keys, {rate:.0} requests a second, a third of the slots moves\n"
    ));
    say("questions/s   redirected in   until under   redirected   questions   most questions\n");
    say("of the tier   the 1st second  1 %           in 8 s       in 8 s      in one second\n");
    for budget in BUDGETS {
        let shown = reshuffle(tier, budget, seed)?;
        let until = shown.until_settled.map_or("not in 8 s".into(), |s| format!("{s:.1} s"));
        say(&format!(
            "{budget:>11}   {:>12.1} %   {until:>11}   {:>10}   {:>9}   {:>13}\n",
            shown.first_second * 100.0,
            shown.redirected,
            shown.questions,
            shown.most_questions,
        ));
    }
    Ok(())
}
