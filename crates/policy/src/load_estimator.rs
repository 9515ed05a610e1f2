//! Estimate of a server's load from one router's own calls and the server's load reports.
//!
//! Load pattern: servers of unequal speed, with few slots and a short queue, shared by routers that
//! each send a few requests a second, so that most of a server's load comes from other routers.

use std::time::Duration;

use model::MonoTime;
use smallvec::SmallVec;

use crate::queue_bound;

/// Age at which a report's weight has halved.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(250);

/// Weight of one call in the server's moving average of work time.
const WORK_GAIN: f64 = 0.15;

/// Backoff after the first failure in a row; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);

/// Share of its slots that a server is assumed to use while there is no recent report.
const ASSUMED_UTILIZATION: f64 = 0.5;

/// Time since the last call after which a server that seems too slow is tried again.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Work time that a probe of a server that seems too slow for any request is judged by, as a share of
/// the latency objective.
const PROBE_WORK_SHARE: f64 = 0.5;

/// Maximum number of recent calls that are added to a report's count.
const MAX_SENT_TIMES: usize = 16;

/// A server's report of its own load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that are running.
    pub n_running: u32,
    /// Requests in the server's queue.
    pub n_waiting: u32,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Present work time of a request in percent of the usual one; 100 means no slowdown.
    pub slowdown_percent: u32,
}

/// End of a call, with its age where that indicates the server's speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// A complete answer arrived after this time.
    Answered(Duration),
    /// The server refused the request before running it.
    Shed,
    /// The connection failed, or the answer was unusable.
    Failed,
    /// This router or its caller gave up after this time.
    Abandoned(Duration),
}

/// Estimates the load and speed of one server as observed by one router.
#[derive(Debug, Clone)]
pub struct LoadEstimator {
    slots: u32,
    n_open: u32,
    report: Option<(LoadReport, MonoTime)>,
    /// Send times of recent calls that the report doesn't count.
    sent_since: SmallVec<[MonoTime; 8]>,
    work_seconds: Option<f64>,
    /// Whether `work_seconds` has changed since it was last taken.
    is_work_updated: bool,
    sent_at: Option<MonoTime>,
    n_failed: u32,
    paused_until: MonoTime,
}

impl LoadEstimator {
    /// Creates the estimator of a server with `slots` that has not been observed yet.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            n_open: 0,
            report: None,
            sent_since: SmallVec::new(),
            work_seconds: None,
            is_work_updated: false,
            sent_at: None,
            n_failed: 0,
            paused_until: MonoTime::default(),
        }
    }

    /// Records that a call is sent.
    pub fn begin(&mut self, now: MonoTime) {
        self.n_open += 1;
        self.sent_at = Some(now);
        if self.sent_since.len() == MAX_SENT_TIMES {
            self.sent_since.remove(0);
        }
        self.sent_since.push(now);
    }

    /// Records the end of a call.
    pub fn finish(&mut self, end: CallEnd, now: MonoTime) {
        self.n_open = self.n_open.saturating_sub(1);
        match end {
            CallEnd::Answered(age) => {
                self.update_work_seconds(age);
                self.n_failed = 0;
                self.paused_until = MonoTime::default();
            }
            CallEnd::Abandoned(age) => {
                if self.work_seconds.is_some_and(|it| age.as_secs_f64() > it) {
                    self.update_work_seconds(age);
                }
            }
            CallEnd::Shed | CallEnd::Failed => {
                let backoff = (INITIAL_BACKOFF * 2u32.pow(self.n_failed.min(5))).min(MAX_BACKOFF);
                self.n_failed += 1;
                self.paused_until = now + backoff;
            }
        }
    }

    fn update_work_seconds(&mut self, age: Duration) {
        // Removes the time in the server's queue, so that the average measures the server's speed.
        let queued = self.report.map_or(0, |(report, _)| report.n_waiting);
        let rounds = 1.0 + f64::from(queued) / f64::from(self.slots);
        let work_seconds = age.as_secs_f64() / rounds;
        let old = self.work_seconds.unwrap_or(work_seconds);
        self.work_seconds = Some(old + (work_seconds - old) * WORK_GAIN);
        self.is_work_updated = true;
    }

    /// The moving average of the work time, if a call has changed it since this was last called.
    pub fn take_updated_work(&mut self) -> Option<f64> {
        self.work_seconds.filter(|_| std::mem::take(&mut self.is_work_updated))
    }

    /// Takes in the server's report of the time `at`, unless one at least as recent is known.
    pub fn note_report(&mut self, report: LoadReport, at: MonoTime) {
        if self.report.is_some_and(|(_, known)| known >= at) {
            return;
        }
        self.slots = report.slots.max(1);
        self.report = Some((report, at));
        self.sent_since.retain(|it| *it > at);
    }

    /// Number of this router's open calls at the server.
    pub fn n_open(&self) -> u32 {
        self.n_open
    }

    /// Whether the server is avoided after failures.
    pub fn is_paused(&self, now: MonoTime) -> bool {
        now < self.paused_until
    }

    /// Estimated number of requests of all routers that run or wait at the server.
    pub fn n_outstanding(&self, now: MonoTime) -> f64 {
        let assumed = self.assumed_outstanding();
        let own = f64::from(self.n_open);
        match self.report {
            Some((report, at)) => {
                let half_lives = now.since(at).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
                let weight = 0.5f64.powf(half_lives);
                let reported =
                    f64::from(report.n_running + report.n_waiting) + self.sent_since.len() as f64;
                (reported * weight + assumed * (1.0 - weight)).max(own)
            }
            None => assumed.max(own),
        }
    }

    /// Number of requests that are assumed to run at the server while there is no recent report.
    fn assumed_outstanding(&self) -> f64 {
        f64::from(self.slots) * ASSUMED_UTILIZATION
    }

    /// Estimated seconds that a request sent now would wait for a slot; `typical_seconds` replaces
    /// the average work time while no call was answered.
    pub fn queue_seconds(&self, typical_seconds: f64, now: MonoTime) -> f64 {
        let work_seconds = self.current_work_seconds(typical_seconds, now);
        work_seconds * self.queued_rounds(self.n_outstanding(now))
    }

    /// Rounds of work that a request waits for if this many are already at the server.
    fn queued_rounds(&self, n_outstanding: f64) -> f64 {
        let slots = f64::from(self.slots);
        (n_outstanding + 1.0 - slots).max(0.0) / slots
    }

    /// Average seconds of work for one request; `typical_seconds` while no call was answered.
    pub fn work_seconds(&self, typical_seconds: f64) -> f64 {
        self.work_seconds.unwrap_or(typical_seconds)
    }

    /// Estimated seconds of work for one request, at the slowdown of the server's last report unless
    /// that is older than the half-life of reports. `typical_seconds` replaces the average work time
    /// while no call was answered.
    pub fn current_work_seconds(&self, typical_seconds: f64, now: MonoTime) -> f64 {
        let slowdown = match self.report {
            Some((report, at)) if now.since(at) < REPORT_HALF_LIFE => {
                f64::from(report.slowdown_percent.max(1)) / 100.0
            }
            _ => 1.0,
        };
        self.work_seconds.unwrap_or(typical_seconds) * slowdown
    }

    /// Whether the queue is too long for a request with `objective` for its answer and `left` until
    /// its deadline; `typical_seconds` replaces the average work time while no call was answered.
    ///
    /// A server whose work time alone seems to exceed the callers' timeouts is still probed from time
    /// to time, also if its whole service seems that slow: only another call shows that it has become
    /// faster, or that this router or its links were slow when it measured.
    pub fn is_queue_too_long(
        &self,
        objective: Duration,
        left: Duration,
        typical_seconds: f64,
        now: MonoTime,
    ) -> bool {
        let is_probe_due = self.sent_at.is_none_or(|it| now.since(it) >= PROBE_INTERVAL);
        let work_seconds = self.current_work_seconds(typical_seconds, now);
        let least_seconds =
            if is_probe_due { work_seconds.min(typical_seconds) } else { work_seconds };
        let bound = queue_bound(objective, left, least_seconds);
        // Whether a server of whose queue nothing is known would be refused for its work time alone.
        let seems_too_slow = work_seconds * self.queued_rounds(self.assumed_outstanding()) > bound;
        let queued_rounds = self.queued_rounds(self.n_outstanding(now));
        if is_probe_due && seems_too_slow {
            let probe_seconds = least_seconds.min(objective.as_secs_f64() * PROBE_WORK_SHARE);
            return probe_seconds * queued_rounds > queue_bound(objective, left, probe_seconds);
        }
        work_seconds * queued_rounds > bound
    }

    /// Estimated seconds to the answer of a request sent now; `typical_seconds` replaces the average
    /// work time while no call was answered.
    pub fn expected_seconds(&self, typical_seconds: f64, now: MonoTime) -> f64 {
        let outstanding = self.n_outstanding(now);
        // Servers slow down somewhat as their slots fill, so the less busy of two is preferred.
        let crowding = 1.0 + 0.2 * (outstanding / f64::from(self.slots)).min(1.0);
        let rounds = crowding + self.queued_rounds(outstanding);
        self.current_work_seconds(typical_seconds, now) * rounds
    }
}
