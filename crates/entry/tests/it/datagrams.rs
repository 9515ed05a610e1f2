//! Datagrams between VMs of a large fleet: nothing is dropped for its length.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use entry::{
    PeerDatagram, ReportBatch, ReportCache, RouterLoad, WarmthBatch, WarmthCache, decode_datagram,
    encode_datagrams,
};
use model::{DomainName, MonoTime, ServerName, ServiceName, VmName};
use policy::LoadReport;

/// Largest payload that all networks between VMs carry.
const MAX_UDP_PAYLOAD_BYTES: usize = 65_507;

fn server(number: usize) -> ServerName {
    ServerName::try_from(format!("server-with-a-long-name-{number:06}").as_str()).expect("a name")
}

fn domain(name: &str) -> DomainName {
    DomainName::try_from(name).expect("a name")
}

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).expect("a name")
}

/// Encodes `datagram` and decodes all that is sent.
fn deliver(datagram: PeerDatagram) -> Vec<PeerDatagram> {
    let encoded = encode_datagrams(datagram).expect("it can be divided");
    assert!(encoded.iter().all(|it| it.len() <= MAX_UDP_PAYLOAD_BYTES));
    encoded.iter().map(|it| decode_datagram(it).expect("valid")).collect()
}

/// Load pattern: a fleet with more servers than fit into one datagram, all of which have answered.
/// Reports beyond the first 1,000 were dropped and counted as sent.
#[test]
fn reports_of_two_thousand_servers_reach_the_other_vms() {
    const N_SERVERS: usize = 2_000;
    let now = MonoTime::from_millis(10_000);
    let (sender, receiver) = (ReportCache::default(), ReportCache::default());
    let report = LoadReport { n_running: 3, n_waiting: 9, slots: 4, slowdown_percent: 250 };
    for number in 0..N_SERVERS {
        sender.record_local(&server(number), report, now);
    }
    let outgoing = sender.take_outgoing(now).domain;
    let batch =
        ReportBatch { domain: domain("a"), server_reports: outgoing, backpressure: Vec::new() };
    for datagram in deliver(PeerDatagram::ServerReports(batch)) {
        let PeerDatagram::ServerReports(batch) = datagram else { panic!("{datagram:?}") };
        receiver.record_remote(&batch, &domain("a"), now);
    }
    for number in 0..N_SERVERS {
        let (received, _) = receiver.latest_report(&server(number)).expect("a report");
        assert_eq!(received, report, "server {number}");
    }
}

/// Load pattern: one router that has measured 2,000 servers and has seen requests for 1,000 keys
/// of each of 40 services since its last report. Nothing was sent.
#[test]
fn a_routers_load_is_sent_whole_however_many_servers_it_names() {
    let work: Vec<_> = (0..2_000).map(|it| (server(it), it as u32)).collect();
    let keys: Vec<_> = (0..40)
        .map(|it| (service(&format!("service-{it}")), (0..1_000).map(|key| (key, 3)).collect()))
        .collect();
    let vm = Some(VmName::try_from("vm-1").expect("a name"));
    let load = RouterLoad { vm, keys: keys.clone(), work: work.clone() };
    let mut received_keys: BTreeMap<ServiceName, BTreeSet<(u16, u32)>> = BTreeMap::new();
    let mut received_work = BTreeSet::new();
    for datagram in deliver(PeerDatagram::Load(load)) {
        let PeerDatagram::Load(load) = datagram else { panic!("{datagram:?}") };
        received_work.extend(load.work);
        for (service, counts) in load.keys {
            for count in counts {
                let is_new = received_keys.entry(service.clone()).or_default().insert(count);
                assert!(is_new, "counted twice");
            }
        }
    }
    assert_eq!(received_work, work.into_iter().collect());
    for (service, counts) in keys {
        assert_eq!(received_keys[&service], counts.into_iter().collect());
    }
}

/// Guards against losing a hot key among many others: the keys that don't fit were chosen at
/// random.
#[test]
fn of_too_many_keys_the_busiest_are_reported() {
    let mut counts: Vec<(u16, u32)> = (0..5_000).map(|key| (key, 1)).collect();
    counts[4_321].1 = 900;
    let keys = vec![(service("queue"), counts)];
    let datagrams = deliver(PeerDatagram::Load(RouterLoad { keys, ..RouterLoad::default() }));
    let is_reported = |it: &PeerDatagram| match it {
        PeerDatagram::Load(load) => load.keys.iter().any(|(_, it)| it.contains(&(4_321, 900))),
        _ => false,
    };
    assert!(datagrams.iter().any(is_reported));
}

/// Guards against each VM asking each server: what one has learned reaches the others, however many
/// servers there are, and doesn't replace what is newer.
#[test]
fn the_warmth_of_thousands_of_servers_reaches_the_other_vms() {
    let (sender, receiver) = (WarmthCache::default(), WarmthCache::default());
    let domain = DomainName::try_from("west-a").expect("a name");
    let names: Vec<ServerName> = (0..6_000)
        .map(|it| ServerName::try_from(format!("server-{it}")).expect("a name"))
        .collect();
    let now = MonoTime::from_millis(5_000);
    for name in &names {
        sender.record_local(name, Duration::from_millis(2_000), now);
    }
    let newer = MonoTime::from_millis(5_100);
    receiver.record_local(&names[0], Duration::ZERO, newer);
    let reports = sender.take_outgoing(now).others;
    let batch = PeerDatagram::Warmth(WarmthBatch { domain: domain.clone(), reports });
    let encoded = encode_datagrams(batch).expect("divided");
    assert!(encoded.len() > 1, "too much for one datagram");
    for bytes in encoded {
        let Some(PeerDatagram::Warmth(batch)) = decode_datagram(&bytes) else { panic!() };
        receiver.record_remote(&batch, &domain, newer);
    }
    let cold_until =
        |name| receiver.warmth(name).cold_until(Duration::from_secs(3), newer).since(newer);
    assert_eq!(cold_until(&names[0]), Duration::ZERO);
    assert!(names[1..].iter().all(|it| cold_until(it) == Duration::from_millis(2_000)));
    assert!(sender.take_outgoing(now).others.is_empty(), "each is sent once");
}
