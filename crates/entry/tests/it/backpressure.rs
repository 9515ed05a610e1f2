//! How what one VM learns from a server's answers reaches the others.

use std::time::Duration;

use entry::{BackpressureCache, ReportBatch, ServerBackpressure};
use model::{DomainName, MonoTime, ServerName};
use policy::BackpressureSignal;

fn server() -> ServerName {
    "q-1".try_into().expect("valid name")
}

fn domain(name: &str) -> DomainName {
    name.try_into().expect("valid name")
}

fn limit(max_rate: Option<f64>) -> BackpressureSignal {
    BackpressureSignal { max_rate, ..Default::default() }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Sends what `from` has learned to `to`, which receives it `delay` later.
fn transfer(from: &BackpressureCache, to: &BackpressureCache, now: MonoTime, delay: Duration) {
    let updates: Vec<ServerBackpressure> = from.take_outgoing(now).domain;
    to.record_remote(&updates, &domain("a"), &domain("a"), now + delay);
}

#[test]
fn a_limit_reaches_other_vms_and_ends_there_too() {
    let (first, second) = (BackpressureCache::default(), BackpressureCache::default());
    first.record_answer(&server(), 7, limit(Some(1.9)), at(10_000));
    transfer(&first, &second, at(10_050), Duration::ZERO);
    assert_eq!(second.state(&server(), 7).max_rate(), Some(1.9));
    assert_eq!(second.state(&server(), 8).max_rate(), None, "another instance");
    first.record_answer(&server(), 7, limit(None), at(11_000));
    transfer(&first, &second, at(11_050), Duration::ZERO);
    assert_eq!(second.state(&server(), 7).max_rate(), None);
}

#[test]
fn an_older_limit_that_arrives_late_does_not_replace_a_newer_one() {
    let (first, second) = (BackpressureCache::default(), BackpressureCache::default());
    first.record_answer(&server(), 7, limit(Some(50.0)), at(10_000));
    let late = first.take_outgoing(at(10_050)).domain;
    second.record_answer(&server(), 7, limit(Some(1.0)), at(10_500));
    // The age that it was sent with counts from its arrival, so it seems 0.1 s newer than it is.
    second.record_remote(&late, &domain("a"), &domain("a"), at(10_150));
    assert_eq!(second.state(&server(), 7).max_rate(), Some(1.0));
}

/// Guards against a server that had left and is used again after its limit was reported by a VM that
/// does not know that it is leaving.
#[test]
fn a_server_that_leaves_stays_so_for_its_instance() {
    let cache = BackpressureCache::default();
    let leaving = BackpressureSignal { is_leaving: true, ..Default::default() };
    cache.record_answer(&server(), 7, leaving, at(10_000));
    cache.record_answer(&server(), 7, limit(Some(5.0)), at(12_000));
    assert_eq!(cache.state(&server(), 7).leaving_since(), Some(at(10_000)));
    let older = ServerBackpressure {
        server: server(),
        born: 6,
        max_rate: None,
        age_ms: 0,
        leaving_age_ms: None,
    };
    cache.record_remote(&[older], &domain("a"), &domain("a"), at(13_000));
    assert_eq!(cache.state(&server(), 7).leaving_since(), Some(at(10_000)), "an older instance");
    assert_eq!(cache.state(&server(), 8).leaving_since(), None, "the server has started again");
}

#[test]
fn what_is_known_is_sent_once_and_forwarded_by_the_relay_of_each_domain() {
    let (own, relay, other) =
        (BackpressureCache::default(), BackpressureCache::default(), BackpressureCache::default());
    own.record_answer(&server(), 7, limit(Some(2.0)), at(10_000));
    let updates = own.take_outgoing(at(10_000));
    assert_eq!((updates.domain.len(), updates.others.len()), (1, 1));
    assert!(own.take_outgoing(at(10_050)).domain.is_empty(), "sent once");
    relay.record_remote(&updates.others, &domain("a"), &domain("a"), at(10_000));
    let forwarded = relay.take_outgoing(at(10_050));
    assert_eq!((forwarded.domain.len(), forwarded.others.len()), (1, 1));
    other.record_remote(&forwarded.others, &domain("a"), &domain("b"), at(10_050));
    let forwarded = other.take_outgoing(at(10_100));
    assert_eq!((forwarded.domain.len(), forwarded.others.len()), (1, 0));
}

/// Guards against a message to all VMs with each answer of a server that once asked one VM for a pause.
#[test]
fn a_pause_and_a_limit_that_ended_long_ago_are_not_sent_to_other_vms() {
    let cache = BackpressureCache::default();
    let pause = BackpressureSignal { pause: Some(Duration::from_secs(1)), ..Default::default() };
    cache.record_answer(&server(), 7, pause, at(10_000));
    assert!(cache.take_outgoing(at(10_000)).domain.is_empty(), "it was asked of this VM only");
    cache.record_answer(&server(), 7, limit(Some(2.0)), at(11_000));
    for (now, is_sent) in [(12_000, true), (15_000, true), (17_000, false)] {
        cache.record_answer(&server(), 7, limit(None), at(now));
        assert_eq!(!cache.take_outgoing(at(now)).domain.is_empty(), is_sent, "{now}");
    }
}

#[test]
fn a_batch_of_many_servers_is_divided_without_loss() {
    let cache = BackpressureCache::default();
    for number in 0..3_000 {
        let server =
            ServerName::try_from(format!("server-with-a-long-name-{number}")).expect("valid name");
        cache.record_answer(&server, 7, limit(Some(2.0)), at(10_000));
    }
    let backpressure = cache.take_outgoing(at(10_000)).domain;
    let batch = ReportBatch { domain: domain("a"), server_reports: Vec::new(), backpressure };
    let datagrams =
        entry::encode_datagrams(entry::PeerDatagram::ServerReports(batch)).expect("divisible");
    assert!(datagrams.len() > 1);
    let n_received: usize = datagrams
        .iter()
        .map(|it| match entry::decode_datagram(it) {
            Some(entry::PeerDatagram::ServerReports(batch)) => batch.backpressure.len(),
            _ => 0,
        })
        .sum();
    assert_eq!(n_received, 3_000);
}
