//! Names, addresses, settings files and the sheet of a scenario's VMs and backend servers.

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
/// Added to a listening port to get the port of the proxy in front of it.
const PROXY_PORT_OFFSET: u16 = 100;
const SERVER_PORT: u16 = 9_000;
const STORE_PORT: u16 = 9_500;

/// A VM that runs a router and a planner.
#[derive(Debug, Clone)]
pub(crate) struct TrialVm {
    pub(crate) name: String,
    pub(crate) domain: u8,
    pub(crate) ip: Ipv4Addr,
}

/// A backend server and the load that the scenario gives its service.
#[derive(Debug, Clone)]
pub(crate) struct TrialServer {
    pub(crate) name: String,
    pub(crate) domain: u8,
    pub(crate) address: SocketAddr,
    pub(crate) load: ServiceLoad,
}

/// The VMs, backend servers and store of a scenario, with their loopback addresses.
#[derive(Debug, Clone)]
pub(crate) struct Deployment {
    pub(crate) vms: Vec<TrialVm>,
    pub(crate) servers: Vec<TrialServer>,
    pub(crate) store: SocketAddr,
    /// Holds the settings files, logs and dumps of the nodes.
    pub(crate) directory: PathBuf,
    /// Second octet of the addresses of this trial.
    subnet: u8,
}

impl TrialVm {
    fn socket_address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }

    pub(crate) fn caller_address(&self) -> SocketAddr {
        self.socket_address(CALLER_PORT)
    }

    pub(crate) fn router_operator_address(&self) -> SocketAddr {
        self.socket_address(ROUTER_OPERATOR_PORT)
    }

    pub(crate) fn planner_operator_address(&self) -> SocketAddr {
        self.socket_address(PLANNER_OPERATOR_PORT)
    }

    /// For the router and the planner, in this order: the address of the proxy through which others
    /// reach the process, and the address at which the process listens for peers.
    pub(crate) fn proxied_addresses(&self) -> [(SocketAddr, SocketAddr); 2] {
        [ROUTER_PORT, PLANNER_PORT]
            .map(|port| (self.socket_address(port + PROXY_PORT_OFFSET), self.socket_address(port)))
    }
}

/// Name of a failure domain, by its index.
pub(crate) fn domain_name(domain: u8) -> String {
    format!("d{domain}")
}

impl Deployment {
    /// Assigns addresses in a loopback subnet that the process id selects, to keep trials that run
    /// at the same time apart.
    pub(crate) fn new(scenario: &Scenario) -> eyre::Result<Self> {
        let subnet = 16 + (std::process::id() % 200) as u8;
        let directory = std::env::temp_dir().join(format!("jackdaw-trial-{}", std::process::id()));
        std::fs::create_dir_all(&directory).wrap_err("step=make-directory")?;
        let mut vms = Vec::new();
        for (domain, n_vms) in scenario.vms.iter().enumerate() {
            for idx in 0..*n_vms {
                let ip = Ipv4Addr::new(127, subnet, domain as u8, 10 + idx);
                let name = format!("d{domain}-vm{idx}");
                vms.push(TrialVm { name, domain: domain as u8, ip });
            }
        }
        let mut servers = Vec::new();
        for (service_idx, load) in scenario.service.iter().enumerate() {
            for idx in 0..load.servers {
                let domain = (idx + service_idx as u8) % scenario.domains;
                let ip = Ipv4Addr::new(127, subnet, 100 + domain, 10 + servers.len() as u8);
                servers.push(TrialServer {
                    name: format!("{}-{idx}", load.name),
                    domain,
                    address: SocketAddr::new(IpAddr::V4(ip), SERVER_PORT),
                    load: load.clone(),
                });
            }
        }
        let store = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, subnet, 250, 1)), STORE_PORT);
        Ok(Self { vms, servers, store, directory, subnet })
    }

    /// Makes a deployment without VMs and servers, for stand-ins that serve a given sheet.
    pub(crate) fn without_vms(store: SocketAddr) -> Self {
        Self { vms: Vec::new(), servers: Vec::new(), store, directory: PathBuf::new(), subnet: 0 }
    }

    /// Index of the failure domain that an address belongs to; none for the platform and callers.
    pub(crate) fn domain_of(&self, ip: IpAddr) -> Option<u8> {
        match ip {
            IpAddr::V4(ip) if ip.octets()[1] == self.subnet => match ip.octets()[2] {
                it @ 0..100 => Some(it),
                it @ 100..200 => Some(it - 100),
                _ => None,
            },
            _ => None,
        }
    }

    /// Text of the planning sheet, with `out_names` (failure domains, VMs and servers) in state
    /// `out`.
    pub(crate) fn sheet_text(&self, scenario: &Scenario, out_names: &[String]) -> String {
        let state = |name: &str| if out_names.iter().any(|it| it == name) { "out" } else { "in" };
        let mut text = "kind,name,domain,service,address,state,from,until,settings\n".to_owned();
        for domain in 0..scenario.domains {
            let name = domain_name(domain);
            text += &format!("domain,{name},,,,{},,,\n", state(&name));
        }
        for load in &scenario.service {
            text += &service_row(load);
        }
        for vm in &self.vms {
            let [(router, _), (planner, _)] = vm.proxied_addresses();
            text += &format!(
                "vm,{},{},,{router},{},,,planner={planner};operator={};planner-operator={}\n",
                vm.name,
                domain_name(vm.domain),
                state(&vm.name),
                vm.router_operator_address(),
                vm.planner_operator_address()
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

    /// Writes the settings files of a VM's router and planner and returns their paths.
    pub(crate) fn write_settings(
        &self,
        vm: &TrialVm,
        scenario: &Scenario,
    ) -> eyre::Result<(PathBuf, PathBuf)> {
        let planner_addresses: Vec<String> = self
            .vms
            .iter()
            .filter(|it| it.domain == vm.domain)
            .map(|it| format!("\"{}\"", it.proxied_addresses()[1].0))
            .collect();
        let [(_, router_listen), (_, planner_listen)] = vm.proxied_addresses();
        let vm_text = format!(
            "vm = \"{}\"\ndomain = \"{}\"\nlocal = \"{}\"\nplanners = [{}]\n",
            vm.name,
            domain_name(vm.domain),
            vm.ip,
            planner_addresses.join(", ")
        );
        let log_level = std::env::var("JACKDAW_TRIAL_LOG").unwrap_or_else(|_| "info".to_owned());
        let log_text = format!("[log]\nlevel = \"{log_level}\"\n");
        let router = format!(
            "{vm_text}[listen]\ncaller = \"{}\"\npeer = \"{router_listen}\"\noperator = \"{}\"\n\
             [policy]\nbalancer = \"{}\"\n{log_text}",
            vm.caller_address(),
            vm.router_operator_address(),
            scenario.policy
        );
        let planner = format!(
            "{vm_text}[listen]\npeer = \"{planner_listen}\"\noperator = \"{}\"\n\
             [platform]\nstore = \"{}\"\n{log_text}",
            vm.planner_operator_address(),
            self.store
        );
        let router_file =
            write_file(&self.directory, &format!("{}-router.toml", vm.name), &router)?;
        let planner_file =
            write_file(&self.directory, &format!("{}-planner.toml", vm.name), &planner)?;
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

fn write_file(directory: &Path, name: &str, text: &str) -> eyre::Result<PathBuf> {
    let file = directory.join(name);
    std::fs::write(&file, text)
        .wrap_err_with(|| format!("step=write-settings peer={}", file.display()))?;
    Ok(file)
}
