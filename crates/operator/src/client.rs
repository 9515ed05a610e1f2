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

/// Asks the entry process that serves metrics at `address` where a request would go now; `query` names the
/// request.
///
/// # Errors
/// When the process does not respond, or says why it can't explain the request.
pub async fn fetch_explanation(
    address: SocketAddr,
    query: &[(&str, String)],
) -> eyre::Result<serde_json::Value> {
    let client = Client::builder().no_proxy().timeout(FETCH_TIMEOUT).build()?;
    let fields = query.iter().map(|(name, value)| format!("{name}={}", escaped(value)));
    let url = format!("http://{address}/explain?{}", fields.collect::<Vec<_>>().join("&"));
    let response = client.get(url).send().await;
    let response = response.wrap_err_with(|| format!("step=fetch-explain peer={address}"))?;
    let status = response.status();
    match status {
        StatusCode::OK => {
            response.json().await.wrap_err_with(|| format!("step=read-explain peer={address}"))
        }
        _ => {
            let cause = response.text().await.unwrap_or_default();
            Err(eyre::eyre!("peer={address} status={} {}", status.as_u16(), cause.trim()))
        }
    }
}

/// Escapes all but letters, digits and a few signs for use in a query.
fn escaped(text: &str) -> String {
    let escape = |byte: u8| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'/' | b'-' | b'_' | b'.' => {
            char::from(byte).to_string()
        }
        byte => format!("%{byte:02X}"),
    };
    text.bytes().map(escape).collect()
}

async fn fetch(address: SocketAddr, path: &str) -> eyre::Result<reqwest::Response> {
    let client = Client::builder().no_proxy().timeout(FETCH_TIMEOUT).build()?;
    let url = format!("http://{address}/{path}");
    client.get(url).send().await.wrap_err_with(|| format!("step=fetch-{path} peer={address}"))
}
