//! One send to one server, counted in the balancer until it ends or is given up.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use backend::{BackendClient, CallError, ServerAnswer, ServerEndpoint, ServerRequest};
use model::{
    CallOutcome, FencingToken, MonoTime, NotRunReason, ServerName, SliceId, UnknownReason,
};
use policy::{CallResult, CallTicket, ServiceBalancer};

use crate::{
    state::{RouterState, lock},
    traffic::RoutedRequest,
};

/// Why a request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendCause {
    /// It has not been sent before.
    First,
    /// It was sent before, but certainly not run.
    Replacement,
    /// It may have been run and is idempotent.
    Again,
}

/// Keeps a call counted; one that is dropped before its end counts as abandoned.
pub(crate) struct OpenCall {
    state: Arc<RouterState>,
    balancer: Arc<Mutex<ServiceBalancer>>,
    server: ServerName,
    ticket: Option<CallTicket>,
}

impl OpenCall {
    /// Opens a call, unless it is a further send and the budget is spent.
    pub(crate) fn begin(
        state: &Arc<RouterState>,
        balancer: &Arc<Mutex<ServiceBalancer>>,
        server: &ServerName,
        cause: SendCause,
        allowed: Duration,
    ) -> Option<Self> {
        let now = state.now();
        let mut guard = lock(balancer);
        let (ticket, label) = match cause {
            SendCause::First => (guard.begin_first(server, allowed, now), "first"),
            SendCause::Replacement => {
                (guard.begin_replacement(server, allowed, now), "replacement")
            }
            SendCause::Again => (guard.begin_retry(server, allowed, now), "again"),
        };
        drop(guard);
        let ticket = ticket?;
        state.metrics.sends.with_label_values(&[label]).inc();
        Some(Self {
            state: state.clone(),
            balancer: balancer.clone(),
            server: server.clone(),
            ticket: Some(ticket),
        })
    }

    fn finish(mut self, res: &Result<ServerAnswer, CallError>) {
        let (result, load) = match res {
            Ok(answer) => (CallResult::Answered, answer.load),
            Err(failure) => (call_result(failure), failure.load),
        };
        let reported_load = load.map(|it| it.running + it.waiting);
        if let Some(ticket) = self.ticket.take() {
            lock(&self.balancer).finish(
                &self.server,
                ticket,
                result,
                reported_load,
                self.state.now(),
            );
        }
    }
}

fn call_result(failure: &CallError) -> CallResult {
    match failure.outcome {
        CallOutcome::NotRun(_) if failure.is_refused => CallResult::Refused,
        CallOutcome::NotRun(NotRunReason::Shed) => CallResult::Shed,
        CallOutcome::NotRun(NotRunReason::ColdServer) => CallResult::Cold,
        CallOutcome::NotRun(NotRunReason::Fenced | NotRunReason::DeadlinePassed) => {
            CallResult::Abandoned
        }
        CallOutcome::Unknown(UnknownReason::ConnectionLost) => CallResult::Failed,
        CallOutcome::Unknown(_) => CallResult::Abandoned,
        CallOutcome::NotRun(_) => CallResult::Shed,
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.state.now();
            lock(&self.balancer).finish(&self.server, ticket, CallResult::Abandoned, None, now);
        }
    }
}

/// Sends the request and waits for its whole answer, until its deadline.
pub(crate) async fn send(
    call: OpenCall,
    peer: ServerEndpoint,
    routed: &RoutedRequest,
    slice: Option<(SliceId, FencingToken)>,
) -> Result<ServerAnswer, CallError> {
    let state = call.state.clone();
    let left = routed.left(state.now());
    let request = ServerRequest { slice, deadline_left: left, ..routed.request.clone() };
    let sent = state.backend.call(&peer, request);
    let res = match tokio::time::timeout(left, sent).await {
        Ok(res) => res,
        Err(_) => Err(deadline_passed()),
    };
    if let Err(failure) = &res
        && failure.is_refused
    {
        state.suspect(&peer.name);
    }
    let is_cold = matches!(
        &res,
        Err(failure) if failure.outcome == CallOutcome::NotRun(NotRunReason::ColdServer)
    );
    if is_cold {
        state.report_cold(&routed.spec.name, &peer.name);
    }
    call.finish(&res);
    res
}

fn deadline_passed() -> CallError {
    CallError {
        outcome: CallOutcome::Unknown(UnknownReason::DeadlinePassed),
        is_refused: false,
        load: None,
    }
}

/// Whether the time for a request is over.
pub(crate) fn is_over(routed: &RoutedRequest, now: MonoTime) -> bool {
    routed.left(now).is_zero()
}
