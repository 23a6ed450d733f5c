//! A session that lives by renewing, and the leases that it holds.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use mothpier_coordination::fleet::messages::{FleetCommand, FleetRefusal, FleetResponse};
use mothpier_coordination::{Answer, Command, Fence, FencedAction, LeaseValidity, Refusal, Request};
use mothpier_net::{Net, Task};
use tokio::sync::Notify;

use crate::{Client, Outcome};

/// After a failed renewal the next one begins so soon.
const RENEW_AGAIN: Duration = Duration::from_millis(50);
/// Between two looks at a line that one waits in, as a part of the session's time.
const LOOK: u32 = 10;

/// Why a session is no more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lost {
    /// It was not renewed in time, by its own clock: the coordinators are out of reach, or this process was stopped.
    OutOfTime,
    /// A coordinator says that it has ended.
    Ended(String),
}

impl std::fmt::Display for Lost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Lost::OutOfTime => write!(f, "it could not be renewed in time"),
            Lost::Ended(why) => write!(f, "{why}"),
        }
    }
}

/// A lease that is held, for as long as its session is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Granted {
    /// Its name.
    pub lease: String,
    /// The number of the grant.
    pub fence: Fence,
}

/// What one that obeys has told of its clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Acting {
    /// The clock's name.
    pub clock: String,
    /// What it said.
    pub now_ms: u64,
}

/// A session.
pub struct Session<N: Net> {
    client: Rc<Client<N>>,
    /// Its name.
    pub name: String,
    ttl_ms: u64,
    hold: RefCell<LeaseValidity>,
    number: Cell<u64>,
    ended: RefCell<Option<String>>,
    /// Orders that were given, and those that nobody has answered: their number, and until when they may begin.
    orders: Cell<u64>,
    out: RefCell<Vec<(u64, u64)>>,
    /// Word of each renewal and of the end.
    pub changed: Notify,
    renewing: RefCell<Option<N::Task>>,
}

impl<N: Net> Drop for Session<N> {
    fn drop(&mut self) {
        if let Some(task) = self.renewing.borrow_mut().take() {
            task.abort();
        }
    }
}

impl<N: Net> Session<N> {
    /// Opens a session and keeps it alive from now on.
    ///
    /// # Errors
    ///
    /// Why it was not opened within `within`.
    pub async fn open(
        client: Rc<Client<N>>,
        name: String,
        ttl: Duration,
        within: Duration,
    ) -> Result<Rc<Self>, String> {
        let ttl_ms = ttl.as_millis() as u64;
        let session = Rc::new(Session {
            client: client.clone(),
            name: name.clone(),
            ttl_ms,
            hold: RefCell::new(LeaseValidity::new(ttl_ms)),
            number: Cell::new(0),
            ended: RefCell::default(),
            orders: Cell::new(0),
            out: RefCell::default(),
            changed: Notify::new(),
            renewing: RefCell::default(),
        });
        let until = client.net().now() + within;
        let open = Command::Open { session: name, ttl_ms };
        // Each try counts its time from its own beginning.
        loop {
            let asked = session.clock();
            let end = until.min(client.net().now() + ttl / 2);
            match client.command(&open, end).await {
                Outcome::Done(Answer::Opened) => {
                    session.hold.borrow_mut().confirm_renewal(asked);
                    break;
                }
                Outcome::Done(Answer::Refused { why }) => return Err(why.to_string()),
                Outcome::Refused(why) => return Err(why),
                Outcome::Done(other) => return Err(format!("an answer to something else: {other:?}")),
                Outcome::NotDone(why) | Outcome::MayHaveBeen(why) if client.net().now() >= until => {
                    return Err(why);
                }
                _ => {}
            }
        }
        let weak = Rc::downgrade(&session);
        let net = client.net().clone();
        let task = client.net().spawn(async move {
            loop {
                let Some(wait) = weak.upgrade().map(|s| s.until_renewal()) else { return };
                net.sleep(wait).await;
                let Some(session) = weak.upgrade() else { return };
                if !session.renew().await {
                    return;
                }
            }
        });
        *session.renewing.borrow_mut() = Some(task);
        Ok(session)
    }

    /// The clock by which it counts, in ms: it also runs while the machine is suspended.
    pub fn clock(&self) -> u64 {
        self.client.net().boot_time().as_millis() as u64
    }

    fn until_renewal(&self) -> Duration {
        let at = self.hold.borrow().renew_at().unwrap_or(0);
        Duration::from_millis(at.saturating_sub(self.clock())).max(RENEW_AGAIN)
    }

    /// Renews once; whether to go on.
    async fn renew(&self) -> bool {
        let asked = self.clock();
        let until = self.client.net().now() + Duration::from_millis(self.ttl_ms / 2);
        match self.client.command(&Command::Renew { session: self.name.clone() }, until).await {
            Outcome::Done(Answer::Renewed) => self.hold.borrow_mut().confirm_renewal(asked),
            Outcome::Done(Answer::Refused { why: Refusal::BrokenByStaff }) => {
                // What is left of the time may be used; no more comes.
                *self.ended.borrow_mut() = Some(Refusal::BrokenByStaff.to_string());
                self.changed.notify_waiters();
                return false;
            }
            Outcome::Done(answer) => {
                let why = match answer {
                    Answer::Refused { why } => why.to_string(),
                    other => format!("an answer to something else: {other:?}"),
                };
                *self.ended.borrow_mut() = Some(why);
                *self.hold.borrow_mut() = LeaseValidity::new(self.ttl_ms);
                self.changed.notify_waiters();
                return false;
            }
            Outcome::NotDone(_) | Outcome::Refused(_) | Outcome::MayHaveBeen(_) => {}
        }
        self.changed.notify_waiters();
        true
    }

    /// What is left of the time in which what it holds may be used.
    ///
    /// # Errors
    ///
    /// Why nothing is.
    pub fn left(&self) -> Result<Duration, Lost> {
        match self.hold.borrow().remaining(self.clock()) {
            Some(left) => Ok(Duration::from_millis(left)),
            None => Err(self.ended.borrow().clone().map_or(Lost::OutOfTime, Lost::Ended)),
        }
    }

    /// Whether renewing has failed for half of the time, or is refused: what is being done should come to its end.
    pub fn in_danger(&self) -> bool {
        self.ended.borrow().is_some() || self.hold.borrow().warn_at().is_none_or(|at| self.clock() >= at)
    }

    /// Asks in the session's name until it is answered or the session is over.
    async fn ask(&self, request: Request) -> Result<Answer, Lost> {
        let number = self.number.get() + 1;
        self.number.set(number);
        let ask = Command::Ask { session: self.name.clone(), number, request };
        loop {
            let left = self.left()?;
            let until = self.client.net().now() + left;
            match self.client.command(&ask, until).await {
                Outcome::Done(Answer::Refused { why: why @ (Refusal::NoSession | Refusal::SessionOver) }) => {
                    return Err(Lost::Ended(why.to_string()));
                }
                Outcome::Done(answer) => return Ok(answer),
                Outcome::Refused(why) => return Err(Lost::Ended(why)),
                Outcome::NotDone(_) | Outcome::MayHaveBeen(_) => {}
            }
        }
    }

    /// Takes a lease; where others hold it, waits in line for as long as the session lives, or gives `None`.
    ///
    /// # Errors
    ///
    /// The session is over, or the lease is refused.
    pub async fn acquire(&self, lease: &str, wait: bool) -> Result<Option<Granted>, Lost> {
        let request = Request::Acquire { lease: lease.into(), wait };
        match self.ask(request).await? {
            Answer::Granted { fence } => return Ok(Some(Granted { lease: lease.into(), fence })),
            Answer::Waiting { .. } => {}
            Answer::Refused { why: Refusal::Held { .. } } if !wait => return Ok(None),
            Answer::Refused { why } => return Err(Lost::Ended(why.to_string())),
            other => return Err(Lost::Ended(format!("an answer to something else: {other:?}"))),
        }
        let net = self.client.net().clone();
        loop {
            let left = self.left()?;
            if let Ok(all) = self.client.leases(net.now() + left).await
                && let Some(held) = all.leases.iter().find(|l| l.lease == lease && l.holder == self.name)
            {
                return Ok(Some(Granted { lease: lease.into(), fence: held.fence }));
            }
            net.sleep(Duration::from_millis(self.ttl_ms) / LOOK).await;
        }
    }

    /// Asks for something of the fleet; one thing at a time.
    ///
    /// # Errors
    ///
    /// The session is over.
    pub async fn fleet(&self, what: FleetCommand) -> Result<Result<FleetResponse, FleetRefusal>, Lost> {
        match self.ask(Request::Fleet { what }).await? {
            Answer::Fleet { answer } => Ok(Ok(answer)),
            Answer::Refused { why: Refusal::Fleet { fleet } } => Ok(Err(fleet)),
            other => Err(Lost::Ended(format!("an answer to something else: {other:?}"))),
        }
    }

    /// An act was answered, whatever the answer: it is not on its way any more.
    pub fn answered(&self, act: &FencedAction) {
        self.out.borrow_mut().retain(|(number, _)| *number != act.number);
    }

    /// Waits until nothing that was ordered can begin any more. An order that nobody has answered may still be on its way:
    /// were the lease given up now, it would be done beside the next holder.
    async fn quiet(&self) {
        let until = self.out.borrow().iter().map(|(_, until)| *until).max().unwrap_or(0);
        let wait = until.saturating_sub(self.clock());
        self.client.net().sleep(Duration::from_millis(wait)).await;
        self.out.borrow_mut().clear();
    }

    /// Gives a lease up, once nothing that was ordered in its name can begin any more.
    ///
    /// # Errors
    ///
    /// The session is over.
    pub async fn release(&self, lease: &str) -> Result<(), Lost> {
        self.quiet().await;
        self.ask(Request::Release { lease: lease.into() }).await.map(|_| ())
    }

    /// An act in a lease's name, for one whose clock was asked before: it must not begin once the session's time is over.
    /// Until [`Session::answered`] is called for it, or that time is over, the lease is not given up.
    ///
    /// # Errors
    ///
    /// The session is over.
    pub fn act(&self, granted: &Granted, told: Acting) -> Result<FencedAction, Lost> {
        let left = self.left()?;
        let until = self.clock() + left.as_millis() as u64;
        let number = self.orders.get() + 1;
        self.orders.set(number);
        self.out.borrow_mut().push((number, until));
        Ok(FencedAction {
            lease: granted.lease.clone(),
            fence: granted.fence,
            clock: told.clock,
            not_after_ms: told.now_ms + left.as_millis() as u64,
            number,
        })
    }

    /// Ends the session, once nothing that was ordered in its name can begin any more: all that it holds is free then.
    pub async fn close(&self, within: Duration) {
        self.quiet().await;
        if let Some(task) = self.renewing.borrow_mut().take() {
            task.abort();
        }
        *self.hold.borrow_mut() = LeaseValidity::new(self.ttl_ms);
        let until = self.client.net().now() + within;
        let _ = self.client.command(&Command::Close { session: self.name.clone() }, until).await;
    }
}
