//! Costs of the control plane per slice and per router, which are the input of `docs/CAPACITY.md`.
//! Prints one line per measurement.

#![allow(missing_docs, clippy::unwrap_used)]

use std::{
    fmt::Write,
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{
    DomainName, FencingToken, Incarnation, KeyHash, MapVersion, MonoTime, ServerName, ServiceName,
    SheetRevision, SliceId, SliceKey, Term, VmName, WallTime,
};
use ownership::{
    DomainMap, DomainPlanner, GrantOutcome, HomesTable, LeaseReply, LeaseRequest, LeaseTiming,
    MapStamp, MapUpdate, OwnerEntry, PlannerAction, PlannerConfig, PlannerEvent, RouterView,
    SheetDoc, SlicePhase, StoredRecord, VmId, WriteOutcome, initial_homes, map_digest,
};
use sheet::PlanSheet;

const WALL: WallTime = WallTime(1);

fn main() {
    for bits in [6, 10, 14] {
        measure_map(bits);
    }
    measure_message_sizes();
    for (bits, n_servers) in [(6, 10), (10, 40), (12, 150)] {
        measure_planner(bits, n_servers);
    }
}

fn nanos_per_call(n_calls: u32, mut call: impl FnMut()) -> f64 {
    let started = Instant::now();
    for _ in 0..n_calls {
        call();
    }
    started.elapsed().as_secs_f64() / f64::from(n_calls) * 1e9
}

fn vm(idx: usize) -> VmId {
    VmId {
        name: VmName::try_from(format!("vm{idx}").as_str()).unwrap(),
        incarnation: Incarnation(1),
    }
}

fn map(bits: u8) -> DomainMap {
    let service = ServiceName::try_from("queue").unwrap();
    let entries = SliceId::all(bits).enumerate().map(|(idx, slice)| {
        let owner = ServerName::try_from(format!("queue-{}", idx % 150).as_str()).unwrap();
        let version = MapVersion(idx as u64);
        let entry = OwnerEntry {
            owner: Some(owner),
            token: FencingToken { epoch: 1, term: Term(3), version },
            previous: Default::default(),
            phase: SlicePhase::Open,
        };
        (SliceKey { service: service.clone(), slice }, entry)
    });
    DomainMap {
        domain: DomainName::try_from("d0").unwrap(),
        stamp: MapStamp { term: Term(3), version: MapVersion(9) },
        planner: vm(0),
        witnesses: (0..5).map(vm).collect(),
        joint_witnesses: Default::default(),
        entries: entries.collect(),
    }
}

fn encoded_len<T: serde::Serialize>(value: &T) -> usize {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap().len()
}

fn measure_map(bits: u8) {
    let map = Arc::new(map(bits));
    let n_slices = 1usize << bits;
    let bytes = encoded_len(&*map) as f64 / n_slices as f64;
    let json_bytes = serde_json::to_string(&*map).unwrap().len() as f64 / n_slices as f64;
    println!(
        "slices={n_slices} map_bytes_per_slice={bytes:.1} record_bytes_per_slice={json_bytes:.1}"
    );
    let mut next = DomainMap::clone(&map);
    next.stamp.version = MapVersion(10);
    if let Some(entry) = next.entries.values_mut().next() {
        entry.phase = SlicePhase::Moving;
    }
    let update = MapUpdate::between(&map, &next);
    let digest_nanos = nanos_per_call(100, || {
        black_box(map_digest(&map));
    });
    println!(
        "slices={n_slices} one_slice_news_bytes={} map_digest_us={:.1}",
        encoded_len(&update),
        digest_nanos / 1e3
    );
    let mut view = RouterView::default();
    let now = MonoTime::from_millis(1);
    view.apply_map(&map);
    let request = view.begin_renewal(now);
    view.apply_lease(request, map.stamp, Duration::from_secs(9));
    let service = ServiceName::try_from("queue").unwrap();
    let mut hash = 1u64;
    let route_nanos = nanos_per_call(200_000, || {
        hash = hash.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let key = KeyHash(hash);
        black_box(view.route(&service, SliceId::covering(key, bits), key, now).unwrap());
    });
    println!("slices={n_slices} route_ns={route_nanos:.0}");
}

fn measure_message_sizes() {
    let request = LeaseRequest {
        router: vm(1),
        held: MapStamp { term: Term(3), version: MapVersion(100_000) },
        held_open: 4_000,
        drained: MapVersion(100_000),
        suspects: Default::default(),
    };
    let answer = LeaseReply::Leased { stamp: request.held, lease: Duration::from_millis(600) };
    println!(
        "lease_ask_bytes={} lease_answer_bytes={}",
        encoded_len(&request),
        encoded_len(&answer)
    );
}

/// The only planner of a domain with `n_servers` servers and 2^`bits` open slices.
struct PlannerBench {
    planner: DomainPlanner,
    now: MonoTime,
}

impl PlannerBench {
    fn new(bits: u8, n_servers: usize) -> Self {
        let now = MonoTime::from_millis(1_000);
        let config = PlannerConfig {
            id: vm(0),
            domain: DomainName::try_from("d0").unwrap(),
            timing: LeaseTiming::default(),
        };
        let mut bench = Self { planner: DomainPlanner::new(config, now), now };
        let doc = SheetDoc { revision: SheetRevision(1), sheet: Arc::new(sheet(bits, n_servers)) };
        let homes = HomesTable::default();
        let homes = homes.with_homes(&initial_homes(&doc.sheet, &homes, WALL), 1);
        bench.handle_event(PlannerEvent::SheetLearned(doc));
        bench.handle_event(PlannerEvent::HomesLearned(homes));
        for _ in 0..400 {
            bench.step();
        }
        assert!(bench.planner.is_acting());
        bench
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(20);
        self.handle_event(PlannerEvent::Tick);
    }

    /// Handles an event and immediately answers all requests that the planner makes in turn.
    fn handle_event(&mut self, event: PlannerEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.planner.handle(event, self.now, WALL) {
                events.extend(answer(action));
            }
        }
    }
}

fn answer(action: PlannerAction) -> Option<PlannerEvent> {
    match action {
        PlannerAction::ReadRecord => {
            Some(PlannerEvent::RecordRead(Some(StoredRecord { map: None, revision: 0 })))
        }
        PlannerAction::WriteRecord { map, .. } => Some(PlannerEvent::RecordWritten {
            stamp: map.stamp,
            outcome: WriteOutcome::Written(1),
        }),
        PlannerAction::Grant { server, request, sent_at, .. } => {
            Some(PlannerEvent::ServerAnswered {
                server,
                sent_at,
                answer: GrantOutcome::Acked {
                    term: request.term,
                    set_version: request.set_version,
                    basis: "b".to_owned(),
                },
            })
        }
        _ => None,
    }
}

fn sheet(bits: u8, n_servers: usize) -> PlanSheet {
    let mut text = "kind,name,domain,service,address,state,from,until,settings\n\
                    domain,d0,,,,in,,,\nvm,vm0,d0,,10.0.0.1:1,in,,,planner=10.0.0.1:2\n"
        .to_owned();
    writeln!(text, "service,queue,,,,,,,kind=keyed;slice-bits={bits}").unwrap();
    for idx in 0..n_servers {
        writeln!(text, "server,q{idx},d0,queue,10.1.{}.{}:1,in,,,", idx / 250, idx % 250).unwrap();
    }
    PlanSheet::try_from(text.as_str()).unwrap()
}

fn measure_planner(bits: u8, n_servers: usize) {
    let mut bench = PlannerBench::new(bits, n_servers);
    let n_slices = 1usize << bits;
    let tick_nanos = nanos_per_call(100, || bench.step());
    let open =
        match bench.planner.answer_lease(&lease_request(0, MapStamp::default(), 0), bench.now) {
            LeaseReply::NewerMap { map } => (map.stamp, map.open_count() as u32),
            other => panic!("{other:?}"),
        };
    assert_eq!(open.1 as usize, n_slices);
    let requests: Vec<LeaseRequest> =
        (0..600).map(|it| lease_request(it, open.0, open.1)).collect();
    let mut idx = 0;
    let lease_nanos = nanos_per_call(60_000, || {
        idx = (idx + 1) % requests.len();
        let answer = bench.planner.answer_lease(&requests[idx], bench.now);
        assert!(matches!(black_box(answer), LeaseReply::Leased { .. }));
    });
    println!(
        "slices={n_slices} servers={n_servers} tick_us={:.1} lease_answer_ns={lease_nanos:.0}",
        tick_nanos / 1e3
    );
}

fn lease_request(idx: usize, held: MapStamp, held_open: u32) -> LeaseRequest {
    LeaseRequest {
        router: vm(idx),
        held,
        held_open,
        drained: held.version,
        suspects: Default::default(),
    }
}
