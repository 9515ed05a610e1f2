//! Requests for keys whose home is this router's failure domain.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use backend::{CallError, ServerAnswer, ServerEndpoint};
use model::{CallOutcome, Idempotency, KeyHash, MonoTime, NotRunReason, SliceId, UnknownReason};
use ownership::OwnerRoute;
use peer::ForwardCause;
use policy::{ServiceBalancer, admit};
use tokio::runtime::Handle;

use crate::{
    attempt::{SendAttempt, SendCause, is_expired, send},
    forward::forward_to_vm,
    inflight::InflightGuard,
    state::{RouterState, lock},
    table::{RoutingTable, first_ranked_vm},
    traffic::{RequestOrigin, RoutedRequest, progress_timeout},
};

/// Longest pause before the next attempt of a request, which a newer routing table ends early.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);

/// The same for a request whose owner is cold and has no room. It is shorter because room becomes
/// free without a newer table.
const COLD_RECHECK_INTERVAL: Duration = Duration::from_millis(4);

/// Sends a request to the key's owner, with retries while they are safe and the deadline has not
/// passed.
pub(crate) async fn dispatch(
    state: &Arc<RouterState>,
    routed: &RoutedRequest,
    base_slice: SliceId,
    hash: KeyHash,
) -> Result<ServerAnswer, CallOutcome> {
    let balancer = state.balancer(&routed.spec.name);
    let dispatch = KeyedDispatch { state, routed, base_slice, hash, balancer: &balancer };
    let mut cause = SendCause::First;
    let mut changes = state.changes();
    let mut combined_outcome = CallOutcome::NotRun(NotRunReason::NoOwner);
    loop {
        let now = state.now();
        if is_expired(routed, now) {
            return Err(combined_outcome);
        }
        changes.mark_unchanged();
        let table = state.table();
        let outcome = match dispatch.find_owner(&table, now) {
            Err(NotRunReason::NotHome) => {
                return Err(CallOutcome::NotRun(NotRunReason::NotHome).after(combined_outcome));
            }
            Err(reason) => CallOutcome::NotRun(reason),
            Ok(route) => match dispatch.send_or_forward(&table, &route, cause).await {
                Ok(answer) => return Ok(answer),
                Err(outcome) => {
                    cause = next_cause(cause, outcome);
                    outcome
                }
            },
        };
        combined_outcome = outcome.after(combined_outcome);
        if !is_retryable(routed, outcome) {
            return Err(combined_outcome);
        }
        let interval = match outcome {
            CallOutcome::NotRun(NotRunReason::ColdServer) => COLD_RECHECK_INTERVAL,
            _ => RECHECK_INTERVAL,
        };
        let pause = routed.time_left(state.now()).min(interval);
        let _ = tokio::time::timeout(pause, changes.changed()).await;
    }
}

/// Cause of the next send after one with `cause` ended with `outcome`.
///
/// Only a retry draws on the retry budget: it follows a send that may have run under the same
/// owner, and later sends remain retries unless the owner changes.
fn next_cause(cause: SendCause, outcome: CallOutcome) -> SendCause {
    match outcome {
        // Needs no retry budget: each change of owner causes at most one further send.
        CallOutcome::Unknown(UnknownReason::OwnerChanged) => SendCause::Replacement,
        CallOutcome::Unknown(_) => SendCause::Retry,
        CallOutcome::NotRun(NotRunReason::Overloaded | NotRunReason::ColdServer) => cause,
        CallOutcome::NotRun(_) if cause == SendCause::Retry => SendCause::Retry,
        CallOutcome::NotRun(_) => SendCause::Replacement,
    }
}

/// Whether the request may be sent again after this outcome.
fn is_retryable(routed: &RoutedRequest, outcome: CallOutcome) -> bool {
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

/// One request to a keyed service, with what is needed to find and reach the key's owner.
struct KeyedDispatch<'a> {
    state: &'a Arc<RouterState>,
    routed: &'a RoutedRequest,
    /// The key's slice as divided by the service's slice bits, regardless of single-key slices.
    base_slice: SliceId,
    hash: KeyHash,
    balancer: &'a Arc<Mutex<ServiceBalancer>>,
}

impl KeyedDispatch<'_> {
    fn find_owner(&self, table: &RoutingTable, now: MonoTime) -> Result<OwnerRoute, NotRunReason> {
        table.view.route(&self.routed.spec.name, self.base_slice, self.hash, now)
    }

    /// Sends the request to the owner. If the owner is cold and takes no more from this router,
    /// forwards the request to the router that ranks first for that server, unless another router
    /// has forwarded it for that reason: a request is forwarded to such a router only once.
    async fn send_or_forward(
        &self,
        table: &RoutingTable,
        route: &OwnerRoute,
        cause: SendCause,
    ) -> Result<ServerAnswer, CallOutcome> {
        let res = self.send_to_owner(table, route, cause).await;
        if !matches!(res, Err(CallOutcome::NotRun(NotRunReason::ColdServer)))
            || self.routed.origin == RequestOrigin::Router(ForwardCause::ColdOwner)
        {
            return res;
        }
        let row = table.sheet.servers.get(&route.server);
        let preferred_vm = row.and_then(|it| first_ranked_vm(&table.sheet, it));
        match preferred_vm.filter(|it| it.name != self.state.settings.identity.vm) {
            Some(vm) => forward_to_vm(self.state, self.routed, table, vm).await,
            None => res,
        }
    }

    /// Sends the request to the owner that `route` names.
    async fn send_to_owner(
        &self,
        table: &RoutingTable,
        route: &OwnerRoute,
        cause: SendCause,
    ) -> Result<ServerAnswer, CallOutcome> {
        let Self { state, routed, balancer, .. } = *self;
        check_admission(balancer, routed, route, state.now()).map_err(CallOutcome::NotRun)?;
        let no_owner = CallOutcome::NotRun(NotRunReason::NoOwner);
        let endpoint = state.server_endpoint(table, &route.server).ok_or(no_owner)?;
        let overloaded = CallOutcome::NotRun(NotRunReason::Overloaded);
        let time_left = routed.time_left(state.now());
        let attempt = SendAttempt::begin(state, balancer, &route.server, cause, time_left)
            .ok_or(overloaded)?;
        state.count_slice_request(&route.slice);
        let first_send = self.send_counted(attempt, endpoint.clone(), route);
        tokio::pin!(first_send);
        let timeout = progress_timeout(lock(balancer).latency(), &state.settings.timing);
        let res = match tokio::time::timeout(timeout, &mut first_send).await {
            Ok(res) => res,
            Err(_) => {
                // The connection may be dead: later sends use new ones. This send goes on, in case
                // the server is only slow.
                state.reset_connections(&endpoint);
                self.await_late_answer(first_send, endpoint, route).await
            }
        };
        res.map_err(|it| it.outcome)
    }

    /// Sends the request once, and counts it as in flight until it can no longer run.
    async fn send_counted(
        &self,
        attempt: SendAttempt,
        endpoint: ServerEndpoint,
        route: &OwnerRoute,
    ) -> Result<ServerAnswer, CallError> {
        let in_flight = InflightSend::begin(self.state, route, self.routed.deadline);
        let slice = Some((route.slice.slice, route.token));
        let res = send(attempt, endpoint, self.routed, slice).await;
        if !matches!(res, Err(CallError { outcome: CallOutcome::Unknown(_), .. })) {
            in_flight.end();
        }
        res
    }

    /// Waits for a late answer.
    ///
    /// An idempotent request is also sent on a fresh connection if the retry budget allows it, and
    /// is abandoned as soon as the slice is open under another fencing token.
    async fn await_late_answer(
        &self,
        first_send: impl Future<Output = Result<ServerAnswer, CallError>>,
        endpoint: ServerEndpoint,
        route: &OwnerRoute,
    ) -> Result<ServerAnswer, CallError> {
        if self.routed.idempotency == Idempotency::AtMostOnce {
            return first_send.await;
        }
        let time_left = self.routed.time_left(self.state.now());
        let second_attempt = SendAttempt::begin(
            self.state,
            self.balancer,
            &route.server,
            SendCause::Retry,
            time_left,
        );
        let answer = async {
            match second_attempt {
                Some(attempt) => {
                    first_answer(first_send, self.send_counted(attempt, endpoint, route)).await
                }
                None => first_send.await,
            }
        };
        tokio::select! {
            res = answer => res,
            () = self.await_owner_change(route) => Err(CallError {
                outcome: CallOutcome::Unknown(UnknownReason::OwnerChanged),
                is_connection_refused: false,
                load: None,
            }),
        }
    }

    /// Waits until the slice is open under a fencing token other than that of `route`.
    async fn await_owner_change(&self, route: &OwnerRoute) {
        let mut changes = self.state.changes();
        loop {
            let current = self.find_owner(&self.state.table(), self.state.now());
            if current.is_ok_and(|it| it.token != route.token) {
                return;
            }
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}

/// Waits for the first answer to either of two sends, or until both have failed.
async fn first_answer(
    first: impl Future<Output = Result<ServerAnswer, CallError>>,
    second: impl Future<Output = Result<ServerAnswer, CallError>>,
) -> Result<ServerAnswer, CallError> {
    tokio::pin!(first, second);
    tokio::select! {
        res = &mut first => match res {
            Ok(answer) => Ok(answer),
            Err(err) => second.await.map_err(|it| prefer_unknown(err, it)),
        },
        res = &mut second => match res {
            Ok(answer) => Ok(answer),
            Err(err) => first.await.map_err(|it| prefer_unknown(err, it)),
        },
    }
}

/// Of two failures of one request, returns one with an unknown outcome if there is one (`first` if
/// both have one), else `second`.
fn prefer_unknown(first: CallError, second: CallError) -> CallError {
    match first.outcome {
        CallOutcome::Unknown(_) => first,
        CallOutcome::NotRun(_) => second,
    }
}

fn check_admission(
    balancer: &Mutex<ServiceBalancer>,
    routed: &RoutedRequest,
    route: &OwnerRoute,
    now: MonoTime,
) -> Result<(), NotRunReason> {
    let balancer = lock(balancer);
    let Some(server) = balancer.server(&route.server) else {
        // The balancer holds the servers that the sheet lists for the service; the owner is not, or
        // not yet, among them.
        return Err(NotRunReason::NoOwner);
    };
    admit(server, balancer.latency(), routed.time_left(now), now)
}

/// One send that is counted as in flight.
///
/// One that is dropped without a known outcome, as when its caller has left or another send was
/// answered first, may still run and stays counted until its deadline.
struct InflightSend {
    state: Arc<RouterState>,
    guard: Option<InflightGuard>,
    deadline: MonoTime,
}

impl InflightSend {
    fn begin(state: &Arc<RouterState>, route: &OwnerRoute, deadline: MonoTime) -> Self {
        let guard = state.inflight.enter(&route.slice, route.token);
        Self { state: state.clone(), guard: Some(guard), deadline }
    }

    /// Stops counting the send: it has been answered, or certainly has not run.
    fn end(mut self) {
        self.guard = None;
    }
}

impl Drop for InflightSend {
    fn drop(&mut self) {
        if let (Some(guard), Ok(runtime)) = (self.guard.take(), Handle::try_current()) {
            let (state, deadline) = (self.state.clone(), self.deadline);
            runtime.spawn(keep_in_flight_until_deadline(state, guard, deadline));
        }
    }
}

/// Keeps a request counted until its deadline plus the drift margin, as the server's clock may drift;
/// then renews the lease, as the lease request reports what has drained.
async fn keep_in_flight_until_deadline(
    state: Arc<RouterState>,
    guard: InflightGuard,
    deadline: MonoTime,
) {
    let margin = state.settings.timing.drift_margin;
    tokio::time::sleep(deadline.since(state.now()) + margin).await;
    drop(guard);
    state.renew_lease_now.notify_one();
}
