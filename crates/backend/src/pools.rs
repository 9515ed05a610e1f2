//! Connection pools, one for each server. A pool whose connections stop responding is replaced as
//! a whole.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use model::{ServerName, StepError};
use reqwest::{Client, redirect::Policy};

use crate::ServerEndpoint;

/// Timeout for connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Idle connections that a pool keeps.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Connection pools by server name.
#[derive(Debug, Clone)]
pub(crate) struct ServerPools {
    local: IpAddr,
    pools: Arc<Mutex<HashMap<ServerName, (std::net::SocketAddr, Client)>>>,
}

impl ServerPools {
    pub(crate) fn new(local: IpAddr) -> Self {
        Self { local, pools: Arc::default() }
    }

    /// Returns the server's pool; creates it if there is none or the server's address has changed.
    pub(crate) fn pool(&self, server: &ServerEndpoint) -> Result<Client, StepError> {
        let mut pools = self.pools.lock().unwrap_or_else(|it| it.into_inner());
        match pools.get(&server.name) {
            Some((address, client)) if *address == server.address => Ok(client.clone()),
            _ => {
                let client = new_client(self.local, server)?;
                pools.insert(server.name.clone(), (server.address, client.clone()));
                Ok(client)
            }
        }
    }

    /// Drops the server's pool; calls in flight keep their connections.
    pub(crate) fn drop_pool(&self, server: &ServerEndpoint) {
        let mut pools = self.pools.lock().unwrap_or_else(|it| it.into_inner());
        pools.remove(&server.name);
    }
}

/// Creates an HTTP client, whose pool has no connections yet.
pub(crate) fn new_client(local: IpAddr, server: &ServerEndpoint) -> Result<Client, StepError> {
    Client::builder()
        .local_address(local)
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .tcp_nodelay(true)
        .http1_only()
        .redirect(Policy::none())
        .no_proxy()
        .build()
        .map_err(|err| StepError::new("server-client", &server.name, err))
}
