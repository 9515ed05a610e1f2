//! Backend servers over HTTP/1.1, one request at a time on each connection.

use std::{error::Error, io::ErrorKind, net::IpAddr, time::Duration};

use model::{CallOutcome, NotRunReason, UnknownReason};
use ownership::{GrantOutcome, GrantRequest};
use reqwest::{Method, RequestBuilder};

use crate::{
    BackendClient, CallError, DEADLINE_HEADER, GrantBody, GrantReply, REQUEST_ID_HEADER,
    SLICE_HEADER, ServerAnswer, ServerEndpoint, ServerRequest, TOKEN_HEADER,
    answer::read_answer,
    pools::{PoolBook, fresh_client},
};

/// Longest wait for the answer to a grant or a probe.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(200);

/// Calls backend servers from one local address.
#[derive(Debug, Clone)]
pub struct HttpBackend {
    local: IpAddr,
    calls: PoolBook,
    control: PoolBook,
}

impl HttpBackend {
    /// An adapter that calls from `local`.
    pub fn new(local: IpAddr) -> Self {
        Self { local, calls: PoolBook::new(local), control: PoolBook::new(local) }
    }
}

impl BackendClient for HttpBackend {
    async fn call(
        &self,
        server: &ServerEndpoint,
        request: ServerRequest,
    ) -> Result<ServerAnswer, CallError> {
        let connect_failed = CallOutcome::NotRun(NotRunReason::ConnectFailed);
        let client = self.calls.pool(server).map_err(|_| CallError::of(connect_failed))?;
        let (id, method) = (request.id.clone(), request.method.clone());
        let Some(builder) = build_request(&client, server, request) else {
            return Err(CallError::of(CallOutcome::NotRun(NotRunReason::BadRequest)));
        };
        match builder.send().await {
            Ok(response) => read_answer(response, &id, &method).await,
            Err(err) if err.is_connect() => {
                Err(CallError { outcome: connect_failed, is_refused: is_refused(&err), load: None })
            }
            Err(_) => Err(CallError::of(CallOutcome::Unknown(UnknownReason::ConnectionLost))),
        }
    }

    async fn grant(&self, server: &ServerEndpoint, order: GrantRequest) -> GrantOutcome {
        let Ok(client) = self.control.pool(server) else {
            return GrantOutcome::Silent;
        };
        let url = format!("http://{}/_server/grants", server.address);
        let body = GrantBody::from(order);
        let res = client.post(url).json(&body).timeout(CONTROL_TIMEOUT).send().await;
        match res {
            Ok(response) => match response.json::<GrantReply>().await {
                Ok(reply) => reply.into(),
                Err(_) => GrantOutcome::Silent,
            },
            Err(err) if is_refused(&err) => GrantOutcome::Refused,
            Err(_) => GrantOutcome::Silent,
        }
    }

    async fn probe(&self, server: &ServerEndpoint) -> GrantOutcome {
        let Ok(client) = fresh_client(self.local, server) else {
            return GrantOutcome::Silent;
        };
        let url = format!("http://{}/_server/health", server.address);
        match client.get(url).timeout(CONTROL_TIMEOUT).send().await {
            Ok(_) => GrantOutcome::Acked {
                term: model::Term::default(),
                set_version: 0,
                basis: String::new(),
            },
            Err(err) if is_refused(&err) => GrantOutcome::Refused,
            Err(_) => GrantOutcome::Silent,
        }
    }

    fn reset_connections(&self, server: &ServerEndpoint) {
        self.calls.drop_pool(server);
    }
}

fn build_request(
    client: &reqwest::Client,
    server: &ServerEndpoint,
    request: ServerRequest,
) -> Option<RequestBuilder> {
    let method = Method::from_bytes(request.method.as_bytes()).ok()?;
    let url = format!("http://{}{}", server.address, request.path);
    let mut builder = client.request(method, url).body(request.body);
    for (name, value) in &request.headers {
        builder = builder.header(name, value);
    }
    builder = builder
        .header(REQUEST_ID_HEADER, request.id.as_str())
        .header(DEADLINE_HEADER, request.deadline_left.as_millis() as u64);
    if let Some((slice, token)) = request.slice {
        builder =
            builder.header(SLICE_HEADER, slice.to_string()).header(TOKEN_HEADER, token.to_string());
    }
    Some(builder)
}

/// Whether the server's host said that nothing listens there.
fn is_refused(err: &reqwest::Error) -> bool {
    let mut source = err.source();
    while let Some(cause) = source {
        if let Some(io) = cause.downcast_ref::<std::io::Error>()
            && io.kind() == ErrorKind::ConnectionRefused
        {
            return true;
        }
        source = cause.source();
    }
    false
}
