//! Load reports of servers, shared among all entry VMs.
//!
//! Load pattern: each of many routers sends a server less than one request in the time in which the
//! server's queue changes, so that the reports it gets itself are stale. Each VM sends the reports
//! it got to the strongest VM of its failure domain, which forwards them to the other VMs of the
//! domain and to the strongest VMs of the other domains.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use model::{DomainName, MonoTime, ServerName};
use policy::LoadReport;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ServerBackpressure;

/// Time between report batches of a VM.
pub const SERVER_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Age at which a report is dropped.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Least difference in age by which a report counts as newer; smaller ones occur when the same
/// report arrives by two paths.
pub(crate) const MIN_AGE_DIFFERENCE: Duration = Duration::from_millis(25);

/// One server's load report as it is sent between VMs; counts saturate at their type's maximum.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Low 32 bits of the hash of the server's name.
    pub server: u32,
    /// Requests that are running.
    pub n_running: u8,
    /// Requests that are queued.
    pub n_waiting: u8,
    /// Requests that the server runs at once.
    pub slots: u8,
    /// How long work takes now, in percent of the usual time.
    pub slowdown_percent: u16,
    /// Milliseconds since the report was made.
    pub age_ms: u16,
}

/// Load reports that one VM sends to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportBatch {
    /// Failure domain of the sending VM.
    pub domain: DomainName,
    /// At most one report for each server.
    pub server_reports: Vec<ServerReport>,
    /// What servers ask of their callers.
    pub backpressure: Vec<ServerBackpressure>,
}

impl ReportBatch {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.server_reports.is_empty() && self.backpressure.is_empty()
    }

    /// Two batches that together have the same effect; `None` if this one can't be divided.
    pub(crate) fn halves(mut self) -> Option<[Self; 2]> {
        let server_reports = self.server_reports.split_off(self.server_reports.len().div_ceil(2));
        let backpressure = self.backpressure.split_off(self.backpressure.len() / 2);
        let second = Self { domain: self.domain.clone(), server_reports, backpressure };
        let is_divided = !self.is_empty() && !second.is_empty();
        is_divided.then_some([self, second])
    }
}

/// VMs that a report has yet to be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Audience {
    /// The VMs of the own failure domain.
    Domain,
    /// Those and the strongest VMs of the other failure domains.
    All,
    /// None: it has been sent.
    Nobody,
}

#[derive(Debug, Clone, Copy)]
struct CachedReport {
    report: LoadReport,
    /// When the server made the report, by this process's clock.
    at: MonoTime,
    audience: Audience,
}

/// The newest load report of each server, shared by the threads of a process.
#[derive(Debug, Clone, Default)]
pub struct ReportCache {
    reports: Arc<Mutex<HashMap<u32, CachedReport>>>,
}

/// Items that a VM has yet to send.
#[derive(Debug)]
pub struct Outgoing<T> {
    /// For the VMs of the own failure domain.
    pub domain: Vec<T>,
    /// For the strongest VMs of the other failure domains.
    pub others: Vec<T>,
}

impl<T> Default for Outgoing<T> {
    fn default() -> Self {
        Self { domain: Vec::new(), others: Vec::new() }
    }
}

impl<T: Clone> Outgoing<T> {
    /// Adds the item for its audience, if it has one.
    pub(crate) fn add(&mut self, audience: Audience, item: impl FnOnce() -> T) {
        match audience {
            Audience::Nobody => (),
            Audience::Domain => self.domain.push(item()),
            Audience::All => {
                let item = item();
                self.others.push(item.clone());
                self.domain.push(item);
            }
        }
    }
}

impl ReportCache {
    fn lock(&self) -> MutexGuard<'_, HashMap<u32, CachedReport>> {
        self.reports.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Records a report that came with an answer to this process.
    pub fn record_local(&self, server: &ServerName, report: LoadReport, now: MonoTime) {
        let cached = CachedReport { report, at: now, audience: Audience::All };
        self.lock().insert(server_hash(server), cached);
    }

    /// Records the reports of another VM that are newer than the known ones. Those from the own
    /// failure domain are forwarded to all, those from others only within the domain.
    pub fn record_remote(&self, batch: &ReportBatch, own_domain: &DomainName, now: MonoTime) {
        let audience = if batch.domain == *own_domain { Audience::All } else { Audience::Domain };
        let mut reports = self.lock();
        for server_report in &batch.server_reports {
            let at = now - Duration::from_millis(u64::from(server_report.age_ms));
            let is_newer =
                reports.get(&server_report.server).is_none_or(|it| at > it.at + MIN_AGE_DIFFERENCE);
            if is_newer {
                let report = server_report.load_report();
                reports.insert(server_report.server, CachedReport { report, at, audience });
            }
        }
    }

    /// The newest report of a server, and when it was made.
    pub fn latest_report(&self, server: &ServerName) -> Option<(LoadReport, MonoTime)> {
        self.lock().get(&server_hash(server)).map(|it| (it.report, it.at))
    }

    /// Reports that have yet to be sent; each is returned once.
    pub fn take_outgoing(&self, now: MonoTime) -> Outgoing<ServerReport> {
        let mut outgoing = Outgoing::default();
        let mut reports = self.lock();
        reports.retain(|_, it| now.since(it.at) < MAX_REPORT_AGE);
        for (&server, it) in reports.iter_mut() {
            let audience = std::mem::replace(&mut it.audience, Audience::Nobody);
            outgoing.add(audience, || ServerReport::new(server, it.report, now.since(it.at)));
        }
        outgoing
    }
}

impl ServerReport {
    fn new(server: u32, report: LoadReport, age: Duration) -> Self {
        let saturated = |it: u32| it.min(u32::from(u8::MAX)) as u8;
        Self {
            server,
            n_running: saturated(report.n_running),
            n_waiting: saturated(report.n_waiting),
            slots: saturated(report.slots),
            slowdown_percent: report.slowdown_percent.min(u32::from(u16::MAX)) as u16,
            age_ms: age.as_millis().min(u128::from(u16::MAX)) as u16,
        }
    }

    fn load_report(self) -> LoadReport {
        LoadReport {
            n_running: self.n_running.into(),
            n_waiting: self.n_waiting.into(),
            slots: self.slots.into(),
            slowdown_percent: self.slowdown_percent.into(),
        }
    }
}

/// Low 32 bits of the hash of a server's name, by which VMs name it to each other.
pub(crate) fn server_hash(server: &ServerName) -> u32 {
    xxh3_64(server.as_str().as_bytes()) as u32
}
