//! Options of a simulation run: what directed cases set in place of what the seed would draw.

use std::rc::Rc;

use mothpier::Mutation;

use super::World;
use crate::plan::{Beside, Boxes, Fault};

/// What may be set of a world besides its seed: directed cases fix what the seed would draw.
#[derive(Clone, Default)]
pub struct Options {
    /// Faults in place of the seed's.
    pub faults: Option<Vec<Fault>>,
    /// A mistake planted in the nodes.
    pub plant: Option<Mutation>,
    /// Keeps the trace's lines.
    pub lines: bool,
    /// Nodes, boxes.
    pub size: Option<(usize, usize)>,
    /// What the boxes are; drawn from the seed where neither this nor the size is told.
    pub boxes: Option<Boxes>,
    /// Which sources of boxes there are beside the list; drawn likewise.
    pub beside: Option<Beside>,
    /// The last box starts at this time, milliseconds: DNS has it from then on, and the list is told of it then.
    pub newcomer_ms: Option<u64>,
    /// Keys that are asked for.
    pub keys: Option<u64>,
    /// Nodes' questions for the slot map, a second of the whole tier.
    pub questions_per_s: Option<f64>,
    /// A box's mean work, milliseconds, without chance.
    pub work_ms: Option<u64>,
    /// One way through the network, microseconds, always the same.
    pub latency_us: Option<u64>,
    /// How long a node waits for a connection, milliseconds.
    pub connect_ms: Option<u64>,
    /// Requests a second.
    pub rate: Option<f64>,
    /// Requests a second as a part of what the boxes can do.
    pub load: Option<f64>,
    /// Part of capacity at which a box starts, and the milliseconds that it takes to be warm.
    pub cold: Option<(f64, u64)>,
    /// Part of the requests that write.
    pub writes: Option<f64>,
    /// Time after which idle connections to boxes are closed, milliseconds.
    pub idle_ms: Option<u64>,
    /// Calls that the origin works on at once, and that may wait there.
    pub origin: Option<(usize, usize)>,
    /// The nodes are sidecars, which share so many calls at once and a second at the origin.
    pub shares: Option<(f64, f64)>,
    /// Bytes that the values of some keys have besides; drawn where the size is not told.
    pub large: Option<usize>,
    /// What a directed case does at its times, besides its faults.
    pub script: Option<Script>,
}

impl Options {
    /// What the boxes are.
    pub(super) fn kind(&self, seed: u64) -> Boxes {
        let drawn = if self.size.is_some() { Boxes::Plain } else { Boxes::draw(seed) };
        self.boxes.unwrap_or(drawn)
    }

    /// Which sources of boxes there are beside the list.
    pub(super) fn sources(&self, seed: u64) -> Beside {
        let drawn = if self.size.is_some() { Beside::Nothing } else { Beside::draw(seed) };
        self.beside.unwrap_or(drawn)
    }
}

/// What a directed case does with a world as it starts.
pub type Script = Rc<dyn Fn(&Rc<World>)>;
