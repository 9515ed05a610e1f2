//! Servers in the cached state, and since when they have been leaving.

use std::{sync::Arc, time::Duration};

use model::{MonoTime, ServerName};
use slog::info;

use crate::{CachedServer, LeaveStart, ServerEntry};

use super::StateCache;

/// Difference in the end of a cold period that the delay of its reports explains. A longer one means
/// that the server has become cold again.
const COLD_TIME_TOLERANCE: Duration = Duration::from_millis(500);

impl StateCache {
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
                    || !cached.entry.is_equal_but_for_cold_time(&entry)
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
            return self.drop_server(name);
        }
        let Some(server) = Arc::make_mut(&mut self.snapshot.servers).get_mut(name) else {
            return false;
        };
        info!(self.log, "server-missing"; "server" => %name);
        !std::mem::replace(&mut server.is_missing, true)
    }

    /// Removes a server that must not be used any more.
    pub(super) fn drop_server(&mut self, name: &ServerName) -> bool {
        // Avoids a copy of the shared map for an entry that is written again and again.
        if !self.snapshot.servers.contains_key(name) {
            return false;
        }
        info!(self.log, "server-gone"; "server" => %name);
        Arc::make_mut(&mut self.snapshot.servers).remove(name);
        self.is_index_stale = true;
        true
    }
}
