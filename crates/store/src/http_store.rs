//! HTTP client of the platform's store.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use model::StepError;
use reqwest::{Client, Response, StatusCode};
use serde::{Deserialize, de::DeserializeOwned};

use crate::{PlatformStore, StoreChanges, StoreError, StoreValue, VmListing};

/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a call; a watch adds its own waiting time.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Client of the store instance at one address.
#[derive(Debug, Clone)]
pub struct HttpStore {
    client: Client,
    address: SocketAddr,
}

#[derive(Deserialize)]
struct PutReply {
    revision: u64,
}

impl HttpStore {
    /// Creates a client that connects to `address` from the local address `local`.
    ///
    /// # Errors
    /// When the HTTP client cannot be set up.
    pub fn new(address: SocketAddr, local: IpAddr) -> Result<Self, StepError> {
        let client = Client::builder()
            .local_address(local)
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(|err| StepError::new("store-client", address, err))?;
        Ok(Self { client, address })
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/v1/{path}", self.address)
    }

    async fn fetch(&self, url: String, timeout: Duration) -> Result<Response, StoreError> {
        let res = self.client.get(url).timeout(timeout).send().await;
        res.map_err(|err| no_effect("store-read", self.address, err))
    }
}

impl PlatformStore for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<StoreValue>, StoreError> {
        let response = self.fetch(self.url(&format!("kv/{key}")), CALL_TIMEOUT).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            _ => read_json(response, "store-read", self.address).await.map(Some),
        }
    }

    async fn put(
        &self,
        key: &str,
        expected: Option<u64>,
        value: String,
    ) -> Result<u64, StoreError> {
        let expected = expected.unwrap_or_default();
        let url = self.url(&format!("kv/{key}?expect={expected}"));
        let res = self.client.put(url).timeout(CALL_TIMEOUT).body(value).send().await;
        let response = match res {
            Ok(response) => response,
            Err(err) if err.is_connect() => {
                return Err(no_effect("store-write", self.address, err));
            }
            Err(err) => return Err(unknown_effect(self.address, err)),
        };
        match response.status() {
            StatusCode::OK => {
                let reply = response.json::<PutReply>().await;
                reply.map(|it| it.revision).map_err(|err| unknown_effect(self.address, err))
            }
            StatusCode::CONFLICT => Err(StoreError::Conflict),
            status if status.is_client_error() => {
                Err(no_effect("store-write", self.address, status))
            }
            status => Err(unknown_effect(self.address, status)),
        }
    }

    async fn watch(&self, after: u64, wait: Duration) -> Result<StoreChanges, StoreError> {
        let url = self.url(&format!("watch?after={after}&wait_ms={}", wait.as_millis()));
        let response = self.fetch(url, wait + CALL_TIMEOUT).await?;
        read_json(response, "store-watch", self.address).await
    }

    async fn list_vms(&self) -> Result<Vec<VmListing>, StoreError> {
        let response = self.fetch(self.url("vms"), CALL_TIMEOUT).await?;
        read_json(response, "list-vms", self.address).await
    }
}

async fn read_json<T: DeserializeOwned>(
    response: Response,
    step: &'static str,
    address: SocketAddr,
) -> Result<T, StoreError> {
    match response.status() {
        StatusCode::OK => response.json().await.map_err(|err| no_effect(step, address, err)),
        status => Err(no_effect(step, address, status)),
    }
}

fn no_effect(step: &'static str, address: SocketAddr, cause: impl std::fmt::Display) -> StoreError {
    StoreError::NoEffect(StepError::new(step, address, cause))
}

fn unknown_effect(address: SocketAddr, cause: impl std::fmt::Display) -> StoreError {
    StoreError::Unknown(StepError::new("store-write", address, cause))
}
