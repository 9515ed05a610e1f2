//! Stand-in of the platform's key-value store and list of VMs.

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

/// Calls a second of each sort that the platform allows.
const MAX_WRITES_PER_SECOND: usize = 300;
const MAX_READS_PER_SECOND: usize = 2_000;

/// Largest value in bytes.
const MAX_VALUE_BYTES: usize = 1_048_576;

/// Time that each call takes.
const CALL_TIME: Duration = Duration::from_millis(2);

/// The store's contents, faults and counts.
pub(crate) struct StoreServer {
    values: Mutex<BTreeMap<String, StoreValue>>,
    revision: watch::Sender<u64>,
    vms: Mutex<Vec<VmListing>>,
    pub(crate) is_down: AtomicBool,
    pub(crate) slow_ms: AtomicU64,
    pub(crate) n_lost_replies: AtomicI64,
    pub(crate) n_calls: AtomicU64,
    recent: Mutex<(VecDeque<Instant>, VecDeque<Instant>)>,
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

type Reply = Result<reply::WithStatus<reply::Json>, Infallible>;

impl StoreServer {
    pub(crate) fn new(vms: Vec<VmListing>) -> Arc<Self> {
        Arc::new(Self {
            values: Mutex::default(),
            revision: watch::Sender::new(0),
            vms: Mutex::new(vms),
            is_down: AtomicBool::new(false),
            slow_ms: AtomicU64::new(0),
            n_lost_replies: AtomicI64::new(0),
            n_calls: AtomicU64::new(0),
            recent: Mutex::default(),
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

    /// Counts a call, then fails or delays it as the faults say.
    async fn admit(&self, is_write: CallSort) -> Result<(), reply::WithStatus<reply::Json>> {
        self.n_calls.fetch_add(1, Ordering::Relaxed);
        let slow = Duration::from_millis(self.slow_ms.load(Ordering::Relaxed));
        tokio::time::sleep(CALL_TIME + slow).await;
        while self.is_down.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        match self.is_over_limit(is_write) {
            true => Err(status(StatusCode::TOO_MANY_REQUESTS)),
            false => Ok(()),
        }
    }

    fn is_over_limit(&self, sort: CallSort) -> bool {
        let mut recent = self.recent.lock().unwrap_or_else(|it| it.into_inner());
        let (calls, limit) = match sort {
            CallSort::Write => (&mut recent.0, MAX_WRITES_PER_SECOND),
            CallSort::Read => (&mut recent.1, MAX_READS_PER_SECOND),
        };
        let now = Instant::now();
        while calls.front().is_some_and(|it| now - *it > Duration::from_secs(1)) {
            calls.pop_front();
        }
        calls.push_back(now);
        calls.len() > limit
    }

    async fn get(&self, key: &str) -> Reply {
        if let Err(refusal) = self.admit(CallSort::Read).await {
            return Ok(refusal);
        }
        let values = self.values.lock().unwrap_or_else(|it| it.into_inner());
        Ok(match values.get(key) {
            Some(value) => reply::with_status(reply::json(value), StatusCode::OK),
            None => status(StatusCode::NOT_FOUND),
        })
    }

    async fn put(&self, key: &str, expect: u64, body: Bytes) -> Reply {
        if let Err(refusal) = self.admit(CallSort::Write).await {
            return Ok(refusal);
        }
        if body.len() > MAX_VALUE_BYTES {
            return Ok(status(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let Some(revision) = self.replace(key, expect, &body) else {
            return Ok(status(StatusCode::CONFLICT));
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

    fn replace(&self, key: &str, expect: u64, body: &[u8]) -> Option<u64> {
        let mut values = self.values.lock().unwrap_or_else(|it| it.into_inner());
        let held = values.get(key).map_or(0, |it| it.revision);
        if held != expect {
            return None;
        }
        let revision = *self.revision.borrow() + 1;
        let value = String::from_utf8_lossy(body).into_owned();
        values.insert(key.to_owned(), StoreValue { key: key.to_owned(), revision, value });
        drop(values);
        self.revision.send_replace(revision);
        Some(revision)
    }

    async fn watch(&self, query: WatchQuery) -> Reply {
        if let Err(refusal) = self.admit(CallSort::Read).await {
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

    async fn list_vms(&self) -> Reply {
        if let Err(refusal) = self.admit(CallSort::Read).await {
            return Ok(refusal);
        }
        let vms = self.vms.lock().unwrap_or_else(|it| it.into_inner());
        Ok(reply::with_status(reply::json(&*vms), StatusCode::OK))
    }
}

#[derive(Clone, Copy)]
enum CallSort {
    Read,
    Write,
}

fn status(code: StatusCode) -> reply::WithStatus<reply::Json> {
    reply::with_status(reply::json(&json!({})), code)
}
