//! Creation or replacement of a domain's record, and confirmation that the write took effect.

use std::sync::Arc;

use super::{
    PlannerAction, PlannerContext, PlannerEvent, PlannerRole, WriteOutcome, acting::ActingState,
};
use crate::DomainMap;

/// The map of a record that is being written, if any.
#[derive(Debug, Default)]
pub(super) struct BootstrapWrite {
    map: Option<Arc<DomainMap>>,
}

impl BootstrapWrite {
    /// Whether the outcome of a write is still open.
    pub(super) fn is_pending(&self) -> bool {
        self.map.is_some()
    }

    /// Starts to write `map` over the record as last read.
    pub(super) fn start(
        &mut self,
        map: DomainMap,
        ctx: &mut PlannerContext<'_>,
        actions: &mut Vec<PlannerAction>,
    ) {
        let map = Arc::new(map);
        self.map = Some(map.clone());
        ctx.record.write(map, actions);
    }

    /// Handles the end of a read or write, and returns the acting role once the written record is
    /// known to be in the store. After a lost reply or a conflict, a read decides.
    pub(super) fn resolve(
        &mut self,
        event: &PlannerEvent,
        ctx: &mut PlannerContext<'_>,
        actions: &mut Vec<PlannerAction>,
    ) -> Option<PlannerRole> {
        ctx.record.observe(event, ctx.now);
        let stored = match event {
            PlannerEvent::RecordWritten { outcome: WriteOutcome::Written(_), .. } => {
                self.map.take()
            }
            PlannerEvent::RecordWritten { .. } => {
                ctx.record.read(ctx.now, actions);
                None
            }
            PlannerEvent::RecordRead(Some(record)) => {
                let held = record.map.as_ref();
                let is_own = |it: &Arc<DomainMap>| {
                    held.is_some_and(|held| held.stamp == it.stamp && held.planner == it.planner)
                };
                self.map.take().filter(is_own)
            }
            _ => None,
        };
        stored.map(|it| PlannerRole::Acting(Box::new(ActingState::after_bootstrap(it, ctx.now))))
    }
}
