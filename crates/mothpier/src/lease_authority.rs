//! Whom the node obeys in the name of a lease: the latest holder that it has heard of, within that one's time. What it has to
//! know before it obeys anybody it reads from a majority of the coordinators; it keeps it over an upgrade.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use mothpier_coordination::{Act, Change, Floors, Obeyer};
use mothpier_coordination_client::{Client, Seen};
use mothpier_net::Net;

use crate::config::coordination::Coordination;
use crate::process_handover::ProcessHandover;

/// One call of the coordinators.
const ASK: Duration = Duration::from_secs(5);
/// A watch for grants waits so long.
const WATCH: Duration = Duration::from_secs(20);
/// After a failure.
const AGAIN: Duration = Duration::from_secs(1);

/// What it knows of leases.
pub struct LeaseAuthority<N: Net> {
    net: N,
    client: Rc<Client<N>>,
    obeyer: RefCell<Obeyer>,
    succession: Option<Rc<ProcessHandover>>,
}

impl<N: Net> LeaseAuthority<N> {
    /// One that begins and obeys nobody yet.
    ///
    /// # Errors
    ///
    /// A machine without entropy.
    pub fn new(
        net: N,
        told: Coordination,
        succession: Option<Rc<ProcessHandover>>,
    ) -> Result<Rc<Self>, String> {
        let client = Client::new(net.clone(), told.cluster, told.coordinators)?;
        let obeyer = RefCell::new(Obeyer::new(client.draw_name()));
        Ok(Rc::new(LeaseAuthority { net, client, obeyer, succession }))
    }

    fn clock_ms(&self) -> u64 {
        self.net.boot_time().as_millis() as u64
    }

    /// What its clock says, for a holder that is about to act.
    pub fn clock(&self) -> String {
        let obeyer = self.obeyer.borrow();
        let told =
            serde_json::json!({"clock": obeyer.clock(), "now_ms": self.clock_ms(), "knows": obeyer.knows()});
        format!("{told}\n")
    }

    /// Whether to do as a holder orders, now.
    ///
    /// # Errors
    ///
    /// Why not.
    pub fn obey(&self, act: &Act) -> Result<(), String> {
        let now = self.clock_ms();
        let obeyed = self.obeyer.borrow_mut().obey(act, now);
        if obeyed.is_ok() {
            self.hand_over();
            // The far end of a lease: what was obeyed, by the machine's clock.
            let at = self.net.boot_time().as_micros();
            self.net.log(format_args!("obeys lease={} fence={} at_us={at}", act.lease, act.fence));
        }
        obeyed.map_err(|why| why.to_string())
    }

    fn learn(&self, floors: Floors) {
        self.obeyer.borrow_mut().learn(floors);
        self.hand_over();
    }

    fn hand_over(&self) {
        if let (Some(succession), Some(floors)) =
            (&self.succession, self.obeyer.borrow().handed_over().cloned())
        {
            // Logged where it can't be kept, and tried again.
            let _ = succession.said(&self.net, |state, _| state.obeyed(&floors));
        }
    }

    /// Learns what it must know, and then every grant, for as long as the node lives.
    pub async fn run(self: Rc<Self>) {
        loop {
            match self.client.leases(self.net.now() + ASK).await {
                Ok(all) => {
                    let first = !self.obeyer.borrow().knows();
                    self.learn(all.floors);
                    // What the process before had seen counts as well, once a majority was asked.
                    if let Some(before) = self.succession.as_ref().map(|s| s.floors()) {
                        self.learn(before);
                    }
                    if first {
                        self.net.log("the fences of all leases are known: holders are obeyed");
                    }
                    self.follow(all.revision).await;
                }
                Err(why) => {
                    if !self.obeyer.borrow().knows() {
                        self.net.log(format_args!("no coordinators: no holder of a lease is obeyed: {why}"));
                    }
                }
            }
            self.net.sleep(AGAIN).await;
        }
    }

    /// Hears of grants while that goes well: an old holder is refused before the new one has come here.
    async fn follow(&self, mut revision: u64) {
        while let Ok(Seen::Changes(next, changes)) =
            self.client.watch(revision, WATCH, self.net.now() + WATCH + ASK).await
        {
            for (_, change) in changes {
                if let Change::Granted { lease, fence, .. } = change {
                    self.learn(Floors { others: 0, held: [(lease, fence)].into() });
                }
            }
            revision = next;
        }
    }
}
