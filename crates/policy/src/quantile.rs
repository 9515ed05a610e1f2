//! Estimate of a stream's quantile in constant space.

/// Tracks a quantile of a stream of positive numbers.
///
/// Each sample above the estimate raises it and each one below lowers it, in steps that cancel out
/// at the quantile (stochastic approximation, Robbins and Monro 1951).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuantileTracker {
    value: f64,
    quantile: f64,
    gain: f64,
    n_samples: u32,
}

impl QuantileTracker {
    /// Creates a tracker of `quantile` (between 0 and 1) with the estimate `initial`.
    ///
    /// A sample changes the estimate by at most the share `gain` of it, and by more while there have
    /// been few samples.
    pub fn new(quantile: f64, initial: f64, gain: f64) -> Self {
        Self { value: initial, quantile, gain, n_samples: 0 }
    }

    /// Adds one sample to the estimate.
    pub fn add(&mut self, sample: f64) {
        self.n_samples = self.n_samples.saturating_add(1);
        let early_gain = f64::from(self.n_samples).sqrt().recip();
        let step = self.value * self.gain.max(early_gain);
        match sample > self.value {
            true => self.value += step * self.quantile,
            false => self.value -= step * (1.0 - self.quantile),
        }
    }

    /// Current estimate of the quantile, in the unit of the samples.
    pub fn value(&self) -> f64 {
        self.value
    }
}
