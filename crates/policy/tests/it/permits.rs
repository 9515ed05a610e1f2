//! The rate of all routers together at a server that names a limit, with lost, late and repeated
//! messages between them.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashSet},
    time::Duration,
};

use model::{MonoTime, ServerName, VmName};
use policy::{KeeperHealth, KeeperRank, PermitDecision, PermitKeeper, permit_keepers};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Window over which the rule sums arrivals.
const WINDOW_MS: u64 = 4_000;

/// Times that a call is sent, 80 ms apart, before it is given up.
const N_SENDS: u64 = 3;

const RESEND_MS: u64 = 80;

/// Something that happens at a simulated time, in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// A request arrives at a router.
    Request { router: usize },
    /// A call for a permit arrives at a keeper.
    Call { id: usize, keeper: usize, rank: usize },
    /// The answer arrives: the wait in milliseconds, if it is granted.
    Reply { id: usize, wait_ms: Option<u64> },
    /// The router gives the call up.
    GiveUp { id: usize },
}

/// A call for a permit.
#[derive(Debug, Clone)]
struct SimCall {
    router: usize,
    keeper: usize,
    asked_ms: u64,
    is_open: bool,
}

/// Parameters of a simulation.
#[derive(Debug, Clone)]
struct SimFleet {
    seed: u64,
    n_routers: usize,
    /// Limit from each time on, in milliseconds and requests a second.
    limits: Vec<(u64, f64)>,
    /// Requests a second at all routers together.
    demand: f64,
    /// Longest time in milliseconds that a request can wait.
    max_wait_ms: u64,
    loss: f64,
    end_ms: u64,
    /// Time in which the first keeper is frozen.
    frozen: Option<(u64, u64)>,
    /// Until when each second router does not know the first keeper.
    is_split_until: u64,
}

impl Default for SimFleet {
    fn default() -> Self {
        Self {
            seed: 1,
            n_routers: 11,
            limits: vec![(0, 1.9)],
            demand: 10.0,
            max_wait_ms: 200,
            loss: 0.05,
            end_ms: 68_000,
            frozen: None,
            is_split_until: 0,
        }
    }
}

fn at(millis: u64) -> MonoTime {
    // The clock of a process that has run for a while.
    MonoTime::from_millis(millis + 100_000)
}

const RANKS: [KeeperRank; 3] = [KeeperRank::First, KeeperRank::Second, KeeperRank::Alone];

impl SimFleet {
    fn limit(&self, now: u64) -> f64 {
        self.limits.iter().rev().find(|it| it.0 <= now).map_or(0.0, |it| it.1)
    }

    fn is_frozen(&self, now: u64) -> bool {
        self.frozen.is_some_and(|(from, until)| (from..until).contains(&now))
    }

    /// Returns the times in milliseconds at which the server gets requests.
    fn run(&self) -> Vec<u64> {
        let server = ServerName::try_from("q-1").expect("valid name");
        let names: Vec<VmName> = (0..self.n_routers)
            .map(|it| VmName::try_from(format!("vm-{it}")).expect("valid name"))
            .collect();
        let index = |vm: &VmName| names.iter().position(|it| it == vm).expect("known");
        let all = permit_keepers(&server, names.iter().map(|it| (it, false)));
        let first = index(all[0].expect("a router"));
        let others = names.iter().enumerate().filter(|(idx, _)| *idx != first);
        let split = permit_keepers(&server, others.map(|(_, it)| (it, false)));
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut keepers: Vec<PermitKeeper> =
            (0..self.n_routers).map(|_| PermitKeeper::default()).collect();
        let mut health: Vec<KeeperHealth> =
            (0..self.n_routers).map(|_| KeeperHealth::default()).collect();
        let mut calls: Vec<SimCall> = Vec::new();
        let mut next_permit_at: Vec<u64> = vec![0; self.n_routers];
        let mut events: BinaryHeap<Reverse<(u64, u64, SimEvent)>> = BinaryHeap::new();
        let mut arrivals = Vec::new();
        let mut n_events = 0;
        let mut push = |events: &mut BinaryHeap<_>, time: u64, event: SimEvent| {
            n_events += 1;
            events.push(Reverse((time, n_events, event)));
        };
        let mut time = 0.0;
        while time < self.end_ms as f64 {
            time += -rng.random::<f64>().max(1e-9).ln() / self.demand * 1_000.0;
            // Some routers have far more callers than others.
            let router = ((rng.random::<f64>().powi(2)) * self.n_routers as f64) as usize;
            push(&mut events, time as u64, SimEvent::Request { router });
        }
        while let Some(Reverse((now, _, event))) = events.pop() {
            let limit = self.limit(now);
            match event {
                SimEvent::Request { router } => {
                    if next_permit_at[router] > now + self.max_wait_ms {
                        continue;
                    }
                    let is_split = now < self.is_split_until && router % 2 == 1;
                    let known = if is_split { split } else { all };
                    let source = known.iter().enumerate().find_map(|(rank, vm)| {
                        let vm = (*vm)?;
                        let keeper = index(vm);
                        let is_usable = keeper == router || !health[router].is_avoided(vm, at(now));
                        is_usable.then_some((rank, keeper))
                    });
                    let (rank, keeper) = source.unwrap_or((2, router));
                    let id = calls.len();
                    calls.push(SimCall { router, keeper, asked_ms: now, is_open: true });
                    if keeper == router {
                        push(&mut events, now, SimEvent::Call { id, keeper, rank });
                        continue;
                    }
                    for number in 0..N_SENDS {
                        let sent = now + number * RESEND_MS;
                        if rng.random::<f64>() >= self.loss {
                            let time = sent + rng.random_range(1..15);
                            push(&mut events, time, SimEvent::Call { id, keeper, rank });
                        }
                    }
                    push(&mut events, now + N_SENDS * RESEND_MS, SimEvent::GiveUp { id });
                }
                SimEvent::Call { id, keeper, rank } => {
                    let call = &calls[id];
                    let is_repeat = now >= call.asked_ms + RESEND_MS;
                    // A resend happens only without an answer.
                    if is_repeat && !call.is_open {
                        continue;
                    }
                    if keeper == first && self.is_frozen(now) {
                        continue;
                    }
                    let rank = RANKS[rank];
                    let rate = rank.rate(limit, self.n_routers);
                    let max_wait = Duration::from_millis(self.max_wait_ms);
                    let decision =
                        keepers[keeper].decide(&server, 1, rank, rate, max_wait, at(now));
                    let wait_ms = match decision {
                        PermitDecision::Granted(wait) => Some(wait.as_millis() as u64),
                        PermitDecision::Denied(wait) => {
                            next_permit_at[call.router] = now + wait.as_millis() as u64;
                            None
                        }
                    };
                    if call.keeper == call.router || rng.random::<f64>() >= self.loss {
                        let time = now + rng.random_range(1..15);
                        push(&mut events, time, SimEvent::Reply { id, wait_ms });
                    }
                }
                SimEvent::Reply { id, wait_ms } => {
                    let call = &mut calls[id];
                    if !std::mem::take(&mut call.is_open) {
                        continue;
                    }
                    health[call.router].note_answer(&names[call.keeper]);
                    arrivals.extend(wait_ms.map(|it| now + it));
                }
                SimEvent::GiveUp { id } => {
                    let call = &mut calls[id];
                    if !std::mem::take(&mut call.is_open) {
                        continue;
                    }
                    let asked_at = at(call.asked_ms);
                    health[call.router].note_silence(&names[call.keeper], asked_at, at(now));
                }
            }
        }
        arrivals.sort_unstable();
        arrivals
    }

    /// Largest number of arrivals in a window that begins from `from` on.
    fn largest_sum(arrivals: &[u64], from: u64) -> usize {
        let sum = |start: u64| {
            let n_before = |time: u64| arrivals.partition_point(|it| *it < time);
            n_before(start + WINDOW_MS) - n_before(start)
        };
        arrivals.iter().filter(|it| **it >= from).map(|it| sum(*it)).max().unwrap_or(0)
    }
}

/// What the rule allows in a window.
fn allowed(limit: f64) -> usize {
    (1.5 * WINDOW_MS as f64 / 1_000.0 * limit) as usize + 5
}

fn check_rate(fleet: &SimFleet, limit: f64, min_share: f64) {
    let arrivals = fleet.run();
    let sum = SimFleet::largest_sum(&arrivals, 0);
    assert!(sum <= allowed(limit), "{sum} of {} in 4 s, {fleet:?}", allowed(limit));
    let n_minute = arrivals.iter().filter(|it| (8_000..68_000).contains(*it)).count() as f64;
    assert!(n_minute >= min_share * 60.0 * limit, "{n_minute} in a minute, {fleet:?}");
}

/// Load pattern: demand of twice the limit and more at any number of routers, most of which get a
/// request only now and then.
#[test]
fn routers_keep_to_a_limit_together_and_use_most_of_it() {
    for n_routers in [1, 2, 11, 90, 300, 1_000] {
        for limit in [0.1, 0.5, 1.9, 4.5, 50.0, 500.0] {
            let limits = vec![(0, limit)];
            let demand = f64::max(limit * 2.5, 2.0);
            let fleet = SimFleet { n_routers, limits, demand, ..SimFleet::default() };
            check_rate(&fleet, limit, 0.6);
        }
    }
}

/// The same where a request can't wait, as another server may take it.
#[test]
fn routers_that_do_not_wait_use_most_of_a_limit() {
    for (n_routers, limit) in [(11, 1.9), (300, 4.5), (300, 50.0)] {
        let limits = vec![(0, limit)];
        let demand = limit * 5.0;
        let fleet = SimFleet { n_routers, limits, demand, max_wait_ms: 0, ..SimFleet::default() };
        check_rate(&fleet, limit, 0.6);
    }
}

/// Guards against a schedule that stands still with its keeper, and against two of the full rate.
#[test]
fn a_frozen_keeper_neither_stops_nor_doubles_the_rate() {
    for n_routers in [2, 11, 300] {
        let fleet = SimFleet {
            n_routers,
            limits: vec![(0, 4.5)],
            demand: 40.0,
            frozen: Some((10_000, 40_000)),
            ..SimFleet::default()
        };
        let arrivals = fleet.run();
        assert!(SimFleet::largest_sum(&arrivals, 0) <= allowed(4.5));
        let n_frozen = arrivals.iter().filter(|it| (14_000..40_000).contains(*it)).count() as f64;
        assert!(n_frozen >= 0.25 * 26.0 * 4.5, "{n_frozen} at {n_routers} routers");
    }
}

/// Lists of VMs differ for as long as a change may take to be known.
#[test]
fn routers_that_disagree_on_the_keeper_keep_to_the_limit() {
    for limit in [1.9, 4.5, 50.0] {
        let fleet = SimFleet {
            limits: vec![(0, limit)],
            demand: limit * 5.0,
            is_split_until: 2_000,
            ..SimFleet::default()
        };
        check_rate(&fleet, limit, 0.6);
    }
}

#[test]
fn a_limit_that_falls_or_rises_is_followed_at_once() {
    let fleet = SimFleet {
        limits: vec![(0, 50.0), (20_000, 1.0), (40_000, 50.0)],
        demand: 100.0,
        ..SimFleet::default()
    };
    let arrivals = fleet.run();
    let low: Vec<u64> =
        arrivals.iter().copied().filter(|it| (20_500..40_000).contains(it)).collect();
    let sum = SimFleet::largest_sum(&low, 20_500);
    assert!(sum <= allowed(1.0), "{sum} after the fall");
    let n_high = arrivals.iter().filter(|it| (42_000..52_000).contains(*it)).count();
    assert!(n_high >= 300, "{n_high} in 10 s after the rise");
}

#[test]
fn the_keepers_of_servers_are_spread_over_the_routers() {
    let names: Vec<VmName> =
        (0..20).map(|it| VmName::try_from(format!("vm-{it}")).expect("valid name")).collect();
    let mut firsts = HashSet::new();
    for number in 0..100 {
        let server = ServerName::try_from(format!("q-{number}")).expect("valid name");
        let near = |idx: usize| idx < 10;
        let keepers =
            permit_keepers(&server, names.iter().enumerate().map(|(idx, it)| (it, near(idx))));
        let [Some(first), Some(second)] = keepers else { panic!("two keepers") };
        assert_ne!(first, second);
        assert!(names[..10].contains(first) && names[..10].contains(second), "near ones first");
        firsts.insert(first);
    }
    assert!(firsts.len() >= 8, "{firsts:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    #[test]
    fn no_loss_delay_or_limit_lets_routers_exceed_it(
        seed in any::<u64>(),
        n_routers in 1_usize..400,
        limit in 0.1..60.0_f64,
        demand in 0.5..150.0_f64,
        loss in 0.0..0.3_f64,
        max_wait_ms in 0_u64..500,
    ) {
        let limits = vec![(0, limit)];
        let end_ms = 20_000;
        let fleet =
            SimFleet { seed, n_routers, limits, demand, loss, max_wait_ms, end_ms, ..SimFleet::default() };
        let sum = SimFleet::largest_sum(&fleet.run(), 0);
        prop_assert!(sum <= allowed(limit), "{} of {}", sum, allowed(limit));
    }
}
