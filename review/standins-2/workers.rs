//! A worker of a service that isn't divided by key.
use crate::kit::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

/// A request that a worker has run.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub at: f64,
    pub method: String,
    pub target: String,
    pub body_len: usize,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Worker {
    /// Starts a worker that works for `work_ms` on each request and answers with `answer_len` bytes. It
    /// registers in the store and writes there every 870 ms.
    pub fn start(store: &Store, record: &Record, id: &str, service: &str, zone: &str, ip: &str, work_ms: u64, answer_len: usize) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("bind a worker");
        let worker = Worker { id: id.into(), address: listener.local_addr().unwrap(), runs: Arc::default() };
        let (it, record) = (worker.clone(), record.clone());
        serve(listener, move |stream| {
            let Ok(mut out) = stream.try_clone() else { return };
            let mut reader = BufReader::new(stream);
            while let Ok(Some(request)) = read_request(&mut reader) {
                let named = ("Instance-Id", it.id.clone());
                let load = ("Server-Load", "1,0,4".to_owned());
                if request.path() == "/healthz" {
                    let bytes = answer_bytes(200, &[named, load, ("Cold-Remaining-Ms", "0".into())], b"");
                    if out.write_all(&bytes).is_err() { return; }
                    continue;
                }
                let id = request.header("Request-Id").unwrap_or("-").to_owned();
                if request.header("Target-Instance").is_some_and(|t| t != it.id) {
                    let bytes = answer_bytes(421, &[named, ("Request-Id", id), ("Not-Executed", "1".into())], b"");
                    if out.write_all(&bytes).is_err() { return; }
                    continue;
                }
                let run = Run { id: id.clone(), at: record.now(), method: request.method.clone(), target: request.target.clone(), body_len: request.body.len() };
                lock(&it.runs).push(run);
                record.line(&format!("worker {} runs {id} {} {}", it.id, request.method, request.target));
                thread::sleep(ms(work_ms));
                let body = vec![b'x'; answer_len];
                let headers = [("Request-Id", id.clone()), ("Response-Signature", format!("sig.{id}")), load];
                if out.write_all(&answer_bytes(200, &headers, &body)).is_err() { return; }
            }
        });
        let (store, id, address, service, zone) =
            (store.clone(), worker.id.clone(), worker.address, service.to_owned(), zone.to_owned());
        let born = unix_ms();
        thread::spawn(move || {
            for seq in 1u64.. {
                store.put(&format!("servers/{id}"), &format!(
                    "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"{zone}\",\"max_concurrency\":4}},\"status\":{{\"state\":\"ready\",\"seq\":{seq},\"cold_remaining\":\"0ms\"}}}}"));
                thread::sleep(ms(870));
            }
        });
        worker
    }
}

/// A configuration with one route for each service.
pub fn config(version: u32, routes: &[(&str, &str, &str, &str, &str)]) -> String {
    let rules: Vec<String> = routes.iter().map(|(host, prefix, service, kind, timeout)| format!(
        "{{\"host\":\"{host}\",\"rules\":[{{\"name\":\"r-{service}\",\"kind\":\"{kind}\",\"slo\":\"800ms\",\"priority\":1,\"match\":{{\"prefix\":\"{prefix}\"}},\"action\":{{\"service\":\"{service}\",\"timeout\":\"{timeout}\",\"max_attempts\":2}}}}]}}")).collect();
    let services: Vec<String> = routes.iter().map(|(_, _, service, _, _)| format!(
        "{{\"name\":\"{service}\",\"health_path\":\"/healthz\",\"max_conns\":130,\"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"3s\",\"cold_per_s\":6.0}}")).collect();
    format!("{{\"version\":\"{version:08x}\",\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}},\"listeners\":[{}],\"upstreams\":[{}]}}", rules.join(","), services.join(","))
}
