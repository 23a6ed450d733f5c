//! Decides whether to carry out commands given in the name of a lease: only those of the latest holder that
//! the node knows of, and only within their time limit. The node refuses all such commands until it has read
//! the lowest valid fences from a majority of the coordinators. An upgrade passes the fences on to the next
//! process.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use mothpier_coordination::{Change, FenceFloors, FenceGuard, FencedAction};
use mothpier_coordination_client::{Client, Seen};
use mothpier_net::Net;

use crate::config::coordination::Coordination;
use crate::process_handover::ProcessHandover;

/// The time limit of a call to the coordinators.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a watch for new grants waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// The pause after a failed call, or after a watch ends.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The node's knowledge of leases and their fences.
pub struct LeaseAuthority<N: Net> {
    net: N,
    client: Rc<Client<N>>,
    fence_guard: RefCell<FenceGuard>,
    handover: Option<Rc<ProcessHandover>>,
}

impl<N: Net> LeaseAuthority<N> {
    /// Creates an authority that knows no fences yet and refuses all commands.
    ///
    /// # Errors
    ///
    /// A message if the system provides no entropy.
    pub fn new(
        net: N,
        coordination: Coordination,
        handover: Option<Rc<ProcessHandover>>,
    ) -> Result<Rc<Self>, String> {
        let client = Client::new(net.clone(), coordination.cluster, coordination.coordinators)?;
        let fence_guard = RefCell::new(FenceGuard::new(client.draw_name()));
        Ok(Rc::new(LeaseAuthority { net, client, fence_guard, handover }))
    }

    fn clock_ms(&self) -> u64 {
        self.net.boot_time().as_millis() as u64
    }

    /// Returns the time of the node's clock as JSON, for a lease holder that is about to give a command.
    pub fn clock_json(&self) -> String {
        let guard = self.fence_guard.borrow();
        let clock = serde_json::json!({"clock": guard.clock(), "now_ms": self.clock_ms(), "knows": guard.knows_fences()});
        format!("{clock}\n")
    }

    /// Checks whether a lease holder's command may be carried out now.
    ///
    /// # Errors
    ///
    /// Why the command is refused.
    pub fn authorize(&self, act: &FencedAction) -> Result<(), String> {
        let now = self.clock_ms();
        let authorized = self.fence_guard.borrow_mut().accept(act, now);
        if authorized.is_ok() {
            self.store_floors();
            // Lets tools compare the time at which a command was accepted, by the machine's clock, with the
            // lease.
            let at = self.net.boot_time().as_micros();
            self.net.log(format_args!("obeys lease={} fence={} at_us={at}", act.lease, act.fence));
        }
        authorized.map_err(|reason| reason.to_string())
    }

    /// Raises the lowest valid fences to those given; none is lowered.
    fn raise_floors(&self, floors: FenceFloors) {
        self.fence_guard.borrow_mut().learn(floors);
        self.store_floors();
    }

    /// Stores the lowest valid fences for the next process of the node.
    fn store_floors(&self) {
        if let (Some(handover), Some(floors)) =
            (&self.handover, self.fence_guard.borrow().handed_over().cloned())
        {
            // A failure to store them is logged there, and the write is retried.
            let _ = handover.update(&self.net, |state, _| state.raise_floors(&floors));
        }
    }

    /// Reads the fences of all leases, then follows new grants, until the node ends.
    pub async fn run(self: Rc<Self>) {
        loop {
            match self.client.leases(self.net.now() + CALL_TIMEOUT).await {
                Ok(all) => {
                    let first = !self.fence_guard.borrow().knows_fences();
                    self.raise_floors(all.floors);
                    // The fences known to the previous process apply as well, once a majority has answered.
                    if let Some(before) = self.handover.as_ref().map(|s| s.floors()) {
                        self.raise_floors(before);
                    }
                    if first {
                        self.net.log("lease fences are known; commands of lease holders are accepted");
                    }
                    self.follow(all.revision).await;
                }
                Err(reason) => {
                    if !self.fence_guard.borrow().knows_fences() {
                        self.net.log(format_args!(
                            "no coordinators; commands of lease holders are refused: {reason}"
                        ));
                    }
                }
            }
            self.net.sleep(RETRY_PAUSE).await;
        }
    }

    /// Follows new grants until a call fails, so that an old holder is refused even before the new one calls
    /// this node.
    async fn follow(&self, mut revision: u64) {
        while let Ok(Seen::Changes(next, changes)) =
            self.client.watch(revision, WATCH_WAIT, self.net.now() + WATCH_WAIT + CALL_TIMEOUT).await
        {
            for (_, change) in changes {
                if let Change::Granted { lease, fence, .. } = change {
                    self.raise_floors(FenceFloors { others: 0, held: [(lease, fence)].into() });
                }
            }
            revision = next;
        }
    }
}
