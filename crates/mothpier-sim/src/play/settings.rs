//! Draws the figures of a simulated world from its seed.

use std::time::Duration;

use mothpier_world::Dice;

use super::Options;
use crate::plan::{Beside, Boxes};

/// Part of the plain worlds whose nodes are sidecars.
const SIDECARS: f64 = 0.3;
/// Times after which a node stops waiting for a connection, milliseconds.
const CONNECT_MS: [u64; 4] = [120, 250, 1_000, 2_500];
/// Commands that a connection to a cache server carries at once.
const MULTIPLEX: [u64; 3] = [1, 4, 32];
/// Most requests a second that a seed draws.
const MOST_DRAWN_RATE: f64 = 160.0;

/// The figures of a simulated world, drawn from its seed where its options leave them open.
pub(super) struct WorldSettings {
    pub(super) seed: u64,
    pub(super) work: Duration,
    pub(super) chance: f64,
    pub(super) slots: usize,
    pub(super) warm: (f64, Duration),
    pub(super) idle: Duration,
    pub(super) connect_ms: u64,
    pub(super) multiplex: u64,
    pub(super) duplicate: bool,
    pub(super) rate: f64,
    pub(super) writes: f64,
    pub(super) keys: u64,
    /// Slot-aware clients are served.
    pub(super) cluster: bool,
    pub(super) boxes: Boxes,
    pub(super) beside: Beside,
    pub(super) newcomer_ms: Option<u64>,
    pub(super) questions_per_s: f64,
    pub(super) origin: Option<(usize, usize)>,
    /// Where the nodes are sidecars: what the origin takes from all of them.
    pub(super) shares: Option<(f64, f64)>,
    /// Nodes tell each other what they see; a fleet of sidecars does not.
    pub(super) peers: bool,
    /// Bytes that the values of some keys have besides.
    pub(super) large: usize,
}

impl WorldSettings {
    /// Draws the settings of a world with so many cache servers.
    pub(super) fn draw(seed: u64, options: &Options, servers: usize, dice: &Dice) -> WorldSettings {
        let work_ms = dice.within(6, 60);
        let settings = WorldSettings {
            seed,
            work: Duration::from_millis(options.work_ms.unwrap_or(work_ms)),
            chance: if options.work_ms.is_some() { 0.0 } else { dice.between(0.2, 1.0) },
            slots: dice.within(2, 5) as usize,
            warm: (dice.between(0.1, 0.4), Duration::from_millis(dice.within(3_000, 9_000))),
            idle: Duration::from_millis(options.idle_ms.unwrap_or(dice.within(2_000, 20_000))),
            connect_ms: options.connect_ms.unwrap_or(CONNECT_MS[dice.within(0, 4) as usize]),
            multiplex: MULTIPLEX[dice.within(0, 3) as usize],
            duplicate: dice.chance(0.8),
            rate: 0.0,
            writes: options.writes.unwrap_or(dice.between(0.03, 0.3)),
            keys: options.keys.unwrap_or(dice.within(20, 400)),
            cluster: Dice::part(seed, 6).chance(0.5),
            boxes: options.kind(seed),
            beside: options.sources(seed),
            newcomer_ms: options.newcomer_ms,
            questions_per_s: options.questions_per_s.unwrap_or(40.0),
            origin: options.origin,
            peers: options.shares.is_none(),
            large: options.large.unwrap_or_else(|| draw_large(seed, options)),
            shares: options.shares.or_else(|| draw_shares(seed, options)),
        };
        // Under what the boxes can do: overload is not what is judged here.
        let can = servers as f64 * settings.slots as f64 / settings.work.as_secs_f64();
        let rate = options.load.map(|l| can * l).or(options.rate);
        let rate = rate.unwrap_or((can * dice.between(0.05, 0.6)).min(MOST_DRAWN_RATE));
        let warm = options.cold.map_or(settings.warm, |(from, ms)| (from, Duration::from_millis(ms)));
        WorldSettings { rate, warm, ..settings }
    }
}

/// Whether the nodes are sidecars, and what the origin takes from all of them: drawn where a case fixes neither the size
/// nor what the boxes are.
fn draw_shares(seed: u64, options: &Options) -> Option<(f64, f64)> {
    let dice = Dice::part(seed, 12);
    let free = options.size.is_none() && options.kind(seed) == Boxes::Plain;
    let sidecars = free && dice.chance(SIDECARS);
    sidecars.then(|| (dice.within(1, 40) as f64, dice.within(20, 400) as f64))
}

/// Some worlds have values that are passed on as they come, a little over what is held or several parts more.
fn draw_large(seed: u64, options: &Options) -> usize {
    let dice = Dice::part(seed, 13);
    let has = options.size.is_none() && dice.chance(0.2);
    if has { dice.within(60_000, 200_000) as usize } else { 0 }
}
