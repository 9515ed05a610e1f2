//! What servers have asked of their callers, shared by the threads of a process.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use model::{MonoTime, ServerName};
use policy::{BackpressureSignal, BackpressureState};

/// What one instance of a server has asked.
#[derive(Debug, Clone, Copy)]
struct CachedBackpressure {
    /// Start time of the instance in Unix milliseconds.
    born: u64,
    state: BackpressureState,
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
        servers.insert(server.clone(), CachedBackpressure { born, state });
        is_changed.then_some(state)
    }

    /// What the instance asks, as far as this process knows.
    pub fn state(&self, server: &ServerName, born: u64) -> BackpressureState {
        let servers = self.lock();
        servers.get(server).filter(|it| it.born == born).map(|it| it.state).unwrap_or_default()
    }
}
