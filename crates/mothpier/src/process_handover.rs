//! One process of a node beside another: what is handed over is left on the shelf, looked at, and obeyed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use mothpier_coordination::FenceFloors;
use mothpier_net::Net;
use tokio::sync::{Mutex, MutexGuard, oneshot};

use crate::handover::{Drained, State, part};
use crate::handover_store::HandoverStore;
use crate::messages::{AdminCommand, ServerList};
use crate::operations::Operations;

/// How often the other process's words are looked for: a drain is owed within half a second.
const LOOK: Duration = Duration::from_millis(100);
/// The list is handed over again after so many looks, if it has changed.
const LIST_LOOKS: u32 = 10;

/// What this process may use of what both have together.
#[derive(Debug)]
pub struct Share {
    /// Of the node: memory, and what the decisions hold back.
    pub part: Cell<f64>,
    /// Of its descriptors.
    pub descriptors: Cell<f64>,
}

impl Default for Share {
    fn default() -> Self {
        Share { part: Cell::new(1.0), descriptors: Cell::new(1.0) }
    }
}

impl Share {
    /// This process's part of a number.
    pub fn of(part: &Cell<f64>, whole: usize) -> usize {
        (whole as f64 * part.get()) as usize
    }
}

/// What staff said holds in this process, but could not be kept for the next one yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotKept(String);

impl std::fmt::Display for NotKept {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "not kept for the next process yet, tried again: {}", self.0)
    }
}

/// What this process knows of the others of its node.
pub struct ProcessHandover {
    node: String,
    shelf: Rc<dyn HandoverStore>,
    state: RefCell<State>,
    /// As it was last read or written.
    left: RefCell<Option<Vec<u8>>>,
    sockets: usize,
    /// Why the last write failed, until one succeeds.
    not_kept: RefCell<Option<String>>,
    /// Held from a word of the staff to its mark, and while marks are obeyed: an older mark must not undo a newer word.
    turn: Mutex<()>,
}

impl ProcessHandover {
    /// Takes over what is on the shelf.
    pub fn open(net: &impl Net, shelf: Rc<dyn HandoverStore>, node: &str, sockets: usize) -> Self {
        let (state, left) = (RefCell::new(State::new(node)), RefCell::default());
        let (not_kept, turn) = (RefCell::default(), Mutex::new(()));
        let succession = ProcessHandover { node: node.into(), shelf, state, left, sockets, not_kept, turn };
        succession.look(net);
        succession
    }

    /// Reads what others left; what can't be read is said once and passed over.
    fn look(&self, net: &impl Net) {
        let left = self.shelf.read();
        if left == *self.left.borrow() {
            return;
        }
        match left.as_deref().map(|bytes| State::read(bytes, &self.node)) {
            Some(Ok(state)) => self.state.borrow_mut().merge(state),
            Some(Err(why)) => net.log(format_args!("what an earlier process left is passed over: {why}")),
            None => {}
        }
        *self.left.borrow_mut() = left;
    }

    /// Leaves what this process knows, where others do not have it.
    fn leave(&self, net: &impl Net) {
        let bytes = self.state.borrow().bytes();
        if self.left.borrow().as_ref() == Some(&bytes) {
            return;
        }
        match self.shelf.write(&bytes) {
            Ok(()) => {
                *self.left.borrow_mut() = Some(bytes);
                if self.not_kept.borrow_mut().take().is_some() {
                    net.log("what is left for the next process is kept again");
                }
            }
            // Tried again with each look; a failure that lasts is said once.
            Err(e) => {
                let said_before = self.not_kept.borrow_mut().replace(e.to_string()).is_some();
                if !said_before {
                    net.log(format_args!("nothing can be left for the next process: {e}; tried again"));
                }
            }
        }
    }

    /// Takes in what staff said, and leaves it before they are told yes.
    ///
    /// # Errors
    ///
    /// It holds in this process, but could not be kept for the next one yet.
    pub fn said(&self, net: &impl Net, change: impl FnOnce(&mut State, u64)) -> Result<(), NotKept> {
        self.look(net);
        change(&mut self.state.borrow_mut(), net.unix_time().as_millis() as u64);
        self.leave(net);
        self.not_kept.borrow().clone().map_or(Ok(()), |why| Err(NotKept(why)))
    }

    /// Waits for its turn between words and marks.
    pub async fn turn(&self) -> MutexGuard<'_, ()> {
        self.turn.lock().await
    }

    /// The fences that an earlier process, or the one beside this, has seen.
    pub fn floors(&self) -> FenceFloors {
        self.state.borrow().floors.clone()
    }

    /// Who the fleet had drained when a process of this node last knew it.
    pub fn drained(&self) -> Drained {
        self.state.borrow().last_drained()
    }

    /// The list that an earlier process held.
    pub fn list(&self) -> Option<ServerList> {
        self.state.borrow_mut().take_list()
    }

    /// Whether another process lets connections in as well, as of now.
    pub fn accompanied(&self) -> bool {
        self.shelf.others().iter().any(|w| w.serving)
    }

    /// Tells the others whether this process serves: before the platform hears a yes, which ends the one before.
    pub fn tell(&self, serving: bool) {
        self.shelf.tell(serving);
    }
}

/// Looks at the other processes for as long as the node lives, and obeys what they were told.
pub async fn run<N: Net>(operations: Rc<Operations<N>>, succession: Rc<ProcessHandover>, share: Rc<Share>) {
    let net = operations.net.clone();
    let (mut looks, mut held) = (0u32, 0);
    loop {
        {
            let _turn = succession.turn().await;
            succession.look(&net);
            let (out, emptied) = {
                let state = succession.state.borrow();
                (state.out(), state.emptied())
            };
            operations.agree(out, emptied).await;
        }
        if looks.is_multiple_of(LIST_LOOKS) {
            let (tell, told) = oneshot::channel();
            let _ = operations.orders.send(AdminCommand::ServerList { held, tell }).await;
            if let Ok(Some((now, list))) = told.await {
                held = now;
                succession.state.borrow_mut().list(net.unix_time().as_millis() as u64, list);
            }
        }
        succession.leave(&net);
        let serving = operations.phase.serves();
        succession.tell(serving);
        let others = succession.shelf.others();
        let part = part(serving, &others);
        if share.part.replace(part) != part {
            net.log(format_args!("this process is 1/{} of the node", (1.0 / part).round()));
            let _ = operations.orders.send(AdminCommand::ProcessShare(part)).await;
        }
        let theirs: usize = others.iter().map(|w| w.descriptors).sum();
        let left = succession.sockets.saturating_sub(theirs) as f64 / succession.sockets.max(1) as f64;
        share.descriptors.set(part.min(left));
        looks = looks.wrapping_add(1);
        net.sleep(LOOK).await;
    }
}
