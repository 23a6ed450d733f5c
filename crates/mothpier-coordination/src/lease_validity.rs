//! How long a lease holder may act, by its own clock. That clock must also count while the machine is
//! suspended; otherwise a laptop that wakes up would believe that it still holds the lease. The holder
//! counts from before it sends a renewal, so that network delay shortens its time, and stops early by the
//! possible clock error and a safety margin.

/// Maximum clock error over a session's TTL, in thousandths. Quartz clocks err by 0.2, a clock that is being
/// slewed by 0.5. A machine with a less accurate clock must neither hold leases nor accept fenced actions.
pub const CLOCK_ERROR_PER_MILLE: u64 = 5;
/// Part of the TTL that a holder gives up for clock errors, in thousandths. Three clocks take part: the
/// leader's may run fast while those of the holder and of the process that accepts its actions run slow.
/// (1 - 0.011)(1 + 0.005) is less than 1 - 0.005.
pub const CLOCK_GUARD_PER_MILLE: u64 = 2 * CLOCK_ERROR_PER_MILLE + 1;
/// Safety margin for the time between reading the clock and acting, as a divisor of the TTL.
const MARGIN_DIVISOR: u64 = 20;
/// Lower bound of the safety margin.
const MIN_MARGIN_MS: u64 = 5;

/// The validity of a session as its client computes it, in ms of the client's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseValidity {
    ttl_ms: u64,
    guard_ms: u64,
    /// When the request of the last confirmed renewal was sent.
    requested_at: Option<u64>,
}

impl LeaseValidity {
    /// Creates the validity of a session that is not confirmed yet.
    pub fn new(ttl_ms: u64) -> Self {
        let margin = (ttl_ms / MARGIN_DIVISOR).max(MIN_MARGIN_MS);
        LeaseValidity::with_guard(ttl_ms, (ttl_ms * CLOCK_GUARD_PER_MILLE).div_ceil(1000) + margin)
    }

    /// Creates the validity of a session that stops `guard_ms` before its TTL ends.
    pub fn with_guard(ttl_ms: u64, guard_ms: u64) -> Self {
        LeaseValidity { ttl_ms, guard_ms, requested_at: None }
    }

    /// Records that opening or renewing the session, requested at `requested_at`, was confirmed.
    pub fn confirm_renewal(&mut self, requested_at: u64) {
        self.requested_at =
            Some(self.requested_at.map_or(requested_at, |previous| previous.max(requested_at)));
    }

    /// Returns the time from which on the holder must not act.
    pub fn valid_until(&self) -> Option<u64> {
        self.requested_at.map(|requested_at| requested_at + self.ttl_ms.saturating_sub(self.guard_ms))
    }

    /// Returns the time left in which the holder may act, or `None` if it is over.
    pub fn remaining(&self, now: u64) -> Option<u64> {
        self.valid_until()
            .and_then(|valid_until| valid_until.checked_sub(now))
            .filter(|remaining| *remaining > 0)
    }

    /// Returns when to renew next. Two further renewals can fail before the session is no longer valid.
    pub fn renew_at(&self) -> Option<u64> {
        self.requested_at.map(|requested_at| requested_at + self.ttl_ms / 4)
    }

    /// Returns the time from which on the holder should be warned that renewing fails.
    pub fn warn_at(&self) -> Option<u64> {
        self.requested_at.map(|requested_at| requested_at + self.ttl_ms / 2)
    }
}

#[cfg(test)]
mod tests;
