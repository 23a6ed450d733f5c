//! How much of a fleet may be out, as its staff state it.

use serde::{Deserialize, Serialize};

/// How many of a kind may be out. What is not stated does not bind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// At most so many, the dead and the unready among them.
    pub out_most: u32,
    /// At most this part of all, in percent, rounded down.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub out_percent: Option<u32>,
    /// At most so many of a zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone_out_most: Option<u32>,
    /// So many stay in service.
    #[serde(default)]
    pub ready_fewest: u32,
    /// So many of a zone do.
    #[serde(default)]
    pub zone_ready_fewest: u32,
}

/// All limits of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Of nodes.
    pub nodes: Bound,
    /// Of cache servers.
    pub servers: Bound,
    /// Cache servers that come back and are not yet what they were, at most.
    pub cold_most: u32,
    /// For how long one that comes back or has started counts as cold.
    pub cold_ms: u64,
    /// The fleet halts where its ready nodes refuse or fail this part of their requests on average.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused_percent: Option<u32>,
    /// A halt by the fleet itself ends after this time without its cause; else staff end it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub calm_ms: Option<u64>,
}

/// A day: the longest time that a limit may state.
const LONGEST_MS: u64 = 24 * 3600 * 1000;

impl Default for Limits {
    /// One at a time, a minute to warm up: careful, until staff say what their fleet bears.
    fn default() -> Self {
        let one = Bound {
            out_most: 1,
            out_percent: None,
            zone_out_most: None,
            ready_fewest: 1,
            zone_ready_fewest: 0,
        };
        Limits {
            nodes: one.clone(),
            servers: one,
            cold_most: 1,
            cold_ms: 60_000,
            refused_percent: None,
            calm_ms: None,
        }
    }
}

impl Limits {
    /// What is wrong with them, in words.
    pub fn wrong(&self) -> Option<String> {
        let percent = |name: &str, value: Option<u32>| {
            value.filter(|v| *v > 100).map(|v| format!("{name}: {v} is over 100 percent"))
        };
        let time = |name: &str, ms: u64| (ms > LONGEST_MS).then(|| format!("{name}: more than a day"));
        percent("nodes.out_percent", self.nodes.out_percent)
            .or_else(|| percent("servers.out_percent", self.servers.out_percent))
            .or_else(|| percent("halt.refused_percent", self.refused_percent))
            .or_else(|| time("servers.cold_for", self.cold_ms))
            .or_else(|| self.calm_ms.and_then(|ms| time("halt.calm", ms)))
            .or_else(|| (self.cold_most == 0).then(|| "servers.cold_most: nothing could come back".into()))
    }
}
