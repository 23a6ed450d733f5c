//! Sessions, their renewal, and the leases that they hold.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use mothpier_coordination::fleet::messages::{FleetCommand, FleetRefusal, FleetResponse};
use mothpier_coordination::{Answer, Command, Fence, FencedAction, LeaseValidity, Refusal, Request};
use mothpier_net::{Net, Task};
use tokio::sync::Notify;

use crate::{Client, Outcome};

/// Shortest delay before a renewal, which is also the delay after a failed one.
const MIN_RENEWAL_DELAY: Duration = Duration::from_millis(50);
/// Polls of a lease that the session waits for, per session TTL.
const LEASE_POLLS_PER_TTL: u32 = 10;

/// Why a session is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionLost {
    /// The session was not renewed in time by the local clock: the coordinators are unreachable, or this
    /// process was stopped.
    NotRenewed,
    /// A coordinator reported that the session has ended.
    Ended(String),
}

impl std::fmt::Display for SessionLost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SessionLost::NotRenewed => write!(f, "it could not be renewed in time"),
            SessionLost::Ended(why) => write!(f, "{why}"),
        }
    }
}

/// A lease granted to a session, valid for as long as the session is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Name of the lease.
    pub lease: String,
    /// Fencing token of the grant.
    pub fence: Fence,
}

/// A reading of the clock of the process that checks the fences.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Name of the clock.
    pub clock: String,
    /// Time of the clock in ms.
    pub now_ms: u64,
}

/// A session with the coordinators, renewed by a background task until it is closed or dropped.
pub struct Session<N: Net> {
    client: Rc<Client<N>>,
    /// Name of the session.
    pub name: String,
    ttl_ms: u64,
    validity: RefCell<LeaseValidity>,
    last_request_number: Cell<u64>,
    end_reason: RefCell<Option<String>>,
    last_action_number: Cell<u64>,
    /// Actions without an answer: their number, and the local time in ms until which they may begin.
    unanswered_actions: RefCell<Vec<(u64, u64)>>,
    /// Notified after each renewal attempt and when the session ends.
    pub changed: Notify,
    renewal_task: RefCell<Option<N::Task>>,
}

impl<N: Net> Drop for Session<N> {
    fn drop(&mut self) {
        if let Some(task) = self.renewal_task.borrow_mut().take() {
            task.abort();
        }
    }
}

impl<N: Net> Session<N> {
    /// Opens a session and starts the task that renews it.
    ///
    /// # Errors
    ///
    /// Returns why the session was not opened within `timeout`.
    pub async fn open(
        client: Rc<Client<N>>,
        name: String,
        ttl: Duration,
        timeout: Duration,
    ) -> Result<Rc<Self>, String> {
        let ttl_ms = ttl.as_millis() as u64;
        let session = Rc::new(Session {
            client: client.clone(),
            name: name.clone(),
            ttl_ms,
            validity: RefCell::new(LeaseValidity::new(ttl_ms)),
            last_request_number: Cell::new(0),
            end_reason: RefCell::default(),
            last_action_number: Cell::new(0),
            unanswered_actions: RefCell::default(),
            changed: Notify::new(),
            renewal_task: RefCell::default(),
        });
        let deadline = client.net().now() + timeout;
        let open = Command::Open { session: name, ttl_ms };
        // The TTL counts from when the successful attempt was sent, not from the first one.
        loop {
            let sent_at = session.clock();
            let attempt_deadline = deadline.min(client.net().now() + ttl / 2);
            match client.command(&open, attempt_deadline).await {
                Outcome::Done(Answer::Opened) => {
                    session.validity.borrow_mut().confirm_renewal(sent_at);
                    break;
                }
                Outcome::Done(Answer::Refused { why }) => return Err(why.to_string()),
                Outcome::Refused(why) => return Err(why),
                Outcome::Done(other) => return Err(format!("unexpected answer: {other:?}")),
                Outcome::NotDone(why) | Outcome::Indeterminate(why) if client.net().now() >= deadline => {
                    return Err(why);
                }
                _ => {}
            }
        }
        let weak_session = Rc::downgrade(&session);
        let net = client.net().clone();
        let task = client.net().spawn(async move {
            loop {
                let Some(wait) = weak_session.upgrade().map(|s| s.time_until_renewal()) else { return };
                net.sleep(wait).await;
                let Some(session) = weak_session.upgrade() else { return };
                if !session.renew().await {
                    return;
                }
            }
        });
        *session.renewal_task.borrow_mut() = Some(task);
        Ok(session)
    }

    /// Returns the local clock that the session uses, in ms; it also runs while the machine is suspended.
    pub fn clock(&self) -> u64 {
        self.client.net().boot_time().as_millis() as u64
    }

    fn time_until_renewal(&self) -> Duration {
        let at = self.validity.borrow().renew_at().unwrap_or(0);
        Duration::from_millis(at.saturating_sub(self.clock())).max(MIN_RENEWAL_DELAY)
    }

    /// Renews the session once. Returns whether to continue renewing.
    async fn renew(&self) -> bool {
        let sent_at = self.clock();
        let deadline = self.client.net().now() + Duration::from_millis(self.ttl_ms / 2);
        match self.client.command(&Command::Renew { session: self.name.clone() }, deadline).await {
            Outcome::Done(Answer::Renewed) => self.validity.borrow_mut().confirm_renewal(sent_at),
            Outcome::Done(Answer::Refused { why: Refusal::BrokenByStaff }) => {
                // The leases may be used for the rest of the TTL, but the session is not renewed again.
                *self.end_reason.borrow_mut() = Some(Refusal::BrokenByStaff.to_string());
                self.changed.notify_waiters();
                return false;
            }
            Outcome::Done(answer) => {
                let why = match answer {
                    Answer::Refused { why } => why.to_string(),
                    other => format!("unexpected answer: {other:?}"),
                };
                *self.end_reason.borrow_mut() = Some(why);
                *self.validity.borrow_mut() = LeaseValidity::new(self.ttl_ms);
                self.changed.notify_waiters();
                return false;
            }
            Outcome::NotDone(_) | Outcome::Refused(_) | Outcome::Indeterminate(_) => {}
        }
        self.changed.notify_waiters();
        true
    }

    /// Returns how much longer the session's leases may be used.
    ///
    /// # Errors
    ///
    /// Returns why the session is over.
    pub fn left(&self) -> Result<Duration, SessionLost> {
        match self.validity.borrow().remaining(self.clock()) {
            Some(left) => Ok(Duration::from_millis(left)),
            None => Err(self.end_reason.borrow().clone().map_or(SessionLost::NotRenewed, SessionLost::Ended)),
        }
    }

    /// Returns whether renewals have failed for half of the TTL or are refused, so that work under a lease
    /// should finish.
    pub fn renewal_failing(&self) -> bool {
        self.end_reason.borrow().is_some()
            || self.validity.borrow().warn_at().is_none_or(|at| self.clock() >= at)
    }

    /// Sends a request of this session, with retries until it is answered or the session is over.
    async fn send_request(&self, request: Request) -> Result<Answer, SessionLost> {
        let number = self.last_request_number.get() + 1;
        self.last_request_number.set(number);
        let command = Command::Ask { session: self.name.clone(), number, request };
        loop {
            let left = self.left()?;
            let deadline = self.client.net().now() + left;
            match self.client.command(&command, deadline).await {
                Outcome::Done(Answer::Refused { why: why @ (Refusal::NoSession | Refusal::SessionOver) }) => {
                    return Err(SessionLost::Ended(why.to_string()));
                }
                Outcome::Done(answer) => return Ok(answer),
                Outcome::Refused(why) => return Err(SessionLost::Ended(why)),
                Outcome::NotDone(_) | Outcome::Indeterminate(_) => {}
            }
        }
    }

    /// Acquires a lease. If another session holds it, waits in the queue while this session lives, or returns
    /// `None` if `wait` is false.
    ///
    /// # Errors
    ///
    /// Returns an error if the session is over or the lease is refused.
    pub async fn acquire(&self, lease: &str, wait: bool) -> Result<Option<LeaseGrant>, SessionLost> {
        let request = Request::Acquire { lease: lease.into(), wait };
        match self.send_request(request).await? {
            Answer::Granted { fence } => return Ok(Some(LeaseGrant { lease: lease.into(), fence })),
            Answer::Waiting { .. } => {}
            Answer::Refused { why: Refusal::Held { .. } } if !wait => return Ok(None),
            Answer::Refused { why } => return Err(SessionLost::Ended(why.to_string())),
            other => return Err(SessionLost::Ended(format!("unexpected answer: {other:?}"))),
        }
        let net = self.client.net().clone();
        loop {
            let left = self.left()?;
            if let Ok(snapshot) = self.client.leases(net.now() + left).await
                && let Some(lease_entry) =
                    snapshot.leases.iter().find(|l| l.lease == lease && l.holder == self.name)
            {
                return Ok(Some(LeaseGrant { lease: lease.into(), fence: lease_entry.fence }));
            }
            net.sleep(Duration::from_millis(self.ttl_ms) / LEASE_POLLS_PER_TTL).await;
        }
    }

    /// Sends a fleet command. Only one request of a session may be outstanding at a time.
    ///
    /// # Errors
    ///
    /// Returns an error if the session is over.
    pub async fn fleet(
        &self,
        what: FleetCommand,
    ) -> Result<Result<FleetResponse, FleetRefusal>, SessionLost> {
        match self.send_request(Request::Fleet { what }).await? {
            Answer::Fleet { answer } => Ok(Ok(answer)),
            Answer::Refused { why: Refusal::Fleet { fleet } } => Ok(Err(fleet)),
            other => Err(SessionLost::Ended(format!("unexpected answer: {other:?}"))),
        }
    }

    /// Records that an action was answered, with whatever result, so that it is no longer outstanding.
    pub fn action_answered(&self, action: &FencedAction) {
        self.unanswered_actions.borrow_mut().retain(|(number, _)| *number != action.number);
    }

    /// Waits until no outstanding action can begin any more. An unanswered action may still be in transit: if
    /// the lease were released now, the action could take effect while the next holder has the lease.
    async fn wait_for_unanswered_actions(&self) {
        let deadline =
            self.unanswered_actions.borrow().iter().map(|(_, deadline)| *deadline).max().unwrap_or(0);
        let wait = deadline.saturating_sub(self.clock());
        self.client.net().sleep(Duration::from_millis(wait)).await;
        self.unanswered_actions.borrow_mut().clear();
    }

    /// Releases a lease once no outstanding action can begin any more.
    ///
    /// # Errors
    ///
    /// Returns an error if the session is over.
    pub async fn release(&self, lease: &str) -> Result<(), SessionLost> {
        self.wait_for_unanswered_actions().await;
        self.send_request(Request::Release { lease: lease.into() }).await.map(|_| ())
    }

    /// Creates an action under a lease, with a start deadline on the clock that was read: it must not begin
    /// once the session's time is over. The lease is not released until [`Session::action_answered`] is
    /// called for the action, or that time is over.
    ///
    /// # Errors
    ///
    /// Returns an error if the session is over.
    pub fn authorize_action(
        &self,
        granted: &LeaseGrant,
        reading: ClockReading,
    ) -> Result<FencedAction, SessionLost> {
        let left = self.left()?;
        let deadline = self.clock() + left.as_millis() as u64;
        let number = self.last_action_number.get() + 1;
        self.last_action_number.set(number);
        self.unanswered_actions.borrow_mut().push((number, deadline));
        Ok(FencedAction {
            lease: granted.lease.clone(),
            fence: granted.fence,
            clock: reading.clock,
            not_after_ms: reading.now_ms + left.as_millis() as u64,
            number,
        })
    }

    /// Closes the session, and thereby frees its leases, once no outstanding action can begin any more.
    pub async fn close(&self, timeout: Duration) {
        self.wait_for_unanswered_actions().await;
        if let Some(task) = self.renewal_task.borrow_mut().take() {
            task.abort();
        }
        *self.validity.borrow_mut() = LeaseValidity::new(self.ttl_ms);
        let deadline = self.client.net().now() + timeout;
        let _ = self.client.command(&Command::Close { session: self.name.clone() }, deadline).await;
    }
}
