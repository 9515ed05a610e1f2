//! Stand-in of the platform's key-value store, its watch and its list of VMs.

use std::{
    collections::{BTreeMap, VecDeque},
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use store::{StoreChanges, StoreValue, VmListing};
use tokio::sync::watch;
use warp::{Filter, http::StatusCode, reply};

/// Writes a second that the platform allows.
const MAX_WRITES_PER_SECOND: usize = 300;

/// Reads a second that the platform allows.
const MAX_READS_PER_SECOND: usize = 2_000;

/// Largest value that a write may store.
const MAX_VALUE_BYTES: usize = 1_048_576;

/// Time that each call takes without a fault.
const CALL_DELAY: Duration = Duration::from_millis(2);

/// The store's values, with the faults that it injects and a count of its calls.
pub(crate) struct StoreServer {
    values: Mutex<BTreeMap<String, StoreValue>>,
    revision: watch::Sender<u64>,
    vms: Mutex<Vec<VmListing>>,
    /// While true, calls hang.
    pub(crate) is_down: AtomicBool,
    /// Added to the time of each call.
    pub(crate) extra_delay_ms: AtomicU64,
    /// Number of writes still to be carried out with a reply that comes too late for the client.
    pub(crate) n_lost_replies: AtomicI64,
    pub(crate) n_calls: AtomicU64,
    /// Times of the writes and of the reads within the last second.
    recent_calls: Mutex<(VecDeque<Instant>, VecDeque<Instant>)>,
}

#[derive(Deserialize)]
struct PutQuery {
    expect: u64,
}

#[derive(Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

type JsonReply = Result<reply::WithStatus<reply::Json>, Infallible>;

impl StoreServer {
    pub(crate) fn new(vms: Vec<VmListing>) -> Arc<Self> {
        Arc::new(Self {
            values: Mutex::default(),
            revision: watch::Sender::new(0),
            vms: Mutex::new(vms),
            is_down: AtomicBool::new(false),
            extra_delay_ms: AtomicU64::new(0),
            n_lost_replies: AtomicI64::new(0),
            n_calls: AtomicU64::new(0),
            recent_calls: Mutex::default(),
        })
    }

    /// Serves on a free port and returns it.
    pub(crate) async fn serve(self: &Arc<Self>) -> eyre::Result<SocketAddr> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let store = self.clone();
        let with_store = warp::any().map(move || store.clone());
        let key = warp::path!("v1" / "kv" / ..).and(warp::path::tail());
        let get = key.and(warp::get()).and(with_store.clone()).and_then(
            |key: warp::path::Tail, it: Arc<Self>| async move { it.get(key.as_str()).await },
        );
        let put = key
            .and(warp::put())
            .and(warp::query::<PutQuery>())
            .and(warp::body::bytes())
            .and(with_store.clone())
            .and_then(
                |key: warp::path::Tail, query: PutQuery, body: Bytes, it: Arc<Self>| async move {
                    it.put(key.as_str(), query.expect, body).await
                },
            );
        let watch = warp::path!("v1" / "watch")
            .and(warp::query::<WatchQuery>())
            .and(with_store.clone())
            .and_then(|query: WatchQuery, it: Arc<Self>| async move { it.watch(query).await });
        let vms = warp::path!("v1" / "vms")
            .and(with_store)
            .and_then(|it: Arc<Self>| async move { it.list_vms().await });
        let server = warp::serve(get.or(put).or(watch).or(vms)).incoming(listener);
        tokio::spawn(server.run());
        Ok(address)
    }

    /// Counts a call and delays it as the faults say; fails when it is over the rate limit.
    async fn admit_call(&self, kind: CallKind) -> Result<(), reply::WithStatus<reply::Json>> {
        self.n_calls.fetch_add(1, Ordering::Relaxed);
        let extra_delay = Duration::from_millis(self.extra_delay_ms.load(Ordering::Relaxed));
        tokio::time::sleep(CALL_DELAY + extra_delay).await;
        while self.is_down.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        match self.is_over_limit(kind) {
            true => Err(empty_reply(StatusCode::TOO_MANY_REQUESTS)),
            false => Ok(()),
        }
    }

    fn is_over_limit(&self, kind: CallKind) -> bool {
        let mut recent_calls = self.recent_calls.lock().unwrap_or_else(|it| it.into_inner());
        let (calls, limit) = match kind {
            CallKind::Write => (&mut recent_calls.0, MAX_WRITES_PER_SECOND),
            CallKind::Read => (&mut recent_calls.1, MAX_READS_PER_SECOND),
        };
        let now = Instant::now();
        while calls.front().is_some_and(|it| now - *it > Duration::from_secs(1)) {
            calls.pop_front();
        }
        calls.push_back(now);
        calls.len() > limit
    }

    async fn get(&self, key: &str) -> JsonReply {
        if let Err(refusal) = self.admit_call(CallKind::Read).await {
            return Ok(refusal);
        }
        let values = self.values.lock().unwrap_or_else(|it| it.into_inner());
        Ok(match values.get(key) {
            Some(value) => reply::with_status(reply::json(value), StatusCode::OK),
            None => empty_reply(StatusCode::NOT_FOUND),
        })
    }

    async fn put(&self, key: &str, expect: u64, body: Bytes) -> JsonReply {
        if let Err(refusal) = self.admit_call(CallKind::Write).await {
            return Ok(refusal);
        }
        if body.len() > MAX_VALUE_BYTES {
            return Ok(empty_reply(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let Some(revision) = self.compare_and_set(key, expect, &body) else {
            return Ok(empty_reply(StatusCode::CONFLICT));
        };
        let is_lost = self
            .n_lost_replies
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| (n > 0).then(|| n - 1))
            .is_ok();
        if is_lost {
            tokio::time::sleep(Duration::from_secs(5)).await;
        }
        Ok(reply::with_status(reply::json(&json!({ "revision": revision })), StatusCode::OK))
    }

    /// Stores a value if the key's revision is `expect` (0: the key does not exist) and returns the
    /// new revision.
    fn compare_and_set(&self, key: &str, expect: u64, body: &[u8]) -> Option<u64> {
        let mut values = self.values.lock().unwrap_or_else(|it| it.into_inner());
        let current_revision = values.get(key).map_or(0, |it| it.revision);
        if current_revision != expect {
            return None;
        }
        let revision = *self.revision.borrow() + 1;
        let value = String::from_utf8_lossy(body).into_owned();
        values.insert(key.to_owned(), StoreValue { key: key.to_owned(), revision, value });
        drop(values);
        self.revision.send_replace(revision);
        Some(revision)
    }

    async fn watch(&self, query: WatchQuery) -> JsonReply {
        if let Err(refusal) = self.admit_call(CallKind::Read).await {
            return Ok(refusal);
        }
        let mut revision = self.revision.subscribe();
        let wait = Duration::from_millis(query.wait_ms);
        let _ = tokio::time::timeout(wait, revision.wait_for(|it| *it > query.after)).await;
        while self.is_down.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let values = self.values.lock().unwrap_or_else(|it| it.into_inner());
        let changes = values.values().filter(|it| it.revision > query.after).cloned().collect();
        let changes = StoreChanges { revision: *self.revision.borrow(), changes };
        Ok(reply::with_status(reply::json(&changes), StatusCode::OK))
    }

    async fn list_vms(&self) -> JsonReply {
        if let Err(refusal) = self.admit_call(CallKind::Read).await {
            return Ok(refusal);
        }
        let vms = self.vms.lock().unwrap_or_else(|it| it.into_inner());
        Ok(reply::with_status(reply::json(&*vms), StatusCode::OK))
    }
}

#[derive(Clone, Copy)]
enum CallKind {
    Read,
    Write,
}

fn empty_reply(code: StatusCode) -> reply::WithStatus<reply::Json> {
    reply::with_status(reply::json(&json!({})), code)
}
