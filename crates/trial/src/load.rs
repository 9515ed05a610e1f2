//! Callers that send the scenario's load through a stand-in of the platform's load balancer.

use std::{
    net::{IpAddr, Ipv4Addr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use reqwest::Client;

use crate::{
    checker::{CallRecord, CallerOutcome, InvariantChecker},
    deployment::{Deployment, TrialVm},
    scenario::{LoadKind, Scenario, ServiceLoad},
};

/// Pause between rounds of health checks, and the timeout of one check.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// VMs that the balancer tries for one request until it can connect to a router.
const MAX_ATTEMPTS: usize = 3;

/// Longest time that a caller waits for an answer; longer than the deadlines of the scenarios.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// Spreads requests over the VMs whose router is healthy, in round-robin order.
pub(crate) struct LoadBalancer {
    targets: Vec<(TrialVm, AtomicBool)>,
    next_idx: AtomicUsize,
    client: Client,
}

impl LoadBalancer {
    pub(crate) fn new(deployment: &Deployment) -> eyre::Result<Self> {
        let client = Client::builder()
            .local_address(IpAddr::V4(Ipv4Addr::LOCALHOST))
            .no_proxy()
            .connect_timeout(Duration::from_millis(300))
            .tcp_nodelay(true)
            .build()?;
        let targets =
            deployment.vms.iter().map(|it| (it.clone(), AtomicBool::new(false))).collect();
        Ok(Self { targets, next_idx: AtomicUsize::new(0), client })
    }

    /// Checks the health of the VMs' routers, without end.
    pub(crate) async fn check_health(self: Arc<Self>) {
        loop {
            for (vm, is_healthy) in &self.targets {
                let url = format!("http://{}/health", vm.router_operator_address());
                let res = self.client.get(url).timeout(HEALTH_CHECK_INTERVAL).send().await;
                is_healthy.store(res.is_ok_and(|it| it.status().is_success()), Ordering::Relaxed);
            }
            tokio::time::sleep(HEALTH_CHECK_INTERVAL).await;
        }
    }

    fn next_healthy(&self) -> Option<&(TrialVm, AtomicBool)> {
        let n_targets = self.targets.len();
        let next_idx = self.next_idx.fetch_add(1, Ordering::Relaxed);
        let order = (0..n_targets).map(|it| &self.targets[(next_idx + it) % n_targets]);
        let mut healthy = order.filter(|(_, it)| it.load(Ordering::Relaxed));
        healthy.next()
    }
}

/// Draws the services, keys and send times of requests from a seeded generator.
struct LoadGenerator {
    rng: SmallRng,
    services: Vec<(usize, ServiceLoad)>,
    total_share: f64,
    next_id: u64,
}

impl LoadGenerator {
    fn new(scenario: &Scenario, seed: u64) -> Self {
        let services: Vec<_> = scenario.service.iter().cloned().enumerate().collect();
        let total_share = services.iter().map(|(_, it)| it.share).sum();
        Self { rng: SmallRng::seed_from_u64(seed), services, total_share, next_id: 0 }
    }

    /// Draws the exponential time until the next request, at an average of `rate` a second.
    fn draw_interval(&mut self, rate: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate)
    }

    fn draw_request(&mut self) -> GeneratedRequest {
        let mut remaining_share = self.rng.random_range(0.0..self.total_share);
        let mut chosen = self.services.len() - 1;
        for (idx, (_, load)) in self.services.iter().enumerate() {
            if remaining_share < load.share {
                chosen = idx;
                break;
            }
            remaining_share -= load.share;
        }
        let (service, load) = self.services[chosen].clone();
        self.next_id += 1;
        GeneratedRequest {
            id: format!("call-{}", self.next_id),
            key: format!("key-{}", self.draw_key_rank(&load)),
            is_idempotent: self.rng.random_bool(load.idempotent.clamp(0.0, 1.0)),
            service,
            load,
        }
    }

    /// Draws a key's rank by inverting the continuous form of the Zipf distribution.
    fn draw_key_rank(&mut self, load: &ServiceLoad) -> u64 {
        let uniform: f64 = self.rng.random_range(0.0..1.0);
        let n_keys = load.keys as f64;
        let rank = match load.skew {
            skew if skew <= 0.0 => uniform * n_keys,
            skew if (skew - 1.0).abs() < 1e-3 => n_keys.powf(uniform) - 1.0,
            skew => {
                let upper = n_keys.powf(1.0 - skew);
                (1.0 + uniform * (upper - 1.0)).powf(1.0 / (1.0 - skew)) - 1.0
            }
        };
        (rank as u64).min(load.keys.saturating_sub(1))
    }
}

struct GeneratedRequest {
    id: String,
    /// Index of the service in the scenario.
    service: usize,
    load: ServiceLoad,
    key: String,
    is_idempotent: bool,
}

/// Sends the scenario's load for its length, then waits until every request has its outcome.
pub(crate) async fn run_load(
    scenario: &Scenario,
    seed: u64,
    balancer: &Arc<LoadBalancer>,
    checker: &Arc<InvariantChecker>,
) {
    let mut generator = LoadGenerator::new(scenario, seed);
    let started = Instant::now();
    let length = Duration::from_millis(scenario.length_ms);
    let mut due_time = Duration::ZERO;
    let mut calls = tokio::task::JoinSet::new();
    let mut n_printed = 0;
    while due_time < length {
        due_time += generator.draw_interval(scenario.rate);
        let request = generator.draw_request();
        let wait_time = due_time.saturating_sub(started.elapsed());
        if wait_time > Duration::from_millis(1) {
            tokio::time::sleep(wait_time).await;
        }
        calls.spawn(send_with_failover(request, balancer.clone(), checker.clone()));
        while calls.try_join_next().is_some() {}
        let n_steps = started.elapsed().as_secs() / 2;
        if n_steps > n_printed {
            n_printed = n_steps;
            eprintln!("{}: {} of {} s", scenario.name, n_steps * 2, length.as_secs());
        }
    }
    while calls.join_next().await.is_some() {}
}

/// Sends a request to up to [`MAX_ATTEMPTS`] VMs and records its outcome.
async fn send_with_failover(
    request: GeneratedRequest,
    balancer: Arc<LoadBalancer>,
    checker: Arc<InvariantChecker>,
) {
    let started_at = checker.started.elapsed();
    let mut outcome = (CallerOutcome::Unreached, "unreached".to_owned());
    for _ in 0..MAX_ATTEMPTS {
        let Some((vm, is_healthy)) = balancer.next_healthy() else { break };
        match send_once(&request, vm, &balancer.client, &checker).await {
            Some(end) => {
                outcome = end;
                break;
            }
            None => is_healthy.store(false, Ordering::Relaxed),
        }
    }
    checker.record_call(CallRecord {
        id: request.id,
        service: request.service,
        key: request.key,
        is_keyed: request.load.kind == LoadKind::Keyed,
        is_idempotent: request.is_idempotent,
        outcome: outcome.0,
        reason: outcome.1,
        started_at,
        ended_at: checker.started.elapsed(),
    });
}

/// Sends a request to one VM; none when the connection could not be made.
async fn send_once(
    request: &GeneratedRequest,
    vm: &TrialVm,
    client: &Client,
    checker: &InvariantChecker,
) -> Option<(CallerOutcome, String)> {
    let url = format!("http://{}/{}/{}", vm.caller_address(), request.load.name, request.key);
    let builder = match request.is_idempotent {
        true => client.get(url),
        false => client.post(url).body("deposit=1"),
    };
    let sent = builder.header("x-request-id", &request.id).timeout(CALLER_TIMEOUT).send().await;
    let answer = match sent {
        Ok(answer) => answer,
        Err(err) if err.is_connect() => return None,
        Err(_) => return Some((CallerOutcome::Unknown, "connection-lost".to_owned())),
    };
    let header = |name: &str| {
        answer.headers().get(name).and_then(|it| it.to_str().ok()).unwrap_or("none").to_owned()
    };
    let (outcome, reason) = (header("x-jackdaw-outcome"), header("x-jackdaw-reason"));
    Some(match outcome.as_str() {
        "answered" => match answer.text().await {
            Ok(body) => {
                check_body(request, &body, checker);
                (CallerOutcome::Answered, reason)
            }
            Err(_) => (CallerOutcome::Unknown, "answer-cut-at-caller".to_owned()),
        },
        "not-run" => (CallerOutcome::NotRun, format!("not-run {reason}")),
        _ => (CallerOutcome::Unknown, format!("unknown {reason}")),
    })
}

fn check_body(request: &GeneratedRequest, body: &str, checker: &InvariantChecker) {
    let expected = format!("id={} key={} ", request.id, request.key);
    if !body.starts_with(&expected) {
        checker.record_crossed();
    }
    if !body.ends_with("whole\n") {
        checker.record_cut_accepted();
    }
}
