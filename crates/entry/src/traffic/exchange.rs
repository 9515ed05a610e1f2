//! One attempt at one server, and the classification of its answer.

use std::net::SocketAddr;

use super::*;

/// Time past the deadline for which an answer that is on its way is still awaited.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(150);

/// Outcome of one attempt.
pub(super) enum SendOutcome {
    /// A final answer of the server, such as a success or its refusal of a bad request.
    Answered(HttpAnswer),
    /// The server certainly did not run the request.
    NotRun(NotRunReason),
    /// The server does not own the key, or another server has taken over its address.
    Misdirected,
    /// The server may have run the request; its error answer, if there is one, may be forwarded.
    Failed(UnknownReason, Option<HttpAnswer>),
}

/// Why there is no answer from a server.
enum SendError {
    /// No connection could be opened; nothing was sent.
    NotConnected(ExchangeError),
    /// The connection failed after the request may have been written.
    Broken {
        error: ExchangeError,
        /// Whether the connection was opened for this request.
        is_fresh: bool,
    },
    /// No answer came in time.
    NoAnswer,
}

impl<F: ServerFormat> TrafficServer<F> {
    /// Sends the request to one server and records how that ended.
    pub(super) async fn send(
        &self,
        request: &mut RequestState,
        original: &CallerRequest,
        server: &CachedServer,
        now: MonoTime,
    ) -> SendOutcome {
        let name = &server.entry.name;
        self.count_backpressure_send(server, now);
        // A permit is for one attempt.
        request.permit = None;
        {
            let mut state = self.state.borrow_mut();
            let stats = current_stats(&mut state.server_stats, server);
            stats.begin(now);
            state.silence_detectors.entry(server.entry.domain.clone()).or_default().note_sent(now);
        }
        let mut guard = CallGuard { traffic: self, server: name.clone(), started: now, end: None };
        let sent_at = self.clock.now();
        let res = self.exchange(request, original, server).await;
        let age = self.clock.now().since(sent_at);
        let (end, label, error, outcome) = match res {
            Ok((answer, connection)) => {
                return self.classify_answer(request, server, answer, connection, &mut guard, age);
            }
            Err(SendError::NotConnected(error)) => {
                if matches!(error, ExchangeError::Refused(_)) {
                    self.note_restart_sign(server, "refused");
                    let mut state = self.state.borrow_mut();
                    let draw = state.rng.random::<f64>();
                    let stats = current_stats(&mut state.server_stats, server);
                    stats.address_doubt.note_refused(draw, now);
                }
                let outcome = SendOutcome::NotRun(NotRunReason::ConnectFailed);
                (CallEnd::Failed, "not-connected", Some(error), outcome)
            }
            Err(SendError::NoAnswer) => {
                let outcome = SendOutcome::Failed(UnknownReason::DeadlinePassed, None);
                (CallEnd::Abandoned(age), "no-answer", None, outcome)
            }
            Err(SendError::Broken { error: error @ ExchangeError::TooLong(_), .. }) => {
                let outcome = SendOutcome::Failed(UnknownReason::AnswerCut, None);
                (CallEnd::Failed, "answer-too-long", Some(error), outcome)
            }
            Err(SendError::Broken { error, is_fresh }) => {
                if matches!(error, ExchangeError::Closed(_)) {
                    self.note_restart_sign(server, "connection-ended");
                }
                let label = if is_fresh { "broken" } else { "broken-reused" };
                let outcome = SendOutcome::Failed(UnknownReason::ConnectionLost, None);
                (CallEnd::Failed, label, Some(error), outcome)
            }
        };
        guard.end = Some(end);
        self.log_send(request, name, label, error.as_ref());
        outcome
    }

    /// Sends the request over a pooled connection, or over a new one if there is none or the pooled
    /// one had been closed before anything was written.
    async fn exchange(
        &self,
        request: &mut RequestState,
        original: &CallerRequest,
        server: &CachedServer,
    ) -> Result<(HttpAnswer, HttpConnection), SendError> {
        let address = server.entry.address;
        // A second copy of an earlier attempt's answer would carry the same id, also if the caller has
        // used it before.
        let is_excluded = |it: &HttpConnection| {
            request.connections.contains(&it.number()) || it.has_refused(&request.id)
        };
        let pooled = self.state.borrow_mut().pool.take(address, is_excluded, self.clock.now());
        let mut is_fresh = pooled.is_none();
        let mut connection = match pooled {
            Some(it) => it,
            None => self.connect(address, request).await?,
        };
        request.n_sends += 1;
        loop {
            request.connections.push(connection.number());
            let time_left = request.time_left(self.clock.now());
            let outgoing = self.build_request(request, original, server, time_left);
            let clock = self.clock;
            let sent_at = clock.now();
            let exchange = connection.exchange(outgoing, move || clock.now());
            match timeout(time_left + LATE_ANSWER_GRACE, exchange).await {
                Ok(Ok(answer)) => return Ok((answer, connection)),
                Err(_) => {
                    self.state.borrow_mut().pool.close_silent(address, sent_at);
                    return Err(SendError::NoAnswer);
                }
                Ok(Err(error)) => {
                    self.state.borrow_mut().pool.close(address);
                    if is_fresh || !matches!(error, ExchangeError::NotConnected(_)) {
                        return Err(SendError::Broken { error, is_fresh });
                    }
                    self.note_restart_sign(server, "kept-connection-ended");
                }
            }
            // A new connection shows whether the server is still listening.
            connection = self.connect(address, request).await?;
            is_fresh = true;
        }
    }

    /// Opens a connection within what is left of the request's time.
    async fn connect(
        &self,
        address: SocketAddr,
        request: &RequestState,
    ) -> Result<HttpConnection, SendError> {
        let time_left = request.time_left(self.clock.now());
        let observer = Some(self.probes.observer.clone());
        let open = HttpConnection::open_observed(address, self.answer_bounds(), observer);
        let res = timeout(time_left, open).await.unwrap_or_else(|_| {
            let err = StepError::new("connect", address, "the request's time is over");
            Err(ExchangeError::NotConnected(err))
        });
        res.map_err(SendError::NotConnected)
    }

    /// Decides whether a server's answer is final and whether the request may be sent again.
    ///
    /// An answer with another id belongs to another request. A success is accepted only with the
    /// platform's signature header and without a content encoding.
    fn classify_answer(
        &self,
        request: &RequestState,
        server: &CachedServer,
        answer: HttpAnswer,
        mut connection: HttpConnection,
        guard: &mut CallGuard<'_, F>,
        age: Duration,
    ) -> SendOutcome {
        let names = self.format.headers();
        let name = &server.entry.name;
        let now = self.clock.now();
        if let Some(detector) =
            self.state.borrow_mut().silence_detectors.get_mut(&server.entry.domain)
        {
            detector.note_heard(now);
        }
        if answer.headers.get(&names.request_id) != Some(&request.id) {
            guard.end = Some(CallEnd::Failed);
            self.log_send(request, name, "answer-crossed", None);
            return SendOutcome::Failed(UnknownReason::AnswerCrossed, None);
        }
        let answerer = answer.headers.get(&names.server);
        let is_other = answerer.is_some_and(|it| it != name.as_str());
        if answer.status == StatusCode::MISDIRECTED_REQUEST && is_other {
            let mut state = self.state.borrow_mut();
            let stats = current_stats(&mut state.server_stats, server);
            stats.address_doubt.note_other_server(now);
            connection.note_refusal(&request.id);
            state.pool.put(connection, now);
            drop(state);
            guard.end = Some(CallEnd::Shed);
            self.log_send(request, name, "address-taken-over", None);
            return SendOutcome::Misdirected;
        }
        // Without a name, a refusal may be of another server as well.
        let is_known = answer.status != StatusCode::MISDIRECTED_REQUEST || answerer.is_some();
        if is_known && let Some(stats) = self.state.borrow_mut().server_stats.get_mut(name) {
            stats.address_doubt.note_reached();
        }
        if is_known
            && let Some(report) = self.format.load(&answer.headers)
            && let Some(stats) = self.state.borrow_mut().server_stats.get_mut(name)
        {
            stats.estimator.note_report(report, now);
            self.server_reports.record_local(name, report, now);
        }
        self.note_backpressure(server, &answer, now);
        let is_not_run = answer.headers.contains_key(&names.not_run);
        if is_not_run || answer.status == StatusCode::MISDIRECTED_REQUEST {
            connection.note_refusal(&request.id);
        }
        self.state.borrow_mut().pool.put(connection, now);
        let has_signature = answer.headers.contains_key(&names.signature);
        let is_encoded = answer.headers.contains_key(header::CONTENT_ENCODING);
        match answer.status.as_u16() {
            421 => {
                guard.end = Some(CallEnd::Shed);
                self.log_send(request, name, "misdirected", None);
                SendOutcome::Misdirected
            }
            _ if is_not_run => {
                guard.end = Some(CallEnd::Shed);
                self.log_send(request, name, "shed", None);
                SendOutcome::NotRun(NotRunReason::Shed)
            }
            200..=299 if has_signature && !is_encoded => {
                guard.end = Some(CallEnd::Answered(age));
                SendOutcome::Answered(answer)
            }
            200..=299 | 408 | 429 | 503 => {
                guard.end = Some(CallEnd::Failed);
                self.log_send(request, name, "answer-unusable", None);
                SendOutcome::Failed(UnknownReason::AnswerCut, None)
            }
            500..=599 => {
                guard.end = Some(CallEnd::Abandoned(age));
                self.log_send(request, name, "server-failed", None);
                SendOutcome::Failed(UnknownReason::ConnectionLost, Some(answer))
            }
            _ => {
                guard.end = Some(CallEnd::Answered(age));
                SendOutcome::Answered(answer)
            }
        }
    }

    /// Takes in what the answer asks of the server's callers, and logs changes.
    fn note_backpressure(&self, server: &CachedServer, answer: &HttpAnswer, now: MonoTime) {
        let CachedServer { entry, .. } = server;
        let names = self.format.headers();
        let is_named =
            answer.headers.get(&names.server).is_some_and(|it| it == entry.name.as_str());
        // Another server that has taken over the address answers so as well.
        if answer.status == StatusCode::MISDIRECTED_REQUEST && !is_named {
            return;
        }
        let signal = self.format.backpressure(answer.status, &answer.headers);
        let changed = self.backpressure.record_answer(&entry.name, entry.born, signal, now);
        let Some(state) = changed else {
            return;
        };
        for (label, is_asked) in [
            ("limit", signal.max_rate.is_some()),
            ("leaving", signal.is_leaving),
            ("pause", signal.pause.is_some()),
            ("none", signal == BackpressureSignal::default()),
        ] {
            let n_asked = u64::from(is_asked);
            self.metrics.backpressure_changes.with_label_values(&[label]).inc_by(n_asked);
        }
        info!(self.log, "backpressure-changed"; "server" => %entry.name, "service" => %entry.service,
            "max_rate" => state.max_rate(), "leaving" => state.leaving_since().is_some(),
            "pause_ms" => state.paused_until().since(now).as_millis() as u64);
    }

    /// Counts a request that is sent to a server that asks for less.
    fn count_backpressure_send(&self, server: &CachedServer, now: MonoTime) {
        let state = self.backpressure_of(server);
        for (label, is_asked) in [
            ("limit", state.max_rate().is_some()),
            ("leaving", state.leaving_since().is_some()),
            ("pause", state.paused_until() > now),
        ] {
            let n_asked = u64::from(is_asked);
            self.metrics.backpressure_sends.with_label_values(&[label, "sent"]).inc_by(n_asked);
        }
    }

    /// Builds the request that is sent to `server`, with what is left of its time.
    fn build_request(
        &self,
        request: &RequestState,
        original: &CallerRequest,
        server: &CachedServer,
        time_left: Duration,
    ) -> Request<Full<Bytes>> {
        let names = self.format.headers();
        let mut outgoing = Request::new(Full::new(original.body.clone()));
        *outgoing.method_mut() = original.method.clone();
        *outgoing.uri_mut() = original.uri.clone();
        let headers = outgoing.headers_mut();
        *headers = end_to_end_headers(&original.headers);
        // Only this process tells a server which team a request is of.
        headers.remove(&names.team);
        if request.identity.has_key {
            headers.remove(header::AUTHORIZATION);
        }
        if let Some(Ok(team)) = request.team_name().map(|it| it.as_str().parse()) {
            headers.insert(names.team.clone(), team);
        }
        headers.insert(names.time_left.clone(), HeaderValue::from(time_left.as_millis() as u64));
        if let Ok(value) = server.entry.name.as_str().parse() {
            headers.insert(names.expected_server.clone(), value);
        }
        headers.insert(names.request_id.clone(), request.id.clone());
        outgoing
    }

    fn log_send(
        &self,
        request: &RequestState,
        server: &ServerName,
        end: &'static str,
        error: Option<&ExchangeError>,
    ) {
        self.metrics.failed_sends.with_label_values(&[end]).inc();
        let cause = error.map(|it| it.error().to_string()).unwrap_or_default();
        info!(self.log, "send-ended"; "id" => request.id.to_str().unwrap_or("-"),
            "server" => %server, "end" => end, "n_sends" => request.n_sends,
            "age_ms" => self.clock.now().since(request.arrived).as_millis() as u64,
            "left_ms" => request.time_left(self.clock.now()).as_millis() as u64, "cause" => cause);
    }
}

/// Records the end of a call when dropped, so that calls whose caller disconnected count as
/// abandoned.
struct CallGuard<'a, F> {
    traffic: &'a TrafficServer<F>,
    server: ServerName,
    started: MonoTime,
    end: Option<CallEnd>,
}

impl<F> Drop for CallGuard<'_, F> {
    fn drop(&mut self) {
        let now = self.traffic.clock.now();
        let end = self.end.unwrap_or(CallEnd::Abandoned(now.since(self.started)));
        if let Some(stats) = self.traffic.state.borrow_mut().server_stats.get_mut(&self.server) {
            stats.estimator.finish(end, now);
        }
    }
}
