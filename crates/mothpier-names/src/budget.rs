//! Limits the rate of queries of one node with a token bucket.

/// A token bucket.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_ms: f64,
    burst: f64,
    tokens: f64,
    updated_at: u64,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `per_s` tokens per second and holds up to `burst`, at least one.
    pub fn new(per_s: f64, burst: f64, now: u64) -> Self {
        let burst = burst.max(1.0);
        TokenBucket { per_ms: per_s.max(0.0) / 1000.0, burst, tokens: burst, updated_at: now }
    }

    fn refill(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.tokens = (self.tokens + elapsed as f64 * self.per_ms).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }

    /// Takes a token. Returns whether there was one.
    pub fn take(&mut self, now: u64) -> bool {
        self.refill(now);
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// Returns when the next token is available.
    pub fn due(&mut self, now: u64) -> u64 {
        self.refill(now);
        if self.tokens >= 1.0 {
            return now;
        }
        let wait = (1.0 - self.tokens) / self.per_ms.max(1e-9);
        now.saturating_add((wait.ceil() as u64).max(1))
    }
}

#[cfg(test)]
mod tests;
