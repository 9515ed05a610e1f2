//! The rate of all routers together at a cold server, in simulated time.

use std::time::Duration;

use model::{MonoTime, ServerName, VmName};
use policy::ColdPacer;

/// Times in milliseconds at which `n_routers` routers that always have a request to send it to a cold
/// server that takes `rate` requests a second.
fn send_times_ms(n_routers: usize, rate: f64) -> Vec<u64> {
    let server = ServerName::try_from("server-1").unwrap();
    let routers: Vec<VmName> =
        (0..n_routers).map(|it| VmName::try_from(format!("vm-{it}")).unwrap()).collect();
    let start = MonoTime::from_millis(0);
    let mut pacers: Vec<ColdPacer> = routers
        .iter()
        .filter_map(|it| ColdPacer::new(&server, it, &routers, rate, start))
        .collect();
    let mut sent_ms = Vec::new();
    for now_ms in 0..4_000 {
        let now = MonoTime::from_millis(now_ms);
        for pacer in pacers.iter_mut().filter(|it| it.is_ready(now)) {
            pacer.note_sent(now);
            sent_ms.push(now_ms);
        }
    }
    sent_ms
}

fn busiest_second(sent_ms: &[u64]) -> usize {
    let within = |from: u64| sent_ms.iter().filter(|it| (from..from + 1_000).contains(*it)).count();
    sent_ms.iter().map(|it| within(*it)).max().unwrap_or(0)
}

#[test]
fn any_number_of_routers_together_keep_to_the_cold_rate() {
    for n_routers in [1, 3, 11, 90, 300, 1_000] {
        let sent_ms = send_times_ms(n_routers, 6.0);
        assert!(busiest_second(&sent_ms) <= 6 + 1, "{n_routers}: {}", busiest_second(&sent_ms));
        assert!(sent_ms.len() >= 18, "{n_routers}: {} in 4 s", sent_ms.len());
    }
}

#[test]
fn idle_routers_do_not_accumulate_sends() {
    let server = ServerName::try_from("server-1").unwrap();
    let routers: Vec<VmName> =
        (0..90).map(|it| VmName::try_from(format!("vm-{it}")).unwrap()).collect();
    let start = MonoTime::from_millis(0);
    let later = start + Duration::from_secs(3);
    let pacers = routers.iter().filter_map(|it| ColdPacer::new(&server, it, &routers, 6.0, start));
    assert!(pacers.filter(|it| it.is_ready(later)).count() <= 5);
}
