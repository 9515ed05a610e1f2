//! Stand-ins for the platform's store, workers and clients, and the scenarios that use them with
//! `jackdaw-entry` processes. Uses the standard library only, so that `rustc` alone builds it.
//!
//! `standin worker ARGS...` is one worker process; `standin scenario NAME DIR` runs a case.

use std::{
    collections::{BTreeMap, HashMap},
    env, fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

mod cases;

/// Milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Appends one line with a time to a record; lines of other processes are merged by time later.
#[derive(Clone)]
pub struct Record(Arc<Mutex<fs::File>>);

impl Record {
    pub fn open(path: &Path) -> Self {
        let file = fs::OpenOptions::new().create(true).append(true).open(path).expect("record");
        Self(Arc::new(Mutex::new(file)))
    }

    pub fn line(&self, text: &str) {
        let line = format!("{} {text}\n", now_ms());
        let _ = self.0.lock().unwrap().write_all(line.as_bytes());
    }
}

// ---- a small generator of pseudo-random numbers ----

static RANDOM: AtomicU64 = AtomicU64::new(0x9E37_79B9_7F4A_7C15);

pub fn random() -> f64 {
    let mut x = RANDOM.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

// ---- HTTP/1.1 ----

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let value = query.split('&').find_map(|it| it.strip_prefix(&format!("{name}=")))?;
        Some(percent_decode(value))
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut idx) = (Vec::new(), 0);
    while idx < bytes.len() {
        let code = (bytes[idx] == b'%').then(|| text.get(idx + 1..idx + 3)).flatten();
        match code.and_then(|it| u8::from_str_radix(it, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                idx += 3;
            }
            None => {
                out.push(bytes[idx]);
                idx += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

type Headers = Vec<(String, String)>;

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Headers)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn content_length(headers: &Headers) -> usize {
    let found = headers.iter().find(|(it, _)| it.eq_ignore_ascii_case("content-length"));
    found.and_then(|(_, it)| it.parse().ok()).unwrap_or(0)
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut body = vec![0; content_length(&headers)];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, target, headers, body })
}

pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends one request on a new connection and reads the answer.
pub fn call(address: SocketAddr, bytes: &[u8], limit: Duration) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(bytes)?;
    read_answer(&mut BufReader::new(stream))
}

pub fn read_answer(reader: &mut BufReader<TcpStream>) -> std::io::Result<Answer> {
    let broken = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
    let (first, headers) = read_head(reader).ok_or_else(broken)?;
    let status = first.split(' ').nth(1).and_then(|it| it.parse().ok()).ok_or_else(broken)?;
    let mut body = vec![0; content_length(&headers)];
    reader.read_exact(&mut body)?;
    Ok(Answer { status, headers, body })
}

fn serve(listener: TcpListener, handle: impl Fn(Request) -> Vec<u8> + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if writer.write_all(&handle(request)).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

// ---- JSON, as far as the store's calls need it ----

#[derive(Debug, Clone)]
pub enum Json {
    Number(u64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
    Other,
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut chars = text.chars().peekable();
        Self::value(&mut chars)
    }

    fn value(chars: &mut std::iter::Peekable<std::str::Chars<'_>>) -> Option<Self> {
        while chars.next_if(|it| it.is_whitespace()).is_some() {}
        match *chars.peek()? {
            '{' => {
                chars.next();
                let mut table = Vec::new();
                loop {
                    while chars.next_if(|it| it.is_whitespace() || *it == ',').is_some() {}
                    if chars.next_if_eq(&'}').is_some() {
                        return Some(Self::Table(table));
                    }
                    let Self::Text(key) = Self::value(chars)? else { return None };
                    while chars.next_if(|it| it.is_whitespace() || *it == ':').is_some() {}
                    table.push((key, Self::value(chars)?));
                }
            }
            '[' => {
                chars.next();
                let mut list = Vec::new();
                loop {
                    while chars.next_if(|it| it.is_whitespace() || *it == ',').is_some() {}
                    if chars.next_if_eq(&']').is_some() {
                        return Some(Self::List(list));
                    }
                    list.push(Self::value(chars)?);
                }
            }
            '"' => {
                chars.next();
                let mut text = String::new();
                loop {
                    match chars.next()? {
                        '"' => return Some(Self::Text(text)),
                        '\\' => match chars.next()? {
                            'n' => text.push('\n'),
                            other => text.push(other),
                        },
                        other => text.push(other),
                    }
                }
            }
            _ => {
                let mut word = String::new();
                while let Some(it) = chars.next_if(|it| !",]} \n".contains(*it)) {
                    word.push(it);
                }
                Some(word.parse().map_or(Self::Other, Self::Number))
            }
        }
    }

    pub fn get(&self, key: &str) -> Option<&Self> {
        let Self::Table(table) = self else { return None };
        table.iter().find(|(it, _)| it == key).map(|(_, value)| value)
    }

    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Self::Text(it)) => it.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Self::Number(it)) => *it,
            _ => 0,
        }
    }

    pub fn list(&self, key: &str) -> &[Self] {
        match self.get(key) {
            Some(Self::List(it)) => it,
            _ => &[],
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0u32, |acc, it| acc << 8 | u32::from(*it));
        let number = number << (8 * (3 - chunk.len()));
        for idx in 0..4 {
            match idx <= chunk.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * idx) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

// ---- the platform's store ----

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Self { value, revision, created, lease } = self;
        format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
        )
    }
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and JSON of each change.
    events: Vec<(u64, String, String)>,
    /// Length and end of each lease.
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
    /// When the entries of workers were last written.
    beats: HashMap<String, Instant>,
    /// Workers whose next write gets no answer and is carried out so much later.
    late: HashMap<String, Duration>,
}

impl StoreState {
    fn set(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |it| it.created);
        let item = Item { value, revision, created, lease };
        self.events.push((revision, key.to_owned(), item.json(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let json = format!(r#"{{"key":"{key}","revision":{},"deleted":true}}"#, self.revision);
            self.events.push((self.revision, key.to_owned(), json));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let is_known = self.leases.remove(&lease).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, it)| it.lease == lease && lease != 0)
            .map(|(key, _)| key.clone())
            .collect();
        keys.iter().for_each(|it| self.delete(it));
        is_known
    }
}

/// The platform's store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    record: Record,
}

fn duration_of(text: &str) -> Duration {
    match text.strip_suffix("ms") {
        Some(it) => Duration::from_millis(it.parse().unwrap_or(0)),
        None => Duration::from_secs_f64(text.trim_end_matches('s').parse().unwrap_or(0.0)),
    }
}

impl Store {
    /// Starts it. Workers' entries are removed after `silence` without a write.
    pub fn start(listener: TcpListener, silence: Duration, record: Record) -> Self {
        let store = Self { state: Arc::default(), record };
        let it = store.clone();
        serve(listener, move |request| it.answer(request));
        let it = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                it.change(|state| {
                    let now = Instant::now();
                    let ended: Vec<u64> = state
                        .leases
                        .iter()
                        .filter(|(_, it)| it.1 <= now)
                        .map(|(lease, _)| *lease)
                        .collect();
                    ended.into_iter().for_each(|it| _ = state.end_lease(it));
                    let silent: Vec<String> = state
                        .beats
                        .iter()
                        .filter(|(_, at)| now.duration_since(**at) >= silence)
                        .map(|(key, _)| key.clone())
                        .collect();
                    for key in silent {
                        state.beats.remove(&key);
                        state.delete(&key);
                        it.record.line(&format!("store removed {key}"));
                    }
                });
            }
        });
        store
    }

    fn change<T>(&self, change: impl FnOnce(&mut StoreState) -> T) -> T {
        let res = change(&mut self.state.0.lock().unwrap());
        self.state.1.notify_all();
        res
    }

    /// Writes as the operator.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| state.set(key, base64(value.as_bytes()), 0));
        self.record.line(&format!("operator wrote {key}"));
    }

    pub fn remove(&self, key: &str) {
        self.change(|state| state.delete(key));
        self.record.line(&format!("operator removed {key}"));
    }

    /// Writes a worker's entry.
    fn write_entry(&self, id: &str, value: String) {
        self.change(|state| {
            let key = format!("servers/{id}");
            state.set(&key, value, 0);
            state.beats.insert(key, Instant::now());
        });
    }

    /// Leaves the next write of a worker without an answer, and carries it out after `delay`. Returns
    /// once the write has arrived.
    pub fn delay_next_write(&self, id: &str, delay: Duration) {
        self.change(|state| _ = state.late.insert(id.to_owned(), delay));
        while self.change(|state| state.late.contains_key(id)) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn answer(&self, request: Request) -> Vec<u8> {
        thread::sleep(Duration::from_millis(2));
        let path = request.path().to_owned();
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let body = body.unwrap_or(Json::Other);
        let (status, text) = match (request.method.as_str(), path.as_str()) {
            ("GET", "/kv-range") => self.range(&request),
            ("GET", "/kv-watch") => self.watch(&request),
            ("POST", "/kv-txn") => self.change(|it| Self::transaction(it, &body)),
            ("POST", "/kv-lease") => self.change(|state| {
                let length = duration_of(&body.text("ttl_time")).max(Duration::from_secs(1));
                state.last_lease += 1;
                state.leases.insert(state.last_lease, (length, Instant::now() + length));
                let (lease, ms) = (state.last_lease, length.as_millis());
                (200, format!(r#"{{"lease":{lease},"ttl_time":"{ms}ms"}}"#))
            }),
            // Workers write their entries so; the real call is not on the pages.
            ("POST", id) if id.starts_with("/worker/") => {
                let id = id["/worker/".len()..].to_owned();
                let late = self.change(|it| it.late.remove(&id));
                let value = base64(&request.body);
                if let Some(delay) = late {
                    let store = self.clone();
                    self.record.line(&format!("store leaves a write of {id} without an answer"));
                    thread::spawn(move || {
                        thread::sleep(delay);
                        store.write_entry(&id, value);
                        store.record.line(&format!("store carries out the late write of {id}"));
                    });
                    return Vec::new();
                }
                self.write_entry(&id, value);
                (200, String::new())
            }
            ("DELETE", id) if id.starts_with("/worker/") => self.change(|state| {
                let key = format!("servers/{}", &id["/worker/".len()..]);
                state.beats.remove(&key);
                state.delete(&key);
                (200, String::new())
            }),
            ("POST", it) if it.starts_with("/kv-keep/") => self.change(|state| {
                let lease = it["/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((length, end)) => {
                        *end = Instant::now() + *length;
                        (200, format!(r#"{{"ttl_time":"{}ms"}}"#, length.as_millis()))
                    }
                    None => (404, String::new()),
                }
            }),
            ("DELETE", it) if it.starts_with("/kv-lease-end/") => self.change(|state| {
                let lease = it["/kv-lease-end/".len()..].parse().unwrap_or(0);
                (if state.end_lease(lease) { 200 } else { 404 }, "{}".to_owned())
            }),
            _ => (404, String::new()),
        };
        response(status, &[("Content-Type", "application/json".to_owned())], text.as_bytes())
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.state.0.lock().unwrap();
        let items = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> = items.map(|(key, it)| it.json(key)).collect();
        let (items, revision) = (items.join(","), state.revision);
        (200, format!(r#"{{"items":[{items}],"has_more":false,"current_rev":{revision}}}"#))
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let number = |name| request.query(name).and_then(|it| it.parse().ok()).unwrap_or(0u64);
        let prefix = request.query("prefix").unwrap_or_default();
        let (after, until) =
            (number("after"), Instant::now() + Duration::from_millis(number("wait_ms")));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let first = state.events.partition_point(|it| it.0 <= after);
            let events: Vec<String> = state.events[first..]
                .iter()
                .filter(|it| it.1.starts_with(&prefix))
                .map(|it| it.2.clone())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!(r#"{{"events":[{events}],"current_rev":{revision}}}"#));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transaction(state: &mut StoreState, body: &Json) -> (u16, String) {
        let revision_of =
            |state: &StoreState, key: &str| state.items.get(key).map_or(0, |it| it.revision);
        let is_met = body
            .list("precondition")
            .iter()
            .all(|it| revision_of(state, &it.text("key")) == it.number("revision"));
        if !is_met {
            return (412, r#"{"items":[]}"#.to_owned());
        }
        let has_lease = |lease: u64| lease == 0 || state.leases.contains_key(&lease);
        if !body.list("set_keys").iter().all(|it| has_lease(it.number("lease"))) {
            return (404, String::new());
        }
        for it in body.list("set_keys") {
            state.set(&it.text("key"), it.text("value"), it.number("lease"));
        }
        for it in body.list("delete") {
            if let Json::Text(key) = it {
                state.delete(key);
            }
        }
        (200, format!(r#"{{"revision":{}}}"#, state.revision))
    }
}

// ---- a link that can be cut ----

/// Forwards connections to `target` until it is cut; then it answers nothing.
pub fn link(listener: TcpListener, target: SocketAddr, is_cut: Arc<AtomicBool>) {
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            if is_cut.load(Ordering::SeqCst) {
                // Kept open without an answer, as behind a partition.
                thread::spawn(move || {
                    thread::sleep(Duration::from_secs(5));
                    drop(near);
                });
                continue;
            }
            let Ok(far) = TcpStream::connect(target) else { continue };
            for (mut from, mut to) in
                [(near.try_clone().unwrap(), far.try_clone().unwrap()), (far, near)]
            {
                thread::spawn(move || {
                    let _ = std::io::copy(&mut from, &mut to);
                    let _ = to.shutdown(std::net::Shutdown::Write);
                });
            }
        }
    });
}

// ---- a worker process ----

/// What a worker is started with.
#[derive(Clone)]
pub struct WorkerPlan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub store: SocketAddr,
    pub work_ms: f64,
    pub cold_ms: u64,
    /// Requests in a second at which a cold worker crashes; 0: never.
    pub crash_rate: u64,
    pub record: PathBuf,
}

const SLOTS: u64 = 4;
const QUEUE: u64 = 16;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// How much slower a cold worker is.
const COLD_FACTOR: f64 = 2.0;

impl WorkerPlan {
    pub fn spawn(&self) -> Child {
        let Self { id, service, zone, address, store, work_ms, cold_ms, crash_rate, record } = self;
        Command::new(env::current_exe().expect("own path"))
            .args(["worker", id, service, zone])
            .args([address.to_string(), store.to_string(), work_ms.to_string()])
            .args([cold_ms.to_string(), crash_rate.to_string()])
            .arg(record)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("start a worker")
    }
}

struct Worker {
    plan: WorkerPlan,
    born: u64,
    record: Record,
    /// Requests that run and that wait.
    load: Mutex<(u64, u64)>,
    freed: Condvar,
    cold_until: u64,
    /// Arrivals of the last second.
    arrivals: Mutex<Vec<u64>>,
    is_draining: AtomicBool,
    seq: AtomicU64,
}

fn run_worker(args: &[String]) {
    let plan = WorkerPlan {
        id: args[0].clone(),
        service: args[1].clone(),
        zone: args[2].clone(),
        address: args[3].parse().expect("address"),
        store: args[4].parse().expect("store"),
        work_ms: args[5].parse().expect("work"),
        cold_ms: args[6].parse().expect("cold"),
        crash_rate: args[7].parse().expect("rate"),
        record: PathBuf::from(&args[8]),
    };
    let born = now_ms();
    let listener = TcpListener::bind(plan.address).expect("bind");
    let record = Record::open(&plan.record);
    record.line(&format!("worker {} started born={born} cold_ms={}", plan.id, plan.cold_ms));
    let worker = Arc::new(Worker {
        cold_until: born + plan.cold_ms,
        plan,
        born,
        record,
        load: Mutex::default(),
        freed: Condvar::new(),
        arrivals: Mutex::default(),
        is_draining: AtomicBool::new(false),
        seq: AtomicU64::new(0),
    });
    RANDOM.fetch_add(born.wrapping_mul(31), Ordering::Relaxed);
    let it = worker.clone();
    serve(listener, move |request| it.answer(request));
    loop {
        worker.beat();
        thread::sleep(HEARTBEAT);
    }
}

impl Worker {
    fn cold_left(&self) -> u64 {
        self.cold_until.saturating_sub(now_ms())
    }

    /// Writes the entry in the store.
    fn beat(&self) {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let WorkerPlan { id, service, zone, address, store, .. } = &self.plan;
        let (born, cold) = (self.born, self.cold_left());
        let body = format!(
            r#"{{"address":"{address}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"{zone}","max_concurrency":{SLOTS}}},"status":{{"state":"{state}","seq":{seq},"cold_remaining":"{cold}ms"}}}}"#
        );
        let call_bytes =
            format!("POST /worker/{id} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        match call(*store, call_bytes.as_bytes(), Duration::from_millis(500)) {
            Ok(_) => self.record.line(&format!("worker {id} wrote state={state} seq={seq}")),
            Err(_) => {
                self.record.line(&format!("worker {id} got no answer to state={state} seq={seq}"))
            }
        }
    }

    fn answer(&self, request: Request) -> Vec<u8> {
        let id = &self.plan.id;
        let own = ("Instance-Id", id.clone());
        if request.path() == "/healthz" {
            let cold = ("Cold-Remaining-Ms", self.cold_left().to_string());
            self.record.line(&format!("worker {id} health"));
            return response(200, &[own, cold, ("Server-Load", self.load_text())], b"");
        }
        // Planned work at this stand-in, asked for by the scenario.
        if request.path() == "/stand-in/drain" {
            self.is_draining.store(true, Ordering::SeqCst);
            self.beat();
            return response(200, &[], b"");
        }
        if request.path() == "/stand-in/leave" {
            let bytes = format!("DELETE /worker/{id} HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
            let _ = call(self.plan.store, bytes.as_bytes(), Duration::from_millis(500));
            self.record.line(&format!("worker {id} exits"));
            std::process::exit(0);
        }
        let request_id = request.header("Request-Id").unwrap_or_default().to_owned();
        let echo = ("Request-Id", request_id.clone());
        let not_run = ("Not-Executed", "1".to_owned());
        if request.header("Target-Instance").is_some_and(|it| it != id) {
            self.record.line(&format!("worker {id} 421 {request_id}"));
            return response(421, &[own, echo, not_run], b"");
        }
        let cold = self.cold_left();
        self.record.line(&format!("worker {id} arrival {request_id} cold_left={cold}"));
        self.crash_if_overrun(cold);
        let limit =
            request.header("Timeout-Ms").and_then(|it| it.parse().ok()).unwrap_or(10_000u64);
        let deadline = Instant::now() + Duration::from_millis(limit);
        let mut load = self.load.lock().unwrap();
        if load.0 >= SLOTS {
            if load.1 >= QUEUE {
                self.record.line(&format!("worker {id} full {request_id}"));
                return response(
                    503,
                    &[
                        own,
                        echo,
                        not_run,
                        ("Server-Load", format!("{},{},{SLOTS}", load.0, load.1)),
                    ],
                    b"",
                );
            }
            load.1 += 1;
            while load.0 >= SLOTS {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    load.1 -= 1;
                    return response(503, &[own, echo, not_run], b"");
                }
                load = self.freed.wait_timeout(load, left).unwrap().0;
            }
            load.1 -= 1;
        }
        load.0 += 1;
        drop(load);
        self.record.line(&format!("worker {id} run {request_id}"));
        let factor = if cold > 0 { COLD_FACTOR } else { 1.0 };
        let work = Duration::from_secs_f64(self.plan.work_ms * factor * (0.5 + random()) / 1_000.0);
        let left = deadline.saturating_duration_since(Instant::now());
        thread::sleep(work.min(left));
        self.load.lock().unwrap().0 -= 1;
        self.freed.notify_one();
        let status = if work > left { 504 } else { 200 };
        self.record.line(&format!("worker {id} end {request_id} {status}"));
        let signature = ("Response-Signature", format!("{id}.{request_id}"));
        response(
            status,
            &[own, echo, signature, ("Server-Load", self.load_text())],
            b"the worker's bytes",
        )
    }

    fn load_text(&self) -> String {
        let load = self.load.lock().unwrap();
        format!("{},{},{SLOTS}", load.0, load.1)
    }

    /// Ends the process when a cold worker gets more than it tolerates.
    fn crash_if_overrun(&self, cold: u64) {
        let now = now_ms();
        let mut arrivals = self.arrivals.lock().unwrap();
        arrivals.retain(|it| now - it < 1_000);
        arrivals.push(now);
        if cold > 0 && self.plan.crash_rate > 0 && arrivals.len() as u64 > self.plan.crash_rate {
            self.record.line(&format!(
                "worker {} crashed of {} requests in a second while cold",
                self.plan.id,
                arrivals.len()
            ));
            std::process::exit(3);
        }
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    match args.get(1).map(String::as_str) {
        Some("worker") => {
            run_worker(&args[2..]);
            ExitCode::SUCCESS
        }
        Some("scenario") if args.len() >= 4 => cases::run(&args[2], Path::new(&args[3])),
        _ => {
            eprintln!("standin worker ARGS... | standin scenario NAME DIR");
            ExitCode::from(2)
        }
    }
}
