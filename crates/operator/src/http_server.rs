//! The HTTP server for operators, metrics scrapers and the load balancer's health checks.

use tokio::net::TcpListener;
use warp::{Filter, http::StatusCode, reply};

use crate::{HealthState, OperatorSource};

/// Serves `/health`, `/metrics` and `/dump` until the future is dropped.
pub async fn serve_operators<S: OperatorSource>(listener: TcpListener, source: S) {
    let health = {
        let source = source.clone();
        warp::path!("health").map(move || {
            let health = source.health();
            let status = match health {
                HealthState::Serving => StatusCode::OK,
                HealthState::Starting | HealthState::Leaving => StatusCode::SERVICE_UNAVAILABLE,
            };
            reply::with_status(reply::json(&health), status)
        })
    };
    let metrics = {
        let source = source.clone();
        warp::path!("metrics").map(move || source.metrics())
    };
    let dump = warp::path!("dump").then(move || {
        let source = source.clone();
        async move { reply::json(&source.dump().await) }
    });
    let routes = warp::get().and(health.or(metrics).or(dump));
    warp::serve(routes).incoming(listener).run().await;
}
