//! How long an answer counts, and when it is asked for again.

/// The highest bit of a lifetime: one that has it counts as 0 (RFC 2181, section 8).
const HIGHEST_BIT: u32 = 1 << 31;

/// Bounds of lifetimes, milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifetimes {
    /// No answer counts for less: records with a lifetime of 0 must not be asked for without end.
    pub floor: u64,
    /// No answer counts for longer: a record with a wrong lifetime must be forgotten some day.
    pub ceiling: u64,
    /// A negative answer counts for no longer (RFC 2308, section 5, has one to three hours as a sensible bound).
    pub negative_ceiling: u64,
    /// An answer that has run out is used for so long while no new one is to be had (RFC 8767, section 5).
    pub stale: u64,
}

impl Default for Lifetimes {
    fn default() -> Self {
        Lifetimes { floor: 2_000, ceiling: 300_000, negative_ceiling: 30_000, stale: 3_600_000 }
    }
}

impl Lifetimes {
    /// How long an answer with this lifetime (seconds, as it came) counts.
    pub fn of(&self, seconds: u32) -> u64 {
        let seconds = if seconds & HIGHEST_BIT != 0 { 0 } else { seconds };
        (u64::from(seconds) * 1000).clamp(self.floor, self.ceiling)
    }

    /// How long a negative answer counts: the lesser of its SOA's own lifetime and minimum (RFC 2308, section 5); the
    /// floor where it has none.
    pub fn of_nothing(&self, soa: Option<(u32, u32)>) -> u64 {
        let seconds = soa.map_or(0, |(ttl, minimum)| ttl.min(minimum));
        self.of(seconds).min(self.negative_ceiling.max(self.floor))
    }

    /// When an answer that came now and counts for `span` is asked for again: between seven and nine tenths of it, drawn
    /// anew each time, so that nodes which began together do not go on asking together.
    pub fn refresh(&self, now: u64, span: u64, chance: f64) -> u64 {
        now + (span as f64 * (0.7 + 0.2 * chance.clamp(0.0, 1.0))).round() as u64
    }
}

#[cfg(test)]
mod tests;
