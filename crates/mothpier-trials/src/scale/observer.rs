//! A client that reads the history of drains and halts for as long as the trial lasts, and the whole fleet when told.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mothpier_coordination::fleet::Fleet;
use mothpier_coordination::fleet::messages::{FleetChange, Stage};
use mothpier_coordination::{Change, Revision};
use mothpier_coordination_client::{Client, Seen};
use mothpier_net::Tokio;

use super::judge::Reading;

/// A watch waits so long.
const WATCH: Duration = Duration::from_secs(5);
/// Beyond what an election and a large answer take.
const PATIENCE: Duration = Duration::from_secs(20);
const AGAIN: Duration = Duration::from_millis(50);
/// A member that knows less than the observer is asked again so often before the history counts as broken.
const BEHIND: u32 = 40;

/// A change and when the observer heard of it.
#[derive(Clone, Debug)]
pub struct Heard {
    /// Its number.
    pub revision: Revision,
    /// When.
    pub at: Instant,
    /// What.
    pub change: FleetChange,
}

/// The observer.
pub struct Observer {
    client: Rc<Client<Tokio>>,
    /// What it heard, in order.
    pub heard: RefCell<Vec<Heard>>,
    /// The fleet, read now and then.
    pub readings: RefCell<Vec<Reading>>,
    /// Times at which it may have missed something.
    pub gaps: RefCell<usize>,
}

impl Observer {
    /// Begins to observe.
    ///
    /// # Errors
    ///
    /// The fleet can't be read.
    pub async fn start(client: Rc<Client<Tokio>>) -> Result<Rc<Self>, String> {
        let first = client.drains(Instant::now() + PATIENCE).await?;
        let observer = Rc::new(Observer {
            client,
            heard: RefCell::default(),
            readings: RefCell::default(),
            gaps: RefCell::default(),
        });
        tokio::task::spawn_local(observer.clone().follow(first.revision));
        Ok(observer)
    }

    async fn follow(self: Rc<Self>, mut revision: Revision) {
        let mut behind = 0;
        loop {
            match self.client.watch(revision, WATCH, Instant::now() + PATIENCE).await {
                Ok(Seen::Changes(next, changes)) => {
                    (revision, behind) = (next, 0);
                    self.take(changes);
                }
                Ok(Seen::ResyncRequired) if behind < BEHIND => behind += 1,
                Ok(Seen::ResyncRequired) => {
                    *self.gaps.borrow_mut() += 1;
                    if let Ok(all) = self.client.drains(Instant::now() + PATIENCE).await {
                        (revision, behind) = (all.revision, 0);
                    }
                }
                Err(_) => {}
            }
            if behind > 0 {
                tokio::time::sleep(AGAIN).await;
            }
        }
    }

    fn take(&self, changes: Vec<(Revision, Change)>) {
        let at = Instant::now();
        for (revision, change) in changes {
            if let Change::Fleet { what } = change {
                self.heard.borrow_mut().push(Heard { revision, at, change: what });
            }
        }
    }

    /// Reads the fleet, and keeps for the judge what counts.
    ///
    /// # Errors
    ///
    /// It can't be read in time.
    pub async fn read(&self) -> Result<Fleet, String> {
        let shown = self.client.fleet(Instant::now() + PATIENCE).await?;
        self.readings.borrow_mut().push(Reading::of(shown.revision, &shown.fleet));
        Ok(shown.fleet)
    }

    /// When a drain came to a stage, where it has.
    pub fn reached(&self, drain: u64, stage: Stage) -> Option<Instant> {
        let is = |heard: &&Heard| match &heard.change {
            FleetChange::Drain { told } => told.drain == drain && told.stage == stage,
            _ => false,
        };
        self.heard.borrow().iter().find(is).map(|heard| heard.at)
    }

    /// When a drain was no more, where it is not.
    pub fn ended(&self, drain: u64) -> Option<Instant> {
        let heard = self.heard.borrow();
        heard.iter().find(|h| h.change == FleetChange::Ended { drain }).map(|h| h.at)
    }
}
