//! Orders to servers that own keys: grants and releases.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use model::{MonoTime, StepError};
use ownership::{KeyRange, ServerInstance};
use settings::ProcessClock;
use tokio::time::timeout;

use crate::{ExchangeError, HttpAnswer, HttpConnection, ServerFormat};

/// Longest wait for the answer to a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(600);

/// How an order ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEnd {
    /// The server did as told; a release may bring a hand-over.
    Done(Option<String>),
    /// The server has seen a larger token.
    Superseded,
    /// Another server answers at the address: the life has ended.
    Gone,
    /// The server answered something else.
    Rejected(StatusCode),
    /// No answer; the order may be carried out later.
    Silent(StepError),
    /// Not sent, as there was no connection.
    NotSent(StepError),
    /// The connection over which this life was last known to answer is gone.
    LineLost,
}

/// Sends orders; keeps one connection to each life of a server.
///
/// A grant that repeats a token is sent only over a connection on which that life has answered
/// before, as a server that started again under its name must not be given an old token.
#[derive(Debug, Clone)]
pub struct OrderSender<F> {
    format: F,
    clock: ProcessClock,
    lines: Rc<RefCell<BTreeMap<ServerInstance, HttpConnection>>>,
}

/// Whether a grant repeats an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantKind {
    /// The token is sent to this life for the first time.
    First,
    /// The token was granted to this life before.
    Renewal,
}

impl<F: ServerFormat> OrderSender<F> {
    /// A sender without connections.
    pub fn new(format: F, clock: ProcessClock) -> Self {
        Self { format, clock, lines: Rc::default() }
    }

    /// Grants `range` to `instance`; `on_send` is called once the order is about to be sent.
    #[allow(clippy::too_many_arguments, reason = "each is one field of the order")]
    pub async fn grant(
        &self,
        instance: &ServerInstance,
        range: KeyRange,
        token: u64,
        hold: Duration,
        handover: Option<&str>,
        kind: GrantKind,
        on_send: impl FnOnce(),
    ) -> OrderEnd {
        let held = self.lines.borrow_mut().remove(instance);
        let now = self.clock.now();
        let held = held.filter(|it| it.is_usable(now));
        let connection = match (held, kind) {
            (Some(it), _) => Ok(it),
            (None, GrantKind::Renewal) => return OrderEnd::LineLost,
            (None, GrantKind::First) => HttpConnection::open(instance.address).await,
        };
        let request = self.request(instance, self.format.grant(range, token, hold, handover));
        if connection.is_ok() {
            on_send();
        }
        self.send(instance, connection, request, GRANT_TIMEOUT).await
    }

    /// Takes `range` back from `instance`; the answer comes when the work under way has ended.
    pub async fn release(
        &self,
        instance: &ServerInstance,
        range: KeyRange,
        token: u64,
        patience: Duration,
    ) -> OrderEnd {
        let connection = HttpConnection::open(instance.address).await;
        let request = self.request(instance, self.format.release(range, token));
        let end = self.exchange(connection, request, patience).await;
        match end {
            Ok((answer, _)) => self.order_end(instance, &answer),
            Err(fault) => OrderEnd::Silent(fault.error().clone()),
        }
    }

    async fn send(
        &self,
        instance: &ServerInstance,
        connection: Result<HttpConnection, ExchangeError>,
        request: Request<Full<bytes::Bytes>>,
        patience: Duration,
    ) -> OrderEnd {
        match self.exchange(connection, request, patience).await {
            Ok((answer, connection)) => {
                let closes = answer.headers.get(header::CONNECTION).is_some_and(|it| it == "close");
                if !closes {
                    self.lines.borrow_mut().insert(instance.clone(), connection);
                }
                self.order_end(instance, &answer)
            }
            Err(ExchangeError::Broken(err)) => OrderEnd::Silent(err),
            Err(fault) => OrderEnd::NotSent(fault.error().clone()),
        }
    }

    async fn exchange(
        &self,
        connection: Result<HttpConnection, ExchangeError>,
        request: Request<Full<bytes::Bytes>>,
        patience: Duration,
    ) -> Result<(HttpAnswer, HttpConnection), ExchangeError> {
        let mut connection = connection?;
        let clock = self.clock;
        let res = timeout(patience, connection.exchange(request, move || clock.now())).await;
        match res {
            Ok(answer) => Ok((answer?, connection)),
            Err(_) => Err(ExchangeError::Broken(StepError::new("order", "server", "no answer"))),
        }
    }

    fn order_end(&self, instance: &ServerInstance, answer: &HttpAnswer) -> OrderEnd {
        let names = self.format.headers();
        let text = |name| answer.headers.get(name).and_then(|it| it.to_str().ok());
        let handover = text(&names.handover).map(str::to_owned);
        // Orders name their server, and any other answers as to a misdirected request; one that
        // takes the order for a caller's request without an id owns no keys.
        let is_other = text(&names.server).is_some_and(|it| it != instance.server.as_str())
            || answer.status == StatusCode::MISDIRECTED_REQUEST
            || (answer.status == StatusCode::BAD_REQUEST
                && answer.headers.contains_key(&names.not_run));
        match answer.status {
            _ if is_other => OrderEnd::Gone,
            StatusCode::OK => OrderEnd::Done(handover),
            StatusCode::CONFLICT => OrderEnd::Superseded,
            status => OrderEnd::Rejected(status),
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

/// When a grant sent at `sent_at` has surely ended at the server, whose clock may be slow.
pub fn hold_end(sent_at: MonoTime, hold: Duration) -> MonoTime {
    sent_at + hold.mul_f64(1.0 + CLOCK_DRIFT) + HOLD_MARGIN
}

/// How much slower a server's clock may run.
const CLOCK_DRIFT: f64 = 0.02;

/// Time on the way and for waking up.
const HOLD_MARGIN: Duration = Duration::from_millis(400);
