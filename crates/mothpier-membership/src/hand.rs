//! Boxes that staff have taken out by hand. Pure: a filter behind every source, so that the hand outranks them all.
//!
//! | the sources say | by hand | it counts as |
//! | --- | --- | --- |
//! | ready | out, or drained by the fleet's agreement | draining |
//! | draining, gone, nothing | out | what they say; it stays out when it comes back |
//! | anything | back in | what they say, cold since the call back unless they know of a start after the call out |

use std::collections::{BTreeMap, BTreeSet};

use crate::line::{Line, Phase};

/// Boxes that may be out at a time: far more than a fleet has, and a bound for what callers can make a node keep.
pub const MOST_OUT: usize = 4_096;
/// The longest id that is kept.
pub const MOST_ID: usize = 256;

/// Why a call is not obeyed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Neither the sources nor the hand know it.
    Unknown,
    /// It is the origin, without which no write goes anywhere.
    Origin,
    /// Too many are out.
    Full,
}

impl Refused {
    /// In words for staff.
    pub fn name(self) -> &'static str {
        match self {
            Refused::Unknown => "no cache server of this id is known here",
            Refused::Origin => "that is the origin, not a cache server",
            Refused::Full => "too many cache servers are out by hand",
        }
    }
}

/// What staff say of boxes, and what the sources last said of each.
#[derive(Clone, Debug, Default)]
pub struct Hand {
    origin: Option<String>,
    listed: BTreeMap<String, Line>,
    /// Out, and since when.
    out: BTreeMap<String, u64>,
    /// Drained by the fleet's agreement, and since when: a set of its own, so that neither word undoes the other.
    agreed: BTreeMap<String, u64>,
    /// Back, when they were taken out and when they came back.
    back: BTreeMap<String, (u64, u64)>,
}

impl Hand {
    /// Nothing is out; the origin's machine kind tells what is no cache server.
    pub fn new(origin: Option<String>) -> Self {
        Hand { origin, ..Hand::default() }
    }

    /// Takes what the sources say, whole or changes, and gives it as it counts.
    pub fn list(&mut self, whole: bool, mut lines: Vec<Line>) -> Vec<Line> {
        if whole {
            self.listed.clear();
        }
        for line in &mut lines {
            if line.phase == Phase::Gone {
                self.listed.remove(&line.id);
            } else {
                self.listed.insert(line.id.clone(), line.clone());
            }
            *line = self.counts(line.clone());
        }
        // What was assumed of a start holds until the box goes: it comes back under its own start, then.
        let listed = &self.listed;
        self.back.retain(|id, _| listed.contains_key(id));
        lines
    }

    /// Takes a box out. Gives the line that changes by it, if one does.
    ///
    /// # Errors
    ///
    /// One that is not known here or is no cache server.
    pub fn exclude(&mut self, now: u64, id: &str) -> Result<Option<Line>, Refused> {
        if self.out.contains_key(id) {
            return Ok(None);
        }
        let line = self.listed.get(id).ok_or(Refused::Unknown)?;
        if self.is_origin(line) {
            return Err(Refused::Origin);
        }
        if self.out.len() >= MOST_OUT {
            return Err(Refused::Full);
        }
        let line = line.clone();
        self.back.remove(id);
        self.out.insert(id.to_owned(), now);
        Ok(Some(self.counts(line)))
    }

    /// Lets a box serve again. Gives the line that changes by it, if one does.
    ///
    /// # Errors
    ///
    /// One that neither the sources nor the hand know.
    pub fn include(&mut self, now: u64, id: &str) -> Result<Option<Line>, Refused> {
        let since = self.out.remove(id);
        let drained = self.agreed.contains_key(id);
        match (since, self.listed.get(id).cloned()) {
            (Some(_), Some(_)) if drained => Ok(None),
            (None, None) => Err(Refused::Unknown),
            (None, Some(line)) if self.is_origin(&line) => Err(Refused::Origin),
            (None, Some(_)) | (Some(_), None) => Ok(None),
            (Some(since), Some(line)) => {
                self.back.insert(id.to_owned(), (since, now));
                Ok(Some(self.counts(line)))
            }
        }
    }

    /// Who is drained by the fleet's agreement, all of them. Gives the lines that change by it.
    pub fn agree(&mut self, now: u64, drained: &BTreeSet<String>) -> Vec<Line> {
        let mut changed: Vec<Line> = Vec::new();
        let over: Vec<(String, u64)> = self.agreed.extract_if(.., |id, _| !drained.contains(id)).collect();
        for (id, since) in over.into_iter().filter(|(id, _)| !self.out.contains_key(id)) {
            let line = self.listed.get(&id).filter(|line| !self.is_origin(line)).cloned();
            if let Some(line) = line {
                self.back.insert(id, (since, now));
                changed.push(self.counts(line));
            }
        }
        for id in drained.iter().take(MOST_OUT) {
            if self.agreed.insert(id.clone(), now).is_none() && !self.out.contains_key(id) {
                self.back.remove(id);
                let line = self.listed.get(id).filter(|line| !self.is_origin(line)).cloned();
                changed.extend(line.map(|line| self.counts(line)));
            }
        }
        changed
    }

    /// The cache servers that the sources say are ready, whatever is said by hand.
    pub fn ready(&self) -> impl Iterator<Item = &Line> {
        self.listed.values().filter(|line| line.phase == Phase::Ready && !self.is_origin(line))
    }

    /// One that knows of nobody who is out.
    pub fn emptied(self) -> Self {
        Hand::new(self.origin)
    }

    /// What the sources say, without the hand.
    pub fn listed(&self) -> impl Iterator<Item = &Line> {
        self.listed.values()
    }

    /// Who is out, and since when.
    pub fn out(&self) -> &BTreeMap<String, u64> {
        &self.out
    }

    /// Takes over who is out from an earlier process or another one of this node. Gives the lines that change by it.
    pub fn take_over(&mut self, now: u64, out: &BTreeMap<String, u64>) -> Vec<Line> {
        let mut changed: Vec<Line> = Vec::new();
        let back: Vec<String> = self.out.keys().filter(|id| !out.contains_key(*id)).cloned().collect();
        for id in back {
            changed.extend(self.include(now, &id).ok().flatten());
        }
        for (id, since) in out.iter().take(MOST_OUT) {
            if self.out.insert(id.clone(), *since).is_none() {
                self.back.remove(id);
                changed.extend(self.listed.get(id).cloned().map(|line| self.counts(line)));
            }
        }
        changed
    }

    /// The cache servers that the sources name, and whether each takes requests as far as they and the hand say.
    pub fn members(&self) -> impl Iterator<Item = (&str, bool)> {
        let boxes = self.listed.values().filter(|line| !self.is_origin(line));
        boxes.map(|l| (l.id.as_str(), l.phase == Phase::Ready && !self.is_out(l)))
    }

    fn is_origin(&self, line: &Line) -> bool {
        self.origin.as_ref().is_some_and(|kind| *kind == line.flavor)
    }

    fn is_out(&self, line: &Line) -> bool {
        // The origin is no cache server, whatever it is called.
        self.out.contains_key(&line.id) || self.agreed.contains_key(&line.id) && !self.is_origin(line)
    }

    /// A line as it counts.
    fn counts(&self, mut line: Line) -> Line {
        if self.is_out(&line) {
            if line.phase == Phase::Ready {
                line.phase = Phase::Draining;
            }
        } else if let Some((since, back)) = self.back.get(&line.id)
            && line.up_since_ms <= *since
        {
            // It was likely restarted while out, and the sources are late to tell.
            line.up_since_ms = *back;
        }
        line
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(id: &str, phase: Phase, up_since_ms: u64) -> Line {
        let flavor = if id == "o" { "origin" } else { "m" };
        Line {
            id: id.into(),
            host_port: "10.0.0.1:1".into(),
            locality: "a".into(),
            flavor: flavor.into(),
            cell: 0,
            size: None,
            up_since_ms,
            phase,
        }
    }

    fn hand() -> Hand {
        let mut hand = Hand::new(Some("origin".into()));
        let lines = ["a", "b", "o"].map(|id| line(id, Phase::Ready, 5)).to_vec();
        assert_eq!(hand.list(true, lines.clone()), lines);
        hand
    }

    #[test]
    fn what_is_out_stays_out_whatever_the_sources_say() {
        let mut hand = hand();
        let out = hand.exclude(100, "a").unwrap().unwrap();
        assert_eq!((out.phase, out.id.as_str()), (Phase::Draining, "a"));
        assert_eq!(hand.exclude(200, "a"), Ok(None), "twice out is out once");
        for (whole, phase) in [(false, Phase::Ready), (true, Phase::Ready), (false, Phase::Draining)] {
            assert_eq!(hand.list(whole, vec![line("a", phase, 5)])[0].phase, Phase::Draining);
        }
        // Gone and back under its id, and missing from a whole list.
        assert_eq!(hand.list(false, vec![line("a", Phase::Gone, 5)])[0].phase, Phase::Gone);
        assert_eq!(hand.list(false, vec![line("a", Phase::Ready, 300)])[0].phase, Phase::Draining);
        assert!(hand.list(true, Vec::new()).is_empty());
        assert_eq!(hand.list(true, vec![line("a", Phase::Ready, 300)])[0].phase, Phase::Draining);
        // One call back undoes both calls out.
        assert_eq!(hand.include(400, "a").unwrap().unwrap().phase, Phase::Ready);
        assert_eq!(hand.include(500, "a"), Ok(None), "back when not out changes nothing");
    }

    #[test]
    fn the_way_back_works_while_the_box_is_not_listed_and_strangers_are_owed_a_no() {
        let mut hand = hand();
        assert_eq!(hand.exclude(1, "x"), Err(Refused::Unknown));
        assert_eq!(hand.include(1, "x"), Err(Refused::Unknown));
        assert_eq!(hand.exclude(1, "o"), Err(Refused::Origin));
        assert_eq!(hand.include(1, "o"), Err(Refused::Origin));
        hand.exclude(1, "a").unwrap();
        hand.list(true, vec![line("b", Phase::Ready, 5)]);
        assert_eq!(hand.include(2, "a"), Ok(None));
        assert_eq!(hand.include(3, "a"), Err(Refused::Unknown), "neither the list nor the hand know it now");
        assert_eq!(hand.list(false, vec![line("a", Phase::Ready, 5)])[0].phase, Phase::Ready);
    }

    #[test]
    fn a_box_comes_back_cold_until_its_own_start_is_known() {
        let mut hand = hand();
        hand.exclude(100, "a").unwrap();
        assert_eq!(hand.include(500, "a").unwrap().unwrap().up_since_ms, 500);
        assert_eq!(hand.list(true, vec![line("a", Phase::Ready, 5)])[0].up_since_ms, 500, "the list is late");
        assert_eq!(hand.list(false, vec![line("a", Phase::Ready, 300)])[0].up_since_ms, 300);
        // The list knew of the start before the call back.
        hand.exclude(600, "a").unwrap();
        hand.list(false, vec![line("a", Phase::Ready, 700)]);
        assert_eq!(hand.include(900, "a").unwrap().unwrap().up_since_ms, 700);
        // Out again at once: no assumption is left of the time before.
        hand.exclude(950, "a").unwrap();
        assert_eq!(hand.include(960, "a").unwrap().unwrap().up_since_ms, 960);
    }

    #[test]
    fn the_fleet_and_the_hand_each_keep_a_box_out_and_neither_undoes_the_other() {
        let mut hand = hand();
        let drained = |ids: &[&str]| ids.iter().map(|id| (*id).to_owned()).collect::<BTreeSet<_>>();
        let changed = hand.agree(100, &drained(&["a", "o", "later"]));
        assert_eq!(
            changed.iter().map(|l| (l.id.as_str(), l.phase)).collect::<Vec<_>>(),
            [("a", Phase::Draining)]
        );
        assert!(hand.agree(110, &drained(&["a", "o", "later"])).is_empty(), "the same again changes nothing");
        assert_eq!(
            hand.list(false, vec![line("o", Phase::Ready, 5)])[0].phase,
            Phase::Ready,
            "the origin stays"
        );
        assert_eq!(hand.list(false, vec![line("later", Phase::Ready, 5)])[0].phase, Phase::Draining);
        // Also by hand: the fleet's way back does not bring it back, nor the hand's while the fleet drains it.
        assert_eq!(hand.exclude(120, "a").unwrap().unwrap().phase, Phase::Draining);
        assert_eq!(hand.include(130, "a"), Ok(None));
        hand.exclude(140, "a").unwrap();
        let changed = hand.agree(150, &drained(&[]));
        assert_eq!(
            changed.iter().map(|l| (l.id.as_str(), l.up_since_ms)).collect::<Vec<_>>(),
            [("later", 150)]
        );
        assert_eq!(hand.include(160, "a").unwrap().unwrap().phase, Phase::Ready);
        assert_eq!(hand.ready().map(|l| l.id.as_str()).collect::<Vec<_>>(), ["a", "b", "later"]);
    }

    #[test]
    fn another_process_of_the_node_knows_the_same_and_members_tell_who_is_out() {
        let mut old = hand();
        old.exclude(100, "a").unwrap();
        let mut new = hand();
        new.exclude(50, "b").unwrap();
        let changed: Vec<_> =
            new.take_over(200, old.out()).into_iter().map(|l| (l.id, l.phase, l.up_since_ms)).collect();
        assert_eq!(changed, [("b".into(), Phase::Ready, 200), ("a".into(), Phase::Draining, 5)]);
        assert_eq!(new.out(), old.out());
        assert_eq!(new.members().collect::<Vec<_>>(), [("a", false), ("b", true)]);
        assert!(new.take_over(300, old.out()).is_empty());
    }
}
