//! Causing a scenario's faults, and ending them.

use std::{
    sync::{Arc, Mutex, atomic::Ordering},
    time::{Duration, Instant},
};

use eyre::{WrapErr, eyre};
use rustix::process::Signal;
use store::{ApplyOutcome, HttpStore, PlatformStore, SHEET_KEY, SheetRecord, apply_sheet};

use crate::{
    backend_server::{BackendServer, TurnedCold},
    deployment::{Deployment, domain_name},
    gate::{CutBook, CutState, Gate, PLATFORM},
    nodes::{Node, NodeRole},
    report::NodeTotals,
    scenario::{CutSide, Fault, FaultKind, Scenario},
    store_server::StoreServer,
};

/// Everything that faults act on.
pub(crate) struct TrialWorld {
    pub(crate) scenario: Scenario,
    pub(crate) net: Arc<Deployment>,
    pub(crate) nodes: Vec<Arc<Node>>,
    pub(crate) servers: Vec<(Arc<BackendServer>, Arc<Gate>)>,
    pub(crate) store: Arc<StoreServer>,
    pub(crate) cuts: Arc<CutBook>,
    /// Names that the sheet in force takes out.
    pub(crate) out: Mutex<Vec<String>>,
    /// When each name was taken out.
    pub(crate) taken_out: Mutex<Vec<(String, Instant)>>,
    pub(crate) totals: Mutex<NodeTotals>,
}

/// Answers that one fault cuts or crosses when its size is not given.
const DEFAULT_ANSWERS: i64 = 20;

impl TrialWorld {
    fn server(&self, name: &str) -> eyre::Result<&(Arc<BackendServer>, Arc<Gate>)> {
        let found = self.servers.iter().find(|(it, _)| it.row.name == name);
        found.ok_or_else(|| eyre!("field=fault.target value={name:?} allowed=a server's name"))
    }

    fn node(&self, vm: &str, role: NodeRole) -> eyre::Result<&Arc<Node>> {
        let found = self.nodes.iter().find(|it| it.vm == vm && it.role == role);
        found.ok_or_else(|| eyre!("field=fault.target value={vm:?} allowed=a VM's name"))
    }

    fn domain(&self, name: &str) -> eyre::Result<u8> {
        let found = (0..self.scenario.domains).find(|it| domain_name(*it) == name);
        found.ok_or_else(|| eyre!("field=fault.target value={name:?} allowed=a domain's name"))
    }

    /// A client of the store that faults of the network do not touch.
    pub(crate) fn store_client(&self) -> eyre::Result<HttpStore> {
        Ok(HttpStore::new(self.net.store, std::net::Ipv4Addr::LOCALHOST.into())?)
    }

    /// Applies the sheet with `out` taken out; none when another sheet came first.
    pub(crate) async fn apply(&self, out: Vec<String>, author: &str) -> eyre::Result<Option<u64>> {
        let store = self.store_client()?;
        let held = store.get(SHEET_KEY).await?;
        let held = held.and_then(|it| serde_json::from_str::<SheetRecord>(&it.value).ok());
        let revision = held.map_or(0, |it| it.revision) + 1;
        let record = SheetRecord {
            revision,
            attempt: format!("{author}-{revision}"),
            author: author.to_owned(),
            applied_at: 0,
            text: self.net.sheet(&self.scenario, &out),
        };
        match apply_sheet(&store, record).await {
            ApplyOutcome::Accepted(revision) => {
                *self.out.lock().unwrap_or_else(|it| it.into_inner()) = out;
                Ok(Some(revision))
            }
            ApplyOutcome::Superseded(_) => Ok(None),
            ApplyOutcome::NotApplied(err) | ApplyOutcome::Unknown(err) => {
                Err(err).wrap_err("step=apply-sheet")
            }
        }
    }

    /// Takes a name out by sheet, or brings it back.
    async fn change_sheet(&self, name: &str, change: SheetMove) -> eyre::Result<()> {
        let mut out = self.out.lock().unwrap_or_else(|it| it.into_inner()).clone();
        out.retain(|it| it != name);
        if change == SheetMove::Out {
            out.push(name.to_owned());
        }
        let revision = self.apply(out, "trial").await?;
        let accepted = Instant::now();
        if change == SheetMove::Out {
            let mut taken = self.taken_out.lock().unwrap_or_else(|it| it.into_inner());
            taken.push((name.to_owned(), accepted));
        }
        if let Some(revision) = revision {
            let elapsed = crate::run::await_sheet(self, revision).await;
            let mut totals = self.totals.lock().unwrap_or_else(|it| it.into_inner());
            totals.sheet_in_force_ms = totals.sheet_in_force_ms.max(elapsed.as_millis() as u64);
        }
        Ok(())
    }

    async fn race_sheets(&self) -> eyre::Result<()> {
        let out = self.out.lock().unwrap_or_else(|it| it.into_inner()).clone();
        let (a, b) = tokio::join!(self.apply(out.clone(), "anna"), self.apply(out, "bert"));
        let n_won = [a?, b?].iter().flatten().count();
        match n_won {
            1 | 2 => Ok(()),
            _ => Err(eyre!("step=sheet-race cause=\"nobody won\"")),
        }
    }

    fn cut(&self, domain: u8, from: CutSide, state: CutState) {
        if matches!(from, CutSide::Platform | CutSide::Both) {
            self.cuts.set(domain, PLATFORM, state);
        }
        if matches!(from, CutSide::Peers | CutSide::Both) {
            for other in (0..self.scenario.domains).filter(|it| *it != domain) {
                self.cuts.set(domain, other, state);
            }
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum SheetMove {
    Out,
    Back,
}

/// Causes one fault at its time and ends it after its length.
pub(crate) async fn cause(world: Arc<TrialWorld>, fault: Fault) -> eyre::Result<()> {
    tokio::time::sleep(Duration::from_millis(fault.at_ms)).await;
    eprintln!("{}: {} {}", world.scenario.name, fault.kind, fault.target);
    begin(&world, &fault).await?;
    if fault.for_ms == 0 {
        return Ok(());
    }
    tokio::time::sleep(Duration::from_millis(fault.for_ms)).await;
    eprintln!("{}: {} {} ends", world.scenario.name, fault.kind, fault.target);
    end(&world, &fault).await
}

async fn begin(world: &TrialWorld, fault: &Fault) -> eyre::Result<()> {
    let target = fault.target.as_str();
    let n_answers = if fault.size > 0.0 { fault.size as i64 } else { DEFAULT_ANSWERS };
    match fault.kind {
        FaultKind::ServerFreeze => {
            world.server(target)?.0.faults.frozen.send_replace(true);
        }
        FaultKind::ServerKill => {
            let (server, gate) = world.server(target)?;
            gate.close();
            server.reboot();
        }
        FaultKind::ServerSlow => {
            let percent = (fault.size.max(1.0) * 100.0) as u64;
            world.server(target)?.0.faults.slow_percent.store(percent, Ordering::Relaxed);
        }
        FaultKind::ServerCold => {
            world.server(target)?.0.turn_cold(Some(TurnedCold::default()));
        }
        FaultKind::ServerDrain | FaultKind::DomainOut => {
            world.change_sheet(target, SheetMove::Out).await?;
        }
        FaultKind::DomainBack => world.change_sheet(target, SheetMove::Back).await?,
        FaultKind::ReportStale => {
            world.server(target)?.0.faults.is_report_stale.store(true, Ordering::Relaxed);
        }
        FaultKind::AnswerCut => {
            world.server(target)?.1.faults.n_cut.store(n_answers, Ordering::Relaxed);
        }
        FaultKind::AnswerCrossed => {
            world.server(target)?.0.faults.n_crossed.store(n_answers, Ordering::Relaxed);
        }
        FaultKind::ConnectionSilent => world.server(target)?.1.silence(),
        FaultKind::StoreDown => world.store.is_down.store(true, Ordering::Relaxed),
        FaultKind::StoreSlow => {
            world.store.slow_ms.store(fault.size as u64, Ordering::Relaxed);
        }
        FaultKind::StoreLostReply => {
            world.store.n_lost_replies.store(n_answers, Ordering::Relaxed);
        }
        FaultKind::DomainCut => world.cut(world.domain(target)?, fault.from, CutState::Cut),
        FaultKind::RouterKill => world.node(target, NodeRole::Router)?.kill().await,
        FaultKind::RouterFreeze => world.node(target, NodeRole::Router)?.signal(Signal::STOP),
        FaultKind::PlannerKill => world.node(target, NodeRole::Planner)?.kill().await,
        FaultKind::PlannerFreeze => world.node(target, NodeRole::Planner)?.signal(Signal::STOP),
        FaultKind::SheetRace => world.race_sheets().await?,
    }
    Ok(())
}

async fn end(world: &TrialWorld, fault: &Fault) -> eyre::Result<()> {
    let target = fault.target.as_str();
    match fault.kind {
        FaultKind::ServerFreeze => {
            world.server(target)?.0.faults.frozen.send_replace(false);
        }
        FaultKind::ServerKill => {
            let (server, gate) = world.server(target)?;
            server.reboot();
            gate.clone().raise().await?;
        }
        FaultKind::ServerSlow => {
            world.server(target)?.0.faults.slow_percent.store(100, Ordering::Relaxed);
        }
        FaultKind::ServerCold => {
            world.server(target)?.0.turn_cold(None);
        }
        FaultKind::ServerDrain | FaultKind::DomainOut => {
            world.change_sheet(target, SheetMove::Back).await?;
        }
        FaultKind::ReportStale => {
            world.server(target)?.0.faults.is_report_stale.store(false, Ordering::Relaxed);
        }
        FaultKind::AnswerCut => {
            world.server(target)?.1.faults.n_cut.store(0, Ordering::Relaxed);
        }
        FaultKind::AnswerCrossed => {
            world.server(target)?.0.faults.n_crossed.store(0, Ordering::Relaxed);
        }
        FaultKind::StoreDown => world.store.is_down.store(false, Ordering::Relaxed),
        FaultKind::StoreSlow => world.store.slow_ms.store(0, Ordering::Relaxed),
        FaultKind::StoreLostReply => world.store.n_lost_replies.store(0, Ordering::Relaxed),
        FaultKind::DomainCut => world.cut(world.domain(target)?, fault.from, CutState::Joined),
        FaultKind::RouterKill => world.node(target, NodeRole::Router)?.start()?,
        FaultKind::RouterFreeze => world.node(target, NodeRole::Router)?.signal(Signal::CONT),
        FaultKind::PlannerKill => world.node(target, NodeRole::Planner)?.start()?,
        FaultKind::PlannerFreeze => world.node(target, NodeRole::Planner)?.signal(Signal::CONT),
        FaultKind::ConnectionSilent | FaultKind::SheetRace | FaultKind::DomainBack => (),
    }
    Ok(())
}
