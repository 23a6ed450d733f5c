//! What goes wrong in a trial and when: drawn from a seed, kept as a file. Pure.

use mothpier_world::Dice;
use serde::{Deserialize, Serialize};

/// A process of the trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Who {
    /// A coordinator, by its number from 1.
    Coordinator(usize),
    /// A node, from 0.
    Node(usize),
    /// One that wants the lease, from 0; of drains, the desk of the staff.
    Contender(usize),
    /// Whoever of them holds it when its time comes.
    Holder,
}

/// What a link does with what goes through it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    /// All goes through.
    Open,
    /// Nothing does, either way; connections stay open, and new ones are accepted and silent.
    Cut,
    /// What is asked goes through, what is answered does not.
    NoAnswers,
    /// What is asked does not go through.
    NoCalls,
    /// Everything comes so many ms late.
    Late(u64),
    /// A few bytes at a time.
    Trickle,
    /// Connections are reset, and new ones at once.
    Reset,
}

/// Something that goes wrong, or is mended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// All links of a process, both its own and those to it, behave in a way.
    Links(Who, Way),
    /// The link from one to another does.
    Link(Who, Who, Way),
    /// SIGKILL; started again after so many ms, with its disk if it has one.
    Kill(Who, u64),
    /// SIGSTOP, and SIGCONT after so many ms.
    Stop(Who, u64),
    /// SIGKILL of all coordinators, each started again after so many ms.
    KillAllCoordinators(u64),
}

/// How large a trial is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Coordinators.
    pub coordinators: usize,
    /// Nodes.
    pub nodes: usize,
    /// Contenders.
    pub contenders: usize,
    /// For how long things go wrong.
    pub ms: u64,
    /// A session's time.
    pub ttl_ms: u64,
}

/// A trial: when what goes wrong, and for how long links stay so.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// How large it is.
    pub size: Size,
    /// In order of their times, ms from the beginning.
    pub faults: Vec<(u64, Fault)>,
}

impl Plan {
    /// Draws a trial.
    pub fn draw(seed: u64, size: Size) -> Plan {
        let dice = Dice::part(seed, 77);
        let mut faults = Vec::new();
        let any = |dice: &Dice| match dice.within(0, 10) {
            0..4 => Who::Coordinator(dice.within(1, size.coordinators as u64 + 1) as usize),
            4..6 => Who::Node(dice.within(0, size.nodes as u64) as usize),
            // Where nobody holds a lease it falls to the nodes.
            6..8 if size.contenders > 1 => Who::Holder,
            6..8 => Who::Node(dice.within(0, size.nodes as u64) as usize),
            _ => Who::Contender(dice.within(0, size.contenders as u64) as usize),
        };
        let mut at = 500;
        while at < size.ms {
            let way = match dice.within(0, 8) {
                0 | 1 => Way::Cut,
                2 => Way::NoAnswers,
                3 => Way::NoCalls,
                4 | 5 => Way::Late(dice.within(5, 400)),
                6 => Way::Trickle,
                _ => Way::Reset,
            };
            let lasts = dice.within(100, 2 * size.ttl_ms);
            match dice.within(0, 12) {
                0..3 => {
                    let who = any(&dice);
                    faults.push((at, Fault::Links(who, way)));
                    faults.push((at + lasts, Fault::Links(who, Way::Open)));
                }
                3..5 => {
                    let from = match any(&dice) {
                        Who::Holder => Who::Contender(0),
                        from => from,
                    };
                    let to = Who::Coordinator(dice.within(1, size.coordinators as u64 + 1) as usize);
                    if from != to {
                        faults.push((at, Fault::Link(from, to, way)));
                        faults.push((at + lasts, Fault::Link(from, to, Way::Open)));
                    }
                }
                5..7 => faults.push((at, Fault::Kill(any(&dice), dice.within(50, size.ttl_ms)))),
                7 => faults.push((at, Fault::KillAllCoordinators(dice.within(50, 500)))),
                // Up to three lifetimes: a holder may be stopped between its check and its act.
                _ => {
                    let holds = size.contenders > 1 && dice.chance(0.7);
                    let who = if holds { Who::Holder } else { any(&dice) };
                    faults.push((at, Fault::Stop(who, dice.within(200, 3 * size.ttl_ms))));
                }
            }
            at += dice.within(50, 500);
        }
        faults.sort_by_key(|(at, _)| *at);
        Plan { seed, size, faults }
    }

    /// One is cut off for nearly all of the time, and nothing else befalls it.
    pub fn cut_off(&mut self, who: Who) {
        let befalls = |fault: &Fault| {
            matches!(fault, Fault::Links(w, _) | Fault::Kill(w, _) | Fault::Stop(w, _) if *w == who)
                || matches!(fault, Fault::Link(one, other, _) if *one == who || *other == who)
        };
        self.faults.retain(|(_, fault)| !befalls(fault));
        self.faults.insert(0, (0, Fault::Links(who, Way::Cut)));
        self.faults.push((self.size.ms, Fault::Links(who, Way::Open)));
    }
}

#[cfg(test)]
mod tests;
