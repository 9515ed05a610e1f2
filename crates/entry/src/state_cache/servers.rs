//! Servers in the cached state, and since when they have been leaving.

use std::{sync::Arc, time::Duration};

use model::{MonoTime, ServerName};
use slog::info;

use crate::{CachedServer, LeaveStart, ReportOrder, ServerEntry};

use super::StateCache;

/// Difference in the end of a cold period that the delay of its reports explains. A longer one means
/// that the server has become cold again.
const COLD_TIME_TOLERANCE: Duration = Duration::from_millis(500);

/// Longest time after a report of an instance for which the store may still carry out writes that were
/// sent before it.
const LATE_WRITE_LIMIT: Duration = Duration::from_secs(10);

/// The newest report of a server, kept also for a while after the server has gone.
#[derive(Debug, Clone, Copy)]
pub(super) struct LatestReport {
    order: ReportOrder,
    received_at: MonoTime,
}

impl LatestReport {
    /// Whether a report of this order was made before the latest one, and carried out late. A smaller
    /// start time counts only as long as a late write is possible: the clock that the start time is
    /// taken from may have been set back between two starts.
    fn is_newer_than(&self, order: ReportOrder, now: MonoTime) -> bool {
        let is_late_write_possible = now.since(self.received_at) < LATE_WRITE_LIMIT;
        match order.born == self.order.born {
            true => order.sequence < self.order.sequence,
            false => order.born < self.order.born && is_late_write_possible,
        }
    }
}

impl StateCache {
    /// Whether the store shows an older report of a server than this process has seen already. The
    /// server's next report replaces it there.
    fn is_outdated(&self, entry: &ServerEntry, now: MonoTime) -> bool {
        let Some(latest) = self.latest_reports.get(&entry.name) else {
            return false;
        };
        latest.is_newer_than(entry.report_order(), now)
    }

    /// Forgets the reports of servers that have been gone for so long that none can be carried out late.
    fn drop_old_reports(&mut self, now: MonoTime) {
        let servers = &self.snapshot.servers;
        self.latest_reports.retain(|name, it| {
            servers.contains_key(name) || now.since(it.received_at) < LATE_WRITE_LIMIT
        });
    }

    /// Since when what was in service in the state before this batch, and no longer is, has been
    /// leaving.
    pub(super) fn leave_start(&self) -> LeaveStart {
        match self.has_complete_state {
            true => LeaveStart::After(self.snapshot.synced_at),
            false => LeaveStart::Unknown,
        }
    }

    pub(super) fn update_server(
        &mut self,
        name: ServerName,
        entry: ServerEntry,
        now: MonoTime,
    ) -> bool {
        if self.is_outdated(&entry, now) {
            info!(self.log, "server-report-outdated"; "server" => %name, "born" => entry.born,
                "sequence" => entry.sequence, "leaving" => entry.is_draining);
            return false;
        }
        let latest = LatestReport { order: entry.report_order(), received_at: now };
        self.latest_reports.insert(name.clone(), latest);
        let cold_until = now + entry.cold_left;
        let leave_start = self.leave_start();
        let cached = Arc::make_mut(&mut self.snapshot.servers).get_mut(&name);
        match cached {
            Some(cached)
                if cached.entry.born == entry.born && cached.entry.address == entry.address =>
            {
                let was_missing = std::mem::take(&mut cached.is_missing);
                let is_cold = cold_until > now;
                let is_changed = was_missing
                    || !cached.entry.is_equal_but_for_heartbeat(&entry)
                    || (cached.cold_until > now) != is_cold
                    || (is_cold && cold_until > cached.cold_until + COLD_TIME_TOLERANCE);
                // A server that is still draining keeps its time.
                cached.draining_since =
                    entry.is_draining.then(|| cached.draining_since.unwrap_or(leave_start));
                cached.cold_until = cold_until;
                self.is_index_stale |= cached.entry.service != entry.service;
                if cached.entry.as_ref() != &entry {
                    cached.entry = Arc::new(entry);
                }
                if is_changed {
                    info!(self.log, "server-changed"; "server" => %name,
                        "leaving" => cached.draining_since.is_some(),
                        "cold" => cached.cold_until > now);
                }
                is_changed
            }
            _ => {
                // The first read lists all servers; one line tells how many.
                if self.has_complete_state {
                    info!(self.log, "server-joined"; "server" => %name,
                        "service" => %entry.service, "address" => %entry.address,
                        "domain" => %entry.domain, "born" => entry.born,
                        "cold_ms" => entry.cold_left.as_millis() as u64);
                }
                let server = CachedServer {
                    // It may have been draining for long where its entry was not seen.
                    draining_since: entry.is_draining.then_some(LeaveStart::Unknown),
                    entry: Arc::new(entry),
                    cold_until,
                    is_missing: false,
                };
                Arc::make_mut(&mut self.snapshot.servers).insert(name, server);
                self.is_index_stale = true;
                true
            }
        }
    }

    /// Removes a server whose entry is gone. Around an outage of the store it only counts as missing.
    pub(super) fn remove_server(&mut self, name: &ServerName, now: MonoTime) -> bool {
        if !self.is_lapse_possible(now) {
            return self.drop_server(name, now);
        }
        let Some(server) = Arc::make_mut(&mut self.snapshot.servers).get_mut(name) else {
            return false;
        };
        info!(self.log, "server-missing"; "server" => %name);
        !std::mem::replace(&mut server.is_missing, true)
    }

    /// Removes a server that must not be used any more.
    pub(super) fn drop_server(&mut self, name: &ServerName, now: MonoTime) -> bool {
        // Avoids a copy of the shared map for an entry that is written again and again.
        if !self.snapshot.servers.contains_key(name) {
            return false;
        }
        info!(self.log, "server-gone"; "server" => %name);
        self.drop_old_reports(now);
        if let Some(latest) = self.latest_reports.get_mut(name) {
            latest.received_at = now;
        }
        Arc::make_mut(&mut self.snapshot.servers).remove(name);
        self.is_index_stale = true;
        true
    }
}
