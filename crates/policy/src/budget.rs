//! Limit on retries and hedges as a share of recent traffic.

/// Fraction of the operators' retry slack that all routers together use.
const SLACK_SHARE: f64 = 0.6;

/// Fraction of the operators' retry ratio that all routers together use.
const RATIO_SHARE: f64 = 0.75;

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

    /// Creates the budget of one of `n_routers` routers that together may send `ratio` retries for
    /// each request and `slack` more.
    ///
    /// Load pattern: hundreds of routers, of which each sends a few requests a second and retries
    /// rarely. With more routers than retries to save, the share of each is less than one retry, which
    /// is given out by chance ([`Self::take_by_chance`]), so that the sum still keeps to the slack.
    pub fn shared(ratio: f64, slack: f64, n_routers: usize) -> Self {
        let ratio = ratio * RATIO_SHARE;
        Self::new(ratio, Self::shared_cap(ratio, slack, n_routers))
    }

    /// Changes the number of routers that share the slack; what is saved beyond the new share is lost.
    pub fn share_among(&mut self, slack: f64, n_routers: usize) {
        self.cap = Self::shared_cap(self.ratio, slack, n_routers);
        self.tokens = self.tokens.min(self.cap);
    }

    /// At least what one request adds.
    fn shared_cap(ratio: f64, slack: f64, n_routers: usize) -> f64 {
        (slack * SLACK_SHARE / n_routers.max(1) as f64).max(ratio)
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

    /// Spends one token like [`Self::take`]. A share of less than one token is spent as a whole, and allows
    /// the retry with that probability; `draw` is a uniform random number in [0, 1).
    pub fn take_by_chance(&mut self, draw: f64) -> bool {
        if self.cap >= 1.0 {
            return self.take();
        }
        draw < std::mem::take(&mut self.tokens)
    }

    /// Returns the token of a retry that was not sent.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.cap);
    }
}
