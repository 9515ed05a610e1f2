//! Names, addresses, settings files and the sheet of a scenario's deployment.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
};

use eyre::WrapErr;

use crate::scenario::{LoadKind, Scenario, ServiceLoad};

const CALLER_PORT: u16 = 8_080;
const ROUTER_PORT: u16 = 7_000;
const PLANNER_PORT: u16 = 7_001;
const ROUTER_OPERATOR_PORT: u16 = 7_002;
const PLANNER_OPERATOR_PORT: u16 = 7_003;
/// Added to a port that others reach through a gate.
const GATE_OFFSET: u16 = 100;
const SERVER_PORT: u16 = 9_000;
const STORE_PORT: u16 = 9_500;

/// An entry VM.
#[derive(Debug, Clone)]
pub(crate) struct TrialVm {
    pub(crate) name: String,
    pub(crate) domain: u8,
    pub(crate) ip: Ipv4Addr,
}

/// A backend server.
#[derive(Debug, Clone)]
pub(crate) struct TrialServer {
    pub(crate) name: String,
    pub(crate) domain: u8,
    pub(crate) address: SocketAddr,
    pub(crate) load: ServiceLoad,
}

/// Everything that has an address.
#[derive(Debug, Clone)]
pub(crate) struct Deployment {
    pub(crate) vms: Vec<TrialVm>,
    pub(crate) servers: Vec<TrialServer>,
    pub(crate) store: SocketAddr,
    pub(crate) directory: PathBuf,
    net: u8,
}

impl TrialVm {
    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }

    pub(crate) fn caller(&self) -> SocketAddr {
        self.at(CALLER_PORT)
    }

    pub(crate) fn router_operator(&self) -> SocketAddr {
        self.at(ROUTER_OPERATOR_PORT)
    }

    pub(crate) fn planner_operator(&self) -> SocketAddr {
        self.at(PLANNER_OPERATOR_PORT)
    }

    /// Where others reach a process through a gate, and where the process listens.
    pub(crate) fn gated(&self) -> [(SocketAddr, SocketAddr); 2] {
        [ROUTER_PORT, PLANNER_PORT].map(|port| (self.at(port + GATE_OFFSET), self.at(port)))
    }
}

/// Name of a domain by its index.
pub(crate) fn domain_name(domain: u8) -> String {
    format!("d{domain}")
}

impl Deployment {
    /// Lays out a scenario in a loopback network of its own.
    pub(crate) fn new(scenario: &Scenario) -> eyre::Result<Self> {
        let net = 16 + (std::process::id() % 200) as u8;
        let directory = std::env::temp_dir().join(format!("jackdaw-trial-{}", std::process::id()));
        std::fs::create_dir_all(&directory).wrap_err("step=make-directory")?;
        let mut vms = Vec::new();
        for (domain, n_vms) in scenario.vms.iter().enumerate() {
            for idx in 0..*n_vms {
                let ip = Ipv4Addr::new(127, net, domain as u8, 10 + idx);
                let name = format!("d{domain}-vm{idx}");
                vms.push(TrialVm { name, domain: domain as u8, ip });
            }
        }
        let mut servers = Vec::new();
        for (n_service, load) in scenario.service.iter().enumerate() {
            for idx in 0..load.servers {
                let domain = (idx + n_service as u8) % scenario.domains;
                let ip = Ipv4Addr::new(127, net, 100 + domain, 10 + servers.len() as u8);
                servers.push(TrialServer {
                    name: format!("{}-{idx}", load.name),
                    domain,
                    address: SocketAddr::new(IpAddr::V4(ip), SERVER_PORT),
                    load: load.clone(),
                });
            }
        }
        let store = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net, 250, 1)), STORE_PORT);
        Ok(Self { vms, servers, store, directory, net })
    }

    /// A deployment of which only the platform has an address.
    pub(crate) fn without_vms(store: SocketAddr) -> Self {
        Self { vms: Vec::new(), servers: Vec::new(), store, directory: PathBuf::new(), net: 0 }
    }

    /// The domain in which an address stands; none for the platform and the callers.
    pub(crate) fn domain_of(&self, ip: IpAddr) -> Option<u8> {
        match ip {
            IpAddr::V4(ip) if ip.octets()[1] == self.net => match ip.octets()[2] {
                it @ 0..100 => Some(it),
                it @ 100..200 => Some(it - 100),
                _ => None,
            },
            _ => None,
        }
    }

    /// The planners' sheet, with these domains and servers taken out.
    pub(crate) fn sheet(&self, scenario: &Scenario, out: &[String]) -> String {
        let state = |name: &str| if out.iter().any(|it| it == name) { "out" } else { "in" };
        let mut text = "kind,name,domain,service,address,state,from,until,settings\n".to_owned();
        for domain in 0..scenario.domains {
            let name = domain_name(domain);
            text += &format!("domain,{name},,,,{},,,\n", state(&name));
        }
        for load in &scenario.service {
            text += &service_row(load);
        }
        for vm in &self.vms {
            let [(router, _), (planner, _)] = vm.gated();
            text += &format!(
                "vm,{},{},,{router},{},,,planner={planner};operator={};planner-operator={}\n",
                vm.name,
                domain_name(vm.domain),
                state(&vm.name),
                vm.router_operator(),
                vm.planner_operator()
            );
        }
        for it in &self.servers {
            text += &format!(
                "server,{},{},{},{},{},,,slots={};connections={};cold-slots={};warm-ms={}\n",
                it.name,
                domain_name(it.domain),
                it.load.name,
                it.address,
                state(&it.name),
                it.load.slots,
                it.load.connections,
                it.load.cold_slots,
                it.load.warm_ms
            );
        }
        text
    }

    /// Writes the settings files of a VM's router and planner.
    pub(crate) fn write_settings(
        &self,
        vm: &TrialVm,
        scenario: &Scenario,
    ) -> eyre::Result<(PathBuf, PathBuf)> {
        let seeds: Vec<String> = self
            .vms
            .iter()
            .filter(|it| it.domain == vm.domain)
            .map(|it| format!("\"{}\"", it.gated()[1].0))
            .collect();
        let [(_, router_listen), (_, planner_listen)] = vm.gated();
        let identity = format!(
            "vm = \"{}\"\ndomain = \"{}\"\nlocal = \"{}\"\nplanners = [{}]\n",
            vm.name,
            domain_name(vm.domain),
            vm.ip,
            seeds.join(", ")
        );
        let level = std::env::var("JACKDAW_TRIAL_LOG").unwrap_or_else(|_| "info".to_owned());
        let log = format!("[log]\nlevel = \"{level}\"\n");
        let router = format!(
            "{identity}[listen]\ncaller = \"{}\"\npeer = \"{router_listen}\"\noperator = \"{}\"\n\
             [policy]\nbalancer = \"{}\"\n{log}",
            vm.caller(),
            vm.router_operator(),
            scenario.policy
        );
        let planner = format!(
            "{identity}[listen]\npeer = \"{planner_listen}\"\noperator = \"{}\"\n\
             [platform]\nstore = \"{}\"\n{log}",
            vm.planner_operator(),
            self.store
        );
        let router_file = write(&self.directory, &format!("{}-router.toml", vm.name), &router)?;
        let planner_file = write(&self.directory, &format!("{}-planner.toml", vm.name), &planner)?;
        Ok((router_file, planner_file))
    }
}

fn service_row(load: &ServiceLoad) -> String {
    let settings = match load.kind {
        LoadKind::Keyed => {
            format!("kind=keyed;slice-bits=5;check={};deadline-ms={}", load.check, load.deadline_ms)
        }
        LoadKind::Shared => format!("kind=shared;deadline-ms={}", load.deadline_ms),
    };
    format!("service,{},,,,,,,{settings}\n", load.name)
}

fn write(directory: &Path, name: &str, text: &str) -> eyre::Result<PathBuf> {
    let file = directory.join(name);
    std::fs::write(&file, text)
        .wrap_err_with(|| format!("step=write-settings peer={}", file.display()))?;
    Ok(file)
}
