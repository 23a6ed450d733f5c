//! Computes how long answers are valid and when they are refreshed.

/// The highest bit of a TTL: a TTL that has it set is treated as 0 (RFC 2181, section 8).
const HIGHEST_BIT: u32 = 1 << 31;

/// Bounds of the lifetimes of answers, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifetimes {
    /// Minimum lifetime, so that records with a TTL of 0 do not cause queries without pause.
    pub floor: u64,
    /// Maximum lifetime, so that a record with a wrong TTL is replaced eventually.
    pub ceiling: u64,
    /// Maximum lifetime of a negative answer (RFC 2308, section 5, calls one to three hours a sensible
    /// bound).
    pub negative_ceiling: u64,
    /// How long an expired answer is still used while no new one can be obtained (RFC 8767, section 5).
    pub stale: u64,
}

impl Default for Lifetimes {
    fn default() -> Self {
        Lifetimes { floor: 2_000, ceiling: 300_000, negative_ceiling: 30_000, stale: 3_600_000 }
    }
}

impl Lifetimes {
    /// Returns the lifetime of an answer with a TTL in seconds.
    pub fn answer_lifetime(&self, seconds: u32) -> u64 {
        let seconds = if seconds & HIGHEST_BIT != 0 { 0 } else { seconds };
        (u64::from(seconds) * 1000).clamp(self.floor, self.ceiling)
    }

    /// Returns the lifetime of a negative answer: the lesser of the TTL and the minimum field of its SOA
    /// record (RFC 2308, section 5), or the floor if there is no SOA record.
    pub fn negative_lifetime(&self, soa: Option<(u32, u32)>) -> u64 {
        let seconds = soa.map_or(0, |(ttl, minimum)| ttl.min(minimum));
        self.answer_lifetime(seconds).min(self.negative_ceiling.max(self.floor))
    }

    /// Returns when an answer that was received at `now` is refreshed: after 70 to 90 % of its lifetime,
    /// chosen by `random` (0 to 1), so that nodes that started together do not keep sending their queries
    /// together.
    pub fn refresh_at(&self, now: u64, lifetime: u64, random: f64) -> u64 {
        now + (lifetime as f64 * (0.7 + 0.2 * random.clamp(0.0, 1.0))).round() as u64
    }
}

#[cfg(test)]
mod tests;
