//! Callers behind a stand-in of the platform's balancer.

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
    deployment::{Deployment, TrialVm},
    judge::{CallerOutcome, CallerRecord, Judge},
    scenario::{LoadKind, Scenario, ServiceLoad},
};

/// Time between the balancer's health checks.
const HEALTH_INTERVAL: Duration = Duration::from_millis(200);

/// VMs that the balancer tries for a request that no router took.
const MAX_TRIES: usize = 3;

/// Longest time that a caller waits, beyond any deadline.
const CALLER_PATIENCE: Duration = Duration::from_secs(5);

/// The balancer's view of the VMs.
pub(crate) struct Balancer {
    targets: Vec<(TrialVm, AtomicBool)>,
    turn: AtomicUsize,
    client: Client,
}

impl Balancer {
    pub(crate) fn new(net: &Deployment) -> eyre::Result<Self> {
        let client = Client::builder()
            .local_address(IpAddr::V4(Ipv4Addr::LOCALHOST))
            .no_proxy()
            .connect_timeout(Duration::from_millis(300))
            .tcp_nodelay(true)
            .build()?;
        let targets = net.vms.iter().map(|it| (it.clone(), AtomicBool::new(false))).collect();
        Ok(Self { targets, turn: AtomicUsize::new(0), client })
    }

    /// Keeps the view up to date.
    pub(crate) async fn check_health(self: Arc<Self>) {
        loop {
            for (vm, is_healthy) in &self.targets {
                let url = format!("http://{}/health", vm.router_operator());
                let res = self.client.get(url).timeout(HEALTH_INTERVAL).send().await;
                is_healthy.store(res.is_ok_and(|it| it.status().is_success()), Ordering::Relaxed);
            }
            tokio::time::sleep(HEALTH_INTERVAL).await;
        }
    }

    fn next(&self) -> Option<&(TrialVm, AtomicBool)> {
        let n_targets = self.targets.len();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let order = (0..n_targets).map(|it| &self.targets[(turn + it) % n_targets]);
        let mut healthy = order.filter(|(_, it)| it.load(Ordering::Relaxed));
        healthy.next()
    }
}

/// Draws services, keys and times from a seed.
struct LoadSource {
    rng: SmallRng,
    services: Vec<(usize, ServiceLoad)>,
    total_share: f64,
    next_id: u64,
}

impl LoadSource {
    fn new(scenario: &Scenario, seed: u64) -> Self {
        let services: Vec<_> = scenario.service.iter().cloned().enumerate().collect();
        let total_share = services.iter().map(|(_, it)| it.share).sum();
        Self { rng: SmallRng::seed_from_u64(seed), services, total_share, next_id: 0 }
    }

    fn pause(&mut self, rate: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate)
    }

    fn draw(&mut self) -> DrawnRequest {
        let mut left = self.rng.random_range(0.0..self.total_share);
        let mut chosen = self.services.len() - 1;
        for (idx, (_, load)) in self.services.iter().enumerate() {
            if left < load.share {
                chosen = idx;
                break;
            }
            left -= load.share;
        }
        let (service, load) = self.services[chosen].clone();
        self.next_id += 1;
        DrawnRequest {
            id: format!("call-{}", self.next_id),
            key: format!("key-{}", self.draw_key(&load)),
            is_idempotent: self.rng.random_bool(load.idempotent.clamp(0.0, 1.0)),
            service,
            load,
        }
    }

    /// Draws a key's rank by inverting the continuous form of the Zipf distribution.
    fn draw_key(&mut self, load: &ServiceLoad) -> u64 {
        let uniform: f64 = self.rng.random_range(0.0..1.0);
        let n_keys = load.keys as f64;
        let rank = match load.skew {
            skew if skew <= 0.0 => uniform * n_keys,
            skew if (skew - 1.0).abs() < 1e-3 => n_keys.powf(uniform) - 1.0,
            skew => {
                let end = n_keys.powf(1.0 - skew);
                (1.0 + uniform * (end - 1.0)).powf(1.0 / (1.0 - skew)) - 1.0
            }
        };
        (rank as u64).min(load.keys.saturating_sub(1))
    }
}

struct DrawnRequest {
    id: String,
    service: usize,
    load: ServiceLoad,
    key: String,
    is_idempotent: bool,
}

/// Sends the scenario's load until its length has passed and every caller has its outcome.
pub(crate) async fn run_load(
    scenario: &Scenario,
    seed: u64,
    balancer: &Arc<Balancer>,
    judge: &Arc<Judge>,
) {
    let mut source = LoadSource::new(scenario, seed);
    let started = Instant::now();
    let length = Duration::from_millis(scenario.length_ms);
    let mut due = Duration::ZERO;
    let mut calls = tokio::task::JoinSet::new();
    let mut shown = 0;
    while due < length {
        due += source.pause(scenario.rate);
        let request = source.draw();
        let ahead = due.saturating_sub(started.elapsed());
        if ahead > Duration::from_millis(1) {
            tokio::time::sleep(ahead).await;
        }
        calls.spawn(call(request, balancer.clone(), judge.clone()));
        while calls.try_join_next().is_some() {}
        let seconds = started.elapsed().as_secs() / 2;
        if seconds > shown {
            shown = seconds;
            eprintln!("{}: {} of {} s", scenario.name, seconds * 2, length.as_secs());
        }
    }
    while calls.join_next().await.is_some() {}
}

async fn call(request: DrawnRequest, balancer: Arc<Balancer>, judge: Arc<Judge>) {
    let arrived = judge.started.elapsed();
    let mut outcome = (CallerOutcome::Unreached, "unreached".to_owned());
    for _ in 0..MAX_TRIES {
        let Some((vm, is_healthy)) = balancer.next() else { break };
        match send(&request, vm, &balancer.client, &judge).await {
            Some(end) => {
                outcome = end;
                break;
            }
            None => is_healthy.store(false, Ordering::Relaxed),
        }
    }
    judge.note_caller(CallerRecord {
        id: request.id,
        service: request.service,
        key: request.key,
        is_keyed: request.load.kind == LoadKind::Keyed,
        is_idempotent: request.is_idempotent,
        outcome: outcome.0,
        reason: outcome.1,
        arrived,
        ended: judge.started.elapsed(),
    });
}

/// Sends one request; none when no connection could be made.
async fn send(
    request: &DrawnRequest,
    vm: &TrialVm,
    client: &Client,
    judge: &Judge,
) -> Option<(CallerOutcome, String)> {
    let url = format!("http://{}/{}/{}", vm.caller(), request.load.name, request.key);
    let builder = match request.is_idempotent {
        true => client.get(url),
        false => client.post(url).body("deposit=1"),
    };
    let sent = builder.header("x-request-id", &request.id).timeout(CALLER_PATIENCE).send().await;
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
                judge_body(request, &body, judge);
                (CallerOutcome::Answered, reason)
            }
            Err(_) => (CallerOutcome::Unknown, "answer-cut-at-caller".to_owned()),
        },
        "not-run" => (CallerOutcome::NotRun, format!("not-run {reason}")),
        _ => (CallerOutcome::Unknown, format!("unknown {reason}")),
    })
}

fn judge_body(request: &DrawnRequest, body: &str, judge: &Judge) {
    let expected = format!("id={} key={} ", request.id, request.key);
    if !body.starts_with(&expected) {
        judge.note_crossed();
    }
    if !body.ends_with("whole\n") {
        judge.note_cut_accepted();
    }
}
