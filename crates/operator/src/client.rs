//! Client of another process's HTTP server for operators.

use std::{net::SocketAddr, time::Duration};

use eyre::WrapErr;
use reqwest::{Client, StatusCode};

/// Timeout of a fetch.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Fetches the state dump of the process that serves operators at `address`.
///
/// # Errors
/// When the process does not respond with JSON.
pub async fn fetch_dump(address: SocketAddr) -> eyre::Result<serde_json::Value> {
    let response = fetch(address, "dump").await?;
    response.json().await.wrap_err_with(|| format!("step=read-dump peer={address}"))
}

/// Whether the process that serves operators at `address` reports that it accepts new work.
///
/// # Errors
/// When the process does not respond.
pub async fn fetch_health(address: SocketAddr) -> eyre::Result<bool> {
    Ok(fetch(address, "health").await?.status() == StatusCode::OK)
}

async fn fetch(address: SocketAddr, path: &str) -> eyre::Result<reqwest::Response> {
    let client = Client::builder().no_proxy().timeout(FETCH_TIMEOUT).build()?;
    let url = format!("http://{address}/{path}");
    client.get(url).send().await.wrap_err_with(|| format!("step=fetch-{path} peer={address}"))
}
