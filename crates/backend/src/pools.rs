//! One connection pool for each server, replaced as a whole when its connections fall silent.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use model::{ServerName, StepError};
use reqwest::{Client, redirect::Policy};

use crate::ServerEndpoint;

/// Longest wait for a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Idle connections kept for each server.
const MAX_IDLE: usize = 8;

/// Pools by server.
#[derive(Debug, Clone)]
pub(crate) struct PoolBook {
    local: IpAddr,
    pools: Arc<Mutex<HashMap<ServerName, (std::net::SocketAddr, Client)>>>,
}

impl PoolBook {
    pub(crate) fn new(local: IpAddr) -> Self {
        Self { local, pools: Arc::default() }
    }

    /// The server's present pool.
    pub(crate) fn pool(&self, server: &ServerEndpoint) -> Result<Client, StepError> {
        let mut pools = self.pools.lock().unwrap_or_else(|it| it.into_inner());
        match pools.get(&server.name) {
            Some((address, client)) if *address == server.address => Ok(client.clone()),
            _ => {
                let client = fresh_client(self.local, server)?;
                pools.insert(server.name.clone(), (server.address, client.clone()));
                Ok(client)
            }
        }
    }

    /// Drops the server's pool; calls under way keep their connections.
    pub(crate) fn drop_pool(&self, server: &ServerEndpoint) {
        let mut pools = self.pools.lock().unwrap_or_else(|it| it.into_inner());
        pools.remove(&server.name);
    }
}

/// A client that has no connections yet.
pub(crate) fn fresh_client(local: IpAddr, server: &ServerEndpoint) -> Result<Client, StepError> {
    Client::builder()
        .local_address(local)
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE)
        .tcp_nodelay(true)
        .http1_only()
        .redirect(Policy::none())
        .no_proxy()
        .build()
        .map_err(|err| StepError::new("server-client", &server.name, err))
}
