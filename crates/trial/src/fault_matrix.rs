//! The scenarios of the `battery` subcommand: a base scenario under each fault, alone or in pairs.

use crate::{
    deployment::domain_name,
    scenario::{Fault, FaultKind, LoadKind, PartitionedFrom, Scenario},
};

/// Time at which the first fault begins, from the start of the load.
const FIRST_AT_MS: u64 = 1_500;

/// Time at which the second fault of a pair begins; the first is still in force then.
const SECOND_AT_MS: u64 = 1_900;

/// Length of a fault that ends before its run does.
const FAULT_LENGTH_MS: u64 = 1_800;

/// Length of the load of each run.
const RUN_LENGTH_MS: u64 = 6_000;

/// How the faults are combined into scenarios.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FaultCombination {
    /// Each fault alone.
    Single,
    /// Each fault with each later one of the list.
    Pairs,
}

/// Makes a scenario for each fault or pair of faults; the faults of `base` itself are left out.
pub(crate) fn scenarios(base: &Scenario, combination: FaultCombination) -> Vec<Scenario> {
    let faults = single_faults(base);
    let scenario = |faults: Vec<Fault>| {
        let names: Vec<String> = faults.iter().map(label).collect();
        let name = format!("{}: {}", base.name, names.join(" + "));
        Scenario { name, length_ms: RUN_LENGTH_MS, fault: faults, ..base.clone() }
    };
    match combination {
        FaultCombination::Single => faults.into_iter().map(|it| scenario(vec![it])).collect(),
        FaultCombination::Pairs => {
            let mut pairs = Vec::new();
            for (idx, first) in faults.iter().enumerate() {
                for second in &faults[idx + 1..] {
                    let second = Fault { at_ms: SECOND_AT_MS, ..second.clone() };
                    pairs.push(scenario(vec![first.clone(), second]));
                }
            }
            pairs
        }
    }
}

fn label(fault: &Fault) -> String {
    match fault.kind {
        FaultKind::DomainCut => format!("{} from {}", fault.kind, fault.from),
        kind => kind.to_string(),
    }
}

/// Lists the faults, with targets that the base scenario has.
fn single_faults(base: &Scenario) -> Vec<Fault> {
    let first_service = |kind: LoadKind| base.service.iter().find(|it| it.kind == kind);
    let keyed = first_service(LoadKind::Keyed).map_or("", |it| it.name.as_str());
    let shared = first_service(LoadKind::Shared).map_or(keyed, |it| it.name.as_str());
    let keyed_server = format!("{keyed}-1");
    let other_server = format!("{keyed}-2");
    let shared_server = format!("{shared}-1");
    let domain = domain_name(base.domains - 1);
    let vm = |idx: u8| format!("{}-vm{idx}", domain_name(0));
    let fault = |kind: FaultKind, target: &str, size: f64| Fault {
        at_ms: FIRST_AT_MS,
        kind,
        target: target.to_owned(),
        for_ms: FAULT_LENGTH_MS,
        size,
        from: PartitionedFrom::Both,
    };
    let permanent = |kind: FaultKind, target: &str| Fault { for_ms: 0, ..fault(kind, target, 0.0) };
    let partition =
        |from: PartitionedFrom| Fault { from, ..fault(FaultKind::DomainCut, &domain, 0.0) };
    vec![
        fault(FaultKind::ServerFreeze, &keyed_server, 0.0),
        fault(FaultKind::ServerKill, &other_server, 0.0),
        fault(FaultKind::ServerSlow, &shared_server, 10.0),
        fault(FaultKind::ServerCold, &shared_server, 0.0),
        permanent(FaultKind::ServerDrain, &other_server),
        fault(FaultKind::ReportStale, &shared_server, 0.0),
        fault(FaultKind::AnswerCut, &keyed_server, 20.0),
        fault(FaultKind::AnswerCrossed, &keyed_server, 20.0),
        permanent(FaultKind::ConnectionSilent, &keyed_server),
        fault(FaultKind::StoreDown, "", 0.0),
        fault(FaultKind::StoreSlow, "", 400.0),
        fault(FaultKind::StoreLostReply, "", 5.0),
        partition(PartitionedFrom::Platform),
        partition(PartitionedFrom::Peers),
        partition(PartitionedFrom::Both),
        permanent(FaultKind::DomainOut, &domain),
        fault(FaultKind::DomainOut, &domain, 0.0),
        fault(FaultKind::RouterKill, &vm(1), 0.0),
        fault(FaultKind::RouterFreeze, &vm(1), 0.0),
        fault(FaultKind::PlannerKill, &vm(0), 0.0),
        fault(FaultKind::PlannerFreeze, &vm(0), 0.0),
        permanent(FaultKind::SheetRace, ""),
    ]
}
