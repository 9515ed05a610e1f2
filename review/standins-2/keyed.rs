//! A worker of a service that is divided by key. It checks fencing tokens, counts the token of a release as seen
//! as well, and lets its holds expire.
use crate::kit::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Hold {
    pub first: u64,
    pub last: u64,
    pub fence: u64,
    pub until: Instant,
}

/// A time in which a worker held a range.
#[derive(Debug, Clone)]
pub struct Held {
    pub worker: String,
    pub first: u64,
    pub last: u64,
    pub fence: u64,
    pub from: f64,
    pub to: f64,
}

/// What the worker does with an order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Treat {
    Normal,
    /// No answer; carried out after this time.
    Late(Duration),
    /// As `Late`, and where its answer is due, a second copy of the last answer on the connection arrives.
    LateAndCopy(Duration),
}

#[derive(Debug, Clone)]
pub struct Order {
    pub path: String,
    pub first: u64,
    pub last: u64,
    pub fence: u64,
    pub hold_ms: u64,
    /// Orders on this connection before this one that were answered.
    pub answered_before: usize,
}

#[derive(Default)]
pub struct KeyedState {
    /// Highest token seen and hold, for each key range that an order has named; later entries win.
    seen: Vec<(u64, u64, u64)>,
    holds: Vec<Hold>,
    pub n_answers: usize,
    pub n_orders: usize,
    pub n_unanswered: usize,
    pub n_copies: usize,
}

impl KeyedState {
    fn highest(&self, first: u64, last: u64) -> u64 {
        self.seen.iter().filter(|it| it.0 <= last && first <= it.1).map(|it| it.2).max().unwrap_or(0)
    }

    fn cut(&mut self, first: u64, last: u64) {
        let old = std::mem::take(&mut self.holds);
        for it in old {
            if it.last < first || last < it.first {
                self.holds.push(it);
                continue;
            }
            if it.first < first {
                self.holds.push(Hold { last: first - 1, ..it });
            }
            if it.last > last {
                self.holds.push(Hold { first: last + 1, ..it });
            }
        }
    }

    fn carry_out(&mut self, order: &Order, arrived: Instant) -> bool {
        let Order { first, last, fence, .. } = *order;
        if order.path == "/release" {
            self.seen.push((first, last, fence));
            self.cut(first, last);
            return true;
        }
        if self.highest(first, last) > fence {
            return false;
        }
        self.seen.push((first, last, fence));
        self.cut(first, last);
        self.holds.push(Hold { first, last, fence, until: arrived + ms(order.hold_ms) });
        true
    }

    pub fn holds_key(&self, key: u64, now: Instant) -> bool {
        self.holds.iter().any(|it| it.first <= key && key <= it.last && now < it.until)
    }

    pub fn held(&self, now: Instant) -> Vec<Hold> {
        self.holds.iter().filter(|it| now < it.until).copied().collect()
    }
}

type Decide = dyn Fn(&str, &Order) -> Treat + Send + Sync;

#[derive(Clone)]
pub struct KeyedWorker {
    pub id: String,
    pub address: SocketAddr,
    pub state: Arc<Mutex<KeyedState>>,
    pub phase: Arc<Mutex<&'static str>>,
}

impl KeyedWorker {
    pub fn start(store: &Store, record: &Record, id: &str, service: &str, zone: &str, ip: &str, work_ms: u64, decide: Arc<Decide>) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("bind a worker");
        let worker = KeyedWorker {
            id: id.into(),
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
            phase: Arc::new(Mutex::new("ready")),
        };
        let (it, log) = (worker.clone(), record.clone());
        serve(listener, move |stream| {
            let Ok(mut out) = stream.try_clone() else { return };
            let mut reader = BufReader::new(stream);
            let mut answered = 0;
            let mut last_answer: Vec<u8> = Vec::new();
            while let Ok(Some(request)) = read_request(&mut reader) {
                let arrived = Instant::now();
                let named = ("Instance-Id", it.id.clone());
                let load = ("Server-Load", "1,0,4".to_owned());
                let path = request.path().to_owned();
                if path == "/healthz" {
                    let bytes = answer_bytes(200, &[named, load, ("Cold-Remaining-Ms", "0".into())], b"");
                    if out.write_all(&bytes).is_err() { return; }
                    continue;
                }
                if path == "/grant" || path == "/release" {
                    let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
                    let order = Order {
                        path: path.clone(),
                        first: body.get("from").num(),
                        last: body.get("target").num(),
                        fence: body.get("fence").num(),
                        hold_ms: parse_ms(body.get("hold_time").str()),
                        answered_before: answered,
                    };
                    let treat = decide(&it.id, &order);
                    let text = format!("{} {}..{} fence {} hold {} ms", path, order.first, order.last, order.fence, order.hold_ms);
                    lock(&it.state).n_orders += 1;
                    match treat {
                        Treat::Normal => {
                            let ok = lock(&it.state).carry_out(&order, arrived);
                            log.line(&format!("{} takes {text}: {}", it.id, if ok { 200 } else { 409 }));
                            let handover = ("Handover", format!("h-{}-{}", it.id, order.fence));
                            let headers: Vec<(&str, String)> = match path == "/release" { true => vec![handover], false => vec![] };
                            last_answer = answer_bytes(if ok { 200 } else { 409 }, &headers, b"");
                            answered += 1;
                            lock(&it.state).n_answers += 1;
                            if out.write_all(&last_answer).is_err() { return; }
                        }
                        Treat::Late(after) | Treat::LateAndCopy(after) => {
                            let is_copy = matches!(treat, Treat::LateAndCopy(_));
                            log.line(&format!("{} leaves unanswered {text}{}", it.id, if is_copy { ", and a second copy of its last answer arrives late" } else { "" }));
                            {
                                let mut state = lock(&it.state);
                                state.n_unanswered += 1;
                                state.n_copies += usize::from(is_copy);
                            }
                            let (state, log, id) = (it.state.clone(), log.clone(), it.id.clone());
                            thread::spawn(move || {
                                thread::sleep(after);
                                let ok = lock(&state).carry_out(&order, arrived);
                                log.line(&format!("{id} carries out late {text}: {}", if ok { "done" } else { "refused, a higher token was seen" }));
                            });
                            if is_copy && out.write_all(&last_answer).is_err() { return; }
                        }
                    }
                    continue;
                }
                let id = request.header("Request-Id").unwrap_or("-").to_owned();
                let key = request.header("Shard-Key").and_then(|k| k.parse::<u64>().ok());
                let is_other = request.header("Target-Instance").is_some_and(|t| t != it.id);
                let holds = key.is_some_and(|k| lock(&it.state).holds_key(k, arrived));
                if is_other || !holds {
                    let bytes = answer_bytes(421, &[named, ("Request-Id", id), ("Not-Executed", "1".into())], b"");
                    if out.write_all(&bytes).is_err() { return; }
                    continue;
                }
                log.line(&format!("{} runs {id} key {}", it.id, key.unwrap_or(0)));
                thread::sleep(ms(work_ms));
                let headers = [("Request-Id", id.clone()), ("Response-Signature", format!("sig.{id}")), load];
                lock(&it.state).n_answers += 1;
                if out.write_all(&answer_bytes(200, &headers, id.as_bytes())).is_err() { return; }
            }
        });
        let (store, id, address, service, zone, phase) =
            (store.clone(), worker.id.clone(), worker.address, service.to_owned(), zone.to_owned(), worker.phase.clone());
        let born = unix_ms();
        thread::spawn(move || {
            for seq in 1u64.. {
                let state = *lock(&phase);
                if state == "gone" {
                    store.remove(&format!("servers/{id}"));
                    return;
                }
                store.put(&format!("servers/{id}"), &format!(
                    "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"{zone}\",\"max_concurrency\":4}},\"status\":{{\"state\":\"{state}\",\"seq\":{seq},\"cold_remaining\":\"0ms\"}}}}"));
                let until = Instant::now() + ms(870);
                while Instant::now() < until && *lock(&phase) == state {
                    thread::sleep(ms(10));
                }
            }
        });
        worker
    }
}

/// Samples all holds every 5 ms until `stop`, and returns for each pair of workers the longest time in which
/// both held one key, with the key.
pub struct Watcher {
    stop: Arc<Mutex<bool>>,
    thread: thread::JoinHandle<Vec<(String, String, u64, f64, f64)>>,
}

impl Watcher {
    pub fn start(workers: &[KeyedWorker], record: &Record) -> Self {
        let stop = Arc::new(Mutex::new(false));
        let (workers, record, flag) = (workers.to_vec(), record.clone(), stop.clone());
        let thread = thread::spawn(move || {
            // Open overlaps by pair, with first key and start.
            let mut open: HashMap<(String, String), (u64, f64)> = HashMap::new();
            let mut ended = Vec::new();
            loop {
                let done = *lock(&flag);
                let now = Instant::now();
                let held: Vec<(String, Vec<Hold>)> =
                    workers.iter().map(|it| (it.id.clone(), lock(&it.state).held(now))).collect();
                let t = record.now();
                let mut present = HashMap::new();
                for (i, a) in held.iter().enumerate() {
                    for b in &held[i + 1..] {
                        for x in &a.1 {
                            for y in &b.1 {
                                if x.first <= y.last && y.first <= x.last {
                                    present.insert((a.0.clone(), b.0.clone()), x.first.max(y.first));
                                }
                            }
                        }
                    }
                }
                open.retain(|pair, (key, from)| {
                    let is_on = present.contains_key(pair) && !done;
                    if !is_on {
                        ended.push((pair.0.clone(), pair.1.clone(), *key, *from, t));
                    }
                    is_on
                });
                for (pair, key) in present {
                    if !open.contains_key(&pair) && !done {
                        record.line(&format!("{} and {} both hold key {key} from now on", pair.0, pair.1));
                        open.insert(pair, (key, t));
                    }
                }
                if done {
                    return ended;
                }
                thread::sleep(ms(5));
            }
        });
        Self { stop, thread }
    }

    pub fn finish(self) -> Vec<(String, String, u64, f64, f64)> {
        *lock(&self.stop) = true;
        self.thread.join().unwrap()
    }
}
