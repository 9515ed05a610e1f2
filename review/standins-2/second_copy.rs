//! Case: a second copy of the answer to one grant is taken for the answer to the next grant.
mod keyed;
mod kit;

use keyed::*;
use kit::*;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVICE: &str = "history-svc";
/// Length of the cut of the leading machine from the store, and of the time in which orders are left unanswered.
const CUT_MS: u64 = 5_500;
const LATE_WINDOW_MS: u64 = 5_500;
/// Orders that are left unanswered are carried out so much later (2 to 12 s).
const LATE_MS: u64 = 11_500;

#[derive(Default)]
struct Plan {
    /// When the leading machine was cut off, and the highest token that workers had seen by then.
    cut_at: Option<Instant>,
    fence_before: u64,
    highest: u64,
    /// The worker with the faults, the range in question, and when its first order was left unanswered.
    victim: Option<(String, u64, u64, Instant)>,
    seen_ranges: HashSet<(String, u64, u64)>,
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("path of record.txt"));
    // "nocopy": all disruptions but the second copies.
    let mode = std::env::var("TROUBLE").unwrap_or_else(|_| "1".into());
    let (trouble, copies) = (mode != "0", mode != "0" && mode != "nocopy");
    let dir = temp_dir();
    let store = Store::start("127.0.0.1");
    // Each machine has an address of its own to the same store, so that one of them can be cut off.
    let n_machines = 4;
    let doors: Vec<SocketAddr> = (0..n_machines).map(|_| store.door("127.0.0.1")).collect();
    store.put("op/config", &format!("{{\"version\":\"00000007\",\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}},\"listeners\":[{{\"host\":\"hauls.example\",\"rules\":[{{\"name\":\"r-1\",\"kind\":\"idempotent\",\"slo\":\"600ms\",\"priority\":2,\"match\":{{\"prefix\":\"/hauls/\"}},\"action\":{{\"service\":\"{SERVICE}\",\"timeout\":\"4000ms\",\"max_attempts\":2}}}}]}}],\"upstreams\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":54,\"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"3s\",\"cold_per_s\":6.0,\"partitioned\":true,\"warmup\":\"2s\"}}]}}"));
    let plan = Arc::new(Mutex::new(Plan::default()));
    let decide = {
        let (plan, record) = (plan.clone(), record.clone());
        Arc::new(move |worker: &str, order: &Order| {
            let mut plan = lock(&plan);
            plan.highest = plan.highest.max(order.fence);
            let Some(cut_at) = plan.cut_at.filter(|_| trouble) else { return Treat::Normal };
            let is_new = order.fence > plan.fence_before;
            let late = ms(LATE_MS);
            match plan.victim.clone() {
                // The first worker to which the new leader grants a second range on one connection.
                None if is_new && order.path == "/grant" && order.answered_before > 0 && cut_at.elapsed() < ms(CUT_MS) => {
                    let range = (worker.to_owned(), order.first, order.last);
                    if !plan.seen_ranges.insert(range) { return Treat::Normal; }
                    record.line(&format!("the worker with faults is {worker}, the range is {}..{}", order.first, order.last));
                    plan.victim = Some((worker.to_owned(), order.first, order.last, Instant::now()));
                    if copies { Treat::LateAndCopy(late) } else { Treat::Late(late) }
                }
                None => {
                    if is_new { plan.seen_ranges.insert((worker.to_owned(), order.first, order.last)); }
                    Treat::Normal
                }
                Some((victim, first, last, since)) => {
                    let is_meant = victim == worker && order.first <= last && first <= order.last;
                    if !is_meant || since.elapsed() >= ms(LATE_WINDOW_MS) { return Treat::Normal; }
                    match order.path == "/grant" && order.answered_before > 0 && copies {
                        true => Treat::LateAndCopy(late),
                        false => Treat::Late(late),
                    }
                }
            }
        })
    };
    let zones = ["cr-central-a", "cr-central-b", "cr-central-c", "cr-central-d"];
    let workers: Vec<KeyedWorker> = (0..10)
        .map(|k| KeyedWorker::start(&store, &record, &format!("i-h{k}"), SERVICE, zones[k % 4], "127.0.0.2", 30, decide.clone()))
        .collect();
    let entries: Vec<Entry> = (0..n_machines)
        .map(|k| Entry::start(&dir, &format!("edge-{}-1", zones[k]), &format!("127.0.1.{}", k + 1), zones[k], doors[k]))
        .collect();
    let cannot = |why: &str| -> ! {
        record.line(why);
        std::process::exit(2)
    };
    if !wait_until(Duration::from_secs(15), || entries.iter().all(Entry::is_ready)) {
        cannot("the processes are not ready");
    }
    let watcher = Watcher::start(&workers, &record);
    // Clients: evenly over the keys and machines.
    let stop = Arc::new(Mutex::new(false));
    let counts = Arc::new(Mutex::new((0usize, 0usize)));
    let clients: Vec<_> = (0..n_machines)
        .map(|k| {
            let (front, stop, counts) = (entries[k].front, stop.clone(), counts.clone());
            thread::spawn(move || {
                for n in 0u64.. {
                    if *lock(&stop) { return; }
                    let key = (n * 2_654_435_761 + k as u64 * 977) % 65_536;
                    let headers = [
                        ("Host", "hauls.example".to_owned()), ("Request-Id", next_id()), ("Timeout-Ms", "4000".into()),
                        ("Shard-Key", key.to_string()), ("Connection", "close".into()),
                    ];
                    let ok = call_once(front, &request_bytes("GET", "/hauls/1", &headers, b""), ms(4_200)).is_ok_and(|it| it.status == 200);
                    let mut counts = lock(&counts);
                    counts.0 += 1;
                    counts.1 += usize::from(ok);
                    drop(counts);
                    thread::sleep(ms(20));
                }
            })
        })
        .collect();
    thread::sleep(ms(4_000));
    // Planned work: one worker is emptied and taken away (`scale_in`), so that others have more than one range.
    *lock(&workers[9].phase) = "draining";
    record.line("i-h9 drains (scale_in)");
    thread::sleep(ms(3_500));
    *lock(&workers[9].phase) = "gone";
    record.line("i-h9 has left");
    thread::sleep(ms(4_000));
    // The leading machine.
    let holder = store.get("jackdaw/assigner").unwrap_or_default();
    let leader = Json::parse(&holder).map(|it| it.get("vm").str().to_owned()).unwrap_or_default();
    let Some(k) = entries.iter().position(|it| it.name == leader) else { cannot("no machine leads") };
    record.line(&format!("{leader} leads"));
    if trouble {
        let door = doors[k];
        lock(&store.cut_doors).insert(door);
        {
            let mut plan = lock(&plan);
            plan.cut_at = Some(Instant::now());
            plan.fence_before = plan.highest;
        }
        record.line(&format!("{leader} is cut off from the store for {CUT_MS} ms (core_cut leader)"));
        let store = store.clone();
        let record = record.clone();
        thread::spawn(move || {
            thread::sleep(ms(CUT_MS));
            lock(&store.cut_doors).remove(&door);
            record.line("the cut is over");
        });
    }
    // Planned work: the worker is emptied, 1.7 s after its first grant by the new leader.
    let victim = match trouble {
        true => {
            if !wait_until(Duration::from_secs(6), || lock(&plan).victim.is_some()) {
                cannot("no worker has got two ranges on one connection");
            }
            let (victim, _, _, since) = lock(&plan).victim.clone().unwrap();
            thread::sleep((since + ms(1_700)).saturating_duration_since(Instant::now()));
            victim
        }
        false => {
            thread::sleep(ms(4_000));
            "i-h1".to_owned()
        }
    };
    let worker = workers.iter().find(|it| it.id == victim).unwrap();
    *lock(&worker.phase) = "draining";
    record.line(&format!("{victim} drains (scale_in)"));
    thread::sleep(ms(13_000));
    *lock(&stop) = true;
    clients.into_iter().for_each(|it| it.join().unwrap());
    let overlaps = watcher.finish();
    for it in &workers {
        let state = lock(&it.state);
        record.line(&format!("{}: {} answers, {} orders, {} of them unanswered, {} second copies", it.id, state.n_answers, state.n_orders, state.n_unanswered, state.n_copies));
    }
    let (sent, served) = *lock(&counts);
    record.line(&format!("{sent} requests, {served} served"));
    let mut longest: f64 = 0.0;
    for (a, b, key, from, to) in &overlaps {
        record.line(&format!("{a} and {b} both held key {key} from {from:.3} to {to:.3}, {:.3} s", to - from));
        longest = longest.max(to - from);
    }
    record.line(&format!("longest time with two holders: {longest:.3} s; over 0.5 s breaks the rule"));
    println!("two holders for {longest:.3} s");
    drop(entries);
    let _ = std::fs::remove_dir_all(&dir);
    std::process::exit(if longest > 0.5 { 1 } else { 0 });
}
