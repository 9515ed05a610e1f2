//! Every kind of fault over one base scenario, alone or in pairs.

use crate::{
    deployment::domain_name,
    scenario::{CutSide, Fault, FaultKind, LoadKind, Scenario},
};

/// When the first fault begins, in milliseconds.
const FIRST_AT_MS: u64 = 1_500;

/// When the second fault of a pair begins, in milliseconds.
const SECOND_AT_MS: u64 = 1_900;

/// Length of a fault that ends, in milliseconds.
const FAULT_MS: u64 = 1_800;

/// Length of each run, in milliseconds.
const RUN_MS: u64 = 6_000;

/// Which faults are combined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BatteryKind {
    /// Each fault alone.
    Alone,
    /// Each fault with each later one of the catalogue.
    Pairs,
}

/// The scenarios of a battery over `base`.
pub(crate) fn scenarios(base: &Scenario, kind: BatteryKind) -> Vec<Scenario> {
    let faults = catalogue(base);
    let scenario = |faults: Vec<Fault>| {
        let names: Vec<String> = faults.iter().map(label).collect();
        let name = format!("{}: {}", base.name, names.join(" + "));
        Scenario { name, length_ms: RUN_MS, fault: faults, ..base.clone() }
    };
    match kind {
        BatteryKind::Alone => faults.into_iter().map(|it| scenario(vec![it])).collect(),
        BatteryKind::Pairs => {
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

/// One fault of each kind, with targets that the base scenario has.
fn catalogue(base: &Scenario) -> Vec<Fault> {
    let first = |kind: LoadKind| base.service.iter().find(|it| it.kind == kind);
    let keyed = first(LoadKind::Keyed).map_or("", |it| it.name.as_str());
    let any = first(LoadKind::Shared).map_or(keyed, |it| it.name.as_str());
    let keyed_server = format!("{keyed}-1");
    let other_server = format!("{keyed}-2");
    let shared_server = format!("{any}-1");
    let domain = domain_name(base.domains - 1);
    let vm = |idx: u8| format!("{}-vm{idx}", domain_name(0));
    let fault = |kind: FaultKind, target: &str, size: f64| Fault {
        at_ms: FIRST_AT_MS,
        kind,
        target: target.to_owned(),
        for_ms: FAULT_MS,
        size,
        from: CutSide::Both,
    };
    let lasting = |kind: FaultKind, target: &str| Fault { for_ms: 0, ..fault(kind, target, 0.0) };
    let cut = |from: CutSide| Fault { from, ..fault(FaultKind::DomainCut, &domain, 0.0) };
    vec![
        fault(FaultKind::ServerFreeze, &keyed_server, 0.0),
        fault(FaultKind::ServerKill, &other_server, 0.0),
        fault(FaultKind::ServerSlow, &shared_server, 10.0),
        fault(FaultKind::ServerCold, &shared_server, 0.0),
        lasting(FaultKind::ServerDrain, &other_server),
        fault(FaultKind::ReportStale, &shared_server, 0.0),
        fault(FaultKind::AnswerCut, &keyed_server, 20.0),
        fault(FaultKind::AnswerCrossed, &keyed_server, 20.0),
        lasting(FaultKind::ConnectionSilent, &keyed_server),
        fault(FaultKind::StoreDown, "", 0.0),
        fault(FaultKind::StoreSlow, "", 400.0),
        fault(FaultKind::StoreLostReply, "", 5.0),
        cut(CutSide::Platform),
        cut(CutSide::Peers),
        cut(CutSide::Both),
        lasting(FaultKind::DomainOut, &domain),
        fault(FaultKind::DomainOut, &domain, 0.0),
        fault(FaultKind::RouterKill, &vm(1), 0.0),
        fault(FaultKind::RouterFreeze, &vm(1), 0.0),
        fault(FaultKind::PlannerKill, &vm(0), 0.0),
        fault(FaultKind::PlannerFreeze, &vm(0), 0.0),
        lasting(FaultKind::SheetRace, ""),
    ]
}
