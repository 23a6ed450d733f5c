//! Limits on drains, as set by operators.

use serde::{Deserialize, Serialize};

/// Limits for nodes or for cache servers. An absent limit does not apply.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Maximum number that may be out, including those that are missing or not ready.
    pub out_most: u32,
    /// Maximum percentage that may be out, rounded down.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub out_percent: Option<u32>,
    /// Maximum number that may be out in one zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone_out_most: Option<u32>,
    /// Minimum number that must stay in service.
    #[serde(default)]
    pub ready_fewest: u32,
    /// Minimum number that must stay in service in each zone.
    #[serde(default)]
    pub zone_ready_fewest: u32,
}

/// All limits of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Limits for nodes.
    pub nodes: Bound,
    /// Limits for cache servers.
    pub servers: Bound,
    /// Maximum number of cache servers that return or warm up at the same time.
    pub cold_most: u32,
    /// Warm-up time of a cache server after its return or a start.
    pub cold_ms: u64,
    /// Mean percentage of refused or failed requests over the ready nodes from which on the fleet halts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused_percent: Option<u32>,
    /// Time without a cause after which an automatic halt ends. If absent, an operator has to end it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub calm_ms: Option<u64>,
}

/// The longest time that a limit may specify: one day.
const MAX_DURATION_MS: u64 = 24 * 3600 * 1000;

impl Default for Limits {
    /// One at a time with a minute of warm-up: careful defaults until operators set limits that suit their
    /// fleet.
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
    /// Returns a description of the first invalid value, if any.
    pub fn first_problem(&self) -> Option<String> {
        let percent = |name: &str, value: Option<u32>| {
            value.filter(|v| *v > 100).map(|v| format!("{name}: {v} is over 100 percent"))
        };
        let time = |name: &str, ms: u64| (ms > MAX_DURATION_MS).then(|| format!("{name}: more than a day"));
        percent("nodes.out_percent", self.nodes.out_percent)
            .or_else(|| percent("servers.out_percent", self.servers.out_percent))
            .or_else(|| percent("halt.refused_percent", self.refused_percent))
            .or_else(|| time("servers.cold_for", self.cold_ms))
            .or_else(|| self.calm_ms.and_then(|ms| time("halt.calm", ms)))
            .or_else(|| (self.cold_most == 0).then(|| "servers.cold_most: nothing could come back".into()))
    }
}
