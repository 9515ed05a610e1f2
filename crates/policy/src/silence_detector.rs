//! Detection of failure domains that no longer respond.
//!
//! Load pattern: a domain is cut off, and requests to it get no response. If servers were detected one by
//! one, each of many routers would lose a request to each of the domain's servers, for as long as its
//! caller waits, before it avoided them all; the silence of the domain shows after the first request.

use std::time::Duration;

use model::MonoTime;

/// Time without a response, while one is due, after which a domain counts as silent. It is longer than
/// the work time of most requests, as an answer may be the only sign of life.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between requests that are still sent to a silent domain as probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);

/// Tracks whether one failure domain responds, as observed by one router.
#[derive(Debug, Clone, Copy, Default)]
pub struct SilenceDetector {
    /// Time of the first send since the last sign of life.
    waiting_since: Option<MonoTime>,
    probed_at: MonoTime,
}

impl SilenceDetector {
    /// Records that a request is sent to a server of the domain.
    pub fn note_sent(&mut self, now: MonoTime) {
        if self.is_silent(now) {
            self.probed_at = now;
        }
        self.waiting_since.get_or_insert(now);
    }

    /// Records a sign of life of the time `at`: an answer, a refusal, or another router's report.
    pub fn note_heard(&mut self, at: MonoTime) {
        if self.waiting_since.is_some_and(|it| it <= at) {
            self.waiting_since = None;
        }
    }

    /// Whether a sign of life is overdue.
    pub fn is_silent(&self, now: MonoTime) -> bool {
        self.waiting_since.is_some_and(|it| now.since(it) >= SILENCE_TIMEOUT)
    }

    /// Whether a request should avoid the domain, because it is silent and no probe is due.
    pub fn is_avoided(&self, now: MonoTime) -> bool {
        self.is_silent(now) && now.since(self.probed_at) < PROBE_INTERVAL
    }
}
