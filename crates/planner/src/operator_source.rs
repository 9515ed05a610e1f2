//! The health, metrics and state dump that operators read from the planner.

use std::sync::Arc;

use operator::{HealthState, OperatorSource};
use serde_json::json;
use xtra::prelude::*;

use crate::control::{PlannerActor, PlannerState, ReadDump};

#[derive(Clone)]
pub(crate) struct PlannerSource {
    pub(crate) state: Arc<PlannerState>,
    pub(crate) actor: Address<PlannerActor>,
}

impl OperatorSource for PlannerSource {
    fn health(&self) -> HealthState {
        match self.state.published.borrow().sheet_text {
            Some(_) => HealthState::Serving,
            None => HealthState::Starting,
        }
    }

    fn metrics(&self) -> String {
        telemetry::render(&self.state.metrics.registry)
    }

    async fn dump(&self) -> serde_json::Value {
        match self.actor.send(ReadDump).await {
            Ok(dump) => json!({"process": "jackdaw-planner", "state": dump}),
            Err(err) => json!({"process": "jackdaw-planner", "error": err.to_string()}),
        }
    }
}
