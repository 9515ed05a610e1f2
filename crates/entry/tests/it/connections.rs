//! Behavior of the entry's HTTP connections as peers observe it.

use std::{io::ErrorKind, time::Duration};

use bytes::Bytes;
use entry::{ExchangeError, HttpConnection};
use http::Request;
use model::MonoTime;
use tokio::{io::AsyncReadExt, net::TcpListener, task::LocalSet, time::timeout};

/// Guards against late delivery of a cancelled grant: a plain close let the buffered grant arrive
/// after a partition, so the connection must be reset.
#[tokio::test(flavor = "current_thread")]
async fn dropping_an_exchange_resets_its_connection() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
            let address = listener.local_addr().expect("address");
            let mut connection = HttpConnection::open(address).await.expect("open");
            let (mut peer, _) = listener.accept().await.expect("accepted");
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
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
            let address = listener.local_addr().expect("address");
            let mut connection = HttpConnection::open(address).await.expect("open");
            let (peer, _) = listener.accept().await.expect("accepted");
            drop(peer);
            tokio::time::sleep(Duration::from_millis(20)).await;
            let request = Request::new(Bytes::from_static(b"order").into());
            let end = connection.exchange(request, MonoTime::default).await;
            assert!(matches!(end, Err(ExchangeError::NotConnected(_))), "{end:?}");
        })
        .await;
}
