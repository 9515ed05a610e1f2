//! Requests that any server of the service may answer.

use std::{
    pin::Pin,
    sync::{Arc, Mutex},
    time::Duration,
};

use backend::{CallError, ServerAnswer};
use model::{CallOutcome, Idempotency, NotRunReason, ServerName, UnknownReason};
use policy::ServiceBalancer;

use crate::{
    attempt::{OpenCall, SendCause, send},
    state::{RouterState, lock},
    table::RoutingTable,
    traffic::RoutedRequest,
};

/// Servers that one request may try.
const MAX_SENDS: usize = 4;

type SendFuture<'a> =
    Pin<Box<dyn Future<Output = (ServerName, Result<ServerAnswer, CallError>)> + Send + 'a>>;

/// Serves a request by any server, with a second one when the first is slow and that is safe.
pub(crate) async fn serve(
    state: &Arc<RouterState>,
    routed: RoutedRequest,
) -> Result<ServerAnswer, CallOutcome> {
    let balancer = state.balancer(&routed.spec.name);
    let mut run = SharedRun {
        state,
        routed: &routed,
        balancer: &balancer,
        tried: Vec::new(),
        open: Vec::new(),
        last: CallOutcome::NotRun(NotRunReason::NoServer),
    };
    if !run.send_next(SendCause::First) && run.has_candidates() {
        return Err(CallOutcome::NotRun(NotRunReason::Overloaded));
    }
    run.finish().await
}

/// One request and its sends.
struct SharedRun<'a> {
    state: &'a Arc<RouterState>,
    routed: &'a RoutedRequest,
    balancer: &'a Arc<Mutex<ServiceBalancer>>,
    tried: Vec<ServerName>,
    open: Vec<SendFuture<'a>>,
    last: CallOutcome,
}

impl<'a> SharedRun<'a> {
    /// Sends to one more server, when there is one and the budget allows it.
    fn send_next(&mut self, cause: SendCause) -> bool {
        let table = self.state.table();
        let Some(server) = self.choose(&table) else {
            return false;
        };
        let Some(peer) = self.state.server_peer(&table, &server) else {
            return false;
        };
        let allowed = self.routed.left(self.state.now());
        let opened = OpenCall::begin(self.state, self.balancer, &server, cause, allowed);
        let Some(call) = opened else {
            return false;
        };
        self.tried.push(server.clone());
        let routed = self.routed;
        self.open.push(Box::pin(async move { (server, send(call, peer, routed, None).await) }));
        true
    }

    /// Whether the service has any server that may take new work, be it full.
    fn has_candidates(&self) -> bool {
        let table = self.state.table();
        table.candidates.get(&self.routed.spec.name).is_some_and(|it| !it.is_empty())
    }

    fn choose(&self, table: &RoutingTable) -> Option<ServerName> {
        if self.tried.len() >= MAX_SENDS {
            return None;
        }
        let candidates = table.candidates.get(&self.routed.spec.name)?;
        lock(self.balancer).choose(candidates, &self.tried, self.state.now())
    }

    async fn finish(mut self) -> Result<ServerAnswer, CallOutcome> {
        let mut hedge_delay = match self.routed.idempotency {
            Idempotency::Idempotent => lock(self.balancer).hedge_delay(),
            Idempotency::AtMostOnce => None,
        };
        while !self.open.is_empty() {
            let wait = hedge_delay.unwrap_or(Duration::MAX);
            match tokio::time::timeout(wait, next_end(&mut self.open)).await {
                Err(_) => {
                    hedge_delay = match self.send_next(SendCause::Again) {
                        true => hedge_delay.map(|it| it * 2),
                        false => None,
                    };
                }
                Ok((_, Ok(answer))) => return Ok(answer),
                Ok((server, Err(failure))) => self.take_failure(&server, &failure),
            }
        }
        Err(self.last)
    }

    /// Notes a failed send, and sends again when that is safe.
    fn take_failure(&mut self, server: &ServerName, failure: &CallError) {
        self.last = failure.outcome.after(self.last);
        let cause = match failure.outcome {
            CallOutcome::NotRun(NotRunReason::ConnectFailed) => SendCause::Replacement,
            CallOutcome::NotRun(
                NotRunReason::Shed | NotRunReason::ColdServer | NotRunReason::Fenced,
            ) => SendCause::Again,
            CallOutcome::Unknown(UnknownReason::DeadlinePassed) => return self.renew(server),
            CallOutcome::Unknown(_) if self.routed.idempotency == Idempotency::Idempotent => {
                SendCause::Again
            }
            _ => return,
        };
        // While another send is open, its answer may still come.
        if self.open.is_empty() {
            self.send_next(cause);
        }
    }

    /// A server that let a deadline pass may have lost its connections.
    fn renew(&self, server: &ServerName) {
        if let Some(peer) = self.state.server_peer(&self.state.table(), server) {
            self.state.reset_connections(&peer);
        }
    }
}

/// Waits for any open send to end and takes it out.
async fn next_end(open: &mut Vec<SendFuture<'_>>) -> (ServerName, Result<ServerAnswer, CallError>) {
    std::future::poll_fn(|cx| {
        for idx in 0..open.len() {
            if let std::task::Poll::Ready(end) = open[idx].as_mut().poll(cx) {
                drop(open.swap_remove(idx));
                return std::task::Poll::Ready(end);
            }
        }
        std::task::Poll::Pending
    })
    .await
}
