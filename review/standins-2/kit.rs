//! Small stand-ins for the review's scripts: the platform's store, workers, clients, and processes of the
//! project. Standard library only. They follow the operators' pages; what a case adds to that is in the case.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn lock<T>(it: &Mutex<T>) -> MutexGuard<'_, T> {
    it.lock().unwrap_or_else(|e| e.into_inner())
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---------------------------------------------------------------- record

/// Lines of `record.txt`, with seconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record.txt");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let t = self.start.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{t:8.3} {text}");
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

// ---------------------------------------------------------------- JSON and base64

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = Self::value(bytes, &mut at)?;
        Some(value)
    }

    fn space(b: &[u8], at: &mut usize) {
        while *at < b.len() && b[*at].is_ascii_whitespace() {
            *at += 1;
        }
    }

    fn value(b: &[u8], at: &mut usize) -> Option<Json> {
        Self::space(b, at);
        match *b.get(*at)? {
            b'{' => {
                *at += 1;
                let mut map = BTreeMap::new();
                loop {
                    Self::space(b, at);
                    match *b.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Map(map));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Str(key) = Self::value(b, at)? else { return None };
                            Self::space(b, at);
                            if *b.get(*at)? != b':' {
                                return None;
                            }
                            *at += 1;
                            map.insert(key, Self::value(b, at)?);
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::space(b, at);
                    match *b.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(b, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut out = Vec::new();
                loop {
                    match *b.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return String::from_utf8(out).ok().map(Json::Str);
                        }
                        b'\\' => {
                            let c = *b.get(*at + 1)?;
                            *at += 2;
                            match c {
                                b'n' => out.push(b'\n'),
                                b't' => out.push(b'\t'),
                                b'r' => out.push(b'\r'),
                                b'u' => {
                                    let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                                    let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                                    out.extend(c.to_string().bytes());
                                    *at += 4;
                                }
                                c => out.push(c),
                            }
                        }
                        c => {
                            out.push(c);
                            *at += 1;
                        }
                    }
                }
            }
            b't' => {
                *at += 4;
                Some(Json::Bool(true))
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool(false))
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let from = *at;
                while *at < b.len() && matches!(b[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E') {
                    *at += 1;
                }
                std::str::from_utf8(&b[from..*at]).ok()?.parse().ok().map(Json::Num)
            }
        }
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Json::Str(it) => it,
            _ => "",
        }
    }

    pub fn num(&self) -> u64 {
        match self {
            Json::Num(it) => *it as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(it) => it,
            _ => &[],
        }
    }
}

const B64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (chunk[0] as u32) << 16
            | (*chunk.get(1).unwrap_or(&0) as u32) << 8
            | *chunk.get(2).unwrap_or(&0) as u32;
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(B64[(n >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

/// A time as the pages write it, in milliseconds.
pub fn parse_ms(text: &str) -> u64 {
    match text.strip_suffix("ms") {
        Some(n) => n.parse::<f64>().unwrap_or(0.0) as u64,
        None => (text.trim_end_matches('s').parse::<f64>().unwrap_or(0.0) * 1000.0) as u64,
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct HttpRequest {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

fn header_of<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.as_str())
}

impl HttpRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        header_of(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let raw = query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='))?;
        let mut out = Vec::new();
        let b = raw.as_bytes();
        let mut i = 0;
        while i < b.len() {
            if b[i] == b'%' && i + 2 < b.len() + 0 {
                out.push(u8::from_str_radix(&raw[i + 1..i + 3], 16).unwrap_or(b'?'));
                i += 3;
            } else {
                out.push(b[i]);
                i += 1;
            }
        }
        String::from_utf8(out).ok()
    }
}

#[derive(Debug, Clone, Default)]
pub struct HttpAnswer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether all bytes of the declared length arrived.
    pub complete: bool,
}

impl HttpAnswer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header_of(&self.headers, name)
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    loop {
        first.clear();
        if reader.read_line(&mut first)? == 0 {
            return Ok(None);
        }
        if !first.trim().is_empty() {
            break;
        }
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_chunked(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let n = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if n == 0 {
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
                    return Ok(body);
                }
            }
        }
        let from = body.len();
        body.resize(from + n, 0);
        reader.read_exact(&mut body[from..])?;
        let mut line = String::new();
        reader.read_line(&mut line)?;
    }
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<HttpRequest>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut parts = first.split(' ');
    let method = parts.next().unwrap_or("").to_owned();
    let target = parts.next().unwrap_or("").to_owned();
    let mut body = Vec::new();
    if header_of(&headers, "transfer-encoding").is_some() {
        body = read_chunked(reader)?;
    } else if let Some(n) = header_of(&headers, "content-length").and_then(|it| it.parse().ok()) {
        body.resize(n, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(Some(HttpRequest { method, target, headers, body }))
}

/// Reads one answer; an error if the connection ends before its head is complete.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<HttpAnswer> {
    loop {
        let Some((first, headers)) = read_head(reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let status: u16 = first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
        if status == 100 {
            continue;
        }
        let mut body = Vec::new();
        let mut complete = true;
        if header_of(&headers, "transfer-encoding").is_some() {
            match read_chunked(reader) {
                Ok(it) => body = it,
                Err(_) => complete = false,
            }
        } else if let Some(n) = header_of(&headers, "content-length").and_then(|it| it.parse::<usize>().ok()) {
            let mut buffer = vec![0; 64 * 1024];
            while body.len() < n {
                let want = buffer.len().min(n - body.len());
                match reader.read(&mut buffer[..want]) {
                    Ok(0) | Err(_) => {
                        complete = false;
                        break;
                    }
                    Ok(read) => body.extend_from_slice(&buffer[..read]),
                }
            }
        }
        return Ok(HttpAnswer { status, headers, body, complete });
    }
}

pub fn answer_bytes(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += "\r\n";
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

pub fn request_bytes(method: &str, target: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        out += &format!("Content-Length: {}\r\n", body.len());
    }
    out += "\r\n";
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Calls `serve` on a thread for each connection.
pub fn serve(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            thread::Builder::new().stack_size(256 * 1024).spawn(move || serve(stream)).unwrap();
        }
    });
}

// ---------------------------------------------------------------- the platform's store

#[derive(Debug, Clone)]
pub struct Item {
    pub value: Vec<u8>,
    pub revision: u64,
    pub created: u64,
    pub lease: u64,
}

#[derive(Default)]
pub struct StoreState {
    pub revision: u64,
    pub items: BTreeMap<String, Item>,
    /// Revision, key, and the item as written; `None` if it was removed.
    pub events: Vec<(u64, String, Option<Item>)>,
    pub leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// How the store treats a call: `Serve` as usual, `Silent` without an answer or effect, `Busy` with 503.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StoreMode {
    Serve,
    Silent,
    Busy,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    pub state: Arc<(Mutex<StoreState>, Condvar)>,
    /// Decides on each call by the caller's address.
    pub mode: Arc<Mutex<Box<dyn Fn(SocketAddr, &HttpRequest) -> StoreMode + Send>>>,
    /// Further addresses of the store that are cut off: calls there are silent.
    pub cut_doors: Arc<Mutex<HashSet<SocketAddr>>>,
}

impl StoreState {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |it| it.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.events.push((revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let known = self.leases.remove(&id).is_some();
        let keys: Vec<String> =
            self.items.iter().filter(|it| it.1.lease == id).map(|it| it.0.clone()).collect();
        if known && !keys.is_empty() {
            self.revision += 1;
            let revision = self.revision;
            keys.iter().for_each(|it| self.remove(it, revision));
        }
        known
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("bind the store");
        let store = Store {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
            mode: Arc::new(Mutex::new(Box::new(|_, _| StoreMode::Serve))),
            cut_doors: Arc::default(),
        };
        lock(&store.state.0).revision = 100;
        let it = store.clone();
        serve(listener, move |stream| it.connection(stream));
        let it = store.clone();
        thread::spawn(move || loop {
            thread::sleep(ms(10));
            let mut state = lock(&it.state.0);
            let now = Instant::now();
            let ended: Vec<u64> =
                state.leases.iter().filter(|l| l.1.1 <= now).map(|l| *l.0).collect();
            for id in ended {
                state.end_lease(id);
                it.state.1.notify_all();
            }
        });
        store
    }

    pub fn set_mode(&self, mode: impl Fn(SocketAddr, &HttpRequest) -> StoreMode + Send + 'static) {
        *lock(&self.mode) = Box::new(mode);
    }

    /// Opens a further address of the store.
    pub fn door(&self, ip: &str) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("bind the store");
        let address = listener.local_addr().unwrap();
        let it = self.clone();
        serve(listener, move |stream| it.connection(stream));
        address
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = lock(&self.state.0);
        state.revision += 1;
        let revision = state.revision;
        state.put(key, value.as_bytes().to_vec(), 0, revision);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = lock(&self.state.0);
        if state.items.contains_key(key) {
            state.revision += 1;
            let revision = state.revision;
            state.remove(key, revision);
            self.state.1.notify_all();
        }
    }

    pub fn get(&self, key: &str) -> Option<String> {
        let state = lock(&self.state.0);
        state.items.get(key).map(|it| String::from_utf8_lossy(&it.value).into_owned())
    }

    fn connection(&self, stream: TcpStream) {
        let Ok(peer) = stream.peer_addr() else { return };
        let Ok(door) = stream.local_addr() else { return };
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let mode = match lock(&self.cut_doors).contains(&door) {
                true => StoreMode::Silent,
                false => (lock(&self.mode))(peer, &request),
            };
            let (status, body) = match mode {
                StoreMode::Silent => {
                    // Nothing further comes on this connection.
                    let mut rest = Vec::new();
                    let _ = reader.read_to_end(&mut rest);
                    return;
                }
                StoreMode::Busy => (503, String::new()),
                StoreMode::Serve => self.answer(&request),
            };
            // A cut that began meanwhile holds up the answer as well.
            if lock(&self.cut_doors).contains(&door) {
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return;
            }
            let headers = [("Content-Type", "application/json".to_owned())];
            if out.write_all(&answer_bytes(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &HttpRequest) -> (u16, String) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let path = request.path().to_owned();
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/kv-key") => {
                let key = request.query("key").unwrap_or_default();
                let state = lock(&self.state.0);
                match state.items.get(&key) {
                    Some(item) => {
                        let json = item_json(&key, item);
                        (200, format!("{},\"current_rev\":{}}}", &json[..json.len() - 1], state.revision))
                    }
                    None => (404, String::new()),
                }
            }
            ("GET", "/kv-range") => {
                let prefix = request.query("prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let state = lock(&self.state.0);
                let fits: Vec<_> = state
                    .items
                    .iter()
                    .filter(|it| it.0.starts_with(&prefix) && **it.0 > *after)
                    .take(501)
                    .collect();
                let items: Vec<String> = fits.iter().take(500).map(|it| item_json(it.0, it.1)).collect();
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"has_more\":{},\"current_rev\":{}}}",
                        items.join(","),
                        fits.len() > 500,
                        state.revision
                    ),
                )
            }
            ("GET", "/kv-watch") => {
                let prefix = request.query("prefix").unwrap_or_default();
                let number = |name| request.query(name).and_then(|it| it.parse().ok()).unwrap_or(0u64);
                let (after, wait) = (number("after"), number("wait_ms"));
                let until = Instant::now() + ms(wait);
                let mut state = lock(&self.state.0);
                loop {
                    let events: Vec<String> = state
                        .events
                        .iter()
                        .filter(|it| it.0 > after && it.1.starts_with(&prefix))
                        .map(|it| match &it.2 {
                            Some(item) => item_json(&it.1, item),
                            None => format!("{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}", it.1, it.0),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        let rev = state.revision;
                        return (200, format!("{{\"events\":[{}],\"current_rev\":{rev}}}", events.join(",")));
                    }
                    state = self.state.1.wait_timeout(state, until - now).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => {
                let mut state = lock(&self.state.0);
                for row in body.get("precondition").list() {
                    let revision = state.items.get(row.get("key").str()).map_or(0, |it| it.revision);
                    if revision != row.get("revision").num() {
                        return (412, "{\"items\":[]}".to_owned());
                    }
                }
                for row in body.get("set_keys").list() {
                    let lease = row.get("lease").num();
                    if lease != 0 && !state.leases.contains_key(&lease) {
                        return (404, String::new());
                    }
                }
                state.revision += 1;
                let revision = state.revision;
                for row in body.get("set_keys").list() {
                    let value = unbase64(row.get("value").str());
                    state.put(row.get("key").str(), value, row.get("lease").num(), revision);
                }
                for key in body.get("delete").list() {
                    state.remove(key.str(), revision);
                }
                self.state.1.notify_all();
                (200, format!("{{\"revision\":{revision}}}"))
            }
            ("POST", "/kv-lease") => {
                let ttl = parse_ms(body.get("ttl_time").str());
                let mut state = lock(&self.state.0);
                state.next_lease += 1;
                let id = 70_000 + state.next_lease;
                state.leases.insert(id, (ms(ttl), Instant::now() + ms(ttl)));
                (200, format!("{{\"lease\":{id},\"ttl_time\":\"{ttl}ms\"}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let id = path["/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = lock(&self.state.0);
                match state.leases.get_mut(&id) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_time\":\"{}ms\"}}", ttl.as_millis()))
                    }
                    None => (404, String::new()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let id = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                let known = lock(&self.state.0).end_lease(id);
                self.state.1.notify_all();
                (if known { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, String::new()),
        }
    }
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut n, mut bits) = (0u32, 0);
    for c in text.bytes() {
        let Some(v) = B64.iter().position(|it| *it == c) else { continue };
        n = n << 6 | v as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    out
}

// ---------------------------------------------------------------- processes of the project

/// A running entry process. Dropping it kills the process.
pub struct Entry {
    pub name: String,
    pub ip: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Mutex<Option<Child>>,
    directory: PathBuf,
}

/// A temporary folder of this run.
pub fn temp_dir() -> PathBuf {
    let base = std::env::temp_dir().join(format!("jackdaw-review-{}-{}", std::process::id(), unix_ms()));
    std::fs::create_dir_all(&base).expect("temporary folder");
    base
}

pub fn free_port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0)).expect("free port").local_addr().unwrap().port()
}

impl Entry {
    /// Writes the settings as the template of the deploy file makes them, and starts the process.
    pub fn start(dir: &PathBuf, name: &str, ip: &str, zone: &str, store: SocketAddr) -> Self {
        let directory = dir.join(name);
        std::fs::create_dir_all(&directory).expect("folder of the process");
        let (front, ready, internal, metrics) = (free_port(ip), free_port(ip), free_port(ip), free_port(ip));
        let settings = format!(
            "vm = \"{name}\"\ndomain = \"{zone}\"\ncallers = \"{ip}:{front}\"\nreadiness = \"{ip}:{ready}\"\n\
             reports_port = {internal}\nnews_port = {internal}\nmetrics_port = {metrics}\ncores = 0.2\nstore = \"{store}\"\n\
             retry_ratio = 0.2\nretry_slack = 62\nretry_window = \"10s\"\nmax_hold = \"10000ms\"\n\
             grace = \"6s\"\ndrain = \"2000ms\"\nplan_deadline = \"2000ms\"\nevacuation = \"5000ms\"\n\
             memory_mb = 260\n"
        );
        std::fs::write(directory.join("settings.yaml"), settings).expect("settings");
        let entry = Entry {
            name: name.to_owned(),
            ip: ip.to_owned(),
            front: format!("{ip}:{front}").parse().unwrap(),
            ready: format!("{ip}:{ready}").parse().unwrap(),
            child: Mutex::new(None),
            directory,
        };
        entry.restart();
        entry
    }

    pub fn restart(&self) {
        let log = File::options().append(true).create(true).open(self.directory.join("log")).unwrap();
        let child = Command::new("target/release/jackdaw-entry")
            .arg("--config")
            .arg(self.directory.join("settings.yaml"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => *lock(&self.child) = Some(child),
            Err(err) => {
                eprintln!("the entry can't be started: {err}");
                std::process::exit(2);
            }
        }
    }

    pub fn pid(&self) -> u32 {
        lock(&self.child).as_ref().map_or(0, Child::id)
    }

    /// Sends a signal by name, such as TERM, STOP or CONT.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    pub fn has_ended(&self) -> bool {
        lock(&self.child).as_mut().is_none_or(|it| matches!(it.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let call = request_bytes("GET", "/readyz", &[("Host", "ready".into()), ("Connection", "close".into())], b"");
        call_once(self.ready, &call, ms(500)).is_ok_and(|it| it.status == 200)
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.directory.join("log")).unwrap_or_default()
    }

    pub fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find(|it| it.starts_with("VmRSS")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(mut child) = lock(&self.child).take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Sends bytes on a new connection and reads one answer.
pub fn call_once(to: SocketAddr, bytes: &[u8], timeout: Duration) -> io::Result<HttpAnswer> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(bytes)?;
    read_answer(&mut BufReader::new(stream))
}

pub fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if done() {
            return true;
        }
        thread::sleep(ms(50));
    }
    false
}

pub static N_IDS: AtomicU64 = AtomicU64::new(1);

pub fn next_id() -> String {
    format!("{:016x}", 0x9c41_0000_0000_0000 + N_IDS.fetch_add(1, Ordering::Relaxed))
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

pub struct Flag(pub AtomicBool);
