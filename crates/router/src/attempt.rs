//! One send of a request to one server, counted by the balancer until it ends or is abandoned.

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

/// Why a request is sent, which decides whether the send draws on the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendCause {
    /// The request has not been sent before, except to an owner that refused it because it is cold.
    First,
    /// The send replaces one that certainly did not run, or that went to a former owner; it costs no
    /// retry budget.
    Replacement,
    /// A retry or a hedge, which the retry budget must allow.
    Retry,
}

/// Keeps a send counted by the balancer; one that is dropped before it ends counts as abandoned.
pub(crate) struct SendAttempt {
    state: Arc<RouterState>,
    balancer: Arc<Mutex<ServiceBalancer>>,
    server: ServerName,
    ticket: Option<CallTicket>,
}

impl SendAttempt {
    /// Counts a send that is about to start.
    ///
    /// Returns `None` for a server that the balancer does not know, and for a retry when the budget
    /// is exhausted.
    pub(crate) fn begin(
        state: &Arc<RouterState>,
        balancer: &Arc<Mutex<ServiceBalancer>>,
        server: &ServerName,
        cause: SendCause,
        time_left: Duration,
    ) -> Option<Self> {
        let now = state.now();
        let mut locked = lock(balancer);
        let (ticket, label) = match cause {
            SendCause::First => (locked.begin_first(server, time_left, now), "first"),
            SendCause::Replacement => {
                (locked.begin_replacement(server, time_left, now), "replacement")
            }
            SendCause::Retry => (locked.begin_retry(server, time_left, now), "again"),
        };
        drop(locked);
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
            Err(err) => (call_result(err), err.load),
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

fn call_result(err: &CallError) -> CallResult {
    match err.outcome {
        CallOutcome::NotRun(_) if err.is_connection_refused => CallResult::Refused,
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

impl Drop for SendAttempt {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.state.now();
            lock(&self.balancer).finish(&self.server, ticket, CallResult::Abandoned, None, now);
        }
    }
}

/// Sends the request and waits for its whole answer, at most until the deadline.
///
/// A server whose host refuses the connection is reported as suspect, and one that refuses the
/// request because it is cold is reported as cold.
pub(crate) async fn send(
    attempt: SendAttempt,
    endpoint: ServerEndpoint,
    routed: &RoutedRequest,
    slice: Option<(SliceId, FencingToken)>,
) -> Result<ServerAnswer, CallError> {
    let state = attempt.state.clone();
    let time_left = routed.time_left(state.now());
    let request = ServerRequest { slice, deadline_left: time_left, ..routed.request.clone() };
    let call = state.backend.call(&endpoint, request);
    let res = match tokio::time::timeout(time_left, call).await {
        Ok(res) => res,
        Err(_) => Err(deadline_passed()),
    };
    if let Err(err) = &res
        && err.is_connection_refused
    {
        state.report_suspect(&endpoint.name);
    }
    let is_cold = matches!(
        &res,
        Err(err) if err.outcome == CallOutcome::NotRun(NotRunReason::ColdServer)
    );
    if is_cold {
        state.report_cold(&routed.spec.name, &endpoint.name);
    }
    attempt.finish(&res);
    res
}

fn deadline_passed() -> CallError {
    CallError {
        outcome: CallOutcome::Unknown(UnknownReason::DeadlinePassed),
        is_connection_refused: false,
        load: None,
    }
}

/// Whether the request's deadline has passed.
pub(crate) fn is_expired(routed: &RoutedRequest, now: MonoTime) -> bool {
    routed.time_left(now).is_zero()
}
