//! The sum over all routers at a cold server, replayed second by second.

use std::time::Duration;

use model::{MonoTime, ServerName, VmName};
use policy::ColdPacer;

/// Sends over `n_routers` routers that always have work, as (time, router).
fn sends(n_routers: usize, rate: f64) -> Vec<u64> {
    let server = ServerName::try_from("server-1").unwrap();
    let routers: Vec<VmName> =
        (0..n_routers).map(|it| VmName::try_from(format!("vm-{it}")).unwrap()).collect();
    let start = MonoTime::from_millis(0);
    let mut pacers: Vec<ColdPacer> = routers
        .iter()
        .filter_map(|it| ColdPacer::new(&server, it, &routers, rate, start))
        .collect();
    let mut sent = Vec::new();
    for millis in 0..4_000 {
        let now = MonoTime::from_millis(millis);
        for pacer in pacers.iter_mut().filter(|it| it.is_ready(now)) {
            pacer.note_sent(now);
            sent.push(millis);
        }
    }
    sent
}

fn busiest_second(sent: &[u64]) -> usize {
    let within = |from: u64| sent.iter().filter(|it| (from..from + 1_000).contains(*it)).count();
    sent.iter().map(|it| within(*it)).max().unwrap_or(0)
}

#[test]
fn a_cold_server_gets_no_more_than_it_bears_from_any_number_of_routers() {
    for n_routers in [1, 3, 11, 90] {
        let sent = sends(n_routers, 6.0);
        assert!(busiest_second(&sent) <= 6 + 1, "{n_routers}: {}", busiest_second(&sent));
        assert!(sent.len() >= 18, "{n_routers}: {} in 4 s", sent.len());
    }
}

#[test]
fn routers_that_saved_up_their_turns_stay_within_the_slack() {
    let server = ServerName::try_from("server-1").unwrap();
    let routers: Vec<VmName> =
        (0..90).map(|it| VmName::try_from(format!("vm-{it}")).unwrap()).collect();
    let start = MonoTime::from_millis(0);
    let later = start + Duration::from_secs(3);
    let pacers = routers.iter().filter_map(|it| ColdPacer::new(&server, it, &routers, 6.0, start));
    assert!(pacers.filter(|it| it.is_ready(later)).count() <= 5);
}
