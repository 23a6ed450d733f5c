//! Asks that a node may make: a bucket that fills evenly.

/// A bucket of tokens.
#[derive(Clone, Debug)]
pub struct Bucket {
    per_ms: f64,
    burst: f64,
    tokens: f64,
    at: u64,
}

impl Bucket {
    /// A full bucket that fills by so many tokens a second, up to a burst of at least one.
    pub fn new(per_s: f64, burst: f64, now: u64) -> Self {
        let burst = burst.max(1.0);
        Bucket { per_ms: per_s.max(0.0) / 1000.0, burst, tokens: burst, at: now }
    }

    fn fill(&mut self, now: u64) {
        let passed = now.saturating_sub(self.at);
        self.tokens = (self.tokens + passed as f64 * self.per_ms).min(self.burst);
        self.at = self.at.max(now);
    }

    /// Takes a token, if there is one.
    pub fn take(&mut self, now: u64) -> bool {
        self.fill(now);
        let there = self.tokens >= 1.0;
        if there {
            self.tokens -= 1.0;
        }
        there
    }

    /// When the next token is there.
    pub fn due(&mut self, now: u64) -> u64 {
        self.fill(now);
        if self.tokens >= 1.0 {
            return now;
        }
        let wait = (1.0 - self.tokens) / self.per_ms.max(1e-9);
        now.saturating_add((wait.ceil() as u64).max(1))
    }
}

#[cfg(test)]
mod tests;
