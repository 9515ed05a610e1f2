//! Divides the rate that a server takes from all routers together among them.
//!
//! Load pattern: a server in need names a rate far below what its routers want to send, in the extreme
//! less than one request a second for hundreds of routers, of which some have much demand and most none.
//! Equal shares would leave most of the rate unused, and shares that may be saved up would add up to a
//! burst. Instead, one router keeps the schedule of the server, and the others ask it for each request.
//!
//! A second router keeps a schedule of a smaller rate for those that the first does not answer, and a
//! router that neither answers has a part of its own, so that all of them together stay below one and a
//! half times the rate even if the routers disagree on who answers.

use std::{collections::HashMap, time::Duration};

use model::{MonoTime, ServerName, VmName};
use serde::{Deserialize, Serialize};

use crate::rendezvous_rank;

/// Part of the rate that the second keeper gives out.
const SECOND_SHARE: f64 = 0.4;

/// Part of the rate that all routers together take which no keeper answers.
const ALONE_SHARE: f64 = 0.5;

/// Time for which unused permits can be saved up.
const BURST_TIME: Duration = Duration::from_millis(100);

/// Least rate in requests a second: without any request, the end of a limit would not be noticed.
const MIN_RATE: f64 = 0.1;

/// Number of requests for permits of servers in turn without an answer after which a keeper is avoided.
const MAX_UNANSWERED: u32 = 3;

/// How long a keeper is avoided.
const AVOID_TIME: Duration = Duration::from_secs(3);

/// Decision on a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitDecision {
    /// The request may be sent after this time.
    Granted(Duration),
    /// No permit is free within the time that the request can wait, the first after this time.
    Denied(Duration),
}

/// Who decides on a router's permits for a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum KeeperRank {
    /// The router that all routers ask first.
    First,
    /// The router that they ask when the first does not answer.
    Second,
    /// The router itself, as neither answers.
    Alone,
}

impl KeeperRank {
    /// Rate of the schedule in requests a second, of a server that takes `max_rate` from `n_routers`.
    pub fn rate(self, max_rate: f64, n_routers: usize) -> f64 {
        let max_rate = max_rate.max(MIN_RATE);
        match self {
            Self::First => max_rate,
            Self::Second => max_rate * SECOND_SHARE,
            Self::Alone => max_rate * ALONE_SHARE / n_routers.max(1) as f64,
        }
    }
}

/// Times at which requests may be sent to one server, at an even rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitSchedule {
    rate: f64,
    /// Time of the next permit if none had been saved up.
    next_at: MonoTime,
}

impl PermitSchedule {
    /// Creates a schedule at which the first request may be sent now.
    pub fn new(rate: f64, now: MonoTime) -> Self {
        Self { rate, next_at: now }
    }

    /// Decides on a request that can wait for `max_wait`; `rate` is the present one.
    pub fn decide(&mut self, rate: f64, max_wait: Duration, now: MonoTime) -> PermitDecision {
        let interval = Duration::from_secs_f64(1.0 / rate);
        if rate != self.rate {
            // A larger rate does not wait for the time that a smaller one had set.
            self.next_at = self.next_at.min(now + interval);
            self.rate = rate;
        }
        let burst_time = BURST_TIME.saturating_sub(interval);
        let next_at = self.next_at.max(now - burst_time);
        let wait = next_at.since(now);
        if wait > max_wait {
            return PermitDecision::Denied(wait);
        }
        self.next_at = next_at + interval;
        PermitDecision::Granted(wait)
    }
}

/// Schedules of the servers for which a router decides.
#[derive(Debug, Default)]
pub struct PermitKeeper {
    schedules: HashMap<(ServerName, KeeperRank), KeptSchedule>,
}

#[derive(Debug)]
struct KeptSchedule {
    /// Start time of the server's instance in Unix milliseconds.
    born: u64,
    schedule: PermitSchedule,
    used_at: MonoTime,
}

/// Time without a request for a permit after which a schedule is forgotten; longer than the interval at
/// [`MIN_RATE`].
const SCHEDULE_RETENTION: Duration = Duration::from_secs(60);

impl PermitKeeper {
    /// Decides as the keeper of `rank` on a request that can wait for `max_wait`; `rate` is that of the
    /// rank.
    pub fn decide(
        &mut self,
        server: &ServerName,
        born: u64,
        rank: KeeperRank,
        rate: f64,
        max_wait: Duration,
        now: MonoTime,
    ) -> PermitDecision {
        self.schedules.retain(|_, it| now.since(it.used_at) < SCHEDULE_RETENTION);
        let new = || KeptSchedule { born, schedule: PermitSchedule::new(rate, now), used_at: now };
        let kept = self.schedules.entry((server.clone(), rank)).or_insert_with(new);
        if kept.born != born {
            *kept = new();
        }
        kept.used_at = now;
        kept.schedule.decide(rate, max_wait, now)
    }
}

/// The two routers that keep the schedules of a server, by rendezvous order, so that all routers choose the
/// same. The flag of a router says whether it is in the server's failure domain: those go first, as a
/// router that can reach the server can usually reach them.
pub fn permit_keepers<'a>(
    server: &ServerName,
    routers: impl Iterator<Item = (&'a VmName, bool)>,
) -> [Option<&'a VmName>; 2] {
    let priority = |vm: &VmName| rendezvous_rank(server.as_str(), vm);
    let mut best: [Option<((bool, u64), &VmName)>; 2] = [None, None];
    for (vm, is_near) in routers {
        let order = ((!is_near, priority(vm)), vm);
        if best[0].is_none_or(|it| order < it) {
            best = [Some(order), best[0]];
        } else if best[1].is_none_or(|it| order < it) {
            best[1] = Some(order);
        }
    }
    best.map(|it| it.map(|(_, vm)| vm))
}

/// Which keepers have answered one router of late.
#[derive(Debug)]
pub struct KeeperHealth {
    keepers: HashMap<VmName, KeeperState>,
    /// Number of calls in turn without an answer after which a keeper is avoided.
    max_unanswered: u32,
}

impl Default for KeeperHealth {
    fn default() -> Self {
        Self::new(MAX_UNANSWERED)
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct KeeperState {
    n_unanswered: u32,
    /// When the last request was given up; earlier ones do not count again.
    given_up_at: MonoTime,
    avoided_until: MonoTime,
}

impl KeeperHealth {
    /// Creates the health of keepers that are avoided after `max_unanswered` calls in turn.
    pub fn new(max_unanswered: u32) -> Self {
        Self { keepers: HashMap::new(), max_unanswered }
    }

    /// Whether the keeper is avoided, as it has not answered.
    pub fn is_avoided(&self, keeper: &VmName, now: MonoTime) -> bool {
        self.keepers.get(keeper).is_some_and(|it| now < it.avoided_until)
    }

    /// Records that the keeper has answered.
    pub fn note_answer(&mut self, keeper: &VmName) {
        self.keepers.remove(keeper);
    }

    /// Records that a request of the time `asked_at` is given up.
    pub fn note_silence(&mut self, keeper: &VmName, asked_at: MonoTime, now: MonoTime) {
        let state = self.keepers.entry(keeper.clone()).or_default();
        if asked_at < state.given_up_at {
            return;
        }
        state.n_unanswered += 1;
        state.given_up_at = now;
        if state.n_unanswered >= self.max_unanswered {
            state.n_unanswered = 0;
            state.avoided_until = now + AVOID_TIME;
        }
    }

    /// Forgets keepers that are gone.
    pub fn retain(&mut self, is_present: impl Fn(&VmName) -> bool) {
        self.keepers.retain(|vm, _| is_present(vm));
    }
}
