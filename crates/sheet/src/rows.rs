//! Checked rows of the sheet and the questions that the product asks of them.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use model::{DomainName, ServerName, ServiceName, ServiceSpec, VmName, WallTime};
use strum::{Display, EnumString};

/// Whether a domain, VM or server is meant to take new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum PresenceState {
    /// It takes new work.
    In,
    /// It takes no new work; accepted work ends whole.
    Out,
}

/// Whether work may be given out now, after states and planned stops are combined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkState {
    /// New work is allowed.
    Accepting,
    /// No new work is allowed.
    Draining,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainRow {
    /// Its name.
    pub name: DomainName,
    /// Whether operators have taken it out.
    pub state: PresenceState,
}

/// An entry VM that runs the router and the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmRow {
    /// Its name.
    pub name: VmName,
    /// The domain in which it stands.
    pub domain: DomainName,
    /// Where its router listens for other VMs.
    pub router: SocketAddr,
    /// Where its planner listens for other VMs.
    pub planner: SocketAddr,
    /// Where its router listens for operators, when the sheet says so.
    pub operator: Option<SocketAddr>,
    /// Where its planner listens for operators, when the sheet says so.
    pub planner_operator: Option<SocketAddr>,
    /// Whether it takes new work.
    pub state: PresenceState,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRow {
    /// Its name.
    pub name: ServerName,
    /// The domain in which it stands.
    pub domain: DomainName,
    /// The service it runs.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub state: PresenceState,
    /// Requests that it runs at once when warm.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Requests that it bears at once, in sum over all routers, while cold.
    pub cold_slots: u32,
    /// Time for which it is cold after its start.
    pub warm_after: Duration,
}

/// What a planned stop stops.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopTarget {
    /// A whole failure domain.
    Domain(DomainName),
    /// One entry VM.
    Vm(VmName),
    /// One backend server.
    Server(ServerName),
}

/// A planned stop, during which its target takes no new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopRow {
    /// What stops.
    pub target: StopTarget,
    /// First second of the stop.
    pub from: WallTime,
    /// First second after the stop.
    pub until: WallTime,
}

/// A checked sheet.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PlanSheet {
    /// Failure domains by name.
    pub domains: BTreeMap<DomainName, DomainRow>,
    /// Entry VMs by name.
    pub vms: BTreeMap<VmName, VmRow>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Backend servers by name.
    pub servers: BTreeMap<ServerName, ServerRow>,
    /// Planned stops in the order of the sheet.
    pub stops: Vec<StopRow>,
}

impl PlanSheet {
    /// Whether a domain may receive new work at `now`.
    pub fn domain_work_state(&self, domain: &DomainName, now: WallTime) -> WorkState {
        let is_in = self.domains.get(domain).is_some_and(|it| it.state == PresenceState::In);
        let is_stopped = self
            .active_stops(now)
            .any(|it| matches!(&it.target, StopTarget::Domain(name) if name == domain));
        work_state(is_in && !is_stopped)
    }

    /// Whether a server may receive new work at `now`, its domain's state included.
    pub fn server_work_state(&self, server: &ServerName, now: WallTime) -> WorkState {
        let Some(row) = self.servers.get(server) else {
            return WorkState::Draining;
        };
        let is_stopped = self
            .active_stops(now)
            .any(|it| matches!(&it.target, StopTarget::Server(name) if name == server));
        let domain = self.domain_work_state(&row.domain, now);
        work_state(row.state == PresenceState::In && !is_stopped && domain == WorkState::Accepting)
    }

    /// Whether an entry VM may receive new work at `now`, its domain's state included.
    pub fn vm_work_state(&self, vm: &VmName, now: WallTime) -> WorkState {
        let Some(row) = self.vms.get(vm) else {
            return WorkState::Draining;
        };
        let is_stopped = self
            .active_stops(now)
            .any(|it| matches!(&it.target, StopTarget::Vm(name) if name == vm));
        let domain = self.domain_work_state(&row.domain, now);
        work_state(row.state == PresenceState::In && !is_stopped && domain == WorkState::Accepting)
    }

    /// The servers of a service, in the order of their names.
    pub fn servers_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a ServerRow> + 'a {
        self.servers.values().filter(move |it| it.service == *service)
    }

    /// The entry VMs of a domain, in the order of their names.
    pub fn vms_of<'a>(&'a self, domain: &'a DomainName) -> impl Iterator<Item = &'a VmRow> + 'a {
        self.vms.values().filter(move |it| it.domain == *domain)
    }

    fn active_stops(&self, now: WallTime) -> impl Iterator<Item = &StopRow> {
        self.stops.iter().filter(move |it| it.from <= now && now < it.until)
    }
}

fn work_state(is_accepting: bool) -> WorkState {
    match is_accepting {
        true => WorkState::Accepting,
        false => WorkState::Draining,
    }
}
