//! Choice of the witness set, and liveness of the VMs that may belong to it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{Incarnation, MonoTime, VmName};
use smallvec::SmallVec;

use super::{PlannerAction, PlannerContext};
use crate::VmId;

/// Interval between hello messages to the VMs that may become witnesses.
const HELLO_INTERVAL: Duration = Duration::from_millis(400);

/// Age after which an answer to a hello no longer proves that the VM is alive.
const HELLO_VALIDITY: Duration = Duration::from_millis(1_200);

/// Maximum number of witnesses among the domain's own VMs.
const MAX_OWN_WITNESSES: usize = 5;

/// Maximum number of VMs of the own domain that receive hello messages.
const MAX_HELLO_VMS: usize = 8;

/// The last known incarnation of each VM's planner, and the VMs that were removed.
#[derive(Debug, Default)]
pub(super) struct VmLiveness {
    hellos: BTreeMap<VmName, (Incarnation, MonoTime)>,
    removed: BTreeSet<VmName>,
    hellos_sent_at: Option<MonoTime>,
}

impl VmLiveness {
    /// Notes the incarnation that a VM reported to a request sent at `sent_at`, which also shows that
    /// the VM is alive.
    ///
    /// Incarnations are not ordered, so that another one than the known one counts only if the request
    /// was sent after the known one had answered. An earlier request may have reached an earlier run.
    pub(super) fn note_incarnation(
        &mut self,
        vm: &VmName,
        incarnation: Incarnation,
        sent_at: MonoTime,
        now: MonoTime,
    ) {
        let is_late = |(known, heard_at): &(Incarnation, MonoTime)| {
            *known != incarnation && sent_at < *heard_at
        };
        if self.hellos.get(vm).is_some_and(is_late) {
            return;
        }
        self.removed.remove(vm);
        self.hellos.insert(vm.clone(), (incarnation, now));
    }

    pub(super) fn note_removed(&mut self, vm: &VmName) {
        self.hellos.remove(vm);
        self.removed.insert(vm.clone());
    }

    /// Whether this incarnation is known to have ended.
    pub(super) fn is_dead(&self, id: &VmId) -> bool {
        let is_replaced =
            self.hellos.get(&id.name).is_some_and(|(current, _)| *current != id.incarnation);
        is_replaced || self.removed.contains(&id.name)
    }

    /// The VM's current incarnation, if it answered a hello within [`HELLO_VALIDITY`].
    pub(super) fn live_id(&self, vm: &VmName, now: MonoTime) -> Option<VmId> {
        self.hellos
            .get(vm)
            .filter(|(_, heard_at)| now.since(*heard_at) < HELLO_VALIDITY)
            .map(|(incarnation, _)| VmId { name: vm.clone(), incarnation: *incarnation })
    }
}

/// Sends hello messages to the VMs that may become witnesses, if they are due.
pub(super) fn send_hellos(ctx: &mut PlannerContext<'_>, actions: &mut Vec<PlannerAction>) {
    let is_due = ctx.liveness.hellos_sent_at.is_none_or(|it| ctx.now.since(it) >= HELLO_INTERVAL);
    let Some(doc) = ctx.sheet.filter(|_| is_due) else {
        return;
    };
    ctx.liveness.hellos_sent_at = Some(ctx.now);
    let own = doc.sheet.vms_of(&ctx.config.domain).take(MAX_HELLO_VMS).map(|it| it.name.clone());
    let outside = tiebreaker_vms(ctx);
    for vm in own.chain(outside).filter(|it| *it != ctx.config.id.name) {
        actions.push(PlannerAction::Hello { vm, sent_at: ctx.now });
    }
}

/// The witness set that the domain should have now; this VM is always a member.
///
/// A set of even size gets one VM of another domain as a tiebreaker, so that a domain of two VMs
/// keeps a majority after the loss of one.
pub(super) fn desired_witnesses(
    ctx: &PlannerContext<'_>,
    current: &[VmId],
    is_healthy: impl Fn(&VmId) -> bool,
) -> SmallVec<[VmId; 5]> {
    let Some(doc) = ctx.sheet else {
        return current.iter().cloned().collect();
    };
    let is_own =
        |vm: &VmName| doc.sheet.vms.get(vm).is_some_and(|it| it.domain == ctx.config.domain);
    let mut own: SmallVec<[VmId; 5]> = SmallVec::new();
    own.push(ctx.config.id.clone());
    let kept = current.iter().filter(|it| is_own(&it.name) && is_healthy(it)).cloned();
    let fresh = doc
        .sheet
        .vms_of(&ctx.config.domain)
        .filter_map(|it| ctx.liveness.live_id(&it.name, ctx.now));
    for id in kept.chain(fresh) {
        if own.len() < MAX_OWN_WITNESSES && own.iter().all(|it| it.name != id.name) {
            own.push(id);
        }
    }
    if own.len().is_multiple_of(2) {
        let kept = current.iter().find(|it| !is_own(&it.name) && is_healthy(it)).cloned();
        let fresh = || tiebreaker_vms(ctx).find_map(|it| ctx.liveness.live_id(&it, ctx.now));
        own.extend(kept.or_else(fresh));
    }
    own.sort();
    own
}

/// VMs of other domains that may serve as the tiebreaker: one each of up to three domains.
fn tiebreaker_vms(ctx: &PlannerContext<'_>) -> impl Iterator<Item = VmName> + use<> {
    let domain = &ctx.config.domain;
    let found: SmallVec<[VmName; 3]> = match ctx.sheet {
        Some(doc) => doc
            .sheet
            .domains
            .keys()
            .filter(|it| *it != domain)
            .filter_map(|it| doc.sheet.vms_of(it).next().map(|vm| vm.name.clone()))
            .take(3)
            .collect(),
        None => SmallVec::new(),
    };
    found.into_iter()
}
