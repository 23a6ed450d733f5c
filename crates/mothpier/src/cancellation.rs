//! Whether the client of a request still waits: known to its connection, and asked of the kernel where that knowledge is
//! old.
//!
//! A process that was stopped, or kept from running, goes on with what is due before its runtime looks at the sockets
//! again. A client that left meanwhile is known to the kernel alone; so the first byte of an attempt is written only if the
//! connection was looked at a moment ago, or is looked at now.

use std::cell::Cell;
use std::fmt;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use mothpier_net::ReadHalf;

use crate::{Mutation, mutation_active};

/// A connection that was seen to stand is asked for again after this time; a system call for each attempt would cost some
/// hundredths of a request.
const FRESH: Duration = Duration::from_millis(10);

/// A client's connection, as the kernel knows it.
pub struct ConnectionProbe {
    hung_up: Box<dyn Fn() -> bool>,
    seen: Cell<Instant>,
}

impl ConnectionProbe {
    /// Of a connection that stands now.
    pub fn new<R: ReadHalf>(reading: Rc<R>, now: Instant) -> Self {
        ConnectionProbe { hung_up: Box::new(move || reading.hung_up()), seen: Cell::new(now) }
    }

    /// The connection was seen to stand.
    pub fn stands(&self, now: Instant) {
        self.seen.set(now);
    }

    /// Whether the client has closed or reset it, or has ended its sending.
    fn hung_up(&self, now: Instant) -> bool {
        if now.saturating_duration_since(self.seen.get()) < FRESH {
            return false;
        }
        let hung_up = (self.hung_up)();
        if !hung_up {
            self.seen.set(now);
        }
        hung_up
    }
}

impl fmt::Debug for ConnectionProbe {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionProbe").field("seen", &self.seen).finish_non_exhaustive()
    }
}

/// A request whose client waits.
#[derive(Debug)]
struct Waiting {
    connection: Rc<ConnectionProbe>,
}

/// Held by a client's connection for as long as it waits for an answer: dropping it cancels the request.
#[derive(Debug)]
pub struct CancelGuard(Rc<Waiting>);

impl CancelGuard {
    /// Of a request that came on a connection.
    pub fn new(connection: Rc<ConnectionProbe>) -> Self {
        CancelGuard(Rc::new(Waiting { connection }))
    }

    /// The token by which the rest of the node sees whether the request is cancelled.
    pub fn token(&self) -> CancelToken {
        CancelToken(Some(Rc::downgrade(&self.0)))
    }
}

/// Tells whether a request is cancelled, for what is about to be sent for it. The default never is.
#[derive(Clone, Debug, Default)]
pub struct CancelToken(Option<Weak<Waiting>>);

impl CancelToken {
    /// Whether the client no longer waits, as its connection or the kernel knows.
    pub fn is_cancelled(&self, now: Instant) -> bool {
        if mutation_active(Mutation::SentAfterLeft) || mutation_active(Mutation::SentAfterAnswer) {
            return false;
        }
        let Some(request) = &self.0 else { return false };
        request.upgrade().is_none_or(|waiting| waiting.connection.hung_up(now))
    }
}
