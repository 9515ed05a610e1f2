//! Warmth of servers as they told it when asked, shared among all entry VMs, so that not each of them has
//! to ask.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use model::{DomainName, MonoTime, ServerName};
use policy::ServerWarmth;
use serde::{Deserialize, Serialize};

use crate::server_reports::{Audience, MIN_AGE_DIFFERENCE, Outgoing, server_hash};

/// Age at which an answer is no longer sent to other VMs.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(1_500);

/// How long a server stays cold, as it is sent between VMs; times saturate at their type's maximum.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmthReport {
    /// Low 32 bits of the hash of the server's name.
    pub server: u32,
    /// Milliseconds for which the server stays cold from now on; 0 if it is warm.
    pub cold_ms: u32,
    /// Milliseconds since the server said so.
    pub age_ms: u16,
}

/// Warmth of servers that one VM sends to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WarmthBatch {
    /// Failure domain of the sending VM.
    pub domain: DomainName,
    /// At most one report for each server.
    pub reports: Vec<WarmthReport>,
}

impl WarmthBatch {
    /// Two batches that together have the same effect; `None` if this one can't be divided.
    pub(crate) fn halves(mut self) -> Option<[Self; 2]> {
        let reports = self.reports.split_off(self.reports.len().div_ceil(2));
        let is_divided = !reports.is_empty();
        let second = Self { domain: self.domain.clone(), reports };
        is_divided.then_some([self, second])
    }
}

#[derive(Debug, Clone, Copy)]
struct CachedWarmth {
    warmth: ServerWarmth,
    /// VMs that the server's last answer has yet to be sent to.
    audience: Audience,
}

impl Default for CachedWarmth {
    fn default() -> Self {
        Self { warmth: ServerWarmth::default(), audience: Audience::Nobody }
    }
}

/// What is known of each server's warmth, shared by the threads of a process.
#[derive(Debug, Clone, Default)]
pub struct WarmthCache {
    servers: Arc<Mutex<HashMap<u32, CachedWarmth>>>,
}

impl WarmthCache {
    fn lock(&self) -> MutexGuard<'_, HashMap<u32, CachedWarmth>> {
        self.servers.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// What is known of a server.
    pub fn warmth(&self, server: &ServerName) -> ServerWarmth {
        self.lock().get(&server_hash(server)).map(|it| it.warmth).unwrap_or_default()
    }

    /// Changes what is known of a server, other than by its answer.
    pub fn update<T>(&self, server: &ServerName, change: impl FnOnce(&mut ServerWarmth) -> T) -> T {
        change(&mut self.lock().entry(server_hash(server)).or_default().warmth)
    }

    /// Records that a server has answered this process that it stays cold for `cold_left`.
    pub fn record_local(&self, server: &ServerName, cold_left: Duration, now: MonoTime) {
        let mut servers = self.lock();
        let cached = servers.entry(server_hash(server)).or_default();
        cached.audience = Audience::All;
        cached.warmth.note_answer(now, now + cold_left, Duration::ZERO);
    }

    /// Records the reports of another VM that are newer than what is known. Those from the own failure
    /// domain are forwarded to all, those from others only within the domain.
    pub fn record_remote(&self, batch: &WarmthBatch, own_domain: &DomainName, now: MonoTime) {
        let audience = if batch.domain == *own_domain { Audience::All } else { Audience::Domain };
        let mut servers = self.lock();
        for report in &batch.reports {
            let cached = servers.entry(report.server).or_default();
            let at = now - Duration::from_millis(report.age_ms.into());
            let cold_until = now + Duration::from_millis(report.cold_ms.into());
            if cached.warmth.note_answer(at, cold_until, MIN_AGE_DIFFERENCE) {
                cached.audience = audience;
            }
        }
    }

    /// Answers that have yet to be sent; each is returned once.
    pub fn take_outgoing(&self, now: MonoTime) -> Outgoing<WarmthReport> {
        let mut outgoing = Outgoing::default();
        for (&server, it) in self.lock().iter_mut() {
            let audience = std::mem::replace(&mut it.audience, Audience::Nobody);
            let answer = it.warmth.answer().map(|(at, cold_until)| (now.since(at), cold_until));
            if let Some((age, cold_until)) = answer.filter(|(age, _)| *age < MAX_ANSWER_AGE) {
                let cold_ms = cold_until.since(now).as_millis().min(u32::MAX.into()) as u32;
                let age_ms = age.as_millis() as u16;
                outgoing.add(audience, || WarmthReport { server, cold_ms, age_ms });
            }
        }
        outgoing
    }

    /// Forgets all servers but these.
    pub fn retain<'a>(&self, servers: impl Iterator<Item = &'a ServerName>) {
        let listed: std::collections::HashSet<u32> = servers.map(server_hash).collect();
        self.lock().retain(|server, _| listed.contains(server));
    }
}
