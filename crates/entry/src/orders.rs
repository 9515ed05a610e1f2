//! Sends grant and release orders to servers that own keys.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use model::{MonoTime, StepError};
use ownership::{KeyRange, ServerInstance};
use settings::ProcessClock;
use tokio::time::timeout;

use crate::{AnswerBounds, ExchangeError, HttpAnswer, HttpConnection, ServerFormat};

/// Timeout of a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(600);

/// Outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server carried out the order; the answer to a release may contain hand-over data.
    Done(Option<String>),
    /// The server has already seen a larger token.
    Superseded,
    /// Another server answered at the address, so that this instance has ended.
    Gone,
    /// The server answered with another status.
    Rejected(StatusCode),
    /// No answer; the order may still be carried out.
    Silent(StepError),
    /// Not sent, because no connection could be opened or the open one had been closed before.
    NotSent(StepError),
    /// Not sent, because it was no longer allowed once a connection was open.
    Withdrawn,
    /// A renewal was not sent, because the connection on which this instance acknowledged the token
    /// is lost.
    LineLost,
    /// Not sent, because an earlier grant under the token had no answer.
    TokenSpent,
}

impl OrderOutcome {
    /// Whether the grant must be repeated under a larger token: the server has seen a larger one, or
    /// an earlier run of it may have accepted this one.
    pub fn needs_token(&self) -> bool {
        matches!(self, Self::Superseded | Self::Silent(_) | Self::LineLost | Self::TokenSpent)
    }
}

impl From<ExchangeError> for OrderOutcome {
    fn from(err: ExchangeError) -> Self {
        match err {
            ExchangeError::Closed(err)
            | ExchangeError::Broken(err)
            | ExchangeError::TooLong(err)
            | ExchangeError::Stalled(err) => Self::Silent(err),
            ExchangeError::Refused(err) | ExchangeError::NotConnected(err) => Self::NotSent(err),
        }
    }
}

/// Sends orders; keeps one connection to each instance of a server.
///
/// A grant that repeats a token is sent only on the connection on which the instance has acknowledged
/// that token, because a server that restarted under the same name must not be granted an old one.
#[derive(Debug, Clone)]
pub struct OrderSender<F> {
    format: F,
    clock: ProcessClock,
    /// Bounds of the answers.
    bounds: AnswerBounds,
    connections: Rc<RefCell<BTreeMap<ServerInstance, OrderConnection>>>,
}

/// An open connection to one instance, which therefore still runs.
#[derive(Debug)]
struct OrderConnection {
    connection: HttpConnection,
    /// Tokens under which the instance has acknowledged grants on it; the oldest are dropped.
    acked_tokens: Vec<u64>,
}

/// Most tokens that are kept for a connection.
const MAX_ACKED_TOKENS: usize = 128;

impl OrderConnection {
    fn note_acked(&mut self, token: u64) {
        if self.acked_tokens.contains(&token) {
            return;
        }
        if self.acked_tokens.len() >= MAX_ACKED_TOKENS {
            self.acked_tokens.remove(0);
        }
        self.acked_tokens.push(token);
    }
}

/// Whether a grant repeats a token that the server has acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantKind {
    /// No grant of the token has been acknowledged yet.
    First,
    /// The instance has acknowledged the token before.
    Renewal,
}

/// A grant of keys to one server.
#[derive(Debug, Clone, Copy)]
pub struct GrantOrder<'a> {
    /// The keys.
    pub range: KeyRange,
    /// Fencing token.
    pub token: u64,
    /// Time for which the server may process requests for the keys, from the arrival of the order.
    pub hold: Duration,
    /// Hand-over data of the last holder.
    pub handover: Option<&'a str>,
    /// Whether the token is new to the server.
    pub kind: GrantKind,
}

impl<F: ServerFormat> OrderSender<F> {
    /// Creates a sender without open connections, to which servers may answer within these bounds.
    pub fn new(format: F, clock: ProcessClock, bounds: AnswerBounds) -> Self {
        Self { format, clock, bounds, connections: Rc::default() }
    }

    /// Sends a grant to `instance` if `may_send` still allows it once a connection is open, which may
    /// take as long as a connection attempt may.
    pub async fn grant(
        &self,
        instance: &ServerInstance,
        order: GrantOrder<'_>,
        may_send: impl FnOnce(MonoTime) -> bool,
    ) -> OrderOutcome {
        let GrantOrder { range, token, hold, handover, kind } = order;
        let now = self.clock.now();
        let pooled = self.connections.borrow_mut().remove(instance);
        let pooled = pooled.filter(|it| it.connection.is_usable(now));
        let mut line = match (pooled, kind) {
            (Some(it), GrantKind::First) => it,
            (Some(it), GrantKind::Renewal) if it.acked_tokens.contains(&token) => it,
            (pooled, GrantKind::Renewal) => {
                let mut connections = self.connections.borrow_mut();
                connections.extend(pooled.map(|it| (instance.clone(), it)));
                return OrderOutcome::LineLost;
            }
            (None, GrantKind::First) => match self.open(instance).await {
                Ok(connection) => OrderConnection { connection, acked_tokens: Vec::new() },
                Err(err) => return err.into(),
            },
        };
        if !may_send(self.clock.now()) {
            return OrderOutcome::Withdrawn;
        }
        let request = self.request(instance, self.format.grant(range, token, hold, handover));
        let answer = match self.exchange(&mut line.connection, request, GRANT_TIMEOUT).await {
            Ok(it) => it,
            Err(err) => return err.into(),
        };
        let outcome = self.outcome(instance, &answer);
        if matches!(outcome, OrderOutcome::Done(_)) {
            line.note_acked(token);
        }
        let is_closing = answer.headers.get(header::CONNECTION).is_some_and(|it| it == "close");
        if !is_closing {
            self.connections.borrow_mut().insert(instance.clone(), line);
        }
        outcome
    }

    /// Revokes `range` from `instance` if `may_send` still allows it once a connection is open; the
    /// server answers when its requests in flight have ended.
    pub async fn release(
        &self,
        instance: &ServerInstance,
        range: KeyRange,
        token: u64,
        max_wait: Duration,
        may_send: impl FnOnce(MonoTime) -> bool,
    ) -> OrderOutcome {
        let mut connection = match self.open(instance).await {
            Ok(it) => it,
            Err(err) => return err.into(),
        };
        if !may_send(self.clock.now()) {
            return OrderOutcome::Withdrawn;
        }
        let request = self.request(instance, self.format.release(range, token));
        match self.exchange(&mut connection, request, max_wait).await {
            Ok(answer) => self.outcome(instance, &answer),
            Err(err) => err.into(),
        }
    }

    async fn open(&self, instance: &ServerInstance) -> Result<HttpConnection, ExchangeError> {
        HttpConnection::open(instance.address, self.bounds.clone()).await
    }

    async fn exchange(
        &self,
        connection: &mut HttpConnection,
        request: Request<Full<bytes::Bytes>>,
        max_wait: Duration,
    ) -> Result<HttpAnswer, ExchangeError> {
        let clock = self.clock;
        let res = timeout(max_wait, connection.exchange(request, move || clock.now())).await;
        res.unwrap_or_else(|_| {
            Err(ExchangeError::Broken(StepError::new("order", "server", "no answer")))
        })
    }

    fn outcome(&self, instance: &ServerInstance, answer: &HttpAnswer) -> OrderOutcome {
        let names = self.format.headers();
        let text = |name| answer.headers.get(name).and_then(|it| it.to_str().ok());
        let handover = text(&names.handover).map(str::to_owned);
        // Orders name the expected server, and another server answers 421. A server that owns no
        // keys takes the order for a caller's request without an id and answers 400.
        let is_other_server = text(&names.server).is_some_and(|it| it != instance.server.as_str())
            || answer.status == StatusCode::MISDIRECTED_REQUEST
            || (answer.status == StatusCode::BAD_REQUEST
                && answer.headers.contains_key(&names.not_run));
        match answer.status {
            _ if is_other_server => OrderOutcome::Gone,
            StatusCode::OK => OrderOutcome::Done(handover),
            StatusCode::CONFLICT => OrderOutcome::Superseded,
            status => OrderOutcome::Rejected(status),
        }
    }

    fn request(
        &self,
        instance: &ServerInstance,
        (path, body): (&'static str, bytes::Bytes),
    ) -> Request<Full<bytes::Bytes>> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(path);
        let headers = request.headers_mut();
        headers.insert(header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
        if let Ok(value) = instance.address.to_string().parse() {
            headers.insert(header::HOST, value);
        }
        if let Ok(value) = instance.server.as_str().parse() {
            headers.insert(self.format.headers().expected_server.clone(), value);
        }
        request
    }
}

/// Time by which a grant that is sent at `sent_at` has arrived, or never will: its connection is reset
/// when it is not answered in time.
pub fn latest_arrival(sent_at: MonoTime) -> MonoTime {
    sent_at + GRANT_TIMEOUT + TRANSIT_MARGIN
}

/// Time by which a hold that began at `arrived_at` or before has certainly expired at a server with a
/// slow clock.
pub fn hold_end(arrived_at: MonoTime, hold: Duration) -> MonoTime {
    arrived_at + hold.div_f64(1.0 - MAX_CLOCK_DRIFT)
}

/// By how much a server's clock may be slow, as a fraction.
const MAX_CLOCK_DRIFT: f64 = 0.02;

/// Allowance for an order that has left this VM when its connection is reset.
pub const TRANSIT_MARGIN: Duration = Duration::from_millis(400);
