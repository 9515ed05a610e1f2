//! The single final answer to a caller: a server's, or one of this process with its reason.

use super::*;

/// Seconds after which a caller may send a body again for which there was no memory: in about that time,
/// the requests that hold it are answered.
const BODY_RETRY_SECONDS: u16 = 1;

impl<F: ServerFormat> TrafficServer<F> {
    /// Counts and logs the outcome, and turns it into the caller's answer.
    pub(super) fn finish(
        &self,
        request: &RequestState,
        outcome: Result<HttpAnswer, NotRunReason>,
    ) -> CallerAnswer {
        let now = self.clock.now();
        let age = now.since(request.arrived);
        let refusal = outcome.as_ref().err().copied().filter(|_| request.unknown_outcome.is_none());
        let (outcome, label): (Result<HttpAnswer, StatusCode>, String) =
            match (outcome, &request.unknown_outcome) {
                (Ok(answer), _) => (Ok(answer), "answered".into()),
                (Err(_), Some((reason, Some(answer)))) => (Ok(answer.clone()), reason.to_string()),
                (Err(_), Some((reason @ UnknownReason::DeadlinePassed, None))) => {
                    (Err(StatusCode::GATEWAY_TIMEOUT), reason.to_string())
                }
                (Err(_), Some((reason, None))) => {
                    (Err(StatusCode::BAD_GATEWAY), reason.to_string())
                }
                (Err(reason @ NotRunReason::QuotaUsedUp), None) => {
                    (Err(StatusCode::TOO_MANY_REQUESTS), reason.to_string())
                }
                (Err(reason), None) => (Err(StatusCode::SERVICE_UNAVAILABLE), reason.to_string()),
            };
        self.count_team_outcome(request, &outcome);
        self.metrics.outcomes.with_label_values(&[&*request.route.name, label.as_str()]).inc();
        self.metrics.latency.observe(age.as_secs_f64());
        match outcome {
            Ok(answer) => {
                if answer.status.is_success()
                    && let Some(stats) =
                        self.state.borrow_mut().service_stats.get_mut(&request.service)
                {
                    stats.record_answer(age.as_secs_f64());
                }
                let mut response = Response::new(Full::new(answer.body));
                *response.status_mut() = answer.status;
                *response.headers_mut() = end_to_end_headers(&answer.headers);
                response
            }
            Err(status) => {
                info!(self.log, "request-failed"; "id" => request.id.to_str().unwrap_or("-"),
                    "route" => &*request.route.name, "service" => %request.service,
                    "status" => status.as_u16(), "cause" => &label, "key" => request.key,
                    "team" => request.team_name().map(|it| it.as_str()),
                    "n_sends" => request.n_sends, "age_ms" => age.as_millis() as u64,
                    "plan" => self.channel.current().plan.as_ref().map_or(0, |it| it.version),
                    "belief_age_ms" =>
                        now.since(self.channel.current().synced_at).as_millis() as u64);
                let mut response = self.local_answer(&request.id, status);
                if let Some(reason) = refusal {
                    let queue = match reason {
                        NotRunReason::ServerPaused
                        | NotRunReason::RateLimited
                        | NotRunReason::QuotaUsedUp => request.refused_until.since(now),
                        _ => self.shortest_queue(request, now),
                    };
                    let after = retry_delay(reason, queue, request.time_left(now)).as_secs_f64();
                    if let Ok(value) = format!("{after:.3}").parse() {
                        response.headers_mut().insert(header::RETRY_AFTER, value);
                    }
                }
                response
            }
        }
    }

    /// Counts the outcome for the caller's team: by name for the largest ones, together for the others.
    fn count_team_outcome(&self, request: &RequestState, outcome: &Result<HttpAnswer, StatusCode>) {
        let Some(team) = request.team_name() else {
            return;
        };
        let label = match outcome {
            Ok(answer) if answer.status.is_success() => "served",
            Ok(_) => "failed",
            Err(StatusCode::TOO_MANY_REQUESTS) => "over-quota",
            Err(StatusCode::SERVICE_UNAVAILABLE) => "refused",
            Err(_) => "failed",
        };
        let name = match self.quotas.is_largest(team, &self.channel.current()) {
            true => team.as_str(),
            false => "(others)",
        };
        self.metrics.team_outcomes.with_label_values(&[name, label]).inc();
    }

    /// Refuses a request that has no route, service or key, or that came before the first plan.
    pub(super) fn refuse_unrouted(
        &self,
        id: &HeaderValue,
        status: StatusCode,
        cause: &str,
    ) -> CallerAnswer {
        self.metrics.outcomes.with_label_values(&["-", cause]).inc();
        let snapshot = self.channel.current();
        info!(self.log, "request-refused"; "id" => id.to_str().unwrap_or("-"),
            "status" => status.as_u16(), "cause" => cause,
            "plan" => snapshot.plan.as_ref().map_or(0, |it| it.version),
            "belief_age_ms" => self.clock.now().since(snapshot.synced_at).as_millis() as u64);
        self.local_answer(id, status)
    }

    /// Refuses a request for whose body there is no memory; it has not run.
    pub(crate) fn refuse_body(&self, head: &http::request::Parts) -> CallerAnswer {
        let id = head.headers.get(&self.format.headers().request_id).cloned();
        let id = id.unwrap_or_else(|| HeaderValue::from_static("-"));
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let mut response = self.refuse_unrouted(&id, status, "no-memory");
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(BODY_RETRY_SECONDS));
        response
    }

    /// An empty answer of this process with the caller's request id.
    fn local_answer(&self, id: &HeaderValue, status: StatusCode) -> CallerAnswer {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = status;
        response.headers_mut().insert(self.format.headers().request_id.clone(), id.clone());
        response
    }
}
