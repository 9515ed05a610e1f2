//! Validated rows of the sheet, and queries on them.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use model::{DomainName, ServerName, ServiceName, ServiceSpec, VmName, WallTime};
use strum::{Display, EnumString};

/// State that operators give a failure domain, VM or server in the sheet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum PresenceState {
    /// May receive new work.
    In,
    /// Receives no new work; accepted work runs to completion.
    Out,
}

/// Whether new work may be sent now: the result of the states and the planned stops together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkState {
    /// New work is allowed.
    Accepting,
    /// No new work is allowed.
    Draining,
}

/// A `domain` row: a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainRow {
    /// Name by which other rows refer to the domain.
    pub name: DomainName,
    /// Whether the domain's VMs and backend servers may receive new work.
    pub state: PresenceState,
}

/// A `vm` row: an entry VM that runs a router and a planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmRow {
    /// Name by which planned stops refer to the VM.
    pub name: VmName,
    /// Failure domain that it belongs to.
    pub domain: DomainName,
    /// Address at which its router serves other VMs.
    pub router: SocketAddr,
    /// Address at which its planner serves other VMs.
    pub planner: SocketAddr,
    /// Address at which its router serves operators, if the sheet gives one.
    pub operator: Option<SocketAddr>,
    /// Address at which its planner serves operators, if the sheet gives one.
    pub planner_operator: Option<SocketAddr>,
    /// Whether it may receive new work while its domain may.
    pub state: PresenceState,
}

/// A `server` row: a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRow {
    /// Name by which planned stops refer to the server.
    pub name: ServerName,
    /// Failure domain that it belongs to.
    pub domain: DomainName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Address at which it serves requests.
    pub address: SocketAddr,
    /// Whether it may receive new work while its domain may.
    pub state: PresenceState,
    /// Requests that it runs concurrently when warm.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Requests that it can run concurrently while cold, summed over all routers.
    pub cold_slots: u32,
    /// Time after its start until it counts as warm.
    pub warm_after: Duration,
}

/// Target of a planned stop.
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
    /// Domain, VM or server that takes no new work during the stop.
    pub target: StopTarget,
    /// First second of the stop.
    pub from: WallTime,
    /// First second after the stop.
    pub until: WallTime,
}

/// A validated sheet: every reference in it resolves.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PlanSheet {
    /// The `domain` rows, by name.
    pub domains: BTreeMap<DomainName, DomainRow>,
    /// The `vm` rows, by name.
    pub vms: BTreeMap<VmName, VmRow>,
    /// The `service` rows, by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// The `server` rows, by name.
    pub servers: BTreeMap<ServerName, ServerRow>,
    /// The planned stops, in the order of the sheet.
    pub stops: Vec<StopRow>,
}

impl PlanSheet {
    /// Whether a domain may receive new work at `now`; `Draining` for a domain without a row.
    pub fn domain_work_state(&self, domain: &DomainName, now: WallTime) -> WorkState {
        let is_in = self.domains.get(domain).is_some_and(|it| it.state == PresenceState::In);
        let is_stopped = self
            .active_stops(now)
            .any(|it| matches!(&it.target, StopTarget::Domain(name) if name == domain));
        work_state(is_in && !is_stopped)
    }

    /// Whether a server and its domain may receive new work at `now`; `Draining` for a server
    /// without a row.
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

    /// Whether an entry VM and its domain may receive new work at `now`; `Draining` for a VM
    /// without a row.
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

    /// Iterates over the servers of a service, ordered by name.
    pub fn servers_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a ServerRow> + 'a {
        self.servers.values().filter(move |it| it.service == *service)
    }

    /// Iterates over the entry VMs of a domain, ordered by name.
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
