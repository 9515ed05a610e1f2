//! The health, metrics and state dump that operators read from the router.

use std::sync::{Arc, atomic::Ordering};

use operator::{HealthState, OperatorSource};
use serde_json::json;
use sheet::WorkState;

use crate::state::{RouterState, lock};

#[derive(Clone)]
pub(crate) struct RouterSource {
    pub(crate) state: Arc<RouterState>,
}

impl OperatorSource for RouterSource {
    fn health(&self) -> HealthState {
        let table = self.state.table();
        let work_state =
            table.sheet.vm_work_state(&self.state.settings.identity.vm, self.state.clock.wall());
        match () {
            () if self.state.is_leaving.load(Ordering::Relaxed) => HealthState::Leaving,
            () if table.sheet.services.is_empty() => HealthState::Starting,
            () if work_state == WorkState::Draining => HealthState::Leaving,
            () => HealthState::Serving,
        }
    }

    fn metrics(&self) -> String {
        telemetry::render(&self.state.metrics.registry)
    }

    async fn dump(&self) -> serde_json::Value {
        let state = &self.state;
        let (table, now) = (state.table(), state.now());
        let services: Vec<_> = table
            .sheet
            .services
            .keys()
            .map(|service| {
                let balancer = state.balancer(service);
                let balancer = lock(&balancer);
                let servers: Vec<_> = balancer
                    .servers()
                    .map(|(name, it)| {
                        json!({
                            "server": name,
                            "open": it.n_open(),
                            "latency_ms": it.latency().map(|s| s * 1e3),
                            "oldest_ms": it.oldest_age(now).as_millis() as u64,
                            "paused": it.is_paused(now),
                            "warmup": format!("{:?}", it.warmup()),
                        })
                    })
                    .collect();
                json!({"service": service, "latency_ms": balancer.latency() * 1e3,
                       "servers": servers})
            })
            .collect();
        json!({
            "process": "jackdaw-router",
            "vm": state.settings.identity.vm,
            "domain": state.settings.identity.domain,
            "incarnation": state.incarnation,
            "health": self.health(),
            "sheet_revision": table.sheet_revision,
            "homes_revision": table.homes.revision,
            "map": table.view.stamp().to_string(),
            "map_open": table.view.map().map_or(0, |it| it.open_count()),
            "lease_left_ms": table.view.lease_until().since(now).as_millis() as u64,
            "serving": state.n_serving.load(Ordering::Relaxed),
            "keyed_in_flight": state.inflight.total(),
            "services": services,
        })
    }
}
