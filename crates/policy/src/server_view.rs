//! What one router sees of one server through its own requests.

use std::{collections::BTreeMap, time::Duration};

use model::MonoTime;

use crate::{CallPace, ColdProfile, ConcurrencyLimit, RouterShare, WarmupState};

/// What the sheet says a server can bear, and how many routers share it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerProfile {
    /// Requests that it runs at once when warm.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// What it bears after its start.
    pub cold: ColdProfile,
    /// This router's place among those that share it.
    pub share: RouterShare,
}

impl ServerProfile {
    /// Connections that one router may use at the most.
    pub fn router_share(&self) -> u32 {
        (self.connections / self.share.n_routers.max(1)).max(self.slots).max(1)
    }
}

#[derive(Debug, Clone, Copy)]
struct OpenCall {
    started_at: MonoTime,
    allowed: Duration,
}

/// How a call used its time, unless its end says nothing of that.
fn call_pace(result: CallResult, age: Duration, allowed: Duration) -> Option<CallPace> {
    let percent = age.as_micros() * 100 / allowed.as_micros().max(1);
    match result {
        CallResult::Answered => Some(CallPace::Answered(percent as u32)),
        CallResult::Abandoned if percent >= MISSED_PERCENT => Some(CallPace::Missed),
        CallResult::Shed => Some(CallPace::Missed),
        _ => None,
    }
}

/// One open call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallTicket(u64);

/// How a call ended, as far as load is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// A whole answer came.
    Answered,
    /// The server refused for lack of capacity.
    Shed,
    /// The server said that it is cold.
    Cold,
    /// The server's host refused the connection.
    Refused,
    /// The server could not be reached or broke off.
    Failed,
    /// This router gave up waiting.
    Abandoned,
}

/// Weight of the newest latency in the average.
const LATENCY_GAIN: f64 = 0.1;

/// Share of its time, in percent, after which a call that was given up counts as missed.
const MISSED_PERCENT: u128 = 90;

/// Assumed length of a call that was given up, in units of its age.
const STRAGGLE_FACTOR: f64 = 3.0;

/// Time in which the memory of such a call halves.
const STRAGGLE_HALF_LIFE: Duration = Duration::from_millis(300);

/// Half-lives after which it is forgotten.
const MAX_STRAGGLE_HALF_LIVES: f64 = 8.0;

/// Pause after the first failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause after failures.
const MAX_PAUSE: Duration = Duration::from_millis(1_600);

/// Age of a server's load report beyond which it says nothing.
const HINT_LIFETIME: Duration = Duration::from_millis(250);

/// One server as one router sees it.
#[derive(Debug, Clone)]
pub struct ServerView {
    profile: ServerProfile,
    open: BTreeMap<CallTicket, OpenCall>,
    limit: ConcurrencyLimit,
    next_ticket: u64,
    latency: Option<f64>,
    /// Estimated seconds of a call that was given up, and when that was.
    straggled: Option<(f64, MonoTime)>,
    n_failed: u32,
    paused_until: MonoTime,
    reported_load: Option<(u32, MonoTime)>,
    warmup: WarmupState,
}

impl ServerView {
    /// A server of which nothing has been seen yet.
    pub fn new(profile: ServerProfile) -> Self {
        Self {
            profile,
            open: BTreeMap::new(),
            limit: ConcurrencyLimit::new(profile.router_share()),
            next_ticket: 0,
            latency: None,
            straggled: None,
            n_failed: 0,
            paused_until: MonoTime::default(),
            reported_load: None,
            warmup: WarmupState::Warm,
        }
    }

    /// Takes a changed profile from the sheet.
    pub fn set_profile(&mut self, profile: ServerProfile) {
        self.profile = profile;
        self.limit.set_highest(profile.router_share());
    }

    /// Notes that a call is sent which has `allowed` until its deadline.
    pub fn begin(&mut self, allowed: Duration, now: MonoTime) -> CallTicket {
        let ticket = CallTicket(self.next_ticket);
        self.next_ticket += 1;
        self.open.insert(ticket, OpenCall { started_at: now, allowed });
        ticket
    }

    /// Notes how a call ended, and the server's own count of running and waiting requests.
    /// Returns the call's age, unless it had ended already.
    pub fn finish(
        &mut self,
        ticket: CallTicket,
        result: CallResult,
        reported_load: Option<u32>,
        now: MonoTime,
    ) -> Option<Duration> {
        let OpenCall { started_at, allowed } = self.open.remove(&ticket)?;
        let age = now.since(started_at).as_secs_f64();
        if let Some(pace) = call_pace(result, now.since(started_at), allowed) {
            self.limit.note(pace, now);
        }
        self.note_warmth(result, now);
        match result {
            CallResult::Answered => {
                let old = self.latency.unwrap_or(age);
                self.latency = Some(old + (age - old) * LATENCY_GAIN);
                if self.straggled.is_some_and(|(estimate, _)| age * 2.0 < estimate) {
                    self.straggled = None;
                }
                self.n_failed = 0;
                self.paused_until = MonoTime::default();
            }
            CallResult::Abandoned => {
                // The call would have taken longer than this, and its age no longer shows.
                self.straggled = Some((age * STRAGGLE_FACTOR, now));
            }
            CallResult::Shed | CallResult::Cold | CallResult::Refused | CallResult::Failed => {
                let pause = (FIRST_PAUSE * 2u32.pow(self.n_failed.min(5))).min(MAX_PAUSE);
                self.n_failed += 1;
                self.paused_until = now + pause;
            }
        }
        if let Some(reported_load) = reported_load {
            self.reported_load = Some((reported_load, now));
        }
        Some(now.since(started_at))
    }

    fn note_warmth(&mut self, result: CallResult, now: MonoTime) {
        let state = self.warmup.aged(self.profile.cold, now);
        self.warmup = match result {
            CallResult::Answered => state.answered(now),
            CallResult::Cold => state.found_cold(now),
            // A broken connection may be the server's end; a probe tells.
            CallResult::Refused | CallResult::Failed => state.lost(),
            CallResult::Shed | CallResult::Abandoned => state,
        };
    }

    /// Notes that a probe found the server alive.
    pub fn note_alive(&mut self, now: MonoTime) {
        self.warmup = self.warmup.answered(now);
        self.paused_until = MonoTime::default();
        self.n_failed = 0;
    }

    /// Notes that another router found the server cold.
    pub fn note_cold(&mut self, now: MonoTime) {
        self.warmup = self.warmup.found_cold(now);
    }

    /// Whether the server is warm, as far as this router knows.
    pub fn warmup(&self) -> WarmupState {
        self.warmup
    }

    /// Whether the server has to be probed before it is given anything.
    pub fn is_lost(&self) -> bool {
        self.warmup == WarmupState::Lost
    }

    /// Whether the limit on open calls leaves room for one more.
    pub fn is_below_limit(&self) -> bool {
        self.open.len() < self.limit.value()
    }

    /// Whether the warm-up leaves room for one more call.
    pub fn has_room(&self, now: MonoTime) -> bool {
        let allowance = self.warmup.aged(self.profile.cold, now).allowance(
            self.profile.cold,
            self.profile.share,
            now,
        );
        allowance.is_none_or(|it| self.open.len() < it as usize)
    }

    /// Calls under way.
    pub fn n_open(&self) -> usize {
        self.open.len()
    }

    /// Age of the oldest call under way.
    pub fn oldest_age(&self, now: MonoTime) -> Duration {
        self.open.values().next().map_or(Duration::ZERO, |it| now.since(it.started_at))
    }

    /// Average seconds to a whole answer.
    pub fn latency(&self) -> Option<f64> {
        self.latency
    }

    /// Whether the server is left alone after failures.
    pub fn is_paused(&self, now: MonoTime) -> bool {
        now < self.paused_until
    }

    /// Slots of the server when warm.
    pub fn slots(&self) -> u32 {
        self.profile.slots
    }

    /// Connections that the server accepts.
    pub fn connections(&self) -> u32 {
        self.profile.connections
    }

    /// Estimated seconds until a call sent now would be answered.
    ///
    /// The age of an open call counts as soon as it exceeds the average, so that a straggler
    /// shows before its calls end. `typical` stands in while nothing has been seen.
    pub fn expected_wait(&self, typical: f64, now: MonoTime) -> f64 {
        let latency = self.latency.unwrap_or(typical);
        let age = self.oldest_age(now).as_secs_f64();
        let fresh_hint = self.reported_load.filter(|(_, at)| now.since(*at) < HINT_LIFETIME);
        let hinted = fresh_hint.map_or(0.0, |(n, _)| f64::from(n) / 2.0);
        let load = (self.n_open() as f64).max(hinted) + 1.0;
        let queueing = (load / f64::from(self.profile.slots.max(1))).max(1.0);
        let overdue = (age - 2.0 * latency.max(typical)).max(0.0);
        latency * queueing + overdue + latency * load * 0.1 + self.straggle_seconds(now)
    }

    /// What is left of the last call that was given up.
    fn straggle_seconds(&self, now: MonoTime) -> f64 {
        let Some((estimate, at)) = self.straggled else {
            return 0.0;
        };
        let half_lives = now.since(at).as_secs_f64() / STRAGGLE_HALF_LIFE.as_secs_f64();
        match half_lives < MAX_STRAGGLE_HALF_LIVES {
            true => estimate * 0.5f64.powf(half_lives),
            false => 0.0,
        }
    }
}
