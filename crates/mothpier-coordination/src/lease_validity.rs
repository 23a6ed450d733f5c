//! Until when a holder may act, by its own clock: one that also counts while the machine is suspended, or a laptop that
//! wakes would believe that it still holds. It counts from before it asked, so that whatever the way took is its loss, and
//! keeps off the end by what clocks may err and a margin.

/// How far any clock may run wrong over a lease's time, in thousandths. Quartz errs by 0.2, a clock that is being slewed
/// by 0.5; a machine whose clock runs worse must hold no leases and obey none.
pub const CLOCK_ERROR: u64 = 5;
/// What a holder keeps off the end of its time, in thousandths: three clocks take part, the leader's may run fast while
/// the holder's and that of the one that obeys run slow. (1 - 0.011)(1 + 0.005) is less than 1 - 0.005.
pub const KEPT_OFF: u64 = 2 * CLOCK_ERROR + 1;
/// And for what lies between the look at the clock and what is done: this part of the time at the least, ...
const MARGIN: u64 = 20;
/// ... and never under this many ms.
const LEAST_MARGIN_MS: u64 = 5;

/// A session's time as its client reckons it, in ms of the client's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseValidity {
    ttl_ms: u64,
    kept_off_ms: u64,
    /// When the last renewal that was confirmed had been asked for.
    asked: Option<u64>,
}

impl LeaseValidity {
    /// A session of a time that nobody has confirmed yet.
    pub fn new(ttl_ms: u64) -> Self {
        let margin = (ttl_ms / MARGIN).max(LEAST_MARGIN_MS);
        LeaseValidity::keeping_off(ttl_ms, (ttl_ms * KEPT_OFF).div_ceil(1000) + margin)
    }

    /// One that keeps off its end by a span of its own.
    pub fn keeping_off(ttl_ms: u64, kept_off_ms: u64) -> Self {
        LeaseValidity { ttl_ms, kept_off_ms, asked: None }
    }

    /// Opening or renewing, asked for at a time, was confirmed.
    pub fn confirmed(&mut self, asked: u64) {
        self.asked = Some(self.asked.map_or(asked, |before| before.max(asked)));
    }

    /// Nothing may be done from this time on.
    pub fn until(&self) -> Option<u64> {
        self.asked.map(|asked| asked + self.ttl_ms.saturating_sub(self.kept_off_ms))
    }

    /// What is left of the time in which something may be done; nothing where it is over.
    pub fn left(&self, now: u64) -> Option<u64> {
        self.until().and_then(|until| until.checked_sub(now)).filter(|left| *left > 0)
    }

    /// When to renew next: twice more can fail before the time is over.
    pub fn renew_at(&self) -> Option<u64> {
        self.asked.map(|asked| asked + self.ttl_ms / 4)
    }

    /// From when on the holder should be warned that renewing fails.
    pub fn warn_at(&self) -> Option<u64> {
        self.asked.map(|asked| asked + self.ttl_ms / 2)
    }
}

#[cfg(test)]
mod tests;
