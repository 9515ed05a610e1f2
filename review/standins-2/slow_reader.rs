//! Case: a client with two requests under way on one kept connection reads the first answer slowly.
mod kit;
mod workers;

use kit::*;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};
use workers::*;

const N_CLIENTS: usize = 8;
/// Longest time of the route, as the sheet of the site has it for `stall-map`.
const ROUTE_TIMEOUT_MS: u64 = 6_000;
/// For so long a slow client takes only a little of its answer; then it takes the rest at once.
const SLOW_MS: u64 = 4_500;
const ANSWER_BYTES: usize = 7_000_000;

fn request(path: &str, id: &str) -> Vec<u8> {
    let headers = [
        ("Host", "stalls.example".to_owned()),
        ("Request-Id", id.to_owned()),
        ("Timeout-Ms", ROUTE_TIMEOUT_MS.to_string()),
    ];
    request_bytes("GET", path, &headers, b"")
}

/// What came of a request: its whole answer, or why there is none.
struct Outcome {
    id: String,
    whole: bool,
    text: String,
}

fn client(k: usize, front: std::net::SocketAddr, record: &Record) -> std::io::Result<Outcome> {
    let stream = TcpStream::connect(front)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    // The connection is a kept one: it has carried a request before.
    out.write_all(&request("/small/1", &next_id()))?;
    read_answer(&mut reader)?;
    let (first, second) = (next_id(), next_id());
    out.write_all(&request("/map/1", &first))?;
    record.line(&format!("client {k} sent {first} GET /map/1"));
    thread::sleep(ms(300));
    out.write_all(&request("/small/2", &second))?;
    record.line(&format!("client {k} sent {second} GET /small/2 on the same connection"));
    let mut begun = Vec::new();
    if trouble() {
        let until = Instant::now() + ms(SLOW_MS - 300);
        let mut piece = vec![0; 10_000];
        while Instant::now() < until {
            match reader.read(&mut piece) {
                Ok(0) | Err(_) => break,
                Ok(n) => begun.extend_from_slice(&piece[..n]),
            }
            thread::sleep(ms(100));
        }
    }
    let n_slow = begun.len();
    let mut rest = BufReader::new(std::io::Cursor::new(begun).chain(reader));
    let answer = read_answer(&mut rest);
    let (whole, text) = match &answer {
        Ok(it) => (
            it.complete && it.status == 200 && it.body.len() == ANSWER_BYTES,
            format!("{} with {} of {ANSWER_BYTES} bytes, complete: {}", it.status, it.body.len(), it.complete),
        ),
        Err(err) => (false, format!("no answer: {err}")),
    };
    record.line(&format!("client {k} got for {first}: {text} ({n_slow} bytes of it slowly)"));
    let next = read_answer(&mut rest);
    record.line(&format!("client {k} got for {second}: {:?}", next.map(|it| it.status).map_err(|it| it.to_string())));
    Ok(Outcome { id: first, whole, text })
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("path of record.txt"));
    let dir = temp_dir();
    let store = Store::start("127.0.0.1");
    let timeout = format!("{ROUTE_TIMEOUT_MS}ms");
    store.put("op/config", &config(7, &[
        ("stalls.example", "/map/", "map-svc", "idempotent", &timeout),
        ("stalls.example", "/small/", "small-svc", "idempotent", &timeout),
    ]));
    let zone = "cr-central-a";
    let maps: Vec<Worker> = (1..=2)
        .map(|it| Worker::start(&store, &record, &format!("i-map{it}"), "map-svc", zone, "127.0.0.2", 50, ANSWER_BYTES))
        .collect();
    let _small = Worker::start(&store, &record, "i-small", "small-svc", zone, "127.0.0.3", 10, 400);
    let entry = Entry::start(&dir, "edge-cr-central-a-1", "127.0.1.1", zone, store.address);
    if !wait_until(Duration::from_secs(15), || entry.is_ready()) {
        record.line("the process is not ready");
        std::process::exit(2);
    }
    // In touch: 3 s without any disruption.
    thread::sleep(ms(3_500));
    let clients: Vec<_> = (0..N_CLIENTS)
        .map(|k| {
            let (front, record) = (entry.front, record.clone());
            thread::spawn(move || client(k, front, &record))
        })
        .collect();
    let outcomes: Vec<_> = clients.into_iter().map(|it| it.join().unwrap()).collect();
    if outcomes.iter().any(|it| it.is_err()) {
        record.line("a client could not connect or got no first answer");
        drop(entry);
        std::process::exit(2);
    }
    let runs: Vec<String> = maps.iter().flat_map(|it| lock(&it.runs).iter().map(|r| r.id.clone()).collect::<Vec<_>>()).collect();
    let mut lost = 0;
    for it in outcomes.into_iter().flatten() {
        // Passed on to a worker, which wrote its whole answer; the connection ended without it.
        if runs.contains(&it.id) && !it.whole {
            lost += 1;
            record.line(&format!("lost: {}: {}", it.id, it.text));
        }
    }
    record.line(&format!("{lost} of {N_CLIENTS} requests were passed on and have no whole answer; more than three break the rule"));
    println!("lost {lost} of {N_CLIENTS}");
    drop(entry);
    let _ = std::fs::remove_dir_all(&dir);
    std::process::exit(if lost > 3 { 1 } else { 0 });
}
