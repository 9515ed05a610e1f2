//! Whether a failure domain has fallen silent.
//!
//! Load pattern: a domain is cut off and swallows what is sent there. Each of many routers would have
//! to lose a request, for as long as its caller waits, to each of the domain's servers before all of
//! them are avoided; the silence of the whole domain shows after the first.

use std::time::Duration;

use model::MonoTime;

/// Time without a sign of life, while one is due, after which a domain counts as silent. Longer than
/// most requests are worked on, as an answer may be the only sign.
const SILENCE: Duration = Duration::from_millis(500);

/// Time between requests that may still be sent to a silent domain, to learn that it is back.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);

/// One failure domain as one router hears of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct SilenceDetector {
    /// First send since the last sign of life.
    waiting_since: Option<MonoTime>,
    probed_at: MonoTime,
}

impl SilenceDetector {
    /// Notes that a request is sent to a server of the domain.
    pub fn note_sent(&mut self, now: MonoTime) {
        if self.is_silent(now) {
            self.probed_at = now;
        }
        self.waiting_since.get_or_insert(now);
    }

    /// Notes a sign of life that was given at `at`: an answer, a refusal, or another router's report.
    pub fn note_heard(&mut self, at: MonoTime) {
        if self.waiting_since.is_some_and(|it| it <= at) {
            self.waiting_since = None;
        }
    }

    /// Whether signs of life are overdue.
    pub fn is_silent(&self, now: MonoTime) -> bool {
        self.waiting_since.is_some_and(|it| now.since(it) >= SILENCE)
    }

    /// Whether the domain should be left alone by this request.
    pub fn is_avoided(&self, now: MonoTime) -> bool {
        self.is_silent(now) && now.since(self.probed_at) < PROBE_INTERVAL
    }
}
