//! What one traffic thread has seen of servers and services.

use model::{MonoTime, VmName};
use policy::{ColdPacer, LoadEstimator, RetryBudget};

use crate::{CachedServer, StateSnapshot};

/// Weight of one answer in a service's average.
const TYPICAL_GAIN: f64 = 0.05;

/// Seconds that stand in for the average while nothing has been answered.
const INITIAL_SECONDS: f64 = 0.15;

/// One life of a server as this thread sees it.
#[derive(Debug, Clone)]
pub struct ServerStats {
    /// Which life it is.
    pub born: u64,
    /// Its load.
    pub estimator: LoadEstimator,
    cold_pacer: Option<Option<ColdPacer>>,
}

impl ServerStats {
    /// A life of which nothing is known.
    pub fn new(born: u64, slots: u32) -> Self {
        Self { born, estimator: LoadEstimator::new(slots), cold_pacer: None }
    }

    /// Whether the server's warmth allows a request now.
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
            let rules = snapshot.plan.as_ref()?.services.get(&server.entry.service)?;
            let routers: Vec<VmName> = snapshot.vms.keys().cloned().collect();
            ColdPacer::new(&server.entry.name, router, &routers, rules.cold_rate, now)
        });
        pacer.as_ref().is_some_and(|it| it.is_ready(now))
    }

    /// Notes that a request is sent.
    pub fn begin(&mut self, now: MonoTime) {
        self.estimator.begin(now);
        if let Some(Some(pacer)) = &mut self.cold_pacer {
            pacer.note_sent(now);
        }
    }
}

/// One service as this thread sees it.
#[derive(Debug, Clone)]
pub struct ServiceStats {
    /// Further sends that are left.
    pub budget: RetryBudget,
    typical: Option<f64>,
}

impl ServiceStats {
    /// A service of which nothing is known.
    pub fn new(budget: RetryBudget) -> Self {
        Self { budget, typical: None }
    }

    /// Takes in one whole answer after `seconds`.
    pub fn note_answer(&mut self, seconds: f64) {
        let old = self.typical.unwrap_or(seconds);
        self.typical = Some(old + (seconds - old) * TYPICAL_GAIN);
    }

    /// Average seconds to an answer.
    pub fn typical(&self) -> f64 {
        self.typical.unwrap_or(INITIAL_SECONDS)
    }
}
