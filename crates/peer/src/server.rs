//! Serving other processes.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use model::StepError;
use slog::{Logger, debug};
use tokio::net::{TcpListener, TcpStream};

use crate::{ByteCounter, TypedRequest, codec};

/// Receive window of a stream and of a connection.
pub(crate) const WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a process answers to its peers.
pub trait PeerService: Clone + Send + Sync + 'static {
    /// What it is asked.
    type Request: TypedRequest;

    /// Answers one request.
    fn answer(
        &self,
        request: Self::Request,
    ) -> impl Future<Output = <Self::Request as TypedRequest>::Reply> + Send;
}

/// Serves peers until the future is dropped.
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
                tokio::time::sleep(ACCEPT_PAUSE).await;
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
        .max_concurrent_streams(4_096)
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
    let body = codec::read_body(request.into_body()).await?;
    bytes.add(body.len());
    let reply = service.answer(codec::decode(&body)?).await;
    let body = codec::encode(&reply)?;
    bytes.add(body.len());
    let stream = respond
        .send_response(http::Response::new(()), false)
        .map_err(|err| StepError::new("respond", "peer", err))?;
    codec::write_body(stream, body).await
}
