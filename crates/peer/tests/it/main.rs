//! Tests of the peer crate at its boundary, over loopback sockets.

#![allow(missing_docs, clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use model::{CallOutcome, Incarnation, NotRunReason};
use peer::{
    ByteCounter, ForwardReply, PeerClient, PeerReply, PeerRequest, PeerService, serve_peers,
};
use tokio::net::TcpListener;

const PATIENCE: Duration = Duration::from_secs(30);

#[derive(Clone)]
struct Echo;

impl PeerService for Echo {
    type Request = PeerRequest;

    async fn answer(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Hello => PeerReply::Hello(Incarnation(7)),
            PeerRequest::Forward(ask) if ask.body.is_empty() => {
                let outcome = CallOutcome::NotRun(NotRunReason::NotHome);
                PeerReply::Forward(ForwardReply::Failed { outcome, homes: 3 })
            }
            PeerRequest::Forward(ask) => PeerReply::Forward(ForwardReply::Answered {
                status: 200,
                headers: ask.headers,
                body: ask.body,
            }),
            _ => PeerReply::Unsupported,
        }
    }
}

async fn serve() -> (SocketAddr, tokio::task::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    (address, tokio::spawn(serve_peers(listener, Echo, ByteCounter::default(), log)))
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
async fn a_body_larger_than_the_window_arrives_whole() {
    let (address, _server) = serve().await;
    let body: Vec<u8> = (0..6 * 1_024 * 1_024).map(|it| it as u8).collect();
    let reply = client(address).call(&forward(body.clone()), PATIENCE).await.unwrap();
    let PeerReply::Forward(ForwardReply::Answered { body: returned, .. }) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(returned, body);
}

#[tokio::test]
async fn calls_on_one_connection_do_not_cross() {
    let (address, _server) = serve().await;
    let client = client(address);
    let mut calls = tokio::task::JoinSet::new();
    for n in 1..=200u8 {
        let client = client.clone();
        calls.spawn(async move {
            let reply = client.call(&forward(vec![n; n.into()]), PATIENCE).await.unwrap();
            matches!(reply, PeerReply::Forward(ForwardReply::Answered { body, .. })
                if body == vec![n; n.into()])
        });
    }
    while let Some(is_own) = calls.join_next().await {
        assert!(is_own.unwrap());
    }
}

#[tokio::test]
async fn nothing_is_sent_when_no_connection_can_be_made() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(client(address).ready().await.unwrap_err().step, "connect");
}

#[tokio::test]
async fn a_peer_that_returns_is_reached_on_a_fresh_connection() {
    let (address, server) = serve().await;
    let client = client(address);
    assert!(client.call(&PeerRequest::Hello, PATIENCE).await.is_ok());
    server.abort();
    client.reset_connection().await;
    let _ = server.await;
    assert!(client.call(&PeerRequest::Hello, PATIENCE).await.is_err());
    let listener = TcpListener::bind(address).await.unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    tokio::spawn(serve_peers(listener, Echo, ByteCounter::default(), log));
    assert!(client.call(&PeerRequest::Hello, PATIENCE).await.is_ok());
}
