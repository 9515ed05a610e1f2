//! Random faults of relays and of the store: each VM that reaches the store has every change in time,
//! never goes back to an older plan, and in the end has the store's state.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use entry::{ChangeEvent, ReportOrder, ServerEntry, StateSnapshot};
use model::VmName;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use tokio::{task::LocalSet, time::sleep};

use crate::{
    fixtures::server,
    fleet::{CHANGE_DEADLINE, Fleet, StoreFault},
};

/// Time for which a VM must have run, and reached the store, before its changes are due.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);

/// Time for which faults occur.
const FAULT_TIME: Duration = Duration::from_millis(9_000);

/// Time after the last fault within which all VMs have the same state.
const RECOVERY_TIME: Duration = Duration::from_millis(3_500);

/// What happens to a VM, until a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum VmFault {
    Frozen,
    Store(StoreFault),
}

/// One run: the fleet, its faults and what each VM has shown.
struct FaultRun {
    fleet: Fleet,
    rng: SmallRng,
    faults: BTreeMap<VmName, (VmFault, Instant)>,
    /// When each VM's last fault ended.
    calm_since: BTreeMap<VmName, Instant>,
    /// Position of the newest report of the servers; each has a later one.
    newest_report: ReportOrder,
    /// When each plan was put into force; the first has version 2.
    plans: Vec<Instant>,
    newest_seen: BTreeMap<VmName, u64>,
    violations: Vec<String>,
}

impl FaultRun {
    fn vm_names(&self) -> Vec<VmName> {
        self.fleet.vms.iter().map(|it| it.name.clone()).collect()
    }

    /// Starts a fault of one VM, restarts one, or ends the faults that are over.
    fn change_faults(&mut self, now: Instant) {
        let over = |it: &(VmFault, Instant)| it.1 <= now;
        let ended: Vec<VmName> =
            self.faults.iter().filter(|(_, it)| over(it)).map(|(vm, _)| vm.clone()).collect();
        for vm in ended {
            self.end_fault(&vm, now);
        }
        let names = self.vm_names();
        let Some(vm) = names.choose(&mut self.rng).cloned() else {
            return;
        };
        // Half of the VMs may have a fault at a time.
        if self.faults.contains_key(&vm) || self.faults.len() * 2 >= names.len() {
            return;
        }
        let until = now + Duration::from_millis(self.rng.random_range(300..4_000));
        let fault = match self.rng.random_range(0..4) {
            0 => VmFault::Store(StoreFault::Silent),
            1 => VmFault::Store(StoreFault::Refused),
            2 => VmFault::Frozen,
            _ => {
                self.fleet.restart(vm.as_str());
                self.newest_seen.remove(&vm);
                self.calm_since.insert(vm, now);
                return;
            }
        };
        match fault {
            VmFault::Frozen => self.fleet.vm(vm.as_str()).set_frozen(true),
            VmFault::Store(fault) => self.fleet.store.set_fault(&vm, Some(fault)),
        }
        self.faults.insert(vm, (fault, until));
    }

    fn end_fault(&mut self, vm: &VmName, now: Instant) {
        self.faults.remove(vm);
        self.fleet.vm(vm.as_str()).set_frozen(false);
        self.fleet.store.set_fault(vm, None);
        self.calm_since.insert(vm.clone(), now);
    }

    /// Changes a server, an evacuation, the assigner or the plan.
    fn change_state(&mut self, now: Instant) {
        let name = format!("s-{}", self.rng.random_range(0..6));
        let ReportOrder { born, sequence } = &mut self.newest_report;
        *sequence += 1;
        *born += u64::from(self.rng.random::<bool>());
        let entry = ServerEntry { born: *born, sequence: *sequence, ..server(&name) };
        let domain = entry.domain.clone();
        let store = self.fleet.store.clone();
        match self.rng.random_range(0..7) {
            0 => _ = store.put(ChangeEvent::Server(entry.name.clone(), None)),
            1 => _ = store.put(ChangeEvent::Server(entry.name.clone(), Some(entry))),
            2 => {
                let entry = ServerEntry { is_draining: true, ..entry };
                store.put(ChangeEvent::Server(entry.name.clone(), Some(entry)));
            }
            3 => _ = store.put(ChangeEvent::Evacuation(domain, self.rng.random::<bool>())),
            4 => {
                let names = self.vm_names();
                let vm = names.choose(&mut self.rng).filter(|_| self.rng.random::<bool>());
                self.fleet.set_assigner(vm.map(VmName::as_str));
            }
            _ => {
                store.put_plan(self.plans.len() as u64 + 2);
                self.plans.push(now);
            }
        }
    }

    /// Checks each VM's plan: never older than before, and in time if the VM is calm.
    fn check_plans(&mut self, now: Instant) {
        for vm in &self.fleet.vms {
            let version = vm.plan_version();
            let newest = self.newest_seen.entry(vm.name.clone()).or_default();
            if version < *newest {
                self.violations.push(format!("{} went back from {newest} to {version}", vm.name));
            }
            *newest = version.max(*newest);
            let is_calm = !self.faults.contains_key(&vm.name)
                && self.calm_since.get(&vm.name).is_none_or(|it| *it + CONTACT_TIME <= now);
            let Some(missing) = self.plans.get((version.max(1) - 1) as usize) else {
                continue;
            };
            if is_calm && now.duration_since(*missing) > CHANGE_DEADLINE {
                let delay = now.duration_since(*missing).as_millis();
                self.violations.push(format!(
                    "{} lacks plan {} for {delay} ms",
                    vm.name,
                    version + 1
                ));
            }
        }
    }

    /// The VMs whose state differs from the store's.
    fn differing_vms(&self) -> Vec<String> {
        let expected = self.fleet.store.items();
        let differs = |snapshot: &StateSnapshot| {
            let actual = snapshot.to_events(Default::default());
            let actual: BTreeMap<String, ChangeEvent> =
                actual.into_iter().map(|it| (item_key(&it), comparable(it))).collect();
            let expected: BTreeMap<String, ChangeEvent> =
                expected.iter().map(|(key, it)| (key.clone(), comparable(it.clone()))).collect();
            (actual != expected).then(|| format!("{actual:?} instead of {expected:?}"))
        };
        let vms = self.fleet.vms.iter();
        vms.filter_map(|vm| Some(format!("{}: {}", vm.name, differs(&vm.channel.current())?)))
            .collect()
    }
}

fn item_key(event: &ChangeEvent) -> String {
    match event {
        ChangeEvent::Plan(_) => "plan".to_owned(),
        ChangeEvent::Server(name, _) => format!("server/{name}"),
        ChangeEvent::Evacuation(domain, _) => format!("domain/{domain}"),
        ChangeEvent::Record { name, .. } => name.clone(),
        event => panic!("{event:?}"),
    }
}

/// Drops what a VM need not keep as it was read: the revisions of records, and the remaining time of
/// cold servers and the number of their report.
fn comparable(event: ChangeEvent) -> ChangeEvent {
    match event {
        ChangeEvent::Server(name, Some(entry)) => {
            let entry = ServerEntry { cold_left: Duration::ZERO, sequence: 0, ..entry };
            ChangeEvent::Server(name, Some(entry))
        }
        ChangeEvent::Record { name, value, .. } => ChangeEvent::Record { name, revision: 0, value },
        event => event,
    }
}

async fn check(seed: u64) {
    let fleet = Fleet::start(&["a", "b"], 4).await;
    let mut run = FaultRun {
        fleet,
        rng: SmallRng::seed_from_u64(seed),
        faults: BTreeMap::new(),
        calm_since: BTreeMap::new(),
        plans: Vec::new(),
        newest_seen: BTreeMap::new(),
        newest_report: server("s-0").report_order(),
        violations: Vec::new(),
    };
    let started = Instant::now();
    let (mut faults_due, mut change_due) = (started, started);
    while started.elapsed() < FAULT_TIME {
        let now = Instant::now();
        if now >= faults_due {
            run.change_faults(now);
            faults_due = now + Duration::from_millis(run.rng.random_range(50..700));
        }
        if now >= change_due {
            run.change_state(now);
            change_due = now + Duration::from_millis(run.rng.random_range(20..400));
        }
        run.check_plans(now);
        sleep(Duration::from_millis(5)).await;
    }
    let now = Instant::now();
    for vm in run.vm_names() {
        run.end_fault(&vm, now);
    }
    sleep(RECOVERY_TIME).await;
    run.violations.extend(run.differing_vms());
    run.violations.truncate(5);
    assert!(run.violations.is_empty(), "seed {seed}: {:#?}", run.violations);
}

/// Runs these seeds beside each other.
async fn check_all(seeds: std::ops::Range<u64>) {
    let checks = async {
        let runs: Vec<_> = seeds.map(|it| tokio::task::spawn_local(check(it))).collect();
        for run in runs {
            run.await.expect("kept");
        }
    };
    LocalSet::new().run_until(checks).await;
}

/// More seeds by `JACKDAW_SEED=100 JACKDAW_CASES=40 cargo test --release -p entry --test it changes_`.
#[tokio::test]
async fn changes_reach_every_vm_in_time_whichever_sources_fail() {
    let number = |name: &str, default| {
        std::env::var(name).ok().and_then(|it| it.parse().ok()).unwrap_or(default)
    };
    let (first, n_seeds) = (number("JACKDAW_SEED", 1), number("JACKDAW_CASES", 4));
    check_all(first..first + n_seeds).await;
}
