//! What one router knows of a server's load: its own calls and the server's reports.
//!
//! Load pattern: servers of unequal speed, with few slots and a short queue, shared by routers that
//! each send a few requests a second, so that most of a server's load is other routers' work.

use std::time::Duration;

use model::MonoTime;
use smallvec::SmallVec;

use crate::queue_bound;

/// Age at which a report weighs half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(250);

/// Weight of one call in the average of its server.
const WORK_GAIN: f64 = 0.15;

/// Pause after the first failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after failures.
const MAX_PAUSE: Duration = Duration::from_millis(1_600);

/// Share of time for which a server is assumed to be busy while nothing is known of it.
const ASSUMED_USE: f64 = 0.5;

/// Time after the last call for which a server that is too slow is not tried again.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// Times of calls that are kept to be added to a report.
const MAX_SENT_TIMES: usize = 16;

/// A server's own count of its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub n_running: u32,
    /// Requests that wait.
    pub n_waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// How long work takes now, in percent of the usual time.
    pub slowdown_percent: u32,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// A whole answer came after this time.
    Answered(Duration),
    /// The server refused it before running it.
    Shed,
    /// The connection failed, or the answer could not be used.
    Failed,
    /// This router or its caller stopped waiting after this time.
    Abandoned(Duration),
}

/// One server as one router sees it.
#[derive(Debug, Clone)]
pub struct LoadEstimator {
    slots: u32,
    n_open: u32,
    report: Option<(LoadReport, MonoTime)>,
    /// When recent calls were sent that the report does not count.
    sent_since: SmallVec<[MonoTime; 8]>,
    work: Option<f64>,
    sent_at: Option<MonoTime>,
    n_failed: u32,
    paused_until: MonoTime,
}

impl LoadEstimator {
    /// A server with `slots` of which nothing is known.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            n_open: 0,
            report: None,
            sent_since: SmallVec::new(),
            work: None,
            sent_at: None,
            n_failed: 0,
            paused_until: MonoTime::default(),
        }
    }

    /// Notes that a call is sent.
    pub fn begin(&mut self, now: MonoTime) {
        self.n_open += 1;
        self.sent_at = Some(now);
        if self.sent_since.len() == MAX_SENT_TIMES {
            self.sent_since.remove(0);
        }
        self.sent_since.push(now);
    }

    /// Notes how a call ended.
    pub fn finish(&mut self, end: CallEnd, now: MonoTime) {
        self.n_open = self.n_open.saturating_sub(1);
        match end {
            CallEnd::Answered(age) => {
                self.add_work(age);
                self.n_failed = 0;
                self.paused_until = MonoTime::default();
            }
            CallEnd::Abandoned(age) => {
                if self.work.is_some_and(|it| age.as_secs_f64() > it) {
                    self.add_work(age);
                }
            }
            CallEnd::Shed | CallEnd::Failed => {
                let pause = (FIRST_PAUSE * 2u32.pow(self.n_failed.min(5))).min(MAX_PAUSE);
                self.n_failed += 1;
                self.paused_until = now + pause;
            }
        }
    }

    fn add_work(&mut self, age: Duration) {
        // Time in the server's queue is taken out, so that the average tells the server's speed.
        let queued = self.report.map_or(0, |(report, _)| report.n_waiting);
        let rounds = 1.0 + f64::from(queued) / f64::from(self.slots);
        let work = age.as_secs_f64() / rounds;
        let old = self.work.unwrap_or(work);
        self.work = Some(old + (work - old) * WORK_GAIN);
    }

    /// Takes in the server's report of the time `at`, unless a newer one is known.
    pub fn note_report(&mut self, report: LoadReport, at: MonoTime) {
        if self.report.is_some_and(|(_, known)| known >= at) {
            return;
        }
        self.slots = report.slots.max(1);
        self.report = Some((report, at));
        self.sent_since.retain(|it| *it > at);
    }

    /// Calls under way.
    pub fn n_open(&self) -> u32 {
        self.n_open
    }

    /// Average seconds of work, without the time in the queue.
    pub fn work_seconds(&self) -> Option<f64> {
        self.work
    }

    /// Whether the server is left alone after failures.
    pub fn is_paused(&self, now: MonoTime) -> bool {
        now < self.paused_until
    }

    /// Requests that run or wait at the server, as far as is known.
    pub fn n_present(&self, now: MonoTime) -> f64 {
        let assumed = f64::from(self.slots) * ASSUMED_USE;
        let own = f64::from(self.n_open);
        match self.report {
            Some((report, at)) => {
                let half_lives = now.since(at).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
                let weight = 0.5f64.powf(half_lives);
                let told =
                    f64::from(report.n_running + report.n_waiting) + self.sent_since.len() as f64;
                (told * weight + assumed * (1.0 - weight)).max(own)
            }
            None => assumed.max(own),
        }
    }

    /// Estimated seconds that a request sent now would wait for a slot.
    pub fn queue_seconds(&self, typical: f64, now: MonoTime) -> f64 {
        let slots = f64::from(self.slots);
        let queued = (self.n_present(now) + 1.0 - slots).max(0.0);
        self.current_work(typical, now) * queued / slots
    }

    /// Seconds of work for one request, as the server's machine is now.
    pub fn current_work(&self, typical: f64, now: MonoTime) -> f64 {
        let pace = match self.report {
            Some((report, at)) if now.since(at) < REPORT_HALF_LIFE => {
                f64::from(report.slowdown_percent.max(1)) / 100.0
            }
            _ => 1.0,
        };
        self.work.unwrap_or(typical) * pace
    }

    /// Whether the queue is too long for a request with `objective` for its answer and `left` until
    /// its deadline; `typical` seconds of work stand in while nothing has been answered.
    ///
    /// A server that seems to work longer than callers wait is tried now and then all the same, as
    /// nothing else would tell that it has become faster, or that this router was itself frozen.
    pub fn is_queue_too_long(
        &self,
        objective: Duration,
        left: Duration,
        typical: f64,
        now: MonoTime,
    ) -> bool {
        let is_untried = self.sent_at.is_none_or(|it| now.since(it) >= TRIAL_INTERVAL);
        let work = self.current_work(typical, now);
        let work = if is_untried { work.min(typical) } else { work };
        self.queue_seconds(typical, now) > queue_bound(objective, left, work)
    }

    /// Estimated seconds to the answer of a request sent now; `typical` stands in while nothing has
    /// been answered.
    pub fn expected_seconds(&self, typical: f64, now: MonoTime) -> f64 {
        let slots = f64::from(self.slots);
        let present = self.n_present(now);
        let queued = (present + 1.0 - slots).max(0.0);
        // Servers slow down somewhat as their slots fill, so the emptier of two is preferred.
        let crowding = 1.0 + 0.2 * (present / slots).min(1.0);
        self.current_work(typical, now) * (crowding + queued / slots)
    }
}
