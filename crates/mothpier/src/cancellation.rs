//! Reports whether the client of a request still waits. Its connection knows that, and the kernel is asked
//! where that knowledge may be outdated.
//!
//! A process that was suspended, or got no CPU time, continues with the work that is due before its runtime
//! polls the sockets again. If a client closed its connection meanwhile, only the kernel knows. So the first
//! byte of an attempt is written only if the connection was checked a moment ago, or is checked now.

use std::cell::Cell;
use std::fmt;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use mothpier_net::ReadHalf;

use crate::{Mutation, mutation_active};

/// A connection that was seen open is checked again after this time. A system call for each attempt would
/// cost a few percent of the work for a request.
const RECHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Checks with the kernel whether a client's connection is open.
pub struct ConnectionProbe {
    hung_up: Box<dyn Fn() -> bool>,
    /// When the kernel last said that the connection is open. Input that is read says nothing: the client may have
    /// closed the connection behind it.
    seen: Cell<Option<Instant>>,
}

impl ConnectionProbe {
    /// Creates the probe of a connection.
    pub fn new<R: ReadHalf>(read_half: Rc<R>) -> Self {
        ConnectionProbe { hung_up: Box::new(move || read_half.hung_up()), seen: Cell::default() }
    }

    /// Returns whether the client has closed or reset the connection, or shut down its sending side.
    fn hung_up(&self, now: Instant) -> bool {
        if self.seen.get().is_some_and(|seen| now.saturating_duration_since(seen) < RECHECK_INTERVAL) {
            return false;
        }
        let hung_up = (self.hung_up)();
        if !hung_up {
            self.seen.set(Some(now));
        }
        hung_up
    }
}

impl fmt::Debug for ConnectionProbe {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionProbe").field("seen", &self.seen).finish_non_exhaustive()
    }
}

/// A request whose client is waiting.
#[derive(Debug)]
struct WaitingRequest {
    connection: Rc<ConnectionProbe>,
    /// The client has been sent the replies to all earlier commands.
    is_next: Cell<bool>,
}

/// Held by a client's connection while it waits for an answer; dropping it cancels the request.
#[derive(Debug)]
pub struct CancelGuard(Rc<WaitingRequest>);

impl CancelGuard {
    /// Creates the guard of a request received on a connection.
    pub fn new(connection: Rc<ConnectionProbe>) -> Self {
        CancelGuard(Rc::new(WaitingRequest { connection, is_next: Cell::new(false) }))
    }

    /// Records that the client has been sent the replies to all earlier commands, so that all replies behind this
    /// one wait for it.
    pub fn set_next(&self) {
        self.0.is_next.set(true);
    }

    /// Returns the token that tells the rest of the node whether the request is cancelled.
    pub fn token(&self) -> CancelToken {
        CancelToken(Some(Rc::downgrade(&self.0)))
    }
}

/// Tells, before anything is sent for a request, whether the request is cancelled. The default token never
/// is.
#[derive(Clone, Debug, Default)]
pub struct CancelToken(Option<Weak<WaitingRequest>>);

impl CancelToken {
    /// Returns whether the client no longer waits, according to its connection or the kernel.
    pub fn is_cancelled(&self, now: Instant) -> bool {
        if mutation_active(Mutation::SentAfterLeft) || mutation_active(Mutation::SentAfterAnswer) {
            return false;
        }
        let Some(request) = &self.0 else { return false };
        request.upgrade().is_none_or(|waiting| waiting.connection.hung_up(now))
    }

    /// Returns whether the client waits for the reply to this request before it can be sent any other.
    pub fn is_next(&self) -> bool {
        self.0.as_ref().and_then(Weak::upgrade).is_some_and(|waiting| waiting.is_next.get())
    }
}
