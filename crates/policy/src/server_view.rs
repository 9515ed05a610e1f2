//! One router's observations of one server through its own requests.

use std::{collections::BTreeMap, time::Duration};

use model::MonoTime;

use crate::{CallTiming, ColdProfile, ConcurrencyLimit, RouterShare, WarmupState};

/// Capacity of a server according to the sheet, and this router's share of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerProfile {
    /// Number of requests that it runs at once when warm.
    pub slots: u32,
    /// Number of connections that it accepts.
    pub connections: u32,
    /// Its capacity after its start.
    pub cold: ColdProfile,
    /// This router's rank among those that share the server.
    pub share: RouterShare,
}

impl ServerProfile {
    /// Maximum number of connections that one router may use; never less than the server's slots.
    pub fn connection_share(&self) -> u32 {
        (self.connections / self.share.n_routers.max(1)).max(self.slots).max(1)
    }
}

#[derive(Debug, Clone, Copy)]
struct OpenCall {
    started_at: MonoTime,
    allowed: Duration,
}

/// When a call ended relative to its deadline, unless `result` says nothing about that.
fn call_timing(result: CallResult, age: Duration, allowed: Duration) -> Option<CallTiming> {
    let percent = age.as_micros() * 100 / allowed.as_micros().max(1);
    match result {
        CallResult::Answered => Some(CallTiming::Answered(percent as u32)),
        CallResult::Abandoned if percent >= MISSED_PERCENT => Some(CallTiming::Missed),
        CallResult::Shed => Some(CallTiming::Missed),
        _ => None,
    }
}

/// Identifier of an open call at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallTicket(u64);

/// End of a call, as far as it concerns load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// A complete answer arrived.
    Answered,
    /// The server refused for lack of capacity.
    Shed,
    /// The server refused because it is cold.
    Cold,
    /// The server's host refused the connection.
    Refused,
    /// The server was unreachable, or the connection broke.
    Failed,
    /// This router gave up waiting.
    Abandoned,
}

/// Weight of the newest latency in the moving average.
const LATENCY_GAIN: f64 = 0.1;

/// Share of the time to its deadline, in percent, from which on an abandoned call counts as missed.
const MISSED_PERCENT: u128 = 90;

/// Assumed latency of an abandoned call, as a multiple of its age.
const STRAGGLER_FACTOR: f64 = 3.0;

/// Time in which the penalty for an abandoned call halves.
const STRAGGLER_HALF_LIFE: Duration = Duration::from_millis(300);

/// Number of half-lives after which the penalty ends.
const MAX_STRAGGLER_HALF_LIVES: f64 = 8.0;

/// Backoff after the first failure in a row; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);

/// Age from which on a server's load report is ignored.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_millis(250);

/// What one router has observed of one server.
#[derive(Debug, Clone)]
pub struct ServerView {
    profile: ServerProfile,
    open_calls: BTreeMap<CallTicket, OpenCall>,
    limit: ConcurrencyLimit,
    next_ticket: u64,
    latency: Option<f64>,
    /// Estimated seconds of the last abandoned call, and the time when it was abandoned.
    straggler: Option<(f64, MonoTime)>,
    n_failed: u32,
    paused_until: MonoTime,
    reported_load: Option<(u32, MonoTime)>,
    warmup: WarmupState,
}

impl ServerView {
    /// Creates the view of a server that has not been observed yet; it counts as warm.
    pub fn new(profile: ServerProfile) -> Self {
        Self {
            profile,
            open_calls: BTreeMap::new(),
            limit: ConcurrencyLimit::new(profile.connection_share()),
            next_ticket: 0,
            latency: None,
            straggler: None,
            n_failed: 0,
            paused_until: MonoTime::default(),
            reported_load: None,
            warmup: WarmupState::Warm,
        }
    }

    /// Replaces the profile by that of a new sheet.
    pub fn set_profile(&mut self, profile: ServerProfile) {
        self.profile = profile;
        self.limit.set_max(profile.connection_share());
    }

    /// Records that a call is sent which has `allowed` until its deadline.
    pub fn begin(&mut self, allowed: Duration, now: MonoTime) -> CallTicket {
        let ticket = CallTicket(self.next_ticket);
        self.next_ticket += 1;
        self.open_calls.insert(ticket, OpenCall { started_at: now, allowed });
        ticket
    }

    /// Records the end of a call; `reported_load` is the server's own count of running and waiting
    /// requests. Returns the call's age, unless it had ended before.
    pub fn finish(
        &mut self,
        ticket: CallTicket,
        result: CallResult,
        reported_load: Option<u32>,
        now: MonoTime,
    ) -> Option<Duration> {
        let OpenCall { started_at, allowed } = self.open_calls.remove(&ticket)?;
        let age = now.since(started_at).as_secs_f64();
        if let Some(timing) = call_timing(result, now.since(started_at), allowed) {
            self.limit.record(timing, now);
        }
        self.update_warmup(result, now);
        match result {
            CallResult::Answered => {
                let old = self.latency.unwrap_or(age);
                self.latency = Some(old + (age - old) * LATENCY_GAIN);
                if self.straggler.is_some_and(|(estimate, _)| age * 2.0 < estimate) {
                    self.straggler = None;
                }
                self.n_failed = 0;
                self.paused_until = MonoTime::default();
            }
            CallResult::Abandoned => {
                // Its latency would have exceeded its age, which no longer counts as that of an open
                // call.
                self.straggler = Some((age * STRAGGLER_FACTOR, now));
            }
            CallResult::Shed | CallResult::Cold | CallResult::Refused | CallResult::Failed => {
                let backoff = (INITIAL_BACKOFF * 2u32.pow(self.n_failed.min(5))).min(MAX_BACKOFF);
                self.n_failed += 1;
                self.paused_until = now + backoff;
            }
        }
        if let Some(reported_load) = reported_load {
            self.reported_load = Some((reported_load, now));
        }
        Some(now.since(started_at))
    }

    fn update_warmup(&mut self, result: CallResult, now: MonoTime) {
        let state = self.warmup.state_at(self.profile.cold, now);
        self.warmup = match result {
            CallResult::Answered => state.answered(now),
            CallResult::Cold => state.found_cold(now),
            // The server process may have ended with its connection; a probe decides.
            CallResult::Refused | CallResult::Failed => state.lost(),
            CallResult::Shed | CallResult::Abandoned => state,
        };
    }

    /// Records that a probe reached the server.
    pub fn note_alive(&mut self, now: MonoTime) {
        self.warmup = self.warmup.answered(now);
        self.paused_until = MonoTime::default();
        self.n_failed = 0;
    }

    /// Records that another router found the server cold.
    pub fn note_cold(&mut self, now: MonoTime) {
        self.warmup = self.warmup.found_cold(now);
    }

    /// Warm-up state of the server, as far as this router knows.
    pub fn warmup(&self) -> WarmupState {
        self.warmup
    }

    /// Whether the server receives no requests until a probe reaches it.
    pub fn is_lost(&self) -> bool {
        self.warmup == WarmupState::Lost
    }

    /// Whether the concurrency limit allows another call.
    pub fn is_below_limit(&self) -> bool {
        self.open_calls.len() < self.limit.value()
    }

    /// Whether the warm-up allowance allows another call.
    pub fn has_room(&self, now: MonoTime) -> bool {
        let allowance = self.warmup.state_at(self.profile.cold, now).allowance(
            self.profile.cold,
            self.profile.share,
            now,
        );
        allowance.is_none_or(|it| self.open_calls.len() < it as usize)
    }

    /// Number of this router's open calls at the server.
    pub fn n_open(&self) -> usize {
        self.open_calls.len()
    }

    /// Age of the oldest open call, or zero without one.
    pub fn oldest_age(&self, now: MonoTime) -> Duration {
        self.open_calls.values().next().map_or(Duration::ZERO, |it| now.since(it.started_at))
    }

    /// Moving average of the latency of complete answers, in seconds.
    pub fn latency(&self) -> Option<f64> {
        self.latency
    }

    /// Whether the server is avoided after failures.
    pub fn is_paused(&self, now: MonoTime) -> bool {
        now < self.paused_until
    }

    /// Number of requests that the server runs at once when warm.
    pub fn slots(&self) -> u32 {
        self.profile.slots
    }

    /// Number of connections that the server accepts from all routers together.
    pub fn connections(&self) -> u32 {
        self.profile.connections
    }

    /// Estimated seconds to the answer of a call sent now.
    ///
    /// The age of the oldest open call counts once it exceeds twice the average latency and twice
    /// `typical_seconds`, so that a slow server shows before its calls end. `typical_seconds` also
    /// replaces the average latency while there is none.
    pub fn expected_seconds(&self, typical_seconds: f64, now: MonoTime) -> f64 {
        let latency = self.latency.unwrap_or(typical_seconds);
        let age = self.oldest_age(now).as_secs_f64();
        let fresh_report =
            self.reported_load.filter(|(_, at)| now.since(*at) < LOAD_REPORT_LIFETIME);
        let discounted_load = fresh_report.map_or(0.0, |(n, _)| f64::from(n) / 2.0);
        let load = (self.n_open() as f64).max(discounted_load) + 1.0;
        let queueing = (load / f64::from(self.profile.slots.max(1))).max(1.0);
        let overdue = (age - 2.0 * latency.max(typical_seconds)).max(0.0);
        latency * queueing + overdue + latency * load * 0.1 + self.straggler_seconds(now)
    }

    /// Remaining penalty for the last abandoned call, in seconds.
    fn straggler_seconds(&self, now: MonoTime) -> f64 {
        let Some((estimate, at)) = self.straggler else {
            return 0.0;
        };
        let half_lives = now.since(at).as_secs_f64() / STRAGGLER_HALF_LIFE.as_secs_f64();
        match half_lives < MAX_STRAGGLER_HALF_LIVES {
            true => estimate * 0.5f64.powf(half_lives),
            false => 0.0,
        }
    }
}
