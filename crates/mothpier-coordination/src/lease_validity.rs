//! How long a lease holder may act, by its own clock. That clock must also count while the machine is
//! suspended; otherwise a laptop that wakes up would believe that it still holds the lease. The holder
//! counts from before it sends a renewal, so that network delay shortens its time, and stops early by the
//! possible clock error and a safety margin.

/// Maximum clock error over a session's TTL, in thousandths. Quartz clocks err by 0.2, a clock that is being
/// slewed by 0.5. A machine with a less accurate clock must neither hold leases nor accept fenced actions.
pub const CLOCK_ERROR: u64 = 5;
/// Part of the TTL that a holder gives up for clock errors, in thousandths. Three clocks take part: the
/// leader's may run fast while those of the holder and of the process that accepts its actions run slow. (1
/// - 0.011)(1 + 0.005) is less than 1 - 0.005.
pub const KEPT_OFF: u64 = 2 * CLOCK_ERROR + 1;
/// Safety margin for the time between reading the clock and acting, as a divisor of the TTL.
const MARGIN: u64 = 20;
/// Lower bound of the safety margin.
const LEAST_MARGIN_MS: u64 = 5;

/// The validity of a session as its client computes it, in ms of the client's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseValidity {
    ttl_ms: u64,
    kept_off_ms: u64,
    /// When the request of the last confirmed renewal was sent.
    asked: Option<u64>,
}

impl LeaseValidity {
    /// Creates the validity of a session that is not confirmed yet.
    pub fn new(ttl_ms: u64) -> Self {
        let margin = (ttl_ms / MARGIN).max(LEAST_MARGIN_MS);
        LeaseValidity::keeping_off(ttl_ms, (ttl_ms * KEPT_OFF).div_ceil(1000) + margin)
    }

    /// Creates the validity of a session that stops `guard_ms` before its TTL ends.
    pub fn keeping_off(ttl_ms: u64, kept_off_ms: u64) -> Self {
        LeaseValidity { ttl_ms, kept_off_ms, asked: None }
    }

    /// Records that opening or renewing the session, requested at `requested_at`, was confirmed.
    pub fn confirmed(&mut self, asked: u64) {
        self.asked = Some(self.asked.map_or(asked, |before| before.max(asked)));
    }

    /// Returns the time from which on the holder must not act.
    pub fn until(&self) -> Option<u64> {
        self.asked.map(|asked| asked + self.ttl_ms.saturating_sub(self.kept_off_ms))
    }

    /// Returns the time left in which the holder may act, or `None` if it is over.
    pub fn left(&self, now: u64) -> Option<u64> {
        self.until().and_then(|until| until.checked_sub(now)).filter(|left| *left > 0)
    }

    /// Returns when to renew next. Two further renewals can fail before the session is no longer valid.
    pub fn renew_at(&self) -> Option<u64> {
        self.asked.map(|asked| asked + self.ttl_ms / 4)
    }

    /// Returns the time from which on the holder should be warned that renewing fails.
    pub fn warn_at(&self) -> Option<u64> {
        self.asked.map(|asked| asked + self.ttl_ms / 2)
    }
}

#[cfg(test)]
mod tests;
