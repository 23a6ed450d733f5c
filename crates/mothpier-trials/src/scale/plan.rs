//! Who takes part in a trial of scale and what its chance is: drawn from a seed. Pure.

use mothpier_coordination::fleet::messages::Listed;
use mothpier_world::Dice;
use serde::Serialize;

/// Regions over which nodes and cache servers are spread; the first is the one that is cut off.
pub const REGIONS: usize = 30;
/// The region that is cut off.
pub const CUT_REGION: usize = 0;
/// One way from a region to the coordinators, ms.
const REGION_DELAY_MS: (u64, u64) = (1, 60);
/// What the way of a node adds to that of its region, ms.
const NODE_DELAY_MS: (u64, u64) = (0, 5);
/// After a change each node hears of it within this time, ms: agents look for changes once a second.
const DISCOVERY_MS: (u64, u64) = (0, 1000);
/// A member that is killed starts again after this time, ms.
const KILLED_MS: (u64, u64) = (500, 2000);
/// Nodes and cache servers were up at this time already.
const UP_SINCE_MS: u64 = 1_750_000_000_000;

/// How much takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Size {
    /// Hollow nodes.
    pub nodes: usize,
    /// Cache servers.
    pub servers: usize,
    /// Nodes of the region that is cut off.
    pub region_nodes: usize,
    /// Cache servers of it.
    pub region_servers: usize,
    /// Nodes that start in one second.
    pub starts_per_s: u64,
}

/// A hollow node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct NodePlan {
    /// From 0.
    pub number: usize,
    /// Its name in the fleet.
    pub name: String,
    /// Its region; the zone of limits.
    pub region: usize,
    /// One way to a coordinator, ms.
    pub delay_ms: u64,
    /// It starts so long after the trial, ms.
    pub start_ms: u64,
    /// It hears of a change of the list so long after discovery knows it, ms.
    pub discovery_ms: u64,
    /// Where its client's dice begin.
    pub seed: u64,
}

/// A trial of scale.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// What it was drawn from.
    pub seed: u64,
    /// How much takes part.
    pub size: Size,
    /// The nodes.
    pub nodes: Vec<NodePlan>,
    /// Whether the member that is killed in a region's cut is the one that leads.
    pub kills_leader: bool,
    /// It starts again after so many ms.
    pub killed_ms: u64,
}

/// The region of one of several: the first ones are the cut region's, the others go round.
fn region_of(number: usize, of_cut_region: usize) -> usize {
    match number.checked_sub(of_cut_region) {
        None => CUT_REGION,
        Some(rest) => 1 + rest % (REGIONS - 1),
    }
}

impl Plan {
    /// The plan of a seed.
    pub fn draw(seed: u64, size: Size) -> Plan {
        let dice = Dice::part(seed, 91);
        let regions: Vec<u64> =
            (0..REGIONS).map(|_| dice.within(REGION_DELAY_MS.0, REGION_DELAY_MS.1)).collect();
        let ramp_ms = (size.nodes as u64 * 1000 / size.starts_per_s.max(1)).max(500);
        let node = |number: usize| {
            let region = region_of(number, size.region_nodes);
            NodePlan {
                number,
                name: format!("node-{number}"),
                region,
                delay_ms: regions[region] + dice.within(NODE_DELAY_MS.0, NODE_DELAY_MS.1),
                start_ms: dice.within(0, ramp_ms),
                discovery_ms: dice.within(DISCOVERY_MS.0, DISCOVERY_MS.1),
                seed: dice.within(1, u64::MAX),
            }
        };
        let nodes = (0..size.nodes).map(node).collect();
        let (kills_leader, killed_ms) = (dice.chance(0.5), dice.within(KILLED_MS.0, KILLED_MS.1));
        Plan { seed, size, nodes, kills_leader, killed_ms }
    }

    /// The cache servers, in the order of their numbers.
    pub fn servers(&self) -> Vec<Listed> {
        let one = |number: usize| Listed {
            id: server(number),
            zone: format!("region-{}", region_of(number, self.size.region_servers)),
            up_since_ms: UP_SINCE_MS,
        };
        (0..self.size.servers).map(one).collect()
    }

    /// The nodes that stay when the region is cut off, or those that do not.
    pub fn nodes_in_cut(&self, cut: bool) -> impl Iterator<Item = usize> {
        let inside = self.size.region_nodes;
        (0..self.size.nodes).filter(move |number| (*number < inside) == cut)
    }
}

/// The id of a cache server.
pub fn server(number: usize) -> String {
    format!("cache-server-{number}")
}

#[cfg(test)]
mod tests;
