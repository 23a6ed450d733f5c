//! What the hollow nodes' threads and the trial's control share: the lists of cache servers, the cuts, the counts, and
//! what each node has done.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

use mothpier_coordination::fleet::messages::Listed;
use mothpier_coordination::fleet::reporter::{ReadyList, ready_list};

use super::tally::Tally;

/// Takes a lock, also where who held it has panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The cache servers as discovery tells them from a time on.
#[derive(Clone)]
pub struct ServerList {
    /// Rises by one with each list, from 1.
    pub number: u64,
    /// When discovery knows it; each node hears of it after a delay of its own.
    pub at: Instant,
    /// All that are ready.
    pub servers: ReadyList,
}

/// What a node has reached, as far as the coordinators have answered it.
#[derive(Clone, Debug, Default)]
pub struct NodeState {
    /// It knows the drains.
    pub knows: bool,
    /// Its present session has joined.
    pub joined: bool,
    /// The coordinators have it as ready.
    pub ready: bool,
    /// The last list that the coordinators have of its present session.
    pub reported: u64,
    /// Cache servers that it sends nothing.
    pub out: BTreeSet<String>,
    /// It takes no work.
    pub empties: bool,
}

/// Something that a node saw or did.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// The list has been reported and the report was answered.
    Reported {
        /// The list's number.
        list: u64,
    },
    /// It begins or ends to keep out a cache server.
    Effect {
        /// Which.
        server: String,
        /// Whether it is sent nothing.
        out: bool,
    },
    /// Its session is over.
    SessionLost {
        /// When that was opened.
        opened: Instant,
        /// Why.
        why: String,
    },
    /// Half of its session's time is over without a renewal.
    InDanger,
    /// The fleet refused what it told.
    Refused {
        /// Why.
        why: String,
    },
    /// A watch ended without an answer, or had missed too much.
    WatchLost,
}

/// An event of a node with its time.
#[derive(Clone, Debug)]
pub struct Event {
    /// The node's number.
    pub node: usize,
    /// When.
    pub at: Instant,
    /// What.
    pub what: NodeEvent,
}

/// What all share.
pub struct Shared {
    /// Counts at the sockets.
    pub tally: Mutex<Tally>,
    /// What happened at the nodes.
    pub events: Mutex<Vec<Event>>,
    lists: RwLock<Vec<ServerList>>,
    states: Vec<Mutex<NodeState>>,
    cuts: BTreeMap<usize, AtomicBool>,
    over: AtomicBool,
}

impl Shared {
    /// Nothing has happened yet, and this is the first list.
    pub fn new(nodes: usize, regions: usize, servers: Vec<Listed>) -> Arc<Shared> {
        let first = ServerList { number: 1, at: Instant::now(), servers: ready_list(servers) };
        Arc::new(Shared {
            tally: Mutex::default(),
            events: Mutex::default(),
            lists: RwLock::new(vec![first]),
            states: (0..nodes).map(|_| Mutex::default()).collect(),
            cuts: (0..regions).map(|region| (region, AtomicBool::new(false))).collect(),
            over: AtomicBool::new(false),
        })
    }

    /// The list that a node knows which hears of it after a delay.
    pub fn list(&self, delay: Duration) -> Option<ServerList> {
        let lists = self.lists.read().unwrap_or_else(PoisonError::into_inner);
        lists.iter().rev().find(|list| list.number == 1 || list.at.elapsed() >= delay).cloned()
    }

    /// Discovery tells another list from now on; its number.
    pub fn tell(&self, servers: Vec<Listed>) -> u64 {
        let mut lists = self.lists.write().unwrap_or_else(PoisonError::into_inner);
        let number = lists.len() as u64 + 1;
        lists.push(ServerList { number, at: Instant::now(), servers: ready_list(servers) });
        number
    }

    /// Cuts a region off, or mends that.
    pub fn cut(&self, region: usize, cut: bool) {
        if let Some(flag) = self.cuts.get(&region) {
            flag.store(cut, Ordering::Relaxed);
        }
    }

    /// Whether a region is cut off.
    pub fn is_cut(&self, region: usize) -> bool {
        self.cuts.get(&region).is_some_and(|flag| flag.load(Ordering::Relaxed))
    }

    /// The trial is over: nodes end.
    pub fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    /// Whether it is.
    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// A node has come further.
    pub fn update(&self, node: usize, update: impl FnOnce(&mut NodeState)) {
        if let Some(state) = self.states.get(node) {
            update(&mut lock(state));
        }
    }

    /// Something happened at a node.
    pub fn happened(&self, node: usize, what: NodeEvent) {
        lock(&self.events).push(Event { node, at: Instant::now(), what });
    }

    /// How many nodes are not yet so.
    pub fn lacking(&self, nodes: impl Iterator<Item = usize>, is: impl Fn(&NodeState) -> bool) -> usize {
        nodes.filter(|node| self.states.get(*node).is_none_or(|state| !is(&lock(state)))).count()
    }
}
