//! Behavior of the entry's HTTP connections as peers observe it.

use std::{io::ErrorKind, time::Duration};

use bytes::Bytes;
use entry::{AnswerBounds, ByteBudget, ExchangeError, HttpConnection};
use http::Request;
use model::MonoTime;
use settings::ProcessClock;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::LocalSet,
    time::timeout,
};

/// Limit on answers; no answer of these tests comes near it unless it says so.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

fn bounds() -> AnswerBounds {
    let budget = ByteBudget::new(2 * MAX_ANSWER_BYTES);
    AnswerBounds { max_bytes: MAX_ANSWER_BYTES, budget }
}

/// A connection and the socket of its peer.
async fn open_connection() -> (HttpConnection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("address");
    let connection = HttpConnection::open(address, bounds()).await.expect("open");
    let (peer, _) = listener.accept().await.expect("accepted");
    (connection, peer)
}

/// Guards against late delivery of a cancelled grant: a plain close let the buffered grant arrive
/// after a partition, so the connection must be reset.
#[tokio::test(flavor = "current_thread")]
async fn dropping_an_exchange_resets_its_connection() {
    LocalSet::new()
        .run_until(async {
            let (mut connection, mut peer) = open_connection().await;
            let request = Request::new(Bytes::from_static(b"order").into());
            let exchange = connection.exchange(request, MonoTime::default);
            let res = timeout(Duration::from_millis(50), exchange).await;
            assert!(res.is_err(), "nobody answers");
            drop(connection);
            let mut received = Vec::new();
            let end = peer.read_to_end(&mut received).await;
            assert_eq!(end.map_err(|it| it.kind()), Err(ErrorKind::ConnectionReset));
        })
        .await;
}

/// Guards against failing a non-idempotent request, such as a payment, that was never sent: a
/// server may close an idle connection just before the request.
#[tokio::test(flavor = "current_thread")]
async fn a_request_on_a_closed_connection_counts_as_not_sent() {
    LocalSet::new()
        .run_until(async {
            let (mut connection, peer) = open_connection().await;
            drop(peer);
            tokio::time::sleep(Duration::from_millis(20)).await;
            let request = Request::new(Bytes::from_static(b"order").into());
            let end = connection.exchange(request, MonoTime::default).await;
            assert!(matches!(end, Err(ExchangeError::NotConnected(_))), "{end:?}");
        })
        .await;
}

/// Bytes of resident memory of this process.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").expect("readable");
    let pages = text.split(' ').nth(1).and_then(|it| it.parse::<usize>().ok()).expect("a number");
    pages * 4_096
}

/// Guards against the end of a VM's memory: an answer without end was collected until its peer
/// stopped.
#[tokio::test(flavor = "current_thread")]
async fn an_answer_without_end_takes_no_more_memory_than_its_limit() {
    const MAX_GROWTH_BYTES: usize = 16 * 1024 * 1024;
    let heads: [&[u8]; 3] = [
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 10000000000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Filler: ",
    ];
    for head in heads {
        LocalSet::new()
            .run_until(async {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
                let address = listener.local_addr().expect("address");
                let sender = tokio::task::spawn_local(async move {
                    let (mut peer, _) = listener.accept().await.expect("accepted");
                    let mut n_sent = peer.write(head).await.expect("sent");
                    let filler = [b'x'; 16 * 1024];
                    while n_sent < 1024 * 1024 * 1024 {
                        match peer.write(&filler).await {
                            Ok(n_bytes) => n_sent += n_bytes,
                            Err(_) => break,
                        }
                    }
                    n_sent
                });
                let before = resident_bytes();
                let mut connection = HttpConnection::open(address, bounds()).await.expect("open");
                let request = Request::new(Bytes::from_static(b"request").into());
                let end = connection.exchange(request, MonoTime::default).await;
                let Err(ExchangeError::TooLong(err)) = end else { panic!("{end:?}") };
                assert!(err.to_string().contains("bytes received"), "{err}");
                drop(connection);
                let n_sent = sender.await.expect("joined");
                assert!(n_sent < MAX_GROWTH_BYTES, "the peer could send {n_sent} bytes");
                let growth = resident_bytes().saturating_sub(before);
                assert!(growth < MAX_GROWTH_BYTES, "memory grew by {growth} bytes");
            })
            .await;
    }
}

/// The head shows when the peer answered; a long body arrives later.
#[tokio::test(flavor = "current_thread")]
async fn an_answer_tells_when_its_head_had_arrived() {
    LocalSet::new()
        .run_until(async {
            let (mut connection, mut peer) = open_connection().await;
            tokio::spawn(async move {
                let head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
                peer.write_all(head.as_bytes()).await.expect("written");
                tokio::time::sleep(Duration::from_millis(300)).await;
                peer.write_all(b"slow").await.expect("written");
                tokio::time::sleep(Duration::from_millis(300)).await;
            });
            let clock = ProcessClock::default();
            let request = Request::new(Bytes::from_static(b"read").into());
            let answer = connection.exchange(request, || clock.now()).await.expect("answered");
            let body_time = clock.now().since(answer.head_at);
            assert!(body_time >= Duration::from_millis(250), "{body_time:?}");
        })
        .await;
}
