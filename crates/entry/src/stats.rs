//! Statistics that a traffic thread keeps of each server and service, with the pacing of cold
//! servers and the retry budget.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use model::{MonoTime, VmName};
use policy::{AddressDoubt, ColdPacer, LoadEstimator, RetryBudget};

use crate::{CachedServer, ServerEntry, StateSnapshot};

/// Weight of one answer in a service's moving average.
const MEAN_GAIN: f64 = 0.05;

/// Assumed average seconds to an answer before the first one.
pub const INITIAL_SECONDS: f64 = 0.15;

/// Window over which the requests to a cold server are summed.
const COLD_WINDOW: Duration = Duration::from_millis(1_000);

/// Time for which a server counts as used after this router has last found it warm: others may have sent
/// to it since.
const USE_MEMORY: Duration = Duration::from_millis(2_000);

/// Statistics of one instance of a server.
#[derive(Debug, Clone)]
pub struct ServerStats {
    /// Start time of the instance in Unix milliseconds, which tells instances apart.
    pub born: u64,
    /// Address of the instance.
    pub address: SocketAddr,
    /// Estimate of its load and speed.
    pub estimator: LoadEstimator,
    /// Until when there is no permit for it, according to its keeper.
    pub next_permit_at: MonoTime,
    /// Whether it still is at its address.
    pub address_doubt: AddressDoubt,
    /// Set while the server is cold.
    cold_share: Option<ColdShare>,
    /// When the last request was sent to it.
    sent_at: Option<MonoTime>,
    /// When this router last found it warm.
    was_warm_at: Option<MonoTime>,
    /// Until when a server that was in use when it became cold gets nothing, so that what it got before
    /// is not in one window with what it gets as a cold one.
    rests_until: MonoTime,
}

/// This router's share of the rate at a cold server.
#[derive(Debug, Clone)]
struct ColdShare {
    /// VMs that it was made for.
    vms: Arc<BTreeMap<VmName, MonoTime>>,
    /// `None` if only other routers may send, or the plan lacks the server's service.
    pacer: Option<ColdPacer>,
}

impl ColdShare {
    fn new(
        server: &CachedServer,
        router: &VmName,
        snapshot: &StateSnapshot,
        sent_at: Option<MonoTime>,
        now: MonoTime,
    ) -> Self {
        let vms = snapshot.sharing_vms.clone();
        let plan = snapshot.plan.as_ref();
        let settings = plan.and_then(|it| it.services.get(&server.entry.service));
        let pacer = settings.and_then(|it| {
            let routers: Vec<VmName> = vms.keys().cloned().collect();
            let rate = it.cold_requests_per_s;
            let mut pacer = ColdPacer::new(&server.entry.name, router, &routers, rate, now)?;
            if let Some(sent_at) = sent_at {
                pacer.note_earlier_send(sent_at);
            }
            Some(pacer)
        });
        Self { vms, pacer }
    }
}

impl ServerStats {
    /// Creates the statistics of an instance that nothing was sent to.
    pub fn new(server: &ServerEntry) -> Self {
        Self {
            born: server.born,
            address: server.address,
            estimator: LoadEstimator::new(server.slots),
            next_permit_at: MonoTime::default(),
            address_doubt: AddressDoubt::default(),
            cold_share: None,
            sent_at: None,
            was_warm_at: None,
            rests_until: MonoTime::default(),
        }
    }

    /// Whether a request may be sent now to the server, which is cold until `cold_until`: always to a warm
    /// one, and to a cold one at the rate of this router's share, which follows the VMs.
    pub fn may_send(
        &mut self,
        server: &CachedServer,
        cold_until: MonoTime,
        router: &VmName,
        snapshot: &StateSnapshot,
        now: MonoTime,
    ) -> bool {
        if cold_until <= now {
            self.cold_share = None;
            self.was_warm_at = Some(now);
            return true;
        }
        if self.was_warm_at.take().is_some_and(|it| now.since(it) < USE_MEMORY) {
            self.rests_until = now + COLD_WINDOW;
        }
        if now < self.rests_until || !snapshot.has_share(router, now) {
            return false;
        }
        self.cold_share.take_if(|it| !Arc::ptr_eq(&it.vms, &snapshot.sharing_vms));
        let sent_at = self.sent_at;
        let share = self
            .cold_share
            .get_or_insert_with(|| ColdShare::new(server, router, snapshot, sent_at, now));
        share.pacer.as_ref().is_some_and(|it| it.is_ready(now))
    }

    /// Records the start of a request.
    pub fn begin(&mut self, now: MonoTime) {
        self.estimator.begin(now);
        self.sent_at = Some(now);
        if let Some(pacer) = self.cold_share.as_mut().and_then(|it| it.pacer.as_mut()) {
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
