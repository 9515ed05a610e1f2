//! HTTP/1.1 client of backend servers, with one request at a time on each connection.

use std::{error::Error, io::ErrorKind, net::IpAddr, time::Duration};

use model::{CallOutcome, NotRunReason, UnknownReason};
use ownership::{GrantOutcome, GrantRequest};
use reqwest::{Method, RequestBuilder};

use crate::{
    BackendClient, CallError, DEADLINE_HEADER, GrantBody, GrantReply, REQUEST_ID_HEADER,
    SLICE_HEADER, ServerAnswer, ServerEndpoint, ServerRequest, TOKEN_HEADER,
    answer::read_answer,
    pools::{ServerPools, new_client},
};

/// Timeout of a grant or a probe.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(200);

/// Client of all backend servers. Requests and grants use separate connection pools.
#[derive(Debug, Clone)]
pub struct HttpBackend {
    local: IpAddr,
    request_pools: ServerPools,
    grant_pools: ServerPools,
}

impl HttpBackend {
    /// Creates a client that connects from the local address `local`.
    pub fn new(local: IpAddr) -> Self {
        Self { local, request_pools: ServerPools::new(local), grant_pools: ServerPools::new(local) }
    }
}

impl BackendClient for HttpBackend {
    async fn call(
        &self,
        server: &ServerEndpoint,
        request: ServerRequest,
    ) -> Result<ServerAnswer, CallError> {
        let connect_failed = CallOutcome::NotRun(NotRunReason::ConnectFailed);
        let client = self.request_pools.pool(server).map_err(|_| CallError::new(connect_failed))?;
        let (id, method) = (request.id.clone(), request.method.clone());
        let Some(builder) = build_request(&client, server, request) else {
            return Err(CallError::new(CallOutcome::NotRun(NotRunReason::BadRequest)));
        };
        match builder.send().await {
            Ok(response) => read_answer(response, &id, &method).await,
            Err(err) if err.is_connect() => Err(CallError {
                outcome: connect_failed,
                is_connection_refused: is_connection_refused(&err),
                load: None,
            }),
            Err(_) => Err(CallError::new(CallOutcome::Unknown(UnknownReason::ConnectionLost))),
        }
    }

    async fn grant(&self, server: &ServerEndpoint, request: GrantRequest) -> GrantOutcome {
        let Ok(client) = self.grant_pools.pool(server) else {
            return GrantOutcome::Silent;
        };
        let url = format!("http://{}/_server/grants", server.address);
        let body = GrantBody::from(request);
        let res = client.post(url).json(&body).timeout(CONTROL_TIMEOUT).send().await;
        match res {
            Ok(response) => match response.json::<GrantReply>().await {
                Ok(reply) => reply.into(),
                Err(_) => GrantOutcome::Silent,
            },
            Err(err) if is_connection_refused(&err) => GrantOutcome::Refused,
            Err(_) => GrantOutcome::Silent,
        }
    }

    async fn probe(&self, server: &ServerEndpoint) -> GrantOutcome {
        let Ok(client) = new_client(self.local, server) else {
            return GrantOutcome::Silent;
        };
        let url = format!("http://{}/_server/health", server.address);
        match client.get(url).timeout(CONTROL_TIMEOUT).send().await {
            Ok(_) => GrantOutcome::Acked {
                term: model::Term::default(),
                set_version: 0,
                basis: String::new(),
            },
            Err(err) if is_connection_refused(&err) => GrantOutcome::Refused,
            Err(_) => GrantOutcome::Silent,
        }
    }

    fn reset_connections(&self, server: &ServerEndpoint) {
        self.request_pools.drop_pool(server);
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

/// Whether the cause is a refused connection: the host is up, but nothing listens at the address.
fn is_connection_refused(err: &reqwest::Error) -> bool {
    let mut source = err.source();
    while let Some(cause) = source {
        if let Some(io_error) = cause.downcast_ref::<std::io::Error>()
            && io_error.kind() == ErrorKind::ConnectionRefused
        {
            return true;
        }
        source = cause.source();
    }
    false
}
