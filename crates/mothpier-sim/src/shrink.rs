//! Cutting a failing run down to the fewest faults that still break the same rule, and runs as small text files.

use std::fmt::Write;
use std::path::Path;

use mothpier::Mutation;

use crate::oracle::Rule;
use crate::plan::{Beside, Boxes, Fault};
use crate::play::{Options, play};

/// A run as a file keeps it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kept {
    /// The seed.
    pub seed: u64,
    /// The mistake planted in the nodes.
    pub plant: Option<Mutation>,
    /// What its boxes are; drawn from the seed where that is not told.
    pub boxes: Option<Boxes>,
    /// Which sources of boxes its nodes have beside the list; drawn likewise.
    pub beside: Option<Beside>,
    /// The faults in place of the seed's; `None` leaves those.
    pub faults: Option<Vec<Fault>>,
}

/// A plant by its name.
///
/// # Errors
///
/// A name that there is not, with those that there are.
pub fn plant_named(name: &str) -> Result<Mutation, String> {
    Mutation::ALL.into_iter().find(|p| plant_name(*p) == name).ok_or_else(|| {
        let names: Vec<String> = Mutation::ALL.iter().map(|p| plant_name(*p)).collect();
        format!("{name:?} is no planted mistake; there are {}", names.join(", "))
    })
}

/// A plant's name: its words in small letters.
pub fn plant_name(plant: Mutation) -> String {
    let mut name = String::new();
    for c in format!("{plant:?}").chars() {
        if c.is_ascii_uppercase() && !name.is_empty() {
            name.push('-');
        }
        name.push(c.to_ascii_lowercase());
    }
    name
}

impl Kept {
    /// Reads a file's text; the error names the line.
    ///
    /// # Errors
    ///
    /// The first line that can't be read, and why.
    pub fn parse(text: &str) -> Result<Self, String> {
        // Files of before there were clusters, or more sources, do not tell.
        let (boxes, beside) = (Some(Boxes::Plain), Some(Beside::Nothing));
        let (mut kept, mut seed) = (Kept { boxes, beside, ..Kept::default() }, None);
        for (number, line) in text.lines().enumerate() {
            let at = |e: String| format!("line {}: {e}", number + 1);
            let line = line.split('#').next().unwrap_or_default().trim();
            match line.split_once(' ').unwrap_or((line, "")) {
                ("", _) => {}
                ("seed", n) => {
                    let n = n.trim().parse::<u64>();
                    seed = Some(n.map_err(|_| at("a seed is a whole number, as in \"seed 7\"".into()))?);
                }
                ("plant", name) => kept.plant = Some(plant_named(name.trim()).map_err(at)?),
                ("boxes", name) => {
                    let boxes = Boxes::ALL.into_iter().find(|b| b.name() == name.trim());
                    let boxes =
                        boxes.ok_or_else(|| at(format!("{name:?} is none of plain, cluster, through")))?;
                    kept.boxes = Some(boxes);
                }
                ("sources", name) => {
                    let beside = Beside::ALL.into_iter().find(|b| b.name() == name.trim());
                    let names = Beside::ALL.map(Beside::name).join(", ");
                    let beside = beside.ok_or_else(|| at(format!("{name:?} is none of {names}")))?;
                    kept.beside = Some(beside);
                }
                ("none", _) => kept.faults = Some(Vec::new()),
                ("fault", rest) => {
                    kept.faults.get_or_insert_default().push(rest.parse().map_err(at)?);
                }
                (word, _) => {
                    return Err(at(format!("{word:?} is none of seed, plant, boxes, sources, fault, none")));
                }
            }
        }
        kept.seed = seed.ok_or("no line \"seed NUMBER\"")?;
        Ok(kept)
    }

    /// Reads a file.
    ///
    /// # Errors
    ///
    /// One line that names the file and what is wrong.
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Kept::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Its text.
    pub fn text(&self, note: &str) -> String {
        let mut text = String::new();
        for line in note.lines() {
            let _ = writeln!(text, "# {line}");
        }
        let _ = writeln!(text, "seed {}", self.seed);
        if let Some(plant) = self.plant {
            let _ = writeln!(text, "plant {}", plant_name(plant));
        }
        if let Some(boxes) = self.boxes {
            let _ = writeln!(text, "boxes {}", boxes.name());
        }
        if let Some(beside) = self.beside {
            let _ = writeln!(text, "sources {}", beside.name());
        }
        match &self.faults {
            Some(faults) if faults.is_empty() => text += "none\n",
            Some(faults) => faults.iter().for_each(|f| {
                let _ = writeln!(text, "fault {f}");
            }),
            None => {}
        }
        text
    }

    /// How it is played.
    pub fn options(&self) -> Options {
        let Kept { plant, boxes, beside, .. } = *self;
        Options { faults: self.faults.clone(), plant, boxes, beside, ..Options::default() }
    }
}

/// Cuts a run down; `None` where it breaks nothing. Gives the run, the rule, and how many runs it took.
pub fn shrink(start: &Kept) -> Option<(Kept, Rule, u32)> {
    let report = play(start.seed, &start.options());
    let rule = report.broken?.rule;
    let boxes = start.boxes.unwrap_or_else(|| Boxes::draw(start.seed));
    let beside = start.beside.unwrap_or_else(|| Beside::draw(start.seed));
    let start = Kept { boxes: Some(boxes), beside: Some(beside), ..start.clone() };
    let (mut best, mut runs) = (Kept { faults: Some(report.faults), ..start.clone() }, 1);
    let mut still = |faults: Vec<Fault>| {
        runs += 1;
        let tried = Kept { faults: Some(faults), ..start.clone() };
        let same = play(tried.seed, &tried.options()).broken.is_some_and(|b| b.rule == rule);
        same.then_some(tried)
    };
    loop {
        let mut cut = None;
        let faults = best.faults.clone().unwrap_or_default();
        for at in 0..faults.len() {
            let mut fewer = faults.clone();
            fewer.remove(at);
            cut = still(fewer);
            if cut.is_some() {
                break;
            }
        }
        // Then shorter ones.
        for at in 0..faults.len() {
            if cut.is_some() || faults[at].len < 50 {
                continue;
            }
            let mut shorter = faults.clone();
            shorter[at].len /= 2;
            cut = still(shorter);
        }
        match cut {
            Some(fewer) => best = fewer,
            None => return Some((best, rule, runs)),
        }
    }
}

#[cfg(test)]
mod tests;
