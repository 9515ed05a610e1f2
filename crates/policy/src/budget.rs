//! Limit on retries and hedges as a share of recent traffic.

/// Token bucket that first sends fill and that retries and hedges spend.
///
/// When every send fails, the number of sends stays below `1 + ratio` times that of requests, not
/// counting the tokens saved before.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    ratio: f64,
    cap: f64,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries for each first send that saves up to `cap` of them.
    pub fn new(ratio: f64, cap: f64) -> Self {
        Self { tokens: cap.min(1.0), ratio, cap }
    }

    /// Records a first send, which adds `ratio` tokens.
    pub fn note_first(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.cap);
    }

    /// Spends one token, if a whole one is left; returns whether the retry may be sent.
    pub fn take(&mut self) -> bool {
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }

    /// Returns the token of a retry that was not sent.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.cap);
    }
}
