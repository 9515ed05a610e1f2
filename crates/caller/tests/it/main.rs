//! Tests of the HTTP server for callers, over a loopback socket.

#![allow(missing_docs, clippy::unwrap_used)]

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use caller::{CallerAnswer, CallerLimits, CallerRequest, CallerService, serve_callers};
use expect_test::{Expect, expect};
use model::{CallOutcome, NotRunReason, RequestId, UnknownReason};
use reqwest::{Client, RequestBuilder};
use tokio::net::TcpListener;

#[derive(Clone)]
struct ScriptedService {
    answer: Result<CallerAnswer, CallOutcome>,
    requests: Arc<Mutex<Vec<CallerRequest>>>,
}

impl CallerService for ScriptedService {
    async fn serve(&self, request: CallerRequest) -> Result<CallerAnswer, CallOutcome> {
        self.requests.lock().unwrap().push(request);
        self.answer.clone()
    }

    fn next_id(&self) -> RequestId {
        "made-1".to_owned().try_into().unwrap()
    }
}

async fn serve(answer: Result<CallerAnswer, CallOutcome>) -> (SocketAddr, ScriptedService) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = ScriptedService { answer, requests: Arc::default() };
    let limits = CallerLimits { max_body_bytes: 1_000 };
    tokio::spawn(serve_callers(listener, service.clone(), limits, std::future::pending()));
    (address, service)
}

fn client() -> Client {
    Client::builder().no_proxy().build().unwrap()
}

async fn check(request: RequestBuilder, expect: Expect) {
    let answer = request.send().await.unwrap();
    let header =
        |name: &str| answer.headers().get(name).map_or("-", |it| it.to_str().unwrap()).to_owned();
    let (outcome, reason) = (header("x-jackdaw-outcome"), header("x-jackdaw-reason"));
    let id = header("x-request-id");
    expect.assert_eq(&format!("{} {outcome} {reason} {id}", answer.status().as_u16()));
}

fn answered() -> Result<CallerAnswer, CallOutcome> {
    let headers = vec![("x-price".to_owned(), "5".to_owned())];
    Ok(CallerAnswer { status: 201, headers, body: Bytes::from_static(b"done") })
}

#[tokio::test]
async fn answer_is_returned_with_its_status() {
    let (address, _) = serve(answered()).await;
    check(client().get(format!("http://{address}/queue/k")), expect!["201 answered - made-1"])
        .await;
}

#[tokio::test]
async fn request_is_passed_on_unchanged() {
    let (address, service) = serve(answered()).await;
    let request = client()
        .put(format!("http://{address}/queue/k/rest?a=b"))
        .header("x-request-id", "mine")
        .header("x-deadline-ms", "250")
        .header("idempotency-key", "one")
        .header("x-fencing-token", "9.9.9")
        .body("deposit");
    check(request, expect!["201 answered - mine"]).await;
    let received = service.requests.lock().unwrap()[0].clone();
    assert_eq!((received.service.as_str(), received.key.as_str()), ("queue", "k"));
    assert_eq!((received.method.as_str(), received.path.as_str()), ("PUT", "/queue/k/rest?a=b"));
    assert_eq!(received.deadline.map(|it| it.as_millis()), Some(250));
    assert_eq!(&received.body[..], b"deposit");
    assert!(received.headers.contains(&("idempotency-key".to_owned(), "one".to_owned())));
    // Callers must not be able to set a fencing token.
    assert!(received.headers.iter().all(|(name, _)| name != "x-fencing-token"));
}

#[tokio::test]
async fn outcomes_have_distinct_statuses_and_headers() {
    let (address, _) = serve(Err(CallOutcome::NotRun(NotRunReason::NoOwner))).await;
    check(
        client().post(format!("http://{address}/queue/k")),
        expect!["503 not-run no-owner made-1"],
    )
    .await;
    let (address, _) = serve(Err(CallOutcome::Unknown(UnknownReason::AnswerCut))).await;
    check(
        client().post(format!("http://{address}/queue/k")),
        expect!["502 unknown answer-cut made-1"],
    )
    .await;
    let (address, _) = serve(Err(CallOutcome::Unknown(UnknownReason::DeadlinePassed))).await;
    check(
        client().post(format!("http://{address}/queue/k")),
        expect!["504 unknown deadline-passed made-1"],
    )
    .await;
}

#[tokio::test]
async fn invalid_requests_are_rejected_as_not_run() {
    let (address, service) = serve(answered()).await;
    check(
        client().get(format!("http://{address}/queue")),
        expect!["400 not-run bad-request made-1"],
    )
    .await;
    check(client().get(format!("http://{address}/")), expect!["400 not-run bad-request made-1"])
        .await;
    let too_large = client().post(format!("http://{address}/queue/k")).body(vec![0; 1_001]);
    check(too_large, expect!["400 not-run bad-request made-1"]).await;
    let bad_deadline =
        client().get(format!("http://{address}/queue/k")).header("x-deadline-ms", "soon");
    check(bad_deadline, expect!["400 not-run bad-request made-1"]).await;
    assert!(service.requests.lock().unwrap().is_empty());
}
