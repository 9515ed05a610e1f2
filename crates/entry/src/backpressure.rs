//! What servers have asked of their callers, shared by the threads of a process and, but for pauses,
//! by all entry VMs.
//!
//! Load pattern: with many routers, each gets an answer of a server rarely, so most would learn only
//! after many more requests what the server's answers to others already say.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use model::{DomainName, MonoTime, ServerName};
use policy::{BackpressureSignal, BackpressureState};
use serde::{Deserialize, Serialize};

use crate::server_reports::{Audience, MIN_AGE_DIFFERENCE, Outgoing};

/// Age at which what a server has asked is forgotten once the server is gone.
const RETENTION: Duration = Duration::from_secs(60);

/// What one instance of a server asks of all its callers, as it is sent between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerBackpressure {
    /// Name of the server.
    pub server: ServerName,
    /// Start time of the instance in Unix milliseconds.
    pub born: u64,
    /// Requests a second that it takes from all callers together.
    pub max_rate: Option<f64>,
    /// Milliseconds since an answer last said so.
    pub age_ms: u32,
    /// Milliseconds since it first said that it is leaving.
    pub leaving_age_ms: Option<u32>,
}

impl ServerBackpressure {
    /// What the instance has asked by `now`.
    pub fn new(server: &ServerName, born: u64, state: &BackpressureState, now: MonoTime) -> Self {
        let age_ms = |at: MonoTime| now.since(at).as_millis().min(u32::MAX.into()) as u32;
        Self {
            server: server.clone(),
            born,
            max_rate: state.max_rate(),
            age_ms: age_ms(state.rated_at()),
            leaving_age_ms: state.leaving_since().map(age_ms),
        }
    }
}

/// What one instance of a server has asked.
#[derive(Debug, Clone, Copy)]
struct CachedBackpressure {
    /// Start time of the instance in Unix milliseconds.
    born: u64,
    state: BackpressureState,
    audience: Audience,
}

/// What each server has asked of its callers; clones share it.
#[derive(Debug, Clone, Default)]
pub struct BackpressureCache {
    servers: Arc<Mutex<HashMap<ServerName, CachedBackpressure>>>,
}

impl BackpressureCache {
    fn lock(&self) -> MutexGuard<'_, HashMap<ServerName, CachedBackpressure>> {
        self.servers.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Takes in what an answer of the instance asks; returns the new state if that changes it.
    pub fn record_answer(
        &self,
        server: &ServerName,
        born: u64,
        signal: BackpressureSignal,
        now: MonoTime,
    ) -> Option<BackpressureState> {
        let mut servers = self.lock();
        let known = servers.get(server).filter(|it| it.born == born);
        if known.is_none() && signal == BackpressureSignal::default() {
            return None;
        }
        let mut state = known.map_or_else(BackpressureState::default, |it| it.state);
        let is_changed = state.note(signal, now);
        let audience = match state.concerns_all(now) {
            true => Audience::All,
            false => Audience::Nobody,
        };
        servers.insert(server.clone(), CachedBackpressure { born, state, audience });
        is_changed.then_some(state)
    }

    /// Takes in what another VM of `domain` has learned, where that is newer than what is known here.
    /// Updates from the own failure domain are forwarded to all, those from others only within the domain.
    pub fn record_remote(
        &self,
        updates: &[ServerBackpressure],
        domain: &DomainName,
        own_domain: &DomainName,
        now: MonoTime,
    ) {
        let audience = if domain == own_domain { Audience::All } else { Audience::Domain };
        let mut servers = self.lock();
        for it in updates {
            let known = servers.get(&it.server).copied();
            // A server that was started again asks nothing of before.
            if known.is_some_and(|known| known.born > it.born) {
                continue;
            }
            let known = known.filter(|known| known.born == it.born).map(|it| it.state);
            let mut state = known.unwrap_or_default();
            let at = now - Duration::from_millis(it.age_ms.into());
            let is_newer = at > state.rated_at() + MIN_AGE_DIFFERENCE;
            let leaving_at = it.leaving_age_ms.map(|age| now - Duration::from_millis(age.into()));
            let is_leaving_new = leaving_at.is_some() && state.leaving_since().is_none();
            if let Some(leaving_at) = leaving_at {
                state.note_leaving(leaving_at);
            }
            if is_newer {
                state.note_rate(it.max_rate, at);
            }
            if is_newer || is_leaving_new {
                let cached = CachedBackpressure { born: it.born, state, audience };
                servers.insert(it.server.clone(), cached);
            }
        }
    }

    /// What the instance asks, as far as this process knows.
    pub fn state(&self, server: &ServerName, born: u64) -> BackpressureState {
        let servers = self.lock();
        servers.get(server).filter(|it| it.born == born).map(|it| it.state).unwrap_or_default()
    }

    /// What has yet to be sent to other VMs; each is returned once.
    pub fn take_outgoing(&self, now: MonoTime) -> Outgoing<ServerBackpressure> {
        let mut outgoing = Outgoing::default();
        for (server, it) in self.lock().iter_mut() {
            let audience = std::mem::replace(&mut it.audience, Audience::Nobody);
            outgoing.add(audience, || ServerBackpressure::new(server, it.born, &it.state, now));
        }
        outgoing
    }

    /// Forgets servers for which `is_present` is false and from which nothing has been heard for long.
    pub fn sweep(&self, is_present: impl Fn(&ServerName, u64) -> bool, now: MonoTime) {
        self.lock().retain(|server, it| {
            is_present(server, it.born) || now.since(it.state.rated_at()) < RETENTION
        });
    }
}
