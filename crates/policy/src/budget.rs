//! Retries and hedges as a share of recent traffic.

/// Tokens that grow with first sends and are spent by further sends.
///
/// Under total failure, sent requests stay below `1 + ratio` times the received ones.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    ratio: f64,
    cap: f64,
}

impl RetryBudget {
    /// A budget of `ratio` further sends for each first send, saving up at most `cap` of them.
    pub fn new(ratio: f64, cap: f64) -> Self {
        Self { tokens: cap.min(1.0), ratio, cap }
    }

    /// Notes a first send.
    pub fn note_first(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.cap);
    }

    /// Takes one further send out of the budget, if there is one.
    pub fn take(&mut self) -> bool {
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }

    /// Returns a further send that was not sent after all.
    pub fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.cap);
    }
}
