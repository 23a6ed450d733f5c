//! The directed cases of daily service: boxes out by hand, an emptied node, values that break off.

use crate::plan::{Beside, Boxes};
use crate::play::{Options, Report};
use crate::scenarios::{Scenario, faults, need, served};

/// All clients' requests came to an end, and some values broke off on the way.
fn some_cut(reports: &[Report]) -> Result<(), String> {
    need("value broke off", reports.iter().map(|r| r.tally.broken_off).sum())?;
    served(reports)
}

/// All cases.
pub const ALL: &[Scenario] = &[
    Scenario {
        name: "by-hand-against-the-list",
        about: "boxes are out by hand while whole lists come that name them as ready, and discovery moves",
        runs: || {
            let lines = [
                "hand target=0 at=3000 len=6000",
                "renumber target=0 at=4000",
                "renumber target=1 at=4500",
                "reload target=2 at=5000",
                "hand target=1 at=6000 len=3000",
                "renumber target=2 at=7000",
                "hand target=0 at=10000 len=3000",
                "renumber target=0 at=11000",
            ];
            (0..6).map(|seed| (seed, faults(&lines))).collect()
        },
        met: served,
    },
    Scenario {
        name: "emptied-under-load",
        about: "nodes are emptied and called back one after the other, also in the midst, while a box hangs and another drains",
        runs: || {
            let lines = [
                "evacuate target=0 at=2000 len=5000",
                "hang target=1 at=2500 len=3000",
                "evacuate target=1 at=7500 len=300",
                "drain target=0 at=7600 len=3000",
                "evacuate target=2 at=8500 len=5000",
            ];
            (0..6).map(|seed| (seed, faults(&lines))).collect()
        },
        met: served,
    },
    Scenario {
        name: "values-that-break-off",
        about: "boxes end, or stop giving, in the midst of values that are passed on as they come",
        runs: || {
            let lines = [
                "half-answer target=0 at=2500 len=5000 extra=50",
                "half-and-stall target=1 at=3000 len=5000 extra=30",
                "reset-after target=2 at=4000 len=5000 extra=30",
                "evacuate target=1 at=6000 len=5000",
                "node-stop target=2 at=9000 len=3000",
            ];
            let run =
                |seed| (seed, Options { large: Some(70_000 + seed as usize * 30_000), ..faults(&lines) });
            (0..6).map(run).collect()
        },
        met: some_cut,
    },
    Scenario {
        name: "behind-a-large-value",
        about: "a client asks much at once: what it waits for first stands behind a large value that it can't take yet",
        runs: || {
            // As seed 1642 found it: the reader of a connection waited for the client, and the client for that connection.
            let lines =
                ["origin-slow target=0 at=6380 len=64 extra=22", "pipeline target=3 at=6456 len=30 extra=76"];
            let found = Options {
                size: None,
                rate: None,
                writes: None,
                boxes: Some(Boxes::Plain),
                beside: Some(Beside::Both),
                ..faults(&lines)
            };
            vec![(1642, found)]
        },
        met: served,
    },
];
