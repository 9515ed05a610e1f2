//! Tests of the public interface of the peer crate, over loopback sockets.

#![allow(missing_docs, clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use model::{CallOutcome, Incarnation, NotRunReason};
use peer::{
    ByteCounter, ForwardReply, PeerClient, PeerReply, PeerRequest, PeerService, serve_peers,
};
use tokio::net::TcpListener;

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Clone)]
struct EchoService;

impl PeerService for EchoService {
    type Request = PeerRequest;

    async fn answer(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Hello => PeerReply::Hello(Incarnation(7)),
            PeerRequest::Forward(request) if request.body.is_empty() => {
                let outcome = CallOutcome::NotRun(NotRunReason::NotHome);
                PeerReply::Forward(ForwardReply::Failed { outcome, homes: 3 })
            }
            PeerRequest::Forward(request) => PeerReply::Forward(ForwardReply::Answered {
                status: 200,
                headers: request.headers,
                body: request.body,
            }),
            _ => PeerReply::Unsupported,
        }
    }
}

async fn serve() -> (SocketAddr, tokio::task::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    (address, tokio::spawn(serve_peers(listener, EchoService, ByteCounter::default(), log)))
}

fn client(address: SocketAddr) -> PeerClient {
    PeerClient::new(address, address.ip(), ByteCounter::default())
}

fn forward(body: Vec<u8>) -> PeerRequest {
    PeerRequest::Forward(peer::ForwardRequest {
        id: "r-1".to_owned().try_into().unwrap(),
        service: "queue".try_into().unwrap(),
        key: "k".to_owned(),
        method: "POST".to_owned(),
        path: "/queue/k".to_owned(),
        headers: vec![("a".to_owned(), "b".to_owned())],
        body: Bytes::from(body),
        deadline_left: Duration::from_millis(5),
        homes: 1,
        cause: peer::ForwardCause::Home,
    })
}

#[tokio::test]
async fn body_larger_than_the_window_arrives_complete() {
    let (address, _server) = serve().await;
    let body: Vec<u8> = (0..6 * 1_024 * 1_024).map(|it| it as u8).collect();
    let reply = client(address).call(&forward(body.clone()), CALL_TIMEOUT).await.unwrap();
    let PeerReply::Forward(ForwardReply::Answered { body: returned, .. }) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(returned, body);
}

#[tokio::test]
async fn concurrent_calls_on_one_connection_get_their_own_replies() {
    let (address, _server) = serve().await;
    let client = client(address);
    let mut calls = tokio::task::JoinSet::new();
    for n in 1..=200u8 {
        let client = client.clone();
        calls.spawn(async move {
            let reply = client.call(&forward(vec![n; n.into()]), CALL_TIMEOUT).await.unwrap();
            matches!(reply, PeerReply::Forward(ForwardReply::Answered { body, .. })
                if body == vec![n; n.into()])
        });
    }
    while let Some(is_own_reply) = calls.join_next().await {
        assert!(is_own_reply.unwrap());
    }
}

#[tokio::test]
async fn failed_connection_is_reported_before_anything_is_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(client(address).ready().await.unwrap_err().step, "connect");
}

#[tokio::test]
async fn client_reconnects_to_a_restarted_peer() {
    let (address, server) = serve().await;
    let client = client(address);
    assert!(client.call(&PeerRequest::Hello, CALL_TIMEOUT).await.is_ok());
    server.abort();
    client.reset_connection().await;
    let _ = server.await;
    assert!(client.call(&PeerRequest::Hello, CALL_TIMEOUT).await.is_err());
    let listener = TcpListener::bind(address).await.unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    tokio::spawn(serve_peers(listener, EchoService, ByteCounter::default(), log));
    assert!(client.call(&PeerRequest::Hello, CALL_TIMEOUT).await.is_ok());
}

/// Guards against messages that are decoded into something else, as a VM of another release encodes
/// them otherwise: both sides refuse them.
#[tokio::test]
async fn messages_of_a_peer_with_another_encoding_are_refused() {
    let (address, server) = serve().await;
    for encoding in [None, Some("1")] {
        let stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let (mut sender, connection) = h2::client::handshake(stream).await.unwrap();
        let connection = tokio::spawn(connection);
        let mut request = http::Request::post(format!("http://{address}/"));
        if let Some(encoding) = encoding {
            request = request.header("jackdaw-encoding", encoding);
        }
        let (response, mut stream) = sender.send_request(request.body(()).unwrap(), false).unwrap();
        stream.send_data(Bytes::from_static(&[0]), true).unwrap();
        assert_eq!(response.await.unwrap().status(), http::StatusCode::BAD_REQUEST);
        connection.abort();
    }
    server.abort();

    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let earlier_release = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut connection = h2::server::handshake(stream).await.unwrap();
        while let Some(Ok((_, mut respond))) = connection.accept().await {
            let mut stream = respond.send_response(http::Response::new(()), false).unwrap();
            // Its encoding of `PeerReply::Hello`.
            stream.send_data(Bytes::from_static(&[0, 7]), true).unwrap();
        }
    });
    let error = client(address).call(&PeerRequest::Hello, CALL_TIMEOUT).await.unwrap_err();
    assert_eq!(error.step, "check-encoding");
    earlier_release.abort();
}
