//! Server side of the calls between processes.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use model::StepError;
use slog::{Logger, debug};
use tokio::net::{TcpListener, TcpStream};

use crate::{ByteCounter, TypedRequest, codec};

/// HTTP/2 receive window of a stream and of a connection.
pub(crate) const WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// Delay after a failed accept, so that a lasting error does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Requests that one connection may have open.
const MAX_CONCURRENT_STREAMS: u32 = 4_096;

/// Handler of the requests that a process receives from its peers.
pub trait PeerService: Clone + Send + Sync + 'static {
    /// Requests that the process can receive.
    type Request: TypedRequest;

    /// Handles one request and returns its reply.
    fn answer(
        &self,
        request: Self::Request,
    ) -> impl Future<Output = <Self::Request as TypedRequest>::Reply> + Send;
}

/// Accepts and serves connections until the future is dropped; connections already accepted go on.
pub async fn serve_peers<S: PeerService>(
    listener: TcpListener,
    service: S,
    bytes: ByteCounter,
    log: Logger,
) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let _ = socket.set_nodelay(true);
                let task = serve_connection(socket, service.clone(), bytes.clone(), log.clone());
                tokio::spawn(task);
            }
            Err(err) => {
                debug!(log, "peer-accept-failed"; "cause" => %err);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<S: PeerService>(
    socket: TcpStream,
    service: S,
    bytes: ByteCounter,
    log: Logger,
) {
    let handshake = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .handshake::<_, Bytes>(socket)
        .await;
    let mut connection = match handshake {
        Ok(connection) => connection,
        Err(err) => {
            debug!(log, "peer-handshake-failed"; "cause" => %err);
            return;
        }
    };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let (service, bytes, log) = (service.clone(), bytes.clone(), log.clone());
        tokio::spawn(async move {
            if let Err(err) = serve_stream(request, respond, service, bytes).await {
                debug!(log, "peer-stream-failed"; "step" => err.step, "cause" => err.cause);
            }
        });
    }
}

async fn serve_stream<S: PeerService>(
    request: http::Request<h2::RecvStream>,
    mut respond: h2::server::SendResponse<Bytes>,
    service: S,
    bytes: ByteCounter,
) -> Result<(), StepError> {
    let mut head = http::Response::new(());
    let encoding = http::HeaderValue::from_static(codec::ENCODING);
    head.headers_mut().insert(codec::ENCODING_HEADER, encoding);
    if let Err(err) = codec::check_encoding(request.headers()) {
        *head.status_mut() = http::StatusCode::BAD_REQUEST;
        respond.send_response(head, true).map_err(|err| StepError::new("respond", "peer", err))?;
        return Err(err);
    }
    let body = codec::read_body(request.into_body()).await?;
    bytes.add(body.len());
    let reply = service.answer(codec::decode(&body)?).await;
    let body = codec::encode(&reply)?;
    bytes.add(body.len());
    let stream =
        respond.send_response(head, false).map_err(|err| StepError::new("respond", "peer", err))?;
    codec::write_body(stream, body).await
}
