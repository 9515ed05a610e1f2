//! Statistics that a traffic thread keeps of each server and service, with the pacing of cold
//! servers and the retry budget.

use model::{MonoTime, VmName};
use policy::{ColdPacer, LoadEstimator, RetryBudget};

use crate::{CachedServer, StateSnapshot};

/// Weight of one answer in a service's moving average.
const MEAN_GAIN: f64 = 0.05;

/// Assumed average seconds to an answer before the first one.
pub const INITIAL_SECONDS: f64 = 0.15;

/// Statistics of one instance of a server.
#[derive(Debug, Clone)]
pub struct ServerStats {
    /// Start time of the instance in Unix milliseconds, which tells instances apart.
    pub born: u64,
    /// Estimate of its load and speed.
    pub estimator: LoadEstimator,
    /// Until when there is no permit for it, according to its keeper.
    pub next_permit_at: MonoTime,
    /// Set while the server is cold; `Some(None)` if this router has no part of its allowance, or
    /// the plan lacks its service.
    cold_pacer: Option<Option<ColdPacer>>,
}

impl ServerStats {
    /// Creates the statistics of an instance with `slots` that nothing was sent to.
    pub fn new(born: u64, slots: u32) -> Self {
        Self {
            born,
            estimator: LoadEstimator::new(slots),
            next_permit_at: MonoTime::default(),
            cold_pacer: None,
        }
    }

    /// Whether a request may be sent now: always to a warm server, at its pacer's rate to a cold
    /// one.
    pub fn may_send(
        &mut self,
        server: &CachedServer,
        router: &VmName,
        snapshot: &StateSnapshot,
        now: MonoTime,
    ) -> bool {
        if server.cold_until <= now {
            self.cold_pacer = None;
            return true;
        }
        let pacer = self.cold_pacer.get_or_insert_with(|| {
            let settings = snapshot.plan.as_ref()?.services.get(&server.entry.service)?;
            let routers: Vec<VmName> = snapshot.vms.keys().cloned().collect();
            ColdPacer::new(&server.entry.name, router, &routers, settings.cold_requests_per_s, now)
        });
        pacer.as_ref().is_some_and(|it| it.is_ready(now))
    }

    /// Records the start of a request.
    pub fn begin(&mut self, now: MonoTime) {
        self.estimator.begin(now);
        if let Some(Some(pacer)) = &mut self.cold_pacer {
            pacer.note_sent(now);
        }
    }
}

/// Retry budget and average answer time of one service.
#[derive(Debug, Clone)]
pub struct ServiceStats {
    /// Limits retries to a share of the service's requests.
    pub budget: RetryBudget,
    mean_seconds: Option<f64>,
}

impl ServiceStats {
    /// Creates the statistics of a service that has not answered yet.
    pub fn new(budget: RetryBudget) -> Self {
        Self { budget, mean_seconds: None }
    }

    /// Adds a complete answer that took `seconds` to the average.
    pub fn record_answer(&mut self, seconds: f64) {
        let old = self.mean_seconds.unwrap_or(seconds);
        self.mean_seconds = Some(old + (seconds - old) * MEAN_GAIN);
    }

    /// Moving average of the seconds to an answer.
    pub fn mean_seconds(&self) -> f64 {
        self.mean_seconds.unwrap_or(INITIAL_SECONDS)
    }
}
