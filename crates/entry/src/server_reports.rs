//! Servers' load as all VMs see it together.
//!
//! Load pattern: each of many routers sends a server less than one request in the time in which its
//! queue changes, so that its own sight is stale. VMs tell the strongest VM of their domain what
//! servers reported; that one tells its domain and the strongest VMs of the other domains.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use model::{DomainName, MonoTime, ServerName};
use policy::LoadReport;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Time between notes of a VM.
pub const SERVER_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Age beyond which a report says nothing.
const MAX_AGE: Duration = Duration::from_millis(1_500);

/// How much newer a report must be to replace one; less may be the same one on another way.
const MIN_NEWER: Duration = Duration::from_millis(25);

/// Most reports of one note.
const MAX_SIGHTINGS: usize = 1_000;

/// One server's report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Hash of the server's name.
    pub server: u32,
    /// Requests that run.
    pub n_running: u8,
    /// Requests that wait.
    pub n_waiting: u8,
    /// Requests that may run at once.
    pub slots: u8,
    /// How long work takes now, in percent of the usual time.
    pub slowdown_percent: u16,
    /// Milliseconds since the report.
    pub age_ms: u16,
}

/// Reports that one VM tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportBatch {
    /// Failure domain of the VM that tells them.
    pub domain: DomainName,
    /// The reports.
    pub server_reports: Vec<ServerReport>,
}

/// Who has to be told of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Audience {
    /// VMs of the own domain.
    Domain,
    /// They and the strongest VMs of the other domains.
    All,
    /// Nobody any more.
    Told,
}

#[derive(Debug, Clone, Copy)]
struct SeenReport {
    report: LoadReport,
    at: MonoTime,
    audience: Audience,
}

/// The freshest report of each server; shared by the threads of a process.
#[derive(Debug, Clone, Default)]
pub struct ReportCache {
    seen: Arc<Mutex<HashMap<u32, SeenReport>>>,
}

/// What a VM has to tell.
#[derive(Debug, Default)]
pub struct OutgoingReports {
    /// To the VMs of the own domain.
    pub domain: Vec<ServerReport>,
    /// To the strongest VMs of the other domains.
    pub others: Vec<ServerReport>,
}

impl ReportCache {
    fn lock(&self) -> MutexGuard<'_, HashMap<u32, SeenReport>> {
        self.seen.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Takes in a report that came with an answer to this process.
    pub fn record_local(&self, server: &ServerName, report: LoadReport, now: MonoTime) {
        let seen = SeenReport { report, at: now, audience: Audience::All };
        self.lock().insert(server_hash(server), seen);
    }

    /// Takes in what another VM tells.
    pub fn record_remote(&self, note: &ReportBatch, own_domain: &DomainName, now: MonoTime) {
        let audience = if note.domain == *own_domain { Audience::All } else { Audience::Domain };
        let mut seen = self.lock();
        for sighting in &note.server_reports {
            let at = now - Duration::from_millis(u64::from(sighting.age_ms));
            let is_newer = seen.get(&sighting.server).is_none_or(|it| at > it.at + MIN_NEWER);
            if is_newer {
                let report = sighting.report();
                seen.insert(sighting.server, SeenReport { report, at, audience });
            }
        }
    }

    /// The freshest report of a server, and when it was made.
    pub fn freshest(&self, server: &ServerName) -> Option<(LoadReport, MonoTime)> {
        self.lock().get(&server_hash(server)).map(|it| (it.report, it.at))
    }

    /// What has to be told; each report is returned once.
    pub fn take_outgoing(&self, now: MonoTime) -> OutgoingReports {
        let mut outgoing = OutgoingReports::default();
        let mut seen = self.lock();
        seen.retain(|_, it| now.since(it.at) < MAX_AGE);
        for (&server, it) in seen.iter_mut() {
            let sighting = ServerReport::new(server, it.report, now.since(it.at));
            match std::mem::replace(&mut it.audience, Audience::Told) {
                Audience::Told => continue,
                Audience::All => outgoing.others.push(sighting),
                Audience::Domain => (),
            }
            outgoing.domain.push(sighting);
        }
        outgoing.domain.truncate(MAX_SIGHTINGS);
        outgoing.others.truncate(MAX_SIGHTINGS);
        outgoing
    }
}

impl ServerReport {
    fn new(server: u32, report: LoadReport, age: Duration) -> Self {
        let small = |it: u32| it.min(u32::from(u8::MAX)) as u8;
        Self {
            server,
            n_running: small(report.n_running),
            n_waiting: small(report.n_waiting),
            slots: small(report.slots),
            slowdown_percent: report.slowdown_percent.min(u32::from(u16::MAX)) as u16,
            age_ms: age.as_millis().min(u128::from(u16::MAX)) as u16,
        }
    }

    fn report(self) -> LoadReport {
        LoadReport {
            n_running: self.n_running.into(),
            n_waiting: self.n_waiting.into(),
            slots: self.slots.into(),
            slowdown_percent: self.slowdown_percent.into(),
        }
    }
}

fn server_hash(server: &ServerName) -> u32 {
    xxh3_64(server.as_str().as_bytes()) as u32
}
