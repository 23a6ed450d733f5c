//! Stand-ins for what is round a node: cache boxes, an origin, discovery agents and clients.
//!
//! They run over any [`mothpier_net::Net`], so that the local fleet (loopback sockets, real time) and the simulation
//! (virtual time) have the same world. [`loopback`] is for tests that start the node as a process and speak to it
//! line by line. Values that the stand-ins serve name the request that they were made for: an answer that went
//! astray shows.

pub mod agent;
pub mod cache_box;
pub mod capacity;
pub mod client;
pub mod cluster;
pub mod cost;
pub mod demo;
pub mod dns;
pub mod fleet;
pub mod loopback;
pub mod machine;
pub mod matrix;
pub mod origin;
pub mod outages;
pub mod resolvers;
pub mod wire;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a stand-in saw that somebody outside must judge.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A box has read a command whole and begins it.
    Command {
        /// The box's number.
        server: usize,
        /// The request's id.
        id: String,
    },
    /// The origin carried out a write.
    Effect {
        /// The request's id.
        id: String,
        /// Its class.
        class: String,
        /// Its idempotency key.
        token: Option<String>,
    },
    /// An agent wrote its list, whole or changes, to the node.
    Told {
        /// The agent's number, that of its node.
        agent: usize,
        /// What it told: the box's place in the list, its address and whether it takes requests.
        members: Vec<(String, String, bool)>,
        /// Whether the list was whole: what it does not name is gone.
        complete: bool,
    },
    /// A client got a value that was not made for its request.
    WrongValue {
        /// The request's id.
        id: String,
        /// What came.
        value: String,
    },
    /// A client's request is over.
    Final {
        /// The id of this try.
        id: String,
        /// How it ended.
        end: client::End,
        /// How long it took.
        took: Duration,
    },
}

/// Where stand-ins report.
pub type Record = Rc<dyn Fn(Seen)>;

/// Random numbers of one stand-in, from its seed alone.
#[derive(Clone)]
pub struct Dice(Rc<RefCell<oorandom::Rand64>>);

impl Dice {
    /// Dice of a seed.
    pub fn new(seed: u64) -> Self {
        Dice(Rc::new(RefCell::new(oorandom::Rand64::new(u128::from(seed)))))
    }

    /// Dice of their own for a purpose: what one draws does not move the others.
    pub fn part(seed: u64, purpose: u64) -> Self {
        Dice::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ purpose.wrapping_mul(0xd6e8_feb8_6659_fd93))
    }

    /// A number from 0 to below 1.
    pub fn unit(&self) -> f64 {
        self.0.borrow_mut().rand_float()
    }

    /// A whole number from `low` to below `high`.
    pub fn within(&self, low: u64, high: u64) -> u64 {
        if low >= high { low } else { self.0.borrow_mut().rand_range(low..high) }
    }

    /// Whether a chance comes true.
    pub fn chance(&self, part: f64) -> bool {
        self.unit() < part
    }

    /// A number between two.
    pub fn between(&self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// A span with this mean, exponentially distributed, at most six times the mean.
    pub fn exp(&self, mean: Duration) -> Duration {
        mean.mul_f64((-(1.0 - self.unit()).ln()).min(6.0))
    }
}

/// One that waits in a queue; counted back when it waits no longer, for whatever cause.
struct Waits<'a>(&'a Cell<usize>);

impl<'a> Waits<'a> {
    fn of(queue: &'a Cell<usize>) -> Self {
        queue.set(queue.get() + 1);
        Waits(queue)
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A process that started cold and warms up evenly.
#[derive(Clone, Copy, Debug)]
pub struct Warmth {
    /// Its part of capacity at the start.
    pub from: f64,
    /// When it started; `None` for long ago.
    pub since: Option<Instant>,
    /// When it is warm.
    pub span: Duration,
}

impl Warmth {
    /// Its part of capacity at a time.
    pub fn at(&self, now: Instant) -> f64 {
        let Some(since) = self.since else { return 1.0 };
        let age = now.saturating_duration_since(since).as_secs_f64() / self.span.as_secs_f64().max(1e-9);
        (self.from + (1.0 - self.from) * age).min(1.0)
    }
}
