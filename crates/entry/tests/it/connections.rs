//! What peers see of the entry's connections.

use std::{io::ErrorKind, time::Duration};

use bytes::Bytes;
use entry::{ExchangeError, HttpConnection};
use http::Request;
use model::MonoTime;
use tokio::{io::AsyncReadExt, net::TcpListener, task::LocalSet, time::timeout};

/// A grant that was given up once arrived after a partition, as closing only ended the stream.
#[tokio::test(flavor = "current_thread")]
async fn giving_up_an_exchange_resets_its_connection() {
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
            let mut seen = Vec::new();
            let end = peer.read_to_end(&mut seen).await;
            assert_eq!(end.map_err(|it| it.kind()), Err(ErrorKind::ConnectionReset));
        })
        .await;
}

/// Servers close idle connections at their own time; a payment sent on one had failed for nothing.
#[tokio::test(flavor = "current_thread")]
async fn a_request_on_a_connection_that_had_ended_counts_as_not_sent() {
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
