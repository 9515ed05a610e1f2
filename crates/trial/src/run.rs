//! Runs one scenario: starts the processes, sends the load, causes the faults and reports.

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
    checker::InvariantChecker,
    deployment::{Deployment, domain_name},
    fault_proxy::{FaultProxy, PartitionTable},
    faults::{TrialCluster, inject_fault},
    load::{LoadBalancer, run_load},
    nodes::{NodeProcess, NodeRole},
    report::{CallTotals, NodeTotals, TrialReport},
    scenario::{LoadKind, Scenario},
    store_server::StoreServer,
};

/// Longest time until every slice is open after the start.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest time until every router has adopted a sheet.
const SHEET_TIMEOUT: Duration = Duration::from_secs(15);

/// Time between two polls of the nodes' dumps.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Leading bits of a key's hash that make up its slice; the sheet sets the same `slice-bits`.
const SLICE_BITS: u32 = 5;

/// Runs a scenario with its own node processes and stand-ins and returns its figures.
pub(crate) fn run_scenario(scenario: Scenario, seed: u64) -> eyre::Result<TrialReport> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    let report = runtime.block_on(run(scenario, seed));
    runtime.shutdown_timeout(Duration::from_millis(200));
    report
}

async fn run(scenario: Scenario, seed: u64) -> eyre::Result<TrialReport> {
    let checker = Arc::new(InvariantChecker::new());
    let cluster = Arc::new(build_cluster(&scenario, &checker, seed).await?);
    eprintln!("{}: starting {} processes", scenario.name, cluster.nodes.len());
    cluster.apply(Vec::new(), "trial").await?;
    for node in &cluster.nodes {
        node.start()?;
    }
    wait_for_open_slices(&cluster).await?;
    let balancer = Arc::new(LoadBalancer::new(&cluster.deployment)?);
    let health_check = tokio::spawn(balancer.clone().check_health());
    let is_over = Arc::new(AtomicBool::new(false));
    let revert_counter = tokio::spawn(count_sheet_reverts(cluster.clone(), is_over.clone()));
    tokio::time::sleep(Duration::from_millis(800)).await;
    checker.reset_moves();
    let calls_before = cluster.store.n_calls.load(Ordering::Relaxed);
    let bytes_before = control_bytes(&cluster).await;
    let started = Instant::now();
    let faults: Vec<_> = scenario
        .fault
        .iter()
        .map(|it| tokio::spawn(inject_fault(cluster.clone(), it.clone())))
        .collect();
    run_load(&scenario, seed, &balancer, &checker).await;
    let elapsed = started.elapsed().as_secs_f64();
    for fault in faults {
        fault.await.wrap_err("step=fault")??;
    }
    let bytes_after = control_bytes(&cluster).await;
    let n_calls = cluster.store.n_calls.load(Ordering::Relaxed) - calls_before;
    is_over.store(true, Ordering::Relaxed);
    save_dumps(&cluster).await;
    revert_counter.await?;
    health_check.abort();
    let bad_exits = stop_nodes(&cluster).await;
    let call_totals = checker.totals();
    let mut node_totals = cluster.node_totals.lock().unwrap_or_else(|it| it.into_inner()).clone();
    node_totals.store_calls_per_s = n_calls as f64 / elapsed;
    node_totals.control_bytes_per_node_s = bytes_per_node(&bytes_before, &bytes_after, elapsed);
    node_totals.bad_exits = bad_exits;
    record_late_work(&cluster, &checker, &mut node_totals);
    let imbalance = imbalance(&scenario, &call_totals);
    let policy = scenario.policy.to_string();
    remove_logs_unless_kept(&cluster);
    Ok(TrialReport::new(&scenario.name, policy, seed, call_totals, node_totals, imbalance))
}

async fn build_cluster(
    scenario: &Scenario,
    checker: &Arc<InvariantChecker>,
    seed: u64,
) -> eyre::Result<TrialCluster> {
    let deployment = Arc::new(Deployment::new(scenario)?);
    let partitions = Arc::new(PartitionTable::default());
    let delay = Duration::from_micros(scenario.between_domains_us);
    let open_proxy = |listen_address: SocketAddr, target_address: SocketAddr, site: u8| {
        FaultProxy::open(
            listen_address,
            target_address,
            site,
            deployment.clone(),
            partitions.clone(),
            delay,
        )
    };
    let vm_name = |name: &String| VmName::try_from(name.as_str());
    let mut vms = Vec::new();
    for vm in &deployment.vms {
        vms.push(VmListing { name: vm_name(&vm.name)?, is_leaving: false });
    }
    let store = StoreServer::new(vms);
    let address = store.serve().await?;
    let _store_proxy =
        open_proxy(deployment.store, address, crate::fault_proxy::PLATFORM_SITE).await?;
    let mut servers = Vec::new();
    for (idx, config) in deployment.servers.iter().enumerate() {
        let server = BackendServer::new(config.clone(), checker.clone(), seed ^ (idx as u64) << 8);
        let address = server.serve().await?;
        let proxy = open_proxy(config.address, address, config.domain).await?;
        servers.push((server, proxy));
    }
    let mut nodes = Vec::new();
    for vm in &deployment.vms {
        for (listen_address, target_address) in vm.proxied_addresses() {
            open_proxy(listen_address, target_address, vm.domain).await?;
        }
        let (router_file, planner_file) = deployment.write_settings(vm, scenario)?;
        nodes.push(Arc::new(NodeProcess::new(&vm.name, NodeRole::Planner, planner_file)));
        nodes.push(Arc::new(NodeProcess::new(&vm.name, NodeRole::Router, router_file)));
    }
    Ok(TrialCluster {
        scenario: scenario.clone(),
        deployment: deployment.clone(),
        nodes,
        servers,
        store,
        partitions: partitions.clone(),
        out_names: Mutex::default(),
        removals: Mutex::default(),
        node_totals: Mutex::default(),
    })
}

/// Waits until every router is ready and each slice of each keyed service is open in a failure
/// domain. Of a domain's routers the one that sees the fewest open slices counts.
async fn wait_for_open_slices(cluster: &TrialCluster) -> eyre::Result<()> {
    let is_keyed = |it: &&crate::scenario::ServiceLoad| it.kind == LoadKind::Keyed;
    let n_keyed = cluster.scenario.service.iter().filter(is_keyed).count() as u64;
    let expected = n_keyed << SLICE_BITS;
    let started = Instant::now();
    loop {
        let mut open_slices: BTreeMap<u8, u64> = BTreeMap::new();
        let mut n_ready = 0;
        for vm in &cluster.deployment.vms {
            let Ok(dump) = fetch_dump(vm.router_operator_address()).await else { continue };
            let is_router_ready =
                dump_number(&dump, "lease_left_ms") > 0 && dump_number(&dump, "homes_revision") > 0;
            if is_router_ready || expected == 0 {
                n_ready += 1;
                let count = dump_number(&dump, "map_open");
                let fewest_open = open_slices.entry(vm.domain).or_insert(count);
                *fewest_open = (*fewest_open).min(count);
            }
        }
        if n_ready == cluster.deployment.vms.len() && open_slices.values().sum::<u64>() >= expected
        {
            return Ok(());
        }
        ensure!(
            started.elapsed() < START_TIMEOUT,
            "step=start cause=\"{n_ready} routers ready, {} of {expected} slices open\" logs={}",
            open_slices.values().sum::<u64>(),
            cluster.deployment.directory.display()
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn dump_number(dump: &Value, field: &str) -> u64 {
    dump.get(field).and_then(Value::as_u64).unwrap_or_default()
}

/// Returns how long it took until every running router had the sheet, or [`SHEET_TIMEOUT`] when
/// one of them didn't get it in that time.
pub(crate) async fn wait_for_sheet(cluster: &TrialCluster, revision: u64) -> Duration {
    let started = Instant::now();
    while started.elapsed() < SHEET_TIMEOUT {
        let mut n_outdated = 0;
        for (address, node) in running_routers(cluster) {
            let has_sheet = match fetch_dump(address).await {
                Ok(dump) => dump_number(&dump, "sheet_revision") >= revision,
                Err(_) => !node.is_running(),
            };
            n_outdated += usize::from(!has_sheet);
        }
        if n_outdated == 0 {
            return started.elapsed();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    SHEET_TIMEOUT
}

fn running_routers(
    cluster: &TrialCluster,
) -> impl Iterator<Item = (SocketAddr, &Arc<NodeProcess>)> {
    let address = |node: &NodeProcess| {
        let vm = cluster.deployment.vms.iter().find(|it| it.name == node.vm);
        vm.map(|it| it.router_operator_address())
    };
    let routers = cluster.nodes.iter().filter(|it| it.role == NodeRole::Router && it.is_running());
    routers.filter_map(move |it| Some((address(it)?, it)))
}

/// Counts how often a router goes back to an older sheet within one incarnation.
async fn count_sheet_reverts(cluster: Arc<TrialCluster>, is_over: Arc<AtomicBool>) {
    let mut seen: BTreeMap<(SocketAddr, u64), u64> = BTreeMap::new();
    while !is_over.load(Ordering::Relaxed) {
        for (address, _) in running_routers(&cluster) {
            let Ok(dump) = fetch_dump(address).await else { continue };
            let revision = dump_number(&dump, "sheet_revision");
            let newest = seen.entry((address, dump_number(&dump, "incarnation"))).or_default();
            if revision < *newest {
                cluster.node_totals.lock().unwrap_or_else(|it| it.into_inner()).sheet_reverts += 1;
            }
            *newest = (*newest).max(revision);
        }
        tokio::time::sleep(POLL_INTERVAL * 4).await;
    }
}

/// Reads each reachable node's counter of control bytes, by the node's operator address.
async fn control_bytes(cluster: &TrialCluster) -> BTreeMap<SocketAddr, f64> {
    let mut bytes = BTreeMap::new();
    for vm in &cluster.deployment.vms {
        for address in [vm.router_operator_address(), vm.planner_operator_address()] {
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

/// Average rate over the nodes that were reachable at both readings. Leaves out nodes whose counter
/// fell, which a restart causes.
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

/// Stops every node and returns how many did not exit on their own with status 0.
async fn stop_nodes(cluster: &TrialCluster) -> u64 {
    let mut stop_tasks = tokio::task::JoinSet::new();
    for node in &cluster.nodes {
        let node = node.clone();
        stop_tasks.spawn(async move { node.stop().await });
    }
    let mut n_bad_exits = 0;
    while let Some(res) = stop_tasks.join_next().await {
        n_bad_exits += u64::from(!matches!(res, Ok(true)));
    }
    n_bad_exits
}

/// Records how long servers and failure domains that are still out received new requests after
/// the sheet had taken them out.
fn record_late_work(cluster: &TrialCluster, checker: &InvariantChecker, totals: &mut NodeTotals) {
    let removals = cluster.removals.lock().unwrap_or_else(|it| it.into_inner()).clone();
    let out_names = cluster.out_names.lock().unwrap_or_else(|it| it.into_inner()).clone();
    for (name, at) in removals.iter().filter(|(name, _)| out_names.contains(name)) {
        let servers = cluster
            .servers
            .iter()
            .filter(|(it, _)| it.config.name == *name || domain_name(it.config.domain) == *name);
        let late_ms = servers
            .filter_map(|(it, _)| checker.last_arrival(&it.config.name))
            .map(|it| it.saturating_duration_since(*at).as_millis() as u64)
            .max()
            .unwrap_or_default();
        let is_server = cluster.servers.iter().any(|(it, _)| it.config.name == *name);
        match is_server {
            true => totals.new_work_after_drain_ms = totals.new_work_after_drain_ms.max(late_ms),
            false => {
                totals.new_work_after_domain_out_ms =
                    totals.new_work_after_domain_out_ms.max(late_ms);
            }
        }
    }
}

/// The highest ratio, over all services, of a server's commits to the mean of its service.
fn imbalance(scenario: &Scenario, totals: &CallTotals) -> f64 {
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

/// Writes each reachable node's last dump into the directory of the logs.
async fn save_dumps(cluster: &TrialCluster) {
    for vm in &cluster.deployment.vms {
        for (name, address) in
            [("router", vm.router_operator_address()), ("planner", vm.planner_operator_address())]
        {
            if let Ok(dump) = fetch_dump(address).await {
                let file = cluster.deployment.directory.join(format!("{}-{name}.json", vm.name));
                let _ = std::fs::write(file, format!("{dump:#}"));
            }
        }
    }
}

/// Removes the trial's directory unless `JACKDAW_TRIAL_KEEP` is set.
fn remove_logs_unless_kept(cluster: &TrialCluster) {
    if std::env::var_os("JACKDAW_TRIAL_KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&cluster.deployment.directory);
    }
}
