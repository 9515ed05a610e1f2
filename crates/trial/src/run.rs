//! Running one scenario from start to report.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use eyre::{WrapErr, ensure};
use model::VmName;
use operator::fetch_dump;
use serde_json::Value;
use store::VmListing;

use crate::{
    backend_server::BackendServer,
    deployment::{Deployment, domain_name},
    faults::{TrialWorld, cause},
    gate::{CutBook, Gate},
    judge::Judge,
    load::{Balancer, run_load},
    nodes::{Node, NodeRole},
    report::{CallerTotals, NodeTotals, TrialReport},
    scenario::{LoadKind, Scenario},
    store_server::StoreServer,
};

/// Longest time for all slices to open at the start.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest time for a sheet to reach every router.
const SHEET_TIMEOUT: Duration = Duration::from_secs(15);

/// Time between looks at the nodes.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Bits of the hash that number the slices of a keyed service.
const SLICE_BITS: u32 = 5;

/// Runs a scenario in processes and stand-ins of its own.
pub(crate) fn run_scenario(scenario: Scenario, seed: u64) -> eyre::Result<TrialReport> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    let report = runtime.block_on(run(scenario, seed));
    runtime.shutdown_timeout(Duration::from_millis(200));
    report
}

async fn run(scenario: Scenario, seed: u64) -> eyre::Result<TrialReport> {
    let judge = Arc::new(Judge::new());
    let world = Arc::new(build(&scenario, &judge, seed).await?);
    eprintln!("{}: starting {} processes", scenario.name, world.nodes.len());
    world.apply(Vec::new(), "trial").await?;
    for node in &world.nodes {
        node.start()?;
    }
    await_open(&world).await?;
    let balancer = Arc::new(Balancer::new(&world.net)?);
    let health = tokio::spawn(balancer.clone().check_health());
    let is_over = Arc::new(AtomicBool::new(false));
    let sheets = tokio::spawn(watch_sheets(world.clone(), is_over.clone()));
    tokio::time::sleep(Duration::from_millis(800)).await;
    judge.forget_start();
    let calls_before = world.store.n_calls.load(Ordering::Relaxed);
    let bytes_before = control_bytes(&world).await;
    let started = Instant::now();
    let faults: Vec<_> =
        scenario.fault.iter().map(|it| tokio::spawn(cause(world.clone(), it.clone()))).collect();
    run_load(&scenario, seed, &balancer, &judge).await;
    let elapsed = started.elapsed().as_secs_f64();
    for fault in faults {
        fault.await.wrap_err("step=fault")??;
    }
    let bytes_after = control_bytes(&world).await;
    let n_calls = world.store.n_calls.load(Ordering::Relaxed) - calls_before;
    is_over.store(true, Ordering::Relaxed);
    keep_dumps(&world).await;
    sheets.await?;
    health.abort();
    let bad_exits = stop_nodes(&world).await;
    let callers = judge.totals();
    let mut nodes = world.totals.lock().unwrap_or_else(|it| it.into_inner()).clone();
    nodes.store_calls_per_s = n_calls as f64 / elapsed;
    nodes.control_bytes_per_node_s = bytes_per_node(&bytes_before, &bytes_after, elapsed);
    nodes.bad_exits = bad_exits;
    note_late_work(&world, &judge, &mut nodes);
    let imbalance = imbalance(&scenario, &callers);
    let policy = scenario.policy.to_string();
    keep_or_remove_logs(&world);
    Ok(TrialReport::new(&scenario.name, policy, seed, callers, nodes, imbalance))
}

async fn build(scenario: &Scenario, judge: &Arc<Judge>, seed: u64) -> eyre::Result<TrialWorld> {
    let net = Arc::new(Deployment::new(scenario)?);
    let cuts = Arc::new(CutBook::default());
    let delay = Duration::from_micros(scenario.between_domains_us);
    let open_gate = |outer: SocketAddr, inner: SocketAddr, place: u8| {
        Gate::open(outer, inner, place, net.clone(), cuts.clone(), delay)
    };
    let listed = |name: &String| VmName::try_from(name.as_str());
    let mut vms = Vec::new();
    for vm in &net.vms {
        vms.push(VmListing { name: listed(&vm.name)?, is_leaving: false });
    }
    let store = StoreServer::new(vms);
    let inner = store.serve().await?;
    let _store_gate = open_gate(net.store, inner, crate::gate::PLATFORM).await?;
    let mut servers = Vec::new();
    for (idx, row) in net.servers.iter().enumerate() {
        let server = BackendServer::new(row.clone(), judge.clone(), seed ^ (idx as u64) << 8);
        let inner = server.serve().await?;
        let gate = open_gate(row.address, inner, row.domain).await?;
        servers.push((server, gate));
    }
    let mut nodes = Vec::new();
    for vm in &net.vms {
        for (outer, inner) in vm.gated() {
            open_gate(outer, inner, vm.domain).await?;
        }
        let (router, planner) = net.write_settings(vm, scenario)?;
        nodes.push(Arc::new(Node::new(&vm.name, NodeRole::Planner, planner)));
        nodes.push(Arc::new(Node::new(&vm.name, NodeRole::Router, router)));
    }
    Ok(TrialWorld {
        scenario: scenario.clone(),
        net: net.clone(),
        nodes,
        servers,
        store,
        cuts: cuts.clone(),
        out: Mutex::default(),
        taken_out: Mutex::default(),
        totals: Mutex::default(),
    })
}

/// Waits until every slice of every keyed service is open in some domain.
async fn await_open(world: &TrialWorld) -> eyre::Result<()> {
    let is_keyed = |it: &&crate::scenario::ServiceLoad| it.kind == LoadKind::Keyed;
    let n_keyed = world.scenario.service.iter().filter(is_keyed).count() as u64;
    let expected = n_keyed << SLICE_BITS;
    let started = Instant::now();
    loop {
        let mut open: BTreeMap<u8, u64> = BTreeMap::new();
        let mut n_ready = 0;
        for vm in &world.net.vms {
            let Ok(dump) = fetch_dump(vm.router_operator()).await else { continue };
            let is_ready =
                number(&dump, "lease_left_ms") > 0 && number(&dump, "homes_revision") > 0;
            if is_ready || expected == 0 {
                n_ready += 1;
                let count = number(&dump, "map_open");
                let least = open.entry(vm.domain).or_insert(count);
                *least = (*least).min(count);
            }
        }
        if n_ready == world.net.vms.len() && open.values().sum::<u64>() >= expected {
            return Ok(());
        }
        ensure!(
            started.elapsed() < START_TIMEOUT,
            "step=start cause=\"{n_ready} routers ready, {} of {expected} slices open\" logs={}",
            open.values().sum::<u64>(),
            world.net.directory.display()
        );
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

fn number(dump: &Value, field: &str) -> u64 {
    dump.get(field).and_then(Value::as_u64).unwrap_or_default()
}

/// Time until every router that runs has the sheet; the limit when some never get it.
pub(crate) async fn await_sheet(world: &TrialWorld, revision: u64) -> Duration {
    let started = Instant::now();
    while started.elapsed() < SHEET_TIMEOUT {
        let mut n_behind = 0;
        for (vm, node) in running_routers(world) {
            let has_it = match fetch_dump(vm).await {
                Ok(dump) => number(&dump, "sheet_revision") >= revision,
                Err(_) => !node.is_running(),
            };
            n_behind += usize::from(!has_it);
        }
        if n_behind == 0 {
            return started.elapsed();
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    SHEET_TIMEOUT
}

fn running_routers(world: &TrialWorld) -> impl Iterator<Item = (SocketAddr, &Arc<Node>)> {
    let address = |node: &Node| {
        let vm = world.net.vms.iter().find(|it| it.name == node.vm);
        vm.map(|it| it.router_operator())
    };
    let routers = world.nodes.iter().filter(|it| it.role == NodeRole::Router && it.is_running());
    routers.filter_map(move |it| Some((address(it)?, it)))
}

/// Counts the times that any router goes back to an earlier sheet.
async fn watch_sheets(world: Arc<TrialWorld>, is_over: Arc<AtomicBool>) {
    let mut seen: BTreeMap<(SocketAddr, u64), u64> = BTreeMap::new();
    while !is_over.load(Ordering::Relaxed) {
        for (address, _) in running_routers(&world) {
            let Ok(dump) = fetch_dump(address).await else { continue };
            let revision = number(&dump, "sheet_revision");
            let held = seen.entry((address, number(&dump, "incarnation"))).or_default();
            if revision < *held {
                world.totals.lock().unwrap_or_else(|it| it.into_inner()).sheet_reverts += 1;
            }
            *held = (*held).max(revision);
        }
        tokio::time::sleep(LOOK_INTERVAL * 4).await;
    }
}

/// Bytes that each node has exchanged for control, by its address.
async fn control_bytes(world: &TrialWorld) -> BTreeMap<SocketAddr, f64> {
    let mut bytes = BTreeMap::new();
    for vm in &world.net.vms {
        for address in [vm.router_operator(), vm.planner_operator()] {
            let Ok(answer) = reqwest::get(format!("http://{address}/metrics")).await else {
                continue;
            };
            let text = answer.text().await.unwrap_or_default();
            let count = text
                .lines()
                .find_map(|it| it.strip_prefix("jackdaw_control_bytes_total "))
                .and_then(|it| it.parse().ok());
            bytes.insert(address, count.unwrap_or_default());
        }
    }
    bytes
}

/// Average over the nodes that were up throughout.
fn bytes_per_node(
    before: &BTreeMap<SocketAddr, f64>,
    after: &BTreeMap<SocketAddr, f64>,
    seconds: f64,
) -> f64 {
    let rates: Vec<f64> = after
        .iter()
        .filter_map(|(address, end)| Some((end - before.get(address)?) / seconds))
        .filter(|it| *it >= 0.0)
        .collect();
    rates.iter().sum::<f64>() / rates.len().max(1) as f64
}

async fn stop_nodes(world: &TrialWorld) -> u64 {
    let mut stops = tokio::task::JoinSet::new();
    for node in &world.nodes {
        let node = node.clone();
        stops.spawn(async move { node.stop().await });
    }
    let mut n_bad = 0;
    while let Some(res) = stops.join_next().await {
        n_bad += u64::from(!matches!(res, Ok(true)));
    }
    n_bad
}

/// Notes how long after they were taken out servers and domains still got new work.
fn note_late_work(world: &TrialWorld, judge: &Judge, totals: &mut NodeTotals) {
    let taken_out = world.taken_out.lock().unwrap_or_else(|it| it.into_inner()).clone();
    let still_out = world.out.lock().unwrap_or_else(|it| it.into_inner()).clone();
    for (name, at) in taken_out.iter().filter(|(name, _)| still_out.contains(name)) {
        let servers = world
            .servers
            .iter()
            .filter(|(it, _)| it.row.name == *name || domain_name(it.row.domain) == *name);
        let late = servers
            .filter_map(|(it, _)| judge.last_arrival(&it.row.name))
            .map(|it| it.saturating_duration_since(*at).as_millis() as u64)
            .max()
            .unwrap_or_default();
        let is_server = world.servers.iter().any(|(it, _)| it.row.name == *name);
        match is_server {
            true => totals.new_work_after_drain_ms = totals.new_work_after_drain_ms.max(late),
            false => {
                totals.new_work_after_domain_out_ms = totals.new_work_after_domain_out_ms.max(late);
            }
        }
    }
}

/// The worst service's most loaded server against the mean.
fn imbalance(scenario: &Scenario, totals: &CallerTotals) -> f64 {
    let of_service = |name: &str| -> Vec<f64> {
        let prefix = format!("{name}-");
        let served = totals.served.iter().filter(|(server, _)| server.starts_with(&prefix));
        served.map(|(_, n)| *n as f64).collect()
    };
    let ratio = |served: &[f64], n_servers: f64| {
        let mean = served.iter().sum::<f64>() / n_servers;
        served.iter().copied().fold(0.0, f64::max) / mean.max(1.0)
    };
    let ratios =
        scenario.service.iter().map(|it| ratio(&of_service(&it.name), f64::from(it.servers)));
    ratios.fold(0.0, f64::max)
}

/// Keeps every node's last dump beside its log, when logs are kept.
async fn keep_dumps(world: &TrialWorld) {
    for vm in &world.net.vms {
        for (name, address) in
            [("router", vm.router_operator()), ("planner", vm.planner_operator())]
        {
            if let Ok(dump) = fetch_dump(address).await {
                let file = world.net.directory.join(format!("{}-{name}.json", vm.name));
                let _ = std::fs::write(file, format!("{dump:#}"));
            }
        }
    }
}

fn keep_or_remove_logs(world: &TrialWorld) {
    if std::env::var_os("JACKDAW_TRIAL_KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&world.net.directory);
    }
}
