//! A running quantile in constant space.

/// Follows a quantile of a stream of positive numbers.
///
/// Each sample above the estimate raises it, each one below lowers it, in the ratio at which the
/// two balance at the quantile (stochastic approximation after Robbins and Monro, 1951).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuantileTracker {
    value: f64,
    quantile: f64,
    gain: f64,
    n_samples: u32,
}

impl QuantileTracker {
    /// Follows `quantile` (between 0 and 1) from `initial`, moving by at most `gain` of the
    /// estimate for each sample, and by more while there are few.
    pub fn new(quantile: f64, initial: f64, gain: f64) -> Self {
        Self { value: initial, quantile, gain, n_samples: 0 }
    }

    /// Takes in one sample.
    pub fn add(&mut self, sample: f64) {
        self.n_samples = self.n_samples.saturating_add(1);
        let early_gain = f64::from(self.n_samples).sqrt().recip();
        let step = self.value * self.gain.max(early_gain);
        match sample > self.value {
            true => self.value += step * self.quantile,
            false => self.value -= step * (1.0 - self.quantile),
        }
    }

    /// The present estimate.
    pub fn value(&self) -> f64 {
        self.value
    }
}
