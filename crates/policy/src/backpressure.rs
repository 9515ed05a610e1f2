//! What a server has asked of its callers in its answers: a rate, a pause, or no new work as it leaves.
//!
//! Load pattern: a server in need that goes on answering, so that neither failures nor its load reports
//! show how much it can take.

use std::time::Duration;

use model::MonoTime;

/// What one answer of a server asks of the router that receives it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BackpressureSignal {
    /// Requests a second that the server takes from all routers together.
    pub max_rate: Option<f64>,
    /// Whether the server is leaving, so that new work has to go to other servers.
    pub is_leaving: bool,
    /// How long the server wants no requests from this router.
    pub pause: Option<Duration>,
}

/// Time after a limit in which its end is sent to other routers again, as a message may be lost.
const END_REPEAT_TIME: Duration = Duration::from_secs(5);

/// Most recent requests of one instance of a server to its callers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BackpressureState {
    max_rate: Option<f64>,
    /// When the newest known answer was sent that did or did not name a rate.
    rated_at: MonoTime,
    /// When an answer last named a rate.
    limited_at: Option<MonoTime>,
    leaving_since: Option<MonoTime>,
    paused_until: MonoTime,
}

impl BackpressureState {
    /// Takes in a signal of the time `at`; returns whether it changes what the server is known to ask.
    pub fn note(&mut self, signal: BackpressureSignal, at: MonoTime) -> bool {
        let old = *self;
        self.note_rate(signal.max_rate, at);
        if signal.is_leaving {
            self.note_leaving(at);
        }
        if let Some(pause) = signal.pause {
            self.paused_until = self.paused_until.max(at + pause);
        }
        self.max_rate != old.max_rate
            || self.leaving_since.is_some() != old.leaving_since.is_some()
            || self.paused_until != old.paused_until
    }

    /// Takes in that an answer of the time `at` named this rate, or none.
    pub fn note_rate(&mut self, max_rate: Option<f64>, at: MonoTime) {
        if at >= self.rated_at {
            self.max_rate = max_rate;
            self.rated_at = at;
            self.limited_at = max_rate.map(|_| at).or(self.limited_at);
        }
    }

    /// Takes in that the server said at this time that it is leaving.
    pub fn note_leaving(&mut self, at: MonoTime) {
        self.leaving_since = Some(self.leaving_since.map_or(at, |it| it.min(at)));
    }

    /// Requests a second that the server takes from all routers together, if it has named a limit.
    pub fn max_rate(&self) -> Option<f64> {
        self.max_rate
    }

    /// Whether other routers have to know of it: the server is leaving, or has or had a limit of late.
    pub fn concerns_all(&self, now: MonoTime) -> bool {
        let is_recent = |it: MonoTime| now.since(it) < END_REPEAT_TIME;
        self.leaving_since.is_some()
            || self.max_rate.is_some()
            || self.limited_at.is_some_and(is_recent)
    }

    /// When the newest known answer was sent, whether or not it named a rate.
    pub fn rated_at(&self) -> MonoTime {
        self.rated_at
    }

    /// Since when the server has said that it is leaving.
    pub fn leaving_since(&self) -> Option<MonoTime> {
        self.leaving_since
    }

    /// Until when the server wants no requests from this router.
    pub fn paused_until(&self) -> MonoTime {
        self.paused_until
    }
}
