//! What happened, read at the far ends: the orders that nodes obeyed, by the machine's one clock. Pure.

/// An order that a node obeyed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Obeyed {
    /// When, in us of the machine's clock.
    pub at_us: u64,
    /// The node.
    pub node: usize,
    /// The grant in whose name.
    pub fence: u64,
}

/// Bits of a fence that name the grant where a planted contender makes fences up.
pub const GRANT_BITS: u32 = 20;

/// Reads a node's log line.
pub fn read(node: usize, line: &str) -> Option<Obeyed> {
    let (_, rest) = line.split_once("obeys lease=")?;
    let figure = |name: &str| rest.split(' ').find_map(|w| w.strip_prefix(name)).and_then(|v| v.parse().ok());
    Some(Obeyed { at_us: figure("at_us=")?, node, fence: figure("fence=")? })
}

/// What is wrong with a list of obeyed orders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// An order obeyed after one of a later grant, at the same node.
    pub undercut: Vec<(Obeyed, Obeyed)>,
    /// The same, wherever the later one was obeyed: two holders acted beside each other.
    pub beside: Vec<(Obeyed, Obeyed)>,
    /// Grants in whose name something was done.
    pub grants: usize,
}

/// Judges what was obeyed, all of it in the order of its time.
pub fn judge(mut all: Vec<Obeyed>) -> Verdict {
    all.iter_mut().for_each(|o| o.fence &= (1 << GRANT_BITS) - 1);
    all.sort();
    let mut verdict = Verdict::default();
    let mut last: Option<&Obeyed> = None;
    let mut grants = std::collections::BTreeSet::new();
    for (i, one) in all.iter().enumerate() {
        grants.insert(one.fence);
        if let Some(later) = last.filter(|l| l.fence > one.fence) {
            verdict.beside.push((later.clone(), one.clone()));
        }
        if let Some(later) = all[..i].iter().find(|l| l.node == one.node && l.fence > one.fence) {
            verdict.undercut.push((later.clone(), one.clone()));
        }
        last = if last.is_none_or(|l| one.fence >= l.fence) { Some(one) } else { last };
    }
    verdict.grants = grants.len();
    verdict
}

#[cfg(test)]
mod tests;
