//! The scenarios. Each starts a deployment on loopback addresses, disturbs it unless `TROUBLE=0` is
//! set, and checks one rule on what the stand-ins have recorded.

use super::*;

/// Entry VMs, as many as `sabana-gw` has.
const N_VMS: usize = 10;
const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];
const FRONT: u16 = 8641;
const READY: u16 = 8640;
const INTERNAL: u16 = 7620;
const METRICS: u16 = 9464;
const STORE: u16 = 8642;
const WORKER: u16 = 8500;

/// Exit codes of a case.
const HELD: u8 = 0;
const BROKEN: u8 = 1;
const FAILED: u8 = 2;

pub fn run(name: &str, dir: &Path) -> ExitCode {
    let has_trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let code = match name {
        "cold" => cold(dir, has_trouble),
        "drain" => drain(dir, has_trouble),
        "body" => body(dir, has_trouble),
        _ => FAILED,
    };
    ExitCode::from(code)
}

/// A running deployment; all its processes are killed when it is dropped.
struct Deployment {
    store: Store,
    store_at: SocketAddr,
    record: Record,
    net: u8,
    entries: Vec<Option<Child>>,
    workers: HashMap<String, Child>,
    temp: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.entries.iter_mut().flatten().chain(self.workers.values_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.temp);
    }
}

impl Deployment {
    /// Starts the store. The second byte of all addresses is one at which nothing listens yet.
    fn start(dir: &Path) -> Option<Self> {
        let record = Record::open(&dir.join("record.txt"));
        let first = (std::process::id() % 200) as u8 + 20;
        let (net, listener) = (0..50u8).find_map(|it| {
            let net = 20 + (first - 20 + it) % 200;
            let at = SocketAddr::from(([127, net, 200, 1], STORE));
            TcpListener::bind(at).ok().map(|it| (net, it))
        })?;
        let store_at = listener.local_addr().ok()?;
        let store = Store::start(listener, HEARTBEAT * 3, record.clone());
        let temp = env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&temp).ok()?;
        let (entries, workers) = (Vec::new(), HashMap::new());
        Some(Self { store, store_at, record, net, entries, workers, temp })
    }

    fn vm_at(&self, idx: usize, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.net, 1, idx as u8 + 1], port))
    }

    fn worker_at(&self, idx: usize) -> SocketAddr {
        SocketAddr::from(([127, self.net, 64, idx as u8 + 1], WORKER))
    }

    /// Starts an entry process with the command of the deploy file and settings as its template
    /// gives them for `sabana-gw`.
    fn start_entry(&mut self, idx: usize) {
        let at = |port| self.vm_at(idx, port);
        let (zone, front, ready, store) = (ZONES[idx % 4], at(FRONT), at(READY), self.store_at);
        let settings = format!(
            "vm = \"edge-{idx}\"\ndomain = \"{zone}\"\ncallers = \"{front}\"\nreadiness = \"{ready}\"\n\
             reports_port = {INTERNAL}\nnews_port = {INTERNAL}\nmetrics_port = {METRICS}\ncores = 0.2\n\
             store = \"{store}\"\nretry_ratio = 0.2\nretry_slack = 60\nretry_window = \"10s\"\n\
             max_hold = \"10000ms\"\ngrace = \"6s\"\ndrain = \"2000ms\"\nplan_deadline = \"2000ms\"\n\
             evacuation = \"5000ms\"\n"
        );
        let path = self.temp.join(format!("edge-{idx}.toml"));
        fs::write(&path, settings).expect("settings");
        let log = fs::File::create(self.temp.join(format!("edge-{idx}.log"))).expect("log");
        let child = Command::new("target/release/jackdaw-entry")
            .arg("--config")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("start jackdaw-entry");
        self.record.line(&format!("edge-{idx} started"));
        if self.entries.len() <= idx {
            self.entries.resize_with(idx + 1, || None);
        }
        self.entries[idx] = Some(child);
    }

    /// Whether all entry processes say that they are ready within some seconds.
    fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        let is_ready = |idx| {
            let bytes = b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
            call(self.vm_at(idx, READY), bytes, Duration::from_secs(1))
                .is_ok_and(|it| it.status == 200)
        };
        while Instant::now() < until {
            if (0..self.entries.len()).all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

/// One client attempt.
struct Attempt {
    id: String,
    sent_at: u64,
    status: Option<u16>,
}

/// Sends `rate` requests a second for `length` to all VMs in turn, each on a new connection.
fn send_load(
    fronts: Vec<SocketAddr>,
    rate: f64,
    length: Duration,
    head: &'static str,
    record: Record,
) -> thread::JoinHandle<Vec<Attempt>> {
    const N_CLIENTS: usize = 150;
    let next = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let clients: Vec<_> = (0..N_CLIENTS)
        .map(|_| {
            let (next, fronts, record) = (next.clone(), fronts.clone(), record.clone());
            thread::spawn(move || {
                let mut attempts = Vec::new();
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let due = Duration::from_secs_f64(number as f64 / rate);
                    if due >= length {
                        return attempts;
                    }
                    thread::sleep(due.saturating_sub(started.elapsed()));
                    let id = format!("{number:016x}");
                    let vm = number as usize % fronts.len();
                    let bytes = format!("{head}Request-Id: {id}\r\nTimeout-Ms: 2000\r\n\r\n");
                    let sent_at = now_ms();
                    record.line(&format!("client sends {id} to edge-{vm}"));
                    let res = call(fronts[vm], bytes.as_bytes(), Duration::from_millis(2_500));
                    let status = res.as_ref().ok().map(|it| it.status);
                    let echo = res.as_ref().ok().and_then(|it| it.header("Request-Id"));
                    record.line(&format!(
                        "client got {status:?} for {id} echo={}",
                        echo.unwrap_or("-")
                    ));
                    attempts.push(Attempt { id, sent_at, status });
                }
            })
        })
        .collect();
    thread::spawn(move || {
        clients.into_iter().flat_map(|it| it.join().unwrap_or_default()).collect()
    })
}

fn config(kind: &str, cold_per_s: f64, timeout_ms: u64) -> String {
    format!(
        r#"{{"version":"00000001","limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}},"listeners":[{{"host":"shop.example","rules":[{{"name":"r-1","kind":"{kind}","slo":"300ms","priority":2,"match":{{"prefix":"/avail/"}},"action":{{"service":"avail","timeout":"{timeout_ms}ms","max_attempts":2}}}}]}}],"upstreams":[{{"name":"avail","health_path":"/healthz","max_conns":54,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":{cold_per_s}}}]}}"#
    )
}

/// FAILBACK: a worker that is partitioned from the store crashes there and starts again, cold, under
/// the id that it had.
fn cold(dir: &Path, has_trouble: bool) -> u8 {
    const COLD_PER_S: f64 = 7.9;
    const BOUND: f64 = COLD_PER_S * 1.5 + 5.0;
    const COLD_MS: u64 = 3_000;
    /// One and a half times the bound.
    const CRASH_RATE: u64 = 25;
    const RATE: f64 = 153.0;
    let Some(mut deployment) = Deployment::start(dir) else { return FAILED };
    let speeds = [0.5, 1.0, 1.0, 1.5, 0.5, 1.0, 1.0, 1.5];
    // Two of eight are disturbed, the fast ones.
    let chosen = [3, 7];
    let link_at = SocketAddr::from(([127, deployment.net, 200, 2], STORE));
    let Ok(listener) = TcpListener::bind(link_at) else { return FAILED };
    let is_cut = Arc::new(AtomicBool::new(false));
    link(listener, deployment.store_at, is_cut.clone());
    let worker_record = dir.join("record.txt");
    let plan = |idx: usize, cold_ms: u64| WorkerPlan {
        id: format!("i-{idx}"),
        service: "avail".to_owned(),
        zone: ZONES[idx % 4].to_owned(),
        address: deployment.worker_at(idx),
        store: if chosen.contains(&idx) { link_at } else { deployment.store_at },
        work_ms: 90.0 / speeds[idx],
        cold_ms,
        crash_rate: CRASH_RATE,
        record: worker_record.clone(),
    };
    let plans: Vec<WorkerPlan> = (0..speeds.len()).map(|it| plan(it, 0)).collect();
    let restarted: Vec<WorkerPlan> = chosen.iter().map(|it| plan(*it, COLD_MS)).collect();
    for plan in plans {
        deployment.workers.insert(plan.id.clone(), plan.spawn());
    }
    for idx in 0..N_VMS {
        deployment.start_entry(idx);
    }
    thread::sleep(Duration::from_millis(500));
    deployment.store.put("op/config", &config("idempotent", COLD_PER_S, 1_000));
    if !deployment.wait_until_ready() {
        return FAILED;
    }
    thread::sleep(Duration::from_secs(2));
    let fronts = (0..N_VMS).map(|it| deployment.vm_at(it, FRONT)).collect();
    let head = "GET /avail/x HTTP/1.1\r\nHost: shop.example\r\n";
    let load = send_load(fronts, RATE, Duration::from_secs(24), head, deployment.record.clone());
    thread::sleep(Duration::from_secs(8));
    let ids: Vec<String> = restarted.iter().map(|it| it.id.clone()).collect();
    if has_trouble {
        deployment.record.line(&format!("trouble: {ids:?} are cut off from the store"));
        is_cut.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(300));
        deployment.record.line(&format!("trouble: {ids:?} crash"));
        for id in &ids {
            if let Some(mut child) = deployment.workers.remove(id) {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        thread::sleep(Duration::from_millis(300));
        for plan in &restarted {
            deployment.workers.insert(plan.id.clone(), plan.spawn());
        }
        thread::sleep(Duration::from_millis(9_400));
        deployment.record.line(&format!("trouble: {ids:?} reach the store again"));
        is_cut.store(false, Ordering::SeqCst);
    }
    let attempts = load.join().unwrap_or_default();
    let sent: HashMap<&str, u64> = attempts.iter().map(|it| (it.id.as_str(), it.sent_at)).collect();
    let record = deployment.record.clone();
    drop(deployment);
    // Requests at each worker while it was cold: when each was sent and when it arrived.
    let text = fs::read_to_string(dir.join("record.txt")).unwrap_or_default();
    let mut most = 0;
    for id in &ids {
        let prefix = format!("worker {id} arrival ");
        let mut arrivals: Vec<(u64, u64)> = Vec::new();
        for line in text.lines() {
            let Some((at, event)) = line.split_once(' ') else { continue };
            let Some(rest) = event.strip_prefix(&prefix) else { continue };
            let Some((request, cold_left)) = rest.split_once(" cold_left=") else { continue };
            if cold_left != "0"
                && let (Ok(at), Some(sent_at)) = (at.parse(), sent.get(request))
            {
                arrivals.push((*sent_at, at));
            }
        }
        let in_window =
            |start: u64| arrivals.iter().filter(|it| it.0 >= start && it.1 < start + 1_000).count();
        most = most.max(arrivals.iter().map(|it| in_window(it.0)).max().unwrap_or(0));
    }
    let n_crashes = text.matches("requests in a second while cold").count();
    let n_ok = attempts.iter().filter(|it| it.status == Some(200)).count();
    let verdict = format!(
        "FAILBACK: a cold worker got at most {most} requests in one second, bound {BOUND}; crashes while cold: {n_crashes}; {n_ok} of {} requests were answered with 200",
        attempts.len()
    );
    record.line(&verdict);
    println!("{verdict}");
    match (attempts.len(), most as f64 > BOUND) {
        (0..1_000, _) => FAILED,
        (_, true) => BROKEN,
        (_, false) => HELD,
    }
}

/// DRAIN: a worker's write of `ready` that got no answer is carried out after its report of
/// `draining`.
fn drain(dir: &Path, has_trouble: bool) -> u8 {
    const DRAIN_MS: u64 = 2_000;
    const RATE: f64 = 74.6;
    let Some(mut deployment) = Deployment::start(dir) else { return FAILED };
    let speeds = [0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7];
    let id = "i-2".to_owned();
    for (idx, speed) in speeds.iter().enumerate() {
        let plan = WorkerPlan {
            id: format!("i-{idx}"),
            service: "avail".to_owned(),
            zone: ZONES[idx % 4].to_owned(),
            address: deployment.worker_at(idx),
            store: deployment.store_at,
            work_ms: 120.0 / speed,
            cold_ms: 0,
            crash_rate: 0,
            record: dir.join("record.txt"),
        };
        deployment.workers.insert(plan.id.clone(), plan.spawn());
    }
    let worker_at = deployment.worker_at(2);
    for idx in 0..N_VMS {
        deployment.start_entry(idx);
    }
    thread::sleep(Duration::from_millis(500));
    deployment.store.put("op/config", &config("non_idempotent", 7.9, 1_200));
    if !deployment.wait_until_ready() {
        return FAILED;
    }
    thread::sleep(Duration::from_secs(2));
    let fronts = (0..N_VMS).map(|it| deployment.vm_at(it, FRONT)).collect();
    let head = "POST /avail/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n";
    let load = send_load(fronts, RATE, Duration::from_secs(18), head, deployment.record.clone());
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        // The answer to the worker's next write is lost; it is carried out 5.7 s after its arrival.
        deployment.store.delay_next_write(&id, Duration::from_millis(5_700));
    }
    // More than `contact` without any disruption of the store.
    thread::sleep(Duration::from_millis(3_500));
    let order = |path: &str| {
        let bytes = format!("GET {path} HTTP/1.1\r\nHost: worker\r\n\r\n");
        let _ = call(worker_at, bytes.as_bytes(), Duration::from_secs(1));
        now_ms()
    };
    let acked_at = order("/stand-in/drain");
    deployment.record.line(&format!("the store has acknowledged that {id} is draining"));
    thread::sleep(Duration::from_millis(DRAIN_MS + 700));
    order("/stand-in/leave");
    let attempts = load.join().unwrap_or_default();
    let record = deployment.record.clone();
    drop(deployment);
    let text = fs::read_to_string(dir.join("record.txt")).unwrap_or_default();
    let times_of = |event: &str| -> HashMap<String, u64> {
        let prefix = format!("worker {id} {event} ");
        let lines = text.lines().filter_map(|line| {
            let (at, rest) = line.split_once(' ')?;
            let request = rest.strip_prefix(&prefix)?.split(' ').next()?;
            Some((request.to_owned(), at.parse().ok()?))
        });
        lines.collect()
    };
    let (arrivals, runs, ends) = (times_of("arrival"), times_of("run"), times_of("end"));
    let late = arrivals.values().filter(|it| **it > acked_at + DRAIN_MS).count();
    let cut = runs.keys().filter(|it| !ends.contains_key(*it)).count();
    let n_ok = attempts.iter().filter(|it| it.status == Some(200)).count();
    let verdict = format!(
        "DRAIN: {late} requests reached {id} later than {DRAIN_MS} ms after the store had acknowledged that it is draining; {cut} were cut while they ran; {n_ok} of {} requests were answered with 200",
        attempts.len()
    );
    record.line(&verdict);
    println!("{verdict}");
    match (attempts.len(), late) {
        (0..500, _) => FAILED,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}

/// Fault: clients send bodies as long as the configuration allows, and processes exceed their memory.
fn body(dir: &Path, has_trouble: bool) -> u8 {
    const MEMORY_BYTES: u64 = 260 * 1024 * 1024;
    const N_ENDS: usize = 3;
    const N_UPLOADS: usize = 3;
    /// Time between two parts of a body, so that all bodies at a VM together stay within its link.
    const PART_BYTES: usize = 1_000_000;
    const PART_TIME: Duration = Duration::from_millis(8 * N_UPLOADS as u64);
    let body_bytes = if has_trouble { 67_108_864 } else { 24_000 };
    let Some(mut deployment) = Deployment::start(dir) else { return FAILED };
    for idx in 0..8 {
        let plan = WorkerPlan {
            id: format!("i-{idx}"),
            service: "avail".to_owned(),
            zone: ZONES[idx % 4].to_owned(),
            address: deployment.worker_at(idx),
            store: deployment.store_at,
            work_ms: 120.0,
            cold_ms: 0,
            crash_rate: 0,
            record: dir.join("record.txt"),
        };
        deployment.workers.insert(plan.id.clone(), plan.spawn());
    }
    for idx in 0..N_VMS {
        deployment.start_entry(idx);
    }
    thread::sleep(Duration::from_millis(500));
    deployment.store.put("op/config", &config("idempotent", 7.9, 3_000));
    if !deployment.wait_until_ready() {
        return FAILED;
    }
    thread::sleep(Duration::from_secs(2));
    let fronts: Vec<_> = (0..N_VMS).map(|it| deployment.vm_at(it, FRONT)).collect();
    let head = "POST /avail/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n";
    let load =
        send_load(fronts.clone(), 29.8, Duration::from_secs(30), head, deployment.record.clone());
    let mut n_ends = [0; N_VMS];
    let mut most = 0;
    for round in 0..N_ENDS {
        let uploads: Vec<_> = (0..2 * N_UPLOADS).map(|number| {
            let (vm, record) = (number % 2, deployment.record.clone());
            let front = fronts[vm];
            thread::spawn(move || {
                let id = format!("body-{round}-{number}");
                record.line(&format!("client sends {id} to edge-{vm} with {body_bytes} bytes"));
                let head = format!("POST /avail/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nTimeout-Ms: 6000\r\nContent-Length: {body_bytes}\r\n\r\n");
                let res = upload(front, &head, body_bytes, PART_BYTES, PART_TIME);
                let status = res.as_ref().ok().map(|it| it.status);
                record.line(&format!("client got {status:?} for {id}"));
            })
        }).collect();
        let until = Instant::now() + Duration::from_secs(6);
        let mut restart_at: [Option<Instant>; N_VMS] = [None; N_VMS];
        while Instant::now() < until {
            for idx in 0..N_VMS {
                if restart_at[idx].is_some_and(|it| it <= Instant::now()) {
                    restart_at[idx] = None;
                    deployment.start_entry(idx);
                }
                let Some(child) = &mut deployment.entries[idx] else { continue };
                let resident = resident_bytes(child.id());
                most = most.max(resident);
                if resident > MEMORY_BYTES {
                    // What the platform does with a process that exceeds its memory.
                    let _ = child.kill();
                    let _ = child.wait();
                    deployment.entries[idx] = None;
                    n_ends[idx] += 1;
                    restart_at[idx] = Some(Instant::now() + Duration::from_millis(300));
                    let text = format!("platform kills edge-{idx}, which takes {resident} bytes");
                    deployment.record.line(&text);
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
        for upload in uploads {
            let _ = upload.join();
        }
        thread::sleep(Duration::from_secs(2));
    }
    let attempts = load.join().unwrap_or_default();
    let record = deployment.record.clone();
    drop(deployment);
    let n_vms = n_ends.iter().filter(|it| **it >= N_ENDS).count();
    let n_lost = attempts.iter().filter(|it| it.status.is_none()).count();
    let verdict = format!(
        "Fault: {n_vms} of {N_VMS} processes exceeded their memory {N_ENDS} times, at most {} MB; {n_lost} of {} other requests got no answer",
        most / 1_000_000,
        attempts.len()
    );
    record.line(&verdict);
    println!("{verdict}");
    match (attempts.len(), n_vms) {
        (0..300, _) => FAILED,
        (_, 0..2) => HELD,
        _ => BROKEN,
    }
}

/// Resident memory of a process that this one started.
fn resident_bytes(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|it| it.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Sends a request with a body of `n_bytes`, part by part, and reads the answer.
fn upload(
    front: SocketAddr,
    head: &str,
    n_bytes: usize,
    part_bytes: usize,
    part_time: Duration,
) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    stream.write_all(head.as_bytes())?;
    let started = Instant::now();
    let part = vec![b'x'; part_bytes];
    let mut n_sent = 0;
    for number in 0.. {
        if n_sent == n_bytes {
            break;
        }
        thread::sleep((part_time * number).saturating_sub(started.elapsed()));
        let n_part = part_bytes.min(n_bytes - n_sent);
        stream.write_all(&part[..n_part])?;
        n_sent += n_part;
    }
    read_answer(&mut BufReader::new(stream))
}
