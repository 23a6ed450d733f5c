//! What happened in a trial of drains, read at the far ends: requests that cache servers got, what a front was answered to
//! `PING`, and what nodes say that they obeyed. Pure.

use std::collections::BTreeMap;

/// A time in which a cache server was told to be out: from the tool's word on until staff asked it back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Out {
    /// The cache server.
    pub server: usize,
    /// From when on, us.
    pub from_us: u64,
    /// Until when.
    pub until_us: u64,
}

/// A request that a cache server got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sent {
    /// When it had come, us.
    pub at_us: u64,
    /// To which.
    pub server: usize,
    /// From which node.
    pub node: usize,
}

/// A front's question and what was said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    /// When, us.
    pub at_us: u64,
    /// Whom.
    pub node: usize,
    /// "Drained by the fleet".
    pub drained: bool,
}

/// The times out, each up to when anybody first asked that one back: several people may have to do with one cache server.
pub fn until_asked_back(outs: &[Out], backs: &[Out]) -> Vec<Out> {
    let until = |out: &Out| {
        let of = backs.iter().filter(|b| b.server == out.server && b.until_us >= out.from_us);
        of.map(|b| b.from_us).min().map_or(out.until_us, |first| first.min(out.until_us))
    };
    let cut = outs.iter().map(|out| Out { until_us: until(out), ..out.clone() });
    cut.filter(|out| out.until_us > out.from_us).collect()
}

/// Requests that came to cache servers that were out for longer than the rule's time.
pub fn sent_to_out(outs: &[Out], sent: &[Sent], grace_us: u64) -> Vec<(Out, Sent)> {
    let mut found = Vec::new();
    for out in outs {
        let within =
            |s: &&Sent| s.server == out.server && s.at_us > out.from_us + grace_us && s.at_us < out.until_us;
        found.extend(sent.iter().filter(within).map(|s| (out.clone(), *s)));
    }
    found
}

/// The most nodes that were drained at one time. A node is, between two answers behind each other that both say so.
pub fn most_drained(asked: &[Asked]) -> usize {
    let mut last: BTreeMap<usize, Asked> = BTreeMap::new();
    let mut edges: Vec<(u64, i64)> = Vec::new();
    for one in asked {
        if let Some(before) = last.insert(one.node, *one).filter(|b| b.drained && one.drained) {
            // The end counts before a beginning of the same moment.
            edges.push((before.at_us, 1));
            edges.push((one.at_us, -1));
        }
    }
    edges.sort_unstable();
    let (mut now, mut most) = (0i64, 0i64);
    for (_, edge) in edges {
        now += edge;
        most = most.max(now);
    }
    most as usize
}

/// The most cache servers that a node kept out by agreement, by its log.
pub fn most_kept_out(log: &str) -> usize {
    let names = |line: &str| {
        let (_, rest) = line.split_once("drained by the fleet: [")?;
        let (names, _) = rest.split_once(']')?;
        Some(names.split(',').filter(|n| !n.is_empty()).count())
    };
    log.lines().filter_map(names).max().unwrap_or(0)
}

#[cfg(test)]
mod tests;
