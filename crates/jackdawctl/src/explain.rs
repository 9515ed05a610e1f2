//! The `explain` command.

use std::{net::SocketAddr, process::ExitCode};

use clap::ArgMatches;
use eyre::WrapErr;
use operator::fetch_explanation;
use serde_json::Value;

/// Prints where a request would go now, by the word of the VM that it would enter by.
pub(crate) async fn run(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let text = matches.get_one::<String>("vm").map(String::as_str).unwrap_or_default();
    let address: SocketAddr =
        text.parse().wrap_err_with(|| format!("address {text:?}: expected IP:PORT"))?;
    let fields = ["host", "path", "key", "team"];
    let query: Vec<(&str, String)> = fields
        .into_iter()
        .filter_map(|it| Some((it, matches.get_one::<String>(it)?.clone())))
        .collect();
    let explanation = fetch_explanation(address, &query).await?;
    match matches.get_flag("json") {
        true => println!("{explanation}"),
        false => print!("{}", as_text(&explanation)),
    }
    Ok(ExitCode::SUCCESS)
}

/// The explanation as lines of text.
fn as_text(explanation: &Value) -> String {
    let field = |value: &Value, name: &str| plain(&value[name]);
    let mut text = format!(
        "route {} (plan {}), asked at {} in {}, state {} ms old\n",
        field(explanation, "route"),
        field(explanation, "plan"),
        field(explanation, "vm"),
        field(explanation, "domain"),
        field(explanation, "state_age_ms"),
    );
    if let Some(refused) = explanation["refused"].as_str() {
        text += &format!("refused: {refused}\n");
    }
    let quota = &explanation["quota"];
    if !quota.is_null() {
        text += &format!(
            "quota of {}: {} a second, burst {}; permits from {}\n",
            field(quota, "team"),
            field(quota, "rate_per_s"),
            field(quota, "burst"),
            field(quota, "pool"),
        );
    }
    for service in explanation["services"].as_array().into_iter().flatten() {
        text +=
            &format!("service {}, share {}\n", field(service, "service"), field(service, "share"));
        if !service["owner"].is_null() {
            let owner = &service["owner"];
            let moving = if owner["is_moving"] == true { ", moving" } else { "" };
            text += &format!("  owner {}{moving}\n", field(owner, "server"));
        }
        for server in service["candidates"].as_array().into_iter().flatten() {
            let verdict = match server["left_out"].as_str() {
                Some(reason) => format!("left out: {reason}"),
                None => format!(
                    "{} ms expected, {} ms in its queue",
                    field(server, "expected_ms"),
                    field(server, "queue_ms")
                ),
            };
            let (name, domain) = (field(server, "server"), field(server, "domain"));
            text += &format!("  {name} in {domain}: {verdict}\n");
        }
        let refused = service["refused"].as_str().map(str::to_owned);
        let decision = refused.unwrap_or_else(|| service["decision"].to_string());
        text += &format!("  decision: {decision}\n");
    }
    text
}

/// A value without quotes.
fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
