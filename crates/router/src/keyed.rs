//! Requests for keys to which the own domain is home.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use backend::{CallError, ServerAnswer, ServerEndpoint};
use model::{CallOutcome, Idempotency, KeyHash, MonoTime, NotRunReason, SliceId, UnknownReason};
use ownership::OwnerRoute;
use peer::ForwardCause;
use policy::{ServiceBalancer, admit};

use crate::{
    attempt::{OpenCall, SendCause, is_over, send},
    forward::send_to_vm,
    inflight::InflightGuard,
    state::{RouterState, lock},
    table::{RoutingTable, first_sharer},
    traffic::{RequestOrigin, RoutedRequest, progress_timeout},
};

/// Time after which a request that waits for its owner looks again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Time after which a request that waits for room at a cold owner looks again.
const COLD_RECHECK_INTERVAL: Duration = Duration::from_millis(4);

/// Serves a request by the key's owner, again while that is safe and time is left.
pub(crate) async fn serve(
    state: &Arc<RouterState>,
    routed: &RoutedRequest,
    base: SliceId,
    hash: KeyHash,
) -> Result<ServerAnswer, CallOutcome> {
    let balancer = state.balancer(&routed.spec.name);
    let run = KeyedRun { state, routed, base, hash, balancer: &balancer };
    let mut cause = SendCause::First;
    let mut changes = state.changes();
    let mut last = CallOutcome::NotRun(NotRunReason::NoOwner);
    loop {
        let now = state.now();
        if is_over(routed, now) {
            return Err(last);
        }
        changes.mark_unchanged();
        let table = state.table();
        let outcome = match run.find_owner(&table, now) {
            Err(NotRunReason::NotHome) => {
                return Err(CallOutcome::NotRun(NotRunReason::NotHome).after(last));
            }
            Err(reason) => CallOutcome::NotRun(reason),
            Ok(route) => match run.serve_or_pass_on(&table, &route, cause).await {
                Ok(answer) => return Ok(answer),
                Err(outcome) => {
                    cause = next_cause(cause, outcome);
                    outcome
                }
            },
        };
        last = outcome.after(last);
        if !may_go_on(routed, outcome) {
            return Err(last);
        }
        let interval = match outcome {
            CallOutcome::NotRun(NotRunReason::ColdServer) => COLD_RECHECK_INTERVAL,
            _ => RECHECK_INTERVAL,
        };
        let pause = routed.left(state.now()).min(interval);
        let _ = tokio::time::timeout(pause, changes.changed()).await;
    }
}

fn next_cause(cause: SendCause, outcome: CallOutcome) -> SendCause {
    match outcome {
        // Each change of owner sends a request once more at the most, so that no budget is needed.
        CallOutcome::Unknown(UnknownReason::OwnerChanged) => SendCause::Replacement,
        CallOutcome::Unknown(_) => SendCause::Again,
        CallOutcome::NotRun(NotRunReason::Overloaded | NotRunReason::ColdServer) => cause,
        CallOutcome::NotRun(_) if cause == SendCause::Again => SendCause::Again,
        CallOutcome::NotRun(_) => SendCause::Replacement,
    }
}

/// Whether the request may be sent again after this outcome.
fn may_go_on(routed: &RoutedRequest, outcome: CallOutcome) -> bool {
    match outcome {
        CallOutcome::NotRun(
            NotRunReason::NoOwner
            | NotRunReason::NoLease
            | NotRunReason::Fenced
            | NotRunReason::ColdServer
            | NotRunReason::ConnectFailed,
        ) => true,
        CallOutcome::NotRun(_) => false,
        CallOutcome::Unknown(UnknownReason::DeadlinePassed) => false,
        CallOutcome::Unknown(_) => routed.idempotency == Idempotency::Idempotent,
    }
}

/// One request for a key and what it needs to find and reach the owner.
struct KeyedRun<'a> {
    state: &'a Arc<RouterState>,
    routed: &'a RoutedRequest,
    base: SliceId,
    hash: KeyHash,
    balancer: &'a Arc<Mutex<ServiceBalancer>>,
}

impl KeyedRun<'_> {
    fn find_owner(&self, table: &RoutingTable, now: MonoTime) -> Result<OwnerRoute, NotRunReason> {
        table.view.route(&self.routed.spec.name, self.base, self.hash, now)
    }

    /// Serves the request here, or by the router that may send to the owner while it is cold.
    async fn serve_or_pass_on(
        &self,
        table: &RoutingTable,
        route: &OwnerRoute,
        cause: SendCause,
    ) -> Result<ServerAnswer, CallOutcome> {
        let res = self.serve_at(table, route, cause).await;
        if !matches!(res, Err(CallOutcome::NotRun(NotRunReason::ColdServer)))
            || self.routed.origin == RequestOrigin::Router(ForwardCause::ColdOwner)
        {
            return res;
        }
        let row = table.sheet.servers.get(&route.server);
        let sharer = row.and_then(|it| first_sharer(&table.sheet, it));
        match sharer.filter(|it| it.name != self.state.settings.identity.vm) {
            Some(sharer) => send_to_vm(self.state, self.routed, table, sharer).await,
            None => res,
        }
    }

    /// Sends the request to the owner that `route` names.
    async fn serve_at(
        &self,
        table: &RoutingTable,
        route: &OwnerRoute,
        cause: SendCause,
    ) -> Result<ServerAnswer, CallOutcome> {
        let Self { state, routed, balancer, .. } = *self;
        admit_at(balancer, routed, route, state.now()).map_err(CallOutcome::NotRun)?;
        let no_owner = CallOutcome::NotRun(NotRunReason::NoOwner);
        let peer = state.server_peer(table, &route.server).ok_or(no_owner)?;
        let overloaded = CallOutcome::NotRun(NotRunReason::Overloaded);
        let allowed = routed.left(state.now());
        let call =
            OpenCall::begin(state, balancer, &route.server, cause, allowed).ok_or(overloaded)?;
        state.count_slice(&route.slice);
        let guard = state.inflight.enter(&route.slice, route.token);
        let slice = Some((route.slice.slice, route.token));
        let first = send(call, peer.clone(), routed, slice);
        tokio::pin!(first);
        let patience = progress_timeout(lock(balancer).latency(), &state.settings.timing);
        let res = match tokio::time::timeout(patience, &mut first).await {
            Ok(res) => res,
            Err(_) => {
                // The connection may be dead rather than the server slow.
                state.reset_connections(&peer);
                self.await_late(first, peer, route).await
            }
        };
        if let Err(CallError { outcome: CallOutcome::Unknown(_), .. }) = res {
            keep_until_deadline(state, guard, routed.deadline);
        }
        res.map_err(|it| it.outcome)
    }

    /// Waits for an answer that is late. A request that may run twice is also sent on a fresh
    /// connection, and is given up here as soon as the slice is open at another owner.
    async fn await_late(
        &self,
        first: impl Future<Output = Result<ServerAnswer, CallError>>,
        peer: ServerEndpoint,
        route: &OwnerRoute,
    ) -> Result<ServerAnswer, CallError> {
        if self.routed.idempotency == Idempotency::AtMostOnce {
            return first.await;
        }
        let slice = Some((route.slice.slice, route.token));
        let allowed = self.routed.left(self.state.now());
        let second =
            OpenCall::begin(self.state, self.balancer, &route.server, SendCause::Again, allowed);
        let answer = async {
            match second {
                Some(call) => first_answer(first, send(call, peer, self.routed, slice)).await,
                None => first.await,
            }
        };
        tokio::select! {
            res = answer => res,
            () = self.await_move(route) => Err(CallError {
                outcome: CallOutcome::Unknown(UnknownReason::OwnerChanged),
                is_refused: false,
                load: None,
            }),
        }
    }

    /// Waits until the slice is open under another assignment than `route`.
    async fn await_move(&self, route: &OwnerRoute) {
        let mut changes = self.state.changes();
        loop {
            let found = self.find_owner(&self.state.table(), self.state.now());
            if found.is_ok_and(|it| it.token != route.token) {
                return;
            }
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}

/// Waits for an answer from either of two sends.
async fn first_answer(
    first: impl Future<Output = Result<ServerAnswer, CallError>>,
    second: impl Future<Output = Result<ServerAnswer, CallError>>,
) -> Result<ServerAnswer, CallError> {
    tokio::pin!(first, second);
    tokio::select! {
        res = &mut first => match res {
            Ok(answer) => Ok(answer),
            Err(failure) => second.await.map_err(|it| worse(failure, it)),
        },
        res = &mut second => match res {
            Ok(answer) => Ok(answer),
            Err(failure) => first.await.map_err(|it| worse(failure, it)),
        },
    }
}

/// Of two failures of one request, the one that leaves open whether it ran.
fn worse(a: CallError, b: CallError) -> CallError {
    match a.outcome {
        CallOutcome::Unknown(_) => a,
        CallOutcome::NotRun(_) => b,
    }
}

fn admit_at(
    balancer: &Mutex<ServiceBalancer>,
    routed: &RoutedRequest,
    route: &OwnerRoute,
    now: MonoTime,
) -> Result<(), NotRunReason> {
    let balancer = lock(balancer);
    let Some(view) = balancer.server(&route.server) else {
        return Err(NotRunReason::NoOwner);
    };
    admit(view, balancer.latency(), routed.left(now), now)
}

/// A request that may still run at its server stays counted until its deadline has passed there.
fn keep_until_deadline(state: &Arc<RouterState>, guard: InflightGuard, deadline: MonoTime) {
    let margin = state.settings.timing.drift_margin;
    let left = deadline.since(state.now()) + margin;
    let state = state.clone();
    tokio::spawn(async move {
        tokio::time::sleep(left).await;
        drop(guard);
        state.ask_now.notify_one();
    });
}
