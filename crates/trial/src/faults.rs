//! Begins and ends the faults of a scenario.

use std::{
    sync::{Arc, Mutex, atomic::Ordering},
    time::{Duration, Instant},
};

use eyre::{WrapErr, eyre};
use rustix::process::Signal;
use store::{ApplyOutcome, HttpStore, PlatformStore, SHEET_KEY, SheetRecord, apply_sheet};

use crate::{
    backend_server::{BackendServer, ColdFault},
    deployment::{Deployment, domain_name},
    fault_proxy::{FaultProxy, LinkState, PLATFORM_SITE, PartitionTable},
    nodes::{NodeProcess, NodeRole},
    report::NodeTotals,
    scenario::{Fault, FaultKind, PartitionedFrom, Scenario},
    store_server::StoreServer,
};

/// The running processes and stand-ins of a trial, on which its faults act.
pub(crate) struct TrialCluster {
    pub(crate) scenario: Scenario,
    pub(crate) deployment: Arc<Deployment>,
    pub(crate) nodes: Vec<Arc<NodeProcess>>,
    pub(crate) servers: Vec<(Arc<BackendServer>, Arc<FaultProxy>)>,
    pub(crate) store: Arc<StoreServer>,
    pub(crate) partitions: Arc<PartitionTable>,
    /// Servers and failure domains whose state is `out` in the last accepted sheet.
    pub(crate) out_names: Mutex<Vec<String>>,
    /// Each server or failure domain that a sheet took out, and when that sheet was applied.
    pub(crate) removals: Mutex<Vec<(String, Instant)>>,
    /// Figures that the faults and the polls of the nodes add to.
    pub(crate) node_totals: Mutex<NodeTotals>,
}

/// Answers that a fault truncates, crosses or loses when the scenario gives no size.
const DEFAULT_AFFECTED_ANSWERS: i64 = 20;

impl TrialCluster {
    fn server(&self, name: &str) -> eyre::Result<&(Arc<BackendServer>, Arc<FaultProxy>)> {
        let server = self.servers.iter().find(|(it, _)| it.config.name == name);
        server.ok_or_else(|| eyre!("field=fault.target value={name:?} allowed=a server's name"))
    }

    fn node(&self, vm: &str, role: NodeRole) -> eyre::Result<&Arc<NodeProcess>> {
        let node = self.nodes.iter().find(|it| it.vm == vm && it.role == role);
        node.ok_or_else(|| eyre!("field=fault.target value={vm:?} allowed=a VM's name"))
    }

    fn domain(&self, name: &str) -> eyre::Result<u8> {
        let domain = (0..self.scenario.domains).find(|it| domain_name(*it) == name);
        domain.ok_or_else(|| eyre!("field=fault.target value={name:?} allowed=a domain's name"))
    }

    /// Makes a client of the store that no partition affects.
    pub(crate) fn store_client(&self) -> eyre::Result<HttpStore> {
        Ok(HttpStore::new(self.deployment.store, std::net::Ipv4Addr::LOCALHOST.into())?)
    }

    /// Applies the sheet with `out_names` in state `out` and returns its revision, or none when
    /// another sheet was applied first.
    pub(crate) async fn apply(
        &self,
        out_names: Vec<String>,
        author: &str,
    ) -> eyre::Result<Option<u64>> {
        let store = self.store_client()?;
        let current = store.get(SHEET_KEY).await?;
        let current = current.and_then(|it| serde_json::from_str::<SheetRecord>(&it.value).ok());
        let revision = current.map_or(0, |it| it.revision) + 1;
        let record = SheetRecord {
            revision,
            attempt: format!("{author}-{revision}"),
            author: author.to_owned(),
            applied_at: 0,
            text: self.deployment.sheet_text(&self.scenario, &out_names),
        };
        match apply_sheet(&store, record).await {
            ApplyOutcome::Accepted(revision) => {
                *self.out_names.lock().unwrap_or_else(|it| it.into_inner()) = out_names;
                Ok(Some(revision))
            }
            ApplyOutcome::Superseded(_) => Ok(None),
            ApplyOutcome::NotApplied(err) | ApplyOutcome::Unknown(err) => {
                Err(err).wrap_err("step=apply-sheet")
            }
        }
    }

    /// Applies a sheet that takes a server or failure domain out or brings it back, and records how
    /// long it took until every router had that sheet.
    async fn change_presence(&self, name: &str, change: PresenceChange) -> eyre::Result<()> {
        let mut out_names = self.out_names.lock().unwrap_or_else(|it| it.into_inner()).clone();
        out_names.retain(|it| it != name);
        if change == PresenceChange::Out {
            out_names.push(name.to_owned());
        }
        let revision = self.apply(out_names, "trial").await?;
        let applied_at = Instant::now();
        if change == PresenceChange::Out {
            let mut removals = self.removals.lock().unwrap_or_else(|it| it.into_inner());
            removals.push((name.to_owned(), applied_at));
        }
        if let Some(revision) = revision {
            let elapsed = crate::run::wait_for_sheet(self, revision).await;
            let mut totals = self.node_totals.lock().unwrap_or_else(|it| it.into_inner());
            totals.sheet_in_force_ms = totals.sheet_in_force_ms.max(elapsed.as_millis() as u64);
        }
        Ok(())
    }

    /// Applies two sheets at once; at least one of them must be accepted.
    async fn race_sheets(&self) -> eyre::Result<()> {
        let out_names = self.out_names.lock().unwrap_or_else(|it| it.into_inner()).clone();
        let (first, second) =
            tokio::join!(self.apply(out_names.clone(), "anna"), self.apply(out_names, "bert"));
        let n_accepted = [first?, second?].iter().flatten().count();
        match n_accepted {
            1 | 2 => Ok(()),
            _ => Err(eyre!("step=sheet-race cause=\"neither sheet was accepted\"")),
        }
    }

    fn set_partition(&self, domain: u8, from: PartitionedFrom, state: LinkState) {
        if matches!(from, PartitionedFrom::Platform | PartitionedFrom::Both) {
            self.partitions.set(domain, PLATFORM_SITE, state);
        }
        if matches!(from, PartitionedFrom::Peers | PartitionedFrom::Both) {
            for other in (0..self.scenario.domains).filter(|it| *it != domain) {
                self.partitions.set(domain, other, state);
            }
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum PresenceChange {
    Out,
    Back,
}

/// Begins a fault at its time and ends it once its length has passed.
pub(crate) async fn inject_fault(cluster: Arc<TrialCluster>, fault: Fault) -> eyre::Result<()> {
    tokio::time::sleep(Duration::from_millis(fault.at_ms)).await;
    eprintln!("{}: {} {}", cluster.scenario.name, fault.kind, fault.target);
    begin_fault(&cluster, &fault).await?;
    if fault.for_ms == 0 {
        return Ok(());
    }
    tokio::time::sleep(Duration::from_millis(fault.for_ms)).await;
    eprintln!("{}: {} {} ends", cluster.scenario.name, fault.kind, fault.target);
    end_fault(&cluster, &fault).await
}

async fn begin_fault(cluster: &TrialCluster, fault: &Fault) -> eyre::Result<()> {
    let target = fault.target.as_str();
    let n_answers = if fault.size > 0.0 { fault.size as i64 } else { DEFAULT_AFFECTED_ANSWERS };
    match fault.kind {
        FaultKind::ServerFreeze => {
            cluster.server(target)?.0.faults.is_frozen.send_replace(true);
        }
        FaultKind::ServerKill => {
            let (server, proxy) = cluster.server(target)?;
            proxy.close();
            server.restart();
        }
        FaultKind::ServerSlow => {
            let percent = (fault.size.max(1.0) * 100.0) as u64;
            cluster.server(target)?.0.faults.service_time_percent.store(percent, Ordering::Relaxed);
        }
        FaultKind::ServerCold => {
            cluster.server(target)?.0.set_cold_fault(Some(ColdFault::default()));
        }
        FaultKind::ServerDrain | FaultKind::DomainOut => {
            cluster.change_presence(target, PresenceChange::Out).await?;
        }
        FaultKind::DomainBack => cluster.change_presence(target, PresenceChange::Back).await?,
        FaultKind::ReportStale => {
            cluster.server(target)?.0.faults.is_report_stale.store(true, Ordering::Relaxed);
        }
        FaultKind::AnswerCut => {
            cluster
                .server(target)?
                .1
                .faults
                .n_truncated_answers
                .store(n_answers, Ordering::Relaxed);
        }
        FaultKind::AnswerCrossed => {
            cluster.server(target)?.0.faults.n_crossed_answers.store(n_answers, Ordering::Relaxed);
        }
        FaultKind::ConnectionSilent => cluster.server(target)?.1.stall_connections(),
        FaultKind::StoreDown => cluster.store.is_down.store(true, Ordering::Relaxed),
        FaultKind::StoreSlow => {
            cluster.store.extra_delay_ms.store(fault.size as u64, Ordering::Relaxed);
        }
        FaultKind::StoreLostReply => {
            cluster.store.n_lost_replies.store(n_answers, Ordering::Relaxed);
        }
        FaultKind::DomainCut => {
            cluster.set_partition(cluster.domain(target)?, fault.from, LinkState::Cut)
        }
        FaultKind::RouterKill => cluster.node(target, NodeRole::Router)?.kill().await,
        FaultKind::RouterFreeze => cluster.node(target, NodeRole::Router)?.signal(Signal::STOP),
        FaultKind::PlannerKill => cluster.node(target, NodeRole::Planner)?.kill().await,
        FaultKind::PlannerFreeze => cluster.node(target, NodeRole::Planner)?.signal(Signal::STOP),
        FaultKind::SheetRace => cluster.race_sheets().await?,
    }
    Ok(())
}

async fn end_fault(cluster: &TrialCluster, fault: &Fault) -> eyre::Result<()> {
    let target = fault.target.as_str();
    match fault.kind {
        FaultKind::ServerFreeze => {
            cluster.server(target)?.0.faults.is_frozen.send_replace(false);
        }
        FaultKind::ServerKill => {
            let (server, proxy) = cluster.server(target)?;
            server.restart();
            proxy.clone().listen().await?;
        }
        FaultKind::ServerSlow => {
            cluster.server(target)?.0.faults.service_time_percent.store(100, Ordering::Relaxed);
        }
        FaultKind::ServerCold => {
            cluster.server(target)?.0.set_cold_fault(None);
        }
        FaultKind::ServerDrain | FaultKind::DomainOut => {
            cluster.change_presence(target, PresenceChange::Back).await?;
        }
        FaultKind::ReportStale => {
            cluster.server(target)?.0.faults.is_report_stale.store(false, Ordering::Relaxed);
        }
        FaultKind::AnswerCut => {
            cluster.server(target)?.1.faults.n_truncated_answers.store(0, Ordering::Relaxed);
        }
        FaultKind::AnswerCrossed => {
            cluster.server(target)?.0.faults.n_crossed_answers.store(0, Ordering::Relaxed);
        }
        FaultKind::StoreDown => cluster.store.is_down.store(false, Ordering::Relaxed),
        FaultKind::StoreSlow => cluster.store.extra_delay_ms.store(0, Ordering::Relaxed),
        FaultKind::StoreLostReply => cluster.store.n_lost_replies.store(0, Ordering::Relaxed),
        FaultKind::DomainCut => {
            cluster.set_partition(cluster.domain(target)?, fault.from, LinkState::Connected)
        }
        FaultKind::RouterKill => cluster.node(target, NodeRole::Router)?.start()?,
        FaultKind::RouterFreeze => cluster.node(target, NodeRole::Router)?.signal(Signal::CONT),
        FaultKind::PlannerKill => cluster.node(target, NodeRole::Planner)?.start()?,
        FaultKind::PlannerFreeze => cluster.node(target, NodeRole::Planner)?.signal(Signal::CONT),
        FaultKind::ConnectionSilent | FaultKind::SheetRace | FaultKind::DomainBack => (),
    }
    Ok(())
}
