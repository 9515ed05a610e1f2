//! Choice among the servers of a service, and admission.

use std::time::Duration;

use model::{NotRunReason, ServerName};
use policy::{
    BalancerPolicy, CallResult, QuantileTracker, RouterShare, ServerCandidate, ServerProfile,
    ServerView, ServiceBalancer, admit,
};

use crate::{ALLOWED, at, profile};

fn name(idx: usize) -> ServerName {
    ServerName::try_from(format!("s{idx}").as_str()).unwrap()
}

fn candidates(n_servers: usize) -> Vec<ServerCandidate> {
    (0..n_servers).map(|it| ServerCandidate { name: name(it), is_local: true }).collect()
}

fn balancer(policy: BalancerPolicy, n_servers: usize) -> ServiceBalancer {
    let mut balancer = ServiceBalancer::new(policy, 3);
    balancer.set_servers((0..n_servers).map(|it| (name(it), profile())));
    balancer
}

#[test]
fn a_server_with_an_overdue_call_is_avoided() {
    let mut balancer = balancer(BalancerPolicy::Adaptive, 2);
    let candidates = candidates(2);
    for idx in 0..2 {
        let call = balancer.begin_first(&name(idx), ALLOWED, at(0)).unwrap();
        balancer.finish(&name(idx), call, CallResult::Answered, None, at(5));
    }
    balancer.begin_first(&name(0), ALLOWED, at(10));
    let chosen: Vec<ServerName> =
        (0..20).filter_map(|_| balancer.choose(&candidates, &[], at(60))).collect();
    assert!(chosen.iter().all(|it| *it == name(1)), "{chosen:?}");
}

#[test]
fn every_policy_chooses_only_untried_servers() {
    use BalancerPolicy::{Adaptive, LeastInFlight, PowerOfTwo, Random, RoundRobin};
    for policy in [Adaptive, LeastInFlight, PowerOfTwo, Random, RoundRobin] {
        let mut balancer = balancer(policy, 3);
        let tried = [name(0), name(2)];
        assert_eq!(balancer.choose(&candidates(3), &tried, at(0)), Some(name(1)), "{policy}");
        assert_eq!(balancer.choose(&[], &[], at(0)), None, "{policy}");
    }
}

#[test]
fn round_robin_takes_turns() {
    let mut balancer = balancer(BalancerPolicy::RoundRobin, 3);
    let mut chosen: Vec<ServerName> =
        (0..3).filter_map(|_| balancer.choose(&candidates(3), &[], at(0))).collect();
    chosen.sort();
    assert_eq!(chosen, [name(0), name(1), name(2)]);
}

#[test]
fn a_server_is_avoided_after_a_failure() {
    let mut balancer = balancer(BalancerPolicy::Adaptive, 2);
    let call = balancer.begin_first(&name(0), ALLOWED, at(0)).unwrap();
    balancer.finish(&name(0), call, CallResult::Shed, None, at(1));
    for _ in 0..20 {
        assert_eq!(balancer.choose(&candidates(2), &[], at(20)), Some(name(1)));
    }
}

#[test]
fn requests_that_would_miss_their_deadline_are_refused() {
    let mut view = ServerView::new(profile());
    let call = view.begin(ALLOWED, at(0));
    view.finish(call, CallResult::Answered, None, at(100));
    for _ in 0..8 {
        view.begin(ALLOWED, at(100));
    }
    let admitted = |ms| admit(&view, 0.1, Duration::from_millis(ms), at(101));
    assert_eq!(admitted(1_000), Ok(()));
    assert_eq!(admitted(150), Err(NotRunReason::Overloaded));
    assert_eq!(admitted(0), Err(NotRunReason::DeadlinePassed));
}

#[test]
fn a_router_uses_no_more_than_its_share_of_connections() {
    let share = RouterShare { rank: 0, n_routers: 4 };
    let mut view = ServerView::new(ServerProfile { share, ..profile() });
    for _ in 0..16 {
        view.begin(ALLOWED, at(0));
    }
    let res = admit(&view, 0.001, Duration::from_secs(1), at(0));
    assert_eq!(res, Err(NotRunReason::Overloaded));
}

#[test]
fn the_tracker_finds_the_quantile_and_follows_a_change() {
    let mut tracker = QuantileTracker::new(0.95, 1.0, 0.05);
    let mut feed = |scale: f64| {
        for round in 0..5_000u32 {
            tracker.add(scale * f64::from(round * 37 % 100 + 1) / 100.0);
        }
        tracker.value() / scale
    };
    let (fast, slow) = (feed(0.01), feed(0.1));
    assert!((0.85..1.05).contains(&fast), "{fast}");
    assert!((0.85..1.05).contains(&slow), "{slow}");
}

#[test]
fn a_server_is_avoided_for_a_while_after_an_abandoned_call() {
    let mut balancer = balancer(BalancerPolicy::Adaptive, 2);
    for idx in 0..2 {
        let call = balancer.begin_first(&name(idx), ALLOWED, at(0)).unwrap();
        balancer.finish(&name(idx), call, CallResult::Answered, None, at(5));
    }
    let call = balancer.begin_first(&name(0), ALLOWED, at(10)).unwrap();
    balancer.finish(&name(0), call, CallResult::Abandoned, None, at(30));
    let count = |balancer: &mut ServiceBalancer, ms| {
        let chosen = (0..40).filter_map(|_| balancer.choose(&candidates(2), &[], at(ms)));
        chosen.filter(|it| *it == name(0)).count()
    };
    assert_eq!(count(&mut balancer, 40), 0);
    assert!(count(&mut balancer, 8_000) > 0);
}
