//! Whether a server is cold, from what it says of itself when it is asked.
//!
//! A server may start again behind a partition, or become cold while the store is down: what it last
//! published is then older than it looks. Connections that end without notice are a sign of that; from
//! then on its warmth is unknown, and it is treated as cold until it has been asked.

use std::time::Duration;

use model::MonoTime;

/// Time for which an answer of the server is believed whatever its connections show. Servers that are
/// full reset connections all the time.
const TRUST_TIME: Duration = Duration::from_millis(250);

/// Minimum time between two probes of a server by one router.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Time after a sign for which requests may wait for the probe's answer.
const ANSWER_WAIT: Duration = Duration::from_millis(150);

/// Longest and shortest age at which a server's answer is old while it can publish nothing.
const ANSWER_LIFETIMES: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(60));

/// Age at which a server's answer is too old while it can publish nothing: the time in which it gets, when
/// all its slots are in use, as many requests as it takes in a second while it is cold.
///
/// Load pattern: the busiest of uneven servers becomes cold in an outage of the store, and gets more
/// requests until it is asked than it takes.
pub fn answer_lifetime(slots: u32, work_seconds: f64, cold_requests_per_s: f64) -> Duration {
    let (longest, shortest) = ANSWER_LIFETIMES;
    let seconds = cold_requests_per_s * work_seconds / f64::from(slots.max(1));
    let lifetime = Duration::try_from_secs_f64(seconds).unwrap_or(longest);
    lifetime.clamp(shortest, longest)
}

/// What is known of one server's warmth besides what it has published.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerWarmth {
    /// When the server last said how long it stays cold, and until when.
    answer: Option<(MonoTime, MonoTime)>,
    /// When the newest sign of a new start was seen that no answer has followed.
    suspected_at: Option<MonoTime>,
    /// When this router last began a probe.
    probed_at: Option<MonoTime>,
}

impl ServerWarmth {
    /// Records a sign that the server may have started again.
    pub fn note_sign(&mut self, now: MonoTime) {
        self.suspected_at = Some(now);
    }

    /// Records that the server said at `at` that it is cold until `cold_until`; returns whether that is
    /// newer than what it said before by more than `min_difference`.
    pub fn note_answer(
        &mut self,
        at: MonoTime,
        cold_until: MonoTime,
        min_difference: Duration,
    ) -> bool {
        let is_newer = self.answer.is_none_or(|(known_at, _)| at > known_at + min_difference);
        if is_newer {
            self.answer = Some((at, cold_until));
            self.suspected_at.take_if(|it| *it <= at);
        }
        is_newer
    }

    /// When the server last said how long it stays cold, and until when that is.
    pub fn answer(&self) -> Option<(MonoTime, MonoTime)> {
        self.answer
    }

    /// When the server last said how long it stays cold.
    pub fn answered_at(&self) -> Option<MonoTime> {
        self.answer.map(|(at, _)| at)
    }

    /// Whether there was a sign that no answer has followed, and the last answer is too old to be
    /// believed.
    pub fn is_unknown(&self, now: MonoTime) -> bool {
        let is_trusted = |at: MonoTime| now.since(at) < TRUST_TIME;
        self.suspected_at.is_some() && !self.answered_at().is_some_and(is_trusted)
    }

    /// Until when the server has to be treated as cold, if a start of it takes `cold_duration`.
    pub fn cold_until(&self, cold_duration: Duration, now: MonoTime) -> MonoTime {
        let answered = self.answer.map(|(_, cold_until)| cold_until).unwrap_or_default();
        match self.suspected_at.filter(|_| self.is_unknown(now)) {
            Some(suspected_at) => answered.max(suspected_at + cold_duration),
            None => answered,
        }
    }

    /// Whether requests may wait a little, as the answer that ends the uncertainty is on its way.
    pub fn is_answer_near(&self, now: MonoTime) -> bool {
        self.is_unknown(now) && self.suspected_at.is_some_and(|it| now.since(it) < ANSWER_WAIT)
    }

    /// Begins a probe if the server's warmth is unknown and none was begun just before; returns whether
    /// it did.
    pub fn begin_probe(&mut self, now: MonoTime) -> bool {
        self.is_unknown(now) && self.begin_probe_after(PROBE_INTERVAL, now)
    }

    /// Begins a probe if the server has said nothing for `max_age` and no probe was begun in that time;
    /// returns whether it did.
    pub fn begin_regular_probe(&mut self, max_age: Duration, now: MonoTime) -> bool {
        let is_recent = |at: MonoTime| now.since(at) < max_age;
        !self.answered_at().is_some_and(is_recent) && self.begin_probe_after(max_age, now)
    }

    fn begin_probe_after(&mut self, interval: Duration, now: MonoTime) -> bool {
        let is_due = self.probed_at.is_none_or(|it| now.since(it) >= interval);
        if is_due {
            self.probed_at = Some(now);
        }
        is_due
    }
}
