//! Requests to shared services, which any server of the service may answer.

use std::{
    pin::Pin,
    sync::{Arc, Mutex},
    time::Duration,
};

use backend::{CallError, ServerAnswer};
use model::{CallOutcome, Idempotency, NotRunReason, ServerName, UnknownReason};
use policy::ServiceBalancer;

use crate::{
    attempt::{SendAttempt, SendCause, send},
    state::{RouterState, lock},
    table::RoutingTable,
    traffic::RoutedRequest,
};

/// Maximum number of sends of one request, each to another server.
const MAX_SENDS: usize = 4;

/// A pending send, with the server that it was sent to.
type SendFuture<'a> =
    Pin<Box<dyn Future<Output = (ServerName, Result<ServerAnswer, CallError>)> + Send + 'a>>;

/// Sends a request to a server that the balancer chooses, with retries while that is safe, and with
/// hedges if the request is idempotent.
pub(crate) async fn dispatch(
    state: &Arc<RouterState>,
    routed: RoutedRequest,
) -> Result<ServerAnswer, CallOutcome> {
    let balancer = state.balancer(&routed.spec.name);
    let mut dispatch = SharedDispatch {
        state,
        routed: &routed,
        balancer: &balancer,
        tried: Vec::new(),
        pending: Vec::new(),
        combined_outcome: CallOutcome::NotRun(NotRunReason::NoServer),
    };
    if !dispatch.send_next(SendCause::First) && dispatch.has_candidates() {
        return Err(CallOutcome::NotRun(NotRunReason::Overloaded));
    }
    dispatch.finish().await
}

/// One request to a shared service, with its pending and ended sends.
struct SharedDispatch<'a> {
    state: &'a Arc<RouterState>,
    routed: &'a RoutedRequest,
    balancer: &'a Arc<Mutex<ServiceBalancer>>,
    /// Servers to which the request has been sent.
    tried: Vec<ServerName>,
    pending: Vec<SendFuture<'a>>,
    /// Outcome of the request after its ended sends.
    combined_outcome: CallOutcome,
}

impl<'a> SharedDispatch<'a> {
    /// Starts a send to another server, and returns false if there is none or the retry budget is
    /// exhausted.
    fn send_next(&mut self, cause: SendCause) -> bool {
        let table = self.state.table();
        let Some(server) = self.choose_server(&table) else {
            return false;
        };
        let Some(endpoint) = self.state.server_endpoint(&table, &server) else {
            return false;
        };
        let time_left = self.routed.time_left(self.state.now());
        let started = SendAttempt::begin(self.state, self.balancer, &server, cause, time_left);
        let Some(attempt) = started else {
            return false;
        };
        self.tried.push(server.clone());
        let routed = self.routed;
        self.pending
            .push(Box::pin(async move { (server, send(attempt, endpoint, routed, None).await) }));
        true
    }

    /// Whether any server of the service accepts new work, whether or not it has room.
    fn has_candidates(&self) -> bool {
        let table = self.state.table();
        table.candidates.get(&self.routed.spec.name).is_some_and(|it| !it.is_empty())
    }

    /// Chooses a server that has not been tried; `None` after [`MAX_SENDS`] sends or if none has room.
    fn choose_server(&self, table: &RoutingTable) -> Option<ServerName> {
        if self.tried.len() >= MAX_SENDS {
            return None;
        }
        let candidates = table.candidates.get(&self.routed.spec.name)?;
        lock(self.balancer).choose(candidates, &self.tried, self.state.now())
    }

    /// Waits for the first answer, or until all sends have failed.
    ///
    /// If the balancer's policy hedges, an idempotent request is also sent to another server whenever
    /// no send has ended for the hedge delay, which doubles after each hedge; the first hedge that
    /// can't be sent ends that.
    async fn finish(mut self) -> Result<ServerAnswer, CallOutcome> {
        let mut hedge_delay = match self.routed.idempotency {
            Idempotency::Idempotent => lock(self.balancer).hedge_delay(),
            Idempotency::AtMostOnce => None,
        };
        while !self.pending.is_empty() {
            let wait = hedge_delay.unwrap_or(Duration::MAX);
            match tokio::time::timeout(wait, next_completion(&mut self.pending)).await {
                Err(_) => {
                    hedge_delay = match self.send_next(SendCause::Retry) {
                        true => hedge_delay.map(|it| it * 2),
                        false => None,
                    };
                }
                Ok((_, Ok(answer))) => return Ok(answer),
                Ok((server, Err(err))) => self.handle_error(&server, &err),
            }
        }
        Err(self.combined_outcome)
    }

    /// Records a failed send, and sends the request again if that is safe.
    fn handle_error(&mut self, server: &ServerName, err: &CallError) {
        self.combined_outcome = err.outcome.after(self.combined_outcome);
        let cause = match err.outcome {
            CallOutcome::NotRun(NotRunReason::ConnectFailed) => SendCause::Replacement,
            CallOutcome::NotRun(
                NotRunReason::Shed | NotRunReason::ColdServer | NotRunReason::Fenced,
            ) => SendCause::Retry,
            CallOutcome::Unknown(UnknownReason::DeadlinePassed) => return self.reset_pool(server),
            CallOutcome::Unknown(_) if self.routed.idempotency == Idempotency::Idempotent => {
                SendCause::Retry
            }
            _ => return,
        };
        // While another send is pending, it may still bring an answer.
        if self.pending.is_empty() {
            self.send_next(cause);
        }
    }

    /// Replaces the connections to a server that let a deadline pass, as they may be dead.
    fn reset_pool(&self, server: &ServerName) {
        if let Some(endpoint) = self.state.server_endpoint(&self.state.table(), server) {
            self.state.reset_connections(&endpoint);
        }
    }
}

/// Waits until any pending send completes, and removes it from `pending`.
async fn next_completion(
    pending: &mut Vec<SendFuture<'_>>,
) -> (ServerName, Result<ServerAnswer, CallError>) {
    std::future::poll_fn(|cx| {
        for idx in 0..pending.len() {
            if let std::task::Poll::Ready(completion) = pending[idx].as_mut().poll(cx) {
                drop(pending.swap_remove(idx));
                return std::task::Poll::Ready(completion);
            }
        }
        std::task::Poll::Pending
    })
    .await
}
